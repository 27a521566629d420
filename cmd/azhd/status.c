#include <signal.h>
#include <unistd.h>
#include <apr_strings.h>

#include "cmd/azhd/azhd.h"

static bool is_stopping(struct azhd *d)
{
	return __atomic_load_n(&d->stopping, __ATOMIC_ACQUIRE);
}

static void add_members(struct azhd *d, apr_pool_t *pool,
			struct admin_status *out)
{
	const struct member_view *v = membership_view(d->membership);

	out->member_count = v->member_count;
	out->members = apr_pcalloc(pool, (v->member_count + 1) *
						 sizeof(*out->members));
	for (uint32_t i = 0; i < v->member_count; i++) {
		const struct member *m = &v->members[i];

		out->members[i] = (struct admin_member){
			.name = apr_pstrdup(pool, m->name),
			.state = m->state == MEMBER_SUSPECT ? "suspect" :
							      "alive",
			.dc = m->dc,
			.stopping = m->stopping,
		};
	}
	member_view_release(v);
}

static void add_cells(struct azhd *d, apr_pool_t *pool,
		      struct admin_status *out)
{
	struct home_info *info =
		apr_pcalloc(pool, HOME_INFO_MAX * sizeof(*info));

	out->cell_count = home_info(d->home, info);
	out->cells =
		apr_pcalloc(pool, (out->cell_count + 1) * sizeof(*out->cells));
	for (uint32_t i = 0; i < out->cell_count; i++)
		out->cells[i] = (struct admin_cell){
			.id = info[i].id,
			.service = info[i].service,
			.queue_depth = info[i].queued_requests,
			.in_flight = info[i].in_flight_requests,
		};
}

static void add_notices(struct azhd *d, apr_pool_t *pool,
			struct admin_status *out)
{
	struct home_notice_info *info =
		apr_pcalloc(pool, HOME_INFO_MAX * sizeof(*info));

	out->notice_count = home_notice_info(d->home, info);
	out->notices = apr_pcalloc(pool, (out->notice_count + 1) *
						 sizeof(*out->notices));
	for (uint32_t i = 0; i < out->notice_count; i++)
		out->notices[i] = (struct admin_notice){
			.service = info[i].service,
			.worker = info[i].worker,
			.leaving = info[i].leaving,
			.pause_left_ms = info[i].pause_left_ms,
		};
}

static void on_status(struct admin_source *s, apr_pool_t *pool,
		      struct admin_status *out)
{
	struct azhd *d = az_container_of(s, struct azhd, admin_source);

	out->name = d->settings.name;
	out->incarnation = d->incarnation;
	out->stopping = is_stopping(d);
	out->in_flight = front_in_flight(d->front);
	add_members(d, pool, out);
	add_cells(d, pool, out);
	add_notices(d, pool, out);
	out->has_conf = d->conf_duty &&
			conf_duty_status(d->conf_duty, &out->conf) == AZ_OK;
}

static bool on_healthy(struct admin_source *s)
{
	return !is_stopping(az_container_of(s, struct azhd, admin_source));
}

static void on_drain(struct admin_source *s)
{
	(void)s;
	kill(getpid(), SIGTERM);
}

const struct admin_source_ops azhd_admin_source_ops = { on_status, on_healthy,
							on_drain };
