/*
 * Ticket, ledger, calls and sealing (docs/design.md, section 2).
 *
 * One issuer with two incarnations, presentations of its tickets through two
 * entries (daemons that receive callers' requests), calls to two homes with two
 * incarnations each, and their workers. A call is the issuer's forward of a
 * request to a home, which sends it to a worker. A query asks the home for the
 * outcome of a call whose forward got no reply. A home that has not seen the
 * forward seals the call: it answers not-run, and refuses the forward if that
 * arrives later.
 *
 * The forward through a home (processes issuer_call and home) is from an
 * earlier design: now the daemon that holds a request sends it itself, see
 * spec/grant.pml. Tickets and the ledger are as in ticket/.
 *
 * Each process is the part of one daemon that handles one presentation or one
 * call, so that the whole state is in the global variables and every step is
 * atomic.
 *
 * Faults. A message is a flag that its receiver may take at any time: it may be
 * late, reordered, or lost (never taken). The first presentation may be
 * delivered more than once. A process pauses, for any time, when it is not
 * scheduled. The issuer and each home may restart once.
 *
 * Bounds. PRESENTATIONS of TICKETS, CALLS for each ticket, one restart of each
 * daemon. The three presentations are the first, a repetition that overtakes it
 * and a late copy. The two calls are a refused one and its retry; the rule for
 * a third is that for the second. A second ticket, of the second incarnation,
 * is needed only for answers that cross incarnations, since tickets share no
 * other state. Entries keep no state between presentations, so that it does not
 * matter which entry a presentation goes through.
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
#define CALLS_TOTAL (2 * CALLS)

/* Outcomes are bits, since several answers may be in flight. */
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 4

/* A ledger record is one of these or an outcome. */
#define UNUSED 0
#define RUNNING 8
#define EXPIRED 16

/* State of a call at its home. */
#define UNSEEN 0 /* its forward has not arrived */
#define QUEUED 1
#define AT_WORKER 2
#define ENDED_RAN 3
#define ENDED_NOT_RUN 4
#define ENDED_UNKNOWN 5
#define SEALED 6 /* will not run even if its forward arrives */
#define FORGOTTEN 7 /* its record, or one as old, was dropped */

/* State of a forward. */
#define UNSENT 0
#define SENT 1
#define ARRIVED 2

/* State of a request at the worker. */
#define IDLE 0
#define RECEIVED 1
#define DONE 2
#define SHED 3

/* State of the caller of a presentation. */
#define NOT_STARTED 0
#define WAITING 1
#define ANSWERED 2

/* the issuer */
byte issuer_incarnation;
byte ledger[TICKETS];
byte current_call[TICKETS]; /* number of the ticket's last call */

/* presentations */
byte presentations_started;
byte ticket_of[PRESENTATIONS];
byte caller_state[PRESENTATIONS];
bit submitted[PRESENTATIONS]; /* the entry has sent it to the issuer */
bit presentation_in_flight[PRESENTATIONS]; /* to the issuer */
bit joined[PRESENTATIONS]; /* waits for the ledger record */
byte answers_in_flight[PRESENTATIONS]; /* to the entry: set of outcomes */

/* calls; number n of the issuer's incarnation i has index CALLS * i + n */
byte forward[CALLS_TOTAL];
byte target_home[CALLS_TOTAL];
byte target_incarnation[CALLS_TOTAL];
bit query_in_flight[CALLS_TOTAL]; /* to the home */
byte replies_in_flight[CALLS_TOTAL]; /* to the issuer: set of outcomes */
byte call_state[CALLS_TOTAL]; /* at the home */
byte worker_state[CALLS_TOTAL];
#ifdef SEND_TWICE
bit resent[CALLS_TOTAL];
#endif

/* homes */
byte home_incarnation[2];
bit was_called[2]; /* a call was sent to it */

/* for the properties */
byte runs[TICKETS];
bit answered_not_run[TICKETS]; /* some caller was told not-run */
bit outcome_known; /* the caller knows ran or not-run and stops repeating */

