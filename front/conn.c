#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <apr_portable.h>

#include "front/front.h"
#include "attempt/attempt.h"

#define READ_BYTES 16384
/** Requests of one connection in flight at once (HTTP pipelining). */
#define PIPELINE_MAX 32
/** While a connection has more bytes of unsent answers than this, no more of
 * its answers are written and no more of its requests are read. */
#define OUTPUT_MAX_BYTES (64U << 10)
/** An empty buffer with a larger capacity is freed. An idle connection never
 * gives way, so that it must hold little. */
#define KEPT_BUFFER_BYTES 2048
/** Shortest step in which the buffer of a body grows. */
#define BODY_GROWTH_MIN_BYTES 1024
/** Time after the last answer in which further input is read and discarded.
 * Closing a connection with unread input resets it, and the caller could lose
 * the answer. */
#define LINGER_US US_PER_S

enum conn_phase {
	PHASE_HEAD, /**< reads the head of the next request */
	PHASE_BODY, /**< reads the body of a request */
	PHASE_NO_MORE_REQUESTS, /**< answers the requests read so far */
	PHASE_LINGER, /**< all is sent; waits for the caller to close */
};

struct front_conn {
	struct poll_handler poll;
	struct front *front;
	apr_pool_t *pool;
	struct front_conn *next;
	struct front_conn *prev;
	bool health_only;
	enum conn_phase phase;
	struct buf head_input; /**< what has arrived of a request's head */
	uint32_t head_input_seen_bytes;
	http_parser parser;
	bool in_header_value;
	bool too_large;
	struct exchange *receiving; /**< its request is being read; or NULL */
	bool receives_long_body; /**< has the long receive buffer */
	uint64_t body_max_bytes; /**< of that request */
	struct exchange *first; /**< in the order of the requests */
	struct exchange *last;
	uint32_t exchange_count;
	struct buf output;
	uint32_t output_sent_bytes;
	struct exchange *sending; /**< the long body of its answer follows
				     `output`; or NULL */
	uint32_t body_sent_bytes; /**< of that body */
	struct transfer receive; /**< of the request that is being read */
	struct transfer send; /**< since nothing was unsent */
	uint64_t held_bytes; /**< counted in front->memory */
	int64_t timeout_at_us; /**< see conn_expire(); 0: none */
	int64_t used_us; /**< when it was opened or last got an answer */
};

/* ---- closing, time-outs and limits ---- */

static void conn_close(struct front_conn *c)
{
	struct front *f = c->front;

	while (c->first) {
		struct exchange *x = c->first;

		c->first = x->next;
		x->conn = NULL;
		/* A submitted exchange is freed when its answer arrives. */
		if (x->submitted && !x->answer) {
			x->held_bytes = exchange_held_bytes(x);
			memory_budget_change(&f->memory, 0, x->held_bytes);
			counter_add(f->callers_left, 1);
			if (x->attempt_id)
				attempts_cancel(f->settings.attempts,
						x->attempt_id);
		} else {
			exchange_free(x);
		}
	}
	if (c->sending)
		exchange_free(c->sending);
	memory_budget_change(&f->memory, c->held_bytes, 0);
	if (c->prev)
		c->prev->next = c->next;
	else
		f->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (c->health_only)
		f->health_conn_count--;
	else
		__atomic_sub_fetch(&f->conn_count, 1, __ATOMIC_RELAXED);
	duty_poll(&f->duty, &c->poll, 0);
	apr_socket_close(c->poll.sock);
	buf_free(&c->head_input);
	buf_free(&c->output);
	apr_pool_destroy(c->pool);
	free(c);
}

static void set_timeout(struct front_conn *c, int64_t at_us)
{
	c->timeout_at_us = at_us;
	front_arm(c->front, at_us);
}

static struct conf_limits current_limits(struct front *f)
{
	struct conf *conf = conf_current_get(f->settings.conf);
	struct conf_limits l = *conf_limits(conf);

	conf_release(conf);
	return l;
}

