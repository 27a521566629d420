/**
 * @file
 * Queue of grant requests by rank. Higher ranks go first; each lower rank is
 * guaranteed a share of the dispatches.
 */
#include <string.h>

#include "home/home.h"

/* Credit that a rank needs, and pays, for a dispatch ahead of higher ranks.
 * Each dispatch adds the share_percent of the ranks that wait. */
#define CREDIT_PER_DISPATCH 100
/* The estimated wait may be too long by this factor: an item is refused early
 * only if it misses its deadline even when the estimate is divided by it. */
#define WAIT_TOLERANCE_PERCENT 130
/* Weight of a new sample of the time between dispatches: 1/16. */
#define SMOOTH_SHIFT 4

void rank_queue_init(struct rank_queue *q, const struct queue_settings *s)
{
	memset(q, 0, sizeof(*q));
	q->settings = *s;
}

uint32_t rank_queue_depth(const struct rank_queue *q)
{
	uint32_t n = 0;

	for (uint32_t r = 0; r < RANK_COUNT; r++)
		n += q->depth[r];
	return n;
}

/* All items of the same or a higher rank are dispatched first, at a rate that
 * is reduced by the shares of the lower ranks that wait. */
int64_t rank_queue_wait_us(const struct rank_queue *q, enum rank r)
{
	int64_t ahead = 0;
	int64_t share_percent = 100;

	for (uint32_t i = 0; i < RANK_COUNT; i++) {
		if (i <= r)
			ahead += q->depth[i];
		else if (q->depth[i])
			share_percent -= q->settings.share_percent[i];
	}
	if (share_percent < 1)
		share_percent = 1;
	return ahead * q->dispatch_interval_us * 100 / share_percent;
}

/* Time from which items are dispatched. */
static int64_t dispatch_from_us(const struct rank_queue *q, int64_t now_us)
{
	return q->blocked_until_us > now_us ? q->blocked_until_us : now_us;
}

enum error_kind rank_queue_push(struct rank_queue *q, struct queue_item *i,
				int64_t now_us)
{
	enum rank r = i->rank;

	if (i->deadline_us <= now_us)
		return ERR_DEADLINE_NOT_RUN;
	if (q->depth[r] >= q->settings.limit[r] ||
	    dispatch_from_us(q, now_us) + rank_queue_wait_us(q, r) >
		    i->deadline_us)
		return ERR_OVERLOADED;
	i->enqueued_us = now_us;
	i->next = NULL;
	if (q->tail[r])
		q->tail[r]->next = i;
	else
		q->head[r] = i;
	q->tail[r] = i;
	q->depth[r]++;
	return ERR_NONE;
}

/* `prev` is the item before `i`, NULL if it is the head. */
static void unlink_item(struct rank_queue *q, struct queue_item *prev,
			struct queue_item *i)
{
	enum rank r = i->rank;

	if (prev)
		prev->next = i->next;
	else
		q->head[r] = i->next;
	if (q->tail[r] == i)
		q->tail[r] = prev;
	i->next = NULL;
	if (!--q->depth[r])
		q->credit[r] = 0;
}

bool rank_queue_remove(struct rank_queue *q, struct queue_item *item)
{
	struct queue_item *prev = NULL;

	for (struct queue_item *i = q->head[item->rank]; i; i = i->next) {
		if (i == item) {
			unlink_item(q, prev, i);
			return true;
		}
		prev = i;
	}
	return false;
}

/* Moves items past their deadline to the list `expired`. Examines the first
 * QUEUE_SCAN_MAX items of each rank. */
static void unlink_expired(struct rank_queue *q, int64_t now_us,
			   struct queue_item **expired)
{
	for (uint32_t r = 0; r < RANK_COUNT; r++) {
		struct queue_item *prev = NULL;
		struct queue_item *i = q->head[r];
		uint32_t scanned = 0;

		while (i && scanned++ < QUEUE_SCAN_MAX) {
			struct queue_item *next = i->next;

			if (i->deadline_us <= now_us) {
				unlink_item(q, prev, i);
				i->next = *expired;
				*expired = i;
			} else {
				prev = i;
			}
			i = next;
		}
	}
}

