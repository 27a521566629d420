#!/bin/sh
# Builds the programs of the cases 11 to 15, with their stand-ins, into
# build/review-3/. They need the C library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for c in review/stand-3/*.c
do
	[ "$c" = review/stand-3/stand.c ] ||
		gcc -O2 -Wall -Wextra -pthread \
			-o "build/review-3/$(basename "$c" .c)" \
			"$c" review/stand-3/stand.c
done
