#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>

#include "peer/peer.h"
#include "route/route.h"

/* Larger than all requests that the daemon admits, so that answers fit. */
#define RING_SLOTS 32768
/* The home must have time to say what became of a call before the caller's
 * deadline. */
#define MARGIN_US (50 * US_PER_MS)
#define MARGIN_SHARE 10
/* Share of the time left that the first attempt of a read may use. */
#define FIRST_ATTEMPT_PERCENT 60
/* A connection that went silent must not hold a call until its deadline. */
#define QUERY_EARLY_US US_PER_S
#define QUERY_AGAIN_US (200 * US_PER_MS)
#define QUERY_TIMEOUT_US US_PER_S
#define HEDGE_MIN_US (20 * US_PER_MS)
#define HEDGE_FACTOR 4
#define OUT_MAX 2

/** One forward of a request. */
struct attempt {
	struct call_id id; /**< sequence 0: free */
	struct peer_target home;
	int64_t sent_us;
	bool local;
	bool lost; /**< the forward's own answer will not come */
	bool querying;
	int64_t query_at_us;
};

struct pending {
	uint64_t id;
	struct request *request;
	struct reply_to *reply;
	struct service_state *service;
	int64_t resolve_until_us;
	int64_t hedge_at_us; /**< 0: no hedge */
	uint64_t tried[TRIED_MAX];
	uint32_t tried_count;
	uint32_t attempts;
	bool uncertain; /**< an attempt of a read ended as unknown */
	struct attempt out[OUT_MAX];
};

/** What the entry keeps about a service between requests. */
struct service_state {
	uint64_t id;
	struct retry_budget budget;
	int64_t latency_us; /**< smoothed */
	struct conf *conf;
	uint64_t view_version;
	uint16_t *masks;
};

struct route {
	struct duty duty;
	struct route_settings settings;
	apr_hash_t *pending;
	apr_hash_t *services;
	uint64_t next_pending;
	uint64_t next_sequence;
	int64_t armed_us;
	uint32_t in_flight; /**< atomic */
	struct counter *requests;
	struct counter *retries;
	struct counter *hedges;
	struct counter *queries;
};

uint32_t route_in_flight(struct route *r)
{
	return __atomic_load_n(&r->in_flight, __ATOMIC_RELAXED);
}

static void arm(struct route *r, int64_t at_us)
{
	if (r->armed_us && r->armed_us <= at_us)
		return;
	r->armed_us = at_us;
	duty_arm(&r->duty, at_us);
}

/* ---- end of a request ---- */

static void finish(struct route *r, struct pending *p, struct answer *a)
{
	apr_hash_set(r->pending, &p->id, sizeof(p->id), NULL);
	span_end(&p->request->span, "route", error_info(a->kind)->name);
	p->reply->ops->answer(p->reply, a);
	request_free(p->request);
	free(p);
	__atomic_sub_fetch(&r->in_flight, 1, __ATOMIC_RELAXED);
}

static void finish_kind(struct route *r, struct pending *p, enum error_kind k)
{
	finish(r, p, answer_new(k));
}

/* ---- answers of attempts come back through the ring ---- */

struct courier {
	struct reply_to reply;
	struct route *route;
	uint64_t pending;
	uint64_t sequence;
	bool query;
};

struct attempt_msg {
	struct msg msg;
	struct courier *courier;
	struct answer *answer;
};

static void on_attempt(struct route *r, const struct courier *c,
		       struct answer *a);

static void attempt_run(struct msg *m, struct duty *to)
{
	struct attempt_msg *am = az_container_of(m, struct attempt_msg, msg);

	on_attempt(az_container_of(to, struct route, duty), am->courier,
		   am->answer);
	free(am->courier);
	free(am);
}

static void attempt_drop(struct msg *m)
{
	struct attempt_msg *am = az_container_of(m, struct attempt_msg, msg);

	answer_free(am->answer);
	free(am->courier);
	free(am);
}

static const struct msg_ops attempt_ops = { "attempt", attempt_run,
					    attempt_drop };

