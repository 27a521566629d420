#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include <microhttpd.h>

#include "fake/fake.h"

#define RING_SLOTS 8192 /* calls that wait for the duty */
/* Longest wait of a watch, and longest delay of the mode slow. */
#define WATCH_MAX_MS 300000
#define VM_CHANGES_MAX 1024 /* changes that are not visible yet */

/* One HTTP port of the store. */
struct port {
	struct fake_store *store;
	struct MHD_Daemon *http_server;
	bool control; /* serves /control/; otherwise the API */
};

enum call_state {
	CALL_NEW, /* not delayed by a fault yet */
	CALL_READY, /* delayed by the fault slow; served when that has passed */
	CALL_WATCH, /* waits for a change or for its time limit */
	CALL_HELD_WRITE, /* waits until the fault is changed */
	CALL_HELD_REPLY, /* has taken effect; its connection is closed without
			    an answer when the fault is changed */
};

/* An HTTP request: a message to the duty, and its answer. */
struct call {
	struct msg msg;
	struct call *next; /* in the duty's list of pending calls */
	struct fake_store *store;
	struct MHD_Connection *connection;
	bool control; /* came in at the control port */
	bool submitted; /* was sent to the duty */
	bool too_large; /* the body is above OBJECT_MAX_BYTES */
	char method[METHOD_MAX_BYTES];
	char path[OBJECT_KEY_MAX_BYTES + 32];
	struct condition condition;
	enum az_status condition_status; /* of condition_parse() */
	/* Arguments of the query, under their own names: */
	char prefix[OBJECT_KEY_MAX_BYTES];
	uint64_t after; /* revision */
	int64_t wait_ms; /* of a watch */
	bool has_known_revision; /* from If-None-Match, for the VM list */
	uint64_t known_revision;
	char mode[32]; /* mode, ms and count: of store_fault_set() */
	int64_t ms;
	uint32_t count;
	struct buf body;
	/* Used by the duty: */
	enum call_state state;
	int64_t at_us; /* when a pending call is served */
	/* The answer: */
	uint32_t status; /* 0: close the connection without an answer */
	uint64_t version; /* 0: no Object-Version header */
	struct buf answer;
};

struct vm_change {
	int64_t at_us; /* when the list becomes visible */
	json_t *list; /* replaces the whole list */
};

enum call_kind {
	KIND_GET,
	KIND_PUT,
	KIND_DELETE,
	KIND_LIST,
	KIND_WATCH,
	KIND_VMS,
	KIND_COUNT, /* number of kinds; also: not a call of the API */
};

static const char *const kind_names[] = { "get",  "put",   "delete",
					  "list", "watch", "vms" };

struct fake_store {
	struct duty duty;
	struct fake_store_settings settings;
	struct objects live;
	struct objects snapshot; /* copy of `live` for the mode old-copy */
	struct store_fault fault;
	struct call *pending;
	uint64_t counts[KIND_COUNT]; /* calls by kind */
	struct vm_change vm_changes[VM_CHANGES_MAX]; /* oldest first */
	uint32_t vm_change_count;
	uint64_t vm_revision; /* of vm_list */
	json_t *vm_list; /* visible */
	struct port service; /* the API */
	struct port control;
};

/* ---- answers (in the thread of the duty) ---- */

/* Sets the status and lets call_respond() answer; with the status 0 it closes
 * the connection. */
static void call_finish(struct call *c, uint32_t status)
{
	struct MHD_Connection *connection = c->connection;

	c->status = status;
	MHD_resume_connection(connection);
}

static void call_json(struct call *c, uint32_t status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	buf_append(&c->answer, text, (uint32_t)strlen(text));
	free(text);
	json_decref(j);
	call_finish(c, status);
}

static void call_error(struct call *c, uint32_t status, const char *reason)
{
	call_json(c, status, json_pack("{s:s}", "error", reason));
}

