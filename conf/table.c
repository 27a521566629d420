#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <apr_strings.h>

#include "conf/conf.h"

/** The objects that configure the fleet, one service or one shard, and the
 * component that is built from them. */
struct conf_unit {
	struct conf_unit *next;
	const char *name; /**< as in struct conf_key */
	struct conf_object *base;
	struct conf_object *site;
	struct conf_object *operator_decisions;
	uint64_t source_hash; /**< of what `components` was built from */
	struct conf_components components; /**< in force */
	uint64_t next_source_hash;
	struct conf_components next_components; /**< being built */
	bool rebuilt; /**< `next_components` replaces `components` */
};

struct conf_table {
	apr_pool_t *pool;
	char site[CONF_NAME_MAX_BYTES];
	apr_hash_t *by_key;
	uint32_t count;
	uint32_t capacity;
	struct conf_object **objects;
	apr_hash_t *units; /**< by name */
	struct conf_unit *first; /**< of all units */
	struct conf_unit *fleet;
	struct conf_object *leaving_object; /**< CONF_LEAVING_KEY */
	uint32_t leaving_count;
	uint32_t *leaving; /**< sorted addresses of VMs that are leaving */
	uint64_t digest;
	uint64_t store_digest;
	uint64_t buckets[CONF_BUCKETS];
	bool has_snapshot; /**< one was built since the start */
	/** Operator decisions or the list of leaving VMs changed after the last
	 * snapshot. */
	bool operator_changed;
};

struct conf_table *conf_table_create(const char *site)
{
	apr_pool_t *pool;
	struct conf_table *t;

	if (apr_pool_create_unmanaged_ex(&pool, NULL, NULL) != APR_SUCCESS)
		abort();
	t = apr_pcalloc(pool, sizeof(*t));
	t->pool = pool;
	snprintf(t->site, sizeof(t->site), "%s", site);
	t->by_key = apr_hash_make(pool);
	t->units = apr_hash_make(pool);
	return t;
}

static struct conf_text *text_new(const char *data, uint32_t len_bytes)
{
	struct conf_text *x = malloc(sizeof(*x) + len_bytes + 1);

	if (!x)
		abort();
	x->references = 1;
	x->len_bytes = len_bytes;
	memcpy(x->data, data, len_bytes);
	x->data[len_bytes] = '\0';
	return x;
}

static void text_release(struct conf_text *x)
{
	if (x && !--x->references)
		free(x);
}

void conf_table_destroy(struct conf_table *t)
{
	for (struct conf_unit *u = t->first; u; u = u->next)
		conf_components_release(&u->components);
	for (uint32_t i = 0; i < t->count; i++) {
		text_release(t->objects[i]->text);
		text_release(t->objects[i]->in_force_text);
		free(t->objects[i]);
	}
	free(t->objects);
	free(t->leaving);
	apr_pool_destroy(t->pool);
}

uint32_t conf_table_size(const struct conf_table *t)
{
	return t->count;
}

const struct conf_object *conf_table_at(const struct conf_table *t, uint32_t i)
{
	return t->objects[i];
}

const struct conf_object *conf_table_find(const struct conf_table *t,
					  const char *key)
{
	return apr_hash_get(t->by_key, key, APR_HASH_KEY_STRING);
}

static struct conf_unit *get_unit(struct conf_table *t, const char *name)
{
	struct conf_unit *u = apr_hash_get(t->units, name, APR_HASH_KEY_STRING);

	if (u)
		return u;
	u = apr_pcalloc(t->pool, sizeof(*u));
	u->name = apr_pstrdup(t->pool, name);
	u->next = t->first;
	t->first = u;
	apr_hash_set(t->units, u->name, APR_HASH_KEY_STRING, u);
	if (!strcmp(name, "fleet"))
		t->fleet = u;
	return u;
}

/* Links an object with the unit that it configures, if this site uses it. */
static void link_object(struct conf_table *t, struct conf_object *o)
{
	struct conf_key k = conf_key_parse(o->key);

	if (k.kind == OBJECT_PLATFORM)
		t->leaving_object = o;
	if (k.kind == OBJECT_OTHER || k.kind == OBJECT_PLATFORM ||
	    (k.kind == OBJECT_SITE && strcmp(k.site, t->site) != 0))
		return;
	o->unit = get_unit(t, k.unit);
	if (k.kind == OBJECT_BASE)
		o->unit->base = o;
	else if (k.kind == OBJECT_SITE)
		o->unit->site = o;
	else
		o->unit->operator_decisions = o;
}

static struct conf_object *get_object(struct conf_table *t, const char *key)
{
	struct conf_object *o =
		apr_hash_get(t->by_key, key, APR_HASH_KEY_STRING);

