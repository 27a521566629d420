#include "route/route.h"

/* Test-only, set by "fault/run.sh --broken" in a build folder of its own:
 * a payment is sent again after an unknown outcome. */
#ifndef AZ_TEST_BREAK_RETRY
#define AZ_TEST_BREAK_RETRY 0
#endif

bool route_costs_budget(enum error_kind k)
{
	/* The view of homes was old, or the home's data centre is cut off;
	 * no worker was troubled. ATTEMPTS_MAX bounds these. */
	return k != ERR_WRONG_HOME && k != ERR_PEER_UNREACHABLE;
}

enum route_action route_decide(const struct route_input *in)
{
	bool may_repeat = in->in_time && in->attempts < ATTEMPTS_MAX &&
			  error_info(in->kind)->retryable &&
			  (in->budget || !route_costs_budget(in->kind));

	if (in->kind == ERR_NONE)
		return ROUTE_FINISH;
	if (in->others_out)
		return ROUTE_WAIT;
	if (in->outcome == OUTCOME_NOT_RUN)
		return may_repeat ? ROUTE_RETRY : ROUTE_FINISH;
	if (in->idempotent || AZ_TEST_BREAK_RETRY)
		return may_repeat ? ROUTE_RETRY : ROUTE_FINISH;
	if (in->kind == ERR_PEER_LOST && in->may_resolve)
		return ROUTE_QUERY;
	return ROUTE_FINISH;
}
