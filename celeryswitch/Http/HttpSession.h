#pragma once

#include "celeryswitch/Core/Clock.h"
#include "celeryswitch/Http/HttpMessage.h"
#include "celeryswitch/Http/ReceiveBudget.h"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace celeryswitch::Http {

/// Limits of one HTTP connection.
struct HttpLimits {
    std::size_t bodyBytes = 0;
    /// Of the header, of the trailers and of the chunk extensions of a request, each.
    std::size_t headerBytes = 0;
    Core::Duration headerTime {};
    /// Time in which a body has to arrive, and in which a client has to read its answer.
    Core::Duration bodyTime {};
    /// Time between requests, and without regard to the rate of a body.
    Core::Duration idleTime {};
    /// Bytes a second that a body has to arrive with, once it takes longer than `idleTime`; not 0.
    std::size_t bodyBytesPerSecond = 16 * 1024;
};

/// One HTTP/1.1 connection with keep-alive, which handles its requests one after the other.
class HttpSession : public BudgetedConnection {
public:
    using Pointer = std::shared_ptr<HttpSession>;
    /// Called with each request; `respond` is called once for it, now or later.
    using RequestHandler = std::function<void(const Pointer&, HttpRequest)>;
    /// Builds the response to a request that can't be read.
    using MalformedHandler = std::function<HttpResponse(std::uint16_t statusCode, const std::string& reason)>;
    /// Called once when the connection has ended.
    using CloseHandler = std::function<void()>;

    /// What a session calls.
    struct Handlers {
        RequestHandler onRequest;
        MalformedHandler onMalformed;
        CloseHandler onClose;
        /// Called when the caller closes or resets the connection while its request waits; may be empty.
        std::function<void(const Pointer&)> onAbandoned;
    };

    virtual ~HttpSession() = default;
    /// Starts a session on an accepted socket. Each request is held to the limits that are in force when its header
    /// begins.
    static Pointer start(boost::asio::ip::tcp::socket socket, std::shared_ptr<const HttpLimits> limits,
        std::shared_ptr<ReceiveBudget> budget, Handlers handlers);
    /// Sends the response to the request in progress.
    virtual void respond(HttpResponse response) = 0;
    /// The request in progress was taken apart and is not kept: its bytes do not count towards the budget any more.
    virtual void requestDecoded() = 0;
    /// Ends the connection after the request in progress, or at once when there is none.
    virtual void finish() = 0;
    /// Whether the caller has closed or reset the connection, as far as this machine knows at the time of the call.
    virtual bool isClosedByCaller() = 0;
    /// Those of `sessions` for which `isClosedByCaller` holds, found by one system call for all of them.
    static std::vector<HttpSession*> closedByCallers(const std::vector<HttpSession*>& sessions);
    /// Makes the response to the current request the last one of this connection.
    virtual void closeAfterResponse() = 0;
    /// Ends the connection after the next response, also if its request has not arrived yet.
    virtual void release() = 0;
    /// Holds the connection to a changed idle limit if it is idle now.
    virtual void idleLimitChanged() = 0;

protected:
    /// Descriptor of the connection; negative once it is closed.
    virtual int descriptor() = 0;
};

}
