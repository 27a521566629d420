#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "feed/feed.h"

static const char base[] = "[data_centre a1]\nregion = a\n"
			   "[service stock]\nbare = yes\n"
			   "[service ledger]\nbare = yes\n"
			   "[route stock]\npath = /stock\nmethods = *\n"
			   "service = stock\nidempotent = yes\n";

static struct feed_worker worker(const char *name, uint16_t port,
				 uint64_t revision)
{
	struct feed_worker w = { .ip = 0x7f000001,
				 .port = port,
				 .slots = 6,
				 .boot = 1,
				 .revision = revision };

	strcpy(w.name, name);
	strcpy(w.service, "stock");
	strcpy(w.data_centre, "a1");
	return w;
}

/* ---- table ---- */

/* Guards against an older revision that overwrites a newer one, and against a
 * restarted worker that is not recognised as a new one. */
static void test_newer_entries_win(void)
{
	struct feed_table *t = feed_table_create();
	struct feed_worker w = worker("w1", 1, 5);

	CU_ASSERT(feed_table_put(t, &w));
	CU_ASSERT(!feed_table_put(t, &w));
	w.leaving = true;
	w.revision = 6;
	CU_ASSERT(feed_table_put(t, &w));
	w.leaving = false;
	w.revision = 5;
	CU_ASSERT(!feed_table_put(t, &w));
	w.boot = 2;
	w.revision = 7;
	CU_ASSERT(feed_table_put(t, &w));
	CU_ASSERT(feed_table_remove(t, "w1"));
	CU_ASSERT(!feed_table_remove(t, "w1"));
	feed_table_destroy(t);
}

static uint32_t size_after_outage(uint32_t known, uint32_t listed,
				  int64_t later_us)
{
	struct feed_table *t = feed_table_create();
	struct feed_worker list[10];
	int64_t next_us;
	uint32_t n;

	for (uint32_t i = 0; i < known; i++) {
		char name[8] = { 'w', (char)('0' + i), 0 };

		list[i] = worker(name, (uint16_t)(i + 1), i + 1);
		feed_table_put(t, &list[i]);
	}
	feed_table_source_unreachable(t);
	feed_table_source_recovered(t, US_PER_S);
	feed_table_replace(t, list, listed, 9, US_PER_S);
	feed_table_expire(t, US_PER_S + later_us, &next_us);
	n = feed_table_size(t);
	feed_table_destroy(t);
	return n;
}

/* Guards against a daemon that was cut off from the source and afterwards still
 * uses a worker that left in that time. */
static void test_few_missing_after_an_outage_have_left(void)
{
	CU_ASSERT_EQUAL(size_after_outage(10, 8, 0), 8);
}

/* Guards against a service that loses all its workers when the source recovers,
 * because their entries have lapsed and are not renewed yet. */
static void test_many_missing_after_an_outage_are_kept(void)
{
	CU_ASSERT_EQUAL(size_after_outage(10, 2, 0), 10);
	CU_ASSERT_EQUAL(size_after_outage(10, 2, FEED_MISSING_GRACE_US), 2);
}

/* Guards against requests for a worker that has left, whose address another
 * worker uses now. */
static void test_newest_entry_of_an_address_counts(void)
{
	struct feed_table *t = feed_table_create();
	struct feed_worker old = worker("old", 1, 1);
	struct feed_worker new = worker("new", 1, 2);
	struct buf out = { 0 };

	strcpy(new.service, "ledger");
	feed_table_put(t, &old);
	feed_table_put(t, &new);
	feed_table_print(t, base, &out);
	buf_append(&out, "", 1);
	CU_ASSERT_PTR_NOT_NULL(strstr((char *)out.data, "[worker ledger/new]"));
	CU_ASSERT_PTR_NULL(strstr((char *)out.data, "[worker stock/old]"));
	buf_free(&out);
	feed_table_destroy(t);
}

/* Guards against one odd entry that makes the whole configuration invalid, so
 * that no change comes into force any more. Each is as the platform's adapter
 * may deliver it. */
