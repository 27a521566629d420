/**
 * @file
 * Fleet membership: failure detection over UDP with the SWIM protocol,
 * immutable views of the members for the other duties, and the choice of each
 * cell's home (for cells and homes see home/home.h).
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "lib/az.h"

#define MEMBER_NAME_MAX_BYTES 32
/** Reports of one member at a time. */
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
	uint64_t incarnation; /**< random; new at each start */
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t peer_port;
	uint16_t member_port;
	uint32_t dc; /**< hash of the data centre name */
	uint32_t region; /**< hash of the region name */
	enum member_state state;
	bool stopping; /**< draining: accepts no further cells */
	uint64_t successor; /**< incarnation of the daemon that adopted its
			       ticket ledger; 0: none */
	char name[MEMBER_NAME_MAX_BYTES];
};

enum member_report_kind {
	REPORT_WORKER_UNHEALTHY, /**< subject: worker id */
	REPORT_WORKER_LEAVING, /**< subject: worker id */
	REPORT_CELL_BUSY, /**< subject: cell id */
	REPORT_HOME_CUT_OFF, /**< subject: member_cut_off_subject() */
	REPORT_KIND_COUNT,
};

/** What a daemon reports to the others by gossip. Reports of workers and cells
 * are hints: nothing is excluded because of one alone. */
struct member_report {
	uint64_t subject; /**< what the report is about; see the kinds */
	uint8_t kind; /**< enum member_report_kind */
	uint8_t severity; /**< 1 to 255, worse is higher */
};

struct view_index;
struct fleet_keys;

/** An immutable snapshot of the membership. */
struct member_view {
	int32_t references; /**< atomic */
	uint64_t version; /**< increases with each view of this process */
	uint32_t member_count;
	const struct member *members; /**< alive or suspect, sorted by id */
	uint32_t departed_count;
	const struct member
		*departed; /**< members that left after a successor adopted
			      their ledger; kept for SWIM_DEPARTED_KEEP_US */
	uint32_t report_count;
	const struct member_report
		*reports; /**< of live members, sorted by subject */
	/** Members by data centre and by incarnation. If NULL, lookups scan
	 * the whole array. */
	const struct view_index *index;
};

/** Drops a reference, and frees the view with the last one; NULL is allowed. */
void member_view_release(const struct member_view *v);
const struct member *member_view_by_id(const struct member_view *v,
				       uint64_t id);
/** The live daemon that answers for tickets issued by `incarnation` at this
 * address: that daemon itself, or the successor that adopted its ledger. NULL
 * if there is none. */
const struct member *member_view_issuer(const struct member_view *v,
					uint32_t ip, uint16_t peer_port,
					uint64_t incarnation);
/** Highest severity among the reports of this kind about `subject`; 0 if there
 * are none. */
uint8_t member_view_report_severity(const struct member_view *v,
				    uint64_t subject,
				    enum member_report_kind kind);

/** Subject of a REPORT_HOME_CUT_OFF report: the home with this incarnation
 * cannot reach the workers of the cell, while other daemons can. */
uint64_t member_cut_off_subject(uint64_t cell, uint64_t incarnation);
/** Chooses the home of a cell by rendezvous hashing among the live members that
 * are not stopping and not cut off from the cell: those of the data centre
 * first, then of the region, then of the whole fleet. NULL if there is none. */
const struct member *member_choose_home(const struct member_view *v,
					uint64_t cell, uint32_t dc,
					uint32_t region);

/** Place of the member among those of its data centre, 0 for the first, by
 * rendezvous hashing with `key`. Stopping members come last. feed/ chooses so
 * the daemons that watch the source. */
uint32_t member_watcher_rank(const struct member_view *v, uint64_t key,
			     const struct member *m);

/* ---- views (view.c) ---- */

/** Copies the arrays and builds the index; `members` must be sorted by id. The
 * caller owns one reference. */
struct member_view *
member_view_new(uint64_t version, const struct member *members,
		uint32_t member_count, const struct member *departed,
		uint32_t departed_count, const struct member_report *reports,
		uint32_t report_count);
/** Adds a reference; returns `v`. */
const struct member_view *member_view_retain(const struct member_view *v);
/** Sets `list` to the indexes in `members` of the members of one data centre;
 * false if the view was built without `index`. */
bool member_view_dc(const struct member_view *v, uint32_t dc,
		    const uint32_t **list, uint32_t *count);

