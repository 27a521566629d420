/**
 * @file
 * Stand-ins, for tests, of the systems around azurehold: a worker of an
 * upstream, and the platform's object store with its VM list. slots.c, faults.c
 * and objects.c do no I/O. relay_main.c, a TCP relay, uses nothing of this
 * header.
 *
 * A run is one execution of a request by a worker; a call is one HTTP request
 * to the store.
 */
#ifndef FAKE_FAKE_H
#define FAKE_FAKE_H

#include <apr_hash.h>

#include <stdio.h>

#include "lib/az.h"

/* ---- slots and run counts of a worker (slots.c) ---- */

/* Most requests that wait for a slot if the worker does not shed; limits its
 * memory. */
#define WAITING_MAX 65536

/** Random number generator; the same seed gives the same numbers. */
struct prng {
	uint16_t state[3];
};

void prng_seed(struct prng *p, uint64_t seed);

/** Uniform in [0, 1). */
double prng_unit(struct prng *p);

/** True with a probability of `percent`. */
bool prng_percent(struct prng *p, uint32_t percent);

struct service_time {
	int64_t mean_us; /**< after the cold start */
	bool fixed; /**< always `mean_us`; otherwise exponential */
	int64_t cold_start_us; /**< length of the cold start */
	uint32_t cold_factor_percent; /**< service time at the start of the
					 process in percent of the usual one;
					 falls linearly to 100 */
};

/** Service time of one request, `age_us` after the start of the process. */
int64_t service_time_sample(const struct service_time *s, struct prng *p,
			    int64_t age_us);

/** A request in a slot pool. */
struct slot_item {
	struct slot_item *next;
	int64_t deadline_us; /**< as `now_us`; INT64_MAX: none */
};

/** Slots of a worker, and the FIFO of the requests that wait for one. */
struct slot_pool {
	uint32_t slots;
	uint32_t backlog; /**< most waiting requests if `shedding` */
	bool shedding; /**< otherwise up to WAITING_MAX may wait */
	uint32_t running;
	uint32_t waiting;
	struct slot_item *head;
	struct slot_item *tail;
};

/** Asks for a slot. AZ_OK: the request has one; AZ_AGAIN: it waits; AZ_FULL: it
 * is shed. */
enum az_status slot_pool_enter(struct slot_pool *p, struct slot_item *i);

/** Frees a slot; slot_pool_next() gives it to a waiting request. */
void slot_pool_leave(struct slot_pool *p);

/** Gives a free slot to the next waiting request and returns it; NULL if there
 * is no free slot or no request. Requests whose deadline has passed are added
 * to the list `expired` instead. */
struct slot_item *slot_pool_next(struct slot_pool *p, int64_t now_us,
				 struct slot_item **expired);

/** Removes a waiting request; false if it does not wait. */
bool slot_pool_remove(struct slot_pool *p, const struct slot_item *i);

/** Number of runs of each run id, to detect work that ran more than once. */
struct run_table {
	apr_pool_t *pool;
	apr_hash_t *counts; /**< id to uint32_t */
	uint32_t repeated; /**< ids that ran more than once */
};

void run_table_init(struct run_table *t, apr_pool_t *pool);

/** Counts a run of `id`; returns the number of its runs so far. */
uint32_t run_table_add(struct run_table *t, const char *id);

/* ---- faults of a worker (faults.c) ---- */

/** What the worker does with a request or an answer. */
enum fault_action {
	FAULT_PASS, /**< as a healthy worker */
	FAULT_ERROR, /**< answer 500 */
	FAULT_SHED, /**< answer 503 without running the request */
	FAULT_TRUNCATE, /**< send the full Content-Length and half of the body,
			   then close */
	FAULT_SILENT, /**< never answer, and leave the connection open */
	FAULT_CLOSE, /**< close without an answer */
	FAULT_DELAY, /**< answer later by `late_ms` of the fault */
};

/** Properties of a request that a fault may depend on. */
struct fault_request {
	bool post;
	bool reused; /**< not the first request on its connection */
};

struct fault;

