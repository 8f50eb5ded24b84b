#include "UnitTests/Scheduling/FleetOptions.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Experiment;

namespace {

LeasedFaults manyFaults()
{
    LeasedFaults faults;
    faults.entryKills = 10;
    faults.sidecarKills = 20;
    faults.workerCrashes = 15;
    faults.linkCuts = 30;
    faults.sidecarFreezes = 15;
    faults.entryFreezes = 8;
    faults.degradedWorkers = 15;
    faults.lateOrders = 0.03;
    faults.lateRenewals = 0.03;
    faults.linkChanges = 20;
    return faults;
}

// Faults of processes and workers at a moderate rate while many calls are carried out late, with leases that count from
// their arrival.
LeasedFaults lateCallFaults()
{
    LeasedFaults faults;
    faults.lateOrders = 0.3;
    faults.lateRenewals = 0.3;
    faults.isLateLeaseFromArrival = true;
    faults.entryKills = 20;
    faults.sidecarKills = 30;
    faults.linkCuts = 30;
    faults.entryFreezes = 10;
    faults.degradedWorkers = 60;
    faults.callerResets = 300;
    return faults;
}

// Suspended entries, restarted workers, and messages of other writers or earlier incarnations.
LeasedFaults suspensionAndStrayFaults()
{
    LeasedFaults faults;
    faults.entrySuspensions = 60;
    faults.entryFreezes = 20;
    faults.workerRestarts = 60;
    faults.strayAnnouncements = 120;
    faults.sidecarKills = 20;
    faults.linkCuts = 30;
    faults.degradedWorkers = 30;
    faults.lateOrders = 0.05;
    faults.lateRenewals = 0.05;
    faults.callerResets = 120;
    return faults;
}

// Entries that stall below StallGuard's threshold while connections of their callers break and no stop is answered.
LeasedFaults stallFaults()
{
    LeasedFaults faults;
    faults.entryStalls = 120;
    faults.stallResets = 1;
    faults.lateStops = 1;
    faults.degradedWorkers = 120;
    return faults;
}

// The ends of callers' connections reach the entry late, and no stop is answered.
LeasedFaults slowCallerFaults()
{
    LeasedFaults faults;
    faults.slowCallerLinks = 60;
    faults.callerResets = 300;
    faults.lateStops = 1;
    faults.degradedWorkers = 120;
    return faults;
}

// Sidecars that are away for seconds after starts that are carried out late, with a lease that counts from then.
LeasedFaults lateStartFaults()
{
    LeasedFaults faults;
    faults.lateOrders = 0.6;
    faults.isLateStartFromArrival = true;
    faults.sidecarOutages = 120;
    return faults;
}

// Sidecars that are replaced in an orderly way, some after their time of day has jumped, and workers that leave.
LeasedFaults replacementFaults()
{
    LeasedFaults faults;
    faults.lateOrders = 0.1;
    faults.sidecarReplacements = 40;
    faults.workerDepartures = 20;
    faults.sidecarClockJumps = 60;
    faults.linkCuts = 30;
    return faults;
}

// Sidecars and workers that restart while the time of day jumps and starts are carried out late.
LeasedFaults clockJumpFaults()
{
    LeasedFaults faults;
    faults.lateOrders = 0.6;
    faults.isLateStartFromArrival = true;
    faults.sidecarKills = 120;
    faults.workerRestarts = 120;
    faults.isStartTimeOfDay = true;
    faults.sidecarClockJumps = 240;
    faults.clockJumpSeconds = 3;
    return faults;
}

// Callers that leave early and come back to the same entry, processes that are slow, and slow links.
LeasedFaults returningCallerFaults()
{
    LeasedFaults faults;
    faults.earlyLeavers = 0.3;
    faults.sameEntryRepeats = 0.7;
    faults.lateOrders = 0.3;
    faults.degradedWorkers = 60;
    faults.slowProcesses = 40;
    faults.slowLinks = 60;
    return faults;
}

// Workers that restart under their ids while they owe the answers to starts that they have carried out.
LeasedFaults restartedWorkerFaults()
{
    LeasedFaults faults;
    faults.workerRestarts = 400;
    faults.startAnswerSeconds = 0.025;
    return faults;
}

// As many jobs as workers that restart all the time can't serve, so that returned tasks find no other place.
LeasedOptions overloadedRestarts(std::uint64_t seed)
{
    LeasedOptions options = threeKinds(seed, 4);
    options.duration = std::chrono::seconds(8);
    options.faults = restartedWorkerFaults();
    return options;
}

void requireNoViolation(const LeasedFaults& faults, std::uint64_t seed)
{
    INFO("seed " << seed);
    LeasedOptions options = threeKinds(seed, 0.5);
    options.duration = std::chrono::seconds(8);
    options.faults = faults;
    const LeasedResult result = LeasedFleet(options).run();
    INFO(joinLines(result.violations));
    REQUIRE(result.violations.empty());
    REQUIRE(result.runs > 100);
}

void requireNoViolation(const LeasedFaults& faults)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed)
        requireNoViolation(faults, seed);
}

}

