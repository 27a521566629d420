/**
 * @file
 * Spares calls to the source: two daemons of a data centre watch it and tell
 * the others of their data centre, which fetch what is new from them. A daemon
 * that hears nothing watches for itself.
 */
#ifndef FEED_RELAY_H
#define FEED_RELAY_H

#include "feed/feed.h"
#include "member/member.h"
#include "peer/peer.h"

/** Daemons of a data centre that watch the source. */
#define RELAY_WATCHERS 2

/* ---- decisions (role.c): plain state, time passed in ---- */

/** News are repeated this often; three that are missed in a row are silence. */
#define RELAY_PERIOD_US (500 * US_PER_MS)
#define RELAY_SILENCE_US (1600 * US_PER_MS)

/** A daemon that is told less than the fleet knows for so long watches for
 * itself, until it has caught up or for RELAY_CATCH_UP_US: a list may bring a
 * change without its number. The time in which a leaving worker's news have to
 * be known is 2.5 s on the users' sites, and a watcher that was cut off from
 * the source finds out only after 3 s. */
#define RELAY_BEHIND_US (600 * US_PER_MS)
#define RELAY_CATCH_UP_US (2 * US_PER_S)

struct relay_role {
	bool chosen; /**< one of the watchers of its data centre */
	uint64_t hinted; /**< most that others were heard to know */
	int64_t hinted_us; /**< since when this daemon lacks it; 0: it does not
			    */
	int64_t heard_us; /**< last news of a watcher that reaches the source */
	uint32_t failures; /**< fetches that failed in a row */
};

/** True if this daemon is to watch the source itself. */
bool relay_watches(const struct relay_role *r, int64_t now_us);
/** The fleet knows `theirs`, this daemon `ours`. */
void relay_hear_hint(struct relay_role *r, uint64_t ours, uint64_t theirs,
		     int64_t now_us);
/** This daemon has got as far as `ours`. */
void relay_catch_up(struct relay_role *r, uint64_t ours);
/** True if `theirs` tells of anything that `ours` does not: the halves of a
 * digest count apart. */
bool relay_is_news(uint64_t ours, uint64_t theirs);

/* ---- the duty ---- */

struct relay;
struct relay_source;

struct relay_source_ops {
	/** Starts or stops watching the source. Any thread. */
	void (*set_watching)(struct relay_source *w, bool active);
	/** The source does not answer this daemon. */
	bool (*is_unreachable)(struct relay_source *w);
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
/** The source or another daemon has told this daemon up to `digest`. Any
 * thread. */
void relay_set_local_digest(struct relay *r, uint64_t digest);
/** A daemon of the fleet, perhaps of another data centre, has got as far as
 * `digest`. Any thread. */
void relay_observe_remote_digest(struct relay *r, uint64_t digest);

#endif
