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
    /// Time that the clock of the process has not counted.
    Core::Duration clockLag {};
    /// Time of the next scheduled poll.
    Core::SteadyTime nextPollAt = Core::SteadyTime::max();

    /// Stops the process for a while; a freeze that lasts longer goes on.
    void freeze(Core::SteadyTime now, Core::Duration span)
    {
        this->frozenUntil
            = std::max(this->frozenUntil, now + std::chrono::duration_cast<Core::SteadyTime::duration>(span));
    }
    /// Reading of the clock of the process at `time`.
    Core::SteadyTime now(Core::SteadyTime time) const { return time - this->clockLag; }
};

struct LeasedFleet::Entry : LeasedFleetProcess {
    std::unique_ptr<Scheduling::JobScheduler> scheduler;
    Scheduling::StallGuard stallGuard;
    /// Job ids by request without an answer.
    std::map<Scheduling::RequestNumber, std::uint64_t> requests;
    /// Requests whose connection has ended, which the entry has not read yet.
    std::set<Scheduling::RequestNumber> closedRequests;
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
    double value = 1;
    Core::SteadyTime sentAt;
    Core::Duration callerTimeout {};
    std::size_t submissions = 0;
    /// Open request and the entry that received it; 0 while there is none.
    Scheduling::RequestNumber request = 0;
    std::size_t entry = 0;
    /// When the request was sent, and whether it waited unread because the entry was stalled.
    Core::SteadyTime requestSentAt;
    bool isHeldUp = false;
    /// Requests that were repeated after a failure.
    std::size_t resubmissions = 0;
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
