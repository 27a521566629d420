/**
 * @file
 * Simulates a cell of workers and its home (the daemon that assigns requests to
 * workers) under each policy of outlier detection, and prints what it measures
 * in lines of "name value unit". The simulated home sends each request to the
 * worker with the fewest outstanding requests, or to a random one.
 *
 * usage: health_measure [--only TEXT] [--trace] [--seeds N] [seed]
 *
 * --only measures the cases whose name contains TEXT; --seeds is the number of
 * runs of each case, with consecutive seeds from the given one (1); --trace
 * prints when workers are ejected and re-admitted and when connections are
 * dropped.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "health/health.h"
#include "health/floor.h"

#define SEEDS_MAX 1000
#define SLOTS_PER_WORKER 6
/** Mean service time of a normal worker; service times are exponential. */
#define SERVICE_MEAN_US (20.0 * US_PER_MS)
#define CONNECT_LATENCY_US US_PER_MS
/** Time that a normal worker takes to answer a probe. */
#define PROBE_LATENCY_US (25 * US_PER_MS)
#define REQUEST_DEADLINE_US (5 * US_PER_S)
#define PROBE_DEADLINE_US US_PER_S
#define CONNECT_TIMEOUT_US US_PER_S
/** Idle pooled connections of a worker. */
#define IDLE_CONNECTIONS_MAX 32
/** Time between ticks of the policy. */
#define TICK_US (100 * US_PER_MS)
#define FLOOR_PERCENT 50
/** Time in which a restarted worker gets from ten times its service time down
 * to the normal one. */
#define COLD_START_US (10 * US_PER_S)
/** Time for which a restarting worker refuses connections. */
#define RESTART_REFUSAL_US US_PER_S
/** Requests that wait at the home; more fail at once. */
#define QUEUE_MAX 4096
/** Time before the fault, which starts up to 1 s later. */
#define WARM_UP_US (60 * US_PER_S)
/** Length of the fault; the run ends with it. */
#define FAULT_LENGTH_US (120 * US_PER_S)
/** Length of a run of a healthy case. */
#define HEALTHY_LENGTH_US (300 * US_PER_S)

/** Fault of worker 0. The last two are faults of its open connections only: the
 * policy should drop these and not eject the worker. */
