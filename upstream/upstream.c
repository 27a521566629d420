#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <apr_hash.h>
#include <apr_network_io.h>
#include <apr_portable.h>
#include <http_parser.h>

#include "upstream/upstream.h"

/* Test-only, set by "fault/run.sh --broken" in a separate build folder: when
 * the worker closes a reused connection, the request is sent again on a new
 * one. */
#ifndef AZ_TEST_BREAK_RESEND
#define AZ_TEST_BREAK_RESEND 0
#endif
/* Test-only, set by "fault/run.sh --broken" in a separate build folder: a
 * connection is reused while its answer is still outstanding. */
#ifndef AZ_TEST_BREAK_REUSE
#define AZ_TEST_BREAK_REUSE 0
#endif

#define RING_SLOTS 16384
#define READ_BYTES 16384
/* Most bytes that are read for one request: a worker in trouble may send
 * answers to other requests, or interim ones, without end. */
#define READ_MAX_BYTES (2 * ANSWER_MAX_BYTES)
/* A longer body is sent from the request itself, so that it is not held twice
 * until the answer comes. */
#define BODY_COPIED_MAX_BYTES READ_BYTES
/* Most bytes of incomplete answers that are held at a time, as a part of the
 * memory. Beyond it the answers end that are longer than HELD_SMALL_BYTES: many
 * workers that send answers without end at the same time must not exhaust the
 * memory. */
#define MEMORY_SHARE_DIVISOR 8
#define MEMORY_BYTES_DEFAULT (256ULL << 20)
#define HELD_SMALL_BYTES (64U << 10)
#define KEPT_BUFFER_BYTES 4096
/* Other statuses are no HTTP, though the parser accepts up to 999. */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define IDLE_MAX_US (60 * US_PER_S)
#define IDLE_SCAN_PERIOD_US (5 * US_PER_S)
/* Share of the worker's announced keep-alive time for which an idle connection
 * is kept. It is closed before the worker would close it: if the worker did so
 * while a request is on its way, the request's outcome would be unknown. */
#define IDLE_KEEP_ALIVE_PERCENT 80

enum conn_state {
	CONN_CONNECTING,
	CONN_SENDING,
	CONN_WAITING, /* request sent, answer not complete */
	CONN_IDLE,
};

/* Address of a worker, with its idle connections. */
struct endpoint {
	uint64_t key; /* IP address and port */
	struct conn *idle; /* most recently used first */
	uint32_t idle_count;
};

struct conn {
	struct poll_handler poll;
	struct upstream *upstream;
	struct endpoint *endpoint;
	apr_pool_t *pool;
	struct conn *next; /* in the list of active or idle connections */
	struct conn *prev;
	enum conn_state state;
	bool fresh; /* carries its first request */
	bool close_after; /* not to be reused after this answer */
	int64_t started_us; /* of the request, or of the connect before it */
	int64_t connect_us; /* duration; 0 on a reused connection */
	int64_t timeout_at_us; /* connect time-out, deadline or idle limit */
	struct upstream_request req;
	struct buf output; /* head of the request, with a short body */
	const struct buf *body; /* of a long body; else NULL */
	uint32_t output_sent_bytes; /* of both */
	http_parser parser;
	struct answer *answer;
	struct buf header_name;
	struct buf header_value;
	bool in_header_value;
	struct worker_headers header_info;
	/* The answer that is being read belongs to another request. */
	bool answers_other_request;
	bool answer_complete;
	bool too_large; /* answer exceeds ANSWER_MAX_BYTES */
	/* Bit set of hashes of the request ids that were refused on this
	 * connection, see may_repeat_refusal(). */
	uint64_t refused_ids;
	uint32_t read_bytes; /* for the request in progress */
	uint32_t held_bytes; /* of the incomplete answer */
	bool length_missing; /* answer without a length is not accepted */
};

struct upstream {
	struct duty duty;
	const struct worker_dialect_ops *dialect;
	apr_hash_t *endpoints;
	struct conn *active;
	uint64_t held_bytes; /* sum over the connections */
	uint64_t held_max_bytes;
	int64_t armed_us; /* when the timer fires; 0: not armed */
	struct counter *connects;
	struct counter *reused;
	struct counter *faults;
	struct counter *answers_skipped; /* see skip_answer() */
};

