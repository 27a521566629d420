/**
 * @file
 * Encoding of a feed's state as text: a header line (position, version, bytes
 * of the configuration, number of workers, difference, bytes before
 * compression, revision and hash of the workers), a line for each worker, then
 * the configuration: whole, compressed, or the part in which it differs from
 * the receiver's. Small VMs have links of 10 Mbit/s, which a text of 300 KB for
 * each member of the data centre fills for seconds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "feed/feed.h"

/* Limits of a state that is accepted. */
#define WORKERS_MAX 100000
#define TEXT_MAX_BYTES (16U << 20)

/* Begins the line of a worker that the receiver has; the name follows. */
#define UNCHANGED_MARK '='

/* ---- what the receiver holds ---- */

void feed_known_print(const struct feed_known *k, struct buf *out)
{
	buf_printf(out, "%llu %llu %u\n", (unsigned long long)k->position,
		   (unsigned long long)k->version, k->as_of);
}

void feed_known_parse(const struct buf *data, struct feed_known *out)
{
	unsigned long long position;
	unsigned long long version;
	char text[64];
	uint32_t n = data->len_bytes;
	int fields;

	memset(out, 0, sizeof(*out));
	if (!n || n >= sizeof(text))
		return;
	memcpy(text, data->data, n);
	text[n] = '\0';
	fields = sscanf(text, "%llu %llu %u", &position, &version, &out->as_of);
	if (fields < 2)
		return;
	out->decodes_as_of = fields == 3;
	out->position = position;
	out->version = version;
	out->decodes_all = true;
}

/* ---- encoding ---- */

void feed_pack(struct feed_packed *p, const char *text)
{
	uLong text_bytes = strlen(text);
	uLongf packed_bytes = compressBound(text_bytes);
	uint8_t *packed = az_alloc(packed_bytes);

	buf_free(&p->data);
	p->text_bytes = 0;
	if (compress2(packed, &packed_bytes, (const Bytef *)text, text_bytes,
		      Z_BEST_SPEED) == Z_OK) {
		buf_append(&p->data, packed, (uint32_t)packed_bytes);
		p->text_bytes = (uint32_t)text_bytes;
	}
	free(packed);
}

static uint32_t common_prefix(const char *a, const char *b)
{
	uint32_t n = 0;

	while (a[n] && a[n] == b[n])
		n++;
	return n;
}

/* Bytes that both texts have at the end, at most `max`. */
static uint32_t common_suffix(const char *a, size_t a_bytes, const char *b,
			      size_t b_bytes, size_t max)
{
	uint32_t n = 0;

	while (n < max && a[a_bytes - 1 - n] == b[b_bytes - 1 - n])
		n++;
	return n;
}

static void set_difference(struct feed_difference *d, uint64_t base_version,
			   const char *base, const char *text)
{
	size_t base_bytes = strlen(base);
	size_t text_bytes = strlen(text);
	size_t shorter = base_bytes < text_bytes ? base_bytes : text_bytes;

	d->base_version = base_version;
	d->prefix_bytes = common_prefix(base, text);
	d->suffix_bytes = common_suffix(base, base_bytes, text, text_bytes,
					shorter - d->prefix_bytes);
	d->hash = hash_bytes(text, (uint32_t)text_bytes, 0);
}

static uint32_t expires_ms(const struct feed_entry *e, int64_t now_us)
{
	int64_t left_us = e->expires_us - now_us;

	if (!e->expires_us)
		return 0;
	return left_us > US_PER_MS ? (uint32_t)(left_us / US_PER_MS) : 1;
}

static void print_worker(const struct feed_entry *e,
			 const struct feed_known *known, int64_t now_us,
			 struct buf *out)
{
	const struct feed_worker *w = &e->worker;

	if (!e->expires_us && w->revision && (uint32_t)known->position &&
	    !feed_revision_is_ahead((uint32_t)known->position,
				    (uint32_t)w->revision))
		buf_printf(out, "%c%s\n", UNCHANGED_MARK, w->name);
	else
		buf_printf(out, "%s %s %s %u %u %u %d %llu %u %llu %u\n",
			   w->name, w->service, w->data_centre, w->ip, w->port,
			   w->slots, w->leaving, (unsigned long long)w->boot,
			   w->cold_ms, (unsigned long long)w->revision,
			   expires_ms(e, now_us));
}

