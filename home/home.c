/**
 * @file
 * The home's thread: handles grant requests, completions and cancels,
 * dispatches queued grant requests to workers and expires grants.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "home/home.h"

/* More than the requests that a daemon admits, so that the ring always has room
 * for their completions. */
#define RING_SLOTS 32768
/* While grant requests are queued, dispatch is also tried at this interval, as
 * the suspicion about a worker decays without any message. */
#define QUEUE_TICK_US (50 * US_PER_MS)
/* Interval at which grants without a report of their completion are expired. */
#define SWEEP_INTERVAL_US US_PER_S
/* A completion that is not reported within this time after the request's
 * deadline is no longer expected. */
#define COMPLETION_GRACE_US (2 * US_PER_S)
/* A wait of more than this share of the time until the latency target is long:
 * the requester should try another region first, although bytes between regions
 * cost more than those between data centres. */
#define LONG_WAIT_TARGET_PERCENT 40
/* The same limit for requests without a latency target. */
#define LONG_WAIT_US US_PER_S
/* Most requests take less than the baseline plus this many deviations. */
#define TYPICAL_MAX_DEVIATIONS 3
/* Bounds of the time after which a refused caller is told to retry. A caller
 * that retried sooner than the lower one would find the same queue. */
#define RETRY_AFTER_MIN_MS 200
#define RETRY_AFTER_MAX_MS 4000

/* Sends a reply about `g` to its requester. */
static void reply(struct home *h, const struct grant *g, struct home_msg *m)
{
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	uint32_t n;

	m->requester_incarnation = g->key[0];
	m->sequence = g->key[1];
	if (g->reply_sink) {
		g->reply_sink->ops->deliver(g->reply_sink, m);
		return;
	}
	n = home_encode(m, &h->keys, data);
	if (!n)
		return;
	/* A datagram that cannot be sent counts as lost: the requester repeats
	 * its message. */
	net_send_to(h->socket.sock, data, n, g->ip, g->port);
}

/* ---- grants and refusals ---- */

static void free_grant(struct home *h, struct grant *g)
{
	apr_hash_set(h->grants, g->key, sizeof(g->key), NULL);
	free(g);
}

static void reply_granted(struct home *h, const struct grant *g)
{
	struct latency_baseline base = home_cell_baseline(g->cell);
	struct home_msg m = {
		.kind = HOME_GRANT,
		.worker = g->worker,
		.typical_max_us =
			(uint32_t)(base.latency_us +
				   TYPICAL_MAX_DEVIATIONS * base.deviation_us),
		.worker_unheard = !worker_limit_is_heard(
			&g->cell->workers[g->worker_index].limit,
			h->duty.now_us),
	};

	reply(h, g, &m);
}

/* Estimated wait of a new item of rank `r`, as told to the requester; leaves
 * out the shares of the lower ranks, which rank_queue_wait_us() includes. */
static uint32_t queue_wait_ms(const struct home_cell *c, enum rank r)
{
	uint64_t ahead = 1;

	for (uint32_t i = 0; i <= (uint32_t)r; i++)
		ahead += c->queue.depth[i];
	return (uint32_t)(ahead * (uint64_t)c->queue.dispatch_interval_us /
			  US_PER_MS);
}

static void reply_queued(struct home *h, const struct grant *g)
{
	struct home_msg m = {
		.kind = HOME_QUEUED,
		.wait_ms = queue_wait_ms(g->cell, g->item.rank),
	};

	reply(h, g, &m);
}

/* Time until a worker of the cell takes requests, if all want none now. */
static int64_t pause_left_us(const struct home_cell *c, int64_t now_us)
{
	return c->queue.blocked_until_us > now_us ?
		       c->queue.blocked_until_us - now_us :
		       0;
}

/* Refused callers retry when the queue ahead of them will have been served.
 * The time is random between once and twice that, to spread the retries. It
 * begins when the pause that all workers have asked for ends. */
static uint32_t retry_after_ms(const struct home_cell *c, enum rank r,
			       int64_t now_us)
{
	uint32_t ms = queue_wait_ms(c, r);

	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	ms += (uint32_t)(random_u64() % ms);
	if (ms > RETRY_AFTER_MAX_MS)
		ms = RETRY_AFTER_MAX_MS;
	return ms + (uint32_t)(pause_left_us(c, now_us) / US_PER_MS);
}

