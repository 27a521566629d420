#include <string.h>

#include "soak/soak.h"

/* Length of a fault. The longest outlast the deadline of a request (1.5 s). */
#define FAULT_MIN_MS 100
#define FAULT_MAX_MS 2500
/* A series is up to SERIES_MAX faults of one kind on successive targets, each
 * at most SERIES_GAP_MS after the one before. */
#define SERIES_GAP_MS 300
#define SERIES_MAX 4

/** Commands to a TCP relay or a worker that begin and end a fault. */
struct fault_command {
	const char *begin;
	const char *end;
};

static const struct fault_command links[] = {
	{ "hold=from", "hold=none" },	  { "hold=to", "hold=none" },
	{ "drop=from", "drop=none" },	  { "drop=both", "drop=none" },
	{ "silence=open", "delay_ms=0" }, { "delay_ms=150", "delay_ms=0" },
	{ "reset=open", "delay_ms=0" },
};

static const struct fault_command workers[] = {
	{ "mode=close-after-read&percent=30", "mode=none" },
	{ "mode=half&percent=30", "mode=none" },
	{ "mode=late&every=4&ms=2000", "mode=none" },
	{ "mode=crossed&every=3&ms=1600", "mode=none" },
	{ "mode=errors&percent=50", "mode=none" },
	{ "mode=shed&percent=50", "mode=none" },
	{ "mode=slow&factor=8", "mode=none" },
	{ "mode=accept-silent", "mode=none" },
	{ "mode=one-sided", "mode=none" },
	{ "mode=silent-connections", "mode=none" },
};

const char *soak_kind_name(enum soak_kind k)
{
	static const char *const names[SOAK_KIND_COUNT] = {
		[SOAK_KILL] = "kill",
		[SOAK_STOP] = "stop",
		[SOAK_PAUSE] = "pause",
		[SOAK_LINK] = "link",
		[SOAK_WORKER_FAULT] = "worker-fault",
		[SOAK_WORKER_KILL] = "worker-kill",
		[SOAK_CONF_CHANGE] = "change",
	};

	return names[k];
}

struct plan_builder {
	struct soak_plan *plan;
	const struct soak_limits *limits;
	uint64_t random; /**< state of the random numbers */
};

/* Random number from 0 to n - 1. */
static uint32_t random_below(struct plan_builder *d, uint32_t n)
{
	d->random = hash_bytes(&d->random, sizeof(d->random), 1);
	return (uint32_t)(d->random >> 16) % n;
}

static bool is_worker_fault(enum soak_kind k)
{
	return k == SOAK_WORKER_FAULT || k == SOAK_WORKER_KILL;
}

static bool overlaps(const struct soak_step *a, const struct soak_step *b)
{
	return a->begin_ms <= b->end_ms && b->begin_ms <= a->end_ms;
}

/* Number of daemons (or workers, as the target of the step) that have another
 * fault during the step; `all` if the step's own target has one. */
static uint32_t count_faulty(const struct plan_builder *d,
			     const struct soak_step *s, uint32_t all)
{
	uint64_t targets = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < d->plan->count; i++) {
		const struct soak_step *o = &d->plan->steps[i];

		if (o->kind == SOAK_CONF_CHANGE || !overlaps(o, s) ||
		    is_worker_fault(o->kind) != is_worker_fault(s->kind))
			continue;
		if (o->target == s->target)
			return all;
		targets |= UINT64_C(1) << o->target;
	}
	for (; targets; targets &= targets - 1)
		n++;
	return n;
}

/* Adds the step unless it breaks a limit of the plan. */
static void add_step(struct plan_builder *d, const struct soak_step *s)
{
	uint32_t all = is_worker_fault(s->kind) ? d->limits->workers :
						  d->limits->daemons;
	struct soak_plan *p = d->plan;
	uint32_t at = p->count;

	if (p->count == SOAK_STEPS_MAX || s->end_ms > d->limits->length_ms)
		return;
	if (s->kind != SOAK_CONF_CHANGE && count_faulty(d, s, all) + 2 > all)
		return;
	for (; at && p->steps[at - 1].begin_ms > s->begin_ms; at--)
		p->steps[at] = p->steps[at - 1];
	p->steps[at] = *s;
	p->count++;
}

static void draw_command(struct plan_builder *d, struct soak_step *s)
{
	const struct fault_command *list =
		s->kind == SOAK_LINK ? links : workers;
	uint32_t count = s->kind == SOAK_LINK ?
				 sizeof(links) / sizeof(links[0]) :
				 sizeof(workers) / sizeof(workers[0]);

	if (s->kind != SOAK_LINK && s->kind != SOAK_WORKER_FAULT)
		return;
	list += random_below(d, count);
	s->begin_command = list->begin;
	s->end_command = list->end;
}

/* Adds a series of faults of one random kind from a random time on. */
static void draw_series(struct plan_builder *d)
{
	enum soak_kind k = (enum soak_kind)random_below(d, SOAK_KIND_COUNT);
	uint32_t all =
		is_worker_fault(k) ? d->limits->workers : d->limits->daemons;
	uint32_t first = random_below(d, all);
	uint32_t at_ms = random_below(d, d->limits->length_ms);
	uint32_t n = 1 + random_below(d, SERIES_MAX);

	if (k == SOAK_LINK && !d->limits->tcp_relays)
		return;
	for (uint32_t i = 0; i < n; i++) {
		struct soak_step s = { .kind = k,
				       .target = (first + i) % all,
				       .begin_ms = at_ms };

		s.end_ms = at_ms + FAULT_MIN_MS +
			   random_below(d, FAULT_MAX_MS - FAULT_MIN_MS);
		draw_command(d, &s);
		add_step(d, &s);
		at_ms += random_below(d, SERIES_GAP_MS);
	}
}

void soak_plan_draw(struct soak_plan *p, const struct soak_limits *l,
		    uint64_t seed)
{
	struct plan_builder d = { p, l, seed };
	uint32_t series = l->length_ms / 600;

	memset(p, 0, sizeof(*p));
	while (series--)
		draw_series(&d);
}