static void test_odd_worker_does_not_invalidate_the_configuration(void)
{
	struct feed_worker odd[5];

	for (uint32_t i = 0; i < 5; i++)
		odd[i] = worker("odd", 9, 9);
	strcpy(odd[0].data_centre, "elsewhere");
	strcpy(odd[1].service, "unknown");
	odd[2].ip = 0;
	odd[3].boot = INT64_MAX;
	odd[4].cold_ms = 3600000;
	odd[4].slots = UINT8_MAX;
	for (uint32_t i = 0; i < 5; i++) {
		struct feed_table *t = feed_table_create();
		struct feed_worker good = worker("w1", 1, 1);
		struct conf_errors errors = { 0 };
		struct buf text = { 0 };
		struct conf *c = NULL;

		feed_table_put(t, &good);
		feed_table_put(t, &odd[i]);
		buf_append(&text, base, (uint32_t)strlen(base));
		feed_table_print(t, base, &text);
		buf_append(&text, "", 1);
		CU_ASSERT_EQUAL(conf_parse("test", (char *)text.data, NULL,
					   NULL, &c, &errors),
				AZ_OK);
		CU_ASSERT(c &&
			  conf_find_service(c, "stock")->worker_count >= 1);
		conf_release(c);
		buf_free(&text);
		feed_table_destroy(t);
	}
}

/* ---- the duty ---- */

static struct feed *feed;
static struct conf_current *current;
static struct timer_service *timers;

/* Waits at most 10 s for a snapshot in which the service has this number of
 * workers. */
static bool wait_for_workers(const char *service, uint32_t workers)
{
	for (uint32_t i = 0; i < 1000; i++) {
		struct timespec ts = { 0, 10000000 };
		struct conf *c = conf_current_get(current);
		const struct conf_service *s = conf_find_service(c, service);
		bool good = s && s->worker_count == workers;

		conf_release(c);
		if (good)
			return true;
		nanosleep(&ts, NULL);
	}
	return false;
}

static bool has_service(const char *service)
{
	struct conf *c = conf_current_get(current);
	bool has = conf_find_service(c, service) != NULL;

	conf_release(c);
	return has;
}

static void put_worker(const struct feed_worker *w, uint64_t revision)
{
	const struct feed_change c = { .worker = *w };

	feed_change_workers(feed, &c, 1, revision);
}

static void remove_worker(const struct feed_worker *w, uint64_t revision)
{
	const struct feed_change c = { .worker = *w, .removed = true };

	feed_change_workers(feed, &c, 1, revision);
}

/* Guards against an older configuration that replaces a newer one, an invalid
 * one that stops updates of workers, and updates that are lost. Version 4 is
 * older, version 6 is invalid. */
static void test_configuration_version_only_increases(void)
{
	struct feed_worker w[2] = { worker("w1", 1, 1), worker("w2", 2, 2) };

	feed_set_configuration(feed, 5, base);
	put_worker(&w[0], 1);
	CU_ASSERT(wait_for_workers("stock", 1));
	feed_set_configuration(feed, 4, "[service other]\n");
	feed_set_configuration(feed, 6, "[nonsense\n");
	put_worker(&w[1], 2);
	CU_ASSERT(wait_for_workers("stock", 2));
	CU_ASSERT(!has_service("other"));
	feed_set_configuration(feed, 7,
			       "[data_centre a1]\nregion = a\n"
			       "[service other]\n[service stock]\n");
	remove_worker(&w[1], 3);
	CU_ASSERT(wait_for_workers("stock", 1));
	CU_ASSERT(wait_for_workers("other", 0));
	feed_replace_workers(feed, w, 2, 2);
	CU_ASSERT(wait_for_workers("stock", 2));
}

static enum az_status import(const char *state)
{
	struct buf data = { 0 };
	enum az_status s;

	buf_append(&data, state, (uint32_t)strlen(state));
	s = feed_import_state(feed, &data);
	buf_free(&data);
	return s;
}

static bool wait_for_position(uint64_t position)
{
	for (uint32_t i = 0; i < 1000; i++) {
		struct timespec ts = { 0, 10000000 };

		if (feed_get_known(feed).position == position)
			return true;
		nanosleep(&ts, NULL);
	}
	return false;
}

/* Guards against a half of a position that is taken over without its contents:
 * the daemon would never ask for them again. */
