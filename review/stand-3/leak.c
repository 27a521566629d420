/*
 * Clients that we don't control send requests with a header that is no HTTP,
 * while ordinary consumers place orders. Rule MIXED.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "stand.h"

#define CONSUMERS 4
#define CLIENTS 2
#define LAST_MS 15000

static struct worker workers[3];
static struct daemon daemon_1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int served;
static int refused;
static int foreign;
static char (*tokens)[32];
static int token_count;
#define TOKENS_MAX 100000

static void on_run(struct worker *w, const char *id, const char *via)
{
	(void)w;
	(void)id;
	(void)via;
}

/* An ordinary consumer: a new connection for each order, with a token of its
 * own. */
static void *consume(void *arg)
{
	int number = (int)(intptr_t)arg;

	while (now_ms() < LAST_MS) {
		struct connection c = { .fd = -1 };
		struct answer a;
		char id[17];
		char token[32];
		char via[64];

		new_id(id);
		snprintf(token, sizeof(token), "token-%s", id);
		pthread_mutex_lock(&lock);
		if (token_count < TOKENS_MAX)
			strcpy(tokens[token_count++], token);
		pthread_mutex_unlock(&lock);
		snprintf(via, sizeof(via), "d1\r\nAuthorization: Bearer %s",
			 token);
		if (connection_open(&c, 1, FRONT_PORT) &&
		    exchange(&c, number % 2 ? "POST" : "DELETE", "x.example",
			     "/ledger/1", id, via, 8000, number % 2 ? 300 : 0,
			     &a)) {
			pthread_mutex_lock(&lock);
			served += a.complete && a.status == 200;
			pthread_mutex_unlock(&lock);
			if (!a.complete || a.status != 200)
				record("order id=%s status=%d", id, a.status);
		}
		connection_close(&c);
		sleep_ms(20);
	}
	return NULL;
}

/* A token of another consumer in the text, or NULL. */
static const char *find_token(const char *text)
{
	const char *at = strstr(text, "token-");

	for (; at; at = strstr(at + 1, "token-"))
		for (int i = 0; i < token_count; i++)
			if (!strncmp(at, tokens[i], strlen(tokens[i])))
				return tokens[i];
	return NULL;
}

static void record_bytes(const char *what, const char *data, size_t n)
{
	char text[4096];
	size_t k = 0;

	for (size_t i = 0; i < n && k < sizeof(text) - 5; i++) {
		if (data[i] >= ' ' && data[i] <= '~')
			text[k++] = data[i];
		else
			k += (size_t)sprintf(text + k, "\\x%02x",
					     (unsigned char)data[i]);
	}
	text[k] = '\0';
	record("%s %s", what, text);
}

/* A client that we don't control. Its header has a character that no header may
 * have, or its body has a length and is in chunks too. It takes the answer, then
 * closes. */
static void *misbehave(void *arg)
{
	char id[32];
	int number = (int)(intptr_t)arg;

	while (now_ms() < LAST_MS) {
		struct connection c = { .fd = -1 };
		char request[1024];
		char path[512];
		char answer[8192];
		size_t n = 0;
		ssize_t got = 0;
		const char *token;
		int len;

		snprintf(id, sizeof(id), "client-%d-%u", number,
			 random_below(100000));
		memset(path, 'p', sizeof(path));
		path[random_below(2) * 300] = '\0';
		len = snprintf(request, sizeof(request),
			       "GET /ledger/1%s HTTP/1.1\r\nHost: x.example\r\n"
			       "%sX-Request-Id: %s\r\n%s\r\n",
			       path,
			       number % 2 ? "Content-Length: 5\r\n"
					    "Transfer-Encoding: chunked\r\n" :
					    "",
			       id, number % 2 ? "" : "na@me: value\r\n");
		if (connection_open(&c, 1, FRONT_PORT) &&
		    send(c.fd, request, (size_t)len, MSG_NOSIGNAL) == len) {
			do {
				got = recv(c.fd, answer + n,
					   sizeof(answer) - 1 - n, 0);
				n += got > 0 ? (size_t)got : 0;
			} while (got > 0 && n < sizeof(answer) - 1);
			answer[n] = '\0';
			pthread_mutex_lock(&lock);
			refused += n > 0;
			token = find_token(answer);
			foreign += token != NULL;
			pthread_mutex_unlock(&lock);
			if (token) {
				record("MIXED the answer to %s has %s", id,
				       token);
				record_bytes("  the answer:", answer, n);
			}
		}
		connection_close(&c);
		sleep_ms(100);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS + CLIENTS];
	int count = CONSUMERS + (stand_trouble() ? CLIENTS : 0);

	tokens = calloc(TOKENS_MAX, sizeof(*tokens));
	stand_begin(argc, argv);
	store_start();
	for (int i = 0; i < 3; i++) {
		struct worker *w = &workers[i];

		w->host = 100 + i;
		snprintf(w->name, sizeof(w->name), "i-%d", i);
		strcpy(w->service, "ledger");
		strcpy(w->zone, "a1");
		w->work_min_ms = 20;
		w->work_max_ms = 60;
		w->answer_bytes = 400;
		w->on_run = on_run;
		worker_start(w);
		worker_enter(w, 0);
	}
	store_put("config", "main",
		  "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\","
		  "\"host\",\"path-prefix\",\"kind\",\"timeout\","
		  "\"target-latency\",\"priority\",\"service\","
		  "\"max-attempts\",\"traffic-split\"],\"rows\":[[\"r-1\","
		  "\"x.example\",\"/ledger/\",\"non_idempotent\",\"8000ms\","
		  "\"5000ms\",0,\"ledger\",2,null]]},\"services\":{\"columns\":["
		  "\"name\",\"health-path\",\"max-connections\",\"protocol\","
		  "\"tls\"],\"rows\":[[\"ledger\",\"/health\",390,\"h1\",false]"
		  "]},\"limits\":{\"max-header-bytes\":16384,"
		  "\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\","
		  "\"idle-timeout\":\"15000ms\"}}");
	daemon_1.host = 1;
	strcpy(daemon_1.name, "d1");
	strcpy(daemon_1.zone, "a1");
	strcpy(daemon_1.region, "a");
	strcpy(daemon_1.seeds, "1");
	daemon_write_settings(&daemon_1);
	daemon_start(&daemon_1);
	if (!daemon_wait_ready(&daemon_1, 15000))
		stand_end(2);
	sleep_ms(4500);
	for (int i = 0; i < count; i++)
		pthread_create(&threads[i], NULL,
			       i < CONSUMERS ? consume : misbehave,
			       (void *)(intptr_t)i);
	for (int i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	record("orders served=%d, other clients' requests answered=%d, of these "
	       "with the token of an ordinary consumer=%d",
	       served, refused, foreign);
	if (!served || (stand_trouble() && !refused))
		stand_end(2);
	stand_end(foreign ? 1 : 0);
}
