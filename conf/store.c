#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <jansson.h>

#include "conf/conf.h"

#define CONNECT_TIMEOUT_MS 1000
#define CALL_TIMEOUT_MS 5000
/* Time-out of a watch beyond its wait. It is short because a connection that
 * has failed silently must not hide a change for 5 s, the time within which
 * changes in this store must be in force. */
#define WATCH_MARGIN_MS 1500
/* Larger answers are refused. A list of all VMs is a few megabytes. */
#define ANSWER_LIMIT_BYTES (16U << 20)
/* The waits between tries are 100 to 1600 ms, so that a write succeeds after a
 * short outage of the store. */
#define UPDATE_TRIES 6
#define UPDATE_WAIT_US 100000

struct store {
	char *url;
	struct http_client *http;
	struct buf answer; /**< body of the last answer */
	uint64_t revision; /**< Object-Version of the last answer; 0: none */
	bool unsent; /**< the last call did not reach the store */
	struct counter *calls;
	struct counter *failures;
};

struct store *store_create(const char *url)
{
	struct store *s = az_alloc(sizeof(*s));

	s->url = strdup(url);
	s->http = http_client_create();
	s->calls = counter_get("conf_store_calls");
	s->failures = counter_get("conf_store_failures");
	if (s->url && s->http)
		return s;
	store_destroy(s);
	return NULL;
}

void store_destroy(struct store *s)
{
	if (!s)
		return;
	http_client_destroy(s->http);
	buf_free(&s->answer);
	free(s->url);
	free(s);
}

void store_cancel_all(struct store *s)
{
	http_client_cancel_all(s->http);
}

void store_object_free(struct store_object *o)
{
	buf_free(&o->value);
}

void store_list_free(struct store_list *l)
{
	for (uint32_t i = 0; i < l->count; i++)
		store_object_free(&l->objects[i]);
	free(l->objects);
	memset(l, 0, sizeof(*l));
}

void store_vms_free(struct store_vms *v)
{
	free(v->list);
	memset(v, 0, sizeof(*v));
}

/* ---- one call ---- */

/* Calls the store; *status is the HTTP status if AZ_OK. */
static enum az_status call(struct store *s, const char *path,
			   const char *condition, const void *body,
			   uint32_t len_bytes, uint32_t timeout_ms,
			   uint16_t *status)
{
	char url[1024];
	struct http_call c = {
		.method = body ? "PUT" : NULL,
		.url = url,
		.headers = { condition },
		.body = body,
		.body_bytes = len_bytes,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = timeout_ms,
		.answer_max_bytes = ANSWER_LIMIT_BYTES,
		.numeric_header = "object-version",
	};
	enum az_status r;

	snprintf(url, sizeof(url), "%s%s", s->url, path);
	r = http_call(s->http, &c);
	buf_free(&s->answer);
	s->answer = c.answer;
	s->revision = c.header_value;
	s->unsent = c.unsent;
	*status = c.status;
	counter_add(s->calls, 1);
	if (r != AZ_OK)
		counter_add(s->failures, 1);
	return r;
}

static enum az_status unexpected(struct store *s, const char *what,
				 uint16_t status)
{
	counter_add(s->failures, 1);
	return az_fail(AZ_IO, "store: unexpected answer, status %u for %s",
		       status, what);
}

enum az_status store_get(struct store *s, const char *key,
			 struct store_object *out)
{
	char path[64 + CONF_KEY_MAX_BYTES];
	struct conf_header h;
	enum az_status r;
	uint16_t status = 0;

	memset(out, 0, sizeof(*out));
	snprintf(out->key, sizeof(out->key), "%s", key);
	snprintf(path, sizeof(path), "/v1/objects/%s", key);
	r = call(s, path, NULL, NULL, 0, CALL_TIMEOUT_MS, &status);
	if (r != AZ_OK)
		return r;
	out->revision = s->revision;
	if (status == 404)
		return az_fail(AZ_NOT_FOUND, "store: no object %s", key);
	if (status != 200 || !s->revision)
		return unexpected(s, path, status);
	if (memchr(s->answer.data, '\0', s->answer.len_bytes))
		return az_fail(AZ_INVALID, "object %s has a zero byte", key);
	out->value = s->answer;
	memset(&s->answer, 0, sizeof(s->answer));
	conf_header_parse((char *)out->value.data, &h);
	out->version = h.version;
	out->deleted = h.deleted;
	return AZ_OK;
}