/* ---- replay protection (replay.c): plain state ---- */

/** Sliding windows of datagram sequence numbers, one for each sender's
 * incarnation. */
struct replay_guard;

struct replay_guard *replay_guard_new(void);
void replay_guard_free(struct replay_guard *g);
/** False if a datagram with this sequence number was accepted before, or if the
 * number is below the window, so that this is not known. */
bool replay_guard_accept(struct replay_guard *g, uint64_t incarnation,
			 uint64_t sequence);

/* ---- protocol (swim.c, roster.c, probe.c): plain state, time passed in ----
 *
 * Of two records of a member the later one wins. Records are ordered by
 * generation, then incarnation (a restarted member takes the generation above
 * * the one that the fleet knows), then by the sequence number, which only the
 * member itself increments, then by state. A record with MEMBER_LEFT is the
 * last one of its incarnation, whatever its sequence number is.
 */

/** Default of the protocol period. */
#define SWIM_PERIOD_MS 400
#define SWIM_DATAGRAM_MAX_BYTES 1200
/** Size up to which updates are added to a datagram while few are queued. */
#define SWIM_DATAGRAM_TARGET_BYTES 600
/** Encoded size of a message without the fields of its kind and without
 * updates. */
#define SWIM_HEADER_BYTES 68
/* Limits of one message. */
#define SWIM_UPDATES_MAX 40
#define SWIM_REPORT_LISTS_MAX 4
#define SWIM_HASHES_MAX 32
/* Limits of one daemon. */
#define SWIM_PROBES_MAX 48
#define SWIM_INDIRECT_PINGS_MAX 64
#define SWIM_SEEDS_MAX 64
#define SWIM_DEPARTED_MAX 4096
/** Records of members that are dead or left. */
#define SWIM_TOMBSTONES_MAX 4096
#define SWIM_OUTBOX_MAX 64
/** Members that are asked to ping a member that does not answer. */
#define SWIM_HELPERS 3
/** Unused gossip budget that may be saved for bursts; together with the regular
 * budget of 6 KB/s (swim.c) it allows 11 KB/s over 40 s. */
#define SWIM_BUDGET_MAX_BYTES 200000
/** Members that may wait for an extra probe; see `recheck_ids`. */
#define SWIM_RECHECKS_MAX 8
/** For how long the successor of a member that left can be looked up. Tickets
 * are valid for 10 minutes, and their issuer's successor must be found for at
 * least that long. */
#define SWIM_DEPARTED_KEEP_US (900 * US_PER_S)

enum swim_kind {
	SWIM_PING,
	SWIM_ACK,
	SWIM_PING_REQUEST, /**< asks the receiver (a helper) to ping `target` */
	SWIM_INDIRECT_ACK, /**< `target` answered the helper's ping */
	SWIM_NACK, /**< `target` did not answer the helper's ping */
	SWIM_GOSSIP, /**< updates only */
	SWIM_PAGE_REQUEST, /**< sent while joining; asks for members with ids
			      above `target` */
	SWIM_PAGE, /**< members with ids up to `target`; `last_page` on the last
		    */
	SWIM_SYNC, /**< hashes of ranges of member ids */
	SWIM_SYNC_REPLY, /**< members of the ranges whose hashes differ */
	SWIM_KIND_COUNT,
};

enum swim_update_kind {
	UPDATE_BRIEF, /**< state only, without attributes; the receiver should
			 know the member */
	UPDATE_FULL, /**< state and attributes */
	UPDATE_REPORTS, /**< the member's whole list of reports */
	UPDATE_KIND_COUNT,
};

/** How far a daemon that declares a member dead is from that member. A distant
 * daemon may only have lost its network path to the member, so that daemons
 * closer to it do not accept the record, but probe the member themselves. */
enum swim_scope {
	SCOPE_SAME_DC,
	SCOPE_SAME_REGION,
	SCOPE_OTHER_REGION,
};

struct swim_update {
	enum swim_update_kind kind;
	enum swim_scope
		scope; /**< state MEMBER_DEAD: of the daemon that declared it */
	struct member member; /**< BRIEF, REPORTS: only id, incarnation and
				 state are used */
	uint32_t generation;
	uint32_t sequence; /**< of the record; REPORTS: version of the list */
	uint32_t age_ms; /**< FULL of MEMBER_LEFT: time since it left */
	uint8_t report_list; /**< REPORTS: index into `report_lists` of the
				message */
};

