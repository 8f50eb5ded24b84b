#include "celeryswitch/State/StateMachine.h"

#include "celeryswitch/Configuration/ConfigurationChange.h"
#include "celeryswitch/Consensus/StoredCodec.h"
#include "celeryswitch/Core/Assert.h"
#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace celeryswitch::State {

using Messages::StateRefusal;
using Messages::StateReply;

/// Serialized form of a state machine.
struct StateMachineImage {
    StateMachine& machine;

    template <typename Archive> void serialize(Archive& archive) { this->machine.archiveState(archive); }
};

namespace {

// Hash of everything that a change says.
std::uint64_t fingerprint(const Messages::ProposeChange& change)
{
    const std::string bytes = Network::encodeMessage(change);
    return XXH3_64bits(bytes.data(), bytes.size());
}

// Answer with a body.
template <typename Body> StateReply answer(Body body)
{
    StateReply reply;
    reply.body = std::move(body);
    return reply;
}

// Answer that refuses.
StateReply refuse(StateRefusal refusal, std::string detail)
{
    StateReply reply;
    reply.refusal = refusal;
    reply.detail = std::move(detail);
    return reply;
}

}

StateMachine::StateMachine(StateMachineSettings settings)
    : settings(settings)
{
}

StateReply StateMachine::apply(std::uint64_t index, const std::string& command)
{
    Core::Result<StateCommand> decoded = Consensus::decodeStored<StateCommand>(command);
    CELERY_ASSERT(decoded.has_value());
    this->currentIndex = index;
    this->time = std::max(this->time, decoded.value().time);
    return std::visit([this](const auto& body) { return this->applyBody(body); }, decoded.value().body);
}

std::string StateMachine::snapshot() const
{
    // Saving does not change the machine; the archive function is shared with loading.
    std::string bytes = Network::encodeMessage(StateMachineImage { const_cast<StateMachine&>(*this) });
    // Left out where there are none: snapshots of builds without evacuations end here.
    if (!this->evacuatedSince.empty())
        bytes += Network::encodeMessage(this->evacuatedSince);
    return bytes;
}

Core::Result<void> StateMachine::restore(const std::string& bytes)
{
    StateMachine restored(this->settings);
    if (!bytes.empty()) {
        Network::MessageInputArchive archive(bytes);
        StateMachineImage image { restored };
        try {
            archive(image);
            if (archive.remaining() > 0)
                archive(restored.evacuatedSince);
        } catch (const std::exception& failure) {
            return Core::Error(Network::CodecError::Malformed, std::string("state snapshot: ") + failure.what());
        }
    }
    *this = std::move(restored);
    this->memberChangesSince = this->changedIndex;
    return Core::success();
}

Messages::FleetView StateMachine::view(std::uint64_t knownRoutingVersion) const
{
    Messages::FleetView view { this->changedIndex, this->document.version, Network::encodeMessage(this->document),
        this->memberTable.all(), this->partitionTable.all() };
    view.routingVersion = this->routingDocument.version;
    if (view.routingVersion != knownRoutingVersion)
        view.routing = Network::encodeMessage(this->routingDocument);
    view.evacuatedDataCentres = this->evacuatedDataCentres();
    return view;
}

Messages::FleetChanges StateMachine::changes(std::uint64_t knownVersion, std::uint64_t knownRoutingVersion) const
{
    Messages::FleetChanges changes;
    changes.view.viewVersion = this->changedIndex;
    changes.view.configurationVersion = this->document.version;
    std::vector<Messages::Member> members = this->memberTable.all();
    changes.isWhole
        = knownVersion == 0 || knownVersion < this->memberChangesSince || this->hasDeletedSince(members, knownVersion);
    for (Messages::Member& member : members) {
        const auto change = this->memberChanges.find(member.identity.instanceId);
        if (changes.isWhole || (change != this->memberChanges.end() && change->second > knownVersion))
            changes.view.members.push_back(std::move(member));
    }
    changes.view.routingVersion = this->routingDocument.version;
    if (this->routingDocument.version != knownRoutingVersion)
        changes.view.routing = Network::encodeMessage(this->routingDocument);
    changes.view.evacuatedDataCentres = this->evacuatedDataCentres();
    return changes;
}

std::vector<Messages::Evacuation> StateMachine::evacuations() const
{
    std::vector<Messages::Evacuation> result;
    for (const auto& [dataCentre, since] : this->evacuatedSince)
        result.push_back({ dataCentre, since });
    return result;
}

std::vector<std::string> StateMachine::evacuatedDataCentres() const
{
    std::vector<std::string> result;
    for (const auto& [dataCentre, since] : this->evacuatedSince)
        result.push_back(dataCentre);
    return result;
}

bool StateMachine::hasDeletedSince(const std::vector<Messages::Member>& members, std::uint64_t version) const
{
    const auto isBefore = [](const Messages::Member& member, const Core::InstanceId& instanceId) {
        return member.identity.instanceId < instanceId;
    };
    return std::any_of(this->memberChanges.begin(), this->memberChanges.end(), [&](const auto& change) {
        if (change.second <= version)
            return false;
        const auto found = std::lower_bound(members.begin(), members.end(), change.first, isBefore);
        return found == members.end() || found->identity.instanceId != change.first;
    });
}

void StateMachine::recordMemberChange(const Core::InstanceId& instanceId)
{
    this->changedIndex = this->currentIndex;
    this->memberChanges[instanceId] = this->currentIndex;
}