static void test_position_is_raised_by_halves(void)
{
	struct feed_worker w = worker("w1", 1, 1);

	feed_set_configuration(feed, 20, base);
	feed_replace_workers(feed, &w, 1, 1);
	feed_set_position(feed, 0x1400000014);
	CU_ASSERT(wait_for_position(0x1400000014));
	/* Newer configuration, older workers. */
	CU_ASSERT_EQUAL(import("90194313232 20 0 0 0 0 0 0 0\n"), AZ_OK);
	CU_ASSERT(wait_for_position(0x1500000014));
	CU_ASSERT(wait_for_workers("stock", 1));
	/* A difference to a configuration that this daemon does not hold. */
	CU_ASSERT_EQUAL(import("94489280528 21 1 0 19 0 0 7 0\nx"), AZ_OK);
	/* An unchanged worker that this daemon does not hold: until it has all
	 * workers, it asks for all of them. */
	CU_ASSERT_EQUAL(import("30 20 0 1 0 0 0 0 0\n=w9\n"), AZ_OK);
	CU_ASSERT(wait_for_position(0x1500000000));
	CU_ASSERT_EQUAL(import("30 20 0 1 0 0 0 0 0\n=w1\n"), AZ_OK);
	CU_ASSERT(wait_for_position(0x150000001e));
	CU_ASSERT(wait_for_workers("stock", 1));
}

static uint64_t raised_position; /* atomic; that the feed has told */

static void note_raised(struct feed_listener *l, uint64_t position)
{
	(void)l;
	__atomic_store_n(&raised_position, position, __ATOMIC_RELEASE);
}

static struct feed_known confirmed; /* with confirmed_us, under known_lock */
static int64_t confirmed_us;
static pthread_mutex_t known_lock = PTHREAD_MUTEX_INITIALIZER;

static void note_confirmed(struct feed_listener *l,
			   const struct feed_known *known, int64_t us)
{
	(void)l;
	pthread_mutex_lock(&known_lock);
	confirmed = *known;
	confirmed_us = us;
	pthread_mutex_unlock(&known_lock);
}

/* Has the source confirm the feed's state, and returns what was confirmed. */
static struct feed_known confirm(uint64_t revision, int64_t us)
{
	struct feed_known known = { 0 };
	bool done = false;

	feed_confirm(feed, revision, us);
	for (uint32_t i = 0; i < 1000 && !done; i++) {
		struct timespec ts = { 0, 10000000 };

		pthread_mutex_lock(&known_lock);
		done = confirmed_us == us;
		known = confirmed;
		pthread_mutex_unlock(&known_lock);
		nanosleep(&ts, NULL);
	}
	CU_ASSERT(done);
	return known;
}

static const struct feed_listener_ops listener_ops = { note_raised,
						       note_confirmed };
static struct feed_listener listener = { &listener_ops };

/* Guards against daemons that go on using a worker which was removed while the
 * watchers had no watch (review/4): the objects of their list do not show the
 * revision of the removal, so that their position did not rise. */
static void test_removal_found_in_a_list_raises_the_position(void)
{
	struct feed_worker w[2] = { worker("w1", 1, 50), worker("w2", 2, 51) };

	feed_replace_workers(feed, w, 2, 60);
	feed_set_position(feed, 0x1500000033);
	CU_ASSERT(wait_for_position(0x1500000033));
	feed_replace_workers(feed, w, 2, 61);
	feed_replace_workers(feed, w, 1, 62);
	CU_ASSERT(wait_for_workers("stock", 1));
	CU_ASSERT(wait_for_position(0x150000003e));
	CU_ASSERT_EQUAL(__atomic_load_n(&raised_position, __ATOMIC_ACQUIRE),
			0x150000003e);
}

/* Guards against a daemon that has just listed, takes the older state of one
 * that has not heard of a removal, and uses the removed worker again; its own
 * position is lower, as the list shows only the revisions of what is left. */
