#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "lib/az.h"

#define SUBSCRIBERS_MAX 64

/** The message that is sent to a subscriber whose time has come. */
struct timer_msg {
	struct msg msg;
	struct timer_service *timers;
	int32_t id; /**< index of the subscriber */
};

struct subscriber {
	struct duty *duty;
	int64_t at_us; /* 0: not armed */
	bool in_flight; /* `tick` is in the duty's ring */
	struct timer_msg tick;
};

struct timer_service {
	pthread_mutex_t lock;
	pthread_cond_t changed; /**< a timer was armed, or `stopping` was set */
	pthread_t thread;
	struct subscriber subscribers[SUBSCRIBERS_MAX];
	int32_t count;
	int64_t pause_us; /**< longest late wake-up since the last
			       timer_service_take_pause_us() */
	bool stopping;
};

struct timer_service *timer_service_create(apr_pool_t *pool)
{
	struct timer_service *t = apr_pcalloc(pool, sizeof(*t));
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&t->changed, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_init(&t->lock, NULL);
	return t;
}

static void tick_run(struct msg *m, struct duty *to)
{
	struct timer_msg *tm = az_container_of(m, struct timer_msg, msg);
	struct timer_service *t = tm->timers;

	pthread_mutex_lock(&t->lock);
	t->subscribers[tm->id].in_flight = false;
	pthread_mutex_unlock(&t->lock);
	if (to->ops->on_timer)
		to->ops->on_timer(to, to->now_us);
}

static void tick_drop(struct msg *m)
{
	(void)m; /* a member of its subscriber, not allocated alone */
}

static const struct msg_ops tick_ops = { "tick", tick_run, tick_drop };

int32_t timer_subscribe(struct timer_service *t, struct duty *d)
{
	int32_t id;
	struct subscriber *s;

	pthread_mutex_lock(&t->lock);
	if (t->count == SUBSCRIBERS_MAX)
		abort();
	id = t->count++;
	s = &t->subscribers[id];
	s->duty = d;
	s->tick.msg.ops = &tick_ops;
	s->tick.timers = t;
	s->tick.id = id;
	pthread_mutex_unlock(&t->lock);
	return id;
}

void timer_arm(struct timer_service *t, int32_t id, int64_t at_us)
{
	pthread_mutex_lock(&t->lock);
	t->subscribers[id].at_us = at_us;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
}

/* Sends a tick to each subscriber whose time has come. One whose last tick is
 * not yet handled, or whose ring is full, is tried again after 1 ms. Returns
 * the next time to wake up; INT64_MAX if there is none. */
static int64_t fire_due(struct timer_service *t, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (int32_t i = 0; i < t->count; i++) {
		struct subscriber *s = &t->subscribers[i];

		if (!s->at_us)
			continue;
		if (s->at_us <= now_us && !s->in_flight) {
			if (ring_push(s->duty->ring, &s->tick.msg) == AZ_OK) {
				s->in_flight = true;
				s->at_us = 0;
				continue;
			}
			s->at_us = now_us + US_PER_MS;
		} else if (s->at_us <= now_us) {
			s->at_us = now_us + US_PER_MS;
		}
		if (s->at_us < next_us)
			next_us = s->at_us;
	}
	return next_us;
}

static void *timer_main(void *arg)
{
	struct timer_service *t = arg;

	pthread_mutex_lock(&t->lock);
	while (!t->stopping) {
		int64_t next_us = fire_due(t, clock_now_us());
		int64_t limit_us = clock_now_us() + US_PER_S;
		struct timespec ts;
		int64_t late_us;

		/* Wake up at least once a second to detect pauses of the
		 * process. */
		if (next_us > limit_us)
			next_us = limit_us;
		ts.tv_sec = next_us / US_PER_S;
		ts.tv_nsec = next_us % US_PER_S * 1000;
		pthread_cond_timedwait(&t->changed, &t->lock, &ts);
		late_us = clock_now_us() - next_us;
		if (late_us > t->pause_us)
			t->pause_us = late_us;
	}
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

enum az_status timer_service_start(struct timer_service *t)
{
	if (pthread_create(&t->thread, NULL, timer_main, t))
		return az_fail(AZ_IO, "cannot start the timer thread");
	return AZ_OK;
}

void timer_service_stop(struct timer_service *t)
{
	pthread_mutex_lock(&t->lock);
	t->stopping = true;
	pthread_cond_signal(&t->changed);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
}

int64_t timer_service_take_pause_us(struct timer_service *t)
{
	int64_t v;

	pthread_mutex_lock(&t->lock);
	v = t->pause_us;
	t->pause_us = 0;
	pthread_mutex_unlock(&t->lock);
	return v;
}
