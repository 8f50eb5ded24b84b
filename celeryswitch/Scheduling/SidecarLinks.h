#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include "celeryswitch/Network/PeerTransport.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

namespace celeryswitch::Scheduling {

/// Manages an entry's connections to the sidecars of leased workers: connects to every known sidecar and reconnects
/// after a failure or a receive timeout. All functions must be called on the io_context's thread.
class SidecarLinks {
public:
    /// Callbacks, called on the io_context's thread.
    struct Handlers {
        std::function<void(const Messages::Member&)> onConnected;
        std::function<void(const Core::InstanceId&)> onDisconnected;
        std::function<void(const Core::InstanceId&, Messages::WorkerUpdate)> onUpdate;
        std::function<void(const Core::InstanceId&, const Messages::RoomOffer&)> onOffer;
    };

    /// `context`, `transport`, `clock` and `log` outlive the links.
    SidecarLinks(boost::asio::io_context& context, Network::PeerTransport& transport, const Core::Clock& clock,
        Logging::StructuredLog& log, Messages::Hello identity, Handlers handlers);

    /// Sets the sidecars to connect to. Links to others stay open for their remaining runs until `removeLink`, except
    /// for those to an address that one of the sidecars has taken: these are closed and not opened again.
    void setMembers(const std::vector<Messages::Member>& sidecars);
    /// Sidecars with a link that `setMembers` no longer names.
    std::vector<Core::InstanceId> unassigned() const;
    /// Closes and removes the link to a sidecar.
    void removeLink(const Core::InstanceId& sidecar);
    /// Sends a message; it is lost if there is no connection or the send queue is full.
    void send(const Core::InstanceId& sidecar, const Messages::WorkMessage& message);
    /// Closes connections from which nothing was received for too long. To be called at least every 100 ms.
    void closeUnresponsive();
    /// Closes all connections; no callback follows.
    void stop();

private:
    struct Link {
        Messages::Member member;
        bool isUnassigned = false;
        Network::PeerConnectionPointer connection;
        bool isConnecting = false;
        /// Incremented with each connection, so that callbacks of earlier ones are ignored.
        std::uint64_t generation = 0;
        Core::SteadyTime lastReceivedAt;
        std::uint32_t failures = 0;
        std::unique_ptr<boost::asio::steady_timer> retryTimer;
    };

    void connect(const Core::InstanceId& sidecar);
    // Closes the links of sidecars that are no longer set, and whose address another one has.
    void closeReplaced();
    void connectionOpened(const Core::InstanceId& sidecar, Network::PeerConnectionPointer connection);
    void connectionLost(const Core::InstanceId& sidecar, const std::string& reason);
    void close(Link& link);

    boost::asio::io_context& context;
    Network::PeerTransport& transport;
    const Core::Clock& clock;
    Logging::StructuredLog& log;
    Messages::Hello identity;
    Handlers handlers;
    std::map<Core::InstanceId, Link> links;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true);
};

}
