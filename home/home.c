#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "home/home.h"

/* Larger than all requests that the daemon admits, so that ends always fit. */
#define RING_SLOTS 32768
/* While requests wait, the workers' state is looked at this often besides: a
 * worker leaves trouble by time alone. */
#define TICK_US (50 * US_PER_MS)
/* Grants whose end was never told are looked for this often. */
#define SWEEP_US US_PER_S
/* An end that is later than the request's deadline by more is not coming. */
#define GRANT_EXTRA_US (2 * US_PER_S)
/* A wait that is longer than this share of the time until the target is worth
 * a question to another region, whose bytes are the dearest. */
#define QUEUE_TARGET_PERCENT 40
/* The same for requests without a target. */
#define QUEUE_WAIT_US US_PER_S
/* Most requests take less than the usual time and so many deviations. */
#define EXPECTED_DEVIATIONS 3
/* A refused caller comes back in no less: sooner, it would find the same
 * queue. */
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 4000

static void tell(struct home *h, const struct grant *g, struct home_msg *m)
{
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	uint32_t n;

	m->asker_incarnation = g->key[0];
	m->sequence = g->key[1];
	if (g->asker) {
		g->asker->ops->deliver(g->asker, m);
		return;
	}
	n = home_encode(m, &h->keys, data);
	if (!n)
		return;
	/* A datagram that cannot be sent is like one that is lost: the asker
	 * asks again. */
	net_send_to(h->socket.sock, data, n, g->ip, g->port);
}

/* ---- grants ---- */

static void forget(struct home *h, struct grant *g)
{
	apr_hash_set(h->grants, g->key, sizeof(g->key), NULL);
	free(g);
}

static void tell_grant(struct home *h, const struct grant *g)
{
	struct latency_baseline u = home_cell_baseline(g->cell);
	struct home_msg m = {
		.kind = HOME_GRANT,
		.worker = g->worker,
		.typical_max_us =
			(uint32_t)(u.latency_us +
				   EXPECTED_DEVIATIONS * u.deviation_us),
	};

	tell(h, g, &m);
}

static uint32_t wait_ms(const struct home_cell *c, enum rank r)
{
	uint64_t ahead = 1;

	for (uint32_t i = 0; i <= (uint32_t)r; i++)
		ahead += c->queue.depth[i];
	return (uint32_t)(ahead * (uint64_t)c->queue.service_us / US_PER_MS);
}

static void tell_queued(struct home *h, const struct grant *g)
{
	struct home_msg m = {
		.kind = HOME_QUEUED,
		.wait_ms = wait_ms(g->cell, g->item.rank),
	};

	tell(h, g, &m);
}

/* Those that are refused come back when the queue before them will have been
 * served, spread over as long again. */
static uint32_t retry_ms(const struct home_cell *c, enum rank r)
{
	uint32_t ms = wait_ms(c, r);

	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	ms += (uint32_t)(random_u64() % ms);
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : ms;
}

static void refuse(struct home *h, struct grant *g, enum error_kind k)
{
	struct home_msg m = {
		.kind = HOME_REFUSE,
		.error = (uint8_t)k,
		.wait_ms = retry_ms(g->cell, g->item.rank),
	};

	counter_add(h->refused, 1);
	log_write(LOG_INFO, "home",
		  "ask refused cell=%016llx rank=%s error=%s queued=%u "
		  "retry_ms=%u left_ms=%u",
		  (unsigned long long)g->cell->id, rank_name(g->item.rank),
		  error_info(k)->name, rank_queue_depth(&g->cell->queue),
		  m.wait_ms, g->ask.left_ms);
	tell(h, g, &m);
	forget(h, g);
}

static void give(struct home *h, struct grant *g, uint32_t position)
{
	struct home_worker *w = &g->cell->workers[position];

	g->state = GRANT_GIVEN;
	g->position = position;
	g->worker = w->id;
	g->given_us = h->duty.now_us;
	evidence_record_send(&w->worker_evidence, g->given_us);
	w->trouble_us = 0;
	counter_add(h->granted, 1);
	tell_grant(h, g);
}

/* The worker of a given grant, unless its position has another one now. */
static struct home_worker *worker_of(const struct grant *g)
{
	struct home_worker *w = &g->cell->workers[g->position];

	return w->id == g->worker ? w : NULL;
}

/* ---- the queue ---- */

