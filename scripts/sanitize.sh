#!/usr/bin/env bash
# Builds and runs the unit tests with the address and undefined-behaviour sanitizers, and the threaded ones with the
# thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
run() {
    local name=$1 sanitizers=$2
    shift 2
    cmake -B "build-$name" -G Ninja -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS="-O1 -g1" \
        -DCELERYSWITCH_SANITIZE="$sanitizers" > /dev/null
    cmake --build "build-$name" --target celeryswitch-unittests
    "./build-$name/celeryswitch-unittests" "$@"
}
run asan address,undefined
run tsan thread '[threads]'
