#include <stdarg.h>
#include <stdio.h>

#include "lib/az.h"

static __thread char last_message[256];

enum az_status az_fail(enum az_status s, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return s;
}

const char *az_last_message(void)
{
	return last_message;
}
