/**
 * @file
 * The feed duty: applies updates of the configuration and the workers, and
 * builds snapshots.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "feed/feed.h"

#define RING_SLOTS 1024
/* Updates that arrive within this time cause only one build. */
#define BUILD_DELAY_US (20 * US_PER_MS)

/* Older texts that are kept to send differences to daemons that hold them. */
#define OLDER_TEXTS 4

struct older_text {
	uint64_t version; /**< 0: none */
	char *text;
};

struct feed {
	struct duty duty;
	struct feed_settings settings;
	struct feed_table *workers;
	uint64_t position; /**< see struct feed_state */
	uint64_t version; /**< of `text`; 0: none */
	char *text;
	char *valid_text; /**< last text that was valid; the same pointer as
			     `text` if that is valid */
	struct feed_packed packed; /**< `text`, once it was requested */
	struct older_text older[OLDER_TEXTS]; /**< before `text` */
	uint32_t next_older; /**< entry to replace next (modulo) */
	/** A state named a worker as unchanged that the table lacks, so that
	 * the next one must have all workers. */
	bool workers_incomplete;
	uint32_t as_of; /**< last 32 bits of the source's revision of which the
			   workers are; 0: unknown */
	uint64_t listed_revision; /**< of the source's last list; 0: none */
	int64_t listed_us; /**< when it was applied */
	pthread_mutex_t known_lock;
	struct feed_known known; /**< for other threads, under known_lock */
	bool build_pending; /**< a snapshot must be built when the timer expires
			     */
	int64_t timer_at_us; /**< when the timer expires, to build or to drop
				entries; 0: not armed */
};

static void schedule_build(struct feed *f)
{
	int64_t at_us = f->duty.now_us + BUILD_DELAY_US;

	f->build_pending = true;
	if (f->timer_at_us && f->timer_at_us <= at_us)
		return;
	f->timer_at_us = at_us;
	duty_arm(&f->duty, at_us);
}

static struct conf *parse(const struct feed *f, const char *text)
{
	struct conf_errors errors = { 0 };
	struct buf whole = { 0 };
	struct conf *c = NULL;

	buf_append(&whole, text, (uint32_t)strlen(text));
	feed_table_print(f->workers, text, &whole);
	buf_append(&whole, "", 1);
	if (conf_parse("source", (const char *)whole.data, NULL, NULL, &c,
		       &errors) != AZ_OK)
		log_write(LOG_ERROR, "feed",
			  "configuration refused version=%llu errors=%u "
			  "first=%s:%d reason=%s",
			  (unsigned long long)f->version, errors.count,
			  errors.list[0].file, errors.list[0].line,
			  errors.list[0].reason);
	buf_free(&whole);
	return c;
}

/* If the text is invalid, the last valid one is used, with the current
 * workers. The log lines name the version of `text` also in this case. */
static void build(struct feed *f)
{
	struct conf *c;

	f->build_pending = false;
	if (!f->text)
		return;
	c = parse(f, f->text);
	if (c && f->valid_text != f->text) {
		free(f->valid_text);
		f->valid_text = f->text;
	}
	if (!c && f->valid_text && f->valid_text != f->text)
		c = parse(f, f->valid_text);
	if (!c)
		return;
	log_write(LOG_INFO, "feed",
		  "configuration in force version=%llu services=%u workers=%u "
		  "source=%s",
		  (unsigned long long)f->version, conf_service_count(c),
		  feed_table_size(f->workers),
		  f->workers->source_unreachable ? "away" : "answers");
	conf_current_set(f->settings.current, c);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct feed *f = az_container_of(d, struct feed, duty);
	int64_t next_us;

	f->timer_at_us = 0;
	f->build_pending |= feed_table_expire(f->workers, now_us, &next_us);
	if (f->build_pending)
		build(f);
	if (next_us != INT64_MAX) {
		f->timer_at_us = next_us;
		duty_arm(d, next_us);
	}
}

/* ---- messages ---- */

