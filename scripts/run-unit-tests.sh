#!/usr/bin/env bash
# Runs the unit tests of a build folder without the cases that KNOWN-RED.txt lists. Each case runs in a process of its own,
# as many at a time as there are cores. Prints the output of the cases that fail, the slowest cases and Catch2's summary of
# all. Fails as well when the cases that ran aren't exactly those that were listed.
# usage: run-unit-tests.sh BUILD_FOLDER [CATCH_ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1/celeryswitch-unittests
times=${XDG_CACHE_HOME:-$HOME/.cache}/celeryswitch-unittests/$(basename "$1").times
shift
outputs=$(mktemp -d "${TMPDIR:-/tmp}/celeryswitch-unittests.XXXXXX")
trap 'rm -rf "$outputs"' EXIT

mapfile -t red < <(sed -n 's/^unit: //p' KNOWN-RED.txt)
exclusions=""
for name in "${red[@]}"; do
    exclusions+="~\"${name//,/\\,}\""
done
# Catch2 joins expressions without a comma by "and". The exit status of a listing is the number of cases, at most 255.
"$program" --list-test-names-only "${*:-}$exclusions" > "$outputs/listed" 2> "$outputs/errors" || true
cat "$outputs/errors" >&2
# Catch2 lists names that begin with "#" in quotes.
sed -i -E 's/^"(#.*)"$/\1/' "$outputs/listed"
listed=$(wc -l < "$outputs/listed")
if [ "$listed" -eq 0 ]; then
    echo "run-unit-tests.sh: no test cases listed by $program"
    exit 1
fi

# The cases that took longest in an earlier run begin first, so that none of them is alone at the end; cases not seen
# before begin before all others.
touch "$outputs/times"
[ ! -f "$times" ] || cp "$times" "$outputs/times"
awk -F '\t' 'FILENAME != "-" { seconds[$2] = $1; next } { print ($0 in seconds ? seconds[$0] : 1e9) "\t" NR ":" $0 }' \
    "$outputs/times" - < "$outputs/listed" | sort -s -t $'\t' -k 1,1gr | cut -f 2- | tr '\n' '\0' \
    | xargs -0 -r -n 1 -P "$(nproc)" ./scripts/run-unit-case.sh "$program" "$outputs"

find "$outputs" -name '*.result' -exec cat {} + > "$outputs/results"
while IFS= read -r result; do
    cat "${result%.result}.log"
done < <(grep -lP '^[^\t]*\tfailed\t' "$outputs"/*.result | sort -V)
echo "slowest cases:"
sort -gr "$outputs/results" | awk -F '\t' 'NR <= 5 { print "    " $1 " s  " $5 }'

sum() { awk -F '\t' "$1 { total += $2 } END { print total + 0 }" "$outputs/results"; }
passed=$(sum '$2 == "passed"' 1)
failed=$(sum '$2 == "failed"' 1)
assertions_passed=$(sum 1 '$3')
assertions_failed=$(sum 1 '$4')
if ! cmp -s <(sort "$outputs/listed") <(cut -f 5- "$outputs/results" | sort); then
    echo "run-unit-tests.sh: the cases that ran aren't the $listed that were listed:"
    diff <(sort "$outputs/listed") <(cut -f 5- "$outputs/results" | sort) || true
    failed=$((failed + 1))
fi
if [ "$failed" -eq 0 ]; then
    mkdir -p "$(dirname "$times")"
    cut -f 1,5- "$outputs/results" > "$times.$$"
    mv "$times.$$" "$times"
    echo "All tests passed ($assertions_passed assertions in $passed test cases)"
else
    echo "test cases: $((passed + failed)) | $passed passed | $failed failed"
    echo "assertions: $((assertions_passed + assertions_failed)) | $assertions_passed passed | $assertions_failed failed"
    exit 1
fi
