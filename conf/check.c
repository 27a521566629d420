#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <apr_strings.h>

#include "conf/conf.h"

enum field_type {
	FIELD_U8,
	FIELD_U32,
	FIELD_BOOL,
};

/** A key of a section whose value is a number or yes/no, and the field that it
 * sets. The key has the name of the field. */
struct field {
	const char *key;
	enum field_type type;
	size_t offset;
	uint32_t min;
	uint32_t max;
};

/* Requests that a worker runs at once if its section does not say. */
#define DEFAULT_WORKER_SLOTS 6

#define U8(s, m, lo, hi)                                    \
	{                                                   \
#m, FIELD_U8, offsetof(struct s, m), lo, hi \
	}
#define U32(s, m, lo, hi)                                    \
	{                                                    \
#m, FIELD_U32, offsetof(struct s, m), lo, hi \
	}
#define BOOL(s, m)                                          \
	{                                                   \
#m, FIELD_BOOL, offsetof(struct s, m), 0, 1 \
	}

static const struct field rank_fields[] = {
	U8(conf_rank, share_percent, 0, 100),
	U32(conf_rank, deadline_ms, 1, 300000),
	U32(conf_rank, queue_limit, 1, 65535),
	{ NULL },
};

static const struct field service_fields[] = {
	U8(conf_service, floor_percent, 0, 100),
	BOOL(conf_service, bare),
	BOOL(conf_service, shed_is_not_run),
	BOOL(conf_service, hedge),
	U32(conf_service, connect_timeout_ms, 1, 60000),
	U32(conf_service, connections, 1, CONF_CONNECTIONS_MAX),
	U32(conf_service, probe_interval_ms, 10, 600000),
	U32(conf_service, cold_start_ms, 0, 3600000),
	U8(conf_service, retry_percent, 0, 100),
	{ NULL },
};

static const struct field limit_fields[] = {
	U32(conf_limits, header_bytes, CONF_HEADER_BYTES_MIN,
	    CONF_HEADER_BYTES_MAX),
	U32(conf_limits, body_bytes, 0, UINT32_MAX),
	U32(conf_limits, header_timeout_ms, 1, 3600000),
	U32(conf_limits, idle_timeout_ms, 1, 86400000),
	{ NULL },
};

static const struct field worker_fields[] = {
	U8(conf_worker, slots, 1, 255),
	U32(conf_worker, cold_ms, 0, 3600000),
	{ NULL },
};

static const struct field route_fields[] = {
	BOOL(conf_route, idempotent),
	BOOL(conf_route, below),
	U8(conf_route, attempts, 0, 255),
	U32(conf_route, deadline_ms, 0, 300000),
	U32(conf_route, timeout_ms, 0, 3600000),
	U32(conf_route, target_ms, 0, 3600000),
	{ NULL },
};

static const struct field organisation_fields[] = {
	U32(conf_organisation, requests_per_s, 0, 1000000000),
	U32(conf_organisation, burst, 0, 1000000000),
	{ NULL },
};

/* share_percent, deadline_ms, queue_limit */
static const struct conf_rank rank_defaults[RANK_COUNT] = {
	[RANK_URGENT] = { 50, 5000, 128 },
	[RANK_NORMAL] = { 30, 10000, 128 },
	[RANK_BULK] = { 10, 30000, 128 },
};

static const struct conf_service service_defaults = {
	.floor_percent = 70,
	/* Ten times the network delay between regions. After this time-out the
	 * request, which was not sent, goes to another worker. */
	.connect_timeout_ms = 300,
	.connections = 400,
	.probe_interval_ms = 1000,
	.cold_start_ms = 30000,
	.retry_percent = 10,
};

/** The sections of one service and the bundle that is built from them. */
struct service_sections {
	struct service_sections *next;
	const struct ini_section *service;
	uint32_t worker_count;
	uint32_t route_count;
	uint32_t path_bytes;
	char *paths; /**< room for the next route's path in `bundle` */
	struct conf_service_bundle *bundle;
};

/** State of building the components of one document. */
struct build {
	const struct ini_doc *doc;
	struct conf_fleet *fleet;
	struct conf_errors *errors;
	apr_pool_t *pool;
	apr_hash_t *services; /**< name to struct service_sections */
	/** Worker or route section to the service_sections that it belongs to.
	 * The key, which identifies the section, is the address of its `name`.
	 */
	apr_hash_t *owners;
	struct service_sections *first;
	struct service_sections *last;
	uint32_t service_count;
	uint32_t shard_counts[CONF_SHARDS];
	struct conf_components *out;
};

