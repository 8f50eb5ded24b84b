// Handling of sidecars' updates and of lost contact with them.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;
using Messages::RunEnd;
using Messages::RunState;

namespace {

// Progress, in percent, from which on the end of a run is extrapolated.
constexpr std::uint32_t minimumReliablePercent = 4;
// Percentages are rounded down by half a percent on average.
constexpr double meanRoundingPercent = 0.5;
// A run below that progress after this share of its expected time plus `stalledSeconds` counts as stalled; its
// remaining time is then estimated as this multiple of the expected time.
constexpr double stalledShare = 0.3;
constexpr double stalledSeconds = 0.1;
constexpr double stalledTimeFactor = 10;
// Relative error of the extrapolated time: in all cases, and additionally at 0 % progress, where it falls with 1 /
// (percent + 1).
constexpr double extrapolationError = 0.02;
constexpr double roundingError = 0.7;
// Minimum ratio of a run's remaining time to the time of a new run elsewhere for a restart.
constexpr double minimumRestartGain = 1.3;

}

void JobScheduler::sidecarConnected(SteadyTime now, const Messages::Member& member)
{
    const Core::InstanceId& sidecar = member.identity.instanceId;
    WorkerView& worker = this->workerTable[sidecar];
    worker.sidecar = sidecar;
    worker.dataCentre = member.identity.dataCentre;
    if (worker.profile.workerId.empty() || worker.profile.bornAt < member.worker.bornAt) {
        // Pace, failures and draining are those of one incarnation.
        worker.profile = member.worker;
        worker.load = {};
    }
    this->isCapacityIndexStale = true;
    worker.isConnected = true;
    worker.isLinked = this->linked.count(sidecar) > 0;
    worker.isEvacuated = this->evacuatedDataCentres.count(worker.dataCentre) > 0;
    worker.load.isReady = false;
    worker.lastSequence = 0;
    // A sample of the previous connection proves nothing if the sidecar's machine was restarted.
    worker.clockSample = 0;
    worker.clockEcho = 0;
    worker.countOrders(UINT64_MAX);
    worker.lastReceivedAt = std::max(worker.lastReceivedAt, now);
    Messages::ClaimRuns claims;
    for (const auto& [id, job] : this->jobs) {
        for (const std::uint32_t step : job.startedSteps) {
            job.steps[step].tasks.forEachOrdered([&, &id = id, &job = job](const Task& task) {
                if (task.sidecar == sidecar)
                    claims.runs.push_back(
                        { { { id, 0, step, task.index }, task.order }, task.run, job.specification.steps[step].need });
            });
        }
    }
    this->actions.push_back(SendToSidecar { sidecar, std::move(claims) });
    if (!worker.profile.workerId.empty())
        this->actions.push_back(
            SendToSidecar { sidecar, Messages::KnownWorker { worker.profile, worker.load.isDraining } });
}

void JobScheduler::sidecarDisconnected(const Core::InstanceId& sidecar)
{
    const auto found = this->workerTable.find(sidecar);
    if (found != this->workerTable.end())
        found->second.isConnected = false;
    this->forgetReservationsAt(sidecar);
}

void JobScheduler::updateReceived(SteadyTime now, const Core::InstanceId& sidecar, Messages::WorkerUpdate update)
{
    WorkerView& worker = this->workerTable[sidecar];
    this->isCapacityIndexStale = this->isCapacityIndexStale || !update.profile.empty();
    worker.incarnation = update.incarnation;
    worker.clockSample = update.clockSample;
    worker.lastReceivedAt = now;
    const bool wasUsable = worker.isUsable();
    if (!update.profile.empty()) {
        // Reservations on another incarnation may be on the wrong kind of worker.
        if (worker.profile.bornAt != update.profile.front().bornAt)
            this->forgetReservationsAt(sidecar);
        worker.profile = std::move(update.profile.front());
    }
    worker.load = std::move(update.load);
    this->noteChange(worker);
    if (wasUsable && !worker.isUsable())
        this->forgetReservationsAt(sidecar);
    this->isFullPlacementDue = this->isFullPlacementDue || (!wasUsable && worker.isUsable());
    worker.countOrders(update.handledSequence);
    this->isFirstEchoDue = this->isFirstEchoDue || worker.clockEcho == 0;
    for (const Messages::RunReport& report : update.reports) {
        if (report.state == RunState::Running && !this->findOrdered(sidecar, report.ordered))
            this->stopUnwantedRun(sidecar, report);
        else
            this->handleReport(now, sidecar, report);
    }
    this->isPlacementDue = true;
}

