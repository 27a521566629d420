/*
 * Simulation of requests of different rank under overload: the home's queue,
 * compared with workers that serve in order of arrival and with daemons that
 * send to workers without coordination.
 *
 * usage: ranks_measure [SEED]   prints "NAME VALUE UNIT" lines
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>

#include "home/home.h"

#define WORKERS 12
#define SLOTS 6
/* Mean time that a worker takes for a request. */
#define SERVICE_US (20 * US_PER_MS)
#define CAPACITY_PER_S ((double)(WORKERS * SLOTS * US_PER_S) / SERVICE_US)
#define CELLS 6
#define CELL_SLOTS (WORKERS * SLOTS / CELLS)
#define DAEMONS 44
#define RUN_US (60 * US_PER_S)
#define COUNTED_S ((double)(RUN_US - WARM_US) / (double)US_PER_S)
/* A worker refuses requests beyond this length of its own queue. */
#define WORKER_QUEUE_MAX 64
/* Requests that arrive before this time are not counted. */
#define WARM_US (5 * US_PER_S)
/* Answers of a rank whose latency is kept; a quarter of the events pending. */
#define ITEMS_MAX 400000
#define DISPATCHES_MAX 16

enum policy {
	POLICY_HOME, /* one rank queue per cell, as in the daemon */
	POLICY_FIFO, /* any daemon to any worker, served in order of arrival */
	POLICY_UNCOORDINATED, /* one rank queue and one limit per daemon */
};

struct load {
	double per_s[RANK_COUNT]; /* offered load as a multiple of capacity */
	int64_t deadline_us[RANK_COUNT]; /* from the arrival of each try */
	int64_t flood_from_us;
	int64_t flood_to_us;
	double flood; /* additional load of flood_rank during the flood, as a
			 multiple of capacity */
	enum rank flood_rank;
	/* During the brown-out, service takes brownout_factor times as long. */
	int64_t brownout_from_us;
	int64_t brownout_to_us;
	double brownout_factor;
	uint32_t retries; /* most retries of a refused or late request */
	bool budget; /* retries only within the retry budget */
};

struct call {
	struct queue_item item;
	int64_t arrived_us; /* arrival of the first try */
	uint32_t tries; /* retries before this try */
	uint32_t queue_index; /* index in queues[]: cell or daemon */
	uint32_t worker; /* not in POLICY_HOME: index of the worker */
	bool settled; /* answered, refused or past its deadline */
};

/** An event; kept in a binary heap by time. */
struct event {
	int64_t at_us;
	enum { CALL_ARRIVAL, CALL_DONE, CALL_EXPIRY, CALL_BACKOFF } kind;
	enum rank rank;
	struct call *call;
	uint32_t try; /* `tries` of the call at the time of the event */
};

struct result {
	uint32_t offered[RANK_COUNT];
	uint32_t answered[RANK_COUNT]; /* answered before the deadline */
	uint32_t refused[RANK_COUNT];
	uint32_t dispatched; /* sent to workers, also past their deadline */
	uint32_t attempts; /* first tries and retries */
	double *latency_ms[RANK_COUNT];
	uint32_t answered_by_second[128]; /* in time; by second of the run */
};

struct simulation {
	enum policy policy;
	const struct load *load;
	uint64_t random;
	int64_t now_us;
	struct event *heap;
	uint32_t heap_count;
	struct rank_queue queues[DAEMONS];
	uint32_t busy[DAEMONS]; /* used slots of a cell, or calls in flight of
				   a daemon */
	uint32_t worker_busy[WORKERS];
	struct call *worker_queue[WORKERS]; /* head of the worker's queue */
	struct call *worker_last[WORKERS]; /* its tail */
	uint32_t worker_waiting[WORKERS];
	uint32_t limit; /* POLICY_UNCOORDINATED: most calls in flight of a
			   daemon */
	struct retry_budget budget;
	struct result r;
};

/* ---- random numbers: hash of a counter, so that a seed repeats a run ---- */

