/**
 * @file
 * Reduces calls to the source of configuration and workers. Two daemons of each
 * data centre watch the source; they send their digest to the others of the
 * data centre, which fetch the state from a watcher that is ahead of them. A
 * daemon that receives no digests watches the source itself.
 */
#ifndef FEED_RELAY_H
#define FEED_RELAY_H

#include "feed/feed.h"
#include "member/member.h"
#include "peer/peer.h"

/** Daemons of a data centre that watch the source. */
#define RELAY_WATCHERS 2

/* ---- decisions (role.c): plain state, time passed in ---- */

/** A watcher sends its digest at this interval. After three missed ones in a
 * row it counts as silent. */
#define RELAY_PERIOD_US (500 * US_PER_MS)
#define RELAY_SILENCE_US (1600 * US_PER_MS)

/** A daemon that has been behind the fleet's digest for this time watches the
 * source itself, until it has caught up or for RELAY_CATCH_UP_US: a whole list
 * may bring a change without its number, so that the digest does not always
 * show that it has caught up. At the users' sites a leaving worker must be
 * known within 2.5 s, but a watcher that is cut off from the source notices it
 * only after 3 s. */
#define RELAY_BEHIND_US (600 * US_PER_MS)
#define RELAY_CATCH_UP_US (2 * US_PER_S)

struct relay_role {
	bool is_watcher; /**< chosen as a watcher of its data centre */
	uint64_t fleet_position; /**< highest digest seen in the fleet */
	int64_t behind_since_us; /**< when this daemon fell behind fleet_digest;
				    0: it is not behind */
	int64_t last_watcher_position_us; /**< last digest from a watcher that
				     reaches the source; 0: none */
	uint32_t failed_fetches; /**< consecutive failed fetches */
};

/** True if this daemon must watch the source itself. */
bool relay_should_watch(const struct relay_role *r, int64_t now_us);
/** Some daemon of the fleet has reached the digest `theirs`, this one `ours`.
 */
void relay_on_remote_position(struct relay_role *r, uint64_t ours,
			      uint64_t theirs, int64_t now_us);
/** This daemon has reached the digest `ours`. */
void relay_on_local_position(struct relay_role *r, uint64_t ours);
/** True if `theirs` is ahead of `ours`. The two halves of a digest, for
 * configuration and workers, are compared separately. */
bool relay_is_ahead(uint64_t ours, uint64_t theirs);

/* ---- the duty ---- */

struct relay;
/** The part of this daemon that watches the source. */
struct relay_source;

struct relay_source_ops {
	/** Starts or stops watching the source. Any thread. */
	void (*set_watching)(struct relay_source *source, bool watching);
	/** True if the source does not answer this daemon. */
	bool (*is_unreachable)(struct relay_source *source);
};

struct relay_source {
	const struct relay_source_ops *ops;
};

struct relay_settings {
	uint32_t ip;
	uint16_t port; /**< UDP; the same on all daemons */
	uint64_t member_id;
	uint64_t incarnation;
	uint32_t dc;
	struct membership *membership;
	struct peer *peer;
	struct feed *feed;
	struct relay_source *local_source;
};

struct relay *relay_create(const struct relay_settings *s,
			   struct timer_service *timers);
enum az_status relay_start(struct relay *r);
void relay_stop(struct relay *r);
void relay_set_keys(struct relay *r, const struct fleet_keys *keys);
/** This daemon has applied all changes up to `digest`, from the source or
 * another daemon. Any thread. */
void relay_set_local_position(struct relay *r, uint64_t digest);
/** Another daemon of the fleet, possibly of another data centre, has reached
 * `digest`. Any thread. */
void relay_observe_remote_position(struct relay *r, uint64_t digest);

#endif
