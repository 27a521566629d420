/**
 * @file
 * The soak test of what daemons learn about workers from the users' platform:
 * real daemons, a stand-in of the platform with workers, and a plan of kills of
 * daemons around changes of workers' entries. It is judged by the requests that
 * reach the workers.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak/watch.h"

/* Offsets within the ports of a fleet. */
#define PORT_FRONT 0
#define PORT_READY 8
#define PORT_STORE 16 /* the workers' ports follow */
#define PORT_PEER 40
#define PORT_MEMBER 50
/* Time in which daemons become ready and their roles settle. */
#define READY_TIMEOUT_MS 20000
#define SETTLE_MS 2500
/* The users' bound: no request reaches a worker that has left later. */
#define LEFT_MAX_MS 2500
/* The users' stable-window: a daemon that was killed or started less than that
 * ago is not judged. */
#define CALM_MS 4000
/* After the last change each daemon must have this many successes in a row. */
#define RECOVERY_ANSWERS 20
#define POLL_MS 20
#define REQUEST_TIMEOUT_MS 3000
#define CLIENT_PAUSE_MS 10

static const char *const services[WATCH_SERVICES] = { "stock", "press" };

/** From when to when a worker's entry names it as one of a service. */
struct service_span {
	uint32_t worker;
	uint32_t service;
	int64_t from_ms;
	int64_t until_ms; /**< acknowledgement of the end; INT64_MAX: none */
};

struct watch_daemon {
	struct process process;
	/** Kills and starts. */
	int64_t disturbances_ms[WATCH_STEPS_MAX];
	uint32_t disturbance_count;
	bool is_watcher;
	char settings_path[2 * TEXT_BYTES];
};

struct client {
	struct watch_soak *soak;
	uint32_t daemon;
	pthread_t thread;
	uint32_t ok; /**< atomic: answers with 200 in a row */
	uint32_t requests;
	uint32_t failed;
};

struct watch_soak {
	const struct soak_options *options;
	uint16_t port;
	char dir[TEXT_BYTES];
	char address[24]; /**< "127.A.B.", of the daemons' peers */
	struct process stand_in;
	struct watch_daemon daemons[DAEMONS_MAX];
	struct client clients[DAEMONS_MAX];
	int32_t stop; /**< atomic */
	struct watch_plan plan;
	struct service_span spans[WATCH_STEPS_MAX + WATCH_WORKERS];
	uint32_t span_count;
	int64_t start_ms;
	int64_t last_ms; /**< longest time after the acknowledgement at which a
			    request reached a worker that had left */
	uint32_t late;
	uint32_t other;
};

static int64_t now_ms(void)
{
	return clock_now_us() / US_PER_MS;
}

/* ---- the stand-in ---- */

static void call_stand_in(struct watch_soak *s, const char *target)
{
	struct http_answer a = { 0 };

	if (!http_single_request((uint16_t)(s->port + PORT_STORE), "POST",
				 target, &a)) {
		log_write(LOG_ERROR, "soak", "stand-in failed target=%s",
			  target);
		s->other++;
	}
	http_answer_free(&a);
}

static struct service_span *open_span(struct watch_soak *s, uint32_t worker)
{
	for (uint32_t i = s->span_count; i-- > 0;)
		if (s->spans[i].worker == worker)
			return s->spans[i].until_ms == INT64_MAX ?
				       &s->spans[i] :
				       NULL;
	return NULL;
}

/* Sets the worker's entry; `service` is ignored if the worker leaves. */
static void set_worker(struct watch_soak *s, uint32_t worker, uint32_t service,
		       const char *state)
{
	struct service_span *open = open_span(s, worker);
	char target[128];
	int64_t from_ms = now_ms();

	if (open && strcmp(state, "ready") != 0)
		service = open->service;
	snprintf(target, sizeof(target), "/worker?n=%u&service=%s&state=%s",
		 worker, services[service], state);
	call_stand_in(s, target);
	if (open)
		open->until_ms = now_ms();
	if (!strcmp(state, "ready"))
		s->spans[s->span_count++] =
			(struct service_span){ worker, service, from_ms,
					       INT64_MAX };
}

