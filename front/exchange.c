#include <stdlib.h>
#include <string.h>

#include "front/front.h"
#include "attempt/attempt.h"

/* A refused caller reaches another daemon on its next connection. */
#define RETRY_ELSEWHERE_US (50 * US_PER_MS)
/* Those that this daemon refuses for itself come back spread over as long
 * again: a daemon that starts knows its configuration in about half a second.
 */
#define RETRY_HERE_US (250 * US_PER_MS)

void exchange_free(struct exchange *x)
{
	x->front->body_bytes -= x->body.len_bytes;
	answer_free(x->answer);
	buf_free(&x->body);
	head_free(&x->head);
	free(x);
}

/* ---- answers ---- */

static const char *correlation(const struct exchange *x)
{
	const char *id = x->head.text.data ?
				 x->front->dialect->correlation(&x->head) :
				 NULL;

	return id ? id : "-";
}

static const char *target(const struct exchange *x)
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

/* A stopping daemon gives tickets only to those who cannot do without, as a
 * ticket is lost if the handover fails. */
static const char *next_ticket(struct exchange *x, char *text)
{
	bool needed = x->answer->kind == ERR_TICKET_REQUIRED;

	if (x->single && (needed || !front_is_stopping(x->front)) &&
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

static void log_end(const struct exchange *x, uint16_t status)
{
	const struct answer *a = x->answer;
	const struct error_info *e = error_info(a->kind);

	log_write(a->kind == ERR_NONE ? LOG_INFO : e->level, "front",
		  "answered id=%s status=%u error=%s outcome=%s rank=%s "
		  "took_ms=%lld retry_after_ms=%lld path=%.120s",
		  correlation(x), status, e->name, outcome_name(a->outcome),
		  rank_name(x->rank),
		  (long long)((clock_now_us() - x->begun_us) / US_PER_MS),
		  (long long)(a->retry_after_us / US_PER_MS), target(x));
}

static bool has_no_body(const struct exchange *x, uint16_t status)
{
	return status / 100 == 1 || status == 204 || status == 304 ||
	       !strcmp(x->head.method, "HEAD");
}

void exchange_print(struct exchange *x, struct buf *out)
{
	const struct caller_dialect_ops *d = x->front->dialect;
	struct answer *a = x->answer;
	uint16_t status = d->status(a);
	char ticket[TICKET_TEXT_MAX_BYTES];
	struct caller_answer facts = {
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
	histogram_add(x->front->latency, clock_now_us() - x->begun_us);
	if (x->submitted || a->kind != ERR_NONE)
		log_end(x, status);
	buf_printf(out, "HTTP/1.1 %u %s\r\n", status,
		   http_status_str((enum http_status)status));
	buf_append(out, a->headers.data, a->headers.len_bytes);
	d->add_headers(&facts, out);
	print_retry_after(a, out);
	if (x->close_after)
		buf_printf(out, "Connection: close\r\n");
	if (status / 100 != 1 && status != 204)
		buf_printf(out, "Content-Length: %u\r\n", a->body.len_bytes);
	buf_append(out, "\r\n", 2);
	if (!has_no_body(x, status))
		buf_append(out, a->body.data, a->body.len_bytes);
	span_end(&x->span, "entry", error_info(a->kind)->name);
}

void exchange_refuse(struct exchange *x, enum error_kind k)
{
	x->answer = answer_new(k);
	if (k != ERR_NONE && !refusal_proves_not_run(k, x->has_ticket))
		x->answer->outcome = OUTCOME_UNKNOWN;
	/* Another daemon can take it at once, or this one soon. */
	if (error_info(k)->retryable && x->answer->outcome == OUTCOME_NOT_RUN)
		x->answer->retry_after_us =
			k == ERR_STOPPING ?
				RETRY_ELSEWHERE_US :
				RETRY_HERE_US +
					(int64_t)(random_u64() % RETRY_HERE_US);
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
	/* Not before the answer is on its connection: a stop waits for it. */
	__atomic_sub_fetch(&f->in_flight, 1, __ATOMIC_RELAXED);
	free(a);
}

/* Only at the end of the process: the connection is closed with it. */
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

/* ---- requests ---- */

static void pass(struct exchange *x)
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
	pass(x);
	ticket_submit(x->front->settings.ticket, &t, NULL,
		      clock_now_us() + 2 * US_PER_S, &x->reply);
}

static struct request *new_request(struct exchange *x,
				   const struct classification *k)
{
	const struct caller_dialect_ops *d = x->front->dialect;
	const struct head *h = &x->head;
	struct request *q =
		request_new(h->method, head_target(h), k->service->name);

	q->organisation = k->organisation;
	q->rank = k->rank;
	q->idempotent = k->route->idempotent;
	q->deadline_us = k->deadline_us;
	q->attempts_max = k->route->attempts;
	if (k->route->target_ms)
		q->target_us = x->begun_us + k->route->target_ms * US_PER_MS;
	q->host = az_strdup(head_value(h, "Host"));
	q->correlation = az_strdup(d->correlation(h));
	q->span = x->span;
	for (uint32_t i = 0; i < h->field_count; i++)
		if (d->forwards_header(head_name_at(h, i)))
			buf_printf(&q->headers, "%s: %s\r\n",
				   head_name_at(h, i), head_value_at(h, i));
	x->front->body_bytes -= x->body.len_bytes;
	q->body = x->body;
	memset(&x->body, 0, sizeof(x->body));
	return q;
}

static bool within_limit(struct front *f, const struct classification *k,
			 int64_t now_us)
{
	const struct member_view *v;
	bool within;

	if (!k->requests_per_s)
		return true;
	v = membership_view(f->settings.membership);
	within = limiter_take(f->limiter, k->organisation, k->requests_per_s,
			      k->burst, v->member_count, now_us);
	member_view_release(v);
	return within;
}

static enum error_kind admit(struct exchange *x, const struct conf *conf,
			     const struct classification *k, int64_t now_us)
{
	struct front *f = x->front;

	if (!conf_service_count(conf))
		return ERR_NOT_CONFIGURED;
	if (front_is_quiesced(f))
		return ERR_STOPPING;
	if (k->disposition == FRONT_REFUSE)
		return k->kind;
	if (!within_limit(f, k, now_us))
		return ERR_OVER_LIMIT;
	if (front_in_flight(f) >= f->settings.in_flight_max)
		return ERR_OVERLOADED;
	return ERR_NONE;
}

static void pass_on(struct exchange *x, const struct classification *k)
{
	struct front_settings *s = &x->front->settings;
	struct request *q = new_request(x, k);

	pass(x);
	if (k->disposition == FRONT_TICKET)
		ticket_submit(s->ticket, &k->ticket, q, k->deadline_us,
			      &x->reply);
	else
		x->attempt_id = attempt_submit(s->attempts, q, &x->reply);
}

void exchange_submit(struct exchange *x)
{
	struct front *f = x->front;
	int64_t now_us = clock_now_us();
	const char *path = head_target(&x->head);
	struct classification k;
	enum error_kind e;
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
	k = f->dialect->classify(conf, &x->head, now_us);
	e = admit(x, conf, &k, now_us);
	x->has_ticket = k.has_ticket;
	x->single = k.single;
	x->organisation = k.organisation;
	x->rank = k.rank;
	if (e == ERR_NONE)
		pass_on(x, &k);
	else
		exchange_refuse(x, e);
	conf_release(conf);
}
