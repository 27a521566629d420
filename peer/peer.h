/**
 * @file
 * ONC RPC between daemons over TCP, each record signed by the fleet key.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include <apr_hash.h>

#include "lib/az.h"
#include "ticket/ticket.h"

#define PEER_PROGRAM 0x20a2e001U
#define PEER_VERSION 1U
#define PEER_RECORD_MAX_BYTES (8U << 20)

enum peer_procedure {
	PEER_HELLO = 1,
	PEER_PRESENT,
	PEER_HANDOVER,
	PEER_CONF_LIST,
	PEER_CONF_GET,
};

/* ---- authentication (auth.c) ---- */

#define FLEET_KEYS_MAX 4
#define FLEET_KEY_BYTES 32
#define FLEET_MAC_BYTES 16
/** "1:" and the digits of one key. */
#define FLEET_KEY_TEXT_BYTES (2 + 2 * FLEET_KEY_BYTES + 1)

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

/** Where the contents of a sealed datagram begin. */
#define FLEET_PAYLOAD_OFFSET (8 + FLEET_MAC_BYTES)

/** Puts a magic number, a key id and a MAC over the rest before the contents,
 * which end at `len_bytes`. There must be a key. */
void fleet_sign_datagram(const struct fleet_keys *k, uint32_t magic,
			 uint8_t *data, uint32_t len_bytes);
/** AZ_INVALID if it is no such datagram, AZ_DENIED if the MAC is wrong. */
enum az_status fleet_verify_datagram(const struct fleet_keys *k, uint32_t magic,
				     const uint8_t *data, uint32_t len_bytes);

/* ---- records (rpc.c) ---- */

/** State of one connection's authentication; both ends hold the same. */
struct peer_session {
	uint64_t client_nonce;
	uint64_t server_nonce;
	uint64_t sent; /**< sequence of the last record sent */
	uint64_t received; /**< of the last accepted; must rise */
};

/** Header of a received record. */
struct peer_record {
	bool is_call;
	uint32_t xid;
	uint32_t procedure; /**< of a call */
	const uint8_t *body; /**< arguments or results, inside the record */
	uint32_t body_bytes;
};

struct peer_hello {
	uint64_t member_id;
	uint64_t incarnation;
	uint64_t nonce;
};

/** Appends a record mark, an RPC call or reply header signed for the session,
 * and the body. */
void peer_put_call(struct buf *out, struct peer_session *s,
		   const struct fleet_keys *k, uint32_t xid,
		   enum peer_procedure proc, const struct buf *body);
void peer_put_reply(struct buf *out, struct peer_session *s,
		    const struct fleet_keys *k, uint32_t xid,
		    const struct buf *body);
/** Bytes of the first whole record with its mark in `in`, 0 if it is not whole
 * yet; AZ_INVALID in `st` if its length is over the limit. */
uint32_t peer_record_bytes(const uint8_t *in, uint32_t len_bytes,
			   enum az_status *st);
/** Parses and verifies one whole record; `from_client` tells its direction.
 * AZ_DENIED if MAC or sequence is wrong. */
enum az_status peer_get_record(const uint8_t *in, uint32_t len_bytes,
			       bool from_client, struct peer_session *s,
			       const struct fleet_keys *k,
			       struct peer_record *out);

/* Bodies: put functions append to `out`, get functions return AZ_INVALID on
 * malformed input and then own nothing. */

void peer_put_hello(struct buf *out, const struct peer_hello *h);
enum az_status peer_get_hello(const struct peer_record *r,
			      struct peer_hello *h);
void peer_put_answer(struct buf *out, const struct answer *a);
enum az_status peer_get_answer(const struct peer_record *r, struct answer **a);
void peer_put_present(struct buf *out, const struct ticket *t,
		      const struct request *q, int64_t now_us);
enum az_status peer_get_present(const struct peer_record *r, int64_t now_us,
				struct ticket *t, struct request **q);
void peer_put_handover(struct buf *out, const struct ledger_part *i);
enum az_status peer_get_handover(const struct peer_record *r,
				 struct ledger_part **i);
/** GOAWAY is a reply with this xid: calls above the sequence in its body were
 * not taken and are certainly not run. */
#define PEER_XID_GOAWAY 0U
void peer_put_goaway(struct buf *out, uint64_t last_sequence);
enum az_status peer_get_goaway(const struct peer_record *r,
			       uint64_t *last_sequence);