static void set_idle_timeout(struct front_conn *c)
{
	struct conf_limits l = current_limits(c->front);

	/* Not shortened while the daemon stops: front_quiesce() closes idle
	 * connections. */
	set_timeout(c, c->front->duty.now_us + l.idle_timeout_ms * US_PER_MS);
}

/* A body may pause for the idle time-out, but not take longer than any deadline
 * that a caller may set. */
static void set_body_timeout(struct front_conn *c)
{
	int64_t last_us =
		c->receiving->started_us + DEADLINE_MAX_MS * US_PER_MS;

	set_idle_timeout(c);
	if (c->timeout_at_us > last_us)
		set_timeout(c, last_us);
}

/* ---- memory ---- */

/* Counts what the connection holds now, capacities rather than lengths. */
static void update_held(struct front_conn *c)
{
	struct front *f = c->front;
	uint64_t held = c->head_input.cap_bytes + c->output.cap_bytes;

	if (c->receives_long_body)
		held += LONG_RECEIVE_BUFFER_BYTES;
	for (const struct exchange *x = c->first; x; x = x->next)
		held += exchange_held_bytes(x);
	if (c->sending)
		held += exchange_held_bytes(c->sending);
	memory_budget_change(&f->memory, c->held_bytes, held);
	c->held_bytes = held;
	counter_set(f->memory_held,
		    (int64_t)(f->memory.held_bytes[MEMORY_SHORT] +
			      f->memory.held_bytes[MEMORY_LONG]));
}

static void transfer_add(struct transfer *t, uint64_t bytes, int64_t now_us)
{
	if (!t->active)
		*t = (struct transfer){ .active = true, .began_us = now_us };
	t->bytes += bytes;
	t->moved_us = now_us;
}

static struct memory_holder holder_of(const struct front_conn *c)
{
	struct memory_holder h = { .held_bytes = c->held_bytes,
				   .receiving = c->receive,
				   .sending = c->send };

	for (const struct exchange *x = c->first; x && !h.has_answers;
	     x = x->next)
		h.has_answers = x->answer != NULL;
	return h;
}

/* ---- writing answers ---- */

static uint32_t unsent_bytes(const struct front_conn *c)
{
	uint32_t n = c->output.len_bytes - c->output_sent_bytes;

	if (c->sending)
		n += c->sending->answer->body.len_bytes - c->body_sent_bytes;
	return n;
}

static bool has_unsent(const struct front_conn *c)
{
	return unsent_bytes(c) > 0;
}

/* Sends a part of `b`; *rv is APR_SUCCESS if all of it is sent. */
static void send_buf(struct front_conn *c, const struct buf *b,
		     uint32_t *sent_bytes, apr_status_t *rv)
{
	while (*rv == APR_SUCCESS && *sent_bytes < b->len_bytes) {
		apr_size_t n = b->len_bytes - *sent_bytes;

		*rv = apr_socket_send(c->poll.sock,
				      (char *)b->data + *sent_bytes, &n);
		if (*rv == APR_SUCCESS) {
			*sent_bytes += (uint32_t)n;
			transfer_add(&c->send, n, c->front->duty.now_us);
		}
	}
}

static void free_sent(struct front_conn *c)
{
	c->send.active = false;
	c->output.len_bytes = c->output_sent_bytes = 0;
	if (c->output.cap_bytes > KEPT_BUFFER_BYTES)
		buf_free(&c->output);
	if (c->sending)
		exchange_free(c->sending);
	c->sending = NULL;
	c->body_sent_bytes = 0;
}

/* Returns false if it has closed and freed the connection. */
static bool flush(struct front_conn *c)
{
	apr_status_t rv = APR_SUCCESS;

	if (!has_unsent(c))
		return true;
	/* Begins the transfer even if the socket takes nothing. */
	transfer_add(&c->send, 0,
		     c->send.active ? c->send.moved_us : c->front->duty.now_us);
	send_buf(c, &c->output, &c->output_sent_bytes, &rv);
	if (c->sending)
		send_buf(c, &c->sending->answer->body, &c->body_sent_bytes,
			 &rv);
	if (rv == APR_SUCCESS) {
		free_sent(c);
	} else if (!APR_STATUS_IS_EAGAIN(rv)) {
		conn_close(c);
		return false;
	}
	return true;
}

