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

/// Connections of an entry to the sidecars of leased workers: opened when a sidecar becomes known, opened anew when
/// they are lost or silent. Every function runs on the io_context's thread.
class SidecarLinks {
public:
    /// What the links call.
    struct Handlers {
        std::function<void(const Messages::Member&)> onConnected;
        std::function<void(const Core::InstanceId&)> onDisconnected;
        std::function<void(const Core::InstanceId&, Messages::WorkerUpdate)> onUpdate;
    };

    /// `context`, `transport`, `clock` and `log` outlive the links.
    SidecarLinks(boost::asio::io_context& context, Network::PeerTransport& transport, const Core::Clock& clock,
        Logging::StructuredLog& log, Messages::Hello identity, Handlers handlers);

    /// Links to these sidecars. Links to others stay until `drop`, for the runs that are left there.
    void setMembers(const std::vector<Messages::Member>& sidecars);
    /// Links to sidecars that `setMembers` no longer names.
    std::vector<Core::InstanceId> leaving() const;
    /// Closes the link to a sidecar.
    void drop(const Core::InstanceId& sidecar);
    /// Sends a message; one that can't be sent is lost with its connection.
    void send(const Core::InstanceId& sidecar, const Messages::WorkMessage& message);
    /// Closes connections that were silent for too long. Called every 100 ms or so.
    void dropSilent();
    /// Closes everything.
    void stop();

private:
    struct Link {
        Messages::Member member;
        bool isLeaving = false;
        Network::PeerConnectionPointer connection;
        bool isConnecting = false;
        /// Tells the callbacks of an earlier connection.
        std::uint64_t generation = 0;
        Core::SteadyTime heardAt;
        std::uint32_t failures = 0;
        std::unique_ptr<boost::asio::steady_timer> retryTimer;
    };

    void connect(const Core::InstanceId& sidecar);
    void connected(const Core::InstanceId& sidecar, Network::PeerConnectionPointer connection);
    void lost(const Core::InstanceId& sidecar, const std::string& reason);
    void close(Link& link);

    boost::asio::io_context& context;
    Network::PeerTransport& transport;
    const Core::Clock& clock;
    Logging::StructuredLog& log;
    Messages::Hello identity;
    Handlers handlers;
    std::map<Core::InstanceId, Link> links;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
