#include "celeryswitch/Entry/PeerShell.h"

#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::Entry {

namespace {

constexpr std::chrono::milliseconds retryInterval { 2 };

}

PeerShell::PeerShell(
    boost::asio::io_context& context, Network::AuthenticationKeys keys, Core::Ring<EventPointer>& events)
    : context(context)
    , events(events)
    , transport(context, std::move(keys))
    , retryTimer(context)
{
}

Core::Result<std::string> PeerShell::listen(const std::string& address)
{
    return this->transport.listen(address, [this](Network::PeerConnectionPointer connection) {
        const ConnectionId connectionId = this->lastAccepted += 2;
        this->pushLater(ConnectionOpened { connectionId });
        this->add(connectionId, std::move(connection));
    });
}

Core::Result<std::string> PeerShell::bindDatagram(const std::string& address)
{
    return this->transport.bindDatagram(address, [this](const std::string& payload, const std::string&) {
        Core::Result<Messages::PeerDatagram> datagram = Network::decodeMessage<Messages::PeerDatagram>(payload);
        if (datagram)
            this->push(DatagramReceived { std::move(datagram.value()) });
        else
            ++this->malformed;
    });
}

void PeerShell::setState(State::StateClientSettings settings)
{
    this->state = std::make_unique<State::StateClient>(this->context, this->transport, std::move(settings));
}

void PeerShell::perform(EntryAction& action)
{
    std::visit(
        [this](auto& alternative) {
            using Alternative = std::decay_t<decltype(alternative)>;
            if constexpr (!std::is_same_v<Alternative, AnswerCaller> && !std::is_same_v<Alternative, StopFinished>)
                this->perform(alternative);
        },
        action);
}

void PeerShell::perform(OpenConnection& action)
{
    const ConnectionId connectionId = action.connectionId;
    // The entry marks the attempt, so that a close before its end is seen.
    this->connections[connectionId] = nullptr;
    this->transport.connect(
        action.address, [this, connectionId](Core::Result<Network::PeerConnectionPointer> connection) {
            if (!this->connections.contains(connectionId)) {
                if (connection)
                    connection.value()->close();
                return;
            }
            if (!connection) {
                this->end(connectionId, connection.error().message());
                return;
            }
            this->pushLater(ConnectionOpened { connectionId });
            this->add(connectionId, std::move(connection.value()));
        });
}

void PeerShell::add(ConnectionId connectionId, Network::PeerConnectionPointer connection)
{
    this->connections[connectionId] = connection;
    connection->start([this, connectionId](const std::string& payload) { this->frameReceived(connectionId, payload); },
        [this, connectionId](std::string reason) { this->end(connectionId, std::move(reason)); });
}

void PeerShell::frameReceived(ConnectionId connectionId, const std::string& payload)
{
    Core::Result<Messages::PeerMessage> message = Network::decodeMessage<Messages::PeerMessage>(payload);
    if (!message) {
        ++this->malformed;
        this->end(connectionId, message.error().message());
        return;
    }
    // A lost frame would leave tasks waiting, so a full ring ends the connection, and both sides reconcile.
    if (!this->push(FrameReceived { connectionId, std::move(message.value()) }))
        this->end(connectionId, "the entry is overloaded");
}

void PeerShell::perform(SendFrame& action)
{
    const auto found = this->connections.find(action.connectionId);
    if (found == this->connections.end() || !found->second)
        return;
    if (!found->second->send(Network::encodeMessage(action.message)))
        this->end(action.connectionId, "the send queue is full or the connection is closed");
}

void PeerShell::perform(CloseConnection& action)
{
    const auto found = this->connections.find(action.connectionId);
    if (found == this->connections.end())
        return;
    const Network::PeerConnectionPointer connection = std::move(found->second);
    this->connections.erase(found);
    if (connection)
        connection->close();
}

void PeerShell::perform(SendDatagram& action)
{
    this->transport.sendDatagram(action.address, Network::encodeMessage(action.datagram));
}

void PeerShell::perform(CallState& action)
{
    const std::uint64_t callId = action.callId;
    this->state->request(
        std::move(action.body), action.timeout, [this, callId](Core::Result<Messages::StateReply> reply) {
            StateReplied event { callId, std::nullopt };
            if (reply)
                event.reply = std::move(reply.value());
            this->pushLater(std::move(event));
        });
}

void PeerShell::stop()
{
    if (this->state)
        this->state->stop();
    this->transport.stop();
    this->retryTimer.cancel();
    for (const auto& [connectionId, connection] : std::exchange(this->connections, {})) {
        if (connection)
            connection->close();
    }
}

void PeerShell::end(ConnectionId connectionId, std::string reason)
{
    const auto found = this->connections.find(connectionId);
    if (found == this->connections.end())
        return;
    const Network::PeerConnectionPointer connection = std::move(found->second);
    this->connections.erase(found);
    if (connection)
        connection->close();
    this->pushLater(ConnectionClosed { connectionId, std::move(reason) });
}

bool PeerShell::push(EntryEvent event)
{
    return this->overflow.empty() && this->events.tryPush(std::make_shared<EntryEvent>(std::move(event)));
}

void PeerShell::pushLater(EntryEvent event)
{
    if (this->overflow.empty()) {
        auto pointer = std::make_shared<EntryEvent>(std::move(event));
        if (this->events.tryPush(EventPointer(pointer)))
            return;
        event = std::move(*pointer);
    }
    this->overflow.push_back(std::move(event));
    if (this->overflow.size() == 1)
        this->retryPush();
}

void PeerShell::retryPush()
{
    while (!this->overflow.empty()) {
        auto pointer = std::make_shared<EntryEvent>(std::move(this->overflow.front()));
        if (!this->events.tryPush(EventPointer(pointer))) {
            this->overflow.front() = std::move(*pointer);
            break;
        }
        this->overflow.pop_front();
    }
    if (this->overflow.empty())
        return;
    this->retryTimer.expires_after(retryInterval);
    this->retryTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->retryPush();
    });
}

}
