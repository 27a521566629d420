/*
 * Measurements of the membership protocol in simulated time. Prints lines of
 * name, value and unit; the last part of a name is the number of daemons.
 * usage: member_measure [seed [largest [smallest]]]
 * Fleets of more than `largest` or fewer than `smallest` daemons are left out.
 */
#include <time.h>

#include "member/member_model.h"

#define KILLS 100
#define UPDATES 50
#define BLOCKED_PAIRS_PERCENT 5

static uint64_t seed = 1;

static void print(const char *name, uint32_t n, double value, const char *unit)
{
	printf("member.%s.%u %.3f %s\n", name, n, value, unit);
	fflush(stdout);
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static void print_times(const char *name, uint32_t n, int64_t *list,
			uint32_t count)
{
	char text[64];

	int64_t median_us;

	qsort(list, count, sizeof(*list), by_value);
	median_us = list[count / 2];
	snprintf(text, sizeof(text), "%s.median", name);
	print(text, n, (double)median_us / 1e6, "s");
	snprintf(text, sizeof(text), "%s.worst", name);
	/* A negative time means that the limit was reached first. */
	print(text, n, list[0] < 0 ? -1 : (double)list[count - 1] / 1e6, "s");
}

static struct model *start_fleet(uint32_t n)
{
	uint32_t dcs = n < 100 ? 6 : 10;
	struct model *m = model_new(n, dcs, 3, seed);

	model_start_all(m);
	model_run(m, 5 * US_PER_S);
	return m;
}

/* ---- detection of a kill ---- */

static uint32_t victim;

static bool one_lost_victim(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		if (m->daemons[i].swim && !model_sees(m, i, victim))
			return true;
	return false;
}

static bool all_lost_victim(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		if (m->daemons[i].swim && model_sees(m, i, victim))
			return false;
	return true;
}

static bool all_see_victim(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		if (!model_sees(m, i, victim) || !model_sees(m, victim, i))
			return false;
	return true;
}

/* Checks all pairs, beginning with the one that failed in the last call. */
static bool all_pairs(struct model *m,
		      bool (*ok)(struct model *m, uint32_t i, uint32_t j))
{
	static uint64_t at;
	uint64_t pairs = (uint64_t)m->count * m->count;

	for (uint64_t k = 0; k < pairs; k++, at++) {
		at %= pairs;
		if (!ok(m, (uint32_t)(at / m->count),
			(uint32_t)(at % m->count)))
			return false;
	}
	return true;
}

static bool sees(struct model *m, uint32_t i, uint32_t j)
{
	return model_sees(m, i, j);
}

static bool all_see_all(struct model *m)
{
	return all_pairs(m, sees);
}

/* A cell is without a home until the killed home is in no view any more. As the
 * home is a function of the view, all daemons then choose the same one. */
static void measure_kills(uint32_t n, uint32_t kills, uint32_t loss)
{
	struct model *m = start_fleet(n);
	int64_t first_us[KILLS];
	int64_t all_us[KILLS];
	int64_t join_us[KILLS];

	m->loss_percent = loss;
	for (uint32_t k = 0; k < kills; k++) {
		victim = model_random_below(m, n);
		model_run(m, model_random_below(m, US_PER_S));
		model_kill(m, victim);
		first_us[k] =
			model_run_until(m, 60 * US_PER_S, one_lost_victim);
		all_us[k] = model_run_until(m, 60 * US_PER_S, all_lost_victim);
		if (all_us[k] >= 0)
			all_us[k] += first_us[k];
		model_start(m, victim);
		join_us[k] = model_run_until(m, 60 * US_PER_S, all_see_victim);
		model_run(m, 2 * US_PER_S);
	}
	print_times(loss ? "loss20.detect_first" : "detect_first", n, first_us,
		    kills);
	print_times(loss ? "loss20.cell_without_home" : "cell_without_home", n,
		    all_us, kills);
	print_times(loss ? "loss20.restart_seen_by_all" : "restart_seen_by_all",
		    n, join_us, kills);
	model_free(m);
}

static bool all_lost_killed(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		for (uint32_t j = 0; j < m->count; j++)
			if (m->daemons[i].swim && !m->daemons[j].swim &&
			    model_sees(m, i, j))
				return false;
	return true;
}

/* Kills a rack (a quarter of a data centre) at once, then, in another run, a
 * whole data centre. */
static void measure_groups(uint32_t n)
{
	static const struct {
		const char *name;
		uint32_t every;
	} groups[] = { { "rack_lost", 4 }, { "dc_lost", 1 } };

	for (uint32_t g = 0; g < 2; g++) {
		struct model *m = start_fleet(n);
		int64_t t;

		for (uint32_t i = 1; i < n; i += m->dcs * groups[g].every)
			model_kill(m, i);
		t = model_run_until(m, 120 * US_PER_S, all_lost_killed);
		print(groups[g].name, n, (double)t / 1e6, "s");
		model_free(m);
	}
}

/* Simulates only one data centre of the planned size: KILLS kills in the whole
 * fleet of 3,700 daemons would take too long. */
static void measure_large_dc(void)
{
	struct model *m = model_new(370, 1, 1, seed);
	int64_t list[KILLS];

	model_start_all(m);
	model_run(m, 5 * US_PER_S);
	for (uint32_t k = 0; k < KILLS; k++) {
		victim = model_random_below(m, m->count);
		model_run(m, model_random_below(m, US_PER_S));
		model_kill(m, victim);
		list[k] = model_run_until(m, 60 * US_PER_S, all_lost_victim);
		model_start(m, victim);
		model_run_until(m, 60 * US_PER_S, all_see_victim);
	}
	print_times("cell_without_home_in_one_dc", 370, list, KILLS);
	model_free(m);
}

/* All daemons start at once and have three seeds. */
static void measure_cold_start(uint32_t n)
{
	struct model *m = model_new(n, n < 100 ? 6 : 10, 3, seed);
	uint64_t bytes = 0;
	int64_t t;

	for (uint32_t i = 0; i < n; i++)
		model_start(m, i);
	t = model_run_until(m, 300 * US_PER_S, all_see_all);
	print("cold_start", n, (double)t / 1e6, "s");
	for (uint32_t i = 0; i < n; i++)
		bytes += m->daemons[i].sent_bytes;
	print("cold_start_bytes_per_daemon", n, (double)bytes / n, "B");
	model_free(m);
}

/* ---- live members declared dead ---- */

static uint64_t false_deaths;

static bool one_way_blocked(struct model *m, uint32_t from, uint32_t to)
{
	uint32_t minute = (uint32_t)(m->now_us / (60 * US_PER_S));
	uint32_t a = 1 + minute % m->dcs;
	uint32_t b = 1 + minute / m->dcs % (m->dcs - 1);

	/* Each minute another data centre cannot send to another one. */
	if (b >= a)
		b++;
	return m->daemons[from].dc == a && m->daemons[to].dc == b;
}

static void collect_false_deaths(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++) {
		false_deaths += m->daemons[i].swim->stats.declared_dead;
		m->daemons[i].swim->stats.declared_dead = 0;
	}
}

