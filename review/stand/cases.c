#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define HOST "orders.example"
#define CONFIG_APPLY_MS 2500
#define STABLE_WINDOW_MS 4000
/* After this time TCP keep-alive finds that a connection is dead: the daemon
 * sets 1 s of idle time and two probes a second apart. */
#define KEEP_ALIVE_FINDS_MS 3000

/* Writes a configuration with one route, to this service. */
static void put_configuration(int version, const char *service)
{
	char spec[2048];

	snprintf(spec, sizeof(spec),
		 "{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\","
		 "\"host\",\"path-prefix\",\"kind\",\"timeout\","
		 "\"target-latency\",\"priority\",\"service\","
		 "\"max-attempts\",\"traffic-split\"],\"rows\":[[\"r-order\","
		 "\"" HOST "\",\"/order/\",\"non_idempotent\",\"8000ms\","
		 "\"5000ms\",0,\"%s\",2,null]]},\"services\":{\"columns\":["
		 "\"name\",\"health-path\",\"max-connections\",\"protocol\","
		 "\"tls\"],\"rows\":[[\"press\",\"/health\",390,\"h1\",false],"
		 "[\"ledger\",\"/health\",390,\"h1\",false]]},\"limits\":{"
		 "\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
		 "\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}",
		 version, service);
	store_put("config", "main", spec);
}

struct count {
	int64_t from_ms; /* requests that were sent from then on count */
	int64_t to_ms;
	int64_t since_ms; /* the store's ack */
	const char *service;
	bool skip[DAEMONS_MAX];
	int broken;
	int all;
};

/* ---- an older configuration ---- */

static struct count stale;

static void check_service(const struct exchange *x, void *arg)
{
	(void)arg;
	if (x->sent_ms < stale.from_ms || x->sent_ms > stale.to_ms ||
	    stale.skip[x->daemon])
		return;
	stale.all++;
	if (!strstr(x->signature, stale.service))
		return;
	stale.broken++;
	record("broken: %s, sent at %lld to %s, was run by %s, %lld ms after "
	       "the ack",
	       x->id, (long long)x->sent_ms, daemons[x->daemon].name,
	       x->signature,
	       (long long)(x->sent_ms - stale.since_ms));
}

static void end_stale(int all_min)
{
	consumers_stop();
	exchanges_each(check_service, NULL);
	record("checked %d requests, %d of them were run by the old service",
	       stale.all, stale.broken);
	finish(stale.all < all_min ? 2 : stale.broken > 0);
}

static void start_both_services(const char *const *zones, int zone_count)
{
	put_configuration(1, "press");
	for (int i = 0; i < 6; i++)
		worker_register(worker_start(i % 2 ? "ledger" : "press",
					     zones[i / 2 % zone_count], 50),
				"ready");
}

/* Rule CONFIG. Two machines of six are partitioned from the store; they are
 * those that watch it. */
static void case_watchers(void)
{
	static const char *const zones[] = { "hill" };
	int64_t t;
	int64_t ack_ms;
	int cut[DAEMONS_MAX];
	int cut_count = 0;

	start_both_services(zones, 1);
	if (!fleet_start(zones, 1, 6))
		finish(2);
	wait_until_ms(now_ms() + 5000);
	consumers_start("POST", HOST, "/order/7", 100, 8000);
	t = now_ms() + 3000;
	wait_until_ms(t);
	for (int i = 0; i < daemon_count && cut_count < 2; i++)
		if (store_waiting(i) >= 2)
			cut[cut_count++] = i;
	if (cut_count != 2)
		finish(2);
	for (int i = 0; trouble && i < cut_count; i++)
		store_silence(cut[i], true);
	for (int i = 0; i < cut_count; i++)
		stale.skip[cut[i]] = true;
	wait_until_ms(t + 300);
	put_configuration(2, "ledger");
	ack_ms = now_ms();
	stale.since_ms = ack_ms;
	stale.from_ms = ack_ms + CONFIG_APPLY_MS;
	stale.to_ms = ack_ms + 9000;
	stale.service = "press";
	wait_until_ms(t + KEEP_ALIVE_FINDS_MS);
	for (int i = 0; trouble && i < cut_count; i++)
		store_reset(cut[i]);
	wait_until_ms(t + 10000);
	for (int i = 0; trouble && i < cut_count; i++)
		store_heal(cut[i]);
	wait_until_ms(t + 11000);
	end_stale(50);
}

#define MUTE_MS 9000

