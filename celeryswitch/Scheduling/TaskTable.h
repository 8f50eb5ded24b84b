#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/Identifiers.h"
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace celeryswitch::Scheduling {

/// A task that was ordered and has not ended done: it is at a sidecar, or was returned and waits again.
struct Task {
    std::uint32_t index = 0;
    /// Whether its order is open.
    bool isOrdered = false;
    /// Whether the sidecar reported that the run of the order has started.
    bool isStarted = false;
    /// Whether the run was told to stop so that the task can run on another worker.
    bool isRestarting = false;
    /// Number of the task's current run, or of its next one while it waits.
    std::uint32_t run = 1;
    std::uint32_t failures = 0;
    /// Number of the start order that the task waits for; valid while it is ordered.
    std::uint64_t order = 0;
    Core::InstanceId sidecar;
    /// Predicted end of the run; the maximum time before the first prediction.
    Core::SteadyTime expectedEnd = Core::SteadyTime::max();
    /// Sidecars whose workers failed or stalled this task.
    std::vector<Core::InstanceId> avoidedSidecars;
};

/// The tasks of one step. There are records only of the tasks that were ordered and have not ended done, so that memory
/// and loops grow with the work under way and not with the number of tasks that a caller asks for.
class TaskTable {
public:
    explicit TaskTable(std::uint32_t count)
        : taskCount(count)
    {
    }

    std::uint32_t count() const { return this->taskCount; }
    /// Tasks that wait for an order.
    std::uint32_t waiting() const;
    /// Whether the order of a task is open.
    bool hasOrdered() const { return this->waiting() + this->doneCount < this->taskCount; }
    bool isDone() const { return this->doneCount == this->taskCount; }

    /// Marks the waiting task of the lowest index as ordered; there must be one. The reference is valid until the next
    /// change of the table.
    Task& takeWaiting();
    /// Makes an ordered task wait again.
    void putBack(Task& task);
    /// Forgets an ordered task, which has ended done. With `isPlaceKept` its sidecar goes on counting in
    /// `tasksAtSidecars`.
    void finish(Task& task, bool isPlaceKept);
    /// The record of a task; nullptr when it was never ordered or has ended done.
    Task* find(std::uint32_t index);
    /// Calls `visit` for each task whose order is open, in the order of their indices.
    template <typename Visit> void forEachOrdered(Visit&& visit) const { this->forEach(true, visit); }
    /// Calls `visit` for each task that was returned and waits again.
    template <typename Visit> void forEachReturned(Visit&& visit) const
    {
        if (this->progress && !this->progress->returned.empty())
            this->forEach(false, visit);
    }
    /// Tasks that are at each sidecar, and those that ended done there and whose place is kept.
    std::map<Core::InstanceId, std::uint32_t> tasksAtSidecars() const;
    /// Number of records that are in use.
    std::size_t recordCount() const { return this->progress ? this->progress->records.size() : 0; }

private:
    struct Record {
        Task task;
        bool isFinished = false;
    };
    /// What there is once a task was ordered.
    struct Progress {
        /// By index.
        std::vector<Record> records;
        std::size_t finishedRecords = 0;
        /// Indices of the tasks that wait again, in order.
        std::vector<std::uint32_t> returned;
        std::map<Core::InstanceId, std::uint32_t> keptPlaces;
    };

    template <typename Visit> void forEach(bool isOrdered, Visit&& visit) const
    {
        if (!this->progress)
            return;
        for (const Record& record : this->progress->records) {
            if (!record.isFinished && record.task.isOrdered == isOrdered)
                visit(record.task);
        }
    }

    std::uint32_t taskCount;
    /// Tasks from this index on were never ordered.
    std::uint32_t firstUnordered = 0;
    std::uint32_t doneCount = 0;
    std::unique_ptr<Progress> progress;
};

}
