/**
 * @file
 * Encoding of signed RPC records and of their bodies.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <rpc/rpc.h>

#include "peer/peer.h"

/* RPC authentication flavours outside the assigned range. In a call the
 * credential holds the key id and the sequence number, the verifier the MAC. A
 * reply has no credential, and its verifier holds all three. */
#define FLAVOR_SEQUENCE 0x20a20001
#define FLAVOR_MAC 0x20a20002
/* Key id and sequence number. */
#define CRED_BYTES 12
#define REPLY_VERF_BYTES (CRED_BYTES + FLEET_MAC_BYTES)
#define CALL_HEADER_BYTES 68
#define CALL_MAC_OFFSET 52
#define REPLY_HEADER_BYTES 52
#define REPLY_MAC_OFFSET 32
#define RECORD_MARK_BYTES 4
/* Bit of the record mark. */
#define LAST_FRAGMENT 0x80000000U
/* The MAC also covers both nonces and the direction: they precede the record
 * when it is signed, but are not sent. */
#define SIGNED_PREFIX_BYTES 17
#define PATH_MAX_BYTES 16384
#define TRACEPARENT_BYTES 56

/* ---- signed records ---- */

static void put_u64(uint8_t *p, uint64_t v)
{
	for (int32_t i = 7; i >= 0; i--, v >>= 8)
		p[i] = (uint8_t)v;
}

static uint64_t get_u64(const uint8_t *p)
{
	uint64_t v = 0;

	for (uint32_t i = 0; i < 8; i++)
		v = v << 8 | p[i];
	return v;
}

static void put_signed_prefix(struct buf *b, const struct peer_session *s,
			      bool from_client)
{
	uint8_t prefix[SIGNED_PREFIX_BYTES];

	put_u64(prefix, s->client_nonce);
	put_u64(prefix + 8, s->server_nonce);
	prefix[16] = from_client;
	buf_append(b, prefix, sizeof(prefix));
}

/* `signed_part` holds prefix, header and body. Signs it, appends the record
 * with its mark to `out`, and frees `signed_part`. */
static void sign_and_append(struct buf *out, struct buf *signed_part,
			    const struct fleet_keys *k, uint32_t mac_offset)
{
	uint32_t bytes = signed_part->len_bytes - SIGNED_PREFIX_BYTES;
	uint32_t mark = htonl(LAST_FRAGMENT | bytes);
	uint8_t mac[FLEET_MAC_BYTES];

	fleet_sign(k, signed_part->data, signed_part->len_bytes, mac);
	memcpy(signed_part->data + SIGNED_PREFIX_BYTES + mac_offset, mac,
	       sizeof(mac));
	buf_append(out, &mark, sizeof(mark));
	buf_append(out, signed_part->data + SIGNED_PREFIX_BYTES, bytes);
	buf_free(signed_part);
}

static void put_sequence(uint8_t out[CRED_BYTES], struct peer_session *s,
			 const struct fleet_keys *k)
{
	uint32_t id = htonl(k->keys[0].id);

	memcpy(out, &id, sizeof(id));
	put_u64(out + 4, ++s->sent);
}

void peer_put_call(struct buf *out, struct peer_session *s,
		   const struct fleet_keys *k, uint32_t xid,
		   enum peer_procedure proc, const struct buf *body)
{
	uint8_t cred[CRED_BYTES];
	uint8_t mac[FLEET_MAC_BYTES] = { 0 };
	char header[CALL_HEADER_BYTES];
	struct buf record = { 0 };
	struct rpc_msg m = {
		.rm_xid = xid,
		.rm_direction = CALL,
		.rm_call = {
			.cb_rpcvers = RPC_MSG_VERSION,
			.cb_prog = PEER_PROGRAM,
			.cb_vers = PEER_VERSION,
			.cb_proc = proc,
			.cb_cred = { FLAVOR_SEQUENCE, (char *)cred,
				     sizeof(cred) },
			.cb_verf = { FLAVOR_MAC, (char *)mac, sizeof(mac) },
		},
	};
	XDR x;

	put_sequence(cred, s, k);
	xdrmem_create(&x, header, sizeof(header), XDR_ENCODE);
	if (!xdr_callmsg(&x, &m) || xdr_getpos(&x) != sizeof(header))
		abort();
	put_signed_prefix(&record, s, true);
	buf_append(&record, header, sizeof(header));
	buf_append(&record, body->data, body->len_bytes);
	sign_and_append(out, &record, k, CALL_MAC_OFFSET);
}

/* Results are encoded and decoded separately; decoding must wait until the MAC
 * was verified. */
