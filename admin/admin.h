/**
 * @file
 * The administration API of a daemon: counters, status, planned stop and log
 * level, on an address of its own and behind a bearer token. Counters and
 * histograms are also at /metrics, without the token.
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

/** A cell whose home is this daemon. */
struct admin_cell {
	uint64_t id;
	const char *service;
	uint32_t queue_depth;
	uint32_t in_flight; /**< at workers */
};

/** Contents of the status page; lists live in the pool of the request. */
struct admin_status {
	const char *name;
	uint64_t incarnation;
	bool stopping;
	uint32_t in_flight;
	uint32_t member_count;
	struct admin_member *members;
	uint32_t cell_count;
	struct admin_cell *cells;
	bool has_conf;
	struct conf_duty_status conf; /**< freed by the API */
};

struct admin_source;

/** What the daemon program gives; called from the API's thread. */
struct admin_source_ops {
	void (*status)(struct admin_source *s, apr_pool_t *pool,
		       struct admin_status *out);
	/** True until the planned stop has begun. */
	bool (*healthy)(struct admin_source *s);
	/** Begins the planned stop and returns at once. */
	void (*drain)(struct admin_source *s);
};

struct admin_source {
	const struct admin_source_ops *ops;
};

struct admin_settings {
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port; /**< 0: chosen by the kernel */
	const char *token; /**< of the Authorization header; not empty */
	struct admin_source *source;
};

struct admin;

/** NULL if the token is empty. */
struct admin *admin_create(const struct admin_settings *s, apr_pool_t *pool);
enum az_status admin_start(struct admin *a);
/** Port in use, once started. */
uint16_t admin_port(const struct admin *a);
void admin_stop(struct admin *a);

#endif
