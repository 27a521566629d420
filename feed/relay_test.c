#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "feed/relay.h"

/* Ends a test that hangs; nothing else depends on it. */
#define HANG_STEPS 1000

static bool watches(const struct relay_role *r, int64_t now_us)
{
	return relay_choose_watch(r, now_us) != RELAY_WATCH_NOTHING;
}

/* Guards against a daemon that keeps relying on watchers that are gone, cut off
 * or unable to reach the source. */
static void test_silent_watchers_make_a_daemon_watch(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS,
				.confirmed_us = US_PER_S };

	CU_ASSERT(!watches(&r, US_PER_S + RELAY_CONFIRMED_MAX_US));
	CU_ASSERT(watches(&r, US_PER_S + RELAY_CONFIRMED_MAX_US + 1));
	r.failed_fetches = 2;
	CU_ASSERT(watches(&r, US_PER_S));
	r = (struct relay_role){ .rank = RELAY_WATCHERS };
	CU_ASSERT(watches(&r, 0));
	r = (struct relay_role){ .rank = RELAY_WATCHERS - 1,
				 .confirmed_us = US_PER_S };
	CU_ASSERT(watches(&r, US_PER_S));
}

/* What a daemon holds as of a revision at which its workers changed: the
 * position and the hash are that revision. */
static struct feed_known state_of(uint32_t revision)
{
	return (struct feed_known){ .position = revision,
				    .as_of = revision,
				    .hash = revision };
}

/* The claim of a daemon that holds state_of(revision). */
static struct relay_claim claim_of(uint32_t revision, int64_t confirmed_us)
{
	return (struct relay_claim){ revision, revision, confirmed_us };
}

static void send_claim(struct relay_role *r, uint32_t rank, uint32_t ours,
		       struct relay_claim claim)
{
	struct feed_known known = state_of(ours);

	relay_on_claim(r, rank, &known, &claim);
}

static void reach(struct relay_role *r, uint32_t revision)
{
	struct feed_known known = state_of(revision);

	relay_on_local_state(r, &known);
}

/* Guards against a data centre that uses an old configuration for as long as
 * the source is silent to its watchers, which go on sending their position
 * because no call has failed (review/5). */
static void test_positions_without_confirmation_are_not_relied_on(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS };
	int64_t silent_us = US_PER_S + RELAY_CONFIRMED_MAX_US + 1;

	for (int64_t now_us = US_PER_S; now_us <= silent_us;
	     now_us += RELAY_PERIOD_US) {
		send_claim(&r, 0, 5, claim_of(5, US_PER_S));
		CU_ASSERT(!watches(&r, now_us));
	}
	send_claim(&r, 0, 5, claim_of(5, US_PER_S));
	CU_ASSERT_EQUAL(relay_choose_watch(&r, silent_us),
			RELAY_WATCH_CONFIRMED);
	CU_ASSERT(relay_should_send(&r, silent_us));
	/* Daemons of older versions send no age, or no hash. */
	send_claim(&r, 0, 5, claim_of(5, 0));
	CU_ASSERT(watches(&r, silent_us));
	send_claim(&r, 0, 0, claim_of(0, silent_us));
	CU_ASSERT(watches(&r, silent_us));
	send_claim(&r, 1, 5, claim_of(5, silent_us));
	CU_ASSERT(!watches(&r, silent_us));
	CU_ASSERT(!relay_should_send(&r, silent_us));
}

/* Guards against a daemon that takes the confirmation of a watcher's state for
 * that of its own, older one, and so waits for a fetch that fails. */
static void test_confirmation_counts_once_its_state_is_held(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS,
				.confirmed_us = US_PER_S };

	send_claim(&r, 0, 5, claim_of(7, 2 * US_PER_S));
	send_claim(&r, 0, 5, claim_of(9, 3 * US_PER_S));
	send_claim(&r, 1, 5, claim_of(7, 2 * US_PER_S + 1));
	CU_ASSERT_EQUAL(r.confirmed_us, US_PER_S);
	reach(&r, 6);
	CU_ASSERT_EQUAL(r.confirmed_us, US_PER_S);
	reach(&r, 7);
	CU_ASSERT_EQUAL(r.confirmed_us, 2 * US_PER_S + 1);
	send_claim(&r, 0, 9, claim_of(9, 3 * US_PER_S));
	CU_ASSERT_EQUAL(r.confirmed_us, 3 * US_PER_S);
}

