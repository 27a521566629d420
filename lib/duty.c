#include <stdlib.h>
#include <string.h>
#include <apr_portable.h>

#include "lib/az.h"

/* Most messages that are handled before the sockets are polled again. */
#define MESSAGES_PER_TURN 256
/* Most sockets that are handled in a turn. */
#define EVENTS_PER_TURN 256

struct poller {
	apr_pollset_t *set;
	apr_pollfd_t wake; /**< wake-up descriptor of the ring */
	/** Sockets with events in this turn; NULL if polling has stopped. */
	struct poll_handler *ready[EVENTS_PER_TURN];
	int32_t ready_count;
	int32_t ready_next; /**< index of the next one to handle */
};

static enum az_status poll_ring(struct duty *d)
{
	struct poller *p = d->poller;
	apr_os_file_t fd = ring_wake_fd(d->ring);

	p->wake.p = d->pool;
	p->wake.desc_type = APR_POLL_FILE;
	p->wake.reqevents = APR_POLLIN;
	apr_os_file_put(&p->wake.desc.f, &fd, 0, d->pool);
	if (apr_pollset_add(p->set, &p->wake) != APR_SUCCESS)
		return az_fail(AZ_IO, "%s: cannot poll its ring", d->ops->name);
	return AZ_OK;
}

enum az_status duty_init(struct duty *d, const struct duty_ops *ops,
			 uint32_t ring_slots, struct timer_service *timers)
{
	d->ops = ops;
	if (apr_pool_create_unmanaged_ex(&d->pool, NULL, NULL) != APR_SUCCESS)
		return az_fail(AZ_NO_MEMORY, "%s: cannot create a memory pool",
			       ops->name);
	d->ring = ring_create(ring_slots, d->pool);
	d->timers = timers;
	d->timer_id = timers ? timer_subscribe(timers, d) : -1;
	d->poller = apr_pcalloc(d->pool, sizeof(*d->poller));
	if (apr_pollset_create_ex(&d->poller->set, EVENTS_PER_TURN, d->pool,
				  APR_POLLSET_NOCOPY,
				  APR_POLLSET_EPOLL) != APR_SUCCESS)
		return az_fail(AZ_IO, "%s: cannot create a pollset", ops->name);
	d->now_us = clock_now_us();
	return poll_ring(d);
}

static void run_messages(struct duty *d)
{
	struct msg *m;

	ring_clear_wake(d->ring);
	for (int32_t i = 0; i < MESSAGES_PER_TURN; i++) {
		m = ring_pop(d->ring);
		if (!m)
			return;
		m->ops->run(m, d);
	}
	ring_wake(d->ring);
}

/* One turn of the loop: waits for events, then handles the ready sockets and
 * the messages. */
static void run_turn(struct duty *d)
{
	struct poller *p = d->poller;
	const apr_pollfd_t *fds;
	int16_t events[EVENTS_PER_TURN];
	apr_int32_t n = 0;
	bool ring_ready = false;

	if (apr_pollset_poll(p->set, -1, &n, &fds) != APR_SUCCESS)
		return;
	d->now_us = clock_now_us();
	p->ready_count = 0;
	for (int32_t i = 0; i < n; i++) {
		if (fds[i].desc_type == APR_POLL_FILE) {
			ring_ready = true;
			continue;
		}
		events[p->ready_count] = fds[i].rtnevents;
		p->ready[p->ready_count++] = fds[i].client_data;
	}
	for (p->ready_next = 0; p->ready_next < p->ready_count;) {
		int32_t i = p->ready_next++;

		if (p->ready[i])
			p->ready[i]->ops->ready(p->ready[i], events[i]);
	}
	p->ready_count = 0;
	if (ring_ready)
		run_messages(d);
}

static void *APR_THREAD_FUNC duty_main(apr_thread_t *thread, void *arg)
{
	struct duty *d = arg;

	(void)thread;
	while (!__atomic_load_n(&d->stopping, __ATOMIC_ACQUIRE))
		run_turn(d);
	if (d->ops->on_stop)
		d->ops->on_stop(d);
	return NULL;
}

enum az_status duty_start(struct duty *d)
{
	if (apr_thread_create(&d->thread, NULL, duty_main, d, d->pool) !=
	    APR_SUCCESS)
		return az_fail(AZ_IO, "%s: cannot start its thread",
			       d->ops->name);
	return AZ_OK;
}

void duty_stop(struct duty *d)
{
	apr_status_t rv;
	struct msg *m;

	__atomic_store_n(&d->stopping, 1, __ATOMIC_RELEASE);
	ring_wake(d->ring);
	if (d->thread)
		apr_thread_join(&rv, d->thread);
	d->thread = NULL;
	while ((m = ring_pop(d->ring)))
		m->ops->drop(m);
}

void duty_destroy(struct duty *d)
{
	if (d->pool)
		apr_pool_destroy(d->pool);
	d->pool = NULL;
}

enum az_status duty_send(struct duty *d, struct msg *m)
{
	enum az_status s = ring_push(d->ring, m);

	if (s != AZ_OK)
		m->ops->drop(m);
	return s;
}

struct copy_msg {
	struct msg msg;
	void *to;
	uint32_t bytes;
	uint8_t value[];
};

static void copy_run(struct msg *m, struct duty *to)
{
	struct copy_msg *c = az_container_of(m, struct copy_msg, msg);

	(void)to;
	memcpy(c->to, c->value, c->bytes);
	free(c);
}

static void copy_drop(struct msg *m)
{
	free(az_container_of(m, struct copy_msg, msg));
}

static const struct msg_ops copy_ops = { "assign", copy_run, copy_drop };

void duty_send_copy(struct duty *d, void *to, const void *from, uint32_t bytes)
{
	struct copy_msg *c = az_alloc(sizeof(*c) + bytes);

	c->msg.ops = &copy_ops;
	c->to = to;
	c->bytes = bytes;
	memcpy(c->value, from, bytes);
	duty_send(d, &c->msg);
}

void duty_arm(struct duty *d, int64_t at_us)
{
	timer_arm(d->timers, d->timer_id, at_us);
}

/* The owner of a handler may free it once polling has stopped: events of this
 * turn that are not handled yet must not reach it. */
static void drop_pending_events(struct poller *p, const struct poll_handler *h)
{
	for (int32_t i = p->ready_next; i < p->ready_count; i++)
		if (p->ready[i] == h)
			p->ready[i] = NULL;
}

enum az_status duty_poll(struct duty *d, struct poll_handler *h, int16_t events)
{
	struct poller *p = d->poller;

	if (h->pfd.reqevents == events)
		return AZ_OK;
	if (h->pfd.reqevents)
		apr_pollset_remove(p->set, &h->pfd);
	h->pfd.reqevents = events;
	if (!events) {
		drop_pending_events(p, h);
		return AZ_OK;
	}
	h->pfd.desc_type = APR_POLL_SOCKET;
	h->pfd.desc.s = h->sock;
	h->pfd.client_data = h;
	h->pfd.p = d->pool;
	if (apr_pollset_add(p->set, &h->pfd) != APR_SUCCESS) {
		h->pfd.reqevents = 0;
		return az_fail(AZ_IO, "%s: cannot poll a socket", d->ops->name);
	}
	return AZ_OK;
}
