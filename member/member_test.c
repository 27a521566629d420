#include <sched.h>
#include <time.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "member/member_model.h"

#define SEED 7

static apr_pool_t *pool;

/* ---- protocol in simulated time ---- */

static struct model *start_fleet(uint32_t count)
{
	struct model *m = model_new(count, 6, 3, SEED);

	model_start_all(m);
	model_run(m, 3 * US_PER_S);
	return m;
}

static bool all_see_all(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		for (uint32_t j = 0; j < m->count; j++)
			if (m->daemons[i].swim && m->daemons[j].swim &&
			    !model_sees(m, i, j))
				return false;
	return true;
}

static uint32_t observed;

static bool all_lost_observed(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		if (i != observed && m->daemons[i].swim &&
		    model_sees(m, i, observed))
			return false;
	return true;
}

static uint64_t declared_deaths(const struct model *m)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < m->count; i++)
		if (m->daemons[i].swim)
			n += m->daemons[i].swim->stats.declared_dead;
	return n;
}

/* Guards against incomplete views after joining: a daemon that does not learn
 * of all members, or of which not all members learn. */
static void test_join(void)
{
	struct model *m = model_new(40, 6, 3, SEED);

	for (uint32_t i = 0; i < m->count; i++)
		model_start(m, i);
	CU_ASSERT(model_run_until(m, 10 * US_PER_S, all_see_all) >= 0);
	CU_ASSERT_EQUAL(declared_deaths(m), 0);
	model_free(m);
}

/* Guards against a killed member that stays in the views of others for 5 s or
 * longer. */
static void test_kill_is_detected(void)
{
	struct model *m = start_fleet(40);
	int64_t t;

	observed = 11;
	model_kill(m, observed);
	t = model_run_until(m, 60 * US_PER_S, all_lost_observed);
	CU_ASSERT(t >= 0 && t < 5 * US_PER_S);
	CU_ASSERT(all_see_all(m));
	model_free(m);
}

static struct swim_update record_of(const struct model *m, uint32_t i,
				    enum member_state st)
{
	const struct swim_node *n = m->daemons[i].swim->self;
	struct swim_update u = { .kind = UPDATE_BRIEF,
				 .member = n->member,
				 .generation = n->generation,
				 .sequence = n->sequence };

	u.member.state = st;
	return u;
}

/* Guards against a live member that one daemon recorded as dead and that does
 * not refute it. */
static void test_refutation(void)
{
	struct model *m = start_fleet(40);
	struct swim_update u = record_of(m, 5, MEMBER_DEAD);

	CU_ASSERT(swim_apply(m->daemons[9].swim, NULL, &u));
	CU_ASSERT(!model_sees(m, 9, 5));
	model_run(m, 5 * US_PER_S);
	CU_ASSERT(all_see_all(m));
	CU_ASSERT_EQUAL(m->daemons[5].swim->stats.refutations, 1);
	CU_ASSERT_EQUAL(m->daemons[5].swim->self->sequence, u.sequence + 1);
	model_free(m);
}

/* Guards against live members that are declared dead because a fifth of all
 * datagrams is lost. */
static void test_no_false_death_under_loss(void)
{
	struct model *m = start_fleet(40);

	m->loss_percent = 20;
	model_run(m, 300 * US_PER_S);
	CU_ASSERT_EQUAL(declared_deaths(m), 0);
	model_free(m);
}

static bool dc_blocked(struct model *m, uint32_t from, uint32_t to)
{
	return m->daemons[from].dc == 1 && m->daemons[to].dc == 2;
}

/* Guards against live members that are declared dead because one data centre
 * cannot send to another, or a daemon cannot send to about 5 % of the others.
 */
static void test_no_false_death_under_one_way_cuts(void)
{
	struct model *m = start_fleet(40);

	m->is_blocked = dc_blocked;
	m->pair_blocked = model_alloc((size_t)m->count * m->count);
	for (uint32_t i = 0; i < m->count * m->count; i++)
		m->pair_blocked[i] = model_random_below(m, 100) < 5;
	model_run(m, 300 * US_PER_S);
	CU_ASSERT_EQUAL(declared_deaths(m), 0);
	model_free(m);
}

static bool inbound_blocked(struct model *m, uint32_t from, uint32_t to)
{
	return to == 3;
}

