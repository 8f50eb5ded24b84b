#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Scheduling/RefusalAdvice.h"
#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Configuration::Queue;
using Core::SteadyTime;

namespace {

// Share of higher-ranked work from which on a predicted wait is not trusted at all.
constexpr double untrustedWaitShare = 0.35;
// Step by which waiting jobs' refusal is put off during worker discovery.
constexpr Core::Duration discoveryWaitStep = std::chrono::milliseconds(50);
// Minimum share of the total demand that a queue is taken to have.
constexpr double minimumDemandShare = 0.001;
// Steps of a refused job that the time to come back follows from.
constexpr std::size_t maximumAdvisedSteps = 4;
// Ratio of the values of work of two adjacent queue priorities.
constexpr double priorityWeight = 2;
// Share of a job's value that does not depend on its amount of work.
constexpr double fixedValueShare = 0.3;
// Bounds of a job's work / mean work of its queue in the computation of its value.
constexpr double minimumRelativeWork = 0.1;
constexpr double maximumRelativeWork = 4;

// Factor for a job's value per core-second, relative to a job of its queue's mean work.
double sizeFactor(double coreSeconds, double meanCoreSeconds)
{
    if (coreSeconds <= 0 || meanCoreSeconds <= 0)
        return 1;
    return 1 - fixedValueShare
        + fixedValueShare / std::clamp(coreSeconds / meanCoreSeconds, minimumRelativeWork, maximumRelativeWork);
}

}

JobScheduler::JobScheduler(SchedulerSettings settings, Logging::StructuredLog& log, Metrics::MetricRegistry& registry)
    : settings(std::move(settings))
    , log(log)
    , metrics(registry)
    , jobBudget(this->settings.jobBudgetBytes)
{
}

QueueModel& JobScheduler::modelOf(SteadyTime now, const Queue& queue)
{
    QueueModel& model = this->models.try_emplace(queue.name, now).first->second;
    model.setPriority(queue.priority);
    return model;
}

void JobScheduler::setLinkedSidecars(SteadyTime now, std::set<Core::InstanceId> sidecars)
{
    if (!sidecars.empty() && this->linked.empty())
        this->sidecarsKnownAt = now;
    this->linked = std::move(sidecars);
    for (auto& [sidecar, worker] : this->workerTable)
        worker.isLinked = this->linked.count(sidecar) > 0;
    this->isFullPlacementDue = true;
    this->isPlacementDue = true;
}

void JobScheduler::setEvacuatedDataCentres(SteadyTime now, std::set<std::string> dataCentres)
{
    this->evacuatedDataCentres = std::move(dataCentres);
    for (auto& [sidecar, worker] : this->workerTable) {
        const bool wasEvacuated
            = std::exchange(worker.isEvacuated, this->evacuatedDataCentres.count(worker.dataCentre) > 0);
        if (worker.isEvacuated && !wasEvacuated)
            this->forgetReservationsAt(sidecar);
    }
    this->isCapacityIndexStale = true;
    for (auto next = this->jobs.begin(); next != this->jobs.end();) {
        const auto found = next++;
        if (!found->second.hasBegun && this->isRefusedAtOnce(now, found->second))
            this->endJob(now, found, this->refusal(now, found->second, "data centre evacuated"));
    }
    this->isFullPlacementDue = true;
    this->isPlacementDue = true;
}

bool JobScheduler::hasRuns(const Core::InstanceId& sidecar) const
{
    bool isFound = false;
    for (const auto& [id, job] : this->jobs) {
        for (const std::uint32_t step : job.startedSteps)
            job.steps[step].tasks.forEachOrdered(
                [&](const Task& task) { isFound = isFound || task.sidecar == sidecar; });
    }
    return isFound;
}

void JobScheduler::removeSidecar(const Core::InstanceId& sidecar)
{
    CELERY_ASSERT(!this->hasRuns(sidecar));
    this->forgetReservationsAt(sidecar);
    this->workerTable.erase(sidecar);
    this->isCapacityIndexStale = true;
    this->lastSentAt.erase(sidecar);
}

