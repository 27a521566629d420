/**
 * @file
 * Process-level failure tests: a fleet of real processes on loopback, callers
 * that follow the ticket protocol, the cases, and the check of their results.
 *
 * A payment first gets a ticket from one daemon (the issuer) and then presents
 * it at a daemon (the entry), which may be another. The home of a cell is the
 * daemon that schedules its requests (home/home.h). An operation is one request
 * of a caller over all its attempts; log lines call it "piece". Its run id is
 * "p" and its number. A planned stop is one by SIGTERM, in contrast to a kill.
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
#define TEXT_BYTES 128 /* size of text buffers */
/* Limit of a wait, so that a test that hangs comes to an end. Results do not
 * depend on it. */
#define HANG_TIMEOUT_MS 60000

/* ---- HTTP client of a caller (http.c) ---- */

/** A kept-alive connection of one caller to one daemon. */
struct http_conn {
	int32_t fd; /**< -1: closed */
	bool close_announced; /**< by the last answer */
	int64_t last_used_us; /**< end of the last exchange; 0: none yet */
};

struct http_answer {
	uint16_t status;
	bool connection_close; /**< the daemon closes the connection after it */
	char outcome[TEXT_BYTES]; /**< Azurehold-Outcome; "": none */
	char error[TEXT_BYTES]; /**< Azurehold-Error; "": none, so the answer is
				   that of a worker */
	char ticket[TICKET_TEXT_MAX_BYTES]; /**< Azurehold-Ticket; "": none */
	struct buf body;
};

enum http_result {
	HTTP_COMPLETE, /**< a complete answer came */
	HTTP_UNSENT, /**< no byte was sent, or no connection could be made */
	HTTP_LOST, /**< something was sent, but no complete answer came */
};

/** Connects if needed, sends the request and reads one answer. Closes the
 * connection after a failure. */
enum http_result http_exchange(struct http_conn *c, uint16_t port,
			       const char *request, uint32_t len_bytes,
			       int32_t timeout_ms, struct http_answer *out);
void http_close(struct http_conn *c);
void http_answer_free(struct http_answer *a);
/** Returns a socket connected to a port on loopback, or -1. */
int32_t http_connect(uint16_t port);
/** Sends one request on a new connection; true if the status is 200. */
bool http_single_request(uint16_t port, const char *method, const char *target,
			 struct http_answer *out);

/* ---- processes (fleet.c) ---- */

struct process {
	pid_t pid; /**< 0: not running */
	char log_path[2 * TEXT_BYTES]; /**< file of its output */
	int64_t log_start_bytes; /**< length of that file before the start */
	bool exited; /**< was seen to exit; not set by process_kill() */
	int32_t status; /**< wait status of waitpid() */
};

/** Starts a program with its output appended to the file `log`;
 * `descriptors_max` is its RLIMIT_NOFILE, 0: that of this process. Only for the
 * main thread: the process is killed when the thread that started it ends. */
void process_start(struct process *p, const char *log, char *const *argv,
		   uint32_t descriptors_max);
/** Sends SIGKILL and waits for the end. */
void process_kill(struct process *p);
/** False if the process has not exited after `limit_ms`. */
bool process_wait_exit(struct process *p, uint32_t limit_ms);
/** Waits for the first log line of the process. Before it a daemon may not
 * handle signals yet; a signal could even reach the forked child before its
 * exec. */
void process_wait_output(const struct process *p);

struct daemon {
	struct process process;
	uint64_t incarnation; /**< of its last start, as in its tickets */
	int32_t stopping; /**< atomic: a planned stop has begun */
	int64_t started_us; /**< atomic: when the process was started */
	bool has_tcp_relay;
	struct process tcp_relay; /**< between the other daemons and the peer
				     port of this one */
	char settings_path[TEXT_BYTES];
};

struct worker {
	struct process process;
	uint32_t starts; /**< each start has a run log of its own */
	char dc; /**< 'e' east or 'w' west */
	bool is_countinghouse; /**< of the service countinghouse, for payments;
				  otherwise of stockroom, for reads */
};

struct fleet_options {
	uint32_t daemons; /**< number */
	uint32_t service_ms; /**< mean service time of a worker */
	uint32_t drain_ms; /**< setting of the daemons */
	bool tcp_relays; /**< a TCP relay in front of each peer port */
	const char *daemon_lines; /**< further settings in [daemon]; or NULL */
	const char *conf_text; /**< further sections of the configuration; or
				  NULL */
	uint32_t answer_bytes; /**< padding in each answer of a worker */
	uint32_t descriptors_max; /**< RLIMIT_NOFILE of the daemons; 0: that of
				     this process */
};

