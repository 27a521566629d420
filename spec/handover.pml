/*
 * Planned stop of an issuer and handover of its ledger (docs/design.md,
 * sections 2 and 2.1, "Leaving and stopping").
 *
 * Daemon 0 issued the tickets. It freezes its ledger and sends it in parts, one
 * for each ticket here, to daemon 1 or 2, which answers for the incarnation
 * once it has all of them. Daemon 1 may hand on what it adopted to daemon 2,
 * and may die and restart. Presentations go to any daemon at any time, as the
 * entries' views of who answers for the incarnation may be old or early.
 *
 * Faults. Messages are flags that the receiver may take at any time or never,
 * so that they are late, overtaken or lost. A part may come at any time after the
 * freeze, and again, since the acknowledgement may be lost. A pause is that a process is not chosen.
 *
 * Bounds. Two tickets, so that a part can be missing; three presentations; a
 * chain of two handovers. A call is one step here: it runs at most once, and
 * not-run is said of it only if it never runs. spec/ticket.pml shows that.
 */
#ifndef PRESENTATIONS
#define PRESENTATIONS 3
#endif
#ifndef TICKETS
#define TICKETS 2
#endif
#define DAEMONS 3

#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 4
#define UNUSED 0
#define RUNNING 8

/* What a daemon has of the incarnation. */
#define NOTHING 0
#define ADOPTING 1
#define SERVING 2
#define FROZEN 3

/* A call. */
#define UNSENT 0
#define IN_FLIGHT 1
#define HAS_RUN 2
#define GIVEN_UP 3 /* may still run; nobody waits */
#define OVER 4

#define NOT_YET 0
#define WAITING 1
#define TOLD 2
#define NOBODY 7

#define AT(d, t) ((d) * TICKETS + (t))

/* presentations */
byte ticket_of[PRESENTATIONS];
byte caller_has[PRESENTATIONS];
byte to_daemon[PRESENTATIONS]; /* message: to this daemon */
byte joined[PRESENTATIONS]; /* waits at this daemon */
byte to_entry[PRESENTATIONS]; /* messages: set of outcomes */
byte presented;

/* daemons */
byte has[DAEMONS];
byte ledger[DAEMONS * TICKETS];
bit got[DAEMONS * TICKETS]; /* parts that came */
byte successor[DAEMONS];
byte successor_inc[DAEMONS];
byte inc1; /* incarnation of daemon 1 */

byte call[DAEMONS * TICKETS];

byte runs[TICKETS];
bit told_not_run[TICKETS];
bit decided[TICKETS];

inline tell(p, outcome)
{
	if
	:: outcome == RAN ->
		assert(runs[ticket_of[p]] == 1);
		decided[ticket_of[p]] = 1
	:: outcome == NOT_RUN ->
		assert(runs[ticket_of[p]] == 0);
		told_not_run[ticket_of[p]] = 1;
		decided[ticket_of[p]] = 1
	:: else
	fi;
	caller_has[p] = TOLD;
	to_entry[p] = 0
}

inline answer_presentation(p, outcome)
{
	if
	:: caller_has[p] == WAITING -> to_entry[p] = to_entry[p] | (outcome)
	:: else
	fi
}

/* Answers the presentations that wait for a ticket at a daemon. */
inline answer_joined(d, t, outcome)
{
	for (i : 0 .. PRESENTATIONS - 1) {
		if
		:: joined[i] == d && ticket_of[i] == t ->
			joined[i] = NOBODY;
			answer_presentation(i, outcome)
		:: else
		fi
	}
	i = 0
}

/* A caller and front/front.c: one presentation at a time starts. */
proctype entry(byte p)
{
end:	do
	:: atomic {
		caller_has[p] == NOT_YET && presented == p ->
		if
		:: ticket_of[p] = 0
		:: TICKETS > 1 -> ticket_of[p] = TICKETS - 1
		fi;
		if
		:: decided[ticket_of[p]] -> caller_has[p] = TOLD
		:: else ->
			caller_has[p] = WAITING;
			if
			:: to_daemon[p] = 0
			:: to_daemon[p] = 1
			:: to_daemon[p] = 2
			fi
		fi;
		presented++
	}
#ifndef LIVENESS
	/* Gives up waiting. */
	:: atomic { caller_has[p] == WAITING -> tell(p, UNKNOWN) }
#endif
	:: atomic { to_entry[p] & RAN -> tell(p, RAN) }
	:: atomic { to_entry[p] & NOT_RUN -> tell(p, NOT_RUN) }
	:: atomic { to_entry[p] & UNKNOWN -> tell(p, UNKNOWN) }
	od
}