static int32_t choose(const struct home *h, const struct grant *g)
{
	struct candidate list[HOME_WORKERS_MAX];
	int64_t now_us = h->duty.now_us;
	uint32_t n = home_candidates(g->cell, &g->ask, list, now_us);
	struct latency_baseline u = home_cell_baseline(g->cell);
	struct demand d = {
		.rank = g->item.rank,
		.idempotent = g->ask.idempotent,
		.patient =
			now_us < g->patient_until_us &&
			choose_may_wait(rank_queue_depth(&g->cell->queue), n),
	};

	return choose_worker(list, n, &u, &d, g->key[1], now_us);
}

/** Keeps the choice for the item that fits. */
struct fit {
	struct home *home;
	int32_t position;
};

static bool fits(const struct queue_item *i, void *arg)
{
	struct fit *f = arg;

	f->position = choose(f->home, az_container_of(i, struct grant, item));
	return f->position >= 0;
}

static void dispatch(struct home *h, struct home_cell *c)
{
	struct fit f = { h, -1 };
	struct queue_item *expired = NULL;
	struct queue_item *i;

	while ((i = rank_queue_pop(&c->queue, h->duty.now_us, fits, &f,
				   &expired))) {
		struct grant *g = az_container_of(i, struct grant, item);

		give(h, g, (uint32_t)f.position);
	}
	while (expired) {
		struct queue_item *next = expired->next;

		refuse(h, az_container_of(expired, struct grant, item),
		       ERR_DEADLINE_NOT_RUN);
		expired = next;
	}
	if (rank_queue_depth(&c->queue))
		home_arm(h, h->duty.now_us + TICK_US);
}

/* How fast the queue moves follows from what the workers can do now. */
static bool estimate(struct home *h, struct home_cell *c,
		     const struct home_msg *ask)
{
	struct candidate list[HOME_WORKERS_MAX];
	uint32_t n = home_candidates(c, ask, list, h->duty.now_us);
	struct latency_baseline u = home_cell_baseline(c);
	uint32_t slots = choose_slots(list, n, &u, h->duty.now_us);
	bool any = false;

	for (uint32_t i = 0; i < n; i++)
		any |= !list[i].out;
	c->queue.service_us = u.latency_us / (slots ? slots : 1);
	return any;
}

/* What cannot be served any more is refused now and not at its deadline. Load
 * pattern: a burst beyond capacity, or workers that turn gray behind a queue.
 */
static void refuse_hopeless(struct home *h, struct home_cell *c)
{
	const struct home_msg anybody = { .kind = HOME_ASK };
	struct queue_item *i;

	estimate(h, c, &anybody);
	i = rank_queue_take_hopeless(&c->queue, h->duty.now_us);
	while (i) {
		struct queue_item *next = i->next;

		refuse(h, az_container_of(i, struct grant, item),
		       ERR_OVERLOADED);
		i = next;
	}
}

/* ---- asks ---- */

static bool take_retry(struct home *h, struct home_cell *c,
		       const struct home_msg *ask)
{
	uint8_t percent = c->conf_service ? c->conf_service->retry_percent : 0;

	return !ask->is_retry ||
	       retry_budget_take(&c->budget, percent, h->duty.now_us);
}

static void ask_again(struct home *h, struct grant *g)
{
	if (g->state == GRANT_GIVEN)
		tell_grant(h, g);
	else
		tell_queued(h, g);
}

static bool is_long_wait(const struct home_cell *c, const struct grant *g)
{
	int64_t max_us =
		g->ask.target_ms * US_PER_MS * QUEUE_TARGET_PERCENT / 100;

	if (!g->ask.target_ms)
		max_us = QUEUE_WAIT_US;
	return rank_queue_wait_us(&c->queue, g->item.rank) > max_us;
}

/* Another region may have a worker at once. An ask from another region, or for
 * a second copy, is only for a worker that is free. */
static bool is_for_others(struct home *h, const struct grant *g)
{
	if (g->ask.must_queue)
		return false;
	if (g->ask.no_queueing)
		return rank_queue_depth(&g->cell->queue) || choose(h, g) < 0;
	return is_long_wait(g->cell, g);
}

static void admit(struct home *h, struct grant *g)
{
	struct home_cell *c = g->cell;
	bool any = estimate(h, c, &g->ask);
	enum error_kind k;

	if (g->ask.first_ask)
		retry_budget_request(&c->budget, h->duty.now_us);
	if (!any) {
		refuse(h, g, ERR_NO_WORKER);
		return;
	}
	if (is_for_others(h, g)) {
		refuse(h, g, ERR_OVERLOADED);
		return;
	}
	if (!take_retry(h, c, &g->ask)) {
		refuse(h, g, ERR_OVER_LIMIT);
		return;
	}
	k = rank_queue_push(&c->queue, &g->item, h->duty.now_us);
	if (k != ERR_NONE) {
		refuse(h, g, k);
		return;
	}
	dispatch(h, c);
}