static void refuse(struct home *h, struct grant *g, enum error_kind k)
{
	struct home_msg m = {
		.kind = HOME_REFUSE,
		.error = (uint8_t)k,
		.wait_ms =
			retry_after_ms(g->cell, g->item.rank, h->duty.now_us),
	};

	counter_add(h->refused, 1);
	log_write(LOG_INFO, "home",
		  "grant request refused cell=%016llx rank=%s error=%s "
		  "queued=%u "
		  "retry_ms=%u left_ms=%u",
		  (unsigned long long)g->cell->id, rank_name(g->item.rank),
		  error_info(k)->name, rank_queue_depth(&g->cell->queue),
		  m.wait_ms, g->grant_request.left_ms);
	reply(h, g, &m);
	free_grant(h, g);
}

/* Refuses a grant request that no other cell is expected to serve. */
static void refuse_unserved(struct home *h, struct grant *g, enum error_kind k)
{
	floor_record(&g->cell->floor, false, h->duty.now_us);
	refuse(h, g, k);
}

static void issue_grant(struct home *h, struct grant *g, uint32_t worker_index)
{
	struct home_worker *w = &g->cell->workers[worker_index];

	g->state = GRANT_ISSUED;
	g->worker_index = worker_index;
	g->worker = w->id;
	g->granted_us = h->duty.now_us;
	worker_evidence_record_send(&w->evidence, g->granted_us);
	worker_limit_take(&w->limit, g->granted_us);
	w->suspicion_us = 0;
	counter_add(h->granted, 1);
	reply_granted(h, g);
}

/* Returns the worker of an issued grant; NULL if its entry has been reused. */
static struct home_worker *worker_of(const struct grant *g)
{
	struct home_worker *w = &g->cell->workers[g->worker_index];

	return w->id == g->worker ? w : NULL;
}

/* ---- dispatch from the queue ---- */

static int32_t choose(struct home *h, const struct grant *g)
{
	struct candidate list[HOME_WORKERS_MAX];
	int64_t now_us = h->duty.now_us;
	uint32_t n = home_cell_candidates(h, g->cell, &g->grant_request, list);
	struct latency_baseline base = home_cell_baseline(g->cell);
	struct demand d = {
		.rank = g->item.rank,
		.idempotent = g->grant_request.idempotent,
		.hold_floor = floor_must_hold(&g->cell->floor, now_us),
		.may_wait = now_us < g->may_wait_until_us &&
			    choose_queue_is_short(
				    rank_queue_depth(&g->cell->queue), n),
	};

	return choose_worker(list, n, &base, &d, g->key[1], now_us);
}

/** Argument of fits(), which stores the worker chosen for the item in it. */
struct fit {
	struct home *home;
	int32_t worker_index;
};

static bool fits(const struct queue_item *i, void *arg)
{
	struct fit *f = arg;

	f->worker_index =
		choose(f->home, az_container_of(i, struct grant, item));
	return f->worker_index >= 0;
}

static void dispatch(struct home *h, struct home_cell *c)
{
	struct fit f = { h, -1 };
	struct queue_item *expired = NULL;
	struct queue_item *i;

	while ((i = rank_queue_pop(&c->queue, h->duty.now_us, fits, &f,
				   &expired))) {
		struct grant *g = az_container_of(i, struct grant, item);

		issue_grant(h, g, (uint32_t)f.worker_index);
	}
	while (expired) {
		struct queue_item *next = expired->next;

		refuse_unserved(h, az_container_of(expired, struct grant, item),
				ERR_DEADLINE_NOT_RUN);
		expired = next;
	}
	if (rank_queue_depth(&c->queue))
		home_arm_timer(h, h->duty.now_us + QUEUE_TICK_US);
}

/* Returns when the first of the available workers takes requests, or 0 if one
 * does so now. */
