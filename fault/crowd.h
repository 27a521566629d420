/**
 * @file
 * Crowds of clients that misbehave: what they send, what the daemon uses
 * meanwhile, and whether ordinary requests are answered.
 */
#ifndef FAULT_CROWD_H
#define FAULT_CROWD_H

#include "fault/fault.h"

#define CLIENTS_MAX 1024 /**< of a crowd */
#define CROWDS_MAX 4
/** Offsets of ports of the fleet that no other process uses. */
#define PORT_READY 56
#define PORT_ADMIN 57

#define ORGANISATION                       \
	"Azurehold-Organisation: desk\r\n" \
	"Authorization: Bearer desk-token\r\n"
#define GET_STOCK "GET /stock/x HTTP/1.1\r\nHost: x\r\n" ORGANISATION "\r\n"

/** What each client of a crowd sends and reads. */
struct crowd_plan {
	uint32_t clients; /**< number */
	uint16_t port;
	const char *head; /**< all clients send it before any sends more */
	struct buf unit; /**< sent again and again after that */
	uint64_t stream_bytes; /**< of the units that each client sends */
	bool reads; /**< reads what comes */
};

struct client {
	int32_t fd; /**< -1: closed */
	uint64_t sent_bytes;
};

/** The highest values seen in a case. */
struct peaks {
	uint64_t memory_bytes; /**< resident, and received but not read */
	uint32_t descriptors;
};

struct crowd {
	struct crowd_plan plan;
	struct client clients[CLIENTS_MAX];
};

/** A case and its state. */
struct run {
	struct fleet *fleet;
	struct crowd crowds[CROWDS_MAX];
	uint32_t crowd_count;
	struct peaks peaks;
	bool good; /**< each check of the case itself has held */
};

/** Bound of the descriptors where a case sets none: a client each, and as many
 * again as a small fleet needs. */
#define DESCRIPTORS_BOUND 2048

struct crowd_case {
	const char *name;
	uint32_t memory_mb; /**< setting, and bound of the daemon's memory */
	uint32_t descriptors_max; /**< limit, and bound; 0: the bound is
				     DESCRIPTORS_BOUND */
	uint32_t answer_bytes;
	void (*run)(struct run *r);
};

/* ---- crowds, and what the daemon uses (crowd.c) ---- */

/** Adds a crowd at the daemon's port for callers. */
struct crowd_plan *add_crowd(struct run *r);
/** Connects all clients, lets them send until they come to rest, and waits
 * until the daemon's memory is at rest. */
void crowds_run(struct run *r);
void crowds_close(struct run *r);
/** Notes what the daemon uses now in r->peaks. */
void take_peaks(struct run *r);
bool daemon_lives(struct run *r);
/** Sends a request on a new connection until it is answered with 200: a refusal
 * asks the caller to come back. False if it never is. */
bool request_is_answered(struct run *r, const struct buf *request);
/** Requires that an ordinary request is answered. */
void expect_ordinary(struct run *r, const char *when);
/** Prints `what` and notes that the case does not hold, unless `held`. */
void expect(struct run *r, bool held, const char *what);

/* ---- cases (crowd_cases.c) ---- */

/** Configuration of all cases, beside that of the fleet. */
extern const char crowd_conf[];
extern const struct crowd_case crowd_cases[];
extern const uint32_t crowd_case_count;

#endif
