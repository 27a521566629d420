/**
 * @file
 * Tells when the number of workers without requests must be limited.
 */
#include <math.h>

#include "home/home.h"

/* Half-life of the counts. */
#define HALF_LIFE_US (2 * US_PER_S)
/* The floor is held above this share of requests that are not served. The
 * users' rule begins at 10 %, counted over all cells of a service. */
#define UNSERVED_MAX_PERCENT 8
/* Fewer recent requests say little. */
#define REQUESTS_MIN 8

static double decayed(double count, int64_t age_us)
{
	return count * exp2(-(double)age_us / (double)HALF_LIFE_US);
}

void floor_record(struct floor_watch *f, bool served, int64_t now_us)
{
	f->requests = decayed(f->requests, now_us - f->at_us) + 1;
	f->unserved = decayed(f->unserved, now_us - f->at_us) + !served;
	f->at_us = now_us;
}

bool floor_must_hold(const struct floor_watch *f, int64_t now_us)
{
	double requests = decayed(f->requests, now_us - f->at_us);
	double unserved = decayed(f->unserved, now_us - f->at_us);

	return requests >= REQUESTS_MIN &&
	       unserved * 100 > requests * UNSERVED_MAX_PERCENT;
}