static bool outbound_blocked(struct model *m, uint32_t from, uint32_t to)
{
	return from == 3;
}

static void assert_others_live(const struct model *m, uint32_t exclude_id)
{
	for (uint32_t i = 0; i < m->count; i++)
		for (uint32_t j = 0; j < m->count; j++)
			if (i != exclude_id && j != exclude_id)
				CU_ASSERT(model_sees(m, i, j));
}

static void check_one_cut_off(bool (*cut)(struct model *m, uint32_t from,
					  uint32_t to))
{
	struct model *m = start_fleet(40);

	m->is_blocked = cut;
	for (int32_t s = 0; s < 60; s++) {
		model_run(m, US_PER_S);
		assert_others_live(m, 3);
	}
	CU_ASSERT(!model_sees(m, 0, 3));
	m->is_blocked = NULL;
	for (int32_t s = 0; s < 60; s++) {
		model_run(m, US_PER_S);
		assert_others_live(m, 3);
	}
	CU_ASSERT(all_see_all(m));
	model_free(m);
}

/* Guards against a daemon that receives nothing, or whose datagrams are all
 * lost, and makes others declare live members dead: while it is cut off, or
 * when its network path is restored. */
static void test_cut_off_daemon_declares_nobody_dead(void)
{
	check_one_cut_off(inbound_blocked);
	check_one_cut_off(outbound_blocked);
}

/* Guards against daemons close to a member that accept its death from a daemon
 * in another region, which may only be cut off from that region. */
static void test_death_declared_in_other_region_is_rechecked(void)
{
	struct model *m = start_fleet(40);
	struct swim_update u = record_of(m, 5, MEMBER_DEAD);

	u.scope = SCOPE_OTHER_REGION;
	CU_ASSERT(!swim_apply(m->daemons[11].swim, NULL,
			      &u)); /* same data centre */
	CU_ASSERT(!swim_apply(m->daemons[8].swim, NULL, &u)); /* same region */
	CU_ASSERT(swim_apply(m->daemons[0].swim, NULL, &u)); /* other region */
	CU_ASSERT(model_sees(m, 11, 5) && model_sees(m, 8, 5));
	model_free(m);
}

/* Guards against a late record of the incarnation before a restart that
 * replaces the record of the new incarnation, because its sequence number is
 * higher. */
static void test_restart(void)
{
	struct model *m = start_fleet(40);
	struct swim_update old = record_of(m, 11, MEMBER_ALIVE);
	int64_t t;

	model_kill(m, 11);
	model_start(m, 11);
	t = model_run_until(m, 10 * US_PER_S, all_see_all);
	CU_ASSERT(t >= 0 && t < 5 * US_PER_S);
	old.kind = UPDATE_FULL;
	old.sequence += 100;
	for (uint32_t i = 0; i < m->count; i++)
		if (i != 11)
			CU_ASSERT(!swim_apply(m->daemons[i].swim, NULL, &old));
	model_run(m, 5 * US_PER_S);
	CU_ASSERT(all_see_all(m));
	model_free(m);
}

/* Guards against two processes with the same id that take it from each other
 * again and again: the older one must give way. */
static void test_old_process_is_superseded(void)
{
	struct model *m = start_fleet(12);
	struct swim *old = m->daemons[4].swim;
	struct swim_update u;

	model_run(m, 120 * US_PER_S);
	u = record_of(m, 4, MEMBER_ALIVE);
	u.member.incarnation++;
	u.generation++;
	CU_ASSERT(!swim_apply(old, NULL, &u));
	CU_ASSERT(old->superseded);
	model_free(m);
}

static void leave(struct model *m, uint32_t i, uint64_t successor)
{
	struct swim *s = m->daemons[i].swim;

	swim_set_stopping(s);
	swim_set_successor(s, successor);
	swim_leave(s, m->now_us, m->outbox);
	model_flush(m, i);
	model_kill(m, i);
}

/* Guards against tickets that are refused because the successor of their issuer
 * is not found, also after the issuer has restarted, and against records of
 * departed members that never expire because daemons keep sending them to each
 * other. */
