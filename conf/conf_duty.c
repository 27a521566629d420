#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>

#include "conf/conf.h"
#include "member/member.h"

#define RING_SLOTS 1024
#define TICK_US (250 * US_PER_MS)
/* A daemon that has just started does not know its peers yet and would be a
 * watcher by its own view. This delay keeps it from reading the whole
 * configuration from the store before it can get it from a peer. */
#define WATCH_DELAY_US (500 * US_PER_MS)
/* Delay between the first change that is not in force and the build of a
 * snapshot, so that one build puts all changes of that time in force. While
 * CONF_GETs are in flight the delay is BUILD_DELAY_MAX_US. */
#define BUILD_DELAY_US (20 * US_PER_MS)
#define BUILD_DELAY_MAX_US US_PER_S
#define CALL_TIMEOUT_US (2 * US_PER_S)
/* Size at which the answer to a CONF_GET ends; the last object may exceed it.
 */
#define GET_ANSWER_BYTES (2U << 20)
/* Most objects that are forwarded to other members at once. If more arrive at
 * once, this is the initial load and not a change; peers that need them request
 * them.
 */
#define FORWARD_MAX_OBJECTS 32

struct conf_duty {
	struct duty duty;
	struct conf_settings settings;
	struct conf_watch_sink sink;
	struct conf_watch *watch;
	struct conf_table *table;
	struct conf_pull pull;
	bool watcher; /**< this daemon watches the store */
	int64_t store_ok_us; /**< atomic; last answer of the store; 0: never */
	int32_t store_ok; /**< atomic; the last call succeeded */
	/** When the first change that is not yet in force arrived; 0: none. */
	int64_t first_change_us;
	uint32_t gets_in_flight; /**< CONF_GETs */
	uint64_t in_force; /**< digest of the snapshot; 0: none yet */
	struct conf_errors errors;
	struct counter *builds;
	struct counter *build_failures;
	struct counter *objects_taken;
	struct counter *store_older;
};

static struct conf_duty *conf_duty_of(struct duty *d)
{
	return az_container_of(d, struct conf_duty, duty);
}

/* ---- putting objects in force ---- */

static void rebuild(struct conf_duty *d)
{
	struct conf *c;
	enum az_status s = conf_table_build(d->table, &c, &d->errors);

	d->first_change_us = 0;
	counter_add(d->builds, 1);
	if (s != AZ_OK) {
		counter_add(d->build_failures, 1);
		log_write(LOG_ERROR, "conf",
			  "configuration failed its checks and is not in force "
			  "errors=%u first=%s",
			  d->errors.count, az_last_message());
	}
	if (!c)
		return;
	d->in_force = conf_digest(c);
	conf_current_set(d->settings.current, c);
	log_write(LOG_INFO, "conf",
		  "configuration in force digest=%016" PRIx64 " objects=%u",
		  d->in_force, conf_table_size(d->table));
}

/* Called when the table has changed. */
static void note_change(struct conf_duty *d)
{
	if (!d->first_change_us)
		d->first_change_us = d->duty.now_us;
	duty_arm(&d->duty, d->duty.now_us + BUILD_DELAY_US);
	d->settings.links->ops->set_digest(d->settings.links,
					   conf_table_digest(d->table));
	conf_pull_clear_stale_digests(&d->pull);
}

static void rebuild_if_due(struct conf_duty *d, int64_t now_us)
{
	int64_t wait = d->gets_in_flight ? BUILD_DELAY_MAX_US : BUILD_DELAY_US;

	if (d->first_change_us && now_us >= d->first_change_us + wait)
		rebuild(d);
}

/* ---- requests to peers ---- */

