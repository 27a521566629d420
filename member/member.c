/**
 * @file
 * The membership duty: socket, timer, keys, replay protection, and the
 * publication of views. All decisions of the protocol are made in swim.c,
 * roster.c and probe.c.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <apr_network_io.h>
#include <apr_thread_mutex.h>

#include "member/member.h"
#include "peer/peer.h"

#define RING_SLOTS 256
#define TICKS_PER_PERIOD 10
/* If no seed has answered within this time, the daemon counts as joined, as the
 * only member. */
#define ALONE_TIMEOUT_US (3 * US_PER_S)
/* Least time between two published views. */
#define PUBLISH_INTERVAL_US (20 * US_PER_MS)
/* Largest number of datagrams received before timers and commands are served.
 */
#define DATAGRAMS_PER_WAKEUP 64

struct membership_counters {
	struct counter *datagrams_in;
	struct counter *datagrams_out;
	struct counter *bytes_in;
	struct counter *bytes_out;
	struct counter *malformed;
	struct counter *denied;
	struct counter *replayed;
	struct counter *not_sent;
	struct counter *live;
	struct counter *views;
	struct counter *declared_dead;
	struct counter *refutations;
	struct counter *pauses;
};

struct membership {
	struct duty duty;
	struct poll_handler socket;
	apr_sockaddr_t *send_address;
	apr_sockaddr_t *receive_address;
	struct swim *swim;
	struct swim_outbox *outbox; /* reused for each call of swim.c */
	struct swim_msg *received; /* the last decoded datagram */
	struct replay_guard *replays;
	bool has_keys; /* false: datagrams have no MAC */
	struct fleet_keys keys;
	uint64_t datagram_sequence; /* of the last datagram sent */
	int64_t tick_us; /* when swim_tick() is called next */
	int64_t published_us; /* when the last view was published */
	bool superseded; /* has been logged */
	struct digest_listener *listener; /* atomic */
	int32_t joined; /* atomic */
	apr_thread_mutex_t *lock; /* protects `view` */
	const struct member_view *view;
	struct membership_counters counters;
};

/* ---- views ---- */

static void publish(struct membership *m)
{
	const struct member_view *old;
	const struct member_view *v =
		swim_view(m->swim, m->view ? m->view->version + 1 : 1);

	apr_thread_mutex_lock(m->lock);
	old = m->view;
	m->view = v;
	apr_thread_mutex_unlock(m->lock);
	member_view_release(old);
	m->published_us = m->duty.now_us;
	counter_add(m->counters.views, 1);
	counter_set(m->counters.live, v->member_count);
}

const struct member_view *membership_view(struct membership *m)
{
	const struct member_view *v;

	apr_thread_mutex_lock(m->lock);
	v = member_view_retain(m->view);
	apr_thread_mutex_unlock(m->lock);
	return v;
}

bool membership_joined(struct membership *m)
{
	return __atomic_load_n(&m->joined, __ATOMIC_ACQUIRE);
}

/* `joined` is set only after a view with the members is published, so that a
 * thread that sees it also sees them. */
static void update_joined(struct membership *m)
{
	const struct swim *s = m->swim;
	bool alone = s->live_count == 1 &&
		     (!s->seed_count ||
		      m->duty.now_us - s->start_us > ALONE_TIMEOUT_US);

	if (!m->joined && !s->view_stale && (s->join_phase || alone))
		__atomic_store_n(&m->joined, 1, __ATOMIC_RELEASE);
}

static void after_event(struct membership *m)
{
	const struct swim_stats *c = &m->swim->stats;
	int64_t next_us = m->tick_us;

	counter_set(m->counters.declared_dead, (int64_t)c->declared_dead);
	counter_set(m->counters.refutations, (int64_t)c->refutations);
	counter_set(m->counters.pauses, (int64_t)c->pauses);
	if (m->swim->superseded && !m->superseded) {
		m->superseded = true;
		log_write(LOG_ERROR, "member",
			  "a newer process with the same id has taken over "
			  "name=%s",
			  m->swim->self->member.name);
	}
	if (m->swim->view_stale) {
		int64_t at_us = m->published_us + PUBLISH_INTERVAL_US;

		if (m->duty.now_us >= at_us)
			publish(m);
		else if (at_us < next_us)
			next_us = at_us;
	}
	update_joined(m);
	duty_arm(&m->duty, next_us);
}

