#include <stdlib.h>
#include <string.h>

#include "front/front.h"
#include "attempt/attempt.h"

/* Retry-After for a refusal by a stopping daemon: the caller's next connection
 * reaches another daemon. */
#define RETRY_OTHER_DAEMON_US (50 * US_PER_MS)
/* Retry-After for other refusals is this time and a random part of up to the
 * same length, which spreads the retries. A daemon that starts has its
 * configuration after about half a second. */
#define RETRY_SAME_DAEMON_US (250 * US_PER_MS)
/* Time in which the issuer has to answer a status query. */
#define STATUS_QUERY_TIMEOUT_US (2 * US_PER_S)

void exchange_free(struct exchange *x)
{
	x->front->submitted_bytes -= x->submitted_bytes;
	memory_budget_change(&x->front->memory, x->held_bytes, 0);
	answer_free(x->answer);
	buf_free(&x->body);
	head_free(&x->head);
	free(x);
}

uint64_t exchange_held_bytes(const struct exchange *x)
{
	const struct answer *a = x->answer;

	return sizeof(*x) + x->head.text.cap_bytes + x->body.cap_bytes +
	       x->submitted_bytes +
	       (a ? sizeof(*a) + a->headers.cap_bytes + a->body.cap_bytes : 0);
}

/* ---- writing answers ---- */

/* The head is empty if the request was refused before it was parsed. */
static const char *correlation_or_dash(const struct exchange *x)
{
	const char *id = x->head.text.data ?
				 x->front->dialect->correlation(&x->head) :
				 NULL;

	return id ? id : "-";
}

