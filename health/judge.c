/**
 * @file
 * Judgement: which worker is unhealthy, compared with its own history and its
 * peers.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

#define SEVERE_SCORE 12.0
/** A sum of a few extreme requests is not a slow worker: most of the last
 * requests, or the recent median, must be slow too. */
#define SEVERE_WINDOW_REQUESTS 4
#define SEVERE_SLOW_REQUESTS 3
#define SEVERE_VERY_SLOW_REQUESTS 2
#define MILD_WINDOW_REQUESTS 8
#define MILD_SLOW_REQUESTS 3
#define MILD_RATIO_LOW 1.5
#define MILD_RATIO_MEDIUM 1.8
#define MILD_SCORE_MEDIUM \
	11.0 /* if the recent median is above MILD_RATIO_MEDIUM */
#define MILD_RATIO_HIGH 2.5
#define MILD_SCORE_LOW 9.5 /* if it is above MILD_RATIO_HIGH */
#define SEVERE_RATIO 4.0
/** A pause of the worker (garbage collection, disk) shorter than this delays
 * all its slots at once but is not a fault: the slow requests must have been
 * dispatched over a longer time. */
#define SLOW_SPAN_MIN_US (500 * US_PER_MS)
#define FAILURE_SCORE 17.0
/** One request outstanding for longer than this asks for a fresh connection:
 * a home that prefers idle workers sends no second one to a silent worker. */
#define SILENCE_FACTOR 6
#define SILENCE_MIN_US (300 * US_PER_MS)
#define SILENCE_PROBE_INTERVAL_US US_PER_S
#define SILENCE_PROBES_FAILED_MAX 2
#define SILENT_REQUESTS_MAX 3
#define CONNECTION_DROPS_MAX 3
#define PROBE_TIMEOUT_MIN_US (250 * US_PER_MS)
#define SILENCE_PROBE_WAIT_MAX_US US_PER_S
/** Share of the others that look bad from which on the observer suspects
 * itself. */
#define SHARED_SUSPECT_SHARE 0.75
/** Requests of the peers that are compared before a worker is blamed. */
#define SEVERE_PEER_REQUESTS_MIN 10
#define MILD_PEER_REQUESTS_MIN 24
#define PEER_ANSWERS_MIN 3
#define PEER_RATIO_DEVIATIONS 1.2
#define PEER_RATIO_BOUND_MIN 1.25
#define PEER_WINDOW_US (2 * US_PER_S)
#define PEER_OUTCOMES_MIN 5
#define PEER_FAILURE_SHARE_MAX 0.25
#define UNANSWERED_RATIO 100.0
#define ONSET_STEP_OFFSET 0.3
#define HOLD_BACK_MAX_US (3 * US_PER_S)
#define SUSPECT_SCORE 3.0
/** So long few peers must stay normal; a single look is too often luck. */
#define PEERS_NORMAL_HOLD_US (400 * US_PER_MS)
#define RECENT_EJECTION_US (10 * US_PER_S)
#define EJECTION_BASE_US (5 * US_PER_S)
#define EJECTION_REFUSED_US US_PER_S
#define EJECTION_BACKOFF_MAX 6
#define EJECTION_BACKOFF_RESET_US (120 * US_PER_S)
#define TRIAL_SCORE (SEVERE_SCORE / 2)

static void eject(struct health_worker *w, enum ejection_reason reason,
		  int64_t now_us)
{
	int64_t ejection_us =
		w->connect_refused ? EJECTION_REFUSED_US : EJECTION_BASE_US;

	if (w->state == HEALTH_OK &&
	    now_us - w->state_since_us > EJECTION_BACKOFF_RESET_US) {
		w->ejection_backoff = 0;
		w->slow_ejected_us = 0;
	}
	if (reason != REASON_MILDLY_SLOW && reason != REASON_SEVERELY_SLOW)
		w->slow_ejected_us = 0;
	else if (!w->slow_ejected_us)
		w->slow_ejected_us = now_us;
	ejection_us <<= w->ejection_backoff;
	if (w->ejection_backoff < EJECTION_BACKOFF_MAX)
		w->ejection_backoff++;
	health_enter_state(w, HEALTH_UNHEALTHY, now_us);
	w->unreachable = w->connect_timed_out ||
			 (reason == REASON_SILENT &&
			  w->last_answer_us < w->oldest_outstanding_us);
	w->ejected_until_us = now_us + ejection_us;
	w->next_probe_us = w->ejected_until_us;
	w->probe_backoff = 0;
	w->silence_probe = SILENCE_PROBE_NONE;
}

