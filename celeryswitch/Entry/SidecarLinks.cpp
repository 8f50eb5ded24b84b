#include "celeryswitch/Entry/SidecarLinks.h"

#include "celeryswitch/Ownership/OwnershipTiming.h"
#include <algorithm>

namespace celeryswitch::Entry {

namespace {

// Interval of the datagrams that tell sidecars that this entry is alive and what waits here.
constexpr Core::Duration heartbeatInterval = std::chrono::milliseconds(500);
// Silence after which a sidecar's unfinished tasks are unconfirmed and its connection is given up.
constexpr Core::Duration lostAfter = std::chrono::seconds(3);
constexpr Core::Duration firstBackoff = std::chrono::milliseconds(50);
constexpr std::uint32_t largestBackoffShift = 4;

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
        auto [position, isNew] = this->links.try_emplace(sidecarId);
        Link& link = position->second;
        if (isNew)
            link.lastHeard = this->context.now;
        const bool isRestarted = !isNew && link.member.identity.incarnation != member->identity.incarnation;
        link.member = *member;
        link.isRemoved = member->removedAt != 0;
        if (isRestarted && link.incarnation != member->identity.incarnation) {
            link.nextAttempt = this->context.now;
            this->drop(link);
        }
        this->updateDraining(link);
    }
    for (auto position = this->links.begin(); position != this->links.end();) {
        if (sidecars.contains(position->first)) {
            ++position;
            continue;
        }
        this->drop(position->second);
        this->markLost(position->second);
        position = this->links.erase(position);
    }
}

const Core::InstanceId* SidecarLinks::sidecarOf(ConnectionId connectionId) const
{
    const auto found = this->byConnection.find(connectionId);
    return found == this->byConnection.end() ? nullptr : &found->second;
}

void SidecarLinks::opened(ConnectionId connectionId)
{
    this->context.send(connectionId, this->context.settings.identity);
}

void SidecarLinks::closed(ConnectionId connectionId)
{
    const auto found = this->byConnection.find(connectionId);
    if (found == this->byConnection.end())
        return;
    Link* link = this->find(found->second);
    this->byConnection.erase(found);
    if (!link || link->connectionId != connectionId)
        return;
    link->connectionId = 0;
    this->drop(*link);
    this->scheduleAttempt(*link);
}

void SidecarLinks::helloReceived(ConnectionId connectionId, const Messages::Hello& hello)
{
    const Core::InstanceId* sidecarId = this->sidecarOf(connectionId);
    Link* link = sidecarId ? this->find(*sidecarId) : nullptr;
    if (!link || link->connectionId != connectionId || link->isOpen)
        return;
    if (hello.role != Messages::Role::Sidecar || hello.instanceId != *sidecarId) {
        this->drop(*link);
        this->scheduleAttempt(*link);
        return;
    }
    if (link->incarnation != hello.incarnation) {
        if (link->incarnation != 0)
            this->markLost(*link);
        link->incarnation = hello.incarnation;
        link->clockSample = 0;
    }
    link->isOpen = true;
    link->isLost = false;
    link->failedAttempts = 0;
    link->creditSequence = 0;
    link->isAnnouncedDraining = false;
    link->isDraining = false;
    link->lastHeard = this->context.now;
    this->dispatcher.addSidecar(
        this->context.now, { hello.instanceId, hello.service, hello.dataCentre, hello.rack, hello.slots });
    this->updateDraining(*link);
    this->handlers.onOpened(hello.instanceId);
}

void SidecarLinks::creditUpdated(const Core::InstanceId& sidecarId, const Messages::CreditUpdate& update)
{
    Link* link = this->find(sidecarId);
    if (!link || !link->isOpen)
        return;
    this->sampleReceived(sidecarId, update.clockSample);
    if (update.sequence != 0 && update.sequence <= link->creditSequence)
        return;
    link->creditSequence = update.sequence;
    if (update.granted > 0)
        this->dispatcher.creditsGranted(this->context.now, sidecarId, update.granted);
    if (update.recalled > 0)
        this->dispatcher.creditsRecalled(this->context.now, sidecarId, update.recalled);
}

void SidecarLinks::sampleReceived(const Core::InstanceId& sidecarId, std::int64_t clockSample)
{
    Link* link = this->find(sidecarId);
    if (!link || !link->isOpen)
        return;
    link->clockSample = std::max(link->clockSample, clockSample);
    this->heard(*link);
}

