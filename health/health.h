/**
 * @file
 * Outlier detection among the workers of a cell, from how their requests and
 * probes end: finds workers that fail gray, such as slow or silent ones. Plain
 * functions over plain state; the caller passes its clock.
 */
#ifndef HEALTH_HEALTH_H
#define HEALTH_HEALTH_H

#include "lib/az.h"

#define HEALTH_WORKERS_MAX 16

/** How one request or probe to a worker ended. */
enum health_event {
	HEALTH_ANSWERED, /**< whole answer below 500 */
	HEALTH_SERVER_ERROR, /**< whole answer of 500 and above, but not shed */
	HEALTH_SHED, /**< refused for load */
	HEALTH_TRUNCATED, /**< connection closed within the answer */
	HEALTH_RESET, /**< connection closed before the answer */
	HEALTH_TIMEOUT, /**< no answer by the deadline */
	HEALTH_CONNECT_REFUSED,
	HEALTH_CONNECT_TIMEOUT,
	HEALTH_CANCELLED, /**< caller gave up; only the wait is evidence */
};

struct health_sample {
	enum health_event event;
	int64_t latency_us; /**< from dispatch to the last byte */
	bool fresh; /**< on a new connection, not a pooled one */
	bool probe;
};

enum health_state {
	HEALTH_OK,
	HEALTH_COLD, /**< new or restarted: no latency baseline yet */
	HEALTH_UNHEALTHY, /**< ejected */
	HEALTH_RECOVERING, /**< on trial after ejection, then ramping */
};

struct health_verdict {
	enum health_state state;
	uint8_t severity; /**< 0: in service, 255: worst */
	uint8_t weight_percent; /**< share of its slots to use; at least 1 slot
				 */
	bool reads_only; /**< on trial: idempotent requests only */
	/** Ejected because it cannot be reached. The network may be at fault,
	 * so a daemon in another data centre should confirm it before the
	 * report.
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
	/** Worker to probe now, or -1; the probe counts as sent. Sets `fresh`
	 * if the probe must use a new connection. */
	int32_t (*next_probe)(struct health_pool *p, int64_t now_us,
			      bool *fresh);
	/** Positive, in one call, after connections to the worker proved
	 * silent: the caller closes its idle connections and those whose
	 * request has been outstanding for longer than this. Otherwise 0. */
	int64_t (*take_silent_us)(struct health_pool *p, uint8_t worker);
	/** Another or a restarted worker has this index: forgets the old one.
	 */
	void (*reset)(struct health_pool *p, uint8_t worker, int64_t now_us);
	void (*destroy)(struct health_pool *p);
};

/** Workers of one cell under one policy; first member of the policy's state. */
struct health_pool {
	const struct health_ops *ops;
	uint8_t worker_count;
};

struct health_settings {
	uint8_t worker_count;
	uint8_t slots; /**< of each worker */
	uint32_t cold_start_ms;
	uint32_t probe_interval_ms;
};

/** Judges by the evidence that the homes use to choose a worker
 * (home/evidence.c): a worker above CHOOSE_SUSPICION_MAX is unhealthy. */
struct health_pool *health_create_home(const struct health_settings *s,
				       int64_t now_us);
/** The "evidence" policy, with scores, probes and states; the daemon used it
 * until 2026-12-04. */
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

/** Decaying histogram of latencies: 4 buckets an octave, from 64 us on. */
struct history {
	uint16_t count[HISTORY_BUCKETS];
	uint32_t total;
	uint32_t window_samples; /**< `total` at which counts are halved */
};

void history_init(struct history *h, uint32_t window_samples);
void history_add(struct history *h, int64_t latency_us);
/** Latency that `percent` of the samples lie below; 0 if there are none. */
int64_t history_quantile_us(const struct history *h, uint32_t percent);

/* ---- shared by health.c, judge.c, score.c and trial.c ---- */