enum fault {
	FAULT_NONE,
	FAULT_SLOW_3,
	FAULT_SLOW_10,
	FAULT_ERRORS, /**< 30 % of answers are errors; probes pass */
	FAULT_TRUNCATED_ANSWERS, /**< all answers are truncated; probes pass */
	FAULT_NEVER_ANSWERS, /**< accepts connections, but answers nothing */
	FAULT_ONE_SIDED, /**< no packets arrive from the worker: answers are
			     lost and no new connection opens */
	FAULT_FLAPPING, /**< in turn ten times slower for 5 s, normal for 5 s */
	FAULT_SILENT_CONNECTIONS, /**< connections that are open at its start
				     are never answered */
	FAULT_HALF_SILENT, /**< same, for half of the idle ones only */
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

/** Conditions in which no worker should be ejected. */
enum healthy_case {
	HEALTHY_PLAIN,
	HEALTHY_STEADILY_SLOW, /**< worker 0 is always five times slower */
	HEALTHY_COLD, /**< a worker restarts every 20 s, and is ten times
			  slower at first */
	HEALTHY_SHED, /**< worker 0 sheds half its load, 5 s of every 20 s */
	HEALTHY_SHARED, /**< all workers slower for 15 s of every 60 s */
	HEALTHY_LOW_RATE, /**< each worker gets 1 request a second, not 10 */
	HEALTHY_LONG_REQUESTS, /**< one of 500 requests takes 2 s */
	HEALTHY_PAUSES, /**< a worker pauses for 300 ms every 5 s */
	HEALTHY_ERRORS, /**< 1 % of all answers are errors */
	HEALTHY_COUNT,
};

static const char *const healthy_names[] = {
	"plain",    "slow-ledger",   "cold-starts", "shed-load", "shared-slow",
	"low-rate", "long-requests", "pauses",	    "errors-1",
};

struct model_worker {
	enum fault fault;
	double service_factor; /**< factor on the service time, without that of
				  the fault */
	int64_t cold_since_us; /**< start of its cold start */
	int64_t refuse_until_us; /**< until then refuses connections */
	int64_t restarted_us; /**< earlier requests end in a reset */
	int64_t pause_until_us; /**< until then sends no answers */
	uint32_t shed_percent;
	uint32_t error_percent;
	bool half_silent;
	uint32_t idle; /**< idle pooled connections that work */
	uint32_t idle_silent; /**< idle pooled connections without answers */
	uint32_t outstanding; /**< requests that occupy a slot */
};

enum event_kind {
	EVENT_ARRIVAL,
	EVENT_REQUEST_END,
	EVENT_PROBE_END,
	EVENT_TICK,
};

struct event {
	int64_t at_us;
	uint32_t order; /**< of two events at the same time, the lower one is
			   first */
	enum event_kind kind;
	uint8_t worker;
	/** EVENT_REQUEST_END: index in sent_requests; EVENT_PROBE_END:
	 * latency in us; EVENT_TICK: 1 if the event is void (cancelled). */
	uint32_t event_argument;
};

/** A request that is outstanding at a worker. */
struct model_request {
	bool used;
	uint8_t worker;
	bool fresh; /**< on a new connection */
	bool silent; /**< on a connection that is never answered */
	int64_t dispatched_us;
	enum health_event outcome; /**< how it will end */
	int64_t deadline_us;
};

struct model {
	uint64_t random_state;
	int64_t now_us;
	double rate; /**< requests a second to the pool */
	struct health_pool *pool;
	struct event *heap; /**< the earliest event first */
	struct model_request *sent_requests;
	struct model_worker workers[HEALTH_WORKERS_MAX];
	int64_t queue[QUEUE_MAX]; /**< deadlines of the waiting requests,
				   negated for requests that are not idempotent
				 */
	struct conf_service service;
	struct conf_cell cell;
	struct conf_worker conf[HEALTH_WORKERS_MAX];
	/* results */
	int64_t first_ejection_us; /**< of the faulty worker; 0: none */
	int64_t first_drop_us; /**< of silent connections; 0: none */
	double in_service_share_min; /**< lowest share of workers not excluded
				      */
	uint32_t ejections; /**< of faulty workers */
	uint32_t false_ejections; /**< of workers without a fault */
	uint32_t probes;
	uint32_t served;
	uint32_t failed;
	/* state of the run */
	uint32_t order; /**< of the next event */
	uint32_t heap_count;
	uint32_t queue_head;
	uint32_t queue_count;
	uint16_t excluded_mask;
	bool was_ejected[HEALTH_WORKERS_MAX];
	bool has_fault[HEALTH_WORKERS_MAX]; /**< was given a fault */
	uint8_t worker_count;
	bool picks_randomly; /**< not by the fewest outstanding requests */
	bool has_long_requests;
};

static bool trace;
static const char *name_filter = "";
static uint32_t seeds = 20;

/* ---- random numbers (xorshift64*), so that a seed gives the same run ---- */

static uint64_t random_next(struct model *m)
{
	m->random_state ^= m->random_state >> 12;
	m->random_state ^= m->random_state << 25;
	m->random_state ^= m->random_state >> 27;
	return m->random_state * UINT64_C(2685821657736338717);
}

/** Random number between 0 and 1, from the upper 53 bits. */
static double random_unit(struct model *m)
{
	return ((double)(random_next(m) >> 11) + 0.5) / 9007199254740992.0;
}

/** True with this probability. */
static bool chance(struct model *m, double percent)
{
	return random_unit(m) * 100 < percent;
}

static double exponential(struct model *m, double mean)
{
	return -mean * log(random_unit(m));
}

/* ---- event heap ---- */

static bool event_before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void schedule(struct model *m, int64_t at_us, enum event_kind kind,
		     uint8_t worker, uint32_t event_argument)
{
	struct event e = { at_us, m->order++, kind, worker, event_argument };
	uint32_t i = m->heap_count++;

	while (i && event_before(&e, &m->heap[(i - 1) / 2])) {
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
		    event_before(&m->heap[child + 1], &m->heap[child]))
			child++;
		if (!event_before(&m->heap[child], &last))
			break;
		m->heap[i] = m->heap[child];
		i = child;
	}
	m->heap[i] = last;
	return top;
}

