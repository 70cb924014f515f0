#!/bin/bash
# run-case.sh N: plays a case in the repository's root.  Exit code 1: the rule was
# broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=build-review/case-$1
if [ ! -x "$program" ] || [ ! -x target/cb-platform-entry ] ||
	[ ! -x target/cb-platform-control ]; then
	echo "target/ or build-review/ is not built" >&2
	exit 2
fi
timeout -k 2 118 "$program" "review/$1/record.txt"
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || code=2
exit $code
