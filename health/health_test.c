#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>

#include "health/health.h"

/** Step of the simulated time. */
#define STEP_US (10 * US_PER_MS)
#define SENT_MAX 256

/** A request that is outstanding at a worker. */
struct request_sent {
	bool used;
	uint8_t worker;
	int64_t sent_us;
	int64_t end_us; /**< INT64_MAX: never answered */
	enum health_event event; /**< how it ends */
};

/** Simulation of a cell under the "evidence" policy: each worker gets 10
 * requests a second, with exponential service times of 20 ms on average. */
struct model {
	struct health_pool *pool;
	int64_t now_us;
	uint64_t random;
	double service_factor[HEALTH_WORKERS_MAX]; /**< on the service time; 0:
						      never answers */
	uint32_t error_percent[HEALTH_WORKERS_MAX]; /**< end in error_event */
	enum health_event error_event;
	bool gets_no_requests[HEALTH_WORKERS_MAX];
	enum health_event probe_event; /**< how all probes end */
	int64_t probe_latency_us; /**< of all probes */
	int64_t probe_end_us; /**< of the outstanding probe */
	int32_t probe_worker; /**< its worker; -1: no probe outstanding */
	uint32_t probes;
	uint32_t probes_on_new_connections;
	uint32_t connection_drops;
	uint32_t ejections[HEALTH_WORKERS_MAX];
	int64_t ejected_us[HEALTH_WORKERS_MAX]; /**< time of the last ejection
						 */
	bool was_ejected[HEALTH_WORKERS_MAX];
	struct request_sent sent[SENT_MAX];
};

/** Random number between 0 and 1, from the upper 53 bits. */
static double random_unit(struct model *m)
{
	m->random =
		m->random * UINT64_C(6364136223846793005) + 1442695040888963407;
	return ((double)(m->random >> 11) + 0.5) / 9007199254740992.0;
}

static void model_start(struct model *m, uint8_t workers)
{
	/* 6 slots, a cold start of 10 s, a probe interval of 1 s */
	struct health_settings s = { workers, 6, 10000, 1000 };

	memset(m, 0, sizeof(*m));
	m->random = 7;
	m->pool = health_create_evidence(&s, 0);
	m->probe_worker = -1;
	m->probe_latency_us = 25 * US_PER_MS;
	m->probe_event = HEALTH_ANSWERED;
	m->error_event = HEALTH_SERVER_ERROR;
	for (uint8_t i = 0; i < workers; i++)
		m->service_factor[i] = 1;
}

static void send_request(struct model *m, uint8_t worker)
{
	double us = -20000 * log(random_unit(m)) * m->service_factor[worker];
	bool failed = random_unit(m) * 100 < m->error_percent[worker];

	for (uint32_t i = 0; i < SENT_MAX; i++)
		if (!m->sent[i].used) {
			m->sent[i] = (struct request_sent){
				true, worker, m->now_us,
				m->service_factor[worker] > 0 ?
					m->now_us + (int64_t)us :
					INT64_MAX,
				failed ? m->error_event : HEALTH_ANSWERED
			};
			m->pool->ops->dispatch(m->pool, worker, m->now_us);
			return;
		}
}

static void end_request(struct model *m, struct request_sent *r,
			enum health_event e, bool fresh)
{
	struct health_sample s = { e, m->now_us - r->sent_us, fresh, false };

	r->used = false;
	m->pool->ops->record(m->pool, r->worker, &s, m->now_us);
}

/** Runs a tick of the policy, sends a probe if it is due, drops silent
 * connections and counts ejections. */
static void tick_pool(struct model *m)
{
	bool fresh = false;

	m->pool->ops->tick(m->pool, m->now_us);
	if (m->probe_worker < 0) {
		m->probe_worker =
			m->pool->ops->next_probe(m->pool, m->now_us, &fresh);
		m->probe_end_us = m->now_us + m->probe_latency_us;
		m->probes += m->probe_worker >= 0;
		m->probes_on_new_connections += m->probe_worker >= 0 && fresh;
	}
	for (uint8_t i = 0; i < m->pool->worker_count; i++) {
		bool ejected = m->pool->ops->verdict(m->pool, i).severity > 0;
		int64_t silent_us =
			m->pool->ops->take_connection_drop_age_us(m->pool, i);

		m->connection_drops += silent_us > 0;
		for (uint32_t j = 0; j < SENT_MAX && silent_us; j++)
			if (m->sent[j].used && m->sent[j].worker == i &&
			    m->now_us - m->sent[j].sent_us > silent_us)
				end_request(m, &m->sent[j], HEALTH_CANCELLED,
					    false);
		if (ejected && !m->was_ejected[i]) {
			m->ejections[i]++;
			m->ejected_us[i] = m->now_us;
		}
		m->was_ejected[i] = ejected;
	}
}

