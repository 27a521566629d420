/**
 * @file
 * The relay duty: sends and receives positions within the data centre, and
 * fetches the state from a watcher that is ahead.
 */
#include <stdlib.h>
#include <string.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "feed/relay.h"

#define RING_SLOTS 1024
#define MAGIC 0x415a4e31U /* "AZN1" */
#define DATAGRAM_MAX_BYTES 64
/* Age of a state that was never confirmed, and of one from a daemon of an older
 * version, which sends none. */
#define AGE_UNKNOWN UINT32_MAX
/* Time until the deadline of a fetch. */
#define FETCH_TIMEOUT_US (800 * US_PER_MS)

/** Why a member was asked for its state. A fetch of one kind does not wait for
 * one of the other, whose member may have stopped. */
enum fetch_from {
	FETCH_FROM_WATCHER, /**< a watcher has sent a higher position */
	FETCH_FROM_AHEAD, /**< this daemon is behind for too long, and the
			     member is known to be ahead */
	FETCH_FROM_COUNT,
};

/** What distinguishes a claim from the next one in the log. */
struct logged_claim {
	uint64_t incarnation; /**< of the sender; 0: not a watcher */
	uint64_t hash;
	uint64_t own_hash; /**< of what this daemon held */
};

struct relay {
	struct duty duty;
	struct relay_settings settings;
	struct poll_handler socket;
	struct fleet_keys keys; /**< that sign and verify datagrams; used only
				   by the relay thread */
	struct relay_role role;
	enum relay_watch watch; /**< how the source is watched */
	/** A fetch has not been answered yet, by enum fetch_from. */
	bool fetching[FETCH_FROM_COUNT];
	struct relay_position local; /**< changes of the source up to it are
					applied in this daemon; confirmed by its
					own source */
	struct relay_claim claim; /**< what its own source has confirmed */
	int64_t sent_us; /**< when the position was last sent */
	int64_t sent_confirmed_us; /**< local.confirmed_us at that time */
	uint64_t sent_hash; /**< claim.hash at that time */
	/** The last claims that were logged: of each watcher, and of the other
	 * daemons together. */
	struct logged_claim logged[RELAY_WATCHERS + 1];
	struct counter *takeovers;
	struct counter *fetches;
	struct counter *fetch_failures;
};

/* ---- datagrams ---- */

struct position_datagram {
	uint64_t member;
	uint64_t incarnation;
	uint64_t position;
	uint32_t age_ms; /**< time since the hash was confirmed, or AGE_UNKNOWN
			  */
	uint64_t hash; /**< see struct relay_claim; the position may be later */
	uint32_t as_of;
};

static bool xdr_position(XDR *x, struct position_datagram *d)
{
	return xdr_uint64_t(x, &d->member) &&
	       xdr_uint64_t(x, &d->incarnation) &&
	       xdr_uint64_t(x, &d->position);
}

static bool xdr_claim(XDR *x, struct position_datagram *d)
{
	return xdr_uint64_t(x, &d->hash) && xdr_uint32_t(x, &d->as_of);
}

static uint32_t encode(const struct position_datagram *d,
		       const struct fleet_keys *k,
		       uint8_t out[DATAGRAM_MAX_BYTES])
{
	struct position_datagram copy = *d;
	uint32_t len_bytes;
	XDR x;

	if (!k->count)
		return 0;
	xdrmem_create(&x, (char *)out + FLEET_PAYLOAD_OFFSET,
		      DATAGRAM_MAX_BYTES - FLEET_PAYLOAD_OFFSET, XDR_ENCODE);
	if (!xdr_position(&x, &copy) || !xdr_uint32_t(&x, &copy.age_ms) ||
	    !xdr_claim(&x, &copy))
		return 0;
	len_bytes = FLEET_PAYLOAD_OFFSET + xdr_getpos(&x);
	fleet_sign_datagram(k, MAGIC, out, len_bytes);
	return len_bytes;
}

/* Daemons of older versions end the datagram after the position, or after the
 * age. */
