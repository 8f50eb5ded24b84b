#include "celeryswitch/Dispatch/QuotaTracker.h"

#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#include <cmath>

namespace celeryswitch::Dispatch {

using Core::Duration;
using Core::SteadyTime;

namespace {

// An entry that sends no usage for three exchange intervals loses its share.
constexpr Duration entryTimeout = std::chrono::seconds(3);
// Largest burst of unused quota, in seconds.
constexpr double burstSeconds = 0.25;
// Fraction of the quota that is split evenly, so that an entry without previous demand can start tasks at once.
constexpr double evenlySplitFraction = 0.1;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

}

TeamIndex QuotaTracker::indexOf(const std::string& name)
{
    const auto [entry, isNew] = this->indexes.try_emplace(name, static_cast<TeamIndex>(this->teams.size()));
    if (isNew) {
        this->teams.emplace_back();
        this->teams.back().name = name;
    }
    return entry->second;
}

const std::string& QuotaTracker::nameOf(TeamIndex team) const
{
    CELERY_ASSERT(team < this->teams.size());
    return this->teams[team].name;
}

void QuotaTracker::setLimit(TeamIndex index, std::int64_t startsPerSecond)
{
    CELERY_ASSERT(index < this->teams.size());
    Team& team = this->teams[index];
    if (team.limit == startsPerSecond)
        return;
    team.limit = startsPerSecond;
    this->updateLocalRate(team);
    team.tokens = std::max(1.0, team.rate * burstSeconds);
}

std::uint32_t QuotaTracker::tryTake(SteadyTime now, TeamIndex index, std::uint32_t count)
{
    CELERY_ASSERT(index < this->teams.size());
    Team& team = this->teams[index];
    std::uint32_t taken = count;
    if (team.limit > 0) {
        this->refill(now, team);
        taken = std::min(count, static_cast<std::uint32_t>(std::max(0.0, team.tokens)));
        team.tokens -= taken;
    }
    team.starts += taken;
    return taken;
}

void QuotaTracker::recordUnmetDemand(TeamIndex index, std::uint32_t count)
{
    CELERY_ASSERT(index < this->teams.size());
    this->teams[index].demand += count;
}

SteadyTime QuotaTracker::availableAt(SteadyTime now, TeamIndex index) const
{
    CELERY_ASSERT(index < this->teams.size());
    const Team& team = this->teams[index];
    if (team.limit == 0 || team.tokens >= 1)
        return now;
    const double wait = (1 - team.tokens) / std::max(team.rate, 0.1);
    return std::max(team.refilledAt, SteadyTime {}) + Duration(static_cast<std::int64_t>(std::ceil(wait * 1e9)));
}

void QuotaTracker::usageReceived(SteadyTime now, const Core::InstanceId& entryId, const Messages::TeamUsage& usage)
{
    const auto [found, isNew] = this->otherEntries.try_emplace(entryId);
    OtherEntry& entry = found->second;
    if (isNew)
        entry.index = this->entryIndexCount++;
    entry.lastReportAt = now;
    this->clearReportedDemand(entry);
    for (const Messages::TeamUse& use : usage.teams) {
        const TeamIndex index = this->indexOf(use.team);
        Team& team = this->teams[index];
        if (team.otherDemands.size() <= entry.index)
            team.otherDemands.resize(entry.index + 1, 0);
        team.otherDemands[entry.index] = double(use.starts) + use.demand;
        entry.reportedTeams.push_back(index);
    }
    this->activeEntryCount = this->otherEntries.size() + 1;
}

Messages::TeamUsage QuotaTracker::takeUsage(SteadyTime now)
{
    this->removeSilentEntries(now);
    Messages::TeamUsage usage;
    for (Team& team : this->teams) {
        this->refill(now, team);
        const double totalDemand = double(team.starts) + team.demand;
        // Smoothed so that an entry with bursts of demand doesn't lose its share in one second without demand.
        team.smoothedDemand
            = totalDemand >= team.smoothedDemand ? totalDemand : (totalDemand + team.smoothedDemand) / 2;
        if (team.starts > 0 || team.demand > 0)
            usage.teams.push_back({ team.name, team.starts, team.demand });
        team.starts = 0;
        team.demand = 0;
        if (team.limit > 0)
            this->updateLocalRate(team);
    }
    return usage;
}

double QuotaTracker::localRate(TeamIndex index) const
{
    CELERY_ASSERT(index < this->teams.size());
    return this->teams[index].rate;
}

void QuotaTracker::refill(SteadyTime now, Team& team) const
{
    if (team.refilledAt != SteadyTime {})
        team.tokens += team.rate * seconds(now - team.refilledAt);
    team.tokens = std::min(team.tokens, std::max(1.0, team.rate * burstSeconds));
    team.refilledAt = now;
}

void QuotaTracker::removeSilentEntries(SteadyTime now)
{
    for (auto entry = this->otherEntries.begin(); entry != this->otherEntries.end();) {
        if (now - entry->second.lastReportAt <= entryTimeout) {
            ++entry;
            continue;
        }
        this->clearReportedDemand(entry->second);
        entry = this->otherEntries.erase(entry);
    }
    this->activeEntryCount = this->otherEntries.size() + 1;
}

void QuotaTracker::updateLocalRate(Team& team) const
{
    double total = team.smoothedDemand;
    for (double otherDemand : team.otherDemands)
        total += otherDemand;
    const double even = 1.0 / double(this->activeEntryCount);
    const double byDemand = total > 0 ? team.smoothedDemand / total : even;
    team.rate = double(team.limit) * (evenlySplitFraction * even + (1 - evenlySplitFraction) * byDemand);
}

void QuotaTracker::clearReportedDemand(OtherEntry& entry)
{
    for (TeamIndex index : entry.reportedTeams)
        this->teams[index].otherDemands[entry.index] = 0;
    entry.reportedTeams.clear();
}

}