Task* JobScheduler::findOrdered(const Core::InstanceId& sidecar, const Messages::OrderedTask& ordered)
{
    const TaskId& id = ordered.task;
    const auto found = this->jobs.find(id.job);
    if (found == this->jobs.end() || id.step >= found->second.steps.size())
        return nullptr;
    Task* const task = found->second.steps[id.step].tasks.find(id.index);
    return task && task->isOrdered && task->sidecar == sidecar && task->order == ordered.order ? task : nullptr;
}

void JobScheduler::stopUnwantedRun(const Core::InstanceId& sidecar, const Messages::RunReport& report)
{
    this->log.write(Logging::LogLevel::Info, "unwanted run reported",
        { { "job", Messages::jobText(report.ordered.task.job) }, { "task", report.ordered.task.index },
            { "run", report.run }, { "order", report.ordered.order }, { "sidecar", sidecar } });
    this->actions.push_back(
        SendToSidecar { sidecar, Messages::StopRuns { this->workerTable.at(sidecar).clockEcho, { report.ordered } } });
}

void JobScheduler::handleReport(SteadyTime now, const Core::InstanceId& sidecar, const Messages::RunReport& report)
{
    Task* const ordered = this->findOrdered(sidecar, report.ordered);
    if (!ordered) {
        if (this->jobs.count(report.ordered.task.job) > 0)
            this->log.write(Logging::LogLevel::Info, "report of another order ignored",
                { { "job", Messages::jobText(report.ordered.task.job) }, { "task", report.ordered.task.index },
                    { "run", report.run }, { "order", report.ordered.order }, { "sidecar", sidecar },
                    { "end", std::string(Core::enumName(report.end)) } });
        return;
    }
    Task& task = *ordered;
    const TaskId& id = report.ordered.task;
    const auto found = this->jobs.find(id.job);
    Job& job = found->second;
    task.run = std::max(task.run, report.run);
    job.hasRun = job.hasRun || report.state == RunState::Running || report.end != RunEnd::NotStarted;
    if (report.state == RunState::Running) {
        task.isStarted = true;
        this->handleProgress(now, found, report);
        return;
    }
    ++task.run;
    this->metrics.runEnded(report.end);
    if (report.end == RunEnd::Done) {
        this->completeTask(now, found, report);
        return;
    }
    this->trace(now, job, "run ended without success",
        { { "job", Messages::jobText(id.job) }, { "task", id.index }, { "run", report.run },
            { "order", report.ordered.order }, { "sidecar", sidecar },
            { "end", std::string(Core::enumName(report.end)) },
            { "refusal", std::string(Core::enumName(report.refusal)) }, { "ran_ms", report.runMicroseconds / 1000 } });
    if (report.end == RunEnd::Failed) {
        task.avoidedSidecars.push_back(sidecar);
        if (++task.failures >= job.queue.maximumAttempts) {
            this->endJob(now, found, { AnswerKind::State, JobState::Failed, 0, {}, "attempts used up" });
            return;
        }
    }
    this->requeueTask(job, id.step, task);
}

void JobScheduler::completeTask(SteadyTime now, Jobs::iterator found, const Messages::RunReport& report)
{
    Job& job = found->second;
    const TaskId& taskId = report.ordered.task;
    Step& step = job.steps[taskId.step];
    const StepJobId id = found->first;
    Task& task = *step.tasks.find(taskId.index);
    const WorkerView& worker = this->workerTable.at(task.sidecar);
    const std::size_t records = step.tasks.recordCount();
    step.tasks.finish(task, job.specification.steps[taskId.step].tasksPerWorker > 0);
    this->changeRecords(job, records * JobBudget::taskBytes, step.tasks.recordCount() * JobBudget::taskBytes);
    --job.orderedTasks;
    const FarRuns farRuns = this->farRuns(job.specification.steps[taskId.step]);
    const double factor = farRuns.factorOn(worker);
    const double runSeconds = static_cast<double>(report.runMicroseconds) / 1e6;
    job.longestRunSeconds = std::max(job.longestRunSeconds, runSeconds / factor);
    this->workDone.workersVisited += this->workerTable.size();
    const double seconds = runSeconds * worker.speed() / medianSpeed(this->workerTable) / factor;
    if (farRuns.isEffective())
        this->modelOf(now, job.queue).recordPlace(now, runSeconds, factor > 1);
    step.longestSeconds = std::max(step.longestSeconds, seconds);
    step.sumSeconds += seconds;
    if (!step.tasks.isDone())
        return;
    this->changeRecords(job, JobBudget::stepBytes, 0);
    this->modelOf(now, job.queue)
        .recordStep(job.specification.steps[taskId.step].declaredMilliseconds / 1000.0, step.longestSeconds,
            step.sumSeconds / static_cast<double>(step.tasks.count()));
    for (const std::uint32_t dependent : step.dependents) {
        if (--job.steps[dependent].openDependencies == 0)
            this->makePlaceable(job, dependent);
    }
    if (++job.doneSteps == job.steps.size())
        this->endJob(now, found, { AnswerKind::State, JobState::Completed, 0, {}, {} });
    else
        this->enqueue(this->jobs.at(id));
}

