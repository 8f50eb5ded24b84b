#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Membership/PartitionTable.h"
#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <map>
#include <set>
#include <vector>

namespace celeryswitch::Membership {

/// Times that determine when a partition may be transferred to another owner.
struct LeaseTiming {
    /// Length of an owner's lease. The owner counts it from before it sent the request.
    Core::Duration lease = Ownership::leaseLength;
    /// Maximum age of a clock sample at which a sidecar accepts a start that echoes it.
    Core::Duration startValidity = Ownership::startValidity;
    /// Margin for clock drift and scheduling delays.
    Core::Duration margin = Ownership::leaseMargin;

    /// Time after the last confirmed renewal at which no start by the previous owner can take effect any more.
    Core::Duration transferDelay() const { return this->lease + this->startValidity + this->margin; }
};

/// Tracks lease renewals at the state leader, in memory only, and determines which partitions may be transferred.
class LeaseTracker {
public:
    explicit LeaseTracker(LeaseTiming timing);

    /// Resets the tracker when this replica becomes the leader. Renewals confirmed by earlier leaders are unknown, so
    /// every lease counts as renewed at `now`.
    void beginLeadership(Core::SteadyTime now);
    /// Records the renewal of an owner's leases. Must be called before the reply is sent.
    void recordRenewal(Core::SteadyTime now, const Core::InstanceId& owner, Core::Incarnation incarnation);
    /// Whether a partition may be transferred: it has no owner, or the transfer delay has passed since its owner's last
    /// renewal.
    bool isTransferable(Core::SteadyTime now, const Messages::PartitionOwner& currentOwner) const;
    /// Time until a partition may be transferred; zero or negative if it may be transferred now.
    Core::Duration timeUntilTransferable(Core::SteadyTime now, const Messages::PartitionOwner& currentOwner) const;
    /// Marks partitions whose transfer is in the log but not yet applied. No lease on them is confirmed until it is.
    void beginTransfer(const GrantPartitions& grant);
    /// Removes the marks once the transfer has been applied.
    void endTransfer(const GrantPartitions& grant);
    /// Whether a transfer of the partition is in progress.
    bool isInTransfer(Core::PartitionId partition) const { return this->partitionsInTransfer.count(partition) > 0; }
    /// Configured lease times.
    const LeaseTiming& timing() const { return this->leaseTiming; }

private:
    LeaseTiming leaseTiming;
    Core::SteadyTime leadershipStart;
    std::map<std::pair<Core::InstanceId, Core::Incarnation>, Core::SteadyTime> lastRenewals;
    std::multiset<Core::PartitionId> partitionsInTransfer;
};

}
