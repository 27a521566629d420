/**
 * @file
 * The home of a cell, the workers of one service in one region: it grants
 * workers' slots to the daemons that hold requests, in the order of their
 * ranks, and learns from them how each request ended. A grant is a hint: the
 * asker sends the request itself and once, so a home that dies loses nothing.
 */
#ifndef HOME_HOME_H
#define HOME_HOME_H

#include <pthread.h>
#include <apr_hash.h>

#include "conf/conf.h"
#include "lib/az.h"
#include "member/member.h"
#include "peer/peer.h"

#define HOME_EXCLUDED_MAX 6

/** Names the cell of a service in a region. */
uint64_t home_cell_id(uint64_t service, uint32_t region);

/* ---- messages (wire.c encodes them) ---- */

enum home_kind {
	HOME_ASK, /**< for a worker; asked again it changes nothing */
	HOME_GRANT,
	HOME_QUEUED,
	HOME_REFUSE,
	HOME_COMPLETION, /**< how the request at the worker ended */
	HOME_COMPLETION_ACK,
	HOME_CANCEL, /**< of an ask that is no longer wanted */
	HOME_KIND_COUNT,
};

/** How a request at a worker ended, as evidence about the worker. */
enum home_event {
	EVENT_ANSWERED, /**< whole answer below 500 */
	EVENT_SERVER_ERROR,
	EVENT_SHED, /**< refused for load, not run */
	EVENT_NO_VALID_ANSWER, /**< reset, truncated, or no answer of its own */
	EVENT_TIMEOUT,
	EVENT_UNREACHABLE, /**< no connection */
	EVENT_WRONG_WORKER, /**< another worker has its address */
	EVENT_CANCELLED, /**< sent, and given up before an answer came */
	EVENT_NO_EVIDENCE, /**< not sent, or nobody knows: no evidence */
	EVENT_COUNT,
};

/** One datagram; what its kind does not use is zero. */
struct home_msg {
	enum home_kind kind;
	uint64_t asker_incarnation; /**< incarnation of the daemon that asks */
	uint64_t sequence; /**< of the ask; never used for a second */
	/* ASK */
	uint64_t service; /**< id */
	uint32_t region;
	uint32_t dc; /**< of the asker */
	uint8_t rank;
	bool idempotent;
	bool first_ask; /**< first ask for its request: fills the retry budget
			 */
	bool is_retry; /**< draws on the retry budget */
	bool no_queueing; /**< refuse rather than queue */
	bool must_queue; /**< queue however long the wait, as nobody else has
			  * room
			  */
	uint32_t left_ms; /**< until the deadline */
	uint32_t target_ms; /**< until the latency target; 0: none or past */
	uint8_t excluded_count;
	uint64_t excluded[HOME_EXCLUDED_MAX]; /**< workers not to grant */
	/* GRANT, END */
	uint64_t worker;
	uint32_t typical_max_us; /**< GRANT: most requests take less */
	/* QUEUED, REFUSE */
	uint32_t wait_ms; /**< estimated wait; REFUSE: when to come again */
	uint8_t error; /**< REFUSE: enum error_kind */
	/* END */
	uint8_t event; /**< enum home_event */
	uint32_t latency_us;
};

#define HOME_DATAGRAM_MAX_BYTES 256

/** Encodes and signs; returns the length, 0 if there is no key. */
uint32_t home_encode(const struct home_msg *m, const struct fleet_keys *keys,
		     uint8_t out[HOME_DATAGRAM_MAX_BYTES]);
/** AZ_INVALID if malformed, AZ_DENIED if the MAC is wrong. */
enum az_status home_decode(const uint8_t *data, uint32_t len_bytes,
			   const struct fleet_keys *keys, struct home_msg *out);

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

/* ---- retry budget (budget.c): plain state ---- */

/* Two windows of the users' budget, of 10 s each. */
#define RETRY_BUDGET_S 20

/** Repeats allowed by the requests of this window, of the one before it or of
 * the one half a window ago, whichever had most. It starts empty: homes that
 * come and go must not bring repeats of their own. */