bool JobScheduler::isDiscoveringWorkers(SteadyTime now) const
{
    if (this->sidecarsKnownAt != SteadyTime::max() && now >= this->sidecarsKnownAt + this->settings.discoveryTime)
        return false;
    std::size_t usable = 0;
    for (const auto& [sidecar, worker] : this->workerTable)
        usable += worker.isUsable() || worker.isEvacuated ? 1 : 0;
    return static_cast<double>(usable) < static_cast<double>(this->linked.size()) * this->settings.discoveryShare;
}

void JobScheduler::estimateJob(SteadyTime now, Job& job)
{
    QueueModel& model = this->modelOf(now, job.queue);
    // Critical path through the steps.
    std::vector<double> chains;
    TimeEstimate longest;
    double coreSeconds = 0;
    std::optional<std::uint32_t> estimatedFor;
    TimeEstimate time;
    double taskSeconds = 0;
    this->workDone.stepsVisited += job.specification.steps.size();
    for (const StepSpecification& step : job.specification.steps) {
        if (estimatedFor != step.declaredMilliseconds) {
            estimatedFor = step.declaredMilliseconds;
            time = model.stepTime(step.declaredMilliseconds / 1000.0);
            taskSeconds = model.taskSeconds(step.declaredMilliseconds / 1000.0);
        }
        double before = 0;
        for (std::uint32_t earlier : step.dependencies)
            before = std::max(before, chains[earlier]);
        chains.push_back(before + time.medianSeconds);
        if (chains.back() > longest.medianSeconds)
            longest = { chains.back(), time.logDeviation };
        coreSeconds += taskSeconds * step.count * static_cast<double>(step.need.milliCores) / 1000.0;
    }
    model.recordArrival(now, coreSeconds);
    const double demand = this->allDemand(now);
    job.rank = static_cast<float>(this->rankOf(now, model, demand) * sizeFactor(coreSeconds, model.meanWork(now)));
    job.waitConfidence = std::max(0.0, 1 - this->higherRankedShare(now, model, demand) / untrustedWaitShare);
    job.callerDeadline = addSeconds(
        job.arrivedAt, std::chrono::duration<double>(job.callerTimeout - this->settings.callerRoundTrip).count());
    // The goal depends on the actual run time, which is not known yet: use a high estimate for the expiry and a low one
    // for the refusal.
    job.expiresAt
        = this->goalTime(job, longest.medianSeconds * std::exp(2 * longest.logDeviation), this->settings.expiryFactor);
    job.refuseAt
        = this->goalTime(job, longest.medianSeconds * std::exp(-longest.logDeviation), this->settings.maximumWaitShare);
}

double JobScheduler::allDemand(SteadyTime now) const
{
    double all = 0;
    for (const auto& [name, model] : this->models)
        all += model.demand(now);
    return all;
}

double JobScheduler::rankOf(SteadyTime now, const QueueModel& model, double allDemand) const
{
    // Without any arrivals queues differ by their priority alone.
    const double weight = std::pow(priorityWeight, -static_cast<double>(model.priority()));
    return weight * (allDemand > 0 ? allDemand / std::max(model.demand(now), minimumDemandShare * allDemand) : 1);
}

double JobScheduler::higherRankedShare(SteadyTime now, const QueueModel& model, double allDemand) const
{
    const double own = this->rankOf(now, model, allDemand);
    double before = 0;
    for (const auto& [name, other] : this->models)
        before += this->rankOf(now, other, allDemand) > own ? other.demand(now) : 0;
    return allDemand > 0 ? before / allDemand : 0;
}

