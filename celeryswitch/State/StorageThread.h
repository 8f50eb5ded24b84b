#pragma once

#include "celeryswitch/Consensus/ReplicaStore.h"
#include "celeryswitch/Core/Ring.h"
#include "celeryswitch/State/Wakeup.h"
#include <atomic>
#include <mutex>
#include <thread>

namespace celeryswitch::State {

/// Operations that end with the sequence.
struct StorageBatch {
    std::vector<Consensus::StorageOperation> operations;
    std::uint64_t sequence = 0;
    /// How often the storage was opened again before; a batch from before its last opening is dropped.
    std::uint64_t opening = 0;
};

/// Outcome of everything up to a sequence, or a failure, after which nothing is stored until the storage was opened
/// again.
struct StorageOutcome {
    std::uint64_t sequence = 0;
    std::string failure;
    /// Set when the storage was opened again: what it holds.
    std::shared_ptr<Consensus::RecoveredState> reopened;
};

/// Times of the syncs.
struct SyncTimes {
    std::uint64_t count = 0;
    Core::Duration total {};
    Core::Duration longest {};
};

/// Writes and syncs on a thread of its own. What arrives during a sync is written together with the next one. After a
/// failure the storage is opened again as soon as that works: a disk may be full or refuse writes for a while only.
class StorageThread {
public:
    /// Opens the storage anew.
    using Reopen = std::function<Core::Result<Consensus::ReplicaStore>(Consensus::RecoveredState&)>;

    /// `onOutcome` is called on the storage thread after each outcome was put in `outcomes`.
    StorageThread(Consensus::ReplicaStore store, Reopen reopen, std::function<void()> onOutcome);
    ~StorageThread();
    StorageThread(const StorageThread&) = delete;
    StorageThread& operator=(const StorageThread&) = delete;

    /// Gives work to the thread; false when the ring is full, and `batch` is then kept.
    bool tryPush(StorageBatch&& batch) { return this->batches.tryPush(std::move(batch)); }
    /// Outcomes, for the decision thread.
    Core::Ring<StorageOutcome>& outcomes() { return this->finished; }
    /// Times so far.
    SyncTimes syncTimes() const;

private:
    void run();
    // Stores a batch; false after a failure.
    bool apply(const StorageBatch& batch);
    // Tries to open the storage anew; false when it still fails.
    bool openAgain();
    void report(const StorageOutcome& outcome);

    Consensus::ReplicaStore store;
    Reopen reopen;
    /// How often the storage was opened again.
    std::uint64_t openings = 0;
    /// Why the storage failed last.
    std::string lastFailure;
    Wakeup wakeup;
    Core::Ring<StorageBatch> batches;
    Core::Ring<StorageOutcome> finished;
    std::atomic<bool> isStopping { false };
    mutable std::mutex timesMutex;
    SyncTimes times;
    std::thread thread;
};

}
