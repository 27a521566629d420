#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "upstream/upstream.h"

/** A worker that answers each request with the next one of `answers`. It leaves
 * a connection open after an answer that contains "keep", otherwise closes it.
 */
struct scripted_worker {
	const char *const *answers; /* "" closes the connection instead */
	uint32_t count;
	int32_t listener;
	uint16_t port;
	uint32_t requests; /* read completely; atomic */
	uint32_t connections; /* accepted; atomic */
	bool hold_open; /* never closes a connection */
	const char *endless; /* sent after an answer until the caller closes */
	pthread_t thread;
};

/** Passes one result to the test's thread. */
struct collector {
	struct upstream_sink sink;
	pthread_mutex_t lock;
	pthread_cond_t arrived;
	struct upstream_result *result;
};

static apr_pool_t *pool;
static struct timer_service *timers;
static struct upstream *up;
static struct collector collector;
static struct request *post;
static struct request *get;

/* ---- scripted worker ---- */

/* Reads one request, with the body of `post` if it is a POST; false if the
 * connection ends. */
static bool read_request(int32_t fd)
{
	char data[4096];
	size_t used = 0;

	for (;;) {
		ssize_t n = read(fd, data + used, sizeof(data) - used - 1);
		char *end;

		if (n <= 0)
			return false;
		used += (size_t)n;
		data[used] = '\0';
		end = strstr(data, "\r\n\r\n");
		if (!end)
			continue;
		if (strncmp(data, "POST", 4) != 0 ||
		    strlen(end + 4) >= post->body.len_bytes)
			return true;
	}
}

/* A daemon that has read this much more than an answer may have will not end.
 */
#define ENDLESS_MAX_BYTES (16ULL * ANSWER_MAX_BYTES)

static void send_without_end(int32_t fd, const char *text)
{
	size_t bytes = strlen(text);

	for (uint64_t sent = 0; sent < ENDLESS_MAX_BYTES; sent += bytes)
		if (write(fd, text, bytes) < 0)
			return;
}

static void *script_main(void *arg)
{
	struct scripted_worker *s = arg;
	uint32_t next = 0;

	while (next < s->count) {
		int32_t fd = accept(s->listener, NULL, NULL);

		if (fd < 0)
			break;
		__atomic_add_fetch(&s->connections, 1, __ATOMIC_RELEASE);
		while (next < s->count && read_request(fd)) {
			const char *a = s->answers[next++];

			__atomic_add_fetch(&s->requests, 1, __ATOMIC_RELEASE);
			if ((!*a && !s->endless) || write(fd, a, strlen(a)) < 0)
				break;
			if (s->endless)
				send_without_end(fd, s->endless);
			if (!strstr(a, "keep"))
				break;
		}
		if (!s->hold_open)
			close(fd);
	}
	return NULL;
}

static void script_listen(struct scripted_worker *s)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);

	s->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(s->listener, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(s->listener, 8) ||
	    getsockname(s->listener, (struct sockaddr *)&sa, &len))
		abort();
	s->port = ntohs(sa.sin_port);
}

static void script_start(struct scripted_worker *s, const char *const *answers,
			 uint32_t count)
{
	memset(s, 0, sizeof(*s));
	s->answers = answers;
	s->count = count;
	script_listen(s);
	pthread_create(&s->thread, NULL, script_main, s);
}

static void script_stop(struct scripted_worker *s)
{
	shutdown(s->listener, SHUT_RDWR);
	pthread_join(s->thread, NULL);
	close(s->listener);
}

/* ---- sending one request and waiting for its result ---- */

static void on_done(struct upstream_sink *sink, struct upstream_result *r)
{
	struct collector *c = az_container_of(sink, struct collector, sink);

	pthread_mutex_lock(&c->lock);
	c->result = r;
	pthread_cond_signal(&c->arrived);
	pthread_mutex_unlock(&c->lock);
}

static const struct upstream_sink_ops sink_ops = { on_done };

