/**
 * @file
 * States of a worker: cold, out, on trial, back in service.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"

/** While a worker is cold its history is short, so that it follows the warm-up.
 */
#define WINDOW_COLD 64
/** Assumed of a worker without history; an error budget of 1 % is common. */
#define ERROR_SHARE_FIRST 0.007
#define PROBES_NEEDED 3
#define TRIAL_ANSWERS 10
#define ANSWERS_NEEDED 16
/** A worker that has been steadily slow for this long is taken as it is. */
#define RELEARN_US (600 * US_PER_S)

struct evidence_pool *evidence_pool_of(struct health_pool *p)
{
	return az_container_of(p, struct evidence_pool, pool);
}

void evidence_enter(struct evidence_worker *w, enum health_state s,
		    int64_t now_us)
{
	w->state = s;
	w->state_us = now_us;
	w->answers_good = 0;
	w->probes_good = 0;
}

static void clear_scores(struct evidence_worker *w)
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

void evidence_start_cold(struct evidence_worker *w, bool ramp, int64_t now_us)
{
	evidence_enter(w, HEALTH_COLD, now_us);
	w->ramp = ramp;
	w->severity = 0;
	w->unreachable = false;
	w->refused = false;
	w->slowest_us = 0;
	w->longest_us = 0;
	w->error_share = ERROR_SHARE_FIRST;
	w->limit_us = EVIDENCE_UNLEARNED_US;
	clear_scores(w);
	history_init(&w->history, WINDOW_COLD);
}

static void start_trial(struct evidence_worker *w, int64_t now_us)
{
	evidence_enter(w, HEALTH_RECOVERING, now_us);
	w->ramp = false;
	w->unreachable = false;
	clear_scores(w);
	w->dropped_us = now_us;
	if (w->slow_out_us && now_us - w->slow_out_us > RELEARN_US)
		history_init(&w->history, EVIDENCE_WINDOW_WARM);
}

void evidence_advance(struct evidence_pool *p, struct evidence_worker *w,
		      int64_t now_us)
{
	switch (w->state) {
	case HEALTH_COLD:
		if (now_us - w->state_us >=
			    (int64_t)p->settings.cold_start_ms * US_PER_MS &&
		    w->history.total >= EVIDENCE_LEARN_MIN) {
			evidence_enter(w, HEALTH_OK, now_us);
			w->history.window = EVIDENCE_WINDOW_WARM;
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
				evidence_start_cold(w, true, now_us);
			else
				start_trial(w, now_us);
		}
		break;
	case HEALTH_RECOVERING:
		if (!w->ramp && w->answers_good >= TRIAL_ANSWERS) {
			w->ramp = true;
			w->state_us = now_us;
		} else if (w->ramp &&
			   now_us - w->state_us >= EVIDENCE_RAMP_US) {
			evidence_enter(w, HEALTH_OK, now_us);
			w->ramp = false;
		}
		break;
	case HEALTH_OK:
		break;
	}
}

void evidence_end_probe(struct evidence_pool *p, struct evidence_worker *w,
			const struct health_sample *s, int64_t now_us)
{
	bool good = (s->event == HEALTH_ANSWERED || s->event == HEALTH_SHED) &&
		    s->latency_us <= evidence_probe_limit_us(w);

	w->probe_sent_us = 0;
	if (w->check == CHECK_SENT) {
		if (good)
			w->check = CHECK_PASSED;
		else
			evidence_fail_check(w, now_us);
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
