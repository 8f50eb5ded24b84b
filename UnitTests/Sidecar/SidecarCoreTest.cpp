#include "CoreFixture.h"
#include "celeryswitch/Network/MessageCodec.h"

using namespace celeryswitch;
using namespace celeryswitch::Sidecar;
using Messages::TaskOutcome;
using Messages::TaskReason;
using namespace std::chrono_literals;

// Guards against a wrong order of the first messages, and against a result without its credit.
TEST_CASE("an entry receives Hello, credits, and the result with its credit", "[Sidecar]")
{
    CoreFixture fixture;
    fixture.connect(1, "entry-1");
    REQUIRE(fixture.sent[1].size() == 2);
    REQUIRE(std::get<Messages::Hello>(fixture.sent[1][0]).incarnation == 77);
    REQUIRE(std::get<Messages::CreditUpdate>(fixture.sent[1][1]).granted == 2);
    fixture.receive(1, fixture.start(1, 0, 1, 1));
    REQUIRE(fixture.calls.size() == 1);
    REQUIRE(fixture.calls[0].timeout == 60s);
    fixture.finish(fixture.calls[0].task);
    const auto results = fixture.takeResults(1);
    REQUIRE(results.size() == 1);
    REQUIRE(results[0].body == "done");
    REQUIRE(fixture.creditsReturned == 1);
    REQUIRE(fixture.take<Messages::CreditUpdate>(1).size() == 1);
}

// Guards against a second start, and against reporting a started task as never started.
TEST_CASE("a start delivered twice runs once and is never reported as not started", "[Sidecar]")
{
    CoreFixture fixture;
    fixture.connect(1, "entry-1");
    const Messages::StartTasks start = fixture.start(1, 0, 1, 1);
    fixture.receive(1, start);
    fixture.receive(1, start);
    REQUIRE(fixture.calls.size() == 1);
    REQUIRE(fixture.takeResults(1).empty());
    fixture.finish(fixture.calls[0].task);
    REQUIRE(fixture.takeResults(1).size() == 1);
    fixture.receive(1, start);
    REQUIRE(fixture.calls.size() == 1);
    REQUIRE(fixture.takeResults(1)[0].outcome == TaskOutcome::Succeeded);
    REQUIRE(fixture.core.counts().duplicates == 2);
}

// Guards against starts from a replaced owner, delayed starts, and starts for a previous incarnation of this sidecar.
TEST_CASE("stale starts are answered as never started and use no slot", "[Sidecar]")
{
    CoreFixture fixture;
    fixture.connect(1, "entry-1");
    fixture.connect(2, "entry-2");
    const Messages::StartTasks delayed = fixture.start(1, 0, 1, 1);
    fixture.receive(2, Messages::RecoverPartition { 5, 4 });
    fixture.receive(1, delayed);
    REQUIRE(fixture.takeResults(1)[0].reason == TaskReason::StaleEpoch);
    Messages::StartTasks echo = fixture.start(2, 0, 1, 1);
    echo.epoch = 4;
    fixture.advance(1001ms);
    fixture.receive(1, echo);
    REQUIRE(fixture.takeResults(1)[0].reason == TaskReason::StaleClockEcho);
    Messages::StartTasks other = fixture.start(3, 0, 1, 1);
    other.epoch = 4;
    other.sidecarIncarnation = 76;
    fixture.receive(1, other);
    REQUIRE(fixture.takeResults(1)[0].reason == TaskReason::StaleClockEcho);
    REQUIRE(fixture.calls.empty());
    REQUIRE(fixture.core.taskFence().taskCount() == 0);
}

// Guards against late frames of an old connection, and against lost records, after an entry has reconnected.
TEST_CASE("an entry that reconnects gets its records on the new connection only", "[Sidecar]")
{
    CoreFixture fixture;
    fixture.connect(1, "entry-1");
    fixture.receive(1, fixture.start(1, 0, 1, 1));
    fixture.receive(1, fixture.start(2, 0, 1, 1));
    fixture.connect(2, "entry-1");
    REQUIRE(fixture.closed == std::vector<ConnectionId> { 1 });
    fixture.receive(1, fixture.start(3, 0, 1, 1));
    REQUIRE(fixture.calls.size() == 2);
    fixture.finish(fixture.calls[0].task);
    fixture.take<Messages::TaskResults>(2);
    fixture.receive(2, Messages::RecoverPartition { 5, 3 });
    const auto records = fixture.take<Messages::PartitionRecords>(2);
    REQUIRE(records.size() == 1);
    REQUIRE(records[0].isLastPart);
    REQUIRE(records[0].records.size() == 2);
    fixture.finish(fixture.calls[1].task);
    REQUIRE(fixture.takeResults(2).size() == 1);
    REQUIRE(fixture.takeResults(1).empty());
    REQUIRE(fixture.core.runningTasks() == 0);
}

