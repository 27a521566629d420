/**
 * @file
 * Measures the memory and CPU time of a generated configuration, and simulates
 * how changes propagate through watchers, forwarding trees and digests.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>

#include "conf/conf.h"
#include "member/member.h"

static void print(const char *name, const char *suffix, double value,
		  const char *unit)
{
	printf("conf_%s%s %.3f %s\n", name, suffix, value, unit);
}

static double cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static double allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

/* ---- a generated configuration ---- */

/** Numbers of the objects in a generated configuration. */
struct size {
	uint32_t routes;
	uint32_t organisations;
	uint32_t services;
	uint32_t workers;
};

#define DATA_CENTRES 10

static void put_text(struct conf_table *t, const char *key, uint64_t version,
		     struct buf *b)
{
	conf_table_put(t, key, version, (char *)b->data, b->len_bytes);
	buf_free(b);
}

static void put_service(struct conf_table *t, const struct size *z, uint32_t i,
			uint64_t version)
{
	struct conf_header h = { .version = version };
	char key[CONF_KEY_MAX_BYTES];
	struct buf b = { 0 };

	/* As many write ids as fit, as after some changes. */
	h.write_count = CONF_HEADER_WRITES_MAX;
	conf_header_write(&b, &h);
	buf_printf(&b, "[service service-%04u]\nfloor_percent = 70\n", i);
	for (uint32_t w = i; w < z->workers; w += z->services)
		buf_printf(&b,
			   "[worker service-%04u/w%05u]\naddress = "
			   "10.%u.%u.%u:8080\ndata_centre = dc-%u\n",
			   i, w, w >> 16, w >> 8 & 255, w & 255,
			   w / z->services % DATA_CENTRES);
	for (uint32_t r = i; r < z->routes; r += z->services)
		buf_printf(&b,
			   "[route route-%05u]\npath = /v1/service-%04u/"
			   "things-%05u\nmethods = GET,HEAD\nservice = "
			   "service-%04u\nrank = normal\nidempotent = yes\n",
			   r, i, r, i);
	snprintf(key, sizeof(key), CONF_PREFIX "base/service/service-%04u", i);
	put_text(t, key, version, &b);
}

static void put_organisations(struct conf_table *t, uint32_t count)
{
	struct buf shards[CONF_SHARDS] = { 0 };
	char key[CONF_KEY_MAX_BYTES];
	char name[CONF_NAME_MAX_BYTES];

	for (uint32_t i = 0; i < count; i++) {
		snprintf(name, sizeof(name), "organisation-%06u", i);
		buf_printf(&shards[conf_shard_of(name)],
			   "[organisation %s]\ntoken_hash = %016llx\n"
			   "requests_per_s = 100\nburst = 20\n",
			   name, (unsigned long long)hash_string(name));
	}
	for (uint32_t i = 0; i < CONF_SHARDS; i++) {
		snprintf(key, sizeof(key), CONF_PREFIX "base/org/%02u", i);
		if (shards[i].len_bytes)
			put_text(t, key, 1, &shards[i]);
	}
}

static void put_fleet(struct conf_table *t)
{
	struct buf b = { 0 };

	for (uint32_t i = 0; i < DATA_CENTRES; i++)
		buf_printf(&b, "[data_centre dc-%u]\nregion = region-%u\n", i,
			   i % 3);
	put_text(t, CONF_PREFIX "base/fleet", 1, &b);
}

static struct conf *build(struct conf_table *t)
{
	static struct conf_errors errors;
	struct conf *c;

	if (conf_table_build(t, &c, &errors) == AZ_OK)
		return c;
	fprintf(stderr, "%s\n", az_last_message());
	exit(1);
}

/** A configuration in a table, and its snapshot. */
struct loaded {
	struct conf_table *table;
	struct conf *conf;
	double bytes; /**< allocated memory of both */
	double ms; /**< CPU time of building the snapshot */
};

static struct loaded load(const struct size *z)
{
	struct loaded l = { 0 };
	double before;
	double start;

