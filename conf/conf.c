#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_thread_mutex.h>

#include "conf/conf.h"

struct conf {
	int32_t references; /**< atomic */
	/** Its array of services is sorted by name. */
	struct conf_components components;
	/** The masks are the sizes of the following hash tables, powers of two,
	 * less 1. */
	uint32_t service_mask;
	/** By id, linear probing: index in components.services + 1; 0: empty.
	 */
	uint32_t *services;
	uint32_t route_mask;
	const struct conf_route **routes; /**< by path, linear probing */
	uint32_t cell_mask;
	const struct conf_cell **cells; /**< by id, linear probing */
};

static void *alloc_zeroed(size_t count, size_t size)
{
	void *p = calloc(count, size);

	if (!p)
		abort();
	return p;
}

/* Mask for indexes into a hash table that holds `count` entries and is at most
 * two thirds full. */
static uint32_t table_mask(uint32_t count)
{
	uint32_t size = 2;

	while (size < count + count / 2 + 1)
		size *= 2;
	return size - 1;
}

struct conf *conf_retain(struct conf *c)
{
	__atomic_add_fetch(&c->references, 1, __ATOMIC_RELAXED);
	return c;
}

void conf_release(struct conf *c)
{
	if (!c || __atomic_sub_fetch(&c->references, 1, __ATOMIC_ACQ_REL))
		return;
	conf_components_release(&c->components);
	free(c->services);
	free(c->routes);
	free(c->cells);
	free(c);
}

/* ---- assembling a snapshot ---- */

static void retain_components(const struct conf_components *p,
			      struct conf_components *out)
{
	*out = *p;
	out->services =
		alloc_zeroed(p->service_count + 1, sizeof(*out->services));
	for (uint32_t i = 0; i < p->service_count; i++) {
		out->services[i] = p->services[i];
		__atomic_add_fetch(&p->services[i]->references, 1,
				   __ATOMIC_RELAXED);
	}
	for (uint32_t i = 0; i < CONF_SHARDS; i++)
		if (p->shards[i])
			__atomic_add_fetch(&p->shards[i]->references, 1,
					   __ATOMIC_RELAXED);
	if (p->fleet)
		__atomic_add_fetch(&p->fleet->references, 1, __ATOMIC_RELAXED);
}

static int by_name(const void *a, const void *b)
{
	const struct conf_service_bundle *const *x = a;
	const struct conf_service_bundle *const *y = b;

	return strcmp((*x)->service.name, (*y)->service.name);
}

static void index_service(struct conf *c, uint32_t i,
			  struct conf_errors *errors)
{
	const struct conf_service *s = &c->components.services[i]->service;
	uint32_t at = (uint32_t)s->id & c->service_mask;

	for (; c->services[at]; at = (at + 1) & c->service_mask)
		if (c->components.services[c->services[at] - 1]->service.id ==
		    s->id)
			conf_error_add(errors, s->name, 0,
				       "service %s has the same name or hash "
				       "as another one",
				       s->name);
	c->services[at] = i + 1;
}

static void index_cell(struct conf *c, const struct conf_cell *cell,
		       struct conf_errors *errors)
{
	uint32_t at = (uint32_t)cell->id & c->cell_mask;

	for (; c->cells[at]; at = (at + 1) & c->cell_mask)
		if (c->cells[at]->id == cell->id)
			conf_error_add(errors, cell->service->name, 0,
				       "a cell of service %s has the same hash "
				       "as another one",
				       cell->service->name);
	c->cells[at] = cell;
}

/* True if the comma-separated list `methods` contains the `len` bytes at
 * `method`. */
static bool has_method(const char *methods, const char *method, size_t len)
{
	const char *p = methods;

	if (!strcmp(methods, "*"))
		return true;
	while (*p) {
		size_t n = strcspn(p, ",");

		if (n == len && !memcmp(p, method, n))
			return true;
		p += n + (p[n] == ',');
	}
	return false;
}

static bool methods_overlap(const char *a, const char *b)
{
	if (!strcmp(a, "*") || !strcmp(b, "*"))
		return true;
	while (*a) {
		size_t n = strcspn(a, ",");

		if (has_method(b, a, n))
			return true;
		a += n + (a[n] == ',');
	}
	return false;
}

static uint64_t path_hash(const char *path, size_t len)
{
	return hash_bytes(path, len, 0);
}

static void index_route(struct conf *c, const struct conf_route *r,
			struct conf_errors *errors)
{
	uint32_t at =
		(uint32_t)path_hash(r->path, strlen(r->path)) & c->route_mask;