enum feed_msg_kind {
	FEED_MSG_CONFIGURATION,
	FEED_MSG_CHANGE_WORKERS,
	FEED_MSG_REPLACE_WORKERS,
	FEED_MSG_CONFIRM,
	FEED_MSG_AGREE,
	FEED_MSG_SOURCE_UNREACHABLE,
	FEED_MSG_SOURCE_RECOVERED,
	FEED_MSG_SET_POSITION,
	FEED_MSG_IMPORT_STATE,
	FEED_MSG_SEND_STATE,
};

struct feed_msg {
	struct msg msg;
	enum feed_msg_kind kind;
	uint64_t version; /**< of the configuration; SET_POSITION: the position,
			     else the revision of the source */
	uint64_t hash; /**< AGREE: of the other daemon's state */
	int64_t confirmed_us; /**< CONFIRM */
	char *text; /**< CONFIGURATION */
	struct feed_worker *workers; /**< REPLACE_WORKERS */
	struct feed_change *changes; /**< CHANGE_WORKERS */
	uint32_t count; /**< of either */
	struct feed_state state;
	struct feed_known known; /**< SEND_STATE: what the receiver holds */
	struct reply_to *reply;
};

static void feed_msg_free(struct feed_msg *fm)
{
	feed_state_free(&fm->state);
	free(fm->text);
	free(fm->workers);
	free(fm->changes);
	free(fm);
}

static void keep_text(struct feed *f)
{
	struct older_text *o;

	if (!f->text)
		return;
	o = &f->older[f->next_older++ % OLDER_TEXTS];
	free(o->text);
	o->text = az_strdup(f->text);
	o->version = f->version;
}

static const char *find_older_text(const struct feed *f, uint64_t version)
{
	for (uint32_t i = 0; i < OLDER_TEXTS; i++)
		if (f->older[i].text && f->older[i].version == version)
			return f->older[i].text;
	return NULL;
}

static void apply_configuration(struct feed *f, struct feed_msg *fm)
{
	if (fm->version <= f->version) {
		log_write(
			LOG_DEBUG, "feed",
			"configuration ignored, version not above the one held "
			"version=%llu held=%llu",
			(unsigned long long)fm->version,
			(unsigned long long)f->version);
		return;
	}
	keep_text(f);
	if (f->text != f->valid_text)
		free(f->text);
	f->text = fm->text;
	f->version = fm->version;
	f->packed.text_bytes = 0;
	fm->text = NULL;
	schedule_build(f);
}

static void send_state(struct feed *f, const struct feed_known *known,
		       struct reply_to *reply)
{
	struct answer *a = answer_new(ERR_NONE);
	struct feed_state_source s = {
		.position = f->position,
		.version = f->version,
		.as_of = f->as_of,
		.text = f->text,
		.packed = &f->packed,
		.base_text = find_older_text(f, known->version),
		.workers = f->workers,
		.now_us = f->duty.now_us,
	};

	if (f->text && f->version > known->version && !f->packed.text_bytes)
		feed_pack(&f->packed, f->text);
	if (!f->packed.text_bytes)
		s.packed = NULL;
	feed_state_print(&s, known, &a->body);
	reply->ops->answer(reply, a);
}

/* Returns false if the state has a newer configuration that cannot be restored
 * from this daemon's, which has changed since the request. */
static bool import_configuration(struct feed *f, struct feed_msg *fm)
{
	struct feed_state *s = &fm->state;

	if (!s->text || s->version <= f->version)
		return true;
	if (!feed_state_complete_text(s, f->version, f->text))
		return false;
	fm->version = s->version;
	fm->text = s->text;
	s->text = NULL;
	apply_configuration(f, fm);
	return true;
}

/* True if the state has a worker that this daemon lacks. */
static bool has_unknown_worker(const struct feed *f, const struct feed_state *s)
{
	for (uint32_t i = 0; i < s->count; i++)
		if (!feed_table_find(f->workers, s->workers[i].name))
			return true;
	for (uint32_t i = 0; i < s->unchanged_count; i++)
		if (!feed_table_find(f->workers, s->unchanged[i]))
			return true;
	return false;
}

/* The position of a daemon that has just listed is that of the newest object,
 * which may be lower than the sender's although the list is newer. Workers that
 * only the sender has were removed in between, and the sender does not know; or
 * their entries have lapsed at the source, which is known only after
 * FEED_MISSING_GRACE_US. Until then returns false: the state is not imported.
 */
