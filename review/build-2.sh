#!/usr/bin/env bash
# Builds the stand-ins and players of cases 6 to 10 into target/review-2. Needs g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
parts=()
for part in Net Worker Fleet; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "review/standins-2/$part.cpp" -o "target/review-2/$part.o"
    parts+=("target/review-2/$part.o")
done
for number in 6 7 8 9 10; do
    if [ -e "review/$number/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra "review/$number/case.cpp" "${parts[@]}" -o "target/review-2/case-$number" -pthread
    fi
done
