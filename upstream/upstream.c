#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <apr_hash.h>
#include <apr_network_io.h>
#include <apr_portable.h>
#include <http_parser.h>

#include "upstream/upstream.h"

/* Test-only, set by "fault/run.sh --broken" in a build folder of its own:
 * a reused connection that the worker closed is replaced and the request
 * sent again. */
#ifndef AZ_TEST_BREAK_RESEND
#define AZ_TEST_BREAK_RESEND 0
#endif
/* Test-only, set by "fault/run.sh --broken" in a build folder of its own:
 * a connection whose answer is still to come is used again. */
#ifndef AZ_TEST_BREAK_REUSE
#define AZ_TEST_BREAK_REUSE 0
#endif

#define RING_SLOTS 16384
#define READ_BYTES 16384
#define IDLE_MAX_US (60 * US_PER_S)
#define IDLE_SCAN_US (5 * US_PER_S)
/* Of the time for which a worker keeps an idle connection: one that it closes
 * as a request arrives leaves the request's outcome unknown. */
#define IDLE_SHARE_PERCENT 80

enum conn_state {
	CONN_CONNECTING,
	CONN_SENDING,
	CONN_WAITING, /* request sent, answer not whole */
	CONN_IDLE,
};

struct endpoint {
	uint64_t key; /* address and port */
	struct conn *idle; /* most recently used first */
	uint32_t idle_count;
};

struct conn {
	struct poll_handler poll;
	struct upstream *up;
	struct endpoint *endpoint;
	apr_pool_t *pool;
	struct conn *next; /* in the list of active or idle connections */
	struct conn *prev;
	enum conn_state state;
	bool fresh;
	bool close_after;
	int64_t started_us;
	int64_t connect_us;
	int64_t due_us; /* connect time-out, deadline or idle limit */
	struct upstream_request req;
	struct buf out;
	uint32_t out_sent_bytes;
	http_parser parser;
	struct answer *answer;
	struct buf field;
	struct buf value;
	bool in_value;
	struct worker_headers signs;
	bool not_ours; /**< the answer read belongs to another request */
	bool whole;
	bool too_large;
	bool unframed;
};

struct upstream {
	struct duty duty;
	const struct worker_dialect_ops *dialect;
	apr_hash_t *endpoints;
	struct conn *active;
	int64_t armed_us;
	struct counter *connects;
	struct counter *reused;
	struct counter *faults;
	struct counter *skipped;
};

bool upstream_fault_is_not_run(enum upstream_fault f)
{
	return f == UPSTREAM_CONNECT_REFUSED || f == UPSTREAM_CONNECT_TIMEOUT ||
	       f == UPSTREAM_CLOSED_UNSENT || f == UPSTREAM_CANCELLED_UNSENT;
}

/* ---- lists ---- */

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

/* ---- end of a connection or request ---- */

static void conn_close(struct conn *c)
{
	duty_poll(&c->up->duty, &c->poll, 0);
	if (c->poll.sock)
		apr_socket_close(c->poll.sock);
	buf_free(&c->out);
	buf_free(&c->field);
	buf_free(&c->value);
	answer_free(c->answer);
	apr_pool_destroy(c->pool);
	free(c);
}

static void idle_drop(struct conn *c)
{
	list_remove(&c->endpoint->idle, c);
	c->endpoint->idle_count--;
	conn_close(c);
}

static void report(struct conn *c, enum upstream_fault fault)
{
	struct upstream_result *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->token = c->req.token;
	r->fault = fault;
	if (fault == UPSTREAM_OK) {
		r->answer = c->answer;
		c->answer = NULL;
	} else {
		counter_add(c->up->faults, 1);
	}
	r->connect_us = c->connect_us;
	r->total_us = clock_now_us() - c->started_us;
	r->fresh = c->fresh;
	r->draining = c->signs.worker_draining;
	r->signs = c->signs;
	if (r->answer && c->req.request)
		r->verdict = c->up->dialect->classify_answer(&c->req, r->answer,
							     &c->signs);
	c->req.sink->ops->done(c->req.sink, r);
}

