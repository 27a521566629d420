/**
 * @file
 * Rendezvous choices over a view: the home of a cell, the watchers of a data
 * centre. Only the cells of a member that goes move, and only cells that a new
 * member wins move to it.
 */
#include <string.h>
#include <xxhash.h>

#include "member/member.h"

#define WATCHERS_MAX 16

static uint64_t weight(uint64_t key, uint64_t id)
{
	return XXH3_64bits_withSeed(&id, sizeof(id), key);
}

enum reach {
	IN_DC,
	IN_REGION,
	IN_FLEET,
};

uint64_t member_cut_subject(uint64_t cell, uint64_t incarnation)
{
	return XXH3_64bits_withSeed(&cell, sizeof(cell), incarnation);
}

static bool is_cut(const struct member_view *v, const struct member *m,
		   uint64_t cell)
{
	return v->report_count &&
	       member_view_report_severity(
		       v, member_cut_subject(cell, m->incarnation),
		       REPORT_HOME_CUT);
}

static bool in_scope(const struct member *m, enum reach s, uint32_t dc,
		     uint32_t region)
{
	if (m->stopping)
		return false;
	if (s == IN_DC)
		return m->dc == dc;
	return s == IN_FLEET || m->region == region;
}

struct best {
	const struct member *member;
	uint64_t weight;
};

static bool is_better(const struct best *b, const struct member *m, uint64_t w)
{
	return !b->member || w > b->weight ||
	       (w == b->weight && m->id > b->member->id);
}

static void consider(struct best *b, const struct member_view *v,
		     const struct member *m, uint64_t cell)
{
	uint64_t w = weight(cell, m->id);

	/* Few are the best so far, so that few reports are looked up. */
	if (is_better(b, m, w) && !is_cut(v, m, cell))
		*b = (struct best){ m, w };
}

const struct member *member_choose_home(const struct member_view *v,
					uint64_t cell, uint32_t dc,
					uint32_t region)
{
	struct best b = { 0 };
	const uint32_t *list;
	uint32_t n;
	enum reach s = IN_DC;

	if (member_view_dc(v, dc, &list, &n)) {
		for (uint32_t i = 0; i < n; i++)
			if (!v->members[list[i]].stopping)
				consider(&b, v, &v->members[list[i]], cell);
		s = IN_REGION;
	}
	for (; !b.member && s <= IN_FLEET; s++)
		for (uint32_t i = 0; i < v->member_count; i++)
			if (in_scope(&v->members[i], s, dc, region))
				consider(&b, v, &v->members[i], cell);
	return b.member;
}

static void insert_watcher(struct best *list, uint32_t *count, uint32_t n,
			   const struct member *m, uint64_t key)
{
	/* The low bit gives way, so that stopping members come last. */
	uint64_t w = weight(key, m->id) >> 1;
	uint32_t i;

	if (!m->stopping)
		w |= UINT64_C(1) << 63;
	for (i = 0; i < *count && list[i].weight >= w; i++)
		;
	if (i == n)
		return;
	if (*count < n)
		(*count)++;
	memmove(list + i + 1, list + i, (*count - 1 - i) * sizeof(*list));
	list[i] = (struct best){ m, w };
}

uint32_t member_choose_watchers(const struct member_view *v, uint64_t key,
				uint32_t dc, uint32_t n,
				const struct member **out)
{
	struct best best[WATCHERS_MAX];
	uint32_t count = 0;

	if (n > WATCHERS_MAX)
		n = WATCHERS_MAX;
	for (uint32_t i = 0; n && i < v->member_count; i++)
		if (v->members[i].dc == dc)
			insert_watcher(best, &count, n, &v->members[i], key);
	for (uint32_t i = 0; i < count; i++)
		out[i] = best[i].member;
	return count;
}
