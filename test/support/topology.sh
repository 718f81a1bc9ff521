# Starts the processes of a small fleet on loopback; sourced by the demo and by
# the tests with real processes. The sourcing script sets PORT_BASE and may set
# KEY. DAISYTRAIL_BIN names the folder of the programs.

: "${DAISYTRAIL_BIN:?}" "${PORT_BASE:?}"
KEY=${KEY:-000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f}
WORK=$(mktemp -d)
declare -A PROCESS_ID=() PROCESS_HTTP=()

store_port=$PORT_BASE
fabric_return_port=$((PORT_BASE + 1))
fabric_http_port=$((PORT_BASE + 2))

# Loopback port where callers reach a service.
service_port() {
    case $1 in
    depot-orders) echo $((PORT_BASE + 10)) ;;
    delivery-proofs) echo $((PORT_BASE + 11)) ;;
    order-portal) echo $((PORT_BASE + 12)) ;;
    sheet-print) echo $((PORT_BASE + 13)) ;;
    *) echo "topology: unknown service '$1'" >&2; return 1 ;;
    esac
}

service_organisation() {
    case $1 in
    depot-orders | delivery-proofs) echo hamutenya ;;
    *) echo sencna-mreza ;;
    esac
}

# Failure domain of the service's target number $2, in turn.
target_domain() {
    local domains
    case $(service_organisation "$1") in
    hamutenya) domains=(north-ind lafrenz klein-windhoek) ;;
    *) domains=(lj-a lj-b kr-a nm-a) ;;
    esac
    echo "${domains[$2 % ${#domains[@]}]}"
}

# First of six ports of one target: tunnel, control, http, rpc, backend.
target_ports() {
    local offset
    case $1 in
    depot-orders) offset=0 ;;
    delivery-proofs) offset=20 ;;
    order-portal) offset=40 ;;
    *) offset=60 ;;
    esac
    echo $((PORT_BASE + 100 + (offset + $2) * 6))
}

# check NAME COMMAND...: the command must succeed; a failure is counted in
# `failed`.
failed=0
check() {
    local name=$1
    shift
    if "$@"; then
        echo "ok: $name"
    else
        echo "not ok: $name"
        failed=$((failed + 1))
    fi
}

# launch NAME PROGRAM ARGS...: starts a process and keeps its log.
launch() {
    local name=$1 program=$2
    shift 2
    "$DAISYTRAIL_BIN/$program" "$@" >>"$WORK/$name.log" 2>&1 &
    PROCESS_ID[$name]=$!
}

start_store() {
    launch store stand-in-store --listen "127.0.0.1:$store_port"
    wait_for_port "$store_port"
}

# start_fabric BALANCERS [OPTIONS...]
start_fabric() {
    local count=$1 options=() i
    shift
    for ((i = 1; i <= count; ++i)); do
        options+=(--balancer "127.0.0.1:$((PORT_BASE + 20 + 3 * i))")
    done
    launch fabric stand-in-fabric \
        --from-agents "127.0.0.1:$fabric_return_port" \
        --http "127.0.0.1:$fabric_http_port" \
        --listen "127.0.0.1:$(service_port depot-orders)=203.0.113.10:80" \
        --listen "127.0.0.1:$(service_port delivery-proofs)=203.0.113.11:80" \
        --listen "127.0.0.1:$(service_port order-portal)=203.0.113.20:80" \
        --listen "127.0.0.1:$(service_port sheet-print)=203.0.113.21:80" \
        "${options[@]}" "$@"
    wait_for_port "$fabric_http_port"
}

