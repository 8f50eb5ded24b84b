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

/// In-memory copy of the replicated log: a snapshot, the entries after it and the group configurations they contain.
class ReplicaLog {
public:
    /// `snapshot` is never null; `entries` continue it.
    ReplicaLog(SnapshotPointer snapshot, std::vector<LogEntry> entries);

    /// Index of the last entry; that of the snapshot if there are no entries.
    LogIndex lastIndex() const { return this->newestSnapshot->lastIndex + this->entries.size(); }
    /// Term of the last entry.
    Term lastTerm() const { return *this->termAt(this->lastIndex()); }
    /// Term of an entry; std::nullopt if it is not in the log or precedes the snapshot's last entry.
    std::optional<Term> termAt(LogIndex index) const;
    /// Entry at an index after the snapshot's last.
    const LogEntry& at(LogIndex index) const { return this->entries[index - this->newestSnapshot->lastIndex - 1]; }
    /// Entries from `first` on, up to about `maximumBytes` but at least one if any exists.
    std::vector<LogEntry> slice(LogIndex first, std::size_t maximumBytes) const;
    /// The newest snapshot.
    const SnapshotPointer& snapshot() const { return this->newestSnapshot; }
    /// The current group: that of the newest Group entry, committed or not.
    const ReplicaGroup& group() const { return this->groups.back().second; }
    /// Index of the entry that contains the current group.
    LogIndex groupIndex() const { return this->groups.back().first; }
    /// The group as of the entry `index`.
    const ReplicaGroup& groupAt(LogIndex index) const;

    /// Appends the next entry.
    void append(LogEntry entry);
    /// Removes the entry `first` and all after it.
    void truncateFrom(LogIndex first);
    /// Replaces the snapshot by a newer one. Entries after it are kept only if the log contains the snapshot's last
    /// entry with the same term.
    void replaceSnapshot(SnapshotPointer snapshot);

private:
    SnapshotPointer newestSnapshot;
    std::deque<LogEntry> entries;
    /// Groups with the index of their entry; the first is the snapshot's.
    std::vector<std::pair<LogIndex, ReplicaGroup>> groups;
};

/// Tracks the index up to which the log is durable while writes are pending.
class DurableIndex {
public:
    explicit DurableIndex(LogIndex index)
        : index(index)
    {
    }
    /// Index of the last durable entry.
    LogIndex value() const { return this->index; }
    /// Records a write; once it is synced, the log is durable up to `lastIndex`.
    void recordWrite(std::uint64_t sequence, LogIndex lastIndex) { this->pending.emplace_back(sequence, lastIndex); }
    /// Records that entries from `first` on were removed in memory, so earlier writes no longer make them durable.
    void recordTruncation(LogIndex first);
    /// Records that all writes up to this sequence are synced.
    void recordSync(std::uint64_t sequence);

private:
    LogIndex index;
    std::deque<std::pair<std::uint64_t, LogIndex>> pending;
};

}
