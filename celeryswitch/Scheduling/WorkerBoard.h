#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Scheduling {

/// What an entry knows of one worker, through the sidecar beside it.
struct WorkerView {
    Core::InstanceId sidecar;
    Core::Incarnation incarnation = 0;
    std::string dataCentre;
    bool isConnected = false;
    Messages::WorkerStatus status;
    /// Newest clock sample of the sidecar, returned to it as the proof that this entry lives.
    std::int64_t clockSample = 0;
    /// When that sample came.
    Core::SteadyTime heardAt;
    /// Last order, and the room of orders that `status` does not count yet.
    std::uint64_t lastSequence = 0;
    std::deque<std::pair<std::uint64_t, Messages::Room>> underway;

    /// Room that is free as far as this entry knows.
    Messages::Room free() const
    {
        Messages::Room room = this->status.free;
        for (const auto& [sequence, used] : this->underway)
            room -= used;
        return room;
    }
    /// Whether runs may be ordered.
    bool isUsable() const { return this->isConnected && this->status.isReady; }
    /// Whether the worker has a label.
    bool hasLabel(const std::string& label) const
    {
        const auto& labels = this->status.labels;
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

/// Every worker that an entry knows, by sidecar.
using WorkerBoard = std::map<Core::InstanceId, WorkerView>;

/// What a step's tasks ask of a worker.
struct PlacementRequest {
    std::string service;
    Messages::Room need;
    std::uint32_t count = 0;
    std::string requiredLabel;
    std::string dataRack;
    /// 0 means no limit.
    std::uint32_t tasksPerWorker = 0;
    /// Data centre of the entry.
    std::string dataCentre;
    /// Sidecars whose workers are avoided when there is another choice.
    std::vector<Core::InstanceId> avoided;
};

/// Tasks for one worker.
struct Placement {
    Core::InstanceId sidecar;
    std::uint32_t count = 0;
};

/// Chooses workers for all tasks of a request, or none when there is no room for all. Prefers few workers, near ones,
/// and among equal ones the one with the most free room.
std::vector<Placement> place(const WorkerBoard& board, const PlacementRequest& request);

}
