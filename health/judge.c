/**
 * @file
 * Decides which workers to eject. A worker is suspected by comparison with its
 * own history, and ejected if its peers are normal at the same time.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/*
 * Criteria for the ejection of severely and mildly slow workers. A few extreme
 * requests can make a high latency score, so the score alone does not suffice:
 * some of the last (WINDOW) requests must be slow, and the median of the recent
 * latencies must exceed that of the history by a ratio.
 */
#define SEVERE_SCORE 12.0
#define SEVERE_WINDOW_REQUESTS 4
#define SEVERE_SLOW_REQUESTS 3
#define SEVERE_VERY_SLOW_REQUESTS 2
#define MILD_WINDOW_REQUESTS 8
#define MILD_SLOW_REQUESTS 3
/* A mildly slow worker reaches one of three pairs of latency ratio and latency
 * score: the larger the ratio, the lower the score. */
#define MILD_RATIO_LOW 1.5 /* with HEALTH_MILD_SCORE_HIGH */
#define MILD_RATIO_MEDIUM 1.8
#define MILD_SCORE_MEDIUM 11.0
#define MILD_RATIO_HIGH 2.5
#define MILD_SCORE_LOW 9.5
/** Least onset_ratio() of a severely slow worker. */
#define SEVERE_RATIO 4.0
/** The slow requests must have been dispatched over at least this time: a
 * shorter pause of the worker (garbage collection, disk) delays all its slots
 * at once but is not a fault. */
#define SLOW_SPAN_MIN_US (500 * US_PER_MS)
/** Failure score that ejects a worker. */
#define FAILURE_SCORE 17.0
/** A request outstanding for this many slow thresholds is silent (see
 * silence_threshold_us()). One silent request is enough for a silence probe: a
 * home that prefers idle workers sends a silent worker no second request. */
#define SILENCE_FACTOR 6
#define SILENCE_MIN_US (300 * US_PER_MS)
/** Least time between silence probes while no connections were dropped. */
#define SILENCE_PROBE_INTERVAL_US US_PER_S
/** Failed silence probes in a row that eject a worker; one is enough if
 * EJECT_SILENT_REQUESTS requests are silent. */
#define EJECT_SILENCE_PROBES_FAILED 2
#define EJECT_SILENT_REQUESTS 3
/** Connection drops in a row that eject a worker whose probes pass: it answers
 * probes but no requests. */
#define EJECT_CONNECTION_DROPS 3
/** Least timeout of a probe. */
#define PROBE_TIMEOUT_MIN_US (250 * US_PER_MS)
/** A silence probe not sent within this time counts as failed. */
#define SILENCE_PROBE_WAIT_MAX_US US_PER_S
/** With this share of its peers suspect, a worker is not ejected: the fault is
 * taken to be on the network path or on this host. */
#define SHARED_SUSPECT_SHARE 0.75
/** Least number of requests of the peers for peers_are_fast(), when the worker
 * is severely or mildly slow. */
#define SEVERE_PEER_REQUESTS_MIN 10
#define MILD_PEER_REQUESTS_MIN 24
/** Least number of answers of the peers for peers_answer(). */
#define PEER_ANSWERS_MIN 3
/** The peers are as fast as usual while the median of their latency ratios is
 * less than this many standard deviations above 1, or less than
 * PEER_RATIO_BOUND_MIN if that is more. */
#define PEER_RATIO_DEVIATIONS 1.2
#define PEER_RATIO_BOUND_MIN 1.25
/** The peers of a mildly slow worker must also have been fast over this last
 * time. */
#define PEER_WINDOW_US (2 * US_PER_S)
/** The peers succeed if at least PEER_OUTCOMES_MIN of their requests have ended
 * and less than PEER_FAILURE_SHARE_MAX of these failed. */
#define PEER_OUTCOMES_MIN 5
#define PEER_FAILURE_SHARE_MAX 0.25
/** Latency ratio assumed for a slow outstanding request, whose latency is not
 * yet known: larger than all ratios that decide. */
#define UNANSWERED_RATIO 100.0
/** Subtracted from each step in slow_onset_us(): normal requests lower the
 * sum, and slow ones still raise it. */
#define ONSET_STEP_OFFSET 0.3
/** Longest time that an ejection is delayed because the peers are not known to
 * be normal. */
#define HOLD_BACK_MAX_US (3 * US_PER_S)
/** Latency or failure score that makes a worker suspect. */
#define SUSPECT_SCORE 3.0
/** HEALTH_FEW_PEERS_MAX peers or fewer must have been normal for this long: at
 * a single moment so few often look normal by chance. */
#define PEERS_NORMAL_HOLD_US (400 * US_PER_MS)
/** An ejected worker counts as a suspect peer for this long. */
#define RECENT_EJECTION_US (10 * US_PER_S)
/** Length of the first ejection; it doubles with each further ejection,
 * EJECTION_BACKOFF_MAX times at most, until the worker has been in service for
 * EJECTION_BACKOFF_RESET_US. */
