#include <semaphore.h>
#include <stdio.h>
#include <strings.h>
#include <apr_network_io.h>
#include <http_parser.h>
#include <jansson.h>

#include "cmd/azhload/load.h"

#define READ_BYTES 16384
/* Timeouts and pauses are looked at this often. */
#define SCAN_US (10 * US_PER_MS)
#define PAUSE_MAX_US (2 * US_PER_S)

enum piece_state {
	PIECE_WAITING, /* for a connection */
	PIECE_FLYING,
	PIECE_PAUSED, /* before a retry or repeat */
};

struct conn;

/* One piece of work, over all its attempts. */
struct piece {
	struct piece *next; /* of all open ones */
	struct piece *prev;
	struct piece *wait_next; /* of its pool */
	struct stream *stream;
	enum piece_state state;
	char run_id[RUN_ID_MAX_BYTES];
	char ticket[TICKET_MAX_BYTES];
	char error[32];
	uint16_t status;
	uint32_t target;
	uint32_t attempts;
	uint32_t pauses;
	uint32_t retries_left;
	uint32_t repeats_left;
	bool proved_not_run; /* by the last answer */
	bool connect_failed; /* to be handled at the next scan */
	int64_t due_us; /* intended send time */
	int64_t attempt_us; /* start of the last attempt */
	int64_t until_us; /* end of the pause, or of the wait for an answer */
	struct conn *conn;
};

/* Connections to one target for one rank, so that a flood of one rank cannot
 * hold up another inside this tool. */
struct pool {
	uint32_t open;
	struct conn *idle;
	struct piece *first;
	struct piece *last;
};

struct conn {
	struct poll_handler handler;
	struct load *load;
	struct conn *next; /* idle ones of its pool */
	apr_pool_t *pool;
	struct pool *of;
	enum rank rank;
	struct piece *piece;
	http_parser parser;
	struct buf out;
	uint32_t out_sent;
	bool started; /* a byte of the answer came */
	bool complete;
	char field[64];
	bool in_value;
	char ticket[TICKET_MAX_BYTES];
	char error[32];
	char outcome[16];
	struct buf body;
};

struct load {
	struct duty duty;
	struct timer_service *timers;
	apr_pool_t *pool;
	struct load_settings settings;
	/* The last one may give tickets only. */
	apr_sockaddr_t *targets[TARGETS_MAX + 1];
	struct pool pools[TARGETS_MAX + 1][RANK_COUNT];
	uint32_t pool_limit;
	struct piece *pieces;
	uint32_t turn;
	uint64_t run_prefix;
	uint32_t run_sequence;
	uint16_t gap_state[3];
	int64_t start_us;
	int64_t scan_us;
	bool ended;
	sem_t end;
	struct rank_result results[RANK_COUNT];
	uint32_t latency_room[RANK_COUNT];
	uint32_t attempt_room[RANK_COUNT];
	struct record *records;
	uint32_t record_count;
	uint32_t record_room;
};

static void piece_send(struct load *l, struct piece *p);

/* ---- results ---- */

static void *grow(void *list, uint32_t count, uint32_t *room, size_t size)
{
	if (count < *room)
		return list;
	*room = *room ? 2 * *room : 1024;
	list = realloc(list, *room * size);
	if (!list)
		abort();
	return list;
}

static void keep_record(struct load *l, const struct piece *p, enum final f,
			int64_t latency_us)
{
	struct record *r;

	l->records =
		grow(l->records, l->record_count, &l->record_room, sizeof(*r));
	r = &l->records[l->record_count++];
	memset(r, 0, sizeof(*r));
	strcpy(r->run_id, p->run_id);
	strcpy(r->error, p->error);
	r->stream = (uint8_t)(p->stream - l->settings.streams);
	r->final = (uint8_t)f;
	r->status = p->status;
	r->attempts = (uint16_t)p->attempts;
	r->sent_us = p->due_us - l->start_us;
	r->latency_us = latency_us;
}

