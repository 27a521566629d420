/**
 * @file
 * The home of a cell: admits forwarded calls once, queues them by rank, binds
 * each to a worker at the last moment, and answers queries about them.
 */
#ifndef CELL_CELL_H
#define CELL_CELL_H

#include <pthread.h>
#include <apr_hash.h>

#include "lib/az.h"
#include "conf/conf.h"
#include "health/health.h"
#include "member/member.h"
#include "upstream/upstream.h"

struct peer;

/** Names one forward; never used for a second. */
struct call_id {
	uint64_t sender; /**< member id */
	uint64_t incarnation; /**< of the sender */
	uint64_t sequence;
};

/** A request on its way to a home. */
struct forward {
	struct call_id id;
	uint64_t home_incarnation;
	uint64_t cell;
	uint16_t excluded; /**< bit i: not to worker i of the cell */
	struct request *request; /**< owned */
};

void forward_free(struct forward *f);

/* ---- rank queue (queue.c): plain state, time passed in ---- */

struct queue_item {
	struct queue_item *next;
	enum rank rank;
	int64_t enqueued_us;
	int64_t deadline_us;
};

/* Masks of queued requests rarely differ, so a short look ahead is enough. */
#define QUEUE_SCAN_MAX 16

struct queue_settings {
	uint32_t limit[RANK_COUNT];
	uint8_t share_percent[RANK_COUNT];
};

struct rank_queue {
	struct queue_settings settings;
	struct queue_item *head[RANK_COUNT];
	struct queue_item *tail[RANK_COUNT];
	uint32_t depth[RANK_COUNT];
	int64_t credit[RANK_COUNT]; /**< of the share, in dispatches x 100 */
	int64_t service_us; /**< smoothed time between dispatches */
	int64_t last_dispatch_us;
};

void rank_queue_init(struct rank_queue *q, const struct queue_settings *s);
/** ERR_NONE if taken; ERR_OVERLOADED if its rank is full; else
 * ERR_DEADLINE_NOT_RUN if it cannot be dispatched in time. */
enum error_kind rank_queue_push(struct rank_queue *q, struct queue_item *i,
				int64_t now_us);
/** Next to dispatch among those that `fits` accepts, or NULL. Items past their
 * deadline are linked to `expired`. At most QUEUE_SCAN_MAX of a rank are
 * looked at. */
struct queue_item *rank_queue_pop(struct rank_queue *q, int64_t now_us,
				  bool (*fits)(const struct queue_item *i,
					       void *arg),
				  void *arg, struct queue_item **expired);
/** Estimated time until a new item of rank `r` would be dispatched. */
int64_t rank_queue_wait_us(const struct rank_queue *q, enum rank r);
/** Takes out the items that will not be dispatched in time, as far as can be
 * told: a refusal now lets their callers try again. */
struct queue_item *rank_queue_take_hopeless(struct rank_queue *q,
					    int64_t now_us);
/** Takes one item out wherever it is; false if it is not in the queue. */
bool rank_queue_remove(struct rank_queue *q, struct queue_item *i);
uint32_t rank_queue_depth(const struct rank_queue *q);

/* ---- call table (calls.c): plain state, time passed in ---- */

#define CALLS_MAX 65536
#define CALL_RETENTION_US (120 * US_PER_S)

enum call_state {
	CALL_NEW, /**< not seen before; now entered as running */
	CALL_RUNNING,
	CALL_ANSWERED,
	CALL_SEALED,
	CALL_FORGOTTEN, /**< may have been seen and dropped since */
};

struct call {
	struct call_id id;
	enum call_state state;
	int64_t until_us; /**< kept at least until then, once ended */
	struct answer *answer; /**< if CALL_ANSWERED */
	void *running; /**< the home's own, if CALL_RUNNING */
	struct call *newer;
	struct call *older;
};

struct call_table;

struct call_table *call_table_create(void);
void call_table_destroy(struct call_table *t);
/** Enters a forward. CALL_NEW: run it. AZ_FULL as CALL_FORGOTTEN: refuse. */
enum call_state call_table_enter(struct call_table *t, const struct call_id *id,
				 int64_t now_us, struct call **out);
/** Answers a query; an unseen call becomes CALL_SEALED, or is
 * CALL_FORGOTTEN if one as old may have been dropped. */
enum call_state call_table_query(struct call_table *t, const struct call_id *id,
				 int64_t now_us, struct call **out);
/** Ends a running call; takes ownership of `a`. */
void call_table_end(struct call_table *t, struct call *c, struct answer *a,
		    int64_t now_us);
uint32_t call_table_size(const struct call_table *t);

/* ---- path to a worker (reach.c): plain state, time passed in ---- */

/** What is known of the path between this home and one worker. */
struct reach {
	int64_t asked_us; /**< another daemon was asked last; 0: never */
	bool cut; /**< others reach the worker, this home does not */
	bool down; /**< nobody who was asked reaches it */
};

/** A connection to the worker could not be made. True if a daemon in another
 * data centre is to be asked whether it can make one. */
