#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>

#include "cell/cell.h"

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
	struct homed_cell *cell = az_alloc(sizeof(*cell));
	struct queue_settings none = { { 0 }, { 0 } };

	cell->id = cc->id;
	cell->conf = conf;
	cell->conf_cell = cc;
	cell->health = new_health(cc, h->duty.now_us);
	rank_queue_init(&cell->queue, &none);
	cell_settings_apply(cell, cc->service);
	apr_hash_set(h->cells, &cell->id, sizeof(cell->id), cell);
	return cell;
}

struct homed_cell *homed_cell_get(struct cell_home *h, uint64_t id)
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

void homed_cell_free(struct homed_cell *cell)
{
	cell->health->ops->destroy(cell->health);
	conf_release(cell->conf);
	free(cell);
}

void homed_cell_refresh(struct cell_home *h, struct homed_cell *cell)
{
	struct conf *conf = conf_current_get(h->settings.conf);
	const struct conf_cell *cc = conf_find_cell(conf, cell->id);

	if (cc && conf != cell->conf)
		cell_update(h, cell, conf, cc);
	else
		conf_release(conf);
}
