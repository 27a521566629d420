/*
 * Leaving workers and a planned proxy stop (docs/design.md, section 2.1,
 * "Leaving and stopping"; invariants I5 and I6).
 *
 * Home A of a cell is told to stop, home B takes the cell over. Worker 0 leaves,
 * worker 1 stays. Two senders, each with one connection to A, send requests by
 * their own view; a sender is an entry that forwards, or the balancer that
 * sends callers' requests.
 *
 * Messages may be late. Losses, crashes and pauses are left out on purpose:
 * the properties are about planned events only, and spec/ticket.pml has the
 * faults. A connection delivers in order, so that A sees its end after all
 * that the sender wrote on it.
 *
 * Bounds. Three requests, two of one sender: one in flight, one written when A
 * looks idle, one of another view. More would repeat these cases. One cell, two
 * workers, since cells share nothing but the stopping daemon.
 */
#ifndef REQUESTS
#define REQUESTS 3
#endif
#define SENDERS 2
#define SENDER(r) ((r) % 2)

#define A 0
#define B 1

/* Where a request is. */
#define AT_SENDER 0
#define TO_HOME 1
#define QUEUED 2
#define AT_WORKER 3
#define ANSWERED 4
#define CUT 5
#define DROPPED 6

/* State of daemon A. */
#define SERVING 0
#define STOPPING 1
#define GONE 2

byte where[3];
byte home_of[3];
byte worker_of[3];
bit view[SENDERS]; /* the home that the sender knows */
bit a_refused[REQUESTS]; /* A refused it as not run */
byte a;
bit heard[2]; /* the home knows that worker 0 leaves */
bit ever_heard[2];
bit leaves; /* worker 0 was told to leave */
bit left; /* it has exited */

#define ANSWERED_ALL (where[0] == ANSWERED && where[1] == ANSWERED && \
	(where[2] == ANSWERED || REQUESTS < 3))

#define AT_WORKER_0(r) (where[r] == AT_WORKER && worker_of[r] == 0)

/* route/route.c, or the balancer: one request. */
proctype request(byte r)
{
end:	do
	:: atomic {
		where[r] == AT_SENDER ->
		if
		:: view[SENDER(r)] == A && !a_refused[r] ->
			if
			/* No connection: not run, so that B may be tried. */
			:: a == GONE -> a_refused[r] = 1
			:: else ->
				home_of[r] = A;
				where[r] = TO_HOME
			fi
		:: else ->
			home_of[r] = B;
			where[r] = TO_HOME
		fi
	}
	od
}

/* A worker that the home knows to leave gets no new work. */
inline pick_worker(r)
{
	if
	:: !heard[home_of[r]] -> worker_of[r] = 0
	:: worker_of[r] = 1
	fi
}

/* cell/cell.c: one request at its home. */
proctype home(byte r)
{
end:	do
	:: atomic {
		where[r] == TO_HOME && (home_of[r] == B || a != GONE) ->
		if
		:: home_of[r] == A && a == STOPPING ->
			where[r] = AT_SENDER;
			a_refused[r] = 1
		:: where[r] = QUEUED
#ifdef BINDS_AT_ADMISSION
			;
			pick_worker(r)
#endif
		fi
	}
	:: atomic {
		where[r] == QUEUED ->
#ifndef BINDS_AT_ADMISSION
		pick_worker(r);
#endif
		assert(worker_of[r] == 1 || !ever_heard[home_of[r]]);
		if
		/* Connection refused: not run, queued again. */
		:: worker_of[r] == 0 && left -> worker_of[r] = 1
		:: else -> where[r] = AT_WORKER
		fi
	}
	od
}

/* The upstream's workers. */
proctype worker(byte r)
{
end:	do
	:: atomic { where[r] == AT_WORKER -> where[r] = ANSWERED }
	od
}

/* The list, the worker's own signal or the operator reaches a home. */
proctype hear(byte h)
{
end:	do
	:: atomic {
		leaves && !heard[h] ->
		heard[h] = 1;
		ever_heard[h] = 1
#ifdef CUTS_LEAVING_WORKER
		;
		/* Closing its connections cuts what runs there. */
		assert(!AT_WORKER_0(0) && !AT_WORKER_0(1) && !AT_WORKER_0(2))
#endif
	}
#ifdef LIST_CLEARS
	/* The platform's list lags and still has the worker. */
	:: atomic { heard[h] -> heard[h] = 0 }
#endif
	od
}

active proctype leave()
{
end:	leaves = 1;
end2:	atomic {
		!AT_WORKER_0(0) && !AT_WORKER_0(1) && !AT_WORKER_0(2) ->
		left = 1
	}
}

/* A's notice, on the connection or by membership, moves a sender's view. The
 * sender writes no more to A and closes its side. */
proctype notice(byte s)
{
end:	atomic { a != SERVING -> view[s] = B }
}

#define ON_WIRE(r) (where[r] == TO_HOME && home_of[r] == A)
#define INSIDE(r) ((where[r] == QUEUED || where[r] == AT_WORKER) && \
	home_of[r] == A)
#define IDLE (!INSIDE(0) && !INSIDE(1) && !INSIDE(2))
/* All senders have closed and everything before the close was read. */
#define CLOSED (view[0] == B && view[1] == B && !ON_WIRE(0) && \
	!ON_WIRE(1) && !ON_WIRE(2))
#if defined(EXIT_WITHOUT_DRAIN)
#define MAY_EXIT true
#elif defined(EXIT_WHEN_IDLE)
#define MAY_EXIT IDLE
#elif defined(EXIT_WHEN_CLOSED)
#define MAY_EXIT CLOSED
#elif defined(EXIT_AFTER_NOTICE)
#define MAY_EXIT (IDLE && view[0] == B && view[1] == B)
#else
#define MAY_EXIT (IDLE && CLOSED)
#endif

/* cmd/azhd: the planned stop of A. */
active proctype stop()
{
	byte i;

end:	atomic {
		a = STOPPING
#ifdef DROPS_QUEUE
		;
		for (i : 0 .. REQUESTS - 1) {
			if
			:: where[i] == QUEUED && home_of[i] == A ->
				where[i] = DROPPED
			:: else
			fi
		}
		i = 0
#endif
	}
end2:	atomic {
		MAY_EXIT ->
		a = GONE;
		for (i : 0 .. REQUESTS - 1) {
			if
			:: ON_WIRE(i) || INSIDE(i) -> where[i] = CUT
			:: else
			fi;
			assert(where[i] != CUT)
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
		run hear(A);
		run hear(B);
		run notice(0);
		run notice(1)
	}
}

/* Under weak fairness: each request is answered, A exits, worker 0 exits. */
#ifdef LIVENESS
/* Time goes on when nothing else does, so that each run is infinite. */
bit tick;

active proctype time()
{
	do
	:: tick = 1 - tick
	od
}

ltl answered { <> (ANSWERED_ALL && a == GONE && left) }
#endif