static void test_leave_with_successor(void)
{
	struct model *m = start_fleet(12);
	uint64_t left = m->daemons[4].incarnation;
	const struct member_view *v;
	const struct member *found;

	leave(m, 4, m->daemons[5].incarnation);
	model_run(m, 2 * US_PER_S);
	for (uint32_t i = 0; i < m->count; i++) {
		if (i == 4)
			continue;
		v = swim_view(m->daemons[i].swim, 1);
		CU_ASSERT_EQUAL(v->member_count, 11);
		found = member_view_issuer(v, MODEL_IP + 4, 7100, left);
		CU_ASSERT(found && found->id == model_id(5));
		CU_ASSERT_PTR_NULL(
			member_view_issuer(v, MODEL_IP + 5, 7100, left));
		member_view_release(v);
	}
	model_start(m, 4);
	model_run(m, 600 * US_PER_S);
	CU_ASSERT(all_see_all(m));
	v = swim_view(m->daemons[4].swim, 1);
	found = member_view_issuer(v, MODEL_IP + 4, 7100, left);
	CU_ASSERT(found && found->id == model_id(5));
	member_view_release(v);
	model_run(m, 400 * US_PER_S);
	for (uint32_t i = 0; i < m->count; i++)
		CU_ASSERT_EQUAL(m->daemons[i].swim->departed_count, 0);
	model_free(m);
}

static bool severity_is_known(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++) {
		const struct member_view *v;
		uint8_t severity;

		if (!m->daemons[i].swim)
			continue;
		v = swim_view(m->daemons[i].swim, 1);
		severity = member_view_report_severity(v, 77, REPORT_CELL_BUSY);
		member_view_release(v);
		if (severity != (m->daemons[5].swim ? 9 : 0))
			return false;
	}
	return true;
}

/* Guards against reports that do not reach all daemons, and reports that remain
 * in views after the reporting member has died. */
static void test_reports(void)
{
	struct model *m = start_fleet(40);
	struct member_report list[MEMBER_REPORTS_MAX + 1] = {
		{ 77, REPORT_CELL_BUSY, 9 }
	};

	for (uint32_t i = 1; i <= MEMBER_REPORTS_MAX; i++)
		list[i] = (struct member_report){ 1000 + i,
						  REPORT_WORKER_UNHEALTHY, 1 };
	swim_set_reports(m->daemons[5].swim, list, MEMBER_REPORTS_MAX + 1);
	CU_ASSERT_EQUAL(m->daemons[5].swim->self->report_count,
			MEMBER_REPORTS_MAX);
	CU_ASSERT(model_run_until(m, 5 * US_PER_S, severity_is_known) >= 0);
	/* Anti-entropy repairs a lost update. */
	swim_find(m->daemons[8].swim, model_id(5))->report_version = 0;
	swim_find(m->daemons[8].swim, model_id(5))->report_count = 0;
	CU_ASSERT(!severity_is_known(m));
	CU_ASSERT(model_run_until(m, 60 * US_PER_S, severity_is_known) >= 0);
	model_kill(m, 5);
	CU_ASSERT(model_run_until(m, 10 * US_PER_S, severity_is_known) >= 0);
	model_free(m);
}

/* Guards against a daemon that suspects others after a pause of its process,
 * because their answers to its probes were not read in time. */
static void test_pause(void)
{
	struct model *m = start_fleet(40);
	struct swim *s = m->daemons[7].swim;

	m->daemons[7].paused = true;
	observed = 7;
	CU_ASSERT(model_run_until(m, 10 * US_PER_S, all_lost_observed) >= 0);
	m->daemons[7].paused = false;
	model_run(m, 2 * US_PER_S);
	CU_ASSERT_EQUAL(s->stats.pauses, 1);
	CU_ASSERT_EQUAL(s->stats.suspicions, 0);
	CU_ASSERT(all_see_all(m));
	model_free(m);
}

static int64_t detection_time_us(bool listed)
{
	struct model *m = start_fleet(40);
	uint64_t ids[40];
	int64_t t;

	observed = 13;
	for (uint32_t i = 0; i < 40; i++)
		ids[i] = model_id(i == observed && !listed ? 1000 : i);
	for (uint32_t i = 0; i < 40; i++)
		swim_set_platform_ids(m->daemons[i].swim, ids, 40);
	model_kill(m, observed);
	t = model_run_until(m, 60 * US_PER_S, all_lost_observed);
	model_free(m);
	return t;
}

/* Guards against a platform's list of VMs that has no effect: a killed member
 * that is not on it must be declared dead sooner. */
