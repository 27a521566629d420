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
/* Age of a position that was never confirmed, and of one from a daemon of an
 * older version, which sends none. */
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
	uint64_t incarnation; /**< of the sender */
	uint64_t position;
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
	int64_t sent_us; /**< when the position was last sent */
	int64_t sent_confirmed_us; /**< local.confirmed_us at that time */
	struct logged_claim logged; /**< the last claim that was logged */
	struct counter *takeovers;
	struct counter *fetches;
	struct counter *fetch_failures;
};

/* ---- datagrams ---- */

struct position_datagram {
	uint64_t member;
	uint64_t incarnation;
	uint64_t position;
	uint32_t age_ms; /**< time since the position was confirmed, or
			    AGE_UNKNOWN */
};

static bool xdr_position(XDR *x, struct position_datagram *d)
{
	return xdr_uint64_t(x, &d->member) &&
	       xdr_uint64_t(x, &d->incarnation) &&
	       xdr_uint64_t(x, &d->position);
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
	if (!xdr_position(&x, &copy) || !xdr_uint32_t(&x, &copy.age_ms))
		return 0;
	len_bytes = FLEET_PAYLOAD_OFFSET + xdr_getpos(&x);
	fleet_sign_datagram(k, MAGIC, out, len_bytes);
	return len_bytes;
}

static bool decode(const uint8_t *data, uint32_t len_bytes,
		   const struct fleet_keys *k, struct position_datagram *out)
{
	XDR x;

	if (fleet_verify_datagram(k, MAGIC, data, len_bytes) != AZ_OK)
		return false;
	xdrmem_create(&x, (char *)data + FLEET_PAYLOAD_OFFSET,
		      len_bytes - FLEET_PAYLOAD_OFFSET, XDR_DECODE);
	if (!xdr_position(&x, out))
		return false;
	out->age_ms = AGE_UNKNOWN;
	if (xdr_getpos(&x) == len_bytes - FLEET_PAYLOAD_OFFSET)
		return true;
	return xdr_uint32_t(&x, &out->age_ms) &&
	       xdr_getpos(&x) == len_bytes - FLEET_PAYLOAD_OFFSET;
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
	struct position_datagram d = { s->member_id, s->incarnation,
				       r->local.position, local_age_ms(r) };
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

static struct relay_position claim_of(const struct relay *r,
				      const struct position_datagram *d)
{
	struct relay_position c = { .position = d->position };

	if (d->age_ms != AGE_UNKNOWN)
		c.confirmed_us = r->duty.now_us - d->age_ms * US_PER_MS;
	return c;
}

/* Logs on whose word this daemon takes its state for the source's: one line for
 * each sender and position, not for each claim. */
static void log_claim(struct relay *r, const struct member *m,
		      const struct position_datagram *d)
{
	const struct logged_claim c = { m->incarnation, d->position };

	if (c.incarnation == r->logged.incarnation &&
	    c.position == r->logged.position)
		return;
	r->logged = c;
	log_write(LOG_INFO, "relay",
		  "state confirmed by a claim from=%u.%u.%u.%u age_ms=%u "
		  "claimed=%u,%u held=%u,%u",
		  m->ip >> 24, m->ip >> 16 & 255, m->ip >> 8 & 255, m->ip & 255,
		  d->age_ms, (uint32_t)(d->position >> 32),
		  (uint32_t)d->position, (uint32_t)(r->local.position >> 32),
		  (uint32_t)r->local.position);
}

static void on_datagram(struct relay *r, const struct position_datagram *d)
{
	const struct member_view *v = membership_view(r->settings.membership);
	const struct member *m = member_view_by_id(v, d->member);

	if (m && m->incarnation == d->incarnation && m->dc == r->settings.dc) {
		struct peer_target target = target_of(m);
		struct relay_position claim = claim_of(r, d);
		int64_t before_us = r->role.confirmed_us;

		r->role.rank = own_rank(r, v);
		relay_on_claim(&r->role, rank_of(v, m), r->local.position,
			       &claim);
		if (r->role.confirmed_us != before_us)
			log_claim(r, m, d);
		if (!r->fetching[FETCH_FROM_WATCHER] &&
		    feed_position_is_ahead(r->local.position, d->position))
			fetch(r, FETCH_FROM_WATCHER, &target);
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

struct position_msg {
	struct msg msg;
	uint64_t position;
	int64_t confirmed_us; /**< by this daemon's own source; 0: not */
	bool is_remote; /**< reached by another daemon, not this one */
	/* If is_remote: */
	struct peer_target from; /**< that daemon */
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

static void on_local_position(struct relay *r, const struct position_msg *pm)
{
	const struct relay_position reached = { pm->position,
						pm->confirmed_us };
	bool risen = relay_position_raise(&r->local, &reached);

	relay_on_local_position(&r->role, r->local.position, r->duty.now_us);
	if (!relay_should_send(&r->role, r->duty.now_us))
		return;
	if (risen ||
	    (has_recent_position(r) &&
	     r->local.confirmed_us - r->sent_confirmed_us >= RELAY_PERIOD_US))
		send_position_to_dc(r);
}

static void position_msg_run(struct msg *m, struct duty *to)
{
	struct position_msg *pm = az_container_of(m, struct position_msg, msg);
	struct relay *r = az_container_of(to, struct relay, duty);

	if (pm->is_remote)
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

void relay_set_local_position(struct relay *r, uint64_t position,
			      int64_t confirmed_us)
{
	struct position_msg *pm = az_alloc(sizeof(*pm));

	pm->msg.ops = &position_msg_ops;
	pm->position = position;
	pm->confirmed_us = confirmed_us;
	duty_send(&r->duty, &pm->msg);
}

void relay_observe_remote_position(struct relay *r, uint64_t position,
				   const struct member *from)
{
	struct position_msg *pm = az_alloc(sizeof(*pm));

	pm->msg.ops = &position_msg_ops;
	pm->position = position;
	pm->is_remote = true;
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
