/**
 * @file
 * HTTP server for callers, the clients of the services. It reads requests
 * within limits on their size and time, classifies each (finds its route,
 * service and organisation), submits it to the attempts or the tickets, and
 * answers the requests of a connection in their order. When a caller closes its
 * connection, its requests are cancelled.
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
/** Longest deadline that a caller may set. */
#define DEADLINE_MAX_MS 300000

/* ---- request line and headers, without I/O (head.c) ---- */

#define HEAD_FIELDS_MAX 128

struct head_field {
	uint32_t name; /**< offset in `text` */
	uint32_t value; /**< offset in `text` */
};

/** Request line and headers of one request. */
struct head {
	struct buf text; /**< target, names and values, zero-terminated */
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
/** Number of headers with this name. */
uint32_t head_count(const struct head *h, const char *name);

/** Length of the head at the start of `data`, including its empty line; 0 if
 * the head is not complete. The first `searched_bytes` were searched by an
 * earlier call. */
uint32_t head_end(const uint8_t *data, uint32_t len_bytes,
		  uint32_t searched_bytes);
/** Returns ERR_NONE if any HTTP parser splits a complete head into the same
 * lines: all end with CR LF, none is folded, and there are no other control
 * characters but tabs. */
enum error_kind head_check_bytes(const uint8_t *data, uint32_t len_bytes);
/** Returns ERR_NONE if the headers are not ambiguous: one Host, at most one
 * Content-Length, and none together with a chunked body. */
enum error_kind head_check_fields(const struct head *h);

/* ---- memory that callers' connections hold, without I/O (memory.c) ---- */

/** What a connection holds beyond this counts in the long share. */
#define MEMORY_SHORT_BYTES (64U << 10)
/** Longest step in which the buffer of a body grows. */
#define MEMORY_GROWTH_MAX_BYTES (1U << 20)

/** Each connection draws its first MEMORY_SHORT_BYTES from the short share and
 * the rest from the long one, so that long bodies and answers never take the
 * room of ordinary requests. */
enum memory_share {
	MEMORY_SHORT,
	MEMORY_LONG,
	MEMORY_SHARE_COUNT,
};

/** Memory held for callers; each entry is for one share. */
struct memory_budget {
	uint64_t max_bytes[MEMORY_SHARE_COUNT];
	uint64_t held_bytes[MEMORY_SHARE_COUNT];
};

/** `memory_bytes` is what the process may use in all. */
void memory_budget_init(struct memory_budget *b, uint64_t memory_bytes);
/** Records that a holder of `from_bytes` now holds `to_bytes`. */
void memory_budget_change(struct memory_budget *b, uint64_t from_bytes,
			  uint64_t to_bytes);
bool memory_budget_exceeded(const struct memory_budget *b, enum memory_share s);
/** Longest body that fits into the long share. */
uint64_t memory_body_max_bytes(const struct memory_budget *b);

/** A request that is being received, or answers that are being sent. */
struct transfer {
	bool active;
	int64_t began_us;
	int64_t moved_us; /**< when the last byte was received or sent */
	uint64_t bytes; /**< since it began */
};

/** A connection as memory_yields_before() sees it. */
struct memory_holder {
	uint64_t held_bytes;
	struct transfer receiving;
	struct transfer sending;
	bool has_answers; /**< holds answers that wait for an earlier one */
};

/** When a connection has to give its memory back. A later value yields before
 * an earlier one. */
enum memory_yield {
	MEMORY_YIELD_NEVER, /**< its requests are at workers, or it is idle */
	MEMORY_YIELD_LAST, /**< has answers, and does not read slowly: to close
			      it loses answers to requests that have run */
	MEMORY_YIELD_FIRST, /**< its request is incomplete, so that it can be
			       refused as not run; or it reads slowly */
};

/** True if the caller has read nothing for a while, or slowly on average. */
bool memory_is_slow_reader(const struct memory_holder *h, int64_t now_us);
enum memory_yield memory_yield(const struct memory_holder *h, int64_t now_us);
/** True if `a` yields before `b`: the slowest transfer first, so that a crowd
 * that stops short cannot hold the memory, then the largest holder. */
bool memory_yields_before(const struct memory_holder *a,
			  const struct memory_holder *b, int64_t now_us);

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
	FRONT_ROUTE, /**< submit to the attempts: idempotent, or for a service
			with `bare`, which needs no tickets */
	FRONT_TICKET, /**< present to the issuer of `ticket` */
};

