#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <apr_strings.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>

#include "conf/conf.h"

/* Objects are passed to the sink in batches, so that the first are in use
 * before the last have been read. */
#define BATCH_OBJECTS 64
/* Interval of full lists. They find changes that a watch has missed because the
 * store was restored from a backup. */
#define LIST_INTERVAL_US (60 * US_PER_S)
/* An equal revision does not prove that the object read earlier is the one in
 * the store now: a restored store uses the same revisions again. After each
 * failure of the store, objects with an unchanged revision are therefore read
 * again, a few at a time, so that the watch goes on and all watchers of a large
 * fleet together stay far below the store's rate limits. */
#define RECHECK_OBJECTS 32
#define RECHECK_WAIT_MS 1000
/* With each full list, one of this many parts of the objects with an unchanged
 * revision is read again, in case a restore did not show as a failure. */
#define RECHECK_PARTS 64
/* A replica of the platform's VM list may lag and answer with a lower revision.
 * If this many reads in a row do so, the list was restored and is accepted. */
#define VMS_BEHIND_READS 5

/** State of an object in the store, as read last. */
struct store_entry {
	uint64_t revision; /**< 0: not read yet */
	bool recheck; /**< must be read again */
};

struct conf_watch {
	struct store *store;
	struct conf_watch_sink *sink;
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *changed; /**< of `watching` and `stopping` */
	apr_thread_t *thread;
	bool watching;
	bool stopping;
	/* The following are used by the thread only. */
	uint64_t revision; /**< where the watch goes on; 0: list first */
	int64_t listed_us; /**< time of the last list */
	apr_pool_t *entry_pool;
	apr_hash_t *entries; /**< key to struct store_entry */
	uint32_t recheck_part; /**< of RECHECK_PARTS, the next one */
	uint32_t rechecks; /**< entries with `recheck` */
	bool uncertain; /**< a call has failed since the last list */
	/** Revision of the VM list read last; it is read again only if it has
	 * changed. 0: read it in any case. */
	uint64_t vms_revision;
	uint32_t vms_behind; /**< VM lists ignored in a row */
	uint32_t vms_interval_ms;
	int64_t vms_us; /**< time of the last read of the VM list */
	uint32_t failures; /**< consecutive */
};

struct conf_watch *conf_watch_create(const char *url, uint32_t vms_interval_ms,
				     struct conf_watch_sink *sink,
				     apr_pool_t *pool)
{
	struct conf_watch *w = apr_pcalloc(pool, sizeof(*w));

	w->store = store_create(url);
	w->sink = sink;
	w->vms_interval_ms = vms_interval_ms;
	w->uncertain = true;
	if (apr_pool_create_unmanaged_ex(&w->entry_pool, NULL, NULL) !=
	    APR_SUCCESS)
		abort();
	w->entries = apr_hash_make(w->entry_pool);
	if (!w->store ||
	    apr_thread_mutex_create(&w->lock, APR_THREAD_MUTEX_DEFAULT, pool) !=
		    APR_SUCCESS ||
	    apr_thread_cond_create(&w->changed, pool) != APR_SUCCESS)
		return NULL;
	return w;
}

static bool is_stopping(struct conf_watch *w)
{
	bool s;

	apr_thread_mutex_lock(w->lock);
	s = w->stopping;
	apr_thread_mutex_unlock(w->lock);
	return s;
}

/* Waits until the thread must watch; false if it must end. */
static bool wait_until_watching(struct conf_watch *w)
{
	bool go;

	apr_thread_mutex_lock(w->lock);
	while (!w->watching && !w->stopping) {
		w->revision = 0;
		w->uncertain = true;
		apr_thread_cond_wait(w->changed, w->lock);
	}
	go = !w->stopping;
	apr_thread_mutex_unlock(w->lock);
	return go;
}

static void back_off(struct conf_watch *w)
{
	int64_t until =
		clock_now_us() + conf_backoff_us(++w->failures, random_u64());

	w->revision = 0;
	w->uncertain = true;
	w->vms_revision = 0;
	log_write(w->failures == 1 ? LOG_WARN : LOG_DEBUG, "conf",
		  "store failed failures=%u reason=%s", w->failures,
		  az_last_message());
	w->sink->ops->on_state(w->sink, false);
	apr_thread_mutex_lock(w->lock);
	while (!w->stopping && clock_now_us() < until)
		apr_thread_cond_timedwait(w->changed, w->lock,
					  until - clock_now_us());
	apr_thread_mutex_unlock(w->lock);
}