	if (o)
		return o;
	if (t->count == t->capacity) {
		t->capacity = t->capacity ? 2 * t->capacity : 64;
		t->objects =
			realloc(t->objects, t->capacity * sizeof(*t->objects));
	}
	o = calloc(1, sizeof(*o));
	if (!o || !t->objects)
		abort();
	o->key = apr_pstrdup(t->pool, key);
	t->objects[t->count++] = o;
	apr_hash_set(t->by_key, o->key, APR_HASH_KEY_STRING, o);
	link_object(t, o);
	return o;
}

/* ---- versions ---- */

uint32_t conf_bucket(const char *key)
{
	return (uint32_t)(hash_string(key) % CONF_BUCKETS);
}

uint64_t conf_version_digest(const char *key, uint64_t version)
{
	return version ?
		       hash_bytes(&version, sizeof(version), hash_string(key)) :
		       0;
}

static int by_ip(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Parses the text of CONF_LEAVING_KEY: a header line, then an address a line.
 * An address has at least 7 bytes, and its line 8. */
static void parse_leaving(struct conf_table *t)
{
	const struct conf_text *x = t->leaving_object->text;
	const char *p = x ? x->data : "";
	struct in_addr in;
	char line[INET_ADDRSTRLEN];

	free(t->leaving);
	t->leaving_count = 0;
	t->leaving = calloc(x ? x->len_bytes / 8 + 1 : 1, sizeof(uint32_t));
	if (!t->leaving)
		abort();
	while (*p) {
		size_t n = strcspn(p, "\n");

		if (n >= 7 && n < sizeof(line)) {
			memcpy(line, p, n);
			line[n] = '\0';
			if (inet_pton(AF_INET, line, &in) == 1)
				t->leaving[t->leaving_count++] =
					ntohl(in.s_addr);
		}
		p += n + (p[n] == '\n');
	}
	qsort(t->leaving, t->leaving_count, sizeof(uint32_t), by_ip);
}

bool conf_table_put(struct conf_table *t, const char *key, uint64_t version,
		    const char *text, uint32_t len_bytes)
{
	const struct conf_object *held = conf_table_find(t, key);
	struct conf_object *o;
	uint64_t change;

	if (conf_key_parse(key).kind == OBJECT_OTHER ||
	    strlen(key) >= CONF_KEY_MAX_BYTES ||
	    len_bytes > CONF_OBJECT_MAX_BYTES ||
	    version <= (held ? held->version : 0))
		return false;
	o = get_object(t, key);
	change = -conf_version_digest(key, o->version);
	text_release(o->text);
	o->version = version;
	o->deleted = !text;
	o->text = text ? text_new(text, len_bytes) : NULL;
	change += conf_version_digest(key, version);
	t->digest += change;
	if (o != t->leaving_object)
		t->store_digest += change;
	t->buckets[conf_bucket(key)] += change;
	if (o == t->leaving_object)
		parse_leaving(t);
	if (o == t->leaving_object ||
	    (o->unit && o->unit->operator_decisions == o))
		t->operator_changed = true;
	return true;
}

void conf_table_put_in_force(struct conf_table *t, const char *key,
			     uint64_t version, const char *text,
			     uint32_t len_bytes)
{
	struct conf_object *o;

	if (t->has_snapshot || conf_key_parse(key).kind == OBJECT_OTHER ||
	    strlen(key) >= CONF_KEY_MAX_BYTES ||
	    len_bytes > CONF_OBJECT_MAX_BYTES)
		return;
	o = get_object(t, key);
	if (version <= o->in_force_version)
		return;
	text_release(o->in_force_text);
	o->in_force_version = version;
	o->in_force_text = text ? text_new(text, len_bytes) : NULL;
}

bool conf_table_request(struct conf_table *t, const char *key, uint64_t version,
			int64_t now_us, int64_t until_us)
{
	const struct conf_object *held = conf_table_find(t, key);
	struct conf_object *o;

	if (conf_key_parse(key).kind == OBJECT_OTHER ||
	    strlen(key) >= CONF_KEY_MAX_BYTES ||
	    version <= (held ? held->version : 0))
		return false;
	o = get_object(t, key);
	if (o->requested_version >= version && now_us < o->requested_until_us)
		return false;
	o->requested_version = version;
	o->requested_until_us = until_us;
	return true;
}

void conf_table_set_store_version(struct conf_table *t, const char *key,
				  uint64_t version)
{
	if (conf_key_parse(key).kind != OBJECT_OTHER &&
	    strlen(key) < CONF_KEY_MAX_BYTES)
		get_object(t, key)->store_version = version;
}

uint32_t conf_table_count_older_in_store(const struct conf_table *t)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < t->count; i++)
		n += t->objects[i]->store_version &&
		     t->objects[i]->store_version < t->objects[i]->version;
	return n;
}

