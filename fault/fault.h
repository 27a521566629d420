/**
 * @file
 * Process-level failure tests: a fleet of real processes on loopback, callers
 * that follow the ticket protocol, and the cases.
 */
#ifndef FAULT_FAULT_H
#define FAULT_FAULT_H

#include <pthread.h>
#include <sys/types.h>

#include "lib/az.h"
#include "ticket/ticket.h"

#define DAEMONS_MAX 8
#define WORKERS_MAX 8
#define THREADS_MAX 64
#define OPERATIONS_MAX 65536
#define KILLED_MAX 64
#define TEXT_BYTES 128
/* Only ends a hung run; no verdict comes from it. */
#define HANG_TIMEOUT_MS 60000

/* ---- HTTP of a caller (http.c) ---- */

/** A kept-alive connection of one caller to one daemon. */
struct http_conn {
	int32_t fd; /**< -1: closed */
	bool close_announced;
	int64_t last_used_us; /**< end of the last exchange */
};

struct http_answer {
	uint16_t status;
	bool connection_close;
	char outcome[TEXT_BYTES];
	char error[TEXT_BYTES];
	char ticket[TICKET_TEXT_MAX_BYTES];
	struct buf body;
};

enum http_result {
	HTTP_COMPLETE,
	HTTP_UNSENT, /**< no byte was sent */
	HTTP_LOST, /**< something was sent, no whole answer came */
};

/** Connects if needed, sends, reads one answer. Closes after a failure. */
enum http_result http_exchange(struct http_conn *c, uint16_t port,
			       const char *request, uint32_t len_bytes,
			       int32_t limit_ms, struct http_answer *out);
void http_close(struct http_conn *c);
void http_answer_free(struct http_answer *a);
int32_t http_connect(uint16_t port);
/** One request on a connection of its own; true if the status is 200. */
bool http_single_request(uint16_t port, const char *method, const char *target,
			 struct http_answer *out);

/* ---- processes (fleet.c) ---- */

struct process {
	pid_t pid; /**< 0: not running */
	char log_path[2 * TEXT_BYTES]; /**< of its output */
	int64_t log_start_bytes; /**< what was in it before the process */
	bool exited; /**< by itself, or at our wish */
	int32_t status;
};

struct daemon {
	struct process process;
	uint64_t incarnation;
	int32_t stopping; /**< atomic: told to stop */
	bool has_tcp_relay;
	struct process tcp_relay;
	char settings_path[TEXT_BYTES];
};

struct worker {
	struct process process;
	uint32_t starts;
	char dc;
	bool is_countinghouse;
};

struct fleet_options {
	uint32_t daemons;
	uint32_t service_ms;
	uint32_t drain_ms;
	bool tcp_relays;
};

struct fleet {
	const char *bin; /**< build folder of the stand-ins */
	char daemon_program[2 * TEXT_BYTES]; /**< of the daemons */
	char dir[TEXT_BYTES];
	uint16_t first_port; /**< first of 64 */
	struct fleet_options options;
	uint32_t daemon_count;
	struct daemon daemons[DAEMONS_MAX];
	uint32_t worker_count;
	struct worker workers[WORKERS_MAX];
	uint64_t killed_incarnations[KILLED_MAX]; /**< incarnations */
	uint32_t killed_count;
	uint32_t conf_version; /**< of the configuration; 0: as it was at first */
	uint32_t failures; /**< processes that ended by themselves, time-outs */
};

/** Ports of one fleet. */
#define FLEET_PORTS 64

/** First of a range of ports that no other run on this machine uses; 0 if there
 * is none. */
uint16_t fleet_claim_ports(void);
/** Nothing is started yet; `daemon` is a program of its own, or NULL. */
void fleet_init(struct fleet *f, const char *bin, const char *daemon,
		uint16_t port);
/** Removes the folder with its logs. */
void fleet_remove(const struct fleet *f);
uint16_t daemon_port(const struct fleet *f, uint32_t n);
uint16_t peer_port(const struct fleet *f, uint32_t n);
uint16_t worker_control_port(const struct fleet *f, uint32_t n);
/** Starts everything and waits until each daemon reaches each other. */
void fleet_start(struct fleet *f, const struct fleet_options *o);
/** Planned stop of what still runs; checks that nothing ended by itself. */
void fleet_stop(struct fleet *f);
/** Ends everything at once. */
void fleet_abort(struct fleet *f);
void daemon_start(struct fleet *f, uint32_t n);
void daemon_kill(struct fleet *f, uint32_t n);
void daemon_signal(struct fleet *f, uint32_t n, int sig);
/** Writes another version of the configuration: one with the route /changeN,
 * and tells the daemons by SIGHUP. */
