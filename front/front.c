#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <arpa/inet.h>
#include <unistd.h>
#include <microhttpd.h>

#include "front/front.h"
#include "route/route.h"

#define CONNECTIONS_MAX 4096
#define CONNECTION_MEMORY_BYTES 32768
#define IDLE_TIMEOUT_S 30
#define LIMITER_BUCKETS 16384

struct front {
	struct front_settings settings;
	struct MHD_Daemon *daemon;
	struct limiter *limiter;
	uint32_t in_flight; /**< atomic */
	int32_t ready; /**< atomic */
	int32_t stopping; /**< atomic */
	struct counter *requests;
	struct counter *refused;
	struct counter *answered;
};

/** One caller's request on its connection. */
struct caller {
	struct reply_to reply;
	struct front *front;
	struct MHD_Connection *connection;
	char *uri;
	struct buf body;
	enum error_kind early; /**< refusal while the body arrives */
	bool begun;
	bool has_ticket;
	bool single; /**< non-idempotent: the answer carries a next ticket */
	uint64_t organisation;
	enum rank rank;
	struct span span;
	struct answer *answer; /**< set once, then the connection resumes */
};

uint32_t front_in_flight(struct front *f)
{
	return __atomic_load_n(&f->in_flight, __ATOMIC_RELAXED);
}

/* ---- headers ---- */

static const char *header(struct caller *c, const char *name)
{
	return MHD_lookup_connection_value(c->connection, MHD_HEADER_KIND,
					   name);
}

/* Hop-by-hop headers, those that the fleet sets anew, and those that are for
 * the fleet itself. */
static bool is_own_header(const char *name)
{
	static const char *const names[] = {
		"connection",
		"keep-alive",
		"transfer-encoding",
		"content-length",
		"trailer",
		"upgrade",
		"te",
		"proxy-connection",
		"expect",
		"host",
		"traceparent",
		"authorization",
		HEADER_TICKET,
		HEADER_OUTCOME,
		HEADER_RANK,
		HEADER_DEADLINE,
		HEADER_ERROR,
		HEADER_ORGANISATION,
	};

	for (uint32_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcasecmp(name, names[i]))
			return true;
	return false;
}

/** Headers to pass on; more than fit are an error, as none may be lost. */
struct header_copy {
	struct buf *out;
	bool too_large;
};

static enum MHD_Result copy_header(void *arg, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	struct header_copy *h = arg;

	(void)kind;
	if (is_own_header(name))
		return MHD_YES;
	buf_printf(h->out, "%s: %s\r\n", name, value ? value : "");
	h->too_large = h->out->len_bytes > REQUEST_HEADERS_MAX_BYTES;
	return h->too_large ? MHD_NO : MHD_YES;
}

/* Adds lines "Name: value\r\n" to a response. */
static void add_headers(struct MHD_Response *r, const struct buf *lines)
{
	char *copy = calloc(1, lines->len_bytes + 1);
	char *save = NULL;

	if (!copy)
		abort();
	if (lines->len_bytes)
		memcpy(copy, lines->data, lines->len_bytes);
	for (char *line = strtok_r(copy, "\r\n", &save); line;
	     line = strtok_r(NULL, "\r\n", &save)) {
		char *colon = strstr(line, ": ");

		if (!colon)
			continue;
		*colon = '\0';
		MHD_add_response_header(r, line, colon + 2);
	}
	free(copy);
}

/* ---- answers ---- */

static bool is_stopping(const struct front *f)
{
	return __atomic_load_n(&f->stopping, __ATOMIC_ACQUIRE);
}

/* A stopping daemon gives tickets only to those who cannot do without, as a
 * ticket is lost if the handover fails. */
