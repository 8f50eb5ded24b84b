#pragma once

#include "celeryswitch/Entry/EntryContext.h"
#include <functional>
#include <map>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Connections from this entry to all other entries. They carry requests forwarded to partition owners, the answers,
/// and the usage of team quotas. Performs no I/O.
class EntryLinks {
public:
    /// Callbacks for the outcomes of forwarded requests.
    struct Handlers {
        /// A forwarded request was answered.
        std::function<void(RequestId, Messages::ForwardedAnswer)> onAnswerReceived;
        /// A forwarded request timed out or its connection was lost; the owner may have accepted it.
        std::function<void(RequestId, Messages::JobOperation)> onRequestLost;
    };

    EntryLinks(EntryContext& context, Handlers handlers);

    /// Updates the links to the entries of a new fleet view.
    void setMembers(const std::vector<Messages::Member>& members);
    /// Whether a connection belongs to one of these links.
    bool hasConnection(ConnectionId connectionId) const { return this->entriesByConnection.contains(connectionId); }
    /// Handle an established and a closed connection.
    void connectionOpened(ConnectionId connectionId);
    void connectionClosed(ConnectionId connectionId);
    /// Handles the Hello of the entry at the other end of a link.
    void helloReceived(ConnectionId connectionId, const Messages::Hello& hello);
    /// Whether an entry is connected and has sent its Hello.
    bool isConnected(const Core::InstanceId& entryId) const;
    /// Forwards a request to an entry. Returns false, and sends nothing, if the entry is not connected.
    bool forward(const Core::InstanceId& entryId, const CallerRequest& request);
    /// Handles the answer to a forwarded request.
    void answerReceived(const Messages::ForwardedAnswer& answer);
    /// Records that a frame of an entry arrived, on any connection.
    void recordContact(const Core::InstanceId& entryId);
    /// Sends a message to every connected entry.
    void sendToAll(const Messages::PeerMessage& message);
    /// Opens connections, closes silent ones and times out forwarded requests.
    void tick();
    /// Registered entries that are not connected and have sent nothing for longer than `duration`.
    std::vector<Core::InstanceId> entriesUnreachableFor(Core::Duration duration) const;

private:
    struct Link {
        Messages::Member member;
        ConnectionId connectionId = 0;
        bool isConnected = false;
        Core::SteadyTime lastHeard {};
        Core::SteadyTime nextConnectAttempt {};
        Core::SteadyTime helloDeadline {};
    };
    struct PendingRequest {
        RequestId requestId = 0;
        Messages::JobOperation operation = Messages::JobOperation::Submit;
        ConnectionId connectionId = 0;
    };

    void disconnect(Link& link);

    EntryContext& context;
    Handlers handlers;
    std::map<Core::InstanceId, Link> links;
    std::unordered_map<ConnectionId, Core::InstanceId> entriesByConnection;
    std::map<std::uint64_t, PendingRequest> pendingRequests;
    std::multimap<Core::SteadyTime, std::uint64_t> deadlines;
    std::uint64_t lastForwardId = 0;
};

}
