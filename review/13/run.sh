#!/usr/bin/env bash
# A change of the configuration moves a route to another service while new flows
# wait for room at the former one. TROUBLE=0: the configuration stays. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
record=review/13/record.txt # what was sent, answered and run
rm -f "$record"
timeout -k 2 118 target/review-3/case_cutover "$record" target/review-3 \
    "${TROUBLE:-1}"
status=$?
((status <= 2)) && [[ -s $record ]] || status=2
exit "$status"
