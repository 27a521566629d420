/**
 * @file
 * Simulated network with simulated time for member_test.c, member_measure.c and
 * member_slopes.c. Each daemon is a struct swim; datagrams are encoded by
 * wire.c, and are delayed, lost or blocked. The seed determines a run
 * completely.
 */
#ifndef MEMBER_MEMBER_MODEL_H
#define MEMBER_MEMBER_MODEL_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member/member.h"
#include "peer/peer.h"

#define MODEL_TICK_US (40 * US_PER_MS)
/* UDP and IPv4 headers. */
#define MODEL_HEADER_BYTES 28
/* Address of daemon 0; the others follow. */
#define MODEL_IP 0x0a000001U

/* These two replace the functions of peer/auth.c in a program that is not
 * linked with it; they use a keyed hash instead of the HMAC. */
__attribute__((weak)) uint32_t fleet_sign(const struct fleet_keys *k,
					  const void *data, size_t len_bytes,
					  uint8_t mac[FLEET_MAC_BYTES])
{
	uint64_t key = hash_bytes(k->keys[0].secret, FLEET_KEY_BYTES, 0);
	uint64_t h[2] = { hash_bytes(data, len_bytes, key),
			  hash_bytes(data, len_bytes, ~key) };

	memcpy(mac, h, FLEET_MAC_BYTES);
	return k->keys[0].id;
}

__attribute__((weak)) bool fleet_verify(const struct fleet_keys *k,
					uint32_t key_id, const void *data,
					size_t len_bytes,
					const uint8_t mac[FLEET_MAC_BYTES])
{
	for (uint32_t i = 0; i < k->count; i++) {
		struct fleet_keys one = { .count = 1, .keys = { k->keys[i] } };
		uint8_t expected[FLEET_MAC_BYTES];

		if (k->keys[i].id != key_id)
			continue;
		fleet_sign(&one, data, len_bytes, expected);
		return !memcmp(mac, expected, FLEET_MAC_BYTES);
	}
	return false;
}

struct model_daemon {
	struct swim *swim; /* NULL: killed */
	uint64_t incarnation;
	uint64_t datagram_sequence;
	uint32_t dc; /* 1 to model.dcs */
	uint32_t region;
	uint64_t sent_bytes;
	uint64_t sent_region_bytes; /* sent to other regions */
	uint64_t sent_datagrams;
	uint32_t longest_bytes; /* longest datagram sent */
	bool paused; /* neither ticks nor receives */
};

struct model_event {
	int64_t at_us;
	uint64_t number; /* orders events of the same time */
	uint32_t to; /* indexes of daemons */
	uint32_t from;
	uint32_t len; /* bytes of `data`; 0: the event is a tick of `to` */
	uint8_t *data;
};

struct model {
	int64_t now_us;
	uint64_t random; /* state of the random number generator */
	uint64_t number; /* of the next event */
	uint32_t count; /* of daemons */
	uint32_t dcs;
	uint32_t regions;
	uint32_t loss_percent;
	struct model_daemon *daemons;
	/* True if datagrams from `from` to `to` are dropped. */
	bool (*is_blocked)(struct model *m, uint32_t from, uint32_t to);
	/* Called after each event of a running daemon; or NULL. */
	void (*after)(struct model *m, uint32_t daemon);
	void *arg;
	uint8_t *pair_blocked; /* count x count flags: datagrams from row to
			     column are dropped; or NULL */
	struct model_event *heap;
	uint32_t heap_count;
	uint32_t heap_cap;
	struct swim_outbox *outbox; /* reused for each event */
	struct swim_msg *received; /* reused for each datagram */
	uint64_t malformed; /* datagrams that could not be decoded */
};

