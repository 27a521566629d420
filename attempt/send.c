#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"

/* Least time from the first send to the hedge. */
#define HEDGE_MIN_US (100 * US_PER_MS)

static const char *correlation_of(const struct pending_request *p)
{
	return p->request->correlation ? p->request->correlation : "-";
}

const struct conf_worker *attempt_find_worker(const struct conf *conf,
					      uint64_t service_id,
					      uint64_t worker_id)
{
	const struct conf_service *s = conf_find_service_id(conf, service_id);

	for (uint32_t i = 0; s && i < s->worker_count; i++)
		if (s->workers[i].id == worker_id)
			return &s->workers[i];
	return NULL;
}

static void plan_hedge(struct attempts *a, struct pending_request *p,
		       uint32_t typical_max_us)
{
	int64_t after_us = typical_max_us;

	if (!p->request->idempotent || p->possible_runs > 1 || p->hedge_at_us)
		return;
	if (after_us < HEDGE_MIN_US)
		after_us = HEDGE_MIN_US;
	p->hedge_at_us = a->duty.now_us + after_us;
	attempts_arm(a, p->hedge_at_us);
}

static const char *distance_to(const struct attempts *a,
			       const struct conf_worker *w)
{
	if (w->dc == a->settings.dc)
		return "near";
	return w->region == a->settings.region ? "region" : "far";
}

/* Returns false if the upstream's ring is full. */
static bool send_to(struct attempts *a, struct attempt *t,
		    const struct conf_service *s, const struct conf_worker *w)
{
	struct pending_request *p = t->pending;
	struct upstream_request r = {
		.token = t->sequence,
		.ip = w->ip,
		.port = w->port,
		.connect_timeout_ms = s->connect_timeout_ms,
		.deadline_us = p->request->deadline_us,
		/* The service's idle connections are shared by its workers. */
		.idle_max = s->connections / s->worker_count + 1,
		.expected_worker_id = t->worker_name,
		.request = p->request,
		.sink = &a->upstream_result_sink,
	};

	strcpy(t->worker_name, w->name);
	t->worker_id = w->id;
	t->sent_us = a->duty.now_us;
	t->state = ATTEMPT_SENT;
	t->next_request_us = 0;
	if (upstream_send(a->settings.upstream, &r) != AZ_OK)
		return false;
	p->grants++;
	p->possible_runs++;
	counter_add(a->sends, 1);
	histogram_add(a->send_delays, t->sent_us - p->submitted_us);
	log_write(LOG_INFO, "attempt",
		  "request sent to a worker id=%s worker=%s way=%s home=%s "
		  "waited_ms=%lld try=%u repeat=%s",
		  correlation_of(p), w->name, distance_to(a, w),
		  t->local_home ? "own" : "remote",
		  (long long)((t->sent_us - p->submitted_us) / US_PER_MS),
		  p->grants, t->uses_retry_budget ? "yes" : "no");
	return true;
}

void attempt_send(struct attempts *a, struct attempt *t, uint64_t worker_id,
		  uint32_t typical_max_us)
{
	struct conf *conf = conf_current_get(a->settings.conf);
	struct pending_request *p = t->pending;
	const struct conf_service *s =
		conf_find_service_id(conf, p->service_id);
	const struct conf_worker *w =
		attempt_find_worker(conf, p->service_id, worker_id);
	const struct worker_notice *n = attempts_find_notice(a, worker_id);
	bool usable = w && w->admin == WORKER_IN_SERVICE &&
		      !(n && worker_notice_forbids(n, a->duty.now_us));

	t->worker_id = worker_id;
	/* This daemon may have a newer configuration than the home, in which
	 * the worker is no longer in service, or know that it wants no
	 * requests. */
	if (!usable || !send_to(a, t, s, w)) {
		attempt_report_completion(a, t, EVENT_NO_EVIDENCE, 0, false);
		attempt_free(a, t);
		pending_exclude(p, worker_id);
		/* Counted, so that ATTEMPT_GRANTS_MAX bounds the grants of
		 * unusable workers too. */
		p->grants++;
		pending_decide(
			a, p,
			answer_new(usable ? ERR_OVERLOADED : ERR_NO_WORKER));
	} else {
		plan_hedge(a, p, typical_max_us);
	}
	conf_release(conf);
}

