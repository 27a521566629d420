#include <stdlib.h>

#include "member/member.h"
#include "peer/peer.h"
#include "attempt/attempt.h"
#include "ticket/ticket.h"

/* ---- presentations to a ledger of this process ---- */

/** Receives the answer of a ticket's run and sends it to the ticket thread. */
struct ledger_run {
	struct reply_to reply;
	struct ticket_duty *ticket;
	uint64_t incarnation;
	uint64_t sequence;
};

struct run_result_msg {
	struct msg msg;
	struct ledger_run *ledger_run;
	struct answer *answer;
};

static void run_result_free(struct run_result_msg *r)
{
	answer_free(r->answer);
	free(r->ledger_run);
	free(r);
}

static void run_result_run(struct msg *m, struct duty *to)
{
	struct run_result_msg *r =
		az_container_of(m, struct run_result_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);
	struct ledger *l = ticket_ledger(d, r->ledger_run->incarnation);
	struct ledger_entry *e =
		l ? ledger_find_running(l, r->ledger_run->sequence) : NULL;
	struct ledger_waiter *w;

	__atomic_sub_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	if (!e) {
		run_result_free(r);
		return;
	}
	if (r->answer->outcome == OUTCOME_UNKNOWN)
		counter_add(d->unknown_outcomes, 1);
	w = ledger_complete(l, e, r->answer);
	while (w) {
		struct ledger_waiter *next = w->next;

		w->reply->ops->answer(w->reply, answer_copy(r->answer));
		free(w);
		w = next;
	}
	r->answer = NULL;
	ledger_bound_answer(l, e);
	counter_set(d->stored_bytes, (int64_t)d->store.held_bytes);
	run_result_free(r);
}

static void run_result_drop(struct msg *m)
{
	run_result_free(az_container_of(m, struct run_result_msg, msg));
}

static const struct msg_ops run_result_ops = { "ticket-run-result",
					       run_result_run,
					       run_result_drop };

static void ledger_run_answer(struct reply_to *to, struct answer *a)
{
	struct ledger_run *r = az_container_of(to, struct ledger_run, reply);
	struct run_result_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &run_result_ops;
	m->ledger_run = r;
	m->answer = a;
	duty_send(&r->ticket->duty, &m->msg);
}

static const struct reply_ops ledger_run_ops = { ledger_run_answer };

/* Sends the request to a worker. Takes ownership of it. */
static void start_run(struct ticket_duty *d, const struct ticket *t,
		      struct request *q)
{
	struct ledger_run *r = az_alloc(sizeof(*r));

	r->reply.ops = &ledger_run_ops;
	r->ticket = d;
	r->incarnation = t->incarnation;
	r->sequence = t->sequence;
	__atomic_add_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	attempts_submit(d->settings.attempts, q, &r->reply);
}

static void add_waiter(struct ticket_duty *d, struct ledger_entry *e,
		       struct reply_to *reply, int64_t deadline_us)
{
	struct ledger_waiter *w = az_alloc(sizeof(*w));

	w->reply = reply;
	w->deadline_us = deadline_us;
	w->next = e->waiters;
	e->waiters = w;
	ticket_arm(d, deadline_us);
}

static struct answer *status_answer(const struct ledger_entry *e)
{
	static const char *const names[] = {
		[ENTRY_RUNNING] = "running",
		[ENTRY_ANSWERED] = "answered",
		[ENTRY_NOT_RUN] = "not-run",
		[ENTRY_UNKNOWN] = "unknown",
	};
	struct answer *a = answer_new(ERR_NONE);

	a->outcome = e && e->answer ? e->answer->outcome : OUTCOME_UNKNOWN;
	buf_printf(&a->headers, "Content-Type: application/json\r\n");
	buf_printf(&a->body, "{\"state\":\"%s\",\"outcome\":\"%s\"",
		   e ? names[e->state] : "unused", outcome_name(a->outcome));
	if (e && e->answer)
		buf_printf(&a->body, ",\"status\":%u,\"error\":\"%s\"",
			   e->answer->http_status,
			   error_info(e->answer->kind)->name);
	buf_printf(&a->body, "}\n");
	return a;
}

