// Stops, claims and refusals name the order that they are about: an entry may order the same task more than once.
#include "UnitTests/Workers/SupervisorFixture.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Workers;
using namespace std::chrono_literals;

namespace {

// A supervisor whose runs last until they are stopped.
struct LongRuns : ReadySupervisor {
    LongRuns() { this->plan.time = 5s; }
};

}

// Guards against a stop of a job's earlier admission that arrives after the job was ordered again.
TEST_CASE("a stop of an earlier order leaves the run of the later one", "[Workers]")
{
    LongRuns fixture;
    fixture.startTasks(1, 1);
    const Messages::OrderedTask first = fixture.orderedTask(1);
    fixture.advance(50ms);
    fixture.stop(1, first);
    fixture.advance(100ms);
    REQUIRE(fixture.isReportedEnded(1));
    fixture.startTasks(1, 1);
    fixture.advance(20ms);
    fixture.stop(1, first);
    fixture.advance(100ms);
    REQUIRE(fixture.isRunning(1));
    fixture.stop(1, fixture.orderedTask(1));
    fixture.advance(100ms);
    REQUIRE_FALSE(fixture.isRunning(1));
}

// Guards against a run of a job's earlier admission that a claim of the later order takes over: the stop was lost with
// the connection.
TEST_CASE("a claim of a later order does not take over the run of an earlier one", "[Workers]")
{
    LongRuns fixture;
    fixture.startTasks(1, 1);
    fixture.advance(50ms);
    const Messages::OrderedTask first = fixture.orderedTask(1);
    fixture.supervisor->entryDisconnected(fixture.now(), 1);
    fixture.connect(2, "entry-1");
    fixture.liveConnections = { 2 };
    Messages::OrderedTask second = first;
    ++second.order;
    fixture.supervisor->messageReceived(fixture.now(), 2, Messages::ClaimRuns { { { second, 1, { 3000, 64, 0 } } } });
    fixture.advance(100ms);
    REQUIRE_FALSE(fixture.isRunning(1));
    const std::vector<Messages::RunReport> reports = fixture.reportsOf(1);
    REQUIRE(reports.back().ordered == second);
    REQUIRE(reports.back().refusal == Messages::RunRefusal::TaskBusy);
    REQUIRE(std::none_of(reports.begin(), reports.end(), [&](const Messages::RunReport& report) {
        return report.ordered == second && report.state == Messages::RunState::Running;
    }));
}

// Guards against a run that changes hands because another entry claims the same run number of its task.
TEST_CASE("a claim does not take over a run that another entry owns", "[Workers]")
{
    LongRuns fixture;
    fixture.startTasks(1, 1);
    fixture.advance(50ms);
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.claim(2, { 1 });
    fixture.advance(100ms);
    REQUIRE_FALSE(fixture.isRunning(1));
    REQUIRE(fixture.reportsOf(1).back().refusal == Messages::RunRefusal::TaskBusy);
}

// Guards against a stop of one entry that ends the run of another one with the same incarnation number.
TEST_CASE("an entry can't stop the run of another entry", "[Workers]")
{
    LongRuns fixture;
    fixture.startTasks(1, 1);
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.advance(50ms);
    fixture.stop(2, fixture.orderedTask(1));
    fixture.advance(100ms);
    REQUIRE(fixture.isRunning(1));
}

// Guards against an order of a restarted entry that is refused in the name of its predecessor's with the same number.
TEST_CASE("a restarted entry gets no refusals of its predecessor's orders", "[Workers]")
{
    LongRuns fixture;
    fixture.startTasks(1, 1);
    fixture.connect(2, "entry-2");
    fixture.liveConnections = { 1, 2 };
    fixture.advance(50ms);
    fixture.areStopsLost = true;
    fixture.startTasks(2, 1);
    const Messages::OrderedTask refused = fixture.orderedTask(1);
    fixture.advance(50ms);
    fixture.connect(3, "entry-2", 2);
    fixture.liveConnections = { 1, 3 };
    fixture.areStopsLost = false;
    fixture.advance(1500ms);
    REQUIRE_FALSE(fixture.isRunning(1));
    for (const Messages::RunReport& report : fixture.reportsOf(1))
        REQUIRE_FALSE(report.ordered == refused);
}

