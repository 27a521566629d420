#include <semaphore.h>
#include <stdio.h>
#include <strings.h>
#include <apr_network_io.h>
#include <http_parser.h>
#include <jansson.h>

#include "cmd/azhload/load.h"

#define READ_BYTES 16384
/* Period of the checks for time-outs and ended pauses. */
#define SCAN_INTERVAL_US (10 * US_PER_MS)
#define PAUSE_MAX_US (2 * US_PER_S)

enum operation_state {
	OPERATION_WAITING, /* for a connection */
	OPERATION_IN_FLIGHT, /* an attempt waits for its answer */
	OPERATION_PAUSED, /* before a retry or repeat */
};

struct conn;

/* One logical request of a caller, over all its attempts. */
struct operation {
	struct operation *next; /* in the list of all unfinished operations */
	struct operation *prev;
	struct operation *wait_next; /* in the waiting list of its pool */
	struct stream *stream;
	enum operation_state state;
	char run_id[RUN_ID_MAX_BYTES];
	char ticket[TICKET_MAX_BYTES];
	char error[32];
	uint16_t status;
	uint32_t target;
	uint32_t attempts;
	uint32_t pauses;
	uint32_t retries_left;
	uint32_t repeats_left;
	bool proved_not_run; /* the last attempt was answered not-run */
	bool connect_failed; /* to be handled at the next scan */
	int64_t due_us; /* intended send time */
	int64_t attempt_us; /* start of the last attempt */
	int64_t until_us; /* end of the pause, or of the wait for an answer */
	struct conn *conn;
};

/* Connections to one target for one rank, and the operations that wait for one.
 * Separate pools keep a flood of one rank from delaying another rank inside
 * this tool. */
struct conn_pool {
	uint32_t open;
	struct conn *idle;
	struct operation *waiting_head;
	struct operation *waiting_tail;
};

struct conn {
	struct poll_handler handler;
	struct load *load;
	struct conn *next; /* in the idle list of its pool */
	apr_pool_t *pool;
	struct conn_pool *conn_pool;
	enum rank rank;
	struct operation *operation;
	http_parser parser;
	struct buf request;
	uint32_t sent_bytes; /* of the request */
	bool started; /* a byte of the answer came */
	bool complete; /* the whole answer came */
	char field[64]; /* name of the header that is being parsed */
	bool in_value; /* the parser is past that name */
	char ticket[TICKET_MAX_BYTES]; /* headers of the answer */
	char error[32];
	char outcome[16];
	struct buf body;
};

struct load {
	struct duty duty;
	struct timer_service *timers;
	apr_pool_t *pool;
	struct load_settings settings;
	/* After the targets comes the ticket target, if there is one. */
	apr_sockaddr_t *targets[TARGETS_MAX + 1];
	struct conn_pool pools[TARGETS_MAX + 1][RANK_COUNT];
	uint32_t pool_limit; /* connections of one pool: the limit for a rank,
				divided by the number of targets */
	struct operation *operations; /* unfinished ones */
	uint32_t next_target;
	uint64_t run_prefix; /* of all run ids of this process */
	uint32_t run_sequence; /* last part of the next run id */
	uint16_t gap_state[3]; /* of erand48() */
	int64_t start_us;
	int64_t next_scan_us;
	bool ended;
	sem_t ended_sem; /* load_run() waits for it */
	struct rank_result results[RANK_COUNT];
	uint32_t latency_capacity[RANK_COUNT];
	uint32_t attempt_capacity[RANK_COUNT];
	struct record *records;
	uint32_t record_count;
	uint32_t record_capacity;
};

static void operation_send(struct load *l, struct operation *op);

/* ---- results ---- */

/* Makes room for one more element after the `count` that are used. */
static void *grow(void *list, uint32_t count, uint32_t *capacity, size_t size)
{
	if (count < *capacity)
		return list;
	*capacity = *capacity ? 2 * *capacity : 1024;
	list = realloc(list, *capacity * size);
	if (!list)
		abort();
	return list;
}

static void keep_record(struct load *l, const struct operation *op,
			enum final_state f, int64_t latency_us)
{
	struct record *r;

	l->records = grow(l->records, l->record_count, &l->record_capacity,
			  sizeof(*r));
	r = &l->records[l->record_count++];
	memset(r, 0, sizeof(*r));
	strcpy(r->run_id, op->run_id);
	strcpy(r->error, op->error);
	r->stream = (uint8_t)(op->stream - l->settings.streams);
	r->final = (uint8_t)f;
	r->status = op->status;
	r->attempts = (uint16_t)op->attempts;
	r->sent_us = op->due_us - l->start_us;
	r->latency_us = latency_us;
}

