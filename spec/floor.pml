/*
 * Exclusion of workers down to the floor (docs/design.md, section 2.1, "Floor";
 * invariant I1).
 *
 * Homes report unhealthy and leaving workers; one entry decides for one request
 * by its own view whom to exclude over the whole pool; each home drops the
 * leaving workers that it knows and takes the rest of the mask as given.
 *
 * The views are arbitrary: what the entry believes about severity and leaving,
 * what each home knows of leaving workers and what it thinks of their health
 * are chosen independently for each worker. That covers any order, age and
 * loss of reports, any number of entries with views of their own, and homes
 * that change their minds.
 *
 * Properties, whatever the views:
 * - an entry leaves in at least the floor of the pool as configured, or all that
 *   it does not know to leave if those are fewer;
 * - homes take away nothing but leaving workers that the entry did not know of,
 *   so that the request is short of the floor by these at most, and only until
 *   the entry hears of them. -DSTRICT asks for the floor even then, which no
 *   rule for a home alone can give, as the excluded workers may be in another
 *   cell: it is rejected. -DGIVE_BACK is a rule for homes that keeps the number
 *   of choices within each cell.
 *
 * Bounds. Five workers in cells of three and two, floor 50 % rounded up to
 * three, three severities. The rule counts workers only; with five the floor
 * is not a whole half, a cell can be excluded whole, and leaving workers alone
 * can go below the floor.
 */
#define WORKERS 5
#define FLOOR 3
#define FIRST_OF_CELL_1 3

byte severity[WORKERS]; /* in the entry's view */
bit entry_leaving[WORKERS]; /* in the entry's view */
bit home_leaving[WORKERS]; /* known to its home */
#ifdef HOMES_EXCLUDE
bit home_unhealthy[WORKERS];
#endif
#ifdef UNION_OF_ENTRIES
bit other_excluded[WORKERS];
#endif
bit excluded[WORKERS]; /* the forward's masks */
bit dropped[WORKERS]; /* by its home */
byte step;
byte homes_done;

/* member/: views as they happen to be. */
active proctype views()
{
	byte w;
	byte n;

	atomic {
		for (w : 0 .. WORKERS - 1) {
			if
			:: severity[w] = 0
			:: severity[w] = 1
			:: severity[w] = 2
			fi;
			if
			:: entry_leaving[w] = 0
			:: entry_leaving[w] = 1
			fi;
			if
			:: home_leaving[w] = 0
			:: home_leaving[w] = 1
			fi;
#ifdef HOMES_EXCLUDE
			if
			:: home_unhealthy[w] = 0
			:: home_unhealthy[w] = 1
			fi;
#endif
#ifdef UNION_OF_ENTRIES
			/* Another entry keeps to the floor too. */
			if
			:: n < WORKERS - FLOOR -> other_excluded[w] = 1; n++
			:: true
			fi
#endif
		}
		step = 1
	}
}

/* route/floor.c */
active proctype entry()
{
	byte w;
	byte in; /* workers that stay */
	byte floor;
	byte s;

	atomic {
		step == 1 ->
		in = WORKERS;
		floor = FLOOR;
		for (w : 0 .. WORKERS - 1) {
			if
			:: entry_leaving[w] ->
				excluded[w] = 1;
#ifndef LEAVING_NOT_COUNTED
				in--
#endif
			:: else
			fi
		}
#ifdef FLOOR_OF_THE_REST
		floor = (in + 1) / 2;
#endif
		s = 2;
		do
		:: s > 0 ->
			for (w : 0 .. WORKERS - 1) {
				if
				:: severity[w] == s && !excluded[w] &&
				   in > floor ->
					excluded[w] = 1;
					in--
				:: else
				fi
			}
			s--
		:: else -> break
		od;
		/* The worst go first. */
		for (w : 0 .. WORKERS - 1) {
			if
			:: severity[w] == 2 && !excluded[w] ->
				for (s : 0 .. WORKERS - 1) {
					assert(!excluded[s] ||
					       entry_leaving[s] ||
					       severity[s] == 2)
				}
			:: else
			fi
		}
#ifdef UNION_OF_ENTRIES
		for (w : 0 .. WORKERS - 1) {
			excluded[w] = excluded[w] | other_excluded[w]
		}
#endif
		step = 2
	}
}

/* cell/cell.c: whom a home may dispatch to. */
proctype home(byte first; byte last)
{
	byte w;
#ifdef GIVE_BACK
	byte owed; /* leaving workers that the entry left in */
	byte may;
	byte left_in;
	byte stay;
#endif

	atomic {
		step == 2 ->
		for (w : first .. last) {
			dropped[w] = excluded[w];
			if
			:: home_leaving[w] ->
#ifdef GIVE_BACK
				owed = owed + (1 - excluded[w]);
#endif
				dropped[w] = 1
			:: else
			fi
		}
#ifdef GIVE_BACK
		/* For each of them one that the entry excluded as unhealthy
		 * comes back; the forward has a mask of its own for leaving. */
		for (w : first .. last) {
			if
			:: owed > 0 && excluded[w] && !home_leaving[w] &&
			   !entry_leaving[w] ->
				dropped[w] = 0;
				owed--
			:: else
			fi
		}
		for (w : first .. last) {
			may = may + (1 - dropped[w]);
			left_in = left_in + (1 - excluded[w]);
			stay = stay + (!entry_leaving[w] && !home_leaving[w])
		}
		assert(may >= left_in || may >= stay);
#endif
#ifdef HOMES_EXCLUDE
		for (w : first .. last) {
			dropped[w] = dropped[w] | home_unhealthy[w]
		}
#endif
		homes_done++
	}
}

active proctype check()
{
	byte w;
	byte left_in;
	byte may;
	byte stay;
	byte unknown; /* leaving workers that the entry does not know of */

	atomic {
		step == 2 ->
		for (w : 0 .. WORKERS - 1) {
			left_in = left_in + (1 - excluded[w]);
			stay = stay + (1 - entry_leaving[w])
		}
		assert(left_in >= FLOOR || left_in == stay);
		run home(0, FIRST_OF_CELL_1 - 1);
		run home(FIRST_OF_CELL_1, WORKERS - 1)
	}
	atomic {
		homes_done == 2 ->
		stay = 0;
		for (w : 0 .. WORKERS - 1) {
			may = may + (1 - dropped[w]);
			stay = stay + (!entry_leaving[w] && !home_leaving[w]);
			unknown = unknown +
				(home_leaving[w] && !entry_leaving[w])
		}
#ifdef STRICT
		assert(may >= FLOOR || may >= stay)
#else
		assert(may + unknown >= FLOOR || may >= stay)
#endif
	}
}