static void section_error(struct build *b, const struct ini_section *s,
			  const char *reason)
{
	conf_error_add(b->errors, s->file, s->line, "[%s %s] %s", s->kind,
		       s->name, reason);
}

static void key_error(struct build *b, const struct ini_key *k,
		      const char *expected)
{
	conf_error_add(b->errors, k->file, k->line, "'%s = %.60s': expected %s",
		       k->name, k->value, expected);
}

static void unknown_key_error(struct build *b, const struct ini_section *s,
			      const struct ini_key *k)
{
	conf_error_add(b->errors, k->file, k->line,
		       "unknown key '%s' in [%s %s]", k->name, s->kind,
		       s->name);
}

static bool parse_number(const char *s, uint32_t min, uint32_t max,
			 uint32_t *out)
{
	uint64_t n = 0;

	if (!*s || strlen(s) > 10)
		return false;
	for (; *s; s++) {
		if (*s < '0' || *s > '9')
			return false;
		n = n * 10 + (uint64_t)(*s - '0');
	}
	*out = (uint32_t)n;
	return n >= min && n <= max;
}

static bool parse_bool(const char *s, bool *out)
{
	*out = !strcmp(s, "yes");
	return *out || !strcmp(s, "no");
}

/* Sets the field called `name` of the struct at `base` to the value of `k`.
 * False if there is no such field; a bad value is reported and returns true. */
static bool set_field(struct build *b, const struct field *f, const char *name,
		      const struct ini_key *k, void *base)
{
	char range[64];
	uint8_t *at;
	uint32_t n = 0;

	while (f->key && strcmp(f->key, name) != 0)
		f++;
	if (!f->key)
		return false;
	at = (uint8_t *)base + f->offset;
	if (f->type == FIELD_BOOL) {
		if (!parse_bool(k->value, (bool *)at))
			key_error(b, k, "yes or no");
		return true;
	}
	if (!parse_number(k->value, f->min, f->max, &n)) {
		snprintf(range, sizeof(range), "a number from %u to %u", f->min,
			 f->max);
		key_error(b, k, range);
	} else if (f->type == FIELD_U8) {
		*at = (uint8_t)n;
	} else {
		memcpy(at, &n, sizeof(n));
	}
	return true;
}

static bool is_valid_name(const char *s, size_t len)
{
	if (!len || len >= CONF_NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!strchr("abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-",
			    s[i]))
			return false;
	return true;
}

static const char bad_name_reason[] =
	"has a bad name: expected 1 to 63 letters, digits, '.', '_' or '-'";

/* ---- data centres, ranks and limits ---- */

uint32_t conf_place_id(const char *name)
{
	return (uint32_t)hash_string(name);
}

void conf_fleet_release(struct conf_fleet *f)
{
	if (f && !__atomic_sub_fetch(&f->references, 1, __ATOMIC_ACQ_REL))
		free(f);
}

static const struct conf_data_centre *
find_data_centre(const struct conf_fleet *f, const char *name)
{
	for (uint32_t i = 0; i < f->dc_list_count; i++)
		if (!strcmp(f->dc_list[i].name, name))
			return &f->dc_list[i];
	return NULL;
}

static void check_shares(struct build *b, const struct ini_section *s,
			 const struct conf_rank *ranks)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < RANK_COUNT; i++)
		sum += ranks[i].share_percent;
	if (sum > 100)
		conf_error_add(b->errors, s->file, s->line,
			       "[%s %s] shares of the ranks add up to %u %%",
			       s->kind, s->name, sum);
}

static void build_rank(struct build *b, const struct ini_section *s)
{
	enum rank r;

	if (rank_parse(s->name, &r) != AZ_OK) {
		section_error(b, s, "is not a rank (urgent, normal, bulk)");
		return;
	}
	for (const struct ini_key *k = s->keys; k; k = k->next)
		if (!set_field(b, rank_fields, k->name, k, &b->fleet->ranks[r]))
			unknown_key_error(b, s, k);
}

