#include "celeryswitch/Entry/SidecarLinks.h"

#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>

namespace celeryswitch::Entry {

namespace {

// Interval of the heartbeat datagrams, which tell sidecars that this entry is alive and how many tasks it has queued.
constexpr Core::Duration heartbeatInterval = std::chrono::milliseconds(500);
// Silence after which a sidecar's connection is closed and its unfinished tasks are settled as unconfirmed.
constexpr Core::Duration lossTimeout = std::chrono::seconds(3);
constexpr Core::Duration initialBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t maximumBackoffShift = 4;

}

SidecarLinks::SidecarLinks(EntryContext& context, Dispatch::Dispatcher& dispatcher, Handlers handlers)
    : context(context)
    , dispatcher(dispatcher)
    , handlers(std::move(handlers))
{
}

void SidecarLinks::setMembers(const std::vector<Messages::Member>& members)
{
    std::map<Core::InstanceId, const Messages::Member*> sidecars;
    for (const Messages::Member& member : members) {
        if (member.identity.role == Messages::Role::Sidecar)
            sidecars[member.identity.instanceId] = &member;
    }
    for (const auto& [sidecarId, member] : sidecars) {
        auto [iterator, isNew] = this->links.try_emplace(sidecarId);
        Link& link = iterator->second;
        if (isNew)
            link.lastHeard = this->context.now;
        const bool isRestarted = !isNew && link.member.identity.incarnation != member->identity.incarnation;
        link.member = *member;
        link.isRemoved = member->removedAt != 0;
        if (isRestarted && link.incarnation != member->identity.incarnation) {
            link.nextConnectAttempt = this->context.now;
            this->disconnect(link);
        }
        this->updateDraining(link);
    }
    for (auto iterator = this->links.begin(); iterator != this->links.end();) {
        if (sidecars.contains(iterator->first)) {
            ++iterator;
            continue;
        }
        this->disconnect(iterator->second);
        this->markLost(iterator->second);
        iterator = this->links.erase(iterator);
    }
}

const Core::InstanceId* SidecarLinks::sidecarOf(ConnectionId connectionId) const
{
    const auto found = this->sidecarsByConnection.find(connectionId);
    return found == this->sidecarsByConnection.end() ? nullptr : &found->second;
}

void SidecarLinks::connectionOpened(ConnectionId connectionId)
{
    this->context.send(connectionId, this->context.settings.identity);
}

void SidecarLinks::connectionClosed(ConnectionId connectionId)
{
    const auto found = this->sidecarsByConnection.find(connectionId);
    if (found == this->sidecarsByConnection.end())
        return;
    Link* link = this->find(found->second);
    this->sidecarsByConnection.erase(found);
    if (!link || link->connectionId != connectionId)
        return;
    link->connectionId = 0;
    this->disconnect(*link);
    this->scheduleReconnect(*link);
}

void SidecarLinks::helloReceived(ConnectionId connectionId, const Messages::Hello& hello)
{
    const Core::InstanceId* sidecarId = this->sidecarOf(connectionId);
    Link* link = sidecarId ? this->find(*sidecarId) : nullptr;
    if (!link || link->connectionId != connectionId || link->isConnected)
        return;
    if (hello.role != Messages::Role::Sidecar || hello.instanceId != *sidecarId) {
        this->disconnect(*link);
        this->scheduleReconnect(*link);
        return;
    }
    if (link->incarnation != hello.incarnation) {
        if (link->incarnation != 0)
            this->markLost(*link);
        link->incarnation = hello.incarnation;
        link->clockSample = 0;
    }
    link->isConnected = true;
    link->isLost = false;
    link->failedAttempts = 0;
    link->creditSequence = 0;
    link->isDrainAnnounced = false;
    link->isDraining = false;
    link->lastHeard = this->context.now;
    this->dispatcher.addSidecar(
        this->context.now, { hello.instanceId, hello.service, hello.dataCentre, hello.rack, hello.slots });
    this->updateDraining(*link);
    this->handlers.onSidecarConnected(hello.instanceId);
}

void SidecarLinks::creditUpdateReceived(const Core::InstanceId& sidecarId, const Messages::CreditUpdate& update)
{
    Link* link = this->find(sidecarId);
    if (!link || !link->isConnected)
        return;
    this->clockSampleReceived(sidecarId, update.clockSample);
    if (update.sequence != 0 && update.sequence <= link->creditSequence)
        return;
    link->creditSequence = update.sequence;
    if (update.granted > 0)
        this->dispatcher.creditsGranted(this->context.now, sidecarId, update.granted);
    if (update.recalled > 0)
        this->dispatcher.creditsRecalled(this->context.now, sidecarId, update.recalled);
}

void SidecarLinks::clockSampleReceived(const Core::InstanceId& sidecarId, std::int64_t clockSample)
{
    Link* link = this->find(sidecarId);
    if (!link || !link->isConnected)
        return;
    link->clockSample = std::max(link->clockSample, clockSample);
    this->recordContact(*link);
}

void SidecarLinks::heartbeatReceived(const Messages::SidecarHeartbeat& heartbeat)
{
    Link* link = this->find(heartbeat.instanceId);
    if (!link || heartbeat.incarnation != link->incarnation)
        return;
    link->clockSample = std::max(link->clockSample, heartbeat.clockSample);
    link->isDrainAnnounced = heartbeat.isDraining;
    this->recordContact(*link);
}

std::optional<SidecarLinks::StartTarget> SidecarLinks::startTarget(const Core::InstanceId& sidecarId) const
{
    const Link* link = this->find(sidecarId);
    if (!link || !link->isConnected || link->isRemoved)
        return std::nullopt;
    return StartTarget { link->connectionId, link->incarnation, link->clockSample };
}

ConnectionId SidecarLinks::connectionOf(const Core::InstanceId& sidecarId) const
{
    const Link* link = this->find(sidecarId);
    return link && link->isConnected ? link->connectionId : 0;
}

std::string SidecarLinks::serviceOf(const Core::InstanceId& sidecarId) const
{
    const Link* link = this->find(sidecarId);
    return link ? link->member.identity.service : std::string();
}

void SidecarLinks::sendToAll(const Messages::PeerMessage& message)
{
    for (const auto& [sidecarId, link] : this->links) {
        if (link.isConnected)
            this->context.send(link.connectionId, message);
    }
}

void SidecarLinks::setEvacuatedDataCentres(std::vector<std::string> dataCentres)
{
    if (dataCentres == this->evacuatedDataCentres)
        return;
    this->evacuatedDataCentres = std::move(dataCentres);
    for (auto& [id, link] : this->links)
        this->updateDraining(link);
}

void SidecarLinks::tick(Core::ConfigurationVersion configurationVersion)
{
    for (auto& [sidecarId, link] : this->links)
        this->updateLink(link);
    if (this->context.now < this->nextHeartbeat)
        return;
    this->nextHeartbeat = addDuration(this->context.now, heartbeatInterval);
    for (const auto& [sidecarId, link] : this->links) {
        if (link.member.datagramAddress.empty() || link.isRemoved)
            continue;
        ++this->context.counters.datagramsSent;
        this->context.addAction(SendDatagram { link.member.datagramAddress,
            Messages::EntryHeartbeat { this->context.settings.identity.instanceId,
                this->context.settings.identity.incarnation, configurationVersion,
                this->dispatcher.backlog(link.member.identity.service) } });
    }
}

std::size_t SidecarLinks::connectedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        this->links.begin(), this->links.end(), [](const auto& link) { return link.second.isConnected; }));
}

