#!/usr/bin/env bash
# Installs what is needed, builds and passes the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install-dependencies.sh
cmake -B build -G Ninja > /dev/null
cmake --build build
./scripts/run-tests.sh build
