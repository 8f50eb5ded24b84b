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
};

/// Outcome of everything up to a sequence; a failure ends the storage.
struct StorageOutcome {
    std::uint64_t sequence = 0;
    std::string failure;
};

/// Times of the syncs.
struct SyncTimes {
    std::uint64_t count = 0;
    Core::Duration total {};
    Core::Duration longest {};
};

/// Writes and syncs on a thread of its own. What arrives during a sync is written together with the next one.
class StorageThread {
public:
    /// `onOutcome` is called on the storage thread after each outcome was put in `outcomes`.
    StorageThread(Consensus::ReplicaStore store, std::function<void()> onOutcome);
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

    Consensus::ReplicaStore store;
    Wakeup wakeup;
    Core::Ring<StorageBatch> batches;
    Core::Ring<StorageOutcome> finished;
    std::atomic<bool> isStopping { false };
    mutable std::mutex timesMutex;
    SyncTimes times;
    std::thread thread;
};

}
