#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>
#include <microhttpd.h>
#include <pthread.h>
#include <sched.h>
#include <unistd.h>

#include "conf/conf.h"
#include "member/member.h"

static struct conf_errors errors;

static const char *const base =
	"[data_centre a1]\nregion = a\n"
	"[data_centre b1]\nregion = b\n"
	"[service shop]\nfloor_percent = 60\n"
	"[service bank]\nrank_urgent_share_percent = 40\n"
	"[worker shop/w1]\naddress = 10.0.0.1:80\ndata_centre = a1\n"
	"[worker shop/w2]\naddress = 10.0.0.2:80\ndata_centre = b1\n"
	"[worker bank/w1]\naddress = 10.0.0.3:80\ndata_centre = a1\n"
	"[route list]\npath = /stock/\nmethods = GET, HEAD\nservice = shop\n"
	"idempotent = yes\n"
	"[route order]\npath = /stock\nmethods = POST\nservice = shop\n"
	"[route deep]\npath = /stock/pay\nmethods = POST\nservice = bank\n"
	"rank = urgent\n"
	"[organisation acme]\ntoken = secret\nrequests_per_s = 10\n";

static struct conf *parsed(const char *text, const char *overlay)
{
	struct conf *c;

	conf_parse("base", text, "site", overlay, &c, &errors);
	for (uint32_t i = 0; i < errors.count; i++)
		printf("%s:%d: %s\n", errors.list[i].file, errors.list[i].line,
		       errors.list[i].reason);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	return c;
}

static const char *route_name(const struct conf *c, const char *method,
			      const char *path)
{
	enum error_kind error;
	const struct conf_route *r =
		conf_find_route(c, NULL, method, path, &error);

	return r ? r->name : error_info(error)->name;
}

/* Guards against a lookup that finds the route of a shorter prefix or of
 * another method. */
static void test_longest_prefix_wins(void)
{
	struct conf *c = parsed(base, NULL);

	CU_ASSERT_STRING_EQUAL(route_name(c, "GET", "/stock"), "list");
	CU_ASSERT_STRING_EQUAL(route_name(c, "HEAD", "/stock/1?x=/"), "list");
	CU_ASSERT_STRING_EQUAL(route_name(c, "POST", "/stock/1"), "order");
	CU_ASSERT_STRING_EQUAL(route_name(c, "POST", "/stock/pay/7"), "deep");
	CU_ASSERT_STRING_EQUAL(route_name(c, "POST", "/stock/p%61y"), "deep");
	CU_ASSERT_STRING_EQUAL(route_name(c, "GET", "/stock/pay"),
			       "method-not-allowed");
	CU_ASSERT_STRING_EQUAL(route_name(c, "GET", "/stocks"),
			       "unknown-route");
	CU_ASSERT_STRING_EQUAL(route_name(c, "GET", "/"), "unknown-route");
	conf_release(c);
}

/* Guards against a path that matches an idempotent route but that a worker
 * resolves to a different path, whose handler may not be idempotent. */
static void test_ambiguous_paths_are_refused(void)
{
	static const char *const bad[] = {
		"/stock/../pay", "/stock/%2e%2E/pay", "/stock//pay",
		"/stock/.",	 "/stock/x%2f../pay", "//stock",
		"stock",	 "/stock/..%5cpay",   "",
	};
	struct conf *c = parsed(base, NULL);

	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_STRING_EQUAL(route_name(c, "GET", bad[i]),
				       "unknown-route");
	CU_ASSERT_STRING_EQUAL(route_name(c, "GET", "/stock/a..b"), "list");
	CU_ASSERT_STRING_EQUAL(route_name(c, "GET", "/stock/"), "list");
	conf_release(c);
}

/* Guards against an overlay that changes keys other than those that it sets. */
static void test_overlay_sets_single_keys(void)
{
	struct conf *c = parsed(base, "[service shop]\nhedge = yes\n"
				      "[worker shop/w1]\nslots = 2\n"
				      "[organisation acme]\nburst = 3\n"
				      "[service extra]\n");
	const struct conf_service *s = conf_find_service(c, "shop");
	const struct conf_organisation *o = conf_find_organisation(c, "acme");

	CU_ASSERT_EQUAL(s->floor_percent, 60);
	CU_ASSERT(s->hedge);
	CU_ASSERT_EQUAL(s->worker_count, 2);
	CU_ASSERT_EQUAL(s->workers[0].slots + s->workers[1].slots, 8);
	CU_ASSERT_EQUAL(o->requests_per_s, 10);
	CU_ASSERT_EQUAL(o->burst, 3);
	CU_ASSERT_EQUAL(o->token_hash, hash_secret("secret"));
	CU_ASSERT_EQUAL(conf_service_count(c), 3);
	CU_ASSERT_EQUAL(
		conf_find_service(c, "bank")->ranks[RANK_URGENT].share_percent,
		40);
	CU_ASSERT_PTR_NULL(conf_find_organisation(c, "other"));
	conf_release(c);
}

/* Guards against cells with more workers than the 16 bits of their masks,
 * workers in no cell or in two, and cells that cannot be found by id. */
static void test_cells_hold_every_worker_once(void)
{
	struct buf b = { 0 };
	struct conf *c;
	const struct conf_service *s;
	uint32_t total = 0;

	buf_printf(&b, "[data_centre a1]\nregion = a\n[data_centre b1]\n"
		       "region = b\n[service s]\n");
	for (int32_t i = 0; i < 40; i++)
		buf_printf(&b,
			   "[worker s/w%02d]\naddress = 10.0.0.%d:1\n"
			   "data_centre = %s1\n",
			   i, i + 1, i % 4 ? "a" : "b");
	buf_append(&b, "", 1);
	c = parsed((char *)b.data, NULL);
	s = conf_find_service(c, "s");
	CU_ASSERT_EQUAL(s->cell_count, 3);
	for (uint32_t i = 0; i < s->cell_count; i++) {
		const struct conf_cell *cell = &s->cells[i];

		CU_ASSERT_PTR_EQUAL(conf_find_cell(c, cell->id), cell);
		CU_ASSERT(cell->worker_count >= 10);
		CU_ASSERT(cell->worker_count <= CELL_WORKERS_MAX);
		total += cell->worker_count;
		for (uint32_t w = 0; w < cell->worker_count; w++) {
			CU_ASSERT_EQUAL(cell->workers[w]->cell_bit, w);
			CU_ASSERT_EQUAL(cell->workers[w]->dc, cell->dc);
		}
	}
	CU_ASSERT_EQUAL(total, 40);
	CU_ASSERT_PTR_NULL(conf_find_cell(c, 1));
	conf_release(c);
	buf_free(&b);
}

struct bad_text {
	const char *text;
	int32_t line;
	const char *reason; /**< part of the expected reason */
};

/* Guards against a bad file that is accepted, and an error without its line and
 * reason. */
