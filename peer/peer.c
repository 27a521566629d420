#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <apr_network_io.h>

#include "peer/peer.h"

/* Larger than all calls and answers in flight, so that answers always fit. */
#define RING_SLOTS 32768
#define READ_BYTES 65536
#define CONNECT_TIMEOUT_US (500 * US_PER_MS)
#define IDLE_US (60 * US_PER_S)
#define OUT_MAX_BYTES (32U << 20)
#define LISTEN_BACKLOG 511

enum conn_state {
	CONN_CONNECTING,
	CONN_HELLO, /**< waits for the other end's HELLO */
	CONN_READY,
};

struct conn {
	struct poll_handler poll;
	struct peer *peer;
	apr_pool_t *pool;
	struct conn *next;
	struct conn *prev;
	uint64_t id;
	bool outbound;
	bool dedicated; /**< carries one call */
	bool retired; /**< takes no new calls */
	bool going_away; /**< inbound: what still arrives is not taken */
	enum conn_state state;
	struct peer_target target; /**< of an outbound one */
	uint64_t key[2]; /**< the target's, for by_target */
	struct peer_session session;
	struct buf in;
	struct buf out;
	uint64_t out_base; /**< stream position of out.data[0] */
	struct call_out *calls; /**< sent or waiting for HELLO */
	int64_t used_us;
	int64_t due_us; /**< of connect and HELLO */
};

/** A call to another daemon that is not answered yet. */
struct call_out {
	struct call_out *next;
	struct call_out *prev;
	struct conn *conn;
	uint32_t xid;
	bool encoded;
	uint64_t start; /**< stream position of its first byte */
	uint64_t sequence; /**< of its record on the connection */
	struct msg msg;
	struct peer *peer;
	struct peer_target target;
	enum peer_procedure procedure;
	bool dedicated;
	struct buf body;
	int64_t deadline_us;
	struct reply_to *reply; /**< NULL: nobody waits */
};

struct listener {
	struct poll_handler poll;
	struct peer *peer;
};

struct peer {
	struct duty duty;
	struct peer_settings settings;
	struct listener listener;
	apr_hash_t *by_target; /**< outbound, shared */
	apr_hash_t *by_id;
	apr_hash_t *by_xid;
	struct conn *conns;
	uint64_t next_conn;
	uint32_t next_xid;
	uint32_t serving; /**< atomic */
	uint32_t inbound; /**< atomic */
	bool quiet; /**< peer_quiesce() was called */
	int64_t armed_us;
	struct counter *calls;
	struct counter *lost;
	struct counter *served;
	struct counter *denied;
	struct counter *bytes_out;
};

static void target_key(const struct peer_target *t, uint64_t key[2])
{
	key[0] = (uint64_t)t->ip << 16 | t->port;
	key[1] = t->incarnation;
}

/* New calls to the target open another connection. */
static void forget_target(struct conn *c)
{
	apr_hash_t *h = c->peer->by_target;

	if (apr_hash_get(h, c->key, sizeof(c->key)) == c)
		apr_hash_set(h, c->key, sizeof(c->key), NULL);
}

static void arm(struct peer *p, int64_t at_us)
{
	if (p->armed_us && p->armed_us <= at_us)
		return;
	p->armed_us = at_us;
	duty_arm(&p->duty, at_us);
}

/* ---- end of calls ---- */

static void call_free(struct call_out *c)
{
	buf_free(&c->body);
	free(c);
}

/* Takes `a`. */
static void call_answer(struct call_out *c, struct answer *a)
{
	if (c->reply)
		c->reply->ops->answer(c->reply, a);
	else
		answer_free(a);
	call_free(c);
}

static void call_unlink(struct call_out *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->conn->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
	apr_hash_set(c->conn->peer->by_xid, &c->xid, sizeof(c->xid), NULL);
}

/* No byte of it left this process: it certainly did not arrive. */
static bool was_not_sent(const struct call_out *c)
{
	return !c->encoded || c->start >= c->conn->out_base;
}

