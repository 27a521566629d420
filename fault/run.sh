#!/bin/sh
# Process-level failure tests: prints a row for each case; exit status 1 if a
# count that has to be 0 is not. Arguments: numbers of the cases to run; none:
# all.
#
# --broken checks that the cases detect a fault: it builds the daemon with one
# safeguard disabled at a time, in a separate build folder, and requires that
# the safeguard's case then shows a violation.
cd "$(dirname "$0")/.." || exit 1
if test "$1" != --broken
then
	exec build/fault/faults_main "$@"
fi

OUT=build/broken
undetected=0

# Builds OBJECT with a safeguard disabled. The object is removed afterwards, so
# that the next build has the safeguard again.
build_broken () { # SAFEGUARD OBJECT
	rm -f "$OUT/$2" "$OUT/libaz.a" "$OUT/bin/azhd"
	make -s -j4 BUILD=$OUT CFLAGS="-O2 -g -DAZ_TEST_BREAK_$1=1" \
		$OUT/bin/azhd || exit 2
	rm -f "$OUT/$2"
}

# COLUMN is the count of the row that must not be 0, as its distance from the
# last column: the name of a case has blanks.
check_row () { # SAFEGUARD COLUMN ROW
	row=$3
	n=$(echo "$row" | awk -v c="$2" '{ print $(NF - c) }')
	if test "$n" -gt 0
	then
		verdict=violated
	else
		verdict="NOT VIOLATED"
		undetected=1
	fi
	printf '%-10s %-12s %s\n' "$1" "$verdict" "$row"
}

check_detection () { # SAFEGUARD OBJECT CASE COLUMN
	build_broken "$1" "$2"
	check_row "$1" "$4" "$(build/fault/faults_main --daemon $OUT/bin/azhd \
		"$3" 2>/dev/null | tail -1)"
}

# The soak prints a row for the seed and a summary.
check_in_soak () { # SAFEGUARD OBJECT SEED COLUMN
	build_broken "$1" "$2"
	check_row "$1" "$4" "$(build/soak/soak_main --daemon $OUT/bin/azhd \
		--seed "$3" 2>/dev/null | tail -2 | head -1)"
}

make -s -j4 BUILD=$OUT CFLAGS="-O2 -g" $OUT/bin/azhd || exit 2
printf '%-23s ' 'disabled safeguard'
# There is no case 0: prints only the head of the table.
build/fault/faults_main 0
# Distances of columns from the last one.
TWICE=6 CROSSED=4 WRONG=3 CUT=2
check_detection RESEND upstream/upstream.o 1 $TWICE
check_detection RETRY attempt/decide.o 1 $TWICE
check_detection REUSE upstream/upstream.o 2 $CROSSED
check_detection LEDGER ticket/ledger.o 3 $TWICE
check_detection DRAIN cmd/azhd/drain.o 8 $CUT
check_detection REFUSAL front/classify.o 12 $WRONG
# Of a row of the soak, which ends with the time and the verdict.
OTHER=2
check_in_soak NOTICE attempt/notice.o 20014 $OTHER
exit $undetected
