#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES 16384
#define DAEMONS_MAX 16
#define LAST_MS 110000

static void start_thread(void *(*run)(void *), void *arg);

static struct {
	const char *azhd;
	FILE *record;
	char dir[128];
	int net[2];
	int64_t start_ms;
	pthread_mutex_t lock;
	struct daemon *daemons[DAEMONS_MAX];
	int daemon_count;
	uint64_t random;
} stand = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* ---- process ---- */

static int64_t clock_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return clock_ms() - stand.start_ms;
}

void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

uint32_t random_below(uint32_t n)
{
	uint64_t x;

	pthread_mutex_lock(&stand.lock);
	stand.random = stand.random * 6364136223846793005ULL + 1442695040888963407ULL;
	x = stand.random >> 33;
	pthread_mutex_unlock(&stand.lock);
	return (uint32_t)(x % n);
}

void new_id(char out[17])
{
	snprintf(out, 17, "%08x%08x", random_below(1U << 30),
		 random_below(1U << 30));
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&stand.lock);
	fprintf(stand.record, "%6lld ", (long long)now_ms());
	va_start(args, format);
	vfprintf(stand.record, format, args);
	va_end(args);
	fprintf(stand.record, "\n");
	fflush(stand.record);
	pthread_mutex_unlock(&stand.lock);
}

bool stand_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

const char *host_ip(int host, char out[16])
{
	snprintf(out, 16, "127.%d.%d.%d", stand.net[0], stand.net[1], host);
	return out;
}

static struct sockaddr_in address(int host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	char ip[16];

	inet_pton(AF_INET, host_ip(host, ip), &a.sin_addr);
	return a;
}

static int listen_at(int host, int port)
{
	struct sockaddr_in a = address(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 512)) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool port_is_free(int host, int port)
{
	int fd = listen_at(host, port);

	if (fd < 0)
		return false;
	close(fd);
	return true;
}

/* A case takes 120 s at most. */
static void *watch_time(void *arg)
{
	(void)arg;
	sleep_ms(LAST_MS);
	record("the case takes too long");
	stand_end(2);
}

