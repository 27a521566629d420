#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "attempt/attempt.h"
#include "front/front.h"

static struct conf *conf;

static const char conf_text[] =
	"[data_centre a1]\nregion = a\n"
	"[service ledger]\n"
	"[service bare]\nbare = yes\n"
	"[worker ledger/w1]\naddress = 127.0.0.1:1\ndata_centre = a1\n"
	"[worker bare/w1]\naddress = 127.0.0.1:2\ndata_centre = a1\n"
	"[route pay]\npath = /pay\nmethods = POST\nservice = ledger\n"
	"rank = normal\nidempotent = no\n"
	"[route read]\npath = /read\nmethods = GET\nservice = ledger\n"
	"rank = normal\nidempotent = yes\ndeadline_ms = 700\n"
	"[route bare]\npath = /bare\nmethods = POST\nservice = bare\n"
	"rank = bulk\nidempotent = no\n"
	"[organisation gate]\ntoken = secret\n"
	"[organisation open]\n";

static struct caller_input input(const char *method, const char *path)
{
	return (struct caller_input){ .method = method,
				      .path = path,
				      .organisation = "gate",
				      .authorization = "Bearer secret" };
}

static enum error_kind refusal_kind(const struct caller_input *in)
{
	struct classification c = classify(conf, in, 0);

	return c.disposition == FRONT_REFUSE ? c.kind : ERR_NONE;
}

/* Guards against requests that reach a service without a known organisation,
 * its token, or a route. */
static void test_organisation_and_route_are_checked(void)
{
	struct caller_input in = input("GET", "/read/x");

	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_NONE);
	in.authorization = "Bearer wrong";
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_UNKNOWN_ORGANISATION);
	in.authorization = NULL;
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_UNKNOWN_ORGANISATION);
	in.organisation = "open";
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_NONE);
	in.organisation = NULL;
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_UNKNOWN_ORGANISATION);
	in = input("GET", "/nowhere");
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_UNKNOWN_ROUTE);
	in = input("DELETE", "/read");
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_METHOD_NOT_ALLOWED);
}

/* Guards against running a non-idempotent request without a ticket, unless its
 * service is bare. */
static void test_nonidempotent_request_needs_a_ticket(void)
{
	struct caller_input in = input("POST", "/pay");
	struct ticket t = { .port = 1 };
	char ticket[TICKET_TEXT_MAX_BYTES];

	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_TICKET_REQUIRED);
	in.ticket = "garbage";
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_TICKET_MALFORMED);
	ticket_format(&t, ticket);
	in.ticket = ticket;
	CU_ASSERT_EQUAL(classify(conf, &in, 0).disposition, FRONT_TICKET);
	in = input("POST", "/bare");
	CU_ASSERT_EQUAL(classify(conf, &in, 0).disposition, FRONT_ROUTE);
}

/* Guards against a caller that raises its own rank. */
static void test_rank_can_only_be_lowered(void)
{
	struct caller_input in = input("GET", "/read");

	in.rank = "urgent";
	CU_ASSERT_EQUAL(classify(conf, &in, 0).rank, RANK_NORMAL);
	in.rank = "bulk";
	CU_ASSERT_EQUAL(classify(conf, &in, 0).rank, RANK_BULK);
	in.rank = "most";
	CU_ASSERT_EQUAL(refusal_kind(&in), ERR_BAD_REQUEST);
}

/* Guards against accepting a deadline that is out of range or not a plain
 * number of milliseconds. */
static void test_deadline(void)
{
	struct caller_input in = input("GET", "/read");
	static const char *const bad[] = { "0", "-5", "1s", "",
					   "99999999999999999999" };

	CU_ASSERT_EQUAL(classify(conf, &in, 50).deadline_us, 700050);
	in.deadline_ms = "20";
	CU_ASSERT_EQUAL(classify(conf, &in, 0).deadline_us, 20000);
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		in.deadline_ms = bad[i];
		CU_ASSERT_EQUAL(refusal_kind(&in), ERR_BAD_REQUEST);
	}
}

/* Guards against a daemon that answers "not run" to a request with a ticket,
 * although an earlier presentation of the ticket may have run. */
