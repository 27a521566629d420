#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>
#include <apr_strings.h>

#include "cmd/azhd/azhd.h"

/* The relay's UDP port is the number of the `peer` port plus this. The platform
 * assigns a range of ports to each daemon; its last port is for membership. */
#define RELAY_PORT_OFFSET 1
#define READY_CHECK_INTERVAL_NS 50000000
/* Share of the descriptors for connections that have not proved to be peers. */
#define PEER_SETUPS_DIVISOR 16
#define LONG_BUFFER_BYTES (32 << 10)
/* Gossip periods after the start in which this daemon may not yet know of all
 * members that left, and of their successors. In this time membership has
 * compared its list of departed members with those of eight members of the data
 * centre and of one of another. */
#define MEMBERSHIP_SETTLE_PERIODS 32

const char *argp_program_version = "azhd 0.1";

static char doc[] = "Proxy daemon of an azurehold fleet.\v"
		    "SIGTERM drains and stops, SIGHUP reloads fleet keys, log "
		    "level and configuration files, SIGINT stops at once.\n"
		    "Exit status: 0 after a stop, 1 if the start fails, 2 if "
		    "the settings are invalid.";

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Settings of this daemon", 0 },
	{ "check", 'c', NULL, 0,
	  "Check the settings and the configuration files, then exit", 0 },
	{ 0 },
};

struct arguments {
	const char *settings;
	bool check;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case 'c':
		a->check = true;
		return 0;
	case ARGP_KEY_END:
		if (!a->settings)
			argp_error(state, "--settings is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { options, parse_option, NULL, doc,
				  NULL,	   NULL,	 NULL };

static void print_errors(const struct conf_errors *e)
{
	uint32_t n = e->count < CONF_ERRORS_MAX ? e->count : CONF_ERRORS_MAX;

	for (uint32_t i = 0; i < n; i++)
		fprintf(stderr, "%s:%d: %s\n", e->list[i].file, e->list[i].line,
			e->list[i].reason);
	if (e->count > n)
		fprintf(stderr, "and %u more errors\n", e->count - n);
}

/* ---- calls from other daemons ---- */

static void on_ticket_presented(struct peer_handler *h, const struct ticket *t,
				struct request *r, struct reply_to *reply)
{
	struct azhd *d = az_container_of(h, struct azhd, peer_handler);

	ticket_present(d->ticket, t, r, reply);
}

static void on_handover(struct peer_handler *h, struct ledger_part *part,
			struct reply_to *reply)
{
	struct azhd *d = az_container_of(h, struct azhd, peer_handler);

	ticket_adopt(d->ticket, part, reply);
}

/* Another daemon asks for the configuration that this one has read from the
 * platform or the store. A daemon that reads only files has none to pass on. */
static void on_conf_call(struct peer_handler *h, enum peer_procedure proc,
			 struct buf *body, struct reply_to *reply)
{
	struct azhd *d = az_container_of(h, struct azhd, peer_handler);

	if (d->feed)
		feed_send_state(d->feed, body, reply);
	else if (d->conf_duty)
		conf_duty_serve(d->conf_duty, proc == PEER_CONF_GET, body,
				reply);
	else
		reply->ops->answer(reply, answer_new(ERR_NO_HOME));
}

static const struct peer_handler_ops peer_handler_ops = { on_ticket_presented,
							  on_handover,
							  on_conf_call };

/* ---- creation, start and stop of the parts ---- */

/* Reads the configuration files, if the settings name any, and puts them in
 * force. */
static enum az_status load_conf(struct azhd *d)
{
	struct conf_errors errors;
	struct conf *c;
	const struct azhd_settings *s = &d->settings;

	if (!s->base_path[0])
		return AZ_OK;
	if (conf_load_files(s->base_path,
			    s->overlay_path[0] ? s->overlay_path : NULL, &c,
			    &errors) != AZ_OK) {
		print_errors(&errors);
		return az_fail(AZ_INVALID, "configuration has %u errors",
			       errors.count);
	}
	conf_current_set(d->conf, c);
	return AZ_OK;
}

/* This daemon as a member of the fleet. */
static struct member self_member(const struct azhd *d)
{
	const struct azhd_settings *s = &d->settings;
	struct member m = {
		.id = hash_string(s->name),
		.incarnation = d->incarnation,
		.ip = s->peer.ip,
		.peer_port = s->peer.port,
		.member_port = s->member.port,
		.dc = conf_place_id(s->data_centre),
		.region = conf_place_id(s->region),
		.state = MEMBER_ALIVE,
	};

