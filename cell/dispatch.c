#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>

#include "cell/cell.h"
#include "upstream/upstream.h"

#define SHED_STATUS 503
/* Costs of a choice; a busy worker costs 0 to 100. A worker on trial comes
 * after every healthy one for work that must not repeat. */
#define COST_SEVERITY 1000U
#define COST_TRIAL 500U

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

bool cell_any_eligible(const struct homed_cell *c, uint16_t excluded)
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

void cell_send(struct cell_home *h, struct cell_call *c, uint8_t w, bool fresh)
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
	cell_call_refuse(h, c, ERR_OVERLOADED);
}

void cell_refuse_expired(struct cell_home *h, struct queue_item *i)
{
	while (i) {
		struct queue_item *next = i->next;

		cell_call_refuse(h, az_container_of(i, struct cell_call, item),
				 ERR_DEADLINE_NOT_RUN);
		i = next;
	}
}

void cell_dispatch(struct cell_home *h, struct homed_cell *cell)
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

		cell_send(h, c, (uint8_t)w, false);
	}
	cell_refuse_expired(h, expired);
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
	if (!cell_any_eligible(c->cell, c->forward->excluded))
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
	cell_record_reach(h, cell, c->worker, r);
	if (!try_another_worker(h, c, r->fault))
		cell_call_end(h, c, answer_of_result(c, r));
	result_free(rm);
	cell_dispatch(h, cell);
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
	struct result_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &result_ops;
	m->result = r;
	duty_send(&h->duty, &m->msg);
}

const struct upstream_sink_ops cell_sink_ops = { on_result };
