#include <stdlib.h>

#include "front/front.h"

#define BUCKETS_PER_SET 4

/** Token bucket of one organisation. */
struct bucket {
	uint64_t organisation; /**< 0: free */
	int64_t tokens_us; /**< tokens, each as the time it takes to refill */
	int64_t filled_us; /**< time of the last request; 0: never used */
};

/** Set-associative table of the organisations seen last. A new organisation
 * replaces the one of its set that has been idle longest and begins with a full
 * bucket. */
struct limiter {
	uint32_t sets;
	struct bucket buckets[];
};

struct limiter *limiter_create(uint32_t buckets)
{
	uint32_t sets =
		buckets / BUCKETS_PER_SET ? buckets / BUCKETS_PER_SET : 1;
	struct limiter *l = calloc(
		1, sizeof(*l) + sizeof(struct bucket) * sets * BUCKETS_PER_SET);

	if (!l)
		abort();
	l->sets = sets;
	return l;
}

void limiter_destroy(struct limiter *l)
{
	free(l);
}

static struct bucket *find_bucket(struct limiter *l, uint64_t organisation,
				  bool *is_new)
{
	struct bucket *set =
		&l->buckets[organisation % l->sets * BUCKETS_PER_SET];
	struct bucket *oldest = set;

	*is_new = false;
	for (uint32_t i = 0; i < BUCKETS_PER_SET; i++) {
		if (set[i].organisation == organisation)
			return &set[i];
		if (set[i].filled_us < oldest->filled_us)
			oldest = &set[i];
	}
	*is_new = true;
	oldest->organisation = organisation;
	return oldest;
}

bool limiter_take(struct limiter *l, uint64_t organisation,
		  uint32_t requests_per_s, uint32_t burst, uint32_t daemons,
		  int64_t now_us)
{
	int64_t cost_us;
	int64_t full_us;
	bool is_new;
	struct bucket *b;

	if (!requests_per_s)
		return true;
	if (!daemons)
		daemons = 1;
	if (!burst)
		burst = 1;
	cost_us = US_PER_S * daemons / requests_per_s;
	full_us = cost_us * burst;
	b = find_bucket(l, organisation, &is_new);
	if (is_new)
		b->tokens_us = full_us;
	else
		b->tokens_us += now_us - b->filled_us;
	b->filled_us = now_us;
	if (b->tokens_us > full_us)
		b->tokens_us = full_us;
	if (b->tokens_us < cost_us)
		return false;
	b->tokens_us -= cost_us;
	return true;
}
