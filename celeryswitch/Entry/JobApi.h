#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Entry/EntryEvents.h"
#include "celeryswitch/Entry/EntrySettings.h"
#include "celeryswitch/Entry/HttpSession.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace celeryswitch::Entry {

/// Why the HTTP API could not listen.
enum class JobApiError : std::uint8_t {
    BadAddress,
    ListenFailed,
};

/// HTTP API of an entry: POST /v1/jobs, GET and DELETE /v1/teams/{team}/callers/{caller}/jobs/{key}, GET /healthz,
/// /readyz and /metrics. Every function runs on the io_context's thread.
class JobApi {
public:
    /// What the API asks of the process.
    struct Handlers {
        /// Passes a request on; false when it can't be taken now, and then has not run.
        std::function<bool(CallerRequest)> onRequest;
        /// Text of /metrics.
        std::function<std::string()> metricsText;
        /// Whether /readyz answers 200.
        std::function<bool()> isReady;
    };

    JobApi(boost::asio::io_context& context, EntrySettings settings, Handlers handlers);

    /// Starts listening; returns the bound "address:port".
    Core::Result<std::string> listen();
    /// Answers a request that was passed on.
    void answer(const AnswerCaller& action);
    /// Stops listening and ends each connection after its request in progress.
    void stop();
    /// Connections that are open.
    std::size_t connectionCount() const { return this->sessions->size(); }

private:
    using Session = std::shared_ptr<HttpSession>;
    // Open sessions by number; shared with their close handlers, which may outlive this object.
    using Sessions = std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>>;

    void accept();
    void accepted(boost::asio::ip::tcp::socket socket);
    void route(const Session& session, HttpRequest request);
    bool routeOpen(const Session& session, const HttpRequest& request);
    void submit(const Session& session, const HttpRequest& request);
    void reach(const Session& session, const HttpRequest& request, Messages::JobOperation operation);
    void passOn(const Session& session, CallerRequest request);
    bool isAllowed(const HttpRequest& request, TokenRole role) const;

    boost::asio::io_context& context;
    EntrySettings settings;
    Handlers handlers;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    std::shared_ptr<Sessions> sessions;
    std::unordered_map<RequestId, Session> waiting;
    std::uint64_t lastSession = 0;
    RequestId lastRequest = 0;
};

}

namespace celeryswitch::Core {

template <> struct EnumTable<Entry::JobApiError> {
    static constexpr std::string_view type = "JobApiError";
    static constexpr std::array<std::pair<Entry::JobApiError, std::string_view>, 2> names { {
        { Entry::JobApiError::BadAddress, "BadAddress" },
        { Entry::JobApiError::ListenFailed, "ListenFailed" },
    } };
};

}