	snprintf(m.name, sizeof(m.name), "%s", s->name);
	return m;
}

static enum az_status create_membership(struct azhd *d)
{
	const char *seeds[SEEDS_MAX];
	struct member_settings ms = {
		.self = self_member(d),
		.seeds = seeds,
		.seed_count = d->settings.seed_count,
		.period_ms = d->settings.member_period_ms,
		.keys = &d->settings.keys,
	};

	for (uint32_t i = 0; i < ms.seed_count; i++)
		seeds[i] = d->settings.seeds[i];
	d->membership = membership_create(&ms, d->timers, d->pool);
	return d->membership ? AZ_OK : AZ_IO;
}

/* Creates the parts that a request passes through. */
static enum az_status create_request_path(struct azhd *d)
{
	const struct azhd_settings *s = &d->settings;
	struct member self = self_member(d);
	struct peer_settings ps = {
		.ip = s->peer_bind.ip,
		.port = s->peer_bind.port,
		.member_id = self.id,
		.incarnation = d->incarnation,
		.in_flight_max = s->max_in_flight,
		.setups_max = s->max_descriptors / PEER_SETUPS_DIVISOR,
		.keys = s->keys,
		.handler = &d->peer_handler,
	};
	struct home_settings hs = {
		.ip = s->peer.ip,
		.port = s->peer.port,
		.incarnation = d->incarnation,
		.conf = d->conf,
		.membership = d->membership,
		.retry_slack = s->retry_slack,
	};
	struct attempt_settings as = {
		.ip = s->peer.ip,
		.member_id = self.id,
		.incarnation = d->incarnation,
		.dc = self.dc,
		.region = self.region,
		.conf = d->conf,
		.membership = d->membership,
		.upstream = d->upstream,
	};
	struct ticket_settings ts = {
		.ip = s->peer.ip,
		.port = s->peer.port,
		.incarnation = d->incarnation,
		.membership = d->membership,
		.membership_settle_us = s->member_period_ms *
					MEMBERSHIP_SETTLE_PERIODS * US_PER_MS,
		.memory_bytes = (uint64_t)s->memory_mb << 20,
	};
	struct front_settings fs = {
		.ip = s->front.ip,
		.port = s->front.port,
		.health_ip = s->ready.ip,
		.health_port = s->ready.port,
		.in_flight_max = s->max_in_flight,
		.memory_bytes = (uint64_t)s->memory_mb << 20,
		.descriptors_max = s->max_descriptors,
		.dialect = s->platform_address[0] ? &platform_caller_dialect :
						    NULL,
		.conf = d->conf,
		.membership = d->membership,
	};

	d->peer = peer_create(&ps, d->timers, d->pool);
	if (!d->peer)
		return AZ_IO;
	d->home = home_create(&hs, d->timers);
	as.home = d->home;
	d->attempts = attempts_create(&as, d->timers);
	if (!d->home || !d->attempts)
		return AZ_IO;
	ts.attempts = d->attempts;
	ts.peer = d->peer;
	d->ticket = ticket_create(&ts, d->timers, d->pool);
	fs.attempts = d->attempts;
	fs.ticket = d->ticket;
	d->front = front_create(&fs, d->timers, d->pool);
	return d->ticket && d->front ? AZ_OK : AZ_IO;
}

static enum az_status create_conf_duty(struct azhd *d)
{
	const struct azhd_settings *s = &d->settings;
	struct conf_settings cs = {
		.store_url =
			apr_psprintf(d->pool, "http://%s", s->store_address),
		.site = s->site,
		.member_id = hash_string(s->name),
		.dc = conf_place_id(s->data_centre),
		.vms_interval_ms = s->vms_interval_ms,
		.current = d->conf,
		.links = conf_links_create(d->membership, d->peer, d->pool),
	};

