#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "stand.h"

#define HEAD_MAX 16384
#define TICK_MS 10
#define ALL_MAX 200000

bool trouble = true;

static FILE *record_file;
static char temp_dir[256];
static int64_t start_ms;
static uint16_t base_port;
static int subnet; /* third byte of all addresses: 127.77.SUBNET.x */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- time and record ---- */

static int64_t clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return clock_ms() - start_ms;
}

static void sleep_ms(int ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&ts, NULL);
}

void wait_until_ms(int64_t at_ms)
{
	while (now_ms() < at_ms)
		sleep_ms(2);
}

void record(const char *fmt, ...)
{
	char line[1024];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	flockfile(record_file);
	fprintf(record_file, "%8lld %s\n", (long long)now_ms(), line);
	fflush(record_file);
	funlockfile(record_file);
}

/* ---- sockets ---- */

static int listen_at(const char *ip, uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 256)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int connect_to(const char *ip, uint16_t port, int limit_ms)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);

	inet_pton(AF_INET, ip, &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	if (poll(&p, 1, limit_ms) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

static void close_with_reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

static bool send_all(int fd, const char *data, size_t n)
{
	while (n) {
		ssize_t k = send(fd, data, n, MSG_NOSIGNAL);

		if (k <= 0)
			return false;
		data += k;
		n -= (size_t)k;
	}
	return true;
}

/* One parsed HTTP message: head, and the body by Content-Length. */
struct message {
	char head[HEAD_MAX];
	int head_len;
	int have; /* bytes in `head`, with those behind the head */
	long body_len;
};

static const char *header(const struct message *m, const char *name, char *out,
			  size_t size)
{
	size_t n = strlen(name);

	for (const char *p = strstr(m->head, "\r\n"); p && p[2] != '\r';
	     p = strstr(p + 2, "\r\n")) {
		const char *v = p + 2;

		if (strncasecmp(v, name, n) || v[n] != ':')
			continue;
		v += n + 1;
		while (*v == ' ')
			v++;
		snprintf(out, size, "%.*s", (int)strcspn(v, "\r\n"), v);
		return out;
	}
	return NULL;
}

/* Reads and drops the rest of a long body. */
static bool drop_body(int fd, struct message *m, int64_t until,
		      bool (*stop)(void *arg), void *arg)
{
	long left = m->head_len + m->body_len - m->have;
	char data[65536];

	m->have = m->head_len;
	m->head[m->have] = '\0';
	while (left > 0) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t n;

		if ((stop && stop(arg)) || clock_ms() > until)
			return false;
		if (poll(&p, 1, TICK_MS) != 1)
			continue;
		n = recv(fd, data,
			 left < (long)sizeof(data) ? (size_t)left :
						     sizeof(data),
			 0);
		if (n <= 0)
			return false;
		left -= n;
	}
	m->body_len = 0;
	return true;
}

/* Reads a message; false if the connection ended, `stop` got true, or the
 * limit has passed. The body is read and dropped, but for what is answered to
 * consumers, which is short. */
static bool read_message(int fd, struct message *m, int limit_ms,
			 bool (*stop)(void *arg), void *arg)
{
	int64_t until = clock_ms() + limit_ms;
	char text[32];
	char *end;

	m->have = 0;
	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t n;

		m->head[m->have] = '\0';
		end = strstr(m->head, "\r\n\r\n");
		if (end) {
			m->head_len = (int)(end + 4 - m->head);
			m->body_len = header(m, "Content-Length", text,
					     sizeof(text)) ?
					      atol(text) :
					      0;
			if (m->have >= m->head_len + m->body_len)
				return true;
			if (m->head_len + m->body_len >= HEAD_MAX)
				return drop_body(fd, m, until, stop, arg);
		}
		if ((stop && stop(arg)) || clock_ms() > until ||
		    m->have >= HEAD_MAX - 1)
			return false;
		if (poll(&p, 1, TICK_MS) != 1)
			continue;
		n = recv(fd, m->head + m->have,
			 (size_t)(HEAD_MAX - 1 - m->have), 0);
		if (n <= 0)
			return false;
		m->have += (int)n;
	}
}

static void start_thread(void *(*f)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 << 10);
	if (pthread_create(&t, &attr, f, arg))
		abort();
	pthread_attr_destroy(&attr);
}

/* ---- the store ---- */

struct change {
	uint64_t revision;
	char kind[16];
	char name[48];
	bool deleted;
	char *spec;
};

