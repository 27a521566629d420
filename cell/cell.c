#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>

#include "cell/cell.h"
#include "peer/peer.h"
#include "upstream/upstream.h"

/* Larger than all calls that the daemon admits, so that results always fit. */
#define RING_SLOTS 32768
#define TICK_US (100 * US_PER_MS)
#define IDLE_CELL_US (300 * US_PER_S)
#define PROBE_TIMEOUT_MS 1000
#define SHED_STATUS 503
/* Costs of a choice; a busy worker costs 0 to 100. A worker on trial comes
 * after every healthy one for work that must not repeat. */
#define COST_SEVERITY 1000U
#define COST_TRIAL 500U

struct waiter {
	struct waiter *next;
	struct reply_to *reply;
};

struct homed_cell;

/** One admitted call, queued or at a worker. */
struct cell_call {
	struct queue_item item;
	struct homed_cell *cell;
	struct forward *forward;
	struct call *entry; /**< NULL if the call needs no sealing */
	struct waiter *waiters;
	uint64_t token; /**< while at a worker, else 0 */
	uint8_t worker;
	bool cancelled;
	bool probe;
};

struct homed_cell {
	uint64_t id;
	struct conf *conf; /**< keeps `conf_cell` */
	const struct conf_cell *conf_cell;
	struct rank_queue queue;
	struct health_pool *health;
	uint8_t busy[CELL_WORKERS_MAX];
	bool draining[CELL_WORKERS_MAX]; /**< the worker's own signal */
	struct reach reach[CELL_WORKERS_MAX];
	int64_t used_us;
};

struct cell_home {
	struct duty duty;
	struct upstream_sink sink;
	struct cell_settings settings;
	apr_hash_t *cells;
	apr_hash_t *at_worker; /**< token to cell_call */
	struct call_table *calls;
	uint64_t next_token;
	uint32_t in_flight; /**< atomic */
	pthread_mutex_t info_lock;
	struct cell_info info[CELL_INFO_MAX];
	uint32_t info_count;
	struct counter *ran;
	struct counter *refused;
	struct counter *sealed;
};

void forward_free(struct forward *f)
{
	if (!f)
		return;
	request_free(f->request);
	free(f);
}

uint32_t cell_home_in_flight(struct cell_home *h)
{
	return __atomic_load_n(&h->in_flight, __ATOMIC_RELAXED);
}

/* ---- end of a call ---- */

static void answer_all(struct waiter *w, struct answer *a)
{
	while (w) {
		struct waiter *next = w->next;

		w->reply->ops->answer(w->reply, answer_copy(a));
		free(w);
		w = next;
	}
}

static void call_end(struct cell_home *h, struct cell_call *c, struct answer *a)
{
	const struct request *q = c->forward->request;

	span_end(&q->span, "home", error_info(a->kind)->name);
	answer_all(c->waiters, a);
	counter_add(a->kind == ERR_NONE ? h->ran : h->refused, 1);
	if (c->entry)
		call_table_end(h->calls, c->entry, a, h->duty.now_us);
	else
		answer_free(a);
	forward_free(c->forward);
	free(c);
	__atomic_sub_fetch(&h->in_flight, 1, __ATOMIC_RELAXED);
}

static void call_refuse(struct cell_home *h, struct cell_call *c,
			enum error_kind k)
{
	call_end(h, c, answer_new(k));
}

/* ---- choice of a worker ---- */

static uint32_t usable_slots(const struct homed_cell *c, uint8_t w)
{
	struct health_verdict v = c->health->ops->verdict(c->health, w);
	uint32_t slots =
		c->conf_cell->workers[w]->slots * v.weight_percent / 100U;

	return slots ? slots : 1;
}

static bool is_eligible(const struct homed_cell *c, uint8_t w,
			uint16_t excluded)
{
	return !(excluded & 1U << w) && !c->draining[w] &&
	       c->conf_cell->workers[w]->admin == WORKER_IN_SERVICE;
}