static uint32_t http_status_of(enum az_status s)
{
	switch (s) {
	case AZ_OK:
		return 200;
	case AZ_CONFLICT:
		return 412;
	case AZ_NOT_FOUND:
		return 404;
	case AZ_FULL:
		return 413;
	default:
		return 400;
	}
}

/* Answers a write or a deletion. */
static void answer_write(struct call *c, enum az_status s)
{
	if (s == AZ_OK)
		call_json(
			c, 200,
			json_pack("{s:I}", "version", (json_int_t)c->version));
	else
		call_error(c, http_status_of(s), az_last_message());
}

/* ---- objects ---- */

/* The snapshot in the mode old-copy, else the live objects. */
static struct objects *served_objects(struct fake_store *s)
{
	return s->fault.ops->action == store_old_copy ? &s->snapshot : &s->live;
}

/* List of the objects that objects_next_changed() returns; `deletions` adds
 * tombstones and a field that marks them. */
static json_t *object_list_json(const struct objects *o, const char *prefix,
				uint64_t after, bool deletions)
{
	json_t *list = json_array();
	const struct object *x;
	uint32_t from = 0;

	while ((x = objects_next_changed(o, prefix, after, &from))) {
		json_t *j;

		if (x->deleted && !deletions)
			continue;
		j = json_pack("{s:s, s:I}", "key", x->key, "version",
			      (json_int_t)x->version);
		if (deletions)
			json_object_set_new(j, "deleted",
					    json_boolean(x->deleted));
		json_array_append_new(list, j);
	}
	return list;
}

static void answer_watch(struct fake_store *s, struct call *c)
{
	const struct objects *o = served_objects(s);

	call_json(c, 200,
		  json_pack("{s:I, s:o}", "revision", (json_int_t)o->revision,
			    "changed",
			    object_list_json(o, c->prefix, c->after, true)));
}

/* Sets the duty's timer to the first time at which a pending call is due. */
static void arm_timer(struct fake_store *s)
{
	int64_t at_us = INT64_MAX;

	for (struct call *c = s->pending; c; c = c->next)
		if (c->at_us < at_us)
			at_us = c->at_us;
	if (at_us != INT64_MAX)
		duty_arm(&s->duty, at_us);
}

/* Makes the call pending until `at_us`. */
static void call_wait(struct fake_store *s, struct call *c,
		      enum call_state state, int64_t at_us)
{
	c->state = state;
	c->at_us = at_us;
	c->next = s->pending;
	s->pending = c;
	arm_timer(s);
}

/* Answers the pending watches that have a change to report. */
static void answer_ready_watches(struct fake_store *s)
{
	struct call **p = &s->pending;

	while (*p) {
		struct call *c = *p;

		if (c->state != CALL_WATCH ||
		    !objects_watch_ready(served_objects(s), c->prefix,
					 c->after)) {
			p = &c->next;
			continue;
		}
		*p = c->next;
		answer_watch(s, c);
	}
}

static void serve(struct fake_store *s, struct call *c);

/* After a change of the fault: serves held writes, and closes the connections
 * of held replies. */
static void release_held(struct fake_store *s)
{
	struct call **p = &s->pending;
	struct call *held = NULL;

	while (*p) {
		struct call *c = *p;

		if (c->state != CALL_HELD_REPLY &&
		    c->state != CALL_HELD_WRITE) {
			p = &c->next;
			continue;
		}
		*p = c->next;
		c->next = held;
		held = c;
	}
	while (held) {
		struct call *c = held;

		held = c->next;
		if (c->state == CALL_HELD_WRITE)
			serve(s, c);
		else
			call_finish(c, 0);
	}
}

/* Closes the connections of all pending calls without an answer. */
static void close_pending_calls(struct fake_store *s)
{
	while (s->pending) {
		struct call *c = s->pending;

		s->pending = c->next;
		call_finish(c, 0);
	}
}

