#!/usr/bin/env bash
# A target crashes and starts again, and its agent is killed before the target has
# announced itself; later a balancer is restarted by plan. TROUBLE=0: no crash and
# no kill. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run.
cd "$(dirname "$0")/../.." || exit 2
record=review/12/record.txt # what was sent, answered and run
rm -f "$record"
timeout -k 2 118 target/review-3/case_two_restarts "$record" target/review-3 \
    "${TROUBLE:-1}"
status=$?
((status <= 2)) && [[ -s $record ]] || status=2
exit "$status"
