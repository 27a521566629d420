#include <math.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "home/home.h"
#include "home/replay.h"

static const struct latency_baseline baseline = { 400 * US_PER_MS,
						  100 * US_PER_MS };

/* ---- evidence about a worker ---- */

/* A hung worker must become suspect before its first request has timed out. */
static void test_late_requests_raise_suspicion(void)
{
	struct worker_evidence ev = { 0 };

	worker_evidence_record_send(&ev, 0);
	worker_evidence_record_send(&ev, 10 * US_PER_MS);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, 200 * US_PER_MS) <
		  0.5);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, 900 * US_PER_MS) >=
		  CHOOSE_SUSPICION_MAX);
}

/* A busy healthy worker must not become suspect because it has many requests in
 * flight. */
static void test_answers_clear_a_busy_worker(void)
{
	struct worker_evidence ev = { 0 };
	int64_t now_us = 0;

	for (uint32_t i = 0; i < 200; i++) {
		now_us = i * 100 * US_PER_MS;
		worker_evidence_record_send(&ev, now_us);
		if (i >= 4)
			worker_evidence_record_completion(
				&ev, &baseline, now_us - 400 * US_PER_MS,
				EVENT_ANSWERED, 400 * US_PER_MS, now_us);
		CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, now_us) <
			  CHOOSE_SUSPICION_MAX);
	}
	CU_ASSERT_EQUAL(ev.in_flight_count, 4);
}

/* A worker must not stay suspect for good, nor become suspect by a failure of a
 * request that was sent long ago. */
static void test_suspicion_decays(void)
{
	struct worker_evidence ev = { 0 };

	worker_evidence_record_send(&ev, 0);
	worker_evidence_record_completion(&ev, &baseline, 0,
					  EVENT_NO_VALID_ANSWER, 0, US_PER_MS);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, US_PER_MS) >=
		  CHOOSE_SUSPICION_MAX);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, 10 * US_PER_S) <
		  0.3);
	memset(&ev, 0, sizeof(ev));
	worker_evidence_record_send(&ev, 0);
	worker_evidence_record_completion(&ev, &baseline, 0, EVENT_TIMEOUT,
					  8 * US_PER_S, 8 * US_PER_S);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, 8 * US_PER_S) <
		  0.5);
}

/* Unused grants, and requests that are cancelled early, must not raise the
 * suspicion of the worker. */
static void test_unused_grants_are_no_evidence(void)
{
	struct worker_evidence ev = { 0 };

	worker_evidence_record_send(&ev, 0);
	worker_evidence_record_completion(&ev, &baseline, 0, EVENT_NO_EVIDENCE,
					  0, US_PER_MS);
	CU_ASSERT_EQUAL(ev.in_flight_count, 0);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, US_PER_MS) < 0.01);
	worker_evidence_record_send(&ev, 0);
	worker_evidence_record_completion(&ev, &baseline, 0, EVENT_CANCELLED, 0,
					  100 * US_PER_MS);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, 100 * US_PER_MS) <
		  0.01);
}

/* A hung worker must be suspect even when its request is cancelled, as happens
 * when a second copy of the request is answered by another worker. */
static void test_cancelled_late_requests_are_evidence(void)
{
	struct worker_evidence ev = { 0 };

	worker_evidence_record_send(&ev, 0);
	worker_evidence_record_completion(&ev, &baseline, 0, EVENT_CANCELLED, 0,
					  900 * US_PER_MS);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, 900 * US_PER_MS) >=
		  CHOOSE_SUSPICION_MAX);
}

/* A slow but steady worker must not become suspect because the other workers of
 * the cell are faster. */
static void test_slow_steady_worker_is_not_suspect(void)
{
	struct worker_evidence ev = { 0 };

	for (uint32_t i = 0; i < 50; i++) {
		int64_t sent_us = i * US_PER_S;

		worker_evidence_record_send(&ev, sent_us);
		worker_evidence_record_completion(
			&ev, &baseline, sent_us, EVENT_ANSWERED,
			1000 * US_PER_MS, sent_us + 1000 * US_PER_MS);
	}
	worker_evidence_record_send(&ev, 50 * US_PER_S);
	CU_ASSERT(worker_evidence_suspicion(&ev, &baseline, 51 * US_PER_S) <
		  0.3);
}