void stand_begin(int argc, char **argv)
{
	const char *tmp = getenv("TMPDIR");

	if (argc < 3) {
		fprintf(stderr, "usage: %s AZHD RECORD\n", argv[0]);
		exit(2);
	}
	stand.azhd = argv[1];
	stand.record = fopen(argv[2], "w");
	if (!stand.record || access(stand.azhd, X_OK)) {
		fprintf(stderr, "no record or no daemon\n");
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	stand.start_ms = clock_ms();
	stand.random = (uint64_t)time(NULL) * 1000003 + (uint64_t)getpid();
	snprintf(stand.dir, sizeof(stand.dir), "%s/azhd-case-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!mkdtemp(stand.dir))
		exit(2);
	/* A network of its own among the loopback addresses. */
	do {
		stand.net[0] = 10 + (int)random_below(200);
		stand.net[1] = 1 + (int)random_below(250);
	} while (!port_is_free(200, STORE_PORT) || !port_is_free(1, FRONT_PORT));
	start_thread(watch_time, NULL);
	record("trouble=%s network=127.%d.%d.0", stand_trouble() ? "1" : "0",
	       stand.net[0], stand.net[1]);
}

void stand_end(int code)
{
	char command[200];

	for (int i = 0; i < stand.daemon_count; i++) {
		struct daemon *d = stand.daemons[i];

		if (d->pid <= 0)
			continue;
		kill(d->pid, SIGCONT);
		kill(d->pid, SIGKILL);
		waitpid(d->pid, NULL, 0);
	}
	record("exit=%d (%s)", code,
	       code == 0 ? "the rule held" :
	       code == 1 ? "the rule was broken" :
			   "the case could not run");
	if (!getenv("KEEP")) {
		snprintf(command, sizeof(command), "rm -r '%s'", stand.dir);
		if (system(command))
			code = code ? code : 2;
	}
	fclose(stand.record);
	_exit(code);
}

/* ---- HTTP on the server's side ---- */

struct request {
	char method[16];
	char target[512];
	char id[64];
	char expected[64]; /* X-Target-Instance */
	char via[64];
	long length;
	char *body;
};

/* Value of a header in a head, or an empty text. */
static void header_value(const char *head, const char *name, char *out,
			 size_t size)
{
	size_t n = strlen(name);

	out[0] = '\0';
	for (const char *p = strstr(head, "\r\n"); p; p = strstr(p, "\r\n")) {
		p += 2;
		if (!strncasecmp(p, name, n) && p[n] == ':') {
			size_t len;

			for (p += n + 1; *p == ' '; p++)
				;
			len = strcspn(p, "\r\n");
			if (len >= size)
				len = size - 1;
			memcpy(out, p, len);
			out[len] = '\0';
			return;
		}
	}
}

static bool read_request(int fd, struct request *r)
{
	static __thread char head[HEAD_BYTES];
	size_t n = 0;
	char *end = NULL;
	char text[32];
	size_t have;

	memset(r, 0, sizeof(*r));
	while (!end) {
		ssize_t got;

		if (n == sizeof(head) - 1)
			return false;
		got = recv(fd, head + n, sizeof(head) - 1 - n, 0);
		if (got <= 0)
			return false;
		n += (size_t)got;
		head[n] = '\0';
		end = strstr(head, "\r\n\r\n");
	}
	have = n - (size_t)(end + 4 - head);
	end[2] = '\0';
	if (sscanf(head, "%15s %511s", r->method, r->target) != 2)
		return false;
	header_value(head, "X-Request-Id", r->id, sizeof(r->id));
	header_value(head, "X-Target-Instance", r->expected,
		     sizeof(r->expected));
	header_value(head, "X-Via", r->via, sizeof(r->via));
	header_value(head, "Content-Length", text, sizeof(text));
	r->length = atol(text);
	r->body = calloc(1, (size_t)r->length + 1);
	memcpy(r->body, end + 4, have < (size_t)r->length ? have : (size_t)r->length);
	while (have < (size_t)r->length) {
		ssize_t got = recv(fd, r->body + have, (size_t)r->length - have, 0);

		if (got <= 0) {
			free(r->body);
			return false;
		}
		have += (size_t)got;
	}
	return true;
}

static bool send_all(int fd, const char *data, size_t n)
{
	while (n) {
		ssize_t sent = send(fd, data, n, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		n -= (size_t)sent;
	}
	return true;
}

static void reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

static void no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/* ---- store ---- */

#define OBJECTS_MAX 128
#define EVENTS_MAX 8192
#define STORE_FDS_MAX 512

struct object {
	char kind[24];
	char name[64];
	char *spec; /* NULL: free */
	uint64_t revision;
};

struct event {
	uint64_t revision;
	bool deleted;
	char kind[24];
	char name[64];
	char *spec;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct object objects[OBJECTS_MAX];
	struct event events[EVENTS_MAX];
	int event_count;
	uint64_t revision;
	uint64_t era;
	bool away;
	struct object copied[OBJECTS_MAX];
	int copied_events;
	uint64_t copied_revision;
	int fds[STORE_FDS_MAX];
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .revision = 500, .era = 1 };

static struct object *find_object(const char *kind, const char *name)
{
	for (int i = 0; i < OBJECTS_MAX; i++)
		if (store.objects[i].spec &&
		    !strcmp(store.objects[i].kind, kind) &&
		    !strcmp(store.objects[i].name, name))
			return &store.objects[i];
	return NULL;
}

static void add_event(const struct object *o, bool deleted)
{
	struct event *e = &store.events[store.event_count++];

	if (store.event_count == EVENTS_MAX)
		abort();
	e->revision = store.revision;
	e->deleted = deleted;
	strcpy(e->kind, o->kind);
	strcpy(e->name, o->name);
	e->spec = strdup(o->spec);
	pthread_cond_broadcast(&store.changed);
}

static uint64_t put_locked(const char *kind, const char *name, const char *spec)
{
	struct object *o = find_object(kind, name);

	if (o && !strcmp(o->spec, spec))
		return store.revision;
	for (int i = 0; !o; i++) {
		if (i == OBJECTS_MAX)
			abort();
		if (!store.objects[i].spec)
			o = &store.objects[i];
	}
	snprintf(o->kind, sizeof(o->kind), "%s", kind);
	snprintf(o->name, sizeof(o->name), "%s", name);
	o->spec = strdup(spec); /* an older one may be in the copy */
	o->revision = ++store.revision;
	add_event(o, false);
	return store.revision;
}

uint64_t store_put(const char *kind, const char *name, const char *spec)
{
	uint64_t r;

	pthread_mutex_lock(&store.lock);
	r = put_locked(kind, name, spec);
	pthread_mutex_unlock(&store.lock);
	record("store acknowledged %s/%s revision=%llu %.150s", kind, name,
	       (unsigned long long)r, strcmp(kind, "config") ? spec : "");
	return r;
}

void store_delete(const char *kind, const char *name)
{
	struct object *o;

	pthread_mutex_lock(&store.lock);
	o = find_object(kind, name);
	if (o) {
		store.revision++;
		add_event(o, true);
		o->spec = NULL;
	}
	pthread_mutex_unlock(&store.lock);
	record("store removed %s/%s", kind, name);
}

bool store_has(const char *kind, const char *name)
{
	bool has;

	pthread_mutex_lock(&store.lock);
	has = find_object(kind, name) != NULL;
	pthread_mutex_unlock(&store.lock);
	return has;
}

uint64_t store_revision(void)
{
	uint64_t r;

	pthread_mutex_lock(&store.lock);
	r = store.revision;
	pthread_mutex_unlock(&store.lock);
	return r;
}

void store_copy(void)
{
	pthread_mutex_lock(&store.lock);
	memcpy(store.copied, store.objects, sizeof(store.objects));
	store.copied_events = store.event_count;
	store.copied_revision = store.revision;
	pthread_mutex_unlock(&store.lock);
	record("the store's copy is made, revision=%llu",
	       (unsigned long long)store.copied_revision);
}

void store_restore(void)
{
	pthread_mutex_lock(&store.lock);
	record("the store continues from its copy, revision %llu -> %llu, "
	       "era %llu -> %llu",
	       (unsigned long long)store.revision,
	       (unsigned long long)store.copied_revision,
	       (unsigned long long)store.era, (unsigned long long)store.era + 1);
	memcpy(store.objects, store.copied, sizeof(store.objects));
	store.event_count = store.copied_events;
	store.revision = store.copied_revision;
	store.era++;
	pthread_mutex_unlock(&store.lock);
}

void store_set_away(bool away)
{
	record("the store is %s", away ? "away" : "back");
	pthread_mutex_lock(&store.lock);
	store.away = away;
	for (int i = 0; away && i < STORE_FDS_MAX; i++)
		if (store.fds[i])
			shutdown(store.fds[i], SHUT_RDWR);
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

struct text {
	char *data;
	size_t n;
	size_t cap;
};

static void append(struct text *t, const char *format, ...)
{
	va_list args;
	int n;

	va_start(args, format);
	n = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (t->n + (size_t)n + 1 > t->cap) {
		t->cap = (t->n + (size_t)n + 1) * 2;
		t->data = realloc(t->data, t->cap);
	}
	va_start(args, format);
	vsnprintf(t->data + t->n, t->cap - t->n, format, args);
	va_end(args);
	t->n += (size_t)n;
}

static void append_object(struct text *t, const char *name, uint64_t revision,
			  const char *spec)
{
	append(t,
	       "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"created\":1,"
	       "\"finalizers\":[],\"deleting\":false},\"spec\":%s,"
	       "\"status\":null}",
	       name, (unsigned long long)revision, spec);
}

static bool store_answer(int fd, int status, struct text *body)
{
	struct text t = { 0 };
	bool ok;

	append(&t,
	       "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
	       "Store-Era: %llu\r\nContent-Length: %zu\r\n\r\n%s",
	       status, (unsigned long long)store.era, body->n,
	       body->data ? body->data : "");
	ok = send_all(fd, t.data, t.n);
	free(t.data);
	free(body->data);
	return ok;
}

static int events_after(const char *kind, uint64_t from, struct text *t)
{
	int n = 0;

	for (int i = 0; i < store.event_count; i++) {
		const struct event *e = &store.events[i];

		if (e->revision <= from || strcmp(e->kind, kind) != 0)
			continue;
		append(t, "%s{\"deleted\":%s,\"object\":", n++ ? "," : "",
		       e->deleted ? "true" : "false");
		append_object(t, e->name, e->revision, e->spec);
		append(t, "}");
	}
	return n;
}

static int watch(const char *kind, uint64_t from, long wait, struct text *out)
{
	struct text list = { 0 };
	struct timespec until;
	uint64_t era = store.era;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait / 1000;
	until.tv_nsec += wait % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (from <= store.revision && !events_after(kind, from, &list))
		if (pthread_cond_timedwait(&store.changed, &store.lock,
					   &until) ||
		    store.away || era != store.era)
			break;
	if (from > store.revision || era != store.era) {
		free(list.data);
		return 410;
	}
	append(out, "{\"events\":[%s],\"as-of\":%llu}",
	       list.data ? list.data : "", (unsigned long long)store.revision);
	free(list.data);
	return 200;
}

/* Called with the lock held. */
static int store_call(const struct request *r, struct text *out)
{
	char kind[24] = "";
	char name[64] = "";
	const char *q = strchr(r->target, '?');
	const char *w = q ? strstr(q, "watch=") : NULL;
	const char *wait = q ? strstr(q, "wait-ms=") : NULL;
	struct object *o;
	int n = 0;

	if (strncmp(r->target, "/-/objects/", 11) ||
	    sscanf(r->target + 11, "%23[^/?]/%63[^?]", kind, name) < 1)
		return 404;
	if (!strcmp(r->method, "POST")) {
		char *at = strstr(r->body, "\"name\":");
		char *spec = strstr(r->body, "\"spec\":");
		char *end = r->body + strlen(r->body);

		if (!at || !spec || sscanf(at + 7, " \"%63[^\"]", name) != 1)
			return 400;
		o = find_object(kind, name);
		if (o) {
			append_object(out, name, o->revision, o->spec);
			return 409;
		}
		/* The daemon sends metadata first, spec last. */
		while (end > spec && *end != '}')
			end--;
		*end = '\0';
		put_locked(kind, name, spec + 7);
		o = find_object(kind, name);
		append_object(out, name, o->revision, o->spec);
		return 201;
	}
	if (strcmp(r->method, "GET") != 0)
		return 404;
	if (*name) {
		o = find_object(kind, name);
		if (!o)
			return 404;
		append_object(out, name, o->revision, o->spec);
		return 200;
	}
	if (w)
		return watch(kind, strtoull(w + 6, NULL, 10),
			     wait ? atol(wait + 8) : 0, out);
	append(out, "{\"items\":[");
	for (int i = 0; i < OBJECTS_MAX; i++)
		if (store.objects[i].spec &&
		    !strcmp(store.objects[i].kind, kind)) {
			append(out, "%s", n++ ? "," : "");
			append_object(out, store.objects[i].name,
				      store.objects[i].revision,
				      store.objects[i].spec);
		}
	append(out, "],\"has-more\":false,\"as-of\":%llu}",
	       (unsigned long long)store.revision);
	return 200;
}

static void *store_serve(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct request r;
	int slot;

	no_delay(fd);
	pthread_mutex_lock(&store.lock);
	for (slot = 0; slot < STORE_FDS_MAX && store.fds[slot]; slot++)
		;
	if (slot == STORE_FDS_MAX)
		abort();
	store.fds[slot] = fd;
	pthread_mutex_unlock(&store.lock);
	while (read_request(fd, &r)) {
		struct text body = { 0 };
		bool away;
		int status;

		pthread_mutex_lock(&store.lock);
		away = store.away;
		status = away ? 0 : store_call(&r, &body);
		away |= store.away;
		pthread_mutex_unlock(&store.lock);
		free(r.body);
		if (away) {
			free(body.data);
			break;
		}
		sleep_ms(4);
		if (!store_answer(fd, status, &body))
			break;
	}
	pthread_mutex_lock(&store.lock);
	store.fds[slot] = 0;
	pthread_mutex_unlock(&store.lock);
	reset(fd);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 512 << 10);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &attr, run, arg))
		abort();
	pthread_attr_destroy(&attr);
}

static void *store_accept(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			continue;
		if (store.away)
			reset(fd);
		else
			start_thread(store_serve, (void *)(intptr_t)fd);
	}
	return NULL;
}