static void test_member_off_platform_list_is_lost_sooner(void)
{
	CU_ASSERT(detection_time_us(false) < detection_time_us(true));
}

static bool region_blocked(struct model *m, uint32_t from, uint32_t to)
{
	return (m->daemons[from].region == 1) != (m->daemons[to].region == 1);
}

/* Guards against regions that do not find each other again after a network
 * partition, and against members of a region that lose each other when it
 * heals. */
static void test_region_partition_heals(void)
{
	struct model *m = start_fleet(42);

	m->is_blocked = region_blocked;
	model_run(m, 60 * US_PER_S);
	CU_ASSERT(!model_sees(m, 0, 1));
	m->is_blocked = NULL;
	for (uint32_t s = 0; s < 30; s++) {
		model_run(m, US_PER_S);
		for (uint32_t i = 0; i < m->count; i++)
			for (uint32_t j = i % 3; j < m->count; j += 3)
				CU_ASSERT(model_sees(m, i, j));
	}
	CU_ASSERT(all_see_all(m));
	model_free(m);
}

/* Guards against state, datagrams and traffic that grow without bound, with
 * more departed and dead members, reports and seeds than there is room for. */
static void test_bounds(void)
{
	struct model *m = start_fleet(12);
	struct swim *s = m->daemons[0].swim;
	struct member_report list[MEMBER_REPORTS_MAX];
	struct swim_update u = record_of(m, 1, MEMBER_LEFT);

	for (uint32_t i = 0; i < MEMBER_REPORTS_MAX; i++)
		list[i] = (struct member_report){ i, REPORT_CELL_BUSY, 1 };
	for (uint32_t i = 0; i < m->count; i++)
		swim_set_reports(m->daemons[i].swim, list, MEMBER_REPORTS_MAX);
	u.kind = UPDATE_FULL;
	for (uint32_t i = 0; i < SWIM_TOMBSTONES_MAX + 200; i++) {
		u.member.id = model_id(5000 + i);
		u.member.incarnation = model_random(m);
		u.member.successor = i + 1;
		u.member.state = MEMBER_LEFT;
		swim_apply(s, NULL, &u);
		u.member.state = MEMBER_ALIVE;
		swim_apply(s, NULL, &u);
		u.member.state = MEMBER_DEAD;
		swim_apply(s, NULL, &u);
	}
	CU_ASSERT_EQUAL(s->departed_count, SWIM_DEPARTED_MAX);
	model_run(m, 5 * US_PER_S);
	CU_ASSERT(s->tombstone_count <= SWIM_TOMBSTONES_MAX);
	for (uint32_t i = 0; i < 2 * SWIM_SEEDS_MAX; i++)
		swim_add_seed(s, MODEL_IP + i, 1);
	CU_ASSERT_EQUAL(s->seed_count, SWIM_SEEDS_MAX);
	/* Thousands of rumours are queued now, as while a region is cut off. */
	for (uint32_t i = 0; i < m->count; i++)
		m->daemons[i].sent_bytes = 0;
	model_run(m, 60 * US_PER_S);
	for (uint32_t i = 0; i < m->count; i++) {
		CU_ASSERT(m->daemons[i].sent_bytes < UINT64_C(60) * 12000);
		CU_ASSERT(m->daemons[i].longest_bytes <=
			  SWIM_DATAGRAM_MAX_BYTES);
	}
	model_free(m);
}

static void copy_received_digest(struct model *m, uint32_t i)
{
	struct swim *s = m->daemons[i].swim;

	if (s->received_digest > s->digest)
		swim_set_digest(s, s->received_digest);
}

/* Guards against a new configuration digest that does not reach all daemons. */
static void test_digest_reaches_all(void)
{
	struct model *m = start_fleet(40);

	m->after = copy_received_digest;
	m->daemons[2].swim->now_us = m->now_us;
	swim_set_digest(m->daemons[2].swim, 99);
	model_run(m, 3 * US_PER_S);
	for (uint32_t i = 0; i < m->count; i++)
		CU_ASSERT_EQUAL(m->daemons[i].swim->digest, 99);
	model_free(m);
}

/* ---- datagrams ---- */

/* Guards against datagrams that are accepted twice, and late datagrams within
 * the window that are refused. */
