/*
 * Configuration (docs/design.md, section 2.1 "Configuration"; invariant I7):
 * conditional updates with write ids by concurrent operators, watchers, relay
 * between daemons, restarts of daemons with empty state, outage and restore of
 * the store.
 *
 * One object. Its content is the id of the write that made it. The store keeps
 * with it the store's own revision, on which updates are conditional,
 * azurehold's version, and the ids of the writes that led to the content.
 *
 * Faults. A request to the store may be late or lost, its reply may be lost
 * after the update took effect, and the operator's client may send the request
 * again. The store may be down at any time; once (-DRESTORE) it is restored
 * from a backup of any age. Relayed content may be late. Daemons restart, one
 * at a time, with any of their peers unreachable. If a restore falls into a
 * write, azhctl ends the write with an unknown outcome, and its request is
 * dropped. Reads of the store are never stale.
 *
 * Bounds. Three writes: two concurrent ones and one after them. Three daemons:
 * two watch the store, the third hears from its peers only. One object, since
 * objects share no state.
 */
#ifndef WRITES
#define WRITES 3
#endif
#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define VERSIONS 8

/* State of a write in azhctl. */
#define IDLE 0
#define READ 1 /* the current object was read */
#define WAITING 2 /* for the reply to the update */
#define ACCEPTED 3
#define REFUSED 4
#define GAVE_UP 5 /* reported as an unknown outcome */

#define BIT(w) (1 << (w))

/* the store */
bit store_down;
byte revision;
byte version; /* of azurehold */
byte write_id; /* of the last write, counted from 1; 0: no write yet */
byte recent_writes; /* set of writes, as bits */
bit restored; /* a restore has happened */

/* writes */
byte write_state[WRITES];
byte if_revision[WRITES];
byte new_version[WRITES];
bit update_in_flight[WRITES]; /* request to the store */
bit success_in_flight[WRITES]; /* reply of the store */
bit conflict_in_flight[WRITES]; /* reply of the store */
bit took_effect[WRITES];

/* daemons */
byte applied_version[DAEMONS];
byte applied_content[DAEMONS];
byte incoming_content[DAEMONS]; /* in flight to the daemon */
byte incoming_version[DAEMONS]; /* 0: nothing is in flight */
bit starting[DAEMONS]; /* restarted, not in service yet */
byte unanswered_peers[DAEMONS]; /* set of asked peers */
/* The highest version of the reachable peers when the daemon restarted. */
byte reachable_version[DAEMONS];
byte restarts;

byte writer_of[VERSIONS]; /* write that made the version, from 1; 0: none */
byte highest_version; /* that ever took effect */

inline report_refused(w)
{
	write_state[w] = REFUSED;
	assert(!took_effect[w])
}

/* Drops late requests of writes that have ended: the revision has moved on, so
 * that their condition fails and they have no effect. */
inline drop_late_updates()
{
#ifdef UNCONDITIONAL
	skip
#else
	for (i : 0 .. WRITES - 1) {
		if
		:: write_state[i] != WAITING -> update_in_flight[i] = 0
		:: else
		fi
	}
	i = 0
#endif
}

/* Reads the revision and chooses the version of a write. It is above the
 * store's version and at least the present time, so that a version that a
 * restore has lost is not used again. `highest_version` stands for the clock:
 * a later write has a later time. */
inline prepare_write(w)
{
	if_revision[w] = revision;
#if defined(VERSION_OF_STORE)
	new_version[w] = version;
#elif defined(VERSION_OF_FLEET)
	new_version[w] = version;
	for (i : 0 .. DAEMONS - 1) {
		if
		:: applied_version[i] > new_version[w] ->
			new_version[w] = applied_version[i]
		:: else
		fi
	}
	i = 0;
#else
	new_version[w] = highest_version;
#endif
	new_version[w]++
}

/* An update takes effect at the store. */
inline take_effect(w)
{
	took_effect[w] = 1;
	revision++;
	version = new_version[w];
	write_id = w + 1;
	recent_writes = recent_writes | BIT(w);
#ifndef LIVENESS
	assert(writer_of[version] == 0);
#endif
	writer_of[version] = w + 1;
	if
	:: version > highest_version -> highest_version = version
	:: else
	fi;
	drop_late_updates()
}

