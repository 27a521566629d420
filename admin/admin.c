#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include <microhttpd.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "admin/admin.h"

/* The only request body that the API uses is the name of a log level. */
#define BODY_MAX_BYTES 64
#define CONNECTIONS_MAX 64
#define IDLE_TIMEOUT_S 10

struct admin {
	struct admin_settings settings;
	struct MHD_Daemon *daemon;
	uint8_t token_digest[SHA256_DIGEST_LENGTH];
	struct counter *requests;
	struct counter *denied;
};

/** A request whose body is being received. */
struct admin_request {
	char body[BODY_MAX_BYTES + 1];
	uint32_t len_bytes;
	bool too_large;
};

struct admin *admin_create(const struct admin_settings *s, apr_pool_t *pool)
{
	struct admin *a;

	if (!s->token || !*s->token) {
		az_fail(AZ_INVALID, "admin: the token is empty");
		return NULL;
	}
	a = apr_pcalloc(pool, sizeof(*a));
	a->settings = *s;
	SHA256((const unsigned char *)s->token, strlen(s->token),
	       a->token_digest);
	a->requests = counter_get("admin_requests");
	a->denied = counter_get("admin_denied");
	return a;
}

/* Compares digests, which have a fixed length, in constant time: the duration
 * must not tell a caller how much of the token is right. */
static bool is_authorized(const struct admin *a, struct MHD_Connection *c)
{
	const char *h = MHD_lookup_connection_value(
		c, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
	uint8_t digest[SHA256_DIGEST_LENGTH];

	if (!h || strncmp(h, "Bearer ", 7) != 0)
		return false;
	SHA256((const unsigned char *)h + 7, strlen(h + 7), digest);
	return !CRYPTO_memcmp(digest, a->token_digest, sizeof(digest));
}

static enum MHD_Result reply(struct MHD_Connection *c, uint32_t status,
			     const char *type, const void *body, size_t len)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result queued;

	if (!r)
		return MHD_NO;
	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	if (status == MHD_HTTP_UNAUTHORIZED)
		MHD_add_response_header(r, MHD_HTTP_HEADER_WWW_AUTHENTICATE,
					"Bearer");
	queued = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	return queued;
}

static enum MHD_Result reply_text(struct MHD_Connection *c, uint32_t status,
				  const char *text)
{
	return reply(c, status, "text/plain", text, strlen(text));
}

/* ---- status page ---- */

static json_t *json_hex(uint64_t v)
{
	return json_sprintf("%016" PRIx64, v);
}

static json_t *members_json(const struct admin_status *s)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < s->member_count; i++) {
		const struct admin_member *m = &s->members[i];

		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:I, s:b}", "name",
						m->name, "state", m->state,
						"dc", (json_int_t)m->dc,
						"stopping", m->stopping));
	}
	return list;
}

static json_t *cells_json(const struct admin_status *s)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < s->cell_count; i++) {
		const struct admin_cell *c = &s->cells[i];

		json_array_append_new(
			list,
			json_pack("{s:o, s:s, s:I, s:I}", "id", json_hex(c->id),
				  "service", c->service, "queue_depth",
				  (json_int_t)c->queue_depth, "in_flight",
				  (json_int_t)c->in_flight));
	}
	return list;
}

static json_t *notices_json(const struct admin_status *s)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < s->notice_count; i++) {
		const struct admin_notice *n = &s->notices[i];

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:b, s:I}", "service",
					n->service, "worker", n->worker,
					"leaving", n->leaving, "pause_left_ms",
					(json_int_t)n->pause_left_ms));
	}
	return list;
}

static json_t *conf_json(const struct conf_duty_status *s)
{
	json_t *objects = json_object();

	for (uint32_t i = 0; i < s->object_count; i++)
		json_object_set_new(
			objects, s->objects[i].key,
			json_integer((json_int_t)s->objects[i].version));
	return json_pack("{s:o, s:o, s:b, s:b, s:o}", "digest",
			 json_hex(s->digest), "digest_in_force",
			 json_hex(s->digest_in_force), "watcher", s->watcher,
			 "store_ok", s->store_ok, "objects", objects);
}

static enum MHD_Result reply_status(struct admin *a, struct MHD_Connection *c)
{
	struct admin_status s = { 0 };
	enum MHD_Result queued;
	apr_pool_t *pool;
	json_t *root;
	char *text;

	if (apr_pool_create_unmanaged_ex(&pool, NULL, NULL) != APR_SUCCESS)
		return MHD_NO;
	a->settings.source->ops->status(a->settings.source, pool, &s);
	root = json_pack("{s:s, s:o, s:b, s:I, s:o, s:o, s:o}", "name",
			 s.name ? s.name : "", "incarnation",
			 json_hex(s.incarnation), "stopping", s.stopping,
			 "in_flight", (json_int_t)s.in_flight, "members",
			 members_json(&s), "cells", cells_json(&s), "notices",
			 notices_json(&s));
	if (s.has_conf)
		json_object_set_new(root, "configuration", conf_json(&s.conf));
	text = json_dumps(root, JSON_INDENT(1));
	queued = text ? reply(c, 200, "application/json", text, strlen(text)) :
			reply_text(c, 500, "no status\n");
	free(text);
	json_decref(root);
	conf_duty_status_free(&s.conf);
	apr_pool_destroy(pool);
	return queued;
}

