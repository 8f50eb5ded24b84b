#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Core/Identifiers.h"
#include "celeryswitch/Dispatch/QuotaTracker.h"
#include "celeryswitch/Dispatch/RunTimeEstimator.h"
#include "celeryswitch/Messages/Submission.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace celeryswitch::Dispatch {

/// Jobs with at least this many tasks are started in batches.
inline constexpr std::uint32_t minimumBatchedJobTasks = 200;
/// Smallest batch, in tasks. With 5, batched jobs at 70 % load took 0.56 messages per task; the target is 0.5.
inline constexpr std::uint32_t minimumBatchTasks = 8;

/// An accepted job and the state of its tasks.
struct QueuedJob {
    Core::JobId jobId;
    KindIndex kind = 0;
    TeamIndex team = 0;
    Messages::Urgency urgency = Messages::Urgency::Normal;
    std::uint32_t taskCount = 0;
    Core::SteadyTime enqueuedAt {};
    std::optional<Core::SteadyTime> deadline;
    Core::Duration declaredRun {};
    /// Index of the first task that was never taken from the queue.
    std::uint32_t nextTask = 0;
    /// Tasks that came back without having run.
    std::vector<std::uint32_t> requeued;
    /// Number of tasks sent to sidecars and not settled.
    std::uint32_t atSidecars = 0;
    /// Tasks that wait for their retry backoff.
    std::vector<std::uint32_t> backingOff;
    /// Slots occupied by the tasks at sidecars; fractional because the tasks of a batch share a slot.
    double slotsInUse = 0;
    /// Whether a team queue refers to this job.
    bool isQueued = false;

    /// Number of tasks that can be taken from the queue.
    std::uint32_t waiting() const
    {
        return this->taskCount - this->nextTask + static_cast<std::uint32_t>(this->requeued.size());
    }
    bool isSettled() const { return this->atSidecars == 0 && this->waiting() == 0 && this->backingOff.empty(); }
    bool isBatched() const { return this->taskCount >= minimumBatchedJobTasks; }
    /// Takes one waiting task; requires `waiting()` > 0.
    std::uint32_t takeTask()
    {
        if (this->requeued.empty())
            return this->nextTask++;
        const std::uint32_t task = this->requeued.back();
        this->requeued.pop_back();
        return task;
    }
    std::vector<std::uint32_t> takeAllWaiting()
    {
        std::vector<std::uint32_t> tasks = std::move(this->requeued);
        this->requeued.clear();
        for (; this->nextTask < this->taskCount; ++this->nextTask)
            tasks.push_back(this->nextTask);
        return tasks;
    }
};

}
