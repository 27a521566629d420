/*
 * Ticket, ledger, calls and sealing (docs/design.md, section 2).
 *
 * One issuer with two incarnations, presentations of its tickets through two
 * entries, calls to two homes with two incarnations each, and their workers.
 * Each process is a part of one daemon that handles one presentation or one
 * call, so that the whole state is in the globals and every step is atomic.
 *
 * Faults. A message is a flag that its receiver may take at any time: it may
 * be late, overtaken, or never taken, which is a loss. The first presentation
 * may be delivered more than once. A pause of a process, as long as you like, is that
 * its steps are not chosen. The issuer and each home may restart once.
 *
 * Bounds. PRESENTATIONS of TICKETS, CALLS for each ticket, one restart of each
 * daemon. Three presentations are the first, a repetition that overtakes it and
 * a late copy; two calls are a refused one and its retry, and the rule for a
 * third is that for the second. A second ticket, of the second incarnation, is
 * needed only for answers that cross incarnations, since tickets share nothing
 * else. Entries keep nothing between presentations, so that the choice of
 * the entry is fixed for each.
 *
 * Broken variants: see the #ifdefs; spec/README.md names what each removes.
 */
#ifndef TICKETS
#define TICKETS 1
#endif
#ifndef CALLS
#define CALLS 2
#endif
#ifndef PRESENTATIONS
#define PRESENTATIONS 3
#endif
#define ALL_CALLS (2 * CALLS)

/* Outcomes are bits, since several answers may be on their way. */
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 4

/* Ledger records, beside the outcomes. */
#define UNUSED 0
#define RUNNING 8
#define EXPIRED 16

/* A call in its home's table. */
#define UNSEEN 0
#define QUEUED 1
#define AT_WORKER 2
#define ENDED_RAN 3
#define ENDED_NOT_RUN 4
#define ENDED_UNKNOWN 5
#define SEALED 6
#define FORGOTTEN 7

/* A forward. */
#define UNSENT 0
#define SENT 1
#define ARRIVED 2

/* A request at the worker. */
#define IDLE 0
#define RECEIVED 1
#define DONE 2
#define SHED 3

/* What the caller has. */
#define NOT_YET 0
#define WAITING 1
#define TOLD 2

/* issuer: incarnation, ledger, number of the ticket's current call */
byte inc;
byte ledger[TICKETS];
byte current[TICKETS];

/* presentations */
byte presented;
byte ticket_of[PRESENTATIONS];
byte caller_has[PRESENTATIONS];
bit handed_on[PRESENTATIONS]; /* by the entry to the issuer */
bit to_issuer[PRESENTATIONS]; /* message */
bit joined[PRESENTATIONS]; /* waits for the ledger record */
byte to_entry[PRESENTATIONS]; /* messages: set of outcomes */

/* calls; call CALLS * i + n is number n of the issuer's incarnation i */
byte forward[ALL_CALLS]; /* message */
byte target[ALL_CALLS];
byte target_inc[ALL_CALLS];
bit query[ALL_CALLS]; /* message */
byte reply[ALL_CALLS]; /* messages: set of outcomes */
byte table[ALL_CALLS];
byte worker_has[ALL_CALLS];
#ifdef SEND_TWICE
bit resent[ALL_CALLS];
#endif

/* homes */
byte home_inc[2];
bit called[2]; /* some call was sent to it */

/* what happened */
byte runs[TICKETS];
bit told_not_run[TICKETS];
bit decided; /* the caller knows ran or not-run and repeats no more */

/* The ticket that a call serves. */
#if TICKETS == 1
#define TICKET_OF_CALL(c) 0
#else
#define TICKET_OF_CALL(c) ((c) / CALLS)
#endif

/* The call that the issuer waits for: of its own incarnation, the current one
 * of a running ticket. */
#define MINE(c) (inc == (c) / CALLS && ledger[TICKET_OF_CALL(c)] == RUNNING && \
	current[TICKET_OF_CALL(c)] == (c) % CALLS && forward[c] != UNSENT)
#if defined(OLD_ANSWERS_ACCEPTED)
/* Matched by sequence alone. */
#define ACCEPTED_AS(c) (inc * CALLS + (c) % CALLS)
#define ACCEPTED(c) MINE(ACCEPTED_AS(c))
#elif defined(STALE_ANSWERS_ACCEPTED)
/* Matched by ticket alone. */
#define ACCEPTED_AS(c) (inc * CALLS + current[TICKET_OF_CALL(c)])
#define ACCEPTED(c) MINE(ACCEPTED_AS(c))
#else
#define ACCEPTED_AS(c) (c)
#define ACCEPTED(c) MINE(c)
#endif

