#include <string.h>
#include <CUnit/Basic.h>

#include "route/route.h"

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
		f->workers[i].bit = c->worker_count;
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

/* ---- decisions about an answer ---- */

static struct route_input input(enum error_kind k, bool idempotent)
{
	return (struct route_input){
		.kind = k,
		.outcome = error_info(k)->outcome,
		.idempotent = idempotent,
		.in_time = true,
		.may_resolve = true,
		.attempts = 1,
		.budget = true,
	};
}

/* Guards against a second run of work that may have run already. */
static void test_single_work_is_never_retried_in_doubt(void)
{
	for (uint32_t k = ERR_NONE + 1; k < ERR_KIND_COUNT; k++) {
		struct route_input in = input((enum error_kind)k, false);

		if (in.outcome != OUTCOME_UNKNOWN)
			continue;
		CU_ASSERT_EQUAL(route_decide(&in), k == ERR_PEER_LOST ?
							   ROUTE_QUERY :
							   ROUTE_FINISH);
		in.may_resolve = false;
		CU_ASSERT_EQUAL(route_decide(&in), ROUTE_FINISH);
	}
}

/* Guards against a refusal for load or place that reaches the caller though
 * another cell could serve it. */
static void test_proved_not_run_is_retried(void)
{
	static const enum error_kind kinds[] = {
		ERR_OVERLOADED, ERR_NO_WORKER,	      ERR_WRONG_HOME,
		ERR_SEALED,	ERR_CONNECT_FAILED,   ERR_WORKER_SHED,
		ERR_STOPPING,	ERR_PEER_UNREACHABLE,
	};

	for (uint32_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		struct route_input in = input(kinds[i], false);

		CU_ASSERT_EQUAL(route_decide(&in), ROUTE_RETRY);
		in.in_time = false;
		CU_ASSERT_EQUAL(route_decide(&in), ROUTE_FINISH);
	}
}

/* Guards against a retry storm: without budget only an old view is retried,
 * and that not for ever. */
static void test_retries_are_bounded(void)
{
	struct route_input in = input(ERR_ANSWER_LOST, true);

	CU_ASSERT_EQUAL(route_decide(&in), ROUTE_RETRY);
	in.budget = false;
	CU_ASSERT_EQUAL(route_decide(&in), ROUTE_FINISH);
	in = input(ERR_WRONG_HOME, true);
	in.budget = false;
	CU_ASSERT_EQUAL(route_decide(&in), ROUTE_RETRY);
	in.attempts = ATTEMPTS_MAX;
	CU_ASSERT_EQUAL(route_decide(&in), ROUTE_FINISH);
}

/* Guards against a hedge whose failure hides the other's answer. */
static void test_failed_hedge_waits_for_the_other(void)
{
	struct route_input in = input(ERR_ANSWER_LOST, true);

	in.others_out = true;
	CU_ASSERT_EQUAL(route_decide(&in), ROUTE_WAIT);
	in = input(ERR_NONE, true);
	in.others_out = true;
	CU_ASSERT_EQUAL(route_decide(&in), ROUTE_FINISH);
}

/* Guards against more retries than the budget's share of requests. */
static void test_budget_is_a_share_of_requests(void)
{
	struct retry_budget b = { 0 };
	uint32_t retries = 0;

	for (uint32_t i = 0; i < 1000; i++) {
		retry_budget_request(&b, 10);
		if (retry_budget_has(&b)) {
			retry_budget_take(&b);
			retries++;
		}
	}
	CU_ASSERT_EQUAL(retries, 100);
}

/* ---- choice of a cell ---- */

static struct pick pick_from(struct floor_case *f, const uint64_t *tried,
			     uint32_t tried_count)
{
	static struct member home = { .id = 1, .incarnation = 1 };
	struct pick_input in = {
		.service = &f->service,
		.view = &f->view,
		.dc = 1,
		.region = 1,
		.masks = f->masks,
		.tried = tried,
		.tried_count = tried_count,
		.random = 7,
	};

	f->view.members = &home;
	f->view.member_count = 1;
	return pick_cell(&in);
}

static void two_cells(struct floor_case *f)
{
	floor_init(f);
	for (uint32_t i = 0; i < 2; i++) {
		f->cells[i].id = 70 + i;
		f->cells[i].dc = f->cells[i].region = 1 + i;
	}
}

/* Guards against work that crosses regions for no reason, or stays near when
 * nothing there can serve it. */
static void test_pick_prefers_near_cells_that_can_serve(void)
{
	struct floor_case f;
	uint64_t tried[] = { 70, 71 };

	two_cells(&f);
	CU_ASSERT_PTR_EQUAL(pick_from(&f, NULL, 0).cell, &f.cells[0]);
	CU_ASSERT_PTR_EQUAL(pick_from(&f, tried, 1).cell, &f.cells[1]);
	CU_ASSERT_PTR_NULL(pick_from(&f, tried, 2).cell);
	f.masks[0] = 0x1f;
	CU_ASSERT_PTR_EQUAL(pick_from(&f, NULL, 0).cell, &f.cells[1]);
}

/* Guards against a busy cell that gets more while another is idle. */
static void test_pick_avoids_busy_cells(void)
{
	struct floor_case f;

	two_cells(&f);
	f.reports[0] = (struct report){ 70, REPORT_CELL_BUSY, 1 };
	f.view.report_count = 1;
	CU_ASSERT_PTR_EQUAL(pick_from(&f, NULL, 0).cell, &f.cells[1]);
}

int main(void)
{
	CU_pSuite s;

	CU_initialize_registry();
	add_floor_tests();
	s = CU_add_suite("route", NULL, NULL);
	CU_add_test(s, "doubt", test_single_work_is_never_retried_in_doubt);
	CU_add_test(s, "not run", test_proved_not_run_is_retried);
	CU_add_test(s, "bounded", test_retries_are_bounded);
	CU_add_test(s, "hedge", test_failed_hedge_waits_for_the_other);
	CU_add_test(s, "budget", test_budget_is_a_share_of_requests);
	CU_add_test(s, "near", test_pick_prefers_near_cells_that_can_serve);
	CU_add_test(s, "busy", test_pick_avoids_busy_cells);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
