/**
 * @file
 * Program: the proxy daemon. Settings, creation and start of the parts, and the
 * planned stop.
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

/* Most members that a starting daemon contacts to join the fleet. */
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
	char site[CONF_NAME_MAX_BYTES]; /**< its overlay in the store applies
					   to this daemon */
	struct address front; /**< serves the callers */
	struct address ready; /**< second address of the balancer's health
				 check; port 0: none */
	struct address peer; /**< other daemons connect here */
	struct address member; /**< UDP address of membership */
	struct address peer_bind; /**< local address of the listening socket for
				     `peer`; differs if peers reach it through
				     a forwarder */
	struct address admin; /**< port 0: no administration API */
	char admin_token[128];
	char base_path[256]; /**< base configuration file; "" if the store has
				it */
	char overlay_path[256]; /**< file of the site's overlay; "": none */
	char store_address[64]; /**< "ip:port" of the platform's object API; "":
				   none */
	char seeds[SEEDS_MAX][32]; /**< "ip:port" of the membership of other
				      daemons, contacted at the start */
	uint32_t seed_count;
	/** "ip:port" of the users' platform; "": none. With a platform the
	 * daemon reads its configuration there and speaks the platform's HTTP
	 * dialects with callers and workers. */
	char platform_address[64];
	struct buf dc_section_text; /**< INI text, ended by a zero byte: the
			      [data_centre] sections that are put before the
			      platform's configuration */
	struct platform_bounds bounds; /**< section [bounds] */
	uint32_t retry_slack; /**< retries that a cell may make beyond its share
			      of the requests */
	struct fleet_keys keys; /**< by which daemons authenticate each other;
				   none: the key in the platform's store */
	enum log_level log_level;
	uint32_t max_in_flight; /**< most requests of callers, and most calls of
				   other daemons, handled at once */
	uint32_t member_period_ms; /**< gossip period of membership */
	uint32_t drain_ms; /**< time for the balancer to notice a stop */
	uint32_t vms_interval_ms; /**< between reads of the platform's VM list
				   */
	uint32_t stop_timeout_ms; /**< longest planned stop, drain_ms included
				   */
	uint32_t memory_mb; /**< that this process may use, in MiB */
	uint32_t max_descriptors; /**< file descriptors that it may have */
};

/** Reads the daemon's settings file; `errors` gets every error in it. */
enum az_status azhd_settings_load(const char *path, struct azhd_settings *out,
				  struct conf_errors *errors);

struct azhd {
	struct peer_handler peer_handler;
	struct admin_source admin_source;
	struct platform_listener platform_listener;
	struct digest_listener digest_listener;
	struct feed_listener feed_listener;
	struct relay_source relay_source;
	char proposed_key[FLEET_KEY_TEXT_BYTES]; /**< becomes the fleet key if
						    the platform's store has
						    none yet */
	int32_t stopping; /**< atomic; a planned stop has begun */
	struct azhd_settings settings;
	uint64_t incarnation; /**< random number of this start of the daemon */
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
	struct platform_source *platform_source; /**< NULL without the platform
						  */
	struct ticket_duty *ticket;
	struct front *front;
	struct conf_duty *conf_duty; /**< NULL without a store */
	struct admin *admin; /**< NULL without an admin address */
};

/** Callbacks of the administration API (status.c). */
extern const struct admin_source_ops azhd_admin_source_ops;

/** Planned stop: drains the requests, hands the ticket ledgers over to another
 * daemon and leaves the fleet. Returns when no request is in flight or
 * stop_timeout_ms has passed. Runs in the main thread. */
void azhd_drain(struct azhd *d);

#endif