static void serve_get(struct fake_store *s, struct call *c, const char *key)
{
	const struct object *x = objects_get(served_objects(s), key);

	if (!x) {
		call_error(c, 404, "no such object");
		return;
	}
	c->version = x->version;
	buf_append(&c->answer, x->value.data, x->value.len_bytes);
	call_finish(c, 200);
}

static void serve_write(struct fake_store *s, struct call *c, const char *key,
			enum store_action a)
{
	enum az_status st = c->condition_status;

	if (st != AZ_OK) {
		az_fail(st, "bad If-Match or If-None-Match");
	} else if (c->too_large) {
		st = az_fail(AZ_FULL, "value is above 1 MB");
	} else if (!strcmp(c->method, "PUT")) {
		st = objects_put(served_objects(s), key, &c->condition,
				 c->body.data, c->body.len_bytes, &c->version);
	} else {
		st = objects_delete(served_objects(s), key, &c->condition,
				    &c->version);
	}
	if (a == STORE_LOSE_REPLY)
		call_finish(c, 0);
	else if (a == STORE_HOLD_REPLY)
		call_wait(s, c, CALL_HELD_REPLY, INT64_MAX);
	else
		answer_write(c, st);
	if (st == AZ_OK)
		answer_ready_watches(s);
}

static void serve_vms(struct fake_store *s, struct call *c)
{
	uint32_t due = 0;

	while (due < s->vm_change_count &&
	       s->vm_changes[due].at_us <= s->duty.now_us) {
		json_decref(s->vm_list);
		s->vm_list = s->vm_changes[due++].list;
		s->vm_revision++;
	}
	s->vm_change_count -= due;
	memmove(s->vm_changes, s->vm_changes + due,
		s->vm_change_count * sizeof(*s->vm_changes));
	if (c->has_known_revision && c->known_revision == s->vm_revision) {
		call_finish(c, 304);
		return;
	}
	call_json(c, 200,
		  json_pack("{s:I, s:O}", "revision",
			    (json_int_t)s->vm_revision, "vms", s->vm_list));
}

/* KIND_COUNT if the path or the method is none of the API. */
static enum call_kind call_kind_of(const struct call *c)
{
	if (!strcmp(c->path, "/v1/watch"))
		return KIND_WATCH;
	if (!strcmp(c->path, "/v1/objects"))
		return KIND_LIST;
	if (!strcmp(c->path, "/v1/vms"))
		return KIND_VMS;
	if (!strncmp(c->path, "/v1/objects/", 12)) {
		if (!strcmp(c->method, "GET"))
			return KIND_GET;
		if (!strcmp(c->method, "PUT"))
			return KIND_PUT;
		if (!strcmp(c->method, "DELETE"))
			return KIND_DELETE;
	}
	return KIND_COUNT;
}

static void serve_object_call(struct fake_store *s, struct call *c,
			      enum call_kind k)
{
	const char *key = c->path + strlen("/v1/objects/");
	enum store_action a;

	a = s->fault.ops->action(&s->fault, k == KIND_PUT || k == KIND_DELETE);
	if (a == STORE_DOWN) {
		call_finish(c, 0);
		return;
	}
	if (a == STORE_HOLD_WRITE) {
		call_wait(s, c, CALL_HELD_WRITE, INT64_MAX);
		return;
	}
	switch (k) {
	case KIND_GET:
		serve_get(s, c, key);
		break;
	case KIND_LIST:
		call_json(c, 200,
			  json_pack("{s:I, s:o}", "revision",
				    (json_int_t)served_objects(s)->revision,
				    "objects",
				    object_list_json(served_objects(s),
						     c->prefix, 0, false)));
		break;
	case KIND_WATCH:
		if (objects_watch_ready(served_objects(s), c->prefix, c->after))
			answer_watch(s, c);
		else
			call_wait(s, c, CALL_WATCH,
				  s->duty.now_us + c->wait_ms * US_PER_MS);
		break;
	default:
		serve_write(s, c, key, a);
	}
}

