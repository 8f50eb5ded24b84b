#include "celeryswitch/Scheduling/JobScheduler.h"

#include <algorithm>

namespace celeryswitch::Scheduling {

using Configuration::Queue;
using Core::SteadyTime;
using Logging::LogLevel;
using Messages::RunEnd;
using Messages::RunState;

namespace {

// What a caller that was refused is told to wait at least.
constexpr Core::Duration retryAfterRefusal = std::chrono::seconds(1);
// Progress, in percent, from which on the end of a run is extrapolated.
constexpr std::uint32_t surePercent = 4;
// Percentages are rounded down.
constexpr double halfPercent = 0.5;
// A run without that progress after this share of its expected time, and this long, is taken to stand still; it is then
// assumed to need this many times its expected time.
constexpr double stalledShare = 0.3;
constexpr double stalledSeconds = 0.1;
constexpr double stalledFactor = 10;
// Shares of the extrapolated time by which it may be wrong: always, and at a progress of 1 %.
constexpr double progressDoubt = 0.02;
constexpr double percentDoubt = 0.7;
// How much longer a run must need than a new one elsewhere to be restarted.
constexpr double worthwhileFactor = 1.3;
// Time to spare, beyond two runs, that a job must have for one of its tasks to test a worker on probation.
constexpr double probeSeconds = -0.1;
// Time of an order's way to a sidecar and of the refusal's way back.
constexpr double orderSeconds = 0.005;
// Share of the time that a job can wait up to which a predicted wait is trusted at most, and share of work of higher
// rank at which it is not trusted at all.
constexpr double waitConfidence = 0.7;
constexpr double distrustedShare = 0.35;
// Time by which the wait is extended while an entry finds its workers.
constexpr Core::Duration findingStep = std::chrono::milliseconds(50);
// Share of all work that a kind counts for at least.
constexpr double smallestShare = 0.001;
// How much longer than expected a run may wait at a sidecar: as a factor, and in any case.
constexpr double waitTolerance = 2;
constexpr double shortestWaitSeconds = 0.008;

// A time in a number of seconds, or now when the number is negative.
SteadyTime after(SteadyTime now, double seconds)
{
    return now
        + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(std::max(0.0, seconds)));
}

double secondsUntil(SteadyTime now, SteadyTime time) { return std::chrono::duration<double>(time - now).count(); }

std::int64_t milliseconds(Core::Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}

JobScheduler::JobScheduler(SchedulerSettings settings, Logging::StructuredLog& log)
    : settings(std::move(settings))
    , log(log)
{
}

KindModel& JobScheduler::modelOf(SteadyTime now, const Queue& queue)
{
    return this->models.try_emplace(queue.name, now).first->second;
}

void JobScheduler::setSidecarCount(SteadyTime now, std::size_t count)
{
    if (count > 0 && this->sidecarCount == 0)
        this->foundSidecarsAt = now;
    this->sidecarCount = count;
}

bool JobScheduler::isFindingWorkers(SteadyTime now) const
{
    if (this->foundSidecarsAt != SteadyTime::max() && now >= this->foundSidecarsAt + this->settings.findingTime)
        return false;
    std::size_t usable = 0;
    for (const auto& [sidecar, worker] : this->board)
        usable += worker.isUsable() ? 1 : 0;
    return static_cast<double>(usable) < static_cast<double>(this->sidecarCount) * this->settings.findingShare;
}

void JobScheduler::estimate(SteadyTime now, Job& job)
{
    KindModel& model = this->modelOf(now, job.queue);
    // The longest chain of steps.
    std::vector<double> chains;
    TimeEstimate longest;
    double coreSeconds = 0;
    for (const StepSpecification& step : job.specification.steps) {
        const double declared = step.declaredMilliseconds / 1000.0;
        const TimeEstimate time = model.stepTime(declared);
        double before = 0;
        for (std::uint32_t earlier : step.after)
            before = std::max(before, chains[earlier]);
        chains.push_back(before + time.seconds);
        if (chains.back() > longest.seconds)
            longest = { chains.back(), time.deviation };
        coreSeconds += model.taskSeconds(declared) * step.count * static_cast<double>(step.need.milliCores) / 1000.0;
    }
    model.arrived(now, coreSeconds);
    job.rank = static_cast<float>(this->rankOf(now, model));
    job.waitTrust = std::max(0.0, 1 - this->workBefore(now, model) / distrustedShare);
    job.patienceEnd
        = after(job.arrivedAt, std::chrono::duration<double>(job.patience - this->settings.travelTime).count());
    // The goal follows from the true time, which is not known yet.
    job.limit = this->goalOf(job, longest.seconds * std::exp(2 * longest.deviation), this->settings.lateFactor);
    job.waitUntil = this->goalOf(job, longest.seconds * std::exp(-longest.deviation), this->settings.waitShare);
}

double JobScheduler::rankOf(SteadyTime now, const KindModel& model) const
{
    double all = 0;
    for (const auto& [name, each] : this->models)
        all += each.demand(now);
    // Before anything is known, all kinds are alike.
    return all > 0 ? all / std::max(model.demand(now), smallestShare * all) : 1;
}

double JobScheduler::workBefore(SteadyTime now, const KindModel& model) const
{
    const double own = model.demand(now);
    double before = 0;
    double all = 0;
    for (const auto& [name, each] : this->models) {
        const double demand = each.demand(now);
        all += demand;
        before += demand < own ? demand : 0;
    }
    return all > 0 ? before / all : 0;
}

SteadyTime JobScheduler::goalOf(const Job& job, double chainSeconds, double factor) const
{
    const double goal = chainSeconds * job.queue.stretch + job.queue.targetMilliseconds / 1000.0;
    const double travel = std::chrono::duration<double>(this->settings.travelTime).count();
    return std::min(job.patienceEnd, after(job.arrivedAt, goal * factor - travel));
}

bool JobScheduler::isSupported(const JobSpecification& job, std::string& reason) const
{
    if (!job.isBestEffort)
        reason = "jobs that must be stored are not served";
    else if (job.repeats > 0)
        reason = "repeated jobs are not served";
    for (const StepSpecification& step : job.steps) {
        if (step.isGang || step.isSpeculative || step.isLongRunning || step.isFiller)
            reason = "gangs, copies, fillers and long-running tasks are not served";
    }
    return reason.empty();
}

void JobScheduler::submit(
    SteadyTime now, SteadyTime arrivedAt, RequestNumber request, const Queue& queue, SubmitJob submission)
{
    const std::uint64_t id = submission.job.id;
    if (const auto known = this->outcomes.find(id); known != this->outcomes.end()) {
        this->answer(request, known->second.answer);
        return;
    }
    if (const auto open = this->jobs.find(id); open != this->jobs.end()) {
        // The caller sent its request again; only the newest one is still waited for.
        this->answer(open->second.request, { AnswerKind::GivenUp, {}, 0, {}, "sent again" });
        open->second.request = request;
        return;
    }
    std::string reason;
    if (!this->isSupported(submission.job, reason)) {
        this->answer(request, { AnswerKind::NotRun, {}, 0, std::chrono::seconds(60), reason });
        return;
    }
    Job job;
    job.queue = queue;
    job.request = request;
    job.arrivedAt = arrivedAt;
    // The queue's timeout is for callers that don't say how long they wait.
    Core::Duration patience = submission.patience;
    if (patience <= Core::Duration::zero())
        patience = std::chrono::milliseconds(queue.timeoutMilliseconds);
    for (const StepSpecification& step : submission.job.steps) {
        job.steps.emplace_back();
        job.steps.back().tasks.resize(step.count);
        job.steps.back().waiting = step.count;
    }
    job.patience = patience;
    job.specification = std::move(submission.job);
    this->estimate(now, job);
    this->log.write(LogLevel::Debug, "job admitted",
        { { "job", id }, { "queue", queue.name }, { "rank_per_mille", static_cast<std::int64_t>(job.rank * 1e6F) },
            { "limit_ms", milliseconds(job.limit - now) }, { "wait_ms", milliseconds(job.waitUntil - now) } });
    this->queue(this->jobs.emplace(id, std::move(job)).first->second);
}

void JobScheduler::query(RequestNumber request, const QueryJob& query)
{
    if (const auto open = this->jobs.find(query.id); open != this->jobs.end())
        this->answer(
            request, { AnswerKind::State, open->second.hasBegun ? JobState::Running : JobState::Queued, 0, {}, {} });
    else if (const auto known = this->outcomes.find(query.id);
             known != this->outcomes.end() && known->second.answer.kind == AnswerKind::State)
        this->answer(request, known->second.answer);
    else
        this->answer(request, { AnswerKind::UnknownJob, {}, 0, {}, {} });
}

void JobScheduler::cancel(SteadyTime now, RequestNumber request, const CancelJob& cancellation)
{
    const auto open = this->jobs.find(cancellation.id);
    if (open == this->jobs.end()) {
        this->answer(request, { AnswerKind::UnknownJob, {}, 0, {}, {} });
        return;
    }
    this->end(now, open, { AnswerKind::State, JobState::Cancelled, 0, {}, "cancelled" });
    this->answer(request, { AnswerKind::Cancelled, {}, 0, {}, {} });
}

void JobScheduler::queryQueue(RequestNumber request, const Queue& queue)
{
    CallerAnswer result { AnswerKind::Pending, {}, 0, {}, {} };
    for (const auto& [id, job] : this->jobs)
        result.pending += !job.hasBegun && job.queue.name == queue.name ? 1 : 0;
    this->answer(request, result);
}

void JobScheduler::abandoned(SteadyTime now, RequestNumber request)
{
    for (auto found = this->jobs.begin(); found != this->jobs.end(); ++found) {
        if (found->second.request != request)
            continue;
        found->second.request = 0;
        this->end(now, found, { AnswerKind::GivenUp, {}, 0, {}, "caller gone" });
        return;
    }
}

void JobScheduler::sidecarConnected(SteadyTime now, const Messages::Member& member)
{
    const Core::InstanceId& sidecar = member.identity.instanceId;
    WorkerView& worker = this->board[sidecar];
    worker.sidecar = sidecar;
    worker.dataCentre = member.identity.dataCentre;
    if (worker.profile.workerId.empty() || worker.profile.bornAt < member.worker.bornAt)
        worker.profile = member.worker;
    worker.isConnected = true;
    worker.load.isReady = false;
    worker.lastSequence = 0;
    worker.underway.clear();
    worker.heardAt = std::max(worker.heardAt, now);
    Messages::ClaimRuns claims;
    for (const auto& [id, job] : this->jobs) {
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < job.steps[step].tasks.size(); ++index) {
                const Task& task = job.steps[step].tasks[index];
                if (task.phase == TaskPhase::Ordered && task.sidecar == sidecar)
                    claims.runs.push_back({ { id, 0, step, index }, task.run, job.specification.steps[step].need });
            }
        }
    }
    this->actions.push_back(SendWork { sidecar, std::move(claims) });
    if (!worker.profile.workerId.empty())
        this->actions.push_back(SendWork { sidecar, Messages::KnownWorker { worker.profile, worker.load.isDraining } });
}