static void block_random_pairs(struct model *m)
{
	for (uint32_t i = 0; i < m->count * m->count; i++)
		m->pair_blocked[i] =
			model_random_below(m, 100) < BLOCKED_PAIRS_PERCENT;
}

static void print_hour(struct model *m, const char *name, uint32_t n)
{
	uint64_t suspicions = 0;
	char text[64];

	for (uint32_t i = 0; i < n; i++)
		suspicions += m->daemons[i].swim->stats.suspicions;
	snprintf(text, sizeof(text), "%s.false_deaths", name);
	print(text, n, (double)false_deaths, "count/h");
	snprintf(text, sizeof(text), "%s.accusations", name);
	print(text, n, (double)suspicions, "count/h");
	model_free(m);
}

static void measure_loss_hour(uint32_t n)
{
	struct model *m = start_fleet(n);

	false_deaths = 0;
	m->loss_percent = 20;
	model_run(m, 3600 * US_PER_S);
	collect_false_deaths(m);
	print_hour(m, "loss20", n);
}

static void measure_cuts_hour(uint32_t n)
{
	struct model *m = start_fleet(n);

	false_deaths = 0;
	m->pair_blocked = model_alloc((size_t)n * n);
	m->is_blocked = one_way_blocked;
	for (uint32_t i = 0; i < 60; i++) {
		block_random_pairs(m);
		model_run(m, 60 * US_PER_S);
	}
	collect_false_deaths(m);
	print_hour(m, "oneway", n);
}

