#include "celeryswitch/Http/HttpConnection.h"

#include "celeryswitch/Core/Assert.h"
#include "celeryswitch/Core/SocketAddress.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <sys/socket.h>

namespace celeryswitch::Http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds connectTimeout { 2 };

}

class HttpConnection::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(asio::io_context& context, std::string address, std::size_t bodyBytesLimit)
        : context(context)
        , address(std::move(address))
        , bodyBytesLimit(bodyBytesLimit)
    {
    }

    void request(HttpRequest request, Core::Duration timeout, Handler handler)
    {
        CELERY_ASSERT(!this->handler);
        this->handler = std::move(handler);
        this->timeout = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
        this->outgoing = {};
        this->outgoing.version(11);
        this->outgoing.method_string(request.method);
        this->outgoing.target(request.path);
        this->outgoing.set(http::field::host, this->address);
        request.headers.forEach(
            [this](std::string_view name, std::string_view value) { this->outgoing.set(name, value); });
        this->outgoing.body() = std::move(request.body);
        this->outgoing.prepare_payload();
        this->isReused = this->stream.has_value();
        asio::post(
            this->context, [self = this->shared_from_this()] { self->isReused ? self->write() : self->connect(); });
    }

    bool isOpen()
    {
        if (!this->stream || !this->stream->socket().is_open())
            return false;
        // No answer is awaited: what can be read is the end of the connection, or bytes that belong to no request.
        char byte = 0;
        const ssize_t received
            = ::recv(this->stream->socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void close()
    {
        this->handler = {};
        this->stream.reset();
    }

    asio::io_context& context;
    const std::string address;
    const std::size_t bodyBytesLimit;

private:
    void connect()
    {
        const std::optional<Core::SocketAddress> target = Core::parseSocketAddress(this->address);
        if (!target)
            return this->fail(HttpError::BadAddress, "no IP number and port");
        this->buffer.clear();
        this->stream.emplace(this->context);
        this->stream->expires_after(std::min<std::chrono::milliseconds>(connectTimeout, this->timeout));
        const asio::ip::tcp::endpoint endpoint(target->ip, target->port);
        this->stream->async_connect(endpoint, [self = this->shared_from_this()](beast::error_code error) {
            if (error)
                return self->fail(HttpError::ConnectFailed, error.message());
            boost::system::error_code ignored;
            self->stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        if (!this->stream)
            return;
        this->stream->expires_after(this->timeout);
        http::async_write(
            *this->stream, this->outgoing, [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (error)
                    return self->lost(error);
                self->read();
            });
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(this->bodyBytesLimit);
        http::async_read(*this->stream, this->buffer, *this->parser,
            [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (error)
                    return self->lost(error);
                self->answer();
            });
    }

    void answer()
    {
        HttpResponse answer;
        http::response<http::string_body> response = this->parser->release();
        answer.statusCode = static_cast<std::uint16_t>(response.result_int());
        for (const auto& field : response)
            answer.headers.add(field.name_string(), field.value());
        answer.body = std::move(response.body());
        if (response.keep_alive())
            this->stream->expires_never();
        else
            this->stream.reset();
        this->finish(std::move(answer));
    }

    // The other side may close an idle connection while a request is on its way; the caller decides about another try.
    void lost(beast::error_code error)
    {
        if (error == beast::error::timeout)
            return this->fail(HttpError::TimedOut, "no answer in " + std::to_string(this->timeout.count()) + " ms");
        if (error == http::error::body_limit)
            return this->fail(
                HttpError::TooLarge, "the answer exceeds " + std::to_string(this->bodyBytesLimit) + " bytes");
        this->fail(HttpError::ConnectionLost, error.message());
    }

    void fail(HttpError code, const std::string& detail)
    {
        this->stream.reset();
        this->finish(Core::Error(code, this->address + ": " + detail));
    }

    void finish(Core::Result<HttpResponse> result)
    {
        const Handler waiting = std::exchange(this->handler, {});
        if (waiting)
            waiting(std::move(result));
    }

    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> outgoing;
    std::optional<http::response_parser<http::string_body>> parser;
    std::chrono::milliseconds timeout {};
    bool isReused = false;
    Handler handler;
};

std::uint32_t retryAfterSeconds(const HttpResponse& response)
{
    const std::string_view text = response.headers.value("Retry-After");
    std::uint32_t seconds = 0;
    const auto [next, failure] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return failure == std::errc {} ? seconds : 0;
}

HttpConnection::HttpConnection(asio::io_context& context, std::string address, std::size_t bodyBytesLimit)
    : implementation(std::make_shared<Implementation>(context, std::move(address), bodyBytesLimit))
{
}

HttpConnection::~HttpConnection() { this->implementation->close(); }

void HttpConnection::request(HttpRequest request, Core::Duration timeout, Handler handler)
{
    this->implementation->request(std::move(request), timeout, std::move(handler));
}

bool HttpConnection::isOpen() const { return this->implementation->isOpen(); }

const std::string& HttpConnection::address() const { return this->implementation->address; }

Core::Result<HttpResponse> httpCall(
    const std::string& address, HttpRequest request, Core::Duration timeout, std::size_t bodyBytesLimit)
{
    asio::io_context context;
    HttpConnection connection(context, address, bodyBytesLimit);
    std::optional<Core::Result<HttpResponse>> result;
    connection.request(
        std::move(request), timeout, [&](Core::Result<HttpResponse> answer) { result = std::move(answer); });
    context.run();
    CELERY_ASSERT(result.has_value());
    return std::move(*result);
}

}