static void test_replays(void)
{
	struct replay_guard *g = replay_guard_new();

	CU_ASSERT(replay_guard_accept(g, 1, 100));
	CU_ASSERT(!replay_guard_accept(g, 1, 100));
	CU_ASSERT(replay_guard_accept(g, 1, 99));
	CU_ASSERT(!replay_guard_accept(g, 1, 99));
	CU_ASSERT(!replay_guard_accept(g, 1, 36));
	CU_ASSERT(replay_guard_accept(g, 1, 37));
	CU_ASSERT(replay_guard_accept(g, 2, 100));
	CU_ASSERT(replay_guard_accept(g, 1, 1000));
	CU_ASSERT(!replay_guard_accept(g, 1, 100));
	CU_ASSERT(!replay_guard_accept(g, 1, 0));
	replay_guard_free(g);
}

static struct swim_msg *sample_msg(enum swim_kind kind)
{
	struct model *m = start_fleet(12);
	struct swim_msg *msg = model_alloc(sizeof(*msg));
	struct swim *s = m->daemons[0].swim;
	struct member_report r = { 8, REPORT_WORKER_LEAVING, 3 };

	swim_set_reports(s, &r, 1);
	msg->kind = kind;
	msg->sender_id = 5;
	msg->sender_incarnation = 6;
	msg->range_bits = 5;
	msg->first_range = 2;
	msg->hash_count = 30;
	swim_add_state(s, msg, s->nodes[1], true, 1200);
	swim_add_state(s, msg, s->nodes[2], false, 1200);
	swim_add_reports(msg, s->self, 1200);
	model_free(m);
	return msg;
}

/* Guards against a computed size that differs from the encoded one, and fields
 * that are lost in encoding or decoding. */
static void test_encoding(void)
{
	struct swim_msg *out = model_alloc(sizeof(*out));
	uint8_t data[SWIM_DATAGRAM_MAX_BYTES];
	uint8_t again[SWIM_DATAGRAM_MAX_BYTES];

	for (uint32_t k = 0; k < SWIM_KIND_COUNT; k++) {
		struct swim_msg *in = sample_msg((enum swim_kind)k);
		uint32_t len = wire_encode(in, NULL, data);

		CU_ASSERT_EQUAL(len, swim_msg_bytes(in));
		CU_ASSERT_EQUAL(wire_decode(data, len, NULL, out), AZ_OK);
		CU_ASSERT_EQUAL(wire_encode(out, NULL, again), len);
		CU_ASSERT(!memcmp(data, again, len));
		CU_ASSERT_STRING_EQUAL(out->updates[0].member.name,
				       in->updates[0].member.name);
		free(in);
	}
	free(out);
}

/* Guards against reads past the end of a malformed datagram, and bytes that the
 * MAC does not cover. */
static void test_malformed(void)
{
	struct fleet_keys keys = { .count = 1, .keys = { { .id = 4 } } };
	struct fleet_keys other = { .count = 1, .keys = { { .id = 5 } } };
	struct swim_msg *out = model_alloc(sizeof(*out));
	struct swim_msg *in = sample_msg(SWIM_SYNC);
	struct model *m = start_fleet(12);
	uint8_t data[SWIM_DATAGRAM_MAX_BYTES];
	uint32_t len = wire_encode(in, &keys, data);

	CU_ASSERT_EQUAL(wire_decode(data, len, &keys, out), AZ_OK);
	CU_ASSERT_EQUAL(wire_decode(data, len, &other, out), AZ_DENIED);
	for (uint32_t i = 0; i < len; i++) {
		/* On the heap, so that a sanitizer detects reads past the end.
		 */
		uint8_t *cut = malloc(i + 1);

		memcpy(cut, data, i);
		CU_ASSERT(wire_decode(cut, i, NULL, out) != AZ_OK);
		free(cut);
		data[i] ^= 0x10;
		CU_ASSERT(wire_decode(data, len, &keys, out) != AZ_OK);
		/* Without the MAC it may be valid, but must not cause a crash.
		 */
		if (wire_decode(data, len, NULL, out) == AZ_OK)
			swim_receive(m->daemons[0].swim, m->now_us, 1, 1, out,
				     m->outbox);
		m->outbox->count = 0;
		data[i] ^= 0x10;
	}
	for (uint32_t n = 0; n < 20000; n++) {
		len = model_random_below(m, SWIM_DATAGRAM_MAX_BYTES + 1);
		for (uint32_t i = 24; i < len; i++)
			data[i] = (uint8_t)(model_random_below(m, 4) ?
						    0 :
						    model_random(m));
		if (wire_decode(data, len, NULL, out) == AZ_OK)
			swim_receive(m->daemons[0].swim, m->now_us, 1, 1, out,
				     m->outbox);
		m->outbox->count = 0;
	}
	model_run(m, 2 * US_PER_S);
	free(in);
	free(out);
	model_free(m);
}

