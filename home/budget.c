/**
 * @file
 * Repeats as a share of the requests of a sliding window. Load pattern: most
 * workers of a service refuse a part of their requests for some seconds, so
 * that repeats are needed in a bunch and not at an even rate.
 */
#include <string.h>

#include "home/home.h"

#define WINDOW_S (RETRY_BUDGET_S / 2)
/* Of the share, a home uses so much. The rest is for repeats that another home
 * of the cell allows while daemons disagree about which one it is. */
#define USED_PERCENT 90

void retry_budget_init(struct retry_budget *b, uint32_t slack)
{
	memset(b, 0, sizeof(*b));
	b->slack = slack;
}

/* Seconds that have passed without a request count none. */
static void advance(struct retry_budget *b, int64_t now_us)
{
	int64_t second = now_us / US_PER_S;

	if (second - b->second > RETRY_BUDGET_S)
		b->second = second - RETRY_BUDGET_S;
	while (b->second < second) {
		uint32_t i = (uint32_t)(++b->second % RETRY_BUDGET_S);

		b->requests[i] = 0;
		b->repeats[i] = 0;
	}
}

/** Sum over `count` seconds that end `age` seconds ago. */
static uint32_t sum(const struct retry_budget *b, const uint32_t *by_second,
		    uint32_t age, uint32_t count)
{
	uint32_t n = 0;

	for (uint32_t i = age; i < age + count; i++)
		n += by_second[(uint32_t)(b->second + RETRY_BUDGET_S - i) %
			       RETRY_BUDGET_S];
	return n;
}

static uint32_t larger(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

void retry_budget_request(struct retry_budget *b, int64_t now_us)
{
	advance(b, now_us);
	b->requests[b->second % RETRY_BUDGET_S]++;
}

bool retry_budget_take(struct retry_budget *b, uint8_t percent, int64_t now_us)
{
	uint32_t requests;
	uint32_t share;
	uint32_t saved;

	advance(b, now_us);
	requests = larger(sum(b, b->requests, 0, WINDOW_S),
			  larger(sum(b, b->requests, WINDOW_S / 2, WINDOW_S),
				 sum(b, b->requests, WINDOW_S, WINDOW_S)));
	share = requests * percent * USED_PERCENT / 10000;
	saved = sum(b, b->requests, 0, RETRY_BUDGET_S) * percent / 100;
	if (saved > b->slack)
		saved = b->slack;
	/* One second more than the window, as the oldest one is cut. */
	if (sum(b, b->repeats, 0, WINDOW_S + 1) + 1 > share + saved)
		return false;
	b->repeats[b->second % RETRY_BUDGET_S]++;
	return true;
}