/* ---- datagrams ---- */

static void send_datagram(struct membership *m, uint32_t ip, uint16_t port,
			  struct swim_msg *msg)
{
	uint8_t data[SWIM_DATAGRAM_MAX_BYTES];
	apr_size_t len;

	msg->datagram_sequence = ++m->datagram_sequence;
	len = wire_encode(msg, m->has_keys ? &m->keys : NULL, data);
	m->send_address->sa.sin.sin_addr.s_addr = htonl(ip);
	m->send_address->sa.sin.sin_port = htons(port);
	if (!len ||
	    apr_socket_sendto(m->socket.sock, m->send_address, 0,
			      (const char *)data, &len) != APR_SUCCESS) {
		counter_add(m->counters.not_sent, 1);
		return;
	}
	counter_add(m->counters.datagrams_out, 1);
	counter_add(m->counters.bytes_out, (int64_t)len);
}

static void send_outbox(struct membership *m)
{
	for (uint32_t i = 0; i < m->outbox->count; i++)
		send_datagram(m, m->outbox->entries[i].ip,
			      m->outbox->entries[i].port,
			      &m->outbox->entries[i].msg);
	if (m->outbox->dropped)
		counter_add(m->counters.not_sent, m->outbox->dropped);
	m->outbox->count = 0;
	m->outbox->dropped = 0;
}

static void notify_digest(struct membership *m)
{
	struct digest_listener *l =
		__atomic_load_n(&m->listener, __ATOMIC_ACQUIRE);
	const struct swim_node *n;

	if (!l || !m->received->digest ||
	    m->received->digest == m->swim->digest)
		return;
	n = swim_find(m->swim, m->received->sender_id);
	if (n && n->member.incarnation == m->received->sender_incarnation)
		l->ops->on_mismatch(l, &n->member, m->received->digest);
}

static void receive_datagram(struct membership *m, const uint8_t *data,
			     uint32_t len)
{
	uint32_t ip = ntohl(m->receive_address->sa.sin.sin_addr.s_addr);
	uint16_t port = ntohs(m->receive_address->sa.sin.sin_port);
	enum az_status s;

	counter_add(m->counters.datagrams_in, 1);
	counter_add(m->counters.bytes_in, len);
	s = wire_decode(data, len, m->has_keys ? &m->keys : NULL, m->received);
	if (s != AZ_OK) {
		counter_add(s == AZ_DENIED ? m->counters.denied :
					     m->counters.malformed,
			    1);
		return;
	}
	if (!replay_guard_accept(m->replays, m->received->sender_incarnation,
				 m->received->datagram_sequence)) {
		counter_add(m->counters.replayed, 1);
		return;
	}
	swim_receive(m->swim, m->duty.now_us, ip, port, m->received, m->outbox);
	notify_digest(m);
	send_outbox(m);
}

static void on_readable(struct poll_handler *h, int16_t events)
{
	struct membership *m = az_container_of(h, struct membership, socket);
	/* One byte more than the maximum, to detect longer datagrams. */
	uint8_t data[SWIM_DATAGRAM_MAX_BYTES + 1];

	(void)events;
	for (int32_t i = 0; i < DATAGRAMS_PER_WAKEUP; i++) {
		apr_size_t len = sizeof(data);

		if (apr_socket_recvfrom(m->receive_address, h->sock, 0,
					(char *)data, &len) != APR_SUCCESS)
			break;
		receive_datagram(m, data, (uint32_t)len);
	}
	after_event(m);
}

static const struct poll_ops socket_ops = { on_readable };

/* ---- the duty ---- */

