// The simulated fleet with workers that return as another kind.
#include "UnitTests/Scheduling/FleetOptions.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Experiment;

namespace {

// Jobs for large workers, for small ones and for any, while workers restart under their ids or under new ones.
LeasedOptions changingKinds(std::uint64_t seed)
{
    LeasedOptions options = threeKinds(seed, 0.5);
    options.duration = std::chrono::seconds(8);
    options.kinds[0].requiredLabel = largeKindLabel;
    options.kinds[1].requiredLabel = smallKindLabel;
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