/** A call to a peer and its answer. */
struct peer_call {
	struct reply_to reply;
	struct msg msg;
	struct conf_duty *to;
	bool get; /**< a CONF_GET, else a CONF_LIST */
	bool more; /**< of a CONF_GET: more newer objects are to be requested */
	bool is_offer; /**< a CONF_LIST that offers objects; no answer needed */
	bool forward; /**< of a CONF_GET: offer the objects to other members */
	/** Of a CONF_GET: no member of this data centre offered the objects. */
	bool from_outside;
	uint64_t member_id; /**< of the peer */
	uint64_t digest; /**< of the peer; 0: unknown */
	struct answer *answer;
};

static void call_answered(struct reply_to *to, struct answer *a)
{
	struct peer_call *k = az_container_of(to, struct peer_call, reply);

	k->answer = a;
	duty_send(&k->to->duty, &k->msg);
}

static void call_drop(struct msg *m)
{
	struct peer_call *k = az_container_of(m, struct peer_call, msg);

	answer_free(k->answer);
	free(k);
}

static void call_run(struct msg *m, struct duty *to);

static const struct reply_ops call_reply_ops = { call_answered };
static const struct msg_ops call_msg_ops = { "conf-answer", call_run,
					     call_drop };

static struct peer_call *call_new(struct conf_duty *d, const struct member *m)
{
	struct peer_call *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->reply.ops = &call_reply_ops;
	k->msg.ops = &call_msg_ops;
	k->to = d;
	k->member_id = m->id;
	return k;
}

static void call_send(struct conf_duty *d, struct peer_call *k,
		      const struct member *m, struct buf *body)
{
	d->gets_in_flight += k->get;
	d->settings.links->ops->call_peer(d->settings.links, m, k->get, body,
					  d->duty.now_us + CALL_TIMEOUT_US,
					  &k->reply);
	buf_free(body);
}

static void request_list(struct conf_duty *d, const struct member *m,
			 uint64_t digest)
{
	struct peer_call *k = call_new(d, m);
	struct buf body = { 0 };

	k->digest = digest;
	conf_buckets_write(&body, d->table);
	d->pull.list_until_us = d->duty.now_us + CALL_TIMEOUT_US;
	call_send(d, k, m, &body);
}

/** Summary of a list of a peer's objects. */
struct list_summary {
	bool any; /**< it is not empty */
	/** It has a newer version than is held, which may already have been
	 * requested. */
	bool newer;
};

/* Sends `m` a CONF_GET for the listed objects that are newer than those held
 * and have not been requested yet. */
static struct list_summary request_values(struct conf_duty *d,
					  const struct member *m,
					  const char *at, const char *end,
					  bool from_outside)
{
	struct peer_call *k = call_new(d, m);
	struct list_summary summary = { 0 };
	struct buf body = { 0 };
	struct conf_record r;
	uint32_t n = 0;

	while (n < CONF_GET_MAX_OBJECTS && conf_record_read(&at, end, &r)) {
		const struct conf_object *held =
			conf_table_find(d->table, r.key);

		summary.any = true;
		summary.newer |= r.version > (held ? held->version : 0);
		if (!conf_table_request(d->table, r.key, r.version,
					d->duty.now_us,
					d->duty.now_us + CALL_TIMEOUT_US))
			continue;
		conf_record_write(&body, &r);
		n++;
	}
	if (!n) {
		free(k);
		return summary;
	}
	k->get = true;
	k->more = n == CONF_GET_MAX_OBJECTS;
	k->from_outside = from_outside;
	k->forward = n <= FORWARD_MAX_OBJECTS;
	call_send(d, k, m, &body);
	return summary;
}

/* Offers the objects that this daemon has received to other members of its data
 * centre. */
static void forward_records(struct conf_duty *d, bool from_outside,
			    const struct buf *applied)
{
	struct conf_links *l = d->settings.links;
	const struct member *to[CONF_FORWARD_TARGETS_MAX];
	const struct member_view *v = l->ops->view(l);
	uint32_t n = conf_forward_targets(v, d->settings.member_id,
					  d->settings.dc, from_outside, to);

	for (uint32_t i = 0; i < n; i++) {
		struct peer_call *k = call_new(d, to[i]);
		struct buf body = { 0 };

		k->is_offer = true;
		conf_offer_write(&body, d->settings.member_id);
		buf_append(&body, applied->data, applied->len_bytes);
		call_send(d, k, to[i], &body);
	}
	l->ops->release_view(l, v);
}