/* All changes so far. An object is its last change. */
static struct change changes[ALL_MAX];
static int change_count;
static uint64_t last_revision = 1;
static int newest_conn;
static int silent_up_to[DAEMONS_MAX]; /* connections by number */
static int reset_up_to[DAEMONS_MAX];
static bool silent_later[DAEMONS_MAX];
static bool muted[DAEMONS_MAX];
static int store_fds[DAEMONS_MAX];
static int fillers[DAEMONS_MAX]; /* own connections that fill the queue */
static int waiting[DAEMONS_MAX];
static int watches[DAEMONS_MAX];

void store_set_first_revision(uint64_t revision)
{
	last_revision = revision;
}

static uint64_t add_change(const char *kind, const char *name, const char *spec,
			   bool deleted)
{
	struct change *c = &changes[change_count];

	c->revision = ++last_revision;
	snprintf(c->kind, sizeof(c->kind), "%s", kind);
	snprintf(c->name, sizeof(c->name), "%s", name);
	c->deleted = deleted;
	c->spec = strdup(spec);
	change_count++;
	return c->revision;
}

uint64_t store_put(const char *kind, const char *name, const char *spec)
{
	uint64_t r;

	pthread_mutex_lock(&lock);
	r = add_change(kind, name, spec, false);
	pthread_mutex_unlock(&lock);
	record("store: put %s/%s revision=%llu", kind, name,
	       (unsigned long long)r);
	return r;
}

static struct change *find_object(const char *kind, const char *name)
{
	for (int i = change_count; i-- > 0;)
		if (!strcmp(changes[i].kind, kind) &&
		    !strcmp(changes[i].name, name))
			return changes[i].deleted ? NULL : &changes[i];
	return NULL;
}

uint64_t store_delete(const char *kind, const char *name)
{
	struct change *c;
	uint64_t r = 0;

	pthread_mutex_lock(&lock);
	c = find_object(kind, name);
	if (c)
		r = add_change(kind, name, c->spec, true);
	pthread_mutex_unlock(&lock);
	record("store: removed %s/%s revision=%llu", kind, name,
	       (unsigned long long)r);
	return r;
}

/* From now on the kernel drops the first packet of new connections, as behind a
 * partition: the queue of connections to accept is full. */
static void drop_new_connections(int daemon)
{
	listen(store_fds[daemon], 0);
	sleep_ms(2 * TICK_MS);
	fillers[daemon] = connect_to(daemons[daemon].store_ip,
				     (uint16_t)(base_port + 4), 200);
}

void store_silence(int daemon, bool later)
{
	pthread_mutex_lock(&lock);
	silent_up_to[daemon] = newest_conn;
	silent_later[daemon] = later;
	pthread_mutex_unlock(&lock);
	if (later)
		drop_new_connections(daemon);
	record("store: connections of %s go silent later=%d",
	       daemons[daemon].name, later);
}

void store_heal(int daemon)
{
	pthread_mutex_lock(&lock);
	silent_later[daemon] = false;
	pthread_mutex_unlock(&lock);
	if (fillers[daemon] > 0)
		close(fillers[daemon]);
	listen(store_fds[daemon], 256);
	record("store: path of %s is back", daemons[daemon].name);
}

void store_mute(int daemon, bool on)
{
	pthread_mutex_lock(&lock);
	silent_up_to[daemon] = newest_conn;
	muted[daemon] = on;
	pthread_mutex_unlock(&lock);
	record("store: %s %s", on ? "does not answer" : "answers again to",
	       daemons[daemon].name);
}

void store_reset(int daemon)
{
	pthread_mutex_lock(&lock);
	reset_up_to[daemon] = newest_conn;
	pthread_mutex_unlock(&lock);
	record("store: connections of %s are reset", daemons[daemon].name);
}

int store_waiting(int daemon)
{
	return waiting[daemon];
}

int store_watches(int daemon)
{
	return watches[daemon];
}

struct store_conn {
	int fd;
	int daemon;
	int number;
};

static bool is_silent(const struct store_conn *c)
{
	return silent_later[c->daemon] || muted[c->daemon] ||
	       c->number <= silent_up_to[c->daemon];
}

static bool is_reset(void *arg)
{
	const struct store_conn *c = arg;

	return c->number <= reset_up_to[c->daemon];
}

static void put_object(FILE *f, const struct change *c)
{
	fprintf(f,
		"{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,"
		"\"created\":1,\"finalizers\":[],\"deleting\":false},"
		"\"spec\":%s,\"status\":null}",
		c->name, (unsigned long long)c->revision, c->spec);
}