static void add_next_ticket(struct caller *c, struct MHD_Response *r)
{
	bool needed = c->answer->kind == ERR_TICKET_REQUIRED;
	char text[TICKET_TEXT_MAX_BYTES];

	if (c->single && (needed || !is_stopping(c->front)) &&
	    ticket_issue(c->front->settings.ticket, c->organisation, c->rank,
			 text) == AZ_OK)
		MHD_add_response_header(r, HEADER_TICKET, text);
}

static void add_refusal_body(struct answer *a)
{
	const struct error_info *e = error_info(a->kind);

	buf_printf(&a->headers, "Content-Type: application/json\r\n");
	buf_printf(&a->body,
		   "{\"error\":\"%s\",\"outcome\":\"%s\",\"retryable\":%s}\n",
		   e->name, outcome_name(a->outcome),
		   e->retryable ? "true" : "false");
}

static enum MHD_Result send_answer(struct caller *c)
{
	struct answer *a = c->answer;
	const struct error_info *e = error_info(a->kind);
	struct MHD_Response *r;
	enum MHD_Result done;
	char trace[56];

	if (a->kind != ERR_NONE) {
		counter_add(c->front->refused, 1);
		log_write(e->level, "front", "refused error=%s outcome=%s %s",
			  e->name, outcome_name(a->outcome), c->uri);
		if (!a->body.len_bytes)
			add_refusal_body(a);
	} else {
		counter_add(c->front->answered, 1);
	}
	r = MHD_create_response_from_buffer(a->body.len_bytes, a->body.data,
					    MHD_RESPMEM_MUST_COPY);
	add_headers(r, &a->headers);
	MHD_add_response_header(r, HEADER_OUTCOME, outcome_name(a->outcome));
	if (a->kind != ERR_NONE)
		MHD_add_response_header(r, HEADER_ERROR, e->name);
	add_next_ticket(c, r);
	if (is_stopping(c->front))
		MHD_add_response_header(r, "Connection", "close");
	span_format(&c->span, trace);
	MHD_add_response_header(r, "traceparent", trace);
	done = MHD_queue_response(c->connection, a->http_status, r);
	MHD_destroy_response(r);
	span_end(&c->span, "entry", e->name);
	return done;
}

/* A refusal made here before the request was passed on. */
static enum MHD_Result refuse(struct caller *c, enum error_kind k)
{
	c->answer = answer_new(k);
	if (!refusal_proves_not_run(k, c->has_ticket))
		c->answer->outcome = OUTCOME_UNKNOWN;
	return send_answer(c);
}

static void caller_answer(struct reply_to *to, struct answer *a)
{
	struct caller *c = az_container_of(to, struct caller, reply);

	c->answer = a;
	__atomic_sub_fetch(&c->front->in_flight, 1, __ATOMIC_RELAXED);
	MHD_resume_connection(c->connection);
}

static const struct reply_ops caller_ops = { caller_answer };

/* ---- the daemon's own paths ---- */

static enum MHD_Result send_text(struct caller *c, uint32_t status,
				 const char *text)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result done = MHD_queue_response(c->connection, status, r);

	MHD_destroy_response(r);
	return done;
}

static enum MHD_Result health(struct caller *c)
{
	if (is_stopping(c->front))
		return send_text(c, MHD_HTTP_SERVICE_UNAVAILABLE, "stopping\n");
	if (!__atomic_load_n(&c->front->ready, __ATOMIC_ACQUIRE))
		return send_text(c, MHD_HTTP_SERVICE_UNAVAILABLE, "starting\n");
	return send_text(c, MHD_HTTP_OK, "ok\n");
}

static enum MHD_Result wait_for_answer(struct caller *c)
{
	__atomic_add_fetch(&c->front->in_flight, 1, __ATOMIC_RELAXED);
	MHD_suspend_connection(c->connection);
	return MHD_YES;
}

static enum MHD_Result ticket_status(struct caller *c, const char *text)
{
	struct ticket t;

