#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "attempt/attempt.h"

/* ---- tests of attempt_decide() ---- */

static struct attempt_decision_input input(enum error_kind k, bool idempotent)
{
	return (struct attempt_decision_input){ .kind = k,
						.outcome =
							error_info(k)->outcome,
						.http_status = 200,
						.idempotent = idempotent,
						.grants = 1,
						.possible_runs = 1,
						.possible_runs_max = 2,
						.left_us = US_PER_S };
}

/* Guards against retrying a non-idempotent request after a failure that leaves
 * open whether a worker ran it. */
static void test_unknown_outcome_is_not_retried(void)
{
	for (uint32_t k = 1; k < ERR_KIND_COUNT; k++) {
		struct attempt_decision_input in =
			input((enum error_kind)k, false);

		if (in.outcome != OUTCOME_NOT_RUN)
			CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_FINISH);
	}
}

/* Guards against an idempotent request that fails with its first worker instead
 * of being retried, and against one that runs on more workers than allowed. */
static void test_idempotent_retries_are_bounded(void)
{
	struct attempt_decision_input in = input(ERR_ANSWER_LOST, true);

	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_RETRY);
	in.possible_runs = 2;
	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_FINISH);
	in = input(ERR_NONE, true);
	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_FINISH);
	in.http_status = 500;
	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_RETRY);
	in.others_in_flight = true;
	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_WAIT);
	in = input(ERR_ANSWER_LOST, true);
	in.left_us = 0;
	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_FINISH);
}

/* Guards against a request that fails although it provably did not run and
 * could be retried, and against endless retries of it. */
static void test_not_run_is_retried(void)
{
	struct attempt_decision_input in = input(ERR_WORKER_SHED, false);

	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_RETRY);
	in.grants = ATTEMPT_GRANTS_MAX;
	CU_ASSERT_EQUAL(attempt_decide(&in), DECIDE_FINISH);
}

/* ---- tests with a home and workers ---- */

/** A worker that counts requests and answers each with `answer`, or closes the
 * connection if `answer` is empty. */
struct test_worker {
	int32_t listener;
	uint16_t port;
	const char *answer;
	uint32_t requests; /**< atomic */
	int32_t fd; /**< atomic; the open connection, or -1 */
	pthread_t thread;
};

static void *worker_main(void *arg)
{
	struct test_worker *w = arg;

	for (;;) {
		int32_t fd = accept(w->listener, NULL, NULL);
		char data[4096];
		size_t used = 0;

		if (fd < 0)
			return NULL;
		__atomic_store_n(&w->fd, fd, __ATOMIC_RELEASE);
		for (;;) {
			ssize_t n =
				read(fd, data + used, sizeof(data) - used - 1);

			if (n <= 0)
				break;
			used += (size_t)n;
			data[used] = '\0';
			if (!strstr(data, "\r\n\r\n"))
				continue;
			__atomic_add_fetch(&w->requests, 1, __ATOMIC_RELEASE);
			used = 0;
			if (!*w->answer ||
			    write(fd, w->answer, strlen(w->answer)) < 0)
				break;
		}
		__atomic_store_n(&w->fd, -1, __ATOMIC_RELEASE);
		close(fd);
	}
}

/* Listens on the port of the previous start, if there was one. */
static void start_worker(struct test_worker *w, const char *answer)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(w->port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sa);
	int on = 1;

	w->answer = answer;
	w->fd = -1;
	w->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(w->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	CU_ASSERT_FATAL(!bind(w->listener, (struct sockaddr *)&sa, len));
	CU_ASSERT_FATAL(!listen(w->listener, 16));
	getsockname(w->listener, (struct sockaddr *)&sa, &len);
	w->port = ntohs(sa.sin_port);
	pthread_create(&w->thread, NULL, worker_main, w);
}

static void stop_worker(struct test_worker *w)
{
	int32_t fd = __atomic_load_n(&w->fd, __ATOMIC_ACQUIRE);

	shutdown(w->listener, SHUT_RDWR);
	/* Otherwise worker_main() would wait for input on a connection that the
	 * upstream keeps idle. */
	if (fd >= 0)
		shutdown(fd, SHUT_RDWR);
	pthread_join(w->thread, NULL);
	close(w->listener);
}

