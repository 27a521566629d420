/**
 * @file
 * Common simple policies of outlier detection, for comparison in
 * health_measure. They send no probes: an ejection ends after EJECTION_US.
 */
#include <stdlib.h>

#include "health/health.h"

/** Failures in a row that eject a worker. */
#define EJECT_CONSECUTIVE_FAILURES 5
#define EJECTION_US (30 * US_PER_S)
#define LATENCY_THRESHOLD_FACTOR 3
/** Samples of a worker before its mean latency is compared; also the smoothing
 * window of that mean. */
#define LATENCY_SAMPLES_MIN 10

struct simple_worker {
	bool ejected;
	int64_t ejected_until_us;
	uint32_t failures_in_row;
	double mean_latency_us; /**< smoothed over LATENCY_SAMPLES_MIN samples
				 */
	uint32_t samples; /**< in mean_latency_us */
};

struct simple_pool {
	struct health_pool pool;
	struct simple_worker workers[HEALTH_WORKERS_MAX];
};

static struct simple_pool *simple_pool_of(struct health_pool *p)
{
	return az_container_of(p, struct simple_pool, pool);
}

static void ignore_dispatch(struct health_pool *p, uint8_t worker,
			    int64_t now_us)
{
}

static void ignore_record(struct health_pool *p, uint8_t worker,
			  const struct health_sample *s, int64_t now_us)
{
}

/** Counts failures in a row, and ejects the worker once they reach
 * EJECT_CONSECUTIVE_FAILURES. */
static void count_failure(struct simple_worker *w, bool failed, int64_t now_us)
{
	w->failures_in_row = failed ? w->failures_in_row + 1 : 0;
	if (w->failures_in_row < EJECT_CONSECUTIVE_FAILURES)
		return;
	w->failures_in_row = 0;
	w->ejected = true;
	w->ejected_until_us = now_us + EJECTION_US;
}

static bool is_failure(enum health_event e)
{
	return e != HEALTH_ANSWERED && e != HEALTH_CANCELLED;
}

/** Policy "consecutive-errors": ejects after EJECT_CONSECUTIVE_FAILURES
 * failures in a row; a shed request counts as a failure. */
static void consecutive_record(struct health_pool *p, uint8_t worker,
			       const struct health_sample *s, int64_t now_us)
{
	count_failure(&simple_pool_of(p)->workers[worker], is_failure(s->event),
		      now_us);
}

/** Policy "latency-threshold": ejects a worker whose mean latency reaches
 * LATENCY_THRESHOLD_FACTOR times the average of its peers' means. */
static void threshold_record(struct health_pool *p, uint8_t worker,
			     const struct health_sample *s, int64_t now_us)
{
	struct simple_pool *b = simple_pool_of(p);
	struct simple_worker *w = &b->workers[worker];
	double sum_of_means_us = 0;
	uint32_t n = 0;

	if (s->event == HEALTH_CANCELLED)
		return;
	w->samples++;
	w->mean_latency_us +=
		((double)s->latency_us - w->mean_latency_us) /
		(w->samples < LATENCY_SAMPLES_MIN ? w->samples :
						    LATENCY_SAMPLES_MIN);
	for (uint32_t i = 0; i < p->worker_count; i++)
		if (!b->workers[i].ejected && &b->workers[i] != w &&
		    b->workers[i].samples >= LATENCY_SAMPLES_MIN) {
			sum_of_means_us += b->workers[i].mean_latency_us;
			n++;
		}
	if (!n || w->samples < LATENCY_SAMPLES_MIN ||
	    w->mean_latency_us < LATENCY_THRESHOLD_FACTOR * sum_of_means_us / n)
		return;
	w->samples = 0;
	w->ejected = true;
	w->ejected_until_us = now_us + EJECTION_US;
}

static void simple_policy_tick(struct health_pool *p, int64_t now_us)
{
	struct simple_pool *b = simple_pool_of(p);

	for (uint32_t i = 0; i < p->worker_count; i++)
		if (b->workers[i].ejected &&
		    now_us >= b->workers[i].ejected_until_us)
			b->workers[i].ejected = false;
}

static struct health_verdict simple_policy_verdict(const struct health_pool *p,
						   uint8_t worker)
{
	const struct simple_pool *b =
		az_container_of(p, const struct simple_pool, pool);
	bool ejected = b->workers[worker].ejected;

	return (struct health_verdict){ ejected ? HEALTH_UNHEALTHY : HEALTH_OK,
					ejected ? 128 : 0, 100, false, false };
}

static int32_t no_probe(struct health_pool *p, int64_t now_us, bool *fresh)
{
	return -1;
}

static int64_t no_connection_drop(struct health_pool *p, uint8_t worker)
{
	return 0;
}

static void simple_policy_reset(struct health_pool *p, uint8_t worker,
				int64_t now_us)
{
	simple_pool_of(p)->workers[worker] = (struct simple_worker){ 0 };
}

static void simple_policy_destroy(struct health_pool *p)
{
	free(simple_pool_of(p));
}

static const struct health_ops consecutive_ops = {
	"consecutive-errors", ignore_dispatch,	     consecutive_record,
	simple_policy_tick,   simple_policy_verdict, no_probe,
	no_connection_drop,   simple_policy_reset,   simple_policy_destroy,
};

static const struct health_ops threshold_ops = {
	"latency-threshold", ignore_dispatch,	    threshold_record,
	simple_policy_tick,  simple_policy_verdict, no_probe,
	no_connection_drop,  simple_policy_reset,   simple_policy_destroy,
};

static const struct health_ops never_ops = {
	"never-eject",	    ignore_dispatch,	   ignore_record,
	simple_policy_tick, simple_policy_verdict, no_probe,
	no_connection_drop, simple_policy_reset,   simple_policy_destroy,
};

static struct health_pool *create(const struct health_ops *ops,
				  const struct health_settings *s)
{
	struct simple_pool *b = calloc(1, sizeof(*b));

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
