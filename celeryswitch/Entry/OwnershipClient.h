#pragma once

#include "celeryswitch/Entry/EntryContext.h"
#include "celeryswitch/Entry/ReportSender.h"
#include "celeryswitch/Ownership/PartitionLeases.h"
#include "celeryswitch/Ownership/PartitionRecovery.h"
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Client of the state replicas: registers this entry, watches the fleet view, acquires, renews and releases partition
/// leases, and sends report rows. Performs no I/O.
class OwnershipClient {
public:
    /// Callbacks for changes of ownership and of the fleet view.
    struct Handlers {
        /// This entry acquired a partition; its recovery, if needed, has begun.
        std::function<void(Core::PartitionId)> onPartitionGained;
        /// A partition has a new owner.
        std::function<void(Core::PartitionId)> onPartitionLost;
        /// A request to acquire these partitions has finished; those not held now were refused.
        std::function<void(const std::vector<Core::PartitionId>&)> onAcquisitionEnded;
        /// A newer fleet view arrived.
        std::function<void(const Messages::FleetView&)> onViewReceived;
    };

    OwnershipClient(
        EntryContext& context, Ownership::PartitionLeases& leases, ReportSender& reportSender, Handlers handlers);

    /// Sends due requests and removes expired recoveries.
    void tick();
    /// Handles the reply to a request, or its failure.
    void replyReceived(const StateReplyReceived& event);
    /// Requests partitions, except those that a pending request already covers.
    void acquire(const std::vector<Core::PartitionId>& partitions);
    /// Releases all partitions and removes this entry from the fleet.
    void leave();
    /// Whether all requests of `leave` have finished, successfully or not.
    bool hasLeft() const { return this->isLeaving && this->pendingLeave == 0; }
    /// Whether the lease of the last granted acquisition or renewal has not expired.
    bool isLeaseValid() const { return this->context.now < this->leaseValidUntil; }
    /// Whether the state leader confirmed the configuration within the freshness limit.
    bool isConfigurationFresh() const;
    /// Latest fleet view.
    const Messages::FleetView& view() const { return this->fleetView; }
    /// Recovery of a held partition; null if it had no previous owner or the recovery has expired.
    Ownership::PartitionRecovery* recovery(Core::PartitionId partition);
    /// Whether requests of a held partition can be handled: all records have arrived, or the recovery wait is over.
    bool isReady(Core::PartitionId partition) const;
    /// Whether the time to wait for sidecar records after a takeover has passed.
    bool isRecoveryWaitOver(Core::PartitionId partition) const;

private:
    enum class CallKind : std::uint8_t {
        Register,
        Watch,
        Acquire,
        Renew,
        Report,
        Leave,
    };
    struct Call {
        CallKind kind = CallKind::Watch;
        Core::SteadyTime sentAt;
        std::vector<Core::PartitionId> partitions;
    };
    struct Recovery {
        Ownership::PartitionRecovery records;
        Core::SteadyTime startedAt;
    };

    template <typename Body> void sendRequest(CallKind kind, Core::Duration timeout, Body body);
    void viewReceived(Messages::FleetView view);
    void grantReceived(const Call& call, const Messages::LeaseGrant& grant);
    void updateFreshness(Core::SteadyTime sentAt, Core::ConfigurationVersion version);
    void updateMembers(Core::PartitionId partition, Recovery& recovery);

    EntryContext& context;
    Ownership::PartitionLeases& leases;
    ReportSender& reportSender;
    Handlers handlers;
    Messages::FleetView fleetView;
    std::map<Core::PartitionId, Recovery> recoveries;
    std::set<Core::PartitionId> partitionsBeingAcquired;
    std::unordered_map<std::uint64_t, Call> pendingCalls;
    std::uint64_t lastCallId = 0;
    bool isRegistered = false;
    bool isRegistering = false;
    bool isWatching = false;
    bool isLeaving = false;
    std::uint32_t pendingLeave = 0;
    std::uint32_t pendingRenewals = 0;
    Core::SteadyTime nextRenewal {};
    Core::SteadyTime nextRegistration {};
    Core::SteadyTime nextWatch {};
    Core::SteadyTime leaseValidUntil {};
    Core::SteadyTime configurationFreshUntil {};
    // Configuration version of the latest grant, and when that grant was requested.
    Core::ConfigurationVersion confirmedVersion = 0;
    Core::SteadyTime confirmedAt {};
};

}