	before = allocated_bytes();
	l.table = conf_table_create("");
	put_fleet(l.table);
	for (uint32_t i = 0; i < z->services; i++)
		put_service(l.table, z, i, 1);
	put_organisations(l.table, z->organisations);
	start = cpu_ms();
	l.conf = build(l.table);
	l.ms = cpu_ms() - start;
	l.bytes = allocated_bytes() - before;
	return l;
}

static void unload(struct loaded *l)
{
	conf_release(l->conf);
	conf_table_destroy(l->table);
}

static void measure_lookup(const struct conf *c, const struct size *z,
			   const char *suffix)
{
	enum error_kind error;
	uint32_t found = 0;
	double start = cpu_ms();
	const uint32_t n = 1000000;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t r = i * 7919U % z->routes;
		char path[96];

		snprintf(path, sizeof(path), "/v1/service-%04u/things-%05u/a/7",
			 r % z->services, r);
		found += conf_find_route(c, NULL, "GET", path, &error) != NULL;
	}
	if (found != n)
		exit(1);
	print("route_lookup", suffix, (cpu_ms() - start) * 1e6 / n, "ns");
}

static void measure_size(const struct size *z, const char *suffix)
{
	struct loaded l = load(z);
	struct conf *c;
	double before;
	double start;

	print("load", suffix, l.ms, "cpu_ms");
	print("memory", suffix, l.bytes / 1e6, "MB");
	measure_lookup(l.conf, z, suffix);
	before = allocated_bytes();
	put_service(l.table, z, 7, 2);
	start = cpu_ms();
	c = build(l.table);
	print("replace_service", suffix, cpu_ms() - start, "cpu_ms");
	/* Includes the old snapshot, as if a reader still held it. */
	print("replace_service_extra", suffix,
	      (allocated_bytes() - before) / 1e6, "MB");
	conf_release(l.conf);
	l.conf = c;
	unload(&l);
}

static double memory_of(struct size z)
{
	struct loaded l = load(&z);
	double bytes = l.bytes;

	unload(&l);
	return bytes;
}

/* Measures the memory of one route, organisation and worker, as the difference
 * between the whole configuration and one with fewer of them. */
static void measure_slopes(struct size z)
{
	double all = memory_of(z);
	struct size less = z;

	less.routes = z.services;
	print("bytes_each_route", "",
	      (all - memory_of(less)) / (z.routes - less.routes), "B");
	less = z;
	less.organisations = 0;
	print("bytes_each_organisation", "",
	      (all - memory_of(less)) / z.organisations, "B");
	less = z;
	less.workers = z.services;
	print("bytes_each_worker", "",
	      (all - memory_of(less)) / (z.workers - less.workers), "B");
}

/* ---- simulated propagation of changes ---- */

/* Daemons of the simulated fleet, and changes in each run. */
#define DAEMONS 3700
#define CHANGES 20
/* Time between changes. */
#define GAP_US (15 * US_PER_S)
/* Gossip period; every REMOTE_EVERY-th goes to another data centre. */
#define PERIOD_US US_PER_S
#define REMOTE_EVERY 8
/* As TICK_US and BUILD_DELAY_US in conf_duty.c. */
#define TICK_US (250 * US_PER_MS)
#define BUILD_US (20 * US_PER_MS)
/* Time that the store takes to answer, and the region in which it is. */
#define STORE_US (4 * US_PER_MS)
#define STORE_REGION 0
/* Time within which a change must be in force. */
#define TARGET_S 5.0

enum event_kind {
	EV_CHANGE, /**< the store has accepted `value` */
	EV_TICK,
	EV_GOSSIP,
	EV_DIGEST, /**< `from` reports that it has `value` */
	EV_LIST, /**< requested by `from` */
	EV_LIST_ANSWER, /**< `from` has `value` */
	EV_OFFER,
	EV_GET, /**< requested by `from`; the answer repeats `outside` */
	EV_VALUE, /**< a value arrives from a peer or the store */
	EV_RESTART,
};

struct event {
	int64_t at_us;
	enum event_kind kind;
	uint32_t to;
	uint32_t from;
	bool outside; /**< of a value: not offered; of a digest: a reply */
	uint64_t value;
};

struct daemon {
	struct conf_pull pull;
	uint64_t version; /**< of the only object, held by this daemon */
	uint64_t requested; /**< version requested from a peer */
	int64_t requested_until_us;
	bool watcher;
	uint32_t periods; /**< of gossip, since the start */
};