/* ---- results of workers ---- */

struct result_msg {
	struct msg msg;
	struct upstream_result *result;
};

static void result_free(struct result_msg *m)
{
	answer_free(m->result->answer);
	free(m->result);
	free(m);
}

static struct answer *answer_of(struct upstream_result *r)
{
	enum error_kind k = attempt_error_kind(r);
	struct answer *a;

	if (k != ERR_NONE)
		return answer_new(k);
	a = r->answer;
	r->answer = NULL;
	return a;
}

static void log_result(const struct attempt *t, const struct upstream_result *r)
{
	log_write(attempt_error_kind(r) == ERR_NONE ? LOG_INFO : LOG_WARN,
		  "attempt",
		  "attempt ended id=%s worker=%s fault=%u verdict=%u "
		  "status=%u took_ms=%lld fresh=%s load=%u,%u",
		  correlation_of(t->pending), t->worker_name, r->fault,
		  r->verdict, r->answer ? r->answer->http_status : 0,
		  (long long)(r->total_us / US_PER_MS), r->fresh ? "yes" : "no",
		  r->header_info.running, r->header_info.waiting);
}

/* For services with the setting shed_is_not_run, status 503 is taken as proof
 * that the worker did not run the request. */
static void apply_shed_rule(const struct attempts *a,
			    const struct pending_request *p,
			    struct upstream_result *r)
{
	const struct conf_service *s;
	struct conf *conf;

	if (r->fault != UPSTREAM_OK || r->verdict != WORKER_ANSWERED ||
	    r->answer->http_status != 503)
		return;
	conf = conf_current_get(a->settings.conf);
	s = conf_find_service_id(conf, p->service_id);
	if (s && s->shed_is_not_run)
		r->verdict = WORKER_DID_NOT_RUN;
	conf_release(conf);
}

/* True if the answer tells whether the worker names a limit. */
static bool is_answer_of_worker(const struct upstream_result *r)
{
	return r->fault == UPSTREAM_OK &&
	       (r->verdict == WORKER_ANSWERED || r->header_info.limit_mrps);
}

static void complete_attempt(struct attempts *a, struct attempt *t,
			     struct upstream_result *r)
{
	struct pending_request *p = t->pending;
	bool cancelled = t->cancelled;
	enum home_event e;

	apply_shed_rule(a, p, r);
	e = attempt_home_event(r);
	log_result(t, r);
	if (e == EVENT_UNREACHABLE)
		attempts_note_unreachable(a, t->worker_id);
	if (e == EVENT_ANSWERED)
		histogram_add(a->service_times, r->total_us);
	attempt_note_answer(a, t, r);
	attempt_report_completion(a, t, e, r->total_us - r->connect_us,
				  is_answer_of_worker(r));
	attempt_free(a, t);
	p->may_have_arrived |= attempt_may_have_arrived(r->fault);
	if (attempt_error_kind(r) != ERR_NONE &&
	    error_info(attempt_error_kind(r))->outcome == OUTCOME_NOT_RUN)
		p->possible_runs--;
	pending_exclude(p, t->worker_id);
	if (!p->reply || cancelled)
		pending_release(a, p);
	else
		pending_decide(a, p, answer_of(r));
}

static void result_run(struct msg *m, struct duty *to)
{
	struct result_msg *rm = az_container_of(m, struct result_msg, msg);
	struct attempts *a = az_container_of(to, struct attempts, duty);
	uint64_t sequence = rm->result->token;
	struct attempt *t = apr_hash_get(a->attempts_by_sequence, &sequence,
					 sizeof(sequence));

	if (t)
		complete_attempt(a, t, rm->result);
	result_free(rm);
}

static void result_drop(struct msg *m)
{
	result_free(az_container_of(m, struct result_msg, msg));
}

static const struct msg_ops result_ops = { "attempt-result", result_run,
					   result_drop };

static void on_result(struct upstream_sink *sink, struct upstream_result *r)
{
	struct attempts *a =
		az_container_of(sink, struct attempts, upstream_result_sink);
	struct result_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &result_ops;
	m->result = r;
	duty_send(&a->duty, &m->msg);
}

const struct upstream_sink_ops attempts_sink_ops = { on_result };
