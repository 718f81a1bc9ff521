# Runs the platform's programs on loopback against a stand-in of its metadata
# store; sourced after topology.sh. Each machine has a way of its own to the
# store, so that a fault can hit some machines only.

command_port=$((PORT_BASE + 3))

# Port of machine $1's way to the store, from 1.
store_way() { echo $((PORT_BASE + 300 + $1)); }

# start_platform_store MACHINES
start_platform_store() {
    local ways=() i
    for ((i = 1; i <= $1; ++i)); do
        ways+=(--listen "127.0.0.1:$(store_way "$i")")
    done
    launch store stand-in-platform-store "${ways[@]}" \
        --control "127.0.0.1:$command_port"
    wait_for_port "$command_port"
}

# Control address of balancer $1, as a string of JSON.
balancer_seed() { echo "\"127.0.0.1:$((PORT_BASE + 401 + 5 * $1))\""; }

# write_platform_balancer NUMBER: its settings, with the seeds in SEEDS.
write_platform_balancer() {
    local i=$1 port=$((PORT_BASE + 400 + 5 * $1))
    cat >"$WORK/balancer-$i.json" <<JSON
{
    "name": "balancer-$i", "failure_domain": "lafrenz",
    "data": "127.0.0.1:$port", "control": "127.0.0.1:$((port + 1))",
    "http": "127.0.0.1:$((port + 2))", "relay": "127.0.0.1:$((port + 3))",
    "stores": ["127.0.0.1:$(store_way "$i")"],
    "store_watchers": ${STORE_WATCHERS:-32}, "apply_within_ms": 3000,
    "seeds": [${SEEDS-$(balancer_seed 1)}],
    "keys": ["$KEY"]
}
JSON
}

# start_platform_balancer NUMBER, from 1
start_platform_balancer() {
    local i=$1 port=$((PORT_BASE + 400 + 5 * $1))
    write_platform_balancer "$i"
    launch "balancer-$i" daisytrail-platform-balancer \
        --settings "$WORK/balancer-$i.json"
    PROCESS_HTTP[balancer-$i]=$((port + 2))
    wait_for_port $((port + 2))
}

# write_platform_agent NUMBER: its settings, with the seeds in SEEDS.
write_platform_agent() {
    local i=$1 port=$((PORT_BASE + 500 + 5 * $1))
    cat >"$WORK/agent-$i.json" <<JSON
{
    "name": "agent-$i", "failure_domain": "lafrenz",
    "organisation": "site", "service": "till-$((i % 2))",
    "tunnel": "127.0.0.1:$port", "control": "127.0.0.1:$((port + 1))",
    "http": "127.0.0.1:$((port + 2))", "outbound": "127.0.0.1:$((port + 3))",
    "backend": "127.0.0.1:$((port + 4))",
    "seeds": [${SEEDS-$(balancer_seed 1)}],
    "keys": ["$KEY"]
}
JSON
}

# start_platform_agent NUMBER, from 1
start_platform_agent() {
    local i=$1 port=$((PORT_BASE + 500 + 5 * $1))
    write_platform_agent "$i"
    launch "agent-$i" daisytrail-platform-agent \
        --settings "$WORK/agent-$i.json"
    PROCESS_HTTP[agent-$i]=$((port + 2))
    wait_for_port $((port + 2))
}

# lists_members BALANCER NAME...: it lists each of these members as living.
lists_members() {
    local page name
    page=$(curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[$1]}/members" |
        sed 's/},{/}\n{/g' | grep -E '"state":"(ready|draining)"')
    shift
    for name in "$@"; do
        grep -q "\"name\":\"$name\"" <<<"$page" || return 1
    done
}

# all_list_members MILLISECONDS "BALANCER..." NAME...: each of the balancers
# lists each of the members within this time.
all_list_members() {
    local deadline=$(($(date +%s%3N) + $1)) balancer balancers=$2
    shift 2
    for balancer in $balancers; do
        until lists_members "$balancer" "$@"; do
            if (($(date +%s%3N) > deadline)); then
                echo "  $balancer doesn't list all of $*"
                return 1
            fi
            sleep 0.1
        done
    done
}

# store_command PATH BODY
store_command() {
    curl -s -m 10 -f -o /dev/null --data-binary @- \
        "http://127.0.0.1:$command_port$1" <<<"$2"
}

# store_fault BODY
store_fault() { store_command /fault "$1"; }

# Longest value that the platform's store takes, in bytes.
longest_value=1048576

# put_config VERSION [ROUTES [KEY [BYTES]]]: returns once the store has
# acknowledged it. The document is filled up with spaces to BYTES.
put_config() {
    local version=$1 count=${2:-2} key=${3:-op/config} routes="" i document
    for ((i = 1; i <= count; ++i)); do
        routes+="${routes:+,}{\"name\": \"route-$i\","
        routes+="\"host\": \"198.18.$((i / 200)).$((1 + i % 200))\","
        routes+="\"prefix\": \"/443/\", \"service\": \"till-$((version % 2))\"}"
    done
    document="{\"version\": $version, \"routes\": [$routes],
        \"services\": [{\"name\": \"till-0\"}, {\"name\": \"till-1\"}],
        \"limits\": {\"idleTimeoutMs\": 12000}}"
    printf -v document "%-${4:-0}s" "$document"
    store_command "/operator?key=$key" "$document"
}

# acknowledged_at VERSION: the store's time in milliseconds.
acknowledged_at() {
    grep '"event":"acknowledged"' "$WORK/store.log" |
        grep "\"version\":$1," | grep -o '"time_ms":[0-9]*' | cut -d: -f2
}

# adopted_at BALANCER VERSION: when it came into force, empty if it didn't.
adopted_at() {
    grep '"event":"template_adopted"' "$WORK/$1.log" |
        grep "\"change_id\":\"version $2\"" | tail -1 |
        grep -o '"time_ms":[0-9]*' | cut -d: -f2
}

# in_force_after VERSION FROM_MS LIMIT_MS BALANCER...: each of them must adopt
# the version within the limit after FROM_MS; prints the times.
in_force_after() {
    local version=$1 from=$2 limit=$3 name at status=0
    shift 3
    for name in "$@"; do
        until at=$(adopted_at "$name" "$version") && [[ -n $at ]]; do
            (($(date +%s%3N) > from + limit + 200)) && break
            sleep 0.02
        done
        if [[ -z $at ]]; then
            echo "  $name: version $version not in force after $limit ms"
            status=1
        else
            echo "  $name: version $version in force after $((at - from)) ms"
            ((at - from <= limit)) || status=1
        fi
    done
    return "$status"
}