static apr_pool_t *pool;
static struct timer_service *timers;
static struct conf_current *current;
static struct membership *membership;
static struct upstream *up;
static struct home *home;
static struct attempts *attempts;

/* Each worker of the service is named by this letter and its number. What a
 * worker has said is bound to its name. */
static char worker_letter = 'w';
/* A service that no test has used is one without known latencies. */
static const char *service = "s";

static void set_workers(const struct test_worker *w, uint32_t count)
{
	struct conf_errors errors = { 0 };
	struct buf text = { 0 };
	struct conf *c;

	buf_printf(&text,
		   "[data_centre a1]\nregion = a\n"
		   "[service %s]\nbare = yes\nretry_percent = 100\n"
		   "shed_is_not_run = yes\n",
		   service);
	for (uint32_t i = 0; i < count; i++)
		buf_printf(&text,
			   "[worker %s/%c%u]\naddress = 127.0.0.1:%u\n"
			   "data_centre = a1\n",
			   service, worker_letter, i, w[i].port);
	buf_append(&text, "", 1);
	CU_ASSERT_EQUAL_FATAL(
		conf_parse("t", (char *)text.data, NULL, NULL, &c, &errors),
		AZ_OK);
	conf_current_set(current, c);
	buf_free(&text);
}

struct reply_waiter {
	struct reply_to reply;
	pthread_mutex_t lock;
	pthread_cond_t arrived;
	struct answer *answer;
};

static void on_answer(struct reply_to *to, struct answer *a)
{
	struct reply_waiter *w =
		az_container_of(to, struct reply_waiter, reply);

	pthread_mutex_lock(&w->lock);
	w->answer = a;
	pthread_cond_signal(&w->arrived);
	pthread_mutex_unlock(&w->lock);
}

static const struct reply_ops reply_waiter_ops = { on_answer };

static void submit(struct reply_waiter *w, bool idempotent, int64_t timeout_us)
{
	struct request *q =
		request_new(idempotent ? "GET" : "POST", "/x", service);

	w->reply.ops = &reply_waiter_ops;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->arrived, NULL);
	q->idempotent = idempotent;
	q->rank = RANK_NORMAL;
	q->deadline_us = clock_now_us() + timeout_us;
	attempts_submit(attempts, q, &w->reply);
}

static struct answer *wait_for_answer(struct reply_waiter *w)
{
	pthread_mutex_lock(&w->lock);
	while (!w->answer)
		pthread_cond_wait(&w->arrived, &w->lock);
	pthread_mutex_unlock(&w->lock);
	return w->answer;
}

static struct answer *submit_and_wait(bool idempotent)
{
	struct reply_waiter w = { 0 };

	submit(&w, idempotent, 30 * US_PER_S);
	return wait_for_answer(&w);
}

static enum error_kind submit_kind(void)
{
	struct answer *a = submit_and_wait(false);
	enum error_kind k = a->kind;

	answer_free(a);
	return k;
}

static const char ok_answer[] =
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/* Guards against sending a non-idempotent request to a second worker because
 * the first one closed the connection. */
static void test_nonidempotent_request_is_sent_once(void)
{
	struct test_worker w[2] = { { 0 } };
	struct answer *a;

	start_worker(&w[0], "");
	start_worker(&w[1], "");
	set_workers(w, 2);
	a = submit_and_wait(false);
	CU_ASSERT_EQUAL(a->kind, ERR_ANSWER_LOST);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(w[0].requests + w[1].requests, 1);
	answer_free(a);
	stop_worker(&w[0]);
	stop_worker(&w[1]);
}

/* Guards against an idempotent request that fails with one worker while another
 * one is healthy. */
static void test_idempotent_request_reaches_healthy_worker(void)
{
	struct test_worker w[2] = { { 0 } };

	start_worker(&w[0], "");
	start_worker(&w[1], ok_answer);
	set_workers(w, 2);
	for (uint32_t i = 0; i < 4; i++) {
		struct answer *a = submit_and_wait(true);

		CU_ASSERT_EQUAL(a->kind, ERR_NONE);
		CU_ASSERT_EQUAL(a->http_status, 200);
		answer_free(a);
	}
	CU_ASSERT(w[1].requests >= 4);
	stop_worker(&w[0]);
	stop_worker(&w[1]);
}

/* Guards against refusing requests for seconds after the only worker of a
 * service has restarted, because it is still excluded as unreachable. */
