#include <stdlib.h>

#include "conf/conf.h"
#include "member/member.h"

/* A daemon that has just started requests a list again after this time if it
 * does not have the objects of a peer or of the store yet. */
#define START_RETRY_US US_PER_S
/* A watcher that has not reached the store for this long requests lists from
 * other data centres. */
#define STORE_SILENT_US (3 * US_PER_S)
#define REMOTE_INTERVAL_US US_PER_S
#define BACKOFF_FIRST_US (200 * US_PER_MS)
#define BACKOFF_MAX_US (10 * US_PER_S)

/* True if the member can be a watcher of the data centre. */
static bool is_candidate(const struct member *m, uint32_t dc)
{
	return m->dc == dc && !m->stopping;
}

static uint64_t rendezvous_weight(uint64_t id)
{
	/* The seed is "watc" in ASCII. */
	return hash_bytes(&id, sizeof(id), 0x77617463);
}

bool conf_is_watcher(const struct member_view *v, uint64_t self, uint32_t dc)
{
	uint64_t own = rendezvous_weight(self);
	uint32_t higher = 0;

	for (uint32_t i = 0; i < v->member_count; i++)
		if (is_candidate(&v->members[i], dc) &&
		    v->members[i].id != self &&
		    rendezvous_weight(v->members[i].id) > own)
			higher++;
	return higher < CONF_WATCHERS;
}

/* Finds the watchers of a data centre, sorted by descending weight. */
static uint32_t find_watchers(const struct member_view *v, uint32_t dc,
			      const struct member *out[CONF_WATCHERS])
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < v->member_count; i++) {
		const struct member *m = &v->members[i];
		uint32_t at;

		if (!is_candidate(m, dc))
			continue;
		for (at = count;
		     at && rendezvous_weight(m->id) >
				   rendezvous_weight(out[at - 1]->id);
		     at--)
			if (at < CONF_WATCHERS)
				out[at] = out[at - 1];
		if (at < CONF_WATCHERS)
			out[at] = m;
		if (count < CONF_WATCHERS)
			count++;
	}
	return count;
}

static void add_target(const struct member *m, uint64_t self,
		       const struct member **out, uint32_t *count)
{
	for (uint32_t i = 0; i < *count; i++)
		if (out[i] == m)
			return;
	if (m->id != self)
		out[(*count)++] = m;
}

/* Adds the children of `self` in the tree with this root. Members are numbered
 * in the order of their ids, beginning with 0 at the root and wrapping around;
 * the children of number n follow from n * CONF_TREE_CHILDREN + 1 on. If the
 * views of daemons differ, a tree may miss a member; the other tree or a digest
 * then reaches it. */
static void add_children(const struct member_view *v, uint64_t self,
			 uint32_t dc, uint64_t root, const struct member **out,
			 uint32_t *count)
{
	uint32_t total = 0;
	uint32_t first = 0;
	uint32_t own = 0;

	for (uint32_t i = 0; i < v->member_count; i++) {
		const struct member *m = &v->members[i];

		if (m->dc != dc)
			continue;
		first += m->id < root;
		own += m->id < self;
		total++;
	}
	if (!total)
		return;
	own = (own + total - first) % total;
	for (uint32_t i = 0, at = 0; i < v->member_count; i++) {
		uint32_t tree_index;

		if (v->members[i].dc != dc)
			continue;
		tree_index = (at++ + total - first) % total;
		if (tree_index > own * CONF_TREE_CHILDREN &&
		    tree_index <= (own + 1) * CONF_TREE_CHILDREN)
			add_target(&v->members[i], self, out, count);
	}
}

uint32_t
conf_forward_targets(const struct member_view *v, uint64_t self, uint32_t dc,
		     bool from_outside,
		     const struct member *out[CONF_FORWARD_TARGETS_MAX])
{
	const struct member *roots[CONF_WATCHERS];
	uint32_t roots_count = find_watchers(v, dc, roots);
	uint32_t count = 0;

	for (uint32_t i = 0; i < roots_count; i++) {
		if (from_outside)
			add_target(roots[i], self, out, &count);
		add_children(v, self, dc, roots[i]->id, out, &count);
	}
	return count;
}

const struct member *conf_pick_member(const struct member_view *v,
				      uint64_t self, uint32_t dc, bool other_dc,
				      uint64_t random)
{
	const struct member *found = NULL;
	uint64_t n = 0;

	for (uint32_t i = 0; i < v->member_count; i++)
		if (v->members[i].id != self &&
		    (v->members[i].dc != dc) == other_dc)
			n++;
	if (!n)
		return NULL;
	random %= n;
	for (uint32_t i = 0; i < v->member_count && !found; i++)
		if (v->members[i].id != self &&
		    (v->members[i].dc != dc) == other_dc && !random--)
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
	/* The random part keeps watchers from calling the store again all at
	 * the same time. */
	return wait / 2 + (int64_t)(random % (uint64_t)(wait / 2 + 1));
}

bool conf_pull_wants_list(const struct conf_pull *p, uint64_t own,
			  uint64_t digest, int64_t now_us)
{
	if (digest == own || now_us < p->list_until_us)
		return false;
	for (uint32_t i = 0; i < CONF_STALE_DIGESTS; i++)
		if (p->stale_digests[i] == digest)
			return false;
	return true;
}

void conf_pull_add_stale_digest(struct conf_pull *p, uint64_t digest)
{
	p->stale_digests[p->stale_next++ % CONF_STALE_DIGESTS] = digest;
}

void conf_pull_clear_stale_digests(struct conf_pull *p)
{
	for (uint32_t i = 0; i < CONF_STALE_DIGESTS; i++)
		p->stale_digests[i] = 0;
}

bool conf_pull_start_due(struct conf_pull *p, int64_t now_us)
{
	if (p->loaded || now_us < p->next_start_list_us)
		return false;
	p->next_start_list_us = now_us + START_RETRY_US;
	return true;
}

bool conf_pull_remote_due(struct conf_pull *p, bool watcher, int64_t now_us)
{
	if (!watcher || now_us < p->store_ok_us + STORE_SILENT_US ||
	    now_us < p->next_remote_list_us)
		return false;
	p->next_remote_list_us = now_us + REMOTE_INTERVAL_US;
	return true;
}
