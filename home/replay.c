#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "home/replay.h"

#define EVENTS_MAX 16384
#define US_FROM_MS(ms) ((int64_t)((ms)*1000.0))

enum event_kind {
	ARRIVAL,
	COMPLETION,
	TICK,
};

/** A simulated request. */
struct replay_call {
	struct queue_item item;
	int64_t arrived_us;
	int64_t sent_us;
	uint32_t caller_dc;
	uint32_t worker;
	enum home_event event;
	int64_t latency_us;
};

struct event {
	int64_t at_us;
	enum event_kind kind;
	struct replay_call *call;
};

/* Steps in which the sends to each worker are counted. */
#define STEP_US (100 * US_PER_MS)
#define STEPS_MAX 4096
#define WINDOW_STEPS (REPLAY_FLOOR_WINDOW_S * US_PER_S / STEP_US)
#define SOUND_STEPS (REPLAY_SOUND_AFTER_S * US_PER_S / STEP_US)

/** What happened in one step. */
struct step {
	uint32_t arrivals;
	uint32_t unserved; /**< of these arrivals */
	uint64_t sent_to; /**< bit set of workers */
	uint64_t gray; /**< bit set of workers */
};

struct simulation {
	const struct replay_pattern *pattern;
	const struct replay_policy *policy;
	struct replay_result result;
	uint64_t random; /**< state of the random number generator */
	int64_t now_us;
	struct event heap[EVENTS_MAX]; /**< binary heap by at_us */
	uint32_t events; /**< number of events in the heap */
	struct worker_evidence evidence[REPLAY_WORKERS_MAX];
	int64_t gray_until_us[REPLAY_WORKERS_MAX];
	int64_t next_gray_us; /**< when workers turn gray next */
	struct home_cell cell; /**< only its latency baseline is used */
	struct rank_queue queue;
	struct floor_watch floor;
	struct step steps[STEPS_MAX];
	double wait_us; /**< sum over the requests sent */
	double refusal_age_us; /**< sum over the requests refused */
};

/* Settings that several patterns share. */
#define GRAY_HANGS                                                        \
	.gray_fault = REPLAY_HANGS, .gray_share = 0.3, .gray_every_s = 9, \
	.gray_for_s = 4.5, .gray_fail_share = 0.75
#define LARGE_SITE \
	.data_centres = 6, .slots = 6, .deadline_ms = 8000, .target_ms = 5000
#define URGENT_CELL                                                         \
	.workers = 18, .data_centres = 2, .slots = 6, .requests_per_s = 55, \
	.urgent_share = 0.64, .service_ms = 330, .spread = 0.3,             \
	.deadline_ms = 6000, .target_ms = 1000, .seconds = 300
#define OFTEN_GRAY                                             \
	.gray_share = 0.3, .gray_every_s = 5, .gray_for_s = 5, \
	.gray_fail_share = 0.6

