#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "home/replay.h"

#define EVENTS_MAX 16384
#define US(ms) ((int64_t)((ms)*1000.0))

enum event_kind {
	ARRIVAL,
	END,
	TICK,
};

struct replay_call {
	struct queue_item item;
	int64_t arrived_us;
	int64_t sent_us;
	uint32_t dc;
	uint32_t worker;
	enum home_event end;
	int64_t latency_us;
};

struct event {
	int64_t at_us;
	enum event_kind kind;
	struct replay_call *call;
};

struct model {
	const struct replay_pattern *pattern;
	const struct replay_policy *policy;
	struct replay_result result;
	uint64_t random;
	int64_t now_us;
	struct event heap[EVENTS_MAX];
	uint32_t events;
	struct worker_evidence tracks[REPLAY_WORKERS_MAX];
	int64_t gray_until_us[REPLAY_WORKERS_MAX];
	int64_t next_gray_us;
	struct home_cell cell; /**< only what its requests usually take */
	struct rank_queue queue;
	double wait_us;
	double refusal_us;
};

#define GRAY_HANGS                                                  \
	.gray = REPLAY_HANGS, .gray_share = 0.3, .gray_every_s = 9, \
	.gray_for_s = 4.5, .gray_fails = 0.75
#define REGION_WIDE \
	.data_centres = 6, .slots = 6, .deadline_ms = 8000, .target_ms = 5000

const struct replay_pattern replay_patterns[] = {
	{ .name = "gray hangs, quiet day",
	  .workers = 19,
	  REGION_WIDE,
	  .requests_per_s = 40,
	  .service_ms = 460,
	  .spread = 0.8,
	  GRAY_HANGS,
	  .seconds = 300 },
	{ .name = "gray hangs, narrow service times",
	  .workers = 12,
	  .data_centres = 6,
	  .slots = 6,
	  .requests_per_s = 30,
	  .service_ms = 320,
	  .spread = 0.3,
	  .deadline_ms = 4000,
	  .target_ms = 1500,
	  GRAY_HANGS,
	  .seconds = 300 },
	{ .name = "gray errors, quiet day",
	  .workers = 19,
	  REGION_WIDE,
	  .requests_per_s = 40,
	  .service_ms = 460,
	  .spread = 0.8,
	  .gray = REPLAY_ERRORS,
	  .gray_share = 0.3,
	  .gray_every_s = 9,
	  .gray_for_s = 4.5,
	  .gray_fails = 0.75,
	  .seconds = 300 },
	{ .name = "burst of the least urgent, gray hangs",
	  .workers = 19,
	  REGION_WIDE,
	  .requests_per_s = 95,
	  .burst = 2.4,
	  .burst_from_s = 30,
	  .burst_for_s = 7,
	  .service_ms = 460,
	  .spread = 0.8,
	  GRAY_HANGS,
	  .seconds = 60 },
	{ .name = "part of the workers slow",
	  .workers = 12,
	  .data_centres = 6,
	  .slots = 6,
	  .requests_per_s = 60,
	  .service_ms = 460,
	  .spread = 0.3,
	  .deadline_ms = 6000,
	  .target_ms = 2500,
	  .slow_share = 0.25,
	  .slow_factor = 4,
	  .seconds = 120 },
	{ .name = "burst beyond capacity",
	  .workers = 12,
	  .data_centres = 6,
	  .slots = 6,
	  .requests_per_s = 100,
	  .burst = 2,
	  .burst_from_s = 20,
	  .burst_for_s = 10,
	  .service_ms = 460,
	  .spread = 0.3,
	  .deadline_ms = 6000,
	  .target_ms = 2500,
	  .seconds = 60 },
	{ .name = "small cell, long gray spells",
	  .workers = 4,
	  .data_centres = 2,
	  .slots = 6,
	  .requests_per_s = 18,
	  .service_ms = 480,
	  .spread = 0.5,
	  .deadline_ms = 6000,
	  .target_ms = 4000,
	  .gray = REPLAY_HANGS,
	  .gray_share = 0.3,
	  .gray_every_s = 12,
	  .gray_for_s = 6,
	  .gray_fails = 0.9,
	  .seconds = 300 },
	{ .name = "large cell, long gray spells",
	  .workers = 55,
	  .data_centres = 2,
	  .slots = 6,
	  .requests_per_s = 230,
	  .service_ms = 450,
	  .spread = 0.5,
	  .deadline_ms = 12000,
	  .target_ms = 4000,
	  .gray = REPLAY_HANGS,
	  .gray_share = 0.3,
	  .gray_every_s = 12,
	  .gray_for_s = 6,
	  .gray_fails = 0.9,
	  .seconds = 60 },
};
const uint32_t replay_pattern_count =
	sizeof(replay_patterns) / sizeof(replay_patterns[0]);

/* ---- random numbers ---- */

static double uniform(struct model *m)
{
	m->random = hash_bytes(&m->random, sizeof(m->random), 1);
	return ((double)(m->random >> 11) + 0.5) / 9007199254740992.0;
}