/* ---- views and choice of homes ---- */

#define MEMBERS 60

static struct member_view *some_view(uint32_t count)
{
	struct member list[MEMBERS];

	memset(list, 0, sizeof(list));
	for (uint32_t i = 0; i < count; i++) {
		list[i].id = 10 + i;
		list[i].incarnation = 1000 - i;
		list[i].ip = i;
		list[i].peer_port = 1;
		list[i].dc = 1 + i % 6;
		list[i].region = 1 + i % 3;
	}
	return member_view_new(1, list, count, NULL, 0, NULL, 0);
}

/* Guards against lookups that differ between the index and the scan without
 * one, or that find a member that is not in the view. */
static void test_view_lookups(void)
{
	struct member_view *v = some_view(MEMBERS);
	const struct view_index *index = v->index;

	for (uint32_t i = 0; i < MEMBERS; i++) {
		CU_ASSERT_PTR_EQUAL(member_view_by_id(v, 10 + i),
				    &v->members[i]);
		for (int32_t k = 0; k < 2; k++) {
			v->index = k ? NULL : index;
			CU_ASSERT_PTR_EQUAL(
				member_view_issuer(v, i, 1, 1000 - i),
				&v->members[i]);
			CU_ASSERT_PTR_NULL(
				member_view_issuer(v, i + 1, 1, 1000 - i));
		}
		v->index = index;
	}
	CU_ASSERT_PTR_NULL(member_view_by_id(v, 9));
	CU_ASSERT_PTR_NULL(member_view_by_id(v, 10 + MEMBERS));
	CU_ASSERT_PTR_NULL(member_view_issuer(v, 1, 1, 5000));
	CU_ASSERT_EQUAL(member_view_report_severity(v, 1, REPORT_CELL_BUSY), 0);
	member_view_release(v);
}

/* Guards against cells that get another home although theirs is still in
 * the view. */
static void test_leaving_member_moves_only_its_cells(void)
{
	struct member_view *all = some_view(MEMBERS);
	struct member_view *less = some_view(MEMBERS - 1);
	uint64_t gone = 10 + MEMBERS - 1;
	uint32_t moved = 0;

	for (uint64_t cell = 1; cell <= 3000; cell++) {
		uint32_t dc = 1 + (uint32_t)(cell % 6);
		const struct member *a = member_choose_home(all, cell, dc, 1);
		const struct member *b = member_choose_home(less, cell, dc, 1);

		CU_ASSERT_EQUAL(a->dc, dc);
		moved += a->id != b->id;
		CU_ASSERT(a->id == gone || a->id == b->id);
	}
	/* Each data centre has 500 of the 3,000 cells and 10 members, so that
	 * about 50 cells move. */
	CU_ASSERT(moved > 30 && moved < 80);
	member_view_release(all);
	member_view_release(less);
}

/* Guards against a cell that stays with a home that is reported to be cut off
 * from the cell's workers, and against other cells of this home that move too.
 */
static void test_cut_off_home_loses_its_cell(void)
{
	struct member_view *v = some_view(MEMBERS);
	const struct member *home = member_choose_home(v, 7, 2, 2);
	struct member_report cut = { member_cut_off_subject(7,
							    home->incarnation),
				     REPORT_HOME_CUT_OFF, 255 };
	const struct member_report *own = v->reports;

	CU_ASSERT_PTR_EQUAL(member_choose_home(v, 7, 2, 2), home);
	v->reports = &cut;
	v->report_count = 1;
	CU_ASSERT_PTR_NOT_EQUAL(member_choose_home(v, 7, 2, 2), home);
	CU_ASSERT_EQUAL(member_choose_home(v, 7, 2, 2)->dc, 2);
	cut.subject = member_cut_off_subject(8, home->incarnation);
	CU_ASSERT_PTR_EQUAL(member_choose_home(v, 7, 2, 2), home);
	v->reports = own;
	v->report_count = 0;
	member_view_release(v);
}

