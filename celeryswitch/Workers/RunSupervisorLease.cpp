// The lease of the worker, and the fencing tokens that void calls which may still be executed.
#include "celeryswitch/Workers/RunSupervisor.h"

#include <algorithm>

namespace celeryswitch::Workers {

using Core::SteadyTime;
using Logging::LogLevel;

namespace {

// Lowest rate of a worker's clock.
constexpr int slowestWorkerClockPercent = 98;

}

SteadyTime RunSupervisor::leaseLimit() const
{
    SteadyTime limit = SteadyTime::max();
    for (const auto& [task, run] : this->runs.all()) {
        if (run.phase == RunPhase::Ended || run.phase == RunPhase::Queued)
            continue;
        const auto entry = this->entries.find(run.entry);
        if (run.mustEndBy != SteadyTime::max())
            limit = std::min(limit, run.mustEndBy - this->settings.retryMargin);
        else if (entry != this->entries.end())
            limit = std::min(
                limit, entry->second.provenAliveAt + this->settings.callerRetryDelay - this->settings.retryMargin);
        else // A run of a previous incarnation of this process that no entry has claimed.
            return SteadyTime::min();
    }
    return limit;
}

bool RunSupervisor::isLeaseAvailable(SteadyTime now, const Core::InstanceId& entryId) const
{
    const auto entry = this->entries.find(entryId);
    if (this->hasDoubtfulCalls() || entry == this->entries.end() || this->leaseLimit() < now + minimumStartLease)
        return false;
    // Other runs may have prolonged the lease beyond the time that the entry of this one allows, and it never shortens.
    const SteadyTime limit = entry->second.provenAliveAt + this->settings.callerRetryDelay - this->settings.retryMargin;
    return limit >= now + minimumStartLease && this->worker.clock.certainlyPassedAt(this->worker.leaseEnd) <= limit;
}

bool RunSupervisor::isLeaseCertainlyOver(SteadyTime time) const
{
    if (this->hasDoubtfulCalls() || this->worker.identifiedAt == SteadyTime {} || !this->worker.clock.isKnown())
        return false;
    // A call in doubt may have been executed just before it was voided, with its lease counted from then.
    const SteadyTime doubtPassedAt = this->doubtEndedAt + this->settings.longestLease * 100 / slowestWorkerClockPercent;
    return time >= std::max(this->worker.clock.certainlyPassedAt(this->worker.leaseEnd), doubtPassedAt)
        + this->settings.stopTimeout;
}

std::optional<std::int64_t> RunSupervisor::extendLease(SteadyTime now)
{
    const SteadyTime limit = this->leaseLimit();
    const std::int64_t current = this->worker.clock.at(now);
    std::int64_t end
        = current + std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.leaseLength).count();
    if (limit <= now)
        return std::nullopt;
    if (limit < now + 2 * this->settings.leaseLength)
        end = std::min(end, this->worker.clock.lowestAt(limit));
    if (end <= current)
        return std::nullopt;
    this->worker.leaseEnd = std::max(this->worker.leaseEnd, end);
    return end;
}

void RunSupervisor::recordTokens(const PendingCall& call, const CallResult& result)
{
    const bool isExecuted = result.status == CallStatus::Accepted
        || (result.status == CallStatus::Refused
            && (result.refusal == CallRefusal::Old || result.refusal == CallRefusal::Room));
    if (isExecuted) {
        this->worker.seenToken = std::max(this->worker.seenToken, call.fencingToken);
        this->tokenStep = minimumTokenStep;
        return;
    }
    if (result.status != CallStatus::Unanswered && result.status != CallStatus::Unreadable)
        return;
    const auto* renewal = std::get_if<RenewLeaseCall>(&call.call);
    if (std::holds_alternative<StopCall>(call.call) || (renewal && !renewal->leaseEnd))
        return;
    this->doubtfulToken = std::max(this->doubtfulToken, call.fencingToken);
    this->fencingToken = std::max(this->fencingToken, this->doubtfulToken + 1);
}

void RunSupervisor::voidEarlierProcesses(SteadyTime now, std::int64_t workerStartedAt)
{
    // A restarted worker has seen no token. Processes that called its earlier incarnations began before it, with the
    // time of day as their first token, which may have been ahead.
    const std::uint64_t lowest
        = static_cast<std::uint64_t>(std::max<std::int64_t>(0, workerStartedAt)) + minimumTokenStep;
    // A start time that is far ahead of the time of day is not one.
    if (this->fencingToken >= lowest || lowest - this->fencingToken > maximumTokenStep)
        return;
    this->fencingToken = lowest;
    this->doubtfulToken = std::max(this->doubtfulToken, lowest - 1);
    this->nextListPollAt = now;
}

void RunSupervisor::raiseRefusedToken(const PendingCall& call)
{
    if (call.fencingToken < this->fencingToken)
        return;
    this->fencingToken += this->tokenStep;
    this->log.write(LogLevel::Warning, "fencing token refused",
        { { "worker", this->worker.profile ? this->worker.profile->workerId : "" }, { "token", call.fencingToken },
            { "next_token", this->fencingToken } });
    this->tokenStep = std::min(this->tokenStep * 2, maximumTokenStep);
}

}
