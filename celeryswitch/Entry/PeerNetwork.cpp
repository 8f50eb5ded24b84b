#include "celeryswitch/Entry/PeerNetwork.h"

#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::Entry {

namespace {

constexpr std::chrono::milliseconds overflowRetryInterval { 2 };

}

PeerNetwork::PeerNetwork(
    boost::asio::io_context& context, Network::AuthenticationKeys keys, Core::Ring<EventPointer>& events)
    : context(context)
    , events(events)
    , transport(context, std::move(keys))
    , retryTimer(context)
{
}

Core::Result<std::string> PeerNetwork::listen(const std::string& address)
{
    return this->transport.listen(address, [this](Network::PeerConnectionPointer connection) {
        const ConnectionId connectionId = this->lastAcceptedId += 2;
        this->pushEvent(ConnectionOpened { connectionId });
        this->addConnection(connectionId, std::move(connection));
    });
}

Core::Result<std::string> PeerNetwork::bindDatagram(const std::string& address)
{
    return this->transport.bindDatagram(address, [this](const std::string& payload, const std::string&) {
        Core::Result<Messages::PeerDatagram> datagram = Network::decodeMessage<Messages::PeerDatagram>(payload);
        if (datagram)
            this->tryPushEvent(DatagramReceived { std::move(datagram.value()) });
        else
            ++this->malformedMessages;
    });
}

void PeerNetwork::createStateClient(State::StateClientSettings settings)
{
    this->stateClient = std::make_unique<State::StateClient>(this->context, this->transport, std::move(settings));
}

void PeerNetwork::perform(EntryAction& action)
{
    std::visit(
        [this](auto& alternative) {
            using Alternative = std::decay_t<decltype(alternative)>;
            if constexpr (!std::is_same_v<Alternative, AnswerCaller> && !std::is_same_v<Alternative, StopFinished>)
                this->perform(alternative);
        },
        action);
}

void PeerNetwork::perform(OpenConnection& action)
{
    const ConnectionId connectionId = action.connectionId;
    // Marks the attempt as pending, so that CloseConnection can cancel it.
    this->connections[connectionId] = nullptr;
    this->transport.connect(
        action.address, [this, connectionId](Core::Result<Network::PeerConnectionPointer> connection) {
            if (!this->connections.contains(connectionId)) {
                if (connection)
                    connection.value()->close();
                return;
            }
            if (!connection) {
                this->closeAndReport(connectionId, connection.error().message());
                return;
            }
            this->pushEvent(ConnectionOpened { connectionId });
            this->addConnection(connectionId, std::move(connection.value()));
        });
}

void PeerNetwork::addConnection(ConnectionId connectionId, Network::PeerConnectionPointer connection)
{
    this->connections[connectionId] = connection;
    connection->start([this, connectionId](const std::string& payload) { this->frameReceived(connectionId, payload); },
        [this, connectionId](std::string reason) { this->closeAndReport(connectionId, std::move(reason)); });
}

void PeerNetwork::frameReceived(ConnectionId connectionId, const std::string& payload)
{
    Core::Result<Messages::PeerMessage> message = Network::decodeMessage<Messages::PeerMessage>(payload);
    if (!message) {
        ++this->malformedMessages;
        this->closeAndReport(connectionId, message.error().message());
        return;
    }
    // A dropped frame would leave tasks waiting forever. With a full ring buffer the connection is closed instead, and
    // both sides reconcile after the reconnect.
    if (!this->tryPushEvent(FrameReceived { connectionId, std::move(message.value()) }))
        this->closeAndReport(connectionId, "the entry's event queue is full");
}

void PeerNetwork::perform(SendFrame& action)
{
    const auto found = this->connections.find(action.connectionId);
    if (found == this->connections.end() || !found->second)
        return;
    if (!found->second->send(Network::encodeMessage(action.message)))
        this->closeAndReport(action.connectionId, "the send queue is full or the connection is closed");
}

void PeerNetwork::perform(CloseConnection& action)
{
    const auto found = this->connections.find(action.connectionId);
    if (found == this->connections.end())
        return;
    const Network::PeerConnectionPointer connection = std::move(found->second);
    this->connections.erase(found);
    if (connection)
        connection->close();
}

void PeerNetwork::perform(SendDatagram& action)
{
    this->transport.sendDatagram(action.address, Network::encodeMessage(action.datagram));
}

void PeerNetwork::perform(SendStateRequest& action)
{
    const std::uint64_t callId = action.callId;
    this->stateClient->request(
        std::move(action.body), action.timeout, [this, callId](Core::Result<Messages::StateReply> reply) {
            StateReplyReceived event { callId, std::nullopt };
            if (reply)
                event.reply = std::move(reply.value());
            this->pushEvent(std::move(event));
        });
}

void PeerNetwork::stop()
{
    if (this->stateClient)
        this->stateClient->stop();
    this->transport.stop();
    this->retryTimer.cancel();
    for (const auto& [connectionId, connection] : std::exchange(this->connections, {})) {
        if (connection)
            connection->close();
    }
}

void PeerNetwork::closeAndReport(ConnectionId connectionId, std::string reason)
{
    const auto found = this->connections.find(connectionId);
    if (found == this->connections.end())
        return;
    const Network::PeerConnectionPointer connection = std::move(found->second);
    this->connections.erase(found);
    if (connection)
        connection->close();
    this->pushEvent(ConnectionClosed { connectionId, std::move(reason) });
}

bool PeerNetwork::tryPushEvent(EntryEvent event)
{
    return this->overflow.empty() && this->events.tryPush(std::make_shared<EntryEvent>(std::move(event)));
}

void PeerNetwork::pushEvent(EntryEvent event)
{
    if (this->overflow.empty()) {
        auto eventPointer = std::make_shared<EntryEvent>(std::move(event));
        if (this->events.tryPush(EventPointer(eventPointer)))
            return;
        event = std::move(*eventPointer);
    }
    this->overflow.push_back(std::move(event));
    if (this->overflow.size() == 1)
        this->flushOverflow();
}

void PeerNetwork::flushOverflow()
{
    while (!this->overflow.empty()) {
        auto eventPointer = std::make_shared<EntryEvent>(std::move(this->overflow.front()));
        if (!this->events.tryPush(EventPointer(eventPointer))) {
            this->overflow.front() = std::move(*eventPointer);
            break;
        }
        this->overflow.pop_front();
    }
    if (this->overflow.empty())
        return;
    this->retryTimer.expires_after(overflowRetryInterval);
    this->retryTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->flushOverflow();
    });
}

}