/* Guards against a daemon that goes on using a removed worker, as a watcher
 * that has seen neither its addition nor its removal confirms its own, lower
 * position (found by spec/position.pml). */
static void test_confirmation_of_another_state_does_not_count(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS,
				.confirmed_us = US_PER_S };
	const struct relay_claim other_version = { 0x100000008, 8,
						   2 * US_PER_S };

	send_claim(&r, 0, 8, claim_of(7, 2 * US_PER_S));
	CU_ASSERT_EQUAL(r.confirmed_us, US_PER_S);
	send_claim(&r, 0, 5, claim_of(7, 2 * US_PER_S));
	reach(&r, 8);
	CU_ASSERT_EQUAL(r.confirmed_us, US_PER_S);
	send_claim(&r, 0, 8, other_version);
	reach(&r, 8);
	reach(&r, 9);
	CU_ASSERT_EQUAL(r.confirmed_us, US_PER_S);
	send_claim(&r, 0, 7, claim_of(7, 2 * US_PER_S));
	CU_ASSERT_EQUAL(r.confirmed_us, 2 * US_PER_S);
}

/* Guards against daemons that go on using a worker which was removed while both
 * watchers were down (review/10): the list of a daemon that has just started
 * does not show the removal, so that its position is that of the others. */
static void test_claim_of_a_started_daemon_is_for_its_set(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS,
				.confirmed_us = US_PER_S };
	const struct feed_known ours = { .position = 113,
					 .as_of = 114,
					 .hash = 12 };
	const struct relay_claim without = { 11, 115, 2 * US_PER_S };
	const struct relay_claim same = { 12, 115, 2 * US_PER_S };
	const struct relay_claim older = { 11, 114, 2 * US_PER_S };

	relay_on_claim(&r, 0, &ours, &without);
	CU_ASSERT_EQUAL(r.confirmed_us, US_PER_S);
	CU_ASSERT(relay_claim_is_newer(&ours, &without));
	CU_ASSERT(!relay_claim_is_newer(&ours, &older));
	/* Those that hold the same agree at any revision: a start of all
	 * daemons makes nobody fetch. */
	CU_ASSERT(!relay_claim_is_newer(&ours, &same));
	relay_on_claim(&r, 0, &ours, &same);
	CU_ASSERT_EQUAL(r.confirmed_us, 2 * US_PER_S);
}

/* Guards against all daemons of a data centre that call the source at once when
 * their watchers are silent, against a change that is in force later than 2.5 s
 * with a source that is silent to more than the watchers, and against daemons
 * that watch in their place and each stop because of the other. */
static void test_others_watch_in_steps(void)
{
	static const uint32_t ranks[] = { 1, 2, 3, 6, 7, 14 };
	static const int64_t steps[] = { 0, 0, 1, 1, 2, 2 };
	struct relay_role r = { .confirmed_us = US_PER_S };

	for (uint32_t i = 0; i < 6; i++) {
		int64_t at_us = US_PER_S + RELAY_CONFIRMED_MAX_US +
				steps[i] * RELAY_TAKEOVER_STEP_US;

		r.rank = ranks[i];
		CU_ASSERT_EQUAL(relay_takeover_us(&r), at_us);
		CU_ASSERT(relay_choose_watch(&r, at_us) !=
			  RELAY_WATCH_CONFIRMED);
		CU_ASSERT_EQUAL(relay_choose_watch(&r, at_us + 1),
				RELAY_WATCH_CONFIRMED);
		CU_ASSERT(at_us - US_PER_S + RELAY_TAKEOVER_STEP_US <
			  2500 * US_PER_MS);
	}
	r.rank = 3;
	send_claim(&r, 4, 5, claim_of(5, 2 * US_PER_S));
	send_claim(&r, 3, 5, claim_of(5, 2 * US_PER_S));
	CU_ASSERT_EQUAL(r.confirmed_us, US_PER_S);
	send_claim(&r, 2, 5, claim_of(5, 2 * US_PER_S));
	CU_ASSERT_EQUAL(r.confirmed_us, 2 * US_PER_S);
}