SidecarLinks::Link* SidecarLinks::find(const Core::InstanceId& sidecarId)
{
    const auto found = this->links.find(sidecarId);
    return found == this->links.end() ? nullptr : &found->second;
}

const SidecarLinks::Link* SidecarLinks::find(const Core::InstanceId& sidecarId) const
{
    const auto found = this->links.find(sidecarId);
    return found == this->links.end() ? nullptr : &found->second;
}

void SidecarLinks::disconnect(Link& link)
{
    if (link.connectionId != 0) {
        this->context.addAction(CloseConnection { link.connectionId });
        this->sidecarsByConnection.erase(link.connectionId);
        link.connectionId = 0;
    }
    if (link.isConnected) {
        link.isConnected = false;
        this->dispatcher.removeSidecar(this->context.now, link.member.identity.instanceId);
    }
}

void SidecarLinks::recordContact(Link& link)
{
    link.lastHeard = this->context.now;
    this->updateDraining(link);
}

void SidecarLinks::updateDraining(Link& link)
{
    const bool isSilent = this->context.now - link.lastHeard > Ownership::sidecarSilenceLimit;
    const auto& evacuated = this->evacuatedDataCentres;
    const bool isEvacuated
        = std::find(evacuated.begin(), evacuated.end(), link.member.identity.dataCentre) != evacuated.end();
    const bool isDraining = link.isDrainAnnounced || link.isRemoved || isSilent || isEvacuated;
    if (!link.isConnected || isDraining == link.isDraining)
        return;
    link.isDraining = isDraining;
    this->dispatcher.setDraining(this->context.now, link.member.identity.instanceId, isDraining);
}

void SidecarLinks::scheduleReconnect(Link& link)
{
    link.nextConnectAttempt
        = addDuration(this->context.now, initialBackoff * (1U << std::min(link.failedAttempts, maximumBackoffShift)));
    ++link.failedAttempts;
}

void SidecarLinks::markLost(Link& link)
{
    if (link.isLost)
        return;
    link.isLost = true;
    this->handlers.onSidecarLost(link.member.identity.instanceId);
}

void SidecarLinks::updateLink(Link& link)
{
    this->updateDraining(link);
    if (link.incarnation != 0 && this->context.now - link.lastHeard > lossTimeout && !link.isLost) {
        this->disconnect(link);
        this->markLost(link);
        this->scheduleReconnect(link);
    }
    if (link.connectionId != 0 && !link.isConnected && this->context.now > link.helloDeadline) {
        this->disconnect(link);
        this->scheduleReconnect(link);
    }
    if (link.connectionId != 0 || this->context.now < link.nextConnectAttempt)
        return;
    link.helloDeadline = addDuration(this->context.now, lossTimeout);
    link.connectionId = this->context.newConnectionId();
    this->sidecarsByConnection[link.connectionId] = link.member.identity.instanceId;
    this->context.addAction(OpenConnection { link.connectionId, link.member.peerAddress });
}

}