static void build_limits(struct build *b, const struct ini_section *s)
{
	for (const struct ini_key *k = s->keys; k; k = k->next)
		if (!set_field(b, limit_fields, k->name, k, &b->fleet->limits))
			unknown_key_error(b, s, k);
}

static void build_data_centre(struct build *b, const struct ini_section *s)
{
	struct conf_data_centre *p =
		&b->fleet->dc_list[b->fleet->dc_list_count];
	bool has_region = false;

	if (!is_valid_name(s->name, strlen(s->name))) {
		section_error(b, s, bad_name_reason);
		return;
	}
	snprintf(p->name, sizeof(p->name), "%s", s->name);
	p->dc = conf_place_id(s->name);
	for (const struct ini_key *k = s->keys; k; k = k->next) {
		if (strcmp(k->name, "region") != 0) {
			unknown_key_error(b, s, k);
			continue;
		}
		has_region = true;
		if (!is_valid_name(k->value, strlen(k->value)))
			key_error(b, k, "the name of a region");
		p->region = conf_place_id(k->value);
	}
	if (!has_region)
		section_error(b, s, "has no region");
	for (uint32_t i = 0; i < b->fleet->dc_list_count; i++)
		if (b->fleet->dc_list[i].dc == p->dc)
			section_error(b, s,
				      "has the same hash as another one; "
				      "rename it");
	b->fleet->dc_list_count++;
}

static void build_fleet(struct build *b)
{
	const struct ini_section *last_rank = NULL;
	uint32_t n = 0;

	for (const struct ini_section *s = b->doc->first; s; s = s->next)
		n += !strcmp(s->kind, "data_centre");
	b->fleet = calloc(1, sizeof(*b->fleet) +
				     n * sizeof(struct conf_data_centre));
	if (!b->fleet)
		abort();
	b->fleet->references = 1;
	memcpy(b->fleet->ranks, rank_defaults, sizeof(rank_defaults));
	b->fleet->limits = *conf_limits(NULL);
	for (const struct ini_section *s = b->doc->first; s; s = s->next) {
		if (!strcmp(s->kind, "data_centre")) {
			build_data_centre(b, s);
		} else if (!strcmp(s->kind, "rank")) {
			build_rank(b, s);
			last_rank = s;
		} else if (!strcmp(s->kind, "limits")) {
			build_limits(b, s);
		}
	}
	if (last_rank)
		check_shares(b, last_rank, b->fleet->ranks);
}

/* ---- services ---- */

void conf_service_bundle_release(struct conf_service_bundle *p)
{
	if (!p || __atomic_sub_fetch(&p->references, 1, __ATOMIC_ACQ_REL))
		return;
	free(p->cells);
	free(p);
}

static struct service_sections *find_sections(struct build *b, const char *name,
					      size_t len)
{
	return apr_hash_get(b->services, name, (apr_ssize_t)len);
}

static void add_service(struct build *b, const struct ini_section *s)
{
	struct service_sections *v;

	if (!is_valid_name(s->name, strlen(s->name))) {
		section_error(b, s, bad_name_reason);
		return;
	}
	v = apr_pcalloc(b->pool, sizeof(*v));
	v->service = s;
	apr_hash_set(b->services, s->name, APR_HASH_KEY_STRING, v);
	if (b->last)
		b->last->next = v;
	else
		b->first = v;
	b->last = v;
	b->service_count++;
}

/* The service that a worker or route belongs to. If there is none, reports an
 * error and returns NULL. */
static struct service_sections *owning_service(struct build *b,
					       const struct ini_section *s)
{
	const struct ini_key *k;
	struct service_sections *v;
	const char *slash;

	if (!strcmp(s->kind, "worker")) {
		slash = strchr(s->name, '/');
		if (!slash || !is_valid_name(slash + 1, strlen(slash + 1))) {
			section_error(b, s, "is not 'SERVICE/NAME'");
			return NULL;
		}
		v = find_sections(b, s->name, (size_t)(slash - s->name));
		if (!v)
			section_error(b, s, "belongs to an unknown service");
		return v;
	}
	if (!is_valid_name(s->name, strlen(s->name))) {
		section_error(b, s, bad_name_reason);
		return NULL;
	}
	k = ini_section_key(s, "service");
	if (!k) {
		section_error(b, s, "has no service");
		return NULL;
	}
	v = find_sections(b, k->value, strlen(k->value));
	if (!v)
		key_error(b, k, "a service of this configuration");
	return v;
}