static void test_refusal_of_a_ticket_proves_nothing(void)
{
	CU_ASSERT(refusal_proves_not_run(ERR_OVERLOADED, false));
	CU_ASSERT(!refusal_proves_not_run(ERR_OVERLOADED, true));
	CU_ASSERT(!refusal_proves_not_run(ERR_OVER_LIMIT, true));
	CU_ASSERT(!refusal_proves_not_run(ERR_BAD_REQUEST, true));
	CU_ASSERT(!refusal_proves_not_run(ERR_INTERNAL, false));
}

/* Guards against a limiter that admits more or less than an organisation's
 * share: 100 requests/s for 2 daemons are 500 in 10 s, and the burst is 10. */
static void test_limiter_holds_the_rate(void)
{
	struct limiter *l = limiter_create(64);
	uint32_t taken = 0;

	for (int64_t us = 0; us < 10 * US_PER_S; us += US_PER_MS)
		taken += limiter_take(l, 3, 100, 10, 2, us);
	CU_ASSERT(taken >= 500 && taken <= 510);
	CU_ASSERT(limiter_take(l, 4, 0, 0, 2, 0));
	limiter_destroy(l);
}

/* Guards against requests of one organisation that empty another one's bucket.
 */
static void test_organisations_have_separate_limits(void)
{
	struct limiter *l = limiter_create(64);

	for (uint32_t i = 0; i < 100; i++)
		limiter_take(l, 3, 10, 5, 1, 0);
	CU_ASSERT(!limiter_take(l, 3, 10, 5, 1, 0));
	CU_ASSERT(limiter_take(l, 4, 10, 5, 1, 0));
	limiter_destroy(l);
}

/* ---- tests of request heads ---- */

static enum error_kind check_text(const char *text)
{
	return head_check_bytes((const uint8_t *)text, (uint32_t)strlen(text));
}

/* Guards against request smuggling by heads that HTTP readers parse
 * differently. */
static void test_ambiguous_bytes_are_refused(void)
{
	CU_ASSERT_EQUAL(check_text("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
			ERR_NONE);
	CU_ASSERT_EQUAL(check_text("GET / HTTP/1.1\nHost: a\r\n\r\n"),
			ERR_BAD_REQUEST);
	CU_ASSERT_EQUAL(check_text("GET / HTTP/1.1\r\nHost: a\rb: c\r\n\r\n"),
			ERR_BAD_REQUEST);
	CU_ASSERT_EQUAL(check_text("GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n"),
			ERR_BAD_REQUEST);
	CU_ASSERT_EQUAL(check_text("GET /\x01 HTTP/1.1\r\n\r\n"),
			ERR_BAD_REQUEST);
}

/* Guards against missing the end of a head that arrives in two reads. */
static void test_head_end_is_found_across_reads(void)
{
	const char text[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\nrest";
	uint32_t end = (uint32_t)(strstr(text, "rest") - text);

	for (uint32_t held = 0; held < end; held++) {
		CU_ASSERT_EQUAL(head_end((const uint8_t *)text, held, 0), 0);
		CU_ASSERT_EQUAL(
			head_end((const uint8_t *)text, sizeof(text) - 1, held),
			end);
	}
}

/* ---- tests over sockets ---- */

static apr_pool_t *pool;
static struct timer_service *timers;
static struct conf_current *current;
static struct membership *membership;
static struct upstream *up;
static struct home *home;
static struct attempts *attempts;
static struct front *front;
static uint16_t front_port;
static uint16_t worker_port;
static int32_t worker_listener;

static int32_t listen_on_any_port(uint16_t *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);
	int32_t fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&sa, len) || listen(fd, 16))
		abort();
	getsockname(fd, (struct sockaddr *)&sa, &len);
	*port = ntohs(sa.sin_port);
	return fd;
}

