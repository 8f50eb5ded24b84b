#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <map>
#include <optional>
#include <vector>

namespace celeryswitch::Sidecar {

/// Results of one job on their way to one entry.
struct ResultBatch {
    Core::InstanceId entryId;
    Core::JobId jobId;
    std::vector<Messages::TaskResult> results;
};

/// Collects results of a job for an entry, so that several share a message. Pure.
class ResultBatcher {
public:
    /// A batch is due when it has `resultsPerBatch` results or `bytesPerBatch` bytes of bodies.
    ResultBatcher(std::size_t resultsPerBatch, std::size_t bytesPerBatch)
        : resultsPerBatch(resultsPerBatch)
        , bytesPerBatch(bytesPerBatch)
    {
    }

    /// Adds a result that must be sent at `dueAt` at the latest; results added earlier go with it.
    void add(
        const Core::InstanceId& entryId, const Core::JobId& jobId, Messages::TaskResult result, Core::SteadyTime dueAt);
    /// Batches that are due.
    std::vector<ResultBatch> takeDue(Core::SteadyTime now);
    /// The oldest batch for an entry, or nothing; lets a message that has to be sent anyway carry it.
    std::optional<ResultBatch> takeAny(const Core::InstanceId& entryId);
    /// Forgets the results for an entry, whose connection was lost; they stay in the fence.
    void drop(const Core::InstanceId& entryId);
    /// When the next batch is due.
    std::optional<Core::SteadyTime> nextDue() const;
    /// Whether nothing waits.
    bool isEmpty() const { return this->pending.empty(); }

private:
    struct Pending {
        std::vector<Messages::TaskResult> results;
        std::size_t bytes = 0;
        Core::SteadyTime dueAt;
    };

    std::size_t resultsPerBatch;
    std::size_t bytesPerBatch;
    std::map<std::pair<Core::InstanceId, Core::JobId>, Pending> pending;
};

}
