/*
 * Measures, for several sizes of the ledger, how much memory an entry takes,
 * and how much processor time it takes to sign a ticket, to present it and to
 * complete its entry.
 *
 * usage: ticket_slopes
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>

#include "ticket/ticket.h"

#define ANSWER_BODY_BYTES 200

static const uint8_t key[TICKET_KEY_BYTES] = { 1 };

static struct ticket sample_ticket(uint64_t sequence)
{
	struct ticket t = { .ip = 0x7f000001,
			    .port = 1,
			    .incarnation = 5,
			    .sequence = sequence,
			    .organisation = 7,
			    .expiry_us = TICKET_LIFE_US };

	ticket_sign(&t, key);
	return t;
}

static struct answer *sample_answer(void)
{
	static const char body[ANSWER_BODY_BYTES];
	struct answer *a = answer_new(ERR_NONE);

	a->outcome = OUTCOME_RAN;
	a->http_status = 200;
	buf_printf(&a->headers, "Content-Type: application/json\r\n");
	buf_append(&a->body, body, sizeof(body));
	return a;
}

static void measure_ledger(uint32_t n)
{
	double bytes = slope_allocated_bytes();
	struct ledger *l = ledger_create(5, key);
	double us = slope_cpu_us();

	for (uint32_t i = 0; i < n; i++) {
		struct ticket t = sample_ticket(i);
		struct ledger_decision d = ledger_present(l, &t, i, 1);

		if (d.action != LEDGER_RUN)
			break;
		ledger_complete(l, d.entry, sample_answer());
	}
	us = slope_cpu_us() - us;
	slope_print("ledger_bytes", ledger_size(l),
		    slope_allocated_bytes() - bytes, "B");
	slope_print("ledger_sign_present_end_cpu", ledger_size(l), us, "us");
	ledger_destroy(l);
}

int main(void)
{
	static const uint32_t sizes[] = { 4096, 16384, 32768, 65536 };

	apr_initialize();
	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure_ledger(sizes[i]);
	return 0;
}
