#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <apr_network_io.h>
#include <http_parser.h>
#include <jansson.h>

#include "fake/fake.h"

#define READ_BYTES 16384
#define RUN_ID_MAX_BYTES 128
#define PATH_MAX_BYTES 1024
#define LISTEN_BACKLOG 512
/* No more is read from a connection that has this much unparsed input. */
#define INPUT_MAX_BYTES (2U << 20)

/* A one-shot timer; the worker's list is sorted by time. */
struct alarm {
	struct alarm *next;
	int64_t at_us;
	void (*fire)(struct fake_worker *w, struct alarm *a);
};

struct listener {
	struct poll_handler handler;
	struct fake_worker *worker;
	bool control; /* the control port */
};

struct job;

/* The users' bounds: a daemon sends nothing this long after it was told that a
 * worker leaves, and at most two requests in a pause, once the pause has lasted
 * for PAUSE_BEGINS_US. Connections end with a refusal, so that the requests in
 * a pause are counted for all daemons: up to eight, each of which may also have
 * filled the slots before it was told. Those that are refused count, as a
 * daemon that has started since then was not told. */
#define LEAVING_MAX_US (2500 * US_PER_MS)
#define PAUSE_BEGINS_US (500 * US_PER_MS)
#define PAUSE_REQUESTS_MAX (8 * 8)

struct conn {
	struct poll_handler handler;
	struct conn *next;
	struct conn *prev;
	struct fake_worker *worker;
	apr_pool_t *pool;
	http_parser parser;
	struct buf input;
	struct buf output;
	uint32_t sent_bytes;
	uint32_t requests; /* so far, with the current one */
	bool control; /* of the control port */
	bool opening; /* connect_us has not passed */
	bool silent; /* never read or written again */
	bool complete; /* a complete request was parsed */
	bool close_after; /* close when `output` is written */
	bool closing; /* freed at the end of the current event */
	int64_t said_leaving_us; /* first answer that said so; 0: none */
	uint32_t late_requests; /* LEAVING_MAX_US after that */
	uint32_t retry_after_ms; /* for the next answer; 0: none */
	struct alarm alarm; /* end of `opening` */
	struct job *job; /* the request that waits for a slot or runs */
	/* The request that is being parsed: */
	char path[PATH_MAX_BYTES];
	char field[64]; /* name of the current header */
	bool in_value; /* the name is complete */
	char run_id[RUN_ID_MAX_BYTES];
	char deadline[24]; /* value of Azurehold-Deadline-Ms */
	uint32_t body_bytes;
};

/* A request that waits for a slot or runs. */
struct job {
	struct slot_item item;
	struct alarm alarm; /* end of the run, or of the delay of the answer */
	struct conn *conn; /* NULL once it is closed */
	bool probe; /* a GET of the health path; no run */
	struct fault_request fault_request;
	uint32_t run; /* number of the run of its run id */
	uint32_t body_bytes;
	bool keep_alive;
	char method[METHOD_MAX_BYTES];
	char run_id[RUN_ID_MAX_BYTES];
	char path[PATH_MAX_BYTES];
};

/* Since the start, in GET /counts under their own names. */
struct worker_counts {
	json_int_t connections; /* to the service port */
	json_int_t requests; /* without probes */
	json_int_t probes;
	json_int_t started; /* runs */
	json_int_t answered; /* with 200 and the whole body */
	json_int_t shed;
	json_int_t expired; /* the deadline passed before a slot was free */
	json_int_t cancelled; /* closed by the caller before a slot was free */
};

struct fake_worker {
	struct duty duty;
	struct fake_worker_settings settings;
	apr_pool_t *pool;
	struct listener service;
	struct listener control;
	struct conn *conns;
	struct alarm *alarms;
	struct slot_pool slots;
	struct run_table runs;
	struct fault fault;
	int64_t pause_from_us; /* the last pause that it asked for */
	int64_t pause_until_us;
	uint32_t pause_requests; /* in it */
	struct prng prng;
	struct worker_counts counts;
	int64_t start_us;
	int64_t load_us; /* when the load that GET /load reports was read: */
	uint32_t load_running;
	uint32_t load_waiting;
};

