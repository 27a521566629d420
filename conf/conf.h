/**
 * @file
 * The fleet's configuration. INI text is parsed and checked into an immutable
 * snapshot; a duty (a thread with its own state) keeps the snapshot up to date
 * from the store and from other daemons.
 *
 * In this folder the store is the object API at the setting `store`, and the
 * platform is what serves it and the list of VMs. The store that platform/
 * reads is another server, at the setting `platform`.
 */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "lib/az.h"

#define CELL_WORKERS_MAX 16
#define CONF_NAME_MAX_BYTES 64

/** State of a worker. It is set by an operator's decision, which is kept in the
 * store; a worker that is leaving according to the platform is draining too. */
enum worker_admin {
	WORKER_IN_SERVICE,
	WORKER_DRAINING, /**< gets no new requests */
	WORKER_EJECTED, /**< not used until it is restored */
};

/** One process that serves an upstream. */
struct conf_worker {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t id; /**< hash of service, worker name and, if given, `boot` */
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port;
	uint8_t slots; /**< requests that it runs at once */
	uint8_t cell_bit; /**< position in the bit masks of its cell */
	uint32_t dc; /**< hash of the data centre's name */
	uint32_t region; /**< hash of the region's name */
	uint64_t boot; /**< identifies a start of the process; 0: unknown */
	/** Remaining time of its cold start when the daemon first sees it. */
	uint32_t cold_ms;
	enum worker_admin admin;
};

/** A group of at most CELL_WORKERS_MAX workers of one service in one data
 * centre. */
struct conf_cell {
	/** Hash of service, data centre and the cell's number there. */
	uint64_t id;
	uint32_t dc;
	uint32_t region;
	uint8_t worker_count;
	const struct conf_worker *workers[CELL_WORKERS_MAX];
	const struct conf_service *service;
};

/** Settings of a service for one rank, the priority class of a request. */
struct conf_rank {
	/** Share of the dispatched requests while requests of all ranks wait.
	 */
	uint8_t share_percent;
	uint32_t deadline_ms; /**< if the caller gives none */
	uint32_t queue_limit; /**< requests that may wait in one cell */
};

/** A service and its upstream pool. */
struct conf_service {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t id;
	/** Share of the configured workers that must stay in use. */
	uint8_t floor_percent;
	/** Non-idempotent requests need no ticket (ticket/ticket.h). */
	bool bare;
	bool shed_is_not_run; /**< a 503 proves that it was not run */
	bool hedge; /**< idempotent reads may be sent twice */
	uint32_t connect_timeout_ms;
	/** Idle connections that are kept open, to all workers together. */
	uint32_t connections;
	uint32_t probe_interval_ms;
	uint32_t cold_start_ms; /**< expected length of a worker's cold start */
	uint8_t retry_percent; /**< retry budget, as a percentage of requests */
	char health_path[CONF_NAME_MAX_BYTES]; /**< "" if it has none */
	struct conf_rank ranks[RANK_COUNT];
	uint32_t worker_count;
	const struct conf_worker *workers;
	uint32_t cell_count;
	const struct conf_cell *cells;
	uint64_t version; /**< of the store object it was read from */
};

#define CONF_TRAFFIC_SHARES_MAX 8

/** A service that receives a share of a route's requests. */
struct conf_traffic_share {
	uint64_t service_id;
	uint32_t weight;
};

/** Requests that match are sent to a service. */
struct conf_route {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t host; /**< conf_host_id() of the host; 0: any */
	/** Matches itself and, after a '/', longer paths; without a '/' at its
	 * end, except for "/". */
	char *path;
	char methods[64]; /**< comma separated, or "*" */
	enum rank rank;
	bool idempotent;
	bool below; /**< matches only paths below `path`, not `path` itself */
	uint8_t attempts; /**< workers that may be tried; 0: the default */
	uint8_t split_count; /**< 0: all requests go to `service` */
	uint32_t deadline_ms; /**< 0: that of the rank */
	uint32_t timeout_ms; /**< upper limit of the deadline; 0: none */
	uint32_t target_ms; /**< latency target; 0: none */
	struct conf_traffic_share split[CONF_TRAFFIC_SHARES_MAX];
	const struct conf_service *service;
};

/** Limits on the size and duration of what callers send. */
struct conf_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_timeout_ms; /**< from the first byte of the headers */
	uint32_t idle_timeout_ms; /**< of a connection without a request */
};

