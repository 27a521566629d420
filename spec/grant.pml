/*
 * Grants: the daemon that holds a request asks homes for a worker and sends the
 * request itself. Code: attempt/grant.c, attempt/send.c, attempt/decide.c.
 *
 * One request with up to SENDS sends and ASKS asks. Messages between the daemon
 * and the homes stay for ever once they were sent: they may be late, lost (never
 * taken) or taken twice. A home may die and another one may answer; both grant
 * whatever was asked. A worker may run a copy before, after or without its
 * result reaching the daemon.
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
#ifndef ASKS
#define ASKS 4
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
bool asked[ASKS];
bool granted[ASKS];
byte asks; /* the next ask's number */
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

/* Homes grant what was asked, at any time. */
active proctype homes()
{
end:	do
	:: asked[0] && !granted[0] -> granted[0] = true
	:: asked[1] && !granted[1] -> granted[1] = true
	:: asked[2] && !granted[2] -> granted[2] = true
	:: asked[3] && !granted[3] -> granted[3] = true
	od
}

inline ask()
{
	asked[asks] = true;
	asks++;
	asking = true
}

inline send()
{
	asking = false;
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
	:: told != NONE || out > 0 || asking
	:: told == NONE && out == 0 && !asking ->
		if
		:: asks < ASKS && sends < SENDS && MAY_REPEAT -> ask()
		:: REFUSES -> tell(NOT_RUN)
		:: !REFUSES -> finish()
		fi
	fi
}

active proctype daemon()
{
	bool asking = false;
	mtype last = NONE;

	ask();
	do
	:: told != NONE -> break
	/* The grant of the ask that is still wanted. */
	:: atomic { told == NONE && asking && granted[asks - 1] &&
		    sends < SENDS -> send() }
#ifdef TAKE_LATE_GRANT
	/* Broken: a grant of an ask that was given up, or taken before. */
	:: atomic { told == NONE && granted[0] && sends < SENDS && asks > 1 ->
		    send() }
#endif
	/* The home is silent: another one is asked, the old ask is forgotten. */
	:: atomic { told == NONE && asking && asks < ASKS -> ask() }
	/* Refused by all, or out of time, with nothing out. */
	:: atomic { told == NONE && asking && out == 0 -> finish() }
#ifdef READ
	/* A second copy of a late read, and its ask that is given up. */
	:: atomic { told == NONE && !asking && out > 0 && out < COPIES_OUT &&
		    asks < ASKS -> ask() }
	:: told == NONE && asking && out > 0 -> asking = false
#endif
	:: atomic { told == NONE && HEARD(0) -> take(0) }
	:: atomic { told == NONE && HEARD(1) -> take(1) }
	:: atomic { told == NONE && HEARD(2) -> take(2) }
	/* The deadline: what is out may have run. */
	:: atomic { told == NONE && out > 0 -> tell(UNKNOWN) }
	od
}
