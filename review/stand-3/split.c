/*
 * The operator's new configuration moves a route to another service, drops one,
 * and splits a third between nine services. Rule CONFIG.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define SERVICES 9
#define DAEMONS 2
#define CONSUMERS 4
#define CONFIG_APPLY_MS 2500
#define CHANGE_MS 7000
#define LAST_MS 20000

static struct worker workers[SERVICES];
static struct daemon daemons[DAEMONS];
static volatile int64_t acked;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int moved_old;
static int dropped_served;
static int split_404;
static int served;

/* The worker that ran a request stands in the signature. */
static void judge(int route, int64_t sent, const char *id, const struct answer *a)
{
	bool late = acked && sent > acked + CONFIG_APPLY_MS;
	bool old = false;

	pthread_mutex_lock(&lock);
	served += a->status == 200;
	if (late && route == 0 && a->status == 200 &&
	    !strncmp(a->signature, "i-0.", 4)) {
		moved_old++;
		old = true;
	}
	if (late && route == 1 && a->status == 200) {
		dropped_served++;
		old = true;
	}
	if (late && route == 2 && a->status == 404) {
		split_404++;
		old = true;
	}
	pthread_mutex_unlock(&lock);
	if (old)
		record("CONFIG id=%s ms_after_ack=%lld route=%s status=%d "
		       "signature=%s",
		       id, (long long)(sent - acked),
		       route == 0 ? "moved" : route == 1 ? "dropped" : "split",
		       a->status, a->signature);
}

static void *consume(void *arg)
{
	static const char *const paths[] = { "/moved/1", "/dropped/1",
					     "/split/1" };
	int number = (int)(intptr_t)arg;
	struct daemon *d = &daemons[number % DAEMONS];
	struct connection c = { .fd = -1 };
	int n = 0;

	while (now_ms() < LAST_MS) {
		struct answer a;
		char id[17];
		int64_t sent = now_ms();

		if (c.fd < 0 && !connection_open(&c, d->host, FRONT_PORT)) {
			sleep_ms(200);
			continue;
		}
		new_id(id);
		if (!exchange(&c, "POST", "x.example", paths[n % 3], id,
			      d->name, 8000, 0, &a)) {
			connection_close(&c);
			continue;
		}
		judge(n++ % 3, sent, id, &a);
		if (a.close || !a.complete)
			connection_close(&c);
		sleep_ms(50);
	}
	connection_close(&c);
	return NULL;
}

/* Appends text. */
static void add(char *out, const char *text)
{
	strcat(out, text);
}

static void add_route(char *out, const char *name, const char *target)
{
	char row[2048];

	snprintf(row, sizeof(row),
		 "%s[\"r-%s\",\"x.example\",\"/%s/\",\"non_idempotent\","
		 "\"8000ms\",\"5000ms\",0,%s]",
		 out[strlen(out) - 1] == '[' ? "" : ",", name, name, target);
	add(out, row);
}

static void configure(const char *version, const char *moved, bool dropped,
		      int parts)
{
	char text[8192];
	char target[1024] = "null,2,[";

	snprintf(text, sizeof(text),
		 "{\"version\":\"%s\",\"routes\":{\"columns\":[\"name\","
		 "\"host\",\"path-prefix\",\"kind\",\"timeout\","
		 "\"target-latency\",\"priority\",\"service\","
		 "\"max-attempts\",\"traffic-split\"],\"rows\":[",
		 version);
	add_route(text, "moved", moved);
	if (dropped)
		add_route(text, "dropped", "\"s0\",2,null");
	for (int i = 0; i < parts; i++)
		snprintf(target + strlen(target),
			 sizeof(target) - strlen(target),
			 "%s{\"service\":\"s%d\",\"weight\":10}",
			 i ? "," : "", i);
	add(target, "]");
	if (parts)
		add_route(text, "split", target);
	add(text, "]},\"services\":{\"columns\":[\"name\",\"health-path\","
		  "\"max-connections\",\"protocol\",\"tls\"],\"rows\":[");
	for (int i = 0; i < SERVICES; i++)
		snprintf(text + strlen(text), sizeof(text) - strlen(text),
			 "%s[\"s%d\",\"/health\",390,\"h1\",false]",
			 i ? "," : "", i);
	add(text, "]},\"limits\":{\"max-header-bytes\":16384,"
		  "\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
		  "\"idle-timeout\":\"15000ms\"}}");
	store_put("config", "main", text);
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS];

	stand_begin(argc, argv);
	store_start();
	for (int i = 0; i < SERVICES; i++) {
		struct worker *w = &workers[i];

		w->host = 100 + i;
		snprintf(w->name, sizeof(w->name), "i-%d", i);
		snprintf(w->service, sizeof(w->service), "s%d", i);
		strcpy(w->zone, "a1");
		w->work_min_ms = 10;
		w->work_max_ms = 30;
		w->answer_bytes = 400;
		worker_start(w);
		worker_enter(w, 0);
	}
	configure("00000007", "\"s0\",2,null", true, 0);
	for (int i = 0; i < DAEMONS; i++) {
		daemons[i].host = 1 + i;
		snprintf(daemons[i].name, sizeof(daemons[i].name), "d%d", i + 1);
		strcpy(daemons[i].zone, "a1");
		strcpy(daemons[i].region, "a");
		strcpy(daemons[i].seeds, "1,2");
		daemon_write_settings(&daemons[i]);
		daemon_start(&daemons[i]);
	}
	for (int i = 0; i < DAEMONS; i++)
		if (!daemon_wait_ready(&daemons[i], 15000))
			stand_end(2);
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, consume, (void *)(intptr_t)i);
	sleep_ms(CHANGE_MS - now_ms());
	configure("0000000c", "\"s1\",2,null", false,
		  stand_trouble() ? SERVICES : SERVICES - 1);
	acked = now_ms();
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);
	record("served=%d, later than config-apply after the ack: run by the old "
	       "service=%d, on a dropped route=%d, 404 on a new route=%d",
	       served, moved_old, dropped_served, split_404);
	if (!served)
		stand_end(2);
	stand_end(moved_old || dropped_served || split_404 ? 1 : 0);
}
