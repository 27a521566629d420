#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include "fault/fault.h"

/* Workers 0 to 3 are the countinghouse's, 4 and 5 the stockroom's. */
#define COUNTINGHOUSE_WORKERS 4

static const struct fleet_options default_fleet = { .daemons = 4,
						    .service_ms = 20,
						    .drain_ms = 500 };

static void set_countinghouse_fault(struct fleet *f, const char *query)
{
	for (uint32_t i = 0; i < COUNTINGHOUSE_WORKERS; i++)
		worker_set_fault(f, i, query);
}

/* 1: a worker reads a POST on a reused connection and closes the connection
 * without an answer. Sending the POST again would run it twice. */
static void close_after_read(struct fleet *f, struct load *l, struct result *r)
{
	fleet_start(f, &default_fleet);
	load_start(l, NULL);
	load_wait_ended(l, 100);
	set_countinghouse_fault(f, "mode=close-after-read&percent=30");
	load_wait_ended(l, 400);
	set_countinghouse_fault(f, "mode=none");
	load_wait_ended(l, 100);
	load_stop(l);
}

/* 2: truncated answers, and answers that arrive after their request was given
 * up; those must not reach another caller. */
static void truncated_and_late(struct fleet *f, struct load *l,
			       struct result *r)
{
	fleet_start(f, &default_fleet);
	load_start(l, NULL);
	load_wait_ended(l, 100);
	set_countinghouse_fault(f, "mode=half&percent=30");
	load_wait_ended(l, 200);
	set_countinghouse_fault(f, "mode=late&every=4&ms=2000");
	load_wait_ended(l, 200);
	set_countinghouse_fault(f, "mode=crossed&every=3&ms=1600");
	load_wait_ended(l, 200);
	set_countinghouse_fault(f, "mode=none");
	load_wait_ended(l, 200);
	load_stop(l);
}

/* Kills daemon `n` while operations are in progress, and starts it again after
 * some more have ended without it. */
static void kill_and_restart(struct fleet *f, struct load *l, uint32_t n)
{
	load_wait_started(l, 60, HANG_TIMEOUT_MS);
	daemon_kill(f, n);
	/* If it is the only issuer, callers wait until it is back. */
	load_wait_ended(l, l->options.issuer == (int32_t)n ? 2 : 30);
	daemon_start(f, n);
	fleet_wait_ready(f);
}

/* Kills daemon 0 twice; `issuer` and `entry` are as in struct load_options. */
static void kill_twice(struct fleet *f, struct load *l, int32_t issuer,
		       int32_t entry)
{
	struct load_options o = l->options;

	o.issuer = issuer;
	o.entry = entry;
	fleet_start(f, &default_fleet);
	load_start(l, &o);
	kill_and_restart(f, l, 0);
	kill_and_restart(f, l, 0);
	load_wait_ended(l, 60);
	load_stop(l);
}

/* 3: the entry is killed; its callers present their tickets at other daemons.
 */
static void kill_entry(struct fleet *f, struct load *l, struct result *r)
{
	kill_twice(f, l, 1, 0);
}

/* 4: the issuer is killed; the outcome of its tickets is unknown and they never
 * run again. */
static void kill_issuer(struct fleet *f, struct load *l, struct result *r)
{
	kill_twice(f, l, 0, -1);
}

/* 5: each daemon is killed in turn, and thus the home of each cell. */
static void kill_home(struct fleet *f, struct load *l, struct result *r)
{
	fleet_start(f, &default_fleet);
	load_start(l, NULL);
	for (uint32_t n = 0; n < f->daemon_count; n++)
		kill_and_restart(f, l, n);
	load_wait_ended(l, 60);
	load_stop(l);
}

/* 6: each daemon is suspended (SIGSTOP) until the deadlines of its requests
 * have passed. */
static void freeze_home(struct fleet *f, struct load *l, struct result *r)
{
	fleet_start(f, &default_fleet);
	load_start(l, NULL);
	for (uint32_t n = 0; n < f->daemon_count; n++) {
		load_wait_started(l, 60, HANG_TIMEOUT_MS);
		daemon_signal(f, n, SIGSTOP);
		sleep_ms(l->options.deadline_ms + 500);
		daemon_signal(f, n, SIGCONT);
		load_wait_ended(l, 60);
	}
	load_stop(l);
}

