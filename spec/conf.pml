/*
 * Configuration (docs/design.md, section 2.1 "Configuration"; invariant I7):
 * conditional updates with write ids by racing operators, watchers, relay
 * between daemons, restarts with empty state, outage and restore of the store.
 *
 * One object. Its content is the id of the write that made it. The store keeps
 * with it a revision of its own, on which updates are conditional, azurehold's
 * version, and the ids of the writes that led to it.
 *
 * Faults. A request to the store may be late or lost, its reply may be lost
 * after it took effect, and the operator's client may send it again. The
 * store may be down at any time; once (-DRESTORE) it is restored from a copy of
 * any age. Relayed content may be late. Daemons restart, one at a time, with
 * any peers out of reach. azhctl gives up, saying unknown, before a restore is over,
 * and no request lives through a restore. Reads of the store are not stale.
 *
 * Bounds. Three writes: two that race and one after them. Three daemons, of
 * which two watch the store and one has only peers. One object, since objects
 * share nothing.
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

/* State of a write at azhctl. */
#define IDLE 0
#define READ 1
#define WAITING 2
#define ACCEPTED 3
#define REFUSED 4
#define GAVE_UP 5 /* reported as unknown */

#define BIT(w) (1 << (w))

/* store */
bit down;
byte rev;
byte ver;
byte id; /* write id + 1, 0 at first */
byte history; /* set of write ids */
bit restored;

/* writes */
byte write[WRITES];
byte if_rev[WRITES];
byte new_ver[WRITES];
bit request[WRITES]; /* message */
bit ok[WRITES]; /* message */
bit conflict[WRITES]; /* message */
bit took_effect[WRITES];

/* daemons */
byte applied[DAEMONS];
byte content[DAEMONS];
byte coming[DAEMONS]; /* content on its way */
byte coming_ver[DAEMONS];
bit starting[DAEMONS];
byte asked[DAEMONS]; /* peers that have not answered yet */
byte reachable[DAEMONS]; /* highest version among peers at its start */
byte restarts;

byte winner[VERSIONS];
byte latest; /* highest version ever accepted */

inline report_refused(w)
{
	write[w] = REFUSED;
	assert(!took_effect[w])
}

/* A copy of an ended write whose condition is gone does nothing any more. */
inline drop_late()
{
#ifdef UNCONDITIONAL
	skip
#else
	for (i : 0 .. WRITES - 1) {
		if
		:: write[i] != WAITING -> request[i] = 0
		:: else
		fi
	}
	i = 0
#endif
}

/* The version of a write is above the store's and at least the present time, so
 * that a version lost by a restore is not used again; `latest` is the clock that
 * all writers share as far as that needs it. */
inline choose_version(w)
{
	if_rev[w] = rev;
#if defined(VERSION_OF_STORE)
	new_ver[w] = ver;
#elif defined(VERSION_OF_FLEET)
	new_ver[w] = ver;
	for (i : 0 .. DAEMONS - 1) {
		if
		:: applied[i] > new_ver[w] -> new_ver[w] = applied[i]
		:: else
		fi
	}
	i = 0;
#else
	new_ver[w] = latest;
#endif
	new_ver[w]++
}

/* An update takes effect at the store. */
inline take_effect(w)
{
	took_effect[w] = 1;
	rev++;
	ver = new_ver[w];
	id = w + 1;
	history = history | BIT(w);
#ifndef LIVENESS
	assert(winner[ver] == 0);
#endif
	winner[ver] = w + 1;
	if
	:: ver > latest -> latest = ver
	:: else
	fi;
	drop_late()
}