static int32_t connect_caller(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(front_port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int32_t fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
		abort();
	return fd;
}

static void send_text(int32_t fd, const char *text)
{
	if (write(fd, text, strlen(text)) < 0)
		abort();
}

/* Reads until `all` contains the text; false if the connection ends before. */
static bool read_until(int32_t fd, const char *text, char *all, size_t size)
{
	size_t used = strlen(all);

	while (!strstr(all, text)) {
		ssize_t n = read(fd, all + used, size - used - 1);

		if (n <= 0)
			return false;
		used += (size_t)n;
		all[used] = '\0';
	}
	return true;
}

#define GET_READ                               \
	"GET /read/%s HTTP/1.1\r\nHost: a\r\n" \
	"Azurehold-Organisation: open\r\n\r\n"

/* Guards against request smuggling: bytes after an ambiguous request must not
 * be read as another request, and the connection must close. */
static void test_bad_request_closes_the_connection(void)
{
	static const char *const bad[] = {
		"POST /bare HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"POST /bare HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
		"Content-Length: 6\r\n\r\n",
		"GET /read HTTP/1.1\r\n\r\n",
		"GET /read HTTP/1.1\nHost: a\n\n",
		"nonsense\r\n\r\n",
	};

	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		int32_t fd = connect_caller();
		char all[4096] = "";

		send_text(fd, bad[i]);
		send_text(fd,
			  "GET " HEALTH_PATH " HTTP/1.1\r\nHost: a\r\n\r\n");
		CU_ASSERT(!read_until(fd, "HTTP/1.1 200", all, sizeof(all)));
		CU_ASSERT_PTR_NOT_NULL(strstr(all, "HTTP/1.1 400"));
		CU_ASSERT_PTR_NOT_NULL(strstr(all, "Connection: close"));
		close(fd);
	}
}

static void send_ok_answer(int32_t fd, const char *body)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		 strlen(body), body);
	send_text(fd, text);
}

/* Guards against pipelined requests that wait for one another, and against
 * answers in another order: the worker answers the second request first. */
static void test_pipelined_requests_run_concurrently(void)
{
	int32_t fd = connect_caller();
	char all[4096] = "";
	char received[2][2048] = { "", "" };
	char text[512];
	int32_t worker_fd[2];

	snprintf(text, sizeof(text), GET_READ GET_READ, "one", "two");
	send_text(fd, text);
	for (uint32_t i = 0; i < 2; i++) {
		worker_fd[i] = accept(worker_listener, NULL, NULL);
		CU_ASSERT(read_until(worker_fd[i], "\r\n\r\n", received[i],
				     2048));
	}
	/* The two connections to the worker may be accepted in any order. */
	for (uint32_t i = 0; i < 2; i++)
		if (strstr(received[i], "/read/two"))
			send_ok_answer(worker_fd[i], "second");
	for (uint32_t i = 0; i < 2; i++)
		if (strstr(received[i], "/read/one"))
			send_ok_answer(worker_fd[i], "first");
	CU_ASSERT(read_until(fd, "second", all, sizeof(all)));
	CU_ASSERT_PTR_NOT_NULL(strstr(all, "first"));
	CU_ASSERT(strstr(all, "first") < strstr(all, "second"));
	close(fd);
	close(worker_fd[0]);
	close(worker_fd[1]);
}

/* Guards against a worker that still runs the request of a caller that has
 * closed its connection. */
static void test_closed_caller_cancels_at_the_worker(void)
{
	int32_t fd = connect_caller();
	char received[2048] = "";
	char text[256];
	char byte;
	int32_t worker_fd;

	snprintf(text, sizeof(text), GET_READ, "left");
	send_text(fd, text);
	worker_fd = accept(worker_listener, NULL, NULL);
	CU_ASSERT(
		read_until(worker_fd, "\r\n\r\n", received, sizeof(received)));
	close(fd);
	CU_ASSERT(read(worker_fd, &byte, 1) <= 0);
	close(worker_fd);
}

/* Guards against answering 404 before the daemon has a configuration, instead
 * of 503, which tells the caller that the request did not run. */
static void test_without_configuration_answers_503(void)
{
	struct conf *c = conf_current_get(current);
	int32_t fd = connect_caller();
	char all[4096] = "";
	char text[256];

	conf_current_set(current, conf_empty());
	snprintf(text, sizeof(text), GET_READ, "x");
	send_text(fd, text);
	CU_ASSERT(read_until(fd, "HTTP/1.1 503", all, sizeof(all)));
	conf_current_set(current, c);
	close(fd);
}

/* ---- memory ---- */

static struct memory_holder receiving(uint64_t held, uint64_t bytes,
				      int64_t began_us)
{
	return (struct memory_holder){ .held_bytes = held,
				       .receiving = { .active = true,
						      .began_us = began_us,
						      .moved_us = began_us,
						      .bytes = bytes } };
}

