#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>

#include "cell/cell.h"
#include "upstream/upstream.h"

/* ---- forwards ---- */

struct forward_msg {
	struct msg msg;
	struct forward *forward;
	struct reply_to *reply;
};

static void add_waiter(struct cell_call *c, struct reply_to *reply)
{
	struct waiter *w = az_alloc(sizeof(*w));

	w->reply = reply;
	w->next = c->waiters;
	c->waiters = w;
}

/* Enters the call into the table unless it may be repeated anyway.
 * ERR_NONE: go ahead with `*entry`. */
static enum error_kind enter(struct cell_home *h, const struct forward *f,
			     struct call **entry)
{
	*entry = NULL;
	if (f->home_incarnation != h->settings.incarnation)
		return ERR_WRONG_HOME;
	if (f->request->idempotent)
		return ERR_NONE;
	switch (call_table_enter(h->calls, &f->id, h->duty.now_us, entry)) {
	case CALL_NEW:
		return ERR_NONE;
	case CALL_SEALED:
		return ERR_SEALED;
	case CALL_FORGOTTEN:
		return ERR_OVERLOADED;
	default:
		/* A second copy; the first one answers. */
		return ERR_ANSWER_LOST;
	}
}

static void admit(struct cell_home *h, struct forward *f, struct call *entry,
		  struct reply_to *reply)
{
	struct homed_cell *cell = homed_cell_get(h, f->cell);
	struct cell_call *c = az_alloc(sizeof(*c));
	enum error_kind k = ERR_NONE;

	c->forward = f;
	c->cell = cell;
	c->entry = entry;
	if (entry)
		entry->running = c;
	add_waiter(c, reply);
	span_child(&f->request->span, &f->request->span);
	c->item.rank = f->request->rank;
	c->item.deadline_us = f->request->deadline_us;
	__atomic_add_fetch(&h->in_flight, 1, __ATOMIC_RELAXED);
	if (!cell || !cell_any_eligible(cell, f->excluded))
		k = ERR_NO_WORKER;
	if (k == ERR_NONE)
		k = rank_queue_push(&cell->queue, &c->item, h->duty.now_us);
	if (k != ERR_NONE) {
		cell_call_refuse(h, c, k);
		return;
	}
	cell_dispatch(h, cell);
}

static void forward_run(struct msg *m, struct duty *to)
{
	struct forward_msg *fm = az_container_of(m, struct forward_msg, msg);
	struct cell_home *h = az_container_of(to, struct cell_home, duty);
	struct call *entry;
	enum error_kind k = enter(h, fm->forward, &entry);

	if (k == ERR_NONE) {
		admit(h, fm->forward, entry, fm->reply);
	} else {
		reply_refuse(fm->reply, k);
		forward_free(fm->forward);
	}
	free(fm);
}

static void forward_drop(struct msg *m)
{
	struct forward_msg *fm = az_container_of(m, struct forward_msg, msg);

	reply_refuse(fm->reply, ERR_OVERLOADED);
	forward_free(fm->forward);
	free(fm);
}

static const struct msg_ops forward_ops = { "forward", forward_run,
					    forward_drop };

void cell_home_forward(struct cell_home *h, struct forward *f,
		       struct reply_to *reply)
{
	struct forward_msg *fm = az_alloc(sizeof(*fm));

	fm->msg.ops = &forward_ops;
	fm->forward = f;
	fm->reply = reply;
	duty_send(&h->duty, &fm->msg);
}

/* ---- queries and cancels ---- */

struct query_msg {
	struct msg msg;
	struct call_id id;
	uint64_t home_incarnation;
	struct reply_to *reply; /**< NULL: a cancel */
};

static void answer_query(struct cell_home *h, struct query_msg *q)
{
	struct call *c;

	if (q->home_incarnation != h->settings.incarnation) {
		reply_refuse(q->reply, ERR_ANSWER_LOST);
		return;
	}
	switch (call_table_query(h->calls, &q->id, h->duty.now_us, &c)) {
	case CALL_RUNNING:
		add_waiter(c->running, q->reply);
		return;
	case CALL_ANSWERED:
		q->reply->ops->answer(q->reply, answer_copy(c->answer));
		return;
	case CALL_SEALED:
		counter_add(h->sealed, 1);
		reply_refuse(q->reply, ERR_SEALED);
		return;
	default:
		reply_refuse(q->reply, ERR_ANSWER_LOST);
	}
}

static void query_run(struct msg *m, struct duty *to)
{
	struct query_msg *q = az_container_of(m, struct query_msg, msg);

	answer_query(az_container_of(to, struct cell_home, duty), q);
	free(q);
}

static void query_drop(struct msg *m)
{
	struct query_msg *q = az_container_of(m, struct query_msg, msg);

	/* The transport's kind: the asker may ask again. */
	reply_refuse(q->reply, ERR_PEER_LOST);
	free(q);
}

static const struct msg_ops query_ops = { "query", query_run, query_drop };

void cell_home_query(struct cell_home *h, const struct call_id *id,
		     uint64_t home_incarnation, struct reply_to *reply)
{
	struct query_msg *q = az_alloc(sizeof(*q));

	q->msg.ops = &query_ops;
	q->id = *id;
	q->home_incarnation = home_incarnation;
	q->reply = reply;
	duty_send(&h->duty, &q->msg);
}

static void cancel(struct cell_home *h, struct cell_call *c)
{
	c->cancelled = true;
	if (c->token)
		upstream_cancel(h->settings.upstream, c->token);
	else if (rank_queue_remove(&c->cell->queue, &c->item))
		cell_call_refuse(h, c, ERR_DEADLINE_NOT_RUN);
}

static void cancel_run(struct msg *m, struct duty *to)
{
	struct query_msg *q = az_container_of(m, struct query_msg, msg);
	struct cell_home *h = az_container_of(to, struct cell_home, duty);
	struct call *c;

	if (call_table_query(h->calls, &q->id, h->duty.now_us, &c) ==
	    CALL_RUNNING)
		cancel(h, c->running);
	free(q);
}

static void cancel_drop(struct msg *m)
{
	free(az_container_of(m, struct query_msg, msg));
}

static const struct msg_ops cancel_ops = { "cancel", cancel_run, cancel_drop };

void cell_home_cancel(struct cell_home *h, const struct call_id *id)
{
	struct query_msg *q = az_alloc(sizeof(*q));

	q->msg.ops = &cancel_ops;
	q->id = *id;
	duty_send(&h->duty, &q->msg);
}
