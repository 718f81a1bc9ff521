#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts under target/review, after the
# build of the deploy file: it uses that build's libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Iinclude -Isrc -Itest -I. -pthread
    -DBOOST_ASIO_NO_DEPRECATED)
# The project's own stand-in of the platform's store.
libraries=(target/libdaisytrail_store.a target/libdaisytrail_net.a target/libdaisytrail_rpc.a
    target/libdaisytrail_config.a target/libdaisytrail_core.a)
packages=$(pkg-config --libs libglog libxxhash libsodium capnp-rpc)
# shellcheck disable=SC2086
g++ "${flags[@]}" -o "$out/stand-in-platform-store" \
    test/stand_ins/platform_store.cpp test/support/platform_database.cpp \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    $packages -lboost_json
for case in review/stand_ins/*.cc; do
    name=$(basename "$case" .cc)
    [[ $name != fleet ]] || continue
    g++ "${flags[@]}" -o "$out/${name//_/-}" "$case" \
        review/stand_ins/fleet.cc
done