static void operation_end(struct load *l, struct operation *op,
			  enum final_state f)
{
	enum rank k = op->stream->rank;
	struct rank_result *r = &l->results[k];
	int64_t latency_us = l->duty.now_us - op->due_us;

	r->final_counts[f]++;
	r->attempts += op->attempts;
	if (f == FINAL_ANSWERED) {
		if (latency_us <= op->stream->deadline_ms * US_PER_MS)
			r->in_time++;
		r->latency_us = grow(r->latency_us, r->latency_count,
				     &l->latency_capacity[k], sizeof(uint32_t));
		r->attempt_us = grow(r->attempt_us, r->latency_count,
				     &l->attempt_capacity[k], sizeof(uint32_t));
		r->attempt_us[r->latency_count] =
			(uint32_t)(l->duty.now_us - op->attempt_us);
		r->latency_us[r->latency_count++] = (uint32_t)latency_us;
	}
	if (l->settings.keep_records)
		keep_record(l, op, f, latency_us);
	if (op->prev)
		op->prev->next = op->next;
	else
		l->operations = op->next;
	if (op->next)
		op->next->prev = op->prev;
	free(op);
}

/* ---- connections ---- */

static struct operation *pool_take_waiting(struct conn_pool *pool)
{
	struct operation *op = pool->waiting_head;

	if (!op)
		return NULL;
	pool->waiting_head = op->wait_next;
	if (!pool->waiting_head)
		pool->waiting_tail = NULL;
	return op;
}

static void pool_remove_waiting(struct conn_pool *pool,
				const struct operation *op)
{
	struct operation *before = NULL;

	for (struct operation *q = pool->waiting_head; q;
	     before = q, q = q->wait_next) {
		if (q != op)
			continue;
		if (before)
			before->wait_next = q->wait_next;
		else
			pool->waiting_head = q->wait_next;
		if (pool->waiting_tail == q)
			pool->waiting_tail = before;
		return;
	}
}

/* Closes the connection; the pool may then open one for a waiting operation. */
static void conn_free(struct conn *c)
{
	struct conn_pool *pool = c->conn_pool;
	struct load *l = c->load;
	struct operation *op;

	duty_poll(&l->duty, &c->handler, 0);
	for (struct conn **i = &pool->idle; *i; i = &(*i)->next)
		if (*i == c) {
			*i = c->next;
			break;
		}
	apr_socket_close(c->handler.sock);
	apr_pool_destroy(c->pool);
	buf_free(&c->request);
	buf_free(&c->body);
	free(c);
	pool->open--;
	op = pool_take_waiting(pool);
	if (op)
		operation_send(l, op);
}

static void write_request(struct conn *c, const struct operation *op)
{
	const struct stream *s = op->stream;
	struct buf body = { 0 };
	struct buf *out = &c->request;

	out->len_bytes = 0;
	c->sent_bytes = 0;
	buf_printf(out,
		   "%s %s HTTP/1.1\r\nHost: azurehold\r\n"
		   "Azurehold-Run-Id: %s\r\nAzurehold-Rank: %s\r\n"
		   "Azurehold-Deadline-Ms: %u\r\n",
		   s->method, s->path, op->run_id, rank_name(s->rank),
		   s->deadline_ms);
	if (*s->organisation)
		buf_printf(out, "Azurehold-Organisation: %s\r\n",
			   s->organisation);
	if (*s->token)
		buf_printf(out, "Authorization: Bearer %s\r\n", s->token);
	if (*op->ticket)
		buf_printf(out, "Azurehold-Ticket: %s\r\n", op->ticket);
	if (!method_is_idempotent(s->method)) {
		buf_printf(&body, "{\"id\":\"%s\",\"padding\":\"%0*d\"}",
			   op->run_id, (int)s->body_bytes, 0);
		buf_printf(out,
			   "Content-Type: application/json\r\n"
			   "Content-Length: %u\r\n",
			   body.len_bytes);
	}
	buf_append(out, "\r\n", 2);
	buf_append(out, body.data, body.len_bytes);
	buf_free(&body);
}

/* Starts an attempt on the connection. The request is written when the socket
 * is ready. */
