#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "conf/conf.h"

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
	enum error_kind why;
	const struct conf_route *r = conf_find_route(c, method, path, &why);

	return r ? r->name : error_info(why)->name;
}

/* Guards against a shorter prefix, or another method's route, being taken. */
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

/* Guards against a path that passes as an idempotent route but that a worker
 * resolves to another. */
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

/* Guards against an overlay that replaces more, or less, than it names. */
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
	CU_ASSERT_EQUAL(o->token_hash, hash_string("secret"));
	CU_ASSERT_EQUAL(conf_service_count(c), 3);
	CU_ASSERT_EQUAL(
		conf_find_service(c, "bank")->ranks[RANK_URGENT].share_percent,
		40);
	CU_ASSERT_PTR_NULL(conf_find_organisation(c, "other"));
	conf_release(c);
}

/* Guards against cells above the mask's 16 bits, workers in no cell, and cells
 * that cannot be found by id. */
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
			CU_ASSERT_EQUAL(cell->workers[w]->bit, w);
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
	const char *reason; /**< part of it */
};

/* Guards against a bad file that is accepted, or an error that does not say
 * where and why. */
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
		{ "[service s]\nbare\n", 2, "no 'key = value'" },
		{ "[rank urgent]\nshare_percent = 90\n", 1, "add up to 130" },
		{ "[rank swift]\n", 1, "is no rank" },
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

/* Guards against a check that stops at the first error, and an overflow of the
 * list. */
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

static void test_sample_file_is_good(void)
{
	struct conf *c;

	CU_ASSERT_EQUAL(conf_load_files("conf/sample.ini", NULL, &c, &errors),
			AZ_OK);
	conf_release(c);
	CU_ASSERT_EQUAL(conf_load_files("conf/none.ini", NULL, &c, &errors),
			AZ_IO);
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
	CU_add_test(s, "sample file", test_sample_file_is_good);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