static struct memory_holder sending(uint64_t held, uint64_t bytes,
				    int64_t began_us, int64_t moved_us)
{
	return (struct memory_holder){ .held_bytes = held,
				       .sending = { .active = true,
						    .began_us = began_us,
						    .moved_us = moved_us,
						    .bytes = bytes } };
}

/* Guards against long bodies and answers that take the memory of ordinary
 * requests, and against a count that drifts. */
static void test_long_holders_leave_the_short_share(void)
{
	struct memory_budget b;

	memory_budget_init(&b, 160U << 20);
	/* The smallest VM has room for one body of 64 MiB, and no two. */
	CU_ASSERT(memory_body_max_bytes(&b) >= 64U << 20);
	memory_budget_change(&b, 0, 65U << 20);
	CU_ASSERT(!memory_budget_exceeded(&b, MEMORY_LONG));
	memory_budget_change(&b, 0, 65U << 20);
	CU_ASSERT(memory_budget_exceeded(&b, MEMORY_LONG));
	CU_ASSERT(!memory_budget_exceeded(&b, MEMORY_SHORT));
	CU_ASSERT_EQUAL(b.held_bytes[MEMORY_SHORT], 2 * MEMORY_SHORT_BYTES);
	memory_budget_change(&b, 65U << 20, 1000);
	CU_ASSERT_EQUAL(b.held_bytes[MEMORY_SHORT], MEMORY_SHORT_BYTES + 1000);
	memory_budget_change(&b, 1000, 0);
	memory_budget_change(&b, 65U << 20, 0);
	CU_ASSERT_EQUAL(b.held_bytes[MEMORY_SHORT], 0);
	CU_ASSERT_EQUAL(b.held_bytes[MEMORY_LONG], 0);
}

/* Guards against a crowd of bodies that stop short of their end and hold the
 * memory, while bodies that still grow are refused. */
static void test_slowest_body_yields_first(void)
{
	int64_t now_us = 100 * US_PER_S;
	struct memory_holder stopped =
		receiving(16U << 20, 16U << 20, now_us - 20 * US_PER_S);
	struct memory_holder slow =
		receiving(1U << 20, 1U << 20, now_us - US_PER_S);
	struct memory_holder fast =
		receiving(8U << 20, 8U << 20, now_us - US_PER_S);

	CU_ASSERT(memory_yields_before(&stopped, &slow, now_us));
	CU_ASSERT(memory_yields_before(&slow, &fast, now_us));
	CU_ASSERT(!memory_yields_before(&fast, &stopped, now_us));
}

/* Guards against closing the connection of a caller that reads its answer, or
 * whose request is at a worker, while a request can still be refused as not
 * run; and against a caller that holds answers and reads nothing, or little. */
static void test_slow_reader_yields_before_a_reader(void)
{
	int64_t now_us = 100 * US_PER_S;
	struct memory_holder idle = { .held_bytes = 1U << 20 };
	struct memory_holder reader =
		sending(4U << 20, 8U << 20, now_us - 2 * US_PER_S, now_us);
	struct memory_holder stalled = sending(
		4U << 20, 8U << 20, now_us - 2 * US_PER_S, now_us - US_PER_S);
	struct memory_holder trickle =
		sending(4U << 20, 1000, now_us - 2 * US_PER_S, now_us);
	struct memory_holder body =
		receiving(1U << 20, 1U << 20, now_us - US_PER_S);
	struct memory_holder waiting = { .held_bytes = 4U << 20,
					 .has_answers = true };

	CU_ASSERT_EQUAL(memory_yield(&idle, now_us), MEMORY_YIELD_NEVER);
	CU_ASSERT_EQUAL(memory_yield(&reader, now_us), MEMORY_YIELD_LAST);
	CU_ASSERT_EQUAL(memory_yield(&waiting, now_us), MEMORY_YIELD_LAST);
	CU_ASSERT_EQUAL(memory_yield(&stalled, now_us), MEMORY_YIELD_FIRST);
	CU_ASSERT_EQUAL(memory_yield(&trickle, now_us), MEMORY_YIELD_FIRST);
	CU_ASSERT(memory_yields_before(&body, &reader, now_us));
	CU_ASSERT(memory_yields_before(&trickle, &body, now_us));
	CU_ASSERT(memory_yields_before(&stalled, &waiting, now_us));
}