static double random_uniform(struct simulation *sim)
{
	uint64_t h = hash_bytes(&sim->random, sizeof(sim->random), 1);

	sim->random++;
	return ((double)(h >> 11) + 0.5) / (double)(1ULL << 53);
}

static int64_t random_exponential_us(struct simulation *sim, double mean_us)
{
	return (int64_t)(-log(random_uniform(sim)) * mean_us) + 1;
}

/* ---- event heap ---- */

static void swap(struct event *a, struct event *b)
{
	struct event t = *a;

	*a = *b;
	*b = t;
}

static void push_event(struct simulation *sim, struct event e)
{
	uint32_t i = sim->heap_count++;

	sim->heap[i] = e;
	while (i && sim->heap[(i - 1) / 2].at_us > sim->heap[i].at_us) {
		swap(&sim->heap[(i - 1) / 2], &sim->heap[i]);
		i = (i - 1) / 2;
	}
}

static struct event pop_event(struct simulation *sim)
{
	struct event top = sim->heap[0];
	uint32_t i = 0;

	sim->heap[0] = sim->heap[--sim->heap_count];
	for (;;) {
		uint32_t k = 2 * i + 1;

		if (k >= sim->heap_count)
			return top;
		if (k + 1 < sim->heap_count &&
		    sim->heap[k + 1].at_us < sim->heap[k].at_us)
			k++;
		if (sim->heap[i].at_us <= sim->heap[k].at_us)
			return top;
		swap(&sim->heap[i], &sim->heap[k]);
		i = k;
	}
}

static void retry(struct simulation *sim, struct call *c);

static void refuse(struct simulation *sim, struct call *c)
{
	sim->r.refused[c->item.rank]++;
	retry(sim, c);
}

/* ---- workers ---- */

static double service_factor(const struct simulation *sim)
{
	return sim->now_us >= sim->load->brownout_from_us &&
			       sim->now_us < sim->load->brownout_to_us ?
		       sim->load->brownout_factor :
		       1;
}

static void serve(struct simulation *sim, struct call *c)
{
	int64_t us =
		random_exponential_us(sim, SERVICE_US * service_factor(sim));

	sim->r.dispatched++;
	push_event(sim, (struct event){ sim->now_us + us, CALL_DONE,
					c->item.rank, c, c->tries });
}

/* Under POLICY_FIFO and POLICY_UNCOORDINATED each worker has a queue of its
 * own. */
static void send_to_worker(struct simulation *sim, struct call *c,
			   uint32_t worker)
{
	c->worker = worker;
	if (sim->worker_busy[worker] < SLOTS) {
		sim->worker_busy[worker]++;
		serve(sim, c);
		return;
	}
	if (sim->worker_waiting[worker] >= WORKER_QUEUE_MAX) {
		if (sim->policy == POLICY_UNCOORDINATED)
			sim->busy[c->queue_index]--;
		refuse(sim, c);
		return;
	}
	sim->worker_waiting[worker]++;
	c->item.next = NULL;
	if (sim->worker_last[worker])
		sim->worker_last[worker]->item.next = &c->item;
	else
		sim->worker_queue[worker] = c;
	sim->worker_last[worker] = c;
}

static void worker_done(struct simulation *sim, uint32_t worker)
{
	struct call *next = sim->worker_queue[worker];

	if (!next) {
		sim->worker_busy[worker]--;
		return;
	}
	sim->worker_waiting[worker]--;
	sim->worker_queue[worker] = (struct call *)next->item.next;
	if (!sim->worker_queue[worker])
		sim->worker_last[worker] = NULL;
	serve(sim, next);
}

/* ---- requests ---- */

static uint32_t queue_count(const struct simulation *sim)
{
	return sim->policy == POLICY_HOME ? CELLS : DAEMONS;
}

static uint32_t queue_slots(const struct simulation *sim)
{
	return sim->policy == POLICY_HOME ? CELL_SLOTS : sim->limit;
}

