#pragma once

#include "celeryswitch/Workers/WorkerTypes.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryswitch::Experiment {

/// Settings of a model of a leased worker.
struct LeasedWorkerSettings {
    std::string workerId;
    /// Milliseconds since 1970.
    std::int64_t bornAt = 1;
    std::string service;
    Messages::Room capacity { 64'000, 262'144, 0 };
    std::vector<std::string> labels;
    Core::Duration longestLease = std::chrono::milliseconds(1000);
    Core::Duration stopTime = std::chrono::milliseconds(50);
    /// Whether orders that do not fit are refused.
    bool hasAdmissionControl = true;
    /// Speed of the worker's clock, 0.98 to 1.
    double clockRate = 1;
};

/// What a run will do.
struct RunPlan {
    /// Time that it takes; zero or less means that it stands still.
    Core::Duration time {};
    bool isFailing = false;
    Messages::Room need;
};

/// One run as the worker has seen it.
struct RunHistory {
    Messages::TaskId task;
    std::uint32_t run = 0;
    Core::SteadyTime startedAt;
    /// The largest time while it runs.
    Core::SteadyTime endedAt = Core::SteadyTime::max();
    Messages::RunEnd end = Messages::RunEnd::Lost;
};

/// A worker that runs tasks under a lease and a fencing token, as users' platforms have them. Pure: time comes in with
/// each call, and never goes back.
class LeasedWorkerModel {
public:
    /// Tells what a run of a task will do.
    using Planner = std::function<RunPlan(const Messages::TaskId& task, std::uint32_t run)>;

    LeasedWorkerModel(LeasedWorkerSettings settings, Planner planner, Core::SteadyTime bornAt);

    /// Carries out an order. Nothing for an order that waits for an end; `answerWaiting` answers it under `ticket`.
    std::optional<Workers::CallResult> handle(
        Core::SteadyTime now, const Workers::WorkerCall& call, std::uint64_t ticket);
    /// Ends what is due, and takes the answers of waiting orders that are due.
    std::vector<std::pair<std::uint64_t, Workers::CallResult>> advance(Core::SteadyTime now);
    /// When `advance` is due.
    Core::SteadyTime nextChange() const;
    /// What the worker announces.
    Workers::WorkerAnnouncement announcement(Core::SteadyTime now);
    /// Ends everything: the worker crashes or leaves.
    void die(Core::SteadyTime now);

    /// Every run so far.
    const std::vector<RunHistory>& history() const { return this->runs; }
    /// Room in use.
    Messages::Room used() const;
    /// Worker's clock, in milliseconds.
    std::int64_t clock(Core::SteadyTime now) const;
    bool isAlive() const { return this->alive; }
    void setDraining() { this->isDraining = true; }
    const LeasedWorkerSettings& settings() const { return this->fixed; }

private:
    /// A run under way.
    struct Running {
        std::size_t history = 0;
        RunPlan plan;
        Core::SteadyTime endsAt;
    };
    /// An order that waits for an end.
    struct Waiting {
        std::uint64_t ticket = 0;
        Core::SteadyTime until;
    };

    Workers::CallResult start(Core::SteadyTime now, const Workers::StartCall& call);
    Workers::CallResult stop(Core::SteadyTime now, const Workers::StopCall& call);
    Workers::CallResult lists(Core::SteadyTime now) const;
    Workers::CallResult refused(Core::SteadyTime now, Workers::CallRefusal refusal) const;
    bool takeToken(std::uint64_t token);
    void extendLease(Core::SteadyTime now, std::int64_t until);
    void endRun(std::map<Messages::TaskId, Running>::iterator found, Core::SteadyTime now, Messages::RunEnd end);
    Core::SteadyTime timeOf(std::int64_t clock) const;

    LeasedWorkerSettings fixed;
    Planner planner;
    Core::SteadyTime born;
    bool alive = true;
    bool isDraining = false;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseEnd = 0;
    std::uint64_t announcements = 0;
    std::vector<RunHistory> runs;
    std::map<Messages::TaskId, Running> running;
    /// Highest run of each task that ended or was stopped here.
    std::map<Messages::TaskId, std::uint32_t> highestEnded;
    std::vector<Workers::EndedRunRecord> ended;
    std::uint64_t lastEnd = 0;
    std::uint64_t notedEnds = 0;
    std::vector<Waiting> waiting;
};

}