/* Appends the record of an object that was stored in the table to `applied`. */
static void append_applied_record(struct conf_duty *d, struct buf *applied,
				  const char *key, uint64_t version,
				  bool deleted)
{
	struct conf_record r = { .version = version, .deleted = deleted };

	snprintf(r.key, sizeof(r.key), "%s", key);
	conf_record_write(applied, &r);
	counter_add(d->objects_taken, 1);
}

static const struct member *member_by_id(const struct member_view *v,
					 uint64_t id)
{
	for (uint32_t i = 0; i < v->member_count; i++)
		if (v->members[i].id == id)
			return &v->members[i];
	return NULL;
}

static void handle_list(struct conf_duty *d, struct peer_call *k)
{
	struct conf_links *l = d->settings.links;
	const char *at = (const char *)k->answer->body.data;
	const struct member_view *v;
	const struct member *m;
	struct list_summary summary;

	d->pull.list_until_us = 0;
	if (k->answer->kind != ERR_NONE)
		return;
	v = l->ops->view(l);
	m = member_by_id(v, k->member_id);
	if (m) {
		summary = request_values(d, m, at,
					 at + k->answer->body.len_bytes, true);
		if (!summary.newer && k->digest)
			conf_pull_add_stale_digest(&d->pull, k->digest);
		/* A peer without any objects may itself have just started, and
		 * does not show that there is no configuration. */
		if (!summary.newer)
			d->pull.loaded |= summary.any || d->in_force;
	}
	l->ops->release_view(l, v);
}

static void request_list_again(struct conf_duty *d, const struct peer_call *k)
{
	struct conf_links *l = d->settings.links;
	const struct member_view *v = l->ops->view(l);
	const struct member *m = member_by_id(v, k->member_id);

	if (m)
		request_list(d, m, 0);
	l->ops->release_view(l, v);
}

static void handle_values(struct conf_duty *d, struct peer_call *k)
{
	const char *at = (const char *)k->answer->body.data;
	const char *end = at + k->answer->body.len_bytes;
	struct buf applied = { 0 };
	struct conf_record r;
	bool any = false;

	if (k->answer->kind != ERR_NONE)
		return;
	while (conf_record_read(&at, end, &r)) {
		const char *text = r.deleted ? NULL : r.text;

		if (r.deleted != !r.text)
			continue;
		any = true;
		if (r.in_force)
			conf_table_put_in_force(d->table, r.key, r.version,
						text, r.len_bytes);
		else if (conf_table_put(d->table, r.key, r.version, text,
					r.len_bytes))
			append_applied_record(d, &applied, r.key, r.version,
					      r.deleted);
	}
	if (applied.len_bytes) {
		note_change(d);
		if (k->forward && d->pull.loaded)
			forward_records(d, k->from_outside, &applied);
	}
	buf_free(&applied);
	if (any && (k->more || !d->pull.loaded))
		request_list_again(d, k);
}

static void call_run(struct msg *m, struct duty *to)
{
	struct peer_call *k = az_container_of(m, struct peer_call, msg);
	struct conf_duty *d = conf_duty_of(to);

	d->gets_in_flight -= k->get;
	if (!k->is_offer) {
		if (k->get)
			handle_values(d, k);
		else
			handle_list(d, k);
	}
	call_drop(m);
}

/* ---- requests from peers ---- */

/** A CONF_LIST or CONF_GET of a peer. */
struct peer_request {
	struct msg msg;
	bool get;
	struct buf body;
	struct reply_to *reply;
};

static void request_drop(struct msg *m)
{
	struct peer_request *s = az_container_of(m, struct peer_request, msg);

	s->reply->ops->answer(s->reply, answer_new(ERR_OVERLOADED));
	buf_free(&s->body);
	free(s);
}