	if (!s->store_address[0])
		return AZ_OK;
	d->conf_duty = conf_duty_create(&cs, d->timers, d->pool);
	return d->conf_duty ? AZ_OK : AZ_IO;
}

static void set_keys(struct azhd *d, const struct fleet_keys *keys)
{
	peer_set_keys(d->peer, keys);
	membership_set_keys(d->membership, keys);
	home_set_keys(d->home, keys);
	attempts_set_keys(d->attempts, keys);
	if (d->relay)
		relay_set_keys(d->relay, keys);
}

static void on_fleet_key(struct platform_listener *l, const char *text)
{
	struct azhd *d = az_container_of(l, struct azhd, platform_listener);
	struct fleet_keys keys;

	if (fleet_keys_parse(text, &keys) == AZ_OK) {
		set_keys(d, &keys);
		log_write(LOG_INFO, "azhd",
			  "fleet key read from the platform's store");
	} else {
		log_write(LOG_ERROR, "azhd",
			  "invalid fleet key in the platform's store reason=%s",
			  az_last_message());
	}
}

/* Gossip carries the position to the other members as this daemon's digest. */
static void on_source_progress(struct platform_listener *l, uint64_t position)
{
	struct azhd *d = az_container_of(l, struct azhd, platform_listener);

	membership_set_digest(d->membership, position);
	if (d->relay)
		relay_set_local_position(d->relay, position);
}

static void on_feed_position_raised(struct feed_listener *l, uint64_t position)
{
	struct azhd *d = az_container_of(l, struct azhd, feed_listener);

	platform_source_advance_to(d->platform_source, position);
}

static void on_feed_confirmed(struct feed_listener *l,
			      const struct feed_known *known,
			      int64_t confirmed_us)
{
	struct azhd *d = az_container_of(l, struct azhd, feed_listener);

	if (d->relay)
		relay_set_confirmed(d->relay, known, confirmed_us);
}

static const struct feed_listener_ops feed_listener_ops = {
	on_feed_position_raised, on_feed_confirmed
};

static void set_source_watch(struct relay_source *s, enum relay_watch watch)
{
	static const enum platform_watch_mode modes[] = {
		[RELAY_WATCH_NOTHING] = PLATFORM_WATCH_NOTHING,
		[RELAY_WATCH_CHANGES] = PLATFORM_WATCH_CHANGES,
		[RELAY_WATCH_CONFIRMED] = PLATFORM_WATCH_CONFIRMED,
	};
	struct azhd *d = az_container_of(s, struct azhd, relay_source);

	platform_source_set_mode(d->platform_source, modes[watch]);
}

static const struct relay_source_ops relay_source_ops = { set_source_watch };

static const struct platform_listener_ops platform_listener_ops = {
	on_fleet_key, on_source_progress
};

/* With a platform the digests of the members are positions; see
 * on_source_progress(). */
static void on_digest_mismatch(struct digest_listener *l,
			       const struct member *from, uint64_t digest)
{
	struct azhd *d = az_container_of(l, struct azhd, digest_listener);

	platform_source_observe_remote_position(d->platform_source, digest,
						clock_now_us());
	relay_observe_remote_position(d->relay, digest, from);
}

static const struct digest_listener_ops digest_listener_ops = {
	on_digest_mismatch
};

/* Writes the text of a random fleet key to `out`. Each daemon of the platform
 * proposes one; all use the one that reached the platform's store first. */
static void random_key(char out[FLEET_KEY_TEXT_BYTES])
{
	snprintf(out, FLEET_KEY_TEXT_BYTES, "1:%016llx%016llx%016llx%016llx",
		 (unsigned long long)random_u64(),
		 (unsigned long long)random_u64(),
		 (unsigned long long)random_u64(),
		 (unsigned long long)random_u64());
}

static enum az_status create_platform_source(struct azhd *d)
{
	struct feed_settings fs = { d->conf, &d->feed_listener };
	struct member self = self_member(d);
	struct relay_settings rs = {
		.ip = d->settings.peer.ip,
		.port = (uint16_t)(d->settings.peer.port + RELAY_PORT_OFFSET),
		.member_id = self.id,
		.incarnation = d->incarnation,
		.dc = self.dc,
		.membership = d->membership,
		.peer = d->peer,
		.local_source = &d->relay_source,
	};
	struct platform_source_settings ps = {
		.proposed_fleet_key = d->proposed_key,
		.listener = &d->platform_listener,
		.store = d->settings.platform_address,
		.dc_sections = (const char *)d->settings.dc_section_text.data,
		.bounds = d->settings.bounds,
	};

