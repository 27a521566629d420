/**
 * @file
 * Scheduling of requests onto workers. A cell is the set of workers of one
 * service in one region; the home of a cell is the daemon that schedules it.
 * A daemon that holds a caller's request (the requester) sends the home a grant
 * request, that is a request for a worker. The home grants worker slots (a slot
 * is room for one request at a worker) in order of rank; the requester reports
 * how each request completed. A grant is only a hint: the requester itself
 * sends the caller's request to the worker, once, so that none is lost when a
 * home dies.
 *
 * "Load pattern:" in a comment names the load for which a rule was made.
 */
#ifndef HOME_HOME_H
#define HOME_HOME_H

#include <pthread.h>
#include <apr_hash.h>

#include "conf/conf.h"
#include "lib/az.h"
#include "member/member.h"
#include "peer/peer.h"

/* Most workers that a grant request can exclude. */
#define HOME_EXCLUDED_MAX 6

/** Returns the id of the cell of a service in a region. */
uint64_t home_cell_id(uint64_t service, uint32_t region);

/* ---- messages, encoded in wire.c ---- */

enum home_kind {
	HOME_GRANT_REQUEST, /**< request for a worker; may be repeated */
	HOME_GRANT, /**< the requester may use the named worker */
	HOME_QUEUED, /**< the grant request waits in the home's queue */
	HOME_REFUSE, /**< no worker is granted, for the reason in `error` */
	HOME_COMPLETION, /**< how the request at the worker completed */
	HOME_COMPLETION_ACK, /**< sent by the home */
	HOME_CANCEL, /**< withdraws a grant request or returns an unused
			grant */
	HOME_KIND_COUNT,
};

/** How a request at a worker completed, as evidence about the worker. */
enum home_event {
	EVENT_ANSWERED, /**< complete answer with a status below 500 */
	EVENT_SERVER_ERROR, /**< complete answer with a status of 500 or more */
	EVENT_SHED, /**< the worker refused it for load and did not run it */
	EVENT_NO_VALID_ANSWER, /**< connection reset, answer truncated or not
				    the worker's own */
	EVENT_TIMEOUT,
	EVENT_UNREACHABLE, /**< no connection could be made */
	EVENT_WORKER_ID_MISMATCH, /**< another worker answers at the address */
	EVENT_CANCELLED, /**< sent, then cancelled before an answer came */
	EVENT_NO_EVIDENCE, /**< not sent, or the result is unknown */
	EVENT_COUNT,
};

/** One datagram. Fields that its kind does not use are zero. */
struct home_msg {
	enum home_kind kind;
	uint64_t requester_incarnation; /**< of the daemon that sent the
					grant request */
	uint64_t sequence; /**< of the grant request; never reused by this
			      requester */
	/* GRANT_REQUEST */
	uint64_t service; /**< id */
	uint32_t region;
	uint32_t dc; /**< of the requester */
	uint8_t rank;
	bool idempotent;
	bool first_grant_request; /**< the first for its caller's request; adds
				       to the retry budget */
	bool uses_retry_budget; /**< is charged to the retry budget */
	bool no_queueing; /**< refuse the grant request if it would have to
			    wait */
	bool must_queue; /**< queue the grant request however long the wait, as
			      no other region has room */
	uint32_t left_ms; /**< time until the request's deadline */
	uint32_t target_ms; /**< time until its latency target; 0: it has none
				 or has missed it */
	uint8_t excluded_count;
	uint64_t excluded[HOME_EXCLUDED_MAX]; /**< workers not to be granted */
	/* GRANT, COMPLETION */
	uint64_t worker;
	uint32_t typical_max_us; /**< GRANT: latency that most requests of the
				      cell stay below */
	/** GRANT: 1 if the home has not heard of an answer of the worker for
	 * LIMIT_HEARD_US, so that it may not know its limit. */
	uint32_t worker_unheard;
	/* QUEUED, REFUSE */
	uint32_t wait_ms; /**< QUEUED: estimated wait; REFUSE: time after which
			       to retry */
	uint8_t error; /**< REFUSE: enum error_kind */
	/* COMPLETION */
	uint8_t event; /**< enum home_event */
	uint32_t latency_us;
	uint32_t limit_mrps; /**< that the worker has named; 0: none */
	uint32_t limit_age_ms; /**< time since it named it */
	uint32_t worker_leaving; /**< 1: the worker says that it leaves */
	uint32_t pause_ms; /**< time for which the worker wants no requests */
};