	for (; c->routes[at]; at = (at + 1) & c->route_mask)
		if (!strcmp(c->routes[at]->path, r->path) &&
		    c->routes[at]->host == r->host &&
		    methods_overlap(c->routes[at]->methods, r->methods))
			conf_error_add(errors, r->service->name, 0,
				       "routes %s and %s have the same path "
				       "and method",
				       c->routes[at]->name, r->name);
	c->routes[at] = r;
}

static void build_indexes(struct conf *c, struct conf_errors *errors)
{
	uint32_t routes = 0;
	uint32_t cells = 0;

	for (uint32_t i = 0; i < c->components.service_count; i++) {
		routes += c->components.services[i]->route_count;
		cells += c->components.services[i]->service.cell_count;
	}
	c->service_mask = table_mask(c->components.service_count);
	c->services = alloc_zeroed(c->service_mask + 1, sizeof(*c->services));
	c->route_mask = table_mask(routes);
	c->routes = alloc_zeroed(c->route_mask + 1, sizeof(*c->routes));
	c->cell_mask = table_mask(cells);
	c->cells = alloc_zeroed(c->cell_mask + 1, sizeof(*c->cells));
	for (uint32_t i = 0; i < c->components.service_count; i++) {
		const struct conf_service_bundle *p = c->components.services[i];

		index_service(c, i, errors);
		for (uint32_t j = 0; j < p->service.cell_count; j++)
			index_cell(c, &p->service.cells[j], errors);
		for (uint32_t j = 0; j < p->route_count; j++)
			index_route(c, &p->routes[j], errors);
	}
}

enum az_status conf_assemble(const struct conf_components *p, struct conf **out,
			     struct conf_errors *errors)
{
	struct conf *c = alloc_zeroed(1, sizeof(*c));

	c->references = 1;
	retain_components(p, &c->components);
	qsort(c->components.services, c->components.service_count,
	      sizeof(*c->components.services), by_name);
	build_indexes(c, errors);
	*out = errors->count ? NULL : c;
	if (!errors->count)
		return AZ_OK;
	conf_release(c);
	return az_fail(AZ_INVALID, "%s:%d: %s", errors->list[0].file,
		       errors->list[0].line, errors->list[0].reason);
}

struct conf *conf_empty(void)
{
	struct conf_components none = { 0 };
	struct conf_errors errors = { 0 };
	struct conf *c;

	conf_assemble(&none, &c, &errors);
	return c;
}

enum az_status conf_parse(const char *base_name, const char *base,
			  const char *overlay_name, const char *overlay,
			  struct conf **out, struct conf_errors *errors)
{
	struct ini_doc *d = ini_doc_create();
	struct conf_components components;
	enum az_status s;

	*out = NULL;
	errors->count = 0;
	ini_doc_read(d, base_name, base, errors);
	if (overlay)
		ini_doc_read(d, overlay_name, overlay, errors);
	s = conf_build(d, NULL, 0, NULL, &components, errors);
	ini_doc_destroy(d);
	if (s != AZ_OK)
		return s;
	components.digest = hash_string(base);
	if (overlay)
		components.digest =
			hash_bytes(overlay, strlen(overlay), components.digest);
	s = conf_assemble(&components, out, errors);
	conf_components_release(&components);
	return s;
}

static char *read_file(const char *path, struct conf_errors *errors)
{
	FILE *f = fopen(path, "r");
	struct buf b = { 0 };
	char chunk[65536];
	size_t n;

	if (!f) {
		conf_error_add(errors, path, 0, "cannot be opened");
		return NULL;
	}
	while ((n = fread(chunk, 1, sizeof(chunk), f)))
		buf_append(&b, chunk, (uint32_t)n);
	if (ferror(f))
		conf_error_add(errors, path, 0, "cannot be read");
	if (b.data && memchr(b.data, '\0', b.len_bytes))
		conf_error_add(errors, path, 0, "has a zero byte");
	fclose(f);
	buf_append(&b, "", 1);
	return (char *)b.data;
}

enum az_status conf_load_files(const char *base_path, const char *overlay_path,
			       struct conf **out, struct conf_errors *errors)
{
	enum az_status s = AZ_IO;
	char *overlay = NULL;
	char *base;

	*out = NULL;
	errors->count = 0;
	base = read_file(base_path, errors);
	if (overlay_path)
		overlay = read_file(overlay_path, errors);
	if (errors->count)
		az_fail(s, "%s: %s", errors->list[0].file,
			errors->list[0].reason);
	else
		s = conf_parse(base_path, base, overlay_path, overlay, out,
			       errors);
	free(base);
	free(overlay);
	return s;
}

/* ---- lookups ---- */

/** The path of a request without its query, in the form in which it is compared
 * with the paths of routes. */