void JobScheduler::sidecarDisconnected(const Core::InstanceId& sidecar)
{
    const auto found = this->board.find(sidecar);
    if (found != this->board.end())
        found->second.isConnected = false;
}

void JobScheduler::sidecarRemoved(const Core::InstanceId& sidecar)
{
    this->loseRuns(sidecar, "sidecar removed");
    this->board.erase(sidecar);
    this->aliveSentAt.erase(sidecar);
}

void JobScheduler::received(SteadyTime now, const Core::InstanceId& sidecar, Messages::WorkerUpdate update)
{
    WorkerView& worker = this->board[sidecar];
    worker.incarnation = update.incarnation;
    worker.clockSample = update.clockSample;
    worker.heardAt = now;
    if (!update.profile.empty())
        worker.profile = std::move(update.profile.front());
    worker.load = std::move(update.load);
    while (!worker.underway.empty() && worker.underway.front().first <= update.handledSequence)
        worker.underway.pop_front();
    for (const Messages::RunReport& report : update.reports)
        this->takeReport(now, sidecar, report);
    this->isPlacingDue = true;
}

void JobScheduler::takeReport(SteadyTime now, const Core::InstanceId& sidecar, const Messages::RunReport& report)
{
    const auto found = this->jobs.find(report.task.job);
    if (found == this->jobs.end() || report.task.step >= found->second.steps.size()
        || report.task.index >= found->second.steps[report.task.step].tasks.size())
        return;
    Job& job = found->second;
    Task& task = job.steps[report.task.step].tasks[report.task.index];
    if (task.phase != TaskPhase::Ordered || task.sidecar != sidecar || report.run < task.run)
        return;
    task.run = report.run;
    job.hasRun = job.hasRun || report.state == RunState::Running || report.end != RunEnd::NotStarted;
    if (report.state == RunState::Running) {
        this->progressed(now, found, report);
        return;
    }
    ++task.run;
    if (report.end == RunEnd::Done) {
        const WorkerView& worker = this->board.at(sidecar);
        this->taskDone(now, found, report, worker.pace());
        return;
    }
    this->log.write(LogLevel::Info, "run ended without success",
        { { "job", report.task.job }, { "task", report.task.index }, { "run", report.run }, { "sidecar", sidecar },
            { "end", std::string(Core::enumName(report.end)) },
            { "refusal", std::string(Core::enumName(report.refusal)) }, { "ran_ms", report.runMicroseconds / 1000 } });
    if (report.end == RunEnd::Failed) {
        task.avoided.push_back(sidecar);
        if (++task.failures >= job.queue.maximumAttempts) {
            this->end(now, found, { AnswerKind::State, JobState::Failed, 0, {}, "attempts used up" });
            return;
        }
    }
    this->taskBack(job, report.task.step, task);
}