static bool answer(struct store_conn *c, int status, const char *body)
{
	char head[256];
	int n;

	/* A silent connection carries nothing more, in either direction. */
	while (is_silent(c) && !is_reset(c))
		sleep_ms(TICK_MS);
	if (is_reset(c))
		return false;
	n = snprintf(head, sizeof(head),
		     "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		     "Content-Length: %zu\r\n\r\n",
		     status, strlen(body));
	return send_all(c->fd, head, (size_t)n) &&
	       send_all(c->fd, body, strlen(body));
}

static bool serve_list(struct store_conn *c, const char *kind)
{
	char *body = NULL;
	size_t size = 0;
	FILE *f = open_memstream(&body, &size);
	bool first = true;
	bool ok;

	pthread_mutex_lock(&lock);
	fprintf(f, "{\"items\":[");
	for (int i = 0; i < change_count; i++) {
		if (strcmp(changes[i].kind, kind) ||
		    find_object(kind, changes[i].name) != &changes[i])
			continue;
		if (!first)
			fputc(',', f);
		first = false;
		put_object(f, &changes[i]);
	}
	fprintf(f, "],\"has-more\":false,\"as-of\":%llu}",
		(unsigned long long)last_revision);
	pthread_mutex_unlock(&lock);
	fclose(f);
	record("store: %s lists %s", daemons[c->daemon].name, kind);
	ok = answer(c, 200, body);
	free(body);
	return ok;
}

static bool any_change(const char *kind, uint64_t after)
{
	for (int i = change_count; i-- > 0 && changes[i].revision > after;)
		if (!strcmp(changes[i].kind, kind))
			return true;
	return false;
}

static bool serve_watch(struct store_conn *c, const char *kind, uint64_t after,
			int wait_ms)
{
	int64_t until = clock_ms() + wait_ms;
	char *body = NULL;
	size_t size = 0;
	FILE *f;
	bool first = true;
	bool ok;
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	__atomic_add_fetch(&waiting[c->daemon], 1, __ATOMIC_RELAXED);
	__atomic_add_fetch(&watches[c->daemon], 1, __ATOMIC_RELAXED);
	pthread_mutex_lock(&lock);
	while ((!any_change(kind, after) || is_silent(c)) &&
	       clock_ms() < until && !is_reset(c)) {
		pthread_mutex_unlock(&lock);
		/* Readable while it waits: the daemon has closed it. */
		if (poll(&p, 1, TICK_MS) == 1 && !is_silent(c)) {
			__atomic_sub_fetch(&waiting[c->daemon], 1,
					   __ATOMIC_RELAXED);
			return false;
		}
		if (is_silent(c))
			sleep_ms(TICK_MS);
		pthread_mutex_lock(&lock);
	}
	__atomic_sub_fetch(&waiting[c->daemon], 1, __ATOMIC_RELAXED);
	f = open_memstream(&body, &size);
	fprintf(f, "{\"events\":[");
	for (int i = 0; i < change_count; i++) {
		if (strcmp(changes[i].kind, kind) ||
		    changes[i].revision <= after)
			continue;
		fprintf(f, "%s{\"deleted\":%s,\"object\":", first ? "" : ",",
			changes[i].deleted ? "true" : "false");
		put_object(f, &changes[i]);
		fputc('}', f);
		first = false;
	}
	fprintf(f, "],\"as-of\":%llu}", (unsigned long long)last_revision);
	pthread_mutex_unlock(&lock);
	fclose(f);
	ok = answer(c, 200, body);
	free(body);
	return ok;
}

static bool serve_get(struct store_conn *c, const char *kind, const char *name)
{
	char *body = NULL;
	size_t size = 0;
	FILE *f = open_memstream(&body, &size);
	struct change *o;
	bool ok;

	pthread_mutex_lock(&lock);
	o = find_object(kind, name);
	if (o)
		put_object(f, o);
	else
		fprintf(f, "{}");
	pthread_mutex_unlock(&lock);
	fclose(f);
	ok = answer(c, o ? 200 : 404, body);
	free(body);
	return ok;
}

