#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault/crowd.h"

/* The memory of the smallest VM of the users' sites. */
#define SMALLEST_VM_MB 160
/* The operator's limit of a body on the users' sites. */
#define BODY_LIMIT_BYTES (64U << 20)
/* The limit of a head in the cases' configuration. */
#define HEADER_LIMIT_BYTES (64U << 10)
/* Chunks and requests that are repeated are sent in units of about this. */
#define UNIT_BYTES 4096
/* Just short of 16 MiB, and of an answer's limit of 4 MiB. */
#define SHORT_OF_16_MIB 16700000U
#define LONG_ANSWER_BYTES 3900000U

/* The time-outs let a crowd stay. */
const char crowd_conf[] =
	"[limits]\nbody_bytes = 67108864\nheader_bytes = 65536\n"
	"header_timeout_ms = 600000\nidle_timeout_ms = 600000\n"
	"[route upload]\npath = /upload\nmethods = POST\n"
	"service = stockroom\nidempotent = yes\ndeadline_ms = 60000\n";

/* Its deadline leaves time for many long answers of few workers. */
#define POST_EMPTY                                          \
	"POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION \
	"Azurehold-Deadline-Ms: 50000\r\nContent-Length: 0\r\n\r\n"
#define POST_CHUNKED                                        \
	"POST /upload HTTP/1.1\r\nHost: x\r\n" ORGANISATION \
	"Transfer-Encoding: chunked\r\n\r\n"

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
	do {
		put_chunk(&p->unit, chunk_bytes);
		chunks++;
	} while (p->unit.len_bytes < UNIT_BYTES);
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

const struct crowd_case crowd_cases[] = {
	{ "largest-body", SMALLEST_VM_MB, 0, 0, largest_body },
	{ "large-chunks", SMALLEST_VM_MB, 0, 0, large_chunks },
	{ "small-chunks", SMALLEST_VM_MB, 0, 0, small_chunks },
	{ "bodies-without-end", SMALLEST_VM_MB, 0, 0, bodies_without_end },
	{ "huge-chunk", SMALLEST_VM_MB, 0, 0, huge_chunk },
	{ "announced-only", SMALLEST_VM_MB, 0, 0, announced_only },
	{ "endless-heads", 64, 0, 0, endless_heads },
	{ "unread-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES,
	  unread_answers },
	{ "kept-connections", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES,
	  kept_connections },
	{ "failed-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES,
	  failed_answers },
	{ "stored-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES,
	  stored_answers },
	{ "pipelined-answers", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES,
	  pipelined_answers },
	{ "pipelined-refusals", 64, 0, 0, pipelined_refusals },
	{ "mixed", SMALLEST_VM_MB, 0, LONG_ANSWER_BYTES, mixed },
	{ "idle-connections", SMALLEST_VM_MB, 256, 0, idle_connections },
	{ "health-connections", SMALLEST_VM_MB, 256, 0, health_connections },
	{ "peer-connections", SMALLEST_VM_MB, 256, 0, peer_connections },
	{ "admin-connections", SMALLEST_VM_MB, 256, 0, admin_connections },
	{ "peer-records", SMALLEST_VM_MB, 0, 0, peer_records },
};

const uint32_t crowd_case_count = sizeof(crowd_cases) / sizeof(crowd_cases[0]);
