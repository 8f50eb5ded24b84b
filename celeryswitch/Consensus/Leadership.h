#pragma once

#include "celeryswitch/Consensus/ReplicaTypes.h"
#include <deque>
#include <map>
#include <optional>

namespace celeryswitch::Consensus {

/// What a leader knows of one other replica.
struct Progress {
    /// Next entry to send.
    LogIndex next = 1;
    /// Last entry that the replica has confirmed.
    LogIndex match = 0;
    /// Newest broadcast that the replica has answered, and when that one was sent.
    std::uint64_t answeredRound = 0;
    Core::SteadyTime answeredRoundTime;
    /// Encoded snapshot under way; null when entries are sent.
    std::shared_ptr<const std::string> transfer;
    LogIndex transferIndex = 0;
    std::uint64_t transferOffset = 0;
    /// When the part at `transferOffset` was last sent.
    Core::SteadyTime transferSentAt;
};

/// A leader's books for one term: progress of the replicas, broadcasts, reads that wait and the replacement under way.
class Leadership {
public:
    /// A replacement of a replica that an operator asked for.
    struct Replacement {
        std::uint64_t token = 0;
        ReplicaId oldId;
        Messages::ReplicaInfo replacement;
    };

    /// `self` is the leader; `firstIndex` is the first entry of its term.
    Leadership(ReplicaId self, LogIndex firstIndex);

    /// First entry of the term; reads wait until it is committed, so that all earlier entries are known to be.
    LogIndex firstIndex() const { return this->first; }
    /// Follows a change of the group. New replicas are sent entries from `next` on.
    void groupChanged(Core::SteadyTime now, const ReplicaGroup& group, LogIndex next);
    /// Progress of a replica, or null when it is not in the group.
    Progress* find(const ReplicaId& id);
    /// Progress of every other replica of the group.
    std::map<ReplicaId, Progress>& all() { return this->progress; }
    const std::map<ReplicaId, Progress>& all() const { return this->progress; }

    /// Number of the current broadcast.
    std::uint64_t round() const { return this->currentRound; }
    /// Begins a broadcast.
    void beginRound(Core::SteadyTime now);
    /// Records an answer to a broadcast.
    void answered(Progress& replica, std::uint64_t round);
    /// Newest broadcast that a majority of the voters has answered.
    std::uint64_t confirmedRound(const ReplicaGroup& group) const;
    /// Last entry that a majority of the voters has; `ownIndex` counts for the leader.
    LogIndex majorityIndex(const ReplicaGroup& group, LogIndex ownIndex) const;
    /// Whether a majority has answered a broadcast sent after `since`.
    bool hasQuorumSince(Core::SteadyTime since, const ReplicaGroup& group) const;

    /// When a broadcast began that a majority has answered since.
    Core::SteadyTime quorumContact(Core::SteadyTime now, const ReplicaGroup& group) const;

    /// Adds a read; it needs an answer to a broadcast that begins after now.
    void addRead(std::uint64_t token) { this->reads.emplace_back(this->currentRound + 1, token); }
    /// Whether a read waits for a broadcast that has not begun.
    bool isRoundWanted() const { return !this->reads.empty() && this->reads.back().first > this->currentRound; }
    /// Takes the reads that the broadcast `round` confirms.
    std::vector<std::uint64_t> takeReads(std::uint64_t round);
    /// Takes all reads, when the leadership ends.
    std::vector<std::uint64_t> takeAllReads() { return this->takeReads(UINT64_MAX); }

    /// The replacement under way.
    std::optional<Replacement> replacement;

private:
    // The largest value that a majority of the voters reaches, the leader counting with `own`.
    template <typename F> std::uint64_t majority(const ReplicaGroup& group, std::uint64_t own, F&& valueOf) const;

    ReplicaId self;
    LogIndex first;
    std::map<ReplicaId, Progress> progress;
    std::uint64_t currentRound = 0;
    /// When recent broadcasts began.
    std::deque<std::pair<std::uint64_t, Core::SteadyTime>> roundTimes;
    /// Reads by the broadcast that they need.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> reads;
};

}
