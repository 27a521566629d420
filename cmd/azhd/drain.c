#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "cmd/azhd/azhd.h"

/* Test-only, set by "fault/run.sh --broken" in a build folder of its own:
 * a planned stop waits for nothing. */
#ifndef AZ_TEST_BREAK_DRAIN
#define AZ_TEST_BREAK_DRAIN 0
#endif

#define CHECK_MS 20
/* Of the bound of the stop, requests may use this share. */
#define REQUESTS_PERCENT 92
/* After the bound, for answers that were held up by others before them. */
#define GIVE_UP_US (150 * US_PER_MS)
#define HANDOVER_TIMEOUT_US (5 * US_PER_S)
/* Rounds of gossip that carry the successor to the fleet before the exit. */
#define FAREWELL_PERIODS 3

static void sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&ts, NULL);
}

static uint32_t in_flight(struct azhd *d)
{
	return front_in_flight(d->front) + attempts_in_flight(d->attempts) +
	       ticket_in_flight(d->ticket);
}

static void wait_until_idle(struct azhd *d, int64_t until_us)
{
	while (in_flight(d) && clock_now_us() < until_us)
		sleep_ms(CHECK_MS);
	if (in_flight(d)) {
		front_cancel_attempts(d->front);
		until_us += GIVE_UP_US;
	}
	while (in_flight(d) && clock_now_us() < until_us)
		sleep_ms(CHECK_MS);
	if (in_flight(d))
		log_write(LOG_WARN, "stop", "requests left at the bound n=%u",
			  in_flight(d));
}

/* Peers and callers close once their calls are answered; a caller that keeps an
 * idle connection is waited for no longer than the balancer's time. */
static void wait_until_alone(struct azhd *d, int64_t until_us)
{
	int64_t idle_until_us =
		clock_now_us() + d->settings.drain_ms * US_PER_MS;

	while ((peer_inbound_count(d->peer) && clock_now_us() < until_us) ||
	       (front_connections(d->front) && clock_now_us() < idle_until_us))
		sleep_ms(CHECK_MS);
}

/** Lets the main thread wait for one answer. */
struct wait_reply {
	struct reply_to reply;
	pthread_mutex_t lock;
	pthread_cond_t arrived;
	struct answer *answer;
};

static void wait_reply_answer(struct reply_to *to, struct answer *a)
{
	struct wait_reply *w = az_container_of(to, struct wait_reply, reply);

	pthread_mutex_lock(&w->lock);
	w->answer = a;
	pthread_cond_signal(&w->arrived);
	pthread_mutex_unlock(&w->lock);
}

static const struct reply_ops wait_reply_ops = { wait_reply_answer };

static enum error_kind wait_for(struct wait_reply *w)
{
	enum error_kind k;

	pthread_mutex_lock(&w->lock);
	while (!w->answer)
		pthread_cond_wait(&w->arrived, &w->lock);
	k = w->answer->kind;
	answer_free(w->answer);
	w->answer = NULL;
	pthread_mutex_unlock(&w->lock);
	return k;
}

/* Sends all parts in order; the successor serves an incarnation only once it
 * has the last part. */
static bool send_parts(struct azhd *d, const struct peer_target *to,
		       struct ledger_part **parts, uint32_t count)
{
	struct wait_reply w = { .reply = { &wait_reply_ops } };
	bool good = true;

	pthread_mutex_init(&w.lock, NULL);
	pthread_cond_init(&w.arrived, NULL);
	for (uint32_t i = 0; i < count; i++) {
		enum error_kind k;

		if (!good) {
			ledger_part_free(parts[i]);
			continue;
		}
		peer_send_handover(d->peer, to, parts[i],
				   clock_now_us() + HANDOVER_TIMEOUT_US,
				   &w.reply);
		k = wait_for(&w);
		if (k != ERR_NONE)
			log_write(LOG_WARN, "stop", "handover failed error=%s",
				  error_info(k)->name);
		good = k == ERR_NONE;
	}
	return good;
}

static void hand_over(struct azhd *d)
{
	const struct member_view *v = membership_view(d->membership);
	uint32_t dc = conf_place_id(d->settings.data_centre);
	uint32_t region = conf_place_id(d->settings.region);
	const struct member *m = member_choose_home(
		v, hash_string(d->settings.name), dc, region);
	struct ledger_part **parts;
	uint32_t count;

	/* Frozen in any case: a daemon that leaves must not let a ticket run
	 * that its callers may already count as unknown. */
	count = ticket_freeze(d->ticket, &parts);
	if (m && m->incarnation != d->incarnation) {
		struct peer_target to = { m->ip, m->peer_port, m->incarnation };

		if (send_parts(d, &to, parts, count)) {
			membership_set_successor(d->membership, m->incarnation);
			log_write(LOG_INFO, "stop", "ledger handed to %s",
				  m->name);
		}
	} else {
		log_write(LOG_WARN, "stop", "no successor for the ledger");
		for (uint32_t i = 0; i < count; i++)
			ledger_part_free(parts[i]);
	}
	free(parts);
	member_view_release(v);
}

void azhd_drain(struct azhd *d)
{
	/* The rest is for what follows the last request. */
	int64_t until_us = clock_now_us() + d->settings.stop_timeout_ms *
						    US_PER_MS *
						    REQUESTS_PERCENT / 100;

	log_write(LOG_INFO, "stop", "draining");
	if (AZ_TEST_BREAK_DRAIN)
		return;
	__atomic_store_n(&d->stopping, 1, __ATOMIC_RELEASE);
	front_set_stopping(d->front);
	ticket_set_stopping(d->ticket);
	membership_set_stopping(d->membership);
	sleep_ms(d->settings.drain_ms);
	front_quiesce(d->front);
	/* Callers of the platform have no tickets: the members' farewell goes
	 * out while the last requests run. */
	if (d->settings.platform[0]) {
		wait_until_idle(d, until_us);
		return;
	}
	wait_until_idle(d, until_us);
	hand_over(d);
	sleep_ms(d->settings.member_period_ms * FAREWELL_PERIODS);
	peer_quiesce(d->peer);
	wait_until_idle(d, until_us);
	wait_until_alone(d, until_us);
}
