/**
 * @file
 * The administration API of a daemon, on an address of its own: counters,
 * status, planned stop and log level, which need a bearer token; health and
 * metrics (counters and histograms), which do not.
 */
#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

#include "lib/az.h"
#include "conf/conf.h"

struct admin_member {
	const char *name;
	const char *state; /**< "alive", "suspect" */
	uint32_t dc;
	bool stopping;
};

/** A cell (the workers of one service in one region) whose home, the daemon
 * that schedules its requests, is this one. */
struct admin_cell {
	uint64_t id;
	const char *service;
	uint32_t queue_depth;
	uint32_t in_flight; /**< requests at workers */
};

/** A worker of such a cell that has said something of itself. */
struct admin_notice {
	const char *service;
	const char *worker;
	bool leaving;
	uint32_t pause_left_ms; /**< it wants no requests for this time */
};

/** Contents of the status page. The lists are allocated from the pool that
 * status() is given. */
struct admin_status {
	const char *name;
	uint64_t incarnation;
	bool stopping;
	uint32_t in_flight; /**< requests that callers wait for */
	uint32_t member_count;
	struct admin_member *members;
	uint32_t cell_count;
	struct admin_cell *cells;
	uint32_t notice_count;
	struct admin_notice *notices;
	bool has_conf;
	struct conf_duty_status
		conf; /**< valid if has_conf; freed by the API */
};

struct admin_source;

/** Functions that the daemon provides; called in the API's thread. */
struct admin_source_ops {
	/** Fills `out`, which is zero; allocates the lists from `pool`. */
	void (*status)(struct admin_source *s, apr_pool_t *pool,
		       struct admin_status *out);
	/** True until the planned stop begins. */
	bool (*healthy)(struct admin_source *s);
	/** Begins the planned stop (POST /drain); does not wait for it. */
	void (*drain)(struct admin_source *s);
};

struct admin_source {
	const struct admin_source_ops *ops;
};

struct admin_settings {
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port; /**< 0: chosen by the kernel */
	const char *token; /**< expected as a bearer token; must not be empty */
	struct admin_source *source;
};

struct admin;

/** Returns NULL if the token is empty. */
struct admin *admin_create(const struct admin_settings *s, apr_pool_t *pool);
enum az_status admin_start(struct admin *a);
/** Port in use; only after admin_start(). */
uint16_t admin_port(const struct admin *a);
void admin_stop(struct admin *a);

#endif
