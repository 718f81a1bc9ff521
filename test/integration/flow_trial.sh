#!/usr/bin/env bash
# The platform's programs as real processes through restarts in turn, joins,
# drains, pauses and late answers from a seed; callers and backend servers see
# whether open flows stay with their own backend server. Each of seeds 1 to 3
# has another --hearing.
#   test/integration/flow_trial.sh [SECONDS [SEED...]]
set -uo pipefail
cd "$(dirname "$0")/../.."
: "${DAISYTRAIL_BIN:?}"
PORT_BASE=${PORT_BASE:-28000} # of 400 ports
seconds=${1:-24}
shift || true
seeds=("$@")
((${#seeds[@]} > 0)) || seeds=(1 2 3)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# One after another: each has some two dozen processes.
for seed in "${seeds[@]}"; do
    mkdir "$work/$seed"
    if "$DAISYTRAIL_BIN/daisytrail-flow-trial" --seed "$seed" \
        --seconds "$seconds" --programs "$DAISYTRAIL_BIN" \
        --work "$work/$seed" --port "$PORT_BASE" >"$work/$seed/trial.txt" 2>&1; then
        echo "ok: seed $seed: $(tail -1 "$work/$seed/trial.txt")"
        continue
    fi
    failed=$((failed + 1))
    echo "not ok: seed $seed"
    grep '^BROKEN' "$work/$seed/trial.txt"
    tail -4 "$work/$seed/trial.txt"
    kept=${KEEP:-out/flow-trial}/seed-$seed
    rm -rf "$kept"
    mkdir -p "$kept"
    cp -r "$work/$seed/." "$kept"
    echo "its logs are in $kept"
done
((failed == 0))
