/**
 * @file
 * Measures the health policy and its baselines in model time against a worker
 * stand-in: "name value unit" lines. The home of the model binds each request
 * to the worker with the fewest outstanding requests, or to a random one.
 *
 * usage: health_measure [--only TEXT] [--trace] [--seeds N] [seed]
 *
 * --only measures the cases whose name contains TEXT; --trace prints when
 * workers go out and come back.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"
#include "health/floor.h"

#define SEEDS_MAX 1000
#define SLOTS 6
#define SERVICE_US (20.0 * US_PER_MS)
#define CONNECT_US US_PER_MS
#define PROBE_US (25 * US_PER_MS)
#define REQUEST_DEADLINE_US (5 * US_PER_S)
#define PROBE_DEADLINE_US US_PER_S
#define CONNECT_TIMEOUT_US US_PER_S
#define IDLE_MAX 32
#define TICK_US (100 * US_PER_MS)
#define FLOOR_PERCENT 50
#define COLD_START_US (10 * US_PER_S)
#define RESTART_US US_PER_S
#define QUEUE_MAX 4096
#define DETECT_WARM_UP_US (60 * US_PER_S)
#define DETECT_LENGTH_US (120 * US_PER_S)
#define HEALTHY_LENGTH_US (300 * US_PER_S)

enum fault {
	FAULT_NONE,
	FAULT_SLOW_3,
	FAULT_SLOW_10,
	FAULT_ERRORS, /**< 30 % of answers; probes are answered well */
	FAULT_HALF_ANSWERS, /**< probes are answered well */
	FAULT_NEVER_ANSWERS,
	FAULT_ONE_SIDED, /**< nothing comes back, not even a handshake */
	FAULT_FLAPPING, /**< 5 s ten times slower, 5 s well */
	FAULT_SILENT_CONNECTIONS, /**< all connections open at that time */
	FAULT_HALF_SILENT, /**< every second of them */
};

static const char *const fault_names[] = {
	"none",
	"slow-x3",
	"slow-x10",
	"errors-30",
	"half-answers",
	"never-answers",
	"one-sided",
	"flapping",
	"silent-connections",
	"half-silent-connections",
};

enum healthy {
	HEALTHY_PLAIN,
	HEALTHY_LEDGER, /**< worker 0 five times slower for ever */
	HEALTHY_COLD, /**< a restart every 20 s, ten times slower at first */
	HEALTHY_SHED, /**< worker 0 sheds half its load, 5 s of every 20 s */
	HEALTHY_SHARED, /**< all workers slower for 15 s of every 60 s */
	HEALTHY_LOW_RATE,
	HEALTHY_LONG_REQUESTS, /**< one of 500 takes 2 s */
	HEALTHY_PAUSES, /**< a worker stands still for 300 ms every 5 s */
	HEALTHY_ERRORS, /**< 1 % of answers of all workers */
	HEALTHY_COUNT,
};

static const char *const healthy_names[] = {
	"plain",    "slow-ledger",   "cold-starts", "shed-load", "shared-slow",
	"low-rate", "long-requests", "pauses",	    "errors-1",
};

struct stand_in {
	enum fault fault;
	double slow; /**< steady factor on the service time */
	int64_t cold_since_us;
	int64_t refuse_until_us;
	int64_t restarted_us;
	int64_t pause_until_us;
	uint32_t shed_percent;
	uint32_t error_percent;
	bool half_silent;
	uint32_t idle; /**< pooled connections that work */
	uint32_t idle_silent;
	uint32_t outstanding; /**< slots that the home has given out */
};

enum event_kind {
	EVENT_ARRIVAL,
	EVENT_END,
	EVENT_PROBE_END,
	EVENT_TICK,
};

struct event {
	int64_t at_us;
	uint32_t order;
	enum event_kind kind;
	uint8_t worker;
	uint32_t call;
};

struct model_call {
	bool used;
	uint8_t worker;
	bool fresh;
	bool silent;
	int64_t dispatch_us;
	enum health_event outcome;
	int64_t deadline_us;
};

