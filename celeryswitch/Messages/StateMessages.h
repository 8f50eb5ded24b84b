#pragma once

#include "celeryswitch/Messages/TaskMessages.h"
#include "celeryswitch/Messages/WorkerProfile.h"
#include <cereal/types/map.hpp>
#include <map>

namespace celeryswitch::Messages {

/// An entry or sidecar as the state log records it.
struct Member {
    Hello identity;
    /// IP address and port of the frame listener, "127.0.0.1:7001".
    std::string peerAddress;
    /// IP address and port of the UDP socket.
    std::string datagramAddress;
    /// Incarnations of this instance that were replaced within the key retention, with the time of the change.
    std::map<Core::Incarnation, std::int64_t> replacedIncarnations;
    /// Milliseconds since 1970 when the member was removed; 0 while it is a member.
    std::int64_t removedAt = 0;
    /// The leased worker beside a sidecar; without an id when there is none or it is not known.
    WorkerProfile worker;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->identity, this->peerAddress, this->datagramAddress, this->replacedIncarnations, this->removedAt,
            this->worker);
    }
};

/// Owner of a partition.
struct PartitionOwner {
    Core::InstanceId owner;
    Core::Incarnation ownerIncarnation = 0;
    Core::Epoch epoch = 0;
    /// Milliseconds since 1970 by the state leader's clock when this epoch began.
    std::int64_t acquiredAt = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->owner, this->ownerIncarnation, this->epoch, this->acquiredAt);
    }
};

/// What every process needs to know of the fleet.
struct FleetView {
    /// Rises with each applied record of the state log.
    std::uint64_t viewVersion = 0;
    Core::ConfigurationVersion configurationVersion = 0;
    /// ConfigurationDocument in its serialized form.
    std::string configuration;
    std::vector<Member> members;
    std::map<Core::PartitionId, PartitionOwner> partitions;
    /// Version of the routing document, and the document in its serialized form unless the asker has that version.
    std::uint64_t routingVersion = 0;
    std::string routing;
    /// Addresses of the state replicas.
    std::vector<std::string> replicas;
    /// Time since the answering replica was in contact with the leader, or as the leader with a quorum.
    std::uint32_t contactAgeMilliseconds = 0;
    /// Whether the asker has this view; it then carries versions, replicas and the age only.
    bool isUnchanged = false;
    /// Data centres whose workers must start nothing.
    std::vector<std::string> evacuatedDataCentres;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->viewVersion, this->configurationVersion, this->configuration, this->members, this->partitions,
            this->routingVersion, this->routing, this->replicas, this->contactAgeMilliseconds, this->isUnchanged,
            this->evacuatedDataCentres);
    }
};

/// Asks for the view once it is newer than `knownVersion`, or after `waitMilliseconds`.
struct WatchView {
    std::uint64_t knownVersion = 0;
    std::uint32_t waitMilliseconds = 0;
    /// Version of the routing document that the asker has.
    std::uint64_t knownRoutingVersion = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->knownVersion, this->waitMilliseconds, this->knownRoutingVersion);
    }
};

/// The same as WatchView, answered by FleetChanges.
struct WatchChanges {
    WatchView watch;

    template <typename Archive> void serialize(Archive& archive) { archive(this->watch); }
};

/// Answer to WatchChanges: the view, with the members that changed after the version that the asker knows. Their number
/// does not grow with the fleet, as that of a whole view does.
struct FleetChanges {
    FleetView view;
    /// Whether `view.members` has all members, because the asker knows none or the replica has forgotten what changed.
    bool isWhole = false;

    template <typename Archive> void serialize(Archive& archive) { archive(this->view, this->isWhole); }
};

/// Adds or replaces an entry or sidecar.
struct RegisterMember {
    Member member;

    template <typename Archive> void serialize(Archive& archive) { archive(this->member); }
};

/// Removes an entry or sidecar that left or was found dead.
struct RemoveMember {
    Core::InstanceId instanceId;
    Core::Incarnation incarnation = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->instanceId, this->incarnation); }
};

