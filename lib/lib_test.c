#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sched.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "lib/az.h"

static apr_pool_t *pool;

struct numbered {
	struct msg msg;
	int32_t number;
};

struct receiver {
	struct duty duty;
	int32_t next;
	int32_t out_of_order;
	int32_t ticks;
};

static int32_t dropped;

static void numbered_run(struct msg *m, struct duty *to)
{
	struct numbered *n = az_container_of(m, struct numbered, msg);
	struct receiver *r = az_container_of(to, struct receiver, duty);

	if (n->number != r->next)
		r->out_of_order++;
	__atomic_store_n(&r->next, n->number + 1, __ATOMIC_RELEASE);
	free(n);
}

static void numbered_drop(struct msg *m)
{
	dropped++;
	free(az_container_of(m, struct numbered, msg));
}

static const struct msg_ops numbered_ops = { "numbered", numbered_run,
					     numbered_drop };

static struct msg *numbered_new(int32_t number)
{
	struct numbered *n = calloc(1, sizeof(*n));

	n->msg.ops = &numbered_ops;
	n->number = number;
	return &n->msg;
}

/* A full ring must refuse messages, and neither grow nor overwrite one. */
static void test_ring_refuses_when_full(void)
{
	struct ring *r = ring_create(2, pool);
	struct msg *a = numbered_new(0);
	struct msg *b = numbered_new(1);
	struct msg *c = numbered_new(2);

	CU_ASSERT_EQUAL(ring_push(r, a), AZ_OK);
	CU_ASSERT_EQUAL(ring_push(r, b), AZ_OK);
	CU_ASSERT_EQUAL(ring_push(r, c), AZ_FULL);
	CU_ASSERT_PTR_EQUAL(ring_pop(r), a);
	CU_ASSERT_PTR_EQUAL(ring_pop(r), b);
	CU_ASSERT_PTR_NULL(ring_pop(r));
	free(a);
	free(b);
	free(c);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct receiver *r = az_container_of(d, struct receiver, duty);

	(void)now_us;
	__atomic_add_fetch(&r->ticks, 1, __ATOMIC_RELEASE);
}

static const struct duty_ops receiver_ops = { "receiver", on_timer, NULL };

/* A duty must handle all messages of a sender, in their order, also if they are
 * sent while it goes to sleep: a lost wake-up would leave messages unhandled.
 */
static void test_duty_runs_all_messages_in_order(void)
{
	struct receiver *r = calloc(1, sizeof(*r));
	const int32_t total = 50000;

	CU_ASSERT_EQUAL(duty_init(&r->duty, &receiver_ops, 128, NULL), AZ_OK);
	CU_ASSERT_EQUAL(duty_start(&r->duty), AZ_OK);
	for (int32_t i = 0; i < total; i++) {
		struct msg *m = numbered_new(i);

		while (ring_push(r->duty.ring, m) != AZ_OK)
			sched_yield();
	}
	while (__atomic_load_n(&r->next, __ATOMIC_ACQUIRE) < total)
		sched_yield();
	duty_stop(&r->duty);
	CU_ASSERT_EQUAL(r->out_of_order, 0);
	duty_destroy(&r->duty);
	free(r);
}

/* A stopped duty must call drop() of its messages: otherwise they leak,
 * and requests in them are never answered. */
static void test_stopped_duty_drops_messages(void)
{
	struct receiver *r = calloc(1, sizeof(*r));

	duty_init(&r->duty, &receiver_ops, 1, NULL);
	dropped = 0;
	duty_send(&r->duty, numbered_new(0));
	duty_send(&r->duty, numbered_new(1));
	CU_ASSERT_EQUAL(dropped, 1);
	duty_stop(&r->duty);
	CU_ASSERT_EQUAL(dropped, 2);
	duty_destroy(&r->duty);
	free(r);
}

/* on_timer() must be called each time a duty arms its timer. */
static void test_timer_notifies_subscriber(void)
{
	struct timer_service *t = timer_service_create(pool);
	struct receiver *r = calloc(1, sizeof(*r));

	duty_init(&r->duty, &receiver_ops, 16, t);
	timer_service_start(t);
	duty_start(&r->duty);
	for (int32_t i = 1; i <= 3; i++) {
		duty_arm(&r->duty, clock_now_us() + US_PER_MS);
		while (__atomic_load_n(&r->ticks, __ATOMIC_ACQUIRE) < i)
			sched_yield();
	}
	timer_service_stop(t);
	duty_stop(&r->duty);
	CU_ASSERT_EQUAL(r->ticks, 3);
	duty_destroy(&r->duty);
	free(r);
}

