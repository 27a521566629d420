/**
 * @file
 * Keeps to what a worker says of itself: that it leaves, and the limit of
 * requests per second that it has named.
 */
#include "home/home.h"

/* Requests that may be granted at once after a pause. */
#define BURST 2

int64_t worker_leaving_until_us(uint64_t boot, int64_t now_us)
{
	return boot ? INT64_MAX : now_us + LEAVING_WITHOUT_BOOT_US;
}

uint32_t worker_limit_rate_mrps(const struct worker_limit *l, int64_t now_us)
{
	uint32_t mrps = l->mrps;

	if (!mrps)
		return 0;
	if (mrps < LIMIT_MIN_MRPS)
		mrps = LIMIT_MIN_MRPS;
	return now_us - l->since_us < LIMIT_NEW_US ? mrps / 2 : mrps;
}

/* Time in which a token is refilled. */
static int64_t cost_us(const struct worker_limit *l, int64_t now_us)
{
	return 1000 * US_PER_S / worker_limit_rate_mrps(l, now_us);
}

static int64_t tokens_us(const struct worker_limit *l, int64_t now_us)
{
	int64_t full_us = BURST * cost_us(l, now_us);
	int64_t us = l->tokens_us + now_us - l->filled_us;

	return us < full_us ? us : full_us;
}

bool worker_limit_named(struct worker_limit *l, uint32_t mrps, int64_t at_us,
			int64_t now_us)
{
	bool is_new = !l->mrps;

	if (at_us < l->heard_us)
		return false;
	l->heard_us = l->named_us = at_us;
	l->mrps = mrps;
	if (!is_new)
		return false;
	l->since_us = l->filled_us = now_us;
	l->tokens_us = 0;
	return true;
}

bool worker_limit_absent(struct worker_limit *l, int64_t granted_us,
			 int64_t now_us)
{
	bool ends = l->mrps && granted_us > l->named_us;

	l->heard_us = now_us;
	if (ends)
		l->mrps = 0;
	return ends;
}

bool worker_limit_is_heard(const struct worker_limit *l, int64_t now_us)
{
	return l->heard_us && now_us - l->heard_us < LIMIT_HEARD_US;
}

bool worker_limit_allows(const struct worker_limit *l, int64_t now_us)
{
	return !l->mrps || tokens_us(l, now_us) >= cost_us(l, now_us);
}

void worker_limit_take(struct worker_limit *l, int64_t now_us)
{
	if (!l->mrps)
		return;
	l->tokens_us = tokens_us(l, now_us) - cost_us(l, now_us);
	l->filled_us = now_us;
}