#define HOME_DATAGRAM_MAX_BYTES 256

/** Encodes and signs a message; returns its length, or 0 without a key. */
uint32_t home_encode(const struct home_msg *m, const struct fleet_keys *keys,
		     uint8_t out[HOME_DATAGRAM_MAX_BYTES]);
/** AZ_INVALID if malformed, AZ_DENIED if the MAC is wrong. */
enum az_status home_decode(const uint8_t *data, uint32_t len_bytes,
			   const struct fleet_keys *keys, struct home_msg *out);

/*
 * Queue of the grant requests of a cell by rank (queue.c). Like the budget, the
 * evidence and the choice below, it has no thread, reads no clock and sends no
 * messages.
 */

/** Member of an object that is queued. The caller sets rank and deadline_us. */
struct queue_item {
	struct queue_item *next;
	enum rank rank;
	int64_t enqueued_us;
	int64_t deadline_us; /**< time from which it is not dispatched */
};

/* Items of a rank that are tried for a free worker. Few are enough, as queued
 * requests rarely differ in the workers that they may use. */
#define QUEUE_SCAN_MAX 16

struct queue_settings {
	uint32_t limit[RANK_COUNT]; /**< most queued items of a rank */
	uint8_t share_percent[RANK_COUNT]; /**< of the dispatches, guaranteed to
						a rank while its items wait */
};

struct rank_queue {
	struct queue_settings settings;
	struct queue_item *head[RANK_COUNT];
	struct queue_item *tail[RANK_COUNT];
	uint32_t depth[RANK_COUNT];
	int64_t credit[RANK_COUNT]; /**< each dispatch adds share_percent while
					 items wait; a dispatch ahead of higher
					 ranks costs 100 */
	int64_t dispatch_interval_us; /**< estimated time between dispatches:
					   smoothed, or set by the owner of the
					   queue */
	int64_t last_dispatch_us; /**< 0: none yet */
	int64_t blocked_until_us; /**< no item is dispatched before; set by the
				     owner of the queue */
};

void rank_queue_init(struct rank_queue *q, const struct queue_settings *s);
/** Returns ERR_NONE if the item was queued, ERR_DEADLINE_NOT_RUN if its
 * deadline has passed, and ERR_OVERLOADED if its rank is full or the estimated
 * wait exceeds the deadline. */
enum error_kind rank_queue_push(struct rank_queue *q, struct queue_item *i,
				int64_t now_us);
/** Removes and returns the next item that `fits` accepts, or NULL. Items past
 * their deadline are moved to the list `expired`. At most QUEUE_SCAN_MAX items
 * of each rank are examined. If `fits` is NULL, all items are accepted. */
struct queue_item *rank_queue_pop(struct rank_queue *q, int64_t now_us,
				  bool (*fits)(const struct queue_item *i,
					       void *arg),
				  void *arg, struct queue_item **expired);
/** Returns the estimated time until a new item of rank `r` is dispatched. */
int64_t rank_queue_wait_us(const struct rank_queue *q, enum rank r);
/** Removes and returns the items that are estimated to miss their deadline. An
 * early refusal leaves their callers time to retry. */
struct queue_item *rank_queue_take_unservable(struct rank_queue *q,
					      int64_t now_us);
/** Removes one item; false if it is not in the queue. */
bool rank_queue_remove(struct rank_queue *q, struct queue_item *i);
uint32_t rank_queue_depth(const struct rank_queue *q);

/* ---- retry budget of a cell (budget.c) ---- */

