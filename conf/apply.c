#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"

/* Order in which objects are written. Data centres come first, as services
 * refer to them. A route that moves to another service is added there before it
 * is removed, and objects are deleted last, so that a route is never in no
 * service. More reasons are in docs/decisions/configuration.md. */
enum phase {
	PHASE_FLEET,
	PHASE_ROUTES_ADDED, /**< services to which a route is added */
	PHASE_SERVICES,
	PHASE_ORGANISATIONS,
	PHASE_DELETED,
};

enum az_status conf_store_read(struct store *s, struct store_list *out)
{
	enum az_status r = store_list(s, CONF_PREFIX, out);
	struct store_object now;
	uint32_t n = 0;

	if (r != AZ_OK)
		return r;
	for (uint32_t i = 0; i < out->count; i++) {
		if (conf_key_parse(out->objects[i].key).kind == OBJECT_OTHER)
			continue;
		r = store_get(s, out->objects[i].key, &now);
		if (r == AZ_NOT_FOUND)
			continue;
		if (r != AZ_OK) {
			out->count = n;
			store_list_free(out);
			return r;
		}
		out->objects[n++] = now;
	}
	out->count = n;
	return AZ_OK;
}

uint64_t conf_store_digest(const struct store_list *l)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < l->count; i++)
		if (conf_key_parse(l->objects[i].key).kind != OBJECT_OTHER)
			sum += conf_version_digest(l->objects[i].key,
						   l->objects[i].version);
	return sum;
}

uint64_t conf_highest_version(const struct store_list *l)
{
	uint64_t highest = 0;

	for (uint32_t i = 0; i < l->count; i++)
		if (l->objects[i].version > highest)
			highest = l->objects[i].version;
	return highest;
}

/* ---- planning ---- */

static const struct store_object *find_object(const struct store_list *l,
					      const char *key)
{
	for (uint32_t i = 0; i < l->count; i++)
		if (!strcmp(l->objects[i].key, key))
			return &l->objects[i];
	return NULL;
}

/* Text of an object without its header line; "" if deleted. */
static const char *text_without_header(const struct store_object *o)
{
	struct conf_header h;
	const char *text = (const char *)o->value.data;

	if (o->deleted)
		return "";
	if (!conf_header_parse(text, &h))
		return text;
	return strchr(text, '\n') + 1;
}

/* True if `new_text` has a "path" or "methods" line that `old_text` lacks,
 * which shows that a route was added. `line` can hold the longest line that
 * ini.c reads, 1024 bytes. */
static bool adds_route(const char *old_text, const char *new_text)
{
	char line[1100];

	for (const char *p = new_text; *p;) {
		size_t n = strcspn(p, "\n");

		if ((!strncmp(p, "path ", 5) || !strncmp(p, "methods ", 8)) &&
		    n + 2 < sizeof(line)) {
			snprintf(line, sizeof(line), "%.*s\n", (int)n, p);
			if (!strstr(old_text, line))
				return true;
		}
		p += n + (p[n] == '\n');
	}
	return false;
}

static enum phase phase_of(const char *key, const char *old_text,
			   const char *new_text)
{
	struct conf_key k = conf_key_parse(key);

	if (!strcmp(k.unit, "fleet"))
		return PHASE_FLEET;
	if (!strncmp(k.unit, "org/", 4))
		return PHASE_ORGANISATIONS;
	return adds_route(old_text, new_text) ? PHASE_ROUTES_ADDED :
						PHASE_SERVICES;
}

static int by_phase(const void *a, const void *b)
{
	const struct conf_planned_write *x = a;
	const struct conf_planned_write *y = b;

	if (x->phase != y->phase)
		return x->phase < y->phase ? -1 : 1;
	return strcmp(x->key, y->key);
}

static bool is_wanted(const struct conf_split_object *want, uint32_t count,
		      const char *key)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(want[i].key, key))
			return true;
	return false;
}

/* Fills in `s`, a write that replaces `o` (NULL: the object does not exist). */
static struct conf_planned_write *
add_planned_write(struct conf_planned_write *s, const char *key,
		  const struct store_object *o, uint64_t highest_version)
{
	snprintf(s->key, sizeof(s->key), "%s", key);
	s->highest_known_version = highest_version;
	s->text = "";
	if (!o)
		return s;
	s->if_revision = o->revision;
	conf_header_parse((const char *)o->value.data, &s->base);
	return s;
}

/* True if daemons hold a newer version than the store, which happens after the
 * store was restored from a backup. */
static bool is_older_than_known(const struct store_object *o,
				const struct store_list *known, const char *key)
{
	const struct store_object *k = known ? find_object(known, key) : NULL;

	return k && k->version > (o ? o->version : 0);
}