void JobScheduler::taskDone(SteadyTime now, Jobs::iterator found, const Messages::RunReport& report, double pace)
{
    Job& job = found->second;
    Step& step = job.steps[report.task.step];
    Task& task = step.tasks[report.task.index];
    const std::uint64_t id = found->first;
    task.phase = TaskPhase::Done;
    ++step.done;
    job.longestRunSeconds = std::max(job.longestRunSeconds, static_cast<double>(report.runMicroseconds) / 1e6);
    const double seconds = static_cast<double>(report.runMicroseconds) / 1e6 * pace / medianPace(this->board);
    step.longestSeconds = std::max(step.longestSeconds, seconds);
    step.sumSeconds += seconds;
    if (step.done < step.tasks.size())
        return;
    this->modelOf(now, job.queue)
        .observed(job.specification.steps[report.task.step].declaredMilliseconds / 1000.0, step.longestSeconds,
            step.sumSeconds / static_cast<double>(step.tasks.size()));
    const bool isComplete = std::all_of(
        job.steps.begin(), job.steps.end(), [](const Step& each) { return each.done == each.tasks.size(); });
    if (isComplete)
        this->end(now, found, { AnswerKind::State, JobState::Completed, 0, {}, {} });
    else
        this->queue(this->jobs.at(id));
}

