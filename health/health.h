/**
 * @file
 * Health of a cell's workers from the answers of real traffic. Plain functions
 * over plain state; the home calls them with its clock.
 */
#ifndef HEALTH_HEALTH_H
#define HEALTH_HEALTH_H

#include "lib/az.h"

#define HEALTH_WORKERS_MAX 16

/** How one request or probe to a worker ended. */
enum health_event {
	HEALTH_ANSWERED, /**< whole answer below 500 */
	HEALTH_SERVER_ERROR, /**< whole answer of 500 and above, but for shed */
	HEALTH_SHED, /**< refused for load */
	HEALTH_TRUNCATED,
	HEALTH_RESET, /**< connection closed before the answer */
	HEALTH_TIMEOUT, /**< no answer by the deadline */
	HEALTH_CONNECT_REFUSED,
	HEALTH_CONNECT_TIMEOUT,
	HEALTH_CANCELLED, /**< the caller gave up; only the wait is evidence */
};

struct health_sample {
	enum health_event event;
	int64_t latency_us; /**< from dispatch to the last byte */
	bool fresh; /**< on a connection made for it */
	bool probe;
};

enum health_state {
	HEALTH_OK,
	HEALTH_COLD, /**< new or restarted; own baseline, ramp */
	HEALTH_UNHEALTHY,
	HEALTH_RECOVERING, /**< passed its probes; ramp */
};

struct health_verdict {
	enum health_state state;
	uint8_t severity; /**< 0 if healthy, to 255 */
	uint8_t weight_percent; /**< share of its slots to use, at least one */
	bool reads_only; /**< on trial: idempotent requests only */
	/** Blamed only because nothing comes back from it: a daemon in another
	 * data centre should confirm this before it is reported. */
	bool unreachable;
};

struct health_pool;

/** What varies between ways of judging; the baselines implement it too. */
struct health_ops {
	const char *name;
	/** A request, not a probe, is bound to the worker. */
	void (*dispatch)(struct health_pool *p, uint8_t worker, int64_t now_us);
	/** A request or probe ended. */
	void (*record)(struct health_pool *p, uint8_t worker,
		       const struct health_sample *s, int64_t now_us);
	/** Re-judges; called at least every 100 ms. */
	void (*tick)(struct health_pool *p, int64_t now_us);
	struct health_verdict (*verdict)(const struct health_pool *p,
					 uint8_t worker);
	/** Worker to probe now, or -1. Sets `fresh` if the probe must use a
	 * new connection. */
	int32_t (*next_probe)(struct health_pool *p, int64_t now_us,
			      bool *fresh);
	/** Positive once after connections turned out to be silent: the home
	 * closes all idle connections to the worker, and those whose request
	 * has been outstanding for longer than the returned microseconds. */
	int64_t (*take_silent_us)(struct health_pool *p, uint8_t worker);
	/** The worker at this position is another or a new one. */
	void (*reset)(struct health_pool *p, uint8_t worker, int64_t now_us);
	void (*destroy)(struct health_pool *p);
};

/** Health of the workers of one cell. */
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

/** The evidence by which the homes choose (home/track.c): a worker in trouble
 * counts as unhealthy. */
struct health_pool *health_create_home(const struct health_settings *s,
				       int64_t now_us);
/** The product's policy until 2026-12-04, with probes and states. */
struct health_pool *health_create_evidence(const struct health_settings *s,
					   int64_t now_us);

/* ---- baselines that the policy is measured against (baseline.c) ---- */

struct health_pool *health_create_consecutive(const struct health_settings *s,
					      int64_t now_us);
struct health_pool *health_create_threshold(const struct health_settings *s,
					    int64_t now_us);
struct health_pool *health_create_never(const struct health_settings *s,
					int64_t now_us);

/* ---- latency history (history.c) ---- */

#define HISTORY_BUCKETS 96

/** Decaying histogram of latencies: 4 buckets an octave, from 64 us up. */
struct history {
	uint16_t count[HISTORY_BUCKETS];
	uint32_t total;
	uint32_t window_samples; /**< counts are halved when `total` reaches it
				  */
};

void history_init(struct history *h, uint32_t window_samples);
void history_add(struct history *h, int64_t latency_us);
/** Latency below which `percent` of the samples lie; 0 if there are none. */
int64_t history_quantile_us(const struct history *h, uint32_t percent);

/* ---- between the files of the "evidence" policy ---- */

#define HEALTH_OUTSTANDING_MAX 64
#define HEALTH_RECENT_MAX 32
/** History needed before a worker is judged against it. */
#define HEALTH_HISTORY_MIN 60
#define HEALTH_WARM_WINDOW 1024
#define HEALTH_STEP_SLOW 0.8 /* above T */
/** Threshold while there is no history; answers seen raise it. */
#define HEALTH_DEFAULT_THRESHOLD_US US_PER_S
#define HEALTH_FEW_PEERS_MAX 3
#define HEALTH_RAMP_US (10 * US_PER_S)
/** A mild slowdown has more time, which separates it from a shared one. */
#define HEALTH_MILD_SCORE_HIGH 16.0

enum ejection_reason {
	REASON_NONE,
	REASON_MILDLY_SLOW,
	REASON_SEVERELY_SLOW,
	REASON_FAILURES,
	REASON_SILENT,
};

