#include "celeryswitch/Consensus/ReplicaStore.h"

#include "celeryswitch/Consensus/StoredCodec.h"

namespace celeryswitch::Consensus {

using Core::Error;
using Core::Result;
using Storage::StorageError;

namespace {

/// Record of the log file. The variant index is part of the file format, so alternatives may only be appended.
using StoredRecord = std::variant<SaveTerm, SaveEntries, TruncateEntries>;

/// Rebuilds the state of a replica from the records of the log file.
class LogReplay {
public:
    void replay(std::string_view bytes)
    {
        Result<StoredRecord> record = decodeStored<StoredRecord>(bytes);
        if (!record) {
            this->errorText = record.error().message();
            return;
        }
        std::visit([this](auto& alternative) { this->apply(alternative); }, record.value());
    }

    Term term = 0;
    ReplicaId votedFor;
    std::vector<LogEntry> entries;
    std::string errorText;

private:
    void apply(SaveTerm& record)
    {
        this->term = record.term;
        this->votedFor = std::move(record.votedFor);
    }
    void apply(SaveEntries& record)
    {
        for (LogEntry& entry : record.entries) {
            if (!this->entries.empty() && entry.index != this->entries.back().index + 1)
                this->errorText = "entry " + std::to_string(entry.index) + " does not follow the one before it";
            this->entries.push_back(std::move(entry));
        }
    }
    void apply(TruncateEntries& record)
    {
        while (!this->entries.empty() && this->entries.back().index >= record.first)
            this->entries.pop_back();
    }
};

// Removes entries that the snapshot includes. After a crash between writing the snapshot and the new log, the older log
// remains; its later entries are valid only if it contains the snapshot's last entry. Returns false if entries between
// the snapshot and the log are missing.
bool removeEntriesInSnapshot(std::vector<LogEntry>& entries, const SnapshotPointer& snapshot)
{
    const LogIndex covered = snapshot ? snapshot->lastIndex : 0;
    if (entries.empty() || entries.front().index == covered + 1)
        return true;
    if (entries.front().index > covered + 1)
        return false;
    const LogIndex position = covered - entries.front().index;
    if (position >= entries.size() || entries[position].term != snapshot->lastTerm)
        entries.clear();
    else
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(position) + 1);
    return true;
}

}

Result<ReplicaStore> ReplicaStore::open(
    Storage::FileSystem& files, const std::string& folder, RecoveredState& recovered)
{
    Storage::SnapshotFile snapshot(files, folder);
    Result<std::string> content = snapshot.read();
    if (content) {
        BOOST_OUTCOME_TRY(Snapshot decoded, decodeStored<Snapshot>(content.value()));
        recovered.snapshot = std::make_shared<const Snapshot>(std::move(decoded));
    } else if (!content.error().is(StorageError::NotFound)) {
        return content.error();
    }
    LogReplay replay;
    BOOST_OUTCOME_TRY(Storage::RecordLog log,
        Storage::RecordLog::open(files, folder, [&](std::string_view bytes) { replay.replay(bytes); }));
    if (!replay.errorText.empty())
        return Error(StorageError::Damaged, folder + ": " + replay.errorText);
    if (!removeEntriesInSnapshot(replay.entries, recovered.snapshot))
        return Error(StorageError::Damaged, folder + ": entries between the snapshot and the log are missing");
    recovered.term = replay.term;
    recovered.votedFor = std::move(replay.votedFor);
    recovered.entries = std::move(replay.entries);
    return ReplicaStore(std::move(log), std::move(snapshot));
}

Result<ReplicaStore> ReplicaStore::reopen(
    Storage::FileSystem& files, const std::string& folder, RecoveredState& recovered)
{
    BOOST_OUTCOME_TRY(ReplicaStore store, ReplicaStore::open(files, folder, recovered));
    SaveSnapshot all;
    all.term = recovered.term;
    all.votedFor = recovered.votedFor;
    all.entries = recovered.entries;
    if (recovered.snapshot) {
        BOOST_OUTCOME_TRY(store.snapshot.write(Network::encodeMessage(*recovered.snapshot)));
    }
    BOOST_OUTCOME_TRY(store.restartLog(all));
    return store;
}

Result<void> ReplicaStore::restartLog(const SaveSnapshot& saved)
{
    return this->log.restart({ Network::encodeMessage(StoredRecord(SaveTerm { saved.term, saved.votedFor })),
        Network::encodeMessage(StoredRecord(SaveEntries { saved.entries })) });
}

Result<void> ReplicaStore::apply(const std::vector<StorageOperation>& operations)
{
    std::vector<std::string> batch;
    for (const StorageOperation& operation : operations) {
        if (const auto* saved = std::get_if<SaveSnapshot>(&operation)) {
            // The log that is written with the snapshot supersedes the records before it.
            batch.clear();
            BOOST_OUTCOME_TRY(this->snapshot.write(Network::encodeMessage(*saved->snapshot)));
            BOOST_OUTCOME_TRY(this->restartLog(*saved));
            continue;
        }
        std::visit(
            [&](const auto& record) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(record)>, SaveSnapshot>)
                    batch.push_back(Network::encodeMessage(StoredRecord(record)));
            },
            operation);
    }
    if (batch.empty())
        return Core::success();
    return this->log.append(batch);
}

}
