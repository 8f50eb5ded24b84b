#include "celeryswitch/Workers/EntryConnections.h"

#include "celeryswitch/Network/MessageCodec.h"

namespace celeryswitch::Workers {

using Logging::LogLevel;

EntryConnections::EntryConnections(Logging::StructuredLog& log, Handlers handlers)
    : log(log)
    , handlers(std::move(handlers))
{
}

void EntryConnections::add(Network::PeerConnectionPointer connection)
{
    const std::uint64_t number = ++this->lastConnection;
    const std::weak_ptr<bool> guard = this->lifetimeToken;
    this->connections[number].connection = connection;
    connection->start(
        [this, guard, number](const std::string& payload) {
            if (!guard.expired())
                this->frameReceived(number, payload);
        },
        [this, guard, number](const std::string&) {
            if (!guard.expired())
                this->ended(number);
        });
}

void EntryConnections::frameReceived(std::uint64_t number, const std::string& payload)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    Core::Result<Messages::WorkMessage> message = Network::decodeMessage<Messages::WorkMessage>(payload);
    const auto* hello = message ? std::get_if<Messages::Hello>(&message.value()) : nullptr;
    if (!message || (!found->second.isIdentified && !hello)) {
        this->log.write(LogLevel::Warning, "entry sent an unreadable frame",
            { { "address", found->second.connection->remoteAddress() } });
        this->abandon(number);
    } else if (hello) {
        found->second.isIdentified = true;
        this->handlers.onHello(number, *hello);
    } else {
        this->handlers.onMessage(number, std::move(message).value());
    }
}

void EntryConnections::send(std::uint64_t connection, const Messages::WorkMessage& message)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || found->second.connection->send(Network::encodeMessage(message)))
        return;
    this->log.write(
        LogLevel::Warning, "send queue of an entry full", { { "address", found->second.connection->remoteAddress() } });
    this->abandon(connection);
}

void EntryConnections::close(std::uint64_t connection)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return;
    found->second.connection->close();
    this->connections.erase(found);
}

void EntryConnections::abandon(std::uint64_t number)
{
    this->close(number);
    this->handlers.onClosed(number);
}

void EntryConnections::ended(std::uint64_t number)
{
    this->connections.erase(number);
    this->handlers.onClosed(number);
}

}