void health_set_severity(struct health_worker *w)
{
	double s;

	if (w->state != HEALTH_UNHEALTHY) {
		w->severity = 0;
		return;
	}
	if (w->connect_refused || w->unreachable)
		s = 255;
	else if (w->recent_failure_share > 0.1)
		s = 100 + 150 * w->recent_failure_share;
	else
		s = 20 * log2(w->latency_ratio > 1.1 ? w->latency_ratio : 1.1);
	w->severity = s < 1 ? 1 : s > 255 ? 255 : (uint8_t)s;
}

/** Slow ones among the last requests, those outstanding first. */
static uint32_t count_slow(uint32_t outstanding, uint32_t bits, uint32_t window)
{
	uint32_t n = outstanding;

	for (uint32_t i = 0; i + outstanding < window; i++)
		n += bits >> i & 1;
	return n;
}

static bool is_suspect(const struct health_worker *w, double latency_ratio,
		       int64_t now_us)
{
	if (w->state == HEALTH_UNHEALTHY)
		return now_us - w->state_since_us < RECENT_EJECTION_US;
	return w->latency_score_total >= SUSPECT_SCORE ||
	       w->failure_score >= SUSPECT_SCORE ||
	       w->latency_ratio >= latency_ratio;
}

/** When the present slowness began: the run of last requests, back from the
 * newest, with the largest sum of steps above the middle. */
static int64_t slow_onset_us(const struct health_worker *w)
{
	uint32_t n = w->recent_count < HEALTH_RECENT_MAX ? w->recent_count :
							   HEALTH_RECENT_MAX;
	double sum = 0;
	double most = 0;
	int64_t first_us = w->oldest_outstanding_us;

	for (uint32_t i = 1; i <= n; i++) {
		uint32_t j = (w->recent_count - i) % HEALTH_RECENT_MAX;

		sum += health_latency_step(w->recent_us[j],
					   w->slow_threshold_us) -
		       ONSET_STEP_OFFSET;
		if (sum > most) {
			most = sum;
			first_us = w->recent_dispatched_us[j];
		}
	}
	return first_us < w->oldest_outstanding_us ? first_us :
						     w->oldest_outstanding_us;
}

/** Ratios of `w`'s requests dispatched since then to its median; returns their
 * number. */
static uint32_t ratios_since(const struct health_worker *w, int64_t since_us,
			     double *ratios)
{
	uint32_t n = w->recent_count < HEALTH_RECENT_MAX ? w->recent_count :
							   HEALTH_RECENT_MAX;
	double median_us = (double)history_quantile_us(&w->history, 50);
	uint32_t count = 0;

	if (median_us <= 0)
		return 0;
	for (uint32_t i = 0; i < n; i++)
		if (w->recent_dispatched_us[i] >= since_us)
			ratios[count++] = (double)w->recent_us[i] / median_us;
	for (uint32_t i = 0; i < w->outstanding_slow; i++)
		ratios[count++] = UNANSWERED_RATIO;
	return count;
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median_of(double *ratios, uint32_t n)
{
	uint32_t middle = n / 2;

	if (!n)
		return 1;
	qsort(ratios, n, sizeof(*ratios), compare_double);
	return ratios[middle];
}

/** Median ratio of the worker's own requests since its onset. */
static double onset_ratio(const struct health_worker *w)
{
	double ratios[HEALTH_RECENT_MAX + HEALTH_OUTSTANDING_MAX];

	return median_of(ratios, ratios_since(w, slow_onset_us(w), ratios));
}

/** True if the peers' requests since then are known to be normally fast. */
static bool peers_are_fast(const struct health_detector *d,
			   const struct health_worker *self, int64_t since_us,
			   uint32_t needed)
{
	double ratios[HEALTH_WORKERS_MAX *
		      (HEALTH_RECENT_MAX + HEALTH_OUTSTANDING_MAX)];
	uint32_t n = 0;
	double most;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *w = &d->workers[i];

		if (w != self && w->state != HEALTH_UNHEALTHY)
			n += ratios_since(w, since_us, ratios + n);
	}
	if (n < needed)
		return false;
	/* Median of n exponential times: 1.44 / sqrt(n) is the deviation of its
	 * logarithm. */
	most = exp(PEER_RATIO_DEVIATIONS * 1.44 / sqrt(n));
	if (most < PEER_RATIO_BOUND_MIN)
		most = PEER_RATIO_BOUND_MIN;
	return median_of(ratios, n) < most;
}

