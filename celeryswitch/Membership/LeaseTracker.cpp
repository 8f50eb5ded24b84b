#include "celeryswitch/Membership/LeaseTracker.h"

#include <algorithm>

namespace celeryswitch::Membership {

LeaseTracker::LeaseTracker(LeaseTiming timing)
    : leaseTiming(timing)
{
}

void LeaseTracker::beginLeadership(Core::SteadyTime now)
{
    this->leadershipStart = now;
    this->lastRenewals.clear();
    this->partitionsInTransfer.clear();
}

void LeaseTracker::recordRenewal(Core::SteadyTime now, const Core::InstanceId& owner, Core::Incarnation incarnation)
{
    // Removes renewals that no longer prevent a transfer, so that restarted owners don't accumulate.
    std::erase_if(this->lastRenewals,
        [&](const auto& entry) { return now - entry.second > 2 * this->leaseTiming.transferDelay(); });
    this->lastRenewals[{ owner, incarnation }] = now;
}

bool LeaseTracker::isTransferable(Core::SteadyTime now, const Messages::PartitionOwner& currentOwner) const
{
    return this->timeUntilTransferable(now, currentOwner) <= Core::Duration::zero();
}

Core::Duration LeaseTracker::timeUntilTransferable(
    Core::SteadyTime now, const Messages::PartitionOwner& currentOwner) const
{
    if (currentOwner.owner.empty())
        return Core::Duration::zero();
    Core::SteadyTime lastRenewal = this->leadershipStart;
    const auto found = this->lastRenewals.find({ currentOwner.owner, currentOwner.ownerIncarnation });
    if (found != this->lastRenewals.end())
        lastRenewal = std::max(lastRenewal, found->second);
    return lastRenewal + this->leaseTiming.transferDelay() - now;
}

void LeaseTracker::beginTransfer(const GrantPartitions& grant)
{
    for (const auto& [partition, epoch] : grant.expectedEpochs)
        this->partitionsInTransfer.insert(partition);
}

void LeaseTracker::endTransfer(const GrantPartitions& grant)
{
    for (const auto& [partition, epoch] : grant.expectedEpochs) {
        const auto found = this->partitionsInTransfer.find(partition);
        if (found != this->partitionsInTransfer.end())
            this->partitionsInTransfer.erase(found);
    }
}

}