static void test_each_error_names_line_and_reason(void)
{
	static const struct bad_text bad[] = {
		{ "[colour red]\n", 1, "unknown kind" },
		{ "[service s]\nspeed = 1\n", 2, "unknown key 'speed'" },
		{ "[service s]\nfloor_percent = 101\n", 2, "from 0 to 100" },
		{ "[service s]\nretry_percent = 1x\n", 2, "from 0 to 100" },
		{ "[service s]\nconnections = 99999999999\n", 2, "number" },
		{ "[service s]\nbare = maybe\n", 2, "yes or no" },
		{ "[service s]\n\n[service s]\n", 3, "given twice" },
		{ "[service s]\nbare = yes\nbare = no\n", 3, "given twice" },
		{ "[service s]\nrank_slow_queue_limit = 1\n", 2, "unknown" },
		{ "[service s\n", 1, "without ']'" },
		{ "[service s!]\n", 1, "bad name" },
		{ "bare = yes\n", 1, "no section" },
		{ "[service s]\nbare\n", 2, "not 'key = value'" },
		{ "[rank urgent]\nshare_percent = 90\n", 1, "add up to 130" },
		{ "[rank swift]\n", 1, "is not a rank" },
		{ "[data_centre d]\n", 1, "has no region" },
		{ "[worker s/w]\n", 1, "unknown service" },
		{ "[worker w]\n", 1, "SERVICE/NAME" },
		{ "[service s]\n[worker s/w]\naddress = 10.0.0.1:1\n", 2,
		  "no data_centre" },
		{ "[service s]\n[worker s/w]\naddress = 10.0.0.1:1\n"
		  "data_centre = x\n",
		  4, "expected a [data_centre" },
		{ "[service s]\n[data_centre d]\nregion = r\n"
		  "[worker s/w]\naddress = h:1\ndata_centre = d\n",
		  5, "IP:PORT" },
		{ "[service s]\n[data_centre d]\nregion = r\n"
		  "[worker s/v]\naddress = 10.0.0.1:1\ndata_centre = d\n"
		  "[worker s/w]\naddress = 10.0.0.1:1\ndata_centre = d\n",
		  1, "same address" },
		{ "[route r]\npath = /\nmethods = GET\n", 1, "no service" },
		{ "[route r]\npath = /\nmethods = GET\nservice = s\n", 4,
		  "a service of this" },
		{ "[service s]\n[route r]\nservice = s\nmethods = GET\n", 2,
		  "has no path" },
		{ "[service s]\n[route r]\nservice = s\nmethods = get\n"
		  "path = /\n",
		  4, "methods such as" },
		{ "[service s]\n[route r]\nservice = s\nmethods = GET\n"
		  "path = /a/../b\n",
		  5, "plain path" },
		{ "[organisation o]\ntoken_hash = 12\n", 2, "16 hexa" },
		{ "[service s]\n[route q]\nservice = s\nmethods = GET,PUT\n"
		  "path = /a\n[route r]\nservice = s\nmethods = PUT\n"
		  "path = /a/\n",
		  0, "same path and method" },
	};

	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct conf *c;

		CU_ASSERT_EQUAL(
			conf_parse("f", bad[i].text, NULL, NULL, &c, &errors),
			AZ_INVALID);
		CU_ASSERT_PTR_NULL(c);
		CU_ASSERT_FATAL(errors.count > 0);
		if (errors.list[0].line == bad[i].line &&
		    strstr(errors.list[0].reason, bad[i].reason))
			continue;
		printf("case %u: %d: %s\n", i, errors.list[0].line,
		       errors.list[0].reason);
		CU_FAIL("wrong line or reason");
	}
}

/* Guards against a check that stops at the first error, and against more errors
 * than the list can hold. */
static void test_all_errors_are_counted(void)
{
	struct buf b = { 0 };
	struct conf *c;

	for (int32_t i = 0; i < 100; i++)
		buf_printf(&b, "[service s%d]\nbare = 7\n", i);
	for (int32_t i = 0; i < 1100; i++)
		buf_append(&b, "x", 1);
	buf_append(&b, "", 1);
	conf_parse("f", (char *)b.data, NULL, NULL, &c, &errors);
	CU_ASSERT_EQUAL(errors.count, 101);
	buf_free(&b);
}

/* Guards against a sample file that does not pass the checks. */
static void test_sample_file_is_valid(void)
{
	struct conf *c;

	CU_ASSERT_EQUAL(conf_load_files("conf/sample.ini", NULL, &c, &errors),
			AZ_OK);
	conf_release(c);
	CU_ASSERT_EQUAL(conf_load_files("conf/none.ini", NULL, &c, &errors),
			AZ_IO);
}

/* ---- table of object versions ---- */

static const char *const fleet_text = "[data_centre a1]\nregion = a\n";
static const char *const shop_text =
	"[service shop]\n[worker shop/w1]\naddress = 10.0.0.1:80\n"
	"data_centre = a1\n[worker shop/w2]\naddress = 10.0.0.2:80\n"
	"data_centre = a1\n";

static bool put_text(struct conf_table *t, const char *key, uint64_t version,
		     const char *text)
{
	return conf_table_put(t, key, version, text,
			      text ? (uint32_t)strlen(text) : 0);
}

static struct conf_table *shop_table(void)
{
	struct conf_table *t = conf_table_create("here");

	put_text(t, "azurehold/base/fleet", 3, fleet_text);
	put_text(t, "azurehold/base/service/shop", 5, shop_text);
	return t;
}

static struct conf *built(struct conf_table *t, enum az_status expected)
{
	struct conf *c;

	CU_ASSERT_EQUAL(conf_table_build(t, &c, &errors), expected);
	return c;
}

/* Guards against a configuration that reverts, or a deletion that is undone,
 * when the store or a peer serves an older copy. */
static void test_versions_never_fall(void)
{
	const char *key = "azurehold/base/service/shop";
	struct conf_table *t = shop_table();
	uint64_t digest = conf_table_digest(t);

	CU_ASSERT(!put_text(t, key, 5, "[service shop]\nhedge = yes\n"));
	CU_ASSERT(!put_text(t, key, 4, "[service shop]\n"));
	CU_ASSERT(!put_text(t, "azurehold/status/x", 9, "x"));
	CU_ASSERT_EQUAL(conf_table_digest(t), digest);
	CU_ASSERT(put_text(t, key, 7, NULL));
	CU_ASSERT(!put_text(t, key, 6, shop_text));
	CU_ASSERT(conf_table_find(t, key)->deleted);
	CU_ASSERT_NOT_EQUAL(conf_table_digest(t), digest);
	CU_ASSERT(!conf_table_request(t, key, 7, 0, 10));
	CU_ASSERT(conf_table_request(t, key, 8, 0, 10));
	CU_ASSERT(!conf_table_request(t, key, 8, 9, 20));
	CU_ASSERT(conf_table_request(t, key, 8, 10, 20));
	conf_table_destroy(t);
}

/* Guards against a configuration that fails its checks and replaces the one in
 * force, delays an operator's decision on a worker, or is not checked again
 * when it changes. */
static void test_failed_check_keeps_last_snapshot(void)
{
	struct conf_table *t = shop_table();
	struct conf *first = built(t, AZ_OK);
	struct conf *c;
	const struct conf_service *s;

	CU_ASSERT_PTR_NOT_NULL_FATAL(first);
	put_text(t, "azurehold/base/service/bank", 1,
		 "[service bank]\nbare = 7\n");
	CU_ASSERT_PTR_NULL(built(t, AZ_INVALID));
	put_text(t, "azurehold/operator/shop", 1,
		 "[worker shop/w2]\nadmin = ejected\n[worker shop/gone]\n"
		 "admin = draining\n");
	c = built(t, AZ_INVALID);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	s = conf_find_service(c, "shop");
	CU_ASSERT_EQUAL(s->workers[0].admin, WORKER_IN_SERVICE);
	CU_ASSERT_EQUAL(s->workers[1].admin, WORKER_EJECTED);
	CU_ASSERT_PTR_NULL(conf_find_service(c, "bank"));
	conf_release(c);
	put_text(t, "azurehold/base/service/bank", 2, "[service bank]\n");
	c = built(t, AZ_OK);
	CU_ASSERT_PTR_NOT_NULL(conf_find_service(c, "bank"));
	CU_ASSERT_EQUAL(conf_digest(c), conf_table_store_digest(t));
	conf_release(c);
	conf_release(first);
	conf_table_destroy(t);
}

/* Guards against a restarted daemon without a configuration because the newest
 * one fails its checks: it must use what is in force at its peers. */
