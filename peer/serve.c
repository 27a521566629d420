/**
 * @file
 * Handling of calls from other daemons.
 */
#include <stdlib.h>
#include <apr_hash.h>

#include "peer/peer.h"

/* ---- answering calls ---- */

/** A call from another daemon that is being handled. The handler's answer,
 * given by any thread, is sent back to the peer thread and out on the
 * connection. */
struct server_call {
	struct reply_to reply;
	struct msg msg;
	struct peer *peer;
	uint64_t conn; /**< id of the connection, which may be closed before the
			  answer */
	uint32_t xid;
	struct buf body; /**< of the answer, encoded */
};

static void server_call_free(struct server_call *s)
{
	__atomic_sub_fetch(&s->peer->calls_in_service, 1, __ATOMIC_RELAXED);
	buf_free(&s->body);
	free(s);
}

static void answer_run(struct msg *m, struct duty *to)
{
	struct server_call *s = az_container_of(m, struct server_call, msg);
	struct peer *p = az_container_of(to, struct peer, duty);
	struct peer_conn *c = apr_hash_get(p->by_id, &s->conn, sizeof(s->conn));

	if (c) {
		peer_put_reply(&c->send_buf, &c->session, &p->settings.keys,
			       s->xid, &s->body);
		if (c->send_buf.len_bytes > PEER_SEND_QUEUE_MAX_BYTES ||
		    !peer_conn_flush(c))
			peer_conn_close(c);
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

/* ---- receiving calls ---- */

/* The error for a call above in_flight_max. ERR_OVERLOADED means that the
 * request did not run. That is not known for the request of a ticket, which an
 * earlier presentation may have run. */
static enum error_kind overload_error(uint32_t procedure)
{
	return procedure == PEER_PRESENT ? ERR_ISSUER_UNREACHABLE :
					   ERR_OVERLOADED;
}

static enum az_status serve_present(struct peer *p, const struct peer_record *r,
				    struct reply_to *reply)
{
	struct ticket t;
	struct request *q;
	enum az_status st = peer_get_present(r, p->duty.now_us, &t, &q);

	if (st == AZ_OK)
		p->settings.handler->ops->handle_present(p->settings.handler,
							 &t, q, reply);
	return st;
}

static enum az_status serve_handover(struct peer *p,
				     const struct peer_record *r,
				     struct reply_to *reply)
{
	struct ledger_part *part;
	enum az_status st = peer_get_handover(r, &part);

	if (st == AZ_OK)
		p->settings.handler->ops->handle_handover(p->settings.handler,
							  part, reply);
	return st;
}

static enum az_status serve_conf(struct peer *p, const struct peer_record *r,
				 struct reply_to *reply)
{
	struct buf body;
	enum az_status st = peer_get_bytes(r, &body);

	if (st == AZ_OK)
		p->settings.handler->ops->handle_conf(
			p->settings.handler, (enum peer_procedure)r->procedure,
			&body, reply);
	buf_free(&body);
	return st;
}

static enum az_status dispatch(struct peer *p, const struct peer_record *r,
			       struct reply_to *reply)
{
	switch (r->procedure) {
	case PEER_PRESENT:
		return serve_present(p, r, reply);
	case PEER_HANDOVER:
		return serve_handover(p, r, reply);
	case PEER_CONF_LIST:
	case PEER_CONF_GET:
		return serve_conf(p, r, reply);
	default:
		return az_fail(AZ_INVALID, "unknown procedure %u",
			       r->procedure);
	}
}

enum az_status peer_on_call(struct peer_conn *c, const struct peer_record *r)
{
	struct peer *p = c->peer;
	struct server_call *s = az_alloc(sizeof(*s));
	uint32_t n =
		__atomic_add_fetch(&p->calls_in_service, 1, __ATOMIC_RELAXED);
	enum az_status st = AZ_OK;

	s->reply.ops = &server_call_ops;
	s->peer = p;
	s->conn = c->id;
	s->xid = r->xid;
	counter_add(p->served, 1);
	if (n > p->settings.in_flight_max)
		server_call_answer(&s->reply,
				   answer_new(overload_error(r->procedure)));
	else
		st = dispatch(p, r, &s->reply);
	if (st != AZ_OK)
		server_call_free(s);
	return st;
}

enum az_status peer_on_hello_call(struct peer_conn *c,
				  const struct peer_record *r)
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
	peer_put_reply(&c->send_buf, &c->session, &p->settings.keys, r->xid,
		       &body);
	buf_free(&body);
	c->session.server_nonce = ours.nonce;
	c->state = PEER_CONN_READY;
	return peer_conn_flush(c) ? AZ_OK : az_fail(AZ_IO, "connection broke");
}
