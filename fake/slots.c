#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <apr_strings.h>

#include "fake/fake.h"

void prng_seed(struct prng *p, uint64_t seed)
{
	uint64_t h = hash_bytes(&seed, sizeof(seed), 0);

	memcpy(p->state, &h, sizeof(p->state));
}

double prng_unit(struct prng *p)
{
	return erand48(p->state);
}

bool prng_percent(struct prng *p, uint32_t percent)
{
	return prng_unit(p) * 100 < percent;
}

int64_t service_time_sample(const struct service_time *s, struct prng *p,
			    int64_t age_us)
{
	double us = (double)s->mean_us;

	if (!s->fixed)
		us *= -log(1 - prng_unit(p));
	if (age_us < s->cold_start_us) {
		/* Falls from 1 to 0 during the cold start. */
		double cold_share =
			1 - (double)age_us / (double)s->cold_start_us;

		us *= 1 + cold_share * (s->cold_factor_percent / 100.0 - 1);
	}
	return (int64_t)us;
}

enum az_status slot_pool_enter(struct slot_pool *p, struct slot_item *i)
{
	uint32_t limit = p->shedding ? p->backlog : WAITING_MAX;

	i->next = NULL;
	if (p->running < p->slots && !p->head) {
		p->running++;
		return AZ_OK;
	}
	if (p->waiting >= limit)
		return az_fail(AZ_FULL, "backlog is full");
	if (p->tail)
		p->tail->next = i;
	else
		p->head = i;
	p->tail = i;
	p->waiting++;
	return AZ_AGAIN;
}

void slot_pool_leave(struct slot_pool *p)
{
	p->running--;
}

struct slot_item *slot_pool_next(struct slot_pool *p, int64_t now_us,
				 struct slot_item **expired)
{
	while (p->head && p->running < p->slots) {
		struct slot_item *i = p->head;

		p->head = i->next;
		if (!p->head)
			p->tail = NULL;
		i->next = NULL;
		p->waiting--;
		if (i->deadline_us > now_us) {
			p->running++;
			return i;
		}
		i->next = *expired;
		*expired = i;
	}
	return NULL;
}

bool slot_pool_remove(struct slot_pool *p, const struct slot_item *i)
{
	struct slot_item *before = NULL;

	for (struct slot_item *j = p->head; j; before = j, j = j->next) {
		if (j != i)
			continue;
		if (before)
			before->next = j->next;
		else
			p->head = j->next;
		if (p->tail == j)
			p->tail = before;
		p->waiting--;
		return true;
	}
	return false;
}

void run_table_init(struct run_table *t, apr_pool_t *pool)
{
	t->pool = pool;
	t->counts = apr_hash_make(pool);
	t->repeated = 0;
}

uint32_t run_table_add(struct run_table *t, const char *id)
{
	uint32_t *n = apr_hash_get(t->counts, id, APR_HASH_KEY_STRING);

	if (!n) {
		n = apr_pcalloc(t->pool, sizeof(*n));
		apr_hash_set(t->counts, apr_pstrdup(t->pool, id),
			     APR_HASH_KEY_STRING, n);
	}
	if (++*n == 2)
		t->repeated++;
	return *n;
}
