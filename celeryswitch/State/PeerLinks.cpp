#include "celeryswitch/State/PeerLinks.h"

#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::State {

using Core::SteadyTime;
using Messages::StateRefusal;

namespace {

constexpr Core::Duration reconnectDelay = std::chrono::milliseconds(100);
// A link that is used and silent for this long is opened anew: after a silent partition TCP itself may wait minutes.
constexpr Core::Duration silenceLimit = std::chrono::milliseconds(600);
// Messages kept while a connection is being opened.
constexpr std::size_t queuedMessages = 64;

SteadyTime steadyNow() { return Core::BootClock::now(); }

}

PeerLinks::PeerLinks(
    boost::asio::io_context& context, Network::AuthenticationKeys keys, Messages::Hello identity, EventHandler onEvent)
    : transport(context, std::move(keys))
    , identity(std::move(identity))
    , onEvent(std::move(onEvent))
{
}

Core::Result<std::string> PeerLinks::listen(const std::string& address)
{
    return this->transport.listen(
        address, [this](Network::PeerConnectionPointer connection) { this->accepted(std::move(connection)); });
}

void PeerLinks::accepted(Network::PeerConnectionPointer connection)
{
    const std::uint64_t connectionId = ++this->lastConnectionId;
    Incoming& entry = this->incoming[connectionId];
    entry.connection = std::move(connection);
    const std::weak_ptr<bool> guard = this->alive;
    entry.connection->start(
        [this, guard, connectionId](const std::string& payload) {
            if (!guard.expired())
                this->frameReceived(connectionId, payload);
        },
        [this, guard, connectionId](const std::string&) {
            if (!guard.expired())
                this->closed(connectionId);
        });
}

void PeerLinks::frameReceived(std::uint64_t connectionId, const std::string& payload)
{
    const auto found = this->incoming.find(connectionId);
    if (found == this->incoming.end())
        return;
    Incoming& entry = found->second;
    bool isGood = true;
    if (!entry.isIdentified) {
        Core::Result<Messages::PeerMessage> first = Network::decodeMessage<Messages::PeerMessage>(payload);
        const auto* hello = first ? std::get_if<Messages::Hello>(&first.value()) : nullptr;
        isGood = hello != nullptr;
        if (hello) {
            entry.isIdentified = true;
            entry.isReplica = hello->role == Messages::Role::State;
            entry.replicaId = hello->instanceId;
            if (entry.isReplica)
                this->incomingByReplica[entry.replicaId] = connectionId;
        }
    } else if (entry.isReplica) {
        Core::Result<Messages::ConsensusMessage> message = Network::decodeMessage<Messages::ConsensusMessage>(payload);
        isGood = message.has_value();
        // A message that the full ring refuses is lost like one that the network loses.
        if (message)
            this->onEvent(std::move(message).value());
    } else {
        isGood = this->clientFrameReceived(connectionId, payload);
    }
    if (!isGood) {
        entry.connection->close();
        this->closed(connectionId);
    }
}

bool PeerLinks::clientFrameReceived(std::uint64_t connectionId, const std::string& payload)
{
    Core::Result<Messages::StateRequest> request = Network::decodeMessage<Messages::StateRequest>(payload);
    if (!request)
        return false;
    const std::uint64_t requestId = request.value().requestId;
    if (!this->onEvent(ClientRequest { connectionId, std::move(request).value() }))
        this->sendReply({ connectionId, { requestId, StateRefusal::Busy, "the replica is overloaded", {} } });
    return true;
}

void PeerLinks::closed(std::uint64_t connectionId)
{
    const auto found = this->incoming.find(connectionId);
    if (found == this->incoming.end())
        return;
    const auto newest = this->incomingByReplica.find(found->second.replicaId);
    if (found->second.isReplica && newest != this->incomingByReplica.end() && newest->second == connectionId)
        this->incomingByReplica.erase(newest);
    const bool isClient = found->second.isIdentified && !found->second.isReplica;
    this->incoming.erase(found);
    if (isClient)
        this->onEvent(ClientGone { connectionId });
}

