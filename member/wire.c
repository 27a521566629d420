/**
 * @file
 * Encoding of membership datagrams: a magic number, a key id and a MAC,
 * followed by the signed contents in XDR. Each xdr_ function both encodes and
 * decodes.
 */
#include <string.h>
#include <rpc/types.h>
#include <rpc/xdr.h>

#include "member/member.h"
#include "peer/peer.h"

#define MAGIC 0x415a4d31U /* "AZM1" */
#define MAC_OFFSET 8
#define SIGNED_OFFSET (MAC_OFFSET + FLEET_MAC_BYTES)
/* Largest `range_bits` that is accepted. */
#define SYNC_BITS_MAX 16

static bool xdr_byte(XDR *x, uint8_t *v)
{
	uint32_t w = *v;

	if (!xdr_uint32_t(x, &w) || w > UINT8_MAX)
		return false;
	*v = (uint8_t)w;
	return true;
}

/* The kind and two flags share one word. */
static bool xdr_kind(XDR *x, struct swim_msg *m)
{
	uint32_t w = (uint32_t)m->kind | (uint32_t)m->receiver_unknown << 8 |
		     (uint32_t)m->last_page << 9;

	if (!xdr_uint32_t(x, &w) || (w & 0xff) >= SWIM_KIND_COUNT || w >> 10)
		return false;
	m->kind = (enum swim_kind)(w & 0xff);
	m->receiver_unknown = w >> 8 & 1;
	m->last_page = w >> 9 & 1;
	return true;
}

static bool xdr_sync(XDR *x, struct swim_msg *m)
{
	if (!xdr_byte(x, &m->range_bits) || !xdr_uint32_t(x, &m->first_range) ||
	    !xdr_uint64_t(x, &m->departed_hash) ||
	    !xdr_uint32_t(x, &m->hash_count))
		return false;
	if (m->range_bits > SYNC_BITS_MAX || !m->hash_count ||
	    m->hash_count > SWIM_HASHES_MAX ||
	    m->first_range >= UINT32_C(1) << m->range_bits ||
	    m->hash_count > (UINT32_C(1) << m->range_bits) - m->first_range)
		return false;
	for (uint32_t i = 0; i < m->hash_count; i++)
		if (!xdr_uint32_t(x, &m->hashes[i]))
			return false;
	return true;
}

static bool xdr_body(XDR *x, struct swim_msg *m)
{
	switch (m->kind) {
	case SWIM_PING_REQUEST:
	case SWIM_INDIRECT_ACK:
	case SWIM_NACK:
		return xdr_uint64_t(x, &m->target) &&
		       xdr_uint64_t(x, &m->target_incarnation);
	case SWIM_PAGE_REQUEST:
		return xdr_uint64_t(x, &m->target) && xdr_uint32_t(x, &m->dc);
	case SWIM_PAGE:
		return xdr_uint64_t(x, &m->target);
	case SWIM_SYNC:
		return xdr_sync(x, m);
	default:
		return true;
	}
}

static bool xdr_reports(XDR *x, struct swim_msg *m, struct swim_update *u)
{
	struct swim_reports *l;

	if (x->x_op == XDR_DECODE) {
		if (m->report_list_count == SWIM_REPORT_LISTS_MAX)
			return false;
		u->report_list = (uint8_t)m->report_list_count++;
		m->report_lists[u->report_list].count = 0;
	}
	l = &m->report_lists[u->report_list];
	if (!xdr_uint32_t(x, &l->count) || l->count > MEMBER_REPORTS_MAX)
		return false;
	for (uint32_t i = 0; i < l->count; i++) {
		struct member_report *r = &l->reports[i];
		uint32_t w = (uint32_t)r->kind << 8 | r->severity;

		if (!xdr_uint64_t(x, &r->subject) || !xdr_uint32_t(x, &w) ||
		    w >> 8 >= REPORT_KIND_COUNT)
			return false;
		r->kind = (uint8_t)(w >> 8);
		r->severity = (uint8_t)(w & 0xff);
	}
	return true;
}

static bool xdr_full(XDR *x, struct swim_update *u)
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

static bool xdr_update(XDR *x, struct swim_msg *m, struct swim_update *u)
{
	uint32_t w = (uint32_t)u->kind | (uint32_t)u->member.state << 8 |
		     (uint32_t)u->member.stopping << 16 |
		     (uint32_t)u->scope << 17;

	if (!xdr_uint32_t(x, &w) || (w & 0xff) >= UPDATE_KIND_COUNT ||
	    (w >> 8 & 0xff) > MEMBER_DEAD || w >> 17 > SCOPE_OTHER_REGION)
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
		return xdr_full(x, u);
	if (u->kind == UPDATE_REPORTS)
		return xdr_reports(x, m, u);
	return true;
}

static bool xdr_message(XDR *x, struct swim_msg *m)
{
	if (!xdr_uint64_t(x, &m->sender_id) ||
	    !xdr_uint64_t(x, &m->sender_incarnation) ||
	    !xdr_uint64_t(x, &m->datagram_sequence) || !xdr_kind(x, m) ||
	    !xdr_uint64_t(x, &m->digest) || !xdr_uint32_t(x, &m->nonce) ||
	    !xdr_body(x, m) || !xdr_uint32_t(x, &m->update_count) ||
	    m->update_count > SWIM_UPDATES_MAX || !m->sender_id)
		return false;
	for (uint32_t i = 0; i < m->update_count; i++)
		if (!xdr_update(x, m, &m->updates[i]))
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

	memset(out, 0, SIGNED_OFFSET);
	xdrmem_create(&x, (char *)out + SIGNED_OFFSET,
		      SWIM_DATAGRAM_MAX_BYTES - SIGNED_OFFSET, XDR_ENCODE);
	if (!xdr_message(&x, (struct swim_msg *)m))
		return 0;
	len = SIGNED_OFFSET + xdr_getpos(&x);
	if (keys)
		key_id = fleet_sign(keys, out + SIGNED_OFFSET,
				    len - SIGNED_OFFSET, out + MAC_OFFSET);
	xdrmem_create(&x, (char *)out, MAC_OFFSET, XDR_ENCODE);
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

	if (len_bytes < SIGNED_OFFSET || len_bytes > SWIM_DATAGRAM_MAX_BYTES)
		return az_fail(AZ_INVALID,
			       "datagram of invalid length %u bytes",
			       len_bytes);
	xdrmem_create(&x, (char *)data, SIGNED_OFFSET, XDR_DECODE);
	if (!xdr_uint32_t(&x, &magic) || !xdr_uint32_t(&x, &key_id) ||
	    magic != MAGIC)
		return az_fail(AZ_INVALID, "not a membership datagram");
	if (keys && !fleet_verify(keys, key_id, data + SIGNED_OFFSET,
				  len_bytes - SIGNED_OFFSET, data + MAC_OFFSET))
		return az_fail(AZ_DENIED,
			       "datagram with a wrong MAC, key id %u", key_id);
	memset(out, 0, offsetof(struct swim_msg, updates));
	out->report_list_count = 0;
	memset(out->updates, 0, sizeof(out->updates));
	xdrmem_create(&x, (char *)data + SIGNED_OFFSET,
		      len_bytes - SIGNED_OFFSET, XDR_DECODE);
	if (!xdr_message(&x, out) ||
	    xdr_getpos(&x) != len_bytes - SIGNED_OFFSET)
		return az_fail(AZ_INVALID, "malformed membership datagram");
	return AZ_OK;
}