static void conn_start(struct conn *c, struct operation *op)
{
	struct load *l = c->load;

	c->operation = op;
	op->conn = c;
	op->state = OPERATION_IN_FLIGHT;
	op->attempts++;
	op->attempt_us = l->duty.now_us;
	op->until_us = l->duty.now_us + op->stream->deadline_ms * US_PER_MS +
		       l->settings.grace_us;
	c->started = c->complete = false;
	*c->ticket = *c->error = *c->outcome = 0;
	c->body.len_bytes = 0;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	write_request(c, op);
	duty_poll(&l->duty, &c->handler, APR_POLLIN | APR_POLLOUT);
}

static const struct poll_ops conn_ops;

/* Returns NULL if the connection attempt failed immediately. */
static struct conn *conn_open(struct load *l, uint32_t target, enum rank rank)
{
	struct conn_pool *pool = &l->pools[target][rank];
	struct conn *c = calloc(1, sizeof(*c));
	apr_status_t rv;

	if (!c)
		abort();
	apr_pool_create_unmanaged_ex(&c->pool, NULL, NULL);
	rv = apr_socket_create(&c->handler.sock, APR_INET, SOCK_STREAM,
			       APR_PROTO_TCP, c->pool);
	if (rv == APR_SUCCESS) {
		apr_socket_opt_set(c->handler.sock, APR_SO_NONBLOCK, 1);
		apr_socket_timeout_set(c->handler.sock, 0);
		apr_socket_opt_set(c->handler.sock, APR_TCP_NODELAY, 1);
		rv = apr_socket_connect(c->handler.sock, l->targets[target]);
	}
	if (rv != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(rv)) {
		apr_pool_destroy(c->pool);
		free(c);
		return NULL;
	}
	c->handler.ops = &conn_ops;
	c->load = l;
	c->conn_pool = pool;
	c->rank = rank;
	pool->open++;
	return c;
}

/* Starts an attempt if the pool has a connection or may open one; else the
 * operation waits for one. */
static void operation_send(struct load *l, struct operation *op)
{
	struct conn_pool *pool = &l->pools[op->target][op->stream->rank];
	struct conn *c = pool->idle;

	if (c) {
		pool->idle = c->next;
		c->next = NULL;
	} else if (pool->open < l->pool_limit) {
		c = conn_open(l, op->target, op->stream->rank);
		if (!c) {
			/* The next scan handles the failure: doing it here
			 * could recurse once for each waiting operation. */
			op->state = OPERATION_PAUSED;
			op->connect_failed = true;
			op->until_us = 0;
			return;
		}
	} else {
		op->state = OPERATION_WAITING;
		op->wait_next = NULL;
		if (pool->waiting_tail)
			pool->waiting_tail->wait_next = op;
		else
			pool->waiting_head = op;
		pool->waiting_tail = op;
		return;
	}
	conn_start(c, op);
}

/* ---- attempts ---- */

/* Schedules the next attempt, at the next target, after an exponential
 * back-off. `not_run`: the last attempt is known not to have run. */
static void operation_pause(struct load *l, struct operation *op, bool not_run)
{
	int64_t us = l->settings.pause_us
		     << (op->pauses < 10 ? op->pauses : 10);

	if (us > PAUSE_MAX_US)
		us = PAUSE_MAX_US;
	op->pauses++;
	op->proved_not_run = not_run;
	op->target = (op->target + 1) % l->settings.target_count;
	op->state = OPERATION_PAUSED;
	op->until_us = l->duty.now_us + us;
}

/* Ends the operation or starts its next attempt. `ticket` is the one in the
 * answer. */
static void operation_attempt_ended(struct load *l, struct operation *op,
				    const struct attempt_result *result,
				    const char *ticket)
{
	struct attempt_context a = { .idempotent = method_is_idempotent(
					     op->stream->method),
				     .bare = l->settings.bare,
				     .has_ticket = *op->ticket != 0,
				     .retries_left = op->retries_left,
				     .repeats_left = op->repeats_left };
	struct next_action n = decide_next(&a, result);

	op->status = result->status;
	snprintf(op->error, sizeof(op->error), "%s",
		 result->lost  ? "lost" :
		 result->error ? result->error :
				 "");
	switch (n.step) {
	case STEP_DONE:
		operation_end(l, op, n.final);
		break;
	case STEP_TICKET:
		op->repeats_left--;
		op->proved_not_run = true;
		strcpy(op->ticket, ticket);
		/* The ticket target issues tickets only. */
		if (op->target == l->settings.target_count)
			op->target =
				l->next_target++ % l->settings.target_count;
		operation_send(l, op);
		break;
	case STEP_RETRY:
		op->retries_left--;
		strcpy(op->ticket, ticket);
		operation_pause(l, op, true);
		break;
	case STEP_REPEAT:
		op->repeats_left--;
		operation_pause(l, op, false);
		break;
	}
}

