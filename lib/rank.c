#include <string.h>

#include "lib/az.h"

static const char *const rank_names[RANK_COUNT] = { "urgent", "normal",
						    "bulk" };

const char *rank_name(enum rank r)
{
	return (uint32_t)r < RANK_COUNT ? rank_names[r] : "?";
}

enum az_status rank_parse(const char *s, enum rank *out)
{
	for (uint32_t i = 0; i < RANK_COUNT; i++)
		if (!strcmp(s, rank_names[i])) {
			*out = (enum rank)i;
			return AZ_OK;
		}
	return az_fail(AZ_INVALID, "unknown rank '%s' (urgent, normal or bulk)",
		       s);
}
