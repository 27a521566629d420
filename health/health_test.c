#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>

#include "health/health.h"

#define STEP_US (10 * US_PER_MS)
#define PENDING_MAX 256

/** Model of a pool: 10 requests a second a worker, exponential 20 ms. */
struct request_sent {
	bool used;
	uint8_t worker;
	int64_t at_us;
	int64_t end_us; /**< INT64_MAX: never answered */
	enum health_event event;
};

struct model {
	struct health_pool *pool;
	int64_t now_us;
	uint64_t random;
	double slow[HEALTH_WORKERS_MAX]; /**< 0: answers nothing */
	uint32_t error_percent[HEALTH_WORKERS_MAX];
	enum health_event error;
	bool idle[HEALTH_WORKERS_MAX]; /**< gets no requests */
	enum health_event probe_event;
	int64_t probe_us;
	int64_t probe_end_us;
	int32_t probe_worker;
	uint32_t probes;
	uint32_t fresh_probes;
	uint32_t drops;
	uint32_t ejections[HEALTH_WORKERS_MAX];
	int64_t out_us[HEALTH_WORKERS_MAX]; /**< last ejection */
	bool was_out[HEALTH_WORKERS_MAX];
	struct request_sent sent[PENDING_MAX];
};

static double random_unit(struct model *m)
{
	m->random =
		m->random * UINT64_C(6364136223846793005) + 1442695040888963407;
	return ((double)(m->random >> 11) + 0.5) / 9007199254740992.0;
}

static void start(struct model *m, uint8_t workers)
{
	struct health_settings s = { workers, 6, 10000, 1000 };

	memset(m, 0, sizeof(*m));
	m->random = 7;
	m->pool = health_create_evidence(&s, 0);
	m->probe_worker = -1;
	m->probe_us = 25 * US_PER_MS;
	m->probe_event = HEALTH_ANSWERED;
	m->error = HEALTH_SERVER_ERROR;
	for (uint8_t i = 0; i < workers; i++)
		m->slow[i] = 1;
}

static void send_request(struct model *m, uint8_t worker)
{
	double us = -20000 * log(random_unit(m)) * m->slow[worker];
	bool bad = random_unit(m) * 100 < m->error_percent[worker];

	for (uint32_t i = 0; i < PENDING_MAX; i++)
		if (!m->sent[i].used) {
			m->sent[i] = (struct request_sent){
				true, worker, m->now_us,
				m->slow[worker] > 0 ? m->now_us + (int64_t)us :
						      INT64_MAX,
				bad ? m->error : HEALTH_ANSWERED
			};
			m->pool->ops->dispatch(m->pool, worker, m->now_us);
			return;
		}
}

static void end(struct model *m, struct request_sent *r, enum health_event e,
		bool fresh)
{
	struct health_sample s = { e, m->now_us - r->at_us, fresh, false };

	r->used = false;
	m->pool->ops->record(m->pool, r->worker, &s, m->now_us);
}

static void watch(struct model *m)
{
	bool fresh = false;

	m->pool->ops->tick(m->pool, m->now_us);
	if (m->probe_worker < 0) {
		m->probe_worker =
			m->pool->ops->next_probe(m->pool, m->now_us, &fresh);
		m->probe_end_us = m->now_us + m->probe_us;
		m->probes += m->probe_worker >= 0;
		m->fresh_probes += m->probe_worker >= 0 && fresh;
	}
	for (uint8_t i = 0; i < m->pool->worker_count; i++) {
		bool out = m->pool->ops->verdict(m->pool, i).severity > 0;
		int64_t silent_us = m->pool->ops->take_silent_us(m->pool, i);

		m->drops += silent_us > 0;
		for (uint32_t j = 0; j < PENDING_MAX && silent_us; j++)
			if (m->sent[j].used && m->sent[j].worker == i &&
			    m->now_us - m->sent[j].at_us > silent_us)
				end(m, &m->sent[j], HEALTH_CANCELLED, false);
		if (out && !m->was_out[i]) {
			m->ejections[i]++;
			m->out_us[i] = m->now_us;
		}
		m->was_out[i] = out;
	}
}

