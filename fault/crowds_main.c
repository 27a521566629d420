/**
 * @file
 * Program: crowds of clients that misbehave, each case against a fleet of its
 * own. A case holds if the daemon lives, its memory and its descriptors stay
 * under their bounds, and an ordinary request is answered while the crowd is
 * connected and after it has gone. Exit status 1 if a case does not hold, 2 if
 * no ports are free or a name is unknown.
 */
#include <argp.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "fault/fault.h"

#define CLIENTS_MAX 1024 /**< of a crowd */
#define CROWDS_MAX 4
/** Bytes that a client sends before the next one's turn. */
#define TURN_BYTES (64U << 10)
/** Receive buffer of a client that does not read. */
#define SMALL_RECEIVE_BUFFER_BYTES 4096
/** The crowd has come to rest when no client has sent or received for so long.
 */
#define REST_MS 2000
/** The memory of the smallest VM of the users' sites. */
#define SMALLEST_VM_MB 160
/** The operator's limit of a body on the users' sites. */
#define BODY_LIMIT_BYTES (64U << 20)
/** The limit of a head in the cases' configuration. */
#define HEADER_LIMIT_BYTES (64U << 10)
/** Chunks and requests that are repeated are sent in units of about this. */
#define UNIT_BYTES 4096
/** Just short of 16 MiB, and of an answer's limit of 4 MiB. */
#define SHORT_OF_16_MIB 16700000U
#define LONG_ANSWER_BYTES 3900000U
/** Offsets of ports of the fleet that no other process uses. */
#define PORT_READY 56
#define PORT_ADMIN 57

#define CONF(limits)                                                    \
	"[limits]\nbody_bytes = 67108864\nheader_bytes = 65536\n"       \
	"header_timeout_ms = 600000\nidle_timeout_ms = 600000\n" limits \
	"[route upload]\npath = /upload\nmethods = POST\n"              \
	"service = stockroom\nidempotent = yes\ndeadline_ms = 60000\n"

#define ORGANISATION                       \
	"Azurehold-Organisation: desk\r\n" \
	"Authorization: Bearer desk-token\r\n"
#define GET_STOCK "GET /stock/x HTTP/1.1\r\nHost: x\r\n" ORGANISATION "\r\n"
/* Its deadline leaves time for many long answers of few workers. */
#define POST_EMPTY                                          \
	"POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION \
	"Azurehold-Deadline-Ms: 50000\r\nContent-Length: 0\r\n\r\n"
#define POST_CHUNKED                                        \
	"POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION \
	"Transfer-Encoding: chunked\r\n\r\n"

/** What each client of a crowd sends and reads. */
struct crowd_plan {
	uint32_t clients; /**< number */
	uint16_t port;
	const char *head; /**< all clients send it before any sends more */
	struct buf unit; /**< sent again and again after that */
	uint64_t stream_bytes; /**< of the units that each client sends */
	bool reads; /**< reads what comes */
};

struct client {
	int32_t fd; /**< -1: closed */
	uint64_t sent_bytes;
};

/** The highest values seen in a case. */
struct peaks {
	uint64_t memory_bytes; /**< resident, and received but not read */
	uint32_t descriptors;
};

struct crowd {
	struct crowd_plan plan;
	struct client clients[CLIENTS_MAX];
};

/** A case and its state. */
struct run {
	struct fleet *fleet;
	struct crowd crowds[CROWDS_MAX];
	uint32_t crowd_count;
	struct peaks peaks;
	bool good; /**< each check of the case itself has held */
};

struct crowd_case {
	const char *name;
	uint32_t memory_mb; /**< setting, and bound of the daemon's memory */
	uint32_t descriptors_max; /**< limit, and bound; 0: see below */
	uint32_t answer_bytes;
	const char *conf_text;
	void (*run)(struct run *r);
};

/** Bound of the descriptors where a case sets none: a client each, and as many
 * again as a small fleet needs. */
#define DESCRIPTORS_BOUND 2048

/* ---- what the daemon uses ---- */

