// Calls to the worker (start, stop, lease renewal) and the handling of their responses.
#include "celeryswitch/Workers/RunSupervisor.h"

#include <algorithm>

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;

namespace {

// Retries of a start that the worker refused because of an old fencing token or run number.
constexpr std::uint32_t startRetryLimit = 6;
// Delay after the expected end of a run until the worker is asked for it: a share of the expected time, and a minimum.
constexpr int overduePercent = 50;
constexpr Core::Duration overdueMinimum = std::chrono::milliseconds(40);
// Time between list polls while runs are overdue or uncertain.
constexpr Core::Duration listPollInterval = std::chrono::milliseconds(100);
// The same while calls go unanswered, since a pending long poll is then likely to be lost as well.
constexpr Core::Duration unstableContactOverdueMargin = std::chrono::milliseconds(5);
constexpr Core::Duration unstableContactPollInterval = std::chrono::milliseconds(25);
constexpr Core::Duration unreachablePollInterval = std::chrono::milliseconds(250);
// Delay before a stop call that could not be sent is retried.
constexpr Core::Duration stopRetryDelay = std::chrono::milliseconds(50);
// A call that fails within this time was refused or reset rather than lost.
constexpr Core::Duration immediateFailureLimit = std::chrono::milliseconds(20);
// Bounds of the backoff after such a failure; it doubles with each consecutive one.
constexpr Core::Duration minimumBackoff = std::chrono::milliseconds(10);
constexpr Core::Duration maximumBackoff = std::chrono::milliseconds(200);

}

std::uint64_t RunSupervisor::sendCall(SteadyTime now, WorkerCall call, Core::Duration timeout, bool isLongPoll)
{
    const std::uint64_t callId = ++this->lastCall;
    this->pending.emplace(callId, PendingCall { call, this->fencingToken, now, isLongPoll });
    this->actions.push_back(CallWorker {
        callId, std::move(call), this->worker.profile ? this->worker.profile->workerId : std::string(), timeout });
    return callId;
}

const CallTimeouts& RunSupervisor::currentTimeouts(SteadyTime now) const
{
    return this->isContactUnstable(now) ? this->settings.unstableContactTimeouts : this->settings.timeouts;
}

void RunSupervisor::sendStart(SteadyTime now, Run& run)
{
    run.startToken = this->fencingToken;
    run.orderedIncarnation = run.bornAt;
    if (run.orderedAt == SteadyTime {})
        run.orderedAt = now;
    const std::int64_t leaseEnd = this->extendLease(now).value_or(this->worker.leaseEnd);
    this->sendCall(now, StartCall { run.task, run.number, *run.content, leaseEnd, this->fencingToken, run.bornAt },
        this->currentTimeouts(now).startTimeout);
}

void RunSupervisor::sendStop(SteadyTime now, Run& run)
{
    run.stopAcceptedAt = SteadyTime::max();
    run.stopRetryAt = SteadyTime::max();
    this->sendCall(now, StopCall { run.task, run.number, this->fencingToken }, this->currentTimeouts(now).callTimeout);
}

void RunSupervisor::sendRenewLease(SteadyTime now, bool isLongPoll)
{
    // After a failed call another incarnation may answer, whose ends are numbered anew; it must not forget them.
    const std::uint64_t acknowledgedEnds = this->unansweredCalls > 0 ? 0 : this->worker.acknowledgedEnds;
    RenewLeaseCall call { this->fencingToken, acknowledgedEnds, std::nullopt, {} };
    // The lease of an unresponsive worker is left to expire, which bounds the time at which its runs have ended. While
    // a renewal may still be executed late, no second one is sent: together they could prolong the lease past that
    // time.
    if (this->worker.clock.isKnown() && this->hasOwnedRun() && this->unansweredCalls < unansweredCallLimit
        && !this->hasDoubtfulCalls())
        call.leaseEnd = this->extendLease(now);
    if (isLongPoll) {
        call.wait = this->currentTimeouts(now).leasePollWait;
        this->isLongPollPending = true;
    } else {
        this->isListPollPending = true;
    }
    this->sendCall(now, call, call.wait + this->currentTimeouts(now).callTimeout, isLongPoll);
}

