/**
 * @file
 * Decides which workers to eject, by comparison with their own history and
 * with their peers.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/*
 * Scores from which on a worker is ejected. A high latency score may come from
 * a few extreme requests, so some of the last requests must be slow too, and
 * the recent median must be above the history's median by a ratio.
 */
#define SEVERE_SCORE 12.0
#define SEVERE_WINDOW_REQUESTS 4
#define SEVERE_SLOW_REQUESTS 3
#define SEVERE_VERY_SLOW_REQUESTS 2
#define MILD_WINDOW_REQUESTS 8
#define MILD_SLOW_REQUESTS 3
/* Three pairs: the larger the ratio, the lower the score that suffices. */
#define MILD_RATIO_LOW 1.5 /* with HEALTH_MILD_SCORE_HIGH */
#define MILD_RATIO_MEDIUM 1.8
#define MILD_SCORE_MEDIUM 11.0
#define MILD_RATIO_HIGH 2.5
#define MILD_SCORE_LOW 9.5
/** Of all requests since the onset of the slowness. */
#define SEVERE_RATIO 4.0
/** The slow requests must have been dispatched over at least this time: a
 * shorter pause of the worker (garbage collection, disk) delays all its slots
 * at once but is not a fault. */
#define SLOW_SPAN_MIN_US (500 * US_PER_MS)
#define FAILURE_SCORE 17.0
/** A request outstanding for this many slow thresholds is silent. One is enough
 * for a silence probe: a home that prefers idle workers sends a silent worker
 * no second request. */
#define SILENCE_FACTOR 6
#define SILENCE_MIN_US (300 * US_PER_MS)
/** Least time between silence probes while no connections were dropped. */
#define SILENCE_PROBE_INTERVAL_US US_PER_S
/** Failed silence probes in a row that eject a worker; one is enough if
 * SILENT_REQUESTS_MAX requests are silent. */
#define SILENCE_PROBES_FAILED_MAX 2
#define SILENT_REQUESTS_MAX 3
/** Connection drops in a row that eject a worker whose probes pass: it answers
 * probes but no requests. */
#define CONNECTION_DROPS_MAX 3
#define PROBE_TIMEOUT_MIN_US (250 * US_PER_MS)
/** A silence probe not sent within this time counts as failed. */
#define SILENCE_PROBE_WAIT_MAX_US US_PER_S
/** Share of suspect peers from which on the fault is taken to be on the network
 * path or on this host. */
#define SHARED_SUSPECT_SHARE 0.75
/** Requests of the peers that are needed to tell that the peers are fast. */
#define SEVERE_PEER_REQUESTS_MIN 10
#define MILD_PEER_REQUESTS_MIN 24
#define PEER_ANSWERS_MIN 3
/** The peers are as fast as usual while their median ratio is less than this
 * many standard deviations above 1; the bound is at least PEER_RATIO_BOUND_MIN.
 */
#define PEER_RATIO_DEVIATIONS 1.2
#define PEER_RATIO_BOUND_MIN 1.25
#define PEER_WINDOW_US (2 * US_PER_S)
#define PEER_OUTCOMES_MIN 5
#define PEER_FAILURE_SHARE_MAX 0.25
/** Stands for the latency ratio of a slow request that is outstanding. */
#define UNANSWERED_RATIO 100.0
/** Subtracted from each step in the search for the onset of slowness, so that
 * normal requests lower the sum and slow ones raise it. */
#define ONSET_STEP_OFFSET 0.3
/** How long an ejection waits until the peers are known to be normal. */
#define HOLD_BACK_MAX_US (3 * US_PER_S)
/** Latency or failure score from which on a worker is suspect. */
#define SUSPECT_SCORE 3.0
/** Few peers must have been normal for this long: they often look normal by
 * chance at a single moment. */
#define PEERS_NORMAL_HOLD_US (400 * US_PER_MS)
/** An ejected worker counts as a suspect peer for this long. */
#define RECENT_EJECTION_US (10 * US_PER_S)
/** First ejection time; it doubles with each ejection, EJECTION_BACKOFF_MAX
 * times at most, until the worker has been in service for
 * EJECTION_BACKOFF_RESET_US. */
