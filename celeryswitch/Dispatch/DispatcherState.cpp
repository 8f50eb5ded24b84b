#include "celeryswitch/Dispatch/DispatcherState.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>

namespace celeryswitch::Dispatch {

using Configuration::ConfigurationKey;
using Core::Duration;
using Core::JobId;
using Core::SteadyTime;
using Messages::TaskReason;

DispatcherState::DispatcherState(DispatcherSettings settings)
    : settings(std::move(settings))
    , detector(this->settings.seed + 1)
    , retryBudget(this->settings.seed + 2)
    , generator(this->settings.seed + 4)
{
    if (!this->settings.placement)
        this->settings.placement = nearestFirstPlacement();
}

void DispatcherState::setConfiguration(Configuration::ConfigurationDocument document)
{
    this->configuration = std::move(document);
    this->retryBudget.setPercent(this->configuration.value(ConfigurationKey::RetryBudgetPercent));
    this->detector.setEjectionLimit(this->configuration.value(ConfigurationKey::EjectionLimitPercent));
    for (auto& [name, service] : this->services)
        this->configure(service);
    for (const auto& [kind, service] : this->serviceOfKind)
        this->configureKind(*service, kind, this->nameOfKind[kind]);
    for (TeamIndex team = 0; team < this->quota.teamCount(); ++team) {
        for (auto& [name, service] : this->services)
            this->configureTeam(service, team);
    }
    for (SidecarIndex sidecar = 0; sidecar < this->sidecars.size(); ++sidecar) {
        SidecarState& state = this->sidecars[sidecar];
        state.isDrainedByOperator
            = this->configuration.value(ConfigurationKey::EndpointDrained, { .endpoint = state.info.sidecarId }) != 0;
        this->updateUsability(this->polledAt, sidecar);
    }
}

std::optional<SidecarIndex> DispatcherState::find(const Core::InstanceId& sidecarId) const
{
    const auto found = this->sidecarIndexes.find(sidecarId);
    if (found == this->sidecarIndexes.end() || !this->sidecars[found->second].isKnown)
        return std::nullopt;
    return found->second;
}

void DispatcherState::addSidecar(SteadyTime now, const SidecarInfo& info)
{
    if (const auto known = this->find(info.sidecarId))
        this->removeSidecar(*known);
    const auto [entry, isNew]
        = this->sidecarIndexes.try_emplace(info.sidecarId, static_cast<SidecarIndex>(this->sidecars.size()));
    if (isNew)
        this->sidecars.emplace_back();
    ServiceState& service = this->findOrAddService(info.service);
    Proximity proximity = Proximity::OtherDataCentre;
    if (info.dataCentre == this->settings.dataCentre)
        proximity = info.rack == this->settings.rack ? Proximity::SameRack : Proximity::SameDataCentre;
    const bool isDrained
        = this->configuration.value(ConfigurationKey::EndpointDrained, { .endpoint = info.sidecarId }) != 0;
    this->sidecars[entry->second] = { info, &service, true, false, isDrained, 0 };
    ++service.sidecarCount;
    service.sidecars.push_back(entry->second);
    service.largestWorkerMemoryBytes = std::max(service.largestWorkerMemoryBytes, info.memoryBytes);
    service.ledger.add(entry->second, proximity);
    this->detector.add(entry->second);
    this->updateUsability(now, entry->second);
}

void DispatcherState::removeSidecar(SidecarIndex index)
{
    SidecarState& sidecar = this->sidecars[index];
    sidecar.isKnown = false;
    --sidecar.service->sidecarCount;
    std::erase(sidecar.service->sidecars, index);
    sidecar.service->ledger.remove(index);
    this->detector.remove(index);
}

void DispatcherState::updateUsability(SteadyTime now, SidecarIndex index)
{
    const SidecarState& sidecar = this->sidecars[index];
    if (!sidecar.isKnown)
        return;
    const bool isUsable
        = !sidecar.isDraining && !sidecar.isDrainedByOperator && this->detector.allowance(now, index) > 0;
    sidecar.service->ledger.setUsable(index, isUsable);
    const SteadyTime pausedUntil = this->detector.pausedUntil(index);
    if (pausedUntil > now)
        this->usabilityChecks.emplace(pausedUntil, index);
}

AdmissionResult DispatcherState::submit(SteadyTime now, const JobDescription& description)
{
    const auto found = this->services.find(description.service);
    if (found == this->services.end())
        return { false, TaskReason::NoSuchService, {} };
    ServiceState& service = found->second;
    const KindIndex kind = this->estimator.indexOf(description.service, description.kind);
    const bool isNewKind = this->serviceOfKind.try_emplace(kind, &service).second;
    const RunTimeEstimate estimate = this->estimator.estimate(kind, description.declaredRun);
    if (isNewKind || !estimate.isMeasured)
        service.queue.setExpectedRun(kind, estimate.mean);
    if (isNewKind)
        this->configureKind(service, kind, description.kind);
    const AdmissionResult result = this->admission.evaluate(now,
        { kind, description.taskCount, description.deadline, description.declaredMemoryBytes,
            service.largestWorkerMemoryBytes, service.sidecarCount > 0, service.queue.waiting(),
            service.queue.waiting(kind), service.waitingTasksLimit, service.queue.shareOf(kind),
            service.ledger.idle() + service.queue.slotsInUse(), estimate.mean });
    if (!result.isAccepted || this->jobs.contains(description.jobId) || description.taskCount == 0)
        return result;
    const std::size_t knownTeams = this->quota.teamCount();
    const TeamIndex team = this->quota.indexOf(description.team);
    if (team == knownTeams)
        this->configureTeam(service, team);
    auto job = std::make_shared<QueuedJob>(QueuedJob { description.jobId, kind, team, description.urgency,
        description.taskCount, now, description.deadline, description.declaredRun });
    service.queue.push(job);
    if (job->deadline)
        this->deadlines.emplace(*job->deadline - estimate.mean / 2, job->jobId);
    this->jobs.emplace(description.jobId, std::move(job));
    return result;
}

DispatcherState::Job DispatcherState::taskLeftSidecar(const JobId& jobId)
{
    const auto found = this->jobs.find(jobId);
    if (found == this->jobs.end() || found->second->atSidecars == 0)
        return nullptr;
    Job job = found->second;
    const double freed = job->slotsInUse / job->atSidecars;
    job->slotsInUse -= freed;
    --job->atSidecars;
    this->serviceOfKind[job->kind]->queue.slotsFreed(job->kind, freed);
    return job;
}

void DispatcherState::taskFinished(
    SteadyTime now, std::optional<SidecarIndex> sidecar, const JobId& jobId, const Messages::TaskResult& result)
{
    const Job job = this->taskLeftSidecar(jobId);
    if (!job)
        return;
    const Duration run = std::chrono::microseconds(result.runMicroseconds);
    const bool isSuccess = result.outcome == Messages::TaskOutcome::Succeeded;
    if (sidecar) {
        const RunTimeEstimate estimate = this->estimator.estimate(job->kind, {});
        this->detector.finished(now, *sidecar, isSuccess, run, estimate.isMeasured ? estimate.mean : Duration {});
    }
    if (isSuccess) {
        this->estimator.record(job->kind, run);
        this->serviceOfKind[job->kind]->queue.setExpectedRun(
            job->kind, this->estimator.estimate(job->kind, job->declaredRun).mean);
    }
    this->attempts.erase({ jobId, result.taskIndex });
    this->removeIfSettled(job);
}

bool DispatcherState::taskNotRun(
    SteadyTime now, std::optional<SidecarIndex> sidecar, const Core::TaskKey& task, TaskReason reason)
{
    const Job job = this->taskLeftSidecar(task.jobId);
    if (sidecar)
        this->detector.taskNotRun(*sidecar);
    if (!job)
        return false;
    const bool isFinal = reason == TaskReason::Cancelled || reason == TaskReason::Revoked;
    if (isFinal || !this->retryBudget.tryTake()) {
        this->attempts.erase(task);
        this->removeIfSettled(job);
        return false;
    }
    const std::uint32_t attempt = this->attempts[task]++;
    job->backingOff.push_back(task.taskIndex);
    this->retries.emplace(now + this->retryBudget.backoff(attempt), Retry { job, task.taskIndex });
    return true;
}

std::vector<std::uint32_t> DispatcherState::cancelJob(const JobId& jobId)
{
    const auto found = this->jobs.find(jobId);
    if (found == this->jobs.end())
        return {};
    const Job job = found->second;
    std::vector<std::uint32_t> tasks = this->takeUnsentTasks(job);
    this->removeIfSettled(job);
    return tasks;
}

std::vector<Decision> DispatcherState::poll(SteadyTime now)
{
    this->polledAt = now;
    std::vector<Decision> decisions;
    this->releaseRetries(now);
    this->refuseMissedDeadlines(now, decisions);
    this->reviewEndpoints(now);
    this->nextPlacementAt.reset();
    for (auto& [name, service] : this->services) {
        this->startTasks(now, service, decisions);
        this->requestCredits(now, service, decisions);
    }
    this->returnRecalledCredits(now, decisions);
    return decisions;
}

std::optional<SteadyTime> DispatcherState::nextWakeUp() const
{
    std::optional<SteadyTime> next;
    const auto consider = [&](std::optional<SteadyTime> time) {
        if (time)
            next = std::min(next.value_or(*time), *time);
    };
    if (!this->retries.empty())
        consider(this->retries.begin()->first);
    if (!this->deadlines.empty())
        consider(this->deadlines.begin()->first);
    if (!this->usabilityChecks.empty())
        consider(this->usabilityChecks.begin()->first);
    consider(this->nextReviewAt);
    consider(this->nextPlacementAt);
    for (const auto& [name, service] : this->services) {
        if (service.queue.waiting() > 0) {
            consider(service.queue.nextHoldEnd());
            consider(service.nextCreditRequestAt);
        }
    }
    return next;
}

Messages::Backlog DispatcherState::backlogOf(SteadyTime now, ServiceState& service) const
{
    // One unit of rank justifies moving a credit: 100 ms of slack, or two idle credits. Waiting tasks rank before any
    // request for idle credits.
    constexpr double slackUnit = 0.1;
    constexpr double idleRank = 1e6;
    const auto slack = service.queue.minimumSlack(now, service.slots());
    const double rank
        = slack ? std::chrono::duration<double>(*slack).count() / slackUnit : idleRank + service.ledger.idle() / 2.0;
    return { service.queue.waiting(), rank };
}

ServiceState& DispatcherState::findOrAddService(const std::string& name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end())
        return found->second;
    ServiceState service { name, FairQueue(this->settings.queue), CreditLedger(this->settings.seed + 3) };
    ServiceState& added = this->services.emplace(name, std::move(service)).first->second;
    this->configure(added);
    return added;
}