static void serve(struct fake_store *s, struct call *c)
{
	enum call_kind k = call_kind_of(c);

	if (k == KIND_COUNT) {
		call_error(c, 404, "not found");
		return;
	}
	if (c->state == CALL_NEW)
		s->counts[k]++;
	if (k == KIND_VMS)
		serve_vms(s, c);
	else if (c->state == CALL_NEW && s->fault.delay_us)
		call_wait(s, c, CALL_READY, s->duty.now_us + s->fault.delay_us);
	else
		serve_object_call(s, c, k);
}

static void store_on_timer(struct duty *d, int64_t now_us)
{
	struct fake_store *s = az_container_of(d, struct fake_store, duty);
	struct call *due = NULL;
	struct call **p = &s->pending;

	while (*p) {
		struct call *c = *p;

		if (c->at_us > now_us) {
			p = &c->next;
			continue;
		}
		*p = c->next;
		c->next = due;
		due = c;
	}
	while (due) {
		struct call *c = due;

		due = c->next;
		if (c->state == CALL_WATCH)
			answer_watch(s, c);
		else
			serve(s, c);
	}
	arm_timer(s);
}

/* ---- control port ---- */

static void control_counts(const struct fake_store *s, struct call *c)
{
	json_t *o = json_pack("{s:s, s:I}", "fault", s->fault.ops->name,
			      "revision", (json_int_t)s->live.revision);

	for (uint32_t i = 0; i < KIND_COUNT; i++)
		json_object_set_new(o, kind_names[i],
				    json_integer((json_int_t)s->counts[i]));
	call_json(c, 200, o);
}

static bool vm_is_valid(json_t *vm)
{
	const char *name;
	const char *ip;
	const char *state;

	return !json_unpack(vm, "{s:s, s:s, s:s}", "name", &name, "ip", &ip,
			    "state", &state) &&
	       (!strcmp(state, "live") || !strcmp(state, "leaving"));
}

/* Accepts a new VM list, which becomes visible after `vm_lag_us`. */
static void control_vms(struct fake_store *s, struct call *c)
{
	json_t *list =
		json_loadb((char *)c->body.data, c->body.len_bytes, 0, NULL);
	json_t *vm;
	size_t i;

	if (!json_is_array(list)) {
		json_decref(list);
		call_error(c, 400, "body is not a JSON list");
		return;
	}
	json_array_foreach(list, i, vm) if (!vm_is_valid(vm))
	{
		json_decref(list);
		call_error(c, 400,
			   "a VM needs name, ip and state (live or "
			   "leaving)");
		return;
	}
	if (s->vm_change_count == VM_CHANGES_MAX) {
		json_decref(list);
		call_error(
			c, 503,
			"too many changes of the VM list are not visible yet");
		return;
	}
	s->vm_changes[s->vm_change_count].at_us =
		s->duty.now_us + s->settings.vm_lag_us;
	s->vm_changes[s->vm_change_count++].list = list;
	call_json(c, 200,
		  json_pack("{s:i}", "vms", (int)json_array_size(list)));
}

static void control_fault(struct fake_store *s, struct call *c)
{
	bool was_old_copy = s->fault.ops->action == store_old_copy;

	if (store_fault_set(&s->fault, c->mode, c->ms, c->count) != AZ_OK) {
		call_error(c, 400, az_last_message());
		return;
	}
	log_write(LOG_INFO, "store", "fault=%s", s->fault.ops->name);
	release_held(s);
	/* A change to or from old-copy simulates the restore of a backup, which
	 * restarts the store and closes its connections. */
	if (s->fault.ops->action == store_down ||
	    (s->fault.ops->action == store_old_copy) != was_old_copy)
		close_pending_calls(s);
	else
		answer_ready_watches(s);
	call_json(c, 200, json_pack("{s:s}", "fault", s->fault.ops->name));
}