bool RunSupervisor::hasOwnedRun() const
{
    // Runs of a previous incarnation of this process don't extend the lease until an entry claims them.
    return std::any_of(this->runs.all().begin(), this->runs.all().end(), [](const auto& entry) {
        const Run& run = entry.second;
        return run.phase != RunPhase::Ended && run.phase != RunPhase::Queued && !run.entry.empty();
    });
}

bool RunSupervisor::isListPollDue(SteadyTime now) const
{
    if (!this->worker.isRunListKnown || this->unansweredCalls > 0 || this->hasDoubtfulCalls()
        || this->announcedSuccessor)
        return true;
    for (const auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Uncertain)
            return true;
        if (run.phase == RunPhase::Stopping && run.stopAcceptedAt != SteadyTime::max()
            && now >= run.stopAcceptedAt + this->settings.stopTimeout)
            return true;
        if (run.phase != RunPhase::Running)
            continue;
        const Core::Duration overdue = this->isContactUnstable(now)
            ? unstableContactOverdueMargin
            : std::max<Core::Duration>(run.expectedTime * overduePercent / 100, overdueMinimum);
        if (now - overdue >= run.expectedEnd)
            return true;
    }
    return false;
}

bool RunSupervisor::isContactUnstable(SteadyTime now) const
{
    return this->unansweredAt != SteadyTime {} && now < this->unansweredAt + this->settings.unstableContactPeriod;
}

void RunSupervisor::renewLeaseIfDue(SteadyTime now)
{
    if (now < this->backoffUntil)
        return;
    // Starts in doubt on an unresponsive worker may stay so for long.
    const bool hasActiveRuns = this->unansweredCalls < unansweredCallLimit
        ? this->runs.activeCount() > 0
        : std::any_of(this->runs.all().begin(), this->runs.all().end(), [this](const auto& entry) {
              const Run& run = entry.second;
              return run.phase != RunPhase::Ended && run.phase != RunPhase::Queued && !this->isStartInDoubt(run);
          });
    if (hasActiveRuns && !this->isLongPollPending && this->worker.clock.isKnown())
        this->sendRenewLease(now, true);
    if (this->isListPollPending || now < this->nextListPollAt)
        return;
    Core::Duration interval = this->isContactUnstable(now) ? unstableContactPollInterval : listPollInterval;
    if (this->isListPollDue(now)) {
        this->sendRenewLease(now, false);
        if (this->unansweredCalls > 0 && !hasActiveRuns)
            interval = unreachablePollInterval;
    }
    this->nextListPollAt = now + interval;
}

void RunSupervisor::callFinished(SteadyTime now, std::uint64_t callId, CallResult result)
{
    const auto found = this->pending.find(callId);
    if (found == this->pending.end())
        return;
    const PendingCall call = std::move(found->second);
    this->pending.erase(found);
    this->metrics.callFinished(call.call, result.status, now - call.sentAt);
    if (std::holds_alternative<RenewLeaseCall>(call.call))
        (call.isLongPoll ? this->isLongPollPending : this->isListPollPending) = false;
    if (result.status == CallStatus::OtherIncarnation) {
        this->endWorkerIncarnation(now, "another life answered");
        return;
    }
    if (!this->identifyWorker(now, call, result)) {
        // The start was not sent, whichever incarnation runs now.
        if (result.status == CallStatus::NotIdentified)
            this->startAnswered(now, call, result);
        return;
    }
    const bool wasDoubtful = this->hasDoubtfulCalls();
    this->recordTokens(call, result);
    if (wasDoubtful && !this->hasDoubtfulCalls())
        this->doubtEndedAt = now;
    this->recordContact(now, result);
    this->backOffAfterFailure(now, call, result);
    if (std::holds_alternative<StartCall>(call.call))
        this->startAnswered(now, call, result);
    else if (std::holds_alternative<StopCall>(call.call))
        this->stopAnswered(now, call, result);
    else
        this->renewLeaseAnswered(now, call, result);
}

void RunSupervisor::backOffAfterFailure(SteadyTime now, const PendingCall& call, const CallResult& result)
{
    const bool isFailure = result.status == CallStatus::Unanswered || result.status == CallStatus::NotSent;
    if (!isFailure || now >= call.sentAt + immediateFailureLimit)
        return;
    const std::uint32_t doublings = std::min<std::uint32_t>(this->unansweredCalls, 8);
    this->backoffUntil = now + std::min(maximumBackoff, minimumBackoff * (1 << doublings));
}

