#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

#define OUTSTANDING_MAX 64
#define RECENT 32

/** History needed before a worker is judged against it. */
#define LEARN_MIN 60
/** Above this score nothing is learned; a lower bound would drop enough of a
 * healthy worker's slow requests to bias T downwards. */
#define FREEZE_SCORE 7.0
#define FREEZE_RATIO 1.8
#define FROZEN_SHARE 8
/** While a worker is cold its history is short, so that it follows the warm-up.
 */
#define WINDOW_COLD 64
#define WINDOW_WARM 1024

/**
 * Scores are sequential tests on single requests. T is about the 90 % quantile
 * of the worker's own history. With exponential service times a healthy worker
 * drifts down by 0.25 a request, one three times slower up by 0.5, one ten
 * times slower up by 2.2. The cap on one request keeps two very slow ones below
 * the limits.
 */
#define STEP_NORMAL (-0.35)
#define STEP_SLOW 0.8 /* above T */
#define STEP_SLOWER 2.2 /* above 2 T */
#define STEP_SLOWEST 4.5 /* above 4 T */
#define LIMIT_SEVERE 12.0
/** A mild slowdown has more time, which separates it from a shared one. */
#define LIMIT_MILD 16.0
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
#define SCORE_MAX (LIMIT_MILD + 4)
/** A pause of the worker (garbage collection, disk) shorter than this delays
 * all its slots at once but is not a fault: the slow requests must have been
 * dispatched over a longer time. */
#define SPAN_MIN_US (500 * US_PER_MS)

#define LIMIT_FAULT 17.0
/** Assumed of a worker without history; an error budget of 1 % is common. */
#define ERROR_SHARE_FIRST 0.007
#define ERROR_SHARE_MIN 0.01
/** A reset on a pooled connection is often only the worker's idle limit. */
#define POOLED_RESET_SHARE 0.5

/** Threshold while there is no history; answers seen raise it. */
#define UNLEARNED_US US_PER_S
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
#define PROBE_LOST_US (5 * US_PER_S)

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
/** With few peers chance makes a larger ratio. */
#define LOOKS_BAD_RATIO_FEW 1.5
#define LOOKS_BAD_RATIO 1.3
#define PEERS_FEW 3
/** So long few peers must stay normal; a single look is too often luck. */
#define NORMAL_HOLD_US (400 * US_PER_MS)
#define RECENT_EJECTION_US (10 * US_PER_S)

#define OUT_BASE_US (5 * US_PER_S)
#define OUT_REFUSED_US US_PER_S
#define FLAPS_MAX 6
#define FLAP_FORGET_US (120 * US_PER_S)
#define PROBES_NEEDED 3
#define TRIAL_ANSWERS 10
#define TRIAL_WEIGHT 10
#define TRIAL_LIMIT (LIMIT_SEVERE / 2)
#define ANSWERS_NEEDED 16
#define RAMP_US (10 * US_PER_S)
/** A worker that has been steadily slow for this long is taken as it is. */
#define RELEARN_US (600 * US_PER_S)

enum reason {
	REASON_NONE,
	REASON_SLOW,
	REASON_VERY_SLOW,
	REASON_FAULT,
	REASON_SILENT,
};

/** Check of a silent worker over a fresh connection. */
enum check {
	CHECK_NONE,
	CHECK_WANTED,
	CHECK_SENT,
	CHECK_PASSED, /**< dropped at the next tick if still silent */
};

