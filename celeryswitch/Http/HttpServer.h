#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Http/HttpSession.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <unordered_map>

namespace celeryswitch::Http {

/// Why a server could not listen.
enum class HttpServerError : std::uint8_t {
    BadAddress,
    ListenFailed,
};

/// Listens on one address and runs a session for each connection. Every function runs on the io_context's thread.
///
/// When every place is taken, a new connection replaces one that makes no progress. When there is none either, it waits
/// for one of the oldest connections to end with its next answer; nothing more is accepted meanwhile, so that callers
/// get their places in the order in which they came. It is closed when no place has become free for a second.
class HttpServer {
public:
    /// What a server asks of its owner.
    struct Handlers {
        HttpSession::RequestHandler onRequest;
        HttpSession::MalformedHandler onMalformed;
        /// See HttpSession::Handlers; may be empty.
        std::function<void(const HttpSession::Pointer&)> onAbandoned;
    };

    /// At most `connectionsLimit` connections are served. `budget` is that of the process; without one the server has
    /// one of its own, derived from the machine's memory.
    HttpServer(boost::asio::io_context& context, HttpLimits limits, std::size_t connectionsLimit, Handlers handlers,
        std::shared_ptr<ReceiveBudget> budget = nullptr);

    /// Changes the number of connections that the system keeps until they are accepted; called before `listen`. What
    /// they send is kept as well, also while the process does not run.
    void setBacklog(std::size_t connections) { this->backlog = static_cast<int>(connections); }
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
    std::size_t connectionCount() const { return this->sessions->byNumber.size(); }

    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

private:
    using Timer = boost::asio::steady_timer;

    // Open sessions by number; shared with their close handlers, which may outlive this object.
    struct Sessions {
        std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>> byNumber;
        /// Called when one has ended.
        std::function<void()> onEnd;
    };

    void accept();
    void accepted(boost::asio::ip::tcp::socket socket);
    HttpSession::Pointer startSession(boost::asio::ip::tcp::socket socket);
    // Number of connections that have to leave in the present crowd.
    std::size_t leavingCount(Timer::time_point now) const;
    std::vector<ConnectionState> states(Timer::time_point now) const;
    // Whether there is a place for a new connection, if need be that of one that makes no progress. If not, asks the
    // oldest connections to leave.
    bool findPlace(Timer::time_point now);
    // Serves the connection that waits for a place; false when there is none. Closes it when it has waited for too
    // long.
    bool placeNewcomer();
    // Goes on accepting once the connection that waits has its place.
    void placeWaiting();
    void sessionEnded();

    // Shared with the sessions, which may outlive this object.
    std::shared_ptr<HttpLimits> limits;
    std::shared_ptr<ReceiveBudget> budget;
    std::size_t connectionsLimit;
    int backlog;
    Handlers handlers;
    boost::asio::ip::tcp::acceptor acceptor;
    Timer acceptTimer;
    std::shared_ptr<Sessions> sessions;
    // Connection that waits for a place.
    std::optional<boost::asio::ip::tcp::socket> newcomer;
    Timer newcomerTimer;
    // When the present crowd began, when a connection last had to wait for its place, and when one last found a place.
    std::optional<Timer::time_point> crowdedSince;
    Timer::time_point waitedAt {};
    Timer::time_point placeFreeAt {};
    // All connections are looked at only now and then, however many new ones come.
    Timer::time_point nextLookAt {};
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