/* Closes a connection that failed or timed out. Its attempt, if there is one,
 * counts as lost. */
static void conn_lost(struct conn *c)
{
	struct operation *op = c->operation;
	struct load *l = c->load;
	bool started = c->started;
	static const struct attempt_result lost = { .lost = true };

	c->operation = NULL;
	conn_free(c);
	if (!op)
		return;
	op->conn = NULL;
	if (started)
		l->results[op->stream->rank].truncated++;
	else
		l->results[op->stream->rank].lost_connections++;
	operation_attempt_ended(l, op, &lost, "");
}

/* Counts a worker's answer that is incomplete, that belongs to another request,
 * or that reports more than one run. */
static void check_body(struct load *l, const struct conn *c,
		       const struct operation *op)
{
	struct rank_result *r = &l->results[op->stream->rank];
	json_t *root =
		json_loadb((char *)c->body.data, c->body.len_bytes, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "run_id"));
	json_int_t run = json_integer_value(json_object_get(root, "run"));

	if (!root && c->parser.status_code == 200)
		r->truncated++;
	else if (id ? strcmp(id, op->run_id) : c->parser.status_code == 200)
		r->crossed++;
	else if (run > 1 && !method_is_idempotent(op->stream->method))
		r->reran++;
	json_decref(root);
}

/* Handles a complete answer. The connection is closed, or goes to a waiting
 * operation, or becomes idle. */
static void conn_answered(struct conn *c)
{
	struct load *l = c->load;
	struct operation *op = c->operation;
	struct conn_pool *pool = c->conn_pool;
	struct attempt_result result = {
		.status = (uint16_t)c->parser.status_code,
		.outcome = outcome_parse(c->outcome),
		.has_ticket = *c->ticket != 0
	};
	char error[sizeof(c->error)];
	char ticket[TICKET_MAX_BYTES];
	struct operation *waiting;

	strcpy(error, c->error);
	strcpy(ticket, c->ticket);
	result.error = error;
	if (!*error && strcmp(op->stream->method, "HEAD"))
		check_body(l, c, op);
	c->operation = NULL;
	op->conn = NULL;
	if (!http_should_keep_alive(&c->parser) ||
	    c->sent_bytes < c->request.len_bytes) {
		conn_free(c);
	} else if ((waiting = pool_take_waiting(pool))) {
		conn_start(c, waiting);
	} else {
		c->next = pool->idle;
		pool->idle = c;
		duty_poll(&l->duty, &c->handler, APR_POLLIN);
	}
	operation_attempt_ended(l, op, &result, ticket);
}

/* ---- parsing of answers ---- */

/* Appends `n` bytes to a string; drops what exceeds its `size`. */
static void append_text(char *to, size_t size, const char *at, size_t n)
{
	size_t len = strlen(to);

	if (n > size - len - 1)
		n = size - len - 1;
	memcpy(to + len, at, n);
	to[len + n] = 0;
}

static int on_field(http_parser *h, const char *at, size_t n)
{
	struct conn *c = h->data;

	if (c->in_value)
		*c->field = 0;
	c->in_value = false;
	append_text(c->field, sizeof(c->field), at, n);
	return 0;
}

static int on_value(http_parser *h, const char *at, size_t n)
{
	struct conn *c = h->data;

	c->in_value = true;
	if (!strcasecmp(c->field, "Azurehold-Ticket"))
		append_text(c->ticket, sizeof(c->ticket), at, n);
	else if (!strcasecmp(c->field, "Azurehold-Error"))
		append_text(c->error, sizeof(c->error), at, n);
	else if (!strcasecmp(c->field, "Azurehold-Outcome"))
		append_text(c->outcome, sizeof(c->outcome), at, n);
	return 0;
}

static int on_headers(http_parser *h)
{
	struct conn *c = h->data;

	/* 1 tells the parser that there is no body: the answer to a HEAD has
	 * none, whatever its Content-Length is. */
	return !strcmp(c->operation->stream->method, "HEAD");
}

static int on_body(http_parser *h, const char *at, size_t n)
{
	struct conn *c = h->data;

	if (c->body.len_bytes + n > ANSWER_MAX_BYTES)
		return -1;
	buf_append(&c->body, at, (uint32_t)n);
	return 0;
}

