#!/usr/bin/env bash
# A fleet of the platform's programs that splits while the store is away: some
# balancers are replaced, the new ones know only each other, and no settings
# ever change. The parts find each other once the store is back.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-28000}
# shellcheck source=../support/topology.sh
source test/support/topology.sh
# shellcheck source=../support/platform_fleet.sh
source test/support/platform_fleet.sh
trap 'stop_all; [[ -n ${KEEP:-} ]] && cp -r "$WORK" "$KEEP"; rm -rf "$WORK"' EXIT

# The parts meet this long after the store's return: a balancer waits for up to
# 2 s before it calls again, the contacts are read every 5 s, and a contact
# takes up to 3 s.
met_ms=10000

# start_fleet: three balancers and three agents, all of which know balancer 1.
start_fleet() {
    local i
    stop_all
    rm -f "$WORK"/*.log
    unset SEEDS
    start_platform_store 5
    put_config 11
    for i in 1 2 3; do start_platform_balancer "$i"; done
    for i in 1 2 3; do start_platform_agent "$i"; done
    all_list_members 5000 "balancer-1 balancer-2 balancer-3" \
        agent-{1,2,3} balancer-{1,2,3}
}

# replace_balancers NAMES: two new ones, which know only each other.
replace_balancers() {
    local name
    for name in "$@"; do
        stop_process "$name" KILL
        wait_process "$name"
    done
    SEEDS="$(balancer_seed 4), $(balancer_seed 5)"
    start_platform_balancer 4
    start_platform_balancer 5
}

# What the store does while the fleet splits, and after it.
for faults in silent:serve busy:serve reset:serve many:slow; do
    during=${faults%:*}
    check "a fleet starts" start_fleet
    sleep 2
    store_fault "{\"mode\": \"$during\"}"
    sleep 0.5
    replace_balancers balancer-1
    sleep 5
    if [[ ${faults#*:} == slow ]]; then
        store_fault '{"mode": "serve", "slow_ms": 400}'
    else
        store_fault '{"mode": "serve"}'
    fi
    check "the parts of a fleet that split while the store was $during meet \
(then ${faults#*:})" \
        all_list_members "$met_ms" \
        "balancer-2 balancer-3 balancer-4 balancer-5" \
        agent-{1,2,3} balancer-{2,3,4,5}
    # An agent that knows the new part only.
    start_platform_agent 4
    check "a new target is known in both parts" all_list_members 3000 \
        "balancer-2 balancer-3 balancer-4 balancer-5" agent-4
done

((failed == 0))