static void start_linger(struct front_conn *c)
{
	c->phase = PHASE_LINGER;
	apr_socket_shutdown(c->poll.sock, APR_SHUTDOWN_WRITE);
	set_timeout(c, c->front->duty.now_us + LINGER_US);
}

static void update_poll_events(struct front_conn *c)
{
	int16_t events = APR_POLLIN;

	if (c->exchange_count >= PIPELINE_MAX ||
	    unsent_bytes(c) > OUTPUT_MAX_BYTES)
		events = 0;
	if (has_unsent(c))
		events |= APR_POLLOUT;
	duty_poll(&c->front->duty, &c->poll, events);
	update_held(c);
}

/* Writes the answers that are next in the order of the requests to the output,
 * until one with a long body follows or the output is long. True if it has
 * written any. */
static bool write_answers(struct front_conn *c)
{
	bool any = false;

	while (c->first && c->first->answer && c->first->request_complete &&
	       !c->sending && unsent_bytes(c) <= OUTPUT_MAX_BYTES) {
		struct exchange *x = c->first;

		/* An answer closes the connection only if no request follows
		 * it: a following one may already be running. */
		if (x->next)
			x->close_after = false;
		else if (c->phase == PHASE_NO_MORE_REQUESTS ||
			 !x->head.keep_alive || front_is_stopping(c->front))
			x->close_after = true;
		if (!exchange_write_answer(x, &c->output))
			c->sending = x;
		c->first = x->next;
		if (!c->first)
			c->last = NULL;
		c->exchange_count--;
		if (x->close_after)
			c->phase = PHASE_NO_MORE_REQUESTS;
		if (!c->sending)
			exchange_free(x);
		any = true;
	}
	return any;
}

/* Writes and sends answers. Returns false if it has closed and freed the
 * connection. */
static bool send_answers(struct front_conn *c)
{
	int64_t moved_us = c->send.moved_us;
	bool any = false;
	bool wrote;

	/* Once a long body is sent, the answer after it can be written. */
	do {
		if (!flush(c))
			return false;
		wrote = write_answers(c);
		any = any || wrote;
	} while (wrote);
	if (any)
		c->used_us = c->front->duty.now_us;
	if (c->phase == PHASE_NO_MORE_REQUESTS && !c->first && !has_unsent(c))
		start_linger(c);
	else if (!c->receive.active &&
		 (has_unsent(c) ? any || c->send.moved_us != moved_us :
				  any && !c->first && c->phase == PHASE_HEAD))
		set_idle_timeout(c);
	update_poll_events(c);
	return true;
}

/* ---- reading requests ---- */

static struct exchange *exchange_new(struct front_conn *c)
{
	struct exchange *x = az_alloc(sizeof(*x));

	x->front = c->front;
	x->conn = c;
	x->started_us = c->front->duty.now_us;
	if (c->last)
		c->last->next = x;
	else
		c->first = x;
	c->last = x;
	c->exchange_count++;
	return x;
}

static void set_receive_buffer(struct front_conn *c, bool long_body)
{
	apr_os_sock_t fd;

	if (c->receives_long_body == long_body)
		return;
	c->receives_long_body = long_body;
	apr_os_sock_get(&fd, c->poll.sock);
	net_set_receive_buffer(fd, long_body ? LONG_RECEIVE_BUFFER_BYTES :
					       RECEIVE_BUFFER_BYTES);
}

/* Refuses a request that was not read to its end, or not understood, and reads
 * no more from the connection: the start of the next request is not known. */
static void refuse_and_stop_reading(struct front_conn *c, struct exchange *x,
				    enum error_kind k)
{
	x->request_complete = true;
	x->close_after = true;
	c->receiving = NULL;
	c->receive.active = false;
	set_receive_buffer(c, false);
	c->phase = PHASE_NO_MORE_REQUESTS;
	buf_free(&c->head_input);
	buf_free(&x->body);
	set_timeout(c, c->front->duty.now_us + DEADLINE_MAX_MS * US_PER_MS);
	exchange_refuse(x, k);
}

