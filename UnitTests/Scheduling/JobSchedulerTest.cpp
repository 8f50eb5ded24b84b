#include "celeryswitch/Scheduling/JobScheduler.h"
#include "celeryswitch/Scheduling/RefusalAdvice.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;
using Messages::RunEnd;
using Messages::RunRefusal;
using Messages::RunState;

namespace {

// A scheduler whose sidecars and callers are played by the test.
class SchedulerFixture {
public:
    explicit SchedulerFixture(std::size_t workers = 2)
        : log(logSettings(), this->clock)
        , scheduler(settings(), this->log, this->registry)
    {
        this->queue.name = "checkout";
        this->queue.service = "loans";
        this->queue.timeoutMilliseconds = 1500;
        this->queue.targetMilliseconds = 60;
        this->queue.stretch = 1.6;
        this->queue.maximumAttempts = 2;
        std::set<Core::InstanceId> linked;
        for (std::size_t index = 1; index <= workers; ++index)
            linked.insert("side-" + std::to_string(index));
        this->scheduler.setLinkedSidecars(this->now(), linked);
        for (std::size_t index = 1; index <= workers; ++index)
            this->connect("side-" + std::to_string(index));
        this->clock.advance(5s);
        for (std::size_t index = 1; index <= workers; ++index)
            this->update("side-" + std::to_string(index), { 32'000, 65'536, 0 });
    }

