/**
 * @file
 * Builds the configuration snapshots of this daemon from what a source
 * delivers: the configuration as one text, and the workers one by one or as a
 * whole list. Decides which workers and which version of the configuration the
 * snapshot contains, and when a new one is built.
 */
#ifndef FEED_FEED_H
#define FEED_FEED_H

#include <apr_hash.h>

#include "conf/conf.h"
#include "lib/az.h"

/** One worker, as the source describes it. */
struct feed_worker {
	char name[CONF_NAME_MAX_BYTES];
	char service[CONF_NAME_MAX_BYTES];
	char data_centre[CONF_NAME_MAX_BYTES];
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port;
	uint8_t slots; /**< requests that it runs at once */
	bool leaving; /**< draining: finishes its requests and accepts no new
			 ones */
	uint64_t boot; /**< differs between starts of the worker process */
	uint32_t cold_ms; /**< time for which the worker is still slow after its
			     start */
	uint64_t revision; /**< of the worker's entry at the source; a higher
			      one is newer */
	uint32_t expires_ms; /**< in a state of another daemon: the source no
				longer lists it, and it is dropped after this
				time; 0: it is listed */
};

/* ---- worker table (table.c): plain state, time passed in ---- */

/** How long entries that the source no longer lists are kept after it has
 * recovered. During an outage of the source the entries of live workers lapse
 * there; the workers renew them within 2 s of the recovery, and 0.5 s are added
 * for the update to arrive here.
 */
#define FEED_MISSING_GRACE_US (2500 * US_PER_MS)

/** If the source lists fewer workers of a service after its recovery and more
 * than this percentage of the known ones is missing, their entries are taken to
 * have lapsed and are kept for FEED_MISSING_GRACE_US. Up to this percentage,
 * the missing workers are taken to have left during the outage. */
#define FEED_LAPSED_ABOVE_PERCENT 30

struct feed_entry {
	struct feed_worker worker;
	uint64_t hash; /**< of the worker, as counted in the table's; 0: it is
			  missing from the source's list and not counted */
	bool in_new_list; /**< listed in the call of feed_table_replace() that
			     is running */
	int64_t expires_us; /**< missing from the source's list: dropped at this
			       time unless the source delivers it again; 0: not
			       missing */
};

struct feed_table {
	apr_pool_t *pool;
	apr_hash_t *by_name;
	/** Sum of the hashes of the workers that the source lists, so that it
	 * does not depend on their order. Those that are kept for a while
	 * although they are missing do not count: each daemon drops them at a
	 * time of its own. */
	uint64_t hash;
	/** Of the last list of the source that lacked a worker of the table; 0:
	 * none. */
	uint64_t missing_revision;
	bool source_unreachable;
	int64_t source_recovered_us; /**< when the source last recovered; 0:
					never */
};

struct feed_table *feed_table_create(void);
void feed_table_destroy(struct feed_table *t);
/** The worker of this name, or NULL. */
const struct feed_worker *feed_table_find(const struct feed_table *t,
					  const char *name);
/** Hash of all that makes a difference to the users of a worker, and of its
 * revision. The same in builds for other processors. */
uint64_t feed_worker_hash(const struct feed_worker *w);
/** Adds or updates a worker; true if the snapshot must be rebuilt. An entry
 * with a lower revision than the known one is ignored. */
bool feed_table_put(struct feed_table *t, const struct feed_worker *w);
/** Removes a worker; true if it was in the table. */
bool feed_table_remove(struct feed_table *t, const char *name);
/** Applies the whole list as of `revision` of the source, or the state of
 * another daemon with `revision` 0; true if the snapshot must be rebuilt.
 * Workers that are not in it are dropped. Within FEED_MISSING_GRACE_US of the
 * source's recovery they are kept until that time ends if more than
 * FEED_LAPSED_ABOVE_PERCENT of their service are missing. */
bool feed_table_replace(struct feed_table *t, const struct feed_worker *list,
			uint32_t count, uint64_t revision, int64_t now_us);
