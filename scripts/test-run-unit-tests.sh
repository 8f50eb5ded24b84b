#!/usr/bin/env bash
# Guards against a runner of the unit tests that leaves out cases whose names have characters with a meaning to Catch2 or
# the shell, and against one that takes a failed or missing case for a passed one.
# usage: test-run-unit-tests.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
main=$PWD/$1/CMakeFiles/celeryswitch-unittests.dir/UnitTests/Main.cpp.o
folder=$(mktemp -d "${TMPDIR:-/tmp}/celeryswitch-test-run-unit-tests.XXXXXX")
trap 'rm -rf "$folder"' EXIT
export XDG_CACHE_HOME=$folder/cache
cat > "$folder/cases.cpp" <<'END'
#include <catch2/catch.hpp>
#include <cstdlib>
TEST_CASE("plain", "[good]") { REQUIRE(true); }
TEST_CASE("pl", "[good]") { REQUIRE(true); }
TEST_CASE("with, comma, and more,", "[good]") { REQUIRE(true); }
TEST_CASE("with [brackets] and ~tilde", "[good]") { REQUIRE(true); }
TEST_CASE("[leading bracket", "[good]") { REQUIRE(true); }
TEST_CASE("# leading hash", "[good]") { REQUIRE(true); }
TEST_CASE("~leading tilde", "[good]") { REQUIRE(true); }
TEST_CASE("-leading dash", "[good]") { REQUIRE(true); }
TEST_CASE(" leading and trailing space ", "[good]") { REQUIRE(true); }
TEST_CASE("a \"quoted\" name with \\ in it", "[good]") { REQUIRE(true); }
TEST_CASE("it's $HOME `x` 'y' 90 % & 1:2;", "[good]") { REQUIRE(true); }
TEST_CASE("no assertions", "[good]") { }
TEST_CASE("a name that is longer than a line of the console, whose reporter wraps the names of failed cases", "[good]")
{
    SECTION("one") { REQUIRE(true); }
    SECTION("two") { REQUIRE(true); }
}
TEST_CASE("failed check", "[check]") { CHECK(1 == 2); }
TEST_CASE("exception", "[exception]") { throw 1; }
TEST_CASE("abort", "[abort]") { std::abort(); }
TEST_CASE("early exit", "[exit]") { std::_Exit(0); }
TEST_CASE("status after the summary", "[status]") { CHECK(true); std::atexit([] { std::_Exit(66); }); }
TEST_CASE("wildcard*", "[wildcard]") { CHECK(true); }
TEST_CASE("wildcard of another", "[wildcard]") { CHECK(true); }
TEST_CASE("letter case", "[letters]") { CHECK(true); }
TEST_CASE("Letter Case", "[letters]") { CHECK(true); }
END
(cd "$folder" && g++ -c cases.cpp -o cases.o && g++ "$main" cases.o -o celeryswitch-unittests)
status=0

# usage: expect EXIT_CODE SUMMARY FILTER
expect() {
    local code=$1 summary=$2 filter=$3 actual=0 output
    output=$(./scripts/run-unit-tests.sh "$folder" "$filter" 2>&1) || actual=$?
    if [ "$actual" -ne "$code" ] || ! grep -qxF "$summary" <<< "$output"; then
        printf '%s\n' "$output" "$filter: exit code $actual instead of $code, or \"$summary\" missing"
        status=1
    fi
}
expect 0 "All tests passed (13 assertions in 13 test cases)" "[good]"
for fault in check exception abort exit status; do
    expect 1 "test cases: 1 | 0 passed | 1 failed" "[$fault]"
    expect 1 "test cases: 14 | 13 passed | 1 failed" "[good],[$fault]"
done
expect 1 "test cases: 2 | 1 passed | 1 failed" "[wildcard]"
expect 1 "test cases: 2 | 0 passed | 2 failed" "[letters]"
expect 1 "run-unit-tests.sh: no test cases listed by $folder/celeryswitch-unittests" "[none]"
exit "$status"