static void handle_offer(struct conf_duty *d, const struct conf_list_head *h,
			 const char *at, const char *end)
{
	struct conf_links *l = d->settings.links;
	const struct member_view *v = l->ops->view(l);
	const struct member *m = member_by_id(v, h->from);

	if (m)
		request_values(d, m, at, end, m->dc != d->settings.dc);
	l->ops->release_view(l, v);
}

static void request_run(struct msg *m, struct duty *to)
{
	struct peer_request *s = az_container_of(m, struct peer_request, msg);
	struct conf_duty *d = conf_duty_of(to);
	const char *at = s->body.data ? (const char *)s->body.data : "";
	const char *end = at + s->body.len_bytes;
	struct answer *a = answer_new(ERR_NONE);
	struct conf_list_head h;

	if (s->get) {
		conf_get_answer(&a->body, d->table, at, end, GET_ANSWER_BYTES);
	} else if (conf_list_read(&at, end, &h) != AZ_OK) {
		answer_free(a);
		a = answer_new(ERR_BAD_REQUEST);
	} else if (h.is_offer) {
		handle_offer(d, &h, at, end);
	} else {
		conf_list_answer(&a->body, d->table, h.buckets);
	}
	s->reply->ops->answer(s->reply, a);
	buf_free(&s->body);
	free(s);
}

void conf_duty_serve(struct conf_duty *d, bool get, struct buf *body,
		     struct reply_to *reply)
{
	static const struct msg_ops ops = { "conf-serve", request_run,
					    request_drop };
	struct peer_request *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->msg.ops = &ops;
	s->get = get;
	s->body = *body;
	memset(body, 0, sizeof(*body));
	s->reply = reply;
	duty_send(&d->duty, &s->msg);
}

/* ---- digests of members ---- */

/** A digest received from a member. */
struct remote_digest {
	struct msg msg;
	struct member from;
	uint64_t digest;
};

static void digest_drop(struct msg *m)
{
	free(az_container_of(m, struct remote_digest, msg));
}

static void digest_run(struct msg *m, struct duty *to)
{
	struct remote_digest *h = az_container_of(m, struct remote_digest, msg);
	struct conf_duty *d = conf_duty_of(to);

	if (conf_pull_wants_list(&d->pull, conf_table_digest(d->table),
				 h->digest, d->duty.now_us))
		request_list(d, &h->from, h->digest);
	digest_drop(m);
}

void conf_duty_note_digest(struct conf_duty *d, const struct member *from,
			   uint64_t digest)
{
	static const struct msg_ops ops = { "conf-digest", digest_run,
					    digest_drop };
	struct remote_digest *h = calloc(1, sizeof(*h));

	if (!h)
		abort();
	h->msg.ops = &ops;
	h->from = *from;
	h->digest = digest;
	duty_send(&d->duty, &h->msg);
}

/* ---- messages from the thread that watches the store ---- */

/** A message whose sender waits until it has been processed. */
struct sync_msg {
	struct msg msg;
	pthread_mutex_t lock;
	pthread_cond_t done_changed;
	bool done;
	bool ran; /**< `work` was called; else the message was dropped */
	void (*work)(struct conf_duty *d, void *arg);
	void *arg;
};

static void sync_finish(struct sync_msg *s, bool ran)
{
	pthread_mutex_lock(&s->lock);
	s->done = true;
	s->ran = ran;
	pthread_cond_signal(&s->done_changed);
	pthread_mutex_unlock(&s->lock);
}

static void sync_run(struct msg *m, struct duty *to)
{
	struct sync_msg *s = az_container_of(m, struct sync_msg, msg);

	s->work(conf_duty_of(to), s->arg);
	sync_finish(s, true);
}

static void sync_drop(struct msg *m)
{
	sync_finish(az_container_of(m, struct sync_msg, msg), false);
}

/* Runs `work` in the thread of the duty and waits for it. False if it was not
 * run because the message was dropped. */