static void dispatch(struct simulation *sim, uint32_t queue_index)
{
	struct queue_item *expired = NULL;

	while (sim->busy[queue_index] < queue_slots(sim)) {
		struct queue_item *i =
			rank_queue_pop(&sim->queues[queue_index], sim->now_us,
				       NULL, NULL, &expired);
		struct call *c = (struct call *)i;

		if (!i)
			break;
		sim->busy[queue_index]++;
		if (sim->policy == POLICY_HOME)
			serve(sim, c);
		else
			send_to_worker(
				sim, c,
				(uint32_t)(random_uniform(sim) * WORKERS));
	}
}

static void submit(struct simulation *sim, struct call *c)
{
	c->queue_index = (uint32_t)(random_uniform(sim) * queue_count(sim));
	c->item.next = NULL;
	sim->r.attempts++;
	push_event(sim, (struct event){ c->item.deadline_us, CALL_EXPIRY,
					c->item.rank, c, c->tries });
	if (sim->policy == POLICY_FIFO) {
		send_to_worker(sim, c,
			       (uint32_t)(random_uniform(sim) * WORKERS));
		return;
	}
	if (rank_queue_push(&sim->queues[c->queue_index], &c->item,
			    sim->now_us) != ERR_NONE) {
		refuse(sim, c);
		return;
	}
	dispatch(sim, c->queue_index);
}

/* Ends a try that was refused or has expired. The caller may retry, with a copy
 * of the call, as the call itself may still be queued. */
static void retry(struct simulation *sim, struct call *c)
{
	struct call *copy;

	if (c->settled)
		return;
	c->settled = true;
	if (c->tries >= sim->load->retries)
		return;
	if (sim->load->budget) {
		if (!retry_budget_take(&sim->budget, 10, true, sim->now_us))
			return;
	}
	copy = calloc(1, sizeof(*copy));
	if (!copy)
		abort();
	copy->item.rank = c->item.rank;
	copy->arrived_us = c->arrived_us;
	copy->tries = c->tries + 1;
	push_event(sim, (struct event){
				sim->now_us + random_exponential_us(sim, 50000),
				CALL_BACKOFF, c->item.rank, copy, 0 });
}

static void arrive(struct simulation *sim, enum rank r)
{
	struct call *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->item.rank = r;
	c->item.deadline_us = sim->now_us + sim->load->deadline_us[r];
	c->arrived_us = sim->now_us;
	if (sim->now_us >= WARM_US)
		sim->r.offered[r]++;
	retry_budget_count_first(&sim->budget, sim->now_us);
	submit(sim, c);
}

static double rate_per_s(const struct simulation *sim, enum rank r)
{
	double x = sim->load->per_s[r];

	if (r == sim->load->flood_rank &&
	    sim->now_us >= sim->load->flood_from_us &&
	    sim->now_us < sim->load->flood_to_us)
		x += sim->load->flood;
	return x * CAPACITY_PER_S;
}

static void next_arrival(struct simulation *sim, enum rank r)
{
	double per_s = rate_per_s(sim, r);

	/* Without load the rate is checked again after 100 ms, as a flood may
	 * begin. */
	push_event(sim, (struct event){
				sim->now_us +
					(per_s > 0 ? random_exponential_us(
							     sim, 1e6 / per_s) :
						     100000),
				CALL_ARRIVAL, r, NULL, 0 });
}

static void done(struct simulation *sim, struct call *c)
{
	enum rank r = c->item.rank;

	if (!c->settled && sim->now_us <= c->item.deadline_us) {
		c->settled = true;
		if (c->arrived_us >= WARM_US && sim->r.answered[r] < ITEMS_MAX)
			sim->r.latency_ms[r][sim->r.answered[r]++] =
				(double)(sim->now_us - c->arrived_us) / 1000;
		sim->r.answered_by_second[sim->now_us / US_PER_S]++;
	}
	if (sim->policy != POLICY_HOME)
		worker_done(sim, c->worker);
	if (sim->policy == POLICY_FIFO)
		return;
	sim->busy[c->queue_index]--;
	dispatch(sim, c->queue_index);
}