static struct upstream_request make_request(const struct scripted_worker *s,
					    const struct request *q,
					    int64_t timeout_us)
{
	return (struct upstream_request){
		.token = 1,
		.ip = INADDR_LOOPBACK,
		.port = s->port,
		.connect_timeout_ms = 1000,
		.deadline_us = clock_now_us() + timeout_us,
		.idle_max = 4,
		.request = q,
		.sink = &collector.sink,
	};
}

static struct upstream_result *wait_result(void)
{
	struct upstream_result *r;

	pthread_mutex_lock(&collector.lock);
	while (!collector.result)
		pthread_cond_wait(&collector.arrived, &collector.lock);
	r = collector.result;
	collector.result = NULL;
	pthread_mutex_unlock(&collector.lock);
	return r;
}

static enum upstream_fault free_result(struct upstream_result *r)
{
	enum upstream_fault f = r->fault;

	answer_free(r->answer);
	free(r);
	return f;
}

static enum upstream_fault send_and_wait(const struct scripted_worker *s,
					 const struct request *q)
{
	struct upstream_request r = make_request(s, q, 30 * US_PER_S);

	upstream_send(up, &r);
	return free_result(wait_result());
}

#define OK_ANSWER "HTTP/1.1 200 OK\r\nX: keep\r\nContent-Length: 2\r\n\r\nok"

/* ---- tests ---- */

/* Guards against sending a POST again on a new connection after the worker has
 * read it and closed the reused connection: it would run twice. */
static void test_closed_reused_connection_is_not_retried(void)
{
	static const char *const answers[] = { OK_ANSWER, "", OK_ANSWER };
	struct scripted_worker s;

	script_start(&s, answers, 3);
	CU_ASSERT_EQUAL(send_and_wait(&s, post), UPSTREAM_OK);
	CU_ASSERT_EQUAL(send_and_wait(&s, post), UPSTREAM_CLOSED);
	CU_ASSERT_EQUAL(s.requests, 2);
	CU_ASSERT_EQUAL(s.connections, 1);
	CU_ASSERT(!upstream_fault_is_not_run(UPSTREAM_CLOSED));
	script_stop(&s);
}

#define LONG_BODY_BYTES (3U << 20)

/** Worker that reads one request slowly and notes its body. */
struct slow_reader {
	int32_t listener;
	uint64_t hash; /* of the body */
	uint32_t bytes;
};

static void *read_slowly(void *arg)
{
	struct slow_reader *s = arg;
	int32_t fd = accept(s->listener, NULL, NULL);
	uint32_t size = LONG_BODY_BYTES + 4096;
	char *all = malloc(size);
	uint32_t used = 0;
	char *body = NULL;

	while (all && (!body || all + used < body + LONG_BODY_BYTES)) {
		ssize_t n = read(fd, all + used, size - used - 1);

		if (n <= 0)
			break;
		used += (uint32_t)n;
		all[used] = '\0';
		if (!body && (body = strstr(all, "\r\n\r\n")))
			body += 4;
		usleep(100);
	}
	if (body) {
		s->bytes = (uint32_t)(all + used - body);
		s->hash = hash_bytes(body, s->bytes, 0);
	}
	CU_ASSERT(write(fd, OK_ANSWER, strlen(OK_ANSWER)) > 0);
	free(all);
	close(fd);
	return NULL;
}

/* Guards against a body that is cut, changed or held twice because it is longer
 * than what a socket takes at once. */
static void test_long_body_is_sent_whole(void)
{
	struct request *q = request_new("POST", "/upload", "ledger");
	struct scripted_worker s = { 0 };
	struct slow_reader reader = { 0 };
	pthread_t thread;

	for (uint32_t i = 0; i < LONG_BODY_BYTES; i++) {
		char byte = (char)('a' + i * 7 % 23);

		buf_append(&q->body, &byte, 1);
	}
	script_listen(&s);
	reader.listener = s.listener;
	pthread_create(&thread, NULL, read_slowly, &reader);
	CU_ASSERT_EQUAL(send_and_wait(&s, q), UPSTREAM_OK);
	pthread_join(thread, NULL);
	CU_ASSERT_EQUAL(reader.bytes, LONG_BODY_BYTES);
	CU_ASSERT_EQUAL(reader.hash,
			hash_bytes(q->body.data, LONG_BODY_BYTES, 0));
	close(s.listener);
	request_free(q);
}