static bool belongs_to_service(const struct ini_section *s)
{
	return !strcmp(s->kind, "worker") || !strcmp(s->kind, "route");
}

static void count_workers_and_routes(struct build *b)
{
	const struct ini_key *path;
	struct service_sections *v;

	for (const struct ini_section *s = b->doc->first; s; s = s->next) {
		bool worker = !strcmp(s->kind, "worker");

		v = belongs_to_service(s) ? owning_service(b, s) : NULL;
		if (!v)
			continue;
		apr_hash_set(b->owners, &s->name, sizeof(s->name), v);
		if (worker) {
			v->worker_count++;
			continue;
		}
		v->route_count++;
		path = ini_section_key(s, "path");
		v->path_bytes += path ? (uint32_t)strlen(path->value) + 1 : 1;
	}
}

static bool set_rank_override(struct build *b, const struct ini_key *k,
			      struct conf_rank *ranks)
{
	for (uint32_t r = 0; r < RANK_COUNT; r++) {
		char prefix[32];
		int32_t n = snprintf(prefix, sizeof(prefix), "rank_%s_",
				     rank_name((enum rank)r));

		if (!strncmp(k->name, prefix, (size_t)n))
			return set_field(b, rank_fields, k->name + n, k,
					 &ranks[r]);
	}
	return false;
}

static void build_service(struct build *b, struct service_sections *v)
{
	const struct ini_section *s = v->service;
	struct conf_service *d = &v->bundle->service;

	snprintf(d->name, sizeof(d->name), "%s", s->name);
	d->id = hash_string(s->name);
	memcpy(d->ranks, b->fleet->ranks, sizeof(d->ranks));
	for (const struct ini_key *k = s->keys; k; k = k->next) {
		if (!strcmp(k->name, "health_path")) {
			if (*k->value && *k->value != '/')
				key_error(b, k, "a path that begins with '/'");
			else if (strlen(k->value) >= sizeof(d->health_path))
				key_error(b, k, "a path of at most 63 bytes");
			else
				strcpy(d->health_path, k->value);
		} else if (!set_field(b, service_fields, k->name, k, d) &&
			   !set_rank_override(b, k, d->ranks)) {
			unknown_key_error(b, s, k);
		}
	}
	check_shares(b, s, d->ranks);
}

/* A process that is restarted under the same name counts as a new worker, with
 * a new id, as the measurements of the old process do not apply to it. */
static void set_boot(struct build *b, const struct ini_key *k,
		     struct conf_worker *w)
{
	char *end;

	w->boot = strtoull(k->value, &end, 10);
	if (end == k->value || *end)
		key_error(b, k, "a number");
	w->id = hash_bytes(&w->boot, sizeof(w->boot), w->id);
}

static void build_worker(struct build *b, struct service_sections *v,
			 const struct ini_section *s)
{
	struct conf_service *d = &v->bundle->service;
	struct conf_worker *w = &v->bundle->workers[d->worker_count++];
	const struct conf_data_centre *data_centre;
	bool has_address = false;
	bool has_data_centre = false;

	snprintf(w->name, sizeof(w->name), "%s", strchr(s->name, '/') + 1);
	w->id = hash_string(s->name);
	w->slots = DEFAULT_WORKER_SLOTS;
	for (const struct ini_key *k = s->keys; k; k = k->next) {
		if (!strcmp(k->name, "address")) {
			has_address = true;
			if (net_parse(k->value, &w->ip, &w->port) != AZ_OK)
				key_error(b, k, "IP:PORT");
		} else if (!strcmp(k->name, "data_centre")) {
			has_data_centre = true;
			data_centre = find_data_centre(b->fleet, k->value);
			if (data_centre) {
				w->dc = data_centre->dc;
				w->region = data_centre->region;
			} else {
				key_error(b, k, "a [data_centre NAME]");
			}
		} else if (!strcmp(k->name, "boot")) {
			set_boot(b, k, w);
		} else if (!strcmp(k->name, "leaving")) {
			bool leaving = false;

			if (!parse_bool(k->value, &leaving))
				key_error(b, k, "yes or no");
			w->admin =
				leaving ? WORKER_DRAINING : WORKER_IN_SERVICE;
		} else if (!set_field(b, worker_fields, k->name, k, w)) {
			unknown_key_error(b, s, k);
		}
	}
	if (!has_address)
		section_error(b, s, "has no address");
	if (!has_data_centre)
		section_error(b, s, "has no data_centre");
}

