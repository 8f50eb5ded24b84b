#include "celeryswitch/Ownership/PartitionLeases.h"

#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>

namespace celeryswitch::Ownership {

LeaseChanges PartitionLeases::apply(Core::SteadyTime sentAt, Core::SteadyTime now, const Messages::LeaseGrant& grant)
{
    LeaseChanges changes;
    const Core::Duration length
        = std::min<Core::Duration>(leaseLength, std::chrono::milliseconds(grant.leaseMilliseconds));
    const Core::SteadyTime validUntil = sentAt + std::chrono::duration_cast<Core::SteadyTime::duration>(length);
    for (const auto& [partition, owner] : grant.held) {
        const auto released = this->givenUp.find(partition);
        if (released != this->givenUp.end() && sentAt <= released->second)
            continue;
        const auto found = this->leases.find(partition);
        if (found != this->leases.end() && found->second.owner.epoch > owner.epoch)
            continue;
        if (found != this->leases.end() && found->second.owner.epoch == owner.epoch) {
            found->second.validUntil = std::max(found->second.validUntil, validUntil);
            continue;
        }
        if (found != this->leases.end())
            changes.lost.push_back(partition);
        this->leases[partition] = { owner, validUntil, now };
        this->givenUp.erase(partition);
        changes.gained.push_back(partition);
    }
    for (auto position = this->leases.begin(); position != this->leases.end();) {
        if (!grant.held.contains(position->first) && sentAt > position->second.learnedAt) {
            changes.lost.push_back(position->first);
            position = this->leases.erase(position);
        } else {
            ++position;
        }
    }
    return changes;
}

PartitionLeases::Standing PartitionLeases::standing(Core::PartitionId partition, Core::SteadyTime now) const
{
    const auto found = this->leases.find(partition);
    if (found == this->leases.end())
        return Standing::NotHeld;
    return now < found->second.validUntil ? Standing::Valid : Standing::Expired;
}

const Messages::PartitionOwner* PartitionLeases::owner(Core::PartitionId partition) const
{
    const auto found = this->leases.find(partition);
    return found == this->leases.end() ? nullptr : &found->second.owner;
}

std::vector<Core::PartitionId> PartitionLeases::held() const
{
    std::vector<Core::PartitionId> partitions;
    for (const auto& [partition, lease] : this->leases)
        partitions.push_back(partition);
    return partitions;
}

void PartitionLeases::giveUp(Core::PartitionId partition, Core::SteadyTime now)
{
    this->leases.erase(partition);
    this->givenUp[partition] = now;
}

}
