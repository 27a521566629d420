#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "front/front.h"

void head_reset(struct head *h)
{
	struct buf text = h->text;

	memset(h, 0, sizeof(*h));
	h->text = text;
	h->text.len_bytes = 0;
}

void head_free(struct head *h)
{
	buf_free(&h->text);
}

static const char *at(const struct head *h, uint32_t offset)
{
	return (const char *)h->text.data + offset;
}

const char *head_target(const struct head *h)
{
	return at(h, h->target);
}

const char *head_name_at(const struct head *h, uint32_t i)
{
	return at(h, h->fields[i].name);
}

const char *head_value_at(const struct head *h, uint32_t i)
{
	return at(h, h->fields[i].value);
}

const char *head_value(const struct head *h, const char *name)
{
	for (uint32_t i = 0; i < h->field_count; i++)
		if (!strcasecmp(head_name_at(h, i), name))
			return head_value_at(h, i);
	return NULL;
}

uint32_t head_count(const struct head *h, const char *name)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < h->field_count; i++)
		n += !strcasecmp(head_name_at(h, i), name);
	return n;
}

uint32_t head_end(const uint8_t *data, uint32_t len_bytes,
		  uint32_t searched_bytes)
{
	uint32_t i = searched_bytes > 3 ? searched_bytes - 3 : 0;

	for (; i + 1 < len_bytes; i++) {
		if (data[i] != '\n')
			continue;
		if (data[i + 1] == '\n')
			return i + 2;
		if (data[i + 1] == '\r' && i + 2 < len_bytes &&
		    data[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

enum error_kind head_check_bytes(const uint8_t *data, uint32_t len_bytes)
{
	for (uint32_t i = 0; i < len_bytes; i++) {
		uint8_t c = data[i];

		if (c == '\n' && (!i || data[i - 1] != '\r'))
			return ERR_BAD_REQUEST;
		if (c == '\r' && (i + 1 == len_bytes || data[i + 1] != '\n'))
			return ERR_BAD_REQUEST;
		if ((c < ' ' && c != '\r' && c != '\n' && c != '\t') ||
		    c == 0x7f)
			return ERR_BAD_REQUEST;
		/* HTTP parsers treat folded header lines differently. */
		if (c == '\n' && i + 1 < len_bytes &&
		    (data[i + 1] == ' ' || data[i + 1] == '\t'))
			return ERR_BAD_REQUEST;
	}
	return ERR_NONE;
}

static bool is_digits(const char *s)
{
	return *s && strspn(s, "0123456789") == strlen(s);
}

enum error_kind head_check_fields(const struct head *h)
{
	const char *length = head_value(h, "Content-Length");
	const char *coding = head_value(h, "Transfer-Encoding");

	if (head_count(h, "Host") != 1 || !*head_value(h, "Host"))
		return ERR_BAD_REQUEST;
	if (head_count(h, "Content-Length") > 1 ||
	    head_count(h, "Transfer-Encoding") > 1 || (length && coding))
		return ERR_BAD_REQUEST;
	if (length && !is_digits(length))
		return ERR_BAD_REQUEST;
	if (coding && strcasecmp(coding, "chunked") != 0)
		return ERR_BAD_REQUEST;
	return ERR_NONE;
}
