#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread \
	-o build/review-2/stand review/stand-2/stand.c
