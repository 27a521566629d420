/**
 * @file
 * Tickets: the issuer's promise that one non-idempotent request runs at most
 * once. Issue keeps no state; the ledger holds presented tickets until expiry.
 */
#ifndef TICKET_TICKET_H
#define TICKET_TICKET_H

#include "lib/az.h"

#define TICKET_TEXT_MAX_BYTES 128
#define TICKET_KEY_BYTES 32
#define TICKET_MAC_BYTES 16
#define TICKET_LIFE_US (600 * US_PER_S)
#define LEDGER_ENTRIES_MAX 65536

/** Contents of a ticket; all but the MAC is covered by the MAC. */
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

/* ---- token (token.c) ---- */

void ticket_sign(struct ticket *t, const uint8_t key[TICKET_KEY_BYTES]);
bool ticket_verify(const struct ticket *t, const uint8_t key[TICKET_KEY_BYTES]);
/** Text form: base64url without padding. */
void ticket_format(const struct ticket *t, char out[TICKET_TEXT_MAX_BYTES]);
/** AZ_INVALID unless `s` is the whole text of one ticket. */
enum az_status ticket_parse(const char *s, struct ticket *out);

/* ---- ledger (ledger.c): plain state, time passed in ---- */

enum ledger_state {
	LEDGER_RUNNING,
	LEDGER_ANSWERED,
	LEDGER_NOT_RUN,
	LEDGER_UNKNOWN,
};

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
	struct answer *answer; /**< unless LEDGER_RUNNING */
	struct ledger_waiter *waiters; /**< while LEDGER_RUNNING */
	struct ledger_entry *next; /**< in the list of running entries */
	struct ledger_entry *prev;
};

struct ledger;

/** What a presentation leads to. */
enum ledger_action {
	LEDGER_RUN, /**< first: let it go ahead; the entry is running */
	LEDGER_JOIN, /**< running: wait for its answer */
	LEDGER_REPLY, /**< ended: `entry->answer` */
	LEDGER_REFUSE, /**< see `kind` */
};

struct ledger_decision {
	enum ledger_action action;
	enum error_kind kind;
	struct ledger_entry *entry;
};

struct ledger *ledger_create(uint64_t incarnation,
			     const uint8_t key[TICKET_KEY_BYTES]);
void ledger_destroy(struct ledger *l);
/** Issuer's clock minus this process's, for an adopted ledger. */
void ledger_set_clock_offset(struct ledger *l, int64_t offset_us);
int64_t ledger_clock_offset(const struct ledger *l);
uint64_t ledger_incarnation(const struct ledger *l);
const uint8_t *ledger_key(const struct ledger *l);
uint64_t ledger_binding(const struct request *r);
/** Decides about a presentation; `binding` as of ledger_binding(). */
struct ledger_decision ledger_present(struct ledger *l, const struct ticket *t,
				      uint64_t binding, int64_t now_us);
/** Entry of a ticket, for its status; never makes one. */
struct ledger_decision ledger_status(struct ledger *l, const struct ticket *t,
				     int64_t now_us);
/** Ends a running entry; takes ownership of `a`; returns its waiters. */
struct ledger_waiter *ledger_end(struct ledger *l, struct ledger_entry *e,
				 struct answer *a);
/** Running entry of a sequence, or NULL. */
struct ledger_entry *ledger_find_running(struct ledger *l, uint64_t sequence);
/** Takes out the waiters whose deadline has passed; lowers `next_us` to the
 * earliest deadline that is left. */
struct ledger_waiter *ledger_due_waiters(struct ledger *l, int64_t now_us,
					 int64_t *next_us);
/** Drops expired entries that are not running. */
void ledger_expire(struct ledger *l, int64_t now_us);
/** No presentation is taken from now on. */
void ledger_freeze(struct ledger *l);
uint32_t ledger_size(const struct ledger *l);
uint32_t ledger_running(const struct ledger *l);

/** Calls `each` for every entry, for a handover. */
void ledger_each(const struct ledger *l,
		 void (*each)(const struct ledger_entry *e, void *arg),
		 void *arg);
/** Adds an ended entry to an adopted ledger; takes ownership of `a`.
 * `expiry_us` is on the issuer's clock. */
enum az_status ledger_adopt(struct ledger *l, uint64_t sequence,
			    uint64_t binding, enum ledger_state state,
			    int64_t expiry_us, struct answer *a);