void PeerLinks::send(LinkOutput output)
{
    if (auto* reply = std::get_if<ClientReply>(&output))
        this->sendReply(std::move(*reply));
    else if (auto* outgoing = std::get_if<Consensus::OutgoingMessage>(&output))
        this->sendMessage(std::move(*outgoing));
}

void PeerLinks::sendReply(ClientReply reply)
{
    const auto found = this->incoming.find(reply.connection);
    if (found != this->incoming.end() && !found->second.connection->send(Network::encodeMessage(reply.reply))) {
        found->second.connection->close();
        this->closed(reply.connection);
    }
}

void PeerLinks::sendMessage(Consensus::OutgoingMessage outgoing)
{
    std::string payload = Network::encodeMessage(outgoing.message);
    if (outgoing.to.address.empty()) {
        const auto newest = this->incomingByReplica.find(outgoing.to.id);
        if (newest != this->incomingByReplica.end())
            this->incoming.at(newest->second).connection->send(std::move(payload));
        return;
    }
    const std::string address = outgoing.to.address;
    Link& link = this->links[address];
    const SteadyTime now = steadyNow();
    if (link.connection && now - link.heardAt > silenceLimit)
        this->drop(link);
    if (link.connection) {
        if (!link.connection->send(std::move(payload)))
            this->drop(link);
        return;
    }
    if (link.queued.size() < queuedMessages)
        link.queued.push_back(std::move(payload));
    if (!link.isConnecting && now >= link.retryAt)
        this->connect(address);
}

void PeerLinks::connect(const std::string& address)
{
    Link& link = this->links[address];
    link.isConnecting = true;
    const std::uint64_t generation = ++link.generation;
    const std::weak_ptr<bool> guard = this->alive;
    this->transport.connect(
        address, [this, guard, address, generation](Core::Result<Network::PeerConnectionPointer> result) {
            const auto found = guard.expired() ? this->links.end() : this->links.find(address);
            if (guard.expired() || found == this->links.end() || found->second.generation != generation) {
                if (result)
                    result.value()->close();
                return;
            }
            found->second.isConnecting = false;
            if (result) {
                this->connected(address, std::move(result).value());
                return;
            }
            found->second.queued.clear();
            found->second.retryAt = steadyNow() + reconnectDelay;
        });
}

void PeerLinks::connected(const std::string& address, Network::PeerConnectionPointer connection)
{
    Link& link = this->links[address];
    link.connection = std::move(connection);
    link.heardAt = steadyNow();
    const std::uint64_t generation = link.generation;
    const std::weak_ptr<bool> guard = this->alive;
    link.connection->start(
        [this, guard, address, generation](const std::string& payload) {
            if (guard.expired() || this->links[address].generation != generation)
                return;
            this->links[address].heardAt = steadyNow();
            Core::Result<Messages::ConsensusMessage> message
                = Network::decodeMessage<Messages::ConsensusMessage>(payload);
            if (message)
                this->onEvent(std::move(message).value());
            else
                this->drop(this->links[address]);
        },
        [this, guard, address, generation](const std::string&) {
            if (!guard.expired() && this->links[address].generation == generation)
                this->drop(this->links[address]);
        });
    link.connection->send(Network::encodeMessage(Messages::PeerMessage(this->identity)));
    const std::vector<std::string> queued = std::move(link.queued);
    link.queued.clear();
    for (const std::string& payload : queued) {
        if (link.connection)
            link.connection->send(payload);
    }
}

void PeerLinks::drop(Link& link)
{
    ++link.generation;
    link.isConnecting = false;
    link.queued.clear();
    if (link.connection)
        link.connection->close();
    link.connection.reset();
    link.retryAt = steadyNow() + reconnectDelay;
}

void PeerLinks::stop()
{
    this->alive.reset();
    this->transport.stop();
    for (auto& [connectionId, entry] : this->incoming)
        entry.connection->close();
    this->incoming.clear();
    for (auto& [address, link] : this->links)
        this->drop(link);
}

}