static void handle(struct simulation *sim, const struct event *e)
{
	switch (e->kind) {
	case CALL_ARRIVAL:
		if (rate_per_s(sim, e->rank) > 0)
			arrive(sim, e->rank);
		next_arrival(sim, e->rank);
		return;
	case CALL_DONE:
		done(sim, e->call);
		return;
	case CALL_EXPIRY:
		if (!e->call->settled)
			retry(sim, e->call);
		return;
	case CALL_BACKOFF:
		e->call->item.deadline_us =
			sim->now_us + sim->load->deadline_us[e->rank];
		submit(sim, e->call);
		return;
	}
}

static const struct queue_settings queue_settings = {
	.limit = { 128, 128, 128 },
	.share_percent = { 0, 25, 10 },
};

static struct result run(enum policy p, uint32_t limit, const struct load *l,
			 uint64_t seed)
{
	struct simulation *sim = calloc(1, sizeof(*sim));
	struct result r;

	if (!sim)
		abort();
	sim->policy = p;
	sim->load = l;
	sim->limit = limit;
	sim->random = seed << 32;
	sim->heap = calloc(4 * ITEMS_MAX, sizeof(*sim->heap));
	if (!sim->heap)
		abort();
	retry_budget_init(&sim->budget, 10);
	for (uint32_t i = 0; i < DAEMONS; i++)
		rank_queue_init(&sim->queues[i], &queue_settings);
	for (uint32_t k = 0; k < RANK_COUNT; k++) {
		sim->r.latency_ms[k] = calloc(ITEMS_MAX, sizeof(double));
		if (!sim->r.latency_ms[k])
			abort();
		next_arrival(sim, (enum rank)k);
	}
	while (sim->heap[0].at_us < RUN_US) {
		struct event e = pop_event(sim);

		sim->now_us = e.at_us;
		handle(sim, &e);
	}
	r = sim->r;
	free(sim->heap);
	free(sim);
	return r;
}

/* ---- results ---- */

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile_ms(struct result *r, enum rank k, double q)
{
	if (!r->answered[k])
		return 0;
	qsort(r->latency_ms[k], r->answered[k], sizeof(double), by_value);
	return r->latency_ms[k][(uint32_t)(q * (r->answered[k] - 1))];
}

/* Answers before the deadline as a share of the capacity. */
static double goodput(const struct result *r)
{
	double n = 0;

	for (uint32_t k = 0; k < RANK_COUNT; k++)
		n += r->answered[k];
	return n / (CAPACITY_PER_S * COUNTED_S);
}

/* Answers of rank `k` as a share of the capacity. */
static double share(const struct result *r, enum rank k)
{
	return r->answered[k] / (CAPACITY_PER_S * COUNTED_S);
}

static void release(struct result *r)
{
	for (uint32_t k = 0; k < RANK_COUNT; k++)
		free(r->latency_ms[k]);
}

/* blind1 to blind3 are POLICY_UNCOORDINATED with 1 to 3 calls in flight of each
 * daemon. */
static const struct {
	const char *name;
	enum policy policy;
	uint32_t limit;
} policies[] = {
	{ "home", POLICY_HOME, 0 },
	{ "fifo", POLICY_FIFO, 0 },
	{ "blind1", POLICY_UNCOORDINATED, 1 },
	{ "blind2", POLICY_UNCOORDINATED, 2 },
	{ "blind3", POLICY_UNCOORDINATED, 3 },
};

#define POLICIES (sizeof(policies) / sizeof(policies[0]))

static struct load base_load(void)
{
	return (struct load){
		.per_s = { 0.1, 0.2, 0.1 },
		.deadline_us = { 2 * US_PER_S, 5 * US_PER_S, 20 * US_PER_S },
		.flood_to_us = RUN_US,
		.brownout_factor = 1,
	};
}

