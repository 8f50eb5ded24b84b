// Choice of workers for the tasks that wait, and the orders to their sidecars.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;

namespace {

// Time to spare, beyond two runs, that a job must have for one of its tasks to test a worker on probation.
constexpr double probeSeconds = -0.1;
// Time of an order's way to a sidecar and of the refusal's way back.
constexpr double orderSeconds = 0.005;
// Share of the time that a job can wait up to which a predicted wait is trusted at most.
constexpr double waitConfidence = 0.7;
// How much longer than expected a run may wait at a sidecar: as a factor, and in any case.
constexpr double waitTolerance = 2;
constexpr double shortestWaitSeconds = 0.03;
// How much more the rest of a job is worth that has run in part and would be lost whole.
constexpr float begunWeight = 8;

}

void JobScheduler::queue(Job& job)
{
    if (!std::exchange(job.isQueued, true))
        this->waitingJobs.push_back(job.specification.id);
    this->isPlacingDue = true;
}

void JobScheduler::placeWaiting(SteadyTime now)
{
    if (!std::exchange(this->isPlacingDue, false) || this->waitingJobs.empty())
        return;
    std::vector<std::pair<float, std::uint64_t>> order;
    for (const std::uint64_t id : std::exchange(this->waitingJobs, {})) {
        if (const auto found = this->jobs.find(id); found != this->jobs.end())
            order.emplace_back(-found->second.rank, id);
    }
    std::sort(order.begin(), order.end());
    const double ordinaryPace = medianPace(this->board);
    for (const auto& [rank, id] : order) {
        Job& job = this->jobs.at(id);
        job.isQueued = false;
        bool isPlaced = true;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step)
            isPlaced = this->placeStep(now, ordinaryPace, job, step) && isPlaced;
        if (!isPlaced && !std::exchange(job.isQueued, true))
            this->waitingJobs.push_back(id);
    }
}

bool JobScheduler::placeStep(SteadyTime now, double ordinaryPace, Job& job, std::uint32_t stepIndex)
{
    Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    if (step.waiting == 0)
        return true;
    for (std::uint32_t earlier : specification.after) {
        if (job.steps[earlier].done < job.steps[earlier].tasks.size())
            return true;
    }
    PlacementRequest request;
    request.service = job.queue.service;
    request.need = specification.need;
    request.count = step.waiting;
    request.requiredLabel = specification.requiredLabel;
    request.dataRack = specification.dataRack;
    request.tasksPerWorker = specification.tasksPerWorker;
    request.dataCentre = this->settings.dataCentre;
    request.time = this->modelOf(now, job.queue).stepTime(specification.declaredMilliseconds / 1000.0);
    // What is left of a begun job carries the value of the whole.
    request.rank
        = job.hasBegun ? job.rank * static_cast<float>(step.tasks.size()) / static_cast<float>(step.waiting) : job.rank;
    if (job.hasRun)
        request.rank *= begunWeight;
    request.stretch = job.queue.stretch;
    request.salt = job.specification.id;
    request.now = now;
    request.slackSeconds = secondsUntil(now, this->goalOf(job, 0, 1));
    request.patienceSeconds = secondsUntil(now, job.patienceEnd);
    const double shortest = request.time.seconds * std::exp(-request.time.deviation);
    double longestWait = shortest * (request.stretch - 1) + request.slackSeconds;
    if (longestWait < 0) {
        // It can only be late.
        request.rank *= static_cast<float>(this->settings.lateValue);
        longestWait = secondsUntil(now, job.limit) - request.time.seconds;
    }
    if (!job.hasBegun) {
        const double unpriced = secondsUntil(now, job.waitUntil) - orderSeconds;
        longestWait
            = std::min(longestWait, unpriced + std::max(0.0, longestWait - unpriced) * job.waitTrust * waitConfidence);
    }
    request.longestWaitSeconds = std::max(0.0, longestWait);
    bool hasFailed = false;
    for (const Task& task : step.tasks) {
        if (task.phase != TaskPhase::Waiting)
            continue;
        hasFailed = hasFailed || !task.avoided.empty();
        request.isLastAttempt = request.isLastAttempt || task.failures + 1 >= job.queue.maximumAttempts;
        request.avoided.insert(request.avoided.end(), task.avoided.begin(), task.avoided.end());
    }
    request.isProbe = !hasFailed && job.queue.maximumAttempts > 1
        && request.slackSeconds + request.time.seconds * (request.stretch - 2) > probeSeconds;
    const std::vector<Placement> placements = place(this->board, ordinaryPace, request);
    for (const Placement& placement : placements)
        this->order(now, job, stepIndex, placement, request);
    return !placements.empty();
}

void JobScheduler::order(
    SteadyTime now, Job& job, std::uint32_t stepIndex, const Placement& placement, const PlacementRequest& request)
{
    Step& step = job.steps[stepIndex];
    const StepSpecification& specification = job.specification.steps[stepIndex];
    WorkerView& worker = this->board.at(placement.sidecar);
    Messages::StartRuns start;
    start.sequence = ++worker.lastSequence;
    start.clockEcho = worker.clockSample;
    start.job = job.specification.id;
    start.step = stepIndex;
    start.content = job.specification.content;
    start.need = specification.need;
    start.expectedMilliseconds = static_cast<std::uint32_t>(
        this->modelOf(now, job.queue).taskSeconds(specification.declaredMilliseconds / 1000.0) * 1000);
    start.rank = request.rank;
    // A run that waits for much longer than was expected comes back, and finds another place.
    const double startWithin
        = std::min(request.longestWaitSeconds, placement.waitSeconds * waitTolerance + shortestWaitSeconds);
    start.startWithinMicroseconds = static_cast<std::int64_t>(std::max(startWithin, shortestWaitSeconds) * 1e6);
    start.deadlineMicroseconds
        = std::max<std::int64_t>(1, static_cast<std::int64_t>(secondsUntil(now, job.limit) * 1e6));
    for (std::uint32_t index = 0; index < step.tasks.size() && start.tasks.size() < placement.count; ++index) {
        Task& task = step.tasks[index];
        if (task.phase != TaskPhase::Waiting)
            continue;
        task.phase = TaskPhase::Ordered;
        task.sidecar = placement.sidecar;
        --step.waiting;
        start.tasks.emplace_back(index, task.run);
    }
    worker.underway.emplace_back(start.sequence, specification.need * static_cast<std::int64_t>(start.tasks.size()));
    this->aliveSentAt[placement.sidecar] = now;
    job.hasBegun = true;
    if (job.orders == 0)
        job.firstOrderAt = now;
    job.orders += static_cast<std::uint32_t>(start.tasks.size());
    this->metrics.runsOrdered(start.tasks.size());
    job.trace.add(now, "tasks placed",
        { { "job", Messages::jobText(job.specification.id) }, { "sidecar", placement.sidecar },
            { "worker", worker.profile.workerId }, { "order", start.sequence },
            { "first_task", start.tasks.front().first }, { "run", start.tasks.front().second },
            { "tasks", static_cast<std::uint64_t>(start.tasks.size()) },
            { "free_millicores", worker.load.free.milliCores }, { "room_age_ms", milliseconds(now - worker.heardAt) },
            { "pace_percent", worker.load.pacePercent },
            { "expected_wait_ms", static_cast<std::int64_t>(placement.waitSeconds * 1000) } });
    this->actions.push_back(SendWork { placement.sidecar, std::move(start) });
}

}
