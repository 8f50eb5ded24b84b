#pragma once

#include "celeryswitch/Experiment/FleetSimulation.h"
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace celeryswitch::Experiment {

/// Strategies to compare slot credits with: tasks, or reservations for them, are queued at the workers. Queues are
/// ordered as in the dispatcher, by arrival time plus a multiple of the kind's mean run time.
class QueueStrategy {
public:
    explicit QueueStrategy(FleetSimulation& simulation);

    /// Submits a job that reached its entry.
    void submitJob(JobIndex job);

private:
    struct QueueItem {
        double deadline = 0;
        std::size_t entry = 0;
        JobIndex job = 0;
        std::uint32_t task = 0;

        bool operator<(const QueueItem& other) const
        {
            return std::tie(this->deadline, this->entry, this->job, this->task)
                < std::tie(other.deadline, other.entry, other.job, other.task);
        }
    };
    struct Worker {
        std::set<QueueItem> queue;
        std::uint32_t running = 0;
        // Expected work of running and queued tasks, in seconds.
        double work = 0;
    };
    QueueItem makeItem(JobIndex job, std::uint32_t task) const;
    double expectedSeconds(JobIndex job) const;
    void probeWorkers(const QueueItem& item);
    void sendToShortestWait(const QueueItem& item);
    void reserveSlots(const QueueItem& item);
    void sendTask(std::size_t worker, const QueueItem& item);
    void startNext(std::size_t worker);
    void fetchTask(std::size_t worker, const QueueItem& item);
    void runItem(std::size_t worker, const QueueItem& item);
    std::size_t randomWorker();

    FleetSimulation& simulation;
    std::vector<Worker> workers;
    // Work at each worker as last reported to each entry, plus the work the entry has sent since.
    std::vector<std::vector<double>> reportedWork;
    // Tasks that a worker has fetched, for late binding.
    std::set<std::pair<JobIndex, std::uint32_t>> fetchedTasks;
    pcg32 generator;
};

}
