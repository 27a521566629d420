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
	int64_t (*take_silent)(struct health_pool *p, uint8_t worker);
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
struct health_pool *health_create(const struct health_settings *s,
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
	uint32_t window; /**< counts are halved when `total` reaches it */
};

void history_init(struct history *h, uint32_t window);
void history_add(struct history *h, int64_t latency_us);
/** Latency below which `percent` of the samples lie; 0 if there are none. */
int64_t history_quantile_us(const struct history *h, uint32_t percent);

/* ---- between the files of the "evidence" policy ---- */

#define EVIDENCE_OUTSTANDING_MAX 64
#define EVIDENCE_RECENT 32
/** History needed before a worker is judged against it. */
#define EVIDENCE_LEARN_MIN 60
#define EVIDENCE_WINDOW_WARM 1024
#define EVIDENCE_STEP_SLOW 0.8 /* above T */
/** Threshold while there is no history; answers seen raise it. */
#define EVIDENCE_UNLEARNED_US US_PER_S
#define EVIDENCE_PEERS_FEW 3
#define EVIDENCE_RAMP_US (10 * US_PER_S)
/** A mild slowdown has more time, which separates it from a shared one. */
#define EVIDENCE_LIMIT_MILD 16.0

enum evidence_reason {
	REASON_NONE,
	REASON_SLOW,
	REASON_VERY_SLOW,
	REASON_FAULT,
	REASON_SILENT,
};

/** Check of a silent worker over a fresh connection. */
enum evidence_check {
	CHECK_NONE,
	CHECK_WANTED,
	CHECK_SENT,
	CHECK_PASSED, /**< dropped at the next tick if still silent */
};

struct evidence_worker {
	enum health_state state;
	int64_t state_us; /**< when it was entered */
	bool ramp; /**< weight grows with time in this state */
	struct history history;
	int64_t slowest_us; /**< answer seen while there is no history */
	int64_t recent_us[EVIDENCE_RECENT];
	int64_t recent_at_us[EVIDENCE_RECENT]; /**< their dispatch */
	int64_t sorted_us[EVIDENCE_RECENT]; /**< recent_us in order */
	int64_t ended_at_us[EVIDENCE_RECENT]; /**< dispatch of the last that
						 ended */
	uint32_t ended_bad; /**< bit i: that in ended_at_us[i] failed */
	uint32_t ended_count;
	uint32_t recent_count;
	double ratio; /**< recent median against the history's median */
	uint32_t slow_bits; /**< last requests, 1: above T */
	uint32_t slower_bits; /**< above 2 T */
	int64_t limit_us; /**< T, set by evidence_refresh_limit() */
	int64_t longest_us; /**< longest wait that was answered */
	double slow; /**< score of all requests that ended */
	double slow_answered; /**< of those with a whole answer */
	double slow_total; /**< and of those outstanding */
	int64_t slow_first_us; /**< dispatch of the first slow one in it */
	int64_t slow_last_us;
	int64_t stall_from_us; /**< last gap between answers above T */
	int64_t stall_to_us;
	double fault;
	int64_t fault_first_us; /**< dispatch of the first failure in it */
	double error_share; /**< own history */
	double bad_share; /**< of the last requests */
	int64_t out_us[EVIDENCE_OUTSTANDING_MAX]; /**< dispatch times */
	uint32_t out_count;
	uint32_t out_slow; /**< of these, above T */
	uint32_t out_slower; /**< above 2 T */
	uint32_t out_quiet; /**< for long enough to check the worker */
	int64_t answer_us; /**< last answer of any kind */
	int64_t oldest_us; /**< dispatch of the oldest slow one */
	int64_t dropped_us; /**< requests dispatched before are no evidence */
	int64_t silent_us; /**< for take_silent() */
	enum evidence_check check;
	int64_t check_us;
	uint32_t checks_failed;
	uint32_t drops; /**< in a row without a later answer */
	bool refused;
	bool no_connection; /**< the last failure was a connect timeout */
	bool unreachable;
	uint32_t flaps;
	int64_t normal_us; /**< since when its peers are known to be normal */
	int64_t wait_us; /**< since when is_shared() waits; 0: not */
	int64_t out_until_us;
	int64_t slow_out_us; /**< first ejection for slowness in a row */
	int64_t probe_at_us;
	int64_t probe_sent_us; /**< 0: none outstanding */
	uint32_t probes_good;
	uint32_t answers_good;
	uint32_t probe_backoff;
	uint8_t severity;
	double shed; /**< smoothed share of requests that were shed */
};

struct evidence_pool {
	struct health_pool pool;
	struct health_settings settings;
	int64_t now_us;
	struct evidence_worker workers[HEALTH_WORKERS_MAX];
};

void evidence_add_fault(struct evidence_worker *w, bool bad, double weight,
			int64_t at_us);
void evidence_add_latency(struct evidence_worker *w, int64_t latency_us,
			  bool answered, int64_t now_us);
void evidence_advance(struct evidence_pool *p, struct evidence_worker *w,
		      int64_t now_us);
void evidence_end_probe(struct evidence_pool *p, struct evidence_worker *w,
			const struct health_sample *s, int64_t now_us);
void evidence_enter(struct evidence_worker *w, enum health_state s,
		    int64_t now_us);
void evidence_fail_check(struct evidence_worker *w, int64_t now_us);
void evidence_judge(struct evidence_pool *p, struct evidence_worker *w,
		    int64_t now_us);
bool evidence_learned(const struct evidence_worker *w);
double evidence_looks_bad_ratio(uint32_t peers);
int64_t evidence_own_wait_us(const struct evidence_worker *w, int64_t at_us,
			     int64_t until_us);
struct evidence_pool *evidence_pool_of(struct health_pool *p);
int64_t evidence_probe_limit_us(const struct evidence_worker *w);
void evidence_refresh_limit(const struct evidence_pool *p,
			    struct evidence_worker *w);
void evidence_set_severity(struct evidence_worker *w);
double evidence_slow_step(int64_t latency_us, int64_t limit_us);
void evidence_start_cold(struct evidence_worker *w, bool ramp, int64_t now_us);

#endif