/* Seconds of history that the budget keeps: two windows of 10 s. The users'
 * retry budget is defined over a window of 10 s. */
#define RETRY_BUDGET_S 20

/** Limits retries to a share of the first grant requests (those with
 * first_grant_request set) of a window: of the current window, of the previous
 * one or of the one that ended half a window ago, whichever has most. The
 * budget starts empty, as otherwise each daemon that becomes a home would add
 * retries of its own. */
struct retry_budget {
	uint32_t slack; /**< most retries beyond the share of a window; they too
			     are limited to the share, of RETRY_BUDGET_S */
	int64_t newest_second; /**< newest second in the rings below */
	uint32_t first_grant_requests[RETRY_BUDGET_S]; /**< by second, modulo
							  the size */
	uint32_t retries[RETRY_BUDGET_S];
};

void retry_budget_init(struct retry_budget *b, uint32_t slack);
/** Counts a first grant request. */
void retry_budget_count_first(struct retry_budget *b, int64_t now_us);
/** Charges one retry to a budget of `percent` of the first grant requests.
 * False if the budget is spent. The slack is for the cell's home only: daemons
 * that grant for a home which does not reply (`elected` false) are many, and
 * the slack of each would add up. */
bool retry_budget_take(struct retry_budget *b, uint8_t percent, bool elected,
		       int64_t now_us);

/*
 * Evidence about the health of a worker (evidence.c). A gray worker passes its
 * health probes and still hangs on or fails many requests; the evidence comes
 * from the requests themselves.
 */

/* Requests in flight of a worker whose times are kept; more are not counted. */
#define EVIDENCE_IN_FLIGHT_MAX 64

struct worker_evidence {
	uint32_t in_flight_count;
	/** Time of the grant of each request in flight. */
	int64_t in_flight_sent_us[EVIDENCE_IN_FLIGHT_MAX];
	int64_t last_sent_us; /**< time of the last grant */
	double suspicion; /**< from failures; the value at suspicion_us, which
			       decays from then on */
	int64_t suspicion_us;
	double recent_answers; /**< decaying count; the value at
				    recent_answers_us */
	int64_t recent_answers_us;
	double latency_us; /**< smoothed, of complete answers; 0: none yet */
	int64_t cold_until_us; /**< end of the worker's cold start */
};

/** Latency of the requests of a cell, over all of its workers. */
struct latency_baseline {
	int64_t latency_us; /**< smoothed mean */
	int64_t deviation_us; /**< mean deviation from it */
};

/** The worker was granted to a request, which is about to be sent. */
void worker_evidence_record_send(struct worker_evidence *ev, int64_t now_us);
/** A request completed. `sent_us` is the `now_us` of its
 * worker_evidence_record_send(). */
void worker_evidence_record_completion(struct worker_evidence *ev,
				       const struct latency_baseline *base,
				       int64_t sent_us, enum home_event e,
				       int64_t latency_us, int64_t now_us);
/** Returns the suspicion that a worker is gray; from 1 on it is more likely
 * gray than healthy. Recent failures raise it and decay with time; requests in
 * flight for longer than most requests take raise it before they time out. Load
 * pattern: a worker hangs on most of its requests for some seconds while its
 * probes pass. */
double worker_evidence_suspicion(const struct worker_evidence *ev,
				 const struct latency_baseline *base,
				 int64_t now_us);

/** A worker that has said that it leaves gets no requests until its process
 * starts again, which its configured `boot` shows. Without a boot it is tried
 * again after this time. */
#define LEAVING_WITHOUT_BOOT_US (60 * US_PER_S)

/** Returns until when a worker of this boot (0: unknown) is leaving that says
 * so now. */
int64_t worker_leaving_until_us(uint64_t boot, int64_t now_us);

/* ---- limit that a worker has named (limit.c) ---- */

/** A home knows the limit of a worker whose answers it has heard of within this
 * time. A daemon that knows a limit which the home may not know tells it. */