bool upstream_fault_is_not_run(enum upstream_fault f)
{
	return f == UPSTREAM_CONNECT_REFUSED || f == UPSTREAM_CONNECT_TIMEOUT ||
	       f == UPSTREAM_CLOSED_UNSENT || f == UPSTREAM_CANCELLED_UNSENT;
}

enum request_id_state request_id_add(enum request_id_state s, bool matches)
{
	enum request_id_state added =
		matches ? REQUEST_ID_MATCHES : REQUEST_ID_DIFFERS;

	return s == REQUEST_ID_ABSENT || s == added ? added :
						      REQUEST_ID_AMBIGUOUS;
}

/* ---- endpoints and their connections ---- */

static void list_add(struct conn **list, struct conn *c)
{
	c->prev = NULL;
	c->next = *list;
	if (*list)
		(*list)->prev = c;
	*list = c;
}

static void list_remove(struct conn **list, struct conn *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		*list = c->next;
	if (c->next)
		c->next->prev = c->prev;
	c->next = c->prev = NULL;
}

static struct endpoint *endpoint_get(struct upstream *u, uint32_t ip,
				     uint16_t port)
{
	uint64_t key = (uint64_t)ip << 16 | port;
	struct endpoint *e = apr_hash_get(u->endpoints, &key, sizeof(key));

	if (e)
		return e;
	e = apr_pcalloc(u->duty.pool, sizeof(*e));
	e->key = key;
	apr_hash_set(u->endpoints, &e->key, sizeof(e->key), e);
	return e;
}

static void arm(struct upstream *u, int64_t at_us)
{
	if (u->armed_us && u->armed_us <= at_us)
		return;
	u->armed_us = at_us;
	duty_arm(&u->duty, at_us);
}

/* ---- closing connections and reporting results ---- */

static void set_held_bytes(struct conn *c, uint32_t bytes)
{
	c->upstream->held_bytes += bytes;
	c->upstream->held_bytes -= c->held_bytes;
	c->held_bytes = bytes;
}

static void conn_close(struct conn *c)
{
	set_held_bytes(c, 0);
	duty_poll(&c->upstream->duty, &c->poll, 0);
	if (c->poll.sock)
		apr_socket_close(c->poll.sock);
	buf_free(&c->output);
	buf_free(&c->header_name);
	buf_free(&c->header_value);
	answer_free(c->answer);
	apr_pool_destroy(c->pool);
	free(c);
}

static void idle_close(struct conn *c)
{
	list_remove(&c->endpoint->idle, c);
	c->endpoint->idle_count--;
	conn_close(c);
}

static uint64_t id_bit(const struct upstream_request *r)
{
	const char *id = r->request ? r->request->correlation : NULL;

	return id ? UINT64_C(1) << (hash_string(id) & 63) : 0;
}

/* A faulty worker may write a refusal once more on a kept connection. It is
 * skipped if it carries the id of another request. Without ids the connection
 * is not kept. */
static void note_refusal(struct conn *c, const struct upstream_result *r)
{
	if (r->verdict != WORKER_DID_NOT_RUN &&
	    r->verdict != WORKER_ID_MISMATCH && r->answer->http_status != 503)
		return;
	c->refused_ids |= id_bit(&c->req);
	if (!c->upstream->dialect->identifies_requests)
		c->close_after = true;
}

/* True if a refusal that is written once more on this connection would be taken
 * for that of `r`, which has the id of a request that was refused on it. */
static bool may_repeat_refusal(const struct conn *c,
			       const struct upstream_request *r)
{
	return c->refused_ids & id_bit(r);
}

