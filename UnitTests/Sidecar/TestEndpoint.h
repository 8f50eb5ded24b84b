#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <thread>

namespace celeryswitch::Sidecar {

/// HTTP endpoint on its own thread. The request body selects the response: "close" closes the connection, "stall" never
/// responds, "error" responds with 500, "last" responds and closes, "wait" responds after `release`; any other body is
/// echoed.
class TestEndpoint {
public:
    TestEndpoint()
        : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , boundAddress("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
    {
        this->accept();
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~TestEndpoint() { this->stop(); }
    TestEndpoint(const TestEndpoint&) = delete;
    TestEndpoint& operator=(const TestEndpoint&) = delete;

    /// Simulates a crash: closes the listener and every connection.
    void stop()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& weak : this->sessions) {
            if (const auto session = weak.lock())
                session->socket.close(ignored);
        }
    }
    /// Lets "wait" requests be answered.
    void release() { this->isReleased = true; }
    const std::string& address() const { return this->boundAddress; }
    int requestCount() const { return this->requests; }
    /// Number of connections closed by "last".
    int closedCount() const { return this->closed; }

private:
    struct Session {
        explicit Session(boost::asio::ip::tcp::socket socket)
            : socket(std::move(socket))
            , timer(this->socket.get_executor())
        {
        }
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::string buffer;
        std::string answer;
    };
    using SessionPointer = std::shared_ptr<Session>;

    void accept()
    {
        this->acceptor.async_accept([this](const auto& error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            const auto session = std::make_shared<Session>(std::move(socket));
            this->sessions.push_back(session);
            this->read(session);
            this->accept();
        });
    }
    void read(const SessionPointer& session)
    {
        boost::asio::async_read_until(session->socket, boost::asio::dynamic_buffer(session->buffer), "\r\n\r\n",
            [this, session](const auto& error, std::size_t headBytes) {
                if (error)
                    return;
                const std::string head = session->buffer.substr(0, headBytes);
                const std::size_t field = head.find("\r\nContent-Length: ");
                const std::size_t length = field == std::string::npos ? 0 : std::stoul(head.substr(field + 18));
                session->buffer.erase(0, headBytes);
                const std::size_t missing = length - std::min(length, session->buffer.size());
                boost::asio::async_read(session->socket, boost::asio::dynamic_buffer(session->buffer),
                    boost::asio::transfer_exactly(missing),
                    [this, session, length](const auto& bodyError, std::size_t) {
                        if (bodyError)
                            return;
                        ++this->requests;
                        this->respond(session, std::exchange(session->buffer, {}).substr(0, length));
                    });
            });
    }
    void respond(const SessionPointer& session, const std::string& body)
    {
        boost::system::error_code ignored;
        if (body == "close") {
            session->socket.close(ignored);
            return;
        }
        if (body == "stall") {
            // Reads until the peer disconnects, so that the connection stays open until then.
            session->answer.resize(1);
            session->socket.async_read_some(
                boost::asio::buffer(session->answer), [session](const auto&, std::size_t) {});
            return;
        }
        if (body == "wait" && !this->isReleased) {
            session->timer.expires_after(std::chrono::milliseconds(2));
            session->timer.async_wait([this, session, body](const auto& error) {
                if (!error)
                    this->respond(session, body);
            });
            return;
        }
        session->answer = std::string("HTTP/1.1 ") + (body == "error" ? "500 Error" : "200 OK")
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::async_write(session->socket, boost::asio::buffer(session->answer),
            [this, session, body](const auto& error, std::size_t) {
                boost::system::error_code closeError;
                if (body == "last") {
                    session->socket.close(closeError);
                    ++this->closed;
                } else if (!error)
                    this->read(session);
            });
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string boundAddress;
    std::vector<std::weak_ptr<Session>> sessions;
    std::atomic<int> requests = 0;
    std::atomic<int> closed = 0;
    std::atomic<bool> isReleased = false;
    std::thread thread;
};

}
