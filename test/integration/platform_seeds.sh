#!/usr/bin/env bash
# The platform's programs while the balancers that they knew are replaced at
# other addresses, and their settings files change, with and without a signal.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-27000}
# shellcheck source=../support/topology.sh
source test/support/topology.sh
# shellcheck source=../support/platform_fleet.sh
source test/support/platform_fleet.sh
trap 'stop_all; [[ -n ${KEEP:-} ]] && cp -r "$WORK" "$KEEP"; rm -rf "$WORK"' EXIT

# Bounds of the platform's settings: seeds may lag by this long, and requests
# are served again this long after all machines are back.
seed_lag_s=3
recovery_ms=12000

# end_processes NAME...: they end without a trace.
end_processes() {
    local name
    for name in "$@"; do
        stop_process "$name" KILL
        wait_process "$name"
    done
}

start_platform_store 9
put_config 11
for i in 1 2 3; do start_platform_balancer "$i"; done
for i in 1 2 3; do start_platform_agent "$i"; done
check "the agents of the first fleet are known" \
    all_list_members 5000 "balancer-1 balancer-2 balancer-3" \
    agent-1 agent-2 agent-3

# Regression: RECOVER (issue 44). All machines were replaced at other addresses
# while the seeds lagged. The agents never read their seeds again.
end_processes balancer-{1,2,3} agent-{1,2,3}
for i in 4 5 6; do start_platform_balancer "$i"; done
for i in 4 5 6; do start_platform_agent "$i"; done
sleep "$seed_lag_s"
SEEDS="$(balancer_seed 4), $(balancer_seed 5)"
for i in 4 5 6; do
    write_platform_balancer "$i"
    stop_process "balancer-$i" HUP
    write_platform_agent "$i"
    stop_process "agent-$i" HUP
done
check "the agents find the new balancers after all machines were replaced" \
    all_list_members $((recovery_ms - 1000 * seed_lag_s)) \
    "balancer-4 balancer-5 balancer-6" agent-4 agent-5 agent-6

# The settings change without a signal, and are half written for a while.
end_processes balancer-{4,5,6}
for i in 7 8 9; do start_platform_balancer "$i"; done
for i in 4 5 6; do printf '{"name": "agent-%s", "sea' "$i" >"$WORK/agent-$i.json"; done
sleep 1.5
SEEDS="$(balancer_seed 7), $(balancer_seed 8)"
for i in 4 5 6; do write_platform_agent "$i"; done
check "the agents find the new balancers by settings that changed silently" \
    all_list_members "$recovery_ms" "balancer-7 balancer-8 balancer-9" \
    agent-4 agent-5 agent-6

# Regression: Fault (issue 44). An agent that started while no balancer ran was
# given no seed, refused its settings and ended.
end_processes balancer-{7,8,9}
SEEDS=""
start_platform_agent 7
sleep 1
check "an agent that has no seed runs" kill -0 "${PROCESS_ID[agent-7]}"
SEEDS="$(balancer_seed 7)"
start_platform_balancer 7
write_platform_agent 7
check "an agent that had no seed is found once it has one" \
    all_list_members 5000 balancer-7 agent-7

# A signal that comes before the settings are read: they are a pipe that nobody
# writes.
for program in daisytrail-platform-agent daisytrail-platform-balancer \
    daisytrail-agent daisytrail-balancer; do
    mkfifo "$WORK/$program.pipe"
    launch "$program" "$program" --settings "$WORK/$program.pipe"
    sleep 0.5
    stop_process "$program" HUP
    sleep 0.2
    check "$program lives on after a SIGHUP that comes early" \
        kill -0 "${PROCESS_ID[$program]}"
done

((failed == 0))
