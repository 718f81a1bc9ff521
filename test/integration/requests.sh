#!/usr/bin/env bash
# Requests through drains in turn and through kills: what callers were told is
# compared with the backend servers' ledgers.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-24000}
# shellcheck source=../support/topology.sh
source test/support/topology.sh
trap 'stop_all; rm -rf "$WORK"' EXIT
failed=0
service=depot-orders
address=127.0.0.1:$(service_port $service)
targets=5

# expect NAME VALUE WANTED
expect() {
    if [[ $2 == "$3" ]]; then
        echo "ok: $1: $2"
    else
        echo "not ok: $1: $2, expected $3"
        failed=$((failed + 1))
    fi
}

ready_count() {
    curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[balancer-3]}/view" |
        grep -o '"state":"ready"' | wc -l
}

all_ready() { (($(ready_count) == targets)); }

# start_load NAME SECONDS PLAN
start_load() {
    local ledgers=() i
    for ((i = 1; i <= targets; ++i)); do
        ledgers+=(--ledger "$WORK/ledger-$service-$i")
    done
    "$DAISYTRAIL_BIN/daisytrail-load" --service "$service=$address $3" \
        "${ledgers[@]}" --seed 7 --seconds "$2" --json \
        >"$WORK/$1.load" 2>"$WORK/$1.err" &
    PROCESS_ID[$1]=$!
}

# results NAME KEY...: the sum of these counts in a report of the load.
results() {
    local pattern
    pattern=$(printf '|%s' "${@:2}")
    grep -oE "\"(${pattern:1})\":[0-9]+" "$WORK/$1.load" |
        awk -F: '{ sum += $2 } END { print sum + 0 }'
}

stop_and_restart_backend() {
    stop_process "backend-$service-$1" "$2"
    wait_process "backend-$service-$1"
    sleep "$3"
    start_backend $service "$1" --work-ms 10
}

stop_and_restart_agent() {
    stop_process "agent-$service-$1" "$2"
    wait_process "agent-$service-$1"
    sleep "$3"
    start_agent $service "$1"
}

# Orders with issued keys, each sent three times on flows of their own. A line
# for each order whose answers differ.
resend_orders() {
    local end=$((SECONDS + $1)) i=0 key
    while ((SECONDS < end)); do
        i=$((i + 1))
        key=$(curl -s -m 10 -X POST "http://$address/.daisytrail/keys" |
            grep -o 'dt1-[0-9a-f-]*') || continue
        for _ in 1 2 3; do
            curl -s -m 20 -o "$WORK/resend.$BASHPID" -w "$i %{http_code}\n" \
                -H "Idempotency-Key: $key" -d "{\"order\":\"keyed-$i\"}" \
                "http://$address/orders" >>"$WORK/resent"
        done
        echo "$i" >>"$WORK/resent_orders"
    done
}

start_store
start_fabric 3 --seed 7 --loss 0.005 --duplicate 0.005 --reorder 0.02
for i in 1 2 3; do start_balancer "$i"; done
apply_template test/integration/requests.json --who test >/dev/null
expect "template accepted" $? 0
start_targets $service $targets --work-ms 10
wait_until 30 all_ready
expect "all targets known and warm" $? 0

echo "-- backend servers and agents are drained in turn under load"
start_load drains 40 "feeds=100 orders=80 fetches=80 uploads=1 upload_kb=1000"
sleep 3
for i in 1 2 3; do
    stop_and_restart_backend "$i" TERM 0.5
    sleep 2
done
for i in 4 5; do
    stop_process "agent-$service-$i"
    sleep 3
done
wait "${PROCESS_ID[drains]}"
cat "$WORK/drains.load"
expect "requests cut off" \
    "$(results drains broken truncated wrong_answer unknown)" 0
expect "orders doubled" "$(results drains orders_doubled)" 0
expect "told not run but ran" "$(results drains refused_but_ran)" 0
expect "answered but not run" "$(results drains answered_not_run)" 0
for i in 4 5; do
    stop_process "agent-$service-$i" KILL
    wait_process "agent-$service-$i"
    start_agent $service "$i"
done
wait_until 30 all_ready
expect "all targets known and warm" $? 0

echo "-- 10,000 orders under kills of backend servers, agents and a balancer"
rm -f "$WORK"/ledger-*
for ((i = 1; i <= targets; ++i)); do
    stop_process "backend-$service-$i" KILL
    wait_process "backend-$service-$i"
    start_backend $service "$i" --work-ms 10
done
wait_until 30 all_ready
start_load kills 50 "feeds=50 orders=210 fetches=40"
resend_orders 45 &
PROCESS_ID[resends]=$!
sleep 4
stop_and_restart_backend 1 KILL 1
sleep 3
stop_and_restart_agent 2 KILL 1
sleep 3
stop_process balancer-1 KILL
sleep 2
stop_and_restart_backend 3 KILL 3
stop_and_restart_agent 4 KILL 0.2
sleep 3
curl -s -o /dev/null -d '{"shed":true}' \
    "http://127.0.0.1:$(($(target_ports $service 5) + 4))/fault"
sleep 3
curl -s -o /dev/null -d '{"shed":false}' \
    "http://127.0.0.1:$(($(target_ports $service 5) + 4))/fault"
stop_and_restart_backend 5 KILL 1
sleep 3
stop_and_restart_agent 1 KILL 1
wait "${PROCESS_ID[kills]}"
wait "${PROCESS_ID[resends]}"
cat "$WORK/kills.load"
expect "orders of the load" $(($(results kills orders_started) > 9000)) 1
expect "orders doubled" "$(results kills orders_doubled)" 0
expect "told not run but ran" "$(results kills refused_but_ran)" 0
expect "answered but not run" "$(results kills answered_not_run)" 0
expect "answers to the wrong caller, or damaged" \
    "$(results kills wrong_answer wrong_service)" 0
echo "orders resent with a key: $(wc -l <"$WORK/resent_orders")"
echo "answers to them by status:"
awk '{ count[$2]++ } END { for (s in count) print "  " s, count[s] }' \
    "$WORK/resent"
expect "resent orders started twice" \
    "$(cat "$WORK"/ledger-$service-* | grep '^S keyed-' | sort | uniq -d | wc -l)" 0
for i in 2 3 4 5; do
    echo "agent $i:"
    curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[agent-$service-$i]}/metrics" |
        grep -E '^daisytrail_(requests_total|peer_|request_retries|backend_ref)'
done
# Agents were killed while others ran requests for them and at them.
peer_starts=0
for i in 2 3 4 5; do
    peer_starts=$((peer_starts + $(metric "agent-$service-$i" \
        daisytrail_peer_starts_total)))
done
expect "requests were passed between agents" $((peer_starts > 100)) 1

((failed == 0)) && echo "requests: all checks passed"
((failed == 0))
