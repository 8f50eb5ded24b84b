#include "celeryswitch/Entry/EntryCore.h"

#include "celeryswitch/Configuration/ConfigurationDocument.h"
#include "celeryswitch/Network/MessageCodec.h"
#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>

namespace celeryswitch::Entry {

namespace {

// Resolution of coarse timers.
constexpr Core::Duration tickInterval = std::chrono::milliseconds(20);
constexpr Core::Duration slowTickInterval = std::chrono::seconds(1);
// Time without contact to an entry after which this entry tries to acquire its partitions.
constexpr Core::Duration takeoverDelay = std::chrono::seconds(3);

}

EntryCore::EntryCore(EntryCoreSettings settings)
    : context(std::move(settings))
    , dispatcher({ this->context.settings.identity.dataCentre, this->context.settings.identity.rack,
          Dispatch::DispatcherSettings {}.crossDataCentreDelay, this->context.settings.seed })
    , jobTable({ this->context.settings.isDeduplicationEnabled })
    , reportSender(this->context)
    , sidecarLinks(this->context, this->dispatcher,
          { [this](const Core::InstanceId& sidecarId) { this->sidecarConnected(sidecarId); },
              [this](const Core::InstanceId& sidecarId) { this->jobRunner.sidecarLost(sidecarId); } })
    , jobRunner(this->context, this->dispatcher, this->jobTable, this->leases, this->sidecarLinks, this->reportSender,
          [this](const Core::JobId& jobId) { this->requestHandler.jobFinished(jobId); })
    , ownership(this->context, this->leases, this->reportSender,
          { [this](Core::PartitionId partition) { this->partitionGained(partition); },
              [this](Core::PartitionId partition) { this->partitionLost(partition); },
              [this](const std::vector<Core::PartitionId>& partitions) {
                  this->requestHandler.acquisitionEnded(partitions);
              },
              [this](const Messages::FleetView& view) { this->viewReceived(view); } })
    , entryLinks(this->context,
          { [this](RequestId requestId, Messages::ForwardedAnswer answer) {
               this->requestHandler.forwardAnswered(requestId, std::move(answer));
           },
              [this](RequestId requestId, Messages::JobOperation operation) {
                  this->requestHandler.forwardLost(requestId, operation);
              } })
    , requestHandler(this->context, this->jobTable, this->leases, this->ownership, this->jobRunner, this->entryLinks)
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
    this->requestHandler.handle(origin, std::move(event));
}

void EntryCore::handle(const ConnectionOpened& event)
{
    if (this->sidecarLinks.hasConnection(event.connectionId))
        this->sidecarLinks.connectionOpened(event.connectionId);
    else if (this->entryLinks.hasConnection(event.connectionId))
        this->entryLinks.connectionOpened(event.connectionId);
    else if (event.connectionId % 2 == 1)
        this->acceptedConnections[event.connectionId];
    else
        this->context.addAction(CloseConnection { event.connectionId });
}

void EntryCore::handle(const ConnectionClosed& event)
{
    this->sidecarLinks.connectionClosed(event.connectionId);
    this->entryLinks.connectionClosed(event.connectionId);
    this->acceptedConnections.erase(event.connectionId);
}

void EntryCore::handle(FrameReceived event)
{
    ++this->context.counters.messagesReceived;
    if (this->sidecarLinks.hasConnection(event.connectionId))
        this->handleSidecarFrame(event.connectionId, event.message);
    else if (this->entryLinks.hasConnection(event.connectionId))
        this->handleEntryFrame(event.connectionId, event.message);
    else if (this->acceptedConnections.contains(event.connectionId))
        this->handleAcceptedFrame(event.connectionId, event.message);
}

void EntryCore::handle(const DatagramReceived& event)
{
    if (const auto* heartbeat = std::get_if<Messages::SidecarHeartbeat>(&event.datagram))
        this->sidecarLinks.heartbeatReceived(*heartbeat);
}

