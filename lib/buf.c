#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

static void buf_reserve(struct buf *b, uint32_t more_bytes)
{
	uint32_t cap = b->cap_bytes ? b->cap_bytes : 256;
	uint8_t *p;

	while (cap - b->len_bytes < more_bytes)
		cap *= 2;
	if (cap == b->cap_bytes)
		return;
	p = realloc(b->data, cap);
	if (!p)
		abort();
	b->data = p;
	b->cap_bytes = cap;
}

void buf_append(struct buf *b, const void *data, uint32_t len_bytes)
{
	if (!len_bytes)
		return;
	buf_reserve(b, len_bytes);
	memcpy(b->data + b->len_bytes, data, len_bytes);
	b->len_bytes += len_bytes;
}

void buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int32_t n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n <= 0)
		return;
	buf_reserve(b, (uint32_t)n + 1);
	va_start(ap, fmt);
	vsnprintf((char *)b->data + b->len_bytes, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len_bytes += (uint32_t)n;
}

void buf_free(struct buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}
