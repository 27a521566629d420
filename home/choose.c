/**
 * @file
 * Choice of a worker by load, latency, suspicion, data centre and time since
 * its last request.
 */
#include <math.h>

#include "home/home.h"

/* Cost of a unit of suspicion. All costs are in shares of a worker's slots. An
 * idempotent request costs less, as a failure only delays it: it is retried. */
#define COST_SUSPICION 3.0
#define COST_SUSPICION_IDEMPOTENT 2.0
/* Bytes between data centres are billed: a worker of another one is used only
 * when those of the requester's own are nearly full, slow or suspect. */
#define COST_OTHER_DC 0.9
/* A bonus reduces the cost of a worker without recent requests: the evidence
 * about it is out of date, and a cell whose requests are spread loses fewer of
 * them when one worker turns gray. The bonus outweighs COST_OTHER_DC. */
#define IDLE_BONUS_FROM_US (1200 * US_PER_MS)
#define IDLE_BONUS_PER_S 4.0
#define IDLE_BONUS_MAX 1.2
/* For urgent requests the bonus begins later, so that a less urgent one, if
 * there is any, is the first to run at a worker that may be gray. */
#define IDLE_BONUS_URGENT_FROM_US (2 * IDLE_BONUS_FROM_US)
/* A queue of up to this percentage of the number of workers is short. */
#define QUEUE_SHORT_PERCENT 200
/* A request in flight counts as hung beyond the latency baseline and this many
 * deviations. */
#define HUNG_DEVIATIONS 3
/* Bounds of relative_latency(). */
#define RELATIVE_LATENCY_MIN 0.5
#define RELATIVE_LATENCY_MAX 4.0

/* The worker's latency as a multiple of the cell's, clamped. */
static double relative_latency(const struct candidate *c,
			       const struct latency_baseline *base)
{
	double s = c->evidence->latency_us ?
			   c->evidence->latency_us / (double)base->latency_us :
			   1;

	if (s < RELATIVE_LATENCY_MIN)
		return RELATIVE_LATENCY_MIN;
	return s > RELATIVE_LATENCY_MAX ? RELATIVE_LATENCY_MAX : s;
}

/* Grows with the time since the worker's last request, up to a maximum. */
static double idle_bonus(const struct candidate *c, const struct demand *d,
			 int64_t now_us)
{
	int64_t from_us = d->rank == RANK_URGENT ? IDLE_BONUS_URGENT_FROM_US :
						   IDLE_BONUS_FROM_US;
	int64_t idle_us = now_us - c->evidence->last_sent_us - from_us;
	double bonus = IDLE_BONUS_PER_S * (double)idle_us / US_PER_S;

	if (idle_us <= 0)
		return 0;
	return bonus < IDLE_BONUS_MAX ? bonus : IDLE_BONUS_MAX;
}

static double cost(const struct candidate *c,
		   const struct latency_baseline *base, const struct demand *d,
		   int64_t now_us)
{
	double load = c->evidence->in_flight_count + 1;
	double suspicion_cost =
		d->idempotent ? COST_SUSPICION_IDEMPOTENT : COST_SUSPICION;

	return load / c->slots * relative_latency(c, base) +
	       suspicion_cost * c->suspicion +
	       (c->same_dc ? 0 : COST_OTHER_DC) - idle_bonus(c, d, now_us);
}

static bool is_paused(const struct candidate *c, int64_t now_us)
{
	return now_us < c->paused_until_us;
}

static bool is_suspect(const struct candidate *c)
{
	return c->suspicion >= CHOOSE_SUSPICION_MAX;
}

/* Marks the workers to avoid: the suspect ones of the highest suspicion, up to
 * `max_percent` of the available workers that take requests now. In a cell too
 * small for that percentage one worker may be avoided if another is available.
 */
static void mark_avoided(const struct candidate *list, uint32_t count,
			 uint32_t max_percent, int64_t now_us, bool *avoided)
{
	uint32_t available = 0;
	uint32_t allowed;

	for (uint32_t i = 0; i < count; i++) {
		avoided[i] = false;
		available +=
			!list[i].unavailable && !is_paused(&list[i], now_us);
	}
	allowed = available * max_percent / 100;
	if (!allowed && available > 1)
		allowed = 1;
	for (; allowed; allowed--) {
		int32_t worst = -1;

		for (uint32_t i = 0; i < count; i++)
			if (!list[i].unavailable && !avoided[i] &&
			    !is_paused(&list[i], now_us) &&
			    is_suspect(&list[i]) &&
			    (worst < 0 ||
			     list[i].suspicion > list[worst].suspicion))
				worst = (int32_t)i;
		if (worst < 0)
			return;
		avoided[worst] = true;
	}
}

/** Restrictions on the workers that a request may use; `avoided` by index in
 * the list of candidates. */
struct eligibility {
	bool avoided[HOME_WORKERS_MAX];
	bool only_same_dc;
	bool only_healthy; /**< only workers that are not suspect */
};