static void measure_bulk_flood(uint64_t seed)
{
	for (uint32_t p = 0; p < POLICIES; p++) {
		struct load l = base_load();
		struct result calm =
			run(policies[p].policy, policies[p].limit, &l, seed);
		struct result flood;
		double before = percentile_ms(&calm, RANK_URGENT, 0.99);
		double after;

		l.flood = 5;
		l.flood_rank = RANK_BULK;
		flood = run(policies[p].policy, policies[p].limit, &l, seed);
		after = percentile_ms(&flood, RANK_URGENT, 0.99);
		printf("bulk_flood_urgent_p99_%s %.1f ms\n", policies[p].name,
		       after);
		printf("bulk_flood_urgent_p99_calm_%s %.1f ms\n",
		       policies[p].name, before);
		printf("bulk_flood_urgent_p99_ratio_%s %.3f ratio\n",
		       policies[p].name, before > 0 ? after / before : 0);
		printf("bulk_flood_urgent_answered_%s %.1f percent\n",
		       policies[p].name,
		       100.0 * flood.answered[RANK_URGENT] /
			       flood.offered[RANK_URGENT]);
		printf("bulk_flood_goodput_%s %.1f percent\n", policies[p].name,
		       100 * goodput(&flood));
		release(&calm);
		release(&flood);
	}
}

static void measure_urgent_flood(uint64_t seed)
{
	for (uint32_t p = 0; p < POLICIES; p++) {
		struct load l = base_load();
		struct result r;

		/* The lower ranks offer more load than their shares. */
		l.per_s[RANK_NORMAL] = 0.5;
		l.per_s[RANK_BULK] = 0.4;
		l.flood = 5;
		l.flood_rank = RANK_URGENT;
		r = run(policies[p].policy, policies[p].limit, &l, seed);
		printf("urgent_flood_normal_share_%s %.1f percent\n",
		       policies[p].name, 100 * share(&r, RANK_NORMAL));
		printf("urgent_flood_bulk_share_%s %.1f percent\n",
		       policies[p].name, 100 * share(&r, RANK_BULK));
		printf("urgent_flood_goodput_%s %.1f percent\n",
		       policies[p].name, 100 * goodput(&r));
		release(&r);
	}
}

/* Seconds from the end of the brown-out until the answers per second reach 95 %
 * of their mean before it; -1: not in this run. */
static int32_t recovery_s(const struct result *r, const struct load *l)
{
	int64_t from = l->brownout_from_us / US_PER_S;
	int64_t to = l->brownout_to_us / US_PER_S;
	double mean = 0;

	for (int64_t s = WARM_US / US_PER_S; s < from; s++)
		mean += r->answered_by_second[s];
	mean /= (double)from - (double)WARM_US / (double)US_PER_S;
	for (int64_t s = to; s < RUN_US / US_PER_S; s++)
		if (r->answered_by_second[s] >= 0.95 * mean)
			return (int32_t)(s - to);
	return -1;
}

static void measure_brown_out(uint64_t seed)
{
	static const struct {
		const char *name;
		bool budget;
	} modes[] = { { "budget", true }, { "plain", false } };

	for (uint32_t p = 0; p < 2; p++)
		for (uint32_t i = 0; i < 2; i++) {
			struct load l = base_load();
			struct result r;

			l.per_s[RANK_NORMAL] = 0.6;
			l.deadline_us[RANK_NORMAL] = US_PER_S;
			l.brownout_from_us = 10 * US_PER_S;
			l.brownout_to_us = 40 * US_PER_S;
			l.brownout_factor = 10;
			l.retries = 3;
			l.budget = modes[i].budget;
			r = run(policies[p].policy, 0, &l, seed);
			printf("brown_out_recovery_%s_%s %d s\n",
			       policies[p].name, modes[i].name,
			       recovery_s(&r, &l));
			printf("brown_out_attempts_%s_%s %.2f ratio\n",
			       policies[p].name, modes[i].name,
			       (double)r.attempts /
				       (r.offered[0] + r.offered[1] +
					r.offered[2]));
			release(&r);
		}
}

int main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;

	apr_initialize();
	printf("seed %llu number\n", (unsigned long long)seed);
	measure_bulk_flood(seed);
	measure_urgent_flood(seed);
	measure_brown_out(seed);
	return 0;
}
