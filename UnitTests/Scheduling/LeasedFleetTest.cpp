#include "celeryswitch/Experiment/LeasedFleet.h"
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace celeryswitch;
using namespace celeryswitch::Experiment;

namespace {

// The three kinds of the users' sheets, at a rate that `load` scales.
LeasedOptions counterDay(std::uint64_t seed, double load)
{
    LeasedOptions options;
    options.seed = seed;
    options.duration = std::chrono::seconds(12);
    options.kinds = { { "preview", 34 * load, 0.06, 0.4, 8, 3100, 3, 0.002 },
        { "quote", 6.25 * load, 0.9, 0.4, 4, 3100, 3, 0.002 }, { "check", 100 * load, 0.2, 0.4, 2, 3100, 2, 0.002 } };
    options.workerMilliCores = 36'000;
    return options;
}

LeasedFaults manyFaults()
{
    LeasedFaults faults;
    faults.entryKills = 10;
    faults.sidecarKills = 20;
    faults.workerCrashes = 15;
    faults.linkCuts = 30;
    faults.sidecarFreezes = 15;
    faults.entryFreezes = 8;
    faults.greyWorkers = 15;
    faults.lateOrders = 0.03;
    faults.linkChanges = 20;
    return faults;
}

std::string joined(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

std::uint64_t seedCount()
{
    const char* asked = std::getenv("CELERYSWITCH_FLEETS");
    return asked ? std::strtoull(asked, nullptr, 10) : 12;
}

}

// Guards against jobs that are refused, late or lost although nothing is wrong and there is room.
TEST_CASE("a calm fleet serves everything in time", "[Scheduling][fleet]")
{
    const LeasedResult result = LeasedFleet(counterDay(1, 0.6)).run();
    INFO(joined(result.violations));
    REQUIRE(result.violations.empty());
    for (const LeasedFigures& kind : result.kinds) {
        REQUIRE(kind.asked > 0);
        // The first jobs come before their times are learned.
        REQUIRE(kind.inTime + 2 >= kind.asked);
    }
}

// Guards against second runs, partial answers and untrue refusals under faults that come together and overlap. Seeds 1
// to CELERYSWITCH_FLEETS, 12 by default.
TEST_CASE("no task runs twice and no answer is untrue under many faults", "[Scheduling][fleet]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        LeasedOptions options = counterDay(seed, 0.5 + 0.1 * static_cast<double>(seed % 8));
        options.faults = manyFaults();
        // Half of the seeds link each entry to a part of the sidecars.
        if (seed % 2 == 0)
            options.links = { 2, 1 };
        const LeasedResult result = LeasedFleet(options).run();
        INFO(joined(result.violations));
        REQUIRE(result.violations.empty());
        REQUIRE(result.runs > 1000);
    }
}

// Guards against checks that notice nothing: each mechanism off breaks a promise in some seed.
TEST_CASE("the fleet's checks notice a missing mechanism", "[Scheduling][fleet]")
{
    const auto breaks = [](const LeasedMechanisms& mechanisms) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LeasedOptions options = counterDay(seed, 0.6);
            options.faults = manyFaults();
            options.faults.entryKills = 40;
            options.mechanisms = mechanisms;
            if (!LeasedFleet(options).run().violations.empty())
                return true;
        }
        return false;
    };
    LeasedMechanisms mechanisms;
    mechanisms.isEntryWatched = false;
    CHECK(breaks(mechanisms));
    mechanisms = {};
    mechanisms.isUnreachableWaitedFor = false;
    CHECK(breaks(mechanisms));
}

// Guards against an overload in which the kinds that ask for little lose as much as the one that floods.
TEST_CASE("kinds that ask for little keep their service when another one floods", "[Scheduling][fleet]")
{
    LeasedOptions options = counterDay(3, 0.8);
    options.kinds[2].jobsPerSecond *= 2.5;
    const LeasedResult result = LeasedFleet(options).run();
    REQUIRE(result.violations.empty());
    const auto share = [&](std::size_t kind) {
        return static_cast<double>(result.kinds[kind].inTime) / static_cast<double>(result.kinds[kind].asked);
    };
    REQUIRE(share(0) > 0.9);
    REQUIRE(share(1) > 0.9);
}

// Guards against entries that order on the same workers at the same time, so that most orders come back without a
// start: the collapse of the grown sites, where a job of 8 tasks took 23 orders.
TEST_CASE("orders rarely come back when many entries share many workers", "[Scheduling][fleet]")
{
    LeasedOptions options = counterDay(5, 6 * 0.75);
    options.entries = 13;
    options.workers = 74;
    options.duration = std::chrono::seconds(4);
    const LeasedResult result = LeasedFleet(options).run();
    INFO(joined(result.violations));
    REQUIRE(result.violations.empty());
    INFO(result.ordersReturned << " of " << result.orders << " orders came back, " << result.messages << " messages");
    CHECK(result.ordersReturned * 10 < result.orders);
    for (const LeasedFigures& kind : result.kinds)
        CHECK(static_cast<double>(kind.inTime) > 0.9 * static_cast<double>(kind.asked));
}
