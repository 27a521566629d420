#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>

#include "cell/cell.h"

/* Test-only, set by "fault/run.sh --broken" in a build folder of its own:
 * a query does not find the call. */
#ifndef AZ_TEST_BREAK_CALLS
#define AZ_TEST_BREAK_CALLS 0
#endif

/* Records of senders are never dropped, as a query about a call of a dropped
 * one would look like a query about a call never seen. A daemon lives about a
 * day, so that it meets some thousands. */
#define SENDERS_MAX 65536

struct sender {
	uint64_t key[2]; /* sender, incarnation */
	/* Calls up to this sequence may have been dropped from the table. */
	uint64_t forgotten;
};

struct call_table {
	apr_pool_t *pool;
	apr_hash_t *calls;
	apr_hash_t *senders;
	struct call *oldest; /* ended calls in order of their end */
	struct call *newest;
};

struct call_table *call_table_create(void)
{
	struct call_table *t = calloc(1, sizeof(*t));

	if (!t || apr_pool_create_unmanaged_ex(&t->pool, NULL, NULL))
		abort();
	t->calls = apr_hash_make(t->pool);
	t->senders = apr_hash_make(t->pool);
	return t;
}

static void call_free(struct call *c)
{
	answer_free(c->answer);
	free(c);
}

void call_table_destroy(struct call_table *t)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, t->calls); i; i = apr_hash_next(i))
		call_free(apr_hash_this_val(i));
	for (i = apr_hash_first(NULL, t->senders); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	apr_pool_destroy(t->pool);
	free(t);
}

uint32_t call_table_size(const struct call_table *t)
{
	return apr_hash_count(t->calls);
}

/* NULL if there is no room for a new one. */
static struct sender *sender_get(struct call_table *t, const struct call_id *id)
{
	uint64_t key[2] = { id->sender, id->incarnation };
	struct sender *s = apr_hash_get(t->senders, key, sizeof(key));

	if (s || apr_hash_count(t->senders) >= SENDERS_MAX)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	memcpy(s->key, key, sizeof(key));
	apr_hash_set(t->senders, s->key, sizeof(s->key), s);
	return s;
}

static void drop_oldest(struct call_table *t)
{
	struct call *c = t->oldest;
	uint64_t key[2] = { c->id.sender, c->id.incarnation };
	struct sender *s = apr_hash_get(t->senders, key, sizeof(key));

	if (s && s->forgotten < c->id.sequence)
		s->forgotten = c->id.sequence;
	t->oldest = c->newer;
	if (t->oldest)
		t->oldest->older = NULL;
	else
		t->newest = NULL;
	apr_hash_set(t->calls, &c->id, sizeof(c->id), NULL);
	call_free(c);
}

static void expire(struct call_table *t, int64_t now_us)
{
	while (t->oldest && t->oldest->until_us <= now_us)
		drop_oldest(t);
}

static struct call *call_add(struct call_table *t, const struct call_id *id,
			     enum call_state state)
{
	struct call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->id = *id;
	c->state = state;
	apr_hash_set(t->calls, &c->id, sizeof(c->id), c);
	return c;
}

static void retain(struct call_table *t, struct call *c, int64_t now_us)
{
	c->until_us = now_us + CALL_RETENTION_US;
	c->older = t->newest;
	if (t->newest)
		t->newest->newer = c;
	else
		t->oldest = c;
	t->newest = c;
}

/* Room for one more, at the cost of the oldest that ended. */
static bool make_room(struct call_table *t)
{
	if (apr_hash_count(t->calls) < CALLS_MAX)
		return true;
	if (!t->oldest)
		return false;
	drop_oldest(t);
	return true;
}

enum call_state call_table_enter(struct call_table *t, const struct call_id *id,
				 int64_t now_us, struct call **out)
{
	struct sender *s = sender_get(t, id);

	expire(t, now_us);
	*out = apr_hash_get(t->calls, id, sizeof(*id));
	if (*out)
		return (*out)->state;
	/* It may have been sealed and dropped since, so it must not run. */
	if (!s || id->sequence <= s->forgotten || !make_room(t))
		return CALL_FORGOTTEN;
	*out = call_add(t, id, CALL_RUNNING);
	return CALL_NEW;
}

enum call_state call_table_query(struct call_table *t, const struct call_id *id,
				 int64_t now_us, struct call **out)
{
	struct sender *s = sender_get(t, id);

	expire(t, now_us);
	*out = apr_hash_get(t->calls, id, sizeof(*id));
	if (*out && !AZ_TEST_BREAK_CALLS)
		return (*out)->state;
	if (!s || id->sequence <= s->forgotten || !make_room(t))
		return CALL_FORGOTTEN;
	*out = call_add(t, id, CALL_SEALED);
	retain(t, *out, now_us);
	return CALL_SEALED;
}

void call_table_end(struct call_table *t, struct call *c, struct answer *a,
		    int64_t now_us)
{
	c->state = CALL_ANSWERED;
	c->answer = a;
	c->running = NULL;
	retain(t, c, now_us);
}
