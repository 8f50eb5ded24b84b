#pragma once

#include "celeryswitch/Messages/WorkMessages.h"
#include "celeryswitch/Scheduling/PlacementWait.h"
#include "celeryswitch/Scheduling/QueueModel.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Scheduling {

struct PlacementRequest;

/// An order that a sidecar has not acknowledged yet.
struct UncountedOrder {
    std::uint64_t sequence = 0;
    /// Room that it is expected to use.
    Messages::Room room;
    Core::SteadyTime sentAt;
    /// Size of its message.
    std::size_t bytes = 0;
};

/// An entry's view of one worker, as reported by the worker's sidecar.
struct WorkerView {
    Core::InstanceId sidecar;
    Core::Incarnation incarnation = 0;
    std::string dataCentre;
    bool isConnected = false;
    /// Whether the entry is linked to the sidecar. Without the link its runs go on, but it gets no new ones.
    bool isLinked = true;
    /// Whether the worker's data centre is evacuated; it gets no new runs, while those that it has may end.
    bool isEvacuated = false;
    Messages::WorkerProfile profile;
    Messages::WorkerLoad load;
    /// Latest clock sample received from the sidecar over this connection, and when it was received.
    std::int64_t clockSample = 0;
    Core::SteadyTime lastReceivedAt;
    /// Sample that is sent back to the sidecar; all callers that had gone when it was received are known. 0 if none is.
    std::int64_t clockEcho = 0;
    /// Sequence number of the last order, and the room of those orders that `load` does not include yet.
    std::uint64_t lastSequence = 0;
    std::deque<UncountedOrder> uncountedOrders;
    std::size_t uncountedBytes = 0;
    /// Number of the latest change that may have made room on the worker, see JobScheduler::noteChange.
    std::uint64_t lastChange = 0;

    void addOrder(const UncountedOrder& order);
    /// Forgets the orders up to a sequence number, which `load` includes now.
    void countOrders(std::uint64_t handledSequence);
    /// Whether as many orders as may be on their way at a time are not acknowledged.
    bool isOrderWindowFull() const;
    /// Room left for a run of a rank after the runs queued before it; negative when it would have to wait.
    Messages::Room roomFor(float rank) const;
    /// Whether runs may be ordered on the worker.
    bool isUsable() const
    {
        return this->isConnected && this->isLinked && !this->isEvacuated && this->load.isReady
            && !this->profile.workerId.empty();
    }
    /// Whether the sidecar is late with an update or with the acknowledgement of an order. It may be cut off: other
    /// work is placed elsewhere, while its own runs go on.
    bool isSilent(Core::SteadyTime now) const;
    /// Whether the worker, when idle, can run a request's tasks. Not while its data centre is evacuated.
    bool isSuitable(const PlacementRequest& request) const;
    /// Whether the worker carries a label.
    bool hasLabel(const std::string& label) const;
    /// Speed relative to a worker of 100 %.
    double speed() const { return this->load.pacePercent / 100.0; }
};

/// All workers known to an entry, by sidecar.
using WorkerTable = std::map<Core::InstanceId, WorkerView>;

/// Median speed of the usable workers; 1 when there are none.
double medianSpeed(const WorkerTable& workers);

/// How much longer tasks that prefer a rack run on workers without its label.
struct FarRuns {
    /// Label of the rack; empty when tasks prefer none.
    std::string dataRack;
    double factor = 1;

    /// Whether run times differ between workers.
    bool isEffective() const { return this->factor > 1 && !this->dataRack.empty(); }
    /// Factor of the run time on a worker.
    double factorOn(const WorkerView& worker) const
    {
        return this->isEffective() && !worker.hasLabel(this->dataRack) ? this->factor : 1;
    }
};

/// Speed of the fastest worker of a service with room at present, for tasks with these far runs; 0 when there is none.
double fastestSpeed(const WorkerTable& workers, const std::string& service, const Messages::Room& need, float rank,
    const FarRuns& farRuns);

/// Requirements and costs of a step's waiting tasks.
struct PlacementRequest {
    std::string service;
    Messages::Room need;
    std::uint32_t count = 0;
    std::string requiredLabel;
    FarRuns farRuns;
    /// Whether only workers with the label of the rack are used.
    bool isNearOnly = false;
    /// 0 means no limit.
    std::uint32_t tasksPerWorker = 0;
    /// With a limit: tasks of the step that are at a sidecar's worker or have room reserved there.
    std::map<Core::InstanceId, std::uint32_t> tasksAtSidecar;
    /// Data centre of the entry.
    std::string dataCentre;
    /// Sidecars whose workers are only used when no other worker can be.
    std::vector<Core::InstanceId> avoidedSidecars;
    float rank = 0;
    /// Estimated time of the tasks on a worker of median speed.
    TimeEstimate time;
    /// Response goal from `now` on: the job is in time if its tasks take at most `stretch` times their time on a worker
    /// of median speed plus `slackSeconds`. The slack shrinks while the job waits and may become negative.
    double stretch = 1;
    double slackSeconds = 0;
    /// Time until the caller's timeout, in seconds.
    double callerTimeoutSeconds = 0;
    /// Maximum predicted wait for room, in seconds.
    double maximumWaitSeconds = 0;
    /// Hash seed of the job, so that simultaneous orders choose different workers.
    std::uint64_t salt = 0;
    /// Whether a task may be placed on a worker on probation.
    bool isProbeAllowed = false;
    /// Whether the next failure of a task is final.
    bool isLastAttempt = false;
    /// Number of workers on which room is reserved for each task that has to wait; 0 places only what fits now.
    std::uint32_t reservationsPerTask = 1;
    Core::SteadyTime now;
};

/// Number of tasks placed on one worker.
struct Placement {
    Core::InstanceId sidecar;
    std::uint32_t count = 0;
    /// Predicted wait for room there, in seconds; if there is one, room is reserved instead of tasks being ordered.
    double waitSeconds = 0;
};

/// Predicted wait, in seconds, until room for all tasks of a request has been released on any of the workers, behind
/// the work of higher rank; infinite when none is being released.
double predictSharedWait(const WorkerTable& workers, const PlacementRequest& request);

/// Room that a step which waits for near workers needs to be released before its tasks have theirs.
struct NearQueue {
    double aheadMilliCores = 0;
    Core::SteadyTime evaluatedAt;
};

/// Predicts the places of a request that prefers a rack. `queue` is what an earlier forecast gave if room has been
/// reserved near since: work that came later is behind it.
PlaceForecast forecastPlaces(const WorkerTable& workers, double referenceSpeed, const PlacementRequest& request,
    const std::optional<NearQueue>& queue);

/// Chooses workers for all tasks of a request; returns none if a task's predicted wait is too long everywhere. With
/// `reservationsPerTask` 0 it chooses workers for the tasks that fit now. `referenceSpeed` is the speed of the worker
/// that `request.time` refers to. The workers examined are added to `evaluated`, once for each choice.
std::vector<Placement> choosePlacements(
    const WorkerTable& workers, double referenceSpeed, const PlacementRequest& request, std::uint64_t& evaluated);

}
