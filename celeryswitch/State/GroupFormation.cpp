#include "celeryswitch/State/GroupFormation.h"

namespace celeryswitch::State {

GroupFormation::GroupFormation(std::string name, Messages::ReplicaInfo self, std::map<std::string, std::string> initial)
    : name(std::move(name))
    , self(std::move(self))
    , initial(std::move(initial))
{
}

std::optional<Storage::FirstStart> GroupFormation::firstStart(
    const std::string& name, const std::map<std::string, std::string>& initial)
{
    const auto identityOf = [](const std::string& replicaName) { return replicaName + "-first"; };
    if (initial.count(name) == 0)
        return std::nullopt;
    Storage::FirstStart result;
    result.replicaId = identityOf(name);
    for (const auto& [replicaName, address] : initial)
        result.group.voters.push_back({ identityOf(replicaName), address });
    return result;
}

GroupFormation::Verdict GroupFormation::received(const Messages::ReplicaAnnouncement& announcement)
{
    if (announcement.name == this->name || this->initial.count(announcement.name) == 0)
        return Verdict::Undecided;
    this->known[announcement.name] = announcement;
    return this->decide();
}

GroupFormation::Verdict GroupFormation::start() { return this->decide(); }

GroupFormation::Verdict GroupFormation::decide()
{
    // One that is not listed waits to be added.
    if (this->initial.count(this->name) == 0)
        return Verdict::Join;
    for (const auto& [other, announcement] : this->known) {
        if (!announcement.isFormed)
            continue;
        // A replica that was formed with this identity has seen it blank, as it still is.
        if (!announcement.initialGroup.hasVoter(this->self.id))
            return Verdict::Join;
        this->decided = announcement.initialGroup;
        return Verdict::Form;
    }
    if (this->known.size() + 1 < this->initial.size())
        return Verdict::Undecided;
    for (const auto& [replicaName, address] : this->initial) {
        const bool isSelf = replicaName == this->name;
        this->decided.voters.push_back({ isSelf ? this->self.id : this->known.at(replicaName).replica.id, address });
    }
    return Verdict::Form;
}

}
