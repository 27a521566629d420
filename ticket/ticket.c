#include <openssl/rand.h>

#include "ticket/ticket.h"

/* More than the requests that the daemon admits, so that no answer is lost. */
#define RING_SLOTS 32768
/* Period in which expired entries and empty adopted ledgers are removed. */
#define EXPIRY_SWEEP_PERIOD_US (10 * US_PER_S)
/* Share of the memory for stored answers. */
#define MEMORY_SHARE_DIVISOR 16
#define MEMORY_BYTES_DEFAULT (256ULL << 20)

void ticket_arm(struct ticket_duty *d, int64_t at_us)
{
	if (d->armed_us && d->armed_us <= at_us)
		return;
	d->armed_us = at_us;
	duty_arm(&d->duty, at_us);
}

uint32_t ticket_in_flight(struct ticket_duty *d)
{
	return __atomic_load_n(&d->in_flight, __ATOMIC_RELAXED);
}

struct ledger *ticket_ledger(struct ticket_duty *d, uint64_t incarnation)
{
	for (uint32_t i = 0; i < d->ledger_count; i++)
		if (ledger_incarnation(d->ledgers[i]) == incarnation)
			return d->ledgers[i];
	return NULL;
}

/* ---- issuing tickets ---- */

enum az_status ticket_issue(struct ticket_duty *d, uint64_t organisation,
			    enum rank rank, char out[TICKET_TEXT_MAX_BYTES])
{
	struct ticket t = {
		.ip = d->settings.ip,
		.port = d->settings.port,
		.rank = rank,
		.incarnation = d->settings.incarnation,
		.organisation = organisation,
		.expiry_us = clock_now_us() + TICKET_LIFE_US,
	};

	if (__atomic_load_n(&d->frozen, __ATOMIC_ACQUIRE))
		return az_fail(AZ_DENIED, "the ledger is frozen");
	t.sequence =
		__atomic_add_fetch(&d->newest_sequence, 1, __ATOMIC_RELAXED);
	ticket_sign(&t, d->key);
	ticket_format(&t, out);
	counter_add(d->issued, 1);
	return AZ_OK;
}

void ticket_set_stopping(struct ticket_duty *d)
{
	__atomic_store_n(&d->stopping, 1, __ATOMIC_RELEASE);
}

/* ---- timer, start and stop ---- */

/* Removes expired entries. An adopted ledger is removed once all tickets of its
 * incarnation have expired: no more are issued, and a ticket is valid for
 * TICKET_LIFE_US. */
static void expire_ledgers(struct ticket_duty *d, int64_t now_us)
{
	if (now_us - d->last_expiry_us < EXPIRY_SWEEP_PERIOD_US)
		return;
	d->last_expiry_us = now_us;
	for (uint32_t i = 0; i < d->ledger_count; i++)
		ledger_expire(d->ledgers[i], now_us);
	for (uint32_t i = 1; i < d->ledger_count; i++) {
		if (now_us - d->adopted_us[i] < TICKET_LIFE_US ||
		    ledger_size(d->ledgers[i]))
			continue;
		ledger_destroy(d->ledgers[i]);
		d->ledger_count--;
		d->ledgers[i] = d->ledgers[d->ledger_count];
		d->adopted_us[i] = d->adopted_us[d->ledger_count];
		i--;
	}
}

static void on_timer(struct duty *duty, int64_t now_us)
{
	struct ticket_duty *d = az_container_of(duty, struct ticket_duty, duty);
	int64_t next_us;
	int64_t next_retry_us;

	d->armed_us = 0;
	expire_ledgers(d, now_us);
	next_us = ticket_expire_waiters(d, now_us);
	next_retry_us = ticket_retry_submissions(d, now_us);
	if (next_retry_us < next_us)
		next_us = next_retry_us;
	if (next_us > now_us + EXPIRY_SWEEP_PERIOD_US)
		next_us = now_us + EXPIRY_SWEEP_PERIOD_US;
	ticket_arm(d, next_us);
}

static void on_stop(struct duty *duty)
{
	struct ticket_duty *d = az_container_of(duty, struct ticket_duty, duty);

	ticket_expire_waiters(d, INT64_MAX);
	while (d->submissions)
		submission_finish(d, d->submissions,
				  answer_new(ERR_ISSUER_UNREACHABLE));
	for (uint32_t i = 0; i < d->ledger_count; i++)
		ledger_destroy(d->ledgers[i]);
	d->ledger_count = 0;
	if (d->incoming_ledger)
		ledger_destroy(d->incoming_ledger);
}

static const struct duty_ops duty_ops = { "ticket", on_timer, on_stop };

struct ticket_duty *ticket_create(const struct ticket_settings *s,
				  struct timer_service *timers,
				  apr_pool_t *pool)
{
	struct ticket_duty *d = apr_pcalloc(pool, sizeof(*d));

	if (duty_init(&d->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	d->settings = *s;
	if (RAND_bytes(d->key, sizeof(d->key)) != 1)
		return NULL;
	d->ledgers[0] = ledger_create(s->incarnation, d->key);
	d->store.max_bytes =
		(s->memory_bytes ? s->memory_bytes : MEMORY_BYTES_DEFAULT) /
		MEMORY_SHARE_DIVISOR;
	ledger_set_store(d->ledgers[0], &d->store);
	d->ledger_count = 1;
	d->issued = counter_get("tickets_issued");
	d->presented = counter_get("tickets_presented");
	d->joined = counter_get("tickets_joined");
	d->stored_bytes = counter_get("tickets_stored_bytes");
	d->unknown_outcomes = counter_get("tickets_unknown");
	return d;
}

enum az_status ticket_start(struct ticket_duty *d)
{
	enum az_status s;

	d->started_us = clock_now_us();
	s = duty_start(&d->duty);
	if (s == AZ_OK)
		duty_arm(&d->duty, d->started_us + EXPIRY_SWEEP_PERIOD_US);
	return s;
}

void ticket_stop(struct ticket_duty *d)
{
	duty_stop(&d->duty);
}
