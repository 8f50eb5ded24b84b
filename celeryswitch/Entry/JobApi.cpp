#include "celeryswitch/Entry/JobApi.h"

#include "celeryswitch/Entry/JobCodec.h"
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <openssl/crypto.h>

namespace celeryswitch::Entry {

namespace {

// Longer waits are reduced to this, to bound the time for which a request occupies a connection.
constexpr std::uint32_t maximumWaitSeconds = 120;

// Parses "wait=<seconds>" of a Prefer header (RFC 7240) into milliseconds; 0 if it is absent or invalid.
std::uint32_t parseWait(const std::string& prefer)
{
    std::vector<std::string> preferences;
    boost::algorithm::split(preferences, prefer, boost::algorithm::is_any_of(",;"));
    for (std::string& preference : preferences) {
        boost::algorithm::trim(preference);
        if (!boost::algorithm::istarts_with(preference, "wait="))
            continue;
        std::uint32_t seconds = 0;
        const char* end = preference.data() + preference.size();
        if (std::from_chars(preference.data() + 5, end, seconds).ptr == end)
            return std::min(seconds, maximumWaitSeconds) * 1000;
    }
    return 0;
}

Http::HttpResponse plainTextResponse(std::uint16_t status, std::string body)
{
    return { status, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(body) };
}

// Converts an answer of the core into an HTTP response.
Http::HttpResponse toResponse(const Messages::ForwardedAnswer& answer, const std::string& location = {})
{
    Http::HttpResponse response { answer.statusCode, { { "Content-Type", answer.contentType } }, answer.body };
    if (answer.retryAfterSeconds > 0)
        response.headers.set("Retry-After", std::to_string(answer.retryAfterSeconds));
    if (!location.empty())
        response.headers.set("Location", location);
    return response;
}

Http::HttpResponse toResponse(const Problem& problem) { return toResponse(makeAnswer(problem)); }

}

JobApi::JobApi(boost::asio::io_context& context, EntrySettings settings, Handlers handlers)
    : settings(std::move(settings))
    , handlers(std::move(handlers))
    , server(context,
          { this->settings.bodyBytesLimit, this->settings.headerBytesLimit, this->settings.headerTimeout,
              this->settings.bodyTimeout, this->settings.idleTimeout },
          this->settings.connectionsLimit,
          { [this](const Session& session, HttpRequest request) { this->route(session, std::move(request)); },
              [](std::uint16_t status, const std::string& reason) {
                  return toResponse(Problem { status, "malformed-request", "The HTTP request can't be read", reason });
              },
              {} })
{
}

void JobApi::answer(const AnswerCaller& action)
{
    const auto found = this->pendingSessions.find(action.answer.requestId);
    if (found == this->pendingSessions.end())
        return;
    const Session session = std::move(found->second);
    this->pendingSessions.erase(found);
    session->respond(toResponse(action.answer, action.location));
}

void JobApi::route(const Session& session, HttpRequest request)
{
    if (this->routeUnauthenticated(session, request))
        return;
    const bool isMetrics = request.path == "/metrics";
    if (!this->isAuthorized(request, isMetrics ? TokenRole::Operator : TokenRole::Caller)) {
        session->respond(toResponse(Problem { 401, "unauthorized", "The bearer token is missing or not accepted" }));
        return;
    }
    if (isMetrics && request.method == "GET")
        session->respond(plainTextResponse(200, this->handlers.metricsText()));
    else if (request.path == "/v1/jobs" && request.method == "POST")
        this->submit(session, request);
    else if (request.path.starts_with("/v1/teams/") && request.method == "GET")
        this->accessJob(session, request, Messages::JobOperation::Fetch);
    else if (request.path.starts_with("/v1/teams/") && request.method == "DELETE")
        this->accessJob(session, request, Messages::JobOperation::Cancel);
    else if (request.path == "/v1/jobs" || request.path.starts_with("/v1/teams/") || isMetrics)
        session->respond(toResponse(Problem { 405, "method-not-allowed", "The path has no such method" }));
    else
        session->respond(toResponse(Problem { 404, "unknown-path", "There is nothing under this path" }));
}

bool JobApi::routeUnauthenticated(const Session& session, const HttpRequest& request)
{
    if (request.method != "GET" || (request.path != "/healthz" && request.path != "/readyz"))
        return false;
    const bool isHealthy = request.path == "/healthz" || this->handlers.isReady();
    session->respond(plainTextResponse(isHealthy ? 200 : 503, isHealthy ? "ok\n" : "not ready\n"));
    return true;
}

void JobApi::submit(const Session& session, const HttpRequest& request)
{
    ParsedSubmission submission = parseSubmission(request.body);
    if (!submission) {
        session->respond(toResponse(submission.error()));
        return;
    }
    this->enqueueRequest(session,
        { 0, Messages::JobOperation::Submit, parseWait(std::string(request.headers.value("Prefer"))),
            std::move(submission.value()) });
}

void JobApi::accessJob(const Session& session, const HttpRequest& request, Messages::JobOperation operation)
{
    std::vector<std::string> segments;
    boost::algorithm::split(segments, request.path, boost::algorithm::is_any_of("/"));
    // Path segments: "", "v1", "teams", team, "callers", caller, "jobs", key.
    std::vector<std::string> names;
    if (segments.size() == 8 && segments[4] == "callers" && segments[6] == "jobs") {
        for (const std::size_t index : { 3, 5, 7 }) {
            std::optional<std::string> name = decodePathSegment(segments[index]);
            if (name && !name->empty())
                names.push_back(std::move(*name));
        }
    }
    if (names.size() != 3) {
        session->respond(toResponse(Problem { 404, "unknown-path", "There is nothing under this path" }));
        return;
    }
    CallerRequest jobRequest { 0, operation, parseWait(std::string(request.headers.value("Prefer"))), {} };
    jobRequest.submission.team = std::move(names[0]);
    jobRequest.submission.caller = std::move(names[1]);
    jobRequest.submission.idempotencyKey = std::move(names[2]);
    this->enqueueRequest(session, std::move(jobRequest));
}

void JobApi::enqueueRequest(const Session& session, CallerRequest request)
{
    request.requestId = ++this->lastRequestId;
    const RequestId requestId = request.requestId;
    this->pendingSessions.emplace(requestId, session);
    if (this->handlers.onRequest(std::move(request)))
        return;
    this->pendingSessions.erase(requestId);
    session->respond(toResponse(makeRefusal(
        Messages::TaskReason::QueueFull, std::chrono::seconds(1), "The entry has too many requests to handle")));
}

bool JobApi::isAuthorized(const HttpRequest& request, TokenRole role) const
{
    if (this->settings.tokens.empty())
        return true;
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization = request.headers.value("Authorization");
    if (!authorization.starts_with(scheme))
        return false;
    const std::string_view presented = authorization.substr(scheme.size());
    bool isAccepted = false;
    for (const AccessToken& token : this->settings.tokens) {
        const bool isMatch = token.token.size() == presented.size()
            && CRYPTO_memcmp(token.token.data(), presented.data(), presented.size()) == 0;
        isAccepted = isAccepted || (isMatch && (token.role == TokenRole::Operator || role == TokenRole::Caller));
    }
    return isAccepted;
}

}