static bool_t xdr_no_results(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

void peer_put_reply(struct buf *out, struct peer_session *s,
		    const struct fleet_keys *k, uint32_t xid,
		    const struct buf *body)
{
	uint8_t verf[REPLY_VERF_BYTES] = { 0 };
	char header[REPLY_HEADER_BYTES];
	struct buf record = { 0 };
	struct rpc_msg m = { .rm_xid = xid, .rm_direction = REPLY };
	XDR x;

	put_sequence(verf, s, k);
	m.rm_reply.rp_stat = MSG_ACCEPTED;
	m.acpted_rply.ar_verf =
		(struct opaque_auth){ FLAVOR_MAC, (char *)verf, sizeof(verf) };
	m.acpted_rply.ar_stat = SUCCESS;
	m.acpted_rply.ar_results.proc = xdr_no_results;
	xdrmem_create(&x, header, sizeof(header), XDR_ENCODE);
	if (!xdr_replymsg(&x, &m) || xdr_getpos(&x) != sizeof(header))
		abort();
	put_signed_prefix(&record, s, false);
	buf_append(&record, header, sizeof(header));
	buf_append(&record, body->data, body->len_bytes);
	sign_and_append(out, &record, k, REPLY_MAC_OFFSET);
}

uint32_t peer_record_bytes(const uint8_t *in, uint32_t len_bytes,
			   enum az_status *st)
{
	uint32_t mark;

	*st = AZ_OK;
	if (len_bytes < RECORD_MARK_BYTES)
		return 0;
	memcpy(&mark, in, sizeof(mark));
	mark = ntohl(mark);
	/* Each record is sent as one fragment. */
	if (!(mark & LAST_FRAGMENT) ||
	    (mark & ~LAST_FRAGMENT) > PEER_RECORD_MAX_BYTES) {
		*st = az_fail(AZ_INVALID, "record of %u bytes",
			      mark & ~LAST_FRAGMENT);
		return 0;
	}
	mark = (mark & ~LAST_FRAGMENT) + RECORD_MARK_BYTES;
	return len_bytes < mark ? 0 : mark;
}

static bool verify(const uint8_t *record, uint32_t bytes, uint32_t mac_offset,
		   const uint8_t *cred, bool from_client,
		   const struct peer_session *s, const struct fleet_keys *k)
{
	struct buf b = { 0 };
	uint32_t key_id;
	bool good;

	memcpy(&key_id, cred, sizeof(key_id));
	put_signed_prefix(&b, s, from_client);
	buf_append(&b, record, bytes);
	memset(b.data + SIGNED_PREFIX_BYTES + mac_offset, 0, FLEET_MAC_BYTES);
	good = fleet_verify(k, ntohl(key_id), b.data, b.len_bytes,
			    record + mac_offset);
	buf_free(&b);
	return good;
}

static enum az_status get_call(const uint8_t *record, uint32_t bytes,
			       struct peer_record *out)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg m = { 0 };
	XDR x;

	m.rm_call.cb_cred.oa_base = cred;
	m.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&x, (char *)record, bytes, XDR_DECODE);
	if (bytes < CALL_HEADER_BYTES || !xdr_callmsg(&x, &m) ||
	    xdr_getpos(&x) != CALL_HEADER_BYTES ||
	    m.rm_call.cb_prog != PEER_PROGRAM ||
	    m.rm_call.cb_vers != PEER_VERSION ||
	    m.rm_call.cb_cred.oa_flavor != FLAVOR_SEQUENCE ||
	    m.rm_call.cb_verf.oa_flavor != FLAVOR_MAC ||
	    m.rm_call.cb_verf.oa_length != FLEET_MAC_BYTES)
		return az_fail(AZ_INVALID, "malformed call");
	out->is_call = true;
	out->xid = m.rm_xid;
	out->procedure = m.rm_call.cb_proc;
	out->body = record + CALL_HEADER_BYTES;
	out->body_bytes = bytes - CALL_HEADER_BYTES;
	return AZ_OK;
}

static enum az_status get_reply(const uint8_t *record, uint32_t bytes,
				struct peer_record *out)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg m = { 0 };
	XDR x;

	m.acpted_rply.ar_verf.oa_base = verf;
	m.acpted_rply.ar_results.proc = xdr_no_results;
	xdrmem_create(&x, (char *)record, bytes, XDR_DECODE);
	if (bytes < REPLY_HEADER_BYTES || !xdr_replymsg(&x, &m) ||
	    xdr_getpos(&x) != REPLY_HEADER_BYTES ||
	    m.rm_reply.rp_stat != MSG_ACCEPTED ||
	    m.acpted_rply.ar_stat != SUCCESS ||
	    m.acpted_rply.ar_verf.oa_flavor != FLAVOR_MAC ||
	    m.acpted_rply.ar_verf.oa_length != REPLY_VERF_BYTES)
		return az_fail(AZ_INVALID, "malformed reply");
	out->is_call = false;
	out->xid = m.rm_xid;
	out->body = record + REPLY_HEADER_BYTES;
	out->body_bytes = bytes - REPLY_HEADER_BYTES;
	return AZ_OK;
}