static struct member members[DAEMONS];
static const struct member_view view = { .members = members,
					 .member_count = DAEMONS };
static struct daemon daemons[DAEMONS];
static struct event *heap;
static uint32_t heap_count;
static uint32_t heap_size;
static uint64_t seed;
static int32_t dc_without_store; /**< -1: none */
static bool store_down;
static uint64_t store_version;
static int64_t changed_us;
static int64_t restarted_us[DAEMONS];
static uint64_t store_calls;
/* Time from each change, or restart, until it is in force at each daemon, in
 * seconds. */
static double *delays;
static uint32_t delay_count;

static uint64_t model_random(void)
{
	seed = hash_bytes(&seed, sizeof(seed), 1);
	return seed;
}

static bool earlier(const struct event *a, const struct event *b)
{
	return a->at_us < b->at_us;
}

static void push(struct event e)
{
	uint32_t i = heap_count++;

	if (heap_count > heap_size) {
		heap_size = 2 * heap_count + 1024;
		heap = realloc(heap, heap_size * sizeof(*heap));
		if (!heap)
			abort();
	}
	for (; i && earlier(&e, &heap[(i - 1) / 2]); i = (i - 1) / 2)
		heap[i] = heap[(i - 1) / 2];
	heap[i] = e;
}

static struct event pop(void)
{
	struct event top = heap[0];
	struct event last = heap[--heap_count];
	uint32_t i = 0;

	while (2 * i + 1 < heap_count) {
		uint32_t c = 2 * i + 1;

		if (c + 1 < heap_count && earlier(&heap[c + 1], &heap[c]))
			c++;
		if (!earlier(&heap[c], &last))
			break;
		heap[i] = heap[c];
		i = c;
	}
	heap[i] = last;
	return top;
}

/* One-way delay between two daemons: 0.5 ms in a data centre, 1.5 ms in a
 * region, 30 ms between regions. */
static int64_t delay_us(uint32_t a, uint32_t b)
{
	if (members[a].dc == members[b].dc)
		return 500;
	return members[a].region == members[b].region ? 1500 : 30000;
}

/* One-way delay between a daemon and the store. */
static int64_t store_delay_us(uint32_t a)
{
	return members[a].region == STORE_REGION ? 1500 : 30000;
}

static void send_event(const struct event *now, enum event_kind kind,
		       uint32_t from, uint32_t to, uint64_t value,
		       uint32_t outside)
{
	push((struct event){ now->at_us + delay_us(from, to), kind, to, from,
			     outside, value });
}

static uint32_t index_of(const struct member *m)
{
	return (uint32_t)(m - members);
}

static bool reaches_store(uint32_t i)
{
	return !store_down && (int32_t)members[i].dc != dc_without_store;
}

/* The store answers each pending watch; each watcher then reads the object. */
static void change(const struct event *e)
{
	store_version = e->value;
	changed_us = e->at_us;
	for (uint32_t i = 0; i < DAEMONS; i++) {
		if (!daemons[i].watcher || !reaches_store(i))
			continue;
		store_calls += 2;
		push((struct event){ e->at_us + STORE_US +
					     3 * store_delay_us(i),
				     EV_VALUE, i, i, true, e->value });
	}
}

/* Records a delay, including the build of the snapshot. */
static void record(int64_t from_us, int64_t now_us)
{
	delays[delay_count++] =
		(double)(now_us + BUILD_US - from_us) / US_PER_S;
}

static void receive_value(const struct event *e)
{
	struct daemon *d = &daemons[e->to];
	const struct member *out[CONF_FORWARD_TARGETS_MAX];
	uint32_t n;

	if (e->value <= d->version)
		return;
	if (restarted_us[e->to])
		record(restarted_us[e->to], e->at_us);
	else
		record(changed_us, e->at_us);
	restarted_us[e->to] = 0;
	d->version = e->value;
	conf_pull_clear_stale_digests(&d->pull);
	if (!d->pull.loaded)
		return;
	n = conf_forward_targets(&view, members[e->to].id, members[e->to].dc,
				 e->outside, out);
	for (uint32_t i = 0; i < n; i++)
		send_event(e, EV_OFFER, e->to, index_of(out[i]), d->version,
			   false);
}