/* Whether the issuer would look at a reply of the call. */
#ifdef OLD_ANSWERS_ACCEPTED
#define AWAITED(c) true
#else
#define AWAITED(c) ACCEPTED(c)
#endif

/* An outcome reaches the caller. */
inline tell(p, outcome)
{
#ifdef REACH_RETRY
	/* Reached: the work ran by a second call. */
	assert(outcome != RAN || forward[1] == UNSENT);
#endif
	if
	:: outcome == RAN ->
		assert(runs[ticket_of[p]] == 1);
		decided = 1
	:: outcome == NOT_RUN ->
		assert(runs[ticket_of[p]] == 0);
		told_not_run[ticket_of[p]] = 1;
		decided = 1
	:: else
	fi;
	caller_has[p] = TOLD;
	to_entry[p] = 0
}

/* Answers to callers that are gone are lost. */
inline answer_presentation(p, outcome)
{
	if
	:: caller_has[p] == WAITING -> to_entry[p] = to_entry[p] | (outcome)
	:: else
	fi
}

/* The issuer sends a call once, to an incarnation that its view named. By
 * symmetry the first call goes to home 0. */
inline send(c)
{
	if
	:: target[c] = 0
	:: (c) % CALLS > 0 -> target[c] = 1
	fi;
	if
	:: target_inc[c] = home_inc[target[c]]
	:: home_inc[target[c]] == 1 -> target_inc[c] = 0 /* old view */
	fi;
	assert(forward[c] == UNSENT);
	forward[c] = SENT;
	called[target[c]] = 1
}

/* The ledger record of a running ticket ends, for good. */
inline ledger_end(t, outcome)
{
	ledger[t] = outcome;
#ifdef LEDGER_REOPENS
	if
	:: outcome == NOT_RUN -> ledger[t] = UNUSED
	:: else
	fi;
#endif
	current[t] = 0;
	for (i : 0 .. ALL_CALLS - 1) {
		if
		:: !AWAITED(i) ->
			reply[i] = 0;
			query[i] = 0
		:: else
		fi
	}
	for (i : 0 .. PRESENTATIONS - 1) {
		if
		:: joined[i] && ticket_of[i] == t ->
			joined[i] = 0;
			answer_presentation(i, outcome)
		:: else
		fi
	}
	i = 0
}

active proctype caller()
{
end:	do
	:: atomic {
		presented < PRESENTATIONS && !decided ->
#if TICKETS > 1
		if
		:: ticket_of[presented] = 0
		:: inc == 1 -> ticket_of[presented] = 1
		fi;
#endif
		caller_has[presented] = WAITING;
		presented++
	}
	od
}

/* front/front.c: one presentation. */
proctype entry(byte p)
{
end:	do
	:: atomic {
		caller_has[p] == WAITING && !handed_on[p] ->
		handed_on[p] = 1;
		to_issuer[p] = 1
	}
	/* The entry refuses by itself, or gives the issuer up. */
	:: atomic {
		caller_has[p] == WAITING ->
#ifdef ENTRY_SAYS_NOT_RUN
		if
		:: !handed_on[p] -> tell(p, NOT_RUN)
		:: else -> tell(p, UNKNOWN)
		fi
#else
		tell(p, UNKNOWN)
#endif
	}
	:: atomic { to_entry[p] & RAN -> tell(p, RAN) }
	:: atomic { to_entry[p] & NOT_RUN -> tell(p, NOT_RUN) }
	:: atomic { to_entry[p] & UNKNOWN -> tell(p, UNKNOWN) }
	od
}

/* ticket/present.c and ticket/ledger.c: one presentation. */
proctype issuer(byte p)
{
end:	do
	:: atomic {
		to_issuer[p] ->
		if
		:: to_issuer[p] = 0
		:: p == 0 -> skip /* it will come again */
		fi;
		if
#ifdef OLD_TICKETS_ACCEPTED
		:: 0
#else
		:: ticket_of[p] != inc -> answer_presentation(p, UNKNOWN)
#endif
		:: else ->
			if
			:: ledger[ticket_of[p]] == UNUSED &&
			   forward[inc * CALLS] == UNSENT ->
				ledger[ticket_of[p]] = RUNNING;
				joined[p] = 1;
				send(inc * CALLS)
#if defined(LEDGER_REOPENS) || defined(LEDGER_FORGETS)
			:: ledger[ticket_of[p]] == UNUSED &&
			   forward[inc * CALLS] != UNSENT &&
			   forward[inc * CALLS + 1] == UNSENT ->
				ledger[ticket_of[p]] = RUNNING;
				current[ticket_of[p]] = 1;
				joined[p] = 1;
				send(inc * CALLS + 1)
#endif
			/* Refused and recorded. */
			:: ledger[ticket_of[p]] == UNUSED ->
				ledger[ticket_of[p]] = NOT_RUN;
				answer_presentation(p, NOT_RUN)
			/* Refused without a record, as when the ledger or the
			 * ring is full; or a question for the status. */
			:: ledger[ticket_of[p]] == UNUSED ->
#ifdef UNRECORDED_NOT_RUN
				answer_presentation(p, NOT_RUN)
#else
				answer_presentation(p, UNKNOWN)
#endif
			:: ledger[ticket_of[p]] == RUNNING -> joined[p] = 1
			:: ledger[ticket_of[p]] == EXPIRED ->
				answer_presentation(p, UNKNOWN)
			:: ledger[ticket_of[p]] & (RAN | NOT_RUN | UNKNOWN) ->
				answer_presentation(p, ledger[ticket_of[p]])
			fi
		fi
	}
	od
}

