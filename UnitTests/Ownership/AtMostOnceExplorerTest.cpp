#include "ExplorerWorld.h"
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace celeryswitch;
using namespace celeryswitch::Explorer;

namespace {

// Runs schedules until one breaks a promise; returns its seed and what was broken.
std::optional<std::pair<std::uint64_t, std::string>> explore(
    std::uint64_t firstSeed, std::uint64_t count, const Mechanisms& mechanisms, Coverage& coverage)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        try {
            World(seed, mechanisms, coverage).run();
        } catch (const Violation& violation) {
            return std::pair(seed, std::string(violation.what()));
        }
    }
    return std::nullopt;
}

// Mechanisms without those in a list such as "epoch,echo".
Mechanisms without(const std::string& list)
{
    Mechanisms mechanisms;
    const std::pair<const char*, bool*> names[] = {
        { "epoch", &mechanisms.hasEpochCheck },
        { "echo", &mechanisms.hasClockEcho },
        { "transfer", &mechanisms.hasTransferWait },
        { "table", &mechanisms.hasJobTableLookup },
        { "recovery", &mechanisms.hasRecovery },
        { "lease", &mechanisms.hasLeaseCheck },
    };
    for (const auto& [name, value] : names)
        *value = list.find(name) == std::string::npos;
    return mechanisms;
}

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text ? std::stoull(text) : fallback;
}

}

// Guards against any sequence of delays, losses, freezes, crashes and restarts that starts a task twice, or that makes
// an answer partial, false or another caller's. CELERYSWITCH_SEED replays one schedule.
TEST_CASE("no schedule breaks the at-most-once promises", "[Ownership][explorer]")
{
    const bool isReplay = std::getenv("CELERYSWITCH_SEED") != nullptr;
    const std::uint64_t count = isReplay ? 1 : numberFrom("CELERYSWITCH_SCHEDULES", 10000);
    Coverage coverage;
    const auto begin = std::chrono::steady_clock::now();
    const char* disabled = std::getenv("CELERYSWITCH_WITHOUT");
    const auto broken = explore(numberFrom("CELERYSWITCH_SEED", 1), count, without(disabled ? disabled : ""), coverage);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    std::cout << "explorer: " << count << " schedules in " << took.count() << " s, " << coverage.starts << " starts, "
              << coverage.complete << " complete and " << coverage.failed << " failed answers, " << coverage.notRun
              << " not-run and " << coverage.mayHaveRun << " may-have-run answers, " << coverage.transfers
              << " transfers, " << coverage.neverStartedTasks << " never started and " << coverage.unconfirmedTasks
              << " unconfirmed tasks\n";
    if (broken)
        FAIL("CELERYSWITCH_SEED=" << broken->first << ": " << broken->second);
    REQUIRE(coverage.starts > count / 2);
}

// Guards against an explorer that would not see a violation: with the named mechanisms off, one of its first schedules
// breaks a promise. All of these schedules pass in the case above, where every mechanism is on.
TEST_CASE("the at-most-once explorer notices mechanisms that are switched off", "[Ownership][explorer]")
{
    constexpr std::uint64_t scheduleCount = 2000;
    for (const char* disabled : { "table", "recovery", "epoch,echo", "epoch,transfer", "lease,epoch" }) {
        INFO("CELERYSWITCH_WITHOUT=" << disabled);
        Coverage coverage;
        const auto broken = explore(1, scheduleCount, without(disabled), coverage);
        REQUIRE(broken);
        std::cout << disabled << " off: seed " << broken->first << ": " << broken->second << "\n";
    }
}
