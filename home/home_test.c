#include <math.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "home/home.h"
#include "home/replay.h"

static const struct usual baseline = { 400 * US_PER_MS, 100 * US_PER_MS };

/* ---- evidence ---- */

/* Guards against a worker that hangs and keeps getting work until its first
 * request has timed out. */
static void test_late_requests_raise_suspicion(void)
{
	struct track ev = { 0 };

	track_send(&ev, 0);
	track_send(&ev, 10 * US_PER_MS);
	CU_ASSERT(track_trouble(&ev, &baseline, 200 * US_PER_MS) < 0.5);
	CU_ASSERT(track_trouble(&ev, &baseline, 900 * US_PER_MS) >=
		  CHOOSE_TROUBLE_MAX);
}

/* Guards against a busy sound worker that is taken for a gray one because many
 * of its requests are out. */
static void test_answers_clear_a_busy_worker(void)
{
	struct track ev = { 0 };
	int64_t now_us = 0;

	for (uint32_t i = 0; i < 200; i++) {
		now_us = i * 100 * US_PER_MS;
		track_send(&ev, now_us);
		if (i >= 4)
			track_end(&ev, &baseline, now_us - 400 * US_PER_MS,
				  EVENT_ANSWERED, 400 * US_PER_MS, now_us);
		CU_ASSERT(track_trouble(&ev, &baseline, now_us) <
			  CHOOSE_TROUBLE_MAX);
	}
	CU_ASSERT_EQUAL(ev.in_flight_count, 4);
}

/* Guards against a worker that stays avoided for good, and against old news: a
 * request that was sent long ago tells nothing about now. */
static void test_suspicion_decays(void)
{
	struct track ev = { 0 };

	track_send(&ev, 0);
	track_end(&ev, &baseline, 0, EVENT_BROKEN, 0, US_PER_MS);
	CU_ASSERT(track_trouble(&ev, &baseline, US_PER_MS) >=
		  CHOOSE_TROUBLE_MAX);
	CU_ASSERT(track_trouble(&ev, &baseline, 10 * US_PER_S) < 0.3);
	memset(&ev, 0, sizeof(ev));
	track_send(&ev, 0);
	track_end(&ev, &baseline, 0, EVENT_TIMEOUT, 8 * US_PER_S, 8 * US_PER_S);
	CU_ASSERT(track_trouble(&ev, &baseline, 8 * US_PER_S) < 0.5);
}

/* Guards against work given up by its caller that counts against the worker. */
static void test_unused_grants_are_no_evidence(void)
{
	struct track ev = { 0 };

	track_send(&ev, 0);
	track_end(&ev, &baseline, 0, EVENT_UNUSED, 0, US_PER_MS);
	CU_ASSERT_EQUAL(ev.in_flight_count, 0);
	CU_ASSERT(track_trouble(&ev, &baseline, US_PER_MS) < 0.01);
	track_send(&ev, 0);
	track_end(&ev, &baseline, 0, EVENT_ABANDONED, 0, 100 * US_PER_MS);
	CU_ASSERT(track_trouble(&ev, &baseline, 100 * US_PER_MS) < 0.01);
}

/* Guards against a worker that hangs and looks sound again as soon as a second
 * copy of a read has been answered elsewhere and the first one is given up. */
static void test_cancelled_late_requests_are_evidence(void)
{
	struct track ev = { 0 };

	track_send(&ev, 0);
	track_end(&ev, &baseline, 0, EVENT_ABANDONED, 0, 900 * US_PER_MS);
	CU_ASSERT(track_trouble(&ev, &baseline, 900 * US_PER_MS) >=
		  CHOOSE_TROUBLE_MAX);
}

/* Guards against a slow but steady worker that is taken for a gray one by the
 * speed of its neighbours. */