static void test_start_uses_what_is_in_force_at_peers(void)
{
	struct conf_table *t = conf_table_create("here");
	const char *key = "azurehold/base/service/shop";
	struct conf *c;

	conf_table_put_in_force(t, key, 5, shop_text,
				(uint32_t)strlen(shop_text));
	put_text(t, key, 6, "[service shop]\nbare = 7\n");
	conf_table_put_in_force(t, "azurehold/base/fleet", 3, fleet_text,
				(uint32_t)strlen(fleet_text));
	put_text(t, "azurehold/base/fleet", 3, fleet_text);
	c = built(t, AZ_INVALID);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	CU_ASSERT_EQUAL(conf_find_service(c, "shop")->worker_count, 2);
	conf_release(c);
	conf_table_destroy(t);
}

/* Guards against a change that rebuilds services which it does not touch, and
 * against changes that are not noticed: overlays, leaving VMs, deletions. */
static void test_change_rebuilds_its_component_only(void)
{
	struct conf_table *t = shop_table();
	struct conf *a;
	struct conf *b;

	put_text(t, "azurehold/base/service/bank", 1, "[service bank]\n");
	a = built(t, AZ_OK);
	put_text(t, "azurehold/site/here/service/bank", 1,
		 "[service bank]\nhedge = yes\n");
	put_text(t, "azurehold/site/there/service/shop", 1,
		 "[service shop]\nhedge = yes\n");
	b = built(t, AZ_OK);
	CU_ASSERT_PTR_EQUAL(conf_find_service(a, "shop"),
			    conf_find_service(b, "shop"));
	CU_ASSERT(!conf_find_service(a, "bank")->hedge);
	CU_ASSERT(conf_find_service(b, "bank")->hedge);
	CU_ASSERT(!conf_find_service(b, "shop")->hedge);
	conf_release(a);
	put_text(t, CONF_LEAVING_KEY, 1, "10.0.0.1\n10.0.0.22\n");
	put_text(t, "azurehold/base/service/bank", 2, NULL);
	a = built(t, AZ_OK);
	CU_ASSERT_PTR_NULL(conf_find_service(a, "bank"));
	CU_ASSERT_EQUAL(conf_find_service(a, "shop")->workers[0].admin,
			WORKER_DRAINING);
	CU_ASSERT_EQUAL(conf_find_service(a, "shop")->workers[1].admin,
			WORKER_IN_SERVICE);
	CU_ASSERT_EQUAL(conf_find_service(b, "shop")->workers[0].admin,
			WORKER_IN_SERVICE);
	conf_release(a);
	conf_release(b);
	conf_table_destroy(t);
}

/* ---- watchers, forwarding and pulling ---- */

#define MEMBERS 400

static struct member members[MEMBERS];
static struct member_view view = { .members = members };

static void make_view(uint32_t count, uint32_t dcs)
{
	memset(members, 0, sizeof(members));
	view.member_count = count;
	for (uint32_t i = 0; i < count; i++) {
		members[i].id = (uint64_t)i * 1000 + 7;
		members[i].dc = i % dcs;
	}
}

/* Guards against a data centre without watchers, and one with so many that they
 * exceed the store's rate limits. */
static void test_two_watchers_each_data_centre(void)
{
	uint32_t watchers = 0;

	make_view(60, 3);
	for (uint32_t i = 0; i < 60; i++)
		watchers += conf_is_watcher(&view, members[i].id, i % 3);
	CU_ASSERT_EQUAL(watchers, 6);
	for (uint32_t i = 0; i < 60; i++)
		members[i].stopping = i > 2;
	CU_ASSERT(conf_is_watcher(&view, members[0].id, 0));
	/* A daemon that its own view does not list yet can be a watcher too. */
	make_view(1, 1);
	CU_ASSERT(conf_is_watcher(&view, 5, 0));
}

/* Number of members of data centre 0 that a change reaches if member `from`
 * starts forwarding it and member `dead` forwards nothing. */
static uint32_t reach(uint32_t from, uint32_t dead)
{
	const struct member *out[CONF_FORWARD_TARGETS_MAX];
	static bool reached[MEMBERS];
	uint32_t queue[MEMBERS] = { from };
	uint32_t count = 1;

	memset(reached, 0, sizeof(reached));
	reached[from] = true;
	for (uint32_t i = 0; i < count; i++) {
		uint32_t n;

		if (queue[i] == dead)
			continue;
		n = conf_forward_targets(&view, members[queue[i]].id, 0, !i,
					 out);
		CU_ASSERT(n <= CONF_FORWARD_TARGETS_MAX);
		for (uint32_t j = 0; j < n; j++) {
			uint32_t to = (uint32_t)(out[j] - members);

			CU_ASSERT_EQUAL(members[to].dc, 0);
			if (!reached[to])
				queue[count++] = to;
			reached[to] = true;
		}
	}
	return count;
}

/* Guards against members that the forwarding trees do not reach, also when one
 * member has just died. */
static void test_forwarding_reaches_all(void)
{
	for (uint32_t count = 2; count <= 400; count += 199) {
		make_view(count, 2);
		for (uint32_t i = 0; i < count; i += 2)
			CU_ASSERT_EQUAL(reach(i, MEMBERS), (count + 1) / 2);
	}
	for (uint32_t i = 2; i < 400; i += 2)
		CU_ASSERT_EQUAL(reach(0, i), 200);
}

/* Guards against a daemon that requests a list for the same digest again and
 * again, or never again, and a back-off that is too short or too long. */
static void test_pull_and_backoff(void)
{
	struct conf_pull a = { .list_until_us = 5 };

	CU_ASSERT(!conf_pull_wants_list(&a, 1, 2, 4));
	CU_ASSERT(conf_pull_wants_list(&a, 1, 2, 5));
	CU_ASSERT(!conf_pull_wants_list(&a, 2, 2, 5));
	conf_pull_add_stale_digest(&a, 2);
	CU_ASSERT(!conf_pull_wants_list(&a, 1, 2, 5));
	conf_pull_clear_stale_digests(&a);
	CU_ASSERT(conf_pull_wants_list(&a, 1, 2, 5));
	CU_ASSERT(conf_pull_start_due(&a, 0));
	CU_ASSERT(!conf_pull_start_due(&a, 1));
	CU_ASSERT(conf_pull_start_due(&a, US_PER_S));
	a.loaded = true;
	CU_ASSERT(!conf_pull_start_due(&a, 9 * US_PER_S));
	CU_ASSERT(!conf_pull_remote_due(&a, true, 2 * US_PER_S));
	CU_ASSERT(!conf_pull_remote_due(&a, false, 9 * US_PER_S));
	CU_ASSERT(conf_pull_remote_due(&a, true, 9 * US_PER_S));
	CU_ASSERT(!conf_pull_remote_due(&a, true, 9 * US_PER_S));
	for (uint32_t n = 1; n < 40; n++) {
		CU_ASSERT(conf_backoff_us(n, random_u64()) >= 100 * US_PER_MS);
		CU_ASSERT(conf_backoff_us(n, random_u64()) <= 10 * US_PER_S);
	}
}

/* Guards against records that are not read as they were written, and malformed
 * records that are accepted. */