static int on_url(http_parser *p, const char *data, size_t n)
{
	struct front_conn *c = p->data;
	struct head *h = &c->receiving->head;

	if (!h->target)
		h->target = h->text.len_bytes;
	buf_append(&h->text, data, (uint32_t)n);
	return 0;
}

static int on_field(http_parser *p, const char *data, size_t n)
{
	struct front_conn *c = p->data;
	struct head *h = &c->receiving->head;

	/* Trailer fields after a chunked body are not part of the head. */
	if (c->phase == PHASE_BODY)
		return 0;
	if (c->in_header_value || !h->field_count) {
		buf_append(&h->text, "", 1);
		if (h->field_count == HEAD_FIELDS_MAX) {
			c->too_large = true;
			return 1;
		}
		h->fields[h->field_count++].name = h->text.len_bytes;
		c->in_header_value = false;
	}
	buf_append(&h->text, data, (uint32_t)n);
	return 0;
}

static int on_value(http_parser *p, const char *data, size_t n)
{
	struct front_conn *c = p->data;
	struct head *h = &c->receiving->head;

	if (c->phase == PHASE_BODY)
		return 0;
	if (!c->in_header_value) {
		buf_append(&h->text, "", 1);
		h->fields[h->field_count - 1].value = h->text.len_bytes;
		c->in_header_value = true;
	}
	buf_append(&h->text, data, (uint32_t)n);
	return 0;
}

static int on_headers(http_parser *p)
{
	struct front_conn *c = p->data;
	struct head *h = &c->receiving->head;
	const char *expect;

	buf_append(&h->text, "", 1);
	snprintf(h->method, sizeof(h->method), "%s",
		 http_method_str(p->method));
	h->keep_alive = http_should_keep_alive(p);
	h->announced_body_bytes = p->content_length;
	expect = head_value(h, "Expect");
	h->expects_continue = expect && !strcasecmp(expect, "100-continue");
	c->phase = PHASE_BODY;
	return 0;
}

static uint64_t body_max_bytes(struct front *f)
{
	uint64_t configured = current_limits(f).body_bytes;
	uint64_t held = memory_body_max_bytes(&f->memory);

	return configured < held ? configured : held;
}

/* Makes room for `n` more bytes. An announced length is not reserved, as the
 * caller may never send it; a long body is not doubled, which would hold up to
 * twice its length. */
static void grow_body(struct exchange *x, size_t n)
{
	uint64_t need = x->body.len_bytes + n;
	uint64_t cap = x->body.cap_bytes;
	uint64_t step = cap < MEMORY_SHORT_BYTES ? cap : cap / 4;

	if (need <= cap)
		return;
	if (step < BODY_GROWTH_MIN_BYTES)
		step = BODY_GROWTH_MIN_BYTES;
	if (step > MEMORY_GROWTH_MAX_BYTES)
		step = MEMORY_GROWTH_MAX_BYTES;
	if (need < cap + step)
		need = cap + step;
	if (need > x->head.announced_body_bytes)
		need = x->head.announced_body_bytes;
	buf_reserve(&x->body, (uint32_t)need);
}

static int on_body(http_parser *p, const char *data, size_t n)
{
	struct front_conn *c = p->data;
	struct exchange *x = c->receiving;

	if (x->body.len_bytes + n > c->body_max_bytes) {
		c->too_large = true;
		return 1;
	}
	if (x->body.len_bytes > MEMORY_SHORT_BYTES)
		set_receive_buffer(c, true);
	grow_body(x, n);
	buf_append(&x->body, data, (uint32_t)n);
	return 0;
}

/* Refuses a chunk beyond the limit before any of it is read. */
static int on_chunk(http_parser *p)
{
	struct front_conn *c = p->data;

	if (p->content_length > c->body_max_bytes ||
	    c->receiving->body.len_bytes + p->content_length >
		    c->body_max_bytes) {
		c->too_large = true;
		return 1;
	}
	return 0;
}