/** Runs for a time; reported workers get no requests. */
static void run(struct model *m, int64_t us)
{
	int64_t until_us = m->now_us + us;

	while (m->now_us < until_us) {
		m->now_us += STEP_US;
		for (uint32_t i = 0; i < PENDING_MAX; i++)
			if (m->sent[i].used && m->now_us >= m->sent[i].end_us)
				end(m, &m->sent[i], m->sent[i].event, false);
		if (m->probe_worker >= 0 && m->now_us >= m->probe_end_us) {
			struct health_sample s = { m->probe_event, m->probe_us,
						   true, true };
			uint8_t w = (uint8_t)m->probe_worker;

			m->probe_worker = -1;
			m->pool->ops->record(m->pool, w, &s, m->now_us);
		}
		for (uint8_t i = 0; i < m->pool->worker_count; i++)
			if (!m->idle[i] && !m->was_out[i] &&
			    random_unit(m) < 0.1)
				send_request(m, i);
		if (m->now_us % (100 * US_PER_MS) == 0)
			watch(m);
	}
}

static uint32_t all_ejections(const struct model *m)
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

static void finish(struct model *m)
{
	m->pool->ops->destroy(m->pool);
}

/* Guards against a gray worker that keeps its share of the requests. */
static void test_slow_worker_is_found(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.slow[2] = 10;
	run(&m, 4 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[2], 1);
	CU_ASSERT_EQUAL(all_ejections(&m), 1);
	finish(&m);
}