struct model {
	uint64_t random;
	int64_t now_us;
	double rate; /**< requests a second for the pool */
	struct health_pool *pool;
	struct event *heap;
	struct model_call *calls;
	struct stand_in w[HEALTH_WORKERS_MAX];
	int64_t queue[QUEUE_MAX]; /**< deadline; negative: not idempotent */
	struct conf_service service;
	struct conf_cell cell;
	struct conf_worker conf[HEALTH_WORKERS_MAX];
	/* results */
	int64_t first_out_us;
	int64_t dropped_us;
	double lowest_share;
	uint32_t ejections; /**< of faulty workers */
	uint32_t false_ejections;
	uint32_t probes;
	uint32_t served;
	uint32_t failed;
	/* small state */
	uint32_t order;
	uint32_t heap_count;
	uint32_t queue_head;
	uint32_t queue_count;
	uint16_t mask;
	bool was_out[HEALTH_WORKERS_MAX];
	bool touched[HEALTH_WORKERS_MAX]; /**< has or had a real fault */
	uint8_t workers;
	bool random_pick;
	bool long_requests;
};

static bool trace;
static const char *only = "";
static uint32_t seeds = 20;

/* ---- random numbers (xorshift64*), so that a seed gives the same run ---- */

static uint64_t random_next(struct model *m)
{
	m->random ^= m->random >> 12;
	m->random ^= m->random << 25;
	m->random ^= m->random >> 27;
	return m->random * UINT64_C(2685821657736338717);
}

static double random_unit(struct model *m)
{
	return ((double)(random_next(m) >> 11) + 0.5) / 9007199254740992.0;
}

static bool chance(struct model *m, double percent)
{
	return random_unit(m) * 100 < percent;
}

static double exponential(struct model *m, double mean)
{
	return -mean * log(random_unit(m));
}

/* ---- event heap ---- */

static bool before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void schedule(struct model *m, int64_t at_us, enum event_kind kind,
		     uint8_t worker, uint32_t call)
{
	struct event e = { at_us, m->order++, kind, worker, call };
	uint32_t i = m->heap_count++;

	while (i && before(&e, &m->heap[(i - 1) / 2])) {
		m->heap[i] = m->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	m->heap[i] = e;
}

static struct event next_event(struct model *m)
{
	struct event top = m->heap[0];
	struct event last = m->heap[--m->heap_count];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= m->heap_count)
			break;
		if (child + 1 < m->heap_count &&
		    before(&m->heap[child + 1], &m->heap[child]))
			child++;
		if (!before(&m->heap[child], &last))
			break;
		m->heap[i] = m->heap[child];
		i = child;
	}
	m->heap[i] = last;
	return top;
}

/* ---- the worker stand-in ---- */

static bool is_slow_now(const struct model *m, const struct stand_in *s)
{
	return s->fault == FAULT_SLOW_10 ||
	       (s->fault == FAULT_FLAPPING &&
		m->now_us % (10 * US_PER_S) < 5 * US_PER_S);
}

static double slow_factor(const struct model *m, const struct stand_in *s)
{
	double f = s->slow;
	double cold = (double)(m->now_us - s->cold_since_us) / COLD_START_US;

	if (s->fault == FAULT_SLOW_3)
		f *= 3;
	if (is_slow_now(m, s))
		f *= 10;
	if (cold < 1)
		f *= 1 + 9 * (1 - cold);
	return f;
}

static bool answers_nothing(const struct stand_in *s)
{
	return s->fault == FAULT_NEVER_ANSWERS || s->fault == FAULT_ONE_SIDED;
}

