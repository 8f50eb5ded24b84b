#pragma once

#include "celeryswitch/Dispatch/AdmissionControl.h"
#include "celeryswitch/Dispatch/CreditLedger.h"
#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Dispatch/FairQueue.h"
#include "celeryswitch/Dispatch/OutlierDetector.h"
#include "celeryswitch/Dispatch/QuotaTracker.h"
#include "celeryswitch/Dispatch/RetryBudget.h"
#include "celeryswitch/Dispatch/RunTimeEstimator.h"
#include <map>
#include <set>
#include <unordered_map>

namespace celeryswitch::Dispatch {

/// Queue, credits and limits of one service.
struct ServiceState {
    std::string name;
    FairQueue queue;
    CreditLedger ledger;
    std::size_t sidecarCount = 0;
    std::int64_t largestWorkerMemoryBytes = 0;
    std::uint32_t waitingTasksLimit = 0;
    double reservedFraction = 0;
    /// Sidecars to which credit requests can be sent.
    std::vector<SidecarIndex> sidecars;
    /// Token bucket and timing of credit requests. An entry that has started nothing yet may request a few credits
    /// before the next heartbeat.
    double creditRequestTokens = 4;
    Core::SteadyTime lastCreditRequestAt {};
    std::optional<Core::SteadyTime> nextCreditRequestAt;

    /// Slots available to the queue.
    SlotView slots() const { return { this->ledger.idle(), this->reservedFraction }; }
};

/// State of a sidecar; kept after its removal with `isKnown` false.
struct SidecarState {
    SidecarInfo info;
    ServiceState* service = nullptr;
    bool isKnown = false;
    bool isDraining = false;
    /// Drained through the configuration.
    bool isDrainedByOperator = false;
    std::uint32_t recalled = 0;
};

/// Implementation of `Dispatcher`: combines the queue, credits, estimates, quotas, retries and ejection.
class DispatcherState {
public:
    using Job = FairQueue::Job;

    explicit DispatcherState(DispatcherSettings settings);

    /// Applies a configuration to every known service, kind, team and sidecar.
    void setConfiguration(Configuration::ConfigurationDocument document);
    /// Index of a connected sidecar; nothing if it is unknown.
    std::optional<SidecarIndex> find(const Core::InstanceId& sidecarId) const;
    void addSidecar(Core::SteadyTime now, const SidecarInfo& info);
    void removeSidecar(SidecarIndex sidecar);
    /// Updates in the ledger whether a sidecar may be selected.
    void updateUsability(Core::SteadyTime now, SidecarIndex sidecar);
    AdmissionResult submit(Core::SteadyTime now, const JobDescription& description);
    /// Records that one task of a job left its sidecar; returns the job, or null if none of its tasks is at a sidecar.
    Job taskLeftSidecar(const Core::JobId& jobId);
    void taskFinished(Core::SteadyTime now, std::optional<SidecarIndex> sidecar, const Core::JobId& jobId,
        const Messages::TaskResult& result);
    bool taskNotRun(Core::SteadyTime now, std::optional<SidecarIndex> sidecar, const Core::TaskKey& task,
        Messages::TaskReason reason);
    std::vector<std::uint32_t> cancelJob(const Core::JobId& jobId);
    std::vector<Decision> poll(Core::SteadyTime now);
    std::optional<Core::SteadyTime> nextWakeUp() const;
    Messages::Backlog backlogOf(Core::SteadyTime now, ServiceState& service) const;

    DispatcherSettings settings;
    std::vector<SidecarState> sidecars;
    std::unordered_map<std::string, ServiceState> services;
    OutlierDetector detector;
    QuotaTracker quota;
    /// Time of the last `poll`.
    Core::SteadyTime polledAt {};
    /// Sidecars with unanswered credit recalls.
    std::vector<SidecarIndex> recallingSidecars;

private:
    struct Retry {
        Job job;
        std::uint32_t task;
    };
    ServiceState& findOrAddService(const std::string& name);
    void configure(ServiceState& service);
    void configureKind(ServiceState& service, KindIndex kind, const std::string& name);
    void configureTeam(ServiceState& service, TeamIndex team);
    void removeIfSettled(const Job& job);
    std::vector<std::uint32_t> takeUnsentTasks(const Job& job);
    void releaseRetries(Core::SteadyTime now);
    void refuseMissedDeadlines(Core::SteadyTime now, std::vector<Decision>& decisions);
    void reviewEndpoints(Core::SteadyTime now);
    void startTasks(Core::SteadyTime now, ServiceState& service, std::vector<Decision>& decisions);
    bool startNext(Core::SteadyTime now, ServiceState& service, const Job& job, std::vector<Decision>& decisions);
    std::uint32_t batchSize(const ServiceState& service, const Job& job) const;
    void requestCredits(Core::SteadyTime now, ServiceState& service, std::vector<Decision>& decisions);
    void returnRecalledCredits(Core::SteadyTime now, std::vector<Decision>& decisions);

    Configuration::ConfigurationDocument configuration;
    std::unordered_map<Core::InstanceId, SidecarIndex> sidecarIndexes;
    std::unordered_map<Core::JobId, Job> jobs;
    std::unordered_map<KindIndex, ServiceState*> serviceOfKind;
    std::unordered_map<KindIndex, std::string> nameOfKind;
    RunTimeEstimator estimator;
    AdmissionControl admission;
    RetryBudget retryBudget;
    std::multimap<Core::SteadyTime, Retry> retries;
    std::unordered_map<Core::TaskKey, std::uint32_t> attempts;
    std::multimap<Core::SteadyTime, Core::JobId> deadlines;
    std::set<std::pair<Core::SteadyTime, SidecarIndex>> usabilityChecks;
    std::optional<Core::SteadyTime> nextReviewAt;
    std::optional<Core::SteadyTime> nextPlacementAt;
    pcg32 generator;
};

}
