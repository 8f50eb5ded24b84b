#include "celeryswitch/Scheduling/WorkerBoard.h"

#include <algorithm>
#include <limits>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Scheduling {

namespace {

constexpr double never = std::numeric_limits<double>::infinity();

// Costs of a choice, in parts of the value of the work. The chance to miss the end counts most; the rest decides
// between choices that are about as good in that.
constexpr double lateCost = 0.8;
constexpr double farCost = 0.004;
constexpr double avoidedCost = 4;
constexpr double farDataCost = 0.5;
// A run that fails: it can be tried again, or not.
constexpr double failureCost = 0.6;
constexpr double lastFailureCost = 3;
// A second of waiting.
constexpr double waitCost = 3;
// Using a faster worker than the ordinary, and a slower one.
constexpr double fastCost = 0.03;
constexpr double slowCost = 0.5;
constexpr double slowPace = 0.85;
// A worker with room for one task only, which another entry may take at the same time; falls with the tasks that fit.
constexpr double crowdCost = 0.05;
// Spread of the preferences by which orders of different jobs choose among workers that are about as good.
constexpr double preferenceCost = 0.02;

/// A worker that could run some of the tasks.
struct Candidate {
    const WorkerView* worker = nullptr;
    /// Room after the queue and after the tasks that were given to it here.
    Messages::Room room;
    std::uint32_t given = 0;
    std::uint32_t limit = 0;
    double fixedCost = 0;
    double pace = 1;
    double waitSeconds = 0;
};

// Time until a task fits, in seconds.
double waitFor(const Candidate& candidate, const Messages::Room& need)
{
    if (need.fits(candidate.room))
        return 0;
    // Only processor room is given back at a known rate; a lack of the others is waited for as long.
    const std::int64_t rate = candidate.worker->load.freedMilliCoresPerSecond;
    const std::int64_t lack = std::max<std::int64_t>(need.milliCores - candidate.room.milliCores, 1);
    return rate > 0 ? static_cast<double>(lack) / static_cast<double>(rate) : never;
}

// Probability that the tasks end too late for an answer in time.
double lateProbability(const Candidate& candidate, const PlacementRequest& request)
{
    const double lack = candidate.waitSeconds - request.slackSeconds;
    const double gain = request.stretch - 1 / candidate.pace;
    if (gain > 0)
        return lack <= 0 ? 0 : 1 - request.time.probabilityAbove(lack / gain);
    return lack >= 0 ? 1 : request.time.probabilityAbove(lack / gain);
}

// A number from 0 to 1 that differs by job and worker.
double preference(std::uint64_t salt, const Core::InstanceId& sidecar)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(sidecar.data(), sidecar.size(), salt);
    return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

double costOf(const Candidate& candidate, const PlacementRequest& request)
{
    TimeEstimate time = request.time;
    time.seconds /= candidate.pace;
    const double miss = time.probabilityAbove(request.patienceSeconds - candidate.waitSeconds);
    const double speed = candidate.pace >= slowPace ? fastCost * std::max(0.0, candidate.pace - 1)
                                                    : slowCost * (1 / candidate.pace - 1);
    const auto fitting = static_cast<double>(request.need.countIn(candidate.room));
    return miss + lateCost * lateProbability(candidate, request) + waitCost * candidate.waitSeconds + speed
        + crowdCost / (1 + fitting) + candidate.fixedCost;
}

bool isEligible(const WorkerView& worker, const PlacementRequest& request)
{
    if (!worker.isUsable() || worker.profile.service != request.service || !request.need.fits(worker.profile.capacity)
        || (!request.requiredLabel.empty() && !worker.hasLabel(request.requiredLabel)))
        return false;
    const auto probeAt = worker.heardAt + std::chrono::milliseconds(worker.load.probeWaitMilliseconds);
    return !worker.load.isOnProbation
        || (request.isProbe && request.now >= probeAt && worker.underway.empty()
            && worker.load.free == worker.profile.capacity);
}

Candidate makeCandidate(const WorkerView& worker, double ordinaryPace, const PlacementRequest& request)
{
    Candidate candidate;
    candidate.worker = &worker;
    candidate.room = worker.roomFor(request.rank);
    candidate.limit = request.tasksPerWorker > 0 ? request.tasksPerWorker : UINT32_MAX;
    if (worker.load.isOnProbation)
        candidate.limit = 1;
    candidate.pace = std::max(0.01, worker.pace() / ordinaryPace);
    const bool isAvoided
        = std::find(request.avoided.begin(), request.avoided.end(), worker.sidecar) != request.avoided.end();
    candidate.fixedCost = (isAvoided ? avoidedCost : 0) + (worker.dataCentre == request.dataCentre ? 0 : farCost)
        + (request.dataRack.empty() || worker.hasLabel(request.dataRack) ? 0 : farDataCost)
        + (request.isLastAttempt ? lastFailureCost : failureCost) * worker.load.failurePercent / 100
        + preferenceCost * preference(request.salt, worker.sidecar);
    return candidate;
}

}

