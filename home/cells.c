/**
 * @file
 * State of a cell: its workers by the current configuration and its latency
 * baseline.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "home/home.h"

/* Baseline latency of a cell that has had no answers yet. */
#define LATENCY_START_US (500 * US_PER_MS)
/* Least baseline latency: below it, the variation that small VMs cause hides
 * differences between workers. */
#define LATENCY_MIN_US (20 * US_PER_MS)
/* The deviation is at least 1/5 of the latency. */
#define DEVIATION_MIN_DIVISOR 5
/* Weight of a new sample in the smoothed latency of the cell. */
#define LATENCY_WEIGHT 0.05

uint64_t home_cell_id(uint64_t service, uint32_t region)
{
	struct {
		uint64_t service;
		uint64_t region;
	} key = { service, region };

	return hash_bytes(&key, sizeof(key), 0);
}

struct latency_baseline home_cell_baseline(const struct home_cell *c)
{
	struct latency_baseline base = { LATENCY_START_US,
					 LATENCY_START_US / 2 };

	if (c->latency_us) {
		base.latency_us = (int64_t)c->latency_us;
		base.deviation_us = (int64_t)c->deviation_us;
	}
	if (base.latency_us < LATENCY_MIN_US)
		base.latency_us = LATENCY_MIN_US;
	if (base.deviation_us < base.latency_us / DEVIATION_MIN_DIVISOR)
		base.deviation_us = base.latency_us / DEVIATION_MIN_DIVISOR;
	return base;
}

void home_cell_record_latency(struct home_cell *c, int64_t latency_us)
{
	double difference_us = (double)latency_us - c->latency_us;

	if (!c->latency_us) {
		c->latency_us = (double)latency_us;
		c->deviation_us = (double)latency_us / 2;
		return;
	}
	c->latency_us += LATENCY_WEIGHT * difference_us;
	c->deviation_us +=
		LATENCY_WEIGHT * (fabs(difference_us) - c->deviation_us);
}

static struct home_worker *find_worker(struct home_cell *c, uint64_t id)
{
	for (uint32_t i = 0; i < c->worker_count; i++)
		if (c->workers[i].id == id)
			return &c->workers[i];
	return NULL;
}

/* Returns an entry for a new worker, or NULL if all are in use. An entry is
 * free once its worker is no longer configured and has no requests in flight.
 */
static struct home_worker *free_worker_entry(struct home_cell *c)
{
	for (uint32_t i = 0; i < c->worker_count; i++) {
		struct home_worker *w = &c->workers[i];

		if (!w->conf && !w->evidence.in_flight_count)
			return w;
	}
	return c->worker_count < HOME_WORKERS_MAX ?
		       &c->workers[c->worker_count++] :
		       NULL;
}

static void place_worker(struct home_cell *c, const struct conf_worker *cw,
			 int64_t now_us)
{
	struct home_worker *w = find_worker(c, cw->id);

	if (!w) {
		w = free_worker_entry(c);
		if (!w) {
			log_write(
				LOG_ERROR, "home",
				"worker not used, as its cell has too many workers "
				"worker=%s",
				cw->name);
			return;
		}
		memset(w, 0, sizeof(*w));
		w->id = cw->id;
		w->evidence.cold_until_us = now_us + cw->cold_ms * US_PER_MS;
	}
	w->conf = cw;
}

static void set_queue_limits(struct home_cell *c, const struct conf_service *s)
{
	for (uint32_t r = 0; r < RANK_COUNT; r++) {
		c->queue.settings.limit[r] = s->ranks[r].queue_limit;
		c->queue.settings.share_percent[r] = s->ranks[r].share_percent;
	}
}

