/**
 * @file
 * Judgement: which worker is unhealthy, compared with its own history and its
 * peers.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

#define LIMIT_SEVERE 12.0
/** A sum of a few extreme requests is not a slow worker: most of the last
 * requests, or the recent median, must be slow too. */
#define SEVERE_WINDOW 4
#define SEVERE_SLOW 3
#define SEVERE_SLOWER 2
#define MILD_WINDOW 8
#define MILD_SLOW 3
#define RATIO_MILD 1.5
#define RATIO_CLEAR 1.8
#define LIMIT_CLEAR 11.0 /* if the recent median is above RATIO_CLEAR */
#define RATIO_PLAIN 2.5
#define LIMIT_PLAIN 9.5 /* if it is above RATIO_PLAIN */
#define RATIO_SEVERE 4.0
/** A pause of the worker (garbage collection, disk) shorter than this delays
 * all its slots at once but is not a fault: the slow requests must have been
 * dispatched over a longer time. */
#define SPAN_MIN_US (500 * US_PER_MS)
#define LIMIT_FAULT 17.0
/** One request outstanding for longer than this asks for a fresh connection:
 * a home that prefers idle workers sends no second one to a silent worker. */
#define QUIET_FACTOR 6
#define QUIET_MIN_US (300 * US_PER_MS)
#define CHECK_GAP_US US_PER_S
#define CHECKS_FAILED_MAX 2
#define QUIET_MANY 3
#define DROPS_MAX 3
#define PROBE_LIMIT_MIN_US (250 * US_PER_MS)
#define CHECK_WAIT_MAX_US US_PER_S
/** Share of the others that look bad from which on the observer suspects
 * itself. */
#define SHARED_SHARE 0.75
/** Requests of the peers that are compared before a worker is blamed. */
#define PEER_REQUESTS_SEVERE 10
#define PEER_REQUESTS_MILD 24
#define PEER_ANSWERS 3
#define PEER_DEVIATIONS 1.2
#define PEER_RATIO_MIN 1.25
#define PEER_WINDOW_US (2 * US_PER_S)
#define PEER_ENDED 5
#define PEER_BAD_SHARE 0.25
#define RATIO_UNANSWERED 100.0
#define ONSET_STEP 0.3
#define SHARED_WAIT_US (3 * US_PER_S)
#define LOOKS_BAD_SCORE 3.0
/** So long few peers must stay normal; a single look is too often luck. */
#define NORMAL_HOLD_US (400 * US_PER_MS)
#define RECENT_EJECTION_US (10 * US_PER_S)
#define OUT_BASE_US (5 * US_PER_S)
#define OUT_REFUSED_US US_PER_S
#define FLAPS_MAX 6
#define FLAP_FORGET_US (120 * US_PER_S)
#define TRIAL_LIMIT (LIMIT_SEVERE / 2)

static void eject(struct evidence_worker *w, enum evidence_reason reason,
		  int64_t now_us)
{
	int64_t out_us = w->refused ? OUT_REFUSED_US : OUT_BASE_US;

	if (w->state == HEALTH_OK && now_us - w->state_us > FLAP_FORGET_US) {
		w->flaps = 0;
		w->slow_out_us = 0;
	}
	if (reason != REASON_SLOW && reason != REASON_VERY_SLOW)
		w->slow_out_us = 0;
	else if (!w->slow_out_us)
		w->slow_out_us = now_us;
	out_us <<= w->flaps;
	if (w->flaps < FLAPS_MAX)
		w->flaps++;
	evidence_enter(w, HEALTH_UNHEALTHY, now_us);
	w->unreachable = w->no_connection || (reason == REASON_SILENT &&
					      w->answer_us < w->oldest_us);
	w->out_until_us = now_us + out_us;
	w->probe_at_us = w->out_until_us;
	w->probe_backoff = 0;
	w->check = CHECK_NONE;
}

