#include "cell/cell.h"

/* One question at a time, and not more often than this. */
#define ASK_EVERY_US US_PER_S

bool reach_connect_failed(struct reach *r, int64_t now_us)
{
	if (r->asked_us && now_us - r->asked_us < ASK_EVERY_US)
		return false;
	r->asked_us = now_us;
	return true;
}

void reach_answer(struct reach *r, bool reachable_elsewhere)
{
	r->cut = reachable_elsewhere;
	r->down = !reachable_elsewhere;
}

void reach_connected(struct reach *r)
{
	r->cut = false;
	r->down = false;
}