#define EJECTION_BASE_US (5 * US_PER_S)
/** First ejection time of a worker that refuses connections. */
#define EJECTION_REFUSED_US US_PER_S
#define EJECTION_BACKOFF_MAX 6
#define EJECTION_BACKOFF_RESET_US (120 * US_PER_S)
/** Latency or failure score that ejects a worker on trial or ramp again. */
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
	double severity;

	if (w->state != HEALTH_UNHEALTHY) {
		w->severity = 0;
		return;
	}
	if (w->connect_refused || w->unreachable)
		severity = 255;
	else if (w->recent_failure_share > 0.1)
		severity = 100 + 150 * w->recent_failure_share;
	else
		severity = 20 * log2(w->latency_ratio > 1.1 ? w->latency_ratio :
							      1.1);
	w->severity = severity < 1   ? 1 :
		      severity > 255 ? 255 :
				       (uint8_t)severity;
}

/** Slow requests among the last `window` ones; the `outstanding` slow ones
 * count as the latest. */
static uint32_t count_slow(uint32_t outstanding, uint32_t slow_bits,
			   uint32_t window)
{
	uint32_t n = outstanding;

	for (uint32_t i = 0; i + outstanding < window; i++)
		n += slow_bits >> i & 1;
	return n;
}

/** True if the worker looks like an outlier, by weaker criteria than for an
 * ejection, or was ejected recently. */
static bool is_suspect(const struct health_worker *w, double suspect_ratio,
		       int64_t now_us)
{
	if (w->state == HEALTH_UNHEALTHY)
		return now_us - w->state_since_us < RECENT_EJECTION_US;
	return w->latency_score_total >= SUSPECT_SCORE ||
	       w->failure_score >= SUSPECT_SCORE ||
	       w->latency_ratio >= suspect_ratio;
}

/** Dispatch of the request with which the present slowness began: the start of
 * the run of last requests, up to the newest, with the largest sum of steps
 * less ONSET_STEP_OFFSET (the change point of a CUSUM test). */
static int64_t slow_onset_us(const struct health_worker *w)
{
	uint32_t n = w->recent_count < HEALTH_RECENT_MAX ? w->recent_count :
							   HEALTH_RECENT_MAX;
	double sum = 0;
	double max_sum = 0;
	int64_t onset_us = w->oldest_outstanding_us;

	for (uint32_t i = 1; i <= n; i++) {
		uint32_t j = (w->recent_count - i) % HEALTH_RECENT_MAX;

		sum += health_latency_step(w->recent_us[j],
					   w->slow_threshold_us) -
		       ONSET_STEP_OFFSET;
		if (sum > max_sum) {
			max_sum = sum;
			onset_us = w->recent_dispatched_us[j];
		}
	}
	return onset_us < w->oldest_outstanding_us ? onset_us :
						     w->oldest_outstanding_us;
}

/** Latencies of the worker's requests dispatched since `since_us`, each divided
 * by its history's median; UNANSWERED_RATIO for each slow outstanding one.
 * Returns their number. */
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

/** Median latency ratio of the worker since the onset of its slowness. */
static double onset_ratio(const struct health_worker *w)
{
	double ratios[HEALTH_RECENT_MAX + HEALTH_OUTSTANDING_MAX];

	return median_of(ratios, ratios_since(w, slow_onset_us(w), ratios));
}

/** True if the peers' requests dispatched since `since_us`, at least `needed`,
 * are as fast as usual. */
static bool peers_are_fast(const struct health_detector *d,
			   const struct health_worker *w, int64_t since_us,
			   uint32_t needed)
{
	double ratios[HEALTH_WORKERS_MAX *
		      (HEALTH_RECENT_MAX + HEALTH_OUTSTANDING_MAX)];
	uint32_t n = 0;
	double bound;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *peer = &d->workers[i];

		if (peer != w && peer->state != HEALTH_UNHEALTHY)
			n += ratios_since(peer, since_us, ratios + n);
	}
	if (n < needed)
		return false;
	/* 1.44 / sqrt(n) is the standard deviation of the logarithm of the
	 * median of n exponentially distributed times. */
	bound = exp(PEER_RATIO_DEVIATIONS * 1.44 / sqrt(n));
	if (bound < PEER_RATIO_BOUND_MIN)
		bound = PEER_RATIO_BOUND_MIN;
	return median_of(ratios, n) < bound;
}

