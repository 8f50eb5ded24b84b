#include "UnitTests/Workers/SupervisorFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

// A supervisor with an announced worker of 32 cores, and two live entries on connections 1 and 2.
struct TwoEntries : SupervisorFixture {
    TwoEntries()
    {
        this->connect(1, "entry-1");
        this->connect(2, "entry-2");
        this->liveConnections = { 1, 2 };
        this->announceWorker();
    }
};

}

// Guards against tasks that start because of a reservation alone, and against room that is offered but taken.
TEST_CASE("reserved room is offered when it is free, and nothing starts in it by itself", "[Workers]")
{
    TwoEntries fixture;
    fixture.startTasks(1, 1, 10);
    fixture.reserve(2, 7);
    fixture.advance(100ms);
    REQUIRE(fixture.offers.empty());
    fixture.advance(105ms);
    REQUIRE(fixture.offers == std::vector<std::pair<std::uint64_t, std::uint64_t>> { { 2, 7 } });
    REQUIRE(fixture.worker.history().size() == 10);
    fixture.startReserved(2, 7, 50);
    fixture.advance(2ms);
    REQUIRE(fixture.historyOf(50).size() == 1);
}

// Guards against a start in offered room that loses the room to a run that was queued meanwhile.
TEST_CASE("a run starts in the room that was offered for it", "[Workers]")
{
    TwoEntries fixture;
    fixture.startTasks(1, 1, 9);
    fixture.reserve(2, 7);
    fixture.advance(2ms);
    REQUIRE(fixture.offers.size() == 1);
    // Of higher rank, but the room is promised.
    fixture.startTasks(1, 2, 1, 3000, 100);
    fixture.advance(2ms);
    REQUIRE(fixture.historyOf(2).empty());
    fixture.startReserved(2, 7, 50);
    fixture.advance(2ms);
    REQUIRE(fixture.historyOf(50).size() == 1);
    REQUIRE(fixture.historyOf(2).empty());
}

// Guards against room that stays unused because an entry does not answer an offer.
TEST_CASE("offered room is withdrawn when the entry does not use it in time", "[Workers]")
{
    TwoEntries fixture;
    fixture.startTasks(1, 1, 9);
    fixture.reserve(2, 7);
    fixture.advance(2ms);
    REQUIRE(fixture.offers.size() == 1);
    fixture.startTasks(1, 2);
    fixture.advance(40ms);
    REQUIRE(fixture.historyOf(2).size() == 1);
    // The late answer waits like any other order.
    fixture.startReserved(2, 7, 50);
    fixture.advance(2ms);
    REQUIRE(fixture.historyOf(50).empty());
}

// Guards against room that is kept for entries that are gone or need it no more.
TEST_CASE("released reservations and those of a lost connection hold no room", "[Workers]")
{
    TwoEntries fixture;
    fixture.startTasks(1, 1, 8);
    fixture.reserve(2, 7, 2);
    fixture.advance(2ms);
    REQUIRE(fixture.offers.size() == 2);
    fixture.startTasks(1, 2, 2);
    fixture.supervisor->messageReceived(fixture.now(), 2, Messages::ReleaseRoom { 0, { 7 } });
    fixture.advance(2ms);
    REQUIRE(fixture.historyOf(2).size() == 2);
    fixture.advance(250ms);
    fixture.startTasks(1, 3, 9);
    fixture.reserve(2, 8, 3);
    fixture.advance(2ms);
    REQUIRE(fixture.offers.size() == 3);
    fixture.supervisor->entryDisconnected(fixture.now(), 2);
    fixture.startTasks(1, 4);
    fixture.advance(2ms);
    REQUIRE(fixture.historyOf(4).size() == 1);
    fixture.advance(300ms);
    REQUIRE(fixture.offers.size() == 3);
}

