#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "front/front.h"

static bool is_one_of(const char *name, const char *const *list)
{
	for (; *list; list++)
		if (!strcasecmp(name, *list))
			return true;
	return false;
}

bool front_is_hop_header(const char *name)
{
	static const char *const names[] = {
		"connection",
		"keep-alive",
		"transfer-encoding",
		"content-length",
		"trailer",
		"upgrade",
		"te",
		"expect",
		"proxy-connection",
		"proxy-authenticate",
		NULL,
	};

	return is_one_of(name, names);
}

static struct classification own_classify(const struct conf *c,
					  const struct head *h, int64_t now_us)
{
	struct caller_input in = {
		.method = h->method,
		.host = head_value(h, "Host"),
		.path = head_target(h),
		.organisation = head_value(h, HEADER_ORGANISATION),
		.authorization = head_value(h, "Authorization"),
		.rank = head_value(h, HEADER_RANK),
		.deadline_ms = head_value(h, HEADER_DEADLINE),
		.ticket = head_value(h, HEADER_TICKET),
	};

	return classify(c, &in, now_us);
}

static bool own_forwards_header(const char *header)
{
	static const char *const own[] = {
		"host",
		"traceparent",
		"authorization",
		HEADER_TICKET,
		HEADER_OUTCOME,
		HEADER_RANK,
		HEADER_DEADLINE,
		HEADER_ERROR,
		HEADER_ORGANISATION,
		NULL,
	};

	return !front_is_hop_header(header) && !is_one_of(header, own);
}

static const char *own_correlation(const struct head *h)
{
	(void)h;
	return NULL;
}

static uint16_t own_status(const struct answer *a)
{
	return a->http_status;
}

static void own_add_headers(const struct caller_answer *c, struct buf *out)
{
	const struct answer *a = c->answer;
	char trace[56];

	buf_printf(out, HEADER_OUTCOME ": %s\r\n", outcome_name(a->outcome));
	if (a->kind != ERR_NONE)
		buf_printf(out, HEADER_ERROR ": %s\r\n",
			   error_info(a->kind)->name);
	if (c->next_ticket)
		buf_printf(out, HEADER_TICKET ": %s\r\n", c->next_ticket);
	span_format(c->span, trace);
	buf_printf(out, "traceparent: %s\r\n", trace);
}

static const struct caller_dialect_ops own_ops = {
	"azurehold",	 own_classify, own_forwards_header,
	own_correlation, own_status,   own_add_headers,
};

const struct caller_dialect front_own_dialect = { &own_ops };
