#!/usr/bin/env bash
# Templates and membership with real processes while the store is down, slow or
# back at an older state, and while processes stand still, die or start late.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-23000}
# shellcheck source=../support/topology.sh
source test/support/topology.sh
trap 'stop_all; rm -rf "$WORK"' EXIT

page() { curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[$1]}$2"; }

fault() {
    curl -s -m 2 -o /dev/null -d "$1" "http://127.0.0.1:$store_port/fault"
}

store_revision() {
    curl -s -m 2 "http://127.0.0.1:$store_port/stats" |
        grep -o '"revision":[0-9]*' | cut -d: -f2
}

# change_of PROCESS: the change id in force there.
change_of() {
    page "$1" /adopted | grep -o '"in_force":\[[^]]*' |
        grep -o '"change_id":"[^"]*"' | cut -d'"' -f4
}

# in_force CHANGE PROCESS...: all of them have it.
in_force() {
    local change=$1 name
    shift
    for name in "$@"; do
        [[ $(change_of "$name") == "$change" ]] || return 1
    done
}

# state_of BALANCER MEMBER
state_of() {
    page "$1" /members | grep -o "{\"name\":\"$2\"[^}]*" |
        grep -o '"state":"[a-z]*"' | cut -d'"' -f4
}

# seen_as MEMBER STATE BALANCER...
seen_as() {
    local member=$1 state=$2 name
    shift 2
    for name in "$@"; do
        [[ $(state_of "$name" "$member") == "$state" ]] || return 1
    done
}

# within MILLISECONDS COMMAND...: it must hold by then; prints the time.
within() {
    local limit=$1 start now
    shift
    start=$(date +%s%3N)
    until "$@"; do
        now=$(date +%s%3N)
        if ((now - start > limit)); then
            echo "  not after $((now - start)) ms"
            return 1
        fi
        sleep 0.05
    done
    echo "  after $(($(date +%s%3N) - start)) ms"
}

# template DEADLINE: writes a template that differs by it.
template() {
    sed "s/\"deadline\": \"5s\"/\"deadline\": \"$1\"/" \
        test/integration/flows.json >"$WORK/template.json"
    echo "$WORK/template.json"
}

at_least_one_refused_older() {
    local name total=0
    for name in "$@"; do
        total=$((total + $(metric "$name" \
            'daisytrail_control_reports_total{kind="refused_older"}')))
    done
    ((total > 0))
}

incarnation_of() {
    page "$1" /members | grep -o "{\"name\":\"$2\"[^}]*" |
        grep -o '"incarnation":[0-9]*' | cut -d: -f2
}

start_store
for i in 1 2 3; do start_balancer "$i"; done
for i in 1 2 3; do start_target depot-orders "$i"; done
balancers=(balancer-1 balancer-2 balancer-3)
agents=(agent-depot-orders-1 agent-depot-orders-2 agent-depot-orders-3)
everyone=("${balancers[@]}" "${agents[@]}")

check "the first change is accepted" \
    apply_template "$(template 4s)" --change-id first
check "it is in force everywhere within 12 s" \
    within 12000 in_force first "${everyone[@]}"
for i in 1 2 3; do
    check "target $i is ready on every balancer" \
        within 15000 seen_as "depot-orders-$i" ready "${balancers[@]}"
done
older=$(store_revision)

# The store goes down, and its leases lapse, once one balancer has the change.
anyone_has() {
    local name
    for name in "${balancers[@]}"; do
        [[ $(change_of "$name") != "$1" ]] || return 0
    done
    return 1
}
apply_template "$(template 7s)" --base current --change-id spread
check "a balancer has the change" within 5000 anyone_has spread
fault '{"down":true,"lapse_leases":true}'
check "it is in force everywhere though the store went down" \
    within 12000 in_force spread "${everyone[@]}"
fault '{"down":false}'

# The store goes down at once, perhaps before any balancer could read: the
# change then waits in the store and is in force soon after its return.
apply_template "$(template 8s)" --base current --change-id unread
fault '{"down":true}'
sleep 1
fault '{"down":false}'
check "an unread change is in force within 12 s of the store's return" \
    within 12000 in_force unread "${everyone[@]}"
watching() {
    curl -s -m 2 "http://127.0.0.1:$store_port/stats" |
        grep -qE '"watches":[1-9]'
}
check "the watch is opened again" within 30000 watching

# A balancer sleeps through a change, and the store is gone when it wakes.
before=$(incarnation_of balancer-1 balancer-3)
stop_process balancer-3 STOP
check "the second change is accepted" \
    apply_template "$(template 6s)" --base current --change-id second
check "it is in force at those who are awake" \
    within 12000 in_force second balancer-1 balancer-2 "${agents[@]}"
check "a balancer that stands still is found dead within 5 s" \
    within 5000 seen_as balancer-3 dead balancer-1 balancer-2
fault '{"down":true}'
stop_process balancer-3 CONT
check "it learns the change from peers, with the store down" \
    within 12000 in_force second balancer-3
check "it comes back for all" \
    within 12000 seen_as balancer-3 ready "${balancers[@]}"
check "under a higher incarnation" \
    test "$(incarnation_of balancer-1 balancer-3)" -gt "$before"

# With the store still down: starts, drains and deaths go on.
start_balancer 4
start_target depot-orders 4
check "a balancer that starts now learns the change from peers" \
    within 12000 in_force second balancer-4
check "so does an agent" within 12000 in_force second agent-depot-orders-4
balancers+=(balancer-4)
check "the new target is ready everywhere" \
    within 12000 seen_as depot-orders-4 ready "${balancers[@]}"
stop_process agent-depot-orders-2 KILL
check "the death of a target is known everywhere within 5 s" \
    within 5000 seen_as depot-orders-2 dead "${balancers[@]}"

# no_new_work MEMBER BALANCER...
no_new_work() {
    local member=$1 name
    shift
    for name in "$@"; do
        [[ $(state_of "$name" "$member") =~ ^(draining|left)$ ]] || return 1
    done
}
stop_process agent-depot-orders-1 TERM
check "a draining target gets no new work after 2 s" \
    within 2000 no_new_work depot-orders-1 "${balancers[@]}"

# The store comes back with an older state.
fault "{\"down\":false,\"rollback_to\":$older}"
check "an older value is refused and reported" \
    within 45000 at_least_one_refused_older "${balancers[@]}"
check "nobody went back" in_force second "${balancers[@]}" \
    agent-depot-orders-3 agent-depot-orders-4

# Datagrams that aren't ours are dropped and counted.
control_port=$((PORT_BASE + 20 + 3 + 1))
head -c 200 /dev/zero >"/dev/udp/127.0.0.1/$control_port"
counted() {
    (($(metric balancer-1 \
        'daisytrail_control_datagrams_total{verdict="bad_code"}') > 0))
}
check "a datagram without our key is counted" within 2000 counted

if ((failed > 0)); then
    for name in "${balancers[@]}"; do
        echo "-- $name"
        page "$name" /adopted
        echo
        tail -5 "$WORK/$name.log"
    done
fi
((failed == 0))
