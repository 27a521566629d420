#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/soak.h"

/* After the last fault this many operations are awaited, of which this share
 * must have run. */
#define RECOVERY_OPERATIONS 200
#define RECOVERY_RAN_PERCENT 95
/* Time in which each daemon must have the last configuration in force. */
#define CONF_CHANGE_TIMEOUT_MS 5000
#define POLL_MS 50

/** The begin or the end of a step. */
struct step_event {
	uint32_t at_ms;
	uint32_t step; /**< index in the plan */
	bool begin; /**< otherwise the end of the step */
};

struct soak {
	struct fleet fleet;
	struct load load;
	struct soak_plan plan;
	struct result result;
	struct step_event events[2 * SOAK_STEPS_MAX];
	uint32_t event_count;
	int64_t start_us;
};

/* ---- events in the order of time ---- */

static int compare_time(const void *a, const void *b)
{
	const struct step_event *x = a;
	const struct step_event *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->step < y->step ? -1 : x->step > y->step;
}

/* Lists the begin and the end of each step in the order of time. */
static void sort_events(struct soak *s)
{
	for (uint32_t i = 0; i < s->plan.count; i++) {
		const struct soak_step *p = &s->plan.steps[i];

		s->events[s->event_count++] =
			(struct step_event){ p->begin_ms, i, true };
		s->events[s->event_count++] =
			(struct step_event){ p->end_ms, i, false };
	}
	qsort(s->events, s->event_count, sizeof(s->events[0]), compare_time);
}

/* ---- begin and end of a step ---- */

static void begin_step(struct soak *s, const struct soak_step *p)
{
	struct fleet *f = &s->fleet;

	switch (p->kind) {
	case SOAK_KILL:
		daemon_kill(f, p->target);
		return;
	case SOAK_STOP:
		daemon_begin_stop(f, p->target);
		return;
	case SOAK_PAUSE:
		daemon_signal(f, p->target, SIGSTOP);
		return;
	case SOAK_LINK:
		tcp_relay_set(f, p->target, p->begin_command);
		return;
	case SOAK_WORKER_FAULT:
		worker_set_fault(f, p->target, p->begin_command);
		return;
	case SOAK_WORKER_KILL:
		worker_kill(f, p->target);
		return;
	case SOAK_CONF_CHANGE:
		fleet_change_conf(f, f->conf_version + 1);
		return;
	case SOAK_KIND_COUNT:
		return;
	}
}

static void end_step(struct soak *s, const struct soak_step *p)
{
	struct fleet *f = &s->fleet;

	switch (p->kind) {
	case SOAK_STOP:
		daemon_wait_stopped(f, p->target);
		daemon_start(f, p->target);
		return;
	case SOAK_KILL:
		daemon_start(f, p->target);
		return;
	case SOAK_PAUSE:
		daemon_signal(f, p->target, SIGCONT);
		return;
	case SOAK_LINK:
		tcp_relay_set(f, p->target, p->end_command);
		return;
	case SOAK_WORKER_FAULT:
		worker_set_fault(f, p->target, p->end_command);
		return;
	case SOAK_WORKER_KILL:
		worker_start(f, p->target);
		/* Waits until the worker has started. */
		worker_set_fault(f, p->target, "mode=none");
		return;
	case SOAK_CONF_CHANGE:
	case SOAK_KIND_COUNT:
		return;
	}
}

static void log_event(const struct step_event *e, const struct soak_step *p)
{
	log_write(LOG_INFO, "soak", "%s kind=%s target=%u at_ms=%u order=%s",
		  e->begin ? "begin" : "end", soak_kind_name(p->kind),
		  p->target, e->at_ms,
		  p->begin_command ? p->begin_command : "-");
}

/* Begins and ends all steps of the plan at their times. */
static void run_events(struct soak *s)
{
	for (uint32_t i = 0; i < s->event_count; i++) {
		const struct step_event *e = &s->events[i];
		const struct soak_step *p = &s->plan.steps[e->step];
		int64_t left_us =
			s->start_us + e->at_ms * US_PER_MS - clock_now_us();

		if (left_us > 0)
			sleep_ms((uint32_t)(left_us / US_PER_MS));
		log_event(e, p);
		if (e->begin)
			begin_step(s, p);
		else
			end_step(s, p);
	}
}

/* ---- checks after the last fault ---- */

/* True if daemon `n` has the last configuration in force: it then does not
 * answer 404 on the route that fleet_change_conf() added. */
