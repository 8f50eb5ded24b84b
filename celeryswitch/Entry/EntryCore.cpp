#include "celeryswitch/Entry/EntryCore.h"

#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>

namespace celeryswitch::Entry {

namespace {

// Resolution of timers that need no exact time.
constexpr Core::Duration tickInterval = std::chrono::milliseconds(20);
constexpr Core::Duration slowTickInterval = std::chrono::seconds(1);
// Time without a connection to an entry after which its partitions are asked for.
constexpr Core::Duration takeoverAfter = std::chrono::seconds(3);

}

EntryCore::EntryCore(EntryCoreSettings settings)
    : context(std::move(settings))
    , dispatcher({ this->context.settings.identity.dataCentre, this->context.settings.identity.rack,
          Dispatch::DispatcherSettings {}.crossDataCentreDelay, this->context.settings.seed })
    , table({ this->context.settings.isJobTableLookedUp })
    , report(this->context)
    , links(this->context, this->dispatcher,
          { [this](const Core::InstanceId& sidecarId) { this->sidecarOpened(sidecarId); },
              [this](const Core::InstanceId& sidecarId) { this->runner.sidecarLost(sidecarId); } })
    , runner(this->context, this->dispatcher, this->table, this->leases, this->links, this->report,
          [this](const Core::JobId& jobId) { this->requests.jobFinished(jobId); })
    , driver(this->context, this->leases, this->report,
          { [this](Core::PartitionId partition) { this->partitionGained(partition); },
              [this](Core::PartitionId partition) { this->partitionLost(partition); },
              [this](const std::vector<Core::PartitionId>& partitions) { this->requests.acquireEnded(partitions); },
              [this](const Messages::FleetView& view) { this->viewReceived(view); } })
    , forwarding(this->context,
          { [this](RequestId requestId, Messages::ForwardedAnswer answer) {
               this->requests.forwardAnswered(requestId, std::move(answer));
           },
              [this](RequestId requestId, Messages::JobOperation operation) {
                  this->requests.forwardLost(requestId, operation);
              } })
    , requests(this->context, this->table, this->leases, this->driver, this->runner, this->forwarding)
{
}

void EntryCore::setTime(Core::SteadyTime now, std::int64_t wallMilliseconds)
{
    this->context.now = std::max(this->context.now, now);
    this->context.wallMilliseconds = std::max(this->context.wallMilliseconds, wallMilliseconds);
}

void EntryCore::handle(Core::SteadyTime now, std::int64_t wallMilliseconds, EntryEvent event)
{
    this->setTime(now, wallMilliseconds);
    std::visit([this](auto&& alternative) { this->handle(std::move(alternative)); }, std::move(event));
}

void EntryCore::handle(CallerRequest event)
{
    const RequestOrigin origin { 0, event.requestId };
    this->requests.handle(origin, std::move(event));
}

void EntryCore::handle(const ConnectionOpened& event)
{
    if (this->links.isLink(event.connectionId))
        this->links.opened(event.connectionId);
    else if (this->forwarding.isLink(event.connectionId))
        this->forwarding.opened(event.connectionId);
    else if (event.connectionId % 2 == 1)
        this->accepted[event.connectionId];
    else
        this->context.act(CloseConnection { event.connectionId });
}

void EntryCore::handle(const ConnectionClosed& event)
{
    this->links.closed(event.connectionId);
    this->forwarding.closed(event.connectionId);
    this->accepted.erase(event.connectionId);
}

void EntryCore::handle(FrameReceived event)
{
    ++this->context.counters.messagesReceived;
    if (this->links.isLink(event.connectionId))
        this->sidecarFrame(event.connectionId, event.message);
    else if (this->forwarding.isLink(event.connectionId))
        this->entryFrame(event.connectionId, event.message);
    else if (this->accepted.contains(event.connectionId))
        this->acceptedFrame(event.connectionId, event.message);
}

void EntryCore::handle(const DatagramReceived& event)
{
    if (const auto* heartbeat = std::get_if<Messages::SidecarHeartbeat>(&event.datagram))
        this->links.heartbeatReceived(*heartbeat);
}

void EntryCore::handle(const StateReplied& event) { this->driver.replied(event); }

void EntryCore::handle(const StopRequested&)
{
    this->isStopping = true;
    this->requests.beginStop();
}

void EntryCore::sidecarFrame(ConnectionId connectionId, Messages::PeerMessage& message)
{
    if (const auto* hello = std::get_if<Messages::Hello>(&message)) {
        this->links.helloReceived(connectionId, *hello);
        return;
    }
    const Core::InstanceId sidecarId = *this->links.sidecarOf(connectionId);
    if (this->links.connectionOf(sidecarId) != connectionId)
        return;
    if (const auto* results = std::get_if<Messages::TaskResults>(&message))
        this->runner.resultsReceived(sidecarId, *results);
    else if (const auto* update = std::get_if<Messages::CreditUpdate>(&message))
        this->links.creditUpdated(sidecarId, *update);
    else if (auto* records = std::get_if<Messages::PartitionRecords>(&message))
        this->recordsReceived(sidecarId, connectionId, *records);
    else if (const auto* fetch = std::get_if<Messages::FetchConfiguration>(&message))
        this->deliverConfiguration(connectionId, fetch->knownVersion);
}

void EntryCore::entryFrame(ConnectionId connectionId, Messages::PeerMessage& message)
{
    if (const auto* hello = std::get_if<Messages::Hello>(&message))
        this->forwarding.helloReceived(connectionId, *hello);
    else if (const auto* answer = std::get_if<Messages::ForwardedAnswer>(&message))
        this->forwarding.answerReceived(*answer);
}

void EntryCore::acceptedFrame(ConnectionId connectionId, Messages::PeerMessage& message)
{
    Core::InstanceId& peer = this->accepted[connectionId];
    if (const auto* hello = std::get_if<Messages::Hello>(&message)) {
        if (peer.empty())
            this->context.send(connectionId, this->context.settings.identity);
        peer = hello->instanceId;
    } else if (auto* forwarded = std::get_if<Messages::ForwardSubmission>(&message)) {
        this->requests.handle({ connectionId, forwarded->requestId },
            { forwarded->requestId, forwarded->operation, forwarded->waitMilliseconds,
                std::move(forwarded->submission) });
    } else if (const auto* usage = std::get_if<Messages::TeamUsage>(&message)) {
        this->forwarding.heard(peer);
        this->dispatcher.teamUsageReceived(this->context.now, peer, *usage);
    } else if (const auto* fetch = std::get_if<Messages::FetchConfiguration>(&message)) {
        this->deliverConfiguration(connectionId, fetch->knownVersion);
    }
}

void EntryCore::recordsReceived(
    const Core::InstanceId& sidecarId, ConnectionId connectionId, Messages::PartitionRecords& part)
{
    const Messages::PartitionOwner* owner = this->leases.owner(part.partition);
    if (!owner || owner->epoch != part.epoch)
        return;
    std::vector<Messages::FenceRecord>& records = this->partialRecords[{ sidecarId, part.partition }];
    records.insert(records.end(), part.records.begin(), part.records.end());
    Ownership::PartitionRecovery* recovery = this->driver.recovery(part.partition);
    if (recovery)
        recovery->addRecords(sidecarId, part);
    if (!part.isLastPart)
        return;
    const std::vector<Messages::FenceRecord> whole = std::move(records);
    this->partialRecords.erase({ sidecarId, part.partition });
    this->runner.reconcile(sidecarId, connectionId, part.partition, whole);
    if (!recovery)
        return;
    this->runner.rebuild(part.partition, recovery->takeRecords());
    this->runner.settleMissing(*recovery, this->driver.isRecoveryOver(part.partition));
    this->requests.partitionReady(part.partition);
}

void EntryCore::sidecarOpened(const Core::InstanceId& sidecarId)
{
    const ConnectionId connectionId = this->links.connectionOf(sidecarId);
    std::erase_if(this->partialRecords, [&](const auto& records) { return records.first.first == sidecarId; });
    for (const Core::PartitionId partition : this->leases.held())
        this->context.send(
            connectionId, Messages::RecoverPartition { partition, this->leases.owner(partition)->epoch });
}

void EntryCore::partitionGained(Core::PartitionId partition)
{
    if (this->driver.recovery(partition))
        this->links.sendToAll(Messages::RecoverPartition { partition, this->leases.owner(partition)->epoch });
    this->requests.partitionReady(partition);
}

void EntryCore::partitionLost(Core::PartitionId partition)
{
    std::erase_if(this->partialRecords, [&](const auto& records) { return records.first.second == partition; });
    this->requests.jobsDropped(this->runner.dropPartition(partition));
}

void EntryCore::viewReceived(const Messages::FleetView& view)
{
    this->links.setMembers(view.members);
    this->forwarding.setMembers(view.members);
    if (view.configurationVersion <= this->configurationVersion)
        return;
    auto document = Network::decodeMessage<Configuration::ConfigurationDocument>(view.configuration);
    if (!document)
        return;
    this->configurationVersion = view.configurationVersion;
    this->dispatcher.setConfiguration(std::move(document.value()));
}

void EntryCore::deliverConfiguration(ConnectionId connectionId, Core::ConfigurationVersion knownVersion)
{
    if (this->configurationVersion > knownVersion)
        this->context.send(connectionId,
            Messages::ConfigurationDelivery { this->configurationVersion, this->driver.view().configuration });
}

std::vector<EntryAction> EntryCore::poll(Core::SteadyTime now, std::int64_t wallMilliseconds)
{
    this->setTime(now, wallMilliseconds);
    if (this->context.now >= this->nextTick) {
        this->nextTick = after(this->context.now, tickInterval);
        this->links.tick(this->configurationVersion);
        this->forwarding.tick();
        this->driver.tick();
        this->requests.tick();
        if (this->isStopping)
            this->tickStop();
    }
    if (this->context.now >= this->nextSlowTick) {
        this->nextSlowTick = after(this->context.now, slowTickInterval);
        this->tickSlowly();
    }
    if (this->driver.isLeaseValid() || !this->context.settings.isLeaseChecked)
        this->runner.dispatch();
    return std::exchange(this->context.actions, {});
}

Core::SteadyTime EntryCore::nextWakeUp() const
{
    return std::min(this->nextTick, this->dispatcher.nextWakeUp().value_or(this->nextTick));
}

EntrySnapshot EntryCore::snapshot() const
{
    return { this->context.counters, this->table.runningCount(), this->table.size(), this->table.storedBytes(),
        this->requests.waitingCount(), this->links.openCount(), this->leases.held().size(), this->configurationVersion,
        this->driver.isLeaseValid() && this->driver.isFresh() && !this->isStopping };
}

void EntryCore::tickSlowly()
{
    this->table.expire(this->context.wallMilliseconds);
    // Sent without content, too: entries notice each other's silence by it.
    this->forwarding.sendToAll(this->dispatcher.takeTeamUsage(this->context.now));
    for (const Core::PartitionId partition : this->leases.held()) {
        const Ownership::PartitionRecovery* recovery = this->driver.recovery(partition);
        if (recovery)
            this->runner.settleMissing(*recovery, this->driver.isRecoveryOver(partition));
    }
    if (this->isStopping)
        return;
    // Jobs of a dead entry are recovered although their callers may never ask again.
    const std::vector<Core::InstanceId> unreachable = this->forwarding.unreachableFor(takeoverAfter);
    std::vector<Core::PartitionId> orphaned;
    for (const auto& [partition, owner] : this->driver.view().partitions) {
        if (std::find(unreachable.begin(), unreachable.end(), owner.owner) != unreachable.end()
            && !this->leases.owner(partition))
            orphaned.push_back(partition);
    }
    if (!orphaned.empty())
        this->driver.acquire(orphaned);
}

void EntryCore::tickStop()
{
    if (this->isStopped)
        return;
    if (this->driver.hasLeft()) {
        this->isStopped = true;
        this->context.act(StopFinished {});
        return;
    }
    const bool isIdle = this->table.runningCount() == 0 && this->requests.waitingCount() == 0 && this->report.isEmpty();
    if (isIdle && !this->isLeaving) {
        this->isLeaving = true;
        this->driver.leave();
    }
}

}
