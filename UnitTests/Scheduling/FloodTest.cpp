#include "celeryswitch/Experiment/LeasedFleet.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Experiment;

namespace {

constexpr std::size_t floodBegin = 2;
constexpr std::size_t floodEnd = 8;

// A fifth of a fleet of 240 workers: tasks of about 15 cores on workers of 64 and 96, at 1.1 times the usual load. The
// kind of the longest tasks floods in while two fifths of the sidecars are cut off, so that the work asked for is about
// 1.4 times the room.
LeasedOptions floodWithLostRoom(std::uint64_t seed)
{
    constexpr double load = 1.1 / 5;
    LeasedOptions options;
    options.seed = seed;
    options.duration = std::chrono::seconds(10);
    options.entries = 11;
    options.workers = 48;
    options.workerClasses = { { 64'000, 1 }, { 64'000, 1 }, { 96'000, 1.3 } };
    options.kinds = { { "preview", 309 * load, 0.06, 0.4, 8, 15'000, 2, 0.002 },
        { "quote", 56.2 * load, 0.9, 0.4, 4, 15'000, 2, 0.002 },
        { "check", 901 * load, 0.2, 0.4, 2, 15'000, 2, 0.002 } };
    // Jobs of each kind are worth the same in sum.
    for (LeasedJobKind& kind : options.kinds)
        kind.value = 1 / kind.jobsPerSecond;
    options.kinds[1].priority = 2;
    options.kinds[2].priority = 1;
    const LeasedPeriod flood { std::chrono::seconds(floodBegin), std::chrono::seconds(floodEnd - floodBegin) };
    options.kinds[1].floodFactor = 2.5;
    options.kinds[1].flood = flood;
    options.cutOffShare = 0.4;
    options.cutOff = flood;
    return options;
}

struct FloodResult {
    double all = 0;
    double preview = 0;
    double returnedShare = 0;
};

// Shares of the value owed during the flood, as a mean over some seeds.
FloodResult playFlood(std::uint32_t reservationsPerTask)
{
    constexpr std::uint64_t seeds = 3;
    FloodResult mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LeasedOptions options = floodWithLostRoom(seed);
        options.reservationsPerTask = reservationsPerTask;
        const LeasedResult result = LeasedFleet(options).run();
        REQUIRE(result.violations.empty());
        LeasedValue sum;
        for (const LeasedKindResult& kind : result.kinds) {
            const LeasedValue value = kind.valueOf(floodBegin, floodEnd);
            sum.owed += value.owed;
            sum.earned += value.earned;
        }
        mean.all += sum.share() / seeds;
        mean.preview += result.kinds[0].valueOf(floodBegin, floodEnd).share() / seeds;
        mean.returnedShare += static_cast<double>(result.ordersReturned) / static_cast<double>(result.orders) / seeds;
    }
    return mean;
}

}

// Guards against an overload in which jobs of many short tasks are late because one of their tasks waits in a slow
// queue while other workers release room: with room reserved on a single worker for each task, a quarter of them are.
TEST_CASE("short jobs are in time while a flood meets lost room", "[Scheduling][fleet]")
{
    const FloodResult result = playFlood(Scheduling::SchedulerSettings {}.reservationsPerTask);
    const FloodResult bound = playFlood(1);
    INFO("all " << result.all << ", previews " << result.preview << "; with one reservation a task: all " << bound.all
                << ", previews " << bound.preview);
    CHECK(result.all >= 0.75);
    CHECK(result.preview >= 0.75);
    CHECK(result.returnedShare < 0.1);
    CHECK(bound.preview < 0.75);
}