static void on_ask(struct home *h, const struct home_msg *m,
		   struct home_reply_sink *asker, uint32_t ip, uint16_t port)
{
	uint64_t key[2] = { m->asker_incarnation, m->sequence };
	struct grant *g = apr_hash_get(h->grants, key, sizeof(key));
	int64_t left_us = m->left_ms * US_PER_MS;
	int64_t usual_us;

	if (g) {
		ask_again(h, g);
		return;
	}
	counter_add(h->asked, 1);
	g = az_alloc(sizeof(*g));
	memcpy(g->key, key, sizeof(key));
	g->ask = *m;
	g->asker = asker;
	g->ip = ip;
	g->port = port;
	g->cell = home_cell_get(h, m->service, m->region);
	usual_us = home_cell_baseline(g->cell).latency_us;
	g->item.rank = (enum rank)m->rank;
	/* It must be sent early enough to end in time. */
	g->item.deadline_us =
		h->duty.now_us +
		(left_us > 2 * usual_us ? left_us - usual_us : left_us / 2);
	g->patient_until_us = h->duty.now_us + m->target_ms * US_PER_MS *
						       CHOOSE_WAIT_PERCENT /
						       100;
	g->until_us = h->duty.now_us + left_us + GRANT_EXTRA_US;
	apr_hash_set(h->grants, g->key, sizeof(g->key), g);
	home_arm(h, h->duty.now_us + SWEEP_US);
	admit(h, g);
	/* The grant may be gone; it is told that it waits if it does. */
	g = apr_hash_get(h->grants, key, sizeof(key));
	if (g && g->state == GRANT_QUEUED) {
		counter_add(h->queued, 1);
		tell_queued(h, g);
	}
}

static void end(struct home *h, struct grant *g, enum home_event e,
		int64_t latency_us)
{
	struct home_cell *c = g->cell;
	struct home_worker *w = worker_of(g);
	struct latency_baseline u = home_cell_baseline(c);
	double before;
	double after;

	if (w) {
		before = evidence_suspicion(&w->worker_evidence, &u,
					    h->duty.now_us);
		evidence_record_completion(&w->worker_evidence, &u, g->given_us,
					   e, latency_us, h->duty.now_us);
		w->trouble_us = 0;
		after = evidence_suspicion(&w->worker_evidence, &u,
					   h->duty.now_us);
		if (before < CHOOSE_SUSPICION_MAX &&
		    after >= CHOOSE_SUSPICION_MAX)
			log_write(LOG_WARN, "home",
				  "worker in trouble worker=%s cell=%016llx "
				  "event=%u trouble=%.2f before=%.2f out=%u",
				  w->conf ? w->conf->name : "-",
				  (unsigned long long)c->id, e, after, before,
				  w->worker_evidence.out_count);
	}
	if (e == EVENT_ANSWERED)
		home_cell_record_latency(c, latency_us);
	forget(h, g);
	dispatch(h, c);
}

static void on_end(struct home *h, const struct home_msg *m, uint32_t ip,
		   uint16_t port, bool remote)
{
	uint64_t key[2] = { m->asker_incarnation, m->sequence };
	struct grant *g = apr_hash_get(h->grants, key, sizeof(key));
	struct grant to = { .key = { key[0], key[1] }, .ip = ip, .port = port };
	struct home_msg ack = { .kind = HOME_COMPLETION_ACK };

	if (remote)
		tell(h, &to, &ack);
	if (g && g->state == GRANT_GIVEN)
		end(h, g, (enum home_event)m->event, m->latency_us);
}

static void on_cancel(struct home *h, const struct home_msg *m)
{
	uint64_t key[2] = { m->asker_incarnation, m->sequence };
	struct grant *g = apr_hash_get(h->grants, key, sizeof(key));

	if (!g)
		return;
	if (g->state == GRANT_GIVEN) {
		end(h, g, EVENT_NO_EVIDENCE, 0);
		return;
	}
	rank_queue_remove(&g->cell->queue, &g->item);
	forget(h, g);
}

