#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"

/* More than the requests that the daemon admits, so that no result is lost. */
#define RING_SLOTS 32768
/* After a refusal by a cell of another region, no grants are requested there
 * for this time, as messages between regions are billed. A full cell takes
 * about this long to have a free worker again. */
#define FULL_CELL_SKIP_US (200 * US_PER_MS)

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

/* ---- finishing a request ---- */

void pending_exclude(struct pending_request *p, uint64_t worker_id)
{
	if (p->excluded_count < HOME_EXCLUDED_MAX)
		p->excluded[p->excluded_count++] = worker_id;
}

void pending_release(struct attempts *a, struct pending_request *p)
{
	if (p->reply)
		return;
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (p->attempts[i].state != ATTEMPT_FREE)
			return;
	apr_hash_set(a->pending_by_id, &p->id, sizeof(p->id), NULL);
	answer_free(p->last_answer);
	request_free(p->request);
	free(p);
}

/* Replaces an answer "not run" by "unknown" if another attempt of the request
 * may have run. */
static struct answer *not_run_to_unknown(const struct pending_request *p,
					 struct answer *ans)
{
	if (ans->kind == ERR_NONE || ans->outcome != OUTCOME_NOT_RUN ||
	    !p->possible_runs)
		return ans;
	answer_free(ans);
	return answer_new(ERR_ANSWER_LOST);
}

void pending_finish(struct attempts *a, struct pending_request *p,
		    struct answer *ans)
{
	struct reply_to *reply = p->reply;

	ans = not_run_to_unknown(p, ans);
	p->reply = NULL;
	p->hedge_at_us = 0;
	if (ans->kind != ERR_NONE)
		counter_add(a->refused, 1);
	span_end(&p->request->span, "attempt", error_info(ans->kind)->name);
	reply->ops->answer(reply, ans);
	__atomic_sub_fetch(&a->in_flight, 1, __ATOMIC_RELAXED);
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		attempt_abandon(a, &p->attempts[i]);
	pending_release(a, p);
}

/* Ends a request that got no grant. If an earlier attempt has ended, its result
 * is the answer: it may have run, so the "not run" of `k` would be wrong. */
static void finish_refused(struct attempts *a, struct pending_request *p,
			   enum error_kind k, uint32_t retry_ms)
{
	struct answer *ans = p->last_answer;

	p->last_answer = NULL;
	if (!ans)
		ans = answer_new(k);
	if (ans->kind != ERR_NONE && ans->outcome == OUTCOME_NOT_RUN)
		ans->retry_after_us = retry_ms * US_PER_MS;
	pending_finish(a, p, ans);
}

static bool any_in_flight(const struct pending_request *p)
{
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (p->attempts[i].state != ATTEMPT_FREE)
			return true;
	return false;
}

static struct attempt *find_free_attempt(struct pending_request *p)
{
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (p->attempts[i].state == ATTEMPT_FREE)
			return &p->attempts[i];
	return NULL;
}

/* ---- choice of the region ---- */

static bool has_refused(const struct pending_request *p, uint32_t region)
{
	for (uint32_t i = 0; i < p->refused_region_count; i++)
		if (p->refused_regions[i] == region)
			return true;
	return false;
}

static bool is_full(const struct attempts *a, uint64_t cell_id)
{
	for (uint32_t i = 0; i < FULL_CELLS_MAX; i++)
		if (a->full_cells[i].cell_id == cell_id &&
		    a->full_cells[i].until_us > a->duty.now_us)
			return true;
	return false;
}

static void note_full(struct attempts *a, uint64_t cell_id)
{
	struct full_cell *f =
		&a->full_cells[a->next_full_cell++ % FULL_CELLS_MAX];

	f->cell_id = cell_id;
	f->until_us = a->duty.now_us + FULL_CELL_SKIP_US;
}

/* Chooses a random other region that has an available worker of the service,
 * has not refused this request and is not noted as full; 0 if there is none. */
