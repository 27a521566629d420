#include <CUnit/Basic.h>
#include <apr_general.h>

#include "cmd/azhload/load.h"
#include "fake/fake.h"

static apr_pool_t *pool;

static const struct condition always = { CONDITION_NONE, 0 };

/* Writes a string under the condition that the two header values describe. */

static enum az_status put(struct objects *o, const char *key, const char *value,
			  const char *if_match, const char *if_none_match,
			  uint64_t *version)
{
	struct condition c;

	CU_ASSERT_EQUAL(condition_parse(if_match, if_none_match, &c), AZ_OK);
	return objects_put(o, key, &c, value, (uint32_t)strlen(value), version);
}

/* Guards against lost updates, where two conditional writes at the same version
 * both succeed. */
static void test_store_conditions(void)
{
	struct objects o = { 0 };
	struct condition c;
	uint64_t v;

	CU_ASSERT_EQUAL(put(&o, "a", "1", NULL, "*", &v), AZ_OK);
	CU_ASSERT_EQUAL(v, 1);
	CU_ASSERT_EQUAL(put(&o, "a", "2", NULL, "*", &v), AZ_CONFLICT);
	CU_ASSERT_EQUAL(v, 1);
	CU_ASSERT_EQUAL(put(&o, "b", "1", NULL, NULL, &v), AZ_OK);
	CU_ASSERT_EQUAL(v, 2);
	CU_ASSERT_EQUAL(put(&o, "a", "2", "1", NULL, &v), AZ_OK);
	CU_ASSERT_EQUAL(v, 3);
	CU_ASSERT_EQUAL(put(&o, "a", "3", "1", NULL, &v), AZ_CONFLICT);
	CU_ASSERT_EQUAL(v, 3);
	CU_ASSERT(!memcmp(objects_get(&o, "a")->value.data, "2", 1));
	CU_ASSERT_EQUAL(put(&o, "none", "x", "1", NULL, &v), AZ_CONFLICT);
	CU_ASSERT_EQUAL(v, 0);
	CU_ASSERT_EQUAL(o.revision, 3);
	CU_ASSERT_EQUAL(condition_parse("1x", NULL, &c), AZ_INVALID);
	CU_ASSERT_EQUAL(condition_parse("", NULL, &c), AZ_INVALID);
	CU_ASSERT_EQUAL(condition_parse(NULL, "1", &c), AZ_INVALID);
	CU_ASSERT_EQUAL(condition_parse("1", "*", &c), AZ_INVALID);
	objects_free(&o);
}

/* Guards against values above the size limit, and against an object that gets
 * an earlier version again after it was deleted and created anew. */
static void test_store_limit_and_delete(void)
{
	static char big[OBJECT_MAX_BYTES + 1];
	struct objects o = { 0 };
	struct condition at_1 = { CONDITION_VERSION, 1 };
	uint64_t v;

	CU_ASSERT_EQUAL(objects_put(&o, "a", &always, big, sizeof(big), &v),
			AZ_FULL);
	CU_ASSERT_EQUAL(objects_put(&o, "a", &always, big, sizeof(big) - 1, &v),
			AZ_OK);
	CU_ASSERT_EQUAL(objects_put(&o, "", &always, "", 0, &v), AZ_INVALID);
	CU_ASSERT_EQUAL(put(&o, "a", "2", NULL, NULL, &v), AZ_OK);
	CU_ASSERT_EQUAL(objects_delete(&o, "a", &at_1, &v), AZ_CONFLICT);
	CU_ASSERT_EQUAL(v, 2);
	CU_ASSERT_EQUAL(objects_delete(&o, "a", &always, &v), AZ_OK);
	CU_ASSERT_EQUAL(v, 3);
	CU_ASSERT_PTR_NULL(objects_get(&o, "a"));
	CU_ASSERT_EQUAL(objects_delete(&o, "a", &always, &v), AZ_NOT_FOUND);
	CU_ASSERT_EQUAL(put(&o, "a", "4", NULL, "*", &v), AZ_OK);
	CU_ASSERT_EQUAL(v, 4);
	objects_free(&o);
}