/* Disturbs the connections to the peer port of daemon `n`: `query` begins the
 * fault at the TCP relay, `restore` ends it. */
static void disturb_link(struct fleet *f, struct load *l, uint32_t n,
			 const char *query, const char *restore)
{
	tcp_relay_set(f, n, query);
	load_wait_started(l, 60, 1500);
	tcp_relay_set(f, n, restore);
	load_wait_ended(l, 60);
}

/* 7: the connections to each daemon's peer port fail in turn: replies are held
 * and released late, then requests are; replies are dropped, then replies and
 * requests; the open connections forward nothing more; all bytes are delayed.
 */
static void disturb_links(struct fleet *f, struct load *l, struct result *r)
{
	static const struct fleet_options with_tcp_relays = { .daemons = 4,
							      .service_ms = 20,
							      .drain_ms = 500,
							      .tcp_relays =
								      true };

	fleet_start(f, &with_tcp_relays);
	load_start(l, NULL);
	for (uint32_t n = 0; n < f->daemon_count; n++) {
		disturb_link(f, l, n, "hold=from", "hold=none");
		disturb_link(f, l, n, "hold=to", "hold=none");
		disturb_link(f, l, n, "drop=from", "drop=none");
		disturb_link(f, l, n, "drop=both", "drop=none");
		/* Silent connections stay silent; delay_ms=0 changes nothing.
		 */
		disturb_link(f, l, n, "silence=open", "delay_ms=0");
		disturb_link(f, l, n, "delay_ms=100", "delay_ms=0");
	}
	load_stop(l);
}

/* Tickets that a daemon issued before its planned stop must still give the
 * stored answer. Presents up to 20 of them, at any daemon but `except`;
 * DAEMONS_MAX: at any. */
static void check_stored_answers(struct load *l, uint64_t incarnation,
				 uint32_t except, struct result *r)
{
	struct fleet *f = l->fleet;
	uint32_t checked = 0;

	for (uint32_t i = 0; i < l->operation_count && checked < 20; i++) {
		struct operation *p = &l->operations[i];
		uint32_t n = i % f->daemon_count;

		if (!p->is_payment || p->outcome != OPERATION_RAN ||
		    p->ticket.incarnation != incarnation)
			continue;
		if (n == except)
			n = (n + 1) % f->daemon_count;
		checked++;
		if (operation_resolve(l, p, n) != OPERATION_RAN) {
			log_write(LOG_ERROR, "case",
				  "p%u lost its stored answer at d%u: %s",
				  p->id, n, p->error);
			r->other++;
		}
	}
	if (!checked) {
		fprintf(stderr,
			"# no ticket of a stopped daemon was checked\n");
		r->other++;
	}
}

/* 8: planned stops interrupt no request, and the successor of the daemon keeps
 * its ledger of tickets. */
static void planned_stops(struct fleet *f, struct load *l, struct result *r)
{
	static const struct fleet_options slow_drain = { .daemons = 4,
							 .service_ms = 20,
							 .drain_ms = 1500 };
	static const struct load_options mixed = { .threads = 16,
						   .reads_percent = 50,
						   .deadline_ms = 1500,
						   .think_ms = 10,
						   .organisation = "desk",
						   .issuer = -1,
						   .entry = -1 };

	fleet_start(f, &slow_drain);
	load_start(l, &mixed);
	for (uint32_t n = 0; n < f->daemon_count; n++) {
		uint64_t incarnation = f->daemons[n].incarnation;

		load_wait_ended(l, 200);
		daemon_stop(f, n);
		check_stored_answers(l, incarnation, n, r);
		daemon_start(f, n);
		fleet_wait_ready(f);
		check_stored_answers(l, incarnation, DAEMONS_MAX, r);
	}
	load_wait_ended(l, 200);
	load_stop(l);
}

/* Presents the ticket once at daemon `n`, which must answer unknown. */
static void require_unknown(struct load *l, struct operation *p, uint32_t n,
			    struct result *r)
{
	struct http_conn c = { .fd = -1 };
	struct http_answer a;
	enum http_result exchange_result = operation_present(l, p, n, &c, &a);

