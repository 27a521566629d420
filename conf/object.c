#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <apr_hash.h>
#include <apr_strings.h>

#include "conf/conf.h"

struct conf_key conf_key_parse(const char *key)
{
	struct conf_key k = { .kind = OBJECT_OTHER };
	const char *unit = NULL;
	const char *slash;

	if (!strcmp(key, CONF_LEAVING_KEY)) {
		k.kind = OBJECT_PLATFORM;
		return k;
	}
	if (strncmp(key, CONF_PREFIX, strlen(CONF_PREFIX)) != 0)
		return k;
	key += strlen(CONF_PREFIX);
	if (!strncmp(key, "operator/", 9)) {
		snprintf(k.unit, sizeof(k.unit), "service/%.*s",
			 CONF_NAME_MAX_BYTES, key + 9);
		k.kind = OBJECT_OPERATOR;
		return k;
	}
	if (!strncmp(key, "base/", 5)) {
		unit = key + 5;
		k.kind = OBJECT_BASE;
	} else if (!strncmp(key, "site/", 5)) {
		slash = strchr(key + 5, '/');
		if (!slash || slash - key - 5 >= CONF_NAME_MAX_BYTES)
			return k;
		memcpy(k.site, key + 5, (size_t)(slash - key - 5));
		unit = slash + 1;
		k.kind = OBJECT_SITE;
	}
	if (!unit || strlen(unit) >= sizeof(k.unit) ||
	    (strcmp(unit, "fleet") != 0 && strncmp(unit, "service/", 8) != 0 &&
	     strncmp(unit, "org/", 4) != 0))
		k.kind = OBJECT_OTHER;
	else
		strcpy(k.unit, unit);
	return k;
}

static const char header_mark[] = "; azurehold version=";

void conf_header_write(struct buf *out, const struct conf_header *h)
{
	buf_printf(out, "%s%" PRIu64 " writes=", header_mark, h->version);
	for (uint32_t i = 0; i < h->write_count; i++)
		buf_printf(out, "%s%016" PRIx64, i ? "," : "", h->writes[i]);
	buf_printf(out, "%s\n", h->deleted ? " deleted" : "");
}

static bool parse_header(const char *p, struct conf_header *out)
{
	char *end;

	if (strncmp(p, header_mark, sizeof(header_mark) - 1) != 0)
		return false;
	p += sizeof(header_mark) - 1;
	out->version = strtoull(p, &end, 10);
	if (*p < '0' || *p > '9' || !out->version ||
	    out->version > CONF_VERSION_MAX || strncmp(end, " writes=", 8) != 0)
		return false;
	p = end + 7;
	do {
		if (out->write_count == CONF_HEADER_WRITES_MAX ||
		    strspn(p + 1, "0123456789abcdef") != 16)
			return false;
		out->writes[out->write_count++] = strtoull(p + 1, &end, 16);
		p = end;
	} while (*p == ',');
	out->deleted = !strncmp(p, " deleted\n", 9);
	return out->deleted || *p == '\n';
}

bool conf_header_parse(const char *text, struct conf_header *out)
{
	memset(out, 0, sizeof(*out));
	if (parse_header(text, out))
		return true;
	memset(out, 0, sizeof(*out));
	out->version = CONF_VERSION_UNMARKED;
	out->write_count = 1;
	return false;
}

struct conf_header conf_header_next(const struct conf_header *base,
				    uint64_t write_id, uint64_t version,
				    bool deleted)
{
	struct conf_header h = { .version = version, .deleted = deleted };

	h.writes[h.write_count++] = write_id;
	for (uint32_t i = 0;
	     i < base->write_count && h.write_count < CONF_HEADER_WRITES_MAX;
	     i++)
		h.writes[h.write_count++] = base->writes[i];
	return h;
}

uint64_t conf_next_version(uint64_t highest, uint64_t wall_ms)
{
	return highest + 1 > wall_ms ? highest + 1 : wall_ms;
}

uint64_t conf_wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static bool has_write(const struct conf_header *h, uint64_t id)
{
	for (uint32_t i = 0; i < h->write_count; i++)
		if (h->writes[i] == id)
			return true;
	return false;
}

enum conf_write_outcome conf_determine_write_outcome(
	const struct conf_header *base, uint64_t if_revision,
	const struct conf_header *now, uint64_t revision, uint64_t write_id)
{
	if (has_write(now, write_id))
		return WRITE_ACCEPTED;
	/* After a restore the store may give the same revision to a different
	 * write. */
	if (revision == if_revision)
		return now->writes[0] == base->writes[0] ? WRITE_UNCHANGED :
							   WRITE_UNKNOWN;
	if (revision < if_revision)
		return WRITE_UNKNOWN;
	/* A write by hand, whose id is 0, hides the writes before it. */
	if (!if_revision)
		return now->write_count < CONF_HEADER_WRITES_MAX &&
				       !has_write(now, 0) ?
			       WRITE_REFUSED :
			       WRITE_UNKNOWN;
	return base->writes[0] && has_write(now, base->writes[0]) ?
		       WRITE_REFUSED :
		       WRITE_UNKNOWN;
}

