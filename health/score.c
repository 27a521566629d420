/**
 * @file
 * Scores of one worker from its ended and outstanding requests.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/** Above this score nothing is learned; a lower bound would drop enough of a
 * healthy worker's slow requests to bias T downwards. */
#define FREEZE_SCORE 7.0
#define FREEZE_RATIO 1.8
#define FROZEN_SAMPLE_INTERVAL 8
/**
 * Scores are sequential tests on single requests. T is about the 90 % quantile
 * of the worker's own history. With exponential service times a healthy worker
 * drifts down by 0.25 a request, one three times slower up by 0.5, one ten
 * times slower up by 2.2. The cap on one request keeps two very slow ones below
 * the limits.
 */
#define STEP_NORMAL (-0.35)
#define STEP_VERY_SLOW 2.2 /* above 2 T */
#define STEP_MAX 4.5 /* above 4 T */
#define SCORE_MAX (HEALTH_MILD_SCORE_HIGH + 4)
#define FAILURE_SHARE_MIN 0.01
/** With few peers chance makes a larger ratio. */
#define SUSPECT_RATIO_FEW_PEERS 1.5
#define SUSPECT_RATIO 1.3

bool health_has_history(const struct health_worker *w)
{
	return w->state != HEALTH_COLD &&
	       w->history.total >= HEALTH_HISTORY_MIN_SAMPLES;
}

double health_suspect_ratio(uint32_t peers)
{
	return peers > HEALTH_FEW_PEERS_MAX ? SUSPECT_RATIO :
					      SUSPECT_RATIO_FEW_PEERS;
}

/** Slowdown that the worker's peers share: the lower quartile of their recent
 * ratios, 1 unless it is clearly above. */
static double peers_common_ratio(const struct health_detector *d,
				 const struct health_worker *self)
{
	double r[HEALTH_WORKERS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *w = &d->workers[i];
		uint32_t j;

		if (w == self || !health_has_history(w) ||
		    w->recent_count < HEALTH_RECENT_MAX / 4 ||
		    w->state == HEALTH_UNHEALTHY)
			continue;
		for (j = n++; j > 0 && r[j - 1] > w->latency_ratio; j--)
			r[j] = r[j - 1];
		r[j] = w->latency_ratio;
	}
	if (!n || r[n / 4] < health_suspect_ratio(n))
		return 1;
	return r[n / 4];
}

/** Sets the latency above which a request counts as slow. */
void health_update_slow_threshold(const struct health_detector *d,
				  struct health_worker *w)
{
	double t;

	if (!health_has_history(w)) {
		t = (double)w->unlearned_max_us * 4;
		w->slow_threshold_us = t > HEALTH_DEFAULT_THRESHOLD_US ?
					       (int64_t)t :
					       HEALTH_DEFAULT_THRESHOLD_US;
		return;
	}
	t = (double)history_quantile_us(&w->history, 90);
	t *= 1 + 2 / sqrt(w->history.total);
	if (t < 2.0 * (double)history_quantile_us(&w->history, 50))
		t = 2.0 * (double)history_quantile_us(&w->history, 50);
	w->slow_threshold_us = (int64_t)(t * peers_common_ratio(d, w));
}

double health_latency_step(int64_t latency_us, int64_t slow_threshold_us)
{
	if (latency_us <= slow_threshold_us)
		return STEP_NORMAL;
	if (latency_us <= 2 * slow_threshold_us)
		return HEALTH_STEP_SLOW;
	return latency_us <= 4 * slow_threshold_us ? STEP_VERY_SLOW : STEP_MAX;
}

/** Keeps the last latencies, and a sorted copy of them for their median. */
static void update_latency_ratio(struct health_worker *w, int64_t latency_us,
				 int64_t now_us)
{
	uint32_t slot = w->recent_count % HEALTH_RECENT_MAX;
	uint32_t n = w->recent_count < HEALTH_RECENT_MAX ? w->recent_count :
							   HEALTH_RECENT_MAX;
	int64_t median_us = history_quantile_us(&w->history, 50);
	int64_t *sorted = w->recent_sorted_us;
	uint32_t i = 0;

	if (n == HEALTH_RECENT_MAX) {
		while (sorted[i] != w->recent_us[slot])
			i++;
		n--;
		memmove(sorted + i, sorted + i + 1, (n - i) * sizeof(*sorted));
	}
	for (i = n; i > 0 && sorted[i - 1] > latency_us; i--)
		sorted[i] = sorted[i - 1];
	sorted[i] = latency_us;
	i = (n + 1) / 2;
	w->latency_ratio =
		median_us ? (double)sorted[i] / (double)median_us : 1;
	w->recent_us[slot] = latency_us;
	w->recent_dispatched_us[slot] = now_us - latency_us;
	w->recent_count++;
}

static void add_score(double *score, double step)
{
	*score += step;
	if (*score < 0)
		*score = 0;
	if (*score > SCORE_MAX)
		*score = SCORE_MAX;
}