uint32_t conf_plan_writes(const struct store_list *stored,
			  const struct store_list *known, const char *prefix,
			  const struct conf_split_object *want,
			  uint32_t want_count, struct conf_planned_write **out)
{
	uint32_t known_count = known ? known->count : 0;
	struct conf_planned_write *s = calloc(
		want_count + stored->count + known_count + 1, sizeof(*s));
	uint64_t highest = conf_highest_version(stored);
	uint32_t n = 0;

	if (!s)
		abort();
	if (known && conf_highest_version(known) > highest)
		highest = conf_highest_version(known);
	for (uint32_t i = 0; i < want_count; i++) {
		const struct store_object *o = find_object(stored, want[i].key);
		const char *text = (const char *)want[i].text.data;
		struct conf_planned_write *w;

		/* An object written by hand is written again, so that it gets
		 * a version. */
		if (o && !o->deleted && !strcmp(text_without_header(o), text) &&
		    o->version != CONF_VERSION_UNMARKED &&
		    !is_older_than_known(o, known, o->key))
			continue;
		w = add_planned_write(&s[n++], want[i].key, o, highest);
		w->text = text;
		w->phase =
			phase_of(w->key, o ? text_without_header(o) : "", text);
	}
	for (uint32_t i = 0; i < stored->count + known_count; i++) {
		const char *key = i < stored->count ?
					  stored->objects[i].key :
					  known->objects[i - stored->count].key;
		const struct store_object *o = find_object(stored, key);
		struct conf_planned_write *w;

		if (strncmp(key, prefix, strlen(prefix)) != 0 ||
		    is_wanted(want, want_count, key) ||
		    (i >= stored->count && o) ||
		    (o && o->deleted && !is_older_than_known(o, known, key)))
			continue;
		w = add_planned_write(&s[n++], key, o, highest);
		w->deleted = true;
		w->phase = PHASE_DELETED;
	}
	qsort(s, n, sizeof(*s), by_phase);
	*out = s;
	return n;
}

enum az_status conf_perform_write(struct store *s,
				  const struct conf_planned_write *w,
				  uint64_t write_id, struct store_write *out)
{
	*out = (struct store_write){
		.key = w->key,
		.if_revision = w->if_revision,
		.base = w->base,
		.write_id = write_id,
		.version = conf_next_version(w->highest_known_version,
					     conf_wall_ms()),
		.deleted = w->deleted,
		.text = w->text,
	};
	return store_update(s, out);
}

/* ---- checking ---- */

/* Builds the configuration of a site with the code that daemons use. The
 * version of the planned writes, 2, is higher than that of the stored objects,
 * 1, so that they replace them. */
static enum az_status check_site(const char *site,
				 const struct store_list *stored,
				 const struct conf_planned_write *writes,
				 uint32_t count, struct conf_errors *errors)
{
	struct conf_table *t = conf_table_create(site);
	enum az_status r;
	struct conf *c;

	for (uint32_t i = 0; i < stored->count; i++) {
		const struct store_object *o = &stored->objects[i];

		conf_table_put(t, o->key, 1,
			       o->deleted ? NULL : (char *)o->value.data,
			       o->value.len_bytes);
	}
	for (uint32_t i = 0; i < count; i++)
		conf_table_put(t, writes[i].key, 2,
			       writes[i].deleted ? NULL : writes[i].text,
			       (uint32_t)strlen(writes[i].text));
	r = conf_table_build(t, &c, errors);
	conf_release(c);
	conf_table_destroy(t);
	return r;
}

enum az_status conf_check_sites(const struct store_list *stored,
				const struct conf_planned_write *writes,
				uint32_t count, struct conf_errors *errors)
{
	enum az_status r = check_site("", stored, writes, count, errors);
	char(*sites)[CONF_NAME_MAX_BYTES];
	uint32_t site_count = 0;

	sites = calloc(stored->count + count + 1, sizeof(*sites));
	if (!sites)
		abort();
	for (uint32_t i = 0; i < stored->count + count && r == AZ_OK; i++) {
		const char *key = i < stored->count ?
					  stored->objects[i].key :
					  writes[i - stored->count].key;
		struct conf_key k = conf_key_parse(key);
		uint32_t at = 0;

		if (k.kind != OBJECT_SITE)
			continue;
		while (at < site_count && strcmp(sites[at], k.site) != 0)
			at++;
		if (at < site_count)
			continue;
		strcpy(sites[site_count++], k.site);
		r = check_site(k.site, stored, writes, count, errors);
	}
	free(sites);
	return r;
}

/* ---- operator decisions ---- */

enum worker_admin conf_get_worker_admin(const char *text, const char *worker)
{
	enum worker_admin admin = WORKER_IN_SERVICE;
	struct conf_errors *errors = calloc(1, sizeof(*errors));
	struct ini_doc *d = ini_doc_create();
	const struct ini_section *s;
	const struct ini_key *k;

	if (!errors)
		abort();
	if (text)
		ini_doc_read(d, "operator", text, errors);
	s = ini_doc_find(d, "worker", worker);
	k = s ? ini_section_key(s, "admin") : NULL;
	if (k && !strcmp(k->value, "draining"))
		admin = WORKER_DRAINING;
	else if (k && !strcmp(k->value, "ejected"))
		admin = WORKER_EJECTED;
	ini_doc_destroy(d);
	free(errors);
	return admin;
}

static void write_operator_decision(struct buf *out, const char *worker,
				    const char *admin)
{
	buf_printf(out, "[worker %s]\nadmin = %s\n", worker, admin);
}

void conf_set_worker_admin(const char *text, const char *worker,
			   enum worker_admin admin, struct buf *out)
{
	static const char *const names[] = { NULL, "draining", "ejected" };
	struct conf_errors *errors = calloc(1, sizeof(*errors));
	struct ini_doc *d = ini_doc_create();

	if (!errors)
		abort();
	if (text)
		ini_doc_read(d, "operator", text, errors);
	for (const struct ini_section *s = d->first; s; s = s->next) {
		const struct ini_key *k = ini_section_key(s, "admin");

		if (!strcmp(s->kind, "worker") && k &&
		    strcmp(s->name, worker) != 0)
			write_operator_decision(out, s->name, k->value);
	}
	if (names[admin])
		write_operator_decision(out, worker, names[admin]);
	buf_append(out, "", 1);
	out->len_bytes--;
	ini_doc_destroy(d);
	free(errors);
}
