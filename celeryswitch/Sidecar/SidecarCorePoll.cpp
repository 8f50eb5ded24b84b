#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Sidecar/SidecarCore.h"
#include <algorithm>

namespace celeryswitch::Sidecar {

using Messages::TaskOutcome;
using Messages::TaskReason;

namespace {

// Queue length at which an entry with more tasks is told early, so that the slots don't run dry.
constexpr std::size_t lowQueue = 2;
// Time for a new connection to say Hello.
constexpr std::chrono::seconds greetingLimit { 2 };
// Time between two looks for expired records.
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
        this->act(ProbeEndpoint {});
    }
    this->releaseSlots(now);
    this->assignSlots(now);
    this->sendResults(now);
    this->sendCredits(now);
    this->sendHeartbeats(now);
    this->closeSilent(now);
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
        ++this->tally.started;
        const Configuration::Scope scope { this->settings.identity.service, task.kind, task.team,
            this->settings.identity.instanceId, this->settings.identity.dataCentre };
        const std::chrono::milliseconds timeout(
            this->configuration.value(Configuration::ConfigurationKey::TaskTimeoutMilliseconds, scope));
        this->act(StartCall { task.task, std::move(task.kind), std::move(task.payload), timeout });
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

    const Core::SteadyTime grantDueBefore = this->grantDue(ended.entryId);
    this->judgeEndpoint(now, call.result, ended.creditEntryId);
    this->assignSlots(now);
    call.result.taskIndex = call.task.taskIndex;
    call.result.queueMicroseconds = ended.queueMicroseconds;
    if (call.result.outcome == TaskOutcome::NeverStarted)
        return this->answerNeverStarted(now, ended.entryId, call.task, call.result.reason);
    this->fence.markFinished(wallNow, call.task.jobId, call.result);
    ++(call.result.outcome == TaskOutcome::Succeeded     ? this->tally.succeeded
            : call.result.outcome == TaskOutcome::Failed ? this->tally.failed
                                                         : this->tally.unconfirmed);
    const Core::SteadyTime dueAt = this->resultDue(now, call.task, ended);
    // A credit that goes back with a held result waits for it.
    const auto entry = this->entries.find(ended.entryId);
    if (entry != this->entries.end() && entry->second.granted > 0)
        entry->second.grantDueAt = std::min(grantDueBefore, dueAt);
    this->addResult(ended.entryId, call.task.jobId, std::move(call.result), dueAt);
}

Core::SteadyTime SidecarCore::grantDue(const Core::InstanceId& entryId) const
{
    const auto entry = this->entries.find(entryId);
    return entry != this->entries.end() ? entry->second.grantDueAt : Core::SteadyTime::max();
}

void SidecarCore::judgeEndpoint(
    Core::SteadyTime now, const Messages::TaskResult& result, const Core::InstanceId& creditEntryId)
{
    // An answer below 500 speaks of the request, not of the endpoint.
    const bool isHealthy = result.outcome == TaskOutcome::Succeeded
        || (result.outcome == TaskOutcome::Failed && result.statusCode != 0 && result.statusCode < 500);
    if (isHealthy) {
        this->refusedConnections = 0;
        if (this->health.failuresInARow() != 0)
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

Core::SteadyTime SidecarCore::resultDue(Core::SteadyTime now, const Core::TaskKey& task, const RunningTask& ended) const
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
        // With another idle credit here the entry does not miss this one.
        const bool hasOther = this->allocator.idle(ended.entryId) > entry->second.granted;
        return now + (hasOther ? this->settings.longHold : this->settings.shortHold);
    }
    const bool isRunningDry = isWaiting && entry->second.queue.size() <= lowQueue;
    return now + (isRunningDry ? this->settings.shortHold : this->settings.longHold);
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
    // Starting queued tasks frees slots again when a deadline has passed.
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
        if (entry.heartbeatAddress.empty() || entry.lastHeartbeat + this->settings.silenceLimit < now)
            continue;
        ++this->tally.heartbeatsSent;
        this->act(SendHeartbeat { entry.heartbeatAddress, heartbeat });
    }
}

void SidecarCore::closeSilent(Core::SteadyTime now)
{
    std::erase_if(this->greeting, [&](const auto& opened) {
        if (opened.second + greetingLimit >= now)
            return false;
        this->act(CloseConnection { opened.first });
        return true;
    });
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const auto current = entry++;
        if (current->second.lastHeard + this->settings.silenceLimit >= now)
            continue;
        if (current->second.connectionId != 0) {
            this->act(CloseConnection { current->second.connectionId });
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
