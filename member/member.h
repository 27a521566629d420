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
	REPORT_HOME_CUT, /**< subject: member_cut_subject() */
	REPORT_KIND_COUNT,
};

/** What a home tells the entries; a hint, never an exclusion. */
struct report {
	uint64_t subject; /**< worker id or cell id */
	uint8_t kind; /**< enum report_kind */
	uint8_t severity; /**< 1 to 255, worse is higher */
};

struct view_index;
struct fleet_keys;

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
uint8_t member_view_report_severity(const struct member_view *v,
				    uint64_t subject, enum report_kind kind);

/** Names a cell whose workers one incarnation cannot reach though others can.
 */
uint64_t member_cut_subject(uint64_t cell, uint64_t incarnation);
/** Rendezvous choice among live members of the data centre that are not
 * stopping and not cut off from the cell, then of its region, then of the
 * fleet. NULL if there is none. */
const struct member *member_choose_home(const struct member_view *v,
					uint64_t cell, uint32_t dc,
					uint32_t region);

/** Chooses at most `n` members of the data centre by rendezvous on `key`, best
 * first; returns how many. Stopping members are chosen last. */
uint32_t member_choose_watchers(const struct member_view *v, uint64_t key,
				uint32_t dc, uint32_t n,
				const struct member **out);

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

/* ---- replays (replay.c): plain state ---- */

/** Windows of datagram sequences by the sender's incarnation. */
struct replay_guard;

struct replay_guard *replay_guard_new(void);
void replay_guard_free(struct replay_guard *g);
/** False if this sequence was seen, or is below the window of the newest. */
bool replay_guard_accept(struct replay_guard *g, uint64_t incarnation,
			 uint64_t sequence);

/* ---- protocol (swim.c, roster.c, probe.c): plain state, time passed in ----
 *
 * Each record of a member is ordered by generation and incarnation (a restart
 * takes the generation above the one that the fleet knows), then by sequence,
 * which only the member itself raises, then by state.
 */

#define SWIM_PERIOD_MS 400
#define SWIM_DATAGRAM_MAX_BYTES 1200
#define SWIM_DATAGRAM_AIM_BYTES 600
#define SWIM_HEADER_BYTES 68
#define SWIM_UPDATES_MAX 40
#define SWIM_REPORT_LISTS_MAX 4
#define SWIM_HASHES_MAX 32
#define SWIM_PROBES_MAX 48
#define SWIM_RELAYS_MAX 64
#define SWIM_SEEDS_MAX 64
#define SWIM_DEPARTED_MAX 4096
#define SWIM_TOMBSTONES_MAX 4096
#define SWIM_OUT_MAX 64
#define SWIM_HELPERS 3
/** Saved for bursts; with 6 KB/s it makes 11 KB/s over 40 s. */
#define SWIM_BUDGET_MAX_BYTES 200000
#define SWIM_DOUBTS_MAX 8
/** Tickets live 10 minutes; their issuer must be found as long. */
#define SWIM_DEPARTED_KEEP_US (900 * US_PER_S)

enum swim_kind {
	SWIM_PING,
	SWIM_ACK,
	SWIM_PING_REQUEST, /**< asks the receiver to ping `target` */
	SWIM_RELAYED_ACK, /**< `target` answered the helper */
	SWIM_NACK, /**< `target` did not answer the helper */
	SWIM_GOSSIP, /**< updates only */
	SWIM_PAGE_REQUEST, /**< asks for members above `target` */
	SWIM_PAGE, /**< members up to `target`; `done` on the last */
	SWIM_SYNC, /**< hashes of ranges of members */
	SWIM_SYNC_DIFF, /**< members of ranges that differ */
	SWIM_KIND_COUNT,
};

enum swim_update_kind {
	UPDATE_BRIEF, /**< state of a member that the receiver should know */
	UPDATE_FULL,
	UPDATE_REPORTS,
	UPDATE_KIND_COUNT,
};

/** How far from a member its accuser was. A cut seen from afar does not
 * count for those who are near. */
enum swim_scope {
	SCOPE_SAME_DC,
	SCOPE_SAME_REGION,
	SCOPE_AFAR,
};

