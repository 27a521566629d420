#include "feed/relay.h"

/* Others may be cut off from the watchers or from the source, so that nobody
 * tells what this daemon could read for itself. */
#define FAILURES_MAX 2

bool relay_watches(const struct relay_role *r, int64_t now_us)
{
	return r->chosen || r->failures >= FAILURES_MAX || !r->heard_us ||
	       now_us - r->heard_us > RELAY_SILENCE_US;
}

bool relay_is_news(uint64_t ours, uint64_t theirs)
{
	return theirs >> 32 > ours >> 32 || (uint32_t)theirs > (uint32_t)ours;
}
