#include <stdlib.h>
#include <string.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "feed/relay.h"

#define RING_SLOTS 1024
#define MAGIC 0x415a4e31U /* "AZN1" */
#define NEWS_MAX_BYTES 64
#define FETCH_TIMEOUT_US (800 * US_PER_MS)

struct relay {
	struct duty duty;
	struct relay_settings settings;
	struct poll_handler socket;
	struct fleet_keys keys; /**< of this thread only */
	struct relay_role role;
	bool active;
	bool fetching;
	uint64_t digest; /**< how far this daemon has got */
	struct counter *fetches;
	struct counter *failures;
};

/* ---- datagrams ---- */

struct news {
	uint64_t member;
	uint64_t incarnation;
	uint64_t digest;
};

static bool code(XDR *x, struct news *n)
{
	return xdr_uint64_t(x, &n->member) &&
	       xdr_uint64_t(x, &n->incarnation) && xdr_uint64_t(x, &n->digest);
}

static uint32_t encode(const struct news *n, const struct fleet_keys *k,
		       uint8_t out[NEWS_MAX_BYTES])
{
	struct news copy = *n;
	uint32_t len_bytes;
	XDR x;

	if (!k->count)
		return 0;
	xdrmem_create(&x, (char *)out + FLEET_PAYLOAD_OFFSET,
		      NEWS_MAX_BYTES - FLEET_PAYLOAD_OFFSET, XDR_ENCODE);
	if (!code(&x, &copy))
		return 0;
	len_bytes = FLEET_PAYLOAD_OFFSET + xdr_getpos(&x);
	fleet_sign_datagram(k, MAGIC, out, len_bytes);
	return len_bytes;
}

static bool decode(const uint8_t *data, uint32_t len_bytes,
		   const struct fleet_keys *k, struct news *out)
{
	XDR x;

	if (fleet_verify_datagram(k, MAGIC, data, len_bytes) != AZ_OK)
		return false;
	xdrmem_create(&x, (char *)data + FLEET_PAYLOAD_OFFSET,
		      len_bytes - FLEET_PAYLOAD_OFFSET, XDR_DECODE);
	return code(&x, out) &&
	       xdr_getpos(&x) == len_bytes - FLEET_PAYLOAD_OFFSET;
}

/* ---- telling ---- */

static void tell_data_centre(struct relay *r)
{
	const struct relay_settings *s = &r->settings;
	const struct member_view *v = membership_view(s->membership);
	struct news n = { s->member_id, s->incarnation, r->digest };
	uint8_t data[NEWS_MAX_BYTES];
	uint32_t len_bytes = encode(&n, &r->keys, data);

	for (uint32_t i = 0; len_bytes && i < v->member_count; i++) {
		const struct member *m = &v->members[i];

		if (m->dc == s->dc && m->id != s->member_id)
			net_send_to(r->socket.sock, data, len_bytes, m->ip,
				    s->port);
	}
	member_view_release(v);
}

static bool is_chosen(const struct relay *r)
{
	const struct relay_settings *s = &r->settings;
	const struct member_view *v = membership_view(s->membership);
	const struct member *list[RELAY_WATCHERS];
	uint32_t n = member_choose_watchers(v, hash_string("relay"), s->dc,
					    RELAY_WATCHERS, list);
	bool chosen = false;

	for (uint32_t i = 0; i < n; i++)
		chosen |= list[i]->id == s->member_id;
	member_view_release(v);
	return chosen;
}

static void set_active(struct relay *r)
{
	struct relay_source *w = r->settings.local_source;
	bool active = relay_watches(&r->role, r->duty.now_us);

	if (active == r->active)
		return;
	r->active = active;
	log_write(LOG_INFO, "relay", "%s chosen=%s failures=%u heard_ms=%lld",
		  active ? "watches the source itself" : "is told by others",
		  r->role.chosen ? "yes" : "no", r->role.failures,
		  r->role.heard_us ?
			  (long long)((r->duty.now_us - r->role.heard_us) /
				      US_PER_MS) :
			  -1);
	w->ops->set_watching(w, active);
}

/* ---- fetching ---- */

struct fetch {
	struct msg msg;
	struct reply_to reply;
	struct relay *relay;
	struct answer *answer;
};

