/**
 * @file
 * The membership protocol: protocol periods, gossip, joining, anti-entropy by
 * comparing ranges of member ids, and the handling of each message.
 */
#include <stdlib.h>
#include <string.h>

#include "member/member.h"

/* A longer time between two ticks means that this process was paused. */
#define PAUSE_MIN_US US_PER_S
/* Members of the own data centre probed in each period. With one, 1 % of killed
 * members stay unprobed for 1.8 s. */
#define PROBES_PER_PERIOD 2
#define GOSSIP_ROUNDS_PER_PERIOD 5
/* Members of the own data centre to which each gossip round sends. */
#define GOSSIP_FANOUT 2
/* On average one in this many gossip rounds reaches another data centre. */
#define GOSSIP_REMOTE_EVERY 4
/* Periods from one probe of another data centre to the next (fewer in a small
 * data centre, see remote_probe_periods()), and from one ping of a dead member
 * to the next. */
#define REMOTE_PROBE_PERIODS 8
/* Periods from one SYNC to the next; one in SYNC_REMOTE_EVERY goes to another
 * data centre. */
#define SYNC_PERIODS 4
#define SYNC_REMOTE_EVERY 8
/* A range of a SYNC holds at most this many live members on average. */
#define SYNC_RANGE_MEMBERS 8
/* Periods from one ping of a seed to the next. */
#define SEED_PERIODS 32
/* A member that stays suspected for this many periods is probed again, as the
 * member that suspected it may be gone. */
#define STALE_SUSPECT_PERIODS 16
/* Datagrams by which a member announces that it leaves. */
#define LEAVE_NOTICES_SAME_DC 8
#define LEAVE_NOTICES_OTHER_DC 2
/* With more queued rumours than this, datagrams are filled to
 * SWIM_DATAGRAM_MAX_BYTES. */
#define FULL_DATAGRAM_RUMOURS 16
/* Value of join_phase. */
#define JOIN_DONE 2

/* Budget of gossip. While a region is cut off, thousands of rumours are queued.
 * Without a budget, each daemon of a fleet of 3,700 sent 56 KB/s; all control
 * traffic of a daemon together may use 12 KB/s. */
#define BUDGET_BYTES_PER_S 6000
/* Size up to which updates are added to a datagram once the budget is used up.
 */
#define NO_BUDGET_TARGET_BYTES 300

#define IP_UDP_HEADER_BYTES 28

/* ---- sending ---- */

static void refill_budget(struct swim *s)
{
	s->budget_bytes +=
		(s->now_us - s->budget_us) * BUDGET_BYTES_PER_S / US_PER_S;
	if (s->budget_bytes > SWIM_BUDGET_MAX_BYTES)
		s->budget_bytes = SWIM_BUDGET_MAX_BYTES;
	s->budget_us = s->now_us;
}

static void spend_budget(struct swim *s, const struct swim_outbox *outbox)
{
	for (uint32_t i = 0; i < outbox->count; i++)
		s->budget_bytes -= swim_msg_bytes(&outbox->entries[i].msg) +
				   IP_UDP_HEADER_BYTES;
}

struct swim_msg *swim_emit_to_address(struct swim *s,
				      struct swim_outbox *outbox, uint32_t ip,
				      uint16_t port, enum swim_kind kind)
{
	struct swim_msg *m;

	if (outbox->count == SWIM_OUTBOX_MAX) {
		outbox->dropped++;
		return NULL;
	}
	outbox->entries[outbox->count].ip = ip;
	outbox->entries[outbox->count].port = port;
	m = &outbox->entries[outbox->count++].msg;
	memset(m, 0, offsetof(struct swim_msg, hashes));
	m->update_count = 0;
	m->report_list_count = 0;
	m->kind = kind;
	m->sender_id = s->self->member.id;
	m->sender_incarnation = s->self->member.incarnation;
	m->digest = s->digest;
	return m;
}

