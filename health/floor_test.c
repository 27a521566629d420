#include <string.h>
#include <CUnit/Basic.h>

#include "health/floor.h"

#define WORKERS 10

struct floor_case {
	struct conf_service service;
	struct conf_cell cells[2];
	struct conf_worker workers[WORKERS];
	struct member_report reports[2 * WORKERS];
	struct member_view view;
	uint16_t masks[2];
};

/** Sets up ten workers in two cells of five. The floor of 45 % demands 4.5 of
 * them, rounded up to five. */
static void floor_init(struct floor_case *f)
{
	memset(f, 0, sizeof(*f));
	f->service.floor_percent = 45;
	f->service.worker_count = WORKERS;
	f->service.workers = f->workers;
	f->service.cell_count = 2;
	f->service.cells = f->cells;
	for (uint32_t i = 0; i < WORKERS; i++) {
		struct conf_cell *c = &f->cells[i / 5];

		f->workers[i].id = 100 + i;
		f->workers[i].cell_bit = c->worker_count;
		c->workers[c->worker_count++] = &f->workers[i];
	}
	f->view.reports = f->reports;
}

/** Adds a report on a worker. The reports of a view are sorted by subject, so
 * tests must add them in the order of the workers. */
static void floor_report(struct floor_case *f, uint32_t worker,
			 enum member_report_kind kind, uint8_t severity)
{
	f->reports[f->view.report_count++] =
		(struct member_report){ 100 + worker, (uint8_t)kind, severity };
}

/** Computes the masks; returns the number of workers excluded. */
static uint32_t floor_run(struct floor_case *f)
{
	floor_exclude(&f->service, &f->view, f->masks);
	return (uint32_t)(__builtin_popcount(f->masks[0]) +
			  __builtin_popcount(f->masks[1]));
}

/* Guards against excluding more workers than the floor allows, and against
 * keeping a worker while one with a less severe report is excluded. */
static void test_floor_holds_and_excludes_most_severe(void)
{
	struct floor_case f;

	floor_init(&f);
	for (uint32_t i = 0; i < WORKERS; i++)
		floor_report(&f, i, REPORT_WORKER_UNHEALTHY,
			     (uint8_t)(10 + 10 * i));
	CU_ASSERT_EQUAL(floor_run(&f), 5);
	CU_ASSERT_EQUAL(f.masks[0], 0);
	CU_ASSERT_EQUAL(f.masks[1], 0x1f);
}

/* Guards against an order among equal severities that differs between daemons:
 * with the same reports all daemons must exclude the same workers. */
static void test_floor_breaks_ties_by_worker(void)
{
	struct floor_case f;

	floor_init(&f);
	for (uint32_t i = 0; i < WORKERS; i++)
		floor_report(&f, i, REPORT_WORKER_UNHEALTHY, 50);
	CU_ASSERT_EQUAL(floor_run(&f), 5);
	CU_ASSERT_EQUAL(f.masks[0], 0x1f);
	CU_ASSERT_EQUAL(f.masks[1], 0);
}

/* Guards against counting leaving workers as in service: then unhealthy ones
 * would be excluded until fewer remain than the floor demands. */
static void test_floor_leaving_workers_are_not_in_service(void)
{
	struct floor_case f;

	floor_init(&f);
	f.workers[0].admin = WORKER_DRAINING;
	f.workers[1].admin = WORKER_EJECTED;
	floor_report(&f, 2, REPORT_WORKER_LEAVING, 1);
	for (uint32_t i = 3; i < WORKERS; i++)
		floor_report(&f, i, REPORT_WORKER_UNHEALTHY, 50);
	CU_ASSERT_EQUAL(floor_run(&f), 5);
	CU_ASSERT_EQUAL(f.masks[0], 0x1f);
}

/* Guards against keeping a leaving worker in service because the floor is
 * reached: the floor holds for unhealthy workers only. */
static void test_floor_leaving_is_always_excluded(void)
{
	struct floor_case f;

	floor_init(&f);
	for (uint32_t i = 0; i < WORKERS; i++) {
		if (i < 7)
			floor_report(&f, i, REPORT_WORKER_LEAVING, 1);
		else
			floor_report(&f, i, REPORT_WORKER_UNHEALTHY, 255);
	}
	CU_ASSERT_EQUAL(floor_run(&f), 7);
	CU_ASSERT_EQUAL(f.masks[1] >> 2, 0);
}

/* Guards against taking a report of another kind for one of unhealthiness, and
 * against using the less severe of two reports on a worker. */
static void test_floor_reads_most_severe_report(void)
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

	CU_add_test(s, "most severe",
		    test_floor_holds_and_excludes_most_severe);
	CU_add_test(s, "ties", test_floor_breaks_ties_by_worker);
	CU_add_test(s, "leaving counts",
		    test_floor_leaving_workers_are_not_in_service);
	CU_add_test(s, "leaving excluded",
		    test_floor_leaving_is_always_excluded);
	CU_add_test(s, "most severe report",
		    test_floor_reads_most_severe_report);
}

int main(void)
{
	CU_initialize_registry();
	add_floor_tests();
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
