#include "UnitTests/Scheduling/SchedulerFixture.h"

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

// Guards against a job that is answered before all of its tasks are done.
TEST_CASE("a job is answered when its last task is done", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100, 3));
    for (std::uint32_t index = 0; index < 3; ++index) {
        REQUIRE(fixture.answers.empty());
        fixture.report(fixture.orderOf(100, index).first, 100, index, RunEnd::Done);
    }
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::State);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
    REQUIRE(fixture.scheduler.openJobs() == 0);
}

// Guards against a second run of a job whose request is repeated.
TEST_CASE("a repeated request joins its open job or gets its outcome", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100));
    fixture.submit(2, fixture.makeJob(100));
    REQUIRE(fixture.starts.size() == 1);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::GivenUp);
    fixture.report(fixture.orderOf(100, 0).first, 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(2).state == JobState::Completed);
    fixture.advance(3s);
    fixture.submit(3, fixture.makeJob(100));
    REQUIRE(fixture.answers.at(3).state == JobState::Completed);
    REQUIRE(fixture.starts.size() == 1);
}

// Guards against retries on the worker that has just failed the task, and against more attempts than the queue allows.
TEST_CASE("a failed task is retried on another worker until its attempts are used up", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100));
    const std::string first = fixture.orderOf(100, 0).first;
    fixture.report(first, 100, 0, RunEnd::Failed);
    const std::string second = fixture.orderOf(100, 0).first;
    REQUIRE(second != first);
    REQUIRE(fixture.runOf(100, 0) == 2);
    fixture.report(second, 100, 0, RunEnd::Failed);
    REQUIRE(fixture.answers.at(1).state == JobState::Failed);
    REQUIRE(fixture.starts.size() == 2);
}

// Guards against the answer "not run" for a job that may have run in part.
TEST_CASE("a job is refused as not run only if none of its runs has started", "[Scheduling]")
{
    SchedulerFixture fixture(1);
    // All orders are returned without a start, and there is no room.
    fixture.submit(1, fixture.makeJob(100, 2));
    fixture.load.isOnProbation = true;
    fixture.update("side-1", { 0, 0, 0 },
        { { fixture.orderedTask(100, 0), 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 },
            { fixture.orderedTask(100, 1), 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 } });
    fixture.advance(200ms);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.answers.at(1).retryAfter > 0s);
    // One of the two runs has started.
    fixture.load.isOnProbation = false;
    fixture.update("side-1", { 32'000, 65'536, 0 });
    fixture.submit(2, fixture.makeJob(200, 2));
    fixture.load.isOnProbation = true;
    fixture.update("side-1", { 0, 0, 0 },
        { { fixture.orderedTask(200, 0), 1, RunState::Ended, RunEnd::Lost, RunRefusal::None, 0, 0 },
            { fixture.orderedTask(200, 1), 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 } });
    fixture.advance(5s);
    REQUIRE(fixture.answers.at(2).kind == AnswerKind::GivenUp);
}

// Guards against a refusal for lack of room while there is room: a worker left an order unanswered for longer than a
// quarter of the job's goal, and the job was refused when the order was returned, with 37 places free.
TEST_CASE("a job whose order is returned late is placed again where there is room", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100));
    const std::string first = fixture.orderOf(100, 0).first;
    fixture.advance(60ms);
    REQUIRE(fixture.answers.empty());
    fixture.update(first, { 0, 0, 0 },
        { { fixture.orderedTask(100, 0), 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::Unanswered, 0, 0 } });
    REQUIRE(fixture.answers.empty());
    REQUIRE(fixture.orderOf(100, 0).first != first);
    // Without room the job is refused at once.
    fixture.update(fixture.orderOf(100, 0).first, { 0, 0, 0 },
        { { fixture.orderedTask(100, 0), 2, RunState::Ended, RunEnd::NotStarted, RunRefusal::Unanswered, 0, 0 } });
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
}