static int64_t all_paused_until_us(const struct candidate *list, uint32_t n,
				   int64_t now_us)
{
	int64_t until_us = 0;

	for (uint32_t i = 0; i < n; i++) {
		if (list[i].unavailable)
			continue;
		if (list[i].paused_until_us <= now_us)
			return 0;
		if (!until_us || list[i].paused_until_us < until_us)
			until_us = list[i].paused_until_us;
	}
	return until_us;
}

/* Estimates the interval between dispatches from the latency, the usable slots
 * and the limits of the workers, and the time at which they begin. False if the
 * grant request has no available worker. */
static bool update_wait_estimate(struct home *h, struct home_cell *c,
				 const struct home_msg *grant_request)
{
	struct candidate list[HOME_WORKERS_MAX];
	uint32_t n = home_cell_candidates(h, c, grant_request, list);
	struct latency_baseline base = home_cell_baseline(c);
	bool any_available = false;

	for (uint32_t i = 0; i < n; i++)
		any_available |= !list[i].unavailable;
	c->queue.blocked_until_us =
		all_paused_until_us(list, n, h->duty.now_us);
	/* Dispatches begin when the first pause ends, and so does the estimate
	 * of their rate. */
	c->queue.dispatch_interval_us = choose_dispatch_interval_us(
		list, n, &base,
		c->queue.blocked_until_us ? c->queue.blocked_until_us :
					    h->duty.now_us);
	return any_available;
}

/* Refuses the queued grant requests that are estimated to miss their deadline,
 * at once rather than at the deadline. Load pattern: a burst beyond capacity,
 * or workers that turn gray while grant requests are queued. */
static void refuse_unservable(struct home *h, struct home_cell *c)
{
	const struct home_msg any_grant_request = {
		.kind = HOME_GRANT_REQUEST
	};
	struct queue_item *i;

	update_wait_estimate(h, c, &any_grant_request);
	i = rank_queue_take_unservable(&c->queue, h->duty.now_us);
	while (i) {
		struct queue_item *next = i->next;

		refuse_unserved(h, az_container_of(i, struct grant, item),
				ERR_OVERLOADED);
		i = next;
	}
}

/* ---- grant requests, completions and cancels ---- */

/* False if the grant request is for a retry and the retry budget is spent. */
static bool take_retry(struct home *h, struct home_cell *c,
		       const struct home_msg *grant_request)
{
	uint8_t percent = c->conf_service ? c->conf_service->retry_percent : 0;

	return !grant_request->uses_retry_budget ||
	       retry_budget_take(&c->budget, percent,
				 home_cell_is_elected(h, c), h->duty.now_us);
}

/* Replies to a grant request that was sent again, as the first reply may be
 * lost. */
static void resend_reply(struct home *h, struct grant *g)
{
	if (g->state == GRANT_ISSUED)
		reply_granted(h, g);
	else
		reply_queued(h, g);
}

static bool is_long_wait(const struct home_cell *c, const struct grant *g,
			 int64_t now_us)
{
	int64_t max_us = g->grant_request.target_ms * US_PER_MS *
			 LONG_WAIT_TARGET_PERCENT / 100;

	if (!g->grant_request.target_ms)
		max_us = LONG_WAIT_US;
	return pause_left_us(c, now_us) +
		       rank_queue_wait_us(&c->queue, g->item.rank) >
	       max_us;
}

/* True if the requester should try another region, which may have a free
 * worker. The requester sets no_queueing if it is in another region or if the
 * grant is for a second copy of a request. */
static bool is_better_elsewhere(struct home *h, const struct grant *g)
{
	if (g->grant_request.must_queue)
		return false;
	if (g->grant_request.no_queueing)
		return rank_queue_depth(&g->cell->queue) || choose(h, g) < 0;
	return is_long_wait(g->cell, g, h->duty.now_us);
}

static void admit(struct home *h, struct grant *g)
{
	struct home_cell *c = g->cell;
	bool any_available = update_wait_estimate(h, c, &g->grant_request);
	enum error_kind k;

	if (g->grant_request.first_grant_request)
		retry_budget_count_first(&c->budget, h->duty.now_us);
	if (!any_available) {
		refuse(h, g, ERR_NO_WORKER);
		return;
	}
	if (is_better_elsewhere(h, g)) {
		refuse(h, g, ERR_OVERLOADED);
		return;
	}
	if (!take_retry(h, c, &g->grant_request)) {
		refuse(h, g, ERR_OVER_LIMIT);
		return;
	}
	k = rank_queue_push(&c->queue, &g->item, h->duty.now_us);
	if (k != ERR_NONE) {
		refuse_unserved(h, g, k);
		return;
	}
	dispatch(h, c);
}