#define EJECTION_FIRST_US (5 * US_PER_S)
/** Same, for a worker that refuses connections. */
#define EJECTION_FIRST_REFUSED_US US_PER_S
#define EJECTION_BACKOFF_MAX 6
#define EJECTION_BACKOFF_RESET_US (120 * US_PER_S)
/** Latency or failure score that ejects a worker in HEALTH_RECOVERING again. */
#define TRIAL_SCORE (SEVERE_SCORE / 2)

/** Ejects the worker; computes for how long. */
static void eject(struct health_worker *w, enum ejection_reason reason,
		  int64_t now_us)
{
	int64_t ejection_us = w->connect_refused ? EJECTION_FIRST_REFUSED_US :
						   EJECTION_FIRST_US;

	if (w->state == HEALTH_OK &&
	    now_us - w->state_since_us > EJECTION_BACKOFF_RESET_US) {
		w->ejection_backoff = 0;
		w->slow_ejections_since_us = 0;
	}
	if (reason != REASON_MILDLY_SLOW && reason != REASON_SEVERELY_SLOW)
		w->slow_ejections_since_us = 0;
	else if (!w->slow_ejections_since_us)
		w->slow_ejections_since_us = now_us;
	ejection_us <<= w->ejection_backoff;
	if (w->ejection_backoff < EJECTION_BACKOFF_MAX)
		w->ejection_backoff++;
	health_enter_state(w, HEALTH_UNHEALTHY, now_us);
	/* No connection opened, or no answer arrived since the oldest
	 * outstanding request was sent. */
	w->unreachable = w->connect_timed_out ||
			 (reason == REASON_SILENT &&
			  w->last_answer_us < w->oldest_outstanding_us);
	w->ejected_until_us = now_us + ejection_us;
	w->next_probe_us = w->ejected_until_us;
	w->probe_backoff = 0;
	w->silence_probe = SILENCE_PROBE_NONE;
}

/* 255 if the worker refuses connections or cannot be reached; 100 plus 150
 * times the share of its recent failures if that exceeds 10 %; otherwise 20 for
 * each doubling of its latency. */
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

/** Returns the number of slow requests among the last `window` ones. The
 * `outstanding` slow requests count as the latest; if there are more than
 * `window`, all of them are counted. */
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

/** Returns the time of dispatch of the request with which the present slowness
 * began: of all runs of requests that end with the newest, the first request of
 * that with the largest sum of steps, each less ONSET_STEP_OFFSET (the change
 * point of a CUSUM test). */
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

/** Writes the latency ratios of the worker's requests dispatched since
 * `since_us` (latency divided by the median of the worker's history), and
 * UNANSWERED_RATIO for each slow outstanding request. Returns the number of
 * ratios. */
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
	for (uint32_t i = 0; i < w->outstanding_slow_count; i++)
		ratios[count++] = UNANSWERED_RATIO;
	return count;
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/** Sorts the ratios and returns their median; 1 if there are none. */
static double median_of(double *ratios, uint32_t n)
{
	uint32_t middle = n / 2;

	if (!n)
		return 1;
	qsort(ratios, n, sizeof(*ratios), compare_double);
	return ratios[middle];
}

/** Returns the median latency ratio of the worker's requests since the onset of
 * its slowness. */
static double onset_ratio(const struct health_worker *w)
{
	double ratios[HEALTH_RECENT_MAX + HEALTH_OUTSTANDING_MAX];

	return median_of(ratios, ratios_since(w, slow_onset_us(w), ratios));
}

/** True if the peers had at least `needed` requests dispatched since
 * `since_us`, and these were as fast as usual. */
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
	/* The median of n exponentially distributed times has a logarithm with
	 * a standard deviation of 1.44 / sqrt(n). */
	bound = exp(PEER_RATIO_DEVIATIONS * 1.44 / sqrt(n));
	if (bound < PEER_RATIO_BOUND_MIN)
		bound = PEER_RATIO_BOUND_MIN;
	return median_of(ratios, n) < bound;
}

/** True if the peers answered enough of the requests dispatched since
 * `since_us`, slowly or not, and more than are silent. */
static bool peers_answer(const struct health_detector *d,
			 const struct health_worker *w, int64_t since_us)
{
	uint32_t answered = 0;
	uint32_t silent = 0;

	for (uint32_t i = 0; i < d->pool.worker_count; i++) {
		const struct health_worker *peer = &d->workers[i];

		if (peer == w || peer->state == HEALTH_UNHEALTHY)
			continue;
		silent += peer->outstanding_silent_count;
		for (uint32_t j = 0;
		     j < HEALTH_RECENT_MAX && j < peer->recent_count; j++)
			answered += peer->recent_dispatched_us[j] >= since_us;
	}
	return answered >= PEER_ANSWERS_MIN && answered > silent;
}

/** True if enough of the peers' requests dispatched since the worker's first
 * failure succeeded. */
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