/* Routes match whole segments, so a '/' at the end is ignored. */
static size_t path_bytes(const char *path)
{
	size_t n = strlen(path);

	while (n > 1 && path[n - 1] == '/')
		n--;
	return n;
}

const char *conf_path_requirement(const char *path)
{
	size_t n = path_bytes(path);
	uint32_t segments = 0;

	for (size_t i = 0; i < n; i++)
		segments += path[i] == '/';
	if (*path != '/' || strpbrk(path, "?# \t%\\") || strstr(path, "//") ||
	    strstr(path, "/./") || strstr(path, "/../"))
		return "a plain path that begins with '/'";
	if (n >= CONF_PATH_MAX_BYTES || segments > CONF_PATH_SEGMENTS_MAX)
		return "at most 511 bytes and 16 segments";
	return NULL;
}

static void set_path(struct build *b, const struct ini_key *k,
		     struct conf_route *r)
{
	const char *requirement = conf_path_requirement(k->value);
	size_t n = path_bytes(k->value);

	if (requirement) {
		key_error(b, k, requirement);
		return;
	}
	memcpy(r->path, k->value, n);
	r->path[n] = '\0';
}

static void set_methods(struct build *b, const struct ini_key *k,
			struct conf_route *r)
{
	size_t n = 0;
	size_t word = 0;

	if (!strcmp(k->value, "*")) {
		strcpy(r->methods, "*");
		return;
	}
	for (const char *p = k->value; *p; p++) {
		if (*p == ' ' || *p == '\t')
			continue;
		if ((*p == ',' && !word) ||
		    (*p != ',' && *p != '-' && (*p < 'A' || *p > 'Z')) ||
		    word >= METHOD_MAX_BYTES - 1 ||
		    n >= sizeof(r->methods) - 1) {
			word = 0;
			break;
		}
		r->methods[n++] = *p;
		word = *p == ',' ? 0 : word + 1;
	}
	if (!word)
		key_error(b, k, "methods such as GET,HEAD, at most 63 bytes");
}

/* "SERVICE:WEIGHT, ..." */
static void set_split(struct build *b, const struct ini_key *k,
		      struct conf_route *r)
{
	char copy[CONF_TRAFFIC_SHARES_MAX * (CONF_NAME_MAX_BYTES + 16)];
	char *save = NULL;

	if (strlen(k->value) >= sizeof(copy)) {
		key_error(b, k, "at most 8 services");
		return;
	}
	strcpy(copy, k->value);
	r->split_count = 0;
	for (char *t = strtok_r(copy, ", ", &save); t;
	     t = strtok_r(NULL, ", ", &save)) {
		char *colon = strrchr(t, ':');
		struct conf_traffic_share *share = &r->split[r->split_count];

		if (!colon || r->split_count == CONF_TRAFFIC_SHARES_MAX ||
		    !parse_number(colon + 1, 0, 1000000, &share->weight)) {
			key_error(b, k, "at most 8 of SERVICE:WEIGHT");
			return;
		}
		*colon = '\0';
		share->service_id = hash_string(t);
		r->split_count++;
	}
}

static void build_route(struct build *b, struct service_sections *v,
			const struct ini_section *s)
{
	struct conf_route *r = &v->bundle->routes[v->bundle->route_count++];
	bool has_methods = false;
	bool has_path = false;

	snprintf(r->name, sizeof(r->name), "%s", s->name);
	r->service = &v->bundle->service;
	r->rank = RANK_NORMAL;
	r->path = v->paths;
	for (const struct ini_key *k = s->keys; k; k = k->next) {
		if (!strcmp(k->name, "path")) {
			has_path = true;
			set_path(b, k, r);
		} else if (!strcmp(k->name, "methods")) {
			has_methods = true;
			set_methods(b, k, r);
		} else if (!strcmp(k->name, "rank")) {
			if (rank_parse(k->value, &r->rank) != AZ_OK)
				key_error(b, k, "urgent, normal or bulk");
		} else if (!strcmp(k->name, "host")) {
			r->host = conf_host_id(k->value);
		} else if (!strcmp(k->name, "split")) {
			set_split(b, k, r);
		} else if (strcmp(k->name, "service") != 0 &&
			   !set_field(b, route_fields, k->name, k, r)) {
			unknown_key_error(b, s, k);
		}
	}
	if (!has_path)
		section_error(b, s, "has no path");
	if (!has_methods)
		section_error(b, s, "has no methods");
	v->paths += strlen(v->paths) + 1;
}

