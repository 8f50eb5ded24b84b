#pragma once

#include "celeryswitch/Messages/ConsensusMessages.h"
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace celeryswitch::Consensus {

using Messages::LogEntry;
using Messages::LogIndex;
using Messages::ReplicaGroup;
using Messages::ReplicaId;
using Messages::Snapshot;
using Messages::Term;

using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// The replicated log in memory: a snapshot and the entries after it, with the group of replicas that they name.
class ReplicaLog {
public:
    /// `snapshot` is never null; `entries` continue it.
    ReplicaLog(SnapshotPointer snapshot, std::vector<LogEntry> entries);

    /// Index of the last entry, or of the snapshot when there is none.
    LogIndex lastIndex() const { return this->newestSnapshot->lastIndex + this->entries.size(); }
    /// Term of the last entry.
    Term lastTerm() const { return *this->termAt(this->lastIndex()); }
    /// Term of an entry; nothing when it is not in the log or lies before the snapshot's last.
    std::optional<Term> termAt(LogIndex index) const;
    /// An entry after the snapshot.
    const LogEntry& at(LogIndex index) const { return this->entries[index - this->newestSnapshot->lastIndex - 1]; }
    /// Entries from `first` on, at least one when there is one, up to about `maximumBytes`.
    std::vector<LogEntry> slice(LogIndex first, std::size_t maximumBytes) const;
    /// The newest snapshot.
    const SnapshotPointer& snapshot() const { return this->newestSnapshot; }
    /// The group in force: that of the newest Group entry, committed or not.
    const ReplicaGroup& group() const { return this->groups.back().second; }
    /// Index of the entry that brought the group in force.
    LogIndex groupIndex() const { return this->groups.back().first; }
    /// The group in force after the entry `index`.
    const ReplicaGroup& groupAt(LogIndex index) const;

    /// Appends the next entry.
    void append(LogEntry entry);
    /// Removes the entry `first` and all after it.
    void truncateFrom(LogIndex first);
    /// Takes a newer snapshot; entries after its last one are kept when the log holds that very entry.
    void replaceSnapshot(SnapshotPointer snapshot);

private:
    SnapshotPointer newestSnapshot;
    std::deque<LogEntry> entries;
    /// Groups by the index of their entry; the first is the snapshot's.
    std::vector<std::pair<LogIndex, ReplicaGroup>> groups;
};

/// Index up to which the log is known to be synced, while writes are under way.
class DurableIndex {
public:
    explicit DurableIndex(LogIndex index)
        : index(index)
    {
    }
    /// Last entry that is synced.
    LogIndex value() const { return this->index; }
    /// A write with this sequence ends the log at `lastIndex`.
    void written(std::uint64_t sequence, LogIndex lastIndex) { this->pending.emplace_back(sequence, lastIndex); }
    /// Entries from `first` on were replaced in memory, so that earlier writes no longer count for them.
    void truncated(LogIndex first);
    /// All writes up to this sequence are synced.
    void synced(std::uint64_t sequence);

private:
    LogIndex index;
    std::deque<std::pair<std::uint64_t, LogIndex>> pending;
};

}
