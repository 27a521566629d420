#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"

#define LINE_BYTES 320

/* Copies the line at *at without its newline and advances *at past it. False at
 * the end, or if the line is too long or has a zero byte. */
static bool take_line(const char **at, const char *end, char out[LINE_BYTES])
{
	const char *stop;
	size_t n;

	if (*at >= end)
		return false;
	stop = memchr(*at, '\n', (size_t)(end - *at));
	n = stop ? (size_t)(stop - *at) : 0;
	if (!stop || n >= LINE_BYTES || memchr(*at, '\0', n))
		return false;
	memcpy(out, *at, n);
	out[n] = '\0';
	*at += n + 1;
	return true;
}

/* A record is the line "KIND KEY VERSION DELETED SIZE", then SIZE bytes: the
 * text and a newline, or none if there is no text. KIND is "good" for a version
 * that is in force at the sender, which also has a newer one; else "object". */
void conf_record_write(struct buf *out, const struct conf_record *r)
{
	buf_printf(out, "%s %s %" PRIu64 " %d %u\n",
		   r->in_force ? "good" : "object", r->key, r->version,
		   r->deleted, r->text ? r->len_bytes + 1 : 0);
	if (!r->text)
		return;
	buf_append(out, r->text, r->len_bytes);
	buf_append(out, "\n", 1);
}

bool conf_record_read(const char **at, const char *end, struct conf_record *r)
{
	char line[LINE_BYTES];
	char kind[8];
	uint32_t deleted;
	uint32_t size;
	int32_t used = 0;

	memset(r, 0, sizeof(*r));
	/* %191s: CONF_KEY_MAX_BYTES is 192. */
	if (!take_line(at, end, line) ||
	    sscanf(line, "%7s %191s %" SCNu64 " %u %u%n", kind, r->key,
		   &r->version, &deleted, &size, &used) != 5 ||
	    line[used] || deleted > 1 || size > (size_t)(end - *at) ||
	    (strcmp(kind, "object") != 0 && strcmp(kind, "good") != 0))
		return false;
	r->deleted = deleted;
	r->in_force = !strcmp(kind, "good");
	if (!size)
		return true;
	r->text = *at;
	r->len_bytes = size - 1;
	*at += size;
	return !memchr(r->text, '\0', r->len_bytes);
}

void conf_offer_write(struct buf *out, uint64_t from)
{
	buf_printf(out, "offer %016" PRIx64 "\n", from);
}

void conf_buckets_write(struct buf *out, const struct conf_table *t)
{
	buf_printf(out, "buckets\n");
	for (uint32_t i = 0; i < CONF_BUCKETS; i++)
		buf_printf(out, "%016" PRIx64 "\n", conf_table_bucket(t, i));
}

enum az_status conf_list_read(const char **at, const char *end,
			      struct conf_list_head *out)
{
	char line[LINE_BYTES];

	memset(out, 0, sizeof(*out));
	if (!take_line(at, end, line))
		return az_fail(AZ_INVALID, "empty CONF_LIST");
	out->is_offer = sscanf(line, "offer %" SCNx64, &out->from) == 1;
	if (out->is_offer)
		return AZ_OK;
	if (strcmp(line, "buckets") != 0)
		return az_fail(AZ_INVALID, "malformed CONF_LIST");
	for (uint32_t i = 0; i < CONF_BUCKETS; i++)
		if (!take_line(at, end, line) ||
		    sscanf(line, "%" SCNx64, &out->buckets[i]) != 1)
			return az_fail(AZ_INVALID, "malformed CONF_LIST");
	return AZ_OK;
}

void conf_list_answer(struct buf *out, const struct conf_table *t,
		      const uint64_t buckets[CONF_BUCKETS])
{
	for (uint32_t i = 0; i < conf_table_size(t); i++) {
		const struct conf_object *o = conf_table_at(t, i);
		struct conf_record r = { .version = o->version,
					 .deleted = o->deleted };
		uint32_t b = conf_bucket(o->key);

		if (!o->version || buckets[b] == conf_table_bucket(t, b))
			continue;
		snprintf(r.key, sizeof(r.key), "%s", o->key);
		conf_record_write(out, &r);
	}
}

static void write_value(struct buf *out, const struct conf_object *o,
			bool in_force)
{
	const struct conf_text *x = in_force ? o->in_force_text : o->text;
	struct conf_record r = {
		.version = in_force ? o->in_force_version : o->version,
		.deleted = !x,
		.in_force = in_force,
		.text = x ? x->data : NULL,
		.len_bytes = x ? x->len_bytes : 0,
	};

	snprintf(r.key, sizeof(r.key), "%s", o->key);
	conf_record_write(out, &r);
}

void conf_get_answer(struct buf *out, const struct conf_table *t,
		     const char *at, const char *end, uint32_t max_bytes)
{
	struct conf_record r;

	while (conf_record_read(&at, end, &r) && out->len_bytes < max_bytes) {
		const struct conf_object *o = conf_table_find(t, r.key);

		if (!o || !o->version)
			continue;
		if (o->in_force_version && o->in_force_version != o->version)
			write_value(out, o, true);
		write_value(out, o, false);
	}
}
