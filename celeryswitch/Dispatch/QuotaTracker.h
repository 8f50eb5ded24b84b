#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Dispatch {

/// Index of a team, assigned by `QuotaTracker::indexOf`; dense and stable.
using TeamIndex = std::uint32_t;

/// Enforces this entry's share of each team's quota of starts per second. Shares follow the demand that entries report
/// to each other once a second. Error: after demand moves between entries, the fleet may exceed a quota by at most
/// (entries - 1) times its rate for one exchange interval plus the message delay; with steady demand it does not.
class QuotaTracker {
public:
    /// Index of a team, assigned on first use.
    TeamIndex indexOf(const std::string& team);
    const std::string& nameOf(TeamIndex team) const;
    std::size_t teamCount() const { return this->teams.size(); }
    /// Sets the fleet-wide quota of a team, in starts per second; 0 means no limit.
    void setLimit(TeamIndex team, std::int64_t startsPerSecond);
    /// Takes quota for up to `count` starts; returns how many may start now.
    std::uint32_t tryTake(Core::SteadyTime now, TeamIndex team, std::uint32_t count);
    /// Records tasks that were deferred for lack of quota.
    void recordUnmetDemand(TeamIndex team, std::uint32_t count);
    /// Time at which the team can start its next task.
    Core::SteadyTime availableAt(Core::SteadyTime now, TeamIndex team) const;
    /// Stores the usage reported by another entry.
    void usageReceived(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::TeamUsage& usage);
    /// Returns and resets the usage at this entry, and updates its shares.
    Messages::TeamUsage takeUsage(Core::SteadyTime now);
    /// This entry's share of a team's quota, in starts per second.
    double localRate(TeamIndex team) const;

private:
    struct Team {
        std::string name;
        std::int64_t limit = 0;
        double rate = 0;
        double tokens = 0;
        Core::SteadyTime refilledAt {};
        std::uint32_t starts = 0;
        std::uint32_t demand = 0;
        double smoothedDemand = 0;
        // Latest reported demand, in starts and refused tasks, by entry index.
        std::vector<double> otherDemands;
    };
    struct OtherEntry {
        std::size_t index = 0;
        Core::SteadyTime lastReportAt {};
        std::vector<TeamIndex> reportedTeams;
    };
    void refill(Core::SteadyTime now, Team& team) const;
    void removeSilentEntries(Core::SteadyTime now);
    void updateLocalRate(Team& team) const;
    void clearReportedDemand(OtherEntry& entry);

    std::unordered_map<std::string, TeamIndex> indexes;
    std::vector<Team> teams;
    std::map<Core::InstanceId, OtherEntry> otherEntries;
    std::size_t entryIndexCount = 0;
    std::size_t activeEntryCount = 1;
};

}