static bool run_in_duty(struct conf_duty *d,
			void (*work)(struct conf_duty *d, void *arg), void *arg)
{
	static const struct msg_ops ops = { "conf-sync", sync_run, sync_drop };
	struct sync_msg s = { .msg.ops = &ops, .work = work, .arg = arg };

	pthread_mutex_init(&s.lock, NULL);
	pthread_cond_init(&s.done_changed, NULL);
	duty_send(&d->duty, &s.msg);
	pthread_mutex_lock(&s.lock);
	while (!s.done)
		pthread_cond_wait(&s.done_changed, &s.lock);
	pthread_mutex_unlock(&s.lock);
	pthread_mutex_destroy(&s.lock);
	pthread_cond_destroy(&s.done_changed);
	return s.ran;
}

static void fill_versions(struct conf_duty *d, void *arg)
{
	struct store_list *l = arg;

	for (uint32_t i = 0; i < l->count; i++) {
		const struct conf_object *held =
			conf_table_find(d->table, l->objects[i].key);

		l->objects[i].version = held ? held->version : 0;
	}
}

static void sink_fill_versions(struct conf_watch_sink *k, struct store_list *l)
{
	struct conf_duty *d = az_container_of(k, struct conf_duty, sink);

	if (!run_in_duty(d, fill_versions, l))
		l->count = 0;
}

/* Stores the objects that are newer than those held, and offers them to other
 * members. */
static void apply_objects(struct conf_duty *d, const struct store_list *l)
{
	struct buf applied = { 0 };

	for (uint32_t i = 0; i < l->count; i++) {
		struct store_object *o = &l->objects[i];
		const char *text = o->deleted ? NULL : (char *)o->value.data;

		if (o->version && conf_table_put(d->table, o->key, o->version,
						 text, o->value.len_bytes))
			append_applied_record(d, &applied, o->key, o->version,
					      o->deleted);
	}
	if (applied.len_bytes) {
		note_change(d);
		if (d->pull.loaded && l->count <= FORWARD_MAX_OBJECTS)
			forward_records(d, true, &applied);
	}
	buf_free(&applied);
}

/* Records the versions in the store. Logs if the store has older versions than
 * this daemon, and objects without a version. */
static void note_store_versions(struct conf_duty *d, const struct store_list *l)
{
	uint32_t older = conf_table_count_older_in_store(d->table);
	uint32_t now;

	for (uint32_t i = 0; i < l->count; i++) {
		const struct store_object *o = &l->objects[i];

		if (o->version)
			conf_table_set_store_version(d->table, o->key,
						     o->version);
		if (o->version == CONF_VERSION_UNMARKED)
			log_write(LOG_WARN, "conf",
				  "object has no valid header line and counts "
				  "as the oldest version; write it with "
				  "azhctl key=%s",
				  o->key);
	}
	now = conf_table_count_older_in_store(d->table);
	counter_set(d->store_older, now);
	if (now > older)
		log_write(LOG_WARN, "conf",
			  "store has older versions than this daemon, which "
			  "keeps its own objects=%u",
			  now);
}

/** Objects read from the store, with their values. */
struct store_values {
	struct msg msg;
	struct store_list list;
};

static void values_drop(struct msg *m)
{
	struct store_values *v = az_container_of(m, struct store_values, msg);

	store_list_free(&v->list);
	free(v);
}

static void values_run(struct msg *m, struct duty *to)
{
	struct store_values *v = az_container_of(m, struct store_values, msg);
	struct conf_duty *d = conf_duty_of(to);

	apply_objects(d, &v->list);
	note_store_versions(d, &v->list);
	values_drop(m);
}

static void sink_objects(struct conf_watch_sink *k, struct store_list *l)
{
	static const struct msg_ops ops = { "conf-values", values_run,
					    values_drop };
	struct conf_duty *d = az_container_of(k, struct conf_duty, sink);
	struct store_values *v = calloc(1, sizeof(*v));

	if (!v)
		abort();
	v->msg.ops = &ops;
	v->list = *l;
	memset(l, 0, sizeof(*l));
	duty_send(&d->duty, &v->msg);
}