/* Guards against a daemon that has just started and sends its position to the
 * whole data centre although its watchers are there. */
static void test_started_daemon_waits_for_its_watchers(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS,
				.started_us = US_PER_S };

	CU_ASSERT(watches(&r, US_PER_S));
	CU_ASSERT(!relay_should_send(&r, US_PER_S + RELAY_CONFIRMED_MAX_US));
	CU_ASSERT(relay_should_send(&r, US_PER_S + RELAY_CONFIRMED_MAX_US + 1));
	r.rank = 0;
	CU_ASSERT(relay_should_send(&r, US_PER_S));
}

/* Guards against a daemon that fetches the same state again and again, as two
 * threads report its position and the lower one is handled last. */
static void test_reports_of_a_position_come_in_any_order(void)
{
	struct relay_position p = { 0x500000005, 3 };

	CU_ASSERT(!relay_position_raise(
		&p, &(struct relay_position){ 0x500000000, 4 }));
	CU_ASSERT_EQUAL(p.position, 0x500000005);
	CU_ASSERT_EQUAL(p.confirmed_us, 4);
	CU_ASSERT(relay_position_raise(
		&p, &(struct relay_position){ 0x400000006, 0 }));
	CU_ASSERT_EQUAL(p.position, 0x500000006);
	CU_ASSERT_EQUAL(p.confirmed_us, 4);
}

/* Guards against a daemon that stays behind the fleet because its watchers are
 * cut off from the source and have not noticed it yet. */
static void test_daemon_that_is_behind_watches(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS,
				.confirmed_us = 10 * US_PER_S };
	int64_t now_us = 10 * US_PER_S;

	relay_on_remote_position(&r, 5, 7, now_us);
	CU_ASSERT(!watches(&r, now_us));
	/* Receiving the same position again does not restart RELAY_BEHIND_US.
	 */
	relay_on_remote_position(&r, 5, 7, now_us + RELAY_BEHIND_US / 2);
	CU_ASSERT(watches(&r, now_us + RELAY_BEHIND_US));
	relay_on_local_position(&r, 6, now_us + RELAY_BEHIND_US);
	CU_ASSERT(watches(&r, now_us + RELAY_BEHIND_US));
	relay_on_local_position(&r, 7, now_us + RELAY_BEHIND_US);
	CU_ASSERT(!watches(&r, now_us + RELAY_BEHIND_US));
	/* It also ends after RELAY_CATCH_UP_US, as a whole list may have
	 * contained the change without its revision. */
	relay_on_remote_position(&r, 7, 9, now_us);
	r.confirmed_us = now_us + RELAY_BEHIND_US + RELAY_CATCH_UP_US;
	CU_ASSERT(!watches(&r, r.confirmed_us));
	relay_on_remote_position(&r, 7, 9, r.confirmed_us);
	CU_ASSERT(!watches(&r, r.confirmed_us + RELAY_BEHIND_US));
}

/* Guards against a daemon that stays behind the fleet for as long as changes
 * come faster than RELAY_BEHIND_US, since each one restarts that time. */
static void test_further_changes_do_not_restart_the_time_behind(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS,
				.confirmed_us = 10 * US_PER_S };
	int64_t now_us = 10 * US_PER_S;

	for (uint32_t i = 0; i < 4; i++)
		relay_on_remote_position(&r, 5, 7 + i,
					 now_us + i * RELAY_BEHIND_US / 3);
	CU_ASSERT(watches(&r, now_us + RELAY_BEHIND_US));
	/* It has the first change, and is behind with the others since now. */
	relay_on_local_position(&r, 7, now_us + RELAY_BEHIND_US);
	CU_ASSERT(!watches(&r, now_us + RELAY_BEHIND_US));
	CU_ASSERT(watches(&r, now_us + 2 * RELAY_BEHIND_US));
	relay_on_local_position(&r, 10, now_us + 2 * RELAY_BEHIND_US);
	CU_ASSERT(!watches(&r, now_us + 2 * RELAY_BEHIND_US));
}