static void conn_parse_requests(struct conn *c);

/* ---- alarms ---- */

static void alarm_set(struct fake_worker *w, struct alarm *a, int64_t at_us)
{
	struct alarm **p = &w->alarms;

	a->at_us = at_us;
	while (*p && (*p)->at_us <= at_us)
		p = &(*p)->next;
	a->next = *p;
	*p = a;
	duty_arm(&w->duty, w->alarms->at_us);
}

static void alarm_clear(struct fake_worker *w, const struct alarm *a)
{
	for (struct alarm **p = &w->alarms; *p; p = &(*p)->next)
		if (*p == a) {
			*p = a->next;
			return;
		}
}

static void worker_on_timer(struct duty *d, int64_t now_us)
{
	struct fake_worker *w = az_container_of(d, struct fake_worker, duty);

	while (w->alarms && w->alarms->at_us <= now_us) {
		struct alarm *a = w->alarms;

		w->alarms = a->next;
		a->fire(w, a);
	}
	if (w->alarms)
		duty_arm(d, w->alarms->at_us);
}

/* ---- connections ---- */

static int16_t conn_events(const struct conn *c)
{
	int16_t e = 0;

	if (c->silent || c->opening)
		return 0;
	if (c->input.len_bytes < INPUT_MAX_BYTES && !c->close_after)
		e |= APR_POLLIN;
	if (c->sent_bytes < c->output.len_bytes)
		e |= APR_POLLOUT;
	return e;
}

/* The connection of the job is closed: a waiting job is freed; a running one
 * goes on and is not answered. */
static void job_disconnect(struct fake_worker *w, struct job *j)
{
	j->conn = NULL;
	if (!slot_pool_remove(&w->slots, &j->item))
		return; /* a running job is not interrupted */
	w->counts.cancelled++;
	free(j);
}

static void conn_free(struct conn *c)
{
	struct fake_worker *w = c->worker;

	duty_poll(&w->duty, &c->handler, 0);
	alarm_clear(w, &c->alarm);
	if (c->job)
		job_disconnect(w, c->job);
	if (c->prev)
		c->prev->next = c->next;
	else
		w->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	apr_socket_close(c->handler.sock);
	apr_pool_destroy(c->pool);
	buf_free(&c->input);
	buf_free(&c->output);
	free(c);
}

static void conn_write(struct conn *c)
{
	while (!c->silent && c->sent_bytes < c->output.len_bytes) {
		apr_size_t n = c->output.len_bytes - c->sent_bytes;
		apr_status_t rv = apr_socket_send(
			c->handler.sock, (char *)c->output.data + c->sent_bytes,
			&n);

		c->sent_bytes += (uint32_t)n;
		if (APR_STATUS_IS_EAGAIN(rv))
			return;
		if (rv != APR_SUCCESS) {
			c->closing = true;
			return;
		}
	}
	c->output.len_bytes = 0;
	c->sent_bytes = 0;
	if (c->close_after)
		c->closing = true;
}

/* Called at the end of each event: writes pending output, then frees the
 * connection or waits for the next event. */
static void conn_finish_event(struct conn *c)
{
	if (!c->closing)
		conn_write(c);
	if (c->closing)
		conn_free(c);
	else
		duty_poll(&c->worker->duty, &c->handler, conn_events(c));
}

static void conn_answer(struct conn *c, uint32_t status, bool keep_alive,
			const char *body, size_t body_bytes)
{
	bool draining = c->worker->fault.ops->draining && !c->control;

	if (draining && !c->said_leaving_us)
		c->said_leaving_us = c->worker->duty.now_us;
	buf_printf(&c->output,
		   "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		   "Content-Length: %zu\r\n%s%s",
		   status, http_status_str((enum http_status)status),
		   body_bytes, draining ? "Azurehold-Draining: yes\r\n" : "",
		   keep_alive ? "" : "Connection: close\r\n");
	if (c->retry_after_ms)
		buf_printf(&c->output, "Retry-After: %.3f\r\n",
			   c->retry_after_ms / 1000.0);
	c->retry_after_ms = 0;
	buf_append(&c->output, "\r\n", 2);
	buf_append(&c->output, body, (uint32_t)body_bytes);
	if (!keep_alive)
		c->close_after = true;
}

