/**
 * @file
 * Rejects replayed datagrams. A set-associative table of fixed size holds a
 * sliding window for each sender's incarnation; in a full bucket the least
 * recently used window is replaced.
 */
#include <stdlib.h>

#include "member/member.h"

/* BUCKETS * WAYS windows: four for each daemon of the planned fleet of 3,700.
 */
#define BUCKETS 4096
#define WAYS 4
#define WINDOW_DATAGRAMS 64

struct window {
	uint64_t incarnation;
	uint64_t highest; /* highest sequence accepted */
	uint64_t seen_bits; /* bit i: sequence `highest` - i was seen */
	uint64_t last_use; /* value of use_count at the last use; 0: never used
			    */
};

struct replay_guard {
	uint64_t use_count; /* datagrams checked; orders the windows by last use
			     */
	struct window windows[BUCKETS][WAYS];
};

struct replay_guard *replay_guard_new(void)
{
	struct replay_guard *g = calloc(1, sizeof(*g));

	if (!g)
		abort();
	return g;
}

void replay_guard_free(struct replay_guard *g)
{
	free(g);
}

static struct window *find(struct replay_guard *g, uint64_t incarnation)
{
	struct window *w = g->windows[incarnation % BUCKETS];
	struct window *oldest = w;

	for (uint32_t i = 0; i < WAYS; i++) {
		if (w[i].last_use && w[i].incarnation == incarnation)
			return &w[i];
		if (w[i].last_use < oldest->last_use)
			oldest = &w[i];
	}
	*oldest = (struct window){ .incarnation = incarnation };
	return oldest;
}

bool replay_guard_accept(struct replay_guard *g, uint64_t incarnation,
			 uint64_t sequence)
{
	struct window *w = find(g, incarnation);
	uint64_t behind;

	if (!w->last_use || sequence > w->highest) {
		uint64_t ahead = sequence - w->highest;

		w->seen_bits = w->last_use && ahead < WINDOW_DATAGRAMS ?
				       w->seen_bits << ahead :
				       0;
		w->seen_bits |= 1;
		w->highest = sequence;
		w->last_use = ++g->use_count;
		return true;
	}
	w->last_use = ++g->use_count;
	behind = w->highest - sequence;
	if (behind >= WINDOW_DATAGRAMS || w->seen_bits & UINT64_C(1) << behind)
		return false;
	w->seen_bits |= UINT64_C(1) << behind;
	return true;
}