SteadyTime JobScheduler::goalTime(const Job& job, double chainSeconds, double factor) const
{
    const double goal = chainSeconds * job.queue.stretch + job.queue.targetMilliseconds / 1000.0;
    const double travel = std::chrono::duration<double>(this->settings.callerRoundTrip).count();
    return std::min(job.callerDeadline, addSeconds(job.arrivedAt, goal * factor - travel));
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
    const StepJobId id = submission.job.id;
    if (const auto known = this->outcomes.find(id); known != this->outcomes.end()) {
        this->sendAnswer(request, known->second.answer);
        return;
    }
    if (const auto open = this->jobs.find(id); open != this->jobs.end()) {
        // The caller repeated its request; only the newest one is answered with the outcome.
        this->sendAnswer(open->second.request, { AnswerKind::GivenUp, {}, 0, {}, "sent again" });
        this->jobsByRequest.erase(std::exchange(open->second.request, request));
        this->jobsByRequest[request] = id;
        return;
    }
    std::string reason;
    if (!this->isSupported(submission.job, reason)) {
        this->sendAnswer(request, { AnswerKind::NotRun, {}, 0, std::chrono::seconds(60), reason });
        return;
    }
    Job job;
    job.queue = queue;
    job.request = request;
    job.arrivedAt = arrivedAt;
    // The queue's timeout applies to callers that don't state their own.
    Core::Duration callerTimeout = submission.callerTimeout;
    if (callerTimeout <= Core::Duration::zero())
        callerTimeout = std::chrono::milliseconds(queue.timeoutMilliseconds);
    job.steps.reserve(submission.job.steps.size());
    for (StepSpecification& step : submission.job.steps) {
        step.need.milliCores = std::max(step.need.milliCores, this->settings.minimumTaskMilliCores);
        job.steps.push_back(Step { TaskTable(step.count) });
    }
    job.callerTimeout = callerTimeout;
    job.specification = std::move(submission.job);
    linkSteps(job);
    job.admittedBytes = recordBytes(job);
    if (!this->jobBudget.admits(job.admittedBytes)) {
        this->refuseForMemory(request, job);
        return;
    }
    this->jobBudget.addJob(job.admittedBytes);
    this->estimateJob(now, job);
    this->trace(now, job, "job admitted",
        { { "job", Messages::jobText(id) }, { "queue", queue.name }, { "held_ms", toMilliseconds(now - arrivedAt) },
            { "patience_ms", toMilliseconds(callerTimeout) }, { "rank_class", Messages::rankClassOf(job.rank) },
            { "limit_ms", toMilliseconds(job.expiresAt - now) },
            { "refused_after_ms", toMilliseconds(job.refuseAt - now) } });
    this->jobsByRequest[request] = id;
    const auto admitted = this->jobs.emplace(id, std::move(job)).first;
    this->noteDue(admitted->second);
    if (this->isRefusedAtOnce(now, admitted->second))
        this->endJob(now, admitted, this->refusal(now, admitted->second, "no suitable worker"));
    else
        this->enqueue(admitted->second);
}

bool JobScheduler::isRefusedAtOnce(SteadyTime now, const Job& job)
{
    return !this->isDiscoveringWorkers(now) && this->isHopeless(job);
}

bool JobScheduler::isHopeless(const Job& job)
{
    if (std::exchange(this->isCapacityIndexStale, false)) {
        this->workDone.workersVisited += this->workerTable.size();
        this->capacityIndex.rebuild(this->workerTable);
    }
    this->workDone.stepsVisited += job.specification.steps.size();
    const auto& steps = job.specification.steps;
    return std::any_of(steps.begin(), steps.end(), [&](const StepSpecification& step) {
        return !this->capacityIndex.hasSuitable(job.queue.service, step.requiredLabel, step.need);
    });
}

CallerAnswer JobScheduler::refusal(SteadyTime now, const Job& job, const std::string& reason)
{
    double waitSeconds = 0;
    const auto advised = static_cast<std::uint32_t>(std::min(job.steps.size(), maximumAdvisedSteps));
    this->workDone.candidatesEvaluated += advised * this->workerTable.size();
    for (std::uint32_t step = 0; step < advised; ++step)
        waitSeconds
            = std::max(waitSeconds, predictSharedWait(this->workerTable, this->placementRequest(now, job, step)));
    return { AnswerKind::NotRun, {}, 0, retryDelay(waitSeconds, job.specification.id.number), reason };
}