struct classification {
	enum front_disposition disposition;
	enum error_kind kind;
	const struct conf_route *route;
	const struct conf_service *service; /**< chosen for this request */
	uint64_t organisation;
	uint32_t requests_per_s; /**< limit of the organisation; 0: none */
	uint32_t burst; /**< requests that may exceed it for a moment */
	enum rank rank;
	bool has_ticket;
	bool gets_next_ticket; /**< its answer carries a new ticket */
	int64_t deadline_us;
	struct ticket ticket;
};

/** Finds the route, service, organisation, rank and deadline of a request and
 * decides whether it is refused, routed or needs its ticket presented. */
struct classification classify(const struct conf *c,
			       const struct caller_input *in, int64_t now_us);
/** Computes the deadline: the caller's, but no later than the route's time-out.
 * `ms_text` is the value of the caller's header; NULL: the default of the route
 * or of the service and rank is used. Returns ERR_BAD_REQUEST if `ms_text` is
 * not a number from 1 to DEADLINE_MAX_MS. */
enum error_kind classify_deadline(const struct conf_route *r, enum rank rank,
				  const char *ms_text, int64_t now_us,
				  int64_t *deadline_us);
/** True if a request that this daemon refuses with `k`, without submitting it,
 * certainly did not run. With a ticket that is not certain: an earlier
 * presentation of the ticket may have run. */
bool refusal_proves_not_run(enum error_kind k, bool has_ticket);

/* ---- protocol dialects of callers ---- */

/** What a dialect needs to write the headers of an answer. */
struct caller_answer {
	const struct answer *answer;
	const char *correlation; /**< the caller's id of the request, or NULL */
	const char *next_ticket; /**< new ticket for the caller, or NULL */
	const struct span *span;
};

/** How one protocol that callers use names headers and chooses statuses. */
struct caller_dialect_ops {
	const char *name;
	struct classification (*classify)(const struct conf *c,
					  const struct head *h, int64_t now_us);
	/** False for headers that concern this hop or the fleet, and so are not
	 * forwarded to the worker. */
	bool (*forwards_header)(const char *header);
	/** The id that the caller gave the request, or NULL. */
	const char *(*correlation)(const struct head *h);
	/** HTTP status of an answer. */
	uint16_t (*status)(const struct answer *a);
	/** Appends the headers that the dialect adds to an answer. */
	void (*add_headers)(const struct caller_answer *a, struct buf *out);
};

struct caller_dialect {
	const struct caller_dialect_ops *ops;
};

/** The protocol of this project, with Azurehold- headers (own.c). */
extern const struct caller_dialect front_own_dialect;
/** True for headers that concern one connection only (hop-by-hop). */
bool front_is_hop_header(const char *name);

/* ---- organisation limits (limit.c) ---- */

struct limiter;

struct limiter *limiter_create(uint32_t buckets);
void limiter_destroy(struct limiter *l);
/** Takes one token from an organisation's bucket; false if it has none. The
 * bucket is filled at `requests_per_s`, the rate for the whole fleet, divided
 * by `daemons`, the number of live daemons. A full bucket holds the whole
 * `burst`. */
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
	uint32_t in_flight_max; /**< most requests; see front_in_flight() */
	uint64_t memory_bytes; /**< that the process may use; 0: 256 MiB */
	uint32_t descriptors_max; /**< that the process may have; 0: 4096 */
	const struct caller_dialect *dialect; /**< NULL: front_own_dialect */
	struct conf_current *conf;
	struct membership *membership;
	struct attempts *attempts;
	struct ticket_duty *ticket;
};

struct front *front_create(const struct front_settings *s,
			   struct timer_service *timers, apr_pool_t *pool);
enum az_status front_start(struct front *f);
/** From now on the load balancer's health check is answered 200; until then
 * 503. */
void front_set_ready(struct front *f);
/** From now on the load balancer's health check is answered 503, and answers
 * close their connections. */
void front_set_stopping(struct front *f);
/** From now on new requests are refused (ERR_STOPPING) and idle connections are
 * closed. */
void front_quiesce(struct front *f);
/** Requests submitted whose answer was not yet passed to the connection. */
uint32_t front_in_flight(struct front *f);
/** Open connections of callers. */
uint32_t front_connections(struct front *f);
void front_stop(struct front *f);
/** To be called after front_stop(), when no answer can arrive any more. */
void front_destroy(struct front *f);

/* ---- private to the files of this folder ---- */

struct front_conn;

/** Receive buffers in the kernel, of connections and of those that receive a
 * long body. What the kernel has received counts as memory of the process on
 * the users' platform; with the default, it may be megabytes a connection. */
