#!/usr/bin/env bash
# Runs one scenario on real processes and judges it:
#   scenario.sh [--seed S] [--json] [--port-base P] FILE [FILE]
#   scenario.sh [--seed S] [--json] --soak SECONDS
# Exit status: 0 if all held, 1 if something didn't, 2 if it could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
seed=1 json=() soak=() files=()
PORT_BASE=${PORT_BASE:-25200}
while (($# > 0)); do
    case $1 in
    --seed) seed=$2; shift ;;
    --json) json=(--json) ;;
    --soak) soak=(--soak "$2"); shift ;;
    --port-base) PORT_BASE=$2; shift ;;
    *) files+=("$1") ;;
    esac
    shift
done
# shellcheck source=topology.sh
source "$here/topology.sh"
scenario=$DAISYTRAIL_BIN/daisytrail-scenario
templates=$here/../scenarios
examples=$here/../../support/examples

cleanup() {
    stop_all
    rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

plan=$("$scenario" plan "${soak[@]}" --seed "$seed" "${files[@]}") || exit 2

balancers=3 length_ms=10000 load_options=() ledgers=() applies=()
declare -A targets=()
apply_failed=0 apply_seconds=0 reverted=0 last_revision=0

wait_for_targets() {
    local i want=0 service
    for service in "${!targets[@]}"; do want=$((want + targets[$service])); done
    for ((i = 1; i <= balancers; ++i)); do
        [[ $(curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[balancer-$i]}/view" |
            grep -o '"state":"ready"' | wc -l) -ge $want ]] || return 1
    done
}

read_setup() {
    local line rest
    while read -r line; do
        rest=${line#* }
        case $line in
        balancers\ *) balancers=$rest ;;
        targets\ *) targets[${rest% *}]=${rest#* } ;;
        load\ *)
            load_options+=(--service "${rest%% *}=127.0.0.1:$(service_port "${rest%% *}") ${rest#* }") ;;
        run\ *) length_ms=$rest ;;
        esac
    done <<<"$plan"
}

start_fleet() {
    local i service
    start_store || return 1
    start_fabric "$balancers" --seed "$seed" || return 1
    for ((i = 1; i <= balancers; ++i)); do start_balancer "$i"; done
    for i in hamutenya sencna-mreza; do
        apply_template "$examples/$i.json" --who scenario >/dev/null || return 1
    done
    for service in "${!targets[@]}"; do
        start_targets "$service" "${targets[$service]}"
        for ((i = 1; i <= targets[$service] + 6; ++i)); do
            : >>"$WORK/ledger-$service-$i"
            ledgers+=(--ledger "$WORK/ledger-$service-$i")
        done
    done
    wait_until 30 wait_for_targets
}

# start NAME: balancer-N, agent-SERVICE-N, backend-SERVICE-N or
# target-SERVICE-N.
start_named() {
    local number=${1##*-} name=${1%-*}
    wait_process "$1"
    case $name in
    store) start_store ;;
    balancer)
        start_balancer "$number"
        # The fabric learns of a balancer that it doesn't have yet.
        ((number <= balancers)) || curl -s -o /dev/null -X POST \
            "http://127.0.0.1:$fabric_http_port/balancers" \
            -d "{\"add\": \"127.0.0.1:$((PORT_BASE + 20 + 3 * number))\"}" ;;
    agent-*) start_agent "${name#agent-}" "$number" ;;
    backend-*) start_backend "${name#backend-}" "$number" ;;
    target-*) start_target "${name#target-}" "$number" ;;
    esac
}

# store_fault [MORE]: the stand-in forgets each fault that isn't named again.
store_down=false store_slow_ms=0
store_fault() {
    curl -s -o /dev/null -X POST "http://127.0.0.1:$store_port/fault" \
        -d "{\"down\": $store_down, \"slow_ms\": $store_slow_ms${1:+, $1}}"
}

store_revision() {
    curl -s -m 2 "http://127.0.0.1:$store_port/stats" |
        grep -o '"revision":[0-9]*' | cut -d: -f2
}

to_ms() {
    case $1 in
    *ms) echo "${1%ms}" ;;
    *s) echo $((${1%s} * 1000)) ;;
    *m) echo $((${1%m} * 60000)) ;;
    esac
}

carry_out_on_store() {
    case $1 in
    down) store_down=true; store_fault ;;
    up) store_down=false; store_fault ;;
    slow) store_slow_ms=$(to_ms "$2"); store_fault ;;
    lose-answers) store_fault "\"lose_next_answers\": $2" ;;
    cut-watches) store_fault '"cut_watches": true' ;;
    lapse-leases) store_fault '"lapse_leases": true' ;;
    go-back) store_fault "\"rollback_to\": $(($(store_revision) - $2))" ;;
    esac
}

