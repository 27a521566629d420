/**
 * @file
 * Encoding of the datagrams between requesters and homes: a magic number, a key
 * id and a MAC, then the message in XDR. The MAC covers the message.
 */
#include <string.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "home/home.h"

#define MAGIC 0x415a4831U /* "AZH1" */
#define FLAG_IDEMPOTENT 1U
#define FLAG_USES_RETRY_BUDGET 2U
#define FLAG_NO_QUEUEING 4U
#define FLAG_MUST_QUEUE 8U
#define FLAG_FIRST_GRANT_REQUEST 16U

/* Encodes or decodes a value below `limit`. Like the other transcode functions
 * it works in the direction for which `x` was created. */
static bool transcode_u8(XDR *x, uint8_t *v, uint32_t limit)
{
	uint32_t w = *v;

	if (!xdr_uint32_t(x, &w) || w >= limit)
		return false;
	*v = (uint8_t)w;
	return true;
}

static bool transcode_grant_request(XDR *x, struct home_msg *m)
{
	uint32_t flags =
		(m->idempotent ? FLAG_IDEMPOTENT : 0) |
		(m->uses_retry_budget ? FLAG_USES_RETRY_BUDGET : 0) |
		(m->no_queueing ? FLAG_NO_QUEUEING : 0) |
		(m->must_queue ? FLAG_MUST_QUEUE : 0) |
		(m->first_grant_request ? FLAG_FIRST_GRANT_REQUEST : 0);

	if (!xdr_uint64_t(x, &m->service) || !xdr_uint32_t(x, &m->region) ||
	    !xdr_uint32_t(x, &m->dc) ||
	    !transcode_u8(x, &m->rank, RANK_COUNT) ||
	    !xdr_uint32_t(x, &flags) || !xdr_uint32_t(x, &m->left_ms) ||
	    !xdr_uint32_t(x, &m->target_ms) ||
	    !transcode_u8(x, &m->excluded_count, HOME_EXCLUDED_MAX + 1))
		return false;
	m->idempotent = flags & FLAG_IDEMPOTENT;
	m->uses_retry_budget = flags & FLAG_USES_RETRY_BUDGET;
	m->no_queueing = flags & FLAG_NO_QUEUEING;
	m->must_queue = flags & FLAG_MUST_QUEUE;
	m->first_grant_request = flags & FLAG_FIRST_GRANT_REQUEST;
	for (uint32_t i = 0; i < m->excluded_count; i++)
		if (!xdr_uint64_t(x, &m->excluded[i]))
			return false;
	return true;
}

/* Fields at the end, of which the last ones are left out if they are 0, so that
 * daemons of older versions decode messages without them. */
static bool transcode_optional(XDR *x, uint32_t *const *fields, uint32_t count)
{
	while (x->x_op == XDR_ENCODE && count && !*fields[count - 1])
		count--;
	for (uint32_t i = 0; i < count; i++)
		if ((x->x_op == XDR_ENCODE || x->x_handy) &&
		    !xdr_uint32_t(x, fields[i]))
			return false;
	return true;
}

static bool transcode_body(XDR *x, struct home_msg *m)
{
	uint32_t *const of_grant[] = { &m->worker_unheard };
	uint32_t *const of_completion[] = { &m->limit_mrps, &m->limit_age_ms,
					    &m->worker_leaving, &m->pause_ms };

	switch (m->kind) {
	case HOME_GRANT_REQUEST:
		return transcode_grant_request(x, m);
	case HOME_GRANT:
		return xdr_uint64_t(x, &m->worker) &&
		       xdr_uint32_t(x, &m->typical_max_us) &&
		       transcode_optional(x, of_grant, 1);
	case HOME_QUEUED:
		return xdr_uint32_t(x, &m->wait_ms);
	case HOME_REFUSE:
		return xdr_uint32_t(x, &m->wait_ms) &&
		       transcode_u8(x, &m->error, ERR_KIND_COUNT);
	case HOME_COMPLETION:
		return xdr_uint64_t(x, &m->worker) &&
		       transcode_u8(x, &m->event, EVENT_COUNT) &&
		       xdr_uint32_t(x, &m->latency_us) &&
		       transcode_optional(x, of_completion, 4);
	default:
		return true;
	}
}

static bool transcode(XDR *x, struct home_msg *m)
{
	uint8_t kind = (uint8_t)m->kind;

	if (!transcode_u8(x, &kind, HOME_KIND_COUNT) ||
	    !xdr_uint64_t(x, &m->requester_incarnation) ||
	    !xdr_uint64_t(x, &m->sequence))
		return false;
	m->kind = (enum home_kind)kind;
	return transcode_body(x, m);
}

uint32_t home_encode(const struct home_msg *m, const struct fleet_keys *keys,
		     uint8_t out[HOME_DATAGRAM_MAX_BYTES])
{
	struct home_msg copy = *m;
	uint32_t len_bytes;
	XDR x;

	if (!keys->count)
		return 0;
	xdrmem_create(&x, (char *)out + FLEET_PAYLOAD_OFFSET,
		      HOME_DATAGRAM_MAX_BYTES - FLEET_PAYLOAD_OFFSET,
		      XDR_ENCODE);
	if (!transcode(&x, &copy))
		return 0;
	len_bytes = FLEET_PAYLOAD_OFFSET + xdr_getpos(&x);
	fleet_sign_datagram(keys, MAGIC, out, len_bytes);
	return len_bytes;
}

enum az_status home_decode(const uint8_t *data, uint32_t len_bytes,
			   const struct fleet_keys *keys, struct home_msg *out)
{
	enum az_status st;
	XDR x;

	memset(out, 0, sizeof(*out));
	st = fleet_verify_datagram(keys, MAGIC, data, len_bytes);
	if (st != AZ_OK)
		return st;
	xdrmem_create(&x, (char *)data + FLEET_PAYLOAD_OFFSET,
		      len_bytes - FLEET_PAYLOAD_OFFSET, XDR_DECODE);
	if (!transcode(&x, out) ||
	    xdr_getpos(&x) != len_bytes - FLEET_PAYLOAD_OFFSET)
		return az_fail(AZ_INVALID, "malformed home datagram");
	return AZ_OK;
}
