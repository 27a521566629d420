#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "cmd/azhd/azhd.h"

/* Only for tests: "fault/run.sh --broken" sets it in a separate build folder to
 * prove that its cases detect a planned stop that does not wait. */
#ifndef AZ_TEST_BREAK_DRAIN
#define AZ_TEST_BREAK_DRAIN 0
#endif

#define CHECK_INTERVAL_MS 20
/* Share of stop_timeout_ms after which the requests in flight are no longer
 * waited for; the handover and the exit need the rest. */
#define REQUESTS_TIMEOUT_PERCENT 92
/* Time after attempts_end_all() to deliver the answers, also those that were
 * queued behind a request without one. */
#define END_WAIT_US (150 * US_PER_MS)
#define HANDOVER_TIMEOUT_US (5 * US_PER_S)
/* Gossip periods in which the fleet learns the successor before the exit. */
#define SUCCESSOR_GOSSIP_PERIODS 3

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

/* Waits until no request is in flight. At `until_us` answers those that still
 * are, and waits END_WAIT_US more for their callers to read the answers and
 * close: a connection that is closed with unread input is reset, and its last
 * answer may be lost. */
static void wait_until_idle(struct azhd *d, int64_t until_us)
{
	while (in_flight(d) && clock_now_us() < until_us)
		sleep_ms(CHECK_INTERVAL_MS);
	if (!in_flight(d))
		return;
	attempts_end_all(d->attempts);
	until_us += END_WAIT_US;
	while ((in_flight(d) || front_connections(d->front)) &&
	       clock_now_us() < until_us)
		sleep_ms(CHECK_INTERVAL_MS);
	if (in_flight(d))
		log_write(LOG_WARN, "stop",
			  "requests still in flight at the time limit n=%u",
			  in_flight(d));
}

/* Waits until the other daemons and the callers have closed their connections
 * to this daemon, as they do once it has answered them. The callers are waited
 * for no longer than drain_ms, as they may keep idle connections. */
static void wait_until_disconnected(struct azhd *d, int64_t until_us)
{
	int64_t idle_until_us =
		clock_now_us() + d->settings.drain_ms * US_PER_MS;

	while ((peer_inbound_count(d->peer) && clock_now_us() < until_us) ||
	       (front_connections(d->front) && clock_now_us() < idle_until_us))
		sleep_ms(CHECK_INTERVAL_MS);
}

/** Receiver of answers for each of which the main thread blocks. */
struct blocking_reply {
	struct reply_to reply;
	pthread_mutex_t lock;
	pthread_cond_t arrived;
	struct answer *answer;
};

static void blocking_reply_answer(struct reply_to *to, struct answer *a)
{
	struct blocking_reply *w =
		az_container_of(to, struct blocking_reply, reply);

	pthread_mutex_lock(&w->lock);
	w->answer = a;
	pthread_cond_signal(&w->arrived);
	pthread_mutex_unlock(&w->lock);
}

static const struct reply_ops blocking_reply_ops = { blocking_reply_answer };

static enum error_kind wait_for_answer(struct blocking_reply *w)
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

/* Sends the parts of the ledger in order to the successor, and takes ownership
 * of them. The successor serves this daemon's tickets only after the last part;
 * false if one was not accepted. */
static bool send_parts(struct azhd *d, const struct peer_target *to,
		       struct ledger_part **parts, uint32_t count)
{
	struct blocking_reply w = { .reply = { &blocking_reply_ops } };
	bool ok = true;

	pthread_mutex_init(&w.lock, NULL);
	pthread_cond_init(&w.arrived, NULL);
	for (uint32_t i = 0; i < count; i++) {
		enum error_kind k;

		if (!ok) {
			ledger_part_free(parts[i]);
			continue;
		}
		peer_send_handover(d->peer, to, parts[i],
				   clock_now_us() + HANDOVER_TIMEOUT_US,
				   &w.reply);
		k = wait_for_answer(&w);
		if (k != ERR_NONE)
			log_write(LOG_WARN, "stop",
				  "ledger handover failed error=%s",
				  error_info(k)->name);
		ok = k == ERR_NONE;
	}
	return ok;
}

/* Hands the ticket ledger over to the successor: the member that
 * member_choose_home() chooses for the hash of this daemon's name. */
static void hand_over(struct azhd *d)
{
	const struct member_view *v = membership_view(d->membership);
	uint32_t dc = conf_place_id(d->settings.data_centre);
	uint32_t region = conf_place_id(d->settings.region);
	const struct member *m = member_choose_home(
		v, hash_string(d->settings.name), dc, region);
	struct ledger_part **parts;
	uint32_t count;

	/* The ledger is frozen, so that it runs no further ticket, also if
	 * there is no successor: a daemon that leaves must not run a ticket
	 * whose outcome its callers may already treat as unknown. */
	count = ticket_freeze(d->ticket, &parts);
	if (m && m->incarnation != d->incarnation) {
		struct peer_target to = { m->ip, m->peer_port, m->incarnation };

		if (send_parts(d, &to, parts, count)) {
			membership_set_successor(d->membership, m->incarnation);
			log_write(LOG_INFO, "stop", "ledger handed over to %s",
				  m->name);
		}
	} else {
		log_write(LOG_WARN, "stop",
			  "no other member can take the ledger");
		for (uint32_t i = 0; i < count; i++)
			ledger_part_free(parts[i]);
	}
	free(parts);
	member_view_release(v);
}

void azhd_drain(struct azhd *d)
{
	int64_t until_us =
		clock_now_us() + d->settings.stop_timeout_ms * US_PER_MS *
					 REQUESTS_TIMEOUT_PERCENT / 100;

	log_write(LOG_INFO, "stop", "draining");
	if (AZ_TEST_BREAK_DRAIN)
		return;
	__atomic_store_n(&d->stopping, 1, __ATOMIC_RELEASE);
	front_set_stopping(d->front);
	ticket_set_stopping(d->ticket);
	membership_set_stopping(d->membership);
	sleep_ms(d->settings.drain_ms);
	front_quiesce(d->front);
	/* The platform's callers have no tickets, so there is no ledger to hand
	 * over and no successor to gossip; the members learn of the stop while
	 * the last requests run. */
	if (d->settings.platform_address[0]) {
		wait_until_idle(d, until_us);
		return;
	}
	wait_until_idle(d, until_us);
	hand_over(d);
	sleep_ms(d->settings.member_period_ms * SUCCESSOR_GOSSIP_PERIODS);
	peer_quiesce(d->peer);
	wait_until_idle(d, until_us);
	wait_until_disconnected(d, until_us);
}
