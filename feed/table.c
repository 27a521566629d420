/**
 * @file
 * The table of workers that the source has delivered.
 */
#include <endian.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "feed/feed.h"

struct feed_table *feed_table_create(void)
{
	struct feed_table *t = az_alloc(sizeof(*t));

	if (apr_pool_create_unmanaged_ex(&t->pool, NULL, NULL) != APR_SUCCESS)
		abort();
	t->by_name = apr_hash_make(t->pool);
	return t;
}

void feed_table_destroy(struct feed_table *t)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, t->by_name); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	apr_pool_destroy(t->pool);
	free(t);
}

uint32_t feed_table_size(const struct feed_table *t)
{
	return apr_hash_count(t->by_name);
}

static struct feed_entry *find(const struct feed_table *t, const char *name)
{
	return apr_hash_get(t->by_name, name, APR_HASH_KEY_STRING);
}

const struct feed_worker *feed_table_find(const struct feed_table *t,
					  const char *name)
{
	const struct feed_entry *e = find(t, name);

	return e ? &e->worker : NULL;
}

uint64_t feed_worker_hash(const struct feed_worker *w)
{
	const uint64_t numbers[] = {
		htobe64(w->ip),	     htobe64(w->port), htobe64(w->slots),
		htobe64(w->leaving), htobe64(w->boot), htobe64(w->revision),
	};
	uint64_t hash = hash_bytes(numbers, sizeof(numbers), 0);

	hash = hash_bytes(w->name, strlen(w->name) + 1, hash);
	hash = hash_bytes(w->service, strlen(w->service) + 1, hash);
	return hash_bytes(w->data_centre, strlen(w->data_centre) + 1, hash);
}

/* To be called after each change of an entry. */
static void count_entry(struct feed_table *t, struct feed_entry *e)
{
	t->hash -= e->hash;
	e->hash = e->expires_us ? 0 : feed_worker_hash(&e->worker);
	t->hash += e->hash;
}

static void drop_entry(struct feed_table *t, struct feed_entry *e)
{
	t->hash -= e->hash;
	apr_hash_set(t->by_name, e->worker.name, APR_HASH_KEY_STRING, NULL);
	free(e);
}

/* True if a snapshot would be the same with either entry. cold_ms is not
 * compared: it decreases with each revision, and only its value in the first
 * entry of a `boot` is used. */
static bool is_same(const struct feed_worker *a, const struct feed_worker *b)
{
	return !strcmp(a->service, b->service) &&
	       !strcmp(a->data_centre, b->data_centre) && a->ip == b->ip &&
	       a->port == b->port && a->slots == b->slots &&
	       a->leaving == b->leaving && a->boot == b->boot;
}

bool feed_table_put(struct feed_table *t, const struct feed_worker *w)
{
	struct feed_entry *e = find(t, w->name);
	uint32_t cold_ms = w->cold_ms;
	bool changed;

	if (!e) {
		e = az_alloc(sizeof(*e));
		e->worker = *w;
		apr_hash_set(t->by_name, e->worker.name, APR_HASH_KEY_STRING,
			     e);
		count_entry(t, e);
		return true;
	}
	if (w->revision < e->worker.revision)
		return false;
	changed = !is_same(&e->worker, w);
	if (e->worker.boot == w->boot)
		cold_ms = e->worker.cold_ms;
	e->worker = *w;
	e->worker.cold_ms = cold_ms;
	e->expires_us = 0;
	count_entry(t, e);
	return changed;
}

bool feed_table_remove(struct feed_table *t, const char *name)
{
	struct feed_entry *e = find(t, name);

	if (e)
		drop_entry(t, e);
	return e != NULL;
}

/* Workers of another daemon's state keep the time at which they are dropped. */
static void set_expiry(struct feed_table *t, const struct feed_worker *w,
		       int64_t now_us)
{
	struct feed_entry *e = find(t, w->name);

	e->worker.expires_ms = 0;
	if (w->expires_ms) {
		e->expires_us = now_us + w->expires_ms * US_PER_MS;
		count_entry(t, e);
	}
}

static bool is_in_list(const struct feed_worker *list, uint32_t count,
		       const char *name)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(list[i].name, name))
			return true;
	return false;
}

/* True if so many of a service's workers are missing from the source's list
 * that their entries have probably lapsed. */
static bool have_lapsed(struct feed_entry *const *all, uint32_t count,
			const char *service)
{
	uint32_t known = 0;
	uint32_t missing = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(all[i]->worker.service, service) != 0)
			continue;
		known++;
		missing += !all[i]->in_new_list;
	}
	return missing * 100 > known * FEED_LAPSED_ABOVE_PERCENT;
}

/* An array of all entries, as iterations over the hash table must not be
 * nested. */
static struct feed_entry **list_entries(const struct feed_table *t)
{
	struct feed_entry **all =
		az_alloc((feed_table_size(t) + 1) * sizeof(*all));
	uint32_t n = 0;
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, t->by_name); i; i = apr_hash_next(i))
		all[n++] = apr_hash_this_val(i);
	return all;
}