static int by_data_centre_and_name(const void *a, const void *b)
{
	const struct conf_worker *x = a;
	const struct conf_worker *y = b;

	if (x->dc != y->dc)
		return x->dc < y->dc ? -1 : 1;
	return strcmp(x->name, y->name);
}

static uint32_t region_of(const struct conf_fleet *f, uint32_t dc)
{
	for (uint32_t i = 0; i < f->dc_list_count; i++)
		if (f->dc_list[i].dc == dc)
			return f->dc_list[i].region;
	return 0;
}

/* Divides the workers of one data centre evenly into cells. The health of a
 * worker is judged against the others of its cell, so a cell must not be left
 * with a single worker. */
static void make_cells(struct build *b, struct service_sections *v,
		       uint32_t first, uint32_t count)
{
	struct conf_service *d = &v->bundle->service;
	struct conf_cell *cells = v->bundle->cells;
	uint32_t cells_needed =
		(count + CELL_WORKERS_MAX - 1) / CELL_WORKERS_MAX;
	uint32_t dc = v->bundle->workers[first].dc;

	for (uint32_t i = 0; i < cells_needed; i++) {
		struct conf_cell *c = &cells[d->cell_count++];
		uint32_t from = first + count * i / cells_needed;
		uint32_t to = first + count * (i + 1) / cells_needed;
		struct {
			uint64_t service;
			uint32_t dc;
			uint32_t index;
		} key = { d->id, dc, i };

		c->id = hash_bytes(&key, sizeof(key), 0);
		c->dc = dc;
		c->region = region_of(b->fleet, dc);
		c->service = d;
		for (uint32_t w = from; w < to; w++) {
			v->bundle->workers[w].cell_bit = c->worker_count;
			c->workers[c->worker_count++] = &v->bundle->workers[w];
		}
	}
}

/* Number of workers, from `first` on, in the data centre of `first`. The
 * workers are sorted by data centre. */
static uint32_t count_in_data_centre(const struct conf_worker *w,
				     uint32_t first, uint32_t count)
{
	uint32_t i = first;

	while (i < count && w[i].dc == w[first].dc)
		i++;
	return i - first;
}

static void split_into_cells(struct build *b, struct service_sections *v)
{
	struct conf_service *d = &v->bundle->service;
	struct conf_worker *w = v->bundle->workers;
	uint32_t cells = 0;
	uint32_t n;

	qsort(w, d->worker_count, sizeof(*w), by_data_centre_and_name);
	for (uint32_t i = 0; i < d->worker_count; i += n) {
		n = count_in_data_centre(w, i, d->worker_count);
		cells += (n + CELL_WORKERS_MAX - 1) / CELL_WORKERS_MAX;
	}
	v->bundle->cells = calloc(cells + 1, sizeof(struct conf_cell));
	if (!v->bundle->cells)
		abort();
	d->cells = v->bundle->cells;
	for (uint32_t i = 0; i < d->worker_count; i += n) {
		n = count_in_data_centre(w, i, d->worker_count);
		make_cells(b, v, i, n);
	}
}

static void check_addresses(struct build *b, struct service_sections *v)
{
	apr_hash_t *by_address = apr_hash_make(b->pool);
	struct conf_worker *w = v->bundle->workers;

	for (uint32_t i = 0; i < v->bundle->service.worker_count; i++) {
		uint64_t *key = apr_palloc(b->pool, sizeof(*key));
		struct conf_worker *other;

		*key = (uint64_t)w[i].ip << 16 | w[i].port;
		other = apr_hash_get(by_address, key, sizeof(*key));
		if (other && *key)
			conf_error_add(
				b->errors, v->service->file, v->service->line,
				"[service %s] workers %s and %s have "
				"the same address",
				v->service->name, other->name, w[i].name);
		apr_hash_set(by_address, key, sizeof(*key), &w[i]);
	}
}

