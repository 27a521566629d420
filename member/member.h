/**
 * @file
 * Membership of the fleet: SWIM-like failure detection over UDP, the views that
 * the other duties read, and the choice of a cell's home.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "lib/az.h"

#define MEMBER_NAME_MAX_BYTES 32
#define MEMBER_REPORTS_MAX 32

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEFT, /**< planned stop */
	MEMBER_DEAD,
};

/** One daemon in one incarnation. */
struct member {
	uint64_t id; /**< hash of its name */
	uint64_t incarnation; /**< random at each start */
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t peer_port;
	uint16_t member_port;
	uint32_t dc; /**< hash of the data centre's name */
	uint32_t region;
	enum member_state state;
	bool stopping; /**< takes no cells */
	uint64_t successor; /**< incarnation that adopted its ledger; 0: none */
	char name[MEMBER_NAME_MAX_BYTES];
};

enum report_kind {
	REPORT_WORKER_UNHEALTHY,
	REPORT_WORKER_LEAVING,
	REPORT_CELL_BUSY,
};

/** What a home tells the entries; a hint, never an exclusion. */
struct report {
	uint64_t subject; /**< worker id or cell id */
	uint8_t kind; /**< enum report_kind */
	uint8_t severity; /**< 1 to 255, worse is higher */
};

struct view_index;

/** Immutable; members alive or suspected, sorted by id. */
struct member_view {
	int32_t references; /**< atomic */
	uint64_t version; /**< rises with each view of this process */
	uint32_t member_count;
	const struct member *members;
	uint32_t departed_count;
	const struct member
		*departed; /**< left with a successor, kept a while */
	uint32_t report_count;
	const struct report *reports; /**< of live members, sorted by subject */
	/** Members by data centre and incarnation; NULL: lookups scan. */
	const struct view_index *index;
};

void member_view_release(const struct member_view *v);
const struct member *member_view_by_id(const struct member_view *v,
				       uint64_t id);
/** The live daemon that answers for an incarnation at an address: itself, or
 * the successor that adopted its ledger. NULL if it is gone. */
const struct member *member_view_issuer(const struct member_view *v,
					uint32_t ip, uint16_t peer_port,
					uint64_t incarnation);
/** Severity of a report about `subject`; 0 if there is none. */
uint8_t member_view_severity(const struct member_view *v, uint64_t subject,
			     enum report_kind kind);

/** Rendezvous choice among live members of the data centre that are not
 * stopping, then of its region, then of the fleet. NULL if there is none. */
const struct member *member_home(const struct member_view *v, uint64_t cell,
				 uint32_t dc, uint32_t region);

/** Chooses at most `n` members of the data centre by rendezvous on `key`, best
 * first; returns how many. Stopping members are chosen last. */
uint32_t member_watchers(const struct member_view *v, uint64_t key, uint32_t dc,
			 uint32_t n, const struct member **out);

/* ---- views (view.c) ---- */

/** Copies of `members` (sorted by id) and the rest, with an index; one
 * reference. */
struct member_view *
member_view_new(uint64_t version, const struct member *members,
		uint32_t member_count, const struct member *departed,
		uint32_t departed_count, const struct report *reports,
		uint32_t report_count);
const struct member_view *member_view_retain(const struct member_view *v);
/** Indexes into `members` of one data centre; false if there is no index. */
bool member_view_dc(const struct member_view *v, uint32_t dc,
		    const uint32_t **list, uint32_t *count);

struct membership;

struct member_settings {
	struct member self;
	const char *const *seeds; /**< "ip:port" of member sockets */
	uint32_t seed_count;
	uint32_t period_ms; /**< protocol period; 0: SWIM_PERIOD_MS */
	/** Sign and check datagrams; see peer/peer.h. NULL: no MAC, for tests
	 * only. */
	const struct fleet_keys *keys;
};

struct membership *membership_create(const struct member_settings *s,
				     struct timer_service *timers,
				     apr_pool_t *pool);
enum az_status membership_start(struct membership *m);
/** Sends the last notice, then ends the thread. */
void membership_stop(struct membership *m);
/** The current view; release with member_view_release(). Any thread. */
const struct member_view *membership_view(struct membership *m);
/** Replaces this daemon's reports. Any thread. */
void membership_set_reports(struct membership *m, const struct report *list,
			    uint32_t count);
/** Announces that this daemon takes no cells and tickets any more. */
void membership_set_stopping(struct membership *m);
/** Announces the incarnation that adopted this daemon's ledger. */
void membership_set_successor(struct membership *m, uint64_t incarnation);
/** Configuration digest to spread; `on_digest` hears others' that differ. */
void membership_set_digest(struct membership *m, uint64_t digest);

struct digest_listener;

struct digest_listener_ops {
	/** Runs in the member thread. */
	void (*differs)(struct digest_listener *l, const struct member *from,
			uint64_t digest);
};

struct digest_listener {
	const struct digest_listener_ops *ops;
};

/** Keys to sign and check by from now on. Any thread. */
void membership_set_keys(struct membership *m, const struct fleet_keys *keys);
/** Further "ip:port" addresses to contact until they are known. Any thread. */
void membership_add_seeds(struct membership *m, const char *const *seeds,
			  uint32_t count);
void membership_listen_digest(struct membership *m, struct digest_listener *l);

/** Ids of VMs on the platform's list: "live" seeds, "gone" vetoes. */
void membership_set_platform_list(struct membership *m, const uint64_t *live,
				  uint32_t live_count);

#endif
