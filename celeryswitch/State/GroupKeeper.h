#pragma once

#include "celeryswitch/Consensus/Replica.h"
#include "celeryswitch/Core/EnumNames.h"
#include <map>
#include <optional>

namespace celeryswitch::State {

/// Settings of a keeper; fixed for its life.
struct GroupKeeperSettings {
    /// Whether the leader changes the group by itself.
    bool isEnabled = false;
    /// Time without an answer after which a replica counts as silent.
    Core::Duration silenceLimit = std::chrono::milliseconds(2500);
    /// The same for a replica that has not answered since this leader began, while no replica has been added. It is
    /// longer because all replicas may be starting again, each after a different time.
    Core::Duration restartLimit = std::chrono::seconds(5);
    /// Replicas that may be lost at once; 0 if unknown.
    std::uint32_t toleratedLosses = 0;
    /// Age up to which an announcement or a departure counts.
    Core::Duration announcementAge = std::chrono::milliseconds(1500);
};

/// What a departing replica is told.
enum class DepartureVerdict : std::uint8_t {
    /// The group is about to change; the replica should ask again.
    Undecided,
    /// The replica is out of the group.
    Removed,
    /// The group needs its vote and keeps it.
    Kept,
};

/// Decides at the leader how the group follows its replicas: one that announces itself is added, one that lost its disk
/// takes the place of its earlier identity at the same address, and one that is silent or departs is removed when the
/// group does without it as well as with it.
///
/// A replica that departs stays until its removal is committed, so that a majority of the others holds all that was
/// confirmed with its help. A silent voter may be gone or merely out of reach, so the group never shrinks below the
/// size that the tolerated losses require: entries that are confirmed later would otherwise be on too few disks. One
/// change is made at a time, each after the previous one is committed; a replica that was removed and returns announces
/// itself and is added again. Pure.
class GroupKeeper {
public:
    explicit GroupKeeper(GroupKeeperSettings settings)
        : settings(settings)
    {
    }

    /// A replica that is in no group, or does not hear a leader, has announced itself.
    void announced(Core::SteadyTime now, const Messages::ReplicaInfo& replica);
    /// A replica is about to stop and waits for the group to do without it.
    void departing(Core::SteadyTime now, const Messages::ReplicaId& replica);
    /// Whether a departing replica may stop. `leader` leads and has committed an entry of its term.
    DepartureVerdict departureVerdict(const Consensus::Replica& leader, const Messages::ReplicaId& replica) const;
    /// The next change of the group, if one is due. `leader` leads and has committed an entry of its term.
    std::optional<Consensus::Replace> decide(Core::SteadyTime now, const Consensus::Replica& leader);

private:
    struct Announced {
        Messages::ReplicaInfo replica;
        Core::SteadyTime at;
    };

    // Whether a group of this many voters may lose a silent one.
    bool isRemovable(std::size_t voterCount) const;
    // Time since a replica answered; zero for the leader.
    static Core::Duration silence(
        Core::SteadyTime now, const Consensus::Replica& leader, const Messages::ReplicaInfo& replica);
    // The voter that has been silent for the longest time, if it is beyond its limit.
    std::optional<Messages::ReplicaId> silentVoter(Core::SteadyTime now, const Consensus::Replica& leader) const;
    // The departing voter that is removed next: the leader last. None while the others could not commit the removal.
    std::optional<Messages::ReplicaId> departingVoter(Core::SteadyTime now, const Consensus::Replica& leader) const;
    // The voter whose place a candidate takes; empty when it is added to them.
    Messages::ReplicaId placeOf(
        Core::SteadyTime now, const Messages::ReplicaInfo& candidate, const Consensus::Replica& leader) const;

    // Newest announcement by id.
    std::map<Messages::ReplicaId, Announced> known;
    // Times of the latest departures by id.
    std::map<Messages::ReplicaId, Core::SteadyTime> departures;
    GroupKeeperSettings settings;
    /// Term in which this replica led at the last decision, and the time of the first decision in it.
    Consensus::Term term = 0;
    Core::SteadyTime termBegin;
    /// Whether a replica at an address of its own was added in that term, probably in the place of one that is gone.
    bool hasSuccessor = false;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<State::DepartureVerdict> {
    static constexpr std::string_view type = "DepartureVerdict";
    static constexpr std::array<std::pair<State::DepartureVerdict, std::string_view>, 3> names { {
        { State::DepartureVerdict::Undecided, "undecided" },
        { State::DepartureVerdict::Removed, "removed" },
        { State::DepartureVerdict::Kept, "kept" },
    } };
};

}
