#include "celeryswitch/Scheduling/LinkSubset.h"

#include <algorithm>
#include <set>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::Scheduling {

using Messages::Member;
using Messages::Role;

namespace {

// Rendezvous weight of an entry for a sidecar; a sidecar is linked to the entries of the highest weights.
std::uint64_t weightOf(const Core::InstanceId& entry, const Core::InstanceId& sidecar)
{
    const std::uint64_t seed = XXH3_64bits(entry.data(), entry.size());
    return XXH3_64bits_withSeed(sidecar.data(), sidecar.size(), seed);
}

// When a sidecar registered at the earliest, in milliseconds since 1970. Its registration does not state the time, but
// its worker began before it, and the times at which earlier incarnations of the sidecar were replaced are known.
std::int64_t earliestRegistration(const Member& sidecar)
{
    std::int64_t time = sidecar.worker.bornAt;
    for (const auto& [incarnation, replacedAt] : sidecar.replacedIncarnations)
        time = std::max(time, replacedAt);
    return time;
}

// Removes the sidecars whose address a newer one has taken: a second connection to the address would reach the same
// process, which closes the first one.
void removeReplaced(std::vector<Member>& sidecars)
{
    const auto isNewer = [](const Member& left, const Member& right) {
        return std::pair(earliestRegistration(left), left.identity.instanceId)
            > std::pair(earliestRegistration(right), right.identity.instanceId);
    };
    std::map<std::string, const Member*> newest;
    for (const Member& sidecar : sidecars) {
        const Member*& known = newest[sidecar.peerAddress];
        if (!known || isNewer(sidecar, *known))
            known = &sidecar;
    }
    std::set<Core::InstanceId> replaced;
    for (const Member& sidecar : sidecars) {
        if (!sidecar.peerAddress.empty() && newest.at(sidecar.peerAddress) != &sidecar)
            replaced.insert(sidecar.identity.instanceId);
    }
    if (!replaced.empty())
        std::erase_if(sidecars, [&](const Member& sidecar) { return replaced.count(sidecar.identity.instanceId) > 0; });
}

}

std::vector<Member> LinkSubset::select(const std::vector<Member>& members)
{
    std::vector<Core::InstanceId> entries;
    std::vector<Member> sidecars;
    for (const Member& member : members) {
        if (member.identity.role == Role::Sidecar) {
            if (member.worker.capacity.isInRange())
                sidecars.push_back(member);
        } else if (member.identity.role == Role::Entry && member.identity.instanceId != this->entry)
            entries.push_back(member.identity.instanceId);
    }
    removeReplaced(sidecars);
    if (entries != this->others) {
        this->others = std::move(entries);
        this->ranks.clear();
    }
    if (sidecars.empty())
        return sidecars;
    const std::size_t count = this->others.size() + 1;
    const std::size_t entriesForAverage
        = (this->settings.sidecarsPerEntry * count + sidecars.size() - 1) / sidecars.size();
    const std::size_t linkCount = std::max(this->settings.entriesPerSidecar, entriesForAverage);
    if (linkCount >= count)
        return sidecars;
    std::erase_if(
        sidecars, [&](const Member& sidecar) { return this->entriesAbove(sidecar.identity.instanceId) >= linkCount; });
    return sidecars;
}

std::size_t LinkSubset::entriesAbove(const Core::InstanceId& sidecar)
{
    const auto known = this->ranks.find(sidecar);
    if (known != this->ranks.end())
        return known->second;
    const std::uint64_t own = weightOf(this->entry, sidecar);
    const auto above = std::count_if(this->others.begin(), this->others.end(),
        [&](const Core::InstanceId& other) { return weightOf(other, sidecar) > own; });
    return this->ranks[sidecar] = static_cast<std::size_t>(above);
}

}
