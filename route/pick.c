#include "route/route.h"

/* Distance first, then whether the cell said that it is busy. */
#define COST_OTHER_REGION 2U
#define COST_OTHER_DC 1U
#define COST_BUSY 4U

static bool was_tried(const struct pick_input *in, uint64_t cell)
{
	for (uint32_t i = 0; i < in->tried_count; i++)
		if (in->tried[i] == cell)
			return true;
	return false;
}

static uint32_t usable_workers(const struct conf_cell *c, uint16_t mask)
{
	uint16_t all = (uint16_t)((1U << c->worker_count) - 1);

	return (uint32_t)__builtin_popcount(all & ~mask);
}

static uint32_t cost(const struct pick_input *in, const struct conf_cell *c)
{
	uint32_t n = 0;

	if (c->region != in->region)
		n += COST_OTHER_REGION;
	else if (c->dc != in->dc)
		n += COST_OTHER_DC;
	if (member_view_severity(in->view, c->id, REPORT_CELL_BUSY))
		n += COST_BUSY;
	return n;
}

static uint32_t nearest(const struct pick_input *in)
{
	uint32_t best = UINT32_MAX;
	uint32_t best_cost = UINT32_MAX;
	uint32_t weight = 0;
	uint64_t random = in->random;

	for (uint32_t i = 0; i < in->service->cell_count; i++) {
		const struct conf_cell *c = &in->service->cells[i];
		uint32_t usable = usable_workers(c, in->masks[i]);
		uint32_t k;

		if (!usable || was_tried(in, c->id))
			continue;
		k = cost(in, c);
		if (k > best_cost)
			continue;
		if (k < best_cost) {
			best_cost = k;
			weight = 0;
		}
		/* Among equals by chance, weighted by usable workers. */
		weight += usable;
		if (random % weight < usable)
			best = i;
		random = hash_bytes(&random, sizeof(random), i);
	}
	return best;
}

struct pick pick_cell(const struct pick_input *in)
{
	struct pick p = { NULL, NULL, 0 };
	uint32_t i = nearest(in);
	const struct conf_cell *c;

	if (i == UINT32_MAX)
		return p;
	c = &in->service->cells[i];
	p.home = member_home(in->view, c->id, c->dc, c->region);
	if (p.home) {
		p.cell = c;
		p.excluded = in->masks[i];
	}
	return p;
}
