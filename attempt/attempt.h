/**
 * @file
 * Sends a request to workers, in one or more attempts. For each attempt this
 * daemon requests a grant from the home of the service's cell, sends the
 * request to the granted worker and reports to the home how the attempt ended.
 *
 * A cell is the workers of one service in one region; its home is the daemon
 * that chooses among them. A grant is the home's permission to send one request
 * to one worker. No other daemon sends the same request, so a non-idempotent
 * one is not sent again once a worker may have run it.
 */
#ifndef ATTEMPT_ATTEMPT_H
#define ATTEMPT_ATTEMPT_H

#include "conf/conf.h"
#include "home/home.h"
#include "lib/az.h"
#include "member/member.h"
#include "upstream/upstream.h"

/* ---- what to do after an attempt has ended (decide.c) ---- */

/** Most grants of one request, including those of attempts that provably did
 * not run. */
#define ATTEMPT_GRANTS_MAX 6
/** Most workers that may run an idempotent request, unless its route sets
 * `attempts`. */
#define POSSIBLE_RUNS_MAX_DEFAULT 2

enum attempt_action {
	DECIDE_FINISH, /**< answer the caller with the result */
	DECIDE_RETRY, /**< request another grant */
	DECIDE_WAIT, /**< for the result of the other attempt */
};

/** An attempt that has ended, and what its request has used so far. */
struct attempt_decision_input {
	enum error_kind kind; /**< ERR_NONE: a worker's complete answer */
	enum outcome outcome;
	uint16_t http_status; /**< of the worker's answer */
	bool idempotent;
	bool others_in_flight; /**< the request's other attempt has not ended */
	uint32_t grants; /**< received so far */
	uint32_t possible_runs; /**< sends that may have run */
	uint32_t possible_runs_max;
	int64_t left_us; /**< until the request's deadline */
};

enum attempt_action attempt_decide(const struct attempt_decision_input *in);
/** True if the worker may have received the request. */
bool attempt_may_have_arrived(enum upstream_fault f);
/** Event that is reported to the home for this result. */
enum home_event attempt_home_event(const struct upstream_result *r);
/** Error kind of a worker's result; ERR_NONE for a valid answer. */
enum error_kind attempt_error_kind(const struct upstream_result *r);

/* ---- the attempt thread, and calls into it ---- */

struct attempts;

struct attempt_settings {
	/** Local address of the UDP socket for remote homes; 0: only the home
	 * of this daemon is used. */
	uint32_t ip;
	uint64_t member_id;
	uint64_t incarnation;
	uint32_t dc; /**< conf_place_id() of this daemon's data centre */
	uint32_t region; /**< conf_place_id() of this daemon's region */
	struct conf_current *conf;
	struct membership *membership;
	struct home *home; /**< of this daemon */
	struct upstream *upstream;
};

struct attempts *attempts_create(const struct attempt_settings *s,
				 struct timer_service *timers);
enum az_status attempts_start(struct attempts *a);
void attempts_stop(struct attempts *a);
/** To be called after attempts_stop(), when no worker's result can arrive any
 * more. */
void attempts_destroy(struct attempts *a);
/** Sets the keys that authenticate datagrams from and to remote homes. May be
 * called from any thread. */
void attempts_set_keys(struct attempts *a, const struct fleet_keys *keys);
/** Starts a request. Takes ownership of `q`; `reply` gets exactly one answer.
 * Returns the id for attempts_cancel(). May be called from any thread. */
uint64_t attempts_submit(struct attempts *a, struct request *q,
			 struct reply_to *reply);
/** Cancels a request because its caller has left. Has no effect on a
 * non-idempotent request that was sent to a worker. `reply` gets its answer in
 * any case. */
void attempts_cancel(struct attempts *a, uint64_t id);
/** Answers all requests in flight because the daemon is about to exit:
 * ERR_DEADLINE_UNKNOWN if a worker may run the request, else ERR_STOPPING. May
 * be called from any thread. */
void attempts_end_all(struct attempts *a);
/** Requests not yet answered. May be called from any thread. */
uint32_t attempts_in_flight(struct attempts *a);

/* ---- private to the files of this folder ---- */

/** Attempts of one request at the same time: the first one, and a hedge that is
 * started while the first one is late. */
#define CONCURRENT_ATTEMPTS_MAX 2
/** Regions that are noted as having refused one request. */
#define REFUSED_REGIONS_MAX 8

enum attempt_state {
	ATTEMPT_FREE, /**< unused entry of pending_request.attempts */
	ATTEMPT_REQUESTING, /**< grant requested, no reply of the home yet */
	ATTEMPT_QUEUED, /**< the home has queued the grant request */
	ATTEMPT_SENT, /**< the request was sent to the granted worker */
};

/** What the home does with a grant request while all workers are busy. */
enum queue_mode {
	QUEUE_IF_SHORT, /**< queues it if the expected wait is short */
	QUEUE_NEVER, /**< refuses it */
	QUEUE_ALWAYS, /**< queues it, as no other region has a free worker */
};