static uint64_t held_bytes(void)
{
	return front->memory.held_bytes[MEMORY_SHORT] +
	       front->memory.held_bytes[MEMORY_LONG];
}

/* Connects and sends the head of an order and `sent_bytes` of its body. */
static int32_t begin_order(uint32_t body_bytes, uint32_t sent_bytes)
{
	char *body = az_alloc(sent_bytes + 1);
	int32_t fd = connect_caller();
	char head[256];

	snprintf(head, sizeof(head),
		 "POST /order HTTP/1.1\r\nHost: a\r\n"
		 "Azurehold-Organisation: open\r\n"
		 "Azurehold-Deadline-Ms: 20000\r\n"
		 "Content-Length: %u\r\n\r\n",
		 body_bytes);
	send_text(fd, head);
	memset(body, 'x', sent_bytes);
	send_text(fd, body);
	free(body);
	return fd;
}

/* Guards against the memory of a VM being exhausted by long requests: a body
 * counts as it arrives until its request is answered (review/3), one that is
 * only announced does not, and the slowest is refused as not run. */
static void test_bodies_are_bounded_until_answered(void)
{
	uint32_t bytes = 6U << 20;
	static char received[(6U << 20) + 4096];
	char all[4096] = "";
	int32_t announced;
	int32_t fd[4];
	int32_t worker_fd;

	front_set_stopping(front);
	fd[0] = begin_order(5, 5);
	worker_fd = accept(worker_listener, NULL, NULL);
	CU_ASSERT(read_until(worker_fd, "xxxxx", received, sizeof(received)));
	CU_ASSERT(front->submitted_bytes >= 5);
	announced = begin_order(13U << 20, 0);
	/* Two have room beside it, a third has not. */
	for (uint32_t i = 1; i < 4; i++) {
		uint64_t before = held_bytes();

		fd[i] = begin_order(bytes, bytes - 1);
		while (i < 3 && held_bytes() < before + bytes - 1)
			usleep(1000);
	}
	CU_ASSERT(read_until(fd[1], "HTTP/1.1 503", all, sizeof(all)));
	CU_ASSERT(read_until(fd[1], "Azurehold-Outcome: not-run", all,
			     sizeof(all)));
	while (memory_budget_exceeded(&front->memory, MEMORY_LONG))
		usleep(1000);
	close(announced);
	close(fd[1]);
	close(fd[2]);
	close(fd[3]);
	while (held_bytes() > MEMORY_SHORT_BYTES)
		usleep(1000);
	CU_ASSERT(held_bytes() > 5);
	send_ok_answer(worker_fd, "done");
	*all = '\0';
	CU_ASSERT(read_until(fd[0], "done", all, sizeof(all)));
	close(fd[0]);
	while (held_bytes())
		usleep(1000);
	CU_ASSERT_EQUAL(front->submitted_bytes, 0);
	close(worker_fd);
}

/* Guards against idle connections that hold the memory of ordinary requests for
 * good: nothing makes an idle connection give way. */
static void test_idle_connection_holds_little(void)
{
	char *filling = az_alloc(12001);
	static char received[32768];
	static char all[32768];
	int32_t fd = connect_caller();
	uint64_t before = held_bytes();
	int32_t worker_fd;
	char head[256];

	memset(filling, 'x', 12000);
	send_text(fd, "GET /read/long HTTP/1.1\r\nHost: a\r\nName: ");
	send_text(fd, filling);
	send_text(fd, "\r\nAzurehold-Organisation: open\r\n\r\n");
	worker_fd = accept(worker_listener, NULL, NULL);
	CU_ASSERT(
		read_until(worker_fd, "\r\n\r\n", received, sizeof(received)));
	CU_ASSERT(held_bytes() > before + 12000);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 12003);
	send_text(worker_fd, head);
	send_text(worker_fd, filling);
	send_text(worker_fd, "end");
	CU_ASSERT(read_until(fd, "end", all, sizeof(all)));
	/* Of the head and of the answer each 2 KiB may stay. */
	while (held_bytes() > before + 4096)
		usleep(1000);
	close(fd);
	close(worker_fd);
	free(filling);
}

