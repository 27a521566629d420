#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lib/az.h"

#define LINE_MAX_BYTES 2048

static enum log_level max_level = LOG_INFO;
static char source[64] = "-";

static const char *const names[] = { "error", "warn", "info", "debug" };

void log_set_level(enum log_level level)
{
	__atomic_store_n(&max_level, level, __ATOMIC_RELAXED);
}

enum az_status log_level_parse(const char *s, enum log_level *out)
{
	for (uint32_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcmp(s, names[i])) {
			*out = (enum log_level)i;
			return AZ_OK;
		}
	return az_fail(AZ_INVALID,
		       "unknown log level '%s' (error, warn, info, debug)", s);
}

void log_set_source(const char *name)
{
	snprintf(source, sizeof(source), "%s", name);
}

void log_write(enum log_level level, const char *part, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	struct timespec ts;
	struct tm tm;
	va_list ap;
	size_t n;

	if (level > __atomic_load_n(&max_level, __ATOMIC_RELAXED))
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
	n += (size_t)snprintf(line + n, sizeof(line) - n,
			      ".%03ldZ %s %s %s: ", ts.tv_nsec / 1000000,
			      names[level], source, part);
	va_start(ap, fmt);
	vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
	va_end(ap);
	n = strlen(line);
	/* A line break inside a field would let input forge log lines. */
	for (size_t i = 0; i < n; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = ' ';
	line[n++] = '\n';
	/* One write keeps lines of several threads whole. */
	if (write(STDERR_FILENO, line, n) < 0)
		return;
}
