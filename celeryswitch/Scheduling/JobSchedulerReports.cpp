// What sidecars report, and what is done when they can't.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;
using Messages::RunEnd;
using Messages::RunState;

namespace {

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
    worker.isLinked = this->linked.count(sidecar) > 0;
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
    this->metrics.runEnded(report.end);
    if (report.end == RunEnd::Done) {
        const WorkerView& worker = this->board.at(sidecar);
        this->taskDone(now, found, report, worker.pace());
        return;
    }
    job.trace.add(now, "run ended without success",
        { { "job", Messages::jobText(report.task.job) }, { "task", report.task.index }, { "run", report.run },
            { "sidecar", sidecar }, { "end", std::string(Core::enumName(report.end)) },
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
        job.trace.add(now, "job can't end in time",
            { { "job", Messages::jobText(found->first) }, { "task", report.task.index }, { "percent", report.percent },
                { "ran_ms", report.runMicroseconds / 1000 }, { "left_ms", static_cast<std::int64_t>(left * 1000) },
                { "limit_ms", milliseconds(limit - now) } });
        this->end(now, found, { AnswerKind::GivenUp, {}, 0, {}, "can't end in time" });
    }
}

void JobScheduler::restart(SteadyTime now, Job& job, const TaskId& id, Task& task)
{
    job.trace.add(now, "run restarted elsewhere",
        { { "job", Messages::jobText(id.job) }, { "task", id.index }, { "run", task.run }, { "sidecar", task.sidecar },
            { "waited_ms", milliseconds(now - job.arrivedAt) },
            { "expected_end_ms", milliseconds(task.expectedEnd - now) } });
    task.isRestarting = true;
    this->metrics.runRestarted();
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

void JobScheduler::loseRuns(SteadyTime now, const Core::InstanceId& sidecar, std::string_view reason)
{
    for (auto& [id, job] : this->jobs) {
        for (std::uint32_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
            for (Task& task : job.steps[stepIndex].tasks) {
                if (task.phase != TaskPhase::Ordered || task.sidecar != sidecar)
                    continue;
                job.trace.add(now, "run lost",
                    { { "job", Messages::jobText(id) }, { "run", task.run }, { "sidecar", sidecar },
                        { "reason", std::string(reason) } });
                ++task.run;
                job.hasRun = true;
                this->taskBack(job, stepIndex, task);
            }
        }
    }
}

void JobScheduler::keepAlive(SteadyTime now)
{
    for (auto& [sidecar, worker] : this->board) {
        if (!worker.isConnected) {
            if (worker.heardAt != SteadyTime {} && now >= worker.heardAt + this->settings.runsOverTime) {
                worker.heardAt = {};
                this->loseRuns(now, sidecar, "sidecar out of contact");
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

}
