#pragma once

#include "celeryswitch/Entry/EntryContext.h"
#include <functional>
#include <map>
#include <unordered_map>

namespace celeryswitch::Entry {

/// Connections to the other entries: forwards callers' requests to the owners of their partitions, relays the answers,
/// and exchanges the use of team quotas. Pure.
class Forwarding {
public:
    /// What others do with forwarded requests and answers.
    struct Handlers {
        /// Answer to a request that was forwarded from here.
        std::function<void(RequestId, Messages::ForwardedAnswer)> onAnswer;
        /// A forwarded request has no answer; the owner may have accepted it.
        std::function<void(RequestId, Messages::JobOperation)> onLost;
    };

    Forwarding(EntryContext& context, Handlers handlers);

    /// Takes the entries of a new view.
    void setMembers(const std::vector<Messages::Member>& members);
    /// Whether a connection was opened to an entry from here.
    bool isLink(ConnectionId connectionId) const { return this->byConnection.contains(connectionId); }
    /// Handles the start and the end of a connection.
    void opened(ConnectionId connectionId);
    void closed(ConnectionId connectionId);
    /// Handles an entry's Hello on a connection that was opened from here.
    void helloReceived(ConnectionId connectionId, const Messages::Hello& hello);
    /// Whether requests can be forwarded to an entry now.
    bool isOpen(const Core::InstanceId& entryId) const;
    /// Forwards a request to an entry; returns false, without having sent it, when there is no connection.
    bool forward(const Core::InstanceId& entryId, const CallerRequest& request);
    /// Handles an answer from an entry.
    void answerReceived(const Messages::ForwardedAnswer& answer);
    /// An entry sent a frame on any connection.
    void heard(const Core::InstanceId& entryId);
    /// Sends a message to every connected entry.
    void sendToAll(const Messages::PeerMessage& message);
    /// Opens connections, gives up silent ones, and ends requests without an answer.
    void tick();
    /// Registered entries without a connection that have been silent for this long.
    std::vector<Core::InstanceId> unreachableFor(Core::Duration span) const;

private:
    struct Link {
        Messages::Member member;
        ConnectionId connectionId = 0;
        bool isOpen = false;
        Core::SteadyTime lastHeard {};
        Core::SteadyTime nextAttempt {};
        Core::SteadyTime helloDeadline {};
    };
    struct Pending {
        RequestId requestId = 0;
        Messages::JobOperation operation = Messages::JobOperation::Submit;
        ConnectionId connectionId = 0;
    };

    void drop(Link& link);

    EntryContext& context;
    Handlers handlers;
    std::map<Core::InstanceId, Link> links;
    std::unordered_map<ConnectionId, Core::InstanceId> byConnection;
    std::map<std::uint64_t, Pending> pending;
    std::multimap<Core::SteadyTime, std::uint64_t> deadlines;
    std::uint64_t lastForward = 0;
};

}
