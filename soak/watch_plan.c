#include <string.h>

#include "soak/watch.h"

/* A scene is one trouble of daemons with changes of workers around it. The next
 * one begins when daemons that were killed count as calm again. */
#define SCENE_MS 6500
/* In a scene with a single change an entry is written before: the other
 * daemons' position is then that of an entry, as that of daemons which list. */
#define SETTLE_MS 1000
/* When the changes come, relative to the first kill: from a little before it,
 * so that some daemons have been told, until the daemons have listed again. */
#define CHANGE_FIRST_MS 250
#define CHANGE_SPAN_MS 1500
/* A daemon is started again after up to this time. */
#define DOWN_MAX_MS 1200
/* It is killed again while it starts or lists. */
#define AGAIN_MAX_MS 300
#define CHANGES_MAX 3

enum trouble {
	TROUBLE_NONE,
	TROUBLE_BOTH_WATCHERS,
	TROUBLE_WATCHERS_IN_TURN,
	TROUBLE_WATCHERS_TWICE,
	TROUBLE_ONE_WATCHER,
	TROUBLE_ALL,
	TROUBLE_SOME,
	TROUBLE_COUNT,
};

struct scene_builder {
	struct watch_plan *plan;
	const struct watch_limits *limits;
	uint64_t random;
	int32_t service[WATCH_WORKERS]; /**< -1: the worker has left */
};

static uint32_t random_below(struct scene_builder *b, uint32_t n)
{
	b->random = hash_bytes(&b->random, sizeof(b->random), 1);
	return (uint32_t)(b->random >> 16) % n;
}

const char *watch_kind_name(enum watch_kind k)
{
	static const char *const names[WATCH_KIND_COUNT] = {
		[WATCH_KILL] = "kill",	   [WATCH_START] = "start",
		[WATCH_REMOVE] = "remove", [WATCH_DRAIN] = "drain",
		[WATCH_ADD] = "add",	   [WATCH_FORGET] = "forget",
	};

	return names[k];
}

static void add_step(struct scene_builder *b, const struct watch_step *s)
{
	struct watch_plan *p = b->plan;
	uint32_t at = p->count;

	if (p->count == WATCH_STEPS_MAX)
		return;
	for (; at && p->steps[at - 1].at_ms > s->at_ms; at--)
		p->steps[at] = p->steps[at - 1];
	p->steps[at] = *s;
	p->count++;
}

/* Kills daemons and starts them again; returns when they are started. */
static uint32_t add_restart(struct scene_builder *b, uint32_t at_ms,
			    uint32_t targets)
{
	struct watch_step s = { .kind = WATCH_KILL,
				.at_ms = at_ms,
				.targets = targets };

	add_step(b, &s);
	s.kind = WATCH_START;
	s.at_ms += 20 + random_below(b, DOWN_MAX_MS);
	add_step(b, &s);
	return s.at_ms;
}

static void add_trouble(struct scene_builder *b, uint32_t at_ms)
{
	uint32_t all = (1U << b->limits->daemons) - 1;

	switch ((enum trouble)random_below(b, TROUBLE_COUNT)) {
	case TROUBLE_BOTH_WATCHERS:
		add_restart(b, at_ms, WATCH_WATCHERS);
		return;
	case TROUBLE_WATCHERS_IN_TURN:
		add_restart(b, at_ms, WATCH_WATCHER_1);
		add_restart(b, at_ms + random_below(b, DOWN_MAX_MS),
			    WATCH_WATCHER_2);
		return;
	case TROUBLE_WATCHERS_TWICE:
		at_ms = add_restart(b, at_ms, WATCH_WATCHERS);
		add_restart(b, at_ms + 20 + random_below(b, AGAIN_MAX_MS),
			    WATCH_WATCHERS);
		return;
	case TROUBLE_ONE_WATCHER:
		add_restart(b, at_ms, WATCH_WATCHER_1);
		return;
	case TROUBLE_ALL:
		add_restart(b, at_ms, all);
		return;
	case TROUBLE_SOME:
		add_restart(b, at_ms, 1 + random_below(b, all));
		return;
	case TROUBLE_NONE:
	case TROUBLE_COUNT:
		return;
	}
}

