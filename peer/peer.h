/**
 * @file
 * ONC RPC (RFC 5531) between daemons over TCP. Each record is signed with a
 * fleet key, which all daemons of the fleet share.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include <apr_hash.h>

#include "lib/az.h"
#include "ticket/ticket.h"

/** RPC program number, from the range that RFC 5531 leaves to users, and its
 * version. */
#define PEER_PROGRAM 0x20a2e001U
#define PEER_VERSION 1U
/** Without the record mark. */
#define PEER_RECORD_MAX_BYTES (8U << 20)

enum peer_procedure {
	PEER_HELLO = 1, /**< first call on a connection: exchanges nonces and
			   incarnations */
	PEER_PRESENT, /**< presents a ticket to its issuer, with the request or
			 to ask for the status */
	PEER_HANDOVER, /**< hands a part of a ticket ledger to the successor */
	PEER_CONF_LIST, /**< offers configuration objects, or asks which ones
			   the other daemon has; see conf/ */
	PEER_CONF_GET, /**< asks for the values of configuration objects, or for
			  the state of feed/ */
};

/* ---- authentication (auth.c) ---- */

#define FLEET_KEYS_MAX 4
#define FLEET_KEY_BYTES 32
#define FLEET_MAC_BYTES 16
/** Size of a text with one key: a one-digit id, a colon, the hex digits and a
 * null byte. */
#define FLEET_KEY_TEXT_BYTES (2 + 2 * FLEET_KEY_BYTES + 1)

struct fleet_key {
	uint32_t id;
	uint8_t secret[FLEET_KEY_BYTES];
};

/** Keys that are accepted; the first one signs. */
struct fleet_keys {
	uint32_t count;
	struct fleet_key keys[FLEET_KEYS_MAX];
};

/** Parses keys of the form "ID:64 hex digits", separated by commas; the first
 * one signs. */
enum az_status fleet_keys_parse(const char *s, struct fleet_keys *out);
/** Writes the MAC of `data` with the signing key to `mac`; returns the key's
 * id. */
uint32_t fleet_sign(const struct fleet_keys *k, const void *data,
		    size_t len_bytes, uint8_t mac[FLEET_MAC_BYTES]);
/** True if one of the keys has this id and `mac` is the MAC of `data` with it.
 */
bool fleet_verify(const struct fleet_keys *k, uint32_t key_id, const void *data,
		  size_t len_bytes, const uint8_t mac[FLEET_MAC_BYTES]);

/** Offset in bytes of the contents of a signed datagram, after the magic
 * number, the key id and the MAC. */
#define FLEET_PAYLOAD_OFFSET (8 + FLEET_MAC_BYTES)

/** Fills in the magic number, the key id and the MAC of the contents, which lie
 * between FLEET_PAYLOAD_OFFSET and `len_bytes`. There must be at least one key.
 */
void fleet_sign_datagram(const struct fleet_keys *k, uint32_t magic,
			 uint8_t *data, uint32_t len_bytes);
/** Verifies a datagram that fleet_sign_datagram() signed. AZ_INVALID if it is
 * too short or has another magic number, AZ_DENIED if the MAC is wrong. */
enum az_status fleet_verify_datagram(const struct fleet_keys *k, uint32_t magic,
				     const uint8_t *data, uint32_t len_bytes);

/* ---- records (rpc.c) ---- */

/** Authentication state of one connection; both ends have the same nonces. */
struct peer_session {
	uint64_t client_nonce;
	uint64_t server_nonce;
	uint64_t sent; /**< sequence number of the last record sent */
	uint64_t received; /**< sequence number of the last record accepted;
			      that of the next must be higher */
};

/** Header of a received record. */
struct peer_record {
	bool is_call;
	uint32_t xid;
	uint32_t procedure; /**< of a call */
	const uint8_t *body; /**< arguments or results, inside the record */
	uint32_t body_bytes;
};

/** Contents of a HELLO, about its sender. */
struct peer_hello {
	uint64_t member_id;
	uint64_t incarnation;
	uint64_t nonce; /**< random; both ends sign later records with it */
};