static uint64_t status_kb(pid_t pid, const char *field)
{
	char path[64];
	char line[256];
	uint64_t kb = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in))
		if (!strncmp(line, field, strlen(field)))
			kb = strtoull(line + strlen(field) + 1, NULL, 10);
	if (in)
		fclose(in);
	return kb;
}

static uint32_t count_descriptors(pid_t pid)
{
	char path[64];
	uint32_t n = 0;
	DIR *d;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	d = opendir(path);
	while (d && readdir(d))
		n++;
	if (d)
		closedir(d);
	/* Without "." and "..". */
	return n > 2 ? n - 2 : 0;
}

/* Bytes that the kernel has received for the port and the daemon has not read.
 * The users' platform counts them as memory of the process. */
static uint64_t unread_bytes(uint16_t port)
{
	uint64_t sum = 0;
	char line[512];
	FILE *in = fopen("/proc/net/tcp", "r");

	while (in && fgets(line, sizeof(line), in)) {
		unsigned int local_port;
		unsigned int state;
		unsigned int queue;

		if (sscanf(line, " %*u: %*x:%x %*x:%*x %x %*x:%x", &local_port,
			   &state, &queue) == 3 &&
		    local_port == port && state != 10)
			sum += queue;
	}
	if (in)
		fclose(in);
	return sum;
}

static void take_peaks(struct run *r)
{
	pid_t pid = r->fleet->daemons[0].process.pid;
	uint64_t unread = unread_bytes(daemon_port(r->fleet, 0));
	uint64_t now_bytes = (status_kb(pid, "VmRSS") << 10) + unread;
	uint64_t high_bytes = status_kb(pid, "VmHWM") << 10;
	uint32_t n = count_descriptors(pid);

	if (now_bytes > r->peaks.memory_bytes)
		r->peaks.memory_bytes = now_bytes;
	if (high_bytes > r->peaks.memory_bytes)
		r->peaks.memory_bytes = high_bytes;
	if (n > r->peaks.descriptors)
		r->peaks.descriptors = n;
}

/* ---- the crowd ---- */

static void client_close(struct client *k)
{
	if (k->fd >= 0)
		close(k->fd);
	k->fd = -1;
}

static void crowd_close(struct crowd *c)
{
	for (uint32_t i = 0; i < c->plan.clients; i++)
		client_close(&c->clients[i]);
}

/* A client whose connection the daemon closes or refuses stays closed. */
static void crowd_connect(struct crowd *c)
{
	const int size = SMALL_RECEIVE_BUFFER_BYTES;

	for (uint32_t i = 0; i < c->plan.clients; i++) {
		struct client *k = &c->clients[i];
		size_t len = strlen(c->plan.head);

		memset(k, 0, sizeof(*k));
		k->fd = http_connect(c->plan.port);
		if (k->fd < 0)
			continue;
		fcntl(k->fd, F_SETFL, O_NONBLOCK);
		if (!c->plan.reads)
			setsockopt(k->fd, SOL_SOCKET, SO_RCVBUF, &size,
				   sizeof(size));
		if (send(k->fd, c->plan.head, len, MSG_NOSIGNAL) !=
		    (ssize_t)len)
			client_close(k);
	}
}

/* Sends one turn's bytes; true if any were sent. */
static bool client_send(const struct crowd_plan *p, struct client *k)
{
	uint64_t turn_end = k->sent_bytes + TURN_BYTES;
	bool any = false;

	while (k->fd >= 0 && k->sent_bytes < p->stream_bytes &&
	       k->sent_bytes < turn_end) {
		uint32_t at = (uint32_t)(k->sent_bytes % p->unit.len_bytes);
		uint64_t n = p->unit.len_bytes - at;
		ssize_t sent;

		if (n > p->stream_bytes - k->sent_bytes)
			n = p->stream_bytes - k->sent_bytes;
		sent = send(k->fd, p->unit.data + at, n, MSG_NOSIGNAL);
		if (sent < 0 && errno == EAGAIN)
			break;
		if (sent <= 0) {
			client_close(k);
			break;
		}
		k->sent_bytes += (uint64_t)sent;
		any = true;
	}
	return any;
}

