#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build/. Needs g++ and Boost, as the project does.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -pthread standins/*.cpp -o build/review-standins
