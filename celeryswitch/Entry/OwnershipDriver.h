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

/// Talks to the state replicas: registers this entry, watches the fleet view, acquires, renews and releases partitions,
/// and appends report sums. Pure.
class OwnershipDriver {
public:
    /// What others do when ownership or the view changes.
    struct Handlers {
        /// A partition came to this entry; its recovery has begun.
        std::function<void(Core::PartitionId)> onGained;
        /// A partition has another owner now.
        std::function<void(Core::PartitionId)> onLost;
        /// A request for these partitions has ended; those not held were refused.
        std::function<void(const std::vector<Core::PartitionId>&)> onAcquireEnded;
        /// A newer view arrived.
        std::function<void(const Messages::FleetView&)> onView;
    };

    OwnershipDriver(EntryContext& context, Ownership::PartitionLeases& leases, ReportSender& report, Handlers handlers);

    /// Sends requests that are due.
    void tick();
    /// Handles the answer to a call.
    void replied(const StateReplied& event);
    /// Asks for partitions that another call is not asking for already.
    void acquire(const std::vector<Core::PartitionId>& partitions);
    /// Gives up every partition and leaves the fleet.
    void leave();
    /// Whether `leave` has been confirmed or has failed for good.
    bool hasLeft() const { return this->leaving && this->pendingLeave == 0; }
    /// Whether the last granted renewal still counts.
    bool isLeaseValid() const { return this->context.now < this->leaseUntil; }
    /// Whether the state leader has confirmed the configuration within the freshness limit.
    bool isFresh() const;
    /// Newest view.
    const Messages::FleetView& view() const { return this->fleet; }
    /// Recovery of a held partition, or null when it had no earlier owner.
    Ownership::PartitionRecovery* recovery(Core::PartitionId partition);
    /// Whether answers about unknown keys of a held partition need wait no longer.
    bool isReady(Core::PartitionId partition) const;
    /// Whether the time to wait for sidecars after a takeover is over.
    bool isRecoveryOver(Core::PartitionId partition) const;

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
        Core::SteadyTime beganAt;
    };

    template <typename Body> void call(CallKind kind, Core::Duration timeout, Body body);
    void viewReceived(Messages::FleetView view);
    void grantReceived(const Call& call, const Messages::LeaseGrant& grant);
    void confirmFreshness(Core::SteadyTime sentAt, Core::ConfigurationVersion version);
    void feedMembers(Core::PartitionId partition, Recovery& recovery);

    EntryContext& context;
    Ownership::PartitionLeases& leases;
    ReportSender& report;
    Handlers handlers;
    Messages::FleetView fleet;
    std::map<Core::PartitionId, Recovery> recoveries;
    std::set<Core::PartitionId> asking;
    std::unordered_map<std::uint64_t, Call> calls;
    std::uint64_t lastCall = 0;
    bool isRegistered = false;
    bool isRegistering = false;
    bool isWatching = false;
    bool leaving = false;
    std::uint32_t pendingLeave = 0;
    std::uint32_t pendingRenewals = 0;
    Core::SteadyTime nextRenewal {};
    Core::SteadyTime nextRegistration {};
    Core::SteadyTime nextWatch {};
    Core::SteadyTime leaseUntil {};
    Core::SteadyTime freshUntil {};
    // Newest configuration that a grant named, and when that grant was asked for.
    Core::ConfigurationVersion confirmedVersion = 0;
    Core::SteadyTime confirmedAt {};
};

}
