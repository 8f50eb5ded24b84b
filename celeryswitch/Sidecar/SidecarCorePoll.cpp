#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Sidecar/SidecarCore.h"
#include <algorithm>

namespace celeryswitch::Sidecar {

using Messages::TaskOutcome;
using Messages::TaskReason;

namespace {

// Queue length up to which results are returned sooner to an entry with more tasks, so that the slots stay busy.
constexpr std::size_t lowQueueLength = 2;
// Time within which a new connection must send Hello.
constexpr std::chrono::seconds helloTimeout { 2 };
// Time between removals of expired fence records.
constexpr std::chrono::seconds expiryInterval { 1 };

}

std::vector<Action> SidecarCore::poll(Core::SteadyTime now, Core::WallTime wallNow)
{
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->fence.removeExpired(wallNow);
    }
    if (now >= this->nextProbe) {
        this->nextProbe = Core::SteadyTime::max();
        this->addAction(ProbeEndpoint {});
    }
    this->releaseSlots(now);
    this->assignSlots(now);
    this->sendResults(now);
    this->sendCredits(now);
    this->sendHeartbeats(now);
    this->closeTimedOutConnections(now);
    return std::exchange(this->actions, {});
}

void SidecarCore::startQueued(Core::SteadyTime now, const Core::InstanceId& entryId, std::uint32_t count)
{
    Entry& entry = this->entries.at(entryId);
    std::uint32_t started = 0;
    while (started < count && !entry.queue.empty()) {
        QueuedTask task = this->popQueue(entry);
        if (task.deadline && *task.deadline <= now) {
            this->answerNeverStarted(now, entryId, task.task, TaskReason::DeadlinePassed);
            continue;
        }
        this->fence.markStarted(task.task);
        const auto queueTime = std::chrono::duration_cast<std::chrono::microseconds>(now - task.acceptedAt);
        this->running[task.task] = { entryId, entryId, task.partition, task.jobTaskCount, queueTime.count() };
        ++this->jobTasks[task.task.jobId].running;
        ++this->counters.started;
        const Configuration::Scope scope { this->settings.identity.service, task.kind, task.team,
            this->settings.identity.instanceId, this->settings.identity.dataCentre };
        const std::chrono::milliseconds timeout(
            this->configuration.value(Configuration::ConfigurationKey::TaskTimeoutMilliseconds, scope));
        this->addAction(StartCall { task.task, std::move(task.kind), std::move(task.payload), timeout });
        ++started;
    }
    this->allocator.setQueuedTasks(entryId, static_cast<std::uint32_t>(entry.queue.size()));
    for (; started < count; ++started)
        this->allocator.slotFreed(entryId);
}

SidecarCore::QueuedTask SidecarCore::popQueue(Entry& entry)
{
    QueuedTask task = std::move(entry.queue.front());
    entry.queue.pop_front();
    --this->queuedCount;
    this->queuedBytes -= task.payload.size();
    const auto counts = this->jobTasks.find(task.task.jobId);
    if (--counts->second.queued == 0 && counts->second.running == 0)
        this->jobTasks.erase(counts);
    return task;
}

void SidecarCore::callFinished(Core::SteadyTime now, Core::WallTime wallNow, CallResult call)
{
    const auto found = this->running.find(call.task);
    CELERY_ASSERT(found != this->running.end());
    const RunningTask ended = std::move(found->second);
    this->running.erase(found);
    const auto counts = this->jobTasks.find(call.task.jobId);
    if (--counts->second.running == 0 && counts->second.queued == 0)
        this->jobTasks.erase(counts);

    const Core::SteadyTime previousGrantDeadline = this->grantDeadline(ended.entryId);
    this->updateEndpointHealth(now, call.result, ended.creditEntryId);
    this->assignSlots(now);
    call.result.taskIndex = call.task.taskIndex;
    call.result.queueMicroseconds = ended.queueMicroseconds;
    if (call.result.outcome == TaskOutcome::NeverStarted)
        return this->answerNeverStarted(now, ended.entryId, call.task, call.result.reason);
    this->fence.markFinished(wallNow, call.task.jobId, call.result);
    ++(call.result.outcome == TaskOutcome::Succeeded     ? this->counters.succeeded
            : call.result.outcome == TaskOutcome::Failed ? this->counters.failed
                                                         : this->counters.unconfirmed);
    const Core::SteadyTime dueAt = this->resultDeadline(now, call.task, ended);
    // A credit that is returned with a delayed result is delayed as well.
    const auto entry = this->entries.find(ended.entryId);
    if (entry != this->entries.end() && entry->second.granted > 0)
        entry->second.grantDueAt = std::min(previousGrantDeadline, dueAt);
    this->addResult(ended.entryId, call.task.jobId, std::move(call.result), dueAt);
}

