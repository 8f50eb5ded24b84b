#pragma once

#include "celeryswitch/Experiment/EventQueue.h"
#include "celeryswitch/Experiment/ExperimentOptions.h"
#include <functional>
#include <pcg_random.hpp>
#include <vector>

namespace celeryswitch::Experiment {

/// One simulated job.
struct SimulatedJob {
    std::size_t kind = 0;
    std::size_t entry = 0;
    Core::SteadyTime submittedAt {};
    /// Actual run time of each task.
    std::vector<Core::Duration> runTimes;
    bool isMeasured = false;
};

/// Index of a job in order of arrival.
using JobIndex = std::size_t;

/// Parts of the simulation that all strategies share: arrivals, workers with slots, network delays, message counts and
/// measurements.
class FleetSimulation {
public:
    /// Called when a job reaches its entry.
    using ArrivalHandler = std::function<void(JobIndex)>;
    /// Called when a task ends at its worker; `isSuccess` is false for a failed task.
    using EndHandler = std::function<void(bool isSuccess, Core::Duration runTime)>;

    explicit FleetSimulation(const ExperimentOptions& options);

    /// Runs the experiment to its end.
    ExperimentResult run(const ArrivalHandler& jobArrived);

    EventQueue events;
    const ExperimentOptions& options;
    std::vector<SimulatedJob> jobs;
    pcg32 generator;

    /// Number of workers, and the data centre of a worker or an entry.
    std::size_t workerCount() const { return this->options.workload.service.workers; }
    std::size_t dataCentreOfWorker(std::size_t worker) const;
    std::size_t dataCentreOfEntry(std::size_t entry) const;
    /// One-way delay between an entry and a worker.
    Core::Duration delay(std::size_t entry, std::size_t worker) const;
    /// Sends a message that a task caused between an entry and a worker; `deliver` is called on arrival unless the
    /// worker has crashed.
    void send(std::size_t entry, std::size_t worker, EventQueue::Action deliver);
    /// Sends a heartbeat, which is counted separately from the messages that tasks cause.
    void sendHeartbeat(std::size_t entry, std::size_t worker, EventQueue::Action deliver);
    /// Counts messages without effect.
    void countWastedMessages(std::uint32_t messages = 1);
    /// Runs a task on a worker.
    void runTask(std::size_t worker, JobIndex job, std::uint32_t task, EndHandler onEnd);
    /// Whether a worker's process has crashed.
    bool isCrashed(std::size_t worker) const;
    /// Records a task's result at its entry.
    void recordTaskEnd(JobIndex job, std::uint32_t task, bool isSuccess);
    /// Records that a job was refused as not run.
    void recordRefusal(JobIndex job);
    /// Begin and end of the measurement.
    Core::SteadyTime measurementStart() const { return this->startTime + this->options.warmUp; }
    Core::SteadyTime measurementEnd() const { return this->measurementStart() + this->options.duration; }

private:
    struct KindSamples {
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
    void createJob(std::size_t kind, const ArrivalHandler& jobArrived);
    std::uint32_t sampleJobSize(const Load::KindDescription& kind);
    double jobsPerSecond(const Load::KindDescription& kind) const;
    double uniform();
    ExperimentResult result();

    Core::SteadyTime startTime;
    std::vector<KindSamples> kindSamples;
    std::uint64_t messages = 0;
    std::uint64_t heartbeats = 0;
    std::uint64_t wastedMessages = 0;
    std::uint64_t finishedInWindow = 0;
};

}