struct normalised_path {
	char text[CONF_PATH_MAX_BYTES];
	/** Length of each prefix that ends with a whole segment. */
	uint32_t segment_ends[CONF_PATH_SEGMENTS_MAX + 1];
	uint32_t count; /**< of segment_ends */
	uint32_t len; /**< of `text` */
};

static int32_t hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c |= 0x20;
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Reads the next character of a path. Escapes of unreserved characters (RFC
 * 3986) are decoded, as workers treat both forms alike; for other escapes the
 * result is '%' and the digits follow. */
static char next_char(const char **p)
{
	const char *s = *p;
	int32_t hi = s[0] == '%' ? hex_digit(s[1]) : -1;
	int32_t lo = hi >= 0 ? hex_digit(s[2]) : -1;
	char c;

	(*p)++;
	if (lo < 0)
		return *s;
	c = (char)(hi << 4 | lo);
	if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	    (c >= '0' && c <= '9') || (c && strchr("-._~", c))) {
		*p += 2;
		return c;
	}
	return '%';
}

/* False for a path that a worker may resolve to a different one: with an empty
 * segment, or a segment "." or "..", also next to an escaped '/' or '\'. Such a
 * path could match an idempotent route here, yet reach a handler in the worker
 * that is not idempotent. */
static bool normalise_path(struct normalised_path *o, const char *path)
{
	uint32_t segment = 0; /* bytes of the current segment so far */
	uint32_t dots = 0; /* how many of them are '.' */
	uint32_t n = 0;
	const char *p = path;

	if (*p != '/')
		return false;
	o->count = 0;
	while (*p && *p != '?' && *p != '#') {
		const char *at = p;
		char c = next_char(&p);
		bool slash = c == '/' || c == '\\';

		/* An escaped slash ends a segment for the checks below. It is
		 * copied as '%' alone: no route's path contains '%', so the
		 * rest of the escape makes no difference. */
		if (c == '%' && (!strncasecmp(at, "%2f", 3) ||
				 !strncasecmp(at, "%5c", 3))) {
			slash = true;
			p = at + 3;
		}
		if (slash && segment == dots && segment && segment <= 2)
			return false;
		if (c == '/' && at != path && !segment)
			return false;
		if (c == '/' && o->count <= CONF_PATH_SEGMENTS_MAX &&
		    n < sizeof(o->text))
			o->segment_ends[o->count++] = n;
		segment = slash ? 0 : segment + 1;
		dots = slash ? 0 : dots + (c == '.');
		if (n < sizeof(o->text))
			o->text[n++] = c;
	}
	if (segment == dots && segment && segment <= 2)
		return false;
	if (segment && o->count <= CONF_PATH_SEGMENTS_MAX &&
	    n < sizeof(o->text))
		o->segment_ends[o->count++] = n;
	o->len = n;
	return true;
}

uint64_t conf_host_id(const char *host)
{
	char name[256];
	size_t n = 0;

	if (!host)
		return 0;
	for (; host[n] && host[n] != ':' && n < sizeof(name) - 1; n++)
		name[n] = (char)tolower((unsigned char)host[n]);
	name[n] = '\0';
	return n ? hash_string(name) : 0;
}

/** A lookup of a route. */
struct route_query {
	uint64_t host;
	const char *method;
	size_t method_bytes;
	struct normalised_path path;
	/** A route matches the path, perhaps not the method; no shorter prefix
	 * is tried then. */
	bool path_found;
};

/* Finds a route whose path is the first `end` bytes of the request's path. A
 * route of the request's host is preferred to one of any host. */
static const struct conf_route *find_exact(const struct conf *c,
					   struct route_query *q, uint32_t end)
{
	/* `end` is 0 for the root, whose path is "/". */
	uint32_t len = end ? end : 1;
	uint32_t at = (uint32_t)path_hash(q->path.text, len) & c->route_mask;
	const struct conf_route *any = NULL;

	for (; c->routes[at]; at = (at + 1) & c->route_mask) {
		const struct conf_route *r = c->routes[at];

		if (strncmp(r->path, q->path.text, len) != 0 || r->path[len] ||
		    (r->host && r->host != q->host) ||
		    (r->below && end >= q->path.len))
			continue;
		q->path_found = true;
		if (!has_method(r->methods, q->method, q->method_bytes))
			continue;
		if (r->host)
			return r;
		any = r;
	}
	return any;
}

const struct conf_route *conf_find_route(const struct conf *c, const char *host,
					 const char *method, const char *path,
					 enum error_kind *error)
{
	struct route_query q = {
		.host = conf_host_id(host),
		.method = method,
		.method_bytes = strlen(method),
	};
	const struct conf_route *r;

