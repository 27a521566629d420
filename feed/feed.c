#include <stdlib.h>
#include <string.h>

#include "feed/feed.h"

#define RING_SLOTS 1024
/* News that arrive together cost one build. */
#define BUILD_DELAY_US (20 * US_PER_MS)

struct feed {
	struct duty duty;
	struct feed_settings settings;
	struct feed_table *workers;
	uint64_t digest; /**< how far the source or others have told */
	uint64_t version; /**< of `text`; 0: none */
	char *text;
	char *good_text; /**< last that passed the checks */
	bool changed;
	int64_t build_at_us; /**< 0: no build is due */
};

static void want_build(struct feed *f)
{
	int64_t at_us = f->duty.now_us + BUILD_DELAY_US;

	f->changed = true;
	if (f->build_at_us && f->build_at_us <= at_us)
		return;
	f->build_at_us = at_us;
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

/* A text that does not pass the checks leaves the one before in force, with
 * the workers as they are now. */
static void build(struct feed *f)
{
	struct conf *c;

	f->changed = false;
	if (!f->text)
		return;
	c = parse(f, f->text);
	if (c && f->good_text != f->text) {
		free(f->good_text);
		f->good_text = f->text;
	}
	if (!c && f->good_text && f->good_text != f->text)
		c = parse(f, f->good_text);
	if (!c)
		return;
	log_write(LOG_INFO, "feed",
		  "configuration in force version=%llu services=%u workers=%u "
		  "source=%s",
		  (unsigned long long)f->version, conf_service_count(c),
		  feed_table_size(f->workers),
		  f->workers->source_away ? "away" : "answers");
	conf_current_set(f->settings.current, c);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct feed *f = az_container_of(d, struct feed, duty);
	int64_t next_us;

	f->build_at_us = 0;
	f->changed |= feed_table_expire(f->workers, now_us, &next_us);
	if (f->changed)
		build(f);
	if (next_us != INT64_MAX) {
		f->build_at_us = next_us;
		duty_arm(d, next_us);
	}
}

/* ---- messages ---- */

enum news_kind {
	NEWS_CONFIGURATION,
	NEWS_PUT,
	NEWS_REPLACE,
	NEWS_REMOVE,
	NEWS_LOST,
	NEWS_BACK,
	NEWS_DIGEST,
	NEWS_ADOPT,
	NEWS_SERVE,
};

struct news {
	struct msg msg;
	enum news_kind kind;
	uint64_t version;
	char *text; /**< configuration, or the name of a worker */
	struct feed_worker *workers;
	uint32_t count;
	struct feed_state state;
	struct reply_to *reply;
};

static void news_free(struct news *n)
{
	feed_state_free(&n->state);
	free(n->text);
	free(n->workers);
	free(n);
}

static void take_configuration(struct feed *f, struct news *n)
{
	if (n->version <= f->version) {
		log_write(LOG_DEBUG, "feed",
			  "older configuration ignored version=%llu held=%llu",
			  (unsigned long long)n->version,
			  (unsigned long long)f->version);
		return;
	}
	if (f->text != f->good_text)
		free(f->text);
	f->text = n->text;
	f->version = n->version;
	n->text = NULL;
	want_build(f);
}

static void serve(const struct feed *f, struct reply_to *reply)
{
	struct answer *a = answer_new(ERR_NONE);

	feed_state_print(f->digest, f->version, f->text, f->workers, &a->body);
	reply->ops->answer(reply, a);
}

/* The halves of a digest are the configuration's and the workers'. */
static void adopt(struct feed *f, struct news *n)
{
	struct feed_state *s = &n->state;
	struct feed_listener *l = f->settings.listener;

	if (s->text && s->version > f->version) {
		n->version = s->version;
		n->text = s->text;
		s->text = NULL;
		take_configuration(f, n);
	}
	if ((uint32_t)s->digest >= (uint32_t)f->digest &&
	    feed_table_replace(f->workers, s->workers, s->count,
			       f->duty.now_us))
		want_build(f);
	if ((uint32_t)s->digest < (uint32_t)f->digest ||
	    s->digest >> 32 < f->digest >> 32)
		return;
	f->digest = s->digest;
	if (l)
		l->ops->on_state_imported(l, f->digest);
}

static void put_workers(struct feed *f, const struct news *n)
{
	for (uint32_t i = 0; i < n->count; i++) {
		const struct feed_worker *w = &n->workers[i];

		if (!feed_table_put(f->workers, w))
			continue;
		log_write(LOG_INFO, "feed",
			  "worker told worker=%s service=%s leaving=%s "
			  "revision=%llu",
			  w->name, w->service, w->leaving ? "yes" : "no",
			  (unsigned long long)w->revision);
		want_build(f);
	}
}

static void news_run(struct msg *m, struct duty *to)
{
	struct news *n = az_container_of(m, struct news, msg);
	struct feed *f = az_container_of(to, struct feed, duty);
	int64_t now_us = f->duty.now_us;

	switch (n->kind) {
	case NEWS_CONFIGURATION:
		take_configuration(f, n);
		break;
	case NEWS_PUT:
		put_workers(f, n);
		break;
	case NEWS_REPLACE:
		if (feed_table_replace(f->workers, n->workers, n->count,
				       now_us))
			want_build(f);
		break;
	case NEWS_REMOVE:
		log_write(LOG_INFO, "feed", "worker gone worker=%s", n->text);
		if (feed_table_remove(f->workers, n->text))
			want_build(f);
		break;
	case NEWS_LOST:
		feed_table_source_lost(f->workers);
		break;
	case NEWS_BACK:
		feed_table_source_back(f->workers, now_us);
		break;
	case NEWS_DIGEST:
		f->digest = n->version;
		break;
	case NEWS_ADOPT:
		adopt(f, n);
		break;
	case NEWS_SERVE:
		serve(f, n->reply);
		break;
	}
	/* Held entries need a look when their time has come. */
	if (!f->build_at_us) {
		f->build_at_us = now_us + FEED_HOLD_US;
		duty_arm(&f->duty, f->build_at_us);
	}
	news_free(n);
}

static void news_drop(struct msg *m)
{
	struct news *n = az_container_of(m, struct news, msg);

	log_write(LOG_ERROR, "feed", "news dropped, as the ring is full");
	if (n->reply)
		reply_refuse(n->reply, ERR_OVERLOADED);
	news_free(n);
}

static const struct msg_ops news_ops = { "feed-news", news_run, news_drop };

static struct news *news_new(enum news_kind k, const char *text)
{
	struct news *n = az_alloc(sizeof(*n));

	n->msg.ops = &news_ops;
	n->kind = k;
	if (text)
		n->text = strcpy(az_alloc(strlen(text) + 1), text);
	return n;
}

static void push(struct feed *f, struct news *n)
{
	duty_send(&f->duty, &n->msg);
}

static void send_workers(struct feed *f, enum news_kind k,
			 const struct feed_worker *list, uint32_t count)
{
	struct news *n = news_new(k, NULL);

	n->workers = az_alloc((count + 1) * sizeof(*list));
	n->count = count;
	if (count)
		memcpy(n->workers, list, count * sizeof(*list));
	push(f, n);
}

void feed_set_configuration(struct feed *f, uint64_t version, const char *text)
{
	struct news *n = news_new(NEWS_CONFIGURATION, text);

	n->version = version;
	push(f, n);
}

void feed_put_workers(struct feed *f, const struct feed_worker *list,
		      uint32_t count)
{
	send_workers(f, NEWS_PUT, list, count);
}

void feed_replace_workers(struct feed *f, const struct feed_worker *list,
			  uint32_t count)
{
	send_workers(f, NEWS_REPLACE, list, count);
}

void feed_remove_worker(struct feed *f, const char *name)
{
	push(f, news_new(NEWS_REMOVE, name));
}

void feed_set_digest(struct feed *f, uint64_t digest)
{
	struct news *n = news_new(NEWS_DIGEST, NULL);

	n->version = digest;
	push(f, n);
}

void feed_send_state(struct feed *f, struct reply_to *reply)
{
	struct news *n = news_new(NEWS_SERVE, NULL);

	n->reply = reply;
	push(f, n);
}

enum az_status feed_import_state(struct feed *f, const struct buf *data)
{
	struct news *n = news_new(NEWS_ADOPT, NULL);
	enum az_status s = feed_state_parse(data, &n->state);

	if (s == AZ_OK)
		push(f, n);
	else
		news_free(n);
	return s;
}

void feed_source_unreachable(struct feed *f)
{
	push(f, news_new(NEWS_LOST, NULL));
}

void feed_source_recovered(struct feed *f)
{
	push(f, news_new(NEWS_BACK, NULL));
}

/* ---- the duty ---- */

static const struct duty_ops duty_ops = { "feed", on_timer, NULL };

struct feed *feed_create(const struct feed_settings *s,
			 struct timer_service *timers)
{
	struct feed *f = az_alloc(sizeof(*f));

	f->settings = *s;
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
	if (f->text != f->good_text)
		free(f->text);
	free(f->good_text);
	feed_table_destroy(f->workers);
	duty_destroy(&f->duty);
	free(f);
}
