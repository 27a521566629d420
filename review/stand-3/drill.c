/*
 * A drill: the platform's store is away for a moment and comes back from a copy
 * that is four seconds old. What the workers wrote since is written again.
 * Later, in calm, one of them leaves. Rule DRAIN.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define OLD_WORKERS 10
#define NEW_WORKERS 3
#define DAEMONS 3
#define CONSUMERS 18
#define HEARTBEAT_MS 1500
#define COLD_PINGS 3
#define JOIN_GAP_MS 250
#define AWAY_MS 1000
#define BACK_BEFORE_PING_MS 20
#define STABLE_WINDOW_MS 4000
#define DRAIN_MS 2500
/* "at times many seconds" after the report */
#define SERVES_ON_MS 9000

static struct worker workers[OLD_WORKERS + NEW_WORKERS];
static struct worker *leaving = &workers[OLD_WORKERS];
static struct daemon daemons[DAEMONS];
static volatile bool over;
static volatile int64_t drain_acked;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int late;
static int runs_of_leaving;
static int served;
static int failed;

static void on_run(struct worker *w, const char *id, const char *via)
{
	int64_t after = now_ms() - drain_acked;

	if (w != leaving)
		return;
	pthread_mutex_lock(&lock);
	runs_of_leaving++;
	if (drain_acked && after > DRAIN_MS) {
		late++;
		record("DRAIN id=%s via=%s worker=%s ms_after_ack=%lld", id, via,
		       w->name, (long long)after);
	}
	pthread_mutex_unlock(&lock);
}

static void *consume(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct daemon *d = &daemons[number % DAEMONS];
	struct connection c = { .fd = -1 };

	while (!over) {
		struct answer a;
		char id[17];

		if (c.fd < 0 && !connection_open(&c, d->host, FRONT_PORT)) {
			sleep_ms(200);
			continue;
		}
		new_id(id);
		if (!exchange(&c, "POST", "x.example", "/press/1", id, d->name,
			      8000, 0, &a)) {
			connection_close(&c);
			continue;
		}
		pthread_mutex_lock(&lock);
		if (a.complete && a.status == 200)
			served++;
		else
			failed++;
		pthread_mutex_unlock(&lock);
		if (!a.complete || a.status != 200)
			record("request id=%s daemon=%s status=%d", id, d->name,
			       a.status);
		if (a.close || !a.complete)
			connection_close(&c);
		sleep_ms(20);
	}
	connection_close(&c);
	return NULL;
}

/* The new workers ping, the first of them at `at`. */
static void ping_all(int64_t at, int cold_left_ms)
{
	for (int i = 0; i < NEW_WORKERS; i++) {
		sleep_ms(at + i * JOIN_GAP_MS - now_ms());
		worker_enter(&workers[OLD_WORKERS + i], cold_left_ms);
	}
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS];
	int64_t joined;
	int64_t back;

	stand_begin(argc, argv);
	store_start();
	for (int i = 0; i < OLD_WORKERS + NEW_WORKERS; i++) {
		struct worker *w = &workers[i];

		w->host = 100 + i;
		snprintf(w->name, sizeof(w->name), "i-%d", i);
		strcpy(w->service, "press");
		strcpy(w->zone, "a1");
		w->work_min_ms = 30;
		w->work_max_ms = 90;
		w->answer_bytes = 400;
		w->on_run = on_run;
		worker_start(w);
		if (i < OLD_WORKERS)
			worker_enter(w, 0);
	}
	store_put("config", "main",
		  "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\","
		  "\"host\",\"path-prefix\",\"kind\",\"timeout\","
		  "\"target-latency\",\"priority\",\"service\","
		  "\"max-attempts\",\"traffic-split\"],\"rows\":[[\"r-1\","
		  "\"x.example\",\"/press/\",\"non_idempotent\",\"8000ms\","
		  "\"5000ms\",0,\"press\",2,null]]},\"services\":{\"columns\":["
		  "\"name\",\"health-path\",\"max-connections\",\"protocol\","
		  "\"tls\"],\"rows\":[[\"press\",\"/health\",390,\"h1\",false]"
		  "]},\"limits\":{\"max-header-bytes\":16384,"
		  "\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
		  "\"idle-timeout\":\"15000ms\"}}");
	for (int i = 0; i < DAEMONS; i++) {
		daemons[i].host = 1 + i;
		snprintf(daemons[i].name, sizeof(daemons[i].name), "d%d", i + 1);
		strcpy(daemons[i].zone, "a1");
		strcpy(daemons[i].region, "a");
		strcpy(daemons[i].seeds, "1,2,3");
		daemon_write_settings(&daemons[i]);
		daemon_start(&daemons[i]);
	}
	for (int i = 0; i < DAEMONS; i++)
		if (!daemon_wait_ready(&daemons[i], 15000))
			stand_end(2);
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, consume, (void *)(intptr_t)i);
	sleep_ms(6000);
	store_copy();
	/* Workers are added over half a second. Each pings every 1.5 s, and its entry
	 * changes with each ping while it is cold. */
	joined = now_ms();
	for (int ping = 0; ping < COLD_PINGS; ping++)
		ping_all(joined + ping * HEARTBEAT_MS,
			 (COLD_PINGS - 1 - ping) * HEARTBEAT_MS);
	back = joined + COLD_PINGS * HEARTBEAT_MS - BACK_BEFORE_PING_MS;
	sleep_ms(back - AWAY_MS - now_ms());
	if (stand_trouble()) {
		store_set_away(true);
		store_restore();
	}
	sleep_ms(back - now_ms());
	if (stand_trouble())
		store_set_away(false);
	/* Each worker whose entry is gone writes it again at its next ping. */
	ping_all(joined + COLD_PINGS * HEARTBEAT_MS, 0);
	back = now_ms();
	/* The store is stable again, and all machines are in touch. */
	sleep_ms(2 * STABLE_WINDOW_MS);
	record("%lld ms of calm, requests of %s so far: %d",
	       (long long)(now_ms() - back), leaving->name, runs_of_leaving);
	worker_report_draining(leaving);
	drain_acked = now_ms();
	sleep_ms(SERVES_ON_MS);
	worker_exit(leaving);
	store_delete("servers", leaving->name);
	sleep_ms(1000);
	over = true;
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);
	record("served=%d failed=%d late=%d", served, failed, late);
	if (!served || !runs_of_leaving)
		stand_end(2);
	stand_end(late ? 1 : 0);
}
