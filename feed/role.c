/**
 * @file
 * Decides whether and how this daemon watches the source itself.
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

static bool is_watcher(const struct relay_role *r)
{
	return r->rank < RELAY_WATCHERS;
}

bool relay_should_fetch(const struct relay_role *r, bool same_dc,
			int64_t now_us)
{
	if (same_dc || is_watcher(r))
		return is_overdue(r, now_us);
	return r->behind_since_us &&
	       now_us - r->behind_since_us >= 2 * RELAY_BEHIND_US;
}

static bool has_given_up(const struct relay_role *r, int64_t now_us)
{
	return now_us - r->behind_since_us >=
	       RELAY_BEHIND_US + RELAY_CATCH_UP_US;
}

bool relay_position_raise(struct relay_position *p,
			  const struct relay_position *to)
{
	bool risen = feed_position_is_ahead(p->position, to->position);

	p->position = feed_position_max(p->position, to->position);
	if (to->confirmed_us > p->confirmed_us)
		p->confirmed_us = to->confirmed_us;
	return risen;
}

/* Rank 0 asks always, ranks 1 and 2 come first in its place, then 3 to 6, 7 to
 * 14 and so on. A daemon that has just started is not needed until then either.
 */
int64_t relay_takeover_us(const struct relay_role *r)
{
	int64_t steps = 0;

	for (uint64_t n = (uint64_t)r->rank + 1; n >= 4; n /= 2)
		steps++;
	return (r->confirmed_us ? r->confirmed_us : r->started_us) +
	       RELAY_CONFIRMED_MAX_US + steps * RELAY_TAKEOVER_STEP_US;
}

static bool needs_confirmation(const struct relay_role *r, int64_t now_us)
{
	return !r->rank || now_us > relay_takeover_us(r);
}

enum relay_watch relay_choose_watch(const struct relay_role *r, int64_t now_us)
{
	if (needs_confirmation(r, now_us))
		return RELAY_WATCH_CONFIRMED;
	if (is_watcher(r) || r->failed_fetches >= FAILED_FETCHES_MAX ||
	    !r->confirmed_us ||
	    (is_overdue(r, now_us) && !has_given_up(r, now_us)))
		return RELAY_WATCH_CHANGES;
	return RELAY_WATCH_NOTHING;
}

bool relay_should_send(const struct relay_role *r, int64_t now_us)
{
	return is_watcher(r) || needs_confirmation(r, now_us);
}

static void confirm(struct relay_role *r, int64_t confirmed_us)
{
	if (confirmed_us > r->confirmed_us)
		r->confirmed_us = confirmed_us;
}

bool relay_claim_is_newer(const struct feed_known *ours,
			  const struct relay_claim *claim)
{
	return claim->hash != ours->hash &&
	       feed_revision_is_ahead(ours->as_of, claim->as_of);
}

/* Only claims of daemons of a lower rank count: two daemons that ask in place
 * of the first watcher would each stop because of the other. A claim is true of
 * a daemon that holds the same only: positions do not show it, as that of a
 * daemon which has just started lacks the removals that it did not see. The
 * first claim that is ahead of this daemon is kept until its state has been
 * fetched, as later ones may come faster. */
void relay_on_claim(struct relay_role *r, uint32_t rank,
		    const struct feed_known *ours,
		    const struct relay_claim *claim)
{
	if (rank >= r->rank || !claim->confirmed_us || !claim->as_of)
		return;
	if (claim->hash == ours->hash)
		confirm(r, claim->confirmed_us);
	else if (!relay_claim_is_newer(ours, claim))
		return;
	else if (!r->claim.confirmed_us ||
		 (claim->hash == r->claim.hash &&
		  claim->confirmed_us > r->claim.confirmed_us))
		r->claim = *claim;
}

void relay_on_local_state(struct relay_role *r, const struct feed_known *ours)
{
	if (r->claim.confirmed_us && r->claim.hash == ours->hash)
		confirm(r, r->claim.confirmed_us);
	else if (relay_claim_is_newer(ours, &r->claim))
		return;
	r->claim = (struct relay_claim){ 0 };
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