/** Sets how and when a request that starts now will end. */
static void serve(struct model *m, struct model_call *c, int64_t *end_us)
{
	struct stand_in *s = &m->w[c->worker];
	int64_t setup_us = 0;

	c->outcome = HEALTH_ANSWERED;
	c->fresh = !(s->idle + s->idle_silent);
	c->silent = false;
	if (c->fresh) {
		setup_us = CONNECT_US;
		if (m->now_us < s->refuse_until_us) {
			c->outcome = HEALTH_CONNECT_REFUSED;
			*end_us = m->now_us + CONNECT_US;
			return;
		}
		if (s->fault == FAULT_ONE_SIDED) {
			c->outcome = HEALTH_CONNECT_TIMEOUT;
			*end_us = m->now_us + CONNECT_TIMEOUT_US;
			return;
		}
	} else if (random_next(m) % (s->idle + s->idle_silent) <
		   s->idle_silent) {
		s->idle_silent--;
		c->silent = true;
	} else {
		s->idle--;
	}
	*end_us = m->now_us + setup_us +
		  (int64_t)exponential(m, SERVICE_US * slow_factor(m, s));
	if (m->long_requests && chance(m, 0.2))
		*end_us = m->now_us + 2 * US_PER_S;
	if (m->now_us < s->pause_until_us)
		*end_us += s->pause_until_us - m->now_us;
	if (chance(m, s->shed_percent)) {
		c->outcome = HEALTH_SHED;
		*end_us = m->now_us + setup_us + US_PER_MS;
	} else if (s->fault == FAULT_HALF_ANSWERS) {
		c->outcome = HEALTH_TRUNCATED;
	} else if (chance(m, s->error_percent) ||
		   (s->fault == FAULT_ERRORS && chance(m, 30))) {
		c->outcome = HEALTH_SERVER_ERROR;
	}
	if (c->silent || answers_nothing(s) || *end_us > c->deadline_us) {
		c->outcome = HEALTH_TIMEOUT;
		*end_us = c->deadline_us;
	}
}

static void start_probe(struct model *m, uint8_t worker)
{
	struct stand_in *s = &m->w[worker];
	int64_t us = CONNECT_US + (int64_t)(PROBE_US * slow_factor(m, s));

	m->probes++;
	if (m->now_us < s->refuse_until_us)
		us = CONNECT_US;
	else if (answers_nothing(s) || us > PROBE_DEADLINE_US)
		us = PROBE_DEADLINE_US;
	schedule(m, m->now_us + us, EVENT_PROBE_END, worker, (uint32_t)us);
}

static void end_probe(struct model *m, uint8_t worker, int64_t us)
{
	struct stand_in *s = &m->w[worker];
	struct health_sample sample = { HEALTH_ANSWERED, us, true, true };

	if (m->now_us < s->refuse_until_us)
		sample.event = HEALTH_CONNECT_REFUSED;
	else if (s->fault == FAULT_ONE_SIDED)
		sample.event = HEALTH_CONNECT_TIMEOUT;
	else if (us >= PROBE_DEADLINE_US)
		sample.event = HEALTH_TIMEOUT;
	m->pool->ops->record(m->pool, worker, &sample, m->now_us);
}

/* ---- the home ---- */

static uint32_t slots_allowed(const struct health_verdict *v)
{
	uint32_t n = SLOTS * v->weight_percent / 100;

	return n ? n : 1;
}

static int32_t pick(struct model *m, bool idempotent)
{
	int32_t best = -1;
	uint32_t fewest = 0;
	uint32_t ties = 0;

	for (uint8_t i = 0; i < m->workers; i++) {
		struct health_verdict v = m->pool->ops->verdict(m->pool, i);
		uint32_t n = m->random_pick ? 0 : m->w[i].outstanding;

		if ((m->mask >> i & 1) ||
		    m->w[i].outstanding >= slots_allowed(&v) ||
		    (v.reads_only && !idempotent))
			continue;
		if (best < 0 || n < fewest) {
			best = i;
			fewest = n;
			ties = 1;
		} else if (n == fewest && random_next(m) % ++ties == 0) {
			best = i;
		}
	}
	return best;
}

static void dispatch_queue(struct model *m)
{
	while (m->queue_count) {
		int64_t deadline_us = m->queue[m->queue_head];
		int32_t worker = pick(m, deadline_us > 0);
		struct model_call *c;
		uint32_t slot;
		int64_t end_us;

		if (worker < 0 && llabs(deadline_us) > m->now_us)
			return;
		m->queue_head = (m->queue_head + 1) % QUEUE_MAX;
		m->queue_count--;
		if (worker < 0) {
			m->failed++;
			continue;
		}
		slot = 0;
		while (m->calls[slot].used)
			slot++;
		c = &m->calls[slot];
		*c = (struct model_call){ .used = true,
					  .worker = (uint8_t)worker,
					  .dispatch_us = m->now_us,
					  .deadline_us = llabs(deadline_us) };
		m->w[worker].outstanding++;
		m->pool->ops->dispatch(m->pool, c->worker, m->now_us);
		serve(m, c, &end_us);
		schedule(m, end_us, EVENT_END, c->worker, slot);
	}
}