void SidecarLinks::heartbeatReceived(const Messages::SidecarHeartbeat& heartbeat)
{
    Link* link = this->find(heartbeat.instanceId);
    if (!link || heartbeat.incarnation != link->incarnation)
        return;
    link->clockSample = std::max(link->clockSample, heartbeat.clockSample);
    link->isAnnouncedDraining = heartbeat.isDraining;
    this->heard(*link);
}

std::optional<SidecarLinks::StartTarget> SidecarLinks::startTarget(const Core::InstanceId& sidecarId) const
{
    const Link* link = this->find(sidecarId);
    if (!link || !link->isOpen || link->isRemoved)
        return std::nullopt;
    return StartTarget { link->connectionId, link->incarnation, link->clockSample };
}

ConnectionId SidecarLinks::connectionOf(const Core::InstanceId& sidecarId) const
{
    const Link* link = this->find(sidecarId);
    return link && link->isOpen ? link->connectionId : 0;
}

std::string SidecarLinks::serviceOf(const Core::InstanceId& sidecarId) const
{
    const Link* link = this->find(sidecarId);
    return link ? link->member.identity.service : std::string();
}

void SidecarLinks::sendToAll(const Messages::PeerMessage& message)
{
    for (const auto& [sidecarId, link] : this->links) {
        if (link.isOpen)
            this->context.send(link.connectionId, message);
    }
}

void SidecarLinks::tick(Core::ConfigurationVersion configurationVersion)
{
    for (auto& [sidecarId, link] : this->links)
        this->tickLink(link);
    if (this->context.now < this->nextHeartbeat)
        return;
    this->nextHeartbeat = after(this->context.now, heartbeatInterval);
    for (const auto& [sidecarId, link] : this->links) {
        if (link.member.datagramAddress.empty() || link.isRemoved)
            continue;
        ++this->context.counters.datagramsSent;
        this->context.act(SendDatagram { link.member.datagramAddress,
            Messages::EntryHeartbeat { this->context.settings.identity.instanceId,
                this->context.settings.identity.incarnation, configurationVersion,
                this->dispatcher.backlog(link.member.identity.service) } });
    }
}

std::size_t SidecarLinks::openCount() const
{
    return static_cast<std::size_t>(
        std::count_if(this->links.begin(), this->links.end(), [](const auto& link) { return link.second.isOpen; }));
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

void SidecarLinks::drop(Link& link)
{
    if (link.connectionId != 0) {
        this->context.act(CloseConnection { link.connectionId });
        this->byConnection.erase(link.connectionId);
        link.connectionId = 0;
    }
    if (link.isOpen) {
        link.isOpen = false;
        this->dispatcher.removeSidecar(this->context.now, link.member.identity.instanceId);
    }
}

void SidecarLinks::heard(Link& link)
{
    link.lastHeard = this->context.now;
    this->updateDraining(link);
}

void SidecarLinks::updateDraining(Link& link)
{
    const bool isSilent = this->context.now - link.lastHeard > Ownership::sidecarSilenceLimit;
    const bool isDraining = link.isAnnouncedDraining || link.isRemoved || isSilent;
    if (!link.isOpen || isDraining == link.isDraining)
        return;
    link.isDraining = isDraining;
    this->dispatcher.setDraining(this->context.now, link.member.identity.instanceId, isDraining);
}

void SidecarLinks::scheduleAttempt(Link& link)
{
    link.nextAttempt
        = after(this->context.now, firstBackoff * (1U << std::min(link.failedAttempts, largestBackoffShift)));
    ++link.failedAttempts;
}

void SidecarLinks::markLost(Link& link)
{
    if (link.isLost)
        return;
    link.isLost = true;
    this->handlers.onLost(link.member.identity.instanceId);
}

void SidecarLinks::tickLink(Link& link)
{
    this->updateDraining(link);
    if (link.incarnation != 0 && this->context.now - link.lastHeard > lostAfter && !link.isLost) {
        this->drop(link);
        this->markLost(link);
        this->scheduleAttempt(link);
    }
    if (link.connectionId != 0 && !link.isOpen && this->context.now > link.helloDeadline) {
        this->drop(link);
        this->scheduleAttempt(link);
    }
    if (link.connectionId != 0 || this->context.now < link.nextAttempt)
        return;
    link.helloDeadline = after(this->context.now, lostAfter);
    link.connectionId = this->context.newConnectionId();
    this->byConnection[link.connectionId] = link.member.identity.instanceId;
    this->context.act(OpenConnection { link.connectionId, link.member.peerAddress });
}

}
