#include "celeryswitch/Http/HttpServer.h"

#include "celeryswitch/Core/SocketAddress.h"
#include "celeryswitch/Http/ProcessLimits.h"

namespace celeryswitch::Http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

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
    , handlers(std::move(handlers))
    , acceptor(context)
    , acceptTimer(context)
    , sessions(std::make_shared<Sessions>())
{
}

Core::Result<std::string> HttpServer::listen(const std::string& address)
{
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, parseEndpoint(address));
    error_code error;
    this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    // Accepted connections inherit it.
    if (!error)
        this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
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

void HttpServer::accepted(tcp::socket socket)
{
    if (this->sessions->size() >= this->connectionsLimit && !this->makeRoom())
        return;
    const std::uint64_t number = ++this->lastSession;
    (*this->sessions)[number] = {};
    HttpSession::Handlers sessionHandlers { this->handlers.onRequest, this->handlers.onMalformed,
        [open = std::weak_ptr<Sessions>(this->sessions), number] {
            if (const std::shared_ptr<Sessions> known = open.lock())
                known->erase(number);
        },
        this->handlers.onAbandoned };
    (*this->sessions)[number]
        = HttpSession::start(std::move(socket), this->limits, this->budget, std::move(sessionHandlers));
}

bool HttpServer::makeRoom()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<ConnectionState> states;
    std::size_t openCount = 0;
    for (const auto& [number, session] : *this->sessions) {
        const HttpSession::Pointer open = session.lock();
        if (!open)
            continue;
        states.push_back(open->state(now));
        states.back().number = number;
        openCount += states.back().phase != ConnectionPhase::Closed ? 1 : 0;
    }
    if (openCount < this->connectionsLimit)
        return true;
    const std::optional<std::uint64_t> number = connectionToReplace(states);
    if (number)
        this->sessions->at(*number).lock()->closeFor(CloseReason::ConnectionLimit);
    else
        this->budget->countClosed(CloseReason::ConnectionLimit);
    return number.has_value();
}

void HttpServer::setLimits(const HttpLimits& value)
{
    const bool isIdleTimeChanged = value.idleTime != this->limits->idleTime;
    *this->limits = value;
    if (!isIdleTimeChanged)
        return;
    for (const auto& [number, session] : *this->sessions) {
        if (const HttpSession::Pointer open = session.lock())
            open->idleLimitChanged();
    }
}

void HttpServer::stopAccepting()
{
    error_code ignored;
    this->acceptor.close(ignored);
    this->acceptTimer.cancel();
}

void HttpServer::stop()
{
    this->stopAccepting();
    for (const auto& [number, session] : Sessions(*this->sessions)) {
        if (const HttpSession::Pointer open = session.lock())
            open->finish();
    }
}

}
