#!/usr/bin/env bash
# Starts a local fleet of separate processes on loopback, runs a workload through it and prints the final report. Stops
# everything that it started, also after Ctrl-C and failures.
# usage: demo.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}

./scripts/install-dependencies.sh
cmake -B build -G Ninja > /dev/null
cmake --build build --target celeryswitch celeryswitch-standins
program=$PWD/build/celeryswitch
standins=$PWD/build/celeryswitch-standins

. scripts/fleet.sh

start_states
start_entries
journals=""
for index in 1 2 3 4; do
    start "endpoint-$index" "$standins" fake-endpoint --journal "$folder/endpoint-$index.journal"
    journals+="${journals:+,}$folder/endpoint-$index.journal"
    start_sidecar "$index" "${ready##* }"
done
write_operator_settings

echo "demo: fleet of 3 state replicas, 2 entries, 4 sidecars and 4 endpoints; waiting until it knows itself"
for entry in ${entries//,/ }; do
    ready_now=no
    for _ in $(seq 200); do
        # The entry closes the connection after the answer, which ends the reading.
        answer=$(timeout 2 bash -c 'exec 3<> "/dev/tcp/${0%:*}/${0##*:}"
            printf "GET /readyz HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n" >&3; head -n 1 <&3' "$entry" || true)
        if [[ $answer == *" 200 "* ]]; then
            ready_now=yes
            break
        fi
        sleep 0.1
    done
    [ "$ready_now" = yes ] || { echo "demo: entry $entry did not become ready" >&2; exit 1; }
done
wait_for_sidecars 4
"$program" members --settings "$folder/operator.toml"

echo
echo "demo: load for $seconds s through both entries"
# In the background, because the shell runs traps only between foreground commands.
"$program" load workloads/association.toml --phase steady --seconds "$seconds" --slots 32 --entries "$entries" \
    --journals "$journals" &
processes+=($!)
wait "${processes[-1]}"

echo
echo "demo: final report"
# The entries send their sums about once a second; the report is final when two in a row are the same.
previous=""
for _ in $(seq 20); do
    current=$("$program" report --settings "$folder/operator.toml" --format csv)
    [ -n "$previous" ] && [ "$current" = "$previous" ] && break
    previous=$current
    sleep 1.5
done
"$program" report --settings "$folder/operator.toml"
"$program" audit verify --settings "$folder/operator.toml"
