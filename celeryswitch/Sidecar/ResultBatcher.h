#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <map>
#include <optional>
#include <vector>

namespace celeryswitch::Sidecar {

/// Results of one job for one entry.
struct ResultBatch {
    Core::InstanceId entryId;
    Core::JobId jobId;
    std::vector<Messages::TaskResult> results;
};

/// Batches the results of a job for an entry, so that several share a message. Deterministic, without I/O.
class ResultBatcher {
public:
    /// A batch is due at once when it has `resultsPerBatch` results or `bytesPerBatch` bytes of bodies.
    ResultBatcher(std::size_t resultsPerBatch, std::size_t bytesPerBatch)
        : resultsPerBatch(resultsPerBatch)
        , bytesPerBatch(bytesPerBatch)
    {
    }

    /// Adds a result that must be sent by `dueAt`, together with the results already in its batch.
    void add(
        const Core::InstanceId& entryId, const Core::JobId& jobId, Messages::TaskResult result, Core::SteadyTime dueAt);
    /// Removes and returns the batches that are due.
    std::vector<ResultBatch> takeDue(Core::SteadyTime now);
    /// Removes and returns one batch for an entry, if any, so that a message that is sent anyway can carry it.
    std::optional<ResultBatch> takeAny(const Core::InstanceId& entryId);
    /// Discards the results for an entry whose connection was lost; the fence still holds them.
    void drop(const Core::InstanceId& entryId);
    /// Time at which the next batch is due; std::nullopt if there is none.
    std::optional<Core::SteadyTime> nextDue() const;
    /// Whether there are no pending results.
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
