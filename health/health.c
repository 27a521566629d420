/**
 * @file
 * The "evidence" policy behind struct health_ops.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/** Weight of a reset on a pooled connection as a failure: the worker has often
 * only closed the connection after its idle timeout. */
#define POOLED_RESET_WEIGHT 0.5
/** A probe without a recorded end is taken as lost after this time, and another
 * one may be sent. */
#define PROBE_LOST_AFTER_US (5 * US_PER_S)
/** Weight of a worker on trial, from which its ramp starts. The ramp of a cold
 * worker starts from twice that. */
#define TRIAL_WEIGHT_PERCENT 10

static void policy_dispatch(struct health_pool *p, uint8_t worker,
			    int64_t now_us)
{
	struct health_worker *w = &health_detector_of(p)->workers[worker];

	if (w->outstanding_count < HEALTH_OUTSTANDING_MAX)
		w->outstanding_dispatched_us[w->outstanding_count++] = now_us;
}

/** Removes the outstanding request dispatched nearest to `dispatched_us`;
 * returns its time of dispatch, or `dispatched_us` if none is outstanding. */
static int64_t take_outstanding(struct health_worker *w, int64_t dispatched_us)
{
	uint32_t nearest = 0;
	int64_t nearest_us;

	if (!w->outstanding_count)
		return dispatched_us;
	for (uint32_t i = 1; i < w->outstanding_count; i++)
		if (llabs(w->outstanding_dispatched_us[i] - dispatched_us) <
		    llabs(w->outstanding_dispatched_us[nearest] -
			  dispatched_us))
			nearest = i;
	nearest_us = w->outstanding_dispatched_us[nearest];
	w->outstanding_dispatched_us[nearest] =
		w->outstanding_dispatched_us[--w->outstanding_count];
	return nearest_us;
}

/** Records that the worker sent an answer, whole or partial. */
static void record_answer_time(struct health_worker *w, int64_t dispatched_us,
			       int64_t now_us)
{
	w->last_answer_us = now_us;
	w->silence_probes_failed = 0;
	w->connect_timed_out = false;
	if (dispatched_us > w->evidence_after_us)
		w->connection_drops = 0;
}

static void policy_record(struct health_pool *p, uint8_t worker,
			  const struct health_sample *s, int64_t now_us)
{
	struct health_detector *d = health_detector_of(p);
	struct health_worker *w = &d->workers[worker];
	int64_t dispatched_us;

	if (s->probe) {
		health_record_probe(d, w, s, now_us);
		health_advance_state(d, w, now_us);
		return;
	}
	dispatched_us = take_outstanding(w, now_us - s->latency_us);
	w->shed_share +=
		((s->event == HEALTH_SHED ? 1 : 0) - w->shed_share) / 16;
	/* A request sent before the last connection drop or the start of the
	 * trial is no evidence, unless the worker answered it whole or refused
	 * it or its connection. */
	if (s->event != HEALTH_ANSWERED && s->event != HEALTH_SERVER_ERROR &&
	    s->event != HEALTH_SHED && s->event != HEALTH_CONNECT_REFUSED &&
	    dispatched_us <= w->evidence_after_us)
		return;
	switch (s->event) {
	case HEALTH_ANSWERED:
		if (w->connect_refused && w->state != HEALTH_UNHEALTHY) {
			w->connect_refused = false;
			if (s->fresh)
				health_start_cold(w, true, now_us);
		}
		health_record_outcome(w, false, 1, dispatched_us);
		health_record_latency(w, s->latency_us, true, now_us);
		record_answer_time(w, dispatched_us, now_us);
		break;
	case HEALTH_SERVER_ERROR:
	case HEALTH_TRUNCATED:
		health_record_outcome(w, true, 1, dispatched_us);
		record_answer_time(w, dispatched_us, now_us);
		break;
	case HEALTH_RESET:
		health_record_outcome(w, true,
				      s->fresh ? 1 : POOLED_RESET_WEIGHT,
				      dispatched_us);
		break;
	case HEALTH_CONNECT_REFUSED:
		w->connect_refused = true;
		health_record_outcome(w, true, 1, dispatched_us);
		break;
	case HEALTH_CONNECT_TIMEOUT:
		w->connect_timed_out = true;
		health_record_outcome(w, true, 1, dispatched_us);
		break;
	case HEALTH_TIMEOUT:
	case HEALTH_CANCELLED:
		health_record_latency(w, s->latency_us, false, now_us);
		break;
	case HEALTH_SHED:
		record_answer_time(w, dispatched_us, now_us);
		break;
	}
	health_judge(d, w, now_us);
	health_advance_state(d, w, now_us);
	health_set_severity(w);
}

