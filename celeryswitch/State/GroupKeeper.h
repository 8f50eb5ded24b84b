#pragma once

#include "celeryswitch/Consensus/Replica.h"
#include <functional>
#include <map>
#include <optional>

namespace celeryswitch::State {

/// Settings of a keeper; fixed for its life.
struct GroupKeeperSettings {
    /// Whether the leader changes the group by itself.
    bool isEnabled = false;
    /// Time without an answer after which a replica counts as silent.
    Core::Duration silenceLimit = std::chrono::milliseconds(2500);
    /// Age up to which an announcement counts.
    Core::Duration announcementAge = std::chrono::milliseconds(1500);
};

/// Decides at the leader how the group follows its replicas: one that announces itself is added, one that lost its disk
/// takes the place of its earlier identity at the same address, and a silent one is removed when the group does without
/// it as well as with it. Pure.
class GroupKeeper {
public:
    explicit GroupKeeper(GroupKeeperSettings settings)
        : settings(settings)
    {
    }

    /// A replica that is in no group, or does not hear a leader, has announced itself.
    void announced(Core::SteadyTime now, const Messages::ReplicaInfo& replica);
    /// The next change of the group, if one is due. `leader` leads and has committed an entry of its term.
    std::optional<Consensus::Replace> decide(Core::SteadyTime now, const Consensus::Replica& leader);

private:
    struct Announced {
        Messages::ReplicaInfo replica;
        Core::SteadyTime at;
    };

    // The voter whose place a candidate takes; empty when it is added to them.
    static Messages::ReplicaId placeOf(const Messages::ReplicaInfo& candidate, const Messages::ReplicaGroup& group,
        const Messages::ReplicaId& leader, const std::function<bool(const Messages::ReplicaInfo&)>& isSilent);

    // Newest announcement by id.
    std::map<Messages::ReplicaId, Announced> known;
    GroupKeeperSettings settings;
};

}
