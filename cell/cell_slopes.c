/*
 * Memory of a call-table entry and of a worker's health statistics, and
 * processor time of the call table and the rank queue, at several sizes.
 * usage: cell_slopes
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>

#include "cell/cell.h"

#define ANSWER_BODY_BYTES 200

static struct answer *sample_answer(void)
{
	static const char body[ANSWER_BODY_BYTES];
	struct answer *a = answer_new(ERR_NONE);

	buf_printf(&a->headers, "Content-Type: application/json\r\n");
	buf_append(&a->body, body, sizeof(body));
	return a;
}

static void measure_calls(uint32_t n)
{
	double bytes = slope_held_bytes();
	struct call_table *t = call_table_create();
	double us = slope_cpu_us();

	for (uint32_t i = 0; i < n; i++) {
		struct call_id id = { 1, 2, i + 1 };
		struct call *c;

		if (call_table_enter(t, &id, 1, &c) != CALL_NEW)
			break;
		call_table_end(t, c, sample_answer(), 1);
	}
	us = slope_cpu_us() - us;
	slope_print("call_table_bytes", call_table_size(t),
		    slope_held_bytes() - bytes, "B");
	slope_print("call_table_enter_end_cpu", call_table_size(t), us, "us");
	call_table_destroy(t);
}

static bool fits(const struct queue_item *i, void *arg)
{
	return true;
}

/* Each of `n` waiting items is replaced once. */
static void measure_queue(uint32_t n)
{
	struct queue_settings s = { { n, n, n }, { 60, 25, 10 } };
	struct queue_item *items = calloc(n, sizeof(*items));
	struct queue_item *expired = NULL;
	struct rank_queue q;
	double us;

	rank_queue_init(&q, &s);
	for (uint32_t i = 0; i < n; i++) {
		items[i].rank = (enum rank)(i % RANK_COUNT);
		items[i].deadline_us = INT64_MAX;
		rank_queue_push(&q, &items[i], 1);
	}
	us = slope_cpu_us();
	for (uint32_t i = 0; i < n; i++) {
		struct queue_item *j =
			rank_queue_pop(&q, 1, fits, NULL, &expired);

		rank_queue_push(&q, j, 1);
	}
	slope_print("queue_pop_push_cpu", n, slope_cpu_us() - us, "us");
	free(items);
}

int main(void)
{
	static const uint32_t sizes[] = { 4096, 16384, 32768, 65536 };

	apr_initialize();
	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		measure_calls(sizes[i]);
		measure_queue(sizes[i]);
	}
	return 0;
}
