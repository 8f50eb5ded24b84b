#include "celeryswitch/Consensus/LeaderState.h"

#include <algorithm>

namespace celeryswitch::Consensus {

namespace {

// At one round every 10 ms this covers more than an election timeout.
constexpr std::size_t maximumTrackedRounds = 256;

}

LeaderState::LeaderState(ReplicaId self, LogIndex firstIndex)
    : self(std::move(self))
    , firstTermIndex(firstIndex)
{
}

void LeaderState::updateGroup(Core::SteadyTime now, const ReplicaGroup& group, LogIndex next)
{
    std::map<ReplicaId, Progress> updated;
    const auto addReplica = [&](const Messages::ReplicaInfo& info) {
        if (info.id == this->self)
            return;
        const auto found = this->progress.find(info.id);
        Progress entry;
        entry.nextIndex = next;
        entry.acknowledgedRoundStart = now;
        updated.emplace(info.id, found != this->progress.end() ? found->second : entry);
    };
    std::for_each(group.voters.begin(), group.voters.end(), addReplica);
    std::for_each(group.learners.begin(), group.learners.end(), addReplica);
    this->progress = std::move(updated);
}

Progress* LeaderState::find(const ReplicaId& id)
{
    const auto found = this->progress.find(id);
    return found != this->progress.end() ? &found->second : nullptr;
}

void LeaderState::beginRound(Core::SteadyTime now)
{
    ++this->currentRound;
    this->roundStartTimes.emplace_back(this->currentRound, now);
    if (this->roundStartTimes.size() > maximumTrackedRounds)
        this->roundStartTimes.pop_front();
}

void LeaderState::recordReply(Progress& replica, std::uint64_t round)
{
    if (round <= replica.acknowledgedRound || round > this->currentRound)
        return;
    replica.acknowledgedRound = round;
    if (!this->roundStartTimes.empty() && round >= this->roundStartTimes.front().first)
        replica.acknowledgedRoundStart = this->roundStartTimes[round - this->roundStartTimes.front().first].second;
}

template <typename F>
std::uint64_t LeaderState::majority(const ReplicaGroup& group, std::uint64_t own, F&& valueOf) const
{
    std::vector<std::uint64_t> values;
    for (const Messages::ReplicaInfo& voter : group.voters) {
        if (voter.id == this->self) {
            values.push_back(own);
            continue;
        }
        const auto found = this->progress.find(voter.id);
        values.push_back(found != this->progress.end() ? valueOf(found->second) : 0);
    }
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

std::uint64_t LeaderState::confirmedRound(const ReplicaGroup& group) const
{
    return this->majority(group, this->currentRound, [](const Progress& entry) { return entry.acknowledgedRound; });
}

LogIndex LeaderState::majorityIndex(const ReplicaGroup& group, LogIndex ownIndex) const
{
    return this->majority(group, ownIndex, [](const Progress& entry) { return entry.matchIndex; });
}

bool LeaderState::hasQuorumSince(Core::SteadyTime since, const ReplicaGroup& group) const
{
    return this->majority(group, 1, [&](const Progress& entry) {
        return entry.acknowledgedRoundStart >= since ? 1 : 0;
    }) != 0;
}

Core::SteadyTime LeaderState::lastQuorumContact(Core::SteadyTime now, const ReplicaGroup& group) const
{
    const auto ticks = [](Core::SteadyTime time) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.time_since_epoch().count()));
    };
    const std::uint64_t contact
        = this->majority(group, ticks(now), [&](const Progress& entry) { return ticks(entry.acknowledgedRoundStart); });
    return Core::SteadyTime(Core::SteadyTime::duration(static_cast<std::int64_t>(contact)));
}

std::vector<std::uint64_t> LeaderState::takeConfirmedReads(std::uint64_t round)
{
    std::vector<std::uint64_t> confirmed;
    while (!this->pendingReads.empty() && this->pendingReads.front().first <= round) {
        confirmed.push_back(this->pendingReads.front().second);
        this->pendingReads.pop_front();
    }
    return confirmed;
}

}