// Guards against results sent to the old owner after a takeover.
TEST_CASE("running and queued tasks report to the new owner of their partition", "[Sidecar]")
{
    CoreFixture fixture(1);
    fixture.connect(1, "entry-1");
    fixture.receive(1, fixture.start(1, 0, 3, 1, 3));
    fixture.connect(2, "entry-2");
    fixture.core.connectionClosed(1);
    fixture.receive(2, Messages::RecoverPartition { 5, 4 });
    REQUIRE(fixture.take<Messages::PartitionRecords>(2)[0].records.size() == 3);
    for (std::size_t index = 0; index < 3; ++index) {
        REQUIRE(fixture.calls.size() == index + 1);
        fixture.finish(fixture.calls[index].task);
    }
    REQUIRE(fixture.takeResults(2).size() == 3);
}

// Guards against a task that starts although it was answered as revoked, or that starts twice.
TEST_CASE("a revocation removes only queued tasks", "[Sidecar]")
{
    CoreFixture fixture(1);
    fixture.connect(1, "entry-1");
    fixture.receive(1, fixture.start(1, 0, 4, 1, 4));
    fixture.receive(1, Messages::RevokeTasks { { 0, 1 }, { 0, 2 } });
    const auto some = fixture.takeResults(1);
    REQUIRE(some.size() == 1);
    REQUIRE(some[0].taskIndex == 2);
    REQUIRE(some[0].reason == TaskReason::Revoked);
    fixture.receive(1, Messages::RevokeTasks { { 0, 1 }, {} });
    REQUIRE(fixture.takeResults(1).size() == 2);
    REQUIRE(fixture.core.queuedTasks() == 0);
    fixture.finish(fixture.calls[0].task);
    REQUIRE(fixture.takeResults(1)[0].outcome == TaskOutcome::Succeeded);
    fixture.receive(1, Messages::RevokeTasks { { 0, 1 }, {} });
    REQUIRE(fixture.takeResults(1).empty());
    REQUIRE(fixture.calls.size() == 1);
    // A revoked task may be resubmitted.
    fixture.receive(1, fixture.start(1, 2, 1, 1, 4));
    REQUIRE(fixture.calls.size() == 2);
}

// Guards against one message per task for large jobs, and against needlessly delayed results.
TEST_CASE("results of large jobs share messages", "[Sidecar]")
{
    CoreFixture fixture(8);
    fixture.connect(1, "entry-1");
    fixture.sent.clear();
    fixture.receive(1, fixture.start(1, 0, 40, 8, 200));
    for (std::size_t index = 0; index < 40; ++index) {
        fixture.advance(50ms);
        REQUIRE(fixture.calls.size() > index);
        fixture.finish(fixture.calls[index].task);
    }
    const std::size_t messages = fixture.sent[1].size();
    REQUIRE(fixture.takeResults(1).size() == 40);
    REQUIRE(fixture.creditsReturned == 8);
    REQUIRE(messages + 1 <= 20);
    // The last result of a job is sent at once, and so is each result of a small job.
    REQUIRE(fixture.core.isStopped() == false);
    fixture.receive(1, fixture.start(2, 0, 2, 2, 2));
    fixture.finish(fixture.calls[40].task);
    REQUIRE(fixture.takeResults(1).size() == 1);
}

// Guards against tasks that start after their deadline.
TEST_CASE("a task whose deadline has passed does not start", "[Sidecar]")
{
    CoreFixture fixture(1);
    fixture.connect(1, "entry-1");
    Messages::StartTasks start = fixture.start(1, 0, 2, 1, 2);
    start.tasks[1].deadlineMicroseconds = 5000;
    fixture.receive(1, start);
    fixture.advance(6ms);
    fixture.finish(fixture.calls[0].task);
    const auto results = fixture.takeResults(1);
    REQUIRE(results.size() == 2);
    REQUIRE(results[0].outcome != results[1].outcome);
    REQUIRE(fixture.calls.size() == 1);
    REQUIRE(fixture.creditsReturned == 1);
}

// Guards against starts beyond the granted credits, and against an unbounded queue.
TEST_CASE("starts without credit or queue space are refused", "[Sidecar]")
{
    CoreFixture fixture(2);
    fixture.connect(1, "entry-1");
    fixture.receive(1, fixture.start(1, 0, 3, 3));
    REQUIRE(fixture.takeResults(1)[0].reason == TaskReason::NoCredit);
    REQUIRE(fixture.creditsReturned == 2);
    fixture.receive(1, fixture.start(1, 0, 4001, 1, 5000));
    REQUIRE(fixture.takeResults(1)[0].reason == TaskReason::QueueFull);
    REQUIRE(fixture.calls.empty());
}