static void test_slow_steady_worker_is_not_suspect(void)
{
	struct track ev = { 0 };

	for (uint32_t i = 0; i < 50; i++) {
		int64_t sent_us = i * US_PER_S;

		track_send(&ev, sent_us);
		track_end(&ev, &baseline, sent_us, EVENT_ANSWERED,
			  1000 * US_PER_MS, sent_us + 1000 * US_PER_MS);
	}
	track_send(&ev, 50 * US_PER_S);
	CU_ASSERT(track_trouble(&ev, &baseline, 51 * US_PER_S) < 0.3);
}

/* ---- choice ---- */

#define WORKERS 10

static struct track evidence[WORKERS];
static struct candidate list[WORKERS];

static void reset_workers(void)
{
	memset(evidence, 0, sizeof(evidence));
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i] = (struct candidate){ &evidence[i], 0, 6, false, true };
}

static const struct demand no_wait = { .rank = RANK_NORMAL };
static const struct demand waiting = { .rank = RANK_NORMAL, .may_wait = true };

static int32_t choose(const struct demand *d, uint64_t random, int64_t now_us)
{
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i].suspicion =
			track_trouble(&evidence[i], &baseline, now_us);
	return choose_worker(list, WORKERS, &baseline, d, random, now_us);
}

static void record_failure(uint32_t i, int64_t now_us)
{
	track_send(&evidence[i], now_us);
	track_end(&evidence[i], &baseline, now_us, EVENT_BROKEN, 0, now_us);
}

/* Guards against ejections below the floor: with half of the workers in
 * trouble, seven of ten must still be used. */
static void test_avoided_workers_are_limited(void)
{
	bool used[WORKERS] = { false };
	uint32_t count = 0;
	int64_t now_us = US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS / 2; i++)
		record_failure(i, now_us);
	for (uint32_t n = 0; n < WORKERS * 6; n++) {
		int32_t w = choose(&no_wait, n, now_us);

		if (w < 0)
			break;
		used[w] = true;
		track_send(&evidence[w], now_us);
	}
	for (uint32_t i = 0; i < WORKERS; i++)
		count += used[i];
	CU_ASSERT(count >= 7);
}

/* Guards against a pool of which a part gets nothing while work is little. */
static void test_idle_worker_is_preferred(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS; i++)
		evidence[i].last_sent_us = now_us;
	list[3].same_dc = false;
	evidence[3].last_sent_us = now_us - 2 * US_PER_S;
	CU_ASSERT_EQUAL(choose(&no_wait, 0, now_us), 3);
}

/* Guards against urgent requests that are lost by trying a worker that may
 * still be gray while a less urgent one would have told as much. */
static void test_urgent_requests_do_not_try_idle_workers(void)
{
	static const struct demand urgent = { .rank = RANK_URGENT };
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS; i++)
		evidence[i].last_sent_us = now_us;
	evidence[3].last_sent_us = now_us - 2 * US_PER_S;
	CU_ASSERT_NOT_EQUAL(choose(&urgent, 0, now_us), 3);
	CU_ASSERT_EQUAL(choose(&no_wait, 0, now_us), 3);
}

/* Guards against requests that fill the slots of a suspect worker in a burst
 * although a sound one is about to be free. */
static void test_waits_for_a_healthy_worker(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 0; i < WORKERS; i++)
		for (uint32_t k = 0; i >= 5 && k < 6; k++)
			track_send(&evidence[i], now_us);
	for (uint32_t i = 0; i < 5; i++)
		record_failure(i, now_us);
	CU_ASSERT_EQUAL(choose(&waiting, 0, now_us), -1);
	CU_ASSERT(choose(&no_wait, 0, now_us) >= 0);
}

/* Guards against bytes to another data centre while a near worker is about to
 * be free, and against waiting for near ones that are in trouble. */
static void test_waits_for_a_worker_of_the_same_dc(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset_workers();
	for (uint32_t i = 1; i < WORKERS; i++)
		list[i].same_dc = false;
	for (uint32_t i = 0; i < 6; i++)
		track_send(&evidence[0], now_us);
	CU_ASSERT(choose(&no_wait, 0, now_us) > 0);
	CU_ASSERT_EQUAL(choose(&waiting, 0, now_us), -1);
	reset_workers();
	for (uint32_t i = 1; i < WORKERS; i++)
		list[i].same_dc = false;
	record_failure(0, now_us);
	CU_ASSERT(choose(&waiting, 0, now_us) > 0);
}