/** Runs the model; ejected workers get no requests. */
static void run(struct model *m, int64_t duration_us)
{
	int64_t until_us = m->now_us + duration_us;

	while (m->now_us < until_us) {
		m->now_us += STEP_US;
		for (uint32_t i = 0; i < SENT_MAX; i++)
			if (m->sent[i].used && m->now_us >= m->sent[i].end_us)
				end_request(m, &m->sent[i], m->sent[i].event,
					    false);
		if (m->probe_worker >= 0 && m->now_us >= m->probe_end_us) {
			struct health_sample s = { m->probe_event,
						   m->probe_latency_us, true,
						   true };
			uint8_t w = (uint8_t)m->probe_worker;

			m->probe_worker = -1;
			m->pool->ops->record(m->pool, w, &s, m->now_us);
		}
		for (uint8_t i = 0; i < m->pool->worker_count; i++)
			if (!m->gets_no_requests[i] && !m->was_ejected[i] &&
			    random_unit(m) < 0.1)
				send_request(m, i);
		if (m->now_us % (100 * US_PER_MS) == 0)
			tick_pool(m);
	}
}

static uint32_t total_ejections(const struct model *m)
{
	uint32_t n = 0;

	for (uint8_t i = 0; i < m->pool->worker_count; i++)
		n += m->ejections[i];
	return n;
}

static struct health_verdict verdict(const struct model *m, uint8_t worker)
{
	return m->pool->ops->verdict(m->pool, worker);
}

static void model_free(struct model *m)
{
	m->pool->ops->destroy(m->pool);
}

/* Guards against a worker that keeps its share of the requests although it has
 * become ten times slower. */
static void test_slow_worker_is_ejected(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.service_factor[2] = 10;
	run(&m, 4 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[2], 1);
	CU_ASSERT_EQUAL(total_ejections(&m), 1);
	model_free(&m);
}

/* Guards against ejecting a worker that has always been slower than its peers:
 * it must be compared with its own history. */
static void test_steadily_slow_worker_stays(void)
{
	struct model m;

	model_start(&m, 4);
	m.service_factor[0] = 5;
	run(&m, 300 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	CU_ASSERT_EQUAL(verdict(&m, 0).weight_percent, 100);
	model_free(&m);
}

/* Guards against ejecting workers when all of them become slow at once, as with
 * a fault of the network between the workers and the home. */
static void test_shared_slowdown_ejects_none(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	for (uint8_t i = 0; i < 4; i++)
		m.service_factor[i] = 8;
	run(&m, 30 * US_PER_S);
	for (uint8_t i = 0; i < 4; i++)
		m.service_factor[i] = 1;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	model_free(&m);
}

/* Guards against ejecting the first worker with enough evidence when all
 * workers are slow, but its peers get no requests that would show that they are
 * slow too. */
static void test_ejection_waits_for_peers(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	for (uint8_t i = 0; i < 4; i++) {
		m.gets_no_requests[i] = i > 0;
		m.service_factor[i] = 8;
	}
	run(&m, 5 * US_PER_S / 2);
	for (uint8_t i = 0; i < 4; i++)
		m.gets_no_requests[i] = false;
	run(&m, 20 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	model_free(&m);
}

/* Guards against ejecting a worker because its pooled connections have gone
 * silent: as probes on new connections pass, the connections must be dropped.
 */
static void test_silent_connections_are_dropped(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.service_factor[1] = 0;
	run(&m, 700 * US_PER_MS);
	m.service_factor[1] = 1; /* new connections are answered */
	run(&m, 20 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	CU_ASSERT(m.connection_drops > 0);
	CU_ASSERT(m.probes_on_new_connections > 0);
	model_free(&m);
}

/* Guards against only dropping the connections of a worker that answers on no
 * connection: once new connections fail too the worker must be ejected, and
 * marked as unreachable so that another daemon can confirm it. */
static void test_silent_worker_is_ejected(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.service_factor[1] = 0;
	m.probe_event = HEALTH_CONNECT_TIMEOUT;
	m.probe_latency_us = US_PER_S;
	run(&m, 4 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[1], 1);
	CU_ASSERT_EQUAL(total_ejections(&m), 1);
	CU_ASSERT_TRUE(verdict(&m, 1).unreachable);
	model_free(&m);
}

/* Guards against keeping a worker that answers probes but no requests. */
static void test_passed_probes_do_not_hide_silence(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.service_factor[1] = 0;
	run(&m, 10 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[1], 1);
	model_free(&m);
}

/* Guards against ejecting a worker for one very long request among normal ones.
 */
static void test_single_slow_request_ejects_none(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.service_factor[1] = 500;
	send_request(&m, 1);
	m.service_factor[1] = 1;
	run(&m, 60 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	model_free(&m);
}

/* Guards against ejecting a worker that sheds load: only its weight must fall.
 */
static void test_shed_load_lowers_weight_only(void)
{
	struct model m;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.error_event = HEALTH_SHED;
	m.error_percent[1] = 80;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	CU_ASSERT(verdict(&m, 1).weight_percent < 100);
	m.error_percent[1] = 0;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 1).weight_percent, 100);
	model_free(&m);
}

/* Guards against not ejecting a worker that truncates half of its answers, and
 * against ejecting workers that answer 1 % of their requests with errors. */
static void test_failure_shares(void)
{
	struct model m;

	model_start(&m, 4);
	for (uint8_t i = 0; i < 4; i++)
		m.error_percent[i] = 1;
	run(&m, 200 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	m.error_event = HEALTH_TRUNCATED;
	m.error_percent[3] = 50;
	run(&m, 5 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[3], 1);
	CU_ASSERT_EQUAL(total_ejections(&m), 1);
	model_free(&m);
}

/* Guards against full load on a worker that has just restarted, and against
 * ejecting it because it is slow at first. */
static void test_restarted_worker_is_cold(void)
{
	struct model m;
	struct request_sent r = { .worker = 1 };

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	r.sent_us = m.now_us;
	m.pool->ops->dispatch(m.pool, 1, m.now_us);
	end_request(&m, &r, HEALTH_CONNECT_REFUSED, true);
	m.pool->ops->dispatch(m.pool, 1, m.now_us);
	end_request(&m, &r, HEALTH_ANSWERED, true);
	m.service_factor[1] = 10;
	run(&m, 2 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 1).state, HEALTH_COLD);
	CU_ASSERT(verdict(&m, 1).weight_percent < 50);
	run(&m, 6 * US_PER_S);
	m.service_factor[1] = 1;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(total_ejections(&m), 0);
	CU_ASSERT_EQUAL(verdict(&m, 1).state, HEALTH_OK);
	model_free(&m);
}

/* Guards against giving a re-admitted worker its full weight, or requests that
 * are not idempotent, before idempotent ones have succeeded on trial. */
static void test_readmission_by_probes_trial_and_ramp(void)
{
	struct model m;
	struct health_verdict v;

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.service_factor[2] = 10;
	run(&m, 4 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 2).state, HEALTH_UNHEALTHY);
	m.service_factor[2] = 1;
	m.gets_no_requests[2] = true;
	run(&m, 12 * US_PER_S);
	v = verdict(&m, 2);
	CU_ASSERT(m.probes >= 3);
	CU_ASSERT_EQUAL(v.state, HEALTH_RECOVERING);
	CU_ASSERT_TRUE(v.idempotent_only);
	CU_ASSERT(v.weight_percent <= 10);
	m.gets_no_requests[2] = false;
	run(&m, 4 * US_PER_S);
	v = verdict(&m, 2);
	CU_ASSERT_FALSE(v.idempotent_only);
	CU_ASSERT(v.weight_percent < 100);
	run(&m, 20 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 2).state, HEALTH_OK);
	CU_ASSERT_EQUAL(total_ejections(&m), 1);
	model_free(&m);
}