/** A fault mode. A callback that is NULL has no effect. */
struct fault_ops {
	const char *name; /**< value of "mode" */
	/** Before the request runs. */
	enum fault_action (*on_request)(struct fault *f,
					const struct fault_request *r,
					int64_t now_us);
	/** After the request ran. */
	enum fault_action (*on_answer)(struct fault *f,
				       const struct fault_request *r,
				       int64_t now_us);
	/** Returns the service time; `us` is that of a healthy worker. */
	int64_t (*service_us)(struct fault *f, int64_t us, int64_t now_us);
	bool refuses_connections; /**< new ones stay in the listen queue */
	bool silences_connections; /**< those open when the fault begins are
				      never served again */
	bool draining; /**< answers carry Azurehold-Draining, and the health
			  endpoint answers 503 */
	bool names_pause; /**< its 503 answers carry Retry-After: `late_ms` */
	bool hidden_from_health; /**< the health endpoint answers 200 */
};

struct fault {
	const struct fault_ops *ops;
	uint32_t factor_percent; /**< slow: service time in percent of the usual
				    one */
	uint32_t percent; /**< share of the requests that are affected */
	uint32_t late_every; /**< late, crossed: delays one in this many answers
			      */
	uint32_t late_count; /**< late, crossed: answers so far */
	int64_t late_ms; /**< late, crossed: delay; pause: its length */
	int64_t period_us; /**< flap: length of a phase with or without fault */
	int64_t began_us; /**< time of fault_parse() */
	const struct fault_ops *inner; /**< flap: mode in the faulty phases */
	struct prng prng;
};

/** Returns the mode of that name; NULL if there is none. */
const struct fault_ops *fault_find(const char *name);

/** Sets the mode none. */
void fault_init(struct fault *f, uint64_t seed);

/** Begins the fault that a query string describes, as "mode=slow&factor=10",
 * which makes requests 10 times slower. Other fields, as in struct fault:
 * percent, every (`late_every`), ms (`late_ms`), period_ms, inner (a mode, for
 * flap). On AZ_INVALID `f` is unchanged. */
enum az_status fault_parse(struct fault *f, const char *query, int64_t now_us);

enum fault_action fault_on_request(struct fault *f,
				   const struct fault_request *r,
				   int64_t now_us);

enum fault_action
fault_on_answer(struct fault *f, const struct fault_request *r, int64_t now_us);

int64_t fault_service_us(struct fault *f, int64_t us, int64_t now_us);

/** True if the health endpoint answers 200. It shows a fault `lag_us` after the
 * fault began, but draining at once. */
bool fault_health_ok(const struct fault *f, int64_t lag_us, int64_t now_us);

/* ---- objects and faults of the store (objects.c) ---- */

#define OBJECT_MAX_BYTES (1U << 20)
#define OBJECT_KEY_MAX_BYTES 512

/** One object, or the tombstone of a deleted one. */
struct object {
	char *key;
	uint64_t version; /**< store-wide revision of its last write */
	bool deleted; /**< a tombstone */
	struct buf value;
};

/** All objects and tombstones, sorted by key. */
struct objects {
	uint64_t revision; /**< number of the last write or deletion, counted
			      from 1 */
	uint32_t count;
	uint32_t capacity;
	struct object *list;
};

enum condition_kind {
	CONDITION_NONE,
	CONDITION_VERSION, /**< only if the object has `version` */
	CONDITION_ABSENT, /**< only if there is no such object */
};

/** Condition of a write. */
struct condition {
	enum condition_kind kind;
	uint64_t version;
};

/** Parses the values of If-Match and If-None-Match; NULL: header is absent. */
enum az_status condition_parse(const char *if_match, const char *if_none_match,
			       struct condition *out);

/** Parses the revision in an If-None-Match value, which is a number in quotes.
 * False if the header is absent (NULL) or has another form. */
bool revision_parse(const char *if_none_match, uint64_t *out);

/** NULL if the object does not exist or is deleted. */
const struct object *objects_get(const struct objects *o, const char *key);

/** Writes an object if the condition holds. `version` gets its current version,
 * also on AZ_CONFLICT (0: no such object). AZ_FULL above OBJECT_MAX_BYTES. */
