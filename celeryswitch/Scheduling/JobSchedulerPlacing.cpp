// Placement of waiting tasks and the start orders to their sidecars.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;

namespace {

// Minimum slack beyond two run times, in seconds, with which a task may be used as a probe of a worker on probation.
constexpr double minimumProbeSlackSeconds = -0.1;
// Time of an order to a sidecar and of the refusal back.
constexpr double orderRoundTripSeconds = 0.005;
// Maximum share of the remaining time up to which a predicted wait for room is trusted.
constexpr double maximumWaitConfidence = 0.7;
// Time that a run whose room was free may wait at its sidecar.
constexpr double startWindowSeconds = 0.03;
// Factor for the rank of jobs of which a run has started: their partial work would be lost.
constexpr float startedJobWeight = 8;
// Reservations of one job at a time. Its other tasks are placed where there is room.
constexpr std::size_t maximumReservations = 256;

}

float JobScheduler::rankOfWaiting(const Job& job, const Step& step)
{
    const float rank = job.hasBegun
        ? job.rank * static_cast<float>(step.tasks.count()) / static_cast<float>(step.tasks.waiting())
        : job.rank;
    return job.hasRun ? rank * startedJobWeight : rank;
}

std::map<Core::InstanceId, std::uint32_t> JobScheduler::tasksAtSidecar(const Job& job, std::uint32_t stepIndex) const
{
    std::map<Core::InstanceId, std::uint32_t> tasks = job.steps[stepIndex].tasks.tasksAtSidecars();
    for (const Reservation& reservation : job.reservations) {
        if (reservation.step == stepIndex)
            tasks[reservation.sidecar] += reservation.units;
    }
    return tasks;
}

PlacementRequest JobScheduler::placementRequest(SteadyTime now, const Job& job, std::uint32_t stepIndex)
{
    const Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    PlacementRequest request;
    request.service = job.queue.service;
    request.need = specification.need;
    request.count = step.tasks.waiting();
    request.requiredLabel = specification.requiredLabel;
    request.farRuns = this->farRuns(specification);
    request.tasksPerWorker = specification.tasksPerWorker;
    if (specification.tasksPerWorker > 0)
        request.tasksAtSidecar = this->tasksAtSidecar(job, stepIndex);
    request.dataCentre = this->settings.dataCentre;
    request.time = this->modelOf(now, job.queue).stepTime(specification.declaredMilliseconds / 1000.0);
    request.rank = rankOfWaiting(job, step);
    request.stretch = job.queue.stretch;
    request.salt = job.specification.id.number;
    request.now = now;
    request.slackSeconds = secondsUntil(now, this->goalTime(job, 0, 1));
    request.callerTimeoutSeconds = secondsUntil(now, job.callerDeadline);
    const double shortRunSeconds = request.time.medianSeconds * std::exp(-request.time.logDeviation);
    double maximumWait = shortRunSeconds * (request.stretch - 1) + request.slackSeconds;
    if (maximumWait < 0) {
        // The goal is missed already; the answer can only be late.
        request.rank *= static_cast<float>(this->settings.lateAnswerValue);
        maximumWait = secondsUntil(now, job.expiresAt) - request.time.medianSeconds;
    }
    if (!job.hasBegun) {
        const double untilRefusal = secondsUntil(now, job.refuseAt) - orderRoundTripSeconds;
        maximumWait = std::min(maximumWait,
            untilRefusal + std::max(0.0, maximumWait - untilRefusal) * job.waitConfidence * maximumWaitConfidence);
    }
    request.maximumWaitSeconds = std::max(0.0, maximumWait);
    bool hasFailed = false;
    request.isLastAttempt = request.count > 0 && job.queue.maximumAttempts <= 1;
    step.tasks.forEachReturned([&](const Task& task) {
        hasFailed = hasFailed || !task.avoidedSidecars.empty();
        request.isLastAttempt = request.isLastAttempt || task.failures + 1 >= job.queue.maximumAttempts;
        request.avoidedSidecars.insert(
            request.avoidedSidecars.end(), task.avoidedSidecars.begin(), task.avoidedSidecars.end());
    });
    request.isProbeAllowed = !hasFailed && job.queue.maximumAttempts > 1
        && request.slackSeconds + request.time.medianSeconds * (request.stretch - 2) > minimumProbeSlackSeconds;
    return request;
}

