/**
 * @file
 * Program: TCP relay that simulates network faults between daemons. It forwards
 * connections to one daemon and can hold, drop or delay the bytes.
 *
 * POST /set?hold=none|to|from|both  hold bytes until `hold` omits the direction
 *           drop=none|to|from|both  drop bytes; a connection that lost some
 *                                   forwards no more in that direction
 *           silence=open            forward nothing more on the connections
 *                                   that are open now
 *           reset=open              reset the connections that are open now
 *           delay_ms=N              delay all bytes
 * "to" is the direction to the daemon. GET /counts returns the number of
 * connections and of bytes in each direction.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <apr_general.h>
#include <apr_network_io.h>
#include <apr_portable.h>
#include <microhttpd.h>

#include "lib/az.h"

#define READ_BYTES 16384
#define LISTEN_BACKLOG 512
#define RING_SLOTS 64

enum direction {
	DIRECTION_TO,
	DIRECTION_FROM,
	DIRECTION_COUNT,
};

/** Bytes that are being forwarded, or the end of the stream. */
struct chunk {
	struct chunk *next;
	int64_t due_us; /**< not written before, because of the delay */
	bool end; /**< end of the stream; no bytes */
	struct buf bytes;
	uint32_t sent_bytes;
};

struct conn_pair;

/** One of the two sockets of a forwarded connection. */
struct endpoint {
	struct poll_handler poll;
	struct conn_pair *pair;
	enum direction direction; /**< of the bytes that are read here */
	bool ended; /**< the end of the stream was read */
	bool discards; /**< what is read here is dropped, now and later */
	struct chunk *head; /**< chunks to be written here */
	struct chunk **tail; /**< where the next chunk is linked */
};

/** A forwarded connection. */
struct conn_pair {
	struct tcp_relay *relay;
	struct conn_pair *next;
	struct conn_pair *prev;
	apr_pool_t *pool;
	struct endpoint endpoints[DIRECTION_COUNT]; /**< of the connecting side,
						 of the daemon */
	bool closing; /**< freed at the end of the current event */
};

struct tcp_relay {
	struct duty duty;
	struct poll_handler listener;
	apr_sockaddr_t *daemon_address;
	struct conn_pair *pairs;
	bool hold[DIRECTION_COUNT];
	bool drop[DIRECTION_COUNT];
	int64_t delay_us;
	int64_t connections; /**< atomic: number accepted so far */
	int64_t bytes[DIRECTION_COUNT]; /**< atomic: forwarded so far */
};

/* ---- forwarded connections ---- */

static void endpoint_free(struct endpoint *s)
{
	while (s->head) {
		struct chunk *c = s->head;

		s->head = c->next;
		buf_free(&c->bytes);
		free(c);
	}
	if (s->poll.sock) {
		duty_poll(&s->pair->relay->duty, &s->poll, 0);
		apr_socket_close(s->poll.sock);
	}
}

static void pair_free(struct conn_pair *p)
{
	if (p->prev)
		p->prev->next = p->next;
	else
		p->relay->pairs = p->next;
	if (p->next)
		p->next->prev = p->prev;
	endpoint_free(&p->endpoints[0]);
	endpoint_free(&p->endpoints[1]);
	apr_pool_destroy(p->pool);
	free(p);
}

static struct endpoint *opposite_endpoint(struct endpoint *s)
{
	return &s->pair->endpoints[1 - s->direction];
}

/* Writes the chunks that are due and not held. */
static void endpoint_write(struct endpoint *s)
{
	struct tcp_relay *r = s->pair->relay;
	enum direction d = 1 - s->direction;

	while (s->head && !r->hold[d] && !s->pair->closing) {
		struct chunk *c = s->head;
		apr_size_t n = c->bytes.len_bytes - c->sent_bytes;
		apr_status_t rv;

		if (c->due_us > r->duty.now_us) {
			duty_arm(&r->duty, c->due_us);
			return;
		}
		if (c->end) {
			s->pair->closing = true;
			return;
		}
		rv = apr_socket_send(s->poll.sock,
				     (char *)c->bytes.data + c->sent_bytes, &n);
		if (rv != APR_SUCCESS) {
			s->pair->closing = !APR_STATUS_IS_EAGAIN(rv);
			return;
		}
		c->sent_bytes += (uint32_t)n;
		__atomic_add_fetch(&r->bytes[d], (int64_t)n, __ATOMIC_RELAXED);
		if (c->sent_bytes < c->bytes.len_bytes)
			continue;
		s->head = c->next;
		if (!s->head)
			s->tail = &s->head;
		buf_free(&c->bytes);
		free(c);
	}
}