	*error = ERR_UNKNOWN_ROUTE;
	if (!normalise_path(&q.path, path))
		return NULL;
	for (uint32_t i = q.path.count; i-- > 0 && !q.path_found;) {
		r = find_exact(c, &q, q.path.segment_ends[i]);
		if (r) {
			*error = ERR_NONE;
			return r;
		}
	}
	if (q.path_found)
		*error = ERR_METHOD_NOT_ALLOWED;
	return NULL;
}

const struct conf_service *conf_route_service(const struct conf *c,
					      const struct conf_route *r,
					      uint64_t random)
{
	uint64_t sum = 0;

	for (uint8_t i = 0; i < r->split_count; i++)
		sum += r->split[i].weight;
	if (!sum)
		return r->service;
	random %= sum;
	for (uint8_t i = 0; i < r->split_count; i++) {
		if (random < r->split[i].weight)
			return conf_find_service_id(c, r->split[i].service_id);
		random -= r->split[i].weight;
	}
	return r->service;
}

const struct conf_limits *conf_limits(const struct conf *c)
{
	static const struct conf_limits defaults = {
		.header_bytes = REQUEST_HEADERS_MAX_BYTES,
		.body_bytes = REQUEST_BODY_MAX_BYTES,
		.header_timeout_ms = 10000,
		.idle_timeout_ms = 30000,
	};

	return c && c->components.fleet ? &c->components.fleet->limits :
					  &defaults;
}

const struct conf_service *conf_find_service_id(const struct conf *c,
						uint64_t id)
{
	uint32_t at = (uint32_t)id & c->service_mask;

	for (; c->services[at]; at = (at + 1) & c->service_mask) {
		const struct conf_service *s =
			&c->components.services[c->services[at] - 1]->service;

		if (s->id == id)
			return s;
	}
	return NULL;
}

const struct conf_service *conf_find_service(const struct conf *c,
					     const char *name)
{
	uint64_t id = hash_string(name);
	uint32_t at = (uint32_t)id & c->service_mask;

	for (; c->services[at]; at = (at + 1) & c->service_mask) {
		const struct conf_service *s =
			&c->components.services[c->services[at] - 1]->service;

		if (s->id == id && !strcmp(s->name, name))
			return s;
	}
	return NULL;
}

const struct conf_organisation *conf_find_organisation(const struct conf *c,
						       const char *name)
{
	const struct conf_shard *s = c->components.shards[conf_shard_of(name)];
	uint64_t id = hash_string(name);
	uint32_t at;

	if (!s)
		return NULL;
	at = (uint32_t)(id / CONF_SHARDS) & s->mask;
	for (; s->table[at]; at = (at + 1) & s->mask) {
		const struct conf_organisation *o = &s->list[s->table[at] - 1];

		if (o->id == id && !strcmp(o->name, name))
			return o;
	}
	return NULL;
}

const struct conf_cell *conf_find_cell(const struct conf *c, uint64_t id)
{
	uint32_t at = (uint32_t)id & c->cell_mask;

	for (; c->cells[at]; at = (at + 1) & c->cell_mask)
		if (c->cells[at]->id == id)
			return c->cells[at];
	return NULL;
}

uint32_t conf_service_count(const struct conf *c)
{
	return c->components.service_count;
}

const struct conf_service *conf_service_at(const struct conf *c, uint32_t i)
{
	return i < c->components.service_count ?
		       &c->components.services[i]->service :
		       NULL;
}

uint64_t conf_digest(const struct conf *c)
{
	return c->components.digest;
}

/* ---- the current snapshot ---- */

struct conf_current {
	apr_thread_mutex_t *lock;
	struct conf *conf;
};

static apr_status_t release_current(void *data)
{
	struct conf_current *cur = data;

	conf_release(cur->conf);
	return APR_SUCCESS;
}

struct conf_current *conf_current_create(apr_pool_t *pool)
{
	struct conf_current *cur = apr_pcalloc(pool, sizeof(*cur));

	if (apr_thread_mutex_create(&cur->lock, APR_THREAD_MUTEX_DEFAULT,
				    pool) != APR_SUCCESS)
		abort();
	cur->conf = conf_empty();
	apr_pool_cleanup_register(pool, cur, release_current,
				  apr_pool_cleanup_null);
	return cur;
}

struct conf *conf_current_get(struct conf_current *cur)
{
	struct conf *c;

	apr_thread_mutex_lock(cur->lock);
	c = conf_retain(cur->conf);
	apr_thread_mutex_unlock(cur->lock);
	return c;
}

void conf_current_set(struct conf_current *cur, struct conf *c)
{
	struct conf *old;

	apr_thread_mutex_lock(cur->lock);
	old = cur->conf;
	cur->conf = c;
	apr_thread_mutex_unlock(cur->lock);
	conf_release(old);
}
