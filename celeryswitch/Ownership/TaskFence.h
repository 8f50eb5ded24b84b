#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace celeryswitch::Ownership {

/// Settings of a fence; fixed for its life.
struct TaskFenceSettings {
    /// Incarnation of this sidecar process.
    Core::Incarnation incarnation = 0;
    /// Greatest age of the clock sample that a start echoes.
    Core::Duration startValidity = Ownership::startValidity;
    /// Time that the records of a job are kept after its creation and after its last change here.
    std::chrono::milliseconds keyRetention
        = std::chrono::duration_cast<std::chrono::milliseconds>(Ownership::keyRetention);
    /// Bytes of result bodies that are kept; the oldest bodies are dropped first. Half of the send queue of a
    /// connection, so that all records can be sent to a new owner at once.
    std::size_t resultBytes = 16 * 1024 * 1024;
    /// Tests only: false accepts starts of replaced owners.
    bool isEpochChecked = true;
    /// Tests only: false accepts starts whatever clock sample they echo.
    bool isClockEchoChecked = true;
};

/// A sidecar's memory of the tasks it accepted; keeps each task from starting twice here and tells a new owner of a
/// partition what became of its tasks. Pure: no threads, sockets or clocks.
class TaskFence {
public:
    explicit TaskFence(TaskFenceSettings settings);

    /// Raises the fence to the epoch of a start and judges the start as a whole: None when its epoch, incarnation and
    /// clock echo are valid, else StaleEpoch or StaleClockEcho.
    Messages::TaskReason check(Core::SteadyTime now, const Messages::StartTasks& start);
    /// Records a task as queued. Returns false, and changes nothing, when it is recorded already.
    bool accept(Core::WallTime now, const Messages::StartTasks& start, std::uint32_t taskIndex);
    /// A recorded task is about to start.
    void markStarted(const Core::TaskKey& task);
    /// Records the result of a started task.
    void markFinished(Core::WallTime now, const Core::JobId& jobId, const Messages::TaskResult& result);
    /// Removes a queued task that provably never starts, so that it may be sent here again.
    void forget(const Core::TaskKey& task);

    /// Raises the fence of a partition; false when the fence is higher already.
    bool raise(Core::PartitionId partition, Core::Epoch epoch);
    /// Highest epoch seen for a partition.
    Core::Epoch epoch(Core::PartitionId partition) const;
    /// Record of a task, or nothing when it was never accepted.
    std::optional<Messages::FenceRecord> record(const Core::TaskKey& task) const;
    /// Records of a partition. A result whose body was dropped is given as Unconfirmed.
    std::vector<Messages::FenceRecord> records(Core::PartitionId partition) const;

    /// Forgets the jobs whose retention is over and that have no unfinished task.
    void removeExpired(Core::WallTime now);
    /// Tasks recorded.
    std::size_t taskCount() const { return this->tasks; }
    /// Bytes of result bodies kept.
    std::size_t bodyBytes() const { return this->bytes; }

private:
    struct TaskRecord {
        Messages::FenceState state = Messages::FenceState::Queued;
        Messages::TaskResult result;
    };
    struct JobRecord {
        Core::PartitionId partition = 0;
        std::uint32_t taskCount = 0;
        std::int64_t createdAt = 0;
        // Milliseconds since 1970 of the last accepted or finished task.
        std::int64_t changedAt = 0;
        std::uint32_t unfinished = 0;
        std::string team;
        std::string kind;
        std::unordered_map<std::uint32_t, TaskRecord> tasks;
    };

    // Record of a task, or null.
    TaskRecord* find(const Core::TaskKey& task);
    // Drops the oldest bodies until the rest fits the limit.
    void dropBodies();
    Messages::FenceRecord toMessage(const Core::JobId& jobId, const JobRecord& job, std::uint32_t taskIndex) const;

    TaskFenceSettings settings;
    std::array<Core::Epoch, Core::partitionCount> epochs {};
    std::unordered_map<Core::JobId, JobRecord> jobs;
    std::array<std::unordered_set<Core::JobId>, Core::partitionCount> jobsOfPartition;
    // When to look whether a job can be forgotten, milliseconds since 1970.
    std::multimap<std::int64_t, Core::JobId> expiries;
    // Tasks whose bodies are kept, oldest first.
    std::deque<Core::TaskKey> bodies;
    std::size_t bytes = 0;
    std::size_t tasks = 0;
};

}