static bool decode(const uint8_t *data, uint32_t len_bytes,
		   const struct fleet_keys *k, struct position_datagram *out)
{
	uint32_t payload_bytes;
	XDR x;

	if (fleet_verify_datagram(k, MAGIC, data, len_bytes) != AZ_OK)
		return false;
	payload_bytes = len_bytes - FLEET_PAYLOAD_OFFSET;
	xdrmem_create(&x, (char *)data + FLEET_PAYLOAD_OFFSET, payload_bytes,
		      XDR_DECODE);
	memset(out, 0, sizeof(*out));
	if (!xdr_position(&x, out))
		return false;
	out->age_ms = AGE_UNKNOWN;
	if (xdr_getpos(&x) == payload_bytes)
		return true;
	if (!xdr_uint32_t(&x, &out->age_ms))
		return false;
	if (xdr_getpos(&x) == payload_bytes)
		return true;
	return xdr_claim(&x, out) && xdr_getpos(&x) == payload_bytes;
}

/* ---- sending positions ---- */

static uint32_t local_age_ms(const struct relay *r)
{
	int64_t age_us = r->duty.now_us - r->local.confirmed_us;

	if (!r->local.confirmed_us)
		return AGE_UNKNOWN;
	return age_us < 0 ? 0 : (uint32_t)(age_us / US_PER_MS);
}

static void send_position_to_dc(struct relay *r)
{
	const struct relay_settings *s = &r->settings;
	const struct member_view *v = membership_view(s->membership);
	struct position_datagram d = {
		.member = s->member_id,
		.incarnation = s->incarnation,
		.position = r->local.position,
		.age_ms = local_age_ms(r),
		.hash = r->claim.hash,
		.as_of = r->claim.as_of,
	};
	uint8_t data[DATAGRAM_MAX_BYTES];
	uint32_t len_bytes = encode(&d, &r->keys, data);

	for (uint32_t i = 0; len_bytes && i < v->member_count; i++) {
		const struct member *m = &v->members[i];

		if (m->dc == s->dc && m->id != s->member_id)
			net_send_to(r->socket.sock, data, len_bytes, m->ip,
				    s->port);
	}
	member_view_release(v);
	r->sent_us = r->duty.now_us;
	r->sent_confirmed_us = r->local.confirmed_us;
	r->sent_hash = r->claim.hash;
}

/* A position without a recent confirmation is not sent at the interval, so that
 * the members of the data centre do not go on relying on it. */
static bool has_recent_position(const struct relay *r)
{
	return r->local.position && r->local.confirmed_us &&
	       r->duty.now_us - r->local.confirmed_us <= RELAY_CONFIRMED_MAX_US;
}

static uint32_t rank_of(const struct member_view *v, const struct member *m)
{
	return member_watcher_rank(v, hash_string("relay"), m);
}

/* A daemon that its own view lacks is not a watcher. */
static uint32_t own_rank(const struct relay *r, const struct member_view *v)
{
	const struct member *self = member_view_by_id(v, r->settings.member_id);

	return self ? rank_of(v, self) : UINT32_MAX;
}

/* Time since `since_us`, -1 if that is 0. */
static long long age_ms(const struct relay *r, int64_t since_us)
{
	return since_us ? (r->duty.now_us - since_us) / US_PER_MS : -1;
}

/* In the log line, held and ahead are the positions of this daemon and the
 * highest one heard of (configuration, workers), confirmed_ms is the age of the
 * last confirmation of this daemon's state by another one. */
static void update_watch(struct relay *r)
{
	static const char *const texts[] = {
		[RELAY_WATCH_NOTHING] = "fetches from the watchers",
		[RELAY_WATCH_CHANGES] = "watches the source itself",
		[RELAY_WATCH_CONFIRMED] = "asks the source for confirmations",
	};
	struct relay_source *source = r->settings.local_source;
	enum relay_watch watch = relay_choose_watch(&r->role, r->duty.now_us);

	if (watch == r->watch)
		return;
	r->watch = watch;
	if (watch == RELAY_WATCH_CONFIRMED && r->role.rank)
		counter_add(r->takeovers, 1);
	log_write(LOG_INFO, "relay",
		  "%s rank=%u failures=%u confirmed_ms=%lld behind_ms=%lld "
		  "held=%u,%u ahead=%u,%u",
		  texts[watch], r->role.rank, r->role.failed_fetches,
		  age_ms(r, r->role.confirmed_us),
		  age_ms(r, r->role.behind_since_us),
		  (uint32_t)(r->local.position >> 32),
		  (uint32_t)r->local.position,
		  (uint32_t)(r->role.fleet_position >> 32),
		  (uint32_t)r->role.fleet_position);
	source->ops->set_watch(source, watch);
}

/* ---- fetching the state of another daemon ---- */

struct fetch {
	struct msg msg;
	struct reply_to reply;
	struct relay *relay;
	enum fetch_from from;
	struct peer_target target;
	int64_t started_us;
	struct answer *answer;
};