/* Sends a request for each of the five answers, on connections of their own. */
static void expect_malformed(const char *const answers[5])
{
	struct scripted_worker s;

	script_start(&s, answers, 5);
	for (uint32_t i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(send_and_wait(&s, get), UPSTREAM_TRUNCATED);
	CU_ASSERT_EQUAL(s.connections, 5);
	script_stop(&s);
}

/* Guards against reporting part of an answer as a complete answer. */
static void test_truncated_answers_are_faults(void)
{
	static const char chunked[] =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nhalf\r\n";
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		chunked,
		"HTTP/1.1 200 OK\r\n\r\nno length at all",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"no HTTP at all",
	};

	expect_malformed(answers);
}

/* Guards against passing on an answer whose status is none: 000 came as an
 * answer to the caller (issue 35). */
static void test_impossible_status_is_a_fault(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nhalf",
		"HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\nhalf",
	};

	expect_malformed(answers);
}

/* Guards against taking surplus bytes after an answer for the answer to the
 * next request. */
static void test_surplus_bytes_close_the_connection(void)
{
	static const char *const answers[] = {
		OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncross",
		OK_ANSWER,
	};
	struct scripted_worker s;
	struct upstream_request r;
	struct upstream_result *result;

	script_start(&s, answers, 2);
	CU_ASSERT_EQUAL(send_and_wait(&s, get), UPSTREAM_OK);
	r = make_request(&s, get, 30 * US_PER_S);
	upstream_send(up, &r);
	result = wait_result();
	CU_ASSERT_EQUAL(result->fault, UPSTREAM_OK);
	if (result->answer)
		CU_ASSERT(!memcmp(result->answer->body.data, "ok", 2));
	free_result(result);
	CU_ASSERT_EQUAL(s.connections, 2);
	script_stop(&s);
}

/* Guards against a request that waits for ever, and against reusing its
 * connection, on which its late answer would be taken for that to the next
 * request. */
static void test_silent_worker_times_out(void)
{
	static const char *const answers[] = { "", OK_ANSWER };
	struct scripted_worker s;
	struct upstream_request r;

	script_start(&s, answers, 2);
	s.hold_open = true;
	r = make_request(&s, get, 50 * US_PER_MS);
	upstream_send(up, &r);
	CU_ASSERT_EQUAL(free_result(wait_result()), UPSTREAM_TIMEOUT);
	CU_ASSERT_EQUAL(send_and_wait(&s, get), UPSTREAM_OK);
	CU_ASSERT_EQUAL(s.connections, 2);
	script_stop(&s);
}

/* Sends a request and reads it as the worker; returns the connection. */
static int32_t send_and_accept(const struct scripted_worker *s)
{
	struct upstream_request r = make_request(s, get, 30 * US_PER_S);
	int32_t fd;

	upstream_send(up, &r);
	fd = accept(s->listener, NULL, NULL);
	CU_ASSERT(read_request(fd));
	return fd;
}

/* Guards against a time-out on each idle connection in turn after the network
 * path to a worker is lost: the first time-out has to close the endpoint's idle
 * connections. */
static void test_timeout_closes_idle_connections(void)
{
	const struct timeval read_timeout = { 5, 0 };
	struct scripted_worker s = { 0 };
	struct upstream_request r;
	int32_t fd[2];
	char byte;

	script_listen(&s);
	for (uint32_t i = 0; i < 2; i++)
		fd[i] = send_and_accept(&s);
	for (uint32_t i = 0; i < 2; i++) {
		CU_ASSERT(write(fd[i], OK_ANSWER, strlen(OK_ANSWER)) > 0);
		CU_ASSERT_EQUAL(free_result(wait_result()), UPSTREAM_OK);
	}
	r = make_request(&s, get, 50 * US_PER_MS);
	upstream_send(up, &r);
	CU_ASSERT_EQUAL(free_result(wait_result()), UPSTREAM_TIMEOUT);
	/* The most recently used connection is reused. */
	CU_ASSERT(read_request(fd[1]));
	setsockopt(fd[0], SOL_SOCKET, SO_RCVTIMEO, &read_timeout,
		   sizeof(read_timeout));
	CU_ASSERT_EQUAL(read(fd[0], &byte, 1), 0);
	close(fd[0]);
	close(fd[1]);
	close(s.listener);
}

