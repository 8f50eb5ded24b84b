#include "celeryswitch/Workers/WorkerClock.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;

// Guards against a lease that counts as expired at once because its end is too far away for the clock of this process.
TEST_CASE("ends beyond the range of the clock are in the future", "[Workers]")
{
    const Core::SteadyTime now = Core::SteadyTime(std::chrono::hours(1));
    WorkerClock clock;
    clock.sample(now, 482'113);
    for (const std::int64_t end : { std::int64_t(1) << 45, (std::int64_t(1) << 53) - 1, INT64_MAX }) {
        INFO(end);
        REQUIRE(clock.certainlyPassedAt(end) > now + std::chrono::hours(24 * 365));
    }
    REQUIRE(clock.certainlyPassedAt(482'113 + 980) == now + std::chrono::seconds(1));
}

// Guards against a reading that no sum holds, and after which every true one counts as old.
TEST_CASE("readings that no clock of a worker reaches are ignored", "[Workers]")
{
    const Core::SteadyTime now = Core::SteadyTime(std::chrono::hours(1));
    for (const std::int64_t odd : { INT64_MAX, std::int64_t(1) << 53, std::int64_t(-1), INT64_MIN }) {
        INFO(odd);
        WorkerClock clock;
        clock.sample(now, odd);
        REQUIRE_FALSE(clock.isKnown());
        clock.sample(now, 1000);
        clock.sample(now, odd);
        REQUIRE(clock.at(now + std::chrono::seconds(1)) == 2000);
        REQUIRE(clock.lowestAt(now + std::chrono::seconds(1)) == 1980);
    }
}
