/**
 * @file
 * Comparison of positions, half by half.
 */
#include "feed/feed.h"

#define WORKERS_MASK UINT64_C(0xffffffff)

bool feed_position_is_ahead(uint64_t ours, uint64_t theirs)
{
	return theirs >> 32 > ours >> 32 ||
	       (theirs & WORKERS_MASK) > (ours & WORKERS_MASK);
}

uint64_t feed_position_max(uint64_t a, uint64_t b)
{
	uint64_t configuration = a >> 32 > b >> 32 ? a >> 32 : b >> 32;
	uint64_t workers = (a & WORKERS_MASK) > (b & WORKERS_MASK) ?
				   a & WORKERS_MASK :
				   b & WORKERS_MASK;

	return configuration << 32 | workers;
}