static void test_older_state_does_not_replace_a_list(void)
{
	static const char one_more[] = "85 20 0 2 0 0 0 0 0\n=w1\n"
				       "w2 stock a1 2130706433 2 6 0 1 0 60\n";
	struct feed_worker w = worker("w1", 1, 70);

	feed_replace_workers(feed, &w, 1, 90);
	feed_set_position(feed, 0x1500000046);
	CU_ASSERT(wait_for_position(0x1500000046));
	/* The same workers at position 80. */
	CU_ASSERT_EQUAL(import("80 20 0 1 0 0 0 0 0\n=w1\n"), AZ_OK);
	CU_ASSERT(wait_for_position(0x1500000050));
	/* One worker more at position 85: it was removed until 90, unless the
	 * entry has lapsed. */
	CU_ASSERT_EQUAL(import(one_more), AZ_OK);
	CU_ASSERT_EQUAL(feed_get_known(feed).position, 0x1500000050);
	for (uint32_t i = 0;
	     i < 1000 && feed_get_known(feed).position == 0x1500000050; i++) {
		struct timespec ts = { 0, 10000000 };

		nanosleep(&ts, NULL);
		import(one_more);
	}
	CU_ASSERT(wait_for_position(0x150000005a));
	CU_ASSERT(wait_for_workers("stock", 1));
	CU_ASSERT_EQUAL(__atomic_load_n(&raised_position, __ATOMIC_ACQUIRE),
			0x150000005a);
	/* A newer state counts. */
	CU_ASSERT_EQUAL(import("95 20 0 2 0 0 0 0 0\n=w1\n"
			       "w3 stock a1 2130706433 3 6 0 1 0 94\n"),
			AZ_OK);
	CU_ASSERT(wait_for_workers("stock", 2));
}

static uint64_t hash_of(const struct feed_worker *w, uint32_t count)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < count; i++)
		hash += feed_worker_hash(&w[i]);
	return hash;
}

static enum az_status import_as_of(const char *head, const char *workers,
				   uint32_t as_of, uint64_t hash)
{
	char state[512];

	snprintf(state, sizeof(state), "%s 0 0 0 0 0 %u %llu\n%s", head, as_of,
		 (unsigned long long)hash, workers);
	return import(state);
}

/* Guards against daemons that go on using a worker which was removed while both
 * watchers were down (review/10). These list without it when they have started,
 * and their position is that of the newest worker that is left: the position of
 * the daemons that have missed the removal. */
static void test_newer_state_at_the_same_position_is_imported(void)
{
	struct feed_worker w[3] = { worker("w1", 1, 100), worker("w2", 2, 101),
				    worker("w3", 3, 102) };
	struct feed_known before;

	feed_replace_workers(feed, w, 3, 110);
	feed_set_position(feed, 0x1500000066);
	CU_ASSERT(wait_for_workers("stock", 3));
	before = confirm(110, 1);
	CU_ASSERT_EQUAL(before.as_of, 110);
	/* Of an earlier revision, and of the same one. */
	import_as_of("90194313318 20 0 2", "=w1\n=w3\n", 109, 1);
	import_as_of("90194313318 20 0 2", "=w1\n=w3\n", 110, 1);
	CU_ASSERT_EQUAL(confirm(110, 2).hash, before.hash);
	/* The hash is not that of the workers: they are asked for as a whole.
	 */
	import_as_of("90194313318 20 0 2", "=w1\n=w3\n", 111, 1);
	CU_ASSERT_EQUAL(confirm(110, 3).hash, before.hash);
	CU_ASSERT_EQUAL(feed_get_known(feed).position, 0x1500000000);
	w[1] = w[2];
	import_as_of("90194313318 20 0 2", "=w1\n=w3\n", 111, hash_of(w, 2));
	CU_ASSERT(wait_for_workers("stock", 2));
	CU_ASSERT_EQUAL(feed_get_known(feed).position, 0x1500000066);
	CU_ASSERT_EQUAL(feed_get_known(feed).as_of, 111);
	/* An answer of its own watch that was late. */
	before = feed_get_known(feed);
	w[1] = worker("w2", 2, 101);
	put_worker(&w[1], 111);
	CU_ASSERT_EQUAL(confirm(111, 4).hash, before.hash);
}

/* Guards against a state that is older than what the daemon has agreed to, and
 * replaces it: another daemon holds a worker that was added and removed since
 * this one was last told (found by spec/position.pml). */
