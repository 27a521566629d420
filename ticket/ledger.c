#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <openssl/crypto.h>

#include "ticket/ticket.h"

/* Test-only, set by "fault/run.sh --broken" in a separate build folder: a
 * ticket that is presented again runs again. */
#ifndef AZ_TEST_BREAK_LEDGER
#define AZ_TEST_BREAK_LEDGER 0
#endif

struct ledger {
	apr_pool_t *pool;
	apr_hash_t *entries;
	struct ledger_entry *running;
	uint32_t running_count;
	uint64_t incarnation;
	uint8_t key[TICKET_KEY_BYTES];
	int64_t clock_offset_us;
	struct answer_store *store; /* NULL: not bounded */
	bool frozen;
};

struct ledger *ledger_create(uint64_t incarnation,
			     const uint8_t key[TICKET_KEY_BYTES])
{
	struct ledger *l = calloc(1, sizeof(*l));

	if (!l || apr_pool_create_unmanaged_ex(&l->pool, NULL, NULL))
		abort();
	l->entries = apr_hash_make(l->pool);
	l->incarnation = incarnation;
	memcpy(l->key, key, sizeof(l->key));
	return l;
}

void ledger_set_store(struct ledger *l, struct answer_store *s)
{
	l->store = s;
}

static uint64_t stored_bytes(const struct answer *a)
{
	return a ? sizeof(*a) + a->headers.cap_bytes + a->body.cap_bytes : 0;
}

/* Replaces the answer of an entry. */
static void set_answer(struct ledger *l, struct ledger_entry *e,
		       struct answer *a)
{
	if (l->store)
		l->store->held_bytes +=
			stored_bytes(a) - stored_bytes(e->answer);
	answer_free(e->answer);
	e->answer = a;
}

void ledger_bound_answer(struct ledger *l, struct ledger_entry *e)
{
	struct answer *a;

	if (!l->store || l->store->held_bytes <= l->store->max_bytes ||
	    e->state != ENTRY_ANSWERED)
		return;
	a = answer_new(ERR_ANSWER_TOO_LARGE);
	a->outcome = OUTCOME_RAN;
	set_answer(l, e, a);
}

static void entry_free(struct ledger *l, struct ledger_entry *e)
{
	set_answer(l, e, NULL);
	free(e);
}

void ledger_destroy(struct ledger *l)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, l->entries); i; i = apr_hash_next(i))
		entry_free(l, apr_hash_this_val(i));
	OPENSSL_cleanse(l->key, sizeof(l->key));
	apr_pool_destroy(l->pool);
	free(l);
}

uint64_t ledger_incarnation(const struct ledger *l)
{
	return l->incarnation;
}

const uint8_t *ledger_key(const struct ledger *l)
{
	return l->key;
}

uint32_t ledger_size(const struct ledger *l)
{
	return apr_hash_count(l->entries);
}

uint32_t ledger_running_count(const struct ledger *l)
{
	return l->running_count;
}

void ledger_set_clock_offset(struct ledger *l, int64_t offset_us)
{
	l->clock_offset_us = offset_us;
}

int64_t ledger_clock_offset(const struct ledger *l)
{
	return l->clock_offset_us;
}

void ledger_freeze(struct ledger *l)
{
	l->frozen = true;
}

uint64_t ledger_request_hash(const struct request *r)
{
	uint64_t h = hash_bytes(&r->organisation, sizeof(r->organisation), 0);

	h = hash_bytes(r->method, strlen(r->method), h);
	h = hash_bytes(r->path, strlen(r->path), h);
	return hash_bytes(r->body.data, r->body.len_bytes, h);
}

static struct ledger_entry *find_entry(struct ledger *l, uint64_t sequence)
{
	return apr_hash_get(l->entries, &sequence, sizeof(sequence));
}

struct ledger_entry *ledger_find_running(struct ledger *l, uint64_t sequence)
{
	struct ledger_entry *e = find_entry(l, sequence);

	return e && e->state == ENTRY_RUNNING ? e : NULL;
}

static void running_add(struct ledger *l, struct ledger_entry *e)
{
	e->prev = NULL;
	e->next = l->running;
	if (l->running)
		l->running->prev = e;
	l->running = e;
	l->running_count++;
}

static void running_remove(struct ledger *l, struct ledger_entry *e)
{
	if (e->prev)
		e->prev->next = e->next;
	else
		l->running = e->next;
	if (e->next)
		e->next->prev = e->prev;
	e->next = e->prev = NULL;
	l->running_count--;
}

static struct ledger_entry *add_entry(struct ledger *l, uint64_t sequence,
				      uint64_t request_hash, int64_t expiry_us)
{
	struct ledger_entry *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->sequence = sequence;
	e->request_hash = request_hash;
	e->expiry_us = expiry_us;
	apr_hash_set(l->entries, &e->sequence, sizeof(e->sequence), e);
	return e;
}

static struct ledger_decision refuse(enum error_kind k)
{
	return (struct ledger_decision){ LEDGER_REFUSE, k, NULL };
}

