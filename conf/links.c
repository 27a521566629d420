#include "conf/conf.h"
#include "member/member.h"
#include "peer/peer.h"

/** Implements conf_links by the membership and peer duties of a daemon. */
struct daemon_links {
	struct conf_links links;
	struct digest_listener listener;
	struct membership *membership;
	struct peer *peer;
	struct conf_duty *duty;
};

static struct daemon_links *links_of(struct conf_links *l)
{
	return az_container_of(l, struct daemon_links, links);
}

static const struct member_view *get_view(struct conf_links *l)
{
	return membership_view(links_of(l)->membership);
}

static void release_view(struct conf_links *l, const struct member_view *v)
{
	(void)l;
	member_view_release(v);
}

static void set_digest(struct conf_links *l, uint64_t digest)
{
	membership_set_digest(links_of(l)->membership, digest);
}

static void call_peer(struct conf_links *l, const struct member *to, bool get,
		      const struct buf *body, int64_t deadline_us,
		      struct reply_to *reply)
{
	struct peer_target target = {
		.ip = to->ip,
		.port = to->peer_port,
		.incarnation = to->incarnation,
	};

	peer_send_conf(links_of(l)->peer, &target,
		       get ? PEER_CONF_GET : PEER_CONF_LIST, body, deadline_us,
		       reply);
}

static void set_platform_list(struct conf_links *l, const uint64_t *live,
			      uint32_t live_count)
{
	membership_set_platform_list(links_of(l)->membership, live, live_count);
}

static void attach(struct conf_links *l, struct conf_duty *duty)
{
	links_of(l)->duty = duty;
	membership_set_digest_listener(links_of(l)->membership,
				       &links_of(l)->listener);
}

static void on_digest(struct digest_listener *l, const struct member *from,
		      uint64_t digest)
{
	struct daemon_links *d =
		az_container_of(l, struct daemon_links, listener);

	conf_duty_note_digest(d->duty, from, digest);
}

struct conf_links *conf_links_create(struct membership *m, struct peer *p,
				     apr_pool_t *pool)
{
	static const struct conf_links_ops ops = {
		get_view,  release_view,      set_digest,
		call_peer, set_platform_list, attach
	};
	static const struct digest_listener_ops listener = { on_digest };
	struct daemon_links *d = apr_pcalloc(pool, sizeof(*d));

	d->links.ops = &ops;
	d->listener.ops = &listener;
	d->membership = m;
	d->peer = p;
	return &d->links;
}