static bool import_older_workers(struct feed *f, const struct feed_state *s)
{
	if (!has_unknown_worker(f, s))
		return true;
	if (f->duty.now_us - f->listed_us < FEED_MISSING_GRACE_US)
		return false;
	f->workers->missing_revision = f->listed_revision;
	return true;
}

/* Daemons of older versions do not send the revision of their workers. It is at
 * least that of their position, which may be lower than this daemon's although
 * its own revision is unknown. */
static bool is_newer(const struct feed *f, const struct feed_state *s)
{
	if (s->as_of)
		return feed_revision_is_ahead(f->as_of, s->as_of);
	return feed_revision_is_ahead(f->as_of, (uint32_t)s->position) &&
	       !feed_revision_is_ahead((uint32_t)s->position,
				       (uint32_t)f->position);
}

/* Returns false if the state leaves out a worker that this daemon lacks, or is
 * not imported. Then nothing of it is used: the workers would be those of no
 * revision. */
static bool import_workers(struct feed *f, struct feed_state *s)
{
	if (!is_newer(f, s))
		return import_older_workers(f, s);
	f->workers_incomplete = !feed_state_complete_workers(s, f->workers);
	if (f->workers_incomplete)
		return false;
	f->as_of = s->as_of ? s->as_of : (uint32_t)s->position;
	/* The sender has reached the source since. It may have started during
	 * the outage, and then does not know which entries have lapsed. */
	feed_table_source_recovered(f->workers, f->duty.now_us);
	if (feed_table_replace(f->workers, s->workers, s->count, 0,
			       f->duty.now_us))
		schedule_build(f);
	return true;
}

static struct feed_known current_known(const struct feed *f)
{
	char version[24];

	snprintf(version, sizeof(version), "%llu",
		 (unsigned long long)f->version);
	return (struct feed_known){
		.position = f->workers_incomplete ? f->position >> 32 << 32 :
						    f->position,
		.version = f->version,
		.decodes_all = true,
		.decodes_as_of = true,
		.as_of = f->as_of,
		.hash = f->workers->hash + hash_string(version),
	};
}

static void publish_known(struct feed *f)
{
	struct feed_known known = current_known(f);

	pthread_mutex_lock(&f->known_lock);
	f->known = known;
	pthread_mutex_unlock(&f->known_lock);
}

struct feed_known feed_get_known(struct feed *f)
{
	struct feed_known known;

	pthread_mutex_lock(&f->known_lock);
	known = f->known;
	pthread_mutex_unlock(&f->known_lock);
	return known;
}

static void tell_position(struct feed *f)
{
	struct feed_listener *l = f->settings.listener;

	publish_known(f);
	if (l)
		l->ops->on_position_raised(l, f->position);
}

/* Each half of the position is taken over if it is higher than this daemon's,
 * also if the other one is lower. The position may stay the same although the
 * workers are others: a list does not show the revision of a removal. */
static void import_state(struct feed *f, struct feed_msg *fm)
{
	struct feed_state *s = &fm->state;
	uint64_t position = s->position;
	uint64_t before = f->position;
	uint32_t as_of = f->as_of;

	if (!import_configuration(f, fm))
		position = (uint32_t)position;
	if (!import_workers(f, s))
		position = position >> 32 << 32;
	f->position = feed_position_max(f->position, position);
	f->position = feed_position_max(f->position,
					(uint32_t)f->workers->missing_revision);
	if (f->position != before || f->as_of != as_of)
		tell_position(f);
}

/* The objects of a list do not show the revision of a removal. Without it the
 * members of other data centres would not notice that they have missed one. */
static void replace_workers(struct feed *f, const struct feed_msg *fm)
{
	uint64_t before = f->position;

	f->workers_incomplete = false;
	f->listed_revision = fm->version;
	f->listed_us = f->duty.now_us;
	f->as_of = (uint32_t)fm->version;
	if (feed_table_replace(f->workers, fm->workers, fm->count, fm->version,
			       f->duty.now_us))
		schedule_build(f);
	f->position = feed_position_max(f->position,
					(uint32_t)f->workers->missing_revision);
	if (f->position == before)
		return;
	log_write(LOG_INFO, "feed",
		  "workers are missing from the list revision=%llu",
		  (unsigned long long)fm->version);
	tell_position(f);
}

