#!/usr/bin/env bash
# Runs the linter on source files and prints its findings.
# usage: lint.sh BUILD_FOLDER FILE...
set -euo pipefail
build=$1
shift
status=0
for unit in "$@"; do
    if ! output=$(clang-tidy --quiet -p "$build" "$unit" 2>&1); then
        printf '%s\n' "$output"
        status=1
    fi
done
exit $status
