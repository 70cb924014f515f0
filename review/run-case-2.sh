#!/bin/bash
# run-case-2.sh FOLDER PROGRAM: runs a case in its folder.  Exits with 0 if the rule
# held, 1 if it was broken and 2 if the case could not run.
set -u
cd "$(dirname "$0")/$1" || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
export TMPDIR=$temporary CASE_ROOT=../.. CASE_RECORD=record.txt
[ -x "../target/$2" ] || exit 2
"../target/$2"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
