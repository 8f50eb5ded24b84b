#include "celeryswitch/Sidecar/SidecarCore.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Network/MessageCodec.h"
#include <algorithm>

namespace celeryswitch::Sidecar {

using Messages::TaskOutcome;
using Messages::TaskReason;

namespace {

// Limits of one PartitionRecords message in response to RecoverPartition.
constexpr std::size_t recordsPerPart = 500;
constexpr std::size_t bytesPerPart = 1024 * 1024;
// Total size of result bodies, in bytes, at which a batch is sent.
constexpr std::size_t bytesPerBatch = 512 * 1024;
// Minimum time between requests for a newer configuration.
constexpr std::chrono::milliseconds configurationFetchInterval { 500 };

}

SidecarCore::SidecarCore(SidecarCoreSettings settings)
    : settings(std::move(settings))
    , fence([this] {
        Ownership::TaskFenceSettings fenceSettings = this->settings.fence;
        fenceSettings.incarnation = this->settings.identity.incarnation;
        return fenceSettings;
    }())
    , allocator(this->settings.identity.slots)
    , batcher(this->settings.resultsPerBatch, bytesPerBatch)
    , isEndpointDown(this->settings.startsWithProbe)
{
    this->allocator.setAccepting(!this->isDraining());
    if (this->isEndpointDown)
        this->nextProbe = Core::SteadyTime::min();
}

void SidecarCore::connectionOpened(Core::SteadyTime now, ConnectionId connectionId)
{
    this->unidentifiedConnections[connectionId] = now;
}

void SidecarCore::connectionClosed(ConnectionId connectionId)
{
    this->unidentifiedConnections.erase(connectionId);
    const auto found = this->connections.find(connectionId);
    if (found == this->connections.end())
        return;
    const Core::InstanceId entryId = found->second;
    this->disconnect(this->entries.at(entryId), entryId);
}

void SidecarCore::frameReceived(
    Core::SteadyTime now, Core::WallTime wallNow, ConnectionId connectionId, Messages::PeerMessage message)
{
    ++this->counters.framesReceived;
    if (this->unidentifiedConnections.contains(connectionId)) {
        const auto* hello = std::get_if<Messages::Hello>(&message);
        if (hello && hello->role == Messages::Role::Entry && !hello->instanceId.empty())
            return this->handleHello(now, connectionId, *hello);
        this->unidentifiedConnections.erase(connectionId);
        this->addAction(CloseConnection { connectionId });
        return;
    }
    const auto found = this->connections.find(connectionId);
    if (found == this->connections.end())
        return;
    const Core::InstanceId entryId = found->second;
    this->entries.at(entryId).lastMessageAt = now;
    if (auto* start = std::get_if<Messages::StartTasks>(&message))
        this->handle(now, wallNow, entryId, *start);
    else if (const auto* revoke = std::get_if<Messages::RevokeTasks>(&message))
        this->handle(now, entryId, *revoke);
    else if (const auto* creditReturn = std::get_if<Messages::CreditReturn>(&message))
        this->handle(now, entryId, *creditReturn);
    else if (const auto* recover = std::get_if<Messages::RecoverPartition>(&message))
        this->handle(entryId, *recover);
    else if (const auto* delivery = std::get_if<Messages::ConfigurationDelivery>(&message))
        this->handle(now, *delivery);
}

void SidecarCore::handleHello(Core::SteadyTime now, ConnectionId connectionId, const Messages::Hello& hello)
{
    this->unidentifiedConnections.erase(connectionId);
    Entry& entry = this->entries[hello.instanceId];
    if (entry.connectionId != 0) {
        this->addAction(CloseConnection { entry.connectionId });
        this->disconnect(entry, hello.instanceId);
    }
    entry.connectionId = connectionId;
    entry.lastMessageAt = now;
    this->connections[connectionId] = hello.instanceId;
    this->allocator.addEntry(hello.instanceId, hello.dataCentre == this->settings.identity.dataCentre);
    this->allocator.setQueuedTasks(hello.instanceId, static_cast<std::uint32_t>(entry.queue.size()));
    this->send(hello.instanceId, this->settings.identity);
    this->assignSlots(now);
    // The update is sent even without credits, since it carries the first clock sample.
    entry.isUpdateDue = true;
}

void SidecarCore::heartbeatReceived(
    Core::SteadyTime now, const Messages::EntryHeartbeat& heartbeat, const std::string& fromAddress)
{
    Entry& entry = this->entries[heartbeat.instanceId];
    entry.lastMessageAt = entry.lastHeartbeat = now;
    entry.heartbeatAddress = fromAddress;
    if (entry.connectionId == 0)
        return;
    this->allocator.setBacklog(now, heartbeat.instanceId, heartbeat.backlog);
    this->allocator.clearPendingRecall(heartbeat.instanceId);
    if (heartbeat.configurationVersion > this->configuration.version && now >= this->nextConfigurationFetch) {
        this->nextConfigurationFetch = now + configurationFetchInterval;
        this->send(heartbeat.instanceId, Messages::FetchConfiguration { this->configuration.version });
    }
}

void SidecarCore::handle(
    Core::SteadyTime now, Core::WallTime wallNow, const Core::InstanceId& entryId, Messages::StartTasks& message)
{
    this->allocator.setBacklog(now, entryId, message.backlog);
    const std::uint32_t used = this->allocator.consume(entryId, message.credits);
    const TaskReason reason = this->refusal(now, message, used);
    const bool isStale = reason == TaskReason::StaleEpoch || reason == TaskReason::StaleClockEcho;
    Entry& entry = this->entries.at(entryId);
    std::deque<QueuedTask> accepted;
    for (Messages::TaskStart& task : message.tasks) {
        const Core::TaskKey key { message.jobId, task.taskIndex };
        if (this->fence.record(key)) {
            ++this->counters.duplicates;
            if (!isStale)
                this->answerDuplicate(now, entryId, key);
        } else if (reason != TaskReason::None) {
            this->answerNeverStarted(now, entryId, key, reason);
        } else {
            CELERY_ASSERT(this->fence.accept(wallNow, message, task.taskIndex));
            ++this->counters.accepted;
            std::optional<Core::SteadyTime> deadline;
            if (task.deadlineMicroseconds != 0)
                deadline = now + std::chrono::microseconds(task.deadlineMicroseconds);
            this->queuedBytes += task.payload.size();
            accepted.push_back({ key, message.partition, message.jobTaskCount, message.team, message.kind,
                std::move(task.payload), deadline, now });
        }
    }
    this->queuedCount += accepted.size();
    if (!accepted.empty())
        this->jobTasks[message.jobId].queued += static_cast<std::uint32_t>(accepted.size());
    // Tasks that the message spends credits on go ahead of older queued ones, which wait for further slots.
    const auto firstQueued = accepted.begin() + std::min<std::ptrdiff_t>(used, std::ssize(accepted));
    entry.queue.insert(
        entry.queue.end(), std::make_move_iterator(firstQueued), std::make_move_iterator(accepted.end()));
    entry.queue.insert(
        entry.queue.begin(), std::make_move_iterator(accepted.begin()), std::make_move_iterator(firstQueued));
    this->startQueued(now, entryId, used);
}

TaskReason SidecarCore::refusal(Core::SteadyTime now, const Messages::StartTasks& message, std::uint32_t used)
{
    const TaskReason reason = this->fence.check(now, message);
    if (reason != TaskReason::None)
        return reason;
    if (this->isDraining())
        return this->isStopping ? TaskReason::ShuttingDown : TaskReason::Draining;
    if (used < message.credits)
        return TaskReason::NoCredit;
    std::size_t bytes = 0;
    for (const Messages::TaskStart& task : message.tasks)
        bytes += task.payload.size();
    if (this->queuedCount + message.tasks.size() > this->settings.queuedTasksLimit
        || this->queuedBytes + bytes > this->settings.queuedBytesLimit)
        return TaskReason::QueueFull;
    return TaskReason::None;
}

void SidecarCore::answerDuplicate(Core::SteadyTime now, const Core::InstanceId& entryId, const Core::TaskKey& task)
{
    // A queued or running task is answered when it ends. A recorded task must never be answered as never started.
    const auto record = this->fence.record(task);
    if (record->state == Messages::FenceState::Finished)
        this->batcher.add(entryId, task.jobId, record->result, now);
}

void SidecarCore::handle(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::RevokeTasks& message)
{
    const auto counts = this->jobTasks.find(message.jobId);
    if (counts == this->jobTasks.end() || counts->second.queued == 0)
        return;
    const std::set<std::uint32_t> indexes(message.taskIndexes.begin(), message.taskIndexes.end());
    Entry& entry = this->entries.at(entryId);
    std::deque<QueuedTask> kept;
    std::deque<QueuedTask> all = std::move(entry.queue);
    entry.queue.clear();
    for (QueuedTask& task : all) {
        const bool isRevoked
            = task.task.jobId == message.jobId && (indexes.empty() || indexes.contains(task.task.taskIndex));
        (isRevoked ? entry.queue : kept).push_back(std::move(task));
    }
    while (!entry.queue.empty())
        this->answerNeverStarted(now, entryId, this->popQueue(entry).task, TaskReason::Revoked);
    entry.queue = std::move(kept);
    this->allocator.setQueuedTasks(entryId, static_cast<std::uint32_t>(entry.queue.size()));
}

void SidecarCore::handle(Core::SteadyTime now, const Core::InstanceId& entryId, const Messages::CreditReturn& message)
{
    this->allocator.setBacklog(now, entryId, message.backlog);
    this->allocator.creditsReturned(entryId, message.credits);
}

void SidecarCore::handle(const Core::InstanceId& entryId, const Messages::RecoverPartition& message)
{
    const bool isOwner = this->fence.raise(message.partition, message.epoch);
    if (isOwner)
        this->transferTasks(message.partition, entryId);
    // A replaced owner gets no records, but the epoch of the current owner.
    Messages::PartitionRecords part { message.partition, this->fence.epoch(message.partition),
        this->settings.identity.incarnation, false, {} };
    std::size_t bytes = 0;
    if (isOwner) {
        for (Messages::FenceRecord& record : this->fence.records(message.partition)) {
            if (part.records.size() == recordsPerPart || bytes > bytesPerPart) {
                this->send(entryId, part);
                part.records.clear();
                bytes = 0;
            }
            bytes += record.result.body.size();
            part.records.push_back(std::move(record));
        }
    }
    part.isLastPart = true;
    this->send(entryId, std::move(part));
}

void SidecarCore::transferTasks(Core::PartitionId partition, const Core::InstanceId& entryId)
{
    Entry& owner = this->entries.at(entryId);
    for (auto& [otherId, other] : this->entries) {
        if (otherId == entryId)
            continue;
        std::deque<QueuedTask> kept;
        for (QueuedTask& task : other.queue)
            (task.partition == partition ? owner.queue : kept).push_back(std::move(task));
        other.queue = std::move(kept);
        this->allocator.setQueuedTasks(otherId, static_cast<std::uint32_t>(other.queue.size()));
    }
    this->allocator.setQueuedTasks(entryId, static_cast<std::uint32_t>(owner.queue.size()));
    for (auto& [key, task] : this->running) {
        if (task.partition == partition)
            task.entryId = entryId;
    }
}

void SidecarCore::handle(Core::SteadyTime now, const Messages::ConfigurationDelivery& message)
{
    if (message.version <= this->configuration.version)
        return;
    auto document = Network::decodeMessage<Configuration::ConfigurationDocument>(message.document);
    if (!document || document.value().version != message.version)
        return;
    this->configuration = std::move(document).value();
    const bool wasDraining = this->isDraining();
    const Configuration::Scope scope { this->settings.identity.service, {}, {}, this->settings.identity.instanceId,
        this->settings.identity.dataCentre };
    this->isDrainedByOperator = this->configuration.value(Configuration::ConfigurationKey::EndpointDrained, scope) != 0;
    // Reports the new version to the entries at once.
    this->nextHeartbeat = now;
    this->drainingChanged(now, wasDraining);
}

void SidecarCore::probeFinished(Core::SteadyTime now, bool isReachable)
{
    if (!this->isEndpointDown)
        return;
    if (!isReachable) {
        this->nextProbe = now + this->settings.probeInterval;
        return;
    }
    const bool wasDraining = this->isDraining();
    this->isEndpointDown = false;
    this->refusedConnections = 0;
    this->endpointRecovered(now);
    this->drainingChanged(now, wasDraining);
}

void SidecarCore::stop(Core::SteadyTime now)
{
    const bool wasDraining = this->isDraining();
    this->isStopping = true;
    this->nextHeartbeat = now;
    this->drainingChanged(now, wasDraining);
}

void SidecarCore::drainingChanged(Core::SteadyTime now, bool wasDraining)
{
    if (this->isDraining() == wasDraining)
        return;
    this->allocator.setAccepting(!this->isDraining());
    this->nextHeartbeat = now;
    if (this->isDraining())
        this->refuseQueue(now, this->isStopping ? TaskReason::ShuttingDown : TaskReason::Draining);
}

void SidecarCore::refuseQueue(Core::SteadyTime now, TaskReason reason)
{
    for (auto& [entryId, entry] : this->entries) {
        while (!entry.queue.empty())
            this->answerNeverStarted(now, entryId, this->popQueue(entry).task, reason);
        this->allocator.setQueuedTasks(entryId, 0);
    }
}

void SidecarCore::answerNeverStarted(
    Core::SteadyTime now, const Core::InstanceId& entryId, const Core::TaskKey& task, TaskReason reason)
{
    ++this->counters.neverStarted;
    this->fence.forget(task);
    Messages::TaskResult result;
    result.taskIndex = task.taskIndex;
    result.outcome = TaskOutcome::NeverStarted;
    result.reason = reason;
    this->addResult(entryId, task.jobId, std::move(result), now);
}

void SidecarCore::addResult(
    const Core::InstanceId& entryId, const Core::JobId& jobId, Messages::TaskResult result, Core::SteadyTime dueAt)
{
    // Without a connection the entry recovers the result from the fence; a task that never started has no record there.
    const auto entry = this->entries.find(entryId);
    if (entry != this->entries.end() && entry->second.connectionId != 0)
        this->batcher.add(entryId, jobId, std::move(result), dueAt);
}

void SidecarCore::disconnect(Entry& entry, const Core::InstanceId& entryId)
{
    this->connections.erase(entry.connectionId);
    entry.connectionId = 0;
    entry.granted = entry.recalled = 0;
    entry.grantDueAt = Core::SteadyTime::max();
    entry.isUpdateDue = false;
    this->batcher.drop(entryId);
    this->allocator.removeEntry(entryId);
}

void SidecarCore::addAction(Action action) { this->actions.push_back(std::move(action)); }

void SidecarCore::send(const Core::InstanceId& entryId, Messages::PeerMessage message)
{
    const auto entry = this->entries.find(entryId);
    if (entry == this->entries.end() || entry->second.connectionId == 0)
        return;
    ++this->counters.framesSent;
    this->addAction(SendFrame { entry->second.connectionId, std::move(message) });
}

}
