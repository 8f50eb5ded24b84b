// What a RunSupervisor concludes from lists of which rows could not be read.
#include "UnitTests/Workers/SupervisorFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

// A supervisor with a live entry on connection 1, whose worker lists rows that can't be read.
struct UnreadableRows : SupervisorFixture {
    UnreadableRows()
    {
        this->connect(1, "entry-1");
        this->liveConnections = { 1 };
    }
    // Makes the rows of a job unreadable; for job 0 the unreadable row is that of another writer.
    void hideRunning(std::uint64_t job)
    {
        this->alterResult = [job](CallResult& result) {
            std::erase_if(result.running, [job](const auto& row) { return row.task.job == job; });
            result.hasUnreadableRunning = true;
        };
    }
    void hideEnded(std::uint64_t job)
    {
        this->alterResult = [job](CallResult& result) {
            result.hasUnreadableEnded
                = std::erase_if(result.ended, [job](const auto& row) { return row.task.job == job; }) > 0;
        };
    }
    // Advances until a run of the job is reported as ended. Returns false if it still runs then.
    bool isNeverReportedEarly(std::uint64_t job, Core::Duration span)
    {
        for (Core::Duration passed {}; passed < span; passed += 1ms) {
            this->advance(1ms);
            if (this->isReportedEnded(job))
                return !this->isRunning(job);
        }
        return true;
    }
};

}

// Guards against a second run of a task whose first run seems gone because its row was left out.
TEST_CASE("a run whose row can't be read is not reported as ended while it runs", "[Workers]")
{
    UnreadableRows fixture;
    fixture.announceWorker();
    fixture.plan.time = 4s;
    fixture.startTasks(1, 1);
    fixture.startTasks(1, 2);
    fixture.advance(100ms);
    fixture.hideRunning(1);
    SECTION("stop answered") { }
    SECTION("stop unanswered") { fixture.areStopsLost = true; }
    REQUIRE(fixture.isNeverReportedEarly(1, 3s));
    CHECK(fixture.isReportedEnded(1));
}

// Guards against a worker that is lost for as long as it lists a row of another writer.
TEST_CASE("a row of another writer takes no run from its worker", "[Workers]")
{
    UnreadableRows fixture;
    fixture.hideRunning(0);
    fixture.announceWorker();
    // Its predecessor's runs may be behind the row until their lease is over.
    fixture.advance(900ms);
    CHECK_FALSE(fixture.load.isReady);
    fixture.advance(400ms);
    CHECK(fixture.load.isReady);
    fixture.plan.time = 2s;
    fixture.startTasks(1, 1);
    fixture.advance(2ms);
    fixture.plan.time = 200ms;
    fixture.startTasks(1, 2);
    fixture.advance(2100ms);
    for (const std::uint64_t job : { 1U, 2U }) {
        INFO(job);
        REQUIRE(fixture.historyOf(job).size() == 1);
        CHECK(fixture.historyOf(job).front().end == RunEnd::Done);
        CHECK(fixture.reportsOf(job).back().end == RunEnd::Done);
    }
}

// Guards against a claim that is answered as lost although the claimed run is behind a row that can't be read.
TEST_CASE("a restarted sidecar answers no claim from a list with an unreadable row while the run may last", "[Workers]")
{
    UnreadableRows fixture;
    fixture.announceWorker();
    fixture.plan.time = 4s;
    fixture.startTasks(1, 1);
    fixture.advance(100ms);
    fixture.restart(6);
    fixture.hideRunning(1);
    fixture.connect(2, "entry-1");
    fixture.liveConnections = { 2 };
    fixture.claim(2, { 1 });
    fixture.supervisor->workerAnnounced(fixture.now(), fixture.worker.announcement(fixture.now()));
    REQUIRE(fixture.isNeverReportedEarly(1, 2s));
    CHECK(fixture.isReportedEnded(1));
}

// Guards against a start that waits for ever behind a row that can't be read, and blocks its worker.
TEST_CASE("an unanswered start that never arrives is settled beside an unreadable row", "[Workers]")
{
    UnreadableRows fixture;
    fixture.announceWorker();
    fixture.hideRunning(0);
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.advance(2500ms);
    CHECK(fixture.isReportedEnded(1));
    fixture.startTasks(1, 2);
    fixture.advance(300ms);
    REQUIRE(fixture.historyOf(2).size() == 1);
    CHECK(fixture.historyOf(2).front().end == RunEnd::Done);
}

// Guards against a run of which the caller is told that it never started, because its end could not be read.
TEST_CASE("a run whose end can't be read counts as lost and not as never started", "[Workers]")
{
    UnreadableRows fixture;
    fixture.announceWorker();
    fixture.plan.time = 10ms;
    fixture.hideEnded(1);
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.advance(2ms);
    REQUIRE(fixture.lostCalls.size() == 1);
    fixture.worker.handle(fixture.now(), fixture.lostCalls.front(), 999'999);
    fixture.advance(200ms);
    REQUIRE(fixture.historyOf(1).size() == 1);
    REQUIRE(fixture.reportsOf(1).size() == 1);
    CHECK(fixture.reportsOf(1).front().end == RunEnd::Lost);
}

// Guards against calls without pause while a worker answers at once because of an end that can't be acknowledged.
TEST_CASE("an end that can't be read causes no burst of calls", "[Workers]")
{
    UnreadableRows fixture;
    fixture.announceWorker();
    fixture.hideEnded(1);
    fixture.plan.time = 10ms;
    fixture.startTasks(1, 1);
    fixture.advance(2ms);
    fixture.plan.time = 900ms;
    fixture.startTasks(1, 2);
    fixture.advance(50ms);
    const std::size_t before = fixture.calls.size();
    fixture.advance(500ms);
    CHECK(fixture.calls.size() - before < 120);
    fixture.advance(500ms);
    CHECK(fixture.reportsOf(2).back().end == RunEnd::Done);
}

// Guards against a run that seems gone because another row names its task with another run number.
TEST_CASE("a run is listed whatever other rows name its task", "[Workers]")
{
    UnreadableRows fixture;
    fixture.announceWorker();
    fixture.plan.time = 900ms;
    fixture.startTasks(1, 1);
    fixture.areStopsLost = true;
    fixture.alterResult = [](CallResult& result) {
        if (!result.running.empty()) {
            RunningRunRecord other = result.running.front();
            other.run = 0;
            result.running.insert(result.running.begin(), other);
        }
    };
    REQUIRE(fixture.isNeverReportedEarly(1, 1000ms));
    CHECK(fixture.reportsOf(1).back().end == RunEnd::Done);
}
