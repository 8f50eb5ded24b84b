// The orders to the worker: starts, stops, the lease, and what the answers say.
#include "celeryswitch/Workers/RunSupervisor.h"

#include <algorithm>

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;

namespace {

// Times that a start is repeated because the worker refused an old token or run number.
constexpr std::uint32_t repeatLimit = 6;
// Time after the expected end of a run, as a share of its expected time and at least, when its absence is looked into.
constexpr int overduePercent = 50;
constexpr Core::Duration overdueMinimum = std::chrono::milliseconds(40);
// Time between two looks while runs are overdue or uncertain.
constexpr Core::Duration lookInterval = std::chrono::milliseconds(100);
// The same times while orders go unanswered, when a long poll is likely to be lost as well.
constexpr Core::Duration distrustedOverdue = std::chrono::milliseconds(5);
constexpr Core::Duration distrustedInterval = std::chrono::milliseconds(25);
constexpr Core::Duration contactInterval = std::chrono::milliseconds(250);
// Time until an order to stop that could not be sent is repeated.
constexpr Core::Duration stopPause = std::chrono::milliseconds(50);
// An order that ends without an answer within this time was refused or reset rather than lost.
constexpr Core::Duration fastFailure = std::chrono::milliseconds(20);
// Bounds of the pause after such a failure; it doubles with each in a row.
constexpr Core::Duration shortestPause = std::chrono::milliseconds(10);
constexpr Core::Duration longestPause = std::chrono::milliseconds(200);

}

std::uint64_t RunSupervisor::give(SteadyTime now, WorkerCall call, Core::Duration timeout, bool isLongPoll)
{
    const std::uint64_t callId = ++this->lastCall;
    this->pending.emplace(callId, PendingCall { call, now, isLongPoll });
    this->actions.push_back(CallWorker {
        callId, std::move(call), this->life.profile ? this->life.profile->workerId : std::string(), timeout });
    return callId;
}

const CallTimes& RunSupervisor::callTimes(SteadyTime now) const
{
    return this->isDistrusted(now) ? this->settings.distrustedTimes : this->settings.times;
}

std::int64_t RunSupervisor::extendLease(SteadyTime now)
{
    const std::int64_t end = this->life.clock.at(now)
        + std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.leaseLength).count();
    this->life.leaseEnd = std::max(this->life.leaseEnd, end);
    return end;
}

void RunSupervisor::raiseToken(SteadyTime now)
{
    // The worker's own clock outlives this process, so that a later life of the sidecar always has a higher token.
    this->life.fencingToken = std::max(
        this->life.fencingToken + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, this->life.clock.at(now))));
}

void RunSupervisor::giveStart(SteadyTime now, Run& run)
{
    run.orderedAt = SteadyTime::max();
    this->give(now, StartCall { run.task, run.number, *run.content, this->extendLease(now), this->life.fencingToken },
        this->callTimes(now).startTimeout);
}

void RunSupervisor::giveStop(SteadyTime now, Run& run)
{
    run.orderedAt = SteadyTime::max();
    run.stopAgainAt = SteadyTime::max();
    this->give(now, StopCall { run.task, run.number, this->life.fencingToken }, this->callTimes(now).callTimeout);
}

void RunSupervisor::giveHold(SteadyTime now, bool isLongPoll)
{
    HoldCall call { this->life.fencingToken, this->life.notedEnds, std::nullopt, {} };
    // The lease of a worker that does not answer runs out, so that it is known when nothing runs there any more.
    if (this->life.clock.isKnown() && this->hasWantedRun() && this->unansweredCalls < unansweredLimit)
        call.leaseEnd = this->extendLease(now);
    if (isLongPoll) {
        call.wait = this->callTimes(now).holdWait;
        this->isLongPollOut = true;
    } else {
        this->isLookOut = true;
    }
    this->give(now, call, call.wait + this->callTimes(now).callTimeout, isLongPoll);
}

bool RunSupervisor::hasWantedRun() const
{
    // What an earlier life of this process started is kept no longer than that life wanted, until an entry claims it.
    return std::any_of(this->runs.all().begin(), this->runs.all().end(), [](const auto& entry) {
        const Run& run = entry.second;
        return run.phase != RunPhase::Ended && run.phase != RunPhase::Queued && !run.entry.empty();
    });
}

bool RunSupervisor::isLookDue(SteadyTime now) const
{
    if (!this->life.isListed || this->unansweredCalls > 0)
        return true;
    for (const auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Uncertain)
            return true;
        if (run.phase == RunPhase::Stopping && run.orderedAt != SteadyTime::max()
            && now >= run.orderedAt + this->settings.stopTime)
            return true;
        if (run.phase != RunPhase::Running)
            continue;
        const Core::Duration overdue = this->isDistrusted(now)
            ? distrustedOverdue
            : std::max<Core::Duration>(run.expectedTime * overduePercent / 100, overdueMinimum);
        if (now - overdue >= run.expectedEnd)
            return true;
    }
    return false;
}

