#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "cell/cell.h"

/* ---- call table ---- */

static struct call_id id_of(uint64_t sequence)
{
	return (struct call_id){ 1, 2, sequence };
}

/* Guards against "not run" for a call that ran or still may run. */
static void test_query_tells_running_and_answered(void)
{
	struct call_table *t = call_table_create();
	struct call_id id = id_of(1);
	struct call *c;
	struct call *q;

	CU_ASSERT_EQUAL(call_table_enter(t, &id, 0, &c), CALL_NEW);
	CU_ASSERT_EQUAL(call_table_query(t, &id, 1, &q), CALL_RUNNING);
	call_table_end(t, c, answer_new(ERR_NONE), 2);
	CU_ASSERT_EQUAL(call_table_query(t, &id, 3, &q), CALL_ANSWERED);
	CU_ASSERT_EQUAL(q->answer->kind, ERR_NONE);
	call_table_destroy(t);
}

/* Guards against a call that runs after its sender was told "not run". */
static void test_sealed_call_never_runs(void)
{
	struct call_table *t = call_table_create();
	struct call_id id = id_of(1);
	struct call *c;

	CU_ASSERT_EQUAL(call_table_query(t, &id, 0, &c), CALL_SEALED);
	CU_ASSERT_EQUAL(call_table_enter(t, &id, 1, &c), CALL_SEALED);
	/* Also once the seal itself was dropped. */
	CU_ASSERT_EQUAL(call_table_enter(t, &id, 2 * CALL_RETENTION_US, &c),
			CALL_FORGOTTEN);
	call_table_destroy(t);
}

/* Guards against a seal on a call that ran and was dropped since. */
static void test_query_past_retention_is_unknown(void)
{
	struct call_table *t = call_table_create();
	struct call_id id = id_of(7);
	struct call_id later = id_of(8);
	struct call *c;

	call_table_enter(t, &id, 0, &c);
	call_table_end(t, c, answer_new(ERR_NONE), 0);
	CU_ASSERT_EQUAL(call_table_query(t, &id, CALL_RETENTION_US + 1, &c),
			CALL_FORGOTTEN);
	/* A later one of the same sender is still certain. */
	CU_ASSERT_EQUAL(call_table_query(t, &later, CALL_RETENTION_US + 1, &c),
			CALL_SEALED);
	call_table_destroy(t);
}

/* Guards against an unbounded table, and against dropping running calls. */
static void test_table_is_bounded(void)
{
	struct call_table *t = call_table_create();
	struct call_id id = id_of(1);
	struct call *running;
	struct call *c;

	call_table_enter(t, &id, 0, &running);
	for (uint64_t s = 2; s < CALLS_MAX + 100; s++) {
		id = id_of(s);
		CU_ASSERT_EQUAL(call_table_enter(t, &id, 0, &c), CALL_NEW);
		call_table_end(t, c, answer_new(ERR_NONE), 0);
	}
	CU_ASSERT(call_table_size(t) <= CALLS_MAX);
	id = id_of(1);
	CU_ASSERT_EQUAL(call_table_query(t, &id, 0, &c), CALL_RUNNING);
	id = id_of(2);
	CU_ASSERT_EQUAL(call_table_query(t, &id, 0, &c), CALL_FORGOTTEN);
	call_table_destroy(t);
}

/* ---- rank queue ---- */

static const struct queue_settings settings = {
	.limit = { 4, 4, 4 },
	.share_percent = { 0, 20, 10 },
};

static struct queue_item item(enum rank r, int64_t deadline_us)
{
	return (struct queue_item){ NULL, r, 0, deadline_us };
}

static struct queue_item *pop(struct rank_queue *q, int64_t now_us)
{
	struct queue_item *expired = NULL;

	return rank_queue_pop(q, now_us, NULL, NULL, &expired);
}

/* Guards against less urgent work that is served first. */
static void test_urgent_goes_first(void)
{
	struct rank_queue q;
	struct queue_item bulk = item(RANK_BULK, US_PER_S);
	struct queue_item normal = item(RANK_NORMAL, US_PER_S);
	struct queue_item urgent = item(RANK_URGENT, US_PER_S);

	rank_queue_init(&q, &settings);
	rank_queue_push(&q, &bulk, 0);
	rank_queue_push(&q, &normal, 0);
	rank_queue_push(&q, &urgent, 0);
	CU_ASSERT_PTR_EQUAL(pop(&q, 0), &urgent);
	CU_ASSERT_PTR_EQUAL(pop(&q, 0), &normal);
	CU_ASSERT_PTR_EQUAL(pop(&q, 0), &bulk);
	CU_ASSERT_PTR_NULL(pop(&q, 0));
}