/* Sets the events for which the endpoint is polled. */
static void endpoint_update_events(struct endpoint *s)
{
	struct tcp_relay *r = s->pair->relay;
	bool writes = s->head && !r->hold[1 - s->direction] &&
		      s->head->due_us <= r->duty.now_us;
	int16_t events = s->ended ? 0 : APR_POLLIN;

	if (writes)
		events |= APR_POLLOUT;
	duty_poll(&r->duty, &s->poll, events);
}

/* Called at the end of each event: writes what is due, then frees the pair or
 * waits for the next event. */
static void pair_finish_event(struct conn_pair *p)
{
	endpoint_write(&p->endpoints[0]);
	endpoint_write(&p->endpoints[1]);
	if (p->closing || (p->endpoints[0].ended && p->endpoints[1].ended)) {
		pair_free(p);
		return;
	}
	endpoint_update_events(&p->endpoints[0]);
	endpoint_update_events(&p->endpoints[1]);
}

/* Queues bytes, or the end of the stream, for the opposite endpoint, unless
 * they are to be dropped. */
static void forward(struct endpoint *s, const char *data, uint32_t n, bool end)
{
	struct tcp_relay *r = s->pair->relay;
	struct endpoint *to = opposite_endpoint(s);
	struct chunk *c;

	if (r->drop[s->direction])
		s->discards = true;
	if (s->discards)
		return;
	c = az_alloc(sizeof(*c));
	c->due_us = r->duty.now_us + r->delay_us;
	c->end = end;
	if (n)
		buf_append(&c->bytes, data, n);
	*to->tail = c;
	to->tail = &c->next;
}

static void endpoint_read(struct endpoint *s)
{
	char data[READ_BYTES];
	apr_size_t n = sizeof(data);
	apr_status_t rv = apr_socket_recv(s->poll.sock, data, &n);

	if (APR_STATUS_IS_EAGAIN(rv))
		return;
	if (rv != APR_SUCCESS || !n) {
		s->ended = true;
		forward(s, NULL, 0, true);
		return;
	}
	forward(s, data, (uint32_t)n, false);
}

static void endpoint_ready(struct poll_handler *h, int16_t events)
{
	struct endpoint *s = az_container_of(h, struct endpoint, poll);

	if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
		endpoint_read(s);
	pair_finish_event(s->pair);
}

static const struct poll_ops endpoint_ops = { endpoint_ready };

static void set_socket_options(apr_socket_t *sock)
{
	apr_socket_opt_set(sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(sock, 0);
	apr_socket_opt_set(sock, APR_TCP_NODELAY, 1);
}

static bool connect_daemon(struct tcp_relay *r, struct conn_pair *p)
{
	struct endpoint *s = &p->endpoints[1];
	apr_status_t rv;

	if (apr_socket_create(&s->poll.sock, APR_INET, SOCK_STREAM,
			      APR_PROTO_TCP, p->pool) != APR_SUCCESS)
		return false;
	set_socket_options(s->poll.sock);
	rv = apr_socket_connect(s->poll.sock, r->daemon_address);
	return rv == APR_SUCCESS || APR_STATUS_IS_EINPROGRESS(rv);
}

static void on_accept(struct poll_handler *h, int16_t events)
{
	struct tcp_relay *r = az_container_of(h, struct tcp_relay, listener);
	struct conn_pair *p = az_alloc(sizeof(*p));

	(void)events;
	if (apr_pool_create_unmanaged_ex(&p->pool, NULL, NULL) != APR_SUCCESS)
		abort();
	p->relay = r;
	p->next = r->pairs;
	if (p->next)
		p->next->prev = p;
	r->pairs = p;
	for (int32_t i = 0; i < DIRECTION_COUNT; i++) {
		p->endpoints[i].poll.ops = &endpoint_ops;
		p->endpoints[i].pair = p;
		p->endpoints[i].direction = i;
		p->endpoints[i].tail = &p->endpoints[i].head;
	}
	if (apr_socket_accept(&p->endpoints[0].poll.sock, h->sock, p->pool) !=
	    APR_SUCCESS) {
		p->endpoints[0].poll.sock = NULL;
		pair_free(p);
		return;
	}
	set_socket_options(p->endpoints[0].poll.sock);
	__atomic_add_fetch(&r->connections, 1, __ATOMIC_RELAXED);
	if (!connect_daemon(r, p))
		p->closing = true;
	pair_finish_event(p);
}

static const struct poll_ops listener_ops = { on_accept };

/* ---- the duty ---- */

static void update_all_pairs(struct tcp_relay *r)
{
	struct conn_pair *next;

	for (struct conn_pair *p = r->pairs; p; p = next) {
		next = p->next;
		pair_finish_event(p);
	}
}

static void on_timer(struct duty *d, int64_t now_us)
{
	(void)now_us;
	update_all_pairs(az_container_of(d, struct tcp_relay, duty));
}

static void on_stop(struct duty *d)
{
	struct tcp_relay *r = az_container_of(d, struct tcp_relay, duty);

	while (r->pairs)
		pair_free(r->pairs);
}

static const struct duty_ops relay_ops = { "relay", on_timer, on_stop };

/* ---- control port ---- */

/** Command of a POST /set. */
struct control_command {
	struct msg msg;
	int32_t hold; /**< bit mask of directions; -1: unchanged */
	int32_t drop; /**< as `hold` */
	bool silence;
	bool reset;
	int64_t delay_us; /**< -1: unchanged */
};

/* Sets a flag of each direction from a bit mask; -1 changes nothing. */
static void set_directions(bool out[DIRECTION_COUNT], int32_t mask)
{
	for (int32_t i = 0; mask >= 0 && i < DIRECTION_COUNT; i++)
		out[i] = mask >> i & 1;
}

/* With SO_LINGER and a time of 0 a close sends a TCP reset. */
static void pair_reset(struct conn_pair *p)
{
	struct linger zero_linger = { .l_onoff = 1, .l_linger = 0 };
	apr_os_sock_t fd;

	for (int32_t i = 0; i < DIRECTION_COUNT; i++)
		if (p->endpoints[i].poll.sock &&
		    !apr_os_sock_get(&fd, p->endpoints[i].poll.sock))
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &zero_linger,
				   sizeof(zero_linger));
	pair_free(p);
}

