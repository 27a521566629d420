#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "lib/az.h"

double slope_cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

double slope_allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

void slope_print(const char *name, uint32_t n, double value, const char *unit)
{
	printf("slope.%s.%u %.3f %s\n", name, n, value, unit);
}
