/**
 * @file
 * Tickets. A ticket is a signed token with which one non-idempotent request
 * runs at most once, however often the caller sends it. A request that carries
 * a ticket is a presentation of it, which is passed to the ticket's issuer: the
 * daemon, in one incarnation, that issued the ticket.
 *
 * Issuing a ticket stores nothing. The issuer's ledger has an entry for each
 * ticket from its first presentation until its expiry. An issuer that stops
 * freezes its ledger and hands it over to another daemon, the successor, which
 * adopts the ledger: from then on it answers for the issuer's tickets.
 */
#ifndef TICKET_TICKET_H
#define TICKET_TICKET_H

#include "lib/az.h"

#define TICKET_TEXT_MAX_BYTES 128
#define TICKET_KEY_BYTES 32
#define TICKET_MAC_BYTES 16
#define TICKET_LIFE_US (600 * US_PER_S)
#define LEDGER_ENTRIES_MAX 65536

/** Contents of a ticket. The MAC covers all other fields and is made with a key
 * of the issuer. */
struct ticket {
	uint32_t ip; /**< issuer's peer address, IPv4, host byte order */
	uint16_t port; /**< of the same address */
	uint8_t rank;
	uint64_t incarnation; /**< of the issuer */
	uint64_t sequence; /**< unique among the incarnation's tickets */
	uint64_t organisation;
	int64_t expiry_us; /**< on the issuer's monotonic clock */
	uint8_t mac[TICKET_MAC_BYTES];
};

/* ---- text form and MAC of a ticket (token.c) ---- */

void ticket_sign(struct ticket *t, const uint8_t key[TICKET_KEY_BYTES]);
bool ticket_verify(const struct ticket *t, const uint8_t key[TICKET_KEY_BYTES]);
/** Writes the text form: base64url without padding. */
void ticket_format(const struct ticket *t, char out[TICKET_TEXT_MAX_BYTES]);
/** Returns AZ_INVALID unless `s` is the complete text of one ticket. */
enum az_status ticket_parse(const char *s, struct ticket *out);

/* ---- ledger (ledger.c): state without a thread; callers pass the time ---- */

enum ledger_entry_state {
	ENTRY_RUNNING, /**< started by the first presentation, not ended */
	ENTRY_ANSWERED, /**< ended with OUTCOME_RAN */
	ENTRY_NOT_RUN, /**< ended with OUTCOME_NOT_RUN */
	ENTRY_UNKNOWN, /**< ended with OUTCOME_UNKNOWN */
};

/** A presentation that waits for the answer of a running entry. */
struct ledger_waiter {
	struct ledger_waiter *next;
	struct reply_to *reply;
	int64_t deadline_us;
};

/** A ticket that has been presented. */
struct ledger_entry {
	uint64_t sequence;
	uint64_t request_hash; /**< of the first request that was presented */
	enum ledger_entry_state state;
	int64_t expiry_us; /**< on the issuer's clock */
	struct answer *answer; /**< NULL in state ENTRY_RUNNING */
	struct ledger_waiter *waiters; /**< in state ENTRY_RUNNING only */
	struct ledger_entry *next; /**< in the list of running entries */
	struct ledger_entry *prev;
};

/** Memory of the answers that the ledgers of a daemon store. */
struct answer_store {
	uint64_t max_bytes;
	uint64_t held_bytes;
};

/** Entries of the tickets of one incarnation. */
struct ledger;

/** What to do with a presentation. */
enum ledger_action {
	LEDGER_RUN, /**< first presentation: run it; the entry is running now */
	LEDGER_JOIN, /**< the entry is running: wait for its answer */
	LEDGER_REPLY, /**< the entry has ended: reply with its answer */
	LEDGER_REFUSE, /**< refuse with the decision's `kind` */
};

struct ledger_decision {
	enum ledger_action action;
	enum error_kind kind; /**< ERR_NONE, or the reason of LEDGER_REFUSE */
	struct ledger_entry *entry; /**< NULL with LEDGER_REFUSE */
};

/** The ledger has no bound of its answers until ledger_set_store(). */
struct ledger *ledger_create(uint64_t incarnation,
			     const uint8_t key[TICKET_KEY_BYTES]);
void ledger_destroy(struct ledger *l);
/** For an adopted ledger: sets the difference between the issuer's clock and
 * the clock of this process, issuer minus own. */
/** Bounds the stored answers together with those of other ledgers. To be called
 * before the first entry; `s` must outlive the ledger. */
void ledger_set_store(struct ledger *l, struct answer_store *s);
/** To be called once the waiters of an entry have their answers: if the store
 * is full, replaces the answer by an error that states only that it ran. */
