/**
 * @file
 * Stand-ins for the scripts of this review: the platform's metadata store,
 * workers, consumers, and the start and end of daemons. One process with a
 * thread for each connection. All addresses are loopback ones.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H


#include <stdbool.h>
#include <stdint.h>

#define DAEMONS_MAX 16
#define WORKERS_MAX 32

/* Milliseconds since the start of the case, of the steady clock. */
int64_t now_ms(void);
void wait_until_ms(int64_t at_ms);
/* Writes a line to the record, with the time in front. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* ---- the store ---- */

void store_set_first_revision(uint64_t revision);
/* Writes an object; returns its revision. The return is the store's ack. */
uint64_t store_put(const char *kind, const char *name, const char *spec);
uint64_t store_delete(const char *kind, const char *name);
/* The daemon's connections to the store that are open now go silent; `later`
 * also those that it opens later. */
void store_silence(int daemon, bool later);
void store_heal(int daemon);
/* The store accepts the daemon's connections but answers none of its calls;
 * calls that met the silence are never answered. */
void store_mute(int daemon, bool on);
/* Resets the daemon's connections to the store that are open now. */
void store_reset(int daemon);
/* Number of watch calls of a daemon that wait now. */
int store_waiting(int daemon);
/* Watch calls of a daemon so far. */
int store_watches(int daemon);

/* ---- workers ---- */

struct worker {
	char id[32];
	char service[32];
	char zone[32];
	int work_ms;
	uint16_t port;
	char ip[24];
	volatile bool down; /* closes its connections and refuses new ones */
	volatile int shed_percent; /* requests that it rejects, not run */
	volatile int error_percent; /* requests that it runs and answers 500 */
	volatile int extra_percent; /* answers that it repeats, see below */
	int listen_fd;
	volatile int running;
};

extern struct worker workers[WORKERS_MAX];
extern int worker_count;

struct worker *worker_start(const char *service, const char *zone, int work_ms);
/* Writes the worker's entry in the store, with this state. */
void worker_register(struct worker *w, const char *state);
/* The process ends: open connections are reset, new ones refused. */
void worker_end(struct worker *w);

/*
 * After `extra_percent` of its answers a worker sends additional bytes: the
 * first ones of a copy of that answer, which breaks off at a random place. They
 * come late, where the next answer on the connection is expected.
 */

/* One request that a worker began to run. */
struct run {
	int64_t at_ms;
	struct worker *worker;
	char id[24];
	int status; /* of its answer; 0: none yet */
};

/* Calls f for each run so far. */
void runs_each(void (*f)(const struct run *r, void *arg), void *arg);

/* ---- daemons ---- */

struct daemon {
	char name[32];
	char zone[32];
	char ip[24];
	char store_ip[24];
	int pid;
	int peak_mb;
	char settings[512];
	char log[512];
};

extern struct daemon daemons[DAEMONS_MAX];
extern int daemon_count;

/* Starts `n` daemons for each of the zones, and waits until all are ready. */
bool fleet_start(const char *const *zones, int zone_count, int per_zone);
void daemon_run(struct daemon *d);
bool daemon_wait_ready(struct daemon *d, int limit_ms);
/* The platform kills a process that exceeds its memory: false if it did. */
bool daemon_check_memory(struct daemon *d, int max_mb);
void fleet_end(void);

/* ---- consumers ---- */

struct exchange {
	int64_t sent_ms;
	int64_t ended_ms;
	int daemon;
	bool idempotent;
	char id[24];
	char host[32];
	char path[64];
	int status; /* 0: no whole answer */
	char signature[48]; /* the worker's id in it */
};

/* Sends one request on a new connection; thread safe. */
void consumer_send(int daemon, const char *method, const char *host,
		   const char *path, int timeout_ms, struct exchange *out);
/* Starts consumers that send a request to each daemon every `gap_ms`. */
void consumers_start(const char *method, const char *host, const char *path,
		     int gap_ms, int timeout_ms);
void consumers_stop(void);
/* Starts a consumer that sends one request with a body of this size. */
void upload_start(int daemon, const char *host, const char *path, long bytes);
int uploads_running(void);
void exchanges_each(void (*f)(const struct exchange *x, void *arg), void *arg);

/* Ends all, with this exit status. */
void finish(int status) __attribute__((noreturn));

extern bool trouble; /* false with TROUBLE=0 */

void case_main(const char *name);

#endif