# start_balancer NUMBER, from 1
start_balancer() {
    local i=$1 port=$((PORT_BASE + 20 + 3 * $1))
    cat >"$WORK/balancer-$i.json" <<JSON
{
    "name": "balancer-$i", "failure_domain": "lafrenz",
    "data": "127.0.0.1:$port", "control": "127.0.0.1:$((port + 1))",
    "http": "127.0.0.1:$((port + 2))",
    "stores": ["127.0.0.1:$store_port"],
    "seeds": ["127.0.0.1:$((PORT_BASE + 24))", "127.0.0.1:$((PORT_BASE + 27))"],
    "keys": ["$KEY"]
}
JSON
    launch "balancer-$i" daisytrail-balancer \
        --settings "$WORK/balancer-$i.json"
    PROCESS_HTTP[balancer-$i]=$((port + 2))
}

# start_target SERVICE NUMBER [BACKEND OPTIONS...]: an agent and its backend
# server.
start_target() {
    local service=$1 i=$2 port
    shift 2
    port=$(target_ports "$service" "$i")
    start_agent "$service" "$i"
    start_backend "$service" "$i" "$@"
}

start_agent() {
    local service=$1 i=$2 port
    port=$(target_ports "$service" "$i")
    cat >"$WORK/agent-$service-$i.json" <<JSON
{
    "name": "$service-$i", "organisation": "$(service_organisation "$service")",
    "service": "$service", "failure_domain": "$(target_domain "$service" "$i")",
    "tunnel": "127.0.0.1:$port", "control": "127.0.0.1:$((port + 1))",
    "http": "127.0.0.1:$((port + 2))", "rpc": "127.0.0.1:$((port + 3))",
    "fabric": ["127.0.0.1:$fabric_return_port"],
    "seeds": ["127.0.0.1:$((PORT_BASE + 24))", "127.0.0.1:$((PORT_BASE + 27))"],
    "keys": ["$KEY"]
}
JSON
    launch "agent-$service-$i" daisytrail-agent \
        --settings "$WORK/agent-$service-$i.json"
    PROCESS_HTTP[agent-$service-$i]=$((port + 2))
}

start_backend() {
    local service=$1 i=$2 port
    shift 2
    port=$(target_ports "$service" "$i")
    launch "backend-$service-$i" stand-in-backend --name "$service-$i" \
        --service "$service" --listen "127.0.0.1:$((port + 4))" \
        --agent "127.0.0.1:$((port + 2))" \
        --ledger "$WORK/ledger-$service-$i" "$@"
}

# start_targets SERVICE COUNT [BACKEND OPTIONS...]
start_targets() {
    local service=$1 count=$2 i
    shift 2
    for ((i = 1; i <= count; ++i)); do
        start_target "$service" "$i" "$@"
    done
}

apply_template() {
    "$DAISYTRAIL_BIN/daisytrail" --store "127.0.0.1:$store_port" \
        apply "$1" "${@:2}"
}

# Waits up to ten seconds for a listening TCP port.
wait_for_port() {
    local i
    for ((i = 0; i < 100; ++i)); do
        (: <"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
        sleep 0.1
    done
    echo "topology: nothing listens on port $1" >&2
    return 1
}

# wait_until SECONDS COMMAND...: until the command succeeds.
wait_until() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= deadline)); then
            echo "topology: timeout waiting for: $*" >&2
            return 1
        fi
        sleep 0.2
    done
}

# metric PROCESS NAME: the value of one metric, 0 if it isn't there.
metric() {
    curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[$1]}/metrics" |
        awk -v name="$2" '$1 == name { print $2; found = 1 }
            END { if (!found) print 0 }'
}

# stop_process NAME [SIGNAL]
stop_process() {
    local id=${PROCESS_ID[$1]:-}
    [[ -z $id ]] || kill "-${2:-TERM}" "$id" 2>/dev/null || true
}

wait_process() {
    local id=${PROCESS_ID[$1]:-}
    [[ -z $id ]] || wait "$id" 2>/dev/null || true
    unset "PROCESS_ID[$1]"
}

stop_all() {
    local name
    for name in "${!PROCESS_ID[@]}"; do
        stop_process "$name" KILL
    done
    wait 2>/dev/null || true
}