static inline uint64_t model_random(struct model *m)
{
	uint64_t z = (m->random += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static inline uint32_t model_random_below(struct model *m, uint32_t n)
{
	return (uint32_t)((model_random(m) >> 32) * n >> 32);
}

static inline void *model_alloc(size_t bytes)
{
	void *p = calloc(1, bytes);

	if (!p)
		abort();
	return p;
}

static inline bool model_before(const struct model_event *a,
				const struct model_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->number < b->number;
}

static inline void model_push(struct model *m, struct model_event e)
{
	uint32_t i = m->heap_count++;

	if (m->heap_count > m->heap_cap) {
		m->heap_cap = m->heap_cap ? m->heap_cap * 2 : 1024;
		m->heap = realloc(m->heap, m->heap_cap * sizeof(*m->heap));
		if (!m->heap)
			abort();
	}
	e.number = m->number++;
	while (i && model_before(&e, &m->heap[(i - 1) / 2])) {
		m->heap[i] = m->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	m->heap[i] = e;
}

static inline struct model_event model_pop(struct model *m)
{
	struct model_event top = m->heap[0];
	struct model_event last = m->heap[--m->heap_count];
	uint32_t i = 0;

	for (;;) {
		uint32_t c = 2 * i + 1;

		if (c >= m->heap_count)
			break;
		if (c + 1 < m->heap_count &&
		    model_before(&m->heap[c + 1], &m->heap[c]))
			c++;
		if (!model_before(&m->heap[c], &last))
			break;
		m->heap[i] = m->heap[c];
		i = c;
	}
	m->heap[i] = last;
	return top;
}

static inline uint64_t model_id(uint32_t i)
{
	uint64_t z = (i + 1) * UINT64_C(0x9e3779b97f4a7c15);

	return (z ^ (z >> 31)) * UINT64_C(0xbf58476d1ce4e5b9) | 1;
}

static inline int64_t model_delay_us(const struct model *m, uint32_t a,
				     uint32_t b)
{
	if (m->daemons[a].region != m->daemons[b].region)
		return 30 * US_PER_MS;
	if (m->daemons[a].dc != m->daemons[b].dc)
		return 1500;
	return 200;
}

static inline void model_send(struct model *m, uint32_t from, uint32_t to,
			      struct swim_msg *msg)
{
	struct model_daemon *d = &m->daemons[from];
	uint8_t data[SWIM_DATAGRAM_MAX_BYTES];
	struct model_event e = { .to = to, .from = from };

	msg->datagram_sequence = ++d->datagram_sequence;
	e.len = wire_encode(msg, NULL, data);
	if (!e.len || e.len != swim_msg_bytes(msg)) {
		fprintf(stderr, "datagram of kind %d: %u bytes, expected %u\n",
			(int)msg->kind, e.len, swim_msg_bytes(msg));
		abort();
	}
	d->sent_datagrams++;
	d->sent_bytes += e.len + MODEL_HEADER_BYTES;
	if (e.len > d->longest_bytes)
		d->longest_bytes = e.len;
	if (to >= m->count)
		return;
	if (d->region != m->daemons[to].region)
		d->sent_region_bytes += e.len + MODEL_HEADER_BYTES;
	if (model_random_below(m, 100) < m->loss_percent ||
	    (m->is_blocked && m->is_blocked(m, from, to)) ||
	    (m->pair_blocked && m->pair_blocked[from * m->count + to]))
		return;
	/* Up to a tenth is added at random, so that some datagrams overtake
	 * others. */
	e.at_us = model_delay_us(m, from, to);
	e.at_us +=
		m->now_us + model_random_below(m, (uint32_t)(e.at_us / 10 + 1));
	e.data = malloc(e.len);
	if (!e.data)
		abort();
	memcpy(e.data, data, e.len);
	model_push(m, e);
}

static inline void model_flush(struct model *m, uint32_t from)
{
	for (uint32_t i = 0; i < m->outbox->count; i++)
		model_send(m, from, m->outbox->entries[i].ip - MODEL_IP,
			   &m->outbox->entries[i].msg);
	m->outbox->count = 0;
}

static inline struct member model_member(const struct model *m, uint32_t i)
{
	struct member self = {
		.id = model_id(i),
		.incarnation = m->daemons[i].incarnation,
		.ip = MODEL_IP + i,
		.peer_port = 7100,
		.member_port = 7200,
		.dc = m->daemons[i].dc,
		.region = m->daemons[i].region,
		.state = MEMBER_ALIVE,
	};

	snprintf(self.name, sizeof(self.name), "accra-1-vm-%04u", i);
	return self;
}

/* Starts a daemon in a new incarnation; its seeds are the first three daemons.
 */
static inline void model_start(struct model *m, uint32_t i)
{
	struct model_daemon *d = &m->daemons[i];
	struct member self;
	struct model_event tick = { .to = i };

	d->incarnation = model_random(m);
	d->datagram_sequence = 0;
	self = model_member(m, i);
	d->swim = swim_new(&self, 0, model_random(m), m->now_us);
	for (uint32_t s = 0; s < 3 && s < m->count; s++)
		swim_add_seed(d->swim, MODEL_IP + s, 7200);
	tick.at_us = m->now_us + model_random_below(m, MODEL_TICK_US);
	model_push(m, tick);
}

static inline void model_kill(struct model *m, uint32_t i)
{
	swim_free(m->daemons[i].swim);
	m->daemons[i].swim = NULL;
}

static inline struct model *model_new(uint32_t count, uint32_t dcs,
				      uint32_t regions, uint64_t seed)
{
	struct model *m = model_alloc(sizeof(*m));

	m->now_us = 1000 * US_PER_S;
	m->random = seed;
	m->count = count;
	m->dcs = dcs;
	m->regions = regions;
	m->daemons = model_alloc(count * sizeof(*m->daemons));
	m->outbox = model_alloc(sizeof(*m->outbox));
	m->received = model_alloc(sizeof(*m->received));
	for (uint32_t i = 0; i < count; i++) {
		m->daemons[i].dc = 1 + i % dcs;
		m->daemons[i].region = 1 + i % dcs % regions;
	}
	return m;
}

static inline void model_free(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		swim_free(m->daemons[i].swim);
	for (uint32_t i = 0; i < m->heap_count; i++)
		free(m->heap[i].data);
	free(m->heap);
	free(m->daemons);
	free(m->pair_blocked);
	free(m->outbox);
	free(m->received);
	free(m);
}

/* Starts all daemons with records of all members, so that a run need not begin
 * with joining. */
static inline void model_start_all(struct model *m)
{
	struct swim_update *u = model_alloc(sizeof(*u));

	for (uint32_t i = 0; i < m->count; i++)
		model_start(m, i);
	u->kind = UPDATE_FULL;
	u->sequence = 1;
	for (uint32_t i = 0; i < m->count; i++) {
		struct swim *s = m->daemons[i].swim;

		for (uint32_t j = 0; j < m->count; j++) {
			u->member = model_member(m, j);
			if (j != i)
				swim_apply(s, NULL, u);
		}
		/* All daemons know all records, so that those queued for gossip
		 * are removed from the queue. */
		for (uint32_t j = 0; j < s->node_count; j++)
			swim_set_state(s, s->nodes[j], MEMBER_ALIVE, false);
		s->join_phase = 2;
	}
	free(u);
}

static inline void model_event_run(struct model *m, struct model_event *e)
{
	struct model_daemon *d = &m->daemons[e->to];

	if (e->len) {
		if (d->swim && !d->paused) {
			if (wire_decode(e->data, e->len, NULL, m->received) !=
			    AZ_OK)
				m->malformed++;
			else
				swim_receive(d->swim, m->now_us,
					     MODEL_IP + e->from, 7200,
					     m->received, m->outbox);
		}
		free(e->data);
	} else if (d->swim) {
		struct model_event next = { .to = e->to };

		if (!d->paused)
			swim_tick(d->swim, m->now_us, m->outbox);
		next.at_us = m->now_us + MODEL_TICK_US;
		model_push(m, next);
	}
	model_flush(m, e->to);
	if (m->after && d->swim)
		m->after(m, e->to);
}

static inline void model_run(struct model *m, int64_t for_us)
{
	int64_t end_us = m->now_us + for_us;

	while (m->heap_count && m->heap[0].at_us <= end_us) {
		struct model_event e = model_pop(m);

		m->now_us = e.at_us;
		model_event_run(m, &e);
	}
	m->now_us = end_us;
}

/* Runs until `done` is true; returns the simulated time in us that it took, or
 * -1 if the limit is reached first. */
static inline int64_t model_run_until(struct model *m, int64_t limit_us,
				      bool (*done)(struct model *m))
{
	int64_t start_us = m->now_us;

	while (m->now_us - start_us < limit_us) {
		if (done(m))
			return m->now_us - start_us;
		model_run(m, 10 * US_PER_MS);
	}
	return -1;
}

static inline const struct swim_node *model_node(const struct model *m,
						 uint32_t viewer, uint32_t of)
{
	return swim_find(m->daemons[viewer].swim, model_id(of));
}

/* True if in the records of daemon `viewer` the running incarnation of daemon
 * `of` is live. */
static inline bool model_sees(const struct model *m, uint32_t viewer,
			      uint32_t of)
{
	const struct swim_node *n = model_node(m, viewer, of);

	return n && swim_is_live(n) &&
	       n->member.incarnation == m->daemons[of].incarnation;
}

#endif
