#!/usr/bin/env bash
# Runs the linter on source files and prints its findings. A file that was clean isn't linted again while everything that
# the verdict depends on is the same: its preprocessed text, the text of the project's files in it with their comments, its
# command line, the linter's configuration and version, and this script.
# usage: lint.sh BUILD_FOLDER FILE...
set -euo pipefail
build=$1
shift
cache=${XDG_CACHE_HOME:-$HOME/.cache}/celeryswitch-lint
mkdir -p "$cache"
preprocessed=$(mktemp "${TMPDIR:-/tmp}/celeryswitch-lint.XXXXXX")
trap 'rm -f "$preprocessed"' EXIT
status=0

# Prints the hash of what the verdict on a unit depends on, with paths relative to the root, so that clones share it.
# Fails if the compilation database doesn't have exactly one command for the unit.
verdict_key() {
    local unit=$1 command config version
    command=$(awk -v file="  \"file\": \"$PWD/$unit\"," \
        '/^  "command": / { command = $0 } index($0, substr(file, 1, length(file) - 1)) == 1 { print command }' \
        "$build/compile_commands.json")
    [ -n "$command" ] && [ "$(wc -l <<< "$command")" -eq 1 ] || return 1
    command=$(sed -E 's/^  "command": "(.*)",?$/\1/; s/\\\\/\x01/g; s/\\"/"/g; s/\x01/\\/g' <<< "$command")
    config=$(clang-tidy -p "$build" --dump-config "$unit" 2> /dev/null) || return 1
    version=$(clang-tidy --version) || return 1
    # The last -o wins; the macro is one that the linter defines.
    (cd "$build" && eval "$command -E -D__clang_analyzer__ -o \"\$preprocessed\"") 2> /dev/null || return 1
    {
        cat "$0" || exit 1
        printf '%s\n' "$version" "$config" "$command"
        cat "$preprocessed" || exit 1
        # Comments and macro definitions aren't in the preprocessed text.
        sed -nE "s|^# [0-9]+ \"($PWD/[^\"]*)\".*|\1|p" "$preprocessed" | sort -u | while IFS= read -r file; do
            printf '%s\n' "$file"
            cat "$file" || exit 1
        done || exit 1
    } | sed "s|$PWD/||g" | sha256sum | cut -d ' ' -f 1
}

for unit in "$@"; do
    key=$(verdict_key "$unit") || key=""
    if [ -n "$key" ] && [ -e "$cache/$key" ]; then
        touch "$cache/$key"
    elif output=$(clang-tidy --quiet -p "$build" "$unit" 2>&1); then
        [ -z "$key" ] || : > "$cache/$key"
    else
        printf '%s\n' "$output"
        status=1
    fi
done
exit $status