/** The platform's VMs that are leaving, as an object. */
struct leaving_list {
	struct store_object object;
	uint64_t revision; /**< of the platform's list */
	bool restored;
	bool accepted; /**< out */
};

/* Stores the list unless its revision is lower than that of the one held. The
 * object gets a version of the project's own, not the platform's revision, so
 * that peers accept a list even if the revision fell because the platform was
 * restored. */
static void update_leaving(struct conf_duty *d, void *arg)
{
	struct leaving_list *x = arg;
	const struct conf_object *held =
		conf_table_find(d->table, CONF_LEAVING_KEY);
	const char *text = held && held->text ? held->text->data : NULL;
	struct store_list l = { .count = 1, .objects = &x->object };
	uint64_t revision = 0;

	if (text)
		revision =
			strtoull(text + strlen(CONF_LEAVING_HEADER), NULL, 10);
	x->accepted = x->revision >= revision || x->restored;
	if (!x->accepted ||
	    (text && !strcmp(text, (char *)x->object.value.data)))
		return;
	x->object.version =
		conf_next_version(held ? held->version : 0, conf_wall_ms());
	apply_objects(d, &l);
}

static bool sink_vms(struct conf_watch_sink *k, struct store_vms *v,
		     bool restored)
{
	struct conf_duty *d = az_container_of(k, struct conf_duty, sink);
	struct leaving_list x = { .revision = v->revision,
				  .restored = restored };
	uint64_t *live = calloc(v->count + 1, sizeof(*live));
	uint32_t n = 0;

	if (!live)
		abort();
	strcpy(x.object.key, CONF_LEAVING_KEY);
	buf_printf(&x.object.value, CONF_LEAVING_HEADER "%" PRIu64 "\n",
		   v->revision);
	for (uint32_t i = 0; i < v->count; i++) {
		struct in_addr in = { .s_addr = htonl(v->list[i].ip) };
		char ip[INET_ADDRSTRLEN];

		if (v->list[i].leaving)
			buf_printf(&x.object.value, "%s\n",
				   inet_ntop(AF_INET, &in, ip, sizeof(ip)));
		else
			live[n++] = hash_string(v->list[i].name);
	}
	buf_append(&x.object.value, "", 1);
	x.object.value.len_bytes--;
	run_in_duty(d, update_leaving, &x);
	if (x.accepted)
		d->settings.links->ops->set_platform_list(d->settings.links,
							  live, n);
	free(live);
	store_object_free(&x.object);
	store_vms_free(v);
	return x.accepted;
}

static void sink_state(struct conf_watch_sink *k, bool ok)
{
	struct conf_duty *d = az_container_of(k, struct conf_duty, sink);

	__atomic_store_n(&d->store_ok, ok, __ATOMIC_RELAXED);
	if (ok)
		__atomic_store_n(&d->store_ok_us, clock_now_us(),
				 __ATOMIC_RELAXED);
}

/* ---- the timer ---- */

static void on_timer(struct duty *duty, int64_t now_us)
{
	struct conf_duty *d = conf_duty_of(duty);
	struct conf_links *l = d->settings.links;
	const struct member_view *v = l->ops->view(l);
	const struct member *m = NULL;

	d->watcher = now_us >= d->pull.started_us + WATCH_DELAY_US &&
		     conf_is_watcher(v, d->settings.member_id, d->settings.dc);
	if (d->watch)
		conf_watch_set(d->watch, d->watcher);
	d->pull.store_ok_us =
		__atomic_load_n(&d->store_ok_us, __ATOMIC_RELAXED);
	d->pull.loaded |= d->pull.store_ok_us > d->pull.started_us;
	if (conf_pull_start_due(&d->pull, now_us)) {
		m = conf_pick_member(v, d->settings.member_id, d->settings.dc,
				     false, random_u64());
		if (!m)
			m = conf_pick_member(v, d->settings.member_id,
					     d->settings.dc, true,
					     random_u64());
	} else if (conf_pull_remote_due(&d->pull, d->watcher, now_us)) {
		m = conf_pick_member(v, d->settings.member_id, d->settings.dc,
				     true, random_u64());
	}
	if (m)
		request_list(d, m, 0);
	l->ops->release_view(l, v);
	rebuild_if_due(d, now_us);
	duty_arm(duty, d->first_change_us ? now_us + BUILD_DELAY_US :
					    now_us + TICK_US);
}