/* POST of {"metadata":{"name":N},"spec":S}, as this project writes it. */
static bool serve_post(struct store_conn *c, const char *kind, const char *body)
{
	const char *name = strstr(body, "\"name\":\"");
	const char *spec = strstr(body, "\"spec\":");
	char text[48];
	char *copy;
	bool exists;

	if (!name || !spec)
		return answer(c, 400, "{}");
	snprintf(text, sizeof(text), "%.*s", (int)strcspn(name + 8, "\""),
		 name + 8);
	copy = strdup(spec + 7);
	copy[strlen(copy) - 1] = '\0';
	pthread_mutex_lock(&lock);
	exists = find_object(kind, text);
	if (!exists)
		add_change(kind, text, copy, false);
	pthread_mutex_unlock(&lock);
	free(copy);
	if (!exists)
		return serve_get(c, kind, text);
	{
		char *out = NULL;
		size_t size = 0;
		FILE *f = open_memstream(&out, &size);
		bool ok;

		pthread_mutex_lock(&lock);
		put_object(f, find_object(kind, text));
		pthread_mutex_unlock(&lock);
		fclose(f);
		ok = answer(c, 409, out);
		free(out);
		return ok;
	}
}

static bool serve_call(struct store_conn *c, struct message *m)
{
	char method[8] = "";
	char target[512] = "";
	char kind[32] = "";
	char name[64] = "";
	const char *query;
	const char *p;

	sscanf(m->head, "%7s %511s", method, target);
	query = strchr(target, '?');
	sscanf(target, "/-/objects/%31[^/?]/%63[^/?]", kind, name);
	m->head[m->head_len + m->body_len] = '\0';
	if (!strcmp(method, "POST"))
		return serve_post(c, kind, m->head + m->head_len);
	if (name[0])
		return serve_get(c, kind, name);
	p = query ? strstr(query, "watch=") : NULL;
	if (!p)
		return serve_list(c, kind);
	{
		const char *w = strstr(query, "wait-ms=");

		return serve_watch(c, kind, strtoull(p + 6, NULL, 10),
				   w ? atoi(w + 8) : 0);
	}
}

static void *store_conn_main(void *arg)
{
	struct store_conn *c = arg;
	struct message *m = malloc(sizeof(*m));

	while (read_message(c->fd, m, 3600000, is_reset, c))
		if (!serve_call(c, m))
			break;
	if (is_reset(c))
		close_with_reset(c->fd);
	else
		close(c->fd);
	free(m);
	free(c);
	return NULL;
}

struct store_listener {
	int fd;
	int daemon;
};

static void *store_main(void *arg)
{
	struct store_listener *l = arg;

	for (;;) {
		struct pollfd p = { .fd = l->fd, .events = POLLIN };
		struct store_conn *c;
		int fd;

		if (poll(&p, 1, TICK_MS) != 1)
			continue;
		if (silent_later[l->daemon]) {
			sleep_ms(TICK_MS);
			continue;
		}
		fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		c = calloc(1, sizeof(*c));
		c->fd = fd;
		c->daemon = l->daemon;
		pthread_mutex_lock(&lock);
		c->number = ++newest_conn;
		pthread_mutex_unlock(&lock);
		start_thread(store_conn_main, c);
	}
	return NULL;
}

/* ---- workers ---- */

struct worker workers[WORKERS_MAX];
int worker_count;
static struct run runs[ALL_MAX];
static int run_count;

#define ANSWER_MAX 1024

struct worker_conn {
	int fd;
	struct worker *worker;
	char extra[ANSWER_MAX]; /* sent before the next answer */
	int extra_len;
};

static bool worker_is_down(void *arg)
{
	return ((struct worker *)arg)->down;
}

static bool percent(int n)
{
	static __thread unsigned seed;

	if (!seed)
		seed = (unsigned)(uintptr_t)&seed ^ (unsigned)clock_ms();
	return (int)(rand_r(&seed) % 100) < n;
}

static bool send_answer(struct worker_conn *c, const char *id, const char *text,
			int n)
{
	char out[2 * ANSWER_MAX];
	int at = c->extra_len;

	memcpy(out, c->extra, (size_t)at);
	memcpy(out + at, text, (size_t)n);
	if (at)
		record("worker %s sends %d additional bytes before the answer "
		       "to %s: %.*s",
		       c->worker->id, at, id, (int)strcspn(c->extra, "\r"),
		       c->extra);
	c->extra_len = 0;
	if (percent(c->worker->extra_percent)) {
		c->extra_len = 1 + rand() % (n - 1);
		memcpy(c->extra, text, (size_t)c->extra_len);
		c->extra[c->extra_len] = '\0';
	}
	return send_all(c->fd, out, (size_t)(at + n));
}

static bool reject(struct worker_conn *c, const char *id, int status)
{
	char out[ANSWER_MAX];
	int n = snprintf(out, sizeof(out),
			 "HTTP/1.1 %d %s\r\nX-Not-Executed: 1\r\n"
			 "X-Request-Id: %s\r\nX-Instance-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 status,
			 status == 421 ? "Misdirected Request" :
					 "Service Unavailable",
			 id, c->worker->id);

	record("worker %s rejects %s status=%d", c->worker->id, id, status);
	return send_answer(c, id, out, n);
}