static void courier_answer(struct reply_to *to, struct answer *a)
{
	struct courier *c = az_container_of(to, struct courier, reply);
	struct attempt_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &attempt_ops;
	m->courier = c;
	m->answer = a;
	duty_send(&c->route->duty, &m->msg);
}

static const struct reply_ops courier_ops = { courier_answer };

static struct reply_to *courier_new(struct route *r, const struct pending *p,
				    uint64_t sequence, bool query)
{
	struct courier *c = az_alloc(sizeof(*c));

	c->reply.ops = &courier_ops;
	c->route = r;
	c->pending = p->id;
	c->sequence = sequence;
	c->query = query;
	return &c->reply;
}

/* ---- attempts ---- */

static struct service_state *service_state(struct route *r, uint64_t id)
{
	struct service_state *s = apr_hash_get(r->services, &id, sizeof(id));

	if (s)
		return s;
	s = az_alloc(sizeof(*s));
	s->id = id;
	retry_budget_init(&s->budget);
	apr_hash_set(r->services, &s->id, sizeof(s->id), s);
	return s;
}

/* The masks cost a walk over the pool, so they are kept until the view or the
 * configuration changes. */
static const uint16_t *masks(struct service_state *s, struct conf *conf,
			     const struct conf_service *cs,
			     const struct member_view *v)
{
	if (s->masks && s->conf == conf && s->view_version == v->version)
		return s->masks;
	free(s->masks);
	s->masks = az_alloc((cs->cell_count + 1) * sizeof(*s->masks));
	if (s->conf != conf) {
		if (s->conf)
			conf_release(s->conf);
		s->conf = conf_retain(conf);
	}
	s->view_version = v->version;
	floor_exclude(cs, v, s->masks);
	return s->masks;
}

static struct attempt *free_attempt(struct pending *p)
{
	for (uint32_t i = 0; i < OUT_MAX; i++)
		if (!p->out[i].id.sequence)
			return &p->out[i];
	return NULL;
}

static bool any_out(const struct pending *p)
{
	for (uint32_t i = 0; i < OUT_MAX; i++)
		if (p->out[i].id.sequence)
			return true;
	return false;
}

static int64_t attempt_deadline(const struct pending *p, int64_t now_us)
{
	int64_t left_us = p->request->deadline_us - now_us;
	int64_t margin_us = left_us / MARGIN_SHARE;

	if (margin_us > MARGIN_US)
		margin_us = MARGIN_US;
	left_us -= margin_us;
	if (p->request->idempotent && p->attempts == 1)
		left_us = left_us * FIRST_ATTEMPT_PERCENT / 100;
	return now_us + left_us;
}

static struct forward *new_forward(struct pending *p, const struct attempt *a,
				   const struct pick *pick, int64_t now_us)
{
	struct forward *f = az_alloc(sizeof(*f));

	f->id = a->id;
	f->home_incarnation = a->home.incarnation;
	f->cell = pick->cell->id;
	f->excluded = pick->excluded;
	f->request = request_copy(p->request);
	f->request->deadline_us = attempt_deadline(p, now_us);
	return f;
}

static void send_attempt(struct route *r, struct pending *p,
			 const struct pick *pick)
{
	int64_t now_us = r->duty.now_us;
	struct attempt *a = free_attempt(p);
	struct forward *f;
	struct reply_to *reply;

	memset(a, 0, sizeof(*a));
	a->id.sender = r->settings.member_id;
	a->id.incarnation = r->settings.incarnation;
	a->id.sequence = ++r->next_sequence;
	a->home = (struct peer_target){ pick->home->ip, pick->home->peer_port,
					pick->home->incarnation };
	a->local = pick->home->incarnation == r->settings.incarnation;
	a->sent_us = now_us;
	p->attempts++;
	if (p->tried_count < TRIED_MAX)
		p->tried[p->tried_count++] = pick->cell->id;
	f = new_forward(p, a, pick, now_us);
	if (!a->local && !p->request->idempotent) {
		a->query_at_us = now_us + QUERY_EARLY_US;
		arm(r, a->query_at_us);
	}
	reply = courier_new(r, p, a->id.sequence, false);
	if (a->local)
		cell_home_forward(r->settings.cell, f, reply);
	else
		peer_forward(r->settings.peer, &a->home, f,
			     f->request->deadline_us + MARGIN_US, reply);
}

