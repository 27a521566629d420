#include <stdio.h>
#include <string.h>

#include "lib/az.h"

static bool hex_decode(const char *s, uint8_t *out, uint32_t len_bytes)
{
	for (uint32_t i = 0; i < len_bytes; i++) {
		unsigned int v;

		if (strspn(s + 2 * i, "0123456789abcdef") < 2 ||
		    sscanf(s + 2 * i, "%2x", &v) != 1)
			return false;
		out[i] = (uint8_t)v;
	}
	return true;
}

/* Parses "00-TRACE-PARENT-FLAGS", with 32, 16 and 2 hexadecimal digits. False
 * if malformed; the trace id may have been overwritten then. */
static bool parse_traceparent(struct span *s, const char *t)
{
	uint8_t parent[8];
	uint8_t flags;

	if (!t || strlen(t) != 55 || strncmp(t, "00-", 3) || t[35] != '-' ||
	    t[52] != '-')
		return false;
	if (!hex_decode(t + 3, s->trace_id, 16) ||
	    !hex_decode(t + 36, parent, 8) || !hex_decode(t + 53, &flags, 1))
		return false;
	s->parent_id = 0;
	for (uint32_t i = 0; i < 8; i++)
		s->parent_id = s->parent_id << 8 | parent[i];
	s->sampled = flags & 1;
	return true;
}

void span_start(struct span *s, const char *traceparent)
{
	if (!parse_traceparent(s, traceparent)) {
		uint64_t id[2] = { random_u64(), random_u64() };

		memcpy(s->trace_id, id, sizeof(s->trace_id));
		s->parent_id = 0;
		s->sampled = false;
	}
	s->span_id = random_u64();
	s->start_us = clock_now_us();
}

void span_child(struct span *s, const struct span *parent)
{
	*s = *parent;
	s->parent_id = parent->span_id;
	s->span_id = random_u64();
	s->start_us = clock_now_us();
}

static void format_trace_id(const struct span *s, char out[33])
{
	for (uint32_t i = 0; i < sizeof(s->trace_id); i++)
		sprintf(out + 2 * i, "%02x", s->trace_id[i]);
}

void span_format(const struct span *s, char out[56])
{
	char id[33];

	format_trace_id(s, id);
	snprintf(out, 56, "00-%s-%016llx-%02x", id,
		 (unsigned long long)s->span_id, s->sampled);
}

void span_end(const struct span *s, const char *hop, const char *detail)
{
	char id[33];

	if (!s->sampled)
		return;
	format_trace_id(s, id);
	log_write(LOG_INFO, "span",
		  "hop=%s trace=%s span=%016llx parent=%016llx us=%lld %s", hop,
		  id, (unsigned long long)s->span_id,
		  (unsigned long long)s->parent_id,
		  (long long)(clock_now_us() - s->start_us), detail);
}