static struct run *add_run(struct worker *w, const char *id)
{
	struct run *r;

	pthread_mutex_lock(&lock);
	r = &runs[run_count++];
	r->at_ms = now_ms();
	r->worker = w;
	snprintf(r->id, sizeof(r->id), "%s", id);
	pthread_mutex_unlock(&lock);
	record("worker %s (%s) runs %s", w->id, w->service, id);
	return r;
}

static bool serve_request(struct worker_conn *c, struct message *m)
{
	struct worker *w = c->worker;
	char id[24] = "";
	char target[48] = "";
	char out[ANSWER_MAX];
	char body[128];
	struct run *r;
	int64_t until;
	int n;

	header(m, "X-Request-Id", id, sizeof(id));
	if (!header(m, "X-Target-Instance", target, sizeof(target)) ||
	    strcmp(target, w->id))
		return reject(c, id, 421);
	if (percent(w->shed_percent))
		return reject(c, id, 503);
	r = add_run(w, id);
	__atomic_add_fetch(&w->running, 1, __ATOMIC_RELAXED);
	until = clock_ms() + w->work_ms;
	while (clock_ms() < until && !w->down)
		sleep_ms(5);
	__atomic_sub_fetch(&w->running, 1, __ATOMIC_RELAXED);
	if (w->down) {
		record("worker %s ends while it runs %s", w->id, id);
		return false;
	}
	r->status = percent(w->error_percent) ? 500 : 200;
	snprintf(body, sizeof(body), "%s %s by %s\n",
		 r->status == 200 ? "done" : "failed", id, w->id);
	n = snprintf(out, sizeof(out),
		     "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n"
		     "X-Response-Signature: %s\r\nX-Server-Load: %d,0,6\r\n"
		     "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n\r\n%s",
		     r->status, r->status == 200 ? "OK" : "Internal Server Error",
		     id, w->id, w->running, strlen(body), body);
	record("worker %s answers %s status=%d", w->id, id, r->status);
	return send_answer(c, id, out, n);
}

static void *worker_conn_main(void *arg)
{
	struct worker_conn *c = arg;
	struct message *m = malloc(sizeof(*m));

	while (read_message(c->fd, m, 10000, worker_is_down, c->worker))
		if (!serve_request(c, m))
			break;
	if (c->worker->down)
		close_with_reset(c->fd);
	else
		close(c->fd);
	free(m);
	free(c);
	return NULL;
}

static void *worker_main(void *arg)
{
	struct worker *w = arg;

	while (!w->down) {
		struct pollfd p = { .fd = w->listen_fd, .events = POLLIN };
		struct worker_conn *c;
		int fd;

		if (poll(&p, 1, TICK_MS) != 1)
			continue;
		fd = accept4(w->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		c = calloc(1, sizeof(*c));
		c->fd = fd;
		c->worker = w;
		start_thread(worker_conn_main, c);
	}
	close(w->listen_fd);
	return NULL;
}

struct worker *worker_start(const char *service, const char *zone, int work_ms)
{
	struct worker *w = &workers[worker_count];

	snprintf(w->id, sizeof(w->id), "i-%s-%d", service, worker_count);
	snprintf(w->service, sizeof(w->service), "%s", service);
	snprintf(w->zone, sizeof(w->zone), "%s", zone);
	snprintf(w->ip, sizeof(w->ip), "127.77.%d.%d", subnet,
		 200 + worker_count);
	w->work_ms = work_ms;
	w->port = (uint16_t)(base_port + 3);
	w->listen_fd = listen_at(w->ip, w->port);
	if (w->listen_fd < 0)
		finish(2);
	worker_count++;
	start_thread(worker_main, w);
	return w;
}

void worker_register(struct worker *w, const char *state)
{
	char spec[512];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":6,\"state\":\"%s\","
		 "\"cold-left\":\"0ms\",\"sequence\":1,\"born\":%lld}",
		 w->service, w->ip, w->port, w->zone, state,
		 1700000000000LL);
	store_put("servers", w->id, spec);
}

void worker_end(struct worker *w)
{
	record("worker %s ends running=%d", w->id, w->running);
	w->down = true;
}

void runs_each(void (*f)(const struct run *r, void *arg), void *arg)
{
	for (int i = 0; i < run_count; i++)
		f(&runs[i], arg);
}

/* ---- daemons ---- */