/* Guards against reporting that a worker may have run the request although it
 * refused the connection. */
static void test_refused_connection_is_not_run(void)
{
	static const char *const answers[] = { OK_ANSWER };
	struct scripted_worker s;
	enum upstream_fault f;

	script_start(&s, answers, 0);
	script_stop(&s);
	f = send_and_wait(&s, post);
	CU_ASSERT_EQUAL(f, UPSTREAM_CONNECT_REFUSED);
	CU_ASSERT(upstream_fault_is_not_run(f));
}

/* Guards against forwarding a worker's headers that only the fleet may set, and
 * against taking an interim answer for the final one. */
static void test_answer_headers(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 100 Continue\r\n\r\n"
		"HTTP/1.1 201 Created\r\nAzurehold-Outcome: not-run\r\n"
		"Connection: keep-alive\r\nKept: yes\r\n"
		"Azurehold-Draining: yes\r\nContent-Length: 0\r\n\r\n",
	};
	struct scripted_worker s;
	struct upstream_request r;
	struct upstream_result *result;

	script_start(&s, answers, 1);
	r = make_request(&s, post, 30 * US_PER_S);
	upstream_send(up, &r);
	result = wait_result();
	CU_ASSERT_EQUAL(result->fault, UPSTREAM_OK);
	CU_ASSERT(result->header_info.worker_leaving);
	if (result->answer) {
		CU_ASSERT_EQUAL(result->answer->http_status, 201);
		CU_ASSERT_EQUAL(result->answer->headers.len_bytes,
				strlen("Kept: yes\r\n"));
	}
	free_result(result);
	script_stop(&s);
}

/* Guards against an answer whose size exhausts the memory. */
static void test_oversized_answer_is_a_fault(void)
{
	struct scripted_worker s;
	size_t bytes = ANSWER_MAX_BYTES + 4096;
	char *big = malloc(bytes + 128);
	const char *answers[1];
	int32_t n;

	if (!big)
		abort();
	n = sprintf(big, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
		    bytes);
	memset(big + n, 'x', bytes);
	big[(size_t)n + bytes] = '\0';
	answers[0] = big;
	script_start(&s, answers, 1);
	CU_ASSERT_EQUAL(send_and_wait(&s, get), UPSTREAM_TOO_LARGE);
	script_stop(&s);
	free(big);
}

/* ---- answers without end ---- */

/* Stands for a dialect whose answers carry the id of their request, and may end
 * with the connection. */
static void write_no_headers(const struct upstream_request *u, int64_t left_ms,
			     struct buf *out)
{
	(void)u;
	(void)left_ms;
	(void)out;
}

static bool read_id(const struct upstream_request *u, const char *name,
		    const char *value, struct worker_headers *h)
{
	if (!strcmp(name, "Id"))
		h->request_id = request_id_add(
			h->request_id,
			u->request->correlation &&
				!strcmp(value, u->request->correlation));
	return true;
}

static enum worker_verdict accept_answer(const struct upstream_request *u,
					 const struct answer *a,
					 const struct worker_headers *h)
{
	(void)u;
	(void)h;
	return a->http_status == 503 ? WORKER_DID_NOT_RUN : WORKER_ANSWERED;
}

static const struct worker_dialect_ops id_ops = {
	.name = "ids",
	.allows_close_delimited = true,
	.identifies_requests = true,
	.write_fleet_headers = write_no_headers,
	.read_header = read_id,
	.classify_answer = accept_answer,
};
static const struct worker_dialect id_dialect = { &id_ops };