void evidence_set_severity(struct evidence_worker *w)
{
	double s;

	if (w->state != HEALTH_UNHEALTHY) {
		w->severity = 0;
		return;
	}
	if (w->refused || w->unreachable)
		s = 255;
	else if (w->bad_share > 0.1)
		s = 100 + 150 * w->bad_share;
	else
		s = 20 * log2(w->ratio > 1.1 ? w->ratio : 1.1);
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

static bool looks_bad(const struct evidence_worker *w, double ratio,
		      int64_t now_us)
{
	if (w->state == HEALTH_UNHEALTHY)
		return now_us - w->state_us < RECENT_EJECTION_US;
	return w->slow_total >= LOOKS_BAD_SCORE ||
	       w->fault >= LOOKS_BAD_SCORE || w->ratio >= ratio;
}

/** When the present slowness began: the run of last requests, back from the
 * newest, with the largest sum of steps above the middle. */
static int64_t onset_us(const struct evidence_worker *w)
{
	uint32_t n = w->recent_count < EVIDENCE_RECENT ? w->recent_count :
							 EVIDENCE_RECENT;
	double sum = 0;
	double most = 0;
	int64_t first_us = w->oldest_us;

	for (uint32_t i = 1; i <= n; i++) {
		uint32_t j = (w->recent_count - i) % EVIDENCE_RECENT;

		sum += evidence_slow_step(w->recent_us[j], w->limit_us) -
		       ONSET_STEP;
		if (sum > most) {
			most = sum;
			first_us = w->recent_at_us[j];
		}
	}
	return first_us < w->oldest_us ? first_us : w->oldest_us;
}

/** Ratios of `w`'s requests dispatched since then to its median; returns their
 * number. */
static uint32_t ratios_since(const struct evidence_worker *w, int64_t since_us,
			     double *ratios)
{
	uint32_t n = w->recent_count < EVIDENCE_RECENT ? w->recent_count :
							 EVIDENCE_RECENT;
	double median_us = (double)history_quantile_us(&w->history, 50);
	uint32_t count = 0;

	if (median_us <= 0)
		return 0;
	for (uint32_t i = 0; i < n; i++)
		if (w->recent_at_us[i] >= since_us)
			ratios[count++] = (double)w->recent_us[i] / median_us;
	for (uint32_t i = 0; i < w->out_slow; i++)
		ratios[count++] = RATIO_UNANSWERED;
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
static double onset_ratio(const struct evidence_worker *w)
{
	double ratios[EVIDENCE_RECENT + EVIDENCE_OUTSTANDING_MAX];

	return median_of(ratios, ratios_since(w, onset_us(w), ratios));
}

/** True if the peers' requests since then are known to be normally fast. */
static bool peers_are_fast(const struct evidence_pool *p,
			   const struct evidence_worker *self, int64_t since_us,
			   uint32_t needed)
{
	double ratios[HEALTH_WORKERS_MAX *
		      (EVIDENCE_RECENT + EVIDENCE_OUTSTANDING_MAX)];
	uint32_t n = 0;
	double most;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct evidence_worker *w = &p->workers[i];

		if (w != self && w->state != HEALTH_UNHEALTHY)
			n += ratios_since(w, since_us, ratios + n);
	}
	if (n < needed)
		return false;
	/* Median of n exponential times: 1.44 / sqrt(n) is the deviation of its
	 * logarithm. */
	most = exp(PEER_DEVIATIONS * 1.44 / sqrt(n));
	if (most < PEER_RATIO_MIN)
		most = PEER_RATIO_MIN;
	return median_of(ratios, n) < most;
}

/** True if the peers answer, slowly or not, what they got since then. */
static bool peers_answer(const struct evidence_pool *p,
			 const struct evidence_worker *self, int64_t since_us)
{
	uint32_t answered = 0;
	uint32_t quiet = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct evidence_worker *w = &p->workers[i];

		if (w == self || w->state == HEALTH_UNHEALTHY)
			continue;
		quiet += w->out_quiet;
		for (uint32_t j = 0; j < EVIDENCE_RECENT && j < w->recent_count;
		     j++)
			answered += w->recent_at_us[j] >= since_us;
	}
	return answered >= PEER_ANSWERS && answered > quiet;
}

/** True if the peers' requests since this worker's first failure succeed. */
static bool peers_succeed(const struct evidence_pool *p,
			  const struct evidence_worker *self)
{
	uint32_t ended = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct evidence_worker *w = &p->workers[i];

		if (w == self || w->state == HEALTH_UNHEALTHY)
			continue;
		for (uint32_t j = 0; j < EVIDENCE_RECENT && j < w->ended_count;
		     j++)
			if (w->ended_at_us[j] >= self->fault_first_us) {
				ended++;
				bad += w->ended_bad >> j & 1;
			}
	}
	return ended >= PEER_ENDED && bad < PEER_BAD_SHARE * ended;
}