static void call_fail(struct call_out *c)
{
	enum error_kind k =
		was_not_sent(c) ? ERR_PEER_UNREACHABLE : ERR_PEER_LOST;

	if (k == ERR_PEER_LOST)
		counter_add(c->conn->peer->lost, 1);
	call_unlink(c);
	call_answer(c, answer_new(k));
}

/* ---- connections ---- */

static void conn_close(struct conn *c)
{
	struct peer *p = c->peer;

	while (c->calls)
		call_fail(c->calls);
	duty_poll(&p->duty, &c->poll, 0);
	if (!c->outbound)
		__atomic_sub_fetch(&p->inbound, 1, __ATOMIC_RELAXED);
	if (c->poll.sock)
		apr_socket_close(c->poll.sock);
	if (c->outbound)
		forget_target(c);
	apr_hash_set(p->by_id, &c->id, sizeof(c->id), NULL);
	if (c->prev)
		c->prev->next = c->next;
	else
		p->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	buf_free(&c->in);
	buf_free(&c->out);
	apr_pool_destroy(c->pool);
	free(c);
}

static struct conn *conn_new(struct peer *p)
{
	struct conn *c = az_alloc(sizeof(*c));

	if (apr_pool_create_unmanaged_ex(&c->pool, NULL, NULL))
		abort();
	c->peer = p;
	c->id = ++p->next_conn;
	c->used_us = p->duty.now_us;
	c->next = p->conns;
	if (c->next)
		c->next->prev = c;
	p->conns = c;
	apr_hash_set(p->by_id, &c->id, sizeof(c->id), c);
	return c;
}

/* Writes what it can; false if the connection broke. */
static bool conn_flush(struct conn *c)
{
	uint32_t done = 0;
	bool broken = false;

	while (!broken && done < c->out.len_bytes) {
		apr_size_t n = c->out.len_bytes - done;
		apr_status_t rv = apr_socket_send(
			c->poll.sock, (char *)c->out.data + done, &n);

		if (rv == APR_SUCCESS)
			done += (uint32_t)n;
		else if (APR_STATUS_IS_EAGAIN(rv))
			break;
		else
			broken = true;
	}
	counter_add(c->peer->bytes_out, done);
	/* Also if it broke: a call of which bytes were written may arrive. */
	c->out_base += done;
	if (broken)
		return false;
	c->out.len_bytes -= done;
	memmove(c->out.data, c->out.data + done, c->out.len_bytes);
	duty_poll(&c->peer->duty, &c->poll,
		  c->out.len_bytes ? APR_POLLIN | APR_POLLOUT : APR_POLLIN);
	return true;
}

static void call_encode(struct conn *c, struct call_out *k)
{
	k->encoded = true;
	k->start = c->out_base + c->out.len_bytes;
	peer_put_call(&c->out, &c->session, &c->peer->settings.keys, k->xid,
		      k->procedure, &k->body);
	k->sequence = c->session.sent;
	buf_free(&k->body);
}

/* Calls that came before HELLO was answered, oldest last in the list. */
static void encode_waiting(struct conn *c)
{
	struct call_out *k = c->calls;

	while (k && k->next)
		k = k->next;
	for (; k; k = k->prev)
		if (!k->encoded)
			call_encode(c, k);
}

static void send_hello_call(struct conn *c)
{
	struct peer *p = c->peer;
	struct peer_hello h = { p->settings.member_id, p->settings.incarnation,
				random_u64() };
	struct buf body = { 0 };

	peer_put_hello(&body, &h);
	/* Signed without nonces, as the other end does not know them yet; it
	 * opens nothing but a session with a fresh nonce of its own. */
	peer_put_call(&c->out, &c->session, &p->settings.keys, 0, PEER_HELLO,
		      &body);
	c->session.client_nonce = h.nonce;
	buf_free(&body);
}