static void policy_tick(struct health_pool *p, int64_t now_us)
{
	struct health_detector *d = health_detector_of(p);

	for (uint32_t i = 0; i < p->worker_count; i++) {
		struct health_worker *w = &d->workers[i];

		health_update_slow_threshold(d, w);
		health_judge(d, w, now_us);
		health_advance_state(d, w, now_us);
		health_set_severity(w);
	}
	d->now_us = now_us;
}

/** Returns the weight on a ramp from `from_percent` to 100. */
static uint8_t ramp_percent(int64_t elapsed_us, int64_t ramp_us,
			    uint8_t from_percent)
{
	if (elapsed_us >= ramp_us)
		return 100;
	return (uint8_t)(from_percent +
			 (100 - from_percent) * elapsed_us / ramp_us);
}

static struct health_verdict policy_verdict(const struct health_pool *p,
					    uint8_t worker)
{
	const struct health_detector *d =
		az_container_of(p, const struct health_detector, pool);
	const struct health_worker *w = &d->workers[worker];
	struct health_verdict v = { w->state, w->severity, 100, false, false };
	int64_t elapsed_us = d->now_us - w->state_since_us;

	switch (w->state) {
	case HEALTH_COLD:
		if (w->ramping)
			v.weight_percent = ramp_percent(
				elapsed_us,
				(int64_t)d->settings.cold_start_ms * US_PER_MS,
				2 * TRIAL_WEIGHT_PERCENT);
		break;
	case HEALTH_UNHEALTHY:
		/* The weight stays at 100: it applies only if the floor keeps
		 * the worker in service. */
		v.unreachable = w->unreachable;
		break;
	case HEALTH_RECOVERING:
		v.idempotent_only = !w->ramping;
		v.weight_percent =
			w->ramping ? ramp_percent(elapsed_us, HEALTH_RAMP_US,
						  TRIAL_WEIGHT_PERCENT) :
				     TRIAL_WEIGHT_PERCENT;
		break;
	case HEALTH_OK:
		break;
	}
	/* A worker that sheds more than 30 % of its requests gets fewer, down
	 * to 30 % of its weight when it sheds all. */
	if (w->shed_share > 0.3)
		v.weight_percent =
			(uint8_t)(v.weight_percent * (1.3 - w->shed_share));
	return v;
}

static int32_t policy_next_probe(struct health_pool *p, int64_t now_us,
				 bool *fresh)
{
	struct health_detector *d = health_detector_of(p);

	*fresh = true;
	for (uint32_t i = 0; i < p->worker_count; i++) {
		struct health_worker *w = &d->workers[i];

		if (w->probe_sent_us &&
		    now_us - w->probe_sent_us < PROBE_LOST_AFTER_US)
			continue;
		if (w->silence_probe == SILENCE_PROBE_DUE) {
			w->silence_probe = SILENCE_PROBE_SENT;
			w->silence_probe_since_us = now_us;
			w->probe_sent_us = now_us;
			return (int32_t)i;
		}
		if (w->state == HEALTH_UNHEALTHY &&
		    now_us >= w->next_probe_us) {
			w->probe_sent_us = now_us;
			return (int32_t)i;
		}
	}
	return -1;
}

static int64_t policy_take_connection_drop_age_us(struct health_pool *p,
						  uint8_t worker)
{
	struct health_worker *w = &health_detector_of(p)->workers[worker];
	int64_t us = w->connection_drop_age_us;

	w->connection_drop_age_us = 0;
	return us;
}

static void policy_reset(struct health_pool *p, uint8_t worker, int64_t now_us)
{
	struct health_worker *w = &health_detector_of(p)->workers[worker];

	memset(w, 0, sizeof(*w));
	health_start_cold(w, true, now_us);
}

static void policy_destroy(struct health_pool *p)
{
	free(health_detector_of(p));
}

static const struct health_ops policy_ops = {
	"evidence",
	policy_dispatch,
	policy_record,
	policy_tick,
	policy_verdict,
	policy_next_probe,
	policy_take_connection_drop_age_us,
	policy_reset,
	policy_destroy,
};

struct health_pool *health_create_evidence(const struct health_settings *s,
					   int64_t now_us)
{
	struct health_detector *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->pool.ops = &policy_ops;
	d->pool.worker_count = s->worker_count;
	d->settings = *s;
	d->now_us = now_us;
	/* A daemon that becomes the home of a cell has no history of any of its
	 * workers: ramps would reduce the capacity of the whole pool. */
	for (uint32_t i = 0; i < s->worker_count; i++)
		health_start_cold(&d->workers[i], false, now_us);
	return &d->pool;
}
