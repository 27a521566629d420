/**
 * @file
 * A request's attempts at workers, by the daemon that holds it: it asks the
 * home of a cell for a worker, sends the request itself, and repeats it only
 * when that is allowed. Nothing but this daemon ever sends the request, so work
 * that must not repeat is sent at most once after any doubt.
 */
#ifndef ATTEMPT_ATTEMPT_H
#define ATTEMPT_ATTEMPT_H

#include "conf/conf.h"
#include "home/home.h"
#include "lib/az.h"
#include "member/member.h"
#include "upstream/upstream.h"

/* ---- decision about an end (decide.c) ---- */

/** Sends of one request, also those that certainly did not run. */
#define ATTEMPT_TRIES_MAX 6
/** Workers that may run an idempotent request, unless its route says so. */
#define ATTEMPT_RUNS_DEFAULT 2

enum attempt_action {
	ATTEMPT_FINISH,
	ATTEMPT_RETRY,
	ATTEMPT_WAIT, /**< for the other copy */
};

struct attempt_input {
	enum error_kind kind; /**< ERR_NONE: a worker's whole answer */
	enum outcome outcome;
	uint16_t http_status; /**< of the worker's answer */
	bool idempotent;
	bool others_out; /**< another copy is at a worker */
	uint32_t tries; /**< sends so far */
	uint32_t runs; /**< of these, which may have run */
	uint32_t runs_max;
	int64_t left_us; /**< until the deadline */
};

enum attempt_action attempt_decide(const struct attempt_input *in);
/** True if the worker may have counted the request as an arrival. */
bool attempt_arrived(enum upstream_fault f);
enum home_event attempt_event(const struct upstream_result *r);
/** What a worker's result means for the request; ERR_NONE for its answer. */
enum error_kind attempt_kind(const struct upstream_result *r);

/* ---- the duty ---- */

struct attempts;

struct attempt_settings {
	uint32_t ip; /**< UDP, for the homes' answers; 0: asks no other home */
	uint64_t member_id;
	uint64_t incarnation;
	uint32_t dc;
	uint32_t region;
	struct conf_current *conf;
	struct membership *membership;
	struct home *home; /**< of this daemon */
	struct upstream *upstream;
};

struct attempts *attempts_create(const struct attempt_settings *s,
				 struct timer_service *timers);
enum az_status attempts_start(struct attempts *a);
void attempts_stop(struct attempts *a);
/** Once stopped, and when no worker's result can arrive any more. */
void attempts_destroy(struct attempts *a);
void attempts_set_keys(struct attempts *a, const struct fleet_keys *keys);
/** Takes ownership of `q`; `reply` gets exactly one answer. Returns the id that
 * names it in a cancel. Any thread. */
uint64_t attempt_submit(struct attempts *a, struct request *q,
			struct reply_to *reply);
/** The caller has left, or the daemon stops: what may be broken off is given
 * up, the answer still comes. */
void attempt_cancel(struct attempts *a, uint64_t id);
/** Requests not yet answered. Any thread. */
uint32_t attempts_in_flight(struct attempts *a);

/* ---- between the files of this slice ---- */

#define LEGS_MAX 2

enum leg_state {
	LEG_FREE,
	LEG_ASKING, /**< for a worker */
	LEG_QUEUED, /**< at the home */
	LEG_SENT,
};

enum ask_mode {
	ASK_SOON, /**< queue if the wait is short */
	ASK_ONLY_FREE, /**< do not queue */
	ASK_INSIST, /**< queue, as no other region has room */
};

/** One ask and the send that it leads to. */
struct leg {
	enum leg_state state;
	struct pending *pending;
	uint64_t sequence; /**< of the ask; also the token of the send */
	uint32_t region;
	bool counts; /**< the request's first ask */
	bool repeat;
	enum ask_mode mode;
	bool local; /**< the home is this daemon */
	uint32_t home_ip;
	uint16_t home_port;
	uint32_t unanswered; /**< asks in a row */
	int64_t asked_us;
	int64_t again_us; /**< when to ask again */
	uint64_t worker;
	char worker_name[CONF_NAME_MAX_BYTES];
	int64_t sent_us;
	bool cancelled;
};