void store_start(void)
{
	int fd = listen_at(200, STORE_PORT);

	pthread_cond_init(&store.changed, NULL);
	if (fd < 0)
		stand_end(2);
	start_thread(store_accept, (void *)(intptr_t)fd);
}

/* ---- workers ---- */

struct worker_connection {
	struct worker *worker;
	int fd;
};

static bool worker_answer(struct worker *w, int fd, const struct request *r,
			  int status, const char *more, int body_bytes)
{
	struct text t = { 0 };
	bool ok;

	append(&t, "HTTP/1.1 %d X\r\nX-Instance-Id: %s\r\n%s", status, w->name,
	       more);
	if (r->id[0])
		append(&t, "X-Request-Id: %s\r\n", r->id);
	if (w->limit)
		append(&t, "Server-Limit: %s\r\n", w->limit);
	append(&t,
	       "X-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\n"
	       "Content-Length: %d\r\n\r\n",
	       w->running, w->waiting, w->slots, body_bytes);
	ok = send_all(fd, t.data, t.n);
	free(t.data);
	if (ok && body_bytes) {
		char *body = malloc((size_t)body_bytes);

		memset(body, 'x', (size_t)body_bytes);
		ok = send_all(fd, body, (size_t)body_bytes);
		free(body);
	}
	return ok;
}