void JobScheduler::query(RequestNumber request, const QueryJob& query)
{
    if (const auto open = this->jobs.find(query.id); open != this->jobs.end())
        this->sendAnswer(
            request, { AnswerKind::State, open->second.hasBegun ? JobState::Running : JobState::Queued, 0, {}, {} });
    else if (const auto known = this->outcomes.find(query.id);
             known != this->outcomes.end() && known->second.answer.kind == AnswerKind::State)
        this->sendAnswer(request, known->second.answer);
    else
        this->sendAnswer(request, { AnswerKind::UnknownJob, {}, 0, {}, {} });
}

void JobScheduler::cancel(SteadyTime now, RequestNumber request, const CancelJob& cancellation)
{
    const auto open = this->jobs.find(cancellation.id);
    if (open == this->jobs.end()) {
        this->sendAnswer(request, { AnswerKind::UnknownJob, {}, 0, {}, {} });
        return;
    }
    this->endJob(now, open, { AnswerKind::State, JobState::Cancelled, 0, {}, "cancelled" });
    this->sendAnswer(request, { AnswerKind::Cancelled, {}, 0, {}, {} });
}

void JobScheduler::queryQueue(RequestNumber request, const Queue& queue)
{
    CallerAnswer result { AnswerKind::Pending, {}, 0, {}, {} };
    for (const auto& [id, job] : this->jobs)
        result.pending += !job.hasBegun && job.queue.name == queue.name ? 1 : 0;
    this->sendAnswer(request, result);
}

void JobScheduler::callerDisconnected(SteadyTime now, RequestNumber request)
{
    const auto known = this->jobsByRequest.find(request);
    if (known == this->jobsByRequest.end())
        return;
    const auto found = this->jobs.find(known->second);
    this->jobsByRequest.erase(known);
    found->second.request = 0;
    this->endJob(now, found, { AnswerKind::GivenUp, {}, 0, {}, "caller gone" });
}

std::vector<SchedulerAction> JobScheduler::poll(SteadyTime now)
{
    ++this->workDone.polls;
    if (now >= this->decisionsFrom) {
        const bool areJobsDue = now >= this->jobsDueAt;
        if (areJobsDue) {
            this->endExpired(now);
            this->forgetExpiredReservations(now);
            this->placeBeforeRefusal(now);
        }
        this->answerOffers(now);
        this->isPlacementDue = this->isPlacementDue || now >= this->fullPlacementAt;
        // Place before refusing: a job whose order was just returned may be due for refusal and have room again.
        this->placeWaitingJobs(now);
        if (areJobsDue)
            this->refuseWaiting(now);
    }
    this->maintainSidecars(now);
    while (!this->outcomesByAge.empty() && this->outcomesByAge.front().first + this->settings.outcomeRetention < now) {
        this->jobBudget.change(JobBudget::outcomeBytes * this->outcomes.erase(this->outcomesByAge.front().second), 0);
        this->outcomesByAge.pop_front();
    }
    return std::exchange(this->actions, {});
}

void JobScheduler::endExpired(SteadyTime now)
{
    this->workDone.jobsVisited += this->jobs.size();
    this->beginWork();
    for (auto next = this->jobs.begin(); next != this->jobs.end() && !this->isWorkOver();) {
        const auto found = next++;
        if (now < found->second.expiresAt)
            continue;
        this->endWithoutResult(now, found, "deadline");
    }
}