struct worker {
	enum health_state state;
	int64_t state_us; /**< when it was entered */
	bool ramp; /**< weight grows with time in this state */
	struct history history;
	int64_t slowest_us; /**< answer seen while there is no history */
	int64_t recent_us[RECENT];
	int64_t recent_at_us[RECENT]; /**< their dispatch */
	int64_t sorted_us[RECENT]; /**< recent_us in order */
	int64_t ended_at_us[RECENT]; /**< dispatch of the last that ended */
	uint32_t ended_bad; /**< bit i: that in ended_at_us[i] failed */
	uint32_t ended_count;
	uint32_t recent_count;
	double ratio; /**< recent median against the history's median */
	uint32_t slow_bits; /**< last requests, 1: above T */
	uint32_t slower_bits; /**< above 2 T */
	int64_t limit_us; /**< T, set by refresh() */
	int64_t longest_us; /**< longest wait that was answered */
	double slow; /**< score of all requests that ended */
	double slow_answered; /**< of those with a whole answer */
	double slow_total; /**< and of those outstanding */
	int64_t slow_first_us; /**< dispatch of the first slow one in it */
	int64_t slow_last_us;
	int64_t stall_from_us; /**< last gap between answers above T */
	int64_t stall_to_us;
	double fault;
	int64_t fault_first_us; /**< dispatch of the first failure in it */
	double error_share; /**< own history */
	double bad_share; /**< of the last requests */
	int64_t out_us[OUTSTANDING_MAX]; /**< dispatch times */
	uint32_t out_count;
	uint32_t out_slow; /**< of these, above T */
	uint32_t out_slower; /**< above 2 T */
	uint32_t out_quiet; /**< for long enough to check the worker */
	int64_t answer_us; /**< last answer of any kind */
	int64_t oldest_us; /**< dispatch of the oldest slow one */
	int64_t dropped_us; /**< requests dispatched before are no evidence */
	int64_t silent_us; /**< for take_silent() */
	enum check check;
	int64_t check_us;
	uint32_t checks_failed;
	uint32_t drops; /**< in a row without a later answer */
	bool refused;
	bool no_connection; /**< the last failure was a connect timeout */
	bool unreachable;
	uint32_t flaps;
	int64_t normal_us; /**< since when its peers are known to be normal */
	int64_t wait_us; /**< since when is_shared() waits; 0: not */
	int64_t out_until_us;
	int64_t slow_out_us; /**< first ejection for slowness in a row */
	int64_t probe_at_us;
	int64_t probe_sent_us; /**< 0: none outstanding */
	uint32_t probes_good;
	uint32_t answers_good;
	uint32_t probe_backoff;
	uint8_t severity;
	double shed; /**< smoothed share of requests that were shed */
};

struct pool {
	struct health_pool pool;
	struct health_settings settings;
	int64_t now_us;
	struct worker workers[HEALTH_WORKERS_MAX];
};

static struct pool *pool_of(struct health_pool *p)
{
	return az_container_of(p, struct pool, pool);
}

static void enter(struct worker *w, enum health_state s, int64_t now_us)
{
	w->state = s;
	w->state_us = now_us;
	w->answers_good = 0;
	w->probes_good = 0;
}

static void clear_scores(struct worker *w)
{
	w->slow = w->slow_answered = w->slow_total = 0;
	w->fault = 0;
	w->bad_share = 0;
	w->slow_bits = w->slower_bits = 0;
	w->check = CHECK_NONE;
	w->checks_failed = 0;
	w->drops = 0;
	w->recent_count = 0;
	w->ratio = 1;
}

static void start_cold(struct worker *w, bool ramp, int64_t now_us)
{
	enter(w, HEALTH_COLD, now_us);
	w->ramp = ramp;
	w->severity = 0;
	w->unreachable = false;
	w->refused = false;
	w->slowest_us = 0;
	w->longest_us = 0;
	w->error_share = ERROR_SHARE_FIRST;
	w->limit_us = UNLEARNED_US;
	clear_scores(w);
	history_init(&w->history, WINDOW_COLD);
}

/* ---- evidence ---- */

static bool learned(const struct worker *w)
{
	return w->state != HEALTH_COLD && w->history.total >= LEARN_MIN;
}

static double looks_bad_ratio(uint32_t peers)
{
	return peers > PEERS_FEW ? LOOKS_BAD_RATIO : LOOKS_BAD_RATIO_FEW;
}

/** Slowdown that the worker's peers share: the lower quartile of their recent
 * ratios, 1 unless it is clearly above. */
static double common_ratio(const struct pool *p, const struct worker *self)
{
	double r[HEALTH_WORKERS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct worker *w = &p->workers[i];
		uint32_t j;

		if (w == self || !learned(w) || w->recent_count < RECENT / 4 ||
		    w->state == HEALTH_UNHEALTHY)
			continue;
		for (j = n++; j > 0 && r[j - 1] > w->ratio; j--)
			r[j] = r[j - 1];
		r[j] = w->ratio;
	}
	if (!n || r[n / 4] < looks_bad_ratio(n))
		return 1;
	return r[n / 4];
}