static void report_result(struct conn *c, enum upstream_fault fault)
{
	struct upstream_result *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	set_held_bytes(c, 0);
	r->token = c->req.token;
	r->fault = fault;
	if (fault == UPSTREAM_OK) {
		r->answer = c->answer;
		c->answer = NULL;
	} else {
		counter_add(c->upstream->faults, 1);
	}
	r->connect_us = c->connect_us;
	r->total_us = clock_now_us() - c->started_us;
	r->fresh = c->fresh;
	r->header_info = c->header_info;
	if (r->answer && c->req.request) {
		r->verdict = c->upstream->dialect->classify_answer(
			&c->req, r->answer, &c->header_info);
		note_refusal(c, r);
	}
	c->req.sink->ops->done(c->req.sink, r);
}

/* Frees the buffer of an idle connection if it has grown. */
static void trim(struct buf *b)
{
	if (b->cap_bytes > KEPT_BUFFER_BYTES)
		buf_free(b);
}

static void conn_keep_idle(struct conn *c)
{
	struct endpoint *e = c->endpoint;
	int64_t idle_us = IDLE_MAX_US;

	trim(&c->output);
	trim(&c->header_name);
	trim(&c->header_value);

	if (c->header_info.keep_alive_s)
		idle_us = c->header_info.keep_alive_s * US_PER_S *
			  IDLE_KEEP_ALIVE_PERCENT / 100;
	c->state = CONN_IDLE;
	c->timeout_at_us = c->upstream->duty.now_us + idle_us;
	list_add(&e->idle, c);
	e->idle_count++;
	duty_poll(&c->upstream->duty, &c->poll, APR_POLLIN);
	arm(c->upstream, c->upstream->duty.now_us + IDLE_SCAN_PERIOD_US);
}

/* True if a reused connection timed out without a byte of the answer. The
 * network path to the worker may be lost, and the endpoint's idle connections
 * with it. */
static bool timed_out_without_answer(const struct conn *c,
				     enum upstream_fault fault)
{
	return fault == UPSTREAM_TIMEOUT && !c->fresh && !c->answer &&
	       c->state == CONN_WAITING;
}

/* Ends the request with a fault. The connection is not reused, as a late answer
 * on it would reach the caller of the next request. */
static void conn_fail(struct conn *c, enum upstream_fault fault)
{
	list_remove(&c->upstream->active, c);
	while (timed_out_without_answer(c, fault) && c->endpoint->idle)
		idle_close(c->endpoint->idle);
	report_result(c, fault);
	if (AZ_TEST_BREAK_REUSE && fault == UPSTREAM_TIMEOUT &&
	    c->state == CONN_WAITING && !c->answer)
		conn_keep_idle(c);
	else
		conn_close(c);
}

static void conn_finish(struct conn *c)
{
	struct endpoint *e = c->endpoint;

	list_remove(&c->upstream->active, c);
	report_result(c, UPSTREAM_OK);
	/* In CONN_SENDING part of the request is still unsent. */
	if (c->close_after || c->state == CONN_SENDING ||
	    e->idle_count >= c->req.idle_max)
		conn_close(c);
	else
		conn_keep_idle(c);
}

/* ---- parsing answers ---- */

static bool is_hop_header(const char *name)
{
	static const char *const names[] = {
		"connection",	    "keep-alive", "transfer-encoding",
		"content-length",   "trailer",	  "upgrade",
		"proxy-connection", "te",	  "proxy-authenticate",
	};

	for (uint32_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcasecmp(name, names[i]))
			return true;
	return false;
}

static void read_keep_alive(struct conn *c, const char *value)
{
	const char *timeout = strstr(value, "timeout=");

	if (timeout)
		c->header_info.keep_alive_s = (uint32_t)strtoul(
			timeout + strlen("timeout="), NULL, 10);
}

static void read_retry_after(struct conn *c, const char *value)
{
	if (c->parser.status_code == 503 &&
	    delay_parse(value, &c->header_info.retry_after_ms) != AZ_OK)
		log_write(LOG_WARN, "upstream",
			  "ignored an invalid Retry-After of a worker "
			  "reason=%s",
			  az_last_message());
}

/* True if the text contains a status line. The worker then began an answer and
 * broke it off before this one: a faulty worker may leave the first bytes of an
 * earlier answer on a kept connection. Status and headers are those of both. */