static void piece_end(struct load *l, struct piece *p, enum final f)
{
	enum rank k = p->stream->rank;
	struct rank_result *r = &l->results[k];
	int64_t latency_us = l->duty.now_us - p->due_us;

	r->finals[f]++;
	r->attempts += p->attempts;
	if (f == FINAL_ANSWERED) {
		if (latency_us <= p->stream->deadline_ms * US_PER_MS)
			r->in_time++;
		r->latency_us = grow(r->latency_us, r->latency_count,
				     &l->latency_room[k], sizeof(uint32_t));
		r->attempt_us = grow(r->attempt_us, r->latency_count,
				     &l->attempt_room[k], sizeof(uint32_t));
		r->attempt_us[r->latency_count] =
			(uint32_t)(l->duty.now_us - p->attempt_us);
		r->latency_us[r->latency_count++] = (uint32_t)latency_us;
	}
	if (l->settings.keep_records)
		keep_record(l, p, f, latency_us);
	if (p->prev)
		p->prev->next = p->next;
	else
		l->pieces = p->next;
	if (p->next)
		p->next->prev = p->prev;
	free(p);
}

/* ---- connections ---- */

static struct piece *pool_take(struct pool *o)
{
	struct piece *p = o->first;

	if (!p)
		return NULL;
	o->first = p->wait_next;
	if (!o->first)
		o->last = NULL;
	return p;
}

static void pool_remove(struct pool *o, const struct piece *p)
{
	struct piece *before = NULL;

	for (struct piece *q = o->first; q; before = q, q = q->wait_next) {
		if (q != p)
			continue;
		if (before)
			before->wait_next = q->wait_next;
		else
			o->first = q->wait_next;
		if (o->last == q)
			o->last = before;
		return;
	}
}

static void conn_free(struct conn *c)
{
	struct pool *o = c->of;
	struct load *l = c->load;
	struct piece *p;

	duty_poll(&l->duty, &c->handler, 0);
	for (struct conn **i = &o->idle; *i; i = &(*i)->next)
		if (*i == c) {
			*i = c->next;
			break;
		}
	apr_socket_close(c->handler.sock);
	apr_pool_destroy(c->pool);
	buf_free(&c->out);
	buf_free(&c->body);
	free(c);
	o->open--;
	p = pool_take(o);
	if (p)
		piece_send(l, p);
}

static void write_request(struct conn *c, const struct piece *p)
{
	const struct stream *s = p->stream;
	struct buf body = { 0 };
	struct buf *o = &c->out;

	o->len_bytes = 0;
	c->out_sent = 0;
	buf_printf(o,
		   "%s %s HTTP/1.1\r\nHost: azurehold\r\n"
		   "Azurehold-Run-Id: %s\r\nAzurehold-Rank: %s\r\n"
		   "Azurehold-Deadline-Ms: %u\r\n",
		   s->method, s->path, p->run_id, rank_name(s->rank),
		   s->deadline_ms);
	if (*s->organisation)
		buf_printf(o, "Azurehold-Organisation: %s\r\n",
			   s->organisation);
	if (*s->token)
		buf_printf(o, "Authorization: Bearer %s\r\n", s->token);
	if (*p->ticket)
		buf_printf(o, "Azurehold-Ticket: %s\r\n", p->ticket);
	if (!method_is_idempotent(s->method)) {
		buf_printf(&body, "{\"id\":\"%s\",\"padding\":\"%0*d\"}",
			   p->run_id, (int)s->body_bytes, 0);
		buf_printf(o,
			   "Content-Type: application/json\r\n"
			   "Content-Length: %u\r\n",
			   body.len_bytes);
	}
	buf_append(o, "\r\n", 2);
	buf_append(o, body.data, body.len_bytes);
	buf_free(&body);
}

