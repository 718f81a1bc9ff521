#!/usr/bin/env bash
# The operator's commands against the store stand-in: changes, conflicts, lost
# answers, outages, a killed command, and two operators at once.
set -uo pipefail
bin=${DAISYTRAIL_BIN:?the folder of the programs}
examples=$(dirname "$0")/../../support/examples
port=${DAISYTRAIL_PORT:-25000}
store=127.0.0.1:$port
work=$(mktemp -d)
export DAISYTRAIL_STORE=$store
failed=0

proxy_http=127.0.0.1:$((port + 1))
proxied=127.0.0.1:$((port + 2))

"$bin/stand-in-store" --listen "$store" >"$work/store.log" 2>&1 &
store_pid=$!
"$bin/stand-in-fault-proxy" --http "$proxy_http" --tcp "$proxied=$store" &
proxy_pid=$!
trap 'kill "$store_pid" "$proxy_pid" 2>/dev/null; wait "$store_pid" "$proxy_pid" 2>/dev/null; rm -rf "$work"' EXIT

# expect NAME EXIT_STATUS TEXT COMMAND...: runs the command, whose output must
# contain TEXT.
expect() {
    local name=$1 status=$2 text=$3 got=0
    shift 3
    "$@" >"$work/out" 2>&1 || got=$?
    if [[ $got -ne $status ]] || ! grep -qF -- "$text" "$work/out"; then
        echo "not ok: $name: exit status $got, expected $status and '$text' in:"
        sed 's/^/    /' "$work/out"
        failed=$((failed + 1))
        return
    fi
    echo "ok: $name"
}

fault() {
    curl -sf -X POST "http://$store/fault" -d "$1" >/dev/null
}

# Template of organisation $1 with VIP $2 and queue $3.
template() {
    cat <<TEXT
{"name": "$1", "services": [{"name": "s", "mode": "requests",
  "vips": ["$2"], "limits": {"queue": $3}}]}
TEXT
}

applied() {
    "$bin/daisytrail" --json show "$1" 2>/dev/null |
        grep -o '"number":[0-9]*' | cut -d: -f2
}

for _ in $(seq 100); do
    curl -s -o /dev/null "http://$store/stats" && break
    sleep 0.05
done

daisytrail=$bin/daisytrail
template a 203.0.113.1:80 1 >"$work/a1.json"
template a 203.0.113.1:80 2 >"$work/a2.json"
template a 203.0.113.1:80 3 >"$work/a3.json"
template b 203.0.113.1:80 1 >"$work/b.json"
template a 203.0.113.9:80 1 >"$work/moved.json"
echo '{"name": "a", "services": [{"name": "s"}]}' >"$work/bad.json"

expect "both examples are good" 0 "2 services" \
    "$daisytrail" check "$examples/hamutenya.json" "$examples/sencna-mreza.json"
expect "faults come all at once" 2 "no field 'mode'" \
    "$daisytrail" check "$work/bad.json"
expect "a bad template isn't sent" 2 "no field 'vips'" \
    "$daisytrail" apply "$work/bad.json"
expect "plan of a new template" 0 "to apply: daisytrail --store $store apply" \
    "$daisytrail" plan "$work/a1.json"
expect "the first apply" 0 "accepted: change 1" \
    "$daisytrail" apply "$work/a1.json" --change-id one --who amutenya
base=$("$daisytrail" --json show a 2>/dev/null | grep -o '"version":[0-9]*' | cut -d: -f2)
expect "the same change id again" 0 "accepted before: change 1" \
    "$daisytrail" apply "$work/a1.json" --change-id one
expect "a VIP of another organisation" 4 "belongs to organisation 'a'" \
    "$daisytrail" apply "$work/b.json"
expect "a change without its base" 4 "queue: 1 -> 2" \
    "$daisytrail" apply "$work/a2.json"
expect "a change that cuts off flows" 2 "--allow-breaking" \
    "$daisytrail" apply "$work/moved.json" --base current

fault '{"lose_next_answers": 1}'
expect "an answer lost after the write" 0 "accepted" \
    "$daisytrail" apply "$work/a2.json" --base "$base" --change-id two