/* ---- choice of a worker ---- */

#define WORKERS 10

static struct worker_evidence evidence[WORKERS];
static struct candidate list[WORKERS];

static void reset_workers(void)
{
	memset(evidence, 0, sizeof(evidence));
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i] = (struct candidate){ .evidence = &evidence[i],
					      .slots = 6,
					      .same_dc = true };
}

static const struct demand cannot_wait = { .rank = RANK_NORMAL };
static const struct demand can_wait = { .rank = RANK_NORMAL, .may_wait = true };

static int32_t choose(const struct demand *d, uint64_t random, int64_t now_us)
{
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i].suspicion = worker_evidence_suspicion(
			&evidence[i], &baseline, now_us);
	return choose_worker(list, WORKERS, &baseline, d, random, now_us);
}

static void record_failure(uint32_t i, int64_t now_us)
{
	worker_evidence_record_send(&evidence[i], now_us);
	worker_evidence_record_completion(&evidence[i], &baseline, now_us,
					  EVENT_NO_VALID_ANSWER, 0, now_us);
}

/* At most 30 percent of the workers may be avoided: with half of ten workers
 * suspect, seven must still be used. */
static void test_avoided_workers_are_limited(void)
{
	bool used[WORKERS] = { false };
	uint32_t count = 0;
	int64_t now_us = US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS / 2; i++)
		record_failure(i, now_us);
	for (uint32_t n = 0; n < WORKERS * 6; n++) {
		int32_t w = choose(&cannot_wait, n, now_us);

		if (w < 0)
			break;
		used[w] = true;
		worker_evidence_record_send(&evidence[w], now_us);
	}
	for (uint32_t i = 0; i < WORKERS; i++)
		count += used[i];
	CU_ASSERT(count >= 7);
}

/* Under low load all workers must get requests, also those of other data
 * centres, as the evidence about them goes out of date. */
static void test_idle_worker_is_preferred(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS; i++)
		evidence[i].last_sent_us = now_us;
	list[3].same_dc = false;
	evidence[3].last_sent_us = now_us - 2 * US_PER_S;
	CU_ASSERT_EQUAL(choose(&cannot_wait, 0, now_us), 3);
}

/* A worker that has been idle may still be gray, so that a less urgent request
 * must be the first to try it. */
static void test_urgent_requests_do_not_try_idle_workers(void)
{
	static const struct demand urgent = { .rank = RANK_URGENT };
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS; i++)
		evidence[i].last_sent_us = now_us;
	evidence[3].last_sent_us = now_us - 2 * US_PER_S;
	CU_ASSERT_NOT_EQUAL(choose(&urgent, 0, now_us), 3);
	CU_ASSERT_EQUAL(choose(&cannot_wait, 0, now_us), 3);
}

/* Guards against the rule on the floor broken: while many requests are not
 * served, a worker with a single failure got nothing for seconds, although it
 * was not among the avoided ones. */
static void test_workers_that_are_not_avoided_get_requests_for_the_floor(void)
{
	struct demand floor = { .rank = RANK_NORMAL, .hold_floor = true };
	int64_t now_us = 10 * US_PER_S;
	int64_t idle_us = FLOOR_IDLE_US + 1;

	reset_workers();
	for (uint32_t i = 0; i < 6; i++)
		record_failure(i, now_us - idle_us);
	for (uint32_t i = 6; i < WORKERS; i++)
		evidence[i].last_sent_us = now_us;
	CU_ASSERT(choose(&cannot_wait, 9, now_us) >= 6);
	CU_ASSERT(choose(&floor, 9, now_us) < 6);
	/* Urgent requests leave the trial to others for some time. */
	floor.rank = RANK_URGENT;
	CU_ASSERT(choose(&floor, 9, now_us) >= 6);
	CU_ASSERT(choose(&floor, 9, now_us + FLOOR_IDLE_LATER_US) < 6);
	/* At most CHOOSE_AVOIDED_FLOOR_PERCENT of the workers get nothing. */
	floor.rank = RANK_NORMAL;
	for (uint32_t n = 0; n < WORKERS; n++) {
		int32_t w = choose(&floor, n, now_us);

		worker_evidence_record_send(&evidence[w], now_us);
	}
	for (uint32_t i = 0, starved = 0; i < WORKERS; i++) {
		starved += evidence[i].last_sent_us < now_us;
		CU_ASSERT(starved * 100 <=
			  WORKERS * CHOOSE_AVOIDED_FLOOR_PERCENT);
	}
}

