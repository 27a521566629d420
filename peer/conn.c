/**
 * @file
 * Connections between daemons: setup, sending, receiving and closing.
 */
#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <apr_network_io.h>

#include "peer/peer.h"

/* Bytes read from a socket at once. */
#define READ_BYTES 65536
/* Time for connecting and HELLO. */
#define SETUP_TIMEOUT_US (500 * US_PER_MS)

void peer_target_key(const struct peer_target *t, uint64_t key[2])
{
	key[0] = (uint64_t)t->ip << 16 | t->port;
	key[1] = t->incarnation;
}

void peer_forget_target(struct peer_conn *c)
{
	apr_hash_t *h = c->peer->by_target;

	if (apr_hash_get(h, c->key, sizeof(c->key)) == c)
		apr_hash_set(h, c->key, sizeof(c->key), NULL);
}

void peer_arm_timer(struct peer *p, int64_t at_us)
{
	if (p->armed_us && p->armed_us <= at_us)
		return;
	p->armed_us = at_us;
	duty_arm(&p->duty, at_us);
}

/* ---- completion of calls ---- */

static void call_free(struct peer_call *call)
{
	buf_free(&call->body);
	free(call);
}

void peer_call_answer(struct peer_call *call, struct answer *a)
{
	if (call->reply)
		call->reply->ops->answer(call->reply, a);
	else
		answer_free(a);
	call_free(call);
}

void peer_call_unlink(struct peer_call *call)
{
	if (call->prev)
		call->prev->next = call->next;
	else
		call->conn->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	apr_hash_set(call->conn->peer->by_xid, &call->xid, sizeof(call->xid),
		     NULL);
}

/* True if no byte of the call was sent, so that it certainly did not arrive. */
static bool is_unsent(const struct peer_call *call)
{
	return !call->encoded || call->first_byte >= call->conn->send_offset;
}

void peer_call_fail(struct peer_call *call)
{
	enum error_kind kind =
		is_unsent(call) ? ERR_PEER_UNREACHABLE : ERR_PEER_LOST;

	if (kind == ERR_PEER_LOST)
		counter_add(call->conn->peer->lost_calls, 1);
	peer_call_unlink(call);
	peer_call_answer(call, answer_new(kind));
}

/* ---- connections ---- */

void peer_conn_close(struct peer_conn *c)
{
	struct peer *p = c->peer;

	while (c->calls)
		peer_call_fail(c->calls);
	duty_poll(&p->duty, &c->poll, 0);
	if (!c->outbound)
		__atomic_sub_fetch(&p->inbound, 1, __ATOMIC_RELAXED);
	if (c->poll.sock)
		apr_socket_close(c->poll.sock);
	if (c->outbound)
		peer_forget_target(c);
	apr_hash_set(p->by_id, &c->id, sizeof(c->id), NULL);
	if (c->prev)
		c->prev->next = c->next;
	else
		p->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	buf_free(&c->receive_buf);
	buf_free(&c->send_buf);
	apr_pool_destroy(c->pool);
	free(c);
}

static struct peer_conn *conn_new(struct peer *p)
{
	struct peer_conn *c = az_alloc(sizeof(*c));

	if (apr_pool_create_unmanaged_ex(&c->pool, NULL, NULL))
		abort();
	c->peer = p;
	c->id = ++p->last_conn_id;
	c->last_used_us = p->duty.now_us;
	c->next = p->conns;
	if (c->next)
		c->next->prev = c;
	p->conns = c;
	apr_hash_set(p->by_id, &c->id, sizeof(c->id), c);
	return c;
}

bool peer_conn_flush(struct peer_conn *c)
{
	uint32_t done = 0;
	bool broken = false;

	while (!broken && done < c->send_buf.len_bytes) {
		apr_size_t n = c->send_buf.len_bytes - done;
		apr_status_t rv = apr_socket_send(
			c->poll.sock, (char *)c->send_buf.data + done, &n);

		if (rv == APR_SUCCESS)
			done += (uint32_t)n;
		else if (APR_STATUS_IS_EAGAIN(rv))
			break;
		else
			broken = true;
	}
	counter_add(c->peer->bytes_out, done);
	/* Updated even if the connection broke: a call that was sent in part
	 * must not count as unsent. */
	c->send_offset += done;
	if (broken)
		return false;
	c->send_buf.len_bytes -= done;
	memmove(c->send_buf.data, c->send_buf.data + done,
		c->send_buf.len_bytes);
	duty_poll(&c->peer->duty, &c->poll,
		  c->send_buf.len_bytes ? APR_POLLIN | APR_POLLOUT :
					  APR_POLLIN);
	return true;
}

void peer_call_encode(struct peer_conn *c, struct peer_call *call)
{
	call->encoded = true;
	call->first_byte = c->send_offset + c->send_buf.len_bytes;
	peer_put_call(&c->send_buf, &c->session, &c->peer->settings.keys,
		      call->xid, call->procedure, &call->body);
	call->sequence = c->session.sent;
	buf_free(&call->body);
}

/* The oldest call, which is last in the list, is encoded first. */
void peer_encode_pending_calls(struct peer_conn *c)
{
	struct peer_call *call = c->calls;

	while (call && call->next)
		call = call->next;
	for (; call; call = call->prev)
		if (!call->encoded)
			peer_call_encode(c, call);
}

static void send_hello_call(struct peer_conn *c)
{
	struct peer *p = c->peer;
	struct peer_hello h = { p->settings.member_id, p->settings.incarnation,
				random_u64() };
	struct buf body = { 0 };

	peer_put_hello(&body, &h);
	/* Signed with nonces of 0, as the other end does not know them yet. A
	 * replayed HELLO is harmless: it only opens a session, for which the
	 * other end chooses a new nonce. */
	peer_put_call(&c->send_buf, &c->session, &p->settings.keys, 0,
		      PEER_HELLO, &body);
	c->session.client_nonce = h.nonce;
	buf_free(&body);
}

