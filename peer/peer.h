/**
 * @file
 * ONC RPC between daemons over TCP, each record signed by the fleet key.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "lib/az.h"
#include "cell/cell.h"
#include "ticket/ticket.h"

#define PEER_PROGRAM 0x20a2e001U
#define PEER_VERSION 1U
#define PEER_RECORD_MAX_BYTES (8U << 20)

enum peer_procedure {
	PEER_HELLO = 1,
	PEER_PRESENT,
	PEER_FORWARD,
	PEER_QUERY,
	PEER_CANCEL,
	PEER_HANDOVER,
	PEER_REACH,
	PEER_CONF_LIST,
	PEER_CONF_GET,
};

/* ---- authentication (auth.c) ---- */

#define FLEET_KEYS_MAX 4
#define FLEET_KEY_BYTES 32
#define FLEET_MAC_BYTES 16

struct fleet_key {
	uint32_t id;
	uint8_t secret[FLEET_KEY_BYTES];
};

/** Accepted keys; the first signs. */
struct fleet_keys {
	uint32_t count;
	struct fleet_key keys[FLEET_KEYS_MAX];
};

/** Parses "ID:64 hex digits", several separated by commas; the first signs. */
enum az_status fleet_keys_parse(const char *s, struct fleet_keys *out);
/** MAC of `len_bytes` by the signing key; returns the key id. */
uint32_t fleet_sign(const struct fleet_keys *k, const void *data,
		    size_t len_bytes, uint8_t mac[FLEET_MAC_BYTES]);
bool fleet_verify(const struct fleet_keys *k, uint32_t key_id, const void *data,
		  size_t len_bytes, const uint8_t mac[FLEET_MAC_BYTES]);

/* ---- the duty ---- */

/** Where to call; a daemon of another incarnation refuses the connection. */
struct peer_target {
	uint32_t ip;
	uint16_t port;
	uint64_t incarnation;
};

struct peer_handler;

/** Serves calls of other daemons; runs in the peer thread. */
struct peer_handler_ops {
	void (*present)(struct peer_handler *h, const struct ticket *t,
			struct request *r, struct reply_to *reply);
	void (*forward)(struct peer_handler *h, struct forward *f,
			struct reply_to *reply);
	void (*query)(struct peer_handler *h, const struct call_id *id,
		      uint64_t home_incarnation, struct reply_to *reply);
	void (*cancel)(struct peer_handler *h, const struct call_id *id);
	/** ERR_NONE with an empty body if adopted. */
	void (*handover)(struct peer_handler *h, struct ledger_image *i,
			 struct reply_to *reply);
	/** Answers ERR_NONE if a connection to the worker can be made. */
	void (*reach)(struct peer_handler *h, uint32_t ip, uint16_t port,
		      struct reply_to *reply);
	/** `body` is a text of the conf slice; the answer's body too. */
	void (*conf)(struct peer_handler *h, enum peer_procedure proc,
		     struct buf *body, struct reply_to *reply);
};

struct peer_handler {
	const struct peer_handler_ops *ops;
};

struct peer_settings {
	uint32_t ip;
	uint16_t port;
	uint64_t member_id;
	uint64_t incarnation;
	uint32_t in_flight_max; /**< calls of other daemons served at once */
	struct fleet_keys keys;
	struct peer_handler *handler;
};

struct peer;

struct peer *peer_create(const struct peer_settings *s,
			 struct timer_service *timers, apr_pool_t *pool);
enum az_status peer_start(struct peer *p);
void peer_stop(struct peer *p);
void peer_set_keys(struct peer *p, const struct fleet_keys *k);

/*
 * Calls to another daemon. Each is written once, ever. `reply` gets exactly one
 * answer: the daemon's; ERR_PEER_UNREACHABLE if no byte of the call was
 * written; ERR_PEER_LOST if the connection broke or `deadline_us` passed.
 */

/** Takes ownership of `f`. */
void peer_forward(struct peer *p, const struct peer_target *to,
		  struct forward *f, int64_t deadline_us,
		  struct reply_to *reply);
/** On a connection of its own, so that a silent one cannot hide the answer. */
void peer_query(struct peer *p, const struct peer_target *to,
		const struct call_id *id, int64_t deadline_us,
		struct reply_to *reply);
/** Takes ownership of `r`; NULL asks for the status. */
void peer_present(struct peer *p, const struct peer_target *to,
		  const struct ticket *t, struct request *r,
		  int64_t deadline_us, struct reply_to *reply);
void peer_cancel(struct peer *p, const struct peer_target *to,
		 const struct call_id *id);
/** Takes ownership of `i`. */
void peer_handover(struct peer *p, const struct peer_target *to,
		   struct ledger_image *i, int64_t deadline_us,
		   struct reply_to *reply);
void peer_reach(struct peer *p, const struct peer_target *to, uint32_t ip,
		uint16_t port, int64_t deadline_us, struct reply_to *reply);
void peer_conf(struct peer *p, const struct peer_target *to,
	       enum peer_procedure proc, const struct buf *body,
	       int64_t deadline_us, struct reply_to *reply);

#endif