static void test_agreed_revision_refuses_older_states(void)
{
	struct feed_worker w[2] = { worker("w1", 1, 100),
				    worker("w2", 2, 121) };
	struct feed_known known;

	feed_replace_workers(feed, w, 1, 120);
	CU_ASSERT(wait_for_workers("stock", 1));
	known = confirm(120, 5);
	feed_agree(feed, known.hash + 1, 130);
	CU_ASSERT_EQUAL(confirm(120, 6).as_of, 120);
	feed_agree(feed, known.hash, 125);
	CU_ASSERT_EQUAL(confirm(120, 7).as_of, 125);
	import_as_of("90194313337 20 0 2",
		     "=w1\nw2 stock a1 2130706433 2 6 0 1 0 121\n", 122,
		     hash_of(w, 2));
	known = confirm(120, 8);
	CU_ASSERT_EQUAL(known.as_of, 125);
	CU_ASSERT(wait_for_workers("stock", 1));
}

/* Guards against a service that loses its workers when the source recovers: the
 * first state comes from a daemon that has started during the outage, and which
 * does not know the entries that have lapsed. Once another daemon's state has
 * shown that the outage is over, workers that are missing have left. */
static void test_lapsed_entries_outlast_the_state_of_a_started_daemon(void)
{
	struct feed_worker w[3] = { worker("w1", 1, 100), worker("w2", 2, 101),
				    worker("w3", 3, 102) };

	feed_replace_workers(feed, w, 3, 140);
	feed_set_position(feed, 0x1500000066);
	CU_ASSERT(wait_for_workers("stock", 3));
	feed_source_unreachable(feed);
	import_as_of("90194313318 20 0 1", "=w1\n", 141, hash_of(w, 1));
	CU_ASSERT_EQUAL(confirm(141, 9).as_of, 141);
	nanosleep(&(struct timespec){ 0, 200000000 }, NULL);
	CU_ASSERT(wait_for_workers("stock", 3));
	CU_ASSERT(wait_for_workers("stock", 1));
	feed_replace_workers(feed, w, 3, 142);
	CU_ASSERT(wait_for_workers("stock", 3));
	import_as_of("90194313318 20 0 1", "=w1\n", 143, hash_of(w, 1));
	CU_ASSERT(wait_for_workers("stock", 1));
}

/* Guards against hashes that depend on the order in which workers were
 * delivered, or on entries that a daemon keeps although they are missing:
 * daemons with the same workers would ask the source, and fetch, all the time.
 */
static void test_hash_is_that_of_the_listed_workers(void)
{
	struct feed_table *a = feed_table_create();
	struct feed_table *b = feed_table_create();
	struct feed_worker w[2] = { worker("w1", 1, 5), worker("w2", 2, 6) };
	uint64_t one;
	int64_t next_us;

	CU_ASSERT_EQUAL(a->hash, 0);
	feed_table_put(a, &w[0]);
	one = a->hash;
	CU_ASSERT_NOT_EQUAL(one, 0);
	feed_table_put(a, &w[1]);
	feed_table_put(b, &w[1]);
	w[0].cold_ms = 300;
	feed_table_put(b, &w[0]);
	CU_ASSERT_EQUAL(a->hash, b->hash);
	w[1].leaving = true;
	w[1].revision = 7;
	feed_table_put(b, &w[1]);
	CU_ASSERT_NOT_EQUAL(a->hash, b->hash);
	feed_table_put(a, &w[1]);
	CU_ASSERT_EQUAL(a->hash, b->hash);
	/* a keeps the missing worker for a while, b does not. */
	feed_table_source_unreachable(a);
	feed_table_source_recovered(a, US_PER_S);
	feed_table_replace(a, w, 1, 9, US_PER_S);
	feed_table_replace(b, w, 1, 9, US_PER_S);
	CU_ASSERT_EQUAL(feed_table_size(a), 2);
	CU_ASSERT_EQUAL(a->hash, one);
	CU_ASSERT_EQUAL(b->hash, one);
	feed_table_expire(a, US_PER_S + FEED_MISSING_GRACE_US, &next_us);
	CU_ASSERT_EQUAL(feed_table_size(a), 1);
	CU_ASSERT_EQUAL(a->hash, one);
	feed_table_remove(a, "w1");
	CU_ASSERT_EQUAL(a->hash, 0);
	feed_table_destroy(a);
	feed_table_destroy(b);
}