void fleet_change_conf(struct fleet *f, uint32_t version);
/** SIGTERM; the daemon may go on for as long as its stop takes. */
void daemon_begin_stop(struct fleet *f, uint32_t n);
/** Waits for the end of a planned stop; false if it took too long. */
bool daemon_wait_stopped(struct fleet *f, uint32_t n);
/** Both. */
bool daemon_stop(struct fleet *f, uint32_t n);
/** Waits until tickets of each running daemon are known to each other. */
void fleet_wait_ready(struct fleet *f);
void worker_start(struct fleet *f, uint32_t n);
void worker_kill(struct fleet *f, uint32_t n);
void worker_set_fault(struct fleet *f, uint32_t n, const char *query);
void tcp_relay_set(struct fleet *f, uint32_t n, const char *query);
bool was_killed(const struct fleet *f, uint64_t incarnation);
/** Calls `each` with the runs of each id at each worker. */
void fleet_for_each_run(struct fleet *f,
			void (*each)(void *arg, const char *run_id,
				     uint32_t runs),
			void *arg);
void sleep_ms(uint32_t ms);

/* ---- callers (caller.c) ---- */

enum operation_outcome {
	OPERATION_PENDING,
	OPERATION_RAN,
	OPERATION_NOT_RUN,
	OPERATION_UNKNOWN,
};

/** One request of a caller with what became of it. */
struct operation {
	uint32_t id;
	bool is_payment;
	enum operation_outcome outcome;
	uint32_t attempts;
	uint32_t crossed;
	bool answered_not_run; /**< by any answer */
	uint32_t worker_runs; /**< at the workers, at the end */
	uint32_t answered_runs; /**< highest run number in an answer */
	struct ticket ticket;
	char ticket_text[TICKET_TEXT_MAX_BYTES];
	char error[TEXT_BYTES]; /**< last refusal */
};

struct load_options {
	uint32_t threads;
	uint32_t reads_percent;
	uint32_t deadline_ms;
	uint32_t think_ms; /**< at most, between pieces of one caller */
	const char *organisation;
	int32_t issuer; /**< daemon that issues the tickets; -1: any */
	int32_t entry; /**< daemon of the first presentation; -1: any */
};

struct load {
	struct fleet *fleet;
	struct load_options options;
	uint64_t seed;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct operation *operations; /**< OPERATIONS_MAX, never moved */
	uint32_t operation_count;
	uint32_t ended_count;
	uint32_t started_count; /**< first presentations and reads sent */
	uint32_t cut_count; /**< by planned stops */
	uint32_t repeat_count;
	int32_t stop;
	uint32_t thread_count;
	pthread_t threads[THREADS_MAX];
};

void load_init(struct load *l, struct fleet *f, uint64_t seed);
void load_start(struct load *l, const struct load_options *o);
/** Waits until `n` more pieces have ended. */
void load_wait_ended(struct load *l, uint32_t n);
/** Waits until `n` more pieces were first presented, or `limit_ms`. */
void load_wait_started(struct load *l, uint32_t n, uint32_t limit_ms);
void load_stop(struct load *l);
void load_free(struct load *l);
struct operation *operation_new(struct load *l, bool is_payment);
/** Fresh ticket for a piece from daemon `n`; false if none could be had. */
bool operation_get_ticket(struct load *l, struct operation *p, uint32_t n);
/** Presents once through daemon `n`; the answer is in `out`. */
enum http_result operation_present(struct load *l, struct operation *p,
				   uint32_t n, struct http_conn *c,
				   struct http_answer *out);
/** Notes a whole answer: crossed, outcome. True if the piece has ended. */
bool operation_record_answer(struct operation *p, const struct http_answer *a);
uint32_t operation_format_request(const struct load *l,
				  const struct operation *p, char *out,
				  uint32_t room);
enum operation_outcome operation_resolve(struct load *l, struct operation *p,
					 uint32_t n);

/* ---- cases ---- */

struct result {
	uint32_t requests;
	uint32_t ran;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t twice;
	uint32_t lost;
	uint32_t crossed;
	uint32_t wrong_not_run;
	uint32_t cut;
	uint32_t other; /**< what else the case forbids */
};

/** What callers were told against what the workers ran; once all has ended. */
void load_check(struct load *l, struct result *r);
/** All that has to be zero is. */
bool result_is_good(const struct result *r);
/** Prints pieces with a violation, and those that are unknown if wanted. */
void load_print_operations(const struct load *l, bool unknown);

struct fault_case {
	uint32_t number;
	const char *name;
	/** Runs the case with a fleet of its own; adds to `other`. */
	void (*run)(struct fleet *f, struct load *l, struct result *r);
};

extern const struct fault_case fault_cases[];
extern const uint32_t fault_case_count;

#endif
