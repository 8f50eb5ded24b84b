#pragma once

#include "celeryswitch/Core/Result.h"
#include "celeryswitch/Entry/EntryEvents.h"
#include "celeryswitch/Entry/EntrySettings.h"
#include "celeryswitch/Http/HttpServer.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace celeryswitch::Entry {

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
    Core::Result<std::string> listen() { return this->server.listen(this->settings.httpAddress); }
    /// Answers a request that was passed on.
    void answer(const AnswerCaller& action);
    /// Stops listening and ends each connection after its request in progress.
    void stop() { this->server.stop(); }
    /// Connections that are open.
    std::size_t connectionCount() const { return this->server.connectionCount(); }

private:
    using Session = Http::HttpSession::Pointer;
    using HttpRequest = Http::HttpRequest;

    void route(const Session& session, HttpRequest request);
    bool routeOpen(const Session& session, const HttpRequest& request);
    void submit(const Session& session, const HttpRequest& request);
    void reach(const Session& session, const HttpRequest& request, Messages::JobOperation operation);
    void passOn(const Session& session, CallerRequest request);
    bool isAllowed(const HttpRequest& request, TokenRole role) const;

    EntrySettings settings;
    Handlers handlers;
    Http::HttpServer server;
    std::unordered_map<RequestId, Session> waiting;
    RequestId lastRequest = 0;
};

}
