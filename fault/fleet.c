#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <jansson.h>

#include "fault/fault.h"

/* Offsets within the FLEET_PORTS ports of a fleet; at each one there is a port
 * for each of DAEMONS_MAX daemons or WORKERS_MAX workers. */
#define PORT_FRONT 0
#define PORT_PEER 8
#define PORT_PEER_BIND 16 /* behind the TCP relay */
#define PORT_MEMBER 24
#define PORT_TCP_RELAY_CONTROL 32
#define PORT_WORKER 40
#define PORT_WORKER_CONTROL 48
/* Fleet key of all daemons, as "ID:KEY". */
#define KEY "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
/* Limit of a planned stop; above stop_timeout_ms in write_settings(). */
#define STOP_TIMEOUT_MS 40000
#define POLL_MS 20 /* pause between two checks of a condition */
/* Daemons normally reach each other within about a second; fleet_wait_ready()
 * reports a longer wait than this as a failure. */
#define READY_TIMEOUT_MS 20000

void fleet_init(struct fleet *f, const char *bin, const char *daemon,
		uint16_t port)
{
	memset(f, 0, sizeof(*f));
	f->bin = bin;
	if (daemon)
		snprintf(f->daemon_program, sizeof(f->daemon_program), "%s",
			 daemon);
	else
		snprintf(f->daemon_program, sizeof(f->daemon_program),
			 "%s/bin/azhd", bin);
	f->first_port = port;
	strcpy(f->dir, "/tmp/azfault.XXXXXX");
	if (!mkdtemp(f->dir))
		abort();
}

void sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&ts, NULL);
}

uint16_t daemon_port(const struct fleet *f, uint32_t n)
{
	return (uint16_t)(f->first_port + PORT_FRONT + n);
}

uint16_t peer_port(const struct fleet *f, uint32_t n)
{
	return (uint16_t)(f->first_port + PORT_PEER + n);
}

uint16_t worker_control_port(const struct fleet *f, uint32_t n)
{
	return (uint16_t)(f->first_port + PORT_WORKER_CONTROL + n);
}

/* Counts a failure of the fleet and prints the reason. */
static void report_failure(struct fleet *f, const char *fmt, ...)
{
	va_list ap;

	f->failures++;
	va_start(ap, fmt);
	fputs("# ", stderr);
	vfprintf(stderr, fmt, ap);
	fprintf(stderr, " (%s)\n", f->dir);
	va_end(ap);
}

/* ---- processes ---- */

static int64_t file_size(const char *path)
{
	struct stat st;

	return stat(path, &st) ? 0 : st.st_size;
}

void process_start(struct process *p, const char *log, char *const *argv,
		   uint32_t descriptors_max)
{
	const struct rlimit descriptors = { descriptors_max, descriptors_max };
	pid_t parent = getpid();
	int fd;

	memset(p, 0, sizeof(*p));
	fflush(stdout);
	snprintf(p->log_path, sizeof(p->log_path), "%s", log);
	p->log_start_bytes = file_size(log);
	p->pid = fork();
	if (p->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent ||
	    (descriptors_max && setrlimit(RLIMIT_NOFILE, &descriptors)))
		_exit(1);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	execv(argv[0], argv);
	_exit(127);
}

static bool has_exited(struct process *p)
{
	if (p->pid > 0 && waitpid(p->pid, &p->status, WNOHANG) == p->pid) {
		p->pid = 0;
		p->exited = true;
	}
	return !p->pid;
}

bool process_wait_exit(struct process *p, uint32_t limit_ms)
{
	for (uint32_t ms = 0; !has_exited(p); ms += POLL_MS) {
		if (ms >= limit_ms)
			return false;
		sleep_ms(POLL_MS);
	}
	return true;
}

void process_kill(struct process *p)
{
	if (!p->pid)
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, &p->status, 0);
	p->pid = 0;
}

/* ---- daemons ---- */

