#include "celeryswitch/Dispatch/DispatcherState.h"

#include <algorithm>
#include <cmath>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;
using Messages::TaskReason;

namespace {

// Expected time that one batch holds a slot; longer batches would keep the slot from other kinds.
constexpr Duration batchHold = std::chrono::milliseconds(800);
// An endpoint with tasks and no result for this long is stalled, unless some kind runs longer.
constexpr Duration shortestStall = std::chrono::seconds(5);
constexpr Duration reviewInterval = std::chrono::seconds(1);
// Credits are asked for once a waiting task has waited this part of its expected run. Earlier requests cost messages at
// 95 % load without a better p99; later ones let short tasks wait longer than they run.
constexpr double behindPart = 0.3;
constexpr Duration requestInterval = std::chrono::milliseconds(2);
// Keeps messages a task under the target of 2.5: a start and a result are 2, moved credits 0.2.
constexpr double requestsPerStart = 0.32;
constexpr double largestRequestBurst = 20;

}

void DispatcherState::releaseRetries(SteadyTime now)
{
    while (!this->retries.empty() && this->retries.begin()->first <= now) {
        const Retry retry = std::move(this->retries.begin()->second);
        this->retries.erase(this->retries.begin());
        // A cancelled job has no tasks left that back off.
        if (std::erase(retry.job->backingOff, retry.task) > 0)
            this->serviceOfKind[retry.job->kind]->queue.putBack(retry.job, retry.task);
    }
}

void DispatcherState::refuseLate(SteadyTime now, std::vector<Decision>& decisions)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto found = this->jobs.find(this->deadlines.begin()->second);
        this->deadlines.erase(this->deadlines.begin());
        if (found == this->jobs.end())
            continue;
        const Job job = found->second;
        for (std::uint32_t task : this->takeUnsent(job))
            decisions.emplace_back(RefuseDecision { { job->jobId, task }, TaskReason::DeadlineUnreachable });
        this->forgetIfSettled(job);
    }
}

void DispatcherState::reviewEndpoints(SteadyTime now)
{
    if (!this->nextReview || *this->nextReview <= now) {
        const auto due = this->detector.review(now, std::max(shortestStall, 3 * this->estimator.longestHigh()));
        this->nextReview = std::min(due.value_or(now + reviewInterval), now + reviewInterval);
    }
    while (!this->usableChecks.empty() && this->usableChecks.begin()->first <= now) {
        const SidecarIndex sidecar = this->usableChecks.begin()->second;
        this->usableChecks.erase(this->usableChecks.begin());
        this->refreshUsable(now, sidecar);
    }
    for (SidecarIndex sidecar : this->detector.takeChanged())
        this->refreshUsable(now, sidecar);
}

void DispatcherState::startTasks(SteadyTime now, ServiceState& service, std::vector<Decision>& decisions)
{
    const std::size_t first = decisions.size();
    while (const Job job = service.queue.next(now, service.slots())) {
        if (!this->startNext(now, service, job, decisions))
            break;
    }
    if (decisions.size() == first)
        return;
    const Messages::Backlog backlog = this->backlogOf(now, service);
    for (std::size_t index = first; index < decisions.size(); ++index)
        std::get<StartDecision>(decisions[index]).backlog = backlog;
}

bool DispatcherState::startNext(SteadyTime now, ServiceState& service, const Job& job, std::vector<Decision>& decisions)
{
    const Duration trip = 2 * this->settings.crossDataCentreDelay;
    const PlacementRequest request { this->estimator.estimate(job->kind, job->declaredRun).mean, now - job->enqueuedAt,
        service.queue.waiting(), trip };
    const std::optional<SidecarIndex> sidecar = this->settings.placement(request, service.ledger);
    if (!sidecar) {
        this->nextPlacement = std::max(now + std::chrono::microseconds(100), job->enqueuedAt + trip);
        return false;
    }
    const bool isProbe = this->detector.health(*sidecar) == EndpointHealth::Probing;
    const std::uint32_t wanted = job->isBatched() && !isProbe ? this->batchSize(service, job) : 1;
    const std::uint32_t allowed = this->quota.tryTake(now, job->team, std::min(wanted, job->waiting()));
    if (allowed == 0) {
        this->quota.demandRefused(job->team, job->waiting());
        service.queue.holdTeam(
            job->team, std::max(now + std::chrono::milliseconds(1), this->quota.availableAt(now, job->team)));
        return true;
    }
    std::vector<std::uint32_t> tasks = service.queue.take(job, allowed, 1);
    const auto taken = static_cast<std::uint32_t>(tasks.size());
    service.ledger.take(*sidecar, 1);
    service.requestTokens = std::min(largestRequestBurst, service.requestTokens + requestsPerStart);
    this->detector.started(now, *sidecar, taken);
    this->admission.startsMade(now, job->kind, taken);
    this->retryBudget.startsMade(taken);
    if (isProbe)
        this->refreshUsable(now, *sidecar);
    const Core::InstanceId& sidecarId = this->sidecars[*sidecar].info.sidecarId;
    auto* last = decisions.empty() ? nullptr : std::get_if<StartDecision>(&decisions.back());
    if (last && last->sidecarId == sidecarId && last->jobId == job->jobId) {
        last->taskIndexes.insert(last->taskIndexes.end(), tasks.begin(), tasks.end());
        ++last->credits;
    } else
        decisions.emplace_back(StartDecision { sidecarId, job->jobId, std::move(tasks), 1, {} });
    return true;
}

std::uint32_t DispatcherState::batchSize(const ServiceState& service, const Job& job) const
{
    const Duration expected = this->estimator.estimate(job->kind, job->declaredRun).mean;
    const auto byHold
        = static_cast<std::uint32_t>(batchHold / std::max(expected, Duration(std::chrono::microseconds(100))));
    const std::uint32_t bySpread = job->waiting() / std::max(1U, service.ledger.idle());
    return std::clamp(bySpread, smallestBatch, std::max(smallestBatch, byHold));
}

void DispatcherState::requestCredits(SteadyTime now, ServiceState& service, std::vector<Decision>& decisions)
{
    service.nextRequest.reset();
    if (service.queue.waiting() == 0 || service.ledger.idle() > 0 || service.sidecars.empty())
        return;
    const auto behind = service.queue.firstBehind(now, service.slots(), behindPart);
    if (!behind)
        return;
    const SteadyTime due = std::max(service.requestedAt + requestInterval, *behind);
    if (due > now || service.requestTokens < 1) {
        service.nextRequest = std::max(due, now + requestInterval);
        return;
    }
    service.requestTokens -= 1;
    service.requestedAt = now;
    service.nextRequest = now + requestInterval;
    const SidecarIndex asked = service.sidecars[this->generator(static_cast<std::uint32_t>(service.sidecars.size()))];
    decisions.emplace_back(
        CreditReturnDecision { this->sidecars[asked].info.sidecarId, 0, this->backlogOf(now, service) });
}

void DispatcherState::returnRecalled(SteadyTime now, std::vector<Decision>& decisions)
{
    for (SidecarIndex index : this->recallers) {
        SidecarState& sidecar = this->sidecars[index];
        const std::uint32_t recalled = std::exchange(sidecar.recalled, 0);
        if (!sidecar.isKnown || recalled == 0)
            continue;
        const std::uint32_t returned = sidecar.service->ledger.take(index, recalled);
        if (returned > 0)
            decisions.emplace_back(
                CreditReturnDecision { sidecar.info.sidecarId, returned, this->backlogOf(now, *sidecar.service) });
    }
    this->recallers.clear();
}

}