/* Guards against a daemon that watches the source only once for a series of
 * changes, and then stays behind until the series ends. */
static void test_change_after_catch_up_time_is_awaited_again(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS };
	int64_t given_up_us = RELAY_BEHIND_US + RELAY_CATCH_UP_US;

	relay_on_remote_position(&r, 5, 7, 1);
	relay_on_remote_position(&r, 5, 8, 1 + given_up_us);
	r.confirmed_us = 1 + given_up_us + RELAY_BEHIND_US;
	CU_ASSERT(!watches(&r, 1 + given_up_us));
	CU_ASSERT(watches(&r, 1 + given_up_us + RELAY_BEHIND_US));
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

/* Guards against daemons that take no change any more once the source's counter
 * exceeds 32 bits (review/stand "revision"), and against a known revision that
 * is replaced by none. */
static void test_revisions_may_exceed_32_bits(void)
{
	CU_ASSERT(feed_revision_is_ahead(0xfffffffe, 3));
	CU_ASSERT(!feed_revision_is_ahead(3, 0xfffffffe));
	CU_ASSERT(feed_position_is_ahead(0xfffffffe00000007, 0x300000007));
	CU_ASSERT_EQUAL(feed_position_max(0xfffffffe00000007, 0x300000006),
			0x300000007);
	CU_ASSERT(feed_revision_is_ahead(0, 0xfffffffe));
	CU_ASSERT(feed_revision_is_ahead(0, 3));
	CU_ASSERT(!feed_revision_is_ahead(0xfffffffe, 0));
	CU_ASSERT(!feed_revision_is_ahead(0, 0));
}

/* Guards against a daemon that gives up fetching from members that are ahead
 * once it has watched the source for RELAY_CATCH_UP_US without success, and
 * against all daemons of a data centre that fetch across its border at once. */
