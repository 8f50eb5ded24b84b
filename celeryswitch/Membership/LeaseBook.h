#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Membership/PartitionTable.h"
#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <map>
#include <set>
#include <vector>

namespace celeryswitch::Membership {

/// Times that decide when a partition may change hands.
struct LeaseTiming {
    /// Length of an owner's lease, counted by the owner from before it sent the request.
    Core::Duration lease = Ownership::leaseLength;
    /// Age of a clock sample up to which a sidecar accepts starts that echo it.
    Core::Duration startValidity = Ownership::startValidity;
    /// Allowance for clocks that run at different rates, and for scheduling delays.
    Core::Duration margin = Ownership::leaseMargin;

    /// Time after the last answered renewal from which no start of the old owner can take effect.
    Core::Duration transferDelay() const { return this->lease + this->startValidity + this->margin; }
};

/// The state leader's volatile record of renewals; decides which partitions may change hands.
class LeaseBook {
public:
    explicit LeaseBook(LeaseTiming timing);

    /// Begins a leadership. Renewals that earlier leaders answered are unknown and count as answered just now.
    void begin(Core::SteadyTime now);
    /// Records that a lease is being confirmed to an owner; called before the answer leaves.
    void answered(Core::SteadyTime now, const Core::InstanceId& owner, Core::Incarnation incarnation);
    /// Whether a partition may be transferred: it is free, or its owner's last renewal lies back far enough.
    bool isTransferable(Core::SteadyTime now, const Messages::PartitionOwner& holder) const;
    /// Time until a partition may be transferred.
    Core::Duration timeUntilTransferable(Core::SteadyTime now, const Messages::PartitionOwner& holder) const;
    /// Marks partitions whose transfer is in the log but not applied; they are confirmed to nobody until it is.
    void transferBegins(const GrantPartitions& grant);
    /// The transfer was applied.
    void transferEnds(const GrantPartitions& grant);
    /// Whether a transfer of the partition is under way.
    bool isInTransfer(Core::PartitionId partition) const { return this->inTransfer.count(partition) > 0; }
    /// The lease's length and the other times.
    const LeaseTiming& timing() const { return this->times; }

private:
    LeaseTiming times;
    Core::SteadyTime leadershipBegan;
    std::map<std::pair<Core::InstanceId, Core::Incarnation>, Core::SteadyTime> lastAnswered;
    std::multiset<Core::PartitionId> inTransfer;
};

}