/* Guards against a floor that is held after a few failures, which are not worth
 * trials on suspect workers, or that is not held while more than a tenth of the
 * requests fail. */
static void test_floor_is_held_while_many_requests_fail(void)
{
	struct floor_watch f = { 0 };
	int64_t now_us = US_PER_S;

	floor_record(&f, false, now_us);
	CU_ASSERT(!floor_must_hold(&f, now_us));
	for (uint32_t i = 0; i < 200; i++)
		floor_record(&f, i % 20 != 0, now_us += 20 * US_PER_MS);
	CU_ASSERT(!floor_must_hold(&f, now_us));
	for (uint32_t i = 0; i < 50; i++)
		floor_record(&f, i % 8 != 0, now_us += 20 * US_PER_MS);
	CU_ASSERT(floor_must_hold(&f, now_us));
	CU_ASSERT(!floor_must_hold(&f, now_us + 30 * US_PER_S));
}

/* In a burst, requests that may wait must not take the slots of suspect workers
 * while the healthy ones are full. */
static void test_waits_for_a_healthy_worker(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS; i++)
		for (uint32_t k = 0; i >= 5 && k < 6; k++)
			worker_evidence_record_send(&evidence[i], now_us);
	for (uint32_t i = 0; i < 5; i++)
		record_failure(i, now_us);
	CU_ASSERT_EQUAL(choose(&can_wait, 0, now_us), -1);
	CU_ASSERT(choose(&cannot_wait, 0, now_us) >= 0);
}

/* Requests that may wait must not go to another data centre while the workers
 * of their own are full, and must not wait for workers that are suspect. */
static void test_waits_for_a_worker_of_the_same_dc(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 1; i < WORKERS; i++)
		list[i].same_dc = false;
	for (uint32_t i = 0; i < 6; i++)
		worker_evidence_record_send(&evidence[0], now_us);
	CU_ASSERT(choose(&cannot_wait, 0, now_us) > 0);
	CU_ASSERT_EQUAL(choose(&can_wait, 0, now_us), -1);
	reset_workers();
	for (uint32_t i = 1; i < WORKERS; i++)
		list[i].same_dc = false;
	record_failure(0, now_us);
	CU_ASSERT(choose(&can_wait, 0, now_us) > 0);
}

/* The estimated wait must not count slots that hung requests hold. */
static void test_slots_of_hung_requests_are_not_usable(void)
{
	reset_workers();
	for (uint32_t i = 0; i < 4; i++)
		worker_evidence_record_send(&evidence[0], 0);
	CU_ASSERT_EQUAL(
		choose_usable_slots(list, 1, &baseline, 100 * US_PER_MS), 6);
	CU_ASSERT_EQUAL(choose_usable_slots(list, 1, &baseline, 2 * US_PER_S),
			2);
}

/* ---- limits of workers ---- */

#define RULE_WINDOW_US (4 * US_PER_S)

/* Most grants within RULE_WINDOW_US by two homes that grant whenever they may.
 * The second one learns of the limit ten seconds after the first. */
