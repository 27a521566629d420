/**
 * @file
 * Program: the soak test. Runs seeds one after the other and prints a row for
 * each; exit status 1 if a guarantee was broken.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak/watch.h"

#define DAEMONS_DEFAULT 4
#define LENGTH_DEFAULT_S 8
#define WATCH_LENGTH_DEFAULT_S 26

struct options {
	struct soak_options run;
	bool watch;
	uint64_t seed;
	uint32_t count;
};

static const struct argp_option options[] = {
	{ "bin", 'b', "DIR", 0, "build folder of the programs (build)", 0 },
	{ "daemon", 'd', "FILE", 0, "program of the daemons (DIR/bin/azhd)",
	  0 },
	{ "seed", 's', "N", 0, "first seed; 0: a random one (1)", 0 },
	{ "count", 'n', "N", 0, "number of seeds (1)", 0 },
	{ "length", 'l', "S", 0,
	  "length of the plan of faults in seconds (8; 26 with --watch)", 0 },
	{ "daemons", 'm', "N", 0, "daemons of the fleet, 3 to 8 (4)", 0 },
	{ "keep", 'k', NULL, 0, "keep the logs of seeds that pass", 0 },
	{ "watch", 'w', NULL, 0,
	  "kill daemons around changes of workers at a stand-in of the users' "
	  "platform",
	  0 },
	{ "other-daemon", 'o', "FILE", 0,
	  "with --watch, program of every second daemon", 0 },
	{ 0 },
};

static uint32_t parse_number(struct argp_state *state, const char *arg,
			     uint32_t min, uint32_t max)
{
	char *end;
	unsigned long v = strtoul(arg, &end, 10);

	if (end == arg || *end || v < min || v > max)
		argp_error(state, "'%s' is not a number from %u to %u", arg,
			   min, max);
	return (uint32_t)v;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'b':
		o->run.bin = arg;
		return 0;
	case 'd':
		o->run.daemon = arg;
		return 0;
	case 's':
		o->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'n':
		o->count = parse_number(state, arg, 1, 10000);
		return 0;
	case 'l':
		o->run.length_ms = 1000 * parse_number(state, arg, 3, 3600);
		return 0;
	case 'm':
		o->run.daemons = parse_number(state, arg, 3, DAEMONS_MAX);
		return 0;
	case 'k':
		o->run.keep = true;
		return 0;
	case 'w':
		o->watch = true;
		return 0;
	case 'o':
		o->run.other_daemon = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options, parse_option,
	NULL,	 "Runs a fleet under random faults that a seed determines.",
	NULL,	 NULL,
	NULL
};

int main(int argc, char **argv)
{
	struct options o = {
		.run = { .bin = "build",
			 .daemons = DAEMONS_DEFAULT,
			 .length_ms = 0 },
		.seed = 1,
		.count = 1,
	};
	uint32_t failed = 0;
	uint16_t port;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (!o.run.length_ms)
		o.run.length_ms = 1000 * (o.watch ? WATCH_LENGTH_DEFAULT_S :
						    LENGTH_DEFAULT_S);
	port = fleet_claim_ports();
	if (!port) {
		fprintf(stderr, "no free range of ports\n");
		return 2;
	}
	if (!o.seed)
		o.seed = random_u64() >> 1;
	if (o.watch)
		printf("%20s %5s %8s %6s %7s %5s %5s %5s\n", "seed", "steps",
		       "requests", "failed", "last_ms", "late", "other", "s");
	else
		printf("%20s %5s %8s %6s %7s %7s %5s %5s %7s %13s %4s %5s %5s\n",
		       "seed", "steps", "requests", "ran", "not-run", "unknown",
		       "twice", "lost", "crossed", "wrong-not-run", "cut",
		       "other", "s");
	for (uint32_t i = 0; i < o.count; i++)
		failed += o.watch ? !watch_run(&o.run, o.seed + i, port) :
				    !soak_run(&o.run, o.seed + i, port);
	printf("%u passed, %u failed\n", o.count - failed, failed);
	return failed != 0;
}
