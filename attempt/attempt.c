#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"

/* Larger than all requests that the daemon admits, so that results fit. */
#define RING_SLOTS 32768
#define REGIONS_MAX 8
/* Asks between regions are billed; a full cell has room again about as soon. */
#define FULL_CELL_US (200 * US_PER_MS)

uint32_t attempts_in_flight(struct attempts *a)
{
	return __atomic_load_n(&a->in_flight, __ATOMIC_RELAXED);
}

void attempts_arm(struct attempts *a, int64_t at_us)
{
	if (a->armed_us && a->armed_us <= at_us)
		return;
	a->armed_us = at_us;
	duty_arm(&a->duty, at_us);
}

/* ---- end of a request ---- */

void pending_exclude(struct pending *p, uint64_t worker)
{
	if (p->excluded_count < HOME_EXCLUDED_MAX)
		p->excluded[p->excluded_count++] = worker;
}

void pending_release(struct attempts *a, struct pending *p)
{
	if (p->reply)
		return;
	for (uint32_t i = 0; i < LEGS_MAX; i++)
		if (p->legs[i].state != LEG_FREE)
			return;
	apr_hash_set(a->pending, &p->id, sizeof(p->id), NULL);
	answer_free(p->last);
	request_free(p->request);
	free(p);
}

/* A copy that did not run proves nothing about another one that may have. */
static struct answer *true_of_all_copies(const struct pending *p,
					 struct answer *ans)
{
	if (ans->kind == ERR_NONE || ans->outcome != OUTCOME_NOT_RUN ||
	    !p->runs)
		return ans;
	answer_free(ans);
	return answer_new(ERR_ANSWER_LOST);
}

void pending_finish(struct attempts *a, struct pending *p, struct answer *ans)
{
	struct reply_to *reply = p->reply;

	ans = true_of_all_copies(p, ans);
	p->reply = NULL;
	p->hedge_at_us = 0;
	if (ans->kind != ERR_NONE)
		counter_add(a->refused, 1);
	span_end(&p->request->span, "attempt", error_info(ans->kind)->name);
	reply->ops->answer(reply, ans);
	__atomic_sub_fetch(&a->in_flight, 1, __ATOMIC_RELAXED);
	for (uint32_t i = 0; i < LEGS_MAX; i++)
		leg_cancel(a, &p->legs[i]);
	pending_release(a, p);
}

/* The answer of an earlier attempt, if there is one, tells more than a refusal
 * to make another: it may have run. */
static void finish_refused(struct attempts *a, struct pending *p,
			   enum error_kind k, uint32_t retry_ms)
{
	struct answer *ans = p->last;

	p->last = NULL;
	if (!ans)
		ans = answer_new(k);
	if (ans->kind != ERR_NONE && ans->outcome == OUTCOME_NOT_RUN)
		ans->retry_after_us = retry_ms * US_PER_MS;
	pending_finish(a, p, ans);
}

static bool any_out(const struct pending *p)
{
	for (uint32_t i = 0; i < LEGS_MAX; i++)
		if (p->legs[i].state != LEG_FREE)
			return true;
	return false;
}

static struct leg *free_leg(struct pending *p)
{
	for (uint32_t i = 0; i < LEGS_MAX; i++)
		if (p->legs[i].state == LEG_FREE)
			return &p->legs[i];
	return NULL;
}

/* ---- where to ask ---- */

static bool was_tried(const struct pending *p, uint32_t region)
{
	for (uint32_t i = 0; i < p->regions_tried; i++)
		if (p->regions[i] == region)
			return true;
	return false;
}

static bool is_full(const struct attempts *a, uint64_t cell)
{
	for (uint32_t i = 0; i < FULL_CELLS_MAX; i++)
		if (a->full_cells[i].cell == cell &&
		    a->full_cells[i].until_us > a->duty.now_us)
			return true;
	return false;
}

static void note_full(struct attempts *a, uint64_t cell)
{
	struct full_cell *f =
		&a->full_cells[a->next_full_cell++ % FULL_CELLS_MAX];

	f->cell = cell;
	f->until_us = a->duty.now_us + FULL_CELL_US;
}

/* Another region with a worker of the service in service; 0 if there is none.
 */