static bool take_slot(struct worker *w)
{
	bool ok = true;

	pthread_mutex_lock(&w->lock);
	if (w->running >= w->slots && w->waiting >= 24) {
		ok = false;
	} else {
		w->waiting++;
		while (w->running >= w->slots)
			pthread_cond_wait(&w->free, &w->lock);
		w->waiting--;
		w->running++;
	}
	pthread_mutex_unlock(&w->lock);
	return ok;
}

static void give_slot(struct worker *w)
{
	pthread_mutex_lock(&w->lock);
	w->running--;
	pthread_cond_signal(&w->free);
	pthread_mutex_unlock(&w->lock);
}

static bool worker_handle(struct worker *w, int fd, const struct request *r)
{
	char more[128];
	bool ok;

	if (r->expected[0] && strcmp(r->expected, w->name) != 0)
		return worker_answer(w, fd, r, 421, "", 0);
	if (!strcmp(r->target, "/health"))
		return worker_answer(w, fd, r, w->draining ? 503 : 200, "", 0);
	if (!take_slot(w))
		return worker_answer(w, fd, r, 503, "X-Not-Executed: 1\r\n", 0);
	record("run worker=%s id=%s via=%s %s %s", w->name, r->id, r->via,
	       r->method, r->target);
	if (w->on_run)
		w->on_run(w, r->id, r->via);
	sleep_ms(w->work_min_ms +
		 (w->work_max_ms > w->work_min_ms ?
			  random_below((uint32_t)(w->work_max_ms - w->work_min_ms)) :
			  0));
	snprintf(more, sizeof(more), "X-Response-Signature: %s.%s\r\n", w->name,
		 r->id);
	ok = !w->gone && worker_answer(w, fd, r, 200, more, w->answer_bytes);
	give_slot(w);
	return ok;
}