bool RunSupervisor::isDistrusted(SteadyTime now) const
{
    return this->unansweredAt != SteadyTime {} && now < this->unansweredAt + this->settings.distrustTime;
}

void RunSupervisor::holdIfDue(SteadyTime now)
{
    if (now < this->pausedUntil)
        return;
    const bool isNeeded = this->runs.activeCount() > 0;
    if (isNeeded && !this->isLongPollOut && this->life.clock.isKnown())
        this->giveHold(now, true);
    if (this->isLookOut || now < this->nextLook)
        return;
    Core::Duration interval = this->isDistrusted(now) ? distrustedInterval : lookInterval;
    if (this->isLookDue(now)) {
        this->giveHold(now, false);
        if (this->unansweredCalls > 0 && !isNeeded)
            interval = contactInterval;
    }
    this->nextLook = now + interval;
}

void RunSupervisor::called(SteadyTime now, std::uint64_t callId, CallResult result)
{
    const auto found = this->pending.find(callId);
    if (found == this->pending.end())
        return;
    const PendingCall call = std::move(found->second);
    this->pending.erase(found);
    this->metrics.called(call.call, result.status, now - call.sentAt);
    if (std::holds_alternative<HoldCall>(call.call))
        (call.isLongPoll ? this->isLongPollOut : this->isLookOut) = false;
    const bool isOtherLife = result.status == CallStatus::OtherLife
        || (result.bornAt && this->life.bornAt && *result.bornAt != *this->life.bornAt);
    if (isOtherLife) {
        this->endLife(now, "another life answered");
        return;
    }
    this->noteContact(now, result);
    this->pauseAfter(now, call, result);
    if (const auto* start = std::get_if<StartCall>(&call.call))
        this->startAnswered(now, *start, result);
    else if (const auto* stop = std::get_if<StopCall>(&call.call))
        this->stopAnswered(now, *stop, result);
    else
        this->holdAnswered(now, call, result);
}

void RunSupervisor::pauseAfter(SteadyTime now, const PendingCall& call, const CallResult& result)
{
    const bool isFailure = result.status == CallStatus::Unanswered || result.status == CallStatus::NotSent;
    if (!isFailure || now >= call.sentAt + fastFailure)
        return;
    const std::uint32_t doublings = std::min<std::uint32_t>(this->unansweredCalls, 8);
    this->pausedUntil = now + std::min(longestPause, shortestPause * (1 << doublings));
}

void RunSupervisor::noteContact(SteadyTime now, const CallResult& result)
{
    if (result.status == CallStatus::Unanswered || result.status == CallStatus::NotSent) {
        this->unansweredAt = now;
        if (++this->unansweredCalls == unansweredLimit)
            this->log.write(LogLevel::Warning, "worker out of contact",
                { { "worker", this->life.profile ? this->life.profile->workerId : "" },
                    { "result", std::string(Core::enumName(result.status)) } });
        this->nextLook = std::min(this->nextLook, now);
        return;
    }
    if (this->unansweredCalls >= unansweredLimit)
        this->log.write(LogLevel::Info, "worker answers again",
            { { "worker", this->life.profile ? this->life.profile->workerId : "" } });
    this->unansweredCalls = 0;
    this->contactAt = now;
    if (result.bornAt && !this->life.bornAt) {
        this->life.bornAt = result.bornAt;
        this->useKnownWorker();
    }
    if (result.clock) {
        this->life.clock.sample(now, *result.clock);
        if (this->life.fencingToken == 0)
            this->raiseToken(now);
    }
}

void RunSupervisor::startAnswered(SteadyTime now, const StartCall& call, const CallResult& result)
{
    Run* run = this->runs.find(call.task);
    if (!run || run->number != call.run || run->phase == RunPhase::Ended)
        return;
    const bool isOpen = run->phase == RunPhase::Starting;
    switch (result.status) {
    case CallStatus::Accepted:
        run->orderedAt = now;
        this->fire(now, *run, RunEvent::StartAccepted);
        return;
    case CallStatus::Refused:
        if (isOpen && result.refusal == CallRefusal::Fence && run->repeats++ < repeatLimit) {
            if (call.fencingToken >= this->life.fencingToken)
                this->raiseToken(now);
            this->giveStart(now, *run);
            return;
        }
        if (isOpen && result.refusal == CallRefusal::Old && run->repeats++ < repeatLimit) {
            ++run->number;
            this->giveStart(now, *run);
            return;
        }
        this->endRun(now, *run, RunEvent::StartRefused, RunEnd::NotStarted,
            result.refusal == CallRefusal::Room       ? RunRefusal::NoRoom
                : result.refusal == CallRefusal::Late ? RunRefusal::Late
                                                      : RunRefusal::Rejected);
        break;
    case CallStatus::Unhealthy:
        this->judgeRefusal(now);
        this->endRun(now, *run, RunEvent::StartRefused, RunEnd::NotStarted, RunRefusal::Unhealthy);
        break;
    case CallStatus::NotSent:
        this->endRun(now, *run, RunEvent::StartRefused, RunEnd::NotStarted, RunRefusal::Unhealthy);
        break;
    case CallStatus::OtherLife:
        break;
    case CallStatus::Unreadable:
    case CallStatus::Unanswered:
        this->fire(now, *run, RunEvent::StartUnanswered);
        break;
    }
    this->log.write(LogLevel::Info, "start not accepted",
        { { "job", Messages::jobText(call.task.job) }, { "task", call.task.index }, { "run", call.run },
            { "result", std::string(Core::enumName(result.status)) },
            { "refusal", std::string(Core::enumName(result.refusal)) } });
}