/* Guards against an empty or short answer that callers take for a whole one,
 * because the worker has stopped and closed in the middle of the head. Its
 * dialect allows answers without a length, which end with the connection. */
static void test_head_broken_off_anywhere_is_a_fault(void)
{
	static const char *const whole[] = {
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: mine\r\nX-Y: z\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"2\r\nok\r\n0\r\n\r\n",
	};
	char part[128];

	upstream_set_dialect(up, &id_dialect);
	for (uint32_t i = 0; i < sizeof(whole) / sizeof(whole[0]); i++)
		for (size_t n = 1; n <= strlen(whole[i]); n++) {
			const char *const answers[] = { part };
			struct scripted_worker s;

			memcpy(part, whole[i], n);
			part[n] = '\0';
			script_start(&s, answers, 1);
			CU_ASSERT_EQUAL(send_and_wait(&s, post),
					n < strlen(whole[i]) ?
						UPSTREAM_TRUNCATED :
						UPSTREAM_OK);
			script_stop(&s);
		}
	upstream_set_dialect(up, &upstream_own_dialect);
}

#define BYTES_64 \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define CHUNK "100\r\n" BYTES_64 BYTES_64 BYTES_64 BYTES_64 "\r\n"

/* Guards against a worker in trouble whose bytes keep a connection busy until
 * the request's deadline, or exhaust the memory. */
static void test_answer_without_end_is_a_fault(void)
{
	static const struct {
		const char *start;
		const char *endless;
		enum upstream_fault fault;
	} cases[] = {
		{ "", "\r\n", UPSTREAM_TRUNCATED },
		{ "HTTP/1.1 200 ", BYTES_64, UPSTREAM_TRUNCATED },
		{ "HTTP/1.1 200 OK\r\n", "X-Y: " BYTES_64 "\r\n",
		  UPSTREAM_TRUNCATED },
		{ "HTTP/1.1 200 OK\r\nX: ", BYTES_64, UPSTREAM_TRUNCATED },
		{ "HTTP/1.1 200 OK\r\n\r\n", BYTES_64, UPSTREAM_TOO_LARGE },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		  BYTES_64, UPSTREAM_TOO_LARGE },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  CHUNK, UPSTREAM_TOO_LARGE },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		  BYTES_64, UPSTREAM_TRUNCATED },
		{ "", "HTTP/1.1 100 Continue\r\n\r\n", UPSTREAM_TOO_LARGE },
		{ "",
		  "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2"
		  "\r\n\r\nok",
		  UPSTREAM_TOO_LARGE },
	};

	upstream_set_dialect(up, &id_dialect);
	for (uint32_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct scripted_worker s = { .answers = &cases[i].start,
					     .count = 1,
					     .endless = cases[i].endless };

		script_listen(&s);
		pthread_create(&s.thread, NULL, script_main, &s);
		CU_ASSERT_EQUAL(send_and_wait(&s, get), cases[i].fault);
		script_stop(&s);
	}
	upstream_set_dialect(up, &upstream_own_dialect);
}

/* ---- refusals that are written once more ---- */

#define REFUSAL "HTTP/1.1 503 keep\r\nId: mine\r\nContent-Length: 0\r\n\r\n"

/* Guards against the caller of a request that runs being told that it did not:
 * without ids in the answers, an earlier refusal that the worker writes once
 * more on a kept connection is taken for the answer. */
static void test_connection_without_ids_is_not_kept_after_a_refusal(void)
{
	static const char *const answers[] = { REFUSAL, REFUSAL OK_ANSWER,
					       OK_ANSWER };
	struct scripted_worker s;

	script_start(&s, answers, 3);
	CU_ASSERT_EQUAL(send_and_wait(&s, post), UPSTREAM_OK);
	CU_ASSERT_EQUAL(send_and_wait(&s, get), UPSTREAM_OK);
	CU_ASSERT_EQUAL(s.connections, 2);
	script_stop(&s);
}