struct swim_reports {
	uint32_t count;
	struct member_report reports[MEMBER_REPORTS_MAX];
};

/** A decoded datagram. */
struct swim_msg {
	enum swim_kind kind;
	uint64_t sender_id;
	uint64_t sender_incarnation;
	uint64_t datagram_sequence; /**< sequence number of the sender's
				       datagrams */
	uint64_t digest; /**< of the sender's configuration; 0: none */
	uint32_t nonce; /**< copied from a request into its answer */
	bool receiver_unknown; /**< the sender has no record of the receiver's
				  incarnation */
	bool last_page;
	uint64_t target; /**< a member id; see enum swim_kind */
	uint64_t target_incarnation;
	uint32_t dc; /**< PAGE_REQUEST: only this data centre; 0: all */
	uint8_t range_bits; /**< SYNC: number of leading id bits that select a
			       range */
	uint32_t first_range; /**< SYNC: first range */
	uint64_t departed_hash; /**< SYNC: hash of the records of departed
				   members */
	uint32_t hash_count;
	uint32_t hashes[SWIM_HASHES_MAX]; /**< SYNC: of consecutive ranges from
					     `first_range` on */
	uint32_t update_count;
	struct swim_update updates[SWIM_UPDATES_MAX];
	uint32_t report_list_count;
	struct swim_reports report_lists[SWIM_REPORT_LISTS_MAX];
};

/** Messages to send. After each call of a swim function its caller sends them
 * and empties the outbox. */
struct swim_outbox {
	uint32_t count;
	uint32_t dropped; /**< messages that did not fit */
	struct {
		uint32_t ip;
		uint16_t port;
		struct swim_msg msg;
	} entries[SWIM_OUTBOX_MAX];
};

struct swim_node;

/** An update queued for gossip: it is piggybacked on a bounded number of
 * messages. */
struct swim_rumour {
	struct swim_rumour *prev;
	struct swim_rumour *next; /**< NULL: not queued */
	struct swim_node *node; /**< NULL: part of a struct swim_departed */
	bool of_reports; /**< carries the node's reports, not its state */
	uint32_t sent_count; /**< messages that carried it so far */
};

/** A member as this daemon knows it. */
struct swim_node {
	struct member member;
	uint32_t generation;
	uint32_t sequence;
	int64_t changed_us; /**< when the state was last set */
	int64_t first_seen_us; /**< when the first record of this incarnation
				  was received */
	enum swim_scope
		scope; /**< state MEMBER_DEAD: of the daemon that declared it */
	bool dead_here_only; /**< declared dead while this daemon was isolated,
				and not gossiped */
	uint32_t report_version;
	uint32_t report_count;
	struct member_report *reports;
	struct swim_rumour state_rumour;
	struct swim_rumour report_rumour;
};

/** A member that left after a successor adopted its ledger. */
struct swim_departed {
	struct swim_rumour rumour;
	struct member member;
	uint32_t generation;
	uint32_t sequence;
	int64_t left_us;
};

/** A probe of one member, and the suspicion if it stays unanswered. */
struct swim_probe {
	bool active;
	bool suspecting; /**< the attempts failed; the suspicion timeout is
			    running */
	bool remote; /**< the member is in another data centre */
	uint32_t nonce;
	uint64_t id;
	uint64_t incarnation;
	int64_t start_us;
	int64_t suspected_us;
	int64_t next_attempt_us;
	uint32_t attempt_count;
	uint32_t nack_count; /**< distinct helpers that got no answer either,
				since the probe or the suspicion started */
	uint64_t nack_ids[SWIM_HELPERS];
};

/** A ping sent on behalf of another member, as its helper. */
struct swim_indirect_ping {
	bool active;
	bool retried; /**< the second ping was sent */
	uint32_t nonce; /**< of the helper's own pings */
	uint32_t request_nonce; /**< of the SWIM_PING_REQUEST */
	uint64_t requester; /**< member id */
	uint64_t target; /**< member id */
	uint64_t target_incarnation;
	int64_t next_attempt_us;
};

struct swim_seed {
	uint32_t ip;
	uint16_t port;
};