static void command_run(struct msg *m, struct duty *to)
{
	struct control_command *o =
		az_container_of(m, struct control_command, msg);
	struct tcp_relay *r = az_container_of(to, struct tcp_relay, duty);

	set_directions(r->hold, o->hold);
	set_directions(r->drop, o->drop);
	if (o->delay_us >= 0)
		r->delay_us = o->delay_us;
	for (struct conn_pair *p = r->pairs; o->silence && p; p = p->next)
		p->endpoints[0].discards = p->endpoints[1].discards = true;
	while (o->reset && r->pairs)
		pair_reset(r->pairs);
	log_write(LOG_INFO, "relay",
		  "hold=%d drop=%d silence=%d reset=%d delay_us=%lld", o->hold,
		  o->drop, o->silence, o->reset, (long long)o->delay_us);
	free(o);
	update_all_pairs(r);
}

static void command_drop(struct msg *m)
{
	free(az_container_of(m, struct control_command, msg));
}

static const struct msg_ops command_ops = { "order", command_run,
					    command_drop };

/* Parses the name of a bit mask of directions, -1 if `s` is NULL; false if it
 * is unknown. */
static bool parse_directions(const char *s, int32_t *out)
{
	static const char *const names[] = { "none", "to", "from", "both" };

	*out = -1;
	for (int32_t i = 0; s && i < 4; i++)
		if (!strcmp(s, names[i]))
			*out = i;
	return !s || *out >= 0;
}

static bool parse_command(struct MHD_Connection *c, struct control_command *o)
{
	const char *silence = MHD_lookup_connection_value(
		c, MHD_GET_ARGUMENT_KIND, "silence");
	const char *reset =
		MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "reset");
	const char *delay = MHD_lookup_connection_value(
		c, MHD_GET_ARGUMENT_KIND, "delay_ms");

	o->msg.ops = &command_ops;
	o->delay_us = delay ? strtol(delay, NULL, 10) * US_PER_MS : -1;
	o->silence = silence && !strcmp(silence, "open");
	o->reset = reset && !strcmp(reset, "open");
	return parse_directions(MHD_lookup_connection_value(
					c, MHD_GET_ARGUMENT_KIND, "hold"),
				&o->hold) &&
	       parse_directions(MHD_lookup_connection_value(
					c, MHD_GET_ARGUMENT_KIND, "drop"),
				&o->drop) &&
	       (!silence || o->silence) && (!reset || o->reset);
}