void JobScheduler::placeStep(SteadyTime now, double referenceSpeed, Job& job, std::uint32_t stepIndex)
{
    Step& step = job.steps[stepIndex];
    if (step.tasks.waiting() == 0 || !this->jobBudget.hasRecords())
        return;
    const std::uint32_t reservationsPerTask
        = job.reservations.size() < maximumReservations ? this->settings.reservationsPerTask : 0;
    PlacementRequest request = this->placementRequest(now, job, stepIndex);
    request.reservationsPerTask = step.reservations > 0 ? 0 : reservationsPerTask;
    if (request.farRuns.isEffective())
        this->decideRackWait(now, referenceSpeed, job, stepIndex, request);
    std::vector<Placement> placements
        = choosePlacements(this->workerTable, referenceSpeed, request, this->workDone.candidatesEvaluated);
    if (placements.empty() && request.isNearOnly && step.reservations == 0) {
        // No room can be reserved near, for example because of a limit of tasks on a worker.
        step.rackWait.reset();
        request = this->placementRequest(now, job, stepIndex);
        request.reservationsPerTask = reservationsPerTask;
        placements = choosePlacements(this->workerTable, referenceSpeed, request, this->workDone.candidatesEvaluated);
    }
    for (const Placement& placement : placements) {
        if (placement.waitSeconds > 0)
            this->reserveRoom(now, job, stepIndex, placement, request);
        else
            this->orderRuns(now, job, stepIndex, placement, request);
    }
    if (step.tasks.waiting() > 0)
        return;
    this->releaseReservations(job, stepIndex);
    step.rackWait.reset();
}

Messages::StartRuns JobScheduler::startOrder(
    SteadyTime now, Job& job, std::uint32_t stepIndex, WorkerView& worker, std::uint32_t count)
{
    Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    Messages::StartRuns start;
    start.sequence = ++worker.lastSequence;
    start.order = ++this->lastOrder;
    start.clockEcho = worker.clockEcho;
    start.job = job.specification.id;
    start.step = stepIndex;
    start.content = job.specification.content;
    start.need = specification.need;
    // The sidecar derives the worker's speed from it, which a far run must not lower.
    start.expectedMilliseconds = static_cast<std::uint32_t>(
        this->modelOf(now, job.queue).taskSeconds(specification.declaredMilliseconds / 1000.0) * 1000
        * this->farRuns(specification).factorOn(worker));
    // An order whose room was taken meanwhile is returned by the sidecar and placed again.
    start.startWithinMicroseconds = static_cast<std::int64_t>(startWindowSeconds * 1e6);
    start.deadlineMicroseconds
        = std::max<std::int64_t>(1, static_cast<std::int64_t>(secondsUntil(now, job.expiresAt) * 1e6));
    start.bornAt = worker.profile.bornAt;
    const std::size_t records = step.tasks.recordCount();
    if (!std::exchange(step.hasStarted, true)) {
        job.startedSteps.push_back(stepIndex);
        this->changeRecords(job, 0, JobBudget::stepBytes);
    }
    while (step.tasks.waiting() > 0 && start.tasks.size() < count) {
        Task& task = step.tasks.takeWaiting();
        task.sidecar = worker.sidecar;
        task.order = start.order;
        task.isStarted = false;
        start.tasks.emplace_back(task.index, task.run);
        ++job.orderedTasks;
    }
    this->changeRecords(job, records * JobBudget::taskBytes, step.tasks.recordCount() * JobBudget::taskBytes);
    this->lastSentAt[worker.sidecar] = now;
    job.hasBegun = true;
    return start;
}

void JobScheduler::recordOrder(
    SteadyTime now, Job& job, const WorkerView& worker, const Messages::StartRuns& start, double expectedWaitSeconds)
{
    if (job.orders == 0)
        job.firstOrderAt = now;
    job.orders += static_cast<std::uint32_t>(start.tasks.size());
    this->metrics.runsOrdered(start.tasks.size());
    const FarRuns farRuns = this->farRuns(job.specification.steps[start.step]);
    if (farRuns.isEffective())
        this->metrics.tasksPlaced(start.tasks.size(), farRuns.factorOn(worker) > 1);
    this->trace(now, job, "tasks placed",
        { { "job", Messages::jobText(job.specification.id) }, { "sidecar", worker.sidecar },
            { "worker", worker.profile.workerId }, { "order", start.order },
            { "first_task", start.tasks.front().first }, { "run", start.tasks.front().second },
            { "tasks", static_cast<std::uint64_t>(start.tasks.size()) },
            { "free_millicores", worker.load.free.milliCores },
            { "room_age_ms", toMilliseconds(now - worker.lastReceivedAt) }, { "pace_percent", worker.load.pacePercent },
            { "expected_wait_ms", static_cast<std::int64_t>(expectedWaitSeconds * 1000) } });
}

void JobScheduler::orderRuns(
    SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement, const PlacementRequest& request)
{
    WorkerView& worker = this->workerTable.at(placement.sidecar);
    Messages::StartRuns start = this->startOrder(now, job, stepIndex, worker, placement.count);
    start.rank = request.rank;
    worker.addOrder({ start.sequence, start.need * static_cast<std::int64_t>(start.tasks.size()), now,
        sizeof(Messages::StartRuns) + start.content.size() + start.tasks.size() * sizeof(start.tasks.front()) });
    this->recordOrder(now, job, worker, start, 0);
    this->actions.push_back(SendToSidecar { placement.sidecar, std::move(start) });
}

}