static int on_complete(http_parser *h)
{
	struct conn *c = h->data;

	c->complete = true;
	http_parser_pause(h, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* ---- socket events ---- */

/* Returns false if the socket has no more data at present, the answer is
 * complete, or the connection was closed. In the last two cases the connection
 * may have been freed. */
static bool conn_read(struct conn *c)
{
	char data[READ_BYTES];
	apr_size_t n = sizeof(data);
	apr_status_t rv = apr_socket_recv(c->handler.sock, data, &n);
	size_t parsed = 0;

	if (APR_STATUS_IS_EAGAIN(rv))
		return false;
	if (!c->operation) {
		/* Bytes that arrive while no request is in flight are counted
		 * as an answer to another request. */
		if (n)
			c->load->results[c->rank].crossed++;
		conn_lost(c);
		return false;
	}
	if (n)
		c->started = true;
	/* A length of 0 tells the parser that the stream has ended. */
	if (n || rv == APR_EOF)
		parsed = http_parser_execute(&c->parser, &callbacks, data, n);
	if (c->complete) {
		if (parsed < n)
			c->load->results[c->rank].crossed++;
		conn_answered(c);
		return false;
	}
	if (rv != APR_SUCCESS || HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
		conn_lost(c);
		return false;
	}
	return true;
}

static enum az_status conn_write(struct conn *c)
{
	while (c->sent_bytes < c->request.len_bytes) {
		apr_size_t n = c->request.len_bytes - c->sent_bytes;
		apr_status_t rv = apr_socket_send(
			c->handler.sock,
			(char *)c->request.data + c->sent_bytes, &n);

		c->sent_bytes += (uint32_t)n;
		if (APR_STATUS_IS_EAGAIN(rv))
			return AZ_OK;
		if (rv != APR_SUCCESS)
			return AZ_IO;
	}
	return duty_poll(&c->load->duty, &c->handler, APR_POLLIN);
}

static void conn_ready(struct poll_handler *h, int16_t events)
{
	struct conn *c = az_container_of(h, struct conn, handler);

	if (events & APR_POLLOUT && c->operation && conn_write(c) != AZ_OK) {
		conn_lost(c);
		return;
	}
	if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
		while (conn_read(c))
			;
}

static const struct poll_ops conn_ops = { conn_ready };

/* ---- schedule ---- */

static double gap_us(struct load *l, const struct stream *s)
{
	double mean_us = US_PER_S / s->rate_per_s;

	if (l->settings.fixed_gaps)
		return mean_us;
	return -log(1 - erand48(l->gap_state)) * mean_us;
}

static void operation_new(struct load *l, struct stream *s)
{
	struct operation *op = calloc(1, sizeof(*op));

	if (!op)
		abort();
	op->stream = s;
	op->due_us = s->next_us;
	op->retries_left = l->settings.retries;
	op->repeats_left = l->settings.repeats;
	if (l->settings.has_ticket_target && !method_is_idempotent(s->method))
		op->target = l->settings.target_count;
	else
		op->target = l->next_target++ % l->settings.target_count;
	snprintf(op->run_id, sizeof(op->run_id), "%016llx-%u",
		 (unsigned long long)l->run_prefix, l->run_sequence++);
	op->next = l->operations;
	if (l->operations)
		l->operations->prev = op;
	l->operations = op;
	l->results[s->rank].sent++;
	operation_send(l, op);
}

/* Sends the operations that are due; returns when the next one is due,
 * INT64_MAX if there is none. */
static int64_t run_streams(struct load *l, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (uint32_t i = 0; i < l->settings.stream_count; i++) {
		struct stream *s = &l->settings.streams[i];
		int64_t end_us = l->start_us + s->start_us + s->length_us;

		while (s->next_us <= now_us && s->next_us < end_us) {
			operation_new(l, s);
			s->next_us += (int64_t)gap_us(l, s);
		}
		if (s->next_us < end_us && s->next_us < next_us)
			next_us = s->next_us;
	}
	return next_us;
}

/* Ends an operation that has no attempt in flight. */
static void give_up(struct load *l, struct operation *op)
{
	if (op->state == OPERATION_WAITING)
		pool_remove_waiting(&l->pools[op->target][op->stream->rank],
				    op);
	if (!op->attempts)
		operation_end(l, op, FINAL_UNSENT);
	else if (op->proved_not_run)
		operation_end(l, op, FINAL_REFUSED);
	else
		operation_end(l, op,
			      method_is_idempotent(op->stream->method) ?
				      FINAL_LOST :
				      FINAL_UNKNOWN);
}

/* Handles time-outs, ended pauses and failed connection attempts. */
static void scan_operation(struct load *l, struct operation *op, int64_t now_us)
{
	static const struct attempt_result lost = { .lost = true };
	int64_t limit_us = op->due_us + l->settings.give_up_us;

	if (op->state == OPERATION_IN_FLIGHT) {
		if (now_us >= op->until_us)
			conn_lost(op->conn);
		return;
	}
	/* An operation that never got a connection ends when its first attempt
	 * would have timed out. */
	if (!op->attempts && !op->connect_failed)
		limit_us = op->due_us + op->stream->deadline_ms * US_PER_MS +
			   l->settings.grace_us;
	if (now_us >= limit_us) {
		give_up(l, op);
	} else if (op->connect_failed) {
		op->connect_failed = false;
		op->attempts++;
		l->results[op->stream->rank].lost_connections++;
		operation_attempt_ended(l, op, &lost, "");
	} else if (op->state == OPERATION_PAUSED && now_us >= op->until_us) {
		operation_send(l, op);
	}
}

static void load_on_timer(struct duty *d, int64_t now_us)
{
	struct load *l = az_container_of(d, struct load, duty);
	int64_t next_us = run_streams(l, now_us);

	if (now_us >= l->next_scan_us) {
		l->next_scan_us = now_us + SCAN_INTERVAL_US;
		/* scan_operation() may free the operation, but never the next.
		 */
		for (struct operation *op = l->operations, *next; op;
		     op = next) {
			next = op->next;
			scan_operation(l, op, now_us);
		}
	}
	if (next_us == INT64_MAX && !l->operations) {
		if (!l->ended)
			sem_post(&l->ended_sem);
		l->ended = true;
		return;
	}
	duty_arm(d, next_us < l->next_scan_us ? next_us : l->next_scan_us);
}

static const struct duty_ops load_ops = { "load", load_on_timer, NULL };

static enum az_status target_address(struct load *l,
				     const struct sockaddr_in *sa,
				     apr_sockaddr_t **out)
{
	char ip[32];

	inet_ntop(AF_INET, &sa->sin_addr, ip, sizeof(ip));
	if (apr_sockaddr_info_get(out, ip, APR_INET, ntohs(sa->sin_port), 0,
				  l->pool) != APR_SUCCESS)
		return az_fail(AZ_INVALID, "bad target %s", ip);
	return AZ_OK;
}

static enum az_status load_init(struct load *l)
{
	const struct load_settings *s = &l->settings;
	enum az_status st = AZ_OK;

	if (!s->target_count)
		return az_fail(AZ_INVALID, "no targets");
	for (uint32_t i = 0; i < s->target_count && st == AZ_OK; i++)
		st = target_address(l, &s->targets[i], &l->targets[i]);
	if (st == AZ_OK && s->has_ticket_target)
		st = target_address(l, &s->ticket_target,
				    &l->targets[s->target_count]);
	if (st != AZ_OK)
		return st;
	l->pool_limit = l->settings.connections / l->settings.target_count;
	if (!l->pool_limit)
		l->pool_limit = 1;
	l->run_prefix = random_u64();
	uint64_t h = hash_bytes(&l->settings.seed, sizeof(l->settings.seed), 0);
	memcpy(l->gap_state, &h, sizeof(l->gap_state));
	sem_init(&l->ended_sem, 0, 0);
	l->timers = timer_service_create(l->pool);
	return duty_init(&l->duty, &load_ops, 16, l->timers);
}

struct load *load_run(const struct load_settings *s)
{
	struct load *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	apr_pool_create(&l->pool, NULL);
	l->settings = *s;
	if (load_init(l) != AZ_OK || timer_service_start(l->timers) != AZ_OK)
		return NULL;
	l->start_us = clock_now_us();
	for (uint32_t i = 0; i < s->stream_count; i++) {
		struct stream *m = &l->settings.streams[i];

		m->next_us = l->start_us + m->start_us + (int64_t)gap_us(l, m);
	}
	duty_arm(&l->duty, l->start_us);
	if (duty_start(&l->duty) != AZ_OK)
		return NULL;
	while (sem_wait(&l->ended_sem))
		;
	duty_stop(&l->duty);
	timer_service_stop(l->timers);
	return l;
}

const struct rank_result *load_result(const struct load *l, enum rank r)
{
	return &l->results[r];
}

const struct record *load_records(const struct load *l, uint32_t *count)
{
	*count = l->record_count;
	return l->records;
}
