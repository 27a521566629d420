#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault/fault.h"

#define COUNTINGHOUSE 4 /* workers 0 to 3; 4 and 5 are of the stockroom */

static const struct fleet_options usual = { .daemons = 4,
					    .service_ms = 20,
					    .drain_ms = 500 };

static void set_all(struct fleet *f, const char *query)
{
	for (uint32_t i = 0; i < COUNTINGHOUSE; i++)
		worker_fault(f, i, query);
}

/* 1: a reused connection whose POST the worker read before it closed; sending
 * the POST again would run it twice. */
static void close_after_read(struct fleet *f, struct load *l, struct result *r)
{
	fleet_start(f, &usual);
	load_start(l, NULL);
	load_wait(l, 100);
	set_all(f, "mode=close-after-read&percent=30");
	load_wait(l, 400);
	set_all(f, "mode=none");
	load_wait(l, 100);
	load_stop(l);
}

/* Kills each daemon in turn while requests are in flight, so that it is in
 * turn entry, issuer and home of them. */
static void kill_each(struct fleet *f, struct load *l, uint32_t rounds)
{
	for (uint32_t i = 0; i < rounds * f->daemon_count; i++) {
		uint32_t n = i % f->daemon_count;

		load_wait_begun(l, 60, HANG_MS);
		daemon_kill(f, n);
		load_wait(l, 30);
		daemon_start(f, n);
		fleet_wait_ready(f);
	}
	load_wait(l, 60);
}

/* 3: an entry is killed; its callers repeat their tickets elsewhere. */
static void kill_daemons(struct fleet *f, struct load *l, struct result *r)
{
	fleet_start(f, &usual);
	load_start(l, NULL);
	kill_each(f, l, 1);
	load_stop(l);
}

/* Tickets that a daemon issued before it stopped must answer as before. */
static void check_stored(struct load *l, uint64_t incarnation, uint32_t except,
			 struct result *r)
{
	struct fleet *f = l->fleet;
	uint32_t checked = 0;

	for (uint32_t i = 0; i < l->piece_count && checked < 20; i++) {
		struct piece *p = &l->pieces[i];
		uint32_t n = i % f->daemon_count;

		if (!p->payment || p->final != PIECE_RAN ||
		    p->ticket.incarnation != incarnation)
			continue;
		if (n == except)
			n = (n + 1) % f->daemon_count;
		checked++;
		if (piece_resolve(l, p, n) != PIECE_RAN) {
			fprintf(stderr, "# p%u no longer answers: %s\n", p->id,
				p->error);
			r->other++;
		}
	}
	if (!checked) {
		fprintf(stderr,
			"# no ticket of a stopped daemon was checked\n");
		r->other++;
	}
}

/* 8: planned stops interrupt nothing, and the ledger lives on. */
static void planned_stops(struct fleet *f, struct load *l, struct result *r)
{
	static const struct fleet_options slow_drain = { .daemons = 4,
							 .service_ms = 20,
							 .drain_ms = 1500 };
	static const struct load_options mixed = { .threads = 16,
						   .reads_percent = 50,
						   .deadline_ms = 1500,
						   .think_ms = 10,
						   .organisation = "desk" };

	fleet_start(f, &slow_drain);
	load_start(l, &mixed);
	for (uint32_t n = 0; n < f->daemon_count; n++) {
		uint64_t incarnation = f->daemons[n].incarnation;

		load_wait(l, 200);
		daemon_stop(f, n);
		check_stored(l, incarnation, n, r);
		daemon_start(f, n);
		fleet_wait_ready(f);
		check_stored(l, incarnation, DAEMONS_MAX, r);
	}
	load_wait(l, 200);
	load_stop(l);
}

/* Presents once and requires the outcome `unknown`. */
static void must_be_unknown(struct load *l, struct piece *p, uint32_t n,
			    struct result *r)
{
	struct http_conn c = { .fd = -1 };
	struct http_answer a;
	enum http_result k = piece_present(l, p, n, &c, &a);

	if (k != HTTP_WHOLE || !*a.error ||
	    strcmp(a.outcome, outcome_name(OUTCOME_UNKNOWN)) != 0) {
		fprintf(stderr, "# p%u at d%u: result=%d status=%u %s %s\n",
			p->id, n, k, a.status, a.outcome, a.error);
		r->other++;
	}
	http_close(&c);
	http_answer_free(&a);
}

#define STALE 20

/* 9: the earlier incarnation's tickets, used or not, never run again. */
static void restarted_issuer(struct fleet *f, struct load *l, struct result *r)
{
	struct piece *pieces[STALE];

	fleet_start(f, &usual);
	for (uint32_t i = 0; i < STALE; i++) {
		pieces[i] = piece_new(l, true);
		if (!piece_take_ticket(l, pieces[i], 0))
			r->other++;
		if (i % 2)
			piece_resolve(l, pieces[i], i % f->daemon_count);
	}
	daemon_kill(f, 0);
	daemon_start(f, 0);
	fleet_wait_ready(f);
	for (uint32_t i = 0; i < STALE; i++)
		for (uint32_t n = 0; n < f->daemon_count; n++)
			must_be_unknown(l, pieces[i], n, r);
	/* Unused ones were never allowed to run. */
	for (uint32_t i = 0; i < STALE; i += 2)
		pieces[i]->final = PIECE_NOT_RUN;
}

const struct fault_case fault_cases[] = {
	{ 1, "1 close after read", close_after_read },
	{ 3, "3 entry, issuer, home killed", kill_daemons },
	{ 8, "8 planned stops", planned_stops },
	{ 9, "9 restarted issuer", restarted_issuer },
};

const uint32_t fault_case_count = sizeof(fault_cases) / sizeof(fault_cases[0]);
