/**
 * @file
 * Program: runs the failure cases and prints a row for each. Exit status 1 if a
 * count that has to be 0 is not (result_is_good()), 2 if no ports are free.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault/fault.h"

#define CASES_MAX 32

struct options {
	const char *bin;
	const char *daemon;
	uint64_t seed;
	uint32_t cases[CASES_MAX];
	uint32_t case_count;
	bool keep;
	bool verbose;
};

static const struct argp_option options[] = {
	{ "bin", 'b', "DIR", 0, "build folder of the programs (build)", 0 },
	{ "daemon", 'd', "FILE", 0, "program of the daemons (DIR/bin/azhd)",
	  0 },
	{ "seed", 's', "N", 0, "seed of the callers (1)", 0 },
	{ "verbose", 'v', NULL, 0,
	  "also print operations whose outcome is unknown", 0 },
	{ "keep", 'k', NULL, 0, "keep the logs of cases that pass", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'b':
		o->bin = arg;
		return 0;
	case 'd':
		o->daemon = arg;
		return 0;
	case 's':
		o->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'v':
		o->verbose = true;
		return 0;
	case 'k':
		o->keep = true;
		return 0;
	case ARGP_KEY_ARG:
		if (o->case_count == CASES_MAX)
			argp_usage(state);
		o->cases[o->case_count++] = (uint32_t)atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { options,     parse_option,
				  "[CASE...]", "Process-level failure tests.",
				  NULL,	       NULL,
				  NULL };

static bool run_case(const struct fault_case *c, const struct options *o,
		     uint16_t port)
{
	static struct fleet fleet;
	static struct load load;
	struct result r = { 0 };
	int64_t start_us = clock_now_us();

	fleet_init(&fleet, o->bin, o->daemon,
		   (uint16_t)(port + (c->number - 1) * FLEET_PORTS));
	load_init(&load, &fleet, o->seed + c->number);
	c->run(&fleet, &load, &r);
	fleet_stop(&fleet);
	load_check(&load, &r);
	fleet_abort(&fleet);
	printf("%-34s %8u %6u %7u %7u %5u %5u %7u %13u %4u %5u %5.1f\n",
	       c->name, r.requests, r.ran, r.not_run, r.unknown, r.twice,
	       r.lost, r.crossed, r.wrong_not_run, r.cut, r.other,
	       (double)(clock_now_us() - start_us) / US_PER_S);
	fflush(stdout);
	if (!result_is_good(&r) || o->verbose)
		load_print_operations(&load, o->verbose);
	if (!result_is_good(&r) || o->keep)
		fprintf(stderr, "# logs in %s\n", fleet.dir);
	else
		fleet_remove(&fleet);
	load_free(&load);
	return result_is_good(&r);
}

static bool is_selected(const struct options *o, uint32_t number)
{
	for (uint32_t i = 0; i < o->case_count; i++)
		if (o->cases[i] == number)
			return true;
	return !o->case_count;
}

int main(int argc, char **argv)
{
	struct options o = { .bin = "build", .seed = 1 };
	uint16_t port;
	bool all_good = true;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	port = fleet_claim_ports();
	if (!port) {
		fprintf(stderr, "no free range of ports\n");
		return 2;
	}
	printf("%-34s %8s %6s %7s %7s %5s %5s %7s %13s %4s %5s %5s\n", "case",
	       "requests", "ran", "not-run", "unknown", "twice", "lost",
	       "crossed", "wrong-not-run", "cut", "other", "s");
	for (uint32_t i = 0; i < fault_case_count; i++)
		if (is_selected(&o, fault_cases[i].number))
			all_good =
				run_case(&fault_cases[i], &o, port) && all_good;
	return all_good ? 0 : 1;
}
