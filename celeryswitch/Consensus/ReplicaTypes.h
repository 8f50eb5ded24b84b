#pragma once

#include "celeryswitch/Consensus/ReplicaLog.h"
#include "celeryswitch/Core/Clock.h"
#include <string>
#include <variant>
#include <vector>

namespace celeryswitch::Consensus {

/// Settings of a replica; they can't change while it runs.
struct ReplicaSettings {
    ReplicaId id;
    /// Address that this replica announces when it is the leader.
    std::string address;
    Core::Duration heartbeatInterval = std::chrono::milliseconds(100);
    /// Bounds of the random election timeout.
    Core::Duration electionTimeoutMinimum = std::chrono::milliseconds(400);
    Core::Duration electionTimeoutMaximum = std::chrono::milliseconds(800);
    /// Bounds of the first election timeout after a start. It is shorter because there is no leader after all replicas
    /// have failed; the pre-vote keeps a single restarted replica from disrupting an existing leader.
    Core::Duration firstElectionTimeoutMinimum = std::chrono::milliseconds(30);
    Core::Duration firstElectionTimeoutMaximum = std::chrono::milliseconds(200);
    /// Bounds of a candidate's election timeout after its first election. A split vote is repeated soon, as no leader
    /// can be disturbed; the bounds double with each further election, up to those above, so that votes that take long,
    /// as with slow disks, still arrive in time.
    Core::Duration candidateTimeoutMinimum = std::chrono::milliseconds(50);
    Core::Duration candidateTimeoutMaximum = std::chrono::milliseconds(250);
    /// Maximum bytes of log entries or of a snapshot in one message.
    std::size_t messageBytes = 512 * 1024;
    /// Maximum entries sent to a replica beyond the last it has acknowledged.
    std::size_t unconfirmedEntriesLimit = 1024;
    /// Number of uncommitted entries at which further proposals are refused.
    std::size_t uncommittedEntriesLimit = 4096;
    std::uint64_t seed = 1;

    /// Safety mechanisms. Tests disable them to verify that the schedule explorer detects the resulting violations;
    /// always true in production.
    bool isSyncedBeforeVote = true;
    bool isSyncedBeforeAcknowledged = true;
    bool isLogComparedBeforeVote = true;
    bool isCommitLimitedToOwnTerm = true;
    bool isReadConfirmed = true;
    bool isPreVoteUsed = true;
    bool isQuorumChecked = true;
    bool isGroupChangeSerialized = true;
};

/// State that a replica reads from its data folder at startup.
struct RecoveredState {
    Term term = 0;
    ReplicaId votedFor;
    /// Null before the first snapshot; the log then starts with `initialGroup`.
    SnapshotPointer snapshot;
    ReplicaGroup initialGroup;
    std::vector<LogEntry> entries;
};

/// Lets the replica check its deadlines.
struct Tick { };
/// A message from another replica.
struct MessageReceived {
    Messages::ConsensusMessage message;
};
/// Appends a command to the log. Refused if this replica is not the leader.
struct Propose {
    std::uint64_t token = 0;
    std::string command;
};
/// Linearizable read: it is confirmed once a majority has acknowledged this leader after the request.
struct Read {
    std::uint64_t token = 0;
};
/// Replaces the old replica with the new one. Without an old id the new replica is added; without a new id the old one
/// is removed. Refused if this replica is not the leader.
struct Replace {
    std::uint64_t token = 0;
    ReplicaId oldId;
    Messages::ReplicaInfo replacement;
};
/// All storage operations up to this sequence are synced.
struct StorageSynced {
    std::uint64_t sequence = 0;
};
/// A storage operation has failed; later operations were not written.
struct StorageFailed {
    std::string detail;
};
/// State machine snapshot as of the entry `index`, used to compact the log.
struct SnapshotTaken {
    LogIndex index = 0;
    std::string data;
};

/// Input of a replica.
using ReplicaEvent
    = std::variant<Tick, MessageReceived, Propose, Read, Replace, StorageSynced, StorageFailed, SnapshotTaken>;

/// Stores the term and the vote.
struct SaveTerm {
    Term term = 0;
    ReplicaId votedFor;

    template <typename Archive> void serialize(Archive& archive) { archive(this->term, this->votedFor); }
};
/// Appends entries to the stored log.
struct SaveEntries {
    std::vector<LogEntry> entries;

    template <typename Archive> void serialize(Archive& archive) { archive(this->entries); }
};
/// Removes the stored entry `first` and all after it.
struct TruncateEntries {
    LogIndex first = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->first); }
};
/// Stores a snapshot and replaces the stored log with these entries.
struct SaveSnapshot {
    SnapshotPointer snapshot;
    Term term = 0;
    ReplicaId votedFor;
    std::vector<LogEntry> entries;
};

/// A storage operation; operations are applied in order.
using StorageOperation = std::variant<SaveTerm, SaveEntries, TruncateEntries, SaveSnapshot>;

/// A message to another replica.
struct OutgoingMessage {
    /// The address is empty for replies, which are sent on the connection that the other replica opened.
    Messages::ReplicaInfo to;
    Messages::ConsensusMessage message;
};

/// A proposal that was appended to the log. Its outcome is known once an entry with this index is committed: it
/// succeeded if that entry has the same term.
struct AppendedProposal {
    std::uint64_t token = 0;
    LogIndex index = 0;
    Term term = 0;
};

/// Actions resulting from an event, to be carried out in this order: storage, restore, apply, the rest.
struct ReplicaActions {
    std::vector<StorageOperation> storage;
    /// Sequence of the last storage operation so far; StorageSynced returns it.
    std::uint64_t storageSequence = 0;
    /// Set if the state machine has to be restored from this snapshot.
    SnapshotPointer snapshotToRestore;
    /// Committed entries to apply, in order.
    std::vector<LogEntry> committedEntries;
    std::vector<OutgoingMessage> messages;
    std::vector<AppendedProposal> appendedProposals;
    /// Proposals, reads and replacements refused because this replica is not the leader.
    std::vector<std::uint64_t> notLeader;
    /// Proposals refused because too many entries are uncommitted.
    std::vector<std::uint64_t> busy;
    /// Reads that can now be served from the applied state.
    std::vector<std::uint64_t> confirmedReads;
    /// Completed replacements.
    std::vector<std::uint64_t> completedReplacements;
    /// Replacements refused because neither replica belongs to the group.
    std::vector<std::uint64_t> unknownReplica;
    /// Whether this replica has lost leadership. The outcome of uncommitted proposals is then unknown.
    bool hasLostLeadership = false;
};

}
