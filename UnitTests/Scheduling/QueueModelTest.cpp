#include "celeryswitch/Scheduling/QueueModel.h"
#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <catch2/catch.hpp>
#include <limits>
#include <random>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

const Core::SteadyTime startTime { std::chrono::seconds(100) };

}

// Guards against estimates that follow wrong declared times.
TEST_CASE("run times are estimated from past declared and actual times", "[Scheduling]")
{
    QueueModel model(startTime);
    REQUIRE(model.stepTime(0.9).medianSeconds == Approx(0.9));
    std::mt19937 generator(1);
    std::lognormal_distribution<double> actual(std::log(0.3), 0.3);
    std::lognormal_distribution<double> error(std::log(3.0), 0.3);
    for (int count = 0; count < 400; ++count) {
        const double time = actual(generator);
        model.recordStep(time * error(generator), time, time * 0.9);
    }
    // When declared times vary as much as actual ones, the estimate grows with the square root of the declared time.
    const double low = model.stepTime(0.45).medianSeconds;
    const double middle = model.stepTime(0.9).medianSeconds;
    const double high = model.stepTime(1.8).medianSeconds;
    REQUIRE(middle == Approx(0.3).epsilon(0.15));
    REQUIRE(high / middle == Approx(std::sqrt(2.0)).epsilon(0.25));
    REQUIRE(middle / low == Approx(std::sqrt(2.0)).epsilon(0.25));
    REQUIRE(model.stepTime(0.9).logDeviation < 0.3);
    REQUIRE(model.taskSeconds(0.9) < middle);
}

// Guards against probabilities that ignore the deviation of the estimate.
TEST_CASE("probabilities follow the estimate's deviation", "[Scheduling]")
{
    const TimeEstimate estimate { 1.0, 0.3 };
    REQUIRE(estimate.probabilityAbove(1.0) == Approx(0.5));
    REQUIRE(estimate.probabilityAbove(2.0) < 0.02);
    REQUIRE(estimate.probabilityAbove(0.5) > 0.98);
    REQUIRE(estimate.probabilityAbove(0) == 1);
}

// Guards against a demand that is too low just after a queue's first job.
TEST_CASE("demand is correct within the first seconds", "[Scheduling]")
{
    QueueModel model(startTime);
    for (int tenth = 0; tenth < 20; ++tenth)
        model.recordArrival(startTime + std::chrono::milliseconds(100 * tenth), 0.5);
    REQUIRE(model.demand(startTime + std::chrono::seconds(2)) == Approx(5).epsilon(0.1));
}

// Guards against a job that is refused at once because its goal is too far away for the clock.
TEST_CASE("times beyond the range of the clock are in the future", "[Scheduling]")
{
    const Core::SteadyTime now = Core::SteadyTime(std::chrono::hours(1));
    for (const double seconds : { 1e9, 1e10, 1e300, std::numeric_limits<double>::infinity() }) {
        INFO(seconds);
        // Read at run time, so that the compiler does not compute the sum.
        const volatile double given = seconds;
        REQUIRE(addSeconds(now, given) > now + std::chrono::hours(24 * 365));
    }
    REQUIRE(addSeconds(now, -1) == now);
    REQUIRE(addSeconds(now, std::numeric_limits<double>::quiet_NaN()) == now);
    REQUIRE(addSeconds(now, 2) == now + std::chrono::seconds(2));
}
