#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include "lib/az.h"

int64_t clock_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

uint64_t random_u64(void)
{
	uint64_t v;

	if (RAND_bytes((unsigned char *)&v, sizeof(v)) != 1)
		abort();
	return v;
}

uint64_t hash_bytes(const void *data, size_t len_bytes, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len_bytes, seed);
}

uint64_t hash_string(const char *s)
{
	return hash_bytes(s, strlen(s), 0);
}

uint64_t hash_secret(const char *s)
{
	uint8_t md[EVP_MAX_MD_SIZE];
	uint64_t v = 0;

	if (EVP_Digest(s, strlen(s), md, NULL, EVP_sha256(), NULL) != 1)
		abort();
	for (uint32_t i = 0; i < 8; i++)
		v = v << 8 | md[i];
	return v;
}
