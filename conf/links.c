#include "conf/conf.h"
#include "member/member.h"
#include "peer/peer.h"

/** Links of a daemon to its member and peer duties. */
struct daemon_links {
	struct conf_links links;
	struct digest_listener listener;
	struct membership *membership;
	struct peer *peer;
	struct conf_duty *duty;
};

static struct daemon_links *of(struct conf_links *l)
{
	return az_container_of(l, struct daemon_links, links);
}

static const struct member_view *view(struct conf_links *l)
{
	return membership_view(of(l)->membership);
}

static void release_view(struct conf_links *l, const struct member_view *v)
{
	(void)l;
	member_view_release(v);
}

static void set_digest(struct conf_links *l, uint64_t digest)
{
	membership_set_digest(of(l)->membership, digest);
}

static void ask(struct conf_links *l, const struct member *to, bool get,
		const struct buf *body, int64_t deadline_us,
		struct reply_to *reply)
{
	struct peer_target target = {
		.ip = to->ip,
		.port = to->peer_port,
		.incarnation = to->incarnation,
	};

	peer_send_conf(of(l)->peer, &target,
		       get ? PEER_CONF_GET : PEER_CONF_LIST, body, deadline_us,
		       reply);
}

static void platform_list(struct conf_links *l, const uint64_t *live,
			  uint32_t live_count)
{
	membership_set_platform_list(of(l)->membership, live, live_count);
}

static void attach(struct conf_links *l, struct conf_duty *duty)
{
	of(l)->duty = duty;
	membership_set_digest_listener(of(l)->membership, &of(l)->listener);
}

static void differs(struct digest_listener *l, const struct member *from,
		    uint64_t digest)
{
	struct daemon_links *d =
		az_container_of(l, struct daemon_links, listener);

	conf_duty_digest(d->duty, from, digest);
}

struct conf_links *conf_links_create(struct membership *m, struct peer *p,
				     apr_pool_t *pool)
{
	static const struct conf_links_ops ops = { view,	  release_view,
						   set_digest,	  ask,
						   platform_list, attach };
	static const struct digest_listener_ops listener = { differs };
	struct daemon_links *d = apr_pcalloc(pool, sizeof(*d));

	d->links.ops = &ops;
	d->listener.ops = &listener;
	d->membership = m;
	d->peer = p;
	return &d->links;
}
