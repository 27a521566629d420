/*
 * Ranks and overload in model time: the home's queue against a queue in order
 * of arrival and against daemons that contend blindly for worker slots.
 *
 * usage: cell_measure [SEED]   prints "name value unit" lines
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>

#include "home/home.h"

#define WORKERS 12
#define SLOTS 6
#define SERVICE_US (20 * US_PER_MS)
#define CAPACITY_PER_S ((double)(WORKERS * SLOTS * US_PER_S) / SERVICE_US)
#define CELLS 6
#define CELL_SLOTS (WORKERS * SLOTS / CELLS)
#define DAEMONS 44
#define RUN_US (60 * US_PER_S)
#define COUNTED_S ((double)(RUN_US - WARM_US) / (double)US_PER_S)
/* Bound of a worker's own queue, behind which it refuses. */
#define WORKER_QUEUE_MAX 64
#define WARM_US (5 * US_PER_S)
#define ITEMS_MAX 400000
#define DISPATCHES_MAX 16

enum policy {
	POLICY_HOME, /* a rank queue a cell, the product's */
	POLICY_FIFO, /* any daemon to any worker, served in order of arrival */
	POLICY_BLIND, /* rank queues at the daemons, a limit a daemon */
};

struct load {
	double per_s[RANK_COUNT]; /* offered, as a multiple of capacity */
	int64_t deadline_us[RANK_COUNT];
	int64_t flood_from_us;
	int64_t flood_to_us;
	double flood; /* more of `flood_rank` meanwhile */
	enum rank flood_rank;
	int64_t brown_from_us; /* service takes `brown_factor` times as long */
	int64_t brown_to_us;
	double brown_factor;
	uint32_t retries; /* of a refused or late request */
	bool budget; /* retries only within the retry budget */
};

struct work {
	struct queue_item item;
	int64_t born_us; /* of the first try */
	uint32_t tries;
	uint32_t place; /* cell, worker or daemon */
	uint32_t worker; /* POLICY_BLIND: where it runs */
	bool abandoned; /* the caller's deadline passed */
};

/** A moment at which something happens; kept in a binary heap. */
struct event {
	int64_t at_us;
	enum { EVENT_ARRIVAL, EVENT_DONE, EVENT_EXPIRY, EVENT_BACKOFF } kind;
	enum rank rank;
	struct work *work;
	uint32_t try; /* a time-out of an earlier try says nothing */
};

struct result {
	uint32_t offered[RANK_COUNT];
	uint32_t good[RANK_COUNT]; /* answered in time */
	uint32_t refused[RANK_COUNT];
	uint32_t dispatched; /* to a worker, useful or not */
	uint32_t attempts;
	double *latency_ms[RANK_COUNT];
	uint32_t good_by_second[128];
};

struct model {
	enum policy policy;
	const struct load *load;
	uint64_t random;
	int64_t now_us;
	struct event *heap;
	uint32_t heap_count;
	struct rank_queue queues[DAEMONS];
	uint32_t busy[DAEMONS]; /* slots of a cell, or calls out of a daemon */
	uint32_t worker_busy[WORKERS];
	struct work *worker_queue[WORKERS]; /* first of those that wait there */
	struct work *worker_last[WORKERS];
	uint32_t worker_waiting[WORKERS];
	uint32_t limit; /* POLICY_BLIND: calls out of a daemon */
	struct retry_budget budget;
	struct result r;
};

/* ---- random numbers: xxHash of a counter, so a seed gives one run ---- */

static double uniform(struct model *m)
{
	uint64_t h = hash_bytes(&m->random, sizeof(m->random), 1);

	m->random++;
	return ((double)(h >> 11) + 0.5) / (double)(1ULL << 53);
}

static int64_t exponential_us(struct model *m, double mean_us)
{
	return (int64_t)(-log(uniform(m)) * mean_us) + 1;
}

/* ---- event heap ---- */

static void swap(struct event *a, struct event *b)
{
	struct event t = *a;

	*a = *b;
	*b = t;
}