bool feed_table_replace(struct feed_table *t, const struct feed_worker *list,
			uint32_t count, uint64_t revision, int64_t now_us)
{
	bool in_grace = t->source_recovered_us &&
			now_us < t->source_recovered_us + FEED_MISSING_GRACE_US;
	bool changed = false;
	struct feed_entry **all;
	uint32_t n;

	for (uint32_t i = 0; i < count; i++) {
		changed |= feed_table_put(t, &list[i]);
		set_expiry(t, &list[i], now_us);
	}
	all = list_entries(t);
	n = feed_table_size(t);
	for (uint32_t i = 0; i < n; i++) {
		all[i]->in_new_list =
			is_in_list(list, count, all[i]->worker.name);
		if (!all[i]->in_new_list && !all[i]->expires_us && revision)
			t->missing_revision = revision;
	}
	for (uint32_t i = 0; in_grace && i < n; i++)
		if (!all[i]->in_new_list && !all[i]->expires_us &&
		    have_lapsed(all, n, all[i]->worker.service)) {
			all[i]->expires_us =
				t->source_recovered_us + FEED_MISSING_GRACE_US;
			count_entry(t, all[i]);
		}
	for (uint32_t i = 0; i < n; i++)
		if (!all[i]->in_new_list && !all[i]->expires_us) {
			drop_entry(t, all[i]);
			changed = true;
		}
	free(all);
	return changed;
}

void feed_table_source_unreachable(struct feed_table *t)
{
	t->source_unreachable = true;
}

void feed_table_source_recovered(struct feed_table *t, int64_t now_us)
{
	if (!t->source_unreachable)
		return;
	t->source_unreachable = false;
	t->source_recovered_us = now_us;
}

bool feed_table_expire(struct feed_table *t, int64_t now_us, int64_t *next_us)
{
	bool dropped = false;
	apr_hash_index_t *i;

	*next_us = INT64_MAX;
	for (i = apr_hash_first(NULL, t->by_name); i; i = apr_hash_next(i)) {
		struct feed_entry *e = apr_hash_this_val(i);

		if (!e->expires_us)
			continue;
		if (e->expires_us <= now_us) {
			drop_entry(t, e);
			dropped = true;
		} else if (e->expires_us < *next_us) {
			*next_us = e->expires_us;
		}
	}
	return dropped;
}

/* Orders by address, and the entries of one address by revision, newest first.
 */
static int by_address(const void *a, const void *b)
{
	const struct feed_worker *x = *(const struct feed_worker *const *)a;
	const struct feed_worker *y = *(const struct feed_worker *const *)b;

	if (x->ip != y->ip)
		return x->ip < y->ip ? -1 : 1;
	if (x->port != y->port)
		return x->port < y->port ? -1 : 1;
	if (x->revision != y->revision)
		return x->revision > y->revision ? -1 : 1;
	return strcmp(x->name, y->name);
}

static bool has_section(const char *text, const char *kind, const char *name)
{
	char heading[CONF_NAME_MAX_BYTES + 16];

	snprintf(heading, sizeof(heading), "[%s %s]\n", kind, name);
	return strstr(text, heading) != NULL;
}

/* A worker of an unknown service or data centre would make the whole
 * configuration invalid. */
static bool is_usable(const char *text, const struct feed_worker *w)
{
	return has_section(text, "service", w->service) &&
	       has_section(text, "data_centre", w->data_centre);
}

static void print_worker(const struct feed_worker *w, struct buf *out)
{
	buf_printf(out, "[worker %s/%s]\naddress = %u.%u.%u.%u:%u\n",
		   w->service, w->name, w->ip >> 24, w->ip >> 16 & 255,
		   w->ip >> 8 & 255, w->ip & 255, w->port);
	buf_printf(out,
		   "data_centre = %s\nslots = %u\nboot = %llu\n"
		   "cold_ms = %u\nleaving = %s\n",
		   w->data_centre, w->slots, (unsigned long long)w->boot,
		   w->cold_ms, w->leaving ? "yes" : "no");
}

void feed_table_print(const struct feed_table *t, const char *text,
		      struct buf *out)
{
	uint32_t count = 0;
	const struct feed_worker **list =
		az_alloc((feed_table_size(t) + 1) * sizeof(*list));
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, t->by_name); i; i = apr_hash_next(i))
		list[count++] =
			&((struct feed_entry *)apr_hash_this_val(i))->worker;
	qsort(list, count, sizeof(*list), by_address);
	for (uint32_t n = 0; n < count; n++) {
		bool older = n && list[n]->ip == list[n - 1]->ip &&
			     list[n]->port == list[n - 1]->port;

		if (!older && is_usable(text, list[n]))
			print_worker(list[n], out);
	}
	free(list);
}
