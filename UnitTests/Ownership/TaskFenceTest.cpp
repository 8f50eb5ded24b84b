#include "celeryswitch/Ownership/TaskFence.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using Messages::TaskOutcome;
using Messages::TaskReason;
using Ownership::TaskFence;

namespace {

constexpr Core::Incarnation incarnation = 77;

// A start of one task with a fresh clock echo.
Messages::StartTasks makeStart(const Core::Clock& clock, Core::Epoch epoch, std::uint64_t job = 1)
{
    Messages::StartTasks start;
    start.partition = 5;
    start.epoch = epoch;
    start.clockEcho = Core::toClockSample(clock.steadyNow());
    start.sidecarIncarnation = incarnation;
    start.jobId = { 0, job };
    start.jobTaskCount = 2;
    start.createdAt = Core::toUnixMilliseconds(clock.wallNow());
    return start;
}

// Accepts, starts and finishes a task with a body.
void run(TaskFence& fence, const Core::Clock& clock, std::uint64_t job, std::size_t bodyBytes)
{
    REQUIRE(fence.accept(clock.wallNow(), makeStart(clock, 1, job), 0));
    fence.markStarted({ { 0, job }, 0 });
    fence.markFinished(
        clock.wallNow(), { 0, job }, { 0, TaskOutcome::Succeeded, TaskReason::None, 200, std::string(bodyBytes, 'x') });
}

}

// Guards against a second start of a task that was delivered twice.
TEST_CASE("a task is accepted once", "[Ownership]")
{
    Core::ManualClock clock;
    TaskFence fence({ incarnation });
    const Messages::StartTasks start = makeStart(clock, 3);
    REQUIRE(fence.check(clock.steadyNow(), start) == TaskReason::None);
    REQUIRE(fence.accept(clock.wallNow(), start, 0));
    REQUIRE_FALSE(fence.accept(clock.wallNow(), start, 0));
    REQUIRE(fence.accept(clock.wallNow(), start, 1));
    fence.markStarted({ start.jobId, 0 });
    REQUIRE_FALSE(fence.accept(clock.wallNow(), start, 0));
    fence.forget({ start.jobId, 1 });
    REQUIRE(fence.accept(clock.wallNow(), start, 1));
}

// Guards against starts of an owner that was replaced, is slow, or knew an earlier process of this sidecar.
TEST_CASE("a start is valid with the highest epoch, a fresh echo and this incarnation only", "[Ownership]")
{
    Core::ManualClock clock;
    TaskFence fence({ incarnation });
    const Messages::StartTasks old = makeStart(clock, 3);
    REQUIRE(fence.check(clock.steadyNow(), makeStart(clock, 4)) == TaskReason::None);
    REQUIRE(fence.check(clock.steadyNow(), old) == TaskReason::StaleEpoch);
    REQUIRE(fence.raise(5, 9));
    REQUIRE_FALSE(fence.raise(5, 8));
    REQUIRE(fence.check(clock.steadyNow(), makeStart(clock, 8)) == TaskReason::StaleEpoch);

    Messages::StartTasks start = makeStart(clock, 9);
    clock.advance(std::chrono::milliseconds(1000));
    REQUIRE(fence.check(clock.steadyNow(), start) == TaskReason::None);
    clock.advance(std::chrono::microseconds(1));
    REQUIRE(fence.check(clock.steadyNow(), start) == TaskReason::StaleClockEcho);
    start.clockEcho = Core::toClockSample(clock.steadyNow()) + 1;
    REQUIRE(fence.check(clock.steadyNow(), start) == TaskReason::StaleClockEcho);
    start = makeStart(clock, 9);
    start.sidecarIncarnation = incarnation + 1;
    REQUIRE(fence.check(clock.steadyNow(), start) == TaskReason::StaleClockEcho);
    start = makeStart(clock, 9);
    start.partition = Core::partitionCount;
    REQUIRE(fence.check(clock.steadyNow(), start) == TaskReason::StaleEpoch);
}

// Guards against a new owner that takes a finished, running or queued task for one that never started.
TEST_CASE("records tell the state and the result of each accepted task", "[Ownership]")
{
    Core::ManualClock clock;
    TaskFence fence({ incarnation });
    run(fence, clock, 1, 10);
    REQUIRE(fence.accept(clock.wallNow(), makeStart(clock, 1, 2), 0));
    fence.markStarted({ { 0, 2 }, 0 });
    REQUIRE(fence.accept(clock.wallNow(), makeStart(clock, 1, 3), 1));
    REQUIRE(fence.records(5).size() == 3);
    REQUIRE(fence.records(4).empty());
    REQUIRE(fence.record({ { 0, 1 }, 0 })->result.body == "xxxxxxxxxx");
    REQUIRE(fence.record({ { 0, 2 }, 0 })->state == Messages::FenceState::Started);
    REQUIRE(fence.record({ { 0, 3 }, 1 })->state == Messages::FenceState::Queued);
    REQUIRE_FALSE(fence.record({ { 0, 3 }, 0 }));
}

// Guards against memory without bound, and against a dropped body that is passed off as an empty result.
TEST_CASE("the oldest bodies are dropped and their results become unconfirmed", "[Ownership]")
{
    Core::ManualClock clock;
    TaskFence fence({ .incarnation = incarnation, .resultBytes = 100 });
    for (std::uint64_t job = 1; job <= 5; ++job)
        run(fence, clock, job, 30);
    REQUIRE(fence.bodyBytes() == 90);
    REQUIRE(fence.record({ { 0, 2 }, 0 })->result.outcome == TaskOutcome::Unconfirmed);
    REQUIRE(fence.record({ { 0, 3 }, 0 })->result.outcome == TaskOutcome::Succeeded);
}

// Guards against records that vanish while a resubmission could still start the task, or that stay for ever.
TEST_CASE("records are kept for the retention, unfinished ones longer", "[Ownership]")
{
    Core::ManualClock clock;
    TaskFence fence({ incarnation });
    run(fence, clock, 1, 10);
    REQUIRE(fence.accept(clock.wallNow(), makeStart(clock, 1, 2), 0));
    fence.markStarted({ { 0, 2 }, 0 });
    clock.advance(std::chrono::seconds(599));
    fence.removeExpired(clock.wallNow());
    REQUIRE(fence.taskCount() == 2);
    clock.advance(std::chrono::seconds(1));
    fence.removeExpired(clock.wallNow());
    REQUIRE(fence.taskCount() == 1);
    REQUIRE(fence.bodyBytes() == 0);
    fence.markFinished(clock.wallNow(), { 0, 2 }, { 0, TaskOutcome::Succeeded });
    clock.advance(std::chrono::seconds(599));
    fence.removeExpired(clock.wallNow());
    REQUIRE(fence.taskCount() == 1);
    clock.advance(std::chrono::seconds(601));
    fence.removeExpired(clock.wallNow());
    REQUIRE(fence.taskCount() == 0);
    REQUIRE(fence.records(5).empty());
}
