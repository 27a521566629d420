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
	uint8_t cell_bit; /**< position in its cell's masks */
	uint32_t dc; /**< hash of the data centre's name */
	uint32_t region;
	uint64_t boot; /**< start of the process; 0: not told */
	uint32_t cold_ms; /**< slow for so long after its start */
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
	uint64_t version; /**< of the object it came from */
};

#define CONF_SPLIT_MAX 8

/** A service that takes a share of a route's requests. */
struct conf_split_part {
	uint64_t service; /**< id */
	uint32_t weight;
};

struct conf_route {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t host; /**< conf_host_id() of the host; 0: any */
	char *path; /**< prefix that ends at a '/' boundary */
	char methods[64]; /**< comma separated, or "*" */
	enum rank rank;
	bool idempotent;
	bool below; /**< only what lies below `path`, not `path` itself */
	uint8_t attempts; /**< workers that may be tried; 0: the default */
	uint8_t split_count; /**< 0: all go to `service` */
	uint32_t deadline_ms; /**< 0: the rank's */
	uint32_t timeout_ms; /**< longest wait that the operator wants; 0: none
			      */
	uint32_t target_ms; /**< latency target; 0: none */
	struct conf_split_part split[CONF_SPLIT_MAX];
	const struct conf_service *service;
};

/** What callers may send, and how long they may take. */
struct conf_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_timeout_ms; /**< from the first byte of a head */
	uint32_t idle_timeout_ms; /**< without a request */
};