static void start_stand_in(struct watch_soak *s)
{
	char program[2 * TEXT_BYTES];
	char log[2 * TEXT_BYTES];
	char runs[2 * TEXT_BYTES];
	char port[16];
	char workers[16];
	char *argv[] = { program, "--port", port, "--workers",
			 workers, "--runs", runs, NULL };
	int32_t fd;

	snprintf(program, sizeof(program), "%s/platform/stand_in_main",
		 s->options->bin);
	snprintf(log, sizeof(log), "%s/stand-in.log", s->dir);
	snprintf(runs, sizeof(runs), "%s/runs", s->dir);
	snprintf(port, sizeof(port), "%u", s->port + PORT_STORE);
	snprintf(workers, sizeof(workers), "%u", WATCH_WORKERS);
	process_start(&s->stand_in, log, argv, 0);
	for (uint32_t ms = 0; ms < READY_TIMEOUT_MS; ms += POLL_MS) {
		fd = http_connect((uint16_t)(s->port + PORT_STORE));
		if (fd >= 0) {
			close(fd);
			break;
		}
		sleep_ms(POLL_MS);
	}
	call_stand_in(s, "/configuration?services=stock,press");
	for (uint32_t i = 0; i < WATCH_WORKERS; i++)
		set_worker(s, i, i % WATCH_SERVICES, "ready");
}

/* ---- daemons ---- */

static void write_settings(struct watch_soak *s, uint32_t n)
{
	struct watch_daemon *d = &s->daemons[n];
	FILE *out;

	snprintf(d->settings_path, sizeof(d->settings_path), "%s/d%u.ini",
		 s->dir, n);
	out = fopen(d->settings_path, "w");
	if (!out)
		abort();
	fprintf(out,
		"[daemon]\nname = d%u\ndata_centre = a1\nregion = a\n"
		"front = 127.0.0.1:%u\nready = 127.0.0.1:%u\n"
		"peer = %s%u:%u\nmember = %s%u:%u\nseed_hosts = ",
		n, s->port + PORT_FRONT + n, s->port + PORT_READY + n,
		s->address, n + 1, s->port + PORT_PEER, s->address, n + 1,
		s->port + PORT_MEMBER);
	for (uint32_t i = 0; i < s->options->daemons; i++)
		fprintf(out, "%s%s%u:%u", i ? "," : "", s->address, i + 1,
			s->port + PORT_MEMBER);
	fprintf(out,
		"\nplatform = 127.0.0.1:%u\ndrain_ms = 500\n"
		"log_level = info\n[places]\na1 = a\n",
		s->port + PORT_STORE);
	fclose(out);
}

static void note_disturbance(struct watch_daemon *d)
{
	if (d->disturbance_count < WATCH_STEPS_MAX)
		d->disturbances_ms[d->disturbance_count++] = now_ms();
}

static void start_daemon(struct watch_soak *s, uint32_t n)
{
	struct watch_daemon *d = &s->daemons[n];
	char program[2 * TEXT_BYTES];
	char log[2 * TEXT_BYTES];
	char *argv[] = { program, "--settings", d->settings_path, NULL };

	snprintf(log, sizeof(log), "%s/d%u.log", s->dir, n);
	if (s->options->daemon)
		snprintf(program, sizeof(program), "%s", s->options->daemon);
	else
		snprintf(program, sizeof(program), "%s/bin/azhd",
			 s->options->bin);
	if (s->options->other_daemon && n % 2)
		snprintf(program, sizeof(program), "%s",
			 s->options->other_daemon);
	process_start(&d->process, log, argv, 0);
	note_disturbance(d);
}

static void kill_daemon(struct watch_soak *s, uint32_t n)
{
	process_kill(&s->daemons[n].process);
	note_disturbance(&s->daemons[n]);
}

static bool log_contains(const struct process *p, const char *text)
{
	FILE *in = fopen(p->log_path, "r");
	char line[1024];
	bool found = false;

	while (in && !found && fgets(line, sizeof(line), in))
		found = strstr(line, text) != NULL;
	if (in)
		fclose(in);
	return found;
}

static void *run_client(void *arg);

/* Starts all processes and the callers, and notes which daemons are watchers.
 */
static void start_all(struct watch_soak *s)
{
	uint32_t daemons = s->options->daemons;
	bool ready = false;

	start_stand_in(s);
	for (uint32_t i = 0; i < daemons; i++) {
		write_settings(s, i);
		start_daemon(s, i);
	}
	for (uint32_t i = 0; i < daemons; i++) {
		s->clients[i] = (struct client){ .soak = s, .daemon = i };
		pthread_create(&s->clients[i].thread, NULL, run_client,
			       &s->clients[i]);
	}
	for (uint32_t ms = 0; !ready && ms < READY_TIMEOUT_MS; ms += POLL_MS) {
		sleep_ms(POLL_MS);
		ready = true;
		for (uint32_t i = 0; i < daemons; i++)
			ready &= __atomic_load_n(&s->clients[i].ok,
						 __ATOMIC_RELAXED) > 0;
	}
	if (!ready) {
		log_write(LOG_ERROR, "soak", "a daemon does not become ready");
		s->other++;
	}
	sleep_ms(SETTLE_MS);
	for (uint32_t i = 0; i < daemons; i++)
		s->daemons[i].is_watcher = !log_contains(
			&s->daemons[i].process, "fetches from the watchers");
}