static void answer_json(struct conn *c, uint32_t status, bool keep_alive,
			json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	conn_answer(c, status, keep_alive, text, strlen(text));
	free(text);
	json_decref(j);
}

/* ---- jobs ---- */

static char *job_body(const struct fake_worker *w, const struct job *j)
{
	json_t *o = json_pack("{s:s, s:s, s:i, s:s, s:s, s:i}", "worker",
			      w->settings.name, "run_id", j->run_id, "run",
			      (int)j->run, "method", j->method, "path", j->path,
			      "body_bytes", (int)j->body_bytes);
	char *text;

	if (w->settings.answer_bytes) {
		char *pad = malloc(w->settings.answer_bytes);

		memset(pad, 'x', w->settings.answer_bytes);
		json_object_set_new(
			o, "padding",
			json_stringn(pad, w->settings.answer_bytes));
		free(pad);
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Answers a job with the action of the fault, frees it, and parses the next
 * request of its connection. */
static void job_answer(struct fake_worker *w, struct job *j,
		       enum fault_action a)
{
	struct conn *c = j->conn;
	char *body;
	size_t len;

	if (!c) {
		free(j);
		return;
	}
	c->job = NULL;
	body = job_body(w, j);
	len = strlen(body);
	switch (a) {
	case FAULT_SILENT:
		c->silent = true;
		break;
	case FAULT_CLOSE:
		c->closing = true;
		break;
	case FAULT_ERROR:
		conn_answer(c, 500, j->keep_alive, body, len);
		break;
	case FAULT_TRUNCATE:
		conn_answer(c, 200, true, body, len);
		c->output.len_bytes -= (uint32_t)(len - len / 2);
		c->close_after = true;
		break;
	default:
		conn_answer(c, 200, j->keep_alive, body, len);
		w->counts.answered++;
	}
	free(body);
	free(j);
	conn_parse_requests(c);
	conn_finish_event(c);
}

static void on_delay_passed(struct fake_worker *w, struct alarm *a)
{
	job_answer(w, az_container_of(a, struct job, alarm), FAULT_PASS);
}

/* Answers a job that holds no slot (any more) with a status and a JSON body,
 * and frees it. */
static void job_answer_json(struct job *j, uint32_t status, json_t *body)
{
	struct conn *c = j->conn;

	if (c) {
		c->job = NULL;
		answer_json(c, status, j->keep_alive, body);
		conn_parse_requests(c);
		conn_finish_event(c);
	} else {
		json_decref(body);
	}
	free(j);
}

static bool is_healthy(const struct fake_worker *w)
{
	return fault_health_ok(&w->fault, w->settings.health_lag_us,
			       w->duty.now_us);
}

static void start_waiting_jobs(struct fake_worker *w);

static void on_service_done(struct fake_worker *w, struct alarm *al)
{
	struct job *j = az_container_of(al, struct job, alarm);
	bool ok = is_healthy(w);
	enum fault_action a = FAULT_PASS;

	slot_pool_leave(&w->slots);
	/* Probes are affected only after the health lag. */
	if (!j->probe || !ok)
		a = fault_on_answer(&w->fault, &j->fault_request,
				    w->duty.now_us);
	if (j->probe && (a == FAULT_PASS || a == FAULT_ERROR)) {
		job_answer_json(
			j, ok ? 200 : 503,
			json_pack("{s:s}", "health", ok ? "ok" : "bad"));
	} else if (a == FAULT_DELAY) {
		j->alarm.fire = on_delay_passed;
		alarm_set(w, &j->alarm,
			  w->duty.now_us + w->fault.late_ms * US_PER_MS);
	} else {
		job_answer(w, j, a);
	}
	start_waiting_jobs(w);
}

static void job_start(struct fake_worker *w, struct job *j)
{
	int64_t us = w->settings.probe_us;

	if (!j->probe) {
		us = service_time_sample(&w->settings.service, &w->prng,
					 w->duty.now_us - w->start_us);
		w->counts.started++;
		if (*j->run_id) {
			j->run = run_table_add(&w->runs, j->run_id);
			if (w->settings.run_log)
				fprintf(w->settings.run_log, "%s\n", j->run_id);
		}
	}
	us = fault_service_us(&w->fault, us, w->duty.now_us);
	j->alarm.fire = on_service_done;
	alarm_set(w, &j->alarm, w->duty.now_us + us);
}

static void start_waiting_jobs(struct fake_worker *w)
{
	struct slot_item *expired = NULL;
	struct slot_item *i;

	while ((i = slot_pool_next(&w->slots, w->duty.now_us, &expired)))
		job_start(w, az_container_of(i, struct job, item));
	while (expired) {
		i = expired;
		expired = i->next;
		w->counts.expired++;
		job_answer_json(az_container_of(i, struct job, item), 504,
				json_pack("{s:s}", "error", "deadline passed"));
	}
}

/* Answers GET /load; the figures are read anew once they are `health_lag_us`
 * old.
 */
static void answer_load(struct conn *c)
{
	struct fake_worker *w = c->worker;

	if (w->duty.now_us - w->load_us >= w->settings.health_lag_us) {
		w->load_us = w->duty.now_us;
		w->load_running = w->slots.running;
		w->load_waiting = w->slots.waiting;
	}
	answer_json(c, 200, http_should_keep_alive(&c->parser),
		    json_pack("{s:i, s:i, s:i}", "slots", (int)w->slots.slots,
			      "running", (int)w->load_running, "waiting",
			      (int)w->load_waiting));
}

static void count_violation(struct fake_worker *w, const char *id)
{
	run_table_add(&w->runs, id);
	if (w->settings.run_log)
		fprintf(w->settings.run_log, "%s\n", id);
}

static void ask_for_pause(struct conn *c)
{
	struct fake_worker *w = c->worker;

	c->retry_after_ms = (uint32_t)w->fault.late_ms;
	if (w->duty.now_us < w->pause_until_us) {
		if (w->duty.now_us > w->pause_from_us &&
		    w->pause_requests++ >= PAUSE_REQUESTS_MAX)
			count_violation(w, RUN_IN_PAUSE);
		return;
	}
	w->pause_from_us = w->duty.now_us + PAUSE_BEGINS_US;
	w->pause_until_us = w->duty.now_us + w->fault.late_ms * US_PER_MS;
	w->pause_requests = 0;
}

static void job_shed(struct conn *c, struct job *j)
{
	c->worker->counts.shed++;
	if (c->worker->fault.ops->names_pause)
		ask_for_pause(c);
	answer_json(c, 503, j->keep_alive,
		    json_pack("{s:s}", "error", "overloaded"));
	free(j);
}

static struct job *job_new(struct conn *c)
{
	struct job *j = calloc(1, sizeof(*j));
	struct fake_worker *w = c->worker;

	if (!j)
		abort();
	j->conn = c;
	j->fault_request.post = c->parser.method == HTTP_POST;
	j->fault_request.reused = c->requests > 1;
	j->body_bytes = c->body_bytes;
	j->keep_alive = http_should_keep_alive(&c->parser);
	snprintf(j->method, sizeof(j->method), "%s",
		 http_method_str(c->parser.method));
	strcpy(j->run_id, c->run_id);
	strcpy(j->path, c->path);
	j->probe = c->parser.method == HTTP_GET &&
		   !strcmp(c->path, w->settings.health_path);
	j->item.deadline_us = INT64_MAX;
	/* The remainder keeps the product from an overflow. */
	if (*c->deadline)
		j->item.deadline_us =
			w->duty.now_us +
			strtol(c->deadline, NULL, 10) % 1000000000 * US_PER_MS;
	return j;
}

/* A request that the daemon sent before it read the answer may still arrive
 * after the bound, if the daemon was stopped for that long. */
static void check_notices(struct conn *c)
{
	struct fake_worker *w = c->worker;
	int64_t now_us = w->duty.now_us;

	if (c->said_leaving_us &&
	    now_us > c->said_leaving_us + LEAVING_MAX_US &&
	    c->late_requests++ >= 1)
		count_violation(w, RUN_AFTER_LEAVING);
}

static void serve_request(struct conn *c)
{
	struct fake_worker *w = c->worker;
	struct job *j;
	enum fault_action a = FAULT_PASS;

	if (c->parser.method == HTTP_GET && !strcmp(c->path, "/load")) {
		answer_load(c);
		return;
	}
	j = job_new(c);
	if (j->probe) {
		w->counts.probes++;
	} else {
		w->counts.requests++;
		check_notices(c);
	}
	if (!j->probe || !is_healthy(w))
		a = fault_on_request(&w->fault, &j->fault_request,
				     w->duty.now_us);
	if (a == FAULT_SILENT) {
		c->silent = true;
		free(j);
		return;
	}
	if (a == FAULT_SHED) {
		job_shed(c, j);
		return;
	}
	switch (slot_pool_enter(&w->slots, &j->item)) {
	case AZ_OK:
		c->job = j;
		job_start(w, j);
		break;
	case AZ_AGAIN:
		c->job = j;
		break;
	default:
		job_shed(c, j);
	}
}

/* ---- control port ---- */

static json_t *runs_json(const struct fake_worker *w, bool ids)
{
	json_t *o = json_pack("{s:s, s:i, s:i}", "worker", w->settings.name,
			      "ids", (int)apr_hash_count(w->runs.counts),
			      "repeated", (int)w->runs.repeated);
	json_t *list;

	if (!ids)
		return o;
	list = json_object();
	for (apr_hash_index_t *i = apr_hash_first(NULL, w->runs.counts); i;
	     i = apr_hash_next(i)) {
		const uint32_t *n = apr_hash_this_val(i);

		json_object_set_new(list, apr_hash_this_key(i),
				    json_integer(*n));
	}
	json_object_set_new(o, "runs", list);
	return o;
}

static json_t *counts_json(const struct fake_worker *w)
{
	const struct worker_counts *n = &w->counts;

	return json_pack(
		"{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i}",
		"worker", w->settings.name, "fault", w->fault.ops->name,
		"connections", n->connections, "requests", n->requests,
		"probes", n->probes, "started", n->started, "answered",
		n->answered, "shed", n->shed, "expired", n->expired,
		"cancelled", n->cancelled, "running", (int)w->slots.running,
		"waiting", (int)w->slots.waiting);
}

/* Stops or resumes accepting connections, and silences the open ones, as the
 * new fault requires. */
static void apply_fault(struct fake_worker *w)
{
	const struct fault_ops *f = w->fault.ops;

	log_write(LOG_INFO, "worker", "fault=%s", f->name);
	duty_poll(&w->duty, &w->service.handler,
		  f->refuses_connections ? 0 : APR_POLLIN);
	if (!f->silences_connections)
		return;
	for (struct conn *c = w->conns; c; c = c->next)
		if (!c->control) {
			c->silent = true;
			duty_poll(&w->duty, &c->handler, 0);
		}
}

/* GET /runs (with ?ids=1 the runs of each id), GET /counts, and POST /fault
 * with the query of fault_parse(). */
static void serve_control(struct conn *c)
{
	struct fake_worker *w = c->worker;
	bool post = c->parser.method == HTTP_POST;
	bool keep = http_should_keep_alive(&c->parser);
	char *query = strchr(c->path, '?');

	if (query)
		*query++ = 0;
	if (!post && !strcmp(c->path, "/runs")) {
		answer_json(c, 200, keep,
			    runs_json(w, query && !strcmp(query, "ids=1")));
	} else if (!post && !strcmp(c->path, "/counts")) {
		answer_json(c, 200, keep, counts_json(w));
	} else if (!post || strcmp(c->path, "/fault")) {
		answer_json(c, 404, keep,
			    json_pack("{s:s}", "error", "not found"));
	} else if (fault_parse(&w->fault, query ? query : "", w->duty.now_us) !=
		   AZ_OK) {
		answer_json(c, 400, keep,
			    json_pack("{s:s}", "error", az_last_message()));
	} else {
		apply_fault(w);
		answer_json(c, 200, keep,
			    json_pack("{s:s}", "fault", w->fault.ops->name));
	}
}

/* ---- parsing of requests ---- */

static int on_begin(http_parser *p)
{
	struct conn *c = p->data;

	*c->path = *c->field = *c->run_id = *c->deadline = 0;
	c->in_value = false;
	c->body_bytes = 0;
	return 0;
}

/* Appends `n` bytes to a string; drops what exceeds its `size`. */
static void append_text(char *to, size_t size, const char *at, size_t n)
{
	size_t len = strlen(to);

	if (n > size - len - 1)
		n = size - len - 1;
	memcpy(to + len, at, n);
	to[len + n] = 0;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	append_text(c->path, sizeof(c->path), at, n);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (c->in_value)
		*c->field = 0;
	c->in_value = false;
	append_text(c->field, sizeof(c->field), at, n);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->in_value = true;
	if (!strcasecmp(c->field, "Azurehold-Run-Id"))
		append_text(c->run_id, sizeof(c->run_id), at, n);
	else if (!strcasecmp(c->field, "Azurehold-Deadline-Ms"))
		append_text(c->deadline, sizeof(c->deadline), at, n);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->body_bytes += (uint32_t)n;
	return 0;
}

static int on_complete(http_parser *p)
{
	struct conn *c = p->data;

	c->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Parses the input and serves complete requests, one after the other. */
static void conn_parse_requests(struct conn *c)
{
	while (c->input.len_bytes && !c->job && !c->silent && !c->opening &&
	       !c->close_after && !c->closing) {
		size_t n;

		http_parser_pause(&c->parser, 0);
		n = http_parser_execute(&c->parser, &callbacks,
					(char *)c->input.data,
					c->input.len_bytes);
		if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK &&
		    HTTP_PARSER_ERRNO(&c->parser) != HPE_PAUSED) {
			c->closing = true;
			return;
		}
		memmove(c->input.data, c->input.data + n,
			c->input.len_bytes - n);
		c->input.len_bytes -= (uint32_t)n;
		if (!c->complete)
			return;
		c->complete = false;
		c->requests++;
		if (c->control)
			serve_control(c);
		else
			serve_request(c);
	}
}

static void conn_read(struct conn *c)
{
	char data[READ_BYTES];

	while (c->input.len_bytes < INPUT_MAX_BYTES) {
		apr_size_t n = sizeof(data);
		apr_status_t rv = apr_socket_recv(c->handler.sock, data, &n);

		if (n)
			buf_append(&c->input, data, (uint32_t)n);
		if (APR_STATUS_IS_EAGAIN(rv))
			return;
		if (rv != APR_SUCCESS) {
			c->closing = true;
			return;
		}
	}
}

static void conn_ready(struct poll_handler *h, int16_t events)
{
	struct conn *c = az_container_of(h, struct conn, handler);

	if (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
		conn_read(c);
	conn_parse_requests(c);
	conn_finish_event(c);
}

static const struct poll_ops conn_ops = { conn_ready };

static void conn_opened(struct fake_worker *w, struct alarm *a)
{
	struct conn *c = az_container_of(a, struct conn, alarm);

	c->opening = false;
	conn_finish_event(c);
}

static void conn_new(struct listener *l, apr_socket_t *sock, apr_pool_t *pool)
{
	struct fake_worker *w = l->worker;
	struct conn *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	apr_socket_opt_set(sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(sock, 0);
	apr_socket_opt_set(sock, APR_TCP_NODELAY, 1);
	c->handler.ops = &conn_ops;
	c->handler.sock = sock;
	c->worker = w;
	c->pool = pool;
	c->control = l->control;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	c->next = w->conns;
	if (w->conns)
		w->conns->prev = c;
	w->conns = c;
	if (!l->control) {
		w->counts.connections++;
		c->opening = w->settings.connect_us > 0;
	}
	if (c->opening) {
		c->alarm.fire = conn_opened;
		alarm_set(w, &c->alarm,
			  w->duty.now_us + w->settings.connect_us);
	}
	conn_finish_event(c);
}

static void listener_ready(struct poll_handler *h, int16_t events)
{
	struct listener *l = az_container_of(h, struct listener, handler);
	apr_socket_t *sock;
	apr_pool_t *pool;

	for (;;) {
		apr_pool_create_unmanaged_ex(&pool, NULL, NULL);
		if (apr_socket_accept(&sock, h->sock, pool) != APR_SUCCESS)
			break;
		conn_new(l, sock, pool);
	}
	apr_pool_destroy(pool);
}

static const struct poll_ops listener_ops = { listener_ready };

static enum az_status listener_open(struct fake_worker *w, struct listener *l,
				    const char *address, bool control)
{
	apr_sockaddr_t *sa;
	char *host;
	char *scope;
	apr_port_t port;

	if (apr_parse_addr_port(&host, &scope, &port, address, w->pool) !=
		    APR_SUCCESS ||
	    !host || !port)
		return az_fail(AZ_INVALID, "'%s' is not IP:PORT", address);
	if (apr_sockaddr_info_get(&sa, host, APR_INET, port, 0, w->pool) !=
		    APR_SUCCESS ||
	    apr_socket_create(&l->handler.sock, APR_INET, SOCK_STREAM,
			      APR_PROTO_TCP, w->pool) != APR_SUCCESS)
		return az_fail(AZ_INVALID, "bad address '%s'", address);
	apr_socket_opt_set(l->handler.sock, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(l->handler.sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(l->handler.sock, 0);
	if (apr_socket_bind(l->handler.sock, sa) != APR_SUCCESS ||
	    apr_socket_listen(l->handler.sock, LISTEN_BACKLOG) != APR_SUCCESS)
		return az_fail(AZ_IO, "cannot listen on %s", address);
	l->handler.ops = &listener_ops;
	l->worker = w;
	l->control = control;
	return duty_poll(&w->duty, &l->handler, APR_POLLIN);
}

static void worker_on_stop(struct duty *d)
{
	struct fake_worker *w = az_container_of(d, struct fake_worker, duty);

	for (struct conn *c = w->conns, *next; c; c = next) {
		next = c->next;
		conn_free(c);
	}
}

static const struct duty_ops worker_ops = { "worker", worker_on_timer,
					    worker_on_stop };

struct fake_worker *fake_worker_create(const struct fake_worker_settings *s,
				       struct timer_service *timers,
				       apr_pool_t *pool)
{
	struct fake_worker *w = apr_pcalloc(pool, sizeof(*w));

	w->settings = *s;
	w->pool = pool;
	w->slots.slots = s->slots;
	w->slots.backlog = s->backlog;
	w->slots.shedding = s->shedding;
	run_table_init(&w->runs, pool);
	/* Another seed, so that faults do not depend on service times. */
	fault_init(&w->fault, s->seed + 1);
	prng_seed(&w->prng, s->seed);
	if (duty_init(&w->duty, &worker_ops, 16, timers) != AZ_OK)
		return NULL;
	w->start_us = w->duty.now_us;
	/* Makes the first GET /load read the figures. */
	w->load_us = -s->health_lag_us;
	if (listener_open(w, &w->service, s->listen, false) != AZ_OK)
		return NULL;
	if (s->control &&
	    listener_open(w, &w->control, s->control, true) != AZ_OK)
		return NULL;
	return w;
}

enum az_status fake_worker_start(struct fake_worker *w)
{
	return duty_start(&w->duty);
}

void fake_worker_stop(struct fake_worker *w)
{
	duty_stop(&w->duty);
}
