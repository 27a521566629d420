/**
 * @file
 * Load tool: types, and pure functions that decide what a caller does after an
 * attempt.
 *
 * An operation is one logical request of a caller, over all its attempts. An
 * attempt that was not run is retried with a fresh ticket; one whose outcome is
 * unknown is repeated with the same ticket, which cannot run twice.
 */
#ifndef CMD_AZHLOAD_LOAD_H
#define CMD_AZHLOAD_LOAD_H

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

#define TARGETS_MAX 64
#define STREAMS_MAX 64
#define RUN_ID_MAX_BYTES 48
#define TICKET_MAX_BYTES 256
#define DEADLINE_MAX_MS 300000

/* ---- percentiles ---- */

static inline int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/** Nearest-rank percentile of `n` sorted values; `per_10000` is 9990 for
 * p99.9. 0 if there are none. */
static inline uint32_t percentile(const uint32_t *sorted, uint32_t n,
				  uint32_t per_10000)
{
	uint64_t rank = ((uint64_t)n * per_10000 + 9999) / 10000;

	if (!n)
		return 0;
	return sorted[rank ? rank - 1 : 0];
}

/* ---- decisions after an attempt ---- */

/** What the caller knows of an operation at its end. */
enum final_state {
	FINAL_PENDING, /**< has not ended yet */
	FINAL_ANSWERED, /**< complete answer with a status below 500 */
	FINAL_FAILED, /**< complete answer of a worker, status 500 or above */
	FINAL_REFUSED, /**< the fleet answered that it did not run */
	FINAL_UNKNOWN, /**< may have run once */
	FINAL_LOST, /**< idempotent and without an answer */
	FINAL_UNSENT, /**< never sent: no connection was free in time */
	FINAL_COUNT,
};

static const char *const final_names[] = { "open",    "answered", "failed",
					   "refused", "unknown",  "lost",
					   "unsent" };

enum next_step {
	STEP_DONE,
	STEP_TICKET, /**< send at once with the ticket in the answer */
	STEP_RETRY, /**< not run: send after a pause, with a fresh ticket */
	STEP_REPEAT, /**< outcome unknown: send after a pause to another target,
			with the same ticket */
};

/** How an attempt ended, as the caller sees it. */
struct attempt_result {
	bool lost; /**< no complete answer came */
	uint16_t status;
	const char
		*error; /**< Azurehold-Error; NULL or "": a worker's answer */
	enum outcome outcome; /**< Azurehold-Outcome of a refusal */
	bool has_ticket; /**< the answer carries a ticket */
};

/** What decide_next() needs to know of the operation and its last attempt. */
struct attempt_context {
	bool idempotent;
	bool bare; /**< the service runs requests without a ticket */
	bool has_ticket; /**< the attempt was sent with a ticket */
	uint32_t retries_left; /**< after not-run */
	uint32_t repeats_left; /**< after unknown or a lost connection */
};

/** Result of decide_next(). */
struct next_action {
	enum next_step step;
	enum final_state final; /**< if STEP_DONE */
};

static inline struct next_action final_action(enum final_state f)
{
	return (struct next_action){ STEP_DONE, f };
}

/* True for errors that a retry of the same request would get again. */
static inline bool refusal_is_permanent(const char *error)
{
	static const enum error_kind kinds[] = {
		ERR_BAD_REQUEST,	ERR_UNKNOWN_ROUTE,
		ERR_METHOD_NOT_ALLOWED, ERR_UNKNOWN_ORGANISATION,
		ERR_BODY_TOO_LARGE,	ERR_TICKET_MISMATCH,
	};

	for (uint32_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++)
		if (!strcmp(error, error_info(kinds[i])->name))
			return true;
	return false;
}

/* Next step if the outcome of the attempt is unknown. */
static inline struct next_action
next_if_unknown(const struct attempt_context *a, bool lost)
{
	/* The fleet itself makes further attempts of idempotent requests. */
	if (a->idempotent && !lost)
		return final_action(FINAL_UNKNOWN);
	/* Without a ticket a repeat may run a second time. */
	if (!a->idempotent && !a->has_ticket && a->bare)
		return final_action(FINAL_UNKNOWN);
	if (a->repeats_left)
		return (struct next_action){ STEP_REPEAT, FINAL_PENDING };
	return final_action(a->idempotent ? FINAL_LOST : FINAL_UNKNOWN);
}

