/**
 * @file
 * Program: runs the failure cases and prints a row for each. Exit status 1 if
 * a required zero is not zero.
 */
#include <argp.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include "fault/fault.h"

#define PORT_FIRST 21000
#define PORT_LAST 25000
#define PORT_RANGE 1000
#define PORT_GUARD 990
#define PORTS_PER_CASE 64
#define CHOSEN_MAX 32

struct options {
	const char *bin;
	const char *daemon;
	uint64_t seed;
	uint32_t chosen[CHOSEN_MAX];
	uint32_t chosen_count;
	bool keep;
	bool verbose;
};

static const struct argp_option options[] = {
	{ "bin", 'b', "DIR", 0, "build folder of the programs (build)", 0 },
	{ "daemon", 'd', "FILE", 0, "program of the daemons (DIR/bin/azhd)",
	  0 },
	{ "seed", 's', "N", 0, "seed of the callers (1)", 0 },
	{ "verbose", 'v', NULL, 0, "also print pieces that ended as unknown",
	  0 },
	{ "keep", 'k', NULL, 0, "keep the logs of cases that pass", 0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state)
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
		if (o->chosen_count == CHOSEN_MAX)
			argp_usage(state);
		o->chosen[o->chosen_count++] = (uint32_t)atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { options,     parse,
				  "[CASE...]", "Process-level failure tests.",
				  NULL,	       NULL,
				  NULL };

/* A range of ports that no other run on this machine uses; 0 if none. */
static uint16_t claim_ports(void)
{
	for (uint32_t port = PORT_FIRST; port <= PORT_LAST;
	     port += PORT_RANGE) {
		struct sockaddr_in sa = {
			.sin_family = AF_INET,
			.sin_port = htons((uint16_t)(port + PORT_GUARD)),
			.sin_addr.s_addr = htonl(INADDR_LOOPBACK)
		};
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (!bind(fd, (struct sockaddr *)&sa, sizeof(sa)))
			return (uint16_t)port;
		close(fd);
	}
	return 0;
}

/* ---- verdict ---- */

static void add_runs(void *arg, const char *run_id, uint32_t runs)
{
	struct load *l = arg;
	uint32_t id = (uint32_t)strtoul(run_id + 1, NULL, 10);

	if (*run_id == 'p' && id < l->piece_count)
		l->pieces[id].runs += runs;
}

static void judge_piece(const struct fleet *f, const struct piece *p,
			struct result *r)
{
	r->ran += p->final == PIECE_RAN;
	r->not_run += p->final == PIECE_NOT_RUN;
	r->unknown += p->final == PIECE_UNKNOWN;
	r->crossed += p->crossed;
	/* A read that was repeated may have run for its first attempt. */
	if (p->told_not_run && p->runs && (p->payment || p->attempts == 1))
		r->wrong_not_run++;
	if (!p->payment)
		return;
	r->twice += p->runs > 1 || p->told_runs > 1;
	r->lost += p->final == PIECE_UNKNOWN && p->runs &&
		   !was_killed(f, p->ticket.incarnation);
}

static void judge(struct fleet *f, struct load *l, struct result *r)
{
	fleet_runs(f, add_runs, l);
	r->requests = l->piece_count;
	r->cut = l->cut;
	for (uint32_t i = 0; i < l->piece_count; i++)
		judge_piece(f, &l->pieces[i], r);
	r->other += f->faults;
}

static bool is_good(const struct result *r)
{
	return !r->twice && !r->crossed && !r->wrong_not_run && !r->cut &&
	       !r->other;
}

static bool is_violation(const struct piece *p)
{
	return p->crossed || (p->payment && p->runs > 1) ||
	       (p->payment && p->told_not_run && p->runs);
}

static void print_pieces(const struct load *l, bool unknown)
{
	uint32_t left = 20;

	for (uint32_t i = 0; left && i < l->piece_count; i++) {
		const struct piece *p = &l->pieces[i];

		if (!is_violation(p) && !(unknown && p->final == PIECE_UNKNOWN))
			continue;
		left--;
		fprintf(stderr,
			"# p%u payment=%d final=%d runs=%u told=%u crossed=%u attempts=%u "
			"error=%s issuer=%016llx\n",
			p->id, p->payment, p->final, p->runs, p->told_runs,
			p->crossed, p->attempts, p->error,
			(unsigned long long)p->ticket.incarnation);
	}
}

static void remove_folder(const char *path)
{
	DIR *d = opendir(path);
	struct dirent *e;

	while (d && (e = readdir(d))) {
		char name[2 * TEXT_BYTES + 256];

		snprintf(name, sizeof(name), "%s/%s", path, e->d_name);
		if (*e->d_name != '.')
			unlink(name);
	}
	if (d)
		closedir(d);
	rmdir(path);
}

static bool run_case(const struct fault_case *c, const struct options *o,
		     uint16_t port)
{
	static struct fleet fleet;
	static struct load load;
	struct result r = { 0 };
	int64_t start_us = clock_now_us();

	memset(&fleet, 0, sizeof(fleet));
	fleet.bin = o->bin;
	if (o->daemon)
		snprintf(fleet.program, sizeof(fleet.program), "%s", o->daemon);
	else
		snprintf(fleet.program, sizeof(fleet.program), "%s/bin/azhd",
			 o->bin);
	fleet.port = (uint16_t)(port + (c->number - 1) * PORTS_PER_CASE);
	strcpy(fleet.dir, "/tmp/azfault.XXXXXX");
	if (!mkdtemp(fleet.dir))
		abort();
	load_init(&load, &fleet, o->seed + c->number);
	c->run(&fleet, &load, &r);
	fleet_stop(&fleet);
	judge(&fleet, &load, &r);
	fleet_abort(&fleet);
	printf("%-34s %8u %6u %7u %7u %5u %5u %7u %13u %4u %5u %5.1f\n",
	       c->name, r.requests, r.ran, r.not_run, r.unknown, r.twice,
	       r.lost, r.crossed, r.wrong_not_run, r.cut, r.other,
	       (double)(clock_now_us() - start_us) / US_PER_S);
	fflush(stdout);
	if (!is_good(&r) || o->verbose)
		print_pieces(&load, o->verbose);
	if (!is_good(&r) || o->keep)
		fprintf(stderr, "# logs in %s\n", fleet.dir);
	else
		remove_folder(fleet.dir);
	load_free(&load);
	return is_good(&r);
}

static bool is_chosen(const struct options *o, uint32_t number)
{
	for (uint32_t i = 0; i < o->chosen_count; i++)
		if (o->chosen[i] == number)
			return true;
	return !o->chosen_count;
}

int main(int argc, char **argv)
{
	struct options o = { .bin = "build", .seed = 1 };
	uint16_t port;
	bool good = true;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	port = claim_ports();
	if (!port) {
		fprintf(stderr, "no free range of ports\n");
		return 2;
	}
	printf("%-34s %8s %6s %7s %7s %5s %5s %7s %13s %4s %5s %5s\n", "case",
	       "requests", "ran", "not-run", "unknown", "twice", "lost",
	       "crossed", "wrong-not-run", "cut", "other", "s");
	for (uint32_t i = 0; i < fault_case_count; i++)
		if (is_chosen(&o, fault_cases[i].number))
			good = run_case(&fault_cases[i], &o, port) && good;
	return good ? 0 : 1;
}