/** True if the peers' requests of the same time show that the peers do not have
 * the fault that the worker is suspected of (`reason`). */
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
		/* Of requests dispatched a short time ago only the fast ones
		 * have ended. The onset may be that recent, so the peers must
		 * be fast both since the onset and over a fixed window. */
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
 * True if the suspected worker must not be ejected now, for one of two reasons.
 * At least SHARED_SUSPECT_SHARE of the peers are suspect too, so the network
 * path or this host is at fault. Or, for at most HOLD_BACK_MAX_US, the peers
 * are not yet known to be normal, or few peers (HEALTH_FEW_PEERS_MAX) not yet
 * for PEERS_NORMAL_HOLD_US: in a slowdown of all workers the first one to reach
 * the criteria for an ejection is only the one whose requests happened to be
 * the slowest.
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
	/* The VM of the worker itself refused the connection, so the network
	 * path is not at fault. */
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

/** Returns the time above which an outstanding request is silent:
 * SILENCE_FACTOR slow thresholds, or 4 without enough history; at least
 * SILENCE_MIN_US and twice the longest answered latency. */
static int64_t silence_threshold_us(const struct health_worker *w)
{
	int64_t us = SILENCE_FACTOR * w->slow_threshold_us;

	if (!health_has_history(w))
		us = 4 * w->slow_threshold_us;
	if (us < 2 * w->answered_max_us)
		us = 2 * w->answered_max_us;
	return us > SILENCE_MIN_US ? us : SILENCE_MIN_US;
}

/** Counts the slow and silent outstanding requests, and sets
 * latency_score_total to the latency score plus the steps of the slow ones. */
static void score_outstanding(struct health_worker *w, int64_t now_us)
{
	int64_t silence_us = silence_threshold_us(w);
	double sum = 0;

	w->outstanding_slow_count = w->outstanding_very_slow_count =
		w->outstanding_silent_count = 0;
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
		w->outstanding_silent_count +=
			now_us - dispatched_us > silence_us;
		/* The time since the last answer counts only for the oldest
		 * request, as health_wait_without_stall_us() counts a stall
		 * that has ended only once. */
		if (dispatched_us > w->oldest_outstanding_us &&
		    w->last_answer_us > 0)
			until_us = w->last_answer_us;
		step = health_latency_step(health_wait_without_stall_us(
						   w, dispatched_us, until_us),
					   w->slow_threshold_us);
		if (step < 0)
			continue;
		sum += step;
		w->outstanding_slow_count++;
		w->outstanding_very_slow_count += step > HEALTH_STEP_SLOW;
	}
	w->latency_score_total = w->latency_score + sum;
}

int64_t health_probe_timeout_us(const struct health_worker *w)
{
	int64_t us = health_has_history(w) ? 4 * w->slow_threshold_us :
					     HEALTH_NO_HISTORY_THRESHOLD_MIN_US;

	return us > PROBE_TIMEOUT_MIN_US ? us : PROBE_TIMEOUT_MIN_US;
}

void health_fail_silence_probe(struct health_worker *w, int64_t now_us)
{
	w->silence_probe = SILENCE_PROBE_DUE;
	w->silence_probe_since_us = now_us;
	if (++w->silence_probes_failed >= EJECT_SILENCE_PROBES_FAILED ||
	    w->outstanding_silent_count >= EJECT_SILENT_REQUESTS)
		eject(w, REASON_SILENT, now_us);
}

/** Handles a worker with silent requests: requests a silence probe, and ejects
 * the worker only if such probes fail too or if requests stay silent after
 * EJECT_CONNECTION_DROPS connection drops. */
static void handle_silence(struct health_worker *w, int64_t now_us)
{
	switch (w->silence_probe) {
	case SILENCE_PROBE_NONE:
		if (w->connection_drops >= EJECT_CONNECTION_DROPS) {
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
		/* The worker answers on new connections, so the silent ones are
		 * closed. */
		w->silence_probe = SILENCE_PROBE_NONE;
		w->connection_drop_age_us = silence_threshold_us(w);
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
	       count_slow(w->outstanding_slow_count, w->slow_bits,
			  MILD_WINDOW_REQUESTS) >= MILD_SLOW_REQUESTS;
}

static bool is_severely_slow(const struct health_worker *w)
{
	return w->latency_score_total >= SEVERE_SCORE &&
	       w->latency_score_answered >= SEVERE_SCORE / 2 &&
	       outlasts_pause(w) &&
	       count_slow(w->outstanding_slow_count, w->slow_bits,
			  SEVERE_WINDOW_REQUESTS) >= SEVERE_SLOW_REQUESTS &&
	       count_slow(w->outstanding_very_slow_count, w->very_slow_bits,
			  SEVERE_WINDOW_REQUESTS) >=
		       SEVERE_VERY_SLOW_REQUESTS &&
	       onset_ratio(w) >= SEVERE_RATIO;
}

/** Returns what the worker is suspected of by its own requests, without regard
 * to its peers. */
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
	return w->outstanding_silent_count ? REASON_SILENT : REASON_NONE;
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
