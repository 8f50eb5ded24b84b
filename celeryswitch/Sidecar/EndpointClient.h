#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Sidecar/SidecarActions.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace celeryswitch::Sidecar {

/// Settings of an EndpointClient; constant after construction.
struct EndpointClientSettings {
    /// "address:port" of the endpoint.
    std::string address;
    /// Sent in the header Celery-Service.
    std::string service;
    /// Maximum number of open connections; calls beyond it end as never started.
    std::uint32_t connections = 64;
    /// Maximum size of a response body in bytes; a task with a larger one ends as Failed with reason TooLarge.
    std::size_t maximumResultBytes = 1024 * 1024;
    /// Time limit for connecting; short, since the endpoint runs on the same instance.
    std::chrono::milliseconds connectTimeout { 1000 };
    /// Time after which an idle connection is not reused. Below the usual keep-alive times of HTTP servers, since a
    /// request that crosses the endpoint's close can't be retried.
    std::chrono::milliseconds idleTimeout { 4000 };
};

/// Sends tasks to the endpoint by HTTP/1.1, POST /, over persistent connections, one task per connection at a time. A
/// request of which any byte may have been sent is never retried. All functions run on the thread of the io_context.
class EndpointClient {
public:
    using DoneHandler = std::function<void(CallResult)>;

    EndpointClient(boost::asio::io_context& context, EndpointClientSettings settings);
    ~EndpointClient();
    EndpointClient(const EndpointClient&) = delete;
    EndpointClient& operator=(const EndpointClient&) = delete;

    /// Starts a call. `onDone` is called exactly once, from the event loop.
    void call(StartCall call, DoneHandler onDone);
    /// Connects without sending anything, and passes to `onDone` whether the endpoint accepted the connection.
    void probe(std::function<void(bool)> onDone);
    /// Closes idle connections, and from now on closes each connection after its call.
    void stop();
    /// Number of connections opened since construction.
    std::uint64_t openedConnections() const;

private:
    class Pool;
    class Call;
    std::shared_ptr<Pool> pool;
};

}
