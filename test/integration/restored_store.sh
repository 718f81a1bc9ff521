#!/usr/bin/env bash
# CONFIG after a restoration: the store comes back from a copy, gives out its
# revisions again, and balancers refuse every later change as older.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-24600}
# shellcheck source=../support/topology.sh
source test/support/topology.sh
# shellcheck source=../support/platform_fleet.sh
source test/support/platform_fleet.sh
trap 'stop_all; [[ -n ${KEEP:-} ]] && cp -r "$WORK" "$KEEP"; rm -rf "$WORK"' EXIT

# Bounds of the platform's settings: a change is in force this long after its
# acknowledgement, and what balancers keep at the store is back this long after
# its return.
apply_ms=3000
return_ms=2000

# stored PREFIX: the keys that the store holds.
stored() {
    curl -s -m 2 "http://127.0.0.1:$(store_way 1)/api/kv-range?prefix=$1" |
        grep -o '"key":"[^"]*"'
}

stored_within() {
    local prefix=$1 limit=$2 from
    from=$(date +%s%3N)
    until [[ -n $(stored "$prefix") ]]; do
        (($(date +%s%3N) > from + limit)) && return 1
        sleep 0.02
    done
    echo "  $prefix: back after $(($(date +%s%3N) - from)) ms"
}

# Versions that a balancer took, in their order, are never older than before.
never_went_back() {
    grep '"event":"template_adopted"' "$WORK/$1.log" |
        grep -o '"change_id":"version [0-9]*' | grep -o '[0-9]*$' | sort -nc
}

balancers=(balancer-1 balancer-2 balancer-3)
start_platform_store 3
for i in 1 2 3; do start_platform_balancer "$i"; done
put_config 11
check "the first configuration is in force" \
    in_force_after 11 "$(acknowledged_at 11)" "$apply_ms" "${balancers[@]}"
check "balancers have written their contacts" \
    stored_within daisytrail/contacts/ "$return_ms"
store_fault '{"save_copy": true}'
for i in 1 2 3 4 5 6 7 8; do put_config "$i" 1 op/draft; done
put_config 20
check "a change that will be lost is in force" \
    in_force_after 20 "$(acknowledged_at 20)" "$apply_ms" "${balancers[@]}"

# Away for two seconds; the operator writes its last change again.
sleep 1
store_fault '{"mode": "reset", "restore_copy": true}'
sleep 2
put_config 20
store_fault '{"mode": "serve"}'
check "contacts are back after a restoration" \
    stored_within daisytrail/contacts/ "$return_ms"
sleep 2
put_config 26
check "a change after a restoration is in force" \
    in_force_after 26 "$(acknowledged_at 26)" "$apply_ms" "${balancers[@]}"

# A balancer that stands still meanwhile: its watch's position is reached and
# passed by the revisions that are given out again.
stop_process balancer-2 STOP
store_fault '{"restore_copy": true}'
for i in 1 2 3 4 5 6 7 8; do put_config "$i" 1 op/draft; done
put_config 31
for i in 1 2 3 4 5 6 7 8; do put_config "$i" 1 op/draft; done
sleep 0.5
stop_process balancer-2 CONT
check "a change under a revision that is given out again is in force" \
    in_force_after 31 "$(date +%s%3N)" "$apply_ms" "${balancers[@]}"

# Two restorations in a row, while one machine is turned away.
store_fault "{\"ports\": [$(store_way 3)], \"mode\": \"busy\"}"
store_fault '{"restore_copy": true}'
sleep 0.3
store_fault '{"restore_copy": true}'
sleep 1
put_config 37
check "a change after two restorations is in force" \
    in_force_after 37 "$(acknowledged_at 37)" "$apply_ms" "${balancers[@]}"
store_fault '{"mode": "serve"}'
sleep 1
put_config 41
check "the next change is in force" \
    in_force_after 41 "$(acknowledged_at 41)" "$apply_ms" "${balancers[@]}"

for name in "${balancers[@]}"; do
    check "$name never took an older version" never_went_back "$name"
done
echo "$failed failures"
((failed == 0))
