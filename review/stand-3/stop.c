/*
 * Planned stop of one of two daemons while a consumer, over a link of 20 Mbit/s,
 * receives the answers to reads that it has sent one behind the other. Rule
 * LOST.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define PIPELINED 18
#define ANSWER_BYTES 750000
/* The link of the consumer, 20 Mbit/s. */
#define LINK_BYTES_PER_S 2500000
#define BATCH_MS 7000
#define STOP_MS 8000
#define GRACE_MS 6000
#define END_MS 20000

static struct worker workers[3];
static struct daemon daemons[2];
static volatile int64_t stop_at;
static volatile bool over;
static int lost;
static int served;
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

/* The balancer: a daemon that is not ready gets no new connections. */
static int choose(int first)
{
	for (int i = 0; i < 2; i++) {
		int n = (first + i) % 2;

		if (daemons[n].in_rotation)
			return n;
	}
	return first;
}

static void *balance(void *arg)
{
	(void)arg;
	while (!over) {
		for (int i = 0; i < 2; i++) {
			if (daemon_is_ready(&daemons[i])) {
				daemons[i].misses = 0;
				daemons[i].in_rotation = true;
			} else if (++daemons[i].misses >= 2) {
				daemons[i].in_rotation = false;
			}
		}
		sleep_ms(1000);
	}
	return NULL;
}

static void judge(const char *id, int at, int64_t sent, const struct answer *a)
{
	bool ran = has_run(id);
	int64_t now = now_ms();

	record("request id=%s daemon=%s sent=%lld status=%d ran=%s "
	       "received=%zu of=%zu complete=%s",
	       id, daemons[at].name, (long long)sent, a->status,
	       ran ? "yes" : "no", a->received, a->length,
	       a->complete ? "yes" : "no");
	if (a->complete && a->status == 200) {
		served++;
		return;
	}
	/* Passed on to a worker, which ran it; the connection ended without a
	 * complete answer until 1 s after grace. */
	if (ran && !a->complete &&
	    (!stop_at || (at == 0 && now < stop_at + GRACE_MS + 1000))) {
		record("LOST id=%s sent_after_sigterm_ms=%lld "
		       "cut_after_sigterm_ms=%lld",
		       id, (long long)(sent - stop_at),
		       (long long)(now - stop_at));
		lost++;
	}
}

static void *consume(void *arg)
{
	struct connection c = { .fd = -1,
				.receive_bytes = 65536,
				.bytes_per_s = LINK_BYTES_PER_S };
	int at = 0;
	int64_t next = BATCH_MS;

	(void)arg;
	while (!over) {
		char ids[PIPELINED][17];
		struct answer a = { 0 };
		int64_t sent;
		bool ok = true;

		sleep_ms(next - now_ms());
		next += 9000;
		if (over)
			break;
		if (c.fd < 0) {
			at = choose(0);
			if (!connection_open(&c, daemons[at].host, FRONT_PORT))
				continue;
		}
		sent = now_ms();
		for (int i = 0; ok && i < PIPELINED; i++) {
			new_id(ids[i]);
			ok = send_request(&c, "GET", "x.example", "/ledger/1",
					  ids[i], daemons[at].name, 12000, 0);
		}
		for (int i = 0; ok && i < PIPELINED; i++) {
			if (!i || a.complete)
				read_answer(&c, &a);
			else
				a = (struct answer){ .nothing = true };
			judge(ids[i], at, sent, &a);
		}
		if (!ok || a.close || !a.complete)
			connection_close(&c);
	}
	connection_close(&c);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t consumer;
	pthread_t balancer;

	stand_begin(argc, argv);
	store_start();
	for (int i = 0; i < 3; i++) {
		struct worker *w = &workers[i];

		w->host = 100 + i;
		snprintf(w->name, sizeof(w->name), "i-%d", i);
		strcpy(w->service, "ledger");
		strcpy(w->zone, "a1");
		w->work_min_ms = 400;
		w->work_max_ms = 800;
		w->answer_bytes = ANSWER_BYTES;
		w->on_run = on_run;
		worker_start(w);
		worker_enter(w, 0);
	}
	store_put("config", "main",
		  "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\","
		  "\"host\",\"path-prefix\",\"kind\",\"timeout\","
		  "\"target-latency\",\"priority\",\"service\","
		  "\"max-attempts\",\"traffic-split\"],\"rows\":[[\"r-1\","
		  "\"x.example\",\"/ledger/\",\"idempotent\",\"6000ms\","
		  "\"5000ms\",0,\"ledger\",2,null]]},\"services\":{\"columns\":["
		  "\"name\",\"health-path\",\"max-connections\",\"protocol\","
		  "\"tls\"],\"rows\":[[\"ledger\",\"/health\",390,\"h1\",false]"
		  "]},\"limits\":{\"max-header-bytes\":16384,"
		  "\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
		  "\"idle-timeout\":\"15000ms\"}}");
	for (int i = 0; i < 2; i++) {
		daemons[i].host = 1 + i;
		snprintf(daemons[i].name, sizeof(daemons[i].name), "d%d", i + 1);
		strcpy(daemons[i].zone, "a1");
		strcpy(daemons[i].region, "a");
		strcpy(daemons[i].seeds, "1,2");
		daemon_write_settings(&daemons[i]);
		daemon_start(&daemons[i]);
	}
	for (int i = 0; i < 2; i++) {
		if (!daemon_wait_ready(&daemons[i], 15000))
			stand_end(2);
		daemons[i].in_rotation = true;
	}
	pthread_create(&balancer, NULL, balance, NULL);
	pthread_create(&consumer, NULL, consume, NULL);
	sleep_ms(STOP_MS - now_ms());
	if (stand_trouble()) {
		stop_at = now_ms();
		daemon_signal(&daemons[0], SIGTERM);
		if (!daemon_wait(&daemons[0], GRACE_MS)) {
			daemon_signal(&daemons[0], SIGKILL);
			daemon_wait(&daemons[0], 1000);
		}
		sleep_ms(END_MS - now_ms());
	} else {
		sleep_ms(END_MS - now_ms());
	}
	over = true;
	pthread_join(consumer, NULL);
	record("served=%d lost=%d", served, lost);
	if (!served)
		stand_end(2);
	stand_end(lost ? 1 : 0);
}