	if (exchange_result == HTTP_COMPLETE)
		operation_record_answer(p, &a);
	if (exchange_result != HTTP_COMPLETE || !*a.error ||
	    strcmp(a.outcome, outcome_name(OUTCOME_UNKNOWN)) != 0) {
		log_write(LOG_ERROR, "case",
			  "p%u was not answered unknown at d%u: "
			  "result=%d status=%u %s %s",
			  p->id, n, exchange_result, a.status, a.outcome,
			  a.error);
		r->other++;
	}
	http_close(&c);
	http_answer_free(&a);
}

#define STALE_TICKETS 20

/* 9: after the restart of a killed issuer the tickets of its earlier
 * incarnation never run (again), whether they were presented before or not. */
static void restarted_issuer(struct fleet *f, struct load *l, struct result *r)
{
	struct operation *operations[STALE_TICKETS];

	fleet_start(f, &default_fleet);
	for (uint32_t i = 0; i < STALE_TICKETS; i++) {
		operations[i] = operation_new(l, true);
		if (!operation_get_ticket(l, operations[i], 0))
			r->other++;
		if (i % 2)
			operation_resolve(l, operations[i],
					  i % f->daemon_count);
	}
	daemon_kill(f, 0);
	daemon_start(f, 0);
	fleet_wait_ready(f);
	for (uint32_t i = 0; i < STALE_TICKETS; i++)
		for (uint32_t n = 0; n < f->daemon_count; n++)
			require_unknown(l, operations[i], n, r);
	/* Makes load_check() report a run of a ticket that was not presented
	 * before the kill. */
	for (uint32_t i = 0; i < STALE_TICKETS; i += 2)
		operations[i]->answered_not_run = true;
}

/* 10: workers are killed and restarted; workers accept requests and never
 * answer, with or without running them; open connections are never served
 * again. */
static void failing_workers(struct fleet *f, struct load *l, struct result *r)
{
	fleet_start(f, &default_fleet);
	load_start(l, NULL);
	load_wait_ended(l, 100);
	for (uint32_t n = 0; n < 2; n++) {
		worker_kill(f, n);
		load_wait_ended(l, 100);
		worker_start(f, n);
		worker_set_fault(f, n, "mode=none");
		load_wait_ended(l, 100);
	}
	worker_set_fault(f, 2, "mode=accept-silent");
	worker_set_fault(f, 3, "mode=accept-silent");
	load_wait_ended(l, 100);
	worker_set_fault(f, 2, "mode=one-sided");
	worker_set_fault(f, 3, "mode=one-sided");
	load_wait_ended(l, 100);
	set_countinghouse_fault(f, "mode=silent-connections");
	load_wait_ended(l, 100);
	set_countinghouse_fault(f, "mode=none");
	load_wait_ended(l, 100);
	load_stop(l);
}

#define HOSTILE_MAX 256

/** Connections that stay open after a malformed or incomplete request. */
struct hostile {
	int32_t fds[HOSTILE_MAX];
	uint32_t count;
};

/* Sends as much of `text` as a new connection takes without blocking, then
 * closes it unless `leave_open`. */
static void send_raw(struct hostile *h, uint16_t port, const char *text,
		     size_t n, bool leave_open)
{
	int32_t fd = http_connect(port);

	if (fd < 0)
		return;
	while (n) {
		ssize_t sent_now = send(fd, text, n < 4096 ? n : 4096,
					MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent_now <= 0)
			break;
		text += sent_now;
		n -= (size_t)sent_now;
	}
	if (leave_open && h->count < HOSTILE_MAX)
		h->fds[h->count++] = fd;
	else
		close(fd);
}

/* Copies a string without its terminating NUL. */
static void copy_text(char *to, const char *text)
{
	while (*text)
		*to++ = *text++;
}

/* Sends one malformed or incomplete request; every 16th round also two
 * oversized ones. */