static void on_msg(struct home *h, const struct home_msg *m,
		   struct home_reply_sink *asker, uint32_t ip, uint16_t port)
{
	switch (m->kind) {
	case HOME_ASK:
		on_ask(h, m, asker, ip, port);
		return;
	case HOME_COMPLETION:
		on_end(h, m, ip, port, !asker);
		return;
	case HOME_CANCEL:
		on_cancel(h, m);
		return;
	default:
		return;
	}
}

/* ---- asks of this daemon ---- */

struct told_msg {
	struct msg msg;
	struct home_msg home_msg;
	struct home_reply_sink *asker;
};

static void told_run(struct msg *m, struct duty *to)
{
	struct told_msg *t = az_container_of(m, struct told_msg, msg);

	on_msg(az_container_of(to, struct home, duty), &t->home_msg, t->asker,
	       0, 0);
	free(t);
}

static void told_drop(struct msg *m)
{
	free(az_container_of(m, struct told_msg, msg));
}

static const struct msg_ops told_ops = { "home-told", told_run, told_drop };

void home_submit_local(struct home *h, const struct home_msg *m,
		       struct home_reply_sink *asker)
{
	struct told_msg *t = az_alloc(sizeof(*t));

	t->msg.ops = &told_ops;
	t->home_msg = *m;
	t->asker = asker;
	/* A full ring loses the ask like a datagram: it is asked again. */
	duty_send(&h->duty, &t->msg);
}

/* ---- asks of others ---- */

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

/* ---- timers ---- */

void home_arm(struct home *h, int64_t at_us)
{
	if (h->armed_us && h->armed_us <= at_us)
		return;
	h->armed_us = at_us;
	duty_arm(&h->duty, at_us);
}

static bool is_live(const struct member_view *v, uint64_t incarnation)
{
	for (uint32_t i = 0; i < v->member_count; i++)
		if (v->members[i].incarnation == incarnation)
			return true;
	return false;
}

/* Grants of daemons that are gone, and those whose end did not come. */
static void sweep(struct home *h, int64_t now_us)
{
	const struct member_view *v = membership_view(h->settings.membership);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, h->grants); i; i = apr_hash_next(i)) {
		struct grant *g = apr_hash_this_val(i);
		struct home_worker *w;
		bool gone = !g->asker && !is_live(v, g->key[0]);

		if (g->until_us > now_us && !gone)
			continue;
		counter_add(h->expired, 1);
		w = g->state == GRANT_GIVEN ? worker_of(g) : NULL;
		if (w) {
			struct latency_baseline u = home_cell_baseline(g->cell);

			evidence_record_completion(
				&w->worker_evidence, &u, g->given_us,
				EVENT_NO_EVIDENCE, 0, now_us);
			w->trouble_us = 0;
		}
		if (g->state == GRANT_QUEUED)
			rank_queue_remove(&g->cell->queue, &g->item);
		forget(h, g);
	}
	member_view_release(v);
}

static void note_info(const struct home_cell *c, struct home_info *i)
{
	i->id = c->id;
	snprintf(i->service, sizeof(i->service), "%s",
		 c->conf_service ? c->conf_service->name : "-");
	i->queued_requests = rank_queue_depth(&c->queue);
	i->in_flight_requests = 0;
	for (uint32_t w = 0; w < c->worker_count; w++)
		i->in_flight_requests +=
			c->workers[w].worker_evidence.out_count;
}

static void publish_info(struct home *h)
{
	uint32_t n = 0;
	apr_hash_index_t *i;

	pthread_mutex_lock(&h->info_lock);
	for (i = apr_hash_first(NULL, h->cells); i && n < HOME_INFO_MAX;
	     i = apr_hash_next(i))
		note_info(apr_hash_this_val(i), &h->info[n++]);
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

static void on_timer(struct duty *d, int64_t now_us)
{
	struct home *h = az_container_of(d, struct home, duty);
	apr_hash_index_t *i;

	h->armed_us = 0;
	if (now_us >= h->sweep_us) {
		h->sweep_us = now_us + SWEEP_US;
		sweep(h, now_us);
		publish_info(h);
	}
	for (i = apr_hash_first(NULL, h->cells); i; i = apr_hash_next(i)) {
		struct home_cell *c = apr_hash_this_val(i);

		if (!rank_queue_depth(&c->queue))
			continue;
		home_cell_get(h, c->service, c->region);
		dispatch(h, c);
		refuse_hopeless(h, c);
	}
	if (apr_hash_count(h->grants))
		home_arm(h, h->sweep_us);
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
	h->asked = counter_get("home_asks");
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