/** The configuration as it is sent. */
struct encoded_text {
	struct feed_difference difference;
	const void *data;
	uint32_t bytes;
	uint32_t unpacked_bytes; /**< 0: not compressed */
};

/* Chooses the shortest form that the receiver decodes. */
static void encode_text(const struct feed_state_source *s,
			const struct feed_known *known, struct encoded_text *e)
{
	struct feed_difference d;
	uint32_t bytes;

	memset(e, 0, sizeof(*e));
	if (!s->text || s->version <= known->version)
		return;
	e->data = s->text;
	e->bytes = (uint32_t)strlen(s->text);
	if (!known->decodes_all)
		return;
	if (s->packed) {
		e->data = s->packed->data.data;
		e->bytes = s->packed->data.len_bytes;
		e->unpacked_bytes = s->packed->text_bytes;
	}
	if (!s->base_text)
		return;
	set_difference(&d, known->version, s->base_text, s->text);
	bytes = (uint32_t)strlen(s->text) - d.prefix_bytes - d.suffix_bytes;
	if (bytes < e->bytes)
		*e = (struct encoded_text){ d, s->text + d.prefix_bytes, bytes,
					    0 };
}

void feed_state_print(const struct feed_state_source *s,
		      const struct feed_known *known, struct buf *out)
{
	struct encoded_text e;
	apr_hash_index_t *i;

	encode_text(s, known, &e);
	buf_printf(out, "%llu %llu %u %u", (unsigned long long)s->position,
		   (unsigned long long)s->version, e.bytes,
		   feed_table_size(s->workers));
	if (known->decodes_all)
		buf_printf(out, " %llu %u %u %llu %u",
			   (unsigned long long)e.difference.base_version,
			   e.difference.prefix_bytes, e.difference.suffix_bytes,
			   (unsigned long long)e.difference.hash,
			   e.unpacked_bytes);
	if (known->decodes_as_of)
		buf_printf(out, " %u %llu", s->as_of,
			   (unsigned long long)s->workers->hash);
	buf_append(out, "\n", 1);
	for (i = apr_hash_first(NULL, s->workers->by_name); i;
	     i = apr_hash_next(i))
		print_worker(apr_hash_this_val(i), known, s->now_us, out);
	if (e.bytes)
		buf_append(out, e.data, e.bytes);
}

/* ---- decoding ---- */

static bool parse_unchanged(const char *line, char name[CONF_NAME_MAX_BYTES])
{
	return sscanf(line, "%63[^ \n]", name) == 1;
}

static bool parse_worker(const char *line, struct feed_worker *w)
{
	unsigned long long boot;
	unsigned long long revision;
	unsigned int slots;
	unsigned int port;
	int leaving;

	/* Daemons of older versions end the line after the revision. */
	w->expires_ms = 0;
	if (sscanf(line, "%63s %63s %63s %u %u %u %d %llu %u %llu %u", w->name,
		   w->service, w->data_centre, &w->ip, &port, &slots, &leaving,
		   &boot, &w->cold_ms, &revision, &w->expires_ms) < 10 ||
	    port > UINT16_MAX || slots > UINT8_MAX)
		return false;
	w->port = (uint16_t)port;
	w->slots = (uint8_t)slots;
	w->leaving = leaving;
	w->boot = boot;
	w->revision = revision;
	return true;
}

static bool parse_line(const char *line, struct feed_state *out)
{
	if (*line != UNCHANGED_MARK)
		return parse_worker(line, &out->workers[out->count++]);
	return parse_unchanged(line + 1,
			       out->unchanged[out->unchanged_count++]);
}

void feed_state_free(struct feed_state *s)
{
	free(s->text);
	free(s->workers);
	free(s->unchanged);
	memset(s, 0, sizeof(*s));
}

struct header {
	uint32_t bytes; /**< of the configuration as it is sent */
	uint32_t lines;
	uint32_t unpacked_bytes; /**< 0: not compressed */
};

/* Daemons of older versions end the header after the number of workers, or
 * before the revision of the workers. */
static bool parse_header(const char *line, struct feed_state *out,
			 struct header *h)
{
	unsigned long long position;
	unsigned long long version;
	unsigned long long base_version = 0;
	unsigned long long hash = 0;
	unsigned long long workers_hash = 0;
	int n;

