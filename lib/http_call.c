#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>

#include "lib/az.h"

/* Longest wait for the sockets before the call checks again whether it was
 * cancelled, in case the wake-up is lost. */
#define POLL_STEP_MS 1000
#define HEADERS_MAX 8

struct http_client {
	CURL *easy;
	CURLM *multi;
	int32_t cancellation_wanted; /**< atomic: enum cancellation */
};

enum cancellation {
	CANCEL_NONE,
	CANCEL_CURRENT,
	CANCEL_ALL,
};

struct http_client *http_client_create(void)
{
	struct http_client *h = az_alloc(sizeof(*h));

	curl_global_init(CURL_GLOBAL_DEFAULT);
	h->easy = curl_easy_init();
	h->multi = curl_multi_init();
	if (h->easy && h->multi)
		return h;
	http_client_destroy(h);
	return NULL;
}

void http_client_destroy(struct http_client *h)
{
	if (!h)
		return;
	curl_easy_cleanup(h->easy);
	curl_multi_cleanup(h->multi);
	free(h);
}

void http_client_cancel_all(struct http_client *h)
{
	__atomic_store_n(&h->cancellation_wanted, CANCEL_ALL, __ATOMIC_RELEASE);
	curl_multi_wakeup(h->multi);
}

void http_client_cancel_current(struct http_client *h)
{
	int32_t expected = CANCEL_NONE;

	__atomic_compare_exchange_n(&h->cancellation_wanted, &expected,
				    CANCEL_CURRENT, false, __ATOMIC_ACQ_REL,
				    __ATOMIC_ACQUIRE);
	curl_multi_wakeup(h->multi);
}

/* True if the call is to end. Clears CANCEL_CURRENT, which ends one call. */
static bool take_cancellation(struct http_client *h)
{
	int32_t expected = CANCEL_CURRENT;

	return __atomic_compare_exchange_n(&h->cancellation_wanted, &expected,
					   CANCEL_NONE, false, __ATOMIC_ACQ_REL,
					   __ATOMIC_ACQUIRE) ||
	       expected == CANCEL_ALL;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct http_call *c = arg;

	if (c->answer.len_bytes + size * n > c->answer_max_bytes)
		return 0;
	buf_append(&c->answer, data, (uint32_t)(size * n));
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct http_call *c = arg;
	size_t name_bytes = strlen(c->numeric_header);

	if (size * n > name_bytes + 1 && data[name_bytes] == ':' &&
	    !strncasecmp(data, c->numeric_header, name_bytes))
		c->header_value = strtoull(data + name_bytes + 1, NULL, 10);
	return size * n;
}

/* Runs a call. Uses curl's multi interface, as a call of curl_easy_perform()
 * cannot be woken up to be cancelled. */
static enum az_status run(struct http_client *h, struct http_call *c)
{
	CURLcode result = CURLE_OK;
	int running = 1;
	CURLMsg *m;
	long status = 0;
	int left;

	c->unsent = false;
	curl_multi_add_handle(h->multi, h->easy);
	while (running) {
		if (take_cancellation(h) ||
		    curl_multi_perform(h->multi, &running) != CURLM_OK)
			break;
		if (running)
			curl_multi_poll(h->multi, NULL, 0, POLL_STEP_MS, NULL);
	}
	while ((m = curl_multi_info_read(h->multi, &left)))
		if (m->msg == CURLMSG_DONE)
			result = m->data.result;
	curl_multi_remove_handle(h->multi, h->easy);
	if (running)
		return az_fail(AZ_AGAIN, "call cancelled");
	if (result == CURLE_OPERATION_TIMEDOUT)
		return az_fail(AZ_TIMEOUT, "%s", curl_easy_strerror(result));
	c->unsent = result == CURLE_COULDNT_CONNECT ||
		    result == CURLE_COULDNT_RESOLVE_HOST;
	if (result != CURLE_OK)
		return az_fail(AZ_IO, "%s", curl_easy_strerror(result));
	curl_easy_getinfo(h->easy, CURLINFO_RESPONSE_CODE, &status);
	c->status = (uint16_t)status;
	return AZ_OK;
}

/* Called by curl for each new socket. The kernel then detects a silent server,
 * so that a long poll needs no short time-out. */
static int keep_alive(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	(void)arg;
	(void)purpose;
	net_keep_alive(fd);
	return CURL_SOCKOPT_OK;
}

static void set_options(struct http_client *h, struct http_call *c)
{
	curl_easy_reset(h->easy);
	curl_easy_setopt(h->easy, CURLOPT_URL, c->url);
	curl_easy_setopt(h->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(h->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(h->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)c->connect_timeout_ms);
	curl_easy_setopt(h->easy, CURLOPT_TIMEOUT_MS, (long)c->timeout_ms);
	curl_easy_setopt(h->easy, CURLOPT_SOCKOPTFUNCTION, keep_alive);
	curl_easy_setopt(h->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h->easy, CURLOPT_WRITEDATA, c);
	if (c->numeric_header) {
		curl_easy_setopt(h->easy, CURLOPT_HEADERFUNCTION, on_header);
		curl_easy_setopt(h->easy, CURLOPT_HEADERDATA, c);
	}
	if (c->method)
		curl_easy_setopt(h->easy, CURLOPT_CUSTOMREQUEST, c->method);
	if (c->body) {
		curl_easy_setopt(h->easy, CURLOPT_POSTFIELDSIZE,
				 (long)c->body_bytes);
		curl_easy_setopt(h->easy, CURLOPT_POSTFIELDS, c->body);
	}
}

enum az_status http_call(struct http_client *h, struct http_call *c)
{
	struct curl_slist *headers = NULL;
	enum az_status s;

	buf_free(&c->answer);
	c->status = 0;
	c->header_value = 0;
	set_options(h, c);
	for (uint32_t i = 0; i < HEADERS_MAX && c->headers[i]; i++)
		headers = curl_slist_append(headers, c->headers[i]);
	if (c->body)
		headers = curl_slist_append(headers, "Expect:");
	curl_easy_setopt(h->easy, CURLOPT_HTTPHEADER, headers);
	s = run(h, c);
	curl_slist_free_all(headers);
	buf_append(&c->answer, "", 1);
	c->answer.len_bytes--;
	return s;
}
