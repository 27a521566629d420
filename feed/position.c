/**
 * @file
 * Comparison of positions, half by half.
 */
#include "feed/feed.h"

/* Revisions are compared by the sign of their difference, as the source's
 * counter may exceed 32 bits while daemons that know older ones run. 0 stands
 * for none. */
bool feed_revision_is_ahead(uint32_t ours, uint32_t theirs)
{
	if (!ours || !theirs)
		return theirs != 0 && !ours;
	return (int32_t)(theirs - ours) > 0;
}

static uint32_t configuration(uint64_t position)
{
	return (uint32_t)(position >> 32);
}

static uint32_t workers(uint64_t position)
{
	return (uint32_t)position;
}

bool feed_position_is_ahead(uint64_t ours, uint64_t theirs)
{
	return feed_revision_is_ahead(configuration(ours),
				      configuration(theirs)) ||
	       feed_revision_is_ahead(workers(ours), workers(theirs));
}

static uint32_t newer(uint32_t a, uint32_t b)
{
	return feed_revision_is_ahead(a, b) ? b : a;
}

uint64_t feed_position_max(uint64_t a, uint64_t b)
{
	return (uint64_t)newer(configuration(a), configuration(b)) << 32 |
	       newer(workers(a), workers(b));
}