static void note_outcome(struct health_worker *w, bool bad,
			 int64_t dispatched_us)
{
	uint32_t i = w->ended_count++ % HEALTH_RECENT_MAX;

	w->ended_dispatched_us[i] = dispatched_us;
	w->ended_failed_bits &= ~(1U << i);
	if (!bad)
		return;
	w->ended_failed_bits |= 1U << i;
	if (w->failure_score <= 0)
		w->failure_first_dispatched_us = dispatched_us;
}

void health_record_outcome(struct health_worker *w, bool bad, double weight,
			   int64_t dispatched_us)
{
	double p0 = 3 * w->baseline_failure_share;
	double p1;

	if (p0 < FAILURE_SHARE_MIN)
		p0 = FAILURE_SHARE_MIN;
	if (p0 > 0.4)
		p0 = 0.4;
	p1 = p0 > 0.15 ? 2 * p0 : 0.3;
	note_outcome(w, bad, dispatched_us);
	w->recent_failure_share +=
		((bad ? 1 : 0) - w->recent_failure_share) / 16;
	if (w->state != HEALTH_UNHEALTHY)
		w->baseline_failure_share +=
			((bad ? 1 : 0) - w->baseline_failure_share) /
			HEALTH_WARM_WINDOW_SAMPLES;
	add_score(&w->failure_score, bad ? weight * 2 * log(p1 / p0) :
					   2 * log((1 - p1) / (1 - p0)));
}

/** Keeps the span over which the slow requests were dispatched. */
static void extend_slow_span(struct health_worker *w, int64_t dispatch_us)
{
	if (w->latency_score <= 0) {
		w->slow_first_dispatched_us = w->slow_last_dispatched_us =
			dispatch_us;
		return;
	}
	if (dispatch_us < w->slow_first_dispatched_us)
		w->slow_first_dispatched_us = dispatch_us;
	if (dispatch_us > w->slow_last_dispatched_us)
		w->slow_last_dispatched_us = dispatch_us;
}

/**
 * Wait of a request without the time in a stall that an earlier one has already
 * counted: a pause of the worker delays all its slots at once and is one piece
 * of evidence.
 */
int64_t health_wait_without_stall_us(const struct health_worker *w,
				     int64_t dispatched_us, int64_t until_us)
{
	int64_t from_us = dispatched_us > w->stall_from_us ? dispatched_us :
							     w->stall_from_us;
	int64_t to_us = until_us < w->stall_to_us ? until_us : w->stall_to_us;

	return until_us - dispatched_us -
	       (from_us < to_us ? to_us - from_us : 0);
}

/** Notes the gap between answers that a slow request ends. */
static void note_stall(struct health_worker *w, int64_t now_us)
{
	if (now_us - w->last_answer_us <= w->slow_threshold_us)
		return;
	if (w->last_answer_us - w->stall_to_us > w->slow_threshold_us)
		w->stall_from_us = w->last_answer_us;
	w->stall_to_us = now_us;
}

/** Slow requests under suspicion would raise T until they fit it; a lasting
 * change is still learned in the end. */
static bool is_learning_frozen(const struct health_worker *w)
{
	return health_has_history(w) &&
	       (w->latency_score_answered >= FREEZE_SCORE ||
		w->latency_ratio >= FREEZE_RATIO);
}

void health_record_latency(struct health_worker *w, int64_t latency_us,
			   bool answered, int64_t now_us)
{
	int64_t counted_us =
		answered ? health_wait_without_stall_us(w, now_us - latency_us,
							now_us) :
			   latency_us;
	double step = health_latency_step(counted_us, w->slow_threshold_us);

	if (answered && latency_us > w->slow_threshold_us)
		note_stall(w, now_us);

	if (step > 0)
		extend_slow_span(w, now_us - latency_us);
	if (health_has_history(w) || (!answered && step > 0))
		add_score(&w->latency_score, step);
	if (answered || step > 0) {
		w->slow_bits = w->slow_bits << 1 | (step > 0);
		w->very_slow_bits =
			w->very_slow_bits << 1 | (step > HEALTH_STEP_SLOW);
	}
	if (!answered)
		return;
	if (latency_us > w->answered_max_us)
		w->answered_max_us = latency_us;
	if (health_has_history(w))
		add_score(&w->latency_score_answered, step);
	else if (latency_us > w->unlearned_max_us)
		w->unlearned_max_us = latency_us;
	update_latency_ratio(w, latency_us, now_us);
	if (w->state != HEALTH_UNHEALTHY &&
	    (!is_learning_frozen(w) ||
	     w->ended_count % FROZEN_SAMPLE_INTERVAL == 0))
		history_add(&w->history, latency_us);
	if (step < 0)
		w->fast_answers++;
	else if (w->fast_answers)
		w->fast_answers--;
}
