#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"

/* A home replies to each grant request at once, within a region in about 3 ms.
 * A home that has not replied for UNANSWERED_REQUESTS_MAX intervals (120 ms)
 * counts as silent, as a small VM may stall for 100 ms. */
#define REQUEST_REPEAT_US (60 * US_PER_MS)
/* The round trip between regions is about ten times that within a region. */
#define REQUEST_REPEAT_OTHER_REGION_US (150 * US_PER_MS)
#define UNANSWERED_REQUESTS_MAX 2
/* A queued grant request is repeated to check that the home is still alive. */
#define QUEUED_REPEAT_US (300 * US_PER_MS)
/* For this time after it did not reply, a home is not used. */
#define SILENT_HOME_SKIP_US (1500 * US_PER_MS)
/* For this time after a failed connection, a worker is excluded. */
#define UNREACHABLE_SKIP_US (3 * US_PER_S)
#define COMPLETION_RESEND_US (200 * US_PER_MS)
#define COMPLETION_SENDS_MAX 8

static bool is_silent(const struct attempts *a, uint32_t ip)
{
	for (uint32_t i = 0; i < SILENT_HOMES_MAX; i++)
		if (a->silent_homes[i].ip == ip &&
		    a->silent_homes[i].until_us > a->duty.now_us)
			return true;
	return false;
}

/* Replaces the entry that expires first, unless the home has one already. */
static void note_silent_home(struct attempts *a, uint32_t ip)
{
	struct silent_home *entry = &a->silent_homes[0];

	for (uint32_t i = 0; i < SILENT_HOMES_MAX; i++) {
		struct silent_home *s = &a->silent_homes[i];

		if (s->ip == ip) {
			entry = s;
			break;
		}
		if (s->until_us < entry->until_us)
			entry = s;
	}
	entry->ip = ip;
	entry->until_us = a->duty.now_us + SILENT_HOME_SKIP_US;
}

void attempts_note_unreachable(struct attempts *a, uint64_t worker_id)
{
	struct unreachable_worker *w =
		&a->unreachable_workers[a->next_unreachable++ %
					UNREACHABLE_WORKERS_MAX];

	w->worker_id = worker_id;
	w->until_us = a->duty.now_us + UNREACHABLE_SKIP_US;
}

/* ---- sending grant requests ---- */

static void send_datagram(struct attempts *a, const struct home_msg *m,
			  uint32_t ip, uint16_t port)
{
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	uint32_t n = home_encode(m, &a->keys, data);

	if (n)
		net_send_to(a->socket.sock, data, n, ip, port);
}

static void send_to_home(struct attempts *a, const struct attempt *t,
			 struct home_msg *m)
{
	m->requester_incarnation = a->settings.incarnation;
	m->sequence = t->sequence;
	if (t->local_home)
		home_submit_local(a->settings.home, m, &a->home_sink);
	else
		send_datagram(a, m, t->home_ip, t->home_port);
}

static uint32_t ms_until(const struct attempts *a, int64_t at_us)
{
	int64_t left_us = at_us - a->duty.now_us;

	return left_us > 0 ? (uint32_t)(left_us / US_PER_MS) : 0;
}

static void exclude_unreachable_workers(const struct attempts *a,
					struct home_msg *m)
{
	for (uint32_t i = 0; i < UNREACHABLE_WORKERS_MAX &&
			     m->excluded_count < HOME_EXCLUDED_MAX;
	     i++)
		if (a->unreachable_workers[i].until_us > a->duty.now_us)
			m->excluded[m->excluded_count++] =
				a->unreachable_workers[i].worker_id;
}

static void send_grant_request(struct attempts *a, struct attempt *t)
{
	const struct pending_request *p = t->pending;
	struct home_msg m = {
		.kind = HOME_GRANT_REQUEST,
		.service = p->service_id,
		.region = t->region,
		.dc = a->settings.dc,
		.rank = (uint8_t)p->request->rank,
		.idempotent = p->request->idempotent,
		.first_grant_request = t->first_grant_request,
		.uses_retry_budget = t->uses_retry_budget,
		.no_queueing = t->queue_mode == QUEUE_NEVER,
		.must_queue = t->queue_mode == QUEUE_ALWAYS,
		.left_ms = ms_until(a, p->request->deadline_us),
		.target_ms = ms_until(a, p->request->target_us),
		.excluded_count = p->excluded_count,
	};
	bool other_region = t->region != a->settings.region;

	memcpy(m.excluded, p->excluded, sizeof(m.excluded));
	/* The last resort (QUEUE_ALWAYS) may be granted an unreachable worker
	 * too: if the connection fails, the request certainly did not run. */
	if (t->queue_mode != QUEUE_ALWAYS)
		exclude_unreachable_workers(a, &m);
	send_to_home(a, t, &m);
	t->next_request_us = a->duty.now_us +
			     (t->state == ATTEMPT_QUEUED ? QUEUED_REPEAT_US :
			      other_region ? REQUEST_REPEAT_OTHER_REGION_US :
					     REQUEST_REPEAT_US);
	/* Messages to the home of the same process are not lost, so the longer
	 * interval is enough. */
	if (t->local_home && t->state == ATTEMPT_REQUESTING)
		t->next_request_us = a->duty.now_us + QUEUED_REPEAT_US;
	attempts_arm(a, t->next_request_us);
}

