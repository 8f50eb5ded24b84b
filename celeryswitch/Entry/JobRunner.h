#pragma once

#include "celeryswitch/Entry/ReportSender.h"
#include "celeryswitch/Entry/SidecarLinks.h"
#include "celeryswitch/Ownership/JobTable.h"
#include "celeryswitch/Ownership/PartitionLeases.h"
#include "celeryswitch/Ownership/PartitionRecovery.h"
#include <unordered_map>

namespace celeryswitch::Entry {

/// Runs the jobs of owned partitions: performs the dispatcher's decisions, settles each task once, and ends jobs. Pure.
class JobRunner {
public:
    /// Called when a job has ended.
    using FinishHandler = std::function<void(const Core::JobId&)>;

    JobRunner(EntryContext& context, Dispatch::Dispatcher& dispatcher, Ownership::JobTable& table,
        Ownership::PartitionLeases& leases, SidecarLinks& links, ReportSender& report, FinishHandler onFinished);

    /// Starts a job whose key is unknown, unless the dispatcher refuses it as not run.
    Dispatch::AdmissionResult submit(const Core::JobId& jobId, Core::PartitionId partition,
        const Ownership::Fingerprint& fingerprint, Messages::Submission submission);
    /// Takes back the tasks of a running job that have not started.
    void cancel(const Core::JobId& jobId);
    /// Settles tasks by a sidecar's results.
    void resultsReceived(const Core::InstanceId& sidecarId, const Messages::TaskResults& message);
    /// Compares the tasks sent to a sidecar on earlier connections with its records; those it does not know were not
    /// run.
    void reconcile(const Core::InstanceId& sidecarId, ConnectionId connectionId, Core::PartitionId partition,
        const std::vector<Messages::FenceRecord>& records);
    /// Marks every task at a sidecar that is gone as unconfirmed.
    void sidecarLost(const Core::InstanceId& sidecarId);
    /// Rebuilds jobs of an earlier owner from sidecar records.
    void rebuild(Core::PartitionId partition, const std::vector<Ownership::RecoveredTask>& records);
    /// Settles the tasks of rebuilt jobs that no sidecar has recorded, once the recovery tells what became of them or
    /// `isOver` says that no more answers are awaited.
    void settleMissing(const Ownership::PartitionRecovery& recovery, bool isOver);
    /// Forgets the jobs of a partition that has another owner now; returns those that were running.
    std::vector<Core::JobId> dropPartition(Core::PartitionId partition);
    /// Performs the dispatcher's decisions that are due.
    void dispatch();

private:
    enum class Place : std::uint8_t {
        Queued,
        AtSidecar,
        // Task of a rebuilt job for which no sidecar has a record of a start.
        Missing,
        Settled,
    };
    struct Task {
        Place place = Place::Queued;
        std::uint32_t sidecar = 0;
        ConnectionId sentOn = 0;
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
        // Whether the sums of the job are this entry's to report.
        bool isReported = true;
        std::uint32_t unsettled = 0;
        std::vector<std::string> payloads;
        std::vector<Task> tasks;
        std::vector<Messages::TaskResult> results;
    };
    using Jobs = std::unordered_map<Core::JobId, Job>;

    std::uint32_t sidecarNumber(const Core::InstanceId& sidecarId);
    void start(const Dispatch::StartDecision& decision);
    void returnUnsent(const Dispatch::StartDecision& decision, Job& job, Messages::TaskReason reason);
    void taskResult(const Core::InstanceId& sidecarId, std::uint32_t sidecar, const Core::JobId& jobId, Job& job,
        const Messages::TaskResult& result);
    void taskNotRun(const Core::InstanceId& sidecarId, const Core::TaskKey& key, Job& job, Messages::TaskReason reason);
    void unconfirmed(
        const Core::InstanceId& sidecarId, const Core::TaskKey& key, Job& job, Messages::TaskReason reason);
    void leaveSidecar(const Core::TaskKey& key, Job& job);
    void settle(const Core::TaskKey& key, Job& job, Messages::TaskResult result);
    void finishIfSettled(const Core::JobId& jobId);
    void placeRecord(Job& job, const Ownership::RecoveredTask& found);
    void countOutcome(Messages::TaskOutcome outcome);

    EntryContext& context;
    Dispatch::Dispatcher& dispatcher;
    Ownership::JobTable& table;
    Ownership::PartitionLeases& leases;
    SidecarLinks& links;
    ReportSender& report;
    FinishHandler onFinished;
    Jobs jobs;
    std::unordered_map<Core::InstanceId, std::uint32_t> sidecarNumbers;
    // Tasks at each sidecar, by the sidecar's number.
    std::vector<std::unordered_map<Core::TaskKey, Core::PartitionId>> tasksAt;
};

}