static void log_fetch(const struct relay *r, const struct fetch *f, bool ok)
{
	log_write(ok ? LOG_INFO : LOG_WARN, "relay",
		  "%s from=%u.%u.%u.%u watcher=%s error=%s bytes=%u "
		  "took_ms=%lld held=%u,%u",
		  ok ? "state fetched" : "fetch of the state failed",
		  f->target.ip >> 24, f->target.ip >> 16 & 255,
		  f->target.ip >> 8 & 255, f->target.ip & 255,
		  f->from == FETCH_FROM_WATCHER ? "yes" : "no",
		  error_info(f->answer->kind)->name, f->answer->body.len_bytes,
		  age_ms(r, f->started_us), (uint32_t)(r->local.position >> 32),
		  (uint32_t)r->local.position);
}

static void fetch_run(struct msg *m, struct duty *to)
{
	struct fetch *f = az_container_of(m, struct fetch, msg);
	struct relay *r = az_container_of(to, struct relay, duty);
	bool ok =
		f->answer->kind == ERR_NONE &&
		feed_import_state(r->settings.feed, &f->answer->body) == AZ_OK;

	r->fetching[f->from] = false;
	log_fetch(r, f, ok);
	if (!ok)
		counter_add(r->fetch_failures, 1);
	if (f->from == FETCH_FROM_WATCHER) {
		r->role.failed_fetches = ok ? 0 : r->role.failed_fetches + 1;
		update_watch(r);
	}
	answer_free(f->answer);
	free(f);
}

static void fetch_drop(struct msg *m)
{
	struct fetch *f = az_container_of(m, struct fetch, msg);

	answer_free(f->answer);
	free(f);
}

static const struct msg_ops fetch_ops = { "relay-fetch", fetch_run,
					  fetch_drop };

static void on_answer(struct reply_to *to, struct answer *a)
{
	struct fetch *f = az_container_of(to, struct fetch, reply);

	f->answer = a;
	duty_send(&f->relay->duty, &f->msg);
}

static const struct reply_ops reply_ops = { on_answer };

static void fetch(struct relay *r, enum fetch_from from,
		  const struct peer_target *target)
{
	struct fetch *f = az_alloc(sizeof(*f));
	struct feed_known known = feed_get_known(r->settings.feed);
	struct buf request = { 0 };

	f->msg.ops = &fetch_ops;
	f->reply.ops = &reply_ops;
	f->relay = r;
	f->from = from;
	f->target = *target;
	f->started_us = r->duty.now_us;
	r->fetching[from] = true;
	counter_add(r->fetches, 1);
	feed_known_print(&known, &request);
	peer_send_conf(r->settings.peer, target, PEER_CONF_GET, &request,
		       r->duty.now_us + FETCH_TIMEOUT_US, &f->reply);
	buf_free(&request);
}

static struct peer_target target_of(const struct member *m)
{
	return (struct peer_target){ m->ip, m->peer_port, m->incarnation };
}

static struct relay_claim claim_of(const struct relay *r,
				   const struct position_datagram *d)
{
	struct relay_claim c = { .hash = d->hash, .as_of = d->as_of };

	if (d->age_ms != AGE_UNKNOWN)
		c.confirmed_us = r->duty.now_us - d->age_ms * US_PER_MS;
	return c;
}

/* Logs on whose word this daemon takes its state for the source's, and whose
 * newer state differs: a line for each watcher and pair of hashes, not for each
 * claim. Daemons that ask in place of the watchers share a line, as there may
 * be many of them. An age of -1 is unknown. */
static void log_claim(struct relay *r, uint32_t rank, const struct member *m,
		      const struct position_datagram *d,
		      const struct feed_known *ours)
{
	bool is_watcher = rank < RELAY_WATCHERS;
	struct logged_claim *last =
		&r->logged[is_watcher ? rank : RELAY_WATCHERS];
	const struct logged_claim c = { is_watcher ? m->incarnation : 0,
					d->hash, ours->hash };

	if (!memcmp(&c, last, sizeof(c)))
		return;
	*last = c;
	log_write(LOG_INFO, "relay",
		  "%s from=%u.%u.%u.%u rank=%u age_ms=%d claimed=%016llx "
		  "claimed_as_of=%u holds=%016llx as_of=%u held=%u,%u",
		  d->hash == ours->hash ? "state confirmed by a claim" :
					  "claim is of another state",
		  m->ip >> 24, m->ip >> 16 & 255, m->ip >> 8 & 255, m->ip & 255,
		  rank, (int32_t)d->age_ms, (unsigned long long)d->hash,
		  d->as_of, (unsigned long long)ours->hash, ours->as_of,
		  (uint32_t)(r->local.position >> 32),
		  (uint32_t)r->local.position);
}

