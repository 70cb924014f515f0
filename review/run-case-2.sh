#!/bin/bash
# run-case-2.sh FOLDER PROGRAM [ARGUMENT]...: runs a case in its folder.  Exits with 0
# if the rule held, 1 if it was broken and 2 if the case could not run.
set -u
cd "$(dirname "$0")/$1" || exit 2
program=../target/$2
shift 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
export TMPDIR=$temporary CASE_ROOT=../.. CASE_RECORD=record.txt
[ -x "$program" ] || exit 2
"$program" "$@"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