static bool is_in_force(const struct fleet *f, uint32_t n)
{
	static const char format[] = "GET /change%u HTTP/1.1\r\nHost: x\r\n"
				     "Azurehold-Organisation: desk\r\n"
				     "Authorization: Bearer desk-token\r\n\r\n";
	struct http_conn c = { .fd = -1 };
	struct http_answer a = { 0 };
	char request[256];
	int len = snprintf(request, sizeof(request), format, f->conf_version);
	bool ok = http_exchange(&c, daemon_port(f, n), request, (uint32_t)len,
				CONF_CHANGE_TIMEOUT_MS, &a) == HTTP_COMPLETE &&
		  a.status != 404;

	http_close(&c);
	http_answer_free(&a);
	return ok;
}

/* If the configuration was changed, each daemon must have the last one in
 * force, also if it was killed or paused at the time of the change. */
static void check_conf_change(struct soak *s)
{
	struct fleet *f = &s->fleet;

	for (uint32_t n = 0; f->conf_version && n < f->daemon_count; n++) {
		bool in_force = is_in_force(f, n);

		for (uint32_t ms = 0; !in_force && ms < CONF_CHANGE_TIMEOUT_MS;
		     ms += POLL_MS) {
			sleep_ms(POLL_MS);
			in_force = is_in_force(f, n);
		}
		if (in_force)
			continue;
		log_write(LOG_ERROR, "soak",
			  "last configuration is not in force daemon=%u "
			  "version=%u",
			  n, f->conf_version);
		s->result.other++;
	}
}

/* After the last fault nearly all requests must run again. */
static void check_recovery(struct soak *s)
{
	struct load *l = &s->load;
	uint32_t first = l->operation_count;
	uint32_t ran = 0;
	uint32_t all = 0;

	load_wait_ended(l, RECOVERY_OPERATIONS);
	load_stop(l);
	for (uint32_t i = first; i < l->operation_count; i++) {
		const struct operation *p = &l->operations[i];

		all++;
		ran += p->outcome == OPERATION_RAN;
		if (p->outcome != OPERATION_RAN)
			log_write(LOG_WARN, "soak",
				  "did not run after the last fault piece=p%u "
				  "payment=%s final=%d error=%s",
				  p->id, p->is_payment ? "yes" : "no",
				  p->outcome, p->error);
	}
	if (all && ran * 100 >= all * RECOVERY_RAN_PERCENT)
		return;
	log_write(LOG_ERROR, "soak",
		  "too few operations ran after the last fault ran=%u of=%u",
		  ran, all);
	s->result.other++;
}

/* ---- the run of a seed ---- */

static void print_row(const struct soak *s, uint64_t seed)
{
	const struct result *r = &s->result;

	printf("%20llu %5u %8u %6u %7u %7u %5u %5u %7u %13u %4u %5u %5.1f %s\n",
	       (unsigned long long)seed, s->plan.count, r->requests, r->ran,
	       r->not_run, r->unknown, r->twice, r->lost, r->crossed,
	       r->wrong_not_run, r->cut, r->other,
	       (double)(clock_now_us() - s->start_us) / US_PER_S,
	       result_is_good(r) ? "ok" : "FAIL");
	fflush(stdout);
}

bool soak_run(const struct soak_options *o, uint64_t seed, uint16_t port)
{
	static struct soak soak;
	struct soak *s = &soak;
	/* Odd seeds have TCP relays, which SOAK_LINK needs. */
	struct fleet_options fo = { .daemons = o->daemons,
				    .service_ms = 20,
				    .drain_ms = 1000,
				    .tcp_relays = seed % 2 };
	struct soak_limits limits = { .daemons = o->daemons,
				      .length_ms = o->length_ms,
				      .tcp_relays = fo.tcp_relays };
	static const struct load_options lo = { .threads = 16,
						.reads_percent = 40,
						.deadline_ms = 1500,
						.think_ms = 20,
						.organisation = "desk",
						.issuer = -1,
						.entry = -1 };
	bool ok;

	memset(s, 0, sizeof(*s));
	fleet_init(&s->fleet, o->bin, o->daemon, port);
	load_init(&s->load, &s->fleet, seed);
	fleet_start(&s->fleet, &fo);
	limits.workers = s->fleet.worker_count;
	soak_plan_draw(&s->plan, &limits, seed);
	sort_events(s);
	s->start_us = clock_now_us();
	load_start(&s->load, &lo);
	run_events(s);
	fleet_wait_ready(&s->fleet);
	check_conf_change(s);
	check_recovery(s);
	fleet_stop(&s->fleet);
	load_check(&s->load, &s->result);
	fleet_abort(&s->fleet);
	ok = result_is_good(&s->result);
	print_row(s, seed);
	if (!ok)
		load_print_operations(&s->load, false);
	if (!ok || o->keep)
		fprintf(stderr, "# seed %llu: logs in %s\n",
			(unsigned long long)seed, s->fleet.dir);
	else
		fleet_remove(&s->fleet);
	load_free(&s->load);
	return ok;
}
