/**
 * @file
 * HTTP/1.1 to workers: pooled connections, one request on each at a time, and
 * what is certain about a request that failed.
 */
#ifndef UPSTREAM_UPSTREAM_H
#define UPSTREAM_UPSTREAM_H

#include "lib/az.h"

enum upstream_fault {
	UPSTREAM_OK, /**< whole answer */
	UPSTREAM_CONNECT_REFUSED,
	UPSTREAM_CONNECT_TIMEOUT,
	UPSTREAM_CLOSED_UNSENT, /**< closed before a byte of it was written */
	UPSTREAM_CLOSED, /**< closed after a byte of it was written */
	UPSTREAM_TRUNCATED, /**< closed or malformed inside the answer */
	UPSTREAM_TIMEOUT,
	UPSTREAM_TOO_LARGE,
	UPSTREAM_CANCELLED = 9, /**< logs show the number; 8 is not used */
	UPSTREAM_CANCELLED_UNSENT, /**< before a byte of it was written */
};

/** True if the worker cannot have seen the request. */
bool upstream_fault_is_not_run(enum upstream_fault f);

/* ---- how workers speak ---- */

/** Which request an answer says that it belongs to. */
enum request_id_state {
	REQUEST_ID_ABSENT,
	REQUEST_ID_MATCHES,
	REQUEST_ID_DIFFERS,
};

/** What the headers of an answer tell. */
struct worker_headers {
	enum request_id_state request_id;
	bool not_run; /**< the worker says that it did not run the request */
	bool has_signature; /**< it vouches for the answer */
	bool has_content_encoding; /**< the body has an encoding that was not
				      asked for */
	bool worker_id_differs; /**< another worker has the address */
	bool worker_draining;
	bool has_load; /**< the next three are said */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t keep_alive_s; /**< idle connections last so long; 0: unsaid */
};

enum worker_verdict {
	WORKER_ANSWERED,
	WORKER_DID_NOT_RUN,
	WORKER_ID_MISMATCH, /**< at this address; it did not run the request */
	WORKER_ANSWER_INVALID, /**< no answer of this worker to this request */
};

struct upstream_request;

struct worker_dialect_ops {
	const char *name;
	/** An answer without a length ends with its connection. */
	bool allows_close_delimited;
	/** Adds the headers that the fleet sets. */
	void (*write_fleet_headers)(const struct upstream_request *u,
				    int64_t left_ms, struct buf *out);
	/** Takes note of a header; false if it does not go to the caller. */
	bool (*read_header)(const struct upstream_request *u, const char *name,
			    const char *value, struct worker_headers *s);
	enum worker_verdict (*classify_answer)(const struct upstream_request *u,
					       const struct answer *a,
					       const struct worker_headers *s);
};

struct worker_dialect {
	const struct worker_dialect_ops *ops;
};

/** The project's own (own.c). */
extern const struct worker_dialect upstream_own_dialect;

struct upstream_result {
	uint64_t token; /**< the sender's, as given */
	enum upstream_fault fault;
	struct answer *answer; /**< owned by the receiver; NULL unless OK */
	int64_t connect_us; /**< 0 on a reused connection */
	int64_t total_us;
	bool fresh;
	bool draining; /**< the worker said that it is leaving */
	struct worker_headers signs;
	enum worker_verdict verdict; /**< of an UPSTREAM_OK answer */
};

struct upstream_sink;

struct upstream_sink_ops {
	/** Runs in the upstream thread; must not block. */
	void (*done)(struct upstream_sink *k, struct upstream_result *r);
};

struct upstream_sink {
	const struct upstream_sink_ops *ops;
};

struct upstream_request {
	uint64_t token; /**< unique for the sink; names it in a cancel */
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port;
	uint32_t connect_timeout_ms;
	int64_t deadline_us;
	uint32_t idle_max; /**< idle connections kept to this worker */
	bool fresh; /**< use a new connection */
	const char *expected_worker_id; /**< its id, borrowed until `done`;
					   NULL: unsaid */
	/** Borrowed until `done`; the sender keeps it. NULL only connects. */
	const struct request *request;
	struct upstream_sink *sink;
};

struct upstream;

struct upstream *upstream_create(struct timer_service *timers,
				 apr_pool_t *pool);
/** Before upstream_start(); the project's own otherwise. */
void upstream_set_dialect(struct upstream *u, const struct worker_dialect *d);
enum az_status upstream_start(struct upstream *u);
void upstream_stop(struct upstream *u);
/** Once stopped, and when no part can send any more. */
void upstream_destroy(struct upstream *u);
/** Sends once; never repeats a request by itself. `done` is called exactly
 * once, unless AZ_FULL is returned. */
enum az_status upstream_send(struct upstream *u,
			     const struct upstream_request *r);
/** Closes the connection of a request in flight; `done` still comes. */
void upstream_cancel(struct upstream *u, uint64_t token);

#endif
