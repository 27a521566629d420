/**
 * @file
 * Keeps the configuration snapshot up to date from a source that delivers whole
 * configurations and single workers. Decides which workers count, which version
 * is in force, and when a new snapshot is built.
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
	uint8_t slots;
	bool leaving; /**< draining: finishes its requests and accepts no new
			 ones */
	uint64_t boot; /**< differs between starts of the worker process */
	uint32_t cold_ms; /**< remaining time of the slow phase after its start
			   */
	uint64_t revision; /**< of the entry at the source; a higher one is
			      newer */
};

/* ---- worker table (table.c): plain state, time passed in ---- */

/** Entries of live workers that lapsed while the source was unreachable are
 * renewed within 2 s of its recovery; 0.5 s are added for the update to arrive.
 */
#define FEED_MISSING_GRACE_US (2500 * US_PER_MS)

/** If more of a service's entries than that are missing after the source
 * recovers, they are taken to have lapsed. If fewer are missing, their workers
 * have left during the outage. */
#define FEED_LAPSED_MIN_PERCENT 30

struct feed_entry {
	struct feed_worker worker;
	bool in_new_list; /**< in the list that feed_table_replace() is applying
			   */
	int64_t expires_us; /**< dropped at that time unless the source delivers
			       it again; 0: current */
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
/** Adds or updates a worker; true if the snapshot must be rebuilt. A revision
 * older than the known one is ignored. */
bool feed_table_put(struct feed_table *t, const struct feed_worker *w);
/** True if the worker was in the table. */
bool feed_table_remove(struct feed_table *t, const char *name);
/** Applies the source's whole list; true if the snapshot must be rebuilt.
 * Workers that are not in it are dropped, or kept for FEED_MISSING_GRACE_US if
 * the source has just recovered and many are missing. */
bool feed_table_replace(struct feed_table *t, const struct feed_worker *list,
			uint32_t count, int64_t now_us);
void feed_table_source_unreachable(struct feed_table *t);
void feed_table_source_recovered(struct feed_table *t, int64_t now_us);
/** Drops entries whose grace time has ended; true if there were any. Sets
 * *next_us to the time at which the next one ends, or INT64_MAX. */
bool feed_table_expire(struct feed_table *t, int64_t now_us, int64_t *next_us);
uint32_t feed_table_size(const struct feed_table *t);
/** Appends "[worker SERVICE/NAME]" sections for the services that `text`
 * configures. Of several entries with the same address only the newest is used.
 */
void feed_table_print(const struct feed_table *t, const char *text,
		      struct buf *out);

/* ---- encoding of the whole state as text (state.c) ---- */

/** The whole state of a feed, as daemons send it to each other. */
struct feed_state {
	uint64_t position; /**< how far the state has followed the source: its
		    revision of the configuration in the upper half, of
		    the workers in the lower half */
	uint64_t version; /**< of the configuration */
	char *text; /**< of the configuration; owned, may be NULL */
	uint32_t count;
	struct feed_worker *workers; /**< owned */
};

void feed_state_print(uint64_t digest, uint64_t version, const char *text,
		      const struct feed_table *workers, struct buf *out);
/** AZ_INVALID if the data is malformed; `out` then owns nothing. */
enum az_status feed_state_parse(const struct buf *data, struct feed_state *out);
void feed_state_free(struct feed_state *s);

/* ---- the duty ---- */

struct feed;

struct feed_listener;

struct feed_listener_ops {
	/** Called in the feed's thread after another daemon's state was
	 * imported.
	 */
	void (*on_state_imported)(struct feed_listener *l, uint64_t digest);
};

struct feed_listener {
	const struct feed_listener_ops *ops;
};

struct feed_settings {
	struct conf_current *current;
	struct feed_listener *listener; /**< or NULL */
};

struct feed *feed_create(const struct feed_settings *s,
			 struct timer_service *timers);
enum az_status feed_start(struct feed *f);
void feed_stop(struct feed *f);
/** Applies a whole configuration without workers, as INI text, unless its
 * version is not above the current one. Any thread. */
void feed_set_configuration(struct feed *f, uint64_t version, const char *text);
/** These apply changes of workers. Any thread. */
void feed_put_workers(struct feed *f, const struct feed_worker *list,
		      uint32_t count);
void feed_replace_workers(struct feed *f, const struct feed_worker *list,
			  uint32_t count);
void feed_remove_worker(struct feed *f, const char *name);
/** All changes of the source up to `digest` were passed to the feed before this
 * call. Any thread. */
void feed_set_position(struct feed *f, uint64_t digest);
/** Answers with the whole state of the feed, for feed_import_state() in another
 * daemon. Any thread. */
void feed_send_state(struct feed *f, struct reply_to *reply);
/** Imports the answer of another daemon's feed_send_state(). Parts for which
 * this daemon has a later state are ignored. AZ_INVALID if the data is
 * malformed. Any thread. */
enum az_status feed_import_state(struct feed *f, const struct buf *data);
/** The source of workers stopped answering, or answers again. Any thread. */
void feed_source_unreachable(struct feed *f);
void feed_source_recovered(struct feed *f);

#endif