void ledger_bound_answer(struct ledger *l, struct ledger_entry *e);
void ledger_set_clock_offset(struct ledger *l, int64_t offset_us);
int64_t ledger_clock_offset(const struct ledger *l);
uint64_t ledger_incarnation(const struct ledger *l);
const uint8_t *ledger_key(const struct ledger *l);
/** Hash of what a ticket is bound to: organisation, method, path and body. */
uint64_t ledger_request_hash(const struct request *r);
/** Decides about a presentation; `request_hash` is the ledger_request_hash() of
 * its request. */
struct ledger_decision ledger_present(struct ledger *l, const struct ticket *t,
				      uint64_t request_hash, int64_t now_us);
/** Finds the entry of a ticket for a status query; never adds one. For a valid
 * ticket that was not presented yet, the action is LEDGER_REPLY and the entry
 * is NULL. */
struct ledger_decision ledger_status(struct ledger *l, const struct ticket *t,
				     int64_t now_us);
/** Stores the answer of a running entry. Takes ownership of `a`; returns the
 * waiters. */
struct ledger_waiter *ledger_complete(struct ledger *l, struct ledger_entry *e,
				      struct answer *a);
/** Running entry with this sequence, or NULL. */
struct ledger_entry *ledger_find_running(struct ledger *l, uint64_t sequence);
/** Removes and returns the waiters whose deadline has passed; lowers `next_us`
 * to the earliest deadline of the others. */
struct ledger_waiter *
ledger_take_expired_waiters(struct ledger *l, int64_t now_us, int64_t *next_us);
/** Removes expired entries that are not running. */
void ledger_expire(struct ledger *l, int64_t now_us);
/** Refuses all presentations from now on. */
void ledger_freeze(struct ledger *l);
/** Number of entries. */
uint32_t ledger_size(const struct ledger *l);
/** Number of entries that are running. */
uint32_t ledger_running_count(const struct ledger *l);

/** Calls `each` for every entry. */
void ledger_for_each(const struct ledger *l,
		     void (*each)(const struct ledger_entry *e, void *arg),
		     void *arg);
/** Adds an entry that has ended to an adopted ledger. Takes ownership of `a`.
 * `expiry_us` is on the issuer's clock. */
enum az_status ledger_import_entry(struct ledger *l, uint64_t sequence,
				   uint64_t request_hash,
				   enum ledger_entry_state state,
				   int64_t expiry_us, struct answer *a);

/* ---- the ticket thread, and calls into it ---- */

struct attempts;
struct peer;
struct membership;

struct ticket_settings {
	uint32_t ip; /**< this daemon's peer address */
	uint16_t port;
	uint64_t incarnation;
	struct attempts *attempts;
	struct peer *peer;
	struct membership *membership;
	/** Time after the start in which this daemon may not yet have learnt by
	 * gossip of an issuer that left and of its successor. */
	int64_t membership_settle_us;
	uint64_t memory_bytes; /**< that the process may use; 0: 256 MiB */
};

/** Most adopted ledgers that one daemon serves. */
#define ADOPTED_LEDGERS_MAX 16

/** A presentation that this daemon sends, and repeats, to another daemon: the
 * ticket's issuer or its successor. */
struct submission {
	struct submission *next;
	struct submission *prev;
	uint64_t id;
	struct ticket ticket;
	struct request *request; /**< NULL: status query */
	int64_t deadline_us;
	int64_t next_try_us; /**< 0 while a presentation is in flight */
	/** An issuer that the membership does not list by then is gone. */
	int64_t listing_deadline_us;
	struct reply_to *reply;
};

struct ticket_duty {
	struct duty duty;
	struct ticket_settings settings;
	uint8_t key[TICKET_KEY_BYTES];
	uint64_t newest_sequence; /**< atomic; of the last ticket issued */
	int32_t stopping; /**< atomic; refuses to adopt ledgers */
	int32_t frozen; /**< atomic; refuses to issue tickets */
	uint32_t in_flight; /**< atomic; see ticket_in_flight() */
	/** The ledger of this incarnation, then the adopted ones. */
	struct ledger *ledgers[1 + ADOPTED_LEDGERS_MAX];
	/** Time when each of `ledgers` was adopted. */
	int64_t adopted_us[1 + ADOPTED_LEDGERS_MAX];
	uint32_t ledger_count;
	struct answer_store store; /**< of all ledgers */
	struct ledger *incoming_ledger; /**< not all parts have arrived */
	uint32_t next_part_index; /**< expected part of incoming_ledger */
	struct submission *submissions;
	uint64_t newest_submission_id;
	int64_t armed_us; /**< when the timer fires; 0: not armed */
	int64_t last_expiry_us; /**< last removal of expired entries */
	int64_t started_us;
	struct counter *issued;
	struct counter *presented;
	struct counter *joined; /**< presentations of running entries */
	struct counter *unknown_outcomes; /**< entries that ended so */
	struct counter *stored_bytes; /**< of answers, now */
};

