#include <strings.h>

#include "upstream/upstream.h"

static void own_write_fleet_headers(const struct upstream_request *u,
				    int64_t left_ms, struct buf *out)
{
	const struct request *q = u->request;
	char trace[56];

	span_format(&q->span, trace);
	buf_printf(out, "Host: %u.%u.%u.%u:%u\r\n", u->ip >> 24,
		   u->ip >> 16 & 255, u->ip >> 8 & 255, u->ip & 255, u->port);
	buf_printf(out, "traceparent: %s\r\nAzurehold-Deadline-Ms: %lld\r\n",
		   trace, (long long)left_ms);
}

static bool own_read_header(const struct upstream_request *u, const char *name,
			    const char *value, struct worker_headers *h)
{
	(void)u;
	if (!strcasecmp(name, "azurehold-limit")) {
		if (rate_parse(value, &h->limit_mrps) != AZ_OK)
			log_write(LOG_WARN, "upstream",
				  "ignored an invalid limit of a worker "
				  "reason=%s",
				  az_last_message());
		return false;
	}
	if (!strcasecmp(name, "azurehold-draining")) {
		h->worker_leaving = true;
		return false;
	}
	return strcasecmp(name, "azurehold-outcome") &&
	       strcasecmp(name, "azurehold-error") &&
	       strcasecmp(name, "azurehold-ticket");
}

static enum worker_verdict own_classify_answer(const struct upstream_request *u,
					       const struct answer *a,
					       const struct worker_headers *h)
{
	(void)u;
	(void)a;
	(void)h;
	return WORKER_ANSWERED;
}

static const struct worker_dialect_ops own_ops = {
	.name = "azurehold",
	.write_fleet_headers = own_write_fleet_headers,
	.read_header = own_read_header,
	.classify_answer = own_classify_answer,
};

const struct worker_dialect upstream_own_dialect = { &own_ops };
