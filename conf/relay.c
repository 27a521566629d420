#include <stdlib.h>

#include "conf/conf.h"
#include "member/member.h"

/* A start without an answer from a peer is tried again after this. */
#define START_RETRY_US US_PER_S
/* A watcher that has not reached the store for this long asks elsewhere. */
#define STORE_SILENT_US (3 * US_PER_S)
#define REMOTE_INTERVAL_US US_PER_S
#define BACKOFF_FIRST_US (200 * US_PER_MS)
#define BACKOFF_MAX_US (10 * US_PER_S)

static bool counts(const struct member *m, uint32_t dc)
{
	return m->dc == dc && !m->stopping;
}

static uint64_t weight(uint64_t id)
{
	return hash_bytes(&id, sizeof(id), 0x77617463);
}

bool conf_is_watcher(const struct member_view *v, uint64_t self, uint32_t dc)
{
	uint64_t own = weight(self);
	uint32_t above = 0;

	for (uint32_t i = 0; i < v->member_count; i++)
		if (counts(&v->members[i], dc) && v->members[i].id != self &&
		    weight(v->members[i].id) > own)
			above++;
	return above < CONF_WATCHERS;
}

/* Positions in the tree are counted from the origin on; daemons whose views
 * differ reach a member twice or not at all, and digests make up for that. */
uint32_t conf_relay_children(const struct member_view *v, uint64_t self,
			     uint64_t origin, uint32_t dc,
			     const struct member *out[CONF_RELAY_CHILDREN])
{
	uint32_t total = 0;
	uint32_t first = 0;
	uint32_t own = 0;
	uint32_t count = 0;

	for (uint32_t i = 0; i < v->member_count; i++) {
		const struct member *m = &v->members[i];

		if (m->dc != dc)
			continue;
		first += m->id < origin;
		own += m->id < self;
		total++;
	}
	if (!total)
		return 0;
	own = (own + total - first) % total;
	for (uint32_t i = 0, at = 0; i < v->member_count; i++) {
		uint32_t place;

		if (v->members[i].dc != dc)
			continue;
		place = (at++ + total - first) % total;
		if (place > own * CONF_RELAY_CHILDREN &&
		    place <= (own + 1) * CONF_RELAY_CHILDREN &&
		    v->members[i].id != self && count < CONF_RELAY_CHILDREN)
			out[count++] = &v->members[i];
	}
	return count;
}

const struct member *conf_pick_member(const struct member_view *v,
				      uint64_t self, uint32_t dc, bool other,
				      uint64_t random)
{
	const struct member *found = NULL;
	uint64_t n = 0;

	for (uint32_t i = 0; i < v->member_count; i++)
		if (v->members[i].id != self &&
		    (v->members[i].dc != dc) == other)
			n++;
	if (!n)
		return NULL;
	random %= n;
	for (uint32_t i = 0; i < v->member_count && !found; i++)
		if (v->members[i].id != self &&
		    (v->members[i].dc != dc) == other && !random--)
			found = &v->members[i];
	return found;
}

int64_t conf_backoff_us(uint32_t failures, uint64_t random)
{
	int64_t wait = BACKOFF_FIRST_US;

	for (uint32_t i = 1; i < failures && wait < BACKOFF_MAX_US; i++)
		wait *= 2;
	if (wait > BACKOFF_MAX_US)
		wait = BACKOFF_MAX_US;
	/* The random half keeps watchers from returning all at once. */
	return wait / 2 + (int64_t)(random % (uint64_t)(wait / 2 + 1));
}

bool conf_asking_digest(const struct conf_asking *a, uint64_t own,
			uint64_t digest, int64_t now_us)
{
	if (digest == own || now_us < a->list_until_us)
		return false;
	for (uint32_t i = 0; i < 16; i++)
		if (a->behind[i] == digest)
			return false;
	return true;
}

void conf_asking_behind(struct conf_asking *a, uint64_t digest)
{
	a->behind[a->behind_next++ % 16] = digest;
}

void conf_asking_moved(struct conf_asking *a)
{
	for (uint32_t i = 0; i < 16; i++)
		a->behind[i] = 0;
}

bool conf_asking_start(struct conf_asking *a, int64_t now_us)
{
	if (a->loaded || now_us < a->next_start_us)
		return false;
	a->next_start_us = now_us + START_RETRY_US;
	return true;
}

bool conf_asking_remote(struct conf_asking *a, bool watcher, int64_t now_us)
{
	if (!watcher || now_us < a->store_ok_us + STORE_SILENT_US ||
	    now_us < a->next_remote_us)
		return false;
	a->next_remote_us = now_us + REMOTE_INTERVAL_US;
	return true;
}
