#include <string.h>
#include <arpa/inet.h>
#include <endian.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "ticket/ticket.h"

#define TICKET_FORMAT_VERSION 1
/* Version, and all fields of a ticket but the MAC. */
#define FIELDS_BYTES 40
#define TICKET_BINARY_BYTES (FIELDS_BYTES + TICKET_MAC_BYTES)
/* Base64 of TICKET_BINARY_BYTES has 76 characters. The last one is padding,
 * which the text form leaves out. */
#define TEXT_CHARS 75

static uint8_t *put(uint8_t *p, const void *v, size_t n)
{
	memcpy(p, v, n);
	return p + n;
}

static const uint8_t *get(const uint8_t *p, void *v, size_t n)
{
	memcpy(v, p, n);
	return p + n;
}

static void encode_fields(const struct ticket *t, uint8_t out[FIELDS_BYTES])
{
	uint8_t version = TICKET_FORMAT_VERSION;
	uint32_t ip = htonl(t->ip);
	uint16_t port = htons(t->port);
	uint64_t incarnation = htobe64(t->incarnation);
	uint64_t sequence = htobe64(t->sequence);
	uint64_t organisation = htobe64(t->organisation);
	uint64_t expiry_us = htobe64((uint64_t)t->expiry_us);
	uint8_t *p = out;

	p = put(p, &version, sizeof(version));
	p = put(p, &t->rank, sizeof(t->rank));
	p = put(p, &port, sizeof(port));
	p = put(p, &ip, sizeof(ip));
	p = put(p, &incarnation, sizeof(incarnation));
	p = put(p, &sequence, sizeof(sequence));
	p = put(p, &organisation, sizeof(organisation));
	put(p, &expiry_us, sizeof(expiry_us));
}

static void compute_mac(const struct ticket *t,
			const uint8_t key[TICKET_KEY_BYTES],
			uint8_t out[TICKET_MAC_BYTES])
{
	uint8_t body[FIELDS_BYTES];
	uint8_t md[EVP_MAX_MD_SIZE];
	unsigned int len = 0;

	encode_fields(t, body);
	HMAC(EVP_sha256(), key, TICKET_KEY_BYTES, body, sizeof(body), md, &len);
	memcpy(out, md, TICKET_MAC_BYTES);
}

void ticket_sign(struct ticket *t, const uint8_t key[TICKET_KEY_BYTES])
{
	compute_mac(t, key, t->mac);
}

bool ticket_verify(const struct ticket *t, const uint8_t key[TICKET_KEY_BYTES])
{
	uint8_t mac[TICKET_MAC_BYTES];

	compute_mac(t, key, mac);
	return !CRYPTO_memcmp(mac, t->mac, sizeof(mac));
}

void ticket_format(const struct ticket *t, char out[TICKET_TEXT_MAX_BYTES])
{
	uint8_t bytes[TICKET_BINARY_BYTES];

	encode_fields(t, bytes);
	memcpy(bytes + FIELDS_BYTES, t->mac, TICKET_MAC_BYTES);
	EVP_EncodeBlock((unsigned char *)out, bytes, sizeof(bytes));
	out[TEXT_CHARS] = '\0';
	for (char *c = out; *c; c++)
		*c = *c == '+' ? '-' : *c == '/' ? '_' : *c;
}

/* Accepts only the alphabet of base64url, so that a ticket has only one text.
 * EVP_DecodeBlock() also counts the byte of the padding, hence one byte more
 * than a ticket has. */
static enum az_status decode_text(const char *s,
				  uint8_t out[TICKET_BINARY_BYTES + 1])
{
	static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				       "abcdefghijklmnopqrstuvwxyz"
				       "0123456789-_";
	unsigned char text[TEXT_CHARS + 2];

	if (strlen(s) != TEXT_CHARS || strspn(s, alphabet) != TEXT_CHARS)
		return az_fail(AZ_INVALID,
			       "the ticket is not %d characters of base64url",
			       TEXT_CHARS);
	for (uint32_t i = 0; i < TEXT_CHARS; i++)
		text[i] = s[i] == '-' ? '+' : s[i] == '_' ? '/' : s[i];
	text[TEXT_CHARS] = '=';
	text[TEXT_CHARS + 1] = '\0';
	if (EVP_DecodeBlock(out, text, TEXT_CHARS + 1) !=
	    TICKET_BINARY_BYTES + 1)
		return az_fail(AZ_INVALID, "the ticket is not base64url");
	return AZ_OK;
}

enum az_status ticket_parse(const char *s, struct ticket *out)
{
	uint8_t bytes[TICKET_BINARY_BYTES + 1];
	const uint8_t *p = bytes;
	uint8_t version;
	uint64_t expiry_us;
	enum az_status st = decode_text(s, bytes);

	if (st != AZ_OK)
		return st;
	p = get(p, &version, sizeof(version));
	if (version != TICKET_FORMAT_VERSION)
		return az_fail(AZ_INVALID, "unknown ticket version %u",
			       version);
	p = get(p, &out->rank, sizeof(out->rank));
	p = get(p, &out->port, sizeof(out->port));
	p = get(p, &out->ip, sizeof(out->ip));
	p = get(p, &out->incarnation, sizeof(out->incarnation));
	p = get(p, &out->sequence, sizeof(out->sequence));
	p = get(p, &out->organisation, sizeof(out->organisation));
	p = get(p, &expiry_us, sizeof(expiry_us));
	memcpy(out->mac, p, TICKET_MAC_BYTES);
	out->port = ntohs(out->port);
	out->ip = ntohl(out->ip);
	out->incarnation = be64toh(out->incarnation);
	out->sequence = be64toh(out->sequence);
	out->organisation = be64toh(out->organisation);
	out->expiry_us = (int64_t)be64toh(expiry_us);
	if (out->rank >= RANK_COUNT)
		return az_fail(AZ_INVALID, "unknown rank %u in the ticket",
			       out->rank);
	return AZ_OK;
}