static void write_settings(struct fleet *f, uint32_t n)
{
	struct daemon *d = &f->daemons[n];
	FILE *out;

	snprintf(d->settings_path, sizeof(d->settings_path), "%.80s/d%u.ini",
		 f->dir, n);
	out = fopen(d->settings_path, "w");
	if (!out)
		abort();
	fprintf(out, "[daemon]\nname = d%u\ndata_centre = %s\nregion = r%c\n",
		n, n % 2 ? "east" : "west", n % 2 ? 'e' : 'w');
	fprintf(out, "front = 127.0.0.1:%u\npeer = 127.0.0.1:%u\n",
		daemon_port(f, n), peer_port(f, n));
	if (d->has_tcp_relay)
		fprintf(out, "peer_bind = 127.0.0.1:%u\n",
			f->first_port + PORT_PEER_BIND + n);
	fprintf(out, "member = 127.0.0.1:%u\n",
		f->first_port + PORT_MEMBER + n);
	fprintf(out, "base = %s/base.ini\nseeds = ", f->dir);
	for (uint32_t i = 0; i < f->daemon_count; i++)
		fprintf(out, "%s127.0.0.1:%u", i ? ", " : "",
			f->first_port + PORT_MEMBER + i);
	fprintf(out,
		"\nmember_period_ms = 100\ndrain_ms = %u\n"
		"stop_timeout_ms = 25000\n%s[fleet]\nkeys = %s\n",
		f->options.drain_ms,
		f->options.daemon_lines ? f->options.daemon_lines : "", KEY);
	fclose(out);
}

static void write_base(struct fleet *f)
{
	char path[2 * TEXT_BYTES];
	char new_path[2 * TEXT_BYTES];
	FILE *out;

	snprintf(path, sizeof(path), "%s/base.ini", f->dir);
	snprintf(new_path, sizeof(new_path), "%s/next.ini", f->dir);
	out = fopen(new_path, "w");
	if (!out)
		abort();
	fputs("[data_centre west]\nregion = rw\n"
	      "[data_centre east]\nregion = re\n"
	      "[rank urgent]\nshare_percent = 60\ndeadline_ms = 2000\n"
	      "queue_limit = 128\n"
	      "[rank normal]\nshare_percent = 25\ndeadline_ms = 5000\n"
	      "[rank bulk]\nshare_percent = 10\ndeadline_ms = 20000\n"
	      "[service stockroom]\nfloor_percent = 70\nhedge = yes\n"
	      "health_path = /health\n"
	      "[service countinghouse]\nfloor_percent = 50\n"
	      "shed_is_not_run = yes\nhealth_path = /health\n"
	      "[route stock]\npath = /stock\nmethods = GET,HEAD\n"
	      "service = stockroom\nrank = normal\nidempotent = yes\n"
	      "deadline_ms = 2000\n"
	      "[route payments]\npath = /payments\nmethods = POST\n"
	      "service = countinghouse\nrank = urgent\nidempotent = no\n"
	      "[organisation desk]\ntoken = desk-token\n"
	      "[organisation limited]\ntoken = limited-token\n"
	      "requests_per_s = 1\nburst = 40\n",
	      out);
	for (uint32_t i = 0; i < f->worker_count; i++)
		fprintf(out,
			"[worker %s/w%u]\naddress = 127.0.0.1:%u\n"
			"data_centre = %s\n",
			f->workers[i].is_countinghouse ? "countinghouse" :
							 "stockroom",
			i, f->first_port + PORT_WORKER + i,
			f->workers[i].dc == 'e' ? "east" : "west");
	if (f->options.conf_text)
		fputs(f->options.conf_text, out);
	if (f->conf_version)
		fprintf(out,
			"[route change]\npath = /change%u\nmethods = GET\n"
			"service = stockroom\nidempotent = yes\n",
			f->conf_version);
	/* rename() so that a daemon that is just starting reads either the old
	 * file or the new one completely. */
	if (fclose(out) || rename(new_path, path))
		abort();
}

void fleet_change_conf(struct fleet *f, uint32_t version)
{
	f->conf_version = version;
	write_base(f);
	for (uint32_t i = 0; i < f->daemon_count; i++)
		daemon_signal(f, i, SIGHUP);
}

void daemon_start(struct fleet *f, uint32_t n)
{
	struct daemon *d = &f->daemons[n];
	char log[2 * TEXT_BYTES];
	char *argv[] = { f->daemon_program, "--settings", d->settings_path,
			 NULL };

	snprintf(log, sizeof(log), "%s/d%u.log", f->dir, n);
	__atomic_store_n(&d->started_us, clock_now_us(), __ATOMIC_RELEASE);
	process_start(&d->process, log, argv, f->options.descriptors_max);
	__atomic_store_n(&d->stopping, 0, __ATOMIC_RELEASE);
}

