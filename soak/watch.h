/**
 * @file
 * Randomized soak test of what daemons learn about workers from the users'
 * platform: a stand-in of the platform, real daemons of one data centre, and
 * kills of daemons around changes of workers. The guarantee: no daemon that was
 * left alone sends a request to a worker later than 2.5 s after the platform
 * has acknowledged that it has left the service.
 */
#ifndef SOAK_WATCH_H
#define SOAK_WATCH_H

#include "soak/soak.h"

#define WATCH_STEPS_MAX 128
#define WATCH_WORKERS 8
#define WATCH_SERVICES 2

/* ---- the plan (watch_plan.c): no I/O ---- */

enum watch_kind {
	WATCH_KILL, /**< daemons: SIGKILL */
	WATCH_START, /**< daemons that were killed */
	WATCH_REMOVE, /**< a worker's entry is removed */
	WATCH_DRAIN, /**< a worker's entry says that it leaves */
	WATCH_ADD, /**< a worker's entry names a service, a new one too */
	WATCH_FORGET, /**< the platform drops its history */
	WATCH_KIND_COUNT,
};

/* Targets of a step: a bit for each daemon, or for the daemons that watch the
 * platform for the others, which are known once they run. */
#define WATCH_WATCHER_1 (1U << 29)
#define WATCH_WATCHER_2 (1U << 30)
#define WATCH_WATCHERS (WATCH_WATCHER_1 | WATCH_WATCHER_2)

struct watch_step {
	enum watch_kind kind;
	uint32_t at_ms; /**< since the start of the plan */
	uint32_t targets; /**< KILL, START */
	uint32_t worker; /**< REMOVE, DRAIN, ADD */
	uint32_t service; /**< ADD */
};

struct watch_limits {
	uint32_t daemons;
	uint32_t length_ms; /**< all steps are earlier */
};

struct watch_plan {
	uint32_t count;
	struct watch_step steps[WATCH_STEPS_MAX]; /**< in the order of at_ms */
};

/** Makes the plan of a seed. Worker N is of service N % WATCH_SERVICES at
 * first. Each service has a worker at any time, and all daemons that are killed
 * are started again. */
void watch_plan_draw(struct watch_plan *p, const struct watch_limits *l,
		     uint64_t seed);
const char *watch_kind_name(enum watch_kind k);

/* ---- the run of a seed (watch.c) ---- */

/** Runs one seed and prints a row of results; false if a guarantee was broken.
 * `port` is the first of the fleet's ports. */
bool watch_run(const struct soak_options *o, uint64_t seed, uint16_t port);

#endif
