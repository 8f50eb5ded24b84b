#pragma once

#include "celeryswitch/Experiment/LeasedFleet.h"
#include <deque>

namespace celeryswitch::Experiment {

/// Delay before a killed process is started again.
constexpr Core::Duration restartDelay = std::chrono::milliseconds(500);
/// Time that a process takes to handle an event where slow processes are simulated.
constexpr Core::Duration handlingTime = std::chrono::microseconds(100);

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
    /// The process takes `slowdown` times as long for each event until this time.
    Core::SteadyTime slowUntil;
    double slowdown = 1;
    /// Events that wait until the process has handled the ones before.
    std::deque<std::function<void()>> backlog;
    bool isHandling = false;

    /// State of a process that has just started.
    void restart()
    {
        this->isUp = true;
        ++this->incarnation;
        this->nextPollAt = Core::SteadyTime::max();
        this->frozenUntil = {};
        this->backlog.clear();
        this->isHandling = false;
    }
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
    /// The ends of callers' connections during a stall are read at this time.
    Core::SteadyTime closesReadAt;
    /// Additional delay between callers and the entry until `callersSlowUntil`.
    Core::Duration callerDelay {};
    Core::SteadyTime callersSlowUntil;
    /// Job ids by request without an answer.
    std::map<Scheduling::RequestNumber, std::uint64_t> requests;
    /// Requests whose connection has ended, which the entry has not read yet.
    std::set<Scheduling::RequestNumber> closedRequests;
    /// Inputs that wait for the processor, whether it is in use, and the actions that leave when it is free again.
    std::deque<EntryInput> inputs;
    bool isBusy = false;
    bool isPollDue = false;
    Scheduling::DecisionPacer pacer;
    /// Cost of the input at hand.
    Core::Duration inputCost {};
    Scheduling::OverloadGuard overloadGuard;
    std::vector<Scheduling::SchedulerAction> pendingActions;
};

struct LeasedFleet::Sidecar : LeasedFleetProcess {
    std::unique_ptr<Workers::RunSupervisor> supervisor;
    std::unique_ptr<LeasedWorkerModel> worker;
    /// Time by which a draining sidecar ends; the maximum time while it does not drain.
    Core::SteadyTime drainDeadline = Core::SteadyTime::max();
    /// Time of day of the machine, relative to the true time.
    Core::Duration clockOffset {};
    std::uint64_t workerIncarnation = 0;
    std::set<std::uint64_t> calls;
    Core::SteadyTime nextWorkerAdvanceAt = Core::SteadyTime::max();
    /// Degradation of the worker until `degradedUntil`.
    enum class Degradation { None, Fails, Stalls, Slow } degradation = Degradation::None;
    Core::SteadyTime degradedUntil;

    /// Reading of the machine's time of day.
    Core::SteadyTime timeOfDay(Core::SteadyTime time) const
    {
        return time + std::chrono::duration_cast<Core::SteadyTime::duration>(this->clockOffset);
    }
};

struct LeasedFleet::Link {
    std::uint64_t connectionId = 0;
    bool isOpen = false;
    Core::SteadyTime cutUntil;
    /// Additional delay of messages until `slowUntil`.
    Core::Duration slowDelay {};
    Core::SteadyTime slowUntil;
    /// Arrival times of the last messages to the sidecar and to the entry; a connection keeps their order.
    Core::SteadyTime lastArrivalAtSidecar;
    Core::SteadyTime lastArrivalAtEntry;
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
    /// Entry that the first request went to.
    std::size_t firstEntry = 0;
    /// When the request reaches its entry; the end of its connection does so later.
    Core::SteadyTime requestArrivesAt;
    /// When the request was sent, and whether it waited unread because the entry was stalled.
    Core::SteadyTime requestSentAt;
    bool isHeldUp = false;
    /// Whether the caller has closed a connection before it had an answer.
    bool hasLeftEarly = false;
    /// Times at which requests were sent, and the entries that received them.
    std::vector<std::pair<Core::SteadyTime, std::size_t>> requests;
    /// Requests that were repeated after a failure.
    std::size_t resubmissions = 0;
    std::size_t refusals = 0;
    bool isAnswered = false;
    bool isCompleted = false;
    Core::SteadyTime answeredAt;
};

template <typename Process> void LeasedFleet::scheduleBacklog(Process& process)
{
    const double factor = this->events.now() < process.slowUntil ? process.slowdown : 1;
    const Core::SteadyTime due = this->events.now()
        + std::chrono::duration_cast<Core::SteadyTime::duration>(std::chrono::duration<double>(handlingTime) * factor);
    this->events.scheduleAt(std::max(due, process.frozenUntil), [this, &process, incarnation = process.incarnation] {
        if (!process.isUp || process.incarnation != incarnation)
            return;
        if (this->events.now() >= process.frozenUntil) {
            const std::function<void()> action = std::move(process.backlog.front());
            process.backlog.pop_front();
            process.isHandling = true;
            action();
            process.isHandling = false;
        }
        if (!process.backlog.empty())
            this->scheduleBacklog(process);
    });
}

// Runs an action of a process after all that arrived before; what it causes in the process itself is part of it.
template <typename Process> void LeasedFleet::handleInOrder(Process& process, std::function<void()> action)
{
    if (process.isHandling) {
        action();
        return;
    }
    if (process.backlog.empty() && this->events.now() >= process.frozenUntil
        && this->events.now() >= process.slowUntil) {
        process.isHandling = true;
        action();
        process.isHandling = false;
        return;
    }
    process.backlog.push_back(std::move(action));
    if (process.backlog.size() == 1)
        this->scheduleBacklog(process);
}

// Runs an action of a process, delayed to the end of a freeze; it is dropped if the process is down or restarts in
// between.
template <typename Process, typename Action> void LeasedFleet::runWhenAwake(Process& process, Action action)
{
    if (!process.isUp)
        return;
    if (this->options.faults.slowProcesses > 0) {
        this->handleInOrder(process, std::move(action));
        return;
    }
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