void EntryCore::handle(const StateReplyReceived& event) { this->ownership.replyReceived(event); }

void EntryCore::handle(const StopRequested&)
{
    this->isStopping = true;
    this->requestHandler.beginStop();
}

void EntryCore::handleSidecarFrame(ConnectionId connectionId, Messages::PeerMessage& message)
{
    if (const auto* hello = std::get_if<Messages::Hello>(&message)) {
        this->sidecarLinks.helloReceived(connectionId, *hello);
        return;
    }
    const Core::InstanceId sidecarId = *this->sidecarLinks.sidecarOf(connectionId);
    if (this->sidecarLinks.connectionOf(sidecarId) != connectionId)
        return;
    if (const auto* results = std::get_if<Messages::TaskResults>(&message))
        this->jobRunner.resultsReceived(sidecarId, *results);
    else if (const auto* update = std::get_if<Messages::CreditUpdate>(&message))
        this->sidecarLinks.creditUpdateReceived(sidecarId, *update);
    else if (auto* records = std::get_if<Messages::PartitionRecords>(&message))
        this->recordsReceived(sidecarId, connectionId, *records);
    else if (const auto* fetch = std::get_if<Messages::FetchConfiguration>(&message))
        this->deliverConfiguration(connectionId, fetch->knownVersion);
}

void EntryCore::handleEntryFrame(ConnectionId connectionId, Messages::PeerMessage& message)
{
    if (const auto* hello = std::get_if<Messages::Hello>(&message))
        this->entryLinks.helloReceived(connectionId, *hello);
    else if (const auto* answer = std::get_if<Messages::ForwardedAnswer>(&message))
        this->entryLinks.answerReceived(*answer);
}

void EntryCore::handleAcceptedFrame(ConnectionId connectionId, Messages::PeerMessage& message)
{
    Core::InstanceId& peer = this->acceptedConnections[connectionId];
    if (const auto* hello = std::get_if<Messages::Hello>(&message)) {
        if (peer.empty())
            this->context.send(connectionId, this->context.settings.identity);
        peer = hello->instanceId;
    } else if (auto* forwarded = std::get_if<Messages::ForwardSubmission>(&message)) {
        this->requestHandler.handle({ connectionId, forwarded->requestId },
            { forwarded->requestId, forwarded->operation, forwarded->waitMilliseconds,
                std::move(forwarded->submission) });
    } else if (const auto* usage = std::get_if<Messages::TeamUsage>(&message)) {
        this->entryLinks.recordContact(peer);
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
    Ownership::PartitionRecovery* recovery = this->ownership.recovery(part.partition);
    if (recovery)
        recovery->addRecords(sidecarId, part);
    if (!part.isLastPart)
        return;
    const std::vector<Messages::FenceRecord> completeRecords = std::move(records);
    this->partialRecords.erase({ sidecarId, part.partition });
    this->jobRunner.reconcile(sidecarId, connectionId, part.partition, completeRecords);
    if (!recovery)
        return;
    this->jobRunner.rebuildJobs(part.partition, recovery->takeRecords());
    this->jobRunner.settleMissing(*recovery, this->ownership.isRecoveryWaitOver(part.partition));
    this->requestHandler.partitionReady(part.partition);
}

void EntryCore::sidecarConnected(const Core::InstanceId& sidecarId)
{
    const ConnectionId connectionId = this->sidecarLinks.connectionOf(sidecarId);
    std::erase_if(this->partialRecords, [&](const auto& records) { return records.first.first == sidecarId; });
    for (const Core::PartitionId partition : this->leases.held())
        this->context.send(
            connectionId, Messages::RecoverPartition { partition, this->leases.owner(partition)->epoch });
}

void EntryCore::partitionGained(Core::PartitionId partition)
{
    if (this->ownership.recovery(partition))
        this->sidecarLinks.sendToAll(Messages::RecoverPartition { partition, this->leases.owner(partition)->epoch });
    this->requestHandler.partitionReady(partition);
}

void EntryCore::partitionLost(Core::PartitionId partition)
{
    std::erase_if(this->partialRecords, [&](const auto& records) { return records.first.second == partition; });
    this->requestHandler.jobsDropped(this->jobRunner.dropPartition(partition));
}

void EntryCore::viewReceived(const Messages::FleetView& view)
{
    this->sidecarLinks.setMembers(view.members);
    this->sidecarLinks.setEvacuatedDataCentres(view.evacuatedDataCentres);
    this->entryLinks.setMembers(view.members);
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
            Messages::ConfigurationDelivery { this->configurationVersion, this->ownership.view().configuration });
}

