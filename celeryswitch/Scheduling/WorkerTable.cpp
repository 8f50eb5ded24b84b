#include "celeryswitch/Scheduling/WorkerTable.h"

#include "celeryswitch/Scheduling/SchedulerTime.h"
#include <algorithm>
#include <array>
#include <limits>
#include <queue>
#include <tuple>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Scheduling {

namespace {

// Sidecars send at least every 200 ms, and acknowledge orders within 15 ms.
constexpr Core::Duration silenceLimit = std::chrono::milliseconds(280);
constexpr Core::Duration acknowledgementLimit = std::chrono::milliseconds(100);

constexpr double unbounded = std::numeric_limits<double>::infinity();

// Costs of a placement, as shares of the value of the work. The probability of missing the caller's timeout weighs
// most; the other costs decide between workers of a similar probability.
constexpr double lateCost = 0.8;
constexpr double remoteCost = 0.004;
constexpr double avoidedCost = 4;
constexpr double remoteDataCost = 0.5;
// Cost of a failure when the task can be retried, and when it can't.
constexpr double failureCost = 0.6;
constexpr double finalFailureCost = 3;
// Cost per second of waiting.
constexpr double waitCost = 3;
// Cost of workers above and below the reference speed, per unit of relative speed and of relative time; below
// `slowSpeed` a worker counts as slow.
constexpr double fastWorkerCost = 0.03;
constexpr double slowWorkerCost = 0.5;
constexpr double slowSpeed = 0.85;
// Cost of a worker with room for one task only, which another entry may take at the same time; it falls with the number
// of tasks that fit.
constexpr double contentionCost = 0.05;
// Predicted wait, in seconds, from which on room is reserved.
constexpr double minimumReservationWait = 1e-9;
// Bytes of unacknowledged orders from which on a sidecar gets no more: they would pile up in both processes.
constexpr std::size_t orderWindowBytes = 64 * 1024;
// Tasks of a step for which room is reserved at a time.
constexpr std::uint32_t maximumReservedTasks = 2000;
// Range of the hash-based tie-break by which jobs choose different ones of similar workers.
constexpr double tieBreakCost = 0.02;

// Share of the room in use from which on room counts as scarce.
constexpr double scarceShare = 0.7;

/// A worker that can run some of the tasks.
struct Candidate {
    const WorkerView* worker = nullptr;
    /// Room left after its queue and the tasks assigned to it in this placement.
    Messages::Room room;
    std::uint32_t assigned = 0;
    std::uint32_t maximumTasks = 0;
    double fixedCost = 0;
    double speed = 1;
    double waitSeconds = 0;
    /// Place of its tasks among the placements, by whether they wait; -1 before there is one.
    std::array<std::ptrdiff_t, 2> placements { -1, -1 };
};

// Predicted wait until a task fits, in seconds.
double predictWait(const Candidate& candidate, const Messages::Room& need)
{
    if (need.fits(candidate.room))
        return 0;
    // Only for processor room the rate of release is known; a shortage of other resources counts as the smallest
    // shortage.
    const std::int64_t rate = candidate.worker->load.freedMilliCoresPerSecond;
    const std::int64_t shortfall = std::max<std::int64_t>(need.milliCores - candidate.room.milliCores, 1);
    return rate > 0 ? static_cast<double>(shortfall) / static_cast<double>(rate) : unbounded;
}

// Probability that the tasks miss the response goal.
double lateProbability(const Candidate& candidate, const PlacementRequest& request)
{
    const double shortfall = candidate.waitSeconds - request.slackSeconds;
    const double gain = request.stretch - 1 / candidate.speed;
    // With a far factor the run may take just `stretch` times as long, so that only the wait counts.
    if (gain == 0 && request.farRuns.isEffective())
        return shortfall > 0 ? 1 : 0;
    if (gain > 0)
        return shortfall <= 0 ? 0 : 1 - request.time.probabilityAbove(shortfall / gain);
    return shortfall >= 0 ? 1 : request.time.probabilityAbove(shortfall / gain);
}

// Uniform hash value from 0 to 1 of a job and a worker.
double tieBreak(std::uint64_t salt, const Core::InstanceId& sidecar)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(sidecar.data(), sidecar.size(), salt);
    return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

double costOf(const Candidate& candidate, const PlacementRequest& request)
{
    TimeEstimate time = request.time;
    time.medianSeconds /= candidate.speed;
    const double timeoutProbability = time.probabilityAbove(request.callerTimeoutSeconds - candidate.waitSeconds);
    const double speedCost = candidate.speed >= slowSpeed ? fastWorkerCost * std::max(0.0, candidate.speed - 1)
                                                          : slowWorkerCost * (1 / candidate.speed - 1);
    const auto fitting = static_cast<double>(request.need.countIn(candidate.room));
    return timeoutProbability + lateCost * lateProbability(candidate, request) + waitCost * candidate.waitSeconds
        + speedCost + contentionCost / (1 + fitting) + candidate.fixedCost;
}

bool isEligible(const WorkerView& worker, const PlacementRequest& request)
{
    if (!worker.isUsable() || worker.isOrderWindowFull() || !worker.isSuitable(request))
        return false;
    const auto probeAt = worker.lastReceivedAt + std::chrono::milliseconds(worker.load.probeWaitMilliseconds);
    return !worker.load.isOnProbation
        || (request.isProbeAllowed && request.now >= probeAt && worker.uncountedOrders.empty()
            && worker.load.free == worker.profile.capacity);
}

// Whether a worker carries the label of the rack that the tasks prefer, if they prefer one.
bool isNear(const WorkerView& worker, const PlacementRequest& request)
{
    return request.farRuns.dataRack.empty() || worker.hasLabel(request.farRuns.dataRack);
}

Candidate makeCandidate(const WorkerView& worker, double referenceSpeed, const PlacementRequest& request)
{
    Candidate candidate;
    candidate.worker = &worker;
    candidate.room = worker.roomFor(request.rank);
    candidate.maximumTasks = request.tasksPerWorker > 0 ? request.tasksPerWorker : UINT32_MAX;
    if (const auto there = request.tasksAtSidecar.find(worker.sidecar); there != request.tasksAtSidecar.end())
        candidate.maximumTasks -= std::min(candidate.maximumTasks, there->second);
    if (worker.load.isOnProbation)
        candidate.maximumTasks = std::min(candidate.maximumTasks, 1U);
    candidate.speed = std::max(0.01, worker.speed() / referenceSpeed) / request.farRuns.factorOn(worker);
    const bool isAvoidedSidecar
        = std::find(request.avoidedSidecars.begin(), request.avoidedSidecars.end(), worker.sidecar)
        != request.avoidedSidecars.end();
    candidate.fixedCost = (isAvoidedSidecar ? avoidedCost : 0)
        + (worker.dataCentre == request.dataCentre ? 0 : remoteCost)
        + (request.farRuns.isEffective() || isNear(worker, request) ? 0 : remoteDataCost)
        + (request.isLastAttempt ? finalFailureCost : failureCost) * worker.load.failurePercent / 100
        + tieBreakCost * tieBreak(request.salt, worker.sidecar);
    return candidate;
}

}

