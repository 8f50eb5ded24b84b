#pragma once

#include "celeryswitch/Entry/ReportSender.h"
#include "celeryswitch/Entry/SidecarLinks.h"
#include "celeryswitch/Ownership/JobTable.h"
#include "celeryswitch/Ownership/PartitionLeases.h"
#include "celeryswitch/Ownership/PartitionRecovery.h"
#include <unordered_map>

namespace celeryswitch::Entry {

/// Runs the jobs of owned partitions: executes the dispatcher's decisions, settles each task with exactly one final
/// result, and finishes jobs whose tasks are all settled. Performs no I/O.
class JobRunner {
public:
    /// Called when all tasks of a job are settled.
    using FinishHandler = std::function<void(const Core::JobId&)>;

    JobRunner(EntryContext& context, Dispatch::Dispatcher& dispatcher, Ownership::JobTable& jobTable,
        Ownership::PartitionLeases& leases, SidecarLinks& sidecarLinks, ReportSender& reportSender,
        FinishHandler onFinished);

    /// Submits a job with a new idempotency key to the dispatcher. If it is refused, nothing has run or will run.
    Dispatch::AdmissionResult submit(const Core::JobId& jobId, Core::PartitionId partition,
        const Ownership::Fingerprint& fingerprint, Messages::Submission submission);
    /// Cancels all tasks of a running job that have not started.
    void cancel(const Core::JobId& jobId);
    /// Handles task results from a sidecar.
    void resultsReceived(const Core::InstanceId& sidecarId, const Messages::TaskResults& message);
    /// Compares the tasks sent to a sidecar on earlier connections with its records. Tasks without a record have not
    /// run.
    void reconcile(const Core::InstanceId& sidecarId, ConnectionId connectionId, Core::PartitionId partition,
        const std::vector<Messages::FenceRecord>& records);
    /// Settles every task at a lost sidecar as unconfirmed.
    void sidecarLost(const Core::InstanceId& sidecarId);
    /// Rebuilds the jobs of the previous owner from sidecar records.
    void rebuildJobs(Core::PartitionId partition, const std::vector<Ownership::RecoveredTask>& records);
    /// Settles the tasks of rebuilt jobs without a sidecar record: as never started if the recovery proves that no
    /// record exists, else as unconfirmed once `isRecoveryWaitOver`.
    void settleMissing(const Ownership::PartitionRecovery& recovery, bool isRecoveryWaitOver);
    /// Drops the jobs of a partition that has a new owner; returns the IDs of those that were running.
    std::vector<Core::JobId> dropPartition(Core::PartitionId partition);
    /// Polls the dispatcher and executes its decisions.
    void executeDecisions();

private:
    enum class TaskState : std::uint8_t {
        Queued,
        Sent,
        // Task of a rebuilt job for which no sidecar record has been found.
        Missing,
        Settled,
    };
    struct Task {
        TaskState state = TaskState::Queued;
        std::uint32_t sidecarIndex = 0;
        ConnectionId sentOnConnection = 0;
    };
    struct Job {
        Core::PartitionId partition = 0;
        std::int64_t createdAt = 0;
        std::string service;
        std::string kind;
        std::string team;
        std::optional<Core::SteadyTime> deadline;
        bool isIdempotent = false;
        bool isRebuilt = false;
        bool isCancelled = false;
        // Whether this entry, rather than the previous owner, adds the job to the report.
        bool isReportedHere = true;
        std::uint32_t unsettledCount = 0;
        std::vector<std::string> payloads;
        std::vector<Task> tasks;
        std::vector<Messages::TaskResult> results;
    };
    using Jobs = std::unordered_map<Core::JobId, Job>;

    std::uint32_t indexOfSidecar(const Core::InstanceId& sidecarId);
    void sendStart(const Dispatch::StartDecision& decision);
    void handleUnsentStart(const Dispatch::StartDecision& decision, Job& job, Messages::TaskReason reason);
    void handleTaskResult(const Core::InstanceId& sidecarId, std::uint32_t sidecarIndex, const Core::JobId& jobId,
        Job& job, const Messages::TaskResult& result);
    void handleTaskNotRun(
        const Core::InstanceId& sidecarId, const Core::TaskKey& key, Job& job, Messages::TaskReason reason);
    void markUnconfirmed(
        const Core::InstanceId& sidecarId, const Core::TaskKey& key, Job& job, Messages::TaskReason reason);
    void removeFromSidecar(const Core::TaskKey& key, Job& job);
    void settle(const Core::TaskKey& key, Job& job, Messages::TaskResult result);
    void finishIfSettled(const Core::JobId& jobId);
    void applyRecord(Job& job, const Ownership::RecoveredTask& found);
    void countOutcome(Messages::TaskOutcome outcome);

    EntryContext& context;
    Dispatch::Dispatcher& dispatcher;
    Ownership::JobTable& jobTable;
    Ownership::PartitionLeases& leases;
    SidecarLinks& sidecarLinks;
    ReportSender& reportSender;
    FinishHandler onFinished;
    Jobs jobs;
    std::unordered_map<Core::InstanceId, std::uint32_t> sidecarIndexes;
    // Tasks sent to each sidecar and not yet settled, by sidecar index.
    std::vector<std::unordered_map<Core::TaskKey, Core::PartitionId>> tasksBySidecar;
};

}