struct daemon daemons[DAEMONS_MAX];
int daemon_count;

/* What the template of the deploy file renders. */
static void write_settings(struct daemon *d, const char *const *zones,
			   int zone_count)
{
	FILE *f = fopen(d->settings, "w");

	if (!f)
		finish(2);
	fprintf(f,
		"[daemon]\nname = %s\ndata_centre = %s\nregion = north\n"
		"front = %s:%u\nready = %s:%u\npeer = %s:%u\nmember = %s:%u\n"
		"admin = %s:%u\nadmin_token = metrics\nseed_hosts = ",
		d->name, d->zone, d->ip, base_port, d->ip, base_port + 1,
		d->ip, base_port + 10, d->ip, base_port + 25, d->ip,
		base_port + 25);
	for (int i = 0; i < daemon_count && i < 3; i++)
		fprintf(f, "%s%s:%u", i ? "," : "", daemons[i].ip,
			base_port + 2);
	fprintf(f,
		"\nplatform = %s:%u\ndrain_ms = 2600\nlog_level = info\n"
		"[places]\n",
		d->store_ip, base_port + 4);
	for (int i = 0; i < zone_count; i++)
		fprintf(f, "%s = north\n", zones[i]);
	fprintf(f,
		"[bounds]\nseed-lag = 3s\naddr-reuse = 2s\n"
		"stable-window = 4000ms\nack = 4000ms\ncatch-up = 4s\n"
		"drain = 2500ms\ngrace = 6s\nloss-slack = 200ms\n"
		"config-apply = 2500ms\nrollback-slack = 250ms\n"
		"max-skew = 5000ms\nbudget-ratio = 0.2\nbudget-window = 10s\n"
		"budget-slack = 62\nrecovery = 15s\nprobes-per-s = 3\n"
		"floor-share = 0.7\n");
	fclose(f);
}