/** Sets the latency above which a request counts as slow. */
static void refresh_limit(const struct pool *p, struct worker *w)
{
	double t;

	if (!learned(w)) {
		t = (double)w->slowest_us * 4;
		w->limit_us = t > UNLEARNED_US ? (int64_t)t : UNLEARNED_US;
		return;
	}
	t = (double)history_quantile_us(&w->history, 90);
	t *= 1 + 2 / sqrt(w->history.total);
	if (t < 2.0 * (double)history_quantile_us(&w->history, 50))
		t = 2.0 * (double)history_quantile_us(&w->history, 50);
	w->limit_us = (int64_t)(t * common_ratio(p, w));
}

static double slow_step(int64_t latency_us, int64_t limit_us)
{
	if (latency_us <= limit_us)
		return STEP_NORMAL;
	if (latency_us <= 2 * limit_us)
		return STEP_SLOW;
	return latency_us <= 4 * limit_us ? STEP_SLOWER : STEP_SLOWEST;
}

/** Keeps the last latencies, and a sorted copy of them for their median. */
static void update_ratio(struct worker *w, int64_t latency_us, int64_t now_us)
{
	uint32_t slot = w->recent_count % RECENT;
	uint32_t n = w->recent_count < RECENT ? w->recent_count : RECENT;
	int64_t median_us = history_quantile_us(&w->history, 50);
	int64_t *sorted = w->sorted_us;
	uint32_t i = 0;

	if (n == RECENT) {
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

static void note_end(struct worker *w, bool bad, int64_t at_us)
{
	uint32_t i = w->ended_count++ % RECENT;

	w->ended_at_us[i] = at_us;
	w->ended_bad &= ~(1U << i);
	if (!bad)
		return;
	w->ended_bad |= 1U << i;
	if (w->fault <= 0)
		w->fault_first_us = at_us;
}

static void add_fault(struct worker *w, bool bad, double weight, int64_t at_us)
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
			((bad ? 1 : 0) - w->error_share) / WINDOW_WARM;
	add_score(&w->fault, bad ? weight * 2 * log(p1 / p0) :
				   2 * log((1 - p1) / (1 - p0)));
}

/** Keeps the span over which the slow requests were dispatched. */
static void note_slow(struct worker *w, int64_t dispatch_us)
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
static int64_t own_wait_us(const struct worker *w, int64_t at_us,
			   int64_t until_us)
{
	int64_t from_us = at_us > w->stall_from_us ? at_us : w->stall_from_us;
	int64_t to_us = until_us < w->stall_to_us ? until_us : w->stall_to_us;

	return until_us - at_us - (from_us < to_us ? to_us - from_us : 0);
}

/** Notes the gap between answers that a slow request ends. */
static void note_stall(struct worker *w, int64_t now_us)
{
	if (now_us - w->answer_us <= w->limit_us)
		return;
	if (w->answer_us - w->stall_to_us > w->limit_us)
		w->stall_from_us = w->answer_us;
	w->stall_to_us = now_us;
}

/** Slow requests under suspicion would raise T until they fit it; a lasting
 * change is still learned in the end. */
static bool is_frozen(const struct worker *w)
{
	return learned(w) &&
	       (w->slow_answered >= FREEZE_SCORE || w->ratio >= FREEZE_RATIO);
}

static void add_latency(struct worker *w, int64_t latency_us, bool answered,
			int64_t now_us)
{
	int64_t wait_us = answered ?
				  own_wait_us(w, now_us - latency_us, now_us) :
				  latency_us;
	double step = slow_step(wait_us, w->limit_us);

	if (answered && latency_us > w->limit_us)
		note_stall(w, now_us);

	if (step > 0)
		note_slow(w, now_us - latency_us);
	if (learned(w) || (!answered && step > 0))
		add_score(&w->slow, step);
	if (answered || step > 0) {
		w->slow_bits = w->slow_bits << 1 | (step > 0);
		w->slower_bits = w->slower_bits << 1 | (step > STEP_SLOW);
	}
	if (!answered)
		return;
	if (latency_us > w->longest_us)
		w->longest_us = latency_us;
	if (learned(w))
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

/* ---- judgement ---- */

static void eject(struct worker *w, enum reason reason, int64_t now_us)
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
	enter(w, HEALTH_UNHEALTHY, now_us);
	w->unreachable = w->no_connection || (reason == REASON_SILENT &&
					      w->answer_us < w->oldest_us);
	w->out_until_us = now_us + out_us;
	w->probe_at_us = w->out_until_us;
	w->probe_backoff = 0;
	w->check = CHECK_NONE;
}

static void set_severity(struct worker *w)
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

static bool looks_bad(const struct worker *w, double ratio, int64_t now_us)
{
	if (w->state == HEALTH_UNHEALTHY)
		return now_us - w->state_us < RECENT_EJECTION_US;
	return w->slow_total >= LOOKS_BAD_SCORE ||
	       w->fault >= LOOKS_BAD_SCORE || w->ratio >= ratio;
}

/** When the present slowness began: the run of last requests, back from the
 * newest, with the largest sum of steps above the middle. */
static int64_t onset_us(const struct worker *w)
{
	uint32_t n = w->recent_count < RECENT ? w->recent_count : RECENT;
	double sum = 0;
	double most = 0;
	int64_t first_us = w->oldest_us;

	for (uint32_t i = 1; i <= n; i++) {
		uint32_t j = (w->recent_count - i) % RECENT;

		sum += slow_step(w->recent_us[j], w->limit_us) - ONSET_STEP;
		if (sum > most) {
			most = sum;
			first_us = w->recent_at_us[j];
		}
	}
	return first_us < w->oldest_us ? first_us : w->oldest_us;
}

/** Ratios of `w`'s requests dispatched since then to its median; returns their
 * number. */
static uint32_t ratios_since(const struct worker *w, int64_t since_us,
			     double *ratios)
{
	uint32_t n = w->recent_count < RECENT ? w->recent_count : RECENT;
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
static double onset_ratio(const struct worker *w)
{
	double ratios[RECENT + OUTSTANDING_MAX];

	return median_of(ratios, ratios_since(w, onset_us(w), ratios));
}

/** True if the peers' requests since then are known to be normally fast. */
static bool peers_are_fast(const struct pool *p, const struct worker *self,
			   int64_t since_us, uint32_t needed)
{
	double ratios[HEALTH_WORKERS_MAX * (RECENT + OUTSTANDING_MAX)];
	uint32_t n = 0;
	double most;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct worker *w = &p->workers[i];

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
static bool peers_answer(const struct pool *p, const struct worker *self,
			 int64_t since_us)
{
	uint32_t answered = 0;
	uint32_t quiet = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct worker *w = &p->workers[i];

		if (w == self || w->state == HEALTH_UNHEALTHY)
			continue;
		quiet += w->out_quiet;
		for (uint32_t j = 0; j < RECENT && j < w->recent_count; j++)
			answered += w->recent_at_us[j] >= since_us;
	}
	return answered >= PEER_ANSWERS && answered > quiet;
}

/** True if the peers' requests since this worker's first failure succeed. */
static bool peers_succeed(const struct pool *p, const struct worker *self)
{
	uint32_t ended = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct worker *w = &p->workers[i];

		if (w == self || w->state == HEALTH_UNHEALTHY)
			continue;
		for (uint32_t j = 0; j < RECENT && j < w->ended_count; j++)
			if (w->ended_at_us[j] >= self->fault_first_us) {
				ended++;
				bad += w->ended_bad >> j & 1;
			}
	}
	return ended >= PEER_ENDED && bad < PEER_BAD_SHARE * ended;
}

/** True if the peers' requests of the same time are known to be normal. */
static bool peers_are_normal(const struct pool *p, const struct worker *self,
			     enum reason reason, int64_t now_us)
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
static bool is_shared(const struct pool *p, struct worker *self,
		      enum reason reason, int64_t now_us)
{
	uint32_t others = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct worker *w = &p->workers[i];

		if (w == self || (w->state == HEALTH_UNHEALTHY &&
				  now_us - w->state_us >= RECENT_EJECTION_US))
			continue;
		others++;
		if (looks_bad(w, looks_bad_ratio(p->pool.worker_count - 1),
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
		       others <= PEERS_FEW &&
		       now_us - self->normal_us < NORMAL_HOLD_US;
	}
	self->normal_us = 0;
	if (!self->wait_us)
		self->wait_us = now_us;
	return now_us - self->wait_us < SHARED_WAIT_US;
}

/** Age of a single request from which on the worker is checked. */
static int64_t quiet_us(const struct worker *w)
{
	int64_t us = QUIET_FACTOR * w->limit_us;

	if (!learned(w))
		us = 4 * w->limit_us;
	if (us < 2 * w->longest_us)
		us = 2 * w->longest_us;
	return us > QUIET_MIN_US ? us : QUIET_MIN_US;
}

/** Adds the requests outstanding to the score. */
static void sum_outstanding(struct worker *w, int64_t now_us)
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
		step = slow_step(own_wait_us(w, at_us, until_us), w->limit_us);
		if (step < 0)
			continue;
		sum += step;
		w->out_slow++;
		w->out_slower += step > STEP_SLOW;
	}
	w->slow_total = w->slow + sum;
}