/* Guards against a watch that misses a change or reports one of another prefix.
 */
static void test_watch_decisions(void)
{
	struct objects o = { 0 };
	const struct object *x;
	uint32_t from = 0;
	uint64_t v;

	put(&o, "conf/b", "1", NULL, NULL, &v);
	put(&o, "conf/a", "1", NULL, NULL, &v);
	put(&o, "confx", "1", NULL, NULL, &v);
	put(&o, "status/a", "1", NULL, NULL, &v);
	CU_ASSERT(objects_watch_ready(&o, "conf/", 0));
	CU_ASSERT(objects_watch_ready(&o, "conf/", 1));
	CU_ASSERT(!objects_watch_ready(&o, "conf/", 2));
	CU_ASSERT(objects_watch_ready(&o, "", 3));
	CU_ASSERT(!objects_watch_ready(&o, "zzz", 0));
	objects_delete(&o, "conf/b", &always, &v);
	CU_ASSERT(objects_watch_ready(&o, "conf/", 4));
	x = objects_next_changed(&o, "conf/", 0, &from);
	CU_ASSERT_STRING_EQUAL(x->key, "conf/a");
	x = objects_next_changed(&o, "conf/", 0, &from);
	CU_ASSERT_STRING_EQUAL(x->key, "conf/b");
	CU_ASSERT(x->deleted);
	CU_ASSERT_PTR_NULL(objects_next_changed(&o, "conf/", 0, &from));
	objects_free(&o);
}

/* Guards against a 304 for the VM list to a client that has another revision,
 * or none, because its If-None-Match was misread. */
static void test_revision_tags(void)
{
	static const char *const bad[] = { NULL,  "*",	   "7",	     "\"\"",
					   "\"7", "\"x\"", "\"7\"x", "\"-1\"" };
	uint64_t revision = 0;

	CU_ASSERT(revision_parse("\"7\"", &revision));
	CU_ASSERT_EQUAL(revision, 7);
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT(!revision_parse(bad[i], &revision));
}

/* Guards against a copy of objects that changes with the original. */
static void test_old_copy(void)
{
	struct objects live = { 0 };
	struct objects old = { 0 };
	uint64_t v;

	put(&live, "a", "1", NULL, NULL, &v);
	objects_copy(&old, &live);
	put(&live, "a", "2", NULL, NULL, &v);
	put(&live, "b", "1", NULL, NULL, &v);
	CU_ASSERT_EQUAL(old.revision, 1);
	CU_ASSERT_EQUAL(objects_get(&old, "a")->version, 1);
	CU_ASSERT(!memcmp(objects_get(&old, "a")->value.data, "1", 1));
	CU_ASSERT_PTR_NULL(objects_get(&old, "b"));
	/* The snapshot has no change for a client that has seen revision 3. */
	CU_ASSERT(!objects_watch_ready(&old, "", 3));
	put(&old, "c", "1", NULL, NULL, &v);
	CU_ASSERT_EQUAL(v, 2);
	objects_copy(&old, &live);
	CU_ASSERT_PTR_NULL(objects_get(&old, "c"));
	objects_free(&live);
	objects_free(&old);
}

/* Guards against a fault mode that loses replies to reads, or more replies than
 * its count. */
