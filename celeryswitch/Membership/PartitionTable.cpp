#include "celeryswitch/Membership/PartitionTable.h"

namespace celeryswitch::Membership {

using Messages::PartitionOwner;

bool PartitionTable::grant(std::int64_t time, const GrantPartitions& grant)
{
    bool hasTransferred = false;
    for (const auto& [partition, expectedEpoch] : grant.expectedEpochs) {
        if (partition >= Core::partitionCount || this->owner(partition).epoch != expectedEpoch)
            continue;
        this->partitions[partition] = { grant.owner, grant.ownerIncarnation, expectedEpoch + 1, time };
        hasTransferred = true;
    }
    return hasTransferred;
}

bool PartitionTable::release(const Messages::ReleasePartitions& release)
{
    bool hasReleased = false;
    for (Core::PartitionId partition : release.partitions) {
        const auto found = this->partitions.find(partition);
        if (found == this->partitions.end() || found->second.owner != release.owner
            || found->second.ownerIncarnation != release.ownerIncarnation)
            continue;
        found->second.owner.clear();
        found->second.ownerIncarnation = 0;
        hasReleased = true;
    }
    return hasReleased;
}

PartitionOwner PartitionTable::owner(Core::PartitionId partition) const
{
    const auto found = this->partitions.find(partition);
    return found != this->partitions.end() ? found->second : PartitionOwner {};
}

PartitionTable::Partitions PartitionTable::ownedBy(const Core::InstanceId& owner, Core::Incarnation incarnation) const
{
    Partitions owned;
    for (const auto& [partition, partitionOwner] : this->partitions) {
        if (partitionOwner.owner == owner && partitionOwner.ownerIncarnation == incarnation)
            owned.emplace(partition, partitionOwner);
    }
    return owned;
}

}