Messages::Room WorkerView::roomFor(float rank) const
{
    Messages::Room room = this->load.free;
    const std::int16_t rankClass = Messages::rankClassOf(rank);
    for (const Messages::QueuedRoom& queued : this->load.queued) {
        if (queued.rankClass >= rankClass)
            room.milliCores -= queued.milliCores;
    }
    for (const auto& [sequence, used] : this->underway)
        room -= used;
    return room;
}

bool WorkerView::hasLabel(const std::string& label) const
{
    const auto& labels = this->profile.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

double fastestPace(const WorkerBoard& board, const std::string& service, const Messages::Room& need, float rank)
{
    double fastest = 0;
    for (const auto& [sidecar, worker] : board) {
        if (worker.isUsable() && worker.profile.service == service && !worker.load.isOnProbation
            && need.fits(worker.roomFor(rank)))
            fastest = std::max(fastest, worker.pace());
    }
    return fastest;
}

double medianPace(const WorkerBoard& board)
{
    std::vector<double> paces;
    for (const auto& [sidecar, worker] : board) {
        if (worker.isUsable())
            paces.push_back(worker.pace());
    }
    if (paces.empty())
        return 1;
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return std::max(0.01, *middle);
}

std::vector<Placement> place(const WorkerBoard& board, double ordinaryPace, const PlacementRequest& request)
{
    std::vector<Candidate> candidates;
    for (const auto& [sidecar, worker] : board) {
        if (isEligible(worker, request))
            candidates.push_back(makeCandidate(worker, ordinaryPace, request));
    }
    std::vector<Placement> placements;
    for (std::uint32_t left = request.count; left > 0;) {
        Candidate* best = nullptr;
        double bestCost = never;
        for (Candidate& candidate : candidates) {
            if (candidate.given >= candidate.limit)
                continue;
            candidate.waitSeconds = waitFor(candidate, request.need);
            if (candidate.waitSeconds > request.longestWaitSeconds)
                continue;
            const double cost = costOf(candidate, request);
            if (cost < bestCost) {
                best = &candidate;
                bestCost = cost;
            }
        }
        if (!best)
            return {};
        // Half of the room is left to other entries, which may order at the same time; tasks that wait are spread.
        const std::int64_t fitting = best->waitSeconds > 0 ? 1 : (request.need.countIn(best->room) + 1) / 2;
        const auto count = static_cast<std::uint32_t>(
            std::min<std::int64_t>({ left, best->limit - best->given, std::max<std::int64_t>(1, fitting) }));
        best->given += count;
        best->room -= request.need * count;
        left -= count;
        const auto known = std::find_if(placements.begin(), placements.end(),
            [&](const Placement& placement) { return placement.sidecar == best->worker->sidecar; });
        if (known == placements.end())
            placements.push_back({ best->worker->sidecar, count, best->waitSeconds });
        else
            known->count += count;
    }
    return placements;
}

}
