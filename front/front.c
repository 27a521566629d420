#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <apr_portable.h>

#include "front/front.h"

/* More than the requests that the daemon admits, so that no answer is lost. */
#define RING_SLOTS 32768
#define LIMITER_BUCKETS 16384
#define LISTEN_BACKLOG 1024
#define MEMORY_BYTES_DEFAULT (256ULL << 20)
#define DESCRIPTORS_DEFAULT 4096
/* Connections of callers: so many of the descriptors, as the rest is for
 * workers, peers and the store, without those of the administration API; and
 * so much of the memory, at the memory that an idle connection takes. */
#define CONNECTIONS_MAX 3000
#define DESCRIPTORS_SHARE_PERCENT 75
#define DESCRIPTORS_ADMIN 64
#define MEMORY_SHARE_DIVISOR 16
#define CONNECTION_BYTES 10240
#define ACCEPT_PAUSE_US (100 * US_PER_MS)
/* Connections accepted in a row before the open ones are served again, so that
 * many new connections at once do not delay the requests on open ones. */
#define ACCEPTS_PER_EVENT 32

uint32_t front_in_flight(struct front *f)
{
	return __atomic_load_n(&f->in_flight, __ATOMIC_RELAXED);
}

uint32_t front_connections(struct front *f)
{
	return __atomic_load_n(&f->conn_count, __ATOMIC_RELAXED);
}

bool front_is_stopping(const struct front *f)
{
	return __atomic_load_n(&f->stopping, __ATOMIC_ACQUIRE);
}

bool front_is_quiesced(const struct front *f)
{
	return __atomic_load_n(&f->quiesced, __ATOMIC_ACQUIRE);
}

enum error_kind front_health(const struct front *f)
{
	if (front_is_stopping(f))
		return ERR_STOPPING;
	return __atomic_load_n(&f->ready, __ATOMIC_ACQUIRE) ?
		       ERR_NONE :
		       ERR_NOT_CONFIGURED;
}

void front_set_ready(struct front *f)
{
	__atomic_store_n(&f->ready, 1, __ATOMIC_RELEASE);
}

void front_set_stopping(struct front *f)
{
	__atomic_store_n(&f->stopping, 1, __ATOMIC_RELEASE);
}

void front_arm(struct front *f, int64_t at_us)
{
	if (f->armed_us && f->armed_us <= at_us)
		return;
	f->armed_us = at_us;
	duty_arm(&f->duty, at_us);
}

static void poll_listeners(struct front *f, int16_t events)
{
	for (uint32_t i = 0; i < 2; i++)
		if (f->listeners[i].poll.sock)
			duty_poll(&f->duty, &f->listeners[i].poll, events);
}

void front_pause_accepting(struct front *f)
{
	log_write(LOG_WARN, "front",
		  "no descriptor is free, accepting no connections for %lld ms",
		  (long long)(ACCEPT_PAUSE_US / US_PER_MS));
	poll_listeners(f, 0);
	f->accept_again_us = f->duty.now_us + ACCEPT_PAUSE_US;
	front_arm(f, f->accept_again_us);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct front *f = az_container_of(d, struct front, duty);
	int64_t next_us;

	f->armed_us = 0;
	if (f->accept_again_us && f->accept_again_us <= now_us) {
		f->accept_again_us = 0;
		poll_listeners(f, APR_POLLIN);
	}
	next_us = front_conns_expire(f, now_us);
	if (f->accept_again_us && f->accept_again_us < next_us)
		next_us = f->accept_again_us;
	if (next_us != INT64_MAX)
		front_arm(f, next_us);
}

static void on_stop(struct duty *d)
{
	struct front *f = az_container_of(d, struct front, duty);

	front_conns_close(f);
	for (uint32_t i = 0; i < 2; i++)
		if (f->listeners[i].poll.sock)
			apr_socket_close(f->listeners[i].poll.sock);
}

static const struct duty_ops duty_ops = { "front", on_timer, on_stop };

/** Calls a function of all connections in the front thread. */
struct conns_msg {
	struct msg msg;
	void (*action)(struct front *f);
};

static void conns_run(struct msg *m, struct duty *to)
{
	struct conns_msg *c = az_container_of(m, struct conns_msg, msg);

	c->action(az_container_of(to, struct front, duty));
	free(c);
}

static void conns_drop(struct msg *m)
{
	free(az_container_of(m, struct conns_msg, msg));
}

static const struct msg_ops conns_ops = { "front-conns", conns_run,
					  conns_drop };