static bool has_status_line(const struct buf *text)
{
	const char *s = text->data ? (char *)text->data : "";

	while ((s = strstr(s, "HTTP/"))) {
		s += strlen("HTTP/");
		if (isdigit(s[0]) && s[1] == '.' && isdigit(s[2]) &&
		    s[3] == ' ' && isdigit(s[4]) && isdigit(s[5]) &&
		    isdigit(s[6]))
			return true;
	}
	return false;
}

/* Ends the reason phrase, which is read into `header_value`. False if it
 * contains another status line. */
static bool reason_complete(struct conn *c)
{
	bool good;

	buf_append(&c->header_value, "", 1);
	good = !has_status_line(&c->header_value);
	c->header_value.len_bytes = 0;
	return good;
}

/* False if the header contains a status line. */
static bool header_complete(struct conn *c)
{
	if (!c->header_name.len_bytes)
		return reason_complete(c);
	buf_append(&c->header_name, "", 1);
	buf_append(&c->header_value, "", 1);
	if (has_status_line(&c->header_value))
		return false;
	if (!strcasecmp((char *)c->header_name.data, "keep-alive"))
		read_keep_alive(c, (char *)c->header_value.data);
	if (!strcasecmp((char *)c->header_name.data, "retry-after"))
		read_retry_after(c, (char *)c->header_value.data);
	if (!is_hop_header((char *)c->header_name.data) && c->req.request &&
	    c->upstream->dialect->read_header(
		    &c->req, (char *)c->header_name.data,
		    (char *)c->header_value.data, &c->header_info))
		buf_printf(&c->answer->headers, "%s: %s\r\n",
			   (char *)c->header_name.data,
			   (char *)c->header_value.data);
	c->header_name.len_bytes = 0;
	c->header_value.len_bytes = 0;
	c->in_header_value = false;
	return true;
}

static int on_begin(http_parser *p)
{
	struct conn *c = p->data;

	answer_free(c->answer);
	c->answer = answer_new(ERR_NONE);
	memset(&c->header_info, 0, sizeof(c->header_info));
	c->header_name.len_bytes = c->header_value.len_bytes = 0;
	c->in_header_value = false;
	return 0;
}

static bool exceeds_limit(struct conn *c, size_t more)
{
	if (c->answer->headers.len_bytes + c->answer->body.len_bytes +
		    c->header_name.len_bytes + c->header_value.len_bytes +
		    more <=
	    ANSWER_MAX_BYTES)
		return false;
	c->too_large = true;
	return true;
}

static int on_status(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (exceeds_limit(c, n))
		return 1;
	buf_append(&c->header_value, at, (uint32_t)n);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if ((c->in_header_value || !c->header_name.len_bytes) &&
	    !header_complete(c))
		return 1;
	if (exceeds_limit(c, n))
		return 1;
	buf_append(&c->header_name, at, (uint32_t)n);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->in_header_value = true;
	if (exceeds_limit(c, n))
		return 1;
	buf_append(&c->header_value, at, (uint32_t)n);
	return 0;
}