static void put_worker(struct feed *f, const struct feed_worker *w)
{
	if (!feed_table_put(f->workers, w))
		return;
	log_write(
		LOG_INFO, "feed",
		"worker updated worker=%s service=%s leaving=%s revision=%llu",
		w->name, w->service, w->leaving ? "yes" : "no",
		(unsigned long long)w->revision);
	schedule_build(f);
}

static void remove_worker(struct feed *f, const char *name)
{
	log_write(LOG_INFO, "feed", "worker removed worker=%s", name);
	if (feed_table_remove(f->workers, name))
		schedule_build(f);
}

/* Until the workers are listed or imported their revision stays unknown. */
static void raise_as_of(struct feed *f, uint32_t revision)
{
	if (f->as_of && feed_revision_is_ahead(f->as_of, revision))
		f->as_of = revision;
}

static void change_workers(struct feed *f, const struct feed_msg *fm)
{
	if (!feed_revision_is_ahead(f->as_of, (uint32_t)fm->version))
		return;
	for (uint32_t i = 0; i < fm->count; i++) {
		const struct feed_change *c = &fm->changes[i];

		if (c->removed)
			remove_worker(f, c->worker.name);
		else
			put_worker(f, &c->worker);
	}
	raise_as_of(f, (uint32_t)fm->version);
}

/* All changes up to the revision have been passed to the feed before, in the
 * order of its ring. */
static void confirm(struct feed *f, const struct feed_msg *fm)
{
	struct feed_listener *l = f->settings.listener;
	struct feed_known known;

	raise_as_of(f, (uint32_t)fm->version);
	known = current_known(f);
	if (l)
		l->ops->on_confirmed(l, &known, fm->confirmed_us);
}

static void agree(struct feed *f, const struct feed_msg *fm)
{
	if (current_known(f).hash == fm->hash &&
	    feed_revision_is_ahead(f->as_of, (uint32_t)fm->version))
		f->as_of = (uint32_t)fm->version;
}

static void feed_msg_run(struct msg *m, struct duty *to)
{
	struct feed_msg *fm = az_container_of(m, struct feed_msg, msg);
	struct feed *f = az_container_of(to, struct feed, duty);
	int64_t now_us = f->duty.now_us;

	switch (fm->kind) {
	case FEED_MSG_CONFIGURATION:
		apply_configuration(f, fm);
		break;
	case FEED_MSG_CHANGE_WORKERS:
		change_workers(f, fm);
		break;
	case FEED_MSG_REPLACE_WORKERS:
		replace_workers(f, fm);
		break;
	case FEED_MSG_CONFIRM:
		confirm(f, fm);
		break;
	case FEED_MSG_AGREE:
		agree(f, fm);
		break;
	case FEED_MSG_SOURCE_UNREACHABLE:
		feed_table_source_unreachable(f->workers);
		break;
	case FEED_MSG_SOURCE_RECOVERED:
		feed_table_source_recovered(f->workers, now_us);
		break;
	case FEED_MSG_SET_POSITION:
		f->position = feed_position_max(f->position, fm->version);
		break;
	case FEED_MSG_IMPORT_STATE:
		import_state(f, fm);
		break;
	case FEED_MSG_SEND_STATE:
		send_state(f, &fm->known, fm->reply);
		break;
	}
	publish_known(f);
	/* The timer must run even if no build is pending, to drop entries whose
	 * `expires_us` has passed. */
	if (!f->timer_at_us) {
		f->timer_at_us = now_us + FEED_MISSING_GRACE_US;
		duty_arm(&f->duty, f->timer_at_us);
	}
	feed_msg_free(fm);
}

static void feed_msg_drop(struct msg *m)
{
	struct feed_msg *fm = az_container_of(m, struct feed_msg, msg);

	log_write(LOG_ERROR, "feed", "update dropped because the ring is full");
	if (fm->reply)
		reply_refuse(fm->reply, ERR_OVERLOADED);
	feed_msg_free(fm);
}

