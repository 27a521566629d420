/**
 * @file
 * What this daemon knows of the limits that workers name. The home of a cell
 * keeps to them; a home that is new learns them from the daemons that have
 * passed on such an answer.
 */
#include "attempt/attempt.h"

static struct known_limit *find(struct attempts *a, uint64_t worker_id)
{
	for (uint32_t i = 0; i < KNOWN_LIMITS_MAX; i++)
		if (a->known_limits[i].worker_id == worker_id)
			return &a->known_limits[i];
	return NULL;
}

void attempts_note_limit(struct attempts *a, uint64_t worker_id,
			 uint32_t limit_mrps)
{
	struct known_limit *l = find(a, worker_id);

	if (!l && !limit_mrps)
		return;
	if (!l)
		l = &a->known_limits[a->next_known_limit++ % KNOWN_LIMITS_MAX];
	l->worker_id = limit_mrps ? worker_id : 0;
	l->mrps = limit_mrps;
	l->named_us = a->duty.now_us;
}

const struct known_limit *attempts_find_limit(const struct attempts *a,
					      uint64_t worker_id)
{
	const struct known_limit *l = find((struct attempts *)a, worker_id);

	return l && a->duty.now_us - l->named_us < LIMIT_HEARD_US ? l : NULL;
}

void attempt_return_for_limit(struct attempts *a, struct attempt *t,
			      const struct known_limit *l)
{
	struct pending_request *p = t->pending;
	uint32_t region = t->region;

	p->limit_returns++;
	attempt_report_completion(a, t, EVENT_NO_EVIDENCE, 0, l);
	attempt_free(a, t);
	attempt_request_grant(a, t, region, t->uses_retry_budget,
			      t->queue_mode);
}
