#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

#define COUNTERS_MAX 512

struct counter {
	char name[64];
	int64_t value;
};

static struct counter counters[COUNTERS_MAX];
static uint32_t counter_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct counter *counter_get(const char *name)
{
	struct counter *c = NULL;

	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < counter_count && !c; i++)
		if (!strcmp(counters[i].name, name))
			c = &counters[i];
	if (!c) {
		if (counter_count == COUNTERS_MAX)
			abort();
		c = &counters[counter_count++];
		strncpy(c->name, name, sizeof(c->name) - 1);
	}
	pthread_mutex_unlock(&lock);
	return c;
}

void counter_add(struct counter *c, int64_t n)
{
	__atomic_fetch_add(&c->value, n, __ATOMIC_RELAXED);
}

void counter_set(struct counter *c, int64_t n)
{
	__atomic_store_n(&c->value, n, __ATOMIC_RELAXED);
}

int64_t counter_value(const struct counter *c)
{
	return __atomic_load_n(&c->value, __ATOMIC_RELAXED);
}

static int compare_names(const void *a, const void *b)
{
	const struct counter *const *x = a;
	const struct counter *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

void counter_print(struct buf *out)
{
	struct counter *sorted[COUNTERS_MAX];
	uint32_t n;

	pthread_mutex_lock(&lock);
	n = counter_count;
	pthread_mutex_unlock(&lock);
	for (uint32_t i = 0; i < n; i++)
		sorted[i] = &counters[i];
	qsort(sorted, n, sizeof(sorted[0]), compare_names);
	for (uint32_t i = 0; i < n; i++)
		buf_printf(out, "%s %lld\n", sorted[i]->name,
			   (long long)counter_value(sorted[i]));
}
