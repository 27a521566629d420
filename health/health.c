#include <math.h>
#include <stdlib.h>
#include <string.h>

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
 * Scores are sequential tests on single requests. Against the 90 % quantile T
 * of the worker's own history a healthy worker drifts down (-0.3 a request for
 * exponential service times), one three times slower drifts up by 0.5 and one
 * ten times slower by 1.7. The cap on one request keeps a single slow one far
 * below the limits.
 */
#define STEP_NORMAL (-0.45)
#define STEP_SLOW 1.0 /* above T */
#define STEP_SLOWER 2.0 /* above 2 T */
#define STEP_SLOWEST 3.0 /* above 4 T */
#define LIMIT_SEVERE 14.0
/** A mild slowdown has more time, which separates it from a shared one. */
#define LIMIT_MILD 22.0
#define RATIO_SEVERE 5.0
/** A pause of the worker (garbage collection, disk) shorter than this delays
 * all its slots at once but is not a fault. */
#define SPAN_MIN_US (700 * US_PER_MS)

#define ERROR_SHARE_MIN 0.02
/** A reset on a pooled connection is often only the worker's idle limit. */
#define POOLED_RESET_SHARE 0.5

/** Threshold while there is no history; answers seen raise it. */
#define UNLEARNED_US US_PER_S
#define PROBE_LIMIT_MIN_US (250 * US_PER_MS)
#define CHECK_WAIT_MAX_US US_PER_S
#define PROBE_LOST_US (5 * US_PER_S)

/** Share of the others that look bad from which on the observer suspects
 * itself. */
#define SHARED_SHARE 0.75
#define LOOKS_BAD_SCORE (LIMIT_SEVERE / 4)
#define LOOKS_BAD_RATIO 1.7
#define RECENT_EJECTION_US (10 * US_PER_S)

#define OUT_BASE_US (5 * US_PER_S)
#define OUT_REFUSED_US US_PER_S
#define FLAPS_MAX 6
#define FLAP_FORGET_US (120 * US_PER_S)
#define PROBES_NEEDED 3
#define TRIAL_ANSWERS 10
#define TRIAL_WEIGHT 10
#define TRIAL_LIMIT (LIMIT_SEVERE / 2)
#define RAMP_US (10 * US_PER_S)

/** Check of a silent worker over a fresh connection. */
enum check {
	CHECK_NONE,
	CHECK_WANTED,
	CHECK_SENT,
};

