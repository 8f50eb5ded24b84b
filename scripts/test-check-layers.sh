#!/usr/bin/env bash
# Guards against a check of the borders that notices nothing: each planted fault in a copy of the tree has to fail it.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
# usage: expect_red FILE LINE
expect_red() {
    rm -rf "${copy:?}"/*
    cp -r celeryswitch platform Program docs "$copy"
    printf '%s\n' "$2" >> "$copy/$1"
    if ./scripts/check-layers.sh "$copy" > /dev/null; then
        echo "not noticed in $1: $2"
        exit 1
    fi
}
expect_red celeryswitch/Core/Clock.h '#include "celeryswitch/Scheduling/JobScheduler.h"'
expect_red celeryswitch/Scheduling/JobTypes.h 'inline const char* const name = "estimated_ms";'
expect_red platform/TaskNames.cpp 'static const auto now = std::chrono::steady_clock::now();'