static void conn_keep(struct conn *c)
{
	struct endpoint *e = c->endpoint;
	int64_t idle_us = IDLE_MAX_US;

	if (c->signs.keep_alive_s)
		idle_us = c->signs.keep_alive_s * US_PER_S *
			  IDLE_SHARE_PERCENT / 100;
	c->state = CONN_IDLE;
	c->due_us = c->up->duty.now_us + idle_us;
	list_add(&e->idle, c);
	e->idle_count++;
	duty_poll(&c->up->duty, &c->poll, APR_POLLIN);
	arm(c->up, c->up->duty.now_us + IDLE_SCAN_US);
}

/* A kept connection that brought no byte of an answer may have lost its path,
 * and those that were kept beside it with it. */
static bool fell_silent(const struct conn *c, enum upstream_fault fault)
{
	return fault == UPSTREAM_TIMEOUT && !c->fresh && !c->answer &&
	       c->state == CONN_WAITING;
}

/* Ends the request; a connection in an uncertain state is not used again, so
 * that a late answer cannot reach another caller. */
static void conn_fail(struct conn *c, enum upstream_fault fault)
{
	list_remove(&c->up->active, c);
	while (fell_silent(c, fault) && c->endpoint->idle)
		idle_drop(c->endpoint->idle);
	report(c, fault);
	if (AZ_TEST_BREAK_REUSE && fault == UPSTREAM_TIMEOUT &&
	    c->state == CONN_WAITING && !c->answer)
		conn_keep(c);
	else
		conn_close(c);
}

static void conn_finish(struct conn *c)
{
	struct endpoint *e = c->endpoint;

	list_remove(&c->up->active, c);
	report(c, UPSTREAM_OK);
	if (c->close_after || c->state == CONN_SENDING ||
	    e->idle_count >= c->req.idle_max)
		conn_close(c);
	else
		conn_keep(c);
}

/* ---- answer parsing ---- */

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
		c->signs.keep_alive_s = (uint32_t)strtoul(
			timeout + strlen("timeout="), NULL, 10);
}

static void header_done(struct conn *c)
{
	if (!c->field.len_bytes)
		return;
	buf_append(&c->field, "", 1);
	buf_append(&c->value, "", 1);
	if (!strcasecmp((char *)c->field.data, "keep-alive"))
		read_keep_alive(c, (char *)c->value.data);
	if (!is_hop_header((char *)c->field.data) && c->req.request &&
	    c->up->dialect->read_header(&c->req, (char *)c->field.data,
					(char *)c->value.data, &c->signs))
		buf_printf(&c->answer->headers, "%s: %s\r\n",
			   (char *)c->field.data, (char *)c->value.data);
	c->field.len_bytes = 0;
	c->value.len_bytes = 0;
	c->in_value = false;
}

static int on_begin(http_parser *p)
{
	struct conn *c = p->data;

	answer_free(c->answer);
	c->answer = answer_new(ERR_NONE);
	memset(&c->signs, 0, sizeof(c->signs));
	c->field.len_bytes = c->value.len_bytes = 0;
	c->in_value = false;
	return 0;
}

static bool over_limit(struct conn *c, size_t more)
{
	if (c->answer->headers.len_bytes + c->answer->body.len_bytes +
		    c->field.len_bytes + c->value.len_bytes + more <=
	    ANSWER_MAX_BYTES)
		return false;
	c->too_large = true;
	return true;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (c->in_value)
		header_done(c);
	if (over_limit(c, n))
		return 1;
	buf_append(&c->field, at, (uint32_t)n);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->in_value = true;
	if (over_limit(c, n))
		return 1;
	buf_append(&c->value, at, (uint32_t)n);
	return 0;
}

