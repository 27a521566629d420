/**
 * @file
 * Stand-ins of the systems that azurehold meets: a worker of an upstream, and
 * the platform's store with its VM list. Decisions do no I/O.
 */
#ifndef FAKE_FAKE_H
#define FAKE_FAKE_H

#include <apr_hash.h>

#include <stdio.h>

#include "lib/az.h"

/* ---- slots and runs of a worker (slots.c): plain state ---- */

/* Keeps the memory of a flooded worker without shedding within bounds. */
#define WAITING_MAX 65536

/** Seeded random numbers, so that a run can be repeated. */
struct draw {
	uint16_t state[3];
};

void draw_seed(struct draw *d, uint64_t seed);

/** Uniform in [0, 1). */
double draw_unit(struct draw *d);

bool draw_percent(struct draw *d, uint32_t percent);

struct service_time {
	int64_t mean_us;
	bool fixed; /**< otherwise exponential */
	int64_t cold_start_us; /**< after the start of the process */
	uint32_t cold_factor_percent; /**< at the start; falls to 100 */
};

/** Time that one request needs, `age_us` after the start of the process. */
int64_t service_time_draw(const struct service_time *s, struct draw *d,
			  int64_t age_us);

struct slot_item {
	struct slot_item *next;
	int64_t deadline_us; /**< INT64_MAX: none */
};

/** FIFO of requests that wait for one of the slots. */
struct slot_pool {
	uint32_t slots;
	uint32_t backlog;
	bool shedding; /**< otherwise WAITING_MAX may wait */
	uint32_t running;
	uint32_t waiting;
	struct slot_item *head;
	struct slot_item *tail;
};

/** AZ_OK: it runs now; AZ_AGAIN: it waits; AZ_FULL: it is shed. */
enum az_status slot_pool_enter(struct slot_pool *p, struct slot_item *i);

void slot_pool_leave(struct slot_pool *p);

/** Next that may run, now counted as running, or NULL. One whose deadline has
 * passed goes to `expired` and takes no slot. */
struct slot_item *slot_pool_next(struct slot_pool *p, int64_t now_us,
				 struct slot_item **expired);

/** Takes out a waiting item; false if it does not wait. */
bool slot_pool_remove(struct slot_pool *p, const struct slot_item *i);

/** How often each piece of work ran. */
struct run_table {
	apr_pool_t *pool;
	apr_hash_t *counts; /**< id to uint32_t */
	uint32_t repeated; /**< ids that ran more than once */
};

void run_table_init(struct run_table *t, apr_pool_t *pool);

/** Counts a run of `id`; returns its number, from 1. */
uint32_t run_table_add(struct run_table *t, const char *id);

/* ---- faults of a worker (faults.c): plain state ---- */

enum fault_action {
	FAULT_PASS, /**< as a healthy worker */
	FAULT_ERROR, /**< 500 */
	FAULT_SHED, /**< 503, not run */
	FAULT_HALF, /**< whole Content-Length, half of the body, close */
	FAULT_SILENT, /**< never answered */
	FAULT_CLOSE, /**< closed without an answer */
	FAULT_LATE, /**< answered `ms` later */
};

/** What a fault can see of a request. */
struct fault_request {
	bool post;
	bool reused; /**< not the first on its connection */
};

struct fault;

/** What varies between faults. Members may be NULL: no effect. */
struct fault_ops {
	const char *name;
	/** Before the work runs. */
	enum fault_action (*request)(struct fault *f,
				     const struct fault_request *r,
				     int64_t now_us);
	/** After the work ran. */
	enum fault_action (*answer)(struct fault *f,
				    const struct fault_request *r,
				    int64_t now_us);
	/** Changes a service time. */
	int64_t (*service_us)(struct fault *f, int64_t us, int64_t now_us);
	bool refuses_connections; /**< leaves them in the listen queue */
	bool silences_open; /**< connections open when it begins go silent */
	bool draining; /**< answers say so, health is 503 */
	bool hidden; /**< the health endpoint never tells */
};

struct fault {
	const struct fault_ops *ops;
	uint32_t factor_percent; /**< slow: 1000 is ten times */
	uint32_t percent; /**< of the requests that are affected */
	uint32_t every; /**< late: one answer in so many */
	uint32_t count; /**< late: answers seen */
	int64_t ms; /**< late: delay */
	int64_t period_us; /**< flap: on and off for this long each */
	int64_t began_us;
	const struct fault_ops *inner; /**< flap: fault while on */
	struct draw draw;
};

/** NULL if there is no such mode. */
const struct fault_ops *fault_find(const char *name);

/** No fault. */
void fault_init(struct fault *f, uint64_t seed);

/** Begins a fault, as "mode=slow&factor=10". Other fields: percent, every, ms,
 * period_ms, inner (flap). AZ_INVALID leaves `f` as it is. */
enum az_status fault_parse(struct fault *f, const char *query, int64_t now_us);

enum fault_action fault_on_request(struct fault *f,
				   const struct fault_request *r,
				   int64_t now_us);

enum fault_action
fault_on_answer(struct fault *f, const struct fault_request *r, int64_t now_us);

int64_t fault_service_us(struct fault *f, int64_t us, int64_t now_us);

/** What the health endpoint says; it learns of a fault `lag_us` late, but of
 * draining at once. */
bool fault_health_ok(const struct fault *f, int64_t lag_us, int64_t now_us);

/* ---- objects and faults of the store (objects.c): plain state ---- */

