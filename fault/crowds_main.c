/**
 * @file
 * Program: crowds of clients that misbehave, each case against a fleet of its
 * own. A case holds if the daemon lives, its memory and its descriptors stay
 * under their bounds, and an ordinary request is answered while the crowd is
 * connected and after it has gone. Exit status 1 if a case does not hold, 2 if
 * no ports are free or a name is unknown.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault/crowd.h"

#define CASES_MAX 32

struct options {
	const char *bin;
	const char *daemon;
	bool selected[CASES_MAX];
	bool any_selected;
	bool keep;
};

static const struct argp_option options[] = {
	{ "bin", 'b', "DIR", 0, "build folder of the programs (build)", 0 },
	{ "daemon", 'd', "FILE", 0, "program of the daemon (DIR/bin/azhd)", 0 },
	{ "keep", 'k', NULL, 0, "keep the logs of cases that hold", 0 },
	{ "list", 'l', NULL, 0, "print the names of the cases", 0 },
	{ 0 },
};

static void select_case(struct options *o, const char *name,
			struct argp_state *state)
{
	for (uint32_t i = 0; i < crowd_case_count; i++)
		if (!strcmp(crowd_cases[i].name, name)) {
			o->selected[i] = o->any_selected = true;
			return;
		}
	argp_failure(state, 2, 0, "no case has the name '%s'", name);
}

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
	case 'k':
		o->keep = true;
		return 0;
	case 'l':
		for (uint32_t i = 0; i < crowd_case_count; i++)
			puts(crowd_cases[i].name);
		exit(0);
	case ARGP_KEY_ARG:
		select_case(o, arg, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options, parse_option, "[CASE...]", "Crowds of clients that misbehave.",
	NULL,	 NULL,	       NULL
};

static bool run_case(const struct crowd_case *c, const struct options *o,
		     uint16_t port)
{
	static struct fleet fleet;
	static struct run r;
	uint32_t descriptors_bound =
		c->descriptors_max ? c->descriptors_max : DESCRIPTORS_BOUND;
	char settings[256];
	struct fleet_options fo = {
		.daemons = 1,
		.service_ms = 20,
		.daemon_lines = settings,
		.conf_text = crowd_conf,
		.answer_bytes = c->answer_bytes,
		.descriptors_max = c->descriptors_max,
	};

	memset(&r, 0, sizeof(r));
	r.fleet = &fleet;
	r.good = true;
	fleet_init(&fleet, o->bin, o->daemon, port);
	snprintf(settings, sizeof(settings),
		 "memory_mb = %u\nready = 127.0.0.1:%u\n"
		 "admin = 127.0.0.1:%u\nadmin_token = token\n",
		 c->memory_mb, (unsigned int)port + PORT_READY,
		 (unsigned int)port + PORT_ADMIN);
	fleet_start(&fleet, &fo);
	c->run(&r);
	expect_ordinary(&r, "beside the crowd");
	take_peaks(&r);
	crowds_close(&r);
	expect_ordinary(&r, "after the crowd");
	take_peaks(&r);
	expect(&r, daemon_lives(&r), "the daemon has ended");
	expect(&r, r.peaks.memory_bytes < (uint64_t)c->memory_mb << 20,
	       "the memory exceeds its bound");
	expect(&r, r.peaks.descriptors < descriptors_bound,
	       "the descriptors exceed their bound");
	fleet_abort(&fleet);
	for (uint32_t i = 0; i < r.crowd_count; i++)
		buf_free(&r.crowds[i].plan.unit);
	printf("%-20s memory_mb=%llu bound_mb=%u descriptors=%u bound=%u %s\n",
	       c->name, (unsigned long long)(r.peaks.memory_bytes >> 20),
	       c->memory_mb, r.peaks.descriptors, descriptors_bound,
	       r.good && !fleet.failures ? "held" : "FAILED");
	fflush(stdout);
	if (!r.good || fleet.failures || o->keep)
		fprintf(stderr, "# logs in %s\n", fleet.dir);
	else
		fleet_remove(&fleet);
	return r.good && !fleet.failures;
}

int main(int argc, char **argv)
{
	struct options o = { .bin = "build" };
	bool all_good = true;
	uint16_t port;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	port = fleet_claim_ports();
	if (!port) {
		fprintf(stderr, "no free range of ports\n");
		return 2;
	}
	for (uint32_t i = 0; i < crowd_case_count; i++)
		if (o.selected[i] || !o.any_selected)
			all_good =
				run_case(&crowd_cases[i], &o, port) && all_good;
	return all_good ? 0 : 1;
}
