#include "celeryswitch/Membership/MemberTable.h"

namespace celeryswitch::Membership {

using Messages::Member;

namespace {

// Compares all registered properties.
bool isSameRegistration(const Member& left, const Member& right)
{
    const Messages::Hello& a = left.identity;
    const Messages::Hello& b = right.identity;
    return a.role == b.role && a.incarnation == b.incarnation && a.dataCentre == b.dataCentre && a.rack == b.rack
        && a.service == b.service && a.slots == b.slots && left.peerAddress == right.peerAddress
        && left.datagramAddress == right.datagramAddress && left.removedAt == right.removedAt
        && left.worker == right.worker;
}

}

bool MemberTable::registerMember(std::int64_t time, const Member& member)
{
    const bool isPruned = this->prune(time);
    Member& stored = this->members[member.identity.instanceId];
    Member updated = member;
    updated.removedAt = 0;
    updated.replacedIncarnations = stored.replacedIncarnations;
    // A registration sent before the worker was known may arrive after one that names the worker.
    if (updated.identity.incarnation == stored.identity.incarnation && updated.worker.workerId.empty())
        updated.worker = stored.worker;
    const Core::Incarnation previousIncarnation = stored.identity.incarnation;
    // A delayed registration must not restore a replaced incarnation.
    if (updated.replacedIncarnations.count(updated.identity.incarnation) > 0)
        return isPruned;
    if (previousIncarnation != 0 && previousIncarnation != updated.identity.incarnation)
        updated.replacedIncarnations[previousIncarnation] = time;
    if (isSameRegistration(stored, updated))
        return isPruned;
    stored = std::move(updated);
    return true;
}

bool MemberTable::removeMember(std::int64_t time, const Messages::RemoveMember& removal)
{
    const auto found = this->members.find(removal.instanceId);
    if (found == this->members.end() || found->second.identity.incarnation != removal.incarnation)
        return false;
    if (found->second.removedAt == 0)
        found->second.removedAt = time;
    this->prune(time);
    return true;
}

bool MemberTable::isCurrent(const Core::InstanceId& instanceId, Core::Incarnation incarnation) const
{
    const auto found = this->members.find(instanceId);
    return found != this->members.end() && found->second.removedAt == 0
        && found->second.identity.incarnation == incarnation;
}

std::vector<Member> MemberTable::all() const
{
    std::vector<Member> result;
    for (const auto& [instanceId, member] : this->members)
        result.push_back(member);
    return result;
}

bool MemberTable::prune(std::int64_t time)
{
    const auto isExpired = [&](std::int64_t since) { return since + memberRetentionMilliseconds < time; };
    std::size_t removed = std::erase_if(this->members,
        [&](const auto& entry) { return entry.second.removedAt != 0 && isExpired(entry.second.removedAt); });
    for (auto& [instanceId, member] : this->members)
        removed += std::erase_if(
            member.replacedIncarnations, [&](const auto& replaced) { return isExpired(replaced.second); });
    return removed > 0;
}

}