void DispatcherState::configure(ServiceState& service)
{
    const Configuration::Scope scope { .service = service.name };
    service.waitingTasksLimit
        = static_cast<std::uint32_t>(this->configuration.value(ConfigurationKey::QueuedTasksLimit, scope));
    service.reservedFraction = double(this->configuration.value(ConfigurationKey::ReservedSlotsPercent, scope)) / 100;
}

void DispatcherState::configureKind(ServiceState& service, KindIndex kind, const std::string& name)
{
    this->nameOfKind[kind] = name;
    service.queue.setKindWeight(kind,
        double(this->configuration.value(ConfigurationKey::ShareWeight, { .service = service.name, .kind = name })));
}

void DispatcherState::configureTeam(ServiceState& service, TeamIndex team)
{
    const Configuration::Scope scope { .team = this->quota.nameOf(team) };
    service.queue.setTeamWeight(team, double(this->configuration.value(ConfigurationKey::ShareWeight, scope)));
    this->quota.setLimit(team, this->configuration.value(ConfigurationKey::TeamStartsPerSecond, scope));
}

void DispatcherState::removeIfSettled(const Job& job)
{
    if (job->isSettled())
        this->jobs.erase(job->jobId);
}

std::vector<std::uint32_t> DispatcherState::takeUnsentTasks(const Job& job)
{
    std::vector<std::uint32_t> tasks = this->serviceOfKind[job->kind]->queue.cancel(job);
    for (std::uint32_t task : job->backingOff) {
        this->attempts.erase({ job->jobId, task });
        tasks.push_back(task);
    }
    job->backingOff.clear();
    return tasks;
}

}