#ifdef SERIAL
/* Writes without faults, one after the other, to check the daemons alone. */
proctype azhctl(byte w)
{
	byte i;

end:	atomic {
		!store_down && (w == 0 || write_state[w - 1] == ACCEPTED) ->
		prepare_write(w);
		take_effect(w);
		write_state[w] = ACCEPTED
	}
}
#else
/* One write. Code: cmd/azhctl/azhctl.c, conf/apply.c, conf/store.c. */
proctype azhctl(byte w)
{
	byte i;

end:	do
	:: atomic {
		write_state[w] == IDLE && !store_down &&
		(w < 2 || write_state[0] >= ACCEPTED) ->
		prepare_write(w);
		write_state[w] = READ
	}
	:: atomic {
		write_state[w] == READ ->
		write_state[w] = WAITING;
		update_in_flight[w] = 1
	}
	:: atomic {
		write_state[w] == WAITING && success_in_flight[w] ->
		write_state[w] = ACCEPTED
	}
#ifdef CONFLICT_IS_REFUSAL
	:: atomic {
		write_state[w] == WAITING && conflict_in_flight[w] ->
		report_refused(w)
	}
#endif
#ifdef LOST_IS_FAILURE
	:: atomic { write_state[w] == WAITING -> report_refused(w) }
#endif
	/* A conflict, or no reply: reads the object back. */
	:: atomic {
		write_state[w] == WAITING && !store_down ->
		if
#ifdef READS_BACK_LATEST
		:: write_id == w + 1 -> write_state[w] = ACCEPTED
		:: write_id != w + 1 && revision != if_revision[w] ->
			report_refused(w)
		:: write_id != w + 1 && revision == if_revision[w] ->
			update_in_flight[w] = 1
#else
		:: recent_writes & BIT(w) -> write_state[w] = ACCEPTED
		:: !(recent_writes & BIT(w)) && revision != if_revision[w] ->
			report_refused(w)
		:: !(recent_writes & BIT(w)) && revision == if_revision[w] ->
#ifdef READS_BACK_ONCE
			report_refused(w)
#else
			/* The first copy may still arrive: sends it again. */
			update_in_flight[w] = 1
#endif
#endif
		fi
	}
	od
}
#endif

#ifndef SERIAL
/* The store handles one update. Code: the platform's store, fake/store.c. */
proctype update(byte w)
{
	byte i;

end:	do
	:: atomic {
		update_in_flight[w] && !store_down ->
		if
		:: update_in_flight[w] = 0
		/* The client sends another copy. */
		:: write_state[w] == WAITING -> skip
		fi;
		if
#ifndef UNCONDITIONAL
		:: revision != if_revision[w] ->
#ifdef CONFLICT_IS_REFUSAL
			conflict_in_flight[w] = (write_state[w] == WAITING)
#else
			skip /* the writer reads back, as after a lost reply */
#endif
#endif
		:: else ->
			assert(write_state[w] != REFUSED);
			take_effect(w);
			if
			:: write_state[w] == WAITING -> success_in_flight[w] = 1
			:: skip /* the reply is lost */
			fi
		fi
	}
	od
}
#endif

/* The store goes down and comes up again, once. */
active proctype outage()
{
end:	atomic { !store_down -> store_down = 1 };
	store_down = 0
}

#ifdef RESTORE
/* The store is restored to its state after an earlier write. */
active proctype restore()
{
	byte i;
	byte k;

end:	atomic {
		if
		:: revision > 0 -> k = revision - 1
		:: revision > 1 -> k = revision - 2
		:: revision > 2 -> k = revision - 3
		fi;
		restored = 1;
		revision = k;
		version = k;
		write_id = writer_of[k];
		recent_writes = 0;
		for (i : 1 .. k) {
			recent_writes = recent_writes | BIT(writer_of[i] - 1)
		}
		for (i : 0 .. WRITES - 1) {
			update_in_flight[i] = 0;
			success_in_flight[i] = 0;
			conflict_in_flight[i] = 0;
			if
			:: write_state[i] == READ ||
			   write_state[i] == WAITING ->
				write_state[i] = GAVE_UP
			:: else
			fi
		}
		i = 0;
		k = 0
	}
}
#endif

#define NEWER(v, d) ((v) > applied_version[d] && (v) > incoming_version[d])
#ifdef APPLIES_ANYTHING
#define WANTED(v, d) ((v) != applied_version[d])
#else
#define WANTED(v, d) NEWER(v, d)
#endif

/* Puts a version and its content in flight to daemon d. */
inline fetch(d, v, c)
{
	incoming_version[d] = v;
	incoming_content[d] = c
}

/* What one daemon learns from the store and from its peers. Code: conf/watch.c,
 * conf/forward.c, conf/conf_duty.c. */
