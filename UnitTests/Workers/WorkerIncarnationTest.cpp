// Which incarnation of a worker runs start on, when the worker crashes and returns under its id.
#include "UnitTests/Workers/SupervisorFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

using Messages::RunEnd;
using Messages::RunRefusal;

// Whether each of `tasks` runs of a job was reported as not started because of the worker's incarnation.
bool areRefused(const SupervisorFixture& fixture, std::uint64_t job, std::size_t tasks)
{
    const std::vector<Messages::RunReport> reports = fixture.reportsOf(job);
    return reports.size() == tasks && std::all_of(reports.begin(), reports.end(), [](const auto& report) {
        return report.end == RunEnd::NotStarted && report.refusal == RunRefusal::OtherIncarnation;
    });
}

}

// Guards against tasks that start on a worker without the label that they need, or beyond its capacity: the entry chose
// the worker for what an earlier incarnation announced.
TEST_CASE("an order that names an earlier incarnation of the worker is not started", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.areStartsIdentified = false;
    SECTION("of the same capacity") { fixture.restartWorker(90'000); }
    SECTION("of a smaller capacity") { fixture.restartWorker(90'000, { 8'000, 65'536, 0 }); }
    fixture.announceWorker();
    fixture.advance(50ms);
    REQUIRE(fixture.supervisor->workerProfile()->bornAt == 90'000);
    fixture.orderedBornAt = 77;
    fixture.startTasks(1, 1, 2);
    fixture.advance(50ms);
    CHECK(fixture.historyOf(1).empty());
    CHECK(areRefused(fixture, 1, 2));
    fixture.orderedBornAt = 90'000;
    fixture.startTasks(1, 2, 2);
    fixture.advance(50ms);
    CHECK(fixture.historyOf(2).size() == 2);
}

// Guards against the same where the sidecar has not noticed the crash, since it had no call open at that time.
TEST_CASE("nothing starts on an incarnation of the worker that is not identified", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.advance(1500ms);
    const std::int64_t milliCores = 3000;
    SECTION("of the same capacity") { fixture.restartWorker(90'000); }
    SECTION("of a smaller capacity") { fixture.restartWorker(90'000, { 8'000, 65'536, 0 }); }
    fixture.startTasks(1, 1, 8, milliCores);
    fixture.advance(50ms);
    CHECK(fixture.historyOf(1).empty());
    CHECK(areRefused(fixture, 1, 8));
    CHECK_FALSE(fixture.load.isReady);
    // Its kind and capacity become known with its first announcement.
    fixture.startTasks(1, 2);
    fixture.advance(50ms);
    CHECK(fixture.historyOf(2).empty());
    fixture.announceWorker();
    fixture.advance(50ms);
    CHECK(fixture.load.isReady);
    fixture.startTasks(1, 3);
    fixture.advance(50ms);
    CHECK(fixture.historyOf(3).size() == 1);
}

// Guards against the same for runs that waited for room on the earlier incarnation.
TEST_CASE("queued runs and reservations do not outlast the incarnation that they wait for", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1, 10);
    fixture.advance(5ms);
    fixture.startTasks(1, 2, 2, 3000, 1, 3s);
    fixture.reserve(1, 7, 1, 3000, 1, 3s);
    fixture.advance(5ms);
    REQUIRE(fixture.historyOf(1).size() == 10);
    REQUIRE(fixture.reportsOf(2).empty());
    REQUIRE(fixture.offers.empty());
    fixture.restartWorker(90'000, { 8'000, 65'536, 0 });
    fixture.announceWorker();
    fixture.advance(1s);
    REQUIRE(fixture.load.isReady);
    CHECK(fixture.historyOf(2).empty());
    CHECK(areRefused(fixture, 2, 2));
    CHECK(fixture.offers.empty());
}

// Guards against an entry that goes on with an old profile, whose orders are all refused, because the update with the
// present one was lost with its connection.
TEST_CASE("an entry that connects again is told the profile of the worker again", "[Workers]")
{
    ReadySupervisor fixture;
    std::vector<std::int64_t> told;
    fixture.onUpdate = [&](std::uint64_t connection, const Messages::WorkerUpdate& update) {
        for (const Messages::WorkerProfile& profile : update.profile) {
            if (connection == 2)
                told.push_back(profile.bornAt);
        }
    };
    fixture.supervisor->entryDisconnected(fixture.now(), 1);
    fixture.connect(2, "entry-1");
    fixture.liveConnections = { 2 };
    fixture.advance(50ms);
    CHECK(told == std::vector<std::int64_t> { 77 });
}
