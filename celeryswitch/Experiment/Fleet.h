#pragma once

#include "celeryswitch/Experiment/EventQueue.h"
#include "celeryswitch/Experiment/ExperimentOptions.h"
#include <functional>
#include <pcg_random.hpp>
#include <vector>

namespace celeryswitch::Experiment {

/// One job of the experiment and what became of its tasks.
struct JobModel {
    std::size_t kind = 0;
    std::size_t entry = 0;
    Core::SteadyTime submittedAt {};
    /// True run time of each task.
    std::vector<Core::Duration> runs;
    bool isMeasured = false;
};

/// Index of a job in the order of arrival.
using JobIndex = std::size_t;

/// The parts that every strategy shares: arrivals, workers with slots, delays, message counts and measurements.
class Fleet {
public:
    /// Called when a job reaches its entry.
    using ArrivalHandler = std::function<void(JobIndex)>;
    /// Called at the worker when a task ends; `isSuccess` is false for a failed task.
    using EndHandler = std::function<void(bool isSuccess, Core::Duration run)>;

    explicit Fleet(const ExperimentOptions& options);

    /// Runs the whole experiment.
    ExperimentResult run(const ArrivalHandler& jobArrived);

    EventQueue events;
    const ExperimentOptions& options;
    std::vector<JobModel> jobs;
    pcg32 generator;

    /// Workers, and the data centre of a worker or an entry.
    std::size_t workerCount() const { return this->options.workload.service.workers; }
    std::size_t dataCentreOfWorker(std::size_t worker) const;
    std::size_t dataCentreOfEntry(std::size_t entry) const;
    /// One-way delay between an entry and a worker.
    Core::Duration delay(std::size_t entry, std::size_t worker) const;
    /// Sends a message between an entry and a worker that a task caused; `deliver` runs unless the worker is dead.
    void send(std::size_t entry, std::size_t worker, EventQueue::Action deliver);
    /// Sends a message of the same kind that load doesn't cause.
    void sendHeartbeat(std::size_t entry, std::size_t worker, EventQueue::Action deliver);
    /// Counts messages that had no effect.
    void countWasted(std::uint32_t messages = 1);
    /// Runs a task at a worker.
    void execute(std::size_t worker, JobIndex job, std::uint32_t task, EndHandler ended);
    /// Whether a worker's process is gone.
    bool isDead(std::size_t worker) const;
    /// A task's result reached its entry.
    void taskEnded(JobIndex job, std::uint32_t task, bool isSuccess);
    /// A job was refused as not run.
    void jobRefused(JobIndex job);
    /// End of the warm-up and of the measured span.
    Core::SteadyTime measureFrom() const { return this->startTime + this->options.warmUp; }
    Core::SteadyTime measureUntil() const { return this->measureFrom() + this->options.duration; }

private:
    struct KindFigures {
        std::uint64_t arrived = 0;
        std::uint64_t completed = 0;
        std::uint64_t failed = 0;
        std::uint64_t refused = 0;
        std::vector<float> ratios;
        std::vector<float> responses;
    };
    bool isMeasuring() const;
    bool hasFault(std::size_t worker, WorkerFault fault) const;
    void scheduleArrival(std::size_t kind, const ArrivalHandler& jobArrived);
    void arrive(std::size_t kind, const ArrivalHandler& jobArrived);
    std::uint32_t drawJobSize(const Load::KindDescription& kind);
    double jobsPerSecond(const Load::KindDescription& kind) const;
    double uniform();
    ExperimentResult result();

    Core::SteadyTime startTime;
    std::vector<KindFigures> figures;
    std::uint64_t messages = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t wasted = 0;
    std::uint64_t finishedInWindow = 0;
};

}
