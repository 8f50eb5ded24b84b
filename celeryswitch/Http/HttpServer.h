#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Http/HttpSession.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

namespace celeryswitch::Http {

/// Why a server could not listen.
enum class HttpServerError : std::uint8_t {
    BadAddress,
    ListenFailed,
};

/// Listens on one address and runs a session for each connection. Every function runs on the io_context's thread.
class HttpServer {
public:
    /// What a server asks of its owner.
    struct Handlers {
        HttpSession::RequestHandler onRequest;
        HttpSession::MalformedHandler onMalformed;
        /// See HttpSession::Handlers; may be empty.
        std::function<void(const HttpSession::Pointer&)> onAbandoned;
    };

    /// A connection beyond `connectionsLimit` replaces one that makes no progress, or is closed at once. `budget` is
    /// that of the process; without one the server has one of its own, derived from the machine's memory.
    HttpServer(boost::asio::io_context& context, HttpLimits limits, std::size_t connectionsLimit, Handlers handlers,
        std::shared_ptr<ReceiveBudget> budget = nullptr);

    /// Starts listening on "address:port"; returns the bound "address:port".
    Core::Result<std::string> listen(const std::string& address);
    /// Limits of the requests whose header begins from now on, also on open connections. Idle connections are held to
    /// the idle limit at once.
    void setLimits(const HttpLimits& value);
    /// Stops accepting; open connections stay.
    void stopAccepting();
    /// Stops accepting and ends each connection after its request in progress.
    void stop();
    /// Connections that are open.
    std::size_t connectionCount() const { return this->sessions->size(); }

private:
    // Open sessions by number; shared with their close handlers, which may outlive this object.
    using Sessions = std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>>;

    void accept();
    void accepted(boost::asio::ip::tcp::socket socket);
    // Closes a connection in favour of a new one; false when none can be spared.
    bool makeRoom();

    // Shared with the sessions, which may outlive this object.
    std::shared_ptr<HttpLimits> limits;
    std::shared_ptr<ReceiveBudget> budget;
    std::size_t connectionsLimit;
    Handlers handlers;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    std::shared_ptr<Sessions> sessions;
    std::uint64_t lastSession = 0;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Http::HttpServerError> {
    static constexpr std::string_view type = "HttpServerError";
    static constexpr std::array<std::pair<Http::HttpServerError, std::string_view>, 2> names { {
        { Http::HttpServerError::BadAddress, "BadAddress" },
        { Http::HttpServerError::ListenFailed, "ListenFailed" },
    } };
};

}
