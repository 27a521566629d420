#include <stdlib.h>
#include <string.h>

#include "health/floor.h"

/** A reported worker that may be left out if the floor allows it. */
struct candidate {
	const struct conf_worker *worker;
	uint32_t cell;
	uint8_t severity;
};

static int worst_first(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->severity != y->severity)
		return x->severity > y->severity ? -1 : 1;
	if (x->worker->id != y->worker->id)
		return x->worker->id < y->worker->id ? -1 : 1;
	return 0;
}

/** Workers that must stay in: the share of the configured pool, rounded up. */
static uint32_t floor_workers(const struct conf_service *s)
{
	return (s->worker_count * (uint32_t)s->floor_percent + 99) / 100;
}

void floor_exclude(const struct conf_service *s, const struct member_view *v,
		   uint16_t *masks)
{
	struct candidate *c = NULL;
	uint32_t candidates = 0;
	uint32_t in = 0;
	uint32_t floor = floor_workers(s);

	memset(masks, 0, s->cell_count * sizeof(*masks));
	if (v->report_count)
		c = calloc(s->worker_count, sizeof(*c));
	for (uint32_t i = 0; i < s->cell_count; i++) {
		const struct conf_cell *cell = &s->cells[i];

		for (uint32_t j = 0; j < cell->worker_count; j++) {
			const struct conf_worker *w = cell->workers[j];
			uint8_t severity;

			if (w->admin != WORKER_IN_SERVICE ||
			    member_view_report_severity(
				    v, w->id, REPORT_WORKER_LEAVING)) {
				masks[i] |= (uint16_t)(1U << w->cell_bit);
				continue;
			}
			in++;
			severity = member_view_report_severity(
				v, w->id, REPORT_WORKER_UNHEALTHY);
			if (severity && c)
				c[candidates++] =
					(struct candidate){ w, i, severity };
		}
	}
	if (candidates)
		qsort(c, candidates, sizeof(*c), worst_first);
	for (uint32_t i = 0; i < candidates && in > floor; i++, in--)
		masks[c[i].cell] |= (uint16_t)(1U << c[i].worker->cell_bit);
	free(c);
}