/** True if the peers' requests of the same time are known to be normal. */
static bool peers_are_normal(const struct evidence_pool *p,
			     const struct evidence_worker *self,
			     enum evidence_reason reason, int64_t now_us)
{
	switch (reason) {
	case REASON_FAULT:
		return peers_succeed(p, self);
	case REASON_SILENT:
		return peers_answer(p, self, self->oldest_us);
	case REASON_SLOW:
		/* In a short window the quick requests have ended and the slow
		 * ones are still outstanding. */
		return peers_are_fast(p, self, now_us - PEER_WINDOW_US,
				      PEER_REQUESTS_SEVERE) &&
		       peers_are_fast(p, self, onset_us(self),
				      PEER_REQUESTS_MILD);
	case REASON_VERY_SLOW:
	case REASON_NONE:
		break;
	}
	return peers_are_fast(p, self, onset_us(self), PEER_REQUESTS_SEVERE);
}

/**
 * True if nearly all peers look bad too, so that the fault is on the way, or,
 * for a short time, if it is not known that their requests of the same time
 * were normal: the first worker to reach its limit is the most extreme of the
 * pool.
 */
static bool is_shared(const struct evidence_pool *p,
		      struct evidence_worker *self, enum evidence_reason reason,
		      int64_t now_us)
{
	uint32_t others = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct evidence_worker *w = &p->workers[i];

		if (w == self || (w->state == HEALTH_UNHEALTHY &&
				  now_us - w->state_us >= RECENT_EJECTION_US))
			continue;
		others++;
		if (looks_bad(
			    w,
			    evidence_looks_bad_ratio(p->pool.worker_count - 1),
			    now_us))
			bad++;
	}
	if (!others)
		return false;
	if (bad >= SHARED_SHARE * others) {
		self->wait_us = now_us;
		self->normal_us = 0;
		return true;
	}
	/* A refusal comes from the worker's own VM, not from the way. */
	if (reason == REASON_FAULT && self->refused)
		return false;
	if (peers_are_normal(p, self, reason, now_us)) {
		if (!self->normal_us)
			self->normal_us = now_us;
		return reason != REASON_FAULT && reason != REASON_SILENT &&
		       others <= EVIDENCE_PEERS_FEW &&
		       now_us - self->normal_us < NORMAL_HOLD_US;
	}
	self->normal_us = 0;
	if (!self->wait_us)
		self->wait_us = now_us;
	return now_us - self->wait_us < SHARED_WAIT_US;
}

/** Age of a single request from which on the worker is checked. */
static int64_t quiet_us(const struct evidence_worker *w)
{
	int64_t us = QUIET_FACTOR * w->limit_us;

	if (!evidence_learned(w))
		us = 4 * w->limit_us;
	if (us < 2 * w->longest_us)
		us = 2 * w->longest_us;
	return us > QUIET_MIN_US ? us : QUIET_MIN_US;
}

/** Adds the requests outstanding to the score. */
static void sum_outstanding(struct evidence_worker *w, int64_t now_us)
{
	int64_t quiet = quiet_us(w);
	double sum = 0;

	w->out_slow = w->out_slower = w->out_quiet = 0;
	w->oldest_us = now_us;
	for (uint32_t i = 0; i < w->out_count; i++)
		if (w->out_us[i] < w->oldest_us && w->out_us[i] > w->dropped_us)
			w->oldest_us = w->out_us[i];
	for (uint32_t i = 0; i < w->out_count; i++) {
		int64_t at_us = w->out_us[i];
		int64_t until_us = now_us;
		double step;

		if (at_us <= w->dropped_us)
			continue;
		w->out_quiet += now_us - at_us > quiet;
		/* The present gap between answers counts once, too. */
		if (at_us > w->oldest_us && w->answer_us > 0)
			until_us = w->answer_us;
		step = evidence_slow_step(
			evidence_own_wait_us(w, at_us, until_us), w->limit_us);
		if (step < 0)
			continue;
		sum += step;
		w->out_slow++;
		w->out_slower += step > EVIDENCE_STEP_SLOW;
	}
	w->slow_total = w->slow + sum;
}

int64_t evidence_probe_limit_us(const struct evidence_worker *w)
{
	int64_t t =
		evidence_learned(w) ? 4 * w->limit_us : EVIDENCE_UNLEARNED_US;

	return t > PROBE_LIMIT_MIN_US ? t : PROBE_LIMIT_MIN_US;
}