void WorkerView::addOrder(const UncountedOrder& order)
{
    this->uncountedOrders.push_back(order);
    this->uncountedBytes += order.bytes;
}

void WorkerView::countOrders(std::uint64_t handledSequence)
{
    while (!this->uncountedOrders.empty() && this->uncountedOrders.front().sequence <= handledSequence) {
        this->uncountedBytes -= this->uncountedOrders.front().bytes;
        this->uncountedOrders.pop_front();
    }
}

bool WorkerView::isOrderWindowFull() const { return this->uncountedBytes >= orderWindowBytes; }

Messages::Room WorkerView::roomFor(float rank) const
{
    Messages::Room room = this->load.free;
    const std::int16_t rankClass = Messages::rankClassOf(rank);
    for (const Messages::QueuedRoom& queued : this->load.queued) {
        if (queued.rankClass >= rankClass)
            room.milliCores -= queued.milliCores;
    }
    for (const UncountedOrder& order : this->uncountedOrders)
        room -= order.room;
    return room;
}

bool WorkerView::isSilent(Core::SteadyTime now) const
{
    return now > this->lastReceivedAt + silenceLimit
        || (!this->uncountedOrders.empty() && now > this->uncountedOrders.front().sentAt + acknowledgementLimit);
}

bool WorkerView::isSuitable(const PlacementRequest& request) const
{
    return !this->isEvacuated && this->profile.service == request.service && request.need.fits(this->profile.capacity)
        && (request.requiredLabel.empty() || this->hasLabel(request.requiredLabel));
}