/* If both hold the same, what the sender's source has confirmed is true of this
 * daemon's state. Its revision is raised too, so that an older state is not
 * imported afterwards. */
static void on_claim(struct relay *r, uint32_t rank, const struct member *m,
		     const struct position_datagram *d)
{
	const struct relay_claim claim = claim_of(r, d);
	const struct feed_known ours = feed_get_known(r->settings.feed);
	const struct peer_target target = target_of(m);
	int64_t before_us = r->role.confirmed_us;

	relay_on_claim(&r->role, rank, &ours, &claim);
	if (r->role.confirmed_us != before_us ||
	    relay_claim_is_newer(&ours, &claim))
		log_claim(r, rank, m, d, &ours);
	if (claim.as_of && claim.hash == ours.hash &&
	    feed_revision_is_ahead(ours.as_of, claim.as_of))
		feed_agree(r->settings.feed, claim.hash, claim.as_of);
	if (!r->fetching[FETCH_FROM_WATCHER] &&
	    (feed_position_is_ahead(r->local.position, d->position) ||
	     relay_claim_is_newer(&ours, &claim)))
		fetch(r, FETCH_FROM_WATCHER, &target);
}

static void on_datagram(struct relay *r, const struct position_datagram *d)
{
	const struct member_view *v = membership_view(r->settings.membership);
	const struct member *m = member_view_by_id(v, d->member);

	if (m && m->incarnation == d->incarnation && m->dc == r->settings.dc) {
		r->role.rank = own_rank(r, v);
		on_claim(r, rank_of(v, m), m, d);
		update_watch(r);
	}
	member_view_release(v);
}

static void on_readable(struct poll_handler *p, int16_t events)
{
	struct relay *r = az_container_of(p, struct relay, socket);
	uint8_t data[DATAGRAM_MAX_BYTES];
	struct position_datagram d;
	uint16_t port;
	uint32_t ip;
	uint32_t len_bytes;

	(void)events;
	while ((len_bytes =
			net_receive(p->sock, data, sizeof(data), &ip, &port)))
		if (decode(data, len_bytes, &r->keys, &d))
			on_datagram(r, &d);
}

static const struct poll_ops socket_ops = { on_readable };

/* ---- positions from other parts of this daemon ---- */

enum position_msg_kind {
	POSITION_LOCAL, /**< reached by this daemon */
	POSITION_CONFIRMED, /**< the same, and confirmed by its own source */
	POSITION_REMOTE, /**< reached by another daemon */
};

struct position_msg {
	struct msg msg;
	enum position_msg_kind kind;
	uint64_t position;
	struct relay_claim claim; /**< POSITION_CONFIRMED */
	struct peer_target from; /**< POSITION_REMOTE: the other daemon */
	bool same_dc; /**< it is of this daemon's data centre */
};

/* A daemon that has been behind for too long watches the source, and also
 * fetches from any member that is ahead: the source may refuse this daemon and
 * the watchers of its data centre while it serves others. */
static void on_remote_position(struct relay *r, const struct position_msg *pm)
{
	relay_on_remote_position(&r->role, r->local.position, pm->position,
				 r->duty.now_us);
	if (!r->fetching[FETCH_FROM_AHEAD] &&
	    feed_position_is_ahead(r->local.position, pm->position) &&
	    relay_should_fetch(&r->role, pm->same_dc, r->duty.now_us))
		fetch(r, FETCH_FROM_AHEAD, &pm->from);
	update_watch(r);
}

/* A new hash is not left to the next interval: by then the receivers, which
 * fetch at once, may hold a later state, and the claim would not count. */
static bool has_news(const struct relay *r)
{
	return r->claim.hash != r->sent_hash ||
	       r->local.confirmed_us - r->sent_confirmed_us >= RELAY_PERIOD_US;
}

static void on_local_position(struct relay *r, const struct position_msg *pm)
{
	const struct relay_position reached = { pm->position,
						pm->claim.confirmed_us };
	const struct feed_known ours = feed_get_known(r->settings.feed);
	bool risen = relay_position_raise(&r->local, &reached);

	if (pm->kind == POSITION_CONFIRMED)
		r->claim = pm->claim;
	relay_on_local_state(&r->role, &ours);
	relay_on_local_position(&r->role, r->local.position, r->duty.now_us);
	if (!relay_should_send(&r->role, r->duty.now_us))
		return;
	if (risen || (has_recent_position(r) && has_news(r)))
		send_position_to_dc(r);
}

