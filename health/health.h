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

/** The policy that the product uses. */
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

#endif
