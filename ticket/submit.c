#include <stdlib.h>

#include "member/member.h"
#include "peer/peer.h"
#include "attempt/attempt.h"
#include "ticket/ticket.h"

#define REPRESENT_AFTER_US (200 * US_PER_MS)
#define LISTING_US (2 * US_PER_S)

/* ---- submissions to any issuer ---- */

struct courier {
	struct reply_to reply;
	struct ticket_duty *ticket;
	uint64_t submission;
};

struct presented_msg {
	struct msg msg;
	struct ticket_duty *ticket;
	uint64_t submission;
	struct answer *answer;
};

void submission_end(struct ticket_duty *d, struct submission *s,
		    struct answer *a)
{
	if (s->prev)
		s->prev->next = s->next;
	else
		d->submissions = s->next;
	if (s->next)
		s->next->prev = s->prev;
	s->reply->ops->answer(s->reply, a);
	request_free(s->request);
	free(s);
	__atomic_sub_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
}

/* Kinds by which the issuer said nothing about the ticket: presenting it again
 * is safe, as the ledger joins copies. */
static bool is_undelivered(enum error_kind k)
{
	return k == ERR_ISSUER_UNREACHABLE || k == ERR_PEER_LOST ||
	       k == ERR_PEER_UNREACHABLE;
}

static void presented_run(struct msg *m, struct duty *to)
{
	struct presented_msg *p = az_container_of(m, struct presented_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);
	struct submission *s = d->submissions;

	while (s && s->id != p->submission)
		s = s->next;
	if (!s) {
		answer_free(p->answer);
	} else if (is_undelivered(p->answer->kind)) {
		answer_free(p->answer);
		s->again_us = d->duty.now_us + REPRESENT_AFTER_US;
		ticket_arm(d, s->again_us);
	} else {
		submission_end(d, s, p->answer);
	}
	free(p);
}

static void presented_drop(struct msg *m)
{
	struct presented_msg *p = az_container_of(m, struct presented_msg, msg);

	answer_free(p->answer);
	free(p);
}

static const struct msg_ops presented_ops = { "presented", presented_run,
					      presented_drop };

static void courier_answer(struct reply_to *to, struct answer *a)
{
	struct courier *c = az_container_of(to, struct courier, reply);
	struct presented_msg *p = az_alloc(sizeof(*p));

	p->msg.ops = &presented_ops;
	p->submission = c->submission;
	p->answer = a;
	duty_send(&c->ticket->duty, &p->msg);
	free(c);
}

static const struct reply_ops courier_ops = { courier_answer };

static struct reply_to *courier_new(struct ticket_duty *d,
				    const struct submission *s)
{
	struct courier *c = az_alloc(sizeof(*c));

	c->reply.ops = &courier_ops;
	c->ticket = d;
	c->submission = s->id;
	return &c->reply;
}

static void present_there(struct ticket_duty *d, struct submission *s,
			  const struct member *issuer)
{
	struct peer_target to = { issuer->ip, issuer->peer_port,
				  issuer->incarnation };

	s->again_us = 0;
	peer_send_present(d->settings.peer, &to, &s->ticket,
			  s->request ? request_copy(s->request) : NULL,
			  s->deadline_us, courier_new(d, s));
}

/* "Gone" is final for the caller, so it is not said by a daemon that has not
 * heard of all departed issuers and their successors yet. */
static enum error_kind unlisted_kind(const struct ticket_duty *d)
{
	return d->duty.now_us - d->started_us <
			       d->settings.membership_settle_us ?
		       ERR_ISSUER_UNREACHABLE :
		       ERR_ISSUER_GONE;
}

static void submission_try(struct ticket_duty *d, struct submission *s)
{
	const struct member_view *v = membership_view(d->settings.membership);
	const struct member *issuer = member_view_issuer(
		v, s->ticket.ip, s->ticket.port, s->ticket.incarnation);

	if (issuer) {
		present_there(d, s, issuer);
	} else if (d->duty.now_us < s->unlisted_until_us) {
		s->again_us = d->duty.now_us + REPRESENT_AFTER_US;
		ticket_arm(d, s->again_us);
	} else {
		submission_end(d, s, answer_new(unlisted_kind(d)));
	}
	member_view_release(v);
}

/* An issuer that has just started may be known to the caller before it is known
 * here; news take less than a second to reach all. */
static int64_t listing_deadline(int64_t now_us, int64_t deadline_us)
{
	int64_t wait_us = (deadline_us - now_us) / 2;

	return now_us + (wait_us < LISTING_US ? wait_us : LISTING_US);
}

static void submit_run(struct msg *m, struct duty *to)
{
	struct present_msg *p = az_container_of(m, struct present_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);
	struct submission *s;

	if (ticket_ledger(d, p->ticket.incarnation)) {
		ticket_present_here(d, p);
		free(p);
		return;
	}
	s = az_alloc(sizeof(*s));
	s->id = ++d->next_submission;
	s->ticket = p->ticket;
	s->request = p->request;
	s->deadline_us = p->deadline_us;
	s->reply = p->reply;
	s->unlisted_until_us = listing_deadline(d->duty.now_us, s->deadline_us);
	s->next = d->submissions;
	if (s->next)
		s->next->prev = s;
	d->submissions = s;
	__atomic_add_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	ticket_arm(d, s->deadline_us);
	submission_try(d, s);
	free(p);
}

static const struct msg_ops submit_ops = { "submit", submit_run,
					   ticket_present_drop };

void ticket_submit(struct ticket_duty *d, const struct ticket *t,
		   struct request *r, int64_t deadline_us,
		   struct reply_to *reply)
{
	ticket_send_present(d, &submit_ops, t, r, deadline_us, reply);
}

int64_t ticket_try_submissions(struct ticket_duty *d, int64_t now_us)
{
	int64_t next_us = INT64_MAX;
	struct submission *after;

	for (struct submission *s = d->submissions; s; s = after) {
		after = s->next;
		if (s->deadline_us <= now_us) {
			submission_end(d, s, answer_new(ERR_DEADLINE_UNKNOWN));
			continue;
		}
		if (s->deadline_us < next_us)
			next_us = s->deadline_us;
		if (s->again_us && s->again_us <= now_us)
			submission_try(d, s);
		else if (s->again_us && s->again_us < next_us)
			next_us = s->again_us;
	}
	return next_us;
}