/* Picks a cell and sends; ERR_NONE if sent. */
static enum error_kind attempt(struct route *r, struct pending *p)
{
	struct conf *conf = conf_current_get(r->settings.conf);
	const struct conf_service *cs =
		conf_find_service(conf, p->request->service);
	const struct member_view *v = membership_view(r->settings.membership);
	enum error_kind k = cs ? ERR_NO_WORKER : ERR_UNKNOWN_ROUTE;

	if (cs) {
		struct pick_input in = {
			.service = cs,
			.view = v,
			.dc = r->settings.dc,
			.region = r->settings.region,
			.masks = masks(p->service, conf, cs, v),
			.tried = p->tried,
			.tried_count = p->tried_count,
			.random = random_u64(),
		};
		struct pick pick = pick_cell(&in);

		if (!pick.cell && p->tried_count) {
			/* All were tried; the home may have moved since. */
			in.tried_count = 0;
			pick = pick_cell(&in);
		}
		if (pick.cell) {
			send_attempt(r, p, &pick);
			k = ERR_NONE;
		}
	}
	member_view_release(v);
	conf_release(conf);
	return k;
}

/* ---- queries ---- */

static void send_query(struct route *r, struct pending *p, struct attempt *a)
{
	struct reply_to *reply = courier_new(r, p, a->id.sequence, true);

	counter_add(r->queries, 1);
	a->querying = true;
	a->query_at_us = 0;
	if (a->local)
		cell_home_query(r->settings.cell, &a->id, a->home.incarnation,
				reply);
	else
		peer_query(r->settings.peer, &a->home, &a->id,
			   r->duty.now_us + QUERY_TIMEOUT_US, reply);
}

static bool home_is_alive(struct route *r, const struct attempt *a)
{
	const struct member_view *v = membership_view(r->settings.membership);
	bool alive = member_view_issuer(v, a->home.ip, a->home.port,
					a->home.incarnation) != NULL;

	member_view_release(v);
	return alive;
}

/* ---- decisions about an answer ---- */

static struct attempt *find_attempt(struct pending *p, uint64_t sequence)
{
	for (uint32_t i = 0; i < OUT_MAX; i++)
		if (p->out[i].id.sequence == sequence)
			return &p->out[i];
	return NULL;
}

static void note_latency(struct pending *p, const struct attempt *a,
			 int64_t now_us)
{
	int64_t took_us = now_us - a->sent_us;
	struct service_state *s = p->service;

	s->latency_us +=
		s->latency_us ? (took_us - s->latency_us) / 16 : took_us;
}

/* The answer of a query that did not reach the home says nothing: while the
 * forward itself may still be answered, it is only asked again. */
static bool is_transport_loss(const struct answer *a)
{
	return a->kind == ERR_PEER_LOST || a->kind == ERR_PEER_UNREACHABLE;
}

static void query_later(struct route *r, struct attempt *a)
{
	a->query_at_us = r->duty.now_us + QUERY_AGAIN_US;
	arm(r, a->query_at_us);
}

static void retry(struct route *r, struct pending *p, struct answer *a)
{
	enum error_kind k;

	if (route_costs_budget(a->kind))
		retry_budget_take(&p->service->budget);
	counter_add(r->retries, 1);
	k = attempt(r, p);
	if (k == ERR_NONE)
		answer_free(a);
	else
		finish(r, p, a);
}

static void decide(struct route *r, struct pending *p, struct attempt *at,
		   struct answer *a)
{
	int64_t now_us = r->duty.now_us;
	struct attempt was = *at;
	struct route_input in = {
		.kind = a->kind,
		.outcome = a->outcome,
		.idempotent = p->request->idempotent,
		.in_time = now_us < p->request->deadline_us,
		.attempts = p->attempts,
		.budget = retry_budget_has(&p->service->budget),
	};