/* Sends an answer with a body of `bytes` that ends with `end`. */
static void send_long_answer(int32_t fd, uint32_t bytes, const char *end)
{
	uint32_t filling_bytes = bytes - (uint32_t)strlen(end);
	char *filling = az_alloc(filling_bytes + 1);
	char head[128];

	memset(filling, 'x', filling_bytes);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n", bytes);
	send_text(fd, head);
	send_text(fd, filling);
	send_text(fd, end);
	free(filling);
}

/* Guards against an answer that waits for ever behind a long one, which the
 * socket does not take at once: nothing but the end of the first one tells that
 * the second can be written. */
static void test_answer_follows_a_long_one(void)
{
	static const char *const names[] = { "one", "two", "three" };
	uint32_t bytes = 3900000;
	size_t size = 3 * bytes + 65536;
	char *all = az_alloc(size);
	int32_t fd = connect_caller();
	char received[2048];
	char text[1024];
	char end[32];
	int32_t worker_fd[3];
	int buffer_bytes = 65536;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	snprintf(text, sizeof(text), GET_READ GET_READ GET_READ, names[0],
		 names[1], names[2]);
	send_text(fd, text);
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t n = 0;

		worker_fd[i] = accept(worker_listener, NULL, NULL);
		*received = '\0';
		CU_ASSERT(read_until(worker_fd[i], "\r\n\r\n", received,
				     sizeof(received)));
		while (n < 2 &&
		       !strstr(received + strlen("GET /read/"), names[n]))
			n++;
		snprintf(end, sizeof(end), "end of %s", names[n]);
		send_long_answer(worker_fd[i], bytes, end);
	}
	while (attempts_in_flight(attempts))
		usleep(1000);
	for (size_t used = 0;
	     !strstr(used > 64 ? all + used - 64 : all, "end of three");) {
		ssize_t n = read(fd, all + used, size - used - 1);

		if (n <= 0)
			break;
		used += (size_t)n;
	}
	for (uint32_t i = 0; i < 3; i++) {
		snprintf(end, sizeof(end), "end of %s", names[i]);
		CU_ASSERT_PTR_NOT_NULL(strstr(all, end));
		close(worker_fd[i]);
	}
	close(fd);
	free(all);
}

/* Guards against reading a chunk that is announced beyond the limit: up to the
 * limit it would hold memory, and the caller learns of the refusal late. */
static void test_long_chunk_is_refused_at_its_announcement(void)
{
	int32_t fd = connect_caller();
	char all[4096] = "";

	send_text(fd, "POST /order HTTP/1.1\r\nHost: a\r\n"
		      "Azurehold-Organisation: open\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n"
		      "5\r\nxxxxx\r\nfffffffffff\r\n");
	CU_ASSERT(read_until(fd, "HTTP/1.1 413", all, sizeof(all)));
	CU_ASSERT(
		read_until(fd, "Azurehold-Outcome: not-run", all, sizeof(all)));
	close(fd);
}

/* Sends two pipelined requests; the worker answers only the second one. Returns
 * the worker's connection with the first request; `*other` is the second's. */
static int32_t pipeline_with_hung_first_request(int32_t fd, int32_t *other)
{
	char received[2][2048] = { "", "" };
	char text[512];
	int32_t worker_fd[2];
	uint32_t first;

	snprintf(text, sizeof(text), GET_READ GET_READ, "one", "two");
	send_text(fd, text);
	for (uint32_t i = 0; i < 2; i++) {
		worker_fd[i] = accept(worker_listener, NULL, NULL);
		CU_ASSERT(read_until(worker_fd[i], "\r\n\r\n", received[i],
				     2048));
	}
	first = strstr(received[0], "/read/one") ? 0 : 1;
	send_ok_answer(worker_fd[1 - first], "second");
	*other = worker_fd[1 - first];
	return worker_fd[first];
}

/* Guards against a planned stop that loses an answer because the worker never
 * answers the request before it on the connection. */
static void test_stop_delivers_answers_behind_a_hung_request(void)
{
	int32_t fd = connect_caller();
	char all[4096] = "";
	int32_t other;
	int32_t hung = pipeline_with_hung_first_request(fd, &other);

	while (attempts_in_flight(attempts) > 1)
		usleep(1000);
	attempts_end_all(attempts);
	CU_ASSERT(read_until(fd, "second", all, sizeof(all)));
	CU_ASSERT_PTR_NOT_NULL(strstr(all, "HTTP/1.1 504"));
	close(fd);
	close(hung);
	close(other);
}

