/**
 * @file
 * Types that every slice shares: status and error kinds, requests and answers,
 * bounded rings, the duty loop, the timer service, log, counters and spans.
 */
#ifndef LIB_AZ_H
#define LIB_AZ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_pools.h>
#include <apr_thread_proc.h>

#define US_PER_MS INT64_C(1000)
#define US_PER_S INT64_C(1000000)

#define az_container_of(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/* ---- status ---- */

/** Result of a function that can fail; az_last_message() has the reason. */
enum az_status {
	AZ_OK,
	AZ_AGAIN, /**< nothing available now */
	AZ_FULL, /**< a bound is reached; nothing was taken */
	AZ_EOF,
	AZ_INVALID, /**< bad input */
	AZ_NOT_FOUND,
	AZ_CONFLICT, /**< a conditional update lost */
	AZ_DENIED,
	AZ_IO,
	AZ_TIMEOUT,
	AZ_NO_MEMORY,
};

/** Records the reason of a failure for this thread; returns `s`. */
enum az_status az_fail(enum az_status s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Reason of this thread's last failure; never NULL. */
const char *az_last_message(void);

/* ---- error kinds ---- */

/** What is known about a request's effect at the worker. */
enum outcome {
	OUTCOME_RAN,
	OUTCOME_NOT_RUN, /**< proved that no worker ran it */
	OUTCOME_UNKNOWN,
};

/** Closed list of the refusals that the fleet itself makes. */
enum error_kind {
	ERR_NONE, /**< a worker's whole answer */
	ERR_BAD_REQUEST,
	ERR_UNKNOWN_ROUTE,
	ERR_METHOD_NOT_ALLOWED,
	ERR_UNKNOWN_ORGANISATION,
	ERR_BODY_TOO_LARGE,
	ERR_HEADERS_TOO_LARGE,
	ERR_TICKET_REQUIRED,
	ERR_TICKET_MALFORMED,
	ERR_TICKET_INVALID,
	ERR_TICKET_MISMATCH,
	ERR_TICKET_EXPIRED,
	ERR_ISSUER_GONE,
	ERR_ISSUER_UNREACHABLE,
	ERR_LEDGER_FULL,
	ERR_OVER_LIMIT,
	ERR_OVERLOADED,
	ERR_NOT_CONFIGURED, /**< no configuration is known yet */
	ERR_REQUEST_TIMEOUT, /**< the caller took too long to send it */
	ERR_STOPPING,
	ERR_NO_WORKER,
	ERR_NO_HOME,
	ERR_PEER_UNREACHABLE, /**< no byte of the call was sent */
	ERR_PEER_LOST, /**< the call was sent, its answer did not come */
	ERR_WRONG_HOME,
	ERR_CONNECT_FAILED,
	ERR_WORKER_SHED,
	ERR_DEADLINE_NOT_RUN,
	ERR_DEADLINE_UNKNOWN,
	ERR_ANSWER_LOST,
	ERR_ANSWER_TRUNCATED,
	ERR_ANSWER_TOO_LARGE,
	ERR_SEALED, /**< a query sealed the call before it arrived */
	ERR_INTERNAL,
	ERR_KIND_COUNT,
};

enum log_level {
	LOG_ERROR,
	LOG_WARN,
	LOG_INFO,
	LOG_DEBUG,
};

/** Row of the table from error kind to answer. */
struct error_info {
	const char *name; /**< value of the Azurehold-Error header */
	uint16_t http_status;
	enum outcome outcome;
	bool retryable; /**< another worker or home may be tried */
	enum log_level level;
};

/** Row for `k`; an unknown kind gives the row of ERR_INTERNAL. */
const struct error_info *error_info(enum error_kind k);
const char *outcome_name(enum outcome o);

/* ---- clock ---- */

/** Monotonic clock of this process in microseconds. */
int64_t clock_now_us(void);

/* ---- random numbers and hashing ---- */

/** Cryptographically strong random bits (OpenSSL). */
uint64_t random_u64(void);
uint64_t hash_bytes(const void *data, size_t len_bytes, uint64_t seed);
uint64_t hash_string(const char *s);
/** First 64 bits of SHA-256: from it nobody finds a secret that fits. */
uint64_t hash_secret(const char *s);

/* ---- memory ---- */

/** Zeroed memory; aborts if there is none, as no part can go on without. */
void *az_alloc(size_t bytes);

/* ---- growing byte buffers ---- */

struct buf {
	uint8_t *data;
	uint32_t len_bytes;
	uint32_t cap_bytes;
};

void buf_append(struct buf *b, const void *data, uint32_t len_bytes);
void buf_printf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void buf_free(struct buf *b);

/* ---- spans ---- */

/** W3C trace context of one hop. */
struct span {
	uint8_t trace_id[16];
	uint64_t span_id;
	uint64_t parent_id;
	int64_t start_us;
	bool sampled;
};

/** Starts a hop under the `traceparent` header, or a new trace if NULL or bad.
 */
void span_start(struct span *s, const char *traceparent);
/** Starts a hop below `parent`, which may be `s` itself. */
void span_child(struct span *s, const struct span *parent);
/** Formats a `traceparent` header value into `out` (56 bytes). */
void span_format(const struct span *s, char out[56]);
/** Logs the hop with its duration, if the trace is sampled. */
void span_end(const struct span *s, const char *hop, const char *detail);

/* ---- ranks ---- */

/** Lower value is more urgent. */
enum rank {
	RANK_URGENT,
	RANK_NORMAL,
	RANK_BULK,
	RANK_COUNT,
};

const char *rank_name(enum rank r);
/** Parses a rank name; returns AZ_INVALID otherwise. */
enum az_status rank_parse(const char *s, enum rank *out);

/* ---- requests and answers ---- */

#define REQUEST_HEADERS_MAX_BYTES 16384
#define REQUEST_BODY_MAX_BYTES (1U << 20)
#define ANSWER_MAX_BYTES (4U << 20)
#define METHOD_MAX_BYTES 16

/** A caller's request after classification. Owned by one part at a time. */
struct request {
	char method[METHOD_MAX_BYTES];
	char *path; /**< path with query, as the caller sent it */
	char *service;
	uint64_t organisation; /**< hash_string() of its name */
	enum rank rank;
	bool idempotent;
	int64_t deadline_us; /**< on this process's monotonic clock */
	int64_t target_us; /**< when its answer earns less; 0: none */
	uint8_t attempts_max; /**< workers that may run it; 0: the default */
	char *host; /**< as the caller sent it, or NULL */
	char *correlation; /**< id that answers repeat, or NULL */
	struct span span;
	struct buf headers; /**< "Name: value\r\n" lines to pass on */
	struct buf body;
};

/** A whole answer of a worker, or a refusal if `kind` is not ERR_NONE. */
struct answer {
	enum error_kind kind;
	enum outcome outcome;
	uint16_t http_status;
	int64_t retry_after_us; /**< when to come again; 0: not said */
	struct buf headers; /**< "Name: value\r\n" lines to pass on */
	struct buf body;
};

/** Copy in memory of its own; NULL stays NULL. */
char *az_strdup(const char *s);
struct request *request_new(const char *method, const char *path,
			    const char *service);
struct request *request_copy(const struct request *r);
void request_free(struct request *r);

struct answer *answer_new(enum error_kind k);
struct answer *answer_copy(const struct answer *a);
void answer_free(struct answer *a);

/* ---- rings and messages ---- */

struct msg;
struct duty;

/** What a message does where it arrives. */
struct msg_ops {
	const char *name;
	/** Runs in the receiver's thread; takes ownership. */
	void (*run)(struct msg *m, struct duty *to);
	/** Frees a message that was not delivered, refusing what it asks. */
	void (*drop)(struct msg *m);
};

/** First member of every message between threads. */
struct msg {
	const struct msg_ops *ops;
};

/** Bounded queue into one thread, with an eventfd that wakes it. */
struct ring;

struct ring *ring_create(uint32_t slots, apr_pool_t *pool);
/** Never blocks. AZ_FULL if there is no room: the caller keeps `m`. */
enum az_status ring_push(struct ring *r, struct msg *m);
/** Next message or NULL. */
struct msg *ring_pop(struct ring *r);
/** Readable while messages wait. */
int32_t ring_wake_fd(const struct ring *r);
/** Clears the wake-up; call before draining with ring_pop(). */
void ring_clear_wake(struct ring *r);
/** Makes the wake-up readable again, as messages may be left. */
void ring_rewake(struct ring *r);
uint32_t ring_depth(const struct ring *r);

/** Where an answer goes; the vtable pushes it into the asker's ring. */
struct reply_to;

struct reply_ops {
	/** Takes ownership of `a`. Called at most once, from any thread. */
	void (*answer)(struct reply_to *to, struct answer *a);
};

struct reply_to {
	const struct reply_ops *ops;
};

/** Answers with a refusal of the fleet's own. */
void reply_refuse(struct reply_to *to, enum error_kind k);

/* ---- duties ---- */

struct poll_handler;

struct poll_ops {
	/** `events` is a set of APR_POLLIN, APR_POLLOUT, APR_POLLERR,
	 * APR_POLLHUP. The handler may close any socket of its duty. */
	void (*ready)(struct poll_handler *h, int16_t events);
};

/** A socket that a duty waits on. Zero all but `ops` and `sock`. */
struct poll_handler {
	const struct poll_ops *ops;
	apr_socket_t *sock;
	apr_pollfd_t pfd;
};

/** What varies between duties. Members may be NULL. */
struct duty_ops {
	const char *name;
	/** At the time armed with duty_arm(). */
	void (*on_timer)(struct duty *d, int64_t now_us);
	/** Last call in the thread, after duty_stop(). */
	void (*on_stop)(struct duty *d);
};

struct timer_service;
struct poller;

/** A thread with a ring. Embed as the first member of a slice's state. */
struct duty {
	const struct duty_ops *ops;
	struct ring *ring;
	struct timer_service *timers;
	int32_t timer_id;
	struct poller *poller;
	apr_pool_t *pool; /**< used by this thread only */
	apr_thread_t *thread;
	int64_t now_us; /**< clock at the start of this turn of the loop */
	int32_t stopping; /**< atomic */
};

/** Makes ring, pollset and pool; `timers` may be NULL. */
enum az_status duty_init(struct duty *d, const struct duty_ops *ops,
			 uint32_t ring_slots, struct timer_service *timers);
enum az_status duty_start(struct duty *d);
/** Ends the loop, joins the thread, drops messages left in the ring. */
void duty_stop(struct duty *d);
/** Frees ring and pool, once no other thread can push. Parts that others
 * answer late are left to the end of the process. */
void duty_destroy(struct duty *d);
/** Pushes `m`; on AZ_FULL the message is dropped through its vtable. */
enum az_status duty_send(struct duty *d, struct msg *m);
/** Copies `bytes` of `from` to `to`, which only the duty's thread uses, in that
 * thread and after what was sent before. */
void duty_send_copy(struct duty *d, void *to, const void *from, uint32_t bytes);
/** Asks for on_timer() at `at_us`; replaces an earlier request. */
void duty_arm(struct duty *d, int64_t at_us);
/** Waits on a socket for APR_POLLIN, APR_POLLOUT or both; 0 stops waiting.
 * Only in the duty's own thread, or before duty_start(). */
enum az_status duty_poll(struct duty *d, struct poll_handler *h,
			 int16_t events);

/* ---- timer service ---- */

/** One thread that tells each subscribed duty when its armed time has come. */
struct timer_service *timer_service_create(apr_pool_t *pool);
enum az_status timer_service_start(struct timer_service *t);
void timer_service_stop(struct timer_service *t);
/** Longest gap between two turns of the timer thread beyond what it asked
 * for, since the last call; a pause of the process shows here. */
int64_t timer_service_take_pause_us(struct timer_service *t);
int32_t timer_subscribe(struct timer_service *t, struct duty *d);
void timer_arm(struct timer_service *t, int32_t id, int64_t at_us);

/* ---- log ---- */

void log_set_level(enum log_level level);
enum az_status log_level_parse(const char *s, enum log_level *out);
/** Names the daemon in each line. */
void log_set_source(const char *name);
/** Lines that were not written, as there were too many or nobody reads. */
uint32_t log_dropped(void);
/** Lines go to standard output from now on, and not to standard error. Before
 * any thread is started. */
void log_to_stdout(void);
/** Writes one line: time, level, source, part, message with
 * key=value fields. Never blocks. */
void log_write(enum log_level level, const char *part, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* ---- counters ---- */

/** Registered once by name; value is updated atomically. */
struct counter;

/** The counter called `name`, made on first use. */
struct counter *counter_get(const char *name);
void counter_add(struct counter *c, int64_t n);
void counter_set(struct counter *c, int64_t n);
int64_t counter_value(const struct counter *c);
/** Counts of durations in buckets that double from 1 ms to 64 s. Updated
 * atomically. */
struct histogram;

/** The histogram called `name`, made on first use. */
struct histogram *histogram_get(const char *name);
void histogram_add(struct histogram *h, int64_t duration_us);
/** Appends "name_le_MS count\n" lines, cumulative, then "name_count" and
 * "name_sum_ms", for each histogram. */
void histogram_print(struct buf *out);
/** Appends "name value\n" for each counter, sorted by name. */
void counter_print(struct buf *out);

/* ---- sockets ---- */

/** Address for APR; `ip` is IPv4 in host byte order. NULL if there is none. */
/** Parses "IP:PORT"; AZ_INVALID otherwise. */
enum az_status net_parse(const char *s, uint32_t *ip, uint16_t *port);
apr_sockaddr_t *net_address(uint32_t ip, uint16_t port, apr_pool_t *pool);
/** Begins a non-blocking connection; its end shows as APR_POLLOUT. On failure
 * *out is the socket made so far, or NULL. */
enum az_status net_connect(uint32_t ip, uint16_t port, apr_pool_t *pool,
			   apr_socket_t **out);

/** A non-blocking datagram socket; port 0 takes a free one. */
enum az_status net_udp(uint32_t ip, uint16_t port, apr_pool_t *pool,
		       apr_socket_t **out);
/** Next datagram with its sender; 0 if none waits. */
uint32_t net_receive(apr_socket_t *sock, uint8_t *data, uint32_t cap_bytes,
		     uint32_t *ip, uint16_t *port);
/** Datagrams that do not fit are lost, as on the way. */
void net_send_to(apr_socket_t *sock, const uint8_t *data, uint32_t len_bytes,
		 uint32_t ip, uint16_t port);
/** Has the kernel find out that the other end has fallen silent. */
void net_keep_alive(int32_t fd);

/* ---- HTTP calls that block (http_call.c) ---- */

/** Keeps its connection between calls; for one thread at a time. */
struct http_client;

/** A call; what is not said is zero. */
struct http_call {
	const char *method; /**< NULL: GET */
	const char *url;
	const char
		*headers[8]; /**< "Name: value" lines, NULL behind the last */
	const void *body;
	uint32_t body_bytes;
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms;
	uint32_t answer_max_bytes;
	const char
		*numeric_header; /**< name of a header with a number, or NULL */
	/* The result. */
	uint16_t status; /**< HTTP status, if AZ_OK */
	uint64_t header_value; /**< 0: not in the answer */
	bool unsent; /**< the call did not reach the server */
	struct buf answer; /**< zero-terminated behind its length; the
				caller frees it */
};

struct http_client *http_client_create(void);
void http_client_destroy(struct http_client *h);
/** Ends the call in progress and all later ones with AZ_AGAIN. Any thread. */
void http_client_cancel_all(struct http_client *h);
/** Ends the call in progress, or the next one, with AZ_AGAIN. Any thread. */
void http_client_cancel_current(struct http_client *h);
/** AZ_TIMEOUT, AZ_IO or AZ_AGAIN if there is no answer. */
enum az_status http_call(struct http_client *h, struct http_call *c);

/* ---- slope programs (*_slopes.c) ---- */

/** Processor time of this process in microseconds. */
double slope_cpu_us(void);
/** Bytes that malloc() has handed out. */
double slope_allocated_bytes(void);
/** Prints one "slope.NAME.SIZE value unit" line. */
void slope_print(const char *name, uint32_t n, double value, const char *unit);

#endif
