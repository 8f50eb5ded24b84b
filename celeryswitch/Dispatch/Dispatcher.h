#pragma once

#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Dispatch/AdmissionControl.h"
#include "celeryswitch/Dispatch/FairQueue.h"
#include "celeryswitch/Dispatch/PlacementPolicy.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace celeryswitch::Dispatch {

/// Static properties of a sidecar and its endpoint.
struct SidecarInfo {
    Core::InstanceId sidecarId;
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::uint32_t slots = 0;
    /// Memory available to one task at the worker; 0 if unknown.
    std::int64_t memoryBytes = 0;
};

/// Settings of a dispatcher, fixed at construction.
struct DispatcherSettings {
    /// Data centre and rack of this entry.
    std::string dataCentre;
    std::string rack;
    /// One-way delay to another data centre.
    Core::Duration crossDataCentreDelay = std::chrono::microseconds(1500);
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    /// Settings of the queue of waiting tasks.
    FairQueueSettings queue;
    /// Selects the sidecar for a task; `nearestFirstPlacement` if empty.
    PlacementPolicy placement;
};

/// Properties of an accepted job that scheduling depends on.
struct JobDescription {
    Core::JobId jobId;
    std::string service;
    std::string kind;
    std::string team;
    Messages::Urgency urgency = Messages::Urgency::Normal;
    std::uint32_t taskCount = 0;
    std::optional<Core::SteadyTime> deadline;
    Core::Duration declaredRun {};
    std::int64_t declaredMemoryBytes = 0;
    bool isIdempotent = false;
};

/// Starts tasks of one job at a sidecar.
struct StartDecision {
    Core::InstanceId sidecarId;
    Core::JobId jobId;
    std::vector<std::uint32_t> taskIndexes;
    /// Credits consumed; at most the number of tasks.
    std::uint32_t credits = 0;
    Messages::Backlog backlog;
};

/// Returns idle credits to a sidecar; with zero credits it only reports the backlog.
struct CreditReturnDecision {
    Core::InstanceId sidecarId;
    std::uint32_t credits = 0;
    Messages::Backlog backlog;
};

/// Refuses a task that has not started.
struct RefuseDecision {
    Core::TaskKey task;
    Messages::TaskReason reason = Messages::TaskReason::None;
};

using Decision = std::variant<StartDecision, CreditReturnDecision, RefuseDecision>;

class DispatcherState;

/// Admits jobs at one entry, queues their tasks and assigns them to sidecars. Uses no threads, sockets or clocks; the
/// same calls give the same decisions.
class Dispatcher {
public:
    explicit Dispatcher(DispatcherSettings settings);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Applies a configuration to all later decisions.
    void setConfiguration(Configuration::ConfigurationDocument document);
    /// Adds a sidecar without credits; replaces a known one.
    void addSidecar(Core::SteadyTime now, const SidecarInfo& info);
    /// Removes a sidecar and its credits. The caller has to settle its unfinished tasks through `taskNotRun` or
    /// `taskFinished`.
    void removeSidecar(Core::SteadyTime now, const Core::InstanceId& sidecarId);
    /// Stops or resumes new work for a sidecar that is draining or has stopped responding.
    void setDraining(Core::SteadyTime now, const Core::InstanceId& sidecarId, bool isDraining);
    /// Adds credits granted by a sidecar (CreditUpdate, or creditsReturned in TaskResults).
    void creditsGranted(Core::SteadyTime now, const Core::InstanceId& sidecarId, std::uint32_t credits);
    /// Records that a sidecar recalled idle credits; `poll` answers with a CreditReturnDecision.
    void creditsRecalled(Core::SteadyTime now, const Core::InstanceId& sidecarId, std::uint32_t credits);

    /// Admits a new job and queues all its tasks, or refuses the whole job.
    AdmissionResult submit(Core::SteadyTime now, const JobDescription& job);
    /// Records the result of a started task (Succeeded, Failed or Unconfirmed).
    void taskFinished(Core::SteadyTime now, const Core::InstanceId& sidecarId, const Core::JobId& jobId,
        const Messages::TaskResult& result);
    /// Requeues, after a backoff, a task that a sidecar provably did not start. Returns false if the retry budget is
    /// used up or the reason is final (Cancelled, Revoked); the task is then dropped and the caller has to settle it.
    bool taskNotRun(Core::SteadyTime now, const Core::InstanceId& sidecarId, const Core::TaskKey& task,
        Messages::TaskReason reason);
    /// Removes the tasks of a job that are not at a sidecar, queued or backing off, and returns their indexes.
    std::vector<std::uint32_t> cancelJob(Core::SteadyTime now, const Core::JobId& jobId);
    /// Stores the use of team quotas reported by another entry.
    void teamUsageReceived(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::TeamUsage& usage);
    /// Returns and resets the use of team quotas at this entry; sent to the other entries once a second.
    Messages::TeamUsage takeTeamUsage(Core::SteadyTime now);

    /// Makes the decisions that are due.
    std::vector<Decision> poll(Core::SteadyTime now);
    /// Time at which `poll` has to be called if no other event occurs.
    std::optional<Core::SteadyTime> nextWakeUp() const;
    /// Waiting tasks of a service and their rank, as sent in heartbeats.
    Messages::Backlog backlog(const std::string& service) const;

    /// Health of the endpoint beside a sidecar; Active when it is unknown.
    EndpointHealth health(const Core::InstanceId& sidecarId) const;

private:
    std::unique_ptr<DispatcherState> state;
};

}