static void send_ticket_status(struct ticket_duty *d, struct ledger *l,
			       const struct ticket *t, struct reply_to *reply)
{
	struct ledger_decision v = ledger_status(l, t, d->duty.now_us);

	if (v.action == LEDGER_REFUSE)
		reply_refuse(reply, v.kind);
	else
		reply->ops->answer(reply, status_answer(v.entry));
}

/* Takes ownership of the request. */
static void present(struct ticket_duty *d, struct ledger *l,
		    const struct ticket *t, struct request *q,
		    struct reply_to *reply)
{
	int64_t deadline_us = q->deadline_us;
	struct ledger_decision v;

	counter_add(d->presented, 1);
	if (q->organisation != t->organisation)
		v = (struct ledger_decision){ LEDGER_REFUSE,
					      ERR_TICKET_MISMATCH, NULL };
	else
		v = ledger_present(l, t, ledger_request_hash(q),
				   d->duty.now_us);
	switch (v.action) {
	case LEDGER_RUN:
		add_waiter(d, v.entry, reply, deadline_us);
		start_run(d, t, q);
		return;
	case LEDGER_JOIN:
		counter_add(d->joined, 1);
		add_waiter(d, v.entry, reply, deadline_us);
		break;
	case LEDGER_REPLY:
		reply->ops->answer(reply, answer_copy(v.entry->answer));
		break;
	case LEDGER_REFUSE:
		reply_refuse(reply, v.kind);
		break;
	}
	request_free(q);
}

void ticket_present_here(struct ticket_duty *d, struct present_msg *p)
{
	struct ledger *l = ticket_ledger(d, p->ticket.incarnation);

	if (!l) {
		reply_refuse(p->reply, ERR_ISSUER_GONE);
		request_free(p->request);
	} else if (!p->request) {
		send_ticket_status(d, l, &p->ticket, p->reply);
	} else {
		present(d, l, &p->ticket, p->request, p->reply);
	}
}

static void present_run(struct msg *m, struct duty *to)
{
	struct present_msg *p = az_container_of(m, struct present_msg, msg);

	ticket_present_here(az_container_of(to, struct ticket_duty, duty), p);
	free(p);
}

void ticket_present_drop(struct msg *m)
{
	struct present_msg *p = az_container_of(m, struct present_msg, msg);

	/* Not ERR_OVERLOADED, whose outcome is "not run": an earlier
	 * presentation may have run. */
	reply_refuse(p->reply, ERR_ISSUER_UNREACHABLE);
	request_free(p->request);
	free(p);
}

static const struct msg_ops present_ops = { "ticket-present", present_run,
					    ticket_present_drop };

void ticket_send_present(struct ticket_duty *d, const struct msg_ops *ops,
			 const struct ticket *t, struct request *q,
			 int64_t deadline_us, struct reply_to *reply)
{
	struct present_msg *p = az_alloc(sizeof(*p));

	p->msg.ops = ops;
	p->ticket = *t;
	p->request = q;
	p->deadline_us = deadline_us;
	p->reply = reply;
	duty_send(&d->duty, &p->msg);
}

void ticket_present(struct ticket_duty *d, const struct ticket *t,
		    struct request *r, struct reply_to *reply)
{
	ticket_send_present(d, &present_ops, t, r, 0, reply);
}

/* An expired waiter is answered ERR_DEADLINE_UNKNOWN. The run goes on, and the
 * ledger will store its answer. */
int64_t ticket_expire_waiters(struct ticket_duty *d, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (uint32_t i = 0; i < d->ledger_count; i++) {
		struct ledger_waiter *w = ledger_take_expired_waiters(
			d->ledgers[i], now_us, &next_us);

		while (w) {
			struct ledger_waiter *next = w->next;

			reply_refuse(w->reply, ERR_DEADLINE_UNKNOWN);
			free(w);
			w = next;
		}
	}
	return next_us;
}
