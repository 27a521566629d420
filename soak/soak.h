/**
 * @file
 * Randomized soak: real processes on loopback, faults from outside drawn by a
 * seed, and the promises checked by what callers and workers see.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "fault/fault.h"

#define SOAK_STEPS_MAX 64

/* ---- the plan (plan.c): drawn by a seed, no I/O ---- */

enum soak_kind {
	SOAK_KILL, /**< a daemon: SIGKILL, started again later */
	SOAK_STOP, /**< a daemon: SIGTERM, started again once it has ended */
	SOAK_PAUSE, /**< a daemon: SIGSTOP, SIGCONT */
	SOAK_LINK, /**< the path between daemons to one of them */
	SOAK_WORKER_FAULT,
	SOAK_WORKER_KILL,
	SOAK_CONF_CHANGE, /**< of the configuration */
	SOAK_KIND_COUNT,
};

/** A fault that begins and ends. */
struct soak_step {
	enum soak_kind kind;
	uint32_t target; /**< daemon or worker */
	uint32_t begin_ms; /**< since the start of the load */
	uint32_t end_ms;
	const char *begin; /**< LINK, WORKER_FAULT: orders of the stand-in */
	const char *end;
};

struct soak_limits {
	uint32_t daemons;
	uint32_t workers;
	uint32_t length_ms; /**< all steps have ended by then */
	bool tcp_relays; /**< LINK steps are possible */
};

struct soak_plan {
	uint32_t count;
	struct soak_step
		steps[SOAK_STEPS_MAX]; /**< in the order of beginning */
};

/** Steps come in series and overlap. One daemon and one worker at least are
 * left alone at any time, and nothing has two faults at once. */
void soak_plan_draw(struct soak_plan *p, const struct soak_limits *l,
		    uint64_t seed);
const char *soak_kind_name(enum soak_kind k);

/* ---- a run (run.c) ---- */

struct soak_options {
	const char *bin; /**< build folder of the programs */
	const char *daemon; /**< program of the daemons, or NULL */
	uint32_t daemons;
	uint32_t length_ms;
	bool keep; /**< the logs, also if all is well */
};

/** Plays one seed and prints a row; false if a promise was broken. */
bool soak_run(const struct soak_options *o, uint64_t seed, uint16_t port);

#endif