Core::SteadyTime SidecarCore::grantDeadline(const Core::InstanceId& entryId) const
{
    const auto entry = this->entries.find(entryId);
    return entry != this->entries.end() ? entry->second.grantDueAt : Core::SteadyTime::max();
}

void SidecarCore::updateEndpointHealth(
    Core::SteadyTime now, const Messages::TaskResult& result, const Core::InstanceId& creditEntryId)
{
    // A status below 500 is a property of the request and not a fault of the endpoint.
    const bool isHealthy = result.outcome == TaskOutcome::Succeeded
        || (result.outcome == TaskOutcome::Failed && result.statusCode != 0 && result.statusCode < 500);
    if (isHealthy) {
        this->refusedConnections = 0;
        if (this->health.consecutiveFailures() != 0)
            this->endpointRecovered(now);
        this->allocator.slotFreed(creditEntryId);
        return;
    }
    this->heldSlots.push_back({ this->health.failed(now), creditEntryId });
    if (result.reason != TaskReason::EndpointRefusedConnection
        || ++this->refusedConnections < this->settings.refusalsBeforeDrain || this->isEndpointDown)
        return;
    const bool wasDraining = this->isDraining();
    this->isEndpointDown = true;
    this->nextProbe = now + this->settings.probeInterval;
    this->drainingChanged(now, wasDraining);
}

void SidecarCore::endpointRecovered(Core::SteadyTime now)
{
    this->health.succeeded();
    for (HeldSlot& slot : this->heldSlots)
        slot.releaseAt = now;
    this->releaseSlots(now);
}

Core::SteadyTime SidecarCore::resultDeadline(
    Core::SteadyTime now, const Core::TaskKey& task, const RunningTask& ended) const
{
    if (ended.jobTaskCount < this->settings.batchedJobTasks || !this->jobTasks.contains(task.jobId) || this->isStopping)
        return now;
    const auto entry = this->entries.find(ended.entryId);
    if (entry == this->entries.end())
        return now;
    const bool isWaiting = this->allocator.isWaiting(now, ended.entryId);
    if (entry->second.granted > 0) {
        if (isWaiting)
            return now;
        // The entry has another idle credit for this sidecar and does not need this one yet.
        const bool hasOther = this->allocator.idle(ended.entryId) > entry->second.granted;
        return now + (hasOther ? this->settings.longResultDelay : this->settings.shortResultDelay);
    }
    const bool isQueueLow = isWaiting && entry->second.queue.size() <= lowQueueLength;
    return now + (isQueueLow ? this->settings.shortResultDelay : this->settings.longResultDelay);
}

void SidecarCore::releaseSlots(Core::SteadyTime now)
{
    std::erase_if(this->heldSlots, [&](const HeldSlot& slot) {
        if (slot.releaseAt > now)
            return false;
        this->allocator.slotFreed(slot.creditEntryId);
        return true;
    });
}