/** The next two append a whole record: record mark, RPC call or reply header
 * with the MAC for this session, and body. */
void peer_put_call(struct buf *out, struct peer_session *s,
		   const struct fleet_keys *k, uint32_t xid,
		   enum peer_procedure proc, const struct buf *body);
void peer_put_reply(struct buf *out, struct peer_session *s,
		    const struct fleet_keys *k, uint32_t xid,
		    const struct buf *body);
/** Length in bytes of the first record in `in` including its mark; 0 if it has
 * not arrived completely or is refused. Sets `st` to AZ_INVALID if it is
 * refused, because it is longer than PEER_RECORD_MAX_BYTES or fragmented, to
 * AZ_OK otherwise. */
uint32_t peer_record_bytes(const uint8_t *in, uint32_t len_bytes,
			   enum az_status *st);
/** Parses and verifies one whole record. `from_client` is true if the sender
 * opened the connection: it sends only calls, the other end only replies.
 * AZ_INVALID if the header is malformed, AZ_DENIED if the MAC or the sequence
 * number is wrong. */
enum az_status peer_get_record(const uint8_t *in, uint32_t len_bytes,
			       bool from_client, struct peer_session *s,
			       const struct fleet_keys *k,
			       struct peer_record *out);

/* Bodies of calls and replies: the put functions append to `out`. The get
 * functions return AZ_INVALID if the input is malformed; their results then own
 * nothing. */

void peer_put_hello(struct buf *out, const struct peer_hello *h);
enum az_status peer_get_hello(const struct peer_record *r,
			      struct peer_hello *h);
void peer_put_answer(struct buf *out, const struct answer *a);
enum az_status peer_get_answer(const struct peer_record *r, struct answer **a);
/** `q` NULL: no request, only a query of the ticket's status. */
void peer_put_present(struct buf *out, const struct ticket *t,
		      const struct request *q, int64_t now_us);
enum az_status peer_get_present(const struct peer_record *r, int64_t now_us,
				struct ticket *t, struct request **q);
void peer_put_handover(struct buf *out, const struct ledger_part *part);
enum az_status peer_get_handover(const struct peer_record *r,
				 struct ledger_part **part);
/** GOAWAY announces that a daemon stops: it is a reply with this xid that
 * answers no call. Calls with a higher sequence number than the one in its body
 * were not accepted and certainly do not run. */
#define PEER_XID_GOAWAY 0U
void peer_put_goaway(struct buf *out, uint64_t last_sequence);
enum az_status peer_get_goaway(const struct peer_record *r,
			       uint64_t *last_sequence);
/** Bodies of PEER_CONF_LIST and PEER_CONF_GET: bytes that this folder does not
 * interpret. */
void peer_put_bytes(struct buf *out, const struct buf *body);
enum az_status peer_get_bytes(const struct peer_record *r, struct buf *body);

/* ---- the duty ---- */

/** The daemon to call. If another incarnation answers at the address, the call
 * fails. */
struct peer_target {
	uint32_t ip; /**< IPv4, host byte order */
	uint16_t port;
	uint64_t incarnation;
};

struct peer_handler;

/** Handles calls from other daemons, in the peer thread. Each function must
 * cause one answer through `reply`, from any thread. */
struct peer_handler_ops {
	/** Takes ownership of `r`; NULL: a query of the ticket's status. */
	void (*handle_present)(struct peer_handler *h, const struct ticket *t,
			       struct request *r, struct reply_to *reply);
	/** Takes ownership of `part`. Answers ERR_NONE with an empty body if
	 * the part of the ledger was adopted. */
	void (*handle_handover)(struct peer_handler *h,
				struct ledger_part *part,
				struct reply_to *reply);
	/** PEER_CONF_LIST or PEER_CONF_GET. The bodies of call and answer are
	 * texts of conf/ or feed/. The function may take the contents of
	 * `body`. */
	void (*handle_conf)(struct peer_handler *h, enum peer_procedure proc,
			    struct buf *body, struct reply_to *reply);
};