static uint32_t other_region(struct attempts *a, const struct pending *p)
{
	struct conf *conf = conf_current_get(a->settings.conf);
	const struct conf_service *s = conf_find_service_id(conf, p->service);
	uint32_t region = 0;
	uint32_t from = s && s->worker_count ?
				(uint32_t)(random_u64() % s->worker_count) :
				0;

	for (uint32_t i = 0; s && i < s->worker_count && !region; i++) {
		const struct conf_worker *w =
			&s->workers[(from + i) % s->worker_count];

		if (w->admin == WORKER_IN_SERVICE &&
		    w->region != a->settings.region &&
		    !was_tried(p, w->region) &&
		    !is_full(a, home_cell_id(p->service, w->region)))
			region = w->region;
	}
	conf_release(conf);
	return region;
}

/* Kinds by which one home says nothing about the others. */
static bool is_local_refusal(enum error_kind k)
{
	return k == ERR_NO_WORKER || k == ERR_OVERLOADED ||
	       k == ERR_DEADLINE_NOT_RUN;
}

void pending_refused(struct attempts *a, struct pending *p, struct leg *l,
		     enum error_kind k, uint32_t retry_ms)
{
	uint32_t region;

	if (!p->reply) {
		pending_release(a, p);
		return;
	}
	if (any_out(p))
		return;
	if (p->regions_tried < REGIONS_MAX)
		p->regions[p->regions_tried++] = l->region;
	if (l->region != a->settings.region)
		note_full(a, home_cell_id(p->service, l->region));
	region = is_local_refusal(k) && !p->insisted ? other_region(a, p) : 0;
	if (region) {
		leg_ask(a, l, region, l->repeat, ASK_ONLY_FREE);
	} else if (is_local_refusal(k) && !p->insisted) {
		p->insisted = true;
		leg_ask(a, l, a->settings.region, l->repeat, ASK_INSIST);
	} else {
		finish_refused(a, p, k, retry_ms);
	}
}

/* ---- decisions ---- */

static void retry(struct attempts *a, struct pending *p, struct answer *ans)
{
	struct leg *l = free_leg(p);

	counter_add(a->retries, 1);
	answer_free(p->last);
	p->last = ans;
	p->regions_tried = 0;
	p->insisted = false;
	leg_ask(a, l, a->settings.region, p->arrived, ASK_SOON);
}

void pending_decide(struct attempts *a, struct pending *p, struct answer *ans)
{
	const struct request *q = p->request;
	struct attempt_input in = {
		.kind = ans->kind,
		.outcome = ans->outcome,
		.http_status = ans->http_status,
		.idempotent = q->idempotent,
		.others_out = any_out(p),
		.tries = p->tries,
		.runs = p->runs,
		.runs_max = q->attempts_max ? q->attempts_max :
					      ATTEMPT_RUNS_DEFAULT,
		.left_us = q->deadline_us - a->duty.now_us,
	};

	switch (attempt_decide(&in)) {
	case ATTEMPT_RETRY:
		retry(a, p, ans);
		return;
	case ATTEMPT_WAIT:
		answer_free(p->last);
		p->last = ans;
		return;
	case ATTEMPT_FINISH:
		pending_finish(a, p, ans);
		return;
	}
}

static void hedge(struct attempts *a, struct pending *p)
{
	struct leg *l = free_leg(p);

	p->hedge_at_us = 0;
	if (!l || !any_out(p) ||
	    p->runs >= (p->request->attempts_max ? p->request->attempts_max :
						   ATTEMPT_RUNS_DEFAULT))
		return;
	counter_add(a->hedges, 1);
	/* The worker that is late is not asked for the second copy. */
	for (uint32_t i = 0; i < LEGS_MAX; i++)
		if (p->legs[i].state == LEG_SENT)
			pending_exclude(p, p->legs[i].worker);
	leg_ask(a, l, a->settings.region, true, ASK_ONLY_FREE);
}

/* ---- submits and cancels ---- */

struct submit_msg {
	struct msg msg;
	uint64_t id;
	struct request *request;
	struct reply_to *reply; /**< NULL: a cancel */
};

