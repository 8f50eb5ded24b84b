#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/StateMessages.h"
#include <map>
#include <optional>
#include <vector>

namespace celeryswitch::Ownership {

/// Change of the partitions that this entry holds.
struct LeaseChanges {
    /// Partitions that came to this entry, with a new epoch each.
    std::vector<Core::PartitionId> gained;
    /// Partitions that the state leader gave to another owner, or whose epoch changed.
    std::vector<Core::PartitionId> lost;
};

/// Partitions that this entry holds, until when, and under which epochs. Pure; a lease counts by this entry's steady
/// clock from before the request was sent that the state leader granted.
class PartitionLeases {
public:
    /// Whether this entry may act as owner of a partition.
    enum class Standing : std::uint8_t {
        NotHeld,
        /// Held as far as this entry knows, but the lease is over until the next renewal.
        Expired,
        Valid,
    };

    /// Applies an answer to a request that was sent at `sentAt` and received at `now`.
    LeaseChanges apply(Core::SteadyTime sentAt, Core::SteadyTime now, const Messages::LeaseGrant& grant);
    /// Standing at this time.
    Standing standing(Core::PartitionId partition, Core::SteadyTime now) const;
    /// Owner record of a held partition, or null.
    const Messages::PartitionOwner* owner(Core::PartitionId partition) const;
    /// Partitions that are held, expired or not.
    std::vector<Core::PartitionId> held() const;
    /// Forgets a partition before it is released; no start may be sent for it afterwards.
    void giveUp(Core::PartitionId partition, Core::SteadyTime now);

private:
    struct Lease {
        Messages::PartitionOwner owner;
        Core::SteadyTime validUntil;
        // Answers to requests sent before this time may not yet name the partition.
        Core::SteadyTime learnedAt;
    };

    std::map<Core::PartitionId, Lease> leases;
    // Answers to requests sent before these times may still name a partition that was given up.
    std::map<Core::PartitionId, Core::SteadyTime> givenUp;
};

}