#define LIMIT_HEARD_US (10 * US_PER_S)
/** For this time a home grants half of a limit that is new to it: another home
 * of the cell may grant the whole limit until all members know which one is the
 * cell's. */
#define LIMIT_NEW_US (4 * US_PER_S)
/** A lower limit counts as this one, as only answers tell when it ends. */
#define LIMIT_MIN_MRPS 250

/** Requests that a worker takes from the whole fleet. The requests of a cell
 * pass its home, which grants them. Load pattern: most workers of a cell name a
 * limit of a few requests a second while the load stays the same. */
struct worker_limit {
	uint32_t mrps; /**< thousandths per second; 0: none */
	int64_t since_us; /**< when the home learned of it */
	int64_t named_us; /**< last answer that named it */
	int64_t heard_us; /**< last answer of the worker; 0: none */
	int64_t tokens_us; /**< tokens, each as the time it takes to refill */
	int64_t filled_us;
};

/** The worker named a limit at `at_us`; an older one than the last answer heard
 * of is ignored. True if the worker had none. */
bool worker_limit_named(struct worker_limit *l, uint32_t mrps, int64_t at_us,
			int64_t now_us);
/** The worker answered a request that was granted at `granted_us` and named no
 * limit. True if this ends the limit: an answer to a request that was granted
 * before the worker named it may be older. */
bool worker_limit_absent(struct worker_limit *l, int64_t granted_us,
			 int64_t now_us);
bool worker_limit_is_heard(const struct worker_limit *l, int64_t now_us);
/** Thousandths of a request per second that the home grants now; 0: no limit.
 */
uint32_t worker_limit_rate_mrps(const struct worker_limit *l, int64_t now_us);
/** True if a request may be granted now. */
bool worker_limit_allows(const struct worker_limit *l, int64_t now_us);
/** Counts a granted request. */
void worker_limit_take(struct worker_limit *l, int64_t now_us);

/* ---- share of a cell's requests that are not served (floor.c) ---- */

/** Recent requests of a cell; the counts are decaying. */
struct floor_watch {
	double requests;
	double unserved;
	int64_t at_us; /**< time of the counts */
};

/** A request completed, or was refused. */
void floor_record(struct floor_watch *f, bool served, int64_t now_us);
/** True if so many requests are not served that the number of workers without
 * requests must be limited: avoiding suspect workers does not help enough, so
 * the evidence does not tell the gray workers from the healthy ones. Load
 * pattern: the answers of all workers are lost at times. */
bool floor_must_hold(const struct floor_watch *f, int64_t now_us);

/* ---- choice of a worker for a request (choose.c) ---- */

/** A worker of the cell, as seen for one request. */
struct candidate {
	const struct worker_evidence *evidence;
	double suspicion; /**< result of worker_evidence_suspicion() */
	uint8_t slots; /**< requests that the worker takes at a time */
	bool unavailable; /**< not in service, or excluded by the requester */
	bool same_dc; /**< in the requester's data centre */
	uint32_t limit_mrps; /**< result of worker_limit_rate_mrps() */
	bool at_limit; /**< it must get no request now */
	int64_t paused_until_us; /**< it wants no requests until then */
};

/** Properties of the request that matter for the choice. */
struct demand {
	enum rank rank;
	bool idempotent;
	/** The request has time to wait for a worker of its data centre that is
	 * not suspect. If none is in service, it takes another worker. */
	bool may_wait;
	bool hold_floor; /**< result of floor_must_hold() */
};

/** A worker of this suspicion or more is suspect. The most suspect workers, up
 * to CHOOSE_AVOIDED_MAX_PERCENT of the workers in service, are avoided: they
 * get no requests. */
#define CHOOSE_SUSPICION_MAX 1.0
/** At most this share of the workers in service is avoided as suspect. */
#define CHOOSE_AVOIDED_MAX_PERCENT 30
/** The same while the floor must be held. The floor is 70 % of the workers that
 * are well, and these are fewer than those in service. */