static uint32_t workers_of(const struct scene_builder *b, int32_t service)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < WATCH_WORKERS; i++)
		n += b->service[i] == service;
	return n;
}

/* A worker leaves, or moves to another service; one that has left comes back. A
 * service keeps two workers, as one of them may have trouble of its own. */
static void add_change(struct scene_builder *b, uint32_t at_ms)
{
	uint32_t w = random_below(b, WATCH_WORKERS);
	uint32_t how = random_below(b, 4);
	struct watch_step s = { .at_ms = at_ms, .worker = w };

	if (b->service[w] < 0) {
		s.kind = WATCH_ADD;
		s.service = random_below(b, WATCH_SERVICES);
	} else if (workers_of(b, b->service[w]) <= 2) {
		return;
	} else if (how == 0) {
		s.kind = WATCH_ADD;
		s.service = (uint32_t)(b->service[w] + 1) % WATCH_SERVICES;
	} else {
		s.kind = how == 1 ? WATCH_DRAIN : WATCH_REMOVE;
	}
	b->service[w] = s.kind == WATCH_ADD ? (int32_t)s.service : -1;
	add_step(b, &s);
}

/* A worker is removed around the time in which the watchers are down, and
 * nothing else changes after that, so that no later change makes up for it. */
static void draw_single_change(struct scene_builder *b, uint32_t at_ms)
{
	uint32_t w = random_below(b, WATCH_WORKERS);
	uint32_t removed = random_below(b, WATCH_WORKERS);
	struct watch_step s = { .kind = WATCH_ADD,
				.at_ms = at_ms,
				.worker = w,
				.service = w % WATCH_SERVICES };
	uint32_t targets = random_below(b, 3) ? WATCH_WATCHERS :
						(1U << b->limits->daemons) - 1;

	b->service[w] = (int32_t)s.service;
	add_step(b, &s);
	at_ms = add_restart(b, at_ms + SETTLE_MS, targets);
	if (!random_below(b, 3))
		add_restart(b, at_ms + 20 + random_below(b, AGAIN_MAX_MS),
			    WATCH_WATCHERS);
	if (b->service[removed] < 0 || workers_of(b, b->service[removed]) <= 2)
		return;
	b->service[removed] = -1;
	s.kind = WATCH_REMOVE;
	s.worker = removed;
	s.at_ms += SETTLE_MS + random_below(b, at_ms - s.at_ms - SETTLE_MS);
	add_step(b, &s);
}

static void draw_scene(struct scene_builder *b, uint32_t at_ms)
{
	uint32_t changes = 1 + random_below(b, CHANGES_MAX);
	uint32_t change_ms = at_ms;

	if (random_below(b, 2)) {
		draw_single_change(b, at_ms);
		return;
	}
	add_trouble(b, at_ms + CHANGE_FIRST_MS);
	for (uint32_t i = 0; i < changes; i++) {
		change_ms += random_below(b, CHANGE_SPAN_MS / changes);
		add_change(b, change_ms);
	}
	if (!random_below(b, 4))
		add_step(b, &(struct watch_step){
				    .kind = WATCH_FORGET,
				    .at_ms = at_ms +
					     random_below(b, CHANGE_SPAN_MS) });
}

void watch_plan_draw(struct watch_plan *p, const struct watch_limits *l,
		     uint64_t seed)
{
	struct scene_builder b = { .plan = p, .limits = l, .random = seed };

	memset(p, 0, sizeof(*p));
	for (uint32_t i = 0; i < WATCH_WORKERS; i++)
		b.service[i] = (int32_t)(i % WATCH_SERVICES);
	for (uint32_t at_ms = 0; at_ms + SCENE_MS <= l->length_ms;
	     at_ms += SCENE_MS)
		draw_scene(&b, at_ms);
}