static int on_headers(http_parser *p)
{
	struct conn *c = p->data;
	bool head = !strcmp(c->req.request->method, "HEAD");

	if (!header_complete(c) || p->status_code < STATUS_MIN ||
	    p->status_code > STATUS_MAX)
		return -1;
	c->answer->http_status = p->status_code;
	/* Returning 1 tells the parser that the answer has no body. */
	if (head || p->status_code / 100 == 1 || p->status_code == 204 ||
	    p->status_code == 304)
		return head;
	/* Without a length a truncated answer cannot be told from a complete
	 * one. */
	if (!c->upstream->dialect->allows_close_delimited &&
	    !(p->flags & F_CHUNKED) && p->content_length == UINT64_MAX) {
		c->length_missing = true;
		return -1;
	}
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (exceeds_limit(c, n))
		return 1;
	buf_append(&c->answer->body, at, (uint32_t)n);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct conn *c = p->data;

	if (p->status_code / 100 == 1)
		return 0;
	if (!http_should_keep_alive(p) ||
	    c->header_info.request_id == REQUEST_ID_AMBIGUOUS)
		c->close_after = true;
	c->answer_complete = true;
	c->answers_other_request =
		c->header_info.request_id == REQUEST_ID_DIFFERS;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_status = on_status,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* ---- reading answers and writing requests ---- */

static void conn_replace(struct conn *c);

/* Handles a connection that the worker has closed, which ends an answer without
 * a length. */
static void conn_closed_by_worker(struct conn *c)
{
	if (AZ_TEST_BREAK_RESEND && !c->fresh && !c->answer) {
		conn_replace(c);
		return;
	}
	if (c->answer)
		http_parser_execute(&c->parser, &parser_settings, NULL, 0);
	c->close_after = true;
	if (c->answer_complete && !c->answers_other_request)
		conn_finish(c);
	else
		conn_fail(c, c->answer ? UPSTREAM_TRUNCATED : UPSTREAM_CLOSED);
}

/* Skips a late answer to an earlier request; the expected one follows. */
static void skip_answer(struct conn *c)
{
	counter_add(c->upstream->answers_skipped, 1);
	c->answer_complete = c->answers_other_request = false;
	answer_free(c->answer);
	c->answer = NULL;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
}

/* Returns how many bytes were consumed. */
static size_t parse(struct conn *c, const char *data, size_t n)
{
	size_t used =
		http_parser_execute(&c->parser, &parser_settings, data, n);

	while (c->answer_complete && c->answers_other_request &&
	       !c->close_after) {
		skip_answer(c);
		if (used < n)
			used += http_parser_execute(&c->parser,
						    &parser_settings,
						    data + used, n - used);
	}
	return used;
}

/* True if the bytes read for this request, or held for all, are too many. */
static bool exceeds_bounds(struct conn *c, size_t more)
{
	const struct answer *a = c->answer;
	uint32_t held = c->header_name.cap_bytes + c->header_value.cap_bytes;

	c->read_bytes += (uint32_t)more;
	if (a)
		held += a->headers.cap_bytes + a->body.cap_bytes;
	set_held_bytes(c, held);
	return c->read_bytes > READ_MAX_BYTES ||
	       (c->upstream->held_bytes > c->upstream->held_max_bytes &&
		c->held_bytes > HELD_SMALL_BYTES);
}

static void conn_readable(struct conn *c)
{
	char data[READ_BYTES];
	apr_size_t n = sizeof(data);
	apr_status_t rv = apr_socket_recv(c->poll.sock, data, &n);
	size_t used;

	if (APR_STATUS_IS_EAGAIN(rv))
		return;
	if (APR_STATUS_IS_EOF(rv) || (rv == APR_SUCCESS && !n)) {
		conn_closed_by_worker(c);
		return;
	}
	if (rv != APR_SUCCESS) {
		conn_fail(c, c->answer ? UPSTREAM_TRUNCATED : UPSTREAM_CLOSED);
		return;
	}
	used = parse(c, data, n);
	if (c->answer_complete && !c->answers_other_request) {
		/* No request is outstanding that further bytes could answer. */
		if (used < n)
			c->close_after = true;
		conn_finish(c);
		return;
	}
	if (c->too_large || exceeds_bounds(c, n))
		conn_fail(c, UPSTREAM_TOO_LARGE);
	else if (c->length_missing || c->answer_complete ||
		 HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		conn_fail(c, UPSTREAM_TRUNCATED);
}

static void conn_open(struct upstream *u, const struct upstream_request *r);

/* Sends the request on a new connection instead of a reused one that failed
 * before the request's first byte was written, so that the worker has received
 * nothing. */
static void conn_replace(struct conn *c)
{
	struct upstream_request req = c->req;
	struct upstream *u = c->upstream;

	list_remove(&u->active, c);
	conn_close(c);
	req.fresh = true;
	conn_open(u, &req);
}

static uint32_t unsent_bytes(const struct conn *c)
{
	return c->output.len_bytes + (c->body ? c->body->len_bytes : 0) -
	       c->output_sent_bytes;
}

/* Writes as much of the request as the socket takes. */
static apr_status_t write_request(struct conn *c)
{
	apr_status_t rv = APR_SUCCESS;

	while (rv == APR_SUCCESS && unsent_bytes(c)) {
		uint32_t head_bytes = c->output.len_bytes;
		uint32_t sent = c->output_sent_bytes;
		bool in_head = sent < head_bytes;
		const uint8_t *data =
			in_head ? c->output.data + sent :
				  c->body->data + (sent - head_bytes);
		apr_size_t n = in_head ? head_bytes - sent : unsent_bytes(c);

		rv = apr_socket_send(c->poll.sock, (const char *)data, &n);
		if (rv == APR_SUCCESS)
			c->output_sent_bytes += (uint32_t)n;
	}
	return rv;
}

static void conn_send(struct conn *c)
{
	apr_status_t rv = write_request(c);

	if (rv != APR_SUCCESS && !APR_STATUS_IS_EAGAIN(rv)) {
		if (c->output_sent_bytes)
			conn_fail(c, UPSTREAM_CLOSED);
		else if (c->fresh)
			conn_fail(c, UPSTREAM_CLOSED_UNSENT);
		else
			conn_replace(c);
		return;
	}
	if (!unsent_bytes(c)) {
		c->state = CONN_WAITING;
		duty_poll(&c->upstream->duty, &c->poll, APR_POLLIN);
	} else {
		duty_poll(&c->upstream->duty, &c->poll,
			  APR_POLLIN | APR_POLLOUT);
	}
}

static void conn_connected(struct conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);
	apr_os_sock_t fd;

	apr_os_sock_get(&fd, c->poll.sock);
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error) {
		conn_fail(c, UPSTREAM_CONNECT_REFUSED);
		return;
	}
	c->connect_us = clock_now_us() - c->started_us;
	if (!c->req.request) {
		c->answer = answer_new(ERR_NONE);
		c->close_after = true;
		conn_finish(c);
		return;
	}
	c->state = CONN_SENDING;
	c->timeout_at_us = c->req.deadline_us;
	arm(c->upstream, c->timeout_at_us);
	conn_send(c);
}

