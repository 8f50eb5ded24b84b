#include "celeryswitch/State/StorageThread.h"

#include <algorithm>

namespace celeryswitch::State {

namespace {

constexpr std::size_t ringCapacity = 1024;

}

StorageThread::StorageThread(Consensus::ReplicaStore store, std::function<void()> onOutcome)
    : store(std::move(store))
    , batches(ringCapacity, [this] { this->wakeup.notify(); })
    , finished(ringCapacity, std::move(onOutcome))
    , thread([this] { this->run(); })
{
}

StorageThread::~StorageThread()
{
    this->isStopping = true;
    this->wakeup.notify();
    this->thread.join();
}

SyncTimes StorageThread::syncTimes() const
{
    const std::lock_guard<std::mutex> guard(this->timesMutex);
    return this->times;
}

void StorageThread::run()
{
    bool hasFailed = false;
    while (!this->isStopping) {
        StorageBatch merged;
        this->batches.drain([&](StorageBatch&& batch) {
            std::move(batch.operations.begin(), batch.operations.end(), std::back_inserter(merged.operations));
            merged.sequence = batch.sequence;
        });
        if (merged.operations.empty() || hasFailed) {
            this->wakeup.waitUntil(std::chrono::steady_clock::now() + std::chrono::seconds(1));
            continue;
        }
        const Core::SteadyTime begin = std::chrono::steady_clock::now();
        const Core::Result<void> result = this->store.apply(merged.operations);
        const Core::Duration time = std::chrono::steady_clock::now() - begin;
        {
            const std::lock_guard<std::mutex> guard(this->timesMutex);
            ++this->times.count;
            this->times.total += time;
            this->times.longest = std::max(this->times.longest, time);
        }
        hasFailed = !result;
        const StorageOutcome outcome { merged.sequence, result ? std::string() : result.error().message() };
        while (!this->finished.tryPush(StorageOutcome(outcome)) && !this->isStopping)
            std::this_thread::yield();
    }
}

}
