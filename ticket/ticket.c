#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <openssl/rand.h>

#include "member/member.h"
#include "peer/peer.h"
#include "route/route.h"
#include "ticket/ticket.h"

/* Larger than all requests that the daemon admits, so that answers fit. */
#define RING_SLOTS 32768
#define EXPIRE_EVERY_US (10 * US_PER_S)
#define REPRESENT_AFTER_US (200 * US_PER_MS)
#define ADOPTED_MAX 16
/* A home is asked about a call for this long after the deadline. */
#define RESOLVE_US (15 * US_PER_S)

/** A ticket presented through this daemon to an issuer elsewhere. */
struct submission {
	struct submission *next;
	struct submission *prev;
	uint64_t id;
	struct ticket ticket;
	struct request *request; /**< NULL: status */
	int64_t deadline_us;
	int64_t again_us; /**< 0 while a presentation is out */
	struct reply_to *reply;
};

struct ticket_duty {
	struct duty duty;
	struct ticket_settings settings;
	uint8_t key[TICKET_KEY_BYTES];
	uint64_t next_sequence; /**< atomic */
	int32_t stopping; /**< atomic; adopts no ledger */
	int32_t frozen; /**< atomic; issues no ticket */
	uint32_t in_flight; /**< atomic */
	struct ledger *ledgers[1 + ADOPTED_MAX]; /**< own first */
	int64_t adopted_us[1 + ADOPTED_MAX];
	uint32_t ledger_count;
	struct ledger *arriving; /**< parts of it are still missing */
	uint32_t arriving_next;
	struct submission *submissions;
	uint64_t next_submission;
	int64_t armed_us;
	int64_t expired_us;
	struct counter *issued;
	struct counter *presented;
	struct counter *joined;
	struct counter *unknown;
};

static void *alloc(size_t n)
{
	void *p = calloc(1, n);

	if (!p)
		abort();
	return p;
}

static void refuse(struct reply_to *reply, enum error_kind k)
{
	reply->ops->answer(reply, answer_new(k));
}

static void arm(struct ticket_duty *d, int64_t at_us)
{
	if (d->armed_us && d->armed_us <= at_us)
		return;
	d->armed_us = at_us;
	duty_arm(&d->duty, at_us);
}

uint32_t ticket_in_flight(struct ticket_duty *d)
{
	return __atomic_load_n(&d->in_flight, __ATOMIC_RELAXED);
}

/* ---- issue ---- */

enum az_status ticket_issue(struct ticket_duty *d, uint64_t organisation,
			    enum rank rank, char out[TICKET_TEXT_MAX_BYTES])
{
	struct ticket t = {
		.ip = d->settings.ip,
		.port = d->settings.port,
		.rank = rank,
		.incarnation = d->settings.incarnation,
		.organisation = organisation,
		.expiry_us = clock_now_us() + TICKET_LIFE_US,
	};

	if (__atomic_load_n(&d->frozen, __ATOMIC_ACQUIRE))
		return az_fail(AZ_DENIED, "the ledger is frozen");
	t.sequence = __atomic_add_fetch(&d->next_sequence, 1, __ATOMIC_RELAXED);
	ticket_sign(&t, d->key);
	ticket_format(&t, out);
	counter_add(d->issued, 1);
	return AZ_OK;
}

void ticket_set_stopping(struct ticket_duty *d)
{
	__atomic_store_n(&d->stopping, 1, __ATOMIC_RELEASE);
}

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

static struct ledger *ledger_of(struct ticket_duty *d, uint64_t incarnation)
{
	for (uint32_t i = 0; i < d->ledger_count; i++)
		if (ledger_incarnation(d->ledgers[i]) == incarnation)
			return d->ledgers[i];
	return NULL;
}

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
	struct ledger *l = ledger_of(d, r->runner->incarnation);
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
	struct ran_msg *m = alloc(sizeof(*m));

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
	struct runner *r = alloc(sizeof(*r));

	r->reply.ops = &runner_ops;
	r->ticket = d;
	r->incarnation = t->incarnation;
	r->sequence = t->sequence;
	__atomic_add_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	route_submit(d->settings.route, q, q->deadline_us + RESOLVE_US,
		     &r->reply);
}

static void wait_for(struct ticket_duty *d, struct ledger_entry *e,
		     struct reply_to *reply, int64_t deadline_us)
{
	struct ledger_waiter *w = alloc(sizeof(*w));

	w->reply = reply;
	w->deadline_us = deadline_us;
	w->next = e->waiters;
	e->waiters = w;
	arm(d, deadline_us);
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
		refuse(reply, v.kind);
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
		refuse(reply, v.kind);
		break;
	}
	request_free(q);
}

