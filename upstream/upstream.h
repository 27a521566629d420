/**
 * @file
 * HTTP/1.1 client for workers: pooled connections with one request at a time on
 * each. The result of a failed request states whether the worker may have
 * received it.
 */
#ifndef UPSTREAM_UPSTREAM_H
#define UPSTREAM_UPSTREAM_H

#include "lib/az.h"

/** How a request ended. The log shows the number as fault=, so that a value
 * keeps its number. */
enum upstream_fault {
	UPSTREAM_OK, /**< complete answer */
	UPSTREAM_CONNECT_REFUSED, /**< or the connect failed otherwise */
	UPSTREAM_CONNECT_TIMEOUT,
	UPSTREAM_CLOSED_UNSENT, /**< closed before the request's first byte */
	UPSTREAM_CLOSED, /**< closed after part of the request was written */
	UPSTREAM_TRUNCATED, /**< answer malformed, or closed before its end */
	UPSTREAM_TIMEOUT, /**< connected; no complete answer in time */
	UPSTREAM_TOO_LARGE, /**< more bytes than an answer may have */
	UPSTREAM_CANCELLED = 9, /**< after part of the request was written; 8 is
				   not used */
	UPSTREAM_CANCELLED_UNSENT, /**< before the request's first byte */
};

/** True if the worker has certainly received nothing of the request. */
bool upstream_fault_is_not_run(enum upstream_fault f);

/* ---- protocol dialects of workers ---- */

/** Whether an answer carries the id of the request that it is read for. */
enum request_id_state {
	REQUEST_ID_ABSENT, /**< the answer carries no id */
	REQUEST_ID_MATCHES,
	REQUEST_ID_DIFFERS,
	REQUEST_ID_AMBIGUOUS, /**< the answer carries several that differ */
};

/** The state after a further id of the answer, which matches that of the
 * request or not. */
enum request_id_state request_id_add(enum request_id_state s, bool matches);

/** What the headers of a worker's answer state. */
struct worker_headers {
	enum request_id_state request_id;
	bool not_run; /**< the worker says that it did not run the request */
	bool has_signature; /**< the worker has signed the answer */
	/** The body has an encoding that was not requested. */
	bool has_content_encoding;
	bool worker_id_differs; /**< not that of the expected worker */
	bool worker_leaving; /**< the worker will exit and wants no further
				requests */
	bool has_load; /**< the next three fields are set */
	uint32_t running; /**< requests that the worker runs */
	uint32_t waiting; /**< requests in the worker's queue */
	uint32_t slots; /**< requests that the worker can run at once */
	/** Requests that the worker takes from all daemons together, in
	 * thousandths per second; 0: it names no limit. */
	uint32_t limit_mrps;
	/** Time for which the worker wants no requests from this daemon, if the
	 * status is 503; 0: not stated. */
	uint32_t retry_after_ms;
	/** How long the worker keeps an idle connection; 0: not stated. */
	uint32_t keep_alive_s;
};

/** What a complete answer means. The log shows the number as verdict=. */
enum worker_verdict {
	WORKER_ANSWERED, /**< the worker's answer to this request */
	WORKER_DID_NOT_RUN,
	WORKER_ID_MISMATCH, /**< another worker has the address; not run */
	WORKER_ANSWER_INVALID, /**< not a valid answer; it may have run */
};

struct upstream_request;

/** How one protocol that workers use names headers and marks answers. */
struct worker_dialect_ops {
	const char *name;
	/** An answer without a length is valid and ends at the connection's
	 * end. */
	bool allows_close_delimited;
	/** Answers carry the id of their request. */
	bool identifies_requests;
	/** Appends the headers that the daemon adds to those of the caller. */
	void (*write_fleet_headers)(const struct upstream_request *u,
				    int64_t left_ms, struct buf *out);
	/** Records a header in `h`; false if it is not forwarded to the caller.
	 */
	bool (*read_header)(const struct upstream_request *u, const char *name,
			    const char *value, struct worker_headers *h);
	/** Judges a complete answer by its headers and its body. */
	enum worker_verdict (*classify_answer)(const struct upstream_request *u,
					       const struct answer *a,
					       const struct worker_headers *h);
};

struct worker_dialect {
	const struct worker_dialect_ops *ops;
};

/** The protocol of this project, with Azurehold- headers (own.c). */
extern const struct worker_dialect upstream_own_dialect;

struct upstream_result {
	uint64_t token; /**< of the upstream_request */
	enum upstream_fault fault;
	struct answer *answer; /**< owned by the receiver; NULL after a fault */
	int64_t connect_us; /**< 0 on a reused connection */
	int64_t total_us; /**< from the start, with the connect time */
	bool fresh; /**< sent on a new connection */
	struct worker_headers header_info;
	enum worker_verdict verdict; /**< of an UPSTREAM_OK answer */
};

struct upstream_sink;

/** Receiver of results. */
struct upstream_sink_ops {
	/** Receives ownership of a result. Runs in the upstream thread; must
	 * not block. */
	void (*done)(struct upstream_sink *sink, struct upstream_result *r);
};

struct upstream_sink {
	const struct upstream_sink_ops *ops;
};

struct upstream_request {
	uint64_t token; /**< unique for the sink; for upstream_cancel() */
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port;
	uint32_t connect_timeout_ms;
	int64_t deadline_us;
	uint32_t idle_max; /**< idle connections kept to this worker */
	bool fresh; /**< use a new connection */
	/** Name of the expected worker, for a dialect that sends it or compares
	 * it with the name in the answer; or NULL. Must live until done(). */
	const char *expected_worker_id;
	/** Must live until done(). NULL: only connects, to test that. */
	const struct request *request;
	struct upstream_sink *sink;
};

struct upstream;

struct upstream *upstream_create(struct timer_service *timers,
				 apr_pool_t *pool);
/** To be called before upstream_start(). The default is upstream_own_dialect.
 */
void upstream_set_dialect(struct upstream *u, const struct worker_dialect *d);
/** To be called before upstream_start(). `memory_bytes` is what the process may
 * use in all; the default is 256 MiB. */
void upstream_set_memory(struct upstream *u, uint64_t memory_bytes);
enum az_status upstream_start(struct upstream *u);
void upstream_stop(struct upstream *u);
/** To be called after upstream_stop(), when no thread can send any more. */
void upstream_destroy(struct upstream *u);
/** Sends a request; never sends it again once its first byte was written.
 * done() is called exactly once, unless AZ_FULL is returned. */
enum az_status upstream_send(struct upstream *u,
			     const struct upstream_request *r);
/** Closes the connection of a request in flight; done() is still called. */
void upstream_cancel(struct upstream *u, uint64_t token);

#endif