#define CHOOSE_AVOIDED_FLOOR_PERCENT 20
/** While the floor must be held, a worker that is not avoided gets a request
 * after this time without one; one of another data centre, or an urgent
 * request, FLOOR_IDLE_LATER_US later. A worker without requests for 2 s counts
 * as excluded. */
#define FLOOR_IDLE_US (1400 * US_PER_MS)
#define FLOOR_IDLE_LATER_US (200 * US_PER_MS)
/** Share of the time until a request's latency target that may be spent waiting
 * for a worker of its own data centre, or for one that is not suspect: bytes
 * between data centres are billed, and an answer within the target is worth as
 * much as an early one. */
#define CHOOSE_WAIT_PERCENT 25

/** Returns the index of the worker to use now, or -1 if all eligible workers
 * are full. `random` breaks ties. Load patterns: part of the workers of a cell
 * hang or fail most of their requests while their probes pass; a burst fills
 * the workers of one data centre while others have room. */
int32_t choose_worker(const struct candidate *list, uint32_t count,
		      const struct latency_baseline *base,
		      const struct demand *d, uint64_t random, int64_t now_us);
/** True if a cell's queue is short enough for its requests to wait for a better
 * worker while another one is free. Load pattern: a burst beyond capacity, in
 * which each idle slot means a refused request. */
bool choose_queue_is_short(uint32_t queued, uint32_t workers);
/** Returns the slots of the available workers that are not avoided and have no
 * limit, less those that hung requests hold. */
uint32_t choose_usable_slots(const struct candidate *list, uint32_t count,
			     const struct latency_baseline *base,
			     int64_t now_us);

/** Returns the time between two dispatches of the whole cell: the usable slots
 * serve a request each in the baseline latency, the other workers as many as
 * their limits allow. */
int64_t choose_dispatch_interval_us(const struct candidate *list,
				    uint32_t count,
				    const struct latency_baseline *base,
				    int64_t now_us);

/* ---- interface of the home's thread ---- */

/** Receiver of the replies to grant requests of this daemon itself. */
struct home_reply_sink;

struct home_reply_sink_ops {
	/** Called in the home's thread; copies the message. */
	void (*deliver)(struct home_reply_sink *k, const struct home_msg *m);
};

struct home_reply_sink {
	const struct home_reply_sink_ops *ops;
};

struct home;

struct home_settings {
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port; /**< UDP; the same on all daemons; 0: no socket */
	uint64_t incarnation; /**< of this daemon */
	struct conf_current *conf;
	struct membership *membership;
	uint32_t retry_slack; /**< retries of a cell beyond its share */
};

/** Returns NULL if the ring or the socket cannot be created. */
struct home *home_create(const struct home_settings *s,
			 struct timer_service *timers);
enum az_status home_start(struct home *h);
void home_stop(struct home *h);
/** Only after home_stop(), when no other thread can send messages to it any
 * more. */
void home_destroy(struct home *h);
void home_set_keys(struct home *h, const struct fleet_keys *keys);
/** Entry of the status page about a cell whose home is this daemon. */
struct home_info {
	uint64_t id;
	char service[CONF_NAME_MAX_BYTES];
	uint32_t queued_requests;
	uint32_t in_flight_requests;
};

/** Entry of the status page about a worker of such a cell that has said that it
 * leaves, or that it wants no requests for a time. */
struct home_notice_info {
	char service[CONF_NAME_MAX_BYTES];
	char worker[CONF_NAME_MAX_BYTES];
	bool leaving;
	uint32_t pause_left_ms; /**< as of the last sweep */
};

/* Most cells, and most workers with a notice, on the status page. */
#define HOME_INFO_MAX 64

/** Copies the state as of the last sweep; returns the number of cells. Callable
 * from any thread. */
uint32_t home_info(struct home *h, struct home_info out[HOME_INFO_MAX]);
/** The same for the workers with a notice. */
uint32_t home_notice_info(struct home *h,
			  struct home_notice_info out[HOME_INFO_MAX]);
/** Passes a message of this daemon itself (grant request, completion or cancel)
 * to the home's thread. `sink` must outlive the home. */