/* Guards against estimates that count slots which hanging requests hold. */
static void test_slots_of_hung_requests_are_not_usable(void)
{
	reset_workers();
	for (uint32_t i = 0; i < 4; i++)
		track_send(&evidence[0], 0);
	CU_ASSERT_EQUAL(
		choose_usable_slots(list, 1, &baseline, 100 * US_PER_MS), 6);
	CU_ASSERT_EQUAL(choose_usable_slots(list, 1, &baseline, 2 * US_PER_S),
			2);
}

/* ---- the queue ---- */

/* Guards against requests that wait until their deadline although it was known
 * that their turn would not come. */
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

static uint32_t take_all(struct retry_budget *b, int64_t now_us)
{
	uint32_t n = 0;

	while (retry_budget_take(b, 20, now_us))
		n++;
	return n;
}

/* Guards against repeats beyond the fleet's budget, also by homes that come and
 * go: an empty budget allows none. */
static void test_retries_are_a_share_of_first_asks(void)
{
	struct retry_budget b;
	uint32_t taken[1000] = { 0 };
	uint32_t window = 0;
	uint32_t all = 0;

	retry_budget_init(&b, 10);
	CU_ASSERT(!retry_budget_take(&b, 20, 0));
	/* Ten requests a second: a window of 10 s has 100 of them. */
	for (uint32_t i = 0; i < 1000; i++) {
		int64_t now_us = i * 100 * US_PER_MS;

		retry_budget_count_ask(&b, now_us);
		taken[i] = take_all(&b, now_us);
		all += taken[i];
		window += taken[i] - (i >= 100 ? taken[i - 100] : 0);
		CU_ASSERT(window <= 20 + 10);
		CU_ASSERT(window <= 2 * (i + 1) / 5);
	}
	CU_ASSERT(all >= 180);
}

/* Guards against a bucket that is too small for the moment in which all workers
 * of a service shed: what the last window allows may be used at once, and once
 * only. */
static void test_retries_of_a_window_may_come_in_a_burst(void)
{
	struct retry_budget b;

	retry_budget_init(&b, 10);
	for (uint32_t i = 0; i < 500; i++)
		retry_budget_count_ask(&b, i * 20 * US_PER_MS);
	CU_ASSERT_EQUAL(take_all(&b, 10 * US_PER_S - 1), 100);
	CU_ASSERT_EQUAL(take_all(&b, 15 * US_PER_S), 0);
	CU_ASSERT(take_all(&b, 22 * US_PER_S) <= 100);
	CU_ASSERT_EQUAL(take_all(&b, 60 * US_PER_S), 0);
}

/* ---- encoding ---- */

static struct fleet_keys keys(uint8_t byte)
{
	struct fleet_keys k = { .count = 1 };

	k.keys[0].id = 1;
	memset(k.keys[0].secret, byte, sizeof(k.keys[0].secret));
	return k;
}

