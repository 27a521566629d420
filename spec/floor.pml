/*
 * Exclusion of workers down to the floor (docs/design.md, section 2.1, "Floor";
 * invariant I1). Code: health/floor.c.
 *
 * Homes report unhealthy and leaving workers. The entry (the daemon that
 * receives the caller's request) decides by its own view of these reports which
 * workers of the whole pool to exclude for one request, and forwards the mask
 * to the homes. Each home also excludes the leaving workers that it knows of,
 * and otherwise keeps to the mask. The forward through a home is from an
 * earlier design; spec/grant.pml has the present way of a request.
 *
 * The views are arbitrary: for each worker, the severity that the entry sees,
 * whether the entry and the home know that the worker leaves, and the home's
 * own opinion of its health are chosen independently. This covers any order,
 * age and loss of reports, any number of entries with different views, and
 * homes that change their opinion.
 *
 * Properties, whatever the views:
 * - the entry keeps at least the floor of the configured pool in service, or
 *   all workers that it does not know to leave if those are fewer;
 * - homes exclude no further workers but leaving ones that the entry did not
 *   know of. A request is therefore short of the floor by at most these
 *   workers, and only until the entry learns that they leave. -DSTRICT demands
 *   the floor even then. No rule for a single home can provide that, as the
 *   excluded workers may be in another cell, so that -DSTRICT is rejected.
 *   -DGIVE_BACK is a rule for homes that keeps the number of usable workers
 *   within each cell.
 *
 * Bounds. Five workers in cells of three and two, a floor of 50 % rounded up to
 * three, three severities. The rule depends only on numbers of workers. With
 * five, the floor is not exactly half, a whole cell can be excluded, and
 * leaving workers alone can go below the floor.
 */
#define WORKERS 5
#define FLOOR 3
#define FIRST_OF_CELL_1 3

byte severity[WORKERS]; /* in the entry's view; 0: healthy */
bit entry_leaving[WORKERS]; /* the entry knows that the worker leaves */
bit home_leaving[WORKERS]; /* its home knows that the worker leaves */
#ifdef HOMES_EXCLUDE
bit home_unhealthy[WORKERS];
#endif
#ifdef UNION_OF_ENTRIES
bit other_entry_excluded[WORKERS];
#endif
bit entry_excluded[WORKERS]; /* the masks in the forward */
bit home_excluded[WORKERS]; /* by the mask or by its home */
byte step; /* 1: the views are chosen; 2: the entry has decided */
byte homes_done;

/* Chooses the views of the entry and the homes. Code: member/view.c. */
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
			:: n < WORKERS - FLOOR ->
				other_entry_excluded[w] = 1;
				n++
			:: true
			fi
#endif
		}
		step = 1
	}
}

/* health/floor.c, floor_exclude() */
active proctype entry()
{
	byte w;
	byte remaining; /* workers not excluded */
	byte floor;
	byte i; /* a severity, then a worker */

	atomic {
		step == 1 ->
		remaining = WORKERS;
		floor = FLOOR;
		for (w : 0 .. WORKERS - 1) {
			if
			:: entry_leaving[w] ->
				entry_excluded[w] = 1;
#ifndef LEAVING_NOT_COUNTED
				remaining--
#endif
			:: else
			fi
		}
#ifdef FLOOR_OF_THE_REST
		floor = (remaining + 1) / 2;
#endif
		i = 2;
		do
		:: i > 0 ->
			for (w : 0 .. WORKERS - 1) {
				if
				:: severity[w] == i && !entry_excluded[w] &&
				   remaining > floor ->
					entry_excluded[w] = 1;
					remaining--
				:: else
				fi
			}
			i--
		:: else -> break
		od;
		/* The most severe are excluded first: if one of them is not
		 * excluded, no less severe worker is. */
		for (w : 0 .. WORKERS - 1) {
			if
			:: severity[w] == 2 && !entry_excluded[w] ->
				for (i : 0 .. WORKERS - 1) {
					assert(!entry_excluded[i] ||
					       entry_leaving[i] ||
					       severity[i] == 2)
				}
			:: else
			fi
		}
#ifdef UNION_OF_ENTRIES
		for (w : 0 .. WORKERS - 1) {
			entry_excluded[w] =
				entry_excluded[w] | other_entry_excluded[w]
		}
#endif
		step = 2
	}
}

/* Which workers a home may use. */
proctype home(byte first; byte last)
{
	byte w;
#ifdef GIVE_BACK
	byte to_readmit; /* leaving workers that the entry did not exclude */
	byte usable;
	byte not_excluded;
	byte staying;
#endif

	atomic {
		step == 2 ->
		for (w : first .. last) {
			home_excluded[w] = entry_excluded[w];
			if
			:: home_leaving[w] ->
#ifdef GIVE_BACK
				to_readmit =
					to_readmit + (1 - entry_excluded[w]);
#endif
				home_excluded[w] = 1
			:: else
			fi
		}
#ifdef GIVE_BACK
		/* For each of them the home readmits a worker that the entry
		 * excluded as unhealthy. It can tell these from leaving ones,
		 * which have a mask of their own in the forward. */
		for (w : first .. last) {
			if
			:: to_readmit > 0 && entry_excluded[w] &&
			   !home_leaving[w] && !entry_leaving[w] ->
				home_excluded[w] = 0;
				to_readmit--
			:: else
			fi
		}
		for (w : first .. last) {
			usable = usable + (1 - home_excluded[w]);
			not_excluded = not_excluded + (1 - entry_excluded[w]);
			staying = staying +
				(!entry_leaving[w] && !home_leaving[w])
		}
		assert(usable >= not_excluded || usable >= staying);
#endif
#ifdef HOMES_EXCLUDE
		for (w : first .. last) {
			home_excluded[w] = home_excluded[w] | home_unhealthy[w]
		}
#endif
		homes_done++
	}
}

active proctype check()
{
	byte w;
	byte not_excluded; /* by the entry */
	byte usable;
	byte staying;
	byte unknown_leaving; /* leaving workers that only homes know of */

	atomic {
		step == 2 ->
		for (w : 0 .. WORKERS - 1) {
			not_excluded = not_excluded + (1 - entry_excluded[w]);
			staying = staying + (1 - entry_leaving[w])
		}
		assert(not_excluded >= FLOOR || not_excluded == staying);
		run home(0, FIRST_OF_CELL_1 - 1);
		run home(FIRST_OF_CELL_1, WORKERS - 1)
	}
	atomic {
		homes_done == 2 ->
		staying = 0;
		for (w : 0 .. WORKERS - 1) {
			usable = usable + (1 - home_excluded[w]);
			staying = staying +
				(!entry_leaving[w] && !home_leaving[w]);
			unknown_leaving = unknown_leaving +
				(home_leaving[w] && !entry_leaving[w])
		}
#ifdef STRICT
		assert(usable >= FLOOR || usable >= staying)
#else
		assert(usable + unknown_leaving >= FLOOR || usable >= staying)
#endif
	}
}
