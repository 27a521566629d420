#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "front/front.h"

static struct conf *conf;

static const char text[] =
	"[data_centre a1]\nregion = a\n"
	"[service ledger]\n"
	"[service bare]\nbare = yes\n"
	"[worker ledger/w1]\naddress = 127.0.0.1:1\ndata_centre = a1\n"
	"[worker bare/w1]\naddress = 127.0.0.1:2\ndata_centre = a1\n"
	"[route pay]\npath = /pay\nmethods = POST\nservice = ledger\n"
	"rank = normal\nidempotent = no\n"
	"[route read]\npath = /read\nmethods = GET\nservice = ledger\n"
	"rank = normal\nidempotent = yes\ndeadline_ms = 700\n"
	"[route bare]\npath = /bare\nmethods = POST\nservice = bare\n"
	"rank = bulk\nidempotent = no\n"
	"[organisation gate]\ntoken = secret\n"
	"[organisation open]\n";

static struct caller_input input(const char *method, const char *path)
{
	return (struct caller_input){ .method = method,
				      .path = path,
				      .organisation = "gate",
				      .authorization = "Bearer secret" };
}

static enum error_kind kind_of(const struct caller_input *in)
{
	struct classification c = classify(conf, in, 0);

	return c.way == FRONT_REFUSE ? c.kind : ERR_NONE;
}

/* Guards against requests that reach a service without a right to. */
static void test_organisation_and_route_are_checked(void)
{
	struct caller_input in = input("GET", "/read/x");

	CU_ASSERT_EQUAL(kind_of(&in), ERR_NONE);
	in.authorization = "Bearer wrong";
	CU_ASSERT_EQUAL(kind_of(&in), ERR_UNKNOWN_ORGANISATION);
	in.authorization = NULL;
	CU_ASSERT_EQUAL(kind_of(&in), ERR_UNKNOWN_ORGANISATION);
	in.organisation = "open";
	CU_ASSERT_EQUAL(kind_of(&in), ERR_NONE);
	in.organisation = NULL;
	CU_ASSERT_EQUAL(kind_of(&in), ERR_UNKNOWN_ORGANISATION);
	in = input("GET", "/nowhere");
	CU_ASSERT_EQUAL(kind_of(&in), ERR_UNKNOWN_ROUTE);
	in = input("DELETE", "/read");
	CU_ASSERT_EQUAL(kind_of(&in), ERR_METHOD_NOT_ALLOWED);
}

/* Guards against non-idempotent work without a ticket. */
static void test_single_work_needs_a_ticket(void)
{
	struct caller_input in = input("POST", "/pay");
	struct ticket t = { .port = 1 };
	char ticket[TICKET_TEXT_MAX_BYTES];

	CU_ASSERT_EQUAL(kind_of(&in), ERR_TICKET_REQUIRED);
	in.ticket = "garbage";
	CU_ASSERT_EQUAL(kind_of(&in), ERR_TICKET_MALFORMED);
	ticket_format(&t, ticket);
	in.ticket = ticket;
	CU_ASSERT_EQUAL(classify(conf, &in, 0).way, FRONT_TICKET);
	in = input("POST", "/bare");
	CU_ASSERT_EQUAL(classify(conf, &in, 0).way, FRONT_ROUTE);
}

/* Guards against a caller that raises its own rank. */
static void test_rank_can_only_be_lowered(void)
{
	struct caller_input in = input("GET", "/read");

	in.rank = "urgent";
	CU_ASSERT_EQUAL(classify(conf, &in, 0).rank, RANK_NORMAL);
	in.rank = "bulk";
	CU_ASSERT_EQUAL(classify(conf, &in, 0).rank, RANK_BULK);
	in.rank = "most";
	CU_ASSERT_EQUAL(kind_of(&in), ERR_BAD_REQUEST);
}

/* Guards against deadlines that are absurd or taken for another unit. */
static void test_deadline(void)
{
	struct caller_input in = input("GET", "/read");
	static const char *const bad[] = { "0", "-5", "1s", "",
					   "99999999999999999999" };

	CU_ASSERT_EQUAL(classify(conf, &in, 50).deadline_us, 700050);
	in.deadline_ms = "20";
	CU_ASSERT_EQUAL(classify(conf, &in, 0).deadline_us, 20000);
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		in.deadline_ms = bad[i];
		CU_ASSERT_EQUAL(kind_of(&in), ERR_BAD_REQUEST);
	}
}

/* Guards against "not run" by an entry about a ticket whose earlier
 * presentation may have run. */
static void test_refusal_of_a_ticket_proves_nothing(void)
{
	CU_ASSERT(refusal_proves_not_run(ERR_OVERLOADED, false));
	CU_ASSERT(!refusal_proves_not_run(ERR_OVERLOADED, true));
	CU_ASSERT(!refusal_proves_not_run(ERR_OVER_LIMIT, true));
	CU_ASSERT(!refusal_proves_not_run(ERR_BAD_REQUEST, true));
	CU_ASSERT(!refusal_proves_not_run(ERR_INTERNAL, false));
}

/* Guards against an organisation that gets more than its share, or less. */
static void test_limit_holds_the_rate(void)
{
	struct limiter *l = limiter_create(64);
	uint32_t taken = 0;

	for (int64_t us = 0; us < 10 * US_PER_S; us += US_PER_MS)
		taken += limiter_take(l, 3, 100, 10, 2, us);
	CU_ASSERT(taken >= 500 && taken <= 510);
	CU_ASSERT(limiter_take(l, 4, 0, 0, 2, 0));
	limiter_destroy(l);
}

/* Guards against one organisation's flood that empties another's bucket. */
static void test_limits_are_apart(void)
{
	struct limiter *l = limiter_create(64);

	for (uint32_t i = 0; i < 100; i++)
		limiter_take(l, 3, 10, 5, 1, 0);
	CU_ASSERT(!limiter_take(l, 3, 10, 5, 1, 0));
	CU_ASSERT(limiter_take(l, 4, 10, 5, 1, 0));
	limiter_destroy(l);
}

int main(void)
{
	CU_pSuite s;
	struct conf_errors errors;

	apr_initialize();
	if (conf_parse("t", text, NULL, NULL, &conf, &errors) != AZ_OK) {
		for (uint32_t i = 0; i < errors.count; i++)
			fprintf(stderr, "%d: %s\n", errors.list[i].line,
				errors.list[i].reason);
		return 1;
	}
	CU_initialize_registry();
	s = CU_add_suite("front", NULL, NULL);
	CU_add_test(s, "checks", test_organisation_and_route_are_checked);
	CU_add_test(s, "ticket", test_single_work_needs_a_ticket);
	CU_add_test(s, "rank", test_rank_can_only_be_lowered);
	CU_add_test(s, "deadline", test_deadline);
	CU_add_test(s, "refusal", test_refusal_of_a_ticket_proves_nothing);
	CU_add_test(s, "limit", test_limit_holds_the_rate);
	CU_add_test(s, "limits apart", test_limits_are_apart);
	CU_basic_run_tests();
	conf_release(conf);
	return CU_get_number_of_failures() != 0;
}