void JobScheduler::handleProgress(SteadyTime now, Jobs::iterator found, const Messages::RunReport& report)
{
    Job& job = found->second;
    const TaskId& id = report.ordered.task;
    Task& task = *job.steps[id.step].tasks.find(id.index);
    if (task.isRestarting || now < this->decisionsFrom)
        return;
    const double elapsed = static_cast<double>(report.runMicroseconds) / 1e6;
    const double declared = job.specification.steps[id.step].declaredMilliseconds / 1000.0;
    const WorkerView& worker = this->workerTable.at(task.sidecar);
    const FarRuns farRuns = this->farRuns(job.specification.steps[id.step]);
    const double factor = farRuns.factorOn(worker);
    // Times on a near worker of median speed; the response goal refers to it as well.
    double newRunSeconds = this->modelOf(now, job.queue).taskSeconds(declared);
    double remainingSeconds = 0;
    const bool hasProgress = report.percent >= minimumReliablePercent;
    if (hasProgress) {
        remainingSeconds = elapsed * (100.0 - report.percent) / (report.percent + meanRoundingPercent);
        // A long task takes as long on another worker; a restart only helps when this worker is slow.
        newRunSeconds = (elapsed + remainingSeconds) * worker.speed() / medianSpeed(this->workerTable) / factor;
    } else if (elapsed > stalledShare * newRunSeconds * factor + stalledSeconds) {
        remainingSeconds = stalledTimeFactor * newRunSeconds * factor + elapsed;
    } else {
        return;
    }
    task.expectedEnd = addSeconds(now, remainingSeconds);
    this->workDone.workersVisited += (hasProgress ? 3 : 2) * this->workerTable.size();
    if (hasProgress)
        job.longestRunSeconds = std::max(job.longestRunSeconds, (elapsed + remainingSeconds) / factor);
    // Percentages are whole numbers, so early extrapolations are imprecise.
    const double errorSeconds
        = hasProgress ? (elapsed + remainingSeconds) * (extrapolationError + roundingError / (report.percent + 1)) : 0;
    const double speed
        = fastestSpeed(this->workerTable, job.queue.service, job.specification.steps[id.step].need, job.rank, farRuns);
    const double restartedSeconds = std::chrono::duration<double>(this->settings.restartOverhead).count()
        + newRunSeconds * medianSpeed(this->workerTable) / std::max(0.01, speed);
    const SteadyTime goal = this->goalTime(job, newRunSeconds, 1);
    const SteadyTime expiry = this->goalTime(job, newRunSeconds, this->settings.expiryFactor);
    const bool isLate = remainingSeconds - errorSeconds > secondsUntil(now, goal);
    const bool isPastExpiry = remainingSeconds - errorSeconds > secondsUntil(now, expiry);
    const bool isRestartInTime = restartedSeconds < secondsUntil(now, isPastExpiry ? expiry : goal);
    if (isLate && isRestartInTime && remainingSeconds > restartedSeconds * minimumRestartGain) {
        this->restartElsewhere(now, job, id, task);
    } else if (isPastExpiry && !isRestartInTime) {
        this->trace(now, job, "job can't end in time",
            { { "job", Messages::jobText(found->first) }, { "task", id.index }, { "percent", report.percent },
                { "ran_ms", report.runMicroseconds / 1000 },
                { "left_ms", static_cast<std::int64_t>(remainingSeconds * 1000) },
                { "limit_ms", toMilliseconds(expiry - now) } });
        this->endJob(now, found, { AnswerKind::GivenUp, {}, 0, {}, "can't end in time" });
    }
}