static struct store_entry *entry_of(struct conf_watch *w, const char *key)
{
	struct store_entry *x =
		apr_hash_get(w->entries, key, APR_HASH_KEY_STRING);

	if (x)
		return x;
	x = apr_pcalloc(w->entry_pool, sizeof(*x));
	apr_hash_set(w->entries, apr_pstrdup(w->entry_pool, key),
		     APR_HASH_KEY_STRING, x);
	return x;
}

static void set_recheck(struct conf_watch *w, struct store_entry *x,
			bool recheck)
{
	w->rechecks += recheck;
	w->rechecks -= x->recheck;
	x->recheck = recheck;
}

/* Reads an object into *o. Its version is 0 if it does not exist or is invalid.
 */
static enum az_status read_value(struct conf_watch *w, struct store_object *o)
{
	struct store_entry *x = entry_of(w, o->key);
	struct store_object now;
	enum az_status r;

	r = store_get(w->store, o->key, &now);
	if (r != AZ_OK && r != AZ_NOT_FOUND && r != AZ_INVALID)
		return r;
	set_recheck(w, x, false);
	x->revision = r == AZ_OK ? now.revision : o->revision;
	if (r == AZ_OK)
		*o = now;
	else
		o->version = 0;
	return AZ_OK;
}

/* Passes the contents of a batch to the sink. */
static void deliver_batch(struct conf_watch *w, struct store_object *list,
			  uint32_t count)
{
	struct store_list batch = { .count = count };

	batch.objects = calloc(count, sizeof(*batch.objects));
	if (!batch.objects)
		abort();
	memcpy(batch.objects, list, count * sizeof(*list));
	memset(list, 0, count * sizeof(*list));
	w->sink->ops->on_objects(w->sink, &batch);
}

/* Reads the values of the objects in a list and passes them to the sink. Frees
 * the list. */
static enum az_status read_values(struct conf_watch *w, struct store_list *l)
{
	enum az_status r = AZ_OK;
	uint32_t from = 0;

	for (uint32_t i = 0; i < l->count && r == AZ_OK; i++) {
		r = read_value(w, &l->objects[i]);
		if (r == AZ_OK && i + 1 - from < BATCH_OBJECTS &&
		    i + 1 < l->count)
			continue;
		if (i + (r == AZ_OK) > from)
			deliver_batch(w, l->objects + from,
				      i + (r == AZ_OK) - from);
		from = i + 1;
	}
	store_list_free(l);
	return r;
}

/* Removes objects that are not configuration. */
static void drop_other_objects(struct store_list *l)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->count; i++)
		if (conf_key_parse(l->objects[i].key).kind != OBJECT_OTHER)
			l->objects[n++] = l->objects[i];
	l->count = n;
}

/* Keeps in a full list only the objects that are certainly new: those with
 * another revision than this watcher has read, and those that the daemon does
 * not hold. Marks the others to be read again if they may have changed. */
static void keep_new(struct conf_watch *w, struct store_list *l)
{
	uint32_t n = 0;

	w->sink->ops->fill_versions(w->sink, l);
	for (uint32_t i = 0; i < l->count; i++) {
		const struct store_object *o = &l->objects[i];
		struct store_entry *x = entry_of(w, o->key);

		if (!o->version || (x->revision && x->revision != o->revision))
			l->objects[n++] = *o;
		else if (w->uncertain ||
			 hash_string(o->key) % RECHECK_PARTS == w->recheck_part)
			set_recheck(w, x, true);
	}
	l->count = n;
	w->recheck_part = (w->recheck_part + 1) % RECHECK_PARTS;
	w->uncertain = false;
}

/* Reads a few of the objects that are marked to be read again. */
static enum az_status recheck(struct conf_watch *w)
{
	struct store_list l = { 0 };
	apr_hash_index_t *i;

