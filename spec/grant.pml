/*
 * Grants: the daemon that holds a request asks homes to grant it a worker and
 * sends the request to that worker itself. Code: attempt/grant.c,
 * attempt/send.c, attempt/decide.c; the homes are home/home.c.
 *
 * One request, with up to SENDS_MAX attempts (sends to a worker) and
 * GRANT_REQUESTS_MAX grant requests to homes.
 *
 * Faults. A message between the daemon and a home stays in flight for ever: it
 * may be late, lost (never received) or duplicated. A home may die and another
 * one may reply; both grant whatever was requested. A worker may run the
 * request before its result reaches the daemon, after the result counts as
 * lost, or not at all.
 *
 * -DREAD: the request is idempotent. A hedge (a second attempt) may be sent
 * while the first attempt is in flight, and a retry after a lost result.
 * Without it the request is non-idempotent and must run at most once.
 *
 * Broken variants: TAKE_LATE_GRANT, RETRY_ON_DOUBT, REFUSE_ON_DOUBT,
 * LAST_COPY_SPEAKS.
 */
#ifndef SENDS_MAX
#define SENDS_MAX 3
#endif
#ifndef GRANT_REQUESTS_MAX
#define GRANT_REQUESTS_MAX 4
#endif
#define CONCURRENT_ATTEMPTS_MAX 2
#define RESULT_ARRIVED(a) \
	(!handled[a] && result[a] != NONE && result[a] != IN_FLIGHT)

#if defined(READ) || defined(RETRY_ON_DOUBT)
#define RETRY_ALLOWED true
#else
#define RETRY_ALLOWED (last_result == NOT_RUN)
#endif
#ifdef REFUSE_ON_DOUBT
/* Broken: answers not-run although an attempt may have run. */
#define ASSUMES_NOT_RUN true
#else
#define ASSUMES_NOT_RUN false
#endif

/* States and results of an attempt, and outcomes that the caller is told. */
mtype = { NONE, IN_FLIGHT, NOT_RUN, ANSWERED, LOST, UNKNOWN, RAN };

mtype result[SENDS_MAX] = NONE; /* of each attempt, as the daemon sees it */
bool handled[SENDS_MAX]; /* the daemon has acted on the result */
bool requested[GRANT_REQUESTS_MAX]; /* grant requests that were sent */
bool granted[GRANT_REQUESTS_MAX]; /* grants that were sent */
byte grant_requests; /* sent so far; the number of the next one */
byte sends;
byte in_flight; /* attempts whose result has not been handled */
byte possible_runs; /* attempts that may have run */
byte runs;
mtype answer = NONE; /* outcome that the caller was told */

/* A worker runs the request. */
inline record_run()
{
	atomic {
		runs++;
#ifndef READ
		assert(runs <= 1);
#endif
		assert(answer != NOT_RUN);
	}
}

proctype worker(byte a)
{
	if
	:: result[a] = NOT_RUN
	:: record_run();
	   if
	   :: result[a] = ANSWERED
	   :: result[a] = LOST
	   fi
	:: result[a] = LOST;
	   if
	   :: record_run()
	   :: skip
	   fi
	fi
}

/* Homes grant every request, at any time. */
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
	requesting = true
}

/* Sends the request to the granted worker. */
inline send()
{
	requesting = false;
	result[sends] = IN_FLIGHT;
	in_flight++;
	possible_runs++;
	run worker(sends);
	sends++
#ifdef REACH_REPEAT
	;
	assert(sends < 2)
#endif
}

inline answer_caller(outcome)
{
	answer = outcome;
	assert(outcome != NOT_RUN || runs == 0)
}

/* Ends the request without a worker's answer: the outcome is not-run only if no
 * attempt may have run. */
inline finish()
{
	if
#ifdef LAST_COPY_SPEAKS
	/* Broken: the result of the last attempt alone decides. */
	:: last_result != LOST -> answer_caller(NOT_RUN)
	:: last_result == LOST -> answer_caller(UNKNOWN)
#else
	:: possible_runs == 0 -> answer_caller(NOT_RUN)
	:: possible_runs > 0 -> answer_caller(UNKNOWN)
#endif
	fi
}

/* Acts on the result of one attempt. */
inline handle_result(a)
{
	handled[a] = true;
	in_flight--;
	last_result = result[a];
	if
	:: last_result == ANSWERED -> answer_caller(RAN)
	:: last_result == NOT_RUN -> possible_runs--
	:: last_result == LOST
	fi;
	if
	:: answer != NONE || in_flight > 0 || requesting
	:: answer == NONE && in_flight == 0 && !requesting ->
		if
		:: grant_requests < GRANT_REQUESTS_MAX &&
		   sends < SENDS_MAX && RETRY_ALLOWED -> request_grant()
		:: ASSUMES_NOT_RUN -> answer_caller(NOT_RUN)
		:: !ASSUMES_NOT_RUN -> finish()
		fi
	fi
}

active proctype daemon()
{
	bool requesting = false; /* the last grant request is still wanted */
	mtype last_result = NONE;

	request_grant();
	do
	:: answer != NONE -> break
	/* The grant for the last grant request arrives. */
	:: atomic { answer == NONE && requesting &&
		    granted[grant_requests - 1] && sends < SENDS_MAX ->
		    send() }
#ifdef TAKE_LATE_GRANT
	/* Broken: uses the grant of an abandoned request, or uses one twice. */
	:: atomic { answer == NONE && granted[0] && sends < SENDS_MAX &&
		    grant_requests > 1 -> send() }
#endif
	/* The home does not reply: abandons the grant request and sends one to
	 * another home. */
	:: atomic { answer == NONE && requesting &&
		    grant_requests < GRANT_REQUESTS_MAX -> request_grant() }
	/* All homes have refused, or the deadline has passed, and no attempt is
	 * in flight. */
	:: atomic { answer == NONE && requesting && in_flight == 0 ->
		    finish() }
#ifdef READ
	/* Requests a grant for a hedge of a late attempt, or abandons that
	 * grant request. */
	:: atomic { answer == NONE && !requesting && in_flight > 0 &&
		    in_flight < CONCURRENT_ATTEMPTS_MAX &&
		    grant_requests < GRANT_REQUESTS_MAX -> request_grant() }
	:: answer == NONE && requesting && in_flight > 0 -> requesting = false
#endif
	:: atomic { answer == NONE && RESULT_ARRIVED(0) -> handle_result(0) }
	:: atomic { answer == NONE && RESULT_ARRIVED(1) -> handle_result(1) }
	:: atomic { answer == NONE && RESULT_ARRIVED(2) -> handle_result(2) }
	/* The deadline passes: an attempt in flight may have run. */
	:: atomic { answer == NONE && in_flight > 0 -> answer_caller(UNKNOWN) }
	od
}