/* The ticket that a call serves. */
#if TICKETS == 1
#define TICKET_OF_CALL(c) 0
#else
#define TICKET_OF_CALL(c) ((c) / CALLS)
#endif

/* Whether the issuer waits for this call: the last one of a running ticket of
 * its own incarnation. */
#define IS_CURRENT(c) (issuer_incarnation == (c) / CALLS && \
	ledger[TICKET_OF_CALL(c)] == RUNNING && \
	current_call[TICKET_OF_CALL(c)] == (c) % CALLS && forward[c] != UNSENT)

/* The call that the issuer takes a reply to call c for, and whether it accepts
 * the reply. */
#if defined(OLD_ANSWERS_ACCEPTED)
/* Broken: matches the call number alone, not the incarnation. */
#define MATCHED_CALL(c) (issuer_incarnation * CALLS + (c) % CALLS)
#define IS_ACCEPTED(c) IS_CURRENT(MATCHED_CALL(c))
#elif defined(STALE_ANSWERS_ACCEPTED)
/* Broken: matches the ticket alone. */
#define MATCHED_CALL(c) \
	(issuer_incarnation * CALLS + current_call[TICKET_OF_CALL(c)])
#define IS_ACCEPTED(c) IS_CURRENT(MATCHED_CALL(c))
#else
#define MATCHED_CALL(c) (c)
#define IS_ACCEPTED(c) IS_CURRENT(c)
#endif

/* Whether the issuer may still use a reply to the call; other replies are
 * dropped at once, and so are queries. */
#ifdef OLD_ANSWERS_ACCEPTED
#define REPLY_WANTED(c) true
#else
#define REPLY_WANTED(c) IS_ACCEPTED(c)
#endif