struct present_msg {
	struct msg msg;
	struct ticket ticket;
	struct request *request;
	int64_t deadline_us;
	struct reply_to *reply;
};

static void present_here(struct ticket_duty *d, struct present_msg *p)
{
	struct ledger *l = ledger_of(d, p->ticket.incarnation);

	if (!l) {
		refuse(p->reply, ERR_ISSUER_GONE);
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

	present_here(az_container_of(to, struct ticket_duty, duty), p);
	free(p);
}

static void present_drop(struct msg *m)
{
	struct present_msg *p = az_container_of(m, struct present_msg, msg);

	/* Not "overloaded", which would claim that the ticket did not run. */
	refuse(p->reply, ERR_ISSUER_UNREACHABLE);
	request_free(p->request);
	free(p);
}

static const struct msg_ops present_ops = { "present", present_run,
					    present_drop };

static void send_present(struct ticket_duty *d, const struct msg_ops *ops,
			 const struct ticket *t, struct request *q,
			 int64_t deadline_us, struct reply_to *reply)
{
	struct present_msg *p = alloc(sizeof(*p));

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
	send_present(d, &present_ops, t, r, 0, reply);
}

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

static void submission_end(struct ticket_duty *d, struct submission *s,
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
		arm(d, s->again_us);
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
	struct presented_msg *p = alloc(sizeof(*p));

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
	struct courier *c = alloc(sizeof(*c));

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
	peer_present(d->settings.peer, &to, &s->ticket,
		     s->request ? request_copy(s->request) : NULL,
		     s->deadline_us, courier_new(d, s));
}

static void submission_try(struct ticket_duty *d, struct submission *s)
{
	const struct member_view *v = membership_view(d->settings.membership);
	const struct member *issuer = member_view_issuer(
		v, s->ticket.ip, s->ticket.port, s->ticket.incarnation);

	if (issuer)
		present_there(d, s, issuer);
	else
		submission_end(d, s, answer_new(ERR_ISSUER_GONE));
	member_view_release(v);
}

static void submit_run(struct msg *m, struct duty *to)
{
	struct present_msg *p = az_container_of(m, struct present_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);
	struct submission *s;

	if (ledger_of(d, p->ticket.incarnation)) {
		present_here(d, p);
		free(p);
		return;
	}
	s = alloc(sizeof(*s));
	s->id = ++d->next_submission;
	s->ticket = p->ticket;
	s->request = p->request;
	s->deadline_us = p->deadline_us;
	s->reply = p->reply;
	s->next = d->submissions;
	if (s->next)
		s->next->prev = s;
	d->submissions = s;
	__atomic_add_fetch(&d->in_flight, 1, __ATOMIC_RELAXED);
	arm(d, s->deadline_us);
	submission_try(d, s);
	free(p);
}

static const struct msg_ops submit_ops = { "submit", submit_run, present_drop };

void ticket_submit(struct ticket_duty *d, const struct ticket *t,
		   struct request *r, int64_t deadline_us,
		   struct reply_to *reply)
{
	send_present(d, &submit_ops, t, r, deadline_us, reply);
}

/* ---- handover ---- */

void ledger_image_free(struct ledger_image *i)
{
	for (uint32_t n = 0; n < i->count; n++)
		answer_free(i->entries[n].answer);
	free(i->entries);
	free(i);
}

/** Parts of all frozen ledgers, in order. */
struct image_list {
	struct ledger_image **parts;
	uint32_t count;
	uint32_t bytes; /**< of answers in the last part */
	const struct ledger *ledger;
	int64_t clock_us;
};

static struct ledger_image *new_part(struct image_list *list, uint32_t part)
{
	struct ledger_image *i = alloc(sizeof(*i));

	i->incarnation = ledger_incarnation(list->ledger);
	memcpy(i->key, ledger_key(list->ledger), sizeof(i->key));
	i->clock_us = list->clock_us;
	i->part = part;
	i->entries =
		alloc((ledger_size(list->ledger) + 1) * sizeof(*i->entries));
	list->parts = realloc(
		list->parts, (list->count + 1) * sizeof(struct ledger_image *));
	if (!list->parts)
		abort();
	list->parts[list->count++] = i;
	list->bytes = 0;
	return i;
}

/* A run that has not ended may have an effect that this daemon will not see. */
static void copy_entry(const struct ledger_entry *e, void *arg)
{
	struct image_list *list = arg;
	struct ledger_image *i = list->parts[list->count - 1];
	struct ledger_entry *to;

	if (list->bytes >= IMAGE_PART_BYTES)
		i = new_part(list, i->part + 1);
	to = &i->entries[i->count++];
	to->sequence = e->sequence;
	to->binding = e->binding;
	to->expiry_us = e->expiry_us;
	if (e->state == LEDGER_RUNNING) {
		to->state = LEDGER_UNKNOWN;
		to->answer = answer_new(ERR_DEADLINE_UNKNOWN);
	} else {
		to->state = e->state;
		to->answer = answer_copy(e->answer);
	}
	list->bytes += sizeof(*to) + to->answer->headers.len_bytes +
		       to->answer->body.len_bytes;
}

static void copy_out(struct ledger *l, int64_t now_us, struct image_list *list)
{
	uint32_t first = list->count;

	list->ledger = l;
	list->clock_us = now_us + ledger_clock_offset(l);
	new_part(list, 0);
	ledger_each(l, copy_entry, list);
	for (uint32_t i = first; i < list->count; i++)
		list->parts[i]->parts = list->count - first;
}

struct freeze_msg {
	struct msg msg;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
	struct image_list list;
};

static void freeze_run(struct msg *m, struct duty *to)
{
	struct freeze_msg *f = az_container_of(m, struct freeze_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);

	pthread_mutex_lock(&f->lock);
	__atomic_store_n(&d->frozen, 1, __ATOMIC_RELEASE);
	for (uint32_t i = 0; i < d->ledger_count; i++) {
		ledger_freeze(d->ledgers[i]);
		copy_out(d->ledgers[i], d->duty.now_us, &f->list);
	}
	f->done = true;
	pthread_cond_signal(&f->done_cond);
	pthread_mutex_unlock(&f->lock);
}

static void freeze_drop(struct msg *m)
{
	struct freeze_msg *f = az_container_of(m, struct freeze_msg, msg);

	pthread_mutex_lock(&f->lock);
	f->done = true;
	pthread_cond_signal(&f->done_cond);
	pthread_mutex_unlock(&f->lock);
}

static const struct msg_ops freeze_ops = { "freeze", freeze_run, freeze_drop };

uint32_t ticket_freeze(struct ticket_duty *d, struct ledger_image ***out)
{
	struct freeze_msg f = { .msg = { &freeze_ops } };

	pthread_mutex_init(&f.lock, NULL);
	pthread_cond_init(&f.done_cond, NULL);
	duty_send(&d->duty, &f.msg);
	pthread_mutex_lock(&f.lock);
	while (!f.done)
		pthread_cond_wait(&f.done_cond, &f.lock);
	pthread_mutex_unlock(&f.lock);
	*out = f.list.parts;
	return f.list.count;
}

struct adopt_msg {
	struct msg msg;
	struct ledger_image *image;
	struct reply_to *reply;
};

static void serve(struct ticket_duty *d, struct ledger *l)
{
	d->adopted_us[d->ledger_count] = d->duty.now_us;
	d->ledgers[d->ledger_count++] = l;
	log_write(LOG_INFO, "ticket",
		  "ledger adopted incarnation=%016llx entries=%u",
		  (unsigned long long)ledger_incarnation(l), ledger_size(l));
}

/* A new first part starts over, as its sender gave up the earlier try. */
static struct ledger *arriving_ledger(struct ticket_duty *d,
				      const struct ledger_image *i)
{
	if (d->arriving &&
	    (!i->part || ledger_incarnation(d->arriving) != i->incarnation)) {
		ledger_destroy(d->arriving);
		d->arriving = NULL;
	}
	if (!i->part && !d->arriving) {
		d->arriving = ledger_create(i->incarnation, i->key);
		d->arriving_next = 0;
		ledger_set_clock_offset(d->arriving,
					i->clock_us - d->duty.now_us);
	}
	return d->arriving;
}

static enum error_kind adopt(struct ticket_duty *d, struct ledger_image *i)
{
	struct ledger *l;

	/* A second image of one incarnation changes nothing. */
	if (ledger_of(d, i->incarnation))
		return ERR_NONE;
	if (d->ledger_count == 1 + ADOPTED_MAX ||
	    __atomic_load_n(&d->stopping, __ATOMIC_ACQUIRE))
		return ERR_STOPPING;
	l = arriving_ledger(d, i);
	if (!l || i->part != d->arriving_next)
		return ERR_BAD_REQUEST;
	d->arriving_next++;
	for (uint32_t n = 0; n < i->count; n++) {
		struct ledger_entry *e = &i->entries[n];

		ledger_adopt(l, e->sequence, e->binding, e->state, e->expiry_us,
			     e->answer);
		e->answer = NULL;
	}
	if (d->arriving_next == i->parts) {
		serve(d, l);
		d->arriving = NULL;
	}
	return ERR_NONE;
}

static void adopt_run(struct msg *m, struct duty *to)
{
	struct adopt_msg *a = az_container_of(m, struct adopt_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);

	refuse(a->reply, adopt(d, a->image));
	ledger_image_free(a->image);
	free(a);
}

static void adopt_drop(struct msg *m)
{
	struct adopt_msg *a = az_container_of(m, struct adopt_msg, msg);

	refuse(a->reply, ERR_OVERLOADED);
	ledger_image_free(a->image);
	free(a);
}

static const struct msg_ops adopt_ops = { "adopt", adopt_run, adopt_drop };

void ticket_adopt(struct ticket_duty *d, struct ledger_image *i,
		  struct reply_to *reply)
{
	struct adopt_msg *a = alloc(sizeof(*a));

	a->msg.ops = &adopt_ops;
	a->image = i;
	a->reply = reply;
	duty_send(&d->duty, &a->msg);
}

/* ---- the duty ---- */

/* A waiter whose time is up is told that the outcome is unknown; the run goes
 * on and the ledger will know its end. */
static int64_t answer_due_waiters(struct ticket_duty *d, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (uint32_t i = 0; i < d->ledger_count; i++) {
		struct ledger_waiter *w =
			ledger_due_waiters(d->ledgers[i], now_us, &next_us);

		while (w) {
			struct ledger_waiter *next = w->next;

			refuse(w->reply, ERR_DEADLINE_UNKNOWN);
			free(w);
			w = next;
		}
	}
	return next_us;
}

static int64_t try_submissions(struct ticket_duty *d, int64_t now_us)
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

static void expire(struct ticket_duty *d, int64_t now_us)
{
	if (now_us - d->expired_us < EXPIRE_EVERY_US)
		return;
	d->expired_us = now_us;
	for (uint32_t i = 0; i < d->ledger_count; i++)
		ledger_expire(d->ledgers[i], now_us);
	for (uint32_t i = 1; i < d->ledger_count; i++) {
		if (now_us - d->adopted_us[i] < TICKET_LIFE_US ||
		    ledger_size(d->ledgers[i]))
			continue;
		ledger_destroy(d->ledgers[i]);
		d->ledger_count--;
		d->ledgers[i] = d->ledgers[d->ledger_count];
		d->adopted_us[i] = d->adopted_us[d->ledger_count];
		i--;
	}
}

static void on_timer(struct duty *duty, int64_t now_us)
{
	struct ticket_duty *d = az_container_of(duty, struct ticket_duty, duty);
	int64_t next_us;
	int64_t again_us;

	d->armed_us = 0;
	expire(d, now_us);
	next_us = answer_due_waiters(d, now_us);
	again_us = try_submissions(d, now_us);
	if (again_us < next_us)
		next_us = again_us;
	if (next_us > now_us + EXPIRE_EVERY_US)
		next_us = now_us + EXPIRE_EVERY_US;
	arm(d, next_us);
}

static void on_stop(struct duty *duty)
{
	struct ticket_duty *d = az_container_of(duty, struct ticket_duty, duty);

	answer_due_waiters(d, INT64_MAX);
	while (d->submissions)
		submission_end(d, d->submissions,
			       answer_new(ERR_ISSUER_UNREACHABLE));
	for (uint32_t i = 0; i < d->ledger_count; i++)
		ledger_destroy(d->ledgers[i]);
	d->ledger_count = 0;
	if (d->arriving)
		ledger_destroy(d->arriving);
}

static const struct duty_ops duty_ops = { "ticket", on_timer, on_stop };

struct ticket_duty *ticket_create(const struct ticket_settings *s,
				  struct timer_service *timers,
				  apr_pool_t *pool)
{
	struct ticket_duty *d = apr_pcalloc(pool, sizeof(*d));

	if (duty_init(&d->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	d->settings = *s;
	if (RAND_bytes(d->key, sizeof(d->key)) != 1)
		return NULL;
	d->ledgers[0] = ledger_create(s->incarnation, d->key);
	d->ledger_count = 1;
	d->issued = counter_get("tickets_issued");
	d->presented = counter_get("tickets_presented");
	d->joined = counter_get("tickets_joined");
	d->unknown = counter_get("tickets_unknown");
	return d;
}

enum az_status ticket_start(struct ticket_duty *d)
{
	enum az_status s = duty_start(&d->duty);

	if (s == AZ_OK)
		duty_arm(&d->duty, clock_now_us() + EXPIRE_EVERY_US);
	return s;
}

void ticket_stop(struct ticket_duty *d)
{
	duty_stop(&d->duty);
}
