#pragma once

#include "celeryswitch/Http/HttpConnection.h"
#include "celeryswitch/Workers/RunSupervisor.h"
#include "celeryswitch/Workers/WorkerProtocol.h"
#include <deque>
#include <memory>
#include <vector>

namespace celeryswitch::Workers {

/// Sends calls to a worker over persistent HTTP connections, one call per connection at a time. A connection leads to
/// one incarnation of the worker. A start is only sent on a connection whose incarnation a response has identified as
/// the one that the start names; a list of runs is requested first on a connection that is not identified. All
/// functions run on the thread of the io_context.
class WorkerClient {
public:
    using ResultHandler = std::function<void(std::uint64_t callId, CallResult)>;

    /// `address` is the worker's "address:port". At most `connectionLimit` connections are open; further calls are
    /// queued.
    WorkerClient(boost::asio::io_context& context, std::string address, std::size_t connectionLimit,
        const WorkerProtocol& protocol, ResultHandler onResult);

    /// Sends a call. The result handler is called exactly once per call, from the event loop.
    void call(CallWorker action);
    /// Number of connections opened since construction.
    std::uint64_t openedConnections() const { return this->openedCount; }

private:
    struct Connection {
        std::shared_ptr<Http::HttpConnection> http;
        /// Start of the worker at the other end, in milliseconds since 1970; std::nullopt until a response names it.
        std::optional<std::int64_t> workerStartedAt;
    };

    // An idle connection for a call; without one, its `http` is null.
    Connection takeIdle(const WorkerCall& call);
    // Sends a call, and a list of runs before it if the call is a start and the connection is not identified.
    void send(Connection connection, CallWorker action);
    void transmit(Connection connection, CallWorker action);
    // Requests a list of runs, which names the incarnation of the worker, and then sends the start or gives it up.
    void identify(Connection connection, CallWorker action);
    void released(Connection connection, bool isUsable);

    boost::asio::io_context& context;
    std::string address;
    std::size_t connectionLimit;
    const WorkerProtocol& protocol;
    ResultHandler onResult;
    std::vector<Connection> idleConnections;
    std::size_t openCount = 0;
    std::uint64_t openedCount = 0;
    std::deque<CallWorker> queuedCalls;
    /// Callbacks hold a weak pointer to it to detect the destruction of this object.
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true);
};

}