static void control_reset(struct fake_store *s, struct call *c)
{
	close_pending_calls(s);
	objects_free(&s->live);
	objects_free(&s->snapshot);
	store_fault_set(&s->fault, "none", 0, 0);
	memset(s->counts, 0, sizeof(s->counts));
	while (s->vm_change_count)
		json_decref(s->vm_changes[--s->vm_change_count].list);
	s->vm_revision = 0;
	json_array_clear(s->vm_list);
	call_json(c, 200, json_pack("{s:b}", "reset", 1));
}

/* GET /control/counts, and POST of
 *   /control/fault?mode=MODE&ms=N&count=N  see store_fault_set()
 *   /control/snapshot                      copies the objects for old-copy
 *   /control/vms                           new VM list as a JSON body
 *   /control/reset                         empties the store, ends the fault */
static void serve_control(struct fake_store *s, struct call *c)
{
	bool post = !strcmp(c->method, "POST");

	if (!post && !strcmp(c->path, "/control/counts")) {
		control_counts(s, c);
	} else if (post && !strcmp(c->path, "/control/fault")) {
		control_fault(s, c);
	} else if (post && !strcmp(c->path, "/control/snapshot")) {
		objects_copy(&s->snapshot, &s->live);
		call_json(c, 200,
			  json_pack("{s:I}", "revision",
				    (json_int_t)s->snapshot.revision));
	} else if (post && !strcmp(c->path, "/control/vms")) {
		control_vms(s, c);
	} else if (post && !strcmp(c->path, "/control/reset")) {
		control_reset(s, c);
	} else {
		call_error(c, 404, "not found");
	}
}

static void call_run(struct msg *m, struct duty *to)
{
	struct call *c = az_container_of(m, struct call, msg);

	if (c->control)
		serve_control(c->store, c);
	else
		serve(c->store, c);
}

static void call_drop(struct msg *m)
{
	call_finish(az_container_of(m, struct call, msg), 0);
}

static const struct msg_ops call_ops = { "call", call_run, call_drop };

/* ---- HTTP (in the threads of libmicrohttpd) ---- */

static const char *argument(struct MHD_Connection *m, const char *name,
			    const char *default_value)
{
	const char *v =
		MHD_lookup_connection_value(m, MHD_GET_ARGUMENT_KIND, name);

	return v ? v : default_value;
}

static const char *header(struct MHD_Connection *m, const char *name)
{
	return MHD_lookup_connection_value(m, MHD_HEADER_KIND, name);
}

static struct call *call_new(struct port *p, struct MHD_Connection *m,
			     const char *url, const char *method)
{
	struct call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->msg.ops = &call_ops;
	c->store = p->store;
	c->connection = m;
	c->control = p->control;
	snprintf(c->method, sizeof(c->method), "%s", method);
	snprintf(c->path, sizeof(c->path), "%s", url);
	snprintf(c->prefix, sizeof(c->prefix), "%s", argument(m, "prefix", ""));
	snprintf(c->mode, sizeof(c->mode), "%s", argument(m, "mode", ""));
	c->after = strtoull(argument(m, "after", "0"), NULL, 10);
	c->wait_ms = strtoll(argument(m, "wait_ms", "0"), NULL, 10);
	if (c->wait_ms < 0 || c->wait_ms > WATCH_MAX_MS)
		c->wait_ms = WATCH_MAX_MS;
	c->ms = strtoll(argument(m, "ms", "1000"), NULL, 10);
	if (c->ms < 0 || c->ms > WATCH_MAX_MS)
		c->ms = WATCH_MAX_MS;
	c->count = (uint32_t)strtoul(argument(m, "count", "1"), NULL, 10);
	c->has_known_revision =
		revision_parse(header(m, "If-None-Match"), &c->known_revision);
	c->condition_status =
		condition_parse(header(m, "If-Match"),
				header(m, "If-None-Match"), &c->condition);
	return c;
}