static void push_event(struct model *m, struct event e)
{
	uint32_t i = m->heap_count++;

	m->heap[i] = e;
	while (i && m->heap[(i - 1) / 2].at_us > m->heap[i].at_us) {
		swap(&m->heap[(i - 1) / 2], &m->heap[i]);
		i = (i - 1) / 2;
	}
}

static struct event pop_event(struct model *m)
{
	struct event top = m->heap[0];
	uint32_t i = 0;

	m->heap[0] = m->heap[--m->heap_count];
	for (;;) {
		uint32_t k = 2 * i + 1;

		if (k >= m->heap_count)
			return top;
		if (k + 1 < m->heap_count &&
		    m->heap[k + 1].at_us < m->heap[k].at_us)
			k++;
		if (m->heap[i].at_us <= m->heap[k].at_us)
			return top;
		swap(&m->heap[i], &m->heap[k]);
		i = k;
	}
}

static void try_again(struct model *m, struct work *w);

static void refuse(struct model *m, struct work *w)
{
	m->r.refused[w->item.rank]++;
	try_again(m, w);
}

/* ---- workers ---- */

static double service_factor(const struct model *m)
{
	return m->now_us >= m->load->brown_from_us &&
			       m->now_us < m->load->brown_to_us ?
		       m->load->brown_factor :
		       1;
}

static void serve(struct model *m, struct work *w)
{
	int64_t us = exponential_us(m, SERVICE_US * service_factor(m));

	m->r.dispatched++;
	push_event(m, (struct event){ m->now_us + us, EVENT_DONE, w->item.rank,
				      w, w->tries });
}

/* POLICY_FIFO and POLICY_BLIND: the worker has a queue of its own. */
static void to_worker(struct model *m, struct work *w, uint32_t worker)
{
	w->worker = worker;
	if (m->worker_busy[worker] < SLOTS) {
		m->worker_busy[worker]++;
		serve(m, w);
		return;
	}
	if (m->worker_waiting[worker] >= WORKER_QUEUE_MAX) {
		if (m->policy == POLICY_BLIND)
			m->busy[w->place]--;
		refuse(m, w);
		return;
	}
	m->worker_waiting[worker]++;
	w->item.next = NULL;
	if (m->worker_last[worker])
		m->worker_last[worker]->item.next = &w->item;
	else
		m->worker_queue[worker] = w;
	m->worker_last[worker] = w;
}

static void worker_done(struct model *m, uint32_t worker)
{
	struct work *next = m->worker_queue[worker];

	if (!next) {
		m->worker_busy[worker]--;
		return;
	}
	m->worker_waiting[worker]--;
	m->worker_queue[worker] = (struct work *)next->item.next;
	if (!m->worker_queue[worker])
		m->worker_last[worker] = NULL;
	serve(m, next);
}

/* ---- requests ---- */

static uint32_t places(const struct model *m)
{
	return m->policy == POLICY_HOME ? CELLS : DAEMONS;
}

static uint32_t limit_of_place(const struct model *m)
{
	return m->policy == POLICY_HOME ? CELL_SLOTS : m->limit;
}

static void dispatch(struct model *m, uint32_t place)
{
	struct queue_item *expired = NULL;

	while (m->busy[place] < limit_of_place(m)) {
		struct queue_item *i = rank_queue_pop(
			&m->queues[place], m->now_us, NULL, NULL, &expired);
		struct work *w = (struct work *)i;

		if (!i)
			break;
		m->busy[place]++;
		if (m->policy == POLICY_HOME)
			serve(m, w);
		else
			to_worker(m, w, (uint32_t)(uniform(m) * WORKERS));
	}
}

static void submit(struct model *m, struct work *w)
{
	w->place = (uint32_t)(uniform(m) * places(m));
	w->item.next = NULL;
	m->r.attempts++;
	push_event(m, (struct event){ w->item.deadline_us, EVENT_EXPIRY,
				      w->item.rank, w, w->tries });
	if (m->policy == POLICY_FIFO) {
		to_worker(m, w, (uint32_t)(uniform(m) * WORKERS));
		return;
	}
	if (rank_queue_push(&m->queues[w->place], &w->item, m->now_us) !=
	    ERR_NONE) {
		refuse(m, w);
		return;
	}
	dispatch(m, w->place);
}