static void conn_ready(struct poll_handler *h, int16_t events)
{
	struct conn *c = az_container_of(h, struct conn, poll);

	switch (c->state) {
	case CONN_CONNECTING:
		conn_connected(c);
		return;
	case CONN_IDLE:
		/* The worker closed it or sent unexpected bytes. */
		idle_close(c);
		return;
	case CONN_SENDING:
		if (events & APR_POLLOUT)
			conn_send(c);
		else
			conn_readable(c);
		return;
	case CONN_WAITING:
		conn_readable(c);
		return;
	}
}

static const struct poll_ops conn_poll_ops = { conn_ready };

/* ---- starting and cancelling requests ---- */

static void build_request(struct conn *c)
{
	const struct request *r = c->req.request;
	int64_t left_ms =
		(c->req.deadline_us - c->upstream->duty.now_us) / US_PER_MS;

	c->output.len_bytes = 0;
	c->output_sent_bytes = 0;
	c->body = NULL;
	buf_printf(&c->output, "%s %s HTTP/1.1\r\n", r->method, r->path);
	c->upstream->dialect->write_fleet_headers(
		&c->req, left_ms > 0 ? left_ms : 0, &c->output);
	buf_append(&c->output, r->headers.data, r->headers.len_bytes);
	if (r->body.len_bytes || strcmp(r->method, "GET"))
		buf_printf(&c->output, "Content-Length: %u\r\n",
			   r->body.len_bytes);
	buf_append(&c->output, "\r\n", 2);
	if (r->body.len_bytes > BODY_COPIED_MAX_BYTES)
		c->body = &r->body;
	else
		buf_append(&c->output, r->body.data, r->body.len_bytes);
}