static void on_timer(struct duty *d, int64_t now_us)
{
	struct membership *m = az_container_of(d, struct membership, duty);

	if (now_us >= m->tick_us) {
		m->tick_us = now_us + m->swim->period_us / TICKS_PER_PERIOD;
		swim_tick(m->swim, now_us, m->outbox);
		send_outbox(m);
	}
	after_event(m);
}

static void on_stop(struct duty *d)
{
	struct membership *m = az_container_of(d, struct membership, duty);

	swim_leave(m->swim, clock_now_us(), m->outbox);
	send_outbox(m);
}

static const struct duty_ops member_ops = { "member", on_timer, on_stop };

static enum az_status parse_seed(const char *text, struct swim_seed *out)
{
	unsigned int a;
	unsigned int b;
	unsigned int c;
	unsigned int d;
	unsigned int port;
	char rest;

	if (sscanf(text, "%3u.%3u.%3u.%3u:%5u%c", &a, &b, &c, &d, &port,
		   &rest) != 5 ||
	    a > 255 || b > 255 || c > 255 || d > 255 || !port || port > 65535)
		return az_fail(AZ_INVALID, "seed '%s' is not IP:PORT", text);
	out->ip = a << 24 | b << 16 | c << 8 | d;
	out->port = (uint16_t)port;
	return AZ_OK;
}

static enum az_status open_socket(struct membership *m, struct member *self)
{
	apr_pool_t *pool = m->duty.pool;
	apr_sockaddr_t *bound;

	if (apr_sockaddr_info_get(&m->send_address, NULL, APR_INET, 0, 0,
				  pool) != APR_SUCCESS ||
	    apr_sockaddr_info_get(&m->receive_address, NULL, APR_INET, 0, 0,
				  pool) != APR_SUCCESS ||
	    apr_socket_create(&m->socket.sock, APR_INET, SOCK_DGRAM,
			      APR_PROTO_UDP, pool) != APR_SUCCESS)
		return az_fail(AZ_IO, "cannot create the membership socket");
	m->send_address->sa.sin.sin_addr.s_addr = htonl(self->ip);
	m->send_address->sa.sin.sin_port = htons(self->member_port);
	if (apr_socket_bind(m->socket.sock, m->send_address) != APR_SUCCESS)
		return az_fail(AZ_IO, "cannot bind the membership port %u",
			       self->member_port);
	apr_socket_opt_set(m->socket.sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(m->socket.sock, 0);
	if (apr_socket_addr_get(&bound, APR_LOCAL, m->socket.sock) ==
	    APR_SUCCESS)
		self->member_port = ntohs(bound->sa.sin.sin_port);
	return AZ_OK;
}

static void get_counters(struct membership_counters *c)
{
	c->datagrams_in = counter_get("member_datagrams_in");
	c->datagrams_out = counter_get("member_datagrams_out");
	c->bytes_in = counter_get("member_bytes_in");
	c->bytes_out = counter_get("member_bytes_out");
	c->malformed = counter_get("member_datagrams_malformed");
	c->denied = counter_get("member_datagrams_denied");
	c->replayed = counter_get("member_datagrams_replayed");
	c->not_sent = counter_get("member_datagrams_not_sent");
	c->live = counter_get("member_live");
	c->views = counter_get("member_views");
	c->declared_dead = counter_get("member_declared_dead");
	c->refutations = counter_get("member_refutations");
	c->pauses = counter_get("member_pauses");
}

static enum az_status add_settings_seeds(struct membership *m,
					 const struct member_settings *s)
{
	for (uint32_t i = 0; i < s->seed_count; i++) {
		struct swim_seed seed = { 0 };

		if (parse_seed(s->seeds[i], &seed) != AZ_OK)
			return AZ_INVALID;
		swim_add_seed(m->swim, seed.ip, seed.port);
	}
	return AZ_OK;
}

static void free_state(struct membership *m)
{
	member_view_release(m->view);
	swim_free(m->swim);
	replay_guard_free(m->replays);
	free(m->outbox);
	free(m->received);
	m->view = NULL;
	m->swim = NULL;
	m->replays = NULL;
	m->outbox = NULL;
	m->received = NULL;
}

void membership_destroy(struct membership *m)
{
	free_state(m);
	duty_destroy(&m->duty);
}

struct membership *membership_create(const struct member_settings *s,
				     struct timer_service *timers,
				     apr_pool_t *pool)
{
	struct membership *m = apr_pcalloc(pool, sizeof(*m));
	struct member self = s->self;

	if (!self.ip || !self.name[0]) {
		az_fail(AZ_INVALID, "a member needs an address and a name");
		return NULL;
	}
	if (!self.id)
		self.id = hash_string(self.name);
	while (!self.incarnation)
		self.incarnation = random_u64();
	if (duty_init(&m->duty, &member_ops, RING_SLOTS, timers) != AZ_OK ||
	    open_socket(m, &self) != AZ_OK) {
		duty_destroy(&m->duty);
		return NULL;
	}
	m->socket.ops = &socket_ops;
	apr_thread_mutex_create(&m->lock, APR_THREAD_MUTEX_DEFAULT, pool);
	m->outbox = calloc(1, sizeof(*m->outbox));
	m->received = calloc(1, sizeof(*m->received));
	if (!m->outbox || !m->received)
		abort();
	m->replays = replay_guard_new();
	m->has_keys = s->keys != NULL;
	if (s->keys)
		m->keys = *s->keys;
	get_counters(&m->counters);
	m->swim = swim_new(&self, s->period_ms, random_u64(), clock_now_us());
	if (add_settings_seeds(m, s) != AZ_OK) {
		membership_destroy(m);
		return NULL;
	}
	publish(m);
	return m;
}

enum az_status membership_start(struct membership *m)
{
	enum az_status s = duty_poll(&m->duty, &m->socket, APR_POLLIN);