static void set_operator_decisions(struct conf_service_bundle *p,
				   const struct ini_doc *decisions)
{
	for (uint32_t i = 0; i < p->service.worker_count; i++) {
		char name[2 * CONF_NAME_MAX_BYTES];
		const struct ini_section *s;
		const struct ini_key *k;

		snprintf(name, sizeof(name), "%s/%s", p->service.name,
			 p->workers[i].name);
		s = ini_doc_find(decisions, "worker", name);
		k = s ? ini_section_key(s, "admin") : NULL;
		if (k && !strcmp(k->value, "draining"))
			p->workers[i].admin = WORKER_DRAINING;
		else if (k && !strcmp(k->value, "ejected"))
			p->workers[i].admin = WORKER_EJECTED;
	}
}

/* Allocates the bundle, its workers, routes and paths as one block, which takes
 * less memory. */
static char *allocate_bundle(struct service_sections *v)
{
	size_t workers = v->worker_count * sizeof(struct conf_worker);
	size_t routes = v->route_count * sizeof(struct conf_route);
	struct conf_service_bundle *p =
		calloc(1, sizeof(*p) + workers + routes + v->path_bytes);

	if (!p)
		abort();
	p->references = 1;
	p->service = service_defaults;
	p->workers = (struct conf_worker *)(p + 1);
	p->routes = (struct conf_route *)((char *)p->workers + workers);
	p->service.workers = p->workers;
	v->bundle = p;
	v->paths = (char *)p->routes + routes;
	return v->paths;
}

static void build_services(struct build *b, uint64_t version)
{
	uint32_t n = 0;

	count_workers_and_routes(b);
	b->out->services = calloc(b->service_count + 1,
				  sizeof(struct conf_service_bundle *));
	if (!b->out->services)
		abort();
	for (struct service_sections *v = b->first; v; v = v->next) {
		allocate_bundle(v);
		build_service(b, v);
		v->bundle->service.version = version;
		b->out->services[n++] = v->bundle;
	}
	b->out->service_count = n;
	for (const struct ini_section *s = b->doc->first; s; s = s->next) {
		struct service_sections *v =
			apr_hash_get(b->owners, &s->name, sizeof(s->name));

		if (v && !strcmp(s->kind, "worker"))
			build_worker(b, v, s);
		else if (v)
			build_route(b, v, s);
	}
	for (struct service_sections *v = b->first; v; v = v->next) {
		check_addresses(b, v);
		split_into_cells(b, v);
	}
}

/* ---- organisations ---- */

uint32_t conf_shard_of(const char *organisation)
{
	return (uint32_t)(hash_string(organisation) % CONF_SHARDS);
}

void conf_shard_release(struct conf_shard *s)
{
	if (!s || __atomic_sub_fetch(&s->references, 1, __ATOMIC_ACQ_REL))
		return;
	free(s->table);
	free(s);
}

static struct conf_shard *allocate_shard(uint32_t count)
{
	struct conf_shard *s = calloc(
		1, sizeof(*s) + count * sizeof(struct conf_organisation));
	uint32_t size = 2;

	while (size < count + count / 2)
		size *= 2;
	if (!s)
		abort();
	s->references = 1;
	s->mask = size - 1;
	s->table = calloc(size, sizeof(uint32_t));
	if (!s->table)
		abort();
	return s;
}

static bool parse_hash(const char *s, uint64_t *out)
{
	if (strlen(s) != 16 || strspn(s, "0123456789abcdef") != 16)
		return false;
	*out = strtoull(s, NULL, 16);
	return true;
}

static void build_organisation(struct build *b, const struct ini_section *s)
{
	struct conf_shard *shard = b->out->shards[conf_shard_of(s->name)];
	struct conf_organisation *o = &shard->list[shard->count++];
	bool has_token = false;
	uint32_t at;

	snprintf(o->name, sizeof(o->name), "%s", s->name);
	o->id = hash_string(s->name);
	for (const struct ini_key *k = s->keys; k; k = k->next) {
		bool hashed = !strcmp(k->name, "token_hash");

		if (hashed || !strcmp(k->name, "token")) {
			if (has_token)
				key_error(b, k, "one of token and token_hash");
			has_token = true;
			if (!hashed)
				o->token_hash = hash_secret(k->value);
			if (hashed ? !parse_hash(k->value, &o->token_hash) :
				     !*k->value)
				key_error(b, k,
					  hashed ? "16 hexadecimal digits" :
						   "a token");
		} else if (!set_field(b, organisation_fields, k->name, k, o)) {
			unknown_key_error(b, s, k);
		}
	}
	/* Without a burst in the configuration it is that of one second, as
	 * with a burst of 0 the rate limit would refuse every request. */
	if (o->requests_per_s && !o->burst)
		o->burst = o->requests_per_s;
	at = (uint32_t)(o->id / CONF_SHARDS) & shard->mask;
	for (; shard->table[at]; at = (at + 1) & shard->mask)
		if (shard->list[shard->table[at] - 1].id == o->id)
			section_error(b, s,
				      "has the same hash as another one; "
				      "rename it");
	shard->table[at] = shard->count;
}