static const char *kind_name(uint32_t k)
{
	const char *name = error_info((enum error_kind)k)->name;

	return name ? name : "";
}

/* Each error kind must have an entry with a name of its own. A kind whose
 * request may have run must not have the outcome "not-run": the caller would
 * retry it. */
static void test_error_table_is_complete(void)
{
	static const enum error_kind may_have_run[] = {
		ERR_TICKET_EXPIRED,   ERR_ISSUER_GONE, ERR_ISSUER_UNREACHABLE,
		ERR_DEADLINE_UNKNOWN, ERR_ANSWER_LOST, ERR_ANSWER_TRUNCATED,
		ERR_ANSWER_TOO_LARGE, ERR_PEER_LOST,   ERR_INTERNAL,
	};

	for (uint32_t k = 0; k < ERR_KIND_COUNT; k++) {
		CU_ASSERT_FATAL(kind_name(k)[0] != '\0');
		for (uint32_t j = 0; j < k; j++)
			CU_ASSERT(strcmp(kind_name(k), kind_name(j)) != 0);
	}
	for (uint32_t i = 0; i < sizeof(may_have_run) / sizeof(may_have_run[0]);
	     i++)
		CU_ASSERT_EQUAL(error_info(may_have_run[i])->outcome,
				OUTCOME_UNKNOWN);
}

/* A child span must stay in its parent's trace, and a malformed header must
 * start a new one. */
static void test_span_keeps_trace(void)
{
	const char *in =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	struct span s;
	struct span child;
	char out[56];

	span_start(&s, in);
	span_child(&child, &s);
	span_format(&child, out);
	CU_ASSERT_NSTRING_EQUAL(out, in, 36);
	CU_ASSERT_EQUAL(child.parent_id, s.span_id);
	CU_ASSERT(child.sampled);
	span_child(&s, &s);
	CU_ASSERT_EQUAL(s.parent_id, child.parent_id);
	span_start(&s,
		   "00-0af7651916cd43dd8448eb211c80319c-b7ad6b71692033 1-01");
	CU_ASSERT(!s.sampled);
	CU_ASSERT_EQUAL(s.parent_id, 0);
}

/* A copied request must not depend on the original, which is freed. */
static void test_request_copy_is_independent(void)
{
	struct request *r = request_new("POST", "/pay", "countinghouse");
	struct request *c;

	buf_append(&r->body, "twelve bytes", 12);
	buf_printf(&r->headers, "A: %d\r\n", 7);
	c = request_copy(r);
	request_free(r);
	CU_ASSERT_STRING_EQUAL(c->path, "/pay");
	CU_ASSERT_EQUAL(c->body.len_bytes, 12);
	CU_ASSERT(!memcmp(c->headers.data, "A: 7\r\n", 6));
	request_free(c);
}

/* Guards against a limit that is read as another one, or as none. */
static void test_rates_are_parsed(void)
{
	static const char *const bad[] = { "",	    "x",     "-1",	  "1x",
					   "1.2.3", "1e999", "nan",	  " 1",
					   "1,5",   ".",     "9999999999" };
	uint32_t mrps = 0;

	CU_ASSERT_EQUAL(rate_parse("2.5", &mrps), AZ_OK);
	CU_ASSERT_EQUAL(mrps, 2500);
	CU_ASSERT_EQUAL(rate_parse("0", &mrps), AZ_OK);
	CU_ASSERT_EQUAL(mrps, 1);
	CU_ASSERT_EQUAL(rate_parse("1000000", &mrps), AZ_OK);
	CU_ASSERT_EQUAL(mrps, 1000000000);
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(rate_parse(bad[i], &mrps), AZ_INVALID);
}