/// Asks for the lease of partitions that are free or whose lease is over.
struct AcquirePartitions {
    Core::InstanceId owner;
    Core::Incarnation ownerIncarnation = 0;
    std::vector<Core::PartitionId> partitions;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->owner, this->ownerIncarnation, this->partitions);
    }
};

/// Renews every lease of an owner; also serves as its heartbeat to the state leader.
struct RenewLeases {
    Core::InstanceId owner;
    Core::Incarnation ownerIncarnation = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->owner, this->ownerIncarnation); }
};

/// Gives up partitions at once, after their jobs have ended.
struct ReleasePartitions {
    Core::InstanceId owner;
    Core::Incarnation ownerIncarnation = 0;
    std::vector<Core::PartitionId> partitions;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->owner, this->ownerIncarnation, this->partitions);
    }
};

/// A change of the configuration; `operations` is a JSON array of operations, see Configuration.
struct ProposeChange {
    std::string changeId;
    std::string author;
    std::string reason;
    Core::ConfigurationVersion expectedVersion = 0;
    std::string operations;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->changeId, this->author, this->reason, this->expectedVersion, this->operations);
    }
};

/// Sums of task outcomes of one service, kind, team and minute.
struct ReportRow {
    std::string service;
    std::string kind;
    std::string team;
    /// Minute since 1970 in which the jobs ended.
    std::int64_t minute = 0;
    TaskOutcome outcome = TaskOutcome::NeverStarted;
    TaskReason reason = TaskReason::None;
    std::uint64_t tasks = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->service, this->kind, this->team, this->minute, this->outcome, this->reason, this->tasks);
    }
};

/// Adds sums to the report; a sequence that was applied before is ignored.
struct AppendReport {
    Core::InstanceId entryId;
    Core::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<ReportRow> rows;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->entryId, this->incarnation, this->sequence, this->rows);
    }
};

/// Asks for the sums of a service ("" for all) between two minutes, the second excluded.
struct QueryReport {
    std::string service;
    std::int64_t fromMinute = 0;
    std::int64_t toMinute = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->service, this->fromMinute, this->toMinute);
    }
};

/// Asks for audit records from `fromIndex` on, at most `limit`.
struct QueryAudit {
    std::uint64_t fromIndex = 0;
    std::uint32_t limit = 1000;

    template <typename Archive> void serialize(Archive& archive) { archive(this->fromIndex, this->limit); }
};

/// Replaces one replica of the state log by another that has caught up as a learner.
struct ReplaceReplica {
    std::string changeId;
    std::string oldReplicaId;
    std::string newReplicaId;
    std::string newAddress;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->changeId, this->oldReplicaId, this->newReplicaId, this->newAddress);
    }
};

/// Replaces the routing document if its version is higher than the one in force; otherwise changes nothing.
struct PutRouting {
    std::string author;
    /// RoutingDocument in its serialized form.
    std::string routing;
    /// The document as the operator sent it.
    std::string source;

    template <typename Archive> void serialize(Archive& archive) { archive(this->author, this->routing, this->source); }
};

/// Asks for the routing document in force, as the operator sent it.
struct QueryRouting {
    template <typename Archive> void serialize(Archive&) { }
};

/// Begins or ends the evacuation of a data centre. Changes nothing if that is its state already.
struct SetEvacuation {
    std::string author;
    std::string dataCentre;
    bool isEvacuated = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->author, this->dataCentre, this->isEvacuated);
    }
};

/// Asks for the evacuations in force.
struct QueryEvacuations {
    template <typename Archive> void serialize(Archive&) { }
};

/// Asks a replica what it knows of itself and its group.
struct QueryReplicaStatus {
    template <typename Archive> void serialize(Archive&) { }
};

/// Why a state replica refused a request.
enum class StateRefusal : std::uint8_t {
    None,
    NotLeader,
    NoQuorum,
    VersionConflict,
    InvalidChange,
    LeaseHeld,
    UnknownMember,
    StorageFailed,
    Busy,
};