/* Binds a piece to a connection; it is written when the socket is ready. */
static void conn_start(struct conn *c, struct piece *p)
{
	struct load *l = c->load;

	c->piece = p;
	p->conn = c;
	p->state = PIECE_FLYING;
	p->attempts++;
	p->attempt_us = l->duty.now_us;
	p->until_us = l->duty.now_us + p->stream->deadline_ms * US_PER_MS +
		      l->settings.grace_us;
	c->started = c->complete = false;
	*c->ticket = *c->error = *c->outcome = 0;
	c->body.len_bytes = 0;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	write_request(c, p);
	duty_poll(&l->duty, &c->handler, APR_POLLIN | APR_POLLOUT);
}

static const struct poll_ops conn_ops;

/* NULL if the connection failed at once. */
static struct conn *conn_open(struct load *l, uint32_t target, enum rank rank)
{
	struct pool *o = &l->pools[target][rank];
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
	c->of = o;
	c->rank = rank;
	o->open++;
	return c;
}

static void piece_send(struct load *l, struct piece *p)
{
	struct pool *o = &l->pools[p->target][p->stream->rank];
	struct conn *c = o->idle;

	if (c) {
		o->idle = c->next;
		c->next = NULL;
	} else if (o->open < l->pool_limit) {
		c = conn_open(l, p->target, p->stream->rank);
		if (!c) {
			/* Handled at the next scan: doing it here could
			 * recurse once for each piece that waits. */
			p->state = PIECE_PAUSED;
			p->connect_failed = true;
			p->until_us = 0;
			return;
		}
	} else {
		p->state = PIECE_WAITING;
		p->wait_next = NULL;
		if (o->last)
			o->last->wait_next = p;
		else
			o->first = p;
		o->last = p;
		return;
	}
	conn_start(c, p);
}

/* ---- attempts ---- */

static void piece_pause(struct load *l, struct piece *p, bool not_run)
{
	int64_t us = l->settings.pause_us << (p->pauses < 10 ? p->pauses : 10);

	if (us > PAUSE_MAX_US)
		us = PAUSE_MAX_US;
	p->pauses++;
	p->proved_not_run = not_run;
	p->target = (p->target + 1) % l->settings.target_count;
	p->state = PIECE_PAUSED;
	p->until_us = l->duty.now_us + us;
}

static void piece_seen(struct load *l, struct piece *p, const struct seen *s,
		       const char *ticket)
{
	struct attempt a = { .idempotent =
				     method_is_idempotent(p->stream->method),
			     .bare = l->settings.bare,
			     .ticket = *p->ticket != 0,
			     .retries_left = p->retries_left,
			     .repeats_left = p->repeats_left };
	struct next n = decide_next(&a, s);

	p->status = s->status;
	snprintf(p->error, sizeof(p->error), "%s",
		 s->lost  ? "lost" :
		 s->error ? s->error :
			    "");
	switch (n.step) {
	case STEP_DONE:
		piece_end(l, p, n.final);
		break;
	case STEP_TICKET:
		p->repeats_left--;
		p->proved_not_run = true;
		strcpy(p->ticket, ticket);
		if (p->target == l->settings.target_count)
			p->target = l->turn++ % l->settings.target_count;
		piece_send(l, p);
		break;
	case STEP_RETRY:
		p->retries_left--;
		strcpy(p->ticket, ticket);
		piece_pause(l, p, true);
		break;
	case STEP_REPEAT:
		p->repeats_left--;
		piece_pause(l, p, false);
		break;
	}
}

/* The answer of an attempt will not come, or not whole. */
static void conn_lost(struct conn *c)
{
	struct piece *p = c->piece;
	struct load *l = c->load;
	bool started = c->started;
	static const struct seen lost = { .lost = true };

	c->piece = NULL;
	conn_free(c);
	if (!p)
		return;
	p->conn = NULL;
	if (started)
		l->results[p->stream->rank].truncated++;
	else
		l->results[p->stream->rank].lost_connections++;
	piece_seen(l, p, &lost, "");
}