	in.may_resolve = a->kind == ERR_PEER_LOST &&
			 now_us < p->resolve_until_us && home_is_alive(r, at);
	at->id.sequence = 0;
	in.others_out = any_out(p);
	switch (route_decide(&in)) {
	case ROUTE_FINISH:
		if (a->kind == ERR_NONE)
			note_latency(p, &was, now_us);
		finish(r, p, a);
		return;
	case ROUTE_RETRY:
		p->uncertain = p->uncertain || a->outcome == OUTCOME_UNKNOWN;
		retry(r, p, a);
		return;
	case ROUTE_QUERY:
		*at = was;
		at->lost = true;
		if (!at->querying)
			send_query(r, p, at);
		answer_free(a);
		return;
	case ROUTE_WAIT:
		p->uncertain = p->uncertain || a->outcome == OUTCOME_UNKNOWN;
		answer_free(a);
		return;
	}
}

static void on_query_answer(struct route *r, struct pending *p,
			    struct attempt *at, struct answer *a)
{
	at->querying = false;
	if (!is_transport_loss(a)) {
		decide(r, p, at, a);
		return;
	}
	if (!at->lost ||
	    (r->duty.now_us < p->resolve_until_us && home_is_alive(r, at))) {
		query_later(r, at);
		answer_free(a);
		return;
	}
	/* A query that was not sent proves nothing about the call. */
	answer_free(a);
	decide(r, p, at, answer_new(ERR_PEER_LOST));
}

static void on_attempt(struct route *r, const struct courier *c,
		       struct answer *a)
{
	struct pending *p =
		apr_hash_get(r->pending, &c->pending, sizeof(c->pending));
	struct attempt *at = p ? find_attempt(p, c->sequence) : NULL;

	if (!at)
		answer_free(a);
	else if (c->query)
		on_query_answer(r, p, at, a);
	else
		decide(r, p, at, a);
}

/* ---- submit ---- */

struct submit_msg {
	struct msg msg;
	struct request *request;
	int64_t resolve_until_us;
	struct reply_to *reply;
};

static void plan_hedge(struct route *r, struct pending *p,
		       const struct conf_service *cs)
{
	int64_t after_us = p->service->latency_us * HEDGE_FACTOR;

	if (!cs || !cs->hedge || !p->request->idempotent ||
	    !p->service->latency_us)
		return;
	if (after_us < HEDGE_MIN_US)
		after_us = HEDGE_MIN_US;
	p->hedge_at_us = r->duty.now_us + after_us;
	arm(r, p->hedge_at_us);
}

static void prepare(struct route *r, struct pending *p)
{
	struct conf *conf = conf_current_get(r->settings.conf);
	const struct conf_service *cs =
		conf_find_service(conf, p->request->service);

	p->service = service_state(r, hash_string(p->request->service));
	retry_budget_request(&p->service->budget, cs ? cs->retry_percent : 0);
	plan_hedge(r, p, cs);
	conf_release(conf);
}

static void submit_run(struct msg *m, struct duty *to)
{
	struct submit_msg *s = az_container_of(m, struct submit_msg, msg);
	struct route *r = az_container_of(to, struct route, duty);
	struct pending *p = az_alloc(sizeof(*p));
	enum error_kind k;

	p->id = ++r->next_pending;
	p->request = s->request;
	p->reply = s->reply;
	p->resolve_until_us = s->resolve_until_us;
	free(s);
	counter_add(r->requests, 1);
	span_child(&p->request->span, &p->request->span);
	apr_hash_set(r->pending, &p->id, sizeof(p->id), p);
	prepare(r, p);
	arm(r, p->request->idempotent ? p->request->deadline_us :
					p->resolve_until_us);
	k = attempt(r, p);
	if (k != ERR_NONE)
		finish_kind(r, p, k);
}