void process_wait_output(const struct process *p)
{
	for (uint32_t ms = 0; file_size(p->log_path) <= p->log_start_bytes &&
			      ms < HANG_TIMEOUT_MS;
	     ms += POLL_MS)
		sleep_ms(POLL_MS);
}

void daemon_signal(struct fleet *f, uint32_t n, int sig)
{
	const struct process *p = &f->daemons[n].process;

	if (p->pid <= 0)
		return;
	process_wait_output(p);
	kill(p->pid, sig);
}

void daemon_kill(struct fleet *f, uint32_t n)
{
	if (f->killed_count < KILLED_MAX)
		f->killed_incarnations[f->killed_count++] =
			f->daemons[n].incarnation;
	process_kill(&f->daemons[n].process);
}

bool was_killed(const struct fleet *f, uint64_t incarnation)
{
	for (uint32_t i = 0; i < f->killed_count; i++)
		if (f->killed_incarnations[i] == incarnation)
			return true;
	return false;
}

void daemon_begin_stop(struct fleet *f, uint32_t n)
{
	__atomic_store_n(&f->daemons[n].stopping, 1, __ATOMIC_RELEASE);
	daemon_signal(f, n, SIGTERM);
}

bool daemon_wait_stopped(struct fleet *f, uint32_t n)
{
	struct process *p = &f->daemons[n].process;

	if (!process_wait_exit(p, STOP_TIMEOUT_MS)) {
		report_failure(f, "d%u did not exit in time after SIGTERM", n);
		process_kill(p);
		return false;
	}
	if (!WIFEXITED(p->status) || WEXITSTATUS(p->status)) {
		report_failure(
			f,
			"d%u ended with wait status 0x%x after a planned stop",
			n, p->status);
		return false;
	}
	return true;
}

bool daemon_stop(struct fleet *f, uint32_t n)
{
	daemon_begin_stop(f, n);
	return daemon_wait_stopped(f, n);
}

/* Reads the daemon's incarnation from a new ticket, which `text` gets; false if
 * the daemon issues none yet. */
static bool read_incarnation(struct fleet *f, uint32_t n, char *text)
{
	static const char request[] =
		"POST /payments HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
		"Azurehold-Organisation: desk\r\n"
		"Authorization: Bearer desk-token\r\n\r\n";
	struct http_conn c = { .fd = -1 };
	struct http_answer a;
	struct ticket t;
	bool ok;

	ok = http_exchange(&c, daemon_port(f, n), request, sizeof(request) - 1,
			   5000, &a) == HTTP_COMPLETE &&
	     ticket_parse(a.ticket, &t) == AZ_OK;
	http_close(&c);
	if (ok) {
		f->daemons[n].incarnation = t.incarnation;
		memcpy(text, a.ticket, TICKET_TEXT_MAX_BYTES);
	}
	http_answer_free(&a);
	return ok;
}

/* True if daemon `n` answers a query for the ticket. */
static bool knows_ticket(struct fleet *f, uint32_t n, const char *ticket)
{
	char target[TICKET_TEXT_MAX_BYTES + 64];
	struct http_answer a;
	bool ok;

	snprintf(target, sizeof(target), "/.azurehold/ticket/%s", ticket);
	ok = http_single_request(daemon_port(f, n), "GET", target, &a);
	http_answer_free(&a);
	return ok;
}

/* True if the daemon's health check answers 200, which the callers' connections
 * begin with. */
static bool is_healthy(struct fleet *f, uint32_t n)
{
	struct http_answer a;
	bool ok = http_single_request(daemon_port(f, n), "GET",
				      "/.azurehold/health", &a);

	http_answer_free(&a);
	return ok;
}

/* True if each daemon knows the tickets of each other one and is healthy.
 * Otherwise daemon *from does not know those of daemon *to; both are equal if
 * that daemon issues none or is not healthy. */
static bool all_are_ready(struct fleet *f, uint32_t *from, uint32_t *to)
{
	char text[TICKET_TEXT_MAX_BYTES];

	for (uint32_t i = 0; i < f->daemon_count; i++) {
		if (!f->daemons[i].process.pid)
			continue;
		*from = *to = i;
		if (has_exited(&f->daemons[i].process)) {
			report_failure(
				f,
				"d%u ended unexpectedly with wait status 0x%x",
				i, f->daemons[i].process.status);
			continue;
		}
		if (!is_healthy(f, i) || !read_incarnation(f, i, text))
			return false;
		for (uint32_t j = 0; j < f->daemon_count; j++) {
			*from = j;
			if (f->daemons[j].process.pid &&
			    !knows_ticket(f, j, text))
				return false;
		}
	}
	return true;
}

