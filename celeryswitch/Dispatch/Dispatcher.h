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

/// What the dispatcher knows of an endpoint and the sidecar beside it.
struct SidecarInfo {
    Core::InstanceId sidecarId;
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::uint32_t slots = 0;
    /// Memory of the worker that one task may use; 0 means unknown.
    std::int64_t memoryBytes = 0;
};

/// Settings of a dispatcher; fixed for its life.
struct DispatcherSettings {
    /// Data centre and rack of this entry.
    std::string dataCentre;
    std::string rack;
    /// One-way delay to another data centre.
    Core::Duration crossDataCentreDelay = std::chrono::microseconds(1500);
    /// Seed of every random choice.
    std::uint64_t seed = 1;
    /// Order of waiting tasks.
    FairQueueSettings queue;
    /// Choice of the sidecar for a task; near first when empty.
    PlacementPolicy placement;
};

/// Tasks of one accepted job, as the dispatcher sees them.
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

/// Start these tasks of one job at a sidecar.
struct StartDecision {
    Core::InstanceId sidecarId;
    Core::JobId jobId;
    std::vector<std::uint32_t> taskIndexes;
    /// Credits used; at most the number of tasks.
    std::uint32_t credits = 0;
    Messages::Backlog backlog;
};

/// Give idle credits back to a sidecar; zero credits only report the backlog.
struct CreditReturnDecision {
    Core::InstanceId sidecarId;
    std::uint32_t credits = 0;
    Messages::Backlog backlog;
};

/// Give up a task that has not started.
struct RefuseDecision {
    Core::TaskKey task;
    Messages::TaskReason reason = Messages::TaskReason::None;
};

using Decision = std::variant<StartDecision, CreditReturnDecision, RefuseDecision>;

class DispatcherState;

/// Decides at one entry what is admitted, what waits, and which task starts at which sidecar. Pure: it has no threads,
/// sockets or clocks; the same calls give the same decisions.
class Dispatcher {
public:
    explicit Dispatcher(DispatcherSettings settings);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Uses the values of this document from now on.
    void setConfiguration(Configuration::ConfigurationDocument document);
    /// Adds a sidecar without credits; a known one starts anew.
    void addSidecar(Core::SteadyTime now, const SidecarInfo& info);
    /// Forgets a sidecar with its credits. Its unfinished tasks are the caller's to settle through `taskNotRun` or
    /// `taskFinished`.
    void removeSidecar(Core::SteadyTime now, const Core::InstanceId& sidecarId);
    /// Stops or resumes new work for a sidecar that is leaving or silent.
    void setDraining(Core::SteadyTime now, const Core::InstanceId& sidecarId, bool isDraining);
    /// Credits granted by a sidecar (CreditUpdate, or creditsReturned in TaskResults).
    void creditsGranted(Core::SteadyTime now, const Core::InstanceId& sidecarId, std::uint32_t credits);
    /// A sidecar asks idle credits back; answered by CreditReturnDecision from `poll`.
    void creditsRecalled(Core::SteadyTime now, const Core::InstanceId& sidecarId, std::uint32_t credits);

    /// Judges a new job and queues all its tasks, or refuses it whole.
    AdmissionVerdict submit(Core::SteadyTime now, const JobDescription& job);
    /// Records the result of a started task (Succeeded, Failed or Unconfirmed).
    void taskFinished(Core::SteadyTime now, const Core::InstanceId& sidecarId, const Core::JobId& jobId,
        const Messages::TaskResult& result);
    /// Queues again, after a backoff, a task that a sidecar provably did not start. Returns false when the retry budget
    /// is used up or the reason is final (Cancelled, Revoked); the task is then forgotten and the caller settles it.
    bool taskNotRun(Core::SteadyTime now, const Core::InstanceId& sidecarId, const Core::TaskKey& task,
        Messages::TaskReason reason);
    /// Forgets every queued task of a job, in constant time. Returns the indexes of tasks that are not at a sidecar.
    std::vector<std::uint32_t> cancelJob(Core::SteadyTime now, const Core::JobId& jobId);
    /// Use of team quotas at another entry.
    void teamUsageReceived(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::TeamUsage& usage);
    /// Use of team quotas at this entry since the last call; sent to the other entries once a second.
    Messages::TeamUsage takeTeamUsage(Core::SteadyTime now);

    /// Decisions that are due.
    std::vector<Decision> poll(Core::SteadyTime now);
    /// When `poll` has to be called although nothing else happens.
    std::optional<Core::SteadyTime> nextWakeUp() const;
    /// What waits for a service, for heartbeats.
    Messages::Backlog backlog(const std::string& service) const;

    /// Health of the endpoint beside a sidecar; Active when it is unknown.
    EndpointHealth health(const Core::InstanceId& sidecarId) const;

private:
    std::unique_ptr<DispatcherState> state;
};

}
