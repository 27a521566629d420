#include <stdlib.h>

#include "health/health.h"

#define CONSECUTIVE_MAX 5
#define OUT_US (30 * US_PER_S)
#define THRESHOLD_FACTOR 3
#define THRESHOLD_SAMPLES 10

/** Kept for measurements: common simple ways of judging a worker. */
struct baseline_worker {
	bool out;
	int64_t until_us;
	uint32_t bad; /**< in a row */
	double mean_us;
	uint32_t samples;
};

struct baseline {
	struct health_pool pool;
	struct baseline_worker workers[HEALTH_WORKERS_MAX];
};

static struct baseline *baseline_of(struct health_pool *p)
{
	return az_container_of(p, struct baseline, pool);
}

static void ignore_dispatch(struct health_pool *p, uint8_t worker,
			    int64_t now_us)
{
}

static void ignore_record(struct health_pool *p, uint8_t worker,
			  const struct health_sample *s, int64_t now_us)
{
}

static void count_bad(struct baseline_worker *w, bool bad, int64_t now_us)
{
	w->bad = bad ? w->bad + 1 : 0;
	if (w->bad < CONSECUTIVE_MAX)
		return;
	w->bad = 0;
	w->out = true;
	w->until_us = now_us + OUT_US;
}

static bool is_bad(enum health_event e)
{
	return e != HEALTH_ANSWERED && e != HEALTH_CANCELLED;
}

/** Out after five failures in a row, shed load included. */
static void consecutive_record(struct health_pool *p, uint8_t worker,
			       const struct health_sample *s, int64_t now_us)
{
	count_bad(&baseline_of(p)->workers[worker], is_bad(s->event), now_us);
}

/** Out when its mean latency exceeds three times that of the whole pool. */
static void threshold_record(struct health_pool *p, uint8_t worker,
			     const struct health_sample *s, int64_t now_us)
{
	struct baseline *b = baseline_of(p);
	struct baseline_worker *w = &b->workers[worker];
	double sum_us = 0;
	uint32_t n = 0;

	if (s->event == HEALTH_CANCELLED)
		return;
	w->samples++;
	w->mean_us += ((double)s->latency_us - w->mean_us) /
		      (w->samples < THRESHOLD_SAMPLES ? w->samples :
							THRESHOLD_SAMPLES);
	for (uint32_t i = 0; i < p->worker_count; i++)
		if (!b->workers[i].out && &b->workers[i] != w &&
		    b->workers[i].samples >= THRESHOLD_SAMPLES) {
			sum_us += b->workers[i].mean_us;
			n++;
		}
	if (!n || w->samples < THRESHOLD_SAMPLES ||
	    w->mean_us < THRESHOLD_FACTOR * sum_us / n)
		return;
	w->samples = 0;
	w->out = true;
	w->until_us = now_us + OUT_US;
}

static void baseline_tick(struct health_pool *p, int64_t now_us)
{
	struct baseline *b = baseline_of(p);

	for (uint32_t i = 0; i < p->worker_count; i++)
		if (b->workers[i].out && now_us >= b->workers[i].until_us)
			b->workers[i].out = false;
}

static struct health_verdict baseline_verdict(const struct health_pool *p,
					      uint8_t worker)
{
	const struct baseline *b =
		az_container_of(p, const struct baseline, pool);
	bool out = b->workers[worker].out;

	return (struct health_verdict){ out ? HEALTH_UNHEALTHY : HEALTH_OK,
					out ? 128 : 0, 100, false, false };
}

static int32_t no_probe(struct health_pool *p, int64_t now_us, bool *fresh)
{
	return -1;
}

static int64_t never_silent(struct health_pool *p, uint8_t worker)
{
	return 0;
}

static void baseline_reset(struct health_pool *p, uint8_t worker,
			   int64_t now_us)
{
	baseline_of(p)->workers[worker] = (struct baseline_worker){ 0 };
}

static void baseline_destroy(struct health_pool *p)
{
	free(baseline_of(p));
}

static const struct health_ops consecutive_ops = {
	"consecutive-errors", ignore_dispatch,	consecutive_record,
	baseline_tick,	      baseline_verdict, no_probe,
	never_silent,	      baseline_reset,	baseline_destroy,
};

static const struct health_ops threshold_ops = {
	"latency-threshold", ignore_dispatch,  threshold_record,
	baseline_tick,	     baseline_verdict, no_probe,
	never_silent,	     baseline_reset,   baseline_destroy,
};

static const struct health_ops never_ops = {
	"never-eject", ignore_dispatch,	 ignore_record,
	baseline_tick, baseline_verdict, no_probe,
	never_silent,  baseline_reset,	 baseline_destroy,
};

static struct health_pool *create(const struct health_ops *ops,
				  const struct health_settings *s)
{
	struct baseline *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->pool.ops = ops;
	b->pool.worker_count = s->worker_count;
	return &b->pool;
}

struct health_pool *health_create_consecutive(const struct health_settings *s,
					      int64_t now_us)
{
	return create(&consecutive_ops, s);
}

struct health_pool *health_create_threshold(const struct health_settings *s,
					    int64_t now_us)
{
	return create(&threshold_ops, s);
}

struct health_pool *health_create_never(const struct health_settings *s,
					int64_t now_us)
{
	return create(&never_ops, s);
}
