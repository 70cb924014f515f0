#!/bin/bash
# Builds the programs that the scripts of the review start, in build-review/.
# Needs what the build of the deploy file needs, and nothing more.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
for folder in review/[1-9]; do
	[ -e "$folder/case.c" ] || continue
	# shellcheck disable=SC2046
	cc -std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE \
		-o "build-review/case-${folder##*/}" \
		"$folder/case.c" review/rig/rig.c \
		$(pkg-config --cflags --libs glib-2.0) -pthread -lm
done
