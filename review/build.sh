#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. The daemon is
# built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
${CC:-cc} -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
	-o target/review/stand review/stand/stand.c review/stand/cases.c