enum az_status store_put(struct store *s, const char *key, uint64_t if_revision,
			 const void *value, uint32_t len_bytes,
			 uint64_t *revision)
{
	char path[64 + CONF_KEY_MAX_BYTES];
	char condition[64];
	enum az_status r;
	uint16_t status = 0;

	if (if_revision)
		snprintf(condition, sizeof(condition), "If-Match: %" PRIu64,
			 if_revision);
	else
		snprintf(condition, sizeof(condition), "If-None-Match: *");
	snprintf(path, sizeof(path), "/v1/objects/%s", key);
	r = call(s, path, condition, value, len_bytes, CALL_TIMEOUT_MS,
		 &status);
	if (r != AZ_OK)
		return r;
	if (status == 412)
		return az_fail(AZ_CONFLICT, "object %s was changed", key);
	if (status / 100 == 4 && status != 408 && status != 429) {
		unexpected(s, path, status);
		return AZ_DENIED;
	}
	if (status / 100 != 2 || !s->revision)
		return unexpected(s, path, status);
	*revision = s->revision;
	return AZ_OK;
}

/* ---- JSON answers ---- */

static json_t *read_json(struct store *s, const char *array, uint64_t *revision,
			 json_t **list)
{
	json_error_t e;
	json_t *root = json_loadb((const char *)s->answer.data,
				  s->answer.len_bytes, 0, &e);
	json_t *r = json_object_get(root, "revision");

	*list = json_object_get(root, array);
	if (json_is_integer(r) && json_is_array(*list)) {
		*revision = (uint64_t)json_integer_value(r);
		return root;
	}
	json_decref(root);
	counter_add(s->failures, 1);
	return NULL;
}

static enum az_status read_list(struct store *s, const char *array,
				struct store_list *out)
{
	json_t *list;
	json_t *root = read_json(s, array, &out->revision, &list);
	json_t *o;
	size_t i;

	if (!root)
		return az_fail(AZ_IO, "store: malformed list");
	out->objects = calloc(json_array_size(list) + 1, sizeof(*out->objects));
	if (!out->objects)
		abort();
	json_array_foreach(list, i, o)
	{
		const char *key = json_string_value(json_object_get(o, "key"));
		json_t *v = json_object_get(o, "version");
		struct store_object *to = &out->objects[out->count];

		if (!key || strlen(key) >= sizeof(to->key) ||
		    !json_is_integer(v))
			continue;
		strcpy(to->key, key);
		to->revision = (uint64_t)json_integer_value(v);
		out->count++;
	}
	json_decref(root);
	return AZ_OK;
}

enum az_status store_list(struct store *s, const char *prefix,
			  struct store_list *out)
{
	char path[64 + CONF_KEY_MAX_BYTES];
	enum az_status r;
	uint16_t status = 0;

	memset(out, 0, sizeof(*out));
	snprintf(path, sizeof(path), "/v1/objects?prefix=%s", prefix);
	r = call(s, path, NULL, NULL, 0, CALL_TIMEOUT_MS, &status);
	if (r != AZ_OK)
		return r;
	if (status != 200)
		return unexpected(s, path, status);
	return read_list(s, "objects", out);
}

enum az_status store_watch(struct store *s, const char *prefix, uint64_t after,
			   uint32_t wait_ms, struct store_list *out)
{
	char path[128 + CONF_KEY_MAX_BYTES];
	enum az_status r;
	uint16_t status = 0;

	memset(out, 0, sizeof(*out));
	snprintf(path, sizeof(path),
		 "/v1/watch?prefix=%s&after=%" PRIu64 "&wait_ms=%u", prefix,
		 after, wait_ms);
	r = call(s, path, NULL, NULL, 0, wait_ms + WATCH_MARGIN_MS, &status);
	if (r != AZ_OK)
		return r;
	if (status != 200)
		return unexpected(s, path, status);
	return read_list(s, "changed", out);
}

enum az_status store_vms(struct store *s, uint64_t known_revision,
			 struct store_vms *out)
{
	char condition[64];
	enum az_status r;
	uint16_t status = 0;
	json_t *list;
	json_t *root;
	json_t *o;
	size_t i;

