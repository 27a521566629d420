/*
 * Leaving workers and the planned stop of a daemon (docs/design.md, section
 * 2.1, "Leaving and stopping"; invariants I5 and I6).
 *
 * Daemon A is the home of a cell and is told to stop; daemon B is its successor
 * as home. Worker 0 leaves, worker 1 stays. Two senders, each with one
 * connection to A, send requests to the home that their view names. A sender is
 * an entry (the daemon that receives callers' requests) that forwards them, or
 * the balancer that sends them. The forward through a home is from an earlier
 * design; spec/grant.pml has the present way of a request.
 *
 * Messages may be late. Losses, crashes and pauses are left out on purpose: the
 * properties are about planned events only, and spec/ticket.pml has the faults.
 * A connection delivers in order, so that A reads its end after everything that
 * the sender wrote on it.
 *
 * Bounds. Three requests, two of them of one sender: one in flight, one written
 * when A looks idle, one sent by another view. More would repeat these cases.
 * One cell, two workers, since cells share only the stopping daemon.
 */
#ifndef REQUESTS
#define REQUESTS 3
#endif
#define SENDERS 2
#define SENDER(r) ((r) % 2)

#define A 0
#define B 1

/* State of a request. */
#define AT_SENDER 0
#define IN_FLIGHT_TO_HOME 1
#define QUEUED 2
#define AT_WORKER 3
#define ANSWERED 4
#define CUT_OFF 5 /* A has exited before the answer */
#define DROPPED 6

/* State of daemon A. */
#define SERVING 0
#define STOPPING 1
#define GONE 2

byte request_state[3];
byte home_of[3];
byte worker_of[3];
bit view[SENDERS]; /* the daemon that the sender takes for the home */
bit a_refused[REQUESTS]; /* A refused it, or its connection, as not run */
byte a_state;
bit knows_leaving[2]; /* the home knows that worker 0 leaves */
bit ever_knew_leaving[2]; /* as above, never reset */
bit worker_0_leaving; /* it was told to leave */
bit worker_0_exited;

#define ALL_ANSWERED ( \
	request_state[0] == ANSWERED && request_state[1] == ANSWERED && \
	(request_state[2] == ANSWERED || REQUESTS < 3))

#define AT_WORKER_0(r) (request_state[r] == AT_WORKER && worker_of[r] == 0)

/* The sender of one request. */
proctype request(byte r)
{
end:	do
	:: atomic {
		request_state[r] == AT_SENDER ->
		if
		:: view[SENDER(r)] == A && !a_refused[r] ->
			if
			/* Without a connection it did not run, and may be sent
			 * to B. */
			:: a_state == GONE -> a_refused[r] = 1
			:: else ->
				home_of[r] = A;
				request_state[r] = IN_FLIGHT_TO_HOME
			fi
		:: else ->
			home_of[r] = B;
			request_state[r] = IN_FLIGHT_TO_HOME
		fi
	}
	od
}

/* The home gives no new request to a worker that it knows to be leaving. */
inline pick_worker(r)
{
	if
	:: !knows_leaving[home_of[r]] -> worker_of[r] = 0
	:: worker_of[r] = 1
	fi
}

/* One request at its home. */
proctype home(byte r)
{
end:	do
	:: atomic {
		request_state[r] == IN_FLIGHT_TO_HOME &&
		(home_of[r] == B || a_state != GONE) ->
		if
		:: home_of[r] == A && a_state == STOPPING ->
			request_state[r] = AT_SENDER;
			a_refused[r] = 1
		:: request_state[r] = QUEUED
#ifdef BINDS_AT_ADMISSION
			;
			pick_worker(r)
#endif
		fi
	}
	:: atomic {
		request_state[r] == QUEUED ->
#ifndef BINDS_AT_ADMISSION
		pick_worker(r);
#endif
		assert(worker_of[r] == 1 || !ever_knew_leaving[home_of[r]]);
		if
		/* The worker refuses the connection, so that the request did
		 * not run: the home chooses the other worker. */
		:: worker_of[r] == 0 && worker_0_exited -> worker_of[r] = 1
		:: else -> request_state[r] = AT_WORKER
		fi
	}
	od
}