proctype relay(byte d)
{
	byte i;

end:	do
	/* The watch of the store; the last daemon is not a watcher. */
	:: atomic {
		d < DAEMONS - 1 && !starting[d] && !store_down &&
		WANTED(version, d) ->
		fetch(d, version, write_id)
	}
	:: atomic {
		!starting[d] && !starting[(d + 1) % DAEMONS] &&
		WANTED(applied_version[(d + 1) % DAEMONS], d) ->
		fetch(d, applied_version[(d + 1) % DAEMONS],
		      applied_content[(d + 1) % DAEMONS])
	}
	:: atomic {
		!starting[d] && !starting[(d + 2) % DAEMONS] &&
		WANTED(applied_version[(d + 2) % DAEMONS], d) ->
		fetch(d, applied_version[(d + 2) % DAEMONS],
		      applied_content[(d + 2) % DAEMONS])
	}
	/* What is in flight arrives. */
	:: atomic {
		incoming_version[d] != 0 ->
		if
#ifdef APPLIES_ANYTHING
		:: true ->
#else
		:: incoming_version[d] > applied_version[d] ->
#endif
			assert(incoming_version[d] >= applied_version[d]);
			applied_version[d] = incoming_version[d];
			applied_content[d] = incoming_content[d]
#ifndef APPLIES_ANYTHING
		:: else
#endif
		fi;
		fetch(d, 0, 0)
	}
	od
}

/* Takes a version and its content if it is newer than what daemon d has. */
inline adopt_if_newer(d, v, c)
{
	if
	:: (v) > applied_version[d] ->
		applied_version[d] = v;
		applied_content[d] = c
	:: else
	fi
}

#if defined(STARTS_FROM_STORE)
#define START_COMPLETE(d) true
#elif defined(STARTS_FROM_FIRST)
#define START_COMPLETE(d) (unanswered_peers[d] == 0 || applied_version[d] != 0)
#else
#define START_COMPLETE(d) (unanswered_peers[d] == 0)
#endif

/* Restart of a daemon. It asks the reachable peers and the store, and then
 * serves the highest version that they have. Code: conf/forward.c. */
proctype restart(byte d)
{
	byte i;

end:	atomic {
		restarts < RESTARTS && !starting[(d + 1) % DAEMONS] &&
		!starting[(d + 2) % DAEMONS] ->
		restarts++;
		starting[d] = 1;
		applied_version[d] = 0;
		applied_content[d] = 0;
		fetch(d, 0, 0);
		if
		:: unanswered_peers[d] = 0
		:: unanswered_peers[d] = BIT((d + 1) % DAEMONS)
		:: unanswered_peers[d] = BIT((d + 2) % DAEMONS)
		:: unanswered_peers[d] =
			BIT((d + 1) % DAEMONS) | BIT((d + 2) % DAEMONS)
		fi;
		for (i : 0 .. DAEMONS - 1) {
			if
			:: (unanswered_peers[d] & BIT(i)) &&
			   applied_version[i] > reachable_version[d] ->
				reachable_version[d] = applied_version[i]
			:: else
			fi
		}
		i = 0
	}
	do
	:: atomic {
		unanswered_peers[d] & BIT((d + 1) % DAEMONS) ->
		unanswered_peers[d] =
			unanswered_peers[d] - BIT((d + 1) % DAEMONS);
		adopt_if_newer(d, applied_version[(d + 1) % DAEMONS],
			       applied_content[(d + 1) % DAEMONS])
	}
	:: atomic {
		unanswered_peers[d] & BIT((d + 2) % DAEMONS) ->
		unanswered_peers[d] =
			unanswered_peers[d] - BIT((d + 2) % DAEMONS);
		adopt_if_newer(d, applied_version[(d + 2) % DAEMONS],
			       applied_content[(d + 2) % DAEMONS])
	}
	:: atomic {
		START_COMPLETE(d) ->
		if
		:: !store_down -> adopt_if_newer(d, version, write_id)
		:: store_down || d == DAEMONS - 1
		fi;
		assert(applied_version[d] >= reachable_version[d]);
		unanswered_peers[d] = 0;
		reachable_version[d] = 0;
		starting[d] = 0;
		break
	}
	od
}

init {
	byte i;

	atomic {
		for (i : 0 .. WRITES - 1) {
			run azhctl(i)
#ifndef SERIAL
			;
			run update(i)
#endif
		}
		for (i : 0 .. DAEMONS - 1) {
			run relay(i);
			run restart(i)
		}
	}
}

/* Once writes, outages and restarts are over, and under weak fairness, all
 * daemons have the same content. It is the store's unless a restore has set the
 * store back to an older version. */
#define ALL_SAME (applied_version[0] == applied_version[1] && \
	applied_version[0] == applied_version[DAEMONS - 1] && \
	applied_content[0] == applied_content[1] && \
	applied_content[0] == applied_content[DAEMONS - 1])
#define SAME_AS_STORE ( \
	version == applied_version[0] && write_id == applied_content[0] || \
	restored && version < applied_version[0])
#ifdef LIVENESS
/* A process that can always run, so that every execution is infinite: spin does
 * not extend a blocked execution under fairness and would not check it. */
bit tick;

active proctype ticker()
{
	do
	:: tick = 1 - tick
	od
}

ltl in_force { <> [] (ALL_SAME && SAME_AS_STORE) }
#endif
