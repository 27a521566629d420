/*
 * Two consumers send long orders, within the limit of the configuration, while
 * others receive the answers to reads over links of 20 Mbit/s. Rule LOST.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define CONSUMERS 3
#define PIPELINED 8
#define ANSWER_BYTES 750000
#define LINK_BYTES_PER_S 2500000
/* `max-body-bytes` is 67108864. */
#define BODY_BYTES 60000000
#define LONG_WORK_MS 4000
#define BURST_AT_MS 6000
#define BURST_MS 7000
#define LAST_MS 18000

static struct worker workers[3];
static struct worker long_workers[2];
static struct daemon daemon_1;
static int lost;
static int cut;
static int served;
static int long_answered;
static int long_refused;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char runs[20000][17];
static int run_count;

static void on_run(struct worker *w, const char *id, const char *via)
{
	(void)w;
	(void)via;
	pthread_mutex_lock(&lock);
	snprintf(runs[run_count++], 17, "%s", id);
	pthread_mutex_unlock(&lock);
}

static bool has_run(const char *id)
{
	bool ran = false;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < run_count; i++)
		ran |= !strcmp(runs[i], id);
	pthread_mutex_unlock(&lock);
	return ran;
}

static void judge(const char *id, int number, bool kept, const struct answer *a)
{
	bool ran = has_run(id);

	record("request id=%s consumer=%d kept=%s status=%d ran=%s received=%zu "
	       "of=%zu complete=%s error=%d",
	       id, number, kept ? "yes" : "no", a->status, ran ? "yes" : "no",
	       a->received, a->length, a->complete ? "yes" : "no", a->error);
	pthread_mutex_lock(&lock);
	served += a->complete && a->status == 200;
	cut += ran && kept && !a->complete && !a->nothing;
	lost += ran && kept && !a->complete && a->nothing;
	pthread_mutex_unlock(&lock);
	if (ran && !a->complete)
		record("%s id=%s", a->nothing ? "LOST" : "CUT", id);
}

static void *consume(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct connection c = { .fd = -1,
				.receive_bytes = 65536,
				.bytes_per_s = LINK_BYTES_PER_S };
	bool kept = false;

	sleep_ms(number * 300);
	while (now_ms() < LAST_MS) {
		struct answer a = { 0 };
		char ids[PIPELINED][17];
		bool ok = true;
		/* The first request of a connection is a short one. */
		int count = kept ? PIPELINED : 1;

		if (c.fd < 0 && !connection_open(&c, 1, FRONT_PORT)) {
			sleep_ms(200);
			continue;
		}
		for (int i = 0; ok && i < count; i++) {
			new_id(ids[i]);
			ok = send_request(&c, "GET", "x.example",
					  "/stock/1", ids[i], "d1", 12000, 0);
		}
		for (int i = 0; ok && i < count; i++) {
			if (!i || a.complete)
				read_answer(&c, &a);
			else
				a = (struct answer){ .nothing = true,
						     .error = a.error };
			judge(ids[i], number, kept, &a);
		}
		kept = ok && a.complete && !a.close;
		if (!kept)
			connection_close(&c);
		sleep_ms(100);
	}
	connection_close(&c);
	return NULL;
}

/* An order with a long body. It is sent again if it is refused, so that the
 * last answer comes within BURST_MS. */
static void *order(void *arg)
{
	struct connection c = { .fd = -1 };
	struct answer a = { 0 };
	char id[17];

	(void)arg;
	sleep_ms(BURST_AT_MS - now_ms());
	while (a.status != 200 &&
	       now_ms() < BURST_AT_MS + BURST_MS - LONG_WORK_MS - 1000) {
		if (c.fd < 0 && !connection_open(&c, 1, FRONT_PORT)) {
			sleep_ms(200);
			continue;
		}
		new_id(id);
		record("long order id=%s is sent", id);
		if (!exchange(&c, "POST", "x.example", "/ledger/1", id, "d1",
			      15000, BODY_BYTES, &a)) {
			connection_close(&c);
			continue;
		}
		record("long order id=%s status=%d ran=%s", id, a.status,
		       has_run(id) ? "yes" : "no");
		pthread_mutex_lock(&lock);
		long_answered += a.status == 200;
		long_refused += a.status == 503;
		pthread_mutex_unlock(&lock);
		if (a.close || !a.complete)
			connection_close(&c);
		if (a.status != 200)
			sleep_ms(250);
	}
	connection_close(&c);
	return NULL;
}

static void start_worker(struct worker *w, int host, const char *name,
			 const char *service)
{
	w->host = host;
	strcpy(w->name, name);
	strcpy(w->service, service);
	strcpy(w->zone, "a1");
	w->on_run = on_run;
	worker_start(w);
	worker_enter(w, 0);
}

int main(int argc, char **argv)
{
	static const char *const names[] = { "i-0", "i-1", "i-2", "i-3", "i-4" };
	pthread_t threads[CONSUMERS + 2];
	int count = CONSUMERS + (stand_trouble() ? 2 : 0);

	stand_begin(argc, argv);
	store_start();
	for (int i = 0; i < 3; i++) {
		workers[i].work_min_ms = 100;
		workers[i].work_max_ms = 300;
		workers[i].answer_bytes = ANSWER_BYTES;
		start_worker(&workers[i], 100 + i, names[i], "stock");
	}
	for (int i = 0; i < 2; i++) {
		long_workers[i].work_min_ms = LONG_WORK_MS;
		long_workers[i].work_max_ms = LONG_WORK_MS + 500;
		long_workers[i].answer_bytes = 400;
		start_worker(&long_workers[i], 103 + i, names[3 + i], "ledger");
	}
	store_put("config", "main",
		  "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\","
		  "\"host\",\"path-prefix\",\"kind\",\"timeout\","
		  "\"target-latency\",\"priority\",\"service\","
		  "\"max-attempts\",\"traffic-split\"],\"rows\":[[\"r-1\","
		  "\"x.example\",\"/ledger/\",\"non_idempotent\",\"8000ms\","
		  "\"5000ms\",0,\"ledger\",2,null],[\"r-2\",\"x.example\","
		  "\"/stock/\",\"idempotent\",\"6000ms\",\"2500ms\",1,"
		  "\"stock\",2,null]]},\"services\":{\"columns\":[\"name\","
		  "\"health-path\",\"max-connections\",\"protocol\",\"tls\"],"
		  "\"rows\":[[\"ledger\",\"/health\",390,\"h1\",false],"
		  "[\"stock\",\"/health\",390,\"h1\",false]]},\"limits\":{"
		  "\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
		  "\"header-timeout\":\"3000ms\",\"idle-timeout\":"
		  "\"15000ms\"}}");
	daemon_1.host = 1;
	strcpy(daemon_1.name, "d1");
	strcpy(daemon_1.zone, "a1");
	strcpy(daemon_1.region, "a");
	strcpy(daemon_1.seeds, "1");
	daemon_write_settings(&daemon_1);
	daemon_start(&daemon_1);
	if (!daemon_wait_ready(&daemon_1, 15000))
		stand_end(2);
	/* The daemon is in touch once it has run for stable-window. */
	sleep_ms(4500);
	for (int i = 0; i < count; i++)
		pthread_create(&threads[i], NULL,
			       i < CONSUMERS ? consume : order,
			       (void *)(intptr_t)i);
	for (int i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	record("served=%d, long orders: answered=%d refused=%d; cut=%d lost=%d, "
	       "the rule allows 3",
	       served, long_answered, long_refused, cut, lost);
	if (!served)
		stand_end(2);
	stand_end(lost > 3 ? 1 : 0);
}