static void on_grant_request(struct home *h, const struct home_msg *m,
			     struct home_reply_sink *sink, uint32_t ip,
			     uint16_t port)
{
	uint64_t key[2] = { m->requester_incarnation, m->sequence };
	struct grant *g = apr_hash_get(h->grants, key, sizeof(key));
	int64_t left_us = m->left_ms * US_PER_MS;
	int64_t baseline_us;

	if (g) {
		resend_reply(h, g);
		return;
	}
	counter_add(h->grant_requests, 1);
	g = az_alloc(sizeof(*g));
	memcpy(g->key, key, sizeof(key));
	g->grant_request = *m;
	g->reply_sink = sink;
	g->ip = ip;
	g->port = port;
	g->cell = home_cell_get(h, m->service, m->region);
	baseline_us = home_cell_baseline(g->cell).latency_us;
	g->item.rank = (enum rank)m->rank;
	/* The grant request expires before the caller's request does, so that
	 * the request has time to complete after the grant. */
	g->item.deadline_us = h->duty.now_us + (left_us > 2 * baseline_us ?
							left_us - baseline_us :
							left_us / 2);
	g->may_wait_until_us = h->duty.now_us + m->target_ms * US_PER_MS *
							CHOOSE_WAIT_PERCENT /
							100;
	g->expires_us = h->duty.now_us + left_us + COMPLETION_GRACE_US;
	apr_hash_set(h->grants, g->key, sizeof(g->key), g);
	home_arm_timer(h, h->duty.now_us + SWEEP_INTERVAL_US);
	admit(h, g);
	/* admit() frees the grant if it refuses the grant request. */
	g = apr_hash_get(h->grants, key, sizeof(key));
	if (g && g->state == GRANT_QUEUED) {
		counter_add(h->queued, 1);
		reply_queued(h, g);
	}
}

/* True if the event tells that the worker did not serve the request. A request
 * that was shed goes to another worker. */
static bool is_unserved(enum home_event e)
{
	return e != EVENT_ANSWERED && e != EVENT_SHED && e != EVENT_CANCELLED &&
	       e != EVENT_NO_EVIDENCE;
}

/* Records how the request of an issued grant completed and frees the grant. */
static void complete(struct home *h, struct grant *g, enum home_event e,
		     int64_t latency_us)
{
	struct home_cell *c = g->cell;
	struct home_worker *w = worker_of(g);
	struct latency_baseline base = home_cell_baseline(c);
	double before;
	double after;

	/* The log line shows the suspicion after the completion as trouble= and
	 * the requests in flight as out=. */
	if (w) {
		before = worker_evidence_suspicion(&w->evidence, &base,
						   h->duty.now_us);
		worker_evidence_record_completion(&w->evidence, &base,
						  g->granted_us, e, latency_us,
						  h->duty.now_us);
		w->suspicion_us = 0;
		after = worker_evidence_suspicion(&w->evidence, &base,
						  h->duty.now_us);
		if (before < CHOOSE_SUSPICION_MAX &&
		    after >= CHOOSE_SUSPICION_MAX)
			log_write(
				LOG_WARN, "home",
				"worker became suspect worker=%s cell=%016llx "
				"event=%u trouble=%.2f before=%.2f out=%u",
				w->conf ? w->conf->name : "-",
				(unsigned long long)c->id, e, after, before,
				w->evidence.in_flight_count);
	}
	if (e == EVENT_ANSWERED)
		home_cell_record_latency(c, latency_us);
	if (e == EVENT_ANSWERED || is_unserved(e))
		floor_record(&c->floor, !is_unserved(e), h->duty.now_us);
	free_grant(h, g);
	dispatch(h, c);
}