struct ticket_duty *ticket_create(const struct ticket_settings *s,
				  struct timer_service *timers,
				  apr_pool_t *pool);
enum az_status ticket_start(struct ticket_duty *d);
void ticket_stop(struct ticket_duty *d);

/** Issues a new ticket of this incarnation. May be called from any thread.
 * Returns AZ_DENIED once the ledgers are frozen. The successor honours the
 * tickets issued before, as it gets the key. */
enum az_status ticket_issue(struct ticket_duty *d, uint64_t organisation,
			    enum rank rank, char out[TICKET_TEXT_MAX_BYTES]);
/** For a request from a caller: presents the ticket to its issuer, which is
 * this daemon or another one, and repeats that until the issuer answers or
 * `deadline_us` has come. Takes ownership of `r`; with `r` NULL it queries the
 * status only. `reply` gets exactly one answer. */
void ticket_submit(struct ticket_duty *d, const struct ticket *t,
		   struct request *r, int64_t deadline_us,
		   struct reply_to *reply);
/** For a presentation from another daemon: presents the ticket to the ledger
 * served here; ERR_ISSUER_GONE if there is none for its incarnation. Ownership
 * and `reply` as with ticket_submit(). */
void ticket_present(struct ticket_duty *d, const struct ticket *t,
		    struct request *r, struct reply_to *reply);
/** Refuses to adopt ledgers from now on. */
void ticket_set_stopping(struct ticket_duty *d);
/** Runs started here and submissions to other daemons that have not ended. May
 * be called from any thread. */
uint32_t ticket_in_flight(struct ticket_duty *d);

/** Entries are added to a part until it exceeds this size. */
#define LEDGER_PART_BYTES (1U << 20)

/** Part of a frozen ledger that is sent to a successor. The successor answers
 * for the incarnation only once it has all parts: the ticket of a missing entry
 * would look unused and could run again. */
struct ledger_part {
	uint64_t incarnation; /**< of the issuer */
	uint32_t part_index; /**< from 0; parts are sent in this order */
	uint32_t part_count;
	uint8_t key[TICKET_KEY_BYTES];
	int64_t issuer_now_us; /**< the issuer's clock at the freeze */
	uint32_t count; /**< of entries */
	struct ledger_entry *entries; /**< own their answers */
};

void ledger_part_free(struct ledger_part *part);
/** Freezes all ledgers served here and copies them into `*out`; blocks until
 * done. Returns the number of parts. The caller frees the parts and the list.
 */
uint32_t ticket_freeze(struct ticket_duty *d, struct ledger_part ***out);
/** Adds one part to a ledger that is being adopted. Takes ownership of `part`.
 * `reply` gets ERR_NONE if it was added; for the last part this means that the
 * incarnation is served here. */
void ticket_adopt(struct ticket_duty *d, struct ledger_part *part,
		  struct reply_to *reply);

/* ---- private to the files of this folder ---- */

/** A presentation on its way to the ticket thread. */
struct present_msg {
	struct msg msg;
	struct ticket ticket;
	struct request *request; /**< NULL: status query */
	int64_t deadline_us; /**< used by ticket_submit() only */
	struct reply_to *reply;
};

/** Arms the timer for `at_us`, unless it fires earlier. */
void ticket_arm(struct ticket_duty *d, int64_t at_us);
/** Ledger served here for an incarnation, or NULL. */
struct ledger *ticket_ledger(struct ticket_duty *d, uint64_t incarnation);
/** Sends the ticket thread a present_msg, which `ops` handles. */
void ticket_send_present(struct ticket_duty *d, const struct msg_ops *ops,
			 const struct ticket *t, struct request *q,
			 int64_t deadline_us, struct reply_to *reply);
/** Presents a ticket to the ledger served here. Takes ownership of the request
 * in `p`, but not of `p`. */
void ticket_present_here(struct ticket_duty *d, struct present_msg *p);
/** Refuses a present_msg that was not delivered. */
void ticket_present_drop(struct msg *m);
/** Answers the waiters whose deadline has passed; returns the earliest deadline
 * of the others. */
int64_t ticket_expire_waiters(struct ticket_duty *d, int64_t now_us);
/** Repeats the presentations that are due; returns when the next one is due. */
int64_t ticket_retry_submissions(struct ticket_duty *d, int64_t now_us);
/** Answers and frees a submission. Takes ownership of `a`. */
void submission_finish(struct ticket_duty *d, struct submission *s,
		       struct answer *a);

#endif