static int64_t probe_limit_us(const struct worker *w)
{
	int64_t t = learned(w) ? 4 * w->limit_us : UNLEARNED_US;

	return t > PROBE_LIMIT_MIN_US ? t : PROBE_LIMIT_MIN_US;
}

static void fail_check(struct worker *w, int64_t now_us)
{
	w->check = CHECK_WANTED;
	w->check_us = now_us;
	if (++w->checks_failed >= CHECKS_FAILED_MAX ||
	    w->out_quiet >= QUIET_MANY)
		eject(w, REASON_SILENT, now_us);
}

/** Silent: blames the worker only once fresh connections fail too. */
static void judge_silence(struct worker *w, int64_t now_us)
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
			fail_check(w, now_us);
		break;
	case CHECK_SENT:
		if (now_us - w->check_us > probe_limit_us(w))
			fail_check(w, now_us);
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
static bool is_spread(const struct worker *w)
{
	return w->slow_last_us - w->slow_first_us >= SPAN_MIN_US;
}

static bool is_mildly_slow(const struct worker *w)
{
	bool scored = w->slow_answered >= LIMIT_MILD && w->ratio >= RATIO_MILD;
	bool clear = w->slow_answered >= LIMIT_CLEAR && w->ratio >= RATIO_CLEAR;
	bool plain = w->slow_answered >= LIMIT_PLAIN && w->ratio >= RATIO_PLAIN;

	return (scored || clear || plain) && is_spread(w) &&
	       count_slow(w->out_slow, w->slow_bits, MILD_WINDOW) >= MILD_SLOW;
}

