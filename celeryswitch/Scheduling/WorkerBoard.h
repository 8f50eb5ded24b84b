#pragma once

#include "celeryswitch/Messages/WorkMessages.h"
#include "celeryswitch/Scheduling/KindModel.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace celeryswitch::Scheduling {

/// What an entry knows of one worker, through the sidecar beside it.
struct WorkerView {
    Core::InstanceId sidecar;
    Core::Incarnation incarnation = 0;
    std::string dataCentre;
    bool isConnected = false;
    /// Whether the entry links to the sidecar; one that it no longer links to keeps its runs and gets no more.
    bool isLinked = true;
    Messages::WorkerProfile profile;
    Messages::WorkerLoad load;
    /// Newest clock sample of the sidecar, returned to it as the proof that this entry lives.
    std::int64_t clockSample = 0;
    /// When that sample came.
    Core::SteadyTime heardAt;
    /// Last order, and the room of orders that `load` does not count yet.
    std::uint64_t lastSequence = 0;
    std::deque<std::pair<std::uint64_t, Messages::Room>> underway;

    /// Room that a run of a rank finds, after those that are queued before it; negative when it has to wait.
    Messages::Room roomFor(float rank) const;
    /// Whether runs may be ordered.
    bool isUsable() const
    {
        return this->isConnected && this->isLinked && this->load.isReady && !this->profile.workerId.empty();
    }
    /// Whether the worker has a label.
    bool hasLabel(const std::string& label) const;
    /// Speed against an ordinary worker.
    double pace() const { return this->load.pacePercent / 100.0; }
};

/// Every worker that an entry knows, by sidecar.
using WorkerBoard = std::map<Core::InstanceId, WorkerView>;

/// Speed of the worker in the middle; 1 when there is none.
double medianPace(const WorkerBoard& board);

/// Speed of the fastest worker of a service that has room now; 0 when none has.
double fastestPace(const WorkerBoard& board, const std::string& service, const Messages::Room& need, float rank);

/// What a step's tasks ask of their workers.
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
    float rank = 0;
    /// Time that the tasks take on an ordinary worker.
    TimeEstimate time;
    /// The job is answered in time when its tasks take no longer than `stretch` times their time on an ordinary worker
    /// and `slackSeconds` more, from now on; the slack shrinks, below 0 as well, while the job waits.
    double stretch = 1;
    double slackSeconds = 0;
    /// Time until the caller stops waiting, in seconds.
    double patienceSeconds = 0;
    /// Longest wait for room, in seconds.
    double longestWaitSeconds = 0;
    /// Differs by job, so that orders at the same time choose different workers.
    std::uint64_t salt = 0;
    /// Whether a task may go to a worker on probation.
    bool isProbe = false;
    /// Whether a task fails for good with its next failure.
    bool isLastAttempt = false;
    Core::SteadyTime now;
};

/// Tasks for one worker.
struct Placement {
    Core::InstanceId sidecar;
    std::uint32_t count = 0;
    /// Time that they are expected to wait there, in seconds.
    double waitSeconds = 0;
};

/// Chooses workers for all tasks of a request, or none when some would wait for too long. `ordinaryPace` is the speed
/// of an ordinary worker.
std::vector<Placement> place(const WorkerBoard& board, double ordinaryPace, const PlacementRequest& request);

}