struct swim_msg *swim_emit(struct swim *s, struct swim_outbox *outbox,
			   const struct swim_node *to, enum swim_kind kind)
{
	struct swim_msg *m = swim_emit_to_address(s, outbox, to->member.ip,
						  to->member.member_port, kind);

	/* A member that is suspected or declared dead must learn of it, to
	 * refute it. */
	if (m && to->member.state != MEMBER_ALIVE && !to->dead_here_only)
		swim_add_state(s, m, to, false, SWIM_DATAGRAM_MAX_BYTES);
	return m;
}

void swim_piggyback(struct swim *s, struct swim_msg *m)
{
	uint32_t target_bytes = SWIM_DATAGRAM_TARGET_BYTES;

	if (s->budget_bytes <= 0)
		target_bytes = NO_BUDGET_TARGET_BYTES;
	else if (s->rumour_count > FULL_DATAGRAM_RUMOURS)
		target_bytes = SWIM_DATAGRAM_MAX_BYTES;
	swim_add_rumours(s, m, target_bytes);
}

static void add_self(struct swim *s, struct swim_msg *m)
{
	swim_add_state(s, m, s->self, true, SWIM_DATAGRAM_MAX_BYTES);
}

/* Starts an answer to a sender of which this daemon may have no record, or a
 * different one. */
static struct swim_msg *emit_reply(struct swim *s, struct swim_outbox *outbox,
				   uint32_t ip, uint16_t port,
				   const struct swim_msg *to,
				   enum swim_kind kind)
{
	struct swim_msg *m = swim_emit_to_address(s, outbox, ip, port, kind);
	const struct swim_node *n = swim_find(s, to->sender_id);

	if (!m)
		return NULL;
	m->nonce = to->nonce;
	m->receiver_unknown =
		!n || n->member.incarnation != to->sender_incarnation;
	if (n && !n->dead_here_only &&
	    (m->receiver_unknown || n->member.state != MEMBER_ALIVE))
		swim_add_state(s, m, n, false, SWIM_DATAGRAM_MAX_BYTES);
	if (to->receiver_unknown)
		add_self(s, m);
	return m;
}

static void gossip_to(struct swim *s, const struct swim_node *n,
		      struct swim_outbox *outbox)
{
	struct swim_msg *m = n ? swim_emit(s, outbox, n, SWIM_GOSSIP) : NULL;

	if (m)
		swim_piggyback(s, m);
}

/* In a small data centre gossip soon reaches all members, so that a larger
 * share of the rounds goes to other data centres. */
static uint32_t gossip_remote_every(const struct swim *s)
{
	uint32_t n = s->dc_live_count / 2;

	return n < GOSSIP_REMOTE_EVERY ? n : GOSSIP_REMOTE_EVERY;
}

static void gossip_round(struct swim *s, struct swim_outbox *outbox)
{
	bool local = s->dc_live_count > 1;

	if (s->now_us < s->next_gossip_us || s->budget_bytes <= 0 ||
	    (!s->rumour_count && s->now_us >= s->digest_gossip_until_us))
		return;
	s->next_gossip_us = s->now_us + s->period_us / GOSSIP_ROUNDS_PER_PERIOD;
	for (uint32_t i = 0; local && i < GOSSIP_FANOUT; i++)
		gossip_to(s, swim_random_local(s, 0), outbox);
	if (!swim_random_below(s, gossip_remote_every(s)))
		gossip_to(s, swim_random_remote(s, 0), outbox);
}

/* ---- anti-entropy ---- */

