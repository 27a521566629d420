#include <stdlib.h>

#include "member/member.h"
#include "peer/peer.h"
#include "attempt/attempt.h"
#include "ticket/ticket.h"

/* Time until a ticket is presented again, or its issuer looked up again. */
#define PRESENT_RETRY_DELAY_US (200 * US_PER_MS)
/* Longest wait for the membership to list an issuer; see listing_deadline(). */
#define ISSUER_LISTING_WAIT_MAX_US (2 * US_PER_S)

/** Receives the answer of another daemon to a presentation and sends it to the
 * ticket thread. */
struct issuer_reply {
	struct reply_to reply;
	struct ticket_duty *ticket;
	uint64_t submission; /**< id */
};

struct issuer_answer_msg {
	struct msg msg;
	struct ticket_duty *ticket;
	uint64_t submission;
	struct answer *answer;
};

void submission_finish(struct ticket_duty *d, struct submission *s,
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

/* True if the presentation or its answer was lost, or the issuer could not
 * decide. Presenting the ticket again is safe, as the ledger never runs it
 * twice. */
static bool issuer_has_not_decided(enum error_kind k)
{
	return k == ERR_ISSUER_UNREACHABLE || k == ERR_PEER_LOST ||
	       k == ERR_PEER_UNREACHABLE;
}

static void issuer_answer_run(struct msg *m, struct duty *to)
{
	struct issuer_answer_msg *am =
		az_container_of(m, struct issuer_answer_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);
	struct submission *s = d->submissions;

	while (s && s->id != am->submission)
		s = s->next;
	if (!s) {
		answer_free(am->answer);
	} else if (issuer_has_not_decided(am->answer->kind)) {
		answer_free(am->answer);
		s->next_try_us = d->duty.now_us + PRESENT_RETRY_DELAY_US;
		ticket_arm(d, s->next_try_us);
	} else {
		submission_finish(d, s, am->answer);
	}
	free(am);
}

static void issuer_answer_drop(struct msg *m)
{
	struct issuer_answer_msg *am =
		az_container_of(m, struct issuer_answer_msg, msg);

	answer_free(am->answer);
	free(am);
}

static const struct msg_ops issuer_answer_ops = { "ticket-issuer-answer",
						  issuer_answer_run,
						  issuer_answer_drop };

static void issuer_reply_answer(struct reply_to *to, struct answer *a)
{
	struct issuer_reply *r =
		az_container_of(to, struct issuer_reply, reply);
	struct issuer_answer_msg *am = az_alloc(sizeof(*am));

	am->msg.ops = &issuer_answer_ops;
	am->submission = r->submission;
	am->answer = a;
	duty_send(&r->ticket->duty, &am->msg);
	free(r);
}

static const struct reply_ops issuer_reply_ops = { issuer_reply_answer };

static struct reply_to *issuer_reply_new(struct ticket_duty *d,
					 const struct submission *s)
{
	struct issuer_reply *r = az_alloc(sizeof(*r));

	r->reply.ops = &issuer_reply_ops;
	r->ticket = d;
	r->submission = s->id;
	return &r->reply;
}

static void present_to_issuer(struct ticket_duty *d, struct submission *s,
			      const struct member *issuer)
{
	struct peer_target to = { issuer->ip, issuer->peer_port,
				  issuer->incarnation };

	s->next_try_us = 0;
	peer_send_present(d->settings.peer, &to, &s->ticket,
			  s->request ? request_copy(s->request) : NULL,
			  s->deadline_us, issuer_reply_new(d, s));
}

/* ERR_ISSUER_GONE tells the caller that nobody knows any more whether the
 * ticket has run. A daemon that has just started does not use it, as it may not
 * yet know of all departed issuers and their successors. */
static enum error_kind
error_kind_of_unlisted_issuer(const struct ticket_duty *d)
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
		present_to_issuer(d, s, issuer);
	} else if (d->duty.now_us < s->listing_deadline_us) {
		s->next_try_us = d->duty.now_us + PRESENT_RETRY_DELAY_US;
		ticket_arm(d, s->next_try_us);
	} else {
		submission_finish(d, s,
				  answer_new(error_kind_of_unlisted_issuer(d)));
	}
	member_view_release(v);
}

/* The ticket's issuer may have started just now and not be listed here yet;
 * gossip takes less than a second for that. At most half of the time until the
 * request's deadline is spent on the wait. */
static int64_t listing_deadline(int64_t now_us, int64_t deadline_us)
{
	int64_t wait_us = (deadline_us - now_us) / 2;

	return now_us + (wait_us < ISSUER_LISTING_WAIT_MAX_US ?
				 wait_us :
				 ISSUER_LISTING_WAIT_MAX_US);
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
	s->id = ++d->newest_submission_id;
	s->ticket = p->ticket;
	s->request = p->request;
	s->deadline_us = p->deadline_us;
	s->reply = p->reply;
	s->listing_deadline_us =
		listing_deadline(d->duty.now_us, s->deadline_us);
	s->next = d->submissions;
	if (s->next)
		s->next->prev = s;
	d->submissions = s;
	__atomic_add_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	ticket_arm(d, s->deadline_us);
	submission_try(d, s);
	free(p);
}

static const struct msg_ops submit_ops = { "ticket-submit", submit_run,
					   ticket_present_drop };

void ticket_submit(struct ticket_duty *d, const struct ticket *t,
		   struct request *r, int64_t deadline_us,
		   struct reply_to *reply)
{
	ticket_send_present(d, &submit_ops, t, r, deadline_us, reply);
}

int64_t ticket_retry_submissions(struct ticket_duty *d, int64_t now_us)
{
	int64_t next_us = INT64_MAX;
	struct submission *after;

	for (struct submission *s = d->submissions; s; s = after) {
		after = s->next;
		if (s->deadline_us <= now_us) {
			submission_finish(d, s,
					  answer_new(ERR_DEADLINE_UNKNOWN));
			continue;
		}
		if (s->deadline_us < next_us)
			next_us = s->deadline_us;
		if (s->next_try_us && s->next_try_us <= now_us)
			submission_try(d, s);
		else if (s->next_try_us && s->next_try_us < next_us)
			next_us = s->next_try_us;
	}
	return next_us;
}