static void *worker_serve(void *arg)
{
	struct worker_connection *c = arg;
	struct worker *w = c->worker;
	struct request r;
	int slot;

	no_delay(c->fd);
	pthread_mutex_lock(&w->lock);
	for (slot = 0; slot < 1024 && w->open_fds[slot]; slot++)
		;
	if (slot == 1024)
		abort();
	w->open_fds[slot] = c->fd;
	pthread_mutex_unlock(&w->lock);
	while (!w->gone && read_request(c->fd, &r)) {
		bool ok = worker_handle(w, c->fd, &r);

		free(r.body);
		if (!ok)
			break;
	}
	pthread_mutex_lock(&w->lock);
	w->open_fds[slot] = 0;
	pthread_mutex_unlock(&w->lock);
	close(c->fd);
	free(c);
	return NULL;
}

static void *worker_accept(void *arg)
{
	struct worker *w = arg;

	for (;;) {
		struct worker_connection *c;
		int fd = accept4(w->listener, NULL, NULL, SOCK_CLOEXEC);

		if (w->gone) {
			if (fd >= 0)
				reset(fd);
			return NULL;
		}
		if (fd < 0)
			continue;
		c = calloc(1, sizeof(*c));
		c->worker = w;
		c->fd = fd;
		start_thread(worker_serve, c);
	}
	return NULL;
}

