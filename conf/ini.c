#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include <apr_strings.h>
#include <ini.h>

#include "conf/conf.h"

/* Longest line. The default of the INI library, 200, is too short for paths of
 * routes. */
#define LINE_BYTES 1024

/** State of reading one text. */
struct ini_reader {
	struct ini_doc *doc;
	const char *file;
	const char *at; /**< next line of the text */
	int32_t line;
	struct ini_section *section; /**< current one; NULL: none */
	struct conf_errors *errors;
};

void conf_error_add(struct conf_errors *errors, const char *file, int32_t line,
		    const char *fmt, ...)
{
	struct conf_error *e;
	va_list ap;

	if (errors->count++ >= CONF_ERRORS_MAX)
		return;
	e = &errors->list[errors->count - 1];
	snprintf(e->file, sizeof(e->file), "%s", file);
	e->line = line;
	va_start(ap, fmt);
	vsnprintf(e->reason, sizeof(e->reason), fmt, ap);
	va_end(ap);
}

static void set_library_options(void)
{
	ini_allow_multiline = false;
	ini_allow_no_value = true;
	ini_max_line = LINE_BYTES;
}

struct ini_doc *ini_doc_create(void)
{
	apr_pool_t *pool;
	struct ini_doc *d;

	if (apr_pool_create_unmanaged_ex(&pool, NULL, NULL) != APR_SUCCESS)
		abort();
	d = apr_pcalloc(pool, sizeof(*d));
	d->pool = pool;
	d->by_heading = apr_hash_make(pool);
	return d;
}

void ini_doc_destroy(struct ini_doc *d)
{
	if (d)
		apr_pool_destroy(d->pool);
}

/* Makes the section with this heading the current one. If the same layer has
 * the section already, this is reported as an error, but the keys are still
 * read and checked. */
static void open_section(struct ini_reader *r, char *heading)
{
	struct ini_doc *d = r->doc;
	char *name = strchr(heading, ' ');
	struct ini_section *s =
		apr_hash_get(d->by_heading, heading, APR_HASH_KEY_STRING);

	r->section = s;
	if (s && s->layer == d->layers) {
		conf_error_add(r->errors, r->file, r->line,
			       "[%s] is given twice, first on line %d", heading,
			       s->line);
		return;
	}
	if (!s) {
		s = apr_pcalloc(d->pool, sizeof(*s));
		heading = apr_pstrdup(d->pool, heading);
		apr_hash_set(d->by_heading, heading, APR_HASH_KEY_STRING, s);
		s->kind = name ? apr_pstrndup(d->pool, heading,
					      (size_t)(strchr(heading, ' ') -
						       heading)) :
				 heading;
		s->name = name ? strchr(heading, ' ') + 1 : "";
		s->first_layer = d->layers;
		if (d->last)
			d->last->next = s;
		else
			d->first = s;
		d->last = s;
	}
	s->file = r->file;
	s->line = r->line;
	s->layer = d->layers;
	r->section = s;
}

/* Headings are parsed here because the INI library truncates section names to
 * 50 bytes and does not report sections without keys. */
static void parse_heading(struct ini_reader *r, const char *line)
{
	char heading[LINE_BYTES];
	const char *end = strchr(line, ']');
	const char *p = line + 1;
	size_t n = 0;

	r->section = NULL;
	if (!end) {
		conf_error_add(r->errors, r->file, r->line,
			       "heading without ']'");
		return;
	}
	while (p < end && (*p == ' ' || *p == '\t'))
		p++;
	for (; p < end; p++) {
		bool blank = *p == ' ' || *p == '\t';

		if (blank && (p + 1 == end || p[1] == ' ' || p[1] == '\t'))
			continue;
		heading[n++] = blank ? ' ' : *p;
	}
	heading[n] = '\0';
	open_section(r, heading);
}

/* Gives the INI library the next line. Parses the line if it is a heading. */
static char *next_line(char *out, int size, void *arg)
{
	struct ini_reader *r = arg;
	const char *end;
	const char *p;
	size_t n;

	if (!*r->at)
		return NULL;
	end = strchr(r->at, '\n');
	n = end ? (size_t)(end - r->at) + 1 : strlen(r->at);
	r->line++;
	if (n > (size_t)size - 1) {
		conf_error_add(r->errors, r->file, r->line,
			       "line is longer than %d bytes", size - 2);
		strcpy(out, "\n");
	} else {
		memcpy(out, r->at, n);
		out[n] = '\0';
	}
	r->at += n;
	for (p = out; *p == ' ' || *p == '\t'; p++)
		;
	if (*p == '[')
		parse_heading(r, p);
	return out;
}

static int add_key(void *user, const char *section, const char *name,
		   const char *value)
{
	struct ini_reader *r = user;
	apr_pool_t *pool = r->doc->pool;
	struct ini_key **at;

	(void)section;
	if (!value || !*name) {
		conf_error_add(r->errors, r->file, r->line,
			       "'%s' is not 'key = value'", name);
		return 1;
	}
	if (!r->section) {
		conf_error_add(r->errors, r->file, r->line,
			       "'%s' is in no section", name);
		return 1;
	}
	for (at = &r->section->keys; *at; at = &(*at)->next)
		if (!strcmp((*at)->name, name))
			break;
	/* The key was set in this layer if its file name is the same pointer:
	 * each layer has its own copy of the name. */
	if (*at && (*at)->file == r->file) {
		conf_error_add(r->errors, r->file, r->line,
			       "'%s' is given twice, first on line %d", name,
			       (*at)->line);
		return 1;
	}
	if (!*at) {
		*at = apr_pcalloc(pool, sizeof(**at));
		(*at)->name = apr_pstrdup(pool, name);
	}
	(*at)->value = apr_pstrdup(pool, value);
	(*at)->file = r->file;
	(*at)->line = r->line;
	return 1;
}

void ini_doc_read(struct ini_doc *d, const char *file, const char *text,
		  struct conf_errors *errors)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	struct ini_reader r = {
		.doc = d,
		.file = apr_pstrdup(d->pool, file),
		.at = text,
		.errors = errors,
	};
	uint32_t before = errors->count;
	int32_t bad_line;

	pthread_once(&once, set_library_options);
	d->layers++;
	bad_line = ini_parse_stream(next_line, &r, add_key, &r);
	if (bad_line && errors->count == before)
		conf_error_add(errors, file, bad_line, "is not valid INI text");
}

const struct ini_section *ini_doc_find(const struct ini_doc *d,
				       const char *kind, const char *name)
{
	char heading[LINE_BYTES];

	snprintf(heading, sizeof(heading), "%s %s", kind, name);
	return apr_hash_get(d->by_heading, heading, APR_HASH_KEY_STRING);
}

const struct ini_key *ini_section_key(const struct ini_section *s,
				      const char *name)
{
	const struct ini_key *k = s->keys;

	while (k && strcmp(k->name, name) != 0)
		k = k->next;
	return k;
}