#if defined(SERVES_AFTER_FREEZE)
#define SERVES(d) (has[d] == SERVING || has[d] == FROZEN)
#elif defined(SERVES_BEFORE_LAST_PART)
#define SERVES(d) (has[d] == SERVING || has[d] == ADOPTING)
#else
#define SERVES(d) (has[d] == SERVING)
#endif
#define RECORD(p) ledger[AT(to_daemon[p], ticket_of[p])]

/* ticket/present.c and ticket/ledger.c at the daemon that was asked. */
proctype present(byte p)
{
end:	do
	:: atomic {
		to_daemon[p] != NOBODY ->
		if
		:: !SERVES(to_daemon[p]) -> answer_presentation(p, UNKNOWN)
		:: SERVES(to_daemon[p]) && RECORD(p) == UNUSED &&
		   call[AT(to_daemon[p], ticket_of[p])] == UNSENT ->
#ifdef REACH_SUCCESSOR_RUNS
			/* Reached: the second successor lets a ticket run. */
			assert(to_daemon[p] != 2 || has[1] != FROZEN);
#endif
			RECORD(p) = RUNNING;
			call[AT(to_daemon[p], ticket_of[p])] = IN_FLIGHT;
			joined[p] = to_daemon[p]
		:: SERVES(to_daemon[p]) && RECORD(p) == RUNNING ->
			joined[p] = to_daemon[p]
		:: SERVES(to_daemon[p]) && RECORD(p) != UNUSED &&
		   RECORD(p) != RUNNING ->
			answer_presentation(p, RECORD(p))
		fi;
		to_daemon[p] = NOBODY
	}
	od
}

/* route/route.c at daemon d and the homes: the call for a ticket, which may end
 * after the freeze. Its waiters hear the end; the frozen record stays. */
inline end_call(d, t, outcome)
{
	if
	:: has[d] == SERVING -> ledger[AT(d, t)] = outcome
	:: else
	fi;
	answer_joined(d, t, outcome)
}

#define ANSWERS(d, t) (ledger[AT(d, t)] == RUNNING && has[d] == SERVING || \
	has[d] == FROZEN)

proctype calls(byte d; byte t)
{
	byte i;

end:	do
	:: atomic {
		call[AT(d, t)] == IN_FLIGHT || call[AT(d, t)] == GIVEN_UP ->
		if
		:: call[AT(d, t)] == IN_FLIGHT -> call[AT(d, t)] = HAS_RUN
		:: else -> call[AT(d, t)] = OVER
		fi;
		runs[t]++;
		assert(runs[t] <= 1);
		assert(!told_not_run[t])
	}
	:: atomic {
		call[AT(d, t)] == HAS_RUN && ANSWERS(d, t) ->
		call[AT(d, t)] = OVER;
		end_call(d, t, RAN)
	}
	/* Refused or sealed: it never runs. */
	:: atomic {
		call[AT(d, t)] == IN_FLIGHT && ANSWERS(d, t) ->
		call[AT(d, t)] = OVER;
		end_call(d, t, NOT_RUN)
	}
	/* The deadline passes without proof. */
	:: atomic {
		call[AT(d, t)] == IN_FLIGHT && ANSWERS(d, t) ->
		call[AT(d, t)] = GIVEN_UP;
		end_call(d, t, UNKNOWN)
	}
	od
}