/** A customer. */
struct conf_organisation {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t id; /**< hash_string(name) */
	uint64_t token_hash; /**< hash_secret() of its bearer token; 0: none */
	uint32_t requests_per_s; /**< for the whole fleet; 0: no limit */
	uint32_t burst; /**< requests that may arrive at once */
};

/** An immutable snapshot of the configuration. Snapshots share the components
 * (see struct conf_components) that did not change, so that a change only
 * rebuilds the component that it touches. */
struct conf;

/** One error found in a file or object. */
struct conf_error {
	/** Name of the file, key of the object, or name of the unit or service
	 * that has the error. */
	char file[128];
	int32_t line; /**< 0: the whole file or object */
	char reason[192];
};

#define CONF_ERRORS_MAX 64

struct conf_errors {
	uint32_t count; /**< may exceed CONF_ERRORS_MAX; the rest is dropped */
	struct conf_error list[CONF_ERRORS_MAX];
};

/** Hash of the name of a data centre or region, as used in fields `dc` and
 * `region`. */
uint32_t conf_place_id(const char *name);
/** Records an error; `line` 0 means the whole file. */
void conf_error_add(struct conf_errors *errors, const char *file, int32_t line,
		    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/** Parses the base text, then the overlay of the site (NULL: none), which may
 * add or replace single keys of any section. Collects all errors. */
enum az_status conf_parse(const char *base_name, const char *base,
			  const char *overlay_name, const char *overlay,
			  struct conf **out, struct conf_errors *errors);
enum az_status conf_load_files(const char *base_path, const char *overlay_path,
			       struct conf **out, struct conf_errors *errors);

/** What a route's path must be if `path` is not; NULL if it is valid. */
const char *conf_path_requirement(const char *path);
/** An empty snapshot with no services. */
struct conf *conf_empty(void);
/** Adds a reference, which the caller gives back with conf_release(). */
struct conf *conf_retain(struct conf *c);
void conf_release(struct conf *c);

/** Finds the route with the longest path prefix that matches, among those of
 * the host and those of any host. NULL if there is none; then *error is
 * ERR_UNKNOWN_ROUTE or ERR_METHOD_NOT_ALLOWED. `host` may be NULL. */
const struct conf_route *conf_find_route(const struct conf *c, const char *host,
					 const char *method, const char *path,
					 enum error_kind *error);
/** Hash of a host name without its port, in lower case; 0 for none. */
uint64_t conf_host_id(const char *host);
const struct conf_service *conf_find_service_id(const struct conf *c,
						uint64_t id);
/** The service that a request of the route goes to. If the route's traffic is
 * split, `random` chooses one of its services by weight. NULL if that service
 * is not configured. */
const struct conf_service *conf_route_service(const struct conf *c,
					      const struct conf_route *r,
					      uint64_t random);
/** The limits of the snapshot; the defaults if it has none or is NULL. */
const struct conf_limits *conf_limits(const struct conf *c);
const struct conf_service *conf_find_service(const struct conf *c,
					     const char *name);
const struct conf_organisation *conf_find_organisation(const struct conf *c,
						       const char *name);
/** NULL if no service has that cell. */
const struct conf_cell *conf_find_cell(const struct conf *c, uint64_t id);
uint32_t conf_service_count(const struct conf *c);
const struct conf_service *conf_service_at(const struct conf *c, uint32_t i);
/** Digest of the versions of the objects that the snapshot was built from;
 * equal digests mean equal versions. A snapshot of conf_parse() has a hash of
 * its texts instead. A snapshot of the objects in force, which is built if the
 * newest ones fail their checks, has a digest that differs from theirs. */
uint64_t conf_digest(const struct conf *c);

/* ---- INI text (ini.c) ---- */

/** A key of a section; that of an overlay replaces that of the base. */
struct ini_key {
	struct ini_key *next;
	const char *name;
	const char *value;
	const char *file;
	int32_t line;
};

/** A section "[kind name]" with its keys. */
struct ini_section {
	struct ini_section *next;
	const char *kind;
	const char *name;
	const char *file;
	int32_t line;
	uint32_t layer; /**< last text that has this section; the first is 1 */
	uint32_t first_layer; /**< first text that has this section */
	struct ini_key *keys;
};

/** Sections of a base text and of the overlays read after it. */
struct ini_doc {
	apr_pool_t *pool;
	struct apr_hash_t *by_heading; /**< "kind name" to ini_section */
	struct ini_section *first;
	struct ini_section *last;
	uint32_t layers;
};

struct ini_doc *ini_doc_create(void);
void ini_doc_destroy(struct ini_doc *d);
/** Reads a text as the next layer. A section or key that occurs twice in one
 * layer is an error. */
void ini_doc_read(struct ini_doc *d, const char *file, const char *text,
		  struct conf_errors *errors);
/** NULL if absent. */
const struct ini_section *ini_doc_find(const struct ini_doc *d,
				       const char *kind, const char *name);
const struct ini_key *ini_section_key(const struct ini_section *s,
				      const char *name);

/* ---- components of a snapshot, reference counted (check.c) ---- */

#define CONF_SHARDS 64
#define CONF_PATH_MAX_BYTES 512
#define CONF_PATH_SEGMENTS_MAX 16
/* Bounds of settings that other sources of configuration keep to. */
#define CONF_CONNECTIONS_MAX 1000000
#define CONF_HEADER_BYTES_MIN 256
#define CONF_HEADER_BYTES_MAX (1U << 20)

/** A data centre and its region. */
struct conf_data_centre {
	char name[CONF_NAME_MAX_BYTES];
	uint32_t dc; /**< conf_place_id() of its name */
	uint32_t region; /**< conf_place_id() of the region's name */
};

/** Data centres, limits, and the default settings of ranks for all services. */
struct conf_fleet {
	int32_t references; /**< atomic */
	struct conf_rank ranks[RANK_COUNT];
	struct conf_limits limits;
	uint32_t dc_list_count;
	struct conf_data_centre dc_list[];
};

/** A service with its workers, cells and routes. */
struct conf_service_bundle {
	int32_t references; /**< atomic */
	struct conf_service service;
	uint32_t route_count;
	struct conf_route *routes;
	struct conf_worker *workers; /**< same as service.workers, writable */
	struct conf_cell *cells; /**< same as service.cells, writable */
};

/** All organisations whose id has the same remainder modulo CONF_SHARDS. */
struct conf_shard {
	int32_t references; /**< atomic */
	uint32_t count;
	uint32_t mask; /**< size of `table`, a power of two, less 1 */
	/** Hash table by id with linear probing: index in `list` + 1; 0: empty.
	 */
	uint32_t *table;
	struct conf_organisation list[];
};

/** The components of a snapshot: the fleet, each service with its routes, and
 * each shard of organisations. Holds a reference to each. */
struct conf_components {
	struct conf_fleet *fleet;
	uint32_t service_count;
	struct conf_service_bundle **services;
	struct conf_shard *shards[CONF_SHARDS]; /**< NULL: empty */
	uint64_t digest;
};

/** Checks a document and builds its components. If `fleet` is NULL, the data
 * centres, ranks and limits are built from the document; else such sections are
 * errors and `fleet` is used. `operator_text` (NULL: none) is the text of an
 * object of kind OBJECT_OPERATOR; its worker states are applied to the
 * services.
 */
enum az_status conf_build(const struct ini_doc *d, struct conf_fleet *fleet,
			  uint64_t version, const char *operator_text,
			  struct conf_components *out,
			  struct conf_errors *errors);
void conf_components_release(struct conf_components *p);
void conf_service_bundle_release(struct conf_service_bundle *p);
void conf_fleet_release(struct conf_fleet *f);
void conf_shard_release(struct conf_shard *s);
uint32_t conf_shard_of(const char *organisation);

/** Checks the components against each other and makes a snapshot that retains
 * them. */
enum az_status conf_assemble(const struct conf_components *p, struct conf **out,
			     struct conf_errors *errors);

/** Holds the current snapshot of a daemon. Any thread may get or replace it. */
struct conf_current;

struct conf_current *conf_current_create(apr_pool_t *pool);
/** Adds a reference, which the caller gives back with conf_release(). */
struct conf *conf_current_get(struct conf_current *cur);
/** Replaces the current snapshot; takes over the caller's reference to `c`. */
void conf_current_set(struct conf_current *cur, struct conf *c);

/* ---- objects of the store (object.c) ---- */

#define CONF_PREFIX "azurehold/"
#define CONF_KEY_MAX_BYTES 192
#define CONF_OBJECT_MAX_BYTES (1U << 20)
/** Key of the object that lists the VMs which are leaving, taken from the
 * platform's list of VMs. Daemons exchange it; it is not in the store. */
#define CONF_LEAVING_KEY "azurehold/platform/leaving"
/** Beginning of its first line; the revision of the platform's list follows. */
#define CONF_LEAVING_HEADER "; revision "

enum conf_object_kind {
	OBJECT_OTHER, /**< not configuration */
	OBJECT_BASE,
	OBJECT_SITE, /**< overlay of one site */
	OBJECT_OPERATOR, /**< operator's decisions on workers of a service */
	OBJECT_PLATFORM, /**< CONF_LEAVING_KEY */
};

/** A parsed key. */
struct conf_key {
	enum conf_object_kind kind;
	char site[CONF_NAME_MAX_BYTES]; /**< if OBJECT_SITE */
	/** The unit that it belongs to: "fleet", "service/NAME" or "org/NN",
	 * where NN is the number of a shard. The objects of a unit together
	 * configure one component of a snapshot. */
	char unit[CONF_NAME_MAX_BYTES + 16];
};

struct conf_key conf_key_parse(const char *key);

/** Number of write ids that an object's header line keeps. */
#define CONF_HEADER_WRITES_MAX 8
/** Version of a text without a header line, which was written by hand. Versions
 * that azhctl writes are clock times or above, and so always higher. */
#define CONF_VERSION_UNMARKED 1
/** Above every clock time in milliseconds since 1970; a header line with a
 * higher version is malformed. */
#define CONF_VERSION_MAX (1ULL << 53)
#define CONF_HEADER_MAX_BYTES 224

/** Header line, the first line of an object:
 * "; azurehold version=V writes=ID,ID,...", with " deleted" at the end if the
 * object is deleted. All fields are 0 for an object that does not exist. */
struct conf_header {
	uint64_t version; /**< compared by daemons; not the store's revision */
	bool deleted;
	uint32_t write_count;
	/** Ids of the latest writes, newest first. 0 is a write by hand, that
	 * is, a text without a header line. */
	uint64_t writes[CONF_HEADER_WRITES_MAX];
};

void conf_header_write(struct buf *out, const struct conf_header *h);
/** False if the text has no well-formed header line; then *out is not deleted,
 * has version CONF_VERSION_UNMARKED and the single write id 0. */
bool conf_header_parse(const char *text, struct conf_header *out);
/** Header line of a write that replaces an object with header line `base`. */
struct conf_header conf_header_next(const struct conf_header *base,
				    uint64_t write_id, uint64_t version,
				    bool deleted);
/** Version of a new write: above `highest` and not below the clock, so that a
 * version which a restored store has lost is not used a second time. */
uint64_t conf_next_version(uint64_t highest, uint64_t wall_ms);
/** Wall clock in milliseconds since 1970. */
uint64_t conf_wall_ms(void);

/** Outcome of a write whose reply was lost or not clear, as found by reading
 * the object again. */
enum conf_write_outcome {
	WRITE_ACCEPTED,
	WRITE_REFUSED, /**< it did not and will not take effect */
	/** The object is unchanged; the request may still be in flight. */
	WRITE_UNCHANGED,
	WRITE_UNKNOWN, /**< cannot be determined */
};

/** Determines the outcome of a write. `base` and `if_revision` are the header
 * line and revision that the write was to replace; `now` (all zero if the
 * object does not exist) and `revision` are those in the store now.
 * WRITE_REFUSED is only certain if the writes of `now` reach back to those of
 * `base`; otherwise later writes may have pushed the id of this one out of the
 * list. */
enum conf_write_outcome conf_determine_write_outcome(
	const struct conf_header *base, uint64_t if_revision,
	const struct conf_header *now, uint64_t revision, uint64_t write_id);

/** One of the store objects that a configuration file is split into. */
struct conf_split_object {
	char key[CONF_KEY_MAX_BYTES];
	struct buf text; /**< without a header line; zero-terminated */
};

/** Splits a base file (`site` NULL) or the overlay of a site into objects,
 * sorted by key. Tokens are replaced by their hashes. The document has been
 * checked. For an overlay the document holds base and overlay, and only the
 * keys of the overlay are written. */
enum az_status conf_split(const struct ini_doc *d, const char *site,
			  struct conf_split_object **out, uint32_t *count);
void conf_split_free(struct conf_split_object *list, uint32_t count);

/* ---- table of object versions: state without threads or I/O (table.c) ---- */

/** The text of an object. */
struct conf_text {
	int32_t references;
	uint32_t len_bytes;
	char data[]; /**< zero-terminated */
};

/** What a daemon holds of one object. */
struct conf_object {
	const char *key;
	uint64_t version; /**< newest one held; 0: none held yet */
	bool deleted;
	struct conf_text *text; /**< NULL if deleted */
	uint64_t in_force_version; /**< 0: none; `version` if it was accepted */
	struct conf_text *in_force_text;
	uint64_t requested_version; /**< requested from a peer */
	int64_t requested_until_us; /**< after this it may be requested again */
	uint64_t store_version; /**< last one read from the store; 0: none */
	struct conf_unit *unit; /**< NULL if this site does not use it */
};

struct conf_table;

struct conf_table *conf_table_create(const char *site);
void conf_table_destroy(struct conf_table *t);
uint32_t conf_table_size(const struct conf_table *t);
const struct conf_object *conf_table_at(const struct conf_table *t, uint32_t i);
const struct conf_object *conf_table_find(const struct conf_table *t,
					  const char *key);
/** Stores the value of an object, that is, its text, if its version is higher
 * than the one held; `text` NULL is a deletion. False, and nothing changes, if
 * the version is not higher, the key is not one of the configuration, or the
 * value is too long. */
bool conf_table_put(struct conf_table *t, const char *key, uint64_t version,
		    const char *text, uint32_t len_bytes);
/** Stores a value that is in force at another daemon. Ignored once this daemon
 * has built a snapshot. */
void conf_table_put_in_force(struct conf_table *t, const char *key,
			     uint64_t version, const char *text,
			     uint32_t len_bytes);
/** True if `version` is newer than the one held and has not been requested yet;
 * then it counts as requested until `until_us`. */
bool conf_table_request(struct conf_table *t, const char *key, uint64_t version,
			int64_t now_us, int64_t until_us);
/** Records the version that the store has of an object. */
void conf_table_set_store_version(struct conf_table *t, const char *key,
				  uint64_t version);
/** Number of objects of which the store, when they were last read from it, had
 * an older version than this table. Objects that were never read from the store
 * do not count. */
uint32_t conf_table_count_older_in_store(const struct conf_table *t);
/** Contribution of one object to a digest, which is the sum of them. */
uint64_t conf_version_digest(const char *key, uint64_t version);
/** Digest of all keys and versions held; equal digests mean equal versions. */
uint64_t conf_table_digest(const struct conf_table *t);
/** Same without CONF_LEAVING_KEY, which is not in the store. This is the digest
 * of a snapshot. */
uint64_t conf_table_store_digest(const struct conf_table *t);
/** Keys are divided into buckets by hash, so that two daemons need only list
 * the objects of the buckets whose digests differ. */
#define CONF_BUCKETS 64
uint32_t conf_bucket(const char *key);
/** Digest of the objects of a bucket. */
uint64_t conf_table_bucket(const struct conf_table *t, uint32_t bucket);
/** Builds a snapshot of the newest objects. If they do not pass the checks,
 * returns an error with the reasons in `errors`, and builds a snapshot of the
 * objects in force with the newest operator decisions instead. *out is NULL if
 * there is no change to put in force. */
enum az_status conf_table_build(struct conf_table *t, struct conf **out,
				struct conf_errors *errors);

/* ---- choice of watchers and peers: functions without I/O (forward.c) ---- */

struct member;
struct member_view;

/** Number of daemons of each data centre that watch the store. */
#define CONF_WATCHERS 2
/** Children of each daemon in a tree that distributes changes. */
#define CONF_TREE_CHILDREN 8
#define CONF_FORWARD_TARGETS_MAX (CONF_WATCHERS * (CONF_TREE_CHILDREN + 1))
/** Objects that one CONF_GET requests. */
#define CONF_GET_MAX_OBJECTS 64

/** True if `self` is one of the CONF_WATCHERS of its data centre, which are
 * chosen by rendezvous hashing among the members that are not stopping. */
bool conf_is_watcher(const struct member_view *v, uint64_t self, uint32_t dc);
/** Members to which `self` forwards a change that it has received; returns
 * their number. There is one tree over the members of the data centre for each
 * watcher, which is its root; `self` forwards to its children in each tree.
 * With `from_outside` the change was not received from a member of the data
 * centre; then `self` forwards it to the watchers too. */
uint32_t
conf_forward_targets(const struct member_view *v, uint64_t self, uint32_t dc,
		     bool from_outside,
		     const struct member *out[CONF_FORWARD_TARGETS_MAX]);
/** A random member of this (`other_dc` false) or of another data centre,
 * without `self`; NULL if there is none. */
const struct member *conf_pick_member(const struct member_view *v,
				      uint64_t self, uint32_t dc, bool other_dc,
				      uint64_t random);
/** Back-off after so many consecutive failures of the store, 1 or more: doubles
 * from 200 ms to 10 s, then a random part of up to one half is taken off. */
int64_t conf_backoff_us(uint32_t failures, uint64_t random);

#define CONF_STALE_DIGESTS 16

/** State from which a daemon decides when to request a list of a peer's
 * objects.
 */
struct conf_pull {
	int64_t started_us;
	bool loaded; /**< has the objects of a peer or of the store */
	int64_t store_ok_us; /**< when the store last answered this watcher */
	int64_t next_start_list_us;
	int64_t next_remote_list_us;
	/** When the CONF_LIST in flight times out; 0: none is in flight. */
	int64_t list_until_us;
	/** Latest digests of peers that have no newer objects, as a ring; 0:
	 * empty. */
	uint64_t stale_digests[CONF_STALE_DIGESTS];
	uint32_t stale_next; /**< modulo CONF_STALE_DIGESTS, the next entry */
};

/** True if a digest received from a peer calls for a CONF_LIST to it now. */
bool conf_pull_wants_list(const struct conf_pull *p, uint64_t own,
			  uint64_t digest, int64_t now_us);
/** Records that a peer with that digest has no newer objects. */
void conf_pull_add_stale_digest(struct conf_pull *p, uint64_t digest);
/** To be called when this daemon's own objects change. */
void conf_pull_clear_stale_digests(struct conf_pull *p);
/** True if a daemon that has just started should request a peer's list now. */
bool conf_pull_start_due(struct conf_pull *p, int64_t now_us);
/** True if a watcher that cannot reach the store should request a list from
 * another data centre now. */
bool conf_pull_remote_due(struct conf_pull *p, bool watcher, int64_t now_us);

/* ---- messages between daemons (wire.c) ----
 *
 * CONF_LIST offers objects to a peer, or queries which objects the peer has.
 * CONF_GET requests the values of objects. */

/** The record of one object in a CONF_LIST, a CONF_GET, or the answer to one.
 */
struct conf_record {
	char key[CONF_KEY_MAX_BYTES];
	uint64_t version;
	bool deleted;
	/** In force at the sender, which also has a newer version. */
	bool in_force;
	const char *text; /**< NULL except in the answer to a CONF_GET */
	uint32_t len_bytes;
};

/** Reads the record at *at and advances *at past it; false at the end or if the
 * record is malformed. */
bool conf_record_read(const char **at, const char *end, struct conf_record *r);
void conf_record_write(struct buf *out, const struct conf_record *r);

/** Beginning of a CONF_LIST, which is either an offer, followed by records of
 * objects that the sender has, or a query for the receiver's records. */
struct conf_list_head {
	bool is_offer;
	uint64_t from; /**< of an offer: id of the member that has them */
	uint64_t buckets[CONF_BUCKETS]; /**< of a query: the sender's digests */
};

void conf_offer_write(struct buf *out, uint64_t from);
void conf_buckets_write(struct buf *out, const struct conf_table *t);
enum az_status conf_list_read(const char **at, const char *end,
			      struct conf_list_head *out);
/** Answer to a query: records of the objects in buckets that differ. */
void conf_list_answer(struct buf *out, const struct conf_table *t,
		      const uint64_t buckets[CONF_BUCKETS]);
/** Answer to a CONF_GET: values of the objects whose records are between `at`
 * and `end`. Stops after the one with which the answer reaches `max_bytes`. */
void conf_get_answer(struct buf *out, const struct conf_table *t,
		     const char *at, const char *end, uint32_t max_bytes);

/* ---- blocking client of the store (store.c) ---- */

struct store;

/** An object of the store. */
struct store_object {
	char key[CONF_KEY_MAX_BYTES];
	/** The store's Object-Version, or "version" in its lists; for If-Match.
	 */
	uint64_t revision;
	uint64_t version; /**< from the header line; 0 in lists */
	bool deleted;
	struct buf value; /**< zero-terminated; empty in lists */
};

/** Objects, and the revision of the store at which they were listed. */
struct store_list {
	uint64_t revision;
	uint32_t count;
	struct store_object *objects;
};

/** A VM in the platform's list. */
struct store_vm {
	char name[CONF_NAME_MAX_BYTES];
	uint32_t ip; /**< IPv4, host byte order */
	bool leaving;
};

struct store_vms {
	uint64_t revision;
	uint32_t count;
	struct store_vm *list;
};

/** `url` has no '/' at its end. NULL if libcurl fails. */
struct store *store_create(const char *url);
void store_destroy(struct store *s);
/** Makes the current call and all later ones return AZ_AGAIN. Any thread. */
void store_cancel_all(struct store *s);
enum az_status store_get(struct store *s, const char *key,
			 struct store_object *out);
/** Writes if the object has revision `if_revision`, or if it does not exist and
 * `if_revision` is 0. AZ_CONFLICT: the condition does not hold, possibly
 * because an earlier copy of the same write has taken effect. AZ_DENIED: this
 * request was refused. AZ_IO or AZ_TIMEOUT: it may have been written. */
enum az_status store_put(struct store *s, const char *key, uint64_t if_revision,
			 const void *value, uint32_t len_bytes,
			 uint64_t *revision);
enum az_status store_list(struct store *s, const char *prefix,
			  struct store_list *out);
/** Waits for changes after revision `after`; an empty list if there are none
 * within `wait_ms`. */
enum az_status store_watch(struct store *s, const char *prefix, uint64_t after,
			   uint32_t wait_ms, struct store_list *out);
/** AZ_AGAIN if the list still has revision `known_revision`. */
enum az_status store_vms(struct store *s, uint64_t known_revision,
			 struct store_vms *out);
void store_object_free(struct store_object *o);
void store_list_free(struct store_list *l);
void store_vms_free(struct store_vms *v);

/** A conditional write and its outcome. */
struct store_write {
	const char *key;
	uint64_t if_revision; /**< 0: only if it does not exist */
	struct conf_header base; /**< of the object at that revision */
	uint64_t write_id;
	uint64_t version;
	bool deleted;
	const char *text; /**< without a header line */
	/** Out, on AZ_CONFLICT: id of the write that came first. */
	uint64_t other_id;
	bool outcome_unknown; /**< out: it may have taken effect */
};

/** Writes with retries. After a lost reply or a conflict, reads the object to
 * find out whether the write took effect. AZ_CONFLICT: not written. After other
 * failures it was not written unless `w->outcome_unknown` is set. */
enum az_status store_update(struct store *s, struct store_write *w);

/* ---- plans of changes to the store, for azhctl (apply.c) ---- */

/** One conditional write of a plan. */
struct conf_planned_write {
	char key[CONF_KEY_MAX_BYTES];
	uint64_t if_revision; /**< 0: only if it does not exist */
	struct conf_header base; /**< of the object at that revision */
	/** Highest version in the store and at daemons; the write gets a higher
	 * one. */
	uint64_t highest_known_version;
	bool deleted;
	uint32_t phase; /**< order of the writes: enum phase in apply.c */
	const char *text; /**< without a header line; "" if deleted */
};

/** Reads all objects of the configuration with their values. Those with a
 * " deleted" header line are included, with `deleted` set. */
enum az_status conf_store_read(struct store *s, struct store_list *out);
/** Digest that daemons report when these objects are in force. */
uint64_t conf_store_digest(const struct store_list *l);
/** Plans the writes that change the objects `stored` in the store under
 * `prefix` to those in `want`, in the order in which they are to be made;
 * returns their number. The caller frees the array. Texts are borrowed from
 * `want`. `known` (NULL: none) lists the versions that daemons hold. If the
 * store was restored from a backup and has an older version, the object is
 * written again even if its text is as wanted; an object that the store has
 * lost and that is not wanted is marked deleted. */
uint32_t conf_plan_writes(const struct store_list *stored,
			  const struct store_list *known, const char *prefix,
			  const struct conf_split_object *want,
			  uint32_t want_count, struct conf_planned_write **out);
/** Highest version in a list; 0 if it is empty. */
uint64_t conf_highest_version(const struct store_list *l);
/** Performs a planned write; `out` has its version and outcome. */
enum az_status conf_perform_write(struct store *s,
				  const struct conf_planned_write *w,
				  uint64_t write_id, struct store_write *out);
/** Checks the configuration of each site as it would be after the writes. */
enum az_status conf_check_sites(const struct store_list *stored,
				const struct conf_planned_write *writes,
				uint32_t count, struct conf_errors *errors);
/** Copies the text of an operator object (NULL: none) to `out`, with the state
 * of one worker changed. */
void conf_set_worker_admin(const char *text, const char *worker,
			   enum worker_admin admin, struct buf *out);
/** The state of a worker in the text of an operator object (NULL: none). */
enum worker_admin conf_get_worker_admin(const char *text, const char *worker);

/* ---- the thread that watches the store for changes (watch.c) ---- */

#define CONF_WATCH_WAIT_MS 2000

struct conf_watch_sink;

/** Receives what the watch finds. Called in the thread of the watch. */
struct conf_watch_sink_ops {
	/** Sets the version of each object in the list to the one that the
	 * daemon holds; 0: none. */
	void (*fill_versions)(struct conf_watch_sink *k, struct store_list *l);
	/** Objects with values; takes ownership of the contents of `l`. */
	void (*on_objects)(struct conf_watch_sink *k, struct store_list *l);
	/** The platform's list of VMs; takes ownership of the contents of `v`.
	 * False if it was ignored because its revision is lower than the one
	 * held. `restored`: accept the list even then, as the platform was
	 * restored from a backup. */
	bool (*on_vms)(struct conf_watch_sink *k, struct store_vms *v,
		       bool restored);
	/** The store has answered (`ok`) or failed. */
	void (*on_state)(struct conf_watch_sink *k, bool ok);
};

struct conf_watch_sink {
	const struct conf_watch_sink_ops *ops;
};

struct conf_watch;

struct conf_watch *conf_watch_create(const char *url, uint32_t vms_interval_ms,
				     struct conf_watch_sink *sink,
				     apr_pool_t *pool);
enum az_status conf_watch_start(struct conf_watch *w);
/** Starts or stops watching; does not interrupt a wait. Any thread. */
void conf_watch_set(struct conf_watch *w, bool watching);
/** Interrupts the thread and joins it. */
void conf_watch_stop(struct conf_watch *w);

/* ---- the duty that keeps the snapshot current (conf_duty.c) ---- */

struct conf_links;
struct conf_duty;

/** Interface through which the duty uses the membership and the peer duty;
 * tests replace it. */
struct conf_links_ops {
	const struct member_view *(*view)(struct conf_links *l);
	void (*release_view)(struct conf_links *l, const struct member_view *v);
	void (*set_digest)(struct conf_links *l, uint64_t digest);
	/** Sends a CONF_LIST, or a CONF_GET if `get`; `reply` gets exactly one
	 * answer. */
	void (*call_peer)(struct conf_links *l, const struct member *to,
			  bool get, const struct buf *body, int64_t deadline_us,
			  struct reply_to *reply);
	/** Passes on the hashes of the names of the VMs that the platform lists
	 * as live, that is, not leaving. */
	void (*set_platform_list)(struct conf_links *l, const uint64_t *live,
				  uint32_t live_count);
	/** From now on calls conf_duty_note_digest() for digests of members. */
	void (*attach)(struct conf_links *l, struct conf_duty *d);
};

struct conf_links {
	const struct conf_links_ops *ops;
};

struct membership;
struct peer;

/** The links of a daemon (links.c). */
struct conf_links *conf_links_create(struct membership *m, struct peer *p,
				     apr_pool_t *pool);

struct conf_settings {
	const char *store_url; /**< NULL: uses peers only */
	const char *site; /**< whose overlay applies; "": none */
	uint64_t member_id;
	uint32_t dc;
	/** How often watchers read the platform's list of VMs; 0: never. */
	uint32_t vms_interval_ms;
	struct conf_current *current; /**< where snapshots are published */
	struct conf_links *links;
};

struct conf_duty *conf_duty_create(const struct conf_settings *s,
				   struct timer_service *timers,
				   apr_pool_t *pool);
enum az_status conf_duty_start(struct conf_duty *d);
/** Ends both threads. Messages that arrive later are dropped by
 * conf_duty_destroy(). */
void conf_duty_stop(struct conf_duty *d);
/** To be called when no other thread can send to the duty any more. */
void conf_duty_destroy(struct conf_duty *d);
/** Answers a peer's CONF_LIST, or CONF_GET if `get`; takes ownership of the
 * contents of `body`. Any thread. */
void conf_duty_serve(struct conf_duty *d, bool get, struct buf *body,
		     struct reply_to *reply);
/** A member reported a digest that differs from this daemon's. Any thread. */
void conf_duty_note_digest(struct conf_duty *d, const struct member *from,
			   uint64_t digest);

/** What the status page shows. */
struct conf_duty_status {
	uint64_t digest; /**< of the objects held */
	uint64_t digest_in_force; /**< of the snapshot */
	bool watcher;
	bool store_ok;
	uint32_t object_count;
	struct store_object *objects; /**< without values */
};

/** Waits for the thread of the duty, which must not be stopped meanwhile.
 * AZ_AGAIN if the duty's message queue is full. */
enum az_status conf_duty_status(struct conf_duty *d,
				struct conf_duty_status *out);
void conf_duty_status_free(struct conf_duty_status *s);

#endif