static int on_complete(http_parser *p)
{
	struct front_conn *c = p->data;

	c->receiving->request_complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_chunk_header = on_chunk,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Submits a complete request and prepares to read the head of the next one. */
static void finish_request(struct front_conn *c)
{
	struct exchange *x = c->receiving;

	c->receiving = NULL;
	set_receive_buffer(c, false);
	c->phase = x->head.keep_alive ? PHASE_HEAD : PHASE_NO_MORE_REQUESTS;
	c->timeout_at_us = 0;
	if (c->health_only) {
		x->close_after = true;
		exchange_refuse(x, strcmp(head_target(&x->head), HEALTH_PATH) ?
					   ERR_UNKNOWN_ROUTE :
					   front_health(c->front));
		return;
	}
	exchange_submit(x);
}

/* Reads bytes of a body; returns how many of them were consumed. */
static uint32_t read_body_bytes(struct front_conn *c, const uint8_t *data,
				uint32_t len_bytes)
{
	struct exchange *x = c->receiving;
	size_t n = http_parser_execute(&c->parser, &parser_settings,
				       (const char *)data, len_bytes);

	if (c->too_large) {
		refuse_and_stop_reading(c, x, ERR_BODY_TOO_LARGE);
		return len_bytes;
	}
	if (x->request_complete) {
		finish_request(c);
		return (uint32_t)n;
	}
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
		refuse_and_stop_reading(c, x, ERR_BAD_REQUEST);
		return len_bytes;
	}
	set_body_timeout(c);
	return (uint32_t)n;
}

/* True if the memory of requests that are at workers leaves no room for the
 * announced body. */
static bool body_has_no_room(const struct exchange *x, uint64_t bytes)
{
	const struct front *f = x->front;

	return bytes > MEMORY_SHORT_BYTES &&
	       f->submitted_bytes + bytes > f->memory.max_bytes[MEMORY_LONG];
}

static enum error_kind check_head(struct front_conn *c, struct exchange *x)
{
	enum error_kind k = head_check_fields(&x->head);
	uint64_t bytes = x->head.announced_body_bytes;

	c->body_max_bytes = body_max_bytes(c->front);
	if (k != ERR_NONE || bytes == UINT64_MAX)
		return k;
	if (bytes > c->body_max_bytes)
		return ERR_BODY_TOO_LARGE;
	return body_has_no_room(x, bytes) ? ERR_OVERLOADED : ERR_NONE;
}

/* Parses the complete head in `head_input`. */
static void parse_head(struct front_conn *c)
{
	struct exchange *x = exchange_new(c);
	enum error_kind k =
		head_check_bytes(c->head_input.data, c->head_input.len_bytes);
	size_t n = 0;

	c->receiving = x;
	c->in_header_value = c->too_large = false;
	head_reset(&x->head);
	/* Offset 0 is an empty string, as a target of 0 means none yet. */
	buf_append(&x->head.text, "", 1);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	if (k == ERR_NONE)
		n = http_parser_execute(&c->parser, &parser_settings,
					(const char *)c->head_input.data,
					c->head_input.len_bytes);
	if (k == ERR_NONE && c->too_large)
		k = ERR_HEADERS_TOO_LARGE;
	else if (k == ERR_NONE && (n < c->head_input.len_bytes ||
				   c->parser.upgrade || c->phase != PHASE_BODY))
		k = ERR_BAD_REQUEST;
	c->head_input.len_bytes = c->head_input_seen_bytes = 0;
	if (c->head_input.cap_bytes > KEPT_BUFFER_BYTES)
		buf_free(&c->head_input);
	if (k == ERR_NONE)
		k = check_head(c, x);
	if (k != ERR_NONE) {
		refuse_and_stop_reading(c, x, k);
		return;
	}
	if (x->request_complete) {
		finish_request(c);
		return;
	}
	if (x->head.expects_continue && c->first == x) {
		static const char proceed[] = "HTTP/1.1 100 Continue\r\n\r\n";

		buf_append(&c->output, proceed, sizeof(proceed) - 1);
	}
	set_body_timeout(c);
}

