#include <pthread.h>
#include <semaphore.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <unistd.h>
#include <CUnit/Basic.h>
#include <apr_general.h>

#include "peer/peer.h"

static struct fleet_keys keys; /* KEY_A */
static struct fleet_keys both_keys; /* KEY_B signs, KEY_A is accepted too */
static struct fleet_keys other_key; /* KEY_B */

#define KEY_A                                \
	"1:000102030405060708090a0b0c0d0e0f" \
	"101112131415161718191a1b1c1d1e1f"
#define KEY_B                                \
	"2:ff0102030405060708090a0b0c0d0e0f" \
	"101112131415161718191a1b1c1d1e1f"

static struct peer_session session(void)
{
	return (struct peer_session){ 5, 6, 0, 0 };
}

static struct buf call_record(struct peer_session *s, const struct buf *body)
{
	struct buf out = { 0 };

	peer_put_call(&out, s, &keys, 9, PEER_PRESENT, body);
	return out;
}

static struct request *sample_request(void)
{
	struct request *q = request_new("POST", "/pay?x=1", "ledger");

	q->organisation = 4;
	q->rank = RANK_BULK;
	q->deadline_us = 5 * US_PER_S;
	span_start(&q->span, NULL);
	buf_printf(&q->headers, "A: b\r\n");
	buf_append(&q->body, "body\0x", 6);
	return q;
}

static struct ticket sample_ticket(void)
{
	return (struct ticket){ .ip = 1,
				.port = 2,
				.rank = RANK_BULK,
				.incarnation = 44,
				.sequence = 3,
				.organisation = 4 };
}

static struct buf sample_body(struct request **q, int64_t now_us)
{
	struct ticket t = sample_ticket();
	struct buf body = { 0 };

	*q = sample_request();
	peer_put_present(&body, &t, *q, now_us);
	return body;
}

/* Guards against a field of a presentation that is lost or changed between
 * daemons. */