static void test_wire_texts(void)
{
	static const char *const bad[] = {
		"object k 1 0 9\nabc", "object k 1 2 0\n",  "x k 1 0 0\n",
		"object k x 0 0\n",    "object k 1 0 0",    "\n",
		"object k 1 0 0 z\n",  "object k 1 0 -1\n",
	};
	struct conf_table *t = shop_table();
	uint64_t none[CONF_BUCKETS] = { 0 };
	struct conf_list_head h;
	struct conf_record r;
	struct buf b = { 0 };
	struct buf v = { 0 };
	const char *at;
	const char *end;

	conf_buckets_write(&b, t);
	at = (char *)b.data;
	CU_ASSERT_EQUAL(conf_list_read(&at, at + b.len_bytes, &h), AZ_OK);
	CU_ASSERT(!h.is_offer);
	buf_free(&b);
	conf_list_answer(&b, t, h.buckets);
	CU_ASSERT_EQUAL(b.len_bytes, 0);
	conf_list_answer(&b, t, none);
	at = (char *)b.data;
	conf_get_answer(&v, t, at, at + b.len_bytes, 1U << 20);
	at = (char *)v.data;
	end = at + v.len_bytes;
	CU_ASSERT_FATAL(conf_record_read(&at, end, &r));
	CU_ASSERT_STRING_EQUAL(r.key, "azurehold/base/fleet");
	CU_ASSERT_EQUAL(r.version, 3);
	CU_ASSERT_EQUAL(r.len_bytes, strlen(fleet_text));
	CU_ASSERT(!memcmp(r.text, fleet_text, r.len_bytes));
	CU_ASSERT(conf_record_read(&at, end, &r));
	CU_ASSERT(!conf_record_read(&at, end, &r));
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		at = bad[i];
		CU_ASSERT(!conf_record_read(&at, at + strlen(at), &r));
	}
	at = "buckets\n1\n2\n";
	CU_ASSERT_EQUAL(conf_list_read(&at, at + 12, &h), AZ_INVALID);
	buf_free(&b);
	buf_free(&v);
	conf_table_destroy(t);
}

/* ---- splitting and planning ---- */

static struct ini_doc *read_doc(const char *a, const char *b)
{
	struct ini_doc *d = ini_doc_create();

	ini_doc_read(d, "a", a, &errors);
	if (b)
		ini_doc_read(d, "b", b, &errors);
	return d;
}

static const char *split_text(const struct conf_split_object *l, uint32_t n,
			      const char *key)
{
	for (uint32_t i = 0; i < n; i++)
		if (!strcmp(l[i].key, key))
			return (char *)l[i].text.data;
	return "";
}

static void add_stored(struct store_list *l, const char *key, uint64_t version,
		       const char *text)
{
	struct conf_header h = { version, false, 1, { 1 } };
	struct store_object *o;

	l->objects = realloc(l->objects, (l->count + 1) * sizeof(*l->objects));
	o = &l->objects[l->count++];
	memset(o, 0, sizeof(*o));
	strcpy(o->key, key);
	o->revision = version;
	o->version = version;
	conf_header_write(&o->value, &h);
	buf_append(&o->value, text, (uint32_t)strlen(text) + 1);
	o->value.len_bytes--;
}

static uint32_t count_token_hashes(const struct conf_split_object *l,
				   uint32_t n, uint64_t hash)
{
	char line[64];
	uint32_t found = 0;

	snprintf(line, sizeof(line), "token_hash = %016llx\n",
		 (unsigned long long)hash);
	for (uint32_t i = 0; i < n; i++)
		found += strstr((char *)l[i].text.data, line) != NULL;
	return found;
}

/* Guards against an apply that writes unchanged objects, stores tokens in
 * clear, puts the route of an overlay into the wrong object, or does not delete
 * removed objects. */
static void test_split_and_plan(void)
{
	struct ini_doc *d = read_doc(base, "[route list]\ndeadline_ms = 5\n");
	struct store_list stored = { 0 };
	struct store_list known = { 0 };
	struct conf_split_object *l;
	struct conf_planned_write *s;
	uint32_t n;

	CU_ASSERT_EQUAL(conf_split(d, "x", &l, &n), AZ_OK);
	CU_ASSERT_EQUAL(n, 1);
	CU_ASSERT_STRING_EQUAL(
		split_text(l, n, "azurehold/site/x/service/shop"),
		"[route list]\ndeadline_ms = 5\n");
	conf_split_free(l, n);
	ini_doc_destroy(d);
	d = read_doc(base, NULL);
	CU_ASSERT_EQUAL(conf_split(d, NULL, &l, &n), AZ_OK);
	CU_ASSERT_EQUAL(n, 4);
	for (uint32_t i = 0; i < n; i++)
		CU_ASSERT_PTR_NULL(strstr((char *)l[i].text.data, "secret"));
	/* The hash must be the one that the front computes from a token. */
	CU_ASSERT_EQUAL(count_token_hashes(l, n, hash_secret("secret")), 1);
	add_stored(&stored, "azurehold/base/service/shop", 4,
		   split_text(l, n, "azurehold/base/service/shop"));
	add_stored(&stored, "azurehold/base/service/bank", 6,
		   "[service bank]\n");
	add_stored(&stored, "azurehold/base/service/old", 8, "[service old]\n");
	add_stored(&stored, "azurehold/site/x/service/old", 9,
		   "[service old]\n");
	CU_ASSERT_EQUAL(
		conf_plan_writes(&stored, NULL, "azurehold/base/", l, n, &s),
		4);
	CU_ASSERT_STRING_EQUAL(s[0].key, "azurehold/base/fleet");
	CU_ASSERT_EQUAL(s[0].if_revision, 0);
	CU_ASSERT_STRING_EQUAL(s[1].key, "azurehold/base/service/bank");
	CU_ASSERT_EQUAL(s[1].if_revision, 6);
	CU_ASSERT_STRING_EQUAL(s[3].key, "azurehold/base/service/old");
	CU_ASSERT(s[3].deleted);
	CU_ASSERT_EQUAL(conf_check_sites(&stored, s, 4, &errors), AZ_OK);
	free(s);
	/* The store was restored from a backup: daemons hold newer versions,
	 * and an object that the store has lost. */
	add_stored(&known, "azurehold/base/service/shop", 19, "");
	add_stored(&known, "azurehold/base/service/lost", 17, "");
	add_stored(&known, "azurehold/site/x/service/lost", 17, "");
	CU_ASSERT_EQUAL(
		conf_plan_writes(&stored, &known, "azurehold/base/", l, n, &s),
		6);
	CU_ASSERT_STRING_EQUAL(s[2].key, "azurehold/base/service/shop");
	CU_ASSERT_EQUAL(s[2].highest_known_version, 19);
	CU_ASSERT_STRING_EQUAL(s[4].key, "azurehold/base/service/lost");
	CU_ASSERT(s[4].deleted);
	CU_ASSERT_EQUAL(s[4].if_revision, 0);
	free(s);
	store_list_free(&known);
	add_stored(&stored, "azurehold/site/y/service/shop", 2,
		   "[worker shop/w9]\nslots = 2\n");
	CU_ASSERT_EQUAL(conf_check_sites(&stored, NULL, 0, &errors),
			AZ_INVALID);
	conf_split_free(l, n);
	store_list_free(&stored);
	ini_doc_destroy(d);
}

/* Guards against a header line that is not read as it was written, and a
 * malformed one that sets a version or marks an object as deleted. */