/* ---- callers ---- */

/* Sends requests for the services in turn through one daemon. The path names
 * the daemon to the workers. */
static void *run_client(void *arg)
{
	struct client *c = arg;
	struct http_conn conn = { .fd = -1 };
	struct http_answer a;
	char request[256];
	uint16_t port = (uint16_t)(c->soak->port + PORT_FRONT + c->daemon);
	bool ok;
	int n;

	while (!__atomic_load_n(&c->soak->stop, __ATOMIC_RELAXED)) {
		memset(&a, 0, sizeof(a));
		n = snprintf(request, sizeof(request),
			     "GET /%s/%u HTTP/1.1\r\nHost: x.example\r\n\r\n",
			     services[c->requests++ % WATCH_SERVICES],
			     c->daemon);
		ok = http_exchange(&conn, port, request, (uint32_t)n,
				   REQUEST_TIMEOUT_MS, &a) == HTTP_COMPLETE &&
		     a.status == 200;
		http_answer_free(&a);
		c->failed += !ok;
		__atomic_store_n(&c->ok, ok ? c->ok + 1 : 0, __ATOMIC_RELAXED);
		sleep_ms(CLIENT_PAUSE_MS);
	}
	http_close(&conn);
	return NULL;
}

/* ---- the steps ---- */

/* True if the step is for daemon `n`. */
static bool concerns(const struct watch_soak *s, const struct watch_step *p,
		     uint32_t n)
{
	uint32_t before = 0;

	if (!(p->targets & WATCH_WATCHERS))
		return p->targets & (1U << n);
	for (uint32_t i = 0; i < n; i++)
		before += s->daemons[i].is_watcher;
	return s->daemons[n].is_watcher && before < 2 &&
	       (p->targets & (before ? WATCH_WATCHER_2 : WATCH_WATCHER_1));
}

static void run_step(struct watch_soak *s, const struct watch_step *p)
{
	log_write(LOG_INFO, "soak", "step=%s at_ms=%u targets=%x worker=%u",
		  watch_kind_name(p->kind), p->at_ms, p->targets, p->worker);
	switch (p->kind) {
	case WATCH_KILL:
	case WATCH_START:
		for (uint32_t i = 0; i < s->options->daemons; i++)
			if (concerns(s, p, i) && p->kind == WATCH_KILL)
				kill_daemon(s, i);
			else if (concerns(s, p, i) &&
				 !s->daemons[i].process.pid)
				start_daemon(s, i);
		return;
	case WATCH_REMOVE:
		set_worker(s, p->worker, 0, "gone");
		return;
	case WATCH_DRAIN:
		set_worker(s, p->worker, 0, "draining");
		return;
	case WATCH_ADD:
		set_worker(s, p->worker, p->service, "ready");
		return;
	case WATCH_FORGET:
		call_stand_in(s, "/forget");
		return;
	case WATCH_KIND_COUNT:
		return;
	}
}

static void run_plan(struct watch_soak *s)
{
	s->start_ms = now_ms();
	for (uint32_t i = 0; i < s->plan.count; i++) {
		const struct watch_step *p = &s->plan.steps[i];
		int64_t left_ms = s->start_ms + p->at_ms - now_ms();

		if (left_ms > 0)
			sleep_ms((uint32_t)left_ms);
		run_step(s, p);
	}
	sleep_ms(CALM_MS + LEFT_MAX_MS);
}

/* ---- judgement ---- */

static bool is_calm(const struct watch_daemon *d, int64_t at_ms)
{
	for (uint32_t i = 0; i < d->disturbance_count; i++)
		if (at_ms >= d->disturbances_ms[i] &&
		    at_ms < d->disturbances_ms[i] + CALM_MS)
			return false;
	return true;
}

/* Time since the worker has left the service; INT64_MAX if it never was one of
 * it, 0 or less if it is. */
