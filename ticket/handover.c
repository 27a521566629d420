#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "ticket/ticket.h"

/* ---- freezing the ledgers and copying them into parts ---- */

void ledger_part_free(struct ledger_part *part)
{
	for (uint32_t i = 0; i < part->count; i++)
		answer_free(part->entries[i].answer);
	free(part->entries);
	free(part);
}

/** Parts of all frozen ledgers, in order. */
struct part_list {
	struct ledger_part **parts;
	uint32_t count;
	uint32_t bytes; /**< size of the last part's entries and answers */
	const struct ledger *ledger; /**< the one that is being copied */
	int64_t issuer_now_us;
};

static struct ledger_part *new_part(struct part_list *list, uint32_t part_index)
{
	struct ledger_part *part = az_alloc(sizeof(*part));

	part->incarnation = ledger_incarnation(list->ledger);
	memcpy(part->key, ledger_key(list->ledger), sizeof(part->key));
	part->issuer_now_us = list->issuer_now_us;
	part->part_index = part_index;
	/* Room for all entries, as the size of the part is not known yet. */
	part->entries = az_alloc((ledger_size(list->ledger) + 1) *
				 sizeof(*part->entries));
	list->parts = realloc(list->parts,
			      (list->count + 1) * sizeof(struct ledger_part *));
	if (!list->parts)
		abort();
	list->parts[list->count++] = part;
	list->bytes = 0;
	return part;
}

/* The copy of a running entry is ENTRY_UNKNOWN: its run may end after the copy,
 * and this daemon cannot report that to the successor. */
static void copy_entry(const struct ledger_entry *e, void *arg)
{
	struct part_list *list = arg;
	struct ledger_part *part = list->parts[list->count - 1];
	struct ledger_entry *to;

	if (list->bytes >= LEDGER_PART_BYTES)
		part = new_part(list, part->part_index + 1);
	to = &part->entries[part->count++];
	to->sequence = e->sequence;
	to->request_hash = e->request_hash;
	to->expiry_us = e->expiry_us;
	if (e->state == ENTRY_RUNNING) {
		to->state = ENTRY_UNKNOWN;
		to->answer = answer_new(ERR_DEADLINE_UNKNOWN);
	} else {
		to->state = e->state;
		to->answer = answer_copy(e->answer);
	}
	list->bytes += sizeof(*to) + to->answer->headers.len_bytes +
		       to->answer->body.len_bytes;
}

static void copy_ledger(struct ledger *l, int64_t now_us,
			struct part_list *list)
{
	uint32_t first = list->count;

	list->ledger = l;
	list->issuer_now_us = now_us + ledger_clock_offset(l);
	new_part(list, 0);
	ledger_for_each(l, copy_entry, list);
	for (uint32_t i = first; i < list->count; i++)
		list->parts[i]->part_count = list->count - first;
}

struct freeze_msg {
	struct msg msg;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
	struct part_list list;
};

static void freeze_run(struct msg *m, struct duty *to)
{
	struct freeze_msg *f = az_container_of(m, struct freeze_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);

	pthread_mutex_lock(&f->lock);
	__atomic_store_n(&d->frozen, 1, __ATOMIC_RELEASE);
	for (uint32_t i = 0; i < d->ledger_count; i++) {
		ledger_freeze(d->ledgers[i]);
		copy_ledger(d->ledgers[i], d->duty.now_us, &f->list);
	}
	f->done = true;
	pthread_cond_signal(&f->done_cond);
	pthread_mutex_unlock(&f->lock);
}

static void freeze_drop(struct msg *m)
{
	struct freeze_msg *f = az_container_of(m, struct freeze_msg, msg);

	pthread_mutex_lock(&f->lock);
	f->done = true;
	pthread_cond_signal(&f->done_cond);
	pthread_mutex_unlock(&f->lock);
}

static const struct msg_ops freeze_ops = { "ticket-freeze", freeze_run,
					   freeze_drop };