struct peer_handler {
	const struct peer_handler_ops *ops;
};

struct peer_settings {
	uint32_t ip; /**< own address to bind, IPv4, host byte order */
	uint16_t port; /**< TCP; 0: chosen by the kernel */
	uint64_t member_id;
	uint64_t incarnation;
	uint32_t in_flight_max; /**< calls from other daemons handled at once;
				   further ones are answered with an error */
	uint32_t setups_max; /**< inbound connections before their HELLO; 0: 64
			      */
	struct fleet_keys keys;
	struct peer_handler *handler;
};

struct peer;

/** NULL if the port cannot be listened on or the thread's resources cannot be
 * created. */
struct peer *peer_create(const struct peer_settings *s,
			 struct timer_service *timers, apr_pool_t *pool);
enum az_status peer_start(struct peer *p);
void peer_stop(struct peer *p);
/** Only after peer_stop(), and when no other thread can answer a call any more.
 */
void peer_destroy(struct peer *p);
/** Accepts no further connections and calls. The callers learn by GOAWAY which
 * calls were accepted, so that they can send the others elsewhere. Any thread.
 */
void peer_quiesce(struct peer *p);
/** The port listened on, which the kernel chooses if the settings have 0. */
uint16_t peer_port(const struct peer *p);
/** Number of open connections from other daemons. Any thread. */
uint32_t peer_inbound_count(struct peer *p);
/** Replaces the keys for records sent and received from now on. Any thread. */
void peer_set_keys(struct peer *p, const struct fleet_keys *k);

/* Calls to another daemon, from any thread. A call is never sent twice. `reply`
 * gets exactly one answer: that of the other daemon; ERR_PEER_UNREACHABLE if no
 * byte of the call was sent or the other daemon did not accept it;
 * ERR_PEER_LOST if a part of the call was sent and then the connection broke or
 * `deadline_us` passed. */

/** Takes ownership of `r`; if `r` is NULL, asks for the status of the ticket.
 */
void peer_send_present(struct peer *p, const struct peer_target *to,
		       const struct ticket *t, struct request *r,
		       int64_t deadline_us, struct reply_to *reply);
/** Takes ownership of `part`. */
void peer_send_handover(struct peer *p, const struct peer_target *to,
			struct ledger_part *part, int64_t deadline_us,
			struct reply_to *reply);
/** `proc` is PEER_CONF_LIST or PEER_CONF_GET. */
void peer_send_conf(struct peer *p, const struct peer_target *to,
		    enum peer_procedure proc, const struct buf *body,
		    int64_t deadline_us, struct reply_to *reply);

/* ---- private to this folder ---- */

/** A record before the HELLO is no longer than this. Until then the other end
 * may be anyone who reaches the port. */
#define PEER_HELLO_MAX_BYTES 1024
/** A connection with more unsent bytes than that is closed. */
#define PEER_SEND_QUEUE_MAX_BYTES (32U << 20)

enum peer_conn_state {
	PEER_CONN_CONNECTING,
	PEER_CONN_HELLO, /**< waiting for the other end's HELLO */
	PEER_CONN_READY,
};

/** A connection with another daemon, opened by this one (outbound) or by the
 * other (inbound). */
struct peer_conn {
	struct poll_handler poll;
	struct peer *peer;
	apr_pool_t *pool;
	struct peer_conn *next;
	struct peer_conn *prev;
	uint64_t id; /**< unique in this process */
	bool outbound;
	bool retired; /**< no new calls are sent on it */
	bool goaway_sent; /**< inbound: GOAWAY was sent, and further calls are
			     ignored */
	enum peer_conn_state state;
	struct peer_target target; /**< outbound: the daemon at the other end */
	uint64_t key[2]; /**< outbound: see peer_target_key() */
	struct peer_session session;
	struct buf receive_buf;
	struct buf send_buf;
	uint64_t send_offset; /**< bytes sent on the connection so far: the
				   offset of send_buf.data[0] in the stream */
	struct peer_call *calls; /**< outbound: calls not yet answered, sent or
				    waiting for HELLO; newest first */
	int64_t last_used_us; /**< when a record was last received or a call
				 made */
	int64_t setup_deadline_us; /**< when connecting and HELLO must be done
				    */
};

