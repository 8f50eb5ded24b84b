// Turns of the waiting jobs: which of them are placed in a decision, and which of their steps.
#include "celeryswitch/Scheduling/JobScheduler.h"

#include <algorithm>

namespace celeryswitch::Scheduling {

using Core::SteadyTime;

namespace {

// Steps of a job that are placed before it is another job's turn.
constexpr std::size_t stepsInTurn = 16;
// Time between two placements on all workers of a job that has no room reserved.
constexpr Core::Duration fullPlacementInterval = std::chrono::milliseconds(20);

}

void JobScheduler::linkSteps(Job& job)
{
    for (std::uint32_t index = 0; index < job.steps.size(); ++index) {
        std::vector<std::uint32_t>& dependencies = job.specification.steps[index].dependencies;
        std::sort(dependencies.begin(), dependencies.end());
        dependencies.erase(std::unique(dependencies.begin(), dependencies.end()), dependencies.end());
        job.steps[index].openDependencies = static_cast<std::uint32_t>(dependencies.size());
        for (const std::uint32_t earlier : dependencies)
            job.steps[earlier].dependents.push_back(index);
        if (dependencies.empty())
            makePlaceable(job, index);
    }
}

void JobScheduler::makePlaceable(Job& job, std::uint32_t stepIndex)
{
    if (std::exchange(job.steps[stepIndex].isPlaceable, true))
        return;
    std::vector<std::uint32_t>& steps = job.placeableSteps;
    const auto place = std::lower_bound(steps.begin(), steps.end(), stepIndex);
    if (static_cast<std::size_t>(place - steps.begin()) < job.nextPlaceable)
        ++job.nextPlaceable;
    steps.insert(place, stepIndex);
}

void JobScheduler::enqueue(Job& job)
{
    if (!std::exchange(job.isQueued, true))
        this->waitingJobs.push_back(job.specification.id);
    job.placeInFullAt = {};
    this->isPlacementDue = true;
}

void JobScheduler::noteChange(WorkerView& worker) { worker.lastChange = ++this->lastChange; }

std::vector<const WorkerView*> JobScheduler::takeChangedWorkers()
{
    std::vector<const WorkerView*> changed;
    this->workDone.workersVisited += this->workerTable.size();
    for (const auto& [sidecar, worker] : this->workerTable) {
        if (worker.lastChange > this->placedChange && worker.isUsable())
            changed.push_back(&worker);
    }
    this->placedChange = this->lastChange;
    return changed;
}

std::vector<JobScheduler::Job*> JobScheduler::takeWaitingJobs()
{
    std::vector<Job*> order;
    order.reserve(this->waitingJobs.size());
    for (const StepJobId& id : std::exchange(this->waitingJobs, {})) {
        if (const auto found = this->jobs.find(id); found != this->jobs.end())
            order.push_back(&found->second);
    }
    const auto isBefore = [this](const Job* left, const Job* right) {
        const bool hadTurn = left->round == this->round;
        if (hadTurn != (right->round == this->round))
            return !hadTurn;
        return left->rank != right->rank ? left->rank > right->rank : left->specification.id < right->specification.id;
    };
    std::sort(order.begin(), order.end(), isBefore);
    this->workDone.jobsVisited += order.size();
    return order;
}

void JobScheduler::placeWaitingJobs(SteadyTime now)
{
    if (!std::exchange(this->isPlacementDue, false) || this->waitingJobs.empty())
        return;
    const std::vector<Job*> order = this->takeWaitingJobs();
    const std::vector<const WorkerView*> changed = this->takeChangedWorkers();
    const bool isFull = std::exchange(this->isFullPlacementDue, false);
    this->fullPlacementAt = SteadyTime::max();
    this->workDone.workersVisited += this->workerTable.size();
    const double referenceSpeed = medianSpeed(this->workerTable);
    this->beginWork();
    // Jobs with more steps than a turn has, and the steps that they have left in this decision.
    std::vector<std::pair<Job*, std::size_t>> unfinished;
    for (Job* const job : order) {
        if (this->isWorkOver()) {
            this->postpone(*job);
            continue;
        }
        job->round = this->round;
        if (!isFull && now < job->placeInFullAt && !this->hasRoomFor(*job, changed)) {
            this->waitingJobs.push_back(job->specification.id);
            this->fullPlacementAt = std::min(this->fullPlacementAt, job->placeInFullAt);
            continue;
        }
        job->isQueued = false;
        const std::size_t steps = job->placeableSteps.size();
        const std::size_t placed = this->takeTurn(now, referenceSpeed, *job);
        if (placed < steps)
            unfinished.emplace_back(job, steps - placed);
        else
            this->endTurns(now, *job);
    }
    if (!this->isPlacementDue)
        ++this->round;
    this->placeUnfinished(now, referenceSpeed, std::move(unfinished));
}

void JobScheduler::placeUnfinished(
    SteadyTime now, double referenceSpeed, std::vector<std::pair<Job*, std::size_t>> unfinished)
{
    while (!unfinished.empty() && !this->isWorkOver()) {
        for (auto& [job, left] : unfinished) {
            if (this->isWorkOver())
                break;
            left -= std::min(left, this->takeTurn(now, referenceSpeed, *job));
            if (left == 0)
                this->endTurns(now, *job);
        }
        std::erase_if(unfinished, [](const auto& element) { return element.second == 0; });
    }
    for (const auto& [job, left] : unfinished)
        this->postpone(*job);
}

std::size_t JobScheduler::turnLength(const Job& job) { return std::min(job.placeableSteps.size(), stepsInTurn); }

std::size_t JobScheduler::takeTurn(SteadyTime now, double referenceSpeed, Job& job)
{
    std::vector<std::uint32_t>& steps = job.placeableSteps;
    if (job.nextPlaceable >= steps.size())
        job.nextPlaceable = 0;
    const auto begin = steps.begin() + static_cast<std::ptrdiff_t>(job.nextPlaceable);
    const auto end = begin + static_cast<std::ptrdiff_t>(std::min<std::size_t>(stepsInTurn, steps.end() - begin));
    const auto length = static_cast<std::size_t>(end - begin);
    this->workDone.stepsVisited += length;
    for (auto step = begin; step != end; ++step)
        this->placeStep(now, referenceSpeed, job, *step);
    const auto kept = std::remove_if(begin, end, [&job](std::uint32_t step) {
        job.steps[step].isPlaceable = job.steps[step].tasks.waiting() > 0;
        return !job.steps[step].isPlaceable;
    });
    job.nextPlaceable = static_cast<std::size_t>(kept - steps.begin());
    steps.erase(kept, end);
    return length;
}

void JobScheduler::endTurns(SteadyTime now, Job& job)
{
    job.placeInFullAt = this->nextFullPlacement(now, job);
    if (job.placeableSteps.empty())
        return;
    this->fullPlacementAt = std::min(this->fullPlacementAt, job.placeInFullAt);
    if (!std::exchange(job.isQueued, true))
        this->waitingJobs.push_back(job.specification.id);
}

void JobScheduler::postpone(Job& job)
{
    job.isQueued = true;
    this->waitingJobs.push_back(job.specification.id);
    job.placeInFullAt = {};
    this->isPlacementDue = true;
    this->fullPlacementAt = {};
}

void JobScheduler::placeBeforeRefusal(SteadyTime now)
{
    this->workDone.jobsVisited += this->waitingJobs.size();
    for (const StepJobId& id : this->waitingJobs) {
        const auto found = this->jobs.find(id);
        if (found == this->jobs.end() || found->second.hasBegun || now < found->second.refuseAt)
            continue;
        found->second.placeInFullAt = {};
        this->isPlacementDue = true;
    }
}

bool JobScheduler::hasRoomFor(const Job& job, const std::vector<const WorkerView*>& workers)
{
    const std::size_t length = turnLength(job);
    this->workDone.stepsVisited += length;
    for (std::size_t offset = 0; offset < length; ++offset) {
        const std::uint32_t index = job.placeableSteps[(job.nextPlaceable + offset) % job.placeableSteps.size()];
        const Step& step = job.steps[index];
        const std::uint32_t waiting = step.tasks.waiting();
        // Without reservations the tasks are placed together, which takes more than the room of one worker.
        if (waiting == 0 || (waiting > 1 && step.reservations == 0))
            continue;
        // A placement may have a lower rank when the goal is missed already.
        const float rank = rankOfWaiting(job, step);
        this->workDone.workersVisited += workers.size();
        this->roomsCompared += workers.size();
        const Messages::Room& need = job.specification.steps[index].need;
        const bool isFitting = std::any_of(workers.begin(), workers.end(), [&](const WorkerView* worker) {
            return worker->profile.service == job.queue.service && need.fits(worker->roomFor(rank));
        });
        if (isFitting)
            return true;
    }
    return false;
}

SteadyTime JobScheduler::nextFullPlacement(SteadyTime now, const Job& job)
{
    SteadyTime next = SteadyTime::max();
    if (job.placeableSteps.size() > stepsInTurn)
        return now + fullPlacementInterval;
    for (const std::uint32_t index : job.placeableSteps) {
        const Step& step = job.steps[index];
        if (step.reservations == 0)
            return now + fullPlacementInterval;
        // A wait is decided again even if no worker reports a change: its sidecars may have gone silent.
        if (step.rackWait)
            next = std::min({ next, now + fullPlacementInterval, step.rackWait->until });
    }
    return next;
}

}