static void test_restarted_worker_is_used(void)
{
	struct test_worker w = { 0 };
	struct answer *a;

	start_worker(&w, ok_answer);
	set_workers(&w, 1);
	stop_worker(&w);
	a = submit_and_wait(false);
	CU_ASSERT_NOT_EQUAL(a->kind, ERR_NONE);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_NOT_RUN);
	answer_free(a);
	start_worker(&w, ok_answer);
	a = submit_and_wait(false);
	CU_ASSERT_EQUAL(a->kind, ERR_NONE);
	answer_free(a);
	stop_worker(&w);
}

/* Guards against answering "not run" because the worker of the last attempt
 * refused the request, although the worker of an earlier attempt has read it
 * and may have run it. */
static void test_not_run_covers_all_attempts(void)
{
	struct test_worker w[2] = { { 0 } };

	start_worker(&w[0], "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
	start_worker(&w[1], "");
	/* The refusals (503) of w[0] make the home choose w[1] first in the
	 * second part. */
	set_workers(w, 1);
	for (uint32_t i = 0; i < 3; i++)
		answer_free(submit_and_wait(true));
	set_workers(w, 2);
	for (uint32_t i = 0; i < 4; i++) {
		uint32_t before = w[1].requests;
		struct answer *a = submit_and_wait(true);

		CU_ASSERT_NOT_EQUAL(a->kind, ERR_NONE);
		CU_ASSERT(w[1].requests == before ||
			  a->outcome == OUTCOME_UNKNOWN);
		answer_free(a);
	}
	CU_ASSERT(w[1].requests > 0);
	stop_worker(&w[0]);
	stop_worker(&w[1]);
}

/* Guards against a request that waits for a service without workers instead of
 * being refused at once. */
static void test_service_without_workers_is_refused(void)
{
	struct answer *a;

	set_workers(NULL, 0);
	a = submit_and_wait(false);
	CU_ASSERT_EQUAL(a->kind, ERR_NO_WORKER);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_NOT_RUN);
	CU_ASSERT(a->retry_after_us > 0);
	answer_free(a);
}

static const char limited_answer[] =
	"HTTP/1.1 200 OK\r\nAzurehold-Limit: 0.5\r\nContent-Length: 2\r\n\r\n"
	"ok";

/* Guards against a worker that gets more requests than the limit which it has
 * named: here 0.5 a second, while ten requests are sent one after the other. */
static void test_limit_that_a_worker_names_is_kept(void)
{
	struct test_worker w[2] = { { 0 } };

	start_worker(&w[0], limited_answer);
	start_worker(&w[1], ok_answer);
	set_workers(w, 1);
	answer_free(submit_and_wait(true));
	CU_ASSERT_EQUAL(w[0].requests, 1);
	set_workers(w, 2);
	for (uint32_t i = 0; i < 10; i++) {
		struct answer *a = submit_and_wait(true);

		CU_ASSERT_EQUAL(a->kind, ERR_NONE);
		answer_free(a);
	}
	CU_ASSERT_EQUAL(w[0].requests, 1);
	CU_ASSERT_EQUAL(w[1].requests, 10);
	stop_worker(&w[0]);
	stop_worker(&w[1]);
}

/* Guards against a home that is new and grants a worker to a daemon to which
 * that worker has named a limit, which the home does not know. */
static void test_new_home_is_told_of_a_limit(void)
{
	struct test_worker w[2] = { { 0 } };
	struct conf *c;
	uint64_t id = 0;

	start_worker(&w[0], limited_answer);
	start_worker(&w[1], ok_answer);
	set_workers(w, 2);
	c = conf_current_get(current);
	for (uint32_t i = 0; i < 2; i++)
		if (conf_find_service(c, "s")->workers[i].port == w[0].port)
			id = conf_find_service(c, "s")->workers[i].id;
	conf_release(c);
	attempts_note_limit(attempts, hash_string("s"), id, 500);
	for (uint32_t i = 0; i < 10; i++)
		answer_free(submit_and_wait(true));
	CU_ASSERT_EQUAL(w[0].requests, 0);
	CU_ASSERT_EQUAL(w[1].requests, 10);
	stop_worker(&w[0]);
	stop_worker(&w[1]);
}

/* Makes the home forget the workers that are configured: others take their
 * entries. */
