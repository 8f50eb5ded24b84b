#pragma once

#include "celeryswitch/Consensus/ReplicaTypes.h"
#include <deque>
#include <map>
#include <optional>

namespace celeryswitch::Consensus {

/// Replication progress of one other replica, as tracked by the leader.
struct Progress {
    /// Index of the next entry to send.
    LogIndex nextIndex = 1;
    /// Index of the last entry that the replica has acknowledged as durable.
    LogIndex matchIndex = 0;
    /// Newest broadcast round that the replica has acknowledged, and the time at which that round began.
    std::uint64_t acknowledgedRound = 0;
    Core::SteadyTime acknowledgedRoundStart;
    /// Encoded snapshot being transferred; null while log entries are replicated.
    std::shared_ptr<const std::string> encodedSnapshot;
    LogIndex snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    /// When the chunk at `snapshotOffset` was last sent.
    Core::SteadyTime chunkSentAt;
};

/// Volatile state of a leader for one term: replication progress, broadcast rounds, pending reads and the group change
/// in progress.
class LeaderState {
public:
    /// Replacement of a replica, as requested by an operator or by the automatic group control.
    struct Replacement {
        std::uint64_t token = 0;
        ReplicaId oldId;
        Messages::ReplicaInfo replacement;
    };

    /// `self` is the leader's id; `firstIndex` is the index of the first entry of its term.
    LeaderState(ReplicaId self, LogIndex firstIndex);

    /// Index of the first entry of the term. Reads wait until it is committed, because that commits all earlier
    /// entries.
    LogIndex firstIndex() const { return this->firstTermIndex; }
    /// Applies a new group configuration. Replicas that were not tracked before receive entries from index `next` on.
    void updateGroup(Core::SteadyTime now, const ReplicaGroup& group, LogIndex next);
    /// Progress of a replica; null if it is not in the group.
    Progress* find(const ReplicaId& id);
    /// Progress of every other replica of the group.
    std::map<ReplicaId, Progress>& all() { return this->progress; }
    const std::map<ReplicaId, Progress>& all() const { return this->progress; }

    /// Number of the current broadcast round.
    std::uint64_t round() const { return this->currentRound; }
    /// Begins a broadcast round.
    void beginRound(Core::SteadyTime now);
    /// Records a replica's reply to a broadcast round.
    void recordReply(Progress& replica, std::uint64_t round);
    /// Newest round that a majority of the voters has acknowledged.
    std::uint64_t confirmedRound(const ReplicaGroup& group) const;
    /// Highest index that a majority of the voters has stored; `ownIndex` is the leader's own.
    LogIndex majorityIndex(const ReplicaGroup& group, LogIndex ownIndex) const;
    /// Whether a majority of the voters has acknowledged a round that began at `since` or later.
    bool hasQuorumSince(Core::SteadyTime since, const ReplicaGroup& group) const;

    /// Start time of the newest round that a majority of the voters has acknowledged.
    Core::SteadyTime lastQuorumContact(Core::SteadyTime now, const ReplicaGroup& group) const;

    /// Queues a read; it is confirmed by a majority's acknowledgement of a round that begins after this call.
    void addRead(std::uint64_t token) { this->pendingReads.emplace_back(this->currentRound + 1, token); }
    /// Whether a queued read needs a round that has not begun.
    bool isNewRoundNeeded() const
    {
        return !this->pendingReads.empty() && this->pendingReads.back().first > this->currentRound;
    }
    /// Removes and returns the tokens of the reads that `round` confirms.
    std::vector<std::uint64_t> takeConfirmedReads(std::uint64_t round);
    /// Removes and returns the tokens of all reads, when the leadership ends.
    std::vector<std::uint64_t> takeAllReads() { return this->takeConfirmedReads(UINT64_MAX); }

    /// The replacement in progress.
    std::optional<Replacement> replacement;

private:
    // Largest value that a majority of the voters has reached; `own` is the leader's value.
    template <typename F> std::uint64_t majority(const ReplicaGroup& group, std::uint64_t own, F&& valueOf) const;

    ReplicaId self;
    LogIndex firstTermIndex;
    std::map<ReplicaId, Progress> progress;
    std::uint64_t currentRound = 0;
    /// Start times of recent rounds, by round.
    std::deque<std::pair<std::uint64_t, Core::SteadyTime>> roundStartTimes;
    /// Pending reads: the round that confirms them, and their token.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> pendingReads;
};

}
