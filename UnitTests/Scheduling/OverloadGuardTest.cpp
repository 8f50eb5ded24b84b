#include "celeryswitch/Scheduling/OverloadGuard.h"
#include "celeryswitch/Scheduling/DecisionPacer.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;

namespace {

constexpr std::chrono::milliseconds tick { 50 };

// A guard whose event loop is observed with a lag, and queues that get requests between two observations.
class GuardFixture {
public:
    void observe(std::chrono::milliseconds lag)
    {
        this->clock.advance(tick + lag);
        this->guard.loopObserved(this->clock.steadyNow(), lag);
    }
    std::size_t admitted(const std::string& queue, std::size_t requests)
    {
        std::size_t count = 0;
        for (std::size_t request = 0; request < requests; ++request)
            count += this->guard.admits(this->clock.steadyNow(), queue) ? 1 : 0;
        return count;
    }

    Core::ManualClock clock;
    OverloadGuard guard;
};

}

// Guards against an entry that goes on to read requests that it can't serve any more.
TEST_CASE("a standing lag of the event loop makes the guard refuse requests", "[Scheduling]")
{
    GuardFixture fixture;
    for (int observation = 0; observation < 20; ++observation) {
        fixture.admitted("stamp", 100);
        fixture.observe(std::chrono::milliseconds(80));
    }
    CHECK(fixture.guard.refusedShare() > 0.5);
    CHECK(fixture.admitted("stamp", 100) < 50);
    CHECK(fixture.guard.retryDelay("a") >= std::chrono::seconds(1));
}

// Guards against refusals after the processor has caught up, and against a queue that never gets a request through.
TEST_CASE("the guard takes all requests again soon after the lag is gone", "[Scheduling]")
{
    GuardFixture fixture;
    for (int observation = 0; observation < 20; ++observation) {
        fixture.admitted("stamp", 100);
        fixture.observe(std::chrono::milliseconds(200));
    }
    CHECK(fixture.admitted("stamp", 1000) > 0);
    for (int observation = 0; observation < 60; ++observation)
        fixture.observe(std::chrono::milliseconds(0));
    CHECK(fixture.guard.refusedShare() == 0);
    CHECK(fixture.admitted("stamp", 100) == 100);
}

// Guards against refusals because a process or its machine was stopped for a moment.
TEST_CASE("a single late observation refuses nothing", "[Scheduling]")
{
    GuardFixture fixture;
    fixture.observe(std::chrono::milliseconds(0));
    fixture.observe(std::chrono::milliseconds(3000));
    fixture.observe(std::chrono::milliseconds(0));
    CHECK(fixture.guard.refusedShare() == 0);
    CHECK(fixture.admitted("stamp", 100) == 100);
}

// Guards against refusals because the process was stopped once while a small share is refused.
TEST_CASE("a single stop does not raise the refused share", "[Scheduling]")
{
    GuardFixture fixture;
    for (int observation = 0; observation < 4; ++observation)
        fixture.observe(std::chrono::milliseconds(12));
    const double before = fixture.guard.refusedShare();
    REQUIRE(before > 0);
    fixture.observe(std::chrono::milliseconds(2000));
    fixture.observe(std::chrono::milliseconds(0));
    CHECK(fixture.guard.refusedShare() <= before + 0.02);
}

// Guards against a flood of one queue that starves the others.
TEST_CASE("the surplus is refused from the queues with the most requests", "[Scheduling]")
{
    GuardFixture fixture;
    std::size_t rareAdmitted = 0;
    std::size_t frequentAdmitted = 0;
    for (int observation = 0; observation < 20; ++observation) {
        rareAdmitted += fixture.admitted("settle", 2);
        frequentAdmitted += fixture.admitted("stamp", 60);
        fixture.observe(std::chrono::milliseconds(40));
    }
    CHECK(fixture.guard.refusedShare() > 0);
    CHECK(rareAdmitted == 40);
    CHECK(frequentAdmitted < 1200);
}

// Guards against decisions on every message of an entry that is behind.
TEST_CASE("decisions pause for a multiple of the time that they took", "[Scheduling]")
{
    DecisionPacer pacer;
    const Core::SteadyTime start = Core::ManualClock().steadyNow();
    CHECK(pacer.nextAt() <= start);
    pacer.decided(start, start + std::chrono::microseconds(500));
    CHECK(pacer.nextAt() == start + std::chrono::microseconds(2500));
    pacer.decided(start, start + std::chrono::seconds(2));
    CHECK(pacer.nextAt() == start + std::chrono::milliseconds(2005));
}
