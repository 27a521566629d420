#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#include "fault/fault.h"

#define ANSWER_TIMEOUT_MS 20000 /* of one attempt */
#define RETRY_PAUSE_MS 50
#define REPEATS_MAX 200 /* attempts of an operation, or to get its ticket */
/* No attempt of an operation begins later than this after the first one. */
#define GIVE_UP_US (25 * US_PER_S)

/** A caller: runs one operation after the other and keeps a connection to each
 * daemon. */
struct caller {
	struct load *load;
	uint64_t random; /**< state of a xorshift generator; not 0 */
	struct http_conn conns[DAEMONS_MAX];
};

/* Random number from 0 to limit - 1. */
static uint32_t random_below(struct caller *c, uint32_t limit)
{
	c->random ^= c->random << 13;
	c->random ^= c->random >> 7;
	c->random ^= c->random << 17;
	return (uint32_t)((c->random >> 20) % limit);
}

/* ---- operations ---- */

struct operation *operation_new(struct load *l, bool is_payment)
{
	struct operation *p = NULL;

	pthread_mutex_lock(&l->lock);
	if (l->operation_count < OPERATIONS_MAX) {
		p = &l->operations[l->operation_count];
		p->id = l->operation_count++;
		p->is_payment = is_payment;
	}
	pthread_mutex_unlock(&l->lock);
	return p;
}

/* A read counts as started at once, a payment once it has a ticket. */
static void count_started(struct load *l)
{
	pthread_mutex_lock(&l->lock);
	l->started_count++;
	pthread_cond_broadcast(&l->changed);
	pthread_mutex_unlock(&l->lock);
}

static void operation_end(struct load *l, struct operation *p,
			  enum operation_outcome final)
{
	p->outcome = final;
	pthread_mutex_lock(&l->lock);
	l->ended_count++;
	pthread_cond_broadcast(&l->changed);
	pthread_mutex_unlock(&l->lock);
}

uint32_t operation_format_request(const struct load *l,
				  const struct operation *p, char *out,
				  uint32_t size)
{
	const char *org = l->options.organisation;
	char ticket[TICKET_TEXT_MAX_BYTES + 32] = "";
	char body[64];

	snprintf(body, sizeof(body), "amount=%u", p->id);
	if (*p->ticket_text)
		snprintf(ticket, sizeof(ticket), "Azurehold-Ticket: %s\r\n",
			 p->ticket_text);
	if (!p->is_payment)
		return (uint32_t)snprintf(
			out, size,
			"GET /stock/%u HTTP/1.1\r\nHost: x\r\n"
			"Azurehold-Run-Id: p%u\r\nAzurehold-Organisation: %s\r\n"
			"Authorization: Bearer %s-token\r\n\r\n",
			p->id, p->id, org, org);
	return (uint32_t)snprintf(
		out, size,
		"POST /payments HTTP/1.1\r\nHost: x\r\n"
		"Azurehold-Run-Id: p%u\r\nAzurehold-Organisation: %s\r\n"
		"Authorization: Bearer %s-token\r\n"
		"Azurehold-Deadline-Ms: %u\r\n%sContent-Length: %zu\r\n\r\n%s",
		p->id, org, org, l->options.deadline_ms, ticket, strlen(body),
		body);
}

/* Counts a worker's answer that belongs to another request, and keeps the
 * highest run number that answers have reported. */
static void check_answer(struct operation *p, const struct http_answer *a)
{
	json_t *o =
		json_loadb((char *)a->body.data, a->body.len_bytes, 0, NULL);
	const char *id = json_string_value(json_object_get(o, "run_id"));
	uint32_t run = (uint32_t)json_integer_value(json_object_get(o, "run"));
	char expected_id[32];

	snprintf(expected_id, sizeof(expected_id), "p%u", p->id);
	if (!id || strcmp(id, expected_id))
		p->crossed++;
	if (run > p->answered_runs)
		p->answered_runs = run;
	json_decref(o);
}