enum az_status objects_put(struct objects *o, const char *key,
			   const struct condition *c, const void *data,
			   uint32_t len_bytes, uint64_t *version);

/** Deletes if the condition holds; AZ_NOT_FOUND if there is no object. */
enum az_status objects_delete(struct objects *o, const char *key,
			      const struct condition *c, uint64_t *version);

/** Returns the first object from index `from` on whose key has the prefix and
 * whose version is above `after`, or NULL; moves `from` behind it. Includes
 * tombstones. */
const struct object *objects_next_changed(const struct objects *o,
					  const char *prefix, uint64_t after,
					  uint32_t *from);

/** True if a watch of the prefix has a change after revision `after` to report.
 */
bool objects_watch_ready(const struct objects *o, const char *prefix,
			 uint64_t after);

void objects_free(struct objects *o);

/** Replaces `to` by a copy of `from`. */
void objects_copy(struct objects *to, const struct objects *from);

/** What the store does with a call of the object API. Faults do not affect the
 * VM list. */
enum store_action {
	STORE_SERVE, /**< without a fault */
	STORE_DOWN, /**< close without an answer and without effect */
	STORE_LOSE_REPLY, /**< carry out, then close without an answer */
	STORE_HOLD_WRITE, /**< serve only after the fault is changed */
	STORE_HOLD_REPLY, /**< carry out, and close without an answer when the
			     fault is changed */
	STORE_OLD_COPY, /**< read from and write to the snapshot */
};

struct store_fault;

struct store_fault_ops {
	const char *name; /**< value of "mode" */
	enum store_action (*action)(struct store_fault *f, bool write);
};

struct store_fault {
	const struct store_fault_ops *ops;
	int64_t delay_us; /**< slow: delay of each call of the object API */
	uint32_t count; /**< lose-reply, hold-*: writes left to affect */
};

/* Actions of the modes; store.c compares `action` of the mode with store_down
 * and store_old_copy. */

enum store_action store_down(struct store_fault *f, bool write);

enum store_action store_lose_reply(struct store_fault *f, bool write);

enum store_action store_hold_write(struct store_fault *f, bool write);

enum store_action store_hold_reply(struct store_fault *f, bool write);

enum store_action store_old_copy(struct store_fault *f, bool write);

/** Sets the fault mode. `ms` is the delay of slow, `count` the number of writes
 * that lose-reply and hold-* affect. On AZ_INVALID `f` is unchanged. */
enum az_status store_fault_set(struct store_fault *f, const char *mode,
			       int64_t ms, uint32_t count);

/* ---- worker (worker.c) ---- */

struct fake_worker_settings {
	const char *name;
	const char *listen; /**< "IP:PORT" */
	const char *control; /**< "IP:PORT" of the control port; NULL: none */
	const char *health_path;
	uint32_t slots;
	uint32_t backlog;
	bool shedding;
	struct service_time service;
	int64_t connect_us; /**< time from accept until a connection is served
			     */
	int64_t probe_us; /**< service time of a GET of the health path */
	int64_t health_lag_us; /**< age of the reported health and load */
	uint32_t answer_bytes; /**< length of the padding in each answer */
	uint64_t seed;
	FILE *run_log; /**< gets a line for each run; NULL: none */
};

/** Ids under which a worker counts requests against what it has said, as if
 * they were runs. */
#define RUN_AFTER_LEAVING "!leaving"
#define RUN_IN_PAUSE "!pause"

/** A worker: one duty that serves both ports, `listen` and `control`. */
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
	int64_t vm_lag_us; /**< delay before a change of the VM list is visible
			    */
};

/** The store. Threads of libmicrohttpd parse calls and pass them to one duty,
 * which owns all state; each connection is suspended until its answer is ready.
 */
struct fake_store;

/** NULL on failure; az_last_message() has the reason. */
struct fake_store *fake_store_create(const struct fake_store_settings *settings,
				     struct timer_service *timers,
				     apr_pool_t *pool);
/** Starts the duty and opens both ports. There is no stop function: all state
 * is in memory and pending watches need no answer, so the program may just
 * exit. */
enum az_status fake_store_start(struct fake_store *s);

#endif
