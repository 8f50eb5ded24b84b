#pragma once

#include "celeryswitch/Dispatch/Dispatcher.h"
#include "celeryswitch/Entry/EntryContext.h"
#include <functional>
#include <map>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Connections to the sidecars of the fleet: opens them, keeps clock samples and credits, and notices silence. Pure.
class SidecarLinks {
public:
    /// What others do when a link changes.
    struct Handlers {
        /// A sidecar's Hello arrived on a new connection.
        std::function<void(const Core::InstanceId&)> onOpened;
        /// A sidecar incarnation is gone, or was silent for too long to wait for its results.
        std::function<void(const Core::InstanceId&)> onLost;
    };
    /// What a start needs to know of its sidecar.
    struct StartTarget {
        ConnectionId connectionId = 0;
        Core::Incarnation incarnation = 0;
        std::int64_t clockEcho = 0;
    };

    SidecarLinks(EntryContext& context, Dispatch::Dispatcher& dispatcher, Handlers handlers);

    /// Takes the sidecars of a new view; removed ones stay connected for recovery until their retention ends.
    void setMembers(const std::vector<Messages::Member>& members);
    /// Sidecar behind a connection, or null when the connection belongs to none.
    const Core::InstanceId* sidecarOf(ConnectionId connectionId) const;
    /// Whether a connection was opened by these links.
    bool isLink(ConnectionId connectionId) const { return this->byConnection.contains(connectionId); }
    /// Handles the start and the end of a connection.
    void opened(ConnectionId connectionId);
    void closed(ConnectionId connectionId);
    /// Handles a sidecar's Hello.
    void helloReceived(ConnectionId connectionId, const Messages::Hello& hello);
    /// Takes credits and the clock sample of an update.
    void creditUpdated(const Core::InstanceId& sidecarId, const Messages::CreditUpdate& update);
    /// Takes the clock sample of a frame on the current connection.
    void sampleReceived(const Core::InstanceId& sidecarId, std::int64_t clockSample);
    /// Takes a heartbeat.
    void heartbeatReceived(const Messages::SidecarHeartbeat& heartbeat);
    /// Where to send a start, or nothing when the sidecar can't take one now.
    std::optional<StartTarget> startTarget(const Core::InstanceId& sidecarId) const;
    /// Connection of a sidecar that has said Hello; 0 when there is none.
    ConnectionId connectionOf(const Core::InstanceId& sidecarId) const;
    /// Service of a sidecar; empty when unknown.
    std::string serviceOf(const Core::InstanceId& sidecarId) const;
    /// Sends a message to every connected sidecar.
    void sendToAll(const Messages::PeerMessage& message);
    /// Sends heartbeats, opens connections and notices silent sidecars.
    void tick(Core::ConfigurationVersion configurationVersion);
    /// Number of sidecars that are connected.
    std::size_t openCount() const;

private:
    struct Link {
        Messages::Member member;
        // Sidecars that were removed from the fleet get no new work.
        bool isRemoved = false;
        // 0 while there is no connection.
        ConnectionId connectionId = 0;
        bool isOpen = false;
        bool isLost = false;
        Core::Incarnation incarnation = 0;
        std::int64_t clockSample = 0;
        std::uint64_t creditSequence = 0;
        Core::SteadyTime lastHeard {};
        Core::SteadyTime nextAttempt {};
        // A connection without a Hello by this time is given up.
        Core::SteadyTime helloDeadline {};
        std::uint32_t failedAttempts = 0;
        bool isAnnouncedDraining = false;
        bool isDraining = false;
    };

    Link* find(const Core::InstanceId& sidecarId);
    const Link* find(const Core::InstanceId& sidecarId) const;
    void drop(Link& link);
    void heard(Link& link);
    void updateDraining(Link& link);
    void scheduleAttempt(Link& link);
    void markLost(Link& link);
    void tickLink(Link& link);

    EntryContext& context;
    Dispatch::Dispatcher& dispatcher;
    Handlers handlers;
    std::map<Core::InstanceId, Link> links;
    std::unordered_map<ConnectionId, Core::InstanceId> byConnection;
    Core::SteadyTime nextHeartbeat {};
};

}
