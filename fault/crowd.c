#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "fault/crowd.h"

/* Bytes that a client sends before the next one's turn. */
#define TURN_BYTES (64U << 10)
/* Receive buffer of a client that does not read. */
#define SMALL_RECEIVE_BUFFER_BYTES 4096
/* The crowds have come to rest when no client has sent or received for so long.
 */
#define REST_MS 2000

/* ---- what the daemon uses ---- */

static uint64_t status_kb(pid_t pid, const char *field)
{
	char path[64];
	char line[256];
	uint64_t kb = 0;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	in = fopen(path, "r");
	while (in && fgets(line, sizeof(line), in))
		if (!strncmp(line, field, strlen(field)))
			kb = strtoull(line + strlen(field) + 1, NULL, 10);
	if (in)
		fclose(in);
	return kb;
}

static uint32_t count_descriptors(pid_t pid)
{
	char path[64];
	uint32_t n = 0;
	DIR *d;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	d = opendir(path);
	while (d && readdir(d))
		n++;
	if (d)
		closedir(d);
	/* Without "." and "..". */
	return n > 2 ? n - 2 : 0;
}

/* Bytes that the kernel has received for the port and the daemon has not read.
 * The users' platform counts them as memory of the process. */
static uint64_t unread_bytes(uint16_t port)
{
	uint64_t sum = 0;
	char line[512];
	FILE *in = fopen("/proc/net/tcp", "r");

	while (in && fgets(line, sizeof(line), in)) {
		unsigned int local_port;
		unsigned int state;
		unsigned int queue;

		if (sscanf(line, " %*u: %*x:%x %*x:%*x %x %*x:%x", &local_port,
			   &state, &queue) == 3 &&
		    local_port == port && state != 10)
			sum += queue;
	}
	if (in)
		fclose(in);
	return sum;
}

void take_peaks(struct run *r)
{
	pid_t pid = r->fleet->daemons[0].process.pid;
	uint64_t unread = unread_bytes(daemon_port(r->fleet, 0));
	uint64_t now_bytes = (status_kb(pid, "VmRSS") << 10) + unread;
	uint64_t high_bytes = status_kb(pid, "VmHWM") << 10;
	uint32_t n = count_descriptors(pid);

	if (now_bytes > r->peaks.memory_bytes)
		r->peaks.memory_bytes = now_bytes;
	if (high_bytes > r->peaks.memory_bytes)
		r->peaks.memory_bytes = high_bytes;
	if (n > r->peaks.descriptors)
		r->peaks.descriptors = n;
}

/* ---- the crowd ---- */

static void client_close(struct client *k)
{
	if (k->fd >= 0)
		close(k->fd);
	k->fd = -1;
}

void crowds_close(struct run *r)
{
	for (uint32_t c = 0; c < r->crowd_count; c++)
		for (uint32_t i = 0; i < r->crowds[c].plan.clients; i++)
			client_close(&r->crowds[c].clients[i]);
}

/* A client whose connection the daemon closes or refuses stays closed. */
static void crowd_connect(struct crowd *c)
{
	const int size = SMALL_RECEIVE_BUFFER_BYTES;

	for (uint32_t i = 0; i < c->plan.clients; i++) {
		struct client *k = &c->clients[i];
		size_t len = strlen(c->plan.head);

		memset(k, 0, sizeof(*k));
		k->fd = http_connect(c->plan.port);
		if (k->fd < 0)
			continue;
		fcntl(k->fd, F_SETFL, O_NONBLOCK);
		if (!c->plan.reads)
			setsockopt(k->fd, SOL_SOCKET, SO_RCVBUF, &size,
				   sizeof(size));
		if (send(k->fd, c->plan.head, len, MSG_NOSIGNAL) !=
		    (ssize_t)len)
			client_close(k);
	}
}

/* Sends one turn's bytes; true if any were sent. */
static bool client_send(const struct crowd_plan *p, struct client *k)
{
	uint64_t turn_end = k->sent_bytes + TURN_BYTES;
	bool any = false;

	while (k->fd >= 0 && k->sent_bytes < p->stream_bytes &&
	       k->sent_bytes < turn_end) {
		uint32_t at = (uint32_t)(k->sent_bytes % p->unit.len_bytes);
		uint64_t n = p->unit.len_bytes - at;
		ssize_t sent;

		if (n > p->stream_bytes - k->sent_bytes)
			n = p->stream_bytes - k->sent_bytes;
		sent = send(k->fd, p->unit.data + at, n, MSG_NOSIGNAL);
		if (sent < 0 && errno == EAGAIN)
			break;
		if (sent <= 0) {
			client_close(k);
			break;
		}
		k->sent_bytes += (uint64_t)sent;
		any = true;
	}
	return any;
}

