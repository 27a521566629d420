/**
 * @file
 * Retry budget: retries are limited to a share of the first grant requests of a
 * sliding window. Load pattern: most workers of a service refuse a part of
 * their requests for some seconds, so that retries come in a burst and not at
 * an even rate.
 */
#include <string.h>

#include "home/home.h"

#define WINDOW_S (RETRY_BUDGET_S / 2)
/* Percentage of the share that one home allows. The rest covers retries allowed
 * by a second home while daemons disagree about which one is the cell's home.
 */
#define OWN_SHARE_PERCENT 90

void retry_budget_init(struct retry_budget *b, uint32_t slack)
{
	memset(b, 0, sizeof(*b));
	b->slack = slack;
}

/* Moves the rings forward to the current second and clears the counts of the
 * seconds since the last call. */
static void advance(struct retry_budget *b, int64_t now_us)
{
	int64_t second = now_us / US_PER_S;

	if (second - b->newest_second > RETRY_BUDGET_S)
		b->newest_second = second - RETRY_BUDGET_S;
	while (b->newest_second < second) {
		uint32_t i = (uint32_t)(++b->newest_second % RETRY_BUDGET_S);

		b->first_grant_requests[i] = 0;
		b->retries[i] = 0;
	}
}

/* Sums the `count` seconds that end `age` seconds before the newest one. */
static uint32_t sum(const struct retry_budget *b, const uint32_t *by_second,
		    uint32_t age, uint32_t count)
{
	uint32_t n = 0;

	for (uint32_t i = age; i < age + count; i++)
		n += by_second[(uint32_t)(b->newest_second + RETRY_BUDGET_S -
					  i) %
			       RETRY_BUDGET_S];
	return n;
}

static uint32_t larger(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

void retry_budget_count_first(struct retry_budget *b, int64_t now_us)
{
	advance(b, now_us);
	b->first_grant_requests[b->newest_second % RETRY_BUDGET_S]++;
}

bool retry_budget_take(struct retry_budget *b, uint8_t percent, bool elected,
		       int64_t now_us)
{
	uint32_t slack = elected ? b->slack : 0;
	uint32_t requests;
	uint32_t share;
	uint32_t slack_retries;

	advance(b, now_us);
	requests = larger(
		sum(b, b->first_grant_requests, 0, WINDOW_S),
		larger(sum(b, b->first_grant_requests, WINDOW_S / 2, WINDOW_S),
		       sum(b, b->first_grant_requests, WINDOW_S, WINDOW_S)));
	share = requests * percent * OWN_SHARE_PERCENT / 10000;
	slack_retries = sum(b, b->first_grant_requests, 0, RETRY_BUDGET_S) *
			percent / 100;
	if (slack_retries > slack)
		slack_retries = slack;
	/* One second more than the window, as the window usually begins in the
	 * middle of a second and retries are counted by whole seconds. */
	if (sum(b, b->retries, 0, WINDOW_S + 1) + 1 > share + slack_retries)
		return false;
	b->retries[b->newest_second % RETRY_BUDGET_S]++;
	return true;
}
