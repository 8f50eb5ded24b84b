#include "UnitTests/Scheduling/SchedulerFixture.h"

using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workers = 100;
// Jobs, steps and workers that a submission and the decision after it may look at.
constexpr std::uint64_t workLimit = 50'000;
// Steps that fit into the largest body, and tasks that a job may have.
constexpr std::uint32_t manySteps = 13'000;
constexpr std::uint32_t manyTasks = 100'000;

std::uint64_t workOf(const JobScheduler& scheduler)
{
    const SchedulerWork& work = scheduler.work();
    return work.jobsVisited + work.workersVisited + work.candidatesEvaluated + work.stepsVisited;
}

SubmitJob jobOfSteps(const SchedulerFixture& fixture, const StepJobId& id)
{
    SubmitJob submission = fixture.makeJob(id, 1, 1);
    submission.job.steps.resize(manySteps, submission.job.steps.front());
    submission.callerTimeout = 60s;
    return submission;
}

}

// Guards against a caller who keeps the entry busy for seconds with one body: other callers get no answer meanwhile.
TEST_CASE("the work of a decision does not grow with what a caller sends", "[Scheduling]")
{
    SchedulerFixture fixture(workers);
    const bool areWorkersFull = GENERATE(false, true);
    if (areWorkersFull)
        fixture.fillWorkers(workers, 300'000);
    INFO((areWorkersFull ? "full workers" : "free workers"));
    SubmitJob submission;
    SECTION("steps") { submission = jobOfSteps(fixture, 100); }
    SECTION("steps that differ")
    {
        submission = jobOfSteps(fixture, 100);
        for (std::uint32_t step = 0; step < manySteps; ++step)
            submission.job.steps[step].need.milliCores = 1 + step;
    }
    SECTION("a step that no worker can run, behind others")
    {
        submission = jobOfSteps(fixture, 100);
        submission.job.steps.back().requiredLabel = "unknown";
    }
    SECTION("tasks")
    {
        submission = fixture.makeJob(100, manyTasks, 1);
        submission.callerTimeout = 60s;
    }
    SECTION("tasks that need no room")
    {
        submission = fixture.makeJob(100, manyTasks, 0);
        submission.job.steps.front().need = {};
        submission.callerTimeout = 60s;
    }
    std::uint64_t before = workOf(fixture.scheduler);
    fixture.submit(1, std::move(submission));
    CHECK(workOf(fixture.scheduler) - before <= workLimit);
    for (int decision = 0; decision < 10; ++decision) {
        before = workOf(fixture.scheduler);
        fixture.advance(5ms);
        CHECK(workOf(fixture.scheduler) - before <= workLimit);
        before = workOf(fixture.scheduler);
        fixture.update("side-1", { areWorkersFull ? 0 : 32'000, 65'536, 0 });
        CHECK(workOf(fixture.scheduler) - before <= workLimit);
    }
    before = workOf(fixture.scheduler);
    fixture.scheduler.callerDisconnected(fixture.now(), 1);
    fixture.pollScheduler();
    CHECK(workOf(fixture.scheduler) - before <= workLimit);
}

// Guards against large jobs that take every decision, so that others wait behind them although there is room.
TEST_CASE("an ordinary job has its turn among jobs of many steps", "[Scheduling]")
{
    SchedulerFixture fixture(workers);
    for (RequestNumber request = 1; request <= 5; ++request)
        fixture.submit(request, jobOfSteps(fixture, 100 + request));
    fixture.submit(6, fixture.makeJob(200, 8));
    for (int decision = 0; decision < 10; ++decision)
        fixture.advance(5ms);
    std::size_t ordered = 0;
    for (const auto& [sidecar, start] : fixture.starts)
        ordered += start.job == StepJobId(200) ? start.tasks.size() : 0;
    CHECK(ordered == 8);
}

// Guards against a bound that refuses or forgets a part of a legal job.
TEST_CASE("a single job of as many tasks or steps as allowed is ordered whole", "[Scheduling]")
{
    SchedulerFixture fixture(workers);
    const bool isOfSteps = GENERATE(true, false);
    SubmitJob submission = isOfSteps ? jobOfSteps(fixture, 100) : fixture.makeJob(100, manyTasks, 1);
    submission.callerTimeout = 600s;
    for (StepSpecification& step : submission.job.steps)
        step.declaredMilliseconds = 60'000;
    fixture.submit(1, std::move(submission));
    const std::size_t expected = isOfSteps ? manySteps : manyTasks;
    std::size_t ordered = 0;
    for (int decision = 0; decision < 5000 && ordered < expected; ++decision) {
        for (const auto& [sidecar, start] : std::exchange(fixture.starts, {}))
            ordered += start.tasks.size();
        fixture.advance(5ms);
        if (decision % 20 == 0) {
            for (std::size_t index = 1; index <= workers; ++index)
                fixture.update("side-" + std::to_string(index), { 32'000, 65'536, 0 });
        }
    }
    CHECK(ordered == expected);
    CHECK(fixture.answers.empty());
}

// Guards against tasks that ask for no room and are started without end: each run costs its sidecar a record and calls.
TEST_CASE("tasks that ask for no room take some", "[Scheduling]")
{
    SchedulerFixture fixture(2);
    SubmitJob submission = fixture.makeJob(100, 2000);
    submission.job.steps.front().need = {};
    SECTION("a job of the size that is designed for runs at once") { }
    SECTION("more than the workers can keep records of")
    {
        submission.job.steps.front().count = manyTasks;
        fixture.load.freedMilliCoresPerSecond = 1'000'000'000;
        fixture.update("side-1", { 32'000, 65'536, 0 });
        fixture.update("side-2", { 32'000, 65'536, 0 });
    }
    const std::size_t count = submission.job.steps.front().count;
    submission.callerTimeout = 600s;
    submission.job.steps.front().declaredMilliseconds = 60'000;
    fixture.submit(1, std::move(submission));
    std::size_t ordered = 0;
    for (const auto& [sidecar, start] : fixture.starts)
        ordered += start.tasks.size();
    CHECK(ordered == std::min<std::size_t>(count, 2 * 32'000 / 10));
}