/* The same with ids, where the repeated refusal can only be taken for the
 * answer to a request with the same id that is sent on the same connection. */
static void test_refused_request_is_repeated_on_another_connection(void)
{
	static const char *const answers[] = {
		REFUSAL, REFUSAL "HTTP/1.1 200 keep\r\nId: second\r\n"
				 "Content-Length: 0\r\n\r\n"
	};
	struct scripted_worker s = { .answers = answers,
				     .count = 2,
				     .hold_open = true };
	struct upstream_request r;
	struct upstream_result *result;

	upstream_set_dialect(up, &id_dialect);
	post->correlation = az_strdup("mine");
	get->correlation = az_strdup("second");
	script_listen(&s);
	pthread_create(&s.thread, NULL, script_main, &s);
	CU_ASSERT_EQUAL(send_and_wait(&s, post), UPSTREAM_OK);
	/* Another request may use the connection: the repeated refusal is
	 * skipped. */
	r = make_request(&s, get, 30 * US_PER_S);
	upstream_send(up, &r);
	result = wait_result();
	CU_ASSERT(!result->fresh);
	CU_ASSERT_EQUAL_FATAL(result->fault, UPSTREAM_OK);
	CU_ASSERT_EQUAL(result->answer->http_status, 200);
	free_result(result);
	/* Nobody answers the second connection. */
	r = make_request(&s, post, 200 * US_PER_MS);
	upstream_send(up, &r);
	result = wait_result();
	CU_ASSERT(result->fresh);
	free_result(result);
	script_stop(&s);
	upstream_set_dialect(up, &upstream_own_dialect);
}

/* Guards against an order that runs twice, or is answered with a status that
 * its worker did not give: the first bytes of an earlier answer, left on a kept
 * connection, are read with the real answer as one (review/1). */
static void test_bytes_of_an_earlier_answer_are_not_part_of_the_next(void)
{
	static const char *const earlier[] = {
		"HTTP/1.1 503 Full\r\nId: old\r\nX: 1\r\nContent-Length: 0"
		"\r\n\r\n",
		"HTTP/1.1 503 Full\r\nX: 1\r\nContent-Length: 3\r\nId: old"
		"\r\n\r\nbad",
		"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\nId: old"
		"\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
	};
	static const char next[] = "HTTP/1.1 200 OK\r\nId: mine\r\n"
				   "Content-Length: 2\r\n\r\nok";
	char text[256];

	upstream_set_dialect(up, &id_dialect);
	free(post->correlation);
	post->correlation = az_strdup("mine");
	for (uint32_t i = 0; i < sizeof(earlier) / sizeof(earlier[0]); i++)
		for (size_t n = 0; n <= strlen(earlier[i]); n++) {
			const char *const answers[] = { text };
			struct scripted_worker s;
			struct upstream_request r;
			struct upstream_result *result;

			snprintf(text, sizeof(text), "%.*s%s", (int)n,
				 earlier[i], next);
			script_start(&s, answers, 1);
			r = make_request(&s, post, 30 * US_PER_S);
			upstream_send(up, &r);
			result = wait_result();
			if (!n || n == strlen(earlier[i]))
				CU_ASSERT_EQUAL(result->fault, UPSTREAM_OK);
			if (result->fault == UPSTREAM_OK) {
				CU_ASSERT_EQUAL(result->answer->http_status,
						200);
				CU_ASSERT_EQUAL(result->verdict,
						WORKER_ANSWERED);
			}
			free_result(result);
			script_stop(&s);
		}
	upstream_set_dialect(up, &upstream_own_dialect);
}

#define ENDLESS_WORKERS 24
#define SMALL_MEMORY_BYTES (64ULL << 20)

static uint32_t ended; /* atomic */

static void count_end(struct upstream_sink *sink, struct upstream_result *r)
{
	(void)sink;
	CU_ASSERT_EQUAL(free_result(r), UPSTREAM_TOO_LARGE);
	__atomic_add_fetch(&ended, 1, __ATOMIC_RELEASE);
}

