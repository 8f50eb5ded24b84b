#pragma once

#include "celeryswitch/Experiment/Fleet.h"
#include <optional>
#include <set>
#include <vector>

namespace celeryswitch::Experiment {

/// The alternatives to slot credits: tasks, or reservations for them, wait in queues at the workers. Queues are ordered
/// as the dispatcher's are, by arrival plus a multiple of the kind's true mean run time.
class QueueStrategy {
public:
    explicit QueueStrategy(Fleet& fleet);

    /// A job reached its entry.
    void jobArrived(JobIndex job);

private:
    struct Item {
        double place = 0;
        std::size_t entry = 0;
        JobIndex job = 0;
        std::uint32_t task = 0;

        auto operator<=>(const Item&) const = default;
    };
    struct Worker {
        std::set<Item> queue;
        std::uint32_t running = 0;
        // Expected seconds of work that runs or waits.
        double work = 0;
    };
    Item itemOf(JobIndex job, std::uint32_t task) const;
    double expectedSeconds(JobIndex job) const;
    void probe(const Item& item);
    void sendToShortestWait(const Item& item);
    void reserve(const Item& item);
    void sendTask(std::size_t worker, const Item& item);
    void startNext(std::size_t worker);
    void fetch(std::size_t worker, const Item& item);
    void run(std::size_t worker, const Item& item);
    std::size_t randomWorker();

    Fleet& fleet;
    std::vector<Worker> workers;
    // Work at each worker as each entry last heard, plus what it sent since.
    std::vector<std::vector<double>> knownWork;
    // Late binding: tasks that a worker has fetched.
    std::set<std::pair<JobIndex, std::uint32_t>> fetched;
    pcg32 generator;
};

}
