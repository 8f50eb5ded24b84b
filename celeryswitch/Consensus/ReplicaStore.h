#pragma once

#include "celeryswitch/Consensus/ReplicaTypes.h"
#include "celeryswitch/Storage/RecordLog.h"
#include "celeryswitch/Storage/SnapshotFile.h"

namespace celeryswitch::Consensus {

/// Durable storage of a replica's term, vote, log and snapshot in a data folder.
class ReplicaStore {
public:
    /// Opens the folder and reads the stored state into `recovered`, whose initial group is left unchanged. Errors:
    /// those of Storage; for damaged data they name the file and offset.
    static Core::Result<ReplicaStore> open(
        Storage::FileSystem& files, const std::string& folder, RecoveredState& recovered);

    /// Reopens the folder after an error and rewrites everything read from it: after a failed sync the page cache may
    /// contain data that is not on the disk, and a full disk may still be full.
    static Core::Result<ReplicaStore> reopen(
        Storage::FileSystem& files, const std::string& folder, RecoveredState& recovered);

    /// Applies operations in order; all are durable on return. Consecutive log operations share one sync. The store
    /// must not be used after an error.
    Core::Result<void> apply(const std::vector<StorageOperation>& operations);
    /// Bytes of an incomplete last write that were discarded when the folder was opened.
    std::uint64_t droppedBytes() const { return this->log.droppedBytes(); }

private:
    ReplicaStore(Storage::RecordLog log, Storage::SnapshotFile snapshot)
        : log(std::move(log))
        , snapshot(std::move(snapshot))
    {
    }

    // Starts a new log with the term, vote and entries of a snapshot operation.
    Core::Result<void> restartLog(const SaveSnapshot& saved);

    Storage::RecordLog log;
    Storage::SnapshotFile snapshot;
};

}
