/**
 * @file
 * The daemon: its settings, its parts, and its planned stop.
 */
#ifndef AZHD_AZHD_H
#define AZHD_AZHD_H

#include "admin/admin.h"
#include "attempt/attempt.h"
#include "conf/conf.h"
#include "feed/feed.h"
#include "feed/relay.h"
#include "front/front.h"
#include "home/home.h"
#include "lib/az.h"
#include "member/member.h"
#include "peer/peer.h"
#include "platform/platform.h"
#include "ticket/ticket.h"
#include "upstream/upstream.h"

#define SEEDS_MAX 16

/** IPv4 address in host byte order with a port. */
struct address {
	uint32_t ip;
	uint16_t port;
};

struct azhd_settings {
	char name[MEMBER_NAME_MAX_BYTES];
	char data_centre[CONF_NAME_MAX_BYTES];
	char region[CONF_NAME_MAX_BYTES];
	char site[CONF_NAME_MAX_BYTES];
	struct address front;
	struct address
		ready; /**< where the balancer asks besides; 0: nowhere */
	struct address peer;
	struct address member;
	struct address
		peer_bind; /**< listens here if not where it is dialled */
	struct address admin;
	char admin_token[128];
	char base[256]; /**< base file; "" if the store has it */
	char overlay[256];
	char store[64]; /**< ip:port of the platform's API, "" for none */
	char seeds[SEEDS_MAX][32];
	uint32_t seed_count;
	/** "ip:port" of the users' platform; "" for none. It then has the
	 * configuration, and callers and workers speak its way. */
	char platform[64];
	struct buf places; /**< [data_centre] sections for its configuration */
	struct platform_bounds bounds;
	uint32_t retry_slack; /**< repeats that a cell may save up */
	struct fleet_keys keys;
	enum log_level log_level;
	uint32_t max_in_flight;
	uint32_t member_period_ms;
	uint32_t drain_ms; /**< time for the balancer to notice a stop */
	uint32_t vms_interval_ms; /**< between reads of the platform's list */
	uint32_t stop_timeout_ms; /**< bound of a planned stop, with drain_ms */
};

/** Reads the daemon's file; all errors are collected. */
enum az_status azhd_settings_load(const char *path, struct azhd_settings *out,
				  struct conf_errors *errors);

struct azhd {
	struct peer_handler handler;
	struct admin_source source;
	struct platform_listener listener;
	struct digest_listener digest_listener;
	struct feed_listener feed_listener;
	struct relay_source relay_source;
	char proposed_key[FLEET_KEY_TEXT_BYTES];
	int32_t stopping; /**< atomic */
	struct azhd_settings settings;
	uint64_t incarnation;
	apr_pool_t *pool;
	struct timer_service *timers;
	struct conf_current *conf;
	struct membership *membership;
	struct upstream *upstream;
	struct peer *peer;
	struct home *home;
	struct attempts *attempts;
	struct relay *relay; /**< NULL without the platform */
	struct feed *feed; /**< NULL without the platform */
	struct platform_source *source_of_conf; /**< same */
	struct ticket_duty *ticket;
	struct front *front;
	struct conf_duty *conf_duty; /**< NULL without a store */
	struct admin *admin; /**< NULL without an admin address */
};

/** What the administration API shows and does (status.c). */
extern const struct admin_source_ops azhd_source_ops;

/** Drains, hands the ledgers over and leaves the fleet; returns when no request
 * is left or the bound has passed. Runs in the main thread. */
void azhd_drain(struct azhd *d);

#endif