# apply FILE in the background, since it waits until in force.
apply_change() {
    local processes=() name
    for name in "${!PROCESS_ID[@]}"; do
        [[ $name != balancer-* ]] || kill -0 "${PROCESS_ID[$name]}" 2>/dev/null &&
            [[ $name == balancer-* ]] &&
            processes+=(--process "127.0.0.1:${PROCESS_HTTP[$name]}")
    done
    {
        local start=$EPOCHREALTIME status=0
        "$DAISYTRAIL_BIN/daisytrail" --store "127.0.0.1:$store_port" --json \
            --timeout 30 "${processes[@]}" apply "$templates/$1" \
            --base current --wait --who scenario \
            >"$WORK/apply-$2.json" 2>"$WORK/apply-$2.log" || status=$?
        echo "$status $start $EPOCHREALTIME" >"$WORK/apply-$2.done"
    } &
    applies+=("$!")
}

# The highest revision that each balancer ran never gets lower.
watch_revisions() {
    local i at
    declare -A highest=()
    while :; do
        for ((i = 1; i <= balancers; ++i)); do
            at=$(curl -s -m 1 "http://127.0.0.1:${PROCESS_HTTP[balancer-$i]}/view" |
                grep -o '"hamutenya":[0-9]*' | cut -d: -f2)
            [[ -n $at ]] || continue
            ((at >= ${highest[$i]:-0})) || echo "balancer-$i $at" >>"$WORK/reverted"
            highest[$i]=$at
        done
        sleep 0.5
    done
}

carry_out() {
    local verb=$1
    shift
    case $verb in
    kill) stop_process "$1" KILL ;;
    stop) stop_process "$1" TERM ;;
    pause) stop_process "$1" STOP ;;
    resume) stop_process "$1" CONT ;;
    start) start_named "$1" ;;
    slow)
        local name=${1#backend-}
        curl -s -o /dev/null -X POST -d "{\"slow\": $2}" \
            "http://127.0.0.1:$(($(target_ports "${name%-*}" "${name##*-}") + 4))/fault" ;;
    fabric)
        curl -s -o /dev/null -X POST -d "{\"$1\": $2}" \
            "http://127.0.0.1:$fabric_http_port/fault" ;;
    store) carry_out_on_store "$@" ;;
    apply) apply_change "$1" "${#applies[@]}" ;;
    *) echo "scenario: unknown action '$verb'" >&2; return 1 ;;
    esac
}

now_ms() { echo "$((${EPOCHREALTIME/./} / 1000))"; }

run_timeline() {
    local begin at delay words
    begin=$(now_ms)
    while read -r _ at words; do
        delay=$((begin + at - $(now_ms)))
        ((delay <= 0)) || sleep "$(printf '%d.%03d' $((delay / 1000)) $((delay % 1000)))"
        ((${#json[@]} > 0)) || echo "  at $at ms: $words" >&2
        # shellcheck disable=SC2086
        carry_out $words
    done < <(grep '^at ' <<<"$plan")
}

read_applies() {
    local i status start end
    for i in "${!applies[@]}"; do
        wait "${applies[$i]}"
        read -r status start end <"$WORK/apply-$i.done"
        ((status == 0)) || apply_failed=$((apply_failed + 1))
        apply_seconds=$(awk -v a="$apply_seconds" -v s="$start" -v e="$end" \
            'BEGIN { d = e - s; print (d > a ? d : a) }')
    done
}

count_behind() {
    local processes=() name
    for name in "${!PROCESS_ID[@]}"; do
        [[ $name == balancer-* ]] && kill -0 "${PROCESS_ID[$name]}" 2>/dev/null &&
            processes+=(--process "127.0.0.1:${PROCESS_HTTP[$name]}")
    done
    "$DAISYTRAIL_BIN/daisytrail" --store "127.0.0.1:$store_port" --json \
        "${processes[@]}" status 2>/dev/null |
        grep -o '"behind":\[[^]]*\]' | grep -o '" *[^",]* (' | wc -l
}

read_setup
start_fleet || { echo "scenario: the fleet did not start" >&2
    tail -n 2 "$WORK"/*.log >&2; exit 2; }
watch_revisions &
watcher=$!
"$DAISYTRAIL_BIN/daisytrail-load" --json --seed "$seed" \
    --seconds $(((length_ms + 999) / 1000)) "${load_options[@]}" \
    "${ledgers[@]}" >"$WORK/report.json" 2>"$WORK/load.log" &
load=$!
run_timeline
wait "$load"
read_applies
kill "$watcher" 2>/dev/null
wait "$watcher" 2>/dev/null
[[ ! -e $WORK/reverted ]] || reverted=$(wc -l <"$WORK/reverted")
behind=$(count_behind)

status=0
"$scenario" judge "${soak[@]}" --seed "$seed" "${files[@]}" "${json[@]}" \
    --report "$WORK/report.json" --figure "behind=$behind" \
    --figure "reverted=$reverted" --figure "apply-failed=$apply_failed" \
    --figure "apply-seconds=$apply_seconds" || status=$?
if ((status != 0)); then
    echo "repeat by: ./run scenario ${soak[*]:+${soak[*]} }${files[*]} --seed $seed" >&2
fi
exit "$status"