/* Takes the first item of a rank that `fits` accepts; NULL accepts all. */
static struct queue_item *
take_fitting(struct rank_queue *q, enum rank r,
	     bool (*fits)(const struct queue_item *i, void *arg), void *arg)
{
	struct queue_item *prev = NULL;
	struct queue_item *i = q->head[r];

	for (uint32_t n = 0; i && n < QUEUE_SCAN_MAX; n++) {
		if (!fits || fits(i, arg)) {
			unlink_item(q, prev, i);
			return i;
		}
		prev = i;
		i = i->next;
	}
	return NULL;
}

/* Adds the time since the last dispatch to the smoothed interval, but only
 * while more items wait: with an empty queue it is the time between arrivals
 * and not between possible dispatches. */
static void record_dispatch(struct rank_queue *q, int64_t now_us)
{
	if (q->last_dispatch_us && rank_queue_depth(q)) {
		int64_t gap_us = now_us - q->last_dispatch_us;

		q->dispatch_interval_us +=
			(gap_us - q->dispatch_interval_us) >> SMOOTH_SHIFT;
	}
	q->last_dispatch_us = now_us;
}

/* Takes an item of a rank that has the credit for a dispatch. The lowest such
 * rank goes first, as it waits longest. */
static struct queue_item *
take_by_share(struct rank_queue *q,
	      bool (*fits)(const struct queue_item *i, void *arg), void *arg)
{
	for (int32_t r = RANK_COUNT - 1; r > RANK_URGENT; r--) {
		struct queue_item *i;

		if (!q->depth[r] || q->credit[r] < CREDIT_PER_DISPATCH)
			continue;
		i = take_fitting(q, (enum rank)r, fits, arg);
		if (i) {
			q->credit[r] -= CREDIT_PER_DISPATCH;
			return i;
		}
	}
	return NULL;
}

struct queue_item *rank_queue_pop(struct rank_queue *q, int64_t now_us,
				  bool (*fits)(const struct queue_item *i,
					       void *arg),
				  void *arg, struct queue_item **expired)
{
	struct queue_item *i;

	unlink_expired(q, now_us, expired);
	i = take_by_share(q, fits, arg);
	for (uint32_t r = 0; r < RANK_COUNT && !i; r++)
		i = take_fitting(q, (enum rank)r, fits, arg);
	if (!i)
		return NULL;
	for (uint32_t r = RANK_URGENT + 1; r < RANK_COUNT; r++)
		if (q->depth[r] && q->credit[r] < 2 * CREDIT_PER_DISPATCH)
			q->credit[r] += q->settings.share_percent[r];
	record_dispatch(q, now_us);
	return i;
}

struct queue_item *rank_queue_take_unservable(struct rank_queue *q,
					      int64_t now_us)
{
	struct queue_item *unservable = NULL;
	int64_t from_us = dispatch_from_us(q, now_us);

	for (uint32_t r = 0; r < RANK_COUNT; r++) {
		struct queue_item *prev = NULL;
		struct queue_item *i = q->head[r];
		/* Estimated wait for the higher ranks alone. The loop adds the
		 * items of this rank that stay. */
		int64_t wait_us =
			rank_queue_wait_us(q, (enum rank)r) -
			(int64_t)q->depth[r] * q->dispatch_interval_us;

		while (i) {
			struct queue_item *next = i->next;

			wait_us += q->dispatch_interval_us;
			if (from_us + wait_us * 100 / WAIT_TOLERANCE_PERCENT >
			    i->deadline_us) {
				unlink_item(q, prev, i);
				i->next = unservable;
				unservable = i;
				wait_us -= q->dispatch_interval_us;
			} else {
				prev = i;
			}
			i = next;
		}
	}
	return unservable;
}
