#include "StandIns/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace celeryswitch::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t maximumBodyBytes = 16 * 1024 * 1024;

}

/// Listener and handler of a server.
class HttpServer::Implementation {
public:
    Implementation(asio::io_context& context, Handler handler)
        : acceptor(context)
        , handler(std::move(handler))
    {
    }

    tcp::acceptor acceptor;
    Handler handler;
};

/// One connection.
class HttpServer::Session : public std::enable_shared_from_this<HttpServer::Session> {
public:
    Session(tcp::socket socket, std::shared_ptr<Implementation> server)
        : socket(std::move(socket))
        , server(std::move(server))
    {
        error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(maximumBodyBytes);
        http::async_read(this->socket, this->buffer, *this->parser,
            [self = this->shared_from_this()](const error_code& error, std::size_t) {
                if (!error)
                    self->handle();
            });
    }

private:
    void handle()
    {
        const auto& message = this->parser->get();
        Request request;
        request.method = std::string(message.method_string());
        request.path = std::string(message.target().substr(0, message.target().find('?')));
        for (const auto& field : message)
            request.headers[std::string(field.name_string())] = std::string(field.value());
        request.body = message.body();
        this->server->handler(
            request, [self = this->shared_from_this()](Answer answer) { self->respond(std::move(answer)); });
    }

    void respond(Answer answer)
    {
        if (answer.closes) {
            error_code ignored;
            this->socket.close(ignored);
            return;
        }
        this->response = {};
        this->response.result(answer.statusCode);
        this->response.version(11);
        this->response.set(http::field::content_type, "application/json");
        this->response.keep_alive(this->parser->get().keep_alive());
        this->response.body() = std::move(answer.body);
        this->response.prepare_payload();
        http::async_write(
            this->socket, this->response, [self = this->shared_from_this()](const error_code& error, std::size_t) {
                if (!error && self->response.keep_alive())
                    self->read();
            });
    }

    tcp::socket socket;
    std::shared_ptr<Implementation> server;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

HttpServer::HttpServer(asio::io_context& context, Handler handler)
    : implementation(std::make_shared<Implementation>(context, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    error_code ignored;
    this->implementation->acceptor.close(ignored);
}

Core::Result<std::string> HttpServer::listen(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    error_code error;
    const auto parsed = asio::ip::make_address(address.substr(0, colon), error);
    if (error || colon == std::string::npos)
        return Core::Error(ServerError::BadAddress, address);
    const tcp::endpoint endpoint(
        parsed, static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    tcp::acceptor& acceptor = this->implementation->acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Core::Error(ServerError::ListenFailed, address + ": " + error.message());
    struct Accept {
        std::shared_ptr<Implementation> server;
        void operator()(const error_code& acceptError, tcp::socket socket) const
        {
            if (!this->server->acceptor.is_open())
                return;
            if (!acceptError)
                std::make_shared<Session>(std::move(socket), this->server)->read();
            this->server->acceptor.async_accept(*this);
        }
    };
    acceptor.async_accept(Accept { this->implementation });
    return address.substr(0, colon) + ":" + std::to_string(acceptor.local_endpoint().port());
}

}