struct swim_update {
	enum swim_update_kind kind;
	enum swim_scope scope; /**< of MEMBER_DEAD */
	struct member member; /**< BRIEF, REPORTS: id, incarnation, state */
	uint32_t generation;
	uint32_t sequence; /**< REPORTS: version of the list */
	uint32_t age_ms; /**< FULL of MEMBER_LEFT: time since it left */
	uint8_t list; /**< REPORTS: index into `lists` */
};

struct swim_reports {
	uint32_t count;
	struct report reports[MEMBER_REPORTS_MAX];
};

/** A decoded datagram. */
struct swim_msg {
	enum swim_kind kind;
	uint64_t from;
	uint64_t from_incarnation;
	uint64_t datagram; /**< rising sequence of the sender */
	uint64_t digest; /**< of the sender's configuration */
	uint32_t nonce; /**< matches an answer to its question */
	bool unknown; /**< the sender has no record of the receiver */
	bool done;
	uint64_t target;
	uint64_t target_incarnation;
	uint32_t dc; /**< PAGE_REQUEST: only this data centre; 0: all */
	uint8_t bits; /**< SYNC: id bits that name a range */
	uint32_t first; /**< SYNC: first range */
	uint64_t departed_hash;
	uint32_t hash_count;
	uint32_t hashes[SWIM_HASHES_MAX];
	uint32_t update_count;
	struct swim_update updates[SWIM_UPDATES_MAX];
	uint32_t list_count;
	struct swim_reports lists[SWIM_REPORT_LISTS_MAX];
};

/** Messages to send; the caller empties it after each call. */
struct swim_out {
	uint32_t count;
	uint32_t refused; /**< messages that found no room */
	struct {
		uint32_t ip;
		uint16_t port;
		struct swim_msg msg;
	} list[SWIM_OUT_MAX];
};

struct swim_node;

/** Something to send a bounded number of times. */
struct swim_rumour {
	struct swim_rumour *prev;
	struct swim_rumour *next; /**< NULL: not queued */
	struct swim_node *node; /**< NULL: of a departed member */
	bool reports;
	uint32_t sent;
};

/** A member as this daemon knows it. */
struct swim_node {
	struct member member;
	uint32_t generation;
	uint32_t sequence;
	int64_t changed_us;
	int64_t known_us; /**< first record of this incarnation */
	enum swim_scope scope; /**< of MEMBER_DEAD */
	bool unshared; /**< dead to this daemon only, as it hears nobody */
	uint32_t report_version;
	uint32_t report_count;
	struct report *reports;
	struct swim_rumour state_rumour;
	struct swim_rumour report_rumour;
};

struct swim_departed {
	struct swim_rumour rumour;
	struct member member;
	uint32_t generation;
	uint32_t sequence;
	int64_t left_us;
};

/** A question to one member, and the accusation if it stays unanswered. */
struct swim_probe {
	bool active;
	bool accusing;
	bool remote;
	uint32_t nonce;
	uint64_t id;
	uint64_t incarnation;
	int64_t start_us;
	int64_t accused_us;
	int64_t next_us;
	uint32_t step;
	uint32_t nack_count; /**< distinct helpers that failed as well */
	uint64_t nacks[SWIM_HELPERS];
};

/** A ping made for another member. */
struct swim_relay {
	bool active;
	bool again; /**< the second ping went out */
	uint32_t nonce;
	uint32_t asked_nonce;
	uint64_t asker;
	uint64_t target;
	uint64_t target_incarnation;
	int64_t next_us;
};

struct swim_seed {
	uint32_t ip;
	uint16_t port;
};

/** Counts since the start. */
struct swim_counts {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t accusations;
	uint64_t declared_dead;
	uint64_t refutations;
	uint64_t pauses;
	uint64_t sync_diffs;
};