/** True if the peers answer requests since `since_us`, slowly or not. */
static bool peers_answer(const struct health_detector *d,
			 const struct health_worker *w, int64_t since_us)
{
	uint32_t answered = 0;
	uint32_t silent = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *peer = &d->workers[i];

		if (peer == w || peer->state == HEALTH_UNHEALTHY)
			continue;
		silent += peer->outstanding_silent;
		for (uint32_t j = 0;
		     j < HEALTH_RECENT_MAX && j < peer->recent_count; j++)
			answered += peer->recent_dispatched_us[j] >= since_us;
	}
	return answered >= PEER_ANSWERS_MIN && answered > silent;
}

/** True if the peers' requests since the worker's first failure succeed. */
static bool peers_succeed(const struct health_detector *d,
			  const struct health_worker *w)
{
	uint32_t ended = 0;
	uint32_t failed = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *peer = &d->workers[i];

		if (peer == w || peer->state == HEALTH_UNHEALTHY)
			continue;
		for (uint32_t j = 0;
		     j < HEALTH_RECENT_MAX && j < peer->ended_count; j++)
			if (peer->ended_dispatched_us[j] >=
			    w->failure_first_dispatched_us) {
				ended++;
				failed += peer->ended_failed_bits >> j & 1;
			}
	}
	return ended >= PEER_OUTCOMES_MIN &&
	       failed < PEER_FAILURE_SHARE_MAX * ended;
}

/** True if the peers' requests of the same time are known to be normal in what
 * the worker is suspected of. */
static bool peers_are_normal(const struct health_detector *d,
			     const struct health_worker *w,
			     enum ejection_reason reason, int64_t now_us)
{
	switch (reason) {
	case REASON_FAILURES:
		return peers_succeed(d, w);
	case REASON_SILENT:
		return peers_answer(d, w, w->oldest_outstanding_us);
	case REASON_MILDLY_SLOW:
		/* In a short window the fast requests have ended and the slow
		 * ones are outstanding, so both a fixed window and the time
		 * since the onset must be normal. */
		return peers_are_fast(d, w, now_us - PEER_WINDOW_US,
				      SEVERE_PEER_REQUESTS_MIN) &&
		       peers_are_fast(d, w, slow_onset_us(w),
				      MILD_PEER_REQUESTS_MIN);
	case REASON_SEVERELY_SLOW:
	case REASON_NONE:
		break;
	}
	return peers_are_fast(d, w, slow_onset_us(w), SEVERE_PEER_REQUESTS_MIN);
}

/**
 * True if the suspected worker must not be ejected now: nearly all peers are
 * suspect too, so the network path or this host is at fault. Also true, for a
 * limited time, until the peers' requests of the same time are known to be
 * normal: in a shared slowdown the first worker to reach its threshold is only
 * the most extreme of the pool.
 */
static bool must_hold_back(const struct health_detector *d,
			   struct health_worker *w, enum ejection_reason reason,
			   int64_t now_us)
{
	uint32_t peers = 0;
	uint32_t suspects = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *peer = &d->workers[i];

		if (peer == w ||
		    (peer->state == HEALTH_UNHEALTHY &&
		     now_us - peer->state_since_us >= RECENT_EJECTION_US))
			continue;
		peers++;
		if (is_suspect(peer,
			       health_suspect_ratio(d->pool.worker_count - 1),
			       now_us))
			suspects++;
	}
	if (!peers)
		return false;
	if (suspects >= SHARED_SUSPECT_SHARE * peers) {
		w->held_back_since_us = now_us;
		w->peers_normal_since_us = 0;
		return true;
	}
	/* The refusal was sent by the worker's own VM, so the network path is
	 * not at fault. */
	if (reason == REASON_FAILURES && w->connect_refused)
		return false;
	if (peers_are_normal(d, w, reason, now_us)) {
		if (!w->peers_normal_since_us)
			w->peers_normal_since_us = now_us;
		return reason != REASON_FAILURES && reason != REASON_SILENT &&
		       peers <= HEALTH_FEW_PEERS_MAX &&
		       now_us - w->peers_normal_since_us < PEERS_NORMAL_HOLD_US;
	}
	w->peers_normal_since_us = 0;
	if (!w->held_back_since_us)
		w->held_back_since_us = now_us;
	return now_us - w->held_back_since_us < HOLD_BACK_MAX_US;
}

