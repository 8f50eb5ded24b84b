// Which runs a RunSupervisor may report as never started: the entry then refuses their job as not run.
#include "UnitTests/Workers/SupervisorFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

using Messages::RunEnd;

// The ends that were reported for an order.
std::vector<RunEnd> endsOf(const SupervisorFixture& fixture, const Messages::OrderedTask& ordered)
{
    std::vector<RunEnd> ends;
    for (const Messages::RunReport& report : fixture.reports) {
        if (report.ordered == ordered && report.state == Messages::RunState::Ended)
            ends.push_back(report.end);
    }
    return ends;
}

// A run of job 1 that the worker executes; the answer to its start has not arrived.
struct UnansweredRun : ReadySupervisor {
    UnansweredRun()
    {
        this->plan.time = 5s;
        this->isNextStartLost = true;
        this->startTasks(1, 1);
        this->advance(1ms);
        REQUIRE(this->lostCalls.size() == 1);
        this->worker.handle(this->now(), this->lostCalls.front(), 999'999);
        REQUIRE(this->isRunning(1));
    }
};

}

// Guards against a job that is refused as not run although a worker began a task of it and crashed before its answer:
// the list of the worker's next incarnation, under the same id, doesn't name the run.
TEST_CASE("a run that a worker began before it crashed is not reported as never started", "[Workers]")
{
    UnansweredRun fixture;
    SECTION("no stop") { }
    SECTION("a stop that the crashed worker accepted")
    {
        fixture.stop(1, fixture.orderedTask(1));
        fixture.advance(1ms);
        REQUIRE_FALSE(fixture.isRunning(1));
    }
    SECTION("a stop that the restarted worker accepts")
    {
        fixture.areStopsLost = true;
        fixture.stop(1, fixture.orderedTask(1));
        fixture.advance(1ms);
        fixture.areStopsLost = false;
    }
    fixture.restartWorker(90'000);
    fixture.advance(500ms);
    REQUIRE(fixture.isReportedEnded(1));
    REQUIRE(fixture.reportsOf(1).back().end == RunEnd::Lost);
}

// Guards against the same where the list can't be told from that of another incarnation.
TEST_CASE("a list without the start time of its worker does not prove that a run never started", "[Workers]")
{
    UnansweredRun fixture;
    fixture.alterResult = [](CallResult& result) { result.workerStartedAt.reset(); };
    fixture.restartWorker(90'000);
    fixture.advance(500ms);
    REQUIRE(fixture.isReportedEnded(1));
    REQUIRE(fixture.reportsOf(1).back().end == RunEnd::Lost);
}

// Guards against the same where the worker listed the run after it was told to stop, and its end got lost.
TEST_CASE("a run that was listed while it was being stopped is not reported as never started", "[Workers]")
{
    UnansweredRun fixture;
    fixture.areStopsLost = true;
    fixture.stop(1, fixture.orderedTask(1));
    fixture.advance(200ms);
    REQUIRE(fixture.isRunning(1));
    fixture.alterResult = [](CallResult& result) { result.ended.clear(); };
    fixture.areStopsLost = false;
    fixture.advance(500ms);
    REQUIRE_FALSE(fixture.isRunning(1));
    REQUIRE(fixture.reportsOf(1).back().end == RunEnd::Lost);
}

// Guards against refusals that lose a proof they had: the incarnation that the start was sent to never executed it.
TEST_CASE("an unanswered start is reported as never started by the incarnation that it was sent to", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.advance(100ms);
    fixture.restartWorker(90'000);
    fixture.supervisor->workerAnnounced(fixture.now(), fixture.worker.announcement(fixture.now()));
    fixture.advance(100ms);
    REQUIRE(fixture.load.isReady);
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.advance(400ms);
    REQUIRE(fixture.historyOf(1).empty());
    REQUIRE(fixture.reportsOf(1).back().end == RunEnd::NotStarted);
}

// Guards against a job that is refused as not run at one entry although a run for its earlier request at another entry
// began.
TEST_CASE("an order that was refused because of a run that began is not reported as never started", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.plan.time = 5s;
    SECTION("the other run began")
    {
        fixture.startTasks(1, 1);
        fixture.advance(50ms);
        fixture.startTasks(2, 1);
        fixture.advance(100ms);
        REQUIRE(endsOf(fixture, fixture.orderedTask(1)) == std::vector { RunEnd::Lost });
    }
    SECTION("the other run was still queued")
    {
        fixture.startTasks(1, 2, 1, 32'000);
        fixture.advance(20ms);
        fixture.startTasks(1, 1);
        fixture.advance(20ms);
        fixture.startTasks(2, 1);
        fixture.advance(100ms);
        REQUIRE(fixture.historyOf(1).empty());
        REQUIRE(endsOf(fixture, fixture.orderedTask(1)) == std::vector { RunEnd::NotStarted });
    }
}

// Guards against a job that is refused as not run although an earlier process of the sidecar had started its run: the
// claim of the entry meets a run of the same task for another order.
TEST_CASE("a claimed order is not reported as never started because of another run of its task", "[Workers]")
{
    ReadySupervisor fixture;
    fixture.plan.time = 5s;
    fixture.startTasks(1, 1);
    fixture.advance(50ms);
    const Messages::OrderedTask claimed = fixture.orderedTask(1);
    fixture.restartWorker(90'000);
    fixture.restart(6);
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 2 };
    fixture.announceWorker();
    fixture.startTasks(2, 2, 1, 32'000);
    fixture.advance(20ms);
    fixture.startTasks(2, 1);
    fixture.advance(20ms);
    fixture.connect(3, "entry-1");
    fixture.liveConnections = { 2, 3 };
    Messages::ClaimRuns claims;
    claims.runs.push_back({ claimed, 1, { 3000, 64, 0 } });
    fixture.supervisor->messageReceived(fixture.now(), 3, std::move(claims));
    fixture.advance(100ms);
    REQUIRE(endsOf(fixture, claimed) == std::vector { RunEnd::Lost });
}
