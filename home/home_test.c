#include <math.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "home/home.h"
#include "home/replay.h"

static const struct latency_baseline latency_baseline = { 400 * US_PER_MS,
							  100 * US_PER_MS };

/* ---- evidence ---- */

/* Guards against a worker that hangs and keeps getting work until its first
 * request has timed out. */
static void test_late_requests_are_trouble(void)
{
	struct worker_evidence t = { 0 };

	evidence_record_send(&t, 0);
	evidence_record_send(&t, 10 * US_PER_MS);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, 200 * US_PER_MS) <
		  0.5);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, 900 * US_PER_MS) >=
		  CHOOSE_SUSPICION_MAX);
}

/* Guards against a busy sound worker that is taken for a gray one because many
 * of its requests are out. */
static void test_answers_speak_for_a_busy_worker(void)
{
	struct worker_evidence t = { 0 };
	int64_t now_us = 0;

	for (uint32_t i = 0; i < 200; i++) {
		now_us = i * 100 * US_PER_MS;
		evidence_record_send(&t, now_us);
		if (i >= 4)
			evidence_record_completion(
				&t, &latency_baseline, now_us - 400 * US_PER_MS,
				EVENT_ANSWERED, 400 * US_PER_MS, now_us);
		CU_ASSERT(evidence_suspicion(&t, &latency_baseline, now_us) <
			  CHOOSE_SUSPICION_MAX);
	}
	CU_ASSERT_EQUAL(t.out_count, 4);
}

/* Guards against a worker that stays avoided for good, and against old news: a
 * request that was sent long ago tells nothing about now. */
static void test_trouble_fades(void)
{
	struct worker_evidence t = { 0 };

	evidence_record_send(&t, 0);
	evidence_record_completion(&t, &latency_baseline, 0,
				   EVENT_NO_VALID_ANSWER, 0, US_PER_MS);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, US_PER_MS) >=
		  CHOOSE_SUSPICION_MAX);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, 10 * US_PER_S) <
		  0.3);
	memset(&t, 0, sizeof(t));
	evidence_record_send(&t, 0);
	evidence_record_completion(&t, &latency_baseline, 0, EVENT_TIMEOUT,
				   8 * US_PER_S, 8 * US_PER_S);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, 8 * US_PER_S) <
		  0.5);
}

/* Guards against work given up by its caller that counts against the worker. */
static void test_unused_grants_are_no_evidence(void)
{
	struct worker_evidence t = { 0 };

	evidence_record_send(&t, 0);
	evidence_record_completion(&t, &latency_baseline, 0, EVENT_NO_EVIDENCE,
				   0, US_PER_MS);
	CU_ASSERT_EQUAL(t.out_count, 0);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, US_PER_MS) < 0.01);
	evidence_record_send(&t, 0);
	evidence_record_completion(&t, &latency_baseline, 0, EVENT_CANCELLED, 0,
				   100 * US_PER_MS);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, 100 * US_PER_MS) <
		  0.01);
}

/* Guards against a worker that hangs and looks sound again as soon as a second
 * copy of a read has been answered elsewhere and the first one is given up. */
static void test_abandoned_late_requests_are_evidence(void)
{
	struct worker_evidence t = { 0 };

	evidence_record_send(&t, 0);
	evidence_record_completion(&t, &latency_baseline, 0, EVENT_CANCELLED, 0,
				   900 * US_PER_MS);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, 900 * US_PER_MS) >=
		  CHOOSE_SUSPICION_MAX);
}

/* Guards against a slow but steady worker that is taken for a gray one by the
 * speed of its neighbours. */
static void test_slow_steady_worker_is_not_suspect(void)
{
	struct worker_evidence t = { 0 };

	for (uint32_t i = 0; i < 50; i++) {
		int64_t sent_us = i * US_PER_S;

		evidence_record_send(&t, sent_us);
		evidence_record_completion(&t, &latency_baseline, sent_us,
					   EVENT_ANSWERED, 1000 * US_PER_MS,
					   sent_us + 1000 * US_PER_MS);
	}
	evidence_record_send(&t, 50 * US_PER_S);
	CU_ASSERT(evidence_suspicion(&t, &latency_baseline, 51 * US_PER_S) <
		  0.3);
}

/* ---- choice ---- */

#define WORKERS 10

static struct worker_evidence tracks[WORKERS];
static struct candidate list[WORKERS];