static bool client_read(struct client *k)
{
	char data[65536];
	ssize_t n = k->fd >= 0 ? recv(k->fd, data, sizeof(data), 0) : -1;

	if (k->fd >= 0 && (!n || (n < 0 && errno != EAGAIN)))
		client_close(k);
	if (n <= 0)
		return false;
	return true;
}

/* Has each client of the crowd send and read once; true if any has. */
static bool crowd_turn(struct crowd *c)
{
	bool any = false;

	for (uint32_t i = 0; i < c->plan.clients; i++) {
		any = client_send(&c->plan, &c->clients[i]) || any;
		any = (c->plan.reads && client_read(&c->clients[i])) || any;
	}
	return any;
}

/* Lets the clients send in turns, so that all grow together, until none has
 * sent or read for REST_MS. */
static void crowds_send(struct run *r)
{
	int64_t until_us = clock_now_us() + REST_MS * US_PER_MS;
	uint32_t turns = 0;

	while (clock_now_us() < until_us) {
		bool any = false;

		for (uint32_t i = 0; i < r->crowd_count; i++)
			any = crowd_turn(&r->crowds[i]) || any;
		if (any)
			until_us = clock_now_us() + REST_MS * US_PER_MS;
		else
			sleep_ms(20);
		if (!any || turns++ % 16 == 0)
			take_peaks(r);
	}
}

/* Waits until the daemon's memory has come to rest, as it still receives
 * answers of workers. */
static void wait_memory_at_rest(struct run *r)
{
	uint64_t before_kb = 0;

	for (uint32_t ms = 0; ms < HANG_TIMEOUT_MS; ms += REST_MS) {
		uint64_t kb =
			status_kb(r->fleet->daemons[0].process.pid, "VmRSS");

		if (kb < before_kb + 1024 && before_kb < kb + 1024)
			return;
		before_kb = kb;
		for (uint32_t i = 0; i < REST_MS; i += 50) {
			take_peaks(r);
			sleep_ms(50);
		}
	}
}

static void crowds_run(struct run *r)
{
	for (uint32_t i = 0; i < r->crowd_count; i++)
		crowd_connect(&r->crowds[i]);
	crowds_send(r);
	wait_memory_at_rest(r);
}

/* A crowd at the daemon's port for callers. */
static struct crowd_plan *add_crowd(struct run *r)
{
	struct crowd_plan *p = &r->crowds[r->crowd_count++].plan;

	p->port = daemon_port(r->fleet, 0);
	return p;
}

/* ---- ordinary requests ---- */

static bool lives(struct run *r)
{
	struct process *p = &r->fleet->daemons[0].process;

	if (p->pid && waitpid(p->pid, &p->status, WNOHANG) == p->pid) {
		p->pid = 0;
		p->exited = true;
	}
	return p->pid;
}

/* Sends a request on a new connection until it is answered with 200: a refusal
 * asks the caller to come back. */
static bool request_is_answered(struct run *r, const struct buf *request)
{
	int64_t until_us = clock_now_us() + HANG_TIMEOUT_MS * US_PER_MS;
	bool answered = false;

	while (!answered && clock_now_us() < until_us && lives(r)) {
		struct http_conn c = { .fd = -1 };
		struct http_answer a;

		answered =
			http_exchange(&c, daemon_port(r->fleet, 0),
				      (char *)request->data, request->len_bytes,
				      HANG_TIMEOUT_MS, &a) == HTTP_COMPLETE &&
			a.status == 200;
		http_close(&c);
		http_answer_free(&a);
		if (!answered)
			sleep_ms(50);
	}
	return answered;
}

static void expect(struct run *r, bool held, const char *what)
{
	if (held)
		return;
	r->good = false;
	fprintf(stderr, "# %s\n", what);
}

static void expect_ordinary(struct run *r, const char *when)
{
	struct buf q = { 0 };
	char what[128];

	buf_append(&q, GET_STOCK, sizeof(GET_STOCK) - 1);
	snprintf(what, sizeof(what), "no answer to an ordinary request %s",
		 when);
	expect(r, request_is_answered(r, &q), what);
	buf_free(&q);
}

/* ---- cases ---- */

