#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>
#include <apr_strings.h>
#include <curl/curl.h>
#include <jansson.h>

#include "admin/admin.h"

static apr_pool_t *pool;
static struct admin *admin;

struct test_source {
	struct admin_source source;
	int32_t drains;
};

static void source_status(struct admin_source *s, apr_pool_t *p,
			  struct admin_status *out)
{
	(void)s;
	out->name = "d1";
	out->incarnation = 0xabc;
	out->in_flight = 4;
	out->member_count = 1;
	out->members = apr_pcalloc(p, sizeof(*out->members));
	out->members[0] = (struct admin_member){ "d\"2", "alive", 7, false };
	out->cell_count = 1;
	out->cells = apr_pcalloc(p, sizeof(*out->cells));
	out->cells[0] = (struct admin_cell){ 9, "shop", 3, 2 };
	out->notice_count = 1;
	out->notices = apr_pcalloc(p, sizeof(*out->notices));
	out->notices[0] = (struct admin_notice){ "shop", "w1", true, 70 };
	out->has_conf = true;
	out->conf.digest_in_force = 0x1f;
	out->conf.object_count = 1;
	out->conf.objects = calloc(1, sizeof(*out->conf.objects));
	strcpy(out->conf.objects[0].key, "azurehold/base/fleet");
	out->conf.objects[0].version = 12;
}

static bool source_healthy(struct admin_source *s)
{
	return !az_container_of(s, struct test_source, source)->drains;
}

static void source_drain(struct admin_source *s)
{
	az_container_of(s, struct test_source, source)->drains++;
}

static const struct admin_source_ops source_ops = { source_status,
						    source_healthy,
						    source_drain };
static struct test_source test_source = { { &source_ops }, 0 };

static size_t append_body(char *data, size_t size, size_t n, void *arg)
{
	buf_append(arg, data, (uint32_t)(size * n));
	return size * n;
}

/* Calls the API and returns the HTTP status. `post` is the body of a POST, NULL
 * for a GET. The response body is stored in `out`, if it is not NULL. */
static long call(const char *path, const char *header, const char *post,
		 struct buf *out)
{
	CURL *h = curl_easy_init();
	struct curl_slist *headers = NULL;
	struct buf body = { 0 };
	long status = 0;
	char url[128];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", admin_port(admin),
		 path);
	if (header)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, out ? out : &body);
	if (post)
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, post);
	if (curl_easy_perform(h) == CURLE_OK)
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(h);
	buf_free(&body);
	return status;
}

static const char *const good_header = "Authorization: Bearer s3cret";

/* All paths but those for health and metrics must require the token: otherwise
 * anyone who reaches the port can stop the daemon. */
static void test_token_is_required(void)
{
	static const char *const paths[] = { "/counters", "/status", "/nothing",
					     "/drain" };
	static const char *const bad_headers[] = {
		NULL,
		"Authorization: Bearer",
		"Authorization: Bearer s3cre",
		"Authorization: Bearer s3cretx",
		"Authorization: Basic s3cret",
	};

	for (uint32_t i = 0; i < 4; i++)
		for (uint32_t j = 0; j < 5; j++)
			CU_ASSERT_EQUAL(call(paths[i], bad_headers[j],
					     i == 3 ? "" : NULL, NULL),
					401);
	CU_ASSERT_EQUAL(test_source.drains, 0);
	CU_ASSERT_EQUAL(call("/health", NULL, NULL, NULL), 200);
	CU_ASSERT_PTR_NULL(
		admin_create(&(struct admin_settings){ .token = "" }, pool));
}

/* The status page must be valid JSON with the fields that azhctl reads. */
static void test_status_and_counters(void)
{
	struct buf b = { 0 };
	json_t *notice;
	json_t *root;
	json_t *conf;

	CU_ASSERT_EQUAL(call("/status", good_header, NULL, &b), 200);
	root = json_loadb((char *)b.data, b.len_bytes, 0, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(root);
	conf = json_object_get(root, "configuration");
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(conf, "digest_in_force")),
		"000000000000001f");
	CU_ASSERT_EQUAL(json_integer_value(json_object_get(
				json_object_get(conf, "objects"),
				"azurehold/base/fleet")),
			12);
	CU_ASSERT_EQUAL(json_array_size(json_object_get(root, "cells")), 1);
	notice = json_array_get(json_object_get(root, "notices"), 0);
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(notice, "worker")), "w1");
	CU_ASSERT(json_is_true(json_object_get(notice, "leaving")));
	CU_ASSERT_EQUAL(
		json_integer_value(json_object_get(notice, "pause_left_ms")),
		70);
	CU_ASSERT_EQUAL(json_array_size(json_object_get(root, "members")), 1);
	json_decref(root);
	buf_free(&b);
	CU_ASSERT_EQUAL(call("/counters", good_header, NULL, &b), 200);
	buf_append(&b, "", 1);
	CU_ASSERT_PTR_NOT_NULL(strstr((char *)b.data, "admin_requests "));
	buf_free(&b);
}

/* Unknown paths, wrong methods and bad bodies must be refused without an
 * effect. */
static void test_log_level_and_bad_requests(void)
{
	char large[200];

	memset(large, 'x', sizeof(large) - 1);
	large[sizeof(large) - 1] = '\0';
	CU_ASSERT_EQUAL(call("/log-level", good_header, "error\n", NULL), 200);
	CU_ASSERT_EQUAL(call("/log-level", good_header, "loud", NULL), 400);
	CU_ASSERT_EQUAL(call("/log-level", good_header, large, NULL), 413);
	CU_ASSERT_EQUAL(call("/log-level", good_header, NULL, NULL), 405);
	CU_ASSERT_EQUAL(call("/drain", good_header, NULL, NULL), 405);
	CU_ASSERT_EQUAL(call("/nothing", good_header, NULL, NULL), 404);
	CU_ASSERT_EQUAL(test_source.drains, 0);
}

/* A planned stop must reach the daemon, and the health check must fail from
 * then on, so that balancers send no more requests. */
static void test_drain(void)
{
	CU_ASSERT_EQUAL(call("/drain", good_header, "", NULL), 202);
	CU_ASSERT_EQUAL(test_source.drains, 1);
	CU_ASSERT_EQUAL(call("/health", NULL, NULL, NULL), 503);
}

int main(void)
{
	struct admin_settings settings = { .ip = 0x7f000001,
					   .token = "s3cret",
					   .source = &test_source.source };
	CU_pSuite s;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	admin = admin_create(&settings, pool);
	if (!admin || admin_start(admin) != AZ_OK)
		return 1;
	CU_initialize_registry();
	s = CU_add_suite("admin", NULL, NULL);
	CU_add_test(s, "token", test_token_is_required);
	CU_add_test(s, "status", test_status_and_counters);
	CU_add_test(s, "bad requests", test_log_level_and_bad_requests);
	CU_add_test(s, "drain", test_drain);
	CU_basic_run_tests();
	admin_stop(admin);
	return CU_get_number_of_failures() != 0;
}