static void reset(void)
{
	memset(tracks, 0, sizeof(tracks));
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i] = (struct candidate){ &tracks[i], 0, 6, false, true };
}

static const struct demand hurried = { .rank = RANK_NORMAL };
static const struct demand patient = { .rank = RANK_NORMAL, .patient = true };

static int32_t choose(const struct demand *d, uint64_t random, int64_t now_us)
{
	for (uint32_t i = 0; i < WORKERS; i++)
		list[i].trouble = evidence_suspicion(&tracks[i],
						     &latency_baseline, now_us);
	return choose_worker(list, WORKERS, &latency_baseline, d, random,
			     now_us);
}

static void fail(uint32_t i, int64_t now_us)
{
	evidence_record_send(&tracks[i], now_us);
	evidence_record_completion(&tracks[i], &latency_baseline, now_us,
				   EVENT_NO_VALID_ANSWER, 0, now_us);
}

/* Guards against ejections below the floor: with half of the workers in
 * trouble, seven of ten must still be used. */
static void test_floor_is_kept(void)
{
	bool used[WORKERS] = { false };
	uint32_t count = 0;
	int64_t now_us = US_PER_S;

	reset();
	for (uint32_t i = 0; i < WORKERS / 2; i++)
		fail(i, now_us);
	for (uint32_t n = 0; n < WORKERS * 6; n++) {
		int32_t w = choose(&hurried, n, now_us);

		if (w < 0)
			break;
		used[w] = true;
		evidence_record_send(&tracks[w], now_us);
	}
	for (uint32_t i = 0; i < WORKERS; i++)
		count += used[i];
	CU_ASSERT(count >= 7);
}

/* Guards against a pool of which a part gets nothing while work is little. */
static void test_idle_worker_is_preferred(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset();
	for (uint32_t i = 0; i < WORKERS; i++)
		tracks[i].sent_us = now_us;
	list[3].near = false;
	tracks[3].sent_us = now_us - 2 * US_PER_S;
	CU_ASSERT_EQUAL(choose(&hurried, 0, now_us), 3);
}

/* Guards against urgent requests that are lost by trying a worker that may
 * still be gray while a less urgent one would have told as much. */
static void test_trials_are_for_less_urgent_requests(void)
{
	static const struct demand urgent = { .rank = RANK_URGENT };
	int64_t now_us = 10 * US_PER_S;

	reset();
	for (uint32_t i = 0; i < WORKERS; i++)
		tracks[i].sent_us = now_us;
	tracks[3].sent_us = now_us - 2 * US_PER_S;
	CU_ASSERT_NOT_EQUAL(choose(&urgent, 0, now_us), 3);
	CU_ASSERT_EQUAL(choose(&hurried, 0, now_us), 3);
}

/* Guards against requests that fill the slots of a suspect worker in a burst
 * although a sound one is about to be free. */
static void test_sound_worker_is_waited_for(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset();
	for (uint32_t i = 0; i < WORKERS; i++)
		for (uint32_t k = 0; i >= 5 && k < 6; k++)
			evidence_record_send(&tracks[i], now_us);
	for (uint32_t i = 0; i < 5; i++)
		fail(i, now_us);
	CU_ASSERT_EQUAL(choose(&patient, 0, now_us), -1);
	CU_ASSERT(choose(&hurried, 0, now_us) >= 0);
}

/* Guards against bytes to another data centre while a near worker is about to
 * be free, and against waiting for near ones that are in trouble. */
static void test_full_near_worker_is_waited_for(void)
{
	int64_t now_us = 10 * US_PER_S;

	reset();
	for (uint32_t i = 1; i < WORKERS; i++)
		list[i].near = false;
	for (uint32_t i = 0; i < 6; i++)
		evidence_record_send(&tracks[0], now_us);
	CU_ASSERT(choose(&hurried, 0, now_us) > 0);
	CU_ASSERT_EQUAL(choose(&patient, 0, now_us), -1);
	reset();
	for (uint32_t i = 1; i < WORKERS; i++)
		list[i].near = false;
	fail(0, now_us);
	CU_ASSERT(choose(&patient, 0, now_us) > 0);
}

