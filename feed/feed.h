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
	bool in_new_list; /**< listed in the call of feed_table_replace() that
			     is running */
	int64_t expires_us; /**< missing from the source's list: dropped at this
			       time unless the source delivers it again; 0: not
			       missing */
};

struct feed_table {
	apr_pool_t *pool;
	apr_hash_t *by_name;
	bool source_unreachable;
	int64_t source_recovered_us; /**< when the source last recovered; 0:
					never */
};

struct feed_table *feed_table_create(void);
void feed_table_destroy(struct feed_table *t);
/** Adds or updates a worker; true if the snapshot must be rebuilt. An entry
 * with a lower revision than the known one is ignored. */
bool feed_table_put(struct feed_table *t, const struct feed_worker *w);
/** Removes a worker; true if it was in the table. */
bool feed_table_remove(struct feed_table *t, const char *name);
/** Applies the source's whole list; true if the snapshot must be rebuilt.
 * Workers that are not in it are dropped. Within FEED_MISSING_GRACE_US of the
 * source's recovery they are kept until that time ends if more than
 * FEED_LAPSED_ABOVE_PERCENT of their service are missing. */
bool feed_table_replace(struct feed_table *t, const struct feed_worker *list,
			uint32_t count, int64_t now_us);
void feed_table_source_unreachable(struct feed_table *t);
void feed_table_source_recovered(struct feed_table *t, int64_t now_us);
/** Drops entries whose `expires_us` has passed; true if there were any. Sets
 * *next_us to the earliest `expires_us` of the rest, INT64_MAX if none has one.
 */
bool feed_table_expire(struct feed_table *t, int64_t now_us, int64_t *next_us);
uint32_t feed_table_size(const struct feed_table *t);
/** Appends a "[worker SERVICE/NAME]" section for each worker of a service that
 * the configuration `text` contains. Of several entries with the same address
 * only the one with the highest revision is used. */
void feed_table_print(const struct feed_table *t, const char *text,
		      struct buf *out);

/* ---- positions (position.c) ---- */

/*
 * A position tells how far the source has been read: its revision of the
 * configuration in the upper 32 bits, of the workers in the lower 32 bits. The
 * halves are compared separately.
 */

/** True if `theirs` is ahead of `ours` in at least one half. */
bool feed_position_is_ahead(uint64_t ours, uint64_t theirs);
/** Returns the higher value of each half. */
uint64_t feed_position_max(uint64_t a, uint64_t b);

/* ---- encoding of a feed's state as text (state.c) ---- */

/** The whole state of a feed, as daemons send it to each other. */
struct feed_state {
	uint64_t position;
	uint64_t version; /**< of the configuration */
	char *text; /**< the configuration; owned, NULL: none */
	uint32_t count;
	struct feed_worker *workers; /**< owned */
};

/** Appends the encoded state; `text` NULL: no configuration. */
void feed_state_print(uint64_t position, uint64_t version, const char *text,
		      const struct feed_table *workers, struct buf *out);
/** Decodes a state. AZ_INVALID if the data is malformed; `out` then owns
 * nothing. */
enum az_status feed_state_parse(const struct buf *data, struct feed_state *out);
void feed_state_free(struct feed_state *s);

/* ---- the duty ---- */

struct feed;

struct feed_listener;

struct feed_listener_ops {
	/** Called in the feed's thread after another daemon's state has raised
	 * the feed's position. */
	void (*on_state_imported)(struct feed_listener *l, uint64_t position);
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
/** The next three apply what the source delivers about workers: some that are
 * new or changed, the whole list, or one that is gone. Any thread. */
void feed_put_workers(struct feed *f, const struct feed_worker *list,
		      uint32_t count);
void feed_replace_workers(struct feed *f, const struct feed_worker *list,
			  uint32_t count);
void feed_remove_worker(struct feed *f, const char *name);
/** Raises the feed's position, after all changes of the
 * source up to it were passed to the feed. Any thread. */
void feed_set_position(struct feed *f, uint64_t position);
/** Answers with the whole state of the feed, for feed_import_state() in another
 * daemon. Any thread. */
void feed_send_state(struct feed *f, struct reply_to *reply);
/** Imports the answer of another daemon's feed_send_state(). The configuration
 * is ignored if its version is not above this daemon's, the workers if their
 * half of the position is below this daemon's. AZ_INVALID if the data is
 * malformed. Any thread. */
enum az_status feed_import_state(struct feed *f, const struct buf *data);
/** To be called when the source of workers stops answering, and when it answers
 * again. Any thread. */
void feed_source_unreachable(struct feed *f);
void feed_source_recovered(struct feed *f);

#endif
