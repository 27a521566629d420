/*
 * Planned stop of an issuer and handover of its ledger (docs/design.md,
 * sections 2 and 2.1, "Leaving and stopping").
 *
 * One incarnation of daemon 0 has issued the tickets. Daemon 0 freezes the
 * ledger of this incarnation and sends an image of it in parts, here one for
 * each ticket, to its successor, daemon 1 or 2. The successor serves the
 * incarnation once it has all parts. Daemon 1 may hand the ledger that it
 * adopted over to daemon 2, and may restart. The entry (the daemon that
 * receives the caller's request) presents a ticket to any daemon at any time,
 * as its view of which daemon serves the incarnation may be older or newer than
 * the handover.
 *
 * Faults. Messages are flags that the receiver may take at any time or never,
 * so that a message may be late, reordered or lost. A part may arrive at any
 * time after the freeze, and again, since the acknowledgement may be lost. A
 * paused process is one that is not scheduled.
 *
 * Bounds. Two tickets, so that a part can be missing; three presentations; a
 * chain of two handovers. A call, which runs a ticket's request, is one step
 * here: it runs at most once, and its outcome is not-run only if it never runs.
 * spec/ticket.pml checks that.
 */
#ifndef PRESENTATIONS
#define PRESENTATIONS 3
#endif
#ifndef TICKETS
#define TICKETS 2
#endif
#define DAEMONS 3

/* Outcomes are bits, since several answers may be in flight. */
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 4

/* A ledger record is one of these or an outcome. */
#define UNUSED 0
#define RUNNING 8

/* State of a daemon with regard to the incarnation. */
#define NOTHING 0
#define ADOPTING 1
#define SERVING 2
#define FROZEN 3

/* State of a call. */
#define UNSENT 0
#define IN_FLIGHT 1
#define HAS_RUN 2
#define GIVEN_UP 3 /* may still run, but its outcome is ignored */
#define ENDED 4

/* State of the caller of a presentation. */
#define NOT_STARTED 0
#define WAITING 1
#define ANSWERED 2

#define NO_DAEMON 7

/* Index of daemon d's record or call for ticket t. */
#define INDEX(d, t) ((d) * TICKETS + (t))

/* presentations */
byte ticket_of[PRESENTATIONS];
byte caller_state[PRESENTATIONS];
byte to_daemon[PRESENTATIONS]; /* the presentation is in flight to it */
byte joined[PRESENTATIONS]; /* waits at this daemon */
byte answers_in_flight[PRESENTATIONS]; /* to the entry: set of outcomes */
byte presentations_started;

/* daemons */
byte daemon_state[DAEMONS];
byte ledger[DAEMONS * TICKETS];
bit part_received[DAEMONS * TICKETS]; /* of the image */
byte successor[DAEMONS]; /* 0: none */
byte successor_incarnation[DAEMONS]; /* to which the image is sent */
byte incarnation_1; /* present incarnation of daemon 1 */

byte call_state[DAEMONS * TICKETS];

byte runs[TICKETS];
bit answered_not_run[TICKETS]; /* some caller was told not-run */
bit outcome_known[TICKETS]; /* the caller knows ran or not-run */

/* An outcome reaches the caller. */
inline answer_caller(p, outcome)
{
	if
	:: outcome == RAN ->
		assert(runs[ticket_of[p]] == 1);
		outcome_known[ticket_of[p]] = 1
	:: outcome == NOT_RUN ->
		assert(runs[ticket_of[p]] == 0);
		answered_not_run[ticket_of[p]] = 1;
		outcome_known[ticket_of[p]] = 1
	:: else
	fi;
	caller_state[p] = ANSWERED;
	answers_in_flight[p] = 0
}

/* Sends an answer to the entry; it is lost if the caller has been answered. */
inline answer_presentation(p, outcome)
{
	if
	:: caller_state[p] == WAITING ->
		answers_in_flight[p] = answers_in_flight[p] | (outcome)
	:: else
	fi
}

/* Answers the presentations of ticket t that wait at daemon d. */
inline answer_joined(d, t, outcome)
{
	for (i : 0 .. PRESENTATIONS - 1) {
		if
		:: joined[i] == d && ticket_of[i] == t ->
			joined[i] = NO_DAEMON;
			answer_presentation(i, outcome)
		:: else
		fi
	}
	i = 0
}

/* A caller and its entry. Presentations start one after the other. Code:
 * front/front.c, ticket/submit.c. */
