/**
 * @file
 * States of a worker and the transitions between them: cold start, ejection,
 * re-admission by probes, trial and ramp. judge.c decides on ejections.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/** history.window_samples of a cold worker: small, so that the history follows
 * the latency, which falls while the worker warms up. */
#define COLD_WINDOW_SAMPLES 64
/** Baseline failure share of a worker without history: somewhat below 1 %, a
 * common error budget. */
#define FAILURE_SHARE_ASSUMED 0.007
/** Probes passed in a row that end an ejection once its time is over. */
#define READMIT_PROBES_MIN 3
/** fast_answer_surplus that ends a trial and starts the ramp. */
#define TRIAL_SURPLUS_MIN 10
/** fast_answer_surplus that ends an ejection once its time is over. Only a
 * worker that the floor keeps in service gets requests during its ejection. */
#define READMIT_SURPLUS_MIN 16
/** A worker that has been ejected for slowness again and again over this time
 * (since slow_ejections_since_us) gets an empty history, which then learns its
 * present latency as normal. */
#define RELEARN_AFTER_US (600 * US_PER_S)

struct health_detector *health_detector_of(struct health_pool *p)
{
	return az_container_of(p, struct health_detector, pool);
}

void health_enter_state(struct health_worker *w, enum health_state s,
			int64_t now_us)
{
	w->state = s;
	w->state_since_us = now_us;
	w->fast_answer_surplus = 0;
	w->probes_passed = 0;
}

static void clear_scores(struct health_worker *w)
{
	w->latency_score = w->latency_score_answered = w->latency_score_total =
		0;
	w->failure_score = 0;
	w->recent_failure_share = 0;
	w->slow_bits = w->very_slow_bits = 0;
	w->silence_probe = SILENCE_PROBE_NONE;
	w->silence_probes_failed = 0;
	w->connection_drops = 0;
	w->recent_count = 0;
	w->latency_ratio = 1;
}

void health_start_cold(struct health_worker *w, bool ramping, int64_t now_us)
{
	health_enter_state(w, HEALTH_COLD, now_us);
	w->ramping = ramping;
	w->severity = 0;
	w->unreachable = false;
	w->connect_refused = false;
	w->no_history_max_us = 0;
	w->answered_max_us = 0;
	w->baseline_failure_share = FAILURE_SHARE_ASSUMED;
	w->slow_threshold_us = HEALTH_NO_HISTORY_THRESHOLD_MIN_US;
	clear_scores(w);
	history_init(&w->history, COLD_WINDOW_SAMPLES);
}

/** Ends an ejection: the worker gets a few idempotent requests. */
static void start_trial(struct health_worker *w, int64_t now_us)
{
	health_enter_state(w, HEALTH_RECOVERING, now_us);
	w->ramping = false;
	w->unreachable = false;
	clear_scores(w);
	w->evidence_after_us = now_us;
	if (w->slow_ejections_since_us &&
	    now_us - w->slow_ejections_since_us > RELEARN_AFTER_US)
		history_init(&w->history, HEALTH_WARM_WINDOW_SAMPLES);
}

void health_advance_state(struct health_detector *d, struct health_worker *w,
			  int64_t now_us)
{
	switch (w->state) {
	case HEALTH_COLD:
		if (now_us - w->state_since_us >=
			    (int64_t)d->settings.cold_start_ms * US_PER_MS &&
		    w->history.total >= HEALTH_HISTORY_MIN_SAMPLES) {
			health_enter_state(w, HEALTH_OK, now_us);
			w->history.window_samples = HEALTH_WARM_WINDOW_SAMPLES;
			w->latency_score = w->latency_score_answered = 0;
			w->recent_count = 0;
			w->latency_ratio = 1;
		}
		break;
	case HEALTH_UNHEALTHY:
		if (now_us >= w->ejected_until_us &&
		    (w->probes_passed >= READMIT_PROBES_MIN ||
		     w->fast_answer_surplus >= READMIT_SURPLUS_MIN)) {
			/* A worker that refused connections has restarted. */
			if (w->connect_refused)
				health_start_cold(w, true, now_us);
			else
				start_trial(w, now_us);
		}
		break;
	case HEALTH_RECOVERING:
		if (!w->ramping &&
		    w->fast_answer_surplus >= TRIAL_SURPLUS_MIN) {
			w->ramping = true;
			w->state_since_us = now_us;
		} else if (w->ramping &&
			   now_us - w->state_since_us >= HEALTH_RAMP_US) {
			health_enter_state(w, HEALTH_OK, now_us);
			w->ramping = false;
		}
		break;
	case HEALTH_OK:
		break;
	}
}

void health_record_probe(struct health_detector *d, struct health_worker *w,
			 const struct health_sample *s, int64_t now_us)
{
	bool passed =
		(s->event == HEALTH_ANSWERED || s->event == HEALTH_SHED) &&
		s->latency_us <= health_probe_timeout_us(w);

	w->probe_sent_us = 0;
	if (w->silence_probe == SILENCE_PROBE_SENT) {
		if (passed)
			w->silence_probe = SILENCE_PROBE_PASSED;
		else
			health_fail_silence_probe(w, now_us);
		return;
	}
	if (w->state != HEALTH_UNHEALTHY)
		return;
	if (passed) {
		w->probes_passed++;
		w->next_probe_us = now_us + US_PER_S / 2;
		return;
	}
	w->probes_passed = 0;
	/* The probe interval doubles 4 times at most, but only 2 times for a
	 * worker that refuses connections: it is probably restarting. */
	if (w->probe_backoff < (w->connect_refused ? 2 : 4))
		w->probe_backoff++;
	w->next_probe_us =
		now_us + ((int64_t)d->settings.probe_interval_ms * US_PER_MS
			  << w->probe_backoff);
}
