/**
 * @file
 * Outlier detection among the workers of a cell: finds gray failures, in
 * which a worker still runs but is slow, silent, unreachable or fails part of
 * its requests. The evidence is how requests and probes end. Some terms:
 * - the peers of a worker are the other workers of its cell;
 * - an ejected worker (HEALTH_UNHEALTHY) gets no requests, as far as the floor
 *   of its service allows (health/floor.h);
 * - a trial follows the ejection: the worker gets a few idempotent requests;
 * - a ramp raises the weight of a worker to 100 % over time.
 * The functions keep no global state, start no threads and read no clock: the
 * caller passes the time.
 */
#ifndef HEALTH_HEALTH_H
#define HEALTH_HEALTH_H

#include "lib/az.h"

/** Workers of one cell. */
#define HEALTH_WORKERS_MAX 16

/** How one request or probe to a worker ended. */
enum health_event {
	HEALTH_ANSWERED, /**< whole answer with a status below 500 */
	HEALTH_SERVER_ERROR, /**< whole answer with a status of 500 or more,
				unless it says that the worker sheds load */
	HEALTH_SHED, /**< refused by the worker because of its load */
	HEALTH_TRUNCATED, /**< connection closed after part of the answer */
	HEALTH_RESET, /**< connection closed before any of the answer */
	HEALTH_TIMEOUT, /**< no answer by the deadline */
	HEALTH_CONNECT_REFUSED,
	HEALTH_CONNECT_TIMEOUT,
	HEALTH_CANCELLED, /**< given up by the caller: no failure, but the time
			     waited is a lower bound of the latency */
};

/** A request or probe that has ended. */
struct health_sample {
	enum health_event event;
	int64_t latency_us; /**< from dispatch to the last byte or to the
			       failure */
	bool fresh; /**< on a new connection, not a pooled one */
	bool probe; /**< a probe, not a request */
};

enum health_state {
	HEALTH_OK,
	HEALTH_COLD, /**< new or restarted: its history is too short yet */
	HEALTH_UNHEALTHY, /**< ejected */
	HEALTH_RECOVERING, /**< on trial after an ejection, then on its ramp */
};

struct health_verdict {
	enum health_state state;
	uint8_t severity; /**< 0: not ejected; 1 to 255: the order of exclusion
			     by the floor, 255 first */
	uint8_t weight_percent; /**< share of the worker's slots to use; the
				   caller uses at least one slot */
	bool idempotent_only; /**< on trial: idempotent requests only */
	/** Ejected because it cannot be reached. The network may be at fault,
	 * so a daemon in another data centre should confirm this before the
	 * worker is reported as unhealthy.
	 */
	bool unreachable;
};

struct health_pool;

/** A policy that decides which workers are unhealthy. */
struct health_ops {
	const char *name;
	/** A request (not a probe) is sent to the worker. */
	void (*dispatch)(struct health_pool *p, uint8_t worker, int64_t now_us);
	/** A request or probe ended. */
	void (*record)(struct health_pool *p, uint8_t worker,
		       const struct health_sample *s, int64_t now_us);
	/** Judges all workers again; called at least every 100 ms. */
	void (*tick)(struct health_pool *p, int64_t now_us);
	struct health_verdict (*verdict)(const struct health_pool *p,
					 uint8_t worker);
	/** Returns the worker to probe now, or -1. The policy takes the probe
	 * as sent. Sets `fresh` if it must use a new connection. */
	int32_t (*next_probe)(struct health_pool *p, int64_t now_us,
			      bool *fresh);
	/** Returns 0 unless the old connections to the worker are silent while
	 * new ones are answered. Then the first call returns a time: the caller
	 * closes the idle connections and those whose request has been
	 * outstanding for longer; later calls return 0. */
	int64_t (*take_connection_drop_age_us)(struct health_pool *p,
					       uint8_t worker);
	/** The worker of this index was replaced or has restarted: drops all
	 * evidence on the former one. */
	void (*reset)(struct health_pool *p, uint8_t worker, int64_t now_us);
	void (*destroy)(struct health_pool *p);
};