static void set_eligibility(struct eligibility *s, const struct candidate *list,
			    uint32_t count, const struct demand *d,
			    int64_t now_us)
{
	bool any_same_dc = false;
	bool any_healthy = false;

	mark_avoided(list, count,
		     d->hold_floor ? CHOOSE_AVOIDED_FLOOR_PERCENT :
				     CHOOSE_AVOIDED_MAX_PERCENT,
		     now_us, s->avoided);
	for (uint32_t i = 0; i < count; i++) {
		/* A request does not wait for a limit or a pause to end. */
		bool healthy = !list[i].unavailable && !list[i].limit_mrps &&
			       !is_paused(&list[i], now_us) &&
			       !is_suspect(&list[i]);

		any_same_dc |= healthy && list[i].same_dc;
		any_healthy |= healthy;
	}
	s->only_same_dc = d->may_wait && any_same_dc;
	s->only_healthy = d->may_wait && any_healthy;
}

/* True if the worker must get no further request now. */
static bool is_full(const struct candidate *c, int64_t now_us)
{
	return c->at_limit || is_paused(c, now_us) ||
	       c->evidence->in_flight_count >= c->slots;
}

static bool is_eligible(const struct eligibility *s, const struct candidate *c,
			uint32_t i)
{
	return !c->unavailable && !s->avoided[i] &&
	       (c->same_dc || !s->only_same_dc) &&
	       (!is_suspect(c) || !s->only_healthy);
}

/* Returns the worker that has waited longest for a request, of those that must
 * get one for the floor; -1 if there is none. */
static int32_t choose_for_floor(const struct candidate *list, uint32_t count,
				const struct eligibility *s,
				const struct demand *d, int64_t now_us)
{
	int64_t longest_us = 0;
	int32_t best = -1;

	for (uint32_t i = 0; d->hold_floor && i < count; i++) {
		const struct candidate *c = &list[i];
		int64_t over_us =
			now_us - c->evidence->last_sent_us - FLOOR_IDLE_US;

		if (!c->same_dc || d->rank == RANK_URGENT)
			over_us -= FLOOR_IDLE_LATER_US;
		if (c->unavailable || s->avoided[i] || over_us <= longest_us ||
		    is_full(c, now_us))
			continue;
		longest_us = over_us;
		best = (int32_t)i;
	}
	return best;
}

int32_t choose_worker(const struct candidate *list, uint32_t count,
		      const struct latency_baseline *base,
		      const struct demand *d, uint64_t random, int64_t now_us)
{
	struct eligibility eligibility;
	int32_t best;
	double best_cost = 0;

	set_eligibility(&eligibility, list, count, d, now_us);
	best = choose_for_floor(list, count, &eligibility, d, now_us);
	if (best >= 0)
		return best;
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);
		const struct candidate *c = &list[i];
		double candidate_cost;

		if (!is_eligible(&eligibility, c, i) || is_full(c, now_us))
			continue;
		candidate_cost = cost(c, base, d, now_us);
		if (best < 0 || candidate_cost < best_cost) {
			best = (int32_t)i;
			best_cost = candidate_cost;
		}
	}
	return best;
}

bool choose_queue_is_short(uint32_t queued, uint32_t workers)
{
	return queued * 100 <= workers * QUEUE_SHORT_PERCENT;
}

/* Number of the worker's requests that appear to hang. */
static uint32_t hung_requests(const struct worker_evidence *ev,
			      const struct latency_baseline *base,
			      int64_t now_us)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ev->in_flight_count; i++)
		n += now_us - ev->in_flight_sent_us[i] >
		     base->latency_us + HUNG_DEVIATIONS * base->deviation_us;
	return n;
}

uint32_t choose_usable_slots(const struct candidate *list, uint32_t count,
			     const struct latency_baseline *base,
			     int64_t now_us)
{
	bool avoided[HOME_WORKERS_MAX];
	uint32_t slots = 0;

	mark_avoided(list, count, CHOOSE_AVOIDED_MAX_PERCENT, now_us, avoided);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t n = hung_requests(list[i].evidence, base, now_us);

		if (!list[i].unavailable && !list[i].limit_mrps &&
		    !is_paused(&list[i], now_us) && !avoided[i] &&
		    n < list[i].slots)
			slots += list[i].slots - n;
	}
	return slots;
}

int64_t choose_dispatch_interval_us(const struct candidate *list,
				    uint32_t count,
				    const struct latency_baseline *base,
				    int64_t now_us)
{
	bool avoided[HOME_WORKERS_MAX];
	double latency_s = (double)base->latency_us / US_PER_S;
	double per_s =
		choose_usable_slots(list, count, base, now_us) / latency_s;

	mark_avoided(list, count, CHOOSE_AVOIDED_MAX_PERCENT, now_us, avoided);
	for (uint32_t i = 0; i < count; i++)
		if (!list[i].unavailable && list[i].limit_mrps &&
		    !is_paused(&list[i], now_us) && !avoided[i])
			per_s += fmin(list[i].limit_mrps / 1000.0,
				      list[i].slots / latency_s);
	return per_s > 0 ? (int64_t)((double)US_PER_S / per_s) :
			   base->latency_us;
}