struct retry_budget {
	uint32_t slack; /**< repeats beyond the share, once requests were seen
			 */
	int64_t second; /**< newest that is counted */
	uint32_t requests[RETRY_BUDGET_S]; /**< first asks by second */
	uint32_t repeats[RETRY_BUDGET_S];
};

void retry_budget_init(struct retry_budget *b, uint32_t slack);
void retry_budget_request(struct retry_budget *b, int64_t now_us);
/** Takes a repeat; `percent` of the requests may be repeated. False if there
 * is none left. */
bool retry_budget_take(struct retry_budget *b, uint8_t percent, int64_t now_us);

/* ---- what is known of a worker (track.c): plain state, time passed in ---- */

#define TRACK_OUT_MAX 64

struct worker_evidence {
	uint32_t out_count;
	int64_t out_us[TRACK_OUT_MAX]; /**< when each was granted */
	int64_t sent_us; /**< last grant */
	double trouble; /**< of recent failures, at `trouble_us` */
	int64_t trouble_us;
	double good; /**< recent answers, at `good_us`, by when they were sent
		      */
	int64_t good_us;
	double latency_us; /**< smoothed, of whole answers; 0: none yet */
	int64_t cold_until_us;
};

/** What requests of a cell usually take. */
struct latency_baseline {
	int64_t latency_us;
	int64_t deviation_us; /**< mean deviation from it */
};

void evidence_record_send(struct worker_evidence *t, int64_t now_us);
/** `sent_us` is the time given to evidence_record_send(). */
void evidence_record_completion(struct worker_evidence *t,
				const struct latency_baseline *u,
				int64_t sent_us, enum home_event e,
				int64_t latency_us, int64_t now_us);
/** Failures weigh less with time; requests that are out for longer than most
 * take count as well. 1 and more: the worker is more likely gray than sound.
 * Load pattern: a worker hangs on most of its requests for some seconds, while
 * its probes pass. */
double evidence_suspicion(const struct worker_evidence *t,
			  const struct latency_baseline *u, int64_t now_us);

/* ---- choice of a worker (choose.c): plain state, time passed in ---- */

struct candidate {
	const struct worker_evidence *worker_evidence;
	double trouble; /**< by evidence_suspicion() */
	uint8_t slots;
	bool out; /**< leaving, gone or excluded by the asker */
	bool near; /**< in the asker's data centre */
};

/** What the request asks of the choice. */
struct demand {
	enum rank rank;
	bool idempotent;
	/** It has time to wait for a near worker, and for one that is not in
	 * trouble, as long as there is one in service. */
	bool patient;
};

/** A worker with more trouble is left alone while others will do. */
#define CHOOSE_SUSPICION_MAX 1.0
/** At most this share of the workers in service is left alone. */
#define CHOOSE_AVOID_PERCENT 30
/** Of the time until a request's target, this share may be spent waiting for a
 * worker of its own data centre, or for one not in trouble: bytes between
 * data centres are billed, and an answer within the target is worth as much as
 * an early one. */
#define CHOOSE_WAIT_PERCENT 25

/** Index of the worker to use now, or -1 if all that may be used are full.
 * `random` breaks ties. Load patterns: part of the workers of a cell hang or
 * fail most of their requests while their probes pass; a burst fills the
 * workers of one data centre while others have room. */
int32_t choose_worker(const struct candidate *list, uint32_t count,
		      const struct latency_baseline *u, const struct demand *d,
		      uint64_t random, int64_t now_us);
/** True if a cell's queue is short enough for requests to wait for a better
 * worker than one that is free. Load pattern: a burst beyond capacity, in which
 * each idle slot is a request that is refused. */
bool choose_may_wait(uint32_t queued, uint32_t workers);
/** Slots of the workers that are not out and not in trouble. */
uint32_t choose_slots(const struct candidate *list, uint32_t count,
		      const struct latency_baseline *u, int64_t now_us);

/* ---- the duty ---- */

/** Where replies to an ask go. */
struct home_reply_sink;

