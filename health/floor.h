/**
 * @file
 * Whom to leave out of a pool by reports on its workers, down to the floor.
 */
#ifndef HEALTH_FLOOR_H
#define HEALTH_FLOOR_H

#include "conf/conf.h"
#include "member/member.h"

/** Workers of a service to leave out, a mask for each of its cells. At least
 * floor_percent of the pool as configured, rounded up, stays in; leaving
 * workers count as already out and are always masked. */
void floor_exclude(const struct conf_service *s, const struct member_view *v,
		   uint16_t *masks);

#endif
