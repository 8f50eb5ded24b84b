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

folder=$(mktemp -d "${TMPDIR:-/tmp}/celeryswitch-demo.XXXXXX")
processes=()
secret=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')

stop_all() {
    local status=$?
    trap - EXIT INT TERM
    # The reverse order of the start: entries and sidecars stop gracefully while the state replicas still answer.
    for ((index = ${#processes[@]} - 1; index >= 0; index--)); do
        kill "${processes[index]}" 2> /dev/null || continue
        for _ in $(seq 100); do
            kill -0 "${processes[index]}" 2> /dev/null || break
            sleep 0.1
        done
        kill -9 "${processes[index]}" 2> /dev/null || true
        wait "${processes[index]}" 2> /dev/null || true
    done
    if [ "$status" -eq 0 ]; then
        rm -rf "$folder"
    else
        echo "demo: stopped with status $status; settings and logs are in $folder" >&2
    fi
    exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Starts a process in the background and waits for its line "ready ..." or "listening ..."; leaves the line in $ready.
start() {
    local name=$1
    shift
    "$@" > "$folder/$name.out" 2> "$folder/$name.log" &
    processes+=($!)
    for _ in $(seq 200); do
        if ready=$(grep -m 1 -E '^(ready|listening)' "$folder/$name.out"); then
            return 0
        fi
        kill -0 "${processes[-1]}" 2> /dev/null || break
        sleep 0.05
    done
    echo "demo: $name did not become ready:" >&2
    tail -5 "$folder/$name.log" >&2
    return 1
}

# Value of a field of the line in $ready.
field() { sed -n "s/.* $1=\([^ ]*\).*/\1/p" <<< "$ready "; }

# A TCP port of 127.0.0.1 that nothing listens on.
free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 12000))
        grep -qi ":$(printf '%04X' "$port") " /proc/net/tcp /proc/net/tcp6 2> /dev/null || break
    done
    echo "$port"
}

common() { printf 'dataCentre = "%s"\nrack = "%s"\n' "$1" "$2"; }
keys() { printf '[keys]\n1 = "%s"\n' "$secret"; }

data_centres=(recife fortaleza salvador)
state_list=""
replicas="[replicas]"
for index in 1 2 3; do
    port[index]=$(free_port)
    state_list+="\"127.0.0.1:${port[index]}\", "
    replicas+=$'\n'"state-$index = \"127.0.0.1:${port[index]}\""
done

for index in 1 2 3; do
    {
        printf 'name = "state-%s"\n' "$index"
        common "${data_centres[index - 1]}" "rack-$index"
        printf 'peerAddress = "127.0.0.1:%s"\ndataFolder = "%s/state-%s"\n' "${port[index]}" "$folder" "$index"
        keys
        printf '%s\n' "$replicas"
    } > "$folder/state-$index.toml"
    start "state-$index" "$program" state --settings "$folder/state-$index.toml"
done

entries=""
for index in 1 2; do
    {
        printf 'instanceId = "entry-%s"\n' "$index"
        common "${data_centres[index - 1]}" "rack-$index"
        printf 'httpAddress = "127.0.0.1:0"\npeerAddress = "127.0.0.1:0"\ndatagramAddress = "127.0.0.1:0"\n'
        printf 'stateAddresses = [%s]\n' "$state_list"
        keys
    } > "$folder/entry-$index.toml"
    start "entry-$index" "$program" entry --settings "$folder/entry-$index.toml"
    entries+="${entries:+,}$(field http)"
done

journals=""
for index in 1 2 3 4; do
    start "endpoint-$index" "$standins" fake-endpoint --journal "$folder/endpoint-$index.journal"
    endpoint=${ready##* }
    journals+="${journals:+,}$folder/endpoint-$index.journal"
    {
        printf 'instanceId = "sidecar-%s"\n' "$index"
        common "${data_centres[(index - 1) % 3]}" "rack-$index"
        printf 'service = "ordering"\nslots = 8\nendpointAddress = "%s"\n' "$endpoint"
        printf 'peerAddress = "127.0.0.1:0"\ndatagramAddress = "127.0.0.1:0"\nstateAddresses = [%s]\n' "$state_list"
        keys
    } > "$folder/sidecar-$index.toml"
    start "sidecar-$index" "$program" sidecar --settings "$folder/sidecar-$index.toml"
done

{
    printf 'author = "demo"\nstateAddresses = [%s]\nentryAddresses = ["%s"]\n' "$state_list" "${entries//,/\", \"}"
    keys
} > "$folder/operator.toml"

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
members=0
for _ in $(seq 100); do
    members=$("$program" members --settings "$folder/operator.toml" | grep -c sidecar- || true)
    [ "$members" -eq 4 ] && break
    sleep 0.1
done
[ "$members" -eq 4 ] || { echo "demo: only $members of 4 sidecars are members" >&2; exit 1; }
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