static void test_header_lines(void)
{
	static const char *const bad[] = {
		"",
		"[service s]\n",
		"; azurehold write=0000000000000001\n",
		"; azurehold version= writes=0000000000000001\n",
		"; azurehold version=-1 writes=0000000000000001\n",
		"; azurehold version=0 writes=0000000000000001\n",
		"; azurehold version=99999999999999999 writes=0000000000000001\n",
		"; azurehold version=5 writes=\n",
		"; azurehold version=5 writes=1\n",
		"; azurehold version=5 writes=0000000000000001,\n",
		"; azurehold version=5 writes=0000000000000001 removed\n",
		"; azurehold version=5 writes=0000000000000001",
	};
	struct conf_header h = { 0 };
	struct conf_header back;
	struct buf b = { 0 };

	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT(!conf_header_parse(bad[i], &back));
		CU_ASSERT_EQUAL(back.version, CONF_VERSION_UNMARKED);
		CU_ASSERT(!back.deleted);
		CU_ASSERT_EQUAL(back.writes[0], 0);
	}
	for (uint64_t id = 1; id < 12; id++) {
		h = conf_header_next(&h, id, 100 + id, id % 2);
		buf_free(&b);
		conf_header_write(&b, &h);
		CU_ASSERT(b.len_bytes <= CONF_HEADER_MAX_BYTES);
		buf_append(&b, "", 1);
		CU_ASSERT(conf_header_parse((char *)b.data, &back));
		CU_ASSERT_EQUAL(back.version, h.version);
		CU_ASSERT_EQUAL(back.deleted, h.deleted);
		CU_ASSERT_EQUAL(back.write_count, h.write_count);
		CU_ASSERT(!memcmp(h.writes, back.writes, sizeof(h.writes)));
		CU_ASSERT_EQUAL(back.writes[0], id);
		CU_ASSERT_EQUAL(back.write_count,
				id < CONF_HEADER_WRITES_MAX ?
					id :
					CONF_HEADER_WRITES_MAX);
	}
	buf_free(&b);
}

/* Guards against a version that is used a second time after the store was
 * restored, and one that falls because an operator's clock is slow. */
static void test_next_versions(void)
{
	CU_ASSERT_EQUAL(conf_next_version(7, 1000), 1000);
	CU_ASSERT_EQUAL(conf_next_version(1000, 1000), 1001);
	CU_ASSERT_EQUAL(conf_next_version(5000, 1000), 5001);
	CU_ASSERT(conf_wall_ms() > 1700000000000ULL);
	CU_ASSERT(conf_wall_ms() < CONF_VERSION_MAX);
}

/* Guards against a write that is reported as refused though it took effect or
 * still may, and a refused write that is reported as accepted. */
static void test_write_outcomes(void)
{
	struct conf_header none = { 0 };
	struct conf_header base = { 5, false, 1, { 1 } };
	struct conf_header by_hand = { 1, false, 1, { 0 } };
	struct conf_header own = conf_header_next(&base, 2, 6, false);
	struct conf_header later = conf_header_next(&own, 3, 7, false);
	struct conf_header other = conf_header_next(&base, 4, 6, false);
	struct conf_header first = conf_header_next(&none, 4, 6, false);
	struct conf_header after_by_hand =
		conf_header_next(&by_hand, 4, 6, false);
	struct conf_header own_dropped = own;
	struct conf_header first_dropped = first;

	for (uint64_t id = 10; id < 18; id++) {
		own_dropped = conf_header_next(&own_dropped, id, id, false);
		first_dropped = conf_header_next(&first_dropped, id, id, false);
	}
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&base, 3, &own, 4, 2),
			WRITE_ACCEPTED);
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&base, 3, &later, 5, 2),
			WRITE_ACCEPTED);
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&base, 3, &other, 4, 2),
			WRITE_REFUSED);
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&base, 3, &base, 3, 2),
			WRITE_UNCHANGED);
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&none, 0, &none, 0, 2),
			WRITE_UNCHANGED);
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&none, 0, &first, 4, 2),
			WRITE_REFUSED);
	/* Later writes have pushed the id out of the header line. */
	CU_ASSERT_EQUAL(
		conf_determine_write_outcome(&base, 3, &own_dropped, 12, 2),
		WRITE_UNKNOWN);
	CU_ASSERT_EQUAL(
		conf_determine_write_outcome(&none, 0, &first_dropped, 12, 2),
		WRITE_UNKNOWN);
	/* The store was restored, or the object is gone. */
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&base, 3, &base, 2, 2),
			WRITE_UNKNOWN);
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&base, 3, &other, 3, 2),
			WRITE_UNKNOWN);
	CU_ASSERT_EQUAL(conf_determine_write_outcome(&base, 3, &none, 0, 2),
			WRITE_UNKNOWN);
	/* A write by hand hides the writes before it. */
	CU_ASSERT_EQUAL(
		conf_determine_write_outcome(&base, 3, &after_by_hand, 5, 2),
		WRITE_UNKNOWN);
	CU_ASSERT_EQUAL(
		conf_determine_write_outcome(&none, 0, &after_by_hand, 5, 2),
		WRITE_UNKNOWN);
	CU_ASSERT_EQUAL(
		conf_determine_write_outcome(&by_hand, 3, &after_by_hand, 4, 2),
		WRITE_UNKNOWN);
}

/* Guards against a route that is in no service while it is moved to another
 * one. After the first of the two writes, the objects must fail their checks,
 * so that the old configuration stays in force. */
static void test_moved_route_is_never_absent(void)
{
	struct conf_table *t = conf_table_create("");
	const char *route = "path = /r\nmethods = GET\n";
	char with[2][200];
	const char *keys[] = { "azurehold/base/service/p",
			       "azurehold/base/service/q" };
	struct conf_split_object want[2] = { 0 };
	struct store_list stored = { 0 };
	struct conf_planned_write *s;
	struct conf *c;

	for (int32_t i = 0; i < 2; i++)
		snprintf(with[i], sizeof(with[i]),
			 "[service %c]\n[route r%c]\nservice = %c\n%s", 'p' + i,
			 'p' + i, 'p' + i, route);
	add_stored(&stored, keys[0], 1, with[0]);
	add_stored(&stored, keys[1], 1, "[service q]\n");
	put_text(t, keys[0], 1, with[0]);
	put_text(t, keys[1], 1, "[service q]\n");
	conf_release(built(t, AZ_OK));
	strcpy(want[0].key, keys[0]);
	buf_append(&want[0].text, "[service p]\n", 13);
	strcpy(want[1].key, keys[1]);
	buf_append(&want[1].text, with[1], (uint32_t)strlen(with[1]) + 1);
	CU_ASSERT_EQUAL(
		conf_plan_writes(&stored, NULL, "azurehold/base/", want, 2, &s),
		2);
	put_text(t, s[0].key, 2, s[0].text);
	CU_ASSERT_PTR_NULL(built(t, AZ_INVALID));
	put_text(t, s[1].key, 2, s[1].text);
	c = built(t, AZ_OK);
	CU_ASSERT_STRING_EQUAL(route_name(c, "GET", "/r"), "rq");
	conf_release(c);
	free(s);
	buf_free(&want[0].text);
	buf_free(&want[1].text);
	store_list_free(&stored);
	conf_table_destroy(t);
}

/* Guards against an operator's decision on one worker that removes those on
 * others. */
static void test_decisions_are_merged(void)
{
	struct buf a = { 0 };
	struct buf b = { 0 };

	conf_set_worker_admin(NULL, "s/w1", WORKER_DRAINING, &a);
	conf_set_worker_admin((char *)a.data, "s/w2", WORKER_EJECTED, &b);
	CU_ASSERT_EQUAL(conf_get_worker_admin((char *)b.data, "s/w1"),
			WORKER_DRAINING);
	CU_ASSERT_EQUAL(conf_get_worker_admin((char *)b.data, "s/w2"),
			WORKER_EJECTED);
	buf_free(&a);
	conf_set_worker_admin((char *)b.data, "s/w1", WORKER_IN_SERVICE, &a);
	CU_ASSERT_EQUAL(conf_get_worker_admin((char *)a.data, "s/w1"),
			WORKER_IN_SERVICE);
	CU_ASSERT_EQUAL(conf_get_worker_admin((char *)a.data, "s/w2"),
			WORKER_EJECTED);
	buf_free(&a);
	buf_free(&b);
}

/* ---- a stand-in for the store ---- */