/** Event counts since the start. */
struct swim_stats {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t suspicions; /**< raised by this daemon's own probes */
	uint64_t declared_dead; /**< by this daemon */
	uint64_t refutations; /**< by this daemon, of suspicions about itself */
	uint64_t pauses; /**< times that this process was paused */
	uint64_t sync_diffs; /**< SYNC messages that showed a difference */
};

struct swim {
	int64_t period_us;
	int64_t start_us;
	int64_t now_us;
	uint64_t random; /**< state of the random number generator */
	struct swim_node *self;
	struct swim_node **nodes; /**< sorted by id */
	uint32_t node_count;
	uint32_t node_cap;
	uint32_t live_count; /**< nodes alive or suspect, with this daemon */
	uint32_t dc_live_count; /**< those of this daemon's data centre */
	uint32_t tombstone_count; /**< nodes dead or left */
	uint32_t probe_order_count;
	uint32_t probe_order_cap;
	uint32_t probe_order_next;
	uint64_t *
		probe_order; /**< ids of the other live members of this daemon's
				data centre in shuffled order, for probing */
	struct swim_departed **departed;
	uint32_t departed_count;
	uint32_t departed_cap;
	struct swim_rumour rumours; /**< list head; least often sent first */
	struct swim_probe probes[SWIM_PROBES_MAX];
	struct swim_indirect_ping indirect_pings[SWIM_INDIRECT_PINGS_MAX];
	uint32_t rumour_count;
	uint32_t last_nonce;
	uint32_t slow_score; /**< lengthens this daemon's timeouts while its own
				probes fail, like the local health multiplier of
				Lifeguard; 0: healthy */
	int64_t received_us; /**< when the last datagram of another member
				arrived */
	int64_t tick_us; /**< when swim_tick() was last called */
	int64_t next_period_us;
	int64_t next_probe_us;
	int64_t budget_bytes; /**< bytes that gossip may still use; may be
				 negative */
	int64_t budget_us; /**< when budget_bytes was last refilled */
	int64_t next_gossip_us;
	int64_t no_suspicion_until_us; /**< set after this process was paused */
	int64_t digest_gossip_until_us; /**< until then gossip is sent even
					   without rumours, as the own digest
					   has changed */
	uint64_t period_number; /**< protocol periods so far */
	struct swim_seed seeds[SWIM_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t seed_next;
	uint64_t recheck_ids[SWIM_RECHECKS_MAX]; /**< members to probe at the
						    next ticks, one at each; 0:
						    none */
	uint64_t join_cursor; /**< ids up to this one were received */
	int64_t next_join_us;
	uint32_t join_nonce; /**< of the last PAGE_REQUEST; 0: answered */
	uint32_t recheck_next; /**< index of the next id to store in
				  recheck_ids, modulo its size */
	uint32_t sync_next_range; /**< first range of the next SYNC */
	uint32_t sync_round; /**< number of SYNC rounds so far */
	uint32_t platform_id_count;
	uint64_t *platform_ids; /**< ids of the platform's list of VMs, sorted;
				   NULL: no list */
	uint64_t digest; /**< of this daemon's configuration; 0: none */
	uint64_t received_digest; /**< digest in the last message received */
	uint8_t join_phase; /**< members requested: 0: of the own data centre,
			       1: of the fleet; 2: joined */
	bool leaving; /**< swim_leave() was called */
	bool superseded; /**< a newer incarnation uses this id */
	bool view_stale; /**< the members have changed since the last
			    swim_view() */
	struct swim_stats stats;
};

/** `period_ms` 0: SWIM_PERIOD_MS; `seed` is that of the random numbers. */
struct swim *swim_new(const struct member *self, uint32_t period_ms,
		      uint64_t seed, int64_t now_us);
void swim_free(struct swim *s);
void swim_add_seed(struct swim *s, uint32_t ip, uint16_t port);
/** Does what is due at this time; to be called at least ten times per period.
 */
void swim_tick(struct swim *s, int64_t now_us, struct swim_outbox *outbox);
/** Handles a verified message that came from this address. */
void swim_receive(struct swim *s, int64_t now_us, uint32_t ip, uint16_t port,
		  const struct swim_msg *m, struct swim_outbox *outbox);
void swim_set_reports(struct swim *s, const struct member_report *list,
		      uint32_t count);
void swim_set_stopping(struct swim *s);
void swim_set_successor(struct swim *s, uint64_t incarnation);
void swim_set_digest(struct swim *s, uint64_t digest);
/** Sets the ids of the VMs that the platform lists as live; `live` NULL: no
 * list. Members that are not on it are declared dead sooner when they are
 * suspected. */
void swim_set_platform_ids(struct swim *s, const uint64_t *live,
			   uint32_t count);
/** Announces to some members that this one leaves; afterwards swim_tick() and
 * swim_receive() do nothing. */
void swim_leave(struct swim *s, int64_t now_us, struct swim_outbox *outbox);
/** A view of the current state; clears `view_stale`. */
struct member_view *swim_view(struct swim *s, uint64_t version);
/** Memory used by the whole state. */
uint64_t swim_memory_bytes(const struct swim *s);

/* roster.c */
uint64_t swim_random(struct swim *s);
uint32_t swim_random_below(struct swim *s, uint32_t n);
struct swim_node *swim_find(const struct swim *s, uint64_t id);
bool swim_is_live(const struct swim_node *n);
/** True if no datagram arrived lately (probe.c). This daemon may then be the
 * one that is cut off, so that the members that it declares dead are not
 * gossiped as dead. */
bool swim_is_isolated(const struct swim *s);
enum swim_scope swim_scope_of(const struct swim *s, const struct member *m);
/** Merges a received update; true if it changed anything. `m` is the message
 * that contains it, and is needed only for UPDATE_REPORTS. */
bool swim_apply(struct swim *s, const struct swim_msg *m,
		const struct swim_update *u);
/** This daemon's record of the member if it is later than the update; NULL
 * otherwise. */
const struct swim_node *swim_find_newer(const struct swim *s,
					const struct swim_update *u);
/** Index in `nodes` of the first id not below `id`. */
uint32_t swim_lower_bound(const struct swim *s, uint64_t id);
/** Smallest b with 2^b >= n. */
uint32_t swim_log2(uint32_t n);
/** Sets the state, and queues the record for gossip if `gossip`. */
void swim_set_state(struct swim *s, struct swim_node *n, enum member_state st,
		    bool gossip);
/** Increments this daemon's sequence number and gossips its record. */
void swim_republish_self(struct swim *s);
/** Drops records of members that are dead, left or departed when they are old
 * or too many. */
void swim_expire(struct swim *s);
/** Adds queued updates while the message stays within `target_bytes`. */
void swim_add_rumours(struct swim *s, struct swim_msg *m,
		      uint32_t target_bytes);
/** Encoded size. */
uint32_t swim_msg_bytes(const struct swim_msg *m);
/** The next three add an update unless the message has it; false if it does not
 * fit into `max_bytes` or the arrays of the message. */
bool swim_add_state(struct swim *s, struct swim_msg *m,
		    const struct swim_node *n, bool full, uint32_t max_bytes);
bool swim_add_reports(struct swim_msg *m, const struct swim_node *n,
		      uint32_t max_bytes);
bool swim_add_departed(struct swim *s, struct swim_msg *m,
		       const struct swim_departed *d, uint32_t max_bytes);
/** A random live member of this daemon's data centre other than `exclude_id`;
 * NULL if a few tries find none. */
struct swim_node *swim_random_local(struct swim *s, uint64_t exclude_id);
/** A random live member of another data centre other than `exclude_id`; NULL if
 * a few tries find none. */
struct swim_node *swim_random_remote(struct swim *s, uint64_t exclude_id);

/* probe.c */
/** Starts a probe, unless the member is being probed or SWIM_PROBES_MAX probes
 * are active. */
void swim_probe_start(struct swim *s, struct swim_node *n,
		      struct swim_outbox *outbox);
/** Starts a probe of the next live member in `recheck_ids`. */
void swim_probe_recheck(struct swim *s, struct swim_outbox *outbox);
/** Runs the next attempt of each probe and indirect ping that is due. */
void swim_probe_tick(struct swim *s, struct swim_outbox *outbox);
/** Abandons all probes, suspicions and indirect pings. */
void swim_probe_reset(struct swim *s);
/** Handles a SWIM_PING_REQUEST; it is ignored while SWIM_INDIRECT_PINGS_MAX are
 * active. */
void swim_indirect_ping_start(struct swim *s, const struct swim_msg *m,
			      struct swim_outbox *outbox);
void swim_on_ack(struct swim *s, const struct swim_msg *m,
		 struct swim_outbox *outbox);
void swim_on_nack(struct swim *s, const struct swim_msg *m);
/** True if the platform lists the member's VM as live. */
bool swim_is_on_platform(const struct swim *s, uint64_t id);

/* swim.c */

/** These append a message to the outbox, with kind, sender and digest set; NULL
 * if the outbox is full. */
struct swim_msg *swim_emit(struct swim *s, struct swim_outbox *outbox,
			   const struct swim_node *to, enum swim_kind kind);
struct swim_msg *swim_emit_to_address(struct swim *s,
				      struct swim_outbox *outbox, uint32_t ip,
				      uint16_t port, enum swim_kind kind);
/** Fills the rest of a message with queued updates, within the gossip budget.
 */
void swim_piggyback(struct swim *s, struct swim_msg *m);

/* ---- encoding (wire.c) ---- */

/** Encodes and signs, without a MAC if `keys` is NULL; returns the length in
 * bytes, 0 if it does not fit. */
uint32_t wire_encode(const struct swim_msg *m, const struct fleet_keys *keys,
		     uint8_t out[SWIM_DATAGRAM_MAX_BYTES]);
/** Verifies and decodes; `keys` NULL: the MAC is not verified. AZ_INVALID if
 * malformed, AZ_DENIED if the MAC is wrong. */
enum az_status wire_decode(const uint8_t *data, uint32_t len_bytes,
			   const struct fleet_keys *keys, struct swim_msg *out);

/* ---- the duty (member.c) ---- */

struct membership;

struct member_settings {
	struct member self;
	const char *const *seeds; /**< "ip:port" of member sockets */
	uint32_t seed_count;
	uint32_t period_ms; /**< protocol period; 0: SWIM_PERIOD_MS */
	/** Keys that sign and verify datagrams; see peer/peer.h. NULL: no MAC,
	 * for tests only. */
	const struct fleet_keys *keys;
};

/** An id of 0 is replaced by the hash of the name, an incarnation of 0 by a
 * random one, a member_port of 0 by a free port. NULL if the settings are
 * invalid. */
struct membership *membership_create(const struct member_settings *s,
				     struct timer_service *timers,
				     apr_pool_t *pool);
enum az_status membership_start(struct membership *m);
/** True once the members of this daemon's data centre are known, or no seed has
 * answered for 3 s. Any thread. */
bool membership_joined(struct membership *m);
/** Announces that this daemon leaves, then ends the thread. */
void membership_stop(struct membership *m);
/** Frees a stopped membership, once no other thread uses it. */
void membership_destroy(struct membership *m);
/** The current view; release with member_view_release(). Any thread. */
const struct member_view *membership_view(struct membership *m);
/** Replaces this daemon's reports; those after the first MEMBER_REPORTS_MAX are
 * dropped. Any thread. */
void membership_set_reports(struct membership *m,
			    const struct member_report *list, uint32_t count);
/** Announces that this daemon accepts no further cells and tickets. */
void membership_set_stopping(struct membership *m);
/** Announces the incarnation of the daemon that adopted this one's ledger. */
void membership_set_successor(struct membership *m, uint64_t incarnation);
/** Sets the digest of this daemon's configuration, which all its datagrams
 * carry. Any thread. */
void membership_set_digest(struct membership *m, uint64_t digest);

struct digest_listener;

struct digest_listener_ops {
	/** Called for each message of a known member with another digest than
	 * this daemon's, unless it is 0. Runs in the member thread. */
	void (*on_mismatch)(struct digest_listener *l,
			    const struct member *from, uint64_t digest);
};

struct digest_listener {
	const struct digest_listener_ops *ops;
};

/** Replaces the keys that sign and verify datagrams; NULL: no MAC. Any thread.
 */
void membership_set_keys(struct membership *m, const struct fleet_keys *keys);
/** Adds "ip:port" addresses that are pinged now and then until a live member is
 * known there. AZ_INVALID if one is malformed. Any thread. */
enum az_status membership_add_seeds(struct membership *m,
				    const char *const *seeds, uint32_t count);
void membership_set_digest_listener(struct membership *m,
				    struct digest_listener *l);

/** Replaces the ids of the VMs that the platform lists as live; NULL: no list.
 * Any thread.
 */
void membership_set_platform_list(struct membership *m, const uint64_t *live,
				  uint32_t live_count);

#endif
