#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "ticket/ticket.h"

#define INCARNATION 77

static const uint8_t key[TICKET_KEY_BYTES] = { 1, 2, 3 };
static const uint8_t other_key[TICKET_KEY_BYTES] = { 3, 2, 1 };

static struct ticket new_ticket(uint64_t sequence)
{
	struct ticket t = {
		.ip = 0x7f000001,
		.port = 17101,
		.rank = RANK_NORMAL,
		.incarnation = INCARNATION,
		.sequence = sequence,
		.organisation = 5,
		.expiry_us = 1000,
	};

	ticket_sign(&t, key);
	return t;
}

/* Guards against a text form that loses or changes a field of the ticket. */
static void test_text_keeps_the_ticket(void)
{
	struct ticket t = new_ticket(9);
	struct ticket back = { 0 };
	char text[TICKET_TEXT_MAX_BYTES];

	ticket_format(&t, text);
	CU_ASSERT_EQUAL(ticket_parse(text, &back), AZ_OK);
	CU_ASSERT(ticket_verify(&back, key));
	CU_ASSERT(!ticket_verify(&back, other_key));
	CU_ASSERT_EQUAL(back.sequence, 9);
	CU_ASSERT_EQUAL(back.port, 17101);
	CU_ASSERT_EQUAL(back.expiry_us, 1000);
}

/* Guards against accepting a ticket after a caller has changed any character of
 * its text. */
static void test_changed_text_is_refused(void)
{
	struct ticket t = new_ticket(9);
	char text[TICKET_TEXT_MAX_BYTES];
	size_t n;

	ticket_format(&t, text);
	n = strlen(text);
	for (size_t i = 0; i < n; i++) {
		struct ticket back;
		char was = text[i];

		text[i] = was == 'A' ? 'B' : 'A';
		if (ticket_parse(text, &back) == AZ_OK)
			CU_ASSERT(!ticket_verify(&back, key));
		text[i] = was;
	}
	CU_ASSERT_EQUAL(ticket_parse("", &t), AZ_INVALID);
	CU_ASSERT_EQUAL(ticket_parse("no ticket", &t), AZ_INVALID);
	text[n - 1] = '=';
	CU_ASSERT_EQUAL(ticket_parse(text, &t), AZ_INVALID);
}

/* Guards against running a ticket again when it is presented again, during the
 * run or after it. */
static void test_ticket_runs_once(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_decision d = ledger_present(l, &t, 11, 0);

	CU_ASSERT_EQUAL(d.action, LEDGER_RUN);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 11, 0).action, LEDGER_JOIN);
	CU_ASSERT_EQUAL(ledger_running_count(l), 1);
	ledger_complete(l, d.entry, answer_new(ERR_NONE));
	CU_ASSERT_EQUAL(ledger_running_count(l), 0);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 11, 0).action, LEDGER_REPLY);
	ledger_destroy(l);
}

/* Guards against running a ticket that is presented again after the caller has
 * got the answer "not run". */
static void test_not_run_is_final(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_decision d = ledger_present(l, &t, 11, 0);

	ledger_complete(l, d.entry, answer_new(ERR_NO_WORKER));
	d = ledger_present(l, &t, 11, 0);
	CU_ASSERT_EQUAL(d.action, LEDGER_REPLY);
	CU_ASSERT_EQUAL(d.entry->state, ENTRY_NOT_RUN);
	CU_ASSERT_EQUAL(d.entry->answer->outcome, OUTCOME_NOT_RUN);
	ledger_destroy(l);
}

/* Guards against stored answers that exhaust the memory, and against losing the
 * outcome of a request with its answer. */
static void test_stored_answers_are_bounded(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct answer_store store = { .max_bytes = 100000 };
	struct ledger_entry *e[4];

	ledger_set_store(l, &store);
	for (uint32_t i = 0; i < 4; i++) {
		struct ticket t = new_ticket(i + 1);
		struct answer *a = answer_new(ERR_NONE);

		a->outcome = OUTCOME_RAN;
		buf_reserve(&a->body, 40000);
		e[i] = ledger_present(l, &t, 11, 0).entry;
		ledger_complete(l, e[i], a);
		ledger_bound_answer(l, e[i]);
		CU_ASSERT(store.held_bytes <= store.max_bytes);
	}
	CU_ASSERT_EQUAL(e[1]->answer->kind, ERR_NONE);
	for (uint32_t i = 2; i < 4; i++) {
		struct ticket t = new_ticket(i + 1);

		CU_ASSERT_EQUAL(e[i]->answer->kind, ERR_ANSWER_TOO_LARGE);
		CU_ASSERT_EQUAL(e[i]->answer->outcome, OUTCOME_RAN);
		CU_ASSERT_EQUAL(ledger_present(l, &t, 11, 0).action,
				LEDGER_REPLY);
	}
	ledger_expire(l, INT64_MAX);
	CU_ASSERT_EQUAL(store.held_bytes, 0);
	ledger_destroy(l);
}

/* Guards against using one ticket for two different requests. */
static void test_ticket_is_bound_to_its_first_request(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct request *a = request_new("POST", "/pay", "s");
	struct request *b = request_new("POST", "/pay", "s");
	struct ledger_decision d;

	buf_append(&b->body, "2", 1);
	CU_ASSERT_NOT_EQUAL(ledger_request_hash(a), ledger_request_hash(b));
	ledger_present(l, &t, ledger_request_hash(a), 0);
	d = ledger_present(l, &t, ledger_request_hash(b), 0);
	CU_ASSERT_EQUAL(d.action, LEDGER_REFUSE);
	CU_ASSERT_EQUAL(d.kind, ERR_TICKET_MISMATCH);
	request_free(a);
	request_free(b);
	ledger_destroy(l);
}