/* Guards against a worker whose entry has lapsed at the source and that other
 * daemons keep for good, because they were not told that it is to be dropped:
 * the drop itself does not raise the position. */
static void test_expiry_is_part_of_the_state(void)
{
	struct feed_table *sender = feed_table_create();
	struct feed_table *receiver = feed_table_create();
	struct feed_worker w[2] = { worker("w1", 1, 5), worker("w2", 2, 6) };
	const struct feed_known known = { .position = 6,
					  .version = 0,
					  .decodes_all = true };
	struct feed_state_source source = { .position = 9,
					    .workers = sender,
					    .now_us = 2 * US_PER_S };
	struct buf out = { 0 };
	struct feed_state s;
	int64_t next_us;

	for (uint32_t i = 0; i < 2; i++) {
		feed_table_put(sender, &w[i]);
		feed_table_put(receiver, &w[i]);
	}
	feed_table_source_unreachable(sender);
	feed_table_source_recovered(sender, US_PER_S);
	feed_table_replace(sender, w, 1, 9, US_PER_S);
	CU_ASSERT_EQUAL(feed_table_size(sender), 2);
	CU_ASSERT_EQUAL(sender->missing_revision, 9);
	feed_state_print(&source, &known, &out);
	CU_ASSERT_EQUAL_FATAL(feed_state_parse(&out, &s), AZ_OK);
	CU_ASSERT_EQUAL(s.count, 1);
	CU_ASSERT(feed_state_complete_workers(&s, receiver));
	feed_table_replace(receiver, s.workers, s.count, 0, 7 * US_PER_S);
	CU_ASSERT_EQUAL(feed_table_size(receiver), 2);
	feed_table_expire(receiver,
			  7 * US_PER_S + FEED_MISSING_GRACE_US - US_PER_S,
			  &next_us);
	CU_ASSERT_EQUAL(feed_table_size(receiver), 1);
	CU_ASSERT_PTR_NOT_NULL(feed_table_find(receiver, "w1"));
	CU_ASSERT_EQUAL(receiver->missing_revision, 0);
	feed_state_free(&s);
	buf_free(&out);
	feed_table_destroy(sender);
	feed_table_destroy(receiver);
}

int main(void)
{
	struct feed_settings fs = { .listener = &listener };
	apr_pool_t *pool;
	CU_pSuite s;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	log_set_level(LOG_ERROR);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	current = conf_current_create(pool);
	fs.current = current;
	feed = feed_create(&fs, timers);
	feed_start(feed);
	CU_initialize_registry();
	s = CU_add_suite("feed", NULL, NULL);
	CU_add_test(s, "newer", test_newer_entries_win);
	CU_add_test(s, "left", test_few_missing_after_an_outage_have_left);
	CU_add_test(s, "lapsed", test_many_missing_after_an_outage_are_kept);
	CU_add_test(s, "address", test_newest_entry_of_an_address_counts);
	CU_add_test(s, "odd worker",
		    test_odd_worker_does_not_invalidate_the_configuration);
	CU_add_test(s, "versions", test_configuration_version_only_increases);
	CU_add_test(s, "halves", test_position_is_raised_by_halves);
	CU_add_test(s, "removal",
		    test_removal_found_in_a_list_raises_the_position);
	CU_add_test(s, "older state", test_older_state_does_not_replace_a_list);
	CU_add_test(s, "newer state",
		    test_newer_state_at_the_same_position_is_imported);
	CU_add_test(s, "agreed", test_agreed_revision_refuses_older_states);
	CU_add_test(s, "lapsed at a started daemon",
		    test_lapsed_entries_outlast_the_state_of_a_started_daemon);
	CU_add_test(s, "hash", test_hash_is_that_of_the_listed_workers);
	CU_add_test(s, "expiry", test_expiry_is_part_of_the_state);
	CU_basic_run_tests();
	feed_stop(feed);
	timer_service_stop(timers);
	apr_pool_destroy(pool);
	return CU_get_number_of_failures() != 0;
}