/* Guards against cells without a home while any member of the fleet can accept
 * them. */
static void test_home_choice_falls_back(void)
{
	struct member_view *v = some_view(MEMBERS);
	struct member *list = (struct member *)v->members;
	const struct member *h;

	for (uint32_t i = 0; i < MEMBERS; i++)
		list[i].stopping = list[i].dc == 2;
	h = member_choose_home(v, 7, 2, 2);
	CU_ASSERT(h && h->dc != 2 && h->region == 2);
	for (uint32_t i = 0; i < MEMBERS; i++)
		list[i].stopping = list[i].region == 2;
	h = member_choose_home(v, 7, 2, 2);
	CU_ASSERT(h && h->region != 2);
	for (uint32_t i = 0; i < MEMBERS; i++)
		list[i].stopping = true;
	CU_ASSERT_PTR_NULL(member_choose_home(v, 7, 2, 2));
	member_view_release(v);
}

/* Guards against a data centre in which no daemon watches the source, or two
 * have the same place in the order, and against a stopping daemon that is
 * preferred to one that goes on. */
static void test_members_of_a_data_centre_have_an_order(void)
{
	struct member_view *v = some_view(MEMBERS);
	struct member *list = (struct member *)v->members;
	bool taken[MEMBERS] = { false };
	uint32_t count = 0;

	for (uint32_t i = 0; i < MEMBERS; i++)
		list[i].stopping = true;
	list[1].stopping = false;
	CU_ASSERT_EQUAL_FATAL(list[1].dc, 2);
	CU_ASSERT_EQUAL(member_watcher_rank(v, 7, &list[1]), 0);
	for (uint32_t i = 0; i < MEMBERS; i++) {
		uint32_t rank = member_watcher_rank(v, 7, &list[i]);

		if (list[i].dc != 2)
			continue;
		CU_ASSERT_FATAL(rank < MEMBERS && !taken[rank]);
		taken[rank] = true;
		count++;
	}
	CU_ASSERT(count > 4);
	for (uint32_t i = 0; i < count; i++)
		CU_ASSERT(taken[i]);
	member_view_release(v);
}

/* ---- the duty, over the loopback interface ---- */

static uint32_t live_count(struct membership *m)
{
	const struct member_view *v = membership_view(m);
	uint32_t n = v->member_count;

	member_view_release(v);
	return n;
}

struct digest_recorder {
	struct digest_listener listener;
	uint64_t digest; /* atomic */
};

static void record_digest(struct digest_listener *l, const struct member *from,
			  uint64_t digest)
{
	struct digest_recorder *h =
		az_container_of(l, struct digest_recorder, listener);

	__atomic_store_n(&h->digest, digest, __ATOMIC_RELEASE);
}

static const struct digest_listener_ops digest_recorder_ops = { record_digest };

#define WAIT_FOR(condition)            \
	do {                           \
		while (!(condition))   \
			sched_yield(); \
	} while (0)

/* Guards against faults between the parts of the duty: socket, keys, timer,
 * commands and views. */
static void test_duty(void)
{
	struct timer_service *timers = timer_service_create(pool);
	struct fleet_keys keys = { .count = 1, .keys = { { .id = 1 } } };
	struct fleet_keys both = { .count = 2,
				   .keys = { { .id = 2 }, { .id = 1 } } };
	struct digest_recorder h = { { &digest_recorder_ops }, 0 };
	struct membership *m[3];
	char seed[32] = "";

	for (uint32_t i = 0; i < 3; i++) {
		const char *seeds[] = { seed };
		struct member_settings s = { .seeds = seeds,
					     .seed_count = i > 0,
					     .period_ms = 50,
					     .keys = &keys };
		const struct member_view *v;

		s.self.ip = 0x7f000001;
		s.self.dc = 1;
		snprintf(s.self.name, sizeof(s.self.name), "vm-%u", i);
		m[i] = membership_create(&s, timers, pool);
		CU_ASSERT_FATAL(m[i] != NULL);
		v = membership_view(m[i]);
		if (!i)
			snprintf(seed, sizeof(seed), "127.0.0.1:%u",
				 v->members[0].member_port);
		member_view_release(v);
	}
	membership_set_digest_listener(m[1], &h.listener);
	timer_service_start(timers);
	for (uint32_t i = 0; i < 3; i++)
		membership_start(m[i]);
	for (uint32_t i = 0; i < 3; i++)
		WAIT_FOR(membership_joined(m[i]) && live_count(m[i]) == 3);
	for (uint32_t i = 0; i < 3; i++)
		membership_set_keys(m[i], &both);
	membership_set_digest(m[0], 42);
	WAIT_FOR(__atomic_load_n(&h.digest, __ATOMIC_ACQUIRE) == 42);
	membership_stop(m[2]);
	WAIT_FOR(live_count(m[0]) == 2 && live_count(m[1]) == 2);
	membership_stop(m[0]);
	membership_stop(m[1]);
	timer_service_stop(timers);
	for (uint32_t i = 0; i < 3; i++)
		membership_destroy(m[i]);
}

