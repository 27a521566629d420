/**
 * @file
 * Reduces calls to the source of configuration and workers. RELAY_WATCHERS
 * daemons of each data centre watch the source, and the first of them has it
 * confirm each second that nothing has changed. They send their position
 * (feed.h) to the others of the data centre, with the hash of what they hold,
 * its revision and the time since it was confirmed; the others fetch the state
 * from a watcher that is ahead of them or holds something else as of a later
 * revision.
 * While there is no recent confirmation, the next daemons of the data centre
 * ask the source for one. A daemon that stays behind the fleet watches the
 * source itself and also fetches the state from any member that is ahead.
 */
#ifndef FEED_RELAY_H
#define FEED_RELAY_H

#include "feed/feed.h"
#include "member/member.h"
#include "peer/peer.h"

/** Daemons of a data centre that watch the source. */
#define RELAY_WATCHERS 2

/* ---- decisions (role.c): plain state, time passed in ---- */

/** A watcher sends its position at least at this interval. */
#define RELAY_PERIOD_US (500 * US_PER_MS)
/** Without a confirmation for this time, the first watcher may be gone, cut off
 * from the source or not answered by it, and others ask the source. It confirms
 * a position every second (platform/source.c), later by its answer time of up
 * to 240 ms and the way of the datagram. */
#define RELAY_CONFIRMED_MAX_US (1600 * US_PER_MS)
/** Time that the daemons that ask in place of the first watcher have to get an
 * answer, before the next ones try: two at first, then four, eight and so on.
 * The source would not bear all daemons of a large data centre at once. */
#define RELAY_TAKEOVER_STEP_US (250 * US_PER_MS)

/** A daemon that has been behind another daemon's position for this time
 * watches the source itself, and fetches from members that are ahead: a worker
 * that leaves must be known within 2.5 s at the users' sites, but a watcher
 * that is cut off from the source notices it only after 3 s. */
#define RELAY_BEHIND_US (600 * US_PER_MS)
/** It does so until its position has caught up, at most for this time: a whole
 * list of workers may contain a change without its revision, so that the
 * position does not always show that the daemon has caught up. */
#define RELAY_CATCH_UP_US (2 * US_PER_S)

/** A position with its age. */
struct relay_position {
	uint64_t position;
	int64_t confirmed_us; /**< no change made until then is missing from the
				 position; 0: not confirmed */
};

/** Raises `p` to another position that the same daemon has reached, whose
 * reports may come in any order: a confirmation holds for every position that
 * is not lower. True if the position has risen. */
bool relay_position_raise(struct relay_position *p,
			  const struct relay_position *to);

/** What a daemon's own source has confirmed: as of `as_of` it had what the hash
 * stands for (see struct feed_known), and no change made until `confirmed_us`
 * is missing from that. */
struct relay_claim {
	uint64_t hash;
	uint32_t as_of; /**< 0: the sender is of an older version, or does not
			   know */
	int64_t confirmed_us; /**< 0: not confirmed */
};

/** True if a daemon that holds `ours` has to fetch the state of the claim's
 * sender. */
bool relay_claim_is_newer(const struct feed_known *ours,
			  const struct relay_claim *claim);

struct relay_role {
	uint32_t rank; /**< place of this daemon in the order in which those of
			  its data centre watch and ask for confirmations */
	int64_t started_us;
	int64_t confirmed_us; /**< time until which, by the claims of daemons of
				 a lower rank, nothing is missing from this
				 daemon's state; 0: never */
	struct relay_claim claim; /**< of a daemon of a lower rank, true of this
				     one once it holds the same; not confirmed:
				     none */
	uint64_t fleet_position; /**< highest position that another daemon was
				    ahead with */
	uint64_t awaited_position; /**< fleet_position at behind_since_us; later
				      ones do not restart that time, as changes
				      may come faster than it passes */
	int64_t behind_since_us; /**< since when this daemon has not reached
				    awaited_position; 0: it has */
	uint32_t failed_fetches; /**< consecutive failed fetches */
};

/** How a daemon watches the source. */
enum relay_watch {
	RELAY_WATCH_NOTHING,
	RELAY_WATCH_CHANGES,
	RELAY_WATCH_CONFIRMED, /**< changes, and a confirmation every second
				  that there are none */
};

/** When the last confirmation becomes too old for this daemon, so that it asks
 * the source for one. */
int64_t relay_takeover_us(const struct relay_role *r);
enum relay_watch relay_choose_watch(const struct relay_role *r, int64_t now_us);
/** True if this daemon must send its position to its data centre. */
bool relay_should_send(const struct relay_role *r, int64_t now_us);
/** To be called when the daemon of the data centre with the rank `rank` has
 * sent a claim, and this daemon holds `ours`. */
void relay_on_claim(struct relay_role *r, uint32_t rank,
		    const struct feed_known *ours,
		    const struct relay_claim *claim);
/** To be called when this daemon holds `ours`, after another daemon's state was
 * imported. */
void relay_on_local_state(struct relay_role *r, const struct feed_known *ours);
/** True if this daemon has been behind for so long that it fetches the state
 * from any member that is ahead. For one of another data centre (`same_dc`
 * false) daemons that are not watchers wait longer: the watchers will have the
 * state soon, and bytes between data centres are billed. */
bool relay_should_fetch(const struct relay_role *r, bool same_dc,
			int64_t now_us);
/** To be called when some daemon of the fleet has reached the position `theirs`
 * and this one `ours`. */
void relay_on_remote_position(struct relay_role *r, uint64_t ours,
			      uint64_t theirs, int64_t now_us);
/** To be called when this daemon has reached the position `ours`. */
void relay_on_local_position(struct relay_role *r, uint64_t ours,
			     int64_t now_us);

/* ---- the duty ---- */

struct relay;
/** The part of this daemon that watches the source. */
struct relay_source;

struct relay_source_ops {
	/** Starts, changes or stops the watching of the source. Called in the
	 * relay's thread. */
	void (*set_watch)(struct relay_source *source, enum relay_watch watch);
};

struct relay_source {
	const struct relay_source_ops *ops;
};

struct relay_settings {
	uint32_t ip; /**< own address to bind, IPv4, host byte order */
	uint16_t port; /**< UDP; the same on all daemons */
	uint64_t member_id;
	uint64_t incarnation;
	uint32_t dc; /**< hash of the data centre name */
	struct membership *membership;
	struct peer *peer;
	struct feed *feed;
	struct relay_source *local_source;
};

/** NULL if the socket or the thread's resources cannot be created. */
struct relay *relay_create(const struct relay_settings *s,
			   struct timer_service *timers);
enum az_status relay_start(struct relay *r);
void relay_stop(struct relay *r);
/** Only after relay_stop(), when no other thread can send messages to it any
 * more. */
void relay_destroy(struct relay *r);
/** Replaces the keys that sign and verify datagrams; without keys none are
 * sent. Any thread. */
void relay_set_keys(struct relay *r, const struct fleet_keys *keys);
/** To be called when this daemon has applied all changes up to `position`,
 * delivered by the source or another daemon. Calls from several threads may
 * come in any order. Any thread. */
void relay_set_local_position(struct relay *r, uint64_t position);
/** To be called when this daemon's own source has confirmed that no change made
 * until `confirmed_us` is missing from what it holds. Always called from the
 * same thread. */
void relay_set_confirmed(struct relay *r, const struct feed_known *known,
			 int64_t confirmed_us);
/** To be called when the member `from`, possibly of another data centre, has
 * reached `position`. Any thread. */
void relay_observe_remote_position(struct relay *r, uint64_t position,
				   const struct member *from);

#endif