void feed_table_source_unreachable(struct feed_table *t);
void feed_table_source_recovered(struct feed_table *t, int64_t now_us);
/** Drops entries whose `expires_us` has passed; true if there were any. Sets
 * *next_us to the earliest `expires_us` of the rest, INT64_MAX if none has one.
 */
bool feed_table_expire(struct feed_table *t, int64_t now_us, int64_t *next_us);
uint32_t feed_table_size(const struct feed_table *t);
/** Appends a "[worker SERVICE/NAME]" section for each worker of a service and a
 * data centre that the configuration `text` contains. Of several entries with
 * the same address only the one with the highest revision is used. */
void feed_table_print(const struct feed_table *t, const char *text,
		      struct buf *out);

/* ---- positions (position.c) ---- */

/*
 * A position tells how far the source has been read: the last 32 bits of its
 * revision of the configuration in the upper half, of the workers in the lower
 * half. The halves are compared separately.
 */

/** True if `theirs` is a later revision than `ours`, of which the last 32 bits
 * are given; 0: none. */
bool feed_revision_is_ahead(uint32_t ours, uint32_t theirs);

/** True if `theirs` is ahead of `ours` in at least one half. */
bool feed_position_is_ahead(uint64_t ours, uint64_t theirs);
/** Returns the higher value of each half. */
uint64_t feed_position_max(uint64_t a, uint64_t b);

/* ---- encoding of a feed's state as text (state.c) ---- */

/** What a daemon holds. Sent with a request for the state of another one, whose
 * answer then leaves out what both hold; zero: nothing. */
struct feed_known {
	uint64_t position;
	uint64_t version; /**< of the configuration */
	/** It decodes differences and compressed texts; daemons of older
	 * versions do not. */
	bool decodes_all;
	/** It decodes `as_of` and the hash in a state; daemons of older
	 * versions do not. */
	bool decodes_as_of;
	/** Last 32 bits of the source's revision of which the workers are
	 * known to be; 0: unknown. Unlike the position it rises without a
	 * change. */
	uint32_t as_of;
	/** Of the workers that the source lists and of `version`: equal in two
	 * daemons that hold the same. Not sent with a request. */
	uint64_t hash;
};

void feed_known_print(const struct feed_known *k, struct buf *out);
/** An empty body, as sent by daemons of older versions, means nothing. */
void feed_known_parse(const struct buf *data, struct feed_known *out);

/** A text that was compressed with zlib. */
struct feed_packed {
	struct buf data;
	uint32_t text_bytes; /**< of the text; 0: none */
};

/** Replaces the contents of `p` by the compressed text. */
void feed_pack(struct feed_packed *p, const char *text);

/** A text as the part in which it differs from an older one. */
struct feed_difference {
	uint64_t base_version; /**< of the older text; 0: not a difference */
	uint32_t prefix_bytes; /**< taken from the start of the older text */
	uint32_t suffix_bytes; /**< taken from its end */
	uint64_t hash; /**< of the resulting text */
};

/** The whole state of a feed, as daemons send it to each other. */
struct feed_state {
	uint64_t position;
	uint64_t version; /**< of the configuration */
	uint32_t as_of; /**< see struct feed_known; 0: unknown, or the sender is
			   of an older version */
	uint64_t workers_hash; /**< of the table; only if `as_of` is known */
	struct feed_difference difference;
	char *text; /**< the configuration, or the part that differs; owned,
		       NULL: none, or the receiver has this version */
	uint32_t count;
	struct feed_worker *workers; /**< owned; the receiver lacks them */
	uint32_t unchanged_count;
	/** Names of the other workers, which the receiver has; owned. */
	char (*unchanged)[CONF_NAME_MAX_BYTES];
};

/** What feed_state_print() encodes. */
struct feed_state_source {
	uint64_t position;
	uint64_t version;
	uint32_t as_of;
	const char *text; /**< NULL: no configuration */
	const struct feed_packed *packed; /**< the same text; NULL: not
					     compressed */
	const char *base_text; /**< that of the receiver's version, or NULL */
	const struct feed_table *workers;
	int64_t now_us; /**< for the time left of workers that expire */
};

/** Appends the encoded state for a receiver that holds `known`. */
void feed_state_print(const struct feed_state_source *s,
		      const struct feed_known *known, struct buf *out);