struct swim {
	int64_t period_us;
	int64_t start_us;
	int64_t now_us;
	uint64_t random;
	struct swim_node *self;
	struct swim_node **nodes; /**< sorted by id */
	uint32_t node_count;
	uint32_t node_cap;
	uint32_t live_count;
	uint32_t dc_live_count;
	uint32_t tombstone_count;
	uint32_t order_count;
	uint32_t order_cap;
	uint32_t order_next;
	uint64_t *order; /**< ids of the own data centre, shuffled */
	struct swim_departed **departed;
	uint32_t departed_count;
	uint32_t departed_cap;
	struct swim_rumour rumours; /**< ring; least sent first */
	struct swim_probe probes[SWIM_PROBES_MAX];
	struct swim_relay relays[SWIM_RELAYS_MAX];
	uint32_t rumour_count;
	uint32_t last_nonce;
	uint32_t slow_score; /**< of this observer; 0: its probes succeed */
	int64_t heard_us; /**< last datagram of another member */
	int64_t tick_us;
	int64_t period_at_us;
	int64_t probe_at_us;
	int64_t budget_bytes; /**< what rumours may still use; may be below 0 */
	int64_t budget_us; /**< when it was last filled up */
	int64_t gossip_at_us;
	int64_t quiet_until_us; /**< after a pause nobody is accused */
	int64_t announce_until_us; /**< own digest changed: gossip without
				      rumours */
	uint64_t period_number;
	struct swim_seed seeds[SWIM_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t seed_next;
	uint64_t doubts[SWIM_DOUBTS_MAX]; /**< ids to probe soon; 0: none */
	uint64_t join_cursor;
	int64_t join_at_us;
	uint32_t join_nonce;
	uint32_t doubt_next;
	uint32_t sync_first; /**< next range to compare */
	uint32_t sync_number;
	uint32_t listed_count;
	uint64_t *listed; /**< ids on the platform's list, sorted; NULL: none */
	uint64_t digest;
	uint64_t digest_heard; /**< of the last message */
	uint8_t join_phase; /**< 0: own data centre, 1: fleet, 2: done */
	bool leaving;
	bool superseded; /**< a newer incarnation has this id */
	bool changed; /**< a view made before is out of date */
	struct swim_counts counts;
};

struct swim *swim_new(const struct member *self, uint32_t period_ms,
		      uint64_t seed, int64_t now_us);
void swim_free(struct swim *s);
void swim_add_seed(struct swim *s, uint32_t ip, uint16_t port);
/** Call at least ten times a period. */
void swim_tick(struct swim *s, int64_t now_us, struct swim_out *out);
void swim_receive(struct swim *s, int64_t now_us, uint32_t ip, uint16_t port,
		  const struct swim_msg *m, struct swim_out *out);
void swim_set_reports(struct swim *s, const struct report *list,
		      uint32_t count);
void swim_set_stopping(struct swim *s);
void swim_set_successor(struct swim *s, uint64_t incarnation);
void swim_set_digest(struct swim *s, uint64_t digest);
/** `live` NULL: no list. */
void swim_set_listed(struct swim *s, const uint64_t *live, uint32_t count);
/** Tells some members that this one leaves. */
void swim_leave(struct swim *s, int64_t now_us, struct swim_out *out);
/** A view of the state now; clears `changed`. */
struct member_view *swim_view(struct swim *s, uint64_t version);
/** Bytes of memory behind `s`. */
uint64_t swim_memory_bytes(const struct swim *s);

/* roster.c */
uint64_t swim_random(struct swim *s);
uint32_t swim_random_below(struct swim *s, uint32_t n);
struct swim_node *swim_find(const struct swim *s, uint64_t id);
bool swim_is_live(const struct swim_node *n);
/** True if this daemon can only speak for itself. */
bool swim_is_deaf(const struct swim *s);
enum swim_scope swim_scope_of(const struct swim *s, const struct member *m);
/** Merges a record; true if it was news. */
bool swim_apply(struct swim *s, const struct swim_msg *m,
		const struct swim_update *u);
/** The own record if it is later than the update; NULL otherwise. */
const struct swim_node *swim_newer(const struct swim *s,
				   const struct swim_update *u);
/** Index in `nodes` of the first id not below `id`. */
uint32_t swim_position(const struct swim *s, uint64_t id);
/** Smallest b with 2^b >= n. */
uint32_t swim_log2(uint32_t n);
void swim_set_state(struct swim *s, struct swim_node *n, enum member_state st,
		    bool spread);
/** Raises the own sequence and spreads the own record. */
void swim_renew_self(struct swim *s);
void swim_expire(struct swim *s);
/** Adds what waits to be spread, up to `aim_bytes` in all. */
void swim_fill(struct swim *s, struct swim_msg *m, uint32_t aim_bytes);
uint32_t swim_msg_bytes(const struct swim_msg *m);
bool swim_add_state(struct swim *s, struct swim_msg *m,
		    const struct swim_node *n, bool full, uint32_t max_bytes);
bool swim_add_reports(struct swim_msg *m, const struct swim_node *n,
		      uint32_t max_bytes);
bool swim_add_departed(struct swim *s, struct swim_msg *m,
		       const struct swim_departed *d, uint32_t max_bytes);
/** Live member of the own data centre but for `not`; NULL if none. */
struct swim_node *swim_random_local(struct swim *s, uint64_t not );
/** Live member of another data centre but for `not`; NULL if none. */
struct swim_node *swim_random_remote(struct swim *s, uint64_t not );

/* probe.c */
void swim_probe_start(struct swim *s, struct swim_node *n,
		      struct swim_out *out);
/** Probes one member that others, farther away, hold dead. */
void swim_probe_doubt(struct swim *s, struct swim_out *out);
void swim_probe_tick(struct swim *s, struct swim_out *out);
void swim_probe_reset(struct swim *s);
void swim_relay_start(struct swim *s, const struct swim_msg *m,
		      struct swim_out *out);
void swim_on_ack(struct swim *s, const struct swim_msg *m,
		 struct swim_out *out);
void swim_on_nack(struct swim *s, const struct swim_msg *m);
bool swim_is_listed(const struct swim *s, uint64_t id);

/** Room for a message to a member, with sender and digest set; NULL if full. */
struct swim_msg *swim_emit(struct swim *s, struct swim_out *out,
			   const struct swim_node *to, enum swim_kind kind);
struct swim_msg *swim_emit_to(struct swim *s, struct swim_out *out, uint32_t ip,
			      uint16_t port, enum swim_kind kind);
/** Fills the rest of a message with what waits to be spread. */
void swim_finish(struct swim *s, struct swim_msg *m);

/* ---- encoding (wire.c) ---- */

/** Encodes and signs; returns the length, 0 if it does not fit. */
uint32_t wire_encode(const struct swim_msg *m, const struct fleet_keys *keys,
		     uint8_t out[SWIM_DATAGRAM_MAX_BYTES]);
/** AZ_INVALID if malformed, AZ_DENIED if the MAC is wrong. */
enum az_status wire_decode(const uint8_t *data, uint32_t len_bytes,
			   const struct fleet_keys *keys, struct swim_msg *out);

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

/** An id or incarnation of 0 is made here; a member_port of 0 takes a free
 * port. NULL on bad settings. */
struct membership *membership_create(const struct member_settings *s,
				     struct timer_service *timers,
				     apr_pool_t *pool);
enum az_status membership_start(struct membership *m);
/** True once the own data centre's members are known, or no seed has answered
 * for 3 s. Any thread. */
bool membership_joined(struct membership *m);
/** Sends the last notice, then ends the thread. */
void membership_stop(struct membership *m);
/** Frees a stopped membership, once no other thread uses it. */
void membership_destroy(struct membership *m);
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
	void (*on_mismatch)(struct digest_listener *l,
			    const struct member *from, uint64_t digest);
};

struct digest_listener {
	const struct digest_listener_ops *ops;
};

/** Keys to sign and check by from now on. Any thread. */
void membership_set_keys(struct membership *m, const struct fleet_keys *keys);
/** Further "ip:port" addresses to contact until they are known. Any thread. */
enum az_status membership_add_seeds(struct membership *m,
				    const char *const *seeds, uint32_t count);
void membership_set_digest_listener(struct membership *m,
				    struct digest_listener *l);

/** Ids of VMs on the platform's list: "live" seeds, "gone" vetoes. */
void membership_set_platform_list(struct membership *m, const uint64_t *live,
				  uint32_t live_count);

#endif
