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
		return az_fail(AZ_NOT_FOUND, "another incarnation answers");
	c->session.server_nonce = h.nonce;
	c->state = PEER_CONN_READY;
	peer_encode_waiting(c);
	return peer_conn_flush(c) ? AZ_OK : az_fail(AZ_IO, "connection broke");
}

static enum az_status on_reply(struct peer_conn *c, const struct peer_record *r)
{
	struct peer_call *k =
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
	peer_call_unlink(k);
	peer_call_answer(k, a);
	if (c->retired && !c->calls)
		return az_fail(AZ_EOF, "nothing left on a retired connection");
	return AZ_OK;
}

/* Calls that the other end did not take may be tried elsewhere. */
static enum az_status on_goaway(struct peer_conn *c,
				const struct peer_record *r)
{
	struct peer_call *after;
	uint64_t last;
	enum az_status st = peer_get_goaway(r, &last);

	if (st != AZ_OK)
		return st;
	c->retired = true;
	peer_forget_target(c);
	for (struct peer_call *k = c->calls; k; k = after) {
		after = k->next;
		if (k->encoded && k->sequence <= last)
			continue;
		peer_call_unlink(k);
		peer_call_answer(k, answer_new(ERR_PEER_UNREACHABLE));
	}
	return c->calls ? AZ_OK : az_fail(AZ_EOF, "the peer goes away");
}

enum az_status peer_on_record(struct peer_conn *c, const struct peer_record *r)
{
	c->used_us = c->peer->duty.now_us;
	if (r->is_call && c->state == PEER_CONN_HELLO)
		return r->procedure == PEER_HELLO ?
			       peer_on_hello_call(c, r) :
			       az_fail(AZ_DENIED, "call before HELLO");
	if (r->is_call)
		return c->going_away ? AZ_OK : peer_on_call(c, r);
	if (c->state == PEER_CONN_HELLO)
		return on_hello_reply(c, r);
	return r->xid == PEER_XID_GOAWAY ? on_goaway(c, r) : on_reply(c, r);
}

/* ---- calls out ---- */

static void call_run(struct msg *m, struct duty *to)
{
	struct peer_call *k = az_container_of(m, struct peer_call, msg);
	struct peer *p = az_container_of(to, struct peer, duty);
	struct peer_conn *c = NULL;
	bool opened = false;
	uint64_t key[2];

	counter_add(p->calls, 1);
	peer_target_key(&k->target, key);
	c = apr_hash_get(p->by_target, key, sizeof(key));
	if (!c) {
		c = peer_conn_open(p, &k->target);
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
	peer_arm(p, k->deadline_us);
	if (opened) {
		if (peer_conn_connect(c) != AZ_OK)
			peer_conn_close(c);
		return;
	}
	if (c->state != PEER_CONN_READY)
		return;
	peer_call_encode(c, k);
	if (c->out.len_bytes > PEER_OUT_MAX_BYTES || !peer_conn_flush(c))
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
	struct peer_call *k = az_alloc(sizeof(*k));

	k->msg.ops = &call_ops;
	k->peer = p;
	k->target = *to;
	k->procedure = proc;
	k->deadline_us = deadline_us;
	k->reply = reply;
	return k;
}

static void call_send(struct peer_call *k)
{
	duty_send(&k->peer->duty, &k->msg);
}

void peer_send_present(struct peer *p, const struct peer_target *to,
		       const struct ticket *t, struct request *r,
		       int64_t deadline_us, struct reply_to *reply)
{
	struct peer_call *k = call_new(p, to, PEER_PRESENT, deadline_us, reply);

	peer_put_present(&k->body, t, r, clock_now_us());
	request_free(r);
	call_send(k);
}

void peer_send_handover(struct peer *p, const struct peer_target *to,
			struct ledger_part *i, int64_t deadline_us,
			struct reply_to *reply)
{
	struct peer_call *k =
		call_new(p, to, PEER_HANDOVER, deadline_us, reply);

	peer_put_handover(&k->body, i);
	ledger_part_free(i);
	call_send(k);
}

void peer_send_conf(struct peer *p, const struct peer_target *to,
		    enum peer_procedure proc, const struct buf *body,
		    int64_t deadline_us, struct reply_to *reply)
{
	struct peer_call *k = call_new(p, to, proc, deadline_us, reply);

	peer_put_bytes(&k->body, body);
	call_send(k);
}