static uint32_t other_region(struct attempts *a,
			     const struct pending_request *p)
{
	struct conf *conf = conf_current_get(a->settings.conf);
	const struct conf_service *s =
		conf_find_service_id(conf, p->service_id);
	uint32_t region = 0;
	uint32_t from = s && s->worker_count ?
				(uint32_t)(random_u64() % s->worker_count) :
				0;

	for (uint32_t i = 0; s && i < s->worker_count && !region; i++) {
		const struct conf_worker *w =
			&s->workers[(from + i) % s->worker_count];

		if (w->admin == WORKER_IN_SERVICE &&
		    w->region != a->settings.region &&
		    !has_refused(p, w->region) &&
		    !is_full(a, home_cell_id(p->service_id, w->region)))
			region = w->region;
	}
	conf_release(conf);
	return region;
}

/* True if the home of a cell in another region may still grant a worker after
 * this refusal. */
static bool holds_for_one_cell_only(enum error_kind k)
{
	return k == ERR_NO_WORKER || k == ERR_OVERLOADED ||
	       k == ERR_DEADLINE_NOT_RUN;
}

void pending_refused(struct attempts *a, struct pending_request *p,
		     struct attempt *t, enum error_kind k, uint32_t retry_ms)
{
	uint32_t region;

	if (!p->reply) {
		pending_release(a, p);
		return;
	}
	if (any_in_flight(p))
		return;
	if (p->refused_region_count < REFUSED_REGIONS_MAX)
		p->refused_regions[p->refused_region_count++] = t->region;
	if (t->region != a->settings.region)
		note_full(a, home_cell_id(p->service_id, t->region));
	region = holds_for_one_cell_only(k) && !p->tried_queue_always ?
			 other_region(a, p) :
			 0;
	if (region) {
		attempt_request_grant(a, t, region, t->uses_retry_budget,
				      QUEUE_NEVER);
	} else if (holds_for_one_cell_only(k) && !p->tried_queue_always) {
		p->tried_queue_always = true;
		attempt_request_grant(a, t, a->settings.region,
				      t->uses_retry_budget, QUEUE_ALWAYS);
	} else {
		finish_refused(a, p, k, retry_ms);
	}
}

/* ---- retries and hedges ---- */

static void retry(struct attempts *a, struct pending_request *p,
		  struct answer *ans)
{
	struct attempt *t = find_free_attempt(p);

	counter_add(a->retries, 1);
	answer_free(p->last_answer);
	p->last_answer = ans;
	p->refused_region_count = 0;
	p->tried_queue_always = false;
	attempt_request_grant(a, t, a->settings.region, p->may_have_arrived,
			      QUEUE_IF_SHORT);
}

void pending_decide(struct attempts *a, struct pending_request *p,
		    struct answer *ans)
{
	const struct request *q = p->request;
	struct attempt_decision_input in = {
		.kind = ans->kind,
		.outcome = ans->outcome,
		.http_status = ans->http_status,
		.idempotent = q->idempotent,
		.others_in_flight = any_in_flight(p),
		.grants = p->grants,
		.possible_runs = p->possible_runs,
		.possible_runs_max = q->attempts_max ?
					     q->attempts_max :
					     POSSIBLE_RUNS_MAX_DEFAULT,
		.left_us = q->deadline_us - a->duty.now_us,
	};

	switch (attempt_decide(&in)) {
	case DECIDE_RETRY:
		retry(a, p, ans);
		return;
	case DECIDE_WAIT:
		answer_free(p->last_answer);
		p->last_answer = ans;
		return;
	case DECIDE_FINISH:
		pending_finish(a, p, ans);
		return;
	}
}

static void hedge(struct attempts *a, struct pending_request *p)
{
	struct attempt *t = find_free_attempt(p);

	p->hedge_at_us = 0;
	if (!t || !any_in_flight(p) ||
	    p->possible_runs >= (p->request->attempts_max ?
					 p->request->attempts_max :
					 POSSIBLE_RUNS_MAX_DEFAULT))
		return;
	counter_add(a->hedges, 1);
	/* The hedge must not go to the worker that has not answered yet. */
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (p->attempts[i].state == ATTEMPT_SENT)
			pending_exclude(p, p->attempts[i].worker_id);
	attempt_request_grant(a, t, a->settings.region, true, QUEUE_NEVER);
}

/* ---- submitting and cancelling requests ---- */

struct submit_msg {
	struct msg msg;
	uint64_t id;
	struct request *request;
	struct reply_to *reply; /**< NULL: cancels the request `id` */
};

