#include "UnitTests/Workers/SupervisorFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

// Guards against starts in an evacuated data centre from the queue, from reservations, from offered room or by an entry
// that has not heard of the evacuation, and against runs that are stopped although they may end.
TEST_CASE("nothing starts on an evacuated worker, and what runs may end", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.startTasks(1, 1, 9);
    fixture.startTasks(1, 2, 4, 3000, 1, 5s);
    fixture.reserve(1, 7, 1, 3000, 0.5F, 5s);
    fixture.advance(50ms);
    REQUIRE(fixture.worker.history().size() == 10);
    fixture.supervisor->setEvacuated(fixture.now(), true);
    fixture.startTasks(1, 3, 1, 3000, 1, 5s);
    fixture.reserve(1, 8, 1, 3000, 1, 5s);
    fixture.startReserved(1, 7, 4);
    fixture.advance(1s);
    REQUIRE(fixture.worker.history().size() == 10);
    REQUIRE(fixture.offers.empty());
    REQUIRE_FALSE(fixture.load.isReady);
    for (const std::uint64_t job : { 3, 4 }) {
        REQUIRE(fixture.reportsOf(job).back().end == Messages::RunEnd::NotStarted);
        REQUIRE(fixture.reportsOf(job).back().refusal == Messages::RunRefusal::Evacuated);
    }
    for (const Messages::RunReport& report : fixture.reportsOf(1))
        REQUIRE((report.state == Messages::RunState::Running || report.end == Messages::RunEnd::Done));

    fixture.supervisor->setEvacuated(fixture.now(), false);
    fixture.advance(50ms);
    REQUIRE(fixture.load.isReady);
    fixture.startTasks(1, 5);
    fixture.advance(50ms);
    REQUIRE(fixture.historyOf(5).size() == 1);
}
