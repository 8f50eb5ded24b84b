#include "celeryswitch/Entry/OwnershipClient.h"

#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>

namespace celeryswitch::Entry {

namespace {

constexpr std::uint32_t watchWaitMilliseconds = 1000;
constexpr Core::Duration watchTimeout = std::chrono::seconds(4);
constexpr Core::Duration renewalTimeout = std::chrono::seconds(2);
constexpr Core::Duration requestTimeout = std::chrono::seconds(5);
constexpr Core::Duration retryDelay = std::chrono::milliseconds(100);
// More than one, so that a lost renewal does not delay the next.
constexpr std::uint32_t maximumPendingRenewals = 4;
// Time after a takeover for which requests wait for the records of all sidecars before they are handled.
constexpr Core::Duration recoveryWait = std::chrono::seconds(1);
// After this time, submissions that a previous owner may have run are too old to be accepted.
constexpr Core::Duration recoveryRetention = Ownership::keyRetention + 2 * Ownership::clockSkewAllowance;

}

OwnershipClient::OwnershipClient(
    EntryContext& context, Ownership::PartitionLeases& leases, ReportSender& reportSender, Handlers handlers)
    : context(context)
    , leases(leases)
    , reportSender(reportSender)
    , handlers(std::move(handlers))
{
}

template <typename Body> void OwnershipClient::sendRequest(CallKind kind, Core::Duration timeout, Body body)
{
    std::vector<Core::PartitionId> partitions;
    if constexpr (std::is_same_v<Body, Messages::AcquirePartitions>)
        partitions = body.partitions;
    this->pendingCalls[++this->lastCallId] = { kind, this->context.now, std::move(partitions) };
    this->context.addAction(SendStateRequest { this->lastCallId, timeout, std::move(body) });
}

void OwnershipClient::tick()
{
    const EntryCoreSettings& settings = this->context.settings;
    const Messages::Hello& identity = settings.identity;
    if (this->isLeaving)
        return;
    if (!this->isRegistered && !this->isRegistering && this->context.now >= this->nextRegistration) {
        this->isRegistering = true;
        this->sendRequest(CallKind::Register, requestTimeout,
            Messages::RegisterMember { { identity, settings.peerAddress, settings.datagramAddress, {}, 0 } });
    }
    if (this->isRegistered && this->context.now >= this->nextRenewal
        && this->pendingRenewals < maximumPendingRenewals) {
        this->nextRenewal = addDuration(this->context.now, Ownership::renewalInterval);
        ++this->pendingRenewals;
        this->sendRequest(
            CallKind::Renew, renewalTimeout, Messages::RenewLeases { identity.instanceId, identity.incarnation });
    }
    if (!this->isWatching && this->context.now >= this->nextWatch) {
        this->isWatching = true;
        this->sendRequest(
            CallKind::Watch, watchTimeout, Messages::WatchView { this->fleetView.viewVersion, watchWaitMilliseconds });
    }
    if (std::optional<Messages::AppendReport> request = this->reportSender.nextRequest())
        this->sendRequest(CallKind::Report, requestTimeout, std::move(*request));
    std::erase_if(this->recoveries,
        [&](const auto& recovery) { return this->context.now - recovery.second.startedAt > recoveryRetention; });
}

void OwnershipClient::acquire(const std::vector<Core::PartitionId>& partitions)
{
    Messages::AcquirePartitions request { this->context.settings.identity.instanceId,
        this->context.settings.identity.incarnation, {} };
    for (const Core::PartitionId partition : partitions) {
        if (this->partitionsBeingAcquired.insert(partition).second)
            request.partitions.push_back(partition);
    }
    if (!request.partitions.empty())
        this->sendRequest(CallKind::Acquire, requestTimeout, std::move(request));
}

void OwnershipClient::leave()
{
    const Messages::Hello& identity = this->context.settings.identity;
    this->isLeaving = true;
    const std::vector<Core::PartitionId> held = this->leases.held();
    for (const Core::PartitionId partition : held)
        this->leases.giveUp(partition, this->context.now);
    this->leaseValidUntil = {};
    if (!held.empty()) {
        ++this->pendingLeave;
        this->sendRequest(CallKind::Leave, requestTimeout,
            Messages::ReleasePartitions { identity.instanceId, identity.incarnation, held });
    }
    ++this->pendingLeave;
    this->sendRequest(
        CallKind::Leave, requestTimeout, Messages::RemoveMember { identity.instanceId, identity.incarnation });
}

void OwnershipClient::replyReceived(const StateReplyReceived& event)
{
    const auto found = this->pendingCalls.find(event.callId);
    if (found == this->pendingCalls.end())
        return;
    const Call call = std::move(found->second);
    this->pendingCalls.erase(found);
    const bool isDone = event.reply && event.reply->refusal == Messages::StateRefusal::None;
    if (event.reply && event.reply->refusal == Messages::StateRefusal::UnknownMember)
        this->isRegistered = false;
    const auto* grant = isDone ? std::get_if<Messages::LeaseGrant>(&event.reply->body) : nullptr;
    switch (call.kind) {
    case CallKind::Register:
        this->isRegistering = false;
        this->isRegistered = isDone;
        this->nextRegistration = addDuration(this->context.now, retryDelay);
        break;
    case CallKind::Watch: {
        this->isWatching = false;
        const auto* view = isDone ? std::get_if<Messages::FleetView>(&event.reply->body) : nullptr;
        if (view)
            this->viewReceived(*view);
        else
            this->nextWatch = addDuration(this->context.now, retryDelay);
        break;
    }
    case CallKind::Acquire:
        if (grant)
            this->grantReceived(call, *grant);
        for (const Core::PartitionId partition : call.partitions)
            this->partitionsBeingAcquired.erase(partition);
        this->handlers.onAcquisitionEnded(call.partitions);
        break;
    case CallKind::Renew:
        --this->pendingRenewals;
        if (grant)
            this->grantReceived(call, *grant);
        break;
    case CallKind::Report:
        this->reportSender.requestFinished(isDone);
        break;
    case CallKind::Leave:
        --this->pendingLeave;
        break;
    }
}

bool OwnershipClient::isConfigurationFresh() const { return this->context.now < this->configurationFreshUntil; }

Ownership::PartitionRecovery* OwnershipClient::recovery(Core::PartitionId partition)
{
    const auto found = this->recoveries.find(partition);
    return found == this->recoveries.end() ? nullptr : &found->second.records;
}

bool OwnershipClient::isReady(Core::PartitionId partition) const
{
    const auto found = this->recoveries.find(partition);
    return found == this->recoveries.end() || found->second.records.isWhole() || this->isRecoveryWaitOver(partition);
}

bool OwnershipClient::isRecoveryWaitOver(Core::PartitionId partition) const
{
    const auto found = this->recoveries.find(partition);
    return found == this->recoveries.end() || this->context.now - found->second.startedAt > recoveryWait;
}

void OwnershipClient::viewReceived(Messages::FleetView view)
{
    if (view.isUnchanged || view.viewVersion < this->fleetView.viewVersion
        || view.configurationVersion < this->fleetView.configurationVersion)
        return;
    const bool isNew = view.viewVersion > this->fleetView.viewVersion;
    this->fleetView = std::move(view);
    if (!isNew)
        return;
    if (this->fleetView.configurationVersion >= this->confirmedVersion && this->confirmedAt != Core::SteadyTime {})
        this->configurationFreshUntil
            = std::max(this->configurationFreshUntil, addDuration(this->confirmedAt, Ownership::freshnessLimit));
    for (auto& [partition, recovery] : this->recoveries)
        this->updateMembers(partition, recovery);
    this->handlers.onViewReceived(this->fleetView);
}

void OwnershipClient::grantReceived(const Call& call, const Messages::LeaseGrant& grant)
{
    if (this->isLeaving)
        return;
    this->updateFreshness(call.sentAt, grant.configurationVersion);
    this->leaseValidUntil = std::max(this->leaseValidUntil, addDuration(call.sentAt, Ownership::leaseLength));
    const Ownership::LeaseChanges changes = this->leases.apply(call.sentAt, this->context.now, grant);
    for (const Core::PartitionId partition : changes.lost) {
        this->recoveries.erase(partition);
        this->handlers.onPartitionLost(partition);
    }
    for (const Core::PartitionId partition : changes.gained) {
        const Messages::PartitionOwner& owner = *this->leases.owner(partition);
        if (owner.epoch > 1 && this->context.settings.isRecoveryEnabled) {
            Recovery recovery { { partition, owner }, this->context.now };
            this->updateMembers(partition, recovery);
            this->recoveries.insert_or_assign(partition, std::move(recovery));
        }
        this->handlers.onPartitionGained(partition);
    }
}

void OwnershipClient::updateFreshness(Core::SteadyTime sentAt, Core::ConfigurationVersion version)
{
    if (sentAt >= this->confirmedAt) {
        this->confirmedAt = sentAt;
        this->confirmedVersion = std::max(this->confirmedVersion, version);
    }
    if (this->fleetView.configurationVersion >= version)
        this->configurationFreshUntil
            = std::max(this->configurationFreshUntil, addDuration(sentAt, Ownership::freshnessLimit));
}

void OwnershipClient::updateMembers(Core::PartitionId partition, Recovery& recovery)
{
    // A view older than the takeover may lack sidecars that the previous owner used.
    const auto owner = this->fleetView.partitions.find(partition);
    if (owner != this->fleetView.partitions.end() && owner->second.epoch >= recovery.records.epoch())
        recovery.records.setMembers(this->fleetView.members);
}

}