	memset(out, 0, sizeof(*out));
	snprintf(condition, sizeof(condition), "If-None-Match: \"%" PRIu64 "\"",
		 known_revision);
	r = call(s, "/v1/vms", known_revision ? condition : NULL, NULL, 0,
		 CALL_TIMEOUT_MS, &status);
	if (r != AZ_OK)
		return r;
	if (status == 304)
		return AZ_AGAIN;
	if (status != 200)
		return unexpected(s, "/v1/vms", status);
	root = read_json(s, "vms", &out->revision, &list);
	if (!root)
		return az_fail(AZ_IO, "store: malformed VM list");
	out->list = calloc(json_array_size(list) + 1, sizeof(*out->list));
	if (!out->list)
		abort();
	json_array_foreach(list, i, o)
	{
		const char *name =
			json_string_value(json_object_get(o, "name"));
		const char *ip = json_string_value(json_object_get(o, "ip"));
		const char *state =
			json_string_value(json_object_get(o, "state"));
		struct store_vm *v = &out->list[out->count];
		struct in_addr in;

		if (!name || !ip || !state || inet_pton(AF_INET, ip, &in) != 1)
			continue;
		snprintf(v->name, sizeof(v->name), "%s", name);
		v->ip = ntohl(in.s_addr);
		v->leaving = !strcmp(state, "leaving");
		out->count++;
	}
	json_decref(root);
	return out->revision == known_revision ? AZ_AGAIN : AZ_OK;
}

/* ---- conditional update ---- */

static enum az_status fail_conflict(struct store_write *w, uint64_t other_id)
{
	w->other_id = other_id;
	return az_fail(AZ_CONFLICT,
		       "object %s was changed by write %016" PRIx64, w->key,
		       other_id);
}

static enum az_status fail_unknown(struct store_write *w)
{
	w->outcome_unknown = true;
	return az_fail(AZ_TIMEOUT,
		       "it is unknown whether write %016" PRIx64
		       " of object %s took effect",
		       w->write_id, w->key);
}

/* Reads the object to find out whether a write took effect. AZ_AGAIN: the write
 * must be sent again. */
static enum az_status check_outcome(struct store *s, struct store_write *w)
{
	struct conf_header now = { 0 };
	struct store_object o;
	enum az_status r = store_get(s, w->key, &o);

	if (r == AZ_OK)
		conf_header_parse((char *)o.value.data, &now);
	else if (r == AZ_INVALID)
		return fail_unknown(w);
	else if (r != AZ_NOT_FOUND)
		return AZ_AGAIN;
	store_object_free(&o);
	switch (conf_determine_write_outcome(&w->base, w->if_revision, &now,
					     o.revision, w->write_id)) {
	case WRITE_ACCEPTED:
		return AZ_OK;
	case WRITE_REFUSED:
		return fail_conflict(w, now.writes[0]);
	case WRITE_UNCHANGED:
		return AZ_AGAIN;
	case WRITE_UNKNOWN:
	default:
		return fail_unknown(w);
	}
}

enum az_status store_update(struct store *s, struct store_write *w)
{
	struct conf_header h =
		conf_header_next(&w->base, w->write_id, w->version, w->deleted);
	struct buf value = { 0 };
	enum az_status r = AZ_AGAIN;
	enum az_status put = AZ_IO;
	bool sent = false;
	uint64_t revision;

	w->other_id = 0;
	w->outcome_unknown = false;
	conf_header_write(&value, &h);
	if (!w->deleted)
		buf_append(&value, w->text, (uint32_t)strlen(w->text));
	for (uint32_t i = 0; i < UPDATE_TRIES && r == AZ_AGAIN; i++) {
		if (i)
			usleep(UPDATE_WAIT_US << (i - 1));
		put = store_put(s, w->key, w->if_revision, value.data,
				value.len_bytes, &revision);
		if (put == AZ_OK || (put == AZ_DENIED && !sent)) {
			r = put;
			break;
		}
		sent |= !s->unsent;
		/* Needed after a conflict too: an earlier copy of this write
		 * may have caused it. */
		r = check_outcome(s, w);
	}
	buf_free(&value);
	if (r != AZ_AGAIN)
		return r;
	return sent ? fail_unknown(w) : put;
}
