#include "celeryswitch/Scheduling/SidecarLinks.h"

#include "celeryswitch/Network/MessageCodec.h"
#include <algorithm>
#include <set>

namespace celeryswitch::Scheduling {

using Logging::LogLevel;

namespace {

// Sidecars send at least every 200 ms; a connection without a frame for this time is closed.
constexpr Core::Duration receiveTimeout = std::chrono::milliseconds(550);
// Bounds of the exponential back-off before a reconnection.
constexpr std::chrono::milliseconds minimumRetryDelay { 20 };
constexpr std::chrono::milliseconds maximumRetryDelay { 100 };

}

SidecarLinks::SidecarLinks(boost::asio::io_context& context, Network::PeerTransport& transport,
    const Core::Clock& clock, Logging::StructuredLog& log, Messages::Hello identity, Handlers handlers)
    : context(context)
    , transport(transport)
    , clock(clock)
    , log(log)
    , identity(std::move(identity))
    , handlers(std::move(handlers))
{
}

void SidecarLinks::setMembers(const std::vector<Messages::Member>& sidecars)
{
    for (auto& [id, link] : this->links)
        link.isUnassigned = true;
    for (const Messages::Member& member : sidecars) {
        const Core::InstanceId& id = member.identity.instanceId;
        Link& link = this->links[id];
        link.isUnassigned = false;
        const bool isMoved = link.member.peerAddress != member.peerAddress;
        link.member = member;
        if (isMoved && link.connection)
            this->connectionLost(id, "address changed");
        else if (!link.connection && !link.isConnecting && !link.retryTimer)
            this->connect(id);
    }
    this->closeReplaced();
}

void SidecarLinks::closeReplaced()
{
    std::set<std::string> addresses;
    for (const auto& [id, link] : this->links) {
        if (!link.isUnassigned)
            addresses.insert(link.member.peerAddress);
    }
    std::vector<Core::InstanceId> disconnected;
    for (auto& [id, link] : this->links) {
        if (!link.isUnassigned || addresses.count(link.member.peerAddress) == 0)
            continue;
        if (link.connection)
            disconnected.push_back(id);
        this->close(link);
    }
    for (const Core::InstanceId& id : disconnected) {
        this->log.write(
            LogLevel::Info, "sidecar disconnected", { { "sidecar", id }, { "reason", "address taken by another" } });
        this->handlers.onDisconnected(id);
    }
}

std::vector<Core::InstanceId> SidecarLinks::unassigned() const
{
    std::vector<Core::InstanceId> result;
    for (const auto& [id, link] : this->links) {
        if (link.isUnassigned)
            result.push_back(id);
    }
    return result;
}

void SidecarLinks::removeLink(const Core::InstanceId& sidecar)
{
    const auto found = this->links.find(sidecar);
    if (found == this->links.end())
        return;
    this->log.write(LogLevel::Info, "sidecar no longer linked", { { "sidecar", sidecar } });
    this->close(found->second);
    this->links.erase(found);
}

void SidecarLinks::connect(const Core::InstanceId& sidecar)
{
    Link& link = this->links.at(sidecar);
    link.isConnecting = true;
    const std::uint64_t generation = ++link.generation;
    const std::weak_ptr<bool> lifetime = this->lifetimeToken;
    this->transport.connect(link.member.peerAddress,
        [this, lifetime, sidecar, generation](Core::Result<Network::PeerConnectionPointer> result) {
            const auto found = lifetime.expired() ? this->links.end() : this->links.find(sidecar);
            if (lifetime.expired() || found == this->links.end() || found->second.generation != generation) {
                if (result)
                    result.value()->close();
                return;
            }
            found->second.isConnecting = false;
            if (result)
                this->connectionOpened(sidecar, std::move(result).value());
            else
                this->connectionLost(sidecar, result.error().message());
        });
}

void SidecarLinks::connectionOpened(const Core::InstanceId& sidecar, Network::PeerConnectionPointer connection)
{
    Link& link = this->links.at(sidecar);
    link.connection = std::move(connection);
    link.lastReceivedAt = this->clock.steadyNow();
    link.failures = 0;
    const std::uint64_t generation = link.generation;
    const std::weak_ptr<bool> lifetime = this->lifetimeToken;
    link.connection->start(
        [this, lifetime, sidecar, generation](const std::string& payload) {
            const auto found = lifetime.expired() ? this->links.end() : this->links.find(sidecar);
            if (lifetime.expired() || found == this->links.end() || found->second.generation != generation)
                return;
            found->second.lastReceivedAt = this->clock.steadyNow();
            Core::Result<Messages::WorkMessage> message = Network::decodeMessage<Messages::WorkMessage>(payload);
            auto* update = message ? std::get_if<Messages::WorkerUpdate>(&message.value()) : nullptr;
            const auto* offer = message ? std::get_if<Messages::RoomOffer>(&message.value()) : nullptr;
            if (update)
                this->handlers.onUpdate(sidecar, std::move(*update));
            else if (offer)
                this->handlers.onOffer(sidecar, *offer);
            else
                this->connectionLost(sidecar, "unreadable frame");
        },
        [this, lifetime, sidecar, generation](const std::string& reason) {
            const auto found = lifetime.expired() ? this->links.end() : this->links.find(sidecar);
            if (!lifetime.expired() && found != this->links.end() && found->second.generation == generation)
                this->connectionLost(sidecar, reason);
        });
    link.connection->send(Network::encodeMessage(Messages::WorkMessage(this->identity)));
    this->log.write(LogLevel::Info, "sidecar connected", { { "sidecar", sidecar } });
    this->handlers.onConnected(link.member);
}

void SidecarLinks::connectionLost(const Core::InstanceId& sidecar, const std::string& reason)
{
    Link& link = this->links.at(sidecar);
    const bool wasConnected = link.connection != nullptr;
    this->close(link);
    if (wasConnected || link.failures == 0)
        this->log.write(LogLevel::Info, "sidecar disconnected", { { "sidecar", sidecar }, { "reason", reason } });
    const auto delay
        = std::min(maximumRetryDelay, minimumRetryDelay * (1 << std::min<std::uint32_t>(link.failures++, 6)));
    link.retryTimer = std::make_unique<boost::asio::steady_timer>(this->context, delay);
    link.retryTimer->async_wait(
        [this, lifetime = std::weak_ptr<bool>(this->lifetimeToken), sidecar](const boost::system::error_code& error) {
            if (error || lifetime.expired() || this->links.count(sidecar) == 0)
                return;
            this->links.at(sidecar).retryTimer.reset();
            this->connect(sidecar);
        });
    if (wasConnected)
        this->handlers.onDisconnected(sidecar);
}

void SidecarLinks::close(Link& link)
{
    ++link.generation;
    link.isConnecting = false;
    if (link.connection)
        link.connection->close();
    link.connection.reset();
    link.retryTimer.reset();
}

void SidecarLinks::send(const Core::InstanceId& sidecar, const Messages::WorkMessage& message)
{
    const auto found = this->links.find(sidecar);
    if (found != this->links.end() && found->second.connection
        && !found->second.connection->send(Network::encodeMessage(message)))
        this->connectionLost(sidecar, "send queue full");
}

void SidecarLinks::closeUnresponsive()
{
    const Core::SteadyTime now = this->clock.steadyNow();
    std::vector<Core::InstanceId> unresponsive;
    for (const auto& [id, link] : this->links) {
        if (link.connection && now - link.lastReceivedAt > receiveTimeout)
            unresponsive.push_back(id);
    }
    for (const Core::InstanceId& id : unresponsive)
        this->connectionLost(id, "silent");
}

void SidecarLinks::stop()
{
    this->lifetimeToken.reset();
    for (auto& [id, link] : this->links)
        this->close(link);
    this->links.clear();
}

}
