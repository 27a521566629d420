/**
 * @file
 * Randomized soak test: real processes on loopback, random faults that a seed
 * determines, and checks of the guarantees against what callers were answered
 * and what workers ran.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "fault/fault.h"

#define SOAK_STEPS_MAX 64

/* ---- the plan of faults (plan.c): no I/O ---- */

enum soak_kind {
	SOAK_KILL, /**< a daemon: SIGKILL, started again later */
	SOAK_STOP, /**< a daemon: SIGTERM, started again once it has exited */
	SOAK_PAUSE, /**< a daemon: SIGSTOP, later SIGCONT */
	SOAK_LINK, /**< the connections of the other daemons to a daemon: bytes
		      held, dropped or delayed, or a reset */
	SOAK_WORKER_FAULT, /**< a fault mode of a worker */
	SOAK_WORKER_KILL, /**< a worker: SIGKILL, started again later */
	SOAK_CONF_CHANGE, /**< a new version of the configuration */
	SOAK_KIND_COUNT,
};

/** A fault that begins and ends. */
struct soak_step {
	enum soak_kind kind;
	uint32_t target; /**< index of the daemon or worker */
	uint32_t begin_ms; /**< since the start of the load */
	uint32_t end_ms;
	/** SOAK_LINK: query of the TCP relay's /set; SOAK_WORKER_FAULT: query
	 * of the worker's /fault; else NULL. */
	const char *begin_command;
	const char *end_command;
};

/** Limits of every plan, whatever its seed. */
struct soak_limits {
	uint32_t daemons;
	uint32_t workers;
	uint32_t length_ms; /**< all steps end before */
	bool tcp_relays; /**< there are TCP relays, so SOAK_LINK is possible */
};

struct soak_plan {
	uint32_t count;
	struct soak_step steps[SOAK_STEPS_MAX]; /**< in the order of begin_ms */
};

/** Makes the plan of a seed. A step is often followed by others of its kind on
 * the next targets, and steps overlap. At any time at least one daemon and one
 * worker have no fault, and none has two. */
void soak_plan_draw(struct soak_plan *p, const struct soak_limits *l,
		    uint64_t seed);
const char *soak_kind_name(enum soak_kind k);

/* ---- the run of a seed (run.c) ---- */

struct soak_options {
	const char *bin; /**< build folder of the programs */
	const char *daemon; /**< program of the daemons; NULL: bin/azhd */
	const char *other_daemon; /**< program of every second one in
				     watch_run(); NULL: the same */
	uint32_t daemons;
	uint32_t length_ms;
	bool keep; /**< keep the logs also of a seed that passes */
};

/** Runs one seed and prints a row of results; false if a guarantee was broken.
 * `port` is the first of the fleet's ports. */
bool soak_run(const struct soak_options *o, uint64_t seed, uint16_t port);

#endif