void RunSupervisor::recordContact(SteadyTime now, const CallResult& result)
{
    if (result.status == CallStatus::Unanswered || result.status == CallStatus::NotSent) {
        this->unansweredAt = now;
        if (++this->unansweredCalls == unansweredCallLimit)
            this->log.write(LogLevel::Warning, "worker out of contact",
                { { "worker", this->worker.profile ? this->worker.profile->workerId : "" },
                    { "result", std::string(Core::enumName(result.status)) } });
        this->nextListPollAt = std::min(this->nextListPollAt, now);
        return;
    }
    if (this->unansweredCalls >= unansweredCallLimit)
        this->log.write(LogLevel::Info, "worker answers again",
            { { "worker", this->worker.profile ? this->worker.profile->workerId : "" } });
    this->unansweredCalls = 0;
    this->contactAt = now;
    if (result.clock)
        this->worker.clock.sample(now, *result.clock);
}

void RunSupervisor::startAnswered(SteadyTime now, const PendingCall& pending, const CallResult& result)
{
    const auto& call = std::get<StartCall>(pending.call);
    Run* run = this->runs.find(call.task);
    if (!run || run->number != call.run || run->phase == RunPhase::Ended)
        return;
    const bool isOpen = run->phase == RunPhase::Starting;
    switch (result.status) {
    case CallStatus::Accepted:
        run->isStartConfirmed = true;
        run->listedFrom = std::min(run->listedFrom, now);
        this->fire(now, *run, RunEvent::StartAccepted);
        return;
    case CallStatus::Refused:
        if (result.refusal == CallRefusal::Fence)
            this->raiseRefusedToken(pending);
        if (isOpen && result.refusal == CallRefusal::Fence && run->startRetries++ < startRetryLimit
            && this->isLeaseAvailable(now, run->entry)) {
            this->sendStart(now, *run);
            return;
        }
        if (isOpen && result.refusal == CallRefusal::Old && run->startRetries++ < startRetryLimit
            && this->isLeaseAvailable(now, run->entry)) {
            ++run->number;
            this->sendStart(now, *run);
            return;
        }
        this->endUnstartedRun(now, *run, RunEvent::StartRefused, NoStartProof::Refused,
            result.refusal == CallRefusal::Room       ? RunRefusal::NoRoom
                : result.refusal == CallRefusal::Late ? RunRefusal::Late
                                                      : RunRefusal::Rejected);
        break;
    case CallStatus::Unhealthy:
        this->recordRefusal(now);
        this->endUnstartedRun(now, *run, RunEvent::StartRefused, NoStartProof::Refused, RunRefusal::Unhealthy);
        break;
    case CallStatus::NotSent:
        this->endUnstartedRun(now, *run, RunEvent::StartRefused, NoStartProof::NotSent, RunRefusal::Unhealthy);
        break;
    case CallStatus::NotIdentified:
        this->endUnstartedRun(now, *run, RunEvent::StartRefused, NoStartProof::NotSent, RunRefusal::OtherIncarnation);
        break;
    case CallStatus::OtherIncarnation:
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

void RunSupervisor::stopAnswered(SteadyTime now, const PendingCall& pending, const CallResult& result)
{
    const auto& call = std::get<StopCall>(pending.call);
    Run* run = this->runs.find(call.task);
    if (!run || run->number != call.run || run->phase != RunPhase::Stopping)
        return;
    if (result.status == CallStatus::Accepted) {
        run->stopAcceptedAt = now;
        run->listedFrom = std::min(run->listedFrom, now);
        this->nextListPollAt = std::min(this->nextListPollAt, now + this->settings.stopTimeout);
        return;
    }
    const bool isRefused = result.status == CallStatus::Refused && result.refusal != CallRefusal::Fence;
    if (result.status == CallStatus::NotSent || result.status == CallStatus::Unhealthy
        || result.status == CallStatus::Unreadable || isRefused || now < this->backoffUntil) {
        run->stopRetryAt = now + stopRetryDelay;
        return;
    }
    if (result.refusal == CallRefusal::Fence)
        this->raiseRefusedToken(pending);
    if (this->unansweredCalls >= unansweredCallLimit && this->isStartInDoubt(*run)) {
        run->stopRetryAt = now + unreachablePollInterval;
        return;
    }
    this->fire(now, *run, RunEvent::StopUnanswered);
}

}