/* ---- model workers ---- */

static bool is_ten_times_slower(const struct model *m,
				const struct model_worker *w)
{
	return w->fault == FAULT_SLOW_10 ||
	       (w->fault == FAULT_FLAPPING &&
		m->now_us % (10 * US_PER_S) < 5 * US_PER_S);
}

static double service_factor_now(const struct model *m,
				 const struct model_worker *w)
{
	double factor = w->service_factor;
	double cold_progress =
		(double)(m->now_us - w->cold_since_us) / COLD_START_US;

	if (w->fault == FAULT_SLOW_3)
		factor *= 3;
	if (is_ten_times_slower(m, w))
		factor *= 10;
	if (cold_progress < 1)
		factor *= 1 + 9 * (1 - cold_progress);
	return factor;
}

/** True if no answer of the worker arrives, on any connection. */
static bool answers_nothing(const struct model_worker *w)
{
	return w->fault == FAULT_NEVER_ANSWERS || w->fault == FAULT_ONE_SIDED;
}

/** Chooses the connection of a request; sets how and when the request will end.
 */
static void start_model_request(struct model *m, struct model_request *r,
				int64_t *end_us)
{
	struct model_worker *w = &m->workers[r->worker];
	int64_t setup_us = 0;

	r->outcome = HEALTH_ANSWERED;
	r->fresh = !(w->idle + w->idle_silent);
	r->silent = false;
	if (r->fresh) {
		setup_us = CONNECT_LATENCY_US;
		if (m->now_us < w->refuse_until_us) {
			r->outcome = HEALTH_CONNECT_REFUSED;
			*end_us = m->now_us + CONNECT_LATENCY_US;
			return;
		}
		if (w->fault == FAULT_ONE_SIDED) {
			r->outcome = HEALTH_CONNECT_TIMEOUT;
			*end_us = m->now_us + CONNECT_TIMEOUT_US;
			return;
		}
	} else if (random_next(m) % (w->idle + w->idle_silent) <
		   w->idle_silent) {
		w->idle_silent--;
		r->silent = true;
	} else {
		w->idle--;
	}
	*end_us = m->now_us + setup_us +
		  (int64_t)exponential(m, SERVICE_MEAN_US *
						  service_factor_now(m, w));
	if (m->has_long_requests && chance(m, 0.2))
		*end_us = m->now_us + 2 * US_PER_S;
	if (m->now_us < w->pause_until_us)
		*end_us += w->pause_until_us - m->now_us;
	if (chance(m, w->shed_percent)) {
		r->outcome = HEALTH_SHED;
		*end_us = m->now_us + setup_us + US_PER_MS;
	} else if (w->fault == FAULT_TRUNCATED_ANSWERS) {
		r->outcome = HEALTH_TRUNCATED;
	} else if (chance(m, w->error_percent) ||
		   (w->fault == FAULT_ERRORS && chance(m, 30))) {
		r->outcome = HEALTH_SERVER_ERROR;
	}
	if (r->silent || answers_nothing(w) || *end_us > r->deadline_us) {
		r->outcome = HEALTH_TIMEOUT;
		*end_us = r->deadline_us;
	}
}

