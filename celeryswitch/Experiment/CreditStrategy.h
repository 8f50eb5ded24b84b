#pragma once

#include "celeryswitch/Dispatch/CreditAllocator.h"
#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Experiment/FleetSimulation.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace celeryswitch::Experiment {

/// Dispatch by slot credits: one Dispatcher per entry, one CreditAllocator and queues of batched tasks per worker.
class CreditStrategy {
public:
    explicit CreditStrategy(FleetSimulation& simulation);

    /// Submits a job that reached its entry.
    void submitJob(JobIndex job);

private:
    // Tasks of one start message; those without a slot are queued at the worker.
    struct Batch {
        std::size_t entry = 0;
        JobIndex job = 0;
        std::vector<std::uint32_t> tasks;
        // Tasks without a result at the entry.
        std::vector<std::uint32_t> unresolved;
    };
    struct QueuedTask {
        std::shared_ptr<Batch> batch;
        std::uint32_t task = 0;
    };
    struct BufferedResult {
        std::shared_ptr<Batch> batch;
        Messages::TaskResult result;
    };
    struct Worker {
        std::unique_ptr<Dispatch::CreditAllocator> allocator;
        // Queued tasks, by entry.
        std::vector<std::deque<QueuedTask>> queues;
        // Results of batched jobs, by job, that are sent together with later ones.
        std::map<JobIndex, std::vector<BufferedResult>> bufferedResults;
    };
    // Use of a freed slot for the entry whose task held it.
    struct FreedSlot {
        std::uint32_t credits = 0;
        bool isUsedByQueue = false;
    };
    struct Entry {
        std::unique_ptr<Dispatch::Dispatcher> dispatcher;
        std::optional<Core::SteadyTime> wakeUp;
        std::uint64_t wakeUpGeneration = 0;
    };
    void connect();
    void configure(Dispatch::Dispatcher& dispatcher) const;
    void scheduleHeartbeats(std::size_t entry);
    void scheduleUsage();
    void detectCrashedWorkers();
    void poll(std::size_t entry);
    void apply(std::size_t entry, const Dispatch::StartDecision& decision);
    void apply(std::size_t entry, const Dispatch::CreditReturnDecision& decision);
    void apply(std::size_t entry, const Dispatch::RefuseDecision& decision);
    void handleStart(
        std::size_t worker, std::shared_ptr<Batch> batch, std::uint32_t credits, const Messages::Backlog& backlog);
    void rejectBatch(std::size_t worker, const std::shared_ptr<Batch>& batch);
    void runTask(std::size_t worker, const QueuedTask& task);
    FreedSlot assignSlots(std::size_t worker, std::optional<std::size_t> respondingEntry);
    void sendResults(std::size_t worker, std::size_t entry, std::vector<BufferedResult> results, std::uint32_t credits);
    void bufferResult(std::size_t worker, BufferedResult result);
    void handleTaskEnd(std::size_t worker, const std::shared_ptr<Batch>& batch, std::uint32_t task, bool isSuccess,
        Core::Duration runTime);
    void handleBacklog(std::size_t worker, std::size_t entry, const Messages::Backlog& backlog);
    void grantCredits(std::size_t worker, std::size_t entry, std::uint32_t credits);
    void handleResults(
        std::size_t worker, std::size_t entry, const std::vector<BufferedResult>& results, std::uint32_t credits);
    static Core::InstanceId workerName(std::size_t worker);
    static Core::InstanceId entryName(std::size_t entry);

    FleetSimulation& simulation;
    std::vector<Entry> entries;
    std::vector<Worker> workers;
    // Batches sent to each worker; recorded only when workers crash, to end the batches' tasks.
    std::vector<std::vector<std::shared_ptr<Batch>>> sentBatches;
};

}