static enum MHD_Result respond(struct MHD_Connection *c, uint32_t status,
			       const char *text)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result = MHD_queue_response(c, status, r);

	MHD_destroy_response(r);
	return result;
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **state)
{
	/* Its address marks a request whose headers were seen. */
	static int headers_done;
	struct tcp_relay *r = arg;
	struct control_command *o;
	char text[160];

	(void)version;
	(void)data;
	if (*state != &headers_done || *data_bytes) {
		*data_bytes = 0;
		*state = &headers_done;
		return MHD_YES;
	}
	if (!strcmp(url, "/counts")) {
		snprintf(text, sizeof(text),
			 "{\"connections\":%lld,\"to\":%lld,\"from\":%lld}",
			 (long long)__atomic_load_n(&r->connections,
						    __ATOMIC_RELAXED),
			 (long long)__atomic_load_n(&r->bytes[DIRECTION_TO],
						    __ATOMIC_RELAXED),
			 (long long)__atomic_load_n(&r->bytes[DIRECTION_FROM],
						    __ATOMIC_RELAXED));
		return respond(c, MHD_HTTP_OK, text);
	}
	if (strcmp(url, "/set") != 0 || strcmp(method, "POST") != 0)
		return respond(c, MHD_HTTP_NOT_FOUND, "not found\n");
	o = az_alloc(sizeof(*o));
	if (!parse_command(c, o)) {
		free(o);
		return respond(c, MHD_HTTP_BAD_REQUEST,
			       "hold, drop: none, to, from, both; "
			       "silence, reset: open; delay_ms: a number\n");
	}
	duty_send(&r->duty, &o->msg);
	return respond(c, MHD_HTTP_OK, "ok\n");
}

/* ---- program ---- */

struct settings {
	const char *listen;
	const char *to;
	const char *control;
};

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0,
	  "address at which the relay accepts connections", 0 },
	{ "to", 't', "IP:PORT", 0, "address of the daemon", 0 },
	{ "control", 'c', "IP:PORT", 0, "address for /set and /counts", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct settings *s = state->input;

	switch (key) {
	case 'l':
		s->listen = arg;
		return 0;
	case 't':
		s->to = arg;
		return 0;
	case 'c':
		s->control = arg;
		return 0;
	case ARGP_KEY_END:
		if (!s->listen || !s->to || !s->control)
			argp_error(state,
				   "--listen, --to and --control are needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options, parse_option,
	NULL,	 "TCP relay that simulates network faults between daemons.",
	NULL,	 NULL,
	NULL
};

static apr_sockaddr_t *resolve(const char *address, apr_pool_t *pool)
{
	apr_sockaddr_t *sa;
	char *host;
	char *scope;
	apr_port_t port;

	if (apr_parse_addr_port(&host, &scope, &port, address, pool) !=
		    APR_SUCCESS ||
	    !host || !port ||
	    apr_sockaddr_info_get(&sa, host, APR_INET, port, 0, pool) !=
		    APR_SUCCESS) {
		az_fail(AZ_INVALID, "'%s' is not IP:PORT", address);
		return NULL;
	}
	return sa;
}

static enum az_status relay_open(struct tcp_relay *r, const struct settings *s,
				 apr_pool_t *pool)
{
	apr_sockaddr_t *sa = resolve(s->listen, pool);
	apr_sockaddr_t *control = resolve(s->control, pool);

	r->daemon_address = resolve(s->to, pool);
	if (!sa || !control || !r->daemon_address)
		return AZ_INVALID;
	if (apr_socket_create(&r->listener.sock, APR_INET, SOCK_STREAM,
			      APR_PROTO_TCP, pool) != APR_SUCCESS)
		return az_fail(AZ_IO, "cannot create a socket");
	apr_socket_opt_set(r->listener.sock, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(r->listener.sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(r->listener.sock, 0);
	if (apr_socket_bind(r->listener.sock, sa) != APR_SUCCESS ||
	    apr_socket_listen(r->listener.sock, LISTEN_BACKLOG) != APR_SUCCESS)
		return az_fail(AZ_IO, "cannot listen on %s", s->listen);
	r->listener.ops = &listener_ops;
	duty_poll(&r->duty, &r->listener, APR_POLLIN);
	if (!MHD_start_daemon(
		    MHD_USE_INTERNAL_POLLING_THREAD,
		    ntohs(control->sa.sin.sin_port), NULL, NULL, on_request, r,
		    MHD_OPTION_SOCK_ADDR, &control->sa.sin,
		    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END))
		return az_fail(AZ_IO, "cannot listen on %s", s->control);
	return AZ_OK;
}

int main(int argc, char **argv)
{
	static struct tcp_relay relay;
	struct settings s = { NULL, NULL, NULL };
	struct timer_service *timers;
	apr_pool_t *pool;
	sigset_t signals;
	int received;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, &s);
	log_set_source("relay");
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	timers = timer_service_create(pool);
	if (duty_init(&relay.duty, &relay_ops, RING_SLOTS, timers) != AZ_OK ||
	    relay_open(&relay, &s, pool) != AZ_OK ||
	    timer_service_start(timers) != AZ_OK ||
	    duty_start(&relay.duty) != AZ_OK) {
		log_write(LOG_ERROR, "relay", "%s", az_last_message());
		return EXIT_FAILURE;
	}
	sigwait(&signals, &received);
	return EXIT_SUCCESS;
}