	if (s != AZ_OK)
		return s;
	/* Set before the thread starts: a command that runs before the first
	 * tick arms the timer for tick_us. */
	m->tick_us = clock_now_us();
	duty_arm(&m->duty, m->tick_us);
	return duty_start(&m->duty);
}

void membership_stop(struct membership *m)
{
	duty_stop(&m->duty);
	apr_socket_close(m->socket.sock);
}

/* ---- commands from other threads ---- */

struct command {
	struct msg msg;
	uint64_t value; /* incarnation of the successor, or digest */
	struct fleet_keys keys;
	uint32_t count;
	bool is_null; /* the caller passed NULL for keys or list */
	void *list; /* owned */
};

static struct command *command_new(const struct msg_ops *ops, const void *list,
				   uint32_t count, size_t item_bytes)
{
	struct command *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->msg.ops = ops;
	c->count = count;
	if (!count)
		return c;
	c->list = malloc(count * item_bytes);
	if (!c->list)
		abort();
	memcpy(c->list, list, count * item_bytes);
	return c;
}

static void command_drop(struct msg *msg)
{
	struct command *c = az_container_of(msg, struct command, msg);

	free(c->list);
	free(c);
}

/* The swim_set_ functions have no time argument; they use the state's now_us.
 */
static struct swim *command_begin(struct duty *to)
{
	struct membership *m = az_container_of(to, struct membership, duty);

