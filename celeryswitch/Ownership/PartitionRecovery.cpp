#include "celeryswitch/Ownership/PartitionRecovery.h"

#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <utility>

namespace celeryswitch::Ownership {

namespace {

constexpr std::int64_t skewMilliseconds
    = std::chrono::duration_cast<std::chrono::milliseconds>(clockSkewAllowance).count();

}

PartitionRecovery::PartitionRecovery(Core::PartitionId partition, const Messages::PartitionOwner& owner)
    : partitionId(partition)
    , ownEpoch(owner.epoch)
    , takenOverAt(owner.acquiredAt)
{
}

void PartitionRecovery::setMembers(const std::vector<Messages::Member>& members)
{
    this->areMembersKnown = true;
    this->expected.clear();
    for (const Messages::Member& member : members) {
        if (member.identity.role != Messages::Role::Sidecar)
            continue;
        const SidecarIncarnation current { member.identity.instanceId, member.identity.incarnation };
        if (member.removedAt != 0)
            this->lost[current] = member.removedAt;
        else
            this->expected[current.first] = current.second;
        for (const auto& [incarnation, replacedAt] : member.replacedIncarnations)
            this->lost[{ member.identity.instanceId, incarnation }] = replacedAt;
    }
}

bool PartitionRecovery::addRecords(const Core::InstanceId& sidecarId, const Messages::PartitionRecords& part)
{
    if (part.partition != this->partitionId || part.epoch != this->ownEpoch)
        return false;
    Answer& answer = this->answers[{ sidecarId, part.incarnation }];
    if (answer.isWhole)
        return false;
    answer.records.insert(answer.records.end(), part.records.begin(), part.records.end());
    if (!part.isLastPart)
        return false;
    answer.isWhole = true;
    for (Messages::FenceRecord& record : answer.records)
        this->found.push_back({ sidecarId, std::move(record) });
    answer.records.clear();
    return true;
}

bool PartitionRecovery::hasAnswered(const SidecarIncarnation& sidecar) const
{
    const auto found = this->answers.find(sidecar);
    return found != this->answers.end() && found->second.isWhole;
}

bool PartitionRecovery::isWhole() const
{
    return this->ownEpoch <= 1 || (this->areMembersKnown && this->missing().empty());
}

std::vector<Core::InstanceId> PartitionRecovery::missing() const
{
    std::vector<Core::InstanceId> names;
    for (const SidecarIncarnation sidecar : this->expected) {
        if (!this->hasAnswered(sidecar))
            names.push_back(sidecar.first);
    }
    return names;
}

bool PartitionRecovery::wasLostSince(std::int64_t createdAt) const
{
    for (const auto& [sidecar, lostAt] : this->lost) {
        // The skew allowance covers the distance between the caller's clock and the state leader's clock.
        if (createdAt <= lostAt + skewMilliseconds && !this->hasAnswered(sidecar))
            return true;
    }
    return false;
}

bool PartitionRecovery::isRefused(std::int64_t createdAt) const
{
    if (this->ownEpoch <= 1 || createdAt > this->takenOverAt + skewMilliseconds)
        return false;
    return !this->isAbsenceProof(createdAt);
}

bool PartitionRecovery::isAbsenceProof(std::int64_t createdAt) const
{
    return this->isWhole() && !this->wasLostSince(createdAt);
}

std::vector<RecoveredTask> PartitionRecovery::takeRecords() { return std::exchange(this->found, {}); }

}
