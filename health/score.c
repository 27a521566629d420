/**
 * @file
 * Scores of one worker: cumulative sums (CUSUM) to which each request adds a
 * positive step if it was slow or failed and a negative one otherwise.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/** Latency score from which on the history takes fewer samples. With a lower
 * score it would miss so many slow requests of a healthy worker that the slow
 * threshold would come out too low. */
#define REDUCED_LEARNING_SCORE 7.0
/** Same, for the latency ratio. */
#define REDUCED_LEARNING_RATIO 1.8
/** With fewer samples, the history takes one of this many requests. */
#define REDUCED_LEARNING_INTERVAL 8
/**
 * Steps of the latency score, a sequential test on single requests. The slow
 * threshold is about the 90 % quantile of the worker's own history. With
 * exponential service times the score of a healthy worker falls by 0.25 a
 * request on average; the score of a worker that has become three times slower
 * rises by 0.5, of one ten times slower by 2.2. STEP_MAX is so low that two
 * extreme requests do not reach the scores that eject.
 */
#define STEP_NORMAL (-0.35)
#define STEP_VERY_SLOW 2.2 /* above 2 slow thresholds */
#define STEP_MAX 4.5 /* above 4 slow thresholds */
/** Upper bound of each latency and failure score. */
#define SCORE_MAX (HEALTH_MILD_SCORE_HIGH + 4)
/** Least share of failures that is accepted as healthy. */
#define FAILURE_SHARE_MIN 0.01
/** Latency ratio that makes a worker suspect. It is higher with few peers
 * (HEALTH_FEW_PEERS_MAX), where chance alone makes larger ratios. */
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

/** Returns the slowdown that the worker's peers have in common: the lower
 * quartile of their latency ratios, or 1 if that is below
 * health_suspect_ratio(). */
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
		threshold_us = (double)w->no_history_max_us * 4;
		w->slow_threshold_us =
			threshold_us > HEALTH_NO_HISTORY_THRESHOLD_MIN_US ?
				(int64_t)threshold_us :
				HEALTH_NO_HISTORY_THRESHOLD_MIN_US;
		return;
	}
	threshold_us = (double)history_quantile_us(&w->history, 90);
	/* The fewer the samples, the less certain is the quantile. */
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

/** Adds a latency to the ring recent_us and to its sorted copy, and computes
 * the latency ratio from the median of that. */
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

/** Adds a step to a score, which stays between 0 and SCORE_MAX. */
static void add_score(double *score, double step)
{
	*score += step;
	if (*score < 0)
		*score = 0;
	if (*score > SCORE_MAX)
		*score = SCORE_MAX;
}

/** Adds a request to the ring of those that succeeded or failed. */
static void add_ended_request(struct health_worker *w, bool failed,
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

/* A sequential test whether the worker's share of failures is still the
 * accepted one, three times its baseline between FAILURE_SHARE_MIN and 0.4, or
 * has risen to the alternative: twice the accepted share, or 0.3 if that is
 * 0.15 or less. The step is twice the log-likelihood ratio of the two. */
void health_record_outcome(struct health_worker *w, bool failed, double weight,
			   int64_t dispatched_us)
{
	double accepted_share = 3 * w->baseline_failure_share;
	double alternative_share;

	if (accepted_share < FAILURE_SHARE_MIN)
		accepted_share = FAILURE_SHARE_MIN;
	if (accepted_share > 0.4)
		accepted_share = 0.4;
	alternative_share = accepted_share > 0.15 ? 2 * accepted_share : 0.3;
	add_ended_request(w, failed, dispatched_us);
	w->recent_failure_share +=
		((failed ? 1 : 0) - w->recent_failure_share) / 16;
	if (w->state != HEALTH_UNHEALTHY)
		w->baseline_failure_share +=
			((failed ? 1 : 0) - w->baseline_failure_share) /
			HEALTH_WARM_WINDOW_SAMPLES;
	add_score(&w->failure_score,
		  failed ?
			  weight * 2 * log(alternative_share / accepted_share) :
			  2 * log((1 - alternative_share) /
				  (1 - accepted_share)));
}

/** Extends the time span over which slow requests were dispatched by one more;
 * starts a new span if the latency score is 0. */
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

/** Records the time without answers that the answer to a slow request has just
 * ended, if it is long enough for a stall. Joins it to the last stall if at
 * most one slow threshold lies between the two. */
static void record_stall(struct health_worker *w, int64_t now_us)
{
	if (now_us - w->last_answer_us <= w->slow_threshold_us)
		return;
	if (w->last_answer_us - w->stall_to_us > w->slow_threshold_us)
		w->stall_from_us = w->last_answer_us;
	w->stall_to_us = now_us;
}

/** True while the worker may have become slow. If the history then took all
 * requests, the slow threshold would rise until slow requests count as normal.
 * It still takes some, so that it follows a lasting change in the end. */
static bool is_learning_reduced(const struct health_worker *w)
{
	return health_has_history(w) &&
	       (w->latency_score_answered >= REDUCED_LEARNING_SCORE ||
		w->latency_ratio >= REDUCED_LEARNING_RATIO);
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
		record_stall(w, now_us);

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
	else if (latency_us > w->no_history_max_us)
		w->no_history_max_us = latency_us;
	update_latency_ratio(w, latency_us, now_us);
	if (w->state != HEALTH_UNHEALTHY &&
	    (!is_learning_reduced(w) ||
	     w->ended_count % REDUCED_LEARNING_INTERVAL == 0))
		history_add(&w->history, latency_us);
	if (step < 0)
		w->fast_answer_surplus++;
	else if (w->fast_answer_surplus)
		w->fast_answer_surplus--;
}