static void put_filling(struct buf *out, uint32_t bytes)
{
	static const char x[] = "xxxxxxxxxxxxxxxx";

	for (; bytes >= sizeof(x) - 1; bytes -= sizeof(x) - 1)
		buf_append(out, x, sizeof(x) - 1);
	buf_append(out, x, bytes);
}

static void put_chunk(struct buf *out, uint32_t bytes)
{
	buf_printf(out, "%x\r\n", bytes);
	put_filling(out, bytes);
	buf_append(out, "\r\n", 2);
}

/* Bodies in chunks that all begin before any grows, and stop short of their
 * end. */
static void add_chunked(struct run *r, uint32_t clients, uint32_t chunk_bytes,
			uint64_t body_bytes)
{
	struct crowd_plan *p = add_crowd(r);
	uint32_t chunks = 0;

	p->clients = clients;
	p->head = POST_CHUNKED;
	while (p->unit.len_bytes < UNIT_BYTES) {
		put_chunk(&p->unit, chunk_bytes);
		chunks++;
	}
	p->stream_bytes = body_bytes / ((uint64_t)chunk_bytes * chunks) *
			  p->unit.len_bytes;
	p->reads = true;
}

static void large_chunks(struct run *r)
{
	add_chunked(r, 24, 65536, SHORT_OF_16_MIB);
	crowds_run(r);
}

static void small_chunks(struct run *r)
{
	add_chunked(r, 24, 16, 13000000);
	crowds_run(r);
}

/* Far over the operator's limit, not announced. */
static void bodies_without_end(struct run *r)
{
	add_chunked(r, 12, 65536, 4ULL * BODY_LIMIT_BYTES);
	crowds_run(r);
}

/* One chunk of 4 GB is announced; the clients then send of it what they can. */
static void huge_chunk(struct run *r)
{
	struct crowd_plan *p = add_crowd(r);
	static char head[512] = POST_CHUNKED "ffffffff\r\n";

	p->clients = 24;
	p->head = head;
	p->stream_bytes = SHORT_OF_16_MIB;
	put_filling(&p->unit, 65536);
	p->reads = true;
	crowds_run(r);
}

/* Bodies that are announced and never sent must not take the room of others. */
static void announced_only(struct run *r)
{
	struct crowd_plan *p = add_crowd(r);
	struct buf q = { 0 };

	p->clients = 24;
	p->head = "POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION
		  "Content-Length: 16777216\r\n\r\n";
	p->reads = true;
	crowds_run(r);
	buf_printf(&q, "POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION
		       "Content-Length: 100000\r\n\r\n");
	put_filling(&q, 100000);
	expect(r, request_is_answered(r, &q),
	       "no answer to a body of 100 kB beside the crowd");
	buf_free(&q);
}

/* Heads that stay incomplete. */
static void add_endless_heads(struct run *r, uint32_t clients)
{
	struct crowd_plan *p = add_crowd(r);

	p->clients = clients;
	p->head = "GET /stock/x HTTP/1.1\r\nHost: x\r\nName: ";
	put_filling(&p->unit, 4096);
	p->stream_bytes = HEADER_LIMIT_BYTES - 100;
	p->reads = true;
}

static void endless_heads(struct run *r)
{
	add_endless_heads(r, 1000);
	crowds_run(r);
}

/* Answers that the clients ask for and do not read. */
static void add_unread_answers(struct run *r, uint32_t clients)
{
	struct crowd_plan *p = add_crowd(r);

	p->clients = clients;
	p->head = POST_EMPTY;
}

static void unread_answers(struct run *r)
{
	add_unread_answers(r, 64);
	crowds_run(r);
}

/* Long answers that are read, on connections that are kept. */
static void kept_connections(struct run *r)
{
	struct crowd_plan *p = add_crowd(r);

	p->clients = 64;
	p->head = POST_EMPTY;
	p->reads = true;
	crowds_run(r);
}

/* Long answers of workers that fail, to requests that are tried again. */
static void failed_answers(struct run *r)
{
	for (uint32_t i = 0; i < r->fleet->worker_count; i++)
		worker_set_fault(r->fleet, i, "mode=errors&percent=100");
	add_unread_answers(r, 64);
	r->crowds[0].plan.reads = true;
	crowds_run(r);
	for (uint32_t i = 0; i < r->fleet->worker_count; i++)
		worker_set_fault(r->fleet, i, "mode=none");
}