/* Reads bytes of a head; returns how many were consumed. */
static uint32_t read_head_bytes(struct front_conn *c, const uint8_t *data,
				uint32_t len_bytes)
{
	uint32_t held_bytes = c->head_input.len_bytes;
	struct conf_limits l = current_limits(c->front);
	uint32_t end;

	if (!held_bytes) {
		/* Empty lines before a request are skipped. */
		uint32_t blank = 0;

		while (blank < len_bytes &&
		       (data[blank] == '\r' || data[blank] == '\n'))
			blank++;
		if (blank)
			return blank;
		set_timeout(c,
			    c->front->duty.now_us +
				    current_limits(c->front).header_timeout_ms *
					    US_PER_MS);
	}
	buf_append(&c->head_input, data, len_bytes);
	end = head_end(c->head_input.data, c->head_input.len_bytes, held_bytes);
	if ((end ? end : c->head_input.len_bytes) > l.header_bytes) {
		c->head_input.len_bytes = 0;
		refuse_and_stop_reading(c, exchange_new(c),
					ERR_HEADERS_TOO_LARGE);
		return len_bytes;
	}
	if (!end)
		return len_bytes;
	c->head_input.len_bytes = end;
	parse_head(c);
	return end - held_bytes;
}

/* True if the next request on the connection is not to be read. While another
 * request of the connection is unanswered, a stopping daemon reads no further
 * ones, as it may exit before it could answer them. The answer then closes the
 * connection, and the caller sends those requests to another daemon. */
static bool must_leave_unread(const struct front_conn *c)
{
	return c->phase == PHASE_HEAD && c->first && !c->health_only &&
	       front_is_stopping(c->front);
}

static bool is_receiving(const struct front_conn *c)
{
	return (c->phase == PHASE_HEAD && c->head_input.len_bytes) ||
	       (c->phase == PHASE_BODY && c->receiving);
}

static void note_received(struct front_conn *c, uint32_t bytes)
{
	if (is_receiving(c))
		transfer_add(&c->receive, bytes, c->front->duty.now_us);
	else
		c->receive.active = false;
}

static void process_input(struct front_conn *c, const uint8_t *data,
			  uint32_t len_bytes)
{
	while (len_bytes && c->phase <= PHASE_BODY) {
		if (must_leave_unread(c)) {
			c->phase = PHASE_NO_MORE_REQUESTS;
			c->head_input.len_bytes = 0;
			c->receive.active = false;
			return;
		}
		uint32_t n = c->phase == PHASE_HEAD ?
				     read_head_bytes(c, data, len_bytes) :
				     read_body_bytes(c, data, len_bytes);

		note_received(c, n);
		data += n;
		len_bytes -= n;
	}
}

/* ---- connections that give way ---- */

/* What a connection must hold to give way for the share. For the short one it
 * is the average, so that a crowd of larger requests does not drive out
 * ordinary ones that are just being read. */
static uint64_t least_held_bytes(struct front *f, enum memory_share s)
{
	uint64_t sum = 0;
	uint32_t n = 0;

	if (s == MEMORY_LONG)
		return MEMORY_SHORT_BYTES + 1;
	for (struct front_conn *c = f->conns; c; c = c->next) {
		struct memory_holder h = holder_of(c);

		if (memory_yield(&h, f->duty.now_us) == MEMORY_YIELD_NEVER)
			continue;
		sum += h.held_bytes;
		n++;
	}
	return n ? sum / n : 0;
}

/* Returns the connection that gives way for the share, or NULL. */
static struct front_conn *find_yielding(struct front *f, enum memory_share s)
{
	uint64_t least = least_held_bytes(f, s);
	struct front_conn *found = NULL;
	struct memory_holder of_found;

	for (struct front_conn *c = f->conns; c; c = c->next) {
		struct memory_holder h = holder_of(c);

		if (h.held_bytes < least ||
		    memory_yield(&h, f->duty.now_us) == MEMORY_YIELD_NEVER)
			continue;
		if (found &&
		    !memory_yields_before(&h, &of_found, f->duty.now_us))
			continue;
		found = c;
		of_found = h;
	}
	return found;
}

