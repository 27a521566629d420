#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "attempt/attempt.h"

/* ---- decisions ---- */

static struct attempt_input input(enum error_kind k, bool idempotent)
{
	return (struct attempt_input){ .kind = k,
				       .outcome = error_info(k)->outcome,
				       .http_status = 200,
				       .idempotent = idempotent,
				       .tries = 1,
				       .runs = 1,
				       .runs_max = 2,
				       .left_us = US_PER_S };
}

/* Guards against work that must not repeat and is sent again after any doubt.
 */
static void test_doubt_ends_work_that_must_not_repeat(void)
{
	for (uint32_t k = 1; k < ERR_KIND_COUNT; k++) {
		struct attempt_input in = input((enum error_kind)k, false);

		if (in.outcome != OUTCOME_NOT_RUN)
			CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_FINISH);
	}
}

/* Guards against reads that are lost with their first worker, and reads that
 * run on more workers than the route allows. */
static void test_reads_are_repeated_within_bounds(void)
{
	struct attempt_input in = input(ERR_ANSWER_LOST, true);

	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_RETRY);
	in.runs = 2;
	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_FINISH);
	in = input(ERR_NONE, true);
	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_FINISH);
	in.http_status = 500;
	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_RETRY);
	in.others_out = true;
	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_WAIT);
	in = input(ERR_ANSWER_LOST, true);
	in.left_us = 0;
	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_FINISH);
}

/* Guards against a certain refusal that is not tried elsewhere. */
static void test_not_run_is_tried_elsewhere(void)
{
	struct attempt_input in = input(ERR_WORKER_SHED, false);

	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_RETRY);
	in.tries = ATTEMPT_TRIES_MAX;
	CU_ASSERT_EQUAL(attempt_decide(&in), ATTEMPT_FINISH);
}

/* ---- with a home and workers ---- */

/** A worker that counts requests and answers each by its text; "" closes. */
struct stand_in {
	int32_t listener;
	uint16_t port;
	const char *answer;
	uint32_t requests; /**< atomic */
	int32_t fd; /**< atomic; of the connection that is served, or -1 */
	pthread_t thread;
};

static void *serve(void *arg)
{
	struct stand_in *w = arg;

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

/* At the port that it had before, if any. */
static void start(struct stand_in *w, const char *answer)
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
	pthread_create(&w->thread, NULL, serve, w);
}