static uint32_t most_grants(uint32_t mrps)
{
	struct worker_limit l[2] = { { 0 } };
	int64_t granted_us[4096];
	uint32_t count = 0;
	uint32_t most = 0;

	for (int64_t now_us = US_PER_S; now_us < 20 * US_PER_S;
	     now_us += 10 * US_PER_MS)
		for (uint32_t i = 0; i < 2; i++) {
			if (now_us < (i ? 11 : 1) * US_PER_S)
				continue;
			if (!l[i].mrps)
				worker_limit_named(&l[i], mrps, now_us, now_us);
			if (!worker_limit_allows(&l[i], now_us))
				continue;
			worker_limit_take(&l[i], now_us);
			/* The first home is no longer asked once all members
			 * know the second one. */
			if (i || now_us < 11 * US_PER_S + LIMIT_NEW_US)
				granted_us[count++] = now_us;
		}
	for (uint32_t i = 0, first = 0; i < count; i++) {
		while (granted_us[i] - granted_us[first] >= RULE_WINDOW_US)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

/* Guards against a worker that gets more than its limit while two daemons take
 * themselves for the home. The users' rule allows one and a half times the
 * limit and 5 requests in 4 s. */
static void test_limit_is_kept_by_two_homes(void)
{
	for (uint32_t mrps = 250; mrps <= 20000; mrps += 250) {
		uint32_t n = most_grants(mrps);

		CU_ASSERT(n * 1000 <= mrps * 6 + 5000);
		/* Nearly all of the limit is used. */
		CU_ASSERT(n * 1000 >= mrps * 4);
	}
}

/* Guards against a limit that ends because of an answer that is older than it,
 * or is set again by news that are older than its end. */
static void test_newest_answer_decides_on_the_limit(void)
{
	struct worker_limit l = { 0 };
	int64_t now_us = 10 * US_PER_S;

	CU_ASSERT(!worker_limit_is_heard(&l, now_us));
	CU_ASSERT(worker_limit_allows(&l, now_us));
	CU_ASSERT(worker_limit_named(&l, 1000, now_us, now_us));
	CU_ASSERT(!worker_limit_allows(&l, now_us));
	CU_ASSERT(!worker_limit_absent(&l, now_us - 1, now_us + 1));
	CU_ASSERT(!worker_limit_allows(&l, now_us + 2));
	CU_ASSERT(!worker_limit_named(&l, 1000, now_us + 5, now_us + 5));
	CU_ASSERT(worker_limit_absent(&l, now_us + 6, now_us + 9));
	CU_ASSERT(worker_limit_allows(&l, now_us + 9));
	CU_ASSERT(!worker_limit_named(&l, 1000, now_us + 8, now_us + 9));
	CU_ASSERT(worker_limit_allows(&l, now_us + 9));
	CU_ASSERT(worker_limit_is_heard(&l, now_us + LIMIT_HEARD_US));
	CU_ASSERT(!worker_limit_is_heard(&l, now_us + 9 + LIMIT_HEARD_US));
}

/* Guards against requests that go to a worker at its limit, or wait for it
 * while another worker has room. */
static void test_worker_at_its_limit_gets_nothing(void)
{
	struct demand floor = { .rank = RANK_NORMAL, .hold_floor = true };
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 1; i < WORKERS; i++)
		for (uint32_t k = 0; k < 5; k++)
			worker_evidence_record_send(&evidence[i], now_us);
	CU_ASSERT_EQUAL(choose(&cannot_wait, 0, now_us), 0);
	list[0].limit_mrps = 1000;
	CU_ASSERT_EQUAL(choose(&cannot_wait, 0, now_us), 0);
	list[0].at_limit = true;
	CU_ASSERT(choose(&cannot_wait, 0, now_us) > 0);
	CU_ASSERT(choose(&can_wait, 0, now_us) > 0);
	CU_ASSERT(choose(&floor, 0, now_us) > 0);
	/* The only worker of the data centre is at its limit. */
	for (uint32_t i = 1; i < WORKERS; i++)
		list[i].same_dc = false;
	CU_ASSERT(choose(&can_wait, 0, now_us) > 0);
}

/* Guards against requests that go to a worker in a pause that it has asked for,
 * or wait for its end while another worker has room, and against a cell whose
 * last workers are avoided because those in a pause count as available. */
static void test_paused_worker_gets_nothing(void)
{
	struct demand floor = { .rank = RANK_NORMAL, .hold_floor = true };
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	list[0].paused_until_us = now_us + 1;
	for (uint32_t i = 1; i < WORKERS; i++) {
		list[i].same_dc = false;
		for (uint32_t k = 0; k < 5; k++)
			worker_evidence_record_send(&evidence[i], now_us);
	}
	CU_ASSERT(choose(&cannot_wait, 0, now_us) > 0);
	CU_ASSERT(choose(&can_wait, 0, now_us) > 0);
	CU_ASSERT(choose(&floor, 0, now_us) > 0);
	CU_ASSERT_EQUAL(choose(&cannot_wait, 0, now_us + 1), 0);
	reset_workers();
	for (uint32_t i = 0; i < WORKERS - 2; i++)
		list[i].paused_until_us = now_us + 1;
	record_failure(WORKERS - 1, now_us);
	record_failure(WORKERS - 2, now_us);
	CU_ASSERT(choose(&cannot_wait, 0, now_us) >= (int32_t)WORKERS - 2);
	CU_ASSERT_EQUAL(choose_usable_slots(list, WORKERS, &baseline, now_us),
			6);
}

/* Guards against a worker that is never used again because its restart cannot
 * be told from its going on. */
static void test_leaving_ends_with_the_boot(void)
{
	CU_ASSERT_EQUAL(worker_leaving_until_us(5, 9), INT64_MAX);
	CU_ASSERT_EQUAL(worker_leaving_until_us(0, 9),
			9 + LEAVING_WITHOUT_BOOT_US);
}

/* Guards against requests that are queued although limits make the wait longer
 * than their deadline, and against a Retry-After that is too short. */
static void test_limits_lengthen_the_estimated_wait(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	CU_ASSERT_EQUAL(
		choose_dispatch_interval_us(list, WORKERS, &baseline, now_us),
		baseline.latency_us / (6 * WORKERS));
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i].limit_mrps = 500;
	CU_ASSERT_EQUAL(
		choose_dispatch_interval_us(list, WORKERS, &baseline, now_us),
		200 * US_PER_MS);
	/* A limit above what the worker can do changes nothing. */
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i].limit_mrps = 1000000;
	CU_ASSERT_EQUAL(
		choose_dispatch_interval_us(list, WORKERS, &baseline, now_us),
		baseline.latency_us / (6 * WORKERS));
}

