#!/usr/bin/env bash
# Runs the tests of a build folder: unit tests, samples, command line and scenarios of real processes. Cases listed in
# KNOWN-RED.txt are run and printed, but do not fail the run; a listed case that passes is printed as well, so that it
# gets removed. Ends with the counts of passed, failed and known red cases.
# usage: run-tests.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
passed=0
failed=0
red=0
# Output, status and seconds of the cases in the background.
outputs=$(mktemp -d "${TMPDIR:-/tmp}/celeryswitch-tests.XXXXXX")
trap 'rm -rf "$outputs"' EXIT

# Names listed in KNOWN-RED.txt as "unit: NAME", "scenario: NAME" or "crowd: LISTENER, PLAY".
known_red() { sed -n "s/^$1: //p" KNOWN-RED.txt; }

# Starts a case in the background, once fewer than LIMIT of them run.
# usage: start_case LIMIT NAME COMMAND...
start_case() {
    local limit=$1 name=$2
    shift 2
    while [ "$(jobs -rp | wc -l)" -ge "$limit" ]; do
        wait -n || true
    done
    (
        start=$SECONDS
        status=0
        "$@" > "$outputs/$name.log" 2>&1 || status=$?
        echo "$status $((SECONDS - start))" > "$outputs/$name.status"
    ) &
}

# Prints a finished background case like run_case, and counts it. A case that left no status failed.
finish_case() {
    local name=$1 status=1 seconds=0
    read -r status seconds < "$outputs/$name.status" || true
    if [ "$status" -eq 0 ]; then
        passed=$((passed + 1))
        echo "$name passed in $seconds s"
    else
        failed=$((failed + 1))
        cat "$outputs/$name.log"
        echo "$name FAILED"
    fi
}

# Prints what a finished background case that is known to fail did.
finish_known_red() {
    local name=$1 status=1
    red=$((red + 1))
    read -r status _ < "$outputs/$name.status" || true
    if [ "$status" -eq 0 ]; then
        echo "known red: $name PASSED; remove it from KNOWN-RED.txt"
    else
        echo "known red: $name failed, as listed in KNOWN-RED.txt"
    fi
}

# Runs a case, prints its output when it fails, and counts it.
run_case() {
    local name=$1 start=$SECONDS output
    shift
    if output=$("$@" 2>&1); then
        passed=$((passed + 1))
        echo "$name passed in $((SECONDS - start)) s"
    else
        failed=$((failed + 1))
        printf '%s\n' "$output"
        echo "$name FAILED"
    fi
}

echo "== unit tests"
if output=$(./scripts/run-unit-tests.sh "$build" 2>&1); then
    # "All tests passed (N assertions in M test cases)"
    passed=$(sed -n 's/^All tests passed (.* in \([0-9]*\) test cases*).*/\1/p' <<< "$output" | tail -n 1)
else
    # "test cases: 113 | 112 passed | 1 failed"
    passed=$(sed -n 's/^test cases:.* \([0-9]*\) passed.*/\1/p' <<< "$output" | tail -n 1)
    failed=$(sed -n 's/^test cases:.* \([0-9]*\) failed.*/\1/p' <<< "$output" | tail -n 1)
    passed=${passed:-0}
    failed=${failed:-1}
fi
printf '%s\n' "$output"
mapfile -t red_units < <(known_red unit)
for name in "${red_units[@]}"; do
    start_case "$(nproc)" "$name" "$build/celeryswitch-unittests" "$name"
done
wait
for name in "${red_units[@]}"; do
    finish_known_red "$name"
done

run_case "unit tests, planted faults" ./scripts/test-run-unit-tests.sh "$build"

echo "== layers"
run_case "layers" ./scripts/check-layers.sh
run_case "layers, planted faults" ./scripts/test-check-layers.sh

echo "== samples"
for sample in "$build"/sample-*; do
    [ ! -x "$sample" ] || run_case "$(basename "$sample")" "$sample"
done

echo "== command line"
run_case "command line" ./scripts/test-command-line.sh "$build"

echo "== soak"
run_case "soak, calm" "$build/celeryswitch-soak" "--program=$build/celeryswitch" --calm --seconds=2
run_case "soak, faults" "$build/celeryswitch-soak" "--program=$build/celeryswitch" --seed=1 --seconds=12
# The seeds that failed once are played at the same time, each on addresses of its own.
mapfile -t seeds < <(grep -v '^#' Soak/regression-seeds.txt | cut -d ' ' -f 1)
mapfile -t change_seeds < <(grep -v '^#' Soak/regression-change-seeds.txt | cut -d ' ' -f 1)
played=$((${#seeds[@]} + ${#change_seeds[@]}))
for seed in "${seeds[@]}"; do
    start_case "$played" "soak, seed $seed" "$build/celeryswitch-soak" "--program=$build/celeryswitch" "--seed=$seed"
done
for seed in "${change_seeds[@]}"; do
    start_case "$played" "soak with changes, seed $seed" "$build/celeryswitch-soak" "--program=$build/celeryswitch" \
        --changes "--seed=$seed" --seconds=20
done
wait
for seed in "${seeds[@]}"; do
    finish_case "soak, seed $seed"
done
for seed in "${change_seeds[@]}"; do
    finish_case "soak with changes, seed $seed"
done

echo "== crowds"
# Each runs alone: the crowd takes the memory and the connections that other cases need.
while read -r listener play; do
    name="crowd against a process, $listener"
    [ "$play" = stalled ] || name+=", $play"
    if known_red crowd | grep -qxF "$listener, $play"; then
        # Nothing else runs, so that the case leaves its status like one in the background.
        start_case 1 "$name" "$build/celeryswitch-soak" "--program=$build/celeryswitch" "--crowd=$listener" "--play=$play"
        wait
        finish_known_red "$name"
    else
        run_case "$name" "$build/celeryswitch-soak" "--program=$build/celeryswitch" "--crowd=$listener" "--play=$play"
    fi
done < <(grep -v '^#' Soak/crowds.txt)

echo "== scenarios"
# Scenarios mostly wait; their processes listen on addresses that the system or their own runner chose.
for file in scenarios/*.toml; do
    start_case 4 "$(basename "$file" .toml)" "$build/celeryswitch" scenario "$file"
done
wait
for file in scenarios/*.toml; do
    name=$(basename "$file" .toml)
    if known_red scenario | grep -qxF "$name"; then
        finish_known_red "$name"
    else
        finish_case "$name"
    fi
done
echo "$red known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