bool operation_record_answer(struct operation *p, const struct http_answer *a)
{
	if (!*a->error) {
		/* Most error answers of a worker have no run id to check. */
		if (a->status < 500)
			check_answer(p, a);
		p->outcome = OPERATION_RAN;
		return true;
	}
	snprintf(p->error, sizeof(p->error), "%s", a->error);
	if (!strcmp(a->outcome, outcome_name(OUTCOME_NOT_RUN))) {
		p->outcome = OPERATION_NOT_RUN;
		p->answered_not_run = true;
		return true;
	}
	p->outcome = OPERATION_UNKNOWN;
	/* 410: the ticket has expired or its issuer is gone, so no further
	 * attempt can tell the outcome. */
	return a->status == 410;
}

/* Counts an attempt as cut if its connection failed after the request was sent
 * to a daemon in a planned stop. A connection that had been idle for longer
 * than drain_ms does not count: the daemon may close it. Nor does one that was
 * last used before the process was started: it was cut by the kill of the
 * process before. */
static void count_cut(struct load *l, const struct operation *p, uint32_t n,
		      const struct http_conn *before)
{
	struct daemon *d = &l->fleet->daemons[n];
	int64_t idle_us = clock_now_us() - before->last_used_us;

	if (!__atomic_load_n(&d->stopping, __ATOMIC_ACQUIRE))
		return;
	if (before->last_used_us &&
	    (idle_us > l->fleet->options.drain_ms * US_PER_MS ||
	     before->last_used_us <
		     __atomic_load_n(&d->started_us, __ATOMIC_ACQUIRE)))
		return;
	log_write(
		LOG_ERROR, "caller",
		"planned stop cut a request piece=p%u daemon=d%u idle_ms=%lld",
		p->id, n,
		before->last_used_us ? (long long)(idle_us / US_PER_MS) : -1);
	pthread_mutex_lock(&l->lock);
	l->cut_count++;
	pthread_mutex_unlock(&l->lock);
}

/* Opens a connection if its daemon's health check answers 200, as a load
 * balancer in front of the daemons would. */
static bool open_healthy_conn(struct load *l, uint32_t n, struct http_conn *c)
{
	static const char request[] =
		"GET /.azurehold/health HTTP/1.1\r\nHost: x\r\n\r\n";
	struct http_answer a;
	enum http_result exchange_result;
	bool ok;

	if (c->close_announced)
		http_close(c);
	if (c->fd >= 0)
		return true;
	c->last_used_us = 0;
	exchange_result =
		http_exchange(c, daemon_port(l->fleet, n), request,
			      sizeof(request) - 1, ANSWER_TIMEOUT_MS, &a);
	ok = exchange_result == HTTP_COMPLETE && a.status == 200;
	if (!ok)
		http_close(c);
	http_answer_free(&a);
	return ok;
}

enum http_result operation_present(struct load *l, struct operation *p,
				   uint32_t n, struct http_conn *c,
				   struct http_answer *out)
{
	char request[1024];
	uint32_t len = operation_format_request(l, p, request, sizeof(request));
	struct http_conn before;
	enum http_result exchange_result;

	memset(out, 0, sizeof(*out));
	if (!open_healthy_conn(l, n, c))
		return HTTP_UNSENT;
	before = *c;
	p->attempts++;
	exchange_result = http_exchange(c, daemon_port(l->fleet, n), request,
					len, ANSWER_TIMEOUT_MS, out);
	if (exchange_result == HTTP_LOST)
		count_cut(l, p, n, &before);
	return exchange_result;
}

static bool get_ticket(struct load *l, struct operation *p, uint32_t n,
		       struct http_conn *c)
{
	struct http_answer a;
	bool ok;

	ok = operation_present(l, p, n, c, &a) == HTTP_COMPLETE &&
	     ticket_parse(a.ticket, &p->ticket) == AZ_OK;
	if (ok)
		memcpy(p->ticket_text, a.ticket, sizeof(p->ticket_text));
	http_answer_free(&a);
	return ok;
}

