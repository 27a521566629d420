/**
 * @file
 * Encoding of a feed's state as text: a header line (position, version, bytes
 * of the configuration, number of workers), a line for each worker, then the
 * configuration.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "feed/feed.h"

/* Limits of a state that is accepted. */
#define WORKERS_MAX 100000
#define TEXT_MAX_BYTES (16U << 20)

static void print_worker(const struct feed_worker *w, struct buf *out)
{
	buf_printf(out, "%s %s %s %u %u %u %d %llu %u %llu\n", w->name,
		   w->service, w->data_centre, w->ip, w->port, w->slots,
		   w->leaving, (unsigned long long)w->boot, w->cold_ms,
		   (unsigned long long)w->revision);
}

void feed_state_print(uint64_t position, uint64_t version, const char *text,
		      const struct feed_table *workers, struct buf *out)
{
	uint32_t bytes = text ? (uint32_t)strlen(text) : 0;
	apr_hash_index_t *i;

	buf_printf(out, "%llu %llu %u %u\n", (unsigned long long)position,
		   (unsigned long long)version, bytes,
		   feed_table_size(workers));
	for (i = apr_hash_first(NULL, workers->by_name); i;
	     i = apr_hash_next(i))
		print_worker(
			&((struct feed_entry *)apr_hash_this_val(i))->worker,
			out);
	buf_append(out, text, bytes);
}

static bool parse_worker(const char *line, struct feed_worker *w)
{
	unsigned long long boot;
	unsigned long long revision;
	unsigned int slots;
	unsigned int port;
	int leaving;

	if (sscanf(line, "%63s %63s %63s %u %u %u %d %llu %u %llu", w->name,
		   w->service, w->data_centre, &w->ip, &port, &slots, &leaving,
		   &boot, &w->cold_ms, &revision) != 10 ||
	    port > UINT16_MAX || slots > UINT8_MAX)
		return false;
	w->port = (uint16_t)port;
	w->slots = (uint8_t)slots;
	w->leaving = leaving;
	w->boot = boot;
	w->revision = revision;
	return true;
}

void feed_state_free(struct feed_state *s)
{
	free(s->text);
	free(s->workers);
	memset(s, 0, sizeof(*s));
}

static enum az_status parse(char *text, struct feed_state *out)
{
	unsigned long long position;
	unsigned long long version;
	unsigned int bytes;
	unsigned int count;
	char *line = strchr(text, '\n');

	if (!line ||
	    sscanf(text, "%llu %llu %u %u", &position, &version, &bytes,
		   &count) != 4 ||
	    count > WORKERS_MAX || bytes > TEXT_MAX_BYTES)
		return AZ_INVALID;
	out->position = position;
	out->version = version;
	out->workers = az_alloc((count + 1) * sizeof(*out->workers));
	for (; out->count < count; out->count++) {
		char *start = line + 1;

		line = strchr(start, '\n');
		if (!line || !parse_worker(start, &out->workers[out->count]))
			return AZ_INVALID;
	}
	if (strlen(line + 1) != bytes)
		return AZ_INVALID;
	if (bytes)
		out->text = az_strdup(line + 1);
	return AZ_OK;
}

enum az_status feed_state_parse(const struct buf *data, struct feed_state *out)
{
	char *text = az_alloc(data->len_bytes + 1);
	enum az_status s;

	memset(out, 0, sizeof(*out));
	if (data->len_bytes)
		memcpy(text, data->data, data->len_bytes);
	s = parse(text, out);
	free(text);
	if (s == AZ_OK)
		return AZ_OK;
	feed_state_free(out);
	return az_fail(AZ_INVALID, "malformed feed state");
}