#define HEALTH_OUTSTANDING_MAX 64
/** Latest requests that are kept of each worker. */
#define HEALTH_RECENT_MAX 32
/** Samples in its history before a worker is judged against it. */
#define HEALTH_HISTORY_MIN_SAMPLES 60
/** Samples that the history of a worker past its cold start spans. */
#define HEALTH_WARM_WINDOW_SAMPLES 1024
/** Added to the latency score by a request of one to two slow thresholds. */
#define HEALTH_STEP_SLOW 0.8
/** Least slow threshold of a worker without enough history: four times the
 * longest latency answered so far if that is more. */
#define HEALTH_DEFAULT_THRESHOLD_US US_PER_S
/** With so few peers chance alone moves the comparison: it needs a larger ratio
 * and more time. */
#define HEALTH_FEW_PEERS_MAX 3
/** Time over which the weight grows after a trial. */
#define HEALTH_RAMP_US (10 * US_PER_S)
/** Score for the ejection of a mildly slow worker. It is above that of a
 * severely slow one: the longer time shows whether the peers are slow too. */
#define HEALTH_MILD_SCORE_HIGH 16.0

/** Why a worker is suspected and ejected. */
enum ejection_reason {
	REASON_NONE,
	REASON_MILDLY_SLOW,
	REASON_SEVERELY_SLOW,
	REASON_FAILURES,
	REASON_SILENT,
};

/** Probe on a new connection that tells a silent worker from silent
 * connections. */
enum silence_probe_state {
	SILENCE_PROBE_NONE,
	SILENCE_PROBE_DUE,
	SILENCE_PROBE_SENT,
	/** The old connections are dropped at the next judgement if their
	 * requests are still unanswered. */
	SILENCE_PROBE_PASSED,
};

/** What is known of one worker. Times of requests are those of dispatch. */
struct health_worker {
	enum health_state state;
	int64_t state_since_us; /**< start of the state, or of the ramp in it */
	bool ramping; /**< its weight grows with time in this state */
	struct history history;
	/** Longest latency answered while there was not enough history. */
	int64_t unlearned_max_us;
	/** Latencies of the last whole answers, as a ring. */
	int64_t recent_us[HEALTH_RECENT_MAX];
	int64_t recent_dispatched_us[HEALTH_RECENT_MAX];
	int64_t recent_sorted_us[HEALTH_RECENT_MAX]; /**< recent_us in order */
	/** Last requests that succeeded or failed, as a ring. */
	int64_t ended_dispatched_us[HEALTH_RECENT_MAX];
	uint32_t ended_failed_bits; /**< bit i: ended_dispatched_us[i] failed */
	uint32_t ended_count; /**< in all; gives the next slot of the ring */
	uint32_t recent_count; /**< same, of whole answers */
	double latency_ratio; /**< recent median to the history's median */
	/** Last requests, the newest in bit 0; 1: above the slow threshold. */
	uint32_t slow_bits;
	uint32_t very_slow_bits; /**< above twice the slow threshold */
	/** Latency above which a request is slow. */
	int64_t slow_threshold_us;
	int64_t answered_max_us; /**< longest latency of a whole answer */
	double latency_score; /**< requests answered or given up */
	double latency_score_answered; /**< only those with a whole answer */
	double latency_score_total; /**< latency_score and the outstanding */
	int64_t slow_first_dispatched_us; /**< first slow request in the score
					   */
	int64_t slow_last_dispatched_us;
	/** Last stall, a gap between answers above the slow threshold. */
	int64_t stall_from_us;
	int64_t stall_to_us;
	double failure_score;
	int64_t failure_first_dispatched_us; /**< first failure in the score */
	double baseline_failure_share; /**< smoothed over a long time */
	double recent_failure_share; /**< smoothed over the last requests */
	int64_t outstanding_dispatched_us[HEALTH_OUTSTANDING_MAX];
	uint32_t outstanding_count;
	uint32_t outstanding_slow; /**< of these, above the slow threshold */
	uint32_t outstanding_very_slow; /**< above twice the slow threshold */
	uint32_t outstanding_silent; /**< for long enough to probe the worker */
	int64_t last_answer_us; /**< whole or not, of any status */
	int64_t oldest_outstanding_us; /**< now if none is outstanding */
	/** Requests dispatched up to this time are no evidence. */
	int64_t evidence_after_us;
	int64_t close_silent_us; /**< for take_silent_us() */
	enum silence_probe_state silence_probe;
	int64_t silence_probe_since_us; /**< when it was due or sent */
	uint32_t silence_probes_failed; /**< in a row */
	uint32_t connection_drops; /**< in a row without a later answer */
	/** Refused a connection and has not answered in service since. */
	bool connect_refused;
	bool connect_timed_out; /**< since its last answer */
	bool unreachable;
	uint32_t ejection_backoff; /**< doublings of the next ejection time */
	/** Since when its peers are known to be normal; 0: they are not. */
	int64_t peers_normal_since_us;
	/** Since when must_hold_back() waits for its peers; 0: it does not. */
	int64_t held_back_since_us;
	int64_t ejected_until_us;
	/** First of the ejections for slowness in a row; 0: none. */
	int64_t slow_ejected_us;
	int64_t next_probe_us;
	int64_t probe_sent_us; /**< 0: none outstanding */
	uint32_t probes_passed; /**< in a row */
	/** Answers within the slow threshold since the state was entered, less
	 * those above. */
	uint32_t fast_answers;
	uint32_t probe_backoff; /**< doublings of the probe interval */
	uint8_t severity;
	double shed_share; /**< smoothed share of requests that were shed */
};

