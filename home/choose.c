#include "home/home.h"

/* Costs are in shares of a worker's slots. A request that may be repeated is
 * delayed by a worker in trouble, not lost. */
#define COST_TROUBLE 3.0
#define COST_TROUBLE_IDEMPOTENT 2.0
/* Bytes between data centres are billed: a worker there is used when the near
 * ones are nearly full, late or in trouble. */
#define COST_FAR 0.9
/* A worker that got nothing for a while is preferred: what is known of it grows
 * old, and a pool whose work is spread loses less when one worker turns gray.
 * Enough to outweigh the way to another data centre. */
#define IDLE_FROM_US (1200 * US_PER_MS)
#define IDLE_PER_S 4.0
#define IDLE_MAX 1.2
/* What may be lost by such a trial is better not urgent: less urgent requests
 * come first, if there are any. */
#define IDLE_URGENT_FROM_US (2 * IDLE_FROM_US)
/* Requests that may wait while a slot is free, of the number of workers. */
#define WAITING_PERCENT 200
#define HUNG_DEVIATIONS 3
#define SPEED_MIN 0.5
#define SPEED_MAX 4.0

static double speed(const struct candidate *c, const struct latency_baseline *u)
{
	double s =
		c->worker_evidence->latency_us ?
			c->worker_evidence->latency_us / (double)u->latency_us :
			1;

	if (s < SPEED_MIN)
		return SPEED_MIN;
	return s > SPEED_MAX ? SPEED_MAX : s;
}

static double idle(const struct candidate *c, const struct demand *d,
		   int64_t now_us)
{
	int64_t from_us =
		d->rank == RANK_URGENT ? IDLE_URGENT_FROM_US : IDLE_FROM_US;
	int64_t idle_us = now_us - c->worker_evidence->sent_us - from_us;
	double gain = IDLE_PER_S * (double)idle_us / US_PER_S;

	if (idle_us <= 0)
		return 0;
	return gain < IDLE_MAX ? gain : IDLE_MAX;
}

static double cost(const struct candidate *c, const struct latency_baseline *u,
		   const struct demand *d, int64_t now_us)
{
	double load = c->worker_evidence->out_count + 1;
	double trouble = d->idempotent ? COST_TROUBLE_IDEMPOTENT : COST_TROUBLE;

	return load / c->slots * speed(c, u) + trouble * c->trouble +
	       (c->near ? 0 : COST_FAR) - idle(c, d, now_us);
}

static bool is_in_trouble(const struct candidate *c)
{
	return c->trouble >= CHOOSE_SUSPICION_MAX;
}

/* Marks the workers to leave alone: the worst ones, and no more of them than
 * the floor allows. */
static void mark_avoided(const struct candidate *list, uint32_t count,
			 bool *avoided)
{
	uint32_t in = 0;
	uint32_t allowed;

	for (uint32_t i = 0; i < count; i++) {
		avoided[i] = false;
		in += !list[i].out;
	}
	allowed = in * CHOOSE_AVOID_PERCENT / 100;
	if (!allowed && in > 1)
		allowed = 1;
	for (; allowed; allowed--) {
		int32_t worst = -1;

		for (uint32_t i = 0; i < count; i++)
			if (!list[i].out && !avoided[i] &&
			    is_in_trouble(&list[i]) &&
			    (worst < 0 ||
			     list[i].trouble > list[worst].trouble))
				worst = (int32_t)i;
		if (worst < 0)
			return;
		avoided[worst] = true;
	}
}

/** Which workers come into question. */
struct scope {
	bool avoided[HOME_WORKERS_MAX];
	bool only_near;
	bool only_sound;
};

static void set_scope(struct scope *s, const struct candidate *list,
		      uint32_t count, const struct demand *d)
{
	bool near = false;
	bool sound = false;

	mark_avoided(list, count, s->avoided);
	for (uint32_t i = 0; i < count; i++) {
		bool good = !list[i].out && !is_in_trouble(&list[i]);

		near |= good && list[i].near;
		sound |= good;
	}
	s->only_near = d->patient && near;
	s->only_sound = d->patient && sound;
}

static bool is_in(const struct scope *s, const struct candidate *c, uint32_t i)
{
	return !c->out && !s->avoided[i] && (c->near || !s->only_near) &&
	       (!is_in_trouble(c) || !s->only_sound);
}

int32_t choose_worker(const struct candidate *list, uint32_t count,
		      const struct latency_baseline *u, const struct demand *d,
		      uint64_t random, int64_t now_us)
{
	struct scope scope;
	int32_t best = -1;
	double best_cost = 0;

	set_scope(&scope, list, count, d);
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);
		const struct candidate *c = &list[i];
		double k;

		if (!is_in(&scope, c, i) ||
		    c->worker_evidence->out_count >= c->slots)
			continue;
		k = cost(c, u, d, now_us);
		if (best < 0 || k < best_cost) {
			best = (int32_t)i;
			best_cost = k;
		}
	}
	return best;
}

bool choose_may_wait(uint32_t queued, uint32_t workers)
{
	return queued * 100 <= workers * WAITING_PERCENT;
}

/* Slots that requests which hang have taken away. */
static uint32_t hung(const struct worker_evidence *t,
		     const struct latency_baseline *u, int64_t now_us)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < t->out_count; i++)
		n += now_us - t->out_us[i] >
		     u->latency_us + HUNG_DEVIATIONS * u->deviation_us;
	return n;
}

uint32_t choose_slots(const struct candidate *list, uint32_t count,
		      const struct latency_baseline *u, int64_t now_us)
{
	bool avoided[HOME_WORKERS_MAX];
	uint32_t slots = 0;

	mark_avoided(list, count, avoided);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t n = hung(list[i].worker_evidence, u, now_us);

		if (!list[i].out && !avoided[i] && n < list[i].slots)
			slots += list[i].slots - n;
	}
	return slots;
}
