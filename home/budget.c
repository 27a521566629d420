#include "home/home.h"

void retry_budget_init(struct retry_budget *b, uint32_t max)
{
	b->max_percent = (int64_t)max * 100;
	b->tokens_percent = 0;
}

void retry_budget_request(struct retry_budget *b, uint8_t percent)
{
	b->tokens_percent += percent;
	if (b->tokens_percent > b->max_percent)
		b->tokens_percent = b->max_percent;
}

bool retry_budget_take(struct retry_budget *b)
{
	if (b->tokens_percent < 100)
		return false;
	b->tokens_percent -= 100;
	return true;
}