/* The caller's own retry: a new copy, as the old one may still be queued. */
static void try_again(struct model *m, struct work *w)
{
	struct work *copy;

	if (w->abandoned)
		return;
	w->abandoned = true;
	if (w->tries >= m->load->retries)
		return;
	if (m->load->budget) {
		if (!retry_budget_take(&m->budget, 10, m->now_us))
			return;
	}
	copy = calloc(1, sizeof(*copy));
	if (!copy)
		abort();
	copy->item.rank = w->item.rank;
	copy->born_us = w->born_us;
	copy->tries = w->tries + 1;
	push_event(m, (struct event){ m->now_us + exponential_us(m, 50000),
				      EVENT_BACKOFF, w->item.rank, copy, 0 });
}

static void arrive(struct model *m, enum rank r)
{
	struct work *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->item.rank = r;
	w->item.deadline_us = m->now_us + m->load->deadline_us[r];
	w->born_us = m->now_us;
	if (m->now_us >= WARM_US)
		m->r.offered[r]++;
	retry_budget_count_ask(&m->budget, m->now_us);
	submit(m, w);
}

static double rate_per_s(const struct model *m, enum rank r)
{
	double x = m->load->per_s[r];

	if (r == m->load->flood_rank && m->now_us >= m->load->flood_from_us &&
	    m->now_us < m->load->flood_to_us)
		x += m->load->flood;
	return x * CAPACITY_PER_S;
}

static void next_arrival(struct model *m, enum rank r)
{
	double per_s = rate_per_s(m, r);

	/* Without load it looks again later, as a flood may have begun. */
	push_event(m, (struct event){
			      m->now_us + (per_s > 0 ? exponential_us(
							       m, 1e6 / per_s) :
						       100000),
			      EVENT_ARRIVAL, r, NULL, 0 });
}

static void done(struct model *m, struct work *w)
{
	enum rank r = w->item.rank;

	if (!w->abandoned && m->now_us <= w->item.deadline_us) {
		w->abandoned = true;
		if (w->born_us >= WARM_US && m->r.good[r] < ITEMS_MAX)
			m->r.latency_ms[r][m->r.good[r]++] =
				(double)(m->now_us - w->born_us) / 1000;
		m->r.good_by_second[m->now_us / US_PER_S]++;
	}
	if (m->policy != POLICY_HOME)
		worker_done(m, w->worker);
	if (m->policy == POLICY_FIFO)
		return;
	m->busy[w->place]--;
	dispatch(m, w->place);
}