static void test_store_faults(void)
{
	struct store_fault f = { 0 };

	CU_ASSERT_EQUAL(store_fault_set(&f, "lose-reply", 0, 2), AZ_OK);
	CU_ASSERT_EQUAL(f.ops->action(&f, false), STORE_SERVE);
	CU_ASSERT_EQUAL(f.ops->action(&f, true), STORE_LOSE_REPLY);
	CU_ASSERT_EQUAL(f.ops->action(&f, true), STORE_LOSE_REPLY);
	CU_ASSERT_EQUAL(f.ops->action(&f, true), STORE_SERVE);
	CU_ASSERT_EQUAL(store_fault_set(&f, "hold-reply", 0, 1), AZ_OK);
	CU_ASSERT_EQUAL(f.ops->action(&f, false), STORE_SERVE);
	CU_ASSERT_EQUAL(f.ops->action(&f, true), STORE_HOLD_REPLY);
	CU_ASSERT_EQUAL(f.ops->action(&f, true), STORE_SERVE);
	CU_ASSERT_EQUAL(store_fault_set(&f, "hold-write", 0, 1), AZ_OK);
	CU_ASSERT_EQUAL(f.ops->action(&f, false), STORE_SERVE);
	CU_ASSERT_EQUAL(f.ops->action(&f, true), STORE_HOLD_WRITE);
	CU_ASSERT_EQUAL(f.ops->action(&f, true), STORE_SERVE);
	CU_ASSERT_EQUAL(store_fault_set(&f, "slow", 5, 0), AZ_OK);
	CU_ASSERT_EQUAL(f.delay_us, 5000);
	CU_ASSERT_EQUAL(store_fault_set(&f, "lost", 0, 0), AZ_INVALID);
	CU_ASSERT_STRING_EQUAL(f.ops->name, "slow");
	CU_ASSERT_EQUAL(store_fault_set(&f, "down", 5, 0), AZ_OK);
	CU_ASSERT_EQUAL(f.delay_us, 0);
	CU_ASSERT_EQUAL(f.ops->action(&f, false), STORE_DOWN);
}

/* Guards against more running requests than slots, and against an unlimited
 * backlog. */
static void test_slots(void)
{
	struct slot_pool p = { .slots = 1, .backlog = 3, .shedding = true };
	struct slot_item i[6];
	struct slot_item *expired = NULL;

	for (uint32_t n = 0; n < 6; n++)
		i[n].deadline_us = n == 2 ? 10 : INT64_MAX;
	CU_ASSERT_EQUAL(slot_pool_enter(&p, &i[0]), AZ_OK);
	CU_ASSERT_EQUAL(slot_pool_enter(&p, &i[1]), AZ_AGAIN);
	CU_ASSERT_EQUAL(slot_pool_enter(&p, &i[2]), AZ_AGAIN);
	CU_ASSERT_EQUAL(slot_pool_enter(&p, &i[3]), AZ_AGAIN);
	CU_ASSERT_EQUAL(slot_pool_enter(&p, &i[4]), AZ_FULL);
	CU_ASSERT_PTR_NULL(slot_pool_next(&p, 0, &expired));
	CU_ASSERT(slot_pool_remove(&p, &i[1]));
	CU_ASSERT(!slot_pool_remove(&p, &i[1]));
	CU_ASSERT(!slot_pool_remove(&p, &i[0]));
	slot_pool_leave(&p);
	/* A request whose deadline is reached does not run. */
	CU_ASSERT_PTR_EQUAL(slot_pool_next(&p, 10, &expired), &i[3]);
	CU_ASSERT_PTR_EQUAL(expired, &i[2]);
	CU_ASSERT_EQUAL(p.running, 1);
	CU_ASSERT_EQUAL(p.waiting, 0);
	p.shedding = false;
	p.backlog = 0;
	CU_ASSERT_EQUAL(slot_pool_enter(&p, &i[5]), AZ_AGAIN);
}

/* Guards against a run that is not counted, or is counted for another id. */
static void test_runs(void)
{
	struct run_table t;

	run_table_init(&t, pool);
	CU_ASSERT_EQUAL(run_table_add(&t, "a"), 1);
	CU_ASSERT_EQUAL(run_table_add(&t, "b"), 1);
	CU_ASSERT_EQUAL(t.repeated, 0);
	CU_ASSERT_EQUAL(run_table_add(&t, "a"), 2);
	CU_ASSERT_EQUAL(run_table_add(&t, "a"), 3);
	CU_ASSERT_EQUAL(t.repeated, 1);
	CU_ASSERT_EQUAL(apr_hash_count(t.counts), 2);
}