void fleet_wait_ready(struct fleet *f)
{
	int64_t until_us = clock_now_us() + READY_TIMEOUT_MS * US_PER_MS;
	uint32_t from;
	uint32_t to;

	while (!all_are_ready(f, &from, &to)) {
		if (clock_now_us() >= until_us) {
			report_failure(f,
				       "d%u does not know the tickets of d%u",
				       from, to);
			return;
		}
		sleep_ms(POLL_MS);
	}
}

/* ---- workers ---- */

void worker_start(struct fleet *f, uint32_t n)
{
	struct worker *w = &f->workers[n];
	char program[2 * TEXT_BYTES];
	char log[2 * TEXT_BYTES];
	char runs[2 * TEXT_BYTES];
	char name[16];
	char listen[32];
	char control[32];
	char service[16];
	char answer[16];
	char *argv[] = { program, "--name",
			 name,	  "--listen",
			 listen,  "--control",
			 control, "--service-ms",
			 service, "--answer-bytes",
			 answer,  "--run-log",
			 runs,	  NULL };

	snprintf(program, sizeof(program), "%s/fake/worker_main", f->bin);
	snprintf(log, sizeof(log), "%s/w%u.log", f->dir, n);
	snprintf(runs, sizeof(runs), "%s/w%u.%u.runs", f->dir, n, w->starts);
	snprintf(name, sizeof(name), "w%u", n);
	snprintf(listen, sizeof(listen), "127.0.0.1:%u",
		 f->first_port + PORT_WORKER + n);
	snprintf(control, sizeof(control), "127.0.0.1:%u",
		 worker_control_port(f, n));
	snprintf(service, sizeof(service), "%u", f->options.service_ms);
	snprintf(answer, sizeof(answer), "%u", f->options.answer_bytes);
	w->starts++;
	process_start(&w->process, log, argv, 0);
}

void worker_kill(struct fleet *f, uint32_t n)
{
	process_kill(&f->workers[n].process);
}

/* Sends a control request to a stand-in; tries again while it starts. */
static bool control_request(uint16_t port, const char *method,
			    const char *target)
{
	struct http_answer a;
	bool ok = false;

	for (uint32_t ms = 0; !ok && ms < HANG_TIMEOUT_MS / 4; ms += POLL_MS) {
		ok = http_single_request(port, method, target, &a);
		http_answer_free(&a);
		if (!ok)
			sleep_ms(POLL_MS);
	}
	return ok;
}

void worker_set_fault(struct fleet *f, uint32_t n, const char *query)
{
	char target[256];

	snprintf(target, sizeof(target), "/fault?%s", query);
	if (!control_request(worker_control_port(f, n), "POST", target))
		report_failure(f, "w%u did not accept the fault %s", n, query);
}

void tcp_relay_set(struct fleet *f, uint32_t n, const char *query)
{
	char target[256];

	snprintf(target, sizeof(target), "/set?%s", query);
	if (!control_request(
		    (uint16_t)(f->first_port + PORT_TCP_RELAY_CONTROL + n),
		    "POST", target))
		report_failure(f, "TCP relay of d%u did not accept %s", n,
			       query);
}

/* ---- start and stop of the fleet ---- */

static void tcp_relay_start(struct fleet *f, uint32_t n)
{
	char program[2 * TEXT_BYTES];
	char log[2 * TEXT_BYTES];
	char listen[32];
	char to[32];
	char control_address[32];
	char *argv[] = { program, "--listen",  listen,		"--to",
			 to,	  "--control", control_address, NULL };

	snprintf(program, sizeof(program), "%s/fake/relay_main", f->bin);
	snprintf(log, sizeof(log), "%s/r%u.log", f->dir, n);
	snprintf(listen, sizeof(listen), "127.0.0.1:%u", peer_port(f, n));
	snprintf(to, sizeof(to), "127.0.0.1:%u",
		 f->first_port + PORT_PEER_BIND + n);
	snprintf(control_address, sizeof(control_address), "127.0.0.1:%u",
		 f->first_port + PORT_TCP_RELAY_CONTROL + n);
	process_start(&f->daemons[n].tcp_relay, log, argv, 0);
}