#ifdef SERIAL
/* Writes one after the other that no fault disturbs: for the daemons' part. */
proctype azhctl(byte w)
{
	byte i;

end:	atomic {
		!down && (w == 0 || write[w - 1] == ACCEPTED) ->
		choose_version(w);
		take_effect(w);
		write[w] = ACCEPTED
	}
}
#else
/* cmd/azhctl: one write. */
proctype azhctl(byte w)
{
	byte i;

end:	do
	:: atomic {
		write[w] == IDLE && !down && (w < 2 || write[0] >= ACCEPTED) ->
		choose_version(w);
		write[w] = READ
	}
	:: atomic { write[w] == READ -> write[w] = WAITING; request[w] = 1 }
	:: atomic { write[w] == WAITING && ok[w] -> write[w] = ACCEPTED }
#ifdef CONFLICT_IS_REFUSAL
	:: atomic { write[w] == WAITING && conflict[w] -> report_refused(w) }
#endif
#ifdef LOST_IS_FAILURE
	:: atomic { write[w] == WAITING -> report_refused(w) }
#endif
	/* A conflict, or no reply: reads back. */
	:: atomic {
		write[w] == WAITING && !down ->
		if
#ifdef READS_BACK_LATEST
		:: id == w + 1 -> write[w] = ACCEPTED
		:: id != w + 1 && rev != if_rev[w] -> report_refused(w)
		:: id != w + 1 && rev == if_rev[w] -> request[w] = 1
#else
		:: history & BIT(w) -> write[w] = ACCEPTED
		:: !(history & BIT(w)) && rev != if_rev[w] -> report_refused(w)
		:: !(history & BIT(w)) && rev == if_rev[w] ->
#ifdef READS_BACK_ONCE
			report_refused(w)
#else
			/* The first copy may come yet: sends it again. */
			request[w] = 1
#endif
#endif
		fi
	}
	od
}
#endif

#ifndef SERIAL
/* The platform's store (fake/store.c): one update. */
proctype update(byte w)
{
	byte i;

end:	do
	:: atomic {
		request[w] && !down ->
		if
		:: request[w] = 0
		:: write[w] == WAITING -> skip /* the client sends it again */
		fi;
		if
#ifndef UNCONDITIONAL
		:: rev != if_rev[w] ->
#ifdef CONFLICT_IS_REFUSAL
			conflict[w] = (write[w] == WAITING)
#else
			skip /* the writer reads back, as after a loss */
#endif
#endif
		:: else ->
			assert(write[w] != REFUSED);
			take_effect(w);
			if
			:: write[w] == WAITING -> ok[w] = 1
			:: skip /* the reply is lost */
			fi
		fi
	}
	od
}
#endif

/* The store goes away and comes back. */
active proctype outage()
{
end:	atomic { !down -> down = 1 };
	down = 0
}

#ifdef RESTORE
/* The store comes back with what it had after some earlier write. */
active proctype restore()
{
	byte i;
	byte k;

end:	atomic {
		if
		:: rev > 0 -> k = rev - 1
		:: rev > 1 -> k = rev - 2
		:: rev > 2 -> k = rev - 3
		fi;
		restored = 1;
		rev = k;
		ver = k;
		id = winner[k];
		history = 0;
		for (i : 1 .. k) {
			history = history | BIT(winner[i] - 1)
		}
		for (i : 0 .. WRITES - 1) {
			request[i] = 0;
			ok[i] = 0;
			conflict[i] = 0;
			if
			:: write[i] == READ || write[i] == WAITING ->
				write[i] = GAVE_UP
			:: else
			fi
		}
		i = 0;
		k = 0
	}
}
#endif

#define HIGHER(v, d) ((v) > applied[d] && (v) > coming_ver[d])
#ifdef APPLIES_ANYTHING
#define WANTED(v, d) ((v) != applied[d])
#else
#define WANTED(v, d) HIGHER(v, d)
#endif

inline fetch(d, v, c)
{
	coming_ver[d] = v;
	coming[d] = c
}

