#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <stdio.h>

#include "health/health.h"

#define OUTSTANDING_MAX 64
#define RECENT 32

/** History needed before a worker is judged against it. */
#define LEARN_MIN 30
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
#define LIMIT_SEVERE 11.5
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
#define SCORE_MAX (2 * LIMIT_MILD)
/** A pause of the worker (garbage collection, disk) shorter than this delays
 * all its slots at once but is not a fault: the slow requests must have been
 * dispatched over a longer time. */
#define SPAN_MIN_US (500 * US_PER_MS)

#define LIMIT_FAULT 16.0
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
#define DROPS_MAX 3
#define PROBE_LIMIT_MIN_US (250 * US_PER_MS)
#define CHECK_WAIT_MAX_US US_PER_S
#define PROBE_LOST_US (5 * US_PER_S)

/** Share of the others that look bad from which on the observer suspects
 * itself. */
#define SHARED_SHARE 0.75
#define SHARED_SAMPLES 8
#define SHARED_SLOW_SHARE 0.3
#define SHARED_WAIT_US (3 * US_PER_S)
#define LOOKS_BAD_SCORE 3.0
#define LOOKS_BAD_RATIO 1.5
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
	REASON_SLOW,
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
	double error_share; /**< own history */
	double bad_share; /**< of the last requests */
	int64_t out_us[OUTSTANDING_MAX]; /**< dispatch times */
	uint32_t out_count;
	uint32_t out_slow; /**< of these, above T */
	uint32_t out_slower; /**< above 2 T */
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
	if (!n || r[n / 4] < 1.5)
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

static int compare_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void update_ratio(struct worker *w, int64_t latency_us, int64_t now_us)
{
	int64_t sorted[RECENT];
	uint32_t n;
	uint32_t middle;
	int64_t median_us = history_quantile_us(&w->history, 50);

	w->recent_us[w->recent_count % RECENT] = latency_us;
	w->recent_at_us[w->recent_count++ % RECENT] = now_us - latency_us;
	n = w->recent_count < RECENT ? w->recent_count : RECENT;
	memcpy(sorted, w->recent_us, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_i64);
	middle = n / 2;
	w->ratio = median_us ? (double)sorted[middle] / (double)median_us : 1;
}

static void add_score(double *score, double step)
{
	*score += step;
	if (*score < 0)
		*score = 0;
	if (*score > SCORE_MAX)
		*score = SCORE_MAX;
}

