#include <stdlib.h>
#include <string.h>

#include "lib/az.h"

void *az_alloc(size_t bytes)
{
	void *p = calloc(1, bytes);

	if (!p)
		abort();
	return p;
}

void reply_refuse(struct reply_to *to, enum error_kind k)
{
	to->ops->answer(to, answer_new(k));
}

char *az_strdup(const char *s)
{
	return s ? strcpy(az_alloc(strlen(s) + 1), s) : NULL;
}

struct request *request_new(const char *method, const char *path,
			    const char *service)
{
	struct request *r = az_alloc(sizeof(*r));

	strncpy(r->method, method, sizeof(r->method) - 1);
	r->path = az_strdup(path);
	r->service = az_strdup(service);
	return r;
}

struct request *request_copy(const struct request *r)
{
	struct request *c = az_alloc(sizeof(*c));

	*c = *r;
	c->path = az_strdup(r->path);
	c->service = az_strdup(r->service);
	c->host = az_strdup(r->host);
	c->correlation = az_strdup(r->correlation);
	memset(&c->headers, 0, sizeof(c->headers));
	memset(&c->body, 0, sizeof(c->body));
	buf_append(&c->headers, r->headers.data, r->headers.len_bytes);
	buf_append(&c->body, r->body.data, r->body.len_bytes);
	return c;
}

void request_free(struct request *r)
{
	if (!r)
		return;
	free(r->path);
	free(r->service);
	free(r->host);
	free(r->correlation);
	buf_free(&r->headers);
	buf_free(&r->body);
	free(r);
}

struct answer *answer_new(enum error_kind k)
{
	struct answer *a = az_alloc(sizeof(*a));

	a->kind = k;
	a->outcome = error_info(k)->outcome;
	a->http_status = error_info(k)->http_status;
	return a;
}

/* Allocates only the length and not the capacity of `b`, as ledgers and call
 * tables keep thousands of copies. */
static struct buf buf_copy(const struct buf *b)
{
	struct buf c = { NULL, b->len_bytes, b->len_bytes };

	if (b->len_bytes) {
		c.data = az_alloc(b->len_bytes);
		memcpy(c.data, b->data, b->len_bytes);
	}
	return c;
}

struct answer *answer_copy(const struct answer *a)
{
	struct answer *c = az_alloc(sizeof(*c));

	*c = *a;
	c->headers = buf_copy(&a->headers);
	c->body = buf_copy(&a->body);
	return c;
}

void answer_free(struct answer *a)
{
	if (!a)
		return;
	buf_free(&a->headers);
	buf_free(&a->body);
	free(a);
}
