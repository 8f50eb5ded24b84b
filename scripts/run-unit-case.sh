#!/usr/bin/env bash
# Runs one unit test case in a process of its own. Writes the output to NUMBER.log and the result to NUMBER.result in a
# folder; the result is one line: seconds, "passed" or "failed", assertions passed, assertions failed, name.
# usage: run-unit-case.sh PROGRAM OUTPUT_FOLDER NUMBER:NAME
set -uo pipefail
program=$1
log=$2/${3%%:*}.log
result=$2/${3%%:*}.result
name=${3#*:}
# Catch2 treats quotes, commas and backslashes as syntax, also in quoted names.
pattern=${name//\\/\\\\}
pattern=${pattern//\"/\\\"}
pattern=\"${pattern//,/\\,}\"

status=0
start=$(date +%s.%N)
"$program" --durations yes "$pattern" > "$log" 2>&1 || status=$?
seconds=$(awk -v start="$start" -v end="$(date +%s.%N)" 'BEGIN { printf "%.3f", end - start }')

# The last summary counts: "All tests passed (12 assertions in 1 test case)", or the lines "test cases: 1 | 1 failed" and
# "assertions: 12 | 11 passed | 1 failed".
summary=$(grep -aE '^(All tests passed \(|test cases: |assertions: |No tests ran|Invalid Filter)' "$log" | tail -n 2)
number() { sed -nE "s/$1/\1/p" <<< "$summary" | tail -n 1; }
verdict=failed
if grep -qE '^(All tests passed \(.* in 1 test case\)|test cases: 1( |$))' <<< "$summary"; then
    # Wildcards and letter case could make a pattern match another case than the one that was listed.
    if ! grep -aqF " s: $name" "$log"; then
        echo "run-unit-case.sh: another case ran instead of \"$name\"" >> "$log"
    elif [ "$status" -eq 0 ]; then
        verdict=passed
    else
        echo "run-unit-case.sh: \"$name\" ended with status $status" >> "$log"
    fi
else
    echo "run-unit-case.sh: \"$name\" ended with status $status and not with the summary of one case" >> "$log"
fi
passed=$(number '^All tests passed \(([0-9]+) assertion.*')
passed=${passed:-$(number '^assertions: .* ([0-9]+) passed.*')}
failed=$(number '^assertions: .* ([0-9]+) failed( \|.*)?$')
printf '%s\t%s\t%s\t%s\t%s\n' "$seconds" "$verdict" "${passed:-0}" "${failed:-0}" "$name" > "$result"
