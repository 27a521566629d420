/**
 * @file
 * Callers' HTTP: classification, limits, tickets, and one answer for each
 * request.
 */
#ifndef FRONT_FRONT_H
#define FRONT_FRONT_H

#include "lib/az.h"
#include "conf/conf.h"
#include "member/member.h"
#include "ticket/ticket.h"

#define HEADER_TICKET "Azurehold-Ticket"
#define HEADER_OUTCOME "Azurehold-Outcome"
#define HEADER_RANK "Azurehold-Rank"
#define HEADER_DEADLINE "Azurehold-Deadline-Ms"
#define HEADER_ERROR "Azurehold-Error"
#define HEADER_ORGANISATION "Azurehold-Organisation"
#define TICKET_PATH "/.azurehold/ticket/"
#define HEALTH_PATH "/.azurehold/health"
#define DEADLINE_MAX_MS 300000

/* ---- classification (classify.c) ---- */

/** What a caller sent, as far as routing needs it; NULL if absent. */
struct caller_input {
	const char *method;
	const char *host;
	const char *path;
	const char *organisation;
	const char *authorization;
	const char *rank;
	const char *deadline_ms;
	const char *ticket;
};

enum front_way {
	FRONT_REFUSE, /**< see `kind` */
	FRONT_ROUTE, /**< idempotent, or bare */
	FRONT_TICKET, /**< to the issuer of `ticket` */
};

struct classification {
	enum front_way way;
	enum error_kind kind;
	const struct conf_route *route;
	uint64_t organisation;
	uint32_t requests_per_s;
	uint32_t burst;
	enum rank rank;
	int64_t deadline_us;
	struct ticket ticket;
};

struct classification classify(const struct conf *c,
			       const struct caller_input *in, int64_t now_us);
/** True if a refusal by this daemon, before it passed the request on, proves
 * that the work did not run. Of a request that carries a ticket it proves
 * nothing: an earlier presentation through another daemon may have run. */
bool refusal_proves_not_run(enum error_kind k, bool has_ticket);

/* ---- organisation limits (limit.c) ---- */

struct limiter;

struct limiter *limiter_create(uint32_t buckets);
void limiter_destroy(struct limiter *l);
/** Takes one request of an organisation's share at this daemon: its fleet-wide
 * rate divided by the live daemons, at least one burst. */
bool limiter_take(struct limiter *l, uint64_t organisation,
		  uint32_t requests_per_s, uint32_t burst, uint32_t daemons,
		  int64_t now_us);

/* ---- the duty ---- */

struct front;
struct route;

struct front_settings {
	uint32_t ip;
	uint16_t port;
	uint32_t in_flight_max;
	struct conf_current *conf;
	struct membership *membership;
	struct route *route;
	struct ticket_duty *ticket;
};

struct front *front_create(const struct front_settings *s, apr_pool_t *pool);
enum az_status front_start(struct front *f);
/** The balancer's health check answers 200 from now on, and not before. */
void front_set_ready(struct front *f);
/** The balancer's health check answers 503 from now on. */
void front_set_stopping(struct front *f);
/** Takes no new connections; answers close those that are open. */
void front_quiesce(struct front *f);
uint32_t front_in_flight(struct front *f);
/** Open connections of callers. */
uint32_t front_connections(struct front *f);
void front_stop(struct front *f);

#endif