/** Workers of one cell under one policy; first member of the policy's state. */
struct health_pool {
	const struct health_ops *ops;
	uint8_t worker_count;
};

/** Settings of a policy; only the "evidence" policy uses the times. */
struct health_settings {
	uint8_t worker_count;
	uint8_t slots; /**< requests that each worker takes at a time; no
	policy uses it */
	uint32_t cold_start_ms; /**< least time in HEALTH_COLD */
	/** Base of the time between failed probes of an ejected worker. */
	uint32_t probe_interval_ms;
};

/** The "home" policy: the suspicion by which the home of a cell (the daemon
 * that assigns the cell's requests to workers) avoids workers, see
 * home/evidence.c. A worker with a suspicion of CHOOSE_SUSPICION_MAX or more is
 * unhealthy. */
struct health_pool *health_create_home(const struct health_settings *s,
				       int64_t now_us);
/** The "evidence" policy, with scores, probes and states. The daemon no longer
 * uses it; it is kept for comparison. */
struct health_pool *health_create_evidence(const struct health_settings *s,
					   int64_t now_us);

/* ---- simple policies for comparison (baseline.c) ---- */

struct health_pool *health_create_consecutive(const struct health_settings *s,
					      int64_t now_us);
struct health_pool *health_create_threshold(const struct health_settings *s,
					    int64_t now_us);
struct health_pool *health_create_never(const struct health_settings *s,
					int64_t now_us);

/* ---- latency history (history.c) ---- */

#define HISTORY_BUCKETS 96

/** Decaying histogram of latencies, with 4 buckets for each doubling from 64 us
 * on. Latencies beyond either end count in the first or last bucket. */
struct history {
	uint16_t count[HISTORY_BUCKETS];
	uint32_t total;
	uint32_t window_samples; /**< `total` at which counts are halved */
};

void history_init(struct history *h, uint32_t window_samples);
void history_add(struct history *h, int64_t latency_us);
/** Returns the latency that `percent` of the samples lie below, interpolated
 * within its bucket; 0 if there are no samples. */
int64_t history_quantile_us(const struct history *h, uint32_t percent);

/* ---- shared by health.c, judge.c, score.c and trial.c ---- */

/** Outstanding requests of a worker that are tracked; more are ignored. */
#define HEALTH_OUTSTANDING_MAX 64
/** Last ended requests of a worker that are kept. */
#define HEALTH_RECENT_MAX 32
/** Least number of samples in a worker's history before its latency is compared
 * with that history. */
#define HEALTH_HISTORY_MIN_SAMPLES 60
/** history.window_samples of a worker that is past its cold start. */
#define HEALTH_WARM_WINDOW_SAMPLES 1024
/** Added to the latency score by a request whose latency is between one and two
 * slow thresholds. */
#define HEALTH_STEP_SLOW 0.8
/** Least slow threshold of a worker without enough history. The threshold is
 * four times its longest answered latency where that is more. */
#define HEALTH_NO_HISTORY_THRESHOLD_MIN_US US_PER_S
/** With this many peers or fewer their median varies much by chance, so the
 * comparison with them needs a larger ratio and more time. */
#define HEALTH_FEW_PEERS_MAX 3
/** Length of the ramp that follows a trial. */
#define HEALTH_RAMP_US (10 * US_PER_S)
/** Latency score that ejects a mildly slow worker. It is higher than that of a
 * severely slow one, so that more time passes in which a slowdown of the peers
 * would show. */
#define HEALTH_MILD_SCORE_HIGH 16.0

/** What a worker is suspected of, and ejected for. */
enum ejection_reason {
	REASON_NONE,
	REASON_MILDLY_SLOW,
	REASON_SEVERELY_SLOW,
	REASON_FAILURES,
	REASON_SILENT,
};

/** State of the probe on a new connection that shows whether the worker is
 * silent or only its old connections are. */
enum silence_probe_state {
	SILENCE_PROBE_NONE,
	SILENCE_PROBE_DUE,
	SILENCE_PROBE_SENT,
	/** The next health_judge() drops the old connections if their requests
	 * are still unanswered. */
	SILENCE_PROBE_PASSED,
};