static bool is_severely_slow(const struct worker *w)
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
static enum reason suspicion(const struct worker *w)
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

static void judge(struct pool *p, struct worker *w, int64_t now_us)
{
	enum reason r;

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

/* ---- return to service ---- */

static void start_trial(struct worker *w, int64_t now_us)
{
	enter(w, HEALTH_RECOVERING, now_us);
	w->ramp = false;
	w->unreachable = false;
	clear_scores(w);
	w->dropped_us = now_us;
	if (w->slow_out_us && now_us - w->slow_out_us > RELEARN_US)
		history_init(&w->history, WINDOW_WARM);
}

static void advance(struct pool *p, struct worker *w, int64_t now_us)
{
	switch (w->state) {
	case HEALTH_COLD:
		if (now_us - w->state_us >=
			    (int64_t)p->settings.cold_start_ms * US_PER_MS &&
		    w->history.total >= LEARN_MIN) {
			enter(w, HEALTH_OK, now_us);
			w->history.window = WINDOW_WARM;
			w->slow = w->slow_answered = 0;
			w->recent_count = 0;
			w->ratio = 1;
		}
		break;
	case HEALTH_UNHEALTHY:
		if (now_us >= w->out_until_us &&
		    (w->probes_good >= PROBES_NEEDED ||
		     w->answers_good >= ANSWERS_NEEDED)) {
			if (w->refused)
				start_cold(w, true, now_us);
			else
				start_trial(w, now_us);
		}
		break;
	case HEALTH_RECOVERING:
		if (!w->ramp && w->answers_good >= TRIAL_ANSWERS) {
			w->ramp = true;
			w->state_us = now_us;
		} else if (w->ramp && now_us - w->state_us >= RAMP_US) {
			enter(w, HEALTH_OK, now_us);
			w->ramp = false;
		}
		break;
	case HEALTH_OK:
		break;
	}
}

static void end_probe(struct pool *p, struct worker *w,
		      const struct health_sample *s, int64_t now_us)
{
	bool good = (s->event == HEALTH_ANSWERED || s->event == HEALTH_SHED) &&
		    s->latency_us <= probe_limit_us(w);

	w->probe_sent_us = 0;
	if (w->check == CHECK_SENT) {
		if (good)
			w->check = CHECK_PASSED;
		else
			fail_check(w, now_us);
		return;
	}
	if (w->state != HEALTH_UNHEALTHY)
		return;
	if (good) {
		w->probes_good++;
		w->probe_at_us = now_us + US_PER_S / 2;
		return;
	}
	w->probes_good = 0;
	if (w->probe_backoff < (w->refused ? 2 : 4))
		w->probe_backoff++;
	w->probe_at_us =
		now_us + ((int64_t)p->settings.probe_interval_ms * US_PER_MS
			  << w->probe_backoff);
}

/* ---- the vtable ---- */

static void policy_dispatch(struct health_pool *hp, uint8_t worker,
			    int64_t now_us)
{
	struct worker *w = &pool_of(hp)->workers[worker];

	if (w->out_count < OUTSTANDING_MAX)
		w->out_us[w->out_count++] = now_us;
}

/** Takes the request out that was dispatched nearest to `at_us`. */
static int64_t take_outstanding(struct worker *w, int64_t at_us)
{
	uint32_t best = 0;
	int64_t found_us;

	if (!w->out_count)
		return at_us;
	for (uint32_t i = 1; i < w->out_count; i++)
		if (llabs(w->out_us[i] - at_us) <
		    llabs(w->out_us[best] - at_us))
			best = i;
	found_us = w->out_us[best];
	w->out_us[best] = w->out_us[--w->out_count];
	return found_us;
}

/** The worker answered a request dispatched at `at_us`, in whatever way. */
static void note_answer(struct worker *w, int64_t at_us, int64_t now_us)
{
	w->answer_us = now_us;
	w->checks_failed = 0;
	w->no_connection = false;
	if (at_us > w->dropped_us)
		w->drops = 0;
}

static void policy_record(struct health_pool *hp, uint8_t worker,
			  const struct health_sample *s, int64_t now_us)
{
	struct pool *p = pool_of(hp);
	struct worker *w = &p->workers[worker];
	int64_t at_us;

	if (s->probe) {
		end_probe(p, w, s, now_us);
		advance(p, w, now_us);
		return;
	}
	at_us = take_outstanding(w, now_us - s->latency_us);
	w->shed += ((s->event == HEALTH_SHED ? 1 : 0) - w->shed) / 16;
	if (s->event != HEALTH_ANSWERED && s->event != HEALTH_SERVER_ERROR &&
	    s->event != HEALTH_SHED && s->event != HEALTH_CONNECT_REFUSED &&
	    at_us <= w->dropped_us)
		return;
	switch (s->event) {
	case HEALTH_ANSWERED:
		if (w->refused && w->state != HEALTH_UNHEALTHY) {
			w->refused = false;
			if (s->fresh)
				start_cold(w, true, now_us);
		}
		add_fault(w, false, 1, at_us);
		add_latency(w, s->latency_us, true, now_us);
		note_answer(w, at_us, now_us);
		break;
	case HEALTH_SERVER_ERROR:
	case HEALTH_TRUNCATED:
		add_fault(w, true, 1, at_us);
		note_answer(w, at_us, now_us);
		break;
	case HEALTH_RESET:
		add_fault(w, true, s->fresh ? 1 : POOLED_RESET_SHARE, at_us);
		break;
	case HEALTH_CONNECT_REFUSED:
		w->refused = true;
		add_fault(w, true, 1, at_us);
		break;
	case HEALTH_CONNECT_TIMEOUT:
		w->no_connection = true;
		add_fault(w, true, 1, at_us);
		break;
	case HEALTH_TIMEOUT:
	case HEALTH_CANCELLED:
		add_latency(w, s->latency_us, false, now_us);
		break;
	case HEALTH_SHED:
		note_answer(w, at_us, now_us);
		break;
	}
	judge(p, w, now_us);
	advance(p, w, now_us);
	set_severity(w);
}

static void policy_tick(struct health_pool *hp, int64_t now_us)
{
	struct pool *p = pool_of(hp);

	for (uint32_t i = 0; i < hp->worker_count; i++) {
		struct worker *w = &p->workers[i];

		refresh_limit(p, w);
		judge(p, w, now_us);
		advance(p, w, now_us);
		set_severity(w);
	}
	p->now_us = now_us;
}

static uint8_t ramp_percent(int64_t since_us, int64_t length_us, uint8_t from)
{
	if (since_us >= length_us)
		return 100;
	return (uint8_t)(from + (100 - from) * since_us / length_us);
}

static struct health_verdict policy_verdict(const struct health_pool *hp,
					    uint8_t worker)
{
	const struct pool *p = az_container_of(hp, const struct pool, pool);
	const struct worker *w = &p->workers[worker];
	struct health_verdict v = { w->state, w->severity, 100, false, false };
	int64_t since_us = p->now_us - w->state_us;

	switch (w->state) {
	case HEALTH_COLD:
		if (w->ramp)
			v.weight_percent = ramp_percent(
				since_us,
				(int64_t)p->settings.cold_start_ms * US_PER_MS,
				2 * TRIAL_WEIGHT);
		break;
	case HEALTH_UNHEALTHY:
		/* Whoever the floor keeps in must bear its share. */
		v.unreachable = w->unreachable;
		break;
	case HEALTH_RECOVERING:
		v.reads_only = !w->ramp;
		v.weight_percent = w->ramp ? ramp_percent(since_us, RAMP_US,
							  TRIAL_WEIGHT) :
					     TRIAL_WEIGHT;
		break;
	case HEALTH_OK:
		break;
	}
	if (w->shed > 0.3)
		v.weight_percent =
			(uint8_t)(v.weight_percent * (1.3 - w->shed));
	return v;
}

static int32_t policy_next_probe(struct health_pool *hp, int64_t now_us,
				 bool *fresh)
{
	struct pool *p = pool_of(hp);

	*fresh = true;
	for (uint32_t i = 0; i < hp->worker_count; i++) {
		struct worker *w = &p->workers[i];

		if (w->probe_sent_us &&
		    now_us - w->probe_sent_us < PROBE_LOST_US)
			continue;
		if (w->check == CHECK_WANTED) {
			w->check = CHECK_SENT;
			w->check_us = now_us;
			w->probe_sent_us = now_us;
			return (int32_t)i;
		}
		if (w->state == HEALTH_UNHEALTHY && now_us >= w->probe_at_us) {
			w->probe_sent_us = now_us;
			return (int32_t)i;
		}
	}
	return -1;
}

static int64_t policy_take_silent(struct health_pool *hp, uint8_t worker)
{
	struct worker *w = &pool_of(hp)->workers[worker];
	int64_t us = w->silent_us;

	w->silent_us = 0;
	return us;
}

static void policy_reset(struct health_pool *hp, uint8_t worker, int64_t now_us)
{
	struct worker *w = &pool_of(hp)->workers[worker];

	memset(w, 0, sizeof(*w));
	start_cold(w, true, now_us);
}

static void policy_destroy(struct health_pool *hp)
{
	free(pool_of(hp));
}

static const struct health_ops policy_ops = {
	"evidence",	    policy_dispatch, policy_record,
	policy_tick,	    policy_verdict,  policy_next_probe,
	policy_take_silent, policy_reset,    policy_destroy,
};

struct health_pool *health_create(const struct health_settings *s,
				  int64_t now_us)
{
	struct pool *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->pool.ops = &policy_ops;
	p->pool.worker_count = s->worker_count;
	p->settings = *s;
	p->now_us = now_us;
	/* A home that has just taken over the cell knows nothing of its
	 * workers; a ramp would throttle the whole pool. */
	for (uint32_t i = 0; i < s->worker_count; i++)
		start_cold(&p->workers[i], false, now_us);
	return &p->pool;
}