static void start_probe(struct model *m, uint8_t worker)
{
	struct model_worker *w = &m->workers[worker];
	int64_t us = CONNECT_LATENCY_US +
		     (int64_t)(PROBE_LATENCY_US * service_factor_now(m, w));

	m->probes++;
	if (m->now_us < w->refuse_until_us)
		us = CONNECT_LATENCY_US;
	else if (answers_nothing(w) || us > PROBE_DEADLINE_US)
		us = PROBE_DEADLINE_US;
	schedule(m, m->now_us + us, EVENT_PROBE_END, worker, (uint32_t)us);
}

static void end_probe(struct model *m, uint8_t worker, int64_t us)
{
	struct model_worker *w = &m->workers[worker];
	struct health_sample sample = { HEALTH_ANSWERED, us, true, true };

	if (m->now_us < w->refuse_until_us)
		sample.event = HEALTH_CONNECT_REFUSED;
	else if (w->fault == FAULT_ONE_SIDED)
		sample.event = HEALTH_CONNECT_TIMEOUT;
	else if (us >= PROBE_DEADLINE_US)
		sample.event = HEALTH_TIMEOUT;
	m->pool->ops->record(m->pool, worker, &sample, m->now_us);
}

/* ---- the home ---- */

static uint32_t usable_slots(const struct health_verdict *v)
{
	uint32_t n = SLOTS_PER_WORKER * v->weight_percent / 100;

	return n ? n : 1;
}