/** State of one worker under the "evidence" policy. A field named
 * ..._dispatched_us is the time at which a request was dispatched. "Whole
 * answers" are those of HEALTH_ANSWERED. */
struct health_worker {
	enum health_state state;
	int64_t state_since_us; /**< start of the state, or of the ramp in
					HEALTH_RECOVERING */
	bool ramping; /**< the weight grows with the time since state_since_us
		       */
	struct history history;
	/** Longest latency of a whole answer while health_has_history() was
	 * false. */
	int64_t no_history_max_us;
	/** Ring of the last whole answers: latency and time of dispatch. */
	int64_t recent_us[HEALTH_RECENT_MAX];
	int64_t recent_dispatched_us[HEALTH_RECENT_MAX];
	int64_t recent_sorted_us[HEALTH_RECENT_MAX]; /**< recent_us, ascending
						      */
	/** Ring of the last requests that succeeded or failed. */
	int64_t ended_dispatched_us[HEALTH_RECENT_MAX];
	uint32_t ended_failed_bits; /**< bit i: ended_dispatched_us[i] failed */
	uint32_t ended_count; /**< all so far; modulo HEALTH_RECENT_MAX the next
				 slot of ended_dispatched_us */
	uint32_t recent_count; /**< whole answers since the ring was emptied;
				  modulo HEALTH_RECENT_MAX the next slot of
				  recent_us */
	double latency_ratio; /**< median of recent_us divided by that of the
				 history */
	/** One bit for each of the last whole answers and of the last requests
	 * that were slow without an answer, the newest in bit 0: 1 if it took
	 * longer than the slow threshold. */
	uint32_t slow_bits;
	uint32_t very_slow_bits; /**< same, for twice the slow threshold */
	/** Latency above which a request is slow. */
	int64_t slow_threshold_us;
	int64_t answered_max_us; /**< longest latency of a whole answer */
	double latency_score; /**< from whole answers, and from requests that
			       timed out or were cancelled */
	double latency_score_answered; /**< from whole answers only */
	double latency_score_total; /**< latency_score plus the steps of the
				     slow outstanding requests */
	int64_t slow_first_dispatched_us; /**< earliest slow request since
					     latency_score was 0 */
	int64_t slow_last_dispatched_us; /**< latest of these */
	/** Last stall: a time without answers that was longer than the slow
	 * threshold. */
	int64_t stall_from_us;
	int64_t stall_to_us;
	double failure_score;
	int64_t failure_first_dispatched_us; /**< first failure since
						failure_score was 0 */
	double baseline_failure_share; /**< share of requests that fail,
					smoothed over HEALTH_WARM_WINDOW_SAMPLES
					requests */
	double recent_failure_share; /**< same, over 16 requests */
	int64_t outstanding_dispatched_us[HEALTH_OUTSTANDING_MAX];
	uint32_t outstanding_count;
	uint32_t outstanding_slow_count; /**< of these, for longer than the slow
					    threshold */
	uint32_t outstanding_very_slow_count; /**< for longer than twice the
						 slow threshold */
	/** Of these, for longer than silence_threshold_us(): the worker is to
	 * be probed. */
	uint32_t outstanding_silent_count;
	int64_t last_answer_us; /**< last answer, whole or partial, of any
				   status */
	int64_t oldest_outstanding_us; /**< time of dispatch of the oldest
					  outstanding request; the time of
					  the last health_judge() if there
					  is none */
	/** Time of the last connection drop or start of a trial. Requests
	 * dispatched up to then are evidence only if the worker answered them
	 * whole or refused them. */
	int64_t evidence_after_us;
	int64_t connection_drop_age_us; /**< next result of
					   take_connection_drop_age_us() */
	enum silence_probe_state silence_probe;
	int64_t silence_probe_since_us; /**< time at which it became due or was
					   sent */
	uint32_t silence_probes_failed; /**< in a row */
	uint32_t connection_drops; /**< in a row, with no answer to a request
				      sent after the last drop */
	/** The worker refused a connection and has not answered a request since
	 * while in service. */
	bool connect_refused;
	bool connect_timed_out; /**< since last_answer_us */
	bool unreachable; /**< as in struct health_verdict */
	uint32_t ejection_backoff; /**< doublings of the next ejection time */
	/** Time since which the peers are known to be normal; 0: they are not.
	 */
	int64_t peers_normal_since_us;
	/** Time since which must_hold_back() delays the ejection; 0: it does
	 * not. */
	int64_t held_back_since_us;
	int64_t ejected_until_us;
	/** Time of the first ejection in the present row of ejections for
	 * slowness; 0: none. */
	int64_t slow_ejections_since_us;
	int64_t next_probe_us;
	int64_t probe_sent_us; /**< 0: none outstanding */
	uint32_t probes_passed; /**< in a row */
	/** Number of answers within the slow threshold since the state was
	 * entered, less the number of slower ones; at least 0. */
	uint32_t fast_answer_surplus;
	uint32_t probe_backoff; /**< doublings of the probe interval */
	uint8_t severity; /**< as in struct health_verdict */
	double shed_share; /**< share of requests that were shed, smoothed over
			      16 */
};