/* Objects that the stand-in can hold. */
#define FAKE_MAX 32

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	/** `version` is the store's Object-Version; `revision` is not used. */
	struct store_object objects[FAKE_MAX];
	uint32_t count;
	uint64_t revision;
	bool down;
	bool lose_reply; /**< of the next write, which takes effect */
	uint32_t ignore_writes; /**< drop so many writes without effect */
	uint32_t writes_after; /**< by others, after a write without reply */
	uint64_t vms_revision;
	bool vm_leaving;
	struct MHD_Daemon *daemon;
	char url[64];
} fake = { .lock = PTHREAD_MUTEX_INITIALIZER,
	   .changed = PTHREAD_COND_INITIALIZER };

static struct store_object *fake_find(const char *key)
{
	for (uint32_t i = 0; i < fake.count; i++)
		if (!strcmp(fake.objects[i].key, key))
			return &fake.objects[i];
	return NULL;
}

/* Sets the whole value of an object, under a new revision. Called with the lock
 * held. */
static void fake_set(const char *key, const char *text, uint32_t len)
{
	struct store_object *o = fake_find(key);

	if (!o) {
		o = &fake.objects[fake.count++];
		strcpy(o->key, key);
	}
	buf_free(&o->value);
	buf_append(&o->value, text, len);
	o->version = ++fake.revision;
	pthread_cond_broadcast(&fake.changed);
}

/* Writes an object by hand, without a header line unless `text` has one. */
static void fake_store(const char *key, const char *text)
{
	pthread_mutex_lock(&fake.lock);
	fake_set(key, text, (uint32_t)strlen(text));
	pthread_mutex_unlock(&fake.lock);
}

/* Writes an object as azhctl does, with a header line. Called with the lock
 * held. */
static void fake_write(const char *key, uint64_t write_id, uint64_t version,
		       const char *text)
{
	const struct store_object *o = fake_find(key);
	struct conf_header h = { 0 };
	struct buf b = { 0 };

	if (o) {
		struct buf old = { 0 };

		buf_append(&old, o->value.data, o->value.len_bytes);
		buf_append(&old, "", 1);
		conf_header_parse((char *)old.data, &h);
		buf_free(&old);
	}
	h = conf_header_next(&h, write_id, version, false);
	conf_header_write(&b, &h);
	buf_append(&b, text, (uint32_t)strlen(text));
	fake_set(key, (char *)b.data, b.len_bytes);
	buf_free(&b);
}

/* The same without the lock held; the version is the write id too. */
static void fake_store_version(const char *key, uint64_t version,
			       const char *text)
{
	pthread_mutex_lock(&fake.lock);
	fake_write(key, version, version, text);
	pthread_mutex_unlock(&fake.lock);
}

static void fake_list(struct buf *out, const char *name, uint64_t after)
{
	const char *comma = "";

	buf_printf(out, "{\"revision\":%llu,\"%s\":[",
		   (unsigned long long)fake.revision, name);
	for (uint32_t i = 0; i < fake.count; i++) {
		if (fake.objects[i].version <= after)
			continue;
		buf_printf(out, "%s{\"key\":\"%s\",\"version\":%llu}", comma,
			   fake.objects[i].key,
			   (unsigned long long)fake.objects[i].version);
		comma = ",";
	}
	buf_printf(out, "]}");
}

static uint64_t argument(struct MHD_Connection *c, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);

	return v ? strtoull(v, NULL, 10) : 0;
}

static void fake_watch(struct MHD_Connection *c, struct buf *out)
{
	uint64_t after = argument(c, "after");
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(argument(c, "wait_ms") / 1000);
	while (fake.revision <= after && !fake.down &&
	       !pthread_cond_timedwait(&fake.changed, &fake.lock, &until))
		;
	fake_list(out, "changed", after);
}

static uint32_t fake_put(struct MHD_Connection *c, const char *key,
			 const struct buf *body, uint64_t *version)
{
	const char *match =
		MHD_lookup_connection_value(c, MHD_HEADER_KIND, "If-Match");
	struct store_object *o = fake_find(key);

	if (match ? !o || o->version != strtoull(match, NULL, 10) : !!o)
		return 412;
	fake_set(key, (char *)body->data, body->len_bytes);
	*version = fake.revision;
	for (uint32_t i = 0; fake.lose_reply && i < fake.writes_after; i++)
		fake_write(key, 0x1000 + fake.revision, 100 + i, "other\n");
	return 200;
}

static uint32_t fake_answer(struct MHD_Connection *c, const char *path,
			    const char *method, const struct buf *body,
			    struct buf *out, uint64_t *version)
{
	const struct store_object *o;

	if (!strcmp(path, "/v1/objects")) {
		fake_list(out, "objects", 0);
	} else if (!strcmp(path, "/v1/watch")) {
		fake_watch(c, out);
	} else if (!strcmp(path, "/v1/vms")) {
		const char *known = MHD_lookup_connection_value(
			c, MHD_HEADER_KIND, "If-None-Match");

		if (known && strtoull(known + 1, NULL, 10) == fake.vms_revision)
			return 304;
		buf_printf(out,
			   "{\"revision\":%u,\"vms\":[{\"name\":\"a\","
			   "\"ip\":\"10.0.0.2\",\"state\":\"%s\"}]}",
			   (uint32_t)fake.vms_revision,
			   fake.vm_leaving ? "leaving" : "live");
	} else if (!strcmp(method, "PUT")) {
		return fake_put(c, path + 12, body, version);
	} else {
		o = fake_find(path + 12);
		if (!o)
			return 404;
		buf_append(out, o->value.data, o->value.len_bytes);
		*version = o->version;
	}
	return 200;
}

static enum MHD_Result fake_handle(void *cls, struct MHD_Connection *c,
				   const char *path, const char *method,
				   const char *http, const char *data,
				   size_t *data_bytes, void **state)
{
	struct buf *body = *state;
	struct MHD_Response *r;
	struct buf out = { 0 };
	uint64_t version = 0;
	enum MHD_Result done = MHD_NO;
	char text[32];
	uint32_t status;

	(void)cls;
	(void)http;
	if (!body) {
		*state = calloc(1, sizeof(*body));
		return MHD_YES;
	}
	if (*data_bytes) {
		buf_append(body, data, (uint32_t)*data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&fake.lock);
	if (fake.ignore_writes && !strcmp(method, "PUT")) {
		fake.ignore_writes--;
		pthread_mutex_unlock(&fake.lock);
		return MHD_NO;
	}
	status = fake.down ? 503 :
			     fake_answer(c, path, method, body, &out, &version);
	if (!fake.lose_reply || strcmp(method, "PUT") != 0) {
		r = MHD_create_response_from_buffer(out.len_bytes, out.data,
						    MHD_RESPMEM_MUST_COPY);
		snprintf(text, sizeof(text), "%llu",
			 (unsigned long long)version);
		MHD_add_response_header(r, "Object-Version", text);
		done = MHD_queue_response(c, status, r);
		MHD_destroy_response(r);
	} else {
		fake.lose_reply = false;
	}
	pthread_mutex_unlock(&fake.lock);
	buf_free(&out);
	return done;
}

static void fake_completed(void *cls, struct MHD_Connection *c, void **state,
			   enum MHD_RequestTerminationCode why)
{
	(void)cls;
	(void)c;
	(void)why;
	if (*state)
		buf_free(*state);
	free(*state);
	*state = NULL;
}

static void fake_start(void)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	fake.vms_revision = 9;
	fake.vm_leaving = true;
	fake.daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		0, NULL, NULL, fake_handle, NULL, MHD_OPTION_SOCK_ADDR, &at,
		MHD_OPTION_NOTIFY_COMPLETED, fake_completed, NULL,
		MHD_OPTION_END);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake.daemon);
	snprintf(fake.url, sizeof(fake.url), "http://127.0.0.1:%u",
		 MHD_get_daemon_info(fake.daemon, MHD_DAEMON_INFO_BIND_PORT)
			 ->port);
}

