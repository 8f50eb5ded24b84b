#!/usr/bin/env bash
# Checks the exit codes and the error messages that the command line promises. Guards against scripts around the program
# that take a failure for a success, and against messages that name no argument or field.
# usage: test-command-line.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
program=$1/celeryswitch
folder=$(mktemp -d "${TMPDIR:-/tmp}/celeryswitch-command-line.XXXXXX")
trap 'rm -rf "$folder"' EXIT
status=0

# Runs the program and compares exit code and a part of what it printed.
expect() {
    local code=$1 text=$2 actual=0 output
    shift 2
    output=$("$program" "$@" 2>&1 < /dev/null) || actual=$?
    if [ "$actual" -ne "$code" ] || [[ $output != *"$text"* ]]; then
        echo "celeryswitch $*: exit code $actual instead of $code, or \"$text\" missing in: $output"
        status=1
    fi
}

printf 'author = "ana"\nstateAddresses = ["127.0.0.1:1"]\nrequestTimeoutMs = 200\n[keys]\n1 = "0123456789abcdef"\n' \
    > "$folder/operator.toml"
printf 'author = "ana"\nstateAddresses = ["here"]\ncolour = 1\n' > "$folder/wrong.toml"
operator=(--settings "$folder/operator.toml")

expect 0 "celeryswitch 0." --version
expect 0 "Commands:" --help
expect 2 "Commands:"
expect 2 '"dance"' dance
for command in entry sidecar state check config drain evacuate members job report audit load experiment scenario; do
    expect 0 "Usage:" "$command" --help
    expect 2 "Usage:" "$command" --no-such-option
done
expect 0 "valid settings of role operator" check "$folder/operator.toml"
expect 3 "colour" check "$folder/wrong.toml"
expect 3 "stateAddresses" check --json "$folder/wrong.toml"
expect 3 "can't be read" state --settings "$folder/none.toml"
expect 2 "VALUE" config set "${operator[@]}" shareWeight 0 --reason test
expect 2 "KEY" config set "${operator[@]}" colour 1 --reason test
expect 2 "--reason" config set "${operator[@]}" shareWeight 1
expect 2 "SCOPE" config exceptions add "${operator[@]}" planet x shareWeight 1 --reason test
expect 2 "Usage:" evacuate start "${operator[@]}"
expect 4 "stateAddresses" evacuate list "${operator[@]}"
expect 2 "--from" report "${operator[@]}" --from yesterday
expect 2 "--format" report "${operator[@]}" --format pdf
expect 4 "stateAddresses" config show "${operator[@]}"
expect 4 "--change-id c1 --expected 3" config set "${operator[@]}" shareWeight 1 --reason test --expected 3 --change-id c1
expect 4 "entryAddresses" job show "${operator[@]}" a b c
expect 2 "--entries" load workloads/association.toml
expect 2 "no such phase" load workloads/association.toml --phase none
expect 3 "none.toml" load "$folder/none.toml" --entries 127.0.0.1:1
expect 1 "FAILED" load workloads/association.toml --entries 127.0.0.1:1 --seconds 1 --patience 1
expect 2 "--mix" experiment workloads/association.toml --mix all
expect 3 "operator.toml" scenario "$folder/operator.toml"
[ "$status" -eq 0 ] && echo "command line: every exit code and message as promised"
exit "$status"