/* Learns from a completion whether the worker names a limit. */
static void update_limit(struct home *h, const struct grant *g,
			 const struct home_msg *m)
{
	struct home_worker *w = worker_of(g);
	int64_t now_us = h->duty.now_us;
	bool changed = false;

	if (!w)
		return;
	if (m->limit_mrps)
		changed = worker_limit_named(
			&w->limit, m->limit_mrps,
			now_us - m->limit_age_ms * US_PER_MS, now_us);
	else if (m->event == EVENT_ANSWERED || m->event == EVENT_SERVER_ERROR)
		changed = worker_limit_absent(&w->limit, g->granted_us, now_us);
	if (changed)
		log_write(LOG_INFO, "home",
			  "%s worker=%s cell=%016llx limit_mrps=%u age_ms=%u",
			  w->limit.mrps ? "worker named a limit" :
					  "worker's limit ended",
			  w->conf ? w->conf->name : "-",
			  (unsigned long long)g->cell->id, w->limit.mrps,
			  m->limit_age_ms);
}

/* Learns from a completion what the worker has said to the requester, which
 * holds for the whole fleet. */
static void update_notice(struct home *h, const struct grant *g,
			  const struct home_msg *m)
{
	struct home_worker *w = worker_of(g);
	int64_t until_us = h->duty.now_us + m->pause_ms * US_PER_MS;

	if (!w)
		return;
	if (m->worker_leaving && h->duty.now_us >= w->leaving_until_us) {
		w->leaving_until_us = worker_leaving_until_us(
			w->conf ? w->conf->boot : 0, h->duty.now_us);
		log_write(LOG_INFO, "home",
			  "worker leaves, as it says worker=%s cell=%016llx",
			  w->conf ? w->conf->name : "-",
			  (unsigned long long)g->cell->id);
	}
	if (!m->pause_ms || until_us <= w->paused_until_us)
		return;
	if (w->paused_until_us <= h->duty.now_us)
		log_write(LOG_INFO, "home",
			  "worker gets no requests, as it asks "
			  "worker=%s cell=%016llx ms=%u",
			  w->conf ? w->conf->name : "-",
			  (unsigned long long)g->cell->id, m->pause_ms);
	w->paused_until_us = until_us;
}

/* A worker that names the time for which it is full is not gray. */
static enum home_event evidence_of(const struct home_msg *m)
{
	return m->event == EVENT_SHED && m->pause_ms ?
		       EVENT_NO_EVIDENCE :
		       (enum home_event)m->event;
}

static void on_completion(struct home *h, const struct home_msg *m, uint32_t ip,
			  uint16_t port, bool remote)
{
	uint64_t key[2] = { m->requester_incarnation, m->sequence };
	struct grant *g = apr_hash_get(h->grants, key, sizeof(key));
	struct grant to = { .key = { key[0], key[1] }, .ip = ip, .port = port };
	struct home_msg ack = { .kind = HOME_COMPLETION_ACK };

	if (remote)
		reply(h, &to, &ack);
	if (!g || g->state != GRANT_ISSUED)
		return;
	update_limit(h, g, m);
	update_notice(h, g, m);
	complete(h, g, evidence_of(m), m->latency_us);
}

static void on_cancel(struct home *h, const struct home_msg *m)
{
	uint64_t key[2] = { m->requester_incarnation, m->sequence };
	struct grant *g = apr_hash_get(h->grants, key, sizeof(key));

	if (!g)
		return;
	if (g->state == GRANT_ISSUED) {
		complete(h, g, EVENT_NO_EVIDENCE, 0);
		return;
	}
	rank_queue_remove(&g->cell->queue, &g->item);
	free_grant(h, g);
}

static void on_msg(struct home *h, const struct home_msg *m,
		   struct home_reply_sink *sink, uint32_t ip, uint16_t port)
{
	switch (m->kind) {
	case HOME_GRANT_REQUEST:
		on_grant_request(h, m, sink, ip, port);
		return;
	case HOME_COMPLETION:
		on_completion(h, m, ip, port, !sink);
		return;
	case HOME_CANCEL:
		on_cancel(h, m);
		return;
	default:
		return;
	}
}

/* ---- messages from this daemon's own threads ---- */

struct local_msg {
	struct msg msg;
	struct home_msg home_msg;
	struct home_reply_sink *reply_sink;
};