static double normal(struct model *m)
{
	return sqrt(-2 * log(uniform(m))) * cos(2 * M_PI * uniform(m));
}

static int64_t service_us(struct model *m, uint32_t worker)
{
	const struct replay_pattern *p = m->pattern;
	double mu = log(p->service_ms) - p->spread * p->spread / 2;
	double ms = exp(mu + p->spread * normal(m));

	if (worker < p->slow_share * p->workers)
		ms *= p->slow_factor;
	return US(ms);
}

/* ---- events ---- */

static void push(struct model *m, int64_t at_us, enum event_kind k,
		 struct replay_call *c)
{
	uint32_t i = m->events++;

	if (i >= EVENTS_MAX)
		abort();
	while (i && m->heap[(i - 1) / 2].at_us > at_us) {
		m->heap[i] = m->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	m->heap[i] = (struct event){ at_us, k, c };
}

static struct event pop(struct model *m)
{
	struct event first = m->heap[0];
	struct event last = m->heap[--m->events];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= m->events)
			break;
		if (child + 1 < m->events &&
		    m->heap[child + 1].at_us < m->heap[child].at_us)
			child++;
		if (m->heap[child].at_us >= last.at_us)
			break;
		m->heap[i] = m->heap[child];
		i = child;
	}
	m->heap[i] = last;
	return first;
}

/* ---- the home ---- */

static struct latency_baseline latency_baseline(const struct model *m)
{
	return home_cell_baseline(&m->cell);
}

static void candidates(const struct model *m, uint32_t dc,
		       struct candidate *out)
{
	struct latency_baseline u = latency_baseline(m);

	for (uint32_t i = 0; i < m->pattern->workers; i++)
		out[i] = (struct candidate){
			.worker_evidence = &m->tracks[i],
			.trouble = evidence_suspicion(&m->tracks[i], &u,
						      m->now_us),
			.slots = m->pattern->slots,
			.near = i % m->pattern->data_centres == dc,
		};
}

static int32_t choose(struct model *m, const struct replay_call *c)
{
	struct candidate list[REPLAY_WORKERS_MAX];
	struct latency_baseline u = latency_baseline(m);
	struct demand d = { .rank = c->item.rank };

	candidates(m, c->dc, list);
	d.patient = m->policy->waits &&
		    (m->policy->waits_long ||
		     choose_may_wait(rank_queue_depth(&m->queue),
				     m->pattern->workers)) &&
		    m->now_us < c->arrived_us + US(m->pattern->target_ms) *
							CHOOSE_WAIT_PERCENT /
							100;
	return m->policy->choose(list, m->pattern->workers, &u, &d,
				 (uint64_t)c->arrived_us, m->now_us);
}

/** Keeps the choice for the call that fits. */
struct fit {
	struct model *model;
	int32_t worker;
};

static bool fits(const struct queue_item *i, void *arg)
{
	struct fit *f = arg;

	f->worker =
		choose(f->model, az_container_of(i, struct replay_call, item));
	return f->worker >= 0;
}

static void note_refusal(struct model *m, struct replay_call *c)
{
	m->result.refused++;
	m->refusal_us += (double)(m->now_us - c->arrived_us);
	free(c);
}

static void give(struct model *m, struct replay_call *c, uint32_t w)
{
	const struct replay_pattern *p = m->pattern;
	int64_t left_us = c->arrived_us + US(p->deadline_ms) - m->now_us;
	bool fails =
		m->gray_until_us[w] > m->now_us && uniform(m) < p->gray_fails;

	c->worker = w;
	c->sent_us = m->now_us;
	m->wait_us += (double)(m->now_us - c->arrived_us);
	m->result.far += w % p->data_centres != c->dc;
	evidence_record_send(&m->tracks[w], m->now_us);
	c->latency_us = service_us(m, w);
	c->end = EVENT_ANSWERED;
	if (fails && p->gray == REPLAY_ERRORS) {
		c->latency_us = US(5);
		c->end = EVENT_SERVER_ERROR;
	} else if ((fails && p->gray == REPLAY_HANGS) ||
		   c->latency_us > left_us) {
		c->latency_us = left_us;
		c->end = EVENT_TIMEOUT;
	}
	push(m, m->now_us + c->latency_us, END, c);
}

static void dispatch(struct model *m)
{
	struct fit f = { m, -1 };
	struct queue_item *expired = NULL;
	struct queue_item *i;

	while ((i = rank_queue_pop(&m->queue, m->now_us, fits, &f, &expired)))
		give(m, az_container_of(i, struct replay_call, item),
		     (uint32_t)f.worker);
	while (expired) {
		struct queue_item *next = expired->next;

		note_refusal(
			m, az_container_of(expired, struct replay_call, item));
		expired = next;
	}
}

static void estimate(struct model *m)
{
	struct candidate list[REPLAY_WORKERS_MAX];
	struct latency_baseline u = latency_baseline(m);
	uint32_t slots;

	candidates(m, 0, list);
	slots = choose_slots(list, m->pattern->workers, &u, m->now_us);
	m->queue.service_us = u.latency_us / (slots ? slots : 1);
}