/** A call to another daemon that has not been answered. */
struct peer_call {
	struct peer_call *next;
	struct peer_call *prev;
	struct peer_conn *conn;
	uint32_t xid;
	bool encoded; /**< appended to the connection's send_buf */
	uint64_t first_byte; /**< offset of its first byte in the stream of the
				connection */
	uint64_t sequence; /**< sequence number of its record */
	struct msg msg;
	struct peer *peer;
	struct peer_target target;
	enum peer_procedure procedure;
	struct buf body;
	int64_t deadline_us;
	struct reply_to *reply; /**< NULL: no answer is wanted */
};

/** The socket that accepts connections. */
struct peer_listener {
	struct poll_handler poll;
	struct peer *peer;
};

struct peer {
	struct duty duty;
	struct peer_settings settings;
	struct peer_listener listener;
	apr_hash_t *by_target; /**< outbound connections that take new calls */
	apr_hash_t *by_id;
	apr_hash_t *by_xid;
	struct peer_conn *conns;
	uint64_t last_conn_id;
	uint32_t last_xid;
	uint32_t calls_in_service; /**< calls from other daemons not yet
				      answered; atomic */
	uint32_t inbound; /**< open connections from other daemons; atomic */
	bool quiesced; /**< the listener is closed, after peer_quiesce() */
	int64_t armed_us; /**< when the timer expires; 0: not armed */
	struct counter *calls; /**< to other daemons */
	struct counter *lost_calls;
	struct counter *served; /**< calls from other daemons */
	struct counter *denied; /**< connections closed because of AZ_DENIED */
	struct counter *setups_closed; /**< inbound, before their HELLO */
	struct counter *bytes_out;
};

/** Makes the timer expire at `at_us` at the latest. */
void peer_arm_timer(struct peer *p, int64_t at_us);
/** Sets `key` to the key of the target in by_target. */
void peer_target_key(const struct peer_target *t, uint64_t key[2]);
/** Removes the connection from by_target: from now on calls to the same target
 * open another one. */
void peer_forget_target(struct peer_conn *c);
/** Answers the call and frees it; takes ownership of `a`. */
void peer_call_answer(struct peer_call *call, struct answer *a);
/** Removes the call from its connection and from by_xid. */
void peer_call_unlink(struct peer_call *call);
/** Unlinks and answers a call whose connection failed or whose deadline passed:
 * ERR_PEER_UNREACHABLE if none of it was sent, ERR_PEER_LOST otherwise. */
void peer_call_fail(struct peer_call *call);
/** Appends the call's record to the connection's send_buf. */
void peer_call_encode(struct peer_conn *c, struct peer_call *call);
/** Encodes the calls that waited for HELLO. */
void peer_encode_pending_calls(struct peer_conn *c);
/** A new outbound connection, without a socket until peer_conn_connect(). */
struct peer_conn *peer_conn_open(struct peer *p, const struct peer_target *to);
enum az_status peer_conn_connect(struct peer_conn *c);
/** Sends as much of send_buf as the socket accepts; false if the connection
 * broke. */
bool peer_conn_flush(struct peer_conn *c);
/** Fails the calls on the connection, and closes and frees it. */
void peer_conn_close(struct peer_conn *c);
extern const struct poll_ops peer_accept_ops;
/** These handle a HELLO and any other call from another daemon. */
enum az_status peer_on_hello_call(struct peer_conn *c,
				  const struct peer_record *r);
enum az_status peer_on_call(struct peer_conn *c, const struct peer_record *r);
/** Handles one verified record. The connection must be closed if the result is
 * not AZ_OK. */
enum az_status peer_on_record(struct peer_conn *c, const struct peer_record *r);

#endif
