/**
 * @file
 * The product's policy, "evidence", behind the vtable.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/** A reset on a pooled connection is often only the worker's idle limit. */
#define POOLED_RESET_SHARE 0.5
#define PROBE_LOST_US (5 * US_PER_S)
#define TRIAL_WEIGHT 10

static void policy_dispatch(struct health_pool *hp, uint8_t worker,
			    int64_t now_us)
{
	struct evidence_worker *w = &evidence_pool_of(hp)->workers[worker];

	if (w->out_count < EVIDENCE_OUTSTANDING_MAX)
		w->out_us[w->out_count++] = now_us;
}

/** Takes the request out that was dispatched nearest to `at_us`. */
static int64_t take_outstanding(struct evidence_worker *w, int64_t at_us)
{
	uint32_t best = 0;
	int64_t found_us;

	if (!w->out_count)
		return at_us;
	for (uint32_t i = 1; i < w->out_count; i++)
		if (llabs(w->out_us[i] - at_us) <
		    llabs(w->out_us[best] - at_us))
			best = i;
	found_us = w->out_us[best];
	w->out_us[best] = w->out_us[--w->out_count];
	return found_us;
}

/** The worker answered a request dispatched at `at_us`, in whatever way. */
static void note_answer(struct evidence_worker *w, int64_t at_us,
			int64_t now_us)
{
	w->answer_us = now_us;
	w->checks_failed = 0;
	w->no_connection = false;
	if (at_us > w->dropped_us)
		w->drops = 0;
}

static void policy_record(struct health_pool *hp, uint8_t worker,
			  const struct health_sample *s, int64_t now_us)
{
	struct evidence_pool *p = evidence_pool_of(hp);
	struct evidence_worker *w = &p->workers[worker];
	int64_t at_us;

	if (s->probe) {
		evidence_end_probe(p, w, s, now_us);
		evidence_advance(p, w, now_us);
		return;
	}
	at_us = take_outstanding(w, now_us - s->latency_us);
	w->shed += ((s->event == HEALTH_SHED ? 1 : 0) - w->shed) / 16;
	if (s->event != HEALTH_ANSWERED && s->event != HEALTH_SERVER_ERROR &&
	    s->event != HEALTH_SHED && s->event != HEALTH_CONNECT_REFUSED &&
	    at_us <= w->dropped_us)
		return;
	switch (s->event) {
	case HEALTH_ANSWERED:
		if (w->refused && w->state != HEALTH_UNHEALTHY) {
			w->refused = false;
			if (s->fresh)
				evidence_start_cold(w, true, now_us);
		}
		evidence_add_fault(w, false, 1, at_us);
		evidence_add_latency(w, s->latency_us, true, now_us);
		note_answer(w, at_us, now_us);
		break;
	case HEALTH_SERVER_ERROR:
	case HEALTH_TRUNCATED:
		evidence_add_fault(w, true, 1, at_us);
		note_answer(w, at_us, now_us);
		break;
	case HEALTH_RESET:
		evidence_add_fault(w, true, s->fresh ? 1 : POOLED_RESET_SHARE,
				   at_us);
		break;
	case HEALTH_CONNECT_REFUSED:
		w->refused = true;
		evidence_add_fault(w, true, 1, at_us);
		break;
	case HEALTH_CONNECT_TIMEOUT:
		w->no_connection = true;
		evidence_add_fault(w, true, 1, at_us);
		break;
	case HEALTH_TIMEOUT:
	case HEALTH_CANCELLED:
		evidence_add_latency(w, s->latency_us, false, now_us);
		break;
	case HEALTH_SHED:
		note_answer(w, at_us, now_us);
		break;
	}
	evidence_judge(p, w, now_us);
	evidence_advance(p, w, now_us);
	evidence_set_severity(w);
}