enum az_status peer_get_record(const uint8_t *in, uint32_t len_bytes,
			       bool from_client, struct peer_session *s,
			       const struct fleet_keys *k,
			       struct peer_record *out)
{
	const uint8_t *record = in + RECORD_MARK_BYTES;
	uint32_t bytes = len_bytes - RECORD_MARK_BYTES;
	uint32_t mac_offset = from_client ? CALL_MAC_OFFSET : REPLY_MAC_OFFSET;
	/* Offsets of the key id and the sequence number, which are in the
	 * credential of a call and in the verifier of a reply. */
	const uint8_t *cred = record + (from_client ? 32 : 20);
	enum az_status st = from_client ? get_call(record, bytes, out) :
					  get_reply(record, bytes, out);
	uint64_t sequence;

	if (st != AZ_OK)
		return st;
	if (!verify(record, bytes, mac_offset, cred, from_client, s, k))
		return az_fail(AZ_DENIED, "record with a wrong MAC");
	sequence = get_u64(cred + 4);
	if (sequence <= s->received)
		return az_fail(AZ_DENIED, "replayed record");
	s->received = sequence;
	return AZ_OK;
}

/* ---- bodies: each xdr_ function both encodes and decodes ---- */

static bool_t xdr_hello(XDR *x, struct peer_hello *h)
{
	return xdr_uint64_t(x, &h->member_id) &&
	       xdr_uint64_t(x, &h->incarnation) && xdr_uint64_t(x, &h->nonce);
}

static bool_t xdr_buf(XDR *x, struct buf *b, uint32_t max_bytes)
{
	if (!xdr_bytes(x, (char **)&b->data, &b->len_bytes, max_bytes))
		return FALSE;
	if (x->x_op == XDR_DECODE)
		b->cap_bytes = b->len_bytes;
	return TRUE;
}

static bool_t xdr_answer(XDR *x, struct answer *a)
{
	uint32_t kind = a->kind;
	uint32_t outcome = a->outcome;
	uint32_t status = a->http_status;

	if (!xdr_uint32_t(x, &kind) || !xdr_uint32_t(x, &outcome) ||
	    !xdr_uint32_t(x, &status) ||
	    !xdr_buf(x, &a->headers, ANSWER_MAX_BYTES) ||
	    !xdr_buf(x, &a->body, ANSWER_MAX_BYTES))
		return FALSE;
	if (kind >= ERR_KIND_COUNT || outcome > OUTCOME_UNKNOWN ||
	    status < 100 || status > 999)
		return FALSE;
	a->kind = (enum error_kind)kind;
	a->outcome = (enum outcome)outcome;
	a->http_status = (uint16_t)status;
	return TRUE;
}

static bool_t xdr_ticket(XDR *x, struct ticket *t)
{
	uint32_t port = t->port;
	uint32_t rank = t->rank;

	if (!xdr_uint32_t(x, &t->ip) || !xdr_uint32_t(x, &port) ||
	    !xdr_uint32_t(x, &rank) || !xdr_uint64_t(x, &t->incarnation) ||
	    !xdr_uint64_t(x, &t->sequence) ||
	    !xdr_uint64_t(x, &t->organisation) ||
	    !xdr_int64_t(x, &t->expiry_us) ||
	    !xdr_opaque(x, (char *)t->mac, sizeof(t->mac)) ||
	    port > UINT16_MAX || rank >= RANK_COUNT)
		return FALSE;
	t->port = (uint16_t)port;
	t->rank = (uint8_t)rank;
	return TRUE;
}

static bool_t xdr_span(XDR *x, struct span *s)
{
	char text[TRACEPARENT_BYTES];
	char *p = text;

	if (x->x_op == XDR_ENCODE)
		span_format(s, text);
	if (!xdr_string(x, &p, sizeof(text) - 1))
		return FALSE;
	if (x->x_op == XDR_DECODE) {
		span_start(s, text);
		/* Restores the sender's span; the spans of this daemon become
		 * its children. */
		s->span_id = s->parent_id;
	}
	return TRUE;
}

/* The deadline is sent as the time left in milliseconds, as the clocks of two
 * VMs cannot be compared. */