uint64_t conf_table_digest(const struct conf_table *t)
{
	return t->digest;
}

uint64_t conf_table_store_digest(const struct conf_table *t)
{
	return t->store_digest;
}

uint64_t conf_table_bucket(const struct conf_table *t, uint32_t bucket)
{
	return t->buckets[bucket];
}

/* ---- building ---- */

/** One attempt to build a snapshot. */
struct build_attempt {
	struct conf_table *table;
	bool in_force_only; /**< uses the objects in force, not the newest */
	struct conf_errors *errors;
	struct conf_fleet *fleet;
	uint64_t fleet_source_hash;
};

static const struct conf_text *object_text(const struct build_attempt *a,
					   const struct conf_object *o)
{
	if (!o)
		return NULL;
	if (!a->in_force_only)
		return o->text;
	return o->in_force_text;
}

static uint64_t object_version(const struct build_attempt *a,
			       const struct conf_object *o)
{
	if (!o)
		return 0;
	return a->in_force_only ? o->in_force_version : o->version;
}

/* Deleting a base object removes its overlay too. An overlay whose base object
 * never existed is used by itself. */
static bool unit_is_present(const struct build_attempt *a,
			    const struct conf_unit *u)
{
	if (object_version(a, u->base))
		return object_text(a, u->base);
	return object_text(a, u->site);
}

static void read_layer(const struct build_attempt *a, struct ini_doc *d,
		       const struct conf_object *o)
{
	const struct conf_text *x = object_text(a, o);

	if (x)
		ini_doc_read(d, o->key, x->data, a->errors);
}

/* Checks that the unit's document configures its own component and no other. */
static void check_contents(const struct build_attempt *a,
			   const struct conf_unit *u,
			   const struct conf_components *p)
{
	bool service = !strncmp(u->name, "service/", 8);
	bool matches = p->service_count == service;
	char name[16];

	if (service && p->service_count)
		matches = matches &&
			  !strcmp(p->services[0]->service.name, u->name + 8);
	for (uint32_t i = 0; i < CONF_SHARDS; i++) {
		snprintf(name, sizeof(name), "org/%02u", i);
		matches = matches && (!p->shards[i] || !strcmp(name, u->name));
	}
	if (!matches)
		conf_error_add(a->errors, u->name, 0,
			       "holds sections of another object");
}

static bool is_leaving(const struct conf_table *t, uint32_t ip)
{
	return t->leaving_count &&
	       bsearch(&ip, t->leaving, t->leaving_count, sizeof(ip), by_ip);
}

/* Workers on VMs that the platform lists as leaving get no new requests. */
static void mark_leaving(struct conf_components *p, const struct conf_table *t)
{
	for (uint32_t i = 0; i < p->service_count; i++) {
		struct conf_service_bundle *v = p->services[i];

		for (uint32_t w = 0; w < v->service.worker_count; w++)
			if (v->workers[w].admin == WORKER_IN_SERVICE &&
			    is_leaving(t, v->workers[w].ip))
				v->workers[w].admin = WORKER_DRAINING;
	}
}

/* Part of a source hash. It changes only when the VM of one of the unit's
 * workers is added to or removed from the leaving VMs. */
static uint64_t leaving_hash(const struct conf_unit *u,
			     const struct conf_table *t)
{
	uint64_t sum = 0;

	if (!t->leaving_count || !u->components.service_count)
		return 0;
	for (uint32_t w = 0;
	     w < u->components.services[0]->service.worker_count; w++) {
		const struct conf_worker *x =
			&u->components.services[0]->workers[w];

		if (is_leaving(t, x->ip))
			sum += hash_bytes(&x->id, sizeof(x->id), 1);
	}
	return sum;
}

/* Builds the components of a unit if its objects have changed. */
static void build_unit(struct build_attempt *a, struct conf_unit *u)
{
	const struct conf_object *op = u->operator_decisions;
	uint64_t versions[] = { object_version(a, u->base),
				object_version(a, u->site),
				op ? op->version : 0, leaving_hash(u, a->table),
				u == a->table->fleet ? 0 :
						       a->fleet_source_hash };
	uint32_t before = a->errors->count;
	struct ini_doc *d;

	u->next_source_hash = hash_bytes(versions, sizeof(versions), 0);
	u->rebuilt = u->next_source_hash != u->source_hash;
	if (!u->rebuilt)
		return;
	memset(&u->next_components, 0, sizeof(u->next_components));
	if (!unit_is_present(a, u) && u != a->table->fleet)
		return;
	d = ini_doc_create();
	read_layer(a, d, u->base);
	read_layer(a, d, u->site);
	if (a->errors->count == before &&
	    conf_build(d, a->fleet, versions[0],
		       op && op->text ? op->text->data : NULL,
		       &u->next_components, a->errors) == AZ_OK) {
		check_contents(a, u, &u->next_components);
		mark_leaving(&u->next_components, a->table);
	}
	ini_doc_destroy(d);
}

