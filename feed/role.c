/**
 * @file
 * Decides whether this daemon watches the source itself.
 */
#include "feed/relay.h"

/* After this many consecutive failed fetches a daemon watches the source
 * itself: the watchers may be unreachable or cut off from the source, while
 * this daemon can reach it. */
#define FAILED_FETCHES_MAX 2

static bool is_overdue(const struct relay_role *r, int64_t now_us)
{
	return r->behind_since_us &&
	       now_us - r->behind_since_us >= RELAY_BEHIND_US;
}

bool relay_should_fetch(const struct relay_role *r, bool same_dc,
			int64_t now_us)
{
	if (same_dc || r->is_watcher)
		return is_overdue(r, now_us);
	return r->behind_since_us &&
	       now_us - r->behind_since_us >= 2 * RELAY_BEHIND_US;
}

static bool has_given_up(const struct relay_role *r, int64_t now_us)
{
	return now_us - r->behind_since_us >=
	       RELAY_BEHIND_US + RELAY_CATCH_UP_US;
}

bool relay_position_raise(uint64_t *p, uint64_t to)
{
	bool risen = feed_position_is_ahead(*p, to);

	*p = feed_position_max(*p, to);
	return risen;
}

bool relay_should_watch(const struct relay_role *r, int64_t now_us)
{
	return r->is_watcher || r->failed_fetches >= FAILED_FETCHES_MAX ||
	       !r->last_watcher_position_us ||
	       now_us - r->last_watcher_position_us > RELAY_SILENCE_US ||
	       (is_overdue(r, now_us) && !has_given_up(r, now_us));
}

static void begin_to_wait(struct relay_role *r, int64_t now_us)
{
	r->awaited_position = r->fleet_position;
	r->behind_since_us = now_us;
}

void relay_on_remote_position(struct relay_role *r, uint64_t ours,
			      uint64_t theirs, int64_t now_us)
{
	if (!feed_position_is_ahead(ours, theirs) ||
	    !feed_position_is_ahead(r->fleet_position, theirs))
		return;
	r->fleet_position = feed_position_max(r->fleet_position, theirs);
	if (!r->behind_since_us || has_given_up(r, now_us))
		begin_to_wait(r, now_us);
}

void relay_on_local_position(struct relay_role *r, uint64_t ours,
			     int64_t now_us)
{
	if (!r->behind_since_us ||
	    feed_position_is_ahead(ours, r->awaited_position))
		return;
	if (feed_position_is_ahead(ours, r->fleet_position))
		begin_to_wait(r, now_us);
	else
		r->behind_since_us = 0;
}