void peer_put_bytes(struct buf *out, const struct buf *body);
enum az_status peer_get_bytes(const struct peer_record *r, struct buf *body);

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
	void (*handle_present)(struct peer_handler *h, const struct ticket *t,
			       struct request *r, struct reply_to *reply);
	/** ERR_NONE with an empty body if adopted. */
	void (*handle_handover)(struct peer_handler *h, struct ledger_part *i,
				struct reply_to *reply);
	/** `body` is a text of the conf slice; the answer's body too. */
	void (*handle_conf)(struct peer_handler *h, enum peer_procedure proc,
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
/** Once stopped, and when no part can answer any more. */
void peer_destroy(struct peer *p);
/** Takes no new connection and no new call; tells the callers which calls were
 * taken, so that they try the others elsewhere. */
void peer_quiesce(struct peer *p);
/** Port in use, if the settings leave it to the kernel (0). */
uint16_t peer_port(const struct peer *p);
/** Connections of other daemons that are open. Any thread. */
uint32_t peer_inbound_count(struct peer *p);
void peer_set_keys(struct peer *p, const struct fleet_keys *k);

/*
 * Calls to another daemon. Each is written once, ever. `reply` gets exactly one
 * answer: the daemon's; ERR_PEER_UNREACHABLE if no byte of the call was
 * written; ERR_PEER_LOST if the connection broke or `deadline_us` passed.
 */

/** Takes ownership of `r`; NULL asks for the status. */
void peer_send_present(struct peer *p, const struct peer_target *to,
		       const struct ticket *t, struct request *r,
		       int64_t deadline_us, struct reply_to *reply);
/** Takes ownership of `i`. */
void peer_send_handover(struct peer *p, const struct peer_target *to,
			struct ledger_part *i, int64_t deadline_us,
			struct reply_to *reply);
void peer_send_conf(struct peer *p, const struct peer_target *to,
		    enum peer_procedure proc, const struct buf *body,
		    int64_t deadline_us, struct reply_to *reply);

/* ---- between the files of this slice ---- */

#define PEER_OUT_MAX_BYTES (32U << 20)

enum peer_conn_state {
	PEER_CONN_CONNECTING,
	PEER_CONN_HELLO, /**< waits for the other end's HELLO */
	PEER_CONN_READY,
};

struct peer_conn {
	struct poll_handler poll;
	struct peer *peer;
	apr_pool_t *pool;
	struct peer_conn *next;
	struct peer_conn *prev;
	uint64_t id;
	bool outbound;
	bool retired; /**< takes no new calls */
	bool going_away; /**< inbound: what still arrives is not taken */
	enum peer_conn_state state;
	struct peer_target target; /**< of an outbound one */
	uint64_t key[2]; /**< the target's, for by_target */
	struct peer_session session;
	struct buf in;
	struct buf out;
	uint64_t out_base; /**< stream position of out.data[0] */
	struct peer_call *calls; /**< sent or waiting for HELLO */
	int64_t used_us;
	int64_t due_us; /**< of connect and HELLO */
};

/** A call to another daemon that is not answered yet. */
struct peer_call {
	struct peer_call *next;
	struct peer_call *prev;
	struct peer_conn *conn;
	uint32_t xid;
	bool encoded;
	uint64_t start; /**< stream position of its first byte */
	uint64_t sequence; /**< of its record on the connection */
	struct msg msg;
	struct peer *peer;
	struct peer_target target;
	enum peer_procedure procedure;
	struct buf body;
	int64_t deadline_us;
	struct reply_to *reply; /**< NULL: nobody waits */
};

struct peer_listener {
	struct poll_handler poll;
	struct peer *peer;
};

struct peer {
	struct duty duty;
	struct peer_settings settings;
	struct peer_listener listener;
	apr_hash_t *by_target; /**< outbound, shared */
	apr_hash_t *by_id;
	apr_hash_t *by_xid;
	struct peer_conn *conns;
	uint64_t next_conn;
	uint32_t next_xid;
	uint32_t serving; /**< atomic */
	uint32_t inbound; /**< atomic */
	bool quiet; /**< peer_quiesce() was called */
	int64_t armed_us;
	struct counter *calls;
	struct counter *lost;
	struct counter *served;
	struct counter *denied;
	struct counter *bytes_out;
};

void peer_arm(struct peer *p, int64_t at_us);
void peer_target_key(const struct peer_target *t, uint64_t key[2]);
/** New calls to the target open another connection. */
void peer_forget_target(struct peer_conn *c);
/** Answers a call with `a`, which it takes, and frees it. */
void peer_call_answer(struct peer_call *c, struct answer *a);
void peer_call_unlink(struct peer_call *c);
/** Ends a call whose connection failed, by whether its bytes were sent. */
void peer_call_fail(struct peer_call *c);
void peer_call_encode(struct peer_conn *c, struct peer_call *k);
void peer_encode_waiting(struct peer_conn *c);
struct peer_conn *peer_conn_open(struct peer *p, const struct peer_target *to);
enum az_status peer_conn_connect(struct peer_conn *c);
/** Writes what it can; false if the connection broke. */
bool peer_conn_flush(struct peer_conn *c);
void peer_conn_close(struct peer_conn *c);
extern const struct poll_ops peer_accept_ops;
enum az_status peer_on_hello_call(struct peer_conn *c,
				  const struct peer_record *r);
enum az_status peer_on_call(struct peer_conn *c, const struct peer_record *r);
/** Acts on one verified record; not AZ_OK: the connection is closed. */
enum az_status peer_on_record(struct peer_conn *c, const struct peer_record *r);

#endif