	memset(h, 0, sizeof(*h));
	n = sscanf(line, "%llu %llu %u %u %llu %u %u %llu %u %u %llu",
		   &position, &version, &h->bytes, &h->lines, &base_version,
		   &out->difference.prefix_bytes, &out->difference.suffix_bytes,
		   &hash, &h->unpacked_bytes, &out->as_of, &workers_hash);
	out->position = position;
	out->version = version;
	out->difference.base_version = base_version;
	out->difference.hash = hash;
	out->workers_hash = workers_hash;
	return (n == 4 || n == 9 || n == 11) && h->lines <= WORKERS_MAX &&
	       h->bytes <= TEXT_MAX_BYTES &&
	       h->unpacked_bytes <= TEXT_MAX_BYTES;
}

/* Returns the text, which `data` holds as the header says, or NULL. */
static char *decode_text(const char *data, const struct header *h)
{
	uLongf bytes = h->unpacked_bytes;
	char *text = az_alloc((bytes ? bytes : h->bytes) + 1);

	if (!bytes) {
		memcpy(text, data, h->bytes);
		return text;
	}
	if (uncompress((Bytef *)text, &bytes, (const Bytef *)data, h->bytes) ==
		    Z_OK &&
	    bytes == h->unpacked_bytes && strlen(text) == bytes)
		return text;
	free(text);
	return NULL;
}

static enum az_status parse(char *data, uint32_t len_bytes,
			    struct feed_state *out)
{
	const char *end = data + len_bytes;
	struct header h;
	char *line = strchr(data, '\n');

	if (!line)
		return AZ_INVALID;
	*line = '\0';
	if (!parse_header(data, out, &h))
		return AZ_INVALID;
	out->workers = az_alloc((h.lines + 1) * sizeof(*out->workers));
	out->unchanged = az_alloc((h.lines + 1) * sizeof(*out->unchanged));
	for (; h.lines; h.lines--) {
		char *start = line + 1;

		line = strchr(start, '\n');
		if (!line || !parse_line(start, out))
			return AZ_INVALID;
	}
	if (end - (line + 1) != h.bytes)
		return AZ_INVALID;
	if (!h.bytes && !out->difference.base_version)
		return AZ_OK;
	out->text = decode_text(line + 1, &h);
	return out->text ? AZ_OK : AZ_INVALID;
}

enum az_status feed_state_parse(const struct buf *data, struct feed_state *out)
{
	char *copy = az_alloc(data->len_bytes + 1);
	enum az_status s;

	memset(out, 0, sizeof(*out));
	if (data->len_bytes)
		memcpy(copy, data->data, data->len_bytes);
	s = parse(copy, data->len_bytes, out);
	free(copy);
	if (s == AZ_OK)
		return AZ_OK;
	feed_state_free(out);
	return az_fail(AZ_INVALID, "malformed feed state");
}

/* ---- restoring what the sender left out ---- */

bool feed_state_complete_text(struct feed_state *s, uint64_t base_version,
			      const char *base)
{
	const struct feed_difference *d = &s->difference;
	size_t base_bytes = base ? strlen(base) : 0;
	struct buf whole = { 0 };

	if (!d->base_version)
		return true;
	if (!base || d->base_version != base_version ||
	    (uint64_t)d->prefix_bytes + d->suffix_bytes > base_bytes)
		return false;
	buf_append(&whole, base, d->prefix_bytes);
	buf_append(&whole, s->text, (uint32_t)strlen(s->text));
	buf_append(&whole, base + base_bytes - d->suffix_bytes,
		   d->suffix_bytes);
	buf_append(&whole, "", 1);
	if (hash_bytes(whole.data, whole.len_bytes - 1, 0) != d->hash) {
		buf_free(&whole);
		return false;
	}
	free(s->text);
	s->text = (char *)whole.data;
	s->difference = (struct feed_difference){ 0 };
	return true;
}

/* The hash that a table with the state's workers has. */
static uint64_t hash_listed(const struct feed_state *s)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < s->count; i++)
		if (!s->workers[i].expires_ms)
			hash += feed_worker_hash(&s->workers[i]);
	return hash;
}

bool feed_state_complete_workers(struct feed_state *s,
				 const struct feed_table *t)
{
	for (; s->unchanged_count; s->unchanged_count--) {
		const struct feed_worker *w = feed_table_find(
			t, s->unchanged[s->unchanged_count - 1]);

		if (!w)
			return false;
		s->workers[s->count++] = *w;
	}
	return !s->as_of || hash_listed(s) == s->workers_hash;
}
