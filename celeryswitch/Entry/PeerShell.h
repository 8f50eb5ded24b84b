#pragma once

#include "celeryswitch/Core/Ring.h"
#include "celeryswitch/Entry/EntryEvents.h"
#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/State/StateClient.h"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Event on its way to the decision thread; the ring copies elements, so they are held by pointer.
using EventPointer = std::shared_ptr<EntryEvent>;

/// Peer thread of an entry: performs the core's network actions and turns frames, datagrams and state replies into
/// events. Every function runs on the io_context's thread, or before it runs.
class PeerShell {
public:
    PeerShell(boost::asio::io_context& context, Network::AuthenticationKeys keys, Core::Ring<EventPointer>& events);

    /// Starts listening for other entries; returns the bound "address:port".
    Core::Result<std::string> listen(const std::string& address);
    /// Binds the datagram socket; returns the bound "address:port".
    Core::Result<std::string> bindDatagram(const std::string& address);
    /// Names the state replicas; called once, before the first action.
    void setState(State::StateClientSettings settings);
    /// Performs one action.
    void perform(EntryAction& action);
    /// Closes every socket.
    void stop();
    /// Frames and datagrams that could not be read.
    std::uint64_t malformedCount() const { return this->malformed; }

private:
    void perform(OpenConnection& action);
    void perform(SendFrame& action);
    void perform(CloseConnection& action);
    void perform(SendDatagram& action);
    void perform(CallState& action);
    void add(ConnectionId connectionId, Network::PeerConnectionPointer connection);
    void frameReceived(ConnectionId connectionId, const std::string& payload);
    void end(ConnectionId connectionId, std::string reason);
    bool push(EntryEvent event);
    void pushLater(EntryEvent event);
    void retryPush();

    boost::asio::io_context& context;
    Core::Ring<EventPointer>& events;
    Network::PeerTransport transport;
    std::unique_ptr<State::StateClient> state;
    std::unordered_map<ConnectionId, Network::PeerConnectionPointer> connections;
    // Events that must not be lost and that found the ring full.
    std::deque<EntryEvent> overflow;
    boost::asio::steady_timer retryTimer;
    ConnectionId lastAccepted = 1;
    std::uint64_t malformed = 0;
};

}