static void submit(struct attempts *a, struct submit_msg *s)
{
	struct pending *p = az_alloc(sizeof(*p));

	p->id = s->id;
	p->request = s->request;
	p->reply = s->reply;
	p->service = hash_string(s->request->service);
	p->submitted_us = a->duty.now_us;
	for (uint32_t i = 0; i < LEGS_MAX; i++)
		p->legs[i].pending = p;
	counter_add(a->requests, 1);
	span_child(&p->request->span, &p->request->span);
	apr_hash_set(a->pending, &p->id, sizeof(p->id), p);
	attempts_arm(a, p->request->deadline_us);
	leg_ask(a, &p->legs[0], a->settings.region, false, ASK_SOON);
}

static bool is_sent(const struct pending *p)
{
	for (uint32_t i = 0; i < LEGS_MAX; i++)
		if (p->legs[i].state == LEG_SENT)
			return true;
	return false;
}

/* The caller has left, or this daemon stops. Work that must not repeat is not
 * broken off at its worker: the caller cannot learn any more whether it was
 * done, so it is at least not left half done. */
static void cancel(struct attempts *a, uint64_t id)
{
	struct pending *p = apr_hash_get(a->pending, &id, sizeof(id));

	if (!p || !p->reply || (is_sent(p) && !p->request->idempotent))
		return;
	log_write(LOG_INFO, "attempt", "given up id=%s sent=%s",
		  p->request->correlation ? p->request->correlation : "-",
		  is_sent(p) ? "yes" : "no");
	pending_finish(
		a, p,
		answer_new(p->runs ? ERR_DEADLINE_UNKNOWN : ERR_STOPPING));
}

static void submit_run(struct msg *m, struct duty *to)
{
	struct submit_msg *s = az_container_of(m, struct submit_msg, msg);
	struct attempts *a = az_container_of(to, struct attempts, duty);

	if (s->reply)
		submit(a, s);
	else
		cancel(a, s->id);
	free(s);
}

static void submit_drop(struct msg *m)
{
	struct submit_msg *s = az_container_of(m, struct submit_msg, msg);

	if (s->reply)
		reply_refuse(s->reply, ERR_OVERLOADED);
	request_free(s->request);
	free(s);
}

static const struct msg_ops submit_ops = { "attempt-submit", submit_run,
					   submit_drop };

uint64_t attempt_submit(struct attempts *a, struct request *q,
			struct reply_to *reply)
{
	struct submit_msg *s = az_alloc(sizeof(*s));
	uint64_t id = __atomic_add_fetch(&a->next_id, 1, __ATOMIC_RELAXED);

	s->msg.ops = &submit_ops;
	s->id = id;
	s->request = q;
	s->reply = reply;
	__atomic_add_fetch(&a->in_flight, 1, __ATOMIC_RELAXED);
	if (duty_send(&a->duty, &s->msg) != AZ_OK)
		__atomic_sub_fetch(&a->in_flight, 1, __ATOMIC_RELAXED);
	return id;
}

void attempt_cancel(struct attempts *a, uint64_t id)
{
	struct submit_msg *s = az_alloc(sizeof(*s));

	s->msg.ops = &submit_ops;
	s->id = id;
	duty_send(&a->duty, &s->msg);
}

/* ---- messages of homes ---- */

struct told_msg {
	struct msg msg;
	struct home_msg home_msg;
};

static void told_run(struct msg *m, struct duty *to)
{
	struct told_msg *t = az_container_of(m, struct told_msg, msg);

	attempts_on_home(az_container_of(to, struct attempts, duty),
			 &t->home_msg, 0, 0, true);
	free(t);
}

static void told_drop(struct msg *m)
{
	free(az_container_of(m, struct told_msg, msg));
}

static const struct msg_ops told_ops = { "attempt-told", told_run, told_drop };

static void on_tell(struct home_reply_sink *k, const struct home_msg *m)
{
	struct attempts *a = az_container_of(k, struct attempts, asker);
	struct told_msg *t = az_alloc(sizeof(*t));

	t->msg.ops = &told_ops;
	t->home_msg = *m;
	duty_send(&a->duty, &t->msg);
}

static const struct home_reply_sink_ops asker_ops = { on_tell };

static void on_readable(struct poll_handler *p, int16_t events)
{
	struct attempts *a = az_container_of(p, struct attempts, socket);
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	struct home_msg m;
	uint16_t port;
	uint32_t ip;
	uint32_t n;

	(void)events;
	while ((n = net_receive(p->sock, data, sizeof(data), &ip, &port)))
		if (home_decode(data, n, &a->keys, &m) == AZ_OK)
			attempts_on_home(a, &m, ip, port, false);
}

