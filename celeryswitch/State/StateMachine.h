#pragma once

#include "celeryswitch/Configuration/AuditTrail.h"
#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include "celeryswitch/Configuration/RoutingDocument.h"
#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Membership/MemberTable.h"
#include "celeryswitch/State/ChangeMemory.h"
#include "celeryswitch/State/ReportTable.h"
#include "celeryswitch/State/StateCommand.h"
#include <string>

namespace celeryswitch::State {

/// Mechanisms that tests switch off, to show that the schedule explorer notices; true in every real process.
struct StateMachineSettings {
    bool isChangeRemembered = true;
    bool isVersionCompared = true;
};

/// What the state log says: configuration, audit trail, members, partition owners and report sums. Deterministic: the
/// same entries in the same order give the same state and the same answers at every replica.
class StateMachine {
public:
    explicit StateMachine(StateMachineSettings settings = {});

    /// Applies the log entry `index` and answers it; the answer's requestId is 0. An entry that can't be read is a
    /// broken invariant.
    Messages::StateReply apply(std::uint64_t index, const std::string& command);
    /// The whole state as bytes.
    std::string snapshot() const;
    /// Takes the state from a snapshot.
    Core::Result<void> restore(const std::string& bytes);

    /// What every process needs to know of the fleet; the routing document only if the asker has another version.
    Messages::FleetView view(std::uint64_t knownRoutingVersion = 0) const;
    /// The same with the members that changed after `knownVersion` only, if this replica knows them, and without the
    /// configuration and the partitions.
    Messages::FleetChanges changes(std::uint64_t knownVersion, std::uint64_t knownRoutingVersion) const;
    /// Index of the last entry that changed the view.
    std::uint64_t viewVersion() const { return this->changedIndex; }
    /// The fleet's configuration.
    const Configuration::ConfigurationDocument& configuration() const { return this->document; }
    /// The routing document in force, and the text that it was read from.
    const Configuration::RoutingDocument& routing() const { return this->routingDocument; }
    const std::string& routingSource() const { return this->routingText; }
    /// Evacuations in force, in the order of the data centres' names, and the names alone.
    std::vector<Messages::Evacuation> evacuations() const;
    std::vector<std::string> evacuatedDataCentres() const;
    /// Members.
    const Membership::MemberTable& members() const { return this->memberTable; }
    /// Partition owners.
    const Membership::PartitionTable& partitions() const { return this->partitionTable; }
    /// Report sums.
    const ReportTable& report() const { return this->reportTable; }
    /// Audit records.
    const Configuration::AuditTrail& audit() const { return this->auditTrail; }

private:
    using Reply = Messages::StateReply;
    Reply applyBody(const Messages::RegisterMember& command);
    Reply applyBody(const Messages::RemoveMember& command);
    Reply applyBody(const Membership::GrantPartitions& command);
    Reply applyBody(const Messages::ReleasePartitions& command);
    Reply applyBody(const Messages::ProposeChange& command);
    Reply applyBody(const Messages::AppendReport& command);
    Reply applyBody(const Messages::PutRouting& command);
    Reply applyBody(const Messages::SetEvacuation& command);
    // Decides a change that was not seen before.
    ChangeMemory::Answer decideChange(const Messages::ProposeChange& command);

    template <typename Archive> void archiveState(Archive& archive)
    {
        archive(this->changedIndex, this->time, this->document, this->lastChange, this->auditTrail, this->changeMemory,
            this->memberTable, this->partitionTable, this->reportTable, this->routingDocument, this->routingText);
    }
    friend struct StateMachineImage;
    void recordMemberChange(const Core::InstanceId& instanceId);
    // Whether a member that changed after a version of the view is no longer among `members`, which are in the order of
    // their ids: a difference can't name it.
    bool hasDeletedSince(const std::vector<Messages::Member>& members, std::uint64_t version) const;

    StateMachineSettings settings;
    std::uint64_t changedIndex = 0;
    /// Index of the entry being applied.
    std::uint64_t currentIndex = 0;
    /// Largest time of an applied entry; a new leader's clock may be behind.
    std::int64_t time = 0;
    Configuration::ConfigurationDocument document;
    /// The change that made the current version, as a VersionConflict names it.
    std::string lastChange;
    Configuration::AuditTrail auditTrail;
    ChangeMemory changeMemory;
    Membership::MemberTable memberTable;
    /// Index of the last entry that changed each member, for entries after `memberChangesSince`. Not part of snapshots.
    std::map<Core::InstanceId, std::uint64_t> memberChanges;
    std::uint64_t memberChangesSince = 0;
    Membership::PartitionTable partitionTable;
    ReportTable reportTable;
    Configuration::RoutingDocument routingDocument;
    std::string routingText;
    /// Start of each evacuation in force, by data centre, in milliseconds since 1970.
    std::map<std::string, std::int64_t> evacuatedSince;
};

}
