/**
 * @file
 * HTTP server for callers: framing, limits on what callers send,
 * classification, and one answer for each request in the order of the requests.
 * When a caller closes its connection, its requests are cancelled.
 */
#ifndef FRONT_FRONT_H
#define FRONT_FRONT_H

#include <http_parser.h>

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

/* ---- heads of requests (head.c): functions on data, without I/O ---- */

#define HEAD_FIELDS_MAX 128

struct head_field {
	uint32_t name; /**< offset in `text` */
	uint32_t value; /**< likewise */
};

/** Request line and headers of one request. */
struct head {
	struct buf text; /**< zero-terminated strings */
	char method[METHOD_MAX_BYTES];
	uint32_t target; /**< offset in `text` */
	uint32_t field_count;
	struct head_field fields[HEAD_FIELDS_MAX];
	bool keep_alive;
	/** The caller waits for "100 Continue" before it sends the body. */
	bool expects_continue;
	uint64_t announced_body_bytes; /**< UINT64_MAX: no Content-Length */
};

void head_reset(struct head *h);
void head_free(struct head *h);
const char *head_target(const struct head *h);
/** First value of a header, or NULL if the header is absent. */
const char *head_value(const struct head *h, const char *name);
const char *head_name_at(const struct head *h, uint32_t i);
const char *head_value_at(const struct head *h, uint32_t i);
uint32_t head_count(const struct head *h, const char *name);

/** Length of the head at the start of `data`, including its empty line; 0 if
 * the head is not complete. The first `held_bytes` were searched before. */
uint32_t head_end(const uint8_t *data, uint32_t len_bytes, uint32_t held_bytes);
/** Returns ERR_NONE if all HTTP readers agree on the lines of a complete head:
 * they end with CR LF, none is folded, and there are no control characters. */
enum error_kind head_check_bytes(const uint8_t *data, uint32_t len_bytes);
/** Returns ERR_NONE if the fields are not ambiguous: one Host, at most one
 * length, and no length together with a chunked body. */
enum error_kind head_check_fields(const struct head *h);

/* ---- classification (classify.c) ---- */

/** The parts of a request that classification needs; NULL if absent. */
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

enum front_disposition {
	FRONT_REFUSE, /**< with the classification's `kind` */
	FRONT_ROUTE, /**< send to a worker: idempotent, or a bare service */
	FRONT_TICKET, /**< present to the issuer of `ticket` */
};

struct classification {
	enum front_disposition disposition;
	enum error_kind kind;
	const struct conf_route *route;
	const struct conf_service *service; /**< chosen for this request */
	uint64_t organisation;
	uint32_t requests_per_s;
	uint32_t burst;
	enum rank rank;
	bool has_ticket;
	bool gets_next_ticket; /**< its answer carries a new ticket */
	int64_t deadline_us;
	struct ticket ticket;
};

struct classification classify(const struct conf *c,
			       const struct caller_input *in, int64_t now_us);
/** Computes the deadline: the earlier of the caller's deadline and the route's
 * time-out. `ms_text` is the caller's header value, or NULL for the default.
 * Returns ERR_BAD_REQUEST if it is not a valid number. */
enum error_kind classify_deadline(const struct conf_route *r, enum rank rank,
				  const char *ms_text, int64_t now_us,
				  int64_t *deadline_us);
/** True if a refusal by this daemon before it submitted the request proves that
 * the request did not run. With a ticket it does not: an earlier presentation
 * of the ticket through another daemon may have run. */
bool refusal_proves_not_run(enum error_kind k, bool has_ticket);

/* ---- protocol dialects of callers ---- */

/** What the headers of an answer are made from. */
struct caller_answer {
	const struct answer *answer;
	const char *correlation; /**< the caller's id of the request, or NULL */
	const char *next_ticket; /**< or NULL */
	const struct span *span;
};

/** Names of headers and meanings of statuses that a group of callers uses. */
struct caller_dialect_ops {
	const char *name;
	struct classification (*classify)(const struct conf *c,
					  const struct head *h, int64_t now_us);
	/** False for headers that concern this hop or the fleet, and so are not
	 * forwarded to the worker. */
	bool (*forwards_header)(const char *header);
	/** The id that the caller gave the request, or NULL. */
	const char *(*correlation)(const struct head *h);
	uint16_t (*status)(const struct answer *a);
	void (*add_headers)(const struct caller_answer *a, struct buf *out);
};

struct caller_dialect {
	const struct caller_dialect_ops *ops;
};

/** The dialect of this project (own.c). */
extern const struct caller_dialect front_own_dialect;
/** True for headers that concern one connection only (hop-by-hop). */
bool front_is_hop_header(const char *name);