/* ---- answers to other daemons ---- */

/** Brings an answer of another duty back to the connection it is for. */
struct server_call {
	struct reply_to reply;
	struct msg msg;
	struct peer *peer;
	uint64_t conn;
	uint32_t xid;
	struct buf body;
};

static void server_call_free(struct server_call *s)
{
	__atomic_sub_fetch(&s->peer->serving, 1, __ATOMIC_RELAXED);
	buf_free(&s->body);
	free(s);
}

static void answer_run(struct msg *m, struct duty *to)
{
	struct server_call *s = az_container_of(m, struct server_call, msg);
	struct peer *p = az_container_of(to, struct peer, duty);
	struct conn *c = apr_hash_get(p->by_id, &s->conn, sizeof(s->conn));

	if (c) {
		peer_put_reply(&c->out, &c->session, &p->settings.keys, s->xid,
			       &s->body);
		if (c->out.len_bytes > OUT_MAX_BYTES || !conn_flush(c))
			conn_close(c);
	}
	server_call_free(s);
}

static void answer_drop(struct msg *m)
{
	server_call_free(az_container_of(m, struct server_call, msg));
}

static const struct msg_ops answer_ops = { "peer-answer", answer_run,
					   answer_drop };

static void server_call_answer(struct reply_to *to, struct answer *a)
{
	struct server_call *s = az_container_of(to, struct server_call, reply);

	peer_put_answer(&s->body, a);
	answer_free(a);
	s->msg.ops = &answer_ops;
	duty_send(&s->peer->duty, &s->msg);
}

static const struct reply_ops server_call_ops = { server_call_answer };

/* ---- calls of other daemons ---- */

/* What a call gets that this daemon is too busy to pass on. It must not claim
 * "not run" for a ticket, whose earlier presentation may have run. */
static enum error_kind busy_kind(uint32_t procedure)
{
	switch (procedure) {
	case PEER_PRESENT:
		return ERR_ISSUER_UNREACHABLE;
	case PEER_QUERY:
		return ERR_PEER_LOST;
	default:
		return ERR_OVERLOADED;
	}
}

static enum az_status serve_present(struct peer *p, const struct peer_record *r,
				    struct reply_to *reply)
{
	struct ticket t;
	struct request *q;
	enum az_status st = peer_get_present(r, p->duty.now_us, &t, &q);

	if (st == AZ_OK)
		p->settings.handler->ops->present(p->settings.handler, &t, q,
						  reply);
	return st;
}

static enum az_status serve_forward(struct peer *p, const struct peer_record *r,
				    struct reply_to *reply)
{
	struct forward *f;
	enum az_status st = peer_get_forward(r, p->duty.now_us, &f);

	if (st == AZ_OK)
		p->settings.handler->ops->forward(p->settings.handler, f,
						  reply);
	return st;
}

static enum az_status serve_query(struct peer *p, const struct peer_record *r,
				  struct reply_to *reply)
{
	struct peer_handler *h = p->settings.handler;
	struct call_id id;
	uint64_t home_incarnation;
	enum az_status st = peer_get_query(r, &id, &home_incarnation);

	if (st != AZ_OK)
		return st;
	if (r->procedure == PEER_QUERY) {
		h->ops->query(h, &id, home_incarnation, reply);
		return AZ_OK;
	}
	h->ops->cancel(h, &id);
	reply->ops->answer(reply, answer_new(ERR_NONE));
	return AZ_OK;
}

static enum az_status serve_handover(struct peer *p,
				     const struct peer_record *r,
				     struct reply_to *reply)
{
	struct ledger_image *i;
	enum az_status st = peer_get_handover(r, &i);

	if (st == AZ_OK)
		p->settings.handler->ops->handover(p->settings.handler, i,
						   reply);
	return st;
}

static enum az_status serve_reach(struct peer *p, const struct peer_record *r,
				  struct reply_to *reply)
{
	uint32_t ip;
	uint16_t port;
	enum az_status st = peer_get_reach(r, &ip, &port);