static void end_call(struct model *m, uint32_t slot)
{
	struct model_call *c = &m->calls[slot];
	struct stand_in *s = &m->w[c->worker];
	struct health_sample sample = { c->outcome, m->now_us - c->dispatch_us,
					c->fresh, false };

	if (c->dispatch_us < s->restarted_us) {
		c->outcome = sample.event = HEALTH_RESET;
	} else if (c->outcome == HEALTH_ANSWERED) {
		/* The fault or the pause may have begun while it ran. */
		if (answers_nothing(s)) {
			c->outcome = HEALTH_TIMEOUT;
			schedule(m, c->deadline_us, EVENT_END, c->worker, slot);
			return;
		}
		if (m->now_us < s->pause_until_us) {
			schedule(m, s->pause_until_us, EVENT_END, c->worker,
				 slot);
			return;
		}
	}
	if ((c->outcome == HEALTH_ANSWERED || c->outcome == HEALTH_SHED ||
	     c->outcome == HEALTH_SERVER_ERROR) &&
	    s->idle + s->idle_silent < IDLE_MAX)
		s->idle++;
	c->used = false;
	s->outstanding--;
	if (c->outcome == HEALTH_ANSWERED)
		m->served++;
	else
		m->failed++;
	m->pool->ops->record(m->pool, c->worker, &sample, m->now_us);
}

/** The home closes idle connections and those silent for `us`. */
static void close_silent(struct model *m, uint8_t worker, int64_t us)
{
	struct stand_in *s = &m->w[worker];

	if (trace)
		printf("# %.3f s worker %u drops connections\n",
		       (double)m->now_us / US_PER_S, worker);
	if (s->fault >= FAULT_SILENT_CONNECTIONS && !m->dropped_us)
		m->dropped_us = m->now_us;
	s->idle = s->idle_silent = 0;
	for (uint32_t i = 0; i < (uint32_t)m->workers * SLOTS; i++) {
		struct model_call *c = &m->calls[i];

		if (!c->used || c->worker != worker ||
		    m->now_us - c->dispatch_us <= us ||
		    c->outcome == HEALTH_CANCELLED)
			continue;
		for (uint32_t j = 0; j < m->heap_count; j++)
			if (m->heap[j].kind == EVENT_END &&
			    m->heap[j].call == i) {
				m->heap[j].kind = EVENT_TICK;
				m->heap[j].call = 1; /* no event any more */
			}
		c->outcome = HEALTH_CANCELLED;
		schedule(m, m->now_us, EVENT_END, worker, i);
	}
}

/** Applies what the policy says now to the reports and the entry's mask. */
static void apply(struct model *m)
{
	struct report reports[HEALTH_WORKERS_MAX];
	struct member_view view = { .reports = reports };
	uint32_t healthy_in = 0;

	for (uint8_t i = 0; i < m->workers; i++) {
		struct health_verdict v = m->pool->ops->verdict(m->pool, i);
		int64_t us = m->pool->ops->take_silent(m->pool, i);
		bool out = v.severity > 0;

		if (us)
			close_silent(m, i, us);
		if (out)
			reports[view.report_count++] =
				(struct report){ m->conf[i].id,
						 REPORT_WORKER_UNHEALTHY,
						 v.severity };
		if (out && !m->was_out[i]) {
			if (trace)
				printf("# %.3f s worker %u out, severity %u\n",
				       (double)m->now_us / US_PER_S, i,
				       v.severity);
			if (m->now_us < m->w[i].refuse_until_us + TICK_US) {
				/* It is down: rightly out. */
			} else if (m->touched[i]) {
				m->ejections++;
				if (!m->first_out_us)
					m->first_out_us = m->now_us;
			} else {
				m->false_ejections++;
			}
		}
		if (trace && !out && m->was_out[i])
			printf("# %.3f s worker %u back\n",
			       (double)m->now_us / US_PER_S, i);
		m->was_out[i] = out;
	}
	floor_exclude(&m->service, &view, &m->mask);
	for (uint8_t i = 0; i < m->workers; i++)
		healthy_in += !(m->mask >> i & 1);
	if ((double)healthy_in / m->workers < m->lowest_share)
		m->lowest_share = (double)healthy_in / m->workers;
}

