/**
 * @file
 * Check of a case: compares what callers were answered with what workers ran.
 * Also the port range and the folder of a fleet.
 */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include "fault/fault.h"

/* Ranges begin at PORT_FIRST, PORT_FIRST + PORT_RANGE, ..., PORT_LAST. */
#define PORT_FIRST 21000
#define PORT_LAST 25000
#define PORT_RANGE 1000
/* A program binds the port at this offset in its range, so that no other one
 * takes the range. */
#define PORT_GUARD 990

uint16_t fleet_claim_ports(void)
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

static void add_runs(void *arg, const char *run_id, uint32_t runs)
{
	struct load *l = arg;
	uint32_t id = (uint32_t)strtoul(run_id + 1, NULL, 10);

	if (*run_id == '!') {
		log_write(
			LOG_ERROR, "judge",
			"requests against what their worker said kind=%s n=%u",
			run_id + 1, runs);
		l->against_notice += runs;
		return;
	}
	if (*run_id == 'p' && id < l->operation_count)
		l->operations[id].worker_runs += runs;
}

static void check_operation(const struct fleet *f, const struct operation *p,
			    struct result *r)
{
	r->ran += p->outcome == OPERATION_RAN;
	r->not_run += p->outcome == OPERATION_NOT_RUN;
	r->unknown += p->outcome == OPERATION_UNKNOWN;
	r->crossed += p->crossed;
	/* A read that was attempted several times does not count: one attempt
	 * may have run and another not. */
	if (p->answered_not_run && p->worker_runs &&
	    (p->is_payment || p->attempts == 1))
		r->wrong_not_run++;
	if (!p->is_payment)
		return;
	r->twice += p->worker_runs > 1 || p->answered_runs > 1;
	r->lost += p->outcome == OPERATION_UNKNOWN && p->worker_runs &&
		   !was_killed(f, p->ticket.incarnation);
}

void load_check(struct load *l, struct result *r)
{
	struct fleet *f = l->fleet;

	fleet_for_each_run(f, add_runs, l);
	r->requests = l->operation_count;
	r->cut = l->cut_count;
	for (uint32_t i = 0; i < l->operation_count; i++)
		check_operation(f, &l->operations[i], r);
	r->other += f->failures + l->against_notice;
}

bool result_is_good(const struct result *r)
{
	return !r->twice && !r->crossed && !r->wrong_not_run && !r->cut &&
	       !r->other;
}

static bool is_violation(const struct operation *p)
{
	return p->crossed || (p->is_payment && p->worker_runs > 1) ||
	       (p->is_payment && p->answered_not_run && p->worker_runs);
}

void load_print_operations(const struct load *l, bool unknown)
{
	uint32_t lines_left = 20;

	for (uint32_t i = 0; lines_left && i < l->operation_count; i++) {
		const struct operation *p = &l->operations[i];

		if (!is_violation(p) &&
		    !(unknown && p->outcome == OPERATION_UNKNOWN))
			continue;
		lines_left--;
		fprintf(stderr,
			"# p%u payment=%d final=%d runs=%u told=%u crossed=%u attempts=%u "
			"error=%s issuer=%016llx\n",
			p->id, p->is_payment, p->outcome, p->worker_runs,
			p->answered_runs, p->crossed, p->attempts, p->error,
			(unsigned long long)p->ticket.incarnation);
	}
}

void folder_remove(const char *path)
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

void fleet_remove(const struct fleet *f)
{
	folder_remove(f->dir);
}