// Guards against refusals that come too late for the caller to try elsewhere.
TEST_CASE("a job without room is refused within a quarter of its goal", "[Scheduling]")
{
    SchedulerFixture fixture(0);
    const Core::SteadyTime arrival = fixture.now();
    fixture.submit(1, fixture.makeJob(100));
    while (fixture.answers.empty())
        fixture.advance(1ms);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.now() - arrival <= (1.6 * 60ms + 60ms) / 4);
}

// Guards against work for callers that have disconnected.
TEST_CASE("the runs of a disconnected caller are stopped", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100, 2));
    fixture.scheduler.callerDisconnected(fixture.now(), 1);
    fixture.pollScheduler();
    std::size_t stopped = 0;
    for (const auto& [sidecar, stop] : fixture.stops)
        stopped += stop.tasks.size();
    REQUIRE(stopped == 2);
    REQUIRE(fixture.answers.empty());
}

// Guards against a second run while the first may still be running on an unreachable worker.
TEST_CASE("the tasks of an unreachable sidecar run elsewhere only after their runs must have ended", "[Scheduling]")
{
    SchedulerFixture fixture;
    SubmitJob longJob = fixture.makeJob(100);
    longJob.callerTimeout = 60s;
    longJob.job.steps[0].declaredMilliseconds = 20'000;
    fixture.submit(1, longJob);
    const std::string unreachable = fixture.orderOf(100, 0).first;
    fixture.reportStarted(unreachable, 100, 0);
    fixture.scheduler.sidecarDisconnected(unreachable);
    const Core::SteadyTime disconnectedAt = fixture.now();
    while (fixture.starts.size() < 2 && fixture.now() - disconnectedAt < 5s)
        fixture.advance(10ms);
    // 700 ms without contact, then a lease of 1 s on a clock that is 2 % slow.
    REQUIRE(fixture.now() - disconnectedAt >= 1720ms);
    REQUIRE(fixture.starts.size() == 2);
    REQUIRE(fixture.orderOf(100, 0).first != unreachable);
    REQUIRE(fixture.runOf(100, 0) == 2);
}

// Guards against a second run of a task whose start is executed seconds late while its sidecar is frozen.
TEST_CASE("a task whose start may still be executed is not ordered elsewhere", "[Scheduling]")
{
    SchedulerFixture fixture;
    SubmitJob longJob = fixture.makeJob(100);
    longJob.callerTimeout = 60s;
    longJob.job.steps[0].declaredMilliseconds = 20'000;
    fixture.submit(1, longJob);
    const std::string silent = fixture.orderOf(100, 0).first;
    fixture.scheduler.sidecarDisconnected(silent);
    for (int second = 0; second < 12; ++second)
        fixture.advance(1s);
    REQUIRE(fixture.starts.size() == 1);
    // A sidecar that is back has voided the start.
    fixture.connect(silent);
    fixture.report(silent, 100, 0, RunEnd::Lost);
    REQUIRE(fixture.starts.size() == 2);
}

// Guards against runs that are given up after a brief loss of connection.
TEST_CASE("runs are claimed again when a sidecar reconnects", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100));
    const std::string sidecar = fixture.orderOf(100, 0).first;
    fixture.scheduler.sidecarDisconnected(sidecar);
    fixture.advance(300ms);
    fixture.claims.clear();
    fixture.connect(sidecar);
    REQUIRE(fixture.claims.size() == 1);
    REQUIRE(fixture.claims[0].second.runs.size() == 1);
    fixture.report(sidecar, 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
}