void daemon_run(struct daemon *d)
{
	char program[512];
	char *argv[] = { program, "--settings", d->settings, NULL };
	pid_t parent = getpid();
	int fd;

	snprintf(program, sizeof(program), "%s",
		 getenv("AZHD") ? getenv("AZHD") : "target/bin/azhd");
	d->pid = fork();
	if (d->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(1);
	fd = open(d->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	execv(program, argv);
	_exit(127);
}

bool daemon_wait_ready(struct daemon *d, int limit_ms)
{
	static const char request[] = "GET /.azurehold/health HTTP/1.1\r\n"
				      "Host: x\r\n\r\n";
	int64_t until = clock_ms() + limit_ms;

	while (clock_ms() < until) {
		int fd = connect_to(d->ip, (uint16_t)(base_port + 1), 500);
		struct message *m = malloc(sizeof(*m));
		bool ready = fd >= 0 &&
			     send_all(fd, request, sizeof(request) - 1) &&
			     read_message(fd, m, 500, NULL, NULL) &&
			     !strncmp(m->head, "HTTP/1.1 200", 12);

		free(m);
		if (fd >= 0)
			close(fd);
		if (ready)
			return true;
		sleep_ms(50);
	}
	return false;
}

bool fleet_start(const char *const *zones, int zone_count, int per_zone)
{
	for (int z = 0; z < zone_count; z++)
		for (int i = 0; i < per_zone; i++) {
			struct daemon *d = &daemons[daemon_count];
			struct store_listener *l = calloc(1, sizeof(*l));

			char name[32];

			snprintf(name, sizeof(name), "edge-%s-%d", zones[z],
				 i + 1);
			memcpy(d->name, name, sizeof(name));
			snprintf(d->zone, sizeof(d->zone), "%s", zones[z]);
			snprintf(d->ip, sizeof(d->ip), "127.77.%d.%d", subnet,
				 1 + daemon_count);
			snprintf(d->store_ip, sizeof(d->store_ip),
				 "127.77.%d.%d", subnet, 101 + daemon_count);
			snprintf(d->settings, sizeof(d->settings),
				 "%s/%s.ini", temp_dir, name);
			snprintf(d->log, sizeof(d->log), "%s/%s.log", temp_dir,
				 name);
			l->daemon = daemon_count++;
			l->fd = listen_at(d->store_ip,
					  (uint16_t)(base_port + 4));
			if (l->fd < 0)
				finish(2);
			store_fds[l->daemon] = l->fd;
			start_thread(store_main, l);
		}
	for (int i = 0; i < daemon_count; i++) {
		write_settings(&daemons[i], zones, zone_count);
		daemon_run(&daemons[i]);
	}
	for (int i = 0; i < daemon_count; i++)
		if (!daemon_wait_ready(&daemons[i], 15000)) {
			record("daemon %s is not ready", daemons[i].name);
			return false;
		}
	record("all daemons are ready");
	return true;
}

void fleet_end(void)
{
	for (int i = 0; i < daemon_count; i++)
		if (daemons[i].pid > 0) {
			kill(daemons[i].pid, SIGKILL);
			waitpid(daemons[i].pid, NULL, 0);
		}
}

/* ---- consumers ---- */

static struct exchange exchanges[ALL_MAX];
static int exchange_count;
static int newest_id;
static volatile bool consumers_stopping;
static int consumers_running;

void consumer_send(int daemon, const char *method, const char *host,
		   const char *path, int timeout_ms, struct exchange *out)
{
	struct message *m = malloc(sizeof(*m));
	char text[512];
	int fd;
	int n;

	memset(out, 0, sizeof(*out));
	out->daemon = daemon;
	out->idempotent = !strcmp(method, "GET");
	snprintf(out->host, sizeof(out->host), "%s", host);
	snprintf(out->path, sizeof(out->path), "%s", path);
	snprintf(out->id, sizeof(out->id), "%08x",
		 __atomic_add_fetch(&newest_id, 1, __ATOMIC_RELAXED));
	n = snprintf(text, sizeof(text),
		     "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
		     "X-Deadline-Ms: %d\r\nConnection: close\r\n%s\r\n%s",
		     method, path, host, out->id, timeout_ms,
		     out->idempotent ? "" : "Content-Length: 6\r\n",
		     out->idempotent ? "" : "order\n");
	fd = connect_to(daemons[daemon].ip, base_port, 1000);
	out->sent_ms = now_ms();
	if (fd >= 0 && send_all(fd, text, (size_t)n) &&
	    read_message(fd, m, timeout_ms + 2000, NULL, NULL)) {
		sscanf(m->head, "HTTP/1.1 %d", &out->status);
		header(m, "X-Response-Signature", out->signature,
		       sizeof(out->signature));
	}
	if (fd >= 0)
		close(fd);
	out->ended_ms = now_ms();
	free(m);
	record("consumer %s %s %s%s at %s sent_ms=%lld status=%d by=%s",
	       out->id, method, host, path, daemons[daemon].name,
	       (long long)out->sent_ms, out->status,
	       out->signature[0] ? out->signature : "-");
	pthread_mutex_lock(&lock);
	exchanges[exchange_count++] = *out;
	pthread_mutex_unlock(&lock);
}

bool daemon_check_memory(struct daemon *d, int max_mb)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", d->pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		sscanf(line, "VmRSS: %ld kB", &kb);
	if (f)
		fclose(f);
	if (kb / 1024 > d->peak_mb)
		d->peak_mb = (int)(kb / 1024);
	if (kb / 1024 <= max_mb)
		return true;
	record("platform: %s has %ld MB, above %d MB: killed", d->name,
	       kb / 1024, max_mb);
	kill(d->pid, SIGKILL);
	waitpid(d->pid, NULL, 0);
	d->pid = 0;
	return false;
}

struct upload {
	int daemon;
	long bytes;
	const char *host;
	const char *path;
};

static void *upload_main(void *arg)
{
	struct upload *u = arg;
	struct message *m = malloc(sizeof(*m));
	struct exchange x = { .daemon = u->daemon };
	char text[512];
	char data[65536];
	bool ok;
	int fd;
	int n;

	memset(data, 'x', sizeof(data));
	snprintf(x.id, sizeof(x.id), "%08x",
		 __atomic_add_fetch(&newest_id, 1, __ATOMIC_RELAXED));
	n = snprintf(text, sizeof(text),
		     "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
		     "X-Deadline-Ms: 8000\r\nContent-Length: %ld\r\n\r\n",
		     u->path, u->host, x.id, u->bytes);
	fd = connect_to(daemons[u->daemon].ip, base_port, 1000);
	x.sent_ms = now_ms();
	ok = fd >= 0 && send_all(fd, text, (size_t)n);
	for (long left = u->bytes; ok && left > 0; left -= sizeof(data))
		ok = send_all(fd, data,
			      left < (long)sizeof(data) ? (size_t)left :
							  sizeof(data));
	if (fd >= 0 && read_message(fd, m, 10000, NULL, NULL)) {
		sscanf(m->head, "HTTP/1.1 %d", &x.status);
		header(m, "X-Response-Signature", x.signature,
		       sizeof(x.signature));
	}
	if (fd >= 0)
		close(fd);
	record("consumer %s sent %ld bytes to %s sent_ms=%lld status=%d", x.id,
	       u->bytes, daemons[u->daemon].name, (long long)x.sent_ms,
	       x.status);
	pthread_mutex_lock(&lock);
	exchanges[exchange_count++] = x;
	pthread_mutex_unlock(&lock);
	__atomic_sub_fetch(&consumers_running, 1, __ATOMIC_RELAXED);
	free(m);
	free(u);
	return NULL;
}

int uploads_running(void)
{
	return consumers_running;
}

void upload_start(int daemon, const char *host, const char *path, long bytes)
{
	struct upload *u = calloc(1, sizeof(*u));

	*u = (struct upload){ daemon, bytes, host, path };
	__atomic_add_fetch(&consumers_running, 1, __ATOMIC_RELAXED);
	start_thread(upload_main, u);
}

struct consumer {
	int daemon;
	const char *method;
	const char *host;
	const char *path;
	int gap_ms;
	int timeout_ms;
};

static void *request_main(void *arg)
{
	struct consumer *c = arg;
	struct exchange x;

	consumer_send(c->daemon, c->method, c->host, c->path, c->timeout_ms,
		      &x);
	__atomic_sub_fetch(&consumers_running, 1, __ATOMIC_RELAXED);
	return NULL;
}

/* Starts requests at a steady rate, whether or not earlier ones have ended. */
static void *consumer_main(void *arg)
{
	struct consumer *c = arg;

	while (!consumers_stopping) {
		if (__atomic_add_fetch(&consumers_running, 1,
				       __ATOMIC_RELAXED) < 300)
			start_thread(request_main, c);
		else
			__atomic_sub_fetch(&consumers_running, 1,
					   __ATOMIC_RELAXED);
		sleep_ms(c->gap_ms);
	}
	return NULL;
}

void consumers_start(const char *method, const char *host, const char *path,
		     int gap_ms, int timeout_ms)
{
	for (int i = 0; i < daemon_count; i++) {
		struct consumer *c = calloc(1, sizeof(*c));

		*c = (struct consumer){ i,    method, host,
					path, gap_ms, timeout_ms };
		start_thread(consumer_main, c);
	}
}

void consumers_stop(void)
{
	consumers_stopping = true;
	for (int i = 0; i < 500 && consumers_running; i++)
		sleep_ms(20);
}

void exchanges_each(void (*f)(const struct exchange *x, void *arg), void *arg)
{
	for (int i = 0; i < exchange_count; i++)
		f(&exchanges[i], arg);
}

/* ---- start and end ---- */

void finish(int status)
{
	char command[600];

	record("result: %s", status == 1 ? "the rule was broken" :
			     status == 0 ? "the rule held" :
					   "the case could not run");
	fleet_end();
	if (temp_dir[0] && !getenv("KEEP")) {
		for (int i = 0; i < daemon_count; i++) {
			unlink(daemons[i].settings);
			unlink(daemons[i].log);
		}
		rmdir(temp_dir);
	} else if (temp_dir[0]) {
		snprintf(command, sizeof(command), "kept %s", temp_dir);
		record("%s", command);
	}
	fclose(record_file);
	_exit(status);
}


static void on_alarm(int sig)
{
	(void)sig;
	fleet_end();
	_exit(2);
}

/* True if the port, and the others that the case uses, are free. */
static bool port_is_free(uint16_t port)
{
	for (int offset = 0; offset <= 26; offset++) {
		char ip[24];
		int fd;

		snprintf(ip, sizeof(ip), "127.77.%d.1", subnet);
		fd = listen_at(ip, (uint16_t)(port + offset));
		if (fd < 0)
			return false;
		close(fd);
	}
	return true;
}

int main(int argc, char **argv)
{
	const char *base = getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp";

	if (argc != 3) {
		fprintf(stderr, "usage: stand CASE RECORD\n");
		return 2;
	}
	record_file = fopen(argv[2], "w");
	if (!record_file)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(118);
	start_ms = clock_ms();
	trouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0") != 0;
	subnet = 1 + getpid() % 200;
	base_port = (uint16_t)(20000 + getpid() % 200 * 40);
	while (!port_is_free(base_port) && base_port < 31000)
		base_port = (uint16_t)(base_port + 40);
	snprintf(temp_dir, sizeof(temp_dir), "%.200s/review.XXXXXX", base);
	if (!mkdtemp(temp_dir))
		finish(2);
	record("case %s trouble=%d", argv[1], trouble);
	case_main(argv[1]);
	finish(2);
}