/* Guards against a cold start that does not end or does not slow requests. */
static void test_service_time(void)
{
	struct service_time s = { .mean_us = 1000,
				  .fixed = true,
				  .cold_start_us = 100,
				  .cold_factor_percent = 500 };
	struct prng p;
	int64_t sum_us = 0;

	prng_seed(&p, 1);
	CU_ASSERT_EQUAL(service_time_sample(&s, &p, 0), 5000);
	CU_ASSERT_EQUAL(service_time_sample(&s, &p, 50), 3000);
	CU_ASSERT_EQUAL(service_time_sample(&s, &p, 100), 1000);
	s.fixed = false;
	for (uint32_t i = 0; i < 10000; i++)
		sum_us += service_time_sample(&s, &p, 100);
	CU_ASSERT(sum_us > 9500 * 1000 && sum_us < 10500 * 1000);
}

struct mode_case {
	const char *query;
	enum fault_action request;
	enum fault_action answer; /* to a POST on a reused connection */
	int64_t service_us; /* for a service time of 100 us */
};

/* Guards against a fault mode without effect or with that of another mode. */
static void test_fault_table(void)
{
	static const struct mode_case cases[] = {
		{ "mode=none", FAULT_PASS, FAULT_PASS, 100 },
		{ "mode=slow", FAULT_PASS, FAULT_PASS, 1000 },
		{ "mode=slow&factor=3", FAULT_PASS, FAULT_PASS, 300 },
		{ "mode=errors", FAULT_PASS, FAULT_ERROR, 100 },
		{ "mode=errors&percent=0", FAULT_PASS, FAULT_PASS, 100 },
		{ "mode=half", FAULT_PASS, FAULT_TRUNCATE, 100 },
		{ "mode=accept-silent", FAULT_SILENT, FAULT_PASS, 100 },
		{ "mode=no-accept", FAULT_PASS, FAULT_PASS, 100 },
		{ "mode=one-sided", FAULT_PASS, FAULT_SILENT, 100 },
		{ "mode=flap", FAULT_PASS, FAULT_ERROR, 100 },
		{ "mode=flap&inner=slow", FAULT_PASS, FAULT_PASS, 1000 },
		{ "mode=silent-connections", FAULT_PASS, FAULT_PASS, 100 },
		{ "mode=close-after-read", FAULT_PASS, FAULT_CLOSE, 100 },
		{ "mode=shed", FAULT_SHED, FAULT_PASS, 100 },
		{ "mode=drain", FAULT_PASS, FAULT_PASS, 100 },
		{ "mode=late&every=1", FAULT_PASS, FAULT_DELAY, 100 },
		{ "mode=crossed&every=2", FAULT_PASS, FAULT_PASS, 100 },
	};
	const struct fault_request post = { .post = true, .reused = true };
	const struct fault_request fresh = { .post = true };
	struct fault f;

	fault_init(&f, 1);
	for (uint32_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct mode_case *c = &cases[i];

		CU_ASSERT_EQUAL(fault_parse(&f, c->query, 0), AZ_OK);
		CU_ASSERT_EQUAL(fault_on_request(&f, &post, 0), c->request);
		CU_ASSERT_EQUAL(fault_on_answer(&f, &post, 0), c->answer);
		CU_ASSERT_EQUAL(fault_service_us(&f, 100, 0), c->service_us);
	}
	CU_ASSERT_EQUAL(fault_on_answer(&f, &post, 0), FAULT_DELAY);
	fault_parse(&f, "mode=close-after-read", 0);
	CU_ASSERT_EQUAL(fault_on_answer(&f, &fresh, 0), FAULT_PASS);
	fault_parse(&f, "mode=flap&period_ms=1", 500);
	CU_ASSERT_EQUAL(fault_on_answer(&f, &post, 1499), FAULT_ERROR);
	CU_ASSERT_EQUAL(fault_on_answer(&f, &post, 1500), FAULT_PASS);
	CU_ASSERT_EQUAL(fault_on_answer(&f, &post, 2500), FAULT_ERROR);
}

