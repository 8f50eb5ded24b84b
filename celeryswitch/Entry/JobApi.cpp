#include "celeryswitch/Entry/JobApi.h"

#include "celeryswitch/Entry/JobCodec.h"
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <openssl/crypto.h>

namespace celeryswitch::Entry {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay { 100 };
// Waits above this are shortened; it bounds the time for which a caller holds a connection.
constexpr std::uint32_t longestWaitSeconds = 120;

Core::Result<tcp::endpoint> parseEndpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    if (error || colon == std::string::npos || std::from_chars(text.data() + colon + 1, end, port).ptr != end)
        return Core::Error(JobApiError::BadAddress, text);
    return tcp::endpoint(address, port);
}

// Milliseconds of "wait=<seconds>" in a Prefer header (RFC 7240); 0 without one.
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
            return std::min(seconds, longestWaitSeconds) * 1000;
    }
    return 0;
}

Messages::ForwardedAnswer plainAnswer(std::uint16_t status, std::string body)
{
    return { 0, status, 0, "text/plain; version=0.0.4", std::move(body) };
}

}

JobApi::JobApi(boost::asio::io_context& context, EntrySettings settings, Handlers handlers)
    : context(context)
    , settings(std::move(settings))
    , handlers(std::move(handlers))
    , acceptor(context)
    , acceptTimer(context)
    , sessions(std::make_shared<Sessions>())
{
}

Core::Result<std::string> JobApi::listen()
{
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, parseEndpoint(this->settings.httpAddress));
    error_code error;
    this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return Core::Error(JobApiError::ListenFailed, this->settings.httpAddress + ": " + error.message());
    this->accept();
    const tcp::endpoint bound = this->acceptor.local_endpoint();
    return bound.address().to_string() + ":" + std::to_string(bound.port());
}

void JobApi::accept()
{
    this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !this->acceptor.is_open())
            return;
        if (!error) {
            this->accepted(std::move(socket));
            this->accept();
            return;
        }
        // For example too many open files; accepting again at once would spin.
        this->acceptTimer.expires_after(acceptRetryDelay);
        this->acceptTimer.async_wait([this](error_code waitError) {
            if (!waitError)
                this->accept();
        });
    });
}

void JobApi::accepted(tcp::socket socket)
{
    if (this->sessions->size() >= this->settings.connectionsLimit)
        return;
    const std::uint64_t number = ++this->lastSession;
    const HttpLimits limits { this->settings.bodyBytesLimit, this->settings.headerBytesLimit, this->settings.headerTime,
        this->settings.bodyTime, this->settings.idleTime };
    (*this->sessions)[number] = {};
    const Session session = HttpSession::start(
        std::move(socket), limits,
        [this](const Session& sender, HttpRequest request) { this->route(sender, std::move(request)); },
        [open = std::weak_ptr<Sessions>(this->sessions), number] {
            if (const std::shared_ptr<Sessions> known = open.lock())
                known->erase(number);
        });
    (*this->sessions)[number] = session;
}

void JobApi::answer(const AnswerCaller& action)
{
    const auto found = this->waiting.find(action.answer.requestId);
    if (found == this->waiting.end())
        return;
    const Session session = std::move(found->second);
    this->waiting.erase(found);
    session->respond(action.answer, action.location);
}

void JobApi::stop()
{
    error_code ignored;
    this->acceptor.close(ignored);
    this->acceptTimer.cancel();
    for (const auto& [number, session] : Sessions(*this->sessions)) {
        if (const Session open = session.lock())
            open->finish();
    }
}

void JobApi::route(const Session& session, HttpRequest request)
{
    if (this->routeOpen(session, request))
        return;
    const bool isMetrics = request.path == "/metrics";
    if (!this->isAllowed(request, isMetrics ? TokenRole::Operator : TokenRole::Caller)) {
        session->respond(makeAnswer({ 401, "unauthorized", "The bearer token is missing or not accepted" }), {});
        return;
    }
    if (isMetrics && request.method == "GET")
        session->respond(plainAnswer(200, this->handlers.metricsText()), {});
    else if (request.path == "/v1/jobs" && request.method == "POST")
        this->submit(session, request);
    else if (request.path.starts_with("/v1/teams/") && request.method == "GET")
        this->reach(session, request, Messages::JobOperation::Fetch);
    else if (request.path.starts_with("/v1/teams/") && request.method == "DELETE")
        this->reach(session, request, Messages::JobOperation::Cancel);
    else if (request.path == "/v1/jobs" || request.path.starts_with("/v1/teams/") || isMetrics)
        session->respond(makeAnswer({ 405, "method-not-allowed", "The path has no such method" }), {});
    else
        session->respond(makeAnswer({ 404, "unknown-path", "There is nothing under this path" }), {});
}

bool JobApi::routeOpen(const Session& session, const HttpRequest& request)
{
    if (request.method != "GET" || (request.path != "/healthz" && request.path != "/readyz"))
        return false;
    const bool isUp = request.path == "/healthz" || this->handlers.isReady();
    session->respond(plainAnswer(isUp ? 200 : 503, isUp ? "ok\n" : "not ready\n"), {});
    return true;
}

void JobApi::submit(const Session& session, const HttpRequest& request)
{
    ParsedSubmission submission = parseSubmission(request.body);
    if (!submission) {
        session->respond(makeAnswer(submission.error()), {});
        return;
    }
    this->passOn(
        session, { 0, Messages::JobOperation::Submit, parseWait(request.prefer), std::move(submission.value()) });
}

void JobApi::reach(const Session& session, const HttpRequest& request, Messages::JobOperation operation)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, request.path, boost::algorithm::is_any_of("/"));
    // "", "v1", "teams", team, "callers", caller, "jobs", key
    std::vector<std::string> names;
    if (parts.size() == 8 && parts[4] == "callers" && parts[6] == "jobs") {
        for (const std::size_t index : { 3, 5, 7 }) {
            std::optional<std::string> name = decodePathPart(parts[index]);
            if (name && !name->empty())
                names.push_back(std::move(*name));
        }
    }
    if (names.size() != 3) {
        session->respond(makeAnswer({ 404, "unknown-path", "There is nothing under this path" }), {});
        return;
    }
    CallerRequest passed { 0, operation, parseWait(request.prefer), {} };
    passed.submission.team = std::move(names[0]);
    passed.submission.caller = std::move(names[1]);
    passed.submission.idempotencyKey = std::move(names[2]);
    this->passOn(session, std::move(passed));
}

void JobApi::passOn(const Session& session, CallerRequest request)
{
    request.requestId = ++this->lastRequest;
    const RequestId requestId = request.requestId;
    this->waiting.emplace(requestId, session);
    if (this->handlers.onRequest(std::move(request)))
        return;
    this->waiting.erase(requestId);
    session->respond(makeAnswer(refusalOf(Messages::TaskReason::QueueFull, std::chrono::seconds(1),
                         "The entry has too many requests to handle")),
        {});
}

bool JobApi::isAllowed(const HttpRequest& request, TokenRole role) const
{
    if (this->settings.tokens.empty())
        return true;
    constexpr std::string_view scheme = "Bearer ";
    if (!request.authorization.starts_with(scheme))
        return false;
    const std::string_view given = std::string_view(request.authorization).substr(scheme.size());
    bool isFound = false;
    for (const AccessToken& token : this->settings.tokens) {
        const bool isSame
            = token.token.size() == given.size() && CRYPTO_memcmp(token.token.data(), given.data(), given.size()) == 0;
        isFound = isFound || (isSame && (token.role == TokenRole::Operator || role == TokenRole::Caller));
    }
    return isFound;
}

}