void JobScheduler::restartElsewhere(SteadyTime now, Job& job, const TaskId& id, Task& task)
{
    this->trace(now, job, "run restarted elsewhere",
        { { "job", Messages::jobText(id.job) }, { "task", id.index }, { "run", task.run }, { "sidecar", task.sidecar },
            { "waited_ms", toMilliseconds(now - job.arrivedAt) },
            { "expected_end_ms", toMilliseconds(task.expectedEnd - now) } });
    task.isRestarting = true;
    this->metrics.runRestarted();
    task.avoidedSidecars.push_back(task.sidecar);
    this->actions.push_back(SendToSidecar {
        task.sidecar, Messages::StopRuns { this->workerTable[task.sidecar].clockEcho, { { id, task.order } } } });
}

void JobScheduler::requeueTask(Job& job, std::uint32_t stepIndex, Task& task)
{
    job.steps[stepIndex].tasks.putBack(task);
    task.order = 0;
    task.sidecar.clear();
    task.isRestarting = false;
    task.expectedEnd = SteadyTime::max();
    // When all orders were returned without a start the job may again be refused as not run.
    --job.orderedTasks;
    job.hasBegun = job.hasRun || job.orderedTasks > 0;
    this->noteDue(job);
    this->makePlaceable(job, stepIndex);
    this->enqueue(job);
}

void JobScheduler::declareRunsLost(SteadyTime now, const Core::InstanceId& sidecar, std::string_view reason)
{
    std::uint64_t runs = 0;
    std::uint64_t inDoubt = 0;
    for (auto& [id, job] : this->jobs) {
        for (const std::uint32_t stepIndex : job.startedSteps) {
            std::vector<std::uint32_t> there;
            job.steps[stepIndex].tasks.forEachOrdered([&](const Task& each) {
                if (each.sidecar == sidecar)
                    there.push_back(each.index);
            });
            for (const std::uint32_t index : there) {
                Task& task = *job.steps[stepIndex].tasks.find(index);
                // Leases bound runs that have started. A start that the worker has not answered may be executed at any
                // time until its sidecar has voided it, so that the task waits for the sidecar or for its job's end.
                if (!task.isStarted) {
                    ++inDoubt;
                    this->trace(now, job, "start in doubt",
                        { { "job", Messages::jobText(id) }, { "run", task.run }, { "order", task.order },
                            { "sidecar", sidecar } });
                    continue;
                }
                ++runs;
                this->trace(now, job, "run lost",
                    { { "job", Messages::jobText(id) }, { "run", task.run }, { "sidecar", sidecar },
                        { "reason", std::string(reason) } });
                ++task.run;
                job.hasRun = true;
                this->requeueTask(job, stepIndex, task);
            }
        }
    }
    if (runs + inDoubt > 0)
        this->log.write(Logging::LogLevel::Warning, "runs declared lost",
            { { "sidecar", sidecar }, { "reason", std::string(reason) }, { "runs", runs }, { "in_doubt", inDoubt } });
}

bool JobScheduler::isCallerCheckDue(SteadyTime now) const
{
    return this->isFirstEchoDue || now >= this->callersCheckedAt + this->settings.callerCheckInterval;
}

void JobScheduler::callersChecked(SteadyTime now)
{
    this->callersCheckedAt = now;
    this->isFirstEchoDue = false;
    for (auto& [sidecar, worker] : this->workerTable) {
        const bool isFirst = worker.clockEcho == 0 && worker.clockSample != 0;
        worker.clockEcho = worker.clockSample;
        if (!isFirst || !worker.isConnected)
            continue;
        // A new connection starts nothing before its first echo.
        this->lastSentAt[sidecar] = now;
        this->actions.push_back(SendToSidecar { sidecar, Messages::EntryAlive { worker.clockEcho } });
    }
}

void JobScheduler::maintainSidecars(SteadyTime now)
{
    this->workDone.workersVisited += this->workerTable.size();
    for (auto& [sidecar, worker] : this->workerTable) {
        if (!worker.isConnected) {
            if (worker.lastReceivedAt != SteadyTime {}
                && now >= worker.lastReceivedAt + this->settings.unreachableRunsTimeout) {
                worker.lastReceivedAt = {};
                this->declareRunsLost(now, sidecar, "sidecar out of contact");
            }
            continue;
        }
        SteadyTime& sentAt = this->lastSentAt[sidecar];
        if (now < sentAt + this->settings.heartbeatInterval)
            continue;
        sentAt = now;
        this->actions.push_back(SendToSidecar { sidecar, Messages::EntryAlive { worker.clockEcho } });
    }
}

}
