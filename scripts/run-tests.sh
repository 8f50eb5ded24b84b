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

# Names listed in KNOWN-RED.txt as "unit: NAME" or "scenario: NAME".
known_red() { sed -n "s/^$1: //p" KNOWN-RED.txt; }

# Runs a case that is known to fail and prints what it did.
run_known_red() {
    local name=$1
    shift
    red=$((red + 1))
    if "$@" > /dev/null 2>&1; then
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

# Prints what a background run wrote to a file, and returns its status.
finished_run() {
    cat "$2"
    return "$1"
}

echo "== unit tests"
if output=$(./scripts/run-unit-tests.sh "$build" 2>&1); then
    # "All tests passed (N assertions in M test cases)"
    passed=$(sed -n 's/^All tests passed (.* in \([0-9]*\) test cases*).*/\1/p' <<< "$output")
else
    # "test cases: 113 | 112 passed | 1 failed"
    passed=$(sed -n 's/^test cases:.* \([0-9]*\) passed.*/\1/p' <<< "$output")
    failed=$(sed -n 's/^test cases:.* \([0-9]*\) failed.*/\1/p' <<< "$output")
    passed=${passed:-0}
    failed=${failed:-1}
fi
printf '%s\n' "$output"
while read -r name; do
    run_known_red "$name" "$build/celeryswitch-unittests" "$name"
done < <(known_red unit)

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
seeds=()
outputs=$(mktemp -d)
while read -r seed _; do
    "$build/celeryswitch-soak" "--program=$build/celeryswitch" "--seed=$seed" > "$outputs/$seed" 2>&1 &
    seeds+=("$seed:$!")
done < <(grep -v '^#' Soak/regression-seeds.txt)
for entry in "${seeds[@]}"; do
    status=0
    wait "${entry#*:}" || status=$?
    run_case "soak, seed ${entry%:*}" finished_run "$status" "$outputs/${entry%:*}"
done
rm -r "$outputs"

echo "== scenarios"
for file in scenarios/*.toml; do
    name=$(basename "$file" .toml)
    if known_red scenario | grep -qxF "$name"; then
        run_known_red "$name" "$build/celeryswitch" scenario "$file"
    else
        run_case "$name" "$build/celeryswitch" scenario "$file"
    fi
done
echo "$red known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
