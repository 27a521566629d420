/**
 * @file
 * HTTP/1.1 client for workers: pooled connections with one request at a time on
 * each. A failed request is reported with what is certain about it: whether the
 * worker cannot have seen it, or may have.
 */
#ifndef UPSTREAM_UPSTREAM_H
#define UPSTREAM_UPSTREAM_H

#include "lib/az.h"

enum upstream_fault {
	UPSTREAM_OK, /**< complete answer */
	UPSTREAM_CONNECT_REFUSED,
	UPSTREAM_CONNECT_TIMEOUT,
	UPSTREAM_CLOSED_UNSENT, /**< closed before the request's first byte */
	UPSTREAM_CLOSED, /**< closed after part of the request was written */
	UPSTREAM_TRUNCATED, /**< answer malformed, or closed before its end */
	UPSTREAM_TIMEOUT,
	UPSTREAM_TOO_LARGE,
	UPSTREAM_CANCELLED = 9, /**< logs show the number; 8 is not used */
	UPSTREAM_CANCELLED_UNSENT, /**< before the request's first byte */
};

/** True if the worker cannot have seen the request. */
bool upstream_fault_is_not_run(enum upstream_fault f);

/* ---- protocol dialects of workers ---- */

/** Compares the request id in an answer with that of the request. */
enum request_id_state {
	REQUEST_ID_ABSENT, /**< the answer names no request */
	REQUEST_ID_MATCHES,
	REQUEST_ID_DIFFERS,
};

/** What the headers of a worker's answer state. */
struct worker_headers {
	enum request_id_state request_id;
	bool not_run; /**< the worker says that it did not run the request */
	bool has_signature;
	/** The body has an encoding that was not requested. */
	bool has_content_encoding;
	bool worker_id_differs; /**< another worker has this address */
	bool worker_draining;
	bool has_load; /**< the next three fields are set */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t keep_alive_s; /**< kept when idle; 0: not stated */
};

enum worker_verdict {
	WORKER_ANSWERED,
	WORKER_DID_NOT_RUN,
	WORKER_ID_MISMATCH, /**< another worker has the address; not run */
	WORKER_ANSWER_INVALID, /**< not a valid answer to this request */
};

struct upstream_request;

struct worker_dialect_ops {
	const char *name;
	/** The end of the connection ends an answer without a length. */
	bool allows_close_delimited;
	/** Adds the headers that the fleet sets. */
	void (*write_fleet_headers)(const struct upstream_request *u,
				    int64_t left_ms, struct buf *out);
	/** Records a header in `h`; false if it is not forwarded to the caller.
	 */
	bool (*read_header)(const struct upstream_request *u, const char *name,
			    const char *value, struct worker_headers *h);
	enum worker_verdict (*classify_answer)(const struct upstream_request *u,
					       const struct answer *a,
					       const struct worker_headers *h);
};

struct worker_dialect {
	const struct worker_dialect_ops *ops;
};

/** The dialect of this project (own.c). */
extern const struct worker_dialect upstream_own_dialect;

struct upstream_result {
	uint64_t token; /**< of the upstream_request */
	enum upstream_fault fault;
	struct answer *answer; /**< owned by the receiver; NULL after a fault */
	int64_t connect_us; /**< 0 on a reused connection */
	int64_t total_us;
	bool fresh; /**< sent on a new connection */
	bool draining; /**< the worker said that it drains */
	struct worker_headers header_info;
	enum worker_verdict verdict; /**< of an UPSTREAM_OK answer */
};

struct upstream_sink;

struct upstream_sink_ops {
	/** Receives ownership of a result. Runs in the upstream thread; must
	 * not block. */
	void (*done)(struct upstream_sink *k, struct upstream_result *r);
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
	/** Id of the expected worker, or NULL. Must live until done(). */
	const char *expected_worker_id;
	/** Must live until done(); NULL only tests the connection. */
	const struct request *request;
	struct upstream_sink *sink;
};

struct upstream;

struct upstream *upstream_create(struct timer_service *timers,
				 apr_pool_t *pool);
/** To be called before upstream_start(). The default is upstream_own_dialect.
 */
void upstream_set_dialect(struct upstream *u, const struct worker_dialect *d);
enum az_status upstream_start(struct upstream *u);
void upstream_stop(struct upstream *u);
/** To be called after upstream_stop(), when no thread can send any more. */
void upstream_destroy(struct upstream *u);
/** Sends a request once and never retries it. done() is called exactly once,
 * unless AZ_FULL is returned. */
enum az_status upstream_send(struct upstream *u,
			     const struct upstream_request *r);
/** Closes the connection of a request in flight; done() is still called. */
void upstream_cancel(struct upstream *u, uint64_t token);

#endif
