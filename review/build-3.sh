#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3, from
# the libraries that the build of the deploy file leaves under target.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -DBOOST_ASIO_NO_DEPRECATED
    -Iinclude -Isrc -I. -Itest)
libraries=(-Ltarget -ldaisytrail_store -ldaisytrail_platform -ldaisytrail_forward
    -ldaisytrail_net -ldaisytrail_config -ldaisytrail_rpc -ldaisytrail_core)
read -ra packages <<<"$(pkg-config --cflags --libs capnp-rpc libglog libxxhash \
    libzstd libsodium)"

# The project's own stand-in of the platform's store.
g++ "${flags[@]}" test/stand_ins/platform_store.cpp \
    test/support/platform_database.cpp -o "$out/stand-in-platform-store" \
    "${libraries[@]}" "${packages[@]}" -lboost_json -lpthread &
store=$!

g++ "${flags[@]}" -c review/stand_ins_3/site.cc -o "$out/site.o"
for main in review/stand_ins_3/case_*.cc; do
    name=$(basename "$main" .cc)
    g++ "${flags[@]}" "$main" "$out/site.o" -o "$out/$name" -lpthread
done
wait "$store"