/* ---- queue and retry budget ---- */

/* Requests that are estimated to miss their deadline must be refused early, and
 * no more of them than necessary. */
static void test_unservable_requests_are_taken_out_early(void)
{
	struct queue_settings s = { { 16, 16, 16 }, { 0, 0, 0 } };
	struct queue_item items[10];
	struct queue_item *unservable;
	struct rank_queue q;
	uint32_t n = 0;

	rank_queue_init(&q, &s);
	q.dispatch_interval_us = 1;
	for (uint32_t i = 0; i < 10; i++) {
		items[i] =
			(struct queue_item){ NULL, RANK_NORMAL, 0, US_PER_S };
		CU_ASSERT_EQUAL(rank_queue_push(&q, &items[i], 0), ERR_NONE);
	}
	q.dispatch_interval_us = 300 * US_PER_MS;
	for (unservable = rank_queue_take_unservable(&q, 0); unservable;
	     unservable = unservable->next)
		n++;
	CU_ASSERT(n >= 5 && n <= 7);
	CU_ASSERT_EQUAL(rank_queue_depth(&q), 10 - n);
	CU_ASSERT_PTR_EQUAL(q.head[RANK_NORMAL], &items[0]);
}

static uint32_t take_all_retries(struct retry_budget *b, int64_t now_us)
{
	uint32_t n = 0;

	while (retry_budget_take(b, 20, true, now_us))
		n++;
	return n;
}

/* Retries must stay within the budget: a share of 20 percent of the first grant
 * requests, plus the slack. An empty budget must allow none, as each daemon
 * that becomes a home begins with one. */
