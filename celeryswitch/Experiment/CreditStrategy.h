#pragma once

#include "celeryswitch/Dispatch/CreditAllocator.h"
#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Experiment/Fleet.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace celeryswitch::Experiment {

/// Slot credits: real dispatchers at the entries and a credit allocator with a batch queue at each worker.
class CreditStrategy {
public:
    explicit CreditStrategy(Fleet& fleet);

    /// A job reached its entry.
    void jobArrived(JobIndex job);

private:
    // Tasks of one start message; those that have no slot yet wait.
    struct Batch {
        std::size_t entry = 0;
        JobIndex job = 0;
        std::vector<std::uint32_t> tasks;
        // Tasks that have no result at the entry yet.
        std::vector<std::uint32_t> unsettled;
    };
    struct QueuedTask {
        std::shared_ptr<Batch> batch;
        std::uint32_t task = 0;
    };
    struct HeldResult {
        std::shared_ptr<Batch> batch;
        Messages::TaskResult result;
    };
    struct Worker {
        std::unique_ptr<Dispatch::CreditAllocator> allocator;
        // Tasks that wait for a slot, by entry.
        std::vector<std::deque<QueuedTask>> queues;
        // Results of batched jobs that wait for further ones, by job.
        std::map<JobIndex, std::vector<HeldResult>> held;
    };
    // What a freed slot means for the entry whose task held it.
    struct FreedSlot {
        std::uint32_t credits = 0;
        bool isUsedByQueue = false;
    };
    struct Entry {
        std::unique_ptr<Dispatch::Dispatcher> dispatcher;
        std::optional<Core::SteadyTime> wakeUp;
        std::uint64_t wakeUpNumber = 0;
    };
    void connect();
    void configure(Dispatch::Dispatcher& dispatcher) const;
    void scheduleHeartbeats(std::size_t entry);
    void scheduleUsage();
    void detectDeaths();
    void poll(std::size_t entry);
    void act(std::size_t entry, const Dispatch::StartDecision& decision);
    void act(std::size_t entry, const Dispatch::CreditReturnDecision& decision);
    void act(std::size_t entry, const Dispatch::RefuseDecision& decision);
    void startArrived(
        std::size_t worker, std::shared_ptr<Batch> batch, std::uint32_t credits, const Messages::Backlog& backlog);
    void reject(std::size_t worker, const std::shared_ptr<Batch>& batch);
    void run(std::size_t worker, const QueuedTask& task);
    FreedSlot assign(std::size_t worker, std::optional<std::size_t> answering);
    void sendResults(std::size_t worker, std::size_t entry, std::vector<HeldResult> results, std::uint32_t credits);
    void holdResult(std::size_t worker, HeldResult result);
    void taskEnded(std::size_t worker, const std::shared_ptr<Batch>& batch, std::uint32_t task, bool isSuccess,
        Core::Duration run);
    void backlogArrived(std::size_t worker, std::size_t entry, const Messages::Backlog& backlog);
    void grant(std::size_t worker, std::size_t entry, std::uint32_t credits);
    void resultsArrived(
        std::size_t worker, std::size_t entry, const std::vector<HeldResult>& results, std::uint32_t credits);
    static Core::InstanceId workerName(std::size_t worker);
    static Core::InstanceId entryName(std::size_t entry);

    Fleet& fleet;
    std::vector<Entry> entries;
    std::vector<Worker> workers;
    // Tasks sent to each worker, to settle those of a dead one.
    std::vector<std::vector<std::shared_ptr<Batch>>> sentTo;
};

}
