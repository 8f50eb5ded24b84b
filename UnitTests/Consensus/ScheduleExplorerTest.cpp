#include "UnitTests/Consensus/ClusterSchedule.h"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <future>
#include <iostream>

using namespace celeryswitch;
using Consensus::ClusterSchedule;
using Consensus::ScheduleMechanisms;

namespace {

constexpr std::uint64_t scheduleCount = 10'000;
constexpr std::uint64_t threadCount = 4;
// Schedules within which a disabled mechanism must cause a violation.
constexpr std::uint64_t maximumSearchedSchedules = 10'000;

struct DisabledMechanism {
    const char* name;
    void (*apply)(ScheduleMechanisms&);
};

const DisabledMechanism disabledMechanisms[] = {
    { "isSyncedBeforeVote", [](ScheduleMechanisms& m) { m.replica.isSyncedBeforeVote = false; } },
    { "isSyncedBeforeAcknowledged", [](ScheduleMechanisms& m) { m.replica.isSyncedBeforeAcknowledged = false; } },
    { "isLogComparedBeforeVote", [](ScheduleMechanisms& m) { m.replica.isLogComparedBeforeVote = false; } },
    { "isGroupChangeSerialized", [](ScheduleMechanisms& m) { m.replica.isGroupChangeSerialized = false; } },
    { "isReadConfirmed", [](ScheduleMechanisms& m) { m.replica.isReadConfirmed = false; } },
    { "isIdentityRenewed", [](ScheduleMechanisms& m) { m.isIdentityRenewed = false; } },
    { "isChangeRemembered", [](ScheduleMechanisms& m) { m.machine.isChangeRemembered = false; } },
    { "isVersionCompared", [](ScheduleMechanisms& m) { m.machine.isVersionCompared = false; } },
    { "isTransferDelayed", [](ScheduleMechanisms& m) { m.isTransferDelayed = false; } },
};

// Seed to replay from CELERYSWITCH_SEED; 0 if not set.
std::uint64_t replayedSeed()
{
    const char* text = std::getenv("CELERYSWITCH_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 0;
}

// All mechanisms enabled except the one named by CELERYSWITCH_MECHANISM_OFF.
ScheduleMechanisms mechanismsFromEnvironment()
{
    ScheduleMechanisms mechanisms;
    const char* text = std::getenv("CELERYSWITCH_MECHANISM_OFF");
    for (const DisabledMechanism& mechanism : disabledMechanisms) {
        if (text && std::string(text) == mechanism.name)
            mechanism.apply(mechanisms);
    }
    return mechanisms;
}

/// Result of a range of schedules.
struct ExplorationResult {
    std::uint64_t violatingSeed = 0;
    std::string violation;
    std::uint64_t steps = 0;
    std::size_t accepted = 0;
};

// Runs the seeds `first`, `first` + `stride`, ... up to `last`, or up to the first that violates an invariant.
ExplorationResult explore(
    std::uint64_t first, std::uint64_t last, std::uint64_t stride, const ScheduleMechanisms& mechanisms)
{
    ExplorationResult result;
    for (std::uint64_t seed = first; seed <= last && result.violation.empty(); seed += stride) {
        ClusterSchedule schedule(seed, mechanisms);
        result.violation = schedule.run();
        result.violatingSeed = seed;
        result.steps += schedule.steps();
        result.accepted += schedule.acceptedChanges();
    }
    return result;
}

}

// Guards against lost, reverted or doubly accepted changes and stale reads caused by message reordering, loss,
// duplication and delay, crashes, lost disks, stopped clocks and replaced replicas. CELERYSWITCH_SEED replays one
// schedule.
TEST_CASE("seeded schedules keep the invariants of the state log", "[Consensus][explorer]")
{
    const std::uint64_t replayed = replayedSeed();
    const ScheduleMechanisms mechanisms = mechanismsFromEnvironment();
    std::vector<std::future<ExplorationResult>> parts;
    if (replayed)
        parts.push_back(std::async(std::launch::deferred, explore, replayed, replayed, 1, mechanisms));
    for (std::uint64_t part = 1; !replayed && part <= threadCount; ++part)
        parts.push_back(std::async(std::launch::async, explore, part, scheduleCount, threadCount, mechanisms));
    std::uint64_t steps = 0;
    std::size_t accepted = 0;
    for (auto& part : parts) {
        const ExplorationResult result = part.get();
        steps += result.steps;
        accepted += result.accepted;
        INFO("CELERYSWITCH_SEED=" << result.violatingSeed);
        CHECK(result.violation == "");
    }
    std::cout << "schedules: " << (replayed ? 1 : scheduleCount) << ", steps: " << steps
              << ", accepted changes: " << accepted << "\n";
}

// Guards against an explorer that misses violations: each disabled mechanism must lead to one.
TEST_CASE("the explorer notices each disabled mechanism", "[Consensus][explorer]")
{
    for (const DisabledMechanism& mechanism : disabledMechanisms) {
        ScheduleMechanisms mechanisms;
        mechanism.apply(mechanisms);
        const ExplorationResult result = explore(1, maximumSearchedSchedules, 1, mechanisms);
        INFO(mechanism.name);
        std::cout << mechanism.name << " off: seed " << result.violatingSeed << ": " << result.violation << std::endl;
        CHECK(result.violation != "");
    }
}
