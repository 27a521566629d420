#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

#define RATE_MAX_PER_S 1e6

enum az_status rate_parse(const char *s, uint32_t *mrps)
{
	char *end;
	double per_s;

	if (!*s || strspn(s, "0123456789.") != strlen(s))
		return az_fail(AZ_INVALID, "'%.40s' is not a rate", s);
	per_s = strtod(s, &end);
	if (*end || end == s || per_s > RATE_MAX_PER_S)
		return az_fail(AZ_INVALID, "'%.40s' is not a rate", s);
	*mrps = (uint32_t)lround(per_s * 1000);
	if (!*mrps)
		*mrps = 1;
	return AZ_OK;
}
