#!/usr/bin/env bash
# The answer of one write of the stored list is lost, and the write is executed
# late. Much later all edge machines are lost, and others take their places at
# new addresses. TROUBLE=0: the write is answered; all else is the same.
# Exits with 1 if FLOW was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")" || exit 2
bin=../../target
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
calm=()
[[ ${TROUBLE:-1} != 0 ]] || calm=(--calm)
timeout --signal=TERM --kill-after=5 110 "$bin/review-2/deployment" \
    write-list-late --programs "$bin/bin" --stand-ins "$bin/review-2" \
    --work "$work" --record record.txt "${calm[@]}"
status=$?
((status <= 2)) || status=2
exit "$status"