static void tick(struct model *m)
{
	bool fresh;
	int32_t w;

	m->pool->ops->tick(m->pool, m->now_us);
	while ((w = m->pool->ops->next_probe(m->pool, m->now_us, &fresh)) >= 0)
		start_probe(m, (uint8_t)w);
	apply(m);
	schedule(m, m->now_us + TICK_US, EVENT_TICK, 0, 0);
}

static void step(struct model *m)
{
	struct event e = next_event(m);

	m->now_us = e.at_us;
	switch (e.kind) {
	case EVENT_ARRIVAL:
		if (m->queue_count < QUEUE_MAX) {
			int64_t deadline_us = m->now_us + REQUEST_DEADLINE_US;

			m->queue[(m->queue_head + m->queue_count++) %
				 QUEUE_MAX] =
				chance(m, 80) ? deadline_us : -deadline_us;
		} else {
			m->failed++;
		}
		schedule(m, m->now_us + (int64_t)exponential(m, 1e6 / m->rate),
			 EVENT_ARRIVAL, 0, 0);
		break;
	case EVENT_END:
		end_call(m, e.call);
		break;
	case EVENT_PROBE_END:
		end_probe(m, e.worker, e.call);
		break;
	case EVENT_TICK:
		if (e.call)
			return;
		tick(m);
		break;
	}
	dispatch_queue(m);
}

/* ---- scenarios ---- */

typedef struct health_pool *create_fn(const struct health_settings *s,
				      int64_t now_us);

static void model_init(struct model *m, create_fn *create, uint8_t workers,
		       double rate_per_worker, uint64_t seed)
{
	struct health_settings s = { workers, SLOTS, COLD_START_US / US_PER_MS,
				     1000 };

	memset(m, 0, sizeof(*m));
	m->random = seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
	for (uint32_t i = 0; i < 8; i++)
		random_next(m);
	m->workers = workers;
	m->rate = rate_per_worker * workers;
	m->heap = calloc(1024, sizeof(*m->heap));
	m->calls = calloc((size_t)workers * SLOTS + 1, sizeof(*m->calls));
	m->lowest_share = 1;
	m->service.floor_percent = FLOOR_PERCENT;
	m->service.worker_count = workers;
	m->service.cell_count = 1;
	m->service.cells = &m->cell;
	m->cell.worker_count = workers;
	for (uint8_t i = 0; i < workers; i++) {
		m->conf[i].id = i + 1U;
		m->conf[i].cell_bit = i;
		m->cell.workers[i] = &m->conf[i];
		m->w[i].slow = 1;
		m->w[i].cold_since_us = -COLD_START_US;
	}
	m->pool = create(&s, 0);
	schedule(m, 0, EVENT_TICK, 0, 0);
	schedule(m, 0, EVENT_ARRIVAL, 0, 0);
}

static void model_free(struct model *m)
{
	m->pool->ops->destroy(m->pool);
	free(m->heap);
	free(m->calls);
}

static void run_until(struct model *m, int64_t us)
{
	while (m->heap[0].at_us < us)
		step(m);
}

static void set_fault(struct model *m, enum fault f)
{
	m->w[0].fault = f;
	m->touched[0] = true;
	if (f == FAULT_SILENT_CONNECTIONS) {
		m->w[0].idle_silent = m->w[0].idle;
		m->w[0].idle = 0;
	} else if (f == FAULT_HALF_SILENT) {
		m->w[0].idle_silent = m->w[0].idle / 2;
		m->w[0].idle -= m->w[0].idle_silent;
	}
	for (uint32_t i = 0; i < m->workers * SLOTS; i++)
		if (m->calls[i].used && m->calls[i].worker == 0 &&
		    f == FAULT_SILENT_CONNECTIONS)
			m->calls[i].silent = true;
}

struct detection {
	double seconds[SEEDS_MAX]; /**< DETECT_LENGTH_US in s if not detected */
	uint32_t missed;
	uint32_t ejections;
	uint32_t false_ejections;
	uint32_t probes;
	double lowest_share;
	double failed_share;
};

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void detect(create_fn *create, uint8_t workers, double rate,
		   bool random_pick, enum fault f, uint64_t first_seed,
		   struct detection *d)
{
	uint32_t served = 0;
	uint32_t failed = 0;