/* ticket_freeze() and the transfer. */
proctype stop(byte d)
{
	byte t;

end:	atomic {
		has[d] == SERVING ->
		has[d] = FROZEN;
		for (t : 0 .. TICKETS - 1) {
			if
			:: ledger[AT(d, t)] == RUNNING ->
#ifdef RUNNING_AS_UNUSED
				ledger[AT(d, t)] = UNUSED
#else
				ledger[AT(d, t)] = UNKNOWN
#endif
			:: else
			fi
		}
#ifdef WAITERS_DROPPED
		for (t : 0 .. PRESENTATIONS - 1) {
			if
			:: joined[t] == d -> joined[t] = NOBODY
			:: else
			fi
		}
#endif
		t = 0;
		if
		:: successor[d] = d + 1;
		:: d == 0 -> successor[d] = 2
		fi;
		if
		:: successor[d] == 1 -> successor_inc[d] = inc1
		:: else
		fi
	}
#ifdef SECOND_SUCCESSOR
	/* No acknowledgement: tries another one. */
end2:	atomic {
		successor[d] == 1 ->
		successor[d] = 2;
		successor_inc[d] = 0
	}
#endif
}

/* Whether the part is for the receiver's present incarnation. */
#ifdef IMAGE_TO_RESTARTED
#define FITS(d) true
#else
#define FITS(d) (successor[d] != 1 || successor_inc[d] == inc1)
#endif

/* ticket_adopt(): part t of daemon d's image comes. */
proctype adopt(byte d; byte t)
{
	byte i;

end:	do
	:: atomic {
		has[d] == FROZEN && FITS(d) &&
		(has[successor[d]] != ADOPTING || !got[AT(successor[d], t)]) ->
		if
		:: has[successor[d]] == NOTHING || has[successor[d]] == ADOPTING ->
			has[successor[d]] = ADOPTING;
			got[AT(successor[d], t)] = 1;
			ledger[AT(successor[d], t)] = ledger[AT(d, t)];
			for (i : 0 .. TICKETS - 1) {
				if
				:: !got[AT(successor[d], i)] -> break
				:: else
				fi
			}
			if
			:: i == TICKETS -> has[successor[d]] = SERVING
			:: else
			fi;
			i = 0
#ifdef ADOPTS_TWICE
		:: has[successor[d]] == SERVING ->
			ledger[AT(successor[d], t)] = ledger[AT(d, t)];
			call[AT(successor[d], t)] = UNSENT
#endif
		:: else
		fi
	}
	od
}

/* Daemon 1 dies; its next incarnation has adopted nothing. */
proctype restart()
{
	byte t;

end:	atomic {
		inc1 == 0 ->
		inc1 = 1;
		has[1] = NOTHING;
		for (t : 0 .. TICKETS - 1) {
			ledger[AT(1, t)] = UNUSED;
			got[AT(1, t)] = 0
#ifdef IMAGE_TO_RESTARTED
			;
			call[AT(1, t)] = UNSENT
#endif
		}
		for (t : 0 .. PRESENTATIONS - 1) {
			if
			:: joined[t] == 1 -> joined[t] = NOBODY
			:: else
			fi
		}
		t = 0
	}
}

init {
	byte i;
	byte t;

	atomic {
		has[0] = SERVING;
		for (i : 0 .. PRESENTATIONS - 1) {
			to_daemon[i] = NOBODY;
			joined[i] = NOBODY;
			run entry(i);
			run present(i)
		}
		for (i : 0 .. DAEMONS - 1) {
			for (t : 0 .. TICKETS - 1) {
				run calls(i, t);
				if
				:: i < 2 -> run adopt(i, t)
				:: else
				fi
			}
			t = 0
		}
		run stop(0);
		run stop(1);
#ifndef LIVENESS
		run restart()
#endif
	}
}

#ifdef LIVENESS
/* Time goes on when nothing else does, so that each run is infinite. */
bit tick;

active proctype time()
{
	do
	:: tick = 1 - tick
	od
}

/* Without losses and restarts, and under weak fairness: every presentation is
 * answered without the entry's own timeout, and a frozen ledger is adopted. */
ltl answered {
	[] (caller_has[0] == WAITING -> <> (caller_has[0] == TOLD)) &&
	[] (caller_has[1] == WAITING -> <> (caller_has[1] == TOLD)) &&
	[] (has[0] == FROZEN -> <> (has[successor[0]] >= SERVING))
}
#endif
