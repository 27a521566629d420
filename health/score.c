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
#define FROZEN_SHARE 8
/**
 * Scores are sequential tests on single requests. T is about the 90 % quantile
 * of the worker's own history. With exponential service times a healthy worker
 * drifts down by 0.25 a request, one three times slower up by 0.5, one ten
 * times slower up by 2.2. The cap on one request keeps two very slow ones below
 * the limits.
 */
#define STEP_NORMAL (-0.35)
#define STEP_SLOWER 2.2 /* above 2 T */
#define STEP_SLOWEST 4.5 /* above 4 T */
#define SCORE_MAX (EVIDENCE_LIMIT_MILD + 4)
#define ERROR_SHARE_MIN 0.01
/** With few peers chance makes a larger ratio. */
#define LOOKS_BAD_RATIO_FEW 1.5
#define LOOKS_BAD_RATIO 1.3

bool evidence_learned(const struct evidence_worker *w)
{
	return w->state != HEALTH_COLD &&
	       w->history.total >= EVIDENCE_LEARN_MIN;
}

double evidence_looks_bad_ratio(uint32_t peers)
{
	return peers > EVIDENCE_PEERS_FEW ? LOOKS_BAD_RATIO :
					    LOOKS_BAD_RATIO_FEW;
}

/** Slowdown that the worker's peers share: the lower quartile of their recent
 * ratios, 1 unless it is clearly above. */
static double common_ratio(const struct evidence_pool *p,
			   const struct evidence_worker *self)
{
	double r[HEALTH_WORKERS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct evidence_worker *w = &p->workers[i];
		uint32_t j;

		if (w == self || !evidence_learned(w) ||
		    w->recent_count < EVIDENCE_RECENT / 4 ||
		    w->state == HEALTH_UNHEALTHY)
			continue;
		for (j = n++; j > 0 && r[j - 1] > w->ratio; j--)
			r[j] = r[j - 1];
		r[j] = w->ratio;
	}
	if (!n || r[n / 4] < evidence_looks_bad_ratio(n))
		return 1;
	return r[n / 4];
}

/** Sets the latency above which a request counts as slow. */
void evidence_refresh_limit(const struct evidence_pool *p,
			    struct evidence_worker *w)
{
	double t;

	if (!evidence_learned(w)) {
		t = (double)w->slowest_us * 4;
		w->limit_us = t > EVIDENCE_UNLEARNED_US ? (int64_t)t :
							  EVIDENCE_UNLEARNED_US;
		return;
	}
	t = (double)history_quantile_us(&w->history, 90);
	t *= 1 + 2 / sqrt(w->history.total);
	if (t < 2.0 * (double)history_quantile_us(&w->history, 50))
		t = 2.0 * (double)history_quantile_us(&w->history, 50);
	w->limit_us = (int64_t)(t * common_ratio(p, w));
}

double evidence_slow_step(int64_t latency_us, int64_t limit_us)
{
	if (latency_us <= limit_us)
		return STEP_NORMAL;
	if (latency_us <= 2 * limit_us)
		return EVIDENCE_STEP_SLOW;
	return latency_us <= 4 * limit_us ? STEP_SLOWER : STEP_SLOWEST;
}

