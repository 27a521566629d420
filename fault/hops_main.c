/**
 * @file
 * Program: measures how long a message takes through a chain of idle duties, at
 * a low rate. This is the cost of thread wake-ups alone, as a baseline for the
 * latencies of make bench. usage: hops_main HOPS
 */
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include <apr_general.h>

#include "lib/az.h"

#define HOPS_MAX 64
#define MESSAGES 1000
#define GAP_US 5000 /* pause before each message, so that duties are idle */

static struct duty duties[HOPS_MAX];
static uint32_t hops;
static sem_t arrived;

static void on_hop(struct msg *m, struct duty *to)
{
	uint32_t i = (uint32_t)(to - duties) + 1;

	if (i < hops)
		duty_send(&duties[i], m);
	else
		sem_post(&arrived);
}

static const struct msg_ops hop_ops = { "hop", on_hop, NULL };
static const struct duty_ops duty_ops = { "hop", NULL, NULL };

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int main(int argc, char **argv)
{
	static int64_t elapsed_us[MESSAGES];
	struct msg m = { &hop_ops };
	uint32_t p50_index = MESSAGES / 2;
	uint32_t p99_index = MESSAGES * 99 / 100;

	apr_initialize();
	hops = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 0;
	if (!hops || hops > HOPS_MAX) {
		fprintf(stderr, "usage: hops_main HOPS (1 to %d)\n", HOPS_MAX);
		return EXIT_FAILURE;
	}
	sem_init(&arrived, 0, 0);
	for (uint32_t i = 0; i < hops; i++)
		if (duty_init(&duties[i], &duty_ops, 16, NULL) != AZ_OK ||
		    duty_start(&duties[i]) != AZ_OK)
			return EXIT_FAILURE;
	for (uint32_t i = 0; i < MESSAGES; i++) {
		usleep(GAP_US);
		elapsed_us[i] = clock_now_us();
		duty_send(&duties[0], &m);
		while (sem_wait(&arrived))
			;
		elapsed_us[i] = clock_now_us() - elapsed_us[i];
	}
	qsort(elapsed_us, MESSAGES, sizeof(elapsed_us[0]), compare);
	printf("hops.%u.p50 %.3f ms\nhops.%u.p99 %.3f ms\n", hops,
	       (double)elapsed_us[p50_index] / 1e3, hops,
	       (double)elapsed_us[p99_index] / 1e3);
	for (uint32_t i = 0; i < hops; i++)
		duty_stop(&duties[i]);
	return EXIT_SUCCESS;
}