static bool_t xdr_deadline(XDR *x, int64_t *deadline_us, int64_t now_us)
{
	int64_t left_us = *deadline_us - now_us;
	uint32_t left_ms = left_us > 0 ? (uint32_t)(left_us / US_PER_MS) : 0;

	if (!xdr_uint32_t(x, &left_ms))
		return FALSE;
	if (x->x_op == XDR_DECODE)
		*deadline_us = now_us + left_ms * US_PER_MS;
	return TRUE;
}

static bool_t xdr_request(XDR *x, struct request *q, int64_t now_us)
{
	char *method = q->method;
	uint32_t rank = q->rank;
	bool_t idempotent = q->idempotent;

	if (!xdr_string(x, &method, sizeof(q->method) - 1) ||
	    !xdr_string(x, &q->path, PATH_MAX_BYTES) ||
	    !xdr_string(x, &q->service, 255) ||
	    !xdr_uint64_t(x, &q->organisation) || !xdr_uint32_t(x, &rank) ||
	    !xdr_bool(x, &idempotent) ||
	    !xdr_deadline(x, &q->deadline_us, now_us) ||
	    !xdr_span(x, &q->span) ||
	    !xdr_buf(x, &q->headers, REQUEST_HEADERS_MAX_BYTES) ||
	    !xdr_buf(x, &q->body, REQUEST_BODY_MAX_BYTES) || rank >= RANK_COUNT)
		return FALSE;
	q->rank = (enum rank)rank;
	q->idempotent = idempotent;
	return TRUE;
}

static bool_t xdr_entry(XDR *x, struct ledger_entry *e)
{
	uint32_t state = e->state;

	if (!xdr_uint64_t(x, &e->sequence) ||
	    !xdr_uint64_t(x, &e->request_hash) || !xdr_uint32_t(x, &state) ||
	    !xdr_int64_t(x, &e->expiry_us) || state > ENTRY_UNKNOWN ||
	    state == ENTRY_RUNNING)
		return FALSE;
	if (!e->answer)
		e->answer = answer_new(ERR_INTERNAL);
	e->state = (enum ledger_entry_state)state;
	return xdr_answer(x, e->answer);
}

static bool_t xdr_ledger_part(XDR *x, struct ledger_part *part)
{
	if (!xdr_uint64_t(x, &part->incarnation) ||
	    !xdr_uint32_t(x, &part->part_index) ||
	    !xdr_uint32_t(x, &part->part_count) ||
	    !xdr_opaque(x, (char *)part->key, sizeof(part->key)) ||
	    !xdr_int64_t(x, &part->issuer_now_us) ||
	    !xdr_uint32_t(x, &part->count) ||
	    part->count > LEDGER_ENTRIES_MAX ||
	    part->part_index >= part->part_count)
		return FALSE;
	if (x->x_op == XDR_DECODE)
		part->entries = calloc(part->count + 1, sizeof(*part->entries));
	if (!part->entries)
		return FALSE;
	for (uint32_t n = 0; n < part->count; n++)
		if (!xdr_entry(x, &part->entries[n]))
			return FALSE;
	return TRUE;
}

/* ---- put and get functions ---- */

/** Not less than the encoded size of a body without strings, byte arrays and
 * ledger entries. */
#define FIXED_FIELDS_MAX_BYTES 512
/** Not less than the encoded size of a ledger entry without its answer. */
#define LEDGER_ENTRY_FIXED_BYTES 64

static void begin_body(XDR *x, struct buf *b, uint32_t bytes)
{
	b->data = malloc(bytes);
	if (!b->data)
		abort();
	b->cap_bytes = bytes;
	xdrmem_create(x, (char *)b->data, bytes, XDR_ENCODE);
}

static void end_body(XDR *x, struct buf *b, bool_t good, struct buf *out)
{
	if (!good)
		abort();
	b->len_bytes = xdr_getpos(x);
	buf_append(out, b->data, b->len_bytes);
	buf_free(b);
}

static void begin_decode(XDR *x, const struct peer_record *r)
{
	xdrmem_create(x, (char *)r->body, r->body_bytes, XDR_DECODE);
}

static enum az_status malformed(const char *what)
{
	return az_fail(AZ_INVALID, "malformed %s", what);
}

static uint32_t answer_bytes(const struct answer *a)
{
	return FIXED_FIELDS_MAX_BYTES + a->headers.len_bytes +
	       a->body.len_bytes;
}

static uint32_t request_bytes(const struct request *q)
{
	return FIXED_FIELDS_MAX_BYTES + (uint32_t)strlen(q->path) +
	       (uint32_t)strlen(q->service) + q->headers.len_bytes +
	       q->body.len_bytes;
}

