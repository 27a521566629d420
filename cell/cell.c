#include <stdlib.h>
#include <apr_hash.h>

#include "cell/cell.h"

/* Larger than all calls that the daemon admits, so that results always fit. */
#define RING_SLOTS 32768
#define TICK_US (100 * US_PER_MS)

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

void cell_call_end(struct cell_home *h, struct cell_call *c, struct answer *a)
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

void cell_call_refuse(struct cell_home *h, struct cell_call *c,
		      enum error_kind k)
{
	cell_call_end(h, c, answer_new(k));
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

		if (cell_is_unused(cell, now_us)) {
			apr_hash_set(h->cells, &cell->id, sizeof(cell->id),
				     NULL);
			homed_cell_free(cell);
			continue;
		}
		cell_tick(h, cell);
		n = cell_add_reports(h, cell, list, n);
	}
	cell_publish_info(h);
	if (h->settings.membership)
		membership_set_reports(h->settings.membership, list, n);
}

static void empty_queue(struct cell_home *h, struct homed_cell *cell)
{
	struct queue_item *expired = NULL;
	struct queue_item *i;

	while ((i = rank_queue_pop(&cell->queue, INT64_MAX, NULL, NULL,
				   &expired)))
		cell_call_refuse(h, az_container_of(i, struct cell_call, item),
				 ERR_STOPPING);
	cell_refuse_expired(h, expired);
}

static void on_stop(struct duty *d)
{
	struct cell_home *h = az_container_of(d, struct cell_home, duty);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, h->at_worker); i; i = apr_hash_next(i))
		cell_call_refuse(h, apr_hash_this_val(i), ERR_DEADLINE_UNKNOWN);
	for (i = apr_hash_first(NULL, h->cells); i; i = apr_hash_next(i)) {
		struct homed_cell *cell = apr_hash_this_val(i);
		empty_queue(h, cell);
		homed_cell_free(cell);
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
	h->sink.ops = &cell_sink_ops;
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