/* Takes ownership of the reference `conf`. */
static void apply_conf(struct home_cell *c, struct conf *conf, int64_t now_us)
{
	const struct conf_service *s = conf_find_service_id(conf, c->service);

	for (uint32_t i = 0; i < c->worker_count; i++)
		c->workers[i].conf = NULL;
	for (uint32_t i = 0; s && i < s->worker_count; i++)
		if (s->workers[i].region == c->region)
			place_worker(c, &s->workers[i], now_us);
	if (s)
		set_queue_limits(c, s);
	c->conf_service = s;
	conf_release(c->conf);
	c->conf = conf;
}

struct home_cell *home_cell_get(struct home *h, uint64_t service,
				uint32_t region)
{
	uint64_t id = home_cell_id(service, region);
	struct home_cell *c = apr_hash_get(h->cells, &id, sizeof(id));
	struct conf *conf = conf_current_get(h->settings.conf);
	struct queue_settings none = { { 0 }, { 0 } };

	if (!c) {
		c = az_alloc(sizeof(*c));
		c->id = id;
		c->service = service;
		c->region = region;
		rank_queue_init(&c->queue, &none);
		retry_budget_init(&c->budget, h->settings.retry_slack);
		apr_hash_set(h->cells, &c->id, sizeof(c->id), c);
	}
	c->last_used_us = h->duty.now_us;
	if (conf == c->conf)
		conf_release(conf);
	else
		apply_conf(c, conf, h->duty.now_us);
	return c;
}

void home_cell_free(struct home_cell *c)
{
	conf_release(c->conf);
	free(c);
}

static bool is_excluded(const struct home_msg *grant_request, uint64_t worker)
{
	for (uint32_t i = 0; i < grant_request->excluded_count; i++)
		if (grant_request->excluded[i] == worker)
			return true;
	return false;
}

/* Returns the worker's suspicion. It is computed once for each turn of the
 * duty's loop, as the choice for each queued request needs it. */
static double cached_suspicion(struct home_worker *w,
			       const struct latency_baseline *base,
			       int64_t now_us)
{
	if (w->suspicion_us != now_us) {
		w->suspicion =
			worker_evidence_suspicion(&w->evidence, base, now_us);
		w->suspicion_us = now_us;
	}
	return w->suspicion;
}

bool home_cell_is_elected(const struct home *h, const struct home_cell *c)
{
	const struct member_view *v = membership_view(h->settings.membership);
	const struct member *m = member_choose_home(v, c->id, 0, c->region);
	bool elected = !m || m->incarnation == h->settings.incarnation;

	member_view_release(v);
	return elected;
}

static bool has_limits(const struct home_cell *c)
{
	for (uint32_t i = 0; i < c->worker_count; i++)
		if (c->workers[i].limit.mrps)
			return true;
	return false;
}

uint32_t home_cell_candidates(struct home *h, struct home_cell *c,
			      const struct home_msg *grant_request,
			      struct candidate *out)
{
	struct latency_baseline base = home_cell_baseline(c);
	int64_t now_us = h->duty.now_us;
	/* Only the home that the members agree on grants workers with a limit:
	 * each daemon's own share of it would be too small to be of use. */
	bool elected = !has_limits(c) || home_cell_is_elected(h, c);

	for (uint32_t i = 0; i < c->worker_count; i++) {
		struct home_worker *w = &c->workers[i];

		out[i].evidence = &w->evidence;
		out[i].suspicion = cached_suspicion(w, &base, now_us);
		out[i].slots = w->conf ? w->conf->slots : 1;
		out[i].unavailable = !w->conf ||
				     w->conf->admin != WORKER_IN_SERVICE ||
				     now_us < w->leaving_until_us ||
				     (w->limit.mrps && !elected) ||
				     is_excluded(grant_request, w->id);
		out[i].limit_mrps = worker_limit_rate_mrps(&w->limit, now_us);
		out[i].at_limit = !worker_limit_allows(&w->limit, now_us);
		out[i].paused_until_us = w->paused_until_us;
		out[i].same_dc = w->conf && w->conf->dc == grant_request->dc;
	}
	return c->worker_count;
}