static void fake_stop(void)
{
	MHD_stop_daemon(fake.daemon);
	for (uint32_t i = 0; i < fake.count; i++)
		buf_free(&fake.objects[i].value);
	memset(fake.objects, 0, sizeof(fake.objects));
	fake.count = 0;
	fake.revision = 0;
	fake.down = false;
	fake.ignore_writes = 0;
	fake.writes_after = 0;
}

static struct store_write new_write(uint64_t if_revision, uint64_t base_id,
				    uint64_t id)
{
	struct store_write w = { .key = "k",
				 .if_revision = if_revision,
				 .write_id = id,
				 .version = id,
				 .text = "text\n" };

	w.base.write_count = base_id > 0;
	w.base.writes[0] = base_id;
	return w;
}

/* Guards against a lost reply that is taken for a conflict or leads to a second
 * write, and a conflict that is reported without the id of the other write. */
static void test_conditional_updates(void)
{
	struct store_object o;
	struct store_write w;
	struct store *s;
	uint64_t revision;

	fake_start();
	s = store_create(fake.url);
	fake.lose_reply = true;
	w = new_write(0, 0, 0x11);
	CU_ASSERT_EQUAL(store_update(s, &w), AZ_OK);
	CU_ASSERT_EQUAL(fake.revision, 1);
	CU_ASSERT_EQUAL(store_get(s, "k", &o), AZ_OK);
	CU_ASSERT_EQUAL(o.revision, 1);
	CU_ASSERT_EQUAL(o.version, 0x11);
	store_object_free(&o);
	w = new_write(0, 0, 0x22);
	CU_ASSERT_EQUAL(store_update(s, &w), AZ_CONFLICT);
	CU_ASSERT_EQUAL(w.other_id, 0x11);
	CU_ASSERT(!w.outcome_unknown);
	w = new_write(1, 0x11, 0x22);
	CU_ASSERT_EQUAL(store_update(s, &w), AZ_OK);
	w = new_write(1, 0x11, 0x33);
	CU_ASSERT_EQUAL(store_update(s, &w), AZ_CONFLICT);
	CU_ASSERT_EQUAL(w.other_id, 0x22);
	/* Lost requests are sent again. */
	fake.ignore_writes = 2;
	w = new_write(2, 0x22, 0x33);
	CU_ASSERT_EQUAL(store_update(s, &w), AZ_OK);
	CU_ASSERT_EQUAL(fake.revision, 3);
	store_cancel_all(s);
	CU_ASSERT_EQUAL(store_put(s, "k", 2, "x", 1, &revision), AZ_AGAIN);
	store_destroy(s);
	fake_stop();
}

/* Guards against an accepted write that is reported as refused because others
 * have written since, and a definite result when the outcome cannot be
 * determined. */
static void test_lost_reply_and_later_writes(void)
{
	struct store_write w;
	struct store *s;

	fake_start();
	s = store_create(fake.url);
	fake.lose_reply = true;
	fake.writes_after = 1;
	w = new_write(0, 0, 0x11);
	CU_ASSERT_EQUAL(store_update(s, &w), AZ_OK);
	CU_ASSERT_EQUAL(fake.revision, 2);
	fake.lose_reply = true;
	fake.writes_after = CONF_HEADER_WRITES_MAX;
	w = new_write(2, 0x1001, 0x22);
	CU_ASSERT_NOT_EQUAL(store_update(s, &w), AZ_OK);
	CU_ASSERT(w.outcome_unknown);
	/* No request takes effect, but one may still do so later. */
	fake.ignore_writes = 1000;
	w = new_write(fake.revision, 0x1000 + fake.revision - 1, 0x33);
	CU_ASSERT_NOT_EQUAL(store_update(s, &w), AZ_OK);
	CU_ASSERT(w.outcome_unknown);
	store_destroy(s);
	/* No process listens on the port, so nothing was sent. */
	s = store_create("http://127.0.0.1:1");
	w = new_write(0, 0, 0x44);
	CU_ASSERT_EQUAL(store_update(s, &w), AZ_IO);
	CU_ASSERT(!w.outcome_unknown);
	store_destroy(s);
	fake_stop();
}

/* Guards against a VM list that is transferred though it has not changed, and
 * one that is not read again after the platform's revision fell. */
static void test_vm_list_revisions(void)
{
	struct store_vms vms;
	struct store *s;

	fake_start();
	s = store_create(fake.url);
	CU_ASSERT_EQUAL(store_vms(s, 0, &vms), AZ_OK);
	CU_ASSERT(vms.count == 1 && vms.list[0].leaving);
	CU_ASSERT_EQUAL(vms.revision, 9);
	store_vms_free(&vms);
	CU_ASSERT_EQUAL(store_vms(s, 9, &vms), AZ_AGAIN);
	store_vms_free(&vms);
	fake.vms_revision = 4;
	CU_ASSERT_EQUAL(store_vms(s, 9, &vms), AZ_OK);
	CU_ASSERT_EQUAL(vms.revision, 4);
	store_vms_free(&vms);
	store_destroy(s);
	fake_stop();
}

/* ---- two duties that are peers of each other ---- */

/** One of two daemons, reduced to its configuration duty. */
struct node {
	struct conf_links links;
	struct conf_duty *duty;
	struct conf_current *current;
};

static struct node nodes[2];

static const struct member_view *node_view(struct conf_links *l)
{
	(void)l;
	return &view;
}

static void node_release(struct conf_links *l, const struct member_view *v)
{
	(void)l;
	(void)v;
}

static void node_set_digest(struct conf_links *l, uint64_t digest)
{
	(void)l;
	(void)digest;
}

static void node_call_peer(struct conf_links *l, const struct member *to,
			   bool get, const struct buf *body,
			   int64_t deadline_us, struct reply_to *reply)
{
	struct conf_duty *d =
		__atomic_load_n(&nodes[to - members].duty, __ATOMIC_ACQUIRE);
	struct buf copy = { 0 };

	(void)l;
	(void)deadline_us;
	if (!d) {
		reply->ops->answer(reply, answer_new(ERR_PEER_UNREACHABLE));
		return;
	}
	buf_append(&copy, body->data, body->len_bytes);
	conf_duty_serve(d, get, &copy, reply);
}

static void node_set_platform_list(struct conf_links *l, const uint64_t *live,
				   uint32_t n)
{
	(void)l;
	(void)live;
	(void)n;
}

static void node_attach(struct conf_links *l, struct conf_duty *d)
{
	(void)l;
	(void)d;
}

static const struct conf_links_ops node_ops = {
	node_view,	node_release,		node_set_digest,
	node_call_peer, node_set_platform_list, node_attach
};

static void node_start(uint32_t i, const char *url,
		       struct timer_service *timers, apr_pool_t *pool)
{
	struct conf_settings s = { .store_url = url,
				   .site = "here",
				   .member_id = members[i].id,
				   .vms_interval_ms = 100,
				   .links = &nodes[i].links };
	struct conf_duty *d;

	nodes[i].links.ops = &node_ops;
	nodes[i].current = s.current = conf_current_create(pool);
	d = conf_duty_create(&s, timers, pool);
	__atomic_store_n(&nodes[i].duty, d, __ATOMIC_RELEASE);
	CU_ASSERT_EQUAL(conf_duty_start(d), AZ_OK);
}

/* True if node `i` has the worker of service shop in this state. */
static bool is_state(uint32_t i, uint32_t worker, enum worker_admin admin)
{
	struct conf *c = conf_current_get(nodes[i].current);
	const struct conf_service *s = conf_find_service(c, "shop");
	bool is = s && s->workers[worker].admin == admin;

	conf_release(c);
	return is;
}

