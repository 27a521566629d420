/*
 * Memory of a connection between daemons, and size and processor time of a
 * signed call record, at several sizes.
 * usage: peer_slopes [PORT]; it listens on PORT and PORT + 1
 */
#include <malloc.h>
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>

#include "peer/peer.h"

#define ROUNDS 20000
/* Time until the deadline of each call. */
#define CALL_US (20 * US_PER_S)
#define TO_INCARNATION 9

static double resident_bytes(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	unsigned long size = 0;
	unsigned long pages = 0;

	if (!f || fscanf(f, "%lu %lu", &size, &pages) != 2)
		exit(1);
	fclose(f);
	return (double)pages * 4096;
}

/* ---- records ---- */

static void measure_record(const struct fleet_keys *keys, uint32_t body_bytes)
{
	struct peer_session ours = { 5, 6, 0, 0 };
	struct peer_session theirs = { 5, 6, 0, 0 };
	struct ticket t = { .incarnation = 44, .sequence = 3 };
	struct request *q = request_new("POST", "/payments", "countinghouse");
	void *body = calloc(1, body_bytes + 1);
	uint32_t bytes = 0;
	double us;

	q->deadline_us = CALL_US;
	buf_printf(&q->headers, "Content-Type: application/json\r\n"
				"Accept: */*\r\nHost: azurehold\r\n");
	buf_append(&q->body, body, body_bytes);
	us = slope_cpu_us();
	for (uint32_t i = 0; i < ROUNDS; i++) {
		struct buf args = { 0 };
		struct buf out = { 0 };
		struct peer_record r;
		struct request *decoded;

		peer_put_present(&args, &t, q, 0);
		peer_put_call(&out, &ours, keys, i, PEER_PRESENT, &args);
		bytes = out.len_bytes;
		if (peer_get_record(out.data, bytes, true, &theirs, keys, &r) !=
			    AZ_OK ||
		    peer_get_present(&r, 0, &t, &decoded) != AZ_OK)
			exit(1);
		request_free(decoded);
		buf_free(&args);
		buf_free(&out);
	}
	us = slope_cpu_us() - us;
	slope_print("present_bytes", body_bytes, bytes, "B");
	slope_print("present_encode_decode_cpu", body_bytes, us / ROUNDS, "us");
	request_free(q);
	free(body);
}

/* ---- connections ---- */

struct caller {
	struct reply_to reply;
	sem_t answered;
	uint32_t failures;
};

static void on_answer(struct reply_to *to, struct answer *a)
{
	struct caller *caller = az_container_of(to, struct caller, reply);

	if (a->kind != ERR_NONE)
		__atomic_add_fetch(&caller->failures, 1, __ATOMIC_RELAXED);
	answer_free(a);
	sem_post(&caller->answered);
}

static const struct reply_ops caller_ops = { on_answer };

static void on_conf(struct peer_handler *h, enum peer_procedure proc,
		    struct buf *body, struct reply_to *reply)
{
	reply->ops->answer(reply, answer_new(ERR_NONE));
}

static const struct peer_handler_ops handler_ops = { .handle_conf = on_conf };

static struct peer *start_peer(const struct fleet_keys *keys, uint16_t port,
			       uint64_t incarnation,
			       struct timer_service *timers, apr_pool_t *pool)
{
	static struct peer_handler handler = { &handler_ops };
	struct peer_settings s = { .ip = 0, /* all loopback addresses */
				   .port = port,
				   .member_id = incarnation,
				   .incarnation = incarnation,
				   .in_flight_max = 4096,
				   .keys = *keys,
				   .handler = &handler };
	struct peer *p = peer_create(&s, timers, pool);

	if (!p || peer_start(p) != AZ_OK) {
		fprintf(stderr, "peer_slopes: %s\n", az_last_message());
		exit(1);
	}
	return p;
}

/* Makes one call to each of `n` loopback addresses of the same daemon, which
 * opens a connection to each. */
static void call_each_address(struct peer *from, uint16_t port, uint32_t n,
			      struct caller *caller)
{
	for (uint32_t i = 0; i < n; i++) {
		struct peer_target to = { 0x7f000000 + 256 + i, port,
					  TO_INCARNATION };
		struct buf body = { 0 };

		peer_send_conf(from, &to, PEER_CONF_LIST, &body,
			       clock_now_us() + CALL_US, &caller->reply);
		sem_wait(&caller->answered);
	}
}

static void measure_connections(const struct fleet_keys *keys, uint16_t port)
{
	static const uint32_t sizes[] = { 100, 300, 600, 1000 };
	struct caller caller = { .reply = { &caller_ops } };
	struct timer_service *timers;
	struct peer *a;
	struct peer *b;
	apr_pool_t *pool;
	double base;

	sem_init(&caller.answered, 0, 0);
	apr_pool_create(&pool, NULL);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	a = start_peer(keys, port, TO_INCARNATION + 1, timers, pool);
	b = start_peer(keys, (uint16_t)(port + 1), TO_INCARNATION, timers,
		       pool);
	call_each_address(a, (uint16_t)(port + 1), 10, &caller);
	base = resident_bytes();
	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		call_each_address(a, (uint16_t)(port + 1), sizes[i], &caller);
		/* Both ends of each connection are in this process, hence twice
		 * the number. */
		slope_print("peer_connection_end_bytes", 2 * sizes[i],
			    resident_bytes() - base, "B");
	}
	if (caller.failures) {
		fprintf(stderr, "peer_slopes: %u calls failed\n",
			caller.failures);
		exit(1);
	}
	peer_stop(a);
	peer_stop(b);
	timer_service_stop(timers);
}

int main(int argc, char **argv)
{
	static const char text[] = "1:000102030405060708090a0b0c0d0e0f"
				   "101112131415161718191a1b1c1d1e1f";
	static const uint32_t bodies[] = { 0, 1024, 4096, 16384 };
	struct fleet_keys keys;

	apr_initialize();
	if (fleet_keys_parse(text, &keys) != AZ_OK)
		return 1;
	for (uint32_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++)
		measure_record(&keys, bodies[i]);
	measure_connections(
		&keys, argc > 1 ? (uint16_t)strtoul(argv[1], NULL, 10) : 26900);
	return 0;
}