/** Decides what follows on an attempt of the operation `a` that ended as
 * `result`.
 */
static inline struct next_action
decide_next(const struct attempt_context *a,
	    const struct attempt_result *result)
{
	if (result->lost)
		return next_if_unknown(a, true);
	if (!result->error || !*result->error)
		return final_action(result->status < 500 ? FINAL_ANSWERED :
							   FINAL_FAILED);
	if (!strcmp(result->error, error_info(ERR_TICKET_REQUIRED)->name)) {
		if (result->has_ticket && a->repeats_left)
			return (struct next_action){ STEP_TICKET,
						     FINAL_PENDING };
		return final_action(FINAL_REFUSED);
	}
	switch (result->outcome) {
	case OUTCOME_NOT_RUN:
		if (!a->idempotent && a->retries_left &&
		    !refusal_is_permanent(result->error))
			return (struct next_action){ STEP_RETRY,
						     FINAL_PENDING };
		return final_action(FINAL_REFUSED);
	case OUTCOME_RAN:
		return final_action(FINAL_FAILED);
	default:
		return next_if_unknown(a, false);
	}
}

/** Parses the value of Azurehold-Outcome; any other text counts as unknown. */
static inline enum outcome outcome_parse(const char *s)
{
	if (!strcmp(s, outcome_name(OUTCOME_NOT_RUN)))
		return OUTCOME_NOT_RUN;
	if (!strcmp(s, outcome_name(OUTCOME_RAN)))
		return OUTCOME_RAN;
	return OUTCOME_UNKNOWN;
}

/* ---- settings ---- */

/** Requests of one kind, sent for `length_us` from `start_us` after the start
 * of the run. */
struct stream {
	enum rank rank;
	char method[METHOD_MAX_BYTES];
	char path[512];
	double rate_per_s;
	int64_t start_us;
	int64_t length_us;
	uint32_t deadline_ms;
	char organisation[64];
	char token[128];
	uint32_t body_bytes;
	/* State of the run: */
	int64_t next_us; /**< send time of the next operation */
	uint32_t made; /**< not used */
};

/** Refuses all but loopback addresses: the tool must not load other machines.
 */
static inline enum az_status target_parse(const char *s,
					  struct sockaddr_in *out)
{
	char ip[32];
	const char *colon = strchr(s, ':');
	char *end;
	long port;