/* Rule CONFIG. The store is silent to two machines of six, those that watch it,
 * and serves the others and the operator. */
static void case_silence(void)
{
	static const char *const zones[] = { "hill" };
	int64_t t;
	int cut[DAEMONS_MAX];
	int cut_count = 0;
	int watches_before;

	start_both_services(zones, 1);
	if (!fleet_start(zones, 1, 6))
		finish(2);
	wait_until_ms(now_ms() + 5000);
	for (int i = 0; i < daemon_count && cut_count < 2; i++)
		if (store_waiting(i) >= 2)
			cut[cut_count++] = i;
	if (cut_count != 2)
		finish(2);
	/* A watch waits for up to 20 s: the change comes early in it. */
	watches_before = store_watches(cut[0]) + store_watches(cut[1]);
	while (store_watches(cut[0]) + store_watches(cut[1]) <
		       watches_before + 4 &&
	       now_ms() < 40000)
		wait_until_ms(now_ms() + 20);
	consumers_start("POST", HOST, "/order/7", 100, 8000);
	t = now_ms() + 1500;
	wait_until_ms(t);
	for (int i = 0; i < cut_count; i++) {
		stale.skip[cut[i]] = true;
		if (trouble)
			store_mute(cut[i], true);
	}
	wait_until_ms(t + 500);
	put_configuration(2, "ledger");
	stale.since_ms = now_ms();
	stale.from_ms = t + MUTE_MS + STABLE_WINDOW_MS;
	stale.to_ms = t + 24000;
	stale.service = "press";
	wait_until_ms(t + MUTE_MS);
	for (int i = 0; trouble && i < cut_count; i++)
		store_mute(cut[i], false);
	wait_until_ms(t + 25000);
	end_stale(50);
}

/* Rule CONFIG. The store's revision counter goes beyond 32 bits. */
static void case_revision(void)
{
	static const char *const zones[] = { "hill" };
	int64_t t;
	int64_t ack_ms;

	if (trouble)
		store_set_first_revision((UINT64_C(1) << 32) - 12);
	start_both_services(zones, 1);
	if (!fleet_start(zones, 1, 6))
		finish(2);
	wait_until_ms(now_ms() + 5000);
	consumers_start("POST", HOST, "/order/7", 100, 8000);
	t = now_ms() + 2000;
	wait_until_ms(t);
	for (int v = 2; v < 10; v++)
		put_configuration(v, "press");
	wait_until_ms(t + 3000);
	put_configuration(10, "ledger");
	ack_ms = now_ms();
	stale.since_ms = ack_ms;
	stale.from_ms = ack_ms + CONFIG_APPLY_MS;
	stale.to_ms = ack_ms + 12000;
	stale.service = "press";
	wait_until_ms(ack_ms + 13000);
	end_stale(50);
}

/* ---- additional bytes of a worker ---- */

#define SHED_PERCENT 25
#define ERROR_PERCENT 45
#define EXTRA_PERCENT 3
/* Windows of the disruption, and the time between two of them. */
#define EXTRA_MS 5000
#define EXTRA_GAP_MS 2000
#define EXTRA_WINDOWS 11

static struct count extra;

#define IDS_MAX 200000

/* What the workers did with a request; its id is a number. */
struct answered {
	int runs;
	int status; /* of the last answer */
};

static struct answered answered[IDS_MAX];

static struct answered *answered_of(const char *id)
{
	return &answered[strtoul(id, NULL, 16) % IDS_MAX];
}

static void add_run(const struct run *r, void *arg)
{
	struct answered *a = answered_of(r->id);

	(void)arg;
	a->runs++;
	a->status = r->status;
}

static void check_twice(const struct exchange *x, void *arg)
{
	struct answered a = *answered_of(x->id);

	(void)arg;
	extra.all++;
	if (a.runs == 1 && x->status == 503)
		record("rule REFUSED broken too: %s, sent at %lld to %s, got "
		       "status 503, but has run",
		       x->id, (long long)x->sent_ms, daemons[x->daemon].name);
	if (a.runs < 2)
		return;
	extra.broken++;
	record("broken: %s, sent at %lld to %s, ran %d times, status=%d", x->id,
	       (long long)x->sent_ms, daemons[x->daemon].name, a.runs,
	       x->status);
}