	if (!d->settings.platform_address[0])
		return AZ_OK;
	random_key(d->proposed_key);
	d->platform_listener.ops = &platform_listener_ops;
	d->feed_listener.ops = &feed_listener_ops;
	d->relay_source.ops = &relay_source_ops;
	upstream_set_dialect(d->upstream, &platform_worker_dialect);
	d->feed = feed_create(&fs, d->timers);
	ps.feed = d->feed;
	if (d->feed)
		d->platform_source = platform_source_create(&ps, d->pool);
	if (!d->platform_source)
		return AZ_IO;
	rs.feed = d->feed;
	d->relay = relay_create(&rs, d->timers);
	if (!d->relay)
		return AZ_IO;
	d->digest_listener.ops = &digest_listener_ops;
	membership_set_digest_listener(d->membership, &d->digest_listener);
	return AZ_OK;
}

static enum az_status create_admin(struct azhd *d)
{
	struct admin_settings as = {
		.ip = d->settings.admin.ip,
		.port = d->settings.admin.port,
		.token = d->settings.admin_token,
		.source = &d->admin_source,
	};

	if (!as.port)
		return AZ_OK;
	d->admin_source.ops = &azhd_admin_source_ops;
	d->admin = admin_create(&as, d->pool);
	return d->admin ? AZ_OK : AZ_IO;
}

static enum az_status create(struct azhd *d)
{
	enum az_status st;

	d->peer_handler.ops = &peer_handler_ops;
	d->incarnation = random_u64();
	d->timers = timer_service_create(d->pool);
	d->conf = conf_current_create(d->pool);
	d->upstream = upstream_create(d->timers, d->pool);
	if (!d->upstream)
		return AZ_IO;
	upstream_set_memory(d->upstream, (uint64_t)d->settings.memory_mb << 20);
	st = load_conf(d);
	if (st == AZ_OK)
		st = create_membership(d);
	if (st == AZ_OK)
		st = create_request_path(d);
	if (st == AZ_OK)
		st = create_conf_duty(d);
	if (st == AZ_OK)
		st = create_platform_source(d);
	return st == AZ_OK ? create_admin(d) : st;
}

static enum az_status start(struct azhd *d)
{
	enum az_status st = timer_service_start(d->timers);

	if (st == AZ_OK)
		st = upstream_start(d->upstream);
	if (st == AZ_OK)
		st = membership_start(d->membership);
	if (st == AZ_OK)
		st = ticket_start(d->ticket);
	if (st == AZ_OK)
		st = peer_start(d->peer);
	if (st == AZ_OK && d->conf_duty)
		st = conf_duty_start(d->conf_duty);
	if (st == AZ_OK)
		st = home_start(d->home);
	if (st == AZ_OK)
		st = attempts_start(d->attempts);
	if (st == AZ_OK && d->feed)
		st = feed_start(d->feed);
	if (st == AZ_OK && d->relay)
		st = relay_start(d->relay);
	if (st == AZ_OK && d->platform_source)
		st = platform_source_start(d->platform_source);
	if (st == AZ_OK && d->settings.keys.count)
		set_keys(d, &d->settings.keys);
	if (st == AZ_OK)
		st = front_start(d->front);
	/* Last: an operator who reads the status here may then send requests,
	 * so every other part has to run. */
	if (st == AZ_OK && d->admin)
		st = admin_start(d->admin);
	return st;
}

/* Stops the parts in the order from the callers to the workers, so that no part
 * on the path of a request sends to a stopped one. Calls of other daemons may
 * reach the feed and conf_duty until the peer has stopped, so these are freed
 * after that. */
static void stop(struct azhd *d)
{
	if (d->admin)
		admin_stop(d->admin);
	front_stop(d->front);
	if (d->conf_duty)
		conf_duty_stop(d->conf_duty);
	if (d->relay)
		relay_stop(d->relay);
	if (d->platform_source)
		platform_source_stop(d->platform_source);
	ticket_stop(d->ticket);
	attempts_stop(d->attempts);
	upstream_stop(d->upstream);
	home_stop(d->home);
	peer_stop(d->peer);
	if (d->feed)
		feed_stop(d->feed);
	membership_stop(d->membership);
	if (d->conf_duty)
		conf_duty_destroy(d->conf_duty);
	timer_service_stop(d->timers);
}

/* ---- signals ---- */

/* Applies the fleet keys, the log level and the configuration files; all other
 * settings keep the values they had at the start. */
static void reload(struct azhd *d, const char *path)
{
	struct azhd_settings s;
	struct conf_errors errors;

	if (azhd_settings_load(path, &s, &errors) != AZ_OK) {
		print_errors(&errors);
		log_write(LOG_ERROR, "azhd", "reload failed: %s",
			  az_last_message());
		return;
	}
	if (s.keys.count) {
		d->settings.keys = s.keys;
		set_keys(d, &s.keys);
	}
	log_set_level(s.log_level);
	if (load_conf(d) != AZ_OK)
		log_write(LOG_ERROR, "azhd", "reload failed: %s",
			  az_last_message());
	else
		log_write(LOG_INFO, "azhd", "reloaded");
}

static sigset_t handled_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	return set;
}