    Core::SteadyTime now() const { return this->clock.steadyNow(); }
    void connect(const std::string& sidecar, Messages::Room free = { 32'000, 65'536, 0 })
    {
        Messages::Member member;
        member.identity.instanceId = sidecar;
        member.identity.dataCentre = "a";
        this->scheduler.sidecarConnected(this->now(), member);
        this->update(sidecar, free);
    }
    // Delivers a sidecar's update with this free room of its worker.
    void update(const std::string& sidecar, Messages::Room free, std::vector<Messages::RunReport> reports = {})
    {
        Messages::WorkerUpdate update;
        update.incarnation = 1;
        update.clockSample = 1;
        update.handledSequence = 1'000'000;
        update.profile = { { "w-" + sidecar, 1, "loans", { 32'000, 65'536, 0 }, { "a", "rack-" + sidecar } } };
        update.load = this->load;
        update.load.free = free;
        update.load.isReady = true;
        update.reports = std::move(reports);
        this->scheduler.updateReceived(this->now(), sidecar, std::move(update));
        this->pollScheduler();
    }
    void report(const std::string& sidecar, std::uint64_t job, std::uint32_t index, RunEnd end,
        RunRefusal refusal = RunRefusal::None, std::uint32_t run = 0)
    {
        this->update(sidecar, { 32'000, 65'536, 0 },
            { { { job, 0, 0, index }, run ? run : this->runOf(job, index), RunState::Ended, end, refusal, 60'000,
                0 } });
    }
    SubmitJob makeJob(std::uint64_t id, std::uint32_t tasks = 1, std::int64_t milliCores = 3000) const
    {
        SubmitJob submission;
        submission.job.id = id;
        submission.job.content = "content";
        submission.job.isBestEffort = true;
        submission.callerTimeout = 2s;
        submission.job.steps.resize(1);
        submission.job.steps[0].count = tasks;
        submission.job.steps[0].need = { milliCores, 64, 0 };
        submission.job.steps[0].declaredMilliseconds = 60;
        return submission;
    }
    // Offers the room of a reservation.
    void offer(const std::pair<std::string, Messages::ReserveRoom>& reserve)
    {
        this->scheduler.roomOffered(reserve.first, { reserve.second.reservation });
        this->pollScheduler();
    }
    // Number of tasks of a job that were ordered in reserved room.
    std::size_t reservedTasks(std::uint64_t job) const
    {
        std::size_t tasks = 0;
        for (const auto& [sidecar, reserved] : this->reservedStarts)
            tasks += reserved.start.job == job ? reserved.start.tasks.size() : 0;
        return tasks;
    }
    // Whether a reservation was released at its sidecar.
    bool isReleased(const std::pair<std::string, Messages::ReserveRoom>& reserve) const
    {
        return std::any_of(this->releases.begin(), this->releases.end(), [&](const auto& release) {
            const auto& numbers = release.second.reservations;
            return release.first == reserve.first
                && std::find(numbers.begin(), numbers.end(), reserve.second.reservation) != numbers.end();
        });
    }
    // All workers are full and release room at this rate each.
    void fillWorkers(std::size_t workers, std::int64_t freedMilliCoresPerSecond)
    {
        this->load.freedMilliCoresPerSecond = freedMilliCoresPerSecond;
        for (std::size_t index = 1; index <= workers; ++index)
            this->update("side-" + std::to_string(index), { 0, 65'536, 0 });
    }
    void submit(RequestNumber request, SubmitJob submission)
    {
        this->scheduler.submit(this->now(), this->now(), request, this->queue, std::move(submission));
        this->pollScheduler();
    }
    void advance(Core::Duration span)
    {
        this->clock.advance(span);
        this->pollScheduler();
    }
    void pollScheduler()
    {
        for (SchedulerAction& action : this->scheduler.poll(this->now())) {
            if (auto* send = std::get_if<SendToSidecar>(&action)) {
                if (auto* start = std::get_if<Messages::StartRuns>(&send->message))
                    this->starts.emplace_back(send->sidecar, *start);
                else if (auto* reserved = std::get_if<Messages::StartReserved>(&send->message))
                    this->reservedStarts.emplace_back(send->sidecar, *reserved);
                else if (auto* reserve = std::get_if<Messages::ReserveRoom>(&send->message))
                    this->reserves.emplace_back(send->sidecar, *reserve);
                else if (auto* release = std::get_if<Messages::ReleaseRoom>(&send->message))
                    this->releases.emplace_back(send->sidecar, *release);
                else if (auto* stop = std::get_if<Messages::StopRuns>(&send->message))
                    this->stops.emplace_back(send->sidecar, *stop);
                else if (auto* claim = std::get_if<Messages::ClaimRuns>(&send->message))
                    this->claims.emplace_back(send->sidecar, *claim);
            } else {
                const auto& answer = std::get<AnswerRequest>(action);
                REQUIRE(this->answers.count(answer.request) == 0);
                this->answers[answer.request] = answer.answer;
            }
        }
    }
    // Sidecar and run number of the latest start order for a task.
    std::pair<std::string, std::uint32_t> orderOf(std::uint64_t job, std::uint32_t index) const
    {
        for (auto order = this->starts.rbegin(); order != this->starts.rend(); ++order) {
            for (const auto& [taskIndex, run] : order->second.tasks) {
                if (order->second.job == job && taskIndex == index)
                    return { order->first, run };
            }
        }
        return { "", 0 };
    }
    std::uint32_t runOf(std::uint64_t job, std::uint32_t index) const { return this->orderOf(job, index).second; }

    Core::ManualClock clock;
    Logging::StructuredLog log;
    Metrics::MetricRegistry registry;
    JobScheduler scheduler;
    Configuration::Queue queue;
    Messages::WorkerLoad load;
    std::vector<std::pair<std::string, Messages::StartRuns>> starts;
    std::vector<std::pair<std::string, Messages::StartReserved>> reservedStarts;
    std::vector<std::pair<std::string, Messages::ReserveRoom>> reserves;
    std::vector<std::pair<std::string, Messages::ReleaseRoom>> releases;
    std::vector<std::pair<std::string, Messages::StopRuns>> stops;
    std::vector<std::pair<std::string, Messages::ClaimRuns>> claims;
    std::map<RequestNumber, CallerAnswer> answers;

private:
    static Logging::LogSettings logSettings()
    {
        Logging::LogSettings settings;
        settings.output = [](const std::string&) {};
        return settings;
    }
    static SchedulerSettings settings()
    {
        SchedulerSettings settings;
        settings.dataCentre = "a";
        return settings;
    }
};

}

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
        { { { 100, 0, 0, 0 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 },
            { { 100, 0, 0, 1 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 } });
    fixture.advance(200ms);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.answers.at(1).retryAfter > 0s);
    // One of the two runs has started.
    fixture.load.isOnProbation = false;
    fixture.update("side-1", { 32'000, 65'536, 0 });
    fixture.submit(2, fixture.makeJob(200, 2));
    fixture.load.isOnProbation = true;
    fixture.update("side-1", { 0, 0, 0 },
        { { { 200, 0, 0, 0 }, 1, RunState::Ended, RunEnd::Lost, RunRefusal::None, 0, 0 },
            { { 200, 0, 0, 1 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 } });
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
        { { { 100, 0, 0, 0 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::Unanswered, 0, 0 } });
    REQUIRE(fixture.answers.empty());
    REQUIRE(fixture.orderOf(100, 0).first != first);
    // Without room the job is refused at once.
    fixture.update(fixture.orderOf(100, 0).first, { 0, 0, 0 },
        { { { 100, 0, 0, 0 }, 2, RunState::Ended, RunEnd::NotStarted, RunRefusal::Unanswered, 0, 0 } });
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
    fixture.update(
        sidecar, { 32'000, 65'536, 0 }, { { { 100, 0, 0, 0 }, 1, RunState::Running, RunEnd::NotStarted, {}, 0, 10 } });
    REQUIRE(fixture.stops.size() == 1);
    REQUIRE(fixture.stops[0].first == sidecar);
    REQUIRE(fixture.stops[0].second.tasks == std::vector<Messages::TaskId> { { 100, 0, 0, 0 } });
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
            { { { 100, 0, 0, 0 }, 1, RunState::Running, RunEnd::NotStarted, RunRefusal::None, milliseconds * 1000,
                percent } });
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
        { { { 100, 0, 0, 0 }, 1, RunState::Running, RunEnd::NotStarted, RunRefusal::None, 250'000, 0 } });
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

// Guards against a job that waits for its slowest queue under overload: each of its tasks was bound to one full worker
// while others released room earlier.
TEST_CASE("a task that has to wait takes the room that is offered first", "[Scheduling]")
{
    SchedulerFixture fixture(4);
    fixture.fillWorkers(4, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.starts.empty());
    REQUIRE(fixture.reserves.size() == 3);
    const auto first = fixture.reserves[2];
    fixture.offer(first);
    REQUIRE(fixture.reservedStarts.size() == 1);
    REQUIRE(fixture.reservedStarts[0].first == first.first);
    REQUIRE(fixture.reservedStarts[0].second.reservation == first.second.reservation);
    REQUIRE(fixture.reservedStarts[0].second.start.tasks
        == std::vector<std::pair<std::uint32_t, std::uint32_t>> { { 0, 1 } });
    REQUIRE(fixture.isReleased(fixture.reserves[0]));
    REQUIRE(fixture.isReleased(fixture.reserves[1]));
    // Offers that cross the release start nothing.
    fixture.offer(fixture.reserves[0]);
    fixture.offer(fixture.reserves[1]);
    REQUIRE(fixture.reservedStarts.size() == 1);
    fixture.update(first.first, { 0, 65'536, 0 },
        { { { 100, 0, 0, 0 }, 1, RunState::Ended, RunEnd::Done, RunRefusal::None, 60'000, 0 } });
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
}

// Guards against tasks that are started twice when more room is offered than a job needs.
TEST_CASE("surplus offers are released", "[Scheduling]")
{
    SchedulerFixture fixture(6);
    fixture.fillWorkers(6, 600'000);
    fixture.submit(1, fixture.makeJob(100, 3));
    std::size_t units = 0;
    for (const auto& reserve : std::vector(fixture.reserves)) {
        for (std::uint32_t unit = 0; unit < reserve.second.units; ++unit, ++units)
            fixture.offer(reserve);
    }
    REQUIRE(units == 9);
    REQUIRE(fixture.reservedTasks(100) == 3);
    std::set<std::uint32_t> tasks;
    for (const auto& [sidecar, reserved] : fixture.reservedStarts)
        tasks.insert(reserved.start.tasks.front().first);
    REQUIRE(tasks.size() == 3);
}

// Guards against reservations that outlive their job and keep room from others.
TEST_CASE("the reservations of a job end with it", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    REQUIRE(fixture.reserves.size() == 3);
    fixture.scheduler.callerDisconnected(fixture.now(), 1);
    fixture.pollScheduler();
    for (const auto& reserve : fixture.reserves)
        REQUIRE(fixture.isReleased(reserve));
    fixture.offer(fixture.reserves[0]);
    REQUIRE(fixture.reservedStarts.empty());
}

// Guards against a request that is held until its caller has gone: reservations that are not answered end in time.
TEST_CASE("a job whose reservations are not answered is refused as not run", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    const Core::SteadyTime arrival = fixture.now();
    fixture.submit(1, fixture.makeJob(100));
    while (fixture.answers.empty() && fixture.now() < arrival + 5s)
        fixture.advance(1ms);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.now() - arrival <= 1.6 * 60ms + 60ms);
}

// Guards against work that is placed on sidecars that were cut off, while the connection still looks open.
TEST_CASE("no work is placed on a sidecar that has stopped answering", "[Scheduling]")
{
    SchedulerFixture fixture(2);
    for (int round = 0; round < 3; ++round) {
        fixture.clock.advance(150ms);
        fixture.update("side-2", { 32'000, 65'536, 0 });
    }
    for (std::uint64_t job = 100; job < 110; ++job) {
        fixture.submit(job, fixture.makeJob(job));
        REQUIRE(fixture.orderOf(job, 0).first == "side-2");
    }
    // The runs that it has are neither stopped nor started elsewhere.
    REQUIRE(fixture.stops.empty());
}

// Guards against requests that no worker can ever serve and that are refused only after a wait.
TEST_CASE("a job that fits no worker is refused at once", "[Scheduling]")
{
    SchedulerFixture fixture;
    fixture.submit(1, fixture.makeJob(100, 1, 33'000));
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.starts.empty());
    SubmitJob labelled = fixture.makeJob(101);
    labelled.job.steps[0].requiredLabel = "rare";
    fixture.submit(2, labelled);
    REQUIRE(fixture.answers.at(2).kind == AnswerKind::NotRun);
}

// Guards against callers that were refused in a flood and all return at the same moment, into the same flood.
TEST_CASE("refused callers return later and spread when more work waits", "[Scheduling]")
{
    std::set<std::int64_t> delays;
    for (std::uint64_t job = 1; job <= 100; ++job) {
        REQUIRE(retryDelay(0, job) >= 1s);
        REQUIRE(retryDelay(0, job) <= 2s);
        REQUIRE(retryDelay(4, job) >= 4s);
        REQUIRE(retryDelay(std::numeric_limits<double>::infinity(), job) <= 30s);
        delays.insert(std::chrono::duration_cast<std::chrono::milliseconds>(retryDelay(4, job)).count() / 500);
    }
    REQUIRE(delays.size() >= 6);
}

// Guards against more tasks of a step on one worker than allowed, when some wait for room that others have found
// already.
TEST_CASE("tasks per worker hold for tasks that are placed one after the other", "[Scheduling]")
{
    SchedulerFixture fixture(4);
    fixture.fillWorkers(4, 600'000);
    fixture.update("side-1", { 3000, 65'536, 0 });
    SubmitJob submission = fixture.makeJob(100, 2);
    submission.job.steps[0].tasksPerWorker = 1;
    fixture.submit(1, submission);
    REQUIRE(fixture.orderOf(100, 0).first == "side-1");
    REQUIRE(!fixture.reserves.empty());
    for (const auto& [sidecar, reserve] : fixture.reserves)
        REQUIRE(sidecar != "side-1");
    // Room on the worker that has a task of the step already.
    fixture.update("side-1", { 32'000, 65'536, 0 });
    REQUIRE(fixture.starts.size() == 1);
    fixture.offer(fixture.reserves[0]);
    REQUIRE(fixture.reservedTasks(100) == 1);
}

// Guards against new work on a sidecar that is no longer linked, and against state for one that was removed.
TEST_CASE("offers of sidecars that are no longer linked are declined", "[Scheduling]")
{
    SchedulerFixture fixture(3);
    fixture.fillWorkers(3, 300'000);
    fixture.submit(1, fixture.makeJob(100));
    const auto reserve = fixture.reserves[0];
    std::set<Core::InstanceId> linked { "side-1", "side-2", "side-3" };
    linked.erase(reserve.first);
    fixture.scheduler.setLinkedSidecars(fixture.now(), linked);
    fixture.offer(reserve);
    REQUIRE(fixture.reservedStarts.empty());
    REQUIRE(fixture.isReleased(reserve));
    fixture.scheduler.removeSidecar(reserve.first);
    fixture.offer(reserve);
    REQUIRE(fixture.scheduler.workers().count(reserve.first) == 0);
}
