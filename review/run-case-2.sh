#!/usr/bin/env bash
# Runs a case: run-case-2.sh CLASS N. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
record="review/$2/record.txt"
rm -f "$record"
java -Xmx1g -cp target/review-2 "$1" "review/$2"
status=$?
case $status in
    0) result="the rule held" ;;
    1) result="the rule was broken" ;;
    *) exit 2 ;;
esac
# Java itself exits with 1 as well, for instance if the stand-ins are not built.
grep -qs "result: $result" "$record" || exit 2
exit $status