	c->has_ticket = true;
	if (ticket_parse(text, &t) != AZ_OK)
		return refuse(c, ERR_TICKET_MALFORMED);
	wait_for_answer(c);
	ticket_submit(c->front->settings.ticket, &t, NULL,
		      clock_now_us() + 2 * US_PER_S, &c->reply);
	return MHD_YES;
}

/* ---- requests ---- */

/* NULL if the headers are too large. */
static struct request *new_request(struct caller *c, const char *method,
				   const struct classification *k)
{
	struct request *q =
		request_new(method, c->uri, k->route->service->name);
	struct header_copy headers = { NULL, false };

	q->organisation = k->organisation;
	q->rank = k->rank;
	q->idempotent = k->route->idempotent;
	q->deadline_us = k->deadline_us;
	q->span = c->span;
	q->body = c->body;
	memset(&c->body, 0, sizeof(c->body));
	headers.out = &q->headers;
	MHD_get_connection_values(c->connection, MHD_HEADER_KIND, copy_header,
				  &headers);
	if (!headers.too_large)
		return q;
	request_free(q);
	return NULL;
}

static bool within_limit(struct front *f, const struct classification *k,
			 int64_t now_us)
{
	const struct member_view *v;
	bool within;

	if (!k->requests_per_s)
		return true;
	v = membership_view(f->settings.membership);
	within = limiter_take(f->limiter, k->organisation, k->requests_per_s,
			      k->burst, v->member_count, now_us);
	member_view_release(v);
	return within;
}

static enum error_kind admit(struct caller *c, const struct classification *k,
			     int64_t now_us)
{
	struct front *f = c->front;

	if (k->way == FRONT_REFUSE || !k->route)
		return k->kind;
	if (!within_limit(f, k, now_us))
		return ERR_OVER_LIMIT;
	if (front_in_flight(f) >= f->settings.in_flight_max)
		return ERR_OVERLOADED;
	return ERR_NONE;
}

static enum MHD_Result pass_on(struct caller *c, const char *method,
			       const struct classification *k)
{
	struct front_settings *s = &c->front->settings;
	struct request *q = new_request(c, method, k);

	if (!q)
		return refuse(c, ERR_HEADERS_TOO_LARGE);
	/* The connection sleeps before the answer can arrive. */
	wait_for_answer(c);
	if (k->way == FRONT_TICKET)
		ticket_submit(s->ticket, &k->ticket, q, k->deadline_us,
			      &c->reply);
	else
		route_submit(s->route, q, k->deadline_us, &c->reply);
	return MHD_YES;
}

static enum MHD_Result request_whole(struct caller *c, const char *method)
{
	int64_t now_us = clock_now_us();
	struct caller_input in = {
		.method = method,
		.path = c->uri,
		.organisation = header(c, HEADER_ORGANISATION),
		.authorization = header(c, "Authorization"),
		.rank = header(c, HEADER_RANK),
		.deadline_ms = header(c, HEADER_DEADLINE),
		.ticket = header(c, HEADER_TICKET),
	};
	struct conf *conf = conf_current_get(c->front->settings.conf);
	struct classification k = classify(conf, &in, now_us);
	enum error_kind e = admit(c, &k, now_us);
	enum MHD_Result done;

	c->has_ticket = in.ticket != NULL;
	c->single = k.route && !k.route->idempotent && k.organisation;
	c->organisation = k.organisation;
	c->rank = k.rank;
	if (e == ERR_NONE && k.route)
		done = pass_on(c, method, &k);
	else
		done = refuse(c, e);
	conf_release(conf);
	return done;
}

static void begin(struct caller *c, struct MHD_Connection *connection)
{
	const char *length;

	c->begun = true;
	c->connection = connection;
	span_start(&c->span, header(c, "traceparent"));
	counter_add(c->front->requests, 1);
	length = header(c, "Content-Length");
	if (length && strtoull(length, NULL, 10) > REQUEST_BODY_MAX_BYTES)
		c->early = ERR_BODY_TOO_LARGE;
}

