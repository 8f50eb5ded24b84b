#pragma once

#include "celeryswitch/Consensus/ReplicaTypes.h"
#include "celeryswitch/Storage/RecordLog.h"
#include "celeryswitch/Storage/SnapshotFile.h"

namespace celeryswitch::Consensus {

/// Stores what a replica promises, in a data folder.
class ReplicaStore {
public:
    /// Reads what is stored. `recovered` keeps its initial group. Errors: those of Storage; damaged data names file and
    /// offset.
    static Core::Result<ReplicaStore> open(
        Storage::FileSystem& files, const std::string& folder, RecoveredState& recovered);

    /// Opens the folder again after an error, and writes all that was read from it anew: the system may show content
    /// that a failed sync did not store, and a disk that was full may still be so.
    static Core::Result<ReplicaStore> reopen(
        Storage::FileSystem& files, const std::string& folder, RecoveredState& recovered);

    /// Carries out operations in order; all of them are durable on return. Neighbouring ones share one sync. After an
    /// error the store must not be used any more.
    Core::Result<void> apply(const std::vector<StorageOperation>& operations);
    /// Bytes of a torn last write that were dropped when the folder was opened.
    std::uint64_t droppedBytes() const { return this->log.droppedBytes(); }

private:
    ReplicaStore(Storage::RecordLog log, Storage::SnapshotFile snapshot)
        : log(std::move(log))
        , snapshot(std::move(snapshot))
    {
    }

    // Begins a new log with the term and the entries of a snapshot's operation.
    Core::Result<void> restartLog(const SaveSnapshot& saved);

    Storage::RecordLog log;
    Storage::SnapshotFile snapshot;
};

}
