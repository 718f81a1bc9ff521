#!/usr/bin/env bash
# A change that the platform's store has acknowledged is in force within the
# bound, with real processes and real connections that fail in between.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-24000}
# shellcheck source=../support/topology.sh
source test/support/topology.sh
# shellcheck source=../support/platform_fleet.sh
source test/support/platform_fleet.sh
trap 'stop_all; [[ -n ${KEEP:-} ]] && cp -r "$WORK" "$KEEP"; rm -rf "$WORK"' EXIT

# Bounds of the platform's settings: a change is in force this long after its
# acknowledgement, and this long after the end of a fault.
apply_ms=3000
calm_ms=4000

now_ms() { date +%s%3N; }

balancers=(balancer-1 balancer-2 balancer-3)

# Kills all balancers, starts them again without their logs and sets
# restarted_at.
restart_all_balancers() {
    local name i
    for name in "${balancers[@]}"; do
        stop_process "$name" KILL
        wait_process "$name"
        rm -f "$WORK/$name.log"
    done
    restarted_at=$(now_ms)
    for i in 1 2 3; do start_platform_balancer "$i"; done
}

start_platform_store 3
for i in 1 2 3; do start_platform_balancer "$i"; done

put_config 11
check "the first configuration is in force" \
    in_force_after 11 "$(acknowledged_at 11)" "$apply_ms" "${balancers[@]}"
sleep 1
put_config 14
check "a change on a calm day is in force" \
    in_force_after 14 "$(acknowledged_at 14)" "$apply_ms" "${balancers[@]}"

# Regression: CONFIG, silent connections to the store (issue 16). Watches that
# wait are never answered; new connections are.
sleep 1
store_fault '{"silence_connections": true}'
sleep 1
put_config 20
check "a change is in force while open connections to the store are silent" \
    in_force_after 20 "$(acknowledged_at 20)" "$apply_ms" "${balancers[@]}"
# At other moments of a watch, and again and again.
for version in 21 22 25; do
    sleep 4.3
    store_fault '{"silence_connections": true}'
    put_config "$version"
    check "a change is in force when connections fall silent again" \
        in_force_after "$version" "$(acknowledged_at "$version")" \
        "$apply_ms" "${balancers[@]}"
done

# Each way in which the store can fail for all machines while the operator's
# change is acknowledged.
version=30
for mode in silent busy many reset; do
    sleep 2
    store_fault "{\"mode\": \"$mode\"}"
    sleep 3
    put_config "$version"
    sleep 1
    store_fault '{"mode": "serve"}'
    check "a change is in force after the store was $mode" \
        in_force_after "$version" "$(now_ms)" "$calm_ms" "${balancers[@]}"
    version=$((version + 7))
done

# The store refuses one machine, which hears of the change from the others.
sleep 4
store_fault "{\"ports\": [$(store_way 2)], \"mode\": \"silent\"}"
sleep 1
put_config "$version"
check "a machine that the store doesn't answer hears of a change from others" \
    in_force_after "$version" "$(acknowledged_at "$version")" "$apply_ms" \
    "${balancers[@]}"
store_fault '{"mode": "serve"}'

# Another key whose name begins like the configuration's is none.
sleep 2
put_config 900 2 op/config-draft
version=$((version + 7))
put_config "$version"
check "a change is in force after a write beside the configuration's key" \
    in_force_after "$version" "$(acknowledged_at "$version")" "$apply_ms" \
    "${balancers[@]}"
check "what was written beside it is in force nowhere" \
    test -z "$(adopted_at balancer-1 900)$(adopted_at balancer-2 900)"

# Most balancers of a large fleet hear of a change from others, whose budget
# carries a small template in time, and a large one not.
stop_all
for name in "${balancers[@]}"; do rm -f "$WORK/$name.log"; done
STORE_WATCHERS=1
start_platform_store 3
for i in 1 2 3; do start_platform_balancer "$i"; done
put_config 101 10
check "a small configuration reaches balancers that don't watch" \
    in_force_after 101 "$(acknowledged_at 101)" "$apply_ms" "${balancers[@]}"
