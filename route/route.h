/**
 * @file
 * Attempts of a request: which cell and home, whom to exclude down to the
 * floor, when to retry, hedge, query or give up.
 */
#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include "lib/az.h"
#include "cell/cell.h"
#include "conf/conf.h"
#include "member/member.h"

/* ---- floor (floor.c) ---- */

/** Workers of a service to leave out, a mask for each of its cells. At least
 * floor_percent of the pool as configured, rounded up, stays in; leaving
 * workers count as already out and are always masked. */
void floor_exclude(const struct conf_service *s, const struct member_view *v,
		   uint16_t *masks);

/* ---- retry budget (budget.c) ---- */

/** Token bucket that each first attempt fills by a share of a retry. */
struct retry_budget {
	int64_t tokens_percent; /**< 100 allow one retry */
};

void retry_budget_init(struct retry_budget *b);
void retry_budget_request(struct retry_budget *b, uint8_t percent);
bool retry_budget_has(const struct retry_budget *b);
void retry_budget_take(struct retry_budget *b);

/* ---- pick (pick.c) ---- */

#define TRIED_MAX 8

struct pick_input {
	const struct conf_service *service;
	const struct member_view *view;
	uint32_t dc; /**< of this daemon */
	uint32_t region;
	const uint16_t *masks; /**< of floor_exclude() */
	const uint64_t *tried; /**< cells that refused this request */
	uint32_t tried_count;
	uint64_t random;
};

struct pick {
	const struct conf_cell *cell; /**< NULL: none left */
	const struct member *home;
	uint16_t excluded;
};

/** Nearest cell with workers that are not excluded, not busy, not tried. */
struct pick pick_cell(const struct pick_input *in);

/* ---- what to do with an answer of an attempt (decide.c) ---- */

enum route_action {
	ROUTE_FINISH, /**< give this answer to the caller */
	ROUTE_RETRY, /**< a new attempt, with a new call id */
	ROUTE_QUERY, /**< ask the home what became of the call, or seal it */
	ROUTE_WAIT, /**< another attempt is still out */
};

struct route_input {
	enum error_kind kind;
	enum outcome outcome;
	bool idempotent;
	bool others_out; /**< a hedge of this request is in flight */
	bool in_time; /**< the caller's deadline has not passed */
	bool may_resolve; /**< the home still answers, and there is time */
	uint32_t attempts;
	bool budget; /**< the retry budget has one left */
};

#define ATTEMPTS_MAX 4

/** A non-idempotent request is tried again only after a proved not-run. */
enum route_action route_decide(const struct route_input *in);
/** True if a retry for this reason takes from the retry budget. */
bool route_costs_budget(enum error_kind k);

/* ---- the duty ---- */

struct route;
struct peer;

struct route_settings {
	uint64_t member_id;
	uint64_t incarnation;
	uint32_t dc;
	uint32_t region;
	struct conf_current *conf;
	struct membership *membership;
	struct cell_home *cell;
	struct peer *peer;
};

struct route *route_create(const struct route_settings *s,
			   struct timer_service *timers, apr_pool_t *pool);
enum az_status route_start(struct route *r);
void route_stop(struct route *r);
/** Takes ownership of `q`; `reply` gets exactly one answer. An idempotent
 * request is answered by its deadline. For another one the home is asked until
 * `resolve_until_us`, so that its end becomes known if that can be. */
void route_submit(struct route *r, struct request *q, int64_t resolve_until_us,
		  struct reply_to *reply);
/** Requests not yet answered. Any thread. */
uint32_t route_in_flight(struct route *r);

#endif
