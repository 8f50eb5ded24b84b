#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Sidecar/SidecarActions.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace celeryswitch::Sidecar {

/// Settings of the calls to an endpoint; fixed for the client's life.
struct EndpointClientSettings {
    /// "address:port" of the endpoint.
    std::string address;
    /// Sent in the header Celery-Service.
    std::string service;
    /// Open connections at most; calls beyond them are answered as never started.
    std::uint32_t connections = 64;
    /// Largest body of an answer, in bytes; a larger one makes the task Failed with TooLarge.
    std::size_t maximumResultBytes = 1024 * 1024;
    /// Time to connect; the endpoint is on this instance.
    std::chrono::milliseconds connectLimit { 1000 };
    /// Time after which an idle connection is not used again. Kept below common keep-alive times of HTTP servers, since
    /// a request that meets the endpoint's close can't be repeated.
    std::chrono::milliseconds idleLimit { 4000 };
};

/// Calls the endpoint by HTTP/1.1, POST /, over kept connections, one task a connection at a time. A request of which a
/// byte may have been sent is never sent again. Every function runs on the io_context's thread.
class EndpointClient {
public:
    using DoneHandler = std::function<void(CallResult)>;

    EndpointClient(boost::asio::io_context& context, EndpointClientSettings settings);
    ~EndpointClient();
    EndpointClient(const EndpointClient&) = delete;
    EndpointClient& operator=(const EndpointClient&) = delete;

    /// Starts a call. `onDone` is called once, from the event loop.
    void call(StartCall call, DoneHandler onDone);
    /// Connects without sending anything; tells whether the endpoint accepted.
    void probe(std::function<void(bool)> onDone);
    /// Closes idle connections and keeps no more of them.
    void stop();
    /// Connections opened since the start.
    std::uint64_t openedConnections() const;

private:
    class Pool;
    class Call;
    std::shared_ptr<Pool> pool;
};

}