static void send_hostile(struct hostile *h, uint16_t port, uint32_t round)
{
	static const char *const texts[] = {
		"\r\n\r\n\001\002\003 garbage\r\n\r\n",
		"GET\r\n\r\n",
		"POST /payments HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n"
		"\r\n",
		"POST /payments HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /payments HTTP/1.1\r\nHost: x\r\n"
		"Content-Length: 99999999999\r\n\r\nx",
		"POST /payments HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
		"Azurehold-Organisation: desk\r\n"
		"Authorization: Bearer desk-token\r\n\r\nhalf",
		"GET /stock/1 HTTP/1.1\r\nHost: x\r\n"
		"Azurehold-Deadline-Ms: -5\r\nAzurehold-Organisation: desk\r\n"
		"Authorization: Bearer desk-token\r\n\r\n",
		"GET /.azurehold/ticket/%00%ff HTTP/1.1\r\nHost: x\r\n\r\n",
	};
	static char big[2 << 20];
	const char *t = texts[round % 8];

	send_raw(h, port, t, strlen(t), round % 3 == 0);
	if (round % 16)
		return;
	memset(big, 'a', sizeof(big));
	copy_text(big, "GET /");
	send_raw(h, port, big, sizeof(big), false);
	copy_text(big,
		  "POST /payments HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n");
	send_raw(h, port, big, sizeof(big), false);
}

/* A request that arrives one byte at a time must get its answer. */
static void slow_request(struct load *l, uint16_t port, struct result *r)
{
	static const char text[] =
		"GET /.azurehold/health HTTP/1.1\r\nHost: x\r\n\r\n";
	int32_t fd = http_connect(port);
	char answer[16] = "";

	for (uint32_t i = 0; fd >= 0 && i < sizeof(text) - 1; i++) {
		if (send(fd, text + i, 1, MSG_NOSIGNAL) != 1)
			break;
		sleep_ms(2);
	}
	if (fd < 0 || recv(fd, answer, sizeof(answer) - 1, 0) <= 0 ||
	    strncmp(answer, "HTTP/1.1 200", 12) != 0) {
		log_write(LOG_ERROR, "case", "slow request was answered '%s'",
			  answer);
		r->other++;
	}
	if (fd >= 0)
		close(fd);
}

/* 11: malformed, oversized, incomplete and slow requests of some callers must
 * not fail the requests of others. */
static void hostile_callers(struct fleet *f, struct load *l, struct result *r)
{
	static struct hostile h;

	h.count = 0;
	fleet_start(f, &default_fleet);
	load_start(l, NULL);
	for (uint32_t i = 0; i < 400; i++) {
		send_hostile(&h, daemon_port(f, i % f->daemon_count), i);
		if (i % 50 == 0)
			slow_request(l, daemon_port(f, i % f->daemon_count), r);
	}
	load_wait_ended(l, 300);
	load_stop(l);
	while (h.count)
		close(h.fds[--h.count]);
	for (uint32_t i = 0; i < l->operation_count; i++)
		if (l->operations[i].outcome != OPERATION_RAN) {
			log_write(LOG_ERROR, "case",
				  "p%u failed beside hostile callers: %s", i,
				  l->operations[i].error);
			r->other++;
		}
}

/* Limit of the wait until a daemon opens its settings, which normally takes
 * milliseconds. */
#define SETTINGS_READ_TIMEOUT_MS 5000

#define REPEATED_TICKETS 8

/* Presents the ticket, waits for the first byte of the answer and closes the
 * connection. */
static void present_and_close(struct load *l, struct operation *p, uint32_t n)
{
	char request[1024];
	uint32_t len = operation_format_request(l, p, request, sizeof(request));
	int32_t fd = http_connect(daemon_port(l->fleet, n));

	p->attempts++;
	if (fd < 0 || send(fd, request, len, MSG_NOSIGNAL) != (ssize_t)len)
		abort();
	/* The first byte shows that the daemon has accepted the request. */
	if (recv(fd, request, 1, 0) != 1)
		log_write(LOG_ERROR, "case",
			  "p%u: the connection ended without an answer", p->id);
	close(fd);
}

/* Sends reads until the rate limit of the organisation refuses one at daemon
 * `n`; false if 200 reads, far more than its burst, are not enough. */