#define POST_PAYMENT                                          \
	"POST /payments HTTP/1.1\r\nHost: x\r\n" ORGANISATION \
	"Content-Length: 0\r\n"

/* Long answers to payments, which are stored for repeats of their tickets. */
static void stored_answers(struct run *r)
{
	struct http_conn c = { .fd = -1 };
	char ticket[TICKET_TEXT_MAX_BYTES] = "";

	for (uint32_t i = 0; i < 2 * 64; i++) {
		struct buf q = { 0 };
		struct http_answer a;

		buf_printf(&q, POST_PAYMENT);
		if (*ticket)
			buf_printf(&q, "Azurehold-Ticket: %s\r\n", ticket);
		buf_printf(&q, "\r\n");
		http_exchange(&c, daemon_port(r->fleet, 0), (char *)q.data,
			      q.len_bytes, HANG_TIMEOUT_MS, &a);
		memcpy(ticket, a.ticket, sizeof(ticket));
		http_answer_free(&a);
		buf_free(&q);
		take_peaks(r);
	}
	http_close(&c);
}

/* As many pipelined requests as a connection may have, answers not read. */
static void add_pipelined_answers(struct run *r)
{
	struct crowd_plan *p = add_crowd(r);

	p->clients = 4;
	p->head = POST_EMPTY;
	buf_append(&p->unit, POST_EMPTY, sizeof(POST_EMPTY) - 1);
	p->stream_bytes = 31ULL * p->unit.len_bytes;
}

static void pipelined_answers(struct run *r)
{
	add_pipelined_answers(r);
	crowds_run(r);
}

/* Requests that the daemon refuses itself, pipelined without end; the answers
 * are not read. */
static void pipelined_refusals(struct run *r)
{
	struct crowd_plan *p = add_crowd(r);

	p->clients = 64;
	p->head = "GET /none HTTP/1.1\r\nHost: x\r\n" ORGANISATION "\r\n";
	while (p->unit.len_bytes < UNIT_BYTES)
		buf_append(&p->unit, p->head, (uint32_t)strlen(p->head));
	p->stream_bytes = 8ULL << 20;
	crowds_run(r);
}

/* More connections than the process has descriptors; none sends a request. */
static void connect_only(struct run *r, uint16_t port)
{
	struct crowd_plan *p = add_crowd(r);

	p->clients = 300;
	p->port = port;
	p->head = "";
	p->reads = true;
	crowds_run(r);
}

static void idle_connections(struct run *r)
{
	connect_only(r, daemon_port(r->fleet, 0));
}

/* The same at the address of the load balancer's health check. */
static void health_connections(struct run *r)
{
	connect_only(r, (uint16_t)(r->fleet->first_port + PORT_READY));
}

/* The same at the port for other daemons. */
static void peer_connections(struct run *r)
{
	connect_only(r, peer_port(r->fleet, 0));
}

/* The same at the port of the administration API. */
static void admin_connections(struct run *r)
{
	connect_only(r, (uint16_t)(r->fleet->first_port + PORT_ADMIN));
}

/* Long records at the port for other daemons, by clients without its key. */
static void peer_records(struct run *r)
{
	struct crowd_plan *p = add_crowd(r);

	p->clients = 48;
	p->port = peer_port(r->fleet, 0);
	p->head = "\x80\x7f\xff\xff";
	put_filling(&p->unit, 65536);
	p->stream_bytes = 8300000;
	p->reads = true;
	crowds_run(r);
}

/* Several of the above at once. */
static void mixed(struct run *r)
{
	add_chunked(r, 24, 65536, SHORT_OF_16_MIB);
	add_endless_heads(r, 500);
	add_unread_answers(r, 32);
	add_pipelined_answers(r);
	crowds_run(r);
}