struct fleet {
	const char *bin; /**< build folder of the stand-ins */
	char daemon_program[2 * TEXT_BYTES];
	char dir[TEXT_BYTES]; /**< folder of settings, logs and run logs */
	uint16_t first_port; /**< first of FLEET_PORTS */
	struct fleet_options options;
	uint32_t daemon_count;
	struct daemon daemons[DAEMONS_MAX];
	uint32_t worker_count;
	struct worker workers[WORKERS_MAX];
	uint64_t killed_incarnations[KILLED_MAX]; /**< by SIGKILL */
	uint32_t killed_count;
	uint32_t conf_version; /**< 0: the initial configuration */
	uint32_t failures; /**< unexpected exits, time-outs, and control
			      requests that failed */
};

/** Number of ports that one fleet uses. */
#define FLEET_PORTS 64

/** Reserves a range of ports against other runs on this machine until the
 * program exits. Returns its first port, or 0 if no range is free. */
uint16_t fleet_claim_ports(void);
/** Creates the folder and starts no process yet. `daemon` is the program of the
 * daemons; NULL: the one in `bin`. `port` is the first of FLEET_PORTS. */
void fleet_init(struct fleet *f, const char *bin, const char *daemon,
		uint16_t port);
/** Removes a folder with its files. */
void folder_remove(const char *path);
/** Removes the folder of the fleet with its files. */
void fleet_remove(const struct fleet *f);
/** Port of daemon `n` for requests of callers. */
uint16_t daemon_port(const struct fleet *f, uint32_t n);
uint16_t peer_port(const struct fleet *f, uint32_t n);
uint16_t worker_control_port(const struct fleet *f, uint32_t n);
/** Starts all processes and waits as fleet_wait_ready(). */
void fleet_start(struct fleet *f, const struct fleet_options *o);
/** Planned stop of the running daemons; then waits until the workers are idle,
 * so that fleet_for_each_run() sees all runs. A daemon that had exited by
 * itself counts as a failure. */
void fleet_stop(struct fleet *f);
/** Sends SIGKILL to all processes and waits for their end. */
void fleet_abort(struct fleet *f);
void daemon_start(struct fleet *f, uint32_t n);
/** Sends SIGKILL, and notes the incarnation for was_killed(). */
void daemon_kill(struct fleet *f, uint32_t n);
/** Sends a signal, after the first log line of a daemon that is starting. */
void daemon_signal(struct fleet *f, uint32_t n, int sig);
/** Writes another version of the configuration, which differs by the path
 * /changeN (N is `version`) of one route, and sends SIGHUP to the daemons. */
void fleet_change_conf(struct fleet *f, uint32_t version);
/** Sends SIGTERM and does not wait for the exit. */
void daemon_begin_stop(struct fleet *f, uint32_t n);
/** Waits for the exit after daemon_begin_stop(); false if it took too long or
 * the exit status is not 0. */
bool daemon_wait_stopped(struct fleet *f, uint32_t n);
/** Planned stop: daemon_begin_stop() and daemon_wait_stopped(). */
bool daemon_stop(struct fleet *f, uint32_t n);
/** Waits until each running daemon knows the tickets of each other one. */
void fleet_wait_ready(struct fleet *f);
void worker_start(struct fleet *f, uint32_t n);
void worker_kill(struct fleet *f, uint32_t n);
/** Begins a fault; `query` is as for fault_parse() in fake/fake.h. */
void worker_set_fault(struct fleet *f, uint32_t n, const char *query);
/** Changes the TCP relay of daemon `n`; `query` is as in fake/relay_main.c. */
void tcp_relay_set(struct fleet *f, uint32_t n, const char *query);
/** True if daemon_kill() ended the daemon of this incarnation. */
bool was_killed(const struct fleet *f, uint64_t incarnation);
/** Calls `visit` with the run ids and their numbers of runs at each worker. An
 * id may come several times; its numbers add up. */
void fleet_for_each_run(struct fleet *f,
			void (*visit)(void *arg, const char *run_id,
				      uint32_t runs),
			void *arg);
void sleep_ms(uint32_t ms);

/* ---- callers (caller.c) ---- */

enum operation_outcome {
	OPERATION_PENDING, /**< has not ended */
	OPERATION_RAN, /**< a worker has answered */
	OPERATION_NOT_RUN, /**< the answer was not-run, or no attempt that
			      could run it was sent */
	OPERATION_UNKNOWN, /**< neither is known */
};

