#include "celeryswitch/Scheduling/KindModel.h"
#include <catch2/catch.hpp>
#include <random>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

const Core::SteadyTime start { std::chrono::seconds(100) };

}

// Guards against estimates that follow declarations which are far off.
TEST_CASE("times are learned from what declared times have meant so far", "[Scheduling]")
{
    KindModel model(start);
    REQUIRE(model.stepTime(0.9).seconds == Approx(0.9));
    std::mt19937 generator(1);
    std::lognormal_distribution<double> actual(std::log(0.3), 0.3);
    std::lognormal_distribution<double> error(std::log(3.0), 0.3);
    for (int count = 0; count < 400; ++count) {
        const double time = actual(generator);
        model.observed(time * error(generator), time, time * 0.9);
    }
    // A declaration tells half of what it says when it is as uncertain as the times themselves.
    const double low = model.stepTime(0.45).seconds;
    const double middle = model.stepTime(0.9).seconds;
    const double high = model.stepTime(1.8).seconds;
    REQUIRE(middle == Approx(0.3).epsilon(0.15));
    REQUIRE(high / middle == Approx(std::sqrt(2.0)).epsilon(0.25));
    REQUIRE(middle / low == Approx(std::sqrt(2.0)).epsilon(0.25));
    REQUIRE(model.stepTime(0.9).deviation < 0.3);
    REQUIRE(model.taskSeconds(0.9) < middle);
}

// Guards against chances that are taken for certain, and the other way round.
TEST_CASE("probabilities follow the estimate's spread", "[Scheduling]")
{
    const TimeEstimate estimate { 1.0, 0.3 };
    REQUIRE(estimate.probabilityAbove(1.0) == Approx(0.5));
    REQUIRE(estimate.probabilityAbove(2.0) < 0.02);
    REQUIRE(estimate.probabilityAbove(0.5) > 0.98);
    REQUIRE(estimate.probabilityAbove(0) == 1);
}

// Guards against a demand that looks small only because the kind has just become known.
TEST_CASE("demand is right from the first seconds on", "[Scheduling]")
{
    KindModel model(start);
    for (int tenth = 0; tenth < 20; ++tenth)
        model.arrived(start + std::chrono::milliseconds(100 * tenth), 0.5);
    REQUIRE(model.demand(start + std::chrono::seconds(2)) == Approx(5).epsilon(0.1));
}