/** A request outstanding for longer than this is silent. */
static int64_t silence_threshold_us(const struct health_worker *w)
{
	int64_t us = SILENCE_FACTOR * w->slow_threshold_us;

	if (!health_has_history(w))
		us = 4 * w->slow_threshold_us;
	if (us < 2 * w->answered_max_us)
		us = 2 * w->answered_max_us;
	return us > SILENCE_MIN_US ? us : SILENCE_MIN_US;
}

/** Counts the slow and silent requests that are outstanding, and adds their
 * steps to the latency score. */
static void score_outstanding(struct health_worker *w, int64_t now_us)
{
	int64_t silence_us = silence_threshold_us(w);
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
		w->outstanding_silent += now_us - dispatched_us > silence_us;
		/* The time since the last answer counts only for the oldest
		 * request, like a stall that has ended. */
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
	int64_t us = health_has_history(w) ? 4 * w->slow_threshold_us :
					     HEALTH_DEFAULT_THRESHOLD_US;

	return us > PROBE_TIMEOUT_MIN_US ? us : PROBE_TIMEOUT_MIN_US;
}

void health_fail_silence_probe(struct health_worker *w, int64_t now_us)
{
	w->silence_probe = SILENCE_PROBE_DUE;
	w->silence_probe_since_us = now_us;
	if (++w->silence_probes_failed >= SILENCE_PROBES_FAILED_MAX ||
	    w->outstanding_silent >= SILENT_REQUESTS_MAX)
		eject(w, REASON_SILENT, now_us);
}

/** Handles a worker with silent requests: probes it on a new connection, and
 * ejects it only if that fails too or if dropping the old connections does not
 * help. */
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
		/* The worker answers on new connections: drops the old ones. */
		w->silence_probe = SILENCE_PROBE_NONE;
		w->close_silent_us = silence_threshold_us(w);
		w->evidence_after_us = now_us;
		w->latency_score = w->latency_score_answered;
		w->silence_probes_failed = 0;
		w->connection_drops++;
		break;
	}
}

/** True if the slow requests were dispatched over more time than a pause of the
 * worker lasts. */
static bool outlasts_pause(const struct health_worker *w)
{
	return w->slow_last_dispatched_us - w->slow_first_dispatched_us >=
	       SLOW_SPAN_MIN_US;
}

static bool is_mildly_slow(const struct health_worker *w)
{
	bool low_ratio = w->latency_score_answered >= HEALTH_MILD_SCORE_HIGH &&
			 w->latency_ratio >= MILD_RATIO_LOW;
	bool medium_ratio = w->latency_score_answered >= MILD_SCORE_MEDIUM &&
			    w->latency_ratio >= MILD_RATIO_MEDIUM;
	bool high_ratio = w->latency_score_answered >= MILD_SCORE_LOW &&
			  w->latency_ratio >= MILD_RATIO_HIGH;

	return (low_ratio || medium_ratio || high_ratio) && outlasts_pause(w) &&
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

/** What the worker is suspected of by its own evidence, peers left aside. */
static enum ejection_reason suspected_reason(const struct health_worker *w)
{
	bool on_trial = w->state == HEALTH_RECOVERING;

	if (w->failure_score >= (on_trial ? TRIAL_SCORE : FAILURE_SCORE))
		return REASON_FAILURES;
	if (is_severely_slow(w))
		return REASON_SEVERELY_SLOW;
	if (is_mildly_slow(w) ||
	    (on_trial && w->latency_score_answered >= TRIAL_SCORE))
		return REASON_MILDLY_SLOW;
	return w->outstanding_silent ? REASON_SILENT : REASON_NONE;
}

void health_judge(struct health_detector *d, struct health_worker *w,
		  int64_t now_us)
{
	enum ejection_reason reason;

	score_outstanding(w, now_us);
	if (w->state == HEALTH_UNHEALTHY)
		return;
	reason = suspected_reason(w);
	if (reason != REASON_SILENT && w->silence_probe != SILENCE_PROBE_SENT)
		w->silence_probe = SILENCE_PROBE_NONE;
	if (reason == REASON_NONE && w->latency_score_answered < SUSPECT_SCORE)
		w->held_back_since_us = w->peers_normal_since_us = 0;
	if (reason == REASON_NONE)
		return;
	if (must_hold_back(d, w, reason, now_us))
		return;

	if (reason == REASON_SILENT)
		handle_silence(w, now_us);
	else
		eject(w, reason, now_us);
}