static uint64_t mix(uint64_t a, uint64_t b)
{
	a ^= b + UINT64_C(0x9e3779b97f4a7c15) + (a << 6) + (a >> 2);
	a = (a ^ (a >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	return a ^ (a >> 31);
}

/* Hash of a live member's record. The state is left out, as suspicions are
 * short-lived and differ between daemons all the time. */
static uint64_t node_hash(const struct swim_node *n)
{
	uint64_t h = mix(n->member.id, n->member.incarnation);

	h = mix(h, (uint64_t)n->generation << 32 | n->sequence);
	return mix(h, n->report_version);
}

static uint64_t departed_hash(const struct swim *s)
{
	uint64_t h = 0;

	for (uint32_t i = 0; i < s->departed_count; i++) {
		const struct swim_departed *d = s->departed[i];

		/* The oldest are left out, as daemons drop them at slightly
		 * different times. */
		if (s->now_us - d->left_us < SWIM_DEPARTED_KEEP_US * 3 / 4)
			h ^= mix(d->member.incarnation, d->member.successor);
	}
	return h;
}

static uint64_t range_start(uint8_t bits, uint32_t range)
{
	return bits ? (uint64_t)range << (64 - bits) : 0;
}

static uint32_t range_nodes(const struct swim *s, uint8_t bits, uint32_t range,
			    uint32_t *end)
{
	uint32_t first = swim_lower_bound(s, range_start(bits, range));

	*end = range + 1 < (UINT32_C(1) << bits) ?
		       swim_lower_bound(s, range_start(bits, range + 1)) :
		       s->node_count;
	return first;
}

static uint32_t range_hash(const struct swim *s, uint8_t bits, uint32_t range)
{
	uint32_t end;
	uint64_t h = 0;

	for (uint32_t i = range_nodes(s, bits, range, &end); i < end; i++)
		if (swim_is_live(s->nodes[i]))
			h ^= node_hash(s->nodes[i]);
	return (uint32_t)(h ^ (h >> 32));
}

static void send_sync(struct swim *s, struct swim_outbox *outbox)
{
	bool remote =
		s->dc_live_count < 2 || s->sync_round % SYNC_REMOTE_EVERY == 0;
	struct swim_node *to = remote ? swim_random_remote(s, 0) : NULL;
	struct swim_msg *m;
	uint32_t ranges;

	s->sync_round++;
	if (!to)
		to = swim_random_local(s, 0);
	m = to ? swim_emit(s, outbox, to, SWIM_SYNC) : NULL;
	if (!m)
		return;
	while (s->live_count > (uint32_t)SYNC_RANGE_MEMBERS << m->range_bits)
		m->range_bits++;
	ranges = UINT32_C(1) << m->range_bits;
	if (s->sync_next_range >= ranges)
		s->sync_next_range = 0;
	m->first_range = s->sync_next_range;
	ranges -= m->first_range;
	m->hash_count = ranges < SWIM_HASHES_MAX ? ranges : SWIM_HASHES_MAX;
	for (uint32_t i = 0; i < m->hash_count; i++)
		m->hashes[i] = range_hash(s, m->range_bits, m->first_range + i);
	m->departed_hash = departed_hash(s);
	s->sync_next_range += m->hash_count;
	swim_piggyback(s, m);
}

/* Adds the records of a range; false if they do not all fit. Starts at a random
 * member: a datagram holds only a few report lists, and each time those of
 * other members are sent. */
static bool add_range(struct swim *s, struct swim_msg *m, uint8_t bits,
		      uint32_t range)
{
	uint32_t end;
	uint32_t first = range_nodes(s, bits, range, &end);
	uint32_t count = end - first;
	uint32_t start = swim_random_below(s, count);

	for (uint32_t i = 0; i < count; i++) {
		const struct swim_node *n =
			s->nodes[first + (start + i) % count];

		if (n->dead_here_only)
			continue;
		if (!swim_add_state(s, m, n, swim_is_live(n),
				    SWIM_DATAGRAM_MAX_BYTES))
			return false;
		if (n->report_version)
			swim_add_reports(m, n, SWIM_DATAGRAM_MAX_BYTES);
	}
	return true;
}

/* Adds departed members at random, as they do not all fit. */
static void add_departed(struct swim *s, struct swim_msg *m)
{
	for (uint32_t i = 0; i < s->departed_count; i++) {
		uint32_t at = swim_random_below(s, s->departed_count);

		if (!swim_add_departed(s, m, s->departed[at],
				       SWIM_DATAGRAM_TARGET_BYTES))
			return;
	}
}

static void on_sync(struct swim *s, uint32_t ip, uint16_t port,
		    const struct swim_msg *m, struct swim_outbox *outbox)
{
	uint32_t start = swim_random_below(s, m->hash_count);
	struct swim_msg *r = NULL;

	if (m->departed_hash != departed_hash(s)) {
		r = emit_reply(s, outbox, ip, port, m, SWIM_SYNC_REPLY);
		if (!r)
			return;
		add_departed(s, r);
	}
	/* Starts at a random range, so that each range is sent sooner or later
	 * if they do not all fit. */
	for (uint32_t i = 0; i < m->hash_count; i++) {
		uint32_t at = (start + i) % m->hash_count;

		if (range_hash(s, m->range_bits, m->first_range + at) ==
		    m->hashes[at])
			continue;
		if (!r)
			r = emit_reply(s, outbox, ip, port, m, SWIM_SYNC_REPLY);
		if (!r || !add_range(s, r, m->range_bits, m->first_range + at))
			break;
	}
	if (r)
		s->stats.sync_diffs++;
}

/* Sends back the records that the other side has in an older version. */
static void on_sync_reply(struct swim *s, uint32_t ip, uint16_t port,
			  const struct swim_msg *m, struct swim_outbox *outbox)
{
	struct swim_msg *r = NULL;

	for (uint32_t i = 0; i < m->update_count; i++) {
		const struct swim_node *n = swim_find_newer(s, &m->updates[i]);

		if (!n)
			continue;
		if (!r)
			r = emit_reply(s, outbox, ip, port, m, SWIM_GOSSIP);
		if (!r)
			return;
		if (m->updates[i].kind == UPDATE_REPORTS)
			swim_add_reports(r, n, SWIM_DATAGRAM_MAX_BYTES);
		else
			swim_add_state(s, r, n, swim_is_live(n),
				       SWIM_DATAGRAM_MAX_BYTES);
	}
}

/* ---- joining ---- */

static bool is_seed_live(const struct swim *s, const struct swim_seed *seed)
{
	for (uint32_t i = 0; i < s->node_count; i++)
		if (s->nodes[i]->member.ip == seed->ip &&
		    s->nodes[i]->member.member_port == seed->port &&
		    swim_is_live(s->nodes[i]))
			return true;
	return false;
}

static struct swim_seed *next_unknown_seed(struct swim *s)
{
	for (uint32_t i = 0; i < s->seed_count; i++) {
		struct swim_seed *seed =
			&s->seeds[s->seed_next++ % s->seed_count];

		if (!is_seed_live(s, seed))
			return seed;
	}
	return NULL;
}

static void request_page(struct swim *s, struct swim_outbox *outbox)
{
	struct swim_node *n;
	struct swim_seed *seed = NULL;
	struct swim_msg *m;

	if (s->join_phase == JOIN_DONE || s->now_us < s->next_join_us)
		return;
	n = swim_random_local(s, 0);
	if (!n)
		n = swim_random_remote(s, 0);
	if (!n)
		seed = next_unknown_seed(s);
	if (!n && !seed)
		return;
	m = n ? swim_emit(s, outbox, n, SWIM_PAGE_REQUEST) :
		swim_emit_to_address(s, outbox, seed->ip, seed->port,
				     SWIM_PAGE_REQUEST);
	if (!m)
		return;
	if (!++s->last_nonce)
		s->last_nonce++;
	s->join_nonce = s->last_nonce;
	s->next_join_us = s->now_us + s->period_us;
	m->nonce = s->join_nonce;
	m->target = s->join_cursor;
	m->dc = s->join_phase ? 0 : s->self->member.dc;
	add_self(s, m);
	swim_piggyback(s, m);
}

static void on_page_request(struct swim *s, uint32_t ip, uint16_t port,
			    const struct swim_msg *m,
			    struct swim_outbox *outbox)
{
	struct swim_msg *r = emit_reply(s, outbox, ip, port, m, SWIM_PAGE);
	uint32_t i = swim_lower_bound(s, m->target + 1);

	if (!r)
		return;
	r->target = m->target;
	for (; i < s->node_count; i++) {
		const struct swim_node *n = s->nodes[i];

		if (swim_is_live(n) && (!m->dc || n->member.dc == m->dc)) {
			if (!swim_add_state(s, r, n, true,
					    SWIM_DATAGRAM_MAX_BYTES))
				return;
			if (n->report_count)
				swim_add_reports(r, n, SWIM_DATAGRAM_MAX_BYTES);
		}
		r->target = n->member.id;
	}
	r->last_page = true;
}

static void on_page(struct swim *s, const struct swim_msg *m)
{
	if (m->nonce != s->join_nonce || s->join_phase == JOIN_DONE)
		return;
	s->join_nonce = 0;
	s->join_cursor = m->target;
	s->next_join_us = s->now_us;
	if (!m->last_page)
		return;
	s->join_cursor = 0;
	s->join_phase++;
}

/* ---- protocol periods ---- */

static void ping_seed(struct swim *s, const struct swim_seed *seed,
		      struct swim_outbox *outbox)
{
	struct swim_msg *m = swim_emit_to_address(s, outbox, seed->ip,
						  seed->port, SWIM_PING);

	if (!m)
		return;
	add_self(s, m);
	swim_piggyback(s, m);
}

/* Pings a random dead member: it may be alive, on the other side of a network
 * partition that has healed since. */
static void ping_dead_member(struct swim *s, struct swim_outbox *outbox)
{
	uint32_t at = swim_random_below(s, s->node_count);

	for (uint32_t i = 0; s->tombstone_count && i < s->node_count; i++) {
		const struct swim_node *n = s->nodes[(at + i) % s->node_count];
		struct swim_msg *m;

		if (n->member.state != MEMBER_DEAD)
			continue;
		m = swim_emit(s, outbox, n, SWIM_PING);
		if (m)
			add_self(s, m);
		return;
	}
}

static struct swim_node *next_local(struct swim *s)
{
	if (s->probe_order_next >= s->probe_order_count) {
		s->probe_order_next = 0;
		for (uint32_t i = s->probe_order_count; i > 1; i--) {
			uint32_t j = swim_random_below(s, i);
			uint64_t id = s->probe_order[i - 1];

			s->probe_order[i - 1] = s->probe_order[j];
			s->probe_order[j] = id;
		}
	}
	return s->probe_order_count ?
		       swim_find(s, s->probe_order[s->probe_order_next++]) :
		       NULL;
}

/* Probes at most one of the suspected members of this data centre. */
static void probe_stale_suspect(struct swim *s, struct swim_outbox *outbox)
{
	for (uint32_t i = 0; i < s->node_count; i++) {
		struct swim_node *n = s->nodes[i];

		if (n->member.state != MEMBER_SUSPECT ||
		    n->member.dc != s->self->member.dc ||
		    s->now_us - n->changed_us <
			    STALE_SUSPECT_PERIODS * s->period_us)
			continue;
		swim_probe_start(s, n, outbox);
		return;
	}
}

/* Members of a small data centre are probed by few others. In return, the
 * smaller its data centre is, the more often a daemon probes members of other
 * data centres. */
static uint32_t remote_probe_periods(const struct swim *s)
{
	uint32_t n = s->dc_live_count - 1;

	if (!n)
		return 1;
	return n < REMOTE_PROBE_PERIODS ? n : REMOTE_PROBE_PERIODS;
}

static void start_period(struct swim *s, struct swim_outbox *outbox)
{
	/* Offset by the id, so that daemons started together do not all probe
	 * and synchronise in the same period. The tasks below have different
	 * remainders, so that most of them run in different periods. */
	uint64_t number = s->period_number++ + s->self->member.id % 64;
	struct swim_node *n;
	struct swim_seed *seed;

	probe_stale_suspect(s, outbox);
	n = number % remote_probe_periods(s) == 0 ? swim_random_remote(s, 0) :
						    NULL;
	if (n)
		swim_probe_start(s, n, outbox);
	if (number % REMOTE_PROBE_PERIODS == 4)
		ping_dead_member(s, outbox);
	if (number % SYNC_PERIODS == 2 && s->live_count > 1)
		send_sync(s, outbox);
	if (s->live_count == 1 || number % SEED_PERIODS == 1) {
		seed = next_unknown_seed(s);
		if (seed)
			ping_seed(s, seed, outbox);
	}
	swim_expire(s);
}

static void probe_next_local(struct swim *s, struct swim_outbox *outbox)
{
	struct swim_node *n;

	if (s->now_us < s->next_probe_us)
		return;
	s->next_probe_us += s->period_us / PROBES_PER_PERIOD;
	if (s->next_probe_us <= s->now_us)
		s->next_probe_us = s->now_us + s->period_us / PROBES_PER_PERIOD;
	n = next_local(s);
	if (n)
		swim_probe_start(s, n, outbox);
}

/* Probes left unanswered while this process was paused say nothing about the
 * other members, so that they are abandoned. */
static void after_pause(struct swim *s, struct swim_outbox *outbox)
{
	s->stats.pauses++;
	s->no_suspicion_until_us = s->now_us + s->period_us;
	s->received_us = s->now_us;
	swim_probe_reset(s);
	swim_republish_self(s);
	s->next_gossip_us = s->now_us;
	gossip_round(s, outbox);
	gossip_to(s, swim_random_remote(s, 0), outbox);
	send_sync(s, outbox);
	s->next_period_us = s->now_us + s->period_us;
	s->next_probe_us = s->next_period_us;
}

void swim_tick(struct swim *s, int64_t now_us, struct swim_outbox *outbox)
{
	bool paused = now_us - s->tick_us > PAUSE_MIN_US;

	s->now_us = now_us;
	s->tick_us = now_us;
	if (s->leaving)
		return;
	refill_budget(s);
	if (paused)
		after_pause(s, outbox);
	swim_probe_tick(s, outbox);
	swim_probe_recheck(s, outbox);
	if (now_us >= s->next_period_us) {
		s->next_period_us += s->period_us;
		if (s->next_period_us <= now_us)
			s->next_period_us = now_us + s->period_us;
		start_period(s, outbox);
	}
	probe_next_local(s, outbox);
	request_page(s, outbox);
	gossip_round(s, outbox);
	spend_budget(s, outbox);
}

/* ---- receiving ---- */

/* A member that sends is alive, even if this daemon declared it dead while it
 * was isolated. */
static void mark_sender_alive(struct swim *s, const struct swim_msg *m)
{
	struct swim_node *n = swim_find(s, m->sender_id);

	if (n && n->dead_here_only &&
	    n->member.incarnation == m->sender_incarnation)
		swim_set_state(s, n, MEMBER_ALIVE, false);
}

static bool apply_updates(struct swim *s, const struct swim_msg *m)
{
	uint32_t sequence = s->self->sequence;
	uint32_t generation = s->self->generation;

	for (uint32_t i = 0; i < m->update_count; i++)
		swim_apply(s, m, &m->updates[i]);
	return s->self->sequence != sequence ||
	       s->self->generation != generation;
}

static void send_answer(struct swim *s, uint32_t ip, uint16_t port,
			const struct swim_msg *m, bool self_changed,
			struct swim_outbox *outbox)
{
	struct swim_msg *r;

	if (m->kind != SWIM_PING && !self_changed && !m->receiver_unknown)
		return;
	r = emit_reply(s, outbox, ip, port, m,
		       m->kind == SWIM_PING ? SWIM_ACK : SWIM_GOSSIP);
	if (!r)
		return;
	if (self_changed)
		add_self(s, r);
	swim_piggyback(s, r);
}

void swim_receive(struct swim *s, int64_t now_us, uint32_t ip, uint16_t port,
		  const struct swim_msg *m, struct swim_outbox *outbox)
{
	bool self_changed;

	if (s->leaving || m->sender_incarnation == s->self->member.incarnation)
		return;
	s->now_us = now_us;
	s->received_us = now_us;
	s->received_digest = m->digest;
	mark_sender_alive(s, m);
	self_changed = apply_updates(s, m);
	send_answer(s, ip, port, m, self_changed, outbox);
	switch (m->kind) {
	case SWIM_ACK:
	case SWIM_INDIRECT_ACK:
		swim_on_ack(s, m, outbox);
		break;
	case SWIM_NACK:
		swim_on_nack(s, m);
		break;
	case SWIM_PING_REQUEST:
		swim_indirect_ping_start(s, m, outbox);
		break;
	case SWIM_PAGE_REQUEST:
		on_page_request(s, ip, port, m, outbox);
		break;
	case SWIM_PAGE:
		on_page(s, m);
		/* Pages of this daemon's data centre are requested without
		 * delay. */
		if (!s->join_phase)
			request_page(s, outbox);
		break;
	case SWIM_SYNC:
		on_sync(s, ip, port, m, outbox);
		break;
	case SWIM_SYNC_REPLY:
		on_sync_reply(s, ip, port, m, outbox);
		break;
	default:
		break;
	}
	spend_budget(s, outbox);
}

/* ---- state of this daemon ---- */

void swim_add_seed(struct swim *s, uint32_t ip, uint16_t port)
{
	const struct swim_node *n = s->self;

	if (ip == n->member.ip && port == n->member.member_port)
		return;
	for (uint32_t i = 0; i < s->seed_count; i++)
		if (s->seeds[i].ip == ip && s->seeds[i].port == port)
			return;
	if (s->seed_count == SWIM_SEEDS_MAX)
		return;
	s->seeds[s->seed_count++] = (struct swim_seed){ ip, port };
}

void swim_set_digest(struct swim *s, uint64_t digest)
{
	if (s->digest == digest)
		return;
	s->digest = digest;
	s->digest_gossip_until_us = s->now_us + 2 * s->period_us;
}

static int by_id(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

void swim_set_platform_ids(struct swim *s, const uint64_t *live, uint32_t count)
{
	free(s->platform_ids);
	s->platform_ids = NULL;
	s->platform_id_count = 0;
	if (!live)
		return;
	s->platform_ids = malloc((count + 1) * sizeof(*s->platform_ids));
	if (!s->platform_ids)
		abort();
	if (count)
		memcpy(s->platform_ids, live, count * sizeof(*s->platform_ids));
	qsort(s->platform_ids, count, sizeof(*s->platform_ids), by_id);
	s->platform_id_count = count;
}

void swim_leave(struct swim *s, int64_t now_us, struct swim_outbox *outbox)
{
	s->now_us = now_us;
	s->self->sequence++;
	s->self->member.stopping = true;
	swim_set_state(s, s->self, MEMBER_LEFT, false);
	for (uint32_t i = 0; i < LEAVE_NOTICES_SAME_DC + LEAVE_NOTICES_OTHER_DC;
	     i++) {
		struct swim_node *n = i < LEAVE_NOTICES_SAME_DC ?
					      swim_random_local(s, 0) :
					      swim_random_remote(s, 0);
		struct swim_msg *m =
			n ? swim_emit(s, outbox, n, SWIM_GOSSIP) : NULL;

		if (!m)
			continue;
		add_self(s, m);
		swim_piggyback(s, m);
	}
	s->leaving = true;
}
