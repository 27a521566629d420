#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "ticket/ticket.h"

/* ---- handover ---- */

void ledger_part_free(struct ledger_part *i)
{
	for (uint32_t n = 0; n < i->count; n++)
		answer_free(i->entries[n].answer);
	free(i->entries);
	free(i);
}

/** Parts of all frozen ledgers, in order. */
struct image_list {
	struct ledger_part **parts;
	uint32_t count;
	uint32_t bytes; /**< of answers in the last part */
	const struct ledger *ledger;
	int64_t clock_us;
};

static struct ledger_part *new_part(struct image_list *list, uint32_t part)
{
	struct ledger_part *i = az_alloc(sizeof(*i));

	i->incarnation = ledger_incarnation(list->ledger);
	memcpy(i->key, ledger_key(list->ledger), sizeof(i->key));
	i->issuer_now_us = list->clock_us;
	i->part_index = part;
	i->entries =
		az_alloc((ledger_size(list->ledger) + 1) * sizeof(*i->entries));
	list->parts = realloc(list->parts,
			      (list->count + 1) * sizeof(struct ledger_part *));
	if (!list->parts)
		abort();
	list->parts[list->count++] = i;
	list->bytes = 0;
	return i;
}

/* A run that has not ended may have an effect that this daemon will not see. */
static void copy_entry(const struct ledger_entry *e, void *arg)
{
	struct image_list *list = arg;
	struct ledger_part *i = list->parts[list->count - 1];
	struct ledger_entry *to;

	if (list->bytes >= IMAGE_PART_BYTES)
		i = new_part(list, i->part_index + 1);
	to = &i->entries[i->count++];
	to->sequence = e->sequence;
	to->request_hash = e->request_hash;
	to->expiry_us = e->expiry_us;
	if (e->state == LEDGER_RUNNING) {
		to->state = LEDGER_UNKNOWN;
		to->answer = answer_new(ERR_DEADLINE_UNKNOWN);
	} else {
		to->state = e->state;
		to->answer = answer_copy(e->answer);
	}
	list->bytes += sizeof(*to) + to->answer->headers.len_bytes +
		       to->answer->body.len_bytes;
}

static void copy_out(struct ledger *l, int64_t now_us, struct image_list *list)
{
	uint32_t first = list->count;

	list->ledger = l;
	list->clock_us = now_us + ledger_clock_offset(l);
	new_part(list, 0);
	ledger_each(l, copy_entry, list);
	for (uint32_t i = first; i < list->count; i++)
		list->parts[i]->part_count = list->count - first;
}

struct freeze_msg {
	struct msg msg;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
	struct image_list list;
};

static void freeze_run(struct msg *m, struct duty *to)
{
	struct freeze_msg *f = az_container_of(m, struct freeze_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);

	pthread_mutex_lock(&f->lock);
	__atomic_store_n(&d->frozen, 1, __ATOMIC_RELEASE);
	for (uint32_t i = 0; i < d->ledger_count; i++) {
		ledger_freeze(d->ledgers[i]);
		copy_out(d->ledgers[i], d->duty.now_us, &f->list);
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

static const struct msg_ops freeze_ops = { "freeze", freeze_run, freeze_drop };

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

struct adopt_msg {
	struct msg msg;
	struct ledger_part *image;
	struct reply_to *reply;
};

static void serve(struct ticket_duty *d, struct ledger *l)
{
	d->adopted_us[d->ledger_count] = d->duty.now_us;
	d->ledgers[d->ledger_count++] = l;
	log_write(LOG_INFO, "ticket",
		  "ledger adopted incarnation=%016llx entries=%u",
		  (unsigned long long)ledger_incarnation(l), ledger_size(l));
}

/* A new first part starts over, as its sender gave up the earlier try. */
static struct ledger *arriving_ledger(struct ticket_duty *d,
				      const struct ledger_part *i)
{
	if (d->arriving && (!i->part_index || ledger_incarnation(d->arriving) !=
						      i->incarnation)) {
		ledger_destroy(d->arriving);
		d->arriving = NULL;
	}
	if (!i->part_index && !d->arriving) {
		d->arriving = ledger_create(i->incarnation, i->key);
		d->arriving_next = 0;
		ledger_set_clock_offset(d->arriving,
					i->issuer_now_us - d->duty.now_us);
	}
	return d->arriving;
}

static enum error_kind adopt(struct ticket_duty *d, struct ledger_part *i)
{
	struct ledger *l;

	/* A second image of one incarnation changes nothing. */
	if (ticket_ledger(d, i->incarnation))
		return ERR_NONE;
	if (d->ledger_count == 1 + ADOPTED_MAX ||
	    __atomic_load_n(&d->stopping, __ATOMIC_ACQUIRE))
		return ERR_STOPPING;
	l = arriving_ledger(d, i);
	if (!l || i->part_index != d->arriving_next)
		return ERR_BAD_REQUEST;
	d->arriving_next++;
	for (uint32_t n = 0; n < i->count; n++) {
		struct ledger_entry *e = &i->entries[n];

		ledger_adopt(l, e->sequence, e->request_hash, e->state,
			     e->expiry_us, e->answer);
		e->answer = NULL;
	}
	if (d->arriving_next == i->part_count) {
		serve(d, l);
		d->arriving = NULL;
	}
	return ERR_NONE;
}

static void adopt_run(struct msg *m, struct duty *to)
{
	struct adopt_msg *a = az_container_of(m, struct adopt_msg, msg);
	struct ticket_duty *d = az_container_of(to, struct ticket_duty, duty);

	reply_refuse(a->reply, adopt(d, a->image));
	ledger_part_free(a->image);
	free(a);
}

static void adopt_drop(struct msg *m)
{
	struct adopt_msg *a = az_container_of(m, struct adopt_msg, msg);

	reply_refuse(a->reply, ERR_OVERLOADED);
	ledger_part_free(a->image);
	free(a);
}

static const struct msg_ops adopt_ops = { "adopt", adopt_run, adopt_drop };

void ticket_adopt(struct ticket_duty *d, struct ledger_part *i,
		  struct reply_to *reply)
{
	struct adopt_msg *a = az_alloc(sizeof(*a));

	a->msg.ops = &adopt_ops;
	a->image = i;
	a->reply = reply;
	duty_send(&d->duty, &a->msg);
}
