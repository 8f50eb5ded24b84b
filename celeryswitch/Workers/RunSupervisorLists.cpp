// What the worker's lists of running and ended runs prove.
#include "celeryswitch/Workers/RunSupervisor.h"

#include <algorithm>
#include <set>

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;

namespace {

// Time between renewals of the lease while the worker lists an end that can't be read and so not be acknowledged.
constexpr Core::Duration unreadableEndPause = std::chrono::milliseconds(10);

}

void RunSupervisor::renewLeaseAnswered(SteadyTime now, const PendingCall& call, const CallResult& result)
{
    if (result.status == CallStatus::Refused && result.refusal == CallRefusal::Fence) {
        this->raiseRefusedToken(call);
        this->nextListPollAt = now;
        return;
    }
    if (result.status != CallStatus::Accepted)
        return;
    for (const EndedRunRecord& record : result.ended)
        this->handleEndedRun(now, record);
    std::set<std::pair<TaskId, std::uint32_t>> listed;
    for (const RunningRunRecord& record : result.running) {
        listed.emplace(record.task, record.run);
        this->handleRunningRun(now, call, record);
    }
    // A row that can't be read may be any run, unless it has outlasted every lease.
    const bool isListWhole = !result.hasUnreadableRunning || this->isLeaseCertainlyOver(call.sentAt);
    for (auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Ended || run.phase == RunPhase::Queued)
            continue;
        run.mayHaveEnded = run.mayHaveEnded || result.hasUnreadableEnded;
        // Absence proves the end only if the run can't start any more: its start or stop was answered before, or a
        // higher fencing token voids the start.
        if (listed.count({ task, run.number }) > 0
            || (call.sentAt < run.listedFrom && call.fencingToken <= run.startToken))
            continue;
        if (isListWhole)
            this->endUnlistedRun(now, run, result.workerStartedAt);
        else if (run.phase != RunPhase::Starting)
            // A run that must end bounds the lease, so that the end is certain at the latest when the lease is over.
            this->stopRun(now, run, "missing in a list with an unreadable row");
    }
    // A list that calls of a previous incarnation of this process could still change proves nothing about its runs.
    if (!this->worker.isRunListKnown && !this->hasDoubtfulCalls() && isListWhole) {
        this->worker.isRunListKnown = true;
        this->answerClaims(now);
    }
    if (result.hasUnreadableEnded) {
        // The worker lists the row again and answers long polls at once because of it.
        this->backoffUntil = std::max(this->backoffUntil, now + unreadableEndPause);
        this->nextListPollAt = std::min(this->nextListPollAt, this->backoffUntil);
    }
}

void RunSupervisor::endUnlistedRun(SteadyTime now, Run& run, std::optional<std::int64_t> listedBy)
{
    // Another incarnation doesn't know what the one that the start was sent to had begun.
    const bool isSameIncarnation = listedBy && listedBy == run.orderedIncarnation;
    if (isSameIncarnation && !run.isStartConfirmed && !run.mayHaveEnded)
        this->endUnstartedRun(now, run, RunEvent::Unlisted, NoStartProof::Unlisted, RunRefusal::Unanswered);
    else
        this->endRun(now, run, RunEvent::Unlisted, RunEnd::Lost, RunRefusal::Unanswered);
}

void RunSupervisor::handleRunningRun(SteadyTime now, const PendingCall& call, const RunningRunRecord& record)
{
    Run* run = this->runs.find(record.task);
    if (run && run->number == record.run && run->phase != RunPhase::Ended) {
        run->isStartConfirmed = true;
        run->listedFrom = std::min(run->listedFrom, now);
        this->recordProgress(now, *run, record.percent);
        this->fire(now, *run, RunEvent::Listed);
        this->reportProgress(now, *run);
        return;
    }
    const bool isLaterRun = run && run->phase == RunPhase::Ended && run->number < record.run;
    if (this->worker.isRunListKnown || (run && !isLaterRun)) {
        this->stopUnexpectedRun(now, call, record);
        return;
    }
    // Started by a previous incarnation of this sidecar; the worker may list the end of an earlier run as well.
    Run found;
    found.task = record.task;
    found.number = record.run;
    found.need = { record.milliCores, 0, 0 };
    found.phase = RunPhase::Running;
    found.orderedAt = now;
    found.startedAt = now;
    found.percent = record.percent;
    found.progressReadAt = now;
    found.isStartConfirmed = true;
    found.listedFrom = now;
    found.deadline = now + this->settings.claimPeriod;
    found.expectedEnd = SteadyTime::max();
    this->runs.add(std::move(found));
}

void RunSupervisor::stopUnexpectedRun(SteadyTime now, const PendingCall& call, const RunningRunRecord& record)
{
    const Run* run = this->runs.find(record.task);
    // A list that was requested before the run ended may show it although it is over.
    if (run && run->phase == RunPhase::Ended && call.sentAt <= run->endedAt)
        return;
    this->log.write(LogLevel::Warning, "unexpected run listed",
        { { "job", Messages::jobText(record.task.job) }, { "task", record.task.index }, { "run", record.run },
            { "known_run", run ? static_cast<std::int64_t>(run->number) : -1 },
            { "known_phase", run ? std::string(Core::enumName(run->phase)) : "none" } });
    this->sendCall(
        now, StopCall { record.task, record.run, this->fencingToken }, this->currentTimeouts(now).callTimeout);
}

void RunSupervisor::recordProgress(SteadyTime now, Run& run, std::uint32_t percent)
{
    if (run.phase != RunPhase::Running || run.expectedTime <= Core::Duration::zero() || percent < run.percent)
        return;
    this->health.recordProgress(now, run.expectedTime * (percent - run.percent) / 100, now - run.progressReadAt);
    run.percent = percent;
    run.progressReadAt = now;
}

void RunSupervisor::reportProgress(SteadyTime now, Run& run)
{
    // Called only with a percentage that was just received; an old one says nothing about the remaining time.
    if (run.phase != RunPhase::Running || now < run.startedAt + this->settings.progressInterval
        || now < run.reportedAt + this->settings.progressInterval)
        return;
    run.reportedAt = now;
    this->report(now, run);
}

void RunSupervisor::handleEndedRun(SteadyTime now, const EndedRunRecord& record)
{
    if (record.number <= this->worker.acknowledgedEnds)
        return;
    this->worker.acknowledgedEnds = record.number;
    Run* run = this->runs.find(record.task);
    if (run && run->phase != RunPhase::Ended && run->number == record.run) {
        if (run->startedAt == SteadyTime {})
            run->startedAt = now;
        if (record.end == RunEnd::Done)
            this->recordProgress(now, *run, 100);
        this->endRun(now, *run, RunEvent::EndListed, record.end);
        return;
    }
    if (run)
        return;
    // Started by a previous incarnation of this sidecar and ended since; an entry may still claim it.
    Run ended;
    ended.task = record.task;
    ended.number = record.run;
    ended.phase = RunPhase::Running;
    Run& added = this->runs.add(std::move(ended));
    this->endRun(now, added, RunEvent::EndListed, record.end);
}

}