/* Guards against ejections that stay short although the worker fails again
 * after each re-admission. */
static void test_flapping_worker_is_ejected_longer(void)
{
	struct model m;
	int64_t gap_us[3] = { 0 };

	model_start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.error_percent[0] = 100;
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t n = m.ejections[0];
		int64_t from_us = m.ejected_us[0];

		while (m.ejections[0] == n && m.now_us < 1000 * US_PER_S)
			run(&m, 100 * US_PER_MS);
		gap_us[i] = m.ejected_us[0] - from_us;
	}
	CU_ASSERT(gap_us[2] > gap_us[1] * 3 / 2);
	CU_ASSERT_EQUAL(total_ejections(&m), 3);
	model_free(&m);
}

int main(void)
{
	CU_pSuite s;

	CU_initialize_registry();
	s = CU_add_suite("health", NULL, NULL);
	CU_add_test(s, "slow worker", test_slow_worker_is_ejected);
	CU_add_test(s, "steadily slow worker", test_steadily_slow_worker_stays);
	CU_add_test(s, "shared slowdown", test_shared_slowdown_ejects_none);
	CU_add_test(s, "wait for peers", test_ejection_waits_for_peers);
	CU_add_test(s, "silent connections",
		    test_silent_connections_are_dropped);
	CU_add_test(s, "silent worker", test_silent_worker_is_ejected);
	CU_add_test(s, "passed probes", test_passed_probes_do_not_hide_silence);
	CU_add_test(s, "single slow request",
		    test_single_slow_request_ejects_none);
	CU_add_test(s, "shed load", test_shed_load_lowers_weight_only);
	CU_add_test(s, "failure shares", test_failure_shares);
	CU_add_test(s, "restart", test_restarted_worker_is_cold);
	CU_add_test(s, "re-admission",
		    test_readmission_by_probes_trial_and_ramp);
	CU_add_test(s, "flapping", test_flapping_worker_is_ejected_longer);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