/** Returns the worker to send a request to, or -1 if none has a free slot. */
static int32_t pick_worker(struct model *m, bool idempotent)
{
	int32_t best = -1;
	uint32_t fewest = 0;
	uint32_t ties = 0;

	for (uint8_t i = 0; i < m->worker_count; i++) {
		struct health_verdict v = m->pool->ops->verdict(m->pool, i);
		uint32_t n = m->picks_randomly ? 0 : m->workers[i].outstanding;

		if ((m->excluded_mask >> i & 1) ||
		    m->workers[i].outstanding >= usable_slots(&v) ||
		    (v.idempotent_only && !idempotent))
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

/** Sends the waiting requests, the oldest first, as long as a worker has a free
 * slot; a request that has waited until its deadline fails. */
static void dispatch_queue(struct model *m)
{
	while (m->queue_count) {
		int64_t deadline_us = m->queue[m->queue_head];
		int32_t worker = pick_worker(m, deadline_us > 0);
		struct model_request *r;
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
		while (m->sent_requests[slot].used)
			slot++;
		r = &m->sent_requests[slot];
		*r = (struct model_request){ .used = true,
					     .worker = (uint8_t)worker,
					     .dispatched_us = m->now_us,
					     .deadline_us =
						     llabs(deadline_us) };
		m->workers[worker].outstanding++;
		m->pool->ops->dispatch(m->pool, r->worker, m->now_us);
		start_model_request(m, r, &end_us);
		schedule(m, end_us, EVENT_REQUEST_END, r->worker, slot);
	}
}

/** Records the end of a request, or puts it off if a fault or pause of the
 * worker delays the answer. */
static void end_model_request(struct model *m, uint32_t slot)
{
	struct model_request *r = &m->sent_requests[slot];
	struct model_worker *w = &m->workers[r->worker];
	struct health_sample sample = { r->outcome,
					m->now_us - r->dispatched_us, r->fresh,
					false };

	if (r->dispatched_us < w->restarted_us) {
		r->outcome = sample.event = HEALTH_RESET;
	} else if (r->outcome == HEALTH_ANSWERED) {
		/* The fault or the pause may have begun after the request was
		 * dispatched, when its end was computed. */
		if (answers_nothing(w)) {
			r->outcome = HEALTH_TIMEOUT;
			schedule(m, r->deadline_us, EVENT_REQUEST_END,
				 r->worker, slot);
			return;
		}
		if (m->now_us < w->pause_until_us) {
			schedule(m, w->pause_until_us, EVENT_REQUEST_END,
				 r->worker, slot);
			return;
		}
	}
	if ((r->outcome == HEALTH_ANSWERED || r->outcome == HEALTH_SHED ||
	     r->outcome == HEALTH_SERVER_ERROR) &&
	    w->idle + w->idle_silent < IDLE_CONNECTIONS_MAX)
		w->idle++;
	r->used = false;
	w->outstanding--;
	if (r->outcome == HEALTH_ANSWERED)
		m->served++;
	else
		m->failed++;
	m->pool->ops->record(m->pool, r->worker, &sample, m->now_us);
}

/** Closes the idle connections to a worker, and those whose request has been
 * outstanding for longer than `silent_us`. */
static void close_silent_connections(struct model *m, uint8_t worker,
				     int64_t silent_us)
{
	struct model_worker *w = &m->workers[worker];

	if (trace)
		printf("# %.3f s connections to worker %u dropped\n",
		       (double)m->now_us / US_PER_S, worker);
	if (w->fault >= FAULT_SILENT_CONNECTIONS && !m->first_drop_us)
		m->first_drop_us = m->now_us;
	w->idle = w->idle_silent = 0;
	for (uint32_t i = 0; i < (uint32_t)m->worker_count * SLOTS_PER_WORKER;
	     i++) {
		struct model_request *r = &m->sent_requests[i];

		if (!r->used || r->worker != worker ||
		    m->now_us - r->dispatched_us <= silent_us ||
		    r->outcome == HEALTH_CANCELLED)
			continue;
		for (uint32_t j = 0; j < m->heap_count; j++)
			if (m->heap[j].kind == EVENT_REQUEST_END &&
			    m->heap[j].event_argument == i) {
				m->heap[j].kind = EVENT_TICK;
				m->heap[j].event_argument = 1; /* void event */
			}
		r->outcome = HEALTH_CANCELLED;
		schedule(m, m->now_us, EVENT_REQUEST_END, worker, i);
	}
}

/** Reports the workers that the policy judges unhealthy, and excludes them as
 * far as the floor allows. */
static void apply_verdicts(struct model *m)
{
	struct member_report reports[HEALTH_WORKERS_MAX];
	struct member_view view = { .reports = reports };
	uint32_t in_service = 0;

	for (uint8_t i = 0; i < m->worker_count; i++) {
		struct health_verdict v = m->pool->ops->verdict(m->pool, i);
		int64_t us =
			m->pool->ops->take_connection_drop_age_us(m->pool, i);
		bool ejected = v.severity > 0;

		if (us)
			close_silent_connections(m, i, us);
		if (ejected)
			reports[view.report_count++] =
				(struct member_report){ m->conf[i].id,
							REPORT_WORKER_UNHEALTHY,
							v.severity };
		if (ejected && !m->was_ejected[i]) {
			if (trace)
				printf("# %.3f s worker %u ejected, severity %u\n",
				       (double)m->now_us / US_PER_S, i,
				       v.severity);
			if (m->now_us <
			    m->workers[i].refuse_until_us + TICK_US) {
				/* The worker is restarting: the ejection is
				 * neither a detection nor false. */
			} else if (m->has_fault[i]) {
				m->ejections++;
				if (!m->first_ejection_us)
					m->first_ejection_us = m->now_us;
			} else {
				m->false_ejections++;
			}
		}
		if (trace && !ejected && m->was_ejected[i])
			printf("# %.3f s worker %u re-admitted\n",
			       (double)m->now_us / US_PER_S, i);
		m->was_ejected[i] = ejected;
	}
	floor_exclude(&m->service, &view, &m->excluded_mask);
	for (uint8_t i = 0; i < m->worker_count; i++)
		in_service += !(m->excluded_mask >> i & 1);
	if ((double)in_service / m->worker_count < m->in_service_share_min)
		m->in_service_share_min = (double)in_service / m->worker_count;
}

static void tick(struct model *m)
{
	bool fresh;
	int32_t worker;

	m->pool->ops->tick(m->pool, m->now_us);
	while ((worker = m->pool->ops->next_probe(m->pool, m->now_us,
						  &fresh)) >= 0)
		start_probe(m, (uint8_t)worker);
	apply_verdicts(m);
	schedule(m, m->now_us + TICK_US, EVENT_TICK, 0, 0);
}

static void run_event(struct model *m)
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
	case EVENT_REQUEST_END:
		end_model_request(m, e.event_argument);
		break;
	case EVENT_PROBE_END:
		end_probe(m, e.worker, e.event_argument);
		break;
	case EVENT_TICK:
		if (e.event_argument)
			return;
		tick(m);
		break;
	}
	dispatch_queue(m);
}