/* Waits until is_state() holds. */
static void await(uint32_t i, uint32_t worker, enum worker_admin admin)
{
	while (!is_state(i, worker, admin))
		sched_yield();
}

static void await_service(uint32_t i, const char *name)
{
	bool done = false;

	while (!done) {
		struct conf *c = conf_current_get(nodes[i].current);

		done = conf_find_service(c, name);
		conf_release(c);
		sched_yield();
	}
}

/* Guards against a change that does not get from the watcher to its peer, a
 * daemon that is restarted while the store is down and finds no configuration,
 * and a duty that cannot be stopped while it waits for the store. */
static void test_change_reaches_peer_and_restart(void)
{
	struct timer_service *timers;
	struct conf_duty_status status;
	struct conf_duty *old;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	make_view(2, 1);
	fake_start();
	/* Without a header line, as written by hand. */
	fake_store("azurehold/base/fleet", fleet_text);
	fake_store_version("azurehold/base/service/shop", 5, shop_text);
	node_start(0, fake.url, timers, pool);
	node_start(1, NULL, timers, pool);
	await(1, 1, WORKER_DRAINING);
	fake_store_version("azurehold/operator/shop", 3,
			   "[worker shop/w1]\nadmin = ejected\n");
	await(0, 0, WORKER_EJECTED);
	await(1, 0, WORKER_EJECTED);
	pthread_mutex_lock(&fake.lock);
	fake.down = true;
	pthread_cond_broadcast(&fake.changed);
	pthread_mutex_unlock(&fake.lock);
	CU_ASSERT_EQUAL(conf_duty_status(nodes[0].duty, &status), AZ_OK);
	CU_ASSERT_EQUAL(status.object_count, 4);
	conf_duty_status_free(&status);
	old = nodes[1].duty;
	conf_duty_stop(old);
	node_start(1, fake.url, timers, pool);
	await(1, 0, WORKER_EJECTED);
	timer_service_stop(timers);
	conf_duty_stop(nodes[1].duty);
	conf_duty_stop(nodes[0].duty);
	conf_duty_destroy(old);
	conf_duty_destroy(nodes[0].duty);
	conf_duty_destroy(nodes[1].duty);
	fake_stop();
	apr_pool_destroy(pool);
}

/* Restores an object to an older copy, then writes it again (`text` not NULL)
 * so that it has a revision that watchers have already seen. */
static void fake_restore(const char *key, const char *copy, uint64_t copy_id,
			 uint64_t revision, uint64_t version, const char *text)
{
	struct store_object *o;

	pthread_mutex_lock(&fake.lock);
	o = fake_find(key);
	buf_free(&o->value);
	fake.revision = revision;
	fake_write(key, copy_id, copy_id, copy);
	if (text)
		fake_write(key, 77, version, text);
	pthread_mutex_unlock(&fake.lock);
}

/* Guards against daemons that revert after the store was restored from a
 * backup, or that never take its next write because its revision was used
 * before; and against VMs that stay marked as leaving after the platform was
 * restored. */
static void test_restored_store_is_followed(void)
{
	const char *key = "azurehold/operator/shop";
	struct timer_service *timers;
	struct conf_duty_status status;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	make_view(2, 1);
	fake_start();
	fake_store_version("azurehold/base/fleet", 5, fleet_text);
	fake_store_version("azurehold/base/service/shop", 5, shop_text);
	fake_store_version(key, 6, "[worker shop/w1]\nadmin = draining\n");
	fake_store_version(key, 7, "[worker shop/w1]\nadmin = ejected\n");
	node_start(0, fake.url, timers, pool);
	node_start(1, NULL, timers, pool);
	await(1, 0, WORKER_EJECTED);
	await(1, 1, WORKER_DRAINING);
	/* The copy had revision 3; the next write has 4 again. */
	fake_restore(key, "[worker shop/w1]\nadmin = draining\n", 6, 2, 0,
		     NULL);
	pthread_mutex_lock(&fake.lock);
	fake.down = true;
	pthread_cond_broadcast(&fake.changed);
	pthread_mutex_unlock(&fake.lock);
	do
		conf_duty_status(nodes[0].duty, &status);
	while (conf_duty_status_free(&status), status.store_ok);
	CU_ASSERT_EQUAL(fake.revision, 3);
	fake_store_version(key, 9, "[worker shop/w2]\nadmin = ejected\n");
	pthread_mutex_lock(&fake.lock);
	fake.down = false;
	pthread_mutex_unlock(&fake.lock);
	await(0, 0, WORKER_IN_SERVICE);
	await(1, 0, WORKER_IN_SERVICE);
	await(1, 1, WORKER_EJECTED);
	/* A version below the one held is not taken. */
	fake_restore(key, "[worker shop/w1]\nadmin = ejected\n", 8, 3, 0, NULL);
	fake_store_version("azurehold/base/service/bank", 5,
			   "[service bank]\n");
	await_service(1, "bank");
	await(1, 0, WORKER_IN_SERVICE);
	/* The platform is restored: the revision of its list falls. */
	pthread_mutex_lock(&fake.lock);
	fake.vms_revision = 3;
	fake.vm_leaving = false;
	pthread_mutex_unlock(&fake.lock);
	fake_store_version(key, 10, "[worker shop/w1]\nadmin = ejected\n");
	await(1, 0, WORKER_EJECTED);
	while (!is_state(1, 1, WORKER_IN_SERVICE)) {
		/* Ends the wait of the watch, so that the VM list is read. */
		fake_store("azurehold/note", "x");
		usleep(10000);
	}
	timer_service_stop(timers);
	conf_duty_stop(nodes[1].duty);
	conf_duty_stop(nodes[0].duty);
	conf_duty_destroy(nodes[0].duty);
	conf_duty_destroy(nodes[1].duty);
	fake_stop();
	apr_pool_destroy(pool);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("conf", NULL, NULL);
	CU_add_test(s, "longest prefix", test_longest_prefix_wins);
	CU_add_test(s, "ambiguous paths", test_ambiguous_paths_are_refused);
	CU_add_test(s, "overlay", test_overlay_sets_single_keys);
	CU_add_test(s, "cells", test_cells_hold_every_worker_once);
	CU_add_test(s, "errors", test_each_error_names_line_and_reason);
	CU_add_test(s, "all errors", test_all_errors_are_counted);
	CU_add_test(s, "sample file", test_sample_file_is_valid);
	CU_add_test(s, "versions", test_versions_never_fall);
	CU_add_test(s, "failed check", test_failed_check_keeps_last_snapshot);
	CU_add_test(s, "start", test_start_uses_what_is_in_force_at_peers);
	CU_add_test(s, "components", test_change_rebuilds_its_component_only);
	CU_add_test(s, "watchers", test_two_watchers_each_data_centre);
	CU_add_test(s, "forwarding trees", test_forwarding_reaches_all);
	CU_add_test(s, "pull", test_pull_and_backoff);
	CU_add_test(s, "wire", test_wire_texts);
	CU_add_test(s, "split and plan", test_split_and_plan);
	CU_add_test(s, "header lines", test_header_lines);
	CU_add_test(s, "next versions", test_next_versions);
	CU_add_test(s, "write outcomes", test_write_outcomes);
	CU_add_test(s, "moved route", test_moved_route_is_never_absent);
	CU_add_test(s, "decisions", test_decisions_are_merged);
	CU_add_test(s, "conditional updates", test_conditional_updates);
	CU_add_test(s, "lost replies", test_lost_reply_and_later_writes);
	CU_add_test(s, "vm list", test_vm_list_revisions);
	CU_add_test(s, "duties", test_change_reaches_peer_and_restart);
	CU_add_test(s, "restored store", test_restored_store_is_followed);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