expect "nothing was applied twice" 0 "2" applied a

# Two operators at once, from the same base.
base=$("$daisytrail" --json show a 2>/dev/null | grep -o '"version":[0-9]*' | cut -d: -f2)
fault '{"slow_ms": 200}'
"$daisytrail" apply "$work/a1.json" --base "$base" >"$work/left" 2>&1 &
left=$!
"$daisytrail" apply "$work/a3.json" --base "$base" >"$work/right" 2>&1 &
right=$!
wait "$left"; left_status=$?
wait "$right"; right_status=$?
fault '{"slow_ms": 0}'
expect "two operators at once: one accepted, one conflict" 0 "0 4" \
    bash -c "printf '%s\n' $left_status $right_status | sort -n | xargs"
expect "one change came of it" 0 "3" applied a

# A command killed at any moment: the change is there once or not at all, and
# the same change id settles which.
for delay in 0.00 0.02 0.05 0.10 0.15 0.20 0.30 0.50; do
    base=$("$daisytrail" --json show a 2>/dev/null | grep -o '"version":[0-9]*' | cut -d: -f2)
    before=$(applied a)
    fault '{"slow_ms": 40}'
    template a 203.0.113.1:80 "$((100 + before))" >"$work/killed.json"
    "$daisytrail" apply "$work/killed.json" --base "$base" \
        --change-id "killed-$delay" >/dev/null 2>&1 &
    victim=$!
    sleep "$delay"
    kill -9 "$victim" 2>/dev/null
    wait "$victim" 2>/dev/null
    fault '{"slow_ms": 0}'
    expect "killed after $delay s, then settled" 0 "accepted" \
        "$daisytrail" apply "$work/killed.json" --base "$base" \
        --change-id "killed-$delay"
    expect "killed after $delay s: applied once" 0 "$((before + 1))" applied a
done

fault '{"down": true}'
expect "the store is down: refused, and nothing was changed" 8 "refused" \
    "$daisytrail" --timeout 1 apply "$work/a1.json" --base "$base"
fault '{"down": false}'

# Answers stop coming back while requests still arrive: the outcome is unknown,
# nothing is claimed, and the command that is printed settles it.
link() {
    curl -sf -X POST "http://$proxy_http/fault" -d \
        "{\"link\": \"*\", \"direction\": \"$1\", \"set\": $2}" >/dev/null
}
base=$("$daisytrail" --json show a 2>/dev/null | grep -o '"version":[0-9]*' | cut -d: -f2)
before=$(applied a)
template a 203.0.113.1:80 77 >"$work/parted.json"
link back '{"delay_ms": 300}'
"$daisytrail" --timeout 3 --store "$proxied" apply "$work/parted.json" \
    --base "$base" --change-id parted >"$work/parted" 2>&1 &
victim=$!
# Reads take at least four answers of 300 ms; the swap's own comes after.
for _ in $(seq 200); do
    [[ $(applied a) == "$before" ]] || break
    sleep 0.01
done
link back '{"cut": true}'
wait "$victim"; status=$?
expect "answers cut off after the write: unknown" 0 "9" echo "$status"
expect "the settling command is printed" 0 "--change-id parted" cat "$work/parted"
link back '{"cut": false, "delay_ms": 0}'
expect "settled" 0 "accepted before" "$daisytrail" --store "$proxied" \
    apply "$work/parted.json" --base "$base" --change-id parted
expect "applied once" 0 "$((before + 1))" applied a

expect "history" 0 "amutenya" "$daisytrail" history a --before 1
expect "rollback is a new change" 0 "accepted: change" \
    "$daisytrail" rollback a --to 1 --who daughter
expect "the template is the old one" 0 '"queue": 1}' "$daisytrail" show a
expect "rollback to a change that isn't there" 5 "not_found" \
    "$daisytrail" rollback a --to 999
expect "an organisation that isn't there" 5 "not_found" "$daisytrail" show nobody
expect "a wrong command line" 2 "" "$daisytrail" apply

((failed == 0)) && echo "operators: all good"
exit $((failed > 0))