/* ---- the duty ---- */

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
	/** Until then after the start an issuer that membership does not list
	 * may be one whose departure this daemon has not heard of yet. */
	int64_t membership_settle_us;
};

#define ADOPTED_MAX 16

/** A ticket presented through this daemon to an issuer elsewhere. */
struct submission {
	struct submission *next;
	struct submission *prev;
	uint64_t id;
	struct ticket ticket;
	struct request *request; /**< NULL: status */
	int64_t deadline_us;
	int64_t again_us; /**< 0 while a presentation is out */
	int64_t unlisted_until_us; /**< then an unknown issuer is gone */
	struct reply_to *reply;
};

struct ticket_duty {
	struct duty duty;
	struct ticket_settings settings;
	uint8_t key[TICKET_KEY_BYTES];
	uint64_t next_sequence; /**< atomic */
	int32_t stopping; /**< atomic; adopts no ledger */
	int32_t frozen; /**< atomic; issues no ticket */
	uint32_t in_flight; /**< atomic */
	struct ledger *ledgers[1 + ADOPTED_MAX]; /**< own first */
	int64_t adopted_us[1 + ADOPTED_MAX];
	uint32_t ledger_count;
	struct ledger *arriving; /**< parts of it are still missing */
	uint32_t arriving_next;
	struct submission *submissions;
	uint64_t next_submission;
	int64_t armed_us;
	int64_t expired_us;
	int64_t started_us;
	struct counter *issued;
	struct counter *presented;
	struct counter *joined;
	struct counter *unknown;
};

struct ticket_duty *ticket_create(const struct ticket_settings *s,
				  struct timer_service *timers,
				  apr_pool_t *pool);
enum az_status ticket_start(struct ticket_duty *d);
void ticket_stop(struct ticket_duty *d);

/** Fresh ticket of this incarnation. Any thread. AZ_DENIED once frozen; until
 * then a ticket goes over to the successor with the key. */
enum az_status ticket_issue(struct ticket_duty *d, uint64_t organisation,
			    enum rank rank, char out[TICKET_TEXT_MAX_BYTES]);
/** Presents a ticket to its issuer, here or at another daemon, again and again
 * until it answers or `deadline_us`. Takes ownership of `r`; `r` NULL asks for
 * the status only. `reply` gets exactly one answer. */
void ticket_submit(struct ticket_duty *d, const struct ticket *t,
		   struct request *r, int64_t deadline_us,
		   struct reply_to *reply);
/** Presents a ticket of this incarnation or an adopted one; for calls of other
 * daemons. Otherwise as ticket_submit(). */
void ticket_present(struct ticket_duty *d, const struct ticket *t,
		    struct request *r, struct reply_to *reply);
/** Adopts no more ledgers. */
void ticket_set_stopping(struct ticket_duty *d);
/** Presentations in flight. Any thread. */
uint32_t ticket_in_flight(struct ticket_duty *d);

#define IMAGE_PART_BYTES (1U << 20)

/** Part of a frozen ledger on its way to a successor, which serves the
 * incarnation only once it has all parts: an entry that is missing would look
 * like an unused ticket. */
struct ledger_part {
	uint64_t incarnation;
	uint32_t part_index; /**< from 0, sent in this order */
	uint32_t part_count;
	uint8_t key[TICKET_KEY_BYTES];
	int64_t issuer_now_us; /**< the issuer's clock when it froze */
	uint32_t count;
	struct ledger_entry *entries; /**< `answer` owned */
};

void ledger_part_free(struct ledger_part *i);
/** Freezes all ledgers here and copies them out, blocking until done. The
 * caller frees the parts and the list. */
uint32_t ticket_freeze(struct ticket_duty *d, struct ledger_part ***out);
/** Takes one part; takes ownership. `reply` gets ERR_NONE, after the last part
 * once the incarnation is served here. */
void ticket_adopt(struct ticket_duty *d, struct ledger_part *i,
		  struct reply_to *reply);

/* ---- between the files of this slice ---- */

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
/** Takes the request. */
void ticket_present_here(struct ticket_duty *d, struct present_msg *p);
void ticket_present_drop(struct msg *m);
/** Refuses waiters whose time is up; returns the earliest deadline left. */
int64_t ticket_due_waiters(struct ticket_duty *d, int64_t now_us);
/** Presents again what is due; returns when to look next. */
int64_t ticket_try_submissions(struct ticket_duty *d, int64_t now_us);
void submission_end(struct ticket_duty *d, struct submission *s,
		    struct answer *a);

#endif
