#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <map>

namespace celeryswitch::Membership {

/// Log record of a partition transfer. Each partition is transferred only if its epoch still equals the expected one.
struct GrantPartitions {
    Core::InstanceId owner;
    Core::Incarnation ownerIncarnation = 0;
    /// Epoch of each partition as seen by the leader.
    std::map<Core::PartitionId, Core::Epoch> expectedEpochs;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->owner, this->ownerIncarnation, this->expectedEpochs);
    }
};

/// Owners and epochs of the partitions, as replicated by the state log.
class PartitionTable {
public:
    using Partitions = std::map<Core::PartitionId, Messages::PartitionOwner>;

    /// Transfers the partitions whose epoch matches and increments their epochs. Returns whether any was transferred.
    bool grant(std::int64_t time, const GrantPartitions& grant);
    /// Releases partitions of the owner; their epochs stay. Returns whether any was released.
    bool release(const Messages::ReleasePartitions& release);
    /// Owner and epoch of a partition; the owner's id is empty if the partition has no owner.
    Messages::PartitionOwner owner(Core::PartitionId partition) const;
    /// Partitions of an owner's incarnation.
    Partitions ownedBy(const Core::InstanceId& owner, Core::Incarnation incarnation) const;
    /// All partitions that have ever had an owner.
    const Partitions& all() const { return this->partitions; }

    template <typename Archive> void serialize(Archive& archive) { archive(this->partitions); }

private:
    Partitions partitions;
};

}