StateReply StateMachine::applyBody(const Messages::RegisterMember& command)
{
    if (this->memberTable.registerMember(this->time, command.member))
        this->recordMemberChange(command.member.identity.instanceId);
    return answer(Messages::Done {});
}

StateReply StateMachine::applyBody(const Messages::RemoveMember& command)
{
    if (!this->memberTable.removeMember(this->time, command))
        return refuse(StateRefusal::UnknownMember, command.instanceId);
    this->recordMemberChange(command.instanceId);
    return answer(Messages::Done {});
}

StateReply StateMachine::applyBody(const Membership::GrantPartitions& command)
{
    // The owner may have registered with a new incarnation since the leader looked.
    if (!this->memberTable.isCurrent(command.owner, command.ownerIncarnation))
        return refuse(StateRefusal::UnknownMember, command.owner);
    if (this->partitionTable.grant(this->time, command))
        this->changedIndex = this->currentIndex;
    return answer(Messages::LeaseGrant { this->partitionTable.ownedBy(command.owner, command.ownerIncarnation), 0, 0 });
}

StateReply StateMachine::applyBody(const Messages::ReleasePartitions& command)
{
    if (this->partitionTable.release(command))
        this->changedIndex = this->currentIndex;
    return answer(Messages::LeaseGrant { this->partitionTable.ownedBy(command.owner, command.ownerIncarnation), 0, 0 });
}

StateReply StateMachine::applyBody(const Messages::ProposeChange& command)
{
    const std::uint64_t hash = fingerprint(command);
    const ChangeMemory::Answer* known
        = this->settings.isChangeRemembered ? this->changeMemory.find(command.changeId) : nullptr;
    if (known && known->fingerprint != hash)
        return refuse(StateRefusal::InvalidChange,
            "change id \"" + command.changeId + "\" was used before for a change with another content");
    ChangeMemory::Answer decided;
    if (known) {
        decided = *known;
    } else {
        decided = this->decideChange(command);
        decided.fingerprint = hash;
        this->changeMemory.remember(command.changeId, decided);
    }
    if (decided.refusal != StateRefusal::None)
        return refuse(decided.refusal, decided.detail);
    return answer(Messages::ChangeAccepted { decided.version });
}

ChangeMemory::Answer StateMachine::decideChange(const Messages::ProposeChange& command)
{
    ChangeMemory::Answer decided;
    Configuration::AuditEntry record { this->time, command.changeId, command.author, command.reason,
        this->document.version, this->document.version, "accepted", "", "", "" };
    const auto reject = [&](StateRefusal refusal, std::string detail) {
        decided.refusal = refusal;
        decided.detail = std::move(detail);
        record.outcome = Core::enumName(refusal);
        record.detail = decided.detail;
    };
    if (this->settings.isVersionCompared && command.expectedVersion != this->document.version) {
        reject(StateRefusal::VersionConflict,
            "version is " + std::to_string(this->document.version) + ", not " + std::to_string(command.expectedVersion)
                + "; it was made by " + this->lastChange);
    } else {
        Core::Result<Configuration::CheckedChange> checked
            = Configuration::checkChange(this->document, command.operations, command.reason);
        if (command.changeId.empty() || command.author.empty()) {
            reject(StateRefusal::InvalidChange, "a change needs an id and an author");
        } else if (!checked) {
            reject(StateRefusal::InvalidChange, checked.error().message());
        } else {
            this->document = std::move(checked.value().document);
            this->lastChange = "change \"" + command.changeId + "\" of " + command.author;
            this->changedIndex = this->currentIndex;
            decided.version = this->document.version;
            record.toVersion = this->document.version;
            record.before = std::move(checked.value().before);
            record.after = std::move(checked.value().after);
        }
    }
    this->auditTrail.append(record);
    return decided;
}

StateReply StateMachine::applyBody(const Messages::PutRouting& command)
{
    // The leader has checked the document before it was put in the log.
    Core::Result<Configuration::RoutingDocument> decoded
        = Consensus::decodeStored<Configuration::RoutingDocument>(command.routing);
    CELERY_ASSERT(decoded.has_value());
    const std::uint64_t version = decoded.value().version;
    if (version <= this->routingDocument.version)
        return answer(Messages::Done {});
    this->auditTrail.append({ this->time, "routing-" + std::to_string(version), command.author,
        "whole routing document", this->routingDocument.version, version, "accepted", "", "", "" });
    this->routingDocument = std::move(decoded).value();
    this->routingText = command.source;
    this->changedIndex = this->currentIndex;
    return answer(Messages::Done {});
}

StateReply StateMachine::applyBody(const Messages::SetEvacuation& command)
{
    const bool isChange = command.isEvacuated ? this->evacuatedSince.try_emplace(command.dataCentre, this->time).second
                                              : this->evacuatedSince.erase(command.dataCentre) > 0;
    if (!isChange)
        return answer(Messages::Done {});
    const std::string order = command.isEvacuated ? "evacuation start" : "evacuation end";
    this->auditTrail.append({ this->time, order + " " + command.dataCentre, command.author, order,
        this->document.version, this->document.version, "accepted", "", "", "" });
    this->changedIndex = this->currentIndex;
    return answer(Messages::Done {});
}

StateReply StateMachine::applyBody(const Messages::AppendReport& command)
{
    this->reportTable.append(this->time, command);
    return answer(Messages::Done {});
}

}
