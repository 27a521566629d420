/**
 * @file
 * The workers to exclude from a service's pool by the reports on them, without
 * going below the service's floor.
 */
#ifndef HEALTH_FLOOR_H
#define HEALTH_FLOOR_H

#include "conf/conf.h"
#include "member/member.h"

/**
 * Writes the workers to exclude, a mask for each cell of the service. Leaving
 * workers are always excluded. Unhealthy ones are excluded, the most severe
 * first, while at least floor_percent of the configured workers, rounded up,
 * remain; those that leave count as gone.
 */
void floor_exclude(const struct conf_service *s, const struct member_view *v,
		   uint16_t *masks);

#endif