/* A single body at the operator's limit is served in calm. */
static void expect_upload(struct run *r, const struct buf *request,
			  const char *what)
{
	struct http_conn c = { .fd = -1 };
	struct http_answer a;
	bool good = http_exchange(&c, daemon_port(r->fleet, 0),
				  (char *)request->data, request->len_bytes,
				  HANG_TIMEOUT_MS, &a) == HTTP_COMPLETE &&
		    a.status == 200 && a.body.data;

	buf_append(&a.body, "", 1);
	expect(r,
	       good && strstr((char *)a.body.data, "\"body_bytes\":67108864"),
	       what);
	http_close(&c);
	http_answer_free(&a);
	take_peaks(r);
}

static void largest_body(struct run *r)
{
	struct buf q = { 0 };

	buf_printf(&q,
		   "POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION
		   "Azurehold-Deadline-Ms: 50000\r\nContent-Length: %u\r\n\r\n",
		   BODY_LIMIT_BYTES);
	put_filling(&q, BODY_LIMIT_BYTES);
	expect_upload(r, &q, "a body at the limit, with a length");
	q.len_bytes = 0;
	buf_printf(&q, "POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION
		       "Azurehold-Deadline-Ms: 50000\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n");
	for (uint32_t i = 0; i < BODY_LIMIT_BYTES / 65536; i++)
		put_chunk(&q, 65536);
	buf_printf(&q, "0\r\n\r\n");
	expect_upload(r, &q, "a body at the limit, in chunks");
	buf_free(&q);
}

static const struct crowd_case cases[] = {
	{ "largest-body", SMALLEST_VM_MB, 0, 0, CONF(""), largest_body },
	{ "large-chunks", SMALLEST_VM_MB, 0, 0, CONF(""), large_chunks },
	{ "small-chunks", SMALLEST_VM_MB, 0, 0, CONF(""), small_chunks },
	{ "bodies-without-end", SMALLEST_VM_MB, 0, 0, CONF(""),
	  bodies_without_end },
	{ "huge-chunk", SMALLEST_VM_MB, 0, 0, CONF(""), huge_chunk },
	{ "announced-only", SMALLEST_VM_MB, 0, 0, CONF(""), announced_only },
	{ "endless-heads", 64, 0, 0, CONF(""), endless_heads },
	{ "unread-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES, CONF(""),
	  unread_answers },
	{ "kept-connections", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES, CONF(""),
	  kept_connections },
	{ "failed-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES, CONF(""),
	  failed_answers },
	{ "stored-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES, CONF(""),
	  stored_answers },
	{ "pipelined-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES, CONF(""),
	  pipelined_answers },
	{ "pipelined-refusals", 64, 0, 0, CONF(""), pipelined_refusals },
	{ "mixed", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES, CONF(""), mixed },
	{ "idle-connections", SMALLEST_VM_MB, 256, 0, CONF(""),
	  idle_connections },
	{ "health-connections", SMALLEST_VM_MB, 256, 0, CONF(""),
	  health_connections },
	{ "peer-connections", SMALLEST_VM_MB, 256, 0, CONF(""),
	  peer_connections },
	{ "admin-connections", SMALLEST_VM_MB, 256, 0, CONF(""),
	  admin_connections },
	{ "peer-records", SMALLEST_VM_MB, 0, 0, CONF(""), peer_records },
};

#define CASE_COUNT (sizeof(cases) / sizeof(cases[0]))

/* ---- program ---- */

struct options {
	const char *bin;
	const char *daemon;
	bool selected[CASE_COUNT];
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
	for (uint32_t i = 0; i < CASE_COUNT; i++)
		if (!strcmp(cases[i].name, name)) {
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
		for (uint32_t i = 0; i < CASE_COUNT; i++)
			puts(cases[i].name);
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
		.conf_text = c->conf_text,
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
	for (uint32_t i = 0; i < r.crowd_count; i++)
		crowd_close(&r.crowds[i]);
	expect_ordinary(&r, "after the crowd");
	take_peaks(&r);
	expect(&r, lives(&r), "the daemon has ended");
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
	for (uint32_t i = 0; i < CASE_COUNT; i++)
		if (o.selected[i] || !o.any_selected)
			all_good = run_case(&cases[i], &o, port) && all_good;
	return all_good ? 0 : 1;
}