static bool client_read(struct client *k)
{
	char data[65536];
	ssize_t n = k->fd >= 0 ? recv(k->fd, data, sizeof(data), 0) : -1;

	if (k->fd >= 0 && (!n || (n < 0 && errno != EAGAIN)))
		client_close(k);
	if (n <= 0)
		return false;
	return true;
}

/* Has each client of the crowd send and read once; true if any has. */
static bool crowd_turn(struct crowd *c)
{
	bool any = false;

	for (uint32_t i = 0; i < c->plan.clients; i++) {
		any = client_send(&c->plan, &c->clients[i]) || any;
		any = (c->plan.reads && client_read(&c->clients[i])) || any;
	}
	return any;
}

/* Lets the clients send in turns, so that all grow together, until none has
 * sent or read for REST_MS. */
static void crowds_send(struct run *r)
{
	int64_t until_us = clock_now_us() + REST_MS * US_PER_MS;
	uint32_t turns = 0;

	while (clock_now_us() < until_us) {
		bool any = false;

		for (uint32_t i = 0; i < r->crowd_count; i++)
			any = crowd_turn(&r->crowds[i]) || any;
		if (any)
			until_us = clock_now_us() + REST_MS * US_PER_MS;
		else
			sleep_ms(20);
		if (!any || turns++ % 16 == 0)
			take_peaks(r);
	}
}

/* Waits until the daemon's memory has come to rest, as it still receives
 * answers of workers. */
static void wait_memory_at_rest(struct run *r)
{
	uint64_t before_kb = 0;

	for (uint32_t ms = 0; ms < HANG_TIMEOUT_MS; ms += REST_MS) {
		uint64_t kb =
			status_kb(r->fleet->daemons[0].process.pid, "VmRSS");

		if (kb < before_kb + 1024 && before_kb < kb + 1024)
			return;
		before_kb = kb;
		for (uint32_t i = 0; i < REST_MS; i += 50) {
			take_peaks(r);
			sleep_ms(50);
		}
	}
}

void crowds_run(struct run *r)
{
	for (uint32_t i = 0; i < r->crowd_count; i++)
		crowd_connect(&r->crowds[i]);
	crowds_send(r);
	wait_memory_at_rest(r);
}

struct crowd_plan *add_crowd(struct run *r)
{
	struct crowd_plan *p = &r->crowds[r->crowd_count++].plan;

	p->port = daemon_port(r->fleet, 0);
	return p;
}

/* ---- ordinary requests ---- */

bool daemon_lives(struct run *r)
{
	struct process *p = &r->fleet->daemons[0].process;

	if (p->pid && waitpid(p->pid, &p->status, WNOHANG) == p->pid) {
		p->pid = 0;
		p->exited = true;
	}
	return p->pid;
}

bool request_is_answered(struct run *r, const struct buf *request)
{
	int64_t until_us = clock_now_us() + HANG_TIMEOUT_MS * US_PER_MS;
	bool answered = false;

	while (!answered && clock_now_us() < until_us && daemon_lives(r)) {
		struct http_conn c = { .fd = -1 };
		struct http_answer a;

		answered =
			http_exchange(&c, daemon_port(r->fleet, 0),
				      (char *)request->data, request->len_bytes,
				      HANG_TIMEOUT_MS, &a) == HTTP_COMPLETE &&
			a.status == 200;
		http_close(&c);
		http_answer_free(&a);
		if (!answered)
			sleep_ms(50);
	}
	return answered;
}

void expect(struct run *r, bool held, const char *what)
{
	if (held)
		return;
	r->good = false;
	fprintf(stderr, "# %s\n", what);
}

void expect_ordinary(struct run *r, const char *when)
{
	struct buf q = { 0 };
	char what[128];

	buf_append(&q, GET_STOCK, sizeof(GET_STOCK) - 1);
	snprintf(what, sizeof(what), "no answer to an ordinary request %s",
		 when);
	expect(r, request_is_answered(r, &q), what);
	buf_free(&q);
}