	if (!colon || colon - s >= (ptrdiff_t)sizeof(ip))
		return az_fail(AZ_INVALID, "'%s' is not IP:PORT", s);
	memcpy(ip, s, (size_t)(colon - s));
	ip[colon - s] = 0;
	port = strtol(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (end == colon + 1 || *end || port < 1 || port > 65535 ||
	    inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return az_fail(AZ_INVALID, "'%s' is not IP:PORT", s);
	out->sin_port = htons((uint16_t)port);
	if (ntohl(out->sin_addr.s_addr) >> 24 != 127)
		return az_fail(AZ_DENIED, "%s is not a loopback address", ip);
	return AZ_OK;
}

/** `what` names the setting in the error message. */
static inline enum az_status number_parse(const char *what, const char *s,
					  double max, double *out)
{
	char *end;

	*out = strtod(s, &end);
	if (end == s || *end || !(*out >= 0 && *out <= max))
		return az_fail(AZ_INVALID,
			       "%s: '%s' is not a number from 0 to %.0f", what,
			       s, max);
	return AZ_OK;
}

/** Sets one field of a stream by its name in the schedule file. */
static inline enum az_status stream_set(struct stream *s, const char *key,
					const char *value)
{
	enum az_status st = AZ_OK;
	double v = 0;

	if (!strcmp(key, "rank"))
		return rank_parse(value, &s->rank);
	if (!strcmp(key, "method") && strlen(value) < sizeof(s->method))
		strcpy(s->method, value);
	else if (!strcmp(key, "route") && *value == '/' &&
		 strlen(value) < sizeof(s->path))
		strcpy(s->path, value);
	else if (!strcmp(key, "organisation") &&
		 strlen(value) < sizeof(s->organisation))
		strcpy(s->organisation, value);
	else if (!strcmp(key, "token") && strlen(value) < sizeof(s->token))
		strcpy(s->token, value);
	else if (!strcmp(key, "rate")) {
		st = number_parse(key, value, 100000, &v);
		s->rate_per_s = v;
	} else if (!strcmp(key, "seconds")) {
		st = number_parse(key, value, 3600, &v);
		s->length_us = (int64_t)(v * US_PER_S);
	} else if (!strcmp(key, "start")) {
		st = number_parse(key, value, 3600, &v);
		s->start_us = (int64_t)(v * US_PER_S);
	} else if (!strcmp(key, "deadline_ms")) {
		st = number_parse(key, value, DEADLINE_MAX_MS, &v);
		s->deadline_ms = (uint32_t)v;
	} else if (!strcmp(key, "body_bytes")) {
		st = number_parse(key, value, 1 << 20, &v);
		s->body_bytes = (uint32_t)v;
	} else {
		return az_fail(AZ_INVALID, "bad value or unknown key: %s = %s",
			       key, value);
	}
	return st;
}

/** Parses "RANK:METHOD:ROUTE:RATE:SECONDS[:START]". */
static inline enum az_status stream_parse(struct stream *s, const char *text)
{
	static const char *const keys[] = { "rank", "method",  "route",
					    "rate", "seconds", "start" };
	char copy[1024];
	char *save;
	uint32_t n = 0;

	if (strlen(text) >= sizeof(copy))
		return az_fail(AZ_INVALID, "stream is too long");
	strcpy(copy, text);
	for (char *p = strtok_r(copy, ":", &save); p;
	     p = strtok_r(NULL, ":", &save)) {
		enum az_status st = AZ_INVALID;

		if (n < 6)
			st = stream_set(s, keys[n++], p);
		else
			az_fail(st, "too many fields");
		if (st != AZ_OK)
			return st;
	}
	if (n < 5)
		return az_fail(AZ_INVALID,
			       "stream '%s' is not "
			       "RANK:METHOD:ROUTE:RATE:SECONDS",
			       text);
	return AZ_OK;
}

static inline bool method_is_idempotent(const char *method)
{
	return !strcmp(method, "GET") || !strcmp(method, "HEAD");
}

struct load_settings {
	uint32_t target_count;
	struct sockaddr_in targets[TARGETS_MAX];
	bool has_ticket_target;
	struct sockaddr_in ticket_target; /**< daemon that issues the tickets */
	uint32_t stream_count;
	struct stream streams[STREAMS_MAX];
	uint32_t connections; /**< limit for each rank, over all targets */
	uint32_t retries; /**< most of one operation, after not-run */
	uint32_t repeats; /**< most of one operation, after an unknown outcome
			     or a lost connection */
	int64_t pause_us; /**< back-off before the first retry or repeat;
			     doubles each time */
	int64_t grace_us; /**< how long to wait for an answer beyond the
			     deadline */
	int64_t give_up_us; /**< no attempt starts later than this after the
			       intended send time */
	uint64_t seed;
	bool fixed_gaps; /**< time between requests; otherwise exponential */
	bool bare; /**< the services run requests without tickets */
	bool keep_records; /**< for load_records() */
};

/* ---- results ---- */

struct rank_result {
	uint32_t sent; /**< operations that were due, also those never sent */
	uint32_t final_counts[FINAL_COUNT];
	uint32_t in_time; /**< answered within the deadline */
	uint32_t attempts;
	uint32_t lost_connections; /**< attempts that got no byte of an answer
				    */
	uint32_t crossed; /**< answers that belong to another request */
	uint32_t truncated; /**< answers that ended early or are not JSON */
	uint32_t reran; /**< the worker reports that it ran more than once */
	uint32_t *latency_us; /**< of answered operations, from the intended
				 send time */
	uint32_t *attempt_us; /**< of the answered attempt alone */
	uint32_t latency_count; /**< length of both lists */
};

/** One finished operation, for --report-ids. */
struct record {
	char run_id[RUN_ID_MAX_BYTES];
	uint8_t stream;
	uint8_t final;
	uint16_t status;
	uint16_t attempts;
	int64_t sent_us; /**< from the start of the run */
	int64_t latency_us;
	char error[32]; /**< Azurehold-Error of the last answer; "lost" if
			   the last attempt got none */
};

struct load;

/** Sends the load and returns when every operation has ended. NULL on failure;
 * az_last_message() has the reason. */
struct load *load_run(const struct load_settings *s);
const struct rank_result *load_result(const struct load *l, enum rank r);
const struct record *load_records(const struct load *l, uint32_t *count);

#endif
