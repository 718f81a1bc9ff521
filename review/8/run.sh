#!/usr/bin/env bash
# Four of six edge machines are lost while the store is down, and others take
# their places at new addresses; later targets are added and an edge machine is
# restarted as planned. TROUBLE=0: the store stays up and no machine is lost.
# Exits with 1 if FLOW was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")" || exit 2
bin=../../target
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
calm=()
[[ ${TROUBLE:-1} != 0 ]] || calm=(--calm)
timeout --signal=TERM --kill-after=5 110 "$bin/review-2/deployment" \
    replace-most-edges --programs "$bin/bin" --stand-ins "$bin/review-2" \
    --work "$work" --record record.txt "${calm[@]}"
status=$?
((status <= 2)) || status=2
exit "$status"