static bool has_free_slot(const struct homed_cell *c, uint8_t w)
{
	return c->busy[w] < usable_slots(c, w);
}

/* A healthy worker before an unhealthy one, then the least busy for its
 * slots. An unhealthy one that the entry did not exclude is still used: homes
 * never exclude by themselves, else together they could empty the pool. */
static int32_t choose_worker(const struct homed_cell *c,
			     const struct forward *f)
{
	int32_t best = -1;
	uint32_t best_cost = UINT32_MAX;

	for (uint8_t w = 0; w < c->conf_cell->worker_count; w++) {
		struct health_verdict v;
		uint32_t cost;

		if (!is_eligible(c, w, f->excluded) || !has_free_slot(c, w))
			continue;
		v = c->health->ops->verdict(c->health, w);
		cost = v.severity * COST_SEVERITY +
		       c->busy[w] * 100U / usable_slots(c, w);
		if (v.reads_only && !f->request->idempotent)
			cost += COST_TRIAL;
		if (cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	return best;
}

static bool any_eligible(const struct homed_cell *c, uint16_t excluded)
{
	for (uint8_t w = 0; w < c->conf_cell->worker_count; w++)
		if (is_eligible(c, w, excluded))
			return true;
	return false;
}

static bool fits_free_worker(const struct queue_item *i, void *arg)
{
	const struct cell_call *c =
		az_container_of(i, const struct cell_call, item);

	return choose_worker(arg, c->forward) >= 0;
}

/* ---- dispatch ---- */

static void send_to_worker(struct cell_home *h, struct cell_call *c, uint8_t w,
			   bool fresh)
{
	struct homed_cell *cell = c->cell;
	const struct conf_service *s = cell->conf_cell->service;
	const struct conf_worker *worker = cell->conf_cell->workers[w];
	struct upstream_request r = {
		.token = ++h->next_token,
		.ip = worker->ip,
		.port = worker->port,
		.connect_timeout_ms = s->connect_timeout_ms,
		.deadline_us = c->item.deadline_us,
		.idle_max = s->connections / s->worker_count + 1,
		.fresh = fresh,
		.request = c->forward->request,
		.sink = &h->sink,
	};

	c->token = r.token;
	c->worker = w;
	cell->busy[w]++;
	if (!c->probe)
		cell->health->ops->dispatch(cell->health, w, h->duty.now_us);
	apr_hash_set(h->at_worker, &c->token, sizeof(c->token), c);
	if (upstream_send(h->settings.upstream, &r) == AZ_OK)
		return;
	apr_hash_set(h->at_worker, &c->token, sizeof(c->token), NULL);
	cell->busy[w]--;
	call_refuse(h, c, ERR_OVERLOADED);
}

static void refuse_expired(struct cell_home *h, struct queue_item *i)
{
	while (i) {
		struct queue_item *next = i->next;

		call_refuse(h, az_container_of(i, struct cell_call, item),
			    ERR_DEADLINE_NOT_RUN);
		i = next;
	}
}

static void dispatch(struct cell_home *h, struct homed_cell *cell)
{
	/* The clock is read again, as a pause may lie behind this turn. */
	int64_t now_us = clock_now_us();
	struct queue_item *expired = NULL;
	struct queue_item *i;

	h->duty.now_us = now_us;
	while ((i = rank_queue_pop(&cell->queue, now_us, fits_free_worker, cell,
				   &expired))) {
		struct cell_call *c =
			az_container_of(i, struct cell_call, item);
		int32_t w = choose_worker(cell, c->forward);

		send_to_worker(h, c, (uint8_t)w, false);
	}
	refuse_expired(h, expired);
}

/* ---- results of workers ---- */

static enum error_kind kind_of_fault(enum upstream_fault f)
{
	switch (f) {
	case UPSTREAM_OK:
		return ERR_NONE;
	case UPSTREAM_CONNECT_REFUSED:
	case UPSTREAM_CONNECT_TIMEOUT:
	case UPSTREAM_CLOSED_UNSENT:
		return ERR_CONNECT_FAILED;
	case UPSTREAM_CANCELLED_UNSENT:
		return ERR_DEADLINE_NOT_RUN;
	case UPSTREAM_CLOSED:
	case UPSTREAM_SILENT:
		return ERR_ANSWER_LOST;
	case UPSTREAM_TRUNCATED:
		return ERR_ANSWER_TRUNCATED;
	case UPSTREAM_TOO_LARGE:
		return ERR_ANSWER_TOO_LARGE;
	case UPSTREAM_TIMEOUT:
	case UPSTREAM_CANCELLED:
		return ERR_DEADLINE_UNKNOWN;
	}
	return ERR_INTERNAL;
}

static enum health_event event_of_result(const struct upstream_result *r)
{
	switch (r->fault) {
	case UPSTREAM_OK:
		if (r->answer->http_status == SHED_STATUS)
			return HEALTH_SHED;
		return r->answer->http_status >= 500 ? HEALTH_SERVER_ERROR :
						       HEALTH_ANSWERED;
	case UPSTREAM_CONNECT_REFUSED:
		return HEALTH_CONNECT_REFUSED;
	case UPSTREAM_CONNECT_TIMEOUT:
		return HEALTH_CONNECT_TIMEOUT;
	case UPSTREAM_CLOSED_UNSENT:
	case UPSTREAM_CLOSED:
		return HEALTH_RESET;
	case UPSTREAM_TRUNCATED:
	case UPSTREAM_TOO_LARGE:
		return HEALTH_TRUNCATED;
	case UPSTREAM_TIMEOUT:
		return HEALTH_TIMEOUT;
	case UPSTREAM_SILENT:
	case UPSTREAM_CANCELLED:
	case UPSTREAM_CANCELLED_UNSENT:
		break;
	}
	return HEALTH_CANCELLED;
}

/* ---- path to a worker ---- */

#define REACH_TIMEOUT_US US_PER_S

struct reach_msg {
	struct msg msg;
	struct reply_to reply;
	struct cell_home *home;
	uint64_t cell;
	uint64_t worker_id;
	bool reachable;
};

static void reach_run(struct msg *m, struct duty *to)
{
	struct reach_msg *r = az_container_of(m, struct reach_msg, msg);
	struct cell_home *h = az_container_of(to, struct cell_home, duty);
	struct homed_cell *cell =
		apr_hash_get(h->cells, &r->cell, sizeof(r->cell));

	for (uint8_t w = 0; cell && w < cell->conf_cell->worker_count; w++) {
		const struct conf_worker *worker = cell->conf_cell->workers[w];

		if (worker->id != r->worker_id)
			continue;
		reach_answer(&cell->reach[w], r->reachable);
		log_write(LOG_WARN, "cell",
			  "no connection to %s: %s from another data centre",
			  worker->name,
			  r->reachable ? "reachable" : "unreachable");
	}
	free(r);
}

static void reach_drop(struct msg *m)
{
	free(az_container_of(m, struct reach_msg, msg));
}

static const struct msg_ops reach_ops = { "reach", reach_run, reach_drop };

static void on_reach_answer(struct reply_to *to, struct answer *a)
{
	struct reach_msg *r = az_container_of(to, struct reach_msg, reply);

	r->reachable = a->kind == ERR_NONE;
	answer_free(a);
	duty_send(&r->home->duty, &r->msg);
}

static const struct reply_ops reach_reply_ops = { on_reach_answer };

static const struct member *other_dc_member(const struct cell_home *h,
					    const struct member_view *v)
{
	const struct member *self = member_view_by_id(v, h->settings.member_id);
	uint32_t from = v->member_count ?
				(uint32_t)(random_u64() % v->member_count) :
				0;

	for (uint32_t i = 0; self && i < v->member_count; i++) {
		const struct member *m =
			&v->members[(from + i) % v->member_count];

		if (m->dc != self->dc && m->state == MEMBER_ALIVE)
			return m;
	}
	return NULL;
}

/* A worker that this home cannot reach may be cut off from it alone. With
 * nobody to ask the home believes itself. */
static void ask_another(struct cell_home *h, struct homed_cell *cell, uint8_t w)
{
	const struct conf_worker *worker = cell->conf_cell->workers[w];
	const struct member_view *v = membership_view(h->settings.membership);
	const struct member *m = other_dc_member(h, v);
	struct peer_target to;
	struct reach_msg *r;

	if (m) {
		r = calloc(1, sizeof(*r));
		if (!r)
			abort();
		r->msg.ops = &reach_ops;
		r->reply.ops = &reach_reply_ops;
		r->home = h;
		r->cell = cell->id;
		r->worker_id = worker->id;
		to = (struct peer_target){ m->ip, m->peer_port,
					   m->incarnation };
		peer_reach(h->settings.peer, &to, worker->ip, worker->port,
			   h->duty.now_us + REACH_TIMEOUT_US, &r->reply);
	} else {
		reach_answer(&cell->reach[w], false);
	}
	member_view_release(v);
}

static void record_reach(struct cell_home *h, struct homed_cell *cell,
			 uint8_t w, const struct upstream_result *r)
{
	if (r->fault == UPSTREAM_CONNECT_REFUSED ||
	    r->fault == UPSTREAM_CONNECT_TIMEOUT) {
		if (h->settings.peer &&
		    reach_connect_failed(&cell->reach[w], h->duty.now_us))
			ask_another(h, cell, w);
	} else if (r->fresh && r->connect_us) {
		reach_connected(&cell->reach[w]);
	}
}

static bool is_cut(const struct homed_cell *cell)
{
	for (uint8_t w = 0; w < cell->conf_cell->worker_count; w++)
		if (cell->reach[w].cut)
			return true;
	return false;
}

static void record_health(struct homed_cell *cell, uint8_t w,
			  const struct upstream_result *r, bool probe,
			  int64_t now_us)
{
	struct health_sample s = {
		.event = event_of_result(r),
		.latency_us = r->total_us,
		.fresh = r->fresh,
		.probe = probe,
	};

	cell->health->ops->record(cell->health, w, &s, now_us);
	if (r->fault == UPSTREAM_OK)
		cell->draining[w] =
			r->draining || (probe && s.event == HEALTH_SHED);
}

static struct answer *answer_of_result(struct cell_call *c,
				       struct upstream_result *r)
{
	const struct conf_service *s = c->cell->conf_cell->service;
	struct answer *a;

	if (r->fault != UPSTREAM_OK)
		return answer_new(kind_of_fault(r->fault));
	if (r->answer->http_status == SHED_STATUS && s->shed_is_not_run)
		return answer_new(ERR_WORKER_SHED);
	a = r->answer;
	r->answer = NULL;
	return a;
}

/* Another worker of the cell may take a call that certainly did not run. */
static bool try_another_worker(struct cell_home *h, struct cell_call *c,
			       enum upstream_fault f)
{
	if (!upstream_fault_is_not_run(f) || c->cancelled || c->probe)
		return false;
	c->forward->excluded |= 1U << c->worker;
	if (!any_eligible(c->cell, c->forward->excluded))
		return false;
	return rank_queue_push(&c->cell->queue, &c->item, h->duty.now_us) ==
	       ERR_NONE;
}

struct result_msg {
	struct msg msg;
	struct upstream_result *result;
};

static void result_free(struct result_msg *m)
{
	answer_free(m->result->answer);
	free(m->result);
	free(m);
}

static void result_run(struct msg *m, struct duty *to)
{
	struct result_msg *rm = az_container_of(m, struct result_msg, msg);
	struct cell_home *h = az_container_of(to, struct cell_home, duty);
	struct upstream_result *r = rm->result;
	struct cell_call *c =
		apr_hash_get(h->at_worker, &r->token, sizeof(r->token));
	struct homed_cell *cell;

	if (!c) {
		result_free(rm);
		return;
	}
	cell = c->cell;
	apr_hash_set(h->at_worker, &c->token, sizeof(c->token), NULL);
	c->token = 0;
	cell->busy[c->worker]--;
	record_health(cell, c->worker, r, c->probe, h->duty.now_us);
	record_reach(h, cell, c->worker, r);
	if (!try_another_worker(h, c, r->fault))
		call_end(h, c, answer_of_result(c, r));
	result_free(rm);
	dispatch(h, cell);
}

static void result_drop(struct msg *m)
{
	result_free(az_container_of(m, struct result_msg, msg));
}

static const struct msg_ops result_ops = { "upstream-result", result_run,
					   result_drop };

static void on_result(struct upstream_sink *k, struct upstream_result *r)
{
	struct cell_home *h = az_container_of(k, struct cell_home, sink);
	struct result_msg *m = calloc(1, sizeof(*m));

	if (!m)
		abort();
	m->msg.ops = &result_ops;
	m->result = r;
	duty_send(&h->duty, &m->msg);
}

static const struct upstream_sink_ops sink_ops = { on_result };

/* ---- cells ---- */

static void cell_settings_apply(struct homed_cell *cell,
				const struct conf_service *s)
{
	for (uint32_t r = 0; r < RANK_COUNT; r++) {
		cell->queue.settings.limit[r] = s->ranks[r].queue_limit;
		cell->queue.settings.share_percent[r] =
			s->ranks[r].share_percent;
	}
}

static bool same_workers(const struct conf_cell *a, const struct conf_cell *b)
{
	if (a->worker_count != b->worker_count)
		return false;
	for (uint8_t w = 0; w < a->worker_count; w++)
		if (a->workers[w]->id != b->workers[w]->id)
			return false;
	return true;
}

static struct health_pool *new_health(const struct conf_cell *c, int64_t now_us)
{
	struct health_settings s = {
		.worker_count = c->worker_count,
		.slots = c->workers[0]->slots,
		.cold_start_ms = c->service->cold_start_ms,
		.probe_interval_ms = c->service->probe_interval_ms,
	};

	return health_create(&s, now_us);
}

/* Takes `conf`. Calls at workers keep their place by the worker's bit, so a
 * changed list of workers waits until none is in flight. */
static void cell_update(struct cell_home *h, struct homed_cell *cell,
			struct conf *conf, const struct conf_cell *cc)
{
	bool same = same_workers(cell->conf_cell, cc);

	for (uint8_t w = 0; !same && w < CELL_WORKERS_MAX; w++)
		if (cell->busy[w]) {
			conf_release(conf);
			return;
		}
	if (!same) {
		cell->health->ops->destroy(cell->health);
		cell->health = new_health(cc, h->duty.now_us);
		memset(cell->draining, 0, sizeof(cell->draining));
		memset(cell->reach, 0, sizeof(cell->reach));
	}
	conf_release(cell->conf);
	cell->conf = conf;
	cell->conf_cell = cc;
	cell_settings_apply(cell, cc->service);
}

static struct homed_cell *cell_new(struct cell_home *h, struct conf *conf,
				   const struct conf_cell *cc)
{
	struct homed_cell *cell = calloc(1, sizeof(*cell));
	struct queue_settings none = { { 0 }, { 0 } };

	if (!cell)
		abort();
	cell->id = cc->id;
	cell->conf = conf;
	cell->conf_cell = cc;
	cell->health = new_health(cc, h->duty.now_us);
	rank_queue_init(&cell->queue, &none);
	cell_settings_apply(cell, cc->service);
	apr_hash_set(h->cells, &cell->id, sizeof(cell->id), cell);
	return cell;
}

static struct homed_cell *cell_get(struct cell_home *h, uint64_t id)
{
	struct homed_cell *cell = apr_hash_get(h->cells, &id, sizeof(id));
	struct conf *conf;
	const struct conf_cell *cc;

	if (!cell) {
		conf = conf_current_get(h->settings.conf);
		cc = conf_find_cell(conf, id);
		if (!cc) {
			conf_release(conf);
			return NULL;
		}
		cell = cell_new(h, conf, cc);
	}
	cell->used_us = h->duty.now_us;
	return cell;
}

static void cell_free(struct homed_cell *cell)
{
	cell->health->ops->destroy(cell->health);
	conf_release(cell->conf);
	free(cell);
}

/* ---- forwards ---- */

struct forward_msg {
	struct msg msg;
	struct forward *forward;
	struct reply_to *reply;
};

static void refuse(struct reply_to *reply, enum error_kind k)
{
	reply->ops->answer(reply, answer_new(k));
}

static void add_waiter(struct cell_call *c, struct reply_to *reply)
{
	struct waiter *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
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
	struct homed_cell *cell = cell_get(h, f->cell);
	struct cell_call *c = calloc(1, sizeof(*c));
	enum error_kind k = ERR_NONE;

	if (!c)
		abort();
	c->forward = f;
	c->cell = cell;
	c->entry = entry;
	if (entry)
		entry->running = c;
	add_waiter(c, reply);
	c->item.rank = f->request->rank;
	c->item.deadline_us = f->request->deadline_us;
	__atomic_add_fetch(&h->in_flight, 1, __ATOMIC_RELAXED);
	if (!cell || !any_eligible(cell, f->excluded))
		k = ERR_NO_WORKER;
	if (k == ERR_NONE)
		k = rank_queue_push(&cell->queue, &c->item, h->duty.now_us);
	if (k != ERR_NONE) {
		call_refuse(h, c, k);
		return;
	}
	dispatch(h, cell);
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
		refuse(fm->reply, k);
		forward_free(fm->forward);
	}
	free(fm);
}

static void forward_drop(struct msg *m)
{
	struct forward_msg *fm = az_container_of(m, struct forward_msg, msg);

	refuse(fm->reply, ERR_OVERLOADED);
	forward_free(fm->forward);
	free(fm);
}

static const struct msg_ops forward_ops = { "forward", forward_run,
					    forward_drop };

void cell_home_forward(struct cell_home *h, struct forward *f,
		       struct reply_to *reply)
{
	struct forward_msg *fm = calloc(1, sizeof(*fm));

	if (!fm)
		abort();
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
		refuse(q->reply, ERR_ANSWER_LOST);
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
		refuse(q->reply, ERR_SEALED);
		return;
	default:
		refuse(q->reply, ERR_ANSWER_LOST);
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
	refuse(q->reply, ERR_PEER_LOST);
	free(q);
}

static const struct msg_ops query_ops = { "query", query_run, query_drop };

void cell_home_query(struct cell_home *h, const struct call_id *id,
		     uint64_t home_incarnation, struct reply_to *reply)
{
	struct query_msg *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
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
		call_refuse(h, c, ERR_DEADLINE_NOT_RUN);
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
	struct query_msg *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->msg.ops = &cancel_ops;
	q->id = *id;
	duty_send(&h->duty, &q->msg);
}

/* ---- probes and reports ---- */

static void probe(struct cell_home *h, struct homed_cell *cell, uint8_t w,
		  bool fresh)
{
	const struct conf_service *s = cell->conf_cell->service;
	struct cell_call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->cell = cell;
	c->probe = true;
	c->forward = calloc(1, sizeof(*c->forward));
	if (!c->forward)
		abort();
	c->forward->cell = cell->id;
	c->forward->request = request_new("GET", s->health_path, s->name);
	c->forward->request->idempotent = true;
	c->item.deadline_us = h->duty.now_us + PROBE_TIMEOUT_MS * US_PER_MS;
	__atomic_add_fetch(&h->in_flight, 1, __ATOMIC_RELAXED);
	send_to_worker(h, c, w, fresh);
}

static bool is_unhealthy(const struct homed_cell *cell, uint8_t w,
			 const struct health_verdict *v)
{
	const struct reach *r = &cell->reach[w];

	return v->severity && !r->cut && (!v->unreachable || r->down);
}

/* Blame that rests on silence alone is confirmed before it is reported. */
static void confirm_unreachable(struct cell_home *h, struct homed_cell *cell)
{
	for (uint8_t w = 0; w < cell->conf_cell->worker_count; w++) {
		struct health_verdict v =
			cell->health->ops->verdict(cell->health, w);

		if (v.severity && v.unreachable && h->settings.peer &&
		    reach_connect_failed(&cell->reach[w], h->duty.now_us))
			ask_another(h, cell, w);
	}
}

/* A worker that others reach is healthy: the cell moves to another home. */
static uint32_t add_reports(const struct cell_home *h,
			    const struct homed_cell *cell, struct report *list,
			    uint32_t n)
{
	if (n < MEMBER_REPORTS_MAX && is_cut(cell))
		list[n++] = (struct report){
			member_cut_subject(cell->id, h->settings.incarnation),
			REPORT_HOME_CUT, 255
		};
	for (uint8_t w = 0; w < cell->conf_cell->worker_count; w++) {
		struct health_verdict v =
			cell->health->ops->verdict(cell->health, w);

		if (n < MEMBER_REPORTS_MAX && cell->draining[w])
			list[n++] = (struct report){
				cell->conf_cell->workers[w]->id,
				REPORT_WORKER_LEAVING, 255
			};
		else if (n < MEMBER_REPORTS_MAX && is_unhealthy(cell, w, &v))
			list[n++] = (struct report){
				cell->conf_cell->workers[w]->id,
				REPORT_WORKER_UNHEALTHY, v.severity
			};
	}
	if (n < MEMBER_REPORTS_MAX &&
	    rank_queue_depth(&cell->queue) > 4U * cell->conf_cell->worker_count)
		list[n++] = (struct report){ cell->id, REPORT_CELL_BUSY, 128 };
	return n;
}

static void refresh_conf(struct cell_home *h, struct homed_cell *cell)
{
	struct conf *conf = conf_current_get(h->settings.conf);
	const struct conf_cell *cc = conf_find_cell(conf, cell->id);

	if (cc && conf != cell->conf)
		cell_update(h, cell, conf, cc);
	else
		conf_release(conf);
}

static void drop_silent(struct cell_home *h, struct homed_cell *cell)
{
	for (uint8_t w = 0; w < cell->conf_cell->worker_count; w++) {
		const struct conf_worker *worker = cell->conf_cell->workers[w];
		int64_t older_than_us =
			cell->health->ops->take_silent(cell->health, w);

		if (older_than_us <= 0)
			continue;
		log_write(LOG_WARN, "cell", "connections to %s went silent",
			  worker->name);
		upstream_drop_silent(h->settings.upstream, worker->ip,
				     worker->port, older_than_us);
	}
}

static void send_probes(struct cell_home *h, struct homed_cell *cell)
{
	bool fresh = false;
	int32_t w;

	if (!cell->conf_cell->service->health_path[0])
		return;
	while ((w = cell->health->ops->next_probe(cell->health, h->duty.now_us,
						  &fresh)) >= 0)
		probe(h, cell, (uint8_t)w, fresh);
}

static void tick_cell(struct cell_home *h, struct homed_cell *cell)
{
	int64_t now_us = h->duty.now_us;

	refresh_conf(h, cell);
	cell->health->ops->tick(cell->health, now_us);
	confirm_unreachable(h, cell);
	drop_silent(h, cell);
	send_probes(h, cell);
	dispatch(h, cell);
}

static bool is_unused(const struct homed_cell *cell, int64_t now_us)
{
	for (uint8_t w = 0; w < CELL_WORKERS_MAX; w++)
		if (cell->busy[w])
			return false;
	/* A cell that is cut off is kept, as its report keeps it away. */
	return !rank_queue_depth(&cell->queue) && !is_cut(cell) &&
	       now_us - cell->used_us > IDLE_CELL_US;
}

static void note_info(struct cell_home *h, const struct homed_cell *cell,
		      uint32_t n)
{
	struct cell_info *i = &h->info[n];

	i->id = cell->id;
	strcpy(i->service, cell->conf_cell->service->name);
	i->queued = rank_queue_depth(&cell->queue);
	i->at_workers = 0;
	for (uint8_t w = 0; w < CELL_WORKERS_MAX; w++)
		i->at_workers += cell->busy[w];
}

static void publish_info(struct cell_home *h)
{
	apr_hash_index_t *i;
	uint32_t n = 0;

	pthread_mutex_lock(&h->info_lock);
	for (i = apr_hash_first(NULL, h->cells); i && n < CELL_INFO_MAX;
	     i = apr_hash_next(i))
		note_info(h, apr_hash_this_val(i), n++);
	h->info_count = n;
	pthread_mutex_unlock(&h->info_lock);
}

uint32_t cell_home_info(struct cell_home *h,
			struct cell_info out[CELL_INFO_MAX])
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
	struct cell_home *h = az_container_of(d, struct cell_home, duty);
	struct report list[MEMBER_REPORTS_MAX];
	uint32_t n = 0;
	apr_hash_index_t *i;

	duty_arm(d, now_us + TICK_US);
	for (i = apr_hash_first(NULL, h->cells); i; i = apr_hash_next(i)) {
		struct homed_cell *cell = apr_hash_this_val(i);

		if (is_unused(cell, now_us)) {
			apr_hash_set(h->cells, &cell->id, sizeof(cell->id),
				     NULL);
			cell_free(cell);
			continue;
		}
		tick_cell(h, cell);
		n = add_reports(h, cell, list, n);
	}
	publish_info(h);
	if (h->settings.membership)
		membership_set_reports(h->settings.membership, list, n);
}

