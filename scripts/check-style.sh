#!/usr/bin/env bash
# Checks formatting and linter findings of every tracked source file.
set -euo pipefail
cd "$(dirname "$0")/.."
# The linter can't read the compiler's precompiled headers, so it gets a compilation database without them.
cmake -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON -DCMAKE_CXX_COMPILER=clang++ > /dev/null
mapfile -t sources < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${sources[@]}"
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 3 ./scripts/lint.sh build-lint
echo "style: ${#sources[@]} files clean"
