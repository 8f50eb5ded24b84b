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
// Schedules in which a fault that is let through has to show.
constexpr std::uint64_t searchCount = 10'000;

struct SwitchedOff {
    const char* name;
    void (*apply)(ScheduleMechanisms&);
};

const SwitchedOff switchedOff[] = {
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

// The seed to replay, or 0.
std::uint64_t replayedSeed()
{
    const char* text = std::getenv("CELERYSWITCH_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 0;
}

// Mechanisms with the one that CELERYSWITCH_MECHANISM_OFF names switched off.
ScheduleMechanisms mechanismsFromEnvironment()
{
    ScheduleMechanisms mechanisms;
    const char* text = std::getenv("CELERYSWITCH_MECHANISM_OFF");
    for (const SwitchedOff& off : switchedOff) {
        if (text && std::string(text) == off.name)
            off.apply(mechanisms);
    }
    return mechanisms;
}

/// What a range of schedules found.
struct Findings {
    std::uint64_t brokenSeed = 0;
    std::string broken;
    std::uint64_t steps = 0;
    std::size_t accepted = 0;
};

// Runs the schedules `first`, `first` + `stride`, ... up to `last`, or up to the first that breaks an invariant.
Findings explore(std::uint64_t first, std::uint64_t last, std::uint64_t stride, const ScheduleMechanisms& mechanisms)
{
    Findings findings;
    for (std::uint64_t seed = first; seed <= last && findings.broken.empty(); seed += stride) {
        ClusterSchedule schedule(seed, mechanisms);
        findings.broken = schedule.run();
        findings.brokenSeed = seed;
        findings.steps += schedule.steps();
        findings.accepted += schedule.acceptedChanges();
    }
    return findings;
}

}

// Guards against every loss, reversal, double acceptance or stale answer that reordering, loss, duplication, delay,
// crashes, lost disks, frozen clocks and replaced replicas can cause. CELERYSWITCH_SEED replays one schedule.
TEST_CASE("seeded schedules keep the invariants of the state log", "[Consensus][explorer]")
{
    const std::uint64_t replayed = replayedSeed();
    const ScheduleMechanisms mechanisms = mechanismsFromEnvironment();
    std::vector<std::future<Findings>> parts;
    if (replayed)
        parts.push_back(std::async(std::launch::deferred, explore, replayed, replayed, 1, mechanisms));
    for (std::uint64_t part = 1; !replayed && part <= threadCount; ++part)
        parts.push_back(std::async(std::launch::async, explore, part, scheduleCount, threadCount, mechanisms));
    std::uint64_t steps = 0;
    std::size_t accepted = 0;
    for (auto& part : parts) {
        const Findings findings = part.get();
        steps += findings.steps;
        accepted += findings.accepted;
        INFO("CELERYSWITCH_SEED=" << findings.brokenSeed);
        CHECK(findings.broken == "");
    }
    std::cout << "schedules: " << (replayed ? 1 : scheduleCount) << ", steps: " << steps
              << ", accepted changes: " << accepted << "\n";
}

// Guards against an explorer that would not notice the faults that it is there for.
TEST_CASE("the explorer notices each mechanism that is switched off", "[Consensus][explorer]")
{
    for (const SwitchedOff& off : switchedOff) {
        ScheduleMechanisms mechanisms;
        off.apply(mechanisms);
        const Findings findings = explore(1, searchCount, 1, mechanisms);
        INFO(off.name);
        std::cout << off.name << " off: seed " << findings.brokenSeed << ": " << findings.broken << std::endl;
        CHECK(findings.broken != "");
    }
}