void worker_start(struct worker *w)
{
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->free, NULL);
	if (!w->slots)
		w->slots = 6;
	w->born = (int64_t)time(NULL) * 1000;
	w->listener = listen_at(w->host, WORKER_PORT);
	if (w->listener < 0)
		stand_end(2);
	start_thread(worker_accept, w);
}

void worker_enter(struct worker *w, int cold_left_ms)
{
	char spec[512];
	char ip[16];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"cold-left\":\"%dms\",\"sequence\":1,\"born\":%lld}",
		 w->service, host_ip(w->host, ip), WORKER_PORT, w->zone,
		 w->slots, w->draining ? "draining" : "ready", cold_left_ms,
		 (long long)w->born);
	store_put("servers", w->name, spec);
}

void worker_report_draining(struct worker *w)
{
	w->draining = true;
	worker_enter(w, 0);
}

void worker_exit(struct worker *w)
{
	w->gone = true;
	record("worker %s exits", w->name);
	shutdown(w->listener, SHUT_RDWR);
	close(w->listener);
	pthread_mutex_lock(&w->lock);
	for (int i = 0; i < 1024; i++)
		if (w->open_fds[i])
			shutdown(w->open_fds[i], SHUT_RDWR);
	pthread_mutex_unlock(&w->lock);
}

/* ---- daemons ---- */

const char *places = "a1 = a\n";

