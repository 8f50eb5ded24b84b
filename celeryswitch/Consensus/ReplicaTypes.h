#pragma once

#include "celeryswitch/Consensus/ReplicaLog.h"
#include "celeryswitch/Core/Clock.h"
#include <string>
#include <variant>
#include <vector>

namespace celeryswitch::Consensus {

/// Settings of a replica; fixed for its life.
struct ReplicaSettings {
    ReplicaId id;
    /// Address that this replica gives as the leader's.
    std::string address;
    Core::Duration heartbeatInterval = std::chrono::milliseconds(100);
    /// Bounds of the random time without a leader after which an election is tried.
    Core::Duration electionTimeoutMinimum = std::chrono::milliseconds(400);
    Core::Duration electionTimeoutMaximum = std::chrono::milliseconds(800);
    /// The same for a replica that has just started. It is shorter, because after a loss of all replicas nobody leads;
    /// a pre-vote keeps a replica that starts alone from disturbing a leader.
    Core::Duration firstElectionTimeoutMinimum = std::chrono::milliseconds(30);
    Core::Duration firstElectionTimeoutMaximum = std::chrono::milliseconds(200);
    /// Largest part of the log and of a snapshot in one message.
    std::size_t messageBytes = 512 * 1024;
    /// Entries that a replica may be sent beyond what it has confirmed.
    std::size_t unconfirmedEntriesLimit = 1024;
    /// Entries proposed and not committed beyond which proposals are refused.
    std::size_t uncommittedEntriesLimit = 4096;
    std::uint64_t seed = 1;

    /// Mechanisms that tests switch off, to show that the schedule explorer notices; true in every real process.
    bool isSyncedBeforeVote = true;
    bool isSyncedBeforeAcknowledged = true;
    bool isLogComparedBeforeVote = true;
    bool isCommitLimitedToOwnTerm = true;
    bool isReadConfirmed = true;
    bool isPreVoteUsed = true;
    bool isQuorumChecked = true;
    bool isGroupChangeSerialized = true;
};

/// What a replica reads from its data folder at its start.
struct RecoveredState {
    Term term = 0;
    ReplicaId votedFor;
    /// Null before the first snapshot; the log then begins with the group that the replica was formed with.
    SnapshotPointer snapshot;
    ReplicaGroup initialGroup;
    std::vector<LogEntry> entries;
};

/// Time has passed.
struct TimePassed { };
/// A message of another replica.
struct MessageReceived {
    Messages::ConsensusMessage message;
};
/// Append a command, if this replica leads.
struct Propose {
    std::uint64_t token = 0;
    std::string command;
};
/// Answer a read once it is certain that no newer leader exists.
struct Read {
    std::uint64_t token = 0;
};
/// Put the new replica in the place of the old one, if this replica leads. Without an old one the new one is added;
/// without a new one the old one is removed.
struct Replace {
    std::uint64_t token = 0;
    ReplicaId oldId;
    Messages::ReplicaInfo replacement;
};
/// All storage operations up to this sequence are synced.
struct StorageSynced {
    std::uint64_t sequence = 0;
};
/// A storage operation failed; nothing after it was written.
struct StorageFailed {
    std::string detail;
};
/// The state machine's content after the entry `index`, to shorten the log.
struct SnapshotTaken {
    LogIndex index = 0;
    std::string data;
};

/// Everything that a replica reacts to.
using ReplicaEvent
    = std::variant<TimePassed, MessageReceived, Propose, Read, Replace, StorageSynced, StorageFailed, SnapshotTaken>;

/// Store the term and the vote.
struct SaveTerm {
    Term term = 0;
    ReplicaId votedFor;

    template <typename Archive> void serialize(Archive& archive) { archive(this->term, this->votedFor); }
};
/// Store entries after the stored ones.
struct SaveEntries {
    std::vector<LogEntry> entries;

    template <typename Archive> void serialize(Archive& archive) { archive(this->entries); }
};
/// Forget the stored entry `first` and all after it.
struct ForgetEntries {
    LogIndex first = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(this->first); }
};
/// Store a snapshot and replace the stored log by these entries.
struct SaveSnapshot {
    SnapshotPointer snapshot;
    Term term = 0;
    ReplicaId votedFor;
    std::vector<LogEntry> entries;
};

/// A write; they are done in order.
using StorageOperation = std::variant<SaveTerm, SaveEntries, ForgetEntries, SaveSnapshot>;

/// A message to another replica.
struct Outgoing {
    /// Without an address the message is an answer, sent on the connection that the other replica opened.
    Messages::ReplicaInfo to;
    Messages::ConsensusMessage message;
};

/// A proposal that was put in the log; it is decided when an entry with this index is committed.
struct Placed {
    std::uint64_t token = 0;
    LogIndex index = 0;
    Term term = 0;
};

/// What a step asks for, in this order: storage, restore, apply, the rest.
struct ReplicaActions {
    std::vector<StorageOperation> storage;
    /// Sequence of the last storage operation so far; StorageSynced returns it.
    std::uint64_t storageSequence = 0;
    /// Set when the state machine has to be restored from the log's snapshot.
    SnapshotPointer restore;
    /// Entries to apply, in order.
    std::vector<LogEntry> committed;
    std::vector<Outgoing> messages;
    std::vector<Placed> placed;
    /// Proposals, reads and replacements refused because this replica does not lead.
    std::vector<std::uint64_t> notLeader;
    /// Proposals refused because too many are not committed.
    std::vector<std::uint64_t> busy;
    /// Reads that may be answered from the applied state.
    std::vector<std::uint64_t> confirmedReads;
    /// Replacements that are complete.
    std::vector<std::uint64_t> replaced;
    /// Replacements refused because neither replica is a voter.
    std::vector<std::uint64_t> unknownReplica;
    /// Whether this replica stopped leading: proposals that are not decided may or may not be accepted later.
    bool hasLostLeadership = false;
};

}
