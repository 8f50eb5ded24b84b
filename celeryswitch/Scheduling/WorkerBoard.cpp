#include "celeryswitch/Scheduling/WorkerBoard.h"

#include <algorithm>

namespace celeryswitch::Scheduling {

namespace {

/// A worker that could run some of the tasks.
struct Candidate {
    const WorkerView* worker = nullptr;
    std::uint32_t fitting = 0;
    bool isAvoided = false;
    bool isNear = false;
    bool hasData = false;
};

}

std::vector<Placement> place(const WorkerBoard& board, const PlacementRequest& request)
{
    std::vector<Candidate> candidates;
    for (const auto& [sidecar, worker] : board) {
        if (!worker.isUsable() || worker.status.service != request.service
            || (!request.requiredLabel.empty() && !worker.hasLabel(request.requiredLabel)))
            continue;
        std::int64_t fitting = std::min<std::int64_t>(request.count, request.need.countIn(worker.free()));
        if (request.tasksPerWorker > 0)
            fitting = std::min<std::int64_t>(fitting, request.tasksPerWorker);
        if (fitting <= 0)
            continue;
        const bool isAvoided
            = std::find(request.avoided.begin(), request.avoided.end(), sidecar) != request.avoided.end();
        candidates.push_back({ &worker, static_cast<std::uint32_t>(fitting), isAvoided,
            worker.dataCentre == request.dataCentre, !request.dataRack.empty() && worker.hasLabel(request.dataRack) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        if (left.isAvoided != right.isAvoided)
            return right.isAvoided;
        if (left.hasData != right.hasData)
            return left.hasData;
        if (left.fitting != right.fitting)
            return left.fitting > right.fitting;
        if (left.isNear != right.isNear)
            return left.isNear;
        return left.worker->free().milliCores > right.worker->free().milliCores;
    });
    std::vector<Placement> placements;
    std::uint32_t left = request.count;
    for (const Candidate& candidate : candidates) {
        const std::uint32_t count = std::min(left, candidate.fitting);
        if (count > 0)
            placements.push_back({ candidate.worker->sidecar, count });
        left -= count;
    }
    if (left > 0)
        placements.clear();
    return placements;
}

}