/* ---- traffic ---- */

static void measure_bytes(uint32_t n, int64_t for_us)
{
	struct model *m = start_fleet(n);
	uint64_t bytes = 0;
	uint64_t region_bytes = 0;
	uint64_t datagrams = 0;
	uint32_t longest = 0;
	uint64_t memory;
	double s = (double)for_us / 1e6;

	for (uint32_t i = 0; i < n; i++) {
		m->daemons[i].sent_bytes = 0;
		m->daemons[i].sent_region_bytes = 0;
		m->daemons[i].sent_datagrams = 0;
	}
	model_run(m, for_us);
	for (uint32_t i = 0; i < n; i++) {
		bytes += m->daemons[i].sent_bytes;
		region_bytes += m->daemons[i].sent_region_bytes;
		datagrams += m->daemons[i].sent_datagrams;
		if (m->daemons[i].longest_bytes > longest)
			longest = m->daemons[i].longest_bytes;
	}
	print("bytes_per_daemon", n, (double)bytes / n / s, "B/s");
	print("region_bytes_per_daemon", n, (double)region_bytes / n / s,
	      "B/s");
	print("datagrams_per_daemon", n, (double)datagrams / n / s, "1/s");
	print("longest_datagram", n, longest, "B");
	memory = swim_memory_bytes(m->daemons[0].swim);
	/* Two views exist at the same time while one replaces the other. */
	memory += 2 * (uint64_t)n * (sizeof(struct member) + 8);
	print("memory_per_member", n, (double)memory / n, "B");
	model_free(m);
}

/* ---- propagation of an update ---- */

static bool all_have_report(struct model *m)
{
	uint32_t version = m->daemons[victim].swim->self->report_version;

	for (uint32_t i = 0; i < m->count; i++) {
		const struct swim_node *n = model_node(m, i, victim);

		if (!n || n->report_version != version)
			return false;
	}
	return true;
}

static void measure_spread(uint32_t n, uint32_t updates)
{
	struct model *m = start_fleet(n);
	int64_t list[UPDATES];

	for (uint32_t k = 0; k < updates; k++) {
		struct member_report r = { 100 + k, REPORT_WORKER_UNHEALTHY,
					   9 };

		victim = model_random_below(m, n);
		m->daemons[victim].swim->now_us = m->now_us;
		swim_set_reports(m->daemons[victim].swim, &r, 1);
		list[k] = model_run_until(m, 60 * US_PER_S, all_have_report);
		model_run(m, US_PER_S + model_random_below(m, US_PER_S));
	}
	print_times("update_seen_by_all", n, list, updates);
	model_free(m);
}

/* ---- network partition ---- */

static bool region_blocked(struct model *m, uint32_t from, uint32_t to)
{
	return (m->daemons[from].region == 1) != (m->daemons[to].region == 1);
}

static bool is_split(struct model *m, uint32_t i, uint32_t j)
{
	return !region_blocked(m, i, j) || !model_sees(m, i, j);
}

static bool all_see_split(struct model *m)
{
	return all_pairs(m, is_split);
}

static void measure_partition(uint32_t n)
{
	struct model *m = start_fleet(n);
	int64_t start_us = m->now_us;
	uint64_t bytes = 0;
	int64_t t;

	m->is_blocked = region_blocked;
	for (uint32_t i = 0; i < n; i++)
		m->daemons[i].sent_bytes = 0;
	t = model_run_until(m, 300 * US_PER_S, all_see_split);
	print("region_cut_seen_by_all", n, (double)t / 1e6, "s");
	model_run(m, (n > 1000 ? 10 : 120) * US_PER_S);
	for (uint32_t i = 0; i < n; i++)
		bytes += m->daemons[i].sent_bytes;
	print("region_cut_bytes_per_daemon", n,
	      (double)bytes / n / ((double)(m->now_us - start_us) / 1e6),
	      "B/s");
	m->is_blocked = NULL;
	t = model_run_until(m, 300 * US_PER_S, all_see_all);
	print("two_homes_after_heal", n, (double)t / 1e6, "s");
	model_free(m);
}