static enum MHD_Result call_respond(struct call *c, struct MHD_Connection *m)
{
	struct MHD_Response *r;
	enum MHD_Result ok;
	char text[24];

	if (!c->status)
		return MHD_NO;
	r = MHD_create_response_from_buffer(c->answer.len_bytes, c->answer.data,
					    MHD_RESPMEM_MUST_COPY);
	if (c->version || c->status == 412) {
		snprintf(text, sizeof(text), "%llu",
			 (unsigned long long)c->version);
		MHD_add_response_header(r, "Object-Version", text);
	}
	ok = MHD_queue_response(m, c->status, r);
	MHD_destroy_response(r);
	return ok;
}

/* libmicrohttpd calls this after the headers, for each part of the body, after
 * the body, and again once the duty has resumed the connection. */
static enum MHD_Result on_call(void *arg, struct MHD_Connection *m,
			       const char *url, const char *method,
			       const char *version, const char *data,
			       size_t *data_bytes, void **state)
{
	struct call *c = *state;

	if (!c) {
		*state = call_new(arg, m, url, method);
		return *state ? MHD_YES : MHD_NO;
	}
	if (*data_bytes) {
		if (c->body.len_bytes + *data_bytes > OBJECT_MAX_BYTES)
			c->too_large = true;
		else
			buf_append(&c->body, data, (uint32_t)*data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (c->submitted)
		return call_respond(c, m);
	c->submitted = true;
	MHD_suspend_connection(m);
	/* If the duty's ring is full, call_drop() resumes the connection, which
	 * is then closed. */
	duty_send(&c->store->duty, &c->msg);
	return MHD_YES;
}

static void on_completed(void *arg, struct MHD_Connection *m, void **state,
			 enum MHD_RequestTerminationCode termination_code)
{
	struct call *c = *state;

	if (!c)
		return;
	buf_free(&c->body);
	buf_free(&c->answer);
	free(c);
	*state = NULL;
}

static enum az_status port_open(struct fake_store *s, struct port *p,
				const char *address, bool control)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char ip[64];
	int32_t port;

	if (sscanf(address, "%63[^:]:%d", ip, &port) != 2 || port < 1 ||
	    port > 65535 || inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
		return az_fail(AZ_INVALID, "'%s' is not IP:PORT", address);
	sa.sin_port = htons((uint16_t)port);
	p->store = s;
	p->control = control;
	p->http_server = MHD_start_daemon(
		MHD_USE_AUTO_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
		(uint16_t)port, NULL, NULL, on_call, p, MHD_OPTION_SOCK_ADDR,
		&sa, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	if (!p->http_server)
		return az_fail(AZ_IO, "cannot listen on %s", address);
	return AZ_OK;
}

/* ---- start ---- */

static void store_on_stop(struct duty *d)
{
	close_pending_calls(az_container_of(d, struct fake_store, duty));
}

static const struct duty_ops store_ops = { "store", store_on_timer,
					   store_on_stop };

struct fake_store *fake_store_create(const struct fake_store_settings *settings,
				     struct timer_service *timers,
				     apr_pool_t *pool)
{
	struct fake_store *s = apr_pcalloc(pool, sizeof(*s));

	s->settings = *settings;
	s->vm_list = json_array();
	store_fault_set(&s->fault, "none", 0, 0);
	if (duty_init(&s->duty, &store_ops, RING_SLOTS, timers) != AZ_OK)
		return NULL;
	return s;
}

enum az_status fake_store_start(struct fake_store *s)
{
	enum az_status st = duty_start(&s->duty);

	if (st == AZ_OK)
		st = port_open(s, &s->service, s->settings.listen, false);
	if (st == AZ_OK)
		st = port_open(s, &s->control, s->settings.control, true);
	return st;
}