static void fetch_run(struct msg *m, struct duty *to)
{
	struct fetch *f = az_container_of(m, struct fetch, msg);
	struct relay *r = az_container_of(to, struct relay, duty);

	r->fetching = false;
	if (f->answer->kind == ERR_NONE &&
	    feed_import_state(r->settings.feed, &f->answer->body) == AZ_OK) {
		r->role.failures = 0;
	} else {
		r->role.failures++;
		counter_add(r->failures, 1);
		log_write(LOG_WARN, "relay", "fetch failed error=%s",
			  error_info(f->answer->kind)->name);
		set_active(r);
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

static void fetch(struct relay *r, const struct member *from)
{
	struct peer_target to = { from->ip, from->peer_port,
				  from->incarnation };
	struct fetch *f = az_alloc(sizeof(*f));
	struct buf nothing = { 0 };

	f->msg.ops = &fetch_ops;
	f->reply.ops = &reply_ops;
	f->relay = r;
	r->fetching = true;
	counter_add(r->fetches, 1);
	peer_send_conf(r->settings.peer, &to, PEER_CONF_GET, &nothing,
		       r->duty.now_us + FETCH_TIMEOUT_US, &f->reply);
}

static void on_news(struct relay *r, const struct news *n)
{
	const struct member_view *v = membership_view(r->settings.membership);
	const struct member *m = member_view_by_id(v, n->member);

	if (m && m->incarnation == n->incarnation) {
		r->role.heard_us = r->duty.now_us;
		if (!r->fetching && relay_is_news(r->digest, n->digest))
			fetch(r, m);
		set_active(r);
	}
	member_view_release(v);
}

static void on_readable(struct poll_handler *p, int16_t events)
{
	struct relay *r = az_container_of(p, struct relay, socket);
	uint8_t data[NEWS_MAX_BYTES];
	struct news n;
	uint16_t port;
	uint32_t ip;
	uint32_t len_bytes;

	(void)events;
	while ((len_bytes =
			net_receive(p->sock, data, sizeof(data), &ip, &port)))
		if (decode(data, len_bytes, &r->keys, &n))
			on_news(r, &n);
}

static const struct poll_ops socket_ops = { on_readable };

/* ---- notes of this daemon ---- */

struct note {
	struct msg msg;
	uint64_t digest;
	bool hint; /**< of what others know */
};

static void note_run(struct msg *m, struct duty *to)
{
	struct note *n = az_container_of(m, struct note, msg);
	struct relay *r = az_container_of(to, struct relay, duty);

	if (n->hint) {
		relay_hear_hint(&r->role, r->digest, n->digest, r->duty.now_us);
	} else {
		r->digest = n->digest;
		relay_catch_up(&r->role, r->digest);
		if (r->role.chosen)
			tell_data_centre(r);
	}
	free(n);
}

static void note_drop(struct msg *m)
{
	free(az_container_of(m, struct note, msg));
}

static const struct msg_ops note_ops = { "relay-note", note_run, note_drop };

static void send_note(struct relay *r, uint64_t digest, bool hint)
{
	struct note *n = az_alloc(sizeof(*n));

	n->msg.ops = &note_ops;
	n->digest = digest;
	n->hint = hint;
	duty_send(&r->duty, &n->msg);
}

void relay_set_local_digest(struct relay *r, uint64_t digest)
{
	send_note(r, digest, false);
}

void relay_observe_remote_digest(struct relay *r, uint64_t digest)
{
	send_note(r, digest, true);
}

void relay_set_keys(struct relay *r, const struct fleet_keys *keys)
{
	duty_send_copy(&r->duty, &r->keys, keys, sizeof(*keys));
}

/* ---- the duty ---- */

/* A watcher that does not reach the source says nothing, so that the others
 * try for themselves. */
static void on_timer(struct duty *d, int64_t now_us)
{
	struct relay *r = az_container_of(d, struct relay, duty);
	struct relay_source *w = r->settings.local_source;

	duty_arm(d, now_us + RELAY_PERIOD_US);
	r->role.chosen = is_chosen(r);
	set_active(r);
	if (r->role.chosen && r->digest && !w->ops->is_unreachable(w))
		tell_data_centre(r);
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
	r->active = true;
	r->socket.ops = &socket_ops;
	r->fetches = counter_get("relay_fetches");
	r->failures = counter_get("relay_fetches_failed");
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