/* ---- organisation limits (limit.c) ---- */

struct limiter;

struct limiter *limiter_create(uint32_t buckets);
void limiter_destroy(struct limiter *l);
/** Takes one request from an organisation's share at this daemon, or returns
 * false. The share is the fleet-wide rate divided by the live daemons; a full
 * bucket holds the whole burst. */
bool limiter_take(struct limiter *l, uint64_t organisation,
		  uint32_t requests_per_s, uint32_t burst, uint32_t daemons,
		  int64_t now_us);

/* ---- the front thread, and calls into it ---- */

struct front;
struct attempts;

struct front_settings {
	uint32_t ip;
	uint16_t port;
	uint32_t health_ip; /**< separate address for the health check */
	uint16_t health_port; /**< 0: no separate address */
	uint32_t in_flight_max;
	const struct caller_dialect *dialect; /**< NULL: front_own_dialect */
	struct conf_current *conf;
	struct membership *membership;
	struct attempts *attempts;
	struct ticket_duty *ticket;
};

struct front *front_create(const struct front_settings *s,
			   struct timer_service *timers, apr_pool_t *pool);
enum az_status front_start(struct front *f);
/** The balancer's health check answers 200 from now on, and not before. */
void front_set_ready(struct front *f);
/** The balancer's health check answers 503 from now on, and answers close their
 * connections. */
void front_set_stopping(struct front *f);
/** Refuses new requests as not run, and closes idle connections. */
void front_quiesce(struct front *f);
/** Cancels the requests in flight, as far as attempts_cancel() can, so that the
 * answers behind them on their connections are delivered. */
void front_cancel_attempts(struct front *f);
/** Requests without an answer, or whose answer is not yet written to its
 * connection. */
uint32_t front_in_flight(struct front *f);
/** Open connections of callers. */
uint32_t front_connections(struct front *f);
void front_stop(struct front *f);
/** To be called after front_stop(), when no answer can arrive any more. */
void front_destroy(struct front *f);

/* ---- internal: shared by the files of this slice ---- */

struct front_conn;

/** One request and its answer on a connection. */
struct exchange {
	struct reply_to reply;
	struct front *front;
	struct front_conn *conn; /**< NULL once the caller has closed it */
	struct exchange *next; /**< of the next request on the connection */
	struct head head;
	struct buf body;
	struct span span;
	uint64_t attempt_id; /**< for attempts_cancel(); 0: none */
	uint64_t organisation;
	enum rank rank;
	int64_t started_us;
	bool request_complete; /**< fully read, or refused before */
	bool submitted;
	bool has_ticket;
	bool gets_next_ticket;
	bool close_after;
	struct answer *answer;
};

struct front_listener {
	struct poll_handler poll;
	struct front *front;
	bool health_only; /**< answers only the balancer's health check */
};

struct front {
	struct duty duty;
	struct front_settings settings;
	const struct caller_dialect_ops *dialect;
	struct front_listener listeners[2];
	struct front_conn *conns;
	struct limiter *limiter;
	uint64_t body_bytes; /**< of all requests not yet submitted */
	int64_t armed_us;
	uint32_t conn_count; /**< atomic; without health check connections */
	uint32_t in_flight; /**< atomic */
	int32_t ready; /**< atomic */
	int32_t stopping; /**< atomic */
	int32_t quiesced; /**< atomic */
	struct counter *requests;
	struct counter *refused;
	struct counter *answered;
	struct counter *callers_left;
	struct histogram *latency;
};

bool front_is_stopping(const struct front *f);
bool front_is_quiesced(const struct front *f);
/** Answer to the balancer's health check; ERR_NONE: ready. */
enum error_kind front_health(const struct front *f);
/** Refuses a complete request, or submits it to the attempts or the tickets. */
void exchange_submit(struct exchange *x);
/** Sets a refusal as the answer. ERR_NONE answers a health check. */
void exchange_refuse(struct exchange *x, enum error_kind k);
/** Appends the answer as the caller gets it to `out`. */
void exchange_write_answer(struct exchange *x, struct buf *out);
void exchange_free(struct exchange *x);
/** To be called when an exchange has got its answer: sends the answers that are
 * next in order, or frees the exchange if its connection is closed. */
void front_conn_answered(struct exchange *x);
/** Accepts one connection; false if none waits. */
bool front_conn_accept(struct front *f, struct front_listener *l);
/** Handles the connections whose time-out has passed, and closes idle ones once
 * quiesced; returns the time of the next time-out. */
int64_t front_conns_expire(struct front *f, int64_t now_us);
void front_conns_cancel_attempts(struct front *f);
void front_conns_close(struct front *f);
void front_arm(struct front *f, int64_t at_us);

#endif
