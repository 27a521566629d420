/*
 * Runs the simulated load patterns (replay.h) under each policy for the choice
 * of a worker. Percentages are of the requests that arrived; "far" requests
 * went to another data centre, "wait" is the mean wait of the requests sent,
 * "starved" the worst share of sound workers without requests (replay.h).
 *
 * usage: home_measure
 */
#include <stdio.h>
#include <stdlib.h>

#include "home/replay.h"

/* Runs of each pattern, with different random numbers. */
#define SEEDS 5

int main(void)
{
	static const struct replay_policy *const policies[] = {
		&replay_random, &replay_fewest_in_flight, &replay_always_wait,
		&replay_daemon
	};

	for (uint32_t i = 0; i < replay_pattern_count; i++) {
		const struct replay_pattern *p = &replay_patterns[i];

		printf("# %s\n", p->name);
		for (uint32_t k = 0; k < 4; k++) {
			struct replay_result sum = { 0 };
			double n;

			for (uint64_t seed = 1; seed <= SEEDS; seed++) {
				struct replay_result r =
					replay_run(p, policies[k], seed);

				sum.requests += r.requests;
				sum.served += r.served;
				sum.in_time += r.in_time;
				sum.failed += r.failed;
				sum.refused += r.refused;
				sum.other_dc += r.other_dc;
				sum.wait_ms += r.wait_ms / SEEDS;
				if (r.starved_share > sum.starved_share)
					sum.starved_share = r.starved_share;
			}
			n = sum.requests / 100.0;
			printf("replay.%s: served %.2f in_time %.2f failed %.2f "
			       "refused %.2f far %.2f starved %.0f percent "
			       "wait %.1f ms\n",
			       policies[k]->name, sum.served / n,
			       sum.in_time / n, sum.failed / n, sum.refused / n,
			       sum.other_dc / n, 100 * sum.starved_share,
			       sum.wait_ms);
		}
	}
	return 0;
}
