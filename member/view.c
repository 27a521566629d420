/**
 * @file
 * Immutable views of the fleet: construction, reference counts and lookups.
 */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"

/* Largest number of handovers that a lookup follows: a ledger may have been
 * handed over several times, from daemon to daemon. */
#define SUCCESSORS_MAX 8

/* The members of one data centre, as a part of by_dc. */
struct dc_range {
	uint32_t dc;
	uint32_t first;
	uint32_t count;
};

struct view_index {
	uint32_t *by_dc; /* indexes in `members`, grouped by data centre */
	uint32_t *by_incarnation; /* indexes in `members`, sorted by
				     incarnation */
	struct dc_range *dcs;
	uint32_t dc_count;
};

static int by_incarnation(const void *a, const void *b, void *arg)
{
	const struct member *list = arg;
	uint64_t x = list[*(const uint32_t *)a].incarnation;
	uint64_t y = list[*(const uint32_t *)b].incarnation;

	return x < y ? -1 : x > y;
}

static struct dc_range *find_dc(const struct view_index *x, uint32_t dc)
{
	for (uint32_t i = 0; i < x->dc_count; i++)
		if (x->dcs[i].dc == dc)
			return &x->dcs[i];
	return NULL;
}

static void index_dcs(struct view_index *x, const struct member *list,
		      uint32_t n)
{
	uint32_t first = 0;
	uint32_t cap = 0;

	for (uint32_t i = 0; i < n; i++) {
		struct dc_range *r = find_dc(x, list[i].dc);

		if (!r) {
			if (x->dc_count == cap) {
				cap = cap ? cap * 2 : 16;
				x->dcs = realloc(x->dcs, cap * sizeof(*r));
				if (!x->dcs)
					abort();
			}
			r = &x->dcs[x->dc_count++];
			*r = (struct dc_range){ .dc = list[i].dc };
		}
		r->count++;
	}
	for (uint32_t i = 0; i < x->dc_count; i++) {
		x->dcs[i].first = first;
		first += x->dcs[i].count;
		x->dcs[i].count = 0;
	}
	for (uint32_t i = 0; i < n; i++) {
		struct dc_range *r = find_dc(x, list[i].dc);

		x->by_dc[r->first + r->count++] = i;
	}
}

static struct view_index *index_new(const struct member *list, uint32_t n)
{
	struct view_index *x = az_alloc(sizeof(*x));

	x->by_dc = az_alloc(n * sizeof(*x->by_dc));
	x->by_incarnation = az_alloc(n * sizeof(*x->by_incarnation));
	index_dcs(x, list, n);
	for (uint32_t i = 0; i < n; i++)
		x->by_incarnation[i] = i;
	qsort_r(x->by_incarnation, n, sizeof(*x->by_incarnation),
		by_incarnation, (void *)list);
	return x;
}

static void index_free(struct view_index *x)
{
	if (!x)
		return;
	free(x->by_dc);
	free(x->by_incarnation);
	free(x->dcs);
	free(x);
}

static void *copy_array(const void *src, size_t bytes)
{
	void *p = az_alloc(bytes);

	if (bytes)
		memcpy(p, src, bytes);
	return p;
}

struct member_view *
member_view_new(uint64_t version, const struct member *members,
		uint32_t member_count, const struct member *departed,
		uint32_t departed_count, const struct member_report *reports,
		uint32_t report_count)
{
	struct member_view *v = az_alloc(sizeof(*v));

	v->references = 1;
	v->version = version;
	v->member_count = member_count;
	v->members = copy_array(members, member_count * sizeof(*members));
	v->departed_count = departed_count;
	v->departed = copy_array(departed, departed_count * sizeof(*departed));
	v->report_count = report_count;
	v->reports = copy_array(reports, report_count * sizeof(*reports));
	v->index = index_new(v->members, member_count);
	return v;
}

const struct member_view *member_view_retain(const struct member_view *v)
{
	__atomic_add_fetch((int32_t *)&v->references, 1, __ATOMIC_RELAXED);
	return v;
}

void member_view_release(const struct member_view *v)
{
	if (!v ||
	    __atomic_sub_fetch((int32_t *)&v->references, 1, __ATOMIC_ACQ_REL))
		return;
	free((void *)v->members);
	free((void *)v->departed);
	free((void *)v->reports);
	index_free((struct view_index *)v->index);
	free((void *)v);
}

const struct member *member_view_by_id(const struct member_view *v, uint64_t id)
{
	uint32_t lo = 0;
	uint32_t hi = v->member_count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (v->members[mid].id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo < v->member_count && v->members[lo].id == id)
		return &v->members[lo];
	return NULL;
}

bool member_view_dc(const struct member_view *v, uint32_t dc,
		    const uint32_t **list, uint32_t *count)
{
	const struct dc_range *r;

	if (!v->index)
		return false;
	r = find_dc(v->index, dc);
	*list = r ? v->index->by_dc + r->first : NULL;
	*count = r ? r->count : 0;
	return true;
}

static const struct member *scan_live(const struct member_view *v,
				      uint64_t incarnation)
{
	for (uint32_t i = 0; i < v->member_count; i++)
		if (v->members[i].incarnation == incarnation)
			return &v->members[i];
	return NULL;
}

static const struct member *find_live(const struct member_view *v,
				      uint64_t incarnation)
{
	uint32_t lo = 0;
	uint32_t hi = v->member_count;

	if (!v->index)
		return scan_live(v, incarnation);
	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;
		uint32_t i = v->index->by_incarnation[mid];

		if (v->members[i].incarnation < incarnation)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo == v->member_count)
		return NULL;
	lo = v->index->by_incarnation[lo];
	return v->members[lo].incarnation == incarnation ? &v->members[lo] :
							   NULL;
}

/* The live or departed member with this incarnation. */
static const struct member *find_incarnation(const struct member_view *v,
					     uint64_t incarnation)
{
	const struct member *m = find_live(v, incarnation);

	for (uint32_t i = 0; !m && i < v->departed_count; i++)
		if (v->departed[i].incarnation == incarnation)
			m = &v->departed[i];
	return m;
}

const struct member *member_view_issuer(const struct member_view *v,
					uint32_t ip, uint16_t peer_port,
					uint64_t incarnation)
{
	const struct member *m = find_incarnation(v, incarnation);

	if (!m || m->ip != ip || m->peer_port != peer_port)
		return NULL;
	/* A daemon whose ledger was adopted no longer answers for it, even
	 * while the daemon is still running. */
	for (int32_t i = 0; m && m->successor && i < SUCCESSORS_MAX; i++)
		m = find_incarnation(v, m->successor);
	if (!m || m->successor)
		return NULL;
	return m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT ? m :
									NULL;
}

uint8_t member_view_report_severity(const struct member_view *v,
				    uint64_t subject,
				    enum member_report_kind kind)
{
	uint32_t lo = 0;
	uint32_t hi = v->report_count;
	uint8_t worst = 0;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (v->reports[mid].subject < subject)
			lo = mid + 1;
		else
			hi = mid;
	}
	for (; lo < v->report_count && v->reports[lo].subject == subject; lo++)
		if (v->reports[lo].kind == kind &&
		    v->reports[lo].severity > worst)
			worst = v->reports[lo].severity;
	return worst;
}
