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

/// Event for the decision thread; a pointer because the ring buffer copies its elements.
using EventPointer = std::shared_ptr<EntryEvent>;

/// Network I/O of an entry core: performs its network actions, and converts frames, datagrams and state replies into
/// events. Functions must be called on the io_context's thread, or before it starts.
class PeerNetwork {
public:
    PeerNetwork(boost::asio::io_context& context, Network::AuthenticationKeys keys, Core::Ring<EventPointer>& events);

    /// Starts to listen for other entries; returns the bound "address:port". Errors: Network::TransportError.
    Core::Result<std::string> listen(const std::string& address);
    /// Binds the datagram socket; returns the bound "address:port". Errors: Network::TransportError.
    Core::Result<std::string> bindDatagram(const std::string& address);
    /// Creates the client of the state replicas; must be called once, before the first action.
    void createStateClient(State::StateClientSettings settings);
    /// Performs one action; ignores AnswerCaller and StopFinished.
    void perform(EntryAction& action);
    /// Closes all sockets and cancels pending requests.
    void stop();
    /// Number of frames and datagrams that could not be decoded.
    std::uint64_t malformedCount() const { return this->malformedMessages; }

private:
    void perform(OpenConnection& action);
    void perform(SendFrame& action);
    void perform(CloseConnection& action);
    void perform(SendDatagram& action);
    void perform(SendStateRequest& action);
    void addConnection(ConnectionId connectionId, Network::PeerConnectionPointer connection);
    void frameReceived(ConnectionId connectionId, const std::string& payload);
    void closeAndReport(ConnectionId connectionId, std::string reason);
    bool tryPushEvent(EntryEvent event);
    void pushEvent(EntryEvent event);
    void flushOverflow();

    boost::asio::io_context& context;
    Core::Ring<EventPointer>& events;
    Network::PeerTransport transport;
    std::unique_ptr<State::StateClient> stateClient;
    std::unordered_map<ConnectionId, Network::PeerConnectionPointer> connections;
    // Events that must not be lost, queued while the ring buffer is full.
    std::deque<EntryEvent> overflow;
    boost::asio::steady_timer retryTimer;
    ConnectionId lastAcceptedId = 1;
    std::uint64_t malformedMessages = 0;
};

}