	memset(d, 0, sizeof(*d));
	d->lowest_share = 1;
	for (uint32_t i = 0; i < seeds; i++) {
		struct model m;
		int64_t at_us;
		int64_t found_us;

		model_init(&m, create, workers, rate, first_seed + i);
		m.random_pick = random_pick;
		for (uint8_t j = 0; j < workers; j++)
			m.w[j].idle = IDLE_MAX;
		at_us = DETECT_WARM_UP_US +
			(int64_t)(random_unit(&m) * US_PER_S);
		if (f == FAULT_FLAPPING)
			at_us = DETECT_WARM_UP_US;
		run_until(&m, at_us);
		d->false_ejections += m.false_ejections;
		m.false_ejections = 0;
		m.served = m.failed = 0;
		set_fault(&m, f);
		run_until(&m, at_us + DETECT_LENGTH_US);
		found_us = f >= FAULT_SILENT_CONNECTIONS ? m.dropped_us :
							   m.first_out_us;
		d->seconds[i] = (double)DETECT_LENGTH_US / US_PER_S;
		if (found_us)
			d->seconds[i] = (double)(found_us - at_us) / US_PER_S;
		else
			d->missed++;
		d->ejections += m.ejections;
		d->false_ejections += m.false_ejections;
		d->probes += m.probes;
		served += m.served;
		failed += m.failed;
		if (m.lowest_share < d->lowest_share)
			d->lowest_share = m.lowest_share;
		model_free(&m);
	}
	d->failed_share = (double)failed / (served + failed);
	qsort(d->seconds, seeds, sizeof(d->seconds[0]), compare_double);
}

static void restart(struct model *m, uint32_t n)
{
	struct stand_in *s = &m->w[n % m->workers];
	uint8_t w = (uint8_t)(n % m->workers);

	s->cold_since_us = m->now_us;
	s->idle = s->idle_silent = 0;
	s->restarted_us = m->now_us;
	if (n / m->workers % 2) {
		s->refuse_until_us = m->now_us + RESTART_US;
		s->cold_since_us = s->refuse_until_us;
	} else {
		m->pool->ops->reset(m->pool, w, m->now_us);
	}
}

static void set_all_slow(struct model *m, double f)
{
	for (uint8_t i = 0; i < m->workers; i++)
		m->w[i].slow = f;
}

/** Changes the stand-ins once a second of model time. */
static void drive(struct model *m, enum healthy h, uint32_t second)
{
	static const double shared[] = { 3, 5, 10, 2 };

	switch (h) {
	case HEALTHY_COLD:
		if (second % 20 == 0)
			restart(m, second / 20);
		break;
	case HEALTHY_SHED:
		m->w[0].shed_percent = second % 20 < 5 ? 50 : 0;
		break;
	case HEALTHY_SHARED:
		if (second % 60 == 40)
			set_all_slow(m, shared[second / 60 % 4]);
		else if (second % 60 == 55)
			set_all_slow(m, 1);
		break;
	case HEALTHY_PAUSES:
		if (second % 5 == 0)
			m->w[second / 5 % m->workers].pause_until_us =
				m->now_us + 300 * US_PER_MS;
		break;
	default:
		break;
	}
}

struct calm {
	uint32_t false_ejections;
	double worker_hours;
	double lowest_share;
};

static void stay_calm(create_fn *create, uint8_t workers, bool random_pick,
		      enum healthy h, uint64_t first_seed, struct calm *c)
{
	memset(c, 0, sizeof(*c));
	c->lowest_share = 1;
	for (uint32_t i = 0; i < seeds; i++) {
		struct model m;

		model_init(&m, create, workers, h == HEALTHY_LOW_RATE ? 1 : 10,
			   first_seed + i);
		m.random_pick = random_pick;
		m.long_requests = h == HEALTHY_LONG_REQUESTS;
		if (h == HEALTHY_LEDGER)
			m.w[0].slow = 5;
		if (h == HEALTHY_COLD)
			for (uint8_t j = 0; j < workers; j++)
				m.w[j].cold_since_us = 0;
		if (h == HEALTHY_ERRORS)
			for (uint8_t j = 0; j < workers; j++)
				m.w[j].error_percent = 1;
		for (uint32_t s = 0; s < HEALTHY_LENGTH_US / US_PER_S; s++) {
			run_until(&m, s * US_PER_S);
			m.now_us = s * US_PER_S;
			drive(&m, h, s);
		}
		run_until(&m, HEALTHY_LENGTH_US);
		c->false_ejections += m.false_ejections;
		c->worker_hours +=
			(double)HEALTHY_LENGTH_US / US_PER_S / 3600 * workers;
		if (m.lowest_share < c->lowest_share)
			c->lowest_share = m.lowest_share;
		model_free(&m);
	}
}

