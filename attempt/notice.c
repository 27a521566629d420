/**
 * @file
 * What workers say of themselves: the limit of requests that they take, that
 * they leave, and a time for which they want no requests. The home of a cell
 * keeps to it for the whole fleet; each daemon also does so for itself, as the
 * home may change, be silent or be disputed. Homes learn it with the
 * completions, also from grants that are returned.
 *
 * Load pattern: workers that are full or leave while the load stays the same.
 */
#include <stdlib.h>

#include "attempt/attempt.h"

/* Test-only, set by "fault/run.sh --broken" in a separate build folder: what
 * workers say of themselves is not heard. */
#ifndef AZ_TEST_BREAK_NOTICE
#define AZ_TEST_BREAK_NOTICE 0
#endif

/* Longest pause that a worker can ask for: in ten minutes it will have started
 * again, or an operator has seen the log line. */
#define PAUSE_MAX_MS (10 * 60 * 1000)

static struct worker_notice *find(const struct attempts *a, uint64_t worker_id)
{
	return apr_hash_get(a->notices, &worker_id, sizeof(worker_id));
}

const struct worker_notice *attempts_find_notice(const struct attempts *a,
						 uint64_t worker_id)
{
	return find(a, worker_id);
}

bool worker_notice_has_limit(const struct worker_notice *n, int64_t now_us)
{
	return n->limit_mrps && now_us - n->limit_named_us < LIMIT_HEARD_US;
}

bool worker_notice_forbids(const struct worker_notice *n, int64_t now_us)
{
	return now_us < n->leaving_until_us || now_us < n->paused_until_us;
}

/* Drops the notices that have no effect any more. */
static void prune(struct attempts *a)
{
	struct conf *conf = conf_current_get(a->settings.conf);
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->notices); i; i = apr_hash_next(i)) {
		struct worker_notice *n = apr_hash_this_val(i);

		if ((worker_notice_forbids(n, a->duty.now_us) ||
		     worker_notice_has_limit(n, a->duty.now_us)) &&
		    attempt_find_worker(conf, n->service_id, n->worker_id))
			continue;
		apr_hash_set(a->notices, &n->worker_id, sizeof(n->worker_id),
			     NULL);
		free(n);
	}
	conf_release(conf);
}

/* Returns the worker's notice, a new one if it has none; NULL if there are too
 * many. */
static struct worker_notice *get(struct attempts *a, uint64_t service_id,
				 uint64_t worker_id)
{
	struct worker_notice *n = find(a, worker_id);

	if (n)
		return n;
	if (apr_hash_count(a->notices) >= WORKER_NOTICES_MAX)
		prune(a);
	if (apr_hash_count(a->notices) >= WORKER_NOTICES_MAX) {
		log_write(LOG_ERROR, "attempt",
			  "too many workers say something of themselves, one "
			  "is ignored notices=%u",
			  apr_hash_count(a->notices));
		return NULL;
	}
	n = az_alloc(sizeof(*n));
	n->worker_id = worker_id;
	n->service_id = service_id;
	apr_hash_set(a->notices, &n->worker_id, sizeof(n->worker_id), n);
	return n;
}

void attempts_note_limit(struct attempts *a, uint64_t service_id,
			 uint64_t worker_id, uint32_t limit_mrps)
{
	struct worker_notice *n =
		limit_mrps ? get(a, service_id, worker_id) : find(a, worker_id);

	if (!n)
		return;
	n->limit_mrps = limit_mrps;
	n->limit_named_us = a->duty.now_us;
}

static const char *correlation_of(const struct attempt *t)
{
	const char *id = t->pending->request->correlation;

	return id ? id : "-";
}

static void note_leaving(struct attempts *a, const struct attempt *t)
{
	uint64_t service_id = t->pending->service_id;
	struct worker_notice *n = get(a, service_id, t->worker_id);
	struct conf *conf = conf_current_get(a->settings.conf);
	const struct conf_worker *w =
		attempt_find_worker(conf, service_id, t->worker_id);
	uint64_t boot = w ? w->boot : 0;

	conf_release(conf);
	if (!n || a->duty.now_us < n->leaving_until_us)
		return;
	n->leaving_until_us = worker_leaving_until_us(boot, a->duty.now_us);
	counter_add(a->leaving_notices, 1);
	log_write(LOG_INFO, "attempt",
		  "worker says that it leaves worker=%s id=%s", t->worker_name,
		  correlation_of(t));
}

static void note_pause(struct attempts *a, const struct attempt *t,
		       uint32_t asked_ms)
{
	struct worker_notice *n = get(a, t->pending->service_id, t->worker_id);
	uint32_t ms = asked_ms < PAUSE_MAX_MS ? asked_ms : PAUSE_MAX_MS;
	int64_t until_us = a->duty.now_us + ms * US_PER_MS;

	if (!n || until_us <= n->paused_until_us)
		return;
	n->paused_until_us = until_us;
	counter_add(a->pause_notices, 1);
	log_write(ms < asked_ms ? LOG_WARN : LOG_INFO, "attempt",
		  "worker wants no requests for a time worker=%s id=%s "
		  "asked_ms=%u ms=%u",
		  t->worker_name, correlation_of(t), asked_ms, ms);
}

/* An answer of another worker at the same address, or to another request, says
 * nothing about this one. */
void attempt_note_answer(struct attempts *a, const struct attempt *t,
			 const struct upstream_result *r)
{
	const struct worker_headers *h = &r->header_info;

	if (r->fault != UPSTREAM_OK || r->verdict == WORKER_ID_MISMATCH ||
	    h->request_id == REQUEST_ID_DIFFERS || AZ_TEST_BREAK_NOTICE)
		return;
	if (r->verdict == WORKER_ANSWERED || h->limit_mrps)
		attempts_note_limit(a, t->pending->service_id, t->worker_id,
				    h->limit_mrps);
	if (h->worker_leaving)
		note_leaving(a, t);
	if (h->retry_after_ms)
		note_pause(a, t, h->retry_after_ms);
}

void attempt_return_grant(struct attempts *a, struct attempt *t)
{
	struct pending_request *p = t->pending;
	uint32_t region = t->region;

	p->grant_returns++;
	counter_add(a->returned_grants, 1);
	attempt_report_completion(a, t, EVENT_NO_EVIDENCE, 0, true);
	attempt_free(a, t);
	attempt_request_grant(a, t, region, t->uses_retry_budget,
			      t->queue_mode);
}

void attempts_free_notices(struct attempts *a)
{
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->notices); i; i = apr_hash_next(i))
		free(apr_hash_this_val(i));
}
