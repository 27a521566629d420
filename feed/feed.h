/**
 * @file
 * Keeps the snapshot current from a source that tells whole configurations and
 * single workers: which workers count, which version is in force, and when a
 * new snapshot is built.
 */
#ifndef FEED_FEED_H
#define FEED_FEED_H

#include <apr_hash.h>

#include "conf/conf.h"
#include "lib/az.h"

/** What a source says of one worker. */
struct feed_worker {
	char name[CONF_NAME_MAX_BYTES];
	char service[CONF_NAME_MAX_BYTES];
	char data_centre[CONF_NAME_MAX_BYTES];
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port;
	uint8_t slots;
	bool leaving; /**< finishes what it has and takes nothing new */
	uint64_t boot; /**< tells one start of the process from another */
	uint32_t cold_ms; /**< slow for so much longer */
	uint64_t revision; /**< of the entry; a later one is newer */
};

/* ---- worker table (table.c): plain state, time passed in ---- */

/** Entries that lapsed while the source was away come back within 2 s of its
 * return, if the worker lives; the rest is for the way of the news. */
#define FEED_HOLD_US (2500 * US_PER_MS)

/** When the source comes back, so many of a service's entries that are missing
 * have lapsed; fewer are of workers that left meanwhile. */
#define FEED_LAPSED_PERCENT 30

struct feed_entry {
	struct feed_worker worker;
	bool listed; /**< in the list that is being taken */
	int64_t gone_at_us; /**< dropped then unless it is told again; 0: there
			     */
};

struct feed_table {
	apr_pool_t *pool;
	apr_hash_t *by_name;
	bool source_away;
	int64_t source_back_us; /**< when the source last came back; 0: never */
};

struct feed_table *feed_table_create(void);
void feed_table_destroy(struct feed_table *t);
/** True if it changes what a snapshot says. An older revision of the same boot
 * changes nothing. */
bool feed_table_put(struct feed_table *t, const struct feed_worker *w);
/** True if there was such a worker. */
bool feed_table_remove(struct feed_table *t, const char *name);
/** The source's whole list: others are dropped, or held for FEED_HOLD_US if
 * the source has just come back and they are many. */
bool feed_table_replace(struct feed_table *t, const struct feed_worker *list,
			uint32_t count, int64_t now_us);
void feed_table_source_lost(struct feed_table *t);
void feed_table_source_back(struct feed_table *t, int64_t now_us);
/** Drops held entries whose time has come; true if there were any. *next_us is
 * the time of the next one, or INT64_MAX. */
bool feed_table_expire(struct feed_table *t, int64_t now_us, int64_t *next_us);
uint32_t feed_table_size(const struct feed_table *t);
/** Appends "[worker SERVICE/NAME]" sections for the services that `text`
 * configures. Of entries with one address only the newest counts. */
void feed_table_print(const struct feed_table *t, const char *text,
		      struct buf *out);

/* ---- state as one text (state.c) ---- */

/** All that a feed holds. */
struct feed_state {
	uint64_t digest;
	uint64_t version;
	char *text; /**< of the configuration; owned, may be NULL */
	uint32_t count;
	struct feed_worker *workers; /**< owned */
};

void feed_state_print(uint64_t digest, uint64_t version, const char *text,
		      const struct feed_table *workers, struct buf *out);
/** AZ_INVALID if it is malformed; then `out` owns nothing. */
enum az_status feed_state_parse(const struct buf *data, struct feed_state *out);
void feed_state_free(struct feed_state *s);

/* ---- the duty ---- */

struct feed;

struct feed_listener;

struct feed_listener_ops {
	/** Another daemon's state was taken, from the feed's thread. */
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
/** A whole configuration without workers, as INI text. A version that is not
 * higher than the one in force is ignored. Any thread. */
void feed_set_configuration(struct feed *f, uint64_t version, const char *text);
/** Any thread. */
void feed_put_workers(struct feed *f, const struct feed_worker *list,
		      uint32_t count);
void feed_replace_workers(struct feed *f, const struct feed_worker *list,
			  uint32_t count);
void feed_remove_worker(struct feed *f, const char *name);
/** All news up to `digest` were told before. Any thread. */
void feed_set_digest(struct feed *f, uint64_t digest);
/** Answers with all that the feed holds, for feed_import_state(). Any thread.
 */
void feed_send_state(struct feed *f, struct reply_to *reply);
/** Takes what another daemon's feed_send_state() gave, unless this daemon has
 * got farther. AZ_INVALID if it cannot be read. Any thread. */
enum az_status feed_import_state(struct feed *f, const struct buf *data);
/** The source of workers stopped answering, or answers again. Any thread. */
void feed_source_unreachable(struct feed *f);
void feed_source_recovered(struct feed *f);

#endif