sleep 6
put_config 103 2000
check "a large configuration reaches balancers that don't watch" \
    in_force_after 103 "$(acknowledged_at 103)" "$apply_ms" "${balancers[@]}"

# Regression: CONFIG, a document as long as the store takes (issue 37). It was in
# force nowhere, and a balancer that started then had no template at all.
stop_all
for name in "${balancers[@]}"; do rm -f "$WORK/$name.log"; done
STORE_WATCHERS=32
start_platform_store 3
for i in 1 2 3; do start_platform_balancer "$i"; done
put_config 201 2
sleep 1
put_config 203 7000 op/config "$longest_value"
check "the longest configuration that the store takes is in force" \
    in_force_after 203 "$(acknowledged_at 203)" "$apply_ms" "${balancers[@]}"
put_config 205 7000 op/config "$longest_value"
check "a single change of it is in force" \
    in_force_after 205 "$(acknowledged_at 205)" "$apply_ms" "${balancers[@]}"
restart_all_balancers
check "the longest configuration is in force after all balancers were killed" \
    in_force_after 205 "$restarted_at" "$calm_ms" "${balancers[@]}"

# The store refuses one machine, which gets the longest configuration, and then
# a single change of it, from the others within their byte budget.
put_config 206 2
check "a short configuration follows the longest one" \
    in_force_after 206 "$(acknowledged_at 206)" "$apply_ms" "${balancers[@]}"
sleep 4
store_fault "{\"ports\": [$(store_way 2)], \"mode\": \"busy\"}"
sleep 1
put_config 2061 7000 op/config "$longest_value"
check "a refused machine gets the longest configuration from others" \
    in_force_after 2061 "$(acknowledged_at 2061)" "$apply_ms" "${balancers[@]}"
put_config 2063 7000 op/config "$longest_value"
check "a refused machine gets a single change of it from others" \
    in_force_after 2063 "$(acknowledged_at 2063)" "$apply_ms" "${balancers[@]}"
store_fault '{"mode": "serve"}'

# What can't be used at all is told of, and a balancer that starts then takes the
# last good configuration from the others.
put_config 2071 2
check "a short configuration follows the longest one" \
    in_force_after 2071 "$(acknowledged_at 2071)" "$apply_ms" "${balancers[@]}"
store_command /operator '{"version": 2091, "services": [], "routes": 0}'
sleep 2
stop_process balancer-3 KILL
wait_process balancer-3
rm -f "$WORK/balancer-3.log"
restarted_at=$(now_ms)
start_platform_balancer 3
check "a balancer that starts beside a refused version has the last good one" \
    in_force_after 2071 "$restarted_at" "$calm_ms" balancer-3
for name in "${balancers[@]}"; do
    check "$name tells that a version is refused" \
        test "$(metric "$name" daisytrail_templates_refused)" = 1
    check "$name tells of it once" \
        test "$(grep -c '"event":"refused_invalid"' "$WORK/$name.log")" = 1
done

# After a loss of power beside such a version no process holds the last good one:
# balancers that start then had no configuration at all.
restart_all_balancers
check "the last good configuration is in force after all balancers were killed" \
    in_force_after 2071 "$restarted_at" "$calm_ms" "${balancers[@]}"
put_config 2111 2
check "a good version ends the refusal" \
    in_force_after 2111 "$(acknowledged_at 2111)" "$apply_ms" "${balancers[@]}"
check "no version is refused any more" \
    test "$(metric balancer-1 daisytrail_templates_refused)" = 0

for name in "${balancers[@]}"; do
    check "$name never took an older version" \
        test "$(metric "$name" \
            'daisytrail_control_reports_total{kind="refused_older"}')" = 0
done
echo "$failed failures"
((failed == 0))