/* Guards against judging the slow but steady ledger by its peers' speed. */
static void test_slow_ledger_stays(void)
{
	struct model m;

	start(&m, 4);
	m.slow[0] = 5;
	run(&m, 300 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	CU_ASSERT_EQUAL(verdict(&m, 0).weight_percent, 100);
	finish(&m);
}

/* Guards against ejecting workers for a fault between them and the home. */
static void test_shared_slowdown_ejects_nobody(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	for (uint8_t i = 0; i < 4; i++)
		m.slow[i] = 8;
	run(&m, 30 * US_PER_S);
	for (uint8_t i = 0; i < 4; i++)
		m.slow[i] = 1;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	finish(&m);
}

/* Guards against blaming the worker whose evidence comes first when nothing is
 * known yet about its peers. */
static void test_first_evidence_waits_for_peers(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	for (uint8_t i = 0; i < 4; i++) {
		m.idle[i] = i > 0;
		m.slow[i] = 8;
	}
	run(&m, 5 * US_PER_S / 2);
	for (uint8_t i = 0; i < 4; i++)
		m.idle[i] = false;
	run(&m, 20 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	finish(&m);
}

/* Guards against blaming a worker for pooled connections that went silent. */
static void test_silent_connections_are_dropped(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.slow[1] = 0;
	run(&m, 700 * US_PER_MS);
	m.slow[1] = 1; /* new connections work */
	run(&m, 20 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	CU_ASSERT(m.drops > 0);
	CU_ASSERT(m.fresh_probes > 0);
	finish(&m);
}

/* Guards against a worker that hides behind its connections: it must be out
 * once fresh connections fail too, and marked for confirmation. */
static void test_silent_worker_is_out(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.slow[1] = 0;
	m.probe_event = HEALTH_CONNECT_TIMEOUT;
	m.probe_us = US_PER_S;
	run(&m, 4 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[1], 1);
	CU_ASSERT_EQUAL(all_ejections(&m), 1);
	CU_ASSERT_TRUE(verdict(&m, 1).unreachable);
	finish(&m);
}

/* Guards against a health endpoint that answers while requests do not. */
static void test_good_probes_do_not_hide_silence(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.slow[1] = 0;
	run(&m, 10 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[1], 1);
	finish(&m);
}

/* Guards against ejecting for one long request among normal ones. */
static void test_single_slow_request(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.slow[1] = 500;
	send_request(&m, 1);
	m.slow[1] = 1;
	run(&m, 60 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	finish(&m);
}

/* Guards against treating shed load as ill health. */
static void test_shed_load_lowers_weight_only(void)
{
	struct model m;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.error = HEALTH_SHED;
	m.error_percent[1] = 80;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	CU_ASSERT(verdict(&m, 1).weight_percent < 100);
	m.error_percent[1] = 0;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 1).weight_percent, 100);
	finish(&m);
}

/* Guards against errors and half answers that go unnoticed, and against
 * ejecting for rare errors. */
static void test_errors(void)
{
	struct model m;

	start(&m, 4);
	for (uint8_t i = 0; i < 4; i++)
		m.error_percent[i] = 1;
	run(&m, 200 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	m.error = HEALTH_TRUNCATED;
	m.error_percent[3] = 50;
	run(&m, 5 * US_PER_S);
	CU_ASSERT_EQUAL(m.ejections[3], 1);
	CU_ASSERT_EQUAL(all_ejections(&m), 1);
	finish(&m);
}

/* Guards against full load, or blame for its slow start, on a worker that has
 * just restarted. */
static void test_restarted_worker_is_cold(void)
{
	struct model m;
	struct request_sent r = { .worker = 1 };

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	r.at_us = m.now_us;
	m.pool->ops->dispatch(m.pool, 1, m.now_us);
	end(&m, &r, HEALTH_CONNECT_REFUSED, true);
	m.pool->ops->dispatch(m.pool, 1, m.now_us);
	end(&m, &r, HEALTH_ANSWERED, true);
	m.slow[1] = 10;
	run(&m, 2 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 1).state, HEALTH_COLD);
	CU_ASSERT(verdict(&m, 1).weight_percent < 50);
	run(&m, 6 * US_PER_S);
	m.slow[1] = 1;
	run(&m, 30 * US_PER_S);
	CU_ASSERT_EQUAL(all_ejections(&m), 0);
	CU_ASSERT_EQUAL(verdict(&m, 1).state, HEALTH_OK);
	finish(&m);
}

/* Guards against a return at full load, or with requests that must not be
 * repeated, before reads have succeeded. */
static void test_return_by_probes_trial_and_ramp(void)
{
	struct model m;
	struct health_verdict v;

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.slow[2] = 10;
	run(&m, 4 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 2).state, HEALTH_UNHEALTHY);
	m.slow[2] = 1;
	m.idle[2] = true;
	run(&m, 12 * US_PER_S);
	v = verdict(&m, 2);
	CU_ASSERT(m.probes >= 3);
	CU_ASSERT_EQUAL(v.state, HEALTH_RECOVERING);
	CU_ASSERT_TRUE(v.reads_only);
	CU_ASSERT(v.weight_percent <= 10);
	m.idle[2] = false;
	run(&m, 4 * US_PER_S);
	v = verdict(&m, 2);
	CU_ASSERT_FALSE(v.reads_only);
	CU_ASSERT(v.weight_percent < 100);
	run(&m, 20 * US_PER_S);
	CU_ASSERT_EQUAL(verdict(&m, 2).state, HEALTH_OK);
	CU_ASSERT_EQUAL(all_ejections(&m), 1);
	finish(&m);
}

/* Guards against a flapping worker that is let back at the same pace for ever.
 */
static void test_flapping_worker_stays_out_longer(void)
{
	struct model m;
	int64_t gap_us[3] = { 0 };

	start(&m, 4);
	run(&m, 60 * US_PER_S);
	m.error_percent[0] = 100;
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t n = m.ejections[0];
		int64_t from_us = m.out_us[0];

		while (m.ejections[0] == n && m.now_us < 1000 * US_PER_S)
			run(&m, 100 * US_PER_MS);
		gap_us[i] = m.out_us[0] - from_us;
	}
	CU_ASSERT(gap_us[2] > gap_us[1] * 3 / 2);
	CU_ASSERT_EQUAL(all_ejections(&m), 3);
	finish(&m);
}

int main(void)
{
	CU_pSuite s;

	CU_initialize_registry();
	s = CU_add_suite("health", NULL, NULL);
	CU_add_test(s, "slow worker", test_slow_worker_is_found);
	CU_add_test(s, "slow ledger", test_slow_ledger_stays);
	CU_add_test(s, "shared slowdown", test_shared_slowdown_ejects_nobody);
	CU_add_test(s, "first evidence", test_first_evidence_waits_for_peers);
	CU_add_test(s, "silent connections",
		    test_silent_connections_are_dropped);
	CU_add_test(s, "silent worker", test_silent_worker_is_out);
	CU_add_test(s, "good probes", test_good_probes_do_not_hide_silence);
	CU_add_test(s, "single slow request", test_single_slow_request);
	CU_add_test(s, "shed load", test_shed_load_lowers_weight_only);
	CU_add_test(s, "errors", test_errors);
	CU_add_test(s, "restart", test_restarted_worker_is_cold);
	CU_add_test(s, "return", test_return_by_probes_trial_and_ramp);
	CU_add_test(s, "flapping", test_flapping_worker_stays_out_longer);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
