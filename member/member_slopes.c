/*
 * Memory and processor time of a view, of a datagram and of a daemon in a
 * simulated fleet, at several sizes. usage: member_slopes
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "member/member_model.h"
#include "peer/peer.h"

#define ROUNDS 2000
#define VIEWS 200
#define DCS 10

static struct member sample_member(uint32_t i)
{
	struct member m = { .id = ((uint64_t)i << 32) + 1,
			    .incarnation = i + 7,
			    .ip = 0x0a000000 + i,
			    .peer_port = 1,
			    .member_port = 2,
			    .dc = i % DCS + 1,
			    .region = i % 3 + 1 };

	snprintf(m.name, sizeof(m.name), "daemon-%05u", i);
	return m;
}

static void measure_view(uint32_t n)
{
	struct member *list = malloc(n * sizeof(*list));
	double before;
	double us;

	for (uint32_t i = 0; i < n; i++)
		list[i] = sample_member(i);
	before = slope_allocated_bytes();
	{
		struct member_view *v =
			member_view_new(1, list, n, NULL, 0, NULL, 0);

		slope_print("view_bytes", n, slope_allocated_bytes() - before,
			    "B");
		us = slope_cpu_us();
		for (uint32_t i = 0; i < ROUNDS; i++)
			member_choose_home(v, i, i % DCS + 1, 1);
		slope_print("home_choice_cpu", n,
			    (slope_cpu_us() - us) / ROUNDS, "us");
		member_view_release(v);
	}
	us = slope_cpu_us();
	for (uint32_t i = 0; i < VIEWS; i++)
		member_view_release(
			member_view_new(1, list, n, NULL, 0, NULL, 0));
	slope_print("view_cpu", n, (slope_cpu_us() - us) / VIEWS, "us");
	free(list);
}

static void measure_datagram(uint32_t updates)
{
	static struct swim_msg m;
	static struct swim_msg decoded;
	static const char text[] = "1:000102030405060708090a0b0c0d0e0f"
				   "101112131415161718191a1b1c1d1e1f";
	uint8_t data[SWIM_DATAGRAM_MAX_BYTES];
	struct fleet_keys keys;
	uint32_t bytes = 0;
	double us;

	if (fleet_keys_parse(text, &keys) != AZ_OK)
		exit(1);
	m.kind = SWIM_ACK;
	m.sender_id = 1;
	m.update_count = updates;
	for (uint32_t i = 0; i < updates; i++) {
		m.updates[i].kind = UPDATE_FULL;
		m.updates[i].member = sample_member(i);
	}
	us = slope_cpu_us();
	for (uint32_t i = 0; i < 10 * ROUNDS; i++) {
		bytes = wire_encode(&m, &keys, data);
		if (!bytes ||
		    wire_decode(data, bytes, &keys, &decoded) != AZ_OK)
			exit(1);
	}
	us = slope_cpu_us() - us;
	slope_print("datagram_bytes", updates, bytes, "B");
	slope_print("datagram_encode_decode_cpu", updates, us / (10 * ROUNDS),
		    "us");
}

/* Traffic, memory and processor time of a daemon in a simulated fleet of `n`.
 */
static void measure_fleet(uint32_t n)
{
	struct model *m = model_new(n, DCS, 3, 1);
	const int64_t for_us = 20 * US_PER_S;
	uint64_t bytes = 0;
	double us;

	model_start_all(m);
	model_run(m, 5 * US_PER_S);
	for (uint32_t i = 0; i < n; i++)
		m->daemons[i].sent_bytes = 0;
	us = slope_cpu_us();
	model_run(m, for_us);
	us = slope_cpu_us() - us;
	for (uint32_t i = 0; i < n; i++)
		bytes += m->daemons[i].sent_bytes;
	slope_print("member_traffic", n,
		    (double)bytes / n / ((double)for_us / US_PER_S), "B/s");
	/* Includes the time of the simulation itself. */
	slope_print("member_cpu", n, us / n / (double)for_us * 100, "%");
	slope_print("member_bytes", n,
		    (double)swim_memory_bytes(m->daemons[0].swim), "B");
	model_free(m);
}

int main(void)
{
	static const uint32_t sizes[] = { 370, 1000, 2000, 3700 };
	static const uint32_t fleets[] = { 100, 300, 600, 1200 };

	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure_view(sizes[i]);
	for (uint32_t i = 0; i <= 12; i += 4)
		measure_datagram(i);
	for (uint32_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++)
		measure_fleet(fleets[i]);
	return 0;
}