static void submit(struct attempts *a, struct submit_msg *s)
{
	struct pending_request *p = az_alloc(sizeof(*p));

	p->id = s->id;
	p->request = s->request;
	p->reply = s->reply;
	p->service_id = hash_string(s->request->service);
	p->submitted_us = a->duty.now_us;
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		p->attempts[i].pending = p;
	counter_add(a->requests, 1);
	span_child(&p->request->span, &p->request->span);
	apr_hash_set(a->pending_by_id, &p->id, sizeof(p->id), p);
	attempts_arm(a, p->request->deadline_us);
	attempt_request_grant(a, &p->attempts[0], a->settings.region, false,
			      QUEUE_IF_SHORT);
}

static bool any_sent(const struct pending_request *p)
{
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (p->attempts[i].state == ATTEMPT_SENT)
			return true;
	return false;
}

/* A non-idempotent request that was sent is not cancelled: closing its
 * connection could make the worker stop halfway, and the caller could not learn
 * whether the request ran. */
static void cancel(struct attempts *a, uint64_t id)
{
	struct pending_request *p =
		apr_hash_get(a->pending_by_id, &id, sizeof(id));

	if (!p || !p->reply || (any_sent(p) && !p->request->idempotent))
		return;
	log_write(LOG_INFO, "attempt", "request cancelled id=%s sent=%s",
		  p->request->correlation ? p->request->correlation : "-",
		  any_sent(p) ? "yes" : "no");
	pending_finish(a, p,
		       answer_new(p->possible_runs ? ERR_DEADLINE_UNKNOWN :
						     ERR_STOPPING));
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

uint64_t attempts_submit(struct attempts *a, struct request *q,
			 struct reply_to *reply)
{
	struct submit_msg *s = az_alloc(sizeof(*s));
	uint64_t id = __atomic_add_fetch(&a->newest_id, 1, __ATOMIC_RELAXED);

	s->msg.ops = &submit_ops;
	s->id = id;
	s->request = q;
	s->reply = reply;
	__atomic_add_fetch(&a->in_flight, 1, __ATOMIC_RELAXED);
	if (duty_send(&a->duty, &s->msg) != AZ_OK)
		__atomic_sub_fetch(&a->in_flight, 1, __ATOMIC_RELAXED);
	return id;
}

void attempts_cancel(struct attempts *a, uint64_t id)
{
	struct submit_msg *s = az_alloc(sizeof(*s));

	s->msg.ops = &submit_ops;
	s->id = id;
	duty_send(&a->duty, &s->msg);
}

static void end_all_run(struct msg *m, struct duty *to)
{
	struct attempts *a = az_container_of(to, struct attempts, duty);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->pending_by_id); i;
	     i = apr_hash_next(i)) {
		struct pending_request *p = apr_hash_this_val(i);

		if (!p->reply)
			continue;
		log_write(LOG_WARN, "attempt",
			  "request ended by the stop id=%s sent=%s",
			  p->request->correlation ? p->request->correlation :
						    "-",
			  any_sent(p) ? "yes" : "no");
		pending_finish(a, p,
			       answer_new(p->possible_runs ?
						  ERR_DEADLINE_UNKNOWN :
						  ERR_STOPPING));
	}
	free(m);
}

static void end_all_drop(struct msg *m)
{
	free(m);
}

static const struct msg_ops end_all_ops = { "attempt-end-all", end_all_run,
					    end_all_drop };

void attempts_end_all(struct attempts *a)
{
	struct msg *m = az_alloc(sizeof(*m));

	m->ops = &end_all_ops;
	duty_send(&a->duty, m);
}

/* ---- receiving messages from homes ---- */

struct home_reply_msg {
	struct msg msg;
	struct home_msg home_msg;
};

static void home_reply_run(struct msg *m, struct duty *to)
{
	struct home_reply_msg *r =
		az_container_of(m, struct home_reply_msg, msg);

	attempts_on_home_message(az_container_of(to, struct attempts, duty),
				 &r->home_msg, 0, 0, true);
	free(r);
}

static void home_reply_drop(struct msg *m)
{
	free(az_container_of(m, struct home_reply_msg, msg));
}

