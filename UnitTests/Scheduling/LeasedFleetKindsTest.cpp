// The simulated fleet with workers that return as another kind.
#include "celeryswitch/Experiment/LeasedFleet.h"
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace celeryswitch;
using namespace celeryswitch::Experiment;

namespace {

// Jobs for large workers, for small ones and for any, while workers restart under their ids or under new ones.
LeasedOptions changingKinds(std::uint64_t seed)
{
    LeasedOptions options;
    options.seed = seed;
    options.duration = std::chrono::seconds(8);
    options.kinds = { { "preview", 17, 0.06, 0.4, 8, 3100, 3, 0.002 }, { "quote", 3, 0.9, 0.4, 4, 3100, 3, 0.002 },
        { "check", 50, 0.2, 0.4, 2, 3100, 2, 0.002 } };
    options.kinds[0].requiredLabel = largeKindLabel;
    options.kinds[1].requiredLabel = smallKindLabel;
    options.workerMilliCores = 36'000;
    options.faults.areKindsDrawn = true;
    options.faults.workerRestarts = 200;
    options.faults.workerCrashes = 30;
    options.faults.sidecarKills = 20;
    options.faults.sidecarFreezes = 30;
    options.faults.entryFreezes = 10;
    options.faults.linkCuts = 60;
    options.faults.slowLinks = 200;
    options.faults.degradedWorkers = 30;
    return options;
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

std::uint64_t seedCount()
{
    const char* value = std::getenv("CELERYSWITCH_FLEETS");
    return value ? std::strtoull(value, nullptr, 10) : 12;
}

}

// Guards against tasks that start on a worker without their label, or beyond its capacity, because an earlier
// incarnation of the worker had both (review case 7).
TEST_CASE("no task starts on a worker that returned as another kind", "[Scheduling][fleet]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        const LeasedResult result = LeasedFleet(changingKinds(seed)).run();
        INFO(joinLines(result.violations));
        REQUIRE(result.violations.empty());
        REQUIRE(result.runs > 100);
    }
}

// Guards against checks that detect nothing: with either mechanism off, some seed violates an invariant.
TEST_CASE("the fleet's checks detect starts on another kind of worker", "[Scheduling][fleet]")
{
    const auto violates = [](const LeasedMechanisms& mechanisms) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LeasedOptions options = changingKinds(seed);
            options.mechanisms = mechanisms;
            if (!LeasedFleet(options).run().violations.empty())
                return true;
        }
        return false;
    };
    LeasedMechanisms mechanisms;
    mechanisms.areConnectionsIdentified = false;
    CHECK(violates(mechanisms));
    mechanisms = {};
    mechanisms.areOrdersCompared = false;
    CHECK(violates(mechanisms));
}
