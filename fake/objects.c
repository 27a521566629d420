#include <stdlib.h>
#include <string.h>

#include "fake/fake.h"

enum az_status condition_parse(const char *if_match, const char *if_none_match,
			       struct condition *out)
{
	char *end;

	out->kind = CONDITION_NONE;
	out->version = 0;
	if (if_match && if_none_match)
		return az_fail(AZ_INVALID,
			       "both If-Match and If-None-Match are given");
	if (if_none_match) {
		if (strcmp(if_none_match, "*"))
			return az_fail(AZ_INVALID, "If-None-Match must be *");
		out->kind = CONDITION_ABSENT;
	}
	if (if_match) {
		out->kind = CONDITION_VERSION;
		out->version = strtoull(if_match, &end, 10);
		if (*if_match < '0' || *if_match > '9' || *end)
			return az_fail(AZ_INVALID,
				       "If-Match: '%s' is not a "
				       "version",
				       if_match);
	}
	return AZ_OK;
}

bool revision_parse(const char *if_none_match, uint64_t *out)
{
	char *end;

	if (!if_none_match || if_none_match[0] != '"' ||
	    if_none_match[1] < '0' || if_none_match[1] > '9')
		return false;
	*out = strtoull(if_none_match + 1, &end, 10);
	return !strcmp(end, "\"");
}

