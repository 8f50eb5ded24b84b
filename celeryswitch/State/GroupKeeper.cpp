#include "celeryswitch/State/GroupKeeper.h"

namespace celeryswitch::State {

using Consensus::Replace;
using Messages::ReplicaGroup;
using Messages::ReplicaInfo;

namespace {

// Time without an answer after which one of two identities at the same address is taken for the one that is gone.
constexpr Core::Duration sameAddressSilence = std::chrono::milliseconds(500);

}

void GroupKeeper::announced(Core::SteadyTime now, const ReplicaInfo& replica)
{
    this->known[replica.id] = { replica, now };
}

std::optional<Replace> GroupKeeper::decide(Core::SteadyTime now, const Consensus::Replica& leader)
{
    if (!this->settings.isEnabled)
        return std::nullopt;
    std::erase_if(
        this->known, [&](const auto& entry) { return now - entry.second.at > this->settings.announcementAge; });
    const ReplicaGroup& group = leader.log().group();
    const auto silence = [&](const ReplicaInfo& replica) {
        return replica.id == leader.id() ? Core::Duration::zero() : now - leader.lastReplyTime(replica.id);
    };
    const auto isSilent = [&](const ReplicaInfo& replica) { return silence(replica) > this->settings.silenceLimit; };
    // A learner that left before it had caught up must not hold up the next change.
    for (const ReplicaInfo& learner : group.learners) {
        if (isSilent(learner) && this->known.count(learner.id) == 0)
            return Replace { 0, learner.id, {} };
    }
    if (leader.isGroupChanging())
        return std::nullopt;
    std::vector<ReplicaInfo> candidates = group.learners;
    for (const auto& [id, announced] : this->known) {
        if (!group.hasVoter(id) && !group.hasLearner(id))
            candidates.push_back(announced.replica);
    }
    for (const ReplicaInfo& candidate : candidates)
        return Replace { 0, this->placeOf(candidate, group, leader.id(), isSilent), candidate };
    for (const ReplicaInfo& voter : group.voters) {
        for (const ReplicaInfo& other : group.voters) {
            if (voter.id != other.id && voter.address == other.address && silence(voter) > sameAddressSilence
                && silence(voter) > silence(other))
                return Replace { 0, voter.id, {} };
        }
    }
    // An even group tolerates no more losses than the next smaller one.
    if (group.voters.size() % 2 == 0) {
        for (const ReplicaInfo& voter : group.voters) {
            if (isSilent(voter))
                return Replace { 0, voter.id, {} };
        }
    }
    return std::nullopt;
}

Messages::ReplicaId GroupKeeper::placeOf(const ReplicaInfo& candidate, const ReplicaGroup& group,
    const Messages::ReplicaId& leader, const std::function<bool(const ReplicaInfo&)>& isSilent)
{
    // An address has one disk: another identity there means that the earlier one is gone.
    for (const ReplicaInfo& voter : group.voters) {
        if (voter.address == candidate.address && voter.id != leader)
            return voter.id;
    }
    for (const ReplicaInfo& voter : group.voters) {
        if (isSilent(voter))
            return voter.id;
    }
    return {};
}

}