/** Keeps the last latencies, and a sorted copy of them for their median. */
static void update_ratio(struct evidence_worker *w, int64_t latency_us,
			 int64_t now_us)
{
	uint32_t slot = w->recent_count % EVIDENCE_RECENT;
	uint32_t n = w->recent_count < EVIDENCE_RECENT ? w->recent_count :
							 EVIDENCE_RECENT;
	int64_t median_us = history_quantile_us(&w->history, 50);
	int64_t *sorted = w->sorted_us;
	uint32_t i = 0;

	if (n == EVIDENCE_RECENT) {
		while (sorted[i] != w->recent_us[slot])
			i++;
		n--;
		memmove(sorted + i, sorted + i + 1, (n - i) * sizeof(*sorted));
	}
	for (i = n; i > 0 && sorted[i - 1] > latency_us; i--)
		sorted[i] = sorted[i - 1];
	sorted[i] = latency_us;
	i = (n + 1) / 2;
	w->ratio = median_us ? (double)sorted[i] / (double)median_us : 1;
	w->recent_us[slot] = latency_us;
	w->recent_at_us[slot] = now_us - latency_us;
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

static void note_end(struct evidence_worker *w, bool bad, int64_t at_us)
{
	uint32_t i = w->ended_count++ % EVIDENCE_RECENT;

	w->ended_at_us[i] = at_us;
	w->ended_bad &= ~(1U << i);
	if (!bad)
		return;
	w->ended_bad |= 1U << i;
	if (w->fault <= 0)
		w->fault_first_us = at_us;
}

void evidence_add_fault(struct evidence_worker *w, bool bad, double weight,
			int64_t at_us)
{
	double p0 = 3 * w->error_share;
	double p1;

	if (p0 < ERROR_SHARE_MIN)
		p0 = ERROR_SHARE_MIN;
	if (p0 > 0.4)
		p0 = 0.4;
	p1 = p0 > 0.15 ? 2 * p0 : 0.3;
	note_end(w, bad, at_us);
	w->bad_share += ((bad ? 1 : 0) - w->bad_share) / 16;
	if (w->state != HEALTH_UNHEALTHY)
		w->error_share +=
			((bad ? 1 : 0) - w->error_share) / EVIDENCE_WINDOW_WARM;
	add_score(&w->fault, bad ? weight * 2 * log(p1 / p0) :
				   2 * log((1 - p1) / (1 - p0)));
}

/** Keeps the span over which the slow requests were dispatched. */
static void note_slow(struct evidence_worker *w, int64_t dispatch_us)
{
	if (w->slow <= 0) {
		w->slow_first_us = w->slow_last_us = dispatch_us;
		return;
	}
	if (dispatch_us < w->slow_first_us)
		w->slow_first_us = dispatch_us;
	if (dispatch_us > w->slow_last_us)
		w->slow_last_us = dispatch_us;
}

/**
 * Wait of a request without the time in a stall that an earlier one has already
 * counted: a pause of the worker delays all its slots at once and is one piece
 * of evidence.
 */
int64_t evidence_own_wait_us(const struct evidence_worker *w, int64_t at_us,
			     int64_t until_us)
{
	int64_t from_us = at_us > w->stall_from_us ? at_us : w->stall_from_us;
	int64_t to_us = until_us < w->stall_to_us ? until_us : w->stall_to_us;

	return until_us - at_us - (from_us < to_us ? to_us - from_us : 0);
}

/** Notes the gap between answers that a slow request ends. */
static void note_stall(struct evidence_worker *w, int64_t now_us)
{
	if (now_us - w->answer_us <= w->limit_us)
		return;
	if (w->answer_us - w->stall_to_us > w->limit_us)
		w->stall_from_us = w->answer_us;
	w->stall_to_us = now_us;
}

/** Slow requests under suspicion would raise T until they fit it; a lasting
 * change is still learned in the end. */
static bool is_frozen(const struct evidence_worker *w)
{
	return evidence_learned(w) &&
	       (w->slow_answered >= FREEZE_SCORE || w->ratio >= FREEZE_RATIO);
}

void evidence_add_latency(struct evidence_worker *w, int64_t latency_us,
			  bool answered, int64_t now_us)
{
	int64_t wait_us =
		answered ?
			evidence_own_wait_us(w, now_us - latency_us, now_us) :
			latency_us;
	double step = evidence_slow_step(wait_us, w->limit_us);

	if (answered && latency_us > w->limit_us)
		note_stall(w, now_us);

	if (step > 0)
		note_slow(w, now_us - latency_us);
	if (evidence_learned(w) || (!answered && step > 0))
		add_score(&w->slow, step);
	if (answered || step > 0) {
		w->slow_bits = w->slow_bits << 1 | (step > 0);
		w->slower_bits =
			w->slower_bits << 1 | (step > EVIDENCE_STEP_SLOW);
	}
	if (!answered)
		return;
	if (latency_us > w->longest_us)
		w->longest_us = latency_us;
	if (evidence_learned(w))
		add_score(&w->slow_answered, step);
	else if (latency_us > w->slowest_us)
		w->slowest_us = latency_us;
	update_ratio(w, latency_us, now_us);
	if (w->state != HEALTH_UNHEALTHY &&
	    (!is_frozen(w) || w->ended_count % FROZEN_SHARE == 0))
		history_add(&w->history, latency_us);
	if (step < 0)
		w->answers_good++;
	else if (w->answers_good)
		w->answers_good--;
}