struct conf_organisation {
	char name[CONF_NAME_MAX_BYTES];
	uint64_t id; /**< hash_string(name) */
	uint64_t token_hash; /**< hash_secret() of its bearer token; 0: none */
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

/** Longest matching path prefix of the host's routes and of those of any host;
 * ERR_UNKNOWN_ROUTE or ERR_METHOD_NOT_ALLOWED in `why` and returns NULL if
 * none serves. `host` may be NULL. */
const struct conf_route *conf_find_route(const struct conf *c, const char *host,
					 const char *method, const char *path,
					 enum error_kind *why);
/** Hash of a host name without its port, in lower case; 0 for none. */
uint64_t conf_host_id(const char *host);
const struct conf_service *conf_find_service_id(const struct conf *c,
						uint64_t id);
/** The service that one request of a route goes to; `random` chooses among
 * the parts of a split by weight. NULL if the part is not configured. */
const struct conf_service *conf_route_service(const struct conf *c,
					      const struct conf_route *r,
					      uint64_t random);
/** Defaults if the configuration names none. */
const struct conf_limits *conf_limits(const struct conf *c);
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
	struct conf_limits limits;
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

/* ---- objects of the store (object.c) ---- */

#define CONF_PREFIX "azurehold/"
#define CONF_KEY_MAX_BYTES 192
#define CONF_OBJECT_MAX_BYTES (1U << 20)
/** Key of what the platform's list says; known to daemons, not in the store. */
#define CONF_LEAVING_KEY "azurehold/platform/leaving"
/** First line of its text, with the platform's revision. */
#define CONF_LEAVING_HEADER "; revision "

enum conf_object_kind {
	OBJECT_OTHER, /**< not configuration */
	OBJECT_BASE,
	OBJECT_SITE,
	OBJECT_OPERATOR,
	OBJECT_PLATFORM,
};

/** Parts of a key. */
struct conf_key {
	enum conf_object_kind kind;
	char site[CONF_NAME_MAX_BYTES]; /**< if OBJECT_SITE */
	/** "fleet", "service/NAME" or "org/NN". */
	char unit[CONF_NAME_MAX_BYTES + 16];
};

struct conf_key conf_key_parse(const char *key);

/** Write ids that an object keeps. */
#define CONF_WRITES 8
/** Version of a text without a header line, as written by hand; any version
 * that azhctl writes is higher. */
#define CONF_VERSION_UNMARKED 1
/** Beyond any clock in milliseconds; a higher one is malformed. */
#define CONF_VERSION_MAX (1ULL << 53)
#define CONF_HEADER_MAX_BYTES 224

/** First line of an object: "; azurehold version=V writes=ID,ID,..." or with
 * " deleted". All zero stands for an absent object. */
struct conf_header {
	uint64_t version; /**< what daemons compare; not the store's revision */
	bool deleted;
	uint32_t write_count;
	/** Latest first; 0 stands for a text without header line. */
	uint64_t writes[CONF_WRITES];
};

void conf_header_write(struct buf *out, const struct conf_header *h);
/** A text without a well-formed header line is not deleted, has
 * CONF_VERSION_UNMARKED and one write, 0; false then. */
bool conf_header_parse(const char *text, struct conf_header *out);
/** Header of the write that follows `base`. */
struct conf_header conf_header_next(const struct conf_header *base,
				    uint64_t write_id, uint64_t version,
				    bool deleted);
/** Version of a new write: above `seen` and not below the clock, so that a
 * version that a restored store has lost is not used again. */
uint64_t conf_next_version(uint64_t seen, uint64_t wall_ms);
/** Wall clock in milliseconds since 1970. */
uint64_t conf_wall_ms(void);

/** What reading an object back says of a write without a clear reply. */
enum conf_verdict {
	WRITE_ACCEPTED,
	WRITE_REFUSED, /**< it did not and will not take effect */
	WRITE_UNCHANGED, /**< the first copy may yet take effect */
	WRITE_UNKNOWN,
};

/** `base` and `if_revision` are what the write was made from, `now` (zero if
 * absent) and `revision` what the store has now. WRITE_REFUSED needs a list of
 * writes that reaches back to the base; without it, a later write may have
 * pushed this one's id out. */
enum conf_verdict conf_read_back(const struct conf_header *base,
				 uint64_t if_revision,
				 const struct conf_header *now,
				 uint64_t revision, uint64_t write_id);

/** An object as a file is split into. */
struct conf_split {
	char key[CONF_KEY_MAX_BYTES];
	struct buf text; /**< without header line; zero-terminated */
};

/** Splits a base file (`site` NULL) or an overlay into objects, sorted by key.
 * Tokens become hashes. The document holds base and overlay, and has been
 * checked; for an overlay, only its own keys are taken. */
enum az_status conf_split(const struct ini_doc *d, const char *site,
			  struct conf_split **out, uint32_t *count);
void conf_split_free(struct conf_split *list, uint32_t count);

/* ---- version table (table.c): plain state ---- */

struct conf_text {
	int32_t references;
	uint32_t len_bytes;
	char data[]; /**< zero-terminated */
};

/** What a daemon holds of one object. */
struct conf_object {
	const char *key;
	uint64_t version; /**< 0: only heard of */
	bool deleted;
	struct conf_text *text; /**< NULL if deleted */
	uint64_t good_version; /**< in force */
	struct conf_text *good_text;
	uint64_t wanted_version; /**< asked for */
	int64_t wanted_until_us;
	uint64_t store_version; /**< last read from the store; 0: none */
	struct conf_unit *unit; /**< NULL if not of this site */
};

struct conf_table;

struct conf_table *conf_table_create(const char *site);
void conf_table_destroy(struct conf_table *t);
uint32_t conf_table_size(const struct conf_table *t);
const struct conf_object *conf_table_at(const struct conf_table *t, uint32_t i);
const struct conf_object *conf_table_find(const struct conf_table *t,
					  const char *key);
/** Takes a value if its version is higher than the one held; `text` NULL is a
 * deletion. Lower and equal versions change nothing. */
bool conf_table_put(struct conf_table *t, const char *key, uint64_t version,
		    const char *text, uint32_t len_bytes);
/** Takes a value that is in force elsewhere, while none is here. */
void conf_table_put_good(struct conf_table *t, const char *key,
			 uint64_t version, const char *text,
			 uint32_t len_bytes);
/** True if `version` is newer than what is held and not asked for; it counts
 * as asked for until `until_us`. */
bool conf_table_want(struct conf_table *t, const char *key, uint64_t version,
		     int64_t now_us, int64_t until_us);
/** Notes the version that the store has of an object. */
void conf_table_in_store(struct conf_table *t, const char *key,
			 uint64_t version);
/** Objects that the store was last seen to have in an older version. */
uint32_t conf_table_older_in_store(const struct conf_table *t);
/** One object's part of a digest; a digest is the sum of them. */
uint64_t conf_version_digest(const char *key, uint64_t version);
/** Over keys and versions held; equal digests mean equal versions. */
uint64_t conf_table_digest(const struct conf_table *t);
/** Same without what is not in the store; a snapshot's digest is this one. */
uint64_t conf_table_store_digest(const struct conf_table *t);
#define CONF_BUCKETS 64
uint32_t conf_bucket(const char *key);
/** Digest of the objects whose key falls into a bucket. */
uint64_t conf_table_bucket(const struct conf_table *t, uint32_t bucket);
/** Builds a snapshot of the newest objects. If they do not check, of those in
 * force with the newest operator decisions; then `errors` says why. *out is
 * NULL if nothing has changed that can be put in force. */
enum az_status conf_table_build(struct conf_table *t, struct conf **out,
				struct conf_errors *errors);

/* ---- who watches, tells and asks (relay.c): plain functions ---- */

struct member;
struct member_view;

#define CONF_WATCHERS 2
#define CONF_RELAY_CHILDREN 8
#define CONF_RELAY_MAX (CONF_WATCHERS * (CONF_RELAY_CHILDREN + 1))
#define CONF_ASK_MAX_OBJECTS 64

/** One of the CONF_WATCHERS of its data centre, by rendezvous hashing over the
 * members that are not stopping. */
bool conf_is_watcher(const struct member_view *v, uint64_t self, uint32_t dc);
/** Members that `self` tells of a change that it has taken: its children in
 * one tree over the data centre's members for each watcher, which is its root;
 * with `outside`, for a change that no member of the data centre told it of,
 * also the watchers. Returns their number. */
uint32_t conf_relay_targets(const struct member_view *v, uint64_t self,
			    uint32_t dc, bool outside,
			    const struct member *out[CONF_RELAY_MAX]);
/** A member of this (`other` false) or of another data centre, or NULL. */
const struct member *conf_pick_member(const struct member_view *v,
				      uint64_t self, uint32_t dc, bool other,
				      uint64_t random);
/** Wait before try number `failures` of the store, from 1 on: doubles from
 * 200 ms to 10 s, of which a random half is left out. */
int64_t conf_backoff_us(uint32_t failures, uint64_t random);

/** When a daemon last heard and asked. */
struct conf_asking {
	int64_t started_us;
	bool loaded; /**< a peer or the store has listed its objects */
	int64_t store_ok_us; /**< the store last answered a watcher */
	int64_t next_start_us;
	int64_t next_remote_us;
	int64_t list_until_us; /**< a CONF_LIST is under way; 0: none */
	uint64_t behind[16]; /**< digests of peers that had nothing newer */
	uint32_t behind_next;
};

/** True if a digest heard from a peer is worth a CONF_LIST now. */
bool conf_asking_digest(const struct conf_asking *a, uint64_t own,
			uint64_t digest, int64_t now_us);
/** A peer with that digest had nothing newer. Cleared by conf_asking_moved().
 */
void conf_asking_behind(struct conf_asking *a, uint64_t digest);
void conf_asking_moved(struct conf_asking *a);
/** True if a daemon that has just started should ask a peer now. */
bool conf_asking_start(struct conf_asking *a, int64_t now_us);
/** True if a watcher without the store should ask another data centre now. */
bool conf_asking_remote(struct conf_asking *a, bool watcher, int64_t now_us);

/* ---- texts between daemons (wire.c) ---- */

/** One record of a list, an offer or an answer. */
struct conf_record {
	char key[CONF_KEY_MAX_BYTES];
	uint64_t version;
	bool deleted;
	bool good; /**< in force at the sender, older than its newest */
	const char *text; /**< NULL in lists */
	uint32_t len_bytes;
};

/** Reads the record at *at and moves on; false at the end or if malformed. */
bool conf_record_read(const char **at, const char *end, struct conf_record *r);
void conf_record_write(struct buf *out, const struct conf_record *r);

/** What a CONF_LIST says first: an offer with records, or a question. */
struct conf_list_head {
	bool is_offer;
	uint64_t from; /**< of an offer: member to ask for it */
	uint64_t buckets[CONF_BUCKETS]; /**< of a question: own digests */
};

void conf_offer_write(struct buf *out, uint64_t from);
void conf_buckets_write(struct buf *out, const struct conf_table *t);
enum az_status conf_list_read(const char **at, const char *end,
			      struct conf_list_head *out);
/** Answer to buckets: records of the objects in those that differ. */
void conf_list_answer(struct buf *out, const struct conf_table *t,
		      const uint64_t buckets[CONF_BUCKETS]);
/** Answer to a CONF_GET: values of the keys that its records name, as many as
 * fit in `max_bytes`, at least one. */
void conf_get_answer(struct buf *out, const struct conf_table *t,
		     const char *at, const char *end, uint32_t max_bytes);

/* ---- the platform's store (store.c), blocking ---- */

struct store;

struct store_object {
	char key[CONF_KEY_MAX_BYTES];
	uint64_t revision; /**< the store's Object-Version, for conditions */
	uint64_t version; /**< of its header line; 0 in lists */
	bool deleted;
	struct buf value; /**< zero-terminated; empty in lists */
};

struct store_list {
	uint64_t revision;
	uint32_t count;
	struct store_object *objects;
};

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

/** `url` without a trailing '/'. NULL if libcurl fails. */
struct store *store_create(const char *url);
void store_destroy(struct store *s);
/** Ends a call under way and all later ones with AZ_AGAIN. Any thread. */
void store_interrupt(struct store *s);
enum az_status store_get(struct store *s, const char *key,
			 struct store_object *out);
/** `if_revision` 0: only if absent. AZ_CONFLICT: the condition failed, maybe
 * by an earlier copy of the same write. AZ_DENIED: not written. AZ_IO or
 * AZ_TIMEOUT: it may have been written. */
enum az_status store_put(struct store *s, const char *key, uint64_t if_revision,
			 const void *value, uint32_t len_bytes,
			 uint64_t *revision);
enum az_status store_list(struct store *s, const char *prefix,
			  struct store_list *out);
/** Changes after a revision; an empty list once `wait_ms` have passed. */
enum az_status store_watch(struct store *s, const char *prefix, uint64_t after,
			   uint32_t wait_ms, struct store_list *out);
/** AZ_AGAIN if the list is still that of `known_revision`. */
enum az_status store_vms(struct store *s, uint64_t known_revision,
			 struct store_vms *out);
void store_object_free(struct store_object *o);
void store_list_free(struct store_list *l);
void store_vms_free(struct store_vms *v);

/** A conditional update and what became of it. */
struct store_write {
	const char *key;
	uint64_t if_revision; /**< 0: only if absent */
	struct conf_header base; /**< of the object at that revision */
	uint64_t write_id;
	uint64_t version;
	bool deleted;
	const char *text; /**< without header line */
	uint64_t
		other_id; /**< out, on AZ_CONFLICT: the write that came first */
	bool outcome_unknown; /**< out: whether it took effect cannot be told */
};

/** Writes; resolves a lost reply and a conflict by reading back. AZ_CONFLICT:
 * not written. On other failures it was not written unless `w->unknown`. */
enum az_status store_update(struct store *s, struct store_write *w);

/* ---- changes to the store (apply.c) ---- */

/** One conditional write. */
struct conf_planned_write {
	char key[CONF_KEY_MAX_BYTES];
	uint64_t if_revision; /**< 0: only if absent */
	struct conf_header base; /**< of the object at that revision */
	uint64_t highest_known_version; /**< highest version known; the new one
					   is above it */
	bool deleted;
	uint32_t phase; /**< written in rising order */
	const char *text; /**< without header line; "" if deleted */
};

/** Reads the configuration with its values; deleted objects are marked. */
enum az_status conf_store_read(struct store *s, struct store_list *out);
/** Digest that daemons report once these objects are in force. */
uint64_t conf_store_digest(const struct store_list *l);
/** Steps from what the store holds under `prefix` to `want`, in the order of
 * writing; the caller frees the array. Texts are borrowed from `want`.
 * `known` (NULL: none) lists the versions that daemons hold: an object that is
 * older in the store, which was restored, is written again also if its text is
 * the wanted one, and one that the store has lost is marked deleted. */
uint32_t conf_plan_writes(const struct store_list *held,
			  const struct store_list *known, const char *prefix,
			  const struct conf_split *want, uint32_t want_count,
			  struct conf_planned_write **out);
/** Highest version of a list. */
uint64_t conf_highest_version(const struct store_list *l);
/** Writes a step; `out` tells its version and what became of it. */
enum az_status conf_perform_write(struct store *s,
				  const struct conf_planned_write *step,
				  uint64_t write_id, struct store_write *out);
/** Checks what each site would have in force after the steps. */
enum az_status conf_check_sites(const struct store_list *held,
				const struct conf_planned_write *steps,
				uint32_t count, struct conf_errors *errors);
/** Text of an operator object with one worker's decision set. */
void conf_set_worker_admin(const char *text, const char *worker,
			   enum worker_admin admin, struct buf *out);
/** The decision about a worker in an operator object's text (NULL: none). */
enum worker_admin conf_get_worker_admin(const char *text, const char *worker);

/* ---- the thread that watches the store (watch.c) ---- */

#define CONF_WATCH_WAIT_MS 2000

struct conf_watch_sink;

/** Run in the watching thread. */
struct conf_watch_sink_ops {
	/** Sets the version of each object in the list to the one held. */
	void (*held)(struct conf_watch_sink *k, struct store_list *l);
	/** Takes the contents of `l`, objects with values. */
	void (*values)(struct conf_watch_sink *k, struct store_list *l);
	/** Takes the contents of `v`. False: its revision is below the one held
	 * and not `restored`, and it was ignored. */
	bool (*vms)(struct conf_watch_sink *k, struct store_vms *v,
		    bool restored);
	/** The store answered (true) or failed. */
	void (*state)(struct conf_watch_sink *k, bool ok);
};

struct conf_watch_sink {
	const struct conf_watch_sink_ops *ops;
};

struct conf_watch;

struct conf_watch *conf_watch_create(const char *url, uint32_t vms_interval_ms,
				     struct conf_watch_sink *sink,
				     apr_pool_t *pool);
enum az_status conf_watch_start(struct conf_watch *w);
/** Starts or ends watching; a wait under way is let run out. Any thread. */
void conf_watch_set(struct conf_watch *w, bool watching);
/** Interrupts the thread and joins it. */
void conf_watch_stop(struct conf_watch *w);

/* ---- the duty (conf_duty.c) ---- */

/** What the duty needs of members and peers. */
struct conf_links;
struct conf_duty;

struct conf_links_ops {
	const struct member_view *(*view)(struct conf_links *l);
	void (*release_view)(struct conf_links *l, const struct member_view *v);
	void (*set_digest)(struct conf_links *l, uint64_t digest);
	/** CONF_LIST, or CONF_GET if `get`; `reply` gets one answer. */
	void (*ask)(struct conf_links *l, const struct member *to, bool get,
		    const struct buf *body, int64_t deadline_us,
		    struct reply_to *reply);
	void (*platform_list)(struct conf_links *l, const uint64_t *live,
			      uint32_t live_count);
	/** Digests of members go to `d` from now on. */
	void (*attach)(struct conf_links *l, struct conf_duty *d);
};

struct conf_links {
	const struct conf_links_ops *ops;
};

struct membership;
struct peer;

/** Links to the member and peer slices (links.c). */
struct conf_links *conf_links_create(struct membership *m, struct peer *p,
				     apr_pool_t *pool);

struct conf_settings {
	const char *store_url; /**< NULL: only peers */
	const char *site; /**< whose overlay applies; "" for none */
	uint64_t member_id;
	uint32_t dc;
	uint32_t vms_interval_ms; /**< of watchers; 0: the list is not read */
	struct conf_current *current;
	struct conf_links *links;
};

struct conf_duty *conf_duty_create(const struct conf_settings *s,
				   struct timer_service *timers,
				   apr_pool_t *pool);
enum az_status conf_duty_start(struct conf_duty *d);
/** Ends both threads; what still arrives is dropped by conf_duty_destroy(). */
void conf_duty_stop(struct conf_duty *d);
/** Call once no member, peer or administration thread can reach it. */
void conf_duty_destroy(struct conf_duty *d);
/** Serves a peer's CONF_LIST, or CONF_GET if `get`; takes the contents of
 * `body`. Any thread. */
void conf_duty_serve(struct conf_duty *d, bool get, struct buf *body,
		     struct reply_to *reply);
/** A member spread a digest that differs from this daemon's. Any thread. */
void conf_duty_digest(struct conf_duty *d, const struct member *from,
		      uint64_t digest);

/** Versions for the status page. */
struct conf_duty_status {
	uint64_t digest; /**< of the objects held */
	uint64_t digest_in_force; /**< of the snapshot */
	bool watcher;
	bool store_ok;
	uint32_t object_count;
	struct store_object *objects; /**< without values */
};

/** Waits for the duty's thread, which must not be stopped meanwhile. AZ_AGAIN
 * if its ring is full. */
enum az_status conf_duty_status(struct conf_duty *d,
				struct conf_duty_status *out);
void conf_duty_status_free(struct conf_duty_status *s);

#endif