/* Guards against an invalid fault query that changes the fault in force. */
static void test_fault_input(void)
{
	static const char *const bad[] = { "",
					   "mode",
					   "mode=odd",
					   "factor=2",
					   "mode=slow&factor=x",
					   "mode=slow&factor=-1",
					   "mode=slow&speed=1",
					   "mode=late&every=0",
					   "mode=flap&period_ms=0",
					   "mode=flap&inner=flap" };
	struct fault f;

	fault_init(&f, 1);
	fault_parse(&f, "mode=half", 0);
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT_EQUAL(fault_parse(&f, bad[i], 0), AZ_INVALID);
		CU_ASSERT_STRING_EQUAL(f.ops->name, "half");
	}
}

/* Guards against a health endpoint that reflects a fault before the lag has
 * passed, or draining only after it. */
static void test_health_lags(void)
{
	struct fault f;

	fault_init(&f, 1);
	CU_ASSERT(fault_health_ok(&f, 0, 5));
	fault_parse(&f, "mode=errors", 100);
	CU_ASSERT(fault_health_ok(&f, 50, 149));
	CU_ASSERT(!fault_health_ok(&f, 50, 150));
	fault_parse(&f, "mode=drain", 100);
	CU_ASSERT(!fault_health_ok(&f, 50, 100));
	fault_parse(&f, "mode=shed", 100);
	CU_ASSERT(fault_health_ok(&f, 0, 1000));
}

/* Guards against a percentile of the load tool that is off by one element. */
static void test_percentile(void)
{
	uint32_t v[1000];

	for (uint32_t i = 0; i < 1000; i++)
		v[i] = i + 1;
	CU_ASSERT_EQUAL(percentile(v, 1000, 5000), 500);
	CU_ASSERT_EQUAL(percentile(v, 1000, 9900), 990);
	CU_ASSERT_EQUAL(percentile(v, 1000, 9990), 999);
	CU_ASSERT_EQUAL(percentile(v, 1000, 10000), 1000);
	CU_ASSERT_EQUAL(percentile(v, 10, 9900), 10);
	CU_ASSERT_EQUAL(percentile(v, 1, 0), 1);
	CU_ASSERT_EQUAL(percentile(v, 0, 5000), 0);
}

/* Guards against a load tool that sends a request again although it may have
 * run, or that reports an outcome which no answer has confirmed. */
static void test_next_step(void)
{
	const struct attempt_result lost = { .lost = true };
	const struct attempt_result ok = { .status = 200 };
	const struct attempt_result server_error = { .status = 500,
						     .error = "" };
	const struct attempt_result ticket_required = {
		.status = 428,
		.error = "ticket-required",
		.outcome = OUTCOME_NOT_RUN,
		.has_ticket = true
	};
	const struct attempt_result overloaded = { .status = 503,
						   .error = "overloaded",
						   .outcome = OUTCOME_NOT_RUN };
	const struct attempt_result mismatch = { .status = 409,
						 .error = "ticket-mismatch",
						 .outcome = OUTCOME_NOT_RUN };
	const struct attempt_result issuer_gone = { .status = 410,
						    .error = "issuer-gone",
						    .outcome =
							    OUTCOME_UNKNOWN };
	struct attempt_context a = { .has_ticket = true,
				     .retries_left = 1,
				     .repeats_left = 1 };

	CU_ASSERT_EQUAL(decide_next(&a, &ok).final, FINAL_ANSWERED);
	CU_ASSERT_EQUAL(decide_next(&a, &server_error).final, FINAL_FAILED);
	CU_ASSERT_EQUAL(decide_next(&a, &ticket_required).step, STEP_TICKET);
	CU_ASSERT_EQUAL(decide_next(&a, &overloaded).step, STEP_RETRY);
	CU_ASSERT_EQUAL(decide_next(&a, &mismatch).final, FINAL_REFUSED);
	CU_ASSERT_EQUAL(decide_next(&a, &issuer_gone).step, STEP_REPEAT);
	CU_ASSERT_EQUAL(decide_next(&a, &lost).step, STEP_REPEAT);
	a.retries_left = a.repeats_left = 0;
	CU_ASSERT_EQUAL(decide_next(&a, &overloaded).final, FINAL_REFUSED);
	CU_ASSERT_EQUAL(decide_next(&a, &issuer_gone).final, FINAL_UNKNOWN);
	CU_ASSERT_EQUAL(decide_next(&a, &lost).final, FINAL_UNKNOWN);
	CU_ASSERT_EQUAL(decide_next(&a, &ticket_required).final, FINAL_REFUSED);
	a = (struct attempt_context){ .bare = true, .repeats_left = 1 };
	CU_ASSERT_EQUAL(decide_next(&a, &lost).final, FINAL_UNKNOWN);
	a = (struct attempt_context){ .idempotent = true, .retries_left = 1 };
	CU_ASSERT_EQUAL(decide_next(&a, &overloaded).final, FINAL_REFUSED);
	CU_ASSERT_EQUAL(decide_next(&a, &lost).final, FINAL_LOST);
	CU_ASSERT_EQUAL(outcome_parse("nonsense"), OUTCOME_UNKNOWN);
}

