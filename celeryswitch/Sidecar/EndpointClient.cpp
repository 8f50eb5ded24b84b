#include "celeryswitch/Sidecar/EndpointClient.h"

#include "celeryswitch/Core/SocketAddress.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <sys/socket.h>

namespace celeryswitch::Sidecar {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Messages::TaskOutcome;
using Messages::TaskReason;

namespace {

// Replaces control characters to prevent header injection.
std::string headerValue(std::string value)
{
    for (char& character : value) {
        if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f)
            character = '_';
    }
    return value;
}

// Whether the endpoint has neither closed an idle connection nor sent unsolicited data.
bool isStillIdle(tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}

/// Connection pool of an EndpointClient.
class EndpointClient::Pool {
public:
    Pool(asio::io_context& context, EndpointClientSettings settings)
        : context(context)
        , settings(std::move(settings))
    {
        // Without a usable address every connection is refused: the endpoint stays at port 0.
        if (const std::optional<Core::SocketAddress> address = Core::parseSocketAddress(this->settings.address))
            this->endpoint = tcp::endpoint(address->ip, address->port);
    }

    // Removes and returns a reusable idle connection, if there is one.
    std::optional<tcp::socket> acquireIdle()
    {
        const auto oldest = Core::BootClock::now() - this->settings.idleTimeout;
        while (!this->idle.empty()) {
            Idle last = std::move(this->idle.back());
            this->idle.pop_back();
            if (last.since >= oldest && isStillIdle(last.socket))
                return std::move(last.socket);
            --this->openCount;
        }
        return std::nullopt;
    }
    void release(tcp::socket socket)
    {
        if (this->isStopped) {
            --this->openCount;
            return;
        }
        this->idle.push_back({ std::move(socket), Core::BootClock::now() });
    }
    void stop()
    {
        this->isStopped = true;
        this->openCount -= static_cast<std::uint32_t>(this->idle.size());
        this->idle.clear();
    }

    struct Idle {
        tcp::socket socket;
        Core::SteadyTime since;
    };

    asio::io_context& context;
    EndpointClientSettings settings;
    tcp::endpoint endpoint;
    std::deque<Idle> idle;
    // Number of open connections, idle or in use.
    std::uint32_t openCount = 0;
    std::uint64_t openedCount = 0;
    bool isStopped = false;
};

/// A call of the endpoint for one task.
class EndpointClient::Call : public std::enable_shared_from_this<EndpointClient::Call> {
public:
    Call(std::shared_ptr<Pool> pool, StartCall call, DoneHandler onDone)
        : pool(std::move(pool))
        , call(std::move(call))
        , onDone(std::move(onDone))
        , socket(this->pool->context)
        , timer(this->pool->context)
    {
    }

    void start()
    {
        this->request.method(http::verb::post);
        this->request.target("/");
        this->request.version(11);
        this->request.set(http::field::host, this->pool->settings.address);
        this->request.set("Celery-Service", headerValue(this->pool->settings.service));
        this->request.set("Celery-Kind", headerValue(this->call.kind));
        this->request.set("Celery-Job", Core::toString(this->call.task.jobId));
        this->request.set("Celery-Task", std::to_string(this->call.task.taskIndex));
        this->request.body() = std::move(this->call.payload);
        this->request.prepare_payload();
        this->startedAt = Core::BootClock::now();
        if (auto idleSocket = this->pool->acquireIdle()) {
            this->socket = std::move(*idleSocket);
            this->isReused = true;
            this->startTimer(this->call.timeout);
            this->write();
            return;
        }
        this->connect();
    }

private:
    void connect()
    {
        this->isReused = false;
        this->isOpen = false;
        if (this->pool->openCount >= this->pool->settings.connections) {
            asio::post(this->pool->context, [self = this->shared_from_this()] {
                self->finish(TaskOutcome::NeverStarted, TaskReason::EndpointRefusedConnection);
            });
            return;
        }
        ++this->pool->openCount;
        ++this->pool->openedCount;
        this->isOpen = true;
        this->startTimer(std::min<Core::Duration>(this->call.timeout, this->pool->settings.connectTimeout));
        this->socket = tcp::socket(this->pool->context);
        this->socket.async_connect(this->pool->endpoint, [self = this->shared_from_this()](const error_code& error) {
            if (error || self->isTimedOut)
                return self->finish(TaskOutcome::NeverStarted, TaskReason::EndpointRefusedConnection);
            error_code ignored;
            self->socket.set_option(tcp::no_delay(true), ignored);
            self->startTimer(self->call.timeout);
            self->write();
        });
    }