/* Checks that an answer of a worker is whole and belongs to `p`. */
static void check_body(struct load *l, const struct conn *c,
		       const struct piece *p)
{
	struct rank_result *r = &l->results[p->stream->rank];
	json_t *o =
		json_loadb((char *)c->body.data, c->body.len_bytes, 0, NULL);
	const char *id = json_string_value(json_object_get(o, "run_id"));
	json_int_t run = json_integer_value(json_object_get(o, "run"));

	if (!o && c->parser.status_code == 200)
		r->truncated++;
	else if (id ? strcmp(id, p->run_id) : c->parser.status_code == 200)
		r->crossed++;
	else if (run > 1 && !method_is_idempotent(p->stream->method))
		r->reran++;
	json_decref(o);
}

static void conn_answered(struct conn *c)
{
	struct load *l = c->load;
	struct piece *p = c->piece;
	struct pool *o = c->of;
	struct seen s = { .status = (uint16_t)c->parser.status_code,
			  .outcome = outcome_parse(c->outcome),
			  .ticket = *c->ticket != 0 };
	char error[sizeof(c->error)];
	char ticket[TICKET_MAX_BYTES];
	struct piece *waiting;

	strcpy(error, c->error);
	strcpy(ticket, c->ticket);
	s.error = error;
	if (!*error && strcmp(p->stream->method, "HEAD"))
		check_body(l, c, p);
	c->piece = NULL;
	p->conn = NULL;
	if (!http_should_keep_alive(&c->parser) ||
	    c->out_sent < c->out.len_bytes) {
		conn_free(c);
	} else if ((waiting = pool_take(o))) {
		conn_start(c, waiting);
	} else {
		c->next = o->idle;
		o->idle = c;
		duty_poll(&l->duty, &c->handler, APR_POLLIN);
	}
	piece_seen(l, p, &s, ticket);
}

/* ---- parsing ---- */

/* Appends a piece; text beyond the room is dropped. */
static void add_text(char *to, size_t room, const char *at, size_t n)
{
	size_t have = strlen(to);

	if (n > room - have - 1)
		n = room - have - 1;
	memcpy(to + have, at, n);
	to[have + n] = 0;
}

static int on_field(http_parser *h, const char *at, size_t n)
{
	struct conn *c = h->data;

	if (c->in_value)
		*c->field = 0;
	c->in_value = false;
	add_text(c->field, sizeof(c->field), at, n);
	return 0;
}

static int on_value(http_parser *h, const char *at, size_t n)
{
	struct conn *c = h->data;

	c->in_value = true;
	if (!strcasecmp(c->field, "Azurehold-Ticket"))
		add_text(c->ticket, sizeof(c->ticket), at, n);
	else if (!strcasecmp(c->field, "Azurehold-Error"))
		add_text(c->error, sizeof(c->error), at, n);
	else if (!strcasecmp(c->field, "Azurehold-Outcome"))
		add_text(c->outcome, sizeof(c->outcome), at, n);
	return 0;
}