void JobScheduler::progressed(SteadyTime now, Jobs::iterator found, const Messages::RunReport& report)
{
    Job& job = found->second;
    Task& task = job.steps[report.task.step].tasks[report.task.index];
    if (task.isRestarting)
        return;
    const double elapsed = static_cast<double>(report.runMicroseconds) / 1e6;
    const double declared = job.specification.steps[report.task.step].declaredMilliseconds / 1000.0;
    double fresh = this->modelOf(now, job.queue).taskSeconds(declared);
    double left = 0;
    const bool isMoving = report.percent >= surePercent;
    if (isMoving) {
        left = elapsed * (100.0 - report.percent) / (report.percent + halfPercent);
        // A long task is as long elsewhere; only a slow worker is worth leaving.
        fresh = (elapsed + left) * this->board.at(task.sidecar).pace() / medianPace(this->board);
    } else if (elapsed > stalledShare * fresh + stalledSeconds) {
        left = stalledFactor * fresh + elapsed;
    } else {
        return;
    }
    task.expectedEnd = after(now, left);
    if (isMoving)
        job.longestRunSeconds = std::max(job.longestRunSeconds, elapsed + left);
    // Percentages are whole numbers, so that early ones say little.
    const double doubt = isMoving ? (elapsed + left) * (progressDoubt + percentDoubt / (report.percent + 1)) : 0;
    const double pace
        = fastestPace(this->board, job.queue.service, job.specification.steps[report.task.step].need, job.rank);
    const double restarted = std::chrono::duration<double>(this->settings.restartTime).count()
        + fresh * medianPace(this->board) / std::max(0.01, pace);
    const SteadyTime goal = this->goalOf(job, fresh, 1);
    const SteadyTime limit = this->goalOf(job, fresh, this->settings.lateFactor);
    const bool isLate = left - doubt > secondsUntil(now, goal);
    const bool isHopeless = left - doubt > secondsUntil(now, limit);
    const bool isRestartInTime = restarted < secondsUntil(now, isHopeless ? limit : goal);
    if (isLate && isRestartInTime && left > restarted * worthwhileFactor) {
        this->restart(now, job, report.task, task);
    } else if (isHopeless && !isRestartInTime) {
        this->log.write(LogLevel::Info, "job can't end in time",
            { { "job", found->first }, { "task", report.task.index }, { "percent", report.percent },
                { "ran_ms", report.runMicroseconds / 1000 }, { "left_ms", static_cast<std::int64_t>(left * 1000) },
                { "limit_ms", milliseconds(limit - now) } });
        this->end(now, found, { AnswerKind::GivenUp, {}, 0, {}, "can't end in time" });
    }
}