/** One grant request (HOME_GRANT_REQUEST) to a home, and the send to the
 * granted worker.
 */
struct attempt {
	enum attempt_state state;
	struct pending_request *pending;
	uint64_t sequence; /**< of the grant request; also the token of the
			      upstream_request */
	uint32_t region;
	/** The first grant request for its request; it adds to the home's retry
	 * budget. */
	bool first_grant_request;
	/** The grant request is charged to the home's retry budget, which
	 * limits retries to a share of the first grant requests. */
	bool uses_retry_budget;
	enum queue_mode queue_mode;
	bool local_home; /**< the home is this daemon */
	uint32_t home_ip;
	uint16_t home_port;
	uint32_t unanswered_requests; /**< grant requests since the home's last
					 reply */
	int64_t requested_us; /**< first grant request to this home */
	int64_t next_request_us; /**< time of the next repeat of the grant
				    request; 0: never */
	uint64_t worker_id;
	char worker_name[CONF_NAME_MAX_BYTES];
	int64_t sent_us;
	bool cancelled; /**< abandoned after the send; its answer is ignored */
};

/** A request that is not answered, or has attempts that have not ended. */
struct pending_request {
	uint64_t id;
	struct request *request;
	struct reply_to *reply; /**< NULL once answered */
	uint64_t service_id; /**< hash of the service's name */
	struct attempt attempts[CONCURRENT_ATTEMPTS_MAX];
	uint32_t grants; /**< received, also those that could not be used */
	uint32_t possible_runs; /**< sends that may have run */
	uint32_t grant_returns; /**< grants returned, see GRANT_RETURNS_MAX */
	bool counted_by_home; /**< a grant request with first_grant_request was
				 sent */
	/** A worker may have received it: its retries are charged to the retry
	 * budget. */
	bool may_have_arrived;
	/** Since the last retry, a grant was requested with QUEUE_ALWAYS, which
	 * is the last resort. */
	bool tried_queue_always;
	uint32_t refused_region_count;
	/** Regions whose homes refused a grant since the last retry. */
	uint64_t refused_regions[REFUSED_REGIONS_MAX];
	uint8_t excluded_count;
	uint64_t excluded[HOME_EXCLUDED_MAX]; /**< ids of workers that homes
						 must not grant for it */
	struct answer *last_answer; /**< of the attempt that ended last */
	int64_t hedge_at_us; /**< time of the hedge; 0: none is planned */
	int64_t submitted_us;
};

/** Report of an attempt's end (HOME_COMPLETION) that a remote home has not yet
 * acknowledged. */
struct unacked_completion {
	struct home_msg msg;
	uint32_t ip;
	uint16_t port;
	uint32_t sends; /**< updated when the next one is due */
	int64_t resend_us; /**< time of the next send */
};

/** A cell of another region whose home refused a grant. Until `until_us` no
 * grants are requested there. */
struct full_cell {
	uint64_t cell_id;
	int64_t until_us;
};

#define FULL_CELLS_MAX 32
#define SILENT_HOMES_MAX 16

/** A home that did not reply. Until `until_us` the home of this daemon is used
 * instead. */
struct silent_home {
	uint32_t ip;
	int64_t until_us;
};

/** A worker that this daemon could not connect to. Until `until_us` the grant
 * requests of this daemon exclude it. */
struct unreachable_worker {
	uint64_t worker_id;
	int64_t until_us;
};

#define UNREACHABLE_WORKERS_MAX 32

/** What a worker has said of itself in answers to this daemon, which holds it
 * also against a home that does not know it. The id of a worker is that of one
 * start of its process, so that a worker that starts again has said nothing. */
struct worker_notice {
	uint64_t worker_id;
	uint64_t service_id;
	uint32_t limit_mrps; /**< thousandths of a request per second that it
				takes from the whole fleet; 0: no limit */
	int64_t limit_named_us;
	int64_t leaving_until_us; /**< it leaves, and wants no further requests
				   */
	int64_t paused_until_us; /**< it wants no requests until then */
};

/** Notices that are kept; more than the workers of the planned size that say
 * something at a time. */
#define WORKER_NOTICES_MAX 4096
/** Most grants of one request that are returned for a notice that the home does
 * not know. */
#define GRANT_RETURNS_MAX 8

