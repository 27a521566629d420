/*
 * A drill: the platform's store is away for a moment and comes back from a copy
 * that was made four seconds before, just before the first start of the fleet.
 * Later, in calm, machines are added. A worker in need names its limit. Rule
 * LIMIT.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define DAEMONS 6
#define FIRST 3
#define WORKERS 4
#define CONSUMERS 24
#define STABLE_WINDOW_MS 4000
#define LIMIT "12"
#define LIMIT_PER_S 12
#define WINDOW_MS 4000
#define MEASURE_MS 14000
#define COPY_AGE_MS 4000
#define AWAY_MS 1000
#define TRAFFIC_AT_MS 8000

static struct worker workers[WORKERS];
static struct daemon daemons[DAEMONS];
static volatile bool over;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t arrivals[200000];
static int arrival_count;
static int by_daemon[DAEMONS + 1];
static int served;

/* Worker 0 is the one in need. */
static void on_run(struct worker *w, const char *id, const char *via)
{
	(void)id;
	if (w != &workers[0] || !w->limit)
		return;
	pthread_mutex_lock(&lock);
	arrivals[arrival_count++] = now_ms();
	by_daemon[atoi(via + 1)]++;
	pthread_mutex_unlock(&lock);
}

static int choose(int number)
{
	for (int i = 0; i < DAEMONS; i++) {
		int n = (number + i) % DAEMONS;

		if (daemons[n].in_rotation)
			return n;
	}
	return -1;
}

static void *consume(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct connection c = { .fd = -1 };
	int at = -1;

	while (!over) {
		struct answer a;
		char id[17];

		/* New connections are spread over the machines in rotation. */
		if (c.fd >= 0 && at != choose(number))
			connection_close(&c);
		if (c.fd < 0) {
			at = choose(number);
			if (at < 0 ||
			    !connection_open(&c, daemons[at].host, FRONT_PORT)) {
				sleep_ms(200);
				continue;
			}
		}
		new_id(id);
		if (!exchange(&c, "GET", "x.example", "/stock/1", id,
			      daemons[at].name, 8000, 0, &a)) {
			connection_close(&c);
			continue;
		}
		pthread_mutex_lock(&lock);
		served += a.complete && a.status == 200;
		pthread_mutex_unlock(&lock);
		if (a.close || !a.complete)
			connection_close(&c);
		sleep_ms(10);
	}
	connection_close(&c);
	return NULL;
}

static void start(int n, const char *seeds)
{
	struct daemon *d = &daemons[n];

	d->host = 1 + n;
	snprintf(d->name, sizeof(d->name), "d%d", n + 1);
	strcpy(d->zone, "a1");
	strcpy(d->region, "a");
	strcpy(d->seeds, seeds);
	daemon_write_settings(d);
	daemon_start(d);
}

static void wait_ready(int n)
{
	if (!daemon_wait_ready(&daemons[n], 20000))
		stand_end(2);
	daemons[n].in_rotation = true;
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS];
	int64_t copied;
	int64_t named;
	int most = 0;
	int bound = LIMIT_PER_S * 3 / 2 * WINDOW_MS / 1000 + 5;

	stand_begin(argc, argv);
	store_start();
	for (int i = 0; i < WORKERS; i++) {
		struct worker *w = &workers[i];

		w->host = 100 + i;
		snprintf(w->name, sizeof(w->name), "i-%d", i);
		strcpy(w->service, "stock");
		strcpy(w->zone, "a1");
		w->work_min_ms = 40;
		w->work_max_ms = 120;
		w->answer_bytes = 400;
		w->on_run = on_run;
		worker_start(w);
		worker_enter(w, 0);
	}
	store_put("config", "main",
		  "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\","
		  "\"host\",\"path-prefix\",\"kind\",\"timeout\","
		  "\"target-latency\",\"priority\",\"service\","
		  "\"max-attempts\",\"traffic-split\"],\"rows\":[[\"r-1\","
		  "\"x.example\",\"/stock/\",\"idempotent\",\"6000ms\","
		  "\"2500ms\",1,\"stock\",2,null]]},\"services\":{\"columns\":["
		  "\"name\",\"health-path\",\"max-connections\",\"protocol\","
		  "\"tls\"],\"rows\":[[\"stock\",\"/health\",390,\"h1\",false]"
		  "]},\"limits\":{\"max-header-bytes\":16384,"
		  "\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
		  "\"idle-timeout\":\"15000ms\"}}");
	store_copy();
	copied = now_ms();
	for (int i = 0; i < FIRST; i++)
		start(i, "1,2,3");
	for (int i = 0; i < FIRST; i++)
		wait_ready(i);
	sleep_ms(copied + COPY_AGE_MS - now_ms());
	if (stand_trouble()) {
		store_set_away(true);
		store_restore();
		sleep_ms(AWAY_MS);
		store_set_away(false);
	}
	/* Traffic starts 8 s after the machines do. */
	sleep_ms(copied + TRAFFIC_AT_MS - now_ms());
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, consume, (void *)(intptr_t)i);
	/* The store is stable again. */
	sleep_ms(2 * STABLE_WINDOW_MS);
	for (int i = FIRST; i < DAEMONS; i++)
		start(i, "1,2,3");
	for (int i = FIRST; i < DAEMONS; i++)
		wait_ready(i);
	/* All machines are in touch. */
	sleep_ms(2 * STABLE_WINDOW_MS);
	record("worker i-0 names its limit, %s a second", LIMIT);
	workers[0].limit = LIMIT;
	named = now_ms();
	sleep_ms(STABLE_WINDOW_MS + 500 + MEASURE_MS);
	over = true;
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < arrival_count; i++) {
		int n = 0;

		if (arrivals[i] < named + STABLE_WINDOW_MS + 500)
			continue;
		for (int k = i; k < arrival_count &&
				arrivals[k] < arrivals[i] + WINDOW_MS;
		     k++)
			n++;
		if (n > most)
			most = n;
	}
	for (int i = 0; i < DAEMONS; i++)
		record("requests of i-0 via d%d since it names its limit: %d",
		       i + 1, by_daemon[i + 1]);
	record("served=%d most requests of i-0 in 4 s: %d, the rule allows %d",
	       served, most, bound);
	if (!served || !arrival_count)
		stand_end(2);
	stand_end(most > bound ? 1 : 0);
}