static void local_msg_run(struct msg *m, struct duty *to)
{
	struct local_msg *l = az_container_of(m, struct local_msg, msg);

	on_msg(az_container_of(to, struct home, duty), &l->home_msg,
	       l->reply_sink, 0, 0);
	free(l);
}

static void local_msg_drop(struct msg *m)
{
	free(az_container_of(m, struct local_msg, msg));
}

static const struct msg_ops local_msg_ops = { "home-local", local_msg_run,
					      local_msg_drop };

void home_submit_local(struct home *h, const struct home_msg *m,
		       struct home_reply_sink *sink)
{
	struct local_msg *l = az_alloc(sizeof(*l));

	l->msg.ops = &local_msg_ops;
	l->home_msg = *m;
	l->reply_sink = sink;
	/* A message that does not fit into the ring is lost like a datagram:
	 * the requester repeats it. */
	duty_send(&h->duty, &l->msg);
}

/* ---- datagrams from other daemons ---- */

static void on_readable(struct poll_handler *p, int16_t events)
{
	struct home *h = az_container_of(p, struct home, socket);
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	struct home_msg m;
	uint16_t port;
	uint32_t ip;
	uint32_t n;

	(void)events;
	while ((n = net_receive(p->sock, data, sizeof(data), &ip, &port)))
		if (home_decode(data, n, &h->keys, &m) == AZ_OK)
			on_msg(h, &m, NULL, ip, port);
}

static const struct poll_ops socket_ops = { on_readable };

/* ---- timer: queued grant requests, expired grants, status ---- */

void home_arm_timer(struct home *h, int64_t at_us)
{
	if (h->timer_us && h->timer_us <= at_us)
		return;
	h->timer_us = at_us;
	duty_arm(&h->duty, at_us);
}

static bool is_live(const struct member_view *v, uint64_t incarnation)
{
	for (uint32_t i = 0; i < v->member_count; i++)
		if (v->members[i].incarnation == incarnation)
			return true;
	return false;
}

/* Drops the grants of requesters that are no longer members, and those whose
 * completion was not reported in time. */
static void sweep(struct home *h, int64_t now_us)
{
	const struct member_view *v = membership_view(h->settings.membership);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, h->grants); i; i = apr_hash_next(i)) {
		struct grant *g = apr_hash_this_val(i);
		struct home_worker *w;
		bool gone = !g->reply_sink && !is_live(v, g->key[0]);

		if (g->expires_us > now_us && !gone)
			continue;
		counter_add(h->expired, 1);
		w = g->state == GRANT_ISSUED ? worker_of(g) : NULL;
		if (w) {
			struct latency_baseline base =
				home_cell_baseline(g->cell);

			worker_evidence_record_completion(
				&w->evidence, &base, g->granted_us,
				EVENT_NO_EVIDENCE, 0, now_us);
			w->suspicion_us = 0;
		}
		if (g->state == GRANT_QUEUED)
			rank_queue_remove(&g->cell->queue, &g->item);
		free_grant(h, g);
	}
	member_view_release(v);
}

static void fill_info(const struct home_cell *c, struct home_info *i)
{
	i->id = c->id;
	snprintf(i->service, sizeof(i->service), "%s",
		 c->conf_service ? c->conf_service->name : "-");
	i->queued_requests = rank_queue_depth(&c->queue);
	i->in_flight_requests = 0;
	for (uint32_t w = 0; w < c->worker_count; w++)
		i->in_flight_requests += c->workers[w].evidence.in_flight_count;
}

static void fill_notices(struct home *h, const struct home_cell *c)
{
	for (uint32_t i = 0; i < c->worker_count; i++) {
		const struct home_worker *w = &c->workers[i];
		int64_t left_us = w->paused_until_us - h->duty.now_us;
		bool leaving = h->duty.now_us < w->leaving_until_us;
		struct home_notice_info *n = &h->notices[h->notice_count];

		if (!w->conf || (!leaving && left_us <= 0) ||
		    h->notice_count == HOME_INFO_MAX)
			continue;
		snprintf(n->service, sizeof(n->service), "%s",
			 c->conf_service ? c->conf_service->name : "-");
		snprintf(n->worker, sizeof(n->worker), "%s", w->conf->name);
		n->leaving = leaving;
		n->pause_left_ms =
			left_us > 0 ? (uint32_t)(left_us / US_PER_MS) : 0;
		h->notice_count++;
	}
}

