#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

#define RATE_MAX_PER_S 1e6
#define DELAY_MAX_S 1e6

/* False unless the whole text is a decimal number without a sign. */
static bool parse_decimal(const char *s, double *out)
{
	char *end;

	if (!*s || strspn(s, "0123456789.") != strlen(s))
		return false;
	*out = strtod(s, &end);
	return !*end && end != s;
}

enum az_status delay_parse(const char *s, uint32_t *ms)
{
	double delay_s;

	if (!parse_decimal(s, &delay_s))
		return az_fail(AZ_INVALID, "'%.40s' is not a number of seconds",
			       s);
	*ms = (uint32_t)lround(fmin(delay_s, DELAY_MAX_S) * 1000);
	return AZ_OK;
}

enum az_status rate_parse(const char *s, uint32_t *mrps)
{
	double per_s;

	if (!parse_decimal(s, &per_s) || per_s > RATE_MAX_PER_S)
		return az_fail(AZ_INVALID, "'%.40s' is not a rate", s);
	*mrps = (uint32_t)lround(per_s * 1000);
	if (!*mrps)
		*mrps = 1;
	return AZ_OK;
}
