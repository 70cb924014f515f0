#!/bin/bash
# Builds the programs of the cases 6 to 10 in review/target.  Needs the build of the
# deploy file only to run them.
set -eu
cd "$(dirname "$0")"
mkdir -p target
for source in [6-9]/*.c 10/*.c; do
	[ -e "$source" ] || continue
	program=target/$(basename "$source" .c)
	gcc -std=gnu11 -Wall -Wextra -O1 -o "$program" "$source" \
		rig-2/rig_2.c -lpthread
done