static const struct poll_ops socket_ops = { on_readable };

/* ---- timers ---- */

static void earlier(int64_t *next_us, int64_t at_us)
{
	if (at_us && at_us < *next_us)
		*next_us = at_us;
}

static void tick_pending(struct attempts *a, struct pending *p, int64_t now_us,
			 int64_t *next_us)
{
	/* What is at a worker ends by itself at the deadline. */
	if (p->reply && p->request->deadline_us <= now_us && !is_sent(p)) {
		finish_refused(a, p, ERR_DEADLINE_NOT_RUN, 0);
		return;
	}
	if (p->hedge_at_us && p->hedge_at_us <= now_us)
		hedge(a, p);
	for (uint32_t i = 0; i < LEGS_MAX; i++) {
		struct leg *l = &p->legs[i];

		if (l->again_us && l->again_us <= now_us)
			leg_ask_again(a, l);
		earlier(next_us, l->again_us);
	}
	earlier(next_us, p->hedge_at_us);
	if (!is_sent(p))
		earlier(next_us, p->request->deadline_us);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct attempts *a = az_container_of(d, struct attempts, duty);
	int64_t next_us;
	apr_hash_index_t *i;

	a->armed_us = 0;
	next_us = attempts_tell_again(a, now_us);
	for (i = apr_hash_first(NULL, a->pending); i; i = apr_hash_next(i))
		tick_pending(a, apr_hash_this_val(i), now_us, &next_us);
	if (next_us != INT64_MAX)
		attempts_arm(a, next_us);
}

static void on_stop(struct duty *d)
{
	struct attempts *a = az_container_of(d, struct attempts, duty);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->pending); i; i = apr_hash_next(i)) {
		struct pending *p = apr_hash_this_val(i);

		if (p->reply)
			reply_refuse(p->reply, is_sent(p) ?
						       ERR_DEADLINE_UNKNOWN :
						       ERR_STOPPING);
		p->reply = NULL;
	}
	if (a->socket.sock)
		apr_socket_close(a->socket.sock);
}

static const struct duty_ops duty_ops = { "attempt", on_timer, on_stop };

void attempts_set_keys(struct attempts *a, const struct fleet_keys *keys)
{
	duty_send_copy(&a->duty, &a->keys, keys, sizeof(*keys));
}

struct attempts *attempts_create(const struct attempt_settings *s,
				 struct timer_service *timers)
{
	struct attempts *a = az_alloc(sizeof(*a));

	a->settings = *s;
	if (duty_init(&a->duty, &duty_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	a->asker.ops = &asker_ops;
	a->sink.ops = &attempts_sink_ops;
	a->pending = apr_hash_make(a->duty.pool);
	a->legs = apr_hash_make(a->duty.pool);
	a->untold = apr_hash_make(a->duty.pool);
	a->requests = counter_get("attempt_requests");
	a->sends = counter_get("attempt_sends");
	a->retries = counter_get("attempt_retries");
	a->hedges = counter_get("attempt_hedges");
	a->fallbacks = counter_get("attempt_home_silent");
	a->refused = counter_get("attempt_refused");
	a->waits = histogram_get("attempt_wait");
	a->service_times = histogram_get("worker_latency");
	a->socket.ops = &socket_ops;
	if (s->ip && net_udp(s->ip, 0, a->duty.pool, &a->socket.sock) != AZ_OK)
		return NULL;
	return a;
}

enum az_status attempts_start(struct attempts *a)
{
	if (a->socket.sock)
		duty_poll(&a->duty, &a->socket, APR_POLLIN);
	return duty_start(&a->duty);
}

void attempts_stop(struct attempts *a)
{
	duty_stop(&a->duty);
}

void attempts_destroy(struct attempts *a)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->pending); i; i = apr_hash_next(i)) {
		struct pending *p = apr_hash_this_val(i);

		answer_free(p->last);
		request_free(p->request);
		free(p);
	}
	for (i = apr_hash_first(NULL, a->untold); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	duty_destroy(&a->duty);
	free(a);
}