bool reach_connect_failed(struct reach *r, int64_t now_us);
/** The other daemon's answer: a worker that it reaches is not at fault. */
void reach_answer(struct reach *r, bool reachable_elsewhere);
void reach_connected(struct reach *r);

/* ---- the duty ---- */

struct cell_home;

struct cell_settings {
	uint64_t member_id;
	uint64_t incarnation;
	struct conf_current *conf;
	struct membership *membership;
	struct upstream *upstream;
	struct peer *peer; /**< NULL: no other daemon is asked */
};

struct cell_home *cell_home_create(const struct cell_settings *s,
				   struct timer_service *timers,
				   apr_pool_t *pool);
enum az_status cell_home_start(struct cell_home *h);
void cell_home_stop(struct cell_home *h);
/** Takes ownership of `f`. `reply` gets exactly one answer. */
void cell_home_forward(struct cell_home *h, struct forward *f,
		       struct reply_to *reply);
/** `reply` gets the call's answer when there is one, ERR_SEALED if it was not
 * seen, or an answer with OUTCOME_UNKNOWN. */
void cell_home_query(struct cell_home *h, const struct call_id *id,
		     uint64_t home_incarnation, struct reply_to *reply);
/** Gives up a call that is queued; one at a worker is closed. */
void cell_home_cancel(struct cell_home *h, const struct call_id *id);
/** What the status page shows of a cell homed here. */
struct cell_info {
	uint64_t id;
	char service[CONF_NAME_MAX_BYTES];
	uint32_t queued;
	uint32_t at_workers;
};

#define CELL_INFO_MAX 64

/** Copies the state of the last tick; returns the number of cells. Any
 * thread. */
uint32_t cell_home_info(struct cell_home *h,
			struct cell_info out[CELL_INFO_MAX]);
/** Calls queued or at workers. Any thread. */
uint32_t cell_home_in_flight(struct cell_home *h);

/* ---- between the files of this slice ---- */

struct waiter {
	struct waiter *next;
	struct reply_to *reply;
};

struct homed_cell;

/** One admitted call, queued or at a worker. */
struct cell_call {
	struct queue_item item;
	struct homed_cell *cell;
	struct forward *forward;
	struct call *entry; /**< NULL if the call needs no sealing */
	struct waiter *waiters;
	uint64_t token; /**< while at a worker, else 0 */
	uint8_t worker;
	bool cancelled;
	bool probe;
};

struct homed_cell {
	uint64_t id;
	struct conf *conf; /**< keeps `conf_cell` */
	const struct conf_cell *conf_cell;
	struct rank_queue queue;
	struct health_pool *health;
	uint8_t busy[CELL_WORKERS_MAX];
	bool draining[CELL_WORKERS_MAX]; /**< the worker's own signal */
	struct reach reach[CELL_WORKERS_MAX];
	int64_t used_us;
};

struct cell_home {
	struct duty duty;
	struct upstream_sink sink;
	struct cell_settings settings;
	apr_hash_t *cells;
	apr_hash_t *at_worker; /**< token to cell_call */
	struct call_table *calls;
	uint64_t next_token;
	uint32_t in_flight; /**< atomic */
	pthread_mutex_t info_lock;
	struct cell_info info[CELL_INFO_MAX];
	uint32_t info_count;
	struct counter *ran;
	struct counter *refused;
	struct counter *sealed;
};

/** Ends a call with `a`, which it takes, and frees it. */
void cell_call_end(struct cell_home *h, struct cell_call *c, struct answer *a);
void cell_call_refuse(struct cell_home *h, struct cell_call *c,
		      enum error_kind k);
bool cell_any_eligible(const struct homed_cell *c, uint16_t excluded);
/** Binds a call to worker `w` and sends it there. */
void cell_send(struct cell_home *h, struct cell_call *c, uint8_t w, bool fresh);
void cell_refuse_expired(struct cell_home *h, struct queue_item *i);
/** Sends queued calls to free workers. */
void cell_dispatch(struct cell_home *h, struct homed_cell *cell);
/** Receives what became of requests at workers. */
extern const struct upstream_sink_ops cell_sink_ops;
void cell_record_reach(struct cell_home *h, struct homed_cell *cell, uint8_t w,
		       const struct upstream_result *r);
/** Asks a daemon in another data centre to connect to a worker. */
void cell_ask_another(struct cell_home *h, struct homed_cell *cell, uint8_t w);
/** True if others reach a worker that this home does not. */
bool cell_is_cut(const struct homed_cell *cell);
/** The cell, made on first use; NULL if the configuration has none. */
struct homed_cell *homed_cell_get(struct cell_home *h, uint64_t id);
void homed_cell_refresh(struct cell_home *h, struct homed_cell *cell);
void homed_cell_free(struct homed_cell *cell);
void cell_tick(struct cell_home *h, struct homed_cell *cell);
bool cell_is_unused(const struct homed_cell *cell, int64_t now_us);
/** Adds what the home tells about a cell; returns the new length. */
uint32_t cell_add_reports(const struct cell_home *h,
			  const struct homed_cell *cell, struct report *list,
			  uint32_t n);
void cell_publish_info(struct cell_home *h);

#endif