static void submit_drop(struct msg *m)
{
	struct submit_msg *s = az_container_of(m, struct submit_msg, msg);

	s->reply->ops->answer(s->reply, answer_new(ERR_OVERLOADED));
	request_free(s->request);
	free(s);
}

static const struct msg_ops submit_ops = { "submit", submit_run, submit_drop };

void route_submit(struct route *r, struct request *q, int64_t resolve_until_us,
		  struct reply_to *reply)
{
	struct submit_msg *s = az_alloc(sizeof(*s));

	s->msg.ops = &submit_ops;
	s->request = q;
	s->resolve_until_us = resolve_until_us;
	s->reply = reply;
	__atomic_add_fetch(&r->in_flight, 1, __ATOMIC_RELAXED);
	if (duty_send(&r->duty, &s->msg) != AZ_OK)
		__atomic_sub_fetch(&r->in_flight, 1, __ATOMIC_RELAXED);
}

/* ---- timers ---- */

static void hedge(struct route *r, struct pending *p)
{
	p->hedge_at_us = 0;
	if (!free_attempt(p) || !retry_budget_has(&p->service->budget))
		return;
	retry_budget_take(&p->service->budget);
	counter_add(r->hedges, 1);
	attempt(r, p);
}

static void give_up(struct route *r, struct pending *p)
{
	bool certain = !p->uncertain && !any_out(p);

	finish_kind(r, p,
		    certain ? ERR_DEADLINE_NOT_RUN : ERR_DEADLINE_UNKNOWN);
}

static void earlier(int64_t *next_us, int64_t at_us)
{
	if (at_us && at_us < *next_us)
		*next_us = at_us;
}

static void tick_pending(struct route *r, struct pending *p, int64_t now_us,
			 int64_t *next_us)
{
	int64_t end_us = p->request->idempotent ? p->request->deadline_us :
						  p->resolve_until_us;

	if (end_us <= now_us) {
		give_up(r, p);
		return;
	}
	if (p->hedge_at_us && p->hedge_at_us <= now_us)
		hedge(r, p);
	earlier(next_us, p->hedge_at_us);
	earlier(next_us, end_us);
	for (uint32_t i = 0; i < OUT_MAX; i++) {
		struct attempt *a = &p->out[i];

		if (!a->id.sequence || !a->query_at_us)
			continue;
		if (a->query_at_us <= now_us)
			send_query(r, p, a);
		earlier(next_us, a->query_at_us);
	}
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct route *r = az_container_of(d, struct route, duty);
	int64_t next_us = INT64_MAX;
	apr_hash_index_t *i;

	r->armed_us = 0;
	for (i = apr_hash_first(NULL, r->pending); i; i = apr_hash_next(i))
		tick_pending(r, apr_hash_this_val(i), now_us, &next_us);
	if (next_us != INT64_MAX)
		arm(r, next_us);
}

static void on_stop(struct duty *d)
{
	struct route *r = az_container_of(d, struct route, duty);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, r->pending); i; i = apr_hash_next(i))
		give_up(r, apr_hash_this_val(i));
	for (i = apr_hash_first(NULL, r->services); i; i = apr_hash_next(i)) {
		struct service_state *s = apr_hash_this_val(i);

		if (s->conf)
			conf_release(s->conf);
		free(s->masks);
		free(s);
	}
}

static const struct duty_ops duty_ops = { "route", on_timer, on_stop };

struct route *route_create(const struct route_settings *s,
			   struct timer_service *timers, apr_pool_t *pool)
{
	struct route *r = apr_pcalloc(pool, sizeof(*r));

	if (duty_init(&r->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	r->settings = *s;
	r->pending = apr_hash_make(r->duty.pool);
	r->services = apr_hash_make(r->duty.pool);
	r->requests = counter_get("route_requests");
	r->retries = counter_get("route_retries");
	r->hedges = counter_get("route_hedges");
	r->queries = counter_get("route_queries");
	return r;
}

enum az_status route_start(struct route *r)
{
	return duty_start(&r->duty);
}

void route_stop(struct route *r)
{
	duty_stop(&r->duty);
}