	if (st == AZ_OK)
		p->settings.handler->ops->reach(p->settings.handler, ip, port,
						reply);
	return st;
}

static enum az_status serve_conf(struct peer *p, const struct peer_record *r,
				 struct reply_to *reply)
{
	struct buf body;
	enum az_status st = peer_get_bytes(r, &body);

	if (st == AZ_OK)
		p->settings.handler->ops->conf(
			p->settings.handler, (enum peer_procedure)r->procedure,
			&body, reply);
	buf_free(&body);
	return st;
}

static enum az_status serve(struct peer *p, const struct peer_record *r,
			    struct reply_to *reply)
{
	switch (r->procedure) {
	case PEER_PRESENT:
		return serve_present(p, r, reply);
	case PEER_FORWARD:
		return serve_forward(p, r, reply);
	case PEER_QUERY:
	case PEER_CANCEL:
		return serve_query(p, r, reply);
	case PEER_HANDOVER:
		return serve_handover(p, r, reply);
	case PEER_REACH:
		return serve_reach(p, r, reply);
	case PEER_CONF_LIST:
	case PEER_CONF_GET:
		return serve_conf(p, r, reply);
	default:
		return az_fail(AZ_INVALID, "unknown procedure %u",
			       r->procedure);
	}
}

static enum az_status on_call(struct conn *c, const struct peer_record *r)
{
	struct peer *p = c->peer;
	struct server_call *s = az_alloc(sizeof(*s));
	uint32_t n = __atomic_add_fetch(&p->serving, 1, __ATOMIC_RELAXED);
	enum az_status st = AZ_OK;

	s->reply.ops = &server_call_ops;
	s->peer = p;
	s->conn = c->id;
	s->xid = r->xid;
	counter_add(p->served, 1);
	if (n > p->settings.in_flight_max)
		server_call_answer(&s->reply,
				   answer_new(busy_kind(r->procedure)));
	else
		st = serve(p, r, &s->reply);
	if (st != AZ_OK)
		server_call_free(s);
	return st;
}

static enum az_status on_hello_call(struct conn *c, const struct peer_record *r)
{
	struct peer *p = c->peer;
	struct peer_hello theirs;
	struct peer_hello ours = { p->settings.member_id,
				   p->settings.incarnation, random_u64() };
	struct buf body = { 0 };
	enum az_status st = peer_get_hello(r, &theirs);

	if (st != AZ_OK)
		return st;
	peer_put_hello(&body, &ours);
	c->session.client_nonce = theirs.nonce;
	peer_put_reply(&c->out, &c->session, &p->settings.keys, r->xid, &body);
	buf_free(&body);
	c->session.server_nonce = ours.nonce;
	c->state = CONN_READY;
	return conn_flush(c) ? AZ_OK : az_fail(AZ_IO, "connection broke");
}

static enum az_status on_hello_reply(struct conn *c,
				     const struct peer_record *r)
{
	struct peer_hello h;
	enum az_status st = peer_get_hello(r, &h);

	if (st != AZ_OK)
		return st;
	if (h.incarnation != c->target.incarnation)
		return az_fail(AZ_NOT_FOUND, "another incarnation answers");
	c->session.server_nonce = h.nonce;
	c->state = CONN_READY;
	encode_waiting(c);
	return conn_flush(c) ? AZ_OK : az_fail(AZ_IO, "connection broke");
}

static enum az_status on_reply(struct conn *c, const struct peer_record *r)
{
	struct call_out *k =
		apr_hash_get(c->peer->by_xid, &r->xid, sizeof(r->xid));
	struct answer *a;
	enum az_status st = peer_get_answer(r, &a);

	if (st != AZ_OK)
		return st;
	/* Late, or on a connection that the call was not sent on. */
	if (!k || k->conn != c) {
		answer_free(a);
		return AZ_OK;
	}
	call_unlink(k);
	call_answer(k, a);
	if (c->retired && !c->calls)
		return az_fail(AZ_EOF, "nothing left on a retired connection");
	return AZ_OK;
}

