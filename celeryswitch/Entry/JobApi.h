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
    /// Callbacks into the entry process.
    struct Handlers {
        /// Queues a request for the core; false if the queue is full and the request was not accepted.
        std::function<bool(CallerRequest)> onRequest;
        /// Returns the body of /metrics.
        std::function<std::string()> metricsText;
        /// Whether /readyz answers 200.
        std::function<bool()> isReady;
    };

    JobApi(boost::asio::io_context& context, EntrySettings settings, Handlers handlers);

    /// Starts to listen; returns the bound "address:port". Errors: Http::HttpServerError.
    Core::Result<std::string> listen() { return this->server.listen(this->settings.httpAddress); }
    /// Sends the response to a request that `onRequest` accepted.
    void answer(const AnswerCaller& action);
    /// Stops listening and closes each connection after its current request.
    void stop() { this->server.stop(); }
    /// Number of open connections.
    std::size_t connectionCount() const { return this->server.connectionCount(); }

private:
    using Session = Http::HttpSession::Pointer;
    using HttpRequest = Http::HttpRequest;

    void route(const Session& session, HttpRequest request);
    bool routeUnauthenticated(const Session& session, const HttpRequest& request);
    void submit(const Session& session, const HttpRequest& request);
    void accessJob(const Session& session, const HttpRequest& request, Messages::JobOperation operation);
    void enqueueRequest(const Session& session, CallerRequest request);
    bool isAuthorized(const HttpRequest& request, TokenRole role) const;

    EntrySettings settings;
    Handlers handlers;
    Http::HttpServer server;
    std::unordered_map<RequestId, Session> pendingSessions;
    RequestId lastRequestId = 0;
};

}