struct worker {
	enum health_state state;
	int64_t state_us; /**< when it was entered */
	bool ramp; /**< weight grows with time in this state */
	struct history history;
	int64_t slowest_us; /**< answer seen while there is no history */
	int64_t recent_us[RECENT];
	uint32_t recent_count;
	double ratio; /**< recent median against the history's median */
	double slow; /**< score of all requests that ended */
	double slow_answered; /**< of those with a whole answer */
	double slow_total; /**< and of those outstanding */
	int64_t slow_since_us;
	double fault;
	int64_t fault_since_us;
	double error_share; /**< own history */
	double bad_share; /**< of the last requests */
	int64_t out_us[OUTSTANDING_MAX]; /**< dispatch times */
	uint32_t out_count;
	int64_t last_us; /**< last dispatch or end of a request */
	int64_t answered_us; /**< dispatch of the last request answered */
	int64_t dropped_us; /**< requests dispatched before are no evidence */
	int64_t silent_us; /**< for take_silent() */
	enum check check;
	int64_t check_us;
	bool refused;
	bool unreachable;
	uint32_t flaps;
	int64_t out_until_us;
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
	w->check = CHECK_NONE;
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
	w->error_share = 0;
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

/** Latency above which a request counts as slow. */
static int64_t slow_us(const struct pool *p, const struct worker *w)
{
	double t;

	if (!learned(w)) {
		t = (double)w->slowest_us * 4;
		return t > UNLEARNED_US ? (int64_t)t : UNLEARNED_US;
	}
	t = (double)history_quantile_us(&w->history, 90);
	t *= 1 + 2 / sqrt(w->history.total);
	if (t < 2.0 * (double)history_quantile_us(&w->history, 50))
		t = 2.0 * (double)history_quantile_us(&w->history, 50);
	return (int64_t)(t * common_ratio(p, w));
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

static void update_ratio(struct worker *w, int64_t latency_us)
{
	int64_t sorted[RECENT];
	uint32_t n;
	uint32_t middle;
	int64_t median_us = history_quantile_us(&w->history, 50);

	w->recent_us[w->recent_count++ % RECENT] = latency_us;
	n = w->recent_count < RECENT ? w->recent_count : RECENT;
	memcpy(sorted, w->recent_us, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_i64);
	middle = n / 2;
	w->ratio = median_us ? (double)sorted[middle] / (double)median_us : 1;
}

static void add_score(double *score, int64_t *since_us, double step,
		      int64_t now_us)
{
	if (*score <= 0)
		*since_us = now_us;
	*score += step;
	if (*score < 0)
		*score = 0;
}

static void add_fault(struct worker *w, bool bad, double weight, int64_t now_us)
{
	double p0 = 2 * w->error_share;
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
	add_score(&w->fault, &w->fault_since_us,
		  bad ? weight * 2 * log(p1 / p0) :
			2 * log((1 - p1) / (1 - p0)),
		  now_us);
}

static void add_latency(struct pool *p, struct worker *w, int64_t latency_us,
			bool answered, int64_t now_us)
{
	int64_t limit_us = slow_us(p, w);
	double step = slow_step(latency_us, limit_us);

	if (learned(w) || (!answered && step > 0))
		add_score(&w->slow, &w->slow_since_us, step, now_us);
	if (!answered)
		return;
	if (learned(w)) {
		w->slow_answered += step;
		if (w->slow_answered < 0)
			w->slow_answered = 0;
	} else if (latency_us > w->slowest_us) {
		w->slowest_us = latency_us;
	}
	update_ratio(w, latency_us);
	if (w->state != HEALTH_UNHEALTHY)
		history_add(&w->history, latency_us);
	if (step < 0)
		w->answers_good++;
	else if (w->answers_good)
		w->answers_good--;
}

/* ---- judgement ---- */

static void eject(struct pool *p, struct worker *w, bool unreachable,
		  int64_t now_us)
{
	int64_t out_us = w->refused ? OUT_REFUSED_US : OUT_BASE_US;

	if (now_us - w->state_us > FLAP_FORGET_US)
		w->flaps = 0;
	out_us <<= w->flaps;
	if (w->flaps < FLAPS_MAX)
		w->flaps++;
	enter(w, HEALTH_UNHEALTHY, now_us);
	w->unreachable = unreachable;
	w->out_until_us = now_us + out_us;
	w->probe_at_us = w->out_until_us;
	w->probe_backoff = 0;
	w->check = CHECK_NONE;
	(void)p;
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

static bool looks_bad(const struct worker *w, int64_t now_us)
{
	if (w->state == HEALTH_UNHEALTHY)
		return now_us - w->state_us < RECENT_EJECTION_US;
	return w->slow_total >= LOOKS_BAD_SCORE ||
	       w->fault >= LOOKS_BAD_SCORE || w->ratio >= LOOKS_BAD_RATIO;
}

/** True if nearly all peers look bad too, so that the fault is on the way. */
static bool is_shared(const struct pool *p, const struct worker *self,
		      int64_t now_us)
{
	uint32_t others = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < p->pool.worker_count; i++) {
		const struct worker *w = &p->workers[i];

		if (w == self || (w->state == HEALTH_UNHEALTHY &&
				  now_us - w->state_us >= RECENT_EJECTION_US))
			continue;
		others++;
		if (looks_bad(w, now_us))
			bad++;
	}
	return others && bad >= SHARED_SHARE * others;
}

static void sum_outstanding(struct pool *p, struct worker *w, int64_t now_us)
{
	int64_t limit_us = slow_us(p, w);
	double sum = 0;

	for (uint32_t i = 0; i < w->out_count; i++) {
		double step = slow_step(now_us - w->out_us[i], limit_us);

		if (step > 0 && w->out_us[i] > w->dropped_us)
			sum += step;
	}
	if (w->slow <= 0 && sum <= 0)
		w->slow_since_us = now_us;
	w->slow_total = w->slow + sum;
}

static int64_t probe_limit_us(const struct pool *p, const struct worker *w)
{
	int64_t t = learned(w) ? 4 * slow_us(p, w) : UNLEARNED_US;

	return t > PROBE_LIMIT_MIN_US ? t : PROBE_LIMIT_MIN_US;
}

/** Silent: blames the worker only once fresh connections fail too. */
static void judge_silence(struct pool *p, struct worker *w, int64_t now_us)
{
	if (w->check == CHECK_NONE) {
		if (w->dropped_us && w->answered_us <= w->dropped_us) {
			eject(p, w, true, now_us);
			return;
		}
		w->check = CHECK_WANTED;
		w->check_us = now_us;
	} else if (w->check == CHECK_WANTED) {
		if (now_us - w->check_us > CHECK_WAIT_MAX_US)
			eject(p, w, true, now_us);
	} else if (now_us - w->check_us > probe_limit_us(p, w)) {
		eject(p, w, true, now_us);
	}
}

static void judge(struct pool *p, struct worker *w, int64_t now_us)
{
	double limit = w->ratio >= RATIO_SEVERE ? LIMIT_SEVERE : LIMIT_MILD;
	bool slow;
	bool silent;

	sum_outstanding(p, w, now_us);
	if (w->state == HEALTH_UNHEALTHY)
		return;
	if (w->state == HEALTH_RECOVERING && w->ramp) {
		if (w->slow_answered >= TRIAL_LIMIT ||
		    w->fault >= TRIAL_LIMIT) {
			eject(p, w, false, now_us);
			return;
		}
	}
	if (w->fault >= LIMIT_SEVERE) {
		if (!is_shared(p, w, now_us))
			eject(p, w, false, now_us);
		return;
	}
	slow = w->slow_answered >= limit ||
	       (w->slow_total >= LIMIT_SEVERE &&
		w->slow_answered >= LIMIT_SEVERE / 2 &&
		w->ratio >= RATIO_SEVERE);
	silent = w->slow_total >= LIMIT_SEVERE &&
		 w->slow_answered < LIMIT_SEVERE / 4;
	if (now_us - w->slow_since_us < SPAN_MIN_US)
		return;
	if (!slow && !silent) {
		if (w->slow_total < LIMIT_SEVERE)
			w->check = CHECK_NONE;
		return;
	}
	if (is_shared(p, w, now_us))
		return;
	if (slow)
		eject(p, w, false, now_us);
	else
		judge_silence(p, w, now_us);
}

/* ---- return to service ---- */

static void start_trial(struct worker *w, int64_t now_us)
{
	enter(w, HEALTH_RECOVERING, now_us);
	w->ramp = false;
	w->unreachable = false;
	clear_scores(w);
	w->dropped_us = now_us;
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
		    w->probes_good >= PROBES_NEEDED)
			start_trial(w, now_us);
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
		    s->latency_us <= probe_limit_us(p, w);

	w->probe_sent_us = 0;
	if (w->check == CHECK_SENT) {
		w->check = CHECK_NONE;
		if (good) {
			/* The worker answers: only the connections are bad. */
			w->silent_us = 4 * slow_us(p, w);
			w->dropped_us = now_us;
			w->slow = w->slow_answered;
		} else {
			eject(p, w, true, now_us);
		}
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
	if (w->probe_backoff < 4)
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
	w->last_us = now_us;
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
	w->last_us = now_us;
	w->shed += ((s->event == HEALTH_SHED ? 1 : 0) - w->shed) / 16;
	if (s->event != HEALTH_ANSWERED && s->event != HEALTH_SERVER_ERROR &&
	    s->event != HEALTH_SHED && s->event != HEALTH_CONNECT_REFUSED &&
	    at_us <= w->dropped_us)
		return;
	switch (s->event) {
	case HEALTH_ANSWERED:
		if (w->refused && w->state != HEALTH_UNHEALTHY)
			start_cold(w, true, now_us);
		add_fault(w, false, 1, now_us);
		add_latency(p, w, s->latency_us, true, now_us);
		if (at_us > w->answered_us)
			w->answered_us = at_us;
		break;
	case HEALTH_SERVER_ERROR:
	case HEALTH_TRUNCATED:
		add_fault(w, true, 1, now_us);
		if (at_us > w->answered_us)
			w->answered_us = at_us;
		break;
	case HEALTH_RESET:
		add_fault(w, true, s->fresh ? 1 : POOLED_RESET_SHARE, now_us);
		break;
	case HEALTH_CONNECT_REFUSED:
		w->refused = true;
		add_fault(w, true, 1, now_us);
		break;
	case HEALTH_CONNECT_TIMEOUT:
		add_fault(w, true, 1, now_us);
		break;
	case HEALTH_TIMEOUT:
	case HEALTH_CANCELLED:
		add_latency(p, w, s->latency_us, false, now_us);
		break;
	case HEALTH_SHED:
		if (at_us > w->answered_us)
			w->answered_us = at_us;
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