void daemon_write_settings(struct daemon *d)
{
	char ip[16];
	char other[16];
	char copy[128];
	char *save = NULL;
	FILE *f;
	int n = 0;

	snprintf(d->settings, sizeof(d->settings), "%s/%s.ini", stand.dir,
		 d->name);
	f = fopen(d->settings, "w");
	if (!f)
		stand_end(2);
	host_ip(d->host, ip);
	/* deploy/azhd.ini.tmpl */
	fprintf(f,
		"[daemon]\nname = %s\ndata_centre = %s\nregion = %s\n"
		"front = %s:%d\nready = %s:%d\npeer = %s:7200\n"
		"member = %s:7215\nadmin = %s:7215\nadmin_token = metrics\n"
		"seed_hosts = ",
		d->name, d->zone, d->region, ip, FRONT_PORT, ip, READY_PORT, ip,
		ip, ip);
	snprintf(copy, sizeof(copy), "%s", d->seeds);
	for (char *t = strtok_r(copy, ",", &save); t;
	     t = strtok_r(NULL, ",", &save))
		fprintf(f, "%s%s:%d", n++ ? "," : "",
			host_ip(atoi(t), other), CONTROL_PORT);
	fprintf(f,
		"\nplatform = %s:%d\ndrain_ms = 2600\nmemory_mb = 260\n"
		"max_descriptors = 4100\nlog_level = info\n[places]\n%s\n"
		"[bounds]\n",
		host_ip(200, other), STORE_PORT, places);
	fprintf(f, "seed-lag = 3s\naddr-reuse = 2s\nstable-window = 4000ms\n"
		   "ack = 4000ms\ncatch-up = 4s\ndrain = 2500ms\ngrace = 6s\n"
		   "loss-slack = 200ms\nconfig-apply = 2500ms\n"
		   "rollback-slack = 250ms\nmax-skew = 5000ms\n"
		   "budget-ratio = 0.2\nbudget-window = 10s\n"
		   "budget-slack = 62\nrecovery = 15s\nprobes-per-s = 3\n"
		   "floor-share = 0.7\n");
	fclose(f);
}

void daemon_start(struct daemon *d)
{
	char log[300];
	bool known = false;

	snprintf(log, sizeof(log), "%s/%s.log", stand.dir, d->name);
	d->pid = fork();
	if (!d->pid) {
		char *argv[] = { (char *)stand.azhd, "--settings", d->settings,
				 NULL };

		if (!freopen(log, "a", stdout) || !freopen(log, "a", stderr))
			_exit(127);
		/* It ends with the case, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		execv(stand.azhd, argv);
		_exit(127);
	}
	for (int i = 0; i < stand.daemon_count; i++)
		known |= stand.daemons[i] == d;
	if (!known)
		stand.daemons[stand.daemon_count++] = d;
	record("daemon %s started pid=%d", d->name, d->pid);
}

void daemon_signal(struct daemon *d, int signal)
{
	record("daemon %s gets signal %d", d->name, signal);
	kill(d->pid, signal);
}

bool daemon_wait(struct daemon *d, int64_t ms)
{
	int64_t until = now_ms() + ms;
	int status;

	do {
		if (waitpid(d->pid, &status, WNOHANG) == d->pid) {
			record("daemon %s ended status=%x", d->name, status);
			d->pid = 0;
			return true;
		}
		sleep_ms(10);
	} while (now_ms() < until);
	return false;
}

bool daemon_is_ready(struct daemon *d)
{
	struct connection c = { .fd = -1 };
	struct answer a = { 0 };
	bool ok = connection_open(&c, d->host, READY_PORT) &&
		  exchange(&c, "GET", "ready.example", "/.azurehold/health", "",
			   "", 0, 0, &a) &&
		  a.status == 200;

	connection_close(&c);
	return ok;
}

bool daemon_wait_ready(struct daemon *d, int64_t ms)
{
	int64_t until = now_ms() + ms;

	while (!daemon_is_ready(d)) {
		if (now_ms() > until) {
			record("daemon %s does not become ready", d->name);
			return false;
		}
		sleep_ms(50);
	}
	record("daemon %s is ready", d->name);
	return true;
}

/* ---- consumers ---- */

bool connection_open(struct connection *c, int host, int port)
{
	struct sockaddr_in a = address(host, port);
	struct timeval limit = { 20, 0 };

	c->kept_bytes = 0;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->receive_bytes)
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &c->receive_bytes,
			   sizeof(c->receive_bytes));
	if (c->segment_bytes)
		setsockopt(c->fd, IPPROTO_TCP, TCP_MAXSEG, &c->segment_bytes,
			   sizeof(c->segment_bytes));
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	no_delay(c->fd);
	if (!connect(c->fd, (struct sockaddr *)&a, sizeof(a)))
		return true;
	connection_close(c);
	return false;
}

