#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"

/* A home answers at once; within a region its answer takes some 3 ms, and a
 * small VM may be held up for a tenth of a second. */
#define ASK_AGAIN_US (60 * US_PER_MS)
/* Between regions the way is ten times as long. */
#define ASK_AGAIN_FAR_US (150 * US_PER_MS)
#define ASKS_MAX 2
/* A queued ask is repeated to find out whether the home still lives. */
#define QUEUED_AGAIN_US (300 * US_PER_MS)
#define SUSPECT_US (1500 * US_PER_MS)
#define BAD_PATH_US (3 * US_PER_S)
#define END_AGAIN_US (200 * US_PER_MS)
#define END_TRIES_MAX 8

/* ---- what this daemon learnt by itself ---- */

static bool is_suspect(const struct attempts *a, uint32_t ip)
{
	for (uint32_t i = 0; i < SUSPECTS_MAX; i++)
		if (a->suspects[i].ip == ip &&
		    a->suspects[i].until_us > a->duty.now_us)
			return true;
	return false;
}

static void suspect(struct attempts *a, uint32_t ip)
{
	struct suspect *oldest = &a->suspects[0];

	for (uint32_t i = 0; i < SUSPECTS_MAX; i++) {
		struct suspect *s = &a->suspects[i];

		if (s->ip == ip) {
			oldest = s;
			break;
		}
		if (s->until_us < oldest->until_us)
			oldest = s;
	}
	oldest->ip = ip;
	oldest->until_us = a->duty.now_us + SUSPECT_US;
}

void attempts_note_bad_path(struct attempts *a, uint64_t worker)
{
	struct bad_path *b = &a->bad_paths[a->next_bad_path++ % BAD_PATHS_MAX];

	b->worker = worker;
	b->until_us = a->duty.now_us + BAD_PATH_US;
}

/* ---- messages to homes ---- */

static void send_datagram(struct attempts *a, const struct home_msg *m,
			  uint32_t ip, uint16_t port)
{
	uint8_t data[HOME_DATAGRAM_MAX_BYTES];
	uint32_t n = home_encode(m, &a->keys, data);

	if (n)
		net_send_to(a->socket.sock, data, n, ip, port);
}

static void tell(struct attempts *a, const struct leg *l, struct home_msg *m)
{
	m->asker_incarnation = a->settings.incarnation;
	m->sequence = l->sequence;
	if (l->local)
		home_submit_local(a->settings.home, m, &a->asker);
	else
		send_datagram(a, m, l->home_ip, l->home_port);
}

static uint32_t ms_until(const struct attempts *a, int64_t at_us)
{
	int64_t left_us = at_us - a->duty.now_us;

	return left_us > 0 ? (uint32_t)(left_us / US_PER_MS) : 0;
}

static void exclude_bad_paths(const struct attempts *a, struct home_msg *m)
{
	for (uint32_t i = 0;
	     i < BAD_PATHS_MAX && m->excluded_count < HOME_EXCLUDED_MAX; i++)
		if (a->bad_paths[i].until_us > a->duty.now_us)
			m->excluded[m->excluded_count++] =
				a->bad_paths[i].worker;
}

static void send_ask(struct attempts *a, struct leg *l)
{
	const struct pending *p = l->pending;
	struct home_msg m = {
		.kind = HOME_ASK,
		.service = p->service,
		.region = l->region,
		.dc = a->settings.dc,
		.rank = (uint8_t)p->request->rank,
		.idempotent = p->request->idempotent,
		.first_ask = l->counts,
		.is_retry = l->repeat,
		.no_queueing = l->mode == ASK_ONLY_FREE,
		.must_queue = l->mode == ASK_INSIST,
		.left_ms = ms_until(a, p->request->deadline_us),
		.target_ms = ms_until(a, p->request->target_us),
		.excluded_count = p->excluded_count,
	};
	bool far = l->region != a->settings.region;

	memcpy(m.excluded, p->excluded, sizeof(m.excluded));
	/* With nobody else left, one that could not be reached is worth a try:
	 * a failed connection proves that the request has not run. */
	if (l->mode != ASK_INSIST)
		exclude_bad_paths(a, &m);
	tell(a, l, &m);
	l->again_us =
		a->duty.now_us + (l->state == LEG_QUEUED ? QUEUED_AGAIN_US :
				  far			 ? ASK_AGAIN_FAR_US :
							   ASK_AGAIN_US);
	/* The own home is in this process and forgets nothing. */
	if (l->local && l->state == LEG_ASKING)
		l->again_us = a->duty.now_us + QUEUED_AGAIN_US;
	attempts_arm(a, l->again_us);
}

static void choose_home(struct attempts *a, struct leg *l)
{
	const struct member_view *v = membership_view(a->settings.membership);
	const struct member *m = member_choose_home(
		v, home_cell_id(l->pending->service, l->region), 0, l->region);

	l->local = !m || m->id == a->settings.member_id || !a->socket.sock ||
		   !a->keys.count || is_suspect(a, m->ip);
	l->home_ip = l->local ? 0 : m->ip;
	l->home_port = l->local ? 0 : m->peer_port;
	member_view_release(v);
}

void leg_ask(struct attempts *a, struct leg *l, uint32_t region, bool repeat,
	     enum ask_mode mode)
{
	l->state = LEG_ASKING;
	l->sequence = ++a->next_sequence;
	l->region = region;
	l->counts = !l->pending->counted;
	l->pending->counted = true;
	l->repeat = repeat;
	l->mode = mode;
	l->unanswered = 0;
	l->cancelled = false;
	l->asked_us = a->duty.now_us;
	choose_home(a, l);
	apr_hash_set(a->legs, &l->sequence, sizeof(l->sequence), l);
	send_ask(a, l);
}