static void end(struct stand_in *w)
{
	int32_t fd = __atomic_load_n(&w->fd, __ATOMIC_ACQUIRE);

	shutdown(w->listener, SHUT_RDWR);
	/* An idle connection is kept by the other end. */
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

static void set_workers(const struct stand_in *w, uint32_t count)
{
	struct conf_errors errors = { 0 };
	struct buf text = { 0 };
	struct conf *c;

	buf_printf(&text, "[data_centre a1]\nregion = a\n"
			  "[service s]\nbare = yes\nretry_percent = 100\n"
			  "shed_is_not_run = yes\n");
	for (uint32_t i = 0; i < count; i++)
		buf_printf(&text,
			   "[worker s/w%u]\naddress = 127.0.0.1:%u\n"
			   "data_centre = a1\n",
			   i, w[i].port);
	buf_append(&text, "", 1);
	CU_ASSERT_EQUAL_FATAL(
		conf_parse("t", (char *)text.data, NULL, NULL, &c, &errors),
		AZ_OK);
	conf_current_set(current, c);
	buf_free(&text);
}

struct waiting {
	struct reply_to reply;
	pthread_mutex_t lock;
	pthread_cond_t arrived;
	struct answer *answer;
};

static void on_answer(struct reply_to *to, struct answer *a)
{
	struct waiting *w = az_container_of(to, struct waiting, reply);

	pthread_mutex_lock(&w->lock);
	w->answer = a;
	pthread_cond_signal(&w->arrived);
	pthread_mutex_unlock(&w->lock);
}

static const struct reply_ops waiting_ops = { on_answer };

static struct answer *ask(bool idempotent)
{
	struct waiting w = { .reply = { &waiting_ops } };
	struct request *q = request_new(idempotent ? "GET" : "POST", "/x", "s");

	pthread_mutex_init(&w.lock, NULL);
	pthread_cond_init(&w.arrived, NULL);
	q->idempotent = idempotent;
	q->rank = RANK_NORMAL;
	q->deadline_us = clock_now_us() + 30 * US_PER_S;
	attempt_submit(attempts, q, &w.reply);
	pthread_mutex_lock(&w.lock);
	while (!w.answer)
		pthread_cond_wait(&w.arrived, &w.lock);
	pthread_mutex_unlock(&w.lock);
	return w.answer;
}

static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/* Guards against a payment that is sent to a second worker because the first
 * one closed the connection. */
static void test_payment_is_sent_once(void)
{
	struct stand_in w[2] = { { 0 } };
	struct answer *a;

	start(&w[0], "");
	start(&w[1], "");
	set_workers(w, 2);
	a = ask(false);
	CU_ASSERT_EQUAL(a->kind, ERR_ANSWER_LOST);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(w[0].requests + w[1].requests, 1);
	answer_free(a);
	end(&w[0]);
	end(&w[1]);
}

/* Guards against a read that is given up while another worker has room. */
static void test_read_finds_the_sound_worker(void)
{
	struct stand_in w[2] = { { 0 } };

	start(&w[0], "");
	start(&w[1], ok);
	set_workers(w, 2);
	for (uint32_t i = 0; i < 4; i++) {
		struct answer *a = ask(true);

		CU_ASSERT_EQUAL(a->kind, ERR_NONE);
		CU_ASSERT_EQUAL(a->http_status, 200);
		answer_free(a);
	}
	CU_ASSERT(w[1].requests >= 4);
	end(&w[0]);
	end(&w[1]);
}

/* Guards against work that is refused for seconds after the only worker of its
 * service was started again. */
static void test_restarted_worker_is_used_at_once(void)
{
	struct stand_in w = { 0 };
	struct answer *a;

	start(&w, ok);
	set_workers(&w, 1);
	end(&w);
	a = ask(false);
	CU_ASSERT_NOT_EQUAL(a->kind, ERR_NONE);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_NOT_RUN);
	answer_free(a);
	start(&w, ok);
	a = ask(false);
	CU_ASSERT_EQUAL(a->kind, ERR_NONE);
	answer_free(a);
	end(&w);
}

/* Guards against a 'not run' by the last copy of a read, while an earlier one
 * was read by its worker and may have run. */
static void test_refusal_is_true_of_all_copies(void)
{
	struct stand_in w[2] = { { 0 } };

	start(&w[0], "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
	start(&w[1], "");
	/* The one that sheds has a record, so that the other is tried first. */
	set_workers(w, 1);
	for (uint32_t i = 0; i < 3; i++)
		answer_free(ask(true));
	set_workers(w, 2);
	for (uint32_t i = 0; i < 4; i++) {
		uint32_t before = w[1].requests;
		struct answer *a = ask(true);

		CU_ASSERT_NOT_EQUAL(a->kind, ERR_NONE);
		CU_ASSERT(w[1].requests == before ||
			  a->outcome == OUTCOME_UNKNOWN);
		answer_free(a);
	}
	CU_ASSERT(w[1].requests > 0);
	end(&w[0]);
	end(&w[1]);
}

/* Guards against work that waits for a service which has nobody. */
static void test_no_worker_is_refused_at_once(void)
{
	struct answer *a;

	set_workers(NULL, 0);
	a = ask(false);
	CU_ASSERT_EQUAL(a->kind, ERR_NO_WORKER);
	CU_ASSERT_EQUAL(a->outcome, OUTCOME_NOT_RUN);
	CU_ASSERT(a->retry_after_us > 0);
	answer_free(a);
}

static void start_parts(void)
{
	struct member_settings ms = { .self = { .ip = INADDR_LOOPBACK,
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
	CU_add_test(s, "doubt", test_doubt_ends_work_that_must_not_repeat);
	CU_add_test(s, "reads", test_reads_are_repeated_within_bounds);
	CU_add_test(s, "elsewhere", test_not_run_is_tried_elsewhere);
	CU_add_test(s, "once", test_payment_is_sent_once);
	CU_add_test(s, "sound", test_read_finds_the_sound_worker);
	CU_add_test(s, "restarted", test_restarted_worker_is_used_at_once);
	CU_add_test(s, "all copies", test_refusal_is_true_of_all_copies);
	CU_add_test(s, "nobody", test_no_worker_is_refused_at_once);
	CU_basic_run_tests();
	stop_parts();
	return CU_get_number_of_failures() != 0;
}