static void empty_queue(struct cell_home *h, struct homed_cell *cell)
{
	struct queue_item *expired = NULL;
	struct queue_item *i;

	while ((i = rank_queue_pop(&cell->queue, INT64_MAX, NULL, NULL,
				   &expired)))
		call_refuse(h, az_container_of(i, struct cell_call, item),
			    ERR_STOPPING);
	refuse_expired(h, expired);
}

static void on_stop(struct duty *d)
{
	struct cell_home *h = az_container_of(d, struct cell_home, duty);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, h->at_worker); i; i = apr_hash_next(i))
		call_refuse(h, apr_hash_this_val(i), ERR_DEADLINE_UNKNOWN);
	for (i = apr_hash_first(NULL, h->cells); i; i = apr_hash_next(i)) {
		struct homed_cell *cell = apr_hash_this_val(i);
		empty_queue(h, cell);
		cell_free(cell);
	}
	call_table_destroy(h->calls);
}

static const struct duty_ops duty_ops = { "cell", on_timer, on_stop };

struct cell_home *cell_home_create(const struct cell_settings *s,
				   struct timer_service *timers,
				   apr_pool_t *pool)
{
	struct cell_home *h = apr_pcalloc(pool, sizeof(*h));

	if (duty_init(&h->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	pthread_mutex_init(&h->info_lock, NULL);
	h->sink.ops = &sink_ops;
	h->settings = *s;
	h->cells = apr_hash_make(h->duty.pool);
	h->at_worker = apr_hash_make(h->duty.pool);
	h->calls = call_table_create();
	h->ran = counter_get("cell_answered");
	h->refused = counter_get("cell_refused");
	h->sealed = counter_get("cell_sealed");
	return h;
}

enum az_status cell_home_start(struct cell_home *h)
{
	enum az_status s = duty_start(&h->duty);

	if (s == AZ_OK)
		duty_arm(&h->duty, clock_now_us() + TICK_US);
	return s;
}

void cell_home_stop(struct cell_home *h)
{
	duty_stop(&h->duty);
}
