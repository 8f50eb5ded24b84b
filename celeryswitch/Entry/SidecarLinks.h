#pragma once

#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Entry/EntryContext.h"
#include <functional>
#include <map>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Connections to the sidecars of the fleet: opens them, tracks clock samples and credits, and detects lost sidecars.
/// Performs no I/O.
class SidecarLinks {
public:
    /// Callbacks for changes of a link.
    struct Handlers {
        /// A sidecar sent its Hello on a new connection.
        std::function<void(const Core::InstanceId&)> onSidecarConnected;
        /// A sidecar restarted, was removed or was silent for too long; its results are no longer awaited.
        std::function<void(const Core::InstanceId&)> onSidecarLost;
    };
    /// Parameters of a task start that depend on the sidecar.
    struct StartTarget {
        ConnectionId connectionId = 0;
        Core::Incarnation incarnation = 0;
        std::int64_t clockEcho = 0;
    };

    SidecarLinks(EntryContext& context, Dispatch::Dispatcher& dispatcher, Handlers handlers);

    /// Updates the links to the sidecars of a new fleet view. Removed sidecars stay connected for recovery until
    /// their retention period ends and the view omits them.
    void setMembers(const std::vector<Messages::Member>& members);
    /// Sidecars of these data centres get no new work.
    void setEvacuatedDataCentres(std::vector<std::string> dataCentres);
    /// Sidecar of a connection; null if the connection belongs to no sidecar.
    const Core::InstanceId* sidecarOf(ConnectionId connectionId) const;
    /// Whether a connection belongs to one of these links.
    bool hasConnection(ConnectionId connectionId) const { return this->sidecarsByConnection.contains(connectionId); }
    /// Handle an established and a closed connection.
    void connectionOpened(ConnectionId connectionId);
    void connectionClosed(ConnectionId connectionId);
    /// Handles a sidecar's Hello.
    void helloReceived(ConnectionId connectionId, const Messages::Hello& hello);
    /// Applies the credits and the clock sample of an update.
    void creditUpdateReceived(const Core::InstanceId& sidecarId, const Messages::CreditUpdate& update);
    /// Applies the clock sample of a frame on the current connection.
    void clockSampleReceived(const Core::InstanceId& sidecarId, std::int64_t clockSample);
    /// Applies the clock sample and the draining state of a heartbeat.
    void heartbeatReceived(const Messages::SidecarHeartbeat& heartbeat);
    /// Target of a task start; empty if the sidecar is not connected or was removed.
    std::optional<StartTarget> startTarget(const Core::InstanceId& sidecarId) const;
    /// Connection of a sidecar that has sent its Hello; 0 if there is none.
    ConnectionId connectionOf(const Core::InstanceId& sidecarId) const;
    /// Service of a sidecar; empty if the sidecar is unknown.
    std::string serviceOf(const Core::InstanceId& sidecarId) const;
    /// Sends a message to every connected sidecar.
    void sendToAll(const Messages::PeerMessage& message);
    /// Sends heartbeats, opens connections and detects silent sidecars.
    void tick(Core::ConfigurationVersion configurationVersion);
    /// Number of connected sidecars.
    std::size_t connectedCount() const;

private:
    struct Link {
        Messages::Member member;
        // Whether the sidecar was removed from the fleet; it then gets no new tasks.
        bool isRemoved = false;
        // 0 if there is no connection.
        ConnectionId connectionId = 0;
        bool isConnected = false;
        bool isLost = false;
        Core::Incarnation incarnation = 0;
        std::int64_t clockSample = 0;
        std::uint64_t creditSequence = 0;
        Core::SteadyTime lastHeard {};
        Core::SteadyTime nextConnectAttempt {};
        // A connection without a Hello is closed at this time.
        Core::SteadyTime helloDeadline {};
        std::uint32_t failedAttempts = 0;
        bool isDrainAnnounced = false;
        bool isDraining = false;
    };

    Link* find(const Core::InstanceId& sidecarId);
    const Link* find(const Core::InstanceId& sidecarId) const;
    void disconnect(Link& link);
    void recordContact(Link& link);
    void updateDraining(Link& link);
    void scheduleReconnect(Link& link);
    void markLost(Link& link);
    void updateLink(Link& link);

    EntryContext& context;
    Dispatch::Dispatcher& dispatcher;
    Handlers handlers;
    std::map<Core::InstanceId, Link> links;
    std::vector<std::string> evacuatedDataCentres;
    std::unordered_map<ConnectionId, Core::InstanceId> sidecarsByConnection;
    Core::SteadyTime nextHeartbeat {};
};

}