/** One request of a caller over all its attempts. */
struct operation {
	uint32_t id;
	bool is_payment; /**< needs a ticket; otherwise a read */
	enum operation_outcome outcome;
	uint32_t attempts;
	uint32_t crossed; /**< number of answers that belong to another request
			   */
	bool answered_not_run; /**< an answer had the outcome not-run */
	uint32_t worker_runs; /**< number of runs that the workers report */
	uint32_t answered_runs; /**< highest run number in an answer */
	struct ticket ticket;
	char ticket_text[TICKET_TEXT_MAX_BYTES];
	char error[TEXT_BYTES]; /**< Azurehold-Error of the last refusal */
};

struct load_options {
	uint32_t threads; /**< number of callers */
	uint32_t reads_percent;
	uint32_t deadline_ms;
	uint32_t think_ms; /**< longest pause between operations of a caller */
	const char *organisation;
	int32_t issuer; /**< daemon that issues the tickets; -1: any */
	int32_t entry; /**< daemon of the first attempt; -1: any */
};

/** The callers of a case and all their operations. */
struct load {
	struct fleet *fleet;
	struct load_options options;
	uint64_t seed;
	pthread_mutex_t lock; /**< of the counts */
	pthread_cond_t changed; /**< ended_count or started_count */
	struct operation *operations; /**< OPERATIONS_MAX, never moved */
	uint32_t operation_count;
	uint32_t ended_count;
	uint32_t started_count; /**< reads, and payments that have a ticket */
	uint32_t cut_count; /**< attempts that a planned stop interrupted */
	uint32_t against_notice; /**< requests against what a worker had said */
	uint32_t repeat_count; /**< atomic: attempts of all operations that did
				  not end them */
	int32_t stop; /**< atomic: callers start no more operations */
	uint32_t thread_count;
	pthread_t threads[THREADS_MAX];
};

void load_init(struct load *l, struct fleet *f, uint64_t seed);
/** Starts the callers. `o` NULL: with the options of load_init(). */
void load_start(struct load *l, const struct load_options *o);
/** Waits until `n` more operations have ended, or HANG_TIMEOUT_MS. */
void load_wait_ended(struct load *l, uint32_t n);
/** Waits until `n` more operations have started, or `limit_ms`. */
void load_wait_started(struct load *l, uint32_t n, uint32_t limit_ms);
/** Waits until each caller has ended its current operation. */
void load_stop(struct load *l);
void load_free(struct load *l);
/** NULL after OPERATIONS_MAX operations. */
struct operation *operation_new(struct load *l, bool is_payment);
/** Gets a ticket for the operation from daemon `n`; false on failure. */
bool operation_get_ticket(struct load *l, struct operation *p, uint32_t n);
/** Makes one attempt through daemon `n`, with the ticket if there is one; `out`
 * gets the answer. */
enum http_result operation_present(struct load *l, struct operation *p,
				   uint32_t n, struct http_conn *c,
				   struct http_answer *out);
/** Records the outcome of a complete answer, and whether it is crossed. True if
 * the operation has ended. */
bool operation_record_answer(struct operation *p, const struct http_answer *a);
/** Writes the HTTP request to `out`; returns its length. */
uint32_t operation_format_request(const struct load *l,
				  const struct operation *p, char *out,
				  uint32_t size);
/** Makes attempts, first through daemon `n`, until the outcome is known or no
 * attempt can tell it. */
enum operation_outcome operation_resolve(struct load *l, struct operation *p,
					 uint32_t n);

/* ---- results (judge.c) and cases (cases.c) ---- */

/** Counts of a case, as in its row. */
struct result {
	uint32_t requests;
	uint32_t ran;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t twice; /**< payments that ran more than once */
	uint32_t lost; /**< payments that ran and are unknown to their caller
			  though their issuer was not killed */
	uint32_t crossed; /**< answers that belong to another request */
	uint32_t wrong_not_run; /**< operations that were answered not-run, but
				   that a worker ran */
	uint32_t cut; /**< attempts that a planned stop interrupted */
	uint32_t other; /**< violations that only the case detects, and failures
			   of the fleet */
};

/** Compares what callers were answered with what the workers ran. To be called
 * once all operations have ended. */
void load_check(struct load *l, struct result *r);
/** True if twice, crossed, wrong_not_run, cut and other are 0. lost is only
 * shown. */
bool result_is_good(const struct result *r);
/** Prints the first 20 operations that have a violation or, if `unknown` is
 * true, an unknown outcome. */
void load_print_operations(const struct load *l, bool unknown);

struct fault_case {
	uint32_t number;
	const char *name;
	/** Starts the fleet and runs the case; counts violations that only
	 * this case can detect in `other`. */
	void (*run)(struct fleet *f, struct load *l, struct result *r);
};

extern const struct fault_case fault_cases[];
extern const uint32_t fault_case_count;

#endif