static void test_retries_are_a_share_of_first_asks(void)
{
	struct retry_budget b;
	uint32_t taken[1000] = { 0 };
	uint32_t window = 0;
	uint32_t all = 0;

	retry_budget_init(&b, 10);
	CU_ASSERT(!retry_budget_take(&b, 20, true, 0));
	/* Ten requests a second: a window of 10 s has 100 of them. */
	for (uint32_t i = 0; i < 1000; i++) {
		int64_t now_us = i * 100 * US_PER_MS;

		retry_budget_count_first(&b, now_us);
		taken[i] = take_all_retries(&b, now_us);
		all += taken[i];
		window += taken[i] - (i >= 100 ? taken[i - 100] : 0);
		CU_ASSERT(window <= 20 + 10);
		/* The share and the slack are 20 percent each at most. */
		CU_ASSERT(window <= 2 * (i + 1) / 5);
	}
	CU_ASSERT(all >= 180);
}

/* Guards against the retry budget of the fleet being exceeded while the home
 * does not reply: each of 98 daemons that grant for it added a slack of its
 * own. The users' rule allows 20 % of the requests and 174 more. */
static void test_retries_without_the_home_have_no_slack(void)
{
	uint32_t requests = 0;
	uint32_t retries = 0;

	for (uint32_t i = 0; i < 98; i++) {
		struct retry_budget b;
		int64_t now_us = 100 * US_PER_S;

		retry_budget_init(&b, 10);
		for (uint32_t n = 0; n < 50; n++) {
			retry_budget_count_first(&b, now_us);
			requests++;
			while (retry_budget_take(&b, 20, false, now_us))
				retries++;
			now_us += 100 * US_PER_MS;
		}
	}
	CU_ASSERT(retries * 100 <= requests * 20);
	CU_ASSERT(retries * 100 >= requests * 10);
}

/* When all workers of a service refuse requests at once, all retries that the
 * window before allows must be possible at once, but must not be repeated. */
static void test_retries_of_a_window_may_come_in_a_burst(void)
{
	struct retry_budget b;

	retry_budget_init(&b, 10);
	for (uint32_t i = 0; i < 500; i++)
		retry_budget_count_first(&b, i * 20 * US_PER_MS);
	CU_ASSERT_EQUAL(take_all_retries(&b, 10 * US_PER_S - 1), 100);
	CU_ASSERT_EQUAL(take_all_retries(&b, 15 * US_PER_S), 0);
	CU_ASSERT(take_all_retries(&b, 22 * US_PER_S) <= 100);
	CU_ASSERT_EQUAL(take_all_retries(&b, 60 * US_PER_S), 0);
}

/* ---- encoding ---- */

static struct fleet_keys keys(uint8_t byte)
{
	struct fleet_keys k = { .count = 1 };

	k.keys[0].id = 1;
	memset(k.keys[0].secret, byte, sizeof(k.keys[0].secret));
	return k;
}

/* Decoding must restore all fields of a message and must reject truncated and
 * forged datagrams. */
