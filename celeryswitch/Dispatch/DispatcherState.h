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

/// A service with its queue and the credits for it.
struct ServiceState {
    std::string name;
    FairQueue queue;
    CreditLedger ledger;
    std::size_t sidecarCount = 0;
    std::int64_t largestMemoryBytes = 0;
    std::uint32_t waitingLimit = 0;
    double reservedPart = 0;
    /// Sidecars that can be asked for credits.
    std::vector<SidecarIndex> sidecars;
    /// Credit requests that may be sent, and when the last one was and the next one is due. An entry that has started
    /// nothing yet may ask for a few credits before the next heartbeat.
    double requestTokens = 4;
    Core::SteadyTime requestedAt {};
    std::optional<Core::SteadyTime> nextRequest;

    /// Slots as the queue sees them.
    SlotView slots() const { return { this->ledger.idle(), this->reservedPart }; }
};

/// A sidecar that the dispatcher knows, or knew.
struct SidecarState {
    SidecarInfo info;
    ServiceState* service = nullptr;
    bool isKnown = false;
    bool isDraining = false;
    /// Drained by the configuration.
    bool isDrainedByOperator = false;
    std::uint32_t recalled = 0;
};

/// State behind `Dispatcher`: joins the queue, credits, estimates, quotas, retries and ejection.
class DispatcherState {
public:
    using Job = FairQueue::Job;

    explicit DispatcherState(DispatcherSettings settings);

    /// Applies a configuration to every known service, kind, team and sidecar.
    void setConfiguration(Configuration::ConfigurationDocument document);
    /// Index of a known sidecar.
    std::optional<SidecarIndex> find(const Core::InstanceId& sidecarId) const;
    void addSidecar(Core::SteadyTime now, const SidecarInfo& info);
    void removeSidecar(SidecarIndex sidecar);
    /// Sets again whether a sidecar may be chosen.
    void refreshUsable(Core::SteadyTime now, SidecarIndex sidecar);
    AdmissionVerdict submit(Core::SteadyTime now, const JobDescription& description);
    /// Settles one task at a sidecar; returns its job, or nothing when the task is not known to be there.
    Job leaveSidecar(const Core::JobId& jobId);
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
    /// Sidecars that asked credits back.
    std::vector<SidecarIndex> recallers;

private:
    struct Retry {
        Job job;
        std::uint32_t task;
    };
    ServiceState& serviceOf(const std::string& name);
    void configure(ServiceState& service);
    void configureKind(ServiceState& service, KindIndex kind, const std::string& name);
    void configureTeam(ServiceState& service, TeamIndex team);
    void forgetIfSettled(const Job& job);
    std::vector<std::uint32_t> takeUnsent(const Job& job);
    void releaseRetries(Core::SteadyTime now);
    void refuseLate(Core::SteadyTime now, std::vector<Decision>& decisions);
    void reviewEndpoints(Core::SteadyTime now);
    void startTasks(Core::SteadyTime now, ServiceState& service, std::vector<Decision>& decisions);
    bool startNext(Core::SteadyTime now, ServiceState& service, const Job& job, std::vector<Decision>& decisions);
    std::uint32_t batchSize(const ServiceState& service, const Job& job) const;
    void requestCredits(Core::SteadyTime now, ServiceState& service, std::vector<Decision>& decisions);
    void returnRecalled(Core::SteadyTime now, std::vector<Decision>& decisions);

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
    std::set<std::pair<Core::SteadyTime, SidecarIndex>> usableChecks;
    std::optional<Core::SteadyTime> nextReview;
    std::optional<Core::SteadyTime> nextPlacement;
    pcg32 generator;
};

}
