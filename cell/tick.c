#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>

#include "cell/cell.h"
#include "upstream/upstream.h"

#define PROBE_TIMEOUT_MS 1000
#define IDLE_CELL_US (300 * US_PER_S)

/* ---- probes and reports ---- */

static void probe(struct cell_home *h, struct homed_cell *cell, uint8_t w,
		  bool fresh)
{
	const struct conf_service *s = cell->conf_cell->service;
	struct cell_call *c = az_alloc(sizeof(*c));

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
	cell_send(h, c, w, fresh);
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
			cell_ask_another(h, cell, w);
	}
}

/* A worker that others reach is healthy: the cell moves to another home. */
uint32_t cell_add_reports(const struct cell_home *h,
			  const struct homed_cell *cell, struct report *list,
			  uint32_t n)
{
	if (n < MEMBER_REPORTS_MAX && cell_is_cut(cell))
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

void cell_tick(struct cell_home *h, struct homed_cell *cell)
{
	int64_t now_us = h->duty.now_us;

	homed_cell_refresh(h, cell);
	cell->health->ops->tick(cell->health, now_us);
	confirm_unreachable(h, cell);
	drop_silent(h, cell);
	send_probes(h, cell);
	cell_dispatch(h, cell);
}

bool cell_is_unused(const struct homed_cell *cell, int64_t now_us)
{
	for (uint8_t w = 0; w < CELL_WORKERS_MAX; w++)
		if (cell->busy[w])
			return false;
	/* A cell that is cut off is kept, as its report keeps it away. */
	return !rank_queue_depth(&cell->queue) && !cell_is_cut(cell) &&
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

void cell_publish_info(struct cell_home *h)
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