struct home_reply_sink_ops {
	/** From the home's thread; copies the message. */
	void (*deliver)(struct home_reply_sink *a, const struct home_msg *m);
};

struct home_reply_sink {
	const struct home_reply_sink_ops *ops;
};

struct home;

struct home_settings {
	uint32_t ip;
	uint16_t port; /**< UDP; the same on all daemons */
	uint64_t incarnation;
	struct conf_current *conf;
	struct membership *membership;
	uint32_t retry_slack; /**< repeats that a cell may save up */
};

struct home *home_create(const struct home_settings *s,
			 struct timer_service *timers);
enum az_status home_start(struct home *h);
void home_stop(struct home *h);
/** Once stopped, and when nobody can ask any more. */
void home_destroy(struct home *h);
void home_set_keys(struct home *h, const struct fleet_keys *keys);
/** What the status page shows of a cell homed here. */
struct home_info {
	uint64_t id;
	char service[CONF_NAME_MAX_BYTES];
	uint32_t queued_requests;
	uint32_t in_flight_requests;
};

#define HOME_INFO_MAX 64

/** Copies the state of the last sweep; returns the number of cells. Any
 * thread. */
uint32_t home_info(struct home *h, struct home_info out[HOME_INFO_MAX]);
/** An ask, end or cancel of this daemon itself. `asker` outlives the home. */
void home_submit_local(struct home *h, const struct home_msg *m,
		       struct home_reply_sink *asker);

/* ---- between the files of this slice ---- */

#define HOME_WORKERS_MAX 128

struct home_worker {
	uint64_t id; /**< 0: free position */
	const struct conf_worker *conf; /**< NULL: no longer configured */
	struct worker_evidence worker_evidence;
	double trouble; /**< of the track at `trouble_us` */
	int64_t trouble_us; /**< 0: the track has changed since */
};

struct home_cell {
	uint64_t id;
	uint64_t service;
	uint32_t region;
	struct conf *conf; /**< keeps the workers */
	const struct conf_service *conf_service; /**< NULL: not configured */
	uint32_t worker_count; /**< positions in use or used before */
	struct home_worker workers[HOME_WORKERS_MAX];
	struct rank_queue queue;
	double usual_us; /**< smoothed latency of whole answers */
	double deviation_us;
	struct retry_budget budget;
	int64_t used_us;
};

enum grant_state {
	GRANT_QUEUED,
	GRANT_GIVEN,
};

/** One ask, until its end is told. */
struct grant {
	struct queue_item item;
	uint64_t key[2]; /**< asker, sequence */
	struct home_cell *cell;
	struct home_msg ask;
	enum grant_state state;
	struct home_reply_sink *asker; /**< of this daemon, or NULL */
	uint32_t ip; /**< else where it is */
	uint16_t port;
	uint32_t position; /**< of the worker, once given */
	uint64_t worker;
	int64_t given_us;
	int64_t patient_until_us; /**< waits for a near and sound worker */
	int64_t until_us; /**< forgotten then */
};

struct home {
	struct duty duty;
	struct home_settings settings;
	struct poll_handler socket;
	struct fleet_keys keys; /**< of this thread only */
	apr_hash_t *cells;
	apr_hash_t *grants;
	int64_t armed_us;
	int64_t sweep_us;
	pthread_mutex_t info_lock;
	struct home_info info[HOME_INFO_MAX];
	uint32_t info_count;
	struct counter *asked;
	struct counter *granted;
	struct counter *queued;
	struct counter *refused;
	struct counter *expired;
};

/** The cell with the workers of the current configuration. */
struct home_cell *home_cell_get(struct home *h, uint64_t service,
				uint32_t region);
void home_cell_free(struct home_cell *c);
/** Fills candidates for an ask; returns how many. */
uint32_t home_candidates(struct home_cell *c, const struct home_msg *ask,
			 struct candidate *out, int64_t now_us);
struct latency_baseline home_cell_baseline(const struct home_cell *c);
/** A whole answer took so long. */
void home_cell_record_latency(struct home_cell *c, int64_t latency_us);
void home_arm(struct home *h, int64_t at_us);

#endif