/* ---- cases ---- */

typedef struct health_pool *policy_create_fn(const struct health_settings *s,
					     int64_t now_us);

static void model_init(struct model *m, policy_create_fn *create,
		       uint8_t worker_count, double rate_per_worker,
		       uint64_t seed)
{
	struct health_settings s = { worker_count, SLOTS_PER_WORKER,
				     COLD_START_US / US_PER_MS, 1000 };

	memset(m, 0, sizeof(*m));
	/* Spreads the bits of small seeds; some rounds more mix them. */
	m->random_state = seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
	for (uint32_t i = 0; i < 8; i++)
		random_next(m);
	m->worker_count = worker_count;
	m->rate = rate_per_worker * worker_count;
	/* schedule() does not check the size: 1024 events must suffice for the
	 * requests, probes and void events of all workers. */
	m->heap = calloc(1024, sizeof(*m->heap));
	m->sent_requests = calloc((size_t)worker_count * SLOTS_PER_WORKER + 1,
				  sizeof(*m->sent_requests));
	m->in_service_share_min = 1;
	m->service.floor_percent = FLOOR_PERCENT;
	m->service.worker_count = worker_count;
	m->service.cell_count = 1;
	m->service.cells = &m->cell;
	m->cell.worker_count = worker_count;
	for (uint8_t i = 0; i < worker_count; i++) {
		m->conf[i].id = i + 1U;
		m->conf[i].cell_bit = i;
		m->cell.workers[i] = &m->conf[i];
		m->workers[i].service_factor = 1;
		m->workers[i].cold_since_us = -COLD_START_US;
	}
	m->pool = create(&s, 0);
	schedule(m, 0, EVENT_TICK, 0, 0);
	schedule(m, 0, EVENT_ARRIVAL, 0, 0);
}

static void model_free(struct model *m)
{
	m->pool->ops->destroy(m->pool);
	free(m->heap);
	free(m->sent_requests);
}

static void run_until(struct model *m, int64_t us)
{
	while (m->heap[0].at_us < us)
		run_event(m);
}

/** Starts the fault of worker 0. */
static void set_fault(struct model *m, enum fault f)
{
	m->workers[0].fault = f;
	m->has_fault[0] = true;
	if (f == FAULT_SILENT_CONNECTIONS) {
		m->workers[0].idle_silent = m->workers[0].idle;
		m->workers[0].idle = 0;
	} else if (f == FAULT_HALF_SILENT) {
		m->workers[0].idle_silent = m->workers[0].idle / 2;
		m->workers[0].idle -= m->workers[0].idle_silent;
	}
	for (uint32_t i = 0; i < m->worker_count * SLOTS_PER_WORKER; i++)
		if (m->sent_requests[i].used &&
		    m->sent_requests[i].worker == 0 &&
		    f == FAULT_SILENT_CONNECTIONS)
			m->sent_requests[i].silent = true;
}