static bool exhaust_limit(struct load *l, uint32_t n)
{
	for (uint32_t i = 0; i < 200; i++) {
		struct operation *p = operation_new(l, false);
		struct http_conn c = { .fd = -1 };
		struct http_answer a;
		enum http_result exchange_result =
			operation_present(l, p, n, &c, &a);
		bool limited =
			exchange_result == HTTP_COMPLETE && a.status == 429;

		if (exchange_result == HTTP_COMPLETE)
			operation_record_answer(p, &a);
		http_close(&c);
		http_answer_free(&a);
		if (limited)
			return true;
	}
	return false;
}

/* 12: an entry that refuses a repeated ticket without asking its issuer, here
 * because of a rate limit, must not answer not-run: the first presentation did
 * run. */
static void refused_repeat(struct fleet *f, struct load *l, struct result *r)
{
	struct operation *operations[REPEATED_TICKETS];

	fleet_start(f, &default_fleet);
	l->options.organisation = "limited";
	for (uint32_t i = 0; i < REPEATED_TICKETS; i++) {
		operations[i] = operation_new(l, true);
		if (!operation_get_ticket(l, operations[i], 1))
			r->other++;
		present_and_close(l, operations[i], 0);
	}
	if (!exhaust_limit(l, 0)) {
		log_write(LOG_ERROR, "case", "the rate limit was not reached");
		r->other++;
	}
	for (uint32_t i = 0; i < REPEATED_TICKETS; i++)
		require_unknown(l, operations[i], 0, r);
	for (uint32_t i = 0; i < REPEATED_TICKETS; i++)
		if (operation_resolve(l, operations[i], 2) != OPERATION_RAN)
			r->other++;
}

/* Opens a FIFO for writing once a reader has opened it; -1 on a time-out. */
static int32_t open_fifo(const char *path)
{
	int32_t fd = -1;

	for (uint32_t ms = 0; fd < 0 && ms < SETTINGS_READ_TIMEOUT_MS;
	     ms += 10) {
		fd = open(path, O_WRONLY | O_NONBLOCK);
		if (fd < 0)
			sleep_ms(10);
	}
	return fd;
}

/* 13: a SIGHUP during the start must not end a daemon. The settings are a FIFO,
 * so that the daemon is still reading them when the signal arrives. */
static void early_reload(struct fleet *f, struct load *l, struct result *r)
{
	const char *path;
	char saved_path[2 * TEXT_BYTES];
	char text[4096] = "";
	FILE *in;
	int32_t fd;

	fleet_start(f, &default_fleet);
	path = f->daemons[0].settings_path;
	daemon_stop(f, 0);
	snprintf(saved_path, sizeof(saved_path), "%s.kept", path);
	in = fopen(path, "r");
	if (!in || !fread(text, 1, sizeof(text) - 1, in) || fclose(in) ||
	    rename(path, saved_path) || mkfifo(path, 0600))
		abort();
	daemon_start(f, 0);
	fd = open_fifo(path);
	/* daemon_signal() would wait for the daemon's first log line, which it
	 * writes after it has read the settings. */
	kill(f->daemons[0].process.pid, SIGHUP);
	if (fd < 0 || rename(saved_path, path) ||
	    write(fd, text, strlen(text)) != (ssize_t)strlen(text)) {
		log_write(LOG_ERROR, "case", "d0 does not read its settings");
		r->other++;
	}
	close(fd);
	fleet_wait_ready(f);
}

const struct fault_case fault_cases[] = {
	{ 1, "1 worker closes after read", close_after_read },
	{ 2, "2 truncated, late, crossed answers", truncated_and_late },
	{ 3, "3 entry killed", kill_entry },
	{ 4, "4 issuer killed", kill_issuer },
	{ 5, "5 each home killed", kill_home },
	{ 6, "6 each home frozen", freeze_home },
	{ 7, "7 links between daemons disturbed", disturb_links },
	{ 8, "8 planned stops", planned_stops },
	{ 9, "9 restarted issuer", restarted_issuer },
	{ 10, "10 workers killed, silent", failing_workers },
	{ 11, "11 hostile callers", hostile_callers },
	{ 12, "12 repeat refused by the entry", refused_repeat },
	{ 13, "13 reload during the start", early_reload },
};

const uint32_t fault_case_count = sizeof(fault_cases) / sizeof(fault_cases[0]);
