#!/usr/bin/env bash
# Uploads while a backend server drains: each is answered whole, by the backend
# server or by another one, and none is told that its outcome is unknown.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-22000}
# shellcheck source=../support/topology.sh
source test/support/topology.sh
trap 'stop_all; rm -rf "$WORK"' EXIT

all_ready() {
    [[ $(curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[balancer-1]}/view" |
        grep -o '"state":"ready"' | wc -l) -eq 3 ]]
}

start_store
start_fabric 2 --seed 11 --loss 0.005 --duplicate 0.005 --reorder 0.02
for i in 1 2; do start_balancer "$i"; done
apply_template test/integration/flows.json --who test >/dev/null || exit 1
start_targets delivery-proofs 3
wait_until 30 all_ready || exit 1

"$DAISYTRAIL_BIN/daisytrail-load" --seed 11 --seconds 14 --json --service \
    "delivery-proofs=127.0.0.1:$(service_port delivery-proofs) feeds=100 uploads=4 upload_kb=2000" \
    >"$WORK/load" &
load=$!
sleep 4
stop_process backend-delivery-proofs-1
sleep 4
stop_process backend-delivery-proofs-2
wait "$load"
grep -o '"upload":{[^}]*}' "$WORK/load"
bad=$(grep -oE '"(broken|truncated|wrong_answer|unknown)":[0-9]+' "$WORK/load" |
    awk -F: '{ sum += $2 } END { print sum + 0 }')
if [[ $bad -eq 0 ]]; then
    echo "ok: no upload broken or of unknown outcome"
else
    echo "not ok: uploads broken or of unknown outcome: $bad"
    exit 1
fi
