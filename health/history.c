#include <math.h>
#include <string.h>

#include "health/health.h"

#define FIRST_BUCKET_US 64.0
#define BUCKETS_PER_OCTAVE 4

void history_init(struct history *h, uint32_t window_samples)
{
	memset(h, 0, sizeof(*h));
	h->window_samples = window_samples;
}

/** Least latency that counts in the bucket. */
static double lower_edge_us(uint32_t bucket)
{
	return FIRST_BUCKET_US * exp2((double)bucket / BUCKETS_PER_OCTAVE);
}

void history_add(struct history *h, int64_t latency_us)
{
	int32_t bucket = 0;

	if (latency_us > FIRST_BUCKET_US)
		bucket = (int32_t)(log2((double)latency_us / FIRST_BUCKET_US) *
				   BUCKETS_PER_OCTAVE);
	if (bucket >= HISTORY_BUCKETS)
		bucket = HISTORY_BUCKETS - 1;
	h->count[bucket]++;
	h->total++;
	if (h->total < h->window_samples)
		return;
	/* Halves the weight of the old samples; `total` is the sum of the
	 * rounded counts. */
	h->total = 0;
	for (uint32_t i = 0; i < HISTORY_BUCKETS; i++) {
		h->count[i] /= 2;
		h->total += h->count[i];
	}
}

int64_t history_quantile_us(const struct history *h, uint32_t percent)
{
	double rank = (double)h->total * percent / 100;
	double below = 0;

	if (!h->total)
		return 0;
	for (uint32_t i = 0; i < HISTORY_BUCKETS; i++) {
		double in_bucket = h->count[i];

		if (in_bucket > 0 && below + in_bucket >= rank)
			return (int64_t)(lower_edge_us(i) *
					 exp2((rank - below) / in_bucket /
					      BUCKETS_PER_OCTAVE));
		below += in_bucket;
	}
	return (int64_t)lower_edge_us(HISTORY_BUCKETS);
}
