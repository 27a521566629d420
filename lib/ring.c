#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <apr_queue.h>

#include "lib/az.h"

struct ring {
	apr_queue_t *queue;
	int32_t wake_fd;
	int32_t signalled; /* atomic; true if wake_fd is readable, so that only
			      the first of several messages needs a write */
};

static apr_status_t close_wake(void *data)
{
	struct ring *r = data;

	close(r->wake_fd);
	return APR_SUCCESS;
}

struct ring *ring_create(uint32_t slots, apr_pool_t *pool)
{
	struct ring *r = apr_pcalloc(pool, sizeof(*r));

	r->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (r->wake_fd < 0 ||
	    apr_queue_create(&r->queue, slots, pool) != APR_SUCCESS)
		abort();
	apr_pool_cleanup_register(pool, r, close_wake, apr_pool_cleanup_null);
	return r;
}

void ring_wake(struct ring *r)
{
	uint64_t one = 1;

	/* A write fails only if the counter of the eventfd is at its maximum;
	 * in that case the descriptor is readable already. */
	if (!__atomic_exchange_n(&r->signalled, 1, __ATOMIC_SEQ_CST) &&
	    write(r->wake_fd, &one, sizeof(one)) < 0)
		return;
}

enum az_status ring_push(struct ring *r, struct msg *m)
{
	if (apr_queue_trypush(r->queue, m) != APR_SUCCESS)
		return az_fail(AZ_FULL,
			       "the ring of the receiving thread is full");
	ring_wake(r);
	return AZ_OK;
}

struct msg *ring_pop(struct ring *r)
{
	void *m;

	if (apr_queue_trypop(r->queue, &m) != APR_SUCCESS)
		return NULL;
	return m;
}

int32_t ring_wake_fd(const struct ring *r)
{
	return r->wake_fd;
}

void ring_clear_wake(struct ring *r)
{
	uint64_t n;

	if (read(r->wake_fd, &n, sizeof(n)) < 0)
		n = 0;
	__atomic_store_n(&r->signalled, 0, __ATOMIC_SEQ_CST);
}

uint32_t ring_depth(const struct ring *r)
{
	return apr_queue_size(r->queue);
}
