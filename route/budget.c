#include "route/route.h"

/* A burst of failures in a quiet service may be retried this often. */
#define TOKENS_MAX_PERCENT 1000

void retry_budget_request(struct retry_budget *b, uint8_t percent)
{
	b->tokens_percent += percent;
	if (b->tokens_percent > TOKENS_MAX_PERCENT)
		b->tokens_percent = TOKENS_MAX_PERCENT;
}

bool retry_budget_has(const struct retry_budget *b)
{
	return b->tokens_percent >= 100;
}

void retry_budget_take(struct retry_budget *b)
{
	b->tokens_percent -= 100;
}

void retry_budget_init(struct retry_budget *b)
{
	b->tokens_percent = TOKENS_MAX_PERCENT;
}