// Guards against a run that goes on although its job has ended: the request to stop it was lost with the connection.
TEST_CASE("a reported run of an ended job is stopped", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100));
    const std::string sidecar = fixture.orderOf(100, 0).first;
    fixture.scheduler.callerDisconnected(fixture.now(), 1);
    fixture.pollScheduler();
    fixture.stops.clear();
    fixture.update(sidecar, { 32'000, 65'536, 0 },
        { { fixture.orderedTask(100, 0), 1, RunState::Running, RunEnd::NotStarted, {}, 0, 10 } });
    REQUIRE(fixture.stops.size() == 1);
    REQUIRE(fixture.stops[0].first == sidecar);
    REQUIRE(fixture.stops[0].second.tasks == std::vector<Messages::OrderedTask> { fixture.orderedTask(100, 0) });
}

// Guards against a step that starts before the steps it depends on are done.
TEST_CASE("a step starts when the steps it depends on are done", "[Scheduling]")
{
    SchedulerFixture fixture;
    SubmitJob submission = fixture.makeJob(100, 2);
    submission.job.steps.push_back(submission.job.steps[0]);
    submission.job.steps[1].dependencies = { 0 };
    fixture.submit(1, submission);
    const auto startsOf = [&](std::uint32_t step) {
        return std::count_if(
            fixture.starts.begin(), fixture.starts.end(), [&](const auto& start) { return start.second.step == step; });
    };
    REQUIRE(startsOf(1) == 0);
    fixture.report(fixture.orderOf(100, 0).first, 100, 0, RunEnd::Done);
    REQUIRE(startsOf(1) == 0);
    fixture.report(fixture.orderOf(100, 1).first, 100, 1, RunEnd::Done);
    REQUIRE(startsOf(1) > 0);
}

// Guards against tasks on workers without the required label, and against more tasks on one worker than are allowed.
TEST_CASE("placement respects labels and tasks per worker", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    SubmitJob labeled = fixture.makeJob(100, 2);
    labeled.job.steps[0].requiredLabel = "rack-side-2";
    fixture.submit(1, labeled);
    REQUIRE(fixture.orderOf(100, 0).first == "side-2");
    REQUIRE(fixture.orderOf(100, 1).first == "side-2");
    SubmitJob spread = fixture.makeJob(200, 3);
    spread.job.steps[0].tasksPerWorker = 1;
    fixture.submit(2, spread);
    REQUIRE(fixture.orderOf(200, 0).first != fixture.orderOf(200, 1).first);
    REQUIRE(fixture.orderOf(200, 1).first != fixture.orderOf(200, 2).first);
    REQUIRE(fixture.orderOf(200, 0).first != fixture.orderOf(200, 2).first);
}

// Guards against ordering on room that is already taken by orders still in transit.
TEST_CASE("room of orders that a sidecar has not reported yet is not used twice", "[Scheduling]")
{
    SchedulerFixture fixture(2);
    for (std::uint64_t job = 1; job <= 20; ++job)
        fixture.submit(job, fixture.makeJob(job, 1, 3000));
    std::map<std::string, int> ordered;
    for (const auto& [sidecar, start] : fixture.starts)
        ordered[sidecar] += static_cast<int>(start.tasks.size());
    REQUIRE(ordered["side-1"] <= 10);
    REQUIRE(ordered["side-2"] <= 10);
}

// Guards against jobs that keep running although they can't end in time, and against the end of jobs that can.
TEST_CASE("a job that can't end in time is given up as soon as its progress shows it", "[Scheduling]")
{
    SchedulerFixture fixture;
    SubmitJob submission = fixture.makeJob(100);
    submission.job.steps[0].declaredMilliseconds = 900;
    fixture.submit(1, submission);
    const auto progress = [&](std::int64_t milliseconds, std::uint8_t percent) {
        fixture.update(fixture.orderOf(100, 0).first, { 32'000, 65'536, 0 },
            { { fixture.orderedTask(100, 0), 1, RunState::Running, RunEnd::NotStarted, RunRefusal::None,
                milliseconds * 1000, percent } });
    };
    fixture.advance(200ms);
    progress(200, 12);
    REQUIRE(fixture.answers.empty());
    fixture.advance(100ms);
    progress(300, 8);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::GivenUp);
    REQUIRE(fixture.stops.size() == 1);
}