struct conf_duty *conf_duty_create(const struct conf_settings *s,
				   struct timer_service *timers,
				   apr_pool_t *pool)
{
	static const struct duty_ops ops = { "conf", on_timer, NULL };
	static const struct conf_watch_sink_ops sink = { sink_fill_versions,
							 sink_objects, sink_vms,
							 sink_state };
	struct conf_duty *d = apr_pcalloc(pool, sizeof(*d));

	d->settings = *s;
	d->sink.ops = &sink;
	if (duty_init(&d->duty, &ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	if (s->store_url) {
		d->watch = conf_watch_create(s->store_url, s->vms_interval_ms,
					     &d->sink, pool);
		if (!d->watch)
			return NULL;
	}
	d->table = conf_table_create(s->site ? s->site : "");
	d->builds = counter_get("conf_builds");
	d->build_failures = counter_get("conf_build_failures");
	d->objects_taken = counter_get("conf_objects_taken");
	d->store_older = counter_get("conf_store_older_objects");
	return d;
}

enum az_status conf_duty_start(struct conf_duty *d)
{
	enum az_status s;

	d->pull.started_us = clock_now_us();
	d->pull.store_ok_us = d->pull.started_us;
	d->store_ok_us = d->pull.started_us;
	d->settings.links->ops->attach(d->settings.links, d);
	s = duty_start(&d->duty);
	if (s == AZ_OK && d->watch)
		s = conf_watch_start(d->watch);
	if (s == AZ_OK)
		duty_arm(&d->duty, clock_now_us());
	return s;
}

void conf_duty_stop(struct conf_duty *d)
{
	if (d->watch)
		conf_watch_stop(d->watch);
	duty_stop(&d->duty);
}

void conf_duty_destroy(struct conf_duty *d)
{
	struct msg *m;

	while ((m = ring_pop(d->duty.ring)))
		m->ops->drop(m);
	duty_destroy(&d->duty);
	conf_table_destroy(d->table);
}

/* ---- status ---- */

static void fill_status(struct conf_duty *d, void *arg)
{
	struct conf_duty_status *s = arg;

	s->digest = conf_table_digest(d->table);
	s->digest_in_force = d->in_force;
	s->watcher = d->watcher;
	s->store_ok = __atomic_load_n(&d->store_ok, __ATOMIC_RELAXED);
	s->objects = calloc(conf_table_size(d->table) + 1, sizeof(*s->objects));
	if (!s->objects)
		abort();
	for (uint32_t i = 0; i < conf_table_size(d->table); i++) {
		const struct conf_object *o = conf_table_at(d->table, i);
		struct store_object *to = &s->objects[s->object_count];

		if (!o->version)
			continue;
		snprintf(to->key, sizeof(to->key), "%s", o->key);
		to->version = o->version;
		to->deleted = o->deleted;
		s->object_count++;
	}
}

enum az_status conf_duty_status(struct conf_duty *d,
				struct conf_duty_status *out)
{
	memset(out, 0, sizeof(*out));
	if (!run_in_duty(d, fill_status, out))
		return az_fail(AZ_AGAIN,
			       "configuration duty is busy or stopping");
	return AZ_OK;
}

void conf_duty_status_free(struct conf_duty_status *s)
{
	free(s->objects);
	s->objects = NULL;
}
