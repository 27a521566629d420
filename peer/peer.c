/**
 * @file
 * The peer duty: listener, timers, planned stop.
 */
#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <apr_network_io.h>

#include "peer/peer.h"

/* More than the number of calls and answers in flight, so that an answer never
 * finds the ring full. */
#define RING_SLOTS 32768
/* An outbound connection is closed after this time without use, an inbound one
 * after twice this time. */
#define IDLE_TIMEOUT_US (60 * US_PER_S)
#define LISTEN_BACKLOG 511
#define SETUPS_MAX_DEFAULT 64

static void send_goaway(struct peer_conn *c)
{
	struct buf body = { 0 };

	c->goaway_sent = true;
	peer_put_goaway(&body, c->session.received);
	peer_put_reply(&c->send_buf, &c->session, &c->peer->settings.keys,
		       PEER_XID_GOAWAY, &body);
	buf_free(&body);
}

static void quiesce_run(struct msg *m, struct duty *to)
{
	struct peer *p = az_container_of(to, struct peer, duty);
	struct peer_conn *next_conn;

	free(m);
	p->quiesced = true;
	duty_poll(&p->duty, &p->listener.poll, 0);
	apr_socket_close(p->listener.poll.sock);
	for (struct peer_conn *c = p->conns; c; c = next_conn) {
		next_conn = c->next;
		if (c->outbound)
			continue;
		if (c->state == PEER_CONN_READY)
			send_goaway(c);
		if (c->state != PEER_CONN_READY || !peer_conn_flush(c))
			peer_conn_close(c);
	}
}

static void quiesce_drop(struct msg *m)
{
	free(m);
}

static const struct msg_ops quiesce_ops = { "peer-quiesce", quiesce_run,
					    quiesce_drop };

void peer_quiesce(struct peer *p)
{
	struct msg *m = az_alloc(sizeof(*m));

	m->ops = &quiesce_ops;
	duty_send(&p->duty, m);
}

uint16_t peer_port(const struct peer *p)
{
	apr_sockaddr_t *sa;

	if (apr_socket_addr_get(&sa, APR_LOCAL, p->listener.poll.sock))
		return 0;
	return sa->port;
}

uint32_t peer_inbound_count(struct peer *p)
{
	return __atomic_load_n(&p->inbound, __ATOMIC_RELAXED);
}

struct keys_msg {
	struct msg msg;
	struct fleet_keys keys;
};

static void keys_run(struct msg *m, struct duty *to)
{
	struct keys_msg *k = az_container_of(m, struct keys_msg, msg);
	struct peer *p = az_container_of(to, struct peer, duty);

	p->settings.keys = k->keys;
	free(k);
}

static void keys_drop(struct msg *m)
{
	free(az_container_of(m, struct keys_msg, msg));
}

static const struct msg_ops keys_ops = { "peer-keys", keys_run, keys_drop };

void peer_set_keys(struct peer *p, const struct fleet_keys *k)
{
	struct keys_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &keys_ops;
	m->keys = *k;
	duty_send(&p->duty, &m->msg);
}

/* ---- timers ---- */

static void set_earlier(int64_t *next_us, int64_t at_us)
{
	if (at_us < *next_us)
		*next_us = at_us;
}

/* Fails the calls whose deadline has passed. A connection on which a call timed
 * out may be dead, so that new calls use another one. */
static void expire_calls(struct peer_conn *c, int64_t now_us, int64_t *next_us)
{
	struct peer_call *next_call;

	for (struct peer_call *call = c->calls; call; call = next_call) {
		next_call = call->next;
		if (call->deadline_us > now_us) {
			set_earlier(next_us, call->deadline_us);
			continue;
		}
		peer_call_fail(call);
		c->retired = true;
	}
	if (c->retired)
		peer_forget_target(c);
}

static bool must_close(const struct peer_conn *c, int64_t now_us)
{
	if (c->state != PEER_CONN_READY)
		return c->setup_deadline_us <= now_us;
	if (c->calls)
		return false;
	return c->retired ||
	       now_us - c->last_used_us >
		       (c->outbound ? IDLE_TIMEOUT_US : 2 * IDLE_TIMEOUT_US);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct peer *p = az_container_of(d, struct peer, duty);
	int64_t next_us = now_us + IDLE_TIMEOUT_US;
	struct peer_conn *next_conn;

	p->armed_us = 0;
	for (struct peer_conn *c = p->conns; c; c = next_conn) {
		next_conn = c->next;
		expire_calls(c, now_us, &next_us);
		if (must_close(c, now_us))
			peer_conn_close(c);
		else if (c->state != PEER_CONN_READY)
			set_earlier(&next_us, c->setup_deadline_us);
	}
	peer_arm_timer(p, next_us);
}

static void on_stop(struct duty *d)
{
	struct peer *p = az_container_of(d, struct peer, duty);

	while (p->conns)
		peer_conn_close(p->conns);
	if (!p->quiesced)
		apr_socket_close(p->listener.poll.sock);
}

static const struct duty_ops duty_ops = { "peer", on_timer, on_stop };

static enum az_status open_listener(struct peer *p)
{
	struct peer_settings *s = &p->settings;
	apr_pool_t *pool = p->duty.pool;
	apr_sockaddr_t *sa = net_address(s->ip, s->port, pool);
	char *ip;

	if (!sa || apr_sockaddr_ip_get(&ip, sa) ||
	    apr_socket_create(&p->listener.poll.sock, APR_INET, SOCK_STREAM,
			      APR_PROTO_TCP, pool))
		return az_fail(AZ_IO, "cannot create a socket for port %u",
			       s->port);
	apr_socket_opt_set(p->listener.poll.sock, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(p->listener.poll.sock, APR_SO_NONBLOCK, 1);
	if (apr_socket_bind(p->listener.poll.sock, sa) ||
	    apr_socket_listen(p->listener.poll.sock, LISTEN_BACKLOG))
		return az_fail(AZ_IO, "cannot listen on %s:%u", ip, s->port);
	p->listener.peer = p;
	p->listener.poll.ops = &peer_accept_ops;
	return duty_poll(&p->duty, &p->listener.poll, APR_POLLIN);
}

struct peer *peer_create(const struct peer_settings *s,
			 struct timer_service *timers, apr_pool_t *pool)
{
	struct peer *p = apr_pcalloc(pool, sizeof(*p));

	if (duty_init(&p->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	p->settings = *s;
	if (!p->settings.setups_max)
		p->settings.setups_max = SETUPS_MAX_DEFAULT;
	p->by_target = apr_hash_make(p->duty.pool);
	p->by_id = apr_hash_make(p->duty.pool);
	p->by_xid = apr_hash_make(p->duty.pool);
	p->calls = counter_get("peer_calls");
	p->lost_calls = counter_get("peer_calls_lost");
	p->served = counter_get("peer_served");
	p->denied = counter_get("peer_denied");
	p->setups_closed = counter_get("peer_setups_closed");
	p->bytes_out = counter_get("peer_bytes_out");
	return open_listener(p) == AZ_OK ? p : NULL;
}

enum az_status peer_start(struct peer *p)
{
	return duty_start(&p->duty);
}

void peer_stop(struct peer *p)
{
	duty_stop(&p->duty);
}

void peer_destroy(struct peer *p)
{
	duty_destroy(&p->duty);
}
