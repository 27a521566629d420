/**
 * @file
 * Simulation of a home under load patterns, with simulated workers and clock.
 * It runs the daemon's own code for the choice of a worker, the evidence about
 * workers and the queue. Shared by the test and the measurement; not part of
 * the daemon.
 */
#ifndef HOME_REPLAY_H
#define HOME_REPLAY_H

#include "home/home.h"

#define REPLAY_WORKERS_MAX 64

/* The users' rule on the floor: seconds for which a worker without requests
 * counts as excluded, for which a worker must have been well, and the share of
 * the requests that is not served (from, to) while the rule holds. */
#define REPLAY_FLOOR_WINDOW_S 2
#define REPLAY_SOUND_AFTER_S 8
#define REPLAY_FLOOR_UNSERVED_FROM 0.1
#define REPLAY_FLOOR_UNSERVED_TO 0.5

/** How a gray worker fails requests while its health probes pass. */
enum replay_fault {
	REPLAY_NO_FAULT,
	REPLAY_HANGS, /**< requests stay in flight until their deadline */
	REPLAY_ERRORS, /**< requests are answered with 500 at once */
};

/** A load pattern; all times are simulated. */
struct replay_pattern {
	const char *name;
	uint32_t workers;
	uint32_t data_centres;
	uint8_t slots; /**< of each worker */
	double requests_per_s;
	double burst; /**< factor on the rate during the burst; 0: no burst */
	double burst_from_s; /**< start of the burst */
	double burst_for_s; /**< its duration */
	double service_ms; /**< mean time that a worker takes for a request */
	double spread; /**< sigma of this time, which is lognormal */
	double deadline_ms; /**< of each request, from its arrival */
	double target_ms; /**< latency target, from the arrival */
	/* Every gray_every_s each worker turns gray with the probability
	 * gray_share, for gray_for_s. A gray worker fails the share
	 * gray_fail_share of its requests. */
	enum replay_fault gray_fault;
	double gray_share;
	double gray_every_s;
	double gray_for_s;
	double gray_fail_share;
	double urgent_share; /**< share of the requests of rank urgent; the
				others are of rank normal */
	double lost_share; /**< share of the answers that are lost, at any
			      worker */
	double slow_share; /**< share of the workers that is slow throughout */
	double slow_factor; /**< factor on the service time of slow workers */
	double seconds; /**< duration of the arrivals */
};

struct replay_result {
	uint32_t requests;
	uint32_t served;
	uint32_t in_time; /**< served within the latency target */
	uint32_t failed; /**< sent and not served */
	uint32_t refused; /**< not sent */
	uint32_t other_dc; /**< sent to another data centre */
	/** Largest share of the sound workers that got no request within
	 * REPLAY_FLOOR_WINDOW_S, in windows in which some but not most requests
	 * were not served. Sound workers were not gray for
	 * REPLAY_SOUND_AFTER_S. */
	double starved_share;
	double wait_ms; /**< mean wait of the requests sent */
	double refusal_age_ms; /**< mean wait of the requests refused */
};

/** Policy for the choice of a worker. */
struct replay_policy {
	const char *name;
	int32_t (*choose)(const struct candidate *list, uint32_t count,
			  const struct latency_baseline *base,
			  const struct demand *d, uint64_t random,
			  int64_t now_us);
	bool may_wait; /**< requests may wait for a better worker */
	bool may_wait_long; /**< and do so even while the queue is long */
};

/** The policy of the daemon. */
extern const struct replay_policy replay_daemon;
/** The daemon's policy, except that requests wait for better workers in a burst
 * too. */
extern const struct replay_policy replay_always_wait;
/** Random choice among the workers with a free slot. */
extern const struct replay_policy replay_random;
/** Worker with the fewest requests in flight; uses no evidence. */
extern const struct replay_policy replay_fewest_in_flight;

/** Runs a pattern under a policy; the same seed gives the same result. */
struct replay_result replay_run(const struct replay_pattern *p,
				const struct replay_policy *policy,
				uint64_t seed);

extern const struct replay_pattern replay_patterns[];
extern const uint32_t replay_pattern_count;

#endif
