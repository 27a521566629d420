#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "feed/relay.h"

/* Guards against a daemon that keeps relying on watchers that are gone, cut off
 * or unable to reach the source. Such watchers send no positions. */
static void test_silent_watchers_make_a_daemon_watch(void)
{
	struct relay_role r = { .last_watcher_position_us = US_PER_S };

	CU_ASSERT(!relay_should_watch(&r, US_PER_S + RELAY_SILENCE_US));
	CU_ASSERT(relay_should_watch(&r, US_PER_S + RELAY_SILENCE_US + 1));
	r.failed_fetches = 2;
	CU_ASSERT(relay_should_watch(&r, US_PER_S));
	r = (struct relay_role){ 0 };
	CU_ASSERT(relay_should_watch(&r, 0));
	r = (struct relay_role){ .is_watcher = true,
				 .last_watcher_position_us = US_PER_S };
	CU_ASSERT(relay_should_watch(&r, US_PER_S));
}

/* Guards against a daemon that stays behind the fleet because its watchers are
 * cut off from the source and have not noticed it yet. */
static void test_daemon_that_is_behind_watches(void)
{
	struct relay_role r = { .last_watcher_position_us = 10 * US_PER_S };
	int64_t now_us = 10 * US_PER_S;

	relay_on_remote_position(&r, 5, 7, now_us);
	CU_ASSERT(!relay_should_watch(&r, now_us));
	/* Receiving the same position again does not restart RELAY_BEHIND_US.
	 */
	relay_on_remote_position(&r, 5, 7, now_us + RELAY_BEHIND_US / 2);
	CU_ASSERT(relay_should_watch(&r, now_us + RELAY_BEHIND_US));
	relay_on_local_position(&r, 6, now_us + RELAY_BEHIND_US);
	CU_ASSERT(relay_should_watch(&r, now_us + RELAY_BEHIND_US));
	relay_on_local_position(&r, 7, now_us + RELAY_BEHIND_US);
	CU_ASSERT(!relay_should_watch(&r, now_us + RELAY_BEHIND_US));
	/* It also ends after RELAY_CATCH_UP_US, as a whole list may have
	 * contained the change without its revision. */
	relay_on_remote_position(&r, 7, 9, now_us);
	r.last_watcher_position_us =
		now_us + RELAY_BEHIND_US + RELAY_CATCH_UP_US;
	CU_ASSERT(!relay_should_watch(&r, r.last_watcher_position_us));
	relay_on_remote_position(&r, 7, 9, r.last_watcher_position_us);
	CU_ASSERT(!relay_should_watch(&r, r.last_watcher_position_us +
						  RELAY_BEHIND_US));
}

/* Guards against a daemon that stays behind the fleet for as long as changes
 * come faster than RELAY_BEHIND_US, since each one restarts that time. */
static void test_further_changes_do_not_restart_the_time_behind(void)
{
	struct relay_role r = { .last_watcher_position_us = 10 * US_PER_S };
	int64_t now_us = 10 * US_PER_S;

	for (uint32_t i = 0; i < 4; i++)
		relay_on_remote_position(&r, 5, 7 + i,
					 now_us + i * RELAY_BEHIND_US / 3);
	CU_ASSERT(relay_should_watch(&r, now_us + RELAY_BEHIND_US));
	/* It has the first change, and is behind with the others since now. */
	relay_on_local_position(&r, 7, now_us + RELAY_BEHIND_US);
	CU_ASSERT(!relay_should_watch(&r, now_us + RELAY_BEHIND_US));
	CU_ASSERT(relay_should_watch(&r, now_us + 2 * RELAY_BEHIND_US));
	relay_on_local_position(&r, 10, now_us + 2 * RELAY_BEHIND_US);
	CU_ASSERT(!relay_should_watch(&r, now_us + 2 * RELAY_BEHIND_US));
}

/* Guards against a daemon that watches the source only once for a series of
 * changes, and then stays behind until the series ends. */
static void test_change_after_catch_up_time_is_awaited_again(void)
{
	struct relay_role r = { 0 };
	int64_t given_up_us = RELAY_BEHIND_US + RELAY_CATCH_UP_US;

	relay_on_remote_position(&r, 5, 7, 1);
	relay_on_remote_position(&r, 5, 8, 1 + given_up_us);
	r.last_watcher_position_us = 1 + given_up_us + RELAY_BEHIND_US;
	CU_ASSERT(!relay_should_watch(&r, 1 + given_up_us));
	CU_ASSERT(relay_should_watch(&r, 1 + given_up_us + RELAY_BEHIND_US));
}

/* Guards against changes of the configuration or the workers that go unnoticed
 * because the other half of the position is lower. */
static void test_halves_of_position_are_compared_separately(void)
{
	CU_ASSERT(!feed_position_is_ahead(0x500000005, 0x500000005));
	CU_ASSERT(feed_position_is_ahead(0x500000005, 0x600000004));
	CU_ASSERT(feed_position_is_ahead(0x500000005, 0x400000006));
	CU_ASSERT(!feed_position_is_ahead(0x500000005, 0x400000004));
	CU_ASSERT_EQUAL(feed_position_max(0x500000005, 0x600000004),
			0x600000005);
	CU_ASSERT_EQUAL(feed_position_max(0x500000005, 0x400000006),
			0x500000006);
}

/* Guards against fields that are lost or changed between daemons, and truncated
 * states that are accepted. */
static void test_state_is_transferred_unchanged(void)
{
	struct feed_table *t = feed_table_create();
	struct feed_worker w = { .name = "w1",
				 .service = "stock",
				 .data_centre = "a1",
				 .ip = 0x7f000001,
				 .port = 8080,
				 .slots = 6,
				 .leaving = true,
				 .boot = 1767225600000,
				 .cold_ms = 300,
				 .revision = 9 };
	struct feed_state s;
	struct buf out = { 0 };

	feed_table_put(t, &w);
	feed_state_print(7, 3, "[service stock]\n", t, &out);
	CU_ASSERT_EQUAL(feed_state_parse(&out, &s), AZ_OK);
	CU_ASSERT_EQUAL(s.position, 7);
	CU_ASSERT_EQUAL(s.version, 3);
	CU_ASSERT_STRING_EQUAL(s.text, "[service stock]\n");
	CU_ASSERT_EQUAL_FATAL(s.count, 1);
	CU_ASSERT_STRING_EQUAL(s.workers[0].name, "w1");
	CU_ASSERT_EQUAL(s.workers[0].port, 8080);
	CU_ASSERT_EQUAL(s.workers[0].boot, 1767225600000);
	CU_ASSERT(s.workers[0].leaving);
	feed_state_free(&s);
	for (; out.len_bytes; out.len_bytes--) {
		struct buf truncated = { out.data, out.len_bytes - 1, 0 };

		CU_ASSERT_EQUAL(feed_state_parse(&truncated, &s), AZ_INVALID);
	}
	buf_free(&out);
	feed_table_destroy(t);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("relay", NULL, NULL);
	CU_add_test(s, "silence", test_silent_watchers_make_a_daemon_watch);
	CU_add_test(s, "behind", test_daemon_that_is_behind_watches);
	CU_add_test(s, "further changes",
		    test_further_changes_do_not_restart_the_time_behind);
	CU_add_test(s, "catch up again",
		    test_change_after_catch_up_time_is_awaited_again);
	CU_add_test(s, "halves",
		    test_halves_of_position_are_compared_separately);
	CU_add_test(s, "state", test_state_is_transferred_unchanged);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
