#include "home/home.h"

/* Costs are in shares of a worker's slots. */
#define COST_TROUBLE 1.0
/* Another data centre of the region costs as much as two requests on a worker
 * of six slots. */
#define COST_FAR 0.34
#define SPEED_MIN 0.5
#define SPEED_MAX 4.0

static bool is_troubled(const struct candidate *c, int64_t usual_us,
			int64_t now_us)
{
	return track_trouble(c->track, usual_us, now_us) >= CHOOSE_TROUBLE_MAX;
}

static double speed(const struct candidate *c, int64_t usual_us)
{
	double s = c->track->latency_us ?
			   c->track->latency_us / (double)usual_us :
			   1;

	if (s < SPEED_MIN)
		return SPEED_MIN;
	return s > SPEED_MAX ? SPEED_MAX : s;
}

static double cost(const struct candidate *c, int64_t usual_us, int64_t now_us)
{
	double load = track_load(c->track, usual_us, now_us) + 1;

	return load / c->slots * speed(c, usual_us) +
	       COST_TROUBLE * track_trouble(c->track, usual_us, now_us) +
	       (c->near ? 0 : COST_FAR);
}

/* More workers in trouble than may be left alone: trouble that all share tells
 * nothing about one of them. */
static bool may_avoid(const struct candidate *list, uint32_t count,
		      int64_t usual_us, int64_t now_us)
{
	uint32_t in = 0;
	uint32_t troubled = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (list[i].out)
			continue;
		in++;
		troubled += is_troubled(&list[i], usual_us, now_us);
	}
	return troubled * 100 <= in * CHOOSE_AVOID_PERCENT ||
	       (troubled == 1 && in > 1);
}

int32_t choose_worker(const struct candidate *list, uint32_t count,
		      int64_t usual_us, uint64_t random, int64_t now_us)
{
	bool avoid = may_avoid(list, count, usual_us, now_us);
	int32_t best = -1;
	double best_cost = 0;

	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);
		const struct candidate *c = &list[i];
		double k;

		if (c->out || c->track->out_count >= c->slots ||
		    (avoid && is_troubled(c, usual_us, now_us)))
			continue;
		k = cost(c, usual_us, now_us);
		if (best < 0 || k < best_cost) {
			best = (int32_t)i;
			best_cost = k;
		}
	}
	return best;
}

uint32_t choose_slots(const struct candidate *list, uint32_t count,
		      int64_t usual_us, int64_t now_us)
{
	bool avoid = may_avoid(list, count, usual_us, now_us);
	uint32_t slots = 0;

	for (uint32_t i = 0; i < count; i++)
		if (!list[i].out &&
		    !(avoid && is_troubled(&list[i], usual_us, now_us)))
			slots += list[i].slots;
	return slots;
}
