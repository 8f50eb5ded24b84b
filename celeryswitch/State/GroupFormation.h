#pragma once

#include "celeryswitch/Messages/ConsensusMessages.h"
#include "celeryswitch/Storage/DataFolder.h"
#include <map>
#include <optional>
#include <string>

namespace celeryswitch::State {

/// Decides how a replica that was never part of a group begins.
///
/// If the settings mark the first start of the whole system, `firstStart` gives identity and group from the settings
/// alone. All first replicas then begin with equal groups, so that any majority of them can elect a leader, and two
/// majorities share a voter. This is safe because no identity of the first start is given twice: a replica that lost
/// its disk is started without the mark and gets a random identity.
///
/// Without the mark a first group is formed only when every initial replica has answered and none of them is part of a
/// group, so that a replica that lost its disk never forms a second group beside the running one.
class GroupFormation {
public:
    /// Outcome of an announcement.
    enum class Verdict {
        Undecided,
        /// Begin with `group`.
        Form,
        /// A group runs without this replica: receive its log, and wait to be added by `members replace`.
        Join,
    };

    /// `self` is this replica; `initial` names the replicas of the first group with their addresses.
    GroupFormation(std::string name, Messages::ReplicaInfo self, std::map<std::string, std::string> initial);

    /// Identity and group of the replica `name` at the first start of the whole system; none if `initial` does not
    /// contain it, so that it joins the group of the others.
    static std::optional<Storage::FirstStart> firstStart(
        const std::string& name, const std::map<std::string, std::string>& initial);

    /// Takes what another replica says of itself.
    Verdict received(const Messages::ReplicaAnnouncement& announcement);
    /// Whether this replica alone is the first group.
    Verdict start();
    /// The group to begin with, after Form.
    const Messages::ReplicaGroup& group() const { return this->decided; }

private:
    Verdict decide();

    std::string name;
    Messages::ReplicaInfo self;
    std::map<std::string, std::string> initial;
    /// Newest announcement of each initial replica by name.
    std::map<std::string, Messages::ReplicaAnnouncement> known;
    Messages::ReplicaGroup decided;
};

}
