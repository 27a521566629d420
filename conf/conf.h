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

/** Hash of the name of a data centre or region, as in `dc` and `region`. */
uint32_t conf_place_id(const char *name);
/** Records an error; `line` 0 stands for the whole file. */
void conf_error_add(struct conf_errors *errors, const char *file, int32_t line,
		    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

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

/* ---- INI text (ini.c) ---- */

/** Key of a section; an overlay's key replaces the base's. */
struct ini_key {
	struct ini_key *next;
	const char *name;
	const char *value;
	const char *file;
	int32_t line;
};

/** "[kind name]" with its keys. */
struct ini_section {
	struct ini_section *next;
	const char *kind;
	const char *name;
	const char *file;
	int32_t line;
	uint32_t layer; /**< of the text that last named it, from 1 */
	uint32_t first_layer;
	struct ini_key *keys;
};

/** Sections of one text, or of a text and the overlays read after it. */
struct ini_doc {
	apr_pool_t *pool;
	struct apr_hash_t *by_heading;
	struct ini_section *first;
	struct ini_section *last;
	uint32_t layers;
};

struct ini_doc *ini_doc_create(void);
void ini_doc_destroy(struct ini_doc *d);
/** Reads a text as the next layer; a name or key that one layer gives twice is
 * an error. */
void ini_doc_read(struct ini_doc *d, const char *file, const char *text,
		  struct conf_errors *errors);
/** NULL if absent. */
const struct ini_section *ini_doc_find(const struct ini_doc *d,
				       const char *kind, const char *name);
const struct ini_key *ini_section_key(const struct ini_section *s,
				      const char *name);

/* ---- parts of a snapshot (check.c), shared by reference count ---- */

#define CONF_SHARDS 64
#define CONF_PATH_MAX_BYTES 512
#define CONF_PATH_SEGMENTS_MAX 16

struct conf_place {
	char name[CONF_NAME_MAX_BYTES];
	uint32_t dc;
	uint32_t region;
};

/** Data centres, and what ranks have unless a service says otherwise. */
struct conf_fleet {
	int32_t references; /**< atomic */
	struct conf_rank ranks[RANK_COUNT];
	uint32_t place_count;
	struct conf_place places[];
};

/** A service with its workers, cells and routes. */
struct conf_part {
	int32_t references; /**< atomic */
	struct conf_service service;
	uint32_t route_count;
	struct conf_route *routes;
	struct conf_worker *workers; /**< as service.workers, while building */
	struct conf_cell *cells; /**< as service.cells */
};

/** The organisations whose id has one remainder modulo CONF_SHARDS. */
struct conf_shard {
	int32_t references; /**< atomic */
	uint32_t count;
	uint32_t mask;
	uint32_t *table; /**< index + 1 by id, linear probing */
	struct conf_organisation list[];
};

/** What a snapshot is assembled from; holds a reference to each. */
struct conf_parts {
	struct conf_fleet *fleet;
	uint32_t service_count;
	struct conf_part **services;
	struct conf_shard *shards[CONF_SHARDS]; /**< NULL: empty */
	uint64_t digest;
};

/** Checks a document and builds its parts. With `fleet` NULL the document's
 * own data centres and ranks are built, else they are refused. Services that
 * `operator_text` (NULL: none) names get its decisions. */
enum az_status conf_build(const struct ini_doc *d, struct conf_fleet *fleet,
			  uint64_t version, const char *operator_text,
			  struct conf_parts *out, struct conf_errors *errors);
void conf_parts_release(struct conf_parts *p);
void conf_part_release(struct conf_part *p);
void conf_fleet_release(struct conf_fleet *f);
void conf_shard_release(struct conf_shard *s);
uint32_t conf_shard_of(const char *organisation);

/** Checks the parts against each other; retains them. */
enum az_status conf_assemble(const struct conf_parts *p, struct conf **out,
			     struct conf_errors *errors);

/** The current snapshot of a daemon, swapped whole; any thread may read. */
struct conf_current;

struct conf_current *conf_current_create(apr_pool_t *pool);
/** The caller releases it with conf_release(). */
struct conf *conf_current_get(struct conf_current *cur);
/** Takes ownership of `c`. */
void conf_current_set(struct conf_current *cur, struct conf *c);

#endif