static int64_t left_ms(const struct watch_soak *s, uint32_t worker,
		       uint32_t service, int64_t at_ms)
{
	int64_t least_ms = INT64_MAX;

	for (uint32_t i = 0; i < s->span_count; i++) {
		const struct service_span *m = &s->spans[i];

		if (m->worker == worker && m->service == service &&
		    at_ms >= m->from_ms && at_ms - m->until_ms < least_ms)
			least_ms = at_ms - m->until_ms;
	}
	return least_ms;
}

static void judge_run(struct watch_soak *s, int64_t at_ms, uint32_t worker,
		      const char *service, uint32_t daemon)
{
	uint32_t k = 0;
	int64_t after_ms;

	while (k < WATCH_SERVICES && strcmp(services[k], service) != 0)
		k++;
	if (daemon >= s->options->daemons || k == WATCH_SERVICES ||
	    !is_calm(&s->daemons[daemon], at_ms))
		return;
	after_ms = left_ms(s, worker, k, at_ms);
	if (after_ms > s->last_ms)
		s->last_ms = after_ms;
	if (after_ms <= LEFT_MAX_MS)
		return;
	if (!s->late++)
		log_write(LOG_ERROR, "soak",
			  "request at a worker that has left daemon=%u "
			  "worker=%u service=%s at_ms=%lld",
			  daemon, worker, service,
			  (long long)(at_ms - s->start_ms));
}

static void judge_runs(struct watch_soak *s)
{
	char path[2 * TEXT_BYTES];
	char service[16];
	uint32_t daemon;
	uint32_t worker;
	long long at_ms;
	FILE *in;

	snprintf(path, sizeof(path), "%s/runs", s->dir);
	in = fopen(path, "r");
	while (in && fscanf(in, "%lld %u /%15[^/]/%u", &at_ms, &worker, service,
			    &daemon) == 4)
		judge_run(s, at_ms, worker, service, daemon);
	if (in)
		fclose(in);
}

/* Each daemon serves again at the end. */
static void judge_recovery(struct watch_soak *s)
{
	for (uint32_t i = 0; i < s->options->daemons; i++) {
		uint32_t ok =
			__atomic_load_n(&s->clients[i].ok, __ATOMIC_RELAXED);

		if (ok >= RECOVERY_ANSWERS)
			continue;
		log_write(LOG_ERROR, "soak",
			  "daemon does not serve at the end daemon=%u ok=%u", i,
			  ok);
		s->other++;
	}
}

/* ---- the run of a seed ---- */

static void stop_all(struct watch_soak *s)
{
	__atomic_store_n(&s->stop, 1, __ATOMIC_RELAXED);
	for (uint32_t i = 0; i < s->options->daemons; i++)
		pthread_join(s->clients[i].thread, NULL);
	for (uint32_t i = 0; i < s->options->daemons; i++)
		process_kill(&s->daemons[i].process);
	process_kill(&s->stand_in);
}

static void print_row(const struct watch_soak *s, uint64_t seed)
{
	uint32_t requests = 0;
	uint32_t failed = 0;

	for (uint32_t i = 0; i < s->options->daemons; i++) {
		requests += s->clients[i].requests;
		failed += s->clients[i].failed;
	}
	printf("%20llu %5u %8u %6u %7lld %5u %5u %5.1f %s\n",
	       (unsigned long long)seed, s->plan.count, requests, failed,
	       (long long)s->last_ms, s->late, s->other,
	       (double)(now_ms() - s->start_ms) / 1000,
	       s->late || s->other ? "FAIL" : "ok");
	fflush(stdout);
}

bool watch_run(const struct soak_options *o, uint64_t seed, uint16_t port)
{
	static struct watch_soak soak;
	struct watch_soak *s = &soak;
	const struct watch_limits limits = { o->daemons, o->length_ms };

	memset(s, 0, sizeof(*s));
	s->options = o;
	s->port = port;
	/* A network of its own on loopback, as the daemons of a fleet have the
	 * same ports at different addresses. */
	snprintf(s->address, sizeof(s->address), "127.%u.%u.",
		 64 + (port >> 8) % 128, port & 255);
	strcpy(s->dir, "/tmp/azwatch.XXXXXX");
	if (!mkdtemp(s->dir))
		abort();
	watch_plan_draw(&s->plan, &limits, seed);
	start_all(s);
	run_plan(s);
	judge_recovery(s);
	stop_all(s);
	judge_runs(s);
	print_row(s, seed);
	if (s->late || s->other || o->keep)
		fprintf(stderr, "# seed %llu: logs in %s\n",
			(unsigned long long)seed, s->dir);
	else
		folder_remove(s->dir);
	return !s->late && !s->other;
}