/* The clock of the issuer passes the ticket's expiry. */
proctype expiry(byte t)
{
end:	do
	:: atomic {
		inc == t && ledger[t] != RUNNING && ledger[t] != EXPIRED ->
#ifdef LEDGER_FORGETS
		ledger[t] = UNUSED
#else
		ledger[t] = EXPIRED
#endif
	}
	od
}

/* The issuer dies; its next incarnation has an empty ledger. */
active proctype issuer_restart()
{
	byte i;

end:	atomic {
		inc == 0 ->
		inc = 1;
		for (i : 0 .. TICKETS - 1) {
			ledger[i] = UNUSED;
			current[i] = 0
		}
		for (i : 0 .. PRESENTATIONS - 1) {
			joined[i] = 0
		}
		for (i : 0 .. ALL_CALLS - 1) {
			if
			:: !AWAITED(i) ->
				reply[i] = 0;
				query[i] = 0
			:: else
			fi
		}
		i = 0
	}
}

/* After not-run is proved for a call: another home, or the end. */
inline next_call(c)
{
	if
	:: (c) % CALLS < CALLS - 1 ->
#ifndef STALE_ANSWERS_ACCEPTED
		reply[c] = 0;
		query[c] = 0;
#endif
		send((c) + 1);
		current[TICKET_OF_CALL(c)]++
	:: ledger_end(TICKET_OF_CALL(c), NOT_RUN)
	fi
}

/* route/route.c at the issuer: one call. */
proctype route(byte c)
{
	byte i;

end:	do
	:: atomic {
		reply[c] & RAN ->
		reply[c] = reply[c] - RAN;
		if
		:: ACCEPTED(c) ->
			assert(inc == c / CALLS);
			ledger_end(TICKET_OF_CALL(ACCEPTED_AS(c)), RAN)
		:: else
		fi
	}
	:: atomic {
		reply[c] & NOT_RUN ->
		reply[c] = reply[c] - NOT_RUN;
		if
		:: ACCEPTED(c) ->
			assert(inc == c / CALLS);
			next_call(ACCEPTED_AS(c))
		:: else
		fi
	}
	:: atomic {
		reply[c] & UNKNOWN ->
		reply[c] = reply[c] - UNKNOWN;
		if
		:: ACCEPTED(c) ->
			assert(inc == c / CALLS);
			ledger_end(TICKET_OF_CALL(ACCEPTED_AS(c)), UNKNOWN)
		:: else
		fi
	}
	/* No reply in time: ask. */
	:: atomic { MINE(c) && !query[c] -> query[c] = 1 }
	/* The deadline passes without proof. */
	:: atomic { MINE(c) -> ledger_end(TICKET_OF_CALL(c), UNKNOWN) }
#ifdef NO_SEAL
	/* No reply in time: try another home. */
	:: atomic { MINE(c) && c % CALLS < CALLS - 1 -> next_call(c) }
#endif
#ifdef SEND_TWICE
	:: atomic {
		MINE(c) && forward[c] == ARRIVED && !resent[c] ->
		resent[c] = 1;
		forward[c] = SENT
	}
#endif
	od
}

#ifdef HOME_IGNORES_INCARNATION
#define FORWARD_FITS(c) true
#else
#define FORWARD_FITS(c) (home_inc[target[c]] == target_inc[c])
#endif
#ifdef QUERY_IGNORES_INCARNATION
#define QUERY_FITS(c) true
#else
#define QUERY_FITS(c) (home_inc[target[c]] == target_inc[c])
#endif

/* A reply that nobody waits for is lost. */
inline answer_call(c, outcome)
{
	if
	:: AWAITED(c) -> reply[c] = reply[c] | outcome
	:: else
	fi
}

/* cell/cell.c and cell/calls.c: one call at its home. A cancel does what a
 * passed deadline does. */
