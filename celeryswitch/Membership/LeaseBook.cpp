#include "celeryswitch/Membership/LeaseBook.h"

#include <algorithm>

namespace celeryswitch::Membership {

LeaseBook::LeaseBook(LeaseTiming timing)
    : times(timing)
{
}

void LeaseBook::begin(Core::SteadyTime now)
{
    this->leadershipBegan = now;
    this->lastAnswered.clear();
    this->inTransfer.clear();
}

void LeaseBook::answered(Core::SteadyTime now, const Core::InstanceId& owner, Core::Incarnation incarnation)
{
    // Entries that no longer matter are dropped, so that restarted owners don't add up.
    std::erase_if(
        this->lastAnswered, [&](const auto& entry) { return now - entry.second > 2 * this->times.transferDelay(); });
    this->lastAnswered[{ owner, incarnation }] = now;
}

bool LeaseBook::isTransferable(Core::SteadyTime now, const Messages::PartitionOwner& holder) const
{
    return this->timeUntilTransferable(now, holder) <= Core::Duration::zero();
}

Core::Duration LeaseBook::timeUntilTransferable(Core::SteadyTime now, const Messages::PartitionOwner& holder) const
{
    if (holder.owner.empty())
        return Core::Duration::zero();
    Core::SteadyTime last = this->leadershipBegan;
    const auto found = this->lastAnswered.find({ holder.owner, holder.ownerIncarnation });
    if (found != this->lastAnswered.end())
        last = std::max(last, found->second);
    return last + this->times.transferDelay() - now;
}

void LeaseBook::transferBegins(const GrantPartitions& grant)
{
    for (const auto& [partition, epoch] : grant.expectedEpochs)
        this->inTransfer.insert(partition);
}

void LeaseBook::transferEnds(const GrantPartitions& grant)
{
    for (const auto& [partition, epoch] : grant.expectedEpochs) {
        const auto found = this->inTransfer.find(partition);
        if (found != this->inTransfer.end())
            this->inTransfer.erase(found);
    }
}

}