std::vector<EntryAction> EntryCore::poll(Core::SteadyTime now, std::int64_t wallMilliseconds)
{
    this->setTime(now, wallMilliseconds);
    if (this->context.now >= this->nextTick) {
        this->nextTick = addDuration(this->context.now, tickInterval);
        this->sidecarLinks.tick(this->configurationVersion);
        this->entryLinks.tick();
        this->ownership.tick();
        this->requestHandler.tick();
        if (this->isStopping)
            this->advanceStop();
    }
    if (this->context.now >= this->nextSlowTick) {
        this->nextSlowTick = addDuration(this->context.now, slowTickInterval);
        this->runSlowTick();
    }
    if (this->ownership.isLeaseValid() || !this->context.settings.isLeaseCheckEnabled)
        this->jobRunner.executeDecisions();
    return std::exchange(this->context.actions, {});
}

Core::SteadyTime EntryCore::nextWakeUp() const
{
    return std::min(this->nextTick, this->dispatcher.nextWakeUp().value_or(this->nextTick));
}

EntrySnapshot EntryCore::snapshot() const
{
    return { this->context.counters, this->jobTable.runningCount(), this->jobTable.size(), this->jobTable.storedBytes(),
        this->requestHandler.waitingCount(), this->sidecarLinks.connectedCount(), this->leases.held().size(),
        this->configurationVersion,
        this->ownership.isLeaseValid() && this->ownership.isConfigurationFresh() && !this->isStopping };
}

void EntryCore::runSlowTick()
{
    this->jobTable.expire(this->context.wallMilliseconds);
    // Sent even if empty, since it is also the keep-alive between entries.
    this->entryLinks.sendToAll(this->dispatcher.takeTeamUsage(this->context.now));
    for (const Core::PartitionId partition : this->leases.held()) {
        const Ownership::PartitionRecovery* recovery = this->ownership.recovery(partition);
        if (recovery)
            this->jobRunner.settleMissing(*recovery, this->ownership.isRecoveryWaitOver(partition));
    }
    if (this->isStopping)
        return;
    // Take over the partitions of unreachable entries, so that their jobs are recovered without a request from a
    // caller.
    const std::vector<Core::InstanceId> unreachable = this->entryLinks.entriesUnreachableFor(takeoverDelay);
    std::vector<Core::PartitionId> orphaned;
    for (const auto& [partition, owner] : this->ownership.view().partitions) {
        if (std::find(unreachable.begin(), unreachable.end(), owner.owner) != unreachable.end()
            && !this->leases.owner(partition))
            orphaned.push_back(partition);
    }
    if (!orphaned.empty())
        this->ownership.acquire(orphaned);
}

void EntryCore::advanceStop()
{
    if (this->isStopped)
        return;
    if (this->ownership.hasLeft()) {
        this->isStopped = true;
        this->context.addAction(StopFinished {});
        return;
    }
    const bool isIdle = this->jobTable.runningCount() == 0 && this->requestHandler.waitingCount() == 0
        && this->reportSender.isEmpty();
    if (isIdle && !this->isLeaving) {
        this->isLeaving = true;
        this->ownership.leave();
    }
}

}