void home_submit_local(struct home *h, const struct home_msg *m,
		       struct home_reply_sink *sink);

/* ---- for the files of this folder and the simulation in health/ ---- */

/* Most workers of a cell; further ones get no requests. */
#define HOME_WORKERS_MAX 128

/** A worker of a cell. */
struct home_worker {
	uint64_t id; /**< 0: unused entry */
	const struct conf_worker *conf; /**< NULL: no longer configured */
	struct worker_evidence evidence;
	struct worker_limit limit;
	int64_t leaving_until_us; /**< it has said that it leaves */
	int64_t paused_until_us; /**< it has asked for no requests until then */
	double suspicion; /**< cached value at suspicion_us */
	int64_t suspicion_us; /**< 0: the evidence has changed since */
};

struct home_cell {
	uint64_t id;
	uint64_t service;
	uint32_t region;
	struct conf *conf; /**< reference that keeps the pointers to it valid */
	const struct conf_service *conf_service; /**< NULL: not configured */
	uint32_t worker_count; /**< entries of workers[] ever used */
	struct home_worker workers[HOME_WORKERS_MAX];
	struct rank_queue queue;
	double latency_us; /**< smoothed, of complete answers; 0: none yet */
	double deviation_us; /**< smoothed mean deviation from it */
	struct retry_budget budget;
	struct floor_watch floor;
	int64_t last_used_us;
};

enum grant_state {
	GRANT_QUEUED, /**< the grant request waits for a worker */
	GRANT_ISSUED, /**< a worker was granted */
};

/** A grant request and the grant that follows it: from the arrival of the grant
 * request until the completion of the caller's request is reported. */
struct grant {
	struct queue_item item;
	uint64_t key[2]; /**< incarnation of the requester, sequence */
	struct home_cell *cell;
	struct home_msg grant_request;
	enum grant_state state;
	struct home_reply_sink *reply_sink; /**< NULL: requester is remote */
	uint32_t ip; /**< address of a remote requester */
	uint16_t port;
	uint32_t worker_index; /**< in cell->workers; valid in GRANT_ISSUED */
	uint64_t worker; /**< id */
	int64_t granted_us;
	int64_t may_wait_until_us; /**< end of demand.may_wait */
	int64_t expires_us; /**< time at which the grant is dropped even without
				a reported completion */
};

struct home {
	struct duty duty;
	struct home_settings settings;
	struct poll_handler socket;
	struct fleet_keys keys; /**< used by the home's thread only */
	apr_hash_t *cells; /**< by id */
	apr_hash_t *grants; /**< by key */
	int64_t timer_us; /**< when the timer fires; 0: not armed */
	int64_t next_sweep_us;
	pthread_mutex_t info_lock;
	struct home_info info[HOME_INFO_MAX];
	uint32_t info_count;
	struct home_notice_info notices[HOME_INFO_MAX];
	uint32_t notice_count;
	struct counter *grant_requests; /**< without repeated ones */
	struct counter *granted;
	struct counter *queued;
	struct counter *refused;
	struct counter *expired; /**< dropped without a reported completion */
};

/** Returns the cell, updated to the current configuration; created if new. */
struct home_cell *home_cell_get(struct home *h, uint64_t service,
				uint32_t region);
void home_cell_free(struct home_cell *c);
/** False if this daemon grants for a home that did not reply. */
bool home_cell_is_elected(const struct home *h, const struct home_cell *c);
/** Fills `out` with all workers of the cell, as candidates for a grant
 * request; returns their number. */
uint32_t home_cell_candidates(struct home *h, struct home_cell *c,
			      const struct home_msg *grant_request,
			      struct candidate *out);
struct latency_baseline home_cell_baseline(const struct home_cell *c);
/** Adds the latency of a complete answer to the cell's baseline. */
void home_cell_record_latency(struct home_cell *c, int64_t latency_us);
/** Arms the timer for `at_us`, unless it fires earlier. */
void home_arm_timer(struct home *h, int64_t at_us);

#endif