void SidecarCore::assignSlots(Core::SteadyTime now)
{
    // Repeated because queued tasks whose deadline has passed free their slots again.
    for (auto changes = this->allocator.assign(now); !changes.empty(); changes = this->allocator.assign(now)) {
        for (const Dispatch::CreditChange& change : changes) {
            Entry& entry = this->entries.at(change.entryId);
            if (change.granted > 0)
                entry.grantDueAt = now;
            entry.granted += change.granted;
            entry.recalled += change.recalled;
            if (change.startedFromQueue > 0)
                this->startQueued(now, change.entryId, change.startedFromQueue);
        }
    }
}

void SidecarCore::sendResults(Core::SteadyTime now)
{
    for (ResultBatch& batch : this->batcher.takeDue(this->isStopping ? Core::SteadyTime::max() : now))
        this->sendBatch(now, std::move(batch));
}

void SidecarCore::sendBatch(Core::SteadyTime now, ResultBatch batch)
{
    Entry& entry = this->entries.at(batch.entryId);
    const std::uint32_t credits = std::exchange(entry.granted, 0);
    entry.grantDueAt = Core::SteadyTime::max();
    this->send(batch.entryId,
        Messages::TaskResults { batch.jobId, std::move(batch.results), credits, Core::toClockSample(now) });
}

void SidecarCore::sendCredits(Core::SteadyTime now)
{
    for (auto& [entryId, entry] : this->entries) {
        const bool isGrantDue = entry.granted > 0 && entry.grantDueAt <= now;
        if (!isGrantDue && entry.recalled == 0 && !entry.isUpdateDue)
            continue;
        if (isGrantDue && entry.recalled == 0 && !entry.isUpdateDue) {
            if (auto batch = this->batcher.takeAny(entryId)) {
                this->sendBatch(now, std::move(*batch));
                continue;
            }
        }
        const Messages::CreditUpdate update { ++entry.creditSequence, std::exchange(entry.granted, 0),
            std::exchange(entry.recalled, 0), Core::toClockSample(now) };
        entry.grantDueAt = Core::SteadyTime::max();
        entry.isUpdateDue = false;
        this->send(entryId, update);
    }
}

void SidecarCore::sendHeartbeats(Core::SteadyTime now)
{
    if (now < this->nextHeartbeat)
        return;
    this->nextHeartbeat = now + this->settings.heartbeatInterval;
    const Messages::SidecarHeartbeat heartbeat { this->settings.identity.instanceId,
        this->settings.identity.incarnation, Core::toClockSample(now),
        this->isDraining() ? 0 : this->allocator.freeSlots(), static_cast<std::uint32_t>(this->queuedCount),
        this->isDraining(), this->configuration.version };
    for (const auto& [entryId, entry] : this->entries) {
        if (entry.heartbeatAddress.empty() || entry.lastHeartbeat + this->settings.entryTimeout < now)
            continue;
        ++this->counters.heartbeatsSent;
        this->addAction(SendHeartbeat { entry.heartbeatAddress, heartbeat });
    }
}

void SidecarCore::closeTimedOutConnections(Core::SteadyTime now)
{
    std::erase_if(this->unidentifiedConnections, [&](const auto& opened) {
        if (opened.second + helloTimeout >= now)
            return false;
        this->addAction(CloseConnection { opened.first });
        return true;
    });
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (current->second.lastMessageAt + this->settings.entryTimeout >= now)
            continue;
        if (current->second.connectionId != 0) {
            this->addAction(CloseConnection { current->second.connectionId });
            this->disconnect(current->second, current->first);
        }
        if (current->second.queue.empty())
            this->entries.erase(current);
    }
}

Core::SteadyTime SidecarCore::nextWakeUp() const
{
    Core::SteadyTime next = std::min({ this->nextHeartbeat, this->nextExpiry, this->nextProbe });
    for (const HeldSlot& slot : this->heldSlots)
        next = std::min(next, slot.releaseAt);
    for (const auto& [entryId, entry] : this->entries) {
        if (entry.granted > 0)
            next = std::min(next, entry.grantDueAt);
    }
    return std::min(next, this->batcher.nextDue().value_or(next));
}

bool SidecarCore::isStopped() const { return this->isStopping && this->running.empty() && this->batcher.isEmpty(); }

}
