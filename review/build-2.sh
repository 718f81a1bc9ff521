#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 under target/review-2, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_NO_DEPRECATED -Iinclude -Isrc -I. -Itest)
libraries=(target/libdaisytrail_store.a target/libdaisytrail_platform.a
    target/libdaisytrail_forward.a target/libdaisytrail_net.a
    target/libdaisytrail_config.a target/libdaisytrail_rpc.a
    target/libdaisytrail_core.a)
for library in "${libraries[@]}"; do
    [[ -f $library ]] || { echo "missing: $library" >&2; exit 2; }
done
system=(-lboost_json -lboost_container -lxxhash -lzstd -lcapnp-rpc -lcapnp
    -lkj-async -lkj -lsodium -lglog -lpthread)
compile() {
    local name=$1
    shift
    "${CXX:-c++}" "${flags[@]}" "$@" "${libraries[@]}" "${system[@]}" -o "$out/$name"
}
compile stand-in-platform-store test/stand_ins/platform_store.cpp \
    test/support/platform_database.cpp &
compile deployment review/stand_ins_2/deployment.cc \
    test/support/child_process.cpp test/support/trial_timeline.cpp &
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"
