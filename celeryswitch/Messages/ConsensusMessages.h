#pragma once

#include "celeryswitch/Core/EnumNames.h"
#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace celeryswitch::Messages {

/// Identity of a replica's data folder: the replica's name and a random part; a lost disk means a new one.
using ReplicaId = std::string;
/// Number of an election; at most one leader a term.
using Term = std::uint64_t;
/// Position in the replicated log; the first entry has 1.
using LogIndex = std::uint64_t;

/// A replica and the address of its frame listener.
struct ReplicaInfo {
    ReplicaId id;
    std::string address;

    friend bool operator==(const ReplicaInfo&, const ReplicaInfo&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(this->id, this->address); }
};

/// Replicas of the log: voters decide, learners only receive.
struct ReplicaGroup {
    std::vector<ReplicaInfo> voters;
    std::vector<ReplicaInfo> learners;

    /// Whether a replica votes.
    bool hasVoter(const ReplicaId& id) const
    {
        return std::any_of(this->voters.begin(), this->voters.end(), [&](const auto& voter) { return voter.id == id; });
    }
    /// Whether a replica is a learner.
    bool hasLearner(const ReplicaId& id) const
    {
        return std::any_of(
            this->learners.begin(), this->learners.end(), [&](const auto& learner) { return learner.id == id; });
    }

    friend bool operator==(const ReplicaGroup&, const ReplicaGroup&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(this->voters, this->learners); }
};

/// What an entry of the replicated log holds.
enum class EntryKind : std::uint8_t {
    /// Nothing; a new leader's first entry.
    Empty,
    /// A command of the state machine.
    Command,
    /// A ReplicaGroup, in force as soon as it is in the log.
    Group,
};

/// Entry of the replicated log.
struct LogEntry {
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Empty;
    std::string payload;

    friend bool operator==(const LogEntry&, const LogEntry&) = default;
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->index, this->term, this->kind, this->payload);
    }
};

/// State of the machine after the entry `lastIndex`.
struct Snapshot {
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    ReplicaGroup group;
    std::string data;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->lastIndex, this->lastTerm, this->group, this->data);
    }
};

/// Candidate to voters. A pre-vote asks whether a vote would be granted and changes nothing at the voter.
struct VoteRequest {
    ReplicaId from;
    Term term = 0;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool isPreVote = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->from, this->term, this->lastIndex, this->lastTerm, this->isPreVote);
    }
};

/// Answer to VoteRequest; `term` is the requested one when granted, else the voter's.
struct VoteReply {
    ReplicaId from;
    Term term = 0;
    bool isGranted = false;
    bool isPreVote = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->from, this->term, this->isGranted, this->isPreVote);
    }
};

/// Leader to a replica: entries after `previousIndex`; without entries a heartbeat.
struct AppendRequest {
    ReplicaId from;
    std::string leaderAddress;
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    /// Number of the leader's broadcast; echoed, so that the leader knows which reads are confirmed.
    std::uint64_t round = 0;
    std::vector<LogEntry> entries;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->from, this->leaderAddress, this->term, this->previousIndex, this->previousTerm, this->commitIndex,
            this->round, this->entries);
    }
};

/// Answer to AppendRequest.
struct AppendReply {
    ReplicaId from;
    Term term = 0;
    std::uint64_t round = 0;
    bool isAccepted = false;
    /// When accepted the last entry known to be equal and synced, else the last entry that may be equal.
    LogIndex matchIndex = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->from, this->term, this->round, this->isAccepted, this->matchIndex);
    }
};

/// Leader to a replica that lacks entries which are no longer in the leader's log: part of an encoded Snapshot.
struct InstallSnapshot {
    ReplicaId from;
    std::string leaderAddress;
    Term term = 0;
    std::uint64_t round = 0;
    LogIndex lastIndex = 0;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string bytes;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->from, this->leaderAddress, this->term, this->round, this->lastIndex, this->offset,
            this->totalBytes, this->bytes);
    }
};

/// Answer to InstallSnapshot: bytes received so far; all of them once the snapshot is synced.
struct InstallSnapshotReply {
    ReplicaId from;
    Term term = 0;
    std::uint64_t round = 0;
    LogIndex lastIndex = 0;
    std::uint64_t receivedBytes = 0;
    bool isInstalled = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->from, this->term, this->round, this->lastIndex, this->receivedBytes, this->isInstalled);
    }
};

/// Sent between replicas while one of them is not part of a group; the first group is formed from the answers of all.
struct ReplicaAnnouncement {
    std::string name;
    ReplicaInfo replica;
    /// Whether the sender is part of a group, or has been in one that it was replaced in.
    bool isFormed = false;
    /// Group that the sender was formed with.
    ReplicaGroup initialGroup;
    bool isReplyWanted = false;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(this->name, this->replica, this->isFormed, this->initialGroup, this->isReplyWanted);
    }
};

/// Replica that is about to stop, to the leader: asks for the group to do without its vote, if it can. Sent again until
/// it is answered.
struct DepartureRequest {
    ReplicaId from;

    template <typename Archive> void serialize(Archive& archive) { archive(this->from); }
};

/// Answer to DepartureRequest, once the sender may stop: it is out of the group, or the group keeps its vote.
struct DepartureReply {
    ReplicaId from;
    bool isVoteKept = false;

    template <typename Archive> void serialize(Archive& archive) { archive(this->from, this->isVoteKept); }
};

/// Every frame between state replicas after Hello. Append only: the index is part of the format.
using ConsensusMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot,
    InstallSnapshotReply, ReplicaAnnouncement, DepartureRequest, DepartureReply>;

}

namespace celeryswitch::Core {

template <> struct EnumTable<Messages::EntryKind> {
    static constexpr std::string_view type = "EntryKind";
    static constexpr std::array<std::pair<Messages::EntryKind, std::string_view>, 3> names { {
        { Messages::EntryKind::Empty, "empty" },
        { Messages::EntryKind::Command, "command" },
        { Messages::EntryKind::Group, "group" },
    } };
};

}
