/**
 * @file
 * The fleet's configuration: INI text to a checked, immutable snapshot, and the
 * duty that keeps the snapshot current from the platform's store and from
 * peers.
 */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "lib/az.h"

#define CELL_WORKERS_MAX 16
#define CONF_NAME_MAX_BYTES 64

/** What an operator said about a worker; kept in the store. */
enum worker_admin {
	WORKER_IN_SERVICE,
	WORKER_DRAINING, /**< leaving: no new work */
	WORKER_EJECTED, /**< out until restored */
};

/** One process of an upstream. */
struct conf_worker {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t id; /**< hash of service and worker name */
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port;
	uint8_t slots; /**< requests that it serves at once */
	uint8_t bit; /**< position in its cell's masks */
	uint32_t dc; /**< hash of the data centre's name */
	enum worker_admin admin;
};

/** Workers of one service in one data centre, at most CELL_WORKERS_MAX. */
struct conf_cell {
	uint64_t id; /**< hash of service, data centre and part number */
	uint32_t dc;
	uint32_t region;
	uint8_t worker_count;
	const struct conf_worker *workers[CELL_WORKERS_MAX];
	const struct conf_service *service;
};

struct conf_rank {
	uint8_t share_percent; /**< kept for this rank when others flood */
	uint32_t deadline_ms; /**< if the caller names none */
	uint32_t queue_limit; /**< requests that wait in one cell */
};

/** A service and its upstream pool. */
struct conf_service {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t id;
	uint8_t floor_percent; /**< of the pool as configured */
	bool bare; /**< non-idempotent requests need no ticket */
	bool shed_is_not_run; /**< a 503 proves that the worker did not run it
			       */
	bool hedge; /**< idempotent reads may be sent twice */
	uint32_t connect_timeout_ms;
	uint32_t connections; /**< kept to the whole pool */
	uint32_t probe_interval_ms;
	uint32_t cold_start_ms; /**< expected length of a worker's cold start */
	uint8_t retry_percent; /**< retry budget as a share of requests */
	char health_path[CONF_NAME_MAX_BYTES]; /**< "" if it has none */
	struct conf_rank ranks[RANK_COUNT];
	uint32_t worker_count;
	const struct conf_worker *workers;
	uint32_t cell_count;
	const struct conf_cell *cells;
	uint64_t version; /**< of the store object it came from */
};

struct conf_route {
	char name[CONF_NAME_MAX_BYTES];
	char *path; /**< prefix that ends at a '/' boundary */
	char methods[64]; /**< comma separated */
	enum rank rank;
	bool idempotent;
	uint32_t deadline_ms; /**< 0: the rank's */
	const struct conf_service *service;
};

struct conf_organisation {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t id; /**< hash_string(name) */
	uint64_t token_hash; /**< hash_string() of its bearer token; 0: none */
	uint32_t requests_per_s; /**< over the whole fleet; 0: no limit */
	uint32_t burst;
};

/** Immutable snapshot; unchanged services and shards are shared between
 * snapshots, so that a change costs its own object only. */
struct conf;

/** One error found in a file. */
struct conf_error {
	char file[128];
	int32_t line;
	char reason[192];
};

#define CONF_ERRORS_MAX 64

struct conf_errors {
	uint32_t count; /**< all of them, also those beyond the array */
	struct conf_error list[CONF_ERRORS_MAX];
};

/** Parses base text, then the site's overlay (NULL: none), which may set or
 * replace single keys of any section. All errors are collected. */
enum az_status conf_parse(const char *base_name, const char *base,
			  const char *overlay_name, const char *overlay,
			  struct conf **out, struct conf_errors *errors);
enum az_status conf_load_files(const char *base_path, const char *overlay_path,
			       struct conf **out, struct conf_errors *errors);

/** An empty snapshot with no services. */
struct conf *conf_empty(void);
struct conf *conf_retain(struct conf *c);
void conf_release(struct conf *c);

/** Longest matching path prefix; sets ERR_UNKNOWN_ROUTE or
 * ERR_METHOD_NOT_ALLOWED in `why` and returns NULL if none serves. */
const struct conf_route *conf_find_route(const struct conf *c,
					 const char *method, const char *path,
					 enum error_kind *why);
const struct conf_service *conf_find_service(const struct conf *c,
					     const char *name);
const struct conf_organisation *conf_find_organisation(const struct conf *c,
						       const char *name);
/** NULL if no service has that cell. */
const struct conf_cell *conf_find_cell(const struct conf *c, uint64_t id);
uint32_t conf_service_count(const struct conf *c);
const struct conf_service *conf_service_at(const struct conf *c, uint32_t i);
/** Equal digests mean equal object versions. */
uint64_t conf_digest(const struct conf *c);

/** The current snapshot of a daemon, swapped whole; any thread may read. */
struct conf_current;

struct conf_current *conf_current_create(apr_pool_t *pool);
/** The caller releases it with conf_release(). */
struct conf *conf_current_get(struct conf_current *cur);
/** Takes ownership of `c`. */
void conf_current_set(struct conf_current *cur, struct conf *c);

#endif
