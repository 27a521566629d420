#include <CUnit/Basic.h>

#include "soak/soak.h"

#define SEEDS 200

static const struct soak_limits limits = { .daemons = 4,
					   .workers = 6,
					   .length_ms = 9000,
					   .tcp_relays = true };

static bool is_same(const struct soak_step *a, const struct soak_step *b)
{
	return a->kind == b->kind && a->target == b->target &&
	       a->begin_ms == b->begin_ms && a->end_ms == b->end_ms &&
	       a->begin_command == b->begin_command &&
	       a->end_command == b->end_command;
}

/* Guards against a failing seed that cannot be reproduced because it gives
 * another plan each time. */
static void test_seed_determines_plan(void)
{
	static struct soak_plan a;
	static struct soak_plan b;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		soak_plan_draw(&a, &limits, seed);
		soak_plan_draw(&b, &limits, seed);
		CU_ASSERT(a.count > 0);
		CU_ASSERT_EQUAL_FATAL(a.count, b.count);
		for (uint32_t i = 0; i < a.count; i++)
			CU_ASSERT(is_same(&a.steps[i], &b.steps[i]));
	}
}

static bool is_worker_fault(const struct soak_step *s)
{
	return s->kind == SOAK_WORKER_FAULT || s->kind == SOAK_WORKER_KILL;
}

/* Number of workers (or daemons) that have a fault at `at_ms`; if one of them
 * has two, 0xff, which is above every limit. */
static uint32_t count_faulty(const struct soak_plan *p, bool workers,
			     uint32_t at_ms)
{
	uint32_t faults[64] = { 0 }; /* by target */
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->count; i++) {
		const struct soak_step *s = &p->steps[i];

		if (s->kind == SOAK_CONF_CHANGE ||
		    is_worker_fault(s) != workers || at_ms < s->begin_ms ||
		    at_ms > s->end_ms)
			continue;
		if (faults[s->target]++)
			return 0xff;
		n++;
	}
	return n;
}

/* Guards against plans under which no guarantee can hold, because all daemons
 * or all workers are faulty at once, and against a stopped daemon that is also
 * paused. */
static void test_one_target_has_no_fault(void)
{
	static struct soak_plan p;
	uint32_t overlapping = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		soak_plan_draw(&p, &limits, seed);
		for (uint32_t ms = 0; ms <= limits.length_ms; ms += 10) {
			uint32_t daemons = count_faulty(&p, false, ms);

			CU_ASSERT(daemons < limits.daemons);
			CU_ASSERT(count_faulty(&p, true, ms) < limits.workers);
			overlapping += daemons > 1;
		}
		for (uint32_t i = 1; i < p.count; i++)
			CU_ASSERT(p.steps[i].begin_ms >=
				  p.steps[i - 1].begin_ms);
	}
	CU_ASSERT(overlapping > 0);
}

/* Guards against kinds of fault that occur with no seed. */
static void test_all_kinds_are_drawn(void)
{
	static struct soak_plan p;
	uint32_t seen[SOAK_KIND_COUNT] = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		soak_plan_draw(&p, &limits, seed);
		for (uint32_t i = 0; i < p.count; i++)
			seen[p.steps[i].kind]++;
	}
	for (uint32_t k = 0; k < SOAK_KIND_COUNT; k++)
		CU_ASSERT(seen[k] > 0);
}

int main(void)
{
	CU_pSuite s;

	CU_initialize_registry();
	s = CU_add_suite("soak plan", NULL, NULL);
	CU_add_test(s, "seed", test_seed_determines_plan);
	CU_add_test(s, "one without a fault", test_one_target_has_no_fault);
	CU_add_test(s, "kinds", test_all_kinds_are_drawn);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
