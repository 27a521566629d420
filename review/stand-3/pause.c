/*
 * Consumers that stop reading for a while, well within the idle time-out of the
 * configuration, while they receive answers. Rule LOST.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define CONSUMERS 8
#define PIPELINED 4
#define ANSWER_BYTES 30000
#define RECEIVE_BYTES 8192
/* The idle time-out of the configuration is 15 s. */
#define PAUSE_MS 6000
#define LAST_MS 14000

static struct worker workers[3];
static struct daemon daemons[1];
static int lost;
static int cut;
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

static void judge(const char *id, int number, int pause_ms,
		  const struct answer *a)
{
	bool ran = has_run(id);

	record("request id=%s consumer=%d pause_ms=%d status=%d ran=%s "
	       "received=%zu of=%zu complete=%s error=%d",
	       id, number, pause_ms, a->status, ran ? "yes" : "no",
	       a->received, a->length, a->complete ? "yes" : "no", a->error);
	pthread_mutex_lock(&lock);
	served += a->complete && a->status == 200;
	cut += ran && !a->complete && !a->nothing;
	lost += ran && !a->complete && a->nothing;
	pthread_mutex_unlock(&lock);
	if (ran && !a->complete)
		record("%s id=%s", a->nothing ? "LOST" : "CUT", id);
}

/* The first half of the consumers place orders, one at a time. The others send
 * PIPELINED reads, one behind the other. On a kept connection they take the
 * head of the first answer, then nothing for PAUSE_MS, then the rest. */
static void *consume(void *arg)
{
	int number = (int)(intptr_t)arg;
	bool orders = number < CONSUMERS / 2;
	int batch = orders ? 1 : PIPELINED;
	struct connection c = { .fd = -1, .receive_bytes = RECEIVE_BYTES };
	bool kept = false;

	sleep_ms(number * 150);
	while (now_ms() < LAST_MS) {
		struct answer a = { 0 };
		char ids[PIPELINED][17];
		bool ok = true;

		if (c.fd < 0) {
			kept = false;
			if (!connection_open(&c, daemons[0].host, FRONT_PORT)) {
				sleep_ms(200);
				continue;
			}
		}
		c.pause_ms = stand_trouble() && kept ? PAUSE_MS : 0;
		for (int i = 0; ok && i < batch; i++) {
			new_id(ids[i]);
			ok = send_request(&c, orders ? "POST" : "GET",
					  "x.example",
					  orders ? "/ledger/1" : "/stock/1",
					  ids[i], daemons[0].name, 15000, 0);
		}
		for (int i = 0; ok && i < batch; i++) {
			int pause_ms = c.pause_ms;

			if (!i || a.complete) {
				read_answer(&c, &a);
			} else {
				a = (struct answer){ .nothing = true,
						     .error = a.error };
			}
			c.pause_ms = 0;
			judge(ids[i], number, pause_ms, &a);
		}
		kept = true;
		if (!ok || a.close || !a.complete)
			connection_close(&c);
		sleep_ms(stand_trouble() ? 0 : 200);
	}
	connection_close(&c);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS];
	stand_begin(argc, argv);
	store_start();
	for (int i = 0; i < 3; i++) {
		struct worker *w = &workers[i];

		w->host = 100 + i;
		snprintf(w->name, sizeof(w->name), "i-%d", i);
		strcpy(w->service, "ledger");
		strcpy(w->zone, "a1");
		w->work_min_ms = 200;
		w->work_max_ms = 600;
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
		  "\"x.example\",\"/ledger/\",\"non_idempotent\",\"8000ms\","
		  "\"5000ms\",0,\"ledger\",2,null],[\"r-2\","
		  "\"x.example\",\"/stock/\",\"idempotent\",\"8000ms\","
		  "\"5000ms\",1,\"ledger\",2,null]]},\"services\":{\"columns\":["
		  "\"name\",\"health-path\",\"max-connections\",\"protocol\","
		  "\"tls\"],\"rows\":[[\"ledger\",\"/health\",390,\"h1\",false]"
		  "]},\"limits\":{\"max-header-bytes\":16384,"
		  "\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
		  "\"idle-timeout\":\"15000ms\"}}");
	daemons[0].host = 1;
	strcpy(daemons[0].name, "d1");
	strcpy(daemons[0].zone, "a1");
	strcpy(daemons[0].region, "a");
	strcpy(daemons[0].seeds, "1");
	daemon_write_settings(&daemons[0]);
	daemon_start(&daemons[0]);
	if (!daemon_wait_ready(&daemons[0], 15000))
		stand_end(2);
	/* The daemon is in touch once it has run for stable-window. */
	sleep_ms(4500);
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, consume, (void *)(intptr_t)i);
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);
	record("served=%d cut=%d lost=%d, the rule allows 3", served, cut, lost);
	if (!served)
		stand_end(2);
	stand_end(lost > 3 ? 1 : 0);
}
