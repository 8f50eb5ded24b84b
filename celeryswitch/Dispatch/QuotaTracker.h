#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryswitch::Dispatch {

/// Index of a team, given by `QuotaTracker::indexOf`; small and stable.
using TeamIndex = std::uint32_t;

/// Enforces this entry's part of each team's quota of starts a second. Parts follow the demand that the entries report
/// to each other once a second. Error: after demand moves between entries, the fleet may exceed a quota by at most
/// (entries - 1) times its rate for one exchange interval plus the delay of a message; with steady demand by nothing.
class QuotaTracker {
public:
    /// Index of a team; a new one on first use.
    TeamIndex indexOf(const std::string& team);
    /// Name of a team.
    const std::string& nameOf(TeamIndex team) const;
    /// Number of teams seen.
    std::size_t teamCount() const { return this->teams.size(); }
    /// Quota of a team over the whole fleet, in starts a second; 0 means no limit.
    void setLimit(TeamIndex team, std::int64_t startsPerSecond);
    /// Takes quota for up to `count` starts; returns how many may start now.
    std::uint32_t tryTake(Core::SteadyTime now, TeamIndex team, std::uint32_t count);
    /// Counts tasks that had to wait or were refused for the quota.
    void demandRefused(TeamIndex team, std::uint32_t count);
    /// When one start of this team becomes possible.
    Core::SteadyTime availableAt(Core::SteadyTime now, TeamIndex team) const;
    /// Use reported by another entry.
    void usageReceived(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::TeamUsage& usage);
    /// Use at this entry since the last call; sets this entry's parts anew.
    Messages::TeamUsage takeUsage(Core::SteadyTime now);
    /// This entry's part of a team's quota, in starts a second.
    double part(TeamIndex team) const;

private:
    struct Team {
        std::string name;
        std::int64_t limit = 0;
        double rate = 0;
        double tokens = 0;
        Core::SteadyTime refilledAt {};
        std::uint32_t starts = 0;
        std::uint32_t demand = 0;
        double smoothedNeed = 0;
        // Latest need of the other entries, by their index.
        std::vector<double> otherNeeds;
    };
    struct OtherEntry {
        std::size_t index = 0;
        Core::SteadyTime heardAt {};
        std::vector<TeamIndex> reportedTeams;
    };
    void refill(Core::SteadyTime now, Team& team) const;
    void forgetSilentEntries(Core::SteadyTime now);
    void setPart(Team& team) const;
    void clearNeeds(OtherEntry& entry);

    std::unordered_map<std::string, TeamIndex> indexes;
    std::vector<Team> teams;
    std::map<Core::InstanceId, OtherEntry> otherEntries;
    std::size_t entryIndexCount = 0;
    std::size_t liveEntries = 1;
};

}