static struct ledger_decision decision_for(struct ledger_entry *e)
{
	enum ledger_action a =
		e->state == ENTRY_RUNNING ? LEDGER_JOIN : LEDGER_REPLY;

	return (struct ledger_decision){ a, ERR_NONE, e };
}

/* A frozen ledger may already be served by a successor, so that this daemon no
 * longer knows whether its tickets have run. */
static enum error_kind check_ticket(const struct ledger *l,
				    const struct ticket *t)
{
	if (t->incarnation != l->incarnation)
		return ERR_ISSUER_GONE;
	if (!ticket_verify(t, l->key))
		return ERR_TICKET_INVALID;
	return l->frozen ? ERR_ISSUER_UNREACHABLE : ERR_NONE;
}

struct ledger_decision ledger_present(struct ledger *l, const struct ticket *t,
				      uint64_t request_hash, int64_t now_us)
{
	enum error_kind k = check_ticket(l, t);
	struct ledger_entry *e;

	if (k != ERR_NONE)
		return refuse(k);
	e = find_entry(l, t->sequence);
	if (e && !AZ_TEST_BREAK_LEDGER)
		return e->request_hash == request_hash ?
			       decision_for(e) :
			       refuse(ERR_TICKET_MISMATCH);
	if (now_us + l->clock_offset_us >= t->expiry_us)
		return refuse(ERR_TICKET_EXPIRED);
	if (apr_hash_count(l->entries) >= LEDGER_ENTRIES_MAX)
		return refuse(ERR_LEDGER_FULL);
	e = add_entry(l, t->sequence, request_hash, t->expiry_us);
	e->state = ENTRY_RUNNING;
	running_add(l, e);
	return (struct ledger_decision){ LEDGER_RUN, ERR_NONE, e };
}

struct ledger_decision ledger_status(struct ledger *l, const struct ticket *t,
				     int64_t now_us)
{
	enum error_kind k = check_ticket(l, t);
	struct ledger_entry *e;

	if (k != ERR_NONE)
		return refuse(k);
	e = find_entry(l, t->sequence);
	if (e)
		return decision_for(e);
	if (now_us + l->clock_offset_us >= t->expiry_us)
		return refuse(ERR_TICKET_EXPIRED);
	return (struct ledger_decision){ LEDGER_REPLY, ERR_NONE, NULL };
}

struct ledger_waiter *ledger_complete(struct ledger *l, struct ledger_entry *e,
				      struct answer *a)
{
	static const enum ledger_entry_state states[] = {
		[OUTCOME_RAN] = ENTRY_ANSWERED,
		[OUTCOME_NOT_RUN] = ENTRY_NOT_RUN,
		[OUTCOME_UNKNOWN] = ENTRY_UNKNOWN,
	};
	struct ledger_waiter *w = e->waiters;

	running_remove(l, e);
	e->state = states[a->outcome];
	set_answer(l, e, a);
	e->waiters = NULL;
	return w;
}

struct ledger_waiter *
ledger_take_expired_waiters(struct ledger *l, int64_t now_us, int64_t *next_us)
{
	struct ledger_waiter *expired = NULL;

	for (struct ledger_entry *e = l->running; e; e = e->next) {
		struct ledger_waiter **link = &e->waiters;

		while (*link) {
			struct ledger_waiter *w = *link;

			if (w->deadline_us <= now_us) {
				*link = w->next;
				w->next = expired;
				expired = w;
				continue;
			}
			if (w->deadline_us < *next_us)
				*next_us = w->deadline_us;
			link = &w->next;
		}
	}
	return expired;
}

void ledger_expire(struct ledger *l, int64_t now_us)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, l->entries); i; i = apr_hash_next(i)) {
		struct ledger_entry *e = apr_hash_this_val(i);

		if (e->state == ENTRY_RUNNING ||
		    e->expiry_us > now_us + l->clock_offset_us)
			continue;
		apr_hash_set(l->entries, &e->sequence, sizeof(e->sequence),
			     NULL);
		entry_free(l, e);
	}
}

void ledger_for_each(const struct ledger *l,
		     void (*each)(const struct ledger_entry *e, void *arg),
		     void *arg)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, l->entries); i; i = apr_hash_next(i))
		each(apr_hash_this_val(i), arg);
}

enum az_status ledger_import_entry(struct ledger *l, uint64_t sequence,
				   uint64_t request_hash,
				   enum ledger_entry_state state,
				   int64_t expiry_us, struct answer *a)
{
	struct ledger_entry *e;

	if (state == ENTRY_RUNNING || find_entry(l, sequence)) {
		answer_free(a);
		return az_fail(AZ_INVALID,
			       "ledger entry %llu is running or present twice",
			       (unsigned long long)sequence);
	}
	e = add_entry(l, sequence, request_hash, expiry_us);
	e->state = state;
	set_answer(l, e, a);
	ledger_bound_answer(l, e);
	return AZ_OK;
}