/* Guards against a time that is read as another one, or as none. */
static void test_delays_are_parsed(void)
{
	static const char *const bad[] = {
		"",   "x",     "-1",
		"1s", "1.2.3", "nan",
		" 1", ".",     "Sat, 05 Dec 2026 16:00:00 GMT"
	};
	uint32_t ms = 0;

	CU_ASSERT_EQUAL(delay_parse("2.5", &ms), AZ_OK);
	CU_ASSERT_EQUAL(ms, 2500);
	CU_ASSERT_EQUAL(delay_parse("0", &ms), AZ_OK);
	CU_ASSERT_EQUAL(ms, 0);
	CU_ASSERT_EQUAL(delay_parse("99999999999999999999", &ms), AZ_OK);
	CU_ASSERT_EQUAL(ms, 1000000000);
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(delay_parse(bad[i], &ms), AZ_INVALID);
}

/* ---- HTTP calls ---- */

/** A server that answers one call with a start and a part without end. */
struct endless_server {
	int32_t listener;
	const char *start;
	const char *part;
	size_t sent_bytes; /**< of the part, until the client closed */
};

/* A client that has read this much of heads will not end. */
#define ENDLESS_MAX_BYTES (64 << 20)

static void *serve_endless(void *arg)
{
	struct endless_server *s = arg;
	int32_t fd = accept(s->listener, NULL, NULL);
	char request[4096];
	ssize_t n = read(fd, request, sizeof(request));

	if (n > 0 && write(fd, s->start, strlen(s->start)) < 0)
		n = 0;
	while (n > 0 && s->sent_bytes < ENDLESS_MAX_BYTES) {
		n = write(fd, s->part, strlen(s->part));
		s->sent_bytes += n > 0 ? (size_t)n : 0;
	}
	close(fd);
	return NULL;
}

/* Guards against a server in trouble whose head has no end: it would occupy the
 * connection, and the memory, until the time-out of a long poll. */
static void test_head_without_end_fails_the_call(void)
{
	static const char *const answers[][2] = {
		{ "HTTP/1.1 200 OK\r\n", "X-Y: 0123456789abcdef\r\n" },
		{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "HTTP/1.1 200 ", "0123456789abcdef" },
	};

	for (uint32_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		struct sockaddr_in sa = { .sin_family = AF_INET,
					  .sin_addr.s_addr =
						  htonl(INADDR_LOOPBACK) };
		socklen_t len = sizeof(sa);
		struct endless_server s = { socket(AF_INET, SOCK_STREAM, 0),
					    answers[i][0], answers[i][1], 0 };
		struct http_client *h = http_client_create();
		char url[64];
		struct http_call c = { .url = url,
				       .timeout_ms = 30000,
				       .answer_max_bytes = 1024 };
		pthread_t thread;
		double before_bytes = slope_allocated_bytes();

		CU_ASSERT_EQUAL_FATAL(
			bind(s.listener, (struct sockaddr *)&sa, sizeof(sa)),
			0);
		listen(s.listener, 1);
		getsockname(s.listener, (struct sockaddr *)&sa, &len);
		snprintf(url, sizeof(url), "http://127.0.0.1:%u/",
			 ntohs(sa.sin_port));
		pthread_create(&thread, NULL, serve_endless, &s);
		CU_ASSERT_EQUAL(http_call(h, &c), AZ_IO);
		CU_ASSERT(slope_allocated_bytes() - before_bytes < 4 << 20);
		buf_free(&c.answer);
		http_client_destroy(h);
		pthread_join(thread, NULL);
		CU_ASSERT(s.sent_bytes < ENDLESS_MAX_BYTES);
		close(s.listener);
	}
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	apr_pool_create(&pool, NULL);
	CU_initialize_registry();
	s = CU_add_suite("lib", NULL, NULL);
	CU_add_test(s, "ring full", test_ring_refuses_when_full);
	CU_add_test(s, "duty order", test_duty_runs_all_messages_in_order);
	CU_add_test(s, "duty drop", test_stopped_duty_drops_messages);
	CU_add_test(s, "timer", test_timer_notifies_subscriber);
	CU_add_test(s, "error table", test_error_table_is_complete);
	CU_add_test(s, "span", test_span_keeps_trace);
	CU_add_test(s, "copies", test_request_copy_is_independent);
	CU_add_test(s, "rates", test_rates_are_parsed);
	CU_add_test(s, "delays", test_delays_are_parsed);
	CU_add_test(s, "head without end",
		    test_head_without_end_fails_the_call);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
