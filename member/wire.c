/**
 * @file
 * Encoding of membership datagrams: XDR behind a magic number, a key id and a
 * MAC over the rest.
 */
#include <string.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "member/member.h"
#include "peer/peer.h"

#define MAGIC 0x415a4d31U /* "AZM1" */
#define MAC_AT 8
#define SIGNED_AT (MAC_AT + FLEET_MAC_BYTES)
#define SYNC_BITS_MAX 16

static bool code_u8(XDR *x, uint8_t *v)
{
	uint32_t w = *v;

	if (!xdr_uint32_t(x, &w) || w > UINT8_MAX)
		return false;
	*v = (uint8_t)w;
	return true;
}

/* Kind and flags in one word. */
static bool code_kind(XDR *x, struct swim_msg *m)
{
	uint32_t w = (uint32_t)m->kind | (uint32_t)m->unknown << 8 |
		     (uint32_t)m->done << 9;

	if (!xdr_uint32_t(x, &w) || (w & 0xff) >= SWIM_KIND_COUNT || w >> 10)
		return false;
	m->kind = (enum swim_kind)(w & 0xff);
	m->unknown = w >> 8 & 1;
	m->done = w >> 9 & 1;
	return true;
}

static bool code_sync(XDR *x, struct swim_msg *m)
{
	if (!code_u8(x, &m->bits) || !xdr_uint32_t(x, &m->first) ||
	    !xdr_uint64_t(x, &m->departed_hash) ||
	    !xdr_uint32_t(x, &m->hash_count))
		return false;
	if (m->bits > SYNC_BITS_MAX || !m->hash_count ||
	    m->hash_count > SWIM_HASHES_MAX ||
	    m->first >= UINT32_C(1) << m->bits ||
	    m->hash_count > (UINT32_C(1) << m->bits) - m->first)
		return false;
	for (uint32_t i = 0; i < m->hash_count; i++)
		if (!xdr_uint32_t(x, &m->hashes[i]))
			return false;
	return true;
}

static bool code_body(XDR *x, struct swim_msg *m)
{
	switch (m->kind) {
	case SWIM_PING_REQUEST:
	case SWIM_RELAYED_ACK:
	case SWIM_NACK:
		return xdr_uint64_t(x, &m->target) &&
		       xdr_uint64_t(x, &m->target_incarnation);
	case SWIM_PAGE_REQUEST:
		return xdr_uint64_t(x, &m->target) && xdr_uint32_t(x, &m->dc);
	case SWIM_PAGE:
		return xdr_uint64_t(x, &m->target);
	case SWIM_SYNC:
		return code_sync(x, m);
	default:
		return true;
	}
}

static bool code_reports(XDR *x, struct swim_msg *m, struct swim_update *u)
{
	struct swim_reports *l;

	if (x->x_op == XDR_DECODE) {
		if (m->list_count == SWIM_REPORT_LISTS_MAX)
			return false;
		u->list = (uint8_t)m->list_count++;
		m->lists[u->list].count = 0;
	}
	l = &m->lists[u->list];
	if (!xdr_uint32_t(x, &l->count) || l->count > MEMBER_REPORTS_MAX)
		return false;
	for (uint32_t i = 0; i < l->count; i++) {
		struct report *r = &l->reports[i];
		uint32_t w = (uint32_t)r->kind << 8 | r->severity;

		if (!xdr_uint64_t(x, &r->subject) || !xdr_uint32_t(x, &w) ||
		    w >> 8 >= REPORT_KIND_COUNT)
			return false;
		r->kind = (uint8_t)(w >> 8);
		r->severity = (uint8_t)(w & 0xff);
	}
	return true;
}

static bool code_full(XDR *x, struct swim_update *u)
{
	struct member *m = &u->member;
	uint32_t ports = (uint32_t)m->peer_port << 16 | m->member_port;
	char *name = m->name;

	if (!xdr_uint32_t(x, &m->ip) || !xdr_uint32_t(x, &ports) ||
	    !xdr_uint32_t(x, &m->dc) || !xdr_uint32_t(x, &m->region) ||
	    !xdr_uint64_t(x, &m->successor) || !xdr_uint32_t(x, &u->age_ms) ||
	    !xdr_string(x, &name, MEMBER_NAME_MAX_BYTES - 1))
		return false;
	m->peer_port = (uint16_t)(ports >> 16);
	m->member_port = (uint16_t)ports;
	return true;
}

