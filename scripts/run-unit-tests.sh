#!/usr/bin/env bash
# Runs the unit tests of a build folder without the cases that KNOWN-RED.txt lists.
# usage: run-unit-tests.sh BUILD_FOLDER [CATCH_ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
mapfile -t red < <(sed -n 's/^unit: //p' KNOWN-RED.txt)
exclusions=""
for name in "${red[@]}"; do
    exclusions+="~\"$name\""
done
# Catch2 joins expressions without a comma by "and".
exec "$build/celeryswitch-unittests" "${*:-}$exclusions"
