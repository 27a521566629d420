#include <string.h>

#include "soak/soak.h"

/* Length of a fault. The longest outlast the deadline of a request (1.5 s). */
#define FAULT_MIN_MS 100
#define FAULT_MAX_MS 2500
/* A series is up to SERIES_MAX faults of one kind on successive targets, each
 * at most SERIES_GAP_MS after the one before. */
#define SERIES_GAP_MS 300
#define SERIES_MAX 4
/* Length of a fault in which a worker says something of itself: longer than the
 * 2.5 s after which nothing may reach a worker that leaves. */
#define NOTICE_MS 4000
/* Times that are tried for it, as other faults may leave no room. */
#define NOTICE_TRIES 32
/* A plan has one series for each such interval of its length. */
#define SERIES_INTERVAL_MS 600

/** Queries to a TCP relay (/set) or a worker (/fault) that begin and end a
 * fault. Their meaning is in fake/relay_main.c and fake/faults.c. */
struct fault_command {
	const char *begin;
	const char *end;
};

static const struct fault_command link_commands[] = {
	{ "hold=from", "hold=none" },	  { "hold=to", "hold=none" },
	{ "drop=from", "drop=none" },	  { "drop=both", "drop=none" },
	{ "silence=open", "delay_ms=0" }, { "delay_ms=150", "delay_ms=0" },
	{ "reset=open", "delay_ms=0" },
};

static const struct fault_command worker_commands[] = {
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
static uint32_t random_below(struct plan_builder *b, uint32_t n)
{
	b->random = hash_bytes(&b->random, sizeof(b->random), 1);
	return (uint32_t)(b->random >> 16) % n;
}

static bool is_worker_fault(enum soak_kind k)
{
	return k == SOAK_WORKER_FAULT || k == SOAK_WORKER_KILL;
}

static bool overlaps(const struct soak_step *a, const struct soak_step *b)
{
	return a->begin_ms <= b->end_ms && b->begin_ms <= a->end_ms;
}

/* Number of daemons (of workers, if the step's target is one) that have another
 * fault during the step. If one of them is the step's own target, returns
 * `all`, so that the step is left out. */
static uint32_t count_faulty(const struct plan_builder *b,
			     const struct soak_step *s, uint32_t all)
{
	uint64_t targets = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < b->plan->count; i++) {
		const struct soak_step *o = &b->plan->steps[i];

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
static void add_step(struct plan_builder *b, const struct soak_step *s)
{
	uint32_t all = is_worker_fault(s->kind) ? b->limits->workers :
						  b->limits->daemons;
	struct soak_plan *p = b->plan;
	uint32_t at = p->count;

	if (p->count == SOAK_STEPS_MAX || s->end_ms > b->limits->length_ms)
		return;
	/* Besides the faulty ones and the step's target, one has to stay
	 * without a fault. */
	if (s->kind != SOAK_CONF_CHANGE && count_faulty(b, s, all) + 2 > all)
		return;
	for (; at && p->steps[at - 1].begin_ms > s->begin_ms; at--)
		p->steps[at] = p->steps[at - 1];
	p->steps[at] = *s;
	p->count++;
}

static void draw_command(struct plan_builder *b, struct soak_step *s)
{
	const struct fault_command *list =
		s->kind == SOAK_LINK ? link_commands : worker_commands;
	uint32_t count =
		s->kind == SOAK_LINK ?
			sizeof(link_commands) / sizeof(link_commands[0]) :
			sizeof(worker_commands) / sizeof(worker_commands[0]);

	if (s->kind != SOAK_LINK && s->kind != SOAK_WORKER_FAULT)
		return;
	list += random_below(b, count);
	s->begin_command = list->begin;
	s->end_command = list->end;
}

/* Adds a series of faults of one random kind from a random time on. */
static void draw_series(struct plan_builder *b)
{
	enum soak_kind k = (enum soak_kind)random_below(b, SOAK_KIND_COUNT);
	uint32_t all =
		is_worker_fault(k) ? b->limits->workers : b->limits->daemons;
	uint32_t first = random_below(b, all);
	uint32_t at_ms = random_below(b, b->limits->length_ms);
	uint32_t n = 1 + random_below(b, SERIES_MAX);

	if (k == SOAK_LINK && !b->limits->tcp_relays)
		return;
	for (uint32_t i = 0; i < n; i++) {
		struct soak_step s = { .kind = k,
				       .target = (first + i) % all,
				       .begin_ms = at_ms };

		s.end_ms = at_ms + FAULT_MIN_MS +
			   random_below(b, FAULT_MAX_MS - FAULT_MIN_MS);
		draw_command(b, &s);
		add_step(b, &s);
		at_ms += random_below(b, SERIES_GAP_MS);
	}
}

/* Adds a worker that says something of itself. Only the first worker says that
 * it leaves, since it is not used again for a minute. Drawn last, so that the
 * faults of a seed stay as they were. */
static void draw_notice(struct plan_builder *b)
{
	bool leaves = random_below(b, 2);
	uint32_t before = b->plan->count;

	for (uint32_t i = 0; i < NOTICE_TRIES && b->plan->count == before;
	     i++) {
		struct soak_step s = {
			.kind = SOAK_WORKER_FAULT,
			.target = leaves ? 0 :
					   random_below(b, b->limits->workers),
			.begin_ms = random_below(b, b->limits->length_ms / 2),
			.begin_command =
				leaves ? "mode=drain" : "mode=pause&ms=1500",
			.end_command = "mode=none",
		};

		s.end_ms = s.begin_ms + NOTICE_MS;
		add_step(b, &s);
	}
}

void soak_plan_draw(struct soak_plan *p, const struct soak_limits *l,
		    uint64_t seed)
{
	struct plan_builder b = { p, l, seed };
	uint32_t series = l->length_ms / SERIES_INTERVAL_MS;

	memset(p, 0, sizeof(*p));
	while (series--)
		draw_series(&b);
	draw_notice(&b);
}
