#pragma once

#include "celeryswitch/Logging/StructuredLog.h"
#include "celeryswitch/Messages/StateMessages.h"
#include "celeryswitch/Messages/WorkMessages.h"
#include "celeryswitch/Network/PeerConnection.h"
#include <functional>
#include <map>
#include <memory>

namespace celeryswitch::Workers {

/// The connections of entries to a sidecar, by number. All functions run on the thread of the io_context.
class EntryConnections {
public:
    /// Callbacks, called on the io_context's thread.
    struct Handlers {
        /// An entry has introduced itself, with the first message of a connection.
        std::function<void(std::uint64_t connection, const Messages::Hello&)> onHello;
        std::function<void(std::uint64_t connection, Messages::WorkMessage)> onMessage;
        /// A connection has ended, other than by `close`.
        std::function<void(std::uint64_t connection)> onClosed;
    };

    /// `log` outlives the connections.
    EntryConnections(Logging::StructuredLog& log, Handlers handlers);

    /// Takes a new connection.
    void add(Network::PeerConnectionPointer connection);
    /// Sends a message, if the connection is open. A connection that takes no more messages is closed: without the lost
    /// one the entry would never learn of an end, whereas it claims its runs when it connects anew.
    void send(std::uint64_t connection, const Messages::WorkMessage& message);
    /// Closes a connection; no callback follows.
    void close(std::uint64_t connection);

private:
    /// A connection to an entry; identified once the entry has sent Hello.
    struct EntryConnection {
        Network::PeerConnectionPointer connection;
        bool isIdentified = false;
    };

    void frameReceived(std::uint64_t number, const std::string& payload);
    // Closes a connection because of a fault.
    void abandon(std::uint64_t number);
    void ended(std::uint64_t number);

    Logging::StructuredLog& log;
    Handlers handlers;
    std::map<std::uint64_t, EntryConnection> connections;
    std::uint64_t lastConnection = 0;
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true);
};

}
