#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <map>

namespace celeryswitch::Membership {

/// Transfer of partitions, as the leader puts it in the log: each moves only if its epoch is still the expected one.
struct GrantPartitions {
    Core::InstanceId owner;
    Core::Incarnation ownerIncarnation = 0;
    /// Partition to the epoch that the leader saw.
    std::map<Core::PartitionId, Core::Epoch> expectedEpochs;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->owner, this->ownerIncarnation, this->expectedEpochs);
    }
};

/// Owners and epochs of the partitions as the log records them.
class PartitionTable {
public:
    using Partitions = std::map<Core::PartitionId, Messages::PartitionOwner>;

    /// Transfers partitions whose epoch is the expected one; each epoch rises by one. Returns whether any moved.
    bool grant(std::int64_t time, const GrantPartitions& grant);
    /// Frees partitions that the owner holds; their epochs stay. Returns whether any was freed.
    bool release(const Messages::ReleasePartitions& release);
    /// Owner of a partition; an empty owner when it is free.
    Messages::PartitionOwner owner(Core::PartitionId partition) const;
    /// Partitions of an owner.
    Partitions heldBy(const Core::InstanceId& owner, Core::Incarnation incarnation) const;
    /// Every partition that was ever owned.
    const Partitions& all() const { return this->partitions; }

    template <typename Archive> void serialize(Archive& archive) { archive(this->partitions); }

private:
    Partitions partitions;
};

}