/** True if the peers answer, slowly or not, what they got since then. */
static bool peers_answer(const struct health_detector *d,
			 const struct health_worker *self, int64_t since_us)
{
	uint32_t answered = 0;
	uint32_t quiet = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *w = &d->workers[i];

		if (w == self || w->state == HEALTH_UNHEALTHY)
			continue;
		quiet += w->outstanding_silent;
		for (uint32_t j = 0;
		     j < HEALTH_RECENT_MAX && j < w->recent_count; j++)
			answered += w->recent_dispatched_us[j] >= since_us;
	}
	return answered >= PEER_ANSWERS_MIN && answered > quiet;
}

/** True if the peers' requests since this worker's first failure succeed. */
static bool peers_succeed(const struct health_detector *d,
			  const struct health_worker *self)
{
	uint32_t ended = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *w = &d->workers[i];

		if (w == self || w->state == HEALTH_UNHEALTHY)
			continue;
		for (uint32_t j = 0;
		     j < HEALTH_RECENT_MAX && j < w->ended_count; j++)
			if (w->ended_dispatched_us[j] >=
			    self->failure_first_dispatched_us) {
				ended++;
				bad += w->ended_failed_bits >> j & 1;
			}
	}
	return ended >= PEER_OUTCOMES_MIN &&
	       bad < PEER_FAILURE_SHARE_MAX * ended;
}

/** True if the peers' requests of the same time are known to be normal. */
static bool peers_are_normal(const struct health_detector *d,
			     const struct health_worker *self,
			     enum ejection_reason reason, int64_t now_us)
{
	switch (reason) {
	case REASON_FAILURES:
		return peers_succeed(d, self);
	case REASON_SILENT:
		return peers_answer(d, self, self->oldest_outstanding_us);
	case REASON_MILDLY_SLOW:
		/* In a short window the quick requests have ended and the slow
		 * ones are still outstanding. */
		return peers_are_fast(d, self, now_us - PEER_WINDOW_US,
				      SEVERE_PEER_REQUESTS_MIN) &&
		       peers_are_fast(d, self, slow_onset_us(self),
				      MILD_PEER_REQUESTS_MIN);
	case REASON_SEVERELY_SLOW:
	case REASON_NONE:
		break;
	}
	return peers_are_fast(d, self, slow_onset_us(self),
			      SEVERE_PEER_REQUESTS_MIN);
}

/**
 * True if nearly all peers look bad too, so that the fault is on the way, or,
 * for a short time, if it is not known that their requests of the same time
 * were normal: the first worker to reach its limit is the most extreme of the
 * pool.
 */
static bool must_hold_back(const struct health_detector *d,
			   struct health_worker *self,
			   enum ejection_reason reason, int64_t now_us)
{
	uint32_t others = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *w = &d->workers[i];