static const struct msg_ops home_reply_ops = { "attempt-home-reply",
					       home_reply_run,
					       home_reply_drop };

static void on_home_reply(struct home_reply_sink *sink,
			  const struct home_msg *m)
{
	struct attempts *a = az_container_of(sink, struct attempts, home_sink);
	struct home_reply_msg *r = az_alloc(sizeof(*r));

	r->msg.ops = &home_reply_ops;
	r->home_msg = *m;
	duty_send(&a->duty, &r->msg);
}

static const struct home_reply_sink_ops home_sink_ops = { on_home_reply };

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
			attempts_on_home_message(a, &m, ip, port, false);
}

static const struct poll_ops socket_ops = { on_readable };

/* ---- timer, start and stop ---- */

/* Lowers `*next_us` to `at_us`, unless `at_us` is 0 (never). */
static void lower_to(int64_t *next_us, int64_t at_us)
{
	if (at_us && at_us < *next_us)
		*next_us = at_us;
}

static void check_pending(struct attempts *a, struct pending_request *p,
			  int64_t now_us, int64_t *next_us)
{
	/* A request that was sent is ended at its deadline by the upstream
	 * thread. */
	if (p->reply && p->request->deadline_us <= now_us && !any_sent(p)) {
		finish_refused(a, p, ERR_DEADLINE_NOT_RUN, 0);
		return;
	}
	if (p->hedge_at_us && p->hedge_at_us <= now_us)
		hedge(a, p);
	for (uint32_t i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++) {
		struct attempt *t = &p->attempts[i];

		if (t->next_request_us && t->next_request_us <= now_us)
			attempt_repeat_request(a, t);
		lower_to(next_us, t->next_request_us);
	}
	lower_to(next_us, p->hedge_at_us);
	if (!any_sent(p))
		lower_to(next_us, p->request->deadline_us);
}

static void on_timer(struct duty *d, int64_t now_us)
{
	struct attempts *a = az_container_of(d, struct attempts, duty);
	int64_t next_us;
	apr_hash_index_t *i;

	a->armed_us = 0;
	next_us = attempts_resend_completions(a, now_us);
	for (i = apr_hash_first(NULL, a->pending_by_id); i;
	     i = apr_hash_next(i))
		check_pending(a, apr_hash_this_val(i), now_us, &next_us);
	if (next_us != INT64_MAX)
		attempts_arm(a, next_us);
}

static void on_stop(struct duty *d)
{
	struct attempts *a = az_container_of(d, struct attempts, duty);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->pending_by_id); i;
	     i = apr_hash_next(i)) {
		struct pending_request *p = apr_hash_this_val(i);

		if (p->reply)
			reply_refuse(p->reply, any_sent(p) ?
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
	a->home_sink.ops = &home_sink_ops;
	a->upstream_result_sink.ops = &attempts_sink_ops;
	a->pending_by_id = apr_hash_make(a->duty.pool);
	a->attempts_by_sequence = apr_hash_make(a->duty.pool);
	a->unacked_completions = apr_hash_make(a->duty.pool);
	a->notices = apr_hash_make(a->duty.pool);
	a->requests = counter_get("attempt_requests");
	a->sends = counter_get("attempt_sends");
	a->retries = counter_get("attempt_retries");
	a->hedges = counter_get("attempt_hedges");
	a->local_fallbacks = counter_get("attempt_home_silent");
	a->refused = counter_get("attempt_refused");
	a->leaving_notices = counter_get("workers_say_leaving");
	a->pause_notices = counter_get("workers_ask_for_pause");
	a->returned_grants = counter_get("attempt_grants_returned");
	a->send_delays = histogram_get("attempt_wait");
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

	for (i = apr_hash_first(NULL, a->pending_by_id); i;
	     i = apr_hash_next(i)) {
		struct pending_request *p = apr_hash_this_val(i);

		answer_free(p->last_answer);
		request_free(p->request);
		free(p);
	}
	for (i = apr_hash_first(NULL, a->unacked_completions); i;
	     i = apr_hash_next(i))
		free(apr_hash_this_val(i));
	attempts_free_notices(a);
	duty_destroy(&a->duty);
	free(a);
}
