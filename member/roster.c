/**
 * @file
 * This daemon's records of the members: their order, the rumours queued for
 * gossip, departed members, reports, and the construction of views.
 */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"

/* Encoded sizes of the parts of a message; wire.c must agree. FULL_BYTES is
 * without the name, REPORTS_BYTES without the reports. */
#define BRIEF_BYTES 28
#define FULL_BYTES 60
#define REPORTS_BYTES 32
#define REPORT_BYTES 12
#define HASH_BYTES 4

/* On average this many members of each data centre of the region probe a
 * suspected member themselves. */
#define EXPECTED_RECHECKERS 4
/* If two processes have the same id, one that started less than this time ago
 * takes it over from the other incarnation by a higher generation. An older one
 * lets the later incarnation have it. */
#define TAKEOVER_WINDOW_US (60 * US_PER_S)
/* How long the record of a member that is dead or left is kept, and longer if
 * the platform lists its VM. A dead member may only be cut off, so that it is
 * pinged now and then. */
#define DEAD_KEEP_US (3600 * US_PER_S)
/* For this time after this daemon received the first record of an incarnation,
 * other daemons may not know its attributes yet, so that gossip carries the
 * full record. */
#define FULL_RECORD_US (30 * US_PER_S)
/* Records of members that departed longer ago are neither sent nor accepted.
 * Otherwise two daemons whose clocks differ slightly could send an expired
 * record back and forth for ever. */
#define DEPARTED_GOSSIP_MAX_AGE_US (SWIM_DEPARTED_KEEP_US - 60 * US_PER_S)