void peer_put_hello(struct buf *out, const struct peer_hello *h)
{
	struct peer_hello copy = *h;
	struct buf b;
	XDR x;

	begin_body(&x, &b, FIXED_FIELDS_MAX_BYTES);
	end_body(&x, &b, xdr_hello(&x, &copy), out);
}

enum az_status peer_get_hello(const struct peer_record *r, struct peer_hello *h)
{
	XDR x;

	begin_decode(&x, r);
	return xdr_hello(&x, h) ? AZ_OK : malformed("hello");
}

void peer_put_answer(struct buf *out, const struct answer *a)
{
	struct answer copy = *a;
	struct buf b;
	XDR x;

	begin_body(&x, &b, answer_bytes(a));
	end_body(&x, &b, xdr_answer(&x, &copy), out);
}

enum az_status peer_get_answer(const struct peer_record *r, struct answer **a)
{
	XDR x;

	begin_decode(&x, r);
	*a = answer_new(ERR_INTERNAL);
	if (xdr_answer(&x, *a))
		return AZ_OK;
	answer_free(*a);
	*a = NULL;
	return malformed("answer");
}

void peer_put_present(struct buf *out, const struct ticket *t,
		      const struct request *q, int64_t now_us)
{
	struct ticket copy = *t;
	bool_t has_request = q != NULL;
	struct buf b;
	XDR x;
	bool_t good;

	begin_body(&x, &b, q ? request_bytes(q) : FIXED_FIELDS_MAX_BYTES);
	good = xdr_ticket(&x, &copy) && xdr_bool(&x, &has_request);
	if (good && q)
		good = xdr_request(&x, (struct request *)q, now_us);
	end_body(&x, &b, good, out);
}

enum az_status peer_get_present(const struct peer_record *r, int64_t now_us,
				struct ticket *t, struct request **q)
{
	bool_t has_request;
	XDR x;

	*q = NULL;
	begin_decode(&x, r);
	if (!xdr_ticket(&x, t) || !xdr_bool(&x, &has_request))
		return malformed("presentation");
	if (!has_request)
		return AZ_OK;
	*q = calloc(1, sizeof(**q));
	if (*q && xdr_request(&x, *q, now_us))
		return AZ_OK;
	request_free(*q);
	*q = NULL;
	return malformed("presentation");
}

void peer_put_handover(struct buf *out, const struct ledger_part *part)
{
	struct ledger_part copy = *part;
	uint32_t bytes = FIXED_FIELDS_MAX_BYTES;
	struct buf b;
	XDR x;

	for (uint32_t n = 0; n < part->count; n++)
		bytes += LEDGER_ENTRY_FIXED_BYTES +
			 answer_bytes(part->entries[n].answer);
	begin_body(&x, &b, bytes);
	end_body(&x, &b, xdr_ledger_part(&x, &copy), out);
}

enum az_status peer_get_handover(const struct peer_record *r,
				 struct ledger_part **part)
{
	XDR x;

	begin_decode(&x, r);
	*part = calloc(1, sizeof(**part));
	if (*part && xdr_ledger_part(&x, *part))
		return AZ_OK;
	if (*part && !(*part)->entries)
		(*part)->count = 0;
	ledger_part_free(*part);
	*part = NULL;
	return malformed("handover");
}

void peer_put_goaway(struct buf *out, uint64_t last_sequence)
{
	struct buf b;
	XDR x;

	begin_body(&x, &b, FIXED_FIELDS_MAX_BYTES);
	end_body(&x, &b, xdr_uint64_t(&x, &last_sequence), out);
}

enum az_status peer_get_goaway(const struct peer_record *r,
			       uint64_t *last_sequence)
{
	XDR x;

	begin_decode(&x, r);
	return xdr_uint64_t(&x, last_sequence) ? AZ_OK : malformed("goaway");
}

void peer_put_bytes(struct buf *out, const struct buf *body)
{
	struct buf copy = *body;
	struct buf b;
	XDR x;

	begin_body(&x, &b, FIXED_FIELDS_MAX_BYTES + body->len_bytes);
	end_body(&x, &b, xdr_buf(&x, &copy, PEER_RECORD_MAX_BYTES), out);
}

enum az_status peer_get_bytes(const struct peer_record *r, struct buf *body)
{
	XDR x;

	memset(body, 0, sizeof(*body));
	begin_decode(&x, r);
	if (xdr_buf(&x, body, PEER_RECORD_MAX_BYTES))
		return AZ_OK;
	buf_free(body);
	return malformed("bytes");
}
