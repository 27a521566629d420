#include "home/home.h"

/* Costs are in shares of a worker's slots. A request that may be repeated is
 * delayed by a worker in trouble, not lost. */
#define COST_SUSPICION 3.0
#define COST_SUSPICION_IDEMPOTENT 2.0
/* Bytes between data centres are billed: a worker there is used when the near
 * ones are nearly full, late or in trouble. */
#define COST_OTHER_DC 0.9
/* A worker that got nothing for a while is preferred: what is known of it grows
 * old, and a pool whose work is spread loses less when one worker turns gray.
 * Enough to outweigh the way to another data centre. */
#define IDLE_BONUS_FROM_US (1200 * US_PER_MS)
#define IDLE_BONUS_PER_S 4.0
#define IDLE_BONUS_MAX 1.2
/* What may be lost by such a trial is better not urgent: less urgent requests
 * come first, if there are any. */
#define IDLE_BONUS_URGENT_FROM_US (2 * IDLE_BONUS_FROM_US)
/* Requests that may wait while a slot is free, of the number of workers. */
#define QUEUE_SHORT_PERCENT 200
#define HUNG_DEVIATIONS 3
#define RELATIVE_LATENCY_MIN 0.5
#define RELATIVE_LATENCY_MAX 4.0

static double relative_latency(const struct candidate *c,
			       const struct usual *base)
{
	double s = c->evidence->latency_us ?
			   c->evidence->latency_us / (double)base->latency_us :
			   1;

	if (s < RELATIVE_LATENCY_MIN)
		return RELATIVE_LATENCY_MIN;
	return s > RELATIVE_LATENCY_MAX ? RELATIVE_LATENCY_MAX : s;
}

static double idle_bonus(const struct candidate *c, const struct demand *d,
			 int64_t now_us)
{
	int64_t from_us = d->rank == RANK_URGENT ? IDLE_BONUS_URGENT_FROM_US :
						   IDLE_BONUS_FROM_US;
	int64_t idle_us = now_us - c->evidence->last_sent_us - from_us;
	double gain = IDLE_BONUS_PER_S * (double)idle_us / US_PER_S;

	if (idle_us <= 0)
		return 0;
	return gain < IDLE_BONUS_MAX ? gain : IDLE_BONUS_MAX;
}

static double cost(const struct candidate *c, const struct usual *base,
		   const struct demand *d, int64_t now_us)
{
	double load = c->evidence->in_flight_count + 1;
	double suspicion_cost =
		d->idempotent ? COST_SUSPICION_IDEMPOTENT : COST_SUSPICION;

	return load / c->slots * relative_latency(c, base) +
	       suspicion_cost * c->suspicion +
	       (c->same_dc ? 0 : COST_OTHER_DC) - idle_bonus(c, d, now_us);
}

static bool is_suspect(const struct candidate *c)
{
	return c->suspicion >= CHOOSE_TROUBLE_MAX;
}

/* Marks the workers to leave alone: the worst ones, and no more of them than
 * the floor allows. */
static void mark_avoided(const struct candidate *list, uint32_t count,
			 bool *avoided)
{
	uint32_t available = 0;
	uint32_t allowed;

	for (uint32_t i = 0; i < count; i++) {
		avoided[i] = false;
		available += !list[i].unavailable;
	}
	allowed = available * CHOOSE_AVOIDED_MAX_PERCENT / 100;
	if (!allowed && available > 1)
		allowed = 1;
	for (; allowed; allowed--) {
		int32_t worst = -1;

		for (uint32_t i = 0; i < count; i++)
			if (!list[i].unavailable && !avoided[i] &&
			    is_suspect(&list[i]) &&
			    (worst < 0 ||
			     list[i].suspicion > list[worst].suspicion))
				worst = (int32_t)i;
		if (worst < 0)
			return;
		avoided[worst] = true;
	}
}

/** Which workers come into question. */
struct eligibility {
	bool avoided[HOME_WORKERS_MAX];
	bool only_same_dc;
	bool only_healthy;
};

static void set_eligibility(struct eligibility *s, const struct candidate *list,
			    uint32_t count, const struct demand *d)
{
	bool any_same_dc = false;
	bool any_healthy = false;

	mark_avoided(list, count, s->avoided);
	for (uint32_t i = 0; i < count; i++) {
		bool good = !list[i].unavailable && !is_suspect(&list[i]);

		any_same_dc |= good && list[i].same_dc;
		any_healthy |= good;
	}
	s->only_same_dc = d->may_wait && any_same_dc;
	s->only_healthy = d->may_wait && any_healthy;
}

static bool is_eligible(const struct eligibility *s, const struct candidate *c,
			uint32_t i)
{
	return !c->unavailable && !s->avoided[i] &&
	       (c->same_dc || !s->only_same_dc) &&
	       (!is_suspect(c) || !s->only_healthy);
}

int32_t choose_worker(const struct candidate *list, uint32_t count,
		      const struct usual *base, const struct demand *d,
		      uint64_t random, int64_t now_us)
{
	struct eligibility eligibility;
	int32_t best = -1;
	double best_cost = 0;

	set_eligibility(&eligibility, list, count, d);
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);
		const struct candidate *c = &list[i];
		double k;

		if (!is_eligible(&eligibility, c, i) ||
		    c->evidence->in_flight_count >= c->slots)
			continue;
		k = cost(c, base, d, now_us);
		if (best < 0 || k < best_cost) {
			best = (int32_t)i;
			best_cost = k;
		}
	}
	return best;
}

bool choose_queue_is_short(uint32_t queued, uint32_t workers)
{
	return queued * 100 <= workers * QUEUE_SHORT_PERCENT;
}

/* Slots that requests which hang have taken away. */
static uint32_t hung_requests(const struct track *ev, const struct usual *base,
			      int64_t now_us)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ev->in_flight_count; i++)
		n += now_us - ev->in_flight_sent_us[i] >
		     base->latency_us + HUNG_DEVIATIONS * base->deviation_us;
	return n;
}

uint32_t choose_usable_slots(const struct candidate *list, uint32_t count,
			     const struct usual *base, int64_t now_us)
{
	bool avoided[HOME_WORKERS_MAX];
	uint32_t slots = 0;

	mark_avoided(list, count, avoided);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t n = hung_requests(list[i].evidence, base, now_us);

		if (!list[i].unavailable && !avoided[i] && n < list[i].slots)
			slots += list[i].slots - n;
	}
	return slots;
}