/* Calls that the other end did not take may be tried elsewhere. */
static enum az_status on_goaway(struct conn *c, const struct peer_record *r)
{
	struct call_out *after;
	uint64_t last;
	enum az_status st = peer_get_goaway(r, &last);

	if (st != AZ_OK)
		return st;
	c->retired = true;
	forget_target(c);
	for (struct call_out *k = c->calls; k; k = after) {
		after = k->next;
		if (k->encoded && k->sequence <= last)
			continue;
		call_unlink(k);
		call_answer(k, answer_new(ERR_PEER_UNREACHABLE));
	}
	return c->calls ? AZ_OK : az_fail(AZ_EOF, "the peer goes away");
}

static enum az_status on_record(struct conn *c, const struct peer_record *r)
{
	c->used_us = c->peer->duty.now_us;
	if (r->is_call && c->state == CONN_HELLO)
		return r->procedure == PEER_HELLO ?
			       on_hello_call(c, r) :
			       az_fail(AZ_DENIED, "call before HELLO");
	if (r->is_call)
		return c->going_away ? AZ_OK : on_call(c, r);
	if (c->state == CONN_HELLO)
		return on_hello_reply(c, r);
	return r->xid == PEER_XID_GOAWAY ? on_goaway(c, r) : on_reply(c, r);
}

/* ---- sockets ---- */

static enum az_status take_records(struct conn *c)
{
	uint32_t used = 0;
	enum az_status st = AZ_OK;

	for (;;) {
		struct peer_record r;
		uint32_t n = peer_record_bytes(c->in.data + used,
					       c->in.len_bytes - used, &st);

		if (!n)
			break;
		st = peer_get_record(c->in.data + used, n, !c->outbound,
				     &c->session, &c->peer->settings.keys, &r);
		if (st == AZ_OK)
			st = on_record(c, &r);
		if (st != AZ_OK)
			break;
		used += n;
	}
	c->in.len_bytes -= used;
	memmove(c->in.data, c->in.data + used, c->in.len_bytes);
	return st;
}

static void conn_readable(struct conn *c)
{
	char data[READ_BYTES];
	apr_size_t n = sizeof(data);
	apr_status_t rv = apr_socket_recv(c->poll.sock, data, &n);
	enum az_status st;

	if (APR_STATUS_IS_EAGAIN(rv))
		return;
	if (rv != APR_SUCCESS || !n) {
		conn_close(c);
		return;
	}
	buf_append(&c->in, data, (uint32_t)n);
	st = take_records(c);
	if (st == AZ_OK) {
		if (c->dedicated && c->state == CONN_READY && !c->calls)
			conn_close(c);
		return;
	}
	if (st == AZ_DENIED) {
		counter_add(c->peer->denied, 1);
		log_write(LOG_WARN, "peer", "connection refused: %s",
			  az_last_message());
	}
	conn_close(c);
}

static void conn_connected(struct conn *c)
{
	c->state = CONN_HELLO;
	send_hello_call(c);
	if (!conn_flush(c))
		conn_close(c);
}

static void conn_ready(struct poll_handler *h, int16_t events)
{
	struct conn *c = az_container_of(h, struct conn, poll);

	if (c->state == CONN_CONNECTING) {
		if (events & (APR_POLLERR | APR_POLLHUP))
			conn_close(c);
		else
			conn_connected(c);
		return;
	}
	if (events & APR_POLLOUT && !conn_flush(c)) {
		conn_close(c);
		return;
	}
	if (events & (APR_POLLIN | APR_POLLERR | APR_POLLHUP))
		conn_readable(c);
}

static const struct poll_ops conn_poll_ops = { conn_ready };

static enum az_status conn_connect(struct conn *c)
{
	apr_sockaddr_t *sa;
	char ip[16];
	apr_status_t rv;