/* ---- sockets ---- */

static enum az_status handle_records(struct peer_conn *c)
{
	uint32_t used = 0;
	enum az_status st = AZ_OK;

	for (;;) {
		struct peer_record r;
		uint32_t n =
			peer_record_bytes(c->receive_buf.data + used,
					  c->receive_buf.len_bytes - used, &st);

		if (!n)
			break;
		st = peer_get_record(c->receive_buf.data + used, n,
				     !c->outbound, &c->session,
				     &c->peer->settings.keys, &r);
		if (st == AZ_OK)
			st = peer_on_record(c, &r);
		if (st != AZ_OK)
			break;
		used += n;
	}
	c->receive_buf.len_bytes -= used;
	memmove(c->receive_buf.data, c->receive_buf.data + used,
		c->receive_buf.len_bytes);
	return st;
}

static void conn_readable(struct peer_conn *c)
{
	char data[READ_BYTES];
	apr_size_t n = sizeof(data);
	apr_status_t rv = apr_socket_recv(c->poll.sock, data, &n);
	enum az_status st;

	if (APR_STATUS_IS_EAGAIN(rv))
		return;
	if (rv != APR_SUCCESS || !n) {
		peer_conn_close(c);
		return;
	}
	buf_append(&c->receive_buf, data, (uint32_t)n);
	st = handle_records(c);
	if (st == AZ_OK && c->state == PEER_CONN_HELLO &&
	    c->receive_buf.len_bytes > PEER_HELLO_MAX_BYTES)
		st = az_fail(AZ_DENIED, "%u bytes before a HELLO",
			     c->receive_buf.len_bytes);
	if (st == AZ_OK)
		return;
	if (st == AZ_DENIED) {
		counter_add(c->peer->denied, 1);
		log_write(LOG_WARN, "peer",
			  "connection closed because a record was denied: %s",
			  az_last_message());
	}
	peer_conn_close(c);
}

static void conn_connected(struct peer_conn *c)
{
	c->state = PEER_CONN_HELLO;
	send_hello_call(c);
	if (!peer_conn_flush(c))
		peer_conn_close(c);
}

static void conn_ready(struct poll_handler *h, int16_t events)
{
	struct peer_conn *c = az_container_of(h, struct peer_conn, poll);

	if (c->state == PEER_CONN_CONNECTING) {
		if (events & (APR_POLLERR | APR_POLLHUP))
			peer_conn_close(c);
		else
			conn_connected(c);
		return;
	}
	if (events & APR_POLLOUT && !peer_conn_flush(c)) {
		peer_conn_close(c);
		return;
	}
	if (events & (APR_POLLIN | APR_POLLERR | APR_POLLHUP))
		conn_readable(c);
}

static const struct poll_ops conn_poll_ops = { conn_ready };

enum az_status peer_conn_connect(struct peer_conn *c)
{
	enum az_status st = net_connect(c->target.ip, c->target.port, c->pool,
					&c->poll.sock);

	if (st != AZ_OK)
		return st;
	return duty_poll(&c->peer->duty, &c->poll, APR_POLLOUT);
}

struct peer_conn *peer_conn_open(struct peer *p, const struct peer_target *to)
{
	struct peer_conn *c = conn_new(p);

	c->outbound = true;
	c->target = *to;
	peer_target_key(to, c->key);
	c->state = PEER_CONN_CONNECTING;
	c->poll.ops = &conn_poll_ops;
	c->setup_deadline_us = p->duty.now_us + SETUP_TIMEOUT_US;
	peer_arm_timer(p, c->setup_deadline_us);
	apr_hash_set(p->by_target, c->key, sizeof(c->key), c);
	return c;
}

/* Closes the oldest inbound connection before its HELLO if there are more than
 * `setups_max`: peers send their HELLO at once, a crowd of others never does.
 */
static void bound_setups(struct peer *p)
{
	struct peer_conn *oldest = NULL;
	uint32_t n = 0;

	/* The newest connection is first in the list. */
	for (struct peer_conn *c = p->conns; c; c = c->next)
		if (!c->outbound && c->state == PEER_CONN_HELLO) {
			oldest = c;
			n++;
		}
	if (n <= p->settings.setups_max)
		return;
	log_write(LOG_WARN, "peer",
		  "connection without a HELLO closed to make room count=%u "
		  "max=%u",
		  n, p->settings.setups_max);
	counter_add(p->setups_closed, 1);
	peer_conn_close(oldest);
}

static void accept_ready(struct poll_handler *h, int16_t events)
{
	struct peer_listener *l =
		az_container_of(h, struct peer_listener, poll);
	struct peer_conn *c = conn_new(l->peer);

	(void)events;
	__atomic_add_fetch(&l->peer->inbound, 1, __ATOMIC_RELAXED);
	if (apr_socket_accept(&c->poll.sock, h->sock, c->pool)) {
		c->poll.sock = NULL;
		peer_conn_close(c);
		return;
	}
	apr_socket_opt_set(c->poll.sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(c->poll.sock, 0);
	apr_socket_opt_set(c->poll.sock, APR_TCP_NODELAY, 1);
	c->state = PEER_CONN_HELLO;
	c->setup_deadline_us = l->peer->duty.now_us + SETUP_TIMEOUT_US;
	peer_arm_timer(l->peer, c->setup_deadline_us);
	c->poll.ops = &conn_poll_ops;
	duty_poll(&l->peer->duty, &c->poll, APR_POLLIN);
	bound_setups(l->peer);
}

const struct poll_ops peer_accept_ops = { accept_ready };