// Guards against reservations that overtake more valuable runs, or hold them up.
TEST_CASE("reservations and runs wait in one order of rank", "[Workers]")
{
    TwoEntries fixture;
    fixture.startTasks(1, 1, 10);
    fixture.reserve(2, 7, 1, 3000, 4);
    fixture.startTasks(1, 2, 1, 3000, 16);
    fixture.startTasks(1, 3, 1, 3000, 1);
    fixture.advance(20ms);
    REQUIRE(fixture.load.queued.size() == 3);
    REQUIRE(fixture.load.queued[1].milliCores == 3000);
    fixture.advance(200ms);
    REQUIRE(fixture.offers.size() == 1);
    REQUIRE(fixture.historyOf(2).size() == 1);
    REQUIRE(fixture.historyOf(3).size() == 1);
}

// Guards against offers to an entry whose runs could outlive it, and against a queue that waits for such an entry.
TEST_CASE("an entry that has fallen silent is offered no room and blocks nobody", "[Workers]")
{
    TwoEntries fixture;
    fixture.liveConnections = { 1 };
    fixture.startTasks(1, 1, 10);
    fixture.reserve(2, 7, 1, 3000, 50, 5s);
    fixture.advance(800ms);
    fixture.startTasks(1, 2);
    fixture.advance(10ms);
    REQUIRE(fixture.historyOf(2).size() == 1);
    REQUIRE(fixture.offers.size() <= 1);
}

// Guards against unusable amounts from another process.
TEST_CASE("reservations of no room or of too many units are ignored", "[Workers]")
{
    TwoEntries fixture;
    fixture.reserve(1, 7, 0);
    fixture.reserve(1, 8, 4'000'000'000U, 0);
    fixture.reserve(1, 9, 1, 33'000);
    fixture.advance(2ms);
    REQUIRE(fixture.offers.empty());
}

// Guards against a worker that stays on probation because a reservation, which is no probe, is first in its queue.
TEST_CASE("a reservation holds up no probe of a worker on probation", "[Workers]")
{
    TwoEntries fixture;
    fixture.plan.isFailing = true;
    fixture.startTasks(1, 1, 4);
    fixture.advance(210ms);
    REQUIRE(fixture.load.isOnProbation);
    fixture.reserve(2, 7, 1, 3000, 50, 5s);
    fixture.startTasks(1, 2, 1, 3000, 1, 2s);
    fixture.advance(400ms);
    REQUIRE(fixture.offers.empty());
    REQUIRE(!fixture.historyOf(2).empty());
}

// Guards against room of an earlier life of an entry that is offered to, or used by, a reservation of the same number.
TEST_CASE("reservations of a restarted entry begin anew", "[Workers]")
{
    TwoEntries fixture;
    fixture.startTasks(1, 1, 9);
    fixture.reserve(2, 1);
    fixture.reserve(2, 2, 3);
    fixture.advance(2ms);
    REQUIRE(fixture.offers.size() == 1);
    fixture.connect(3, "entry-2", 2);
    fixture.liveConnections = { 1, 3 };
    // Of lower rank than the queued run, so that it starts first only in room held for it.
    fixture.startTasks(1, 2, 1, 3000, 100);
    fixture.startReserved(3, 1, 50);
    fixture.advance(2ms);
    CHECK(fixture.historyOf(2).size() == 1);
    CHECK(fixture.historyOf(50).empty());
    fixture.advance(300ms);
    CHECK(fixture.offers.size() == 1);
}

// Guards against a second run of a task that is ordered in reserved room while its first one has not ended.
TEST_CASE("an order in reserved room waits for no run of the same task and starts none beside it", "[Workers]")
{
    TwoEntries fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 50);
    fixture.advance(10ms);
    fixture.reserve(2, 7);
    fixture.advance(2ms);
    REQUIRE(fixture.offers.size() == 1);
    fixture.startReserved(2, 7, 50);
    fixture.advance(300ms);
    REQUIRE(fixture.historyOf(50).size() == 1);
    CHECK(fixture.historyOf(50).front().end == RunEnd::Stopped);
    const auto reports = fixture.reportsOf(50);
    CHECK(std::any_of(reports.begin(), reports.end(),
        [](const Messages::RunReport& report) { return report.refusal == RunRefusal::TaskBusy; }));
}
