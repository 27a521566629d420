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
	HEALTH_CANCELLED, /**< the caller gave up; no evidence by itself */
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
	uint8_t weight_percent; /**< share of its slots to use during a ramp */
};

struct health_pool;

/** What varies between ways of judging; the baselines implement it too. */
struct health_ops {
	const char *name;
	void (*dispatch)(struct health_pool *p, uint8_t worker, int64_t now_us);
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

#endif