/* Guards against a command that runs before the first tick and disarms the
 * timer. Such a daemon never joined and was never ready (2 of 6 runs of case 9
 * in fault/cases.c). */
static void test_command_before_first_tick(void)
{
	struct timer_service *timers = timer_service_create(pool);
	struct member_settings s = { .period_ms = 50 };
	/* Long enough for the command to run before the timers start. If it
	 * runs later, the test still passes. */
	const struct timespec command_delay = { 0, 100000000 };
	struct membership *m;

	s.self.ip = 0x7f000001;
	snprintf(s.self.name, sizeof(s.self.name), "vm-9");
	m = membership_create(&s, timers, pool);
	CU_ASSERT_FATAL(m != NULL);
	membership_set_stopping(m);
	membership_start(m);
	nanosleep(&command_delay, NULL);
	timer_service_start(timers);
	WAIT_FOR(membership_joined(m));
	membership_stop(m);
	timer_service_stop(timers);
	membership_destroy(m);
}

/* Guards against invalid settings that are accepted: no address, or a malformed
 * seed. */
static void test_bad_settings(void)
{
	const char *seeds[] = { "127.0.0.1:99999" };
	struct member_settings s = { .seeds = seeds, .seed_count = 1 };

	CU_ASSERT_PTR_NULL(membership_create(&s, NULL, pool));
	s.self.ip = 0x7f000001;
	strcpy(s.self.name, "vm-1");
	CU_ASSERT_PTR_NULL(membership_create(&s, NULL, pool));
	CU_ASSERT_STRING_EQUAL(az_last_message(),
			       "seed '127.0.0.1:99999' is not IP:PORT");
}

static const struct {
	const char *name;
	CU_TestFunc run;
} tests[] = {
	{ "join", test_join },
	{ "kill is detected", test_kill_is_detected },
	{ "refutation", test_refutation },
	{ "no false death under loss", test_no_false_death_under_loss },
	{ "no false death under one-way cuts",
	  test_no_false_death_under_one_way_cuts },
	{ "cut off daemon declares nobody dead",
	  test_cut_off_daemon_declares_nobody_dead },
	{ "death declared in other region is rechecked",
	  test_death_declared_in_other_region_is_rechecked },
	{ "restart", test_restart },
	{ "old process is superseded", test_old_process_is_superseded },
	{ "leave with successor", test_leave_with_successor },
	{ "reports", test_reports },
	{ "pause", test_pause },
	{ "member off platform list is lost sooner",
	  test_member_off_platform_list_is_lost_sooner },
	{ "region partition heals", test_region_partition_heals },
	{ "bounds", test_bounds },
	{ "digest reaches all", test_digest_reaches_all },
	{ "replays", test_replays },
	{ "encoding", test_encoding },
	{ "malformed", test_malformed },
	{ "view lookups", test_view_lookups },
	{ "leaving member moves only its cells",
	  test_leaving_member_moves_only_its_cells },
	{ "cut off home loses its cell", test_cut_off_home_loses_its_cell },
	{ "home choice falls back", test_home_choice_falls_back },
	{ "order of watchers", test_members_of_a_data_centre_have_an_order },
	{ "duty", test_duty },
	{ "command before first tick", test_command_before_first_tick },
	{ "bad settings", test_bad_settings },
};

int main(void)
{
	uint32_t failed;
	CU_pSuite suite;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	CU_initialize_registry();
	suite = CU_add_suite("member", NULL, NULL);
	for (uint32_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++)
		CU_add_test(suite, tests[i].name, tests[i].run);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failed != 0;
}
