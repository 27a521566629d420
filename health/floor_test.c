#include <string.h>
#include <CUnit/Basic.h>

#include "health/floor.h"

/* ---- floor ---- */

#define POOL 10

struct floor_case {
	struct conf_service service;
	struct conf_cell cells[2];
	struct conf_worker workers[POOL];
	struct report reports[2 * POOL];
	struct member_view view;
	uint16_t masks[2];
};

/** Ten workers in two cells, floor 45 %: five of them, rounded up. */
static void floor_init(struct floor_case *f)
{
	memset(f, 0, sizeof(*f));
	f->service.floor_percent = 45;
	f->service.worker_count = POOL;
	f->service.workers = f->workers;
	f->service.cell_count = 2;
	f->service.cells = f->cells;
	for (uint32_t i = 0; i < POOL; i++) {
		struct conf_cell *c = &f->cells[i / 5];

		f->workers[i].id = 100 + i;
		f->workers[i].cell_bit = c->worker_count;
		c->workers[c->worker_count++] = &f->workers[i];
	}
	f->view.reports = f->reports;
}

/** Reports come sorted by subject. */
static void floor_report(struct floor_case *f, uint32_t worker,
			 enum report_kind kind, uint8_t severity)
{
	f->reports[f->view.report_count++] =
		(struct report){ 100 + worker, (uint8_t)kind, severity };
}

static uint32_t floor_run(struct floor_case *f)
{
	floor_exclude(&f->service, &f->view, f->masks);
	return (uint32_t)(__builtin_popcount(f->masks[0]) +
			  __builtin_popcount(f->masks[1]));
}

/* Guards against excluding more than the floor allows, and against keeping a
 * worse worker than one that is left out. */
static void test_floor_holds_and_takes_the_worst(void)
{
	struct floor_case f;

	floor_init(&f);
	for (uint32_t i = 0; i < POOL; i++)
		floor_report(&f, i, REPORT_WORKER_UNHEALTHY,
			     (uint8_t)(10 + 10 * i));
	CU_ASSERT_EQUAL(floor_run(&f), 5);
	CU_ASSERT_EQUAL(f.masks[0], 0);
	CU_ASSERT_EQUAL(f.masks[1], 0x1f);
}

/* Guards against entries that decide differently on equal reports. */
static void test_floor_breaks_ties_by_worker(void)
{
	struct floor_case f;

	floor_init(&f);
	for (uint32_t i = 0; i < POOL; i++)
		floor_report(&f, i, REPORT_WORKER_UNHEALTHY, 50);
	CU_ASSERT_EQUAL(floor_run(&f), 5);
	CU_ASSERT_EQUAL(f.masks[0], 0x1f);
	CU_ASSERT_EQUAL(f.masks[1], 0);
}

/* Guards against ejecting down to the floor on top of workers that leave: they
 * count as already out. */
static void test_floor_counts_leaving_workers(void)
{
	struct floor_case f;

	floor_init(&f);
	f.workers[0].admin = WORKER_DRAINING;
	f.workers[1].admin = WORKER_EJECTED;
	floor_report(&f, 2, REPORT_WORKER_LEAVING, 1);
	for (uint32_t i = 3; i < POOL; i++)
		floor_report(&f, i, REPORT_WORKER_UNHEALTHY, 50);
	CU_ASSERT_EQUAL(floor_run(&f), 5);
	CU_ASSERT_EQUAL(f.masks[0], 0x1f);
}

/* Guards against new work for a leaving worker when the floor is reached. */
static void test_floor_leaving_is_always_masked(void)
{
	struct floor_case f;

	floor_init(&f);
	for (uint32_t i = 0; i < POOL; i++) {
		if (i < 7)
			floor_report(&f, i, REPORT_WORKER_LEAVING, 1);
		else
			floor_report(&f, i, REPORT_WORKER_UNHEALTHY, 255);
	}
	CU_ASSERT_EQUAL(floor_run(&f), 7);
	CU_ASSERT_EQUAL(f.masks[1] >> 2, 0);
}

/* Guards against reading another kind's report, or the milder one of two. */
static void test_floor_reads_the_worst_report(void)
{
	struct floor_case f;

	floor_init(&f);
	f.service.floor_percent = 90;
	floor_report(&f, 3, REPORT_WORKER_UNHEALTHY, 10);
	floor_report(&f, 3, REPORT_WORKER_UNHEALTHY, 90);
	floor_report(&f, 4, REPORT_CELL_BUSY, 255);
	floor_report(&f, 8, REPORT_WORKER_UNHEALTHY, 60);
	CU_ASSERT_EQUAL(floor_run(&f), 1);
	CU_ASSERT_EQUAL(f.masks[0], 1 << 3);
}

static void add_floor_tests(void)
{
	CU_pSuite s = CU_add_suite("floor", NULL, NULL);

	CU_add_test(s, "worst", test_floor_holds_and_takes_the_worst);
	CU_add_test(s, "ties", test_floor_breaks_ties_by_worker);
	CU_add_test(s, "leaving counts", test_floor_counts_leaving_workers);
	CU_add_test(s, "leaving masked", test_floor_leaving_is_always_masked);
	CU_add_test(s, "worst report", test_floor_reads_the_worst_report);
}

int main(void)
{
	CU_initialize_registry();
	add_floor_tests();
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