void JobScheduler::restart(SteadyTime now, Job& job, const TaskId& id, Task& task)
{
    this->log.write(LogLevel::Info, "run restarted elsewhere",
        { { "job", id.job }, { "task", id.index }, { "run", task.run }, { "sidecar", task.sidecar },
            { "waited_ms", milliseconds(now - job.arrivedAt) },
            { "expected_end_ms", milliseconds(task.expectedEnd - now) } });
    task.isRestarting = true;
    task.avoided.push_back(task.sidecar);
    this->actions.push_back(
        SendWork { task.sidecar, Messages::StopRuns { this->board[task.sidecar].clockSample, { id } } });
}

void JobScheduler::taskBack(Job& job, std::uint32_t stepIndex, Task& task)
{
    task.phase = TaskPhase::Waiting;
    task.sidecar.clear();
    task.isRestarting = false;
    task.expectedEnd = SteadyTime::max();
    ++job.steps[stepIndex].waiting;
    // Once every order came back without a start, the job can still be refused as not run.
    job.hasBegun = job.hasRun || std::any_of(job.steps.begin(), job.steps.end(), [](const Step& step) {
        return step.waiting + step.done < step.tasks.size();
    });
    this->queue(job);
}

void JobScheduler::queue(Job& job)
{
    if (!std::exchange(job.isQueued, true))
        this->waitingJobs.push_back(job.specification.id);
    this->isPlacingDue = true;
}