/* conf/store.c, conf/forward.c: what one daemon hears. */
proctype relay(byte d)
{
	byte i;

end:	do
	/* The watch; the last daemon has none. */
	:: atomic {
		d < DAEMONS - 1 && !starting[d] && !down && WANTED(ver, d) ->
		fetch(d, ver, id)
	}
	:: atomic {
		!starting[d] && !starting[(d + 1) % DAEMONS] &&
		WANTED(applied[(d + 1) % DAEMONS], d) ->
		fetch(d, applied[(d + 1) % DAEMONS], content[(d + 1) % DAEMONS])
	}
	:: atomic {
		!starting[d] && !starting[(d + 2) % DAEMONS] &&
		WANTED(applied[(d + 2) % DAEMONS], d) ->
		fetch(d, applied[(d + 2) % DAEMONS], content[(d + 2) % DAEMONS])
	}
	/* It comes. */
	:: atomic {
		coming_ver[d] != 0 ->
		if
#ifdef APPLIES_ANYTHING
		:: true ->
#else
		:: coming_ver[d] > applied[d] ->
#endif
			assert(coming_ver[d] >= applied[d]);
			applied[d] = coming_ver[d];
			content[d] = coming[d]
#ifndef APPLIES_ANYTHING
		:: else
#endif
		fi;
		fetch(d, 0, 0)
	}
	od
}

inline merge(d, v, c)
{
	if
	:: (v) > applied[d] ->
		applied[d] = v;
		content[d] = c
	:: else
	fi
}

#if defined(STARTS_FROM_STORE)
#define HEARD_ENOUGH(d) true
#elif defined(STARTS_FROM_FIRST)
#define HEARD_ENOUGH(d) (asked[d] == 0 || applied[d] != 0)
#else
#define HEARD_ENOUGH(d) (asked[d] == 0)
#endif

/* conf/conf.c: restart of a daemon. It asks the peers that it reaches and the
 * store, and is in service with the highest. */
proctype restart(byte d)
{
	byte i;

end:	atomic {
		restarts < RESTARTS && !starting[(d + 1) % DAEMONS] &&
		!starting[(d + 2) % DAEMONS] ->
		restarts++;
		starting[d] = 1;
		applied[d] = 0;
		content[d] = 0;
		fetch(d, 0, 0);
		if
		:: asked[d] = 0
		:: asked[d] = BIT((d + 1) % DAEMONS)
		:: asked[d] = BIT((d + 2) % DAEMONS)
		:: asked[d] = BIT((d + 1) % DAEMONS) | BIT((d + 2) % DAEMONS)
		fi;
		for (i : 0 .. DAEMONS - 1) {
			if
			:: (asked[d] & BIT(i)) && applied[i] > reachable[d] ->
				reachable[d] = applied[i]
			:: else
			fi
		}
		i = 0
	}
	do
	:: atomic {
		asked[d] & BIT((d + 1) % DAEMONS) ->
		asked[d] = asked[d] - BIT((d + 1) % DAEMONS);
		merge(d, applied[(d + 1) % DAEMONS], content[(d + 1) % DAEMONS])
	}
	:: atomic {
		asked[d] & BIT((d + 2) % DAEMONS) ->
		asked[d] = asked[d] - BIT((d + 2) % DAEMONS);
		merge(d, applied[(d + 2) % DAEMONS], content[(d + 2) % DAEMONS])
	}
	:: atomic {
		HEARD_ENOUGH(d) ->
		if
		:: !down -> merge(d, ver, id)
		:: down || d == DAEMONS - 1
		fi;
		assert(applied[d] >= reachable[d]);
		asked[d] = 0;
		reachable[d] = 0;
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
 * daemons have the same content, and the store's unless it was set back. */
#define SAME (applied[0] == applied[1] && applied[0] == applied[DAEMONS - 1] && \
	content[0] == content[1] && content[0] == content[DAEMONS - 1])
#define AS_STORE (ver == applied[0] && id == content[0] || \
	restored && ver < applied[0])
#ifdef LIVENESS
/* Time goes on when nothing else does, so that each run is infinite. */
bit tick;

active proctype time()
{
	do
	:: tick = 1 - tick
	od
}

ltl in_force { <> [] (SAME && AS_STORE) }
#endif
