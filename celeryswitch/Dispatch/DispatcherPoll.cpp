#include "celeryswitch/Dispatch/DispatcherState.h"

#include <algorithm>
#include <cmath>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;
using Messages::TaskReason;

namespace {

// Longest expected run time of one batch; longer batches would block the slot for other kinds.
constexpr Duration maximumBatchTime = std::chrono::milliseconds(800);
// Shortest time without a result after which an endpoint with tasks counts as stalled; longer if some kind runs longer.
constexpr Duration minimumStallTime = std::chrono::seconds(5);
constexpr Duration endpointReviewInterval = std::chrono::seconds(1);
// Credits are requested once a task has waited this multiple of its expected run time. Earlier requests cost messages
// at 95 % load without a better p99; later ones let short tasks wait longer than they run.
constexpr double overdueFactor = 0.3;
constexpr Duration creditRequestInterval = std::chrono::milliseconds(2);
// Keeps messages per task under the target of 2.5: start and result are 2, credit transfers 0.2.
constexpr double creditRequestsPerStart = 0.32;
constexpr double maximumCreditRequestBurst = 20;

}

void DispatcherState::releaseRetries(SteadyTime now)
{
    while (!this->retries.empty() && this->retries.begin()->first <= now) {
        const Retry retry = std::move(this->retries.begin()->second);
        this->retries.erase(this->retries.begin());
        // Tasks of a cancelled job were removed from `backingOff`.
        if (std::erase(retry.job->backingOff, retry.task) > 0)
            this->serviceOfKind[retry.job->kind]->queue.requeue(retry.job, retry.task);
    }
}

void DispatcherState::refuseMissedDeadlines(SteadyTime now, std::vector<Decision>& decisions)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto found = this->jobs.find(this->deadlines.begin()->second);
        this->deadlines.erase(this->deadlines.begin());
        if (found == this->jobs.end())
            continue;
        const Job job = found->second;
        for (std::uint32_t task : this->takeUnsentTasks(job))
            decisions.emplace_back(RefuseDecision { { job->jobId, task }, TaskReason::DeadlineUnreachable });
        this->removeIfSettled(job);
    }
}

void DispatcherState::reviewEndpoints(SteadyTime now)
{
    if (!this->nextReviewAt || *this->nextReviewAt <= now) {
        const auto due = this->detector.review(now, std::max(minimumStallTime, 3 * this->estimator.longestP95()));
        this->nextReviewAt = std::min(due.value_or(now + endpointReviewInterval), now + endpointReviewInterval);
    }
    while (!this->usabilityChecks.empty() && this->usabilityChecks.begin()->first <= now) {
        const SidecarIndex sidecar = this->usabilityChecks.begin()->second;
        this->usabilityChecks.erase(this->usabilityChecks.begin());
        this->updateUsability(now, sidecar);
    }
    for (SidecarIndex sidecar : this->detector.takeChangedEndpoints())
        this->updateUsability(now, sidecar);
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
    const Duration roundTrip = 2 * this->settings.crossDataCentreDelay;
    const PlacementRequest request { this->estimator.estimate(job->kind, job->declaredRun).mean, now - job->enqueuedAt,
        service.queue.waiting(), roundTrip };
    const std::optional<SidecarIndex> sidecar = this->settings.placement(request, service.ledger);
    if (!sidecar) {
        this->nextPlacementAt = std::max(now + std::chrono::microseconds(100), job->enqueuedAt + roundTrip);
        return false;
    }
    const bool isProbing = this->detector.health(*sidecar) == EndpointHealth::Probing;
    const std::uint32_t wanted = job->isBatched() && !isProbing ? this->batchSize(service, job) : 1;
    const std::uint32_t allowed = this->quota.tryTake(now, job->team, std::min(wanted, job->waiting()));
    if (allowed == 0) {
        this->quota.recordUnmetDemand(job->team, job->waiting());
        service.queue.holdTeam(
            job->team, std::max(now + std::chrono::milliseconds(1), this->quota.availableAt(now, job->team)));
        return true;
    }
    std::vector<std::uint32_t> tasks = service.queue.take(job, allowed, 1);
    const auto taken = static_cast<std::uint32_t>(tasks.size());
    service.ledger.take(*sidecar, 1);
    service.creditRequestTokens
        = std::min(maximumCreditRequestBurst, service.creditRequestTokens + creditRequestsPerStart);
    this->detector.started(now, *sidecar, taken);
    this->admission.tasksStarted(now, job->kind, taken);
    this->retryBudget.tasksStarted(taken);
    if (isProbing)
        this->updateUsability(now, *sidecar);
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
    const auto maximumTasks
        = static_cast<std::uint32_t>(maximumBatchTime / std::max(expected, Duration(std::chrono::microseconds(100))));
    const std::uint32_t evenTasks = job->waiting() / std::max(1U, service.ledger.idle());
    return std::clamp(evenTasks, minimumBatchTasks, std::max(minimumBatchTasks, maximumTasks));
}

void DispatcherState::requestCredits(SteadyTime now, ServiceState& service, std::vector<Decision>& decisions)
{
    service.nextCreditRequestAt.reset();
    if (service.queue.waiting() == 0 || service.ledger.idle() > 0 || service.sidecars.empty())
        return;
    const auto overdueAt = service.queue.firstOverdue(now, service.slots(), overdueFactor);
    if (!overdueAt)
        return;
    const SteadyTime due = std::max(service.lastCreditRequestAt + creditRequestInterval, *overdueAt);
    if (due > now || service.creditRequestTokens < 1) {
        service.nextCreditRequestAt = std::max(due, now + creditRequestInterval);
        return;
    }
    service.creditRequestTokens -= 1;
    service.lastCreditRequestAt = now;
    service.nextCreditRequestAt = now + creditRequestInterval;
    const SidecarIndex asked = service.sidecars[this->generator(static_cast<std::uint32_t>(service.sidecars.size()))];
    decisions.emplace_back(
        CreditReturnDecision { this->sidecars[asked].info.sidecarId, 0, this->backlogOf(now, service) });
}

void DispatcherState::returnRecalledCredits(SteadyTime now, std::vector<Decision>& decisions)
{
    for (SidecarIndex index : this->recallingSidecars) {
        SidecarState& sidecar = this->sidecars[index];
        const std::uint32_t recalled = std::exchange(sidecar.recalled, 0);
        if (!sidecar.isKnown || recalled == 0)
            continue;
        const std::uint32_t returned = sidecar.service->ledger.take(index, recalled);
        if (returned > 0)
            decisions.emplace_back(
                CreditReturnDecision { sidecar.info.sidecarId, returned, this->backlogOf(now, *sidecar.service) });
    }
    this->recallingSidecars.clear();
}

}