/* An outcome reaches the caller. */
inline answer_caller(p, outcome)
{
#ifdef REACH_RETRY
	/* Reached: the second call has run the request. */
	assert(outcome != RAN || forward[1] == UNSENT);
#endif
	if
	:: outcome == RAN ->
		assert(runs[ticket_of[p]] == 1);
		outcome_known = 1
	:: outcome == NOT_RUN ->
		assert(runs[ticket_of[p]] == 0);
		answered_not_run[ticket_of[p]] = 1;
		outcome_known = 1
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

/* The issuer sends a call once, to a home in the incarnation that the issuer's
 * view has. The homes are symmetric, so the first call goes to home 0. */
inline send_call(c)
{
	if
	:: target_home[c] = 0
	:: (c) % CALLS > 0 -> target_home[c] = 1
	fi;
	if
	:: target_incarnation[c] = home_incarnation[target_home[c]]
	/* The view is out of date. */
	:: home_incarnation[target_home[c]] == 1 -> target_incarnation[c] = 0
	fi;
	assert(forward[c] == UNSENT);
	forward[c] = SENT;
	was_called[target_home[c]] = 1
}

/* Stores the outcome of a running ticket, for good, and answers the waiting
 * presentations. */
inline ledger_complete(t, outcome)
{
	ledger[t] = outcome;
#ifdef LEDGER_REOPENS
	if
	:: outcome == NOT_RUN -> ledger[t] = UNUSED
	:: else
	fi;
#endif
	current_call[t] = 0;
	for (i : 0 .. CALLS_TOTAL - 1) {
		if
		:: !REPLY_WANTED(i) ->
			replies_in_flight[i] = 0;
			query_in_flight[i] = 0
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

/* The caller presents the ticket until it knows the outcome. */
active proctype caller()
{
end:	do
	:: atomic {
		presentations_started < PRESENTATIONS && !outcome_known ->
#if TICKETS > 1
		if
		:: ticket_of[presentations_started] = 0
		:: issuer_incarnation == 1 ->
			ticket_of[presentations_started] = 1
		fi;
#endif
		caller_state[presentations_started] = WAITING;
		presentations_started++
	}
	od
}

/* The entry of one presentation. Code: front/front.c, ticket/submit.c. */
proctype entry(byte p)
{
end:	do
	:: atomic {
		caller_state[p] == WAITING && !submitted[p] ->
		submitted[p] = 1;
		presentation_in_flight[p] = 1
	}
	/* The entry refuses the request, or stops waiting for the issuer. */
	:: atomic {
		caller_state[p] == WAITING ->
#ifdef ENTRY_SAYS_NOT_RUN
		if
		:: !submitted[p] -> answer_caller(p, NOT_RUN)
		:: else -> answer_caller(p, UNKNOWN)
		fi
#else
		answer_caller(p, UNKNOWN)
#endif
	}
	:: atomic { answers_in_flight[p] & RAN -> answer_caller(p, RAN) }
	:: atomic {
		answers_in_flight[p] & NOT_RUN -> answer_caller(p, NOT_RUN)
	}
	:: atomic {
		answers_in_flight[p] & UNKNOWN -> answer_caller(p, UNKNOWN)
	}
	od
}

/* The issuer handles one presentation. Code: ticket/present.c, ticket/ledger.c.
 */
proctype issuer(byte p)
{
end:	do
	:: atomic {
		presentation_in_flight[p] ->
		if
		:: presentation_in_flight[p] = 0
		:: p == 0 -> skip /* it may be delivered again */
		fi;
		if
#ifdef OLD_TICKETS_ACCEPTED
		:: 0
#else
		:: ticket_of[p] != issuer_incarnation ->
			answer_presentation(p, UNKNOWN)
#endif
		:: else ->
			if
			:: ledger[ticket_of[p]] == UNUSED &&
			   forward[issuer_incarnation * CALLS] == UNSENT ->
				ledger[ticket_of[p]] = RUNNING;
				joined[p] = 1;
				send_call(issuer_incarnation * CALLS)
#if defined(LEDGER_REOPENS) || defined(LEDGER_FORGETS)
			:: ledger[ticket_of[p]] == UNUSED &&
			   forward[issuer_incarnation * CALLS] != UNSENT &&
			   forward[issuer_incarnation * CALLS + 1] == UNSENT ->
				ledger[ticket_of[p]] = RUNNING;
				current_call[ticket_of[p]] = 1;
				joined[p] = 1;
				send_call(issuer_incarnation * CALLS + 1)
#endif
			/* Refused, with a record. */
			:: ledger[ticket_of[p]] == UNUSED ->
				ledger[ticket_of[p]] = NOT_RUN;
				answer_presentation(p, NOT_RUN)
			/* Refused without a record, as when the ledger or the
			 * ring is full; or a status query. */
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

/* The issuer's clock passes the ticket's expiry. Code: ledger_expire(). */
proctype expiry(byte t)
{
end:	do
	:: atomic {
		issuer_incarnation == t && ledger[t] != RUNNING &&
		ledger[t] != EXPIRED ->
#ifdef LEDGER_FORGETS
		ledger[t] = UNUSED
#else
		ledger[t] = EXPIRED
#endif
	}
	od
}

/* The issuer restarts; its next incarnation has an empty ledger. */
active proctype issuer_restart()
{
	byte i;

end:	atomic {
		issuer_incarnation == 0 ->
		issuer_incarnation = 1;
		for (i : 0 .. TICKETS - 1) {
			ledger[i] = UNUSED;
			current_call[i] = 0
		}
		for (i : 0 .. PRESENTATIONS - 1) {
			joined[i] = 0
		}
		for (i : 0 .. CALLS_TOTAL - 1) {
			if
			:: !REPLY_WANTED(i) ->
				replies_in_flight[i] = 0;
				query_in_flight[i] = 0
			:: else
			fi
		}
		i = 0
	}
}

/* The call is proved not to have run: tries the next one, which may go to
 * another home, or ends the ticket as not-run. */
inline try_next_call(c)
{
	if
	:: (c) % CALLS < CALLS - 1 ->
#ifndef STALE_ANSWERS_ACCEPTED
		replies_in_flight[c] = 0;
		query_in_flight[c] = 0;
#endif
		send_call((c) + 1);
		current_call[TICKET_OF_CALL(c)]++
	:: ledger_complete(TICKET_OF_CALL(c), NOT_RUN)
	fi
}

/* The issuer's side of one call. */
proctype issuer_call(byte c)
{
	byte i;

end:	do
	:: atomic {
		replies_in_flight[c] & RAN ->
		replies_in_flight[c] = replies_in_flight[c] - RAN;
		if
		:: IS_ACCEPTED(c) ->
			assert(issuer_incarnation == c / CALLS);
			ledger_complete(TICKET_OF_CALL(MATCHED_CALL(c)), RAN)
		:: else
		fi
	}
	:: atomic {
		replies_in_flight[c] & NOT_RUN ->
		replies_in_flight[c] = replies_in_flight[c] - NOT_RUN;
		if
		:: IS_ACCEPTED(c) ->
			assert(issuer_incarnation == c / CALLS);
			try_next_call(MATCHED_CALL(c))
		:: else
		fi
	}
	:: atomic {
		replies_in_flight[c] & UNKNOWN ->
		replies_in_flight[c] = replies_in_flight[c] - UNKNOWN;
		if
		:: IS_ACCEPTED(c) ->
			assert(issuer_incarnation == c / CALLS);
			ledger_complete(TICKET_OF_CALL(MATCHED_CALL(c)),
					UNKNOWN)
		:: else
		fi
	}
	/* No reply in time: queries the home. */
	:: atomic {
		IS_CURRENT(c) && !query_in_flight[c] -> query_in_flight[c] = 1
	}
	/* The deadline passes without proof that it ran or did not run. */
	:: atomic {
		IS_CURRENT(c) -> ledger_complete(TICKET_OF_CALL(c), UNKNOWN)
	}
#ifdef NO_SEAL
	/* Broken: no reply in time, tries another home. */
	:: atomic { IS_CURRENT(c) && c % CALLS < CALLS - 1 -> try_next_call(c) }
#endif
#ifdef SEND_TWICE
	:: atomic {
		IS_CURRENT(c) && forward[c] == ARRIVED && !resent[c] ->
		resent[c] = 1;
		forward[c] = SENT
	}
#endif
	od
}

/* Whether a forward or a query is for the present incarnation of its home. */
#ifdef HOME_IGNORES_INCARNATION
#define FORWARD_MATCHES(c) true
#else
#define FORWARD_MATCHES(c) \
	(home_incarnation[target_home[c]] == target_incarnation[c])
#endif
#ifdef QUERY_IGNORES_INCARNATION
#define QUERY_MATCHES(c) true
#else
#define QUERY_MATCHES(c) \
	(home_incarnation[target_home[c]] == target_incarnation[c])
#endif

/* Sends a reply to the issuer; it is lost if the issuer no longer waits for the
 * call. */
inline answer_call(c, outcome)
{
	if
	:: REPLY_WANTED(c) ->
		replies_in_flight[c] = replies_in_flight[c] | outcome
	:: else
	fi
}

/* One call at its home. A cancelled call is handled like one whose deadline has
 * passed. */
proctype home(byte c)
{
end:	do
	:: atomic {
		forward[c] == SENT ->
		forward[c] = ARRIVED;
		if
		:: !FORWARD_MATCHES(c) -> answer_call(c, NOT_RUN)
		:: FORWARD_MATCHES(c) && call_state[c] == UNSEEN ->
			call_state[c] = QUEUED
		:: FORWARD_MATCHES(c) &&
		   (call_state[c] == SEALED || call_state[c] == FORGOTTEN) ->
#ifdef REACH_SEAL
			/* Reached: a forward arrives after its call was
			 * sealed. */
			assert(call_state[c] != SEALED);
#endif
			answer_call(c, NOT_RUN)
		:: else /* a copy of a known call: ignored */
		fi
	}
	:: atomic {
		call_state[c] == QUEUED ->
		call_state[c] = AT_WORKER;
		worker_state[c] = RECEIVED
	}
	/* The queue is full, the deadline has passed, the call was cancelled,
	 * or no connection to a worker could be made. */
	:: atomic {
		call_state[c] == QUEUED ->
		call_state[c] = ENDED_NOT_RUN;
		answer_call(c, NOT_RUN)
	}
	:: atomic {
		call_state[c] == AT_WORKER && worker_state[c] == DONE ->
		call_state[c] = ENDED_RAN;
		answer_call(c, RAN)
	}
	/* A worker that sheds load has not run the request: the home sends it
	 * to another worker. */
	:: atomic {
		call_state[c] == AT_WORKER && worker_state[c] == SHED ->
		call_state[c] = QUEUED;
		worker_state[c] = IDLE
	}
	/* No answer in time, a closed connection, or a truncated answer. */
	:: atomic {
		call_state[c] == AT_WORKER && worker_state[c] != SHED ->
#ifdef HOME_RETRIES
		if
		:: worker_state[c] == DONE ->
			call_state[c] = QUEUED;
			worker_state[c] = IDLE
		:: else
		fi
#else
		call_state[c] = ENDED_UNKNOWN;
		answer_call(c, UNKNOWN)
#endif
	}
	:: atomic {
		query_in_flight[c] ->
		query_in_flight[c] = 0;
		if
		:: !QUERY_MATCHES(c) || call_state[c] == FORGOTTEN ||
		   call_state[c] == ENDED_UNKNOWN ->
			answer_call(c, UNKNOWN)
		:: QUERY_MATCHES(c) && call_state[c] == UNSEEN ->
#ifndef QUERY_DOES_NOT_SEAL
			call_state[c] = SEALED;
#endif
			answer_call(c, NOT_RUN)
		:: QUERY_MATCHES(c) &&
		   (call_state[c] == SEALED ||
		    call_state[c] == ENDED_NOT_RUN) ->
			answer_call(c, NOT_RUN)
		:: QUERY_MATCHES(c) && call_state[c] == ENDED_RAN ->
			answer_call(c, RAN)
		:: else /* queued or at the worker: the reply follows */
		fi
	}
	/* The home drops the record of the call. From then on it treats every
	 * call of that age as forgotten, also one that it never saw. */
	:: atomic {
		forward[c] != UNSENT && call_state[c] != QUEUED &&
		call_state[c] != AT_WORKER && call_state[c] != FORGOTTEN ->
#if defined(FORGETS_ENDED_CALLS)
		if
		:: call_state[c] == SEALED -> call_state[c] = FORGOTTEN
		:: else -> call_state[c] = UNSEEN
		fi
#elif defined(FORGETS_SEALS)
		if
		:: call_state[c] == SEALED -> call_state[c] = UNSEEN
		:: else -> call_state[c] = FORGOTTEN
		fi
#else
		call_state[c] = FORGOTTEN
#endif
	}
	od
}

/* The worker that has the request of a call. It may run the request long after
 * the home has restarted. */
proctype worker(byte c)
{
end:	do
	:: atomic {
		worker_state[c] == RECEIVED ->
		worker_state[c] = DONE;
		runs[TICKET_OF_CALL(c)]++;
		assert(runs[TICKET_OF_CALL(c)] <= 1);
		assert(!answered_not_run[TICKET_OF_CALL(c)])
	}
	:: atomic { worker_state[c] == RECEIVED -> worker_state[c] = SHED }
	od
}

/* A home restarts; its next incarnation knows no calls. A restart before the
 * first call to it adds no case to those of a restart after the call was sent.
 */
proctype home_restart(byte h)
{
	byte i;

end:	atomic {
		home_incarnation[h] == 0 && was_called[h] ->
		home_incarnation[h] = 1;
		for (i : 0 .. CALLS_TOTAL - 1) {
			if
			:: target_home[i] == h -> call_state[i] = UNSEEN
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
		for (i : 0 .. CALLS_TOTAL - 1) {
			run issuer_call(i);
			run home(i);
			run worker(i)
		}
		run home_restart(0);
		run home_restart(1)
	}
}