/** Check of a silent worker over a fresh connection. */
enum silence_probe_state {
	SILENCE_PROBE_NONE,
	SILENCE_PROBE_DUE,
	SILENCE_PROBE_SENT,
	SILENCE_PROBE_PASSED, /**< dropped at the next tick if still silent */
};

struct health_worker {
	enum health_state state;
	int64_t state_since_us; /**< when it was entered */
	bool ramping; /**< weight grows with time in this state */
	struct history history;
	int64_t unlearned_max_us; /**< answer seen while there is no history */
	int64_t recent_latency_us[HEALTH_RECENT_MAX];
	int64_t recent_dispatch_us[HEALTH_RECENT_MAX]; /**< their dispatch */
	int64_t recent_sorted_us[HEALTH_RECENT_MAX]; /**< recent_latency_us in
							order */
	int64_t ended_dispatch_us[HEALTH_RECENT_MAX]; /**< dispatch of the last
						 that ended */
	uint32_t ended_failed_bits; /**< bit i: that in ended_dispatch_us[i]
				       failed */
	uint32_t ended_count;
	uint32_t recent_count;
	double latency_ratio; /**< recent median against the history's median */
	uint32_t slow_bits; /**< last requests, 1: above T */
	uint32_t very_slow_bits; /**< above 2 T */
	int64_t slow_threshold_us; /**< T, set by health_update_slow_threshold()
				    */
	int64_t answered_max_us; /**< longest wait that was answered */
	double latency_score; /**< score of all requests that ended */
	double latency_score_answered; /**< of those with a whole answer */
	double latency_score_total; /**< and of those outstanding */
	int64_t slow_first_dispatch_us; /**< dispatch of the first slow one in
					   it */
	int64_t slow_last_dispatch_us;
	int64_t stall_from_us; /**< last gap between answers above T */
	int64_t stall_to_us;
	double failure_score;
	int64_t failure_first_dispatch_us; /**< dispatch of the first failure in
					      it */
	double baseline_failure_share; /**< own history */
	double recent_failure_share; /**< of the last requests */
	int64_t outstanding_dispatch_us[HEALTH_OUTSTANDING_MAX]; /**< dispatch
								    times */
	uint32_t outstanding_count;
	uint32_t outstanding_slow; /**< of these, above T */
	uint32_t outstanding_very_slow; /**< above 2 T */
	uint32_t outstanding_silent; /**< for long enough to check the worker */
	int64_t last_answer_us; /**< last answer of any kind */
	int64_t oldest_outstanding_us; /**< dispatch of the oldest slow one */
	int64_t evidence_after_us; /**< requests dispatched before are no
				      evidence */
	int64_t close_silent_us; /**< for take_silent_us() */
	enum silence_probe_state silence_probe;
	int64_t silence_probe_since_us;
	uint32_t silence_probes_failed;
	uint32_t connection_drops; /**< in a row without a later answer */
	bool connect_refused;
	bool connect_timed_out; /**< the last failure was a connect timeout */
	bool unreachable;
	uint32_t ejection_backoff;
	int64_t peers_normal_since_us; /**< since when its peers are known to be
					  normal */
	int64_t held_back_since_us; /**< since when must_hold_back() waits; 0:
				       not */
	int64_t ejected_until_us;
	int64_t slow_ejected_us; /**< first ejection for slowness in a row */
	int64_t next_probe_us;
	int64_t probe_sent_us; /**< 0: none outstanding */
	uint32_t probes_passed;
	uint32_t fast_answers;
	uint32_t probe_backoff;
	uint8_t severity;
	double shed_share; /**< smoothed share of requests that were shed */
};

struct health_detector {
	struct health_pool pool;
	struct health_settings settings;
	int64_t now_us;
	struct health_worker workers[HEALTH_WORKERS_MAX];
};

void health_record_outcome(struct health_worker *w, bool bad, double weight,
			   int64_t dispatched_us);
void health_record_latency(struct health_worker *w, int64_t latency_us,
			   bool answered, int64_t now_us);
void health_advance_state(struct health_detector *d, struct health_worker *w,
			  int64_t now_us);
void health_record_probe(struct health_detector *d, struct health_worker *w,
			 const struct health_sample *s, int64_t now_us);
void health_enter_state(struct health_worker *w, enum health_state s,
			int64_t now_us);
void health_fail_silence_probe(struct health_worker *w, int64_t now_us);
void health_judge(struct health_detector *d, struct health_worker *w,
		  int64_t now_us);
bool health_has_history(const struct health_worker *w);
double health_suspect_ratio(uint32_t peers);
int64_t health_wait_without_stall_us(const struct health_worker *w,
				     int64_t dispatched_us, int64_t until_us);
struct health_detector *health_detector_of(struct health_pool *p);
int64_t health_probe_timeout_us(const struct health_worker *w);
void health_update_slow_threshold(const struct health_detector *d,
				  struct health_worker *w);
void health_set_severity(struct health_worker *w);
double health_slow_step(int64_t latency_us, int64_t slow_threshold_us);
void health_start_cold(struct health_worker *w, bool ramping, int64_t now_us);

#endif
