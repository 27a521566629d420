/**
 * @file
 * Encoding of a home's datagrams: XDR behind a magic number, a key id and a MAC
 * over the rest.
 */
#include <string.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "home/home.h"

#define MAGIC 0x415a4831U /* "AZH1" */
#define FLAG_IDEMPOTENT 1U
#define FLAG_REPEAT 2U
#define FLAG_ONLY_FREE 4U
#define FLAG_INSISTS 8U
#define FLAG_COUNTS 16U

static bool code_u8(XDR *x, uint8_t *v, uint32_t end)
{
	uint32_t w = *v;

	if (!xdr_uint32_t(x, &w) || w >= end)
		return false;
	*v = (uint8_t)w;
	return true;
}

static bool code_ask(XDR *x, struct home_msg *m)
{
	uint32_t flags = (m->idempotent ? FLAG_IDEMPOTENT : 0) |
			 (m->is_retry ? FLAG_REPEAT : 0) |
			 (m->no_queueing ? FLAG_ONLY_FREE : 0) |
			 (m->must_queue ? FLAG_INSISTS : 0) |
			 (m->first_ask ? FLAG_COUNTS : 0);

	if (!xdr_uint64_t(x, &m->service) || !xdr_uint32_t(x, &m->region) ||
	    !xdr_uint32_t(x, &m->dc) || !code_u8(x, &m->rank, RANK_COUNT) ||
	    !xdr_uint32_t(x, &flags) || !xdr_uint32_t(x, &m->left_ms) ||
	    !xdr_uint32_t(x, &m->target_ms) ||
	    !code_u8(x, &m->excluded_count, HOME_EXCLUDED_MAX + 1))
		return false;
	m->idempotent = flags & FLAG_IDEMPOTENT;
	m->is_retry = flags & FLAG_REPEAT;
	m->no_queueing = flags & FLAG_ONLY_FREE;
	m->must_queue = flags & FLAG_INSISTS;
	m->first_ask = flags & FLAG_COUNTS;
	for (uint32_t i = 0; i < m->excluded_count; i++)
		if (!xdr_uint64_t(x, &m->excluded[i]))
			return false;
	return true;
}

static bool code_body(XDR *x, struct home_msg *m)
{
	switch (m->kind) {
	case HOME_ASK:
		return code_ask(x, m);
	case HOME_GRANT:
		return xdr_uint64_t(x, &m->worker) &&
		       xdr_uint32_t(x, &m->typical_max_us);
	case HOME_QUEUED:
		return xdr_uint32_t(x, &m->wait_ms);
	case HOME_REFUSE:
		return xdr_uint32_t(x, &m->wait_ms) &&
		       code_u8(x, &m->error, ERR_KIND_COUNT);
	case HOME_COMPLETION:
		return xdr_uint64_t(x, &m->worker) &&
		       code_u8(x, &m->event, EVENT_COUNT) &&
		       xdr_uint32_t(x, &m->latency_us);
	default:
		return true;
	}
}

static bool code(XDR *x, struct home_msg *m)
{
	uint8_t kind = (uint8_t)m->kind;

	if (!code_u8(x, &kind, HOME_KIND_COUNT) ||
	    !xdr_uint64_t(x, &m->asker_incarnation) ||
	    !xdr_uint64_t(x, &m->sequence))
		return false;
	m->kind = (enum home_kind)kind;
	return code_body(x, m);
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
	if (!code(&x, &copy))
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
	if (!code(&x, out) ||
	    xdr_getpos(&x) != len_bytes - FLEET_PAYLOAD_OFFSET)
		return az_fail(AZ_INVALID, "malformed datagram of a home");
	return AZ_OK;
}