static void conn_begin(struct conn *c, const struct upstream_request *r)
{
	c->req = *r;
	c->started_us = clock_now_us();
	c->connect_us = 0;
	c->answer_complete = c->answers_other_request = c->too_large =
		c->length_missing = false;
	c->read_bytes = 0;
	memset(&c->header_info, 0, sizeof(c->header_info));
	answer_free(c->answer);
	c->answer = NULL;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	if (r->request)
		build_request(c);
	list_add(&c->upstream->active, c);
}

static void conn_open(struct upstream *u, const struct upstream_request *r)
{
	struct conn *c = calloc(1, sizeof(*c));
	apr_os_sock_t fd;

	if (!c || apr_pool_create_unmanaged_ex(&c->pool, NULL, NULL))
		abort();
	c->upstream = u;
	c->endpoint = endpoint_get(u, r->ip, r->port);
	c->fresh = true;
	c->state = CONN_CONNECTING;
	c->poll.ops = &conn_poll_ops;
	conn_begin(c, r);
	counter_add(u->connects, 1);
	if (net_connect(r->ip, r->port, c->pool, &c->poll.sock) != AZ_OK) {
		conn_fail(c, UPSTREAM_CONNECT_REFUSED);
		return;
	}
	if (apr_os_sock_get(&fd, c->poll.sock) == APR_SUCCESS)
		net_keep_alive(fd);
	c->timeout_at_us = c->started_us + r->connect_timeout_ms * US_PER_MS;
	if (c->timeout_at_us > r->deadline_us)
		c->timeout_at_us = r->deadline_us;
	arm(u, c->timeout_at_us);
	duty_poll(&u->duty, &c->poll, APR_POLLOUT);
}

static void conn_reuse(struct conn *c, const struct upstream_request *r)
{
	list_remove(&c->endpoint->idle, c);
	c->endpoint->idle_count--;
	c->fresh = false;
	c->state = CONN_SENDING;
	conn_begin(c, r);
	counter_add(c->upstream->reused, 1);
	c->timeout_at_us = r->deadline_us;
	arm(c->upstream, c->timeout_at_us);
	conn_send(c);
}

/* False if the worker has closed the idle connection or sent unexpected bytes.
 * The outcome of a request written to such a connection would be unknown. */
