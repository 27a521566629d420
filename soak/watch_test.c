#include <CUnit/Basic.h>

#include "soak/watch.h"

#define SEEDS 200

static const struct watch_limits limits = { .daemons = 4, .length_ms = 26000 };

/* Guards against a plan that leaves daemons down, or a service without workers,
 * so that the run fails by itself; and against steps after the end. */
static void test_plan_keeps_its_limits(void)
{
	static struct watch_plan p;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int32_t service[WATCH_WORKERS];
		uint32_t down = 0;

		watch_plan_draw(&p, &limits, seed);
		CU_ASSERT(p.count < WATCH_STEPS_MAX);
		for (uint32_t w = 0; w < WATCH_WORKERS; w++)
			service[w] = (int32_t)(w % WATCH_SERVICES);
		for (uint32_t i = 0; i < p.count; i++) {
			const struct watch_step *s = &p.steps[i];
			uint32_t workers[WATCH_SERVICES] = { 0 };

			CU_ASSERT(s->at_ms <= limits.length_ms);
			CU_ASSERT(!i || s->at_ms >= p.steps[i - 1].at_ms);
			if (s->kind == WATCH_KILL)
				down |= s->targets;
			else if (s->kind == WATCH_START)
				down &= ~s->targets;
			else if (s->kind != WATCH_FORGET)
				service[s->worker] =
					s->kind == WATCH_ADD ?
						(int32_t)s->service :
						-1;
			for (uint32_t w = 0; w < WATCH_WORKERS; w++)
				if (service[w] >= 0)
					workers[service[w]]++;
			for (uint32_t k = 0; k < WATCH_SERVICES; k++)
				CU_ASSERT(workers[k] >= 1);
		}
		CU_ASSERT_EQUAL(down, 0);
	}
}

/* Guards against a soak that hardly ever draws what it is for: a worker that
 * leaves while both watchers are down (review/10). */
static void test_plans_remove_workers_while_the_watchers_are_down(void)
{
	static struct watch_plan p;
	uint32_t seeds = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		uint32_t down = 0;
		bool drawn = false;

		watch_plan_draw(&p, &limits, seed);
		for (uint32_t i = 0; i < p.count; i++) {
			const struct watch_step *s = &p.steps[i];

			if (s->kind == WATCH_KILL)
				down |= s->targets;
			else if (s->kind == WATCH_START)
				down &= ~s->targets;
			drawn |= s->kind == WATCH_REMOVE &&
				 (down & WATCH_WATCHERS) == WATCH_WATCHERS;
		}
		seeds += drawn;
	}
	CU_ASSERT(seeds >= SEEDS / 4);
	printf("seeds that draw it: %u of %u ", seeds, SEEDS);
}

int main(void)
{
	CU_pSuite s;

	CU_initialize_registry();
	s = CU_add_suite("watch", NULL, NULL);
	CU_add_test(s, "limits", test_plan_keeps_its_limits);
	CU_add_test(s, "watchers down",
		    test_plans_remove_workers_while_the_watchers_are_down);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