proctype home(byte c)
{
end:	do
	:: atomic {
		forward[c] == SENT ->
		forward[c] = ARRIVED;
		if
		:: !FORWARD_FITS(c) -> answer_call(c, NOT_RUN)
		:: FORWARD_FITS(c) && table[c] == UNSEEN -> table[c] = QUEUED
		:: FORWARD_FITS(c) &&
		   (table[c] == SEALED || table[c] == FORGOTTEN) ->
#ifdef REACH_SEAL
			/* Reached: a forward comes after its seal. */
			assert(table[c] != SEALED);
#endif
			answer_call(c, NOT_RUN)
		:: else /* a copy joins */
		fi
	}
	:: atomic {
		table[c] == QUEUED ->
		table[c] = AT_WORKER;
		worker_has[c] = RECEIVED
	}
	/* Full, too late, cancelled, or no worker could be connected. */
	:: atomic {
		table[c] == QUEUED ->
		table[c] = ENDED_NOT_RUN;
		answer_call(c, NOT_RUN)
	}
	:: atomic {
		table[c] == AT_WORKER && worker_has[c] == DONE ->
		table[c] = ENDED_RAN;
		answer_call(c, RAN)
	}
	/* A worker that sheds load has not run it: another may. */
	:: atomic {
		table[c] == AT_WORKER && worker_has[c] == SHED ->
		table[c] = QUEUED;
		worker_has[c] = IDLE
	}
	/* Silence, a closed connection, a truncated answer. */
	:: atomic {
		table[c] == AT_WORKER && worker_has[c] != SHED ->
#ifdef HOME_RETRIES
		if
		:: worker_has[c] == DONE ->
			table[c] = QUEUED;
			worker_has[c] = IDLE
		:: else
		fi
#else
		table[c] = ENDED_UNKNOWN;
		answer_call(c, UNKNOWN)
#endif
	}
	:: atomic {
		query[c] ->
		query[c] = 0;
		if
		:: !QUERY_FITS(c) || table[c] == FORGOTTEN ||
		   table[c] == ENDED_UNKNOWN ->
			answer_call(c, UNKNOWN)
		:: QUERY_FITS(c) && table[c] == UNSEEN ->
#ifndef QUERY_DOES_NOT_SEAL
			table[c] = SEALED;
#endif
			answer_call(c, NOT_RUN)
		:: QUERY_FITS(c) &&
		   (table[c] == SEALED || table[c] == ENDED_NOT_RUN) ->
			answer_call(c, NOT_RUN)
		:: QUERY_FITS(c) && table[c] == ENDED_RAN ->
			answer_call(c, RAN)
		:: else /* running: the answer follows */
		fi
	}
	/* Retention ends, also for ids as old that were never seen. */
	:: atomic {
		forward[c] != UNSENT && table[c] != QUEUED &&
		table[c] != AT_WORKER && table[c] != FORGOTTEN ->
#if defined(FORGETS_ENDED_CALLS)
		if
		:: table[c] == SEALED -> table[c] = FORGOTTEN
		:: else -> table[c] = UNSEEN
		fi
#elif defined(FORGETS_SEALS)
		if
		:: table[c] == SEALED -> table[c] = UNSEEN
		:: else -> table[c] = FORGOTTEN
		fi
#else
		table[c] = FORGOTTEN
#endif
	}
	od
}

/* The upstream's worker that has the request of a call: it may run it long
 * after the home is gone. */
proctype worker(byte c)
{
end:	do
	:: atomic {
		worker_has[c] == RECEIVED ->
		worker_has[c] = DONE;
		runs[TICKET_OF_CALL(c)]++;
		assert(runs[TICKET_OF_CALL(c)] <= 1);
		assert(!told_not_run[TICKET_OF_CALL(c)])
	}
	:: atomic { worker_has[c] == RECEIVED -> worker_has[c] = SHED }
	od
}

/* A home dies; its next incarnation has an empty table. A restart before the
 * first call to it shows nothing that one after the call was sent does not. */
proctype home_restart(byte h)
{
	byte i;

end:	atomic {
		home_inc[h] == 0 && called[h] ->
		home_inc[h] = 1;
		for (i : 0 .. ALL_CALLS - 1) {
			if
			:: target[i] == h -> table[i] = UNSEEN
			:: else
			fi
		}
		i = 0
	}
}

init {
	byte i;

	atomic {
		for (i : 0 .. PRESENTATIONS - 1) {
			run entry(i);
			run issuer(i)
		}
		for (i : 0 .. TICKETS - 1) {
			run expiry(i)
		}
		for (i : 0 .. ALL_CALLS - 1) {
			run route(i);
			run home(i);
			run worker(i)
		}
		run home_restart(0);
		run home_restart(1)
	}
}