static void test_messages_round_trip(void)
{
	struct home_msg grant_request = { .kind = HOME_GRANT_REQUEST,
					  .requester_incarnation = 1,
					  .sequence = 2,
					  .service = 3,
					  .region = 4,
					  .dc = 5,
					  .rank = RANK_BULK,
					  .idempotent = true,
					  .must_queue = true,
					  .first_grant_request = true,
					  .left_ms = 6,
					  .target_ms = 7,
					  .excluded_count = 2,
					  .excluded = { 8, 9 } };
	struct fleet_keys k = keys(1);
	struct fleet_keys other = keys(2);
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	uint8_t encoded_again[HOME_DATAGRAM_MAX_BYTES];
	struct home_msg decoded;
	uint32_t n = home_encode(&grant_request, &k, data);

	CU_ASSERT(n > 0);
	CU_ASSERT_EQUAL(home_decode(data, n, &k, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(home_encode(&decoded, &k, encoded_again), n);
	CU_ASSERT_EQUAL(memcmp(data, encoded_again, n), 0);
	CU_ASSERT_EQUAL(decoded.sequence, 2);
	CU_ASSERT_EQUAL(decoded.target_ms, 7);
	CU_ASSERT(decoded.idempotent && decoded.must_queue &&
		  decoded.first_grant_request);
	CU_ASSERT(!decoded.uses_retry_budget && !decoded.no_queueing);
	CU_ASSERT_EQUAL(decoded.excluded[1], 9);
	CU_ASSERT_EQUAL(home_decode(data, n, &other, &decoded), AZ_DENIED);
	for (uint32_t cut_bytes = 0; cut_bytes < n; cut_bytes++)
		CU_ASSERT_NOT_EQUAL(home_decode(data, cut_bytes, &k, &decoded),
				    AZ_OK);
	data[n - 1] ^= 1;
	CU_ASSERT_EQUAL(home_decode(data, n, &k, &decoded), AZ_DENIED);
	other.count = 0;
	CU_ASSERT_EQUAL(home_encode(&grant_request, &other, data), 0);
}

/* Guards against limits that are lost or changed between daemons, and against
 * messages without limits that daemons of older versions cannot decode. */
static void test_limits_are_transferred(void)
{
	struct home_msg m = { .kind = HOME_COMPLETION,
			      .worker = 1,
			      .event = EVENT_ANSWERED,
			      .latency_us = 2 };
	struct fleet_keys k = keys(1);
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	struct home_msg decoded;
	uint32_t n = home_encode(&m, &k, data);

	m.limit_mrps = 2500;
	CU_ASSERT_EQUAL(home_encode(&m, &k, data), n + 4);
	CU_ASSERT_EQUAL(home_decode(data, n + 4, &k, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(decoded.limit_mrps, 2500);
	CU_ASSERT_EQUAL(decoded.limit_age_ms, 0);
	m.limit_age_ms = 70;
	CU_ASSERT_EQUAL(home_encode(&m, &k, data), n + 8);
	CU_ASSERT_EQUAL(home_decode(data, n + 8, &k, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(decoded.limit_age_ms, 70);
	/* Fields in the middle are sent for those after them. */
	m.limit_mrps = m.limit_age_ms = 0;
	m.pause_ms = 1500;
	CU_ASSERT_EQUAL(home_encode(&m, &k, data), n + 16);
	CU_ASSERT_EQUAL(home_decode(data, n + 16, &k, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(decoded.limit_mrps, 0);
	CU_ASSERT_EQUAL(decoded.worker_leaving, 0);
	CU_ASSERT_EQUAL(decoded.pause_ms, 1500);
	m = (struct home_msg){ .kind = HOME_GRANT, .worker = 1 };
	n = home_encode(&m, &k, data);
	CU_ASSERT_EQUAL(home_decode(data, n, &k, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(decoded.worker_unheard, 0);
	m.worker_unheard = 1;
	CU_ASSERT_EQUAL(home_encode(&m, &k, data), n + 4);
	CU_ASSERT_EQUAL(home_decode(data, n + 4, &k, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(decoded.worker_unheard, 1);
}

/* ---- simulated load patterns ---- */

static double served_share(const struct replay_pattern *p,
			   const struct replay_policy *policy)
{
	double all = 0;
	double good = 0;

	for (uint64_t seed = 1; seed <= 3; seed++) {
		struct replay_result r = replay_run(p, policy, seed);

		all += r.requests;
		good += r.served;
		CU_ASSERT_EQUAL(r.served + r.failed + r.refused, r.requests);
	}
	return good / all;
}

/* The daemon's choice must serve more requests than a random one when workers
 * hang or fail for seconds at a time (patterns 0 to 2). */
static void test_choice_beats_random_one_with_gray_workers(void)
{
	for (uint32_t i = 0; i < 3; i++) {
		const struct replay_pattern *p = &replay_patterns[i];
		double daemon_share = served_share(p, &replay_daemon);

		CU_ASSERT(daemon_share > served_share(p, &replay_random));
		CU_ASSERT(daemon_share > 0.96);
	}
}

/* In a burst beyond capacity, requests must not wait for a better worker and
 * leave slots idle while others are refused. */
static void test_burst_does_not_wait_for_better_workers(void)
{
	CU_ASSERT(choose_queue_is_short(20, 10));
	CU_ASSERT(!choose_queue_is_short(21, 10));
	/* Patterns 3 and 5 contain a burst. */
	for (uint32_t i = 3; i < 6; i += 2)
		CU_ASSERT(
			served_share(&replay_patterns[i], &replay_daemon) >
			served_share(&replay_patterns[i], &replay_always_wait));
}

/* Guards against workers that are left without requests because all workers
 * lose a part of their answers (the last pattern): 56 % of them got nothing for
 * 2 s, where the users' rule allows 30 %. */
static void test_lost_answers_do_not_starve_workers(void)
{
	const struct replay_pattern *p =
		&replay_patterns[replay_pattern_count - 1];

	for (uint64_t seed = 1; seed <= 3; seed++)
		CU_ASSERT(replay_run(p, &replay_daemon, seed).starved_share <
			  0.3);
}

/* Requests below the workers' capacity must not be refused, and few of them may
 * go to another data centre. */
static void test_load_within_capacity_is_not_refused(void)
{
	struct replay_result r =
		replay_run(&replay_patterns[0], &replay_daemon, 7);

	CU_ASSERT_EQUAL(r.refused, 0);
	CU_ASSERT(r.other_dc * 10 < r.requests);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("home", NULL, NULL);
	CU_add_test(s, "late requests", test_late_requests_raise_suspicion);
	CU_add_test(s, "busy worker", test_answers_clear_a_busy_worker);
	CU_add_test(s, "suspicion decays", test_suspicion_decays);
	CU_add_test(s, "no evidence", test_unused_grants_are_no_evidence);
	CU_add_test(s, "cancelled", test_cancelled_late_requests_are_evidence);
	CU_add_test(s, "slow worker", test_slow_steady_worker_is_not_suspect);
	CU_add_test(s, "urgent requests",
		    test_urgent_requests_do_not_try_idle_workers);
	CU_add_test(s, "healthy worker", test_waits_for_a_healthy_worker);
	CU_add_test(s, "avoided workers", test_avoided_workers_are_limited);
	CU_add_test(s, "idle worker", test_idle_worker_is_preferred);
	CU_add_test(
		s, "floor",
		test_workers_that_are_not_avoided_get_requests_for_the_floor);
	CU_add_test(s, "floor is held",
		    test_floor_is_held_while_many_requests_fail);
	CU_add_test(s, "lost answers", test_lost_answers_do_not_starve_workers);
	CU_add_test(s, "same data centre",
		    test_waits_for_a_worker_of_the_same_dc);
	CU_add_test(s, "hung requests",
		    test_slots_of_hung_requests_are_not_usable);
	CU_add_test(s, "unservable",
		    test_unservable_requests_are_taken_out_early);
	CU_add_test(s, "retry budget", test_retries_are_a_share_of_first_asks);
	CU_add_test(s, "retries without the home",
		    test_retries_without_the_home_have_no_slack);
	CU_add_test(s, "retry burst",
		    test_retries_of_a_window_may_come_in_a_burst);
	CU_add_test(s, "messages", test_messages_round_trip);
	CU_add_test(s, "limits transferred", test_limits_are_transferred);
	CU_add_test(s, "limit and two homes", test_limit_is_kept_by_two_homes);
	CU_add_test(s, "end of a limit",
		    test_newest_answer_decides_on_the_limit);
	CU_add_test(s, "worker at its limit",
		    test_worker_at_its_limit_gets_nothing);
	CU_add_test(s, "paused worker", test_paused_worker_gets_nothing);
	CU_add_test(s, "leaving", test_leaving_ends_with_the_boot);
	CU_add_test(s, "wait for limits",
		    test_limits_lengthen_the_estimated_wait);
	CU_add_test(s, "gray workers",
		    test_choice_beats_random_one_with_gray_workers);
	CU_add_test(s, "burst", test_burst_does_not_wait_for_better_workers);
	CU_add_test(s, "load within capacity",
		    test_load_within_capacity_is_not_refused);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
