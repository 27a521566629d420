/**
 * @file
 * Program: time of a message through a chain of duties that do nothing, at a
 * low rate. It is what the machine's wake-ups alone cost at that moment, to
 * which the latency of make bench is compared. usage: hops_main HOPS
 */
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include <apr_general.h>

#include "lib/az.h"

#define HOPS_MAX 64
#define MESSAGES 1000
#define GAP_US 5000

static struct duty duties[HOPS_MAX];
static uint32_t hops;
static sem_t end;

static void on_hop(struct msg *m, struct duty *to)
{
	uint32_t i = (uint32_t)(to - duties) + 1;

	if (i < hops)
		duty_send(&duties[i], m);
	else
		sem_post(&end);
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
	static int64_t us[MESSAGES];
	struct msg m = { &hop_ops };
	uint32_t mid = MESSAGES / 2;
	uint32_t high = MESSAGES * 99 / 100;

	apr_initialize();
	hops = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 0;
	if (!hops || hops > HOPS_MAX) {
		fprintf(stderr, "usage: hops_main HOPS (1 to %d)\n", HOPS_MAX);
		return EXIT_FAILURE;
	}
	sem_init(&end, 0, 0);
	for (uint32_t i = 0; i < hops; i++)
		if (duty_init(&duties[i], &duty_ops, 16, NULL) != AZ_OK ||
		    duty_start(&duties[i]) != AZ_OK)
			return EXIT_FAILURE;
	for (uint32_t i = 0; i < MESSAGES; i++) {
		usleep(GAP_US);
		us[i] = clock_now_us();
		duty_send(&duties[0], &m);
		while (sem_wait(&end))
			;
		us[i] = clock_now_us() - us[i];
	}
	qsort(us, MESSAGES, sizeof(us[0]), compare);
	printf("hops.%u.p50 %.3f ms\nhops.%u.p99 %.3f ms\n", hops,
	       (double)us[mid] / 1e3, hops, (double)us[high] / 1e3);
	for (uint32_t i = 0; i < hops; i++)
		duty_stop(&duties[i]);
	return EXIT_SUCCESS;
}