/* Refuses the request that is being read, or closes the connection if its
 * caller does not read answers. */
static void conn_yield(struct front_conn *c)
{
	struct front *f = c->front;
	struct memory_holder h = holder_of(c);
	bool refuse =
		c->receive.active && !memory_is_slow_reader(&h, f->duty.now_us);

	log_write(
		LOG_WARN, "front",
		"%s to free memory held_bytes=%llu received_bytes=%llu "
		"receiving_ms=%lld unsent_bytes=%u sending_ms=%lld",
		refuse ? "request refused" : "connection closed",
		(unsigned long long)c->held_bytes,
		(unsigned long long)(c->receive.active ? c->receive.bytes : 0),
		(long long)(c->receive.active ?
				    (f->duty.now_us - c->receive.began_us) /
					    US_PER_MS :
				    0),
		unsent_bytes(c),
		(long long)(c->send.active ?
				    (f->duty.now_us - c->send.began_us) /
					    US_PER_MS :
				    0));
	counter_add(refuse ? f->memory_refused : f->memory_closed, 1);
	if (!refuse) {
		conn_close(c);
		return;
	}
	refuse_and_stop_reading(c,
				c->receiving ? c->receiving : exchange_new(c),
				ERR_OVERLOADED);
	send_answers(c);
}

/* Has connections give way until the memory is within its budget. To be called
 * at the end of an event, as it may close any connection. */
static void relieve_memory(struct front *f)
{
	for (uint32_t s = 0; s < MEMORY_SHARE_COUNT; s++)
		while (memory_budget_exceeded(&f->memory, s)) {
			struct front_conn *c = find_yielding(f, s);

			if (!c)
				break;
			conn_yield(c);
		}
}

void front_conn_answered(struct exchange *x)
{
	struct front *f = x->front;

	if (x->conn)
		send_answers(x->conn);
	else
		exchange_free(x);
	relieve_memory(f);
}

static void conn_readable(struct front_conn *c)
{
	uint8_t data[READ_BYTES];
	apr_size_t n = sizeof(data);
	apr_status_t rv = apr_socket_recv(c->poll.sock, (char *)data, &n);

	if (APR_STATUS_IS_EAGAIN(rv))
		return;
	if (rv != APR_SUCCESS || !n) {
		conn_close(c);
		return;
	}
	process_input(c, data, (uint32_t)n);
	send_answers(c);
}

static void conn_ready(struct poll_handler *h, int16_t events)
{
	struct front_conn *c = az_container_of(h, struct front_conn, poll);
	struct front *f = c->front;

	if ((events & APR_POLLOUT) && !send_answers(c))
		return;
	if (events & ~APR_POLLOUT)
		conn_readable(c);
	relieve_memory(f);
}

static const struct poll_ops conn_poll_ops = { conn_ready };

/* ---- accepting and expiring connections ---- */

