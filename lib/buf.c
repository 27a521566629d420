#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

static void set_capacity(struct buf *b, uint32_t cap_bytes)
{
	uint8_t *p = realloc(b->data, cap_bytes);

	if (!p)
		abort();
	b->data = p;
	b->cap_bytes = cap_bytes;
}

/* Makes room for more bytes, and for as many again. */
static void grow(struct buf *b, uint32_t more_bytes)
{
	uint32_t cap = b->cap_bytes ? b->cap_bytes : 256;

	while (cap - b->len_bytes < more_bytes)
		cap *= 2;
	if (cap != b->cap_bytes)
		set_capacity(b, cap);
}

void buf_reserve(struct buf *b, uint32_t bytes)
{
	if (b->cap_bytes < bytes)
		set_capacity(b, bytes);
}

void buf_append(struct buf *b, const void *data, uint32_t len_bytes)
{
	if (!len_bytes)
		return;
	grow(b, len_bytes);
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
	grow(b, (uint32_t)n + 1);
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