/* Guards against many answers without end that exhaust the memory together. */
static void test_answers_without_end_are_bounded_together(void)
{
	static const struct upstream_sink_ops ops = { count_end };
	static const char *const start =
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
	struct upstream_sink sink = { &ops };
	struct scripted_worker s[ENDLESS_WORKERS];
	double before_bytes = slope_allocated_bytes();
	double most_bytes = 0;

	upstream_set_memory(up, SMALL_MEMORY_BYTES);
	for (uint32_t i = 0; i < ENDLESS_WORKERS; i++) {
		struct upstream_request r;

		memset(&s[i], 0, sizeof(s[i]));
		s[i].answers = &start;
		s[i].count = 1;
		s[i].endless = BYTES_64;
		script_listen(&s[i]);
		pthread_create(&s[i].thread, NULL, script_main, &s[i]);
		r = make_request(&s[i], get, 30 * US_PER_S);
		r.sink = &sink;
		upstream_send(up, &r);
	}
	while (__atomic_load_n(&ended, __ATOMIC_ACQUIRE) < ENDLESS_WORKERS) {
		double bytes = slope_allocated_bytes() - before_bytes;

		if (bytes > most_bytes)
			most_bytes = bytes;
		usleep(1000);
	}
	/* The limit is an eighth of the memory; without it they would hold 96
	 * MB. The answer that exceeds it may have doubled its buffer. */
	CU_ASSERT(most_bytes < (SMALL_MEMORY_BYTES >> 3) + ANSWER_MAX_BYTES);
	upstream_set_memory(up, 256ULL << 20);
	for (uint32_t i = 0; i < ENDLESS_WORKERS; i++)
		script_stop(&s[i]);
}

int main(void)
{
	CU_pSuite s;
	int failed;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	apr_pool_create(&pool, NULL);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	up = upstream_create(timers, pool);
	upstream_start(up);
	collector.sink.ops = &sink_ops;
	pthread_mutex_init(&collector.lock, NULL);
	pthread_cond_init(&collector.arrived, NULL);
	post = request_new("POST", "/pay", "ledger");
	buf_append(&post->body, "12345", 5);
	get = request_new("GET", "/read", "ledger");
	CU_initialize_registry();
	s = CU_add_suite("upstream", NULL, NULL);
	CU_add_test(s, "closed reused connection is not retried",
		    test_closed_reused_connection_is_not_retried);
	CU_add_test(s, "long body is sent whole", test_long_body_is_sent_whole);
	CU_add_test(s, "truncated answers are faults",
		    test_truncated_answers_are_faults);
	CU_add_test(s, "impossible status is a fault",
		    test_impossible_status_is_a_fault);
	CU_add_test(s, "surplus bytes close the connection",
		    test_surplus_bytes_close_the_connection);
	CU_add_test(s, "silent worker times out", test_silent_worker_times_out);
	CU_add_test(s, "time-out closes idle connections",
		    test_timeout_closes_idle_connections);
	CU_add_test(s, "refused connection is not run",
		    test_refused_connection_is_not_run);
	CU_add_test(s, "answer headers", test_answer_headers);
	CU_add_test(s, "oversized answer is a fault",
		    test_oversized_answer_is_a_fault);
	CU_add_test(s, "connection without ids after a refusal",
		    test_connection_without_ids_is_not_kept_after_a_refusal);
	CU_add_test(s, "refused request again",
		    test_refused_request_is_repeated_on_another_connection);
	CU_add_test(s, "head broken off anywhere",
		    test_head_broken_off_anywhere_is_a_fault);
	CU_add_test(s, "bytes of an earlier answer",
		    test_bytes_of_an_earlier_answer_are_not_part_of_the_next);
	CU_add_test(s, "answer without end is a fault",
		    test_answer_without_end_is_a_fault);
	CU_add_test(s, "answers without end are bounded together",
		    test_answers_without_end_are_bounded_together);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures() != 0;
	upstream_stop(up);
	upstream_destroy(up);
	timer_service_stop(timers);
	request_free(post);
	request_free(get);
	return failed;
}