void JobScheduler::loseRuns(const Core::InstanceId& sidecar, std::string_view reason)
{
    for (auto& [id, job] : this->jobs) {
        for (std::uint32_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
            for (Task& task : job.steps[stepIndex].tasks) {
                if (task.phase != TaskPhase::Ordered || task.sidecar != sidecar)
                    continue;
                this->log.write(LogLevel::Info, "run lost",
                    { { "job", id }, { "sidecar", sidecar }, { "reason", std::string(reason) } });
                ++task.run;
                job.hasRun = true;
                this->taskBack(job, stepIndex, task);
            }
        }
    }
}

void JobScheduler::placeWaiting(SteadyTime now)
{
    if (!std::exchange(this->isPlacingDue, false) || this->waitingJobs.empty())
        return;
    std::vector<std::pair<float, std::uint64_t>> order;
    for (const std::uint64_t id : std::exchange(this->waitingJobs, {})) {
        if (const auto found = this->jobs.find(id); found != this->jobs.end())
            order.emplace_back(-found->second.rank, id);
    }
    std::sort(order.begin(), order.end());
    const double ordinaryPace = medianPace(this->board);
    for (const auto& [rank, id] : order) {
        Job& job = this->jobs.at(id);
        job.isQueued = false;
        bool isPlaced = true;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step)
            isPlaced = this->placeStep(now, ordinaryPace, job, step) && isPlaced;
        if (!isPlaced && !std::exchange(job.isQueued, true))
            this->waitingJobs.push_back(id);
    }
}

bool JobScheduler::placeStep(SteadyTime now, double ordinaryPace, Job& job, std::uint32_t stepIndex)
{
    Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    if (step.waiting == 0)
        return true;
    for (std::uint32_t earlier : specification.after) {
        if (job.steps[earlier].done < job.steps[earlier].tasks.size())
            return true;
    }
    PlacementRequest request;
    request.service = job.queue.service;
    request.need = specification.need;
    request.count = step.waiting;
    request.requiredLabel = specification.requiredLabel;
    request.dataRack = specification.dataRack;
    request.tasksPerWorker = specification.tasksPerWorker;
    request.dataCentre = this->settings.dataCentre;
    request.time = this->modelOf(now, job.queue).stepTime(specification.declaredMilliseconds / 1000.0);
    // What is left of a begun job carries the value of the whole.
    request.rank
        = job.hasBegun ? job.rank * static_cast<float>(step.tasks.size()) / static_cast<float>(step.waiting) : job.rank;
    request.stretch = job.queue.stretch;
    request.slackSeconds = secondsUntil(now, this->goalOf(job, 0, 1));
    request.patienceSeconds = secondsUntil(now, job.patienceEnd);
    const double shortest = request.time.seconds * std::exp(-request.time.deviation);
    double longestWait = shortest * (request.stretch - 1) + request.slackSeconds;
    if (longestWait < 0) {
        // It can only be late.
        request.rank *= static_cast<float>(this->settings.lateValue);
        longestWait = secondsUntil(now, job.limit) - request.time.seconds;
    }
    if (!job.hasBegun) {
        const double unpriced = secondsUntil(now, job.waitUntil) - orderSeconds;
        longestWait
            = std::min(longestWait, unpriced + std::max(0.0, longestWait - unpriced) * job.waitTrust * waitConfidence);
    }
    request.longestWaitSeconds = std::max(0.0, longestWait);
    bool hasFailed = false;
    for (const Task& task : step.tasks) {
        if (task.phase != TaskPhase::Waiting)
            continue;
        hasFailed = hasFailed || !task.avoided.empty();
        request.avoided.insert(request.avoided.end(), task.avoided.begin(), task.avoided.end());
    }
    request.isProbe = !hasFailed && job.queue.maximumAttempts > 1
        && request.slackSeconds + request.time.seconds * (request.stretch - 2) > probeSeconds;
    const std::vector<Placement> placements = place(this->board, ordinaryPace, request);
    for (const Placement& placement : placements)
        this->order(now, job, stepIndex, placement, request);
    return !placements.empty();
}

