#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lib/az.h"

#define LINE_MAX_BYTES 2048
/* Lines beyond this rate are counted but not written. Warnings and errors may
 * reach twice the rate. A daemon writes about five lines per request. */
#define LINES_PER_S 500

static enum log_level max_level = LOG_INFO;
static char source_name[64] = "-";
static int32_t output = STDERR_FILENO;

static const char *const level_names[] = { "error", "warn", "info", "debug" };

void log_set_level(enum log_level level)
{
	__atomic_store_n(&max_level, level, __ATOMIC_RELAXED);
}

enum az_status log_level_parse(const char *s, enum log_level *out)
{
	for (uint32_t i = 0; i < sizeof(level_names) / sizeof(level_names[0]);
	     i++)
		if (!strcmp(s, level_names[i])) {
			*out = (enum log_level)i;
			return AZ_OK;
		}
	return az_fail(AZ_INVALID,
		       "unknown log level '%s' (error, warn, info, debug)", s);
}

void log_to_stdout(void)
{
	output = STDOUT_FILENO;
}

void log_set_source(const char *name)
{
	snprintf(source_name, sizeof(source_name), "%s", name);
}

static uint32_t lines_in_second; /* atomic; lines in current_second */
static int64_t current_second; /* atomic; by clock_now_us() */
static uint32_t dropped_lines; /* atomic */

static bool is_within_rate(enum log_level level)
{
	uint32_t max = level <= LOG_WARN ? 2 * LINES_PER_S : LINES_PER_S;
	int64_t now = clock_now_us() / US_PER_S;

	/* Two threads may both reset the count; a few more lines do no harm. */
	if (__atomic_exchange_n(&current_second, now, __ATOMIC_RELAXED) != now)
		__atomic_store_n(&lines_in_second, 0, __ATOMIC_RELAXED);
	return __atomic_fetch_add(&lines_in_second, 1, __ATOMIC_RELAXED) < max;
}

/* Writes one line; false if the output cannot take it now, as its reader does
 * not keep up. A single write of less than PIPE_BUF bytes does not mix with the
 * lines of other threads. */
static bool write_line(const char *line, size_t len_bytes)
{
	struct pollfd p = { output, POLLOUT, 0 };

	return poll(&p, 1, 0) > 0 && (p.revents & POLLOUT) &&
	       write(output, line, len_bytes) >= 0;
}

uint32_t log_dropped(void)
{
	return __atomic_load_n(&dropped_lines, __ATOMIC_RELAXED);
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
	if (!is_within_rate(level)) {
		__atomic_add_fetch(&dropped_lines, 1, __ATOMIC_RELAXED);
		return;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
	n += (size_t)snprintf(line + n, sizeof(line) - n,
			      ".%03ldZ %s %s %s: ", ts.tv_nsec / 1000000,
			      level_names[level], source_name, part);
	va_start(ap, fmt);
	vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
	va_end(ap);
	n = strlen(line);
	/* Line breaks inside a field would allow input to forge log lines. */
	for (size_t i = 0; i < n; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = ' ';
	line[n++] = '\n';
	if (!write_line(line, n))
		__atomic_add_fetch(&dropped_lines, 1, __ATOMIC_RELAXED);
}
