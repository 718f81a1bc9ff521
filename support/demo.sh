#!/usr/bin/env bash
# Runs both deployments at their sizes on loopback and shows that callers notice
# neither a killed balancer nor a draining backend server. Exits 0 only if every
# answer was whole.
set -uo pipefail
cd "$(dirname "$0")/.."
PORT_BASE=${PORT_BASE:-18000}
# shellcheck source=../test/support/topology.sh
source test/support/topology.sh

keep=false
[[ ${1:-} != --keep ]] || keep=true
upload_bytes=$((20 * 1000 * 1000))
failures=0
rows=()

row() { rows+=("$(printf '%-34s %-9s %s' "$1" "$2" "$3")"); }

check() {
    local what=$1 outcome=$2 detail=$3
    if [[ $outcome == ok ]]; then
        row "$what" whole "$detail"
    else
        row "$what" BROKEN "$detail"
        failures=$((failures + 1))
    fi
}

all_targets_known() {
    local i
    for i in 1 2 3; do
        [[ $(curl -s -m 2 "http://127.0.0.1:${PROCESS_HTTP[balancer-$i]}/view" |
            grep -o '"state":"ready"' | wc -l) -ge 21 ]] || return 1
    done
}

cleanup() {
    stop_all
    rm -rf "$WORK"
}
trap cleanup EXIT

echo "starting the store, the fabric, 3 balancers and 21 targets ..."
start_store
start_fabric 3 --seed 7
for i in 1 2 3; do start_balancer "$i"; done
for template in hamutenya sencna-mreza; do
    apply_template "support/examples/$template.json" --who demo >/dev/null ||
        { echo "demo: the template $template was not accepted" >&2; exit 1; }
done
start_targets depot-orders 7
start_targets delivery-proofs 3
start_targets order-portal 7
start_targets sheet-print 4
wait_until 30 all_targets_known || {
    echo "demo: the balancers don't know all targets; logs:" >&2
    tail -n 3 "$WORK"/*.log >&2
    exit 1
}

orders="http://127.0.0.1:$(service_port depot-orders)"
proofs="http://127.0.0.1:$(service_port delivery-proofs)"
sheets="http://127.0.0.1:$(service_port sheet-print)"

echo "opening a feed and uploading a waybill photograph ..."
head -c "$upload_bytes" /dev/urandom >"$WORK/waybill"
curl -sN -m 60 -D "$WORK/feed.head" "$orders/feed?interval_ms=100&lines=100" \
    >"$WORK/feed" &
feed=$!
curl -s -m 60 --limit-rate 4M -T "$WORK/waybill" "$proofs/waybills/w1" \
    >"$WORK/upload" &
upload=$!
sleep 1

echo "killing balancer-2 with SIGKILL ..."
stop_process balancer-2 KILL
curl -s -m 10 -w '%{http_code}' -d '{"order":"demo-1"}' \
    "$orders/orders" >"$WORK/order"
curl -s -m 10 -D "$WORK/sheet.head" "$sheets/sheets/net-7?bytes=200000" \
    >"$WORK/sheet"

target=$(tr -d '\r' <"$WORK/feed.head" | awk '/^X-Target:/ { print $2 }')
echo "draining backend server ${target:-unknown}, which serves the feed ..."
[[ -z $target ]] || stop_process "backend-$target" TERM
sleep 3
curl -s -m 10 -w '%{http_code}' -d '{"order":"demo-2"}' \
    "$orders/orders" >"$WORK/order-2"

wait "$feed" && [[ $(wc -l <"$WORK/feed") -eq 100 ]] &&
    [[ $(tail -n 1 "$WORK/feed") == "100 depot-orders" ]] &&
    check "standing feed, 100 lines" ok "through the kill and the drain" ||
    check "standing feed, 100 lines" no "$(wc -l <"$WORK/feed") lines"
wait "$upload" && grep -q "\"bytes\":$upload_bytes" "$WORK/upload" &&
    check "20 MB waybill photograph" ok "$(cat "$WORK/upload")" ||
    check "20 MB waybill photograph" no "$(cat "$WORK/upload")"
for order in order order-2; do
    grep -q '201$' "$WORK/$order" &&
        check "order ($order)" ok "$(cat "$WORK/$order")" ||
        check "order ($order)" no "$(cat "$WORK/$order")"
done
[[ $(wc -c <"$WORK/sheet") -eq 200000 ]] &&
    check "cutting sheet, 200 kB" ok "$(head -c 40 "$WORK/sheet" | head -1)" ||
    check "cutting sheet, 200 kB" no "$(wc -c <"$WORK/sheet") bytes"
started=$(cat "$WORK"/ledger-depot-orders-* | grep -c '^S demo-')
[[ $started -eq 2 ]] && check "orders run once" ok "2 started" ||
    check "orders run once" no "$started started"

printf '\n%-34s %-9s %s\n' "what the callers asked for" answer detail
printf '%s\n' "${rows[@]}"
if $keep; then
    cat <<TEXT

Left running; press Ctrl-C to stop. Try in another terminal:
  curl -N $orders/feed
  curl -d '{"order":"42"}' $orders/orders
  curl -T FILE $proofs/waybills/42
  curl $sheets/sheets/42
  $DAISYTRAIL_BIN/daisytrail --store 127.0.0.1:$store_port show hamutenya
  curl http://127.0.0.1:${PROCESS_HTTP[balancer-1]}/view
TEXT
    trap 'exit 0' INT TERM
    while true; do sleep 1; done
fi
exit $((failures > 0))