/** A request that is not answered yet, or whose copies are not all back. */
struct pending {
	uint64_t id;
	struct request *request;
	struct reply_to *reply; /**< NULL once answered */
	uint64_t service; /**< id */
	struct leg legs[LEGS_MAX];
	uint32_t tries;
	uint32_t runs; /**< sends that may have run */
	bool counted; /**< a home counts it for its retry budget */
	bool arrived; /**< a copy may have: others draw on the budget */
	bool insisted;
	uint32_t regions_tried;
	uint64_t regions[8]; /**< asked and refused */
	uint8_t excluded_count;
	uint64_t excluded[HOME_EXCLUDED_MAX];
	struct answer *last; /**< of an attempt that is repeated */
	int64_t hedge_at_us; /**< 0: no second copy is planned */
	int64_t submitted_us;
};

/** An end that a remote home has not acknowledged. */
struct untold_end {
	struct home_msg msg;
	uint32_t ip;
	uint16_t port;
	uint32_t tries;
	int64_t next_us;
};

/** A cell that had no room is not asked for a while by those far away. */
struct full_cell {
	uint64_t cell;
	int64_t until_us;
};

#define FULL_CELLS_MAX 32
#define SUSPECTS_MAX 16

/** A home that did not answer is not asked for a while. */
struct suspect {
	uint32_t ip;
	int64_t until_us;
};

/** A worker that this daemon could not connect to. */
struct bad_path {
	uint64_t worker;
	int64_t until_us;
};

#define BAD_PATHS_MAX 32

struct attempts {
	struct duty duty;
	struct home_reply_sink asker;
	struct upstream_sink sink;
	struct attempt_settings settings;
	struct poll_handler socket;
	struct fleet_keys keys; /**< of this thread only */
	apr_hash_t *pending; /**< by id */
	apr_hash_t *legs; /**< by sequence */
	apr_hash_t *untold; /**< by sequence */
	struct suspect suspects[SUSPECTS_MAX];
	struct bad_path bad_paths[BAD_PATHS_MAX];
	uint32_t next_bad_path;
	struct full_cell full_cells[FULL_CELLS_MAX];
	uint32_t next_full_cell;
	uint64_t next_id; /**< atomic */
	uint64_t next_sequence;
	int64_t armed_us;
	uint32_t in_flight; /**< atomic */
	struct counter *requests;
	struct counter *sends;
	struct counter *retries;
	struct counter *hedges;
	struct counter *fallbacks;
	struct counter *refused;
	struct histogram *waits;
	struct histogram *service_times;
};

void attempts_arm(struct attempts *a, int64_t at_us);

/* ask.c */

/** Asks the home of the service's cell in a region for a worker. */
void leg_ask(struct attempts *a, struct leg *l, uint32_t region, bool repeat,
	     enum ask_mode mode);
/** Asks again, or this daemon's own home if the other one is silent. */
void leg_ask_again(struct attempts *a, struct leg *l);
/** Gives up what a leg waits for; a send is cancelled and its end awaited. */
void leg_cancel(struct attempts *a, struct leg *l);
void leg_free(struct attempts *a, struct leg *l);
/** Tells the home how a grant ended. */
void leg_tell_end(struct attempts *a, const struct leg *l, enum home_event e,
		  int64_t latency_us);
/** A message of a home, remote or this daemon's. */
void attempts_on_home(struct attempts *a, const struct home_msg *m, uint32_t ip,
		      uint16_t port, bool local);
/** Sends untold ends again; returns the next time, or INT64_MAX. */
int64_t attempts_tell_again(struct attempts *a, int64_t now_us);
void attempts_note_bad_path(struct attempts *a, uint64_t worker);

/* send.c */

/** Sends the request to a granted worker. */
void leg_send(struct attempts *a, struct leg *l, uint64_t worker,
	      uint32_t expected_us);
extern const struct upstream_sink_ops attempts_sink_ops;

/* attempt.c */

/** Answers the request with `ans`, which it takes, and ends its other legs. */
void pending_finish(struct attempts *a, struct pending *p, struct answer *ans);
/** Acts on the end of one leg. Takes `ans`. */
void pending_decide(struct attempts *a, struct pending *p, struct answer *ans);
/** The home of a region refuses to grant a worker. */
void pending_refused(struct attempts *a, struct pending *p, struct leg *l,
		     enum error_kind k, uint32_t retry_ms);
/** Frees it once it is answered and nothing is out. */
void pending_release(struct attempts *a, struct pending *p);
void pending_exclude(struct pending *p, uint64_t worker);

#endif
