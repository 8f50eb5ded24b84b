#include "celeryswitch/State/StorageThread.h"

#include <algorithm>

namespace celeryswitch::State {

namespace {

constexpr std::size_t ringCapacity = 1024;
// Time between two attempts to open the storage again.
constexpr Core::Duration reopenInterval = std::chrono::milliseconds(500);

}

StorageThread::StorageThread(Consensus::ReplicaStore store, Reopen reopen, std::function<void()> onOutcome)
    : store(std::move(store))
    , reopen(std::move(reopen))
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
            if (batch.opening != this->openings)
                return;
            std::move(batch.operations.begin(), batch.operations.end(), std::back_inserter(merged.operations));
            merged.sequence = batch.sequence;
        });
        if (hasFailed) {
            this->wakeup.waitUntil(Core::BootClock::now() + reopenInterval);
            hasFailed = !this->openAgain();
        } else if (merged.operations.empty()) {
            this->wakeup.waitUntil(Core::BootClock::now() + std::chrono::seconds(1));
        } else {
            hasFailed = !this->apply(merged);
        }
    }
}

bool StorageThread::apply(const StorageBatch& batch)
{
    const Core::SteadyTime begin = Core::BootClock::now();
    const Core::Result<void> result = this->store.apply(batch.operations);
    const Core::Duration time = Core::BootClock::now() - begin;
    {
        const std::lock_guard<std::mutex> guard(this->timesMutex);
        ++this->times.count;
        this->times.total += time;
        this->times.longest = std::max(this->times.longest, time);
    }
    this->lastFailure = result ? std::string() : result.error().message();
    this->report({ batch.sequence, this->lastFailure, nullptr });
    return result.has_value();
}

bool StorageThread::openAgain()
{
    if (this->isStopping)
        return false;
    auto recovered = std::make_shared<Consensus::RecoveredState>();
    Core::Result<Consensus::ReplicaStore> opened = this->reopen(*recovered);
    if (!opened) {
        // The same reason is told once.
        const std::string reason = opened.error().message();
        if (std::exchange(this->lastFailure, reason) != reason)
            this->report({ 0, reason, nullptr });
        return false;
    }
    this->store = std::move(opened).value();
    ++this->openings;
    this->report({ 0, {}, std::move(recovered) });
    return true;
}

void StorageThread::report(const StorageOutcome& outcome)
{
    while (!this->finished.tryPush(StorageOutcome(outcome)) && !this->isStopping)
        std::this_thread::yield();
}

}
