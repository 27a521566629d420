/**
 * @file
 * Scores of one worker: cumulative sums (CUSUM) of evidence from its requests.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/** Latency score from which on the history is frozen. A lower one would drop
 * enough of a healthy worker's slow requests to bias its slow threshold
 * downwards. */
#define FREEZE_SCORE 7.0
#define FREEZE_RATIO 1.8
/** A frozen history still takes one of this many requests. */
#define FROZEN_SAMPLE_INTERVAL 8
/**
 * Steps of the latency score, a sequential test on single requests. The slow
 * threshold is about the 90 % quantile of the worker's own history. With
 * exponential service times the score of a healthy worker falls by 0.25 a
 * request; that of one three times slower rises by 0.5, of one ten times slower
 * by 2.2. STEP_MAX keeps two extreme requests below the scores that eject.
 */
#define STEP_NORMAL (-0.35)
#define STEP_VERY_SLOW 2.2 /* above 2 slow thresholds */
#define STEP_MAX 4.5 /* above 4 slow thresholds */
/** Upper bound of each score. */
#define SCORE_MAX (HEALTH_MILD_SCORE_HIGH + 4)
#define FAILURE_SHARE_MIN 0.01
/** Larger for few peers, where chance alone makes larger ratios. */
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

/** Slowdown that the worker's peers share: the lower quartile of their latency
 * ratios, or 1 while that would not make a peer suspect. */
static double peers_common_ratio(const struct health_detector *d,
				 const struct health_worker *w)
{
	double ratios[HEALTH_WORKERS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *peer = &d->workers[i];
		uint32_t j;

		if (peer == w || !health_has_history(peer) ||
		    peer->recent_count < HEALTH_RECENT_MAX / 4 ||
		    peer->state == HEALTH_UNHEALTHY)
			continue;
		for (j = n++; j > 0 && ratios[j - 1] > peer->latency_ratio; j--)
			ratios[j] = ratios[j - 1];
		ratios[j] = peer->latency_ratio;
	}
	if (!n || ratios[n / 4] < health_suspect_ratio(n))
		return 1;
	return ratios[n / 4];
}

void health_update_slow_threshold(const struct health_detector *d,
				  struct health_worker *w)
{
	double threshold_us;

	if (!health_has_history(w)) {
		threshold_us = (double)w->unlearned_max_us * 4;
		w->slow_threshold_us =
			threshold_us > HEALTH_DEFAULT_THRESHOLD_US ?
				(int64_t)threshold_us :
				HEALTH_DEFAULT_THRESHOLD_US;
		return;
	}
	threshold_us = (double)history_quantile_us(&w->history, 90);
	threshold_us *= 1 + 2 / sqrt(w->history.total);
	if (threshold_us < 2.0 * (double)history_quantile_us(&w->history, 50))
		threshold_us =
			2.0 * (double)history_quantile_us(&w->history, 50);
	w->slow_threshold_us =
		(int64_t)(threshold_us * peers_common_ratio(d, w));
}

double health_latency_step(int64_t latency_us, int64_t slow_threshold_us)
{
	if (latency_us <= slow_threshold_us)
		return STEP_NORMAL;
	if (latency_us <= 2 * slow_threshold_us)
		return HEALTH_STEP_SLOW;
	return latency_us <= 4 * slow_threshold_us ? STEP_VERY_SLOW : STEP_MAX;
}

/** Adds a latency to the last ones and to their sorted copy, whose median gives
 * the latency ratio. */
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

static void note_outcome(struct health_worker *w, bool failed,
			 int64_t dispatched_us)
{
	uint32_t i = w->ended_count++ % HEALTH_RECENT_MAX;

	w->ended_dispatched_us[i] = dispatched_us;
	w->ended_failed_bits &= ~(1U << i);
	if (!failed)
		return;
	w->ended_failed_bits |= 1U << i;
	if (w->failure_score <= 0)
		w->failure_first_dispatched_us = dispatched_us;
}

/* A sequential test of two failure shares: three times the baseline against
 * twice that, or against 30 % if that share is small. */
void health_record_outcome(struct health_worker *w, bool failed, double weight,
			   int64_t dispatched_us)
{
	double healthy_share = 3 * w->baseline_failure_share;
	double faulty_share;

	if (healthy_share < FAILURE_SHARE_MIN)
		healthy_share = FAILURE_SHARE_MIN;
	if (healthy_share > 0.4)
		healthy_share = 0.4;
	faulty_share = healthy_share > 0.15 ? 2 * healthy_share : 0.3;
	note_outcome(w, failed, dispatched_us);
	w->recent_failure_share +=
		((failed ? 1 : 0) - w->recent_failure_share) / 16;
	if (w->state != HEALTH_UNHEALTHY)
		w->baseline_failure_share +=
			((failed ? 1 : 0) - w->baseline_failure_share) /
			HEALTH_WARM_WINDOW_SAMPLES;
	add_score(&w->failure_score,
		  failed ? weight * 2 * log(faulty_share / healthy_share) :
			   2 * log((1 - faulty_share) / (1 - healthy_share)));
}

/** Extends the time over which the slow requests were dispatched. */
static void extend_slow_span(struct health_worker *w, int64_t dispatched_us)
{
	if (w->latency_score <= 0) {
		w->slow_first_dispatched_us = w->slow_last_dispatched_us =
			dispatched_us;
		return;
	}
	if (dispatched_us < w->slow_first_dispatched_us)
		w->slow_first_dispatched_us = dispatched_us;
	if (dispatched_us > w->slow_last_dispatched_us)
		w->slow_last_dispatched_us = dispatched_us;
}

int64_t health_wait_without_stall_us(const struct health_worker *w,
				     int64_t dispatched_us, int64_t until_us)
{
	int64_t from_us = dispatched_us > w->stall_from_us ? dispatched_us :
							     w->stall_from_us;
	int64_t to_us = until_us < w->stall_to_us ? until_us : w->stall_to_us;

	return until_us - dispatched_us -
	       (from_us < to_us ? to_us - from_us : 0);
}

/** Notes a stall, the gap between answers that a slow request has just ended;
 * joins it to the last stall if that ended shortly before. */
static void note_stall(struct health_worker *w, int64_t now_us)
{
	if (now_us - w->last_answer_us <= w->slow_threshold_us)
		return;
	if (w->last_answer_us - w->stall_to_us > w->slow_threshold_us)
		w->stall_from_us = w->last_answer_us;
	w->stall_to_us = now_us;
}

/** True while the worker may have become slow: its slow requests would raise
 * the slow threshold until they count as normal. A frozen history still takes
 * some requests, so that a lasting change is learned in the end. */
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