	if (!w->rechecks)
		return AZ_OK;
	l.objects = calloc(RECHECK_OBJECTS, sizeof(*l.objects));
	if (!l.objects)
		abort();
	for (i = apr_hash_first(NULL, w->entries);
	     i && l.count < RECHECK_OBJECTS; i = apr_hash_next(i)) {
		const void *key;
		void *value;
		const struct store_entry *x;

		apr_hash_this(i, &key, NULL, &value);
		x = value;
		if (x->recheck)
			snprintf(l.objects[l.count++].key, CONF_KEY_MAX_BYTES,
				 "%s", (const char *)key);
	}
	return read_values(w, &l);
}

static enum az_status list_or_watch(struct conf_watch *w)
{
	int64_t now_us = clock_now_us();
	struct store_list l;
	enum az_status r;
	uint64_t before = w->revision;

	if (now_us >= w->listed_us + LIST_INTERVAL_US)
		w->revision = 0;
	if (w->revision) {
		r = store_watch(
			w->store, CONF_PREFIX, w->revision,
			w->rechecks ? RECHECK_WAIT_MS : CONF_WATCH_WAIT_MS, &l);
	} else {
		r = store_list(w->store, CONF_PREFIX, &l);
		w->listed_us = now_us;
	}
	if (r != AZ_OK)
		return r;
	if (l.revision < before) {
		/* The store was restored from an older copy: list again. */
		store_list_free(&l);
		w->revision = 0;
		w->listed_us = now_us - LIST_INTERVAL_US;
		w->uncertain = true;
		return AZ_OK;
	}
	drop_other_objects(&l);
	if (!w->revision)
		keep_new(w, &l);
	w->revision = l.revision;
	r = read_values(w, &l);
	return r == AZ_OK ? recheck(w) : r;
}

static enum az_status read_vms(struct conf_watch *w)
{
	int64_t now_us = clock_now_us();
	struct store_vms v;
	enum az_status r;

	if (!w->vms_interval_ms ||
	    now_us < w->vms_us + w->vms_interval_ms * US_PER_MS)
		return AZ_OK;
	w->vms_us = now_us;
	r = store_vms(w->store, w->vms_revision, &v);
	if (r != AZ_OK) {
		store_vms_free(&v);
		return r == AZ_AGAIN ? AZ_OK : r;
	}
	w->vms_revision = v.revision;
	if (w->sink->ops->on_vms(w->sink, &v,
				 w->vms_behind + 1 >= VMS_BEHIND_READS)) {
		w->vms_behind = 0;
	} else {
		/* Revision 0 makes the next read return the whole list. */
		w->vms_revision = 0;
		w->vms_behind++;
	}
	return AZ_OK;
}

static void *APR_THREAD_FUNC watch_main(apr_thread_t *thread, void *arg)
{
	struct conf_watch *w = arg;
	enum az_status r;

	while (wait_until_watching(w)) {
		r = list_or_watch(w);
		if (r == AZ_OK)
			r = read_vms(w);
		if (r != AZ_OK) {
			if (!is_stopping(w))
				back_off(w);
			continue;
		}
		if (w->failures)
			log_write(LOG_INFO, "conf", "store answers again");
		w->failures = 0;
		w->sink->ops->on_state(w->sink, true);
	}
	return NULL;
}

enum az_status conf_watch_start(struct conf_watch *w)
{
	apr_pool_t *pool = apr_thread_mutex_pool_get(w->lock);

	/* In the past, so that the first reads are due at once. */
	w->listed_us = -LIST_INTERVAL_US;
	w->vms_us = -LIST_INTERVAL_US;
	if (apr_thread_create(&w->thread, NULL, watch_main, w, pool) !=
	    APR_SUCCESS)
		return az_fail(AZ_IO,
			       "conf: cannot start the thread of the watch");
	return AZ_OK;
}

void conf_watch_set(struct conf_watch *w, bool watching)
{
	apr_thread_mutex_lock(w->lock);
	if (w->watching != watching)
		apr_thread_cond_signal(w->changed);
	w->watching = watching;
	apr_thread_mutex_unlock(w->lock);
}

void conf_watch_stop(struct conf_watch *w)
{
	apr_status_t rv;

	apr_thread_mutex_lock(w->lock);
	w->stopping = true;
	apr_thread_cond_signal(w->changed);
	apr_thread_mutex_unlock(w->lock);
	store_cancel_all(w->store);
	if (w->thread)
		apr_thread_join(&rv, w->thread);
	w->thread = NULL;
	store_destroy(w->store);
	w->store = NULL;
	apr_pool_destroy(w->entry_pool);
}