/* Guards against running a forged or expired ticket, or one of another
 * incarnation. */
static void test_invalid_tickets_are_refused(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ticket old = t;

	CU_ASSERT_EQUAL(ledger_present(l, &t, 1, 1000).kind,
			ERR_TICKET_EXPIRED);
	t.sequence++;
	CU_ASSERT_EQUAL(ledger_present(l, &t, 1, 0).kind, ERR_TICKET_INVALID);
	old.incarnation++;
	ticket_sign(&old, key);
	CU_ASSERT_EQUAL(ledger_present(l, &old, 1, 0).kind, ERR_ISSUER_GONE);
	CU_ASSERT_EQUAL(ledger_size(l), 0);
	ledger_destroy(l);
}

/* Guards against removing an entry while it runs or its ticket is still valid,
 * after which the ticket would look unused. */
static void test_entries_stay_until_expiry(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_decision d = ledger_present(l, &t, 1, 0);

	ledger_expire(l, 5000);
	CU_ASSERT_EQUAL(ledger_size(l), 1);
	ledger_complete(l, d.entry, answer_new(ERR_NONE));
	ledger_expire(l, 999);
	CU_ASSERT_EQUAL(ledger_size(l), 1);
	ledger_expire(l, 1000);
	CU_ASSERT_EQUAL(ledger_size(l), 0);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 1, 1000).kind,
			ERR_TICKET_EXPIRED);
	ledger_destroy(l);
}

/* Guards against answering "not run" when the ledger is full or frozen: another
 * presentation of the ticket may have run. */
static void test_full_or_frozen_ledger_refuses_as_unknown(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ledger_decision d;
	struct ticket t;

	for (uint64_t s = 1; s <= LEDGER_ENTRIES_MAX; s++) {
		t = new_ticket(s);
		ledger_present(l, &t, 1, 0);
	}
	t = new_ticket(LEDGER_ENTRIES_MAX + 1);
	d = ledger_present(l, &t, 1, 0);
	CU_ASSERT_EQUAL(error_info(d.kind)->outcome, OUTCOME_UNKNOWN);
	ledger_freeze(l);
	t = new_ticket(1);
	d = ledger_present(l, &t, 1, 0);
	CU_ASSERT_EQUAL(d.action, LEDGER_REFUSE);
	CU_ASSERT_EQUAL(error_info(d.kind)->outcome, OUTCOME_UNKNOWN);
	ledger_destroy(l);
}

/* Guards against a successor that runs a used ticket again, or that compares
 * the expiry with its own clock instead of the issuer's. */
static void test_adopted_ledger_uses_issuer_clock(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ticket unused = new_ticket(2);
	struct answer *a = answer_new(ERR_NONE);

	/* The issuer's clock shows 900 us when this process's shows 1 s. */
	ledger_set_clock_offset(l, 900 - 1000000);
	CU_ASSERT_EQUAL(ledger_import_entry(l, 1, 11, ENTRY_ANSWERED, 1000, a),
			AZ_OK);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 11, 1000000).action,
			LEDGER_REPLY);
	CU_ASSERT_EQUAL(ledger_present(l, &unused, 11, 1000000).action,
			LEDGER_RUN);
	unused = new_ticket(3);
	CU_ASSERT_EQUAL(ledger_present(l, &unused, 11, 1000100).kind,
			ERR_TICKET_EXPIRED);
	CU_ASSERT_EQUAL(ledger_import_entry(l, 4, 1, ENTRY_RUNNING, 1000,
					    answer_new(ERR_NONE)),
			AZ_INVALID);
	ledger_destroy(l);
}

/* Guards against a presentation that waits beyond its own deadline for the run
 * of an earlier one. */
static void test_expired_waiters_are_removed(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_entry *e = ledger_present(l, &t, 1, 0).entry;
	struct ledger_waiter early = { NULL, NULL, 10 };
	struct ledger_waiter late = { &early, NULL, 20 };
	int64_t next_us = INT64_MAX;

	e->waiters = &late;
	CU_ASSERT_PTR_EQUAL(ledger_take_expired_waiters(l, 10, &next_us),
			    &early);
	CU_ASSERT_EQUAL(next_us, 20);
	CU_ASSERT_PTR_EQUAL(ledger_complete(l, e, answer_new(ERR_NONE)), &late);
	CU_ASSERT_PTR_NULL(late.next);
	ledger_destroy(l);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("ticket", NULL, NULL);
	CU_add_test(s, "text keeps all fields", test_text_keeps_the_ticket);
	CU_add_test(s, "changed text is refused", test_changed_text_is_refused);
	CU_add_test(s, "ticket runs once", test_ticket_runs_once);
	CU_add_test(s, "stored answers are bounded",
		    test_stored_answers_are_bounded);
	CU_add_test(s, "not run is final", test_not_run_is_final);
	CU_add_test(s, "ticket is bound to its first request",
		    test_ticket_is_bound_to_its_first_request);
	CU_add_test(s, "invalid tickets are refused",
		    test_invalid_tickets_are_refused);
	CU_add_test(s, "entries stay until expiry",
		    test_entries_stay_until_expiry);
	CU_add_test(s, "full or frozen ledger refuses as unknown",
		    test_full_or_frozen_ledger_refuses_as_unknown);
	CU_add_test(s, "adopted ledger uses issuer's clock",
		    test_adopted_ledger_uses_issuer_clock);
	CU_add_test(s, "expired waiters are removed",
		    test_expired_waiters_are_removed);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
