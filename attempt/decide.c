#include "attempt/attempt.h"

/* Test-only, set by "fault/run.sh --broken" in a separate build folder: a
 * non-idempotent request is retried after an unknown outcome. */
#ifndef AZ_TEST_BREAK_RETRY
#define AZ_TEST_BREAK_RETRY 0
#endif

/* With less time left until the deadline there is no retry, as the answer of
 * another worker would come too late. */
#define RETRY_TIME_LEFT_MIN_US (50 * US_PER_MS)

static bool is_server_error(const struct attempt_decision_input *in)
{
	return in->kind == ERR_NONE && in->http_status >= 500;
}

enum attempt_action attempt_decide(const struct attempt_decision_input *in)
{
	bool retry_possible = in->grants < ATTEMPT_GRANTS_MAX &&
			      in->left_us > RETRY_TIME_LEFT_MIN_US;
	bool not_run = in->kind != ERR_NONE && in->outcome == OUTCOME_NOT_RUN;

	if (in->kind == ERR_NONE && !is_server_error(in))
		return DECIDE_FINISH;
	if (in->others_in_flight)
		return DECIDE_WAIT;
	if (not_run)
		return retry_possible ? DECIDE_RETRY : DECIDE_FINISH;
	return (in->idempotent || AZ_TEST_BREAK_RETRY) && retry_possible &&
			       in->possible_runs < in->possible_runs_max ?
		       DECIDE_RETRY :
		       DECIDE_FINISH;
}

bool attempt_may_have_arrived(enum upstream_fault f)
{
	return !upstream_fault_is_not_run(f);
}

enum home_event attempt_home_event(const struct upstream_result *r)
{
	switch (r->fault) {
	case UPSTREAM_OK:
		if (r->verdict == WORKER_DID_NOT_RUN)
			return EVENT_SHED;
		if (r->verdict == WORKER_ID_MISMATCH)
			return EVENT_WORKER_ID_MISMATCH;
		if (r->verdict == WORKER_ANSWER_INVALID)
			return EVENT_NO_VALID_ANSWER;
		return r->answer->http_status >= 500 ? EVENT_SERVER_ERROR :
						       EVENT_ANSWERED;
	case UPSTREAM_CONNECT_REFUSED:
	case UPSTREAM_CONNECT_TIMEOUT:
		return EVENT_UNREACHABLE;
	case UPSTREAM_CLOSED_UNSENT:
	case UPSTREAM_CLOSED:
	case UPSTREAM_TRUNCATED:
	case UPSTREAM_TOO_LARGE:
		return EVENT_NO_VALID_ANSWER;
	case UPSTREAM_TIMEOUT:
		return EVENT_TIMEOUT;
	case UPSTREAM_CANCELLED:
		return EVENT_CANCELLED;
	case UPSTREAM_CANCELLED_UNSENT:
		break;
	}
	return EVENT_NO_EVIDENCE;
}

static enum error_kind error_kind_of_answer(const struct upstream_result *r)
{
	switch (r->verdict) {
	case WORKER_ANSWERED:
		return ERR_NONE;
	case WORKER_DID_NOT_RUN:
		return ERR_WORKER_SHED;
	case WORKER_ID_MISMATCH:
		return ERR_CONNECT_FAILED;
	case WORKER_ANSWER_INVALID:
		return ERR_ANSWER_TRUNCATED;
	}
	return ERR_INTERNAL;
}

enum error_kind attempt_error_kind(const struct upstream_result *r)
{
	switch (r->fault) {
	case UPSTREAM_OK:
		return error_kind_of_answer(r);
	case UPSTREAM_CONNECT_REFUSED:
	case UPSTREAM_CONNECT_TIMEOUT:
	case UPSTREAM_CLOSED_UNSENT:
		return ERR_CONNECT_FAILED;
	case UPSTREAM_CANCELLED_UNSENT:
		return ERR_DEADLINE_NOT_RUN;
	case UPSTREAM_CLOSED:
		return ERR_ANSWER_LOST;
	case UPSTREAM_TRUNCATED:
		return ERR_ANSWER_TRUNCATED;
	case UPSTREAM_TOO_LARGE:
		return ERR_ANSWER_TOO_LARGE;
	case UPSTREAM_TIMEOUT:
	case UPSTREAM_CANCELLED:
		return ERR_DEADLINE_UNKNOWN;
	}
	return ERR_INTERNAL;
}
