#include "celeryswitch/Scheduling/DeferredRequests.h"
#include <catch2/catch.hpp>
#include <string>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

namespace {

// The requests that were handled, in order.
struct Recorded {
    DeferredRequests<std::string> requests { 2, [this](DeferredRequests<std::string>::Arrival arrival) {
                                                this->handled.push_back(arrival.request);
                                                this->arrivalTimes.push_back(arrival.arrivedAt);
                                            } };
    std::vector<std::string> handled;
    std::vector<Core::SteadyTime> arrivalTimes;
    Core::SteadyTime start { 1000s };
};

}

// Guards against a job that runs although it was cancelled: its submission was deferred during a stall, and its
// cancellation, which arrived right after the stall, was handled first and found no job.
TEST_CASE("a request does not overtake one that was deferred before it", "[Scheduling]")
{
    Recorded fixture;
    REQUIRE(fixture.requests.receive(fixture.start, false, "POST 1"));
    REQUIRE(fixture.handled.empty());
    REQUIRE(fixture.requests.receive(fixture.start + 10ms, true, "DELETE 1"));
    REQUIRE(fixture.handled == std::vector<std::string> { "POST 1", "DELETE 1" });
    // The time that a request waited counts for its job.
    REQUIRE(fixture.arrivalTimes == std::vector<Core::SteadyTime> { fixture.start, fixture.start + 10ms });
}

// Guards against requests that are handled twice, without a routing document, or for a caller that has gone.
TEST_CASE("deferred requests are bounded and can be taken back", "[Scheduling]")
{
    Recorded fixture;
    REQUIRE(fixture.requests.receive(fixture.start, false, "a"));
    REQUIRE(fixture.requests.receive(fixture.start + 10ms, false, "b"));
    REQUIRE_FALSE(fixture.requests.receive(fixture.start + 20ms, false, "c"));
    REQUIRE(fixture.requests.takeUntil(fixture.start + 5ms) == std::vector<std::string> { "a" });
    REQUIRE(fixture.requests.receive(fixture.start + 30ms, false, "d"));
    fixture.requests.eraseIf([](const std::string& request) { return request == "b"; });
    fixture.requests.handleAll();
    fixture.requests.handleAll();
    REQUIRE(fixture.handled == std::vector<std::string> { "d" });
}