bool operation_get_ticket(struct load *l, struct operation *p, uint32_t n)
{
	struct http_conn c = { .fd = -1 };
	bool ok = false;

	for (uint32_t i = 0; !ok && i < REPEATS_MAX; i++) {
		ok = get_ticket(l, p, n, &c);
		if (!ok)
			sleep_ms(RETRY_PAUSE_MS);
	}
	http_close(&c);
	return ok;
}

/* True if daemon `n` answers a query for the ticket with the state unknown.
 * That state is final, so further attempts cannot tell more. */
static bool ledger_says_unknown(struct load *l, const struct operation *p,
				uint32_t n)
{
	char target[TICKET_TEXT_MAX_BYTES + 64];
	struct http_answer a;
	json_t *o = NULL;
	const char *state;
	bool is_unknown;

	if (!p->is_payment)
		return false;
	snprintf(target, sizeof(target), "/.azurehold/ticket/%s",
		 p->ticket_text);
	if (http_single_request(daemon_port(l->fleet, n), "GET", target, &a))
		o = json_loadb((char *)a.body.data, a.body.len_bytes, 0, NULL);
	state = json_string_value(json_object_get(o, "state"));
	is_unknown = state && !strcmp(state, "unknown");
	json_decref(o);
	http_answer_free(&a);
	return is_unknown;
}

/* Makes attempts, the first one through daemon `n`, the others through random
 * other daemons, until the outcome is known. */
static enum operation_outcome resolve(struct caller *c, struct operation *p,
				      uint32_t n)
{
	struct load *l = c->load;
	int64_t until_us = clock_now_us() + GIVE_UP_US;
	bool any_sent = false;

	for (uint32_t i = 0; i < REPEATS_MAX && clock_now_us() < until_us;
	     i++) {
		struct http_answer a;
		enum http_result exchange_result =
			operation_present(l, p, n, &c->conns[n], &a);
		bool ended = exchange_result == HTTP_COMPLETE &&
			     operation_record_answer(p, &a);

		any_sent = any_sent || exchange_result != HTTP_UNSENT;
		http_answer_free(&a);
		if (ended)
			return p->outcome;
		if (exchange_result == HTTP_COMPLETE &&
		    ledger_says_unknown(l, p, n))
			break;
		/* If nothing was sent, the first attempt and each
		 * daemon_count-th one after it go on without a pause. */
		if (exchange_result != HTTP_UNSENT ||
		    i % l->fleet->daemon_count)
			sleep_ms(RETRY_PAUSE_MS);
		n = (n + 1 + random_below(c, l->fleet->daemon_count - 1)) %
		    l->fleet->daemon_count;
		__atomic_add_fetch(&l->repeat_count, 1, __ATOMIC_RELAXED);
	}
	return any_sent ? OPERATION_UNKNOWN : OPERATION_NOT_RUN;
}

enum operation_outcome operation_resolve(struct load *l, struct operation *p,
					 uint32_t n)
{
	/* Any state but 0 will do. */
	struct caller c = { .load = l, .random = 88172645463325252U + p->id };

	for (uint32_t i = 0; i < DAEMONS_MAX; i++)
		c.conns[i].fd = -1;
	p->outcome = resolve(&c, p, n);
	for (uint32_t i = 0; i < DAEMONS_MAX; i++)
		http_close(&c.conns[i]);
	return p->outcome;
}

/* Daemon `n`, or a random one if `n` is negative. */
static uint32_t daemon_or_random(struct caller *c, int32_t n)
{
	return n >= 0 ? (uint32_t)n :
			random_below(c, c->load->fleet->daemon_count);
}

static void run_payment(struct caller *c, struct operation *p)
{
	struct load *l = c->load;
	uint32_t n = daemon_or_random(c, l->options.issuer);

	for (uint32_t i = 0; !get_ticket(l, p, n, &c->conns[n]); i++) {
		if (i == REPEATS_MAX ||
		    __atomic_load_n(&l->stop, __ATOMIC_ACQUIRE)) {
			/* A payment without a ticket never runs. */
			operation_end(l, p, OPERATION_NOT_RUN);
			return;
		}
		sleep_ms(RETRY_PAUSE_MS / 5);
		n = daemon_or_random(c, l->options.issuer);
	}
	count_started(l);
	/* Presents the ticket, often at another daemon than the issuer. */
	operation_end(l, p,
		      resolve(c, p, daemon_or_random(c, l->options.entry)));
}