/* The balancer may send callers here only once the configuration is known and
 * membership_joined() is true; earlier requests would be refused needlessly. */
static bool is_ready(struct azhd *d)
{
	struct conf *c = conf_current_get(d->conf);
	bool ready = conf_service_count(c) && membership_joined(d->membership);

	conf_release(c);
	return ready;
}

/* Waits for a signal and returns it. Until the daemon is ready, waits no longer
 * than READY_CHECK_INTERVAL_NS, then checks whether it is ready now and returns
 * 0. */
static int wait_signal(struct azhd *d, bool *ready)
{
	const struct timespec check_interval = { 0, READY_CHECK_INTERVAL_NS };
	sigset_t set = handled_signals();
	int sig = 0;

	if (*ready) {
		sigwait(&set, &sig);
		return sig;
	}
	sig = sigtimedwait(&set, NULL, &check_interval);
	if (sig > 0)
		return sig;
	*ready = is_ready(d);
	if (*ready) {
		front_set_ready(d->front);
		log_write(LOG_INFO, "azhd", "ready");
	}
	return 0;
}

static void serve(struct azhd *d, const char *path)
{
	bool ready = false;

	for (;;) {
		int sig = wait_signal(d, &ready);

		if (sig == SIGHUP)
			reload(d, path);
		if (sig == SIGTERM)
			azhd_drain(d);
		if (sig == SIGTERM || sig == SIGINT)
			return;
	}
}

static int run(struct azhd *d, const struct arguments *a)
{
	if (create(d) != AZ_OK || start(d) != AZ_OK) {
		log_write(LOG_ERROR, "azhd", "cannot start: %s",
			  az_last_message());
		return 1;
	}
	log_write(LOG_INFO, "azhd", "started incarnation=%016llx",
		  (unsigned long long)d->incarnation);
	serve(d, a->settings);
	stop(d);
	log_write(LOG_INFO, "azhd", "stopped");
	return 0;
}

int main(int argc, char **argv)
{
	static struct azhd daemon;
	struct arguments a = { NULL, false };
	struct conf_errors errors;
	sigset_t set = handled_signals();

	/* Before anything else: a signal that arrives during the start stays
	 * pending for serve() and does not end the process. */
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (azhd_settings_load(a.settings, &daemon.settings, &errors) !=
	    AZ_OK) {
		print_errors(&errors);
		return 2;
	}
	/* A fixed threshold, which glibc raises otherwise: long buffers then go
	 * back to the system when they are freed. */
	mallopt(M_MMAP_THRESHOLD, LONG_BUFFER_BYTES);
	apr_initialize();
	apr_pool_create(&daemon.pool, NULL);
	log_set_level(daemon.settings.log_level);
	log_to_stdout();
	log_set_source(daemon.settings.name);
	if (a.check) {
		daemon.conf = conf_current_create(daemon.pool);
		return load_conf(&daemon) == AZ_OK ? 0 : 2;
	}
	return run(&daemon, &a);
}