static int on_headers(http_parser *h)
{
	struct conn *c = h->data;

	/* 1: the answer to a HEAD has no body, whatever its length says. */
	return !strcmp(c->piece->stream->method, "HEAD");
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

/* ---- events ---- */

/* False once the connection has ended or its answer is whole. */
static bool conn_read(struct conn *c)
{
	char data[READ_BYTES];
	apr_size_t n = sizeof(data);
	apr_status_t rv = apr_socket_recv(c->handler.sock, data, &n);
	size_t parsed = 0;

	if (APR_STATUS_IS_EAGAIN(rv))
		return false;
	if (!c->piece) {
		/* Bytes that no request asked for are somebody's answer. */
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
	while (c->out_sent < c->out.len_bytes) {
		apr_size_t n = c->out.len_bytes - c->out_sent;
		apr_status_t rv = apr_socket_send(
			c->handler.sock, (char *)c->out.data + c->out_sent, &n);

		c->out_sent += (uint32_t)n;
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

	if (events & APR_POLLOUT && c->piece && conn_write(c) != AZ_OK) {
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

static void piece_new(struct load *l, struct stream *s)
{
	struct piece *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->stream = s;
	p->due_us = s->next_us;
	p->retries_left = l->settings.retries;
	p->repeats_left = l->settings.repeats;
	if (l->settings.has_ticket_target && !method_is_idempotent(s->method))
		p->target = l->settings.target_count;
	else
		p->target = l->turn++ % l->settings.target_count;
	snprintf(p->run_id, sizeof(p->run_id), "%016llx-%u",
		 (unsigned long long)l->run_prefix, l->run_sequence++);
	p->next = l->pieces;
	if (l->pieces)
		l->pieces->prev = p;
	l->pieces = p;
	l->results[s->rank].sent++;
	piece_send(l, p);
}

/* Sends what is due; returns the next time, INT64_MAX if there is none. */
static int64_t run_streams(struct load *l, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (uint32_t i = 0; i < l->settings.stream_count; i++) {
		struct stream *s = &l->settings.streams[i];
		int64_t end_us = l->start_us + s->start_us + s->length_us;

		while (s->next_us <= now_us && s->next_us < end_us) {
			piece_new(l, s);
			s->next_us += (int64_t)gap_us(l, s);
		}
		if (s->next_us < end_us && s->next_us < next_us)
			next_us = s->next_us;
	}
	return next_us;
}

/* Ends a piece that has no attempt in flight. */
static void give_up(struct load *l, struct piece *p)
{
	if (p->state == PIECE_WAITING)
		pool_remove(&l->pools[p->target][p->stream->rank], p);
	if (!p->attempts)
		piece_end(l, p, FINAL_UNSENT);
	else if (p->proved_not_run)
		piece_end(l, p, FINAL_REFUSED);
	else
		piece_end(l, p,
			  method_is_idempotent(p->stream->method) ?
				  FINAL_LOST :
				  FINAL_UNKNOWN);
}

static void scan_piece(struct load *l, struct piece *p, int64_t now_us)
{
	static const struct seen lost = { .lost = true };
	int64_t limit_us = p->due_us + l->settings.give_up_us;

	if (p->state == PIECE_FLYING) {
		if (now_us >= p->until_us)
			conn_lost(p->conn);
		return;
	}
	if (!p->attempts && !p->connect_failed)
		limit_us = p->due_us + p->stream->deadline_ms * US_PER_MS +
			   l->settings.grace_us;
	if (now_us >= limit_us) {
		give_up(l, p);
	} else if (p->connect_failed) {
		p->connect_failed = false;
		p->attempts++;
		l->results[p->stream->rank].lost_connections++;
		piece_seen(l, p, &lost, "");
	} else if (p->state == PIECE_PAUSED && now_us >= p->until_us) {
		piece_send(l, p);
	}
}

static void load_on_timer(struct duty *d, int64_t now_us)
{
	struct load *l = az_container_of(d, struct load, duty);
	int64_t next_us = run_streams(l, now_us);

	if (now_us >= l->scan_us) {
		l->scan_us = now_us + SCAN_US;
		/* A piece may end here, but never the one after it. */
		for (struct piece *p = l->pieces, *next; p; p = next) {
			next = p->next;
			scan_piece(l, p, now_us);
		}
	}
	if (next_us == INT64_MAX && !l->pieces) {
		if (!l->ended)
			sem_post(&l->end);
		l->ended = true;
		return;
	}
	duty_arm(d, next_us < l->scan_us ? next_us : l->scan_us);
}

static const struct duty_ops load_ops = { "load", load_on_timer, NULL };

static enum az_status resolve(struct load *l, const struct sockaddr_in *sa,
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
		st = resolve(l, &s->targets[i], &l->targets[i]);
	if (st == AZ_OK && s->has_ticket_target)
		st = resolve(l, &s->ticket_target,
			     &l->targets[s->target_count]);
	if (st != AZ_OK)
		return st;
	l->pool_limit = l->settings.connections / l->settings.target_count;
	if (!l->pool_limit)
		l->pool_limit = 1;
	l->run_prefix = random_u64();
	uint64_t h = hash_bytes(&l->settings.seed, sizeof(l->settings.seed), 0);
	memcpy(l->gap_state, &h, sizeof(l->gap_state));
	sem_init(&l->end, 0, 0);
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
	while (sem_wait(&l->end))
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