uint64_t swim_random(struct swim *s)
{
	uint64_t z = (s->random += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

uint32_t swim_random_below(struct swim *s, uint32_t n)
{
	return (uint32_t)((swim_random(s) >> 32) * n >> 32);
}

bool swim_is_live(const struct swim_node *n)
{
	return n->member.state == MEMBER_ALIVE ||
	       n->member.state == MEMBER_SUSPECT;
}

static void *check_alloc(void *p)
{
	if (!p)
		abort();
	return p;
}

/* ---- nodes: records of members ---- */

uint32_t swim_lower_bound(const struct swim *s, uint64_t id)
{
	uint32_t lo = 0;
	uint32_t hi = s->node_count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (s->nodes[mid]->member.id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct swim_node *swim_find(const struct swim *s, uint64_t id)
{
	uint32_t i = swim_lower_bound(s, id);

	return i < s->node_count && s->nodes[i]->member.id == id ? s->nodes[i] :
								   NULL;
}

static void probe_order_insert(struct swim *s, uint64_t id)
{
	uint32_t at;

	if (s->probe_order_count == s->probe_order_cap) {
		s->probe_order_cap =
			s->probe_order_cap ? s->probe_order_cap * 2 : 16;
		s->probe_order = check_alloc(
			realloc(s->probe_order,
				s->probe_order_cap * sizeof(*s->probe_order)));
	}
	/* Inserted at a random position, so that not all members probe a new
	 * one at the same time. */
	at = swim_random_below(s, s->probe_order_count + 1);
	s->probe_order[s->probe_order_count++] = s->probe_order[at];
	s->probe_order[at] = id;
}

static void probe_order_remove(struct swim *s, uint64_t id)
{
	for (uint32_t i = 0; i < s->probe_order_count; i++) {
		if (s->probe_order[i] != id)
			continue;
		s->probe_order[i] = s->probe_order[--s->probe_order_count];
		return;
	}
}

static struct swim_node *node_add(struct swim *s, uint64_t id)
{
	struct swim_node *n = check_alloc(calloc(1, sizeof(*n)));
	uint32_t at = swim_lower_bound(s, id);

	if (s->node_count == s->node_cap) {
		s->node_cap = s->node_cap ? s->node_cap * 2 : 16;
		s->nodes = check_alloc(realloc(
			s->nodes, s->node_cap * sizeof(struct swim_node *)));
	}
	memmove(s->nodes + at + 1, s->nodes + at,
		(s->node_count - at) * sizeof(struct swim_node *));
	s->nodes[at] = n;
	s->node_count++;
	n->member.id = id;
	n->member.state = MEMBER_DEAD;
	s->tombstone_count++;
	n->state_rumour.node = n;
	n->report_rumour.node = n;
	n->report_rumour.of_reports = true;
	return n;
}

/* ---- rumours ---- */

static void unqueue(struct swim *s, struct swim_rumour *r)
{
	if (!r->next)
		return;
	r->prev->next = r->next;
	r->next->prev = r->prev;
	r->next = NULL;
	s->rumour_count--;
}

static void queue_before(struct swim *s, struct swim_rumour *r,
			 struct swim_rumour *at)
{
	r->next = at;
	r->prev = at->prev;
	at->prev->next = r;
	at->prev = r;
	s->rumour_count++;
}

static void queue_first(struct swim *s, struct swim_rumour *r)
{
	unqueue(s, r);
	r->sent_count = 0;
	queue_before(s, r, s->rumours.next);
}

uint32_t swim_log2(uint32_t n)
{
	uint32_t bits = 0;

	while (bits < 31 && (UINT32_C(1) << bits) < n)
		bits++;
	return bits;
}

static void drop_reports(struct swim *s, struct swim_node *n)
{
	unqueue(s, &n->report_rumour);
	free(n->reports);
	n->reports = NULL;
	n->report_count = 0;
	n->report_version = 0;
}

static void adjust_counts(struct swim *s, const struct swim_node *n, int32_t by)
{
	if (!swim_is_live(n)) {
		s->tombstone_count += (uint32_t)by;
		return;
	}
	s->live_count += (uint32_t)by;
	if (n->member.dc == s->self->member.dc)
		s->dc_live_count += (uint32_t)by;
}

void swim_set_state(struct swim *s, struct swim_node *n, enum member_state st,
		    bool gossip)
{
	bool was_live = swim_is_live(n);
	bool local = n->member.dc == s->self->member.dc && n != s->self;

	adjust_counts(s, n, -1);
	n->member.state = st;
	adjust_counts(s, n, 1);
	n->changed_us = s->now_us;
	n->dead_here_only = false;
	s->view_stale = true;
	if (swim_is_live(n) && !was_live && local)
		probe_order_insert(s, n->member.id);
	if (!swim_is_live(n) && was_live) {
		if (local)
			probe_order_remove(s, n->member.id);
		drop_reports(s, n);
	}
	if (gossip)
		queue_first(s, &n->state_rumour);
	else
		unqueue(s, &n->state_rumour);
}

/* ---- members that left ---- */

static struct swim_departed *departed_find(const struct swim *s,
					   uint64_t incarnation)
{
	for (uint32_t i = 0; i < s->departed_count; i++)
		if (s->departed[i]->member.incarnation == incarnation)
			return s->departed[i];
	return NULL;
}

static void departed_drop(struct swim *s, uint32_t i)
{
	unqueue(s, &s->departed[i]->rumour);
	free(s->departed[i]);
	memmove(s->departed + i, s->departed + i + 1,
		(--s->departed_count - i) * sizeof(struct swim_departed *));
	s->view_stale = true;
}

/* True if this departed member was not known and was added. */
static bool departed_add(struct swim *s, const struct swim_update *u)
{
	struct swim_departed *d;
	int64_t age_us = u->age_ms * US_PER_MS;

	if (age_us > DEPARTED_GOSSIP_MAX_AGE_US ||
	    departed_find(s, u->member.incarnation))
		return false;
	if (s->departed_count == SWIM_DEPARTED_MAX)
		departed_drop(s, 0);
	if (s->departed_count == s->departed_cap) {
		s->departed_cap = s->departed_cap ? s->departed_cap * 2 : 16;
		s->departed = check_alloc(realloc(
			s->departed,
			s->departed_cap * sizeof(struct swim_departed *)));
	}
	d = check_alloc(calloc(1, sizeof(*d)));
	d->member = u->member;
	d->member.state = MEMBER_LEFT;
	d->generation = u->generation;
	d->sequence = u->sequence;
	d->left_us = s->now_us - age_us;
	s->departed[s->departed_count++] = d;
	queue_first(s, &d->rumour);
	s->view_stale = true;
	return true;
}

/* ---- order of records ---- */

static int32_t state_precedence(enum member_state st)
{
	static const int32_t order[] = {
		[MEMBER_ALIVE] = 0,
		[MEMBER_SUSPECT] = 1,
		[MEMBER_DEAD] = 2,
		[MEMBER_LEFT] = 3,
	};

	return order[st];
}

/* True if the update is of a later incarnation than the known record. */
static bool is_later_incarnation(const struct swim_node *n,
				 const struct swim_update *u)
{
	if (u->generation != n->generation)
		return u->generation > n->generation;
	return u->member.incarnation > n->member.incarnation;
}

static bool is_later_record(const struct swim_node *n,
			    const struct swim_update *u)
{
	if (n->member.state == MEMBER_LEFT)
		return false;
	if (u->member.state == MEMBER_LEFT)
		return true;
	if (u->sequence != n->sequence)
		return u->sequence > n->sequence;
	if (n->dead_here_only)
		return u->member.state != MEMBER_DEAD;
	if (u->member.state == MEMBER_DEAD && n->member.state == MEMBER_DEAD)
		return u->scope < n->scope;
	return state_precedence(u->member.state) >
	       state_precedence(n->member.state);
}

/* ---- merging ---- */

void swim_republish_self(struct swim *s)
{
	s->self->sequence++;
	s->view_stale = true;
	queue_first(s, &s->self->state_rumour);
}

static bool apply_self(struct swim *s, const struct swim_update *u)
{
	struct swim_node *n = s->self;

	if (u->kind == UPDATE_REPORTS)
		return false;
	if (u->member.incarnation == n->member.incarnation) {
		if (s->leaving || (u->member.state == MEMBER_ALIVE &&
				   u->sequence <= n->sequence))
			return false;
		if (u->sequence < n->sequence)
			return false;
		n->sequence = u->sequence;
		s->stats.refutations++;
		swim_republish_self(s);
		return true;
	}
	if (!is_later_incarnation(n, u) && u->generation < n->generation)
		return false;
	if (s->now_us - s->start_us < TAKEOVER_WINDOW_US) {
		n->generation = u->generation + 1;
		swim_republish_self(s);
		return true;
	}
	if (is_later_incarnation(n, u))
		s->superseded = true;
	return false;
}

static bool apply_reports(struct swim *s, struct swim_node *n,
			  const struct swim_msg *m, const struct swim_update *u)
{
	const struct swim_reports *l = &m->report_lists[u->report_list];

	if (!n || !swim_is_live(n) || u->sequence <= n->report_version ||
	    n->member.incarnation != u->member.incarnation)
		return false;
	free(n->reports);
	n->reports = NULL;
	n->report_count = l->count;
	n->report_version = u->sequence;
	if (l->count) {
		n->reports =
			check_alloc(malloc(l->count * sizeof(*n->reports)));
		memcpy(n->reports, l->reports, l->count * sizeof(*n->reports));
	}
	queue_first(s, &n->report_rumour);
	s->view_stale = true;
	return true;
}

enum swim_scope swim_scope_of(const struct swim *s, const struct member *m)
{
	if (m->dc == s->self->member.dc)
		return SCOPE_SAME_DC;
	return m->region == s->self->member.region ? SCOPE_SAME_REGION :
						     SCOPE_OTHER_REGION;
}

/* True if a daemon that is farther from the member than this one declared it
 * dead. That daemon may only have lost its path to the member. */
static bool is_from_farther_away(const struct swim *s,
				 const struct swim_node *n,
				 const struct swim_update *u)
{
	return u->member.state == MEMBER_DEAD &&
	       u->scope > swim_scope_of(s, &n->member);
}

static void queue_recheck(struct swim *s, const struct swim_node *n)
{
	s->recheck_ids[s->recheck_next++ % SWIM_RECHECKS_MAX] = n->member.id;
}

/* A few daemons in the region of a suspected member probe it themselves.
 * Whether it is declared dead then does not depend on a single daemon, and need
 * not wait for one in another region. */
static void maybe_recheck_suspect(struct swim *s, const struct swim_node *n)
{
	if (n->member.state == MEMBER_SUSPECT &&
	    swim_scope_of(s, &n->member) != SCOPE_OTHER_REGION &&
	    swim_random_below(s, s->dc_live_count) < EXPECTED_RECHECKERS)
		queue_recheck(s, n);
}

/* Replaces the state and, if the update has them, the attributes. */
static void store_record(struct swim *s, struct swim_node *n,
			 const struct swim_update *u, bool gossip)
{
	if (n->member.incarnation != u->member.incarnation ||
	    n->member.dc != u->member.dc) {
		/* A new incarnation implies that the old one is dead. */
		if (swim_is_live(n))
			swim_set_state(s, n, MEMBER_DEAD, false);
	}
	adjust_counts(s, n, -1);
	if (n->member.incarnation != u->member.incarnation)
		n->first_seen_us = s->now_us;
	n->generation = u->generation;
	n->sequence = u->sequence;
	n->scope = u->scope;
	if (u->kind == UPDATE_FULL) {
		enum member_state old_state = n->member.state;

		n->member = u->member;
		n->member.state = old_state;
	}
	adjust_counts(s, n, 1);
	swim_set_state(s, n, u->member.state, gossip);
}

const struct swim_node *swim_find_newer(const struct swim *s,
					const struct swim_update *u)
{
	const struct swim_node *n = swim_find(s, u->member.id);

	if (!n || n->dead_here_only)
		return NULL;
	if (u->kind == UPDATE_REPORTS)
		return u->member.incarnation == n->member.incarnation &&
				       u->sequence < n->report_version ?
			       n :
			       NULL;
	if (u->member.incarnation != n->member.incarnation)
		return is_later_incarnation(n, u) ? NULL : n;
	if (u->sequence != n->sequence)
		return u->sequence < n->sequence ? n : NULL;
	return state_precedence(u->member.state) <
			       state_precedence(n->member.state) ?
		       n :
		       NULL;
}

bool swim_apply(struct swim *s, const struct swim_msg *m,
		const struct swim_update *u)
{
	struct swim_node *n;
	bool changed = false;

	/* This includes former incarnations of this daemon. */
	if (u->kind == UPDATE_FULL && u->member.state == MEMBER_LEFT &&
	    u->member.successor &&
	    u->member.incarnation != s->self->member.incarnation)
		changed = departed_add(s, u);
	if (u->member.id == s->self->member.id)
		return apply_self(s, u) || changed;
	n = swim_find(s, u->member.id);
	if (u->kind == UPDATE_REPORTS)
		return apply_reports(s, n, m, u);
	if (!n) {
		/* A member that was never known need not be recorded as
		 * dead or left. */
		if (u->kind != UPDATE_FULL || u->member.state == MEMBER_DEAD ||
		    u->member.state == MEMBER_LEFT)
			return changed;
		n = node_add(s, u->member.id);
		store_record(s, n, u, true);
		return true;
	}
	if (n->member.incarnation == u->member.incarnation) {
		if (!is_later_record(n, u))
			return changed;
		if (is_from_farther_away(s, n, u)) {
			queue_recheck(s, n);
			return changed;
		}
	} else if (!is_later_incarnation(n, u) || u->kind != UPDATE_FULL) {
		return changed;
	}
	/* If the update added a departed record, that one is queued for gossip
	 * instead. */
	store_record(s, n, u, !changed);
	maybe_recheck_suspect(s, n);
	return true;
}

/* ---- expiry ---- */

static void node_remove(struct swim *s, uint32_t i)
{
	struct swim_node *n = s->nodes[i];

	adjust_counts(s, n, -1);
	unqueue(s, &n->state_rumour);
	drop_reports(s, n);
	free(n);
	memmove(s->nodes + i, s->nodes + i + 1,
		(--s->node_count - i) * sizeof(struct swim_node *));
}

void swim_expire(struct swim *s)
{
	for (uint32_t i = s->node_count; i-- > 0;) {
		const struct swim_node *n = s->nodes[i];
		int64_t age_us = s->now_us - n->changed_us;

		if (swim_is_live(n))
			continue;
		if (s->tombstone_count > SWIM_TOMBSTONES_MAX ||
		    (age_us > DEAD_KEEP_US &&
		     !swim_is_on_platform(s, n->member.id)))
			node_remove(s, i);
	}
	for (uint32_t i = s->departed_count; i-- > 0;)
		if (s->now_us - s->departed[i]->left_us > SWIM_DEPARTED_KEEP_US)
			departed_drop(s, i);
}

/* ---- messages ---- */

static uint32_t full_bytes(const struct member *m)
{
	return FULL_BYTES + ((uint32_t)strlen(m->name) + 3) / 4 * 4;
}

uint32_t swim_msg_bytes(const struct swim_msg *m)
{
	uint32_t n = SWIM_HEADER_BYTES;

	switch (m->kind) {
	case SWIM_PING_REQUEST:
	case SWIM_INDIRECT_ACK:
	case SWIM_NACK:
		n += 16;
		break;
	case SWIM_PAGE_REQUEST:
		n += 12;
		break;
	case SWIM_PAGE:
		n += 8;
		break;
	case SWIM_SYNC:
		n += 20 + m->hash_count * HASH_BYTES;
		break;
	default:
		break;
	}
	for (uint32_t i = 0; i < m->update_count; i++) {
		const struct swim_update *u = &m->updates[i];

		if (u->kind == UPDATE_BRIEF)
			n += BRIEF_BYTES;
		else if (u->kind == UPDATE_FULL)
			n += full_bytes(&u->member);
		else
			n += REPORTS_BYTES +
			     m->report_lists[u->report_list].count *
				     REPORT_BYTES;
	}
	return n;
}

static struct swim_update *add_update(struct swim_msg *m, uint32_t bytes,
				      uint32_t max_bytes)
{
	struct swim_update *u;

	if (m->update_count == SWIM_UPDATES_MAX ||
	    swim_msg_bytes(m) + bytes > max_bytes)
		return NULL;
	u = &m->updates[m->update_count++];
	u->report_list = 0;
	u->age_ms = 0;
	u->scope = SCOPE_SAME_DC;
	return u;
}

static bool has_update(const struct swim_msg *m, uint64_t incarnation,
		       bool reports)
{
	for (uint32_t i = 0; i < m->update_count; i++)
		if (m->updates[i].member.incarnation == incarnation &&
		    (m->updates[i].kind == UPDATE_REPORTS) == reports)
			return true;
	return false;
}

bool swim_add_state(struct swim *s, struct swim_msg *m,
		    const struct swim_node *n, bool full, uint32_t max_bytes)
{
	struct swim_update *u;

	if (has_update(m, n->member.incarnation, false))
		return true;
	u = add_update(m, full ? full_bytes(&n->member) : BRIEF_BYTES,
		       max_bytes);
	if (!u)
		return false;
	u->kind = full ? UPDATE_FULL : UPDATE_BRIEF;
	u->member = n->member;
	u->generation = n->generation;
	u->sequence = n->sequence;
	if (n->member.state == MEMBER_DEAD)
		u->scope = n->scope;
	if (n->member.state == MEMBER_LEFT)
		u->age_ms = (uint32_t)((s->now_us - n->changed_us) / US_PER_MS);
	return true;
}

bool swim_add_reports(struct swim_msg *m, const struct swim_node *n,
		      uint32_t max_bytes)
{
	struct swim_update *u;
	struct swim_reports *l;

	if (has_update(m, n->member.incarnation, true))
		return true;
	if (m->report_list_count == SWIM_REPORT_LISTS_MAX)
		return false;
	u = add_update(m, REPORTS_BYTES + n->report_count * REPORT_BYTES,
		       max_bytes);
	if (!u)
		return false;
	u->kind = UPDATE_REPORTS;
	u->member = n->member;
	u->generation = n->generation;
	u->sequence = n->report_version;
	u->report_list = (uint8_t)m->report_list_count;
	l = &m->report_lists[m->report_list_count++];
	l->count = n->report_count;
	if (n->report_count)
		memcpy(l->reports, n->reports,
		       n->report_count * sizeof(*l->reports));
	return true;
}

bool swim_add_departed(struct swim *s, struct swim_msg *m,
		       const struct swim_departed *d, uint32_t max_bytes)
{
	struct swim_update *u;
	int64_t age_us = s->now_us - d->left_us;

	if (age_us > DEPARTED_GOSSIP_MAX_AGE_US ||
	    has_update(m, d->member.incarnation, false))
		return true;
	u = add_update(m, full_bytes(&d->member), max_bytes);
	if (!u)
		return false;
	u->kind = UPDATE_FULL;
	u->member = d->member;
	u->generation = d->generation;
	u->sequence = d->sequence;
	u->age_ms = age_us < 0 ? 0 : (uint32_t)(age_us / US_PER_MS);
	return true;
}

/* True if gossip must carry the full record of the member. A refutation need
 * not repeat attributes that all daemons know. `stopping` and `successor` are
 * taken only from full records, so that a member with one of them needs a full
 * record too; neither is ever taken back. */
static bool needs_full_record(const struct swim *s, const struct swim_node *n)
{
	return n->member.state == MEMBER_ALIVE &&
	       (n->member.stopping || n->member.successor ||
		s->now_us - n->first_seen_us < FULL_RECORD_US);
}

static bool add_rumour(struct swim *s, struct swim_msg *m,
		       struct swim_rumour *r, uint32_t max_bytes)
{
	if (!r->node)
		return swim_add_departed(
			s, m, az_container_of(r, struct swim_departed, rumour),
			max_bytes);
	if (r->of_reports)
		return swim_add_reports(m, r->node, max_bytes);
	return swim_add_state(s, m, r->node, needs_full_record(s, r->node),
			      max_bytes);
}

void swim_add_rumours(struct swim *s, struct swim_msg *m, uint32_t target_bytes)
{
	uint32_t limit = 3 * (swim_log2(s->live_count + 1) + 1);
	uint32_t n = s->rumour_count;
	struct swim_rumour *r = s->rumours.next;

	/* A rumour moves to the end once it is sent, so that those sent least
	 * often come first. */
	while (n-- > 0) {
		struct swim_rumour *next = r->next;

		if (!add_rumour(s, m, r, target_bytes)) {
			if (swim_msg_bytes(m) + BRIEF_BYTES > target_bytes)
				return;
			r = next;
			continue;
		}
		r->sent_count++;
		unqueue(s, r);
		if (r->sent_count < limit)
			queue_before(s, r, &s->rumours);
		r = next;
	}
}

/* ---- random members ---- */

struct swim_node *swim_random_local(struct swim *s, uint64_t exclude_id)
{
	for (uint32_t i = 0; s->probe_order_count && i < 8; i++) {
		uint64_t id = s->probe_order[swim_random_below(
			s, s->probe_order_count)];

		if (id != exclude_id)
			return swim_find(s, id);
	}
	return NULL;
}

struct swim_node *swim_random_remote(struct swim *s, uint64_t exclude_id)
{
	if (s->live_count == s->dc_live_count)
		return NULL;
	for (uint32_t i = 0; i < 32; i++) {
		struct swim_node *n =
			s->nodes[swim_random_below(s, s->node_count)];

		if (swim_is_live(n) && n->member.id != exclude_id &&
		    n->member.dc != s->self->member.dc)
			return n;
	}
	return NULL;
}

/* ---- state of this daemon ---- */

static bool same_reports(const struct swim_node *n,
			 const struct member_report *list, uint32_t count)
{
	if (count != n->report_count)
		return false;
	for (uint32_t i = 0; i < count; i++)
		if (list[i].subject != n->reports[i].subject ||
		    list[i].kind != n->reports[i].kind ||
		    list[i].severity != n->reports[i].severity)
			return false;
	return true;
}

void swim_set_reports(struct swim *s, const struct member_report *list,
		      uint32_t count)
{
	struct swim_node *n = s->self;

	if (count > MEMBER_REPORTS_MAX)
		count = MEMBER_REPORTS_MAX;
	if (same_reports(n, list, count))
		return;
	free(n->reports);
	n->reports = NULL;
	if (count) {
		n->reports = check_alloc(malloc(count * sizeof(*list)));
		memcpy(n->reports, list, count * sizeof(*list));
	}
	n->report_count = count;
	n->report_version++;
	queue_first(s, &n->report_rumour);
	s->view_stale = true;
}

void swim_set_stopping(struct swim *s)
{
	if (s->self->member.stopping)
		return;
	s->self->member.stopping = true;
	swim_republish_self(s);
}

void swim_set_successor(struct swim *s, uint64_t incarnation)
{
	if (s->self->member.successor == incarnation)
		return;
	s->self->member.successor = incarnation;
	swim_republish_self(s);
}

/* ---- construction and views ---- */

struct swim *swim_new(const struct member *self, uint32_t period_ms,
		      uint64_t seed, int64_t now_us)
{
	struct swim *s = check_alloc(calloc(1, sizeof(*s)));
	struct swim_node *n;

	s->period_us = (period_ms ? period_ms : SWIM_PERIOD_MS) * US_PER_MS;
	s->start_us = now_us;
	s->now_us = now_us;
	s->tick_us = now_us;
	s->received_us = now_us;
	s->random = seed;
	s->rumours.next = &s->rumours;
	s->rumours.prev = &s->rumours;
	n = node_add(s, self->id);
	s->self = n;
	n->member = *self;
	n->member.state = MEMBER_DEAD;
	n->member.name[MEMBER_NAME_MAX_BYTES - 1] = '\0';
	n->sequence = 1;
	n->first_seen_us = now_us;
	swim_set_state(s, n, MEMBER_ALIVE, true);
	/* Random phase, so that the periods of daemons started together do not
	 * coincide. */
	s->next_period_us =
		now_us + swim_random_below(s, (uint32_t)s->period_us);
	s->next_probe_us = s->next_period_us;
	s->budget_us = now_us;
	s->budget_bytes = SWIM_BUDGET_MAX_BYTES;
	return s;
}

void swim_free(struct swim *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->node_count; i++) {
		free(s->nodes[i]->reports);
		free(s->nodes[i]);
	}
	for (uint32_t i = 0; i < s->departed_count; i++)
		free(s->departed[i]);
	free(s->nodes);
	free(s->departed);
	free(s->probe_order);
	free(s->platform_ids);
	free(s);
}

uint64_t swim_memory_bytes(const struct swim *s)
{
	uint64_t n = sizeof(*s) + s->node_cap * sizeof(struct swim_node *) +
		     s->node_count * sizeof(struct swim_node) +
		     s->probe_order_cap * sizeof(*s->probe_order) +
		     s->departed_cap * sizeof(struct swim_departed *) +
		     s->departed_count * sizeof(struct swim_departed) +
		     s->platform_id_count * sizeof(*s->platform_ids);

	for (uint32_t i = 0; i < s->node_count; i++)
		n += s->nodes[i]->report_count * sizeof(struct member_report);
	return n;
}

static int by_subject(const void *a, const void *b)
{
	const struct member_report *x = a;
	const struct member_report *y = b;

	if (x->subject != y->subject)
		return x->subject < y->subject ? -1 : 1;
	return x->kind - y->kind;
}

struct member_view *swim_view(struct swim *s, uint64_t version)
{
	struct member *members =
		check_alloc(calloc(s->live_count + 1, sizeof(*members)));
	struct member *departed_members = check_alloc(
		calloc(s->departed_count + 1, sizeof(*departed_members)));
	struct member_report *reports;
	struct member_view *v;
	uint32_t n = 0;
	uint32_t total = 0;

	for (uint32_t i = 0; i < s->node_count; i++)
		total += s->nodes[i]->report_count;
	reports = check_alloc(calloc(total + 1, sizeof(*reports)));
	total = 0;
	for (uint32_t i = 0; i < s->node_count; i++) {
		const struct swim_node *node = s->nodes[i];

		if (!swim_is_live(node))
			continue;
		members[n++] = node->member;
		if (node->report_count)
			memcpy(reports + total, node->reports,
			       node->report_count * sizeof(*reports));
		total += node->report_count;
	}
	qsort(reports, total, sizeof(*reports), by_subject);
	for (uint32_t i = 0; i < s->departed_count; i++)
		departed_members[i] = s->departed[i]->member;
	v = member_view_new(version, members, n, departed_members,
			    s->departed_count, reports, total);
	free(members);
	free(departed_members);
	free(reports);
	s->view_stale = false;
	return v;
}
