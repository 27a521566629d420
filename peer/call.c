/**
 * @file
 * Calls to other daemons, and handling of received records.
 */
#include <stdlib.h>
#include <apr_hash.h>

#include "peer/peer.h"

/* ---- replies ---- */

static enum az_status on_hello_reply(struct peer_conn *c,
				     const struct peer_record *r)
{
	struct peer_hello h;
	enum az_status st = peer_get_hello(r, &h);

	if (st != AZ_OK)
		return st;
	if (h.incarnation != c->target.incarnation)
		return az_fail(AZ_NOT_FOUND,
			       "another incarnation answers at this address");
	c->session.server_nonce = h.nonce;
	c->state = PEER_CONN_READY;
	peer_encode_pending_calls(c);
	return peer_conn_flush(c) ? AZ_OK : az_fail(AZ_IO, "connection broke");
}

static enum az_status on_reply(struct peer_conn *c, const struct peer_record *r)
{
	struct peer_call *call =
		apr_hash_get(c->peer->by_xid, &r->xid, sizeof(r->xid));
	struct answer *a;
	enum az_status st = peer_get_answer(r, &a);

	if (st != AZ_OK)
		return st;
	/* The reply is ignored: its call has already failed, or was sent on
	 * another connection. */
	if (!call || call->conn != c) {
		answer_free(a);
		return AZ_OK;
	}
	peer_call_unlink(call);
	peer_call_answer(call, a);
	if (c->retired && !c->calls)
		return az_fail(
			AZ_EOF,
			"last call on a retired connection was answered");
	return AZ_OK;
}

/* Calls that the other end did not accept are answered ERR_PEER_UNREACHABLE, so
 * that the caller can send them elsewhere. */
static enum az_status on_goaway(struct peer_conn *c,
				const struct peer_record *r)
{
	struct peer_call *next_call;
	uint64_t last;
	enum az_status st = peer_get_goaway(r, &last);

	if (st != AZ_OK)
		return st;
	c->retired = true;
	peer_forget_target(c);
	for (struct peer_call *call = c->calls; call; call = next_call) {
		next_call = call->next;
		if (call->encoded && call->sequence <= last)
			continue;
		peer_call_unlink(call);
		peer_call_answer(call, answer_new(ERR_PEER_UNREACHABLE));
	}
	return c->calls ? AZ_OK :
			  az_fail(AZ_EOF,
				  "peer sent GOAWAY and no calls are left");
}

enum az_status peer_on_record(struct peer_conn *c, const struct peer_record *r)
{
	c->last_used_us = c->peer->duty.now_us;
	if (r->is_call && c->state == PEER_CONN_HELLO)
		return r->procedure == PEER_HELLO ?
			       peer_on_hello_call(c, r) :
			       az_fail(AZ_DENIED, "call before HELLO");
	if (r->is_call)
		return c->goaway_sent ? AZ_OK : peer_on_call(c, r);
	if (c->state == PEER_CONN_HELLO)
		return on_hello_reply(c, r);
	return r->xid == PEER_XID_GOAWAY ? on_goaway(c, r) : on_reply(c, r);
}

/* ---- calls to other daemons ---- */

static void call_run(struct msg *m, struct duty *to)
{
	struct peer_call *call = az_container_of(m, struct peer_call, msg);
	struct peer *p = az_container_of(to, struct peer, duty);
	struct peer_conn *c = NULL;
	bool opened = false;
	uint64_t key[2];

	counter_add(p->calls, 1);
	peer_target_key(&call->target, key);
	c = apr_hash_get(p->by_target, key, sizeof(key));
	if (!c) {
		c = peer_conn_open(p, &call->target);
		opened = true;
	}
	call->conn = c;
	call->xid = ++p->last_xid;
	call->next = c->calls;
	if (call->next)
		call->next->prev = call;
	c->calls = call;
	c->last_used_us = p->duty.now_us;
	apr_hash_set(p->by_xid, &call->xid, sizeof(call->xid), call);
	peer_arm_timer(p, call->deadline_us);
	if (opened) {
		if (peer_conn_connect(c) != AZ_OK)
			peer_conn_close(c);
		return;
	}
	if (c->state != PEER_CONN_READY)
		return;
	peer_call_encode(c, call);
	if (c->send_buf.len_bytes > PEER_SEND_QUEUE_MAX_BYTES ||
	    !peer_conn_flush(c))
		peer_conn_close(c);
}

static void call_drop(struct msg *m)
{
	peer_call_answer(az_container_of(m, struct peer_call, msg),
			 answer_new(ERR_PEER_UNREACHABLE));
}

static const struct msg_ops call_ops = { "peer-call", call_run, call_drop };

static struct peer_call *call_new(struct peer *p, const struct peer_target *to,
				  enum peer_procedure proc, int64_t deadline_us,
				  struct reply_to *reply)
{
	struct peer_call *call = az_alloc(sizeof(*call));

	call->msg.ops = &call_ops;
	call->peer = p;
	call->target = *to;
	call->procedure = proc;
	call->deadline_us = deadline_us;
	call->reply = reply;
	return call;
}

static void call_send(struct peer_call *call)
{
	duty_send(&call->peer->duty, &call->msg);
}

void peer_send_present(struct peer *p, const struct peer_target *to,
		       const struct ticket *t, struct request *r,
		       int64_t deadline_us, struct reply_to *reply)
{
	struct peer_call *call =
		call_new(p, to, PEER_PRESENT, deadline_us, reply);

	peer_put_present(&call->body, t, r, clock_now_us());
	request_free(r);
	call_send(call);
}

void peer_send_handover(struct peer *p, const struct peer_target *to,
			struct ledger_part *part, int64_t deadline_us,
			struct reply_to *reply)
{
	struct peer_call *call =
		call_new(p, to, PEER_HANDOVER, deadline_us, reply);

	peer_put_handover(&call->body, part);
	ledger_part_free(part);
	call_send(call);
}

void peer_send_conf(struct peer *p, const struct peer_target *to,
		    enum peer_procedure proc, const struct buf *body,
		    int64_t deadline_us, struct reply_to *reply)
{
	struct peer_call *call = call_new(p, to, proc, deadline_us, reply);

	peer_put_bytes(&call->body, body);
	call_send(call);
}
