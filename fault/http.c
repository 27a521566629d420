#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <http_parser.h>

#include "fault/fault.h"

/** State of the parser of one answer. */
struct answer_parser {
	struct http_answer *answer;
	char field[64]; /**< name of the current header */
	bool in_value; /**< the name is complete */
	bool complete;
};

/* Appends `n` bytes to a string; drops what exceeds its `size`. */
static void append_text(char *to, size_t size, const char *at, size_t n)
{
	size_t len = strlen(to);

	if (n > size - len - 1)
		n = size - len - 1;
	memcpy(to + len, at, n);
	to[len + n] = '\0';
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct answer_parser *r = p->data;

	if (r->in_value)
		*r->field = '\0';
	r->in_value = false;
	append_text(r->field, sizeof(r->field), at, n);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct answer_parser *r = p->data;
	struct http_answer *a = r->answer;

	r->in_value = true;
	if (!strcasecmp(r->field, "Azurehold-Outcome"))
		append_text(a->outcome, sizeof(a->outcome), at, n);
	else if (!strcasecmp(r->field, "Azurehold-Error"))
		append_text(a->error, sizeof(a->error), at, n);
	else if (!strcasecmp(r->field, "Azurehold-Ticket"))
		append_text(a->ticket, sizeof(a->ticket), at, n);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct answer_parser *r = p->data;

	buf_append(&r->answer->body, at, (uint32_t)n);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct answer_parser *r = p->data;

	/* An interim answer (1xx); the final one follows. */
	if (p->status_code / 100 == 1)
		return 0;
	r->complete = true;
	r->answer->status = (uint16_t)p->status_code;
	r->answer->connection_close = !http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http_close(struct http_conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

void http_answer_free(struct http_answer *a)
{
	buf_free(&a->body);
	memset(a, 0, sizeof(*a));
}

int32_t http_connect(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Waits for an event of the socket; false at `until_us` or on an error. */
static bool wait_events(int32_t fd, int16_t events, int64_t until_us)
{
	int64_t left_us = until_us - clock_now_us();
	struct pollfd p = { .fd = fd, .events = events };

	return left_us > 0 && poll(&p, 1, (int)(left_us / US_PER_MS) + 1) > 0;
}

static enum http_result send_all(int32_t fd, const char *data, uint32_t n,
				 int64_t until_us)
{
	uint32_t sent = 0;

	while (sent < n) {
		ssize_t sent_now = send(fd, data + sent, n - sent,
					MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent_now > 0)
			sent += (uint32_t)sent_now;
		else if (errno != EAGAIN || !wait_events(fd, POLLOUT, until_us))
			return sent ? HTTP_LOST : HTTP_UNSENT;
	}
	return HTTP_COMPLETE;
}

static enum http_result read_answer(int32_t fd, int64_t until_us,
				    struct http_answer *out)
{
	struct answer_parser r = { .answer = out };
	http_parser p;
	char data[16384];

	http_parser_init(&p, HTTP_RESPONSE);
	p.data = &r;
	while (!r.complete) {
		ssize_t n;

		if (!wait_events(fd, POLLIN, until_us))
			return HTTP_LOST;
		n = recv(fd, data, sizeof(data), 0);
		if (n <= 0)
			return HTTP_LOST;
		http_parser_execute(&p, &settings, data, (size_t)n);
		if (!r.complete && HTTP_PARSER_ERRNO(&p) != HPE_OK)
			return HTTP_LOST;
	}
	return HTTP_COMPLETE;
}

enum http_result http_exchange(struct http_conn *c, uint16_t port,
			       const char *request, uint32_t len_bytes,
			       int32_t timeout_ms, struct http_answer *out)
{
	int64_t until_us = clock_now_us() + timeout_ms * US_PER_MS;
	enum http_result exchange_result;

	memset(out, 0, sizeof(*out));
	if (c->fd >= 0 && c->close_announced)
		http_close(c);
	if (c->fd < 0) {
		c->fd = http_connect(port);
		c->close_announced = false;
		if (c->fd < 0)
			return HTTP_UNSENT;
	}
	exchange_result = send_all(c->fd, request, len_bytes, until_us);
	if (exchange_result == HTTP_COMPLETE)
		exchange_result = read_answer(c->fd, until_us, out);
	if (exchange_result != HTTP_COMPLETE) {
		http_close(c);
		return exchange_result;
	}
	c->close_announced = out->connection_close;
	c->last_used_us = clock_now_us();
	return exchange_result;
}

bool http_single_request(uint16_t port, const char *method, const char *target,
			 struct http_answer *out)
{
	struct http_conn c = { .fd = -1 };
	char request[512];
	int n = snprintf(request, sizeof(request),
			 "%s %s HTTP/1.1\r\nHost: x\r\n"
			 "Content-Length: 0\r\nConnection: close\r\n\r\n",
			 method, target);
	enum http_result exchange_result =
		http_exchange(&c, port, request, (uint32_t)n, 10000, out);

	http_close(&c);
	return exchange_result == HTTP_COMPLETE && out->status == 200;
}