static void position_msg_run(struct msg *m, struct duty *to)
{
	struct position_msg *pm = az_container_of(m, struct position_msg, msg);
	struct relay *r = az_container_of(to, struct relay, duty);

	if (pm->kind == POSITION_REMOTE)
		on_remote_position(r, pm);
	else
		on_local_position(r, pm);
	free(pm);
}

static void position_msg_drop(struct msg *m)
{
	free(az_container_of(m, struct position_msg, msg));
}

static const struct msg_ops position_msg_ops = { "relay-position",
						 position_msg_run,
						 position_msg_drop };

static struct position_msg *position_msg_new(enum position_msg_kind k,
					     uint64_t position)
{
	struct position_msg *pm = az_alloc(sizeof(*pm));

	pm->msg.ops = &position_msg_ops;
	pm->kind = k;
	pm->position = position;
	return pm;
}

void relay_set_local_position(struct relay *r, uint64_t position)
{
	duty_send(&r->duty, &position_msg_new(POSITION_LOCAL, position)->msg);
}

void relay_set_confirmed(struct relay *r, const struct feed_known *known,
			 int64_t confirmed_us)
{
	struct position_msg *pm =
		position_msg_new(POSITION_CONFIRMED, known->position);

	pm->claim =
		(struct relay_claim){ known->hash, known->as_of, confirmed_us };
	duty_send(&r->duty, &pm->msg);
}

void relay_observe_remote_position(struct relay *r, uint64_t position,
				   const struct member *from)
{
	struct position_msg *pm = position_msg_new(POSITION_REMOTE, position);

	pm->from = target_of(from);
	pm->same_dc = from->dc == r->settings.dc;
	duty_send(&r->duty, &pm->msg);
}

void relay_set_keys(struct relay *r, const struct fleet_keys *keys)
{
	duty_send_copy(&r->duty, &r->keys, keys, sizeof(*keys));
}

/* ---- the duty ---- */

static void arm(struct relay *r)
{
	int64_t next_us = r->duty.now_us + RELAY_PERIOD_US;
	int64_t takeover_us = relay_takeover_us(&r->role) + 1;

	if (takeover_us > r->duty.now_us && takeover_us < next_us)
		next_us = takeover_us;
	duty_arm(&r->duty, next_us);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct relay *r = az_container_of(d, struct relay, duty);
	const struct member_view *v = membership_view(r->settings.membership);

	r->role.rank = own_rank(r, v);
	member_view_release(v);
	update_watch(r);
	if (relay_should_send(&r->role, now_us) && has_recent_position(r) &&
	    now_us - r->sent_us >= RELAY_PERIOD_US)
		send_position_to_dc(r);
	arm(r);
}

static void on_stop(struct duty *d)
{
	struct relay *r = az_container_of(d, struct relay, duty);

	apr_socket_close(r->socket.sock);
}

static const struct duty_ops duty_ops = { "relay", on_timer, on_stop };

struct relay *relay_create(const struct relay_settings *s,
			   struct timer_service *timers)
{
	struct relay *r = az_alloc(sizeof(*r));

	r->settings = *s;
	r->watch = RELAY_WATCH_CHANGES;
	r->role.rank = UINT32_MAX;
	r->role.started_us = clock_now_us();
	r->socket.ops = &socket_ops;
	r->takeovers = counter_get("relay_takeovers");
	r->fetches = counter_get("relay_fetches");
	r->fetch_failures = counter_get("relay_fetches_failed");
	if (duty_init(&r->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK ||
	    net_udp(s->ip, s->port, r->duty.pool, &r->socket.sock) != AZ_OK)
		return NULL;
	return r;
}

enum az_status relay_start(struct relay *r)
{
	enum az_status s = duty_poll(&r->duty, &r->socket, APR_POLLIN);

	if (s == AZ_OK)
		s = duty_start(&r->duty);
	if (s == AZ_OK)
		duty_arm(&r->duty, clock_now_us() + RELAY_PERIOD_US);
	return s;
}

void relay_stop(struct relay *r)
{
	duty_stop(&r->duty);
}

void relay_destroy(struct relay *r)
{
	duty_destroy(&r->duty);
	free(r);
}