bool WorkerView::hasLabel(const std::string& label) const
{
    const auto& labels = this->profile.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

double fastestSpeed(const WorkerTable& workers, const std::string& service, const Messages::Room& need, float rank,
    const FarRuns& farRuns)
{
    double fastest = 0;
    for (const auto& [sidecar, worker] : workers) {
        if (worker.isUsable() && worker.profile.service == service && !worker.load.isOnProbation
            && need.fits(worker.roomFor(rank)))
            fastest = std::max(fastest, worker.speed() / farRuns.factorOn(worker));
    }
    return fastest;
}

double medianSpeed(const WorkerTable& workers)
{
    std::vector<double> speeds;
    for (const auto& [sidecar, worker] : workers) {
        if (worker.isUsable())
            speeds.push_back(worker.speed());
    }
    if (speeds.empty())
        return 1;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return std::max(0.01, *middle);
}

namespace {

std::vector<Candidate> makeCandidates(
    const WorkerTable& workers, double referenceSpeed, const PlacementRequest& request)
{
    std::vector<Candidate> candidates;
    std::vector<Candidate> silentCandidates;
    for (const auto& [sidecar, worker] : workers) {
        if (isEligible(worker, request))
            (worker.isSilent(request.now) ? silentCandidates : candidates)
                .push_back(makeCandidate(worker, referenceSpeed, request));
    }
    return candidates.empty() ? silentCandidates : candidates;
}

// Candidates by the cost of one more task, among those with a predicted wait in a range.
class CandidateQueue {
public:
    CandidateQueue(
        std::vector<Candidate>& candidates, const PlacementRequest& request, double minimumWait, double maximumWait)
        : candidates(candidates)
        , request(request)
        , minimumWait(minimumWait)
        , maximumWait(maximumWait)
    {
        for (std::size_t index = 0; index < candidates.size(); ++index)
            this->add(index);
    }
    bool isEmpty() const { return this->queue.empty(); }
    // The candidate of the lowest cost.
    Candidate& best() const { return this->candidates[this->queue.top().second]; }
    // Evaluates the candidate of the lowest cost again after tasks were assigned to it.
    void update()
    {
        const std::size_t index = this->queue.top().second;
        this->queue.pop();
        this->add(index);
    }

private:
    using Element = std::pair<double, std::size_t>;

    void add(std::size_t index)
    {
        Candidate& candidate = this->candidates[index];
        if (candidate.assigned >= candidate.maximumTasks)
            return;
        const double waitSeconds = predictWait(candidate, this->request.need);
        if (waitSeconds > this->maximumWait || waitSeconds < this->minimumWait)
            return;
        candidate.waitSeconds = waitSeconds;
        if (const double cost = costOf(candidate, this->request); cost < unbounded)
            this->queue.emplace(cost, index);
    }

    std::vector<Candidate>& candidates;
    const PlacementRequest& request;
    double minimumWait;
    double maximumWait;
    std::priority_queue<Element, std::vector<Element>, std::greater<>> queue;
};

// Room that has to be released on some candidates together, and its rate.
struct SharedQueue {
    std::int64_t shortfall = 0;
    std::int64_t rate = 0;

    double waitSeconds() const
    {
        return this->rate > 0 ? static_cast<double>(this->shortfall) / static_cast<double>(this->rate) : unbounded;
    }
};

// Queue of a number of tasks on the candidates: they reserve room on several workers and take what is released first.
SharedQueue sharedQueue(const std::vector<Candidate>& candidates, const PlacementRequest& request, std::uint32_t tasks)
{
    SharedQueue queue { request.need.milliCores * tasks, 0 };
    for (const Candidate& candidate : candidates) {
        if (candidate.worker->load.isOnProbation)
            continue;
        queue.shortfall += std::max<std::int64_t>(0, -candidate.room.milliCores);
        queue.rate += candidate.worker->load.freedMilliCoresPerSecond;
    }
    return queue;
}

// Predicted wait, in seconds, until room for a number of tasks has been released on any candidate.
double sharedWait(const std::vector<Candidate>& candidates, const PlacementRequest& request, std::uint32_t tasks)
{
    return sharedQueue(candidates, request, tasks).waitSeconds();
}

// Number of tasks that fit on the candidates now, and the mean speed of those that have room, or of all if none has.
std::pair<std::uint32_t, double> fittingTasks(
    const std::vector<Candidate>& candidates, double referenceSpeed, const PlacementRequest& request)
{
    std::uint32_t fitting = 0;
    double speeds[2] = {};
    std::size_t counts[2] = {};
    for (const Candidate& candidate : candidates) {
        const std::int64_t room = std::max<std::int64_t>(0, request.need.countIn(candidate.room));
        const auto tasks = static_cast<std::uint32_t>(std::min<std::int64_t>(room, candidate.maximumTasks));
        fitting += tasks;
        speeds[tasks > 0] += std::max(0.01, candidate.worker->speed() / referenceSpeed);
        ++counts[tasks > 0];
    }
    const bool hasRoom = counts[1] > 0;
    return { fitting, counts[hasRoom] > 0 ? speeds[hasRoom] / static_cast<double>(counts[hasRoom]) : 1 };
}

// Scarcity of room on the candidates, from 0 below `scarceShare` in use to 1 when all is in use.
double scarcity(const std::vector<Candidate>& candidates)
{
    double free = 0;
    double capacity = 0;
    for (const Candidate& candidate : candidates) {
        free += static_cast<double>(std::max<std::int64_t>(0, candidate.room.milliCores));
        capacity += static_cast<double>(candidate.worker->profile.capacity.milliCores);
    }
    const double used = capacity > 0 ? 1 - free / capacity : 1;
    return std::max(0.0, (used - scarceShare) / (1 - scarceShare));
}

// Assigns tasks to a candidate and adds them to its placement.
void assign(
    Candidate& candidate, std::uint32_t count, const PlacementRequest& request, std::vector<Placement>& placements)
{
    const bool isWaiting = candidate.waitSeconds > 0;
    candidate.assigned += count;
    candidate.room -= request.need * count;
    std::ptrdiff_t& place = candidate.placements[isWaiting ? 1 : 0];
    if (place < 0) {
        place = static_cast<std::ptrdiff_t>(placements.size());
        placements.push_back({ candidate.worker->sidecar, count, candidate.waitSeconds });
    } else {
        placements[static_cast<std::size_t>(place)].count += count;
    }
}

}

double predictSharedWait(const WorkerTable& workers, const PlacementRequest& request)
{
    return sharedWait(makeCandidates(workers, 1, request), request, request.count);
}

PlaceForecast forecastPlaces(const WorkerTable& workers, double referenceSpeed, const PlacementRequest& request,
    const std::optional<NearQueue>& queue)
{
    const std::vector<Candidate> all = makeCandidates(workers, referenceSpeed, request);
    std::vector<Candidate> near;
    std::vector<Candidate> far;
    for (const Candidate& candidate : all)
        (isNear(*candidate.worker, request) ? near : far).push_back(candidate);
    PlaceForecast forecast;
    std::uint32_t nearTasks = 0;
    std::uint32_t farTasks = 0;
    std::tie(nearTasks, forecast.nearSpeed) = fittingTasks(near, referenceSpeed, request);
    std::tie(farTasks, forecast.farSpeed) = fittingTasks(far, referenceSpeed, request);
    if (nearTasks >= request.count)
        return forecast;
    const std::uint32_t missing = request.count - nearTasks;
    const SharedQueue nearQueue = sharedQueue(near, request, queue ? 0 : missing);
    forecast.aheadMilliCores = static_cast<double>(nearQueue.shortfall);
    if (queue) {
        const double released = static_cast<double>(nearQueue.rate) * secondsUntil(queue->evaluatedAt, request.now);
        forecast.aheadMilliCores = std::max(static_cast<double>(request.need.milliCores * missing),
            std::min(forecast.aheadMilliCores, queue->aheadMilliCores - released));
    }
    forecast.nearWaitSeconds
        = nearQueue.rate > 0 ? forecast.aheadMilliCores / static_cast<double>(nearQueue.rate) : unbounded;
    if (farTasks < missing)
        forecast.farWaitSeconds = far.empty() ? unbounded : sharedWait(all, request, missing - farTasks);
    // The additional time of a far run delays other work by as much when there is no room to spare.
    forecast.farWaitSeconds += scarcity(all) * (request.farRuns.factor - 1) * request.time.medianSeconds;
    return forecast;
}

std::vector<Placement> choosePlacements(
    const WorkerTable& workers, double referenceSpeed, const PlacementRequest& request, std::uint64_t& evaluated)
{
    std::vector<Candidate> candidates = makeCandidates(workers, referenceSpeed, request);
    if (request.isNearOnly)
        std::erase_if(candidates, [&](const Candidate& candidate) { return !isNear(*candidate.worker, request); });
    evaluated += workers.size();
    std::vector<Placement> placements;
    std::uint32_t remaining = request.count;
    evaluated += candidates.size();
    for (CandidateQueue free(candidates, request, 0, 0); remaining > 0 && !free.isEmpty(); free.update()) {
        Candidate& best = free.best();
        // At most half of a worker's room is taken at a time, as other entries may order simultaneously.
        const std::int64_t fitting = (request.need.countIn(best.room) + 1) / 2;
        const auto count = static_cast<std::uint32_t>(std::min<std::int64_t>(
            { remaining, best.maximumTasks - best.assigned, std::max<std::int64_t>(1, fitting) }));
        remaining -= count;
        assign(best, count, request, placements);
        ++evaluated;
    }
    if (remaining == 0 || request.reservationsPerTask == 0)
        return placements;
    if (!request.isNearOnly && sharedWait(candidates, request, remaining) > request.maximumWaitSeconds)
        return {};
    std::uint32_t units = std::min(remaining, maximumReservedTasks) * request.reservationsPerTask;
    evaluated += candidates.size();
    for (CandidateQueue busy(candidates, request, minimumReservationWait, unbounded); units > 0 && !busy.isEmpty();
         busy.update()) {
        --units;
        assign(busy.best(), 1, request, placements);
        ++evaluated;
    }
    return placements;
}

}
