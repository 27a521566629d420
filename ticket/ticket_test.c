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

/* Guards against a ticket whose text loses a field. */
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

/* Guards against a caller's change of any character being accepted. */
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

/* Guards against a second run of one ticket. */
static void test_ticket_runs_once(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_decision d = ledger_present(l, &t, 11, 0);

	CU_ASSERT_EQUAL(d.action, LEDGER_RUN);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 11, 0).action, LEDGER_JOIN);
	CU_ASSERT_EQUAL(ledger_running(l), 1);
	ledger_end(l, d.entry, answer_new(ERR_NONE));
	CU_ASSERT_EQUAL(ledger_running(l), 0);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 11, 0).action, LEDGER_REPLY);
	ledger_destroy(l);
}

/* Guards against a late copy that runs after the caller was told "not run". */
static void test_not_run_is_final(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_decision d = ledger_present(l, &t, 11, 0);

	ledger_end(l, d.entry, answer_new(ERR_NO_WORKER));
	d = ledger_present(l, &t, 11, 0);
	CU_ASSERT_EQUAL(d.action, LEDGER_REPLY);
	CU_ASSERT_EQUAL(d.entry->state, LEDGER_NOT_RUN);
	CU_ASSERT_EQUAL(d.entry->answer->outcome, OUTCOME_NOT_RUN);
	ledger_destroy(l);
}

/* Guards against one ticket used for two different pieces of work. */
static void test_ticket_is_bound_to_its_first_request(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct request *a = request_new("POST", "/pay", "s");
	struct request *b = request_new("POST", "/pay", "s");
	struct ledger_decision d;

	buf_append(&b->body, "2", 1);
	CU_ASSERT_NOT_EQUAL(ledger_binding(a), ledger_binding(b));
	ledger_present(l, &t, ledger_binding(a), 0);
	d = ledger_present(l, &t, ledger_binding(b), 0);
	CU_ASSERT_EQUAL(d.action, LEDGER_REFUSE);
	CU_ASSERT_EQUAL(d.kind, ERR_TICKET_MISMATCH);
	request_free(a);
	request_free(b);
	ledger_destroy(l);
}

/* Guards against a ticket of an earlier incarnation, a forged one, or an
 * expired one being run. */
static void test_strange_tickets_are_refused(void)
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

/* Guards against an entry that is dropped while its ticket is still good. */
static void test_entries_outlive_their_tickets(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_decision d = ledger_present(l, &t, 1, 0);

	ledger_expire(l, 5000);
	CU_ASSERT_EQUAL(ledger_size(l), 1);
	ledger_end(l, d.entry, answer_new(ERR_NONE));
	ledger_expire(l, 999);
	CU_ASSERT_EQUAL(ledger_size(l), 1);
	ledger_expire(l, 1000);
	CU_ASSERT_EQUAL(ledger_size(l), 0);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 1, 1000).kind,
			ERR_TICKET_EXPIRED);
	ledger_destroy(l);
}

/* Guards against "not run" for a ticket when the ledger is full or frozen. */
static void test_full_and_frozen_say_unknown(void)
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

/* Guards against a successor that runs a ticket again, or judges its expiry by
 * its own clock. */
static void test_adopted_ledger_answers(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ticket unused = new_ticket(2);
	struct answer *a = answer_new(ERR_NONE);

	ledger_set_clock_offset(l, 900 - 1000000);
	CU_ASSERT_EQUAL(ledger_adopt(l, 1, 11, LEDGER_ANSWERED, 1000, a),
			AZ_OK);
	CU_ASSERT_EQUAL(ledger_present(l, &t, 11, 1000000).action,
			LEDGER_REPLY);
	CU_ASSERT_EQUAL(ledger_present(l, &unused, 11, 1000000).action,
			LEDGER_RUN);
	unused = new_ticket(3);
	CU_ASSERT_EQUAL(ledger_present(l, &unused, 11, 1000100).kind,
			ERR_TICKET_EXPIRED);
	CU_ASSERT_EQUAL(ledger_adopt(l, 4, 1, LEDGER_RUNNING, 1000,
				     answer_new(ERR_NONE)),
			AZ_INVALID);
	ledger_destroy(l);
}

/* Guards against a caller that waits beyond its deadline for a run that others
 * started. */
static void test_due_waiters_are_taken_out(void)
{
	struct ledger *l = ledger_create(INCARNATION, key);
	struct ticket t = new_ticket(1);
	struct ledger_entry *e = ledger_present(l, &t, 1, 0).entry;
	struct ledger_waiter early = { NULL, NULL, 10 };
	struct ledger_waiter late = { &early, NULL, 20 };
	int64_t next_us = INT64_MAX;

	e->waiters = &late;
	CU_ASSERT_PTR_EQUAL(ledger_due_waiters(l, 10, &next_us), &early);
	CU_ASSERT_EQUAL(next_us, 20);
	CU_ASSERT_PTR_EQUAL(ledger_end(l, e, answer_new(ERR_NONE)), &late);
	CU_ASSERT_PTR_NULL(late.next);
	ledger_destroy(l);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	CU_initialize_registry();
	s = CU_add_suite("ticket", NULL, NULL);
	CU_add_test(s, "text", test_text_keeps_the_ticket);
	CU_add_test(s, "changed text", test_changed_text_is_refused);
	CU_add_test(s, "once", test_ticket_runs_once);
	CU_add_test(s, "not-run final", test_not_run_is_final);
	CU_add_test(s, "binding", test_ticket_is_bound_to_its_first_request);
	CU_add_test(s, "strange", test_strange_tickets_are_refused);
	CU_add_test(s, "expiry", test_entries_outlive_their_tickets);
	CU_add_test(s, "full, frozen", test_full_and_frozen_say_unknown);
	CU_add_test(s, "adopted", test_adopted_ledger_answers);
	CU_add_test(s, "due waiters", test_due_waiters_are_taken_out);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
