#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

#define HISTOGRAMS_MAX 32
#define BUCKETS 17 /* 16 for 2^0 to 2^15 ms, and one for longer durations */

struct histogram {
	char name[64];
	int64_t count[BUCKETS];
	int64_t sum_us;
};

static struct histogram histograms[HISTOGRAMS_MAX];
static uint32_t histogram_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct histogram *histogram_get(const char *name)
{
	struct histogram *h = NULL;

	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < histogram_count && !h; i++)
		if (!strcmp(histograms[i].name, name))
			h = &histograms[i];
	if (!h) {
		if (histogram_count == HISTOGRAMS_MAX)
			abort();
		h = &histograms[histogram_count++];
		strncpy(h->name, name, sizeof(h->name) - 1);
	}
	pthread_mutex_unlock(&lock);
	return h;
}

void histogram_add(struct histogram *h, int64_t duration_us)
{
	uint32_t i = 0;

	while (i < BUCKETS - 1 && duration_us > (US_PER_MS << i))
		i++;
	__atomic_fetch_add(&h->count[i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&h->sum_us, duration_us, __ATOMIC_RELAXED);
}

static void print_one(const struct histogram *h, struct buf *out)
{
	int64_t total = 0;

	for (uint32_t i = 0; i < BUCKETS; i++) {
		total += __atomic_load_n(&h->count[i], __ATOMIC_RELAXED);
		if (i < BUCKETS - 1)
			buf_printf(out, "%s_le_%u %lld\n", h->name, 1U << i,
				   (long long)total);
	}
	buf_printf(out, "%s_count %lld\n%s_sum_ms %lld\n", h->name,
		   (long long)total, h->name,
		   (long long)(__atomic_load_n(&h->sum_us, __ATOMIC_RELAXED) /
			       US_PER_MS));
}

void histogram_print(struct buf *out)
{
	uint32_t n;

	pthread_mutex_lock(&lock);
	n = histogram_count;
	pthread_mutex_unlock(&lock);
	for (uint32_t i = 0; i < n; i++)
		print_one(&histograms[i], out);
}