		if (w == self ||
		    (w->state == HEALTH_UNHEALTHY &&
		     now_us - w->state_since_us >= RECENT_EJECTION_US))
			continue;
		others++;
		if (is_suspect(w,
			       health_suspect_ratio(d->pool.worker_count - 1),
			       now_us))
			bad++;
	}
	if (!others)
		return false;
	if (bad >= SHARED_SUSPECT_SHARE * others) {
		self->held_back_since_us = now_us;
		self->peers_normal_since_us = 0;
		return true;
	}
	/* A refusal comes from the worker's own VM, not from the way. */
	if (reason == REASON_FAILURES && self->connect_refused)
		return false;
	if (peers_are_normal(d, self, reason, now_us)) {
		if (!self->peers_normal_since_us)
			self->peers_normal_since_us = now_us;
		return reason != REASON_FAILURES && reason != REASON_SILENT &&
		       others <= HEALTH_FEW_PEERS_MAX &&
		       now_us - self->peers_normal_since_us <
			       PEERS_NORMAL_HOLD_US;
	}
	self->peers_normal_since_us = 0;
	if (!self->held_back_since_us)
		self->held_back_since_us = now_us;
	return now_us - self->held_back_since_us < HOLD_BACK_MAX_US;
}

/** Age of a single request from which on the worker is checked. */
static int64_t silence_threshold_us(const struct health_worker *w)
{
	int64_t us = SILENCE_FACTOR * w->slow_threshold_us;

	if (!health_has_history(w))
		us = 4 * w->slow_threshold_us;
	if (us < 2 * w->answered_max_us)
		us = 2 * w->answered_max_us;
	return us > SILENCE_MIN_US ? us : SILENCE_MIN_US;
}

/** Adds the requests outstanding to the score. */
static void score_outstanding(struct health_worker *w, int64_t now_us)
{
	int64_t quiet = silence_threshold_us(w);
	double sum = 0;

	w->outstanding_slow = w->outstanding_very_slow = w->outstanding_silent =
		0;
	w->oldest_outstanding_us = now_us;
	for (uint32_t i = 0; i < w->outstanding_count; i++)
		if (w->outstanding_dispatched_us[i] <
			    w->oldest_outstanding_us &&
		    w->outstanding_dispatched_us[i] > w->evidence_after_us)
			w->oldest_outstanding_us =
				w->outstanding_dispatched_us[i];
	for (uint32_t i = 0; i < w->outstanding_count; i++) {
		int64_t dispatched_us = w->outstanding_dispatched_us[i];
		int64_t until_us = now_us;
		double step;

		if (dispatched_us <= w->evidence_after_us)
			continue;
		w->outstanding_silent += now_us - dispatched_us > quiet;
		/* The present gap between answers counts once, too. */
		if (dispatched_us > w->oldest_outstanding_us &&
		    w->last_answer_us > 0)
			until_us = w->last_answer_us;
		step = health_latency_step(health_wait_without_stall_us(
						   w, dispatched_us, until_us),
					   w->slow_threshold_us);
		if (step < 0)
			continue;
		sum += step;
		w->outstanding_slow++;
		w->outstanding_very_slow += step > HEALTH_STEP_SLOW;
	}
	w->latency_score_total = w->latency_score + sum;
}

int64_t health_probe_timeout_us(const struct health_worker *w)
{
	int64_t t = health_has_history(w) ? 4 * w->slow_threshold_us :
					    HEALTH_DEFAULT_THRESHOLD_US;

	return t > PROBE_TIMEOUT_MIN_US ? t : PROBE_TIMEOUT_MIN_US;
}

void health_fail_silence_probe(struct health_worker *w, int64_t now_us)
{
	w->silence_probe = SILENCE_PROBE_DUE;
	w->silence_probe_since_us = now_us;
	if (++w->silence_probes_failed >= SILENCE_PROBES_FAILED_MAX ||
	    w->outstanding_silent >= SILENT_REQUESTS_MAX)
		eject(w, REASON_SILENT, now_us);
}