static void add_fault(struct worker *w, bool bad, double weight)
{
	double p0 = 3 * w->error_share;
	double p1;

	if (p0 < ERROR_SHARE_MIN)
		p0 = ERROR_SHARE_MIN;
	if (p0 > 0.4)
		p0 = 0.4;
	p1 = p0 > 0.15 ? 2 * p0 : 0.3;
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
 * Wait of a request that is answered now, without the time in a stall that an
 * earlier request has already counted: a pause of the worker delays all its
 * slots at once and is one piece of evidence.
 */
static int64_t own_wait_us(struct worker *w, int64_t latency_us, int64_t now_us)
{
	int64_t at_us = now_us - latency_us;
	int64_t from_us = at_us;
	int64_t wait_us = latency_us;

	if (from_us < w->stall_from_us)
		from_us = w->stall_from_us;
	if (from_us < w->stall_to_us)
		wait_us -= w->stall_to_us - from_us;
	from_us = w->answer_us > at_us ? w->answer_us : at_us;
	if (now_us - from_us > w->limit_us) {
		w->stall_from_us = from_us;
		w->stall_to_us = now_us;
	}
	return wait_us;
}

static void add_latency(struct worker *w, int64_t latency_us, bool answered,
			int64_t now_us)
{
	int64_t wait_us =
		answered ? own_wait_us(w, latency_us, now_us) : latency_us;
	double step = slow_step(wait_us, w->limit_us);

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
	if (w->state != HEALTH_UNHEALTHY)
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
	if (reason != REASON_SLOW)
		w->slow_out_us = 0;
	else if (!w->slow_out_us)
		w->slow_out_us = now_us;
	out_us <<= w->flaps;
	if (w->flaps < FLAPS_MAX)
		w->flaps++;
	enter(w, HEALTH_UNHEALTHY, now_us);
	w->unreachable = reason == REASON_SILENT && w->answer_us < w->oldest_us;
	w->out_until_us = now_us + out_us;
	if (getenv("HT"))
		printf("# reason %d slow %.1f ans %.1f tot %.1f ratio %.2f bits %x %x out %u %u lim %ld span %ld fault %.1f\n",
		       reason, w->slow, w->slow_answered, w->slow_total,
		       w->ratio, w->slow_bits, w->slower_bits, w->out_slow,
		       w->out_slower, (long)w->limit_us,
		       (long)(w->slow_last_us - w->slow_first_us), w->fault);
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

static bool looks_bad(const struct worker *w, int64_t now_us)
{
	if (w->state == HEALTH_UNHEALTHY)
		return now_us - w->state_us < RECENT_EJECTION_US;
	return w->slow_total >= LOOKS_BAD_SCORE ||
	       w->fault >= LOOKS_BAD_SCORE || w->ratio >= LOOKS_BAD_RATIO;
}

/** Requests of `w` since `since_us` that ended or are slow, and the slow ones.
 */
static void count_since(const struct worker *w, int64_t since_us, uint32_t *all,
			uint32_t *slow)
{
	uint32_t n = w->recent_count < RECENT ? w->recent_count : RECENT;

	for (uint32_t i = 0; i < n; i++) {
		if (w->recent_at_us[i] < since_us)
			continue;
		(*all)++;
		*slow += w->recent_us[i] > w->limit_us;
	}
	*all += w->out_slow;
	*slow += w->out_slow;
}

/**
 * True if nearly all peers look bad too, so that the fault is on the way; and,
 * for a short time, if many of their last requests were slow: the first worker
 * to reach its limit is the most extreme of the pool.
 */
static bool is_shared(const struct pool *p, struct worker *self, int64_t now_us)
{
	uint32_t others = 0;
	uint32_t bad = 0;
	uint32_t slow = 0;
	uint32_t all = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct worker *w = &p->workers[i];

		if (w == self || (w->state == HEALTH_UNHEALTHY &&
				  now_us - w->state_us >= RECENT_EJECTION_US))
			continue;
		others++;
		if (looks_bad(w, now_us))
			bad++;
		count_since(w, self->slow_first_us - self->limit_us, &all,
			    &slow);
	}
	if (!others)
		return false;
	if (bad >= SHARED_SHARE * others)
		return true;
	if (all >= SHARED_SAMPLES && slow < SHARED_SLOW_SHARE * all) {
		self->wait_us = 0;
		return false;
	}
	if (!self->wait_us)
		self->wait_us = now_us;
	return now_us - self->wait_us < SHARED_WAIT_US;
}

/** Adds the requests outstanding to the score. */
static void sum_outstanding(struct worker *w, int64_t now_us)
{
	double sum = 0;

	w->out_slow = w->out_slower = 0;
	w->oldest_us = now_us;
	for (uint32_t i = 0; i < w->out_count; i++) {
		double step = slow_step(now_us - w->out_us[i], w->limit_us);

		if (step < 0 || w->out_us[i] <= w->dropped_us)
			continue;
		sum += step;
		w->out_slow++;
		w->out_slower += step > STEP_SLOW;
		if (w->out_us[i] < w->oldest_us)
			w->oldest_us = w->out_us[i];
	}
	w->slow_total = w->slow + sum;
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

static int64_t probe_limit_us(const struct worker *w)
{
	int64_t t = learned(w) ? 4 * w->limit_us : UNLEARNED_US;

	return t > PROBE_LIMIT_MIN_US ? t : PROBE_LIMIT_MIN_US;
}

static void fail_check(struct worker *w, int64_t now_us)
{
	w->check = CHECK_NONE;
	w->check_us = 0;
	if (++w->checks_failed >= CHECKS_FAILED_MAX ||
	    w->slow_total >= LIMIT_SEVERE)
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

static bool is_slow(const struct worker *w)
{
	int64_t last_us = w->slow_last_us;

	if (last_us - w->slow_first_us < SPAN_MIN_US)
		return false;
	if (w->slow_answered >= LIMIT_MILD && w->ratio >= RATIO_MILD &&
	    count_slow(w->out_slow, w->slow_bits, MILD_WINDOW) >= MILD_SLOW)
		return true;
	return w->slow_total >= LIMIT_SEVERE &&
	       w->slow_answered >= LIMIT_SEVERE / 2 &&
	       count_slow(w->out_slow, w->slow_bits, SEVERE_WINDOW) >=
		       SEVERE_SLOW &&
	       count_slow(w->out_slower, w->slower_bits, SEVERE_WINDOW) >=
		       SEVERE_SLOWER;
}

static bool is_silent(const struct worker *w, int64_t now_us)
{
	return now_us - w->oldest_us > quiet_us(w);
}

static void judge(struct pool *p, struct worker *w, int64_t now_us)
{
	bool slow;

	sum_outstanding(w, now_us);
	if (w->state == HEALTH_UNHEALTHY)
		return;
	if (w->state == HEALTH_RECOVERING &&
	    (w->slow_answered >= TRIAL_LIMIT || w->fault >= TRIAL_LIMIT)) {
		eject(w, w->fault >= TRIAL_LIMIT ? REASON_FAULT : REASON_SLOW,
		      now_us);
		return;
	}
	if (w->fault >= LIMIT_FAULT) {
		if (!is_shared(p, w, now_us))
			eject(w,
			      w->no_connection ? REASON_SILENT : REASON_FAULT,
			      now_us);
		return;
	}
	slow = is_slow(w);
	if (!slow && !is_silent(w, now_us)) {
		if (w->check != CHECK_SENT)
			w->check = CHECK_NONE;
		return;
	}
	if (is_shared(p, w, now_us))
		return;
	if (slow)
		eject(w, REASON_SLOW, now_us);
	else
		judge_silence(w, now_us);
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
		if (w->refused && s->fresh && w->state != HEALTH_UNHEALTHY)
			start_cold(w, true, now_us);
		add_fault(w, false, 1);
		add_latency(w, s->latency_us, true, now_us);
		note_answer(w, at_us, now_us);
		break;
	case HEALTH_SERVER_ERROR:
	case HEALTH_TRUNCATED:
		add_fault(w, true, 1);
		note_answer(w, at_us, now_us);
		break;
	case HEALTH_RESET:
		add_fault(w, true, s->fresh ? 1 : POOLED_RESET_SHARE);
		break;
	case HEALTH_CONNECT_REFUSED:
		w->refused = true;
		add_fault(w, true, 1);
		break;
	case HEALTH_CONNECT_TIMEOUT:
		w->no_connection = true;
		add_fault(w, true, 1);
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
		v.weight_percent = TRIAL_WEIGHT;
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
