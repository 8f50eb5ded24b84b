#pragma once

#include "celeryswitch/Http/HttpConnection.h"
#include "celeryswitch/Workers/RunSupervisor.h"
#include "celeryswitch/Workers/WorkerProtocol.h"
#include <deque>
#include <memory>
#include <vector>

namespace celeryswitch::Workers {

/// Gives orders to a worker over kept HTTP connections, one order a connection at a time. Every function runs on the
/// io_context's thread.
class WorkerCaller {
public:
    using ResultHandler = std::function<void(std::uint64_t callId, CallResult)>;

    /// `address` is the worker's "address:port"; at most `connectionLimit` connections are open, further orders wait.
    WorkerCaller(boost::asio::io_context& context, std::string address, std::size_t connectionLimit,
        const WorkerProtocol& protocol, ResultHandler onResult);

    /// Gives an order; its result is handed to the handler once, from the event loop.
    void call(CallWorker order);
    /// Connections opened so far.
    std::uint64_t openedConnections() const { return this->opened; }

private:
    using Connection = std::shared_ptr<Http::HttpConnection>;

    void send(Connection connection, CallWorker order);
    void released(Connection connection, bool isUsable);

    boost::asio::io_context& context;
    std::string address;
    std::size_t connectionLimit;
    const WorkerProtocol& protocol;
    ResultHandler onResult;
    std::vector<Connection> idle;
    std::size_t open = 0;
    std::uint64_t opened = 0;
    std::deque<CallWorker> waiting;
    /// Tells callbacks whether this object still exists.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