proctype entry(byte p)
{
end:	do
	:: atomic {
		caller_state[p] == NOT_STARTED && presentations_started == p ->
		if
		:: ticket_of[p] = 0
		:: TICKETS > 1 -> ticket_of[p] = TICKETS - 1
		fi;
		if
		:: outcome_known[ticket_of[p]] -> caller_state[p] = ANSWERED
		:: else ->
			caller_state[p] = WAITING;
			if
			:: to_daemon[p] = 0
			:: to_daemon[p] = 1
			:: to_daemon[p] = 2
			fi
		fi;
		presentations_started++
	}
#ifndef LIVENESS
	/* The entry gives up waiting. */
	:: atomic { caller_state[p] == WAITING -> answer_caller(p, UNKNOWN) }
#endif
	:: atomic { answers_in_flight[p] & RAN -> answer_caller(p, RAN) }
	:: atomic {
		answers_in_flight[p] & NOT_RUN -> answer_caller(p, NOT_RUN)
	}
	:: atomic {
		answers_in_flight[p] & UNKNOWN -> answer_caller(p, UNKNOWN)
	}
	od
}

/* Whether daemon d decides about presentations. */
#if defined(SERVES_AFTER_FREEZE)
#define SERVES(d) (daemon_state[d] == SERVING || daemon_state[d] == FROZEN)
#elif defined(SERVES_BEFORE_LAST_PART)
#define SERVES(d) (daemon_state[d] == SERVING || daemon_state[d] == ADOPTING)
#else
#define SERVES(d) (daemon_state[d] == SERVING)
#endif
/* The ledger record for a presentation at the daemon that it was sent to. */
#define RECORD(p) ledger[INDEX(to_daemon[p], ticket_of[p])]

/* The daemon that the presentation was sent to handles it. Code:
 * ticket/present.c, ticket/ledger.c. */
proctype present(byte p)
{
end:	do
	:: atomic {
		to_daemon[p] != NO_DAEMON ->
		if
		:: !SERVES(to_daemon[p]) -> answer_presentation(p, UNKNOWN)
		:: SERVES(to_daemon[p]) && RECORD(p) == UNUSED &&
		   call_state[INDEX(to_daemon[p], ticket_of[p])] == UNSENT ->
#ifdef REACH_SUCCESSOR_RUNS
			/* Reached: the second successor runs a ticket. */
			assert(to_daemon[p] != 2 || daemon_state[1] != FROZEN);
#endif
			RECORD(p) = RUNNING;
			call_state[INDEX(to_daemon[p], ticket_of[p])] =
				IN_FLIGHT;
			joined[p] = to_daemon[p]
		:: SERVES(to_daemon[p]) && RECORD(p) == RUNNING ->
			joined[p] = to_daemon[p]
		:: SERVES(to_daemon[p]) && RECORD(p) != UNUSED &&
		   RECORD(p) != RUNNING ->
			answer_presentation(p, RECORD(p))
		fi;
		to_daemon[p] = NO_DAEMON
	}
	od
}

/* A call ends. After the freeze its waiters are still answered, but the frozen
 * record stays as it is. */
inline end_call(d, t, outcome)
{
	if
	:: daemon_state[d] == SERVING -> ledger[INDEX(d, t)] = outcome
	:: else
	fi;
	answer_joined(d, t, outcome)
}

/* Whether the outcome of the call still reaches its waiters. */
#define CAN_ANSWER(d, t) ( \
	ledger[INDEX(d, t)] == RUNNING && daemon_state[d] == SERVING || \
	daemon_state[d] == FROZEN)

/* The call of daemon d for ticket t. Code: attempt/. */
proctype calls(byte d; byte t)
{
	byte i;

end:	do
	:: atomic {
		call_state[INDEX(d, t)] == IN_FLIGHT ||
		call_state[INDEX(d, t)] == GIVEN_UP ->
		if
		:: call_state[INDEX(d, t)] == IN_FLIGHT ->
			call_state[INDEX(d, t)] = HAS_RUN
		:: else -> call_state[INDEX(d, t)] = ENDED
		fi;
		runs[t]++;
		assert(runs[t] <= 1);
		assert(!answered_not_run[t])
	}
	:: atomic {
		call_state[INDEX(d, t)] == HAS_RUN && CAN_ANSWER(d, t) ->
		call_state[INDEX(d, t)] = ENDED;
		end_call(d, t, RAN)
	}
	/* It was refused or sealed, so that it never runs. */
	:: atomic {
		call_state[INDEX(d, t)] == IN_FLIGHT && CAN_ANSWER(d, t) ->
		call_state[INDEX(d, t)] = ENDED;
		end_call(d, t, NOT_RUN)
	}
	/* The deadline passes without proof that it ran or did not run. */
	:: atomic {
		call_state[INDEX(d, t)] == IN_FLIGHT && CAN_ANSWER(d, t) ->
		call_state[INDEX(d, t)] = GIVEN_UP;
		end_call(d, t, UNKNOWN)
	}
	od
}