static void build_organisations(struct build *b)
{
	for (const struct ini_section *s = b->doc->first; s; s = s->next)
		if (!strcmp(s->kind, "organisation"))
			b->shard_counts[conf_shard_of(s->name)]++;
	for (uint32_t i = 0; i < CONF_SHARDS; i++)
		if (b->shard_counts[i])
			b->out->shards[i] = allocate_shard(b->shard_counts[i]);
	for (const struct ini_section *s = b->doc->first; s; s = s->next) {
		if (strcmp(s->kind, "organisation") != 0)
			continue;
		if (!is_valid_name(s->name, strlen(s->name)))
			section_error(b, s, bad_name_reason);
		build_organisation(b, s);
	}
}

/* ---- the whole document ---- */

/* Reports sections of an unknown kind, and those that configure the fleet
 * (kinds 0 to 2) unless `own_fleet`. Collects the services (kind 3). */
static void check_section_kinds(struct build *b, bool own_fleet)
{
	static const char *const kinds[] = { "data_centre", "rank",   "limits",
					     "service",	    "worker", "route",
					     "organisation" };
	const uint32_t count = sizeof(kinds) / sizeof(kinds[0]);

	for (const struct ini_section *s = b->doc->first; s; s = s->next) {
		uint32_t i = 0;

		while (i < count && strcmp(kinds[i], s->kind) != 0)
			i++;
		if (i == count)
			section_error(b, s, "is of an unknown kind");
		else if (i < 3 && !own_fleet)
			section_error(b, s, "does not belong in this object");
		else if (i == 3)
			add_service(b, s);
	}
}

void conf_components_release(struct conf_components *p)
{
	conf_fleet_release(p->fleet);
	for (uint32_t i = 0; i < p->service_count; i++)
		conf_service_bundle_release(p->services[i]);
	free(p->services);
	for (uint32_t i = 0; i < CONF_SHARDS; i++)
		conf_shard_release(p->shards[i]);
	memset(p, 0, sizeof(*p));
}

static void apply_operator_decisions(struct build *b, const char *text)
{
	struct ini_doc *d = ini_doc_create();

	ini_doc_read(d, "operator", text, b->errors);
	for (struct service_sections *v = b->first; v; v = v->next)
		set_operator_decisions(v->bundle, d);
	ini_doc_destroy(d);
}

enum az_status conf_build(const struct ini_doc *d, struct conf_fleet *fleet,
			  uint64_t version, const char *operator_text,
			  struct conf_components *out,
			  struct conf_errors *errors)
{
	struct build b = {
		.doc = d,
		.fleet = fleet,
		.errors = errors,
		.out = out,
	};

	memset(out, 0, sizeof(*out));
	if (apr_pool_create_unmanaged_ex(&b.pool, NULL, NULL) != APR_SUCCESS)
		abort();
	b.services = apr_hash_make(b.pool);
	b.owners = apr_hash_make(b.pool);
	if (fleet)
		__atomic_add_fetch(&fleet->references, 1, __ATOMIC_RELAXED);
	else
		build_fleet(&b);
	out->fleet = b.fleet;
	check_section_kinds(&b, !fleet);
	build_services(&b, version);
	build_organisations(&b);
	if (operator_text)
		apply_operator_decisions(&b, operator_text);
	apr_pool_destroy(b.pool);
	if (!errors->count)
		return AZ_OK;
	conf_components_release(out);
	return az_fail(AZ_INVALID, "%s:%d: %s", errors->list[0].file,
		       errors->list[0].line, errors->list[0].reason);
}