static void handle(struct model *m, const struct event *e)
{
	switch (e->kind) {
	case EVENT_ARRIVAL:
		if (rate_per_s(m, e->rank) > 0)
			arrive(m, e->rank);
		next_arrival(m, e->rank);
		return;
	case EVENT_DONE:
		done(m, e->work);
		return;
	case EVENT_EXPIRY:
		if (!e->work->abandoned)
			try_again(m, e->work);
		return;
	case EVENT_BACKOFF:
		e->work->item.deadline_us =
			m->now_us + m->load->deadline_us[e->rank];
		submit(m, e->work);
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
	struct model *m = calloc(1, sizeof(*m));
	struct result r;

	if (!m)
		abort();
	m->policy = p;
	m->load = l;
	m->limit = limit;
	m->random = seed << 32;
	m->heap = calloc(4 * ITEMS_MAX, sizeof(*m->heap));
	if (!m->heap)
		abort();
	retry_budget_init(&m->budget, 10);
	for (uint32_t i = 0; i < DAEMONS; i++)
		rank_queue_init(&m->queues[i], &queue_settings);
	for (uint32_t k = 0; k < RANK_COUNT; k++) {
		m->r.latency_ms[k] = calloc(ITEMS_MAX, sizeof(double));
		if (!m->r.latency_ms[k])
			abort();
		next_arrival(m, (enum rank)k);
	}
	while (m->heap[0].at_us < RUN_US) {
		struct event e = pop_event(m);

		m->now_us = e.at_us;
		handle(m, &e);
	}
	r = m->r;
	free(m->heap);
	free(m);
	return r;
}

/* ---- figures ---- */

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile_ms(struct result *r, enum rank k, double q)
{
	if (!r->good[k])
		return 0;
	qsort(r->latency_ms[k], r->good[k], sizeof(double), by_value);
	return r->latency_ms[k][(uint32_t)(q * (r->good[k] - 1))];
}

static double goodput(const struct result *r)
{
	double n = 0;

	for (uint32_t k = 0; k < RANK_COUNT; k++)
		n += r->good[k];
	return n / (CAPACITY_PER_S * COUNTED_S);
}

static double share(const struct result *r, enum rank k)
{
	return r->good[k] / (CAPACITY_PER_S * COUNTED_S);
}

static void release(struct result *r)
{
	for (uint32_t k = 0; k < RANK_COUNT; k++)
		free(r->latency_ms[k]);
}

static const struct {
	const char *name;
	enum policy policy;
	uint32_t limit;
} policies[] = {
	{ "home", POLICY_HOME, 0 },    { "fifo", POLICY_FIFO, 0 },
	{ "blind1", POLICY_BLIND, 1 }, { "blind2", POLICY_BLIND, 2 },
	{ "blind3", POLICY_BLIND, 3 },
};

#define POLICIES (sizeof(policies) / sizeof(policies[0]))

static struct load quiet(void)
{
	return (struct load){
		.per_s = { 0.1, 0.2, 0.1 },
		.deadline_us = { 2 * US_PER_S, 5 * US_PER_S, 20 * US_PER_S },
		.flood_to_us = RUN_US,
		.brown_factor = 1,
	};
}

static void measure_bulk_flood(uint64_t seed)
{
	for (uint32_t p = 0; p < POLICIES; p++) {
		struct load l = quiet();
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
		       100.0 * flood.good[RANK_URGENT] /
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
		struct load l = quiet();
		struct result r;

		/* The lower ranks want more than their shares. */
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

/* Seconds after the brown-out until a second's answers are back at 95 % of
 * their mean before it. */
static int32_t recovery_s(const struct result *r, const struct load *l)
{
	int64_t from = l->brown_from_us / US_PER_S;
	int64_t to = l->brown_to_us / US_PER_S;
	double mean = 0;

	for (int64_t s = WARM_US / US_PER_S; s < from; s++)
		mean += r->good_by_second[s];
	mean /= (double)from - (double)WARM_US / (double)US_PER_S;
	for (int64_t s = to; s < RUN_US / US_PER_S; s++)
		if (r->good_by_second[s] >= 0.95 * mean)
			return (int32_t)(s - to);
	return -1;
}

static void measure_brown_out(uint64_t seed)
{
	static const struct {
		const char *name;
		bool budget;
	} ways[] = { { "budget", true }, { "plain", false } };

	for (uint32_t p = 0; p < 2; p++)
		for (uint32_t i = 0; i < 2; i++) {
			struct load l = quiet();
			struct result r;

			l.per_s[RANK_NORMAL] = 0.6;
			l.deadline_us[RANK_NORMAL] = US_PER_S;
			l.brown_from_us = 10 * US_PER_S;
			l.brown_to_us = 40 * US_PER_S;
			l.brown_factor = 10;
			l.retries = 3;
			l.budget = ways[i].budget;
			r = run(policies[p].policy, 0, &l, seed);
			printf("brown_out_recovery_%s_%s %d s\n",
			       policies[p].name, ways[i].name,
			       recovery_s(&r, &l));
			printf("brown_out_attempts_%s_%s %.2f ratio\n",
			       policies[p].name, ways[i].name,
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
