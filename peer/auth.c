/**
 * @file
 * Fleet keys: parsing, and the MAC of records and datagrams. The MAC is
 * HMAC-SHA-256, truncated to FLEET_MAC_BYTES.
 */
#include <stdlib.h>
#include <string.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "peer/peer.h"

static enum az_status parse_secret(const char *hex, size_t len,
				   uint8_t out[FLEET_KEY_BYTES])
{
	size_t n = 0;
	char text[2 * FLEET_KEY_BYTES + 1];

	if (len != 2 * FLEET_KEY_BYTES)
		return az_fail(AZ_INVALID, "a fleet key has %d hex digits",
			       2 * FLEET_KEY_BYTES);
	memcpy(text, hex, len);
	text[len] = '\0';
	if (strspn(text, "0123456789abcdefABCDEF") != len ||
	    OPENSSL_hexstr2buf_ex(out, FLEET_KEY_BYTES, &n, text, '\0') != 1)
		return az_fail(
			AZ_INVALID,
			"a fleet key has a character that is not a hex digit");
	return AZ_OK;
}

static enum az_status parse_key(const char *s, size_t len,
				struct fleet_key *out)
{
	char *end;
	unsigned long id = strtoul(s, &end, 10);

	if (end == s || *end != ':' || id > UINT32_MAX)
		return az_fail(AZ_INVALID, "a fleet key starts with ID:");
	out->id = (uint32_t)id;
	end++;
	return parse_secret(end, len - (size_t)(end - s), out->secret);
}

enum az_status fleet_keys_parse(const char *s, struct fleet_keys *out)
{
	memset(out, 0, sizeof(*out));
	for (;;) {
		size_t len = strcspn(s, ",");
		enum az_status st;

		if (out->count == FLEET_KEYS_MAX)
			return az_fail(AZ_INVALID, "more than %d fleet keys",
				       FLEET_KEYS_MAX);
		st = parse_key(s, len, &out->keys[out->count]);
		if (st != AZ_OK)
			return st;
		out->count++;
		if (!s[len])
			return AZ_OK;
		s += len + 1;
	}
}

static void compute_mac(const struct fleet_key *k, const void *data,
			size_t len_bytes, uint8_t mac[FLEET_MAC_BYTES])
{
	uint8_t md[EVP_MAX_MD_SIZE];
	unsigned int n = 0;

	HMAC(EVP_sha256(), k->secret, sizeof(k->secret), data, len_bytes, md,
	     &n);
	memcpy(mac, md, FLEET_MAC_BYTES);
}

uint32_t fleet_sign(const struct fleet_keys *k, const void *data,
		    size_t len_bytes, uint8_t mac[FLEET_MAC_BYTES])
{
	compute_mac(&k->keys[0], data, len_bytes, mac);
	return k->keys[0].id;
}

bool fleet_verify(const struct fleet_keys *k, uint32_t key_id, const void *data,
		  size_t len_bytes, const uint8_t mac[FLEET_MAC_BYTES])
{
	uint8_t own[FLEET_MAC_BYTES];

	for (uint32_t i = 0; i < k->count; i++) {
		if (k->keys[i].id != key_id)
			continue;
		compute_mac(&k->keys[i], data, len_bytes, own);
		if (!CRYPTO_memcmp(own, mac, sizeof(own)))
			return true;
	}
	return false;
}

#define DATAGRAM_MAC_OFFSET 8

static void put_u32(uint8_t *out, uint32_t v)
{
	for (uint32_t i = 0; i < 4; i++)
		out[i] = (uint8_t)(v >> (24 - 8 * i));
}

static uint32_t get_u32(const uint8_t *in)
{
	return (uint32_t)in[0] << 24 | (uint32_t)in[1] << 16 |
	       (uint32_t)in[2] << 8 | in[3];
}

void fleet_sign_datagram(const struct fleet_keys *k, uint32_t magic,
			 uint8_t *data, uint32_t len_bytes)
{
	put_u32(data, magic);
	put_u32(data + 4, fleet_sign(k, data + FLEET_PAYLOAD_OFFSET,
				     len_bytes - FLEET_PAYLOAD_OFFSET,
				     data + DATAGRAM_MAC_OFFSET));
}

enum az_status fleet_verify_datagram(const struct fleet_keys *k, uint32_t magic,
				     const uint8_t *data, uint32_t len_bytes)
{
	if (len_bytes < FLEET_PAYLOAD_OFFSET || get_u32(data) != magic)
		return az_fail(
			AZ_INVALID,
			"datagram is too short or has another magic number");
	if (!fleet_verify(k, get_u32(data + 4), data + FLEET_PAYLOAD_OFFSET,
			  len_bytes - FLEET_PAYLOAD_OFFSET,
			  data + DATAGRAM_MAC_OFFSET))
		return az_fail(AZ_DENIED, "datagram with a wrong MAC");
	return AZ_OK;
}