/* The components of a unit that this attempt uses. */
static const struct conf_components *
chosen_components(const struct conf_unit *u)
{
	return u->rebuilt ? &u->next_components : &u->components;
}

static enum az_status assemble(struct build_attempt *a, struct conf **out)
{
	struct conf_table *t = a->table;
	struct conf_components all = { .fleet = a->fleet,
				       .digest = t->store_digest };
	enum az_status s;
	uint32_t n = 0;

	for (struct conf_unit *u = t->first; u; u = u->next)
		n += chosen_components(u)->service_count;
	all.services = calloc(n + 1, sizeof(*all.services));
	if (!all.services)
		abort();
	for (struct conf_unit *u = t->first; u; u = u->next) {
		const struct conf_components *p = chosen_components(u);

		if (p->service_count)
			all.services[all.service_count++] = p->services[0];
		for (uint32_t i = 0; i < CONF_SHARDS; i++)
			if (p->shards[i])
				all.shards[i] = p->shards[i];
	}
	/* A snapshot of the objects in force must not have the digest of the
	 * newest objects, which other daemons report if those are in force. */
	if (a->in_force_only)
		all.digest = ~t->store_digest;
	s = conf_assemble(&all, out, a->errors);
	free(all.services);
	return s;
}

/* If the attempt has succeeded, puts the rebuilt components in force; else
 * drops them. */
static void end_attempt(struct build_attempt *a, bool accepted)
{
	for (struct conf_unit *u = a->table->first; u; u = u->next) {
		if (!u->rebuilt)
			continue;
		conf_components_release(accepted ? &u->components :
						   &u->next_components);
		if (accepted) {
			u->components = u->next_components;
			u->source_hash = u->next_source_hash;
		}
		memset(&u->next_components, 0, sizeof(u->next_components));
		u->rebuilt = false;
	}
}

/* Makes one attempt. Without a fleet (`none`, that is, NULL) the other units
 * are not built. */
static enum az_status try_build(struct build_attempt *a, struct conf **out)
{
	struct conf_table *t = a->table;
	struct conf_fleet *none = NULL;
	enum az_status s = AZ_INVALID;

	get_unit(t, "fleet");
	build_unit(a, t->fleet);
	a->fleet = chosen_components(t->fleet)->fleet;
	a->fleet_source_hash = t->fleet->next_source_hash;
	for (struct conf_unit *u = t->first; u && a->fleet != none; u = u->next)
		if (u != t->fleet)
			build_unit(a, u);
	if (!a->errors->count)
		s = assemble(a, out);
	else
		az_fail(s, "%s:%d: %s", a->errors->list[0].file,
			a->errors->list[0].line, a->errors->list[0].reason);
	end_attempt(a, s == AZ_OK);
	if (s == AZ_OK)
		t->operator_changed = false;
	return s;
}

/* Records that the newest version of every object is in force. */
static void mark_in_force(struct conf_table *t)
{
	t->has_snapshot = true;
	for (uint32_t i = 0; i < t->count; i++) {
		struct conf_object *o = t->objects[i];

		if (o->in_force_version == o->version)
			continue;
		text_release(o->in_force_text);
		o->in_force_version = o->version;
		o->in_force_text = o->text;
		if (o->text)
			o->text->references++;
	}
}

static bool has_in_force(const struct conf_table *t)
{
	for (uint32_t i = 0; i < t->count; i++)
		if (t->objects[i]->in_force_version)
			return true;
	return false;
}

enum az_status conf_table_build(struct conf_table *t, struct conf **out,
				struct conf_errors *errors)
{
	struct conf_errors *ignored;
	struct build_attempt a = { .table = t, .errors = errors };
	enum az_status s;

	*out = NULL;
	errors->count = 0;
	s = try_build(&a, out);
	if (s == AZ_OK) {
		mark_in_force(t);
		return AZ_OK;
	}
	if (!has_in_force(t) || (t->has_snapshot && !t->operator_changed))
		return s;
	ignored = calloc(1, sizeof(*ignored));
	if (!ignored)
		abort();
	a = (struct build_attempt){ .table = t,
				    .in_force_only = true,
				    .errors = ignored };
	if (try_build(&a, out) == AZ_OK)
		t->has_snapshot = true;
	free(ignored);
	return s;
}
