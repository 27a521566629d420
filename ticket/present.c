#include <stdlib.h>

#include "member/member.h"
#include "peer/peer.h"
#include "attempt/attempt.h"
#include "ticket/ticket.h"

/* A home is asked about a call for this long after the deadline. */
#define RESOLVE_US (15 * US_PER_S)

/* ---- presentations to a ledger here ---- */

/** Brings the answer of the ticket's one run back into this duty. */
struct runner {
	struct reply_to reply;
	struct ticket_duty *ticket;
	uint64_t incarnation;
	uint64_t sequence;
};

struct ran_msg {
	struct msg msg;
	struct runner *runner;
	struct answer *answer;
};

static void ran_free(struct ran_msg *r)
{
	answer_free(r->answer);
	free(r->runner);
	free(r);
}

static void ran_run(struct msg *m, struct duty *to)
{
	struct ran_msg *r = az_container_of(m, struct ran_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);
	struct ledger *l = ticket_ledger(d, r->runner->incarnation);
	struct ledger_entry *e =
		l ? ledger_find_running(l, r->runner->sequence) : NULL;
	struct ledger_waiter *w;

	__atomic_sub_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	if (!e) {
		ran_free(r);
		return;
	}
	if (r->answer->outcome == OUTCOME_UNKNOWN)
		counter_add(d->unknown, 1);
	w = ledger_end(l, e, r->answer);
	while (w) {
		struct ledger_waiter *next = w->next;

		w->reply->ops->answer(w->reply, answer_copy(r->answer));
		free(w);
		w = next;
	}
	r->answer = NULL;
	ran_free(r);
}

static void ran_drop(struct msg *m)
{
	ran_free(az_container_of(m, struct ran_msg, msg));
}

static const struct msg_ops ran_ops = { "ticket-ran", ran_run, ran_drop };

static void runner_answer(struct reply_to *to, struct answer *a)
{
	struct runner *r = az_container_of(to, struct runner, reply);
	struct ran_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &ran_ops;
	m->runner = r;
	m->answer = a;
	duty_send(&r->ticket->duty, &m->msg);
}

static const struct reply_ops runner_ops = { runner_answer };

/* Takes the request. */
static void run(struct ticket_duty *d, const struct ticket *t,
		struct request *q)
{
	struct runner *r = az_alloc(sizeof(*r));

	r->reply.ops = &runner_ops;
	r->ticket = d;
	r->incarnation = t->incarnation;
	r->sequence = t->sequence;
	__atomic_add_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	attempts_submit(d->settings.attempts, q, &r->reply);
}

static void wait_for(struct ticket_duty *d, struct ledger_entry *e,
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
		[LEDGER_RUNNING] = "running",
		[LEDGER_ANSWERED] = "answered",
		[LEDGER_NOT_RUN] = "not-run",
		[LEDGER_UNKNOWN] = "unknown",
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

static void give_status(struct ticket_duty *d, struct ledger *l,
			const struct ticket *t, struct reply_to *reply)
{
	struct ledger_decision v = ledger_status(l, t, d->duty.now_us);

	if (v.action == LEDGER_REFUSE)
		reply_refuse(reply, v.kind);
	else
		reply->ops->answer(reply, status_answer(v.entry));
}

/* Takes the request. */
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
		v = ledger_present(l, t, ledger_binding(q), d->duty.now_us);
	switch (v.action) {
	case LEDGER_RUN:
		wait_for(d, v.entry, reply, deadline_us);
		run(d, t, q);
		return;
	case LEDGER_JOIN:
		counter_add(d->joined, 1);
		wait_for(d, v.entry, reply, deadline_us);
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
		give_status(d, l, &p->ticket, p->reply);
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

	/* Not "overloaded", which would claim that the ticket did not run. */
	reply_refuse(p->reply, ERR_ISSUER_UNREACHABLE);
	request_free(p->request);
	free(p);
}

static const struct msg_ops present_ops = { "present", present_run,
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

/* A waiter whose time is up is told that the outcome is unknown; the run goes
 * on and the ledger will know its end. */
int64_t ticket_due_waiters(struct ticket_duty *d, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (uint32_t i = 0; i < d->ledger_count; i++) {
		struct ledger_waiter *w =
			ledger_due_waiters(d->ledgers[i], now_us, &next_us);

		while (w) {
			struct ledger_waiter *next = w->next;

			reply_refuse(w->reply, ERR_DEADLINE_UNKNOWN);
			free(w);
			w = next;
		}
	}
	return next_us;
}