/* Guards against a planned stop that closes the connection of a request that
 * may not be repeated without an answer, because its worker has not answered
 * yet; the worker may still run it. */
static void test_stop_answers_an_order_that_waits_at_its_worker(void)
{
	int32_t fd = connect_caller();
	char received[2048] = "";
	char all[4096] = "";
	int64_t deadline_us = clock_now_us() + 20 * US_PER_S;
	int32_t worker_fd;

	front_set_stopping(front);
	send_text(fd, "POST /order HTTP/1.1\r\nHost: a\r\n"
		      "Azurehold-Organisation: open\r\n"
		      "Azurehold-Deadline-Ms: 20000\r\n"
		      "Content-Length: 0\r\n\r\n");
	worker_fd = accept(worker_listener, NULL, NULL);
	CU_ASSERT(
		read_until(worker_fd, "\r\n\r\n", received, sizeof(received)));
	attempts_end_all(attempts);
	CU_ASSERT(read_until(fd, "HTTP/1.1 504", all, sizeof(all)));
	CU_ASSERT(clock_now_us() < deadline_us);
	CU_ASSERT(
		read_until(fd, "Azurehold-Outcome: unknown", all, sizeof(all)));
	close(fd);
	close(worker_fd);
}

/* Guards against a planned stop that reads a pipelined request and exits before
 * it answers. The request has to be left unread, so that the caller sends it
 * again to another daemon. */
static void test_stop_leaves_pipelined_request_unread(void)
{
	int32_t fd = connect_caller();
	char received[2048] = "";
	char all[4096] = "";
	char text[512];
	int32_t worker_fd;

	front_set_stopping(front);
	snprintf(text, sizeof(text), GET_READ GET_READ, "one", "two");
	send_text(fd, text);
	worker_fd = accept(worker_listener, NULL, NULL);
	CU_ASSERT(
		read_until(worker_fd, "\r\n\r\n", received, sizeof(received)));
	CU_ASSERT_PTR_NOT_NULL(strstr(received, "/read/one"));
	send_ok_answer(worker_fd, "first");
	CU_ASSERT(read_until(fd, "first", all, sizeof(all)));
	CU_ASSERT_PTR_NOT_NULL(strstr(all, "Connection: close"));
	if (strstr(all, "Connection: close"))
		CU_ASSERT(!read_until(fd, "second", all, sizeof(all)));
	close(fd);
	close(worker_fd);
}

static void start_parts(void)
{
	struct member_settings ms = { .self = { .ip = INADDR_LOOPBACK,
						.peer_port = 1,
						.dc = conf_place_id("a1"),
						.region = conf_place_id("a"),
						.name = "d1" } };
	struct home_settings hs = { .incarnation = 1, .retry_slack = 10 };
	struct attempt_settings as = { .incarnation = 1,
				       .dc = conf_place_id("a1"),
				       .region = conf_place_id("a") };
	struct front_settings fs = { .ip = INADDR_LOOPBACK,
				     .in_flight_max = 100,
				     .memory_bytes = 32U << 20 };
	struct conf_errors errors = { 0 };
	struct buf all = { 0 };
	struct conf *c;

	worker_listener = listen_on_any_port(&worker_port);
	buf_printf(&all,
		   "[data_centre a1]\nregion = a\n[service s]\n"
		   "[worker s/w1]\naddress = 127.0.0.1:%u\ndata_centre = a1\n"
		   "[route read]\npath = /read\nmethods = GET\nservice = s\n"
		   "idempotent = yes\nattempts = 1\n[organisation open]\n"
		   "[service orders]\nbare = yes\n"
		   "[worker orders/w1]\naddress = 127.0.0.1:%u\n"
		   "data_centre = a1\n"
		   "[route order]\npath = /order\nmethods = POST\n"
		   "service = orders\nidempotent = no\n"
		   "[limits]\nbody_bytes = 16777216\n",
		   worker_port, worker_port);
	buf_append(&all, "", 1);
	if (conf_parse("t", (char *)all.data, NULL, NULL, &c, &errors))
		abort();
	buf_free(&all);
	timers = timer_service_create(pool);
	current = conf_current_create(pool);
	conf_current_set(current, c);
	membership = membership_create(&ms, timers, pool);
	up = upstream_create(timers, pool);
	hs.conf = as.conf = fs.conf = current;
	hs.membership = as.membership = fs.membership = membership;
	as.home = home = home_create(&hs, timers);
	as.upstream = up;
	fs.attempts = attempts = attempts_create(&as, timers);
	close(listen_on_any_port(&front_port));
	fs.port = front_port;
	front = front_create(&fs, timers, pool);
	timer_service_start(timers);
	membership_start(membership);
	upstream_start(up);
	home_start(home);
	attempts_start(attempts);
	if (front_start(front) != AZ_OK)
		abort();
	front_set_ready(front);
}