/** Silent: blames the worker only once fresh connections fail too. */
static void handle_silence(struct health_worker *w, int64_t now_us)
{
	switch (w->silence_probe) {
	case SILENCE_PROBE_NONE:
		if (w->connection_drops >= CONNECTION_DROPS_MAX) {
			eject(w, REASON_SILENT, now_us);
		} else if (!w->silence_probe_since_us || w->connection_drops ||
			   now_us - w->silence_probe_since_us >
				   SILENCE_PROBE_INTERVAL_US) {
			w->silence_probe = SILENCE_PROBE_DUE;
			w->silence_probe_since_us = now_us;
		}
		break;
	case SILENCE_PROBE_DUE:
		if (now_us - w->silence_probe_since_us >
		    SILENCE_PROBE_WAIT_MAX_US)
			health_fail_silence_probe(w, now_us);
		break;
	case SILENCE_PROBE_SENT:
		if (now_us - w->silence_probe_since_us >
		    health_probe_timeout_us(w))
			health_fail_silence_probe(w, now_us);
		break;
	case SILENCE_PROBE_PASSED:
		/* The worker answers: only the connections are bad. */
		w->silence_probe = SILENCE_PROBE_NONE;
		w->close_silent_us = silence_threshold_us(w);
		w->evidence_after_us = now_us;
		w->latency_score = w->latency_score_answered;
		w->silence_probes_failed = 0;
		w->connection_drops++;
		break;
	}
}

/** Slow requests spread over more time than a pause of the worker lasts. */
static bool outlasts_pause(const struct health_worker *w)
{
	return w->slow_last_dispatched_us - w->slow_first_dispatched_us >=
	       SLOW_SPAN_MIN_US;
}

static bool is_mildly_slow(const struct health_worker *w)
{
	bool scored = w->latency_score_answered >= HEALTH_MILD_SCORE_HIGH &&
		      w->latency_ratio >= MILD_RATIO_LOW;
	bool clear = w->latency_score_answered >= MILD_SCORE_MEDIUM &&
		     w->latency_ratio >= MILD_RATIO_MEDIUM;
	bool plain = w->latency_score_answered >= MILD_SCORE_LOW &&
		     w->latency_ratio >= MILD_RATIO_HIGH;

	return (scored || clear || plain) && outlasts_pause(w) &&
	       count_slow(w->outstanding_slow, w->slow_bits,
			  MILD_WINDOW_REQUESTS) >= MILD_SLOW_REQUESTS;
}

static bool is_severely_slow(const struct health_worker *w)
{
	return w->latency_score_total >= SEVERE_SCORE &&
	       w->latency_score_answered >= SEVERE_SCORE / 2 &&
	       outlasts_pause(w) &&
	       count_slow(w->outstanding_slow, w->slow_bits,
			  SEVERE_WINDOW_REQUESTS) >= SEVERE_SLOW_REQUESTS &&
	       count_slow(w->outstanding_very_slow, w->very_slow_bits,
			  SEVERE_WINDOW_REQUESTS) >=
		       SEVERE_VERY_SLOW_REQUESTS &&
	       onset_ratio(w) >= SEVERE_RATIO;
}

/** What the evidence against a worker amounts to; REASON_NONE: not enough. */
static enum ejection_reason suspected_reason(const struct health_worker *w)
{
	bool trial = w->state == HEALTH_RECOVERING;

	if (w->failure_score >= (trial ? TRIAL_SCORE : FAILURE_SCORE))
		return REASON_FAILURES;
	if (is_severely_slow(w))
		return REASON_SEVERELY_SLOW;
	if (is_mildly_slow(w) ||
	    (trial && w->latency_score_answered >= TRIAL_SCORE))
		return REASON_MILDLY_SLOW;
	return w->outstanding_silent ? REASON_SILENT : REASON_NONE;
}

void health_judge(struct health_detector *d, struct health_worker *w,
		  int64_t now_us)
{
	enum ejection_reason r;

	score_outstanding(w, now_us);
	if (w->state == HEALTH_UNHEALTHY)
		return;
	r = suspected_reason(w);
	if (r != REASON_SILENT && w->silence_probe != SILENCE_PROBE_SENT)
		w->silence_probe = SILENCE_PROBE_NONE;
	if (r == REASON_NONE && w->latency_score_answered < SUSPECT_SCORE)
		w->held_back_since_us = w->peers_normal_since_us = 0;
	if (r == REASON_NONE)
		return;
	if (must_hold_back(d, w, r, now_us))
		return;

	if (r == REASON_SILENT)
		handle_silence(w, now_us);
	else
		eject(w, r, now_us);
}
