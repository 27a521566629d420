/**
 * @file
 * Chooses the workers of a service that get no requests, by the reports in the
 * member view. The floor, floor_percent of the service, is the least share
 * of its configured workers that unhealthiness must leave in service.
 */
#ifndef HEALTH_FLOOR_H
#define HEALTH_FLOOR_H

#include "conf/conf.h"
#include "member/member.h"

/**
 * Sets `masks`, one for each cell of the service, to the cell_bit of each
 * worker to exclude. Workers that are leaving (by their admin state or by a
 * REPORT_WORKER_LEAVING report) are always excluded. Of the others those
 * reported unhealthy are excluded, the most severe first, while more workers
 * than the floor, rounded up to whole workers, would remain.
 */
void floor_exclude(const struct conf_service *s, const struct member_view *v,
		   uint16_t *masks);

#endif