/* Daemon d freezes its ledger and chooses a successor. Code: ticket_freeze(),
 * cmd/azhd/drain.c. */
proctype stop(byte d)
{
	byte t;

end:	atomic {
		daemon_state[d] == SERVING ->
		daemon_state[d] = FROZEN;
		for (t : 0 .. TICKETS - 1) {
			if
			:: ledger[INDEX(d, t)] == RUNNING ->
#ifdef RUNNING_AS_UNUSED
				ledger[INDEX(d, t)] = UNUSED
#else
				ledger[INDEX(d, t)] = UNKNOWN
#endif
			:: else
			fi
		}
#ifdef WAITERS_DROPPED
		for (t : 0 .. PRESENTATIONS - 1) {
			if
			:: joined[t] == d -> joined[t] = NO_DAEMON
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
		:: successor[d] == 1 -> successor_incarnation[d] = incarnation_1
		:: else
		fi
	}
#ifdef SECOND_SUCCESSOR
	/* Without an acknowledgement, it sends the image to another daemon. */
end2:	atomic {
		successor[d] == 1 ->
		successor[d] = 2;
		successor_incarnation[d] = 0
	}
#endif
}

/* Whether the image is for the present incarnation of daemon d's successor. */
#ifdef IMAGE_TO_RESTARTED
#define FOR_THIS_INCARNATION(d) true
#else
#define FOR_THIS_INCARNATION(d) \
	(successor[d] != 1 || successor_incarnation[d] == incarnation_1)
#endif

/* Part t of daemon d's image arrives at the successor. Code:
 * ticket_adopt(). */
proctype adopt(byte d; byte t)
{
	byte i;

end:	do
	:: atomic {
		daemon_state[d] == FROZEN && FOR_THIS_INCARNATION(d) &&
		(daemon_state[successor[d]] != ADOPTING ||
		 !part_received[INDEX(successor[d], t)]) ->
		if
		:: daemon_state[successor[d]] == NOTHING ||
		   daemon_state[successor[d]] == ADOPTING ->
			daemon_state[successor[d]] = ADOPTING;
			part_received[INDEX(successor[d], t)] = 1;
			ledger[INDEX(successor[d], t)] = ledger[INDEX(d, t)];
			for (i : 0 .. TICKETS - 1) {
				if
				:: !part_received[INDEX(successor[d], i)] ->
					break
				:: else
				fi
			}
			if
			:: i == TICKETS -> daemon_state[successor[d]] = SERVING
			:: else
			fi;
			i = 0
#ifdef ADOPTS_TWICE
		:: daemon_state[successor[d]] == SERVING ->
			ledger[INDEX(successor[d], t)] = ledger[INDEX(d, t)];
			call_state[INDEX(successor[d], t)] = UNSENT
#endif
		:: else
		fi
	}
	od
}

/* Daemon 1 restarts, once; its next incarnation has adopted nothing. */
proctype restart()
{
	byte t;

end:	atomic {
		incarnation_1 == 0 ->
		incarnation_1 = 1;
		daemon_state[1] = NOTHING;
		for (t : 0 .. TICKETS - 1) {
			ledger[INDEX(1, t)] = UNUSED;
			part_received[INDEX(1, t)] = 0
#ifdef IMAGE_TO_RESTARTED
			;
			call_state[INDEX(1, t)] = UNSENT
#endif
		}
		for (t : 0 .. PRESENTATIONS - 1) {
			if
			:: joined[t] == 1 -> joined[t] = NO_DAEMON
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
		daemon_state[0] = SERVING;
		for (i : 0 .. PRESENTATIONS - 1) {
			to_daemon[i] = NO_DAEMON;
			joined[i] = NO_DAEMON;
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
/* A process that can always run, so that every execution is infinite: spin does
 * not extend a blocked execution under fairness and would not check it. */
bit tick;

active proctype ticker()
{
	do
	:: tick = 1 - tick
	od
}

/* Without losses and restarts, and under weak fairness: every presentation is
 * answered without the entry's own timeout, and a successor adopts the frozen
 * ledger. */
ltl answered {
	[] (caller_state[0] == WAITING -> <> (caller_state[0] == ANSWERED)) &&
	[] (caller_state[1] == WAITING -> <> (caller_state[1] == ANSWERED)) &&
	[] (daemon_state[0] == FROZEN ->
		<> (daemon_state[successor[0]] >= SERVING))
}
#endif