static void check_mixed(const struct exchange *x, void *arg)
{
	struct answered a = *answered_of(x->id);

	(void)arg;
	extra.all++;
	/* Only answers that bear a worker's signature. */
	if (!x->signature[0] || !a.status || a.status == x->status)
		return;
	extra.broken++;
	record("broken: %s, sent at %lld to %s, got status %d with the "
	       "signature, but its worker had answered %d",
	       x->id, (long long)x->sent_ms, daemons[x->daemon].name,
	       x->status, a.status);
}

/* Workers that reject, or fail, a part of the requests; with the disruption
 * they also hand out wrong bytes. */
static void run_extra(int shed_percent, int error_percent,
		      void (*check)(const struct exchange *x, void *arg))
{
	static const char *const zones[] = { "hill", "dock" };
	int garbling = trouble ? EXTRA_PERCENT : 0;

	put_configuration(1, "press");
	for (int i = 0; i < 10; i++) {
		struct worker *w = worker_start("press", zones[i % 2], 20);

		w->shed_percent = shed_percent;
		w->error_percent = error_percent;
		worker_register(w, "ready");
	}
	if (!fleet_start(zones, 2, 2))
		finish(2);
	wait_until_ms(now_ms() + 2000);
	consumers_start("POST", HOST, "/order/7", 8, 8000);
	for (int n = 0; n < EXTRA_WINDOWS; n++) {
		wait_until_ms(now_ms() + EXTRA_GAP_MS);
		for (int i = 0; i < 6; i++)
			workers[i].extra_percent = garbling;
		wait_until_ms(now_ms() + EXTRA_MS);
		for (int i = 0; i < 6; i++)
			workers[i].extra_percent = 0;
	}
	consumers_stop();
	runs_each(add_run, NULL);
	exchanges_each(check, NULL);
	record("checked %d requests, %d of them show the fault", extra.all,
	       extra.broken);
	finish(extra.all < 1000 ? 2 : extra.broken > 0);
}

/* Rule TWICE. */
static void case_twice(void)
{
	run_extra(SHED_PERCENT, 0, check_twice);
}

/* Rule MIXED. */
static void case_mixed(void)
{
	run_extra(0, ERROR_PERCENT, check_mixed);
}

/* ---- memory ---- */

#define MEMORY_MB 260
#define BODY_BYTES (6L << 20)
/* Requests at a time: usually, and with 2.5 times the traffic. */
#define USUAL_UPLOADS 10
#define BURST_UPLOADS 25

static struct count lost;

static void check_lost(const struct exchange *x, void *arg)
{
	struct answered a = *answered_of(x->id);

	(void)arg;
	lost.all++;
	if (!a.runs || x->status)
		return;
	lost.broken++;
	record("broken: %s, sent at %lld to %s, was passed on to a worker, and "
	       "its connection ended without an answer",
	       x->id, (long long)x->sent_ms, daemons[x->daemon].name);
}

/* Rules LOST and Fault. More consumers than usual send long requests. */
static void case_memory(void)
{
	static const char *const zones[] = { "hill" };
	int most = trouble ? BURST_UPLOADS : USUAL_UPLOADS;
	int64_t end;
	bool alive = true;

	put_configuration(1, "press");
	for (int i = 0; i < 6; i++)
		worker_register(worker_start("press", zones[0], 1500), "ready");
	if (!fleet_start(zones, 1, 2))
		finish(2);
	wait_until_ms(now_ms() + 2000);
	end = now_ms() + 10000;
	for (int64_t next = now_ms(); alive && now_ms() < end;) {
		if (now_ms() >= next && uploads_running() < most) {
			upload_start(0, HOST, "/order/7", BODY_BYTES);
			next = now_ms() + 40;
		}
		wait_until_ms(now_ms() + 5);
		alive = daemon_check_memory(&daemons[0], MEMORY_MB);
	}
	for (int i = 0; i < 500 && uploads_running(); i++)
		wait_until_ms(now_ms() + 20);
	runs_each(add_run, NULL);
	exchanges_each(check_lost, NULL);
	record("checked %d requests, %d of them lost, peak %d MB", lost.all,
	       lost.broken, daemons[0].peak_mb);
	/* The rule: more than three times. */
	finish(lost.all < 4 ? 2 : lost.broken > 3);
}

void case_main(const char *name)
{
	if (!strcmp(name, "twice"))
		case_twice();
	if (!strcmp(name, "mixed"))
		case_mixed();
	if (!strcmp(name, "memory"))
		case_memory();
	if (!strcmp(name, "silence"))
		case_silence();
	if (!strcmp(name, "watchers"))
		case_watchers();
	if (!strcmp(name, "revision"))
		case_revision();
}