static void choose_home(struct attempts *a, struct attempt *t)
{
	const struct member_view *v = membership_view(a->settings.membership);
	const struct member *m = member_choose_home(
		v, home_cell_id(t->pending->service_id, t->region), 0,
		t->region);

	t->local_home = !m || m->id == a->settings.member_id ||
			!a->socket.sock || !a->keys.count ||
			is_silent(a, m->ip);
	t->home_ip = t->local_home ? 0 : m->ip;
	t->home_port = t->local_home ? 0 : m->peer_port;
	member_view_release(v);
}

void attempt_request_grant(struct attempts *a, struct attempt *t,
			   uint32_t region, bool uses_retry_budget,
			   enum queue_mode mode)
{
	t->state = ATTEMPT_REQUESTING;
	t->sequence = ++a->newest_sequence;
	t->region = region;
	t->first_grant_request = !t->pending->counted_by_home;
	t->pending->counted_by_home = true;
	t->uses_retry_budget = uses_retry_budget;
	t->queue_mode = mode;
	t->unanswered_requests = 0;
	t->cancelled = false;
	t->requested_us = a->duty.now_us;
	choose_home(a, t);
	apr_hash_set(a->attempts_by_sequence, &t->sequence, sizeof(t->sequence),
		     t);
	send_grant_request(a, t);
}

/* A home that does not reply may be dead, partitioned or slow. Until the
 * membership detects that, this daemon's own home chooses the workers, from
 * what it has observed itself. */
static void use_local_home(struct attempts *a, struct attempt *t)
{
	struct home_msg cancel = { .kind = HOME_CANCEL };

	log_write(LOG_WARN, "attempt",
		  "home did not reply, using the local home id=%s "
		  "home=%u.%u.%u.%u waited_ms=%lld",
		  t->pending->request->correlation ?
			  t->pending->request->correlation :
			  "-",
		  t->home_ip >> 24, t->home_ip >> 16 & 255,
		  t->home_ip >> 8 & 255, t->home_ip & 255,
		  (long long)((a->duty.now_us - t->requested_us) / US_PER_MS));
	counter_add(a->local_fallbacks, 1);
	note_silent_home(a, t->home_ip);
	send_to_home(a, t, &cancel);
	attempt_request_grant(a, t, t->region, t->uses_retry_budget,
			      t->queue_mode);
}

void attempt_repeat_request(struct attempts *a, struct attempt *t)
{
	if (!t->local_home &&
	    ++t->unanswered_requests >= UNANSWERED_REQUESTS_MAX) {
		/* A grant that the remote home still sends finds no attempt
		 * with this sequence and is returned unused. */
		apr_hash_set(a->attempts_by_sequence, &t->sequence,
			     sizeof(t->sequence), NULL);
		use_local_home(a, t);
		return;
	}
	send_grant_request(a, t);
}

void attempt_free(struct attempts *a, struct attempt *t)
{
	apr_hash_set(a->attempts_by_sequence, &t->sequence, sizeof(t->sequence),
		     NULL);
	t->state = ATTEMPT_FREE;
	t->next_request_us = 0;
}

void attempt_abandon(struct attempts *a, struct attempt *t)
{
	struct home_msg m = { .kind = HOME_CANCEL };

	if (t->state == ATTEMPT_SENT) {
		t->cancelled = true;
		upstream_cancel(a->settings.upstream, t->sequence);
	} else if (t->state != ATTEMPT_FREE) {
		send_to_home(a, t, &m);
		attempt_free(a, t);
	}
}

/* ---- reporting completions ---- */

/* Sends a completion. To a remote home it is sent again until that home
 * acknowledges it. */
static void send_completion(struct attempts *a, const struct home_msg *m,
			    bool local, uint32_t ip, uint16_t port)
{
	struct unacked_completion *c;

	if (local) {
		home_submit_local(a->settings.home, m, &a->home_sink);
		return;
	}
	c = az_alloc(sizeof(*c));
	c->msg = *m;
	c->ip = ip;
	c->port = port;
	c->resend_us = a->duty.now_us + COMPLETION_RESEND_US;
	apr_hash_set(a->unacked_completions, &c->msg.sequence,
		     sizeof(c->msg.sequence), c);
	attempts_arm(a, c->resend_us);
	send_datagram(a, m, ip, port);
}

