#include "celeryswitch/Scheduling/JobScheduler.h"
#include <catch2/catch.hpp>

using namespace celeryswitch;
using namespace celeryswitch::Scheduling;
using namespace std::chrono_literals;
using Messages::RunEnd;
using Messages::RunRefusal;
using Messages::RunState;

namespace {

// A scheduler with sidecars that a test answers for.
class Fixture {
public:
    explicit Fixture(std::size_t workers = 2)
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
        this->scheduler.setLinked(this->now(), linked);
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
    // A sidecar's report; its worker has this much room.
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
        this->scheduler.received(this->now(), sidecar, std::move(update));
        this->act();
    }
    void report(const std::string& sidecar, std::uint64_t job, std::uint32_t index, RunEnd end,
        RunRefusal refusal = RunRefusal::None, std::uint32_t run = 0)
    {
        this->update(sidecar, { 32'000, 65'536, 0 },
            { { { job, 0, 0, index }, run ? run : this->runOf(job, index), RunState::Ended, end, refusal, 60'000,
                0 } });
    }
    SubmitJob job(std::uint64_t id, std::uint32_t tasks = 1, std::int64_t milliCores = 3000) const
    {
        SubmitJob submission;
        submission.job.id = id;
        submission.job.content = "content";
        submission.job.isBestEffort = true;
        submission.patience = 2s;
        submission.job.steps.resize(1);
        submission.job.steps[0].count = tasks;
        submission.job.steps[0].need = { milliCores, 64, 0 };
        submission.job.steps[0].declaredMilliseconds = 60;
        return submission;
    }
    void submit(RequestNumber request, SubmitJob submission)
    {
        this->scheduler.submit(this->now(), this->now(), request, this->queue, std::move(submission));
        this->act();
    }
    void pass(Core::Duration span)
    {
        this->clock.advance(span);
        this->act();
    }
    void act()
    {
        for (SchedulerAction& action : this->scheduler.poll(this->now())) {
            if (auto* send = std::get_if<SendWork>(&action)) {
                if (auto* start = std::get_if<Messages::StartRuns>(&send->message))
                    this->starts.emplace_back(send->sidecar, *start);
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
    // Sidecar and run number of the newest order for a task.
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

// Guards against answers before all tasks are done.
TEST_CASE("a job is answered when its last task is done", "[Scheduling]")
{
    Fixture fixture;
    fixture.submit(1, fixture.job(100, 3));
    for (std::uint32_t index = 0; index < 3; ++index) {
        REQUIRE(fixture.answers.empty());
        fixture.report(fixture.orderOf(100, index).first, 100, index, RunEnd::Done);
    }
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::State);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
    REQUIRE(fixture.scheduler.openJobs() == 0);
}

// Guards against a job that runs a second time because its request arrives again.
TEST_CASE("a request that comes again joins its job or gets its outcome", "[Scheduling]")
{
    Fixture fixture;
    fixture.submit(1, fixture.job(100));
    fixture.submit(2, fixture.job(100));
    REQUIRE(fixture.starts.size() == 1);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::GivenUp);
    fixture.report(fixture.orderOf(100, 0).first, 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(2).state == JobState::Completed);
    fixture.pass(3s);
    fixture.submit(3, fixture.job(100));
    REQUIRE(fixture.answers.at(3).state == JobState::Completed);
    REQUIRE(fixture.starts.size() == 1);
}

// Guards against retries on the worker that has just failed the task, and against more attempts than are allowed.
TEST_CASE("a failed task is tried elsewhere until its attempts are used up", "[Scheduling]")
{
    Fixture fixture;
    fixture.submit(1, fixture.job(100));
    const std::string first = fixture.orderOf(100, 0).first;
    fixture.report(first, 100, 0, RunEnd::Failed);
    const std::string second = fixture.orderOf(100, 0).first;
    REQUIRE(second != first);
    REQUIRE(fixture.runOf(100, 0) == 2);
    fixture.report(second, 100, 0, RunEnd::Failed);
    REQUIRE(fixture.answers.at(1).state == JobState::Failed);
    REQUIRE(fixture.starts.size() == 2);
}

// Guards against "not run" for a job of which something may have run.
TEST_CASE("a job is refused as not run only if none of its runs has started", "[Scheduling]")
{
    Fixture fixture(1);
    // Every order comes back without a start, and there is no room.
    fixture.submit(1, fixture.job(100, 2));
    fixture.load.isOnProbation = true;
    fixture.update("side-1", { 0, 0, 0 },
        { { { 100, 0, 0, 0 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 },
            { { 100, 0, 0, 1 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 } });
    fixture.pass(200ms);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.answers.at(1).retryAfter > 0s);
    // One of two has started.
    fixture.load.isOnProbation = false;
    fixture.update("side-1", { 32'000, 65'536, 0 });
    fixture.submit(2, fixture.job(200, 2));
    fixture.load.isOnProbation = true;
    fixture.update("side-1", { 0, 0, 0 },
        { { { 200, 0, 0, 0 }, 1, RunState::Ended, RunEnd::Lost, RunRefusal::None, 0, 0 },
            { { 200, 0, 0, 1 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::NoRoom, 0, 0 } });
    fixture.pass(5s);
    REQUIRE(fixture.answers.at(2).kind == AnswerKind::GivenUp);
}

// Guards against a refusal for lack of room while there is room: a job whose order a worker left unanswered had waited
// for longer than a quarter of its goal when the order came back, and was refused with 37 places free.
TEST_CASE("a job whose order comes back late is placed again where there is room", "[Scheduling]")
{
    Fixture fixture;
    fixture.submit(1, fixture.job(100));
    const std::string first = fixture.orderOf(100, 0).first;
    fixture.pass(60ms);
    REQUIRE(fixture.answers.empty());
    fixture.update(first, { 0, 0, 0 },
        { { { 100, 0, 0, 0 }, 1, RunState::Ended, RunEnd::NotStarted, RunRefusal::Unanswered, 0, 0 } });
    REQUIRE(fixture.answers.empty());
    REQUIRE(fixture.orderOf(100, 0).first != first);
    // Without room it is refused at once.
    fixture.update(fixture.orderOf(100, 0).first, { 0, 0, 0 },
        { { { 100, 0, 0, 0 }, 2, RunState::Ended, RunEnd::NotStarted, RunRefusal::Unanswered, 0, 0 } });
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
}

// Guards against refusals that come so late that the caller could have gone elsewhere.
TEST_CASE("a job without room is refused within a quarter of its goal", "[Scheduling]")
{
    Fixture fixture(0);
    const Core::SteadyTime arrival = fixture.now();
    fixture.submit(1, fixture.job(100));
    while (fixture.answers.empty())
        fixture.pass(1ms);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.now() - arrival <= (1.6 * 60ms + 60ms) / 4);
}

// Guards against work for callers that have gone.
TEST_CASE("the runs of a caller that has gone are stopped", "[Scheduling]")
{
    Fixture fixture;
    fixture.submit(1, fixture.job(100, 2));
    fixture.scheduler.abandoned(fixture.now(), 1);
    fixture.act();
    std::size_t stopped = 0;
    for (const auto& [sidecar, stop] : fixture.stops)
        stopped += stop.tasks.size();
    REQUIRE(stopped == 2);
    REQUIRE(fixture.answers.empty());
}

// Guards against a second run while the first may still be under way on a worker that can't be reached.
TEST_CASE("the tasks of an unreachable sidecar run elsewhere only when nothing runs there any more", "[Scheduling]")
{
    Fixture fixture;
    SubmitJob patient = fixture.job(100);
    patient.patience = 60s;
    patient.job.steps[0].declaredMilliseconds = 20'000;
    fixture.submit(1, patient);
    const std::string lost = fixture.orderOf(100, 0).first;
    fixture.scheduler.sidecarDisconnected(lost);
    const Core::SteadyTime cut = fixture.now();
    while (fixture.starts.size() < 2 && fixture.now() - cut < 5s)
        fixture.pass(10ms);
    // 700 ms without a sign of life, then a lease of 1 s on a clock that is 2 % slow.
    REQUIRE(fixture.now() - cut >= 1720ms);
    REQUIRE(fixture.starts.size() == 2);
    REQUIRE(fixture.orderOf(100, 0).first != lost);
    REQUIRE(fixture.runOf(100, 0) == 2);
}

// Guards against runs that are forgotten when a connection is lost for a moment.
TEST_CASE("runs are claimed again when a sidecar is back", "[Scheduling]")
{
    Fixture fixture;
    fixture.submit(1, fixture.job(100));
    const std::string sidecar = fixture.orderOf(100, 0).first;
    fixture.scheduler.sidecarDisconnected(sidecar);
    fixture.pass(300ms);
    fixture.claims.clear();
    fixture.connect(sidecar);
    REQUIRE(fixture.claims.size() == 1);
    REQUIRE(fixture.claims[0].second.runs.size() == 1);
    fixture.report(sidecar, 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
}

// Guards against steps that start before the steps that they need are done.
TEST_CASE("a step starts when the steps before it are done", "[Scheduling]")
{
    Fixture fixture;
    SubmitJob submission = fixture.job(100, 2);
    submission.job.steps.push_back(submission.job.steps[0]);
    submission.job.steps[1].after = { 0 };
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

// Guards against work on workers that lack what it needs, and against more tasks on one worker than are allowed.
TEST_CASE("placement keeps labels and spread limits", "[Scheduling]")
{
    Fixture fixture(3);
    SubmitJob labelled = fixture.job(100, 2);
    labelled.job.steps[0].requiredLabel = "rack-side-2";
    fixture.submit(1, labelled);
    REQUIRE(fixture.orderOf(100, 0).first == "side-2");
    REQUIRE(fixture.orderOf(100, 1).first == "side-2");
    SubmitJob spread = fixture.job(200, 3);
    spread.job.steps[0].tasksPerWorker = 1;
    fixture.submit(2, spread);
    REQUIRE(fixture.orderOf(200, 0).first != fixture.orderOf(200, 1).first);
    REQUIRE(fixture.orderOf(200, 1).first != fixture.orderOf(200, 2).first);
    REQUIRE(fixture.orderOf(200, 0).first != fixture.orderOf(200, 2).first);
}

// Guards against orders for room that other orders on their way will use.
TEST_CASE("room of orders that a sidecar has not counted yet is not given twice", "[Scheduling]")
{
    Fixture fixture(2);
    for (std::uint64_t job = 1; job <= 20; ++job)
        fixture.submit(job, fixture.job(job, 1, 3000));
    std::map<std::string, int> ordered;
    for (const auto& [sidecar, start] : fixture.starts)
        ordered[sidecar] += static_cast<int>(start.tasks.size());
    REQUIRE(ordered["side-1"] <= 10);
    REQUIRE(ordered["side-2"] <= 10);
}

// Guards against jobs that are held to their end although they can't make it, and against good ones that are given up.
TEST_CASE("a job that can't end in time is given up as soon as its progress shows it", "[Scheduling]")
{
    Fixture fixture;
    SubmitJob submission = fixture.job(100);
    submission.job.steps[0].declaredMilliseconds = 900;
    fixture.submit(1, submission);
    const auto progress = [&](std::int64_t milliseconds, std::uint8_t percent) {
        fixture.update(fixture.orderOf(100, 0).first, { 32'000, 65'536, 0 },
            { { { 100, 0, 0, 0 }, 1, RunState::Running, RunEnd::NotStarted, RunRefusal::None, milliseconds * 1000,
                percent } });
    };
    fixture.pass(200ms);
    progress(200, 12);
    REQUIRE(fixture.answers.empty());
    fixture.pass(100ms);
    progress(300, 8);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::GivenUp);
    REQUIRE(fixture.stops.size() == 1);
}

// Guards against tasks that wait for a worker that stands still while others could run them.
TEST_CASE("a task on a worker that stands still moves to another one", "[Scheduling]")
{
    Fixture fixture;
    SubmitJob submission = fixture.job(100);
    submission.job.steps[0].declaredMilliseconds = 200;
    fixture.submit(1, submission);
    const std::string stalled = fixture.orderOf(100, 0).first;
    fixture.pass(250ms);
    fixture.update(stalled, { 32'000, 65'536, 0 },
        { { { 100, 0, 0, 0 }, 1, RunState::Running, RunEnd::NotStarted, RunRefusal::None, 250'000, 0 } });
    REQUIRE(fixture.stops.size() == 1);
    REQUIRE(fixture.starts.size() == 1);
    fixture.report(stalled, 100, 0, RunEnd::Stopped);
    REQUIRE(fixture.starts.size() == 2);
    REQUIRE(fixture.orderOf(100, 0).first != stalled);
}

// Guards against forms of work that would run in another way than asked for.
TEST_CASE("forms of work that are not served are refused as not run", "[Scheduling]")
{
    Fixture fixture;
    SubmitJob stored = fixture.job(100);
    stored.job.isBestEffort = false;
    fixture.submit(1, stored);
    SubmitJob gang = fixture.job(200);
    gang.job.steps[0].isGang = true;
    fixture.submit(2, gang);
    REQUIRE(fixture.answers.at(1).kind == AnswerKind::NotRun);
    REQUIRE(fixture.answers.at(2).kind == AnswerKind::NotRun);
    REQUIRE(fixture.starts.empty());
}

// Guards against numbers that sidecars refuse, which would close the connection at the first job.
TEST_CASE("the first job has a rank", "[Scheduling]")
{
    Fixture fixture;
    fixture.submit(1, fixture.job(100));
    REQUIRE(std::isfinite(fixture.starts.at(0).second.rank));
    REQUIRE(fixture.starts.at(0).second.rank > 0);
}

// Guards against a second run when other entries come and the links are shared anew: tasks ran twice on the grown sites
// when entries were added.
TEST_CASE("a sidecar that is no longer linked keeps its runs and gets no more", "[Scheduling]")
{
    Fixture fixture(2);
    fixture.submit(1, fixture.job(100));
    REQUIRE(fixture.starts.size() == 1);
    const std::string sidecar = fixture.starts.front().first;
    const std::string other = sidecar == "side-1" ? "side-2" : "side-1";
    fixture.scheduler.setLinked(fixture.now(), { other });
    fixture.pass(20ms);
    REQUIRE(fixture.starts.size() == 1);
    REQUIRE(fixture.scheduler.hasRuns(sidecar));
    for (std::uint64_t job = 101; job < 105; ++job) {
        fixture.submit(job, fixture.job(job));
        REQUIRE(fixture.orderOf(job, 0).first == other);
    }
    fixture.report(sidecar, 100, 0, RunEnd::Done);
    REQUIRE(fixture.answers.at(1).state == JobState::Completed);
    REQUIRE_FALSE(fixture.scheduler.hasRuns(sidecar));
    fixture.scheduler.forgetSidecar(sidecar);
}