static bool code_update(XDR *x, struct swim_msg *m, struct swim_update *u)
{
	uint32_t w = (uint32_t)u->kind | (uint32_t)u->member.state << 8 |
		     (uint32_t)u->member.stopping << 16 |
		     (uint32_t)u->scope << 17;

	if (!xdr_uint32_t(x, &w) || (w & 0xff) >= UPDATE_KIND_COUNT ||
	    (w >> 8 & 0xff) > MEMBER_DEAD || w >> 17 > SCOPE_AFAR)
		return false;
	u->kind = (enum swim_update_kind)(w & 0xff);
	u->member.state = (enum member_state)(w >> 8 & 0xff);
	u->member.stopping = w >> 16 & 1;
	u->scope = (enum swim_scope)(w >> 17);
	if (!xdr_uint64_t(x, &u->member.id) ||
	    !xdr_uint64_t(x, &u->member.incarnation) ||
	    !xdr_uint32_t(x, &u->generation) ||
	    !xdr_uint32_t(x, &u->sequence) || !u->member.id)
		return false;
	if (u->kind == UPDATE_FULL)
		return code_full(x, u);
	if (u->kind == UPDATE_REPORTS)
		return code_reports(x, m, u);
	return true;
}

/* One description for both directions, as usual with XDR. */
static bool code_msg(XDR *x, struct swim_msg *m)
{
	if (!xdr_uint64_t(x, &m->from) ||
	    !xdr_uint64_t(x, &m->from_incarnation) ||
	    !xdr_uint64_t(x, &m->datagram) || !code_kind(x, m) ||
	    !xdr_uint64_t(x, &m->digest) || !xdr_uint32_t(x, &m->nonce) ||
	    !code_body(x, m) || !xdr_uint32_t(x, &m->update_count) ||
	    m->update_count > SWIM_UPDATES_MAX || !m->from)
		return false;
	for (uint32_t i = 0; i < m->update_count; i++)
		if (!code_update(x, m, &m->updates[i]))
			return false;
	return true;
}

uint32_t wire_encode(const struct swim_msg *m, const struct fleet_keys *keys,
		     uint8_t out[SWIM_DATAGRAM_MAX_BYTES])
{
	XDR x;
	uint32_t magic = MAGIC;
	uint32_t key_id = 0;
	uint32_t len;

	memset(out, 0, SIGNED_AT);
	xdrmem_create(&x, (char *)out + SIGNED_AT,
		      SWIM_DATAGRAM_MAX_BYTES - SIGNED_AT, XDR_ENCODE);
	if (!code_msg(&x, (struct swim_msg *)m))
		return 0;
	len = SIGNED_AT + xdr_getpos(&x);
	if (keys)
		key_id = fleet_sign(keys, out + SIGNED_AT, len - SIGNED_AT,
				    out + MAC_AT);
	xdrmem_create(&x, (char *)out, MAC_AT, XDR_ENCODE);
	xdr_uint32_t(&x, &magic);
	xdr_uint32_t(&x, &key_id);
	return len;
}

enum az_status wire_decode(const uint8_t *data, uint32_t len_bytes,
			   const struct fleet_keys *keys, struct swim_msg *out)
{
	XDR x;
	uint32_t magic = 0;
	uint32_t key_id = 0;

	if (len_bytes < SIGNED_AT || len_bytes > SWIM_DATAGRAM_MAX_BYTES)
		return az_fail(AZ_INVALID, "datagram of %u bytes", len_bytes);
	xdrmem_create(&x, (char *)data, SIGNED_AT, XDR_DECODE);
	if (!xdr_uint32_t(&x, &magic) || !xdr_uint32_t(&x, &key_id) ||
	    magic != MAGIC)
		return az_fail(AZ_INVALID, "not a membership datagram");
	if (keys && !fleet_verify(keys, key_id, data + SIGNED_AT,
				  len_bytes - SIGNED_AT, data + MAC_AT))
		return az_fail(AZ_DENIED, "wrong MAC, key %u", key_id);
	memset(out, 0, offsetof(struct swim_msg, updates));
	out->list_count = 0;
	memset(out->updates, 0, sizeof(out->updates));
	xdrmem_create(&x, (char *)data + SIGNED_AT, len_bytes - SIGNED_AT,
		      XDR_DECODE);
	if (!code_msg(&x, out) || xdr_getpos(&x) != len_bytes - SIGNED_AT)
		return az_fail(AZ_INVALID, "malformed membership datagram");
	return AZ_OK;
}
