#include <stdlib.h>
#include <string.h>

#include "front/front.h"

/* Test-only, set by "fault/run.sh --broken" in a separate build folder: the
 * refusal of a request with a ticket claims that it did not run. */
#ifndef AZ_TEST_BREAK_REFUSAL
#define AZ_TEST_BREAK_REFUSAL 0
#endif

static struct classification refusal(enum error_kind k)
{
	return (struct classification){ .disposition = FRONT_REFUSE,
					.kind = k };
}

/* True if the organisation needs no token or the header carries its token. */
static bool has_token(const struct conf_organisation *o,
		      const char *authorization)
{
	static const char scheme[] = "Bearer ";

	if (!o->token_hash)
		return true;
	if (!authorization || strncmp(authorization, scheme, strlen(scheme)))
		return false;
	return hash_secret(authorization + strlen(scheme)) == o->token_hash;
}

static enum error_kind check_organisation(const struct conf *c,
					  const struct caller_input *in,
					  struct classification *out)
{
	const struct conf_organisation *o;

	if (!in->organisation)
		return ERR_UNKNOWN_ORGANISATION;
	o = conf_find_organisation(c, in->organisation);
	if (!o || !has_token(o, in->authorization))
		return ERR_UNKNOWN_ORGANISATION;
	out->organisation = o->id;
	out->requests_per_s = o->requests_per_s;
	out->burst = o->burst;
	return ERR_NONE;
}

/* Sets the rank: the route's, or a less urgent one if the caller names it. */
static enum error_kind check_rank(const struct caller_input *in,
				  struct classification *out)
{
	enum rank asked;

	out->rank = out->route->rank;
	if (!in->rank)
		return ERR_NONE;
	if (rank_parse(in->rank, &asked) != AZ_OK)
		return ERR_BAD_REQUEST;
	if (asked > out->rank)
		out->rank = asked;
	return ERR_NONE;
}

enum error_kind classify_deadline(const struct conf_route *r, enum rank rank,
				  const char *ms_text, int64_t now_us,
				  int64_t *deadline_us)
{
	int64_t ms = r->deadline_ms;
	char *end;

	if (!ms)
		ms = r->service->ranks[rank].deadline_ms;
	if (ms_text) {
		ms = strtoll(ms_text, &end, 10);
		if (end == ms_text || *end || ms < 1 || ms > DEADLINE_MAX_MS)
			return az_fail(AZ_INVALID,
				       "the deadline is not 1 to %d ms",
				       DEADLINE_MAX_MS),
			       ERR_BAD_REQUEST;
	}
	if (r->timeout_ms && ms > r->timeout_ms)
		ms = r->timeout_ms;
	*deadline_us = now_us + ms * US_PER_MS;
	return ERR_NONE;
}

static enum error_kind choose_disposition(const struct caller_input *in,
					  struct classification *out)
{
	if (out->route->idempotent) {
		out->disposition = FRONT_ROUTE;
		return ERR_NONE;
	}
	if (!in->ticket) {
		out->disposition = FRONT_ROUTE;
		return out->route->service->bare ? ERR_NONE :
						   ERR_TICKET_REQUIRED;
	}
	out->disposition = FRONT_TICKET;
	if (ticket_parse(in->ticket, &out->ticket) != AZ_OK)
		return ERR_TICKET_MALFORMED;
	return ERR_NONE;
}

struct classification classify(const struct conf *c,
			       const struct caller_input *in, int64_t now_us)
{
	struct classification out = { .kind = ERR_NONE };
	enum error_kind k = ERR_NONE;

	out.route = conf_find_route(c, in->host, in->method, in->path, &k);
	if (!out.route)
		return refusal(k);
	out.service = conf_route_service(c, out.route, random_u64());
	if (!out.service)
		return refusal(ERR_NO_WORKER);
	k = check_organisation(c, in, &out);
	if (k == ERR_NONE)
		k = check_rank(in, &out);
	if (k == ERR_NONE)
		k = classify_deadline(out.route, out.rank, in->deadline_ms,
				      now_us, &out.deadline_us);
	if (k == ERR_NONE)
		k = choose_disposition(in, &out);
	out.has_ticket = in->ticket != NULL;
	out.gets_next_ticket = !out.route->idempotent && out.organisation;
	if (k != ERR_NONE) {
		out.disposition = FRONT_REFUSE;
		out.kind = k;
	}
	return out;
}

bool refusal_proves_not_run(enum error_kind k, bool has_ticket)
{
	if (!has_ticket || AZ_TEST_BREAK_REFUSAL)
		return error_info(k)->outcome == OUTCOME_NOT_RUN;
	/* No daemon has issued a malformed ticket, so none has run it. */
	return k == ERR_TICKET_MALFORMED;
}
