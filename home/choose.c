#include "home/home.h"

/* Costs are in shares of a worker's slots. */
#define COST_TROUBLE 3.0
/* Bytes between data centres are billed: a worker there is used when the near
 * ones are nearly full, late or in trouble. */
#define COST_FAR 0.9
/* A worker that got nothing for a while is preferred: what is known of it grows
 * old, and a pool whose work is spread loses less when one worker turns gray.
 * Enough to outweigh the way to another data centre. */
#define IDLE_FROM_US (1200 * US_PER_MS)
#define IDLE_PER_S 4.0
#define IDLE_MAX 1.2
#define HUNG_DEVIATIONS 3
#define SPEED_MIN 0.5
#define SPEED_MAX 4.0

static double speed(const struct candidate *c, const struct usual *u)
{
	double s = c->track->latency_us ?
			   c->track->latency_us / (double)u->latency_us :
			   1;

	if (s < SPEED_MIN)
		return SPEED_MIN;
	return s > SPEED_MAX ? SPEED_MAX : s;
}

static double idle(const struct candidate *c, int64_t now_us)
{
	int64_t idle_us = now_us - c->track->sent_us - IDLE_FROM_US;
	double gain = IDLE_PER_S * (double)idle_us / US_PER_S;

	if (idle_us <= 0)
		return 0;
	return gain < IDLE_MAX ? gain : IDLE_MAX;
}

static double cost(const struct candidate *c, const struct usual *u,
		   int64_t now_us)
{
	double load = c->track->out_count + 1;

	return load / c->slots * speed(c, u) +
	       COST_TROUBLE * track_trouble(c->track, u, now_us) +
	       (c->near ? 0 : COST_FAR) - idle(c, now_us);
}

/* Marks the workers to leave alone: the worst ones, and no more of them than
 * the floor allows. */
static void mark_avoided(const struct candidate *list, uint32_t count,
			 const struct usual *u, int64_t now_us, bool *avoided)
{
	double trouble[HOME_WORKERS_MAX];
	uint32_t in = 0;
	uint32_t allowed;

	for (uint32_t i = 0; i < count; i++) {
		avoided[i] = false;
		trouble[i] = list[i].out ?
				     0 :
				     track_trouble(list[i].track, u, now_us);
		in += !list[i].out;
	}
	allowed = in * CHOOSE_AVOID_PERCENT / 100;
	if (!allowed && in > 1)
		allowed = 1;
	for (; allowed; allowed--) {
		uint32_t worst = 0;

		for (uint32_t i = 1; i < count; i++)
			if (trouble[i] > trouble[worst])
				worst = i;
		if (!count || trouble[worst] < CHOOSE_TROUBLE_MAX)
			return;
		avoided[worst] = true;
		trouble[worst] = 0;
	}
}

int32_t choose_worker(const struct candidate *list, uint32_t count,
		      const struct usual *u, uint64_t random, int64_t now_us)
{
	bool avoided[HOME_WORKERS_MAX];
	int32_t best = -1;
	double best_cost = 0;

	mark_avoided(list, count, u, now_us, avoided);
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);
		const struct candidate *c = &list[i];
		double k;

		if (c->out || c->track->out_count >= c->slots || avoided[i])
			continue;
		k = cost(c, u, now_us);
		if (best < 0 || k < best_cost) {
			best = (int32_t)i;
			best_cost = k;
		}
	}
	return best;
}

/* Slots that requests which hang have taken away. */
static uint32_t hung(const struct track *t, const struct usual *u,
		     int64_t now_us)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < t->out_count; i++)
		n += now_us - t->out_us[i] >
		     u->latency_us + HUNG_DEVIATIONS * u->deviation_us;
	return n;
}

uint32_t choose_slots(const struct candidate *list, uint32_t count,
		      const struct usual *u, int64_t now_us)
{
	bool avoided[HOME_WORKERS_MAX];
	uint32_t slots = 0;

	mark_avoided(list, count, u, now_us, avoided);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t n = hung(list[i].track, u, now_us);

		if (!list[i].out && !avoided[i] && n < list[i].slots)
			slots += list[i].slots - n;
	}
	return slots;
}

void choose_keep_near(struct candidate *list, uint32_t count,
		      const struct usual *u, int64_t now_us)
{
	bool any = false;

	for (uint32_t i = 0; i < count && !any; i++)
		any = list[i].near && !list[i].out &&
		      track_trouble(list[i].track, u, now_us) <
			      CHOOSE_TROUBLE_MAX;
	for (uint32_t i = 0; any && i < count; i++)
		list[i].out |= !list[i].near;
}
