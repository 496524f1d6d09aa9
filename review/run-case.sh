#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/.."
timeout --kill-after=5 112 java -Xmx512m -cp target/review Run "$1" "review/$2/record.txt"
status=$?
if [[ $status -gt 1 ]]; then exit 2; fi
exit $status