// Guards against jobs that are refused, late or lost although there are no faults and there is room.
TEST_CASE("a fleet without faults completes all jobs in time", "[Scheduling][fleet]")
{
    const LeasedResult result = LeasedFleet(threeKinds(1, 0.6)).run();
    INFO(joinLines(result.violations));
    REQUIRE(result.violations.empty());
    for (const LeasedKindResult& kind : result.kinds) {
        REQUIRE(kind.submitted > 0);
        // The first jobs arrive before the queue's run times are learned.
        REQUIRE(kind.inTime + 2 >= kind.submitted);
    }
}

// Guards against second runs, incomplete results and wrong refusals under concurrent faults. Seeds 1 to
// CELERYSWITCH_FLEETS, 12 by default.
TEST_CASE("no task runs twice and no answer is wrong under many faults", "[Scheduling][fleet]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        LeasedOptions options = threeKinds(seed, 0.5 + 0.1 * static_cast<double>(seed % 8));
        options.faults = manyFaults();
        // Every second seed links each entry to some of the sidecars only.
        if (seed % 2 == 0)
            options.links = { 2, 1 };
        const LeasedResult result = LeasedFleet(options).run();
        INFO(joinLines(result.violations));
        REQUIRE(result.violations.empty());
        REQUIRE(result.runs > 1000);
    }
}

// Guards against second runs when starts, stops and renewals are carried out seconds late.
TEST_CASE("no task runs twice while calls to workers are carried out late", "[Scheduling][fleet]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        LeasedOptions options = threeKinds(seed, 0.5);
        options.faults = lateCallFaults();
        const LeasedResult result = LeasedFleet(options).run();
        INFO(joinLines(result.violations));
        REQUIRE(result.violations.empty());
        REQUIRE(result.runs > 100);
    }
}

// Guards against second runs after suspensions, restarts of workers, and messages that name another worker.
TEST_CASE("no task runs twice after suspensions and stray announcements", "[Scheduling][fleet]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        LeasedOptions options = threeKinds(seed, 0.5);
        options.faults = suspensionAndStrayFaults();
        const LeasedResult result = LeasedFleet(options).run();
        INFO(joinLines(result.violations));
        REQUIRE(result.violations.empty());
        REQUIRE(result.runs > 100);
    }
}

// Guards against runs whose time to end counts from a sign of life of the entry that is newer than its reading of the
// callers' connections.
TEST_CASE("no task runs twice after short stalls in which callers leave", "[Scheduling][fleet]")
{
    requireNoViolation(stallFaults());
}

// Guards against the same where the ends of the callers' connections reach the entry late.
TEST_CASE("no task runs twice while links to callers are slow", "[Scheduling][fleet]")
{
    requireNoViolation(slowCallerFaults());
}

// Guards against a run that outlasts the return of its caller because the end of the connection arrived late.
TEST_CASE("no task runs twice while links to callers are slow with seed 39", "[Scheduling][fleet]")
{
    requireNoViolation(slowCallerFaults(), 39);
}

// Guards against starts that are carried out after the sidecar that sent them lost power.
TEST_CASE("no task runs twice after late starts of sidecars that lost power", "[Scheduling][fleet]")
{
    requireNoViolation(lateStartFaults());
}

// Guards against a late start beside a run of the same job after its caller has come back.
TEST_CASE("no task runs twice after late starts of sidecars that lost power with seed 14", "[Scheduling][fleet]")
{
    requireNoViolation(lateStartFaults(), 14);
}

// The same: a seed plays another schedule whenever the placement changes.
TEST_CASE("no task runs twice after late starts of sidecars that lost power with seed 25", "[Scheduling][fleet]")
{
    requireNoViolation(lateStartFaults(), 25);
}

// Guards against second runs after orderly replacements, departures of workers and jumps of the time of day.
TEST_CASE("no task runs twice while sidecars are replaced and workers leave", "[Scheduling][fleet]")
{
    requireNoViolation(replacementFaults());
}

// Guards against starts of earlier sidecars that a restarted worker executes after a jump of the time of day.
TEST_CASE("no task runs twice while sidecars and workers restart and the time of day jumps", "[Scheduling][fleet]")
{
    requireNoViolation(clockJumpFaults());
}