// Guards against tasks that remain on a stalled worker while others could run them.
TEST_CASE("a task on a stalled worker is restarted on another one", "[Scheduling]")
{
    SchedulerFixture fixture;
    SubmitJob submission = fixture.makeJob(100);
    submission.job.steps[0].declaredMilliseconds = 200;
    fixture.submit(1, submission);
    const std::string stalled = fixture.orderOf(100, 0).first;
    fixture.advance(250ms);
    fixture.update(stalled, { 32'000, 65'536, 0 },
        { { fixture.orderedTask(100, 0), 1, RunState::Running, RunEnd::NotStarted, RunRefusal::None, 250'000, 0 } });
    REQUIRE(fixture.stops.size() == 1);
    REQUIRE(fixture.starts.size() == 1);
    fixture.report(stalled, 100, 0, RunEnd::Stopped);
    REQUIRE(fixture.starts.size() == 2);
    REQUIRE(fixture.orderOf(100, 0).first != stalled);
}

// Guards against jobs that are accepted but run in another mode than requested.
TEST_CASE("unsupported jobs are refused as not run", "[Scheduling]")
{
    SchedulerFixture fixture;
    SubmitJob stored = fixture.makeJob(100);
    stored.job.isBestEffort = false;
    fixture.submit(1, stored);
    SubmitJob gang = fixture.makeJob(200);
    gang.job.steps[0].isGang = true;
    fixture.submit(2, gang);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.answers.at(2).kind == AnswerKind::NotRun);
    REQUIRE(fixture.starts.empty());
}

// Guards against a rank that is not a positive finite number: sidecars refuse it and close the connection at the first
// job.
TEST_CASE("the rank of the first job is positive and finite", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(std::isfinite(fixture.starts.at(0).second.rank));
    REQUIRE(fixture.starts.at(0).second.rank > 0);
}

// Guards against a second run after a change of links: tasks ran twice when entries were added and the sidecars were
// divided anew.
TEST_CASE("a sidecar that is no longer linked keeps its runs and gets no new ones", "[Scheduling]")
{
    SchedulerFixture fixture(2);
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.starts.size() == 1);
    const std::string sidecar = fixture.starts.front().first;
    const std::string other = sidecar == "side-1" ? "side-2" : "side-1";
    fixture.scheduler.setLinkedSidecars(fixture.now(), { other });
    fixture.advance(20ms);
    REQUIRE(fixture.starts.size() == 1);
    REQUIRE(fixture.scheduler.hasRuns(sidecar));
    for (std::uint64_t job = 101; job < 105; ++job) {
        fixture.submit(job, fixture.makeJob(job));
        REQUIRE(fixture.orderOf(job, 0).first == other);
    }
    fixture.report(sidecar, 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
    REQUIRE_FALSE(fixture.scheduler.hasRuns(sidecar));
    fixture.scheduler.removeSidecar(sidecar);
}

// Guards against two jobs of different callers that are taken for one because their ids differ only in case.
TEST_CASE("jobs whose ids differ in the case of a letter are different", "[Scheduling]")
{
    SchedulerFixture fixture;
    const StepJobId small { 0xa31d000000000001 };
    const StepJobId capital { 0xa31d000000000001, 0x8000 };
    fixture.submit(1, fixture.makeJob(small));
    fixture.submit(2, fixture.makeJob(capital));
    REQUIRE(fixture.starts.size() == 2);
    CHECK(fixture.starts[0].second.job == small);
    CHECK(fixture.starts[1].second.job == capital);
    fixture.report(fixture.orderOf(capital, 0).first, capital, 0, RunEnd::Done);
    CHECK(fixture.answers.count(1) == 0);
    REQUIRE(fixture.answers.count(2) == 1);
    CHECK(fixture.answers.at(2).state == JobState::Completed);
}