static void publish_info(struct home *h)
{
	uint32_t n = 0;
	apr_hash_index_t *i;

	pthread_mutex_lock(&h->info_lock);
	h->notice_count = 0;
	for (i = apr_hash_first(NULL, h->cells); i; i = apr_hash_next(i))
		fill_notices(h, apr_hash_this_val(i));
	for (i = apr_hash_first(NULL, h->cells); i && n < HOME_INFO_MAX;
	     i = apr_hash_next(i))
		fill_info(apr_hash_this_val(i), &h->info[n++]);
	h->info_count = n;
	pthread_mutex_unlock(&h->info_lock);
}

uint32_t home_info(struct home *h, struct home_info out[HOME_INFO_MAX])
{
	uint32_t n;

	pthread_mutex_lock(&h->info_lock);
	n = h->info_count;
	memcpy(out, h->info, n * sizeof(out[0]));
	pthread_mutex_unlock(&h->info_lock);
	return n;
}

uint32_t home_notice_info(struct home *h,
			  struct home_notice_info out[HOME_INFO_MAX])
{
	uint32_t n;

	pthread_mutex_lock(&h->info_lock);
	n = h->notice_count;
	memcpy(out, h->notices, n * sizeof(out[0]));
	pthread_mutex_unlock(&h->info_lock);
	return n;
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct home *h = az_container_of(d, struct home, duty);
	apr_hash_index_t *i;

	h->timer_us = 0;
	if (now_us >= h->next_sweep_us) {
		h->next_sweep_us = now_us + SWEEP_INTERVAL_US;
		sweep(h, now_us);
		publish_info(h);
	}
	for (i = apr_hash_first(NULL, h->cells); i; i = apr_hash_next(i)) {
		struct home_cell *c = apr_hash_this_val(i);

		if (!rank_queue_depth(&c->queue))
			continue;
		home_cell_get(h, c->service, c->region);
		dispatch(h, c);
		refuse_unservable(h, c);
	}
	if (apr_hash_count(h->grants))
		home_arm_timer(h, h->next_sweep_us);
}

static void on_stop(struct duty *d)
{
	struct home *h = az_container_of(d, struct home, duty);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, h->grants); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	for (i = apr_hash_first(NULL, h->cells); i; i = apr_hash_next(i))
		home_cell_free(apr_hash_this_val(i));
	if (h->socket.sock)
		apr_socket_close(h->socket.sock);
}

static const struct duty_ops duty_ops = { "home", on_timer, on_stop };

void home_set_keys(struct home *h, const struct fleet_keys *keys)
{
	duty_send_copy(&h->duty, &h->keys, keys, sizeof(*keys));
}

struct home *home_create(const struct home_settings *s,
			 struct timer_service *timers)
{
	struct home *h = az_alloc(sizeof(*h));

	h->settings = *s;
	if (duty_init(&h->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	pthread_mutex_init(&h->info_lock, NULL);
	h->cells = apr_hash_make(h->duty.pool);
	h->grants = apr_hash_make(h->duty.pool);
	/* In the metrics grant requests are called asks. */
	h->grant_requests = counter_get("home_asks");
	h->granted = counter_get("home_grants");
	h->queued = counter_get("home_queued");
	h->refused = counter_get("home_refused");
	h->expired = counter_get("home_grants_expired");
	h->socket.ops = &socket_ops;
	if (s->port &&
	    net_udp(s->ip, s->port, h->duty.pool, &h->socket.sock) != AZ_OK)
		return NULL;
	return h;
}

enum az_status home_start(struct home *h)
{
	if (h->socket.sock)
		duty_poll(&h->duty, &h->socket, APR_POLLIN);
	return duty_start(&h->duty);
}

void home_stop(struct home *h)
{
	duty_stop(&h->duty);
}

void home_destroy(struct home *h)
{
	duty_destroy(&h->duty);
	free(h);
}