static void conn_open(struct front *f, struct front_listener *l,
		      apr_socket_t *sock, apr_pool_t *pool)
{
	struct front_conn *c = az_alloc(sizeof(*c));
	apr_os_sock_t fd;

	apr_os_sock_get(&fd, sock);
	net_keep_alive(fd);
	apr_socket_opt_set(sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(sock, 0);
	apr_socket_opt_set(sock, APR_TCP_NODELAY, 1);
	c->poll.ops = &conn_poll_ops;
	c->poll.sock = sock;
	c->pool = pool;
	c->front = f;
	c->health_only = l->health_only;
	c->next = f->conns;
	if (c->next)
		c->next->prev = c;
	f->conns = c;
	c->used_us = f->duty.now_us;
	if (c->health_only)
		f->health_conn_count++;
	else
		__atomic_add_fetch(&f->conn_count, 1, __ATOMIC_RELAXED);
	set_idle_timeout(c);
	update_poll_events(c);
}

/* True if no request of the connection is complete and no answer unsent. */
static bool has_no_request(const struct front_conn *c)
{
	return !has_unsent(c) &&
	       (!c->first || (c->first == c->receiving && !c->first->next));
}

/* Closes the connection without a complete request that was used least
 * recently, so that a crowd that connects cannot keep others out. Bytes of an
 * incomplete request do not count as use. False if there is none. */
static bool close_least_recently_used(struct front *f, bool health_only)
{
	struct front_conn *found = NULL;

	for (struct front_conn *c = f->conns; c; c = c->next)
		if (c->health_only == health_only && has_no_request(c) &&
		    (!found || c->used_us <= found->used_us))
			found = c;
	if (!found)
		return false;
	log_write(LOG_WARN, "front",
		  "connection closed to make room for a new one idle_ms=%lld "
		  "open=%u max=%u health=%s",
		  (long long)((f->duty.now_us - found->used_us) / US_PER_MS),
		  front_connections(f), f->connections_max,
		  health_only ? "yes" : "no");
	counter_add(f->connections_closed, 1);
	conn_close(found);
	return true;
}

static bool is_full(struct front *f, bool health_only)
{
	return health_only ? f->health_conn_count >= HEALTH_CONNECTIONS_MAX :
			     front_connections(f) >= f->connections_max;
}

bool front_conn_accept(struct front *f, struct front_listener *l)
{
	apr_socket_t *sock;
	apr_pool_t *pool;
	apr_status_t rv;

	if (apr_pool_create_unmanaged_ex(&pool, NULL, NULL) != APR_SUCCESS)
		return false;
	rv = apr_socket_accept(&sock, l->poll.sock, pool);
	if (rv != APR_SUCCESS) {
		apr_pool_destroy(pool);
		if ((rv == EMFILE || rv == ENFILE) &&
		    !close_least_recently_used(f, l->health_only))
			front_pause_accepting(f);
		return false;
	}
	if (is_full(f, l->health_only) &&
	    !close_least_recently_used(f, l->health_only)) {
		log_write(LOG_WARN, "front",
			  "too many connections, closed a new one open=%u "
			  "max=%u",
			  front_connections(f), f->connections_max);
		counter_add(f->connections_closed, 1);
		apr_socket_close(sock);
		apr_pool_destroy(pool);
		return true;
	}
	conn_open(f, l, sock, pool);
	return true;
}

/* Handles a connection whose time-out has passed. A request that is partly read
 * is refused with ERR_REQUEST_TIMEOUT. A connection is closed if it lingers,
 * has no request, or its caller does not read the answers. */
static void conn_expire(struct front_conn *c)
{
	int64_t idle_us = current_limits(c->front).idle_timeout_ms * US_PER_MS;
	bool unsent = has_unsent(c);
	bool unread =
		unsent && c->front->duty.now_us - c->send.moved_us >= idle_us;

	if (unread || c->phase == PHASE_LINGER ||
	    (!c->first && !unsent && !is_receiving(c))) {
		conn_close(c);
	} else if (is_receiving(c)) {
		refuse_and_stop_reading(
			c, c->receiving ? c->receiving : exchange_new(c),
			ERR_REQUEST_TIMEOUT);
		send_answers(c);
	} else {
		c->timeout_at_us = 0;
		if (unsent)
			set_timeout(c, c->send.moved_us + idle_us);
	}
}

static bool is_idle(const struct front_conn *c)
{
	return c->phase == PHASE_HEAD && !c->first && !c->head_input.len_bytes;
}

int64_t front_conns_expire(struct front *f, int64_t now_us)
{
	bool quiesced = front_is_quiesced(f);
	int64_t next_us = INT64_MAX;
	struct front_conn *after;

	for (struct front_conn *c = f->conns; c; c = after) {
		after = c->next;
		if (quiesced && is_idle(c) && !c->health_only) {
			conn_close(c);
			continue;
		}
		if (c->timeout_at_us && c->timeout_at_us <= now_us) {
			conn_expire(c);
			continue;
		}
		if (c->timeout_at_us && c->timeout_at_us < next_us)
			next_us = c->timeout_at_us;
	}
	return next_us;
}

void front_conns_close(struct front *f)
{
	while (f->conns)
		conn_close(f->conns);
}
