#include "celeryswitch/Consensus/ReplicaLog.h"

#include "celeryswitch/Consensus/StoredCodec.h"
#include "celeryswitch/Core/Assert.h"

namespace celeryswitch::Consensus {

ReplicaLog::ReplicaLog(SnapshotPointer snapshot, std::vector<LogEntry> entries)
    : newestSnapshot(std::move(snapshot))
{
    this->groups.emplace_back(this->newestSnapshot->lastIndex, this->newestSnapshot->group);
    for (LogEntry& entry : entries)
        this->append(std::move(entry));
}

std::optional<Term> ReplicaLog::termAt(LogIndex index) const
{
    if (index == this->newestSnapshot->lastIndex)
        return this->newestSnapshot->lastTerm;
    if (index < this->newestSnapshot->lastIndex || index > this->lastIndex())
        return std::nullopt;
    return this->at(index).term;
}

std::vector<LogEntry> ReplicaLog::slice(LogIndex first, std::size_t maximumBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (LogIndex index = first; index <= this->lastIndex() && (result.empty() || bytes < maximumBytes); ++index) {
        result.push_back(this->at(index));
        bytes += result.back().payload.size() + sizeof(LogEntry);
    }
    return result;
}

const ReplicaGroup& ReplicaLog::groupAt(LogIndex index) const
{
    auto found = this->groups.rbegin();
    while (std::next(found) != this->groups.rend() && found->first > index)
        ++found;
    return found->second;
}

void ReplicaLog::append(LogEntry entry)
{
    CELERY_ASSERT(entry.index == this->lastIndex() + 1);
    if (entry.kind == Messages::EntryKind::Group) {
        Core::Result<ReplicaGroup> group = decodeStored<ReplicaGroup>(entry.payload);
        CELERY_ASSERT(group.has_value());
        this->groups.emplace_back(entry.index, std::move(group).value());
    }
    this->entries.push_back(std::move(entry));
}

void ReplicaLog::truncateFrom(LogIndex first)
{
    CELERY_ASSERT(first > this->newestSnapshot->lastIndex);
    while (this->lastIndex() >= first)
        this->entries.pop_back();
    while (this->groups.size() > 1 && this->groups.back().first >= first)
        this->groups.pop_back();
}

void ReplicaLog::replaceSnapshot(SnapshotPointer snapshot)
{
    const bool isSuffixKept = this->termAt(snapshot->lastIndex) == snapshot->lastTerm;
    std::vector<LogEntry> suffix;
    if (isSuffixKept && snapshot->lastIndex < this->lastIndex())
        suffix = this->slice(snapshot->lastIndex + 1, SIZE_MAX);
    *this = ReplicaLog(std::move(snapshot), std::move(suffix));
}

void DurableIndex::recordTruncation(LogIndex first)
{
    this->index = std::min(this->index, first - 1);
    for (auto& write : this->pending)
        write.second = std::min(write.second, first - 1);
}

void DurableIndex::recordSync(std::uint64_t sequence)
{
    while (!this->pending.empty() && this->pending.front().first <= sequence) {
        this->index = this->pending.front().second;
        this->pending.pop_front();
    }
}

}
