#include "front/front.h"

/* Shares of the memory of the VM that connections of callers may hold. The rest
 * is for incomplete answers of workers (upstream/), for the connections
 * themselves and for the daemon's own state. The long share of the smallest VM
 * in use, 160 MiB, has room for one body of 64 MiB. */
#define LONG_SHARE_PERCENT 45
#define SHORT_SHARE_PERCENT 15
/* A caller that has read nothing for this time is slow, whatever it read
 * before: the kernel's buffers take the start of an answer at once. */
#define STALL_US US_PER_S
#define SLOW_READER_BYTES_PER_S (64U << 10)

void memory_budget_init(struct memory_budget *b, uint64_t memory_bytes)
{
	b->max_bytes[MEMORY_LONG] = memory_bytes * LONG_SHARE_PERCENT / 100;
	b->max_bytes[MEMORY_SHORT] = memory_bytes * SHORT_SHARE_PERCENT / 100;
	b->held_bytes[MEMORY_LONG] = b->held_bytes[MEMORY_SHORT] = 0;
}

static uint64_t short_part(uint64_t held_bytes)
{
	return held_bytes < MEMORY_SHORT_BYTES ? held_bytes :
						 MEMORY_SHORT_BYTES;
}

void memory_budget_change(struct memory_budget *b, uint64_t from_bytes,
			  uint64_t to_bytes)
{
	uint64_t from_short = short_part(from_bytes);
	uint64_t to_short = short_part(to_bytes);

	b->held_bytes[MEMORY_SHORT] += to_short - from_short;
	b->held_bytes[MEMORY_LONG] +=
		(to_bytes - to_short) - (from_bytes - from_short);
}

bool memory_budget_exceeded(const struct memory_budget *b, enum memory_share s)
{
	return b->held_bytes[s] > b->max_bytes[s];
}

uint64_t memory_body_max_bytes(const struct memory_budget *b)
{
	/* The head and the capacity that is ahead of the length count too. */
	return b->max_bytes[MEMORY_LONG] - MEMORY_GROWTH_MAX_BYTES;
}

/* Bytes a second, on average since the transfer began. */
static uint64_t transfer_rate(const struct transfer *t, int64_t now_us)
{
	return t->bytes * (uint64_t)US_PER_S /
	       (uint64_t)(now_us - t->began_us + US_PER_MS);
}

bool memory_is_slow_reader(const struct memory_holder *h, int64_t now_us)
{
	const struct transfer *t = &h->sending;

	return t->active &&
	       (now_us - t->moved_us >= STALL_US ||
		(now_us - t->began_us >= STALL_US &&
		 transfer_rate(t, now_us) < SLOW_READER_BYTES_PER_S));
}

enum memory_yield memory_yield(const struct memory_holder *h, int64_t now_us)
{
	if (h->receiving.active || memory_is_slow_reader(h, now_us))
		return MEMORY_YIELD_FIRST;
	return h->sending.active || h->has_answers ? MEMORY_YIELD_LAST :
						     MEMORY_YIELD_NEVER;
}

static uint64_t holder_rate(const struct memory_holder *h, int64_t now_us)
{
	uint64_t rate = UINT64_MAX;

	if (h->receiving.active)
		rate = transfer_rate(&h->receiving, now_us);
	if (h->sending.active && transfer_rate(&h->sending, now_us) < rate)
		rate = transfer_rate(&h->sending, now_us);
	return rate;
}

bool memory_yields_before(const struct memory_holder *a,
			  const struct memory_holder *b, int64_t now_us)
{
	enum memory_yield of_a = memory_yield(a, now_us);
	enum memory_yield of_b = memory_yield(b, now_us);
	uint64_t rate_a;
	uint64_t rate_b;

	if (of_a != of_b)
		return of_a > of_b;
	if (of_a == MEMORY_YIELD_LAST)
		return a->held_bytes > b->held_bytes;
	rate_a = holder_rate(a, now_us);
	rate_b = holder_rate(b, now_us);
	return rate_a != rate_b ? rate_a < rate_b :
				  a->held_bytes > b->held_bytes;
}
