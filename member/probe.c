/**
 * @file
 * Failure detection: direct and indirect pings, suspicions, and pings sent as a
 * helper of other members. A daemon tells the fleet that a member is dead only
 * if its own pings failed during the whole suspicion timeout and, where there
 * are helpers, at least one reported that it cannot reach the member either.
 */
#include "member/member.h"

#define SLOW_SCORE_MAX 8
/* With more own suspicions of members of other data centres than that, a failed
 * probe starts no further one. Bounds the probe traffic while a whole region is
 * unreachable. */
#define REMOTE_SUSPECTS_MAX 4
/* A daemon that has received nothing for this many periods may be the one that
 * is cut off. */
#define ISOLATION_PERIODS 2
/* An isolated daemon declares a member dead in its own view, without gossiping
 * it, once it has suspected the member for this time. */
#define ISOLATED_SUSPICION_US (10 * US_PER_S)

bool swim_is_isolated(const struct swim *s)
{
	return s->live_count > 2 &&
	       s->now_us - s->received_us > ISOLATION_PERIODS * s->period_us;
}

/* Time between two attempts of a probe. */
static int64_t retry_us(const struct swim *s)
{
	return s->period_us / 4 * (1 + s->slow_score);
}

bool swim_is_on_platform(const struct swim *s, uint64_t id)
{
	uint32_t lo = 0;
	uint32_t hi = s->platform_id_count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (s->platform_ids[mid] < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < s->platform_id_count && s->platform_ids[lo] == id;
}

/* Suspicion timeout. It grows with the logarithm of the number of members, like
 * the time that gossip needs to bring the suspicion to the member and a
 * refutation back. It is doubled for a member of another data centre, grows
 * by a half for each point of slow_score, and is halved if all helpers failed
 * to reach the member, and again if the platform does not list its VM. */
static int64_t suspicion_us(const struct swim *s, const struct swim_probe *p)
{
	uint32_t n = p->remote ? s->live_count : s->dc_live_count;
	int64_t t = 2 * s->period_us * swim_log2(n + 1) / 3;

	if (p->remote)
		t *= 2;
	t += t * s->slow_score / 2;
	if (p->nack_count == SWIM_HELPERS)
		t /= 2;
	if (s->platform_ids && !swim_is_on_platform(s, p->id))
		t /= 2;
	return t;
}

static uint32_t next_nonce(struct swim *s)
{
	if (!++s->last_nonce)
		s->last_nonce++;
	return s->last_nonce;
}

static void ping(struct swim *s, const struct swim_node *n, uint32_t nonce,
		 struct swim_outbox *outbox)
{
	struct swim_msg *m = swim_emit(s, outbox, n, SWIM_PING);

	if (!m)
		return;
	m->nonce = nonce;
	swim_piggyback(s, m);
}

static struct swim_node *random_in_dc(struct swim *s, uint32_t dc,
				      uint64_t exclude_id)
{
	for (int32_t i = 0; i < 16; i++) {
		struct swim_node *n = swim_random_remote(s, exclude_id);

		if (!n || n->member.dc == dc)
			return n;
	}
	return NULL;
}

/* A random member of a data centre other than `dc` and this daemon's, of this
 * daemon's region if one is found. */
static struct swim_node *random_in_third_dc(struct swim *s, uint32_t dc,
					    uint64_t exclude_id)
{
	struct swim_node *fallback = NULL;

	for (int32_t i = 0; i < 8; i++) {
		struct swim_node *n = swim_random_remote(s, exclude_id);

		if (!n || n->member.dc == dc)
			continue;
		if (n->member.region == s->self->member.region)
			return n;
		fallback = n;
	}
	return fallback;
}

/* Picks helpers, one of them in a data centre other than the member's and this
 * daemon's if one is found. There are two more candidates than helpers, as some
 * may be NULL or the same.
 */
static uint32_t pick_helpers(struct swim *s, const struct swim_probe *p,
			     const struct swim_node *target,
			     struct swim_node *list[SWIM_HELPERS])
{
	struct swim_node *candidates[SWIM_HELPERS + 2];
	uint32_t dc = target->member.dc;
	uint32_t c = 0;
	uint32_t n = 0;

	if (p->remote)
		candidates[c++] = random_in_dc(s, dc, p->id);
	candidates[c++] = random_in_third_dc(s, dc, p->id);
	while (c < SWIM_HELPERS + 2)
		candidates[c++] = swim_random_local(s, p->id);
	for (uint32_t i = 0; i < c && n < SWIM_HELPERS; i++) {
		bool again = false;

		for (uint32_t j = 0; j < n; j++)
			again = again || list[j] == candidates[i];
		if (candidates[i] && !again)
			list[n++] = candidates[i];
	}
	return n;
}

static void send_ping_requests(struct swim *s, const struct swim_probe *p,
			       const struct swim_node *target,
			       struct swim_outbox *outbox)
{
	struct swim_node *helpers[SWIM_HELPERS];
	uint32_t n = pick_helpers(s, p, target, helpers);

	for (uint32_t i = 0; i < n; i++) {
		struct swim_msg *m =
			swim_emit(s, outbox, helpers[i], SWIM_PING_REQUEST);

		if (!m)
			return;
		m->nonce = p->nonce;
		m->target = p->id;
		m->target_incarnation = p->incarnation;
		swim_piggyback(s, m);
	}
}

static struct swim_probe *find_probe(struct swim *s, uint64_t id)
{
	for (uint32_t i = 0; i < SWIM_PROBES_MAX; i++)
		if (s->probes[i].active && s->probes[i].id == id)
			return &s->probes[i];
	return NULL;
}

void swim_probe_start(struct swim *s, struct swim_node *n,
		      struct swim_outbox *outbox)
{
	struct swim_probe *p = NULL;

	if (find_probe(s, n->member.id))
		return;
	for (uint32_t i = 0; !p && i < SWIM_PROBES_MAX; i++)
		if (!s->probes[i].active)
			p = &s->probes[i];
	if (!p)
		return;
	*p = (struct swim_probe){
		.active = true,
		.remote = n->member.dc != s->self->member.dc,
		.nonce = next_nonce(s),
		.id = n->member.id,
		.incarnation = n->member.incarnation,
		.start_us = s->now_us,
		.next_attempt_us = s->now_us + retry_us(s),
	};
	s->stats.probes++;
	ping(s, n, p->nonce, outbox);
}

void swim_probe_recheck(struct swim *s, struct swim_outbox *outbox)
{
	for (uint32_t i = 0; i < SWIM_RECHECKS_MAX; i++) {
		struct swim_node *n = s->recheck_ids[i] ?
					      swim_find(s, s->recheck_ids[i]) :
					      NULL;

		s->recheck_ids[i] = 0;
		if (!n || !swim_is_live(n))
			continue;
		swim_probe_start(s, n, outbox);
		return;
	}
}

static bool has_helpers(const struct swim *s)
{
	return s->live_count > 2;
}

/* If one member of another data centre does not answer, the whole data centre
 * may be down. Probes of other data centres are rare, so that another member
 * there is probed at once. */
static void probe_another_in_dc(struct swim *s, const struct swim_node *n,
				struct swim_outbox *outbox)
{
	uint32_t remote_suspects = 0;
	struct swim_node *next;

	for (uint32_t i = 0; i < SWIM_PROBES_MAX; i++)
		remote_suspects += s->probes[i].active &&
				   s->probes[i].suspecting &&
				   s->probes[i].remote;
	next = remote_suspects <= REMOTE_SUSPECTS_MAX && s->budget_bytes > 0 ?
		       random_in_dc(s, n->member.dc, n->member.id) :
		       NULL;
	if (next && next->member.state == MEMBER_ALIVE)
		swim_probe_start(s, next, outbox);
}

static void start_suspicion(struct swim *s, struct swim_probe *p,
			    struct swim_node *n, struct swim_outbox *outbox)
{
	s->stats.probes_failed++;
	/* If no helper answered either, this daemon itself is probably slow or
	 * cut off. */
	if (!p->nack_count && has_helpers(s) && s->slow_score < SLOW_SCORE_MAX)
		s->slow_score++;
	if (s->now_us < s->no_suspicion_until_us) {
		p->active = false;
		return;
	}
	s->stats.suspicions++;
	p->suspecting = true;
	p->suspected_us = s->now_us;
	p->nack_count = 0;
	if (n->member.state == MEMBER_ALIVE)
		swim_set_state(s, n, MEMBER_SUSPECT, !swim_is_isolated(s));
	if (p->remote)
		probe_another_in_dc(s, n, outbox);
}

static void declare_dead(struct swim *s, struct swim_probe *p,
			 struct swim_node *n, bool gossip)
{
	s->stats.declared_dead++;
	p->active = false;
	n->scope = swim_scope_of(s, &n->member);
	swim_set_state(s, n, MEMBER_DEAD, gossip);
	n->dead_here_only = !gossip;
}

static void check_suspicion_timeout(struct swim *s, struct swim_probe *p,
				    struct swim_node *n)
{
	int64_t age_us = s->now_us - p->suspected_us;

	if (age_us < suspicion_us(s, p))
		return;
	if (!has_helpers(s) || (p->nack_count && !swim_is_isolated(s)))
		declare_dead(s, p, n, true);
	else if (age_us > ISOLATED_SUSPICION_US && swim_is_isolated(s))
		declare_dead(s, p, n, false);
	else if (age_us > ISOLATED_SUSPICION_US)
		p->active = false;
}

/* Called when an attempt timed out. A probe starts with a ping; attempts 1 and
 * 2 ping again and ask helpers, attempt 3 only waits for them, and attempt 4
 * starts the suspicion. From then on each attempt pings and every second one
 * also asks helpers. */
static void probe_next_attempt(struct swim *s, struct swim_probe *p,
			       struct swim_outbox *outbox)
{
	struct swim_node *n = swim_find(s, p->id);

	if (!n || n->member.incarnation != p->incarnation || !swim_is_live(n) ||
	    (p->suspecting && n->member.state == MEMBER_ALIVE)) {
		p->active = false;
		return;
	}
	p->attempt_count++;
	if (!p->suspecting && p->attempt_count == 4)
		start_suspicion(s, p, n, outbox);
	else if (p->suspecting)
		check_suspicion_timeout(s, p, n);
	if (!p->active)
		return;
	p->next_attempt_us = s->now_us + retry_us(s);
	if (p->suspecting && p->remote)
		p->next_attempt_us += retry_us(s);
	if (p->attempt_count != 3)
		ping(s, n, p->nonce, outbox);
	if (p->attempt_count < 3 ||
	    (p->suspecting && p->attempt_count % 2 == 0))
		send_ping_requests(s, p, n, outbox);
}

void swim_indirect_ping_start(struct swim *s, const struct swim_msg *m,
			      struct swim_outbox *outbox)
{
	struct swim_node *n = swim_find(s, m->target);
	struct swim_indirect_ping *r = NULL;

	if (!n || n->member.incarnation != m->target_incarnation)
		return;
	for (uint32_t i = 0; !r && i < SWIM_INDIRECT_PINGS_MAX; i++)
		if (!s->indirect_pings[i].active)
			r = &s->indirect_pings[i];
	if (!r)
		return;
	*r = (struct swim_indirect_ping){
		.active = true,
		.nonce = next_nonce(s),
		.request_nonce = m->nonce,
		.requester = m->sender_id,
		.target = m->target,
		.target_incarnation = m->target_incarnation,
		.next_attempt_us = s->now_us + s->period_us / 4,
	};
	ping(s, n, r->nonce, outbox);
}

static void indirect_ping_reply(struct swim *s, struct swim_indirect_ping *r,
				enum swim_kind kind, struct swim_outbox *outbox)
{
	struct swim_node *requester = swim_find(s, r->requester);
	struct swim_msg *m =
		requester ? swim_emit(s, outbox, requester, kind) : NULL;

	r->active = false;
	if (!m)
		return;
	m->nonce = r->request_nonce;
	m->target = r->target;
	m->target_incarnation = r->target_incarnation;
	swim_piggyback(s, m);
}

static void indirect_ping_next_attempt(struct swim *s,
				       struct swim_indirect_ping *r,
				       struct swim_outbox *outbox)
{
	struct swim_node *n = swim_find(s, r->target);

	if (r->retried || !n) {
		indirect_ping_reply(s, r, SWIM_NACK, outbox);
		return;
	}
	r->retried = true;
	r->next_attempt_us = s->now_us + s->period_us / 4;
	ping(s, n, r->nonce, outbox);
}

void swim_probe_tick(struct swim *s, struct swim_outbox *outbox)
{
	for (uint32_t i = 0; i < SWIM_PROBES_MAX; i++)
		if (s->probes[i].active &&
		    s->now_us >= s->probes[i].next_attempt_us)
			probe_next_attempt(s, &s->probes[i], outbox);
	for (uint32_t i = 0; i < SWIM_INDIRECT_PINGS_MAX; i++)
		if (s->indirect_pings[i].active &&
		    s->now_us >= s->indirect_pings[i].next_attempt_us)
			indirect_ping_next_attempt(s, &s->indirect_pings[i],
						   outbox);
}

void swim_probe_reset(struct swim *s)
{
	for (uint32_t i = 0; i < SWIM_PROBES_MAX; i++)
		s->probes[i].active = false;
	for (uint32_t i = 0; i < SWIM_INDIRECT_PINGS_MAX; i++)
		s->indirect_pings[i].active = false;
}

static struct swim_probe *find_answered_probe(struct swim *s, uint32_t nonce,
					      uint64_t id, uint64_t incarnation)
{
	struct swim_probe *p = find_probe(s, id);

	return p && p->nonce == nonce && p->incarnation == incarnation ? p :
									 NULL;
}

static void probe_succeeded(struct swim *s, struct swim_probe *p)
{
	p->active = false;
	if (s->slow_score)
		s->slow_score--;
}

void swim_on_ack(struct swim *s, const struct swim_msg *m,
		 struct swim_outbox *outbox)
{
	bool indirect = m->kind == SWIM_INDIRECT_ACK;
	uint64_t id = indirect ? m->target : m->sender_id;
	uint64_t incarnation =
		indirect ? m->target_incarnation : m->sender_incarnation;
	struct swim_probe *p =
		find_answered_probe(s, m->nonce, id, incarnation);

	if (p)
		probe_succeeded(s, p);
	if (indirect)
		return;
	for (uint32_t i = 0; i < SWIM_INDIRECT_PINGS_MAX; i++) {
		struct swim_indirect_ping *r = &s->indirect_pings[i];

		if (r->active && r->nonce == m->nonce && r->target == id &&
		    r->target_incarnation == incarnation)
			indirect_ping_reply(s, r, SWIM_INDIRECT_ACK, outbox);
	}
}

void swim_on_nack(struct swim *s, const struct swim_msg *m)
{
	struct swim_probe *p = find_answered_probe(s, m->nonce, m->target,
						   m->target_incarnation);

	if (!p || p->nack_count == SWIM_HELPERS)
		return;
	for (uint32_t i = 0; i < p->nack_count; i++)
		if (p->nack_ids[i] == m->sender_id)
			return;
	p->nack_ids[p->nack_count++] = m->sender_id;
}
