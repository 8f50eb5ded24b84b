#include "celeryswitch/Consensus/Leadership.h"

#include <algorithm>

namespace celeryswitch::Consensus {

namespace {

// Broadcasts whose begin is remembered; at one each 10 ms more than an election timeout.
constexpr std::size_t rememberedRounds = 256;

}

Leadership::Leadership(ReplicaId self, LogIndex firstIndex)
    : self(std::move(self))
    , first(firstIndex)
{
}

void Leadership::groupChanged(Core::SteadyTime now, const ReplicaGroup& group, LogIndex next)
{
    std::map<ReplicaId, Progress> changed;
    const auto keep = [&](const Messages::ReplicaInfo& info) {
        if (info.id == this->self)
            return;
        const auto found = this->progress.find(info.id);
        Progress entry;
        entry.next = next;
        entry.answeredRoundTime = now;
        changed.emplace(info.id, found != this->progress.end() ? found->second : entry);
    };
    std::for_each(group.voters.begin(), group.voters.end(), keep);
    std::for_each(group.learners.begin(), group.learners.end(), keep);
    this->progress = std::move(changed);
}

Progress* Leadership::find(const ReplicaId& id)
{
    const auto found = this->progress.find(id);
    return found != this->progress.end() ? &found->second : nullptr;
}

void Leadership::beginRound(Core::SteadyTime now)
{
    ++this->currentRound;
    this->roundTimes.emplace_back(this->currentRound, now);
    if (this->roundTimes.size() > rememberedRounds)
        this->roundTimes.pop_front();
}

void Leadership::answered(Progress& replica, std::uint64_t round)
{
    if (round <= replica.answeredRound || round > this->currentRound)
        return;
    replica.answeredRound = round;
    if (!this->roundTimes.empty() && round >= this->roundTimes.front().first)
        replica.answeredRoundTime = this->roundTimes[round - this->roundTimes.front().first].second;
}

template <typename F>
std::uint64_t Leadership::majority(const ReplicaGroup& group, std::uint64_t own, F&& valueOf) const
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

std::uint64_t Leadership::confirmedRound(const ReplicaGroup& group) const
{
    return this->majority(group, this->currentRound, [](const Progress& entry) { return entry.answeredRound; });
}

LogIndex Leadership::majorityIndex(const ReplicaGroup& group, LogIndex ownIndex) const
{
    return this->majority(group, ownIndex, [](const Progress& entry) { return entry.match; });
}

bool Leadership::hasQuorumSince(Core::SteadyTime since, const ReplicaGroup& group) const
{
    return this->majority(group, 1, [&](const Progress& entry) { return entry.answeredRoundTime >= since ? 1 : 0; })
        != 0;
}

Core::SteadyTime Leadership::quorumContact(Core::SteadyTime now, const ReplicaGroup& group) const
{
    const auto ticks = [](Core::SteadyTime time) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.time_since_epoch().count()));
    };
    const std::uint64_t contact
        = this->majority(group, ticks(now), [&](const Progress& entry) { return ticks(entry.answeredRoundTime); });
    return Core::SteadyTime(Core::SteadyTime::duration(static_cast<std::int64_t>(contact)));
}

std::vector<std::uint64_t> Leadership::takeReads(std::uint64_t round)
{
    std::vector<std::uint64_t> taken;
    while (!this->reads.empty() && this->reads.front().first <= round) {
        taken.push_back(this->reads.front().second);
        this->reads.pop_front();
    }
    return taken;
}

}