// Guards against a second run of a task whose start is executed seconds late on a worker out of contact: the lease that
// was requested for it does not bound a run that has not begun.
TEST_CASE("a start without an answer is not over when the lease has expired", "[Workers]")
{
    for (const bool isWorkerRestarted : { false, true }) {
        INFO("worker restarted: " << isWorkerRestarted);
        LongRuns fixture;
        fixture.isNextStartLost = true;
        fixture.startTasks(1, 1);
        fixture.isWorkerReachable = false;
        fixture.advance(1ms);
        REQUIRE_FALSE(fixture.lostCalls.empty());
        const SteadyTime sentAt = fixture.now();
        fixture.advance(2500ms);
        REQUIRE_FALSE(fixture.isReportedEnded(1));
        if (isWorkerRestarted)
            fixture.restartWorker(90'000);
        fixture.executeLate(fixture.lostCalls.front(), sentAt);
        REQUIRE(fixture.isRunning(1));
        fixture.isWorkerReachable = true;
        fixture.advance(300ms);
        REQUIRE(fixture.isRunning(1));
        REQUIRE(fixture.reportsOf(1).back().state == Messages::RunState::Running);
    }
}

// Guards against a task that waits for ever because nothing shows whether its start was executed.
TEST_CASE("a start in doubt ends when the worker answers a later call", "[Workers]")
{
    LongRuns fixture;
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.isWorkerReachable = false;
    fixture.advance(2500ms);
    REQUIRE_FALSE(fixture.isReportedEnded(1));
    fixture.isWorkerReachable = true;
    fixture.advance(300ms);
    REQUIRE(fixture.reportsOf(1).back().end == Messages::RunEnd::NotStarted);
    REQUIRE(fixture.historyOf(1).empty());
}

// Guards against an entry that is told of a run whose start the worker has not answered, and takes it for started.
TEST_CASE("a claimed start in doubt is not reported as running", "[Workers]")
{
    LongRuns fixture;
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.isWorkerReachable = false;
    fixture.advance(200ms);
    fixture.supervisor->entryDisconnected(fixture.now(), 1);
    fixture.connect(2, "entry-1");
    fixture.liveConnections = { 2 };
    fixture.claim(2, { 1 });
    fixture.advance(100ms);
    REQUIRE(fixture.reportsOf(1).empty());
}

// Guards against a start that is executed by the worker's next incarnation, which knows nothing of an accepted stop.
TEST_CASE("an accepted stop does not settle a start in doubt when contact is lost", "[Workers]")
{
    LongRuns fixture;
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.advance(1ms);
    fixture.stop(1, fixture.orderedTask(1));
    fixture.advance(1ms);
    fixture.isWorkerReachable = false;
    fixture.advance(2500ms);
    REQUIRE_FALSE(fixture.isReportedEnded(1));
    fixture.restartWorker(90'000);
    fixture.isWorkerReachable = true;
    fixture.advance(300ms);
    REQUIRE(fixture.isReportedEnded(1));
    REQUIRE_FALSE(fixture.isRunning(1));
}

// Guards against stops and long polls that a worker out of contact is sent for as long as a start is in doubt.
TEST_CASE("a start in doubt on a worker out of contact causes few calls besides the lists", "[Workers]")
{
    LongRuns fixture;
    fixture.isNextStartLost = true;
    fixture.startTasks(1, 1);
    fixture.isWorkerReachable = false;
    fixture.advance(1s);
    fixture.stop(1, fixture.orderedTask(1));
    fixture.advance(1s);
    fixture.calls.clear();
    fixture.advance(4s);
    REQUIRE_FALSE(fixture.isReportedEnded(1));
    const auto isStopOrLongPoll = [](const WorkerCall& call) {
        const auto* renewal = std::get_if<RenewLeaseCall>(&call);
        return std::holds_alternative<StopCall>(call) || (renewal && renewal->wait > 0ms);
    };
    // A stop every 250 ms.
    REQUIRE(std::count_if(fixture.calls.begin(), fixture.calls.end(), isStopOrLongPoll) <= 4 * 4);
}

// Guards against an entry that can't tell a run that has started, and is bounded by the lease, from a start in doubt.
TEST_CASE("an entry is told at once that a run has started", "[Workers]")
{
    LongRuns fixture;
    fixture.startTasks(1, 1);
    fixture.advance(20ms);
    REQUIRE(fixture.reportsOf(1).size() == 1);
    REQUIRE(fixture.reportsOf(1).front().state == Messages::RunState::Running);
}