const struct replay_pattern replay_patterns[] = {
	{ .name = "gray hangs, low load",
	  .workers = 19,
	  LARGE_SITE,
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
	{ .name = "gray errors, low load",
	  .workers = 19,
	  LARGE_SITE,
	  .requests_per_s = 40,
	  .service_ms = 460,
	  .spread = 0.8,
	  .gray_fault = REPLAY_ERRORS,
	  .gray_share = 0.3,
	  .gray_every_s = 9,
	  .gray_for_s = 4.5,
	  .gray_fail_share = 0.75,
	  .seconds = 300 },
	{ .name = "burst, gray hangs",
	  .workers = 19,
	  LARGE_SITE,
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
	{ .name = "small cell, long gray periods",
	  .workers = 4,
	  .data_centres = 2,
	  .slots = 6,
	  .requests_per_s = 18,
	  .service_ms = 480,
	  .spread = 0.5,
	  .deadline_ms = 6000,
	  .target_ms = 4000,
	  .gray_fault = REPLAY_HANGS,
	  .gray_share = 0.3,
	  .gray_every_s = 12,
	  .gray_for_s = 6,
	  .gray_fail_share = 0.9,
	  .seconds = 300 },
	{ .name = "large cell, long gray periods",
	  .workers = 55,
	  .data_centres = 2,
	  .slots = 6,
	  .requests_per_s = 230,
	  .service_ms = 450,
	  .spread = 0.5,
	  .deadline_ms = 12000,
	  .target_ms = 4000,
	  .gray_fault = REPLAY_HANGS,
	  .gray_share = 0.3,
	  .gray_every_s = 12,
	  .gray_for_s = 6,
	  .gray_fail_share = 0.9,
	  .seconds = 60 },
	{ .name = "urgent requests, many gray errors",
	  URGENT_CELL,
	  .gray_fault = REPLAY_ERRORS,
	  OFTEN_GRAY },
	{ .name = "urgent requests, many gray hangs",
	  URGENT_CELL,
	  .gray_fault = REPLAY_HANGS,
	  OFTEN_GRAY },
	{ .name = "all workers fail a part", URGENT_CELL, .lost_share = 0.15 },
};
const uint32_t replay_pattern_count =
	sizeof(replay_patterns) / sizeof(replay_patterns[0]);

/* ---- random numbers ---- */

static double random_uniform(struct simulation *sim)
{
	sim->random = hash_bytes(&sim->random, sizeof(sim->random), 1);
	/* The upper 53 bits, divided by 2^53. */
	return ((double)(sim->random >> 11) + 0.5) / 9007199254740992.0;
}

/* Standard normal distribution, by the Box-Muller transform. */
static double random_normal(struct simulation *sim)
{
	return sqrt(-2 * log(random_uniform(sim))) *
	       cos(2 * M_PI * random_uniform(sim));
}

/* Draws a service time, lognormal with the mean service_ms. */
static int64_t service_us(struct simulation *sim, uint32_t worker)
{
	const struct replay_pattern *p = sim->pattern;
	double mu = log(p->service_ms) - p->spread * p->spread / 2;
	double ms = exp(mu + p->spread * random_normal(sim));

	if (worker < p->slow_share * p->workers)
		ms *= p->slow_factor;
	return US_FROM_MS(ms);
}

/* ---- heap of events by time ---- */

static void push_event(struct simulation *sim, int64_t at_us, enum event_kind k,
		       struct replay_call *c)
{
	uint32_t i = sim->events++;

	if (i >= EVENTS_MAX)
		abort();
	while (i && sim->heap[(i - 1) / 2].at_us > at_us) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = (struct event){ at_us, k, c };
}

static struct event pop_event(struct simulation *sim)
{
	struct event first = sim->heap[0];
	struct event last = sim->heap[--sim->events];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= sim->events)
			break;
		if (child + 1 < sim->events &&
		    sim->heap[child + 1].at_us < sim->heap[child].at_us)
			child++;
		if (sim->heap[child].at_us >= last.at_us)
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return first;
}

/* ---- simulated home and workers ---- */

static struct latency_baseline baseline(const struct simulation *sim)
{
	return home_cell_baseline(&sim->cell);
}

static void candidates(const struct simulation *sim, uint32_t dc,
		       struct candidate *out)
{
	struct latency_baseline base = baseline(sim);

	for (uint32_t i = 0; i < sim->pattern->workers; i++)
		out[i] = (struct candidate){
			.evidence = &sim->evidence[i],
			.suspicion = worker_evidence_suspicion(
				&sim->evidence[i], &base, sim->now_us),
			.slots = sim->pattern->slots,
			.same_dc = i % sim->pattern->data_centres == dc,
		};
}

static int32_t choose(struct simulation *sim, const struct replay_call *c)
{
	struct candidate list[REPLAY_WORKERS_MAX];
	struct latency_baseline base = baseline(sim);
	struct demand d = { .rank = c->item.rank };

	candidates(sim, c->caller_dc, list);
	d.hold_floor = floor_must_hold(&sim->floor, sim->now_us);
	d.may_wait = sim->policy->may_wait &&
		     (sim->policy->may_wait_long ||
		      choose_queue_is_short(rank_queue_depth(&sim->queue),
					    sim->pattern->workers)) &&
		     sim->now_us < c->arrived_us +
					   US_FROM_MS(sim->pattern->target_ms) *
						   CHOOSE_WAIT_PERCENT / 100;
	return sim->policy->choose(list, sim->pattern->workers, &base, &d,
				   (uint64_t)c->arrived_us, sim->now_us);
}

/** Argument of fits(), which stores the worker chosen for the call in it. */
struct fit {
	struct simulation *simulation;
	int32_t worker_index;
};

static bool fits(const struct queue_item *i, void *arg)
{
	struct fit *f = arg;

	f->worker_index = choose(f->simulation,
				 az_container_of(i, struct replay_call, item));
	return f->worker_index >= 0;
}

static struct step *step_at(struct simulation *sim, int64_t at_us)
{
	int64_t i = at_us / STEP_US;

	return &sim->steps[i < STEPS_MAX ? i : STEPS_MAX - 1];
}

static void count_refusal(struct simulation *sim, struct replay_call *c)
{
	step_at(sim, c->arrived_us)->unserved++;
	floor_record(&sim->floor, false, sim->now_us);
	sim->result.refused++;
	sim->refusal_age_us += (double)(sim->now_us - c->arrived_us);
	free(c);
}

static void start_call(struct simulation *sim, struct replay_call *c,
		       uint32_t w)
{
	const struct replay_pattern *p = sim->pattern;
	int64_t left_us =
		c->arrived_us + US_FROM_MS(p->deadline_ms) - sim->now_us;
	bool fails = sim->gray_until_us[w] > sim->now_us &&
		     random_uniform(sim) < p->gray_fail_share;
	bool lost = random_uniform(sim) < p->lost_share;

	c->worker = w;
	c->sent_us = sim->now_us;
	step_at(sim, sim->now_us)->sent_to |= UINT64_C(1) << w;
	sim->wait_us += (double)(sim->now_us - c->arrived_us);
	sim->result.other_dc += w % p->data_centres != c->caller_dc;
	worker_evidence_record_send(&sim->evidence[w], sim->now_us);
	c->latency_us = service_us(sim, w);
	c->event = EVENT_ANSWERED;
	if (fails && p->gray_fault == REPLAY_ERRORS) {
		c->latency_us = US_FROM_MS(5);
		c->event = EVENT_SERVER_ERROR;
	} else if ((fails && p->gray_fault == REPLAY_HANGS) ||
		   c->latency_us > left_us) {
		c->latency_us = left_us;
		c->event = EVENT_TIMEOUT;
	}
	if (lost && c->event == EVENT_ANSWERED)
		c->event = EVENT_NO_VALID_ANSWER;
	push_event(sim, sim->now_us + c->latency_us, COMPLETION, c);
}

static void dispatch(struct simulation *sim)
{
	struct fit f = { sim, -1 };
	struct queue_item *expired = NULL;
	struct queue_item *i;

	while ((i = rank_queue_pop(&sim->queue, sim->now_us, fits, &f,
				   &expired)))
		start_call(sim, az_container_of(i, struct replay_call, item),
			   (uint32_t)f.worker_index);
	while (expired) {
		struct queue_item *next = expired->next;

		count_refusal(sim, az_container_of(expired, struct replay_call,
						   item));
		expired = next;
	}
}

static void update_wait_estimate(struct simulation *sim)
{
	struct candidate list[REPLAY_WORKERS_MAX];
	struct latency_baseline base = baseline(sim);

	candidates(sim, 0, list);
	sim->queue.dispatch_interval_us = choose_dispatch_interval_us(
		list, sim->pattern->workers, &base, sim->now_us);
}

static void arrive(struct simulation *sim)
{
	const struct replay_pattern *p = sim->pattern;
	struct replay_call *c = az_alloc(sizeof(*c));
	double s = (double)sim->now_us / US_PER_S;
	double rate = p->requests_per_s;

	sim->result.requests++;
	step_at(sim, sim->now_us)->arrivals++;
	c->arrived_us = sim->now_us;
	c->caller_dc = (uint32_t)(random_uniform(sim) * p->data_centres);
	c->item.rank = random_uniform(sim) < p->urgent_share ? RANK_URGENT :
							       RANK_NORMAL;
	c->item.deadline_us = sim->now_us + US_FROM_MS(p->deadline_ms) -
			      baseline(sim).latency_us;
	update_wait_estimate(sim);
	if (rank_queue_push(&sim->queue, &c->item, sim->now_us) != ERR_NONE)
		count_refusal(sim, c);
	dispatch(sim);
	if (p->burst > 0 && s >= p->burst_from_s &&
	    s < p->burst_from_s + p->burst_for_s)
		rate *= p->burst;
	if (s < p->seconds)
		push_event(sim,
			   sim->now_us +
				   US_FROM_MS(-1000 * log(random_uniform(sim)) /
					      rate),
			   ARRIVAL, NULL);
}

static void complete_call(struct simulation *sim, struct replay_call *c)
{
	const struct replay_pattern *p = sim->pattern;

	struct latency_baseline base = baseline(sim);

	worker_evidence_record_completion(&sim->evidence[c->worker], &base,
					  c->sent_us, c->event, c->latency_us,
					  sim->now_us);
	floor_record(&sim->floor, c->event == EVENT_ANSWERED, sim->now_us);
	if (c->event == EVENT_ANSWERED) {
		home_cell_record_latency(&sim->cell, c->latency_us);
		sim->result.served++;
		sim->result.in_time +=
			sim->now_us - c->arrived_us <= US_FROM_MS(p->target_ms);
	} else {
		sim->result.failed++;
		step_at(sim, c->arrived_us)->unserved++;
	}
	free(c);
	dispatch(sim);
}

/* The workers that turn gray are drawn anew at each interval. */
static void start_gray_faults(struct simulation *sim)
{
	const struct replay_pattern *p = sim->pattern;

	if (sim->now_us < sim->next_gray_us)
		return;
	sim->next_gray_us = sim->now_us + US_FROM_MS(1000 * p->gray_every_s);
	for (uint32_t i = 0; i < p->workers; i++)
		if (random_uniform(sim) < p->gray_share)
			sim->gray_until_us[i] =
				sim->now_us + US_FROM_MS(1000 * p->gray_for_s);
}

static void record_gray_workers(struct simulation *sim)
{
	for (uint32_t i = 0; i < sim->pattern->workers; i++)
		if (sim->gray_until_us[i] > sim->now_us)
			step_at(sim, sim->now_us)->gray |= UINT64_C(1) << i;
}

/* Share of the sound workers without a request in the window that begins at
 * step `first`; 0 if the rule does not hold in it. */
static double starved_share_at(const struct simulation *sim, uint32_t first)
{
	uint32_t arrivals = 0;
	uint32_t unserved = 0;
	uint32_t sound = 0;
	uint32_t starved = 0;
	uint64_t sent_to = 0;
	uint64_t gray = 0;

	for (uint32_t i = first; i < first + WINDOW_STEPS; i++) {
		arrivals += sim->steps[i].arrivals;
		unserved += sim->steps[i].unserved;
		sent_to |= sim->steps[i].sent_to;
	}
	for (uint32_t i = first - SOUND_STEPS; i < first + WINDOW_STEPS; i++)
		gray |= sim->steps[i].gray;
	for (uint32_t i = 0; i < sim->pattern->workers; i++) {
		sound += !(gray >> i & 1);
		starved += !(gray >> i & 1) && !(sent_to >> i & 1);
	}
	if (!sound || unserved <= REPLAY_FLOOR_UNSERVED_FROM * arrivals ||
	    unserved >= REPLAY_FLOOR_UNSERVED_TO * arrivals)
		return 0;
	return (double)starved / sound;
}

static double worst_starved_share(const struct simulation *sim)
{
	uint32_t end = (uint32_t)(sim->pattern->seconds * US_PER_S / STEP_US);
	double worst = 0;

	for (uint32_t i = SOUND_STEPS; i + WINDOW_STEPS < end; i++)
		worst = fmax(worst, starved_share_at(sim, i));
	return worst;
}

struct replay_result replay_run(const struct replay_pattern *p,
				const struct replay_policy *policy,
				uint64_t seed)
{
	struct queue_settings qs = { { 128, 128, 128 }, { 50, 30, 10 } };
	struct simulation *sim = az_alloc(sizeof(*sim));
	struct replay_result r;
	uint32_t sent;

	sim->pattern = p;
	sim->policy = policy;
	sim->random = seed;
	sim->next_gray_us = US_PER_S;
	rank_queue_init(&sim->queue, &qs);
	push_event(sim, 1, ARRIVAL, NULL);
	push_event(sim, 1, TICK, NULL);
	while (sim->events) {
		struct event e = pop_event(sim);

		sim->now_us = e.at_us;
		start_gray_faults(sim);
		record_gray_workers(sim);
		if (e.kind == ARRIVAL)
			arrive(sim);
		else if (e.kind == COMPLETION)
			complete_call(sim, e.call);
		else
			dispatch(sim);
		/* Ticks repeat dispatch, as suspicion decays without an event.
		 * They end at twice the duration of the arrivals. */
		if (e.kind == TICK && (double)sim->now_us < p->seconds * 2e6 &&
		    sim->events)
			push_event(sim, sim->now_us + 50 * US_PER_MS, TICK,
				   NULL);
	}
	sim->result.starved_share = worst_starved_share(sim);
	r = sim->result;
	sent = r.served + r.failed;
	r.wait_ms = sent ? sim->wait_us / sent / 1000 : 0;
	r.refusal_age_ms =
		r.refused ? sim->refusal_age_us / r.refused / 1000 : 0;
	free(sim);
	return r;
}

/* ---- policies ---- */

static int32_t choose_random(const struct candidate *list, uint32_t count,
			     const struct latency_baseline *base,
			     const struct demand *d, uint64_t random,
			     int64_t now_us)
{
	(void)base;
	(void)d;
	random = hash_bytes(&random, sizeof(random), (uint64_t)now_us);
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);

		if (!list[i].unavailable &&
		    list[i].evidence->in_flight_count < list[i].slots)
			return (int32_t)i;
	}
	return -1;
}

static int32_t choose_fewest(const struct candidate *list, uint32_t count,
			     const struct latency_baseline *base,
			     const struct demand *d, uint64_t random,
			     int64_t now_us)
{
	int32_t best = -1;

	(void)base;
	(void)d;
	(void)now_us;
	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (uint32_t)((n + random) % count);

		if (list[i].unavailable ||
		    list[i].evidence->in_flight_count >= list[i].slots)
			continue;
		if (best < 0 || list[i].evidence->in_flight_count <
					list[best].evidence->in_flight_count)
			best = (int32_t)i;
	}
	return best;
}

const struct replay_policy replay_daemon = { .name = "product",
					     .choose = choose_worker,
					     .may_wait = true };
const struct replay_policy replay_always_wait = { .name = "waits in bursts",
						  .choose = choose_worker,
						  .may_wait = true,
						  .may_wait_long = true };
const struct replay_policy replay_random = { .name = "random",
					     .choose = choose_random };
const struct replay_policy replay_fewest_in_flight = { .name = "fewest out",
						       .choose =
							       choose_fewest };