/* Guards against lower ranks that starve in a flood of urgent work. */
static void test_lower_rank_keeps_its_share(void)
{
	struct rank_queue q;
	struct queue_item items[3][2];
	uint32_t served[RANK_COUNT] = { 0 };

	rank_queue_init(&q, &settings);
	for (uint32_t r = 0; r < RANK_COUNT; r++)
		for (uint32_t i = 0; i < 2; i++) {
			items[r][i] = item((enum rank)r, INT64_MAX);
			rank_queue_push(&q, &items[r][i], 0);
		}
	for (uint32_t n = 0; n < 1000; n++) {
		struct queue_item *i = pop(&q, 0);

		served[i->rank]++;
		rank_queue_push(&q, i, 0);
	}
	CU_ASSERT(served[RANK_NORMAL] >= 180 && served[RANK_NORMAL] <= 220);
	CU_ASSERT(served[RANK_BULK] >= 90 && served[RANK_BULK] <= 110);
}

/* Guards against an unbounded queue, and work dispatched past its deadline. */
static void test_queue_is_bounded_and_keeps_deadlines(void)
{
	struct rank_queue q;
	struct queue_item items[5];
	struct queue_item late = item(RANK_URGENT, 5);
	struct queue_item *expired = NULL;

	rank_queue_init(&q, &settings);
	CU_ASSERT_EQUAL(rank_queue_push(&q, &late, 5), ERR_DEADLINE_NOT_RUN);
	for (uint32_t i = 0; i < 5; i++) {
		items[i] = item(RANK_BULK, 10 + i);
		CU_ASSERT_EQUAL(rank_queue_push(&q, &items[i], 0),
				i < 4 ? ERR_NONE : ERR_OVERLOADED);
	}
	CU_ASSERT_PTR_EQUAL(rank_queue_pop(&q, 12, NULL, NULL, &expired),
			    &items[3]);
	CU_ASSERT_EQUAL(rank_queue_depth(&q), 0);
	for (uint32_t n = 0; n < 3; n++) {
		CU_ASSERT_PTR_NOT_NULL(expired);
		expired = expired ? expired->next : NULL;
	}
	CU_ASSERT_PTR_NULL(expired);
}

static bool is_not(const struct queue_item *i, void *arg)
{
	return i != arg;
}

/* Guards against one request that no free worker fits and that blocks all. */
static void test_item_that_does_not_fit_is_passed_over(void)
{
	struct rank_queue q;
	struct queue_item a = item(RANK_URGENT, US_PER_S);
	struct queue_item b = item(RANK_URGENT, US_PER_S);
	struct queue_item *expired = NULL;

	rank_queue_init(&q, &settings);
	rank_queue_push(&q, &a, 0);
	rank_queue_push(&q, &b, 0);
	CU_ASSERT_PTR_EQUAL(rank_queue_pop(&q, 0, is_not, &a, &expired), &b);
	CU_ASSERT(rank_queue_remove(&q, &a));
	CU_ASSERT(!rank_queue_remove(&q, &a));
	CU_ASSERT_EQUAL(rank_queue_depth(&q), 0);
}

/* Guards against a healthy worker that is blamed for a bad path, and against
 * other daemons asked for each request. */
static void test_bad_path_is_told_from_dead_worker(void)
{
	struct reach r = { 0 };

	CU_ASSERT(reach_connect_failed(&r, US_PER_S));
	CU_ASSERT(!reach_connect_failed(&r, US_PER_S + 1));
	reach_answer(&r, false);
	CU_ASSERT(!r.cut);
	CU_ASSERT(reach_connect_failed(&r, 3 * US_PER_S));
	reach_answer(&r, true);
	CU_ASSERT(r.cut);
	reach_connected(&r);
	CU_ASSERT(!r.cut);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("cell", NULL, NULL);
	CU_add_test(s, "query", test_query_tells_running_and_answered);
	CU_add_test(s, "sealed", test_sealed_call_never_runs);
	CU_add_test(s, "retention", test_query_past_retention_is_unknown);
	CU_add_test(s, "bounded table", test_table_is_bounded);
	CU_add_test(s, "urgent first", test_urgent_goes_first);
	CU_add_test(s, "shares", test_lower_rank_keeps_its_share);
	CU_add_test(s, "bounds", test_queue_is_bounded_and_keeps_deadlines);
	CU_add_test(s, "fits", test_item_that_does_not_fit_is_passed_over);
	CU_add_test(s, "path", test_bad_path_is_told_from_dead_worker);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