/* Guards against fields that do not cross, forged and cut datagrams. */
static void test_messages_round_trip(void)
{
	struct home_msg ask = { .kind = HOME_ASK,
				.asker = 1,
				.sequence = 2,
				.service = 3,
				.region = 4,
				.dc = 5,
				.rank = RANK_BULK,
				.idempotent = true,
				.insists = true,
				.counts = true,
				.left_ms = 6,
				.target_ms = 7,
				.excluded_count = 2,
				.excluded = { 8, 9 } };
	struct fleet_keys k = keys(1);
	struct fleet_keys other = keys(2);
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	uint8_t again[HOME_DATAGRAM_MAX_BYTES];
	struct home_msg back;
	uint32_t n = home_encode(&ask, &k, data);

	CU_ASSERT(n > 0);
	CU_ASSERT_EQUAL(home_decode(data, n, &k, &back), AZ_OK);
	CU_ASSERT_EQUAL(home_encode(&back, &k, again), n);
	CU_ASSERT_EQUAL(memcmp(data, again, n), 0);
	CU_ASSERT_EQUAL(back.sequence, 2);
	CU_ASSERT_EQUAL(back.target_ms, 7);
	CU_ASSERT(back.idempotent && back.insists && back.counts);
	CU_ASSERT(!back.repeat && !back.only_free);
	CU_ASSERT_EQUAL(back.excluded[1], 9);
	CU_ASSERT_EQUAL(home_decode(data, n, &other, &back), AZ_DENIED);
	for (uint32_t cut = 0; cut < n; cut++)
		CU_ASSERT_NOT_EQUAL(home_decode(data, cut, &k, &back), AZ_OK);
	data[n - 1] ^= 1;
	CU_ASSERT_EQUAL(home_decode(data, n, &k, &back), AZ_DENIED);
	other.count = 0;
	CU_ASSERT_EQUAL(home_encode(&ask, &other, data), 0);
}

/* ---- load patterns ---- */

static double served(const struct replay_pattern *p,
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

/* Guards against a choice that serves less than a simple one when workers hang
 * or fail for seconds at a time. */
static void test_gray_workers_cost_less_than_random_choice(void)
{
	for (uint32_t i = 0; i < 3; i++) {
		const struct replay_pattern *p = &replay_patterns[i];
		double product = served(p, &replay_product);

		CU_ASSERT(product > served(p, &replay_random));
		CU_ASSERT(product > 0.96);
	}
}

/* Guards against idle slots in a burst: requests that wait for a near worker
 * while others are refused. */
static void test_burst_does_not_wait_for_better_workers(void)
{
	CU_ASSERT(choose_queue_is_short(20, 10));
	CU_ASSERT(!choose_queue_is_short(21, 10));
	for (uint32_t i = 3; i < 6; i += 2)
		CU_ASSERT(served(&replay_patterns[i], &replay_product) >
			  served(&replay_patterns[i], &replay_waiting));
}

/* Guards against refusals of a load that the workers can bear. */
static void test_load_within_capacity_is_not_refused(void)
{
	struct replay_result r =
		replay_run(&replay_patterns[0], &replay_product, 7);

	CU_ASSERT_EQUAL(r.refused, 0);
	CU_ASSERT(r.other_dc * 10 < r.requests);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("home", NULL, NULL);
	CU_add_test(s, "late", test_late_requests_raise_suspicion);
	CU_add_test(s, "busy", test_answers_clear_a_busy_worker);
	CU_add_test(s, "fades", test_suspicion_decays);
	CU_add_test(s, "unused", test_unused_grants_are_no_evidence);
	CU_add_test(s, "abandoned", test_cancelled_late_requests_are_evidence);
	CU_add_test(s, "steady", test_slow_steady_worker_is_not_suspect);
	CU_add_test(s, "trials", test_urgent_requests_do_not_try_idle_workers);
	CU_add_test(s, "patience", test_waits_for_a_healthy_worker);
	CU_add_test(s, "floor", test_avoided_workers_are_limited);
	CU_add_test(s, "idle", test_idle_worker_is_preferred);
	CU_add_test(s, "near", test_waits_for_a_worker_of_the_same_dc);
	CU_add_test(s, "hung", test_slots_of_hung_requests_are_not_usable);
	CU_add_test(s, "hopeless",
		    test_unservable_requests_are_taken_out_early);
	CU_add_test(s, "budget", test_retries_are_a_share_of_first_asks);
	CU_add_test(s, "bunch", test_retries_of_a_window_may_come_in_a_burst);
	CU_add_test(s, "messages", test_messages_round_trip);
	CU_add_test(s, "gray", test_gray_workers_cost_less_than_random_choice);
	CU_add_test(s, "burst", test_burst_does_not_wait_for_better_workers);
	CU_add_test(s, "quiet", test_load_within_capacity_is_not_refused);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
