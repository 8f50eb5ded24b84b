#!/usr/bin/env bash
# Runs the unit tests with the address and undefined-behaviour sanitizers, and the threaded ones with the thread
# sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
run() {
    local name=$1 sanitizers=$2
    shift 2
    cmake -B "build-$name" -G Ninja -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS="-O1 -g1" \
        -DCELERYSWITCH_SANITIZE="$sanitizers" > /dev/null
    cmake --build "build-$name" --target celeryswitch-unittests
    ./scripts/run-unit-tests.sh "build-$name" "$@"
}
# The 10,000 schedules of the at-most-once explorer run in the plain build; the sanitizers slow them down tenfold.
CELERYSWITCH_SCHEDULES=1000 run asan address,undefined '~[Experiment]'
run tsan thread '[threads]'