// Guards against the same where it was seen: a first token below that of an open start of the predecessor.
TEST_CASE("no task runs twice after jumps of the time of day below the token of an open start", "[Scheduling][fleet]")
{
    for (const std::uint64_t seed : { 27, 31, 59 })
        requireNoViolation(clockJumpFaults(), seed);
}

// Guards against second runs of jobs that the same entry admits more than once.
TEST_CASE("no task runs twice when callers leave and return to the same entry", "[Scheduling][fleet]")
{
    requireNoViolation(returningCallerFaults());
}

// Guards against jobs that are refused as not run although a worker began a task of them and restarted under its id
// before it answered.
TEST_CASE("no job that a restarted worker had begun is refused as not run", "[Scheduling][fleet]")
{
    // An overload takes several times as long to play as the other mixes.
    for (std::uint64_t seed = 1; seed <= (seedCount() + 2) / 3; ++seed) {
        INFO("seed " << seed);
        const LeasedResult result = LeasedFleet(overloadedRestarts(seed)).run();
        INFO(joinLines(result.violations));
        REQUIRE(result.violations.empty());
        REQUIRE(result.runs > 100);
    }
}

// Guards against checks that detect nothing: with a mechanism off, some seed violates an invariant.
TEST_CASE("the fleet's checks detect a disabled mechanism", "[Scheduling][fleet]")
{
    const auto violatesInvariant = [](const LeasedFaults& faults, const LeasedMechanisms& mechanisms) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LeasedOptions options = threeKinds(seed, 0.6);
            options.faults = faults;
            options.mechanisms = mechanisms;
            if (!LeasedFleet(options).run().violations.empty())
                return true;
        }
        return false;
    };
    LeasedFaults manyKills = manyFaults();
    manyKills.entryKills = 40;
    LeasedMechanisms mechanisms;
    // Either of the two bounds the runs of a failed entry.
    mechanisms.isEntryTimeoutEnabled = false;
    mechanisms.isLeaseLimited = false;
    CHECK(violatesInvariant(manyKills, mechanisms));
    mechanisms = {};
    mechanisms.isLeaseLimited = false;
    // Stalled runs of entries that fail while most stops are late.
    LeasedFaults lateStops;
    lateStops.lateOrders = 0.95;
    lateStops.entryKills = 90;
    lateStops.degradedWorkers = 300;
    CHECK(violatesInvariant(lateStops, mechanisms));
    mechanisms = {};
    mechanisms.isUnreachableTimeoutEnabled = false;
    CHECK(violatesInvariant(manyKills, mechanisms));
    mechanisms = {};
    mechanisms.isSuspensionCounted = false;
    CHECK(violatesInvariant(suspensionAndStrayFaults(), mechanisms));
    mechanisms = {};
    mechanisms.areCallersChecked = false;
    CHECK(violatesInvariant(suspensionAndStrayFaults(), mechanisms));
    LeasedOptions restarts = overloadedRestarts(1);
    restarts.mechanisms.areIncarnationsDistinct = false;
    CHECK_FALSE(LeasedFleet(restarts).run().violations.empty());
}

// Guards against an overload in which kinds of small demand are refused as often as the kind that causes it.
TEST_CASE("kinds of small demand are served while another one floods the fleet", "[Scheduling][fleet]")
{
    LeasedOptions options = threeKinds(3, 0.8);
    options.kinds[2].jobsPerSecond *= 2.5;
    const LeasedResult result = LeasedFleet(options).run();
    REQUIRE(result.violations.empty());
    const auto share = [&](std::size_t kind) {
        return static_cast<double>(result.kinds[kind].inTime) / static_cast<double>(result.kinds[kind].submitted);
    };
    REQUIRE(share(0) > 0.9);
    REQUIRE(share(1) > 0.9);
}

// Guards against entries that order on the same workers simultaneously, so that most orders are returned without a
// start: with many entries and workers a job of 8 tasks took 23 orders.
TEST_CASE("few orders are returned when many entries share many workers", "[Scheduling][fleet]")
{
    LeasedOptions options = threeKinds(5, 6 * 0.75);
    options.entries = 13;
    options.workers = 74;
    options.duration = std::chrono::seconds(4);
    const LeasedResult result = LeasedFleet(options).run();
    INFO(joinLines(result.violations));
    REQUIRE(result.violations.empty());
    INFO(result.ordersReturned << " of " << result.orders << " orders returned, " << result.messages << " messages");
    CHECK(result.ordersReturned * 10 < result.orders);
    for (const LeasedKindResult& kind : result.kinds)
        CHECK(static_cast<double>(kind.inTime) > 0.9 * static_cast<double>(kind.submitted));
}