void RunSupervisor::stopAnswered(SteadyTime now, const StopCall& call, const CallResult& result)
{
    Run* run = this->runs.find(call.task);
    if (!run || run->number != call.run || run->phase != RunPhase::Stopping)
        return;
    if (result.status == CallStatus::Accepted) {
        run->orderedAt = now;
        this->nextLook = std::min(this->nextLook, now + this->settings.stopTime);
        return;
    }
    if (result.status == CallStatus::NotSent || result.status == CallStatus::Unhealthy || now < this->pausedUntil) {
        run->stopAgainAt = now + stopPause;
        return;
    }
    if (result.refusal == CallRefusal::Fence)
        this->raiseToken(now);
    this->fire(now, *run, RunEvent::StopUnanswered);
}

void RunSupervisor::holdAnswered(SteadyTime now, const PendingCall& call, const CallResult& result)
{
    if (result.status == CallStatus::Refused && result.refusal == CallRefusal::Fence) {
        this->raiseToken(now);
        this->nextLook = now;
        return;
    }
    if (result.status != CallStatus::Accepted)
        return;
    for (const EndedRow& row : result.ended)
        this->takeEnded(now, row);
    std::map<TaskId, const RunningRow*> listed;
    for (const RunningRow& row : result.running) {
        listed.emplace(row.task, &row);
        Run* run = this->runs.find(row.task);
        if (!run && !this->life.isListed) {
            // Started by an earlier life of this sidecar.
            Run found;
            found.task = row.task;
            found.number = row.run;
            found.need = { row.milliCores, 0, 0 };
            found.phase = RunPhase::Running;
            found.startedAt = now;
            found.percent = row.percent;
            found.percentAt = now;
            found.orderedAt = now;
            found.deadline = now + this->settings.claimTime;
            found.expectedEnd = SteadyTime::max();
            this->runs.add(std::move(found));
        } else if (run && run->number == row.run) {
            this->noteProgress(now, *run, row.percent);
            this->fire(now, *run, RunEvent::Listed);
            this->reportProgress(now, *run);
        }
    }
    for (auto& [task, run] : this->runs.all()) {
        const auto found = listed.find(task);
        const bool isListed = found != listed.end() && found->second->run == run.number;
        if (run.phase != RunPhase::Ended && run.phase != RunPhase::Queued && !isListed && run.orderedAt <= call.sentAt)
            this->endRun(now, run, RunEvent::Unlisted,
                run.phase == RunPhase::Running ? RunEnd::Lost : RunEnd::NotStarted, RunRefusal::Unanswered);
    }
    if (!this->life.isListed) {
        this->life.isListed = true;
        this->answerClaims(now);
    }
}

void RunSupervisor::noteProgress(SteadyTime now, Run& run, std::uint32_t percent)
{
    if (run.phase != RunPhase::Running || run.expectedTime <= Core::Duration::zero() || percent < run.percent)
        return;
    this->health.progressed(now, run.expectedTime * (percent - run.percent) / 100, now - run.percentAt);
    run.percent = percent;
    run.percentAt = now;
}

void RunSupervisor::reportProgress(SteadyTime now, Run& run)
{
    // Only a percentage that was read just now says something about the time that is left.
    if (run.phase != RunPhase::Running || now < run.startedAt + this->settings.progressInterval
        || now < run.reportedAt + this->settings.progressInterval)
        return;
    run.reportedAt = now;
    this->report(now, run);
}

void RunSupervisor::takeEnded(SteadyTime now, const EndedRow& row)
{
    if (row.number <= this->life.notedEnds)
        return;
    this->life.notedEnds = row.number;
    Run* run = this->runs.find(row.task);
    if (run && run->phase != RunPhase::Ended && run->number == row.run) {
        if (run->startedAt == SteadyTime {})
            run->startedAt = now;
        if (row.end == RunEnd::Done)
            this->noteProgress(now, *run, 100);
        this->endRun(now, *run, RunEvent::EndListed, row.end);
        return;
    }
    if (run)
        return;
    // Ended before this life of the sidecar could read it; an entry may still claim it.
    Run ended;
    ended.task = row.task;
    ended.number = row.run;
    ended.phase = RunPhase::Running;
    Run& added = this->runs.add(std::move(ended));
    this->endRun(now, added, RunEvent::EndListed, row.end);
}

}
