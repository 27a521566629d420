/*
 * Stand-ins for the cases 11 to 15: the platform's store, workers, a balancer,
 * consumers, and the start and end of the daemons. One process; only the
 * daemons are processes of their own. All addresses are loopback addresses.
 */
#ifndef STAND_H
#define STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define FRONT_PORT 8381
#define READY_PORT 8388
#define CONTROL_PORT 8382
#define STORE_PORT 8384
#define WORKER_PORT 8080

/* ---- process ---- */

/* Arguments: PROGRAM AZHD RECORD; TROUBLE from the environment. */
void stand_begin(int argc, char **argv);
bool stand_trouble(void);
/* Ends all daemons that still run and exits: 0 held, 1 broken, 2 no run. */
void stand_end(int code) __attribute__((noreturn));
int64_t now_ms(void); /* since stand_begin() */
void sleep_ms(int64_t ms);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
uint32_t random_below(uint32_t n);
/* Address of a host of the case's own network; host 1 to 254. */
const char *host_ip(int host, char out[16]);

/* ---- store ---- */

void store_start(void);
/* Creates or replaces; a replacement by the same spec changes nothing. Returns
 * the store's revision afterwards. */
uint64_t store_put(const char *kind, const char *name, const char *spec);
void store_delete(const char *kind, const char *name);
/* Keeps a copy of everything, and later continues from it. */
void store_copy(void);
void store_restore(void);
/* While it is away, connections are reset. */
void store_set_away(bool away);
bool store_has(const char *kind, const char *name);
uint64_t store_revision(void);

/* ---- workers ---- */

struct worker {
	/* Set by the case. */
	int host;
	char name[32];
	char service[32];
	char zone[32];
	int slots;
	int work_min_ms;
	int work_max_ms;
	int answer_bytes;
	const char *limit; /* Server-Limit, or NULL */
	int64_t born;
	/* State. */
	pthread_mutex_t lock;
	pthread_cond_t free;
	int running;
	int waiting;
	int listener;
	int open_fds[1024];
	bool gone;
	bool draining;
	/* Called when a request begins to run; may be NULL. */
	void (*on_run)(struct worker *w, const char *id, const char *via);
};

void worker_start(struct worker *w);
/* Writes the entry, as the worker does at its start and when it changes. */
void worker_enter(struct worker *w, int cold_left_ms);
void worker_report_draining(struct worker *w);
/* Closes the listener and all connections, as the exit of the process does. */
void worker_exit(struct worker *w);

/* ---- daemons ---- */

struct daemon {
	int host;
	char name[32];
	char zone[32];
	char region[32];
	char seeds[128]; /* hosts separated by commas */
	pid_t pid;
	bool in_rotation;
	int misses;
	char settings[256];
};

extern const char *places; /* the lines of [places] */
void daemon_write_settings(struct daemon *d);
void daemon_start(struct daemon *d);
void daemon_signal(struct daemon *d, int signal);
/* Waits until it has exited; false after `ms`. */
bool daemon_wait(struct daemon *d, int64_t ms);
bool daemon_is_ready(struct daemon *d);
bool daemon_wait_ready(struct daemon *d, int64_t ms);

/* ---- consumers ---- */

struct answer {
	int status; /* 0: none */
	bool complete;
	bool close;
	bool nothing; /* the connection ended before any byte of it */
	int error; /* errno of the end; 0: closed */
	size_t length; /* announced */
	size_t received; /* of the body */
	char signature[64];
	char id[64];
};

struct connection {
	int fd; /* -1: closed */
	int receive_bytes; /* SO_RCVBUF; 0: default */
	int segment_bytes; /* TCP_MAXSEG; 0: default */
	/* Bytes a second that the link takes; 0: no limit. */
	int bytes_per_s;
	/* Time for which nothing is read after the head of an answer. */
	int pause_ms;
	char kept[16384]; /* bytes of the next answer */
	size_t kept_bytes;
};

bool connection_open(struct connection *c, int host, int port);
void connection_close(struct connection *c);
/* Sends a request with an empty or `body_bytes` long body and reads its answer.
 * `via` is the header that tells the worker which daemon passed it on. False if
 * the request could not be sent. */
bool exchange(struct connection *c, const char *method, const char *host,
	      const char *path, const char *id, const char *via,
	      int time_left_ms, int body_bytes, struct answer *a);
/* The parts of exchange(), for requests that are sent one behind the other. */
bool send_request(struct connection *c, const char *method, const char *host,
		  const char *path, const char *id, const char *via,
		  int time_left_ms, int body_bytes);
void read_answer(struct connection *c, struct answer *a);
void new_id(char out[17]);

#endif
