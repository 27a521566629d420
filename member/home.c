/**
 * @file
 * Rendezvous hashing over a view: chooses the home of a cell and the watchers
 * of a data centre. If a member leaves, only the cells of which it was the home
 * get another one; if a member joins, only the cells for which it has the
 * highest weight do, and it becomes their home.
 */
#include <string.h>
#include <xxhash.h>

#include "member/member.h"

static uint64_t rendezvous_weight(uint64_t key, uint64_t id)
{
	return XXH3_64bits_withSeed(&id, sizeof(id), key);
}

enum locality {
	SAME_DC,
	SAME_REGION,
	ANYWHERE,
};

uint64_t member_cut_off_subject(uint64_t cell, uint64_t incarnation)
{
	return XXH3_64bits_withSeed(&cell, sizeof(cell), incarnation);
}

static bool is_cut_off(const struct member_view *v, const struct member *m,
		       uint64_t cell)
{
	return v->report_count &&
	       member_view_report_severity(
		       v, member_cut_off_subject(cell, m->incarnation),
		       REPORT_HOME_CUT_OFF);
}

/* True if the member accepts cells and is within this distance of the cell's
 * data centre. */
static bool is_eligible(const struct member *m, enum locality within,
			uint32_t dc, uint32_t region)
{
	if (m->stopping)
		return false;
	if (within == SAME_DC)
		return m->dc == dc;
	return within == ANYWHERE || m->region == region;
}

struct ranked_member {
	const struct member *member;
	uint64_t weight;
};

static bool is_better(const struct ranked_member *b, const struct member *m,
		      uint64_t w)
{
	return !b->member || w > b->weight ||
	       (w == b->weight && m->id > b->member->id);
}

static void keep_if_better(struct ranked_member *b, const struct member_view *v,
			   const struct member *m, uint64_t cell)
{
	uint64_t w = rendezvous_weight(cell, m->id);

	/* The weight is compared first, as that is cheap and leaves few members
	 * whose reports must be looked up. */
	if (is_better(b, m, w) && !is_cut_off(v, m, cell))
		*b = (struct ranked_member){ m, w };
}

const struct member *member_choose_home(const struct member_view *v,
					uint64_t cell, uint32_t dc,
					uint32_t region)
{
	struct ranked_member b = { 0 };
	const uint32_t *list;
	uint32_t n;
	enum locality within = SAME_DC;

	if (member_view_dc(v, dc, &list, &n)) {
		for (uint32_t i = 0; i < n; i++)
			if (!v->members[list[i]].stopping)
				keep_if_better(&b, v, &v->members[list[i]],
					       cell);
		within = SAME_REGION;
	}
	for (; !b.member && within <= ANYWHERE; within++)
		for (uint32_t i = 0; i < v->member_count; i++)
			if (is_eligible(&v->members[i], within, dc, region))
				keep_if_better(&b, v, &v->members[i], cell);
	return b.member;
}

/* The weight is shifted to make room for a top bit that is clear for stopping
 * members, so that these come last. */
static uint64_t watcher_weight(const struct member *m, uint64_t key)
{
	uint64_t w = rendezvous_weight(key, m->id) >> 1;

	return m->stopping ? w : w | UINT64_C(1) << 63;
}

uint32_t member_watcher_rank(const struct member_view *v, uint64_t key,
			     const struct member *m)
{
	uint64_t own = watcher_weight(m, key);
	uint32_t rank = 0;

	for (uint32_t i = 0; i < v->member_count; i++) {
		const struct member *other = &v->members[i];
		uint64_t w;

		if (other->dc != m->dc)
			continue;
		w = watcher_weight(other, key);
		if (w > own || (w == own && other->id > m->id))
			rank++;
	}
	return rank;
}