static void test_fetches_do_not_end_with_the_watching(void)
{
	struct relay_role r = { .rank = RELAY_WATCHERS };
	int64_t late_us = 1 + 2 * RELAY_CATCH_UP_US;

	relay_on_remote_position(&r, 5, 7, 1);
	CU_ASSERT(!relay_should_fetch(&r, true, RELAY_BEHIND_US));
	CU_ASSERT(relay_should_fetch(&r, true, 1 + RELAY_BEHIND_US));
	CU_ASSERT(!relay_should_fetch(&r, false, 1 + RELAY_BEHIND_US));
	CU_ASSERT(relay_should_fetch(&r, false, 1 + 2 * RELAY_BEHIND_US));
	CU_ASSERT(relay_should_fetch(&r, true, late_us));
	CU_ASSERT(relay_should_fetch(&r, false, late_us));
	r.rank = 0;
	CU_ASSERT(!relay_should_fetch(&r, false, RELAY_BEHIND_US));
	CU_ASSERT(relay_should_fetch(&r, false, 1 + RELAY_BEHIND_US));
	relay_on_local_position(&r, 7, 1 + RELAY_BEHIND_US);
	CU_ASSERT(!relay_should_fetch(&r, true, late_us));
	CU_ASSERT(!relay_should_fetch(&r, false, late_us));
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
	const struct feed_known nothing = { 0 };
	struct feed_state_source source = { .position = 7,
					    .version = 3,
					    .text = "[service stock]\n",
					    .workers = t };
	struct feed_state s;
	struct buf out = { 0 };

	feed_table_put(t, &w);
	feed_state_print(&source, &nothing, &out);
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

/* Guards against a link of a watcher that is filled by whole states, so that
 * the fetches of its data centre time out; and against a text that is restored
 * from another one than the difference refers to. */
static void test_state_has_only_what_the_receiver_lacks(void)
{
	static const char base[] = "[service a]\n[service b]\n[service c]\n";
	static const char next[] = "[service a]\n[service xyz]\n[service c]\n";
	struct feed_table *sender = feed_table_create();
	struct feed_table *receiver = feed_table_create();
	struct feed_worker w = {
		.name = "w1", .service = "a", .data_centre = "a1", .revision = 5
	};
	const struct feed_known known = { .position = 0x300000006,
					  .version = 8,
					  .decodes_all = true };
	struct feed_state_source source = { .position = 0x400000009,
					    .version = 9,
					    .text = next,
					    .base_text = base,
					    .workers = sender };
	struct feed_state s;
	struct buf out = { 0 };

	feed_table_put(sender, &w);
	feed_table_put(receiver, &w);
	strcpy(w.name, "w2");
	w.revision = 9;
	feed_table_put(sender, &w);
	feed_state_print(&source, &known, &out);
	CU_ASSERT_EQUAL_FATAL(feed_state_parse(&out, &s), AZ_OK);
	CU_ASSERT_EQUAL(s.count, 1);
	CU_ASSERT_EQUAL(s.unchanged_count, 1);
	CU_ASSERT_EQUAL(strlen(s.text), 3);
	CU_ASSERT(!feed_state_complete_text(&s, 7, base));
	CU_ASSERT(!feed_state_complete_text(&s, 8, NULL));
	CU_ASSERT(!feed_state_complete_text(&s, 8, "[service a]\n"));
	CU_ASSERT(!feed_state_complete_text(
		&s, 8, "[service a]\n[service b]\n[service d]\n"));
	CU_ASSERT(feed_state_complete_text(&s, 8, base));
	CU_ASSERT_STRING_EQUAL(s.text, next);
	CU_ASSERT(feed_state_complete_workers(&s, receiver));
	CU_ASSERT_EQUAL_FATAL(s.count, 2);
	CU_ASSERT_STRING_EQUAL(s.workers[1].name, "w1");
	CU_ASSERT_EQUAL(s.workers[1].revision, 5);
	feed_state_free(&s);
	CU_ASSERT_EQUAL_FATAL(feed_state_parse(&out, &s), AZ_OK);
	feed_table_remove(receiver, "w1");
	CU_ASSERT(!feed_state_complete_workers(&s, receiver));
	feed_state_free(&s);
	buf_free(&out);
	feed_table_destroy(sender);
	feed_table_destroy(receiver);
}

/* Guards against a text that is changed by its compression, and against
 * damaged or truncated data that is accepted. */
static void test_compressed_text_is_restored(void)
{
	struct feed_table *none = feed_table_create();
	const struct feed_known known = { .position = 0,
					  .version = 0,
					  .decodes_all = true };
	struct feed_packed packed = { 0 };
	struct feed_state_source source = { .version = 9,
					    .packed = &packed,
					    .workers = none };
	struct buf text = { 0 };
	struct buf out = { 0 };
	struct feed_state s;

	for (uint32_t i = 0; i < 200; i++)
		buf_printf(&text, "[route r%u]\nservice = stock\n", i);
	buf_append(&text, "", 1);
	source.text = (char *)text.data;
	feed_pack(&packed, source.text);
	feed_state_print(&source, &known, &out);
	CU_ASSERT(out.len_bytes < text.len_bytes / 4);
	CU_ASSERT_EQUAL_FATAL(feed_state_parse(&out, &s), AZ_OK);
	CU_ASSERT_STRING_EQUAL(s.text, source.text);
	feed_state_free(&s);
	out.data[out.len_bytes - 9] ^= 1;
	CU_ASSERT_EQUAL(feed_state_parse(&out, &s), AZ_INVALID);
	/* A difference that is longer than the compressed text is not sent. */
	source.base_text = "";
	buf_free(&out);
	feed_state_print(&source, &known, &out);
	CU_ASSERT(out.len_bytes < text.len_bytes / 4);
	out.len_bytes--;
	CU_ASSERT_EQUAL(feed_state_parse(&out, &s), AZ_INVALID);
	buf_free(&out);
	buf_free(&text);
	buf_free(&packed.data);
	feed_table_destroy(none);
}

/* Guards against a daemon of an older version that gets a difference or a
 * compressed text, which it cannot decode. It asks with an empty body. */
static void test_empty_request_is_for_the_whole_state(void)
{
	struct feed_known known = { .position = 1,
				    .version = 1,
				    .decodes_all = true };
	struct buf request = { 0 };

	feed_known_parse(&request, &known);
	CU_ASSERT_EQUAL(known.position, 0);
	CU_ASSERT_EQUAL(known.version, 0);
	CU_ASSERT(!known.decodes_all);
	CU_ASSERT(!known.decodes_as_of);
	known = (struct feed_known){ 0x300000006, 8, true, true, 7, 0 };
	feed_known_print(&known, &request);
	known = (struct feed_known){ 0 };
	feed_known_parse(&request, &known);
	CU_ASSERT_EQUAL(known.position, 0x300000006);
	CU_ASSERT_EQUAL(known.version, 8);
	CU_ASSERT_EQUAL(known.as_of, 7);
	CU_ASSERT(known.decodes_all);
	CU_ASSERT(known.decodes_as_of);
	buf_free(&request);
	/* Of a daemon that does not know the revision of workers. */
	buf_printf(&request, "%llu %u\n", 0x300000006ULL, 8);
	feed_known_parse(&request, &known);
	CU_ASSERT_EQUAL(known.position, 0x300000006);
	CU_ASSERT_EQUAL(known.version, 8);
	CU_ASSERT(known.decodes_all);
	CU_ASSERT(!known.decodes_as_of);
	buf_free(&request);
}

/* ---- the duty, over the loopback interface ---- */

static const char text[] = "[data_centre a1]\nregion = a\n[service stock]\n";

/** What a daemon needs to fetch states, or to be asked for one. */
struct node {
	struct peer_handler handler;
	struct relay_source source;
	struct feed_listener listener;
	struct conf_current *current;
	struct feed *feed;
	struct peer *peer;
	struct membership *membership;
	struct relay *relay;
	struct member self;
	uint64_t raised_position; /**< atomic */
};

static void serve_state(struct peer_handler *h, enum peer_procedure proc,
			struct buf *body, struct reply_to *reply)
{
	(void)proc;
	feed_send_state(az_container_of(h, struct node, handler)->feed, body,
			reply);
}

static const struct peer_handler_ops handler_ops = { .handle_conf =
							     serve_state };

static void ignore_watch(struct relay_source *source, enum relay_watch watch)
{
	(void)source;
	(void)watch;
}

static const struct relay_source_ops source_ops = { ignore_watch };

static void on_raised(struct feed_listener *l, uint64_t position)
{
	struct node *n = az_container_of(l, struct node, listener);

	relay_set_local_position(n->relay, position);
	__atomic_store_n(&n->raised_position, position, __ATOMIC_RELEASE);
}

static void on_confirmed(struct feed_listener *l,
			 const struct feed_known *known, int64_t confirmed_us)
{
	struct node *n = az_container_of(l, struct node, listener);

	relay_set_confirmed(n->relay, known, confirmed_us);
}

static const struct feed_listener_ops listener_ops = { on_raised,
						       on_confirmed };

/* Starts the parts of a daemon that does not reach the source. */
static void start_node(struct node *n, uint64_t id,
		       struct timer_service *timers, apr_pool_t *pool)
{
	struct fleet_keys keys = { .count = 1, .keys = { { .id = 1 } } };
	struct member_settings ms = { .self = { .id = id,
						.incarnation = id,
						.ip = 0x7f000001,
						.dc = (uint32_t)id,
						.name = "vm" },
				      .keys = &keys };
	struct peer_settings ps = { .ip = 0x7f000001,
				    .member_id = id,
				    .incarnation = id,
				    .in_flight_max = 8,
				    .keys = keys,
				    .handler = &n->handler };
	struct feed_settings fs = { .listener = &n->listener };
	struct relay_settings rs = { .ip = 0x7f000001,
				     .member_id = id,
				     .incarnation = id,
				     .dc = (uint32_t)id,
				     .local_source = &n->source };

	n->handler.ops = &handler_ops;
	n->source.ops = &source_ops;
	n->listener.ops = &listener_ops;
	fs.current = n->current = conf_current_create(pool);
	n->feed = rs.feed = feed_create(&fs, timers);
	n->peer = rs.peer = peer_create(&ps, timers, pool);
	n->membership = rs.membership = membership_create(&ms, timers, pool);
	n->relay = relay_create(&rs, timers);
	CU_ASSERT_FATAL(n->feed && n->peer && n->membership && n->relay);
	CU_ASSERT_EQUAL_FATAL(feed_start(n->feed), AZ_OK);
	CU_ASSERT_EQUAL_FATAL(peer_start(n->peer), AZ_OK);
	CU_ASSERT_EQUAL_FATAL(relay_start(n->relay), AZ_OK);
	n->self = ms.self;
	n->self.peer_port = peer_port(n->peer);
}

static bool has_configuration(struct node *n)
{
	struct conf *c = conf_current_get(n->current);
	bool has = conf_service_count(c) != 0;

	conf_release(c);
	return has;
}

static void stop_node(struct node *n)
{
	relay_stop(n->relay);
	peer_stop(n->peer);
	feed_stop(n->feed);
	relay_destroy(n->relay);
	peer_destroy(n->peer);
	membership_destroy(n->membership);
}

/* Guards against a daemon that stays behind although other members know the
 * change, because the source refuses both it and the watchers of its data
 * centre. The member that is ahead is of another data centre. */
static void test_state_is_fetched_from_any_member_that_is_ahead(void)
{
	static struct node ahead, behind;
	struct timer_service *timers;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	start_node(&ahead, 1, timers, pool);
	start_node(&behind, 2, timers, pool);
	feed_set_configuration(ahead.feed, 3, text);
	feed_set_position(ahead.feed, 0x700000004);
	for (uint32_t i = 0; i < HANG_STEPS && !has_configuration(&behind);
	     i++) {
		struct timespec step = { 0, 20000000 };

		relay_observe_remote_position(behind.relay, 0x700000004,
					      &ahead.self);
		nanosleep(&step, NULL);
	}
	CU_ASSERT(has_configuration(&behind));
	CU_ASSERT_EQUAL(
		__atomic_load_n(&behind.raised_position, __ATOMIC_ACQUIRE),
		0x700000004);
	stop_node(&behind);
	stop_node(&ahead);
	timer_service_stop(timers);
	apr_pool_destroy(pool);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	log_set_level(LOG_ERROR);
	CU_initialize_registry();
	s = CU_add_suite("relay", NULL, NULL);
	CU_add_test(s, "silence", test_silent_watchers_make_a_daemon_watch);
	CU_add_test(s, "not confirmed",
		    test_positions_without_confirmation_are_not_relied_on);
	CU_add_test(s, "confirmed when reached",
		    test_confirmation_counts_once_its_state_is_held);
	CU_add_test(s, "another state",
		    test_confirmation_of_another_state_does_not_count);
	CU_add_test(s, "started watchers",
		    test_claim_of_a_started_daemon_is_for_its_set);
	CU_add_test(s, "steps", test_others_watch_in_steps);
	CU_add_test(s, "start", test_started_daemon_waits_for_its_watchers);
	CU_add_test(s, "any order",
		    test_reports_of_a_position_come_in_any_order);
	CU_add_test(s, "behind", test_daemon_that_is_behind_watches);
	CU_add_test(s, "further changes",
		    test_further_changes_do_not_restart_the_time_behind);
	CU_add_test(s, "catch up again",
		    test_change_after_catch_up_time_is_awaited_again);
	CU_add_test(s, "halves",
		    test_halves_of_position_are_compared_separately);
	CU_add_test(s, "over 32 bits", test_revisions_may_exceed_32_bits);
	CU_add_test(s, "state", test_state_is_transferred_unchanged);
	CU_add_test(s, "differences",
		    test_state_has_only_what_the_receiver_lacks);
	CU_add_test(s, "compressed", test_compressed_text_is_restored);
	CU_add_test(s, "empty request",
		    test_empty_request_is_for_the_whole_state);
	CU_add_test(s, "fetches go on",
		    test_fetches_do_not_end_with_the_watching);
	CU_add_test(s, "any member",
		    test_state_is_fetched_from_any_member_that_is_ahead);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