/* ---- restarts of an ordinary day ---- */

static uint32_t next_restart;

/* Restarts daemons at the planned rate of 4,100 a day for 3,700 daemons. */
static void measure_ordinary_day(uint32_t n, uint32_t restarts)
{
	struct model *m = start_fleet(n);
	int64_t gap_us = 3700 * 86400 * US_PER_S / 4100 / n;
	double s = (double)gap_us * restarts / 1e6;
	uint64_t bytes = 0;
	uint64_t region_bytes = 0;

	next_restart = 0;
	for (uint32_t i = 0; i < n; i++) {
		m->daemons[i].sent_bytes = 0;
		m->daemons[i].sent_region_bytes = 0;
	}
	for (uint32_t k = 0; k < restarts; k++) {
		uint32_t i = next_restart++ * 7 % n;
		struct swim *left = m->daemons[i].swim;

		swim_set_successor(left, model_random(m));
		swim_leave(left, m->now_us, m->outbox);
		model_flush(m, i);
		model_kill(m, i);
		model_start(m, i);
		model_run(m, gap_us);
	}
	for (uint32_t i = 0; i < n; i++) {
		bytes += m->daemons[i].sent_bytes;
		region_bytes += m->daemons[i].sent_region_bytes;
	}
	print("ordinary_bytes_per_daemon", n, (double)bytes / n / s, "B/s");
	print("ordinary_region_bytes_per_daemon", n,
	      (double)region_bytes / n / s, "B/s");
	model_free(m);
}

/* ---- processor time ---- */

static void measure_processor(uint32_t n)
{
	struct model *m = start_fleet(n);
	uint64_t before = 0;
	uint64_t after = 0;
	clock_t start;
	double us;

	for (uint32_t i = 0; i < n; i++)
		before += m->daemons[i].sent_datagrams;
	start = clock();
	model_run(m, 10 * US_PER_S);
	us = (double)(clock() - start) * 1e6 / CLOCKS_PER_SEC;
	for (uint32_t i = 0; i < n; i++)
		after += m->daemons[i].sent_datagrams;
	/* Includes encoding, decoding, the protocol, its ticks and the
	 * simulation itself. */
	if (after > before)
		print("processor_per_datagram", n,
		      us / (double)(after - before), "us");
	print("processor_per_daemon", n, us / n / 10e6 * 100, "%");
	model_free(m);
}

static void measure_size(uint32_t n)
{
	bool big = n > 1000;

	measure_bytes(n, (big ? 15 : 120) * US_PER_S);
	measure_spread(n, big ? 3 : UPDATES);
	measure_kills(n, big ? 3 : n > 100 ? 20 : KILLS, 0);
}

static void measure_faults(uint32_t n, uint32_t restarts)
{
	/* In a cold start each daemon receives all records; with 1,000 daemons
	 * this takes 19 s of simulated time and 200 s to compute. */
	if (n < 1000)
		measure_cold_start(n);
	measure_groups(n);
	measure_partition(n);
	measure_ordinary_day(n, restarts);
	measure_processor(n);
}

int main(int argc, char **argv)
{
	static const uint32_t sizes[] = { 10, 20, 40, 80, 320, 3700 };
	uint32_t largest = 320;
	uint32_t smallest = 0;

	if (argc > 1)
		seed = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		largest = (uint32_t)strtoul(argv[2], NULL, 10);
	if (argc > 3)
		smallest = (uint32_t)strtoul(argv[3], NULL, 10);
	printf("member.seed %llu -\n", (unsigned long long)seed);
	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		if (sizes[i] >= smallest && sizes[i] <= largest)
			measure_size(sizes[i]);
	if (smallest <= 40) {
		measure_kills(40, KILLS, 20);
		measure_loss_hour(40);
		measure_cuts_hour(40);
		measure_faults(42, 4);
	}
	if (smallest <= 320 && largest >= 320) {
		measure_large_dc();
		measure_faults(320, 8);
	}
	if (largest >= 3700)
		measure_faults(3700, 2);
	return 0;
}