/* ---- other paths, and dispatch of requests ---- */

static enum MHD_Result reply_counters(struct admin *a, struct MHD_Connection *c)
{
	struct buf b = { 0 };
	enum MHD_Result queued;

	(void)a;
	counter_print(&b);
	buf_printf(&b, "log_lines_dropped %u\n", log_dropped());
	histogram_print(&b);
	queued = reply(c, 200, "text/plain", b.data, b.len_bytes);
	buf_free(&b);
	return queued;
}

static enum MHD_Result set_log_level(struct MHD_Connection *c,
				     struct admin_request *q)
{
	enum log_level level;

	q->body[q->len_bytes] = '\0';
	q->body[strcspn(q->body, "\r\n")] = '\0';
	if (log_level_parse(q->body, &level) != AZ_OK)
		return reply_text(c, 400,
				  "expected error, warn, info or debug\n");
	log_set_level(level);
	log_write(LOG_INFO, "admin", "log level set level=%s", q->body);
	return reply_text(c, 200, "ok\n");
}

/** A path of the API and the only method that it accepts. */
struct endpoint {
	const char *path;
	const char *method;
};

static const struct endpoint endpoints[] = {
	{ "/counters", "GET" }, { "/status", "GET" }, { "/health", "GET" },
	{ "/metrics", "GET" },	{ "/drain", "POST" }, { "/log-level", "POST" },
};

static const struct endpoint *find_endpoint(const char *path)
{
	for (uint32_t i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++)
		if (!strcmp(endpoints[i].path, path))
			return &endpoints[i];
	return NULL;
}

static enum MHD_Result handle_request(struct admin *a, struct MHD_Connection *c,
				      const char *path, const char *method,
				      struct admin_request *q)
{
	const struct endpoint *e = find_endpoint(path);
	struct admin_source *source = a->settings.source;

	counter_add(a->requests, 1);
	/* No token is needed, as the supervisor that checks the health does not
	 * have it. */
	if (e && !strcmp(path, "/health") && !strcmp(method, "GET"))
		return source->ops->healthy(source) ?
			       reply_text(c, 200, "ok\n") :
			       reply_text(c, 503, "stopping\n");
	/* The collector of the metrics does not have the token either. The
	 * metrics contain no names of callers, so that anyone may read them. */
	if (e && !strcmp(path, "/metrics") && !strcmp(method, "GET"))
		return reply_counters(a, c);
	if (!is_authorized(a, c)) {
		counter_add(a->denied, 1);
		return reply_text(c, MHD_HTTP_UNAUTHORIZED, "denied\n");
	}
	if (!e)
		return reply_text(c, 404, "no such page\n");
	if (strcmp(e->method, method) != 0)
		return reply_text(c, 405, "method not allowed\n");
	if (q->too_large)
		return reply_text(c, 413, "body too large\n");
	if (!strcmp(path, "/counters"))
		return reply_counters(a, c);
	if (!strcmp(path, "/status"))
		return reply_status(a, c);
	if (!strcmp(path, "/log-level"))
		return set_log_level(c, q);
	log_write(LOG_INFO, "admin", "planned stop requested");
	source->ops->drain(source);
	return reply_text(c, 202, "stopping\n");
}

static enum MHD_Result receive_request(void *cls, struct MHD_Connection *c,
				       const char *path, const char *method,
				       const char *version, const char *data,
				       size_t *data_bytes, void **state)
{
	struct admin_request *q = *state;

	(void)version;
	if (!q) {
		*state = q = calloc(1, sizeof(*q));
		return q ? MHD_YES : MHD_NO;
	}
	if (!*data_bytes)
		return handle_request(cls, c, path, method, q);
	if (*data_bytes > BODY_MAX_BYTES - q->len_bytes) {
		q->too_large = true;
	} else {
		memcpy(q->body + q->len_bytes, data, *data_bytes);
		q->len_bytes += (uint32_t)*data_bytes;
	}
	*data_bytes = 0;
	return MHD_YES;
}

static void free_request(void *cls, struct MHD_Connection *c, void **state,
			 enum MHD_RequestTerminationCode why)
{
	(void)cls;
	(void)c;
	(void)why;
	free(*state);
	*state = NULL;
}

enum az_status admin_start(struct admin *a)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(a->settings.port),
		.sin_addr.s_addr = htonl(a->settings.ip),
	};

	a->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD, a->settings.port, NULL, NULL,
		receive_request, a, MHD_OPTION_SOCK_ADDR, &at,
		MHD_OPTION_NOTIFY_COMPLETED, free_request, NULL,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_END);
	if (!a->daemon)
		return az_fail(AZ_IO, "admin: cannot listen on port %u",
			       a->settings.port);
	return AZ_OK;
}

uint16_t admin_port(const struct admin *a)
{
	const union MHD_DaemonInfo *i =
		MHD_get_daemon_info(a->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return i ? i->port : 0;
}

void admin_stop(struct admin *a)
{
	if (a->daemon)
		MHD_stop_daemon(a->daemon);
	a->daemon = NULL;
}