static void replace_home_entries(void)
{
	struct test_worker other[2] = { { .port = 1 }, { .port = 2 } };

	char before = worker_letter;

	worker_letter = 'x';
	set_workers(other, 2);
	answer_free(submit_and_wait(true));
	worker_letter = before;
}

static const char leaving_answer[] =
	"HTTP/1.1 200 OK\r\nAzurehold-Draining: yes\r\n"
	"Content-Length: 2\r\n\r\nok";

static void expect_only_second(struct test_worker w[2])
{
	uint32_t before = w[0].requests;

	set_workers(w, 2);
	for (uint32_t i = 0; i < 10; i++) {
		struct answer *a = submit_and_wait(i % 2);

		CU_ASSERT_EQUAL(a->kind, ERR_NONE);
		answer_free(a);
	}
	CU_ASSERT_EQUAL(w[0].requests, before);
}

/* Guards against requests to a worker that has said in an answer that it
 * leaves, while the source goes on to list it; also with a home that has not
 * heard it, and with one that knows no other worker. */
static void test_worker_that_says_it_leaves_gets_no_more(void)
{
	struct test_worker w[2] = { { 0 } };
	struct answer *a;

	worker_letter = 'l';
	start_worker(&w[0], leaving_answer);
	start_worker(&w[1], ok_answer);
	set_workers(w, 1);
	answer_free(submit_and_wait(true));
	CU_ASSERT_EQUAL(w[0].requests, 1);
	expect_only_second(w);
	replace_home_entries();
	expect_only_second(w);
	set_workers(w, 1);
	a = submit_and_wait(true);
	CU_ASSERT_EQUAL(a->kind, ERR_NO_WORKER);
	answer_free(a);
	CU_ASSERT_EQUAL(w[0].requests, 1);
	stop_worker(&w[0]);
	stop_worker(&w[1]);
}

#define PAUSE_S 40

static const char paused_answer[] =
	"HTTP/1.1 503 Full\r\nRetry-After: 40.0\r\nContent-Length: 0\r\n\r\n";

/* Guards against requests to a worker that has asked for none for a time, and
 * against callers that wait for it, or are told to come back too early, when no
 * other worker is left. The deadline is 30 s, the pause is longer. */
static void test_worker_that_asks_for_a_pause_gets_it(void)
{
	struct test_worker w[2] = { { 0 } };
	struct answer *a;

	worker_letter = 'p';
	start_worker(&w[0], paused_answer);
	start_worker(&w[1], ok_answer);
	set_workers(w, 1);
	a = submit_and_wait(false);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_NOT_RUN);
	answer_free(a);
	CU_ASSERT_EQUAL(w[0].requests, 1);
	expect_only_second(w);
	replace_home_entries();
	expect_only_second(w);
	set_workers(w, 1);
	a = submit_and_wait(false);
	CU_ASSERT_EQUAL(a->kind, ERR_OVERLOADED);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_NOT_RUN);
	CU_ASSERT(a->retry_after_us > (PAUSE_S - 30) * US_PER_S);
	answer_free(a);
	CU_ASSERT_EQUAL(w[0].requests, 1);
	stop_worker(&w[0]);
	stop_worker(&w[1]);
}

static const char short_pause_answer[] =
	"HTTP/1.1 503 Full\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n";

/* A test worker serves one connection after the other. */
static const char closing_answer[] =
	"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
	"ok";

#define CALLERS 8

/* Guards against callers that are refused although the only worker's pause ends
 * soon, because the wait behind it is estimated without that worker's slots
 * (soak seed 31120). Of eight requests of 2 s each waits for the pause of 0.4
 * s; one after the other at the cell's first estimate of 0.5 s only three would
 * fit. */
static void test_callers_wait_for_the_end_of_a_short_pause(void)
{
	struct test_worker w = { 0 };
	struct reply_waiter waiters[CALLERS];

	service = "t";
	start_worker(&w, short_pause_answer);
	set_workers(&w, 1);
	answer_free(submit_and_wait(false));
	w.answer = closing_answer;
	memset(waiters, 0, sizeof(waiters));
	for (uint32_t i = 0; i < CALLERS; i++)
		submit(&waiters[i], false, 2 * US_PER_S);
	for (uint32_t i = 0; i < CALLERS; i++) {
		struct answer *a = wait_for_answer(&waiters[i]);

		CU_ASSERT_EQUAL(a->kind, ERR_NONE);
		answer_free(a);
	}
	stop_worker(&w);
	service = "s";
}