static void run_on_connections(struct front *f, void (*act)(struct front *f))
{
	struct conns_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &conns_ops;
	m->action = act;
	duty_send(&f->duty, &m->msg);
}

/* With `quiesced` set, front_conns_expire() closes the idle connections. */
static void close_idle(struct front *f)
{
	on_timer(&f->duty, f->duty.now_us);
}

void front_quiesce(struct front *f)
{
	__atomic_store_n(&f->quiesced, 1, __ATOMIC_RELEASE);
	run_on_connections(f, close_idle);
}

static void listener_ready(struct poll_handler *h, int16_t events)
{
	struct front_listener *l =
		az_container_of(h, struct front_listener, poll);

	(void)events;
	for (uint32_t i = 0; i < ACCEPTS_PER_EVENT; i++)
		if (!front_conn_accept(l->front, l))
			return;
}

static const struct poll_ops listener_ops = { listener_ready };

static enum az_status listen_at(struct front *f, struct front_listener *l,
				uint32_t ip, uint16_t port)
{
	apr_pool_t *pool = f->duty.pool;
	apr_sockaddr_t *sa = net_address(ip, port, pool);
	apr_socket_t *sock;
	apr_os_sock_t fd;

	l->front = f;
	l->poll.ops = &listener_ops;
	if (!sa || apr_socket_create(&sock, APR_INET, SOCK_STREAM,
				     APR_PROTO_TCP, pool))
		return az_fail(AZ_IO, "cannot create a socket for port %u",
			       port);
	apr_os_sock_get(&fd, sock);
	/* Accepted sockets inherit it. */
	net_set_receive_buffer(fd, RECEIVE_BUFFER_BYTES);
	apr_socket_opt_set(sock, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(sock, 0);
	if (apr_socket_bind(sock, sa) ||
	    apr_socket_listen(sock, LISTEN_BACKLOG)) {
		apr_socket_close(sock);
		return az_fail(AZ_IO, "cannot listen on port %u", port);
	}
	l->poll.sock = sock;
	return duty_poll(&f->duty, &l->poll, APR_POLLIN);
}

static uint32_t connections_max(uint64_t memory_bytes, uint32_t descriptors)
{
	uint64_t of_memory =
		memory_bytes / MEMORY_SHARE_DIVISOR / CONNECTION_BYTES;
	uint64_t of_descriptors =
		(uint64_t)descriptors * DESCRIPTORS_SHARE_PERCENT / 100 -
		DESCRIPTORS_ADMIN;
	uint64_t max = of_memory < of_descriptors ? of_memory : of_descriptors;

	return max > CONNECTIONS_MAX ? CONNECTIONS_MAX : (uint32_t)max;
}

struct front *front_create(const struct front_settings *s,
			   struct timer_service *timers, apr_pool_t *pool)
{
	struct front *f = apr_pcalloc(pool, sizeof(*f));

	if (duty_init(&f->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	f->settings = *s;
	f->dialect = s->dialect ? s->dialect->ops : front_own_dialect.ops;
	if (!f->settings.memory_bytes)
		f->settings.memory_bytes = MEMORY_BYTES_DEFAULT;
	if (!f->settings.descriptors_max)
		f->settings.descriptors_max = DESCRIPTORS_DEFAULT;
	memory_budget_init(&f->memory, f->settings.memory_bytes);
	f->connections_max = connections_max(f->settings.memory_bytes,
					     f->settings.descriptors_max);
	f->limiter = limiter_create(LIMITER_BUCKETS);
	f->requests = counter_get("front_requests");
	f->refused = counter_get("front_refused");
	f->answered = counter_get("front_answered");
	f->callers_left = counter_get("front_callers_left");
	f->connections_closed = counter_get("front_connections_closed");
	f->memory_refused = counter_get("front_memory_refused");
	f->memory_closed = counter_get("front_memory_closed");
	f->memory_held = counter_get("front_memory_held_bytes");
	f->latency = histogram_get("front_latency");
	return f;
}

enum az_status front_start(struct front *f)
{
	const struct front_settings *s = &f->settings;
	enum az_status st = listen_at(f, &f->listeners[0], s->ip, s->port);

	if (st == AZ_OK && s->health_port) {
		f->listeners[1].health_only = true;
		st = listen_at(f, &f->listeners[1], s->health_ip,
			       s->health_port);
	}
	return st == AZ_OK ? duty_start(&f->duty) : st;
}

void front_stop(struct front *f)
{
	duty_stop(&f->duty);
	limiter_destroy(f->limiter);
}

void front_destroy(struct front *f)
{
	duty_destroy(&f->duty);
}