static void test_presentation_is_transferred_unchanged(void)
{
	struct peer_session ours = session();
	struct peer_session theirs = session();
	struct request *q;
	struct request *decoded = NULL;
	struct ticket t;
	struct buf body = sample_body(&q, US_PER_S);
	struct buf wire = call_record(&ours, &body);
	struct peer_record r;
	enum az_status st;

	CU_ASSERT_EQUAL(peer_record_bytes(wire.data, wire.len_bytes, &st),
			wire.len_bytes);
	CU_ASSERT_EQUAL(peer_record_bytes(wire.data, wire.len_bytes - 1, &st),
			0);
	CU_ASSERT_EQUAL(peer_get_record(wire.data, wire.len_bytes, true,
					&theirs, &keys, &r),
			AZ_OK);
	CU_ASSERT_EQUAL(r.procedure, PEER_PRESENT);
	CU_ASSERT_EQUAL(r.xid, 9);
	CU_ASSERT_EQUAL_FATAL(
		peer_get_present(&r, 100 * US_PER_S, &t, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(t.sequence, 3);
	CU_ASSERT_EQUAL(t.incarnation, 44);
	CU_ASSERT_EQUAL(decoded->rank, RANK_BULK);
	/* 4 s were left when it was sent, by the sender's clock of 1 s; the
	 * receiver's clock is at 100 s. */
	CU_ASSERT_EQUAL(decoded->deadline_us, 104 * US_PER_S);
	CU_ASSERT_EQUAL(decoded->span.span_id, q->span.span_id);
	CU_ASSERT_STRING_EQUAL(decoded->path, "/pay?x=1");
	CU_ASSERT_EQUAL(decoded->body.len_bytes, 6);
	CU_ASSERT(!memcmp(decoded->body.data, "body\0x", 6));
	request_free(decoded);
	request_free(q);
	buf_free(&body);
	buf_free(&wire);
}

/* Guards against records that are accepted although they are signed with
 * another key, replayed, recorded in another session, or sent back to their
 * sender as a reply. */
static void test_forged_or_replayed_records_are_denied(void)
{
	struct peer_session ours = session();
	struct peer_session theirs = session();
	struct peer_session other = { 5, 7, 0, 0 };
	struct buf body = { 0 };
	struct buf wire = call_record(&ours, &body);
	struct peer_record r;

	CU_ASSERT_EQUAL(peer_get_record(wire.data, wire.len_bytes, true, &other,
					&keys, &r),
			AZ_DENIED);
	CU_ASSERT_EQUAL(peer_get_record(wire.data, wire.len_bytes, true,
					&theirs, &other_key, &r),
			AZ_DENIED);
	CU_ASSERT_NOT_EQUAL(peer_get_record(wire.data, wire.len_bytes, false,
					    &theirs, &keys, &r),
			    AZ_OK);
	CU_ASSERT_EQUAL(peer_get_record(wire.data, wire.len_bytes, true,
					&theirs, &keys, &r),
			AZ_OK);
	CU_ASSERT_EQUAL(peer_get_record(wire.data, wire.len_bytes, true,
					&theirs, &keys, &r),
			AZ_DENIED);
	buf_free(&wire);
}

/* Guards against a record with one flipped bit that is accepted or crashes the
 * parser. */
static void test_changed_records_are_refused(void)
{
	struct peer_session ours = session();
	struct request *q;
	struct buf body = sample_body(&q, 0);
	struct buf wire = call_record(&ours, &body);

	for (uint32_t i = 4; i < wire.len_bytes; i++) {
		struct peer_session theirs = session();
		struct peer_record r;

		wire.data[i] ^= 1U << (i % 8);
		CU_ASSERT_NOT_EQUAL(peer_get_record(wire.data, wire.len_bytes,
						    true, &theirs, &keys, &r),
				    AZ_OK);
		wire.data[i] ^= 1U << (i % 8);
	}
	request_free(q);
	buf_free(&body);
	buf_free(&wire);
}

/* Guards against a truncated body that is accepted or read past its end. */
static void test_truncated_bodies_are_refused(void)
{
	struct request *q;
	struct buf body = sample_body(&q, 0);

	for (uint32_t n = 0; n < body.len_bytes; n++) {
		struct peer_record r = { true, 1, PEER_PRESENT, body.data, n };
		struct request *decoded;
		struct ticket t;

		CU_ASSERT_EQUAL(peer_get_present(&r, 0, &t, &decoded),
				AZ_INVALID);
	}
	request_free(q);
	buf_free(&body);
}

/* Guards against a change of the fleet key that cuts daemons off from each
 * other: while both keys are configured, records signed with the old one must
 * be accepted. */
static void test_key_change_overlaps(void)
{
	struct peer_session ours = session();
	struct peer_session theirs = session();
	struct buf body = { 0 };
	struct buf wire = call_record(&ours, &body);
	struct peer_record r;

	CU_ASSERT_EQUAL(peer_get_record(wire.data, wire.len_bytes, true,
					&theirs, &both_keys, &r),
			AZ_OK);
	buf_free(&wire);
}

/* Guards against malformed key settings that are accepted. */
static void test_bad_keys_are_refused(void)
{
	struct fleet_keys k;

	CU_ASSERT_EQUAL(fleet_keys_parse("", &k), AZ_INVALID);
	CU_ASSERT_EQUAL(fleet_keys_parse("1:00", &k), AZ_INVALID);
	CU_ASSERT_EQUAL(fleet_keys_parse(KEY_A ",", &k), AZ_INVALID);
	CU_ASSERT_EQUAL(fleet_keys_parse(KEY_A "0", &k), AZ_INVALID);
}

/* Guards against a ledger entry that is lost or changed on its way to the
 * successor. */
static void test_handover_is_transferred_unchanged(void)
{
	struct ledger_entry entries[2] = { 0 };
	struct ledger_part part = { .incarnation = 3,
				    .part_index = 0,
				    .part_count = 1,
				    .key = { 8 },
				    .issuer_now_us = 12,
				    .count = 2,
				    .entries = entries };
	struct ledger_part *decoded = NULL;
	struct buf body = { 0 };
	struct peer_record r;

	entries[0].sequence = 1;
	entries[0].state = ENTRY_ANSWERED;
	entries[0].answer = answer_new(ERR_NONE);
	buf_append(&entries[0].answer->body, "paid", 4);
	entries[1].sequence = 2;
	entries[1].state = ENTRY_NOT_RUN;
	entries[1].answer = answer_new(ERR_NO_WORKER);
	peer_put_handover(&body, &part);
	r = (struct peer_record){ true, 1, PEER_HANDOVER, body.data,
				  body.len_bytes };
	CU_ASSERT_EQUAL_FATAL(peer_get_handover(&r, &decoded), AZ_OK);
	CU_ASSERT_EQUAL(decoded->count, 2);
	CU_ASSERT_EQUAL(decoded->key[0], 8);
	CU_ASSERT_EQUAL(decoded->entries[1].state, ENTRY_NOT_RUN);
	CU_ASSERT_EQUAL(decoded->entries[0].answer->body.len_bytes, 4);
	ledger_part_free(decoded);
	r.body_bytes -= 4;
	CU_ASSERT_EQUAL(peer_get_handover(&r, &decoded), AZ_INVALID);
	answer_free(entries[0].answer);
	answer_free(entries[1].answer);
	buf_free(&body);
}

/* ---- two daemons in one process ---- */

/** A handler that leaves presentations unanswered until the test answers them,
 * and the caller's side of these calls. */
struct holder {
	struct peer_handler handler;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct reply_to *held_reply;
	struct answer *received_answer; /* received by the caller */
	struct reply_to reply;
};

static void hold_call(struct peer_handler *h, const struct ticket *t,
		      struct request *q, struct reply_to *reply)
{
	struct holder *holder = az_container_of(h, struct holder, handler);

	request_free(q);
	pthread_mutex_lock(&holder->lock);
	holder->held_reply = reply;
	pthread_cond_signal(&holder->wake);
	pthread_mutex_unlock(&holder->lock);
}

static const struct peer_handler_ops holder_ops = { .handle_present =
							    hold_call };

static void on_held_answer(struct reply_to *to, struct answer *a)
{
	struct holder *holder = az_container_of(to, struct holder, reply);

	pthread_mutex_lock(&holder->lock);
	holder->received_answer = a;
	pthread_cond_signal(&holder->wake);
	pthread_mutex_unlock(&holder->lock);
}

static const struct reply_ops held_answer_ops = { on_held_answer };

/* Waits for the next call or answer; returns the reply of the call, or NULL if
 * an answer came first. */
static struct reply_to *wait_held_or_answered(struct holder *holder)
{
	struct reply_to *r;

	pthread_mutex_lock(&holder->lock);
	while (!holder->held_reply && !holder->received_answer)
		pthread_cond_wait(&holder->wake, &holder->lock);
	r = holder->held_reply;
	holder->held_reply = NULL;
	pthread_mutex_unlock(&holder->lock);
	return r;
}

static enum error_kind wait_answer(struct holder *holder)
{
	enum error_kind k;

	pthread_mutex_lock(&holder->lock);
	while (!holder->received_answer)
		pthread_cond_wait(&holder->wake, &holder->lock);
	k = holder->received_answer->kind;
	answer_free(holder->received_answer);
	holder->received_answer = NULL;
	pthread_mutex_unlock(&holder->lock);
	return k;
}

static struct peer *start_peer(struct holder *holder, uint64_t incarnation,
			       struct timer_service *timers, apr_pool_t *pool)
{
	struct peer_settings s = {
		.ip = 0x7f000001,
		.member_id = incarnation,
		.incarnation = incarnation,
		.in_flight_max = 4,
		.keys = keys,
		.handler = &holder->handler,
	};
	struct peer *p = peer_create(&s, timers, pool);

	if (!p || peer_start(p) != AZ_OK)
		abort();
	return p;
}

static void send_call(struct peer *p, const struct peer_target *to,
		      struct holder *holder)
{
	struct ticket t = sample_ticket();

	peer_send_present(p, to, &t, sample_request(),
			  clock_now_us() + 60 * US_PER_S, &holder->reply);
}

/* Guards against a planned stop after which an accepted call is not answered,
 * or after which the caller of a call that was not accepted does not know
 * whether it ran. */
static void test_quiesce_answers_accepted_calls(void)
{
	struct holder holder = { .handler = { &holder_ops },
				 .reply = { &held_answer_ops } };
	apr_pool_t *pool;
	struct timer_service *timers;
	struct peer *server;
	struct peer *client;
	struct peer_target to = { 0x7f000001, 0, 11 };
	struct peer_target other = { 0x7f000001, 0, 12 };
	struct reply_to *held;
	struct reply_to *late;

	apr_pool_create(&pool, NULL);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	pthread_mutex_init(&holder.lock, NULL);
	pthread_cond_init(&holder.wake, NULL);
	server = start_peer(&holder, 11, timers, pool);
	client = start_peer(&holder, 22, timers, pool);
	to.port = other.port = peer_port(server);
	send_call(client, &other, &holder);
	CU_ASSERT_EQUAL(wait_answer(&holder), ERR_PEER_UNREACHABLE);
	send_call(client, &to, &holder);
	held = wait_held_or_answered(&holder);
	peer_quiesce(server);
	/* The second call races with the stop: it must be either accepted and
	 * answered, or certainly not accepted. */
	send_call(client, &to, &holder);
	late = wait_held_or_answered(&holder);
	if (late)
		late->ops->answer(late, answer_new(ERR_NONE));
	CU_ASSERT_EQUAL(wait_answer(&holder),
			late ? ERR_NONE : ERR_PEER_UNREACHABLE);
	held->ops->answer(held, answer_new(ERR_NONE));
	CU_ASSERT_EQUAL(wait_answer(&holder), ERR_NONE);
	peer_stop(client);
	peer_stop(server);
	timer_service_stop(timers);
	peer_destroy(client);
	peer_destroy(server);
	apr_pool_destroy(pool);
}

/* ---- a call after its connection was closed ---- */

struct caller {
	struct reply_to reply;
	sem_t answered;
	enum error_kind kind;
};

static void on_answer(struct reply_to *to, struct answer *a)
{
	struct caller *caller = az_container_of(to, struct caller, reply);

	caller->kind = a->kind;
	answer_free(a);
	sem_post(&caller->answered);
}

static const struct reply_ops caller_ops = { on_answer };

static void on_conf(struct peer_handler *h, enum peer_procedure proc,
		    struct buf *body, struct reply_to *reply)
{
	reply->ops->answer(reply, answer_new(ERR_NONE));
}

static const struct peer_handler_ops conf_handler_ops = { .handle_conf =
								  on_conf };

static uint16_t free_port(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sa, len) ||
	    getsockname(fd, (struct sockaddr *)&sa, &len))
		abort();
	close(fd);
	return ntohs(sa.sin_port);
}

