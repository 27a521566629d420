#!/bin/sh
# Process-level failure tests: a row for each case, exit status 1 if a required
# zero is not zero. Arguments: numbers of cases; none: all.
cd "$(dirname "$0")/.." || exit 1
exec build/fault/faults_main "$@"