static void stop_parts(void)
{
	front_stop(front);
	attempts_stop(attempts);
	upstream_stop(up);
	home_stop(home);
	membership_stop(membership);
	timer_service_stop(timers);
	front_destroy(front);
	attempts_destroy(attempts);
	upstream_destroy(up);
	home_destroy(home);
	membership_destroy(membership);
	apr_pool_destroy(pool);
}

int main(void)
{
	CU_pSuite s;
	struct conf_errors errors;

	apr_initialize();
	if (conf_parse("t", conf_text, NULL, NULL, &conf, &errors) != AZ_OK) {
		for (uint32_t i = 0; i < errors.count; i++)
			fprintf(stderr, "%d: %s\n", errors.list[i].line,
				errors.list[i].reason);
		return 1;
	}
	apr_pool_create(&pool, NULL);
	log_set_level(LOG_ERROR);
	start_parts();
	CU_initialize_registry();
	s = CU_add_suite("front", NULL, NULL);
	CU_add_test(s, "organisation and route are checked",
		    test_organisation_and_route_are_checked);
	CU_add_test(s, "non-idempotent needs a ticket",
		    test_nonidempotent_request_needs_a_ticket);
	CU_add_test(s, "rank can only be lowered",
		    test_rank_can_only_be_lowered);
	CU_add_test(s, "deadline is checked", test_deadline);
	CU_add_test(s, "refusal of a ticket proves nothing",
		    test_refusal_of_a_ticket_proves_nothing);
	CU_add_test(s, "limiter holds the rate", test_limiter_holds_the_rate);
	CU_add_test(s, "organisations have separate limits",
		    test_organisations_have_separate_limits);
	CU_add_test(s, "ambiguous head is refused",
		    test_ambiguous_bytes_are_refused);
	CU_add_test(s, "end of head across reads",
		    test_head_end_is_found_across_reads);
	CU_add_test(s, "bad request closes the connection",
		    test_bad_request_closes_the_connection);
	CU_add_test(s, "pipelined requests run concurrently",
		    test_pipelined_requests_run_concurrently);
	CU_add_test(s, "closed caller cancels at the worker",
		    test_closed_caller_cancels_at_the_worker);
	CU_add_test(s, "no configuration answers 503",
		    test_without_configuration_answers_503);
	CU_add_test(s, "stop with hung request",
		    test_stop_delivers_answers_behind_a_hung_request);
	CU_add_test(s, "long holders leave the short share",
		    test_long_holders_leave_the_short_share);
	CU_add_test(s, "slowest body yields first",
		    test_slowest_body_yields_first);
	CU_add_test(s, "slow reader yields before a reader",
		    test_slow_reader_yields_before_a_reader);
	CU_add_test(s, "idle connection holds little",
		    test_idle_connection_holds_little);
	CU_add_test(s, "answer follows a long one",
		    test_answer_follows_a_long_one);
	CU_add_test(s, "long chunk is refused at its announcement",
		    test_long_chunk_is_refused_at_its_announcement);
	/* The last tests, as the front stays in the state "stopping". */
	CU_add_test(s, "bodies are bounded",
		    test_bodies_are_bounded_until_answered);
	CU_add_test(s, "stop with hung order",
		    test_stop_answers_an_order_that_waits_at_its_worker);
	CU_add_test(s, "stop with pipelined request",
		    test_stop_leaves_pipelined_request_unread);
	CU_basic_run_tests();
	stop_parts();
	conf_release(conf);
	return CU_get_number_of_failures() != 0;
}