/* Guards against a worker that is left out, or a caller that gets an error,
 * because of a Retry-After that is no time. */
static void test_odd_retry_after_is_ignored(void)
{
	static const char *const odd[] = {
		"HTTP/1.1 503 x\r\nRetry-After: -3\r\nContent-Length: 0"
		"\r\n\r\n",
		"HTTP/1.1 503 x\r\nRetry-After: soon\r\nContent-Length: 0"
		"\r\n\r\n",
		"HTTP/1.1 503 x\r\nRetry-After: Sat, 05 Dec 2026 16:00:00 GMT"
		"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRetry-After: 40\r\nContent-Length: 2"
		"\r\n\r\nok",
	};

	for (uint32_t i = 0; i < 4; i++) {
		struct test_worker w = { 0 };

		worker_letter = (char)('1' + i);
		start_worker(&w, odd[i]);
		set_workers(&w, 1);
		answer_free(submit_and_wait(false));
		stop_worker(&w);
		start_worker(&w, ok_answer);
		CU_ASSERT_EQUAL(submit_kind(), ERR_NONE);
		stop_worker(&w);
	}
}

static void start_parts(void)
{
	struct member_settings ms = { .self = { .ip = INADDR_LOOPBACK,
						.incarnation = 1,
						.peer_port = 1,
						.dc = conf_place_id("a1"),
						.region = conf_place_id("a"),
						.name = "d1" } };
	struct home_settings hs = { .ip = INADDR_LOOPBACK,
				    .incarnation = 1,
				    .retry_slack = 10 };
	struct attempt_settings as = { .incarnation = 1,
				       .dc = conf_place_id("a1"),
				       .region = conf_place_id("a") };

	timers = timer_service_create(pool);
	current = conf_current_create(pool);
	membership = membership_create(&ms, timers, pool);
	up = upstream_create(timers, pool);
	hs.conf = as.conf = current;
	hs.membership = as.membership = membership;
	home = home_create(&hs, timers);
	as.home = home;
	as.upstream = up;
	attempts = attempts_create(&as, timers);
	timer_service_start(timers);
	membership_start(membership);
	upstream_start(up);
	home_start(home);
	attempts_start(attempts);
}

static void stop_parts(void)
{
	attempts_stop(attempts);
	upstream_stop(up);
	home_stop(home);
	membership_stop(membership);
	timer_service_stop(timers);
	attempts_destroy(attempts);
	upstream_destroy(up);
	home_destroy(home);
	membership_destroy(membership);
	apr_pool_destroy(pool);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	log_set_level(LOG_ERROR);
	start_parts();
	CU_initialize_registry();
	s = CU_add_suite("attempt", NULL, NULL);
	CU_add_test(s, "unknown outcome not retried",
		    test_unknown_outcome_is_not_retried);
	CU_add_test(s, "idempotent retries bounded",
		    test_idempotent_retries_are_bounded);
	CU_add_test(s, "not run is retried", test_not_run_is_retried);
	CU_add_test(s, "non-idempotent sent once",
		    test_nonidempotent_request_is_sent_once);
	CU_add_test(s, "idempotent reaches healthy worker",
		    test_idempotent_request_reaches_healthy_worker);
	CU_add_test(s, "restarted worker is used",
		    test_restarted_worker_is_used);
	CU_add_test(s, "not run covers all attempts",
		    test_not_run_covers_all_attempts);
	CU_add_test(s, "service without workers refused",
		    test_service_without_workers_is_refused);
	CU_add_test(s, "limit", test_limit_that_a_worker_names_is_kept);
	CU_add_test(s, "limit and new home", test_new_home_is_told_of_a_limit);
	CU_add_test(s, "leaving", test_worker_that_says_it_leaves_gets_no_more);
	CU_add_test(s, "pause", test_worker_that_asks_for_a_pause_gets_it);
	CU_add_test(s, "short pause",
		    test_callers_wait_for_the_end_of_a_short_pause);
	CU_add_test(s, "odd pause", test_odd_retry_after_is_ignored);
	CU_basic_run_tests();
	stop_parts();
	return CU_get_number_of_failures() != 0;
}