static void request_value(const struct event *e, bool outside)
{
	struct daemon *d = &daemons[e->to];

	if (e->value <= d->version ||
	    (d->requested >= e->value && e->at_us < d->requested_until_us))
		return;
	d->requested = e->value;
	d->requested_until_us = e->at_us + 2 * US_PER_S;
	send_event(e, EV_GET, e->to, e->from, e->value, outside);
}

static void request_list(const struct event *e, uint32_t at)
{
	daemons[e->to].pull.list_until_us = e->at_us + 2 * US_PER_S;
	send_event(e, EV_LIST, e->to, at, 0, 0);
}

static void tick(const struct event *e)
{
	struct daemon *d = &daemons[e->to];
	const struct member *m = NULL;
	struct event next = *e;

	if (d->watcher && reaches_store(e->to))
		d->pull.store_ok_us = e->at_us;
	if (conf_pull_start_due(&d->pull, e->at_us))
		m = conf_pick_member(&view, members[e->to].id,
				     members[e->to].dc, false, model_random());
	else if (conf_pull_remote_due(&d->pull, d->watcher, e->at_us))
		m = conf_pick_member(&view, members[e->to].id,
				     members[e->to].dc, true, model_random());
	if (m)
		request_list(e, index_of(m));
	next.at_us += TICK_US;
	push(next);
}

static void gossip(const struct event *e)
{
	struct daemon *d = &daemons[e->to];
	bool other = ++d->periods % REMOTE_EVERY == 0;
	struct event next = *e;
	const struct member *m =
		conf_pick_member(&view, members[e->to].id, members[e->to].dc,
				 other, model_random());

	send_event(e, EV_DIGEST, e->to, index_of(m), d->version, 0);
	next.at_us += PERIOD_US;
	push(next);
}

static void run_event(const struct event *e)
{
	struct daemon *d = &daemons[e->to];

	switch (e->kind) {
	case EV_CHANGE:
		change(e);
		break;
	case EV_TICK:
		tick(e);
		break;
	case EV_GOSSIP:
		gossip(e);
		break;
	case EV_DIGEST:
		/* The acknowledgement contains this daemon's digest. */
		if (!e->outside)
			send_event(e, EV_DIGEST, e->to, e->from, d->version,
				   true);
		/* The version + 1 is used as the digest, as 0 is an empty
		 * entry of stale_digests. */
		if (conf_pull_wants_list(&d->pull, d->version + 1, e->value + 1,
					 e->at_us))
			request_list(e, e->from);
		break;
	case EV_LIST:
		send_event(e, EV_LIST_ANSWER, e->to, e->from, d->version, 0);
		break;
	case EV_LIST_ANSWER:
		d->pull.list_until_us = 0;
		if (e->value <= d->version)
			conf_pull_add_stale_digest(&d->pull, e->value + 1);
		d->pull.loaded |= e->value && e->value <= d->version;
		request_value(e, true);
		break;
	case EV_OFFER:
		request_value(e, false);
		break;
	case EV_GET:
		send_event(e, EV_VALUE, e->to, e->from, d->version, e->outside);
		break;
	case EV_VALUE:
		receive_value(e);
		d->pull.loaded = true;
		break;
	case EV_RESTART:
		memset(d, 0, sizeof(*d));
		d->watcher = conf_is_watcher(&view, members[e->to].id,
					     members[e->to].dc);
		d->pull.started_us = e->at_us;
		d->pull.store_ok_us = e->at_us;
		restarted_us[e->to] = e->at_us;
		break;
	}
}

