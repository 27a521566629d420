/**
 * @file
 * Types that all folders share: status and error kinds, requests and answers,
 * bounded rings, duties (threads with an event loop), the timer service, log,
 * counters and trace spans.
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

/** Result of a function that can fail; az_last_message() returns the reason. */
enum az_status {
	AZ_OK,
	AZ_AGAIN, /**< nothing available now, or the call was cancelled */
	AZ_FULL, /**< a limit is reached; nothing was stored */
	AZ_EOF, /**< the other end closed the connection */
	AZ_INVALID, /**< bad input */
	AZ_NOT_FOUND,
	AZ_CONFLICT, /**< a conditional update found another version */
	AZ_DENIED, /**< a MAC, token or permission is missing or wrong */
	AZ_IO,
	AZ_TIMEOUT,
	AZ_NO_MEMORY,
};

/** Records the reason of a failure for the calling thread; returns `s`. */
enum az_status az_fail(enum az_status s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** Reason of the last failure in the calling thread; never NULL. */
const char *az_last_message(void);

/* ---- error kinds ---- */

/** Whether a worker has run the request, as far as is known. */
enum outcome {
	OUTCOME_RAN,
	OUTCOME_NOT_RUN, /**< certainly run by no worker */
	OUTCOME_UNKNOWN,
};

/** Reasons for which the daemons themselves refuse or fail a request. A ticket
 * lets one request run at most once; the daemon that issued it (the issuer)
 * keeps a ledger of the tickets presented to it. A worker's home is the daemon
 * that schedules its requests; a peer is another daemon. */
enum error_kind {
	ERR_NONE, /**< no error: a worker's complete answer */
	ERR_BAD_REQUEST,
	ERR_UNKNOWN_ROUTE,
	ERR_METHOD_NOT_ALLOWED,
	ERR_UNKNOWN_ORGANISATION,
	ERR_BODY_TOO_LARGE,
	ERR_HEADERS_TOO_LARGE,
	ERR_TICKET_REQUIRED,
	ERR_TICKET_MALFORMED,
	ERR_TICKET_INVALID, /**< the ticket's MAC is wrong */
	ERR_TICKET_MISMATCH, /**< the ticket was used with another request */
	ERR_TICKET_EXPIRED,
	ERR_ISSUER_GONE, /**< no daemon has the issuer's ledger any more */
	ERR_ISSUER_UNREACHABLE,
	ERR_LEDGER_FULL,
	ERR_OVER_LIMIT, /**< a request limit or the retry budget is used up */
	ERR_OVERLOADED,
	ERR_NOT_CONFIGURED, /**< the daemon has no configuration yet */
	ERR_REQUEST_TIMEOUT, /**< the caller took too long to send the request
			      */
	ERR_STOPPING, /**< the daemon is shutting down */
	ERR_NO_WORKER, /**< no worker of the service is available */
	ERR_NO_HOME,
	ERR_PEER_UNREACHABLE, /**< no byte of the call to the peer was sent */
	ERR_PEER_LOST, /**< the call to the peer was sent, but not answered */
	ERR_WRONG_HOME, /**< not in use; the kinds after it keep their numbers,
			     which daemons exchange */
	ERR_CONNECT_FAILED, /**< no connection to the worker */
	ERR_WORKER_SHED, /**< the worker refused the request for load */
	ERR_DEADLINE_NOT_RUN, /**< the deadline passed before the request ran */
	ERR_DEADLINE_UNKNOWN, /**< the same; the request may have run */
	ERR_ANSWER_LOST, /**< the connection to the worker closed before an
			      answer came */
	ERR_ANSWER_TRUNCATED,
	ERR_ANSWER_TOO_LARGE,
	ERR_SEALED, /**< a query about the call arrived before it, so that the
			 call must not run; not in use, as above */
	ERR_INTERNAL,
	ERR_KIND_COUNT,
};

enum log_level {
	LOG_ERROR,
	LOG_WARN,
	LOG_INFO,
	LOG_DEBUG,
};

/** How an error kind is answered to the caller and logged. */
struct error_info {
	const char *name; /**< value of the Azurehold-Error header */
	uint16_t http_status;
	enum outcome outcome;
	bool retryable; /**< the caller is told that a retry may succeed */
	enum log_level level;
};

/** Returns the entry of `k`, or that of ERR_INTERNAL if `k` is not a kind. */
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
/** First 64 bits of SHA-256: a secret cannot be recovered from it. */
uint64_t hash_secret(const char *s);

/* ---- memory ---- */

/** Returns zeroed memory. Aborts the process if there is none, as no part can
 * continue without it. */
void *az_alloc(size_t bytes);

/* ---- byte buffers that grow ---- */

/** All zero is an empty buffer. */
struct buf {
	uint8_t *data;
	uint32_t len_bytes;
	uint32_t cap_bytes;
};

/** Makes the capacity at least `bytes`, so that a buffer of known length takes
 * no more memory than that. */
void buf_reserve(struct buf *b, uint32_t bytes);
void buf_append(struct buf *b, const void *data, uint32_t len_bytes);
/** Appends formatted text, without its terminating zero byte. */
void buf_printf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void buf_free(struct buf *b);

/* ---- spans ---- */

/** W3C trace context of one hop of a request: its stay in one daemon or one
 * part of a daemon. */
struct span {
	uint8_t trace_id[16];
	uint64_t span_id;
	uint64_t parent_id;
	int64_t start_us;
	bool sampled;
};

/** Starts a hop as a child of the one in the `traceparent` header, or a new
 * trace if the header is NULL or malformed. */
void span_start(struct span *s, const char *traceparent);
/** Starts a hop as a child of `parent`, which may be `s` itself. */
void span_child(struct span *s, const struct span *parent);
/** Formats a `traceparent` header value into `out` (56 bytes). */
void span_format(const struct span *s, char out[56]);
/** Logs the hop with its duration, if the trace is sampled. `hop` is the name
 * of the part, `detail` are further key=value fields. */
void span_end(const struct span *s, const char *hop, const char *detail);

/* ---- ranks ---- */

/** A lower value is more urgent and is called a higher rank. */
enum rank {
	RANK_URGENT,
	RANK_NORMAL,
	RANK_BULK,
	RANK_COUNT,
};

const char *rank_name(enum rank r);
/** Parses the name of a rank; AZ_INVALID if there is no such rank. */
enum az_status rank_parse(const char *s, enum rank *out);

/* ---- requests and answers ---- */

#define REQUEST_HEADERS_MAX_BYTES 16384
#define REQUEST_BODY_MAX_BYTES (1U << 20)
#define ANSWER_MAX_BYTES (4U << 20)
#define METHOD_MAX_BYTES 16

/** A caller's request after its route was found. Has one owner at a time. */
struct request {
	char method[METHOD_MAX_BYTES];
	char *path; /**< path and query, as sent by the caller */
	char *service;
	uint64_t organisation; /**< hash_string() of its name */
	enum rank rank;
	bool idempotent;
	int64_t deadline_us; /**< by clock_now_us() */
	int64_t target_us; /**< time by which an answer meets the latency
				target of the service; 0: no target */
	uint8_t attempts_max; /**< most workers that may run it; 0: the default
			       */
	char *host; /**< Host header as sent by the caller, or NULL */
	char *correlation; /**< request id to return in the answer, or NULL */
	struct span span;
	struct buf headers; /**< "Name: value\r\n" lines to forward */
	struct buf body;
};

/** A worker's complete answer if `kind` is ERR_NONE, else an error. */
struct answer {
	enum error_kind kind;
	enum outcome outcome;
	uint16_t http_status;
	int64_t retry_after_us; /**< time after which to retry; 0: not given */
	struct buf headers; /**< "Name: value\r\n" lines to forward */
	struct buf body;
};

/** Returns a copy that the caller frees; NULL for NULL. */
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

/** Behaviour of a kind of message. */
struct msg_ops {
	const char *name;
	/** Handles the message in the receiver's thread; takes ownership. */
	void (*run)(struct msg *m, struct duty *to);
	/** Frees a message that was not delivered. A request that it carries is
	 * refused. */
	void (*drop)(struct msg *m);
};

/** First member of every message between threads. */
struct msg {
	const struct msg_ops *ops;
};

/** Bounded queue of messages to one thread, with an eventfd that wakes it. */
struct ring;

struct ring *ring_create(uint32_t slots, apr_pool_t *pool);
/** Never blocks. If the ring is full, returns AZ_FULL and the caller keeps
 * `m`. */
enum az_status ring_push(struct ring *r, struct msg *m);
/** Removes and returns the next message, or NULL. */
struct msg *ring_pop(struct ring *r);
/** File descriptor that is readable while messages may be in the ring. */
int32_t ring_wake_fd(const struct ring *r);
/** Makes the descriptor unreadable. To be called before the messages are taken
 * with ring_pop(), so that none that is pushed meanwhile is missed. */
void ring_clear_wake(struct ring *r);
/** Makes the descriptor readable, to wake the receiver. */
void ring_wake(struct ring *r);
uint32_t ring_depth(const struct ring *r);

/** Receiver of the answer to a request. */
struct reply_to;

struct reply_ops {
	/** Takes ownership of `a`. Called at most once, from any thread; pushes
	 * the answer into the receiver's ring. */
	void (*answer)(struct reply_to *to, struct answer *a);
};

struct reply_to {
	const struct reply_ops *ops;
};

/** Answers with the error `k`. */
void reply_refuse(struct reply_to *to, enum error_kind k);

/* ---- duties ---- */

struct poll_handler;

struct poll_ops {
	/** The socket is ready. `events` is a set of APR_POLLIN, APR_POLLOUT,
	 * APR_POLLERR and APR_POLLHUP. May close any socket of the duty. */
	void (*ready)(struct poll_handler *h, int16_t events);
};

/** A socket that a duty polls. The caller sets `ops` and `sock`; the rest must
 * be zero. */
struct poll_handler {
	const struct poll_ops *ops;
	apr_socket_t *sock;
	apr_pollfd_t pfd; /**< set by duty_poll() */
};

/** Behaviour of a kind of duty. The functions may be NULL. */
struct duty_ops {
	const char *name;
	/** The time set with duty_arm() has come. */
	void (*on_timer)(struct duty *d, int64_t now_us);
	/** Last call in the thread, caused by duty_stop(). */
	void (*on_stop)(struct duty *d);
};

struct timer_service;
struct poller;

/** A duty is a thread with an event loop, which handles the messages of its
 * ring, its sockets and its timer. First member of the state of each folder
 * that has a thread. */
struct duty {
	const struct duty_ops *ops;
	struct ring *ring;
	struct timer_service *timers;
	int32_t timer_id; /**< from timer_subscribe(); -1: no timer */
	struct poller *poller;
	apr_pool_t *pool; /**< used by the duty's thread only */
	apr_thread_t *thread;
	int64_t now_us; /**< time at the start of this turn of the loop */
	int32_t stopping; /**< atomic */
};

/** Creates ring, pollset and pool; `timers` may be NULL. */
enum az_status duty_init(struct duty *d, const struct duty_ops *ops,
			 uint32_t ring_slots, struct timer_service *timers);
enum az_status duty_start(struct duty *d);
/** Ends the loop, joins the thread and calls drop() of the messages left in the
 * ring. */
void duty_stop(struct duty *d);
/** Frees ring and pool. Only when no other thread can send any more; a duty
 * that may still receive late answers is never destroyed. */
void duty_destroy(struct duty *d);
/** Pushes `m` into the duty's ring and takes ownership; if the ring is full,
 * calls drop() of `m`. */
enum az_status duty_send(struct duty *d, struct msg *m);
/** Sends a message that copies `bytes` of `from` to `to` in the duty's thread,
 * the only one that uses `to`. `from` is read before this returns. */
void duty_send_copy(struct duty *d, void *to, const void *from, uint32_t bytes);
/** Has on_timer() called at `at_us` (by clock_now_us()), once; replaces the
 * time set before. */
void duty_arm(struct duty *d, int64_t at_us);
/** Polls a socket for APR_POLLIN, APR_POLLOUT or both; 0 stops polling. Only in
 * the duty's own thread, or before duty_start(). */
enum az_status duty_poll(struct duty *d, struct poll_handler *h,
			 int16_t events);

/* ---- timer service ---- */

/** A thread that sends each subscribed duty a message at its armed time. */
struct timer_service *timer_service_create(apr_pool_t *pool);
enum az_status timer_service_start(struct timer_service *t);
void timer_service_stop(struct timer_service *t);
/** Returns the longest delay of the timer thread beyond its intended wake-up
 * time since the last call of this function. A pause of the process shows as
 * such a delay. */
int64_t timer_service_take_pause_us(struct timer_service *t);
/** Returns the id for timer_arm(). */
int32_t timer_subscribe(struct timer_service *t, struct duty *d);
/** Arms the timer of subscriber `id`, like duty_arm(). */
void timer_arm(struct timer_service *t, int32_t id, int64_t at_us);

/* ---- log ---- */

void log_set_level(enum log_level level);
enum az_status log_level_parse(const char *s, enum log_level *out);
/** Sets the name of the daemon that each line shows. */
void log_set_source(const char *name);
/** Returns the number of lines that were not written, as they exceeded the rate
 * limit or the reader of the output did not keep up. */
uint32_t log_dropped(void);
/** Sends the lines to standard output instead of standard error. Only before
 * any thread is started. */
void log_to_stdout(void);
/** Writes one line: time, level, source, part, and a message with key=value
 * fields. Never blocks. */
void log_write(enum log_level level, const char *part, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* ---- counters ---- */

/** A named value for the metrics; updated atomically. */
struct counter;

/** Returns the counter called `name`; creates it on first use. */
struct counter *counter_get(const char *name);
void counter_add(struct counter *c, int64_t n);
void counter_set(struct counter *c, int64_t n);
int64_t counter_value(const struct counter *c);
/** Counts of durations, in buckets whose bounds double from 1 ms to about 33 s
 * and one for longer durations. Updated atomically. */
struct histogram;

/** Returns the histogram called `name`; creates it on first use. */
struct histogram *histogram_get(const char *name);
void histogram_add(struct histogram *h, int64_t duration_us);
/** Appends "name_le_MS count\n" lines, cumulative, then "name_count" and
 * "name_sum_ms", for each histogram. */
void histogram_print(struct buf *out);
/** Appends "name value\n" for each counter, sorted by name. */
void counter_print(struct buf *out);

/* ---- sockets ---- */

/** Parses "IP:PORT"; AZ_INVALID if malformed. */
enum az_status net_parse(const char *s, uint32_t *ip, uint16_t *port);
/** Returns an APR address; `ip` is IPv4 in host byte order. NULL on failure. */
apr_sockaddr_t *net_address(uint32_t ip, uint16_t port, apr_pool_t *pool);
/** Begins a non-blocking connection; APR_POLLOUT reports that it is established
 * or has failed. On failure *out is the socket created so far, or NULL. */
enum az_status net_connect(uint32_t ip, uint16_t port, apr_pool_t *pool,
			   apr_socket_t **out);

/** Opens a non-blocking datagram socket; with port 0 the kernel chooses one. */
enum az_status net_udp(uint32_t ip, uint16_t port, apr_pool_t *pool,
		       apr_socket_t **out);
/** Reads the next datagram and its sender's address. Returns the length; 0 if
 * no datagram is available. */
uint32_t net_receive(apr_socket_t *sock, uint8_t *data, uint32_t cap_bytes,
		     uint32_t *ip, uint16_t *port);
/** Sends a datagram. One that the kernel does not accept is lost, like one that
 * is lost in the network. */
void net_send_to(apr_socket_t *sock, const uint8_t *data, uint32_t len_bytes,
		 uint32_t ip, uint16_t port);
/** Makes the kernel close the connection within about 3 s when the other end no
 * longer answers its packets. */
void net_keep_alive(int32_t fd);

/** Bounds the bytes that the kernel receives for a socket before they are read.
 * It keeps up to about twice as many. */
void net_set_receive_buffer(int32_t fd, uint32_t bytes);

/* ---- rates (rate.c) ---- */

/** Parses a decimal number of requests per second, such as "2.5", to
 * thousandths per second, at least 1. AZ_INVALID for any other text, and for
 * more than a million. */
enum az_status rate_parse(const char *s, uint32_t *mrps);
/** Parses a decimal number of seconds, such as "0.5", to milliseconds; more
 * than a million seconds count as a million. AZ_INVALID for any other text. */
enum az_status delay_parse(const char *s, uint32_t *ms);

/* ---- blocking HTTP calls (http_call.c) ---- */

/** HTTP client that keeps its connection between calls. Only one thread at a
 * time may make calls. */
struct http_client;

/** A call: its parameters, of which zero or NULL selects the default, and its
 * results. */
struct http_call {
	const char *method; /**< NULL: GET */
	const char *url;
	const char *headers[8]; /**< "Name: value" lines, NULL after the last */
	const void *body;
	uint32_t body_bytes;
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms;
	uint32_t answer_max_bytes;
	const char *numeric_header; /**< name of a response header whose value
				      is a number, or NULL */
	/* Results. */
	uint16_t status; /**< HTTP status, if AZ_OK */
	uint64_t header_value; /**< of numeric_header; 0: not in the response */
	bool unsent; /**< the call did not reach the server */
	struct buf answer; /**< response body, with a zero byte after its
			      length; freed by the caller */
};

struct http_client *http_client_create(void);
void http_client_destroy(struct http_client *h);
/** Ends the call in progress and all later ones with AZ_AGAIN. Callable from
 * any thread. */
void http_client_cancel_all(struct http_client *h);
/** Ends the call in progress, or else the next one, with AZ_AGAIN. Callable
 * from any thread. */
void http_client_cancel_current(struct http_client *h);
/** AZ_OK with any HTTP status; AZ_TIMEOUT, AZ_IO or AZ_AGAIN without a
 * response. */
enum az_status http_call(struct http_client *h, struct http_call *c);

/* ---- measurements of the cost of each further entry, such as a member or a
 * worker (*_slopes.c) ---- */

/** Processor time that this process has used, in microseconds. */
double slope_cpu_us(void);
/** Bytes allocated with malloc() and not freed. */
double slope_allocated_bytes(void);
/** Prints one "slope.NAME.N VALUE UNIT" line; `n` is the number of entries. */
void slope_print(const char *name, uint32_t n, double value, const char *unit);

#endif