static bool has_no_input(const struct conn *c)
{
	apr_os_sock_t fd;
	char byte;

	apr_os_sock_get(&fd, c->poll.sock);
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Returns an idle connection for the request, or NULL. */
static struct conn *find_idle(struct endpoint *e,
			      const struct upstream_request *r)
{
	struct conn *after;

	for (struct conn *c = e->idle; c; c = after) {
		after = c->next;
		if (!has_no_input(c))
			idle_close(c);
		else if (!may_repeat_refusal(c, r))
			return c;
	}
	return NULL;
}

struct send_msg {
	struct msg msg;
	struct upstream_request req;
};

static void send_run(struct msg *m, struct duty *to)
{
	struct send_msg *s = az_container_of(m, struct send_msg, msg);
	struct upstream *u = az_container_of(to, struct upstream, duty);
	struct endpoint *e = endpoint_get(u, s->req.ip, s->req.port);
	struct conn *c = s->req.fresh ? NULL : find_idle(e, &s->req);

	if (c)
		conn_reuse(c, &s->req);
	else
		conn_open(u, &s->req);
	free(s);
}

static void send_drop(struct msg *m)
{
	free(az_container_of(m, struct send_msg, msg));
}

static const struct msg_ops send_ops = { "upstream-send", send_run, send_drop };

enum az_status upstream_send(struct upstream *u,
			     const struct upstream_request *r)
{
	struct send_msg *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->msg.ops = &send_ops;
	s->req = *r;
	return duty_send(&u->duty, &s->msg);
}

struct cancel_msg {
	struct msg msg;
	uint64_t token;
};

static void cancel_run(struct msg *m, struct duty *to)
{
	struct cancel_msg *cancel = az_container_of(m, struct cancel_msg, msg);
	struct upstream *u = az_container_of(to, struct upstream, duty);

	for (struct conn *c = u->active; c; c = c->next)
		if (c->req.token == cancel->token) {
			conn_fail(c, c->output_sent_bytes ?
					     UPSTREAM_CANCELLED :
					     UPSTREAM_CANCELLED_UNSENT);
			break;
		}
	free(cancel);
}

static void cancel_drop(struct msg *m)
{
	free(az_container_of(m, struct cancel_msg, msg));
}

static const struct msg_ops cancel_ops = { "upstream-cancel", cancel_run,
					   cancel_drop };

void upstream_cancel(struct upstream *u, uint64_t token)
{
	struct cancel_msg *cancel = calloc(1, sizeof(*cancel));

	if (!cancel)
		abort();
	cancel->msg.ops = &cancel_ops;
	cancel->token = token;
	duty_send(&u->duty, &cancel->msg);
}

/* ---- timer, start and stop ---- */

/* Ends the requests whose time-out has passed; returns the next time-out. */
static int64_t expire_active(struct upstream *u, int64_t now_us)
{
	int64_t next_us = INT64_MAX;
	struct conn *after;

	for (struct conn *c = u->active; c; c = after) {
		after = c->next;
		if (c->timeout_at_us <= now_us)
			conn_fail(c, c->state == CONN_CONNECTING ?
					     UPSTREAM_CONNECT_TIMEOUT :
					     UPSTREAM_TIMEOUT);
		else if (c->timeout_at_us < next_us)
			next_us = c->timeout_at_us;
	}
	return next_us;
}

/* Closes expired idle connections; true if any others are left. */
static bool expire_idle(struct upstream *u, int64_t now_us)
{
	apr_hash_index_t *i;
	bool any = false;

	for (i = apr_hash_first(NULL, u->endpoints); i; i = apr_hash_next(i)) {
		struct endpoint *e = apr_hash_this_val(i);
		struct conn *after;

		for (struct conn *c = e->idle; c; c = after) {
			after = c->next;
			if (c->timeout_at_us <= now_us)
				idle_close(c);
			else
				any = true;
		}
	}
	return any;
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct upstream *u = az_container_of(d, struct upstream, duty);
	int64_t next_us;

	u->armed_us = 0;
	next_us = expire_active(u, now_us);
	if (expire_idle(u, now_us) && next_us > now_us + IDLE_SCAN_PERIOD_US)
		next_us = now_us + IDLE_SCAN_PERIOD_US;
	if (next_us != INT64_MAX)
		arm(u, next_us);
}

static void on_stop(struct duty *d)
{
	struct upstream *u = az_container_of(d, struct upstream, duty);
	apr_hash_index_t *i;

	while (u->active)
		conn_fail(u->active, UPSTREAM_CANCELLED);
	for (i = apr_hash_first(NULL, u->endpoints); i; i = apr_hash_next(i)) {
		struct endpoint *e = apr_hash_this_val(i);

		while (e->idle)
			idle_close(e->idle);
	}
}

static const struct duty_ops duty_ops = { "upstream", on_timer, on_stop };

struct upstream *upstream_create(struct timer_service *timers, apr_pool_t *pool)
{
	struct upstream *u = apr_pcalloc(pool, sizeof(*u));

	if (duty_init(&u->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	u->endpoints = apr_hash_make(u->duty.pool);
	u->connects = counter_get("upstream_connects");
	u->reused = counter_get("upstream_reused");
	u->faults = counter_get("upstream_faults");
	u->answers_skipped = counter_get("upstream_answers_skipped");
	u->dialect = upstream_own_dialect.ops;
	upstream_set_memory(u, MEMORY_BYTES_DEFAULT);
	return u;
}

void upstream_set_memory(struct upstream *u, uint64_t memory_bytes)
{
	u->held_max_bytes = memory_bytes / MEMORY_SHARE_DIVISOR;
}

void upstream_set_dialect(struct upstream *u, const struct worker_dialect *d)
{
	u->dialect = d->ops;
}

enum az_status upstream_start(struct upstream *u)
{
	return duty_start(&u->duty);
}

void upstream_stop(struct upstream *u)
{
	duty_stop(&u->duty);
}

void upstream_destroy(struct upstream *u)
{
	duty_destroy(&u->duty);
}