#define RECEIVE_BUFFER_BYTES 16384
#define LONG_RECEIVE_BUFFER_BYTES (256U << 10)
/** A longer body of an answer is not copied. */
#define ANSWER_COPIED_MAX_BYTES 16384

/** One request and its answer on a connection. */
struct exchange {
	struct reply_to reply;
	struct front *front;
	struct front_conn *conn; /**< NULL once the caller has closed it */
	struct exchange *next; /**< the next request on the connection */
	struct head head;
	struct buf body;
	uint32_t submitted_bytes; /**< held by the request that was made of it
				   */
	uint64_t held_bytes; /**< in front->memory once `conn` is NULL */
	struct span span;
	uint64_t attempt_id; /**< for attempts_cancel(); 0: none */
	uint64_t organisation;
	enum rank rank;
	int64_t started_us;
	bool request_complete; /**< fully read, or refused before that */
	bool submitted; /**< `answer` arrives through `reply` */
	bool has_ticket;
	bool gets_next_ticket;
	bool close_after; /**< the answer closes the connection */
	struct answer *answer; /**< NULL: not yet answered */
};

struct front_listener {
	struct poll_handler poll;
	struct front *front;
	bool health_only; /**< answers only the load balancer's health check */
};

struct front {
	struct duty duty;
	struct front_settings settings;
	const struct caller_dialect_ops *dialect;
	/** For callers, and for the health check at its separate address. */
	struct front_listener listeners[2];
	struct front_conn *conns;
	struct limiter *limiter;
	struct memory_budget memory;
	uint64_t submitted_bytes; /**< sum over all exchanges */
	int64_t armed_us; /**< when the timer fires; 0: not armed */
	uint32_t connections_max; /**< of callers */
	uint32_t conn_count; /**< atomic; without health check connections */
	uint32_t health_conn_count; /**< at the separate address */
	int64_t accept_again_us; /**< see front_pause_accepting(); 0: accepts */
	uint32_t in_flight; /**< atomic; see front_in_flight() */
	int32_t ready; /**< atomic */
	int32_t stopping; /**< atomic */
	int32_t quiesced; /**< atomic */
	struct counter *requests;
	struct counter *refused; /**< answers with an error kind */
	struct counter *answered; /**< answers with ERR_NONE */
	struct counter *callers_left; /**< requests in flight whose caller
					 closed the connection */
	struct counter *connections_closed; /**< to make room, or for want of
					       it */
	struct counter *memory_refused; /**< incomplete requests that gave way
					   to others' memory */
	struct counter *memory_closed; /**< connections closed for the memory
					  of answers that were not read */
	struct counter *memory_held; /**< bytes held for callers now */
	struct histogram *latency; /**< from the request's head to its answer */
};

bool front_is_stopping(const struct front *f);
bool front_is_quiesced(const struct front *f);
/** Result of the load balancer's health check; ERR_NONE: ready. */
enum error_kind front_health(const struct front *f);
/** Refuses a complete request, or submits it to the attempts or the tickets. */
void exchange_submit(struct exchange *x);
/** Sets an answer made by this daemon: an error, or ERR_NONE for a passed
 * health check. */
void exchange_refuse(struct exchange *x, enum error_kind k);
/** Appends the answer to `out`, as it is sent to the caller, but not a body
 * longer than ANSWER_COPIED_MAX_BYTES. Returns false if the body was left out
 * and is to be sent from the answer itself. */
bool exchange_write_answer(struct exchange *x, struct buf *out);
/** Memory that the exchange holds, with its request and its answer. */
uint64_t exchange_held_bytes(const struct exchange *x);
void exchange_free(struct exchange *x);
/** To be called when an exchange has got its answer: sends the answers that are
 * next in order, or frees the exchange if its connection is closed. */
void front_conn_answered(struct exchange *x);
/** Stops accepting for a moment: no descriptor is free, and the listening
 * sockets would stay readable. */
void front_pause_accepting(struct front *f);
/** Connections at the separate address of the health check. The load balancer
 * needs one at a time. */
#define HEALTH_CONNECTIONS_MAX 8
/** Accepts one connection; false if none waits. */
bool front_conn_accept(struct front *f, struct front_listener *l);
/** Handles the connections whose time-out has passed, and closes idle ones once
 * quiesced; returns the time of the next time-out. */
int64_t front_conns_expire(struct front *f, int64_t now_us);
void front_conns_close(struct front *f);
/** Arms the timer for `at_us`, unless it fires earlier. */
void front_arm(struct front *f, int64_t at_us);

#endif
