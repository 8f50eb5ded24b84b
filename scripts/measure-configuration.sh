#!/usr/bin/env bash
# Measures how long a configuration change takes from the operator's command until it is in force at each sidecar, with
# a fleet of separate processes on loopback. Prints quantiles in milliseconds; target: p99 at most 1,000 ms.
# usage: measure-configuration.sh [SIDECARS] [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/.."
sidecars=${1:-200}
changes=${2:-10}
program=$PWD/build/celeryswitch
. scripts/fleet.sh

start_states
start_entries
start endpoint "$PWD/build/celeryswitch-standins" fake-endpoint
endpoint=${ready##* }
for index in $(seq "$sidecars"); do
    start_sidecar "$index" "$endpoint"
done
write_operator_settings
wait_for_sidecars "$sidecars"
sleep 3

for change in $(seq "$changes"); do
    date +%s%3N > "$folder/change-$change.began"
    "$program" config set shareWeight "$((change + 10))" --reason measurement --settings "$folder/operator.toml" > /dev/null
    sleep 2
done

for change in $(seq "$changes"); do
    began=$(cat "$folder/change-$change.began")
    for index in $(seq "$sidecars"); do
        time=$(grep -F "configuration in force" "$folder/sidecar-$index.log" | grep -F "version $change\"" \
            | head -n 1 | sed -n 's/^time=\([^ ]*\) .*/\1/p')
        if [ -n "$time" ]; then
            echo $(($(date -d "$time" +%s%3N) - began))
        else
            echo missed
        fi
    done
done > "$folder/delays"
missed=$(grep -c missed "$folder/delays" || true)
grep -v missed "$folder/delays" | sort -n | awk -v sidecars="$sidecars" -v changes="$changes" -v missed="$missed" '
    { delay[NR] = $1 }
    function quantile(part) { position = int(part * NR + 0.999); return delay[position < 1 ? 1 : position] }
    END {
        printf "%d changes at %d sidecars, %d of %d not seen within 2 s: p50 %d ms, p99 %d ms, longest %d ms\n",
            changes, sidecars, missed, changes * sidecars, quantile(0.5), quantile(0.99), delay[NR]
    }'