	snprintf(ip, sizeof(ip), "%u.%u.%u.%u", c->target.ip >> 24,
		 c->target.ip >> 16 & 255, c->target.ip >> 8 & 255,
		 c->target.ip & 255);
	if (apr_sockaddr_info_get(&sa, ip, APR_INET, c->target.port, 0,
				  c->pool) ||
	    apr_socket_create(&c->poll.sock, APR_INET, SOCK_STREAM,
			      APR_PROTO_TCP, c->pool))
		return az_fail(AZ_IO, "no socket for a peer");
	apr_socket_opt_set(c->poll.sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(c->poll.sock, 0);
	apr_socket_opt_set(c->poll.sock, APR_TCP_NODELAY, 1);
	rv = apr_socket_connect(c->poll.sock, sa);
	if (rv && !APR_STATUS_IS_EINPROGRESS(rv))
		return az_fail(AZ_IO, "connect to a peer failed");
	return duty_poll(&c->peer->duty, &c->poll, APR_POLLOUT);
}

static struct conn *conn_open(struct peer *p, const struct peer_target *to,
			      bool dedicated)
{
	struct conn *c = conn_new(p);

	c->outbound = true;
	c->dedicated = dedicated;
	c->target = *to;
	target_key(to, c->key);
	c->state = CONN_CONNECTING;
	c->poll.ops = &conn_poll_ops;
	c->due_us = p->duty.now_us + CONNECT_TIMEOUT_US;
	arm(p, c->due_us);
	if (!dedicated)
		apr_hash_set(p->by_target, c->key, sizeof(c->key), c);
	return c;
}

static void accept_ready(struct poll_handler *h, int16_t events)
{
	struct listener *l = az_container_of(h, struct listener, poll);
	struct conn *c = conn_new(l->peer);

	(void)events;
	__atomic_add_fetch(&l->peer->inbound, 1, __ATOMIC_RELAXED);
	if (apr_socket_accept(&c->poll.sock, h->sock, c->pool)) {
		c->poll.sock = NULL;
		conn_close(c);
		return;
	}
	apr_socket_opt_set(c->poll.sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(c->poll.sock, 0);
	apr_socket_opt_set(c->poll.sock, APR_TCP_NODELAY, 1);
	c->state = CONN_HELLO;
	c->due_us = l->peer->duty.now_us + CONNECT_TIMEOUT_US;
	arm(l->peer, c->due_us);
	c->poll.ops = &conn_poll_ops;
	duty_poll(&l->peer->duty, &c->poll, APR_POLLIN);
}

static const struct poll_ops accept_poll_ops = { accept_ready };

/* ---- calls out ---- */

static void call_run(struct msg *m, struct duty *to)
{
	struct call_out *k = az_container_of(m, struct call_out, msg);
	struct peer *p = az_container_of(to, struct peer, duty);
	struct conn *c = NULL;
	bool opened = false;
	uint64_t key[2];

	counter_add(p->calls, 1);
	target_key(&k->target, key);
	if (!k->dedicated)
		c = apr_hash_get(p->by_target, key, sizeof(key));
	if (!c) {
		c = conn_open(p, &k->target, k->dedicated);
		opened = true;
	}
	k->conn = c;
	k->xid = ++p->next_xid;
	k->next = c->calls;
	if (k->next)
		k->next->prev = k;
	c->calls = k;
	c->used_us = p->duty.now_us;
	apr_hash_set(p->by_xid, &k->xid, sizeof(k->xid), k);
	arm(p, k->deadline_us);
	if (opened) {
		if (conn_connect(c) != AZ_OK)
			conn_close(c);
		return;
	}
	if (c->state != CONN_READY)
		return;
	call_encode(c, k);
	if (c->out.len_bytes > OUT_MAX_BYTES || !conn_flush(c))
		conn_close(c);
}

static void call_drop(struct msg *m)
{
	call_answer(az_container_of(m, struct call_out, msg),
		    answer_new(ERR_PEER_UNREACHABLE));
}

static const struct msg_ops call_ops = { "peer-call", call_run, call_drop };

static struct call_out *call_new(struct peer *p, const struct peer_target *to,
				 enum peer_procedure proc, int64_t deadline_us,
				 struct reply_to *reply)
{
	struct call_out *k = az_alloc(sizeof(*k));

	k->msg.ops = &call_ops;
	k->peer = p;
	k->target = *to;
	k->procedure = proc;
	k->deadline_us = deadline_us;
	k->reply = reply;
	return k;
}

static void call_send(struct call_out *k)
{
	duty_send(&k->peer->duty, &k->msg);
}

void peer_forward(struct peer *p, const struct peer_target *to,
		  struct forward *f, int64_t deadline_us,
		  struct reply_to *reply)
{
	struct call_out *k = call_new(p, to, PEER_FORWARD, deadline_us, reply);

	peer_put_forward(&k->body, f, clock_now_us());
	forward_free(f);
	call_send(k);
}

void peer_query(struct peer *p, const struct peer_target *to,
		const struct call_id *id, int64_t deadline_us,
		struct reply_to *reply)
{
	struct call_out *k = call_new(p, to, PEER_QUERY, deadline_us, reply);

	k->dedicated = true;
	peer_put_query(&k->body, id, to->incarnation);
	call_send(k);
}

void peer_present(struct peer *p, const struct peer_target *to,
		  const struct ticket *t, struct request *r,
		  int64_t deadline_us, struct reply_to *reply)
{
	struct call_out *k = call_new(p, to, PEER_PRESENT, deadline_us, reply);

	peer_put_present(&k->body, t, r, clock_now_us());
	request_free(r);
	call_send(k);
}

void peer_cancel(struct peer *p, const struct peer_target *to,
		 const struct call_id *id)
{
	struct call_out *k =
		call_new(p, to, PEER_CANCEL, clock_now_us() + US_PER_S, NULL);

	peer_put_query(&k->body, id, to->incarnation);
	call_send(k);
}

void peer_handover(struct peer *p, const struct peer_target *to,
		   struct ledger_image *i, int64_t deadline_us,
		   struct reply_to *reply)
{
	struct call_out *k = call_new(p, to, PEER_HANDOVER, deadline_us, reply);

	peer_put_handover(&k->body, i);
	ledger_image_free(i);
	call_send(k);
}

void peer_reach(struct peer *p, const struct peer_target *to, uint32_t ip,
		uint16_t port, int64_t deadline_us, struct reply_to *reply)
{
	struct call_out *k = call_new(p, to, PEER_REACH, deadline_us, reply);

	peer_put_reach(&k->body, ip, port);
	call_send(k);
}

void peer_conf(struct peer *p, const struct peer_target *to,
	       enum peer_procedure proc, const struct buf *body,
	       int64_t deadline_us, struct reply_to *reply)
{
	struct call_out *k = call_new(p, to, proc, deadline_us, reply);

	peer_put_bytes(&k->body, body);
	call_send(k);
}

static void send_goaway(struct conn *c)
{
	struct buf body = { 0 };

	c->going_away = true;
	peer_put_goaway(&body, c->session.received);
	peer_put_reply(&c->out, &c->session, &c->peer->settings.keys,
		       PEER_XID_GOAWAY, &body);
	buf_free(&body);
}

static void quiesce_run(struct msg *m, struct duty *to)
{
	struct peer *p = az_container_of(to, struct peer, duty);
	struct conn *after;

	free(m);
	p->quiet = true;
	duty_poll(&p->duty, &p->listener.poll, 0);
	apr_socket_close(p->listener.poll.sock);
	for (struct conn *c = p->conns; c; c = after) {
		after = c->next;
		if (c->outbound)
			continue;
		if (c->state == CONN_READY)
			send_goaway(c);
		if (c->state != CONN_READY || !conn_flush(c))
			conn_close(c);
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

uint32_t peer_inbound(struct peer *p)
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

static void earlier(int64_t *next_us, int64_t at_us)
{
	if (at_us < *next_us)
		*next_us = at_us;
}

/* A connection on which a call timed out may have gone silent for good. */
static void expire_calls(struct conn *c, int64_t now_us, int64_t *next_us)
{
	struct call_out *after;

	for (struct call_out *k = c->calls; k; k = after) {
		after = k->next;
		if (k->deadline_us > now_us) {
			earlier(next_us, k->deadline_us);
			continue;
		}
		call_fail(k);
		c->retired = true;
	}
	if (c->retired)
		forget_target(c);
}

static bool is_over(const struct conn *c, int64_t now_us)
{
	if (c->state != CONN_READY)
		return c->due_us <= now_us;
	if (c->calls)
		return false;
	return c->retired || c->dedicated ||
	       now_us - c->used_us > (c->outbound ? IDLE_US : 2 * IDLE_US);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct peer *p = az_container_of(d, struct peer, duty);
	int64_t next_us = now_us + IDLE_US;
	struct conn *after;

	p->armed_us = 0;
	for (struct conn *c = p->conns; c; c = after) {
		after = c->next;
		expire_calls(c, now_us, &next_us);
		if (is_over(c, now_us))
			conn_close(c);
		else if (c->state != CONN_READY)
			earlier(&next_us, c->due_us);
	}
	arm(p, next_us);
}

static void on_stop(struct duty *d)
{
	struct peer *p = az_container_of(d, struct peer, duty);

	while (p->conns)
		conn_close(p->conns);
	if (!p->quiet)
		apr_socket_close(p->listener.poll.sock);
}

static const struct duty_ops duty_ops = { "peer", on_timer, on_stop };

static enum az_status listen_on(struct peer *p)
{
	struct peer_settings *s = &p->settings;
	apr_pool_t *pool = p->duty.pool;
	apr_sockaddr_t *sa;
	char ip[16];

	snprintf(ip, sizeof(ip), "%u.%u.%u.%u", s->ip >> 24, s->ip >> 16 & 255,
		 s->ip >> 8 & 255, s->ip & 255);
	if (apr_sockaddr_info_get(&sa, ip, APR_INET, s->port, 0, pool) ||
	    apr_socket_create(&p->listener.poll.sock, APR_INET, SOCK_STREAM,
			      APR_PROTO_TCP, pool))
		return az_fail(AZ_IO, "no socket on %s:%u", ip, s->port);
	apr_socket_opt_set(p->listener.poll.sock, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(p->listener.poll.sock, APR_SO_NONBLOCK, 1);
	if (apr_socket_bind(p->listener.poll.sock, sa) ||
	    apr_socket_listen(p->listener.poll.sock, LISTEN_BACKLOG))
		return az_fail(AZ_IO, "cannot listen on %s:%u", ip, s->port);
	p->listener.peer = p;
	p->listener.poll.ops = &accept_poll_ops;
	return duty_poll(&p->duty, &p->listener.poll, APR_POLLIN);
}

struct peer *peer_create(const struct peer_settings *s,
			 struct timer_service *timers, apr_pool_t *pool)
{
	struct peer *p = apr_pcalloc(pool, sizeof(*p));

	if (duty_init(&p->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	p->settings = *s;
	p->by_target = apr_hash_make(p->duty.pool);
	p->by_id = apr_hash_make(p->duty.pool);
	p->by_xid = apr_hash_make(p->duty.pool);
	p->calls = counter_get("peer_calls");
	p->lost = counter_get("peer_calls_lost");
	p->served = counter_get("peer_served");
	p->denied = counter_get("peer_denied");
	p->bytes_out = counter_get("peer_bytes_out");
	return listen_on(p) == AZ_OK ? p : NULL;
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