/* ---- splitting a file into objects ---- */

/** State of splitting a document. */
struct splitter {
	const struct ini_doc *doc;
	const char *site; /**< NULL: base */
	apr_hash_t *by_key; /**< key to the struct buf with its text */
};

/* Writes the unit that a section belongs to, "fleet", "service/NAME" or
 * "org/NN". False if it is a section of a service but names none. */
static bool unit_name(const struct ini_section *s, char *out, size_t size)
{
	const struct ini_key *k;

	if (!strcmp(s->kind, "data_centre") || !strcmp(s->kind, "rank"))
		snprintf(out, size, "fleet");
	else if (!strcmp(s->kind, "service"))
		snprintf(out, size, "service/%s", s->name);
	else if (!strcmp(s->kind, "worker"))
		snprintf(out, size, "service/%.*s", (int)strcspn(s->name, "/"),
			 s->name);
	else if (!strcmp(s->kind, "organisation"))
		snprintf(out, size, "org/%02u", conf_shard_of(s->name));
	else if ((k = ini_section_key(s, "service")))
		snprintf(out, size, "service/%s", k->value);
	else
		return false;
	return true;
}

static void write_key(struct buf *out, const struct ini_section *s,
		      const struct ini_key *k)
{
	if (!strcmp(s->kind, "organisation") && !strcmp(k->name, "token"))
		buf_printf(out, "token_hash = %016" PRIx64 "\n",
			   hash_secret(k->value));
	else
		buf_printf(out, "%s = %s\n", k->name, k->value);
}

/* The buffer for the text of a unit's object; empty at first. */
static struct buf *get_object_buf(struct splitter *p, const char *unit)
{
	char key[CONF_KEY_MAX_BYTES];
	struct buf *b;

	if (p->site)
		snprintf(key, sizeof(key), CONF_PREFIX "site/%s/%s", p->site,
			 unit);
	else
		snprintf(key, sizeof(key), CONF_PREFIX "base/%s", unit);
	b = apr_hash_get(p->by_key, key, APR_HASH_KEY_STRING);
	if (b)
		return b;
	b = apr_pcalloc(p->doc->pool, sizeof(*b));
	apr_hash_set(p->by_key, apr_pstrdup(p->doc->pool, key),
		     APR_HASH_KEY_STRING, b);
	return b;
}

/* Writes a section to its object. The base is layer 1 of the document and the
 * overlay layer 2. A key was set by the same text as its section if the
 * pointers to the file name are equal (see add_key() in ini.c). */
static void split_section(struct splitter *p, const struct ini_section *s)
{
	uint32_t layer = p->site ? 2 : 1;
	char unit[CONF_NAME_MAX_BYTES + 16];
	struct buf *b;

	if (s->layer != layer || !unit_name(s, unit, sizeof(unit)))
		return;
	b = get_object_buf(p, unit);
	buf_printf(b, "[%s %s]\n", s->kind, s->name);
	for (const struct ini_key *k = s->keys; k; k = k->next)
		if (layer == 1 || k->file == s->file)
			write_key(b, s, k);
}

static int by_split_key(const void *a, const void *b)
{
	const struct conf_split_object *x = a;
	const struct conf_split_object *y = b;

	return strcmp(x->key, y->key);
}

void conf_split_free(struct conf_split_object *list, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		buf_free(&list[i].text);
	free(list);
}

enum az_status conf_split(const struct ini_doc *d, const char *site,
			  struct conf_split_object **out, uint32_t *count)
{
	struct splitter p = { .doc = d, .site = site };
	enum az_status s = AZ_OK;

	p.by_key = apr_hash_make(d->pool);
	for (const struct ini_section *c = d->first; c; c = c->next)
		split_section(&p, c);
	*count = 0;
	*out = calloc(apr_hash_count(p.by_key) + 1, sizeof(**out));
	if (!*out)
		abort();
	for (apr_hash_index_t *i = apr_hash_first(d->pool, p.by_key); i;
	     i = apr_hash_next(i)) {
		struct conf_split_object *o = &(*out)[(*count)++];
		const void *key;
		void *text;

		apr_hash_this(i, &key, NULL, &text);
		snprintf(o->key, sizeof(o->key), "%s", (const char *)key);
		o->text = *(struct buf *)text;
		buf_append(&o->text, "", 1);
		if (o->text.len_bytes + CONF_HEADER_MAX_BYTES >
		    CONF_OBJECT_MAX_BYTES)
			s = az_fail(AZ_INVALID,
				    "object %s is %u bytes; the store holds "
				    "at most %u",
				    o->key, o->text.len_bytes,
				    CONF_OBJECT_MAX_BYTES);
	}
	qsort(*out, *count, sizeof(**out), by_split_key);
	return s;
}