struct attempts {
	struct duty duty;
	struct home_reply_sink home_sink;
	struct upstream_sink upstream_result_sink;
	struct attempt_settings settings;
	struct poll_handler socket; /**< UDP, for remote homes */
	struct fleet_keys keys; /**< used by this duty's thread only */
	apr_hash_t *pending_by_id;
	apr_hash_t *attempts_by_sequence; /**< all but ATTEMPT_FREE */
	apr_hash_t *unacked_completions; /**< by sequence */
	struct silent_home silent_homes[SILENT_HOMES_MAX];
	struct unreachable_worker unreachable_workers[UNREACHABLE_WORKERS_MAX];
	uint32_t next_unreachable; /**< next entry to replace (modulo) */
	apr_hash_t *notices; /**< struct worker_notice by worker id; owned */
	struct full_cell full_cells[FULL_CELLS_MAX];
	uint32_t next_full_cell; /**< next entry to replace (modulo) */
	uint64_t newest_id; /**< atomic; of the last request submitted */
	uint64_t newest_sequence; /**< of the last grant request */
	int64_t armed_us; /**< when the timer fires; 0: not armed */
	uint32_t in_flight; /**< atomic; requests not yet answered */
	struct counter *requests;
	struct counter *sends;
	struct counter *retries;
	struct counter *hedges;
	struct counter *local_fallbacks; /**< a remote home did not reply */
	struct counter *refused; /**< answers with an error kind */
	struct counter *leaving_notices;
	struct counter *pause_notices;
	struct counter *returned_grants; /**< for a notice of the worker */
	struct histogram *send_delays; /**< from submission to each send */
	struct histogram *service_times; /**< from send to complete answer */
};

/** Arms the timer for `at_us`, unless it fires earlier. */
void attempts_arm(struct attempts *a, int64_t at_us);

/* grant.c */

/** Requests a grant from the home of the service's cell in a region. */
void attempt_request_grant(struct attempts *a, struct attempt *t,
			   uint32_t region, bool uses_retry_budget,
			   enum queue_mode mode);
/** Repeats a grant request. If a remote home has not replied to the earlier
 * ones, requests the grant from this daemon's own home instead. */
void attempt_repeat_request(struct attempts *a, struct attempt *t);
/** Cancels an attempt. If its request was not sent, frees the attempt at once;
 * otherwise the result of the send still arrives and frees it. */
void attempt_abandon(struct attempts *a, struct attempt *t);
/** Marks an attempt as unused and forgets its sequence. */
void attempt_free(struct attempts *a, struct attempt *t);
/** Reports to the home how a granted attempt ended, and what the worker has
 * said of itself. `names_limit`: the limit, or that it has none, is part of
 * that. */
void attempt_report_completion(struct attempts *a, const struct attempt *t,
			       enum home_event e, int64_t latency_us,
			       bool names_limit);
/** Handles a message of a remote home, or of this daemon's home if `local`. */
void attempts_on_home_message(struct attempts *a, const struct home_msg *m,
			      uint32_t ip, uint16_t port, bool local);
/** Resends the unacknowledged completions that are due; returns when the next
 * one is due, or INT64_MAX. */
int64_t attempts_resend_completions(struct attempts *a, int64_t now_us);
void attempts_note_unreachable(struct attempts *a, uint64_t worker_id);

/* notice.c */

/** A worker has answered this daemon and named this limit; 0: none. */
void attempts_note_limit(struct attempts *a, uint64_t service_id,
			 uint64_t worker_id, uint32_t limit_mrps);
/** A worker has answered an attempt: keeps what it says of itself. */
void attempt_note_answer(struct attempts *a, const struct attempt *t,
			 const struct upstream_result *r);
/** What the worker has said, or NULL. */
const struct worker_notice *attempts_find_notice(const struct attempts *a,
						 uint64_t worker_id);
/** True if the worker named a limit within LIMIT_HEARD_US. */
bool worker_notice_has_limit(const struct worker_notice *n, int64_t now_us);
/** True if the worker must get no request now. */
bool worker_notice_forbids(const struct worker_notice *n, int64_t now_us);
/** Returns an unused grant to tell the home of a notice that it does not know,
 * and requests another one. */
void attempt_return_grant(struct attempts *a, struct attempt *t);
void attempts_free_notices(struct attempts *a);

/* send.c */

/** The worker in a configuration, or NULL. */
const struct conf_worker *attempt_find_worker(const struct conf *conf,
					      uint64_t service_id,
					      uint64_t worker_id);
/** Sends the request to a granted worker. `typical_max_us` is the home's
 * estimate of the latency that most requests stay below; after it a hedge may
 * start. */
void attempt_send(struct attempts *a, struct attempt *t, uint64_t worker_id,
		  uint32_t typical_max_us);
extern const struct upstream_sink_ops attempts_sink_ops;

/* attempt.c */

/** Answers the request and abandons its other attempts. Takes ownership of
 * `ans`. */
void pending_finish(struct attempts *a, struct pending_request *p,
		    struct answer *ans);
/** Retries, waits or answers after one attempt has ended. Takes ownership of
 * `ans`. */
void pending_decide(struct attempts *a, struct pending_request *p,
		    struct answer *ans);
/** Handles a home's refusal: tries another region or ends the request. */
void pending_refused(struct attempts *a, struct pending_request *p,
		     struct attempt *t, enum error_kind k, uint32_t retry_ms);
/** Frees the request once it is answered and all its attempts have ended. */
void pending_release(struct attempts *a, struct pending_request *p);
/** Adds a worker to the request's excluded ones. */
void pending_exclude(struct pending_request *p, uint64_t worker_id);

#endif