/// A request to a state replica.
struct StateRequest {
    std::uint64_t requestId = 0;
    /// Append only: the index is part of the format.
    std::variant<WatchView, RegisterMember, RemoveMember, AcquirePartitions, RenewLeases, ReleasePartitions,
        ProposeChange, AppendReport, QueryReport, QueryAudit, ReplaceReplica, QueryReplicaStatus, PutRouting,
        QueryRouting, WatchChanges, SetEvacuation, QueryEvacuations>
        body;

    template <typename Archive> void serialize(Archive& archive) { archive(this->requestId, this->body); }
};

/// Answer to AcquirePartitions, RenewLeases and ReleasePartitions; given by the leader while its own lease holds.
struct LeaseGrant {
    /// Partitions that the requester holds, with their epochs.
    std::map<Core::PartitionId, PartitionOwner> held;
    /// Length of the lease in milliseconds, counted by the holder from before it sent the request.
    std::uint32_t leaseMilliseconds = 0;
    /// Newest accepted configuration; a holder with an older one fetches the view before it starts more work.
    Core::ConfigurationVersion configurationVersion = 0;
    /// Data centres whose workers must start nothing; sidecars learn them from their renewals.
    std::vector<std::string> evacuatedDataCentres;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->held, this->leaseMilliseconds, this->configurationVersion, this->evacuatedDataCentres);
    }
};

/// Answer to ProposeChange.
struct ChangeAccepted {
    Core::ConfigurationVersion version = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->version); }
};

/// Answer to QueryReport.
struct ReportAnswer {
    std::vector<ReportRow> rows;

    template <typename Archive> void serialize(Archive& archive) { archive(this->rows); }
};

/// Answer to QueryAudit: one JSON text a record, in order.
struct AuditAnswer {
    std::vector<std::string> records;

    template <typename Archive> void serialize(Archive& archive) { archive(this->records); }
};

/// Answer to QueryReplicaStatus, as JSON.
struct ReplicaStatus {
    std::string json;

    template <typename Archive> void serialize(Archive& archive) { archive(this->json); }
};

/// Answer to QueryRouting; empty before the first document.
struct RoutingSource {
    std::uint64_t version = 0;
    std::string source;

    template <typename Archive> void serialize(Archive& archive) { archive(this->version, this->source); }
};

/// Evacuation of a data centre in force.
struct Evacuation {
    std::string dataCentre;
    /// Milliseconds since 1970 by the state leader's clock when it began.
    std::int64_t since = 0;

    friend bool operator==(const Evacuation&, const Evacuation&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(this->dataCentre, this->since); }
};

/// Answer to QueryEvacuations, in the order of the data centres' names.
struct EvacuationList {
    std::vector<Evacuation> evacuations;

    template <typename Archive> void serialize(Archive& archive) { archive(this->evacuations); }
};

/// Answer without content.
struct Done {
    template <typename Archive> void serialize(Archive&) { }
};

/// Answer to a StateRequest.
struct StateReply {
    std::uint64_t requestId = 0;
    StateRefusal refusal = StateRefusal::None;
    /// Detail of a refusal; for NotLeader the leader's address when known.
    std::string detail;
    /// Append only: the index is part of the format.
    std::variant<Done, FleetView, LeaseGrant, ChangeAccepted, ReportAnswer, AuditAnswer, ReplicaStatus, RoutingSource,
        FleetChanges, EvacuationList>
        body;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->requestId, this->refusal, this->detail, this->body);
    }
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Messages::StateRefusal> {
    static constexpr std::string_view type = "StateRefusal";
    static constexpr std::array<std::pair<Messages::StateRefusal, std::string_view>, 9> names { {
        { Messages::StateRefusal::None, "none" },
        { Messages::StateRefusal::NotLeader, "not-leader" },
        { Messages::StateRefusal::NoQuorum, "no-quorum" },
        { Messages::StateRefusal::VersionConflict, "version-conflict" },
        { Messages::StateRefusal::InvalidChange, "invalid-change" },
        { Messages::StateRefusal::LeaseHeld, "lease-held" },
        { Messages::StateRefusal::UnknownMember, "unknown-member" },
        { Messages::StateRefusal::StorageFailed, "storage-failed" },
        { Messages::StateRefusal::Busy, "busy" },
    } };
};

}