/* ---- caller threads ---- */

static void *caller_main(void *arg)
{
	struct caller *c = arg;
	struct load *l = c->load;

	while (!__atomic_load_n(&l->stop, __ATOMIC_ACQUIRE)) {
		bool read = random_below(c, 100) < l->options.reads_percent;
		struct operation *p = operation_new(l, !read);

		if (!p)
			break;
		if (read) {
			count_started(l);
			operation_end(
				l, p,
				resolve(c, p,
					daemon_or_random(c, l->options.entry)));
		} else {
			run_payment(c, p);
		}
		if (l->options.think_ms)
			sleep_ms(random_below(c, l->options.think_ms + 1));
	}
	for (uint32_t i = 0; i < DAEMONS_MAX; i++)
		http_close(&c->conns[i]);
	free(c);
	return NULL;
}

void load_init(struct load *l, struct fleet *f, uint64_t seed)
{
	memset(l, 0, sizeof(*l));
	l->fleet = f;
	l->seed = seed;
	l->operations = calloc(OPERATIONS_MAX, sizeof(*l->operations));
	if (!l->operations)
		abort();
	l->options = (struct load_options){ .threads = 16,
					    .deadline_ms = 1500,
					    .think_ms = 10,
					    .organisation = "desk",
					    .issuer = -1,
					    .entry = -1 };
	pthread_mutex_init(&l->lock, NULL);
	pthread_cond_init(&l->changed, NULL);
}

void load_start(struct load *l, const struct load_options *o)
{
	if (o)
		l->options = *o;
	l->stop = 0;
	for (l->thread_count = 0; l->thread_count < l->options.threads;
	     l->thread_count++) {
		struct caller *c = calloc(1, sizeof(*c));

		if (!c)
			abort();
		c->load = l;
		c->random = hash_bytes(&l->thread_count,
				       sizeof(l->thread_count), l->seed) |
			    1;
		for (uint32_t i = 0; i < DAEMONS_MAX; i++)
			c->conns[i].fd = -1;
		if (pthread_create(&l->threads[l->thread_count], NULL,
				   caller_main, c))
			abort();
	}
}

/* Waits until the count is at least `at_least`, or `limit_ms`. */
static void wait_until(struct load *l, const uint32_t *count, uint32_t at_least,
		       uint32_t limit_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += limit_ms / 1000;
	until.tv_nsec += limit_ms % 1000 * 1000000L;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	pthread_mutex_lock(&l->lock);
	while (*count < at_least)
		if (pthread_cond_timedwait(&l->changed, &l->lock, &until))
			break;
	pthread_mutex_unlock(&l->lock);
}

void load_wait_ended(struct load *l, uint32_t n)
{
	uint32_t count_before;

	pthread_mutex_lock(&l->lock);
	count_before = l->ended_count;
	pthread_mutex_unlock(&l->lock);
	wait_until(l, &l->ended_count, count_before + n, HANG_TIMEOUT_MS);
}

void load_wait_started(struct load *l, uint32_t n, uint32_t limit_ms)
{
	uint32_t count_before;

	pthread_mutex_lock(&l->lock);
	count_before = l->started_count;
	pthread_mutex_unlock(&l->lock);
	wait_until(l, &l->started_count, count_before + n, limit_ms);
}

void load_stop(struct load *l)
{
	__atomic_store_n(&l->stop, 1, __ATOMIC_RELEASE);
	for (uint32_t i = 0; i < l->thread_count; i++)
		pthread_join(l->threads[i], NULL);
	l->thread_count = 0;
}

void load_free(struct load *l)
{
	free(l->operations);
}