void evidence_fail_check(struct evidence_worker *w, int64_t now_us)
{
	w->check = CHECK_WANTED;
	w->check_us = now_us;
	if (++w->checks_failed >= CHECKS_FAILED_MAX ||
	    w->out_quiet >= QUIET_MANY)
		eject(w, REASON_SILENT, now_us);
}

/** Silent: blames the worker only once fresh connections fail too. */
static void judge_silence(struct evidence_worker *w, int64_t now_us)
{
	switch (w->check) {
	case CHECK_NONE:
		if (w->drops >= DROPS_MAX) {
			eject(w, REASON_SILENT, now_us);
		} else if (!w->check_us || w->drops ||
			   now_us - w->check_us > CHECK_GAP_US) {
			w->check = CHECK_WANTED;
			w->check_us = now_us;
		}
		break;
	case CHECK_WANTED:
		if (now_us - w->check_us > CHECK_WAIT_MAX_US)
			evidence_fail_check(w, now_us);
		break;
	case CHECK_SENT:
		if (now_us - w->check_us > evidence_probe_limit_us(w))
			evidence_fail_check(w, now_us);
		break;
	case CHECK_PASSED:
		/* The worker answers: only the connections are bad. */
		w->check = CHECK_NONE;
		w->silent_us = quiet_us(w);
		w->dropped_us = now_us;
		w->slow = w->slow_answered;
		w->checks_failed = 0;
		w->drops++;
		break;
	}
}

/** Slow requests spread over more time than a pause of the worker lasts. */
static bool is_spread(const struct evidence_worker *w)
{
	return w->slow_last_us - w->slow_first_us >= SPAN_MIN_US;
}

static bool is_mildly_slow(const struct evidence_worker *w)
{
	bool scored = w->slow_answered >= EVIDENCE_LIMIT_MILD &&
		      w->ratio >= RATIO_MILD;
	bool clear = w->slow_answered >= LIMIT_CLEAR && w->ratio >= RATIO_CLEAR;
	bool plain = w->slow_answered >= LIMIT_PLAIN && w->ratio >= RATIO_PLAIN;

	return (scored || clear || plain) && is_spread(w) &&
	       count_slow(w->out_slow, w->slow_bits, MILD_WINDOW) >= MILD_SLOW;
}

static bool is_severely_slow(const struct evidence_worker *w)
{
	return w->slow_total >= LIMIT_SEVERE &&
	       w->slow_answered >= LIMIT_SEVERE / 2 && is_spread(w) &&
	       count_slow(w->out_slow, w->slow_bits, SEVERE_WINDOW) >=
		       SEVERE_SLOW &&
	       count_slow(w->out_slower, w->slower_bits, SEVERE_WINDOW) >=
		       SEVERE_SLOWER &&
	       onset_ratio(w) >= RATIO_SEVERE;
}

/** What the evidence against a worker amounts to; REASON_NONE: not enough. */
static enum evidence_reason suspicion(const struct evidence_worker *w)
{
	bool trial = w->state == HEALTH_RECOVERING;

	if (w->fault >= (trial ? TRIAL_LIMIT : LIMIT_FAULT))
		return REASON_FAULT;
	if (is_severely_slow(w))
		return REASON_VERY_SLOW;
	if (is_mildly_slow(w) || (trial && w->slow_answered >= TRIAL_LIMIT))
		return REASON_SLOW;
	return w->out_quiet ? REASON_SILENT : REASON_NONE;
}

void evidence_judge(struct evidence_pool *p, struct evidence_worker *w,
		    int64_t now_us)
{
	enum evidence_reason r;

	sum_outstanding(w, now_us);
	if (w->state == HEALTH_UNHEALTHY)
		return;
	r = suspicion(w);
	if (r != REASON_SILENT && w->check != CHECK_SENT)
		w->check = CHECK_NONE;
	if (r == REASON_NONE && w->slow_answered < LOOKS_BAD_SCORE)
		w->wait_us = w->normal_us = 0;
	if (r == REASON_NONE)
		return;
	if (is_shared(p, w, r, now_us))
		return;

	if (r == REASON_SILENT)
		judge_silence(w, now_us);
	else
		eject(w, r, now_us);
}
