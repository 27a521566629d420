/**
 * @file
 * Tickets: the issuer's promise that one non-idempotent request runs at most
 * once. Issuing a ticket stores nothing; the issuer's ledger records each
 * ticket from its first presentation until its expiry.
 */
#ifndef TICKET_TICKET_H
#define TICKET_TICKET_H

#include "lib/az.h"

#define TICKET_TEXT_MAX_BYTES 128
#define TICKET_KEY_BYTES 32
#define TICKET_MAC_BYTES 16
#define TICKET_LIFE_US (600 * US_PER_S)
#define LEDGER_ENTRIES_MAX 65536

/** Contents of a ticket. The MAC covers all other fields. */
struct ticket {
	uint32_t ip; /**< issuer's peer address, IPv4, host byte order */
	uint16_t port;
	uint8_t rank;
	uint64_t incarnation; /**< of the issuer */
	uint64_t sequence;
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

enum ledger_state {
	LEDGER_RUNNING,
	LEDGER_ANSWERED,
	LEDGER_NOT_RUN,
	LEDGER_UNKNOWN,
};

/** A presentation that waits for the answer of a running entry. */
struct ledger_waiter {
	struct ledger_waiter *next;
	struct reply_to *reply;
	int64_t deadline_us;
};

struct ledger_entry {
	uint64_t sequence;
	uint64_t request_hash; /**< hash of organisation, method, path, body */
	enum ledger_state state;
	int64_t expiry_us;
	struct answer *answer; /**< NULL in state LEDGER_RUNNING */
	struct ledger_waiter *waiters; /**< in state LEDGER_RUNNING only */
	struct ledger_entry *next; /**< in the list of running entries */
	struct ledger_entry *prev;
};

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
	enum error_kind kind;
	struct ledger_entry *entry;
};

struct ledger *ledger_create(uint64_t incarnation,
			     const uint8_t key[TICKET_KEY_BYTES]);
void ledger_destroy(struct ledger *l);
/** Sets the issuer's clock minus this process's, for an adopted ledger. */
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
/** Finds the entry of a ticket for a status query; never adds an entry. The
 * entry of an unused ticket is NULL. */
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
uint32_t ledger_size(const struct ledger *l);
uint32_t ledger_running(const struct ledger *l);

/** Calls `each` for every entry. */
void ledger_for_each(const struct ledger *l,
		     void (*each)(const struct ledger_entry *e, void *arg),
		     void *arg);
/** Adds an entry that has ended to an adopted ledger. Takes ownership of `a`.
 * `expiry_us` is on the issuer's clock. */
enum az_status ledger_import_entry(struct ledger *l, uint64_t sequence,
				   uint64_t request_hash,
				   enum ledger_state state, int64_t expiry_us,
				   struct answer *a);

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
	/** For this long after the start, gossip may not yet have told this
	 * daemon of an issuer that left and of its successor. */
	int64_t membership_settle_us;
};

/** Ledgers of departed issuers that one daemon serves at most. */
#define ADOPTED_LEDGERS_MAX 16

/** A ticket that this daemon presents to an issuer at another daemon. */
struct submission {
	struct submission *next;
	struct submission *prev;
	uint64_t id;
	struct ticket ticket;
	struct request *request; /**< NULL: status query */
	int64_t deadline_us;
	int64_t next_try_us; /**< 0 while a presentation is in flight */
	/** An issuer that membership has not listed by then counts as gone. */
	int64_t listing_deadline_us;
	struct reply_to *reply;
};

struct ticket_duty {
	struct duty duty;
	struct ticket_settings settings;
	uint8_t key[TICKET_KEY_BYTES];
	uint64_t next_sequence; /**< atomic */
	int32_t stopping; /**< atomic; refuses to adopt ledgers */
	int32_t frozen; /**< atomic; refuses to issue tickets */
	uint32_t in_flight; /**< atomic */
	/** The ledger of this incarnation is the first one. */
	struct ledger *ledgers[1 + ADOPTED_LEDGERS_MAX];
	int64_t adopted_us[1 + ADOPTED_LEDGERS_MAX];
	uint32_t ledger_count;
	struct ledger *incoming_ledger; /**< not all parts have arrived */
	uint32_t next_part_index;
	struct submission *submissions;
	uint64_t next_submission;
	int64_t armed_us;
	int64_t last_expiry_us;
	int64_t started_us;
	struct counter *issued;
	struct counter *presented;
	struct counter *joined;
	struct counter *unknown_outcomes;
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
/** Presents a ticket to its issuer, in this process or at another daemon, and
 * repeats that until the issuer answers or `deadline_us` has come. Takes
 * ownership of `r`; with `r` NULL it queries the status only. `reply` gets
 * exactly one answer. */
void ticket_submit(struct ticket_duty *d, const struct ticket *t,
		   struct request *r, int64_t deadline_us,
		   struct reply_to *reply);
/** Presents a ticket of this incarnation or an adopted one, for calls from
 * other daemons. Ownership and `reply` as with ticket_submit(). */
void ticket_present(struct ticket_duty *d, const struct ticket *t,
		    struct request *r, struct reply_to *reply);
/** Refuses to adopt ledgers from now on. */
void ticket_set_stopping(struct ticket_duty *d);
/** Presentations in flight. May be called from any thread. */
uint32_t ticket_in_flight(struct ticket_duty *d);

/** Entries are added to a part until it exceeds this size. */
#define LEDGER_PART_BYTES (1U << 20)

/** Part of a frozen ledger that is sent to a successor. The successor serves
 * the incarnation only once it has all parts: the ticket of a missing entry
 * would look unused. */
struct ledger_part {
	uint64_t incarnation;
	uint32_t part_index; /**< from 0; parts are sent in this order */
	uint32_t part_count;
	uint8_t key[TICKET_KEY_BYTES];
	int64_t issuer_now_us; /**< the issuer's clock at the freeze */
	uint32_t count;
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

/* ---- internal: shared by the files of this slice ---- */

struct present_msg {
	struct msg msg;
	struct ticket ticket;
	struct request *request;
	int64_t deadline_us;
	struct reply_to *reply;
};

void ticket_arm(struct ticket_duty *d, int64_t at_us);
/** Ledger served here for an incarnation, or NULL. */
struct ledger *ticket_ledger(struct ticket_duty *d, uint64_t incarnation);
void ticket_send_present(struct ticket_duty *d, const struct msg_ops *ops,
			 const struct ticket *t, struct request *q,
			 int64_t deadline_us, struct reply_to *reply);
/** Presents a ticket to a ledger of this process. Takes ownership of the
 * request. */
void ticket_present_here(struct ticket_duty *d, struct present_msg *p);
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
