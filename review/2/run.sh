#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review/harness || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/harness stale review/2/record.txt