void JobScheduler::refuseWaiting(SteadyTime now)
{
    this->workDone.jobsVisited += this->jobs.size();
    this->beginWork();
    for (auto next = this->jobs.begin(); next != this->jobs.end() && !this->isWorkOver();) {
        const auto found = next++;
        Job& job = found->second;
        if (job.hasBegun || now < job.refuseAt || !job.reservations.empty())
            continue;
        const SteadyTime longest = addSeconds(job.arrivedAt,
            std::chrono::duration<double>(job.callerTimeout).count() * this->settings.discoveryWaitShare);
        if (now < longest && this->isDiscoveringWorkers(now)) {
            job.refuseAt = std::min(longest, now + discoveryWaitStep);
            this->isPlacementDue = true;
            continue;
        }
        this->traceAvailableRoom(now, job);
        this->endJob(now, found, this->refusal(now, job, "no room"));
    }
    this->jobsDueAt = SteadyTime::max();
    this->workDone.jobsVisited += this->jobs.size();
    for (const auto& [id, job] : this->jobs)
        this->noteDue(job);
}

SteadyTime JobScheduler::dueTime(const Job& job) const
{
    SteadyTime due = job.expiresAt;
    if (!job.hasBegun && job.reservations.empty())
        due = std::min(due, job.refuseAt);
    for (const Reservation& reservation : job.reservations)
        due = std::min(due, reservation.until);
    return due;
}

void JobScheduler::noteDue(const Job& job) { this->jobsDueAt = std::min(this->jobsDueAt, this->dueTime(job)); }

void JobScheduler::endJob(SteadyTime now, Jobs::iterator found, CallerAnswer answer)
{
    this->releaseReservations(found->second, std::nullopt);
    Job job = std::move(found->second);
    this->jobs.erase(found);
    this->jobsByRequest.erase(job.request);
    const StepJobId id = job.specification.id;
    std::map<Core::InstanceId, Messages::StopRuns> stops;
    for (const std::uint32_t step : job.startedSteps)
        job.steps[step].tasks.forEachOrdered([&, step](const Task& task) {
            stops[task.sidecar].tasks.push_back({ { id, 0, step, task.index }, task.order });
        });
    for (auto& [sidecar, stop] : stops) {
        stop.clockEcho = this->workerTable[sidecar].clockEcho;
        this->actions.push_back(SendToSidecar { sidecar, std::move(stop) });
    }
    this->logOutcome(now, job, answer);
    if (answer.kind == AnswerKind::State)
        this->keepOutcome(now, id, answer);
    this->jobBudget.change(job.addedBytes, 0);
    this->jobBudget.removeJob(job.admittedBytes);
    this->sendAnswer(job.request, std::move(answer));
}

void JobScheduler::endAllJobs(SteadyTime now)
{
    while (!this->jobs.empty())
        this->endWithoutResult(now, this->jobs.begin(), "process ends");
}

void JobScheduler::endWithoutResult(SteadyTime now, Jobs::iterator found, const std::string& reason)
{
    if (found->second.hasBegun)
        this->endJob(now, found, { AnswerKind::GivenUp, {}, 0, {}, reason });
    else
        this->endJob(now, found, this->refusal(now, found->second, reason));
}

void JobScheduler::sendAnswer(RequestNumber request, CallerAnswer answer)
{
    if (request != 0)
        this->actions.push_back(AnswerRequest { request, std::move(answer) });
}

SteadyTime JobScheduler::nextWakeUp() const
{
    SteadyTime due = std::min(this->jobsDueAt, this->fullPlacementAt);
    this->workDone.workersVisited += this->workerTable.size();
    for (const auto& [sidecar, worker] : this->workerTable) {
        const auto sent = this->lastSentAt.find(sidecar);
        if (worker.isConnected && sent != this->lastSentAt.end())
            due = std::min(due, sent->second + this->settings.heartbeatInterval);
        else if (!worker.isConnected && worker.lastReceivedAt != SteadyTime {})
            due = std::min(due, worker.lastReceivedAt + this->settings.unreachableRunsTimeout);
    }
    return std::max(due, this->decisionsFrom);
}

}