/** State of the "evidence" policy for one cell. */
struct health_detector {
	struct health_pool pool;
	struct health_settings settings;
	int64_t now_us; /**< time of the last tick */
	struct health_worker workers[HEALTH_WORKERS_MAX];
};

/** Updates the failure score and the failure shares by an ended request; a
 * failure counts `weight` times in the score. */
void health_record_outcome(struct health_worker *w, bool failed, double weight,
			   int64_t dispatched_us);
/** Adds a latency, or the wait of a request without an answer, to the latency
 * scores. */
void health_record_latency(struct health_worker *w, int64_t latency_us,
			   bool answered, int64_t now_us);
/** Moves the worker to its next state once the conditions for it are met; never
 * to HEALTH_UNHEALTHY. */
void health_advance_state(struct health_detector *d, struct health_worker *w,
			  int64_t now_us);
/** Handles the end of a probe: a silence probe, or one of an ejected worker. */
void health_record_probe(struct health_detector *d, struct health_worker *w,
			 const struct health_sample *s, int64_t now_us);
/** Sets the state and resets what is counted within a state. */
void health_enter_state(struct health_worker *w, enum health_state s,
			int64_t now_us);
/** Handles a silence probe that failed or was not sent in time: ejects the
 * worker, or requests another silence probe. */
void health_fail_silence_probe(struct health_worker *w, int64_t now_us);
/** Scores the outstanding requests. Ejects the worker, or requests a silence
 * probe if it is silent, once the evidence suffices and the peers are normal.
 */
void health_judge(struct health_detector *d, struct health_worker *w,
		  int64_t now_us);
/** True if the worker's latency can be compared with its history. */
bool health_has_history(const struct health_worker *w);
/** Returns the least latency ratio that makes a worker suspect, for this number
 * of peers. */
double health_suspect_ratio(uint32_t peers);
/**
 * Returns how long a request has waited at `until_us`, without the time in the
 * last stall: an earlier request has already counted that. A pause of the
 * worker delays all its requests at once, but is only one event.
 */
int64_t health_wait_without_stall_us(const struct health_worker *w,
				     int64_t dispatched_us, int64_t until_us);
/** Returns the state of the "evidence" policy that `p` is the first member of.
 */
struct health_detector *health_detector_of(struct health_pool *p);
/** Returns the latency above which a probe has failed. */
int64_t health_probe_timeout_us(const struct health_worker *w);
/** Computes the slow threshold from the history, and from the peers if most of
 * them have become slower. */
void health_update_slow_threshold(const struct health_detector *d,
				  struct health_worker *w);
/** Computes the severity of an ejected worker; 0 for another one. */
void health_set_severity(struct health_worker *w);
/** Returns what a request of this latency adds to the latency scores; negative
 * if it is not slow. */
double health_latency_step(int64_t latency_us, int64_t slow_threshold_us);
/** Enters HEALTH_COLD with an empty history; with `ramping` the worker gets
 * little load at first. */
void health_start_cold(struct health_worker *w, bool ramping, int64_t now_us);

#endif
