/**
 * @file
 * Callers' HTTP: framing, limits on what they send, classification, and one
 * answer for each request in the order of the requests. A caller that leaves
 * has its work cancelled.
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

/* ---- heads of requests (head.c): plain state ---- */

#define HEAD_FIELDS_MAX 128

struct head_field {
	uint32_t name; /**< offset in `text` */
	uint32_t value;
};

/** Request line and headers of one request. */
struct head {
	struct buf text; /**< zero-terminated strings */
	char method[METHOD_MAX_BYTES];
	uint32_t target; /**< offset in `text` */
	uint32_t field_count;
	struct head_field fields[HEAD_FIELDS_MAX];
	bool keep_alive;
	bool continues; /**< the caller waits for 100 before it sends the body
			 */
	uint64_t body_bytes; /**< as announced; UINT64_MAX: not */
};

void head_reset(struct head *h);
void head_free(struct head *h);
const char *head_target(const struct head *h);
/** First value of a header, NULL if it is absent. */
const char *head_value(const struct head *h, const char *name);
const char *head_name_at(const struct head *h, uint32_t i);
const char *head_value_at(const struct head *h, uint32_t i);
uint32_t head_count(const struct head *h, const char *name);

/** How many bytes of `data` belong to a head that ends there, with its empty
 * line; 0 if the end is not in it. `held_bytes` of it were looked at before. */
uint32_t head_end(const uint8_t *data, uint32_t len_bytes, uint32_t held_bytes);
/** ERR_NONE if the framing of a whole head can be read in one way only: line
 * ends are CR LF, there is no control character. */
enum error_kind head_check_bytes(const uint8_t *data, uint32_t len_bytes);
/** ERR_NONE if the fields say one thing: one Host, one length, no length beside
 * chunks. */
enum error_kind head_check_fields(const struct head *h);

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

enum front_disposition {
	FRONT_REFUSE, /**< see `kind` */
	FRONT_ROUTE, /**< idempotent, or bare */
	FRONT_TICKET, /**< to the issuer of `ticket` */
};

struct classification {
	enum front_disposition disposition;
	enum error_kind kind;
	const struct conf_route *route;
	const struct conf_service *service; /**< that this request goes to */
	uint64_t organisation;
	uint32_t requests_per_s;
	uint32_t burst;
	enum rank rank;
	bool has_ticket;
	bool single; /**< the answer carries a next ticket */
	int64_t deadline_us;
	struct ticket ticket;
};

struct classification classify(const struct conf *c,
			       const struct caller_input *in, int64_t now_us);
/** The earlier of the caller's deadline and the route's time-out. `ms_text` is
 * what the caller said, or NULL. ERR_BAD_REQUEST if it cannot be read. */
enum error_kind classify_deadline(const struct conf_route *r, enum rank rank,
				  const char *ms_text, int64_t now_us,
				  int64_t *deadline_us);
/** True if a refusal by this daemon, before it passed the request on, proves
 * that the work did not run. Of a request that carries a ticket it proves
 * nothing: an earlier presentation through another daemon may have run. */
bool refusal_proves_not_run(enum error_kind k, bool has_ticket);

/* ---- how callers speak ---- */

/** What an answer's headers are made of. */
struct caller_answer {
	const struct answer *answer;
	const char *correlation; /**< the caller's id of the request, or NULL */
	const char *next_ticket; /**< or NULL */
	const struct span *span;
};

/** A way in which callers name things: headers and statuses. */
struct caller_dialect_ops {
	const char *name;
	struct classification (*classify)(const struct conf *c,
					  const struct head *h, int64_t now_us);
	/** False for headers that are for this hop or for the fleet. */
	bool (*forwards_header)(const char *header);
	/** The caller's own id of the request, or NULL. */
	const char *(*correlation)(const struct head *h);
	uint16_t (*status)(const struct answer *a);
	void (*add_headers)(const struct caller_answer *a, struct buf *out);
};

struct caller_dialect {
	const struct caller_dialect_ops *ops;
};

/** The project's own interface (own.c). */
extern const struct caller_dialect front_own_dialect;
/** Headers that concern one connection only. */
bool front_is_hop_header(const char *name);

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
struct attempts;

struct front_settings {
	uint32_t ip;
	uint16_t port;
	uint32_t health_ip; /**< where the balancer asks besides */
	uint16_t health_port; /**< 0: nowhere */
	uint32_t in_flight_max;
	const struct caller_dialect *dialect; /**< NULL: the project's own */
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
/** Takes no new requests: a new one is refused as not run, connections without
 * one are closed. */
void front_quiesce(struct front *f);
/** Gives up the idempotent requests that are still under way, so that answers
 * behind them on their connections are delivered. */
void front_cancel_attempts(struct front *f);
/** Requests that are not answered, or whose answer is not on its connection
 * yet. */
uint32_t front_in_flight(struct front *f);
/** Open connections of callers. */
uint32_t front_connections(struct front *f);
void front_stop(struct front *f);
/** Once stopped, and when no answer can arrive any more. */
void front_destroy(struct front *f);

/* ---- between the files of this slice ---- */

struct front_conn;

/** One request on its connection, from its head to the end of its answer. */
struct exchange {
	struct reply_to reply;
	struct front *front;
	struct front_conn *conn; /**< NULL once the caller has left */
	struct exchange *next; /**< behind it on the connection */
	struct head head;
	struct buf body;
	struct span span;
	uint64_t attempt_id; /**< names it in a cancel; 0: none */
	uint64_t organisation;
	enum rank rank;
	int64_t begun_us;
	bool whole; /**< read to its end */
	bool submitted;
	bool has_ticket;
	bool single;
	bool close_after;
	struct answer *answer;
};

struct front_listener {
	struct poll_handler poll;
	struct front *front;
	bool balancer_only; /**< answers nothing but the health check */
};

struct front {
	struct duty duty;
	struct front_settings settings;
	const struct caller_dialect_ops *dialect;
	struct front_listener listeners[2];
	struct front_conn *conns;
	struct limiter *limiter;
	uint64_t body_bytes; /**< of requests held */
	int64_t armed_us;
	uint32_t conn_count; /**< atomic; of callers */
	uint32_t in_flight; /**< atomic */
	int32_t ready; /**< atomic */
	int32_t stopping; /**< atomic */
	int32_t quiesced; /**< atomic */
	struct counter *requests;
	struct counter *refused;
	struct counter *answered;
	struct counter *left;
	struct histogram *latency;
};

bool front_is_stopping(const struct front *f);
bool front_is_quiesced(const struct front *f);
/** What the balancer's health check is answered; ERR_NONE: ready. */
enum error_kind front_health(const struct front *f);
/** A request is whole: it is refused or passed on. */
void exchange_submit(struct exchange *x);
/** Gives the exchange its answer without passing it on. */
void exchange_refuse(struct exchange *x, enum error_kind k);
/** Appends the answer as it goes to the caller. */
void exchange_print(struct exchange *x, struct buf *out);
void exchange_free(struct exchange *x);
/** An answer is there, or the exchange was refused: conn.c sends what is in
 * order. */
void front_conn_answered(struct exchange *x);
/** False if no connection waits. */
bool front_conn_accept(struct front *f, struct front_listener *l);
/** Closes what has been idle or slow for too long; returns the next due time.
 */
int64_t front_conns_tick(struct front *f, int64_t now_us);
void front_conns_give_up(struct front *f);
void front_conns_close(struct front *f);
void front_arm(struct front *f, int64_t at_us);

#endif
