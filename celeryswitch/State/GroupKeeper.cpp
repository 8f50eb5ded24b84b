#include "celeryswitch/State/GroupKeeper.h"

#include <algorithm>

namespace celeryswitch::State {

using Consensus::Replace;
using Messages::ReplicaGroup;
using Messages::ReplicaInfo;

namespace {

// Time without an answer after which a replica is out of contact; of two identities at one address, it is the one that
// is gone.
constexpr Core::Duration contactLimit = std::chrono::milliseconds(500);
// Voters of the largest group that deployments intend. Where the tolerated losses are unknown, a larger group has
// voters that were replaced.
constexpr std::size_t largestIntendedGroup = 5;

}

void GroupKeeper::announced(Core::SteadyTime now, const ReplicaInfo& replica)
{
    this->known[replica.id] = { replica, now };
    // It has started again.
    this->departures.erase(replica.id);
}

void GroupKeeper::departing(Core::SteadyTime now, const Messages::ReplicaId& replica)
{
    this->known.erase(replica);
    this->departures[replica] = now;
}

DepartureVerdict GroupKeeper::departureVerdict(
    const Consensus::Replica& leader, const Messages::ReplicaId& replica) const
{
    if (!this->settings.isEnabled)
        return DepartureVerdict::Kept;
    const ReplicaGroup& group = leader.log().group();
    if (leader.isGroupChanging() || group.hasLearner(replica))
        return DepartureVerdict::Undecided;
    if (!group.hasVoter(replica))
        return DepartureVerdict::Removed;
    const bool isCandidateKnown = std::any_of(
        this->known.begin(), this->known.end(), [&](const auto& entry) { return !group.hasVoter(entry.first); });
    const bool isGroupSettled = group.learners.empty() && !isCandidateKnown;
    return isGroupSettled && !this->isRemovable(group.voters.size()) ? DepartureVerdict::Kept
                                                                     : DepartureVerdict::Undecided;
}

std::optional<Replace> GroupKeeper::decide(Core::SteadyTime now, const Consensus::Replica& leader)
{
    if (!this->settings.isEnabled)
        return std::nullopt;
    std::erase_if(
        this->known, [&](const auto& entry) { return now - entry.second.at > this->settings.announcementAge; });
    std::erase_if(
        this->departures, [&](const auto& entry) { return now - entry.second > this->settings.announcementAge; });
    if (this->term != leader.term()) {
        this->term = leader.term();
        this->termBegin = now;
        this->hasSuccessor = false;
    }
    const ReplicaGroup& group = leader.log().group();
    // A learner that left before it had caught up must not hold up the next change.
    for (const ReplicaInfo& learner : group.learners) {
        const bool hasLeft
            = silence(now, leader, learner) > this->settings.silenceLimit && this->known.count(learner.id) == 0;
        if (hasLeft || this->departures.count(learner.id) > 0)
            return Replace { 0, learner.id, {} };
    }
    if (leader.isGroupChanging())
        return std::nullopt;
    std::vector<ReplicaInfo> candidates = group.learners;
    for (const auto& [id, announced] : this->known) {
        if (!group.hasVoter(id) && !group.hasLearner(id))
            candidates.push_back(announced.replica);
    }
    if (!candidates.empty()) {
        const Messages::ReplicaId place = this->placeOf(now, candidates.front(), leader);
        this->hasSuccessor = this->hasSuccessor || place.empty();
        return Replace { 0, place, candidates.front() };
    }
    for (const ReplicaInfo& voter : group.voters) {
        const Core::Duration voterSilence = silence(now, leader, voter);
        for (const ReplicaInfo& other : group.voters) {
            if (voter.id != other.id && voter.address == other.address && voterSilence > contactLimit
                && voterSilence > silence(now, leader, other))
                return Replace { 0, voter.id, {} };
        }
    }
    if (this->isRemovable(group.voters.size())) {
        if (const std::optional<Messages::ReplicaId> silent = this->silentVoter(now, leader))
            return Replace { 0, *silent, {} };
        if (const std::optional<Messages::ReplicaId> departing = this->departingVoter(now, leader))
            return Replace { 0, *departing, {} };
    }
    return std::nullopt;
}

bool GroupKeeper::isRemovable(std::size_t voterCount) const
{
    if (this->settings.toleratedLosses > 0)
        return voterCount > 2 * std::size_t(this->settings.toleratedLosses) + 1;
    // An even group tolerates no more losses than the next smaller one.
    return voterCount % 2 == 0 || voterCount > largestIntendedGroup;
}

Core::Duration GroupKeeper::silence(Core::SteadyTime now, const Consensus::Replica& leader, const ReplicaInfo& replica)
{
    return replica.id == leader.id() ? Core::Duration::zero() : now - leader.lastReplyTime(replica.id);
}

std::optional<Messages::ReplicaId> GroupKeeper::silentVoter(
    Core::SteadyTime now, const Consensus::Replica& leader) const
{
    std::optional<Messages::ReplicaId> found;
    Core::Duration longest = Core::Duration::zero();
    for (const ReplicaInfo& voter : leader.log().group().voters) {
        const Core::Duration voterSilence = silence(now, leader, voter);
        const bool isRestarting = voterSilence >= now - this->termBegin && !this->hasSuccessor;
        if (voterSilence <= (isRestarting ? this->settings.restartLimit : this->settings.silenceLimit)
            || voterSilence <= longest)
            continue;
        longest = voterSilence;
        found = voter.id;
    }
    return found;
}

std::optional<Messages::ReplicaId> GroupKeeper::departingVoter(
    Core::SteadyTime now, const Consensus::Replica& leader) const
{
    const std::vector<ReplicaInfo>& voters = leader.log().group().voters;
    const ReplicaInfo* found = nullptr;
    for (const ReplicaInfo& voter : voters) {
        if (this->departures.count(voter.id) > 0 && (!found || found->id == leader.id()))
            found = &voter;
    }
    if (!found)
        return std::nullopt;
    const auto inContact
        = static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const ReplicaInfo& voter) {
              return voter.id != found->id && silence(now, leader, voter) <= contactLimit;
          }));
    return inContact * 2 > voters.size() - 1 ? std::optional(found->id) : std::nullopt;
}

Messages::ReplicaId GroupKeeper::placeOf(
    Core::SteadyTime now, const ReplicaInfo& candidate, const Consensus::Replica& leader) const
{
    // An address has one disk: another identity there means that the earlier one is gone.
    for (const ReplicaInfo& voter : leader.log().group().voters) {
        if (voter.address == candidate.address && voter.id != leader.id())
            return voter.id;
    }
    if (const std::optional<Messages::ReplicaId> silent = this->silentVoter(now, leader))
        return *silent;
    return this->departingVoter(now, leader).value_or(Messages::ReplicaId());
}

}