void fleet_start(struct fleet *f, const struct fleet_options *o)
{
	f->options = *o;
	f->daemon_count = o->daemons;
	f->worker_count = 6;
	for (uint32_t i = 0; i < f->worker_count; i++) {
		f->workers[i].dc = i % 2 ? 'e' : 'w';
		f->workers[i].is_countinghouse = i < 4;
	}
	write_base(f);
	for (uint32_t i = 0; i < f->worker_count; i++) {
		worker_start(f, i);
		worker_set_fault(f, i, "mode=none");
	}
	for (uint32_t i = 0; i < f->daemon_count; i++) {
		f->daemons[i].has_tcp_relay = o->tcp_relays;
		write_settings(f, i);
		if (o->tcp_relays) {
			tcp_relay_start(f, i);
			tcp_relay_set(f, i, "drop=none");
		}
		daemon_start(f, i);
	}
	fleet_wait_ready(f);
}

/* True if worker `n` has no request, or if it does not answer, as it was
 * killed.
 */
static bool is_idle(struct fleet *f, uint32_t n)
{
	struct http_answer a;
	json_t *o = NULL;
	bool idle = true;

	if (http_single_request(worker_control_port(f, n), "GET", "/counts",
				&a))
		o = json_loadb((char *)a.body.data, a.body.len_bytes, 0, NULL);
	if (o)
		idle = !json_integer_value(json_object_get(o, "running")) &&
		       !json_integer_value(json_object_get(o, "waiting"));
	json_decref(o);
	http_answer_free(&a);
	return idle;
}

void fleet_stop(struct fleet *f)
{
	for (uint32_t i = 0; i < f->daemon_count; i++) {
		if (f->daemons[i].process.pid &&
		    has_exited(&f->daemons[i].process))
			report_failure(
				f,
				"d%u ended unexpectedly with wait status 0x%x",
				i, f->daemons[i].process.status);
		if (f->daemons[i].process.pid)
			daemon_signal(f, i, SIGTERM);
	}
	for (uint32_t i = 0; i < f->daemon_count; i++)
		if (f->daemons[i].process.pid)
			daemon_stop(f, i);
	for (uint32_t i = 0; i < f->worker_count; i++)
		for (uint32_t ms = 0; !is_idle(f, i) && ms < HANG_TIMEOUT_MS;
		     ms += POLL_MS)
			sleep_ms(POLL_MS);
}

void fleet_abort(struct fleet *f)
{
	for (uint32_t i = 0; i < DAEMONS_MAX; i++) {
		process_kill(&f->daemons[i].process);
		process_kill(&f->daemons[i].tcp_relay);
	}
	for (uint32_t i = 0; i < WORKERS_MAX; i++)
		process_kill(&f->workers[i].process);
}

/* Reads the runs of an earlier process of worker `n` from its run log, as the
 * counts in its memory are gone. */
static void read_run_log(struct fleet *f, uint32_t n, uint32_t start,
			 void (*visit)(void *arg, const char *run_id,
				       uint32_t runs),
			 void *arg)
{
	char path[2 * TEXT_BYTES];
	char line[TEXT_BYTES];
	FILE *in;

	snprintf(path, sizeof(path), "%s/w%u.%u.runs", f->dir, n, start);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in)) {
		line[strcspn(line, "\n")] = '\0';
		visit(arg, line, 1);
	}
	if (in)
		fclose(in);
}

void fleet_for_each_run(struct fleet *f,
			void (*visit)(void *arg, const char *run_id,
				      uint32_t runs),
			void *arg)
{
	for (uint32_t i = 0; i < f->worker_count; i++) {
		uint32_t past_starts = f->workers[i].starts;
		struct http_answer a;
		json_t *o = NULL;
		const char *id;
		json_t *n;

		if (f->workers[i].process.pid)
			past_starts--;
		for (uint32_t s = 0; s < past_starts; s++)
			read_run_log(f, i, s, visit, arg);
		if (!f->workers[i].process.pid)
			continue;
		if (http_single_request(worker_control_port(f, i), "GET",
					"/runs?ids=1", &a))
			o = json_loadb((char *)a.body.data, a.body.len_bytes, 0,
				       NULL);
		if (!o)
			report_failure(f, "w%u did not report its runs", i);
		json_object_foreach(json_object_get(o, "runs"), id, n)
			visit(arg, id, (uint32_t)json_integer_value(n));
		json_decref(o);
		http_answer_free(&a);
	}
}
