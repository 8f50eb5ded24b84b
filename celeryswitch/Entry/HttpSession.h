#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Messages/TaskMessages.h"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace celeryswitch::Entry {

/// A request as the routes see it.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string body;
    /// Value of the Authorization header.
    std::string authorization;
    /// Value of the Prefer header.
    std::string prefer;
};

/// Limits of one HTTP connection.
struct HttpLimits {
    std::size_t bodyBytes = 0;
    std::size_t headerBytes = 0;
    Core::Duration headerTime {};
    Core::Duration bodyTime {};
    Core::Duration idleTime {};
};

/// One HTTP/1.1 connection with keep-alive, which handles its requests one after the other.
class HttpSession {
public:
    /// Called with each request; `respond` is called once for it, now or later.
    using RequestHandler = std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>;
    /// Called once when the connection has ended.
    using CloseHandler = std::function<void()>;

    virtual ~HttpSession() = default;
    /// Starts a session on an accepted socket.
    static std::shared_ptr<HttpSession> start(
        boost::asio::ip::tcp::socket socket, const HttpLimits& limits, RequestHandler onRequest, CloseHandler onClose);
    /// Sends the response to the request in progress.
    virtual void respond(const Messages::ForwardedAnswer& answer, const std::string& location) = 0;
    /// Ends the connection after the request in progress, or at once when there is none.
    virtual void finish() = 0;
};

}
