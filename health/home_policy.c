/**
 * @file
 * The "home" policy: the suspicion that the home of a cell keeps of its workers
 * (home/evidence.c), wrapped in struct health_ops so that health_measure can
 * compare it with the other policies.
 */
#include <stdlib.h>

#include "health/health.h"
#include "home/home.h"

struct home_policy {
	struct health_pool pool;
	struct home_cell cell; /**< only its latency baseline is used */
	struct worker_evidence evidence[HEALTH_WORKERS_MAX];
	int64_t now_us; /**< time of the last tick */
};

static struct home_policy *home_policy_of(struct health_pool *p)
{
	return az_container_of(p, struct home_policy, pool);
}

static void policy_dispatch(struct health_pool *p, uint8_t worker,
			    int64_t now_us)
{
	worker_evidence_record_send(&home_policy_of(p)->evidence[worker],
				    now_us);
}

static enum home_event event_of(enum health_event e)
{
	switch (e) {
	case HEALTH_ANSWERED:
		return EVENT_ANSWERED;
	case HEALTH_SERVER_ERROR:
		return EVENT_SERVER_ERROR;
	case HEALTH_SHED:
		return EVENT_SHED;
	case HEALTH_TRUNCATED:
	case HEALTH_RESET:
		return EVENT_NO_VALID_ANSWER;
	case HEALTH_TIMEOUT:
		return EVENT_TIMEOUT;
	case HEALTH_CONNECT_REFUSED:
	case HEALTH_CONNECT_TIMEOUT:
		return EVENT_UNREACHABLE;
	case HEALTH_CANCELLED:
		return EVENT_CANCELLED;
	}
	return EVENT_NO_EVIDENCE;
}

static void policy_record(struct health_pool *p, uint8_t worker,
			  const struct health_sample *s, int64_t now_us)
{
	struct home_policy *h = home_policy_of(p);
	struct latency_baseline baseline = home_cell_baseline(&h->cell);

	worker_evidence_record_completion(
		&h->evidence[worker], &baseline, now_us - s->latency_us,
		event_of(s->event), s->latency_us, now_us);
	if (s->event == HEALTH_ANSWERED)
		home_cell_record_latency(&h->cell, s->latency_us);
}

static void policy_tick(struct health_pool *p, int64_t now_us)
{
	home_policy_of(p)->now_us = now_us;
}

static struct health_verdict policy_verdict(const struct health_pool *p,
					    uint8_t worker)
{
	const struct home_policy *h =
		az_container_of(p, const struct home_policy, pool);
	struct latency_baseline baseline = home_cell_baseline(&h->cell);
	struct health_verdict v = { .weight_percent = 100 };

	if (worker_evidence_suspicion(&h->evidence[worker], &baseline,
				      h->now_us) >= CHOOSE_SUSPICION_MAX) {
		v.state = HEALTH_UNHEALTHY;
		v.severity = UINT8_MAX;
	}
	return v;
}

/* The homes send no probes: suspicion decays with time, so that a worker that
 * is avoided gets requests again. */
static int32_t policy_next_probe(struct health_pool *p, int64_t now_us,
				 bool *fresh)
{
	return -1;
}

static int64_t policy_take_connection_drop_age_us(struct health_pool *p,
						  uint8_t worker)
{
	return 0;
}

static void policy_reset(struct health_pool *p, uint8_t worker, int64_t now_us)
{
	home_policy_of(p)->evidence[worker] = (struct worker_evidence){ 0 };
}

static void policy_destroy(struct health_pool *p)
{
	free(home_policy_of(p));
}

static const struct health_ops home_ops = {
	.name = "home",
	.dispatch = policy_dispatch,
	.record = policy_record,
	.tick = policy_tick,
	.verdict = policy_verdict,
	.next_probe = policy_next_probe,
	.take_connection_drop_age_us = policy_take_connection_drop_age_us,
	.reset = policy_reset,
	.destroy = policy_destroy,
};

struct health_pool *health_create_home(const struct health_settings *s,
				       int64_t now_us)
{
	struct home_policy *h = az_alloc(sizeof(*h));

	h->pool.ops = &home_ops;
	h->pool.worker_count = s->worker_count;
	h->now_us = now_us;
	return &h->pool;
}
