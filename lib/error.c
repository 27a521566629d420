#include "lib/az.h"

static const struct error_info error_table[ERR_KIND_COUNT] = {
	[ERR_NONE] = { "none", 200, OUTCOME_RAN, false, LOG_DEBUG },
	[ERR_BAD_REQUEST] = { "bad-request", 400, OUTCOME_NOT_RUN, false,
			      LOG_INFO },
	[ERR_UNKNOWN_ROUTE] = { "unknown-route", 404, OUTCOME_NOT_RUN, false,
				LOG_INFO },
	[ERR_METHOD_NOT_ALLOWED] = { "method-not-allowed", 405, OUTCOME_NOT_RUN,
				     false, LOG_INFO },
	[ERR_UNKNOWN_ORGANISATION] = { "unknown-organisation", 403,
				       OUTCOME_NOT_RUN, false, LOG_INFO },
	[ERR_BODY_TOO_LARGE] = { "body-too-large", 413, OUTCOME_NOT_RUN, false,
				 LOG_INFO },
	[ERR_HEADERS_TOO_LARGE] = { "headers-too-large", 431, OUTCOME_NOT_RUN,
				    false, LOG_INFO },
	[ERR_TICKET_REQUIRED] = { "ticket-required", 428, OUTCOME_NOT_RUN,
				  false, LOG_DEBUG },
	[ERR_TICKET_MALFORMED] = { "ticket-malformed", 400, OUTCOME_NOT_RUN,
				   false, LOG_INFO },
	[ERR_TICKET_INVALID] = { "ticket-invalid", 400, OUTCOME_NOT_RUN, false,
				 LOG_WARN },
	[ERR_TICKET_MISMATCH] = { "ticket-mismatch", 409, OUTCOME_NOT_RUN,
				  false, LOG_WARN },
	[ERR_TICKET_EXPIRED] = { "ticket-expired", 410, OUTCOME_UNKNOWN, false,
				 LOG_INFO },
	[ERR_ISSUER_GONE] = { "issuer-gone", 410, OUTCOME_UNKNOWN, false,
			      LOG_WARN },
	[ERR_ISSUER_UNREACHABLE] = { "issuer-unreachable", 503, OUTCOME_UNKNOWN,
				     true, LOG_WARN },
	[ERR_LEDGER_FULL] = { "ledger-full", 503, OUTCOME_UNKNOWN, true,
			      LOG_ERROR },
	[ERR_OVER_LIMIT] = { "over-limit", 429, OUTCOME_NOT_RUN, false,
			     LOG_INFO },
	[ERR_OVERLOADED] = { "overloaded", 503, OUTCOME_NOT_RUN, true,
			     LOG_INFO },
	[ERR_NOT_CONFIGURED] = { "not-configured", 503, OUTCOME_NOT_RUN, true,
				 LOG_WARN },
	[ERR_REQUEST_TIMEOUT] = { "request-timeout", 408, OUTCOME_NOT_RUN, true,
				  LOG_INFO },
	[ERR_STOPPING] = { "stopping", 503, OUTCOME_NOT_RUN, true, LOG_INFO },
	[ERR_NO_WORKER] = { "no-worker", 503, OUTCOME_NOT_RUN, true, LOG_WARN },
	[ERR_NO_HOME] = { "no-home", 503, OUTCOME_NOT_RUN, true, LOG_WARN },
	[ERR_PEER_UNREACHABLE] = { "peer-unreachable", 503, OUTCOME_NOT_RUN,
				   true, LOG_WARN },
	[ERR_PEER_LOST] = { "peer-lost", 502, OUTCOME_UNKNOWN, true, LOG_WARN },
	[ERR_WRONG_HOME] = { "wrong-home", 503, OUTCOME_NOT_RUN, true,
			     LOG_INFO },
	[ERR_CONNECT_FAILED] = { "connect-failed", 502, OUTCOME_NOT_RUN, true,
				 LOG_WARN },
	[ERR_WORKER_SHED] = { "worker-shed", 503, OUTCOME_NOT_RUN, true,
			      LOG_INFO },
	[ERR_DEADLINE_NOT_RUN] = { "deadline-not-run", 504, OUTCOME_NOT_RUN,
				   false, LOG_INFO },
	[ERR_DEADLINE_UNKNOWN] = { "deadline-unknown", 504, OUTCOME_UNKNOWN,
				   false, LOG_WARN },
	[ERR_ANSWER_LOST] = { "answer-lost", 502, OUTCOME_UNKNOWN, true,
			      LOG_WARN },
	[ERR_ANSWER_TRUNCATED] = { "answer-truncated", 502, OUTCOME_UNKNOWN,
				   true, LOG_WARN },
	[ERR_ANSWER_TOO_LARGE] = { "answer-too-large", 502, OUTCOME_UNKNOWN,
				   false, LOG_WARN },
	[ERR_SEALED] = { "sealed", 503, OUTCOME_NOT_RUN, true, LOG_INFO },
	[ERR_INTERNAL] = { "internal", 500, OUTCOME_UNKNOWN, false, LOG_ERROR },
};

const struct error_info *error_info(enum error_kind k)
{
	if ((uint32_t)k >= ERR_KIND_COUNT)
		k = ERR_INTERNAL;
	return &error_table[k];
}

const char *outcome_name(enum outcome o)
{
	static const char *const names[] = {
		[OUTCOME_RAN] = "ran",
		[OUTCOME_NOT_RUN] = "not-run",
		[OUTCOME_UNKNOWN] = "unknown",
	};

	return names[o];
}