static void arrive(struct model *m)
{
	const struct replay_pattern *p = m->pattern;
	struct replay_call *c = az_alloc(sizeof(*c));
	double s = (double)m->now_us / US_PER_S;
	double rate = p->requests_per_s;

	m->result.requests++;
	c->arrived_us = m->now_us;
	c->dc = (uint32_t)(uniform(m) * p->data_centres);
	c->item.rank = RANK_NORMAL;
	c->item.deadline_us =
		m->now_us + US(p->deadline_ms) - latency_baseline(m).latency_us;
	estimate(m);
	if (rank_queue_push(&m->queue, &c->item, m->now_us) != ERR_NONE)
		note_refusal(m, c);
	dispatch(m);
	if (p->burst > 0 && s >= p->burst_from_s &&
	    s < p->burst_from_s + p->burst_for_s)
		rate *= p->burst;
	if (s < p->seconds)
		push(m, m->now_us + US(-1000 * log(uniform(m)) / rate), ARRIVAL,
		     NULL);
}

static void end(struct model *m, struct replay_call *c)
{
	const struct replay_pattern *p = m->pattern;

	struct latency_baseline u = latency_baseline(m);

	evidence_record_completion(&m->tracks[c->worker], &u, c->sent_us,
				   c->end, c->latency_us, m->now_us);
	if (c->end == EVENT_ANSWERED) {
		home_cell_record_latency(&m->cell, c->latency_us);
		m->result.served++;
		m->result.in_time +=
			m->now_us - c->arrived_us <= US(p->target_ms);
	} else {
		m->result.failed++;
	}
	free(c);
	dispatch(m);
}

/* The share of the workers that turns gray is drawn anew each time. */
static void turn_gray(struct model *m)
{
	const struct replay_pattern *p = m->pattern;

	if (m->now_us < m->next_gray_us)
		return;
	m->next_gray_us = m->now_us + US(1000 * p->gray_every_s);
	for (uint32_t i = 0; i < p->workers; i++)
		if (uniform(m) < p->gray_share)
			m->gray_until_us[i] =
				m->now_us + US(1000 * p->gray_for_s);
}

struct replay_result replay_run(const struct replay_pattern *p,
				const struct replay_policy *policy,
				uint64_t seed)
{
	struct queue_settings qs = { { 128, 128, 128 }, { 50, 30, 10 } };
	struct model *m = az_alloc(sizeof(*m));
	struct replay_result r;
	uint32_t sent;

	m->pattern = p;
	m->policy = policy;
	m->random = seed;
	m->next_gray_us = US_PER_S;
	rank_queue_init(&m->queue, &qs);
	push(m, 1, ARRIVAL, NULL);
	push(m, 1, TICK, NULL);
	while (m->events) {
		struct event e = pop(m);

		m->now_us = e.at_us;
		turn_gray(m);
		if (e.kind == ARRIVAL)
			arrive(m);
		else if (e.kind == END)
			end(m, e.call);
		else
			dispatch(m);
		if (e.kind == TICK && (double)m->now_us < p->seconds * 2e6 &&
		    m->events)
			push(m, m->now_us + 50 * US_PER_MS, TICK, NULL);
	}
	r = m->result;
	sent = r.served + r.failed;
	r.wait_ms = sent ? m->wait_us / sent / 1000 : 0;
	r.late_refusal_ms = r.refused ? m->refusal_us / r.refused / 1000 : 0;
	free(m);
	return r;
}

/* ---- policies ---- */

static int32_t choose_random(const struct candidate *list, uint32_t count,
			     const struct latency_baseline *u,
			     const struct demand *d, uint64_t random,
			     int64_t now_us)
{
	(void)u;
	(void)d;
	random = hash_bytes(&random, sizeof(random), (uint64_t)now_us);
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);

		if (!list[i].out &&
		    list[i].worker_evidence->out_count < list[i].slots)
			return (int32_t)i;
	}
	return -1;
}

static int32_t choose_fewest(const struct candidate *list, uint32_t count,
			     const struct latency_baseline *u,
			     const struct demand *d, uint64_t random,
			     int64_t now_us)
{
	int32_t best = -1;

	(void)u;
	(void)d;
	(void)now_us;
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);

		if (list[i].out ||
		    list[i].worker_evidence->out_count >= list[i].slots)
			continue;
		if (best < 0 || list[i].worker_evidence->out_count <
					list[best].worker_evidence->out_count)
			best = (int32_t)i;
	}
	return best;
}

const struct replay_policy replay_product = { .name = "product",
					      .choose = choose_worker,
					      .waits = true };
const struct replay_policy replay_waiting = { .name = "waits in bursts",
					      .choose = choose_worker,
					      .waits = true,
					      .waits_long = true };
const struct replay_policy replay_random = { .name = "random",
					     .choose = choose_random };
const struct replay_policy replay_fewest = { .name = "fewest out",
					     .choose = choose_fewest };