/* Guards against a target of the load tool that is not on loopback, and against
 * a misread --stream. */
static void test_load_input(void)
{
	struct sockaddr_in sa = { 0 };
	struct stream s = { 0 };

	CU_ASSERT_EQUAL(target_parse("127.0.0.2:80", &sa), AZ_OK);
	CU_ASSERT_EQUAL(ntohs(sa.sin_port), 80);
	CU_ASSERT_EQUAL(target_parse("10.0.0.1:80", &sa), AZ_DENIED);
	CU_ASSERT_EQUAL(target_parse("localhost:80", &sa), AZ_INVALID);
	CU_ASSERT_EQUAL(target_parse("127.0.0.1:0", &sa), AZ_INVALID);
	CU_ASSERT_EQUAL(target_parse("127.0.0.1:8x", &sa), AZ_INVALID);
	CU_ASSERT_EQUAL(stream_parse(&s, "urgent:POST:/pay:20:10:2"), AZ_OK);
	CU_ASSERT_EQUAL(s.rank, RANK_URGENT);
	CU_ASSERT_STRING_EQUAL(s.path, "/pay");
	CU_ASSERT_EQUAL(s.length_us, 10 * US_PER_S);
	CU_ASSERT_EQUAL(s.start_us, 2 * US_PER_S);
	CU_ASSERT_EQUAL(stream_parse(&s, "urgent:POST:/pay:20"), AZ_INVALID);
	CU_ASSERT_EQUAL(stream_parse(&s, "top:POST:/pay:20:10"), AZ_INVALID);
	CU_ASSERT_EQUAL(stream_parse(&s, "bulk:GET:/a:1:1:1:1"), AZ_INVALID);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	CU_initialize_registry();
	s = CU_add_suite("fake", NULL, NULL);
	CU_add_test(s, "store conditions", test_store_conditions);
	CU_add_test(s, "store limit", test_store_limit_and_delete);
	CU_add_test(s, "watch", test_watch_decisions);
	CU_add_test(s, "old copy", test_old_copy);
	CU_add_test(s, "revision tags", test_revision_tags);
	CU_add_test(s, "store faults", test_store_faults);
	CU_add_test(s, "slots", test_slots);
	CU_add_test(s, "runs", test_runs);
	CU_add_test(s, "service time", test_service_time);
	CU_add_test(s, "fault table", test_fault_table);
	CU_add_test(s, "fault input", test_fault_input);
	CU_add_test(s, "health lag", test_health_lags);
	CU_add_test(s, "percentile", test_percentile);
	CU_add_test(s, "next step", test_next_step);
	CU_add_test(s, "load input", test_load_input);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
