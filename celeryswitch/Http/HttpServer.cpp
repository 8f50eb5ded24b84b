#include "celeryswitch/Http/HttpServer.h"

#include "celeryswitch/Core/SocketAddress.h"
#include "celeryswitch/Http/ProcessLimits.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace celeryswitch::Http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int defaultBacklog = 512;
constexpr std::chrono::milliseconds acceptRetryDelay { 100 };
// Time between two looks for a place, and the time without a free place after which new connections are closed.
constexpr std::chrono::milliseconds newcomerInterval { 100 };
constexpr std::chrono::seconds newcomerPatience { 1 };
// Time without a wait after which a crowd has ended.
constexpr std::chrono::seconds crowdEnd { 1 };

Core::Result<tcp::endpoint> parseEndpoint(const std::string& text)
{
    const std::optional<Core::SocketAddress> address = Core::parseSocketAddress(text);
    if (!address)
        return Core::Error(HttpServerError::BadAddress, text);
    return tcp::endpoint(address->ip, address->port);
}

}

HttpServer::HttpServer(boost::asio::io_context& context, HttpLimits limits, std::size_t connectionsLimit,
    Handlers handlers, std::shared_ptr<ReceiveBudget> budget)
    : limits(std::make_shared<HttpLimits>(limits))
    , budget(budget ? std::move(budget)
                    : std::make_shared<ReceiveBudget>(std::max(machineMemoryBytes() / 8, 4 * limits.bodyBytes)))
    , connectionsLimit(connectionsLimit)
    , backlog(defaultBacklog)
    , handlers(std::move(handlers))
    , acceptor(context)
    , acceptTimer(context)
    , sessions(std::make_shared<Sessions>())
    , newcomerTimer(context)
{
    this->sessions->onEnd = [this] { this->sessionEnded(); };
}

HttpServer::~HttpServer() { this->sessions->onEnd = nullptr; }

Core::Result<std::string> HttpServer::listen(const std::string& address)
{
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, parseEndpoint(address));
    error_code error;
    this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    // Accepted connections inherit the sizes of the buffers.
    if (!error)
        this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    if (!error)
        this->acceptor.set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(this->backlog, error);
    if (error)
        return Core::Error(HttpServerError::ListenFailed, address + ": " + error.message());
    this->accept();
    const tcp::endpoint bound = this->acceptor.local_endpoint();
    return Core::SocketAddress { bound.address(), bound.port() }.text();
}

void HttpServer::accept()
{
    this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !this->acceptor.is_open())
            return;
        if (!error)
            return this->accepted(std::move(socket));
        // For example too many open files; accepting again at once would spin.
        this->acceptTimer.expires_after(acceptRetryDelay);
        this->acceptTimer.async_wait([this](error_code waitError) {
            if (!waitError)
                this->accept();
        });
    });
}

void HttpServer::accepted(tcp::socket socket)
{
    this->newcomer = std::move(socket);
    if (this->placeNewcomer())
        this->accept();
}

HttpSession::Pointer HttpServer::startSession(tcp::socket socket)
{
    const std::uint64_t number = ++this->lastSession;
    this->sessions->byNumber[number] = {};
    HttpSession::Handlers sessionHandlers { this->handlers.onRequest, this->handlers.onMalformed,
        [open = std::weak_ptr<Sessions>(this->sessions), number] {
            const std::shared_ptr<Sessions> known = open.lock();
            if (known && known->byNumber.erase(number) > 0 && known->onEnd)
                known->onEnd();
        },
        this->handlers.onAbandoned };
    HttpSession::Pointer session
        = HttpSession::start(std::move(socket), this->limits, this->budget, std::move(sessionHandlers));
    this->sessions->byNumber[number] = session;
    return session;
}

std::size_t HttpServer::leavingCount(Timer::time_point now) const
{
    return releaseCount(this->connectionsLimit, now - *this->crowdedSince);
}

std::vector<ConnectionState> HttpServer::states(Timer::time_point now) const
{
    std::vector<ConnectionState> result;
    result.reserve(this->sessions->byNumber.size());
    for (const auto& [number, session] : this->sessions->byNumber) {
        const HttpSession::Pointer open = session.lock();
        if (!open)
            continue;
        result.push_back(open->state(now));
        result.back().number = number;
    }
    return result;
}

bool HttpServer::findPlace(Timer::time_point now)
{
    if (this->sessions->byNumber.size() < this->connectionsLimit)
        return true;
    if (now < this->nextLookAt)
        return false;
    const std::vector<ConnectionState> open = this->states(now);
    const auto openCount = static_cast<std::size_t>(std::count_if(
        open.begin(), open.end(), [](const auto& state) { return state.phase != ConnectionPhase::Closed; }));
    if (openCount < this->connectionsLimit)
        return true;
    if (const std::optional<std::uint64_t> number = connectionToReplace(open)) {
        this->sessions->byNumber.at(*number).lock()->closeFor(CloseReason::ConnectionLimit);
        return true;
    }
    this->nextLookAt = now + newcomerInterval;
    if (!this->crowdedSince)
        this->crowdedSince = now;
    for (const std::uint64_t number : connectionsToRelease(open, this->leavingCount(now))) {
        if (const HttpSession::Pointer session = this->sessions->byNumber.at(number).lock())
            session->release();
    }
    return false;
}

bool HttpServer::placeNewcomer()
{
    const Timer::time_point now = Timer::clock_type::now();
    if (this->findPlace(now)) {
        this->placeFreeAt = now;
        if (this->crowdedSince && now > this->waitedAt + crowdEnd)
            this->crowdedSince.reset();
        const HttpSession::Pointer session = this->startSession(*std::exchange(this->newcomer, std::nullopt));
        // While all have to leave, a place is taken for one request only.
        if (this->crowdedSince && this->leavingCount(now) >= this->connectionsLimit)
            session->release();
        return true;
    }
    this->waitedAt = now;
    if (now < std::max(this->placeFreeAt, *this->crowdedSince) + newcomerPatience) {
        this->newcomerTimer.expires_at(now + newcomerInterval);
        this->newcomerTimer.async_wait([this, open = std::weak_ptr<Sessions>(this->sessions)](error_code error) {
            if (!error && !open.expired())
                this->placeWaiting();
        });
        return false;
    }
    this->budget->countClosed(CloseReason::ConnectionLimit);
    this->newcomer.reset();
    this->accept();
    return false;
}

void HttpServer::placeWaiting()
{
    if (this->newcomer && this->placeNewcomer())
        this->accept();
}

void HttpServer::sessionEnded()
{
    if (!this->newcomer)
        return;
    // The session may end inside any other function.
    boost::asio::post(this->acceptor.get_executor(), [this, open = std::weak_ptr<Sessions>(this->sessions)] {
        if (!open.expired())
            this->placeWaiting();
    });
}

void HttpServer::setLimits(const HttpLimits& value)
{
    const bool isIdleTimeChanged = value.idleTime != this->limits->idleTime;
    *this->limits = value;
    if (!isIdleTimeChanged)
        return;
    for (const auto& [number, session] : this->sessions->byNumber) {
        if (const HttpSession::Pointer open = session.lock())
            open->idleLimitChanged();
    }
}

void HttpServer::stopAccepting()
{
    error_code ignored;
    this->acceptor.close(ignored);
    this->acceptTimer.cancel();
    this->newcomerTimer.cancel();
    this->newcomer.reset();
}

void HttpServer::stop()
{
    this->stopAccepting();
    for (const auto& [number, session] : std::unordered_map(this->sessions->byNumber)) {
        if (const HttpSession::Pointer open = session.lock())
            open->finish();
    }
}

}