/** Results of all runs with a fault. */
struct detection {
	double seconds[SEEDS_MAX]; /**< time to detect; FAULT_LENGTH_US if
				      missed */
	uint32_t missed;
	uint32_t ejections;
	uint32_t false_ejections;
	uint32_t probes;
	double in_service_share_min;
	double failed_share;
};

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void measure_fault(policy_create_fn *create, uint8_t worker_count,
			  double rate, bool picks_randomly, enum fault f,
			  uint64_t first_seed, struct detection *d)
{
	uint32_t served = 0;
	uint32_t failed = 0;

	memset(d, 0, sizeof(*d));
	d->in_service_share_min = 1;
	for (uint32_t i = 0; i < seeds; i++) {
		struct model m;
		int64_t fault_start_us;
		int64_t detected_us;

		model_init(&m, create, worker_count, rate, first_seed + i);
		m.picks_randomly = picks_randomly;
		for (uint8_t j = 0; j < worker_count; j++)
			m.workers[j].idle = IDLE_CONNECTIONS_MAX;
		fault_start_us =
			WARM_UP_US + (int64_t)(random_unit(&m) * US_PER_S);
		/* The slow half of a flap begins at a multiple of 10 s. */
		if (f == FAULT_FLAPPING)
			fault_start_us = WARM_UP_US;
		run_until(&m, fault_start_us);
		d->false_ejections += m.false_ejections;
		m.false_ejections = 0;
		m.served = m.failed = 0;
		set_fault(&m, f);
		run_until(&m, fault_start_us + FAULT_LENGTH_US);
		detected_us = f >= FAULT_SILENT_CONNECTIONS ?
				      m.first_drop_us :
				      m.first_ejection_us;
		d->seconds[i] = (double)FAULT_LENGTH_US / US_PER_S;
		if (detected_us)
			d->seconds[i] = (double)(detected_us - fault_start_us) /
					US_PER_S;
		else
			d->missed++;
		d->ejections += m.ejections;
		d->false_ejections += m.false_ejections;
		d->probes += m.probes;
		served += m.served;
		failed += m.failed;
		if (m.in_service_share_min < d->in_service_share_min)
			d->in_service_share_min = m.in_service_share_min;
		model_free(&m);
	}
	d->failed_share = (double)failed / (served + failed);
	qsort(d->seconds, seeds, sizeof(d->seconds[0]), compare_double);
}

/** Restarts a worker, as the n-th restart of the run. In every other round over
 * all workers it refuses connections for a while; in the others the home is
 * told of the restart. */
static void restart_worker(struct model *m, uint32_t n)
{
	struct model_worker *w = &m->workers[n % m->worker_count];
	uint8_t worker = (uint8_t)(n % m->worker_count);

	w->cold_since_us = m->now_us;
	w->idle = w->idle_silent = 0;
	w->restarted_us = m->now_us;
	if (n / m->worker_count % 2) {
		w->refuse_until_us = m->now_us + RESTART_REFUSAL_US;
		w->cold_since_us = w->refuse_until_us;
	} else {
		m->pool->ops->reset(m->pool, worker, m->now_us);
	}
}

static void set_all_slow(struct model *m, double f)
{
	for (uint8_t i = 0; i < m->worker_count; i++)
		m->workers[i].service_factor = f;
}

/** Changes the workers as the healthy case demands; called once for each second
 * of model time. */
static void update_workers(struct model *m, enum healthy_case h,
			   uint32_t second)
{
	static const double shared_factors[] = { 3, 5, 10, 2 };

	switch (h) {
	case HEALTHY_COLD:
		if (second % 20 == 0)
			restart_worker(m, second / 20);
		break;
	case HEALTHY_SHED:
		m->workers[0].shed_percent = second % 20 < 5 ? 50 : 0;
		break;
	case HEALTHY_SHARED:
		if (second % 60 == 40)
			set_all_slow(m, shared_factors[second / 60 % 4]);
		else if (second % 60 == 55)
			set_all_slow(m, 1);
		break;
	case HEALTHY_PAUSES:
		if (second % 5 == 0)
			m->workers[second / 5 % m->worker_count]
				.pause_until_us = m->now_us + 300 * US_PER_MS;
		break;
	default:
		break;
	}
}

