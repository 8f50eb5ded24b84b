#pragma once

#include "celeryswitch/Consensus/ReplicaTypes.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Network/PeerTransport.h"
#include "celeryswitch/State/StateCore.h"
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace celeryswitch::State {

/// What arrives from the network.
using LinkEvent = std::variant<std::monostate, ClientRequest, ClientGone, Messages::ConsensusMessage>;
/// What leaves to the network.
using LinkOutput = std::variant<std::monostate, ClientReply, Consensus::OutgoingMessage>;

/// Connections of a state replica: those of clients, and two for each pair of replicas. Requests to another replica
/// leave on the connection that this one opened, and answers on the one that the other opened. Runs on the peer thread.
class PeerLinks {
public:
    /// Takes an event; returns false when the decision thread's ring is full.
    using EventHandler = std::function<bool(LinkEvent)>;

    /// `identity` is sent first on each opened connection; its instance id is the replica id.
    PeerLinks(boost::asio::io_context& context, Network::AuthenticationKeys keys, Messages::Hello identity,
        EventHandler onEvent);

    /// Changes the time to connect to another replica.
    void setConnectLimit(std::chrono::milliseconds limit) { this->transport.setConnectLimit(limit); }
    /// Changes the number of accepted connections whose handshake may be open; called before `listen`.
    void setHandshakeLimit(std::size_t limit) { this->transport.setHandshakeLimit(limit); }
    /// Listens; returns the bound address.
    Core::Result<std::string> listen(const std::string& address);
    /// Sends an answer or a message; what can't be sent is dropped, and the other side asks again.
    void send(LinkOutput output);
    /// Closes everything.
    void stop();

private:
    /// Connection that a client or another replica opened.
    struct Incoming {
        Network::PeerConnectionPointer connection;
        bool isIdentified = false;
        bool isReplica = false;
        Messages::ReplicaId replicaId;
    };
    /// Connection that this replica opened to another.
    struct Link {
        Network::PeerConnectionPointer connection;
        bool isConnecting = false;
        /// Tells the callbacks of an earlier connection.
        std::uint64_t generation = 0;
        Core::SteadyTime retryAt;
        /// When the other replica was last heard, or the connection was made.
        Core::SteadyTime heardAt;
        /// Messages that wait for the connection.
        std::vector<std::string> queued;
    };

    void accepted(Network::PeerConnectionPointer connection);
    void frameReceived(std::uint64_t connectionId, const std::string& payload);
    void closed(std::uint64_t connectionId);
    bool clientFrameReceived(std::uint64_t connectionId, const std::string& payload);
    void sendReply(ClientReply reply);
    void sendMessage(Consensus::OutgoingMessage outgoing);
    void connect(const std::string& address);
    void connected(const std::string& address, Network::PeerConnectionPointer connection);
    void drop(Link& link);

    Network::PeerTransport transport;
    Messages::Hello identity;
    EventHandler onEvent;
    std::uint64_t lastConnectionId = 0;
    std::unordered_map<std::uint64_t, Incoming> incoming;
    /// Newest connection that each replica opened.
    std::map<Messages::ReplicaId, std::uint64_t> incomingByReplica;
    /// By address: a replica that lost its disk is reached under its new identity as well.
    std::map<std::string, Link> links;
    /// Tells callbacks whether this object still exists.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
