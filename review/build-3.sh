#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start, into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -DBOOST_LOG_DYN_LINK -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ASIO_DISABLE_CONCEPTS)
libraries=(target/libceleryswitch-platform.a target/libceleryswitch-core.a
    -lboost_json -lboost_log -lboost_thread -lboost_filesystem -lcrypto -lxxhash -lpthread)
objects=()
pids=()
# The project's own stand-ins: the settings and processes of a fleet, and what is said on the wire.
for source in Soak/SoakFleet.cpp Soak/SoakWire.cpp; do
    object=$out/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
    objects+=("$object")
done
cases=()
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" -c "$source" -o "$out/case-$number.o" &
    pids+=($!)
    cases+=("$number")
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for number in "${cases[@]}"; do
    g++ "$out/case-$number.o" "${objects[@]}" "${libraries[@]}" -o "$out/case-$number"
done
echo "built: ${cases[*]}"