/* The worker that has the request. */
proctype worker(byte r)
{
end:	do
	:: atomic {
		request_state[r] == AT_WORKER -> request_state[r] = ANSWERED
	}
	od
}

/* A home learns from the platform's list, the worker's own signal or the
 * operator that worker 0 leaves. */
proctype learn_leaving(byte h)
{
end:	do
	:: atomic {
		worker_0_leaving && !knows_leaving[h] ->
		knows_leaving[h] = 1;
		ever_knew_leaving[h] = 1
#ifdef CUTS_LEAVING_WORKER
		;
		/* Closing its connections would cut off its requests. */
		assert(!AT_WORKER_0(0) && !AT_WORKER_0(1) && !AT_WORKER_0(2))
#endif
	}
#ifdef LIST_CLEARS
	/* The platform's list is stale and still has the worker. */
	:: atomic { knows_leaving[h] -> knows_leaving[h] = 0 }
#endif
	od
}

/* Worker 0 leaves: it exits once it has no request. */
active proctype leave()
{
end:	worker_0_leaving = 1;
end2:	atomic {
		!AT_WORKER_0(0) && !AT_WORKER_0(1) && !AT_WORKER_0(2) ->
		worker_0_exited = 1
	}
}

/* A's notice, on the connection or by membership, changes the sender's view.
 * The sender writes no more requests to A and closes its side of the
 * connection. */
proctype notice(byte s)
{
end:	atomic { a_state != SERVING -> view[s] = B }
}

#define IN_FLIGHT_TO_A(r) \
	(request_state[r] == IN_FLIGHT_TO_HOME && home_of[r] == A)
#define HELD_BY_A(r) ( \
	(request_state[r] == QUEUED || request_state[r] == AT_WORKER) && \
	home_of[r] == A)
#define A_IDLE (!HELD_BY_A(0) && !HELD_BY_A(1) && !HELD_BY_A(2))
/* All senders have closed their connections, and A has read everything before
 * the close. */
#define SENDERS_CLOSED (view[0] == B && view[1] == B && !IN_FLIGHT_TO_A(0) && \
	!IN_FLIGHT_TO_A(1) && !IN_FLIGHT_TO_A(2))
#if defined(EXIT_WITHOUT_DRAIN)
#define MAY_EXIT true
#elif defined(EXIT_WHEN_IDLE)
#define MAY_EXIT A_IDLE
#elif defined(EXIT_WHEN_CLOSED)
#define MAY_EXIT SENDERS_CLOSED
#elif defined(EXIT_AFTER_NOTICE)
#define MAY_EXIT (A_IDLE && view[0] == B && view[1] == B)
#else
#define MAY_EXIT (A_IDLE && SENDERS_CLOSED)
#endif

/* The planned stop of A. Code: cmd/azhd/drain.c, peer_quiesce(). */
active proctype stop()
{
	byte i;

end:	atomic {
		a_state = STOPPING
#ifdef DROPS_QUEUE
		;
		for (i : 0 .. REQUESTS - 1) {
			if
			:: request_state[i] == QUEUED && home_of[i] == A ->
				request_state[i] = DROPPED
			:: else
			fi
		}
		i = 0
#endif
	}
end2:	atomic {
		MAY_EXIT ->
		a_state = GONE;
		for (i : 0 .. REQUESTS - 1) {
			if
			:: IN_FLIGHT_TO_A(i) || HELD_BY_A(i) ->
				request_state[i] = CUT_OFF
			:: else
			fi;
			assert(request_state[i] != CUT_OFF)
		}
		i = 0
	}
}

init {
	byte i;

	atomic {
		for (i : 0 .. REQUESTS - 1) {
			run request(i);
			run home(i);
			run worker(i)
		}
		run learn_leaving(A);
		run learn_leaving(B);
		run notice(0);
		run notice(1)
	}
}

/* Under weak fairness: each request is answered, A exits, worker 0 exits. */
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

ltl answered { <> (ALL_ANSWERED && a_state == GONE && worker_0_exited) }
#endif