static int on_headers(http_parser *p)
{
	struct conn *c = p->data;
	bool head = !strcmp(c->req.request->method, "HEAD");

	header_done(c);
	c->answer->http_status = p->status_code;
	if (head || p->status_code / 100 == 1 || p->status_code == 204 ||
	    p->status_code == 304)
		return head;
	/* Without a length an answer that was cut looks like a whole one. */
	if (!c->up->dialect->allows_close_delimited &&
	    !(p->flags & F_CHUNKED) && p->content_length == UINT64_MAX) {
		c->unframed = true;
		return -1;
	}
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (over_limit(c, n))
		return 1;
	buf_append(&c->answer->body, at, (uint32_t)n);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct conn *c = p->data;

	if (p->status_code / 100 == 1)
		return 0;
	if (!http_should_keep_alive(p))
		c->close_after = true;
	c->whole = true;
	c->not_ours = c->signs.request_id == REQUEST_ID_DIFFERS;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* ---- sockets ---- */

static void conn_replace(struct conn *c);

/* The worker closed its end. An answer without a length is whole then. */
static void conn_ended(struct conn *c)
{
	if (AZ_TEST_BREAK_RESEND && !c->fresh && !c->answer) {
		conn_replace(c);
		return;
	}
	if (c->answer)
		http_parser_execute(&c->parser, &parser_settings, NULL, 0);
	c->close_after = true;
	if (c->whole && !c->not_ours)
		conn_finish(c);
	else
		conn_fail(c, c->answer ? UPSTREAM_TRUNCATED : UPSTREAM_CLOSED);
}

/* An answer to an earlier request came late: ours is behind it. */
static void skip_answer(struct conn *c)
{
	counter_add(c->up->skipped, 1);
	c->whole = c->not_ours = false;
	answer_free(c->answer);
	c->answer = NULL;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
}

/* Returns how many bytes were used. */
static size_t parse(struct conn *c, const char *data, size_t n)
{
	size_t used =
		http_parser_execute(&c->parser, &parser_settings, data, n);

	while (c->whole && c->not_ours && !c->close_after) {
		skip_answer(c);
		if (used < n)
			used += http_parser_execute(&c->parser,
						    &parser_settings,
						    data + used, n - used);
	}
	return used;
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
		conn_ended(c);
		return;
	}
	if (rv != APR_SUCCESS) {
		conn_fail(c, c->answer ? UPSTREAM_TRUNCATED : UPSTREAM_CLOSED);
		return;
	}
	used = parse(c, data, n);
	if (c->whole && !c->not_ours) {
		/* Bytes after the answer belong to no request of ours. */
		if (used < n)
			c->close_after = true;
		conn_finish(c);
		return;
	}
	if (c->too_large)
		conn_fail(c, UPSTREAM_TOO_LARGE);
	else if (c->unframed || c->whole ||
		 HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		conn_fail(c, UPSTREAM_TRUNCATED);
}

static void conn_open(struct upstream *u, const struct upstream_request *r);

/* A reused connection that refused the first byte: nothing was sent, so a
 * fresh one may carry the request. */
static void conn_replace(struct conn *c)
{
	struct upstream_request req = c->req;
	struct upstream *u = c->up;

	list_remove(&u->active, c);
	conn_close(c);
	req.fresh = true;
	conn_open(u, &req);
}

static void conn_send(struct conn *c)
{
	apr_size_t n = c->out.len_bytes - c->out_sent_bytes;
	apr_status_t rv = apr_socket_send(
		c->poll.sock, (char *)c->out.data + c->out_sent_bytes, &n);

	if (rv != APR_SUCCESS && !APR_STATUS_IS_EAGAIN(rv)) {
		if (c->out_sent_bytes)
			conn_fail(c, UPSTREAM_CLOSED);
		else if (c->fresh)
			conn_fail(c, UPSTREAM_CLOSED_UNSENT);
		else
			conn_replace(c);
		return;
	}
	if (rv == APR_SUCCESS)
		c->out_sent_bytes += (uint32_t)n;
	if (c->out_sent_bytes == c->out.len_bytes) {
		c->state = CONN_WAITING;
		duty_poll(&c->up->duty, &c->poll, APR_POLLIN);
	} else {
		duty_poll(&c->up->duty, &c->poll, APR_POLLIN | APR_POLLOUT);
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
	c->due_us = c->req.deadline_us;
	arm(c->up, c->due_us);
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
		/* Closed by the worker, or bytes that nobody asked for. */
		idle_drop(c);
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

/* ---- requests ---- */

static void build_request(struct conn *c)
{
	const struct request *r = c->req.request;
	int64_t left_ms = (c->req.deadline_us - c->up->duty.now_us) / US_PER_MS;

	c->out.len_bytes = 0;
	c->out_sent_bytes = 0;
	buf_printf(&c->out, "%s %s HTTP/1.1\r\n", r->method, r->path);
	c->up->dialect->write_fleet_headers(&c->req, left_ms > 0 ? left_ms : 0,
					    &c->out);
	buf_append(&c->out, r->headers.data, r->headers.len_bytes);
	if (r->body.len_bytes || strcmp(r->method, "GET"))
		buf_printf(&c->out, "Content-Length: %u\r\n",
			   r->body.len_bytes);
	buf_append(&c->out, "\r\n", 2);
	buf_append(&c->out, r->body.data, r->body.len_bytes);
}

static void conn_begin(struct conn *c, const struct upstream_request *r)
{
	c->req = *r;
	c->started_us = clock_now_us();
	c->connect_us = 0;
	c->whole = c->not_ours = c->too_large = c->unframed = false;
	memset(&c->signs, 0, sizeof(c->signs));
	answer_free(c->answer);
	c->answer = NULL;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	if (r->request)
		build_request(c);
	list_add(&c->up->active, c);
}

static void conn_open(struct upstream *u, const struct upstream_request *r)
{
	struct conn *c = calloc(1, sizeof(*c));
	apr_os_sock_t fd;

	if (!c || apr_pool_create_unmanaged_ex(&c->pool, NULL, NULL))
		abort();
	c->up = u;
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
	c->due_us = c->started_us + r->connect_timeout_ms * US_PER_MS;
	if (c->due_us > r->deadline_us)
		c->due_us = r->deadline_us;
	arm(u, c->due_us);
	duty_poll(&u->duty, &c->poll, APR_POLLOUT);
}

static void conn_reuse(struct conn *c, const struct upstream_request *r)
{
	list_remove(&c->endpoint->idle, c);
	c->endpoint->idle_count--;
	c->fresh = false;
	c->state = CONN_SENDING;
	conn_begin(c, r);
	counter_add(c->up->reused, 1);
	c->due_us = r->deadline_us;
	arm(c->up, c->due_us);
	conn_send(c);
}

/* False if the worker closed the connection or sent bytes unasked. A request
 * written to it would end as unknown. */
static bool is_quiet(const struct conn *c)
{
	apr_os_sock_t fd;
	char byte;

	apr_os_sock_get(&fd, c->poll.sock);
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
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

	while (e->idle && !s->req.fresh && !is_quiet(e->idle))
		idle_drop(e->idle);
	if (e->idle && !s->req.fresh)
		conn_reuse(e->idle, &s->req);
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
	struct cancel_msg *k = az_container_of(m, struct cancel_msg, msg);
	struct upstream *u = az_container_of(to, struct upstream, duty);

	for (struct conn *c = u->active; c; c = c->next)
		if (c->req.token == k->token) {
			conn_fail(c, c->out_sent_bytes ?
					     UPSTREAM_CANCELLED :
					     UPSTREAM_CANCELLED_UNSENT);
			break;
		}
	free(k);
}

static void cancel_drop(struct msg *m)
{
	free(az_container_of(m, struct cancel_msg, msg));
}

static const struct msg_ops cancel_ops = { "upstream-cancel", cancel_run,
					   cancel_drop };

void upstream_cancel(struct upstream *u, uint64_t token)
{
	struct cancel_msg *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->msg.ops = &cancel_ops;
	k->token = token;
	duty_send(&u->duty, &k->msg);
}

/* ---- the duty ---- */

static int64_t expire_active(struct upstream *u, int64_t now_us)
{
	int64_t next_us = INT64_MAX;
	struct conn *after;

	for (struct conn *c = u->active; c; c = after) {
		after = c->next;
		if (c->due_us <= now_us)
			conn_fail(c, c->state == CONN_CONNECTING ?
					     UPSTREAM_CONNECT_TIMEOUT :
					     UPSTREAM_TIMEOUT);
		else if (c->due_us < next_us)
			next_us = c->due_us;
	}
	return next_us;
}

static bool expire_idle(struct upstream *u, int64_t now_us)
{
	apr_hash_index_t *i;
	bool any = false;

	for (i = apr_hash_first(NULL, u->endpoints); i; i = apr_hash_next(i)) {
		struct endpoint *e = apr_hash_this_val(i);
		struct conn *after;

		for (struct conn *c = e->idle; c; c = after) {
			after = c->next;
			if (c->due_us <= now_us)
				idle_drop(c);
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
	if (expire_idle(u, now_us) && next_us > now_us + IDLE_SCAN_US)
		next_us = now_us + IDLE_SCAN_US;
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
			idle_drop(e->idle);
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
	u->skipped = counter_get("upstream_answers_skipped");
	u->dialect = upstream_own_dialect.ops;
	return u;
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
