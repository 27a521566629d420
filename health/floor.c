#include <stdlib.h>
#include <string.h>

#include "health/floor.h"

/** A worker reported unhealthy, to be excluded if the floor allows it. */
struct candidate {
	const struct conf_worker *worker;
	uint32_t cell;
	uint8_t severity;
};

/** Compares for qsort(). Equal severities are ordered by worker id, so that all
 * daemons exclude the same ones. */
static int most_severe_first(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->severity != y->severity)
		return x->severity > y->severity ? -1 : 1;
	if (x->worker->id != y->worker->id)
		return x->worker->id < y->worker->id ? -1 : 1;
	return 0;
}

/** Returns the least number of workers that remain in service. */
static uint32_t floor_workers(const struct conf_service *s)
{
	return (s->worker_count * (uint32_t)s->floor_percent + 99) / 100;
}

void floor_exclude(const struct conf_service *s, const struct member_view *v,
		   uint16_t *masks)
{
	struct candidate *candidates = NULL;
	uint32_t candidate_count = 0;
	uint32_t in_service = 0;
	uint32_t workers_min = floor_workers(s);

	memset(masks, 0, s->cell_count * sizeof(*masks));
	if (v->report_count)
		candidates = calloc(s->worker_count, sizeof(*candidates));
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
			in_service++;
			severity = member_view_report_severity(
				v, w->id, REPORT_WORKER_UNHEALTHY);
			/* Without memory no unhealthy worker is excluded. */
			if (severity && candidates)
				candidates[candidate_count++] =
					(struct candidate){ w, i, severity };
		}
	}
	if (candidate_count)
		qsort(candidates, candidate_count, sizeof(*candidates),
		      most_severe_first);
	for (uint32_t i = 0; i < candidate_count && in_service > workers_min;
	     i++, in_service--)
		masks[candidates[i].cell] |=
			(uint16_t)(1U << candidates[i].worker->cell_bit);
	free(candidates);
}