struct policy {
	const char *name;
	create_fn *create;
};

static const struct policy policies[] = {
	{ "home", health_create_home },
	{ "evidence", health_create },
	{ "consecutive-errors", health_create_consecutive },
	{ "latency-threshold", health_create_threshold },
	{ "never-eject", health_create_never },
};

static void print_detection(const char *prefix, const struct detection *d,
			    bool drops)
{
	printf("%s.detect-median %.2f s\n", prefix, d->seconds[seeds / 2]);
	printf("%s.detect-worst %.2f s\n", prefix, d->seconds[seeds - 1]);
	printf("%s.missed %u of-%u\n", prefix, d->missed, seeds);
	printf("%s.%s %.2f per-run\n", prefix,
	       drops ? "worker-ejections" : "ejections",
	       (double)d->ejections / seeds);
	printf("%s.false-ejections %u total\n", prefix, d->false_ejections);
	printf("%s.probes %.1f per-run\n", prefix, (double)d->probes / seeds);
	printf("%s.requests-failed %.3f %%\n", prefix, d->failed_share * 100);
	printf("%s.lowest-in-service %.2f of-pool\n", prefix, d->lowest_share);
}

static void measure_case(const struct policy *p, uint8_t workers, bool random,
			 uint32_t n, uint64_t seed)
{
	char prefix[160];
	bool calm = n > FAULT_HALF_SILENT;
	enum healthy h = (enum healthy)(n - FAULT_HALF_SILENT - 1);
	struct detection d;
	struct calm c;

	snprintf(prefix, sizeof(prefix), "health.%s.%u-workers.%s.%s", p->name,
		 workers, random ? "random" : "fewest",
		 calm ? healthy_names[h] : fault_names[n]);
	if (!strstr(prefix, only))
		return;
	if (!calm) {
		detect(p->create, workers, 10, random, (enum fault)n, seed, &d);
		print_detection(prefix, &d, n >= FAULT_SILENT_CONNECTIONS);
		return;
	}
	stay_calm(p->create, workers, random, h, seed, &c);
	printf("%s.false-ejections %.2f per-worker-hour\n", prefix,
	       c.false_ejections / c.worker_hours);
	printf("%s.lowest-in-service %.2f of-pool\n", prefix, c.lowest_share);
}

static void measure_policy(const struct policy *p, uint64_t seed, bool both)
{
	for (uint32_t r = 0; r < (both ? 2 : 1); r++)
		for (uint32_t i = 0; i < 2; i++)
			for (uint32_t n = FAULT_SLOW_3;
			     n <= FAULT_HALF_SILENT + HEALTHY_COUNT; n++)
				measure_case(p, i ? 12 : 2, r, n, seed);
}

int main(int argc, char **argv)
{
	uint64_t seed = 1;

	for (int32_t i = 1; i < argc; i++) {
		if (!strcmp(argv[i], "--trace"))
			trace = true;
		else if (!strcmp(argv[i], "--only") && i + 1 < argc)
			only = argv[++i];
		else if (!strcmp(argv[i], "--seeds") && i + 1 < argc)
			seeds = (uint32_t)strtoul(argv[++i], NULL, 10);
		else
			seed = strtoull(argv[i], NULL, 10);
	}
	if (!seeds || seeds > SEEDS_MAX) {
		fprintf(stderr, "--seeds: 1 to %u\n", SEEDS_MAX);
		return 1;
	}
	printf("health.seed %llu first\n", (unsigned long long)seed);
	printf("health.seeds %u count\n", seeds);
	printf("health.floor %.2f of-pool\n", FLOOR_PERCENT / 100.0);
	for (uint32_t i = 0; i < sizeof(policies) / sizeof(*policies); i++)
		measure_policy(&policies[i], seed, i < 2);
	return 0;
}