void connection_close(struct connection *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

/* Reads up to `n` bytes at the rate of the link. */
static ssize_t link_read(struct connection *c, char *data, size_t n)
{
	ssize_t got;

	if (c->kept_bytes) {
		got = (ssize_t)(n < c->kept_bytes ? n : c->kept_bytes);
		memcpy(data, c->kept, (size_t)got);
		c->kept_bytes -= (size_t)got;
		memmove(c->kept, c->kept + got, c->kept_bytes);
		return got;
	}

	if (c->bytes_per_s && n > 8192)
		n = 8192;
	got = recv(c->fd, data, n, 0);
	if (got > 0 && c->bytes_per_s) {
		int64_t takes = (int64_t)got * 1000000 / c->bytes_per_s;
		struct timespec t = { 0, takes * 1000 };

		nanosleep(&t, NULL);
	}
	return got;
}

void read_answer(struct connection *c, struct answer *a)
{
	char head[HEAD_BYTES];
	char text[64];
	char *end = NULL;
	size_t n = 0;
	size_t more;

	memset(a, 0, sizeof(*a));
	while (!end) {
		ssize_t got = n < sizeof(head) - 1 ?
				      link_read(c, head + n, sizeof(head) - 1 - n) :
				      -1;

		if (got <= 0) {
			a->nothing = !n;
			a->error = got < 0 ? errno : 0;
			return;
		}
		n += (size_t)got;
		head[n] = '\0';
		end = strstr(head, "\r\n\r\n");
	}
	a->received = n - (size_t)(end + 4 - head);
	end[2] = '\0';
	sscanf(head, "HTTP/1.1 %d", &a->status);
	header_value(head, "Content-Length", text, sizeof(text));
	a->length = strtoull(text, NULL, 10);
	header_value(head, "Connection", text, sizeof(text));
	a->close = !strcasecmp(text, "close");
	header_value(head, "X-Response-Signature", a->signature,
		     sizeof(a->signature));
	header_value(head, "X-Request-Id", a->id, sizeof(a->id));
	/* What has arrived of the next answer. */
	if (a->received > a->length) {
		more = a->received - a->length;
		memcpy(c->kept, head + n - more, more);
		c->kept_bytes = more;
		a->received = a->length;
	}
	sleep_ms(c->pause_ms);
	while (a->received < a->length) {
		size_t want = a->length - a->received;
		ssize_t got = link_read(c, head,
					want < sizeof(head) ? want : sizeof(head));

		if (got <= 0) {
			a->error = got < 0 ? errno : 0;
			return;
		}
		a->received += (size_t)got;
	}
	a->complete = true;
}

bool send_request(struct connection *c, const char *method, const char *host,
		  const char *path, const char *id, const char *via,
		  int time_left_ms, int body_bytes)
{
	struct text t = { 0 };
	bool ok;

	append(&t, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host);
	if (*id)
		append(&t, "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", id,
		       time_left_ms);
	if (*via)
		append(&t, "X-Via: %s\r\n", via);
	if (body_bytes || strcmp(method, "GET"))
		append(&t, "Content-Length: %d\r\n", body_bytes);
	append(&t, "\r\n");
	if (body_bytes < 4096)
		for (int i = 0; i < body_bytes; i++)
			append(&t, "b");
	ok = send_all(c->fd, t.data, t.n);
	free(t.data);
	if (ok && body_bytes >= 4096) {
		char *body = malloc((size_t)body_bytes);

		memset(body, 'b', (size_t)body_bytes);
		ok = send_all(c->fd, body, (size_t)body_bytes);
		free(body);
	}
	return ok;
}

bool exchange(struct connection *c, const char *method, const char *host,
	      const char *path, const char *id, const char *via,
	      int time_left_ms, int body_bytes, struct answer *a)
{
	memset(a, 0, sizeof(*a));
	if (!send_request(c, method, host, path, id, via, time_left_ms,
			  body_bytes))
		return false;
	read_answer(c, a);
	return true;
}