static struct peer *start_conf_peer(uint16_t port, uint64_t incarnation,
				    struct timer_service *timers,
				    apr_pool_t *pool)
{
	static struct peer_handler handler = { &conf_handler_ops };
	struct peer_settings s = { .ip = INADDR_LOOPBACK,
				   .port = port,
				   .member_id = incarnation,
				   .incarnation = incarnation,
				   .in_flight_max = 16,
				   .keys = keys,
				   .handler = &handler };
	struct peer *p = peer_create(&s, timers, pool);

	if (!p || peer_start(p) != AZ_OK)
		abort();
	return p;
}

static enum error_kind call_conf(struct peer *p, uint16_t port,
				 struct caller *caller)
{
	struct peer_target to = { INADDR_LOOPBACK, port, 2 };
	struct buf body = { 0 };

	peer_send_conf(p, &to, PEER_CONF_LIST, &body,
		       clock_now_us() + 60 * US_PER_S, &caller->reply);
	while (sem_wait(&caller->answered))
		;
	return caller->kind;
}

/* Guards against a call on a connection that was closed and freed. Such a
 * connection stayed in by_target, and a daemon crashed at the first call after
 * an idle minute. */
static void test_call_after_close(void)
{
	struct caller caller = { .reply = { &caller_ops } };
	uint16_t port = free_port();
	struct timer_service *timers;
	struct peer *from;
	struct peer *to;
	apr_pool_t *pool;

	sem_init(&caller.answered, 0, 0);
	apr_pool_create(&pool, NULL);
	timers = timer_service_create(pool);
	timer_service_start(timers);
	from = start_conf_peer(free_port(), 1, timers, pool);
	to = start_conf_peer(port, 2, timers, pool);
	CU_ASSERT_EQUAL(call_conf(from, port, &caller), ERR_NONE);
	peer_stop(to);
	peer_destroy(to);
	/* The calls fail, on the old connection or on a new one. */
	CU_ASSERT_NOT_EQUAL(call_conf(from, port, &caller), ERR_NONE);
	CU_ASSERT_NOT_EQUAL(call_conf(from, port, &caller), ERR_NONE);
	to = start_conf_peer(port, 2, timers, pool);
	CU_ASSERT_EQUAL(call_conf(from, port, &caller), ERR_NONE);
	peer_stop(to);
	peer_stop(from);
	peer_destroy(to);
	peer_destroy(from);
	timer_service_stop(timers);
	sem_destroy(&caller.answered);
}

int main(void)
{
	CU_pSuite s;

	apr_initialize();
	fleet_keys_parse(KEY_A, &keys);
	fleet_keys_parse(KEY_B "," KEY_A, &both_keys);
	fleet_keys_parse(KEY_B, &other_key);
	CU_initialize_registry();
	s = CU_add_suite("peer", NULL, NULL);
	CU_add_test(s, "presentation",
		    test_presentation_is_transferred_unchanged);
	CU_add_test(s, "forged or replayed",
		    test_forged_or_replayed_records_are_denied);
	CU_add_test(s, "changed", test_changed_records_are_refused);
	CU_add_test(s, "truncated", test_truncated_bodies_are_refused);
	CU_add_test(s, "key change", test_key_change_overlaps);
	CU_add_test(s, "bad keys", test_bad_keys_are_refused);
	CU_add_test(s, "handover", test_handover_is_transferred_unchanged);
	CU_add_test(s, "call after close", test_call_after_close);
	CU_add_test(s, "quiesce", test_quiesce_answers_accepted_calls);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
