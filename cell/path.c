#include <stdlib.h>
#include <apr_hash.h>

#include "cell/cell.h"
#include "peer/peer.h"
#include "upstream/upstream.h"

/* ---- path to a worker ---- */

#define REACH_TIMEOUT_US US_PER_S

struct reach_msg {
	struct msg msg;
	struct reply_to reply;
	struct cell_home *home;
	uint64_t cell;
	uint64_t worker_id;
	bool reachable;
};

static void reach_run(struct msg *m, struct duty *to)
{
	struct reach_msg *r = az_container_of(m, struct reach_msg, msg);
	struct cell_home *h = az_container_of(to, struct cell_home, duty);
	struct homed_cell *cell =
		apr_hash_get(h->cells, &r->cell, sizeof(r->cell));

	for (uint8_t w = 0; cell && w < cell->conf_cell->worker_count; w++) {
		const struct conf_worker *worker = cell->conf_cell->workers[w];

		if (worker->id != r->worker_id)
			continue;
		reach_answer(&cell->reach[w], r->reachable);
		log_write(LOG_WARN, "cell",
			  "no connection to %s: %s from another data centre",
			  worker->name,
			  r->reachable ? "reachable" : "unreachable");
	}
	free(r);
}

static void reach_drop(struct msg *m)
{
	free(az_container_of(m, struct reach_msg, msg));
}

static const struct msg_ops reach_ops = { "reach", reach_run, reach_drop };

static void on_reach_answer(struct reply_to *to, struct answer *a)
{
	struct reach_msg *r = az_container_of(to, struct reach_msg, reply);

	r->reachable = a->kind == ERR_NONE;
	answer_free(a);
	duty_send(&r->home->duty, &r->msg);
}

static const struct reply_ops reach_reply_ops = { on_reach_answer };

static const struct member *other_dc_member(const struct cell_home *h,
					    const struct member_view *v)
{
	const struct member *self = member_view_by_id(v, h->settings.member_id);
	uint32_t from = v->member_count ?
				(uint32_t)(random_u64() % v->member_count) :
				0;

	for (uint32_t i = 0; self && i < v->member_count; i++) {
		const struct member *m =
			&v->members[(from + i) % v->member_count];

		if (m->dc != self->dc && m->state == MEMBER_ALIVE)
			return m;
	}
	return NULL;
}

/* A worker that this home cannot reach may be cut off from it alone. With
 * nobody to ask the home believes itself. */
void cell_ask_another(struct cell_home *h, struct homed_cell *cell, uint8_t w)
{
	const struct conf_worker *worker = cell->conf_cell->workers[w];
	const struct member_view *v = membership_view(h->settings.membership);
	const struct member *m = other_dc_member(h, v);
	struct peer_target to;
	struct reach_msg *r;

	if (m) {
		r = calloc(1, sizeof(*r));
		if (!r)
			abort();
		r->msg.ops = &reach_ops;
		r->reply.ops = &reach_reply_ops;
		r->home = h;
		r->cell = cell->id;
		r->worker_id = worker->id;
		to = (struct peer_target){ m->ip, m->peer_port,
					   m->incarnation };
		peer_reach(h->settings.peer, &to, worker->ip, worker->port,
			   h->duty.now_us + REACH_TIMEOUT_US, &r->reply);
	} else {
		reach_answer(&cell->reach[w], false);
	}
	member_view_release(v);
}

void cell_record_reach(struct cell_home *h, struct homed_cell *cell, uint8_t w,
		       const struct upstream_result *r)
{
	if (r->fault == UPSTREAM_CONNECT_REFUSED ||
	    r->fault == UPSTREAM_CONNECT_TIMEOUT) {
		if (h->settings.peer &&
		    reach_connect_failed(&cell->reach[w], h->duty.now_us))
			cell_ask_another(h, cell, w);
	} else if (r->fresh && r->connect_us) {
		reach_connected(&cell->reach[w]);
	}
}

bool cell_is_cut(const struct homed_cell *cell)
{
	for (uint8_t w = 0; w < cell->conf_cell->worker_count; w++)
		if (cell->reach[w].cut)
			return true;
	return false;
}
