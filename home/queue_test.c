#include <CUnit/Basic.h>
#include <apr_general.h>

#include "home/home.h"

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

/* Items of a more urgent rank must be dispatched first. */
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

/* Lower ranks must get their share of the dispatches in a flood of urgent
 * items. */
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

/* The queue must refuse items beyond its limit, and must not dispatch items
 * past their deadline. */
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

/* An item for which no free worker can be chosen must not block the items
 * behind it. */
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

/* Guards against a request that waits for the end of a pause of all workers
 * although its deadline is earlier. */
static void test_hopeless_wait_for_a_pause_is_refused(void)
{
	struct queue_item early = item(RANK_NORMAL, US_PER_S);
	struct queue_item late = item(RANK_NORMAL, 5 * US_PER_S);
	struct rank_queue q;

	rank_queue_init(&q, &settings);
	CU_ASSERT_EQUAL(rank_queue_push(&q, &early, 0), ERR_NONE);
	q.blocked_until_us = 2 * US_PER_S;
	CU_ASSERT_EQUAL(rank_queue_push(&q, &late, 0), ERR_NONE);
	CU_ASSERT_PTR_EQUAL(rank_queue_take_unservable(&q, 0), &early);
	CU_ASSERT_EQUAL(rank_queue_push(&q, &early, 0), ERR_OVERLOADED);
	CU_ASSERT_EQUAL(rank_queue_depth(&q), 1);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("queue", NULL, NULL);
	CU_add_test(s, "urgent first", test_urgent_goes_first);
	CU_add_test(s, "shares", test_lower_rank_keeps_its_share);
	CU_add_test(s, "bounds", test_queue_is_bounded_and_keeps_deadlines);
	CU_add_test(s, "fits", test_item_that_does_not_fit_is_passed_over);
	CU_add_test(s, "pause", test_hopeless_wait_for_a_pause_is_refused);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
