#include "celeryswitch/Entry/OwnershipDriver.h"

#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>

namespace celeryswitch::Entry {

namespace {

constexpr std::uint32_t watchMilliseconds = 1000;
constexpr Core::Duration watchTimeout = std::chrono::seconds(4);
constexpr Core::Duration renewalTimeout = std::chrono::seconds(2);
constexpr Core::Duration requestTimeout = std::chrono::seconds(5);
constexpr Core::Duration failurePause = std::chrono::milliseconds(100);
// Renewals that may wait for an answer at once; a lost one must not delay the next.
constexpr std::uint32_t renewalLimit = 4;
// Time after a takeover for which requests wait for the records of all sidecars.
constexpr Core::Duration recoveryWait = std::chrono::seconds(1);
// Time after which no submission that an earlier owner may have run is accepted any more.
constexpr Core::Duration recoveryLife = Ownership::keyRetention + 2 * Ownership::clockSkewAllowance;

}

OwnershipDriver::OwnershipDriver(
    EntryContext& context, Ownership::PartitionLeases& leases, ReportSender& report, Handlers handlers)
    : context(context)
    , leases(leases)
    , report(report)
    , handlers(std::move(handlers))
{
}

template <typename Body> void OwnershipDriver::call(CallKind kind, Core::Duration timeout, Body body)
{
    std::vector<Core::PartitionId> partitions;
    if constexpr (std::is_same_v<Body, Messages::AcquirePartitions>)
        partitions = body.partitions;
    this->calls[++this->lastCall] = { kind, this->context.now, std::move(partitions) };
    this->context.act(CallState { this->lastCall, timeout, std::move(body) });
}

void OwnershipDriver::tick()
{
    const EntryCoreSettings& settings = this->context.settings;
    const Messages::Hello& identity = settings.identity;
    if (this->leaving)
        return;
    if (!this->isRegistered && !this->isRegistering && this->context.now >= this->nextRegistration) {
        this->isRegistering = true;
        this->call(CallKind::Register, requestTimeout,
            Messages::RegisterMember { { identity, settings.peerAddress, settings.datagramAddress, {}, 0 } });
    }
    if (this->isRegistered && this->context.now >= this->nextRenewal && this->pendingRenewals < renewalLimit) {
        this->nextRenewal = after(this->context.now, Ownership::renewalInterval);
        ++this->pendingRenewals;
        this->call(
            CallKind::Renew, renewalTimeout, Messages::RenewLeases { identity.instanceId, identity.incarnation });
    }
    if (!this->isWatching && this->context.now >= this->nextWatch) {
        this->isWatching = true;
        this->call(CallKind::Watch, watchTimeout, Messages::WatchView { this->fleet.viewVersion, watchMilliseconds });
    }
    if (std::optional<Messages::AppendReport> request = this->report.nextRequest())
        this->call(CallKind::Report, requestTimeout, std::move(*request));
    std::erase_if(this->recoveries,
        [&](const auto& recovery) { return this->context.now - recovery.second.beganAt > recoveryLife; });
}

void OwnershipDriver::acquire(const std::vector<Core::PartitionId>& partitions)
{
    Messages::AcquirePartitions request { this->context.settings.identity.instanceId,
        this->context.settings.identity.incarnation, {} };
    for (const Core::PartitionId partition : partitions) {
        if (this->asking.insert(partition).second)
            request.partitions.push_back(partition);
    }
    if (!request.partitions.empty())
        this->call(CallKind::Acquire, requestTimeout, std::move(request));
}

void OwnershipDriver::leave()
{
    const Messages::Hello& identity = this->context.settings.identity;
    this->leaving = true;
    const std::vector<Core::PartitionId> held = this->leases.held();
    for (const Core::PartitionId partition : held)
        this->leases.giveUp(partition, this->context.now);
    this->leaseUntil = {};
    if (!held.empty()) {
        ++this->pendingLeave;
        this->call(CallKind::Leave, requestTimeout,
            Messages::ReleasePartitions { identity.instanceId, identity.incarnation, held });
    }
    ++this->pendingLeave;
    this->call(CallKind::Leave, requestTimeout, Messages::RemoveMember { identity.instanceId, identity.incarnation });
}

void OwnershipDriver::replied(const StateReplied& event)
{
    const auto found = this->calls.find(event.callId);
    if (found == this->calls.end())
        return;
    const Call call = std::move(found->second);
    this->calls.erase(found);
    const bool isDone = event.reply && event.reply->refusal == Messages::StateRefusal::None;
    if (event.reply && event.reply->refusal == Messages::StateRefusal::UnknownMember)
        this->isRegistered = false;
    const auto* grant = isDone ? std::get_if<Messages::LeaseGrant>(&event.reply->body) : nullptr;
    switch (call.kind) {
    case CallKind::Register:
        this->isRegistering = false;
        this->isRegistered = isDone;
        this->nextRegistration = after(this->context.now, failurePause);
        break;
    case CallKind::Watch: {
        this->isWatching = false;
        const auto* view = isDone ? std::get_if<Messages::FleetView>(&event.reply->body) : nullptr;
        if (view)
            this->viewReceived(*view);
        else
            this->nextWatch = after(this->context.now, failurePause);
        break;
    }
    case CallKind::Acquire:
        if (grant)
            this->grantReceived(call, *grant);
        for (const Core::PartitionId partition : call.partitions)
            this->asking.erase(partition);
        this->handlers.onAcquireEnded(call.partitions);
        break;
    case CallKind::Renew:
        --this->pendingRenewals;
        if (grant)
            this->grantReceived(call, *grant);
        break;
    case CallKind::Report:
        this->report.requestEnded(isDone);
        break;
    case CallKind::Leave:
        --this->pendingLeave;
        break;
    }
}

bool OwnershipDriver::isFresh() const { return this->context.now < this->freshUntil; }

Ownership::PartitionRecovery* OwnershipDriver::recovery(Core::PartitionId partition)
{
    const auto found = this->recoveries.find(partition);
    return found == this->recoveries.end() ? nullptr : &found->second.records;
}

bool OwnershipDriver::isReady(Core::PartitionId partition) const
{
    const auto found = this->recoveries.find(partition);
    return found == this->recoveries.end() || found->second.records.isWhole() || this->isRecoveryOver(partition);
}

bool OwnershipDriver::isRecoveryOver(Core::PartitionId partition) const
{
    const auto found = this->recoveries.find(partition);
    return found == this->recoveries.end() || this->context.now - found->second.beganAt > recoveryWait;
}

void OwnershipDriver::viewReceived(Messages::FleetView view)
{
    if (view.isUnchanged || view.viewVersion < this->fleet.viewVersion
        || view.configurationVersion < this->fleet.configurationVersion)
        return;
    const bool isNew = view.viewVersion > this->fleet.viewVersion;
    this->fleet = std::move(view);
    if (!isNew)
        return;
    if (this->fleet.configurationVersion >= this->confirmedVersion && this->confirmedAt != Core::SteadyTime {})
        this->freshUntil = std::max(this->freshUntil, after(this->confirmedAt, Ownership::freshnessLimit));
    for (auto& [partition, recovery] : this->recoveries)
        this->feedMembers(partition, recovery);
    this->handlers.onView(this->fleet);
}

void OwnershipDriver::grantReceived(const Call& call, const Messages::LeaseGrant& grant)
{
    if (this->leaving)
        return;
    this->confirmFreshness(call.sentAt, grant.configurationVersion);
    this->leaseUntil = std::max(this->leaseUntil, after(call.sentAt, Ownership::leaseLength));
    const Ownership::LeaseChanges changes = this->leases.apply(call.sentAt, this->context.now, grant);
    for (const Core::PartitionId partition : changes.lost) {
        this->recoveries.erase(partition);
        this->handlers.onLost(partition);
    }
    for (const Core::PartitionId partition : changes.gained) {
        const Messages::PartitionOwner& owner = *this->leases.owner(partition);
        if (owner.epoch > 1 && this->context.settings.isRecoveryDone) {
            Recovery recovery { { partition, owner }, this->context.now };
            this->feedMembers(partition, recovery);
            this->recoveries.insert_or_assign(partition, std::move(recovery));
        }
        this->handlers.onGained(partition);
    }
}

void OwnershipDriver::confirmFreshness(Core::SteadyTime sentAt, Core::ConfigurationVersion version)
{
    if (sentAt >= this->confirmedAt) {
        this->confirmedAt = sentAt;
        this->confirmedVersion = std::max(this->confirmedVersion, version);
    }
    if (this->fleet.configurationVersion >= version)
        this->freshUntil = std::max(this->freshUntil, after(sentAt, Ownership::freshnessLimit));
}

void OwnershipDriver::feedMembers(Core::PartitionId partition, Recovery& recovery)
{
    // An older view may lack sidecars that the earlier owner already used.
    const auto owner = this->fleet.partitions.find(partition);
    if (owner != this->fleet.partitions.end() && owner->second.epoch >= recovery.records.epoch())
        recovery.records.setMembers(this->fleet.members);
}

}