struct healthy_result {
	uint32_t false_ejections;
	double worker_hours;
	double in_service_share_min;
};

static void measure_healthy(policy_create_fn *create, uint8_t worker_count,
			    bool picks_randomly, enum healthy_case h,
			    uint64_t first_seed, struct healthy_result *r)
{
	memset(r, 0, sizeof(*r));
	r->in_service_share_min = 1;
	for (uint32_t i = 0; i < seeds; i++) {
		struct model m;

		model_init(&m, create, worker_count,
			   h == HEALTHY_LOW_RATE ? 1 : 10, first_seed + i);
		m.picks_randomly = picks_randomly;
		m.has_long_requests = h == HEALTHY_LONG_REQUESTS;
		if (h == HEALTHY_STEADILY_SLOW)
			m.workers[0].service_factor = 5;
		if (h == HEALTHY_COLD)
			for (uint8_t j = 0; j < worker_count; j++)
				m.workers[j].cold_since_us = 0;
		if (h == HEALTHY_ERRORS)
			for (uint8_t j = 0; j < worker_count; j++)
				m.workers[j].error_percent = 1;
		for (uint32_t second = 0; second < HEALTHY_LENGTH_US / US_PER_S;
		     second++) {
			run_until(&m, second * US_PER_S);
			m.now_us = second * US_PER_S;
			update_workers(&m, h, second);
		}
		run_until(&m, HEALTHY_LENGTH_US);
		r->false_ejections += m.false_ejections;
		r->worker_hours += (double)HEALTHY_LENGTH_US / US_PER_S / 3600 *
				   worker_count;
		if (m.in_service_share_min < r->in_service_share_min)
			r->in_service_share_min = m.in_service_share_min;
		model_free(&m);
	}
}

struct policy {
	const char *name;
	policy_create_fn *create;
};

static const struct policy policies[] = {
	{ "home", health_create_home },
	{ "evidence", health_create_evidence },
	{ "consecutive-errors", health_create_consecutive },
	{ "latency-threshold", health_create_threshold },
	{ "never-eject", health_create_never },
};

/** `drops`: the fault is detected by a connection drop, not by an ejection. */
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
	printf("%s.lowest-in-service %.2f of-pool\n", prefix,
	       d->in_service_share_min);
}

/** Measures case `n`: the faults of enum fault first, then the healthy cases.
 */
static void measure_case(const struct policy *p, uint8_t worker_count,
			 bool picks_randomly, uint32_t n, uint64_t seed)
{
	char prefix[160];
	bool is_healthy = n > FAULT_HALF_SILENT;
	enum healthy_case h = (enum healthy_case)(n - FAULT_HALF_SILENT - 1);
	struct detection d;
	struct healthy_result r;

	snprintf(prefix, sizeof(prefix), "health.%s.%u-workers.%s.%s", p->name,
		 worker_count, picks_randomly ? "random" : "fewest",
		 is_healthy ? healthy_names[h] : fault_names[n]);
	if (!strstr(prefix, name_filter))
		return;
	if (!is_healthy) {
		measure_fault(p->create, worker_count, 10, picks_randomly,
			      (enum fault)n, seed, &d);
		print_detection(prefix, &d, n >= FAULT_SILENT_CONNECTIONS);
		return;
	}
	measure_healthy(p->create, worker_count, picks_randomly, h, seed, &r);
	printf("%s.false-ejections %.2f per-worker-hour\n", prefix,
	       r.false_ejections / r.worker_hours);
	printf("%s.lowest-in-service %.2f of-pool\n", prefix,
	       r.in_service_share_min);
}

/** Measures all cases with 2 and with 12 workers. The home picks the worker
 * with the fewest outstanding requests and, if `both_picks`, also a random one.
 */
static void measure_policy(const struct policy *p, uint64_t seed,
			   bool both_picks)
{
	for (uint32_t r = 0; r < (both_picks ? 2 : 1); r++)
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
			name_filter = argv[++i];
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