/* Index of the first object whose key is not below `key`. */
static uint32_t objects_lower_bound(const struct objects *o, const char *key)
{
	uint32_t low = 0;
	uint32_t high = o->count;

	while (low < high) {
		uint32_t mid = low + (high - low) / 2;

		if (strcmp(o->list[mid].key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Returns the object or tombstone of the key; NULL if there is neither. */
static struct object *objects_find(const struct objects *o, const char *key)
{
	uint32_t i = objects_lower_bound(o, key);

	if (i == o->count || strcmp(o->list[i].key, key))
		return NULL;
	return &o->list[i];
}

const struct object *objects_get(const struct objects *o, const char *key)
{
	const struct object *x = objects_find(o, key);

	return x && !x->deleted ? x : NULL;
}

/* Inserts an object without value; there must be none with the key. */
static struct object *objects_insert(struct objects *o, const char *key)
{
	uint32_t i = objects_lower_bound(o, key);

	if (o->count == o->capacity) {
		o->capacity = o->capacity ? 2 * o->capacity : 64;
		o->list = realloc(o->list, o->capacity * sizeof(*o->list));
		if (!o->list)
			abort();
	}
	memmove(&o->list[i + 1], &o->list[i],
		(o->count - i) * sizeof(*o->list));
	memset(&o->list[i], 0, sizeof(o->list[i]));
	o->list[i].key = strdup(key);
	o->count++;
	return &o->list[i];
}

/* AZ_CONFLICT if the condition does not hold for the object `x` (NULL: there is
 * none). */
static enum az_status condition_check(const struct condition *c,
				      const struct object *x)
{
	switch (c->kind) {
	case CONDITION_VERSION:
		if (!x || x->version != c->version)
			return az_fail(AZ_CONFLICT, "version is %llu",
				       x ? (unsigned long long)x->version : 0);
		break;
	case CONDITION_ABSENT:
		if (x)
			return az_fail(AZ_CONFLICT, "object exists");
		break;
	case CONDITION_NONE:
		break;
	}
	return AZ_OK;
}

enum az_status objects_put(struct objects *o, const char *key,
			   const struct condition *c, const void *data,
			   uint32_t len_bytes, uint64_t *version)
{
	const struct object *old = objects_get(o, key);
	struct object *x;
	enum az_status s;

	*version = old ? old->version : 0;
	if (len_bytes > OBJECT_MAX_BYTES)
		return az_fail(AZ_FULL, "value is above 1 MB");
	if (!*key || strlen(key) >= OBJECT_KEY_MAX_BYTES)
		return az_fail(AZ_INVALID, "key is empty or too long");
	s = condition_check(c, old);
	if (s != AZ_OK)
		return s;
	x = objects_find(o, key);
	if (!x)
		x = objects_insert(o, key);
	x->value.len_bytes = 0;
	buf_append(&x->value, data, len_bytes);
	x->deleted = false;
	x->version = ++o->revision;
	*version = x->version;
	return AZ_OK;
}

enum az_status objects_delete(struct objects *o, const char *key,
			      const struct condition *c, uint64_t *version)
{
	struct object *x = objects_find(o, key);
	enum az_status s;

	if (x && x->deleted)
		x = NULL;
	*version = x ? x->version : 0;
	s = condition_check(c, x);
	if (s != AZ_OK)
		return s;
	if (!x)
		return az_fail(AZ_NOT_FOUND, "no such object");
	buf_free(&x->value);
	x->deleted = true;
	x->version = ++o->revision;
	*version = x->version;
	return AZ_OK;
}

const struct object *objects_next_changed(const struct objects *o,
					  const char *prefix, uint64_t after,
					  uint32_t *from)
{
	size_t n = strlen(prefix);
	uint32_t i = objects_lower_bound(o, prefix);

	if (i < *from)
		i = *from;
	for (; i < o->count && !strncmp(o->list[i].key, prefix, n); i++)
		if (o->list[i].version > after) {
			*from = i + 1;
			return &o->list[i];
		}
	*from = o->count;
	return NULL;
}

bool objects_watch_ready(const struct objects *o, const char *prefix,
			 uint64_t after)
{
	uint32_t from = 0;

	return objects_next_changed(o, prefix, after, &from) != NULL;
}

void objects_free(struct objects *o)
{
	for (uint32_t i = 0; i < o->count; i++) {
		free(o->list[i].key);
		buf_free(&o->list[i].value);
	}
	free(o->list);
	memset(o, 0, sizeof(*o));
}

void objects_copy(struct objects *to, const struct objects *from)
{
	objects_free(to);
	for (uint32_t i = 0; i < from->count; i++) {
		const struct object *x = &from->list[i];
		struct object *y = objects_insert(to, x->key);

		y->version = x->version;
		y->deleted = x->deleted;
		buf_append(&y->value, x->value.data, x->value.len_bytes);
	}
	to->revision = from->revision;
}

static enum store_action store_serve(struct store_fault *f, bool write)
{
	return STORE_SERVE;
}

enum store_action store_down(struct store_fault *f, bool write)
{
	return STORE_DOWN;
}

enum store_action store_lose_reply(struct store_fault *f, bool write)
{
	if (!write || !f->count)
		return STORE_SERVE;
	f->count--;
	return STORE_LOSE_REPLY;
}

enum store_action store_hold_write(struct store_fault *f, bool write)
{
	return store_lose_reply(f, write) == STORE_LOSE_REPLY ?
		       STORE_HOLD_WRITE :
		       STORE_SERVE;
}

enum store_action store_hold_reply(struct store_fault *f, bool write)
{
	return store_lose_reply(f, write) == STORE_LOSE_REPLY ?
		       STORE_HOLD_REPLY :
		       STORE_SERVE;
}

enum store_action store_old_copy(struct store_fault *f, bool write)
{
	return STORE_OLD_COPY;
}

static const struct store_fault_ops store_modes[] = {
	{ "none", store_serve },
	{ "down", store_down },
	{ "slow", store_serve },
	{ "lose-reply", store_lose_reply },
	{ "old-copy", store_old_copy },
	{ "hold-reply", store_hold_reply },
	{ "hold-write", store_hold_write },
};

enum az_status store_fault_set(struct store_fault *f, const char *mode,
			       int64_t ms, uint32_t count)
{
	for (uint32_t i = 0; i < sizeof(store_modes) / sizeof(store_modes[0]);
	     i++) {
		if (strcmp(store_modes[i].name, mode))
			continue;
		f->ops = &store_modes[i];
		f->delay_us = strcmp(mode, "slow") ? 0 : ms * US_PER_MS;
		f->count = count;
		return AZ_OK;
	}
	return az_fail(AZ_INVALID,
		       "unknown mode '%s'; one of: none down slow lose-reply "
		       "old-copy hold-reply hold-write",
		       mode);
}