void JobScheduler::order(
    SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement, const PlacementRequest& request)
{
    Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    WorkerView& worker = this->board.at(placement.sidecar);
    Messages::StartRuns start;
    start.sequence = ++worker.lastSequence;
    start.clockEcho = worker.clockSample;
    start.job = job.specification.id;
    start.step = stepIndex;
    start.content = job.specification.content;
    start.need = specification.need;
    start.expectedMilliseconds = static_cast<std::uint32_t>(
        this->modelOf(now, job.queue).taskSeconds(specification.declaredMilliseconds / 1000.0) * 1000);
    start.rank = request.rank;
    // A run that waits for much longer than was expected comes back, and finds another place.
    const double startWithin
        = std::min(request.longestWaitSeconds, placement.waitSeconds * waitTolerance + shortestWaitSeconds);
    start.startWithinMicroseconds = static_cast<std::int64_t>(std::max(startWithin, shortestWaitSeconds) * 1e6);
    start.deadlineMicroseconds
        = std::max<std::int64_t>(1, static_cast<std::int64_t>(secondsUntil(now, job.limit) * 1e6));
    for (std::uint32_t index = 0; index < step.tasks.size() && start.tasks.size() < placement.count; ++index) {
        Task& task = step.tasks[index];
        if (task.phase != TaskPhase::Waiting)
            continue;
        task.phase = TaskPhase::Ordered;
        task.sidecar = placement.sidecar;
        --step.waiting;
        start.tasks.emplace_back(index, task.run);
    }
    worker.underway.emplace_back(start.sequence, specification.need * static_cast<std::int64_t>(start.tasks.size()));
    this->aliveSentAt[placement.sidecar] = now;
    job.hasBegun = true;
    this->log.write(LogLevel::Debug, "tasks placed",
        { { "job", job.specification.id }, { "sidecar", placement.sidecar },
            { "tasks", static_cast<std::uint64_t>(start.tasks.size()) },
            { "free_millicores", worker.load.free.milliCores }, { "pace_percent", worker.load.pacePercent },
            { "wait_us", static_cast<std::int64_t>(placement.waitSeconds * 1e6) },
            { "waited_ms", milliseconds(now - job.arrivedAt) } });
    this->actions.push_back(SendWork { placement.sidecar, std::move(start) });
}

void JobScheduler::end(SteadyTime now, Jobs::iterator found, CallerAnswer answer)
{
    Job job = std::move(found->second);
    this->jobs.erase(found);
    const std::uint64_t id = job.specification.id;
    std::map<Core::InstanceId, Messages::StopRuns> stops;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            const Task& task = job.steps[step].tasks[index];
            if (task.phase == TaskPhase::Ordered)
                stops[task.sidecar].tasks.push_back({ id, 0, step, index });
        }
    }
    for (auto& [sidecar, stop] : stops) {
        stop.clockEcho = this->board[sidecar].clockSample;
        this->actions.push_back(SendWork { sidecar, std::move(stop) });
    }
    const bool isExpected = answer.kind == AnswerKind::State && answer.state == JobState::Completed;
    this->log.write(isExpected ? LogLevel::Debug : LogLevel::Info, "job ended",
        { { "job", id }, { "queue", job.queue.name }, { "answer", std::string(Core::enumName(answer.kind)) },
            { "state", std::string(Core::enumName(answer.state)) }, { "reason", answer.reason },
            { "tasks", static_cast<std::uint64_t>(job.steps.front().tasks.size()) },
            { "millicores", job.specification.steps.front().need.milliCores },
            { "declared_ms", job.specification.steps.front().declaredMilliseconds },
            { "longest_run_ms", static_cast<std::int64_t>(job.longestRunSeconds * 1000) },
            { "response_ms", milliseconds(now - job.arrivedAt) } });
    if (answer.kind == AnswerKind::State) {
        this->outcomes[id] = { answer, now };
        this->outcomeOrder.emplace_back(now, id);
    }
    this->answer(job.request, std::move(answer));
}

