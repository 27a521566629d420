/*
 * Grants: the daemon that holds a request sends grant requests to homes, and
 * then sends the request to a worker itself. Code: attempt/grant.c,
 * attempt/send.c, attempt/decide.c.
 *
 * One request with up to SENDS sends and GRANT_REQUESTS grant requests.
 * Messages between the daemon and the homes stay for ever once they were sent:
 * they may be late, lost (never taken) or taken twice. A home may die and
 * another one may answer; both grant whatever was requested. A worker may run a
 * copy before, after or without its result reaching the daemon.
 *
 * READ: the request is idempotent; a second copy may be sent while the first is
 * out, and after a lost result. Without it the request must not repeat.
 *
 * Broken variants: TAKE_LATE_GRANT, RETRY_ON_DOUBT, REFUSE_ON_DOUBT,
 * LAST_COPY_SPEAKS.
 */
#ifndef SENDS
#define SENDS 3
#endif
#ifndef GRANT_REQUESTS
#define GRANT_REQUESTS 4
#endif
#define COPIES_OUT 2
#define HEARD(c) (!taken[c] && result[c] != NONE && result[c] != OUT)

#if defined(READ) || defined(RETRY_ON_DOUBT)
#define MAY_REPEAT true
#else
#define MAY_REPEAT (last == NOT_RUN)
#endif
#ifdef REFUSE_ON_DOUBT
#define REFUSES true
#else
#define REFUSES false
#endif

mtype = { NONE, OUT, NOT_RUN, ANSWERED, LOST, UNKNOWN, RAN };

mtype result[SENDS] = NONE; /* of each copy, as the daemon hears it */
bool taken[SENDS]; /* its result was acted upon */
bool requested[GRANT_REQUESTS];
bool granted[GRANT_REQUESTS];
byte grant_requests; /* number of the next grant request */
byte sends;
byte out; /* copies at workers */
byte doubt; /* copies that may have run */
byte runs;
mtype told = NONE;

inline run_once()
{
	atomic {
		runs++;
#ifndef READ
		assert(runs <= 1);
#endif
		assert(told != NOT_RUN);
	}
}

proctype worker(byte c)
{
	if
	:: result[c] = NOT_RUN
	:: run_once();
	   if
	   :: result[c] = ANSWERED
	   :: result[c] = LOST
	   fi
	:: result[c] = LOST;
	   if
	   :: run_once()
	   :: skip
	   fi
	fi
}

/* Homes grant what was requested, at any time. */
active proctype homes()
{
end:	do
	:: requested[0] && !granted[0] -> granted[0] = true
	:: requested[1] && !granted[1] -> granted[1] = true
	:: requested[2] && !granted[2] -> granted[2] = true
	:: requested[3] && !granted[3] -> granted[3] = true
	od
}

inline request_grant()
{
	requested[grant_requests] = true;
	grant_requests++;
	waiting_for_grant = true
}

inline send()
{
	waiting_for_grant = false;
	result[sends] = OUT;
	out++;
	doubt++;
	run worker(sends);
	sends++
#ifdef REACH_REPEAT
	;
	assert(sends < 2)
#endif
}

inline tell(t)
{
	told = t;
	assert(t != NOT_RUN || runs == 0)
}

/* A refusal is told only if no copy may have run. */
inline finish()
{
	if
#ifdef LAST_COPY_SPEAKS
	:: last != LOST -> tell(NOT_RUN)
	:: last == LOST -> tell(UNKNOWN)
#else
	:: doubt == 0 -> tell(NOT_RUN)
	:: doubt > 0 -> tell(UNKNOWN)
#endif
	fi
}

/* Acts on the result of one copy. */
inline take(c)
{
	taken[c] = true;
	out--;
	last = result[c];
	if
	:: last == ANSWERED -> tell(RAN)
	:: last == NOT_RUN -> doubt--
	:: last == LOST
	fi;
	if
	:: told != NONE || out > 0 || waiting_for_grant
	:: told == NONE && out == 0 && !waiting_for_grant ->
		if
		:: grant_requests < GRANT_REQUESTS && sends < SENDS &&
		   MAY_REPEAT -> request_grant()
		:: REFUSES -> tell(NOT_RUN)
		:: !REFUSES -> finish()
		fi
	fi
}

active proctype daemon()
{
	bool waiting_for_grant = false;
	mtype last = NONE;

	request_grant();
	do
	:: told != NONE -> break
	/* The grant of the grant request that is still wanted. */
	:: atomic { told == NONE && waiting_for_grant &&
		    granted[grant_requests - 1] && sends < SENDS -> send() }
#ifdef TAKE_LATE_GRANT
	/* Broken: a grant whose request was given up, or that was taken before.
	 */
	:: atomic { told == NONE && granted[0] && sends < SENDS &&
		    grant_requests > 1 -> send() }
#endif
	/* The home is silent: a grant request is sent to another one, and the
	 * old grant request is forgotten. */
	:: atomic { told == NONE && waiting_for_grant &&
		    grant_requests < GRANT_REQUESTS -> request_grant() }
	/* Refused by all, or out of time, with nothing out. */
	:: atomic { told == NONE && waiting_for_grant && out == 0 -> finish() }
#ifdef READ
	/* A second copy of a late read, and its grant request that is given
	 * up. */
	:: atomic { told == NONE && !waiting_for_grant && out > 0 &&
		    out < COPIES_OUT && grant_requests < GRANT_REQUESTS ->
		    request_grant() }
	:: told == NONE && waiting_for_grant && out > 0 ->
		waiting_for_grant = false
#endif
	:: atomic { told == NONE && HEARD(0) -> take(0) }
	:: atomic { told == NONE && HEARD(1) -> take(1) }
	:: atomic { told == NONE && HEARD(2) -> take(2) }
	/* The deadline: what is out may have run. */
	:: atomic { told == NONE && out > 0 -> tell(UNKNOWN) }
	od
}