static void add_notice(const struct attempts *a, const struct worker_notice *n,
		       bool names_limit, struct home_msg *m)
{
	int64_t now_us = a->duty.now_us;

	if (names_limit && worker_notice_has_limit(n, now_us)) {
		m->limit_mrps = n->limit_mrps;
		m->limit_age_ms =
			(uint32_t)((now_us - n->limit_named_us) / US_PER_MS);
	}
	m->worker_leaving = now_us < n->leaving_until_us;
	m->pause_ms = ms_until(a, n->paused_until_us);
}

void attempt_report_completion(struct attempts *a, const struct attempt *t,
			       enum home_event e, int64_t latency_us,
			       bool names_limit)
{
	const struct worker_notice *n = attempts_find_notice(a, t->worker_id);
	struct home_msg m = {
		.kind = HOME_COMPLETION,
		.requester_incarnation = a->settings.incarnation,
		.sequence = t->sequence,
		.worker = t->worker_id,
		.event = (uint8_t)e,
		.latency_us = (uint32_t)latency_us,
	};

	if (n)
		add_notice(a, n, names_limit, &m);
	send_completion(a, &m, t->local_home, t->home_ip, t->home_port);
}

static void completion_acknowledged(struct attempts *a, uint64_t sequence)
{
	struct unacked_completion *c = apr_hash_get(
		a->unacked_completions, &sequence, sizeof(sequence));

	if (!c)
		return;
	apr_hash_set(a->unacked_completions, &sequence, sizeof(sequence), NULL);
	free(c);
}

int64_t attempts_resend_completions(struct attempts *a, int64_t now_us)
{
	int64_t next_us = INT64_MAX;
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->unacked_completions); i;
	     i = apr_hash_next(i)) {
		struct unacked_completion *c = apr_hash_this_val(i);

		if (c->resend_us <= now_us) {
			/* Without a completion the home drops the grant once it
			 * has expired. */
			if (++c->sends >= COMPLETION_SENDS_MAX) {
				completion_acknowledged(a, c->msg.sequence);
				continue;
			}
			c->resend_us = now_us + COMPLETION_RESEND_US;
			send_datagram(a, &c->msg, c->ip, c->port);
		}
		if (c->resend_us < next_us)
			next_us = c->resend_us;
	}
	return next_us;
}

/* ---- handling messages from homes ---- */

/* Returns a grant whose attempt has been cancelled or moved to another home. */
static void return_unused_grant(struct attempts *a, const struct home_msg *m,
				uint32_t ip, uint16_t port, bool local)
{
	struct home_msg completion = *m;

	completion.kind = HOME_COMPLETION;
	completion.event = EVENT_NO_EVIDENCE;
	send_completion(a, &completion, local, ip, port);
}

/* True if the home would not have granted the worker had it known what the
 * worker has said. */
static bool is_against_notice(const struct attempts *a,
			      const struct home_msg *m)
{
	const struct worker_notice *n = attempts_find_notice(a, m->worker);
	int64_t now_us = a->duty.now_us;

	return n && (worker_notice_forbids(n, now_us) ||
		     (m->worker_unheard && worker_notice_has_limit(n, now_us)));
}

static void on_grant(struct attempts *a, struct attempt *t,
		     const struct home_msg *m)
{
	t->worker_id = m->worker;
	if (is_against_notice(a, m) &&
	    t->pending->grant_returns < GRANT_RETURNS_MAX)
		attempt_return_grant(a, t);
	else
		attempt_send(a, t, m->worker, m->typical_max_us);
}

void attempts_on_home_message(struct attempts *a, const struct home_msg *m,
			      uint32_t ip, uint16_t port, bool local)
{
	struct attempt *t;

	if (m->requester_incarnation != a->settings.incarnation)
		return;
	if (m->kind == HOME_COMPLETION_ACK) {
		completion_acknowledged(a, m->sequence);
		return;
	}
	t = apr_hash_get(a->attempts_by_sequence, &m->sequence,
			 sizeof(m->sequence));
	if (!t) {
		/* A repeated grant whose completion is already being sent is
		 * not returned a second time. */
		if (m->kind == HOME_GRANT &&
		    !apr_hash_get(a->unacked_completions, &m->sequence,
				  sizeof(m->sequence)))
			return_unused_grant(a, m, ip, port, local);
		return;
	}
	if (t->state == ATTEMPT_SENT)
		return;
	t->unanswered_requests = 0;
	switch (m->kind) {
	case HOME_GRANT:
		on_grant(a, t, m);
		return;
	case HOME_QUEUED:
		t->state = ATTEMPT_QUEUED;
		t->next_request_us = a->duty.now_us + QUEUED_REPEAT_US;
		return;
	case HOME_REFUSE:
		attempt_free(a, t);
		pending_refused(a, t->pending, t, (enum error_kind)m->error,
				m->wait_ms);
		return;
	default:
		return;
	}
}