/* Guards against estimates that count slots which hanging requests hold. */
static void test_hung_slots_do_not_count(void)
{
	reset();
	for (uint32_t i = 0; i < 4; i++)
		evidence_record_send(&tracks[0], 0);
	CU_ASSERT_EQUAL(
		choose_slots(list, 1, &latency_baseline, 100 * US_PER_MS), 6);
	CU_ASSERT_EQUAL(choose_slots(list, 1, &latency_baseline, 2 * US_PER_S),
			2);
}

/* ---- the queue ---- */

/* Guards against requests that wait until their deadline although it was known
 * that their turn would not come. */
static void test_hopeless_work_is_taken_out_early(void)
{
	struct queue_settings s = { { 16, 16, 16 }, { 0, 0, 0 } };
	struct queue_item items[10];
	struct queue_item *hopeless;
	struct rank_queue q;
	uint32_t n = 0;

	rank_queue_init(&q, &s);
	q.service_us = 1;
	for (uint32_t i = 0; i < 10; i++) {
		items[i] =
			(struct queue_item){ NULL, RANK_NORMAL, 0, US_PER_S };
		CU_ASSERT_EQUAL(rank_queue_push(&q, &items[i], 0), ERR_NONE);
	}
	q.service_us = 300 * US_PER_MS;
	for (hopeless = rank_queue_take_hopeless(&q, 0); hopeless;
	     hopeless = hopeless->next)
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
static void test_repeats_are_a_share_of_first_asks(void)
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

		retry_budget_request(&b, now_us);
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
static void test_repeats_of_a_window_may_come_in_a_bunch(void)
{
	struct retry_budget b;

	retry_budget_init(&b, 10);
	for (uint32_t i = 0; i < 500; i++)
		retry_budget_request(&b, i * 20 * US_PER_MS);
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
static void test_messages_cross_whole(void)
{
	struct home_msg ask = { .kind = HOME_ASK,
				.asker_incarnation = 1,
				.sequence = 2,
				.service = 3,
				.region = 4,
				.dc = 5,
				.rank = RANK_BULK,
				.idempotent = true,
				.must_queue = true,
				.first_ask = true,
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
	CU_ASSERT(back.idempotent && back.must_queue && back.first_ask);
	CU_ASSERT(!back.is_retry && !back.no_queueing);
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
static void test_gray_workers_cost_less_than_with_simple_choices(void)
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
	CU_ASSERT(choose_may_wait(20, 10));
	CU_ASSERT(!choose_may_wait(21, 10));
	for (uint32_t i = 3; i < 6; i += 2)
		CU_ASSERT(served(&replay_patterns[i], &replay_product) >
			  served(&replay_patterns[i], &replay_waiting));
}

/* Guards against refusals of a load that the workers can bear. */
static void test_quiet_load_is_not_refused(void)
{
	struct replay_result r =
		replay_run(&replay_patterns[0], &replay_product, 7);

	CU_ASSERT_EQUAL(r.refused, 0);
	CU_ASSERT(r.far * 10 < r.requests);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("home", NULL, NULL);
	CU_add_test(s, "late", test_late_requests_are_trouble);
	CU_add_test(s, "busy", test_answers_speak_for_a_busy_worker);
	CU_add_test(s, "fades", test_trouble_fades);
	CU_add_test(s, "unused", test_unused_grants_are_no_evidence);
	CU_add_test(s, "abandoned", test_abandoned_late_requests_are_evidence);
	CU_add_test(s, "steady", test_slow_steady_worker_is_not_suspect);
	CU_add_test(s, "trials", test_trials_are_for_less_urgent_requests);
	CU_add_test(s, "patience", test_sound_worker_is_waited_for);
	CU_add_test(s, "floor", test_floor_is_kept);
	CU_add_test(s, "idle", test_idle_worker_is_preferred);
	CU_add_test(s, "near", test_full_near_worker_is_waited_for);
	CU_add_test(s, "hung", test_hung_slots_do_not_count);
	CU_add_test(s, "hopeless", test_hopeless_work_is_taken_out_early);
	CU_add_test(s, "budget", test_repeats_are_a_share_of_first_asks);
	CU_add_test(s, "bunch", test_repeats_of_a_window_may_come_in_a_bunch);
	CU_add_test(s, "messages", test_messages_cross_whole);
	CU_add_test(s, "gray",
		    test_gray_workers_cost_less_than_with_simple_choices);
	CU_add_test(s, "burst", test_burst_does_not_wait_for_better_workers);
	CU_add_test(s, "quiet", test_quiet_load_is_not_refused);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