	m->swim->now_us = to->now_us;
	return m->swim;
}

static void command_end(struct msg *msg, struct duty *to)
{
	command_drop(msg);
	after_event(az_container_of(to, struct membership, duty));
}

static void reports_run(struct msg *msg, struct duty *to)
{
	struct command *c = az_container_of(msg, struct command, msg);

	swim_set_reports(command_begin(to), c->list, c->count);
	command_end(msg, to);
}

static const struct msg_ops reports_ops = { "reports", reports_run,
					    command_drop };

void membership_set_reports(struct membership *m,
			    const struct member_report *list, uint32_t count)
{
	if (count > MEMBER_REPORTS_MAX)
		count = MEMBER_REPORTS_MAX;
	duty_send(&m->duty,
		  &command_new(&reports_ops, list, count, sizeof(*list))->msg);
}

static void stopping_run(struct msg *msg, struct duty *to)
{
	swim_set_stopping(command_begin(to));
	command_end(msg, to);
}

static const struct msg_ops stopping_ops = { "stopping", stopping_run,
					     command_drop };

void membership_set_stopping(struct membership *m)
{
	duty_send(&m->duty, &command_new(&stopping_ops, NULL, 0, 0)->msg);
}

static void successor_run(struct msg *msg, struct duty *to)
{
	struct command *c = az_container_of(msg, struct command, msg);

	swim_set_successor(command_begin(to), c->value);
	command_end(msg, to);
}

static const struct msg_ops successor_ops = { "successor", successor_run,
					      command_drop };

void membership_set_successor(struct membership *m, uint64_t incarnation)
{
	struct command *c = command_new(&successor_ops, NULL, 0, 0);

	c->value = incarnation;
	duty_send(&m->duty, &c->msg);
}

static void digest_run(struct msg *msg, struct duty *to)
{
	struct command *c = az_container_of(msg, struct command, msg);

	swim_set_digest(command_begin(to), c->value);
	command_end(msg, to);
}

static const struct msg_ops digest_ops = { "digest", digest_run, command_drop };

void membership_set_digest(struct membership *m, uint64_t digest)
{
	struct command *c = command_new(&digest_ops, NULL, 0, 0);

	c->value = digest;
	duty_send(&m->duty, &c->msg);
}

void membership_set_digest_listener(struct membership *m,
				    struct digest_listener *l)
{
	__atomic_store_n(&m->listener, l, __ATOMIC_RELEASE);
}

static void keys_run(struct msg *msg, struct duty *to)
{
	struct command *c = az_container_of(msg, struct command, msg);
	struct membership *m = az_container_of(to, struct membership, duty);

	m->has_keys = !c->is_null;
	m->keys = c->keys;
	command_end(msg, to);
}

static const struct msg_ops keys_ops = { "keys", keys_run, command_drop };

void membership_set_keys(struct membership *m, const struct fleet_keys *keys)
{
	struct command *c = command_new(&keys_ops, NULL, 0, 0);

	c->is_null = !keys;
	if (keys)
		c->keys = *keys;
	duty_send(&m->duty, &c->msg);
}

static void platform_ids_run(struct msg *msg, struct duty *to)
{
	struct command *c = az_container_of(msg, struct command, msg);
	static const uint64_t empty;

	swim_set_platform_ids(command_begin(to),
			      c->is_null ? NULL :
			      c->list	 ? c->list :
					   &empty,
			      c->count);
	command_end(msg, to);
}

static const struct msg_ops platform_ids_ops = { "listed", platform_ids_run,
						 command_drop };

void membership_set_platform_list(struct membership *m, const uint64_t *live,
				  uint32_t live_count)
{
	struct command *c =
		command_new(&platform_ids_ops, live, live_count, sizeof(*live));

	c->is_null = !live;
	duty_send(&m->duty, &c->msg);
}

static void seeds_run(struct msg *msg, struct duty *to)
{
	struct command *c = az_container_of(msg, struct command, msg);
	const struct swim_seed *list = c->list;

	for (uint32_t i = 0; i < c->count; i++)
		swim_add_seed(command_begin(to), list[i].ip, list[i].port);
	command_end(msg, to);
}

static const struct msg_ops seeds_ops = { "seeds", seeds_run, command_drop };

enum az_status membership_add_seeds(struct membership *m,
				    const char *const *seeds, uint32_t count)
{
	struct swim_seed list[SWIM_SEEDS_MAX];

	if (count > SWIM_SEEDS_MAX)
		return az_fail(AZ_FULL, "more than %d seeds", SWIM_SEEDS_MAX);
	for (uint32_t i = 0; i < count; i++)
		if (parse_seed(seeds[i], &list[i]) != AZ_OK)
			return AZ_INVALID;
	return duty_send(
		&m->duty,
		&command_new(&seeds_ops, list, count, sizeof(*list))->msg);
}