uint32_t ticket_freeze(struct ticket_duty *d, struct ledger_part ***out)
{
	struct freeze_msg f = { .msg = { &freeze_ops } };

	pthread_mutex_init(&f.lock, NULL);
	pthread_cond_init(&f.done_cond, NULL);
	duty_send(&d->duty, &f.msg);
	pthread_mutex_lock(&f.lock);
	while (!f.done)
		pthread_cond_wait(&f.done_cond, &f.lock);
	pthread_mutex_unlock(&f.lock);
	*out = f.list.parts;
	return f.list.count;
}

/* ---- adopting a ledger ---- */

struct adopt_msg {
	struct msg msg;
	struct ledger_part *part;
	struct reply_to *reply;
};

static void serve_ledger(struct ticket_duty *d, struct ledger *l)
{
	d->adopted_us[d->ledger_count] = d->duty.now_us;
	d->ledgers[d->ledger_count++] = l;
	log_write(LOG_INFO, "ticket",
		  "ledger adopted incarnation=%016llx entries=%u",
		  (unsigned long long)ledger_incarnation(l), ledger_size(l));
}

/* Returns the incoming ledger that the part belongs to; NULL if its first part
 * has not arrived. A first part, or a part of another incarnation, discards an
 * incomplete ledger: its sender has given up that handover. */
static struct ledger *receiving_ledger(struct ticket_duty *d,
				       const struct ledger_part *part)
{
	if (d->incoming_ledger &&
	    (!part->part_index ||
	     ledger_incarnation(d->incoming_ledger) != part->incarnation)) {
		ledger_destroy(d->incoming_ledger);
		d->incoming_ledger = NULL;
	}
	if (!part->part_index && !d->incoming_ledger) {
		d->incoming_ledger =
			ledger_create(part->incarnation, part->key);
		ledger_set_store(d->incoming_ledger, &d->store);
		d->next_part_index = 0;
		ledger_set_clock_offset(d->incoming_ledger,
					part->issuer_now_us - d->duty.now_us);
	}
	return d->incoming_ledger;
}

static enum error_kind adopt_part(struct ticket_duty *d,
				  struct ledger_part *part)
{
	struct ledger *l;

	/* The ledger of this incarnation was adopted before. */
	if (ticket_ledger(d, part->incarnation))
		return ERR_NONE;
	if (d->ledger_count == 1 + ADOPTED_LEDGERS_MAX ||
	    __atomic_load_n(&d->stopping, __ATOMIC_ACQUIRE))
		return ERR_STOPPING;
	l = receiving_ledger(d, part);
	if (!l || part->part_index != d->next_part_index)
		return ERR_BAD_REQUEST;
	d->next_part_index++;
	for (uint32_t i = 0; i < part->count; i++) {
		struct ledger_entry *e = &part->entries[i];

		ledger_import_entry(l, e->sequence, e->request_hash, e->state,
				    e->expiry_us, e->answer);
		e->answer = NULL;
	}
	if (d->next_part_index == part->part_count) {
		serve_ledger(d, l);
		d->incoming_ledger = NULL;
	}
	return ERR_NONE;
}

static void adopt_run(struct msg *m, struct duty *to)
{
	struct adopt_msg *a = az_container_of(m, struct adopt_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);

	reply_refuse(a->reply, adopt_part(d, a->part));
	ledger_part_free(a->part);
	free(a);
}

static void adopt_drop(struct msg *m)
{
	struct adopt_msg *a = az_container_of(m, struct adopt_msg, msg);

	reply_refuse(a->reply, ERR_OVERLOADED);
	ledger_part_free(a->part);
	free(a);
}

static const struct msg_ops adopt_ops = { "ticket-adopt", adopt_run,
					  adopt_drop };

void ticket_adopt(struct ticket_duty *d, struct ledger_part *part,
		  struct reply_to *reply)
{
	struct adopt_msg *a = az_alloc(sizeof(*a));

	a->msg.ops = &adopt_ops;
	a->part = part;
	a->reply = reply;
	duty_send(&d->duty, &a->msg);
}