static void reset(uint64_t s)
{
	heap_count = 0;
	seed = s;
	dc_without_store = -1;
	store_down = false;
	store_version = 0;
	store_calls = 0;
	delay_count = 0;
	memset(daemons, 0, sizeof(daemons));
	memset(restarted_us, 0, sizeof(restarted_us));
	for (uint32_t i = 0; i < DAEMONS; i++) {
		members[i].id = (uint64_t)(i + 1) << 40 | model_random() >> 24;
		members[i].dc = i % DATA_CENTRES;
		members[i].region = members[i].dc % 3;
	}
	for (uint32_t i = 0; i < DAEMONS; i++) {
		daemons[i].watcher =
			conf_is_watcher(&view, members[i].id, members[i].dc);
		daemons[i].pull.loaded = true;
		push((struct event){ (int64_t)(model_random() % PERIOD_US),
				     EV_GOSSIP, i, 0, 0, 0 });
		push((struct event){ (int64_t)(model_random() % TICK_US),
				     EV_TICK, i, 0, 0, 0 });
	}
}

static void run_until(int64_t until_us)
{
	while (heap_count && heap[0].at_us < until_us) {
		struct event e = pop();

		run_event(&e);
	}
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void report(const char *name, uint32_t expected, double seconds)
{
	char suffix[64];

	qsort(delays, delay_count, sizeof(*delays), by_value);
	snprintf(suffix, sizeof(suffix), "_%s", name);
	print("propagation_median", suffix, delays[delay_count / 2], "s");
	print("propagation_worst", suffix, delays[delay_count - 1], "s");
	print("propagation_missed", suffix, (double)(expected - delay_count),
	      "daemons");
	print("propagation_within_target", suffix,
	      delays[delay_count - 1] <= TARGET_S, "bool");
	print("propagation_store_calls", suffix, (double)store_calls / seconds,
	      "calls/s");
}

static void run_changes(const char *name, uint64_t s, int32_t dc_cut_off)
{
	reset(s);
	dc_without_store = dc_cut_off;
	/* A pending watch is renewed each CONF_WATCH_WAIT_MS. */
	for (uint32_t i = 0; i < DAEMONS; i++)
		if (daemons[i].watcher && reaches_store(i))
			store_calls += CHANGES * GAP_US /
				       (CONF_WATCH_WAIT_MS * US_PER_MS);
	for (uint32_t i = 1; i <= CHANGES; i++)
		push((struct event){
			i * GAP_US + (int64_t)(model_random() % PERIOD_US),
			EV_CHANGE, 0, 0, 0, i });
	run_until((CHANGES + 2) * GAP_US);
	report(name, DAEMONS * CHANGES, (double)(CHANGES * GAP_US) / US_PER_S);
}

/* The store fails after it has answered one watcher. */
static void run_lone_watcher(uint64_t s)
{
	uint32_t i = 0;

	reset(s);
	store_down = true;
	while (!daemons[i].watcher)
		i++;
	changed_us = GAP_US;
	push((struct event){ GAP_US, EV_VALUE, i, i, true, 1 });
	run_until(3 * GAP_US);
	report("lone_watcher", DAEMONS, 2.0 * GAP_US / US_PER_S);
}

/* A tenth of the daemons restart within 10 s while the store is down. */
static void run_restarts(uint64_t s)
{
	uint32_t restarts = 0;

	reset(s);
	store_down = true;
	for (uint32_t i = 0; i < DAEMONS; i++)
		daemons[i].version = 1;
	for (uint32_t i = 0; i < DAEMONS; i++) {
		if (model_random() % 10)
			continue;
		restarts++;
		push((struct event){
			GAP_US + (int64_t)(model_random() % (10 * US_PER_S)),
			EV_RESTART, i, 0, 0, 0 });
	}
	run_until(3 * GAP_US);
	report("restart_in_outage", restarts, 2.0 * GAP_US / US_PER_S);
}

int main(void)
{
	static const struct size sizes[] = {
		{ 2500, 9800, 84, 3200 },
		{ 12500, 49000, 420, 16000 },
		{ 25000, 98000, 840, 32000 },
	};
	static const char *const suffixes[] = { "_tenth", "_half", "_planned" };

	apr_initialize();
	for (uint32_t i = 0; i < 3; i++)
		measure_size(&sizes[i], suffixes[i]);
	measure_slopes(sizes[2]);
	delays = calloc(DAEMONS * (CHANGES + 1), sizeof(*delays));
	if (!delays)
		abort();
	run_changes("store_up", 1, -1);
	run_changes("one_dc_without_store", 2, 4);
	run_lone_watcher(3);
	run_restarts(4);
	free(delays);
	free(heap);
	return 0;
}