/* A silent home may be dead, cut off or slow: this daemon chooses by what it
 * knows itself until the membership has found out. */
static void fall_back(struct attempts *a, struct leg *l)
{
	struct home_msg cancel = { .kind = HOME_CANCEL };

	log_write(LOG_WARN, "attempt",
		  "home silent, own choice id=%s home=%u.%u.%u.%u "
		  "waited_ms=%lld",
		  l->pending->request->correlation ?
			  l->pending->request->correlation :
			  "-",
		  l->home_ip >> 24, l->home_ip >> 16 & 255,
		  l->home_ip >> 8 & 255, l->home_ip & 255,
		  (long long)((a->duty.now_us - l->asked_us) / US_PER_MS));
	counter_add(a->fallbacks, 1);
	suspect(a, l->home_ip);
	tell(a, l, &cancel);
	leg_ask(a, l, l->region, l->repeat, l->mode);
}

void leg_ask_again(struct attempts *a, struct leg *l)
{
	if (!l->local && ++l->unanswered >= ASKS_MAX) {
		/* A later grant for the old ask is returned unused. */
		apr_hash_set(a->legs, &l->sequence, sizeof(l->sequence), NULL);
		fall_back(a, l);
		return;
	}
	send_ask(a, l);
}

void leg_free(struct attempts *a, struct leg *l)
{
	apr_hash_set(a->legs, &l->sequence, sizeof(l->sequence), NULL);
	l->state = LEG_FREE;
	l->again_us = 0;
}

void leg_cancel(struct attempts *a, struct leg *l)
{
	struct home_msg m = { .kind = HOME_CANCEL };

	if (l->state == LEG_SENT) {
		l->cancelled = true;
		upstream_cancel(a->settings.upstream, l->sequence);
	} else if (l->state != LEG_FREE) {
		tell(a, l, &m);
		leg_free(a, l);
	}
}

/* ---- ends ---- */

static void tell_end(struct attempts *a, const struct home_msg *m, bool local,
		     uint32_t ip, uint16_t port)
{
	struct untold_end *u;

	if (local) {
		home_submit_local(a->settings.home, m, &a->asker);
		return;
	}
	u = az_alloc(sizeof(*u));
	u->msg = *m;
	u->ip = ip;
	u->port = port;
	u->next_us = a->duty.now_us + END_AGAIN_US;
	apr_hash_set(a->untold, &u->msg.sequence, sizeof(u->msg.sequence), u);
	attempts_arm(a, u->next_us);
	send_datagram(a, m, ip, port);
}

void leg_tell_end(struct attempts *a, const struct leg *l, enum home_event e,
		  int64_t latency_us)
{
	struct home_msg m = {
		.kind = HOME_COMPLETION,
		.asker_incarnation = a->settings.incarnation,
		.sequence = l->sequence,
		.worker = l->worker,
		.event = (uint8_t)e,
		.latency_us = (uint32_t)latency_us,
	};

	tell_end(a, &m, l->local, l->home_ip, l->home_port);
}

static void end_acknowledged(struct attempts *a, uint64_t sequence)
{
	struct untold_end *u =
		apr_hash_get(a->untold, &sequence, sizeof(sequence));

	if (!u)
		return;
	apr_hash_set(a->untold, &sequence, sizeof(sequence), NULL);
	free(u);
}

int64_t attempts_tell_again(struct attempts *a, int64_t now_us)
{
	int64_t next_us = INT64_MAX;
	apr_hash_index_t *i;

	for (i = apr_hash_first(NULL, a->untold); i; i = apr_hash_next(i)) {
		struct untold_end *u = apr_hash_this_val(i);

		if (u->next_us <= now_us) {
			/* The home forgets the grant at its deadline. */
			if (++u->tries >= END_TRIES_MAX) {
				end_acknowledged(a, u->msg.sequence);
				continue;
			}
			u->next_us = now_us + END_AGAIN_US;
			send_datagram(a, &u->msg, u->ip, u->port);
		}
		if (u->next_us < next_us)
			next_us = u->next_us;
	}
	return next_us;
}

/* ---- messages of homes ---- */

/* A grant that nobody waits for any more is given back. */
static void give_back(struct attempts *a, const struct home_msg *m, uint32_t ip,
		      uint16_t port, bool local)
{
	struct home_msg end = *m;

	end.kind = HOME_COMPLETION;
	end.event = EVENT_NO_EVIDENCE;
	tell_end(a, &end, local, ip, port);
}

void attempts_on_home(struct attempts *a, const struct home_msg *m, uint32_t ip,
		      uint16_t port, bool local)
{
	struct leg *l;

	if (m->asker_incarnation != a->settings.incarnation)
		return;
	if (m->kind == HOME_COMPLETION_ACK) {
		end_acknowledged(a, m->sequence);
		return;
	}
	l = apr_hash_get(a->legs, &m->sequence, sizeof(m->sequence));
	if (!l) {
		if (m->kind == HOME_GRANT &&
		    !apr_hash_get(a->untold, &m->sequence, sizeof(m->sequence)))
			give_back(a, m, ip, port, local);
		return;
	}
	if (l->state == LEG_SENT)
		return;
	l->unanswered = 0;
	switch (m->kind) {
	case HOME_GRANT:
		leg_send(a, l, m->worker, m->typical_max_us);
		return;
	case HOME_QUEUED:
		l->state = LEG_QUEUED;
		l->again_us = a->duty.now_us + QUEUED_AGAIN_US;
		return;
	case HOME_REFUSE:
		leg_free(a, l);
		pending_refused(a, l->pending, l, (enum error_kind)m->error,
				m->wait_ms);
		return;
	default:
		return;
	}
}