static const struct msg_ops feed_msg_ops = { "feed-update", feed_msg_run,
					     feed_msg_drop };

static struct feed_msg *feed_msg_new(enum feed_msg_kind k, const char *text)
{
	struct feed_msg *fm = az_alloc(sizeof(*fm));

	fm->msg.ops = &feed_msg_ops;
	fm->kind = k;
	if (text)
		fm->text = strcpy(az_alloc(strlen(text) + 1), text);
	return fm;
}

static void post(struct feed *f, struct feed_msg *fm)
{
	duty_send(&f->duty, &fm->msg);
}

void feed_set_configuration(struct feed *f, uint64_t version, const char *text)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_CONFIGURATION, text);

	fm->version = version;
	post(f, fm);
}

/* Returns a copy of an array. */
static void *copy_array(const void *list, uint32_t count, size_t item_bytes)
{
	void *copy = az_alloc((count + 1) * item_bytes);

	if (count)
		memcpy(copy, list, count * item_bytes);
	return copy;
}

void feed_change_workers(struct feed *f, const struct feed_change *list,
			 uint32_t count, uint64_t revision)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_CHANGE_WORKERS, NULL);

	fm->version = revision;
	fm->changes = copy_array(list, count, sizeof(*list));
	fm->count = count;
	post(f, fm);
}

void feed_replace_workers(struct feed *f, const struct feed_worker *list,
			  uint32_t count, uint64_t revision)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_REPLACE_WORKERS, NULL);

	fm->version = revision;
	fm->workers = copy_array(list, count, sizeof(*list));
	fm->count = count;
	post(f, fm);
}

void feed_confirm(struct feed *f, uint64_t revision, int64_t confirmed_us)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_CONFIRM, NULL);

	fm->version = revision;
	fm->confirmed_us = confirmed_us;
	post(f, fm);
}

void feed_agree(struct feed *f, uint64_t hash, uint32_t as_of)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_AGREE, NULL);

	fm->version = as_of;
	fm->hash = hash;
	post(f, fm);
}

void feed_set_position(struct feed *f, uint64_t position)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_SET_POSITION, NULL);

	fm->version = position;
	post(f, fm);
}

void feed_send_state(struct feed *f, const struct buf *request,
		     struct reply_to *reply)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_SEND_STATE, NULL);

	feed_known_parse(request, &fm->known);
	fm->reply = reply;
	post(f, fm);
}

enum az_status feed_import_state(struct feed *f, const struct buf *data)
{
	struct feed_msg *fm = feed_msg_new(FEED_MSG_IMPORT_STATE, NULL);
	enum az_status s = feed_state_parse(data, &fm->state);

	if (s == AZ_OK)
		post(f, fm);
	else
		feed_msg_free(fm);
	return s;
}

void feed_source_unreachable(struct feed *f)
{
	post(f, feed_msg_new(FEED_MSG_SOURCE_UNREACHABLE, NULL));
}

void feed_source_recovered(struct feed *f)
{
	post(f, feed_msg_new(FEED_MSG_SOURCE_RECOVERED, NULL));
}

/* ---- the duty ---- */

static const struct duty_ops duty_ops = { "feed", on_timer, NULL };

struct feed *feed_create(const struct feed_settings *s,
			 struct timer_service *timers)
{
	struct feed *f = az_alloc(sizeof(*f));

	f->settings = *s;
	pthread_mutex_init(&f->known_lock, NULL);
	f->workers = feed_table_create();
	if (duty_init(&f->duty, &duty_ops, RING_SLOTS, timers) == AZ_OK)
		return f;
	feed_table_destroy(f->workers);
	free(f);
	return NULL;
}

enum az_status feed_start(struct feed *f)
{
	return duty_start(&f->duty);
}

void feed_stop(struct feed *f)
{
	duty_stop(&f->duty);
	if (f->text != f->valid_text)
		free(f->text);
	free(f->valid_text);
	for (uint32_t i = 0; i < OLDER_TEXTS; i++)
		free(f->older[i].text);
	buf_free(&f->packed.data);
	feed_table_destroy(f->workers);
	duty_destroy(&f->duty);
	free(f);
}