#define OBJECT_MAX_BYTES (1U << 20)
#define OBJECT_KEY_MAX_BYTES 512

/** One object, or the mark of a deleted one. */
struct object {
	char *key;
	uint64_t version; /**< store-wide revision of its last write */
	bool deleted;
	struct buf value;
};

/** Sorted by key. */
struct objects {
	uint64_t revision; /**< rises with each write */
	uint32_t count;
	uint32_t room;
	struct object *list;
};

enum condition_kind {
	CONDITION_NONE,
	CONDITION_VERSION, /**< only at this version */
	CONDITION_ABSENT, /**< only if there is no such object */
};

struct condition {
	enum condition_kind kind;
	uint64_t version;
};

/** Condition of If-Match and If-None-Match values; NULL if absent. */
enum az_status condition_parse(const char *if_match, const char *if_none_match,
			       struct condition *out);

/** Revision in an If-None-Match value, as "7" with its quotes. False if there
 * is none, or it is another kind of tag. */
bool revision_parse(const char *if_none_match, uint64_t *out);

/** Live object or NULL. */
const struct object *objects_get(const struct objects *o, const char *key);

/** Writes if the condition holds. `version` is set to the current version,
 * also on AZ_CONFLICT (0: absent). AZ_FULL above OBJECT_MAX_BYTES. */
enum az_status objects_put(struct objects *o, const char *key,
			   const struct condition *c, const void *data,
			   uint32_t len_bytes, uint64_t *version);

/** Deletes if the condition holds; AZ_NOT_FOUND if there is no object. */
enum az_status objects_delete(struct objects *o, const char *key,
			      const struct condition *c, uint64_t *version);

/** First object at or after index `from` that is under the prefix and newer
 * than `after`, or NULL; `from` is moved behind it. Includes deleted ones. */
const struct object *objects_changed(const struct objects *o,
				     const char *prefix, uint64_t after,
				     uint32_t *from);

/** True if a watch has something to tell. */
bool objects_watch_ready(const struct objects *o, const char *prefix,
			 uint64_t after);

void objects_free(struct objects *o);

/** Replaces `to` by a copy of `from`. */
void objects_copy(struct objects *to, const struct objects *from);

/* Faults of the store. */

/** What the HTTP side does with a call. */
enum store_action {
	STORE_SERVE,
	STORE_DOWN, /**< closed without an answer; no effect */
	STORE_LOSE_REPLY, /**< takes effect; closed without an answer */
	STORE_HOLD_WRITE, /**< served once the fault is changed */
	STORE_HOLD_REPLY, /**< as STORE_LOSE_REPLY, but closed once the fault is
			     changed */
	STORE_OLD_COPY, /**< served from the snapshot, also writes */
};

struct store_fault;

struct store_fault_ops {
	const char *name;
	enum store_action (*action)(struct store_fault *f, bool write);
};

struct store_fault {
	const struct store_fault_ops *ops;
	int64_t delay_us; /**< slow: before each call is served */
	uint32_t count; /**< lose-reply, hold-*: writes still to affect */
};

enum store_action store_down(struct store_fault *f, bool write);

enum store_action store_lose_reply(struct store_fault *f, bool write);

enum store_action store_hold_write(struct store_fault *f, bool write);

enum store_action store_hold_reply(struct store_fault *f, bool write);

enum store_action store_old_copy(struct store_fault *f, bool write);

/** AZ_INVALID leaves `f` as it is. `ms` counts for slow, `count` for
 * lose-reply and hold-*. */
enum az_status store_fault_set(struct store_fault *f, const char *mode,
			       int64_t ms, uint32_t count);

/* ---- worker (worker.c) ---- */

struct fake_worker_settings {
	const char *name;
	const char *listen; /**< "IP:PORT" */
	const char *control; /**< "IP:PORT"; NULL: none */
	const char *health_path;
	uint32_t slots;
	uint32_t backlog;
	bool shedding;
	struct service_time service;
	int64_t connect_us; /**< cost of a new connection */
	int64_t probe_us; /**< cost of a GET of the health path */
	int64_t health_lag_us;
	uint32_t answer_bytes; /**< padding in each answer */
	uint64_t seed;
	FILE *run_log; /**< gets a line for each run; NULL: none */
};

/** One duty that serves the service port and the control port. */
struct fake_worker;

/** NULL if an address cannot be used; az_last_message() has the reason. */
struct fake_worker *fake_worker_create(const struct fake_worker_settings *s,
				       struct timer_service *timers,
				       apr_pool_t *pool);
enum az_status fake_worker_start(struct fake_worker *w);
void fake_worker_stop(struct fake_worker *w);

/* ---- store (store.c) ---- */

struct fake_store_settings {
	const char *listen; /**< "IP:PORT" of the API */
	const char *control; /**< "IP:PORT" of /control/ */
	int64_t vm_lag_us; /**< the VM list is this late */
};

/** libmicrohttpd threads parse calls and hand them to one duty that owns all
 * state; a call is suspended until the duty has its answer. */
struct fake_store;

/** NULL on failure; az_last_message() has the reason. */
struct fake_store *fake_store_create(const struct fake_store_settings *settings,
				     struct timer_service *timers,
				     apr_pool_t *pool);
/** Starts the duty and opens both ports. All state is in memory and open
 * watches need no answer, so the program may just exit. */
enum az_status fake_store_start(struct fake_store *s);

#endif
