#pragma once

#include "celeryswitch/Experiment/LeasedFleet.h"

namespace celeryswitch::Experiment {

/// Delay before a killed process is started again.
constexpr Core::Duration restartDelay = std::chrono::milliseconds(500);

inline Core::Duration seconds(double value)
{
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(value));
}

/// State of a process that may be down or frozen.
struct LeasedFleetProcess {
    std::uint64_t incarnation = 0;
    bool isUp = false;
    Core::SteadyTime frozenUntil;
    /// Time of the next scheduled poll.
    Core::SteadyTime nextPollAt = Core::SteadyTime::max();
};

struct LeasedFleet::Entry : LeasedFleetProcess {
    std::unique_ptr<Scheduling::JobScheduler> scheduler;
    /// Job ids by request without an answer.
    std::map<Scheduling::RequestNumber, std::uint64_t> requests;
};

struct LeasedFleet::Sidecar : LeasedFleetProcess {
    std::unique_ptr<Workers::RunSupervisor> supervisor;
    std::unique_ptr<LeasedWorkerModel> worker;
    std::uint64_t workerIncarnation = 0;
    std::set<std::uint64_t> calls;
    Core::SteadyTime nextWorkerAdvanceAt = Core::SteadyTime::max();
    /// Degradation of the worker until `degradedUntil`.
    enum class Degradation { None, Fails, Stalls, Slow } degradation = Degradation::None;
    Core::SteadyTime degradedUntil;
};

struct LeasedFleet::Link {
    std::uint64_t connectionId = 0;
    bool isOpen = false;
    Core::SteadyTime cutUntil;
    Core::SteadyTime lastReceivedAt;
};

struct LeasedFleet::Job {
    std::size_t kind = 0;
    Scheduling::JobSpecification specification;
    std::vector<double> taskSeconds;
    bool isFailing = false;
    Core::SteadyTime sentAt;
    Core::Duration callerTimeout {};
    std::size_t submissions = 0;
    std::size_t refusals = 0;
    bool isAnswered = false;
    bool isCompleted = false;
    Core::SteadyTime answeredAt;
};

// Runs an action of a process, delayed to the end of a freeze; it is dropped if the process is down or restarts in
// between.
template <typename Process, typename Action> void LeasedFleet::runWhenAwake(Process& process, Action action)
{
    if (!process.isUp)
        return;
    if (this->events.now() >= process.frozenUntil) {
        action();
        return;
    }
    this->events.scheduleAt(
        process.frozenUntil, [this, &process, incarnation = process.incarnation, action = std::move(action)] {
            if (process.incarnation == incarnation)
                this->runWhenAwake(process, action);
        });
}

}