/** Decodes a state. AZ_INVALID if the data is malformed; `out` then owns
 * nothing. */
enum az_status feed_state_parse(const struct buf *data, struct feed_state *out);
void feed_state_free(struct feed_state *s);
/** Replaces a difference in `text` by the whole text. False if `base` is not
 * the text that it refers to. */
bool feed_state_complete_text(struct feed_state *s, uint64_t base_version,
			      const char *base);
/** Adds the unchanged workers to `workers`, as the table has them. False if the
 * table lacks one, or has another one than the sender. */
bool feed_state_complete_workers(struct feed_state *s,
				 const struct feed_table *t);

/* ---- the duty ---- */

/** A worker that is new, changed or gone. */
struct feed_change {
	struct feed_worker worker; /**< if `removed`, only the name is used */
	bool removed;
};

struct feed;

struct feed_listener;

struct feed_listener_ops {
	/** Called in the feed's thread after another daemon's state was
	 * imported, or the feed's position was raised by it or by a list of the
	 * source that lacks workers which were known. */
	void (*on_position_raised)(struct feed_listener *l, uint64_t position);
	/** Called in the feed's thread after feed_confirm(), with what the feed
	 * holds: no change made until `confirmed_us` is missing from it. */
	void (*on_confirmed)(struct feed_listener *l,
			     const struct feed_known *known,
			     int64_t confirmed_us);
};

struct feed_listener {
	const struct feed_listener_ops *ops;
};

struct feed_settings {
	struct conf_current *current; /**< where the snapshots are published */
	struct feed_listener *listener; /**< or NULL */
};

/** NULL if the thread's resources cannot be created. */
struct feed *feed_create(const struct feed_settings *s,
			 struct timer_service *timers);
enum az_status feed_start(struct feed *f);
/** Ends the thread and frees the feed. */
void feed_stop(struct feed *f);
/** Replaces the configuration, an INI text without workers, if `version` is
 * above the current one. Any thread. */
void feed_set_configuration(struct feed *f, uint64_t version, const char *text);
/** Applies changes of workers which the source delivers, in their order: all
 * that were made up to its `revision` and not delivered before. They are
 * ignored if the workers are of that revision or of a later one already, by
 * another daemon's state. Any thread. */
void feed_change_workers(struct feed *f, const struct feed_change *list,
			 uint32_t count, uint64_t revision);
/** Applies the source's whole list of workers as of its `revision`. Any thread.
 */
void feed_replace_workers(struct feed *f, const struct feed_worker *list,
			  uint32_t count, uint64_t revision);
/** To be called when the source has confirmed, as of its `revision`, that no
 * change of any kind made until `confirmed_us` (by clock_now_us()) is missing
 * from what was passed to the feed. Any thread. */
void feed_confirm(struct feed *f, uint64_t revision, int64_t confirmed_us);
/** To be called when the daemon whose state has the hash `hash` is known to be
 * complete as of `as_of`. Has no effect if this daemon's state has another
 * hash. Any thread. */
void feed_agree(struct feed *f, uint64_t hash, uint32_t as_of);
/** Raises the feed's position, after all changes of the
 * source up to it were passed to the feed. Any thread. */
void feed_set_position(struct feed *f, uint64_t position);
/** Returns what this daemon holds, for the body of a request for the state of
 * another one. Any thread. */
struct feed_known feed_get_known(struct feed *f);
/** Answers a request for the state of the feed with the body `request`, for
 * feed_import_state() in another daemon. Any thread. */
void feed_send_state(struct feed *f, const struct buf *request,
		     struct reply_to *reply);
/** Imports the answer of another daemon's feed_send_state(). The configuration
 * is ignored if its version is not above this daemon's, the workers if they are
 * not of a later revision of the source. AZ_INVALID if the data is malformed.
 * Any thread. */
enum az_status feed_import_state(struct feed *f, const struct buf *data);
/** To be called when the source of workers stops answering, and when it answers
 * again. Any thread. */
void feed_source_unreachable(struct feed *f);
void feed_source_recovered(struct feed *f);

#endif