static const char *target_or_dash(const struct exchange *x)
{
	return x->head.text.data ? head_target(&x->head) : "-";
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

/* Issues the ticket for the caller's next request, into `text`; NULL if it gets
 * none. A stopping daemon issues tickets only to callers that were refused
 * because they had none: if the handover of its ledger fails, its tickets are
 * lost. */
static const char *next_ticket(struct exchange *x, char *text)
{
	bool needed = x->answer->kind == ERR_TICKET_REQUIRED;

	if (x->gets_next_ticket && (needed || !front_is_stopping(x->front)) &&
	    ticket_issue(x->front->settings.ticket, x->organisation, x->rank,
			 text) == AZ_OK)
		return text;
	return NULL;
}

static void print_retry_after(const struct answer *a, struct buf *out)
{
	if (a->retry_after_us > 0)
		buf_printf(out, "Retry-After: %.3f\r\n",
			   (double)a->retry_after_us / (double)US_PER_S);
}

static void log_answer(const struct exchange *x, uint16_t status)
{
	const struct answer *a = x->answer;
	const struct error_info *e = error_info(a->kind);

	log_write(a->kind == ERR_NONE ? LOG_INFO : e->level, "front",
		  "request answered id=%s status=%u error=%s outcome=%s "
		  "rank=%s took_ms=%lld retry_after_ms=%lld path=%.120s",
		  correlation_or_dash(x), status, e->name,
		  outcome_name(a->outcome), rank_name(x->rank),
		  (long long)((clock_now_us() - x->started_us) / US_PER_MS),
		  (long long)(a->retry_after_us / US_PER_MS),
		  target_or_dash(x));
}

static bool has_no_body(const struct exchange *x, uint16_t status)
{
	return status / 100 == 1 || status == 204 || status == 304 ||
	       !strcmp(x->head.method, "HEAD");
}

bool exchange_write_answer(struct exchange *x, struct buf *out)
{
	bool copied = true;
	const struct caller_dialect_ops *d = x->front->dialect;
	struct answer *a = x->answer;
	uint16_t status = d->status(a);
	char ticket[TICKET_TEXT_MAX_BYTES];
	struct caller_answer source = {
		.answer = a,
		.correlation =
			x->head.text.data ? d->correlation(&x->head) : NULL,
		.next_ticket = next_ticket(x, ticket),
		.span = &x->span,
	};

	if (a->kind != ERR_NONE && !a->body.len_bytes)
		add_refusal_body(a);
	counter_add(a->kind == ERR_NONE ? x->front->answered :
					  x->front->refused,
		    1);
	histogram_add(x->front->latency, clock_now_us() - x->started_us);
	if (x->submitted || a->kind != ERR_NONE)
		log_answer(x, status);
	buf_printf(out, "HTTP/1.1 %u %s\r\n", status,
		   http_status_str((enum http_status)status));
	buf_append(out, a->headers.data, a->headers.len_bytes);
	d->add_headers(&source, out);
	print_retry_after(a, out);
	if (x->close_after)
		buf_printf(out, "Connection: close\r\n");
	if (status / 100 != 1 && status != 204)
		buf_printf(out, "Content-Length: %u\r\n", a->body.len_bytes);
	buf_append(out, "\r\n", 2);
	if (!has_no_body(x, status)) {
		copied = a->body.len_bytes <= ANSWER_COPIED_MAX_BYTES;
		if (copied)
			buf_append(out, a->body.data, a->body.len_bytes);
	}
	span_end(&x->span, "entry", error_info(a->kind)->name);
	return copied;
}

void exchange_refuse(struct exchange *x, enum error_kind k)
{
	x->answer = answer_new(k);
	if (k != ERR_NONE && !refusal_proves_not_run(k, x->has_ticket))
		x->answer->outcome = OUTCOME_UNKNOWN;
	/* If this daemon stops, the caller can retry with another one at once;
	 * otherwise a retry may succeed here after a short time. */
	if (error_info(k)->retryable && x->answer->outcome == OUTCOME_NOT_RUN)
		x->answer->retry_after_us =
			k == ERR_STOPPING ?
				RETRY_OTHER_DAEMON_US :
				RETRY_SAME_DAEMON_US +
					(int64_t)(random_u64() %
						  RETRY_SAME_DAEMON_US);
}

struct answer_msg {
	struct msg msg;
	struct exchange *exchange;
	struct answer *answer;
};

static void answer_run(struct msg *m, struct duty *to)
{
	struct answer_msg *a = az_container_of(m, struct answer_msg, msg);
	struct front *f = az_container_of(to, struct front, duty);

	a->exchange->answer = a->answer;
	front_conn_answered(a->exchange);
	/* Decremented only after the answer was passed to its connection, as a
	 * planned stop exits once no request is in flight. */
	__atomic_sub_fetch(&f->in_flight, 1, __ATOMIC_RELAXED);
	free(a);
}

/* Called only when the process ends; the caller's connection is closed then. */
static void answer_drop(struct msg *m)
{
	struct answer_msg *a = az_container_of(m, struct answer_msg, msg);

	__atomic_sub_fetch(&a->exchange->front->in_flight, 1, __ATOMIC_RELAXED);
	answer_free(a->answer);
	free(a);
}

static const struct msg_ops answer_ops = { "front-answer", answer_run,
					   answer_drop };

static void on_answer(struct reply_to *to, struct answer *a)
{
	struct exchange *x = az_container_of(to, struct exchange, reply);
	struct answer_msg *m = az_alloc(sizeof(*m));

	m->msg.ops = &answer_ops;
	m->exchange = x;
	m->answer = a;
	duty_send(&x->front->duty, &m->msg);
}

static const struct reply_ops reply_ops = { on_answer };

/* ---- submitting requests ---- */

/* To be called just before the request is submitted with `x->reply`. */
static void mark_submitted(struct exchange *x)
{
	x->reply.ops = &reply_ops;
	x->submitted = true;
	__atomic_add_fetch(&x->front->in_flight, 1, __ATOMIC_RELAXED);
}

static void ticket_status(struct exchange *x, const char *text)
{
	struct ticket t;

	x->has_ticket = true;
	if (ticket_parse(text, &t) != AZ_OK) {
		exchange_refuse(x, ERR_TICKET_MALFORMED);
		return;
	}
	mark_submitted(x);
	ticket_submit(x->front->settings.ticket, &t, NULL,
		      clock_now_us() + STATUS_QUERY_TIMEOUT_US, &x->reply);
}

static struct request *new_request(struct exchange *x,
				   const struct classification *cl)
{
	const struct caller_dialect_ops *d = x->front->dialect;
	const struct head *h = &x->head;
	struct request *q =
		request_new(h->method, head_target(h), cl->service->name);

	q->organisation = cl->organisation;
	q->rank = cl->rank;
	q->idempotent = cl->route->idempotent;
	q->deadline_us = cl->deadline_us;
	q->attempts_max = cl->route->attempts;
	if (cl->route->target_ms)
		q->target_us = x->started_us + cl->route->target_ms * US_PER_MS;
	q->host = az_strdup(head_value(h, "Host"));
	q->correlation = az_strdup(d->correlation(h));
	q->span = x->span;
	for (uint32_t i = 0; i < h->field_count; i++)
		if (d->forwards_header(head_name_at(h, i)))
			buf_printf(&q->headers, "%s: %s\r\n",
				   head_name_at(h, i), head_value_at(h, i));
	q->body = x->body;
	memset(&x->body, 0, sizeof(x->body));
	x->submitted_bytes = q->headers.cap_bytes + q->body.cap_bytes;
	x->front->submitted_bytes += x->submitted_bytes;
	return q;
}

static bool within_limit(struct front *f, const struct classification *cl,
			 int64_t now_us)
{
	const struct member_view *v;
	bool within;

	if (!cl->requests_per_s)
		return true;
	v = membership_view(f->settings.membership);
	within = limiter_take(f->limiter, cl->organisation, cl->requests_per_s,
			      cl->burst, v->member_count, now_us);
	member_view_release(v);
	return within;
}

static enum error_kind admit(struct exchange *x, const struct conf *conf,
			     const struct classification *cl, int64_t now_us)
{
	struct front *f = x->front;

	if (!conf_service_count(conf))
		return ERR_NOT_CONFIGURED;
	if (front_is_quiesced(f))
		return ERR_STOPPING;
	if (cl->disposition == FRONT_REFUSE)
		return cl->kind;
	if (!within_limit(f, cl, now_us))
		return ERR_OVER_LIMIT;
	if (front_in_flight(f) >= f->settings.in_flight_max ||
	    memory_budget_exceeded(&f->memory, MEMORY_SHORT))
		return ERR_OVERLOADED;
	return ERR_NONE;
}

static void submit_request(struct exchange *x, const struct classification *cl)
{
	struct front_settings *s = &x->front->settings;
	struct request *q = new_request(x, cl);

	mark_submitted(x);
	if (cl->disposition == FRONT_TICKET)
		ticket_submit(s->ticket, &cl->ticket, q, cl->deadline_us,
			      &x->reply);
	else
		x->attempt_id = attempts_submit(s->attempts, q, &x->reply);
}

void exchange_submit(struct exchange *x)
{
	struct front *f = x->front;
	int64_t now_us = clock_now_us();
	const char *path = head_target(&x->head);
	struct classification cl;
	enum error_kind k;
	struct conf *conf;

	counter_add(f->requests, 1);
	span_start(&x->span, head_value(&x->head, "traceparent"));
	if (f->dialect == front_own_dialect.ops) {
		if (!strcmp(path, HEALTH_PATH)) {
			exchange_refuse(x, front_health(f));
			return;
		}
		if (!strncmp(path, TICKET_PATH, strlen(TICKET_PATH)) &&
		    !strcmp(x->head.method, "GET")) {
			ticket_status(x, path + strlen(TICKET_PATH));
			return;
		}
	}
	conf = conf_current_get(f->settings.conf);
	cl = f->dialect->classify(conf, &x->head, now_us);
	k = admit(x, conf, &cl, now_us);
	x->has_ticket = cl.has_ticket;
	x->gets_next_ticket = cl.gets_next_ticket;
	x->organisation = cl.organisation;
	x->rank = cl.rank;
	if (k == ERR_NONE)
		submit_request(x, &cl);
	else
		exchange_refuse(x, k);
	conf_release(conf);
}
