#pragma once

#include "celeryswitch/Workers/WorkerTypes.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// Settings of a LeasedWorkerModel.
struct LeasedWorkerSettings {
    std::string workerId;
    /// Start time in milliseconds since 1970; identifies the worker's incarnation.
    std::int64_t bornAt = 1;
    std::string service;
    Messages::Room capacity { 64'000, 262'144, 0 };
    std::vector<std::string> labels;
    Core::Duration maximumLease = std::chrono::milliseconds(1000);
    Core::Duration stopTime = std::chrono::milliseconds(50);
    /// Whether starts that don't fit into the free room are refused.
    bool hasAdmissionControl = true;
    /// Rate of the worker's clock relative to true time, 0.98 to 1.
    double clockRate = 1;
};

/// Behaviour of a run.
struct RunPlan {
    /// Run time; zero or less means that the run stalls.
    Core::Duration time {};
    bool isFailing = false;
    Messages::Room need;
};

/// One run as the worker recorded it.
struct RunRecord {
    Messages::TaskId task;
    std::uint32_t run = 0;
    Core::SteadyTime startedAt;
    /// The maximum time while the run is active.
    Core::SteadyTime endedAt = Core::SteadyTime::max();
    Messages::RunEnd end = Messages::RunEnd::Lost;
    /// Worker and its incarnation.
    std::string workerId;
    std::int64_t bornAt = 0;
    std::vector<std::string> labels;
    /// Whether the start brought a worker without admission control over its capacity.
    bool isBeyondCapacity = false;
};

/// Simulated worker that runs tasks under a lease and a fencing token, as a platform's workers do. Pure: the time is a
/// parameter of each call and never decreases.
class LeasedWorkerModel {
public:
    /// Returns the behaviour of a run.
    using Planner = std::function<RunPlan(const Messages::TaskId& task, std::uint32_t run)>;

    LeasedWorkerModel(LeasedWorkerSettings settings, Planner planner, Core::SteadyTime bornAt);

    /// Handles a call. Returns nothing for a call that waits for the end of a run; `advance` returns its answer with
    /// `ticket` later.
    std::optional<Workers::CallResult> handle(
        Core::SteadyTime now, const Workers::WorkerCall& call, std::uint64_t ticket);
    /// Ends all runs that are due, and returns the answers of waiting calls with their tickets.
    std::vector<std::pair<std::uint64_t, Workers::CallResult>> advance(Core::SteadyTime now);
    /// Time at which `advance` is due; the maximum time if it is not.
    Core::SteadyTime nextEventTime() const;
    /// Next announcement of the worker.
    Workers::WorkerAnnouncement announcement(Core::SteadyTime now);
    /// Ends all runs because the worker crashes or leaves.
    void terminate(Core::SteadyTime now);

    /// All runs so far, in order of start.
    const std::vector<RunRecord>& history() const { return this->runs; }
    /// Room used by active runs.
    Messages::Room usedRoom() const;
    /// Reading of the worker's clock, in milliseconds.
    std::int64_t clock(Core::SteadyTime now) const;
    bool isAlive() const { return this->alive; }
    void setDraining() { this->isDraining = true; }
    const LeasedWorkerSettings& settings() const { return this->workerSettings; }

private:
    /// An active run.
    struct ActiveRun {
        std::size_t record = 0;
        RunPlan plan;
        Core::SteadyTime endsAt;
    };
    /// A call that waits for the end of a run.
    struct WaitingCall {
        std::uint64_t ticket = 0;
        Core::SteadyTime until;
    };

    Workers::CallResult start(Core::SteadyTime now, const Workers::StartCall& call);
    Workers::CallResult stop(Core::SteadyTime now, const Workers::StopCall& call);
    Workers::CallResult listRuns(Core::SteadyTime now) const;
    Workers::CallResult refuse(Core::SteadyTime now, Workers::CallRefusal refusal) const;
    bool acceptToken(std::uint64_t token);
    void extendLease(Core::SteadyTime now, std::int64_t until);
    void endRun(std::map<Messages::TaskId, ActiveRun>::iterator found, Core::SteadyTime now, Messages::RunEnd end);
    Core::SteadyTime timeOf(std::int64_t clock) const;

    LeasedWorkerSettings workerSettings;
    Planner planner;
    Core::SteadyTime startedAt;
    bool alive = true;
    bool isDraining = false;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseEnd = 0;
    std::uint64_t announcements = 0;
    std::vector<RunRecord> runs;
    std::map<Messages::TaskId, ActiveRun> running;
    /// Highest run number of each task that ended or was stopped here.
    std::map<Messages::TaskId, std::uint32_t> highestEndedRun;
    std::vector<Workers::EndedRunRecord> ended;
    std::uint64_t lastEndNumber = 0;
    std::uint64_t acknowledgedEnds = 0;
    std::vector<WaitingCall> waiting;
};

}
