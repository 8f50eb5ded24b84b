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

/// Jobs of at least this many tasks are started in batches.
inline constexpr std::uint32_t batchedJobSize = 200;
/// Smallest batch. With 5, batched jobs at 70 % load took 0.56 messages a task; the target is 0.5.
inline constexpr std::uint32_t smallestBatch = 8;

/// An accepted job and which of its tasks wait, run or are settled.
struct QueuedJob {
    Core::JobId jobId;
    KindIndex kind = 0;
    TeamIndex team = 0;
    Messages::Urgency urgency = Messages::Urgency::Normal;
    std::uint32_t taskCount = 0;
    Core::SteadyTime enqueuedAt {};
    std::optional<Core::SteadyTime> deadline;
    Core::Duration declaredRun {};
    /// First task that never left the queue.
    std::uint32_t nextTask = 0;
    /// Tasks that came back without having run.
    std::vector<std::uint32_t> returned;
    /// Tasks sent to sidecars and not settled.
    std::uint32_t atSidecars = 0;
    /// Tasks that wait for their retry's backoff.
    std::vector<std::uint32_t> backingOff;
    /// Slots held by the tasks at sidecars; fractional because the tasks of a batch share a slot.
    double slotsInUse = 0;
    /// Whether a lane of the queue refers to this job.
    bool isListed = false;

    /// Tasks that can be taken from the queue.
    std::uint32_t waiting() const
    {
        return this->taskCount - this->nextTask + static_cast<std::uint32_t>(this->returned.size());
    }
    /// Whether every task is settled.
    bool isSettled() const { return this->atSidecars == 0 && this->waiting() == 0 && this->backingOff.empty(); }
    /// Whether its tasks are started in batches.
    bool isBatched() const { return this->taskCount >= batchedJobSize; }
    /// Takes one waiting task; there must be one.
    std::uint32_t takeTask()
    {
        if (this->returned.empty())
            return this->nextTask++;
        const std::uint32_t task = this->returned.back();
        this->returned.pop_back();
        return task;
    }
    /// Takes every waiting task.
    std::vector<std::uint32_t> takeAll()
    {
        std::vector<std::uint32_t> tasks = std::move(this->returned);
        this->returned.clear();
        for (; this->nextTask < this->taskCount; ++this->nextTask)
            tasks.push_back(this->nextTask);
        return tasks;
    }
};

}