static void take_body(struct caller *c, const char *data, size_t n)
{
	if (c->body.len_bytes + n > REQUEST_BODY_MAX_BYTES)
		c->early = ERR_BODY_TOO_LARGE;
	if (c->early == ERR_NONE)
		buf_append(&c->body, data, (uint32_t)n);
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_bytes, void **con_cls)
{
	struct caller *c = *con_cls;

	(void)arg;
	(void)url;
	(void)version;
	if (!c->begun) {
		begin(c, connection);
		if (c->early == ERR_NONE)
			return MHD_YES;
		c->has_ticket = header(c, HEADER_TICKET) != NULL;
		return refuse(c, c->early);
	}
	if (*data_bytes) {
		take_body(c, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (c->answer)
		return send_answer(c);
	if (c->early != ERR_NONE) {
		c->has_ticket = header(c, HEADER_TICKET) != NULL;
		return refuse(c, c->early);
	}
	if (!strcmp(c->uri, HEALTH_PATH))
		return health(c);
	if (!strncmp(c->uri, TICKET_PATH, strlen(TICKET_PATH)) &&
	    !strcmp(method, "GET"))
		return ticket_status(c, c->uri + strlen(TICKET_PATH));
	return request_whole(c, method);
}

/* Called first: the raw path, as libmicrohttpd decodes it later. */
static void *on_uri(void *arg, const char *uri, struct MHD_Connection *con)
{
	struct caller *c = calloc(1, sizeof(*c));

	(void)con;
	if (!c)
		abort();
	c->reply.ops = &caller_ops;
	c->front = arg;
	c->uri = strdup(uri);
	if (!c->uri)
		abort();
	return c;
}

static void on_completed(void *arg, struct MHD_Connection *connection,
			 void **con_cls, enum MHD_RequestTerminationCode code)
{
	struct caller *c = *con_cls;

	(void)arg;
	(void)connection;
	(void)code;
	if (!c)
		return;
	answer_free(c->answer);
	buf_free(&c->body);
	free(c->uri);
	free(c);
	*con_cls = NULL;
}

/* ---- the duty ---- */

struct front *front_create(const struct front_settings *s, apr_pool_t *pool)
{
	struct front *f = apr_pcalloc(pool, sizeof(*f));

	f->settings = *s;
	f->limiter = limiter_create(LIMITER_BUCKETS);
	f->requests = counter_get("front_requests");
	f->refused = counter_get("front_refused");
	f->answered = counter_get("front_answered");
	return f;
}

enum az_status front_start(struct front *f)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons(f->settings.port),
		.sin_addr.s_addr = htonl(f->settings.ip),
	};

	f->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_ITC,
		f->settings.port, NULL, NULL, on_request, f,
		MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_URI_LOG_CALLBACK, on_uri,
		f, MHD_OPTION_NOTIFY_COMPLETED, on_completed, f,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!f->daemon)
		return az_fail(AZ_IO, "cannot listen on port %u: %s",
			       f->settings.port, strerror(errno));
	return AZ_OK;
}

void front_set_ready(struct front *f)
{
	__atomic_store_n(&f->ready, 1, __ATOMIC_RELEASE);
}

void front_set_stopping(struct front *f)
{
	__atomic_store_n(&f->stopping, 1, __ATOMIC_RELEASE);
}

void front_quiesce(struct front *f)
{
	MHD_socket listener = MHD_quiesce_daemon(f->daemon);

	if (listener != MHD_INVALID_SOCKET)
		close(listener);
}

uint32_t front_connections(struct front *f)
{
	const union MHD_DaemonInfo *i = MHD_get_daemon_info(
		f->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return i ? i->num_connections : 0;
}

void front_stop(struct front *f)
{
	if (f->daemon)
		MHD_stop_daemon(f->daemon);
	limiter_destroy(f->limiter);
}
