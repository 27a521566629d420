/**
 * @file
 * Load patterns in model time, played against the decisions of a home: the
 * choice of a worker, the evidence about workers and the queue. Shared by the
 * test and the measurement; not part of the product.
 */
#ifndef HOME_REPLAY_H
#define HOME_REPLAY_H

#include "home/home.h"

#define REPLAY_WORKERS_MAX 64

/** What goes wrong with a worker while its probes pass. */
enum replay_fault {
	REPLAY_SOUND,
	REPLAY_HANGS, /**< requests stay until their deadline */
	REPLAY_ERRORS, /**< answers with 500 at once */
};

/** A load pattern; times in model time. */
struct replay_pattern {
	const char *name;
	uint32_t workers;
	uint32_t data_centres;
	uint8_t slots;
	double requests_per_s;
	double burst; /**< factor on the rate from `burst_from_s` on */
	double burst_from_s;
	double burst_for_s;
	double service_ms; /**< mean */
	double spread; /**< sigma of the lognormal service time */
	double deadline_ms;
	double target_ms;
	/* Every `gray_every_s` the given share of the workers turns gray for
	 * `gray_for_s` and fails the share `gray_fails` of its requests. */
	enum replay_fault gray;
	double gray_share;
	double gray_every_s;
	double gray_for_s;
	double gray_fails;
	double slow_share; /**< of the workers, for the whole run */
	double slow_factor;
	double seconds;
};

struct replay_result {
	uint32_t requests;
	uint32_t served;
	uint32_t in_time; /**< of these, within the target */
	uint32_t failed; /**< sent, and not answered with success */
	uint32_t refused; /**< not sent */
	uint32_t far; /**< sent to another data centre */
	double wait_ms; /**< mean, of those sent */
	double late_refusal_ms; /**< mean age of a refusal */
};

/** What varies between ways of choosing. */
struct replay_policy {
	const char *name;
	int32_t (*choose)(const struct candidate *list, uint32_t count,
			  const struct latency_baseline *u,
			  const struct demand *d, uint64_t random,
			  int64_t now_us);
	bool waits; /**< for near and sound workers */
	bool waits_long; /**< also while the queue is long */
};

/** The product's. */
extern const struct replay_policy replay_product;
/** The product's, but it waits for better workers in a burst as well. */
extern const struct replay_policy replay_waiting;
/** At random among those with a free slot. */
extern const struct replay_policy replay_random;
/** The fewest requests out; no evidence. */
extern const struct replay_policy replay_fewest;

struct replay_result replay_run(const struct replay_pattern *p,
				const struct replay_policy *policy,
				uint64_t seed);

extern const struct replay_pattern replay_patterns[];
extern const uint32_t replay_pattern_count;

#endif