/** State of the "evidence" policy for one cell. */
struct health_detector {
	struct health_pool pool;
	struct health_settings settings;
	int64_t now_us;
	struct health_worker workers[HEALTH_WORKERS_MAX];
};

/** Adds a success, or a failure counted `weight` times, to the failure score.
 */
void health_record_outcome(struct health_worker *w, bool failed, double weight,
			   int64_t dispatched_us);
/** Adds a latency, or the wait of a request without an answer, to the latency
 * scores. */
void health_record_latency(struct health_worker *w, int64_t latency_us,
			   bool answered, int64_t now_us);
/** Enters the next state once its conditions are met; ejects nobody. */
void health_advance_state(struct health_detector *d, struct health_worker *w,
			  int64_t now_us);
void health_record_probe(struct health_detector *d, struct health_worker *w,
			 const struct health_sample *s, int64_t now_us);
void health_enter_state(struct health_worker *w, enum health_state s,
			int64_t now_us);
/** A silence probe failed or could not be sent: ejects the worker, or asks for
 * another. */
void health_fail_silence_probe(struct health_worker *w, int64_t now_us);
/** Ejects the worker, or has it probed if it is silent, once the evidence
 * against it suffices and its peers are normal. */
void health_judge(struct health_detector *d, struct health_worker *w,
		  int64_t now_us);
/** True if the history is long enough to judge the worker against it. */
bool health_has_history(const struct health_worker *w);
/** Latency ratio from which on a peer is suspect. */
double health_suspect_ratio(uint32_t peers);
/**
 * Wait of a request without the time in the last stall, which an earlier
 * request has already counted: a pause of the worker delays all its slots at
 * once and is one piece of evidence.
 */
int64_t health_wait_without_stall_us(const struct health_worker *w,
				     int64_t dispatched_us, int64_t until_us);
struct health_detector *health_detector_of(struct health_pool *p);
/** A probe that takes longer has failed. */
int64_t health_probe_timeout_us(const struct health_worker *w);
void health_update_slow_threshold(const struct health_detector *d,
				  struct health_worker *w);
void health_set_severity(struct health_worker *w);
/** What a request of this latency adds to the latency scores. */
double health_latency_step(int64_t latency_us, int64_t slow_threshold_us);
/** Forgets the history; `ramping` gives the worker little load at first. */
void health_start_cold(struct health_worker *w, bool ramping, int64_t now_us);

#endif