    // Aborts the call after `limit`; replaces an earlier timer.
    void startTimer(Core::Duration limit)
    {
        this->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit));
        this->timer.async_wait([self = this->shared_from_this()](const error_code& error) {
            if (error || !self->onDone)
                return;
            self->isTimedOut = true;
            error_code ignored;
            self->socket.close(ignored);
        });
    }

    void write()
    {
        this->isOpen = true;
        http::async_write(
            this->socket, this->request, [self = this->shared_from_this()](const error_code& error, std::size_t count) {
                if (!error)
                    return self->read();
                // Nothing was sent, so the endpoint can't have started the task.
                if (count == 0 && !self->isTimedOut) {
                    if (!self->isReused)
                        return self->finish(TaskOutcome::NeverStarted, TaskReason::EndpointRefusedConnection);
                    --self->pool->openCount;
                    return self->connect();
                }
                self->finish(TaskOutcome::Unconfirmed, self->connectionFailureReason());
            });
    }

    void read()
    {
        this->parser.body_limit(this->pool->settings.maximumResultBytes);
        http::async_read(this->socket, this->buffer, this->parser,
            [self = this->shared_from_this()](const error_code& error, std::size_t) {
                if (error == http::error::body_limit)
                    return self->finish(TaskOutcome::Failed, TaskReason::TooLarge);
                if (error)
                    return self->finish(TaskOutcome::Unconfirmed, self->connectionFailureReason());
                const bool isSuccess
                    = http::to_status_class(self->parser.get().result()) == http::status_class::successful;
                self->isReusable = self->parser.get().keep_alive() && self->buffer.size() == 0;
                self->finish(isSuccess ? TaskOutcome::Succeeded : TaskOutcome::Failed,
                    isSuccess ? TaskReason::None : TaskReason::EndpointError);
            });
    }

    TaskReason connectionFailureReason() const
    {
        return this->isTimedOut ? TaskReason::EndpointTimeout : TaskReason::EndpointConnectionLost;
    }

    void finish(TaskOutcome outcome, TaskReason reason)
    {
        this->timer.cancel();
        CallResult result { this->call.task, {} };
        result.result.taskIndex = this->call.task.taskIndex;
        result.result.outcome = outcome;
        result.result.reason = reason;
        result.result.runMicroseconds
            = std::chrono::duration_cast<std::chrono::microseconds>(Core::BootClock::now() - this->startedAt).count();
        if (outcome == TaskOutcome::Succeeded || outcome == TaskOutcome::Failed) {
            result.result.statusCode = static_cast<std::uint16_t>(this->parser.get().result_int());
            if (reason != TaskReason::TooLarge)
                result.result.body = std::move(this->parser.get().body());
        }
        if (this->isReusable)
            this->pool->release(std::move(this->socket));
        else if (this->isOpen)
            --this->pool->openCount;
        error_code ignored;
        this->socket.close(ignored);
        const DoneHandler handler = std::exchange(this->onDone, nullptr);
        handler(std::move(result));
    }

    std::shared_ptr<Pool> pool;
    StartCall call;
    DoneHandler onDone;
    tcp::socket socket;
    asio::steady_timer timer;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    boost::beast::flat_buffer buffer;
    Core::SteadyTime startedAt;
    // Whether the connection was taken from the pool.
    bool isReused = false;
    // Whether the connection is included in the pool's `openCount`.
    bool isOpen = false;
    bool isReusable = false;
    bool isTimedOut = false;
};

EndpointClient::EndpointClient(asio::io_context& context, EndpointClientSettings settings)
    : pool(std::make_shared<Pool>(context, std::move(settings)))
{
}

EndpointClient::~EndpointClient() { this->stop(); }

void EndpointClient::call(StartCall call, DoneHandler onDone)
{
    std::make_shared<Call>(this->pool, std::move(call), std::move(onDone))->start();
}

void EndpointClient::probe(std::function<void(bool)> onDone)
{
    struct Probe {
        tcp::socket socket;
        asio::steady_timer timer;
    };
    const auto state
        = std::make_shared<Probe>(Probe { tcp::socket(this->pool->context), asio::steady_timer(this->pool->context) });
    state->timer.expires_after(this->pool->settings.connectTimeout);
    state->timer.async_wait([state](const error_code& error) {
        error_code ignored;
        if (!error)
            state->socket.close(ignored);
    });
    state->socket.async_connect(this->pool->endpoint, [state, onDone = std::move(onDone)](const error_code& error) {
        state->timer.cancel();
        onDone(!error);
    });
}

void EndpointClient::stop() { this->pool->stop(); }

std::uint64_t EndpointClient::openedConnections() const { return this->pool->openedCount; }

}