void JobScheduler::answer(RequestNumber request, CallerAnswer answer)
{
    if (request != 0)
        this->actions.push_back(AnswerRequest { request, std::move(answer) });
}

std::vector<SchedulerAction> JobScheduler::poll(SteadyTime now)
{
    this->expireJobs(now);
    this->placeWaiting(now);
    this->keepAlive(now);
    while (!this->outcomeOrder.empty() && this->outcomeOrder.front().first + this->settings.outcomeRetention < now) {
        this->outcomes.erase(this->outcomeOrder.front().second);
        this->outcomeOrder.pop_front();
    }
    return std::exchange(this->actions, {});
}

void JobScheduler::logRoom(const Job& job)
{
    std::uint64_t usable = 0;
    std::uint64_t probation = 0;
    std::int64_t free = 0;
    std::int64_t queued = 0;
    std::int64_t places = 0;
    for (const auto& [sidecar, worker] : this->board) {
        if (!worker.isUsable() || worker.profile.service != job.queue.service)
            continue;
        ++usable;
        probation += worker.load.isOnProbation ? 1 : 0;
        free += worker.load.free.milliCores;
        for (const Messages::QueuedRoom& room : worker.load.queued)
            queued += room.milliCores;
        places += std::max<std::int64_t>(0, job.specification.steps.front().need.countIn(worker.roomFor(job.rank)));
    }
    this->log.write(LogLevel::Info, "job finds no room",
        { { "job", job.specification.id }, { "queue", job.queue.name }, { "workers", usable },
            { "on_probation", probation }, { "free_millicores", free }, { "queued_millicores", queued },
            { "places", places }, { "rank_class", Messages::rankClassOf(job.rank) } });
}

void JobScheduler::expireJobs(SteadyTime now)
{
    for (auto next = this->jobs.begin(); next != this->jobs.end();) {
        const auto found = next++;
        if (!found->second.hasBegun && now >= found->second.waitUntil) {
            const SteadyTime longest = after(found->second.arrivedAt,
                std::chrono::duration<double>(found->second.patience).count() * this->settings.findingPatience);
            if (now < longest && this->isFindingWorkers(now)) {
                found->second.waitUntil = std::min(longest, now + findingStep);
                this->isPlacingDue = true;
                continue;
            }
            this->logRoom(found->second);
            this->end(now, found, { AnswerKind::NotRun, {}, 0, retryAfterRefusal, "no room" });
        } else if (now >= found->second.limit)
            this->end(now, found, { AnswerKind::GivenUp, {}, 0, {}, "deadline" });
    }
}

void JobScheduler::keepAlive(SteadyTime now)
{
    for (auto& [sidecar, worker] : this->board) {
        if (!worker.isConnected) {
            if (worker.heardAt != SteadyTime {} && now >= worker.heardAt + this->settings.runsOverTime) {
                worker.heardAt = {};
                this->loseRuns(sidecar, "sidecar out of contact");
            }
            continue;
        }
        SteadyTime& sentAt = this->aliveSentAt[sidecar];
        if (now < sentAt + this->settings.aliveInterval)
            continue;
        sentAt = now;
        this->actions.push_back(SendWork { sidecar, Messages::EntryAlive { worker.clockSample } });
    }
}

SteadyTime JobScheduler::nextWakeUp() const
{
    SteadyTime due = SteadyTime::max();
    for (const auto& [id, job] : this->jobs)
        due = std::min(due, job.hasBegun ? job.limit : job.waitUntil);
    for (const auto& [sidecar, worker] : this->board) {
        const auto sent = this->aliveSentAt.find(sidecar);
        if (worker.isConnected && sent != this->aliveSentAt.end())
            due = std::min(due, sent->second + this->settings.aliveInterval);
        else if (!worker.isConnected && worker.heardAt != SteadyTime {})
            due = std::min(due, worker.heardAt + this->settings.runsOverTime);
    }
    return due;
}

}