static void policy_tick(struct health_pool *hp, int64_t now_us)
{
	struct evidence_pool *p = evidence_pool_of(hp);

	for (uint32_t i = 0; i < hp->worker_count; i++) {
		struct evidence_worker *w = &p->workers[i];

		evidence_refresh_limit(p, w);
		evidence_judge(p, w, now_us);
		evidence_advance(p, w, now_us);
		evidence_set_severity(w);
	}
	p->now_us = now_us;
}

static uint8_t ramp_percent(int64_t since_us, int64_t length_us, uint8_t from)
{
	if (since_us >= length_us)
		return 100;
	return (uint8_t)(from + (100 - from) * since_us / length_us);
}

static struct health_verdict policy_verdict(const struct health_pool *hp,
					    uint8_t worker)
{
	const struct evidence_pool *p =
		az_container_of(hp, const struct evidence_pool, pool);
	const struct evidence_worker *w = &p->workers[worker];
	struct health_verdict v = { w->state, w->severity, 100, false, false };
	int64_t since_us = p->now_us - w->state_us;

	switch (w->state) {
	case HEALTH_COLD:
		if (w->ramp)
			v.weight_percent = ramp_percent(
				since_us,
				(int64_t)p->settings.cold_start_ms * US_PER_MS,
				2 * TRIAL_WEIGHT);
		break;
	case HEALTH_UNHEALTHY:
		/* Whoever the floor keeps in must bear its share. */
		v.unreachable = w->unreachable;
		break;
	case HEALTH_RECOVERING:
		v.reads_only = !w->ramp;
		v.weight_percent =
			w->ramp ? ramp_percent(since_us, EVIDENCE_RAMP_US,
					       TRIAL_WEIGHT) :
				  TRIAL_WEIGHT;
		break;
	case HEALTH_OK:
		break;
	}
	if (w->shed > 0.3)
		v.weight_percent =
			(uint8_t)(v.weight_percent * (1.3 - w->shed));
	return v;
}

static int32_t policy_next_probe(struct health_pool *hp, int64_t now_us,
				 bool *fresh)
{
	struct evidence_pool *p = evidence_pool_of(hp);

	*fresh = true;
	for (uint32_t i = 0; i < hp->worker_count; i++) {
		struct evidence_worker *w = &p->workers[i];

		if (w->probe_sent_us &&
		    now_us - w->probe_sent_us < PROBE_LOST_US)
			continue;
		if (w->check == CHECK_WANTED) {
			w->check = CHECK_SENT;
			w->check_us = now_us;
			w->probe_sent_us = now_us;
			return (int32_t)i;
		}
		if (w->state == HEALTH_UNHEALTHY && now_us >= w->probe_at_us) {
			w->probe_sent_us = now_us;
			return (int32_t)i;
		}
	}
	return -1;
}

static int64_t policy_take_silent(struct health_pool *hp, uint8_t worker)
{
	struct evidence_worker *w = &evidence_pool_of(hp)->workers[worker];
	int64_t us = w->silent_us;

	w->silent_us = 0;
	return us;
}

static void policy_reset(struct health_pool *hp, uint8_t worker, int64_t now_us)
{
	struct evidence_worker *w = &evidence_pool_of(hp)->workers[worker];

	memset(w, 0, sizeof(*w));
	evidence_start_cold(w, true, now_us);
}

static void policy_destroy(struct health_pool *hp)
{
	free(evidence_pool_of(hp));
}

static const struct health_ops policy_ops = {
	"evidence",	    policy_dispatch, policy_record,
	policy_tick,	    policy_verdict,  policy_next_probe,
	policy_take_silent, policy_reset,    policy_destroy,
};

struct health_pool *health_create(const struct health_settings *s,
				  int64_t now_us)
{
	struct evidence_pool *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->pool.ops = &policy_ops;
	p->pool.worker_count = s->worker_count;
	p->settings = *s;
	p->now_us = now_us;
	/* A home that has just taken over the cell knows nothing of its
	 * workers; a ramp would throttle the whole pool. */
	for (uint32_t i = 0; i < s->worker_count; i++)
		evidence_start_cold(&p->workers[i], false, now_us);
	return &p->pool;
}
