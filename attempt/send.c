#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"

/* A second copy of a read is not sent sooner. */
#define HEDGE_MIN_US (100 * US_PER_MS)

static const char *id_of(const struct pending *p)
{
	return p->request->correlation ? p->request->correlation : "-";
}

static const struct conf_worker *find_worker(const struct conf *conf,
					     uint64_t service, uint64_t worker)
{
	const struct conf_service *s = conf_find_service_id(conf, service);

	for (uint32_t i = 0; s && i < s->worker_count; i++)
		if (s->workers[i].id == worker)
			return &s->workers[i];
	return NULL;
}

static void plan_hedge(struct attempts *a, struct pending *p,
		       uint32_t expected_us)
{
	int64_t after_us = expected_us;

	if (!p->request->idempotent || p->runs > 1 || p->hedge_at_us)
		return;
	if (after_us < HEDGE_MIN_US)
		after_us = HEDGE_MIN_US;
	p->hedge_at_us = a->duty.now_us + after_us;
	attempts_arm(a, p->hedge_at_us);
}

static const char *way_to(const struct attempts *a, const struct conf_worker *w)
{
	if (w->dc == a->settings.dc)
		return "near";
	return w->region == a->settings.region ? "region" : "far";
}

static bool send_to(struct attempts *a, struct leg *l,
		    const struct conf_service *s, const struct conf_worker *w)
{
	struct pending *p = l->pending;
	struct upstream_request r = {
		.token = l->sequence,
		.ip = w->ip,
		.port = w->port,
		.connect_timeout_ms = s->connect_timeout_ms,
		.deadline_us = p->request->deadline_us,
		.idle_max = s->connections / s->worker_count + 1,
		.expected_worker_id = l->worker_name,
		.request = p->request,
		.sink = &a->sink,
	};

	strcpy(l->worker_name, w->name);
	l->worker = w->id;
	l->sent_us = a->duty.now_us;
	l->state = LEG_SENT;
	l->again_us = 0;
	if (upstream_send(a->settings.upstream, &r) != AZ_OK)
		return false;
	p->tries++;
	p->runs++;
	counter_add(a->sends, 1);
	histogram_add(a->waits, l->sent_us - p->submitted_us);
	log_write(LOG_INFO, "attempt",
		  "sent id=%s worker=%s way=%s home=%s waited_ms=%lld try=%u "
		  "repeat=%s",
		  id_of(p), w->name, way_to(a, w), l->local ? "own" : "remote",
		  (long long)((l->sent_us - p->submitted_us) / US_PER_MS),
		  p->tries, l->repeat ? "yes" : "no");
	return true;
}

void leg_send(struct attempts *a, struct leg *l, uint64_t worker,
	      uint32_t expected_us)
{
	struct conf *conf = conf_current_get(a->settings.conf);
	struct pending *p = l->pending;
	const struct conf_service *s = conf_find_service_id(conf, p->service);
	const struct conf_worker *w = find_worker(conf, p->service, worker);
	bool usable = w && w->admin == WORKER_IN_SERVICE;

	l->worker = worker;
	/* This daemon knows better than the home that the worker leaves. */
	if (!usable || !send_to(a, l, s, w)) {
		leg_tell_end(a, l, EVENT_NO_EVIDENCE, 0);
		leg_free(a, l);
		pending_exclude(p, worker);
		/* Bounds the grants of workers that cannot be used. */
		p->tries++;
		pending_decide(
			a, p,
			answer_new(usable ? ERR_OVERLOADED : ERR_NO_WORKER));
	} else {
		plan_hedge(a, p, expected_us);
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
	enum error_kind k = attempt_kind(r);
	struct answer *a;

	if (k != ERR_NONE)
		return answer_new(k);
	a = r->answer;
	r->answer = NULL;
	return a;
}

static void log_result(const struct leg *l, const struct upstream_result *r)
{
	log_write(attempt_kind(r) == ERR_NONE ? LOG_INFO : LOG_WARN, "attempt",
		  "ended id=%s worker=%s fault=%u verdict=%u status=%u "
		  "took_ms=%lld fresh=%s load=%u,%u",
		  id_of(l->pending), l->worker_name, r->fault, r->verdict,
		  r->answer ? r->answer->http_status : 0,
		  (long long)(r->total_us / US_PER_MS), r->fresh ? "yes" : "no",
		  r->signs.running, r->signs.waiting);
}

/* Of some services a 503 is a promise, whatever else the worker says. */
static void judge_shed(const struct attempts *a, const struct pending *p,
		       struct upstream_result *r)
{
	const struct conf_service *s;
	struct conf *conf;

	if (r->fault != UPSTREAM_OK || r->verdict != WORKER_ANSWERED ||
	    r->answer->http_status != 503)
		return;
	conf = conf_current_get(a->settings.conf);
	s = conf_find_service_id(conf, p->service);
	if (s && s->shed_is_not_run)
		r->verdict = WORKER_DID_NOT_RUN;
	conf_release(conf);
}

static void take_result(struct attempts *a, struct leg *l,
			struct upstream_result *r)
{
	struct pending *p = l->pending;
	bool cancelled = l->cancelled;
	enum home_event e;

	judge_shed(a, p, r);
	e = attempt_event(r);
	log_result(l, r);
	if (e == EVENT_UNREACHABLE)
		attempts_note_bad_path(a, l->worker);
	if (e == EVENT_ANSWERED)
		histogram_add(a->service_times, r->total_us);
	leg_tell_end(a, l, e, r->total_us - r->connect_us);
	leg_free(a, l);
	p->arrived |= attempt_arrived(r->fault);
	if (attempt_kind(r) != ERR_NONE &&
	    error_info(attempt_kind(r))->outcome == OUTCOME_NOT_RUN)
		p->runs--;
	pending_exclude(p, l->worker);
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
	struct leg *l = apr_hash_get(a->legs, &sequence, sizeof(sequence));

	if (l)
		take_result(a, l, rm->result);
	result_free(rm);
}

static void result_drop(struct msg *m)
{
	result_free(az_container_of(m, struct result_msg, msg));
}

static const struct msg_ops result_ops = { "attempt-result", result_run,
					   result_drop };

static void on_result(struct upstream_sink *k, struct upstream_result *r)
{
	struct attempts *a = az_container_of(k, struct attempts, sink);
	struct result_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &result_ops;
	m->result = r;
	duty_send(&a->duty, &m->msg);
}

const struct upstream_sink_ops attempts_sink_ops = { on_result };
